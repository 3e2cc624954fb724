"""A log file in `$TMPDIR` in which the processes of one router record their sessions.

Entries are appended by single writes, so all processes read them in the same order, and no process ever waits
for another one.  Entries of a process survive its end, however it ends.  Every process holds a shared lock on
the file while it runs; only a process that is alone can get the exclusive one, which compaction needs.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterable
from pathlib import Path

import msgspec
from twisted.logger import Logger

from cloverhinge.decision.interface import Outcome

MAX_READ_BYTES = 4 * 1024 * 1024  # of one read; the rest is read by the next one
# A file is compacted once its process is alone, and it has this size and twice that of the last compaction.
COMPACTION_BYTES = 256 * 1024
MAX_LOG_BYTES = 64 * 1024 * 1024  # nothing more is appended to a file of this size


class ProcessEntry(msgspec.Struct, frozen=True):
    """An entry of one process."""

    process: str


class SessionEntry(ProcessEntry, frozen=True):
    """An entry of one process about one session."""

    session: str


class Held(SessionEntry, tag="held", frozen=True):
    """The process has taken a request, or a session that was handed over to it."""

    class_name: str
    title: str
    paid: bool = False
    hand_over: bool = False  # it takes the session over from the process that holds it


class Established(SessionEntry, tag="established", frozen=True):
    """The session of a held request is established at this media server."""

    server: int


class Over(SessionEntry, tag="over", frozen=True):
    """The process has concluded a request without a session, or ended the session."""


class Released(SessionEntry, tag="released", frozen=True):
    """A media server has released a session, on a connection of this process."""

    server: int
    outcome: Outcome


class ViewerLeft(SessionEntry, tag="left", frozen=True):
    """A viewer has ended a session, or given its set-up up, on a connection of this process."""


class Undelivered(SessionEntry, tag="undelivered", frozen=True):
    """A message to a viewer for which this process has no connection.

    `final`: the process will get no connection any more, so the others keep the message for theirs.
    """

    peer: str
    data: str
    final: bool


class Paid(SessionEntry, tag="paid", frozen=True):
    """A paid session is over, or its set-up has failed: its id is not set up again by any process."""


class Ended(ProcessEntry, tag="ended", frozen=True):
    """The process applies no later entries: what it still holds is left to the others."""


Entry = Held | Established | Over | Paid | Released | ViewerLeft | Undelivered | Ended

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[Entry] = msgspec.json.Decoder(Entry)


class SessionLog:
    """The log file, as one process appends to it and reads it.

    If the file cannot be opened or written, that is logged once, and the process acts as if it were alone.
    """

    log = Logger()

    def __init__(self, path: Path) -> None:
        self.path = path
        self.descriptor: int | None = None
        self._offset = 0
        self._partial_line = b""
        self._compacted_bytes = 0
        self._error_logged = False

    def open(self) -> bool:
        """Open the file, unless it is open; False if that failed, or another process compacts it just now."""
        if self.descriptor is not None:
            return True
        try:
            descriptor = os.open(self.path, os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            self._log_error(error)
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
            current = os.stat(self.path).st_ino == os.fstat(descriptor).st_ino
        except OSError:
            current = False
        if not current:  # another process is replacing it, or has just done so
            os.close(descriptor)
            return False
        self.descriptor, self._offset, self._partial_line = descriptor, 0, b""
        return True

    def append(self, entries: Iterable[Entry]) -> bool:
        """Append entries by one write; False if they are not in the file."""
        if self.descriptor is None:
            return False
        data = b"".join(_encoder.encode(entry) + b"\n" for entry in entries)
        try:
            if os.fstat(self.descriptor).st_size >= MAX_LOG_BYTES:
                raise OSError(0, "the session log is full")
            return os.write(self.descriptor, data) == len(data)
        except OSError as error:
            self._log_error(error)
            return False

    def read_new(self) -> list[Entry]:
        """The entries of all processes, this one included, since the last call; invalid lines are ignored."""
        if self.descriptor is None or os.fstat(self.descriptor).st_size <= self._offset:
            return []
        try:
            data = os.pread(self.descriptor, MAX_READ_BYTES, self._offset)
        except OSError as error:
            self._log_error(error)
            return []
        self._offset += len(data)
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        entries = []
        for line in lines:
            try:
                entries.append(_decoder.decode(line))
            except msgspec.MsgspecError:
                continue
        return entries

    @property
    def is_large(self) -> bool:
        """Whether the file should be compacted."""
        limit = max(COMPACTION_BYTES, 2 * self._compacted_bytes)
        return self.descriptor is not None and os.fstat(self.descriptor).st_size >= limit

    def compact(self, entries: Iterable[Entry]) -> bool:
        """Replace the file by one with these entries; False if another process has it open."""
        if self.descriptor is None:
            return False
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self._lock_shared()
            return False
        temporary = self.path.with_suffix(".new")
        data = b"".join(_encoder.encode(entry) + b"\n" for entry in entries)
        try:
            temporary.write_bytes(data)
            descriptor = os.open(temporary, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
            fcntl.flock(descriptor, fcntl.LOCK_SH)  # nobody else has this file
            os.replace(temporary, self.path)
        except OSError as error:
            self._log_error(error)
            self._lock_shared()
            return False
        os.close(self.descriptor)
        self.descriptor, self._offset, self._partial_line = descriptor, len(data), b""
        self._compacted_bytes = len(data)
        return True

    def _lock_shared(self) -> None:
        """Hold the shared lock again after an attempt to get the exclusive one, which may have dropped it."""
        if self.descriptor is not None:
            try:
                fcntl.flock(self.descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except OSError:  # a process that is alone is compacting: its file replaces this one
                self.close()

    def close(self) -> None:
        """Close the file, which stays for the processes that follow."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None

    def _log_error(self, error: OSError) -> None:
        if not self._error_logged:
            self._error_logged = True
            self.log.error("{path}: {reason}", path=str(self.path), reason=error.strerror or str(error))
