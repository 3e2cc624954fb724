"""The operators' door: one line a connection, one answer, then the end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.python.failure import Failure

from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.net.buffered import BufferedReceiver
from cloverhinge.operations.commands import MAX_LINE_BYTES, nak

MAX_PENDING_CONNECTIONS = 16  # at a time
IDLE_TIMEOUT_MS = 6000.0  # a caller without a whole call is let go then; some hold on for 4 s


class CommandConnection(BufferedReceiver):
    MAX_LENGTH = MAX_LINE_BYTES
    delimiter = b"\n"

    def __init__(self, server: CommandServer) -> None:
        super().__init__()
        self.server = server
        self.idle_timer: DeadlineKey | None = None

    def connectionMade(self) -> None:
        super().connectionMade()
        self.idle_timer = self.server.deadlines.after(IDLE_TIMEOUT_MS, self.drop)
        self.server.add_pending(self)

    def lineReceived(self, line: bytes) -> None:
        self.reply_and_close(self.server.execute(line))

    def oversized(self) -> None:
        self.reply_and_close(nak("too long a line"))

    def reply_and_close(self, text: str) -> None:
        self.server.remove_pending(self)
        self.send(text.encode())
        self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
        self.server.deadlines.cancel(self.idle_timer)
        self.server.remove_pending(self)


class CommandServer(ServerFactory):
    noisy = False

    def __init__(
        self,
        execute: Callable[[bytes], str],
        deadlines: Deadlines,
        max_pending: int = MAX_PENDING_CONNECTIONS,
    ) -> None:
        self.execute, self.deadlines, self.max_pending = execute, deadlines, max_pending
        self.pending: dict[
            CommandConnection, None
        ] = {}  # no whole call has come of them yet; the first to come first

    def buildProtocol(self, addr: Any) -> CommandConnection:
        return CommandConnection(self)

    def add_pending(self, connection: CommandConnection) -> None:
        """Guards against callers who hold connections and say nothing: the first of them makes room."""
        if len(self.pending) >= self.max_pending:
            first = next(iter(self.pending))
            del self.pending[first]
            first.drop()
        self.pending[connection] = None

    def remove_pending(self, connection: CommandConnection) -> None:
        self.pending.pop(connection, None)
