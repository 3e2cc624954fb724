"""What must hold of every run, read from its record afterwards; each check gives the broken promises."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from cloverhinge.lab.record import Event, Record

DELIVERY_GRACE_MS = 4000.0  # a cut's or a pause's word may still be on its way so long after its end
FOREVER = float("inf")


@dataclass(frozen=True, slots=True)
class Fault:
    """What happened to a router, or to one of its ways, and for how long."""

    router: str
    kind: str  # ended, paused, cut
    since_ms: float
    until_ms: float


def faults_of(record: Record) -> list[Fault]:
    """The faults of a run by router, from what the rig and the hub did."""
    found: list[Fault] = []
    ended: dict[str, float] = {}
    paused: dict[str, float] = {}
    cut: dict[str, float] = {}
    for event in list(record.events):
        told = event.details
        if event.kind == "fault" and told.get("signal") in ("SIGKILL", "SIGTERM"):
            ended[event.source] = event.ms
        elif event.kind == "started" and event.source in ended:
            found.append(Fault(event.source, "ended", ended.pop(event.source), event.ms))
        elif event.kind == "fault" and told.get("signal") == "SIGSTOP":
            paused[event.source] = event.ms
        elif event.kind == "fault" and told.get("signal") == "SIGCONT" and event.source in paused:
            found.append(Fault(event.source, "paused", paused.pop(event.source), event.ms))
        elif event.kind == "fault" and (told.get("cut") or told.get("held")):
            for name in (told["sender"], told["to"]):
                cut.setdefault(name, event.ms)
        elif event.kind == "healed":
            found += [Fault(name, "cut", since, event.ms) for name, since in cut.items()]
            cut.clear()
    for kind, left in (("ended", ended), ("paused", paused), ("cut", cut)):
        found += [Fault(name, kind, since, FOREVER) for name, since in left.items()]
    return found


def justifying_faults(change: Event, found: list[Fault], bound_ms: float) -> list[Fault]:
    """The faults that can account for one router's word that another is dead."""
    about = change.details["name"]
    rightful = []
    for one in found:
        if not one.since_ms <= change.ms <= one.until_ms + DELIVERY_GRACE_MS:
            continue
        long = min(change.ms, one.until_ms) - one.since_ms >= bound_ms
        if (
            one.router == about
            and (one.kind == "ended" or long)
            or one.kind == "cut"
            and one.router == change.source
            and long
        ):
            rightful.append(one)
    return rightful


def unjustified_deaths(record: Record, bound_ms: float) -> list[str]:
    """Nobody is declared dead who has not ended, and was not paused or cut off for the stated bound."""
    found = faults_of(record)
    return [
        f"{x.source} declared {x.details['name']} dead at {x.ms:.0f} ms without cause: {x.details['reason']}"
        for x in record.events_of("changed")
        if x.details["to"] == "dead" and not justifying_faults(x, found, bound_ms)
    ]


def repeated_deaths(record: Record) -> list[str]:
    """Each observer tells of a member's death at most once for each fault that it or the member had."""
    found = faults_of(record)
    deaths = Counter(
        (x.source, x.details["name"]) for x in record.events_of("changed") if x.details["to"] == "dead"
    )
    return [
        f"{by} held {name} for dead {count} times, with {had} faults between them"
        for (by, name), count in deaths.items()
        if count > (had := sum(x.router in (by, name) for x in found))
    ]


def incarnation_decreases(record: Record) -> list[str]:
    """What one life of a router is told of a member's incarnation only grows."""
    highest: dict[tuple[str, str], int] = {}
    broken = []
    for x in list(record.events):
        if x.kind == "started":
            for key in [key for key in highest if key[0] == x.source]:
                del highest[key]
        elif x.kind == "changed":
            key = x.source, x.details["name"]
            if x.details["incarnation"] < highest.get(key, 0):
                broken.append(
                    f"{x.source} went back to incarnation {x.details['incarnation']} of {x.details['name']}"
                )
            highest[key] = x.details["incarnation"]
    return broken


def all_violations(record: Record, bound_ms: float) -> list[str]:
    return unjustified_deaths(record, bound_ms) + repeated_deaths(record) + incarnation_decreases(record)
