"""Twisted's LineReceiver with one growing buffer per connection, compacted in place."""

from __future__ import annotations

import socket
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.protocols.basic import LineReceiver
from zope.interface import implementer

MAX_MESSAGE_BYTES = 16 * 1024  # bytes of one message, headers and body
UNREAD_GRACE_MS = 50.0  # for the reactor to read what lies in a socket


@implementer(IPushProducer)
class BufferedReceiver(LineReceiver):
    """Keeps LineReceiver's interface (`lineReceived`, `rawDataReceived`, the modes) over one `bytearray`.

    The buffer grows as it needs and is compacted once for each piece of input, after what could be read from
    it has been read.  In raw mode `rawDataReceived` gets exactly the `expected` bytes, in one piece.
    Guards: input over `MAX_LENGTH` goes to `oversized`, and a peer that doesn't read what it is sent is cut
    off once the transport's buffer is full, so neither buffer grows without bound.
    """

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.expected = 0
        self.gone = False

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)

    def pauseProducing(self) -> None:
        self.drop()

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        at = 0
        while not self.gone:
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
        del self.buffer[:at]
        if not self.gone and len(self.buffer) > self.MAX_LENGTH:
            self.oversized()

    def setRawMode(self) -> None:
        self.line_mode = 0

    def setLineMode(self, extra: bytes = b"") -> None:
        self.line_mode = 1

    def oversized(self) -> None:
        self.drop()

    def peek(self) -> bytes | None:
        """Some of what lies unread in the socket; nothing at its end, None where nothing has come."""
        transport: Any = self.transport
        try:
            unread: bytes = transport.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return b""
        return unread

    @property
    def unread(self) -> bool:
        """Something lies in the socket that has not been read."""
        return not self.gone and bool(self.peek())

    def drop(self) -> None:
        """Cut the connection at once; nothing more is read from it."""
        self.gone = True
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def close(self) -> None:
        """Close the connection once everything written has been sent; nothing more is read from it."""
        self.gone = True
        transport: Any = self.transport
        if transport is not None:
            transport.unregisterProducer()
            transport.loseConnection()

    def send(self, data: bytes) -> None:
        transport: Any = self.transport
        if not self.gone and transport is not None:
            transport.write(data)
