"""Results of trials: one line each, the timeline of a failure, and the tables that are kept."""

from __future__ import annotations

import csv
from collections import Counter
from collections.abc import Sequence
from dataclasses import astuple, dataclass, fields
from pathlib import Path

from cloverhinge.lab.soak.checks import Violation, violations
from cloverhinge.lab.soak.observations import Observations, RequestSeen
from cloverhinge.lab.soak.trial import Plan

MAX_SHOWN = 6  # violations of one rule that are described
MAX_LOG_LINES = 40  # of the logs that concern a violation
BEFORE_MS, AFTER_MS = 6000.0, 1000.0  # of the timeline around a violation


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a trial; `failure` is empty where no rule was broken."""

    seed: int
    seconds: float
    routers: int
    servers: int
    longest_ms: float
    faults: str
    requests: int
    served: float  # share of those that were owed an answer
    in_shutdowns: int  # requests sent between SIGTERM and the end of their connection
    served_in_shutdowns: float
    ended_by_themselves: int  # processes, after SIGTERM
    killed: int
    lag_ms: float  # the largest delay of the observer's loop
    failure: str
    text: str = ""


def _share_served(requests: Sequence[RequestSeen]) -> float:
    return sum(x.status == 200 for x in requests) / max(1, len(requests))


def evaluate(plan: Plan, seen: Observations) -> Result:
    """Check what was seen and sum it up."""
    found = violations(seen, plan.deployment)
    owed = [
        x
        for x in seen.requests.values()
        if x.sent_ms >= 0.0 and x.left_ms is None and x.connection.behaves and x.status
    ]
    in_shutdowns = []
    for request in owed:
        terminated_ms = seen.run_of(request.connection.router, request.connection.run).terminated_ms
        if terminated_ms is not None and request.sent_ms > terminated_ms:
            in_shutdowns.append(request)
    counts = Counter(x.rule for x in found)
    return Result(
        seed=plan.seed,
        seconds=plan.seconds,
        routers=plan.routers,
        servers=plan.servers,
        longest_ms=max(x.deadline_ms for x in plan.deployment.classes),
        faults="+".join(plan.faults),
        requests=len(owed),
        served=round(_share_served(owed), 3),
        in_shutdowns=len(in_shutdowns),
        served_in_shutdowns=round(_share_served(in_shutdowns), 3),
        ended_by_themselves=sum(x.terminated_ms is not None and x.killed_ms is None for x in seen.runs),
        killed=sum(x.terminated_ms is not None and x.killed_ms is not None for x in seen.runs),
        lag_ms=round(max((late for _, late in seen.lags), default=0.0), 1),
        failure=", ".join(f"{rule} {count}" for rule, count in sorted(counts.items())),
        text="\n".join(_describe(plan, seen, found)) if found else "",
    )


def command(plan: Plan) -> str:
    """The command that plays a trial again."""
    return f"python -m cloverhinge.lab.soak --seeds {plan.seed}-{plan.seed} --only {','.join(plan.faults)}"


def _describe(plan: Plan, seen: Observations, found: Sequence[Violation]) -> list[str]:
    """The violations, and one timeline of the requests, signals and faults around the first of each rule."""
    classes = ", ".join(f"{x.name} {x.effect} {x.deadline_ms:.0f}" for x in plan.deployment.classes)
    lines = [f"seed {plan.seed}: {classes}; kill after {plan.deployment.kill_ms:.0f} ms", command(plan)]
    shown: Counter[str] = Counter()
    for violation in found:
        shown[violation.rule] += 1
        if shown[violation.rule] <= MAX_SHOWN:
            sessions = " ".join(violation.sessions)
            lines.append(f"{violation.ms:9.1f} {violation.rule}: {violation.text} {sessions}")
        if shown[violation.rule] == 1:
            lines += _timeline(seen, violation)
    return lines


def _timeline(seen: Observations, violation: Violation) -> list[str]:
    since_ms, until_ms = violation.ms - BEFORE_MS, violation.ms + AFTER_MS
    events = [(x.ms, x.text) for x in seen.faults if since_ms <= x.ms <= until_ms]
    for session in violation.sessions:
        if (request := seen.requests.get(session)) is not None:
            connection = request.connection
            events.append((connection.opened_ms, f"connection to {connection.router} run {connection.run}"))
            events.append((request.sent_ms, f"{session} sent, {request.class_name} {request.wait_ms:.0f} ms"))
            if request.left_ms is not None:
                events.append((request.left_ms, f"{session} given up by its client"))
            if request.answered_ms is not None:
                events.append((request.answered_ms, f"{session} answered {request.status}"))
            if connection.closed_ms is not None:
                events.append((connection.closed_ms, f"connection ended by {connection.closer}"))
        for attempt in seen.attempts.get(session, ()):
            events.append((attempt.first_byte_ms, f"{session} first byte at {attempt.server}"))
            events.append((attempt.ended_ms or attempt.taken_ms, f"{session} there: {attempt.end}"))
    logged = [
        (float(line[:9]), f"{run.router} log: {line[10:]}")
        for run in seen.runs
        for line in run.log
        if any(x in line for x in violation.sessions) or "shutdown" in line
    ]
    events += [x for x in logged if since_ms <= x[0] <= until_ms][-MAX_LOG_LINES:]
    return [f"    {ms:9.1f} {text}" for ms, text in sorted(events)]


def line(result: Result) -> str:
    """A trial in one line."""
    parts = (
        f"seed {result.seed:4d}",
        f"{result.seconds:4.0f} s",
        f"{result.routers} routers",
        f"longest wait {result.longest_ms / 1000:.1f} s",
        f"{result.requests:5d} requests",
        f"{result.served:.2f} served",
        f"{result.in_shutdowns:4d} in shutdowns",
        f"{result.served_in_shutdowns:.2f} served",
        f"{result.ended_by_themselves} ended",
        f"{result.killed} killed",
        f"lag {result.lag_ms:.0f} ms",
        result.failure or "no rule broken",
    )
    return ", ".join(parts)


def write_csv(results: Sequence[Result], path: Path) -> None:
    """Write the results as a table."""
    names = [x.name for x in fields(Result)][:-1]
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(names)
        writer.writerows(astuple(x)[: len(names)] for x in results)
