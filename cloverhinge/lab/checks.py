"""What must hold of every run, read from its record afterwards; each check gives the broken promises."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from cloverhinge.lab.record import Event, Record

AFTER_MS = 4000.0  # a cut's or a pause's word may still be on its way so long after its end
FOREVER = float("inf")


@dataclass(frozen=True, slots=True)
class Trouble:
    """What happened to a router, or to one of its ways, and for how long."""

    name: str
    kind: str  # ended, paused, cut
    since_ms: float
    until_ms: float


def troubles(record: Record) -> list[Trouble]:
    """The faults of a run by router, from what the rig and the hub did."""
    found: list[Trouble] = []
    ended: dict[str, float] = {}
    paused: dict[str, float] = {}
    cut: dict[str, float] = {}
    for event in list(record.events):
        told = event.told
        if event.what == "fault" and told.get("signal") in ("SIGKILL", "SIGTERM"):
            ended[event.who] = event.ms
        elif event.what == "started" and event.who in ended:
            found.append(Trouble(event.who, "ended", ended.pop(event.who), event.ms))
        elif event.what == "fault" and told.get("signal") == "SIGSTOP":
            paused[event.who] = event.ms
        elif event.what == "fault" and told.get("signal") == "SIGCONT" and event.who in paused:
            found.append(Trouble(event.who, "paused", paused.pop(event.who), event.ms))
        elif event.what == "fault" and (told.get("cut") or told.get("held")):
            for name in (told["sender"], told["to"]):
                cut.setdefault(name, event.ms)
        elif event.what == "healed":
            found += [Trouble(name, "cut", since, event.ms) for name, since in cut.items()]
            cut.clear()
    for kind, left in (("ended", ended), ("paused", paused), ("cut", cut)):
        found += [Trouble(name, kind, since, FOREVER) for name, since in left.items()]
    return found


def causes(said: Event, found: list[Trouble], bound_ms: float) -> list[Trouble]:
    """The faults that can account for one router's word that another is dead."""
    about = said.told["name"]
    rightful = []
    for one in found:
        if not one.since_ms <= said.ms <= one.until_ms + AFTER_MS:
            continue
        long = min(said.ms, one.until_ms) - one.since_ms >= bound_ms
        if (
            one.name == about
            and (one.kind == "ended" or long)
            or one.kind == "cut"
            and one.name == said.who
            and long
        ):
            rightful.append(one)
    return rightful


def wrongly_dead(record: Record, bound_ms: float) -> list[str]:
    """Nobody is declared dead who has not ended, and was not paused or cut off for the stated bound."""
    found = troubles(record)
    return [
        f"{x.who} held {x.told['name']} for dead at {x.ms:.0f} ms without a cause: {x.told['reason']}"
        for x in record.of("changed")
        if x.told["to"] == "dead" and not causes(x, found, bound_ms)
    ]


def flapping(record: Record) -> list[str]:
    """Each observer tells of a member's death at most once for each fault that it or the member had."""
    found = troubles(record)
    deaths = Counter((x.who, x.told["name"]) for x in record.of("changed") if x.told["to"] == "dead")
    return [
        f"{by} held {name} for dead {count} times, with {had} faults between them"
        for (by, name), count in deaths.items()
        if count > (had := sum(x.name in (by, name) for x in found))
    ]


def incarnations(record: Record) -> list[str]:
    """What one life of a router is told of a member's incarnation only grows."""
    highest: dict[tuple[str, str], int] = {}
    broken = []
    for x in list(record.events):
        if x.what == "started":
            for key in [key for key in highest if key[0] == x.who]:
                del highest[key]
        elif x.what == "changed":
            key = x.who, x.told["name"]
            if x.told["incarnation"] < highest.get(key, 0):
                broken.append(f"{x.who} went back to incarnation {x.told['incarnation']} of {x.told['name']}")
            highest[key] = x.told["incarnation"]
    return broken


def all_of(record: Record, bound_ms: float) -> list[str]:
    return wrongly_dead(record, bound_ms) + flapping(record) + incarnations(record)
