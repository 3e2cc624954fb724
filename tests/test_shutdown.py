"""The end of the program: whatever it has taken is answered, in whatever order requests and the end come.

The process stands still while its time to accept runs out, so that it finds the end of that time ahead of
what has come meanwhile.
"""

from __future__ import annotations

import select
import signal
import threading
from pathlib import Path

import pytest

from cloverhinge.lab.harness import WAIT_S, Message, Program, Wire, answer, ask, ping, site

ACCEPT_S = 0.9  # longer than requests are accepted after SIGTERM
EXIT_S = 1.0  # longer than the end takes where nothing is open


def told_to_end(program: Program) -> None:
    program.process.send_signal(signal.SIGTERM)
    program.wait_for("told to end")


class Slow:
    """A server that answers its set-ups when told to."""

    def __init__(self) -> None:
        self.go = threading.Event()

    def __call__(self, wire: Wire, message: Message) -> None:
        def late() -> None:
            self.go.wait(WAIT_S)
            wire.send("RTSP/1.0 200 OK", message.session, body=b"made late")

        threading.Thread(target=late, daemon=True).start()

    def answer_after_exit_would_come(self, program: Program, client: Wire) -> None:
        """Lets the time pass in which a program that forgot the request would be gone."""
        select.select([client.sock], [], [], EXIT_S)
        self.go.set()


@pytest.mark.parametrize("where", ["on an open connection", "on one that waits to be accepted"])
def test_a_request_found_after_the_time_to_accept_is_answered(tmp_path: Path, where: str) -> None:
    with site(tmp_path, 1) as (program, pumps, _):
        pumps[0].script = slow = Slow()
        client = program.connect()
        ping(client)
        told_to_end(program)
        program.pause()
        if where != "on an open connection":
            client = program.connect()
        ask(client, 1)
        program.go_on_after(ACCEPT_S, client)
        slow.answer_after_exit_would_come(program, client)
        assert answer(client).status == 200
        assert program.process.wait(WAIT_S) == 0


def test_a_request_in_two_pieces_around_the_end_is_answered(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, _, _log):
        client = program.connect()
        ping(client)
        client.sock.sendall(b"SETUP rtsp://media/7f3a")
        told_to_end(program)
        program.pause()
        client.sock.sendall(
            b"9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: 0000000000000002\r\nX-Call-Class: free\r\n"
            b"X-Ring-Limit: 3000\r\nX-Dest: home:0;copies:3;top:1;viewer:00000000b4d65521\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        program.go_on_after(ACCEPT_S, client)
        assert answer(client).status == 200
        assert program.process.wait(WAIT_S) == 0


def test_a_second_request_behind_an_answer_is_answered_too(tmp_path: Path) -> None:
    """The second one comes in the moment of the first one's answer, the last thing that the end waits for."""
    with site(tmp_path, 1) as (program, pumps, _):
        first, second = Slow(), Slow()
        pumps[0].script = first
        client = program.connect()
        ask(client, 1)
        pumps[0].expect("SETUP")
        pumps[0].script = second
        told_to_end(program)
        program.pause()
        first.go.set()
        ask(client, 2)
        program.go_on_after(ACCEPT_S, client)
        assert answer(client).session == f"{1:016x}"
        second.answer_after_exit_would_come(program, client)
        assert answer(client).session == f"{2:016x}"
        assert program.process.wait(WAIT_S) == 0


def test_an_end_at_rest_takes_a_second_at_most_and_a_second_sigterm_changes_nothing(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, _, _log):
        client = program.connect()
        ping(client)
        told_to_end(program)
        program.process.send_signal(signal.SIGTERM)
        assert client.read() is None  # its end is announced
        assert program.process.wait(EXIT_S) == 0


def test_a_client_that_keeps_half_a_request_does_not_keep_the_program(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, _, _log):
        client = program.connect()
        ping(client)
        client.sock.sendall(b"SETUP rtsp://media/7f3a")
        told_to_end(program)
        assert program.process.wait(WAIT_S) == 0
