"""The files in `$TMPDIR` by which processes in one router's place know of each other.

Each holds a lock on a file of its own while it lives: whatever ends it, the lock is gone at that moment.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from twisted.logger import Logger

from cloverhinge.operations.overlap import TOLD_MOST, Told, decode

OTHERS_MOST = 8  # files looked at; the platform starts one beside another


class Beside:
    log = Logger()

    def __init__(self, folder: Path, stem: str) -> None:
        self.folder, self.stem = folder, stem
        self.own = folder / f"{stem}-{os.getpid()}.lock"
        self.lock: int | None = None
        self.said: set[str] = set()

    def start(self) -> None:
        """A process that can't say that it lives serves all the same, as if it were alone."""
        try:
            self.lock = os.open(self.own, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.log.error("{path}: {why}; goes on as if alone", path=str(self.own), why=str(error.strerror))

    def tell(self, data: bytes) -> None:
        if self.lock is None:
            return
        try:
            beside = self.own.with_suffix(".new")
            beside.write_bytes(data)
            os.replace(beside, self.own.with_suffix(".told"))
        except OSError as error:
            self._once(f"{self.own}: can't be written: {error.strerror}")

    def others(self) -> list[Told | None]:
        """Those that live now; None for one whose word can't be read yet."""
        found: list[Told | None] = []
        for path in sorted(self.folder.glob(f"{self.stem}-*.lock"))[:OTHERS_MOST]:
            if path == self.own:
                continue
            if not self._lives(path):
                for suffix in (".lock", ".told", ".new"):
                    path.with_suffix(suffix).unlink(missing_ok=True)
                continue
            try:
                with open(path.with_suffix(".told"), "rb") as file:
                    found.append(decode(file.read(TOLD_MOST + 1)))
            except FileNotFoundError:
                found.append(None)
            except (OSError, ValueError) as error:
                self._once(f"{path}: {error}")
                found.append(None)
        return found

    def _lives(self, path: Path) -> bool:
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

    def end(self) -> None:
        for suffix in (".lock", ".told"):
            self.own.with_suffix(suffix).unlink(missing_ok=True)

    def _once(self, text: str) -> None:
        if text not in self.said and len(self.said) < OTHERS_MOST:
            self.said.add(text)
            self.log.error("{text}", text=text[:300])
