"""Connections to media servers: when one is opened, kept and closed, on a clock that the test sets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, cast

from twisted.python.failure import Failure

from cloverhinge.core.clock import ManualClock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import ClientPort, SetUpRequest
from cloverhinge.core.router import Router
from cloverhinge.decision import interface as api
from cloverhinge.discovery.updates import ServerAddress
from cloverhinge.rtsp.media_servers import MediaServers
from cloverhinge.rtsp.server_connection import ServerConnection
from tests.helpers import settings
from tests.test_rtsp import Transport


class Reactor:
    """Records attempts to connect; the test opens the connections."""

    def __init__(self) -> None:
        self.factories: list[Any] = []

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> Any:
        self.factories.append(factory)
        return Connector(factory)


@dataclass
class Connector:
    factory: Any

    def stopConnecting(self) -> None:
        self.factory.clientConnectionFailed(self, Failure(TimeoutError()))


class RecordingClient:
    released_with: Any = None

    def released(self, cause: Any) -> None:
        self.released_with = cause


class Harness:
    def __init__(self, count: int) -> None:
        self.clock, self.reactor = ManualClock(), Reactor()
        self.deadlines = Deadlines(self.clock)
        self.router = Router(settings(may_probe=True), 1, self.clock, self.deadlines)
        self.servers = MediaServers(
            self.reactor, self.router, self.clock, self.deadlines, 250.0, 30_000.0, 384
        )
        self.router.update_fleet(
            api.ListKind.FULL, [api.ServerListing(n, n, kind="box") for n in range(count)]
        )
        self.servers.update_list({n: ServerAddress(n, f"box-{n}", "127.0.0.1", 1) for n in range(count)})
        self.servers.start()

    def adopt(self, server: int) -> RecordingClient:
        client = RecordingClient()
        self.adopt_as(client, server, number=server)
        return client

    def adopt_as(self, client: RecordingClient, server: int, number: int) -> None:
        """Hands the session of this number, which plays at a server, over for a client."""
        set_up = SetUpRequest(f"{number:016x}", "film", "title", 0, 3, 1, 0.0)
        assert self.router.adopt(set_up, server, cast(ClientPort, client), self.servers)

    def open_connection(self) -> ServerConnection:
        connection = cast(ServerConnection, self.reactor.factories[-1].buildProtocol(None))
        cast(Any, connection).makeConnection(cast(Any, Transport)())
        return connection

    def advance(self, ms: float) -> None:
        until = self.clock.now() + ms
        while self.clock.now() < until:
            self.clock.advance(50.0)
            self.deadlines.run()


def test_no_connection_is_opened_to_a_server_that_is_not_in_use() -> None:
    """Guards against every router opening and renewing a connection to every media server.

    Servers have few connections; 40 of them saw 10,000 handshakes where the requests need 2,000.
    """
    harness = Harness(60)
    harness.advance(20_000)
    assert not harness.reactor.factories
    harness.adopt(7)  # its release has to be received
    harness.advance(500)
    assert len(harness.reactor.factories) == 1
    connection = harness.open_connection()
    harness.advance(5_000)
    assert len(harness.reactor.factories) == 1, "little traffic does not make a server count as silent"
    harness.router.session_ended(harness.router.by_session_id[f"{7:016x}"], api.Outcome.SERVED)
    harness.advance(30_000)
    assert (
        len(harness.reactor.factories) == 1 and connection.half_closed_ms
    ), "idle connections are closed, not renewed"


def test_a_silent_server_that_accepts_a_connection_keeps_its_old_ones() -> None:
    """Guards against each check of a silent server replacing the connection that set-ups use."""
    harness = Harness(2)
    harness.adopt(1)
    harness.advance(500)
    connection = harness.open_connection()
    harness.advance(6_500)
    assert len(harness.reactor.factories) == 2
    checking = harness.open_connection()
    harness.advance(500)
    assert (
        harness.servers.pools[1].connections == [connection]
        and connection.half_closed_ms is None
        and checking.half_closed_ms
    )


def test_the_sessions_of_a_silent_server_are_lost_within_8_s() -> None:
    """The rules require this; silence is checked late, which must not exceed the limit."""
    harness = Harness(2)
    client = harness.adopt(1)
    harness.advance(500)
    harness.open_connection()
    harness.advance(7_600)
    assert len(harness.reactor.factories) > 1 and client.released_with is not None
