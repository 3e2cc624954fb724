"""TCP server for operator commands: each connection sends one line, gets one answer and is closed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.python.failure import Failure

from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.net.buffered import BufferedReceiver
from cloverhinge.net.output import OutputLimits
from cloverhinge.operations.commands import MAX_LINE_BYTES, nak

MAX_PENDING_CONNECTIONS = 16  # open connections that have not sent a whole command
# A connection that has not sent a whole command by then is dropped; some clients keep one open for 4 s.
IDLE_TIMEOUT_MS = 6000.0


class CommandConnection(BufferedReceiver):
    """One operator connection: reads a single command line, answers it and closes."""

    MAX_LENGTH = MAX_LINE_BYTES
    delimiter = b"\n"

    def __init__(self, server: CommandServer) -> None:
        super().__init__(server.output_limits)
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
        """Send the answer and close; the connection no longer counts as pending."""
        self.server.remove_pending(self)
        self.send(text.encode())
        self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        self.server.deadlines.cancel(self.idle_timer)
        self.server.remove_pending(self)


class CommandServer(ServerFactory):
    """Accepts operator connections; `execute` turns a command line into its answer."""

    noisy = False

    def __init__(
        self,
        execute: Callable[[bytes], str],
        deadlines: Deadlines,
        max_pending: int = MAX_PENDING_CONNECTIONS,
    ) -> None:
        self.execute, self.deadlines, self.max_pending = execute, deadlines, max_pending
        self.output_limits = OutputLimits(deadlines)
        # Connections that have not sent a whole command yet, oldest first.
        self.pending: dict[CommandConnection, None] = {}

    def buildProtocol(self, addr: Any) -> CommandConnection:
        return CommandConnection(self)

    def add_pending(self, connection: CommandConnection) -> None:
        """Register a new connection; if `max_pending` are registered already, the oldest is dropped.

        Clients that hold connections open and send nothing thus cannot lock others out.
        """
        if len(self.pending) >= self.max_pending:
            oldest = next(iter(self.pending))
            del self.pending[oldest]
            oldest.drop()
        self.pending[connection] = None

    def remove_pending(self, connection: CommandConnection) -> None:
        """Forget a connection that has sent its command or is closed; unknown ones are ignored."""
        self.pending.pop(connection, None)
