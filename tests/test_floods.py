"""Hundreds of requests at once on one connection delay others by a few of them, in bounded memory."""

from __future__ import annotations

from pathlib import Path
from typing import Any, cast

from cloverhinge.core.clock import ManualClock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import ClientPort, ServerPort, SetUpRequest
from cloverhinge.core.router import Router
from cloverhinge.lab.harness import read_answer, running_program, send_set_up
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.front import Front
from cloverhinge.rtsp.intake import QUEUED_BYTES_MOST, QUEUED_MOST, TURN_MS, Intake, Queue, SetUp
from tests.helpers import settings
from tests.test_rtsp import Transport

FLOOD = 200  # set-ups, as many as are read from one connection at once


def message(number: int, body: bytes = b"") -> SetUp:
    return SetUp(messages.Message("SETUP", "rtsp://media/x", 0, {"session": f"{number:016x}"}, body), 0.0)


def set_up(number: int) -> bytes:
    return messages.request(
        "SETUP",
        "rtsp://media/title",
        1,
        f"{number:016x}",
        {"X-Call-Class": "film", "X-Ring-Limit": "3000", "X-Dest": "home:0;copies:3;top:1"},
        b"v=0",
    )


class Asking:
    """A source whose set-ups take so long to begin."""

    cost_ms = 3.0

    def __init__(self, clock: ManualClock, name: str, count: int, took: list[str]) -> None:
        self.clock, self.name, self.took = clock, name, took
        self.queue = Queue()
        for number in range(count):
            self.queue.add(message(number))

    def begin(self, one: SetUp) -> None:
        self.took.append(self.name)
        self.clock.advance(self.cost_ms)


def test_a_usual_request_is_begun_before_the_rest_of_a_flood() -> None:
    """The flood has been read when the other request comes."""
    clock, begun = ManualClock(), list[str]()
    deadlines = Deadlines(clock)

    class Costly(Router):
        def open_request(self, ask: SetUpRequest, viewer: ClientPort, boxes: ServerPort) -> None:
            begun.append(ask.session_id)
            clock.advance(3.0)

    front = Front(Costly(settings(), 1, clock, deadlines), cast(ServerPort, None), clock, deadlines, most=4)
    lines = [front.buildProtocol(None) for _ in range(2)]
    for line in lines:
        cast(Any, line).makeConnection(cast(Any, Transport)())
    flooder, usual = lines
    assert flooder is not None and usual is not None
    flooder.dataReceived(b"".join(set_up(number) for number in range(FLOOD)))
    usual.dataReceived(set_up(FLOOD))
    for _ in range(2):
        deadlines.run()
    assert f"{FLOOD:016x}" in begun and len(begun) < 20
    while len(begun) <= FLOOD:
        deadlines.run()
    assert begun.count(f"{FLOOD:016x}") == 1


def test_a_flood_is_answered_whole(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, _, _log):
        flooder, client = program.connect(), program.connect()
        for number in range(1, 3 * FLOOD):
            send_set_up(flooder, number, title=f"title-{number}")
        name = send_set_up(client, 3 * FLOOD)
        assert read_answer(client).session == name
        assert {read_answer(flooder).status for _ in range(1, 3 * FLOOD)} <= {200, 503}


def test_sources_take_turns_and_a_turn_is_bounded() -> None:
    clock, took = ManualClock(), list[str]()
    deadlines = Deadlines(clock)
    intake = Intake(deadlines)
    flood, usual = Asking(clock, "flood", 50, took), Asking(clock, "usual", 1, took)
    intake.offer(flood)
    assert len(took) * flood.cost_ms <= TURN_MS + flood.cost_ms
    intake.offer(usual)
    intake.offer(usual)  # once, however often it is offered
    deadlines.run()
    assert "usual" in took[: len(took)] and took.index("usual") <= 6
    while len(took) < 51:
        deadlines.run()
    assert took.count("usual") == 1 and not len(deadlines)


def test_a_queue_is_bounded_by_set_ups_and_by_bytes_and_forgets_what_is_cancelled() -> None:
    queue = Queue()
    for number in range(QUEUED_MOST):
        assert not queue.full
        queue.add(message(number % 4))
    assert queue.full
    queue.cancel(f"{1:016x}")
    assert len(queue) == QUEUED_MOST * 3 // 4 and not queue.full
    queue.clear()
    queue.add(message(1, b"x" * QUEUED_BYTES_MOST))
    assert queue.full
    queue.next()
    assert not queue.full and not len(queue)


def test_a_cancellation_on_another_connection_finds_a_set_up_that_waits() -> None:
    clock, took = ManualClock(), list[str]()
    intake = Intake(Deadlines(clock))
    source = Asking(clock, "flood", 50, took)
    intake.offer(source)
    begun = len(took)
    intake.cancel(f"{49:016x}")
    intake.cancel(f"{begun:016x}")
    assert len(source.queue) == 50 - begun - 2
