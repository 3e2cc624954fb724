"""The watch on the list of servers: silence, gaps, empty lists, and descriptors that clients hold."""

from __future__ import annotations

import json
import resource
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from cloverhinge.lab.harness import WAIT_S, ChangeLog, Pump, Wire, answer, ask, site

TOLD_S = 4.0  # what a silent log has to tell counts as told so long after its silence began
DRAIN_GRACE_S = 0.25


class Scripted(ChangeLog):
    """Says nothing on a connection but what the test writes there."""

    def serve(self, wire: Wire) -> None:
        words = wire.file.readline().split()
        if words:
            self.followers.put((int(words[1]), wire))


def line(value: Any) -> bytes:
    return json.dumps(value).encode() + b"\n"


def follower(log: ChangeLog) -> tuple[int, Wire]:
    return log.followers.get(timeout=WAIT_S)


def served(client: Wire, number: int, title: str) -> int:
    ask(client, number, title=title)
    return answer(client).status


def test_a_log_that_stays_silent_on_two_connections_is_asked_a_third_time_in_time(tmp_path: Path) -> None:
    """Its silence begins with the last heartbeat; the third connection tells that a server drains."""
    with site(tmp_path, log=Scripted()) as (program, pumps, log):
        _, first = follower(log)
        first.sock.sendall(line(1))
        began = time.monotonic()
        follower(log)  # says nothing at all
        since, third = follower(log)
        third.sock.sendall(line(log.event([pumps[0].row("leaving")])))
        program.wait_for("list 2")
        assert since == 1 and time.monotonic() - began < TOLD_S + DRAIN_GRACE_S


def test_an_event_that_skips_a_number_is_asked_for_again(tmp_path: Path) -> None:
    """A later event and the heartbeat behind it would hide the missing one for good."""
    with site(tmp_path, log=Scripted()) as (program, pumps, log):
        _, first = follower(log)
        missing, later = log.event([pumps[0].row("leaving")]), log.event([pumps[1].row()])
        first.sock.sendall(line(later) + line(3))
        since, second = follower(log)
        assert since == 1
        second.sock.sendall(line(missing) + line(later) + line(3))
        program.wait_for("list 3")
        client = program.connect()
        assert [served(client, n, f"title-{n}") for n in range(1, 5)] == [200] * 4
        assert not pumps[0].setups


def test_a_log_that_has_lost_an_event_for_good_is_followed_all_the_same(tmp_path: Path) -> None:
    with site(tmp_path, log=Scripted()) as (program, pumps, log):
        _, wire = follower(log)
        log.event([])
        later = log.event([pumps[0].row("leaving")])
        wire.sock.sendall(line(later))
        since, wire = follower(log)
        wire.sock.sendall(line(later) + line(3))
        program.wait_for("list 3")
        wire.sock.sendall(line(log.event([pumps[0].row()])))
        program.wait_for("list 4")
        assert since == 1 and log.followers.empty()


def test_a_log_that_is_ahead_of_what_it_tells_is_not_called_without_pause(tmp_path: Path) -> None:
    """A heartbeat with a later number than any event: each call ends at once, so the pauses have to grow."""

    class Ahead(ChangeLog):
        def serve(self, wire: Wire) -> None:
            words = wire.file.readline().split()
            self.followers.put((int(words[1]), wire))
            with suppress(OSError):
                wire.sock.sendall(line(9))

    with site(tmp_path, log=Ahead()) as (_, _pumps, log):
        calls = [follower(log)[0] for _ in range(6)]
        began = time.monotonic()
        follower(log)
        assert calls == [1] * 6 and time.monotonic() - began > 0.6


def test_an_empty_whole_list_sends_nothing_new_and_ends_no_session(tmp_path: Path) -> None:
    """It may be a fault of the log, so what plays goes on until it is told again."""
    with site(tmp_path, 1, log=Scripted()) as (program, pumps, log):
        _, wire = follower(log)
        client = program.connect()
        name = ask(client, 1)
        assert answer(client).status == 200
        wire.sock.sendall(line(log.event([], full=True)))
        program.wait_for("list 2")
        ask(client, 2)
        assert answer(client).status == 503 and len(pumps[0].setups) == 1
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        assert answer(client).status == 200  # no release came before it
        assert pumps[0].expect("TEARDOWN")[1].session == name
        wire.sock.sendall(line(log.event([pumps[0].row()], full=True)))
        program.wait_for("list 3")
        assert served(client, 3, "another") == 200


def test_a_watch_that_comes_up_after_the_log_has_moved_is_not_listened_to(tmp_path: Path) -> None:
    """The old log takes no connection while the configuration moves; what it tells then is not taken."""
    with site(tmp_path, log=Scripted()) as (program, pumps, log):
        _, first = follower(log)
        other = Scripted()
        program.reload(json.dumps({**program.told, "changelog": other.address}))
        since, wire = follower(other)
        with suppress(OSError):
            first.sock.sendall(line(log.event([pumps[0].row("leaving")])))
        wire.sock.sendall(
            line(
                {"seq": 2, "fleet": {"generation": 1, "reset": False, "instances": [pumps[1].row("leaving")]}}
            )
        )
        program.wait_for("list 2")
        client = program.connect()
        assert since == 1 and served(client, 1, "title") == 200
        assert pumps[0].setups and not pumps[1].setups
        other.stop()


def test_idle_clients_that_hold_every_descriptor_keep_the_watch_from_nothing(tmp_path: Path) -> None:
    """Discovery is down while they come; it is followed at once when it is back, and servers are reached."""
    sockets = 64
    log = Scripted()
    with site(tmp_path, 1, log=log, sockets=sockets) as (program, (pump,), _):
        resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        _, first = follower(log)
        port = log.socket.getsockname()[1]
        log.stop(reset=True)
        first.close()
        idle = [program.connect() for _ in range(2 * sockets)]
        back = Scripted(port)
        assert follower(back)[0] == 1
        client = program.connect()
        assert served(client, 1, "title") == 200 and pump.setups
        for one in idle:
            one.close()
        back.stop()


def test_a_server_that_leaves_and_another_at_its_address(tmp_path: Path) -> None:
    """Both are known apart: what is sent to the later one comes to the same address under its own number."""
    with site(tmp_path, 1, log=Scripted()) as (program, (pump,), log):
        _, wire = follower(log)
        client = program.connect()
        assert served(client, 1, "title") == 200
        later = Pump("s-00000007", 0)
        later.address = pump.address
        wire.sock.sendall(line(log.event([pump.row("left"), later.row()])))
        assert answer(client, "TEARDOWN").headers["reason"] == "cause=41"
        assert served(client, 2, "title") == 200 and len(pump.setups) == 2
        later.stop()
