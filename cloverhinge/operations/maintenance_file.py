"""The file in `$TMPDIR` of the boxes left out, for the process beside this and the one that comes next."""

from __future__ import annotations

import os
from pathlib import Path

from twisted.logger import Logger

from cloverhinge.operations.maintenance import FILE_MOST, Record, decode


class Shelf:
    """One file, replaced whole, so a reader finds the one before or the one after."""

    log = Logger()

    def __init__(self, path: Path) -> None:
        self.path = path
        self._seen: tuple[int, int, int] | None = None

    def read(self) -> dict[str, Record] | None:
        """What it holds, where that may have changed since the last time; a bad file holds nothing."""
        try:
            told = os.stat(self.path)
        except FileNotFoundError:
            return None
        except OSError as error:
            return self._bad(str(error.strerror))
        seen = (told.st_ino, told.st_mtime_ns, told.st_size)
        if seen == self._seen:
            return None
        self._seen = seen
        try:
            with open(self.path, "rb") as file:
                return decode(file.read(FILE_MOST + 1))
        except (OSError, ValueError) as error:
            return self._bad(str(error))

    def _bad(self, why: str) -> dict[str, Record]:
        self.log.error("{path}: {why}; what is in memory stays in force", path=str(self.path), why=why[:300])
        return {}

    def write(self, data: bytes) -> None:
        """Whoever can't write goes on with what it has in memory."""
        beside = self.path.with_suffix(f".{os.getpid()}")
        try:
            with open(beside, "wb") as file:
                file.write(data)
            os.replace(beside, self.path)
        except OSError as error:
            self._bad(f"can't be written: {error.strerror}")
