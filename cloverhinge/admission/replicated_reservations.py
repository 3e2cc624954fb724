"""Promises as custody keeps them: `d/SERIAL.VIEWER`, each claimed once wherever its viewer comes.

A record is made when a viewer comes on a promise.  One that is claimed is over for good; one that came early
stands, and goes to the router to which its viewer comes next.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverhinge.admission.fair_queue import MAX_WINDOW_MS
from cloverhinge.admission.gateway import AdmissionGateway
from cloverhinge.admission.reservations import Reservation
from cloverhinge.core.model import Request
from cloverhinge.ownership.component import OwnershipComponent
from cloverhinge.ownership.model import Verdict
from cloverhinge.ownership.register import Phase, Work
from cloverhinge.ownership.replicated_work import ReplicatedSession

RECORD_PREFIX = "d"
REPLICA_TIMEOUT_MS = (
    250.0  # for the keepers to answer: a viewer waits at the door as long as that at the most
)
HAND_OVER_TIMEOUT_MS = 500.0  # for the router that had it last to hand it over


class ReplicatedReservations:
    def __init__(
        self, ownership: OwnershipComponent, gate: AdmissionGateway, max_retry_after_ms: float
    ) -> None:
        self.ownership = ownership
        gate.claims = self
        ownership.add_front(RECORD_PREFIX, self, max_retry_after_ms + MAX_WINDOW_MS)

    # The gate's `Claims`

    def claim(self, promise: Reservation, call: Callable[[bool], None]) -> None:
        def answered(verdict: Verdict, work: Work | None) -> None:
            mine = verdict in (Verdict.NEW, Verdict.TAKEN_OVER)
            call(mine or verdict is Verdict.UNREPLICATED and self.ownership.site.serve)

        kept = ReplicatedSession("", "", f"{promise.viewer:x}")
        self.ownership.claim(
            self._id(promise),
            True,
            kept,
            REPLICA_TIMEOUT_MS,
            self.ownership.clock.now() + HAND_OVER_TIMEOUT_MS,
            answered,
        )

    def settle(self, promise: Reservation, claimed: bool) -> None:
        id = self._id(promise)
        if claimed:
            self.ownership.end(id)
        else:
            self.ownership.update_phase(id, Phase.STANDS)
            self.ownership.deadlines.after(
                max(0.0, promise.expires_ms - self.ownership.clock.now()), lambda: self.ownership.end(id)
            )

    @staticmethod
    def _id(promise: Reservation) -> str:
        # two routers may start in one millisecond
        return f"{RECORD_PREFIX}/{promise.serial:x}.{promise.viewer:x}"

    # Custody's `Wire`

    def record_name(self, text: str) -> str:
        return text

    def adopt(self, id: str, session: ReplicatedSession) -> bool:
        return True  # the ticket that its viewer brings says all

    def request_of(self, id: str) -> Request | None:
        return None

    def has_client(self, id: str) -> bool:
        return True

    def ownership_lost(self, id: str) -> None:
        """Whoever has it now honours it."""

    def release_leftover(self, session: ReplicatedSession) -> None:
        """Nothing of it is at a box."""
