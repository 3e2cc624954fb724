"""Many instances that do not communicate: independent decisions must add up.  Seeds are fixed."""

from __future__ import annotations

from typing import Any

import pytest

from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome
from cloverhinge.decision.logic import Controller
from cloverhinge.decision.rungs import RAISE_LOAD
from cloverhinge.decision.state import Limit
from tests.helpers import Driver, actions_of, only_set_up, settings


@pytest.mark.parametrize("fleet_size", [1, 3, 30, 200])
def test_one_own_session_counts_without_filling_an_idle_server(fleet_size: int) -> None:
    driver = Driver(settings(fleet_size=fleet_size, cells=120), servers=120)
    driver.report_load(10, link=0.0, uplink=0.0, streams=0.0)
    driver.now_us += 500_000
    driver.play(copies=1, ceiling=1)  # 200 of 1000
    load = driver.controller.load_of(driver.controller.fleet.servers[10].link)
    assert 0.2 <= load < 0.4
    if fleet_size == 3:
        assert load > 0.2  # peers are assumed to add something in the meantime


def cold_server_sends(fleet_settings: api.Settings, restart_listed: bool) -> list[int]:
    """Times after a server's start of the set-ups by 150 controllers with a request a second each."""
    drivers = [Driver(fleet_settings, seed, servers=1) for seed in range(150)]
    times, start = [], drivers[0].now_us + 20_000_000
    for driver in drivers:
        for second in range(20):  # the traffic before
            driver.controller.requests.add(driver.now_us + second * 1_000_000)
        if restart_listed:
            driver.now_us = start
            listing = api.ServerListing(10, 0, "z0", "box", started_us=start)
            driver.handle(api.FleetUpdate(api.ListKind.DELTA, (listing,)))
        else:  # inferred: a session that plays there is reset, and the server is suspect for a second
            session, _ = driver.request(ceiling=0, server=10)
            driver.now_us = start - 1_010_000
            driver.end_attempt(session, 10, Outcome.RESET, concluded=True)
    for second in range(10):
        for n, driver in enumerate(drivers):
            driver.now_us = start + second * 1_000_000 + n * 1_000_000 // 150
            times += [driver.now_us - start] * len(actions_of(api.SetUp, driver.request(ceiling=0)[1]))
    return times


@pytest.mark.parametrize("restart_listed", [True, False])
def test_150_controllers_do_not_overload_one_cold_server(restart_listed: bool) -> None:
    """20 places over 10 s from 0.4 on, 2.5 times that allowed: 2 a second at first, 5 at the end."""
    fleet_settings = settings(fleet_size=150, cells=1, racks=1, weight_kb=1e6, uplink_kb=1e6)
    times = cold_server_sends(fleet_settings, restart_listed)
    assert times, "a cold server is not left unused"
    for at in (x for x in times if x < 7_900_000):  # later windows reach into its warm time
        warmth = 0.4 + 0.6 * min(at, 10_000_000) / 10_000_000
        in_window = sum(1 for x in times if at <= x < at + 1_000_000)
        assert in_window <= 2.5 * (20 / 10) * warmth + 1


def test_without_the_draw_a_cold_server_is_overloaded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Controller, "wins_cold_draw", lambda *_: True)
    fleet_settings = settings(fleet_size=150, cells=1, racks=1, weight_kb=1e6, uplink_kb=1e6)
    assert len([x for x in cold_server_sends(fleet_settings, True) if x < 1_000_000]) > 50


def fleet_with_one_session_each(count: int, rung: int) -> list[Driver]:
    """Controllers that each took over one session at `rung`, on a link that all of them share."""
    fleet_settings = settings(fleet_size=count, weight_kb=400.0 * count, uplink_kb=4000.0 * count)
    drivers = [Driver(fleet_settings, seed, servers=1) for seed in range(count)]
    for driver in drivers:
        session, _ = driver.request(server=10)
        driver.handle(api.RungReported(session, 10, rung))
        driver.now_us += 7_000_000
    return drivers


def test_a_note_of_an_overloaded_link_makes_the_fleet_step_down_by_about_the_excess() -> None:
    drivers = fleet_with_one_session_each(200, 2)  # 200 sessions of 400 kB
    stepped = sum(len(actions_of(api.SetRung, driver.handle(api.LinkNote(1, 10, 1.2)))) for driver in drivers)
    excess = 200 * 400 * (1 - 0.98 / 1.2)
    assert 0.7 * excess < stepped * 200 < 1.3 * excess  # a step frees 200 kB


def test_a_probed_low_load_raises_sessions_by_the_own_share_only() -> None:
    """Guards against sessions left at a low rung where servers send no load notes."""
    raised_kb = 0
    for driver in fleet_with_one_session_each(200, 1):
        driver.report_load(10, link=0.5, uplink=0.1)
        raised_kb += 200 * len(actions_of(api.SetRung, driver.handle(api.TimerFired(0))))
        assert not actions_of(api.SetRung, driver.handle(api.TimerFired(0))), "once for each report"
    spare_kb = 200 * 200 * (RAISE_LOAD / 0.5 - 1)
    assert 0.7 * spare_kb < raised_kb < 1.3 * spare_kb


def test_a_note_of_a_low_load_raises_the_fleet_by_about_the_spare_capacity() -> None:
    drivers = fleet_with_one_session_each(200, 1)  # 200 sessions of 200 kB, load 0.5 of the link
    raised_kb = 0
    for driver in drivers:
        driver.handle(api.LinkNote(1, 10, 0.5))
        driver.handle(api.UplinkNote(1, 10, 0.1))
        raised_kb += 200 * len(actions_of(api.SetRung, driver.handle(api.TimerFired(0))))
    spare_kb = 200 * 200 * (RAISE_LOAD / 0.5 - 1)
    assert 0.7 * spare_kb < raised_kb < 1.3 * spare_kb


def test_a_report_to_one_instance_alone_causes_no_step() -> None:
    drivers = fleet_with_one_session_each(3, 2)
    assert not actions_of(api.SetRung, drivers[0].report_load(10, link=1.5))


def test_a_session_without_capacity_makes_own_sessions_step_down_for_peers() -> None:
    """In a large fleet the sessions that could free capacity are those of other instances."""
    stepped = 0
    for seed in range(40):
        driver = Driver(settings(fleet_size=100), seed)
        for one in driver.listings:
            driver.report_load(one.server, link=1.0, uplink=0.2)
        session, _ = driver.request("other", server=15)  # where the new session's title is not held
        driver.handle(api.RungReported(session, 15, 2))
        driver.now_us += 1_000_000
        for one in driver.listings:
            driver.report_load(one.server, link=1.0, uplink=0.2)
        driver.now_us += 500_000
        actions = driver.request("t", class_name="gold", copies=1)[1]
        assert actions_of(api.Refuse, actions)
        stepped += len(actions_of(api.SetRung, driver.log))  # at the report, or at the refusal
    assert 3 < stepped < 35  # with the probability of its share, not each time


def test_steps_that_earn_less_are_admitted_up_to_a_lower_load_in_a_large_fleet() -> None:
    rungs = {}
    for fleet_size in (1, 200):
        driver = Driver(settings(fleet_size=fleet_size))
        for one in driver.listings:
            driver.report_load(one.server, link=0.45, uplink=0.1)
        rungs[fleet_size] = max(a.rung for a in actions_of(api.SetRung, driver.request()[1]))
    assert rungs == {1: 2, 200: 1}


def test_a_probe_distinguishes_a_lost_answer_from_a_dead_server() -> None:
    for outcome in (Outcome.SERVED, Outcome.TIMEOUT):
        driver = Driver(settings(may_probe=True))
        for one in driver.listings:
            driver.report_load(one.server, link=0.1, uplink=0.1)
        session, actions = driver.request()
        home = only_set_up(actions).server
        actions = driver.end_attempt(session, home, Outcome.TIMEOUT)
        assert actions_of(api.Probe, actions) == [api.Probe(home)] and only_set_up(actions).server != home
        report = api.LoadReport(link=0.1) if outcome is Outcome.SERVED else None
        driver.handle(api.ProbeEnded(home, outcome, 0, report), 100_000)
        server = driver.controller.fleet.servers[home]
        works = outcome is Outcome.SERVED
        assert (driver.controller.warm_fraction(server) == 1.0) == works
        assert (server.suspect_until_us <= driver.now_us) == works


def test_a_paid_session_whose_answer_was_lost_fails_and_is_not_sent_again() -> None:
    driver = Driver(settings(may_probe=True))
    for one in driver.listings:
        driver.report_load(one.server, link=0.1, uplink=0.1)
    session, actions = driver.request(class_name="paid")
    home = only_set_up(actions).server
    answer = driver.end_attempt(session, home, Outcome.TIMEOUT)
    assert actions_of(api.Fail, answer) == [api.Fail(session)] and not actions_of(api.SetUp, answer)
    assert not actions_of(api.SetUp, driver.handle(api.ProbeEnded(home, Outcome.SERVED, 0, None), 100_000))


def test_a_slowing_server_loses_its_tokens_by_its_reported_load_before_it_dies() -> None:
    """A slowing server has less link capacity: its reported load grows until the admission test fails."""
    driver = Driver(settings(fleet_size=100))
    home = driver.play(ceiling=0)
    for one in driver.listings:
        driver.report_load(one.server, link=0.3, uplink=0.1)
    driver.now_us += 500_000
    for load in (0.6, 0.9, 1.4):
        driver.handle(api.LinkNote(1, home, load), 3_000_000)
    for one in driver.listings:
        if one.server != home:
            driver.report_load(one.server, link=0.3, uplink=0.1)
    assert only_set_up(driver.request(ceiling=0)[1]).server != home
    driver.end_attempt(1, home, Outcome.RESET, concluded=True)
    assert driver.controller.warm_fraction(driver.controller.fleet.servers[home]) < 1


def test_a_resumed_instance_respects_list_changes_seats_and_budget_in_its_backlog() -> None:
    fleet_settings = settings(may_probe=True, fleet_size=100, budget_free=1.0, budget_span_us=10_000_000)
    driver = Driver(fleet_settings)
    for one in driver.listings:
        driver.report_load(one.server, link=0.1, uplink=0.1)
    sessions = [driver.request(class_name="seated", ceiling=0)[0] for _ in range(2)]
    home = actions_of(api.SetUp, driver.log)[-1].server
    driver.now_us += 2_000_000  # the process is paused
    listing = next(one for one in driver.listings if one.server == home)
    gone = api.ServerListing(home, listing.cell, listing.zone, listing.kind, api.Health.DRAINING)
    mark = len(driver.log)
    driver.handle(api.FleetUpdate(api.ListKind.DELTA, (gone,)))
    for session in sessions:
        driver.handle(api.AttemptEnded(session, 0, home, Outcome.TIMEOUT, False))
    for _ in range(5):
        driver.request(class_name="seated", ceiling=0)
    backlog = driver.log[mark:]
    assert all(a.server != home for a in actions_of(api.SetUp, backlog))
    held = [x for x in driver.controller.sessions.values() if x.server]
    assert len(held) <= 2
    again = [a for a in actions_of(api.SetUp, backlog) if a.session in sessions]
    assert len(again) <= 1  # the budget
    answered = {a.session for a in actions_of(api.Refuse, backlog)} | {
        a.session for a in actions_of(api.SetUp, backlog)
    }
    waiting = {x.request.session for group in driver.controller.awaiting_probe.values() for x in group}
    assert answered | waiting >= set(sessions) | set(range(3, 8))


@pytest.mark.parametrize(
    "changes",
    [
        {"fleet_size": 1},
        {"fleet_size": 2, "self_index": 90},
        {"uplink_kb": 0.0},
        {"cold_us": 0},
        {"told_every_us": 0},
        {"places_by_kind": {}},
    ],
)
def test_unusual_but_legal_settings_and_loads_do_not_crash(changes: dict[str, Any]) -> None:
    driver = Driver(settings(may_probe=True, **changes))
    for n in range(60):
        session, actions = driver.request(f"t{n % 7}", ceiling=9)
        for probe in actions_of(api.Probe, actions):
            actions = driver.report_load(probe.server, link=0.0, uplink=0.0)
        for setup in actions_of(api.SetUp, actions):
            driver.handle(api.SessionStarted(setup.session, setup.server, 0), 20_000)
            driver.handle(api.LinkNote(setup.session, setup.server, n % 3 * 0.7))
            driver.handle(api.UplinkNote(setup.session, setup.server, 0.0))
            driver.handle(api.DeliveredShare(setup.session, setup.server, n % 4 * 0.5))
        driver.handle(api.TimerFired(0), 300_000)
    assert len(actions_of(api.SetUp, driver.log)) > 5


def test_the_work_for_a_request_does_not_grow_with_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """For a request, only loads of the title's own holders are estimated."""
    counts = {}
    plain = Controller.load_of
    for servers in (6, 600):
        looked: list[int] = []

        def counted(self: Controller, limit: Limit, looked: list[int] = looked) -> float:
            looked.append(1)
            return plain(self, limit)

        monkeypatch.setattr(Controller, "load_of", counted)
        driver = Driver(settings(cells=servers, racks=2, fleet_size=100), servers=servers)
        driver.request(copies=3)
        counts[servers] = len(looked)
    assert 0 < counts[600] <= counts[6] * 1.5


def test_many_instances_restarted_at_once_do_not_overload_a_cold_server_and_probe_first() -> None:
    """All start in the same second with a cached list, no known load and no traffic before."""
    fleet_settings = settings(fleet_size=150, cells=1, racks=1, weight_kb=1e6, uplink_kb=1e6)
    sends = 0
    for seed in range(150):
        driver = Driver(fleet_settings, seed, servers=1)
        listing = api.ServerListing(10, 0, "z0", "box", started_us=driver.now_us)
        driver.handle(api.FleetUpdate(api.ListKind.CACHED, (listing,)))
        sends += len(actions_of(api.SetUp, driver.request(ceiling=0)[1]))
    assert sends <= 2.5 * 20 / 10 * 0.4 + 1
    driver = Driver(settings(may_probe=True, fleet_size=150))
    actions = driver.request()[1]
    assert actions_of(api.Probe, actions) and not actions_of(api.SetUp, actions)
