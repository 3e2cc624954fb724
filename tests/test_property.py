"""Random legal days: rules 1, 2, 3 and 5 and the attempt limit hold on each.  Seeds are fixed."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Health, Outcome
from tests.helpers import BASE, Driver, settings

FAILURES = (Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)


def random_day(seed: int, steps: int) -> list[api.Action]:
    """Play random events against one instance and check the rules at every action."""
    rng = random.Random(seed)
    drive = Driver(settings(max_attempts=rng.randint(1, 4)), seed)
    classes = {one.name: one for one in BASE.classes}
    out: dict[int, tuple[int, int]] = {}  # session -> server, attempt
    playing: dict[int, int] = {}
    owed: set[int] = set()
    asked: dict[int, tuple[str, str]] = {}
    attempts: Counter[int] = Counter()
    ran: set[int] = set()
    barred: set[int] = set()

    def check(actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetUp):
                assert action.session in owed and action.session not in out, "one attempt out at a time"
                assert action.server not in barred, "drains kept"
                kind = classes[asked[action.session][0]]
                assert not (kind.effect is api.Effect.ONCE and action.session in ran), "no set-up twice"
                out[action.session] = action.server, attempts[action.session]
                attempts[action.session] += 1
                assert attempts[action.session] <= drive.controller.settings.max_attempts
                held = Counter(asked[n] for n in [*out, *playing])
                assert not kind.seats or held[asked[action.session]] <= kind.seats, "seats kept"
            elif isinstance(action, api.Refuse | api.Fail):
                assert action.session in owed and action.session not in out, "one final answer"
                owed.discard(action.session)
                if isinstance(action, api.Refuse):
                    kind = classes[asked[action.session][0]]
                    assert not (kind.effect is api.Effect.ONCE and action.session in ran)
            elif isinstance(action, api.SetRung):
                assert classes[asked[action.session][0]].floor <= action.rung <= 2, "floor kept"

    for _ in range(steps):
        drive.now_us += rng.randint(0, 300_000)
        what = rng.random()
        if what < 0.35:
            class_name, title = rng.choice(BASE.classes).name, f"t{rng.randint(0, 5)}"
            drive.last_session += 1
            asked[drive.last_session] = class_name, title
            owed.add(drive.last_session)
            check(
                drive.handle(
                    api.SessionRequested(
                        drive.last_session,
                        class_name,
                        title,
                        rng.randint(0, 5),
                        rng.randint(1, 6),
                        2,
                        drive.now_us + 4_000_000,
                    )
                )
            )
        elif what < 0.6 and out:
            session = rng.choice(sorted(out))
            server, attempt = out.pop(session)
            if rng.random() < 0.6:
                owed.discard(session)
                playing[session] = server
                check(drive.handle(api.SessionStarted(session, server, attempt)))
            else:
                outcome = rng.choice(FAILURES)
                if not outcome.never_ran:
                    ran.add(session)
                check(drive.handle(api.AttemptEnded(session, attempt, server, outcome, False)))
        elif what < 0.72 and playing:
            session = rng.choice(sorted(playing))
            server = playing.pop(session)
            outcome = rng.choice((Outcome.SERVED, Outcome.RESET, Outcome.CANCELLED))
            check(drive.handle(api.AttemptEnded(session, 0, server, outcome, True)))
        elif what < 0.82:
            listing = rng.choice(drive.listings)
            health = rng.choice((Health.READY, Health.READY, Health.DRAINING, Health.GONE))
            (barred.discard if health is Health.READY else barred.add)(listing.server)
            changed = api.ServerListing(
                listing.server,
                listing.cell,
                listing.zone,
                listing.kind,
                health,
                started_us=rng.choice((0, drive.now_us)),
            )
            check(drive.handle(api.FleetUpdate(api.ListKind.DELTA, (changed,))))
        elif what < 0.92 and playing:
            session = rng.choice(sorted(playing))
            note = rng.choice((api.LinkNote, api.UplinkNote, api.DeliveredShare))
            check(drive.handle(note(session, playing[session], rng.uniform(0.1, 1.4))))
        else:
            check(drive.handle(api.TimerFired(0)))
    for session in sorted(out):
        server, attempt = out.pop(session)
        ran.add(session)
        drive.now_us += 5_000_000  # past every deadline
        check(drive.handle(api.AttemptEnded(session, attempt, server, Outcome.TIMEOUT, False)))
    assert not owed, "no session lost"
    return drive.log


@pytest.mark.parametrize("seed", range(25))
def test_rules_hold_on_random_days(seed: int) -> None:
    log = random_day(seed, 400)
    assert any(isinstance(a, api.SetUp) for a in log)
