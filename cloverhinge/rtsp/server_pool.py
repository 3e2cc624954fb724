"""The pool of connections to one media server: opened when there is something to send, and retired.

Each set-up gets a connection of its own as long as there are enough, so that an answer that is corrupt, late
or missing affects no other set-up.  After malformed input a connection is not used any more.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from cloverhinge.core.model import Attempt, Cause
from cloverhinge.decision.interface import Outcome
from cloverhinge.discovery.updates import ServerAddress
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.server_connection import Probe, ServerConnection
from cloverhinge.rtsp.server_liveness import ServerLiveness, Verdict
from cloverhinge.rtsp.server_messages import encode_release

if TYPE_CHECKING:
    from cloverhinge.rtsp.media_servers import MediaServers

MIN_CONNECTION_LIFE_MS = 1000.0  # a connection that lasted this long is reopened without a delay
REFUSED_LOST_MS = 2500.0  # sessions of a server that refuses connections this long count as lost
RETRY_BACKOFF_MS = (200.0, 2000.0)  # first and longest delay before a failed connection is retried
IDLE_TIMEOUT_SHARE = 0.6  # of the idle time limit: a connection without traffic for this long is retired
HALF_CLOSED_TIMEOUT_MS = 1500.0  # how long a retired connection is read after it was half-closed
SPARE_TIMEOUT_MS = 5000.0  # a connection beyond the first is closed after this long without a set-up
MAX_UNSENT = 256  # messages queued for an unreachable server; beyond it the oldest is discarded


class _ConnectAttempt(ClientFactory):
    """One attempt to open a connection, with a timeout."""

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
    """The connections to one media server.

    A server is identified by its id, since another one may get its address later.
    """

    servers: MediaServers
    address: ServerAddress
    liveness: ServerLiveness
    connections: list[ServerConnection] = field(default_factory=list)  # for set-ups, oldest first
    retiring: list[ServerConnection] = field(default_factory=list)
    opening: int = 0  # attempts to connect under way
    replacing: bool = False  # the next connection to open replaces all others
    checking: bool = False  # the next connection only shows that the server is alive
    waiting: list[Attempt | Probe] = field(default_factory=list)
    unsent: deque[bytes] = field(default_factory=lambda: deque(maxlen=MAX_UNSENT))
    retry_at_ms: float = 0.0
    backoff_ms: float = RETRY_BACKOFF_MS[0]
    listed: bool = True
    was_reset: bool = False  # whether a connection was reset since one last opened
    refused_since_ms: float | None = None  # since when it has refused all connections

    def open(self) -> None:
        """Begin an attempt to open a connection."""
        self.opening += 1
        _ConnectAttempt(self)

    @property
    def needs_connection(self) -> bool:
        """Whether none is open though something waits for it, or sessions exist whose releases use it."""
        wanted = self.waiting or self.unsent or self._has_sessions
        return self.listed and not self.connections and not self.opening and bool(wanted)

    @property
    def _has_sessions(self) -> bool:
        return bool(self.servers.router.established.get(self.address.number))

    def replace(self) -> None:
        """Retire all connections once a new one is open."""
        self.replacing = True
        if not self.opening:
            self.open()

    def connection_opened(self, connection: ServerConnection) -> None:
        """Add a new connection to the pool and send what waits."""
        self._log_event("connection opened", open=len(self.connections) + 1)
        self.opening, self.backoff_ms = self.opening - 1, RETRY_BACKOFF_MS[0]
        self.was_reset, self.refused_since_ms = False, None
        now = self.servers.clock.now()
        connection.opened_ms = connection.last_set_up_ms = connection.last_traffic_ms = now
        if not self._has_sessions:
            self.liveness.nothing_expected(now)
        self.liveness.connection_opened(now)
        if not self.listed:  # opened to send the unsent messages
            self.retiring.append(connection)
            self._send_unsent(connection)
            return
        if self.checking and self.connections:  # the server is alive: read this one, keep the others
            self.retiring.append(connection)
        else:
            for old in list(self.connections) if self.replacing else ():
                self.retire(old)
            self.connections.append(connection)
            self.replacing = False
        self.checking = False
        self._send_unsent(connection)
        self.flush()

    def _log_event(self, event: str, **details: object) -> None:
        self.servers.router.request_log.server(self.address.name, event, **details)

    def _send_unsent(self, connection: ServerConnection) -> None:
        while self.unsent:
            connection.send(self.unsent.popleft())

    def retire(self, connection: ServerConnection) -> None:
        """Send no more set-ups on a connection.

        It is half-closed once nothing is under way on it, and then read until the server closes it, so that a
        release that is in flight is not lost.
        """
        if connection in self.connections:
            self.connections.remove(connection)
            self.retiring.append(connection)

    def connect_failed(self, refused: bool) -> None:
        """End the waiting attempts and probes if no connection is open.

        Sessions of a server that keeps refusing connections are lost.
        """
        self.opening -= 1
        now = self.servers.clock.now()
        self.retry_at_ms, self.backoff_ms = (
            now + self.backoff_ms,
            min(self.backoff_ms * 2, RETRY_BACKOFF_MS[1]),
        )
        self._log_event("connection failed", refused=refused, retry_ms=round(self.retry_at_ms - now))
        if not self.listed:
            self.unsent.clear()  # an unlisted server gets a single attempt
            return
        if self.connections:
            self.flush()
            return
        waiting, self.waiting = self.waiting, []
        for item in waiting:
            if isinstance(item, Attempt):
                self.servers.router.attempt_ended(item, Outcome.CONNECT_FAILED)
            else:
                self.servers.probe_ended(item, Outcome.CONNECT_FAILED)
        if not refused:
            return
        self.refused_since_ms = self.refused_since_ms or now
        session_count = len(self.servers.router.established.get(self.address.number, ()))
        # A server at its limit of connections refuses new ones while its sessions play on.  A refusal shows
        # at once that its process is gone only if a connection was reset before.
        if session_count and (self.was_reset or now - self.refused_since_ms >= REFUSED_LOST_MS):
            self.servers.log.warn(
                "media server {name}: refuses connections; its {count} sessions are considered lost",
                name=self.address.name,
                count=session_count,
            )
            self.servers.router.cut_all(self.address.number)

    def connection_closed(self, connection: ServerConnection, orderly: bool) -> None:
        """Remove a connection and end the attempts and probes that were under way on it.

        `orderly` says that the server closed it, rather than that it was reset or dropped.
        """
        for connections in (self.connections, self.retiring):
            if connection in connections:
                connections.remove(connection)
        attempts, probes = list(connection.attempts.values()), list(connection.probes.values())
        self._log_event("connection ended", attempts=len(attempts), probes=len(probes))
        connection.attempts.clear()
        connection.probes.clear()
        now = self.servers.clock.now()
        if orderly:
            self.liveness.heard(connection.opened_ms, now)
        if now - connection.opened_ms < MIN_CONNECTION_LIFE_MS:  # a server may close each connection at once
            self.retry_at_ms = now + RETRY_BACKOFF_MS[0]
        elif self.needs_connection:
            self.open()
        for attempt in attempts:
            # The server may have run it and hold a session that no router owns.
            self.send_on_any(encode_release(attempt.request.set_up.session_id, Cause.CANCELLED))
            self.servers.router.attempt_ended(attempt, Outcome.RESET)
        for probe in probes:
            self.servers.probe_ended(probe, Outcome.RESET)

    def write(self, connection: ServerConnection, item: Attempt | Probe) -> None:
        """Send a set-up or a probe on a connection; a set-up only if the router still allows it."""
        if isinstance(item, Probe):
            connection.probes[item.probe_id] = item
            connection.send(messages.encode_request("OPTIONS", "rtsp://media/load", 3, item.probe_id))
            return
        if not self.servers.router.may_write(item):
            return
        set_up = item.request.set_up
        connection.attempts[set_up.session_id], connection.last_set_up_ms = item, self.servers.clock.now()
        fields = {
            "X-Call-Class": set_up.class_name,
            "X-Ring-Limit": str(max(1, round(item.until_ms - self.servers.clock.now()))),
        }
        if item.request.rung is not None:
            fields["X-Quality"] = str(item.request.rung)
        connection.send(
            messages.encode_request(
                "SETUP", f"rtsp://media/{set_up.title}", 1, set_up.session_id, fields, set_up.body
            )
        )

    def submit(self, item: Attempt | Probe) -> None:
        """Send a set-up or a probe as soon as there is a connection for it."""
        self.waiting.append(item)
        self.flush()

    def flush(self) -> None:
        """Send what waits, each on a connection of its own; they are shared once the limit is reached."""
        while self.waiting:
            usable = [x for x in self.connections if not x.output.blocked]
            connection = next((x for x in usable if not x.attempts and not x.mid_message), None)
            if connection is None and len(self.connections) + self.opening < self.servers.max_connections():
                if self.opening < len(self.waiting):
                    self.open()
                return
            if connection is None and (self.opening or not usable):
                return
            if connection is None:
                connection = min(usable, key=lambda x: len(x.attempts))
            self.write(connection, self.waiting.pop(0))

    def send_on_any(self, data: bytes) -> None:
        """Send a message about a session on any connection, or queue it for the next one.

        This includes the connections of a server that has left the list and drains, since otherwise it would
        keep sessions that no router owns.
        """
        writable = self.connections or [x for x in self.retiring if x.half_closed_ms is None and not x.gone]
        if writable:
            unblocked = [x for x in writable if not x.output.blocked]
            (unblocked or writable)[0].send(data)
            return
        self.unsent.append(data)
        if not self.opening and self.servers.clock.now() >= self.retry_at_ms:
            self.open()

    def all_connections(self) -> list[ServerConnection]:
        """The retiring connections, then those in use."""
        return self.retiring + self.connections

    def sweep(self, now: float) -> None:
        """Close idle connections, open missing ones, and detect a server that has become silent."""
        for connection in list(self.retiring):
            if connection.half_closed_ms is not None:
                if now - connection.half_closed_ms > HALF_CLOSED_TIMEOUT_MS:
                    self.liveness.stayed_open(connection.opened_ms, connection.half_closed_ms, now)
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
        if not self._has_sessions:
            self.liveness.nothing_expected(now)
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
        self._check_liveness(now)

    def _check_liveness(self, now: float) -> None:
        """Find out whether the server still has its sessions, and cut those that it has lost."""
        verdict = self.liveness.judge(now, bool(self._old_connections()), self.servers.list_is_current())
        if verdict is Verdict.CHECK:
            if now >= self.retry_at_ms and not self.opening:
                self.checking = True
                self.open()
        elif verdict is Verdict.PING:
            self.liveness.pinged(now)
            self._ping(self._old_connections())
        elif verdict is Verdict.PROGRESS:
            self.liveness.pinged(now)
            self._send_progress(self._old_connections())
        elif verdict is not Verdict.NOTHING:
            if any(connection.unread for connection in self.all_connections()):
                return  # this process was paused: read first what has arrived meanwhile
            self._log_event(verdict.value, unproven_ms=round(now - self.liveness.proven_ms))
            if verdict is Verdict.SILENT:
                self._lose_sessions("silent")
            else:
                self._lose_sessions("may have restarted", self.liveness.accept_successor(now))

    def _old_connections(self) -> list[ServerConnection]:
        """The connections from before the last silence that have not ended, half-closed ones included."""
        return [
            x for x in self.all_connections() if not x.gone and self.liveness.is_before_successor(x.opened_ms)
        ]

    def _ping(self, connections: list[ServerConnection]) -> None:
        if self.servers.router.settings.may_probe:
            for connection in (x for x in connections if x.half_closed_ms is None):
                self.servers.router.counters.probes += 1
                connection.send(
                    messages.encode_request("OPTIONS", "rtsp://media/ping", 3, self.servers.next_probe_id())
                )

    def _send_progress(self, connections: list[ServerConnection]) -> None:
        """Send a message that means nothing: a machine that has restarted resets the connection."""
        sessions = self.servers.router.established.get(self.address.number, {})
        session_id = next((x.set_up.session_id for x in sessions.values()), "")
        for connection in (x for x in connections if x.half_closed_ms is None):
            connection.send(messages.encode_response(100, "1", session_id))

    def _lose_sessions(self, reason: str, established_before_ms: float = math.inf) -> None:
        """Cut the sessions that a lost process had, and drop the connections to it."""
        self.servers.log.warn(
            "media server {name}: {reason}; its sessions are considered lost",
            name=self.address.name,
            reason=reason,
        )
        for connection in self.all_connections():
            if connection.opened_ms < established_before_ms:
                connection.drop()
        self.servers.router.cut_all(self.address.number, established_before_ms)

    def unlist(self) -> None:
        """End the waiting attempts and probes and retire all connections, as the server has left the list.

        Messages in `unsent` stay, for a connection that is still being opened.
        """
        self.listed = False
        waiting, self.waiting = self.waiting, []
        for item in waiting:
            if isinstance(item, Attempt):
                self.servers.router.attempt_ended(item, Outcome.MOOT)
            else:
                self.servers.probe_ended(item, Outcome.CONNECT_FAILED)
        for connection in list(self.connections):
            self.retire(connection)
