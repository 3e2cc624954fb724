"""A server that leaves the list, or comes back at another address, while something is out to it."""

from __future__ import annotations

import queue
from pathlib import Path
from typing import Any

from cloverhinge.lab.harness import WAIT_S, Message, Pump, Wire, answer, ask, site


class Mute(Pump):
    """Answers no test; says when a connection to it has ended."""

    def __init__(self, name: str, cell: int) -> None:
        self.ended: queue.Queue[Wire] = queue.Queue()
        self.tested: queue.Queue[tuple[Wire, str]] = queue.Queue()
        super().__init__(name, cell)

    def serve(self, wire: Wire) -> None:
        while message := wire.read():
            self._take(wire, message)
        self.ended.put(wire)

    def _take(self, wire: Wire, message: Message) -> None:
        if message.start.startswith("OPTIONS"):
            self.tested.put((wire, message.session))


def moved(pump: Pump) -> tuple[Pump, dict[str, Any]]:
    """A server under the same id at another address, and its row in the list."""
    other = Pump(pump.name, pump.cell)
    return other, other.row()


def test_an_attempt_is_given_up_on_the_connection_that_carries_it(tmp_path: Path) -> None:
    """Its late answer leaves a session that nobody owns, which has to be released where it stands."""
    with site(tmp_path, 1) as (program, (pump,), log):
        pump.script = pump.hold
        client = program.connect()
        name = ask(client, 1)
        wire, _ = pump.expect("SETUP")
        other, row = moved(pump)
        log.tell([row])
        program.wait_for("list 2")
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        assert answer(client).status == 200
        given_up = pump.expect("TEARDOWN")[1]
        assert given_up.session == name and "reason" not in given_up.headers
        wire.send("RTSP/1.0 200 OK", name, body=b"late")
        released = pump.expect("TEARDOWN")[1]
        assert (released.session, released.headers["reason"]) == (name, "cause=31")
        assert not other.setups and other.inbox.empty()
        other.stop()


def test_a_late_answer_of_a_delisted_server_is_released_there(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, (pump,), log):
        pump.script = pump.hold
        client = program.connect()
        name = ask(client, 1)
        wire, _ = pump.expect("SETUP")
        log.tell([pump.row("left")])
        program.wait_for("list 2")
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        assert answer(client).status == 200
        wire.send("RTSP/1.0 200 OK", name, body=b"late")
        assert [pump.expect("TEARDOWN")[1].headers.get("reason") for _ in range(2)] == [None, "cause=31"]


def test_a_test_that_is_out_to_a_server_which_moves_holds_no_connection(tmp_path: Path) -> None:
    """The connection to the old address is ended once the test has timed out."""
    mute = Mute("s-00000000", 0)
    with site(tmp_path, pumps=[mute], fleetSize=10) as (program, _, log):
        client = program.connect()
        ask(client, 1)
        wire, _ = mute.tested.get(timeout=WAIT_S)
        other, row = moved(mute)
        log.tell([row])
        assert mute.ended.get(timeout=WAIT_S) is wire
        other.stop()
