"""The end of a session reaches its client, on whatever connection that client still has."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from cloverhinge.lab.harness import RtspConnection, ping, read_answer, running_program, send_set_up


# Guards against a release that is lost on a connection that its client has closed a moment before.
@pytest.mark.parametrize("order", ["the release first", "the close first"])
@pytest.mark.parametrize("how", ["closes", "resets"])
def test_a_release_goes_to_a_connection_that_is_still_open(tmp_path: Path, how: str, order: str) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        made_on: list[RtspConnection] = []

        def set_up(connection: RtspConnection, message: object) -> None:
            made_on.append(connection)
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            servers[0].accept(connection, message)  # type: ignore[arg-type]

        servers[0].on_set_up = set_up
        first, second = program.connect(), program.connect()
        ping(second)
        name = send_set_up(first, 1)
        assert read_answer(first).status == 200
        program.pause()
        # Both arrive while the program stands still, so that it may read either first.
        if order == "the close first":
            first.close(reset=how == "resets")
        made_on[0].send("TEARDOWN rtsp://media/session RTSP/1.0", name, 2, Reason="cause=16")
        if order == "the release first":
            first.close(reset=how == "resets")
        program.resume()
        release = read_answer(second, "TEARDOWN")
        assert (release.session, release.headers["reason"]) == (name, "cause=16")
