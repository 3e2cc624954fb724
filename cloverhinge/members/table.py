"""The table of member records, merged so that the order in which updates arrive does not matter.

Records of one name are ordered by incarnation, then alive < dead < left, then (if alive) run and number; the
highest one wins.  Routers that have the same records have the same view with the same number and digest.
This module does no I/O.
"""

from __future__ import annotations

import bisect
import hashlib
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from cloverhinge.members.wire import Record, State

MAX_RECORDS = 1024  # including members that are dead or have left


@dataclass(frozen=True, slots=True)
class View:
    """The names of the alive members; equal on all routers that have received the same updates.

    `number` counts the changes that led to this view.  The two sides of a partition may arrive at the same
    number by different changes, so only number and digest together identify a view.  `expected` counts all
    members, alive or dead, that have not left in a planned way.
    """

    number: int
    digest: int
    names: tuple[str, ...]
    expected: int

    @property
    def majority(self) -> bool:
        """Whether more than half of the expected members are alive."""
        return 2 * len(self.names) > self.expected


def rank(record: Record) -> tuple[int, int, int, int]:
    """Sort key of records of one name; the record with the highest rank wins."""
    if record.state is State.ALIVE:
        return record.incarnation, 0, record.run, record.number
    return record.incarnation, int(record.state), 0, 0


def change_count(record: Record) -> int:
    """How many changes of the view led to this record: joined, gone, returned, gone again, ..."""
    return 2 * record.incarnation - 1 + (record.state is not State.ALIVE)


def digest_of(record: Record) -> int:
    """Hash of name, incarnation and state (63 bits); a view's digest is the XOR of those of its records."""
    text = f"{record.name} {record.incarnation} {int(record.state)}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


class MemberTable:
    """The newest record of each member, and the records that still have to be passed on."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.sizes: dict[str, int] = {}  # encoded size of each record in bytes
        self.pending_updates: OrderedDict[str, int] = OrderedDict()  # name: how often it was passed on
        self.number, self.digest, self.expected = 0, 0, 0
        self._names: tuple[str, ...] | None = ()
        self._sorted_names: list[str] = []  # rebuilt when the number of records has changed
        self.rejected = 0

    def alive(self, name: str) -> bool:
        """Whether the newest record of the name is alive; False for an unknown name."""
        record = self.records.get(name)
        return record is not None and record.state is State.ALIVE

    @property
    def names(self) -> tuple[str, ...]:
        """The sorted names of the alive members."""
        if self._names is None:
            self._names = tuple(sorted(x.name for x in self.records.values() if x.state is State.ALIVE))
        return self._names

    @property
    def sorted_names(self) -> list[str]:
        """The sorted names of all records, whatever their state."""
        if len(self._sorted_names) != len(self.records):
            self._sorted_names = sorted(self.records)
        return self._sorted_names

    def view(self) -> View:
        """Returns an immutable snapshot of the current view."""
        return View(self.number, self.digest, self.names, self.expected)

    def supersedes(self, record: Record) -> bool:
        """Whether the record is newer than the one in the table."""
        present = self.records.get(record.name)
        return present is None or rank(record) > rank(present)

    def put(self, record: Record) -> bool:
        """Stores a record that supersedes the present one; False if the table is full of other names."""
        present = self.records.get(record.name)
        if present is None and len(self.records) >= MAX_RECORDS and not self._evict_left():
            self.rejected += 1
            return False
        if present is not None:
            self._count(present, -1)
        if present is None or present.state is not record.state:
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
        """Removes a member that has left; dead members count in `expected` and stay."""
        for name, record in self.records.items():
            if record.state is State.LEFT:
                self._count(record, -1)
                del self.records[name], self.sizes[name]
                self.pending_updates.pop(name, None)
                return True
        return False

    def take_updates(self, max_bytes: int, repeats: int) -> list[Record]:
        """Returns records to pass on, up to `max_bytes` in total, those that have waited longest first.

        A record is dropped from the pending updates once it has been passed on `repeats` times.
        """
        chosen: list[Record] = []
        for name in list(self.pending_updates):
            size = self.sizes[name]
            if size > max_bytes:
                if max_bytes < 64:  # less than the size of a record
                    break
                continue
            max_bytes -= size
            chosen.append(self.records[name])
            count = self.pending_updates.pop(name) + 1
            if count < repeats:
                self.pending_updates[name] = count
        return chosen

    def names_from(self, first: str, limit: int) -> tuple[str, list[str]]:
        """Returns the name at which the next slice begins, and up to `limit` names from `first` on.

        The former is "" if the next slice begins at the start again.
        """
        names = self.sorted_names
        start = bisect.bisect_left(names, first)
        chosen = names[start : start + limit]
        return (names[start + limit] if start + limit < len(names) else ""), chosen
