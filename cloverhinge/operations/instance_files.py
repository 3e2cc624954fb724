"""Files in `$TMPDIR` by which processes that run under the same router name find each other.

Each process holds a lock on a file of its own while it runs; the kernel releases it however the process ends.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from twisted.logger import Logger

from cloverhinge.operations.overlap import MAX_STATE_BYTES, InstanceState, decode

MAX_OTHER_INSTANCES = 8  # lock files read; the platform starts only one process next to another


class InstanceFiles:
    """The lock file and the state file of this process, and access to those of other processes."""

    log = Logger()

    def __init__(self, folder: Path, file_prefix: str) -> None:
        """Processes with the same `folder` and `file_prefix` find each other; no file is opened yet."""
        self.folder, self.file_prefix = folder, file_prefix
        self.own_lock_path = folder / f"{file_prefix}-{os.getpid()}.lock"
        self.lock_fd: int | None = None
        self.running_pids: list[int] = []  # of the other processes, as last read
        self.logged_errors: set[str] = set()

    def start(self) -> None:
        """Create and lock the own file; if that fails, the process serves as if no other process ran."""
        try:
            self.lock_fd = os.open(self.own_lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.log.error(
                "{path}: {reason}; continuing as if no other process ran",
                path=str(self.own_lock_path),
                reason=str(error.strerror),
            )

    def publish(self, data: bytes) -> None:
        """Replace the state file of this process; does nothing if the lock file could not be opened."""
        if self.lock_fd is None:
            return
        try:
            temporary = self.own_lock_path.with_suffix(".new")
            temporary.write_bytes(data)
            os.replace(temporary, self.own_lock_path.with_suffix(".told"))
        except OSError as error:
            self._log_once(f"{self.own_lock_path}: cannot be written: {error.strerror}")

    def read_others(self) -> list[InstanceState | None]:
        """The states of the other running processes, None for one whose state cannot be read yet.

        Files that ended processes have left behind are removed.
        """
        states: list[InstanceState | None] = []
        self.running_pids = []
        for path in sorted(self.folder.glob(f"{self.file_prefix}-*.lock"))[:MAX_OTHER_INSTANCES]:
            if path == self.own_lock_path:
                continue
            if not self._is_locked(path):
                for suffix in (".lock", ".told", ".new"):
                    path.with_suffix(suffix).unlink(missing_ok=True)
                continue
            self.running_pids.append(int(path.stem.rpartition("-")[2]))
            try:
                with open(path.with_suffix(".told"), "rb") as file:
                    states.append(decode(file.read(MAX_STATE_BYTES + 1)))
            except FileNotFoundError:
                states.append(None)
            except (OSError, ValueError) as error:
                self._log_once(f"{path}: {error}")
                states.append(None)
        return states

    def _is_locked(self, path: Path) -> bool:
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(descriptor)
        return False

    def remove_own(self) -> None:
        """Remove the files of this process."""
        for suffix in (".lock", ".told"):
            self.own_lock_path.with_suffix(suffix).unlink(missing_ok=True)

    def _log_once(self, text: str) -> None:
        if text not in self.logged_errors and len(self.logged_errors) < MAX_OTHER_INSTANCES:
            self.logged_errors.add(text)
            self.log.error("{text}", text=text[:300])
