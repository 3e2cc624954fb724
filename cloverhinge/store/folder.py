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

FILE, LOCK = "store.sqlite", "store.lock"
WAL_PAGES = 1000  # of 4 KiB, written back into the file then: sqlite's default, some 4 MB of WAL


class Unusable(Exception):
    """Nothing can be kept here; the text is one plain sentence."""


@dataclass(frozen=True, slots=True)
class Contents:
    claim: Mark  # as the folder was found; NO_MARK: empty, or void
    mark: Mark  # of this start
    rows: dict[str, bytes]
    void: str  # why what was there is not believed; "" where it is, or where there was nothing


class Folder:
    """`vfs`: of sqlite's, for tests that let writes and syncs fail."""

    def __init__(self, path: Path, owner: str, vfs: str = "") -> None:
        self.path, self.owner, self.vfs = path, owner, vfs
        self.base: apsw.Connection | None = None
        self.lock: int | None = None
        self._head: Head
        self._checks: dict[str, int] = {}
        self._file = 0, 0  # device and inode of the database as opened

    def open(self) -> Contents:
        """Takes the folder for this process, and begins the next generation.  Raises Unusable."""
        try:
            self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.lock = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise Unusable(f"{self.path} can't be used: {error.strerror}") from None
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close()
            raise Unusable(f"{self.path} is in use by another process") from None
        try:
            return self._read()
        except (apsw.Error, OSError) as error:
            self.close()
            raise Unusable(f"{self.path} can't be written: {error}") from None
        except Unusable:
            self.close()
            raise

    def _read(self) -> Contents:
        void, head, rows = "", None, dict[str, bytes]()
        there = (self.path / FILE).exists()
        try:
            self._connect()
            told = self._rows("select value from head")
            if there and not told:
                raise ValueError("its head is missing")
            if told:
                head = self._believed(form.decode(told[0][0]))
                rows = dict(self._rows("select key, value from kept"))
                self._checks = form.checks(rows.items())
                if len(rows) != head.rows or form.total(self._checks.values()) != head.sum:
                    raise ValueError("rows are missing or damaged")
        except (ValueError, apsw.CorruptError, apsw.NotADBError, apsw.SQLError) as error:
            void, head = f"{self.path} is damaged and void: {error}", None
        if head is None:
            return Contents(NO_MARK, self._anew(NO_MARK), {}, void)
        claim = head.mark
        self._head = msgspec.structs.replace(head, generation=head.generation + 1)
        self.commit({})
        return Contents(claim, self._head.mark, rows, "")

    def _believed(self, head: Head) -> Head:
        if head.format != form.FORMAT:
            raise Unusable(f"{self.path} is of version {head.format}, this program knows {form.FORMAT}")
        if head.owner != self.owner:
            raise Unusable(f"{self.path} belongs to {head.owner}, not to {self.owner}")
        return head

    def _connect(self) -> None:
        self.base = apsw.Connection(str(self.path / FILE), vfs=self.vfs or None)
        self.base.set_busy_timeout(0)
        for pragma in ("journal_mode = wal", "synchronous = full", f"wal_autocheckpoint = {WAL_PAGES}"):
            self._rows(f"pragma {pragma}")
        self._rows("create table if not exists head (id integer primary key check (id = 0), value blob)")
        self._rows("create table if not exists kept (key text primary key, value blob) without rowid")
        found = os.stat(self.path / FILE)
        self._file = found.st_dev, found.st_ino

    def _rows(self, text: str) -> list[tuple[Any, ...]]:
        assert self.base is not None
        return self.base.execute(text).fetchall()

    def _anew(self, after: Mark) -> Mark:
        """Empty, with a generation above that of any earlier life that is known of."""
        self._disconnect()
        for suffix in ("", "-wal", "-shm"):
            (self.path / (FILE + suffix)).unlink(missing_ok=True)
        self._checks = {}
        self._head = Head(form.FORMAT, self.owner, after.generation + 1, after.position, 0, 0)
        self._connect()
        self.commit({})
        return self._head.mark

    def void(self) -> Mark:
        """Something of it is missing: nothing of it is believed.  Raises Unusable."""
        return self._guarded(lambda: self._anew(self._head.mark))

    def commit(self, rows: Rows, above: Mark = NO_MARK) -> Mark:
        """All of it or nothing, on the disk when this returns; from then on its marks are above that one.

        Raises Unusable, and then for good.
        """
        return self._guarded(lambda: self._commit(rows, above))

    def _guarded(self, call: Callable[[], Mark]) -> Mark:
        try:
            return call()
        except (apsw.Error, OSError, ValueError) as error:
            raise Unusable(f"{self.path} can't be written: {error}") from None

    def _commit(self, rows: Rows, above: Mark) -> Mark:
        base = self.base
        if base is None:
            raise Unusable(f"{self.path} is closed")
        found = os.stat(self.path / FILE)
        if (found.st_dev, found.st_ino) != self._file:
            raise Unusable(f"{self.path / FILE} is not the file that was opened")
        head, checks = form.changed(self._head, self._checks, rows)
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
            base.execute("insert or replace into head values (0, ?)", (form.encode(head),))
        self._head = head
        for key, one in checks.items():
            if one is None:
                self._checks.pop(key, None)
            else:
                self._checks[key] = one
        return head.mark

    @property
    def rows(self) -> int:
        return len(self._checks)

    def _disconnect(self) -> None:
        base, self.base = self.base, None
        if base is not None:
            with suppress(apsw.Error):  # what was committed is safe without it
                base.close(True)

    def close(self) -> None:
        self._disconnect()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None
