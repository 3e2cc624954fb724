"""Commits in a thread of its own, in groups: what is put during one commit is in the next."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from cloverhinge.store.folder import Folder, Unusable
from cloverhinge.store.proof import NO_MARK, Mark
from cloverhinge.store.rows import Rows

WAITING_MOST = 65_536  # rows; a disk that is so far behind has failed


class Writer:
    """`call`: from the thread into the program's own; `done` is told of the last number that is safe, the
    mark and the ms that it took; `failed` once, and nothing after it."""

    def __init__(
        self,
        folder: Folder,
        call: Callable[..., Any],
        done: Callable[[int, Mark, float], None],
        failed: Callable[[str], None],
    ) -> None:
        self.folder, self.call, self.done, self.failed = folder, call, done, failed
        self._more = threading.Condition()
        self._rows: dict[str, bytes | None] = {}
        self._number = 0
        self._above = NO_MARK
        self._void = self._ending = self._late = False
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def put(self, number: int, rows: Rows, void: bool = False, above: Mark = NO_MARK) -> None:
        """`number` grows from call to call.  `void`: the folder is emptied first; `above`: its marks are to
        be above that one from now on."""
        with self._more:
            if void:
                self._rows, self._void = {}, True
            if len(self._rows) + len(rows) > WAITING_MOST:
                self._late, self._rows = True, {}
            if not self._late:
                self._rows.update(rows)
            self._above = max(self._above, above)
            self._number = number
            self._more.notify()

    def close(self) -> None:
        """Commits what is left, then gives the folder free."""
        with self._more:
            self._ending = True
            self._more.notify()
        self._thread.join()
        self.folder.close()

    def _run(self) -> None:
        told = 0
        while True:
            with self._more:
                while self._number == told and not self._ending:
                    self._more.wait()
                rows, number, void, above = self._rows, self._number, self._void, self._above
                self._rows, self._void, self._above = {}, False, NO_MARK
                if number == told:
                    return
            begun = time.monotonic()
            try:
                if self._late:
                    raise Unusable(f"{self.folder.path}: {WAITING_MOST} rows wait, the disk is too slow")
                if void:
                    self.folder.void()
                mark = self.folder.commit(rows, above)
            except Unusable as error:
                self.call(self.failed, str(error))
                return
            told = number
            self.call(self.done, number, mark, 1000.0 * (time.monotonic() - begun))
