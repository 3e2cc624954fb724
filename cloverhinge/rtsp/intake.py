"""Set-up requests that have been read and not begun yet, scheduled round-robin over their connections.

Deciding on a set-up takes some milliseconds, and one connection may send hundreds at once.  Each iteration of
the reactor begins as many as fit into a bounded time, one per connection in turn, so a flood delays the
set-ups of other connections by about one set-up for each flooding connection.  A set-up that has waited for
nearly all of its time is refused, so that it is answered in time however many wait.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from cloverhinge.core.containment import contained
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.net.turns import TurnScheduler
from cloverhinge.rtsp import messages

MIN_REMAINING_MS = 100.0  # of a set-up's time: with less left it is refused instead of begun
OVERDUE_SCAN_MS = 20.0  # interval at which set-ups with less time left are looked for
MAX_QUEUED_SET_UPS = 256  # per connection; reading from it is paused until some have begun
MAX_QUEUED_BYTES = 64 * 1024  # total size of their bodies: as much as is read at once


@dataclass(frozen=True, slots=True)
class ReceivedSetUp:
    """A set-up request as read, the time when it was read, and how long its client waits from then on."""

    message: messages.Message
    read_ms: float
    wait_ms: float = math.inf

    def is_overdue(self, now: float) -> bool:
        """Whether too little of its time is left to begin it."""
        return now > self.read_ms + self.wait_ms - min(MIN_REMAINING_MS, self.wait_ms / 2.0)


class SetUpQueue:
    """The set-ups of one connection, in order of arrival."""

    def __init__(self) -> None:
        self._waiting: deque[ReceivedSetUp] = deque()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether the limit on the number or on the total size is reached."""
        return len(self._waiting) >= MAX_QUEUED_SET_UPS or self._bytes >= MAX_QUEUED_BYTES

    def add(self, set_up: ReceivedSetUp) -> None:
        """Append a set-up; the caller checks `full`."""
        self._waiting.append(set_up)
        self._bytes += len(set_up.message.body)

    def next(self) -> ReceivedSetUp:
        """Remove and return the first set-up.  Raises IndexError if there is none."""
        set_up = self._waiting.popleft()
        self._bytes -= len(set_up.message.body)
        return set_up

    def contains(self, session: str) -> bool:
        """Whether a set-up of this session waits."""
        return any(x.message.session_id == session for x in self._waiting)

    def cancel(self, session: str) -> None:
        """Remove the set-ups of a session that its client has cancelled."""
        if not self.contains(session):
            return
        left = [x for x in self._waiting if x.message.session_id != session]
        self.clear()
        for set_up in left:
            self.add(set_up)

    def take_overdue(self, now: float) -> list[ReceivedSetUp]:
        """Remove and return the set-ups that have too little time left."""
        overdue = [x for x in self._waiting if x.is_overdue(now)]
        if overdue:
            left = [x for x in self._waiting if not x.is_overdue(now)]
            self.clear()
            for set_up in left:
                self.add(set_up)
        return overdue

    def clear(self) -> None:
        """Remove all set-ups."""
        self._waiting.clear()
        self._bytes = 0


class SetUpSource(Protocol):
    """A connection with a queue of set-ups."""

    queue: SetUpQueue

    def begin(self, set_up: ReceivedSetUp) -> None:
        """Pass the set-up to the core, or answer it."""

    def refuse(self, set_up: ReceivedSetUp) -> None:
        """Refuse a set-up that has waited too long."""


class SetUpScheduler(TurnScheduler[SetUpSource]):
    """Begins queued set-ups, one of each connection in turn."""

    def __init__(self, deadlines: Deadlines) -> None:
        super().__init__(deadlines)
        self._next_scan_ms = 0.0

    def has_work(self, source: SetUpSource) -> bool:
        return len(source.queue) > 0

    def do_step(self, source: SetUpSource) -> None:
        source.begin(source.queue.next())

    def cancel(self, session: str) -> None:
        """Remove a session's set-ups from all queues; the cancellation may arrive on any connection."""
        for source in self._registered:
            source.queue.cancel(session)

    def begin_turn(self, now: float) -> None:
        """Refuse set-ups that have too little time left, at intervals."""
        if now < self._next_scan_ms:
            return
        self._next_scan_ms = now + OVERDUE_SCAN_MS
        for source in self._sources:
            for set_up in source.queue.take_overdue(now):
                with contained("a set-up that has waited too long is refused"):
                    source.refuse(set_up)
