"""A keeper's store on disk: opened at its start, written in a thread.  What it means: persistence.py."""

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
    """`done` and `failed` are called in the program's own thread, by `call`.

    A folder that can't be used is one plain line in the log, and this router keeps nothing for others.
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
        try:
            told = self.folder.open()
        except UnusableStoreError as error:
            self.log.error("{name}: store: {why}", name=self.own.name, why=str(error))
            return ReplicaPersistence.unusable(self.own, str(error))
        if told.void_reason:
            self.log.error("{name}: store: {why}", name=self.own.name, why=told.void_reason)
        try:
            recall = ReplicaPersistence.from_folder(self.own, told.claim, told.mark, told.rows)
        except ValueError as error:
            self.folder.close()
            why = f"{self.path} holds what this version does not know: {error}"
            self.log.error("{name}: store: {why}", name=self.own.name, why=why)
            return ReplicaPersistence.unusable(self.own, why)
        self.log.info(
            "{name}: store: {path}, generation {generation}, {rows} rows",
            name=self.own.name,
            path=str(self.path),
            generation=told.mark.generation,
            rows=len(told.rows),
        )
        self.writer = Writer(self.folder, self.call_in_main_thread, self._on_commit, self.on_failure)
        return recall

    def put(self, rows: Persist) -> None:
        if self.writer is not None:
            self.writer.put(rows.number, rows.rows, rows.void, rows.above)

    def _on_commit(self, number: int, mark: Mark, took_ms: float) -> None:
        self.commits += 1
        self.last_ms, self.slowest_ms = took_ms, max(self.slowest_ms, took_ms)
        self.on_durable(number, mark)

    def status(self) -> dict[str, Any]:
        recall = self.persistence
        return {
            "state": recall.state.name.lower(),
            "why": recall.unusable_reason,
            "folder": str(self.path),
            "generation": recall.mark.generation,
            "position": recall.mark.position,
            "rows": self.folder.row_count,
            "waiting": recall.last_number - recall.durable_number,
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
        if self.writer is not None:
            self.writer.close()
