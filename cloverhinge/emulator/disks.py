"""A simulated store of a router: commits take time, and a crash keeps only some of those in progress."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from cloverhinge.ownership.persistence import Persist
from cloverhinge.store import NO_MARK, Mark


@dataclass
class Disk:
    """The store of one router; a commit takes up to `sync_ms`."""

    random: random.Random
    sync_ms: float = 8.0
    rows: dict[str, bytes] = field(default_factory=dict)
    mark: Mark = NO_MARK
    broken: bool = False  # no commit succeeds any more
    pending: deque[tuple[Persist, float]] = field(default_factory=deque)  # writes, and when they are durable

    def open(self) -> tuple[Mark, Mark]:
        """Opens the store; returns the mark found and the mark of the new start."""
        found = self.mark
        self.mark = Mark(found.generation + 1, found.position + 1)
        return found, self.mark

    def write(self, now: float, persist: Persist) -> float:
        """Queues a write and returns when it is durable.

        It joins the group that is committed after the one in progress.
        """
        in_progress = self.pending[0][1] if self.pending else now
        if not self.pending or self.pending[-1][1] == in_progress:
            durable_ms = in_progress + self.random.uniform(0.2, 1.0) * self.sync_ms
        else:
            durable_ms = self.pending[-1][1]
        self.pending.append((persist, durable_ms))
        return durable_ms

    def commit(self) -> Persist | None:
        """Applies the first queued write; returns None where there is none or the store is broken."""
        if self.broken or not self.pending:
            return None
        persist = self.pending.popleft()[0]
        if persist.void:
            self.rows = {}
            self.mark = Mark(self.mark.generation + 1, self.mark.position)
        for key, value in persist.rows.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = value
        self.mark = Mark(self.mark.generation, self.mark.position + 1)
        if persist.above >= self.mark:
            self.mark = Mark(persist.above.generation + 1, self.mark.position)
        return persist

    def crash(self) -> None:
        """Commits a random number of the queued writes, in order, and loses the others."""
        for _ in range(self.random.randint(0, len(self.pending))):
            self.commit()
        self.pending.clear()

    def copy(self) -> Disk:
        """A copy of the committed state."""
        return Disk(self.random, self.sync_ms, dict(self.rows), self.mark)
