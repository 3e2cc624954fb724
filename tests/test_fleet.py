"""Many instances that cannot talk: what each decides alone has to add up.  Seeds are fixed."""

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
def test_one_own_session_neither_fills_an_idle_server_nor_counts_for_nothing(fleet_size: int) -> None:
    drive = Driver(settings(fleet_size=fleet_size, cells=120), servers=120)
    drive.report_load(10, link=0.0, uplink=0.0, streams=0.0)
    drive.now_us += 500_000
    drive.play(copies=1, ceiling=1)  # 200 of 1000
    load = drive.controller.load_of(drive.controller.fleet.servers[10].link)
    assert 0.2 <= load < 0.4
    if fleet_size == 3:
        assert load > 0.2  # peers are taken to add something in the meantime


def cold_server_sends(told: api.Settings, restart_told: bool) -> list[int]:
    """Times after its start at which 150 controllers, each asked once a second, set up at one cold server."""
    drives = [Driver(told, seed, servers=1) for seed in range(150)]
    times, start = [], drives[0].now_us + 20_000_000
    for drive in drives:
        for second in range(20):  # the traffic before
            drive.controller.requests.add(drive.now_us + second * 1_000_000)
        if restart_told:
            drive.now_us = start
            listing = api.ServerListing(10, 0, "z0", "box", started_us=start)
            drive.handle(api.FleetUpdate(api.ListKind.DELTA, (listing,)))
        else:  # supposed: a session that plays there is reset, and the server left alone for a second
            session, _ = drive.request(ceiling=0, server=10)
            drive.now_us = start - 1_010_000
            drive.end_attempt(session, 10, Outcome.RESET, concluded=True)
    for second in range(10):
        for n, drive in enumerate(drives):
            drive.now_us = start + second * 1_000_000 + n * 1_000_000 // 150
            times += [drive.now_us - start] * len(actions_of(api.SetUp, drive.request(ceiling=0)[1]))
    return times


@pytest.mark.parametrize("restart_told", [True, False])
def test_150_controllers_do_not_push_over_one_cold_server(restart_told: bool) -> None:
    """20 places over 10 s from 0.4 on, 2.5 times that allowed: 2 a second at first, 5 at the end."""
    told = settings(fleet_size=150, cells=1, racks=1, weight_kb=1e6, uplink_kb=1e6)
    times = cold_server_sends(told, restart_told)
    assert times, "a cold server is not left unused"
    for at in (x for x in times if x < 7_900_000):  # later windows reach into its warm time
        warmth = 0.4 + 0.6 * min(at, 10_000_000) / 10_000_000
        in_window = sum(1 for x in times if at <= x < at + 1_000_000)
        assert in_window <= 2.5 * (20 / 10) * warmth + 1


def test_the_stagger_is_what_holds_a_crowd_off_a_cold_server(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Controller, "wins_cold_draw", lambda *_: True)
    told = settings(fleet_size=150, cells=1, racks=1, weight_kb=1e6, uplink_kb=1e6)
    assert len([x for x in cold_server_sends(told, True) if x < 1_000_000]) > 50


def fleet_with_one_session_each(count: int, rung: int) -> list[Driver]:
    """Controllers with one carried session each, at `rung`, on a link that all of them share."""
    told = settings(fleet_size=count, weight_kb=400.0 * count, uplink_kb=4000.0 * count)
    drives = [Driver(told, seed, servers=1) for seed in range(count)]
    for drive in drives:
        session, _ = drive.request(server=10)
        drive.handle(api.RungReported(session, 10, rung))
        drive.now_us += 7_000_000
    return drives


def test_a_note_of_a_short_link_makes_the_fleet_step_down_by_about_the_excess() -> None:
    drives = fleet_with_one_session_each(200, 2)  # 200 sessions of 400 kB
    stepped = sum(len(actions_of(api.SetRung, drive.handle(api.LinkNote(1, 10, 1.2)))) for drive in drives)
    excess = 200 * 400 * (1 - 0.98 / 1.2)
    assert 0.7 * excess < stepped * 200 < 1.3 * excess  # a step frees 200 kB


def test_a_probed_report_of_room_raises_too_and_only_by_the_own_share() -> None:
    """Guards against sessions left at a low rung where the fleet sends no load notes, as on quiet days."""
    raised_kb = 0
    for drive in fleet_with_one_session_each(200, 1):
        drive.report_load(10, link=0.5, uplink=0.1)
        raised_kb += 200 * len(actions_of(api.SetRung, drive.handle(api.TimerFired(0))))
        assert not actions_of(api.SetRung, drive.handle(api.TimerFired(0))), "once for each report"
    room = 200 * 200 * (RAISE_LOAD / 0.5 - 1)
    assert 0.7 * room < raised_kb < 1.3 * room


def test_a_note_of_room_makes_the_fleet_rise_by_about_the_room() -> None:
    drives = fleet_with_one_session_each(200, 1)  # 200 sessions of 200 kB, load 0.5 of the link
    raised_kb = 0
    for drive in drives:
        drive.handle(api.LinkNote(1, 10, 0.5))
        drive.handle(api.UplinkNote(1, 10, 0.1))
        raised_kb += 200 * len(actions_of(api.SetRung, drive.handle(api.TimerFired(0))))
    room = 200 * 200 * (RAISE_LOAD / 0.5 - 1)
    assert 0.7 * room < raised_kb < 1.3 * room


def test_a_report_that_one_alone_hears_makes_no_step() -> None:
    drives = fleet_with_one_session_each(3, 2)
    assert not actions_of(api.SetRung, drives[0].report_load(10, link=1.5))


def test_a_newcomer_without_room_makes_own_sessions_step_down_for_peers() -> None:
    """At size the sessions that could make room are other instances' own."""
    stepped = 0
    for seed in range(40):
        drive = Driver(settings(fleet_size=100), seed)
        for one in drive.listings:
            drive.report_load(one.server, link=1.0, uplink=0.2)
        session, _ = drive.request("other", server=15)  # where the newcomer's title is not held
        drive.handle(api.RungReported(session, 15, 2))
        drive.now_us += 1_000_000
        for one in drive.listings:
            drive.report_load(one.server, link=1.0, uplink=0.2)
        drive.now_us += 500_000
        actions = drive.request("t", class_name="gold", copies=1)[1]
        assert actions_of(api.Refuse, actions)
        stepped += len(actions_of(api.SetRung, drive.log))  # when it heard of it, or now
    assert 3 < stepped < 35  # by the chance of its share, not each time


def test_steps_that_earn_less_are_admitted_up_to_a_lower_mark_in_a_large_fleet() -> None:
    rungs = {}
    for fleet_size in (1, 200):
        drive = Driver(settings(fleet_size=fleet_size))
        for one in drive.listings:
            drive.report_load(one.server, link=0.45, uplink=0.1)
        rungs[fleet_size] = max(a.rung for a in actions_of(api.SetRung, drive.request()[1]))
    assert rungs == {1: 2, 200: 1}


def test_an_answer_that_is_lost_is_told_from_a_dead_server_by_a_probe() -> None:
    for outcome in (Outcome.SERVED, Outcome.TIMEOUT):
        drive = Driver(settings(may_probe=True))
        for one in drive.listings:
            drive.report_load(one.server, link=0.1, uplink=0.1)
        session, actions = drive.request()
        home = only_set_up(actions).server
        actions = drive.end_attempt(session, home, Outcome.TIMEOUT)
        assert actions_of(api.Probe, actions) == [api.Probe(home)] and only_set_up(actions).server != home
        report = api.LoadReport(link=0.1) if outcome is Outcome.SERVED else None
        drive.handle(api.ProbeEnded(home, outcome, 0, report), 100_000)
        server = drive.controller.fleet.servers[home]
        works = outcome is Outcome.SERVED
        assert (drive.controller.warm_fraction(server) == 1.0) == works
        assert (server.suspect_until_us <= drive.now_us) == works


def test_a_paid_session_whose_answer_was_lost_fails_and_is_not_sent_again() -> None:
    drive = Driver(settings(may_probe=True))
    for one in drive.listings:
        drive.report_load(one.server, link=0.1, uplink=0.1)
    session, actions = drive.request(class_name="paid")
    home = only_set_up(actions).server
    answer = drive.end_attempt(session, home, Outcome.TIMEOUT)
    assert actions_of(api.Fail, answer) == [api.Fail(session)] and not actions_of(api.SetUp, answer)
    assert not actions_of(api.SetUp, drive.handle(api.ProbeEnded(home, Outcome.SERVED, 0, None), 100_000))


def test_a_slowing_server_loses_its_tokens_by_the_load_it_tells_before_it_dies() -> None:
    """A server that slows gives less link: the load told grows until the test fails, ahead of its crash."""
    drive = Driver(settings(fleet_size=100))
    home = drive.play(ceiling=0)
    for one in drive.listings:
        drive.report_load(one.server, link=0.3, uplink=0.1)
    drive.now_us += 500_000
    for load in (0.6, 0.9, 1.4):
        drive.handle(api.LinkNote(1, home, load), 3_000_000)
    for one in drive.listings:
        if one.server != home:
            drive.report_load(one.server, link=0.3, uplink=0.1)
    assert only_set_up(drive.request(ceiling=0)[1]).server != home
    drive.end_attempt(1, home, Outcome.RESET, concluded=True)
    assert drive.controller.warm_fraction(drive.controller.fleet.servers[home]) < 1


def test_a_woken_instance_heeds_a_list_change_seats_and_budget_in_its_pile() -> None:
    told = settings(may_probe=True, fleet_size=100, budget_free=1.0, budget_span_us=10_000_000)
    drive = Driver(told)
    for one in drive.listings:
        drive.report_load(one.server, link=0.1, uplink=0.1)
    sessions = [drive.request(class_name="seated", ceiling=0)[0] for _ in range(2)]
    home = actions_of(api.SetUp, drive.log)[-1].server
    drive.now_us += 2_000_000  # stands still
    listing = next(one for one in drive.listings if one.server == home)
    gone = api.ServerListing(home, listing.cell, listing.zone, listing.kind, api.Health.DRAINING)
    mark = len(drive.log)
    drive.handle(api.FleetUpdate(api.ListKind.DELTA, (gone,)))
    for session in sessions:
        drive.handle(api.AttemptEnded(session, 0, home, Outcome.TIMEOUT, False))
    for _ in range(5):
        drive.request(class_name="seated", ceiling=0)
    pile = drive.log[mark:]
    assert all(a.server != home for a in actions_of(api.SetUp, pile))
    held = [x for x in drive.controller.sessions.values() if x.server]
    assert len(held) <= 2
    again = [a for a in actions_of(api.SetUp, pile) if a.session in sessions]
    assert len(again) <= 1  # the budget
    answered = {a.session for a in actions_of(api.Refuse, pile)} | {
        a.session for a in actions_of(api.SetUp, pile)
    }
    waiting = {x.request.session for group in drive.controller.awaiting_probe.values() for x in group}
    assert answered | waiting >= set(sessions) | set(range(3, 8))


@pytest.mark.parametrize(
    "odd",
    [
        {"fleet_size": 1},
        {"fleet_size": 2, "self_index": 90},
        {"uplink_kb": 0.0},
        {"cold_us": 0},
        {"told_every_us": 0},
        {"places_by_kind": {}},
    ],
)
def test_odd_but_legal_settings_and_loads_do_not_crash(odd: dict[str, Any]) -> None:
    drive = Driver(settings(may_probe=True, **odd))
    for n in range(60):
        session, actions = drive.request(f"t{n % 7}", ceiling=9)
        for probe in actions_of(api.Probe, actions):
            actions = drive.report_load(probe.server, link=0.0, uplink=0.0)
        for setup in actions_of(api.SetUp, actions):
            drive.handle(api.SessionStarted(setup.session, setup.server, 0), 20_000)
            drive.handle(api.LinkNote(setup.session, setup.server, n % 3 * 0.7))
            drive.handle(api.UplinkNote(setup.session, setup.server, 0.0))
            drive.handle(api.DeliveredShare(setup.session, setup.server, n % 4 * 0.5))
        drive.handle(api.TimerFired(0), 300_000)
    assert len(actions_of(api.SetUp, drive.log)) > 5


def test_the_work_for_a_request_does_not_grow_with_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Loads judged for a request are those of the title's own holders."""
    counts = {}
    plain = Controller.load_of
    for servers in (6, 600):
        looked: list[int] = []

        def counted(self: Controller, limit: Limit, looked: list[int] = looked) -> float:
            looked.append(1)
            return plain(self, limit)

        monkeypatch.setattr(Controller, "load_of", counted)
        drive = Driver(settings(cells=servers, racks=2, fleet_size=100), servers=servers)
        drive.request(copies=3)
        counts[servers] = len(looked)
    assert 0 < counts[600] <= counts[6] * 1.5


def test_many_instances_restarted_at_once_do_not_storm_a_cold_server_and_ask_before_they_send() -> None:
    """All come back in one second with a cached list, no load known and no traffic behind them."""
    told = settings(fleet_size=150, cells=1, racks=1, weight_kb=1e6, uplink_kb=1e6)
    sends = 0
    for seed in range(150):
        drive = Driver(told, seed, servers=1)
        listing = api.ServerListing(10, 0, "z0", "box", started_us=drive.now_us)
        drive.handle(api.FleetUpdate(api.ListKind.CACHED, (listing,)))
        sends += len(actions_of(api.SetUp, drive.request(ceiling=0)[1]))
    assert sends <= 2.5 * 20 / 10 * 0.4 + 1
    drive = Driver(settings(may_probe=True, fleet_size=150))
    actions = drive.request()[1]
    assert actions_of(api.Probe, actions) and not actions_of(api.SetUp, actions)
