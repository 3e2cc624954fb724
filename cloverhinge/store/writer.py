"""Commits in a thread of its own, in groups: what is put during one commit is in the next."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from cloverhinge.store.folder import Folder, UnusableStoreError
from cloverhinge.store.proof import NO_MARK, Mark
from cloverhinge.store.rows import Rows

MAX_WAITING_ROWS = 65_536  # rows; a disk that is so far behind has failed


class Writer:
    """`call`: from the thread into the program's own; `done` is told of the last number that is safe, the
    mark and the ms that it took; `failed` once, and nothing after it."""

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
        """`number` grows from call to call.  `void`: the folder is emptied first; `above`: its marks are to
        be above that one from now on."""
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
        """Commits what is left, then gives the folder free."""
        with self._condition:
            self._closing = True
            self._condition.notify()
        self._thread.join()
        self.folder.close()

    def _run(self) -> None:
        told = 0
        while True:
            with self._condition:
                while self._number == told and not self._closing:
                    self._condition.wait()
                rows, number, void, above = self._rows, self._number, self._clear_first, self._above
                self._rows, self._clear_first, self._above = {}, False, NO_MARK
                if number == told:
                    return
            begun = time.monotonic()
            try:
                if self._overloaded:
                    raise UnusableStoreError(
                        f"{self.folder.path}: {MAX_WAITING_ROWS} rows wait, the disk is too slow"
                    )
                if void:
                    self.folder.clear()
                mark = self.folder.commit(rows, above)
            except UnusableStoreError as error:
                self.call_in_main_thread(self.on_failure, str(error))
                return
            told = number
            self.call_in_main_thread(self.on_commit, number, mark, 1000.0 * (time.monotonic() - begun))
