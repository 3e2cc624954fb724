"""The soak's short set: trials of fixed seeds, which together have every family of faults.

The long run is started by hand (`python -m cloverhinge.lab.soak`).
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from cloverhinge.lab.soak.report import evaluate, line
from cloverhinge.lab.soak.trial import ALL_FAULTS, draw_plan, play_trial

SEEDS = (4, 5, 17, 29, 37, 43, 53, 93, 98, 106, 110)


# Guards against any broken rule of the protocol under faults that come together.
@pytest.mark.soak
@pytest.mark.parametrize("seed", SEEDS)
def test_a_trial_under_faults_breaks_no_rule(tmp_path: Path, seed: int) -> None:
    plan = draw_plan(seed)
    result = evaluate(plan, asyncio.run(play_trial(plan, tmp_path)))
    print(line(result))
    assert not result.failure, result.text
    assert result.requests > 100 and result.served > 0.3


def test_the_short_set_has_every_family_of_faults_and_deadlines_of_all_lengths() -> None:
    plans = [draw_plan(seed) for seed in SEEDS]
    assert {fault for plan in plans for fault in plan.faults} == set(ALL_FAULTS)
    longest = [max(x.deadline_ms for x in plan.deployment.classes) for plan in plans]
    assert min(longest) <= 500.0 and max(longest) > 7000.0
    assert 40.0 <= sum(plan.seconds for plan in plans) <= 110.0
