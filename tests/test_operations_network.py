"""Operator commands, maintenance and upgrades under load: whole processes on loopback sockets."""

from __future__ import annotations

import copy
import json
import os
import re
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

import pytest

from cloverhinge.lab import harness
from cloverhinge.lab.harness import (
    TIMEOUT_S,
    FakeChangeLog,
    FakeMediaServer,
    Message,
    Program,
    RtspConnection,
    read_answer,
    send_set_up,
)
from cloverhinge.operations import console
from tests import guards

site = partial(harness.running_program, program=guards.program())
COUNTERS = {"ok", "shed", "errors", "tries"}


def metrics(program: Program) -> dict[str, int]:
    first, *lines, last = program.operator_call("stats")
    assert (first, last) == ("ACK", "--")
    return {name: int(value) for name, value in (line.split("=") for line in lines)}


def request_session(client: RtspConnection, number: int, title: str = "7f3a9c21e0b4d655") -> Message:
    send_set_up(client, number, title=title)
    return read_answer(client)


def test_commands_are_answered_despite_silent_connections(tmp_path: Path) -> None:
    """More silent connections than the server keeps, incomplete commands, and a client that half-closes."""
    with site(tmp_path, operator_calls=True) as (program, _, _log):
        silent = [socket.create_connection(("127.0.0.1", program.operator_port)) for _ in range(40)]
        for connection in silent[::2]:
            connection.sendall(b"stat")
        assert program.operator_call("status") == ["ACK"]
        assert program.operator_call("x" * 5000)[0].startswith("NAK")
        with socket.create_connection(("127.0.0.1", program.operator_port), TIMEOUT_S) as link:
            link.sendall(b"status\n")
            link.shutdown(socket.SHUT_WR)
            assert link.makefile("rb").read() == b"ACK\n"
        assert [program.operator_call(x)[0][:3] for x in ("maint-on s-77777777", "maint-off", "\0")] == [
            "NAK"
        ] * 3
        for connection in silent:
            connection.close()


def test_metrics_match_what_clients_and_media_servers_saw(tmp_path: Path) -> None:
    with site(tmp_path, operator_calls=True) as (program, servers, _):
        client = program.connect()
        for number in range(1, 6):
            assert request_session(client, number, f"title-{number}").status == 200
        for server in servers:
            server.on_set_up = lambda wire, message: wire.send("RTSP/1.0 500 No", message.session)
        send_set_up(client, 6, "paid", title="other")
        assert read_answer(client).status == 500
        values = metrics(program)
        assert {name.split(".")[0] for name in values if "." in name} == COUNTERS
        assert (values["ok.free"], values["errors.paid"], values["tries.paid"], values["shed.free"]) == (
            5,
            1,
            1,
            0,
        )
        assert values["tries.free"] == 5 and values["active"] == 5 and values["pool_size"] == 2


def test_a_server_in_maintenance_gets_no_sessions_over_lists_and_sighup_until_it_ends(tmp_path: Path) -> None:
    with site(tmp_path, operator_calls=True) as (program, servers, log):
        client = program.connect()
        assert (
            program.operator_call("maint-on s-00000000")
            == ["ACK"]
            == program.operator_call("maint-on s-00000000")
        )
        log.publish([servers[0].list_entry()])
        program.wait_for("list 2")
        program.reload(json.dumps(program.initial_config))
        program.wait_for("read anew")
        for number in range(1, 9):
            assert request_session(client, number, f"title-{number}").status == 200
        assert (
            not servers[0].set_up_sessions
            and len(servers[1].set_up_sessions) == 8
            and metrics(program)["pool_ejected"] == 1
        )
        assert program.operator_call("maint-off s-00000000") == ["ACK"]
        number = 9
        while not servers[0].set_up_sessions:  # it is cold, so it gets only a few sessions at a time
            assert request_session(client, number, f"title-{number}").status == 200 and number < 200
            number += 1
        assert metrics(program)["pool_ejected"] == 0


def test_maintenance_survives_a_crash_and_a_malformed_file_removes_none_from_memory(tmp_path: Path) -> None:
    with site(tmp_path, operator_calls=True) as (program, servers, _):
        program.operator_call("maint-on s-00000000")
        program.process.kill()
        program.process.wait()
        later = program.successor()
        try:
            client = later.connect()
            (file,) = tmp_path.glob("*-bans.json")
            file.write_text("{")
            later.wait_for("is not a valid maintenance file")
            for number in range(1, 5):
                assert request_session(client, number, f"title-{number}").status == 200
            assert not servers[0].set_up_sessions
            later.operator_call("maint-on s-00000001")
            assert set(json.loads(file.read_text())["records"]) == {"s-00000000", "s-00000001"}
        finally:
            assert later.terminate() == 0


@contextmanager
def upgradable(
    folder: Path, count: int = 2
) -> Iterator[tuple[Program, list[FakeMediaServer], FakeChangeLog]]:
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        site(folder, count, operator_calls=True, listener=listener) as made,
    ):
        yield made


def assert_clean_exit(program: Program) -> None:
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(TIMEOUT_S) == 0 and "Traceback" not in "".join(program.log)


def test_repeated_upgrades_lose_no_request(tmp_path: Path) -> None:
    """Three upgrades with connections in the accept queue, open requests and idle connections."""
    with upgradable(tmp_path, 1) as (old, servers, _):
        number, first = 1, old
        idle = old.connect()
        assert request_session(idle, number).status == 200
        for _ in range(3):
            busy = old.connect()
            assert request_session(busy, 2000 + number).status == 200  # so the old process has accepted it
            new = old.successor()
            assert new.operator_call("status") == ["ACK"]
            servers[0].on_set_up = servers[0].leave_unanswered
            open_one, session = send_set_up(busy, 1000 + number, wait_ms=5000, title=f"open-{number}"), ""
            while session != open_one:
                wire, message = servers[0].expect("SETUP")
                session = message.session
            old.process.send_signal(signal.SIGTERM)
            old.wait_for("told to end")
            assert idle.read() is None  # its closing is announced at once: nothing was open on it
            assert old.operator_call("status")[0].startswith("NAK")
            servers[0].on_set_up = servers[0].accept
            idle = new.connect()
            for _ in range(4):
                number += 1
                assert request_session(idle, number, f"title-{number}").status == 200
            wire.send("RTSP/1.0 200 OK", open_one, body=b"made")
            assert read_answer(busy).session == open_one and busy.read() is None
            assert old.process.wait(TIMEOUT_S) == 0
            assert not list(tmp_path.glob(f"*-{old.process.pid}.*"))
            old = new
        assert_clean_exit(old)
        assert first.process.returncode == 0


def test_maintenance_started_at_the_new_process_applies_to_the_old_one_too(tmp_path: Path) -> None:
    with upgradable(tmp_path) as (old, servers, _):
        client = old.connect()
        assert request_session(client, 1).status == 200
        new = old.successor()
        assert new.operator_call("maint-on s-00000000") == ["ACK"]
        old.wait_for("media server s-00000000 is in maintenance mode")
        before = len(servers[0].set_up_sessions)
        for number in range(2, 8):
            assert request_session(client, number, f"title-{number}").status == 200  # on the old one
        assert len(servers[0].set_up_sessions) == before and metrics(old)["ok.free"] == 7
        assert_clean_exit(new)


def test_the_old_process_serves_alone_after_the_new_one_has_died(tmp_path: Path) -> None:
    with upgradable(tmp_path) as (old, _, _log):
        new = old.successor()
        old.wait_for("another process is serving")
        new.process.kill()
        new.process.wait()
        old.wait_for("no other process is serving")
        client = old.connect()
        assert request_session(client, 1).status == 200 and old.operator_call("status") == ["ACK"]


def test_a_new_process_that_never_gets_ready_takes_nothing_from_the_old_one(tmp_path: Path) -> None:
    with upgradable(tmp_path) as (old, _, log):
        log.serve = lambda connection: None  # type: ignore[method-assign]
        new = copy.copy(old)
        with pytest.raises(AssertionError):  # it is stopped while it waits for the list
            new.wait_for = lambda pattern: stop_at_first_line(new, pattern)  # type: ignore[method-assign]
            new._start()
        clients = [old.connect() for _ in range(10)]
        for number, client in enumerate(clients, 1):
            assert request_session(client, number, f"title-{number}").status == 200
        assert old.operator_call("status") == ["ACK"] and metrics(old)["ok.free"] == 10


def stop_at_first_line(new: Program, pattern: str) -> re.Match[str]:
    """Wait for the first log line, then stop the process before the second one."""
    match = Program.wait_for(new, pattern)
    new.operator_port = int(match[1])
    assert new.operator_call("status") == ["NAK starting"]
    new.process.send_signal(signal.SIGSTOP)
    raise AssertionError("stopped")


def test_an_overloaded_router_is_upgraded_and_each_request_is_answered(tmp_path: Path) -> None:
    """All media servers refuse, on old and new connections, before and after the old process is shut down."""

    def full(wire: RtspConnection, message: Message) -> None:
        wire.send("RTSP/1.0 453 Not Enough Bandwidth", message.session, X_Circuits="x0:1.6;x1:1.2")

    with upgradable(tmp_path, 2) as (old, servers, _):
        for server in servers:
            server.on_set_up, server.load = full, "x0:1.6;x1:1.2"
        number, new = 0, old
        clients = [old.connect() for _ in range(12)]
        for turn in range(3):
            for client in clients:
                number += 1
                send_set_up(client, number, title=f"title-{number % 5}")
            if turn == 0:
                new = old.successor()
                assert new.operator_call("status") == ["ACK"]
            for client in clients:
                assert read_answer(client).status in (453, 503)
            if turn == 1:
                old.process.send_signal(signal.SIGTERM)
                assert old.process.wait(TIMEOUT_S) == 0
                clients = [new.connect() for _ in range(12)]
        values = metrics(new)
        assert old.process.returncode == 0 and values["shed.free"] >= 12 and values["active"] == 0
        assert_clean_exit(new)


def test_a_new_process_applies_list_changes_since_its_configuration_before_it_is_ready(
    tmp_path: Path,
) -> None:
    with upgradable(tmp_path) as (old, servers, log):
        log.publish([servers[0].list_entry("left")])
        old.wait_for("list 2")
        new = old.successor()
        old.process.send_signal(signal.SIGHUP)  # during the overlap
        old.wait_for("read anew")
        assert new.operator_call("status") == ["ACK"] and metrics(new)["pool_size"] == 1
        first = [word for line in new.log for word in ("list 2", "listening") if f" {word}" in line]
        assert first == ["list 2", "listening"]
        assert_clean_exit(new)


def test_admin_socket_console_and_commands_share_one_maintenance_register(tmp_path: Path) -> None:
    deploy = tmp_path / "site.toml"
    deploy.write_text('[admin]\nlisten = "127.0.0.1:0"\n')
    with site(tmp_path, operator_calls=True, site_file=deploy) as (program, _, _log):
        admin = "127.0.0.1", int(program.wait_for(r"admin on 127\.0\.0\.1:(\d+)")[1])
        assert console.query(admin, "maint-on s-00000000") == {"answer": "ACK"}
        assert metrics(program)["pool_ejected"] == 1
        assert "LEFT OUT BY HAND  s-00000000" in console.render_status(console.fetch_status(admin))
        assert console.query(admin, "maint-off s-9")["answer"].startswith("NAK")
        assert program.operator_call("maint-off s-00000000") == ["ACK"]
        assert console.fetch_status(admin)["operation"]["left_out"] == []


def test_an_invalid_inherited_descriptor_fails_the_check(tmp_path: Path) -> None:
    from cloverhinge import cli

    config = tmp_path / "config.json"
    config.write_text(json.dumps(Program.configuration("n0", FakeChangeLog(), {"seq": 0, "results": []})))
    before = dict(os.environ)
    try:
        os.environ |= {"LB_CONFIG": str(config), "LB_LISTEN_FD": "five"}
        assert cli.main(["check"]) == 2
    finally:
        os.environ.clear()
        os.environ.update(before)
