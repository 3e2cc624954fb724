"""Shutdown with HLS players: fetches are answered before the earliest kill, idle connections are closed."""

from __future__ import annotations

import http.client
import select
import signal
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from cloverhinge.lab.harness import SETTINGS, TIMEOUT_S
from tests.test_hls import MEDIA, hls_site

KILL_S = 3.7  # after SIGTERM: the deadlines of the harness are 5 s and 3 s, counted as 3 s
IDLE_EXIT_S = 1.2  # longer than the shutdown takes if no fetch is open
FORGOTTEN_EXIT_S = 0.4  # longer than a process takes to exit once nothing is open, after the time to accept


def connect(port: int) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    connection.connect()
    return connection


# Guards against fetches without an answer when the process ends while their set-up is out at a hung server.
@pytest.mark.parametrize(
    "class_name,statuses", [("free", {503}), ("paid", {502, 504})], ids=["repeatable", "paid"]
)
def test_fetches_that_wait_for_a_hung_server_are_answered_before_the_kill(
    tmp_path: Path, class_name: str, statuses: set[int]
) -> None:
    with hls_site(tmp_path) as (program, player, servers, _):
        for server in servers:
            server.may_answer.clear()
        connection = connect(player.port)
        connection.request("GET", f"/play/{class_name}/intro?play=play-00000001")
        servers[0].arrived.get(timeout=TIMEOUT_S)
        terminated_s = time.monotonic()
        program.process.send_signal(signal.SIGTERM)
        response = connection.getresponse()
        response.read()
        assert response.status in statuses
        assert response.getheader("Connection") == "close"
        assert program.process.wait(TIMEOUT_S) == 0
        assert time.monotonic() - terminated_s < KILL_S
        for server in servers:
            server.may_answer.set()


# Guards against a process that ends while a player's playlist is being fetched from a slow server.
def test_a_playlist_that_is_being_fetched_is_delivered_before_the_exit(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (program, player, servers, _):
        status, _headers, text = player.get("/play/free/intro?play=play-00000001")
        assert status == 200
        playlist = next(x for x in text.splitlines() if x.startswith("/session/"))
        asked, may_answer = threading.Event(), threading.Event()

        class SlowText(str):
            """A playlist that is sent once the test allows it."""

            def encode(self, *arguments: Any, **more: Any) -> bytes:
                asked.set()
                may_answer.wait(TIMEOUT_S)
                return str.encode(self, *arguments, **more)

        for server in servers:
            server.media = SlowText(MEDIA)
        connection = connect(player.port)
        connection.request("GET", playlist)
        assert asked.wait(TIMEOUT_S)
        program.process.send_signal(signal.SIGTERM)
        program.wait_for("closing with")
        # For longer than a process would run that forgot the fetch.
        assert not select.select([connection.sock], [], [], FORGOTTEN_EXIT_S)[0]
        may_answer.set()
        response = connection.getresponse()
        assert response.status == 200 and b"EXTM3U" in response.read()
        assert program.process.wait(TIMEOUT_S) == 0


# Guards against keep-alive connections that hold the process until the kill, or are cut with a fetch on them.
def test_idle_connections_are_closed_and_do_not_delay_the_exit(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (program, player, _, _log):
        idle, used = connect(player.port), connect(player.port)
        used.request("GET", "/play/free/intro?play=play-00000001")
        assert used.getresponse().read()
        program.process.send_signal(signal.SIGTERM)
        assert used.sock.recv(1) == b"" and idle.sock.recv(1) == b""
        assert program.process.wait(IDLE_EXIT_S) == 0


def test_the_bounds_of_this_file_are_those_of_the_protocol() -> None:
    longest_s = max(row["hardLimitUs"] for row in SETTINGS["classes"]) / 1e6
    assert min(longest_s, 3.0) + 0.7 == KILL_S
