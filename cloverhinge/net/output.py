"""What a connection sends: handed to the transport as fast as the peer takes it, bounded in bytes and time.

The transport's buffer says only what was written since it was flushed last, which happens once in an
iteration of the reactor.  Whether the peer reads shows when the buffer empties.  So nothing more is handed to
a full buffer: the rest waits here, and a peer counts as one that does not read if a full buffer does not
empty for `STALL_TIMEOUT_MS`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from cloverhinge.core.deadlines import DeadlineKey, Deadlines

STALL_TIMEOUT_MS = 4000.0  # a full buffer that does not empty for this long shows a peer that does not read
# From then on, time for the reactor to flush the buffer: after a pause of the process, timers come first.
FLUSH_GRACE_MS = 50.0
DEFAULT_MAX_WAITING_BYTES = 1 << 20


class OutputLimits:
    """The limits that a group of connections shares: the bytes that wait on all of them, and their clock.

    Over the limit on bytes, the connection whose peer has taken nothing for the longest time is dropped.
    """

    def __init__(self, deadlines: Deadlines, max_waiting_bytes: int = DEFAULT_MAX_WAITING_BYTES) -> None:
        self.deadlines, self.max_waiting_bytes = deadlines, max_waiting_bytes
        self.waiting_bytes = 0
        self.blocked: dict[Output, None] = {}  # by when their peers took something last

    def add(self, count: int) -> None:
        """Count bytes that begin to wait."""
        self.waiting_bytes += count
        while self.waiting_bytes > self.max_waiting_bytes and self.blocked:
            next(iter(self.blocked)).drop()


def _nothing() -> None:
    """Stands in for the calls to a connection that has ended."""


@implementer(IPushProducer)
class Output:
    """The sending side of one connection; the transport's producer."""

    def __init__(
        self,
        limits: OutputLimits,
        drop: Callable[[], None],
        blocked_changed: Callable[[], None] = lambda: None,
    ) -> None:
        """`drop` aborts the connection; `blocked_changed` is called whenever `blocked` has changed."""
        self.limits, self._drop, self._blocked_changed = limits, drop, blocked_changed
        self.blocked = False  # whether the transport's buffer is full
        self.waiting: deque[bytes] = deque()
        self._transport: Any = None
        self._stall_deadline: DeadlineKey | None = None

    def open(self, transport: Any) -> None:
        """Begin to write to a transport."""
        self._transport = transport
        transport.registerProducer(self, True)

    def send(self, data: bytes) -> None:
        """Write data, or let it wait while the transport's buffer is full."""
        if self.blocked:
            self.waiting.append(data)
            self.limits.add(len(data))
        elif self._transport is not None:
            self._transport.write(data)

    def finish(self) -> None:
        """Hand all that waits to the transport, before its connection is closed in an orderly way."""
        if self._transport is None:
            return
        self._transport.unregisterProducer()
        self._unblock()
        while self.waiting:
            self._transport.write(self._take())

    def discard(self) -> list[bytes]:
        """Write nothing more; return what was never handed to the transport."""
        self._transport = None
        self._unblock()
        self._drop = self._blocked_changed = _nothing  # no cycle keeps the connection until a collection
        unsent = list(self.waiting)
        while self.waiting:
            self._take()
        return unsent

    def drop(self) -> None:
        """Abort the connection."""
        self._drop()

    def pauseProducing(self) -> None:
        """The transport's buffer is full."""
        self.blocked = True
        self.limits.blocked[self] = None
        self._stall_deadline = self.limits.deadlines.after(STALL_TIMEOUT_MS, self._stalled)
        self._blocked_changed()

    def resumeProducing(self) -> None:
        """The transport's buffer has been emptied: the peer has taken all that was written."""
        self._unblock()
        while self.waiting and not self.blocked:
            self._transport.write(self._take())
        if not self.blocked:
            self._blocked_changed()

    def stopProducing(self) -> None:
        """The connection has ended."""

    def _stalled(self) -> None:
        self._stall_deadline = self.limits.deadlines.after(FLUSH_GRACE_MS, self._drop)

    def _unblock(self) -> None:
        self.limits.deadlines.cancel(self._stall_deadline)
        self._stall_deadline = None
        self.limits.blocked.pop(self, None)
        self.blocked = False

    def _take(self) -> bytes:
        data = self.waiting.popleft()
        self.limits.waiting_bytes -= len(data)
        return data
