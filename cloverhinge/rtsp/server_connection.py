"""One connection to a media server, and the set-ups and probes under way on it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverhinge.core.containment import report_exception
from cloverhinge.core.deadlines import DeadlineKey
from cloverhinge.core.model import Attempt
from cloverhinge.net.buffered import UNREAD_GRACE_MS
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.server_inbound import handle_message

if TYPE_CHECKING:
    from cloverhinge.rtsp.server_pool import ServerPool

PARTIAL_MESSAGE_TIMEOUT_MS = 400.0  # a message that is incomplete for this long ends the connection


@dataclass(slots=True, eq=False)
class Probe:
    """A probe under way.  Its server may have left the list since, or have changed its address."""

    pool: ServerPool
    probe_id: str
    started_ms: float
    deadline: DeadlineKey | None = None


class ServerConnection(messages.RtspProtocol):
    """A connection to a media server; passes its messages to the pool."""

    def __init__(self, pool: ServerPool) -> None:
        super().__init__(pool.servers.output_limits)
        self.pool: ServerPool = pool
        self.opened_ms: float = 0.0
        self.last_set_up_ms: float = 0.0
        self.last_traffic_ms: float = 0.0  # in either direction
        self.half_closed_ms: float | None = None  # when it was half-closed
        self.attempts: dict[str, Attempt] = {}
        self.probes: dict[str, Probe] = {}
        self.complete_messages: list[messages.Message] = []  # not passed to the pool yet
        self.partial_deadline: DeadlineKey | None = None

    def connectionMade(self) -> None:
        super().connectionMade()
        self.pool.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass on complete messages only when no incomplete input follows them.

        An answer with a wrong length leaves a remainder that looks like the start of a message.  A message
        that stays incomplete for `PARTIAL_MESSAGE_TIMEOUT_MS` ends the connection, and messages that were
        held back are discarded with it.
        """
        deadlines, known = self.pool.servers.deadlines, len(self.complete_messages)
        super().dataReceived(data)
        if not self.mid_message or self.gone or len(self.complete_messages) > known:
            deadlines.cancel(self.partial_deadline)
            self.partial_deadline = None
        if self.gone:
            return
        if self.mid_message:
            self.partial_deadline = self.partial_deadline or deadlines.after(
                PARTIAL_MESSAGE_TIMEOUT_MS, self._partial_timed_out
            )
            return
        whole, self.complete_messages = self.complete_messages, []
        for message in whole:
            try:
                handle_message(self, message)
            except messages.MalformedMessage as error:
                self.malformed(error, message)
            except Exception:
                report_exception("a media server's message is processed")

    def _partial_timed_out(self) -> None:
        """Drop the connection, or wait if unread data may complete the message.

        Data is unread when this process was paused.
        """
        self.partial_deadline = None
        if self.unread:
            self.partial_deadline = self.pool.servers.deadlines.after(
                UNREAD_GRACE_MS, self._partial_timed_out
            )
        else:
            self.drop()

    def output_blocked_changed(self) -> None:
        """Send what waits for a connection that takes it."""
        if not self.output.blocked:
            self.pool.flush()

    def received(self, message: messages.Message) -> None:
        self.complete_messages.append(message)

    def send(self, data: bytes) -> None:
        self.last_traffic_ms = self.pool.servers.clock.now()
        super().send(data)

    def malformed(self, error: messages.MalformedMessage, message: messages.Message | None = None) -> None:
        if message is not None:
            super().malformed(error, message)
            return
        self.pool.servers.log.info(
            "media server {name}: malformed message: {error}", name=self.pool.address.name, error=str(error)
        )
        self.drop()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        self.pool.servers.deadlines.cancel(self.partial_deadline)
        self.pool.was_reset = self.pool.was_reset or reason.check(ConnectionLost) is not None
        self.pool.connection_closed(self, orderly=reason.check(ConnectionDone) is not None)
