"""Connections of clients are closed for want of room or for silence, never over a request that has come."""

from __future__ import annotations

from pathlib import Path

from cloverhinge.lab.harness import ping, read_answer, running_program, send_set_up

OVERDUE_S = 3.2  # longer than any limit on silent clients
TABLE = 24  # connections that a program of 64 descriptors holds


def test_a_request_that_came_while_the_process_stood_outlives_the_limit_on_silence(tmp_path: Path) -> None:
    """Guards against timers that run ahead of the sockets after a pause."""
    with running_program(tmp_path, 1) as (program, _, _log):
        silent, midway, watcher = (program.connect() for _ in range(3))
        ping(watcher)
        midway.sock.sendall(b"SETUP rtsp://media/7f3a")
        ping(watcher)
        program.pause()
        send_set_up(silent, 1, wait_ms=9000)
        midway.sock.sendall(
            b"9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: 0000000000000002\r\nX-Call-Class: free\r\n"
            b"X-Ring-Limit: 9000\r\nX-Dest: home:0;copies:3;top:1;viewer:00000000b4d65521\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        program.resume_after(OVERDUE_S, watcher)
        assert read_answer(silent).status == 200
        assert read_answer(midway).status == 200


def test_who_has_sent_a_request_does_not_make_room_for_a_newcomer(tmp_path: Path) -> None:
    """The newcomer's connection is taken before the other's request is read."""
    with running_program(tmp_path, 1, sockets=64) as (program, _, _log):
        clients = [program.connect() for _ in range(TABLE)]
        for client in clients:
            ping(client)
        program.pause()
        newcomer = program.connect()
        send_set_up(clients[0], 1)  # it has rested the longest
        send_set_up(newcomer, 2)
        program.resume()
        assert read_answer(clients[0]).status == 200
        assert read_answer(newcomer).status == 200
