"""The six rules, each with a case that fails when its guard is taken out."""

from __future__ import annotations

import pytest

from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome
from tests.helpers import Driver, actions_of, only_set_up, settings


def test_a_request_that_no_server_can_take_is_refused_at_once() -> None:
    drive = Driver(servers=0)
    session, actions = drive.request()
    assert [(a.session, a.retry_after_us == 800_000) for a in actions_of(api.Refuse, actions)] == [
        (session, True)
    ]


def test_a_time_out_at_the_deadline_gets_its_final_answer_at_once() -> None:
    drive = Driver()
    session, actions = drive.request()
    server = only_set_up(actions).server
    drive.now_us += 3_990_000
    answer = drive.end_attempt(session, server, Outcome.TIMEOUT)
    assert actions_of(api.Refuse, answer) and not actions_of(api.SetUp, answer)


def test_a_concluded_session_gets_no_second_answer() -> None:
    drive = Driver()
    session, actions = drive.request()
    server = only_set_up(actions).server
    drive.handle(api.SessionStarted(session, server, 0), 50_000)
    ended = drive.end_attempt(session, server, Outcome.SERVED, concluded=True)
    assert not actions_of(api.Refuse, ended) and not actions_of(api.Fail, ended)
    assert drive.handle(api.ViewerLeft(session)) == []


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_a_paid_session_that_may_have_run_only_fails(outcome: Outcome) -> None:
    drive = Driver()
    session, actions = drive.request(class_name="paid")
    answer = drive.end_attempt(session, only_set_up(actions).server, outcome)
    assert actions_of(api.Fail, answer) == [api.Fail(session)]
    assert not actions_of(api.SetUp, answer) and not actions_of(api.Refuse, answer)


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
def test_a_paid_session_that_never_ran_is_sent_elsewhere(outcome: Outcome) -> None:
    drive = Driver()
    session, actions = drive.request(class_name="paid")
    first = only_set_up(actions).server
    assert only_set_up(drive.end_attempt(session, first, outcome)).server != first


def test_a_keyed_session_is_repeated_only_in_its_group_and_time_and_never_refused() -> None:
    drive = Driver()
    session, actions = drive.request(class_name="keyed")
    first = only_set_up(actions).server
    again = only_set_up(drive.end_attempt(session, first, Outcome.ERROR))
    zone = {one.server: one.zone for one in drive.listings}
    assert again.server != first and zone[again.server] == zone[first]
    drive.now_us += 3_000_000  # past the life of its key
    assert actions_of(api.Fail, drive.end_attempt(session, again.server, Outcome.ERROR, 1)) == [
        api.Fail(session)
    ]


@pytest.mark.parametrize("health", [api.Health.DRAINING, api.Health.GONE])
def test_nothing_new_goes_to_a_draining_or_removed_server(health: api.Health) -> None:
    drive = Driver()
    home = drive.play()
    listing = next(one for one in drive.listings if one.server == home)
    changed = api.ServerListing(home, listing.cell, listing.zone, listing.kind, health)
    drive.handle(api.FleetUpdate(api.ListKind.DELTA, (changed,)))
    for _ in range(5):
        assert only_set_up(drive.request()[1]).server != home


def test_a_server_absent_from_a_full_list_counts_as_removed() -> None:
    drive = Driver()
    home = drive.play()
    rest = tuple(one for one in drive.listings if one.server != home)
    drive.handle(api.FleetUpdate(api.ListKind.FULL, rest))
    assert only_set_up(drive.request()[1]).server != home


def cold_sends(drive: Driver, seconds: int) -> int:
    count = 0
    for _ in range(seconds * 10):
        drive.now_us += 100_000
        count += len(actions_of(api.SetUp, drive.request(ceiling=0, copies=1)[1]))
    return count


def test_a_cold_server_is_filled_at_its_pace() -> None:
    drive = Driver(settings(fleet_size=2))
    started = api.ServerListing(10, 0, "z0", "box", started_us=drive.now_us)
    drive.handle(api.FleetUpdate(api.ListKind.DELTA, (started,)))
    # 20 places in 10 s at 0.4 to 0.5 warm, half of it for this instance: 0.4 to 0.5 a second
    assert 1 <= cold_sends(drive, 2) <= 2


def test_a_restart_is_supposed_before_the_list_tells_of_it() -> None:
    drive = Driver()
    session, actions = drive.request(ceiling=0, copies=1)
    drive.handle(api.SessionStarted(session, only_set_up(actions).server, 0), 50_000)
    drive.end_attempt(session, 10, Outcome.RESET, concluded=True)
    drive.now_us += 1_500_000  # the distrust is over
    trial, actions = drive.request(ceiling=0, copies=1)
    drive.handle(api.SessionStarted(trial, only_set_up(actions).server, 0), 50_000)
    assert 1 <= cold_sends(drive, 3) <= 4  # 20 places in 10 s at about half its warmth


def test_no_session_plays_under_the_floor_of_its_class() -> None:
    drive = Driver()
    for n in range(40):
        drive.request(f"t{n}", class_name="paid")
    rungs = [a.rung for a in actions_of(api.SetRung, drive.log)]
    assert rungs and min(rungs) >= 1


def test_seats_are_counted_from_set_up_to_end() -> None:
    drive = Driver()
    first, actions = drive.request(class_name="seated", ceiling=0)
    server = only_set_up(actions).server
    drive.request(class_name="seated", ceiling=0)
    assert actions_of(api.Refuse, drive.request(class_name="seated", ceiling=0)[1])
    drive.handle(api.SessionStarted(first, server, 0), 50_000)
    drive.end_attempt(first, server, Outcome.SERVED, concluded=True)
    assert only_set_up(drive.request(class_name="seated", ceiling=0)[1])


def test_carried_sessions_take_seats() -> None:
    drive = Driver()
    for _ in range(2):
        drive.request(class_name="seated", ceiling=0, server=10)
    assert actions_of(api.Refuse, drive.request(class_name="seated", ceiling=0)[1])


def test_further_attempts_stay_within_the_budget() -> None:
    drive = Driver(settings(budget_free=2.0, budget_ratio=0.0, budget_span_us=10_000_000))
    further = 0
    for n in range(6):
        session, actions = drive.request(f"t{n}", ceiling=0)
        further += len(
            actions_of(api.SetUp, drive.end_attempt(session, only_set_up(actions).server, Outcome.ERROR))
        )
    assert further == 2


def test_attempts_end_at_the_limit() -> None:
    drive = Driver()
    session, actions = drive.request(ceiling=0)
    for attempt in range(2):
        actions = drive.end_attempt(session, only_set_up(actions).server, Outcome.ERROR, attempt)
    assert actions_of(api.Refuse, drive.end_attempt(session, only_set_up(actions).server, Outcome.ERROR, 2))


def test_no_rung_above_the_viewers_ceiling_is_set_even_under_a_floor() -> None:
    drive = Driver()
    session, actions = drive.request(class_name="paid", ceiling=0)
    actions = actions + drive.end_attempt(session, only_set_up(actions).server, Outcome.CONNECT_FAILED)
    assert len(actions_of(api.SetUp, actions)) == 2 and not actions_of(api.SetRung, actions)


def test_no_probe_delays_a_request_that_was_found_late() -> None:
    """Day heafb1a: an instance that stood still found an old request, probed twice and lost it."""
    drive = Driver(settings(may_probe=True))
    drive.last_session += 1
    event = api.SessionRequested(drive.last_session, "film", "t", 0, 6, 2, drive.now_us + 400_000)
    assert only_set_up(drive.handle(event)) and not actions_of(api.Probe, drive.log)


def test_a_session_waits_for_one_probe_and_is_sent_at_its_answer_or_its_failure() -> None:
    for outcome in (Outcome.SERVED, Outcome.TIMEOUT):
        drive = Driver(settings(may_probe=True))
        session, actions = drive.request()
        asked = actions_of(api.Probe, actions)
        assert len(asked) == 1 and not actions_of(api.SetUp, actions)
        report = api.LoadReport(link=0.2) if outcome is Outcome.SERVED else None
        actions = drive.handle(api.ProbeEnded(asked[0].server, outcome, 0, report), 250_000)
        while probes := actions_of(api.Probe, actions):  # the heir of a failed holder is asked too
            actions = drive.report_load(probes[0].server, link=0.2)
        assert only_set_up(actions).session == session
        assert (only_set_up(actions).server == asked[0].server) == (outcome is Outcome.SERVED)


def test_an_odd_title_has_no_server_distrusted_and_stays_out_for_a_while() -> None:
    """Guards against bad clients: each of their errors kept a server from all others for a second."""
    drive = Driver(settings(may_probe=True, max_attempts=3))
    for listing in drive.listings:
        drive.report_load(listing.server, link=0.1)
    session, actions = drive.request("odd")
    for attempt in range(3):
        actions = drive.end_attempt(session, only_set_up(actions).server, Outcome.ERROR, attempt)
    assert actions_of(api.Refuse, actions)
    for probe in actions_of(api.Probe, drive.log):
        drive.report_load(probe.server, link=0.1)
    servers = drive.controller.fleet.servers.values()
    assert all(not x.failures and drive.now_us >= x.suspect_until_us for x in servers)
    assert actions_of(api.Refuse, drive.request("odd")[1]) and actions_of(
        api.SetUp, drive.request("usual")[1]
    )
    drive.now_us += 1_100_000
    assert actions_of(api.SetUp, drive.request("odd")[1])


def test_a_server_that_errs_for_two_titles_is_distrusted_though_it_answers_probes() -> None:
    drive = Driver(settings(may_probe=True))
    for listing in drive.listings:
        drive.report_load(listing.server, link=0.1)
    server = drive.controller.fleet.servers[10]
    for title in ("a", "b"):
        drive.controller.tokens[title] = 10
        session, actions = drive.request(title)
        assert only_set_up(actions).server == 10
        drive.end_attempt(session, 10, Outcome.ERROR)
        drive.report_load(10, link=0.1)
    assert server.failures == 1 and drive.now_us < server.suspect_until_us


def test_a_set_up_that_was_reset_has_its_server_tested_and_not_taken_for_new() -> None:
    """Guards against a lost connection taken for a restart: its server would be held to a cold one's pace."""
    drive = Driver(settings(may_probe=True))
    drive.report_load(10, link=0.1)
    drive.controller.tokens["t"] = 10
    session, actions = drive.request()
    assert actions_of(api.Probe, drive.end_attempt(session, only_set_up(actions).server, Outcome.RESET))
    drive.report_load(10, link=0.1)
    server = drive.controller.fleet.servers[10]
    assert server.cold_since_us is None and drive.now_us >= server.suspect_until_us


def test_what_is_kept_is_bounded_by_what_lives() -> None:
    """Guards against growth over long days: titles never asked for again, bookings no load was told of."""
    drive = Driver()
    for number in range(5000):
        drive.handle(api.ViewerLeft(drive.request(f"title-{number}")[0]), 10_000)
    assert len(drive.controller.tokens) <= 4096
    assert all(len(x.places.history) < 2500 for x in drive.controller.fleet.servers.values())


def test_no_session_steps_down_for_a_newcomer_that_no_holder_may_take() -> None:
    """Guards against bad clients: once their errors kept holders away, each refusal made room."""
    drive = Driver(settings(fleet_size=30), servers=1)
    for title in ("a", "b"):
        drive.play(title)  # each 400 of 1000
    drive.report_load(10, link=0.85)
    server = drive.controller.fleet.servers[10]
    server.suspect_until_us = drive.now_us + 1_000_000
    for _ in range(10):
        refused = drive.request("odd", class_name="gold")[1]
        assert actions_of(api.Refuse, refused) and not actions_of(api.SetRung, refused)


def test_what_counts_further_attempts_holds_nothing_where_they_are_not_rationed() -> None:
    """Guards the memory of a long day: what nobody asked for was never pruned."""
    for span_us, kept in ((0, 0), (10_000_000, 3)):
        drive = Driver(settings(budget_span_us=span_us, budget_free=1000.0))
        for n in range(3):
            session, actions = drive.request(f"t{n}")
            drive.end_attempt(session, only_set_up(actions).server, api.Outcome.FULL)
            drive.now_us += 3_000_000
        assert len(drive.controller.further_attempts.times_us) == kept
