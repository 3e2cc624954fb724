"""One connection of clients, and what of it is owed an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverhinge.core.model import Presence, Request
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.client import RtspClient
from cloverhinge.rtsp.intake import ReceivedSetUp, SetUpQueue
from cloverhinge.rtsp.set_up import is_hand_over

if TYPE_CHECKING:
    from cloverhinge.rtsp.front import RtspFrontend

FIRST_MESSAGE_TIMEOUT_MS = (
    2500.0  # a connection that has brought no whole message so long after it was taken is closed
)
PARTIAL_MESSAGE_TIMEOUT_MS = 2000.0  # so is one whose message is not whole so long after its first byte


class ClientConnection(messages.RtspProtocol):
    """One connection of viewers."""

    def __init__(self, front: RtspFrontend, peer: str) -> None:
        super().__init__()
        self.front, self.peer = front, peer
        self.handle = 0
        self.rank: dict[int, ClientConnection] = front.awaiting_message
        self.unanswered: dict[str, Request] = {}  # set-ups that are owed an answer here
        self.queue = SetUpQueue()  # set-ups that have been read and not begun
        self.paused = False  # nothing is read while the queue is full
        self.established_sessions = 0  # sessions that were set up on it
        self.has_sent_message = False  # a whole message has come
        self.opened_ms = 0.0  # the connection's start
        self.last_message_ms = 0.0  # its last whole message
        self.half_closed_ms: float | None = None  # half-closed since
        self.partial_since_ms: float | None = None  # the first byte of the message that is not whole yet

    def connectionMade(self) -> None:
        super().connectionMade()
        self.front.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)
        if not self.mid_message:
            self.partial_since_ms = None
        elif self.partial_since_ms is None:
            self.partial_since_ms = self.front.clock.now()
        self.front.scheduler.offer(self)
        if self.queue.full and not self.gone:
            self._set_paused(True)

    def _set_paused(self, paused: bool) -> None:
        """Guards memory against a flood on one connection."""
        transport: Any = self.transport
        if paused != self.paused:
            self.paused = paused
            (transport.stopReading if paused else transport.startReading)()

    def begin(self, one: ReceivedSetUp) -> None:
        """What came behind it in the same input has been read, so it has not been cancelled there."""
        if self.gone:
            self.queue.clear()
            return
        try:
            self.front.set_up(self, one)
        except messages.MalformedMessage as error:
            self.malformed(error, one.message)
        self.front.update_rank(self)
        if not self.queue.full and not self.gone:
            self._set_paused(False)

    def presence(self) -> Presence:
        """What the connection shows of its client now, without reading from it."""
        unread = None if self.gone else self.peek()
        if self.gone or unread == b"":
            return Presence.GONE
        return Presence.UNREAD if unread else Presence.PRESENT

    def half_close(self) -> None:
        """Nothing more is written; what comes is read until the viewer closes too."""
        transport: Any = self.transport
        transport.unregisterProducer()
        transport.loseWriteConnection()

    def overdue(self, now: float) -> bool:
        """Guards against clients that say nothing, or say it byte by byte: no byte renews the time."""
        if not self.has_sent_message:
            return now - self.opened_ms > FIRST_MESSAGE_TIMEOUT_MS
        return self.partial_since_ms is not None and now - self.partial_since_ms > PARTIAL_MESSAGE_TIMEOUT_MS

    def received(self, message: messages.Message) -> None:
        self.last_message_ms, self.partial_since_ms = self.front.clock.now(), None
        if not self.has_sent_message:
            self.has_sent_message = True
            self.front.first_message_received(self)
        self.front.update_rank(self)
        cseq, name = message.headers.get("cseq", "0"), message.session_id
        if message.status or self.half_closed_ms is not None:
            return  # a viewer heard a release, or sends anew what crosses the connection's end
        if message.method == "SETUP":
            if is_hand_over(message):  # it plays already, so its end has to reach the server whatever follows
                self.front.set_up(self, ReceivedSetUp(message, self.last_message_ms))
            else:
                self.queue.add(ReceivedSetUp(message, self.last_message_ms))
                self.front.update_rank(self)
        elif message.method == "TEARDOWN":
            self.queue.cancel(name)
            self.front.scheduler.cancel(name)
            self.send(messages.encode_response(200, cseq, name))
            request = self.front.router.by_session_id.get(name)
            if request is not None and isinstance(request.client, RtspClient):
                request.client.settle_set_up()
                request.client.set_established(False)
                self.front.router.viewer_left(request)
        elif message.method == "OPTIONS":
            self.send(messages.encode_response(200 if self.front.ready else 503, cseq, name))
        else:
            raise messages.MalformedMessage("unknown method", 501)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
        self.front.connection_closed(self)
