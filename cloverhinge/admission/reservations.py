"""The open reservations of one client: bounded, found by viewer, claimed once.  Free of I/O.

A reservation is a position in the queue with a time.  It is stored by viewer.  A reservation token restores
one that was lost in a restart, as long as it has not been claimed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sortedcontainers import SortedDict

if TYPE_CHECKING:
    from cloverhinge.admission.fair_queue import Pool


@dataclass(frozen=True, slots=True)
class Reservation:
    """A time at which a viewer may return, made with a rejection; it can be claimed until `expires_ms`."""

    serial: int
    viewer: int
    bucket: int
    pool: Pool
    made_ms: float
    retry_after_ms: float
    due_ms: float
    expires_ms: float


class ReservationTable:
    """Open reservations: at most `max_open`, and at most `max_per_bucket` of one bucket."""

    def __init__(self, max_open: int, max_per_bucket: int, first_serial: int = 1) -> None:
        """Start serials at `first_serial`, which no earlier run has reached, to tell tokens of other runs
        apart.
        """
        self.max_open, self.max_per_bucket = max_open, max_per_bucket
        self.by_viewer: dict[tuple[int, str], Reservation] = {}  # by viewer and class
        self.by_serial: dict[int, Reservation] = {}
        self.count_by_bucket: dict[int, int] = {}
        self.by_expiry: SortedDict[tuple[float, int], Reservation] = SortedDict()  # by expiry and serial
        # Reservations of other runs that were claimed here, by expiry and serial.
        self.claimed_foreign: SortedDict[tuple[float, int], None] = SortedDict()
        self.first_serial, self.next_serial = first_serial, first_serial

    def __len__(self) -> int:
        return len(self.by_serial)

    def find(self, viewer: int, class_name: str) -> Reservation | None:
        """The open reservation of a viewer for a class."""
        return self.by_viewer.get((viewer, class_name))

    def is_open(self, reservation: Reservation) -> bool:
        """Whether it is not claimed yet.

        A reservation of this run is open while it is stored.  One of another run is open until its token is
        used here, and only while the table of used tokens has space.
        """
        if self.first_serial <= reservation.serial < self.next_serial:
            return reservation.serial in self.by_serial
        return (reservation.expires_ms, reservation.serial) not in self.claimed_foreign and len(
            self.claimed_foreign
        ) < self.max_open

    def claim(self, reservation: Reservation) -> Reservation | None:
        """Remove it; None where it is known from a token only, so that no position was counted for it."""
        if reservation.serial in self.by_serial:
            self._remove(reservation)
            return reservation
        self.claimed_foreign[reservation.expires_ms, reservation.serial] = None
        return None

    def create(
        self,
        viewer: int,
        bucket: int,
        pool: Pool,
        now: float,
        retry_after_ms: float,
        window_ms: float,
    ) -> Reservation | None:
        """A new reservation; None where the table or the bucket's limit is full, or the viewer has one."""
        key = (viewer, pool.class_name)
        if (
            len(self) >= self.max_open
            or self.count_by_bucket.get(bucket, 0) >= self.max_per_bucket
            or key in self.by_viewer
        ):
            return None
        due_ms = now + retry_after_ms
        reservation = Reservation(
            self.next_serial, viewer, bucket, pool, now, retry_after_ms, due_ms, due_ms + window_ms
        )
        self.next_serial += 1
        self.by_viewer[key] = self.by_serial[reservation.serial] = reservation
        self.by_expiry[reservation.expires_ms, reservation.serial] = reservation
        self.count_by_bucket[bucket] = self.count_by_bucket.get(bucket, 0) + 1
        return reservation

    def expire(self, now: float) -> list[Reservation]:
        """Remove and return the reservations whose window is over."""
        expired: list[Reservation] = []
        while self.by_expiry and self.by_expiry.peekitem(0)[0][0] < now:
            expired.append(self.by_expiry.peekitem(0)[1])
            self._remove(expired[-1])
        while self.claimed_foreign and self.claimed_foreign.peekitem(0)[0][0] < now:
            self.claimed_foreign.popitem(0)
        return expired

    def _remove(self, reservation: Reservation) -> None:
        del self.by_serial[reservation.serial]
        del self.by_expiry[reservation.expires_ms, reservation.serial]
        self.by_viewer.pop((reservation.viewer, reservation.pool.class_name), None)
        remaining = self.count_by_bucket.pop(reservation.bucket) - 1
        if remaining:
            self.count_by_bucket[reservation.bucket] = remaining
