"""The watch on the list of media servers: silence, gaps, empty lists, and exhausted descriptors."""

from __future__ import annotations

import json
import resource
import threading
import time
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

import pytest

from cloverhinge.lab.harness import (
    TIMEOUT_S,
    FakeChangeLog,
    FakeMediaServer,
    RtspConnection,
    read_answer,
    running_program,
    send_set_up,
)

FAILED_CALL_LIMIT_S = (
    6.0  # after a failed call, an event counts as received this long after it could be reached
)
LIMIT_S = 4.0  # events that a silent log withholds count as received this long after its silence began
DRAIN_GRACE_S = 0.25


class Scripted(FakeChangeLog):
    """Sends nothing on a connection except what the test writes."""

    def serve(self, wire: RtspConnection) -> None:
        words = wire.reader.readline().split()
        if words:
            self.subscriptions.put((int(words[1]), wire))


class FaultyLog(FakeChangeLog):
    """Answers no call, or only with half a line, until `well` is set."""

    def __init__(self, port: int = 0, half_a_line: bool = False) -> None:
        self.half_a_line, self.well = half_a_line, threading.Event()
        super().__init__(port)

    def serve(self, connection: RtspConnection) -> None:
        if self.well.is_set():
            super().serve(connection)
        elif self.half_a_line and connection.reader.readline():
            with suppress(OSError):
                connection.sock.sendall(b'{"seq":2,"fl')


def line(value: Any) -> bytes:
    return json.dumps(value).encode() + b"\n"


def follower(log: FakeChangeLog) -> tuple[int, RtspConnection]:
    return log.subscriptions.get(timeout=TIMEOUT_S)


def served(client: RtspConnection, number: int, title: str) -> int:
    send_set_up(client, number, title=title)
    return read_answer(client).status


def test_a_log_that_is_silent_on_two_connections_is_connected_to_again_in_time(tmp_path: Path) -> None:
    """Silence begins with the last heartbeat; the third connection brings the event of a draining server."""
    with running_program(tmp_path, change_log=Scripted()) as (program, servers, log):
        _, first = follower(log)
        first.sock.sendall(line(1))
        began = time.monotonic()
        follower(log)  # sends nothing at all
        since, third = follower(log)
        third.sock.sendall(line(log.append_event([servers[0].list_entry("leaving")])))
        program.wait_for("list 2")
        assert since == 1 and time.monotonic() - began < LIMIT_S + DRAIN_GRACE_S


def test_events_missing_in_a_gap_are_requested_again(tmp_path: Path) -> None:
    """A later event and the heartbeat after it would otherwise hide the missing one permanently."""
    with running_program(tmp_path, change_log=Scripted()) as (program, servers, log):
        _, first = follower(log)
        missing, later = (
            log.append_event([servers[0].list_entry("leaving")]),
            log.append_event([servers[1].list_entry()]),
        )
        first.sock.sendall(line(later) + line(3))
        since, second = follower(log)
        assert since == 1
        second.sock.sendall(line(missing) + line(later) + line(3))
        program.wait_for("list 3")
        client = program.connect()
        assert [served(client, n, f"title-{n}") for n in range(1, 5)] == [200] * 4
        assert not servers[0].set_up_sessions


def test_a_log_that_has_lost_an_event_permanently_is_still_followed(tmp_path: Path) -> None:
    with running_program(tmp_path, change_log=Scripted()) as (program, servers, log):
        _, wire = follower(log)
        log.append_event([])
        later = log.append_event([servers[0].list_entry("leaving")])
        wire.sock.sendall(line(later))
        since, wire = follower(log)
        wire.sock.sendall(line(later) + line(3))
        program.wait_for("list 3")
        wire.sock.sendall(line(log.append_event([servers[0].list_entry()])))
        program.wait_for("list 4")
        assert since == 1 and log.subscriptions.empty()


def test_a_log_whose_heartbeat_is_ahead_of_its_events_is_reconnected_with_backoff(tmp_path: Path) -> None:
    """Each connection ends at the first heartbeat, so the delays between them have to grow."""

    class Ahead(FakeChangeLog):
        def serve(self, wire: RtspConnection) -> None:
            words = wire.reader.readline().split()
            self.subscriptions.put((int(words[1]), wire))
            with suppress(OSError):
                wire.sock.sendall(line(9))

    with running_program(tmp_path, change_log=Ahead()) as (_, _pumps, log):
        reconnections = [follower(log)[0] for _ in range(6)]
        began = time.monotonic()
        follower(log)
        assert reconnections == [1] * 6 and time.monotonic() - began > 0.6


def test_an_empty_full_list_stops_new_set_ups_and_ends_no_session(tmp_path: Path) -> None:
    """It may be a fault of the log, so sessions go on until another list arrives."""
    with running_program(tmp_path, 1, change_log=Scripted()) as (program, servers, log):
        _, wire = follower(log)
        client = program.connect()
        name = send_set_up(client, 1)
        assert read_answer(client).status == 200
        wire.sock.sendall(line(log.append_event([], full=True)))
        program.wait_for("list 2")
        send_set_up(client, 2)
        assert read_answer(client).status == 503 and len(servers[0].set_up_sessions) == 1
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        assert read_answer(client).status == 200  # no release came before it
        assert servers[0].expect("TEARDOWN")[1].session == name
        wire.sock.sendall(line(log.append_event([servers[0].list_entry()], full=True)))
        program.wait_for("list 3")
        assert served(client, 3, "another") == 200


def test_the_old_log_is_ignored_after_its_address_has_changed(tmp_path: Path) -> None:
    """An event that the old log sends after the configuration has changed is ignored."""
    with running_program(tmp_path, change_log=Scripted()) as (program, servers, log):
        _, first = follower(log)
        other = Scripted()
        program.reload(json.dumps({**program.initial_config, "changelog": other.address}))
        since, wire = follower(other)
        with suppress(OSError):
            first.sock.sendall(line(log.append_event([servers[0].list_entry("leaving")])))
        wire.sock.sendall(
            line(
                {
                    "seq": 2,
                    "fleet": {
                        "generation": 1,
                        "reset": False,
                        "instances": [servers[1].list_entry("leaving")],
                    },
                }
            )
        )
        program.wait_for("list 2")
        client = program.connect()
        assert since == 1 and served(client, 1, "title") == 200
        assert servers[0].set_up_sessions and not servers[1].set_up_sessions
        other.stop()


def test_idle_clients_with_every_descriptor_do_not_block_the_watch(tmp_path: Path) -> None:
    """The log is down while they connect; it is followed once it is back, and servers can be reached."""
    sockets = 64
    log = Scripted()
    with running_program(tmp_path, 1, change_log=log, sockets=sockets) as (program, (server,), _):
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        _, first = follower(log)
        with log.stopped(reset=True) as port:
            first.close()
            idle = [program.connect() for _ in range(2 * sockets)]
            back = Scripted(port)
        assert follower(back)[0] == 1
        client = program.connect()
        assert served(client, 1, "title") == 200 and server.set_up_sessions
        for connection in idle:
            connection.close()
        back.stop()


def test_a_server_that_leaves_and_another_at_its_address_are_distinct(tmp_path: Path) -> None:
    """Set-ups for the later server go to the same address under its own number."""
    with running_program(tmp_path, 1, change_log=Scripted()) as (program, (server,), log):
        _, wire = follower(log)
        client = program.connect()
        assert served(client, 1, "title") == 200
        later = FakeMediaServer("s-00000007", 0)
        later.address = server.address
        wire.sock.sendall(line(log.append_event([server.list_entry("left"), later.list_entry()])))
        assert read_answer(client, "TEARDOWN").headers["reason"] == "cause=41"
        assert served(client, 2, "title") == 200 and len(server.set_up_sessions) == 2
        later.stop()


# Guards against a watch that, after failed calls, takes longer than is allowed to learn of a drain.
@pytest.mark.parametrize("seconds", [0.4, 4.0])
@pytest.mark.parametrize("fault", ["refused", "silent", "stalled in a line"])
def test_a_drain_near_the_return_of_discovery_is_followed_in_time(
    tmp_path: Path, fault: str, seconds: float
) -> None:
    log: FakeChangeLog = FaultyLog(half_a_line=fault == "stalled in a line")
    with running_program(tmp_path, change_log=log) as (program, servers, _), ExitStack() as stack:
        port = stack.enter_context(log.stopped(reset=True)) if fault == "refused" else 0
        threading.Event().wait(seconds)  # the length of the fault
        drain = [servers[0].list_entry("leaving")]
        returned_s = time.monotonic()
        if fault == "refused":
            back = FakeChangeLog(port)
            stack.callback(back.stop)
            back.events = log.events
            back.append_event(drain)
        else:
            assert isinstance(log, FaultyLog)
            log.append_event(drain)
            log.well.set()
        program.wait_for("list 2")
        assert time.monotonic() - returned_s < FAILED_CALL_LIMIT_S
        client = program.connect()
        assert served(client, 1, "title") == 200
        assert not servers[0].set_up_sessions and len(servers[1].set_up_sessions) == 1
