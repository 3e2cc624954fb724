"""The operator command protocol: parses one command line and returns its answer."""

from __future__ import annotations

from typing import Protocol

from cloverhinge.operations.maintenance import MAX_ID_LENGTH, MAX_IN_MAINTENANCE
from cloverhinge.operations.metrics import MetricsSnapshot

MAX_LINE_BYTES = 256  # a command word and an ID
COMMAND_LIST = "status, stats, maint-on ID, maint-off ID"


class CommandTarget(Protocol):
    """The part of the router that operator commands read and change."""

    @property
    def not_ready_reason(self) -> str:
        """Why the router cannot serve now, in words; empty if it can."""

    def metrics(self) -> MetricsSnapshot:
        """Counters and gauges at this moment."""
        ...

    def is_known(self, name: str) -> bool:
        """Whether a list has ever named this media server."""

    def set_maintenance(self, name: str, active: bool) -> bool:
        """Start or end a media server's maintenance mode.

        False if too many media servers are in maintenance mode already.
        """


def execute(line: bytes, target: CommandTarget) -> str:
    """Execute one command line and return its answer, each line of which ends with a newline.

    Anything that is not a valid command, non-ASCII bytes included, is answered with NAK and a reason.
    """
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


def nak(reason: str) -> str:
    """A negative answer."""
    return f"NAK {reason}\n"
