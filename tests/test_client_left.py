"""A client that has closed its connection or cancelled its request has gone: no attempt begins after that.

Each test stops the program's process while the events arrive, so that it finds them in the bad order when it
goes on: the request, or the end of an earlier attempt, ahead of the word that the client has left.
"""

from __future__ import annotations

import queue
from pathlib import Path

import pytest

from cloverhinge.lab.harness import WAIT_S, Program, Pump, Wire, answer, ask, site

TEST = "OPTIONS rtsp://media/ping RTSP/1.0"
PUSHED = "00000000000000ff"  # session of a test that shows that all which came before it has been read


def warm(program: Program, pumps: list[Pump]) -> Wire:
    """A client whose set-up has left a connection to its server open: the next attempt leaves at once."""
    client = program.connect()
    ask(client, 1)
    assert answer(client).status == 200
    assert sum(len(pump.setups) for pump in pumps) == 1
    return client


def read_all(client: Wire) -> None:
    """Returns once the program has read what other clients sent before this call."""
    client.send(TEST, PUSHED, 3)
    while answer(client).session != PUSHED:
        pass


@pytest.mark.parametrize("how", ["closes", "resets", "cancels"])
def test_who_left_before_its_request_was_read_is_not_sent_on(tmp_path: Path, how: str) -> None:
    with site(tmp_path, 1) as (program, pumps, _):
        other, leaver = warm(program, pumps), program.connect()
        read_all(leaver)
        program.pause()
        name = ask(leaver, 2)
        if how == "cancels":
            leaver.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        else:
            leaver.close(reset=how == "resets")
        program.go_on()
        read_all(other)
        ask(other, 3)  # comes to the server behind an attempt for the one who left
        assert answer(other).status == 200
        assert pumps[0].setups == [f"{1:016x}", f"{3:016x}"]


def test_who_left_while_its_connection_waited_to_be_accepted_is_not_sent_on(tmp_path: Path) -> None:
    with site(tmp_path, 1) as (program, pumps, _):
        other = warm(program, pumps)
        program.pause()
        leaver = program.connect()
        ask(leaver, 2)
        leaver.close()
        program.go_on()
        read_all(other)
        ask(other, 3)
        assert answer(other).status == 200
        assert pumps[0].setups == [f"{1:016x}", f"{3:016x}"]


@pytest.mark.parametrize("how", ["closes", "cancels"])
def test_who_left_is_given_no_further_attempt(tmp_path: Path, how: str) -> None:
    """The refusal of the first attempt lies before the client's word in the program's sockets."""
    with site(tmp_path, 2) as (program, pumps, _):
        clients = [program.connect() for _ in range(5)]
        for number, client in enumerate(clients, 1):
            ask(client, number, title=f"title-{number}")
            assert answer(client).status == 200
        assert all(pump.setups for pump in pumps)  # connections to both stand open
        asked: queue.Queue[tuple[Pump, Wire]] = queue.Queue()
        for pump in pumps:
            pump.setups.clear()
            pump.script = lambda wire, _, pump=pump: asked.put((pump, wire))  # type: ignore[misc]
        leaver = program.connect()
        name = ask(leaver, 9, title="title-1")
        taker, wire = asked.get(timeout=WAIT_S)
        other = next(pump for pump in pumps if pump is not taker)
        program.pause()
        wire.send("RTSP/1.0 453 No", name)
        if how == "closes":
            leaver.close()
        else:
            leaver.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        program.go_on()
        read_all(clients[0])
        other.script = other.accept
        last = ask(clients[0], 10, dest=f"home:{other.cell};copies:1;top:1;viewer:00000000b4d65521")
        assert answer(clients[0]).status == 200
        assert (taker.setups, other.setups) == ([name], [last])


def test_a_session_handed_over_and_ended_at_once_is_released_at_its_server(tmp_path: Path) -> None:
    """Guards against taking its end for a cancellation of a request that nothing has been done for."""
    with site(tmp_path, 1) as (program, pumps, _):
        client = program.connect()
        program.pause()
        name = ask(client, 1, dest="home:0;copies:3;top:1;viewer:aa;at:s-00000000")
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        program.go_on()
        assert answer(client).status == 200
        assert pumps[0].expect("TEARDOWN")[1].session == name
