"""Deployments of the soak: classes, deadlines, limits and sizes, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

MAX_COUNTED_DEADLINE_MS = 3000.0  # the protocol counts a longer deadline as this one
KILL_DELAY_MS = 700.0  # from SIGTERM to the earliest SIGKILL, in addition to the longest deadline
NAMES = ("gold", "aula", "exam", "live", "draft", "tutoria")
EFFECTS = ("repeatable", "once", "by_key")


@dataclass(frozen=True, slots=True)
class ClassOfService:
    """A class of service as its clients know it."""

    name: str
    effect: str
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings of all routers of a trial, and what the checks need of them."""

    classes: tuple[ClassOfService, ...]
    cells: int
    places: int  # sessions of one media server
    cold_ms: float
    cold_from: float
    fall_multiple: float
    fall_window_ms: float
    answer_slack_ms: float
    drain_grace_ms: float
    memory_mb: int
    sockets: int
    settings: dict[str, Any]

    @property
    def kill_ms(self) -> float:
        """The earliest time of SIGKILL after SIGTERM."""
        longest_ms = max(x.deadline_ms for x in self.classes)
        return min(longest_ms, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS


def draw_deployment(rng: random.Random, routers: int) -> Deployment:
    """Draw a deployment with two to four classes, of which one at least may not be repeated."""
    count = rng.randint(2, 4)
    effects = ["once", *(rng.choice(EFFECTS) for _ in range(count - 1))]
    if "repeatable" not in effects:
        effects[-1] = "repeatable"
    scale = rng.choice((0.5, 0.9, 1.4, 3.0, 5.0, 8.0))
    classes = tuple(
        ClassOfService(name, effect, round(max(500.0, scale * 1000.0 * rng.uniform(0.6, 1.0)), 0))
        for name, effect in zip(rng.sample(NAMES, count), effects, strict=True)
    )
    cells, places = rng.randint(3, 5), rng.choice((80, 150, 400))
    ladder = [100.0, 200.0, 400.0][: rng.randint(1, 3)]
    cold_ms = rng.choice((4000.0, 8000.0, 12_000.0))
    rules = {
        "answerSlackUs": 40_000,
        "coldUs": int(cold_ms * 1000.0),
        "coldFrom": rng.choice((0.3, 0.4, 0.6)),
        "fallMultiple": rng.choice((1.5, 2.0, 3.0)),
        "tipAfterUs": rng.choice((1_000_000, 1_500_000)),
        "drainGraceUs": 250_000,
    }
    sockets = rng.choice((192, 256, 1024))
    settings = {
        "classes": [
            {
                "name": x.name,
                "effect": x.effect,
                "group": "all",
                "aimUs": int(min(1500.0, x.deadline_ms * rng.uniform(0.3, 0.7)) * 1000.0),
                "hardLimitUs": int(x.deadline_ms * 1000.0),
                "keyTtlUs": 5_000_000,
                "worth": rng.choice((1.0, 2.0, 5.0)),
            }
            for x in classes
        ],
        "fleetSize": routers,
        "machineTypes": ["box"],
        "zone": "z",
        "failureDomains": ["z"],
        "limits": {
            "maxAttempts": rng.randint(2, 4),
            "maxRetryAfterUs": 1_000_000,
            "mayProbe": rng.random() < 0.8,
            "retryAfter": rng.random() < 0.8,
            "connectTimeoutUs": rng.choice((200_000, 250_000, 400_000)),
            "connIdleUs": rng.choice((5_000_000, 30_000_000)),
        },
        "rules": rules,
        "specifics": {
            "cells": cells,
            "cabinets": rng.randint(1, 2),
            "ratesKb": ladder,
            "rungWorth": [round((n + 1) / len(ladder), 2) for n in range(len(ladder))],
            "weightKb": 1e6,
            "rackLinkKb": 1e7,
            "placesByKind": [places],
        },
    }
    return Deployment(
        classes=classes,
        cells=cells,
        places=places,
        cold_ms=cold_ms,
        cold_from=float(rules["coldFrom"]),
        fall_multiple=float(rules["fallMultiple"]),
        fall_window_ms=float(rules["tipAfterUs"]) / 1000.0,
        answer_slack_ms=40.0,
        drain_grace_ms=250.0,
        memory_mb=192,
        sockets=sockets,
        settings=settings,
    )
