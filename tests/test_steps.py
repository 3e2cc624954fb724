"""Planning steps down: the heap chooses what a full search over all sessions would choose."""

from __future__ import annotations

import random

import pytest

from cloverhinge.decision.state import Limit, Session
from tests.helpers import Driver, settings


def playing(count: int, seed: int) -> tuple[Driver, list[Limit]]:
    drive = Driver(settings(places_by_kind={"box": 100_000}, weight_kb=1e9, uplink_kb=1e9))
    rng = random.Random(seed)
    for _ in range(count):
        drive.play(f"t{rng.randrange(5)}", class_name=rng.choice(["film", "paid", "gold"]))
    for session in drive.controller.sessions.values():
        session.rung = max(session.service_class.floor, rng.randrange(3))
    server = max(drive.controller.fleet.servers.values(), key=lambda x: len(x.link.sessions))
    return drive, [server.link, server.uplink]


def search(drive: Driver, over: dict[Limit, float], planned: dict[int, int], most: float) -> bool:
    """The plain way: look at every session for every step."""
    while (excess := max(over.values())) > 0:
        tight = next(limit for limit in over if over[limit] == excess)
        steps = [
            drive.controller.next_step_down(n, x, planned)
            for n, x in tight.sessions.items()
            if x.playing and planned.get(n, x.rung) > x.service_class.floor
        ]
        if not steps or min(steps)[0] > most:
            return False
        _, number, rung, kb = min(steps)
        planned[number] = rung
        for limit in over:
            over[limit] -= kb if number in limit.sessions else 0.0
    return True


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("most", [0.002, 1e99])
def test_the_steps_are_those_of_a_full_search(seed: int, most: float) -> None:
    drive, limits = playing(40, seed)
    amounts = [random.Random(seed).uniform(-500, 4000) for _ in limits]
    plans = [dict[int, int](), dict[int, int]()]
    asked = [dict(zip(limits, amounts, strict=True)) for _ in plans]
    done = drive.controller.plan_steps_down(asked[0], plans[0], most, False)
    assert (done, plans[0], asked[0]) == (search(drive, asked[1], plans[1], most), plans[1], asked[1])


def counted(drive: Driver) -> list[int]:
    """Grows by one with each session whose next step is looked at."""
    looks: list[int] = []
    plain = drive.controller.next_step_down

    def looked(number: int, session: Session, planned: dict[int, int]) -> tuple[float, int, int, float]:
        looks.append(number)
        return plain(number, session, planned)

    drive.controller.next_step_down = looked  # type: ignore[method-assign]
    return looks


def test_many_steps_on_a_full_rack_don_t_hold_the_requests_up() -> None:
    """Guards against the search whose time grew with sessions times steps: it stood still for seconds.

    Counted in looks, as processor time told another ratio on a busy machine.
    """
    drive, limits = playing(1500, 1)
    looks, planned = counted(drive), dict[int, int]()
    assert not drive.controller.plan_steps_down(
        dict.fromkeys(limits, 1e9), planned, 1e99, False
    )  # all there are
    heap, steps = len(looks), sum(x.rung - planned.get(n, x.rung) for n, x in limits[0].sessions.items())
    assert steps > 300 and heap <= len(limits) * (len(limits[0].sessions) + steps)
    looks.clear()
    assert not search(drive, dict.fromkeys(limits, 1e9), {}, 1e99)
    assert heap * 5 < len(looks)
