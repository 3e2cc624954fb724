"""Lines to pumps: when one is opened, kept and given up, on a clock that the test sets."""

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
    """Takes connections; they come up when the test says so."""

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


class Viewing:
    released_with: Any = None

    def released(self, cause: Any) -> None:
        self.released_with = cause


class Stand:
    def __init__(self, boxes: int) -> None:
        self.clock, self.reactor = ManualClock(), Reactor()
        self.deadlines = Deadlines(self.clock)
        self.router = Router(settings(), 1, self.clock, self.deadlines)
        self.servers = MediaServers(
            self.reactor, self.router, self.clock, self.deadlines, 250.0, 30_000.0, 384
        )
        self.router.update_fleet(
            api.ListKind.FULL, [api.ServerListing(n, n, kind="box") for n in range(boxes)]
        )
        self.servers.update_list({n: ServerAddress(n, f"box-{n}", "127.0.0.1", 1) for n in range(boxes)})
        self.servers.start()

    def carry(self, server: int) -> Viewing:
        viewer = Viewing()
        ask = SetUpRequest(f"{server:016x}", "film", "title", 0, 3, 1, 0.0)
        assert self.router.adopt(ask, server, cast(ClientPort, viewer), self.servers)
        return viewer

    def up(self) -> ServerConnection:
        line = cast(ServerConnection, self.reactor.factories[-1].buildProtocol(None))
        cast(Any, line).makeConnection(cast(Any, Transport)())
        return line

    def pass_time(self, ms: float) -> None:
        until = self.clock.now() + ms
        while self.clock.now() < until:
            self.clock.advance(50.0)
            self.deadlines.run()


def test_no_line_is_opened_to_a_pump_that_is_not_in_use() -> None:
    """Guards pumps' scarce connections: every router opened a line to every pump at once, and again and
    again, so that a fleet of 40 made 10,000 handshakes where its requests need 2,000."""
    stand = Stand(60)
    stand.pass_time(20_000)
    assert not stand.reactor.factories
    stand.carry(7)  # its release has to be heard
    stand.pass_time(500)
    assert len(stand.reactor.factories) == 1
    line = stand.up()
    stand.pass_time(5_000)
    assert len(stand.reactor.factories) == 1, "thin traffic is no sign of a silent machine"
    stand.router.session_ended(stand.router.by_session_id[f"{7:016x}"], api.Outcome.SERVED)
    stand.pass_time(30_000)
    assert len(stand.reactor.factories) == 1 and line.half_closed_ms, "idle lines are closed, not renewed"


def test_a_pump_that_shows_that_it_lives_keeps_its_lines() -> None:
    """Guards pumps' scarce connections: each check of a silent pump made the next set-up use a new line."""
    stand = Stand(2)
    stand.carry(1)
    stand.pass_time(500)
    line = stand.up()
    stand.pass_time(6_500)
    assert len(stand.reactor.factories) == 2
    check = stand.up()
    stand.pass_time(500)
    assert (
        stand.servers.pools[1].connections == [line] and line.half_closed_ms is None and check.half_closed_ms
    )


def test_a_silent_pump_s_sessions_are_lost_within_8_s() -> None:
    """Guards the rule on sessions left standing, now that silence is looked into later."""
    stand = Stand(2)
    viewer = stand.carry(1)
    stand.pass_time(500)
    stand.up()
    stand.pass_time(7_600)
    assert len(stand.reactor.factories) > 1 and viewer.released_with is not None
