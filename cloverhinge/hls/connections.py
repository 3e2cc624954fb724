"""The connections of the HLS front: bounded in number and in time, and closed when they are idle."""

from __future__ import annotations

import socket
from typing import Any

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.resource import Resource
from twisted.web.server import Request as HttpRequest
from twisted.web.server import Site

from cloverhinge.core.containment import contained
from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.net.buffered import has_peer_closed, receive
from cloverhinge.net.turns import TurnScheduler

IDLE_CONNECTION_S = 60
# From a request's first byte until it is complete, else its connection is cut.  Longer than any set-up takes,
# since a request may arrive while the previous one waits for its answer.
REQUEST_TIMEOUT_MS = 8000.0
FIRST_REQUEST_GRACE_MS = 200.0  # a new connection's first request may still be on its way
PIECE_BYTES = 512  # of input parsed at once: a few of the shortest requests
MAX_BODY_BYTES = 16 * 1024


class BoundedRequest(HttpRequest):
    """Cuts the connection of a request whose body has no length or is too long; no fetch needs a body."""

    def gotLength(self, length: int | None) -> None:
        if length is None or length > MAX_BODY_BYTES:
            transport: Any = self.channel.transport
            transport.abortConnection()
            length = 0
        super().gotLength(length)  # type: ignore[no-untyped-call]

    def process(self) -> None:
        transport: Any = self.channel.transport
        transport.request_complete()
        transport.answering = True
        self.notifyFinish().addBoth(lambda _: transport.answered())
        super().process()  # type: ignore[no-untyped-call]


def _socket_of(transport: Any) -> socket.socket:
    """The socket under a transport and its wrappers, such as that of TLS."""
    while not hasattr(transport, "socket"):
        transport = transport.transport
    found: socket.socket = transport.socket
    return found


def has_unread_input(transport: Any) -> bool:
    """Whether the socket of a transport holds data that has not been read."""
    return bool(receive(_socket_of(transport), 1, socket.MSG_PEEK))


def is_connected(request: Any) -> bool:
    """Whether the player of a fetch has its connection open.

    Also notices the end of a connection that lies behind input that has not been read yet.
    """
    if request._disconnected or request.channel is None:
        return False
    return not has_peer_closed(_socket_of(request.channel.transport))


class OutputProducer:
    """Stands between a transport and HTTP, and notes whether the player reads its answers."""

    def __init__(self, connection: TimedConnection, producer: Any) -> None:
        self.connection, self.producer = connection, producer

    def pauseProducing(self) -> None:
        """The transport's buffer is full."""
        self.connection.output_blocked = True
        self.producer.pauseProducing()

    def resumeProducing(self) -> None:
        """The player has read what was written."""
        self.connection.output_blocked = False
        self.producer.resumeProducing()
        self.connection.continue_parsing()

    def stopProducing(self) -> None:
        """The connection has ended."""
        self.producer.stopProducing()


class TimedConnection(ProtocolWrapper):
    """A connection that is cut unless each request is complete within a fixed time.

    Single bytes do not renew the time, so a player that sends nothing, or a request byte by byte, can't keep
    a connection.
    """

    timeout_key: DeadlineKey | None = None
    answering = False  # whether a complete request waits for its answer
    receiving = False  # whether part of a request has been received
    new = True  # whether no request has been answered yet
    opened_ms = 0.0
    paused_by_channel = False  # whether HTTP wants no more input until it has answered
    output_blocked = False  # whether the player does not read its answers
    ended = False

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        super().registerProducer(OutputProducer(self, producer), streaming)  # type: ignore[no-untyped-call]

    def connectionMade(self) -> None:
        self.opened_ms = self._deadlines.clock.now()
        self._unparsed = bytearray()  # input that has been read
        self._start_timeout()
        super().connectionMade()  # type: ignore[no-untyped-call]

    @property
    def _deadlines(self) -> Deadlines:
        factory: Any = self.factory
        deadlines: Deadlines = factory.deadlines
        return deadlines

    def _start_timeout(self) -> None:
        self.timeout_key = self._deadlines.after(REQUEST_TIMEOUT_MS, self.abortConnection)

    def request_complete(self) -> None:
        """Stop the time limit until the next request begins."""
        self._deadlines.cancel(self.timeout_key)
        self.timeout_key, self.receiving = None, False

    def answered(self) -> None:
        """The answer to a request has been written, or its connection has ended."""
        self.answering = self.new = False

    def is_idle(self, now: float) -> bool:
        """Whether no request is being received or answered, and none may be on its way unnoticed."""
        young = self.new and now - self.opened_ms < FIRST_REQUEST_GRACE_MS
        unread = bool(self._unparsed) or has_unread_input(self)
        return not (self.answering or self.receiving or young or unread)

    def dataReceived(self, data: bytes) -> None:
        """Leave the input to the scheduler: one read may hold more requests than fit into a turn."""
        self._unparsed += data
        self.continue_parsing()

    @property
    def can_parse(self) -> bool:
        """Whether input waits that may be parsed now."""
        return bool(self._unparsed) and not self.ended and not self._must_wait

    def parse_piece(self) -> None:
        """Parse a piece of the input, and answer the requests that end in it."""
        piece = bytes(self._unparsed[:PIECE_BYTES])
        del self._unparsed[:PIECE_BYTES]
        self.receiving = True
        if self.timeout_key is None:
            self._start_timeout()
        super().dataReceived(piece)  # type: ignore[no-untyped-call]
        self._pause_or_resume_reading()

    @property
    def _must_wait(self) -> bool:
        return self.paused_by_channel or self.output_blocked

    def continue_parsing(self) -> None:
        """Have the input worked off, if it may be."""
        factory: Any = self.factory
        factory.scheduler.offer(self)
        self._pause_or_resume_reading()

    def pauseProducing(self) -> None:
        """HTTP has a request to answer, or the player does not read its answers."""
        self.paused_by_channel = True
        self._pause_or_resume_reading()

    def resumeProducing(self) -> None:
        """HTTP takes the next request."""
        self.paused_by_channel = False
        self.continue_parsing()

    def _pause_or_resume_reading(self) -> None:
        transport: Any = self.transport
        if transport is None or self.ended:
            return
        if self._unparsed or self._must_wait:
            transport.pauseProducing()
        else:
            transport.resumeProducing()

    def connectionLost(self, reason: Any = None) -> None:
        self.ended = True
        self.request_complete()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class InputScheduler(TurnScheduler[TimedConnection]):
    """Parses what players have sent, a piece of each connection in turn."""

    def has_work(self, source: TimedConnection) -> bool:
        return source.can_parse

    def do_step(self, source: TimedConnection) -> None:
        with contained("input of a player is parsed"):
            source.parse_piece()


class BoundedFactory(WrappingFactory):
    """Accepts up to `max_connections` connections at a time; further ones are closed at once."""

    noisy = False
    protocol = TimedConnection

    def __init__(self, wrapped: Any, max_connections: int, deadlines: Deadlines) -> None:
        super().__init__(wrapped)  # type: ignore[no-untyped-call]
        self.max_connections, self.deadlines = max_connections, deadlines
        self.scheduler = InputScheduler(deadlines)

    def buildProtocol(self, addr: Any) -> Any:
        return None if len(self.protocols) >= self.max_connections else super().buildProtocol(addr)

    def close_idle(self) -> int:
        """Close all idle connections, during a shutdown; return how many are still open."""
        connections, now = list(self.protocols), self.deadlines.clock.now()
        for connection in connections:
            if connection.is_idle(now):
                connection.loseConnection()
        return len(connections)


def make_factory(front: Resource, max_connections: int, deadlines: Deadlines) -> BoundedFactory:
    """The protocol factory of an HLS listener, with bounds on connections and on the time of a request."""
    site = Site(front, requestFactory=BoundedRequest, timeout=IDLE_CONNECTION_S)
    site.noisy = False
    return BoundedFactory(site, max_connections, deadlines)
