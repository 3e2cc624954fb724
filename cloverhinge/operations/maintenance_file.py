"""The file in `$TMPDIR` of the boxes left out, for the process beside this and the one that comes next."""

from __future__ import annotations

import os
from pathlib import Path

from twisted.logger import Logger

from cloverhinge.operations.maintenance import MAX_FILE_BYTES, MaintenanceRecord, decode


class MaintenanceFile:
    """One file, replaced whole, so a reader finds the one before or the one after."""

    log = Logger()

    def __init__(self, path: Path) -> None:
        self.path = path
        self._last_stat: tuple[int, int, int] | None = None

    def read(self) -> dict[str, MaintenanceRecord] | None:
        """What it holds, where that may have changed since the last time; a bad file holds nothing."""
        try:
            told = os.stat(self.path)
        except FileNotFoundError:
            return None
        except OSError as error:
            return self._log_error(str(error.strerror))
        seen = (told.st_ino, told.st_mtime_ns, told.st_size)
        if seen == self._last_stat:
            return None
        self._last_stat = seen
        try:
            with open(self.path, "rb") as file:
                return decode(file.read(MAX_FILE_BYTES + 1))
        except (OSError, ValueError) as error:
            return self._log_error(str(error))

    def _log_error(self, why: str) -> dict[str, MaintenanceRecord]:
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
            self._log_error(f"can't be written: {error.strerror}")
