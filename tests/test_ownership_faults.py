"""No record is left without exactly one owner after a partition, a kill, a pause or planned restarts."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import pytest

from cloverhinge.emulator.ownership_faults import Fault, FaultHistory, Scenario
from cloverhinge.ownership.register import Denied, Phase, Promise, Slot, Work, prepare
from tests.test_ownership import random_schedule_result

SCENARIOS = [
    Scenario(Fault.PARTITION, 2),
    Scenario(Fault.KILL, 2),
    Scenario(Fault.PAUSE, 2),
    Scenario(Fault.RESTART, 2),
    Scenario(Fault.PARTITION, 3, one_down=True),
]
SEEDS = range(2)  # of each scenario; more with `python -m tests.test_ownership_faults FIRST LAST`


def faults_of(scenario: Scenario, seed: int) -> list[str]:
    history = FaultHistory(scenario, seed)
    history.run()
    return history.faults_found()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda x: f"{x.fault.value}-{x.routers}")
def test_each_play_has_one_owner_again_and_is_served_after_the_fault(scenario: Scenario, seed: int) -> None:
    """Guards against routers that refuse each other for good, and owners that never learn of a loss."""
    assert not faults_of(scenario, seed)


@pytest.mark.parametrize("seed", [7_000_070, 7_000_209])
def test_random_schedules_that_once_left_records_without_an_owner(seed: int) -> None:
    """Guards against records of which each replica names another living owner."""
    assert not random_schedule_result(seed, stores=False)


def test_lease_protects_only_a_value_above_which_nobody_has_promised() -> None:
    """Guards against a lease that protects a hand-over of which the new owner does not know."""
    work = Work("a", 1, Phase.STANDS, True)
    standing, prepared = Slot((5, "a", 0), (5, "a", 0), work), Slot((7, "a", 0), (5, "a", 0), work)
    assert isinstance(prepare(standing, (9, "b", 0), "b", 1000.0)[1], Denied)
    assert isinstance(prepare(prepared, (9, "b", 0), "b", 1000.0)[1], Promise)


def main() -> None:
    """Many seeds of each scenario: `python -m tests.test_ownership_faults FIRST LAST`."""
    seeds = range(int(sys.argv[1]), int(sys.argv[2]))
    with ProcessPoolExecutor() as pool:
        for scenario in SCENARIOS:
            results = list(pool.map(partial(faults_of, scenario), seeds))
            for seed, found in zip(seeds, results, strict=True):
                if found:
                    print(scenario, seed, found[:3], flush=True)
            print(scenario, f"{sum(map(bool, results))} of {len(results)} seeds failed", flush=True)


if __name__ == "__main__":
    main()
