"""The maintenance file in `$TMPDIR`, shared with a process of the same router and read by its successor."""

from __future__ import annotations

import os
from pathlib import Path

from twisted.logger import Logger

from cloverhinge.operations.maintenance import MAX_FILE_BYTES, MaintenanceRecord, decode


class MaintenanceFile:
    """One file that is replaced atomically, so that a reader sees either the old content or the new one."""

    log = Logger()

    def __init__(self, path: Path) -> None:
        self.path = path
        self._last_stat: tuple[int, int, int] | None = None

    def read(self) -> dict[str, MaintenanceRecord] | None:
        """The records of the file, or None if there is no file or it has not changed since the last read.

        An unreadable or malformed file is logged and read as one without records.
        """
        try:
            status = os.stat(self.path)
        except FileNotFoundError:
            return None
        except OSError as error:
            return self._log_error(str(error.strerror))
        current = (status.st_ino, status.st_mtime_ns, status.st_size)
        if current == self._last_stat:
            return None
        self._last_stat = current
        try:
            with open(self.path, "rb") as file:
                return decode(file.read(MAX_FILE_BYTES + 1))
        except (OSError, ValueError) as error:
            return self._log_error(str(error))

    def _log_error(self, reason: str) -> dict[str, MaintenanceRecord]:
        self.log.error(
            "{path}: {reason}; the entries in memory remain in force",
            path=str(self.path),
            reason=reason[:300],
        )
        return {}

    def write(self, data: bytes) -> None:
        """Replace the file; a failure is logged, and the entries in memory remain in force."""
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            with open(temporary, "wb") as file:
                file.write(data)
            os.replace(temporary, self.path)
        except OSError as error:
            self._log_error(f"cannot be written: {error.strerror}")
