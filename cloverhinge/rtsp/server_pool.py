"""The connections to one media server: opened when there is something to send, retired, given up.

A set-up has its connection for itself as long as there are enough, so that an answer which is spoilt, late or
never comes costs no other set-up.  After anything unreadable nothing on that connection is trusted.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from cloverhinge.core.model import Attempt, Cause, State
from cloverhinge.decision.interface import Outcome
from cloverhinge.discovery.updates import ServerAddress
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.server_connection import Probe, ServerConnection
from cloverhinge.rtsp.server_messages import encode_release, parse_load_report, parse_session_event

if TYPE_CHECKING:
    from cloverhinge.rtsp.media_servers import MediaServers

SILENCE_CHECK_MS = (
    5500.0  # a media server with sessions that said nothing for so long has to take a new connection
)
SILENCE_LOST_MS = 7000.0  # one that took none for so long has lost its sessions; the rule allows 8 s
MIN_CONNECTION_LIFE_MS = 1000.0  # a connection that lasted so long is opened anew at once
REFUSED_LOST_MS = 2500.0  # a media server that refuses connections for so long holds no session any more
RETRY_BACKOFF_MS = (200.0, 2000.0)  # pause before a failed connection is tried again
IDLE_TIMEOUT_SHARE = (
    0.6  # of the time after which idle connections are closed, one without traffic is given up
)
HALF_CLOSED_TIMEOUT_MS = 1500.0  # a replaced connection is read for so long after its end was announced
SPARE_TIMEOUT_MS = 5000.0  # a connection beyond the first that carried no set-up for so long is closed
MAX_UNSENT = 256  # releases kept for a media server that can't be reached
OUTCOME_BY_STATUS = {453: Outcome.FULL, 454: Outcome.MOOT, 504: Outcome.RESET}
OUTCOME_BY_CAUSE = {"16": Outcome.SERVED, "31": Outcome.CANCELLED, "41": Outcome.RESET}


class _ConnectAttempt(ClientFactory):
    """One try to open a connection, with its own time-out."""

    noisy = False

    def __init__(self, pool: ServerPool) -> None:
        self.pool = pool
        servers = pool.servers
        self.connector: Any = servers.reactor.connectTCP(
            pool.address.host, pool.address.port, self, timeout=30
        )
        self.deadline = servers.deadlines.after(servers.connect_ms, self.connector.stopConnecting)

    def buildProtocol(self, addr: Any) -> ServerConnection:
        self.pool.servers.deadlines.cancel(self.deadline)
        return ServerConnection(self.pool)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.pool.servers.deadlines.cancel(self.deadline)
        self.pool.connect_failed(isinstance(reason.value, ConnectionRefusedError))


@dataclass(eq=False)
class ServerPool:
    """The connections to a listed media server.  Keyed by its id: another one may have its address later."""

    servers: MediaServers
    address: ServerAddress
    connections: list[ServerConnection] = field(default_factory=list)  # for set-ups, the oldest first
    retiring: list[ServerConnection] = field(default_factory=list)
    opening: int = 0  # connections on their way
    replacing: bool = False  # the next one to come up takes the place of all
    checking: bool = False  # the next one to come up only shows that the media server lives
    waiting: list[Attempt | Probe] = field(default_factory=list)
    unsent: deque[bytes] = field(default_factory=lambda: deque(maxlen=MAX_UNSENT))
    last_message_ms: float = 0.0
    retry_at_ms: float = 0.0
    backoff_ms: float = RETRY_BACKOFF_MS[0]
    listed: bool = True
    was_reset: bool = False  # a connection to it was, since one last came up
    refused_since_ms: float | None = None  # it takes no connection since

    def open(self) -> None:
        self.opening += 1
        _ConnectAttempt(self)

    @property
    def needs_connection(self) -> bool:
        """None is open, and something waits for one, or sessions stand whose releases come on it."""
        wanted = self.waiting or self.unsent or self.servers.router.established.get(self.address.number)
        return self.listed and not self.connections and not self.opening and bool(wanted)

    def replace(self) -> None:
        self.replacing = True
        if not self.opening:
            self.open()

    def connection_opened(self, connection: ServerConnection) -> None:
        self.opening, self.backoff_ms = self.opening - 1, RETRY_BACKOFF_MS[0]
        self.was_reset, self.refused_since_ms = False, None
        connection.opened_ms = connection.last_set_up_ms = connection.last_traffic_ms = (
            self.last_message_ms
        ) = self.servers.clock.now()
        if not self.listed:  # opened for what is still to be told, if anything is
            self.retiring.append(connection)
            self._send_unsent(connection)
            return
        if (
            self.checking and self.connections
        ):  # the media server lives; what it says here is read, its old connections go on
            self.retiring.append(connection)
        else:
            for old in list(self.connections) if self.replacing else ():
                self.retire(old)
            self.connections.append(connection)
            self.replacing = False
        self.checking = False
        self._send_unsent(connection)
        self.flush()

    def _send_unsent(self, connection: ServerConnection) -> None:
        while self.unsent:
            connection.send(self.unsent.popleft())

    def retire(self, connection: ServerConnection) -> None:
        """It takes no set-up any more; it is half-closed once none is open on it, and read until the server
        closes.

        Guards against losing a release that is on its way while the connection is closed.
        """
        if connection in self.connections:
            self.connections.remove(connection)
            self.retiring.append(connection)

    def connect_failed(self, refused: bool) -> None:
        self.opening -= 1
        now = self.servers.clock.now()
        self.retry_at_ms, self.backoff_ms = (
            now + self.backoff_ms,
            min(self.backoff_ms * 2, RETRY_BACKOFF_MS[1]),
        )
        if not self.listed:
            self.unsent.clear()  # one try: it is on its way out
            return
        if self.connections:
            self.flush()
            return
        waiting, self.waiting = self.waiting, []
        for one in waiting:
            if isinstance(one, Attempt):
                self.servers.router.attempt_ended(one, Outcome.CONNECT_FAILED)
            else:
                self.servers.probe_ended(one, Outcome.CONNECT_FAILED)
        if not refused:
            return
        self.refused_since_ms = self.refused_since_ms or now
        standing = len(self.servers.router.established.get(self.address.number, ()))
        # Guards against cutting what plays at a server that takes no more connections: only where one to it
        # was reset before does a refusal show at once that no process is there.
        if standing and (self.was_reset or now - self.refused_since_ms >= REFUSED_LOST_MS):
            self.servers.log.warn(
                "media server {name}: refuses connections, its {standing} sessions are taken as lost",
                name=self.address.name,
                standing=standing,
            )
            self.servers.router.cut_all(self.address.number)

    def connection_closed(self, connection: ServerConnection) -> None:
        for connections in (self.connections, self.retiring):
            if connection in connections:
                connections.remove(connection)
        attempts, probes = list(connection.attempts.values()), list(connection.probes.values())
        connection.attempts.clear()
        connection.probes.clear()
        now = self.servers.clock.now()
        if (
            now - connection.opened_ms < MIN_CONNECTION_LIFE_MS
        ):  # guards against a media server that closes each connection at once
            self.retry_at_ms = now + RETRY_BACKOFF_MS[0]
        elif self.needs_connection:
            self.open()
        for attempt in attempts:
            # It may have run, and may stand there for nobody.
            self.send_on_any(encode_release(attempt.request.set_up.session_id, Cause.CANCELLED))
            self.servers.router.attempt_ended(attempt, Outcome.RESET)
        for probe in probes:
            self.servers.probe_ended(probe, Outcome.RESET)

    def write(self, connection: ServerConnection, one: Attempt | Probe) -> None:
        if isinstance(one, Probe):
            connection.probes[one.probe_id] = one
            connection.send(messages.encode_request("OPTIONS", "rtsp://media/load", 3, one.probe_id))
            return
        if not self.servers.router.may_write(one):
            return
        ask = one.request.set_up
        connection.attempts[ask.session_id], connection.last_set_up_ms = one, self.servers.clock.now()
        fields = {
            "X-Call-Class": ask.class_name,
            "X-Ring-Limit": str(max(1, round(one.until_ms - self.servers.clock.now()))),
        }
        if one.request.rung is not None:
            fields["X-Quality"] = str(one.request.rung)
        connection.send(
            messages.encode_request("SETUP", f"rtsp://media/{ask.title}", 1, ask.session_id, fields, ask.body)
        )

    def submit(self, one: Attempt | Probe) -> None:
        self.waiting.append(one)
        self.flush()

    def flush(self) -> None:
        """Write what waits: each set-up on a connection for itself, shared where no more may be opened."""
        while self.waiting:
            connection = next((x for x in self.connections if not x.attempts and not x.mid_message), None)
            if connection is None and len(self.connections) + self.opening < self.servers.max_connections():
                if self.opening < len(self.waiting):
                    self.open()
                return
            if connection is None and self.opening:
                return
            if connection is None:
                connection = min(self.connections, key=lambda x: len(x.attempts))
            self.write(connection, self.waiting.pop(0))

    def send_on_any(self, data: bytes) -> None:
        """Something on a session that stands, on any connection; kept for the next one where there is none.

        Guards against sessions that stand for nobody at a server that has left the list and drains.
        """
        writable = self.connections or [x for x in self.retiring if x.half_closed_ms is None and not x.gone]
        if writable:
            writable[0].send(data)
            return
        self.unsent.append(data)
        if not self.opening and self.servers.clock.now() >= self.retry_at_ms:
            self.open()

    def all_connections(self) -> list[ServerConnection]:
        return self.retiring + self.connections

    def handle_message(self, connection: ServerConnection, message: messages.Message) -> None:
        self.last_message_ms = connection.last_traffic_ms = self.servers.clock.now()
        if message.status:
            self.handle_response(connection, message)
        else:
            self.handle_request(connection, message)
        self.flush()

    def handle_response(self, connection: ServerConnection, message: messages.Message) -> None:
        name, router = message.session_id, self.servers.router
        if (probe := connection.probes.get(name)) is not None:
            passed = message.status == 200
            if message.status >= 200:
                self.servers.probe_ended(
                    probe, Outcome.SERVED if passed else Outcome.ERROR, parse_load_report(message)
                )
            return
        if message.status < 200 or message.headers.get("cseq") != "1":
            return  # progress, or that a release was heard
        attempt = connection.attempts.pop(name, None)
        if message.status != 200:
            if attempt is not None:
                outcome = OUTCOME_BY_STATUS.get(message.status, Outcome.ERROR)
                router.attempt_ended(attempt, outcome, parse_load_report(message))
        elif attempt is None or not router.answered(attempt, message.body):
            # Guards against a session that stands for nobody: its set-up was given up while this was coming.
            standing = router.by_session_id.get(name)
            if (
                standing is None or standing.server != self.address.number
            ) and not self.servers.is_handed_over(name):
                self.send_on_any(encode_release(name, Cause.CANCELLED))

    def handle_request(self, connection: ServerConnection, message: messages.Message) -> None:
        name, router = message.session_id, self.servers.router
        request = router.by_session_id.get(name)
        if message.method == "TEARDOWN":
            connection.send(messages.encode_response(200, message.headers.get("cseq", "2"), name))
            cause = message.headers.get("reason", "").partition("cause=")[2].strip()
            outcome = OUTCOME_BY_CAUSE.get(cause, Outcome.RESET)
            attempt = connection.attempts.pop(name, None)
            if attempt is not None:
                router.attempt_ended(attempt, Outcome.RESET, parse_load_report(message))
            elif request is not None and request.server == self.address.number:
                router.session_ended(request, outcome, parse_load_report(message))
        elif message.method == "ANNOUNCE":
            if (
                request is not None
                and request.state is State.ESTABLISHED
                and request.server == self.address.number
            ):
                event = parse_session_event(message, request, self.address.number)
                if event is not None:
                    router.session_event(request, event)
        elif message.method == "OPTIONS":
            connection.send(messages.encode_response(200, message.headers.get("cseq", "3"), name))

    def sweep(self, now: float) -> None:
        for connection in list(self.retiring):
            if connection.half_closed_ms is not None:
                if now - connection.half_closed_ms > HALF_CLOSED_TIMEOUT_MS:
                    connection.drop()
            elif not connection.attempts and not connection.probes:
                connection.half_closed_ms = now
                transport: Any = connection.transport
                transport.loseWriteConnection()
        if not self.listed:
            return
        for connection in self.connections[1:]:
            if now - connection.last_set_up_ms > SPARE_TIMEOUT_MS:
                self.retire(connection)
        if self.needs_connection and now >= self.retry_at_ms:
            self.open()
        if not self.servers.router.established.get(self.address.number):
            self.last_message_ms = now  # there is nothing to hear of
            for connection in [
                x
                for x in self.connections
                if now - x.last_traffic_ms > IDLE_TIMEOUT_SHARE * self.servers.idle_ms
            ]:
                self.retire(connection)
            return
        if (
            self.connections
            and now - self.connections[0].last_traffic_ms > IDLE_TIMEOUT_SHARE * self.servers.idle_ms
        ):
            self.replace()
        if now - self.last_message_ms > SILENCE_LOST_MS:
            if any(connection.unread for connection in self.all_connections()):
                return  # this process stood still: what has come meanwhile is read first
            self.servers.log.warn(
                "media server {name}: silent, its sessions are taken as lost", name=self.address.name
            )
            for connection in self.all_connections():
                connection.drop()
            self.servers.router.cut_all(self.address.number)
        elif now - self.last_message_ms > SILENCE_CHECK_MS and now >= self.retry_at_ms and not self.opening:
            self.checking = True
            self.open()

    def unlist(self) -> None:
        self.listed = False
        waiting, self.waiting = self.waiting, []
        for one in waiting:
            if isinstance(one, Attempt):
                self.servers.router.attempt_ended(one, Outcome.MOOT)
            else:
                self.servers.probe_ended(one, Outcome.CONNECT_FAILED)
        for connection in list(self.connections):
            self.retire(connection)
