"""Schedules of faults, read from a file or drawn from a seed, and run on a rig."""

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
    """One action of a schedule, `at_s` seconds after its start."""

    at_s: float
    action: str
    routers: tuple[int, ...] = ()  # indices in the rig
    others: tuple[int, ...] = ()
    parameters: dict[str, Any] = field(default_factory=dict)  # link conditions, or the number of processors


def read_schedule(path: Path) -> list[Step]:
    """Reads a TOML file of [[step]] tables; returns the steps in order of time.

    Raises ValueError with the number of the first invalid step, from 1.
    """
    steps = []
    for number, table in enumerate(tomllib.loads(path.read_text(encoding="utf-8")).get("step", []), 1):
        parameters = dict(table)
        try:
            step = Step(
                float(parameters.pop("at_s")),
                str(parameters.pop("act")),
                tuple(parameters.pop("who", ())),
                tuple(parameters.pop("others", ())),
                parameters,
            )
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(f"{path}: step {number}: {error}") from None
        if step.action not in ACTIONS:
            raise ValueError(f"{path}: step {number}: nothing is called {step.action}")
        steps.append(step)
    return sorted(steps, key=lambda x: x.at_s)


def random_pauses(seed: int, routers: int, seconds: float, every_s: float, max_s: float) -> list[Step]:
    """Draws random pauses of 0.1 to `max_s` seconds, one router at a time, on average `every_s` apart."""
    rng, now, steps = random.Random(seed), 0.0, []
    while (now := now + rng.expovariate(1.0 / every_s)) < seconds - max_s:
        routers_paused, duration = (rng.randrange(routers),), rng.uniform(0.1, max_s)
        steps += [Step(now, "pause", routers_paused), Step(now + duration, "wake", routers_paused)]
        now += duration
    return steps


def random_faults(seed: int, routers: int, seconds: float, every_s: float) -> list[Step]:
    """Draws random kills with restarts, pauses and cuts, each undone before the next."""
    rng, now, steps = random.Random(seed), 0.0, []
    while (now := now + rng.uniform(0.5, 1.5) * every_s) < seconds - every_s:
        chosen = tuple(sorted(rng.sample(range(routers), rng.randint(1, max(1, routers // 2)))))
        rest = tuple(x for x in range(routers) if x not in chosen)
        until = now + rng.uniform(0.2, 0.9) * every_s
        match rng.choice(("kill", "pause", "cut", "mute")):
            case "kill":
                steps += [Step(now, "kill", chosen[:2]), Step(until, "start", chosen[:2])]
            case "pause":
                steps += [Step(now, "pause", chosen[:1]), Step(until, "wake", chosen[:1])]
            case act:
                steps += [Step(now, act, chosen, rest), Step(until, "heal")]
        now = until
    return steps


def run_schedule(rig: Rig, steps: Sequence[Step]) -> None:
    """Performs each step at its time after the call; a step that is late is performed at once."""
    start_ms = rig.record.now()
    for step in steps:
        left_ms = start_ms + step.at_s * 1000.0 - rig.record.now()
        if left_ms > 0.0:
            rig.record.pause(left_ms / 1000.0)
        _perform(rig, step)


def _perform(rig: Rig, step: Step) -> None:
    routers, others = [rig[x] for x in step.routers], [rig[x] for x in step.others]
    match step.action:
        case "kill":
            for router in routers:
                router.kill()
        case "start":
            for router in routers:
                router.start()
        case "pause":
            for router in routers:
                router.pause()
        case "wake":
            for router in routers:
                router.resume()
        case "terminate":
            for router in routers:
                router.terminate()
        case "cut" | "mute":
            rig.hub.cut(rig.names(routers), rig.names(others), both=step.action == "cut")
        case "ways":
            rig.hub.change_default(**step.parameters)
        case "heal":
            rig.hub.heal()
        case "hold" | "let_go" | "reset":
            call = getattr(rig.hub, step.action)
            for router in routers:
                for other in others:
                    call(router.name, other.name)
        case "starve":
            rig.start_busy_loops(**step.parameters)
        case "relieve":
            rig.stop_busy_loops()
