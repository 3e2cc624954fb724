"""A line of the staff's in, an answer out."""

from __future__ import annotations

from typing import Protocol

from cloverhinge.operations.maintenance import MAX_ID_LENGTH, MAX_IN_MAINTENANCE
from cloverhinge.operations.metrics import MetricsSnapshot

MAX_LINE_BYTES = 256  # bytes of a call: a word and an id
COMMAND_LIST = "status, stats, maint-on ID, maint-off ID"


class CommandTarget(Protocol):
    """What a call may ask of the router and tell it."""

    @property
    def not_ready_reason(self) -> str:
        """Why it can't serve now, in words; none where it can."""

    def metrics(self) -> MetricsSnapshot: ...

    def is_known(self, name: str) -> bool:
        """Whether a list has ever named this box."""

    def set_maintenance(self, name: str, active: bool) -> bool:
        """Leave a box out or put it back.  False where no more can be left out."""


def execute(line: bytes, target: CommandTarget) -> str:
    """The answer to one call, with all its lines ended.  Says no to whatever is no call."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        words = []
    match words:
        case ["status"]:
            return nak(target.not_ready_reason) if target.not_ready_reason else "ACK\n"
        case ["stats"]:
            return "".join(f"{x}\n" for x in ("ACK", *target.metrics().lines(), "--"))
        case ["maint-on" | "maint-off", name] if len(name) > MAX_ID_LENGTH or not target.is_known(name):
            return nak("no such id was ever listed")
        case ["maint-on", name]:
            return (
                "ACK\n"
                if target.set_maintenance(name, True)
                else nak(f"{MAX_IN_MAINTENANCE} are left out already")
            )
        case ["maint-off", name]:
            target.set_maintenance(name, False)
            return "ACK\n"
    return nak(f"known calls: {COMMAND_LIST}")


def nak(why: str) -> str:
    return f"NAK {why}\n"
