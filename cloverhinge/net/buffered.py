"""Twisted's LineReceiver with one growing buffer per connection, compacted in place."""

from __future__ import annotations

import select
import socket
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from cloverhinge.core.deadlines import DeadlineKey
from cloverhinge.net.output import STALL_TIMEOUT_MS, Output, OutputLimits

MAX_MESSAGE_BYTES = 16 * 1024  # of one message, headers and body together
READ_BYTES = 64 * 1024
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
UNREAD_GRACE_MS = 50.0  # time for the reactor to read data that is already in a socket's buffer


def has_peer_closed(connection: socket.socket) -> bool:
    """Whether the peer of a connection has closed its side; unread input before that does not hide it."""
    poller = select.poll()
    poller.register(connection.fileno(), select.POLLRDHUP)
    return any(events & CLOSED_EVENTS for _, events in poller.poll(0))


def receive(connection: socket.socket, size: int, flags: int = 0) -> bytes | None:
    """Read from a socket without waiting: None if nothing has arrived, `b""` at the end or after an error."""
    try:
        return connection.recv(size, flags | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b""


class BufferedReceiver(LineReceiver):
    """Implements LineReceiver's interface (`lineReceived`, `rawDataReceived`, the modes) on one `bytearray`.

    The buffer grows as needed and is compacted once per chunk of input, after all complete lines and raw
    pieces in it have been delivered.  In raw mode `rawDataReceived` gets exactly `expected` bytes, in one
    piece.  Neither buffer grows without bound: more than `MAX_LENGTH` undelivered bytes lead to a call of
    `oversized`, and `Output` bounds what waits to be sent.
    """

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, limits: OutputLimits) -> None:
        self.output = Output(limits, self.drop, self.output_blocked_changed)
        self.unsent: list[bytes] = []  # what was never handed to the transport when the connection ended
        self._close_deadline: DeadlineKey | None = None
        self.buffer = bytearray()
        self.expected = 0
        self.gone = False  # the connection is closed, or closing
        self.discarding = False  # input is read and discarded from now on

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.output.open(transport)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
        self.output.limits.deadlines.cancel(self._close_deadline)
        self.unsent += self.output.discard()

    def output_blocked_changed(self) -> None:
        """Called when `output.blocked` has changed."""

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        at = 0
        while not (self.gone or self.discarding):
            if self.line_mode:
                end = self.buffer.find(self.delimiter, at)
                if end < 0:
                    break
                line = bytes(self.buffer[at:end])
                at = end + len(self.delimiter)
                self.lineReceived(line)  # type: ignore[no-untyped-call]
            else:
                if len(self.buffer) - at < self.expected:
                    break
                piece = bytes(self.buffer[at : at + self.expected])
                at += self.expected
                self.rawDataReceived(piece)  # type: ignore[no-untyped-call]
        if self.discarding:
            at = len(self.buffer)
        del self.buffer[:at]
        if not self.gone and len(self.buffer) > self.MAX_LENGTH:
            self.oversized()

    def setRawMode(self) -> None:
        self.line_mode = 0

    def setLineMode(self, extra: bytes = b"") -> None:
        self.line_mode = 1

    def oversized(self) -> None:
        """Called when more than `MAX_LENGTH` bytes wait in the buffer; aborts the connection by default."""
        self.drop()

    def peek(self) -> bytes | None:
        """Return the next unread byte of the socket without consuming it.

        Returns `b""` at the end of the stream or after an error, and None if no data has arrived.
        """
        transport: Any = self.transport
        return receive(transport.socket, 1, socket.MSG_PEEK)

    def receive_now(self) -> bytes | None:
        """Read from the socket without waiting for the reactor's turn; returns as `peek` does."""
        transport: Any = self.transport
        return receive(transport.socket, READ_BYTES)

    @property
    def peer_has_closed(self) -> bool:
        """Whether the peer has closed its side, also where that lies behind input that has not been read."""
        transport: Any = self.transport
        return has_peer_closed(transport.socket)

    @property
    def unread(self) -> bool:
        """Whether the connection is open and the socket holds data that has not been read."""
        return not self.gone and bool(self.peek())

    def drop(self) -> None:
        """Abort the connection at once; nothing more is read from it."""
        self.gone = True
        self.unsent += self.output.discard()
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def close(self) -> None:
        """Close the connection once everything written has been sent; nothing more is read from it.

        A peer that does not read it is cut off after `STALL_TIMEOUT_MS`.
        """
        if self.gone:
            return
        self.gone = True
        transport: Any = self.transport
        if transport is not None:
            self.output.finish()
            self._close_deadline = self.output.limits.deadlines.after(STALL_TIMEOUT_MS, self.drop)
            transport.loseConnection()

    def send(self, data: bytes) -> None:
        """Write `data`, or discard it if the connection is closed."""
        if not self.gone:
            self.output.send(data)
