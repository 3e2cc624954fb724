"""The program as a process, with clients, media servers and a change log that the tests play."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from cloverhinge.lab.harness import (
    ROOT,
    TIMEOUT_S,
    FakeChangeLog,
    FakeMediaServer,
    Message,
    RtspConnection,
    read_answer,
    running_program,
    send_set_up,
)
from tests import guards


def test_a_session_from_set_up_to_its_release(tmp_path: Path) -> None:
    with running_program(tmp_path) as (program, servers, _):
        client = program.connect()
        client.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
        assert read_answer(client).status == 200
        name = send_set_up(client, 1, body=b"a description\r\n")
        served = read_answer(client)
        chosen = next(server for server in servers if server.set_up_sessions)
        assert (served.status, served.session, served.body) == (200, name, b"made by " + chosen.name.encode())
        wire, message = chosen.expect("SETUP rtsp://media/7f3a9c21e0b4d655")
        assert message.body == b"a description\r\n" and message.headers["x-call-class"] == "free"
        assert message.headers["x-quality"] == "1"
        assert 0 < int(message.headers["x-ring-limit"]) < 3000
        wire.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2, Reason="cause=16", X_Circuits="x0:0.2;x1:0.1")
        assert read_answer(client, "TEARDOWN").headers["reason"] == "cause=16"
        # A server repeats its release on its next connection; the client must receive it only once.
        wire.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2, Reason="cause=16")
        chosen.expect("RTSP/1.0 200")
        chosen.expect("RTSP/1.0 200")
        client.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000ab", 3)
        assert read_answer(client).session == "00000000000000ab"


def refusal(status: int) -> Callable[[RtspConnection, Message], None]:
    return lambda wire, message: wire.send(f"RTSP/1.0 {status} No", message.session)


@pytest.mark.parametrize(
    "class_name,status,tries,harmless",
    [
        ("free", 500, 2, True),
        ("paid", 453, 2, True),
        ("paid", 454, 2, True),
        ("paid", 500, 1, False),
        ("paid", 504, 1, False),
    ],
)
def test_a_paid_set_up_that_may_have_run_fails_and_is_not_sent_again(
    tmp_path: Path, class_name: str, status: int, tries: int, harmless: bool
) -> None:
    with running_program(tmp_path) as (program, servers, _):
        for server in servers:
            server.on_set_up = refusal(status)
        client = program.connect()
        send_set_up(client, 1, class_name)
        final = read_answer(client)
        assert (final.status in (453, 454, 503)) is harmless and final.status > 299
        assert ("x-hold-off" in final.headers) is harmless
        assert sum(len(server.set_up_sessions) for server in servers) == tries


def test_a_refused_connection_lets_a_paid_set_up_go_elsewhere(tmp_path: Path) -> None:
    with running_program(tmp_path, 2) as (program, servers, _):
        servers[0].stop()
        client = program.connect()
        for number in range(1, 5):
            send_set_up(client, number, "paid", title=f"title-{number}")
            assert read_answer(client).status == 200
        assert len(servers[1].set_up_sessions) == 4


@pytest.mark.parametrize("class_name", ["free", "paid"])
def test_a_silent_server_costs_no_answer_and_no_second_paid_set_up(tmp_path: Path, class_name: str) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        servers[0].on_set_up = servers[0].leave_unanswered
        client = program.connect()
        name = send_set_up(client, 1, class_name, wait_ms=700)
        final = read_answer(client)
        assert final.status == (503 if class_name == "free" else 504) and len(servers[0].set_up_sessions) == 1
        wire, message = servers[0].expect("TEARDOWN")
        assert "reason" not in message.headers  # a cancellation, not a release
        # Its answer crosses the cancellation: a session that nobody owns is released.
        wire.send("RTSP/1.0 200 OK", name, body=b"late")
        assert servers[0].expect("TEARDOWN")[1].headers["reason"] == "cause=31"


def test_a_client_that_gives_up_gets_no_answer_and_its_attempt_ends(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        servers[0].on_set_up = servers[0].leave_unanswered
        client, leaving = program.connect(), program.connect()
        name = send_set_up(client, 1)
        servers[0].expect("SETUP")
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        assert read_answer(client).headers["cseq"] == "2"
        assert servers[0].expect("TEARDOWN")[1].session == name
        other = send_set_up(leaving, 2)
        servers[0].expect("SETUP")
        leaving.close()  # closing the connection cancels its open set-up too
        assert servers[0].expect("TEARDOWN")[1].session == other


def test_a_server_that_closes_every_connection_is_not_reconnected_without_pause(tmp_path: Path) -> None:
    """Without a delay, the router would reconnect as fast as the network allows."""
    with running_program(tmp_path, 2) as (program, servers, _):
        servers[0].serve = lambda connection: wire.close()  # type: ignore[method-assign]
        for wire in servers[0].connections:
            wire.close()
        client = program.connect()
        for number in range(1, 4):
            send_set_up(client, number, title=f"title-{number}")
            assert read_answer(client).status in (200, 503)
        before = len(servers[0].connections)
        program.terminate()
        assert len(servers[0].connections) - before < 8  # in the 0.9 s that the shutdown takes


def test_a_session_outlives_its_connections_and_ends_on_any(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        first, second = program.connect(), program.connect()
        names = [send_set_up(first, number) for number in (1, 2)]
        assert {read_answer(first).status for _ in names} == {200}
        second.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
        assert read_answer(second).status == 200
        first.close()
        wire, _ = servers[0].expect("SETUP")
        wire.send("TEARDOWN rtsp://media/x RTSP/1.0", names[0], 2, Reason="cause=41")
        assert read_answer(second, "TEARDOWN").session == names[0]
        second.send("TEARDOWN rtsp://media/x RTSP/1.0", names[1], 2, Reason="cause=31")
        assert read_answer(second).status == 200
        assert servers[0].expect("TEARDOWN")[1].session == names[1]


def test_the_sessions_of_a_dead_server_are_released_to_their_clients(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        client = program.connect()
        name = send_set_up(client, 1)
        assert read_answer(client).status == 200
        servers[0].stop(reset=True)
        gone = read_answer(client, "TEARDOWN")
        assert (gone.session, gone.headers["reason"]) == (name, "cause=41")


def test_the_sessions_of_a_machine_that_vanishes_silently_are_lost(tmp_path: Path) -> None:
    """Its connections stay open and silent, and new ones are never accepted: its sessions must still end."""
    with running_program(tmp_path, 1) as (program, servers, _):
        client = program.connect()
        name = send_set_up(client, 1)
        assert read_answer(client).status == 200
        servers[0].socket.shutdown(socket.SHUT_RDWR)  # no more connections; the open ones stay
        started = time.monotonic()
        gone = read_answer(client, "TEARDOWN")
        assert (gone.session, gone.headers["reason"]) == (name, "cause=41")
        assert time.monotonic() - started < 8.0


def test_a_server_that_refuses_new_connections_keeps_its_sessions_for_a_while(tmp_path: Path) -> None:
    """A new version of the program has no connection yet to the servers of the sessions that it is handed.

    A server at its limit of connections refuses new ones as well, and its sessions must not be cut for that.
    """
    with running_program(tmp_path, 1, program=guards.router_command()) as (program, servers, _):
        with servers[0].stopped() as port:
            client = program.connect()
            name = send_set_up(client, 1, dest="home:0;copies:3;top:1;viewer:aa;at:s-00000000")
            started = time.monotonic()
            gone = read_answer(client, "TEARDOWN")
            assert (gone.session, gone.headers["reason"]) == (name, "cause=41")
            assert 2.0 < time.monotonic() - started < 8.0
            again = send_set_up(client, 2, dest="home:0;copies:3;top:1;viewer:aa;at:s-00000000")
            back = FakeMediaServer("s-00000000", 0, port)  # it accepts connections again
            client.send("TEARDOWN rtsp://media/x RTSP/1.0", again, 2)
            assert read_answer(client).status == 200
            assert {back.expect("TEARDOWN")[1].session for _ in range(2)} == {name, again}
            back.stop()


def test_a_draining_server_gets_no_set_up_and_a_handed_over_session_no_answer(tmp_path: Path) -> None:
    with running_program(tmp_path) as (program, servers, log):
        client = program.connect()
        carried = send_set_up(client, 1, dest="home:0;copies:3;top:1;viewer:aa;at:s-00000000")
        log.publish([servers[0].list_entry("leaving")])
        program.wait_for("changed")
        for number in range(2, 6):
            name = send_set_up(client, number, title=f"title-{number}")
            assert read_answer(client).session == name
        assert not servers[0].set_up_sessions and len(servers[1].set_up_sessions) == 4
        log.publish([servers[0].list_entry("left")])
        assert read_answer(client, "TEARDOWN").session == carried


def test_the_change_log_is_resumed_after_the_last_event(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, log):
        since, wire = log.subscriptions.get(timeout=TIMEOUT_S)
        assert since == 1
        late = FakeMediaServer("s-000000ff", 1)
        log.publish([late.list_entry()])
        program.wait_for("changed")
        wire.close()
        assert log.subscriptions.get(timeout=TIMEOUT_S)[0] == 2
        log.sends_heartbeats = False  # a missing heartbeat counts as silence
        assert log.subscriptions.get(timeout=TIMEOUT_S)[0] == 2
        late.stop()


def test_sighup_follows_the_change_log_to_its_new_address(tmp_path: Path) -> None:
    """SIGHUP must not end the program, nor may it wait for the old log, which stays open and silent."""
    with running_program(tmp_path, 1) as (program, servers, old):
        client, new = program.connect(), FakeChangeLog()
        name = send_set_up(client, 1)
        assert read_answer(client).status == 200 and old.subscriptions.get(timeout=TIMEOUT_S)[0] == 1
        configuration = json.dumps({**program.initial_config, "changelog": new.address})
        for bad in (configuration[:-40], "", json.dumps({"changelog": new.address})):
            program.reload(bad)
            program.wait_for("keeps its configuration")
        old.publish([servers[0].list_entry()])  # the old log is still followed
        program.wait_for("list 2")
        new.events = [*old.events, {"seq": 3, "fleet": {"instances": [servers[0].list_entry("left")]}}]
        program.reload(configuration)
        program.process.send_signal(signal.SIGHUP)  # an unchanged configuration has no effect
        assert new.subscriptions.get(timeout=TIMEOUT_S)[0] == 2
        assert (
            read_answer(client, "TEARDOWN").session == name
        )  # the session went on until the new log's event
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGHUP)
        assert program.process.wait(TIMEOUT_S) == 0
        new.stop()


def test_a_sighup_during_the_start_is_handled_once_it_listens(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, _, _log):
        pipe, held = tmp_path / "pipe", json.dumps({**program.initial_config, "changelog": "127.0.0.1:1"})
        os.mkfifo(pipe)  # the start blocks until the configuration has been written
        late = subprocess.Popen(
            [sys.executable, "-m", "cloverhinge", "serve"],
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
            env={**os.environ, "LB_CONFIG": str(pipe)},
        )
        with pipe.open("w") as end:  # opens once the program reads the pipe
            late.send_signal(signal.SIGHUP)
            (tmp_path / "plain").write_text(held)
            (tmp_path / "plain").replace(pipe)
            end.write(held)
        assert late.stderr is not None
        assert any("read anew" in line for line in late.stderr)
        late.terminate()
        assert late.wait(TIMEOUT_S) == 0


def test_after_sigterm_open_and_new_set_ups_are_answered(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        servers[0].on_set_up = servers[0].leave_unanswered
        client = program.connect()
        first = send_set_up(client, 1)
        wire, _ = servers[0].expect("SETUP")
        program.process.terminate()
        program.wait_for("told to end")
        late = program.connect()
        second = send_set_up(late, 2)
        for name in (first, second):
            if name is second:
                servers[0].expect("SETUP")
            wire.send("RTSP/1.0 200 OK", name, body=b"made")
        assert read_answer(client).session == first and read_answer(late).session == second
        assert program.process.wait(TIMEOUT_S) == 0


BAD = [
    b"\x00\xff\xfe garbage\r\n\r\n",
    b"SETUP rtsp://media/x HTTP/1.1\r\n\r\n",
    b"x" * 20000,
    b"SETUP rtsp://media/x RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 999999\r\n\r\n",
    b"SETUP rtsp://media/x RTSP/1.0\r\nCSeq: 1\r\nContent-Length: -1\r\n\r\n",
    b"SETUP rtsp://media/x RTSP/1.0\r\nno colon\r\n\r\n",
    b"SETUP rtsp://media/x RTSP/1.0\r\n" + b"A: b\r\n" * 100 + b"\r\n",
]


@pytest.mark.parametrize("data", BAD)
def test_a_malformed_message_gets_an_error_and_a_close(tmp_path: Path, data: bytes) -> None:
    with running_program(tmp_path, 1) as (program, _, _log):
        client = program.connect()
        client.sock.sendall(data)
        assert read_answer(client).status in (400, 413, 505)
        assert client.read() is None
        other = program.connect()
        send_set_up(other, 1)
        assert read_answer(other).status == 200


@pytest.mark.parametrize(
    "fields",
    [
        {"X_Call_Class": "none", "X_Ring_Limit": "1000"},
        {"X_Call_Class": "free"},
        {"X_Call_Class": "free", "X_Ring_Limit": "nan"},
        {"X_Call_Class": "free", "X_Ring_Limit": "-5"},
        {"X_Call_Class": "free", "X_Ring_Limit": "1000", "X_Dest": "home:x"},
    ],
)
def test_an_invalid_set_up_fails_alone(tmp_path: Path, fields: dict[str, str]) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        client = program.connect()
        client.send("SETUP rtsp://media/x RTSP/1.0", "00000000000000aa", 1, b"", **fields)
        assert read_answer(client).status == 400 and not servers[0].set_up_sessions
        send_set_up(client, 1)
        assert read_answer(client).status == 200


def test_session_events_reach_the_module_and_malformed_ones_do_no_harm(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        client = program.connect()
        name = send_set_up(client, 1)
        assert read_answer(client).status == 200
        wire, _ = servers[0].expect("SETUP")
        wire.send("ANNOUNCE rtsp://media/x RTSP/1.0", name, 7, X_Why="delivered", X_Reading="oops")
        assert servers[0].expect("RTSP/1.0 400")
        wire.send("ANNOUNCE rtsp://media/x RTSP/1.0", name, 7, X_Why="delivered", X_Reading="0.4")
        stepped = servers[0].expect("SET_PARAMETER")[1]  # below its rate, the session steps down
        assert (stepped.session, stepped.headers["x-quality"]) == (name, "0")


def test_an_address_in_use_is_reported_in_one_line_and_prevents_the_start(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, _, _log):
        configuration = json.loads((tmp_path / "config.json").read_text())
        configuration["listen"] = f"127.0.0.1:{program.port}"
        (tmp_path / "taken.json").write_text(json.dumps(configuration))
        done = subprocess.run(
            [sys.executable, "-m", "cloverhinge", "serve"],
            cwd=ROOT,
            text=True,
            capture_output=True,
            timeout=TIMEOUT_S,
            env={**os.environ, "LB_CONFIG": str(tmp_path / "taken.json")},
        )
        assert done.returncode == 1 and "could not start" in done.stderr
        assert "Traceback" not in done.stderr


def test_an_incomplete_configuration_is_reported_and_prevents_the_start(tmp_path: Path) -> None:
    from cloverhinge import config
    from cloverhinge.core.config_values import ConfigError

    (tmp_path / "config.json").write_text(json.dumps({"name": "n0"}))
    with pytest.raises(ConfigError, match="settings"):
        config.read(str(tmp_path / "config.json"))
