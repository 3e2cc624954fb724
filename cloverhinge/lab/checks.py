"""Checks of membership that hold for every run, made on its record; each returns the violations as texts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from cloverhinge.lab.record import Event, Record

DELIVERY_GRACE_MS = 4000.0  # a death caused by a cut or a pause may be reported this long after its end
FOREVER = float("inf")


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a router or of its connections, and its duration."""

    router: str
    kind: str  # ended, paused, cut
    since_ms: float
    until_ms: float


def faults_of(record: Record) -> list[Fault]:
    """The faults of a run, from the events of the rig and the hub; a cut counts for both of its ends."""
    found: list[Fault] = []
    ended: dict[str, float] = {}
    paused: dict[str, float] = {}
    cut: dict[str, float] = {}
    for event in list(record.events):
        details = event.details
        if event.kind == "fault" and details.get("signal") in ("SIGKILL", "SIGTERM"):
            ended[event.source] = event.ms
        elif event.kind == "started" and event.source in ended:
            found.append(Fault(event.source, "ended", ended.pop(event.source), event.ms))
        elif event.kind == "fault" and details.get("signal") == "SIGSTOP":
            paused[event.source] = event.ms
        elif event.kind == "fault" and details.get("signal") == "SIGCONT" and event.source in paused:
            found.append(Fault(event.source, "paused", paused.pop(event.source), event.ms))
        elif event.kind == "fault" and (details.get("cut") or details.get("held")):
            for name in (details["sender"], details["to"]):
                cut.setdefault(name, event.ms)
        elif event.kind == "healed":
            found += [Fault(name, "cut", since, event.ms) for name, since in cut.items()]
            cut.clear()
    for kind, lasting in (("ended", ended), ("paused", paused), ("cut", cut)):
        found += [Fault(name, kind, since, FOREVER) for name, since in lasting.items()]
    return found


def justifying_faults(change: Event, found: list[Fault], bound_ms: float) -> list[Fault]:
    """The faults that justify that one router declared another dead.

    The member has ended, or it was paused or cut off for at least `bound_ms`, or the observer was cut off so
    long.
    """
    subject = change.details["name"]
    justifying = []
    for fault in found:
        if not fault.since_ms <= change.ms <= fault.until_ms + DELIVERY_GRACE_MS:
            continue
        long_enough = min(change.ms, fault.until_ms) - fault.since_ms >= bound_ms
        if (
            fault.router == subject
            and (fault.kind == "ended" or long_enough)
            or fault.kind == "cut"
            and fault.router == change.source
            and long_enough
        ):
            justifying.append(fault)
    return justifying


def unjustified_deaths(record: Record, bound_ms: float) -> list[str]:
    """Deaths declared although the member had not ended and was not paused or cut off for `bound_ms`."""
    found = faults_of(record)
    return [
        f"{x.source} declared {x.details['name']} dead at {x.ms:.0f} ms without cause: {x.details['reason']}"
        for x in record.events_of("changed")
        if x.details["to"] == "dead" and not justifying_faults(x, found, bound_ms)
    ]


def repeated_deaths(record: Record) -> list[str]:
    """Observers that declared a member dead more often than either of the two had a fault."""
    found = faults_of(record)
    deaths = Counter(
        (x.source, x.details["name"]) for x in record.events_of("changed") if x.details["to"] == "dead"
    )
    return [
        f"{observer} declared {name} dead {count} times with {fault_count} faults of the two"
        for (observer, name), count in deaths.items()
        if count > (fault_count := sum(x.router in (observer, name) for x in found))
    ]


def incarnation_decreases(record: Record) -> list[str]:
    """Members whose incarnation decreased within one run of an observer."""
    highest: dict[tuple[str, str], int] = {}
    violations = []
    for x in list(record.events):
        if x.kind == "started":
            for key in [key for key in highest if key[0] == x.source]:
                del highest[key]
        elif x.kind == "changed":
            key = x.source, x.details["name"]
            if x.details["incarnation"] < highest.get(key, 0):
                violations.append(
                    f"{x.source} went back to incarnation {x.details['incarnation']} of {x.details['name']}"
                )
            highest[key] = x.details["incarnation"]
    return violations


def all_violations(record: Record, bound_ms: float) -> list[str]:
    """The violations of all checks."""
    return unjustified_deaths(record, bound_ms) + repeated_deaths(record) + incarnation_decreases(record)
