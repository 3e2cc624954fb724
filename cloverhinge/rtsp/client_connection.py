"""One RTSP connection from clients, and its set-ups that are not answered yet."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverhinge.core.containment import report_exception
from cloverhinge.core.model import Presence, Request
from cloverhinge.net.read_ahead import ReadAhead
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.client import RtspClient
from cloverhinge.rtsp.intake import ReceivedSetUp, SetUpQueue
from cloverhinge.rtsp.set_up import is_hand_over

if TYPE_CHECKING:
    from cloverhinge.rtsp.front import RtspFrontend

FIRST_MESSAGE_TIMEOUT_MS = (
    2500.0  # from accepting a connection to its first complete message; closed afterwards
)
MAX_DELIVERIES = 64  # messages remembered for the case that the connection ends right after them
MAX_CHUNKS_PER_TURN = 2  # of read-ahead input, each as much as is read at once
MAX_FINAL_READS = 16  # of a connection's input before it is closed at the end of a shutdown
PARTIAL_MESSAGE_TIMEOUT_MS = 2000.0  # from the first byte of a message to its last; closed afterwards


@dataclass(frozen=True, slots=True)
class Delivery:
    """A message about an established session that was sent to its client."""

    sent_ms: float
    client: RtspClient
    data: bytes


class ClientConnection(messages.RtspProtocol):
    """A connection from one or more clients."""

    def __init__(self, front: RtspFrontend, peer: str) -> None:
        super().__init__(front.output_limits)
        self.front, self.peer = front, peer
        self.handle = 0
        self.rank: dict[int, ClientConnection] = front.awaiting_message
        self.unanswered: dict[str, Request] = {}  # open set-ups to answer on this connection, by session id
        self.queue = SetUpQueue()  # set-ups that have been read but not begun
        self.read_ahead = ReadAhead(front.read_ahead_budget)  # read while the queue was full, not parsed yet
        self.input_read_ms = 0.0  # when the input that is being parsed was read
        self.client_left = False  # the client has closed its side: its set-ups are not begun
        self.paused = False  # whether reading is paused
        self.established_sessions: int = 0  # number of established sessions that were set up here
        self.has_sent_message = False  # whether a complete message has been received
        self.opened_ms = 0.0  # when the connection was accepted
        self.last_message_ms = 0.0  # when its last complete message was received
        self.half_closed_ms: float | None = None  # when it was half-closed
        self.partial_since_ms: float | None = None  # when the incomplete message began
        self.deliveries: deque[Delivery] = deque(maxlen=MAX_DELIVERIES)  # the latest

    def connectionMade(self) -> None:
        super().connectionMade()
        self.front.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        now = self.front.clock.now()
        if len(self.read_ahead) or self.queue.full:
            self.read_ahead.add(now, data)
            self._read_on(now)
        else:
            self._parse(now, data)
        self.front.scheduler.offer(self)
        self._pause_or_resume_reading()

    def _read_on(self, now: float) -> None:
        """Read all that has arrived, as the client's close may lie behind it."""
        while not self.read_ahead.full:
            data = self.receive_now()
            if data is None:
                return
            if not data:
                self._discard_set_ups()
                return
            self.read_ahead.add(now, data)

    def _parse(self, read_ms: float, data: bytes) -> None:
        self.input_read_ms = read_ms
        super().dataReceived(data)
        if not self.mid_message:
            self.partial_since_ms = None
        elif self.partial_since_ms is None:
            self.partial_since_ms = self.front.clock.now()

    def _parse_read_ahead(self) -> None:
        """Parse input that waits, while there is room for set-ups and answers; the rest in later turns."""
        for _ in range(MAX_CHUNKS_PER_TURN):
            if not len(self.read_ahead) or self.queue.full or self.output.blocked or self.gone:
                break
            self._parse(*self.read_ahead.take())
        else:
            self.front.deadlines.after(0.0, self._pause_or_resume_reading)
        self.front.scheduler.offer(self)

    def _discard_set_ups(self) -> None:
        """The client has left: begin none of its set-ups; what ends its sessions is still processed."""
        self.client_left = True
        self.queue.clear()

    def _parse_last_input(self) -> None:
        """Process what ends or hands over sessions in the input that waits, as the connection has ended."""
        if not self.gone and any(self.read_ahead.contains(x) for x in (b"TEARDOWN", b"at:")):
            while len(self.read_ahead) and not self.gone:
                self._parse(*self.read_ahead.take())
        self.read_ahead.clear()

    def output_blocked_changed(self) -> None:
        """Read nothing more from a client that does not read its answers."""
        self._pause_or_resume_reading()

    def _pause_or_resume_reading(self) -> None:
        """Read while there is room for set-ups and for answers, so that a flood takes bounded memory."""
        self._parse_read_ahead()
        paused = self.queue.full and self.read_ahead.full or self.output.blocked
        if paused != self.paused and not self.gone:
            transport: Any = self.transport
            self.paused = paused
            (transport.stopReading if paused else transport.startReading)()

    def begin(self, set_up: ReceivedSetUp) -> None:
        """Pass a set-up to the core, or answer it if it is invalid.

        All input received together with it has been processed, so it was not cancelled there.
        """
        if self.gone:
            self.queue.clear()
            return
        if len(self.queue) and self.presence() is Presence.GONE:
            self._discard_set_ups()
            self._pause_or_resume_reading()  # what ends its sessions may still be unread
            return
        try:
            self.front.set_up(self, set_up)
        except messages.MalformedMessage as error:
            self.malformed(error, set_up.message)
        except Exception:
            report_exception("a set-up is begun")
            self.front.fail_unregistered(self, set_up)
        self.front.update_rank(self)
        self._pause_or_resume_reading()

    @staticmethod
    def _wait_ms(message: messages.Message) -> float:
        """How long a set-up's client waits; without end where it does not say so, which is answered later."""
        try:
            return message.number("x-ring-limit", math.inf)
        except messages.MalformedMessage:
            return math.inf

    def refuse(self, set_up: ReceivedSetUp) -> None:
        """Refuse a set-up that has waited to be begun for nearly all of its time."""
        if not self.gone:
            self.front.refuse_waiting(self, set_up)
            self.front.update_rank(self)

    def handle_unread_input(self) -> None:
        """Read and begin what has arrived, up to a limit, outside the reactor's turns."""
        transport: Any = self.transport
        for _ in range(MAX_FINAL_READS):
            while len(self.queue) and not self.gone:
                self.begin(self.queue.next())
            if not self.unread:
                return
            transport.doRead()

    @property
    def has_open_set_ups(self) -> bool:
        """Whether a set-up on this connection waits for its answer or to be begun."""
        return bool(self.unanswered) or len(self.queue) > 0

    def close(self) -> None:
        """Close the connection; while a set-up is open, only discard its input until the sweep closes it."""
        if self.has_open_set_ups and not self.gone:
            self.log_event("discards its input until its set-ups are answered")
            self.discarding, self.message = True, None
        else:
            super().close()

    def presence(self) -> Presence:
        """Whether the client is still there, as the connection shows without reading from it."""
        unread = None if self.gone else self.peek()
        if self.gone or unread == b"" or unread and self.peer_has_closed:
            return Presence.GONE
        return Presence.UNREAD if unread or len(self.read_ahead) else Presence.PRESENT

    @property
    def is_writable(self) -> bool:
        """Whether the client can still be sent something, as far as the connection shows."""
        return self.half_closed_ms is None and self.presence() is not Presence.GONE

    def log_event(self, event: str, **details: object) -> None:
        """Log an event of this connection, where requests are logged."""
        request_log = self.front.router.request_log
        if request_log.enabled:
            request_log.connection(f"{self.peer} ({self.handle:x})", event, **details)

    def half_close(self) -> None:
        """Close the sending side; data is still read until the client closes too."""
        transport: Any = self.transport
        self.output.finish()
        transport.loseWriteConnection()

    def overdue(self, now: float) -> bool:
        """Whether the connection is to be closed: the first message, or the rest of an incomplete one, has
        not arrived in time, or its input was malformed, and no set-up is open on it.

        Single bytes do not extend the time, so a client that trickles its input is closed as well.
        """
        if self.has_open_set_ups:
            return False
        if self.discarding:
            return True
        if not self.has_sent_message:
            return now - self.opened_ms > FIRST_MESSAGE_TIMEOUT_MS
        return self.partial_since_ms is not None and now - self.partial_since_ms > PARTIAL_MESSAGE_TIMEOUT_MS

    def received(self, message: messages.Message) -> None:
        self.last_message_ms, self.partial_since_ms = self.front.clock.now(), None
        request_log = self.front.router.request_log
        if request_log.enabled:
            request_log.request(
                message.session_id, message.method or "response", connection=f"{self.handle:x}"
            )
        if not self.has_sent_message:
            self.has_sent_message = True
            self.front.first_message_received(self)
        self.front.update_rank(self)
        cseq, name = message.headers.get("cseq", "0"), message.session_id
        if message.status or self.half_closed_ms is not None:
            return  # a client's answer, or a request after the half-close, which the client repeats elsewhere
        if message.method == "SETUP":
            if is_hand_over(message):  # already playing: its later end must reach the server
                self.front.set_up(self, ReceivedSetUp(message, self.last_message_ms))
            elif not self.client_left:
                self.queue.add(ReceivedSetUp(message, self.input_read_ms, self._wait_ms(message)))
                self.front.update_rank(self)
        elif message.method == "TEARDOWN":
            self.queue.cancel(name)
            self.front.scheduler.cancel(name)
            self.front.viewer_left(name)
            self.send(messages.encode_response(200, cseq, name))
        elif message.method == "OPTIONS":
            self.send(messages.encode_response(200 if self.front.ready else 503, cseq, name))
        else:
            raise messages.MalformedMessage("unknown method", 501)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._discard_set_ups()
        self._parse_last_input()
        super().connectionLost(reason)
        self.front.connection_closed(self)
