"""A replica's store on disk: opened at the start, written in a thread.

What the rows mean, and when the contents are trusted, is in persistence.py.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.logger import Logger

from cloverhinge.ownership.persistence import Persist, ReplicaPersistence, StoreState
from cloverhinge.ownership.wire import Member
from cloverhinge.store import Mark
from cloverhinge.store.folder import Folder, UnusableStoreError
from cloverhinge.store.writer import Writer


class ReplicaStore:
    """The folder of a router's replicas, and the thread that writes it.

    `on_durable` gets the number of the rows and the mark, `on_failure` the reason; both are called in the
    main thread, by `call_in_main_thread`.  Where the folder can't be used, the reason is logged as one line
    and this router holds no replicas.
    """

    log = Logger()

    def __init__(
        self,
        path: Path,
        own: Member,
        call_in_main_thread: Callable[..., Any],
        on_durable: Callable[[int, Mark], None],
        on_failure: Callable[[str], None],
    ) -> None:
        self.path, self.own, self.call_in_main_thread = path, own, call_in_main_thread
        self.on_durable, self.on_failure = on_durable, on_failure
        self.folder = Folder(path, own.name)
        self.writer: Writer | None = None
        self.commits, self.slowest_ms, self.last_ms = 0, 0.0, 0.0
        self.persistence = self._open()

    def _open(self) -> ReplicaPersistence:
        """Opens the folder; logs why where it can't be used, or its contents were discarded.

        `writer` stays None where it can't be used.
        """
        try:
            contents = self.folder.open()
        except UnusableStoreError as error:
            self.log.error("{name}: store: {why}", name=self.own.name, why=str(error))
            return ReplicaPersistence.unusable(self.own, str(error))
        if contents.void_reason:
            self.log.error("{name}: store: {why}", name=self.own.name, why=contents.void_reason)
        try:
            persistence = ReplicaPersistence.from_folder(
                self.own, contents.claim, contents.mark, contents.rows
            )
        except ValueError as error:
            self.folder.close()
            why = f"{self.path} contains rows that this version does not know: {error}"
            self.log.error("{name}: store: {why}", name=self.own.name, why=why)
            return ReplicaPersistence.unusable(self.own, why)
        self.log.info(
            "{name}: store: {path}, generation {generation}, {rows} rows",
            name=self.own.name,
            path=str(self.path),
            generation=contents.mark.generation,
            rows=len(contents.rows),
        )
        self.writer = Writer(self.folder, self.call_in_main_thread, self._on_commit, self.on_failure)
        return persistence

    def put(self, rows: Persist) -> None:
        """Queues rows for the next commit; drops them where the folder can't be used."""
        if self.writer is not None:
            self.writer.put(rows.number, rows.rows, rows.void, rows.above)

    def _on_commit(self, number: int, mark: Mark, took_ms: float) -> None:
        self.commits += 1
        self.last_ms, self.slowest_ms = took_ms, max(self.slowest_ms, took_ms)
        self.on_durable(number, mark)

    def status(self) -> dict[str, Any]:
        """For the status; its keys are those that operators see."""
        persistence = self.persistence
        return {
            "state": persistence.state.name.lower(),
            "why": persistence.unusable_reason,
            "folder": str(self.path),
            "generation": persistence.mark.generation,
            "position": persistence.mark.position,
            "rows": self.folder.row_count,
            "waiting": persistence.last_number - persistence.durable_number,
            "commits": self.commits,
            "last_ms": round(self.last_ms, 1),
            "slowest_ms": round(self.slowest_ms, 1),
            "waits_for": self._waits_for(),
        }

    def _waits_for(self) -> str:
        judge = self.persistence.judge
        if self.persistence.state is not StoreState.JUDGING or judge is None:
            return ""
        silent = ", ".join(sorted(judge.names - judge.answers.keys() - {judge.own_name}))
        return f"the word of {judge.missing_answers} of {silent}"

    def close(self) -> None:
        """Commits the queued rows and closes the folder."""
        if self.writer is not None:
            self.writer.close()
