"""RTSP messages over asyncio, with the times of their first and last bytes."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

from cloverhinge.lab.harness import Message
from cloverhinge.lab.soak.observations import Observations

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_BUFFERED = 256 * 1024


def encode(start: str, session: str, cseq: int = 1, body: bytes = b"", **headers: str) -> bytes:
    """Encode a message; an underscore in the name of a header stands for a hyphen."""
    lines = [start, f"CSeq: {cseq}", f"Session: {session}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class MessageProtocol(asyncio.Protocol):
    """Parses messages and passes them on, with the times at which their first and last bytes came."""

    def __init__(self, seen: Observations) -> None:
        self.seen = seen
        self.transport: asyncio.Transport
        self.buffer = bytearray()
        self.first_byte_ms = 0.0
        self.open = False
        self.queued: list[bytes] | None = None  # what is written while a message is sent in pieces

    def connection_made(self, transport: Any) -> None:
        """The connection is open."""
        self.transport, self.open = transport, True
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Parse what is complete."""
        now = self.seen.now()
        if not self.buffer:
            self.first_byte_ms = now
        self.buffer += data
        while self.open and self.buffer:
            message = self._next()
            if message is None:
                break
            first_byte_ms, self.first_byte_ms = self.first_byte_ms, now
            self.received(message, first_byte_ms, now)
        if len(self.buffer) > MAX_BUFFERED:
            self.unreadable()

    def _next(self) -> Message | None:
        head, separator, _ = bytes(self.buffer).partition(b"\r\n\r\n")
        if not separator:
            return None
        try:
            start, *lines = head.decode().split("\r\n")
            pairs = [x.partition(":") for x in lines]
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            length = int(headers.get("content-length", "0"))
            message = Message(start, headers, b"")
            if message.status == 0 and not start.endswith("RTSP/1.0"):
                raise ValueError(start)
        except (ValueError, IndexError):
            self.buffer.clear()
            self.unreadable()
            return None
        total = len(head) + len(separator) + length
        if len(self.buffer) < total:
            return None
        message.body = bytes(self.buffer[total - length : total])
        del self.buffer[:total]
        return message

    def write(self, data: bytes) -> None:
        """Write, unless the connection has ended."""
        if self.queued is not None:
            self.queued.append(data)
        elif self.open and not self.transport.is_closing():
            self.transport.write(data)

    def write_first_piece(self, data: bytes) -> None:
        """Write part of a message; what follows is queued until `write_last_piece`."""
        self.write(data)
        self.queued = self.queued or []

    def write_last_piece(self, data: bytes) -> None:
        """Write the rest of the message, and what was queued meanwhile."""
        queued, self.queued = self.queued or [], None
        for piece in (data, *queued):
            self.write(piece)

    def reset(self) -> None:
        """End the connection with a TCP reset."""
        if self.open:
            sock: socket.socket = self.transport.get_extra_info("socket")
            if sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()

    def received(self, message: Message, first_byte_ms: float, whole_ms: float) -> None:
        """Handle a message."""
        raise NotImplementedError

    def unreadable(self) -> None:
        """The peer sent something that is no message."""

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.open = False
