"""After a pause of the process, unread input is read before time limits are applied."""

from __future__ import annotations

from pathlib import Path

import pytest

from cloverhinge.lab.harness import read_answer, running_program, send_set_up

PARTIAL_S = 0.6  # longer than a message from a server may stay unfinished
DEAD_S = 8.0  # longer than a server with sessions may be silent


def test_an_answer_that_was_completed_during_a_pause_is_accepted(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, (server,), _):
        server.on_set_up = server.leave_unanswered
        client = program.connect()
        name = send_set_up(client, 1, "paid")
        wire, _ = server.expect("SETUP")
        whole = f"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {name}\r\nContent-Length: 4\r\n\r\nmade".encode()
        wire.sock.sendall(whole[:30])
        client.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
        assert read_answer(client).headers["cseq"] == "3"
        program.pause()
        wire.sock.sendall(whole[30:])
        program.resume_after(PARTIAL_S, client)
        served = read_answer(client)
        assert (served.status, served.body) == (200, b"made")


@pytest.mark.parametrize("sends", [True, False])
def test_a_server_is_lost_only_if_it_sent_nothing_during_a_pause(tmp_path: Path, sends: bool) -> None:
    with running_program(tmp_path, 1) as (program, (server,), _):
        client = program.connect()
        name = send_set_up(client, 1)
        assert read_answer(client).status == 200
        wire, _ = server.expect("SETUP")
        program.pause()
        if sends:
            wire.send("ANNOUNCE rtsp://media/x RTSP/1.0", name, 7, X_Why="delivered", X_Reading="1.0")
        program.resume_after(DEAD_S, client)
        client.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
        if not sends:
            assert read_answer(client, "TEARDOWN").headers["reason"] == "cause=41"
        assert read_answer(client).headers["cseq"] == "3"
