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
from cloverhinge.rtsp.server_messages import note_of, release, report_of

if TYPE_CHECKING:
    from cloverhinge.rtsp.media_servers import MediaServers

SILENT_MS = 5500.0  # a media server with sessions that said nothing for so long has to take a new connection
DEAD_MS = 7000.0  # one that took none for so long has lost its sessions; the rule allows 8 s
SHORT_MS = 1000.0  # a connection that lasted so long is opened anew at once
REFUSED_MS = 2500.0  # a media server that refuses connections for so long holds no session any more
RETRY_MS = (200.0, 2000.0)  # pause before a failed connection is tried again
IDLE_SHARE = 0.6  # of the time after which idle connections are closed, one without traffic is given up
RETIRE_MS = 1500.0  # a replaced connection is read for so long after its end was announced
SPARE_MS = 5000.0  # a connection beyond the first that carried no set-up for so long is closed
HELD_MOST = 256  # releases kept for a media server that can't be reached
REFUSALS = {453: Outcome.FULL, 454: Outcome.MOOT, 504: Outcome.RESET}
RELEASES = {"16": Outcome.SERVED, "31": Outcome.CANCELLED, "41": Outcome.RESET}


class _Connect(ClientFactory):
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
        self.pool.unreached(isinstance(reason.value, ConnectionRefusedError))


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
    held: deque[bytes] = field(default_factory=lambda: deque(maxlen=HELD_MOST))
    heard_ms: float = 0.0
    retry_at_ms: float = 0.0
    retry_ms: float = RETRY_MS[0]
    listed: bool = True
    reset: bool = False  # a connection to it was, since one last came up
    refused_ms: float | None = None  # it takes no connection since

    def open(self) -> None:
        self.opening += 1
        _Connect(self)

    @property
    def missed(self) -> bool:
        """None is open, and something waits for one, or sessions stand whose releases come on it."""
        wanted = self.waiting or self.held or self.servers.router.established.get(self.address.number)
        return self.listed and not self.connections and not self.opening and bool(wanted)

    def replace(self) -> None:
        self.replacing = True
        if not self.opening:
            self.open()

    def up(self, connection: ServerConnection) -> None:
        self.opening, self.retry_ms = self.opening - 1, RETRY_MS[0]
        self.reset, self.refused_ms = False, None
        connection.since_ms = connection.used_ms = connection.traffic_ms = self.heard_ms = (
            self.servers.clock.now()
        )
        if not self.listed:  # opened for what is still to be told, if anything is
            self.retiring.append(connection)
            self._send_held(connection)
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
        self._send_held(connection)
        self.flush()

    def _send_held(self, connection: ServerConnection) -> None:
        while self.held:
            connection.send(self.held.popleft())

    def retire(self, connection: ServerConnection) -> None:
        """It takes no set-up any more; it is half-closed once none is open on it, and read until the server
        closes.

        Guards against losing a release that is on its way while the connection is closed.
        """
        if connection in self.connections:
            self.connections.remove(connection)
            self.retiring.append(connection)

    def unreached(self, refused: bool) -> None:
        self.opening -= 1
        now = self.servers.clock.now()
        self.retry_at_ms, self.retry_ms = now + self.retry_ms, min(self.retry_ms * 2, RETRY_MS[1])
        if not self.listed:
            self.held.clear()  # one try: it is on its way out
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
        self.refused_ms = self.refused_ms or now
        standing = len(self.servers.router.established.get(self.address.number, ()))
        # Guards against cutting what plays at a server that takes no more connections: only where one to it
        # was reset before does a refusal show at once that no process is there.
        if standing and (self.reset or now - self.refused_ms >= REFUSED_MS):
            self.servers.log.warn(
                "media server {name}: refuses connections, its {standing} sessions are taken as lost",
                name=self.address.name,
                standing=standing,
            )
            self.servers.router.cut_all(self.address.number)

    def down(self, connection: ServerConnection) -> None:
        for connections in (self.connections, self.retiring):
            if connection in connections:
                connections.remove(connection)
        attempts, probes = list(connection.attempts.values()), list(connection.probes.values())
        connection.attempts.clear()
        connection.probes.clear()
        now = self.servers.clock.now()
        if (
            now - connection.since_ms < SHORT_MS
        ):  # guards against a media server that closes each connection at once
            self.retry_at_ms = now + RETRY_MS[0]
        elif self.missed:
            self.open()
        for attempt in attempts:
            # It may have run, and may stand there for nobody.
            self.tell(release(attempt.request.set_up.session_id, Cause.CANCELLED))
            self.servers.router.attempt_ended(attempt, Outcome.RESET)
        for probe in probes:
            self.servers.probe_ended(probe, Outcome.RESET)

    def write(self, connection: ServerConnection, one: Attempt | Probe) -> None:
        if isinstance(one, Probe):
            connection.probes[one.name] = one
            connection.send(messages.request("OPTIONS", "rtsp://media/load", 3, one.name))
            return
        if not self.servers.router.may_write(one):
            return
        ask = one.request.set_up
        connection.attempts[ask.session_id], connection.used_ms = one, self.servers.clock.now()
        fields = {
            "X-Call-Class": ask.class_name,
            "X-Ring-Limit": str(max(1, round(one.until_ms - self.servers.clock.now()))),
        }
        if one.request.rung is not None:
            fields["X-Quality"] = str(one.request.rung)
        connection.send(
            messages.request("SETUP", f"rtsp://media/{ask.title}", 1, ask.session_id, fields, ask.body)
        )

    def submit(self, one: Attempt | Probe) -> None:
        self.waiting.append(one)
        self.flush()

    def flush(self) -> None:
        """Write what waits: each set-up on a connection for itself, shared where no more may be opened."""
        while self.waiting:
            connection = next((x for x in self.connections if not x.attempts and not x.midway), None)
            if connection is None and len(self.connections) + self.opening < self.servers.connections_most():
                if self.opening < len(self.waiting):
                    self.open()
                return
            if connection is None and self.opening:
                return
            if connection is None:
                connection = min(self.connections, key=lambda x: len(x.attempts))
            self.write(connection, self.waiting.pop(0))

    def tell(self, data: bytes) -> None:
        """Something on a session that stands, on any connection; kept for the next one where there is none.

        Guards against sessions that stand for nobody at a server that has left the list and drains.
        """
        writable = self.connections or [x for x in self.retiring if x.closing_ms is None and not x.gone]
        if writable:
            writable[0].send(data)
            return
        self.held.append(data)
        if not self.opening and self.servers.clock.now() >= self.retry_at_ms:
            self.open()

    def all_connections(self) -> list[ServerConnection]:
        return self.retiring + self.connections

    def read(self, connection: ServerConnection, message: messages.Message) -> None:
        self.heard_ms = connection.traffic_ms = self.servers.clock.now()
        if message.status:
            self.answer(connection, message)
        else:
            self.told(connection, message)
        self.flush()

    def answer(self, connection: ServerConnection, message: messages.Message) -> None:
        name, router = message.session, self.servers.router
        if (probe := connection.probes.get(name)) is not None:
            passed = message.status == 200
            if message.status >= 200:
                self.servers.probe_ended(
                    probe, Outcome.SERVED if passed else Outcome.ERROR, report_of(message)
                )
            return
        if message.status < 200 or message.headers.get("cseq") != "1":
            return  # progress, or that a release was heard
        attempt = connection.attempts.pop(name, None)
        if message.status != 200:
            if attempt is not None:
                outcome = REFUSALS.get(message.status, Outcome.ERROR)
                router.attempt_ended(attempt, outcome, report_of(message))
        elif attempt is None or not router.answered(attempt, message.body):
            # Guards against a session that stands for nobody: its set-up was given up while this was coming.
            standing = router.by_session_id.get(name)
            if (standing is None or standing.server != self.address.number) and not self.servers.handed_on(
                name
            ):
                self.tell(release(name, Cause.CANCELLED))

    def told(self, connection: ServerConnection, message: messages.Message) -> None:
        name, router = message.session, self.servers.router
        request = router.by_session_id.get(name)
        if message.method == "TEARDOWN":
            connection.send(messages.response(200, message.headers.get("cseq", "2"), name))
            cause = message.headers.get("reason", "").partition("cause=")[2].strip()
            outcome = RELEASES.get(cause, Outcome.RESET)
            attempt = connection.attempts.pop(name, None)
            if attempt is not None:
                router.attempt_ended(attempt, Outcome.RESET, report_of(message))
            elif request is not None and request.server == self.address.number:
                router.session_ended(request, outcome, report_of(message))
        elif message.method == "ANNOUNCE":
            if (
                request is not None
                and request.state is State.ESTABLISHED
                and request.server == self.address.number
            ):
                event = note_of(message, request, self.address.number)
                if event is not None:
                    router.session_event(request, event)
        elif message.method == "OPTIONS":
            connection.send(messages.response(200, message.headers.get("cseq", "3"), name))

    def sweep(self, now: float) -> None:
        for connection in list(self.retiring):
            if connection.closing_ms is not None:
                if now - connection.closing_ms > RETIRE_MS:
                    connection.drop()
            elif not connection.attempts and not connection.probes:
                connection.closing_ms = now
                transport: Any = connection.transport
                transport.loseWriteConnection()
        if not self.listed:
            return
        for connection in self.connections[1:]:
            if now - connection.used_ms > SPARE_MS:
                self.retire(connection)
        if self.missed and now >= self.retry_at_ms:
            self.open()
        if not self.servers.router.established.get(self.address.number):
            self.heard_ms = now  # there is nothing to hear of
            for connection in [
                x for x in self.connections if now - x.traffic_ms > IDLE_SHARE * self.servers.idle_ms
            ]:
                self.retire(connection)
            return
        if self.connections and now - self.connections[0].traffic_ms > IDLE_SHARE * self.servers.idle_ms:
            self.replace()
        if now - self.heard_ms > DEAD_MS:
            if any(connection.unread for connection in self.all_connections()):
                return  # this process stood still: what has come meanwhile is read first
            self.servers.log.warn(
                "media server {name}: silent, its sessions are taken as lost", name=self.address.name
            )
            for connection in self.all_connections():
                connection.drop()
            self.servers.router.cut_all(self.address.number)
        elif now - self.heard_ms > SILENT_MS and now >= self.retry_at_ms and not self.opening:
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
