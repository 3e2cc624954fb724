"""A router's folder in virtual time: commits take a while, a kill leaves some of those under way."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from cloverhinge.ownership.persistence import Persist
from cloverhinge.store import NO_MARK, Mark


@dataclass
class Disk:
    """`sync_ms`: the longest that a commit takes."""

    random: random.Random
    sync_ms: float = 8.0
    rows: dict[str, bytes] = field(default_factory=dict)
    mark: Mark = NO_MARK
    broken: bool = False  # from now on no commit succeeds
    pending: deque[tuple[Persist, float]] = field(default_factory=deque)  # with the time at which it is safe

    def open(self) -> tuple[Mark, Mark]:
        """The mark as it was found, and that of this start."""
        claim = self.mark
        self.mark = Mark(claim.generation + 1, claim.position + 1)
        return claim, self.mark

    def write(self, now: float, rows: Persist) -> float:
        """When it is safe: with the group that begins once the one under way is."""
        under_way = self.pending[0][1] if self.pending else now
        if not self.pending or self.pending[-1][1] == under_way:
            ends = under_way + self.random.uniform(0.2, 1.0) * self.sync_ms
        else:
            ends = self.pending[-1][1]
        self.pending.append((rows, ends))
        return ends

    def commit(self) -> Persist | None:
        """The first of those under way is safe now, if it is."""
        if self.broken or not self.pending:
            return None
        rows = self.pending.popleft()[0]
        if rows.void:
            self.rows = {}
            self.mark = Mark(self.mark.generation + 1, self.mark.position)
        for key, value in rows.rows.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = value
        self.mark = Mark(self.mark.generation, self.mark.position + 1)
        if rows.above >= self.mark:
            self.mark = Mark(rows.above.generation + 1, self.mark.position)
        return rows

    def crash(self) -> None:
        for _ in range(self.random.randint(0, len(self.pending))):
            self.commit()
        self.pending.clear()

    def copy(self) -> Disk:
        return Disk(self.random, self.sync_ms, dict(self.rows), self.mark)
