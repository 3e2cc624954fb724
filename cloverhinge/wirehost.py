"""Adapter to the simulator: reads batches of JSON messages, one a line, and answers each with its decisions.

Each instance has one Controller, which makes all decisions; the adapter only translates and dispatches.
"""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from cloverhinge.decision import interface as api
from cloverhinge.decision.logic import Controller
from cloverhinge.settings import parse_settings

HEALTH = {0: api.Health.GONE, 1: api.Health.READY, 2: api.Health.DRAINING}
LIST_KINDS = {0: api.ListKind.FULL, 1: api.ListKind.CACHED, 2: api.ListKind.DELTA, 4: api.ListKind.FAILED}
OUTCOMES = {
    0: api.Outcome.ERROR,
    1: api.Outcome.SERVED,
    2: api.Outcome.FULL,
    3: api.Outcome.TIMEOUT,
    4: api.Outcome.CONNECT_FAILED,
    5: api.Outcome.RESET,
    6: api.Outcome.CANCELLED,
    7: api.Outcome.MOOT,
}
MOVED_FLAG, RETURNING_FLAG, LENGTH_HINT_FLAG = 8, 16, 1  # bits of the `bits` of a "knock" or "carried"

# The fewest values that each message may have, by its name; the name of the instance counts as one.
# A "knock" or "carried" with just that many passes this check, but is malformed: its parser needs one more.
MIN_VALUES = {
    "born": 3,
    "down": 1,
    "roster": 2,
    "fleet": 3,
    "knock": 11,
    "carried": 12,
    "first": 3,
    "settled": 5,
    "interim": 6,
    "gone": 2,
    "timer": 2,
    "pingResult": 3,
    "noteFrom": 2,
}


class WireError(Exception):
    """The input does not follow the protocol of the simulator."""


def parse_listing(row: list[Any]) -> api.ServerListing:
    """Translates a row of a server list; missing values take their defaults."""
    server, zone, kind, cell, health, weight, started = (row + [None] * 7)[:7]
    return api.ServerListing(
        server=server,
        cell=int(cell or 0),
        zone=str(zone or ""),
        kind=str(kind or ""),
        health=HEALTH.get(health, api.Health.READY),
        weight=1.0 if weight is None else float(weight),
        started_us=int(started or 0),
    )


def parse_report(stats: dict[str, Any] | None) -> api.LoadReport | None:
    """Translates a load report; None where there is none."""
    if not stats:
        return None
    return api.LoadReport(streams=stats.get("outstanding"), link=stats.get("x0"), uplink=stats.get("x1"))


def parse_request(values: list[Any]) -> api.SessionRequested:
    """Translates a "knock": a request for a session."""
    (session, class_name, tenant, viewer, title, expires, length, first, copies, ceiling, bits) = values[:11]
    return build_request(
        session, class_name, tenant, viewer, title, expires, length, first, copies, ceiling, bits
    )


def parse_carried(values: list[Any]) -> api.SessionRequested:
    """Translates a "carried": a session that plays already."""
    (session, bits, tenant, viewer, ceiling, class_name, server, length, first, copies, expires, title) = (
        values[:12]
    )
    return build_request(
        session, class_name, tenant, viewer, title, expires, length, first, copies, ceiling, bits, server
    )


def build_request(
    session: int,
    class_name: str,
    tenant: Any,
    viewer: Any,
    title: str,
    expires: Any,
    length: Any,
    first: Any,
    copies: Any,
    ceiling: Any,
    bits: Any,
    server: int | None = None,
) -> api.SessionRequested:
    bits = int(bits or 0)
    return api.SessionRequested(
        session=session,
        class_name=class_name,
        title=title,
        first_cell=int(first or 0),
        copies=int(copies or 0),
        ceiling=255 if ceiling is None else int(ceiling),
        expires_us=int(expires or 0),
        tenant=str(tenant or ""),
        viewer=str(viewer or ""),
        length_us=int(length or 0) if bits & LENGTH_HINT_FLAG else 0,
        returning=bool(bits & RETURNING_FLAG),
        moved=bool(bits & MOVED_FLAG),
        server=server,
    )


def parse_note(values: list[Any]) -> api.Event | None:
    """Translates an "interim": a report on a playing session, which may be a load note."""
    session, _attempt, server, note_kind, value = values[:5]
    if note_kind == 1:
        return api.DeliveredShare(session, server, float(value))
    if note_kind == 2:
        return api.RungReported(session, server, int(value))
    if note_kind == 3:
        return api.LinkNote(session, server, float(value))
    if note_kind == 4:
        return api.UplinkNote(session, server, float(value))
    return None  # an unknown kind of report


def parse_attempt_ended(values: list[Any]) -> api.AttemptEnded:
    """Translates a "settled": the end of an attempt or session."""
    session, attempt, server, disposition, took, over, stats = (values + [None] * 3)[:7]
    return api.AttemptEnded(
        session, attempt, server, OUTCOMES[disposition], bool(over), int(took or 0), parse_report(stats)
    )


def parse_probe_ended(values: list[Any]) -> api.ProbeEnded:
    """Translates a "pingResult": the answer to a probe."""
    server, disposition, took, stats = (values + [None] * 2)[:4]
    return api.ProbeEnded(server, OUTCOMES[disposition], int(took or 0), parse_report(stats))


# A "first" has the session, the server, a value that is not used here, and the number of the attempt.
PARSERS: dict[str, Callable[[list[Any]], api.Event | None]] = {
    "knock": parse_request,
    "carried": parse_carried,
    "interim": parse_note,
    "settled": parse_attempt_ended,
    "pingResult": parse_probe_ended,
    "noteFrom": lambda v: None,
    "first": lambda v: api.SessionStarted(v[0], v[1], int(v[3]) if len(v) > 3 and v[3] is not None else 0),
    "gone": lambda v: api.ViewerLeft(v[0]),
    "timer": lambda v: api.TimerFired(v[0]),
}


def encode(name: str, action: api.Action) -> list[Any]:
    """Encodes an action of an instance as a decision of the simulator's protocol."""
    match action:
        case api.SetUp(session, server, timeout_us):
            return ["assign", name, session, timeout_us, server]
        case api.SetRung(session, rung):
            return ["rate", name, session, rung]
        case api.Refuse(session, retry_after_us):
            return ["busy", name, session, retry_after_us]
        case api.Fail(session):
            return ["reportFailure", name, session]
        case api.Move(session):
            return ["redirect", name, session]
        case api.Subscribe():
            return ["track", name, True]
        case api.Probe(server):
            return ["soundOut", name, server]
        case api.SetTimer(delay_us, token):
            return ["wakeAt", name, delay_us, token]
        case api.Log(text):
            return ["trace", name, text]


class Host:
    """All instances of one process.  They share the server lists that were received and nothing else."""

    def __init__(self) -> None:
        self.instances: dict[str, Controller] = {}
        self.server_lists: dict[int, tuple[api.ServerListing, ...]] = {}

    def handle_batch(self, line: str) -> str:
        """Returns the line of output for a line of input.  Raises WireError for malformed input."""
        try:
            data = json.loads(line)
        except ValueError as error:
            raise WireError(f"not JSON: {error}") from None
        if (
            not isinstance(data, dict)
            or not isinstance(data.get("tsUs"), int)
            or not isinstance(data.get("msgs"), list)
        ):
            raise WireError("a batch has to have tsUs, an integer, and msgs, an array")
        decisions: list[list[Any]] = []
        for message in data["msgs"]:
            if not isinstance(message, list) or not message or not isinstance(message[0], str):
                raise WireError("a message has to be an array that begins with its name")
            tag, values = message[0], message[1:]
            if tag not in MIN_VALUES:
                raise WireError(f"unknown message {tag[:40]!r}")
            if len(values) < MIN_VALUES[tag]:
                raise WireError(f"message {tag!r} is too short: {len(values)} of {MIN_VALUES[tag]} values")
            try:
                self.handle_message(data["tsUs"], tag, values, decisions)
            except (TypeError, ValueError, KeyError, IndexError, AttributeError) as error:
                raise WireError(f"message {tag!r} is malformed: {error!r}") from error
        return json.dumps({"decisions": decisions}, separators=(",", ":"))

    def handle_message(self, now_us: int, tag: str, values: list[Any], decisions: list[list[Any]]) -> None:
        """Applies one message and appends the decisions that follow; unknown instances are ignored."""
        if tag == "roster":
            self.server_lists[values[0]] = tuple(parse_listing(row) for row in values[1])
            return
        name = values[0]
        if tag == "born":
            settings, seed = parse_settings(values[2]), int(values[1])
            self.run_instance(name, decisions, lambda: self.start_instance(name, settings, seed))
        elif tag == "down":
            self.instances.pop(name, None)
        elif name in self.instances:
            event: api.Event | None
            if tag == "fleet":
                kind = LIST_KINDS[values[1]]
                rows = () if kind is api.ListKind.FAILED else self.server_lists[values[3]]
                event = api.FleetUpdate(kind, rows)
            else:
                event = PARSERS[tag](values[1:])
            if event is not None:
                received = event
                controller = self.instances[name]
                self.run_instance(name, decisions, lambda: controller.handle(now_us, received))

    def start_instance(self, name: str, settings: api.Settings, seed: int) -> list[api.Action]:
        """Starts an instance, in place of one of the same name."""
        self.instances[name] = Controller(settings, seed)
        return []

    def run_instance(
        self, name: str, decisions: list[list[Any]], call: Callable[[], list[api.Action]]
    ) -> None:
        """Calls an instance and encodes its actions; an exception becomes a "crash" and ends it."""
        try:
            actions = call()
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            self.instances.pop(name, None)
            text = " ".join(f"{type(error).__name__}: {error}".split())
            decisions.append(["crash", name, text[:200]])
            return
        decisions.extend(encode(name, action) for action in actions)


def serve(source: TextIO, sink: TextIO) -> int:
    """Answers lines until the input ends; returns the exit status, 2 after malformed input."""
    host = Host()
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            reply = host.handle_batch(line)
        except WireError as error:
            print(f"wirehost: line {number}: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
