"""A client's connection is not closed while a set-up on it waits for its answer, whatever comes on it."""

from __future__ import annotations

import threading
from pathlib import Path

import pytest

from cloverhinge.lab.harness import (
    TIMEOUT_S,
    Message,
    RtspConnection,
    read_answer,
    running_program,
    send_set_up,
)

SLOW_S = 2.8  # longer than an incomplete message may take on an idle connection, shorter than a client waits


class AnswersLate:
    """A media server's behaviour: answers a set-up `SLOW_S` after it arrived."""

    def __call__(self, connection: RtspConnection, message: Message) -> None:
        def answer() -> None:
            connection.send("RTSP/1.0 200 OK", message.session, body=b"made late")

        timer = threading.Timer(SLOW_S, answer)
        timer.daemon = True
        timer.start()


# Guards against an open set-up that loses its answer because later input on its connection is bad or slow.
@pytest.mark.parametrize(
    "later",
    [
        b"SETUP rtsp://media/7f3a",
        b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nno header\r\n\r\n",
        b"\xff\xfe garbage\r\n" * 10,
        b"x" * 20_000,
    ],
    ids=["half a message", "a malformed header", "garbage", "a message without end"],
)
def test_a_set_up_is_answered_though_later_input_on_its_connection_is_bad(
    tmp_path: Path, later: bytes
) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        servers[0].on_set_up = AnswersLate()
        client = program.connect()
        name = send_set_up(client, 1, "paid", wait_ms=4000)
        servers[0].expect("SETUP")
        client.sock.sendall(later)
        answer = read_answer(client)
        while answer.session != name:  # the error that answers the input
            assert answer.status >= 400
            answer = read_answer(client)
        assert (answer.status, answer.body) == (200, b"made late")
        # Nothing is open now: the connection is closed in the time that holds for an idle one.
        client.sock.settimeout(TIMEOUT_S)
        while client.read() is not None:
            pass


# Guards against input behind a malformed message being taken for a request.
def test_a_set_up_behind_a_malformed_message_is_not_taken(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        servers[0].on_set_up = AnswersLate()
        client = program.connect()
        send_set_up(client, 1, "paid", wait_ms=4000)
        servers[0].expect("SETUP")
        client.sock.sendall(b"garbage\r\n")
        send_set_up(client, 2)
        while (message := client.read()) is not None:
            assert message.session != f"{2:016x}"
        assert servers[0].set_up_sessions == [f"{1:016x}"]
