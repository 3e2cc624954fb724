"""The terminal console: a view of one router, drawn anew each second."""

from __future__ import annotations

import json
import shutil
import socket
import sys
import time
from datetime import UTC, datetime
from typing import Any, TextIO

TIMEOUT_S = 3.0
REFRESH_PERIOD_S = 1.0
ENTER_ALTERNATE_SCREEN, LEAVE_ALTERNATE_SCREEN, CURSOR_HOME = (
    "\x1b[?1049h\x1b[?25l",
    "\x1b[?25h\x1b[?1049l",
    "\x1b[H",
)


class ConsoleError(Exception):
    """One plain sentence on why there is nothing to show."""


def query(where: tuple[str, int], line: str) -> Any:
    try:
        with socket.create_connection(where, TIMEOUT_S) as link, link.makefile("rb") as answer:
            link.sendall(line.encode() + b"\n")
            return json.loads(answer.readline())
    except (OSError, ValueError) as error:
        raise ConsoleError(f"no router answers at {where[0]}:{where[1]}: {error}") from None


def fetch_status(where: tuple[str, int]) -> dict[str, Any]:
    told = query(where, "status")
    if not isinstance(told, dict) or "counters" not in told:
        raise ConsoleError(f"what answers at {where[0]}:{where[1]} is no router")
    return told


def percent(load: float | None) -> str:
    return "-" if load is None else f"{load * 100:.0f}%"


def column(text: Any, width: int) -> str:
    """Cut to its column; ids and titles come from outside, so no control characters reach the terminal."""
    shown = "".join(c if c.isprintable() else "?" for c in str(text))
    return shown[:width].ljust(width)


def render_status(told: dict[str, Any], height: int = 1000) -> list[str]:
    count = told["counters"]
    lines = [
        f"{told['name'] or 'cloverhinge'}   up {told['up_s']:.0f} s   {told['standing']} sessions, "
        f"{told['open']} requests open, {told['plays']} HLS plays",
        f"taken {count['taken']}   served {count['served']}   refused {count['refused']}   "
        f"failed {count['failed']}   left {count['left']}   carried {count['carried']}   "
        f"ended {count['ended']}   cut {count['cut']}",
        f"attempts {count['attempts']}   probes {count['probes']}   "
        + "   ".join(f"{name} {n}" for name, n in sorted(count["outcomes"].items())),
    ]
    if left_out := told.get("operation", {}).get("left_out"):
        lines.append("LEFT OUT BY HAND  " + "   ".join(column(x, len(str(x))) for x in left_out))
    if told["broken"]:
        lines.append("DEFECTS  " + "   ".join(f"{name}: {n}" for name, n in told["broken"].items()))
    certificate = told["certificate"]
    if certificate is not None:
        if certificate["expires_ms"] is None:
            text = "none yet"
        else:
            when = datetime.fromtimestamp(certificate["expires_ms"] / 1000.0, UTC)
            text = f"good until {when:%Y-%m-%d %H:%M} UTC"
        problem = f"   last try failed: {certificate['error']}" if certificate["error"] else ""
        lines.append(f"certificate for {', '.join(certificate['domains'])}: {text}{problem}")
    if told["clients"]:
        lines += [
            "",
            "CLIENT              ASKED   LET IN  WAITING  REFUSED   HELD    DUE  QUOTED    KEPT"
            "  BROKEN    LOST  NO PROMISE",
        ]
    for one in told["clients"]:
        lines.append(
            f"{column(one['name'], 16)}  {one['asked']:7}  {one['let_in']:7}  {one['waiting']:7}  "
            f"{one['refused']:7}  {percent(one['share']):>5}  {percent(one['due']):>5}  "
            f"{one['quoted']:6}  {one['kept']:6}  {one['broken']:6}  {one['lost']:6}  "
            f"{one['unpromised']:10}"
        )
    lines += ["", "BOX               ADDRESS                HEALTH    LINE  SESSIONS   LINK  UPLINK"]
    for box in told["boxes"]:
        lines.append(
            f"{column(box['name'], 16)}  {column(box['address'], 21)}  {column(box['health'], 8)}  "
            f"{'up' if box['connected'] else 'down':4}  {box['sessions']:8}  "
            f"{percent(box['link']):>5}  {percent(box['uplink']):>6}"
        )
    lines += ["", "SESSION           CLASS             TITLE             BOX               RUNG     AGE"]
    for one in told["sessions"]:
        rung = "floor" if one["rung"] is None else str(one["rung"])
        lines.append(
            f"{column(one['id'], 16)}  {column(one['class'], 16)}  {column(one['title'], 16)}  "
            f"{column(one['box'], 16)}  {rung:>4}  {one['age_s']:5.0f} s"
        )
    if len(lines) > height:
        lines = [*lines[: height - 1], f"... {len(lines) - height + 1} lines more"]
    return lines


def render_members(told: dict[str, Any]) -> list[str]:
    """Who is a member, and who of those that watch it hear it."""
    if "members" not in told:
        raise ConsoleError("this router has no members: its site file has no table [members]")
    of = told["members"]
    lines = [
        f"{told['name']}: view {of['view']}:{of['digest']}, {of['in']} of {of['whole']} in"
        + ("" if of["majority"] else ", no majority")
        + ("" if of["joined"] else ", not joined")
        + ("" if of["trusted"] else ", just awake"),
        "",
        "MEMBER            SITE              STATE    INCARNATION     SINCE  HEARD BY  ADDRESS",
    ]
    for one in of["list"]:
        heard, unheard = one["reach"]["heard_by"], one["reach"]["not_heard_by"]
        state = column(one["state"], 7)
        lines.append(
            f"{column(one['name'], 16)}  {column(one['site'], 16)}  {state}  {one['incarnation']:11}  "
            f"{one['since_ms'] / 1000:6.0f} s  {len(heard):3} of {len(heard) + len(unheard):<2} "
            f"{column(one['address'], 21).rstrip()}"
        )
        if unheard:
            lines.append(f"    not heard by {', '.join(column(x, 64).rstrip() for x in unheard)}")
        if one["by"] and one["state"] != "alive":
            lines.append(f"    {column(one['by'], 256).rstrip()}")
    return lines


def show_members(where: tuple[str, int], out: TextIO = sys.stdout) -> int:
    out.write("\n".join(render_members(fetch_status(where))) + "\n")
    return 0


def render_ownership(play: str, told: dict[str, Any]) -> list[str]:
    """Where a play is, and who owned it before."""
    if "error" in told:
        raise ConsoleError("this router keeps no work: its site file has no table [custody]")
    keepers = ", ".join(column(x, 64).rstrip() for x in told["keepers"]) or "nobody yet"
    if not told["found"]:
        return [f"{column(play, 128).rstrip()}: not known here; if it is known, then to {keepers}"]
    at = f" at {column(told['box'], 64).rstrip()}" if told["box"] else ""
    past = " <- ".join(column(x, 64).rstrip() for x in reversed(told["past"]))
    return [
        f"{column(play, 128).rstrip()}: {told['class']} {told['title']}: {told['phase']}{at}"
        f"{' as session ' + told['session'] if told['session'] else ''}",
        f"    owner {column(told['owner'], 64).rstrip()}{' (this router)' if told['mine'] else ''}, "
        f"epoch {told['epoch']}{', before: ' + past if past else ''}",
        f"    kept by {keepers}",
    ]


def show_ownership(where: tuple[str, int], play: str, out: TextIO = sys.stdout) -> int:
    out.write("\n".join(render_ownership(play, query(where, f"custody {play}"))) + "\n")
    return 0


def show_status(where: tuple[str, int], once: bool, out: TextIO = sys.stdout) -> int:
    if once or not out.isatty():
        out.write("\n".join(render_status(fetch_status(where))) + "\n")
        return 0
    out.write(ENTER_ALTERNATE_SCREEN)
    try:
        while True:
            size = shutil.get_terminal_size()
            try:
                lines = render_status(fetch_status(where), size.lines - 1)
            except ConsoleError as error:  # it may be starting again
                lines = [str(error)]
            out.write(CURSOR_HOME + "".join(f"{line[:size.columns]}\x1b[K\n" for line in lines) + "\x1b[J")
            out.flush()
            time.sleep(REFRESH_PERIOD_S)
    except KeyboardInterrupt:
        return 0
    finally:
        out.write(LEAVE_ALTERNATE_SCREEN)
        out.flush()
