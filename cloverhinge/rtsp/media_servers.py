"""The media servers: routes set-ups, releases and probes to the connection pool of their server.

A connection is opened only when there is something to send, or when sessions are established whose release
has to be received: each handshake costs the server work and takes one of its few connections, and every
router opens its own.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.logger import Logger

from cloverhinge.core.clock import Clock
from cloverhinge.core.containment import contained
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import Attempt, Cause, Request
from cloverhinge.core.router import Router
from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome
from cloverhinge.discovery.updates import ServerAddress
from cloverhinge.net.output import DEFAULT_MAX_WAITING_BYTES, OutputLimits
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.server_connection import Probe
from cloverhinge.rtsp.server_liveness import ServerLiveness
from cloverhinge.rtsp.server_messages import encode_release
from cloverhinge.rtsp.server_pool import ServerPool

PROBE_TIMEOUT_MS = 300.0
SWEEP_INTERVAL_MS = 400.0
MAX_CONNECTIONS_PER_SERVER = 8  # as many as there are set-ups under way to one server on the busiest days


class MediaServers:
    """All media servers.  Implements the core's `ServerPort` and `Prober` over RTSP."""

    log = Logger()

    def __init__(
        self,
        reactor: Any,
        router: Router,
        clock: Clock,
        deadlines: Deadlines,
        connect_ms: float,
        idle_ms: float,
        sockets: int,
        max_waiting_bytes: int = DEFAULT_MAX_WAITING_BYTES,
    ) -> None:
        """`max_waiting_bytes`: of what waits for media servers to read, on all connections together."""
        self.output_limits = OutputLimits(deadlines, max_waiting_bytes)
        self.reactor, self.router, self.clock, self.deadlines = reactor, router, clock, deadlines
        self.connect_ms, self.idle_ms, self.sockets = connect_ms, idle_ms, sockets
        self.pools: dict[int, ServerPool] = {}
        self.unlisted: list[ServerPool] = []
        self.probe_count = 0
        self.process_count = 1  # processes that act as one router and share its limit of connections
        router.prober = self
        self.list_is_current: Callable[[], bool] = lambda: True  # whether the change log is heard at present
        self.is_handed_over: Callable[[str], bool] = (
            lambda name: False
        )  # whether another router owns the session by now

    def start(self) -> None:
        """Start the periodic sweep."""
        self.deadlines.repeat(SWEEP_INTERVAL_MS, self._sweep)

    def _sweep(self) -> None:
        now = self.clock.now()
        for pool in [*self.pools.values(), *self.unlisted]:
            with contained("the connections to a media server are swept"):
                pool.sweep(now)
        self.unlisted = [pool for pool in self.unlisted if pool.all_connections() or pool.opening]

    def update_list(self, addresses: dict[int, ServerAddress]) -> None:
        """Replace the list of media servers, by number, draining ones included.

        The pool of a server that is no longer listed, or has changed its address, finishes what is under way.
        """
        for number in [n for n, pool in self.pools.items() if addresses.get(n) != pool.address]:
            pool = self.pools.pop(number)
            self.unlisted.append(pool)
            pool.unlist()
        for number, address in addresses.items():
            if number not in self.pools:
                self.pools[number] = ServerPool(self, address, ServerLiveness.starting(self.clock.now()))

    def set_process_count(self, count: int) -> None:
        """Set how many processes share the router's connections; those beyond this one's share stay open."""
        self.process_count = count

    def max_connections(self) -> int:
        """The maximum for one media server; all servers together use a fifth of the descriptors at most."""
        return max(
            1,
            min(MAX_CONNECTIONS_PER_SERVER, self.sockets // 5 // max(1, len(self.pools)))
            // self.process_count,
        )

    # ServerPort

    def set_up(self, attempt: Attempt) -> None:
        """Send an attempt to its server, or end it if the server is not listed."""
        pool = self.pools.get(attempt.server)
        if pool is None:
            self.router.attempt_ended(attempt, Outcome.MOOT)
        else:
            pool.submit(attempt)

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt that waits or is under way.

        A connection on which the attempt has timed out is retired.  All pools of the server are
        searched, since it may have been listed again at another address.
        """
        session_id = attempt.request.set_up.session_id
        for pool in self._pools_of(attempt.server):
            if attempt in pool.waiting:
                pool.waiting.remove(attempt)
            for connection in pool.all_connections():
                if connection.attempts.get(session_id) is attempt:
                    del connection.attempts[session_id]
                    connection.send(
                        messages.encode_request("TEARDOWN", "rtsp://media/session", 2, session_id)
                    )
                    if self.clock.now() >= attempt.until_ms:
                        pool.retire(connection)  # the server left the set-up unanswered until its timeout

    def _pools_of(self, server: int) -> list[ServerPool]:
        """The listed pool of this server, and the unlisted ones that are still open."""
        listed = self.pools.get(server)
        unlisted = [pool for pool in self.unlisted if pool.address.number == server]
        return unlisted if listed is None else [listed, *unlisted]

    def release(self, request: Request, cause: Cause) -> None:
        """Tell the request's server to end its session."""
        pool = self.pools.get(request.server or 0)
        if pool is not None:
            pool.send_on_any(encode_release(request.set_up.session_id, cause))

    def release_leftover(self, server: int, session_id: str) -> None:
        """End a session that another router may have left at a server."""
        pool = self.pools.get(server)
        if pool is not None:
            pool.send_on_any(encode_release(session_id, Cause.CANCELLED))

    def set_rung(self, request: Request, rung: int) -> None:
        """Tell the request's server to switch its session to another rung."""
        pool = self.pools.get(request.server or 0)
        if pool is not None:
            pool.send_on_any(
                messages.encode_request(
                    "SET_PARAMETER",
                    "rtsp://media/session",
                    4,
                    request.set_up.session_id,
                    {"X-Quality": str(rung)},
                )
            )

    def next_probe_id(self) -> str:
        """A session id for a probe that no earlier one had."""
        self.probe_count += 1
        return f"{self.probe_count:016x}"

    # Prober

    def probe(self, server: int) -> None:
        """Send a probe and report its result to `Router.probed` after `PROBE_TIMEOUT_MS` at the latest."""
        pool = self.pools.get(server)
        if pool is None:
            self.router.probed(server, Outcome.CONNECT_FAILED, 0.0, None)
            return
        probe = Probe(pool, self.next_probe_id(), self.clock.now())
        probe.deadline = self.deadlines.after(
            PROBE_TIMEOUT_MS, lambda: self.probe_ended(probe, Outcome.TIMEOUT)
        )
        pool.submit(probe)

    def probe_ended(self, probe: Probe, outcome: Outcome, report: api.LoadReport | None = None) -> None:
        """Report the result of a probe; a connection on which it timed out is retired."""
        self.deadlines.cancel(probe.deadline)
        pool = probe.pool
        if probe in pool.waiting:
            pool.waiting.remove(probe)
        for connection in pool.all_connections():
            if connection.probes.pop(probe.probe_id, None) is not None and outcome is Outcome.TIMEOUT:
                pool.retire(connection)
        self.router.probed(pool.address.number, outcome, self.clock.now() - probe.started_ms, report)
