"""The six rules, each with a case that fails when its guard is taken out."""

from __future__ import annotations

import pytest

from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome
from tests.helpers import Drive, of, sent, settings


def test_a_request_that_no_server_can_take_is_refused_at_once() -> None:
    drive = Drive(servers=0)
    session, actions = drive.ask()
    assert [(a.session, a.retry_after_us == 800_000) for a in of(api.Refuse, actions)] == [(session, True)]


def test_a_time_out_at_the_deadline_gets_its_final_answer_at_once() -> None:
    drive = Drive()
    session, actions = drive.ask()
    server = sent(actions).server
    drive.now += 3_990_000
    answer = drive.end(session, server, Outcome.TIMEOUT)
    assert of(api.Refuse, answer) and not of(api.SetUp, answer)


def test_a_concluded_session_gets_no_second_answer() -> None:
    drive = Drive()
    session, actions = drive.ask()
    server = sent(actions).server
    drive.tell(api.SessionStarted(session, server, 0), 50_000)
    ended = drive.end(session, server, Outcome.SERVED, concluded=True)
    assert not of(api.Refuse, ended) and not of(api.Fail, ended)
    assert drive.tell(api.ViewerLeft(session)) == []


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_a_paid_session_that_may_have_run_only_fails(outcome: Outcome) -> None:
    drive = Drive()
    session, actions = drive.ask(class_name="paid")
    answer = drive.end(session, sent(actions).server, outcome)
    assert of(api.Fail, answer) == [api.Fail(session)]
    assert not of(api.SetUp, answer) and not of(api.Refuse, answer)


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
def test_a_paid_session_that_never_ran_is_sent_elsewhere(outcome: Outcome) -> None:
    drive = Drive()
    session, actions = drive.ask(class_name="paid")
    first = sent(actions).server
    assert sent(drive.end(session, first, outcome)).server != first


def test_a_keyed_session_is_repeated_only_in_its_group_and_time_and_never_refused() -> None:
    drive = Drive()
    session, actions = drive.ask(class_name="keyed")
    first = sent(actions).server
    again = sent(drive.end(session, first, Outcome.ERROR))
    zone = {one.server: one.zone for one in drive.listings}
    assert again.server != first and zone[again.server] == zone[first]
    drive.now += 3_000_000  # past the life of its key
    assert of(api.Fail, drive.end(session, again.server, Outcome.ERROR, 1)) == [api.Fail(session)]


@pytest.mark.parametrize("health", [api.Health.DRAINING, api.Health.GONE])
def test_nothing_new_goes_to_a_draining_or_removed_server(health: api.Health) -> None:
    drive = Drive()
    home = drive.play()
    listing = next(one for one in drive.listings if one.server == home)
    changed = api.ServerListing(home, listing.cell, listing.zone, listing.kind, health)
    drive.tell(api.FleetUpdate(api.ListKind.DELTA, (changed,)))
    for _ in range(5):
        assert sent(drive.ask()[1]).server != home


def test_a_server_absent_from_a_full_list_counts_as_removed() -> None:
    drive = Drive()
    home = drive.play()
    rest = tuple(one for one in drive.listings if one.server != home)
    drive.tell(api.FleetUpdate(api.ListKind.FULL, rest))
    assert sent(drive.ask()[1]).server != home


def cold_sends(drive: Drive, seconds: int) -> int:
    count = 0
    for _ in range(seconds * 10):
        drive.now += 100_000
        count += len(of(api.SetUp, drive.ask(ceiling=0, copies=1)[1]))
    return count


def test_a_cold_server_is_filled_at_its_pace() -> None:
    drive = Drive(settings(fleet_size=2))
    started = api.ServerListing(10, 0, "z0", "box", started_us=drive.now)
    drive.tell(api.FleetUpdate(api.ListKind.DELTA, (started,)))
    # 20 places in 10 s at 0.4 to 0.5 warm, half of it for this instance: 0.4 to 0.5 a second
    assert 1 <= cold_sends(drive, 2) <= 2


def test_a_restart_is_supposed_before_the_list_tells_of_it() -> None:
    drive = Drive()
    session, actions = drive.ask(ceiling=0, copies=1)
    drive.tell(api.SessionStarted(session, sent(actions).server, 0), 50_000)
    drive.end(session, 10, Outcome.RESET, concluded=True)
    drive.now += 1_500_000  # the distrust is over
    trial, actions = drive.ask(ceiling=0, copies=1)
    drive.tell(api.SessionStarted(trial, sent(actions).server, 0), 50_000)
    assert 1 <= cold_sends(drive, 3) <= 4  # 20 places in 10 s at about half its warmth


def test_no_session_plays_under_the_floor_of_its_class() -> None:
    drive = Drive()
    for n in range(40):
        drive.ask(f"t{n}", class_name="paid")
    rungs = [a.rung for a in of(api.SetRung, drive.log)]
    assert rungs and min(rungs) >= 1


def test_seats_are_counted_from_set_up_to_end() -> None:
    drive = Drive()
    first, actions = drive.ask(class_name="seated", ceiling=0)
    server = sent(actions).server
    drive.ask(class_name="seated", ceiling=0)
    assert of(api.Refuse, drive.ask(class_name="seated", ceiling=0)[1])
    drive.tell(api.SessionStarted(first, server, 0), 50_000)
    drive.end(first, server, Outcome.SERVED, concluded=True)
    assert sent(drive.ask(class_name="seated", ceiling=0)[1])


def test_carried_sessions_take_seats() -> None:
    drive = Drive()
    for _ in range(2):
        drive.ask(class_name="seated", ceiling=0, server=10)
    assert of(api.Refuse, drive.ask(class_name="seated", ceiling=0)[1])


def test_further_attempts_stay_within_the_budget() -> None:
    drive = Drive(settings(budget_free=2.0, budget_ratio=0.0, budget_span_us=10_000_000))
    further = 0
    for n in range(6):
        session, actions = drive.ask(f"t{n}", ceiling=0)
        further += len(of(api.SetUp, drive.end(session, sent(actions).server, Outcome.ERROR)))
    assert further == 2


def test_attempts_end_at_the_limit() -> None:
    drive = Drive()
    session, actions = drive.ask(ceiling=0)
    for attempt in range(2):
        actions = drive.end(session, sent(actions).server, Outcome.ERROR, attempt)
    assert of(api.Refuse, drive.end(session, sent(actions).server, Outcome.ERROR, 2))


def test_no_rung_above_the_viewers_ceiling_is_set_even_under_a_floor() -> None:
    drive = Drive()
    session, actions = drive.ask(class_name="paid", ceiling=0)
    actions = actions + drive.end(session, sent(actions).server, Outcome.CONNECT_FAILED)
    assert len(of(api.SetUp, actions)) == 2 and not of(api.SetRung, actions)


def test_no_probe_delays_a_request_that_was_found_late() -> None:
    """Day heafb1a: an instance that stood still found an old request, probed twice and lost it."""
    drive = Drive(settings(may_probe=True))
    drive.next += 1
    event = api.SessionRequested(drive.next, "film", "t", 0, 6, 2, drive.now + 400_000)
    assert sent(drive.tell(event)) and not of(api.Probe, drive.log)


def test_a_session_waits_for_one_probe_and_is_sent_at_its_answer_or_its_failure() -> None:
    for outcome in (Outcome.SERVED, Outcome.TIMEOUT):
        drive = Drive(settings(may_probe=True))
        session, actions = drive.ask()
        asked = of(api.Probe, actions)
        assert len(asked) == 1 and not of(api.SetUp, actions)
        report = api.LoadReport(link=0.2) if outcome is Outcome.SERVED else None
        actions = drive.tell(api.ProbeEnded(asked[0].server, outcome, 0, report), 250_000)
        while probes := of(api.Probe, actions):  # the heir of a failed holder is asked too
            actions = drive.note(probes[0].server, link=0.2)
        assert sent(actions).session == session
        assert (sent(actions).server == asked[0].server) == (outcome is Outcome.SERVED)


def test_an_odd_title_has_no_server_distrusted_and_stays_out_for_a_while() -> None:
    """Guards against bad clients: each of their errors kept a server from all others for a second."""
    drive = Drive(settings(may_probe=True, max_attempts=3))
    for listing in drive.listings:
        drive.note(listing.server, link=0.1)
    session, actions = drive.ask("odd")
    for attempt in range(3):
        actions = drive.end(session, sent(actions).server, Outcome.ERROR, attempt)
    assert of(api.Refuse, actions)
    for probe in of(api.Probe, drive.log):
        drive.note(probe.server, link=0.1)
    servers = drive.controller.fleet.servers.values()
    assert all(not x.failures and drive.now >= x.distrusted_until_us for x in servers)
    assert of(api.Refuse, drive.ask("odd")[1]) and of(api.SetUp, drive.ask("usual")[1])
    drive.now += 1_100_000
    assert of(api.SetUp, drive.ask("odd")[1])


def test_a_server_that_errs_for_two_titles_is_distrusted_though_it_answers_probes() -> None:
    drive = Drive(settings(may_probe=True))
    for listing in drive.listings:
        drive.note(listing.server, link=0.1)
    server = drive.controller.fleet.servers[10]
    for title in ("a", "b"):
        drive.controller.tokens[title] = 10
        session, actions = drive.ask(title)
        assert sent(actions).server == 10
        drive.end(session, 10, Outcome.ERROR)
        drive.note(10, link=0.1)
    assert server.failures == 1 and drive.now < server.distrusted_until_us


def test_a_set_up_that_was_reset_has_its_server_tested_and_not_taken_for_new() -> None:
    """Guards against a lost connection taken for a restart: its server would be held to a cold one's pace."""
    drive = Drive(settings(may_probe=True))
    drive.note(10, link=0.1)
    drive.controller.tokens["t"] = 10
    session, actions = drive.ask()
    assert of(api.Probe, drive.end(session, sent(actions).server, Outcome.RESET))
    drive.note(10, link=0.1)
    server = drive.controller.fleet.servers[10]
    assert server.cold_since_us is None and drive.now >= server.distrusted_until_us


def test_what_is_kept_is_bounded_by_what_lives() -> None:
    """Guards against growth over long days: titles never asked for again, bookings no load was told of."""
    drive = Drive()
    for number in range(5000):
        drive.tell(api.ViewerLeft(drive.ask(f"title-{number}")[0]), 10_000)
    assert len(drive.controller.tokens) <= 4096
    assert all(len(x.places.history) < 2500 for x in drive.controller.fleet.servers.values())


def test_no_session_steps_down_for_a_newcomer_that_no_holder_may_take() -> None:
    """Guards against bad clients: once their errors kept holders away, each refusal made room."""
    drive = Drive(settings(fleet_size=30), servers=1)
    for title in ("a", "b"):
        drive.play(title)  # each 400 of 1000
    drive.note(10, link=0.85)
    server = drive.controller.fleet.servers[10]
    server.distrusted_until_us = drive.now + 1_000_000
    for _ in range(10):
        refused = drive.ask("odd", class_name="gold")[1]
        assert of(api.Refuse, refused) and not of(api.SetRung, refused)


def test_what_counts_further_attempts_holds_nothing_where_they_are_not_rationed() -> None:
    """Guards the memory of a long day: what nobody asked for was never pruned."""
    for span_us, kept in ((0, 0), (10_000_000, 3)):
        drive = Drive(settings(budget_span_us=span_us, budget_free=1000.0))
        for n in range(3):
            session, actions = drive.ask(f"t{n}")
            drive.end(session, sent(actions).server, api.Outcome.FULL)
            drive.now += 3_000_000
        assert len(drive.controller.further.moments) == kept
