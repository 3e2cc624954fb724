"""One connection of clients, and what of it is owed an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverhinge.core.model import Presence, Request
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.client import RtspClient
from cloverhinge.rtsp.intake import Queue, SetUp
from cloverhinge.rtsp.set_up import hands_over

if TYPE_CHECKING:
    from cloverhinge.rtsp.front import Front

SILENT_MS = 2500.0  # a connection that has brought no whole message so long after it was taken is closed
PARTIAL_MS = 2000.0  # so is one whose message is not whole so long after its first byte


class ClientConnection(messages.RtspProtocol):
    """One connection of viewers."""

    def __init__(self, front: Front, peer: str) -> None:
        super().__init__()
        self.front, self.peer = front, peer
        self.handle = 0
        self.rank: dict[int, ClientConnection] = front.silent
        self.open: dict[str, Request] = {}  # set-ups that are owed an answer here
        self.queue = Queue()  # set-ups that have been read and not begun
        self.paused = False  # nothing is read while the queue is full
        self.standing = 0  # sessions that were set up on it
        self.spoken = False  # a whole message has come
        self.since_ms = 0.0  # the connection's start
        self.heard_ms = 0.0  # its last whole message
        self.ending_ms: float | None = None  # half-closed since
        self.partial_ms: float | None = None  # the first byte of the message that is not whole yet

    def connectionMade(self) -> None:
        super().connectionMade()
        self.front.up(self)

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)
        if not self.midway:
            self.partial_ms = None
        elif self.partial_ms is None:
            self.partial_ms = self.front.clock.now()
        self.front.intake.offer(self)
        if self.queue.full and not self.gone:
            self._pause(True)

    def _pause(self, paused: bool) -> None:
        """Guards memory against a flood on one connection."""
        transport: Any = self.transport
        if paused != self.paused:
            self.paused = paused
            (transport.stopReading if paused else transport.startReading)()

    def begin(self, one: SetUp) -> None:
        """What came behind it in the same input has been read, so it has not been cancelled there."""
        if self.gone:
            self.queue.clear()
            return
        try:
            self.front.set_up(self, one)
        except messages.Malformed as error:
            self.malformed(error, one.message)
        self.front.arrange(self)
        if not self.queue.full and not self.gone:
            self._pause(False)

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
        if not self.spoken:
            return now - self.since_ms > SILENT_MS
        return self.partial_ms is not None and now - self.partial_ms > PARTIAL_MS

    def received(self, message: messages.Message) -> None:
        self.heard_ms, self.partial_ms = self.front.clock.now(), None
        if not self.spoken:
            self.spoken = True
            self.front.spoke(self)
        self.front.arrange(self)
        cseq, name = message.headers.get("cseq", "0"), message.session
        if message.status or self.ending_ms is not None:
            return  # a viewer heard a release, or sends anew what crosses the connection's end
        if message.method == "SETUP":
            if hands_over(message):  # it plays already, so its end has to reach the server whatever follows
                self.front.set_up(self, SetUp(message, self.heard_ms))
            else:
                self.queue.add(SetUp(message, self.heard_ms))
                self.front.arrange(self)
        elif message.method == "TEARDOWN":
            self.queue.cancel(name)
            self.front.intake.cancel(name)
            self.send(messages.response(200, cseq, name))
            request = self.front.router.by_session_id.get(name)
            if request is not None and isinstance(request.client, RtspClient):
                request.client.answered()
                request.client.stands(False)
                self.front.router.viewer_left(request)
        elif message.method == "OPTIONS":
            self.send(messages.response(200 if self.front.ready else 503, cseq, name))
        else:
            raise messages.Malformed("unknown method", 501)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
        self.front.down(self)
