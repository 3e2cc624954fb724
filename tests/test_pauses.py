"""After the process stood still, what lies in its sockets is read before a limit on time is applied."""

from __future__ import annotations

from pathlib import Path

import pytest

from cloverhinge.lab.harness import answer, ask, site

PARTIAL_S = 0.6  # longer than a message from a server may stay unfinished
DEAD_S = 8.0  # longer than a server with sessions may say nothing


def test_an_answer_whose_rest_came_during_a_pause_is_taken(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, (pump,), _):
        pump.script = pump.hold
        client = program.connect()
        name = ask(client, 1, "paid")
        wire, _ = pump.expect("SETUP")
        whole = f"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {name}\r\nContent-Length: 4\r\n\r\nmade".encode()
        wire.sock.sendall(whole[:30])
        client.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
        assert answer(client).headers["cseq"] == "3"
        program.pause()
        wire.sock.sendall(whole[30:])
        program.go_on_after(PARTIAL_S, client)
        served = answer(client)
        assert (served.status, served.body) == (200, b"made")


@pytest.mark.parametrize("says", [True, False])
def test_a_server_is_lost_only_where_it_said_nothing_during_a_pause(tmp_path: Path, says: bool) -> None:
    with site(tmp_path, 1) as (program, (pump,), _):
        client = program.connect()
        name = ask(client, 1)
        assert answer(client).status == 200
        wire, _ = pump.expect("SETUP")
        program.pause()
        if says:
            wire.send("ANNOUNCE rtsp://media/x RTSP/1.0", name, 7, X_Why="delivered", X_Reading="1.0")
        program.go_on_after(DEAD_S, client)
        client.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
        if not says:
            assert answer(client, "TEARDOWN").headers["reason"] == "cause=41"
        assert answer(client).headers["cseq"] == "3"
