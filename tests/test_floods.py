"""A flood of set-ups on one connection delays others only by a few of them, and takes bounded memory."""

from __future__ import annotations

import threading
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

from cloverhinge.core.clock import ManualClock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import ClientPort, ServerPort, SetUpRequest
from cloverhinge.core.router import Router
from cloverhinge.lab.harness import read_answer, running_program, send_set_up
from cloverhinge.net.turns import MAX_TURN_MS
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.front import RtspFrontend
from cloverhinge.rtsp.intake import (
    MAX_QUEUED_BYTES,
    MAX_QUEUED_SET_UPS,
    ReceivedSetUp,
    SetUpQueue,
    SetUpScheduler,
)
from tests.helpers import settings
from tests.test_rtsp import Transport

FLOOD = 200  # set-ups, about as many as are read from one connection at once


def message(number: int, body: bytes = b"") -> ReceivedSetUp:
    return ReceivedSetUp(
        messages.Message("SETUP", "rtsp://media/x", 0, {"session": f"{number:016x}"}, body), 0.0
    )


def set_up(number: int, class_name: str = "film", title: str = "title") -> bytes:
    return messages.encode_request(
        "SETUP",
        f"rtsp://media/{title}",
        1,
        f"{number:016x}",
        {"X-Call-Class": class_name, "X-Ring-Limit": "3000", "X-Dest": "home:0;copies:3;top:1"},
        b"v=0",
    )


class SlowSource:
    """A source whose set-ups take `cost_ms` each to begin."""

    cost_ms = 3.0

    def __init__(self, clock: ManualClock, name: str, count: int, begun: list[str]) -> None:
        self.clock, self.name, self.begun = clock, name, begun
        self.queue = SetUpQueue()
        for number in range(count):
            self.queue.add(message(number))

    def begin(self, set_up: ReceivedSetUp) -> None:
        self.begun.append(self.name)
        self.clock.advance(self.cost_ms)

    def refuse(self, set_up: ReceivedSetUp) -> None:
        self.begun.append(f"{self.name} refused")


def test_a_normal_request_is_begun_before_the_rest_of_a_flood() -> None:
    """The whole flood has been read when the other request arrives."""
    clock, begun = ManualClock(), list[str]()
    deadlines = Deadlines(clock)

    class SlowRouter(Router):
        def open_request(self, ask: SetUpRequest, client: ClientPort, servers: ServerPort) -> None:
            begun.append(ask.session_id)
            clock.advance(3.0)

    front = RtspFrontend(
        SlowRouter(settings(), 1, clock, deadlines),
        cast(ServerPort, None),
        clock,
        deadlines,
        max_connections=4,
    )
    connections = [front.buildProtocol(None) for _ in range(2)]
    for connection in connections:
        cast(Any, connection).makeConnection(cast(Any, Transport)())
    flooding, normal = connections
    assert flooding is not None and normal is not None
    flooding.dataReceived(b"".join(set_up(number) for number in range(FLOOD)))
    normal.dataReceived(set_up(FLOOD))
    for _ in range(2):
        deadlines.run()
    assert f"{FLOOD:016x}" in begun and len(begun) < 20
    while len(begun) <= FLOOD:
        deadlines.run()
    assert begun.count(f"{FLOOD:016x}") == 1


def test_every_set_up_of_a_flood_is_answered(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, _, _log):
        flooding, client = program.connect(), program.connect()
        for number in range(1, 3 * FLOOD):
            send_set_up(flooding, number, title=f"title-{number}")
        name = send_set_up(client, 3 * FLOOD)
        assert read_answer(client).session == name
        assert {read_answer(flooding).status for _ in range(1, 3 * FLOOD)} <= {200, 503}


def test_set_ups_behind_much_other_input_are_answered(tmp_path: Path) -> None:
    """Guards against set-ups that are parsed from input read ahead, and never begun."""
    others, last = 20_000, 5
    options = messages.encode_request("OPTIONS", "rtsp://media/ping", 3, f"{0xFFFF:016x}")
    with running_program(tmp_path, 2) as (program, _, _log):
        client = program.connect()
        first = b"".join(set_up(number, "free") for number in range(1, 2 * FLOOD))
        later = b"".join(set_up(number, "free") for number in range(5000, 5000 + last))
        sender = threading.Thread(target=client.sock.sendall, args=(first + options * others + later,))
        sender.start()
        answered = set[str]()
        while len(answered) < 2 * FLOOD - 1 + last + 1:
            answer = client.read()
            assert answer is not None
            answered.add(answer.session)
        sender.join()


def test_sources_take_turns_and_a_turn_is_bounded() -> None:
    clock, begun = ManualClock(), list[str]()
    deadlines = Deadlines(clock)
    scheduler = SetUpScheduler(deadlines)
    flood, normal = SlowSource(clock, "flood", 50, begun), SlowSource(clock, "normal", 1, begun)
    scheduler.offer(flood)
    assert len(begun) * flood.cost_ms <= MAX_TURN_MS + flood.cost_ms
    scheduler.offer(normal)
    scheduler.offer(normal)  # once, however often it is offered
    deadlines.run()
    assert "normal" in begun[: len(begun)] and begun.index("normal") <= 6
    while len(begun) < 51:
        deadlines.run()
    deadlines.run()  # the iteration after the last set-up
    assert begun.count("normal") == 1 and not len(deadlines)


# Guards against an iteration of the reactor that begins a set-up of each of many connections, at any cost.
def test_the_turns_of_one_iteration_are_bounded_together() -> None:
    clock, begun = ManualClock(), list[str]()
    deadlines = Deadlines(clock)
    scheduler = SetUpScheduler(deadlines)
    for number in range(40):
        scheduler.offer(SlowSource(clock, str(number), 1, begun))
    assert len(begun) * SlowSource.cost_ms <= MAX_TURN_MS + SlowSource.cost_ms
    while len(begun) < 40:
        before = len(begun)
        deadlines.run()
        assert 0 < (len(begun) - before) * SlowSource.cost_ms <= MAX_TURN_MS + SlowSource.cost_ms
    assert begun == [str(number) for number in range(40)]


# Guards against set-ups that wait to be begun until their clients have stopped waiting.
def test_a_set_up_that_has_waited_for_nearly_all_of_its_time_is_refused_in_time() -> None:
    clock, begun = ManualClock(), list[str]()
    deadlines = Deadlines(clock)
    scheduler = SetUpScheduler(deadlines)
    slow = SlowSource(clock, "slow", 0, begun)
    for number in range(200):
        slow.queue.add(replace(message(number), read_ms=clock.now(), wait_ms=300.0))
    until_ms = clock.now() + 300.0
    scheduler.offer(slow)
    while len(begun) < 200:
        deadlines.run()
    assert clock.now() < until_ms
    assert 50 < begun.count("slow") < 80 and begun.count("slow refused") == 200 - begun.count("slow")


def test_a_queue_is_bounded_by_set_ups_and_by_bytes_and_drops_cancelled_ones() -> None:
    queue = SetUpQueue()
    for number in range(MAX_QUEUED_SET_UPS):
        assert not queue.full
        queue.add(message(number % 4))
    assert queue.full
    queue.cancel(f"{1:016x}")
    assert len(queue) == MAX_QUEUED_SET_UPS * 3 // 4 and not queue.full
    queue.clear()
    queue.add(message(1, b"x" * MAX_QUEUED_BYTES))
    assert queue.full
    queue.next()
    assert not queue.full and not len(queue)


def test_a_cancellation_on_another_connection_removes_a_queued_set_up() -> None:
    clock, begun = ManualClock(), list[str]()
    scheduler = SetUpScheduler(Deadlines(clock))
    source = SlowSource(clock, "flood", 50, begun)
    scheduler.offer(source)
    begun_count = len(begun)
    scheduler.cancel(f"{49:016x}")
    scheduler.cancel(f"{begun_count:016x}")
    assert len(source.queue) == 50 - begun_count - 2
