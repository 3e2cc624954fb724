"""Shares the process between connections: work is done in short steps, one for each connection in turn."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from cloverhinge.core.containment import contained
from cloverhinge.core.deadlines import Deadlines

MAX_TURN_MS = 10.0  # of work in one iteration of the reactor


class WorkSource(Protocol):
    """A connection with work that can be done in steps."""

    def do_step(self) -> bool:
        """Do a short piece of the work; return whether some is left that can be done now."""
        ...


class TurnScheduler:
    """Runs the steps of its sources round-robin, for at most `MAX_TURN_MS` in an iteration of the reactor."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self._sources: deque[WorkSource] = deque()
        self._registered: set[WorkSource] = set()
        self._scheduled = False
        self._used_ms = 0.0  # of this iteration

    def offer(self, source: WorkSource) -> None:
        """Register a source that has work; begin at once if no other source waits."""
        if source in self._registered:
            return
        self._registered.add(source)
        self._sources.append(source)
        if not self._scheduled:
            self._run_turn()

    def _run_turn(self) -> None:
        self._scheduled = True  # sources that are offered during this turn are appended
        clock = self.deadlines.clock
        started_ms = clock.now()
        until_ms = started_ms + MAX_TURN_MS - self._used_ms
        while self._sources and clock.now() < until_ms:
            source = self._sources.popleft()
            more = False
            with contained("input of a connection is worked off"):
                more = source.do_step()
            if more:
                self._sources.append(source)
            else:
                self._registered.discard(source)
        self._used_ms += clock.now() - started_ms
        self.deadlines.after(0.0, self._next_iteration)

    def _next_iteration(self) -> None:
        self._used_ms, self._scheduled = 0.0, False
        if self._sources:
            self._run_turn()
