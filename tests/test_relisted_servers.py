"""A server that leaves the list, or comes back at another address, while something is out to it."""

from __future__ import annotations

import queue
from pathlib import Path
from typing import Any

from cloverhinge.lab.harness import (
    TIMEOUT_S,
    FakeMediaServer,
    Message,
    RtspConnection,
    read_answer,
    running_program,
    send_set_up,
)


class Mute(FakeMediaServer):
    """Answers no test; says when a connection to it has ended."""

    def __init__(self, name: str, cell: int) -> None:
        self.ended: queue.Queue[RtspConnection] = queue.Queue()
        self.tested: queue.Queue[tuple[RtspConnection, str]] = queue.Queue()
        super().__init__(name, cell)

    def serve(self, wire: RtspConnection) -> None:
        while message := wire.read():
            self._take(wire, message)
        self.ended.put(wire)

    def _take(self, wire: RtspConnection, message: Message) -> None:
        if message.start.startswith("OPTIONS"):
            self.tested.put((wire, message.session))


def moved(pump: FakeMediaServer) -> tuple[FakeMediaServer, dict[str, Any]]:
    """A server under the same id at another address, and its row in the list."""
    other = FakeMediaServer(pump.name, pump.cell)
    return other, other.list_entry()


def test_an_attempt_is_given_up_on_the_connection_that_carries_it(tmp_path: Path) -> None:
    """Its late answer leaves a session that nobody owns, which has to be released where it stands."""
    with running_program(tmp_path, 1) as (program, (pump,), log):
        pump.on_set_up = pump.leave_unanswered
        client = program.connect()
        name = send_set_up(client, 1)
        wire, _ = pump.expect("SETUP")
        other, row = moved(pump)
        log.publish([row])
        program.wait_for("list 2")
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        assert read_answer(client).status == 200
        given_up = pump.expect("TEARDOWN")[1]
        assert given_up.session == name and "reason" not in given_up.headers
        wire.send("RTSP/1.0 200 OK", name, body=b"late")
        released = pump.expect("TEARDOWN")[1]
        assert (released.session, released.headers["reason"]) == (name, "cause=31")
        assert not other.set_up_sessions and other.inbox.empty()
        other.stop()


def test_a_late_answer_of_a_delisted_server_is_released_there(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, (pump,), log):
        pump.on_set_up = pump.leave_unanswered
        client = program.connect()
        name = send_set_up(client, 1)
        wire, _ = pump.expect("SETUP")
        log.publish([pump.list_entry("left")])
        program.wait_for("list 2")
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        assert read_answer(client).status == 200
        wire.send("RTSP/1.0 200 OK", name, body=b"late")
        assert [pump.expect("TEARDOWN")[1].headers.get("reason") for _ in range(2)] == [None, "cause=31"]


def test_a_test_that_is_out_to_a_server_which_moves_holds_no_connection(tmp_path: Path) -> None:
    """The connection to the old address is ended once the test has timed out."""
    mute = Mute("s-00000000", 0)
    with running_program(tmp_path, servers=[mute], fleetSize=10) as (program, _, log):
        client = program.connect()
        send_set_up(client, 1)
        wire, _ = mute.tested.get(timeout=TIMEOUT_S)
        other, row = moved(mute)
        log.publish([row])
        assert mute.ended.get(timeout=TIMEOUT_S) is wire
        other.stop()
