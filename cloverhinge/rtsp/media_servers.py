"""All media servers: set-ups, releases and probes find the pool of their server, listed or on its way out.

A connection is opened when there is something to send, or when sessions stand whose release has to be heard:
each handshake costs the server work and takes one of its few connections, times the number of routers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.logger import Logger

from cloverhinge.core.clock import Clock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import Attempt, Cause, Request
from cloverhinge.core.router import Router
from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome
from cloverhinge.discovery.updates import ServerAddress
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.server_connection import Probe
from cloverhinge.rtsp.server_messages import encode_release
from cloverhinge.rtsp.server_pool import ServerPool

PROBE_TIMEOUT_MS = 300.0
SWEEP_INTERVAL_MS = 400.0
MAX_CONNECTIONS_PER_SERVER = (
    8  # to one server; as many as there are set-ups under way to it on the busiest days
)


class MediaServers:
    """All media servers.  Implements the core's `Boxes` and `Prober` over RTSP."""

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
    ) -> None:
        self.reactor, self.router, self.clock, self.deadlines = reactor, router, clock, deadlines
        self.connect_ms, self.idle_ms, self.sockets = connect_ms, idle_ms, sockets
        self.pools: dict[int, ServerPool] = {}
        self.unlisted: list[ServerPool] = []
        self.probe_count = 0
        self.process_count = (
            1  # processes that share this router's place, and what a media server grants one router
        )
        router.prober = self
        self.is_handed_over: Callable[[str], bool] = lambda name: False  # another router has it by now

    def start(self) -> None:
        self._sweep()

    def _sweep(self) -> None:
        now = self.clock.now()
        for pool in [*self.pools.values(), *self.unlisted]:
            pool.sweep(now)
        self.unlisted = [pool for pool in self.unlisted if pool.all_connections() or pool.opening]
        self.deadlines.after(SWEEP_INTERVAL_MS, self._sweep)

    def update_list(self, addresses: dict[int, ServerAddress]) -> None:
        """The boxes that are listed now, drained ones included."""
        for number in [n for n, pool in self.pools.items() if addresses.get(n) != pool.address]:
            pool = self.pools.pop(number)
            self.unlisted.append(pool)
            pool.unlist()
        for number, box in addresses.items():
            if number not in self.pools:
                self.pools[number] = ServerPool(self, box, last_message_ms=self.clock.now())

    def set_process_count(self, count: int) -> None:
        """So many processes are one router to the servers; connections beyond the part stay open."""
        self.process_count = count

    def max_connections(self) -> int:
        """To one media server; all together take a fifth of the descriptors at most."""
        return max(
            1,
            min(MAX_CONNECTIONS_PER_SERVER, self.sockets // 5 // max(1, len(self.pools)))
            // self.process_count,
        )

    # Boxes

    def set_up(self, attempt: Attempt) -> None:
        pool = self.pools.get(attempt.server)
        if pool is None:
            self.router.attempt_ended(attempt, Outcome.MOOT)
        else:
            pool.submit(attempt)

    def give_up(self, attempt: Attempt) -> None:
        """Guards against looking at the successor alone: its server may have been listed anew since."""
        name = attempt.request.set_up.session_id
        for one in self._pools_of(attempt.server):
            if attempt in one.waiting:
                one.waiting.remove(attempt)
            for connection in one.all_connections():
                if connection.attempts.get(name) is attempt:
                    del connection.attempts[name]
                    connection.send(messages.encode_request("TEARDOWN", "rtsp://media/session", 2, name))
                    if self.clock.now() >= attempt.until_ms:
                        one.retire(connection)  # it left a set-up unanswered, so it is spent

    def _pools_of(self, server: int) -> list[ServerPool]:
        """The listed one of this number, and those whose connections still drain."""
        listed = self.pools.get(server)
        drained = [one for one in self.unlisted if one.address.number == server]
        return drained if listed is None else [listed, *drained]

    def release(self, request: Request, cause: Cause) -> None:
        pool = self.pools.get(request.server or 0)
        if pool is not None:
            pool.send_on_any(encode_release(request.set_up.session_id, cause))

    def release_leftover(self, server: int, session_id: str) -> None:
        """What another router may have left there under this name."""
        pool = self.pools.get(server)
        if pool is not None:
            pool.send_on_any(encode_release(session_id, Cause.CANCELLED))

    def set_rung(self, request: Request, rung: int) -> None:
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

    # Prober

    def probe(self, server: int) -> None:
        pool = self.pools.get(server)
        if pool is None:
            self.router.probed(server, Outcome.CONNECT_FAILED, 0.0, None)
            return
        self.probe_count += 1
        probe = Probe(pool, f"{self.probe_count:016x}", self.clock.now())
        probe.deadline = self.deadlines.after(
            PROBE_TIMEOUT_MS, lambda: self.probe_ended(probe, Outcome.TIMEOUT)
        )
        pool.submit(probe)

    def probe_ended(self, probe: Probe, outcome: Outcome, report: api.LoadReport | None = None) -> None:
        self.deadlines.cancel(probe.deadline)
        pool = probe.pool
        if probe in pool.waiting:
            pool.waiting.remove(probe)
        for connection in pool.all_connections():
            if connection.probes.pop(probe.probe_id, None) is not None and outcome is Outcome.TIMEOUT:
                pool.retire(connection)
        self.router.probed(pool.address.number, outcome, self.clock.now() - probe.started_ms, report)
