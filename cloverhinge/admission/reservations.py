"""Promises that are out, for one client: bounded, found by viewer, claimed once.  Free of I/O.

A promise is a place in line with a time.  It is remembered by viewer; whoever carries its ticket can have it
found even where it was forgotten (a restart), as long as it has not been claimed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sortedcontainers import SortedDict

if TYPE_CHECKING:
    from cloverhinge.admission.fair_queue import Pool


@dataclass(frozen=True, slots=True)
class Reservation:
    serial: int
    viewer: int
    bucket: int
    pool: Pool
    made_ms: float
    retry_after_ms: float
    due_ms: float
    expires_ms: float  # it is lost after this


class ReservationTable:
    """At most `most` at a time, and at most `bucket_most` of one bucket."""

    def __init__(self, max_open: int, max_per_bucket: int, first_serial: int = 1) -> None:
        """Serials start at `first_serial`, which no earlier run has reached: tickets of those are told
        apart."""
        self.max_open, self.max_per_bucket = max_open, max_per_bucket
        self.by_viewer: dict[tuple[int, str], Reservation] = {}
        self.by_serial: dict[int, Reservation] = {}
        self.count_by_bucket: dict[int, int] = {}
        self.by_expiry: SortedDict[tuple[float, int], Reservation] = SortedDict()
        self.claimed_foreign: SortedDict[tuple[float, int], None] = SortedDict()  # of tickets of other runs
        self.first_serial, self.next_serial = first_serial, first_serial

    def __len__(self) -> int:
        return len(self.by_serial)

    def find(self, viewer: int, class_name: str) -> Reservation | None:
        return self.by_viewer.get((viewer, class_name))

    def is_open(self, promise: Reservation) -> bool:
        """Not claimed yet: remembered, or told by a ticket of another run that none brought before."""
        if self.first_serial <= promise.serial < self.next_serial:
            return promise.serial in self.by_serial
        return (promise.expires_ms, promise.serial) not in self.claimed_foreign and len(
            self.claimed_foreign
        ) < self.max_open

    def claim(self, promise: Reservation) -> Reservation | None:
        """Take it out; None where it came by a ticket alone, and no place was counted for it."""
        if promise.serial in self.by_serial:
            self._remove(promise)
            return promise
        self.claimed_foreign[promise.expires_ms, promise.serial] = None
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
        """A new promise; None where the table or the bucket's part of it is full, or the viewer has one."""
        key = (viewer, pool.class_name)
        if (
            len(self) >= self.max_open
            or self.count_by_bucket.get(bucket, 0) >= self.max_per_bucket
            or key in self.by_viewer
        ):
            return None
        due = now + retry_after_ms
        promise = Reservation(
            self.next_serial, viewer, bucket, pool, now, retry_after_ms, due, due + window_ms
        )
        self.next_serial += 1
        self.by_viewer[key] = self.by_serial[promise.serial] = promise
        self.by_expiry[promise.expires_ms, promise.serial] = promise
        self.count_by_bucket[bucket] = self.count_by_bucket.get(bucket, 0) + 1
        return promise

    def expire(self, now: float) -> list[Reservation]:
        """Those whose window is over; they are forgotten."""
        gone: list[Reservation] = []
        while self.by_expiry and self.by_expiry.peekitem(0)[0][0] < now:
            gone.append(self.by_expiry.peekitem(0)[1])
            self._remove(gone[-1])
        while self.claimed_foreign and self.claimed_foreign.peekitem(0)[0][0] < now:
            self.claimed_foreign.popitem(0)
        return gone

    def _remove(self, promise: Reservation) -> None:
        del self.by_serial[promise.serial]
        del self.by_expiry[promise.expires_ms, promise.serial]
        self.by_viewer.pop((promise.viewer, promise.pool.class_name), None)
        left = self.count_by_bucket.pop(promise.bucket) - 1
        if left:
            self.count_by_bucket[promise.bucket] = left
