"""Situations of a day of the whole fleet, on one machine and without the bench."""

from __future__ import annotations

import json
import os
import re
import shutil
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest

from cloverhinge.lab.harness import (
    ROOT,
    TIMEOUT_S,
    FakeChangeLog,
    FakeMediaServer,
    Message,
    Program,
    RtspConnection,
    read_answer,
    running_program,
    send_set_up,
)

HERD = 200  # routers that start at once, as on the days of the whole fleet
HERD_WAIT_S = 120.0  # for all of them together, on a machine with a few cores
START_MB = 64.0  # limit of a router's memory with the pages that all share; about half of it is private


def ping_and_wait(wire: RtspConnection) -> None:
    """Makes a round trip, after which the router has handled everything that it read before."""
    wire.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
    assert read_answer(wire).session == "00000000000000aa"


def wait_until_up(log: Path, start: float) -> float:
    """Seconds from `start` until the router of this log has answered a ping."""
    while not (found := re.search(r"listening on 127\.0\.0\.1:(\d+)", log.read_text())):
        assert time.monotonic() - start < HERD_WAIT_S, log.read_text()
        os.sched_yield()
    wire = RtspConnection(socket.create_connection(("127.0.0.1", int(found[1])), timeout=HERD_WAIT_S))
    ping_and_wait(wire)
    wire.close()
    return time.monotonic() - start


def unanswering_servers() -> list[FakeMediaServer]:
    """Two media servers that leave set-ups unanswered, and share an inbox."""
    servers = [FakeMediaServer(f"s-{n:08x}", n) for n in range(2)]
    for server in servers:
        server.inbox, server.on_set_up = servers[0].inbox, server.leave_unanswered
    return servers


def pending_set_ups(
    servers: list[FakeMediaServer], names: list[str]
) -> dict[str, tuple[FakeMediaServer, RtspConnection]]:
    """The server and connection of each of these sessions, once all their set-ups have arrived."""
    found: dict[str, tuple[FakeMediaServer, RtspConnection]] = {}
    while len(found) < len(names):
        wire, message = servers[0].inbox.get(timeout=TIMEOUT_S)
        if message.session in names and message.start.startswith("SETUP"):
            found[message.session] = next(server for server in servers if wire in server.connections), wire
    return found


def peak_mb(process: int) -> float:
    status = Path(f"/proc/{process}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM")) / 1024.0


@pytest.mark.parametrize("program", ["run", "sim"])
def test_a_start_loads_only_the_bytecode_of_the_build(tmp_path: Path, program: str) -> None:
    """Where 200 routers start at once, compiling from source took two thirds of each start."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    shutil.copytree(
        ROOT / "cloverhinge", tmp_path / "cloverhinge", ignore=shutil.ignore_patterns("__pycache__")
    )
    last = deploy["build"].split("&&")[-1]
    assert "compileall" in last
    subprocess.run(
        last.replace(".venv/bin/python", sys.executable).replace(".venv/lib", ""),
        shell=True,
        cwd=tmp_path,
        check=True,
    )
    command = deploy[program].split()
    flags = [word for word in command if word in ("-O", "-B")]
    module = "cloverhinge.node" if program == "run" else "cloverhinge.wirehost"
    output = subprocess.run(
        [sys.executable, *flags, "-v", "-c", f"import {module}"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=True,
    ).stderr
    imports = [line for line in output.splitlines() if str(tmp_path) in line and "cloverhinge" in line]
    assert any("matches" in line for line in imports)
    assert not [line for line in imports if "code object from '" in line and line.rstrip("'").endswith(".py")]


def test_a_new_server_at_an_old_address_before_the_list_is_updated(tmp_path: Path) -> None:
    """The old server's sessions end, and the new one gets no release of a session that it never had."""
    with running_program(tmp_path, 1) as (program, servers, log):
        viewer, old = program.connect(), servers[0]
        established = send_set_up(viewer, 1)
        assert read_answer(viewer).status == 200
        with old.stopped(reset=True) as port:
            new = FakeMediaServer("s-000000aa", 0, port)
        assert new.address == old.address
        assert read_answer(viewer, "TEARDOWN").session == established  # long before the list is updated
        log.publish([old.list_entry("left"), new.list_entry()])
        program.wait_for("list 2")
        later = send_set_up(viewer, 2, "paid")
        final = read_answer(viewer)
        assert (final.session, final.status, final.body) == (later, 200, b"made by s-000000aa")
        wire, message = new.expect("SETUP")
        assert message.session == later
        assert new.set_up_sessions.count(later) == 1
        new.stop()


def test_sighup_changes_the_change_log_while_set_ups_are_pending(tmp_path: Path) -> None:
    """The new log's list applies to pending set-ups too, and their answers still reach their viewers."""
    with running_program(tmp_path, servers=unanswering_servers()) as (program, servers, old):
        viewer, new = program.connect(), FakeChangeLog()
        names = [send_set_up(viewer, 1, "paid", title="one"), send_set_up(viewer, 2, "paid", title="two")]
        pending = pending_set_ups(servers, names)
        new.events = [*old.events, {"seq": 2, "fleet": {"instances": [servers[0].list_entry("leaving")]}}]
        program.reload(json.dumps({**program.initial_config, "changelog": new.address}))
        program.wait_for("list 2")
        later = [send_set_up(viewer, number, title=f"late-{number}") for number in range(3, 9)]
        for name, (server, wire) in pending_set_ups(servers, later).items():
            assert server is servers[1]
            server.accept(wire, Message("", {"session": name}, b""))
        assert {read_answer(viewer).session for _ in later} == set(later)
        assert not set(servers[0].set_up_sessions) & set(later)
        for name in names:  # also at the server that leaves: the set-up was sent before
            server, wire = pending[name]
            server.accept(wire, Message("", {"session": name}, b""))
            final = read_answer(viewer)
            assert (final.session, final.status) == (name, 200)
        assert sum(server.set_up_sessions.count(name) for server in servers for name in names) == 2
        new.stop()


@pytest.mark.parametrize("class_name,tries", [("free", 2), ("paid", 1)])
def test_a_connection_reset_under_a_set_up(tmp_path: Path, class_name: str, tries: int) -> None:
    """A paid set-up may have run, so it is not sent again; a free one is tried at another media server."""
    with running_program(tmp_path) as (program, servers, _):
        reset: list[str] = []

        def once(server: FakeMediaServer) -> Any:
            def script(wire: RtspConnection, message: Message) -> None:
                if reset:
                    server.accept(wire, message)
                else:
                    reset.append(message.session)
                    wire.close(reset=True)

            return script

        for server in servers:
            server.on_set_up = once(server)
        viewer = program.connect()
        name = send_set_up(viewer, 1, class_name)
        final = read_answer(viewer)
        assert final.session == name and reset == [name]
        assert final.status == 200 if class_name == "free" else final.status in (500, 504)
        assert sum(len(server.set_up_sessions) for server in servers) == tries
        ping_and_wait(viewer)  # no further answer came before this one


def test_retries_while_servers_are_full_cause_no_load_on_them(tmp_path: Path) -> None:
    """Each request is refused at once, without a set-up or an extra probe at the full media servers."""
    with running_program(tmp_path, fleetSize=200) as (program, servers, _):
        for server in servers:
            server.load = "x0:1.3;x1:0.3"
        viewer, start = program.connect(), time.monotonic()
        for number in range(1, 301):
            name = send_set_up(viewer, number, dest="home:0;copies:2;top:1;viewer:00000000b4d65521;again:1")
            final = read_answer(viewer)
            assert (final.session, final.status) == (name, 503) and int(final.headers["x-hold-off"]) > 0
        elapsed = time.monotonic() - start
        assert not any(server.set_up_sessions for server in servers)
        assert sum(server.probes for server in servers) <= 2 * (
            2 + elapsed / 4.5 * 2
        )  # a load report is used for 4.5 s


def test_a_planned_shutdown_of_one_router_does_not_affect_the_others(tmp_path: Path) -> None:
    """The router that ends answers its open requests; sessions established at other routers go on."""
    servers, logs = unanswering_servers(), [FakeChangeLog() for _ in range(3)]
    folders = [tmp_path / str(index) for index in range(3)]
    for folder in folders:
        folder.mkdir()
    programs = [Program(folder, servers, log) for folder, log in zip(folders, logs, strict=True)]
    try:
        viewers = [program.connect() for program in programs]
        for index, viewer in enumerate(viewers):
            send_set_up(viewer, 10 + index)
        established = pending_set_ups(servers, [f"{10 + index:016x}" for index in range(3)])
        for index, (name, (server, wire)) in enumerate(sorted(established.items())):
            server.accept(wire, Message("", {"session": name}, b""))
            assert read_answer(viewers[index]).session == name
        opened = [send_set_up(viewers[0], 20 + index, title=f"title-{index}") for index in range(4)]
        pending = pending_set_ups(servers, opened)
        programs[0].process.terminate()
        programs[0].wait_for("told to end")
        for name, (server, wire) in pending.items():
            server.accept(wire, Message("", {"session": name}, b""))
        assert {read_answer(viewers[0]).session for _ in opened} == set(opened)
        assert programs[0].process.wait(TIMEOUT_S) == 0
        for index in (1, 2):
            ping_and_wait(viewers[index])  # no release came before this answer
            assert programs[index].terminate() == 0
    finally:
        for program in programs:
            program.process.kill()
            program.process.wait()
        for listener in (*servers, *logs):
            listener.stop()


@pytest.mark.herd
def test_two_hundred_cold_starts_within_a_second(tmp_path: Path) -> None:
    """Each starts, answers its first ping, and uses little memory; run alone, as it takes all cores."""
    server, log = FakeMediaServer("s-00000000"), FakeChangeLog()
    known = {"seq": 1, "results": [log.append_event([server.list_entry()], full=True)]}
    start, running = time.monotonic(), []
    try:
        for index in range(HERD):
            config = tmp_path / f"{index}.json"
            config.write_text(json.dumps(Program.configuration(f"n{index}", log, known)))
            running.append(
                subprocess.Popen(
                    [sys.executable, "-m", "cloverhinge", "serve"],
                    cwd=ROOT,
                    stderr=(tmp_path / f"{index}.log").open("wb"),
                    env={**os.environ, "LB_CONFIG": str(config)},
                )
            )
        first = [0.0] * HERD
        for index, _ in enumerate(running):
            first[index] = wait_until_up(tmp_path / f"{index}.log", start)
        peaks = [peak_mb(process.pid) for process in running]
        assert max(first) < HERD_WAIT_S and max(peaks) < START_MB, (max(first), max(peaks))
        print(f"all {HERD} answered after {max(first):.1f} s, {max(peaks):.0f} MB at most")
        for process in running:
            process.terminate()
        assert [process.wait(HERD_WAIT_S) for process in running] == [0] * HERD
    finally:
        for process in running:
            process.kill()
            process.wait()
        server.stop()
        log.stop()
