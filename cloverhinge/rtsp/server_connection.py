"""One connection to a media server, and what is out on it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.error import ConnectionLost
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverhinge.core.deadlines import DeadlineKey
from cloverhinge.core.model import Attempt
from cloverhinge.net.buffered import UNREAD_MS
from cloverhinge.rtsp import messages

if TYPE_CHECKING:
    from cloverhinge.rtsp.server_pool import ServerPool

PARTIAL_MS = 400.0  # a message that is not whole so long after its first part never will be


@dataclass(slots=True, eq=False)
class Probe:
    """A test of a server that is out.  Its server may have left the list since, or have moved."""

    pool: ServerPool
    name: str
    started_ms: float
    deadline: DeadlineKey | None = None


class ServerConnection(messages.RtspProtocol):
    """One connection to a media server."""

    def __init__(self, pool: ServerPool) -> None:
        super().__init__()
        self.pool = pool
        self.since_ms = self.used_ms = self.traffic_ms = 0.0  # opened, last set-up, last message either way
        self.closing_ms: float | None = None  # half-closed since
        self.attempts: dict[str, Attempt] = {}
        self.probes: dict[str, Probe] = {}
        self.whole: list[messages.Message] = []  # read, and not handed on yet
        self.partial: DeadlineKey | None = None

    def connectionMade(self) -> None:
        super().connectionMade()
        self.pool.up(self)

    def dataReceived(self, data: bytes) -> None:
        """Guards against an answer whose length is wrong: what has been read is handed on once what follows
        it is seen to be none of its leavings, and a message that stays unfinished ends the connection."""
        deadlines, known = self.pool.servers.deadlines, len(self.whole)
        super().dataReceived(data)
        if not self.midway or self.gone or len(self.whole) > known:
            deadlines.cancel(self.partial)
            self.partial = None
        if self.gone:
            return
        if self.midway:
            self.partial = self.partial or deadlines.after(PARTIAL_MS, self._partial_over)
            return
        whole, self.whole = self.whole, []
        for message in whole:
            try:
                self.pool.read(self, message)
            except messages.Malformed as error:
                self.malformed(error, message)

    def _partial_over(self) -> None:
        """Guards against an answer thrown away after a pause of this process: its rest may lie unread."""
        self.partial = None
        if self.unread:
            self.partial = self.pool.servers.deadlines.after(UNREAD_MS, self._partial_over)
        else:
            self.drop()

    def received(self, message: messages.Message) -> None:
        self.whole.append(message)

    def send(self, data: bytes) -> None:
        self.traffic_ms = self.pool.servers.clock.now()
        super().send(data)

    def malformed(self, error: messages.Malformed, message: messages.Message | None = None) -> None:
        if message is not None:
            super().malformed(error, message)
            return
        self.pool.servers.log.info(
            "media server {name}: unreadable: {error}", name=self.pool.address.name, error=str(error)
        )
        self.drop()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
        self.pool.servers.deadlines.cancel(self.partial)
        self.pool.reset = self.pool.reset or reason.check(ConnectionLost) is not None
        self.pool.down(self)
