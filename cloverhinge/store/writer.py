"""Commits in a thread of its own, in groups: rows that are put during one commit are in the next."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from cloverhinge.store.folder import Folder, UnusableStoreError
from cloverhinge.store.proof import NO_MARK, Mark
from cloverhinge.store.rows import Rows

MAX_WAITING_ROWS = 65_536  # a disk that is further behind counts as failed


class Writer:
    """Writes rows into a folder.

    `on_commit` gets the number of the last rows that are on the disk, the mark and the ms that the commit
    took; `on_failure` gets the reason, once, and no call follows.  Both are called by `call_in_main_thread`.
    """

    def __init__(
        self,
        folder: Folder,
        call_in_main_thread: Callable[..., Any],
        on_commit: Callable[[int, Mark, float], None],
        on_failure: Callable[[str], None],
    ) -> None:
        self.folder, self.call_in_main_thread, self.on_commit, self.on_failure = (
            folder,
            call_in_main_thread,
            on_commit,
            on_failure,
        )
        self._condition = threading.Condition()
        self._rows: dict[str, bytes | None] = {}
        self._number = 0
        self._above = NO_MARK
        self._clear_first = self._closing = self._overloaded = False
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def put(self, number: int, rows: Rows, clear: bool = False, above: Mark = NO_MARK) -> None:
        """Queues rows for the next commit.

        `number` grows from call to call.  `clear`: the folder is emptied first; `above`: its marks have to be
        above this one from now on.
        """
        with self._condition:
            if clear:
                self._rows, self._clear_first = {}, True
            if len(self._rows) + len(rows) > MAX_WAITING_ROWS:
                self._overloaded, self._rows = True, {}
            if not self._overloaded:
                self._rows.update(rows)
            self._above = max(self._above, above)
            self._number = number
            self._condition.notify()

    def close(self) -> None:
        """Commits the queued rows, then closes the folder; waits for both."""
        with self._condition:
            self._closing = True
            self._condition.notify()
        self._thread.join()
        self.folder.close()

    def _run(self) -> None:
        done_number = 0
        while True:
            with self._condition:
                while self._number == done_number and not self._closing:
                    self._condition.wait()
                rows, number, clear, above = self._rows, self._number, self._clear_first, self._above
                self._rows, self._clear_first, self._above = {}, False, NO_MARK
                if number == done_number:
                    return
            started = time.monotonic()
            try:
                if self._overloaded:
                    raise UnusableStoreError(
                        f"{self.folder.path}: {MAX_WAITING_ROWS} rows wait, the disk is too slow"
                    )
                if clear:
                    self.folder.clear()
                mark = self.folder.commit(rows, above)
            except Exception as error:  # whatever it is, what waits for a commit has to learn that none comes
                self.call_in_main_thread(self.on_failure, str(error))
                return
            done_number = number
            self.call_in_main_thread(self.on_commit, number, mark, 1000.0 * (time.monotonic() - started))
