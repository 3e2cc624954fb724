"""Reservations as ownership records `d/SERIAL.VIEWER`, so that each is claimed once among all routers.

A record is created when a viewer returns on a reservation.  If the reservation is claimed, the record ends
for good.  If the viewer came early, the record stays and is handed over to the router at which the viewer
returns.
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
REPLICA_TIMEOUT_MS = 250.0  # for the replicas to answer; admission of the viewer waits no longer for them
HAND_OVER_TIMEOUT_MS = 500.0  # for the previous owner to hand the record over


class ReplicatedReservations:
    """Implements the gateway's `ClaimPort`, and the interface for one record prefix of ownership.

    Records are retained as long as a reservation can be claimed.
    """

    def __init__(
        self, ownership: OwnershipComponent, gateway: AdmissionGateway, max_retry_after_ms: float
    ) -> None:
        self.ownership = ownership
        gateway.claims = self
        ownership.add_front(RECORD_PREFIX, self, max_retry_after_ms + MAX_WINDOW_MS)

    # `ClaimPort` of the gateway

    def claim(self, reservation: Reservation, callback: Callable[[bool], None]) -> None:
        """Claim the record; without replicas, grant it only if the site serves unreplicated work."""

        def answered(verdict: Verdict, work: Work | None) -> None:
            may_claim = verdict in (Verdict.NEW, Verdict.TAKEN_OVER)
            callback(may_claim or verdict is Verdict.UNREPLICATED and self.ownership.site.serve_unreplicated)

        session = ReplicatedSession("", "", f"{reservation.viewer:x}")
        self.ownership.claim(
            self._id(reservation),
            True,
            session,
            REPLICA_TIMEOUT_MS,
            self.ownership.clock.now() + HAND_OVER_TIMEOUT_MS,
            answered,
        )

    def settle(self, reservation: Reservation, claimed: bool) -> None:
        """End the record of a claimed reservation; otherwise retain it until the reservation expires."""
        id = self._id(reservation)
        if claimed:
            self.ownership.end(id)
        else:
            self.ownership.update_phase(id, Phase.STANDS)
            self.ownership.deadlines.after(
                max(0.0, reservation.expires_ms - self.ownership.clock.now()), lambda: self.ownership.end(id)
            )

    @staticmethod
    def _id(reservation: Reservation) -> str:
        # With the viewer, as two routers that start in the same millisecond use the same serials.
        return f"{RECORD_PREFIX}/{reservation.serial:x}.{reservation.viewer:x}"

    # `FrontAdapter` of ownership

    def record_name(self, text: str) -> str:
        """The name as given."""
        return text

    def adopt(self, id: str, session: ReplicatedSession) -> bool:
        """Always possible: the viewer's token has all the data."""
        return True

    def request_of(self, id: str) -> Request | None:
        """None: no request belongs to a record."""
        return None

    def has_client(self, id: str) -> bool:
        """True for every record."""
        return True

    def ownership_lost(self, id: str) -> None:
        """Nothing to do: the new owner honours the reservation."""

    def release_leftover(self, session: ReplicatedSession) -> None:
        """Nothing to do: a reservation uses no media server."""
