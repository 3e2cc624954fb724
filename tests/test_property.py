"""Random legal event sequences: rules 1, 2, 3 and 5 and the attempt limit hold.  Seeds are fixed."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Health, Outcome
from tests.helpers import BASE, Driver, settings

FAILURES = (Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)


def random_day(seed: int, steps: int) -> list[api.Action]:
    """Sends random events to one instance and checks the rules at every action."""
    rng = random.Random(seed)
    driver = Driver(settings(max_attempts=rng.randint(1, 4)), seed)
    classes = {one.name: one for one in BASE.classes}
    out: dict[int, tuple[int, int]] = {}  # session -> server, attempt
    playing: dict[int, int] = {}
    unanswered: set[int] = set()
    requested: dict[int, tuple[str, str]] = {}
    attempts: Counter[int] = Counter()
    may_have_run: set[int] = set()
    unavailable: set[int] = set()

    def check(actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetUp):
                assert action.session in unanswered and action.session not in out, "one attempt out at a time"
                assert action.server not in unavailable, "no set-up at a draining or removed server"
                kind = classes[requested[action.session][0]]
                assert not (
                    kind.effect is api.Effect.ONCE and action.session in may_have_run
                ), "no set-up twice"
                out[action.session] = action.server, attempts[action.session]
                attempts[action.session] += 1
                assert attempts[action.session] <= driver.controller.settings.max_attempts
                held = Counter(requested[n] for n in [*out, *playing])
                assert (
                    not kind.seats or held[requested[action.session]] <= kind.seats
                ), "no more sessions than seats"
            elif isinstance(action, api.Refuse | api.Fail):
                assert action.session in unanswered and action.session not in out, "one final answer"
                unanswered.discard(action.session)
                if isinstance(action, api.Refuse):
                    kind = classes[requested[action.session][0]]
                    assert not (kind.effect is api.Effect.ONCE and action.session in may_have_run)
            elif isinstance(action, api.SetRung):
                assert (
                    classes[requested[action.session][0]].floor <= action.rung <= 2
                ), "the rung is within the class's floor and the ladder"

    for _ in range(steps):
        driver.now_us += rng.randint(0, 300_000)
        choice = rng.random()
        if choice < 0.35:
            class_name, title = rng.choice(BASE.classes).name, f"t{rng.randint(0, 5)}"
            driver.last_session += 1
            requested[driver.last_session] = class_name, title
            unanswered.add(driver.last_session)
            check(
                driver.handle(
                    api.SessionRequested(
                        driver.last_session,
                        class_name,
                        title,
                        rng.randint(0, 5),
                        rng.randint(1, 6),
                        2,
                        driver.now_us + 4_000_000,
                    )
                )
            )
        elif choice < 0.6 and out:
            session = rng.choice(sorted(out))
            server, attempt = out.pop(session)
            if rng.random() < 0.6:
                unanswered.discard(session)
                playing[session] = server
                check(driver.handle(api.SessionStarted(session, server, attempt)))
            else:
                outcome = rng.choice(FAILURES)
                if not outcome.never_ran:
                    may_have_run.add(session)
                check(driver.handle(api.AttemptEnded(session, attempt, server, outcome, False)))
        elif choice < 0.72 and playing:
            session = rng.choice(sorted(playing))
            server = playing.pop(session)
            outcome = rng.choice((Outcome.SERVED, Outcome.RESET, Outcome.CANCELLED))
            check(driver.handle(api.AttemptEnded(session, 0, server, outcome, True)))
        elif choice < 0.82:
            listing = rng.choice(driver.listings)
            health = rng.choice((Health.READY, Health.READY, Health.DRAINING, Health.GONE))
            (unavailable.discard if health is Health.READY else unavailable.add)(listing.server)
            changed = api.ServerListing(
                listing.server,
                listing.cell,
                listing.zone,
                listing.kind,
                health,
                started_us=rng.choice((0, driver.now_us)),
            )
            check(driver.handle(api.FleetUpdate(api.ListKind.DELTA, (changed,))))
        elif choice < 0.92 and playing:
            session = rng.choice(sorted(playing))
            note = rng.choice((api.LinkNote, api.UplinkNote, api.DeliveredShare))
            check(driver.handle(note(session, playing[session], rng.uniform(0.1, 1.4))))
        else:
            check(driver.handle(api.TimerFired(0)))
    for session in sorted(out):
        server, attempt = out.pop(session)
        may_have_run.add(session)
        driver.now_us += 5_000_000  # past every deadline
        check(driver.handle(api.AttemptEnded(session, attempt, server, Outcome.TIMEOUT, False)))
    assert not unanswered, "every request is answered"
    return driver.log


@pytest.mark.parametrize("seed", range(25))
def test_the_rules_hold_on_random_event_sequences(seed: int) -> None:
    log = random_day(seed, 400)
    assert any(isinstance(a, api.SetUp) for a in log)
