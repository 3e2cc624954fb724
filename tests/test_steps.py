"""Planning steps down: the heap chooses the same steps as a full search over all sessions."""

from __future__ import annotations

import random

import pytest

from cloverhinge.decision.state import Limit, Session
from tests.helpers import Driver, settings


def playing(count: int, seed: int) -> tuple[Driver, list[Limit]]:
    driver = Driver(settings(places_by_kind={"box": 100_000}, weight_kb=1e9, uplink_kb=1e9))
    rng = random.Random(seed)
    for _ in range(count):
        driver.play(f"t{rng.randrange(5)}", class_name=rng.choice(["film", "paid", "gold"]))
    for session in driver.controller.sessions.values():
        session.rung = max(session.service_class.floor, rng.randrange(3))
    server = max(driver.controller.fleet.servers.values(), key=lambda x: len(x.link.sessions))
    return driver, [server.link, server.uplink]


def search(driver: Driver, over: dict[Limit, float], planned: dict[int, int], max_cost: float) -> bool:
    """Reference algorithm: examines every session for every step."""
    while (excess := max(over.values())) > 0:
        tight = next(limit for limit in over if over[limit] == excess)
        steps = [
            driver.controller.next_step_down(n, x, planned)
            for n, x in tight.sessions.items()
            if x.playing and planned.get(n, x.rung) > x.service_class.floor
        ]
        if not steps or min(steps)[0] > max_cost:
            return False
        _, number, rung, kb = min(steps)
        planned[number] = rung
        for limit in over:
            over[limit] -= kb if number in limit.sessions else 0.0
    return True


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("max_cost", [0.002, 1e99])
def test_the_steps_are_those_of_a_full_search(seed: int, max_cost: float) -> None:
    driver, limits = playing(40, seed)
    amounts = [random.Random(seed).uniform(-500, 4000) for _ in limits]
    plans = [dict[int, int](), dict[int, int]()]
    excess_by_plan = [dict(zip(limits, amounts, strict=True)) for _ in plans]
    done = driver.controller.plan_steps_down(excess_by_plan[0], plans[0], max_cost, False)
    assert (done, plans[0], excess_by_plan[0]) == (
        search(driver, excess_by_plan[1], plans[1], max_cost),
        plans[1],
        excess_by_plan[1],
    )


def counted(driver: Driver) -> list[int]:
    """Returns a list that grows by one with each session whose next step is computed."""
    looks: list[int] = []
    plain = driver.controller.next_step_down

    def looked(number: int, session: Session, planned: dict[int, int]) -> tuple[float, int, int, float]:
        looks.append(number)
        return plain(number, session, planned)

    driver.controller.next_step_down = looked  # type: ignore[method-assign]
    return looks


def test_many_steps_on_a_full_rack_take_little_work() -> None:
    """Guards against a search whose time grows with sessions times steps, which blocked requests for seconds.

    Computed steps are counted, as the ratio of processor times depends on the load of the machine.
    """
    driver, limits = playing(1500, 1)
    looks, planned = counted(driver), dict[int, int]()
    assert not driver.controller.plan_steps_down(
        dict.fromkeys(limits, 1e9), planned, 1e99, False
    )  # all steps there are
    heap, steps = len(looks), sum(x.rung - planned.get(n, x.rung) for n, x in limits[0].sessions.items())
    assert steps > 300 and heap <= len(limits) * (len(limits[0].sessions) + steps)
    looks.clear()
    assert not search(driver, dict.fromkeys(limits, 1e9), {}, 1e99)
    assert heap * 5 < len(looks)
