"""Shutdown until the kill: what arrives on open connections is answered before the process is killed.

The platform may kill a process `min(longest deadline, 3 s) + 0.7 s` after SIGTERM, and clients go on
sending on open connections until then.  A request is lost if its connection ends without an answer, except
for one that crossed the close of a connection within 50 ms, or that the kill found open if it came within
0.7 s after SIGTERM.
"""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from cloverhinge.lab.harness import (
    ROOT,
    SETTINGS,
    TIMEOUT_S,
    FakeChangeLog,
    Program,
    running_program,
    send_set_up,
)
from cloverhinge.shutdown_schedule import schedule_shutdown

MAX_COUNTED_DEADLINE_S = 3.0
KILL_AFTER_S = 0.7
NEW_REQUESTS_S = 0.7  # requests that came later than this after SIGTERM are lost if the kill finds them open
CROSSING_S = 0.05
DEADLINES_S = [(5.0, 3.0), (4.0, 3.0), (3.0, 2.5), (1.4, 1.0), (0.9, 0.7), (0.5, 0.5)]  # of `free` and `paid`
HUNG, QUICK = "home:0;copies:1;top:1", "home:1;copies:1;top:1"


def settings_with_deadlines(free_s: float, paid_s: float) -> dict[str, Any]:
    """The settings of the harness with other deadlines, and with room for all sessions.

    Each class aims at half of its deadline.
    """
    deadlines_s = {"free": free_s, "paid": paid_s}
    classes = [
        {
            **row,
            "hardLimitUs": int(deadlines_s[row["name"]] * 1e6),
            "aimUs": int(deadlines_s[row["name"]] * 5e5),
        }
        for row in SETTINGS["classes"]
    ]
    room = {"placesByKind": [10_000], "weightKb": 1e8, "rackLinkKb": 1e8}
    return {"classes": classes, "specifics": {**SETTINGS["specifics"], **room}}


@dataclass
class SentRequest:
    """A set-up that a client sent, and the status of its answer."""

    session: str
    class_name: str
    dest: str
    sent_s: float
    status: int = 0  # 0: no answer
    answered_s: float = 0.0


class SteadyClient:
    """A client that sends set-ups on one connection, one each `interval_s`, until the connection ends."""

    def __init__(self, program: Program, number: int, interval_s: float, wait_s: dict[str, float]) -> None:
        self.connection, self.number, self.interval_s = program.connect(), number, interval_s
        self.wait_s = wait_s
        self.requests: dict[str, SentRequest] = {}
        self.ended_s: float | None = None
        self._ended = threading.Event()
        self._threads = [threading.Thread(target=x, daemon=True) for x in (self._write, self._read)]

    def start(self) -> None:
        """Begin to send and to read."""
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Wait until the connection has ended."""
        for thread in self._threads:
            thread.join()
        self.connection.close()

    def _write(self) -> None:
        count = 0
        while not self._ended.wait(self.interval_s):
            count += 1
            class_name = "paid" if count % 2 else "free"
            dest = HUNG if count % 4 < 2 else QUICK
            session = f"{self.number * 1_000_000 + count:016x}"
            self.requests[session] = SentRequest(session, class_name, dest, time.monotonic())
            with suppress(OSError):  # closed by the program
                send_set_up(
                    self.connection,
                    int(session, 16),
                    class_name,
                    wait_ms=int(self.wait_s[class_name] * 1000),
                    dest=dest,
                    title=f"{self.number:08x}{count:08x}",
                )

    def _read(self) -> None:
        while (message := self.connection.read()) is not None:
            request = self.requests.get(message.session)
            if request is not None and message.status >= 200:
                assert request.status == 0, f"second answer to {request}"
                request.status, request.answered_s = message.status, time.monotonic()
        self.ended_s = time.monotonic()
        self._ended.set()

    def lost(self, killed: bool, terminated_s: float) -> list[SentRequest]:
        """The requests that were lost when the program ended."""
        assert self.ended_s is not None
        unanswered = [x for x in self.requests.values() if not x.status]
        if killed:
            return [x for x in unanswered if x.sent_s > terminated_s + NEW_REQUESTS_S]
        return [x for x in unanswered if x.sent_s < self.ended_s - CROSSING_S]


def earliest_kill_s(deadlines_s: tuple[float, float]) -> float:
    """The earliest time of SIGKILL after SIGTERM."""
    return min(max(deadlines_s), MAX_COUNTED_DEADLINE_S) + KILL_AFTER_S


def terminate_and_kill(program: Program, kill_s: float) -> tuple[float, bool]:
    """Send SIGTERM and, `kill_s` later, SIGKILL; return SIGTERM's time and whether SIGKILL was needed."""
    terminated_s = time.monotonic()
    program.process.send_signal(signal.SIGTERM)
    killer = threading.Timer(kill_s, program.process.kill)
    killer.start()
    code = program.process.wait()
    killer.cancel()
    return terminated_s, code == -signal.SIGKILL


def run_clients(
    folder: Path,
    deadlines_s: tuple[float, float],
    count: int = 3,
    interval_s: float = 0.05,
    before: Callable[[Program], None] = lambda program: None,
    **more: Any,
) -> tuple[list[SteadyClient], float, bool]:
    """Shut a program down while one of its two media servers hangs and clients go on sending.

    `before` is called right before SIGTERM.  Returns the clients, the time of SIGTERM, and whether the
    process had to be killed.
    """
    free_s, paid_s = deadlines_s
    settings = settings_with_deadlines(free_s, paid_s)
    with running_program(folder, 2, **settings, **more) as (program, servers, _):
        servers[0].on_set_up = servers[0].leave_unanswered
        wait_s = {"free": free_s, "paid": paid_s}
        clients = [SteadyClient(program, n + 1, interval_s, wait_s) for n in range(count)]
        for client in clients:
            client.start()
        servers[0].expect("SETUP")
        before(program)
        terminated_s, killed = terminate_and_kill(program, earliest_kill_s(deadlines_s))
        for client in clients:
            client.join()
        print("".join(program.log[-20:]))
        return clients, terminated_s, killed


# Guards against requests that are left with no answer when a stopping process is killed or ends by itself.
@pytest.mark.parametrize("deadlines_s", DEADLINES_S, ids=lambda x: f"{x[0]}-{x[1]}")
def test_no_request_on_a_connection_kept_busy_by_a_hung_server_is_lost_at_shutdown(
    tmp_path: Path, deadlines_s: tuple[float, float]
) -> None:
    clients, terminated_s, killed = run_clients(tmp_path, deadlines_s)
    assert_none_lost(clients, terminated_s, killed)


def assert_none_lost(clients: list[SteadyClient], terminated_s: float, killed: bool) -> None:
    lost = [x for client in clients for x in client.lost(killed, terminated_s)]
    assert not lost, f"{len(lost)} lost, killed: {killed}, first at {lost[0].sent_s - terminated_s:.3f} s"
    assert not killed


# Guards against requests lost on the connections of an old version that leaves its listener to a new one.
def test_no_request_is_lost_on_busy_connections_when_the_listener_is_left_to_another_process(
    tmp_path: Path,
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        clients, terminated_s, killed = run_clients(tmp_path, (1.4, 1.0), listener=listener)
        assert_none_lost(clients, terminated_s, killed)


# Guards against a shutdown that a new address of discovery, or further signals, upset.
def test_no_request_is_lost_when_signals_come_in_series(tmp_path: Path) -> None:
    moved = FakeChangeLog()

    def move_discovery_and_go_on(program: Program) -> None:
        later = (
            (0.03, signal.SIGHUP),
            (0.3, signal.SIGTERM),
            (0.9, signal.SIGHUP),
            (1.0, signal.SIGTERM),
            (1.5, signal.SIGHUP),
        )
        for delay_s, number in later:
            timer = threading.Timer(delay_s, program.process.send_signal, (number,))
            timer.daemon = True
            timer.start()
        program.reload(json.dumps({**program.initial_config, "changelog": moved.address}))

    try:
        clients, terminated_s, killed = run_clients(tmp_path, (3.0, 2.5), before=move_discovery_and_go_on)
        assert_none_lost(clients, terminated_s, killed)
    finally:
        moved.stop()


# Guards against requests lost, or a process that must be killed, while it has too little time for all.
def test_no_request_of_a_crowd_is_lost_at_shutdown(tmp_path: Path) -> None:
    clients, terminated_s, killed = run_clients(tmp_path, (1.4, 1.0), count=20, interval_s=0.01)
    assert_none_lost(clients, terminated_s, killed)


# Guards against a process that ignores SIGTERM, or fails, when the signal comes during its start.
@pytest.mark.parametrize("line", ["list 1", "RtspFrontend starting", "listening on"])
def test_sigterm_during_the_start_ends_the_process(tmp_path: Path, line: str) -> None:
    with running_program(tmp_path, 2) as (program, _, _log):
        command = [sys.executable, "-u", *program.arguments[1:]]
        process = subprocess.Popen(
            command, env=program.environment, stderr=subprocess.PIPE, text=True, cwd=ROOT
        )
        assert process.stderr is not None
        seen = ""
        while line not in seen:
            seen = process.stderr.readline()
            assert seen, "the process has ended"
        process.send_signal(signal.SIGTERM)
        rest = process.stderr.read()
        assert process.wait(TIMEOUT_S) == 0 and "Traceback" not in rest
        process.stderr.close()


# Guards against a signal that ends the process by its default action while the interpreter exits.
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_during_the_exit_has_no_effect(tmp_path: Path, number: signal.Signals) -> None:
    with running_program(tmp_path, 1) as (program, _, _log):
        program.process.send_signal(signal.SIGTERM)
        program.wait_for("Main loop terminated")
        while program.process.poll() is None:
            program.process.send_signal(number)
        assert program.process.returncode == 0


# Guards against a refusal, which says that nothing ran, of a paid set-up that may have run, before the kill.
def test_paid_set_ups_out_at_a_hung_server_fail_before_the_kill_and_repeatable_ones_are_refused(
    tmp_path: Path,
) -> None:
    clients, terminated_s, _ = run_clients(tmp_path, (5.0, 3.0))
    requests = [x for client in clients for x in client.requests.values() if x.dest == HUNG and x.status]
    attempted = [x for x in requests if x.answered_s - x.sent_s > 0.1]
    assert {x.status for x in attempted if x.class_name == "paid"} == {504}
    assert {x.status for x in attempted if x.class_name == "free"} == {503}
    assert all(x.answered_s - terminated_s < earliest_kill_s((5.0, 3.0)) for x in requests)


# Guards against a shutdown that keeps its promises by refusing what a media server could serve in time.
@pytest.mark.parametrize("deadlines_s", [(5.0, 3.0), (1.4, 1.0)], ids=lambda x: f"{x[0]}-{x[1]}")
def test_set_ups_for_a_quick_server_are_served_during_the_shutdown_as_before_it(
    tmp_path: Path, deadlines_s: tuple[float, float]
) -> None:
    clients, terminated_s, _ = run_clients(tmp_path, deadlines_s, interval_s=0.02)
    ends_s = {client.number: client.ended_s or 0.0 for client in clients}
    during = [
        x
        for client in clients
        for x in client.requests.values()
        if x.dest == QUICK and terminated_s < x.sent_s < ends_s[client.number] - CROSSING_S
    ]
    served = [x for x in during if x.status == 200 and x.answered_s - x.sent_s < 0.7]
    assert len(served) >= 0.95 * len(during), f"{len(served)} of {len(during)}"
    kill_s = earliest_kill_s(deadlines_s)
    assert max(x.sent_s for x in served) - terminated_s > kill_s - 0.5, "served until shortly before the kill"


# Guards against phases that end after the earliest kill, for whatever deadlines a deployment has.
@pytest.mark.parametrize("longest_ms", [100.0, 500.0, 900.0, 2999.0, 3000.0, 3001.0, 5000.0, 60_000.0])
def test_all_phases_of_a_shutdown_end_before_the_earliest_kill(longest_ms: float) -> None:
    schedule = schedule_shutdown(1000.0, longest_ms)
    assert schedule.kill_ms == 1000.0 + min(longest_ms, 3000.0) + 700.0
    assert 1000.0 < schedule.answer_until_ms < schedule.close_until_ms < schedule.exit_ms < schedule.kill_ms
    assert 1000.0 + 600.0 < schedule.accept_until_ms <= schedule.close_until_ms
    # What crosses the close of a connection may arrive 50 ms later.
    assert schedule.kill_ms - schedule.close_until_ms > 2 * 50.0
