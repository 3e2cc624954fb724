"""Set-ups that have been read and not begun yet, taken in turns from the connections that they came on.

A set-up costs some milliseconds of decisions, and one connection may bring hundreds at once.  Each turn of
the reactor begins what fits into a bounded time, one of each connection after the other, so a flood delays
others by about one set-up for each connection that floods.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from cloverhinge.core.deadlines import Deadlines
from cloverhinge.rtsp import messages

MAX_TURN_MS = 10.0  # set-ups are begun for so long before other connections are read; a few of them
MAX_QUEUED_SET_UPS = (
    256  # set-ups of one connection; beyond that nothing is read from it until some have begun
)
MAX_QUEUED_BYTES = 64 * 1024  # and their bodies together: as much as is read at once


@dataclass(frozen=True, slots=True)
class ReceivedSetUp:
    """A set-up as it was read, and when."""

    message: messages.Message
    read_ms: float


class SetUpQueue:
    """The set-ups of one connection, in their order."""

    def __init__(self) -> None:
        self._waiting: deque[ReceivedSetUp] = deque()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def full(self) -> bool:
        return len(self._waiting) >= MAX_QUEUED_SET_UPS or self._bytes >= MAX_QUEUED_BYTES

    def add(self, one: ReceivedSetUp) -> None:
        self._waiting.append(one)
        self._bytes += len(one.message.body)

    def next(self) -> ReceivedSetUp:
        one = self._waiting.popleft()
        self._bytes -= len(one.message.body)
        return one

    def contains(self, session: str) -> bool:
        return any(one.message.session_id == session for one in self._waiting)

    def cancel(self, session: str) -> None:
        """Forget those of a session, as their client has."""
        if not self.contains(session):
            return
        left = [one for one in self._waiting if one.message.session_id != session]
        self.clear()
        for one in left:
            self.add(one)

    def clear(self) -> None:
        self._waiting.clear()
        self._bytes = 0


class SetUpSource(Protocol):
    """A connection with set-ups that wait."""

    queue: SetUpQueue

    def begin(self, one: ReceivedSetUp) -> None:
        """Hand it to the core, or answer it."""


class SetUpScheduler:
    """Begins set-ups in turns.  Each source is known to it once, while something waits there."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self._sources: deque[SetUpSource] = deque()
        self._known: set[SetUpSource] = set()
        self._scheduled = False

    def offer(self, source: SetUpSource) -> None:
        """Something may wait there.  It begins at once where nothing waits before it."""
        if not len(source.queue) or source in self._known:
            return
        self._known.add(source)
        self._sources.append(source)
        if not self._scheduled:
            self._run_turn()

    def cancel(self, session: str) -> None:
        """Whatever ends a session may come on any connection."""
        for source in self._known:
            source.queue.cancel(session)

    def _run_turn(self) -> None:
        self._scheduled = True  # what is offered meanwhile waits behind
        clock = self.deadlines.clock
        until_ms = clock.now() + MAX_TURN_MS
        while self._sources and clock.now() < until_ms:
            source = self._sources.popleft()
            if len(source.queue):
                source.begin(source.queue.next())
            if len(source.queue):
                self._sources.append(source)
            else:
                self._known.discard(source)
        self._scheduled = bool(self._sources)
        if self._scheduled:
            self.deadlines.after(0.0, self._run_turn)
