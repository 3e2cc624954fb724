"""The operators' door: one line a connection, one answer, then the end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.python.failure import Failure

from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.net.buffered import BufferedReceiver
from cloverhinge.operations.commands import LINE_MOST, no

CALLERS_MOST = 16  # at a time
IDLE_MS = 6000.0  # a caller without a whole call is let go then; some hold on for 4 s


class Caller(BufferedReceiver):
    MAX_LENGTH = LINE_MOST
    delimiter = b"\n"

    def __init__(self, desk: Desk) -> None:
        super().__init__()
        self.desk = desk
        self.idle: DeadlineKey | None = None

    def connectionMade(self) -> None:
        super().connectionMade()
        self.idle = self.desk.deadlines.after(IDLE_MS, self.drop)
        self.desk.up(self)

    def lineReceived(self, line: bytes) -> None:
        self.conclude(self.desk.answer(line))

    def oversized(self) -> None:
        self.conclude(no("too long a line"))

    def conclude(self, text: str) -> None:
        self.desk.take_out(self)
        self.send(text.encode())
        self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
        self.desk.deadlines.cancel(self.idle)
        self.desk.take_out(self)


class Desk(ServerFactory):
    noisy = False

    def __init__(
        self, answer: Callable[[bytes], str], deadlines: Deadlines, most: int = CALLERS_MOST
    ) -> None:
        self.answer, self.deadlines, self.most = answer, deadlines, most
        self.waiting: dict[Caller, None] = {}  # no whole call has come of them yet; the first to come first

    def buildProtocol(self, addr: Any) -> Caller:
        return Caller(self)

    def up(self, caller: Caller) -> None:
        """Guards against callers who hold connections and say nothing: the first of them makes room."""
        if len(self.waiting) >= self.most:
            first = next(iter(self.waiting))
            del self.waiting[first]
            first.drop()
        self.waiting[caller] = None

    def take_out(self, caller: Caller) -> None:
        self.waiting.pop(caller, None)
