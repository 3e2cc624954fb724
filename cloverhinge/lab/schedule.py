"""Schedules of faults: from a file or a seed, played on a rig by time."""

from __future__ import annotations

import random
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cloverhinge.lab.rig import Rig

ACTIONS = (
    "kill",
    "start",
    "pause",
    "wake",
    "terminate",
    "cut",
    "mute",
    "ways",
    "heal",
    "hold",
    "let_go",
    "reset",
    "starve",
    "relieve",
)


@dataclass(frozen=True, slots=True)
class Step:
    at_s: float
    action: str
    routers: tuple[int, ...] = ()  # numbers of routers
    others: tuple[int, ...] = ()
    parameters: dict[str, Any] = field(
        default_factory=dict
    )  # of ways: loss, delay_ms, ...; of starve: processors


def read_schedule(path: Path) -> list[Step]:
    """A TOML file of [[step]] tables; ValueError with the number of the step at fault."""
    steps = []
    for at, one in enumerate(tomllib.loads(path.read_text(encoding="utf-8")).get("step", []), 1):
        told = dict(one)
        try:
            step = Step(
                float(told.pop("at_s")),
                str(told.pop("act")),
                tuple(told.pop("who", ())),
                tuple(told.pop("others", ())),
                told,
            )
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(f"{path}: step {at}: {error}") from None
        if step.action not in ACTIONS:
            raise ValueError(f"{path}: step {at}: nothing is called {step.action}")
        steps.append(step)
    return sorted(steps, key=lambda x: x.at_s)


def random_pauses(seed: int, routers: int, seconds: float, every_s: float, max_s: float) -> list[Step]:
    """Random pauses of up to `most_s`, one router at a time, every `every_s` on the mean."""
    draw, now, steps = random.Random(seed), 0.0, []
    while (now := now + draw.expovariate(1.0 / every_s)) < seconds - max_s:
        who, lasts = (draw.randrange(routers),), draw.uniform(0.1, max_s)
        steps += [Step(now, "pause", who), Step(now + lasts, "wake", who)]
        now += lasts
    return steps


def random_faults(seed: int, routers: int, seconds: float, every_s: float) -> list[Step]:
    """Random kills with restarts, pauses and cuts, one after the other, each undone before the next."""
    draw, now, steps = random.Random(seed), 0.0, []
    while (now := now + draw.uniform(0.5, 1.5) * every_s) < seconds - every_s:
        some = tuple(sorted(draw.sample(range(routers), draw.randint(1, max(1, routers // 2)))))
        rest = tuple(x for x in range(routers) if x not in some)
        until = now + draw.uniform(0.2, 0.9) * every_s
        match draw.choice(("kill", "pause", "cut", "mute")):
            case "kill":
                steps += [Step(now, "kill", some[:2]), Step(until, "start", some[:2])]
            case "pause":
                steps += [Step(now, "pause", some[:1]), Step(until, "wake", some[:1])]
            case act:
                steps += [Step(now, act, some, rest), Step(until, "heal")]
        now = until
    return steps


def run_schedule(rig: Rig, steps: Sequence[Step]) -> None:
    """Each step at its time, counted from the call; what is behind its time is done at once."""
    begun = rig.record.now()
    for step in steps:
        left = begun + step.at_s * 1000.0 - rig.record.now()
        if left > 0.0:
            rig.record.pause(left / 1000.0)
        _perform(rig, step)


def _perform(rig: Rig, step: Step) -> None:
    who, others = [rig[x] for x in step.routers], [rig[x] for x in step.others]
    match step.action:
        case "kill":
            for one in who:
                one.kill()
        case "start":
            for one in who:
                one.start()
        case "pause":
            for one in who:
                one.pause()
        case "wake":
            for one in who:
                one.resume()
        case "terminate":
            for one in who:
                one.terminate()
        case "cut" | "mute":
            rig.hub.cut(rig.names(who), rig.names(others), both=step.action == "cut")
        case "ways":
            rig.hub.change_default(**step.parameters)
        case "heal":
            rig.hub.heal()
        case "hold" | "let_go" | "reset":
            call = getattr(rig.hub, step.action)
            for one in who:
                for other in others:
                    call(one.name, other.name)
        case "starve":
            rig.start_busy_loops(**step.parameters)
        case "relieve":
            rig.stop_busy_loops()
