"""The program as a process, spoken to as viewers, pumps and the change log would."""

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

from cloverhinge.lab.harness import ROOT, WAIT_S, ChangeLog, Message, Pump, Wire, answer, ask, site
from tests import guards


def test_a_session_from_set_up_to_its_release(tmp_path: Path) -> None:
    with site(tmp_path) as (program, pumps, _):
        viewer = program.connect()
        viewer.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
        assert answer(viewer).status == 200
        name = ask(viewer, 1, body=b"a description\r\n")
        served = answer(viewer)
        taker = next(pump for pump in pumps if pump.setups)
        assert (served.status, served.session, served.body) == (200, name, b"made by " + taker.name.encode())
        wire, message = taker.expect("SETUP rtsp://media/7f3a9c21e0b4d655")
        assert message.body == b"a description\r\n" and message.headers["x-call-class"] == "free"
        assert message.headers["x-quality"] == "1"
        assert 0 < int(message.headers["x-ring-limit"]) < 3000
        wire.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2, Reason="cause=16", X_Circuits="x0:0.2;x1:0.1")
        assert answer(viewer, "TEARDOWN").headers["reason"] == "cause=16"
        # A pump sends its release again on the next connection; the viewer must not hear it twice.
        wire.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2, Reason="cause=16")
        taker.expect("RTSP/1.0 200")
        taker.expect("RTSP/1.0 200")
        viewer.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000ab", 3)
        assert answer(viewer).session == "00000000000000ab"


def refusal(status: int) -> Callable[[Wire, Message], None]:
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
    with site(tmp_path) as (program, pumps, _):
        for pump in pumps:
            pump.script = refusal(status)
        viewer = program.connect()
        ask(viewer, 1, class_name)
        final = answer(viewer)
        assert (final.status in (453, 454, 503)) is harmless and final.status > 299
        assert ("x-hold-off" in final.headers) is harmless
        assert sum(len(pump.setups) for pump in pumps) == tries


def test_a_refused_connection_lets_a_paid_set_up_go_elsewhere(tmp_path: Path) -> None:
    with site(tmp_path, 2) as (program, pumps, _):
        pumps[0].stop()
        viewer = program.connect()
        for number in range(1, 5):
            ask(viewer, number, "paid", title=f"title-{number}")
            assert answer(viewer).status == 200
        assert len(pumps[1].setups) == 4


@pytest.mark.parametrize("class_name", ["free", "paid"])
def test_a_silent_pump_costs_no_answer_and_no_second_paid_set_up(tmp_path: Path, class_name: str) -> None:
    with site(tmp_path, 1) as (program, pumps, _):
        pumps[0].script = pumps[0].hold
        viewer = program.connect()
        name = ask(viewer, 1, class_name, wait_ms=700)
        final = answer(viewer)
        assert final.status == (503 if class_name == "free" else 504) and len(pumps[0].setups) == 1
        wire, message = pumps[0].expect("TEARDOWN")
        assert "reason" not in message.headers  # given up
        # Its answer crosses the give-up: what stands for nobody is released.
        wire.send("RTSP/1.0 200 OK", name, body=b"late")
        assert pumps[0].expect("TEARDOWN")[1].headers["reason"] == "cause=31"


def test_a_viewer_that_gives_up_is_owed_nothing_and_its_attempt_ends(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, pumps, _):
        pumps[0].script = pumps[0].hold
        viewer, leaver = program.connect(), program.connect()
        name = ask(viewer, 1)
        pumps[0].expect("SETUP")
        viewer.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        assert answer(viewer).headers["cseq"] == "2"
        assert pumps[0].expect("TEARDOWN")[1].session == name
        other = ask(leaver, 2)
        pumps[0].expect("SETUP")
        leaver.close()  # the end of its connection gives an open set-up up too
        assert pumps[0].expect("TEARDOWN")[1].session == other


def test_a_pump_that_closes_every_connection_is_not_called_without_end(tmp_path: Path) -> None:
    """Guards against a loop of connections at the network's pace."""
    with site(tmp_path, 2) as (program, pumps, _):
        pumps[0].serve = lambda wire: wire.close()  # type: ignore[method-assign]
        for wire in pumps[0].wires:
            wire.close()
        viewer = program.connect()
        for number in range(1, 4):
            ask(viewer, number, title=f"title-{number}")
            assert answer(viewer).status in (200, 503)
        before = len(pumps[0].wires)
        program.end()
        assert len(pumps[0].wires) - before < 8  # in the 0.9 s that the end takes


def test_a_session_outlives_its_connections_and_ends_on_any(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, pumps, _):
        first, second = program.connect(), program.connect()
        names = [ask(first, number) for number in (1, 2)]
        assert {answer(first).status for _ in names} == {200}
        second.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
        assert answer(second).status == 200
        first.close()
        wire, _ = pumps[0].expect("SETUP")
        wire.send("TEARDOWN rtsp://media/x RTSP/1.0", names[0], 2, Reason="cause=41")
        assert answer(second, "TEARDOWN").session == names[0]
        second.send("TEARDOWN rtsp://media/x RTSP/1.0", names[1], 2, Reason="cause=31")
        assert answer(second).status == 200
        assert pumps[0].expect("TEARDOWN")[1].session == names[1]


def test_a_dead_pump_s_sessions_are_released_to_their_viewers(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, pumps, _):
        viewer = program.connect()
        name = ask(viewer, 1)
        assert answer(viewer).status == 200
        pumps[0].stop(reset=True)
        gone = answer(viewer, "TEARDOWN")
        assert (gone.session, gone.headers["reason"]) == (name, "cause=41")


def test_a_machine_that_vanishes_without_a_sign_loses_its_sessions(tmp_path: Path) -> None:
    """Guards against sessions left standing: its connections stay open and silent, new ones never come up."""
    with site(tmp_path, 1) as (program, pumps, _):
        viewer = program.connect()
        name = ask(viewer, 1)
        assert answer(viewer).status == 200
        pumps[0].socket.shutdown(socket.SHUT_RDWR)  # no more connections; the open ones stay
        started = time.monotonic()
        gone = answer(viewer, "TEARDOWN")
        assert (gone.session, gone.headers["reason"]) == (name, "cause=41")
        assert time.monotonic() - started < 8.0


def test_a_pump_that_takes_no_more_connections_keeps_its_sessions_for_a_while(tmp_path: Path) -> None:
    """Guards what a new version is handed: it has no line to a pump yet, and one that is full refuses too."""
    with site(tmp_path, 1, program=guards.router_command()) as (program, pumps, _):
        port = pumps[0].socket.getsockname()[1]
        pumps[0].stop()
        viewer = program.connect()
        name = ask(viewer, 1, dest="home:0;copies:3;top:1;viewer:aa;at:s-00000000")
        started = time.monotonic()
        gone = answer(viewer, "TEARDOWN")
        assert (gone.session, gone.headers["reason"]) == (name, "cause=41")
        assert 2.0 < time.monotonic() - started < 8.0
        again = ask(viewer, 2, dest="home:0;copies:3;top:1;viewer:aa;at:s-00000000")
        back = Pump("s-00000000", 0, port)  # a place is free again
        viewer.send("TEARDOWN rtsp://media/x RTSP/1.0", again, 2)
        assert answer(viewer).status == 200
        assert {back.expect("TEARDOWN")[1].session for _ in range(2)} == {name, again}
        back.stop()


def test_a_drained_pump_gets_nothing_new_and_a_carried_session_no_answer(tmp_path: Path) -> None:
    with site(tmp_path) as (program, pumps, log):
        viewer = program.connect()
        carried = ask(viewer, 1, dest="home:0;copies:3;top:1;viewer:aa;at:s-00000000")
        log.tell([pumps[0].row("leaving")])
        program.wait_for("changed")
        for number in range(2, 6):
            name = ask(viewer, number, title=f"title-{number}")
            assert answer(viewer).session == name
        assert not pumps[0].setups and len(pumps[1].setups) == 4
        log.tell([pumps[0].row("left")])
        assert answer(viewer, "TEARDOWN").session == carried


def test_the_change_log_is_resumed_after_the_last_event(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, pumps, log):
        since, wire = log.followers.get(timeout=WAIT_S)
        assert since == 1
        late = Pump("s-000000ff", 1)
        log.tell([late.row()])
        program.wait_for("changed")
        wire.close()
        assert log.followers.get(timeout=WAIT_S)[0] == 2
        log.beating = False  # silence is a missing heartbeat
        assert log.followers.get(timeout=WAIT_S)[0] == 2
        late.stop()


def test_sighup_follows_the_change_log_to_its_new_address(tmp_path: Path) -> None:
    """Guards against SIGHUP ending the program, and a wait for the old log, which stays open and silent."""
    with site(tmp_path, 1) as (program, pumps, old):
        viewer, new = program.connect(), ChangeLog()
        name = ask(viewer, 1)
        assert answer(viewer).status == 200 and old.followers.get(timeout=WAIT_S)[0] == 1
        told = json.dumps({**program.told, "changelog": new.address})
        for bad in (told[:-40], "", json.dumps({"changelog": new.address})):
            program.reload(bad)
            program.wait_for("keeps its configuration")
        old.tell([pumps[0].row()])  # still followed
        program.wait_for("list 2")
        new.events = [*old.events, {"seq": 3, "fleet": {"instances": [pumps[0].row("left")]}}]
        program.reload(told)
        program.process.send_signal(signal.SIGHUP)  # the same again changes nothing
        assert new.followers.get(timeout=WAIT_S)[0] == 2
        assert answer(viewer, "TEARDOWN").session == name  # what stood went on until the new log told
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGHUP)
        assert program.process.wait(WAIT_S) == 0
        new.stop()


def test_a_sighup_before_it_listens_is_heard_then(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, _, _log):
        pipe, held = tmp_path / "pipe", json.dumps({**program.told, "changelog": "127.0.0.1:1"})
        os.mkfifo(pipe)  # its start stands still until the configuration has been written
        late = subprocess.Popen(
            [sys.executable, "-m", "cloverhinge", "serve"],
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
            env={**os.environ, "LB_CONFIG": str(pipe)},
        )
        with pipe.open("w") as end:  # opens once the program reads
            late.send_signal(signal.SIGHUP)
            (tmp_path / "plain").write_text(held)
            (tmp_path / "plain").replace(pipe)
            end.write(held)
        assert late.stderr is not None
        assert any("read anew" in line for line in late.stderr)
        late.terminate()
        assert late.wait(WAIT_S) == 0


def test_sigterm_answers_what_was_taken_and_what_still_comes(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, pumps, _):
        pumps[0].script = pumps[0].hold
        viewer = program.connect()
        first = ask(viewer, 1)
        wire, _ = pumps[0].expect("SETUP")
        program.process.terminate()
        program.wait_for("told to end")
        late = program.connect()
        second = ask(late, 2)
        for name in (first, second):
            if name is second:
                pumps[0].expect("SETUP")
            wire.send("RTSP/1.0 200 OK", name, body=b"made")
        assert answer(viewer).session == first and answer(late).session == second
        assert program.process.wait(WAIT_S) == 0


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
def test_what_is_no_message_gets_an_error_and_a_close(tmp_path: Path, data: bytes) -> None:
    with site(tmp_path, 1) as (program, _, _log):
        viewer = program.connect()
        viewer.sock.sendall(data)
        assert answer(viewer).status in (400, 413, 505)
        assert viewer.read() is None
        other = program.connect()
        ask(other, 1)
        assert answer(other).status == 200


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
def test_a_set_up_that_makes_no_sense_fails_alone(tmp_path: Path, fields: dict[str, str]) -> None:
    with site(tmp_path, 1) as (program, pumps, _):
        viewer = program.connect()
        viewer.send("SETUP rtsp://media/x RTSP/1.0", "00000000000000aa", 1, b"", **fields)
        assert answer(viewer).status == 400 and not pumps[0].setups
        ask(viewer, 1)
        assert answer(viewer).status == 200


def test_notes_reach_the_module_and_malformed_ones_harm_nothing(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, pumps, _):
        viewer = program.connect()
        name = ask(viewer, 1)
        assert answer(viewer).status == 200
        wire, _ = pumps[0].expect("SETUP")
        wire.send("ANNOUNCE rtsp://media/x RTSP/1.0", name, 7, X_Why="delivered", X_Reading="oops")
        assert pumps[0].expect("RTSP/1.0 400")
        wire.send("ANNOUNCE rtsp://media/x RTSP/1.0", name, 7, X_Why="delivered", X_Reading="0.4")
        stepped = pumps[0].expect("SET_PARAMETER")[1]  # short of its rate, it steps down
        assert (stepped.session, stepped.headers["x-quality"]) == (name, "0")


def test_an_address_that_is_taken_is_one_plain_sentence_and_no_start(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, _, _log):
        told = json.loads((tmp_path / "config.json").read_text())
        told["listen"] = f"127.0.0.1:{program.port}"
        (tmp_path / "taken.json").write_text(json.dumps(told))
        done = subprocess.run(
            [sys.executable, "-m", "cloverhinge", "serve"],
            cwd=ROOT,
            text=True,
            capture_output=True,
            timeout=WAIT_S,
            env={**os.environ, "LB_CONFIG": str(tmp_path / "taken.json")},
        )
        assert done.returncode == 1 and "could not start" in done.stderr
        assert "Traceback" not in done.stderr


def test_a_bad_configuration_is_one_line_and_no_start(tmp_path: Path) -> None:
    from cloverhinge import config
    from cloverhinge.core.config_values import ConfigError

    (tmp_path / "config.json").write_text(json.dumps({"name": "n0"}))
    with pytest.raises(ConfigError, match="settings"):
        config.read(str(tmp_path / "config.json"))
