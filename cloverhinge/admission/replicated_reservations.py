"""Promises as custody keeps them: `d/SERIAL.VIEWER`, each claimed once wherever its viewer comes.

A record is made when a viewer comes on a promise.  One that is claimed is over for good; one that came early
stands, and goes to the router to which its viewer comes next.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverhinge.admission.fair_queue import WINDOW_MOST_MS
from cloverhinge.admission.gateway import Gate
from cloverhinge.admission.reservations import Promise
from cloverhinge.core.model import Request
from cloverhinge.ownership.component import Part
from cloverhinge.ownership.model import Verdict
from cloverhinge.ownership.register import Phase, Work
from cloverhinge.ownership.replicated_work import Kept

LETTER = "d"
SOON_MS = 250.0  # for the keepers to answer: a viewer waits at the door as long as that at the most
HELD_MS = 500.0  # for the router that had it last to hand it over


class KeptPromises:
    def __init__(self, part: Part, gate: Gate, quote_most_ms: float) -> None:
        self.part = part
        gate.claims = self
        part.serve(LETTER, self, quote_most_ms + WINDOW_MOST_MS)

    # The gate's `Claims`

    def claim(self, promise: Promise, call: Callable[[bool], None]) -> None:
        def answered(verdict: Verdict, work: Work | None) -> None:
            mine = verdict in (Verdict.NEW, Verdict.TAKEN)
            call(mine or verdict is Verdict.UNKEPT and self.part.site.serve)

        kept = Kept("", "", f"{promise.viewer:x}")
        self.part.claim(self._id(promise), True, kept, SOON_MS, self.part.clock.now() + HELD_MS, answered)

    def settle(self, promise: Promise, claimed: bool) -> None:
        id = self._id(promise)
        if claimed:
            self.part.end(id)
        else:
            self.part.change(id, Phase.STANDS)
            self.part.deadlines.after(
                max(0.0, promise.until_ms - self.part.clock.now()), lambda: self.part.end(id)
            )

    @staticmethod
    def _id(promise: Promise) -> str:
        return f"{LETTER}/{promise.serial:x}.{promise.viewer:x}"  # two routers may start in one millisecond

    # Custody's `Wire`

    def own_name(self, text: str) -> str:
        return text

    def adopt(self, id: str, kept: Kept) -> bool:
        return True  # the ticket that its viewer brings says all

    def held(self, id: str) -> Request | None:
        return None

    def wanted(self, id: str) -> bool:
        return True

    def lost(self, id: str) -> None:
        """Whoever has it now honours it."""

    def let_go(self, kept: Kept) -> None:
        """Nothing of it is at a box."""
