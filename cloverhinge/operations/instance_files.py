"""The files in `$TMPDIR` by which processes in one router's place know of each other.

Each holds a lock on a file of its own while it lives: whatever ends it, the lock is gone at that moment.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from twisted.logger import Logger

from cloverhinge.operations.overlap import MAX_STATE_BYTES, InstanceState, decode

MAX_OTHER_INSTANCES = 8  # files looked at; the platform starts one beside another


class InstanceFiles:
    log = Logger()

    def __init__(self, folder: Path, file_prefix: str) -> None:
        self.folder, self.file_prefix = folder, file_prefix
        self.own_lock_path = folder / f"{file_prefix}-{os.getpid()}.lock"
        self.lock_fd: int | None = None
        self.logged_errors: set[str] = set()

    def start(self) -> None:
        """A process that can't say that it lives serves all the same, as if it were alone."""
        try:
            self.lock_fd = os.open(self.own_lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.log.error(
                "{path}: {why}; goes on as if alone", path=str(self.own_lock_path), why=str(error.strerror)
            )

    def publish(self, data: bytes) -> None:
        if self.lock_fd is None:
            return
        try:
            beside = self.own_lock_path.with_suffix(".new")
            beside.write_bytes(data)
            os.replace(beside, self.own_lock_path.with_suffix(".told"))
        except OSError as error:
            self._log_once(f"{self.own_lock_path}: can't be written: {error.strerror}")

    def read_others(self) -> list[InstanceState | None]:
        """Those that live now; None for one whose word can't be read yet."""
        found: list[InstanceState | None] = []
        for path in sorted(self.folder.glob(f"{self.file_prefix}-*.lock"))[:MAX_OTHER_INSTANCES]:
            if path == self.own_lock_path:
                continue
            if not self._is_locked(path):
                for suffix in (".lock", ".told", ".new"):
                    path.with_suffix(suffix).unlink(missing_ok=True)
                continue
            try:
                with open(path.with_suffix(".told"), "rb") as file:
                    found.append(decode(file.read(MAX_STATE_BYTES + 1)))
            except FileNotFoundError:
                found.append(None)
            except (OSError, ValueError) as error:
                self._log_once(f"{path}: {error}")
                found.append(None)
        return found

    def _is_locked(self, path: Path) -> bool:
        try:
            handle = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(handle, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(handle)
        return False

    def remove_own(self) -> None:
        for suffix in (".lock", ".told"):
            self.own_lock_path.with_suffix(suffix).unlink(missing_ok=True)

    def _log_once(self, text: str) -> None:
        if text not in self.logged_errors and len(self.logged_errors) < MAX_OTHER_INSTANCES:
            self.logged_errors.add(text)
            self.log.error("{text}", text=text[:300])
