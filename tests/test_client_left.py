"""No attempt begins for a client that has closed its connection or cancelled its request.

Each test pauses the program's process while the events arrive, so that it reads them in the unfavourable
order when it continues: the request, or the end of an earlier attempt, before the close or cancellation.
"""

from __future__ import annotations

import queue
import socket
import time
from contextlib import suppress
from pathlib import Path

import pytest

from cloverhinge.lab.harness import (
    TIMEOUT_S,
    FakeMediaServer,
    Message,
    Program,
    RtspConnection,
    read_answer,
    running_program,
    send_set_up,
)
from tests.test_floods import set_up

PING = "OPTIONS rtsp://media/ping RTSP/1.0"
PING_SESSION = "00000000000000ff"  # of a ping whose answer shows that everything before it has been read


def connect_and_warm_up(program: Program, servers: list[FakeMediaServer]) -> RtspConnection:
    """A client whose set-up has opened a connection to the server: the next attempt is sent at once."""
    client = program.connect()
    send_set_up(client, 1)
    assert read_answer(client).status == 200
    assert sum(len(server.set_up_sessions) for server in servers) == 1
    return client


def read_all(client: RtspConnection) -> None:
    """Returns once the program has read what other clients sent before this call."""
    client.send(PING, PING_SESSION, 3)
    while read_answer(client).session != PING_SESSION:
        pass


@pytest.mark.parametrize("how", ["closes", "resets", "cancels"])
def test_no_attempt_for_a_client_that_left_before_its_request_was_read(tmp_path: Path, how: str) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        other, leaver = connect_and_warm_up(program, servers), program.connect()
        read_all(leaver)
        program.pause()
        name = send_set_up(leaver, 2)
        if how == "cancels":
            leaver.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        else:
            leaver.close(reset=how == "resets")
        program.resume()
        read_all(other)
        send_set_up(other, 3)  # would reach the server after an attempt for the client that left
        assert read_answer(other).status == 200
        assert servers[0].set_up_sessions == [f"{1:016x}", f"{3:016x}"]


def test_no_attempt_for_a_client_that_left_before_its_connection_was_accepted(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        other = connect_and_warm_up(program, servers)
        program.pause()
        leaver = program.connect()
        send_set_up(leaver, 2)
        leaver.close()
        program.resume()
        read_all(other)
        send_set_up(other, 3)
        assert read_answer(other).status == 200
        assert servers[0].set_up_sessions == [f"{1:016x}", f"{3:016x}"]


@pytest.mark.parametrize("how", ["closes", "cancels"])
def test_no_second_attempt_for_a_client_that_left(tmp_path: Path, how: str) -> None:
    """The program reads the refusal of the first attempt before the client's close or cancellation."""
    with running_program(tmp_path, 2) as (program, servers, _):
        clients = [program.connect() for _ in range(5)]
        for number, client in enumerate(clients, 1):
            send_set_up(client, number, title=f"title-{number}")
            assert read_answer(client).status == 200
        assert all(server.set_up_sessions for server in servers)  # connections to both are open
        received: queue.Queue[tuple[FakeMediaServer, RtspConnection]] = queue.Queue()
        for server in servers:
            server.set_up_sessions.clear()
            server.on_set_up = lambda wire, _, server=server: received.put((server, wire))  # type: ignore[misc]
        leaver = program.connect()
        name = send_set_up(leaver, 9, title="title-1")
        first_server, wire = received.get(timeout=TIMEOUT_S)
        other_server = next(server for server in servers if server is not first_server)
        program.pause()
        wire.send("RTSP/1.0 453 No", name)
        if how == "closes":
            leaver.close()
        else:
            leaver.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        program.resume()
        read_all(clients[0])
        other_server.on_set_up = other_server.accept
        last = send_set_up(
            clients[0], 10, dest=f"home:{other_server.cell};copies:1;top:1;viewer:00000000b4d65521"
        )
        assert read_answer(clients[0]).status == 200
        assert (first_server.set_up_sessions, other_server.set_up_sessions) == ([name], [last])


def test_a_session_handed_over_and_ended_at_once_is_released_at_its_server(tmp_path: Path) -> None:
    """Its end must not be taken for the cancellation of a request of which no attempt was sent."""
    with running_program(tmp_path, 1) as (program, servers, _):
        client = program.connect()
        program.pause()
        name = send_set_up(client, 1, dest="home:0;copies:3;top:1;viewer:aa;at:s-00000000")
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        program.resume()
        assert read_answer(client).status == 200
        assert servers[0].expect("TEARDOWN")[1].session == name


LEFT_LIMIT_S = 0.15  # an attempt may begin until 0.1 s after its client has left; every limit is 50 ms longer


def burst(numbers: range) -> bytes:
    """Set-ups with these numbers, as they are written at once."""
    return b"".join(set_up(number, "free", f"title-{number % 50}") for number in numbers)


def _await_silence(servers: list[FakeMediaServer], begun: list[float]) -> None:
    """Returns once no set-up has arrived for much longer than a queue needs for its next turn."""
    count = -1
    while count != len(begun):
        count = len(begun)
        with suppress(queue.Empty):
            while servers[0].inbox.get(timeout=0.5):
                pass


# Guards against set-ups that begin after their client has left, as its close lies behind unread input.
@pytest.mark.parametrize("how", ["closes", "half-closes"])
def test_no_attempt_begins_long_after_the_close_of_a_client_with_much_unread_input(
    tmp_path: Path, how: str
) -> None:
    begun: list[float] = []
    with running_program(tmp_path, 2) as (program, servers, _):
        leaver = connect_and_warm_up(program, servers)

        def refuse(connection: RtspConnection, message: Message) -> None:
            begun.append(time.monotonic())
            connection.send("RTSP/1.0 453 Not Enough Bandwidth", message.session)

        for server in servers:
            server.on_set_up = refuse
        program.pause()
        leaver.sock.sendall(burst(range(100, 1450)))
        if how == "closes":
            leaver.close()
        else:
            leaver.sock.shutdown(socket.SHUT_WR)
        left_s = time.monotonic()
        program.resume()
        _await_silence(servers, begun)
        late = [x - left_s for x in begun if x - left_s > LEFT_LIMIT_S]
        assert not late, (len(late), max(late))


# Guards against the end of a session that is lost, as its client closes its connection right after it.
def test_a_teardown_before_the_close_behind_many_set_ups_is_processed(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        leaver = connect_and_warm_up(program, servers)
        servers[0].on_set_up = servers[0].leave_unanswered
        teardown = (
            f"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {1:016x}\r\nContent-Length: 0\r\n\r\n"
        )
        leaver.sock.sendall(burst(range(100, 900)) + teardown.encode())
        leaver.sock.shutdown(socket.SHUT_WR)
        _, message = servers[0].expect("TEARDOWN")
        while message.session != f"{1:016x}":
            _, message = servers[0].expect("TEARDOWN")
