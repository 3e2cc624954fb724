"""The terminal console: shows the status of one router, refreshed each second."""

from __future__ import annotations

import json
import shutil
import socket
import sys
import time
from datetime import UTC, datetime
from typing import Any, TextIO

TIMEOUT_S = 3.0  # for connecting to the router, and for each read of its answer
REFRESH_PERIOD_S = 1.0
ENTER_ALTERNATE_SCREEN, LEAVE_ALTERNATE_SCREEN, CURSOR_HOME = (
    "\x1b[?1049h\x1b[?25l",
    "\x1b[?25h\x1b[?1049l",
    "\x1b[H",
)


class ConsoleError(Exception):
    """There is nothing to show; the text is one sentence that says why."""


def query(address: tuple[str, int], command: str) -> Any:
    """The answer of the admin socket at `address` to a command; raises ConsoleError."""
    try:
        with socket.create_connection(address, TIMEOUT_S) as connection, connection.makefile("rb") as answer:
            connection.sendall(command.encode() + b"\n")
            return json.loads(answer.readline())
    except (OSError, ValueError) as error:
        raise ConsoleError(f"no router answers at {address[0]}:{address[1]}: {error}") from None


def fetch_status(address: tuple[str, int]) -> dict[str, Any]:
    """The status of the router at `address`; raises ConsoleError."""
    status = query(address, "status")
    if not isinstance(status, dict) or "counters" not in status:
        raise ConsoleError(f"what answers at {address[0]}:{address[1]} is no router")
    return status


def percent(load: float | None) -> str:
    """A load of 0 to 1 as a percentage; "-" where it is unknown."""
    return "-" if load is None else f"{load * 100:.0f}%"


def column(text: Any, width: int) -> str:
    """A text cut or padded to `width`.

    Ids and titles come from outside, so control characters are replaced and do not reach the terminal.
    """
    shown = "".join(c if c.isprintable() else "?" for c in str(text))
    return shown[:width].ljust(width)


def render_status(status: dict[str, Any], height: int = 1000) -> list[str]:
    """The lines of the status view, cut to `height`."""
    counters = status["counters"]
    lines = [
        f"{status['name'] or 'cloverhinge'}   up {status['up_s']:.0f} s   {status['standing']} sessions, "
        f"{status['open']} requests open, {status['plays']} HLS plays",
        f"taken {counters['taken']}   served {counters['served']}   refused {counters['refused']}   "
        f"failed {counters['failed']}   left {counters['left']}   carried {counters['carried']}   "
        f"ended {counters['ended']}   cut {counters['cut']}",
        f"attempts {counters['attempts']}   probes {counters['probes']}   "
        + "   ".join(f"{name} {n}" for name, n in sorted(counters["outcomes"].items())),
    ]
    if left_out := status.get("operation", {}).get("left_out"):
        lines.append("LEFT OUT BY HAND  " + "   ".join(column(x, len(str(x))) for x in left_out))
    if status["broken"]:
        lines.append("DEFECTS  " + "   ".join(f"{name}: {n}" for name, n in status["broken"].items()))
    certificate = status["certificate"]
    if certificate is not None:
        if certificate["expires_ms"] is None:
            text = "none yet"
        else:
            when = datetime.fromtimestamp(certificate["expires_ms"] / 1000.0, UTC)
            text = f"good until {when:%Y-%m-%d %H:%M} UTC"
        problem = f"   last try failed: {certificate['error']}" if certificate["error"] else ""
        lines.append(f"certificate for {', '.join(certificate['domains'])}: {text}{problem}")
    if status["clients"]:
        lines += [
            "",
            "CLIENT              ASKED   LET IN  WAITING  REFUSED   HELD    DUE  QUOTED    KEPT"
            "  BROKEN    LOST  NO PROMISE",
        ]
    for client in status["clients"]:
        lines.append(
            f"{column(client['name'], 16)}  {client['asked']:7}  {client['let_in']:7}  "
            f"{client['waiting']:7}  {client['refused']:7}  {percent(client['share']):>5}  "
            f"{percent(client['due']):>5}  "
            f"{client['quoted']:6}  {client['kept']:6}  {client['broken']:6}  {client['lost']:6}  "
            f"{client['unpromised']:10}"
        )
    lines += ["", "BOX               ADDRESS                HEALTH    LINE  SESSIONS   LINK  UPLINK"]
    for server in status["boxes"]:
        lines.append(
            f"{column(server['name'], 16)}  {column(server['address'], 21)}  {column(server['health'], 8)}  "
            f"{'up' if server['connected'] else 'down':4}  {server['sessions']:8}  "
            f"{percent(server['link']):>5}  {percent(server['uplink']):>6}"
        )
    lines += ["", "SESSION           CLASS             TITLE             BOX               RUNG     AGE"]
    for session in status["sessions"]:
        rung = "floor" if session["rung"] is None else str(session["rung"])
        lines.append(
            f"{column(session['id'], 16)}  {column(session['class'], 16)}  {column(session['title'], 16)}  "
            f"{column(session['box'], 16)}  {rung:>4}  {session['age_s']:5.0f} s"
        )
    if len(lines) > height:
        lines = [*lines[: height - 1], f"... {len(lines) - height + 1} lines more"]
    return lines


def render_members(status: dict[str, Any]) -> list[str]:
    """The lines of the members view: each member, and how many of those that watch it reach it."""
    if "members" not in status:
        raise ConsoleError("this router has no members: its site file has no table [members]")
    view = status["members"]
    lines = [
        f"{status['name']}: view {view['view']}:{view['digest']}, {view['in']} of {view['whole']} in"
        + ("" if view["majority"] else ", no majority")
        + ("" if view["joined"] else ", not joined")
        + ("" if view["trusted"] else ", just awake"),
        "",
        "MEMBER            SITE              STATE    INCARNATION     SINCE  HEARD BY  ADDRESS",
    ]
    for member in view["list"]:
        reached_by, not_reached_by = member["reach"]["heard_by"], member["reach"]["not_heard_by"]
        state = column(member["state"], 7)
        lines.append(
            f"{column(member['name'], 16)}  {column(member['site'], 16)}  {state}  "
            f"{member['incarnation']:11}  {member['since_ms'] / 1000:6.0f} s  "
            f"{len(reached_by):3} of {len(reached_by) + len(not_reached_by):<2} "
            f"{column(member['address'], 21).rstrip()}"
        )
        if not_reached_by:
            lines.append(f"    not heard by {', '.join(column(x, 64).rstrip() for x in not_reached_by)}")
        if member["by"] and member["state"] != "alive":
            lines.append(f"    {column(member['by'], 256).rstrip()}")
    return lines


def show_members(address: tuple[str, int], out: TextIO = sys.stdout) -> int:
    """Print the members view once; returns the exit status."""
    out.write("\n".join(render_members(fetch_status(address))) + "\n")
    return 0


def render_ownership(play: str, answer: dict[str, Any]) -> list[str]:
    """The lines of the ownership view: a play's state, its owner and replicas, and its past owners."""
    if "error" in answer:
        raise ConsoleError("this router keeps no work: its site file has no table [custody]")
    replicas = ", ".join(column(x, 64).rstrip() for x in answer["keepers"]) or "nobody yet"
    if not answer["found"]:
        return [f"{column(play, 128).rstrip()}: not known here; if it is known, then to {replicas}"]
    place = f" at {column(answer['box'], 64).rstrip()}" if answer["box"] else ""
    past_owners = " <- ".join(column(x, 64).rstrip() for x in reversed(answer["past"]))
    return [
        f"{column(play, 128).rstrip()}: {answer['class']} {answer['title']}: {answer['phase']}{place}"
        f"{' as session ' + answer['session'] if answer['session'] else ''}",
        f"    owner {column(answer['owner'], 64).rstrip()}{' (this router)' if answer['mine'] else ''}, "
        f"epoch {answer['epoch']}{', before: ' + past_owners if past_owners else ''}",
        f"    kept by {replicas}",
    ]


def show_ownership(address: tuple[str, int], play: str, out: TextIO = sys.stdout) -> int:
    """Print the ownership view of a play once; returns the exit status."""
    out.write("\n".join(render_ownership(play, query(address, f"custody {play}"))) + "\n")
    return 0


def show_status(address: tuple[str, int], once: bool, out: TextIO = sys.stdout) -> int:
    """Show the status until interrupted, or print it once; returns the exit status.

    It is also printed once where `out` is no terminal.
    """
    if once or not out.isatty():
        out.write("\n".join(render_status(fetch_status(address))) + "\n")
        return 0
    out.write(ENTER_ALTERNATE_SCREEN)
    try:
        while True:
            size = shutil.get_terminal_size()
            try:
                lines = render_status(fetch_status(address), size.lines - 1)
            except ConsoleError as error:  # the router may be restarting
                lines = [str(error)]
            out.write(CURSOR_HOME + "".join(f"{line[:size.columns]}\x1b[K\n" for line in lines) + "\x1b[J")
            out.flush()
            time.sleep(REFRESH_PERIOD_S)
    except KeyboardInterrupt:
        return 0
    finally:
        out.write(LEAVE_ALTERNATE_SCREEN)
        out.flush()
