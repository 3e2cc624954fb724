"""What the whole fleet's days bring about, on one machine and without the bench."""

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

from cloverhinge.lab.harness import ROOT, WAIT_S, ChangeLog, Message, Program, Pump, Wire, answer, ask, site

HERD = 200  # routers that start at once, as on the whole fleet's days
HERD_WAIT_S = 120.0  # for all of them together, on a machine of a few cores
START_MB = 64.0  # with the pages that all share; what is its own is about half of it


def asked(wire: Wire) -> None:
    """A round trip: what the router has read before it has been handled."""
    wire.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
    assert answer(wire).session == "00000000000000aa"


def up(log: Path, began: float) -> float:
    """Seconds from `began` until the router of this log has answered a test."""
    while not (found := re.search(r"listening on 127\.0\.0\.1:(\d+)", log.read_text())):
        assert time.monotonic() - began < HERD_WAIT_S, log.read_text()
        os.sched_yield()
    wire = Wire(socket.create_connection(("127.0.0.1", int(found[1])), timeout=HERD_WAIT_S))
    asked(wire)
    wire.close()
    return time.monotonic() - began


def holding() -> list[Pump]:
    """Two boxes that leave set-ups unanswered, and hand them out together."""
    pumps = [Pump(f"s-{n:08x}", n) for n in range(2)]
    for pump in pumps:
        pump.inbox, pump.script = pumps[0].inbox, pump.hold
    return pumps


def held(pumps: list[Pump], names: list[str]) -> dict[str, tuple[Pump, Wire]]:
    """Where the set-ups of these sessions are, once each has come to a box."""
    found: dict[str, tuple[Pump, Wire]] = {}
    while len(found) < len(names):
        wire, message = pumps[0].inbox.get(timeout=WAIT_S)
        if message.session in names and message.start.startswith("SETUP"):
            found[message.session] = next(x for x in pumps if wire in x.wires), wire
    return found


def peak_mb(process: int) -> float:
    status = Path(f"/proc/{process}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM")) / 1024.0


@pytest.mark.parametrize("program", ["run", "sim"])
def test_what_the_build_leaves_is_all_that_a_start_reads(tmp_path: Path, program: str) -> None:
    """Guards 200 starts at once: compiling from source took two thirds of each."""
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
    seen = subprocess.run(
        [sys.executable, *flags, "-v", "-c", f"import {module}"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=True,
    ).stderr
    own = [line for line in seen.splitlines() if str(tmp_path) in line and "cloverhinge" in line]
    assert any("matches" in line for line in own)
    assert not [line for line in own if "code object from '" in line and line.rstrip("'").endswith(".py")]


def test_a_list_comes_late_and_another_box_has_the_address(tmp_path: Path) -> None:
    """Guards the old box's sessions, and the new one from releases of sessions that it never had."""
    with site(tmp_path, 1) as (program, pumps, log):
        viewer, old = program.connect(), pumps[0]
        stood = ask(viewer, 1)
        assert answer(viewer).status == 200
        port = old.address.partition(":")[2]
        old.stop(reset=True)
        new = Pump("s-000000aa", 0, int(port))
        assert new.address == old.address
        assert answer(viewer, "TEARDOWN").session == stood  # long before the list tells
        log.tell([old.row("left"), new.row()])
        program.wait_for("list 2")
        later = ask(viewer, 2, "paid")
        final = answer(viewer)
        assert (final.session, final.status, final.body) == (later, 200, b"made by s-000000aa")
        wire, message = new.expect("SETUP")
        assert message.session == later
        assert new.setups.count(later) == 1
        new.stop()


def test_sighup_moves_discovery_while_set_ups_are_out(tmp_path: Path) -> None:
    """Guards what is out: the new log's word holds for it, and its answers still reach their viewers."""
    with site(tmp_path, pumps=holding()) as (program, pumps, old):
        viewer, new = program.connect(), ChangeLog()
        names = [ask(viewer, 1, "paid", title="one"), ask(viewer, 2, "paid", title="two")]
        out = held(pumps, names)
        new.events = [*old.events, {"seq": 2, "fleet": {"instances": [pumps[0].row("leaving")]}}]
        program.reload(json.dumps({**program.told, "changelog": new.address}))
        program.wait_for("list 2")
        late = [ask(viewer, number, title=f"late-{number}") for number in range(3, 9)]
        for name, (pump, wire) in held(pumps, late).items():
            assert pump is pumps[1]
            pump.accept(wire, Message("", {"session": name}, b""))
        assert {answer(viewer).session for _ in late} == set(late)
        assert not set(pumps[0].setups) & set(late)
        for name in names:  # also at the box that was told to leave: it was sent before
            pump, wire = out[name]
            pump.accept(wire, Message("", {"session": name}, b""))
            final = answer(viewer)
            assert (final.session, final.status) == (name, 200)
        assert sum(pump.setups.count(name) for pump in pumps for name in names) == 2
        new.stop()


@pytest.mark.parametrize("class_name,tries", [("free", 2), ("paid", 1)])
def test_a_connection_reset_under_a_set_up(tmp_path: Path, class_name: str, tries: int) -> None:
    """Guards a paid set-up, which may have run; a free one is tried at another box."""
    with site(tmp_path) as (program, pumps, _):
        reset: list[str] = []

        def once(pump: Pump) -> Any:
            def script(wire: Wire, message: Message) -> None:
                if reset:
                    pump.accept(wire, message)
                else:
                    reset.append(message.session)
                    wire.close(reset=True)

            return script

        for pump in pumps:
            pump.script = once(pump)
        viewer = program.connect()
        name = ask(viewer, 1, class_name)
        final = answer(viewer)
        assert final.session == name and reset == [name]
        assert final.status == 200 if class_name == "free" else final.status in (500, 504)
        assert sum(len(pump.setups) for pump in pumps) == tries
        asked(viewer)  # and nothing more came


def test_who_comes_back_too_often_costs_no_box_anything(tmp_path: Path) -> None:
    """Guards full boxes from questions, and the router from its own refusals: each is answered at once."""
    with site(tmp_path, fleetSize=200) as (program, pumps, _):
        for pump in pumps:
            pump.load = "x0:1.3;x1:0.3"
        viewer, began = program.connect(), time.monotonic()
        for number in range(1, 301):
            name = ask(viewer, number, dest="home:0;copies:2;top:1;viewer:00000000b4d65521;again:1")
            final = answer(viewer)
            assert (final.session, final.status) == (name, 503) and int(final.headers["x-hold-off"]) > 0
        spent = time.monotonic() - began
        assert not any(pump.setups for pump in pumps)
        assert sum(pump.tests for pump in pumps) <= 2 * (2 + spent / 4.5 * 2)  # a load serves for 4.5 s


def test_a_tenth_of_the_routers_is_ended_and_the_others_go_on(tmp_path: Path) -> None:
    """Guards what stands elsewhere: a planned end answers what is open and takes down its own alone."""
    pumps, logs = holding(), [ChangeLog() for _ in range(3)]
    folders = [tmp_path / str(at) for at in range(3)]
    for folder in folders:
        folder.mkdir()
    programs = [Program(folder, pumps, log) for folder, log in zip(folders, logs, strict=True)]
    try:
        viewers = [program.connect() for program in programs]
        for at, viewer in enumerate(viewers):
            ask(viewer, 10 + at)
        stood = held(pumps, [f"{10 + at:016x}" for at in range(3)])
        for at, (name, (pump, wire)) in enumerate(sorted(stood.items())):
            pump.accept(wire, Message("", {"session": name}, b""))
            assert answer(viewers[at]).session == name
        opened = [ask(viewers[0], 20 + at, title=f"title-{at}") for at in range(4)]
        out = held(pumps, opened)
        programs[0].process.terminate()
        programs[0].wait_for("told to end")
        for name, (pump, wire) in out.items():
            pump.accept(wire, Message("", {"session": name}, b""))
        assert {answer(viewers[0]).session for _ in opened} == set(opened)
        assert programs[0].process.wait(WAIT_S) == 0
        for at in (1, 2):
            asked(viewers[at])  # no release came before this answer
            assert programs[at].end() == 0
    finally:
        for program in programs:
            program.process.kill()
            program.process.wait()
        for listener in (*pumps, *logs):
            listener.stop()


@pytest.mark.herd
def test_two_hundred_cold_starts_within_a_second(tmp_path: Path) -> None:
    """Each comes up, answers its first test, and holds little memory; run alone, as it takes all cores."""
    pump, log = Pump("s-00000000"), ChangeLog()
    known = {"seq": 1, "results": [log.event([pump.row()], full=True)]}
    began, running = time.monotonic(), []
    try:
        for at in range(HERD):
            config = tmp_path / f"{at}.json"
            config.write_text(json.dumps(Program.configuration(f"n{at}", log, known)))
            running.append(
                subprocess.Popen(
                    [sys.executable, "-m", "cloverhinge", "serve"],
                    cwd=ROOT,
                    stderr=(tmp_path / f"{at}.log").open("wb"),
                    env={**os.environ, "LB_CONFIG": str(config)},
                )
            )
        first = [0.0] * HERD
        for at, _ in enumerate(running):
            first[at] = up(tmp_path / f"{at}.log", began)
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
        pump.stop()
        log.stop()
