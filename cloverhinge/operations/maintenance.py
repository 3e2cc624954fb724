"""Which boxes are left out by hand: records that merge alike in any order, so two processes agree."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

import msgspec

from cloverhinge.operations.file_formats import decode_json_file

MAX_IN_MAINTENANCE = 1024  # boxes left out at a time: more than a router lists
MAX_RECORDS = 2 * MAX_IN_MAINTENANCE  # those that ended included
ENDED_RETENTION_MS = 600_000.0  # an ended ban outlives any file of before by so much
MAX_KNOWN_IDS = 16_384  # ids that were ever listed, the latest; some 2 MB
MAX_FILE_BYTES = 512 * 1024  # bytes
MAX_ID_LENGTH = 128  # characters of an id


class MaintenanceRecord(msgspec.Struct, frozen=True, array_like=True):
    """The last call for one box: `at_ms` is the Unix time at which it was taken."""

    changed_ms: float
    active: bool

    def supersedes(self, other: MaintenanceRecord) -> bool:
        """At the same moment the ban holds: what is left out too long harms nobody."""
        return (self.changed_ms, self.active) > (other.changed_ms, other.active)


class MaintenanceFileContent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file's form."""

    form: Literal["bans 1"]
    records: dict[str, MaintenanceRecord]


class MaintenanceRegister:
    """Who is left out.  `tell` sets a record, `merge` takes in others'; both return what changed."""

    def __init__(self) -> None:
        self.records: dict[str, MaintenanceRecord] = {}
        self.known_ids: dict[str, None] = {}  # ids that were ever listed, the longest known first
        self.active: set[str] = set()

    def add_known_ids(self, ids: Iterable[str]) -> None:
        """Ids that a list names: a call may be about them from now on, also when they have left it."""
        for name in ids:
            self.known_ids.setdefault(name)
        while len(self.known_ids) > MAX_KNOWN_IDS:
            del self.known_ids[next(iter(self.known_ids))]

    def is_known(self, name: str) -> bool:
        return name in self.known_ids or name in self.active

    def set_maintenance(self, name: str, active: bool, now_ms: float) -> bool:
        """A call.  False where no more can be left out."""
        if active and name not in self.active and len(self.active) >= MAX_IN_MAINTENANCE:
            return False
        before = self.records.get(name)
        # A clock that was set back changes nothing.
        at_ms = now_ms if before is None else max(now_ms, before.changed_ms + 1.0)
        self.merge({name: MaintenanceRecord(at_ms, active)}, now_ms)
        return True

    def merge(self, records: dict[str, MaintenanceRecord], now_ms: float) -> dict[str, bool]:
        """Boxes of which another thing holds now: left out or not."""
        changed: dict[str, bool] = {}
        for name, record in records.items():
            before = self.records.get(name)
            if before is not None and not record.supersedes(before):
                continue
            if record.active and name not in self.active and len(self.active) >= MAX_IN_MAINTENANCE:
                continue
            self.records[name] = record
            if record.active != (name in self.active):
                changed[name] = record.active
                (self.active.add if record.active else self.active.discard)(name)
        self._prune(now_ms)
        return changed

    def _prune(self, now_ms: float) -> None:
        ended = sorted((x.changed_ms, name) for name, x in self.records.items() if not x.active)
        spare = len(self.records) - MAX_RECORDS
        for at, (at_ms, name) in enumerate(ended):
            if at < spare or now_ms - at_ms > ENDED_RETENTION_MS:
                del self.records[name]

    def has_changes_for(self, records: dict[str, MaintenanceRecord]) -> bool:
        """Whether this knows of something that those records don't."""
        return any(name not in records or own.supersedes(records[name]) for name, own in self.records.items())

    def encode(self) -> bytes:
        return msgspec.json.encode(MaintenanceFileContent("bans 1", self.records))


def decode(data: bytes) -> dict[str, MaintenanceRecord]:
    """The records of a file.  ValueError, in one plain sentence, where it is none of ours."""
    kept = decode_json_file(data, MaintenanceFileContent, MAX_FILE_BYTES, "file of bans")
    if len(kept.records) > MAX_RECORDS:
        raise ValueError(f"holds {len(kept.records)} records, {MAX_RECORDS} at most")
    for name, record in kept.records.items():
        if not 0 < len(name) <= MAX_ID_LENGTH or not 0 <= record.changed_ms < 1e15:
            raise ValueError("holds a record that makes no sense")
    return kept.records
