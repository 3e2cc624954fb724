"""The core without a wire: slots, deadlines, and the router's guards with stand-in ports."""

from __future__ import annotations

import random
from typing import Any

import pytest

from cloverhinge.core import invariants
from cloverhinge.core.clock import ManualClock, to_ms, to_us
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import Attempt, Cause, Presence, Request, SetUpRequest, State
from cloverhinge.core.router import ANSWER_MARGIN_MS, GIVE_UP_DELAY_MS, Router
from cloverhinge.core.slots import SlotTable
from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome
from tests.helpers import FILM, PAID, SEATED, settings


def test_the_clock_converts_at_the_module_only() -> None:
    assert to_us(1.5) == 1500 and to_ms(1500) == 1.5


def test_an_old_handle_never_finds_what_took_its_slot() -> None:
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


def test_a_deadline_that_arms_itself_anew_does_not_hold_the_reactor() -> None:
    clock, ran = ManualClock(0.0), list[int]()
    deadlines = Deadlines(clock)

    def again() -> None:
        ran.append(1)
        deadlines.after(0.0, again)

    deadlines.after(0.0, again)
    deadlines.run()
    assert len(ran) == 1


def test_one_timer_stands_for_all_deadlines() -> None:
    class Timer:
        def __init__(self, seconds: float) -> None:
            self.seconds, self.live = seconds, True

        def cancel(self) -> None:
            self.live = False

    timers: list[Timer] = []

    def call_later(seconds: float, _: Any) -> Timer:
        timers.append(Timer(seconds))
        return timers[-1]

    deadlines = Deadlines(ManualClock(0.0), call_later)
    late, early = deadlines.schedule(500.0, lambda: None), deadlines.schedule(100.0, lambda: None)
    assert [t.seconds for t in timers if t.live] == [0.1]
    deadlines.cancel(early)
    assert [t.seconds for t in timers if t.live] == [0.5]
    deadlines.cancel(late)
    assert not [t for t in timers if t.live]


class Stand:
    """A router with a clock that stands still, and ports that note what they are told."""

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
        ask = SetUpRequest(f"{self.count:016x}", class_name, title, 0, 6, 2, wait_ms)
        request = self.router.open_request(ask, self, self)
        assert request is not None
        return request

    def pass_ms(self, ms: float) -> None:
        self.clock.advance(ms)
        self.deadlines.run()

    def told_of(self, server: int, health: api.Health) -> None:
        self.router.update_fleet(
            api.ListKind.DELTA, [api.ServerListing(server, server - 10, "z", "box", health)]
        )

    # Boxes

    def set_up(self, attempt: Attempt) -> None:
        self.sent.append(attempt)
        self.told.append(("set up", attempt.server))

    def give_up(self, attempt: Attempt) -> None:
        self.told.append(("give up", attempt.server))

    def release(self, request: Request, cause: Cause) -> None:
        self.told.append(("release", cause))

    def set_rung(self, request: Request, rung: int) -> None:
        self.told.append(("rung", rung))

    # Viewer

    def served(self, answer: bytes) -> None:
        self.told.append(("served", answer))

    def refused(self, hold_off_ms: float, ticket: str = "") -> None:
        self.told.append(("refused",))

    def failed(self, why: Outcome | None) -> None:
        self.told.append(("failed", why))

    def released(self, cause: Cause) -> None:
        self.told.append(("released", cause))

    def presence(self) -> Presence:
        return Presence.PRESENT

    def left(self, may_have_run: bool) -> None: ...

    def moved(self) -> None:
        self.told.append(("moved",))

    def finals(self) -> list[str]:
        return [one[0] for one in self.told if one[0] in ("served", "refused", "failed")]


def test_a_session_that_stands_is_released_once() -> None:
    stand = Stand()
    request = stand.take()
    assert stand.router.may_write(stand.sent[0]) and stand.router.answered(stand.sent[0], b"made")
    assert not stand.router.answered(stand.sent[0], b"made"), "a second answer finds no attempt"
    assert stand.finals() == ["served"] and stand.router.open_requests == 0
    for _ in range(2):
        stand.router.session_ended(request, Outcome.SERVED)
    assert stand.told.count(("released", Cause.ENDED)) == 1 and not stand.router.established
    assert len(stand.router.requests) == 0 and not stand.router.by_session_id


@pytest.mark.parametrize("class_name,final", [("film", "refused"), ("paid", "failed")])
def test_silence_is_answered_within_the_viewer_s_time(class_name: str, final: str) -> None:
    stand = Stand()
    request = stand.take(class_name)
    for _ in range(300):
        for attempt in stand.sent:
            stand.router.may_write(attempt)
        stand.pass_ms(10.0)
        if stand.finals():
            break
    assert stand.finals() == [final] and request.state is State.OVER
    assert stand.clock.now() <= request.received_ms + 3000.0 - ANSWER_MARGIN_MS + 10.0
    assert [one[0] for one in stand.told].count("set up") == [one[0] for one in stand.told].count("give up")
    assert class_name == "film" or len(stand.sent) == 1


def test_the_next_attempt_waits_until_the_give_up_has_been_heard() -> None:
    """Guards against two attempts out at once, when a set-up overtakes the give-up on another connection."""
    stand = Stand()
    stand.take()
    stand.router.may_write(stand.sent[0])
    stand.pass_ms(stand.sent[0].until_ms - stand.clock.now())
    assert stand.told[-1] == ("give up", stand.sent[0].server) and len(stand.sent) == 1
    stand.pass_ms(GIVE_UP_DELAY_MS)
    assert len(stand.sent) == 2


def test_what_was_never_written_did_not_run() -> None:
    """Guards a paid set-up that waits for a connection: its time-out proves that it never ran."""
    stand = Stand()
    stand.take("paid")
    stand.router.attempt_ended(stand.sent[0], Outcome.CONNECT_FAILED)
    assert len(stand.sent) == 2
    stand.router.may_write(stand.sent[1])
    stand.router.attempt_ended(stand.sent[1], Outcome.RESET)
    assert len(stand.sent) == 2 and stand.finals() == ["failed"]


def test_a_drain_between_choice_and_first_byte_sends_nothing_there() -> None:
    stand = Stand()
    stand.take("paid")
    first = stand.sent[0]
    stand.told_of(first.server, api.Health.DRAINING)
    assert not stand.router.may_write(first)
    assert [one.server == first.server for one in stand.sent] == [True, False]
    assert stand.router.may_write(stand.sent[1])


def test_a_viewer_that_leaves_gets_nothing_and_its_attempt_is_given_up() -> None:
    stand = Stand()
    request = stand.take()
    stand.router.viewer_left(request)
    assert stand.finals() == [] and ("give up", stand.sent[0].server) in stand.told
    assert not stand.router.answered(stand.sent[0], b"late")
    stand.pass_ms(10_000.0)
    assert stand.finals() == [] and stand.router.open_requests == 0


def test_a_lost_server_s_sessions_are_released_to_their_viewers() -> None:
    stand = Stand()
    stand.take()
    stand.router.answered(stand.sent[0], b"made")
    stand.told_of(stand.sent[0].server, api.Health.GONE)
    assert ("released", Cause.CUT) in stand.told and not stand.router.established


def test_the_guards_count_in_release_builds_and_assert_in_debug_builds() -> None:
    stand = Stand(classes=(FILM, PAID, SEATED))
    request = stand.take("paid")
    stand.router.may_write(stand.sent[0])
    request.may_have_run = True
    with pytest.raises(AssertionError, match="one attempt out"):
        stand.router._set_up(request.handle, 11, 0)
    request.attempt = None
    with pytest.raises(AssertionError, match="paid set-up sent once"):
        stand.router._set_up(request.handle, 11, 0)
    with pytest.raises(AssertionError, match="refused only if"):
        stand.router._refuse(request.handle, 0.0)
    assert invariants.violations["paid set-up sent once"] == 1
    assert len(stand.sent) == 1 and stand.finals() == []


def test_seats_are_kept_with_set_ups_included() -> None:
    stand = Stand(classes=(FILM, PAID, SEATED))
    for _ in range(3):
        stand.take("seated")
    assert len(stand.sent) == 2 and stand.finals() == ["refused"]
