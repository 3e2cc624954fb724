"""Which boxes are left out by hand: records that merge alike in any order, so two processes agree."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

import msgspec

from cloverhinge.operations.file_formats import read

BANS_MOST = 1024  # boxes left out at a time: more than a router lists
RECORDS_MOST = 2 * BANS_MOST  # those that ended included
ENDED_KEPT_MS = 600_000.0  # an ended ban outlives any file of before by so much
NAMES_MOST = 16_384  # ids that were ever listed, the latest; some 2 MB
FILE_MOST = 512 * 1024  # bytes
NAME_MOST = 128  # characters of an id


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The last call for one box: `at_ms` is the Unix time at which it was taken."""

    at_ms: float
    out: bool

    def later(self, other: Record) -> bool:
        """At the same moment the ban holds: what is left out too long harms nobody."""
        return (self.at_ms, self.out) > (other.at_ms, other.out)


class Kept(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file's form."""

    form: Literal["bans 1"]
    records: dict[str, Record]


class Bans:
    """Who is left out.  `tell` sets a record, `merge` takes in others'; both return what changed."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.listed: dict[str, None] = {}  # ids that were ever listed, the longest known first
        self.out: set[str] = set()

    def names(self, names: Iterable[str]) -> None:
        """Ids that a list names: a call may be about them from now on, also when they have left it."""
        for name in names:
            self.listed.setdefault(name)
        while len(self.listed) > NAMES_MOST:
            del self.listed[next(iter(self.listed))]

    def known(self, name: str) -> bool:
        return name in self.listed or name in self.out

    def tell(self, name: str, out: bool, now_ms: float) -> bool:
        """A call.  False where no more can be left out."""
        if out and name not in self.out and len(self.out) >= BANS_MOST:
            return False
        before = self.records.get(name)
        # A clock that was set back changes nothing.
        at_ms = now_ms if before is None else max(now_ms, before.at_ms + 1.0)
        self.merge({name: Record(at_ms, out)}, now_ms)
        return True

    def merge(self, records: dict[str, Record], now_ms: float) -> dict[str, bool]:
        """Boxes of which another thing holds now: left out or not."""
        changed: dict[str, bool] = {}
        for name, record in records.items():
            before = self.records.get(name)
            if before is not None and not record.later(before):
                continue
            if record.out and name not in self.out and len(self.out) >= BANS_MOST:
                continue
            self.records[name] = record
            if record.out != (name in self.out):
                changed[name] = record.out
                (self.out.add if record.out else self.out.discard)(name)
        self._prune(now_ms)
        return changed

    def _prune(self, now_ms: float) -> None:
        ended = sorted((x.at_ms, name) for name, x in self.records.items() if not x.out)
        spare = len(self.records) - RECORDS_MOST
        for at, (at_ms, name) in enumerate(ended):
            if at < spare or now_ms - at_ms > ENDED_KEPT_MS:
                del self.records[name]

    def lacking(self, records: dict[str, Record]) -> bool:
        """Whether this knows of something that those records don't."""
        return any(name not in records or own.later(records[name]) for name, own in self.records.items())

    def encode(self) -> bytes:
        return msgspec.json.encode(Kept("bans 1", self.records))


def decode(data: bytes) -> dict[str, Record]:
    """The records of a file.  ValueError, in one plain sentence, where it is none of ours."""
    kept = read(data, Kept, FILE_MOST, "file of bans")
    if len(kept.records) > RECORDS_MOST:
        raise ValueError(f"holds {len(kept.records)} records, {RECORDS_MOST} at most")
    for name, record in kept.records.items():
        if not 0 < len(name) <= NAME_MOST or not 0 <= record.at_ms < 1e15:
            raise ValueError("holds a record that makes no sense")
    return kept.records
