"""Sessions that end while two processes of a router run: the holder acts on what the other process hears."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest

from cloverhinge.lab import harness
from cloverhinge.lab.harness import (
    TIMEOUT_S,
    FakeMediaServer,
    Message,
    Program,
    RtspConnection,
    ping,
    read_answer,
    send_set_up,
)
from cloverhinge.operations.session_directory import SessionDirectory
from cloverhinge.operations.session_log import Ended, Established, Held, Over, SessionLog
from tests import guards

FIRST, SECOND = f"{1:016x}", f"{2:016x}"
RELEASE_LIMIT_S = 1.05  # by which a viewer has to be told of the end of its session


@dataclass
class Upgrade:
    """An old and a new process, each with one session at the same media server."""

    old: Program
    new: Program
    server: FakeMediaServer
    old_wire: RtspConnection  # of the media server, with the old process
    new_wire: RtspConnection
    old_viewer: RtspConnection
    new_viewer: RtspConnection

    def end_old(self) -> None:
        """Ask the old process to end, and wait until it has."""
        self.old.process.send_signal(signal.SIGTERM)
        assert self.old.process.wait(TIMEOUT_S) == 0


def set_up(program: Program, server: FakeMediaServer, number: int) -> tuple[RtspConnection, RtspConnection]:
    """Set a session up; returns the viewer's connection and the media server's."""
    made_on: list[RtspConnection] = []

    def accept(wire: RtspConnection, message: Message) -> None:
        made_on.append(wire)
        server.accept(wire, message)

    server.on_set_up = accept
    viewer = program.connect()
    ping(viewer)  # the process has accepted this connection
    send_set_up(viewer, number)
    assert read_answer(viewer).status == 200
    return viewer, made_on[0]


@contextmanager
def upgrade(folder: Path) -> Iterator[Upgrade]:
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        harness.running_program(
            folder, 1, program=guards.router_command(), operator_calls=True, listener=listener
        ) as (old, servers, _),
    ):
        old_viewer, old_wire = set_up(old, servers[0], 1)
        new = old.successor()
        try:
            assert new.operator_call("status") == ["ACK"]
            old.pause()  # so that the new process accepts the connection
            new_viewer, new_wire = set_up(new, servers[0], 2)
            old.resume()
            yield Upgrade(old, new, servers[0], old_wire, new_wire, old_viewer, new_viewer)
            assert new.terminate() == 0 and "Traceback" not in "".join(new.log)
        finally:
            new.process.kill()
            new.process.wait()


def release(wire: RtspConnection, session: str) -> None:
    """The media server releases a session; the acknowledgement is left unread."""
    wire.send("TEARDOWN rtsp://media/session RTSP/1.0", session, 2, Reason="cause=16")


def assert_told(viewer: RtspConnection, session: str) -> None:
    viewer.sock.settimeout(RELEASE_LIMIT_S)
    message = read_answer(viewer, "TEARDOWN")
    assert (message.session, message.headers["reason"]) == (session, "cause=16")
    viewer.sock.settimeout(TIMEOUT_S)


def await_acknowledgement(made: Upgrade) -> None:
    """Wait until the release of the first session is acknowledged."""
    _, message = made.server.expect("RTSP/1.0 200")
    while message.session != FIRST:
        _, message = made.server.expect("RTSP/1.0 200")


def hand_over(viewer: RtspConnection, number: int, server: str) -> None:
    send_set_up(viewer, number, dest=f"home:0;copies:3;top:1;viewer:1;at:{server}")


def test_release_at_the_new_process_is_told_to_the_viewer_of_the_old_one(tmp_path: Path) -> None:
    """Guards against a release that is acknowledged and dropped, as another process holds the session."""
    with upgrade(tmp_path) as made:
        release(made.new_wire, FIRST)
        assert_told(made.old_viewer, FIRST)


def test_release_at_the_old_process_is_told_to_the_viewer_of_the_new_one(tmp_path: Path) -> None:
    """Guards against the same loss in the other direction."""
    with upgrade(tmp_path) as made:
        release(made.old_wire, SECOND)
        assert_told(made.new_viewer, SECOND)


def test_release_for_a_viewer_without_a_connection_goes_to_the_new_process(tmp_path: Path) -> None:
    """Guards against a release that the ending process acknowledges with its viewers' connections closed."""
    with upgrade(tmp_path) as made:
        made.server.on_set_up = made.server.leave_unanswered
        waiting = send_set_up(made.old_viewer, 3, wait_ms=4000)  # keeps the old process from ending
        made.server.expect("SETUP")
        while made.server.set_up_sessions[-1] != waiting:
            made.server.expect("SETUP")
        made.old_viewer.close()
        made.old.process.send_signal(signal.SIGTERM)
        made.old.wait_for("told to end")
        release(made.old_wire, FIRST)
        assert_told(made.new_viewer, FIRST)


def test_teardown_at_the_new_process_ends_the_session_of_the_old_one(tmp_path: Path) -> None:
    """Guards against a TEARDOWN that is acknowledged while the media server goes on playing."""
    with upgrade(tmp_path) as made:
        made.new_viewer.send("TEARDOWN rtsp://media/session RTSP/1.0", FIRST, 2)
        assert read_answer(made.new_viewer).status == 200
        _, message = made.server.expect("TEARDOWN")
        assert message.session == FIRST


def test_teardown_before_the_hand_over_ends_the_session_that_the_old_process_left(tmp_path: Path) -> None:
    """Guards against a session that plays on, as its viewer ended it between the two processes."""
    with upgrade(tmp_path) as made:
        made.end_old()
        made.new_viewer.send("TEARDOWN rtsp://media/session RTSP/1.0", FIRST, 2)
        assert read_answer(made.new_viewer).status == 200
        _, message = made.server.expect("TEARDOWN")
        assert message.session == FIRST


def test_teardown_at_the_new_process_is_not_lost_with_an_old_one_that_is_killed(tmp_path: Path) -> None:
    """Guards against a session that plays on, as its process died before it read that the viewer had left."""
    with upgrade(tmp_path) as made:
        made.old.pause()
        made.new_viewer.send("TEARDOWN rtsp://media/session RTSP/1.0", FIRST, 2)
        assert read_answer(made.new_viewer).status == 200
        made.old.process.kill()
        made.old.process.wait()
        _, message = made.server.expect("TEARDOWN")
        assert message.session == FIRST


def test_session_released_before_its_hand_over_is_not_taken_over(tmp_path: Path) -> None:
    """Guards against a session that stands for good, as its release came before the hand-over."""
    with upgrade(tmp_path) as made:
        made.end_old()
        release(made.new_wire, FIRST)
        await_acknowledgement(made)
        hand_over(made.new_viewer, 1, made.server.name)
        assert_told(made.new_viewer, FIRST)


def test_session_handed_over_while_both_run_is_ended_once(tmp_path: Path) -> None:
    """Guards against two processes that both hold a session, of which one ends it at the media server."""
    with upgrade(tmp_path) as made:
        hand_over(made.new_viewer, 1, made.server.name)
        ping(made.new_viewer)
        made.old_viewer.close()
        made.end_old()
        release(made.new_wire, FIRST)
        assert_told(made.new_viewer, FIRST)


@pytest.mark.parametrize("hand_over_flag, holder", [(False, "a"), (True, "b")])
def test_directory_keeps_the_first_holder_unless_the_session_is_handed_over(
    hand_over_flag: bool, holder: str
) -> None:
    """Guards against two processes that take the same id at the same time."""
    directory = SessionDirectory()
    directory.apply(Held("a", FIRST, "paid", "title"))
    directory.apply(Held("b", FIRST, "paid", "title", hand_over=True))
    assert directory.holders[FIRST].process == "a", "its set-up is still open"
    directory.apply(Established("a", FIRST, 1))
    directory.apply(Held("b", FIRST, "paid", "title", hand_over=hand_over_flag))
    assert directory.holders[FIRST].process == holder
    directory.apply(Held("c", FIRST, "paid", "another title", hand_over=True))
    assert directory.holders[FIRST].process == holder


def test_log_is_compacted_only_while_no_other_process_has_it_open(tmp_path: Path) -> None:
    """Guards against entries that are lost in a file that another process has replaced."""
    first, second = SessionLog(tmp_path / "log"), SessionLog(tmp_path / "log")
    assert first.open() and second.open()
    assert first.append([Held("a", FIRST, "paid", "title")])
    assert not first.compact([])
    assert second.append([Over("b", SECOND)])
    (tmp_path / "log").open("ab").write(b"not an entry\n")
    assert [type(x) for x in first.read_new()] == [Held, Over]
    second.close()
    assert first.compact([Ended("a")])
    assert second.open() and second.read_new() == [Ended("a")] and first.read_new() == []


def set_up_paid(viewer: RtspConnection, number: int) -> int:
    send_set_up(viewer, number, "paid")
    return read_answer(viewer).status


@pytest.mark.parametrize("when", ["while both run", "after the old process has ended"])
def test_paid_id_of_the_old_process_is_not_set_up_again_by_the_new_one(tmp_path: Path, when: str) -> None:
    """Guards against a paid session that is played twice, as its client came again at an upgrade."""
    with upgrade(tmp_path) as made:
        made.server.on_set_up = made.server.accept
        assert set_up_paid(made.old_viewer, 7) == 200
        made.old_viewer.send("TEARDOWN rtsp://media/session RTSP/1.0", f"{7:016x}", 2)
        assert read_answer(made.old_viewer).status == 200
        if when == "after the old process has ended":
            made.old_viewer.close()
            made.end_old()
        assert set_up_paid(made.new_viewer, 7) == 455
        assert made.server.set_up_sessions.count(f"{7:016x}") == 1


@pytest.mark.parametrize("class_name", ["paid", "free"])
def test_id_that_is_open_at_the_old_process_is_in_use_at_the_new_one(tmp_path: Path, class_name: str) -> None:
    """Guards against one id that two processes set up at the same time."""
    with upgrade(tmp_path) as made:
        made.server.on_set_up = made.server.leave_unanswered
        session = send_set_up(made.old_viewer, 7, class_name, wait_ms=2000)
        while made.server.expect("SETUP")[1].session != session:
            pass
        send_set_up(made.new_viewer, 7, class_name)
        assert read_answer(made.new_viewer).status == 455
        assert made.server.set_up_sessions.count(session) == 1
