"""The watch on the list of servers: silence, gaps, empty lists, and descriptors that clients hold."""

from __future__ import annotations

import json
import resource
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from cloverhinge.lab.harness import (
    TIMEOUT_S,
    FakeChangeLog,
    FakeMediaServer,
    RtspConnection,
    read_answer,
    running_program,
    send_set_up,
)

TOLD_S = 4.0  # what a silent log has to tell counts as told so long after its silence began
DRAIN_GRACE_S = 0.25


class Scripted(FakeChangeLog):
    """Says nothing on a connection but what the test writes there."""

    def serve(self, wire: RtspConnection) -> None:
        words = wire.reader.readline().split()
        if words:
            self.subscriptions.put((int(words[1]), wire))


def line(value: Any) -> bytes:
    return json.dumps(value).encode() + b"\n"


def follower(log: FakeChangeLog) -> tuple[int, RtspConnection]:
    return log.subscriptions.get(timeout=TIMEOUT_S)


def served(client: RtspConnection, number: int, title: str) -> int:
    send_set_up(client, number, title=title)
    return read_answer(client).status


def test_a_log_that_stays_silent_on_two_connections_is_asked_a_third_time_in_time(tmp_path: Path) -> None:
    """Its silence begins with the last heartbeat; the third connection tells that a server drains."""
    with running_program(tmp_path, change_log=Scripted()) as (program, pumps, log):
        _, first = follower(log)
        first.sock.sendall(line(1))
        began = time.monotonic()
        follower(log)  # says nothing at all
        since, third = follower(log)
        third.sock.sendall(line(log.append_event([pumps[0].list_entry("leaving")])))
        program.wait_for("list 2")
        assert since == 1 and time.monotonic() - began < TOLD_S + DRAIN_GRACE_S


def test_an_event_that_skips_a_number_is_asked_for_again(tmp_path: Path) -> None:
    """A later event and the heartbeat behind it would hide the missing one for good."""
    with running_program(tmp_path, change_log=Scripted()) as (program, pumps, log):
        _, first = follower(log)
        missing, later = (
            log.append_event([pumps[0].list_entry("leaving")]),
            log.append_event([pumps[1].list_entry()]),
        )
        first.sock.sendall(line(later) + line(3))
        since, second = follower(log)
        assert since == 1
        second.sock.sendall(line(missing) + line(later) + line(3))
        program.wait_for("list 3")
        client = program.connect()
        assert [served(client, n, f"title-{n}") for n in range(1, 5)] == [200] * 4
        assert not pumps[0].set_up_sessions


def test_a_log_that_has_lost_an_event_for_good_is_followed_all_the_same(tmp_path: Path) -> None:
    with running_program(tmp_path, change_log=Scripted()) as (program, pumps, log):
        _, wire = follower(log)
        log.append_event([])
        later = log.append_event([pumps[0].list_entry("leaving")])
        wire.sock.sendall(line(later))
        since, wire = follower(log)
        wire.sock.sendall(line(later) + line(3))
        program.wait_for("list 3")
        wire.sock.sendall(line(log.append_event([pumps[0].list_entry()])))
        program.wait_for("list 4")
        assert since == 1 and log.subscriptions.empty()


def test_a_log_that_is_ahead_of_what_it_tells_is_not_called_without_pause(tmp_path: Path) -> None:
    """A heartbeat with a later number than any event: each call ends at once, so the pauses have to grow."""

    class Ahead(FakeChangeLog):
        def serve(self, wire: RtspConnection) -> None:
            words = wire.reader.readline().split()
            self.subscriptions.put((int(words[1]), wire))
            with suppress(OSError):
                wire.sock.sendall(line(9))

    with running_program(tmp_path, change_log=Ahead()) as (_, _pumps, log):
        calls = [follower(log)[0] for _ in range(6)]
        began = time.monotonic()
        follower(log)
        assert calls == [1] * 6 and time.monotonic() - began > 0.6


def test_an_empty_whole_list_sends_nothing_new_and_ends_no_session(tmp_path: Path) -> None:
    """It may be a fault of the log, so what plays goes on until it is told again."""
    with running_program(tmp_path, 1, change_log=Scripted()) as (program, pumps, log):
        _, wire = follower(log)
        client = program.connect()
        name = send_set_up(client, 1)
        assert read_answer(client).status == 200
        wire.sock.sendall(line(log.append_event([], full=True)))
        program.wait_for("list 2")
        send_set_up(client, 2)
        assert read_answer(client).status == 503 and len(pumps[0].set_up_sessions) == 1
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        assert read_answer(client).status == 200  # no release came before it
        assert pumps[0].expect("TEARDOWN")[1].session == name
        wire.sock.sendall(line(log.append_event([pumps[0].list_entry()], full=True)))
        program.wait_for("list 3")
        assert served(client, 3, "another") == 200


def test_a_watch_that_comes_up_after_the_log_has_moved_is_not_listened_to(tmp_path: Path) -> None:
    """The old log takes no connection while the configuration moves; what it tells then is not taken."""
    with running_program(tmp_path, change_log=Scripted()) as (program, pumps, log):
        _, first = follower(log)
        other = Scripted()
        program.reload(json.dumps({**program.initial_config, "changelog": other.address}))
        since, wire = follower(other)
        with suppress(OSError):
            first.sock.sendall(line(log.append_event([pumps[0].list_entry("leaving")])))
        wire.sock.sendall(
            line(
                {
                    "seq": 2,
                    "fleet": {"generation": 1, "reset": False, "instances": [pumps[1].list_entry("leaving")]},
                }
            )
        )
        program.wait_for("list 2")
        client = program.connect()
        assert since == 1 and served(client, 1, "title") == 200
        assert pumps[0].set_up_sessions and not pumps[1].set_up_sessions
        other.stop()


def test_idle_clients_that_hold_every_descriptor_keep_the_watch_from_nothing(tmp_path: Path) -> None:
    """Discovery is down while they come; it is followed at once when it is back, and servers are reached."""
    sockets = 64
    log = Scripted()
    with running_program(tmp_path, 1, change_log=log, sockets=sockets) as (program, (pump,), _):
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        _, first = follower(log)
        port = log.socket.getsockname()[1]
        log.stop(reset=True)
        first.close()
        idle = [program.connect() for _ in range(2 * sockets)]
        back = Scripted(port)
        assert follower(back)[0] == 1
        client = program.connect()
        assert served(client, 1, "title") == 200 and pump.set_up_sessions
        for one in idle:
            one.close()
        back.stop()


def test_a_server_that_leaves_and_another_at_its_address(tmp_path: Path) -> None:
    """Both are known apart: what is sent to the later one comes to the same address under its own number."""
    with running_program(tmp_path, 1, change_log=Scripted()) as (program, (pump,), log):
        _, wire = follower(log)
        client = program.connect()
        assert served(client, 1, "title") == 200
        later = FakeMediaServer("s-00000007", 0)
        later.address = pump.address
        wire.sock.sendall(line(log.append_event([pump.list_entry("left"), later.list_entry()])))
        assert read_answer(client, "TEARDOWN").headers["reason"] == "cause=41"
        assert served(client, 2, "title") == 200 and len(pump.set_up_sessions) == 2
        later.stop()
