"""The core without wire protocols: slots, deadlines, and the router's safety checks with fake ports."""

from __future__ import annotations

import random
from typing import Any

import pytest

from cloverhinge.core import invariants
from cloverhinge.core.clock import ManualClock, to_ms, to_us
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import Attempt, Cause, Presence, Request, SetUpRequest, State
from cloverhinge.core.router import ANSWER_MARGIN_MS, GIVE_UP_DELAY_MS, Router, SessionIdInUseError
from cloverhinge.core.slots import SlotTable
from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome
from tests.helpers import FILM, PAID, SEATED, settings


def test_times_convert_between_milliseconds_and_microseconds() -> None:
    assert to_us(1.5) == 1500 and to_ms(1500) == 1.5


def test_a_handle_of_a_removed_item_never_finds_the_next_item_of_its_slot() -> None:
    table: SlotTable[str] = SlotTable(2)
    first, second = table.put("a"), table.put("b")
    with pytest.raises(OverflowError):
        table.put("c")
    assert table.free(first) == "a" and table.free(first) is None
    third = table.put("c")
    assert third & 0xFFFFF == first & 0xFFFFF and table.get(first) is None
    assert (table.get(second), table.get(third), sorted(table)) == ("b", "c", ["b", "c"])
    assert table.get(12345) is None and len(table) == 2


def test_deadlines_run_in_order_and_once() -> None:
    clock, ran = ManualClock(0.0), list[int]()
    deadlines = Deadlines(clock)
    times = list(range(50))
    random.Random(1).shuffle(times)
    keys = {at: deadlines.schedule(at, lambda at=at: ran.append(at)) for at in times}  # type: ignore[misc]
    deadlines.cancel(keys[7])
    deadlines.cancel(keys[7])
    clock.advance(20)
    deadlines.run()
    deadlines.run()
    assert ran == [at for at in range(21) if at != 7] and len(deadlines) == 29


def test_a_deadline_that_schedules_itself_again_does_not_block_the_reactor() -> None:
    clock, ran = ManualClock(0.0), list[int]()
    deadlines = Deadlines(clock)

    def reschedule() -> None:
        ran.append(1)
        deadlines.after(0.0, reschedule)

    deadlines.after(0.0, reschedule)
    deadlines.run()
    assert len(ran) == 1


def test_one_timer_serves_all_deadlines() -> None:
    class Timer:
        def __init__(self, seconds: float) -> None:
            self.seconds, self.active = seconds, True

        def cancel(self) -> None:
            self.active = False

    timers: list[Timer] = []

    def call_later(seconds: float, _: Any) -> Timer:
        timers.append(Timer(seconds))
        return timers[-1]

    deadlines = Deadlines(ManualClock(0.0), call_later)
    late, early = deadlines.schedule(500.0, lambda: None), deadlines.schedule(100.0, lambda: None)
    assert [timer.seconds for timer in timers if timer.active] == [0.1]
    deadlines.cancel(early)
    assert [timer.seconds for timer in timers if timer.active] == [0.5]
    deadlines.cancel(late)
    assert not [timer for timer in timers if timer.active]


class Stand:
    """A router with a manual clock, and with ports that record their calls."""

    def __init__(self, servers: int = 3, **changes: Any) -> None:
        self.clock = ManualClock()
        self.deadlines = Deadlines(self.clock)
        self.router = Router(settings(**changes), 1, self.clock, self.deadlines)
        self.sent: list[Attempt] = []
        self.told: list[tuple[Any, ...]] = []
        self.listings = [api.ServerListing(10 + n, n, "z", "box") for n in range(servers)]
        self.router.update_fleet(api.ListKind.CACHED, self.listings)
        self.count = 0

    def take(self, class_name: str = "film", title: str = "t", wait_ms: float = 3000.0) -> Request:
        self.count += 1
        set_up = SetUpRequest(f"{self.count:016x}", class_name, title, 0, 6, 2, wait_ms)
        request = self.router.open_request(set_up, self, self)
        assert request is not None
        return request

    def pass_ms(self, ms: float) -> None:
        self.clock.advance(ms)
        self.deadlines.run()

    def told_of(self, server: int, health: api.Health) -> None:
        self.router.update_fleet(
            api.ListKind.DELTA, [api.ServerListing(server, server - 10, "z", "box", health)]
        )

    # ServerPort

    def set_up(self, attempt: Attempt) -> None:
        self.sent.append(attempt)
        self.told.append(("set up", attempt.server))

    def give_up(self, attempt: Attempt) -> None:
        self.told.append(("give up", attempt.server))

    def release(self, request: Request, cause: Cause) -> None:
        self.told.append(("release", cause))

    def set_rung(self, request: Request, rung: int) -> None:
        self.told.append(("rung", rung))

    # ClientPort

    def served(self, answer: bytes) -> None:
        self.told.append(("served", answer))

    def refused(self, retry_after_ms: float, reservation_token: str = "") -> None:
        self.told.append(("refused",))

    def failed(self, outcome: Outcome | None) -> None:
        self.told.append(("failed", outcome))

    def conflict(self) -> None:
        self.told.append(("conflict",))

    def released(self, cause: Cause) -> None:
        self.told.append(("released", cause))

    def presence(self) -> Presence:
        return Presence.PRESENT

    def left(self, may_have_run: bool) -> None: ...

    def moved(self) -> None:
        self.told.append(("moved",))

    def finals(self) -> list[str]:
        return [call[0] for call in self.told if call[0] in ("served", "refused", "failed")]


def test_an_established_session_is_released_once() -> None:
    harness = Stand()
    request = harness.take()
    assert harness.router.may_write(harness.sent[0]) and harness.router.answered(harness.sent[0], b"made")
    assert not harness.router.answered(harness.sent[0], b"made"), "a second answer is not accepted"
    assert harness.finals() == ["served"] and harness.router.open_requests == 0
    for _ in range(2):
        harness.router.session_ended(request, Outcome.SERVED)
    assert harness.told.count(("released", Cause.ENDED)) == 1 and not harness.router.established
    assert len(harness.router.requests) == 0 and not harness.router.by_session_id


@pytest.mark.parametrize("class_name,final", [("film", "refused"), ("paid", "failed")])
def test_a_request_is_answered_in_time_where_servers_are_silent(class_name: str, final: str) -> None:
    harness = Stand()
    request = harness.take(class_name)
    for _ in range(300):
        for attempt in harness.sent:
            harness.router.may_write(attempt)
        harness.pass_ms(10.0)
        if harness.finals():
            break
    assert harness.finals() == [final] and request.state is State.OVER
    assert harness.clock.now() <= request.received_ms + 3000.0 - ANSWER_MARGIN_MS + 10.0
    assert [call[0] for call in harness.told].count("set up") == [call[0] for call in harness.told].count(
        "give up"
    )
    assert class_name == "film" or len(harness.sent) == 1


def test_the_next_attempt_waits_until_the_give_up_has_arrived() -> None:
    """Otherwise a set-up could overtake the give-up on another connection, and two attempts would overlap."""
    harness = Stand()
    harness.take()
    harness.router.may_write(harness.sent[0])
    harness.pass_ms(harness.sent[0].until_ms - harness.clock.now())
    assert harness.told[-1] == ("give up", harness.sent[0].server) and len(harness.sent) == 1
    harness.pass_ms(GIVE_UP_DELAY_MS)
    assert len(harness.sent) == 2


def test_a_paid_set_up_that_was_not_written_is_tried_again() -> None:
    """An attempt that ends while it waits for a connection never ran; one that was written may have run."""
    harness = Stand()
    harness.take("paid")
    harness.router.attempt_ended(harness.sent[0], Outcome.CONNECT_FAILED)
    assert len(harness.sent) == 2
    harness.router.may_write(harness.sent[1])
    harness.router.attempt_ended(harness.sent[1], Outcome.RESET)
    assert len(harness.sent) == 2 and harness.finals() == ["failed"]


def test_a_server_that_drains_before_the_first_byte_gets_no_set_up() -> None:
    harness = Stand()
    harness.take("paid")
    first = harness.sent[0]
    harness.told_of(first.server, api.Health.DRAINING)
    assert not harness.router.may_write(first)
    assert [attempt.server == first.server for attempt in harness.sent] == [True, False]
    assert harness.router.may_write(harness.sent[1])


def test_a_viewer_that_leaves_gets_no_answer_and_its_attempt_is_given_up() -> None:
    harness = Stand()
    request = harness.take()
    harness.router.viewer_left(request)
    assert harness.finals() == [] and ("give up", harness.sent[0].server) in harness.told
    assert not harness.router.answered(harness.sent[0], b"late")
    harness.pass_ms(10_000.0)
    assert harness.finals() == [] and harness.router.open_requests == 0


def test_viewers_of_a_lost_server_are_told_that_their_sessions_ended() -> None:
    harness = Stand()
    harness.take()
    harness.router.answered(harness.sent[0], b"made")
    harness.told_of(harness.sent[0].server, api.Health.GONE)
    assert ("released", Cause.CUT) in harness.told and not harness.router.established


def test_safety_checks_assert_in_debug_builds_and_count_violations() -> None:
    harness = Stand(classes=(FILM, PAID, SEATED))
    request = harness.take("paid")
    harness.router.may_write(harness.sent[0])
    request.may_have_run = True
    with pytest.raises(AssertionError, match="one attempt out"):
        harness.router._set_up(request.handle, 11, 0)
    request.attempt = None
    with pytest.raises(AssertionError, match="paid set-up sent once"):
        harness.router._set_up(request.handle, 11, 0)
    with pytest.raises(AssertionError, match="refused only if"):
        harness.router._refuse(request.handle, 0.0)
    assert invariants.violations["paid set-up sent once"] == 1
    assert len(harness.sent) == 1 and harness.finals() == []


def test_pending_set_ups_count_towards_the_seats() -> None:
    harness = Stand(classes=(FILM, PAID, SEATED))
    for _ in range(3):
        harness.take("seated")
    assert len(harness.sent) == 2 and harness.finals() == ["refused"]


# Guards against a keyed request, which may be repeated anywhere, being failed where a refusal is allowed.
def test_a_keyed_request_of_all_servers_that_may_have_run_is_refused() -> None:
    keyed = api.ServiceClass("keyed", effect=api.Effect.BY_KEY, key_ttl_us=2_000_000)
    harness = Stand(servers=1, classes=(keyed,))
    request = harness.take("keyed")
    assert harness.router.may_write(harness.sent[0])
    harness.router.attempt_ended(harness.sent[0], Outcome.ERROR)
    assert request.state is State.OVER and harness.finals() == ["refused"]


# Guards against open requests that the end of the process leaves without an answer, or answers wrongly.
@pytest.mark.parametrize(
    "class_name,written,final",
    [
        ("film", True, "refused"),
        ("film", False, "refused"),
        ("paid", False, "refused"),
        ("paid", True, "failed"),
    ],
)
def test_open_requests_are_answered_at_the_end(class_name: str, written: bool, final: str) -> None:
    harness = Stand()
    request = harness.take(class_name)
    if written:
        assert harness.router.may_write(harness.sent[0])
    harness.router.answer_open_requests()
    assert request.state is State.OVER and harness.finals() == [final]
    assert ("give up", harness.sent[0].server) in harness.told
    assert not harness.router.open_requests and not harness.router.answered(harness.sent[0], b"late")
    harness.pass_ms(10_000.0)
    assert harness.finals() == [final]


# Guards against a request that is taken for longer than the process lives.
def test_requests_taken_during_a_shutdown_end_with_it() -> None:
    harness = Stand()
    harness.router.answer_until_ms = harness.clock.now() + 1000.0
    request = harness.take("paid", wait_ms=3000.0)
    assert request.expires_ms == harness.router.answer_until_ms
    assert harness.sent[0].until_ms <= harness.router.answer_until_ms
    harness.clock.advance(950.0)
    set_up = SetUpRequest("f" * 16, "film", "t", 0, 6, 2, 3000.0)
    assert harness.router.open_request(set_up, harness, harness) is None, "refused at once"
    assert harness.router.counters.refused == 1


# Guards against a request without an answer, or a broken invariant, where the process has too little time.
def test_a_request_is_failed_in_time_though_the_process_is_late() -> None:
    harness = Stand()
    request = harness.take("paid", wait_ms=3000.0)
    assert harness.router.may_write(harness.sent[0])
    before = dict(invariants.violations)
    harness.pass_ms(2980.0)  # the attempt's end and the request's are due in one turn
    assert request.state is State.OVER and harness.finals() == ["failed"]
    assert dict(invariants.violations) == before


# Guards against late calls that go unnoticed, and against prompt ones that are taken for late.
def test_a_late_call_is_noted_for_a_while() -> None:
    clock = ManualClock(0.0)
    deadlines = Deadlines(clock)
    for ms, late in ((5.0, False), (50.0, True)):
        deadlines.after(10.0, lambda: None)
        clock.advance(10.0 + ms)
        deadlines.run()
        assert deadlines.late_within(100.0) is late
    clock.advance(101.0)
    assert not deadlines.late_within(100.0)


# Guards against a seat and a load that stay taken after a request was answered late with an attempt out.
def test_a_request_that_is_failed_with_an_attempt_out_leaves_nothing_behind() -> None:
    harness = Stand()
    request = harness.take(SEATED.name)
    assert harness.router.may_write(harness.sent[0])
    harness.pass_ms(10_000.0)  # the ends of the attempt and of the request come in one late run
    assert request.state is State.OVER and harness.finals() == ["failed"]
    assert not harness.router.controller.sessions
    assert all(server.link.booked == 0.0 for server in harness.router.controller.fleet.servers.values())
    later = harness.take(SEATED.name)
    assert later.state is State.OPEN and len(harness.sent) == 2, "its seat is free"


@pytest.mark.parametrize("how", ["served and ended", "given up by its client", "failed"])
def test_paid_id_that_may_have_run_is_not_set_up_again(how: str) -> None:
    """Guards against a paid session that is set up twice, as its id came again after its client had left."""
    harness = Stand()
    request = harness.take("paid")
    attempt = harness.sent[0]
    assert harness.router.may_write(attempt)
    match how:
        case "served and ended":
            harness.router.answered(attempt, b"made")
            harness.router.session_ended(request, Outcome.SERVED)
        case "given up by its client":
            harness.router.viewer_left(request)
        case "failed":
            harness.router.attempt_ended(attempt, Outcome.RESET)
    for class_name in ("paid", "film"):
        harness.count = 0
        with pytest.raises(SessionIdInUseError):
            harness.take(class_name)
    assert len(harness.sent) == 1


def test_paid_id_that_never_ran_may_be_tried_again_and_a_full_table_refuses_new_ones() -> None:
    """Guards against ids that are kept for refusals, and paid ids that are forgotten when there are many."""
    harness = Stand()
    harness.router.conclude_unsent(harness.take("paid"))
    harness.count = 0
    request = harness.take("paid")
    harness.router.paid_ids.capacity = 1
    assert harness.router.may_write(harness.sent[-1])
    harness.router.viewer_left(request)
    set_up = SetUpRequest(f"{9:016x}", "paid", "t", 0, 6, 2, 3000.0)
    assert harness.router.open_request(set_up, harness, harness) is None
    harness.clock.advance(harness.router.paid_ids.ttl_ms)
    assert harness.router.open_request(set_up, harness, harness) is not None
