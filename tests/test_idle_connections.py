"""Clients' connections are closed when the table is full or when silent, but not with a request unread."""

from __future__ import annotations

from pathlib import Path

from cloverhinge.lab.harness import ping, read_answer, running_program, send_set_up

OVERDUE_S = 3.2  # longer than any limit on silent clients
TABLE = 24  # connections that a program with 64 descriptors accepts


def test_a_request_that_arrived_while_the_process_was_paused_is_answered(tmp_path: Path) -> None:
    """After a pause of the process, timers run before the sockets are read."""
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


def test_a_connection_with_an_unread_request_is_not_evicted_for_a_new_one(tmp_path: Path) -> None:
    """The new connection is accepted before the request on the longest idle one is read."""
    with running_program(tmp_path, 1, sockets=64) as (program, _, _log):
        clients = [program.connect() for _ in range(TABLE)]
        for client in clients:
            ping(client)
        program.pause()
        late = program.connect()
        send_set_up(clients[0], 1)  # the longest idle connection
        send_set_up(late, 2)
        program.resume()
        assert read_answer(clients[0]).status == 200
        assert read_answer(late).status == 200
