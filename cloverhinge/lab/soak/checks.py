"""The protocol's rules, checked on what those outside of the routers saw.  Each check returns violations."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cloverhinge.lab.soak.deployment import Deployment
from cloverhinge.lab.soak.observations import (
    AttemptSeen,
    Closer,
    ListChange,
    Observations,
    RequestSeen,
    RunSeen,
)

SOCKET_SLACK_MS = 50.0  # every limit on time is this much longer on sockets
CROSSING_MS = 50.0  # a set-up that crosses the close of a connection by this much is sent once more
NEW_REQUESTS_MS = 700.0  # later ones than this after SIGTERM are lost if the kill finds them open
LEFT_MS = 100.0  # no attempt begins this long after its client left
MAX_LEFT_CASES = 2  # per trial; from the third one on it is a break
RELEASE_MS = 1000.0  # from the server's release to that of the client
CUT_MS = 8000.0  # from the end of a server's process to the release of its sessions
READY_MS = 10_000.0
SAME_TURN_MS = 3.0  # two events this close may be read by the observer in either order
SERVES_NOBODY_REQUESTS = 30  # answered requests from which on a process that served none is reported
MAX_TRACEBACK_LINES = 40
REFUSALS = {453, 454, 503}
MIN_TOLD_SHARE = 2.0 / 3.0  # of what overran a cold server: only more than this from told routers is a break
FEW = 30  # a cold server's budget under which its tolerance is wider


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule, with when and by what."""

    rule: str
    ms: float
    text: str
    sessions: tuple[str, ...] = field(default=())


Check = Callable[[Observations, Deployment], Iterator[Violation]]


def _run(seen: Observations, request: RequestSeen) -> RunSeen:
    return seen.run_of(request.connection.router, request.connection.run)


def _owed(seen: Observations) -> Iterator[RequestSeen]:
    """Requests that were sent whole by clients that behave."""
    return (x for x in seen.requests.values() if x.sent_ms >= 0.0 and x.connection.behaves)


def lost(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Requests whose connection ended without an answer."""
    for request in _owed(seen):
        connection, run = request.connection, _run(seen, request)
        if request.status or request.left_ms is not None or request.unreadable:
            continue
        closed_ms = math.inf if connection.closed_ms is None else connection.closed_ms
        if connection.closer is Closer.CLIENT or (run.planned_kill and closed_ms >= (run.killed_ms or 0.0)):
            continue
        killed = run.killed_ms is not None and closed_ms >= run.killed_ms - SAME_TURN_MS
        if killed and run.terminated_ms is not None:
            is_lost = request.sent_ms > run.terminated_ms + NEW_REQUESTS_MS
        else:
            uncertain_ms = seen.lag_within(request.sent_ms, closed_ms)
            is_lost = request.sent_ms < closed_ms - CROSSING_MS - uncertain_ms
        if is_lost:
            how = "killed" if killed else "closed by the router"
            yield Violation(
                "lost",
                request.sent_ms,
                f"{request.class_name} to {run.router} sent at {request.sent_ms:.0f}, no answer; connection "
                f"{how} at {closed_ms:.0f}, SIGTERM at {run.terminated_ms}",
                (request.session,),
            )


def late(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Requests that were answered after their time."""
    for request in _owed(seen):
        if request.answered_ms is None or request.left_ms is not None:
            continue
        limit_ms = request.wait_ms + deployment.answer_slack_ms + SOCKET_SLACK_MS
        took_ms = request.answered_ms - request.sent_ms
        if took_ms > limit_ms + seen.lag_within(request.sent_ms, request.answered_ms):
            took = f"{request.answered_ms - request.sent_ms:.0f} of {request.wait_ms:.0f} ms"
            text = f"{request.class_name} answered {request.status} after {took}"
            yield Violation("late", request.answered_ms, text, (request.session,))


def answered_twice(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Requests with a second final answer."""
    for request in _owed(seen):
        if request.extra_answers:
            text = f"{request.extra_answers} answers after the first, {request.status}"
            yield Violation("second answer", request.answered_ms or 0.0, text, (request.session,))


def unreadable(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Connections on which a router sent what is no message."""
    for request in _owed(seen):
        if request.unreadable:
            yield Violation("unreadable", request.sent_ms, "unreadable answer", (request.session,))


def served_unmade(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Requests that were served with what no media server made for them."""
    for request in seen.requests.values():
        if request.status == 200:
            made = [body for x in seen.attempts.get(request.session, ()) for body in x.bodies]
            if request.body not in made:
                text = f"served with {request.body[:40]!r}, which no server made"
                yield Violation("served unmade", request.answered_ms or 0.0, text, (request.session,))


def refused_though_run(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Requests that may not be repeated and were refused though an attempt may have run."""
    for request in seen.requests.values():
        if request.effect != "once" or request.status not in REFUSALS:
            continue
        ran = [x for x in seen.attempts.get(request.session, ()) if x.may_have_run]
        if ran:
            text = f"{request.class_name} refused with {request.status}, but {ran[0].server} took it"
            yield Violation("refused though run", request.answered_ms or 0.0, text, (request.session,))


def run_twice(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Set-ups that may not be repeated and were sent again though they may have run."""
    for session, attempts in seen.attempts.items():
        request = seen.requests.get(session)
        if request is None or request.effect != "once":
            continue
        ordered = sorted(attempts, key=lambda x: x.taken_ms)
        for earlier, later in zip(ordered, ordered[1:], strict=False):
            if earlier.may_have_run:
                text = f"{request.class_name} sent to {later.server} after {earlier.server} took it"
                yield Violation("duplicate", later.taken_ms, text, (session,))


def overlapping(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Requests with two attempts out at once."""
    for session, attempts in seen.attempts.items():
        ordered = sorted(attempts, key=lambda x: x.taken_ms)
        for earlier, later in zip(ordered, ordered[1:], strict=False):
            ended_ms = math.inf if earlier.ended_ms is None else earlier.ended_ms
            uncertain_ms = SAME_TURN_MS + seen.lag_within(earlier.taken_ms, later.taken_ms)
            if later.taken_ms < ended_ms - uncertain_ms:
                first = f"out at {earlier.server} until {ended_ms:.0f}"
                text = f"{first} and at {later.server} from {later.taken_ms:.0f}"
                yield Violation("two attempts", later.taken_ms, text, (session,))


def unknown_set_ups(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Set-ups at media servers that no client sent."""
    for session, attempts in seen.attempts.items():
        if session not in seen.requests:
            yield Violation("unknown set-up", attempts[0].taken_ms, "no client sent it", (session,))


def drained(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Attempts that began at a media server after its drain or removal was told."""
    changes: dict[tuple[str, str], list[ListChange]] = defaultdict(list)
    for change in seen.changes:
        changes[change.router, change.server].append(change)
    grace_ms = deployment.drain_grace_ms + SOCKET_SLACK_MS
    for session, attempts in seen.attempts.items():
        request = seen.requests.get(session)
        if request is None:
            continue
        ready_ms = _run(seen, request).ready_ms or 0.0
        for attempt in attempts:
            at_ms = attempt.first_byte_ms
            known = [x for x in changes[request.connection.router, attempt.server] if x.published_ms <= at_ms]
            if not known or known[-1].state == "active":
                continue
            since = len(known) - 1
            while since and known[since - 1].state != "active":
                since -= 1
            told_ms = max(min(x.told_ms for x in known[since:]), ready_ms)
            if at_ms > told_ms + grace_ms + seen.lag_within(told_ms, at_ms):
                text = f"sent to {attempt.server} at {at_ms:.0f}, told at {told_ms:.0f} that it drains"
                yield Violation("drain", at_ms, text, (session,))


def after_leaving(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Attempts that began after their client had left; the first few of a trial are put down to chance."""
    cases: list[Violation] = []
    for session, attempts in seen.attempts.items():
        request = seen.requests.get(session)
        if request is None or request.left_ms is None:
            continue
        for attempt in attempts:
            after_ms = attempt.first_byte_ms - request.left_ms
            if after_ms > LEFT_MS + seen.lag_within(request.left_ms, attempt.first_byte_ms):
                text = f"sent to {attempt.server} {after_ms:.0f} ms after its client left"
                cases.append(Violation("client left", attempt.first_byte_ms, text, (session,)))
    yield from cases[MAX_LEFT_CASES:]


def cold_budget(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Cold media servers that got more from all routers together than they bear."""
    by_server: dict[str, list[AttemptSeen]] = defaultdict(list)
    for attempts in seen.attempts.values():
        for attempt in attempts:
            by_server[attempt.server].append(attempt)
    window_ms = deployment.fall_window_ms
    for server, started_ms in seen.cold_starts:
        until_ms = started_ms + deployment.cold_ms
        arrivals = sorted(
            (x.taken_ms, _was_told(seen, x, started_ms))
            for x in by_server[server]
            if started_ms <= x.taken_ms <= until_ms
        )
        first = 0
        for last, (at_ms, _) in enumerate(arrivals):
            while arrivals[first][0] < at_ms - window_ms:
                first += 1
            warm = min(1.0, (at_ms - started_ms) / deployment.cold_ms)
            share = deployment.cold_from + (1.0 - deployment.cold_from) * warm
            budget = deployment.fall_multiple * deployment.places / deployment.cold_ms * share * window_ms
            tolerance = 3.0 * math.sqrt(budget) + 3.0 if budget < FEW else 2.0 * math.sqrt(budget) + 2.0
            count = last - first + 1
            told_count = sum(told for _, told in arrivals[first : last + 1])
            if count > budget + tolerance and told_count > MIN_TOLD_SHARE * count:
                got = f"{server} got {count} set-ups in {window_ms:.0f} ms, {told_count} by told routers"
                text = f"{got}, bears {budget + tolerance:.1f}"
                yield Violation("cold server", at_ms, text)
                break


def _was_told(seen: Observations, attempt: AttemptSeen, started_ms: float) -> bool:
    """Whether the router of an attempt had been told of the server's start, or started later itself."""
    request = seen.requests.get(attempt.session)
    if request is None:
        return True
    if _run(seen, request).started_ms > started_ms:
        return True
    return any(
        x.router == request.connection.router
        and x.server == attempt.server
        and x.state == "active"
        and x.published_ms >= started_ms - SAME_TURN_MS
        and x.told_ms <= attempt.taken_ms
        for x in seen.changes
    )


def releases(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Sessions whose end was not told to their client in time."""
    for session, attempts in seen.attempts.items():
        request = seen.requests.get(session)
        if request is None or request.status != 200 or request.ended_by_client_ms is not None:
            continue
        attempt = attempts[-1]
        over_ms, limit_ms = (
            (attempt.released_ms, RELEASE_MS) if attempt.cut_ms is None else (attempt.cut_ms, CUT_MS)
        )
        if over_ms is None or (request.answered_ms or math.inf) > over_ms:
            continue
        until_ms = over_ms + limit_ms + SOCKET_SLACK_MS
        until_ms += seen.lag_within(over_ms, until_ms)
        run = _run(seen, request)
        stops_ms = min(x for x in (run.terminated_ms, run.killed_ms, run.ended_ms, math.inf) if x is not None)
        if stops_ms < until_ms or not _has_connection(seen, run, over_ms, until_ms):
            continue
        if request.release_ms is None or request.release_ms > until_ms:
            text = f"over at {attempt.server} at {over_ms:.0f}, released at {request.release_ms}"
            yield Violation("release", over_ms, text, (session,))


def _has_connection(seen: Observations, run: RunSeen, since_ms: float, until_ms: float) -> bool:
    return any(
        x.router == run.router
        and x.run == run.number
        and x.behaves
        and x.opened_ms < since_ms
        and (x.closed_ms is None or x.closed_ms > until_ms)
        and any(r.answered_ms is not None and r.answered_ms < since_ms for r in x.requests)
        for x in seen.connections
    )


def processes(seen: Observations, deployment: Deployment) -> Iterator[Violation]:
    """Crashes, limits, slow starts, and processes that serve nobody."""
    served: Counter[tuple[str, int]] = Counter()
    answered: Counter[tuple[str, int]] = Counter()
    for request in seen.requests.values():
        key = request.connection.router, request.connection.run
        if request.connection.behaves and request.left_ms is None:
            answered[key] += request.status != 0
            served[key] += request.status == 200
    share = sum(served.values()) / max(1, sum(answered.values()))
    for run in seen.runs:
        name, at_ms = f"{run.router} run {run.number}", run.ended_ms or 0.0
        stopped_early = run.terminated_ms is not None and run.terminated_ms < (run.ready_ms or math.inf)
        allowed = run.killed_ms is not None or run.code in (0, None) or stopped_early
        if run.code is not None and run.code != 0 and not allowed:
            yield Violation("crash", at_ms, f"{name} ended with {run.code}")
        if run.code == 0 and run.terminated_ms is None:
            yield Violation("crash", at_ms, f"{name} ended without SIGTERM")
        errors = [n for n, x in enumerate(run.log) if "Traceback" in x or "Unhandled" in x]
        if errors:
            logged = "\n".join(run.log[errors[0] : errors[0] + MAX_TRACEBACK_LINES])
            yield Violation("crash", at_ms, f"{name} logged\n{logged}")
        if run.peak_mb > deployment.memory_mb:
            yield Violation("memory", at_ms, f"{name} took {run.peak_mb:.0f} MB")
        if run.peak_descriptors > deployment.sockets:
            yield Violation("descriptors", at_ms, f"{name} held {run.peak_descriptors}")
        if run.ready_ms is not None and run.ready_ms - run.started_ms > READY_MS:
            yield Violation("ready", run.ready_ms, f"{name} needed {run.ready_ms - run.started_ms:.0f} ms")
        key = run.router, run.number
        if share > 0.5 and answered[key] >= SERVES_NOBODY_REQUESTS and not served[key]:
            yield Violation("serves nobody", at_ms, f"{name} answered {answered[key]} and served none")


CHECKS: tuple[Check, ...] = (
    lost,
    late,
    answered_twice,
    unreadable,
    served_unmade,
    refused_though_run,
    run_twice,
    overlapping,
    unknown_set_ups,
    drained,
    after_leaving,
    cold_budget,
    releases,
    processes,
)


def violations(seen: Observations, deployment: Deployment) -> list[Violation]:
    """All violations, in order of time."""
    found = [x for check in CHECKS for x in check(seen, deployment)]
    return sorted(found, key=lambda x: x.ms)
