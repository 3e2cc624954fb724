"""Maintenance mode of media servers: records whose merge is independent of order, so that processes agree."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

import msgspec

from cloverhinge.operations.file_formats import decode_json_file

MAX_IN_MAINTENANCE = 1024  # media servers at a time: more than a router lists
MAX_RECORDS = 2 * MAX_IN_MAINTENANCE  # those of ended maintenance included
# The record of an ended maintenance is kept for so long, so that an older file cannot start it again.
ENDED_RETENTION_MS = 600_000.0
MAX_KNOWN_IDS = 16_384  # IDs that were ever listed, the latest; about 2 MB
MAX_FILE_BYTES = 512 * 1024
MAX_ID_LENGTH = 128  # characters


class MaintenanceRecord(msgspec.Struct, frozen=True, array_like=True):
    """The last command for one media server; `changed_ms` is the Unix time at which it was received."""

    changed_ms: float
    active: bool

    def supersedes(self, other: MaintenanceRecord) -> bool:
        """Whether this record is newer than `other`.

        At the same time the active one wins: a server that is in maintenance mode for too long does no harm.
        """
        return (self.changed_ms, self.active) > (other.changed_ms, other.active)


class MaintenanceFileContent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the maintenance file."""

    form: Literal["bans 1"]
    records: dict[str, MaintenanceRecord]


class MaintenanceRegister:
    """Which media servers are in maintenance mode.

    `set_maintenance` records an operator's command, `merge` takes over the records of another process.
    """

    def __init__(self) -> None:
        self.records: dict[str, MaintenanceRecord] = {}
        self.known_ids: dict[str, None] = {}  # in the order in which they were first listed
        self.active: set[str] = set()

    def add_known_ids(self, ids: Iterable[str]) -> None:
        """Accept commands about these listed media servers, also after they have left the list."""
        for name in ids:
            self.known_ids.setdefault(name)
        while len(self.known_ids) > MAX_KNOWN_IDS:
            del self.known_ids[next(iter(self.known_ids))]

    def is_known(self, name: str) -> bool:
        """Whether commands may name this media server: it has been listed or is in maintenance mode."""
        return name in self.known_ids or name in self.active

    def set_maintenance(self, name: str, active: bool, now_ms: float) -> bool:
        """Record a command received at the Unix time `now_ms`.

        False, without any change, if MAX_IN_MAINTENANCE media servers are in maintenance mode already.
        """
        if active and name not in self.active and len(self.active) >= MAX_IN_MAINTENANCE:
            return False
        before = self.records.get(name)
        # The new record must supersede the previous one even if the clock has been set back.
        changed_ms = now_ms if before is None else max(now_ms, before.changed_ms + 1.0)
        self.merge({name: MaintenanceRecord(changed_ms, active)}, now_ms)
        return True

    def merge(self, records: dict[str, MaintenanceRecord], now_ms: float) -> dict[str, bool]:
        """Take over the records that are newer than the own ones.

        Returns the media servers whose mode has changed, with True for those now in maintenance mode.
        """
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
        excess = len(self.records) - MAX_RECORDS
        for index, (changed_ms, name) in enumerate(ended):
            if index < excess or now_ms - changed_ms > ENDED_RETENTION_MS:
                del self.records[name]

    def has_changes_for(self, records: dict[str, MaintenanceRecord]) -> bool:
        """Whether some record here is newer than in `records`, or missing there."""
        return any(name not in records or own.supersedes(records[name]) for name, own in self.records.items())

    def encode(self) -> bytes:
        """The content of the maintenance file, as JSON."""
        return msgspec.json.encode(MaintenanceFileContent("bans 1", self.records))


def decode(data: bytes) -> dict[str, MaintenanceRecord]:
    """The records of a maintenance file.

    Raises ValueError with a one-sentence message if the file is malformed, too long, has too many records, or
    has a record whose ID or time is out of range.
    """
    content = decode_json_file(data, MaintenanceFileContent, MAX_FILE_BYTES, "maintenance file")
    if len(content.records) > MAX_RECORDS:
        raise ValueError(f"has {len(content.records)} records, at most {MAX_RECORDS} are allowed")
    for name, record in content.records.items():
        if not 0 < len(name) <= MAX_ID_LENGTH or not 0 <= record.changed_ms < 1e15:
            raise ValueError("has a record whose ID or time is out of range")
    return content.records
