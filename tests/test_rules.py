"""The six rules of the decision module, each with a case that fails without its safety check."""

from __future__ import annotations

import pytest

from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome
from tests.helpers import Driver, actions_of, only_set_up, settings


def test_a_request_that_no_server_can_take_is_refused_at_once() -> None:
    driver = Driver(servers=0)
    session, actions = driver.request()
    assert [(a.session, a.retry_after_us == 800_000) for a in actions_of(api.Refuse, actions)] == [
        (session, True)
    ]


def test_a_time_out_at_the_deadline_gets_its_final_answer_at_once() -> None:
    driver = Driver()
    session, actions = driver.request()
    server = only_set_up(actions).server
    driver.now_us += 3_990_000
    answer = driver.end_attempt(session, server, Outcome.TIMEOUT)
    assert actions_of(api.Refuse, answer) and not actions_of(api.SetUp, answer)


def test_a_concluded_session_gets_no_second_answer() -> None:
    driver = Driver()
    session, actions = driver.request()
    server = only_set_up(actions).server
    driver.handle(api.SessionStarted(session, server, 0), 50_000)
    ended = driver.end_attempt(session, server, Outcome.SERVED, concluded=True)
    assert not actions_of(api.Refuse, ended) and not actions_of(api.Fail, ended)
    assert driver.handle(api.ViewerLeft(session)) == []


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_a_paid_session_that_may_have_run_only_fails(outcome: Outcome) -> None:
    driver = Driver()
    session, actions = driver.request(class_name="paid")
    answer = driver.end_attempt(session, only_set_up(actions).server, outcome)
    assert actions_of(api.Fail, answer) == [api.Fail(session)]
    assert not actions_of(api.SetUp, answer) and not actions_of(api.Refuse, answer)


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
def test_a_paid_session_that_never_ran_is_sent_elsewhere(outcome: Outcome) -> None:
    driver = Driver()
    session, actions = driver.request(class_name="paid")
    first = only_set_up(actions).server
    assert only_set_up(driver.end_attempt(session, first, outcome)).server != first


def test_a_keyed_session_is_repeated_only_in_its_group_and_time_and_never_refused() -> None:
    driver = Driver()
    session, actions = driver.request(class_name="keyed")
    first = only_set_up(actions).server
    again = only_set_up(driver.end_attempt(session, first, Outcome.ERROR))
    zone = {one.server: one.zone for one in driver.listings}
    assert again.server != first and zone[again.server] == zone[first]
    driver.now_us += 3_000_000  # past the life of its key
    assert actions_of(api.Fail, driver.end_attempt(session, again.server, Outcome.ERROR, 1)) == [
        api.Fail(session)
    ]


@pytest.mark.parametrize("health", [api.Health.DRAINING, api.Health.GONE])
def test_nothing_new_goes_to_a_draining_or_removed_server(health: api.Health) -> None:
    driver = Driver()
    home = driver.play()
    listing = next(one for one in driver.listings if one.server == home)
    changed = api.ServerListing(home, listing.cell, listing.zone, listing.kind, health)
    driver.handle(api.FleetUpdate(api.ListKind.DELTA, (changed,)))
    for _ in range(5):
        assert only_set_up(driver.request()[1]).server != home


def test_a_server_absent_from_a_full_list_counts_as_removed() -> None:
    driver = Driver()
    home = driver.play()
    rest = tuple(one for one in driver.listings if one.server != home)
    driver.handle(api.FleetUpdate(api.ListKind.FULL, rest))
    assert only_set_up(driver.request()[1]).server != home


def cold_sends(driver: Driver, seconds: int) -> int:
    count = 0
    for _ in range(seconds * 10):
        driver.now_us += 100_000
        count += len(actions_of(api.SetUp, driver.request(ceiling=0, copies=1)[1]))
    return count


def test_a_cold_server_is_filled_at_its_warm_up_rate() -> None:
    driver = Driver(settings(fleet_size=2))
    started = api.ServerListing(10, 0, "z0", "box", started_us=driver.now_us)
    driver.handle(api.FleetUpdate(api.ListKind.DELTA, (started,)))
    # 20 places in 10 s at 0.4 to 0.5 warm, half of it for this instance: 0.4 to 0.5 a second
    assert 1 <= cold_sends(driver, 2) <= 2


def test_a_restart_is_inferred_before_it_is_listed() -> None:
    driver = Driver()
    session, actions = driver.request(ceiling=0, copies=1)
    driver.handle(api.SessionStarted(session, only_set_up(actions).server, 0), 50_000)
    driver.end_attempt(session, 10, Outcome.RESET, concluded=True)
    driver.now_us += 1_500_000  # the server is no longer suspect
    trial, actions = driver.request(ceiling=0, copies=1)
    driver.handle(api.SessionStarted(trial, only_set_up(actions).server, 0), 50_000)
    assert 1 <= cold_sends(driver, 3) <= 4  # 20 places in 10 s at about half its warmth


def test_no_session_plays_under_the_floor_of_its_class() -> None:
    driver = Driver()
    for n in range(40):
        driver.request(f"t{n}", class_name="paid")
    rungs = [a.rung for a in actions_of(api.SetRung, driver.log)]
    assert rungs and min(rungs) >= 1


def test_seats_are_counted_from_set_up_to_end() -> None:
    driver = Driver()
    first, actions = driver.request(class_name="seated", ceiling=0)
    server = only_set_up(actions).server
    driver.request(class_name="seated", ceiling=0)
    assert actions_of(api.Refuse, driver.request(class_name="seated", ceiling=0)[1])
    driver.handle(api.SessionStarted(first, server, 0), 50_000)
    driver.end_attempt(first, server, Outcome.SERVED, concluded=True)
    assert only_set_up(driver.request(class_name="seated", ceiling=0)[1])


def test_sessions_taken_over_take_seats() -> None:
    driver = Driver()
    for _ in range(2):
        driver.request(class_name="seated", ceiling=0, server=10)
    assert actions_of(api.Refuse, driver.request(class_name="seated", ceiling=0)[1])


def test_further_attempts_stay_within_the_budget() -> None:
    driver = Driver(settings(budget_free=2.0, budget_ratio=0.0, budget_span_us=10_000_000))
    further = 0
    for n in range(6):
        session, actions = driver.request(f"t{n}", ceiling=0)
        further += len(
            actions_of(api.SetUp, driver.end_attempt(session, only_set_up(actions).server, Outcome.ERROR))
        )
    assert further == 2


def test_attempts_end_at_the_limit() -> None:
    driver = Driver()
    session, actions = driver.request(ceiling=0)
    for attempt in range(2):
        actions = driver.end_attempt(session, only_set_up(actions).server, Outcome.ERROR, attempt)
    assert actions_of(api.Refuse, driver.end_attempt(session, only_set_up(actions).server, Outcome.ERROR, 2))


def test_no_rung_above_the_viewers_ceiling_is_set_even_under_a_floor() -> None:
    driver = Driver()
    session, actions = driver.request(class_name="paid", ceiling=0)
    actions = actions + driver.end_attempt(session, only_set_up(actions).server, Outcome.CONNECT_FAILED)
    assert len(actions_of(api.SetUp, actions)) == 2 and not actions_of(api.SetRung, actions)


def test_no_probe_delays_a_request_that_was_found_late() -> None:
    """Guards against a resumed instance that probes twice for an old request, past its deadline (heafb1a)."""
    driver = Driver(settings(may_probe=True))
    driver.last_session += 1
    event = api.SessionRequested(driver.last_session, "film", "t", 0, 6, 2, driver.now_us + 400_000)
    assert only_set_up(driver.handle(event)) and not actions_of(api.Probe, driver.log)


def test_a_session_waits_for_one_probe_and_is_sent_at_its_answer_or_its_failure() -> None:
    for outcome in (Outcome.SERVED, Outcome.TIMEOUT):
        driver = Driver(settings(may_probe=True))
        session, actions = driver.request()
        probed = actions_of(api.Probe, actions)
        assert len(probed) == 1 and not actions_of(api.SetUp, actions)
        report = api.LoadReport(link=0.2) if outcome is Outcome.SERVED else None
        actions = driver.handle(api.ProbeEnded(probed[0].server, outcome, 0, report), 250_000)
        while probes := actions_of(api.Probe, actions):  # the holder that inherits the token is probed too
            actions = driver.report_load(probes[0].server, link=0.2)
        assert only_set_up(actions).session == session
        assert (only_set_up(actions).server == probed[0].server) == (outcome is Outcome.SERVED)


def test_a_faulty_title_makes_no_server_suspect_and_is_refused_for_a_while() -> None:
    """Guards against faulty clients: each of their errors excluded a server for all others for a second."""
    driver = Driver(settings(may_probe=True, max_attempts=3))
    for listing in driver.listings:
        driver.report_load(listing.server, link=0.1)
    session, actions = driver.request("odd")
    for attempt in range(3):
        actions = driver.end_attempt(session, only_set_up(actions).server, Outcome.ERROR, attempt)
    assert actions_of(api.Refuse, actions)
    for probe in actions_of(api.Probe, driver.log):
        driver.report_load(probe.server, link=0.1)
    servers = driver.controller.fleet.servers.values()
    assert all(not x.failures and driver.now_us >= x.suspect_until_us for x in servers)
    assert actions_of(api.Refuse, driver.request("odd")[1]) and actions_of(
        api.SetUp, driver.request("usual")[1]
    )
    driver.now_us += 1_100_000
    assert actions_of(api.SetUp, driver.request("odd")[1])


def test_a_server_that_fails_for_two_titles_is_suspect_though_it_answers_probes() -> None:
    driver = Driver(settings(may_probe=True))
    for listing in driver.listings:
        driver.report_load(listing.server, link=0.1)
    server = driver.controller.fleet.servers[10]
    for title in ("a", "b"):
        driver.controller.tokens[title] = 10
        session, actions = driver.request(title)
        assert only_set_up(actions).server == 10
        driver.end_attempt(session, 10, Outcome.ERROR)
        driver.report_load(10, link=0.1)
    assert server.failures == 1 and driver.now_us < server.suspect_until_us


def test_after_a_reset_set_up_the_server_is_probed_and_not_taken_for_restarted() -> None:
    """Guards against a lost connection taken for a restart, which would limit the server like a cold one."""
    driver = Driver(settings(may_probe=True))
    driver.report_load(10, link=0.1)
    driver.controller.tokens["t"] = 10
    session, actions = driver.request()
    assert actions_of(api.Probe, driver.end_attempt(session, only_set_up(actions).server, Outcome.RESET))
    driver.report_load(10, link=0.1)
    server = driver.controller.fleet.servers[10]
    assert server.cold_since_us is None and driver.now_us >= server.suspect_until_us


def test_kept_state_is_bounded() -> None:
    """Guards against growth over time: titles never requested again, bookings at limits without a report."""
    driver = Driver()
    for number in range(5000):
        driver.handle(api.ViewerLeft(driver.request(f"title-{number}")[0]), 10_000)
    assert len(driver.controller.tokens) <= 4096
    assert all(len(x.places.history) < 2500 for x in driver.controller.fleet.servers.values())


def test_no_session_steps_down_for_a_session_that_no_holder_may_take() -> None:
    """Guards against faulty clients: once their errors excluded the holders, each refusal freed capacity."""
    driver = Driver(settings(fleet_size=30), servers=1)
    for title in ("a", "b"):
        driver.play(title)  # each 400 of 1000
    driver.report_load(10, link=0.85)
    server = driver.controller.fleet.servers[10]
    server.suspect_until_us = driver.now_us + 1_000_000
    for _ in range(10):
        refused = driver.request("odd", class_name="gold")[1]
        assert actions_of(api.Refuse, refused) and not actions_of(api.SetRung, refused)


def test_the_counter_of_further_attempts_stays_empty_without_a_budget() -> None:
    """Guards against growth over time: a counter that is never read is never pruned."""
    for span_us, kept in ((0, 0), (10_000_000, 3)):
        driver = Driver(settings(budget_span_us=span_us, budget_free=1000.0))
        for n in range(3):
            session, actions = driver.request(f"t{n}")
            driver.end_attempt(session, only_set_up(actions).server, api.Outcome.FULL)
            driver.now_us += 3_000_000
        assert len(driver.controller.further_attempts.times_us) == kept
