"""Shares the process between connections: work is done in short steps, one for each connection in turn.

A connection may send more at once than can be worked off in a moment.  Each iteration of the reactor does as
many steps as fit into a bounded time, so a flood delays other connections by about one step for each flooding
connection.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

from cloverhinge.core.deadlines import Deadlines

MAX_TURN_MS = 10.0  # of work in one iteration of the reactor, before connections are read again

Source = TypeVar("Source")


class TurnScheduler(Generic[Source]):
    """Runs the steps of its sources round-robin.  A source is registered once, while it has work."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self._sources: deque[Source] = deque()
        self._registered: set[Source] = set()
        self._scheduled = False
        self._used_ms = 0.0  # of MAX_TURN_MS, in the present iteration of the reactor

    def has_work(self, source: Source) -> bool:
        """Whether a source has work that can be done now."""
        raise NotImplementedError

    def do_step(self, source: Source) -> None:
        """Do a short piece of a source's work."""
        raise NotImplementedError

    def begin_turn(self, now: float) -> None:
        """Called before the steps of a turn; does nothing by default."""

    def offer(self, source: Source) -> None:
        """Register a source that may have got work; begin at once if no other source waits."""
        if source in self._registered or not self.has_work(source):
            return
        self._registered.add(source)
        self._sources.append(source)
        if not self._scheduled:
            self._run_turn()

    def _run_turn(self) -> None:
        """Do steps until MAX_TURN_MS of this iteration are used; go on in the next if some are left."""
        self._scheduled = True  # sources offered during this turn are appended
        clock = self.deadlines.clock
        started_ms = clock.now()
        try:
            self.begin_turn(started_ms)
            self._do_steps_until(started_ms + MAX_TURN_MS - self._used_ms)
        finally:
            self._used_ms += clock.now() - started_ms
            self._scheduled = bool(self._sources) or self._used_ms >= MAX_TURN_MS
            if self._scheduled:
                self.deadlines.after(0.0, self._next_iteration)

    def _do_steps_until(self, until_ms: float) -> None:
        while self._sources and self.deadlines.clock.now() < until_ms:
            source = self._sources.popleft()
            try:
                if self.has_work(source):
                    self.do_step(source)
            finally:
                if self.has_work(source):
                    self._sources.append(source)
                else:
                    self._registered.discard(source)

    def _next_iteration(self) -> None:
        self._used_ms = 0.0
        self._run_turn()
