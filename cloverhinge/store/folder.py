"""One router's folder on disk: sqlite in WAL mode, synced at each commit.  What is believed of it: rows.py.

The commit that fails is the last one: a store that can't say what is on its disk says nothing more.
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

from cloverhinge.store import rows as form
from cloverhinge.store.proof import NO_MARK, Mark
from cloverhinge.store.rows import Head, Rows

DATABASE_FILE, LOCK_FILE = "store.sqlite", "store.lock"
WAL_CHECKPOINT_PAGES = 1000  # of 4 KiB, written back into the file then: sqlite's default, some 4 MB of WAL


class UnusableStoreError(Exception):
    """Nothing can be kept here; the text is one plain sentence."""


@dataclass(frozen=True, slots=True)
class FolderContents:
    claim: Mark  # as the folder was found; NO_MARK: empty, or void
    mark: Mark  # of this start
    rows: dict[str, bytes]
    void_reason: str  # why what was there is not believed; "" where it is, or where there was nothing


class Folder:
    """`vfs`: of sqlite's, for tests that let writes and syncs fail."""

    def __init__(self, path: Path, owner: str, vfs: str = "") -> None:
        self.path, self.owner, self.vfs = path, owner, vfs
        self.connection: apsw.Connection | None = None
        self.lock_fd: int | None = None
        self._head: Head
        self._checksums: dict[str, int] = {}
        self._file_identity = 0, 0  # device and inode of the database as opened

    def open(self) -> FolderContents:
        """Takes the folder for this process, and begins the next generation.  Raises Unusable."""
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
        void, head, rows = "", None, dict[str, bytes]()
        there = (self.path / DATABASE_FILE).exists()
        try:
            self._connect()
            told = self._query("select value from head")
            if there and not told:
                raise ValueError("its head is missing")
            if told:
                head = self._check_head(form.decode_head(told[0][0]))
                rows = dict(self._query("select key, value from kept"))
                self._checksums = form.row_checksums(rows.items())
                if (
                    len(rows) != head.row_count
                    or form.total_checksum(self._checksums.values()) != head.checksum
                ):
                    raise ValueError("rows are missing or damaged")
        except (ValueError, apsw.CorruptError, apsw.NotADBError, apsw.SQLError) as error:
            void, head = f"{self.path} is damaged and void: {error}", None
        if head is None:
            return FolderContents(NO_MARK, self._recreate(NO_MARK), {}, void)
        claim = head.mark
        self._head = msgspec.structs.replace(head, generation=head.generation + 1)
        self.commit({})
        return FolderContents(claim, self._head.mark, rows, "")

    def _check_head(self, head: Head) -> Head:
        if head.format != form.FORMAT_VERSION:
            raise UnusableStoreError(
                f"{self.path} is of version {head.format}, this program knows {form.FORMAT_VERSION}"
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
        found = os.stat(self.path / DATABASE_FILE)
        self._file_identity = found.st_dev, found.st_ino

    def _query(self, text: str) -> list[tuple[Any, ...]]:
        assert self.connection is not None
        return self.connection.execute(text).fetchall()

    def _recreate(self, after: Mark) -> Mark:
        """Empty, with a generation above that of any earlier life that is known of."""
        self._disconnect()
        for suffix in ("", "-wal", "-shm"):
            (self.path / (DATABASE_FILE + suffix)).unlink(missing_ok=True)
        self._checksums = {}
        self._head = Head(form.FORMAT_VERSION, self.owner, after.generation + 1, after.position, 0, 0)
        self._connect()
        self.commit({})
        return self._head.mark

    def clear(self) -> Mark:
        """Something of it is missing: nothing of it is believed.  Raises Unusable."""
        return self._translate_errors(lambda: self._recreate(self._head.mark))

    def commit(self, rows: Rows, above: Mark = NO_MARK) -> Mark:
        """All of it or nothing, on the disk when this returns; from then on its marks are above that one.

        Raises Unusable, and then for good.
        """
        return self._translate_errors(lambda: self._commit(rows, above))

    def _translate_errors(self, call: Callable[[], Mark]) -> Mark:
        try:
            return call()
        except (apsw.Error, OSError, ValueError) as error:
            raise UnusableStoreError(f"{self.path} can't be written: {error}") from None

    def _commit(self, rows: Rows, above: Mark) -> Mark:
        base = self.connection
        if base is None:
            raise UnusableStoreError(f"{self.path} is closed")
        found = os.stat(self.path / DATABASE_FILE)
        if (found.st_dev, found.st_ino) != self._file_identity:
            raise UnusableStoreError(f"{self.path / DATABASE_FILE} is not the file that was opened")
        head, checks = form.apply_changes(self._head, self._checksums, rows)
        if above >= head.mark:
            head = msgspec.structs.replace(head, generation=above.generation + 1)
        with base:
            base.executemany(
                "insert or replace into kept values (?, ?)",
                [(key, value) for key, value in rows.items() if value is not None],
            )
            base.executemany(
                "delete from kept where key = ?", [(key,) for key, value in rows.items() if value is None]
            )
            base.execute("insert or replace into head values (0, ?)", (form.encode_head(head),))
        self._head = head
        for key, one in checks.items():
            if one is None:
                self._checksums.pop(key, None)
            else:
                self._checksums[key] = one
        return head.mark

    @property
    def row_count(self) -> int:
        return len(self._checksums)

    def _disconnect(self) -> None:
        base, self.connection = self.connection, None
        if base is not None:
            with suppress(apsw.Error):  # what was committed is safe without it
                base.close(True)

    def close(self) -> None:
        self._disconnect()
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None
