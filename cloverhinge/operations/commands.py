"""A line of the staff's in, an answer out."""

from __future__ import annotations

from typing import Protocol

from cloverhinge.operations.maintenance import BANS_MOST, NAME_MOST
from cloverhinge.operations.metrics import Figures

LINE_MOST = 256  # bytes of a call: a word and an id
WORDS = "status, stats, maint-on ID, maint-off ID"


class Router(Protocol):
    """What a call may ask of the router and tell it."""

    @property
    def waits_for(self) -> str:
        """Why it can't serve now, in words; none where it can."""

    def figures(self) -> Figures: ...

    def known(self, name: str) -> bool:
        """Whether a list has ever named this box."""

    def leave_out(self, name: str, out: bool) -> bool:
        """Leave a box out or put it back.  False where no more can be left out."""


def answer(line: bytes, router: Router) -> str:
    """The answer to one call, with all its lines ended.  Says no to whatever is no call."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        words = []
    match words:
        case ["status"]:
            return no(router.waits_for) if router.waits_for else "ACK\n"
        case ["stats"]:
            return "".join(f"{x}\n" for x in ("ACK", *router.figures().lines(), "--"))
        case ["maint-on" | "maint-off", name] if len(name) > NAME_MOST or not router.known(name):
            return no("no such id was ever listed")
        case ["maint-on", name]:
            return "ACK\n" if router.leave_out(name, True) else no(f"{BANS_MOST} are left out already")
        case ["maint-off", name]:
            router.leave_out(name, False)
            return "ACK\n"
    return no(f"known calls: {WORDS}")


def no(why: str) -> str:
    return f"NAK {why}\n"
