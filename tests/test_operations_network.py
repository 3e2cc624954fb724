"""The staff's door, maintenance and a new version under load: whole processes on loopback sockets."""

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
from cloverhinge.lab.harness import WAIT_S, ChangeLog, Message, Program, Pump, Wire, answer, ask
from cloverhinge.operations import console
from tests import guards

site = partial(harness.site, program=guards.router_command())
FIGURES = {"ok", "shed", "errors", "tries"}


def figures(program: Program) -> dict[str, int]:
    first, *told, last = program.call("stats")
    assert (first, last) == ("ACK", "--")
    return {name: int(value) for name, value in (line.split("=") for line in told)}


def played(viewer: Wire, number: int, title: str = "7f3a9c21e0b4d655") -> Message:
    ask(viewer, number, title=title)
    return answer(viewer)


def test_callers_are_answered_beside_those_who_say_nothing(tmp_path: Path) -> None:
    """Guards the door: more silent callers than it has places, broken ones, one that closes at once."""
    with site(tmp_path, operated=True) as (program, _, _log):
        held = [socket.create_connection(("127.0.0.1", program.mgmt)) for _ in range(40)]
        for one in held[::2]:
            one.sendall(b"stat")
        assert program.call("status") == ["ACK"]
        assert program.call("x" * 5000)[0].startswith("NAK")
        with socket.create_connection(("127.0.0.1", program.mgmt), WAIT_S) as link:
            link.sendall(b"status\n")
            link.shutdown(socket.SHUT_WR)
            assert link.makefile("rb").read() == b"ACK\n"
        assert [program.call(x)[0][:3] for x in ("maint-on s-77777777", "maint-off", "\0")] == ["NAK"] * 3
        for one in held:
            one.close()


def test_figures_follow_what_viewers_and_boxes_saw(tmp_path: Path) -> None:
    with site(tmp_path, operated=True) as (program, pumps, _):
        viewer = program.connect()
        for number in range(1, 6):
            assert played(viewer, number, f"title-{number}").status == 200
        for pump in pumps:
            pump.script = lambda wire, message: wire.send("RTSP/1.0 500 No", message.session)
        ask(viewer, 6, "paid", title="other")
        assert answer(viewer).status == 500
        told = figures(program)
        assert {name.split(".")[0] for name in told if "." in name} == FIGURES
        assert (told["ok.free"], told["errors.paid"], told["tries.paid"], told["shed.free"]) == (5, 1, 1, 0)
        assert told["tries.free"] == 5 and told["active"] == 5 and told["pool_size"] == 2


def test_a_box_left_out_gets_nothing_new_over_lists_and_sighup_until_it_is_put_back(tmp_path: Path) -> None:
    with site(tmp_path, operated=True) as (program, pumps, log):
        viewer = program.connect()
        assert program.call("maint-on s-00000000") == ["ACK"] == program.call("maint-on s-00000000")
        log.tell([pumps[0].row()])
        program.wait_for("list 2")
        program.reload(json.dumps(program.told))
        program.wait_for("read anew")
        for number in range(1, 9):
            assert played(viewer, number, f"title-{number}").status == 200
        assert not pumps[0].setups and len(pumps[1].setups) == 8 and figures(program)["pool_ejected"] == 1
        assert program.call("maint-off s-00000000") == ["ACK"]
        number = 9
        while not pumps[0].setups:  # cold: a few at a time
            assert played(viewer, number, f"title-{number}").status == 200 and number < 200
            number += 1
        assert figures(program)["pool_ejected"] == 0


def test_bans_outlive_a_crash_and_a_bad_file_takes_none_from_memory(tmp_path: Path) -> None:
    with site(tmp_path, operated=True) as (program, pumps, _):
        program.call("maint-on s-00000000")
        program.process.kill()
        program.process.wait()
        later = program.successor()
        try:
            viewer = later.connect()
            (file,) = tmp_path.glob("*-bans.json")
            file.write_text("{")
            later.wait_for("is no file of bans")
            for number in range(1, 5):
                assert played(viewer, number, f"title-{number}").status == 200
            assert not pumps[0].setups
            later.call("maint-on s-00000001")
            assert set(json.loads(file.read_text())["records"]) == {"s-00000000", "s-00000001"}
        finally:
            assert later.end() == 0


@contextmanager
def inherited(folder: Path, count: int = 2) -> Iterator[tuple[Program, list[Pump], ChangeLog]]:
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        site(folder, count, operated=True, listener=listener) as made,
    ):
        yield made


def ended(program: Program) -> None:
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(WAIT_S) == 0 and "Traceback" not in "".join(program.log)


def test_a_new_version_takes_over_and_no_request_is_lost_twice_and_back(tmp_path: Path) -> None:
    """Guards what the queue holds, what is open on the old process, and connections that come to rest."""
    with inherited(tmp_path, 1) as (old, pumps, _):
        number, first = 1, old
        resting = old.connect()
        assert played(resting, number).status == 200
        for _ in range(3):
            busy = old.connect()
            assert played(busy, 2000 + number).status == 200  # the old one has accepted it
            new = old.successor()
            assert new.call("status") == ["ACK"]
            pumps[0].script = pumps[0].hold
            open_one, session = ask(busy, 1000 + number, wait_ms=5000, title=f"open-{number}"), ""
            while session != open_one:
                wire, message = pumps[0].expect("SETUP")
                session = message.session
            old.process.send_signal(signal.SIGTERM)
            old.wait_for("told to end")
            assert resting.read() is None  # its end is announced at once: nothing was open on it
            assert old.call("status")[0].startswith("NAK")
            pumps[0].script = pumps[0].accept
            resting = new.connect()
            for _ in range(4):
                number += 1
                assert played(resting, number, f"title-{number}").status == 200
            wire.send("RTSP/1.0 200 OK", open_one, body=b"made")
            assert answer(busy).session == open_one and busy.read() is None
            assert old.process.wait(WAIT_S) == 0
            assert not list(tmp_path.glob(f"*-{old.process.pid}.*"))
            old = new
        ended(old)
        assert first.process.returncode == 0


def test_a_ban_called_at_the_new_process_binds_the_old_one_too(tmp_path: Path) -> None:
    with inherited(tmp_path) as (old, pumps, _):
        kept = old.connect()
        assert played(kept, 1).status == 200
        new = old.successor()
        assert new.call("maint-on s-00000000") == ["ACK"]
        old.wait_for("s-00000000: left out by hand")
        before = len(pumps[0].setups)
        for number in range(2, 8):
            assert played(kept, number, f"title-{number}").status == 200  # on a connection of the old one
        assert len(pumps[0].setups) == before and figures(old)["ok.free"] == 7
        ended(new)


def test_a_new_process_that_dies_leaves_the_old_one_alone_in_its_place(tmp_path: Path) -> None:
    with inherited(tmp_path) as (old, _, _log):
        new = old.successor()
        old.wait_for("another process serves")
        new.process.kill()
        new.process.wait()
        old.wait_for("no other process serves")
        viewer = old.connect()
        assert played(viewer, 1).status == 200 and old.call("status") == ["ACK"]


def test_a_new_process_that_never_says_yes_takes_nothing_from_the_old_one(tmp_path: Path) -> None:
    with inherited(tmp_path) as (old, _, log):
        log.serve = lambda wire: None  # type: ignore[method-assign]
        new = copy.copy(old)
        with pytest.raises(AssertionError):  # it waits for the list, and is stopped meanwhile
            new.wait_for = lambda pattern: stopped(new, pattern)  # type: ignore[method-assign]
            new._start()
        viewers = [old.connect() for _ in range(10)]
        for number, viewer in enumerate(viewers, 1):
            assert played(viewer, number, f"title-{number}").status == 200
        assert old.call("status") == ["ACK"] and figures(old)["ok.free"] == 10


def stopped(new: Program, pattern: str) -> re.Match[str]:
    """The first line that is waited for, then an end before the second."""
    told = Program.wait_for(new, pattern)
    new.mgmt = int(told[1])
    assert new.call("status") == ["NAK starting"]
    new.process.send_signal(signal.SIGSTOP)
    raise AssertionError("stopped")


def test_a_router_that_is_full_is_replaced_and_each_request_has_its_answer(tmp_path: Path) -> None:
    """Load that all boxes refuse, on connections old and new, before and after the old one is told to end."""

    def full(wire: Wire, message: Message) -> None:
        wire.send("RTSP/1.0 453 Not Enough Bandwidth", message.session, X_Circuits="x0:1.6;x1:1.2")

    with inherited(tmp_path, 2) as (old, pumps, _):
        for pump in pumps:
            pump.script, pump.load = full, "x0:1.6;x1:1.2"
        number, new = 0, old
        viewers = [old.connect() for _ in range(12)]
        for turn in range(3):
            for viewer in viewers:
                number += 1
                ask(viewer, number, title=f"title-{number % 5}")
            if turn == 0:
                new = old.successor()
                assert new.call("status") == ["ACK"]
            for viewer in viewers:
                assert answer(viewer).status in (453, 503)
            if turn == 1:
                old.process.send_signal(signal.SIGTERM)
                assert old.process.wait(WAIT_S) == 0
                viewers = [new.connect() for _ in range(12)]
        told = figures(new)
        assert old.process.returncode == 0 and told["shed.free"] >= 12 and told["active"] == 0
        ended(new)


def test_a_new_process_hears_what_changed_since_its_configuration_before_it_says_yes(tmp_path: Path) -> None:
    with inherited(tmp_path) as (old, pumps, log):
        log.tell([pumps[0].row("left")])
        old.wait_for("list 2")
        new = old.successor()
        old.process.send_signal(signal.SIGHUP)  # in the overlap
        old.wait_for("read anew")
        assert new.call("status") == ["ACK"] and figures(new)["pool_size"] == 1
        first = [word for line in new.log for word in ("list 2", "listening") if f" {word}" in line]
        assert first == ["list 2", "listening"]
        ended(new)


def test_the_admin_socket_and_the_console_speak_to_the_same_bans(tmp_path: Path) -> None:
    deploy = tmp_path / "site.toml"
    deploy.write_text('[admin]\nlisten = "127.0.0.1:0"\n')
    with site(tmp_path, operated=True, deploy=deploy) as (program, _, _log):
        where = "127.0.0.1", int(program.wait_for(r"admin on 127\.0\.0\.1:(\d+)")[1])
        assert console.ask(where, "maint-on s-00000000") == {"answer": "ACK"}
        assert figures(program)["pool_ejected"] == 1
        assert "LEFT OUT BY HAND  s-00000000" in console.render(console.fetch(where))
        assert console.ask(where, "maint-off s-9")["answer"].startswith("NAK")
        assert program.call("maint-off s-00000000") == ["ACK"]
        assert console.fetch(where)["operation"]["left_out"] == []


def test_a_descriptor_that_is_none_is_one_plain_sentence(tmp_path: Path) -> None:
    from cloverhinge import cli

    config = tmp_path / "config.json"
    config.write_text(json.dumps(Program.configuration("n0", ChangeLog(), {"seq": 0, "results": []})))
    before = dict(os.environ)
    try:
        os.environ |= {"LB_CONFIG": str(config), "LB_LISTEN_FD": "five"}
        assert cli.main(["check"]) == 2
    finally:
        os.environ.clear()
        os.environ.update(before)
