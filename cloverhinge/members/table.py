"""What is known of each member, merged so that the order in which news come does not matter.  Pure.

Records of a name are ordered by incarnation, then alive < dead < left, then (alive ones) run and number; the
higher one wins.  Whoever holds the same records holds the same view, its number and its digest.
"""

from __future__ import annotations

import bisect
import hashlib
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from cloverhinge.members.wire import Record, State

MAX_RECORDS = 1024  # members, those that are gone counted


@dataclass(frozen=True, slots=True)
class View:
    """The members that are in: equal wherever the same news have arrived.

    `number` counts the changes that led here; two sides of a split may reach one number by other changes, so
    only number and digest together name a view.  `whole` counts all that have not left by plan.
    """

    number: int
    digest: int
    names: tuple[str, ...]
    expected: int

    @property
    def majority(self) -> bool:
        return 2 * len(self.names) > self.expected


def rank(record: Record) -> tuple[int, int, int, int]:
    if record.state is State.ALIVE:
        return record.incarnation, 0, record.run, record.number
    return record.incarnation, int(record.state), 0, 0


def change_count(record: Record) -> int:
    """How many changes of the view brought a member here: came, went, came again, ..."""
    return 2 * record.incarnation - 1 + (record.state is not State.ALIVE)


def digest_of(record: Record) -> int:
    text = f"{record.name} {record.incarnation} {int(record.state)}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


class MemberTable:
    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.sizes: dict[str, int] = {}  # bytes of each record on the wire
        self.pending_updates: OrderedDict[str, int] = (
            OrderedDict()
        )  # names to pass on, and how often they were
        self.number, self.digest, self.expected = 0, 0, 0
        self._names: tuple[str, ...] | None = ()
        self._sorted_names: list[str] = []  # all names sorted, for slices
        self.rejected = 0

    def alive(self, name: str) -> bool:
        record = self.records.get(name)
        return record is not None and record.state is State.ALIVE

    @property
    def names(self) -> tuple[str, ...]:
        if self._names is None:
            self._names = tuple(sorted(x.name for x in self.records.values() if x.state is State.ALIVE))
        return self._names

    @property
    def sorted_names(self) -> list[str]:
        if len(self._sorted_names) != len(self.records):
            self._sorted_names = sorted(self.records)
        return self._sorted_names

    def view(self) -> View:
        return View(self.number, self.digest, self.names, self.expected)

    def supersedes(self, record: Record) -> bool:
        held = self.records.get(record.name)
        return held is None or rank(record) > rank(held)

    def put(self, record: Record) -> bool:
        """Takes a newer record; False where the table is full of others."""
        held = self.records.get(record.name)
        if held is None and len(self.records) >= MAX_RECORDS and not self._evict_left():
            self.rejected += 1
            return False
        if held is not None:
            self._count(held, -1)
        if held is None or held.state is not record.state:
            self._names = None
        self.records[record.name] = record
        self.sizes[record.name] = len(msgspec.msgpack.encode(record))
        self._count(record, 1)
        self.pending_updates.pop(record.name, None)
        self.pending_updates[record.name] = 0
        return True

    def _count(self, record: Record, sign: int) -> None:
        self.number += sign * change_count(record)
        self.digest ^= digest_of(record)
        self.expected += sign * (record.state is not State.LEFT)

    def _evict_left(self) -> bool:
        """Who left by plan makes room; who is dead counts in `whole`, and stays."""
        for name, record in self.records.items():
            if record.state is State.LEFT:
                self._count(record, -1)
                del self.records[name], self.sizes[name]
                self.pending_updates.pop(name, None)
                return True
        return False

    def take_updates(self, max_bytes: int, repeats: int) -> list[Record]:
        """The least told news that fit into `room` bytes; each is told `times` times and then no more."""
        told: list[Record] = []
        for name in list(self.pending_updates):
            size = self.sizes[name]
            if size > max_bytes:
                if max_bytes < 64:
                    break
                continue
            max_bytes -= size
            told.append(self.records[name])
            count = self.pending_updates.pop(name) + 1
            if count < repeats:
                self.pending_updates[name] = count
        return told

    def names_from(self, first: str, limit: int) -> tuple[str, list[str]]:
        """Up to `most` names from `after` on, and where the next slice begins ("": at the start)."""
        order = self.sorted_names
        at = bisect.bisect_left(order, first)
        names = order[at : at + limit]
        return (order[at + limit] if at + limit < len(order) else ""), names
