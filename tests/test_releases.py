"""The end of a session reaches its client, on whatever connection that client still has."""

from __future__ import annotations

import select
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from cloverhinge.lab.harness import (
    TIMEOUT_S,
    FakeMediaServer,
    Message,
    Program,
    RtspConnection,
    ping,
    read_answer,
    running_program,
    send_set_up,
)

CROSSING_S = 0.3  # longer than a message may be on its way to a client


class Session:
    """A session that the program has set up for the first of two clients."""

    def __init__(self, program: Program, server: FakeMediaServer) -> None:
        self.program = program
        made_on: list[RtspConnection] = []

        def set_up(connection: RtspConnection, message: Message) -> None:
            made_on.append(connection)
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            server.accept(connection, message)

        server.on_set_up = set_up
        self.first, self.second = program.connect(), program.connect()
        ping(self.second)
        self.name = send_set_up(self.first, 1)
        assert read_answer(self.first).status == 200
        self.media = made_on[0]

    def end(self) -> None:
        """The media server releases the session."""
        self.media.send("TEARDOWN rtsp://media/session RTSP/1.0", self.name, 2, Reason="cause=16")

    def assert_second_is_told(self) -> None:
        release = read_answer(self.second, "TEARDOWN")
        assert (release.session, release.headers["reason"]) == (self.name, "cause=16")


@contextmanager
def session(folder: Path) -> Iterator[Session]:
    with running_program(folder, 1) as (program, servers, _):
        yield Session(program, servers[0])


# Guards against a release that is lost on a connection that its client has closed a moment before.
@pytest.mark.parametrize("order", ["the release first", "the close first"])
@pytest.mark.parametrize("how", ["closes", "resets"])
def test_a_release_goes_to_a_connection_that_is_still_open(tmp_path: Path, how: str, order: str) -> None:
    with session(tmp_path) as made:
        made.program.pause()
        # Both arrive while the program stands still, so that it may read either first.
        if order == "the close first":
            made.first.close(reset=how == "resets")
        made.end()
        if order == "the release first":
            made.first.close(reset=how == "resets")
        made.program.resume()
        made.assert_second_is_told()


# Guards against a release that is lost as it crosses the close of its connection.
def test_a_release_that_crosses_the_close_of_its_connection_is_sent_again(tmp_path: Path) -> None:
    with session(tmp_path) as made:
        made.end()
        assert select.select([made.first.sock], [], [], TIMEOUT_S)[0]
        made.first.close(reset=True)  # with the release unread
        made.assert_second_is_told()


# Guards against releases that are repeated for each connection that ends later.
def test_a_release_that_has_arrived_is_not_sent_again(tmp_path: Path) -> None:
    with session(tmp_path) as made:
        made.end()
        assert read_answer(made.first, "TEARDOWN").session == made.name
        assert not select.select([made.second.sock], [], [], CROSSING_S)[0]
        made.first.close()
        ping(made.second)  # its answer is the next message


# Guards against a release that is lost on a connection that a shutdown has half-closed.
def test_a_release_during_a_shutdown_goes_to_a_connection_that_is_not_half_closed(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        made = Session(program, servers[0])
        servers[0].on_set_up = servers[0].leave_unanswered
        send_set_up(made.second, 2)  # keeps its connection open
        servers[0].expect("SETUP")
        servers[0].expect("SETUP")
        program.process.send_signal(signal.SIGTERM)
        assert made.first.read() is None, "half-closed, as nothing is open on it"
        made.end()
        made.assert_second_is_told()
