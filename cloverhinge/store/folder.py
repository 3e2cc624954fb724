"""One router's folder on disk: sqlite in WAL mode, synced at each commit.

How damage is detected is in rows.py.  No commit follows one that failed: after it, it is not known what is on
the disk.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import apsw
import msgspec

from cloverhinge.store import rows as row_format
from cloverhinge.store.proof import NO_MARK, Mark
from cloverhinge.store.rows import Head, Rows

DATABASE_FILE, LOCK_FILE = "store.sqlite", "store.lock"
WAL_CHECKPOINT_PAGES = 1000  # of 4 KiB, after which the WAL is written back: sqlite's default, some 4 MB


class UnusableStoreError(Exception):
    """The folder can't be used; the text is one sentence with the reason, for the log and the status."""


@dataclass(frozen=True, slots=True)
class FolderContents:
    """What a folder held when it was opened."""

    claim: Mark  # as the folder was found; NO_MARK: it was empty, or its contents are void
    mark: Mark  # of this start
    rows: dict[str, bytes]
    void_reason: str  # why the contents are not trusted; "" where they are, or where there were none


class Folder:
    """The folder of one router, for one process at a time."""

    def __init__(self, path: Path, owner: str, vfs: str = "") -> None:
        """`owner`: the router's name; `vfs`: a VFS of sqlite's, for tests that let writes and syncs fail."""
        self.path, self.owner, self.vfs = path, owner, vfs
        self.connection: apsw.Connection | None = None
        self.lock_fd: int | None = None
        self._head: Head
        self._checksums: dict[str, int] = {}
        self._file_identity = 0, 0  # device and inode of the database as opened

    def open(self) -> FolderContents:
        """Locks the folder for this process, and begins the next generation.  Raises UnusableStoreError.

        Damaged contents are discarded, and the folder begins empty.
        """
        try:
            self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.lock_fd = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise UnusableStoreError(f"{self.path} can't be used: {error.strerror}") from None
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close()
            raise UnusableStoreError(f"{self.path} is in use by another process") from None
        try:
            return self._read()
        except (apsw.Error, OSError) as error:
            self.close()
            raise UnusableStoreError(f"{self.path} can't be written: {error}") from None
        except UnusableStoreError:
            self.close()
            raise

    def _read(self) -> FolderContents:
        void_reason, head, rows = "", None, dict[str, bytes]()
        existed = (self.path / DATABASE_FILE).exists()
        try:
            self._connect()
            head_rows = self._query("select value from head")
            if existed and not head_rows:
                raise ValueError("its head is missing")
            if head_rows:
                head = self._check_head(row_format.decode_head(head_rows[0][0]))
                rows = dict(self._query("select key, value from kept"))
                self._checksums = row_format.row_checksums(rows.items())
                if (
                    len(rows) != head.row_count
                    or row_format.total_checksum(self._checksums.values()) != head.checksum
                ):
                    raise ValueError("rows are missing or damaged")
        except (ValueError, apsw.CorruptError, apsw.NotADBError, apsw.SQLError) as error:
            void_reason, head = f"{self.path} is damaged and void: {error}", None
        if head is None:
            return FolderContents(NO_MARK, self._recreate(NO_MARK), {}, void_reason)
        claim = head.mark
        self._head = msgspec.structs.replace(head, generation=head.generation + 1)
        self.commit({})
        return FolderContents(claim, self._head.mark, rows, "")

    def _check_head(self, head: Head) -> Head:
        if head.format != row_format.FORMAT_VERSION:
            raise UnusableStoreError(
                f"{self.path} is of version {head.format}, this program knows {row_format.FORMAT_VERSION}"
            )
        if head.owner != self.owner:
            raise UnusableStoreError(f"{self.path} belongs to {head.owner}, not to {self.owner}")
        return head

    def _connect(self) -> None:
        self.connection = apsw.Connection(str(self.path / DATABASE_FILE), vfs=self.vfs or None)
        self.connection.set_busy_timeout(0)
        for pragma in (
            "journal_mode = wal",
            "synchronous = full",
            f"wal_autocheckpoint = {WAL_CHECKPOINT_PAGES}",
        ):
            self._query(f"pragma {pragma}")
        self._query("create table if not exists head (id integer primary key check (id = 0), value blob)")
        self._query("create table if not exists kept (key text primary key, value blob) without rowid")
        file_status = os.stat(self.path / DATABASE_FILE)
        self._file_identity = file_status.st_dev, file_status.st_ino

    def _query(self, statement: str) -> list[tuple[Any, ...]]:
        assert self.connection is not None
        return self.connection.execute(statement).fetchall()

    def _recreate(self, after: Mark) -> Mark:
        """Makes the folder empty, with a generation above `after`, the last mark that is known."""
        self._disconnect()
        for suffix in ("", "-wal", "-shm"):
            (self.path / (DATABASE_FILE + suffix)).unlink(missing_ok=True)
        self._checksums = {}
        self._head = Head(row_format.FORMAT_VERSION, self.owner, after.generation + 1, after.position, 0, 0)
        self._connect()
        self.commit({})
        return self._head.mark

    def clear(self) -> Mark:
        """Discards the contents, because some are known to be missing.  Raises UnusableStoreError."""
        return self._translate_errors(lambda: self._recreate(self._head.mark))

    def commit(self, rows: Rows, above: Mark = NO_MARK) -> Mark:
        """Writes all rows or none, and returns the new mark once they are on the disk.

        That mark and all later ones are above `above`.  Raises UnusableStoreError; no commit may follow.
        """
        return self._translate_errors(lambda: self._commit(rows, above))

    def _translate_errors(self, call: Callable[[], Mark]) -> Mark:
        try:
            return call()
        except (apsw.Error, OSError, ValueError) as error:
            raise UnusableStoreError(f"{self.path} can't be written: {error}") from None

    def _commit(self, rows: Rows, above: Mark) -> Mark:
        connection = self.connection
        if connection is None:
            raise UnusableStoreError(f"{self.path} is closed")
        file_status = os.stat(self.path / DATABASE_FILE)
        if (file_status.st_dev, file_status.st_ino) != self._file_identity:
            raise UnusableStoreError(f"{self.path / DATABASE_FILE} is not the file that was opened")
        head, checksums = row_format.apply_changes(self._head, self._checksums, rows)
        if above >= head.mark:
            head = msgspec.structs.replace(head, generation=above.generation + 1)
        with connection:
            connection.executemany(
                "insert or replace into kept values (?, ?)",
                [(key, value) for key, value in rows.items() if value is not None],
            )
            connection.executemany(
                "delete from kept where key = ?", [(key,) for key, value in rows.items() if value is None]
            )
            connection.execute("insert or replace into head values (0, ?)", (row_format.encode_head(head),))
        self._head = head
        for key, checksum in checksums.items():
            if checksum is None:
                self._checksums.pop(key, None)
            else:
                self._checksums[key] = checksum
        return head.mark

    @property
    def row_count(self) -> int:
        """Rows in the folder."""
        return len(self._checksums)

    def _disconnect(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            with suppress(apsw.Error):  # what was committed is on the disk without it
                connection.close(True)

    def close(self) -> None:
        """Closes the folder and unlocks it."""
        self._disconnect()
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None
