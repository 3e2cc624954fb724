"""Shutdown: every accepted request is answered, in whatever order requests and the shutdown's events come.

The process is paused while its time to accept requests runs out, so that it handles the end of that time
before the input that has arrived meanwhile.
"""

from __future__ import annotations

import select
import signal
import threading
from pathlib import Path

import pytest

from cloverhinge.lab.harness import (
    TIMEOUT_S,
    Message,
    Program,
    RtspConnection,
    ping,
    read_answer,
    running_program,
    send_set_up,
)

ACCEPT_S = 0.9  # longer than requests are accepted after SIGTERM
EXIT_S = 1.0  # longer than the shutdown takes if no request is open


def begin_shutdown(program: Program) -> None:
    program.process.send_signal(signal.SIGTERM)
    program.wait_for("told to end")


class DelayedAnswer:
    """A media server's behaviour: answers a set-up once `go` is set."""

    def __init__(self) -> None:
        self.go = threading.Event()

    def __call__(self, wire: RtspConnection, message: Message) -> None:
        def late() -> None:
            self.go.wait(TIMEOUT_S)
            wire.send("RTSP/1.0 200 OK", message.session, body=b"made late")

        threading.Thread(target=late, daemon=True).start()

    def answer_after_exit_would_come(self, program: Program, client: RtspConnection) -> None:
        """Waits for longer than a program that forgot the request would run, then lets the server answer."""
        select.select([client.sock], [], [], EXIT_S)
        self.go.set()


@pytest.mark.parametrize("where", ["on an open connection", "on one that waits to be accepted"])
def test_a_request_read_after_the_time_to_accept_is_answered(tmp_path: Path, where: str) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        servers[0].on_set_up = delayed = DelayedAnswer()
        client = program.connect()
        ping(client)
        begin_shutdown(program)
        program.pause()
        if where != "on an open connection":
            client = program.connect()
        send_set_up(client, 1)
        program.resume_after(ACCEPT_S, client)
        delayed.answer_after_exit_would_come(program, client)
        assert read_answer(client).status == 200
        assert program.process.wait(TIMEOUT_S) == 0


def test_a_request_whose_second_half_arrives_during_shutdown_is_answered(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, _, _log):
        client = program.connect()
        ping(client)
        client.sock.sendall(b"SETUP rtsp://media/7f3a")
        begin_shutdown(program)
        program.pause()
        client.sock.sendall(
            b"9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: 0000000000000002\r\nX-Call-Class: free\r\n"
            b"X-Ring-Limit: 3000\r\nX-Dest: home:0;copies:3;top:1;viewer:00000000b4d65521\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        program.resume_after(ACCEPT_S, client)
        assert read_answer(client).status == 200
        assert program.process.wait(TIMEOUT_S) == 0


def test_a_request_that_arrives_with_the_last_awaited_answer_is_answered(tmp_path: Path) -> None:
    """The second request arrives together with the answer to the first, the last that the shutdown awaits."""
    with running_program(tmp_path, 1) as (program, servers, _):
        first, second = DelayedAnswer(), DelayedAnswer()
        servers[0].on_set_up = first
        client = program.connect()
        send_set_up(client, 1)
        servers[0].expect("SETUP")
        servers[0].on_set_up = second
        begin_shutdown(program)
        program.pause()
        first.go.set()
        send_set_up(client, 2)
        program.resume_after(ACCEPT_S, client)
        assert read_answer(client).session == f"{1:016x}"
        second.answer_after_exit_would_come(program, client)
        assert read_answer(client).session == f"{2:016x}"
        assert program.process.wait(TIMEOUT_S) == 0


def test_an_idle_shutdown_takes_a_second_at_most_and_a_second_sigterm_has_no_effect(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, _, _log):
        client = program.connect()
        ping(client)
        begin_shutdown(program)
        program.process.send_signal(signal.SIGTERM)
        assert client.read() is None  # a half-close announces the end
        assert program.process.wait(EXIT_S) == 0


def test_a_client_with_an_incomplete_request_does_not_prevent_the_exit(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, _, _log):
        client = program.connect()
        ping(client)
        client.sock.sendall(b"SETUP rtsp://media/7f3a")
        begin_shutdown(program)
        assert program.process.wait(TIMEOUT_S) == 0
