"""A media server that restarts has lost its sessions, whatever its connections look like."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any, cast

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from cloverhinge.decision import interface as api
from cloverhinge.lab.harness import TIMEOUT_S, ping, read_answer, running_program, send_set_up
from cloverhinge.rtsp.server_connection import ServerConnection
from cloverhinge.rtsp.server_liveness import ServerLiveness, Verdict
from tests.test_media_servers import Harness, RecordingClient

CUT_LIMIT_MS = 8000.0  # from the end of a session whose release could not be sent


# Guards against sessions that are never released after their server vanished silently and returned cold.
def test_sessions_older_than_their_servers_listed_start_are_released(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, change_log):
        client = program.connect()
        before = send_set_up(client, 1)
        assert read_answer(client).status == 200
        started_ms = int(time.time() * 1000.0) + 1
        while time.time() * 1000.0 <= started_ms:
            ping(client)
        after = send_set_up(client, 2)
        assert read_answer(client).session == after
        change_log.publish([servers[0].list_entry() | {"startedAtMs": started_ms}])
        release = read_answer(client, "TEARDOWN")
        assert (release.session, release.headers["reason"]) == (before, "cause=41")
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", after, 2)
        servers[0].expect("TEARDOWN")
        assert (
            servers[0].inbox.get(timeout=TIMEOUT_S)[1].session == after
        ), "the newer session stood until now"


def silent_server(harness: Harness) -> tuple[RecordingClient, ServerConnection]:
    """A server with a session and an open connection, which is silent until it is checked."""
    client = harness.adopt(1)
    harness.advance(500)
    connection = harness.open_connection()
    harness.advance(5_900)
    assert len(harness.reactor.factories) == 2, "a check"
    return client, connection


def lose(connection: ServerConnection, error: Exception) -> None:
    connection.connectionLost(Failure(error))


# Guards against sessions that are cut at a server that leaves renewed connections half-closed.
def test_sessions_are_kept_while_idle_connections_are_renewed_and_the_list_is_not_heard() -> None:
    harness = Harness(2)
    harness.servers.list_is_current = lambda: False
    client = harness.adopt(1)
    harness.advance(500)
    harness.open_connection()
    opened = len(harness.reactor.factories)
    for _ in range(600):  # a minute, in which checks and renewals come up at once, and nothing is ever sent
        harness.advance(100)
        if len(harness.reactor.factories) > opened:
            harness.open_connection()
            opened = len(harness.reactor.factories)
    assert client.released_with is None


# Guards against a connection that comes up being taken for a sign that the sessions from before still stand.
def test_sessions_are_cut_when_the_old_connection_is_reset_and_the_list_is_not_heard() -> None:
    harness = Harness(2)
    harness.servers.list_is_current = lambda: False
    client, old = silent_server(harness)
    harness.open_connection()  # the machine is back
    harness.advance(400)
    assert (
        b"OPTIONS" in cast(Any, old.transport).value()
    ), "sent on the old connection, which a restarted machine resets"
    lose(old, ConnectionLost())
    harness.advance(CUT_LIMIT_MS - 500 - 5_900 - 400)
    assert client.released_with is not None


# Guards against sessions that are cut at a server that hangs, or that sends nothing for a while.
def test_sessions_are_kept_while_the_old_connection_stays_open() -> None:
    harness = Harness(2)
    harness.servers.list_is_current = lambda: False
    client, _ = silent_server(harness)
    harness.open_connection()
    harness.advance(4_000)
    assert client.released_with is None


# Guards against sessions that are cut at a server that resets idle connections, as the list tells restarts.
def test_sessions_are_kept_after_a_reset_while_the_list_is_heard() -> None:
    harness = Harness(2)
    client, old = silent_server(harness)
    harness.open_connection()
    lose(old, ConnectionLost())
    harness.advance(400)
    harness.open_connection()
    harness.advance(5_000)
    assert client.released_with is None


# Guards against sessions of the new process that are cut together with those of the old one.
def test_sessions_set_up_after_a_silent_restart_are_kept() -> None:
    harness = Harness(2)
    harness.servers.list_is_current = lambda: False
    client, old = silent_server(harness)
    harness.open_connection()
    lose(old, ConnectionLost())
    harness.advance(50)
    later = RecordingClient()
    harness.adopt_as(later, server=1, number=77)
    harness.advance(2_000)
    assert client.released_with is not None and later.released_with is None


# Guards against an orderly close, which only a living process sends, being taken for a restart.
def test_an_orderly_close_is_a_sign_of_life() -> None:
    harness = Harness(2)
    harness.servers.list_is_current = lambda: False
    client, old = silent_server(harness)
    harness.open_connection()
    lose(old, ConnectionDone())
    harness.advance(3_000)
    assert client.released_with is None


def test_a_message_about_an_old_session_proves_that_its_process_lives() -> None:
    liveness = ServerLiveness.starting(0.0)
    liveness.connection_opened(6_000.0)
    assert liveness.judge(7_100.0, has_old_connection=False, list_is_current=False) is Verdict.RESTARTED
    liveness.session_heard(6_500.0, 7_000.0)
    assert liveness.judge(7_100.0, has_old_connection=False, list_is_current=False) is Verdict.RESTARTED
    liveness.session_heard(100.0, 7_000.0)
    assert liveness.judge(7_100.0, has_old_connection=False, list_is_current=False) is Verdict.NOTHING


# Guards against an operator's end of a maintenance mode being taken for a restart.
def test_the_end_of_a_maintenance_mode_cuts_no_session() -> None:
    harness = Harness(2)
    client = harness.adopt(1)
    harness.advance(500)
    harness.router.start_maintenance(1, harness.clock.now())
    harness.router.end_maintenance(1)
    assert client.released_with is None
    listing = harness.router.listings[1]
    harness.router.update_fleet(api.ListKind.DELTA, [api.ServerListing(1, 1, kind=listing.kind)])
    assert client.released_with is None


# Guards against a new process at the old address that is taken for the old one, as the list runs late.
def test_sessions_are_cut_when_the_old_connection_is_reset_by_a_message_though_the_list_is_heard() -> None:
    harness = Harness(2)
    client, old = silent_server(harness)
    harness.open_connection()  # the machine is back
    harness.advance(400)
    sent = cast(Any, old.transport).value()
    assert b"RTSP/1.0 100 " in sent and b"OPTIONS" not in sent, "it costs nothing, and wants no answer"
    lose(old, ConnectionLost())
    harness.advance(CUT_LIMIT_MS - 500 - 5_900 - 400)
    assert client.released_with is not None


# Guards against sessions that are cut at a server that is silent for long, and well.
def test_sessions_are_kept_at_a_silent_server_that_resets_nothing() -> None:
    harness = Harness(2)
    client, _ = silent_server(harness)
    opened = 1
    for _ in range(600):  # a minute, in which each check comes up at once, and nothing is ever sent
        if len(harness.reactor.factories) > opened:
            harness.open_connection()
            opened = len(harness.reactor.factories)
        harness.advance(100)
    assert client.released_with is None
