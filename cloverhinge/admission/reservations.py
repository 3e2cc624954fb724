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
class Promise:
    serial: int
    viewer: int
    bucket: int
    pool: Pool
    made_ms: float
    quote_ms: float
    due_ms: float
    until_ms: float  # it is lost after this


class Promises:
    """At most `most` at a time, and at most `bucket_most` of one bucket."""

    def __init__(self, most: int, bucket_most: int, first_serial: int = 1) -> None:
        """Serials start at `first_serial`, which no earlier run has reached: tickets of those are told
        apart."""
        self.most, self.bucket_most = most, bucket_most
        self.by_viewer: dict[tuple[int, str], Promise] = {}
        self.by_serial: dict[int, Promise] = {}
        self.of_bucket: dict[int, int] = {}
        self.lapsing: SortedDict[tuple[float, int], Promise] = SortedDict()
        self.claimed: SortedDict[tuple[float, int], None] = SortedDict()  # of tickets of other runs
        self.first, self.serial = first_serial, first_serial

    def __len__(self) -> int:
        return len(self.by_serial)

    def find(self, viewer: int, class_name: str) -> Promise | None:
        return self.by_viewer.get((viewer, class_name))

    def open(self, promise: Promise) -> bool:
        """Not claimed yet: remembered, or told by a ticket of another run that none brought before."""
        if self.first <= promise.serial < self.serial:
            return promise.serial in self.by_serial
        return (promise.until_ms, promise.serial) not in self.claimed and len(self.claimed) < self.most

    def claim(self, promise: Promise) -> Promise | None:
        """Take it out; None where it came by a ticket alone, and no place was counted for it."""
        if promise.serial in self.by_serial:
            self._drop(promise)
            return promise
        self.claimed[promise.until_ms, promise.serial] = None
        return None

    def give(
        self,
        viewer: int,
        bucket: int,
        pool: Pool,
        now: float,
        quote_ms: float,
        window_ms: float,
    ) -> Promise | None:
        """A new promise; None where the table or the bucket's part of it is full, or the viewer has one."""
        key = (viewer, pool.class_name)
        if (
            len(self) >= self.most
            or self.of_bucket.get(bucket, 0) >= self.bucket_most
            or key in self.by_viewer
        ):
            return None
        due = now + quote_ms
        promise = Promise(self.serial, viewer, bucket, pool, now, quote_ms, due, due + window_ms)
        self.serial += 1
        self.by_viewer[key] = self.by_serial[promise.serial] = promise
        self.lapsing[promise.until_ms, promise.serial] = promise
        self.of_bucket[bucket] = self.of_bucket.get(bucket, 0) + 1
        return promise

    def lapse(self, now: float) -> list[Promise]:
        """Those whose window is over; they are forgotten."""
        gone: list[Promise] = []
        while self.lapsing and self.lapsing.peekitem(0)[0][0] < now:
            gone.append(self.lapsing.peekitem(0)[1])
            self._drop(gone[-1])
        while self.claimed and self.claimed.peekitem(0)[0][0] < now:
            self.claimed.popitem(0)
        return gone

    def _drop(self, promise: Promise) -> None:
        del self.by_serial[promise.serial]
        del self.lapsing[promise.until_ms, promise.serial]
        self.by_viewer.pop((promise.viewer, promise.pool.class_name), None)
        left = self.of_bucket.pop(promise.bucket) - 1
        if left:
            self.of_bucket[promise.bucket] = left
