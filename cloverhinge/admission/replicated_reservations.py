"""Reservations as ownership records `d/SERIAL.VIEWER`, so that each is claimed once among all routers.

A record is created when a viewer returns on a reservation.  If the reservation is claimed, the record ends
for good.  If the viewer came early, the record stays and goes to the router that the viewer comes to next.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverhinge.admission.fair_queue import MAX_WINDOW_MS
from cloverhinge.admission.gateway import AdmissionGateway
from cloverhinge.admission.reservations import Reservation
from cloverhinge.core.model import Request
from cloverhinge.ownership.component import Part
from cloverhinge.ownership.model import Verdict
from cloverhinge.ownership.register import Phase, Work
from cloverhinge.ownership.replicated_work import Kept

RECORD_PREFIX = "d"
REPLICA_TIMEOUT_MS = 250.0  # for the replicas to answer; admission of the viewer waits no longer for them
HAND_OVER_TIMEOUT_MS = 500.0  # for the previous owner to hand the record over


class ReplicatedReservations:
    """Implements the gateway's `ClaimPort`, and the interface for one record prefix of ownership.

    Records are retained as long as a reservation can be claimed.
    """

    def __init__(self, part: Part, gateway: AdmissionGateway, max_retry_after_ms: float) -> None:
        self.part = part
        gateway.claims = self
        part.serve(RECORD_PREFIX, self, max_retry_after_ms + MAX_WINDOW_MS)

    # `ClaimPort` of the gateway

    def claim(self, reservation: Reservation, callback: Callable[[bool], None]) -> None:
        """Claim the record; without replicas, grant it only if the site serves unreplicated work."""

        def answered(verdict: Verdict, work: Work | None) -> None:
            may_claim = verdict in (Verdict.NEW, Verdict.TAKEN_OVER)
            callback(may_claim or verdict is Verdict.UNREPLICATED and self.part.site.serve_unreplicated)

        work_data = Kept("", "", f"{reservation.viewer:x}")
        self.part.claim(
            self._id(reservation),
            True,
            work_data,
            REPLICA_TIMEOUT_MS,
            self.part.clock.now() + HAND_OVER_TIMEOUT_MS,
            answered,
        )

    def settle(self, reservation: Reservation, claimed: bool) -> None:
        """End the record of a claimed reservation; otherwise keep it until the reservation expires."""
        id = self._id(reservation)
        if claimed:
            self.part.end(id)
        else:
            self.part.change(id, Phase.STANDS)
            self.part.deadlines.after(
                max(0.0, reservation.expires_ms - self.part.clock.now()), lambda: self.part.end(id)
            )

    @staticmethod
    def _id(reservation: Reservation) -> str:
        # With the viewer, as two routers that start in the same millisecond use the same serials.
        return f"{RECORD_PREFIX}/{reservation.serial:x}.{reservation.viewer:x}"

    # `Wire` of ownership

    def own_name(self, text: str) -> str:
        """The name as given."""
        return text

    def adopt(self, id: str, work_data: Kept) -> bool:
        """Always possible: the viewer's token has all the data."""
        return True

    def held(self, id: str) -> Request | None:
        """None: no request belongs to a record."""
        return None

    def wanted(self, id: str) -> bool:
        """True for every record."""
        return True

    def lost(self, id: str) -> None:
        """Nothing to do: the new owner honours the reservation."""

    def let_go(self, work_data: Kept) -> None:
        """Nothing to do: a reservation uses no media server."""
