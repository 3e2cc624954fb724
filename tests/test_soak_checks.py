"""The soak's checks: each reports a record that breaks its rule, and none reports one that does not."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from cloverhinge.lab.soak import __main__ as command
from cloverhinge.lab.soak.checks import violations
from cloverhinge.lab.soak.deployment import Deployment, draw_deployment
from cloverhinge.lab.soak.observations import (
    AttemptEnd,
    AttemptSeen,
    Closer,
    ConnectionSeen,
    ListChange,
    Observations,
    RequestSeen,
    RunSeen,
)
from cloverhinge.lab.soak.trial import ALL_FAULTS, draw_plan

SESSION = "00000000000000aa"
BODY = b"made by s-1"
DEPLOYMENT = draw_deployment(random.Random(1), 2)


def sound_record() -> Observations:
    """A request that was served, ended by its media server and released, at a router that ended as asked."""
    seen = Observations()
    run = RunSeen("r0", 1, 0.0, ready_ms=500.0, terminated_ms=9000.0, ended_ms=9800.0, code=0)
    seen.runs.append(run)
    connection = ConnectionSeen("r0", 1, 1000.0, closed_ms=9750.0, closer=Closer.ROUTER)
    seen.connections.append(connection)
    request = RequestSeen(SESSION, "paid", "once", 2000.0, connection, sent_ms=1100.0)
    request.status, request.answered_ms, request.body = 200, 1150.0, BODY
    request.release_ms = 3010.0
    connection.requests.append(request)
    seen.requests[SESSION] = request
    attempt = AttemptSeen("s-1", SESSION, 1101.0, 1101.0, end=AttemptEnd.ANSWERED, ended_ms=1149.0)
    attempt.bodies, attempt.released_ms, attempt.over_ms = [BODY], 3000.0, 3000.0
    seen.attempts[SESSION] = [attempt]
    return seen


def unanswered(seen: Observations, sent_ms: float) -> RequestSeen:
    request = seen.requests[SESSION]
    request.status, request.answered_ms, request.body, request.sent_ms = 0, None, b"", sent_ms
    seen.attempts.clear()
    return request


def lost_at_own_end(seen: Observations) -> None:
    unanswered(seen, 9690.0)


def lost_in_the_kill(seen: Observations) -> None:
    unanswered(seen, 9720.0)
    run = seen.runs[0]
    run.killed_ms, run.ended_ms, run.code = 9740.0, 9745.0, -9


def late(seen: Observations) -> None:
    seen.requests[SESSION].answered_ms = 1100.0 + 2000.0 + 91.0
    seen.attempts[SESSION][0].released_ms = None


def second_answer(seen: Observations) -> None:
    seen.requests[SESSION].extra_answers = 1


def unreadable(seen: Observations) -> None:
    unanswered(seen, 1100.0).unreadable = True


def served_unmade(seen: Observations) -> None:
    seen.requests[SESSION].body = b"made by nobody"


def refused_though_run(seen: Observations) -> None:
    seen.requests[SESSION].status = 503


def run_twice(seen: Observations) -> None:
    seen.attempts[SESSION].append(AttemptSeen("s-2", SESSION, 1300.0, 1300.0, bodies=[BODY]))


def two_attempts(seen: Observations) -> None:
    seen.requests[SESSION].effect = "repeatable"
    seen.attempts[SESSION].append(AttemptSeen("s-2", SESSION, 1140.0, 1140.0, bodies=[BODY]))


def unknown_set_up(seen: Observations) -> None:
    seen.attempts["00000000000000bb"] = [AttemptSeen("s-1", "00000000000000bb", 1.0, 1.0)]


def sent_to_a_draining_server(seen: Observations) -> None:
    seen.changes += [
        ListChange("r0", "s-1", "active", 0.0, 0.0),
        ListChange("r0", "s-1", "leaving", 700.0, 700.0),
    ]


def sent_to_a_removed_server(seen: Observations) -> None:
    seen.changes += [
        ListChange("r0", "s-1", "leaving", 100.0, 700.0),
        ListChange("r0", "s-1", "left", 200.0, 6200.0),
    ]


def sent_after_clients_left(seen: Observations) -> None:
    for number in range(3):
        session = f"{number:016x}"
        request = RequestSeen(session, "paid", "once", 2000.0, seen.connections[0], 1100.0, left_ms=1200.0)
        seen.requests[session] = request
        seen.attempts[session] = [AttemptSeen("s-1", session, 1301.0, 1301.0)]


def cold_server_overrun(seen: Observations, told_ms: float = 1000.0) -> None:
    seen.cold_starts.append(("s-1", 1000.0))
    seen.changes.append(ListChange("r0", "s-1", "active", 1000.0, told_ms))
    for number in range(2000):
        session = f"{number:016x}"
        request = RequestSeen(session, "free", "repeatable", 2000.0, seen.connections[0], 1100.0, status=503)
        seen.requests[session] = request
        seen.attempts[session] = [AttemptSeen("s-1", session, 1200.0, 1200.0, ended_ms=1201.0)]


def not_released(seen: Observations) -> None:
    seen.requests[SESSION].release_ms = 4060.0


def crashed(seen: Observations) -> None:
    seen.runs[0].code = 1


def ended_without_sigterm(seen: Observations) -> None:
    seen.runs[0].terminated_ms = None


def logged_a_traceback(seen: Observations) -> None:
    seen.runs[0].log.append("   1.0 Traceback (most recent call last):")


def too_much_memory(seen: Observations) -> None:
    seen.runs[0].peak_mb = DEPLOYMENT.memory_mb + 1.0


def too_many_descriptors(seen: Observations) -> None:
    seen.runs[0].peak_descriptors = DEPLOYMENT.sockets + 1


def ready_late(seen: Observations) -> None:
    seen.runs[0].started_ms = -9600.0


def serves_nobody(seen: Observations) -> None:
    for router, status in (("r1", 503), ("r2", 200), ("r3", 200)):
        seen.runs.append(RunSeen(router, 1, 0.0, ready_ms=500.0))
        connection = ConnectionSeen(router, 1, 1000.0)
        for number in range(30):
            session = f"{router}{number:014x}"
            request = RequestSeen(session, "free", "repeatable", 2000.0, connection, 1100.0, status=status)
            request.answered_ms, request.body = 1150.0, BODY
            seen.requests[session] = request
            seen.attempts[session] = [AttemptSeen("s-1", session, 1101.0, 1101.0, bodies=[BODY])]


BREAKS: dict[Callable[[Observations], None], str] = {
    lost_at_own_end: "lost",
    lost_in_the_kill: "lost",
    late: "late",
    second_answer: "second answer",
    unreadable: "unreadable",
    served_unmade: "served unmade",
    refused_though_run: "refused though run",
    run_twice: "duplicate",
    two_attempts: "two attempts",
    unknown_set_up: "unknown set-up",
    sent_to_a_draining_server: "drain",
    sent_to_a_removed_server: "drain",
    sent_after_clients_left: "client left",
    cold_server_overrun: "cold server",
    not_released: "release",
    crashed: "crash",
    ended_without_sigterm: "crash",
    logged_a_traceback: "crash",
    too_much_memory: "memory",
    too_many_descriptors: "descriptors",
    ready_late: "ready",
    serves_nobody: "serves nobody",
}


def rules(seen: Observations, deployment: Deployment = DEPLOYMENT) -> set[str]:
    return {x.rule for x in violations(seen, deployment)}


def test_a_sound_record_breaks_no_rule() -> None:
    assert rules(sound_record()) == set()


# Guards against checks that can't fail.
@pytest.mark.parametrize("break_rule", BREAKS, ids=lambda x: x.__name__)
def test_a_record_that_breaks_a_rule_is_reported(break_rule: Callable[[Observations], None]) -> None:
    seen = sound_record()
    break_rule(seen)
    assert BREAKS[break_rule] in rules(seen)


# Guards against reports of what the protocol allows.
def test_what_the_protocol_allows_is_not_reported() -> None:
    crossing = sound_record()
    unanswered(crossing, 9701.0)
    assert not rules(crossing), "crossed the close by less than 50 ms"
    early = sound_record()
    unanswered(early, 9699.0)
    early.runs[0].killed_ms, early.runs[0].code = 9740.0, -9
    assert not rules(early), "came within 0.7 s after SIGTERM and was open at the kill"
    killed = sound_record()
    unanswered(killed, 5000.0)
    killed.runs[0].terminated_ms, killed.runs[0].killed_ms = None, 9740.0
    killed.runs[0].planned_kill, killed.runs[0].code = True, -9
    assert not rules(killed), "killed outright"
    proven = sound_record()
    refused_though_run(proven)
    proven.attempts[SESSION][0].may_have_run = False
    assert not rules(proven), "the media server's answer proves that it never ran"
    untold = sound_record()
    cold_server_overrun(untold, told_ms=7000.0)
    assert not rules(untold), "the routers that overran a cold server had not been told of its start"


def test_a_seed_draws_the_same_plan_each_time_and_only_limits_its_faults() -> None:
    assert draw_plan(7) == draw_plan(7) != draw_plan(8)
    assert draw_plan(7, ("crowd", "kill")).faults == ("crowd", "kill")
    drawn = {fault for seed in range(50) for fault in draw_plan(seed).faults}
    assert drawn == set(ALL_FAULTS)


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["--seeds"],
        ["--seeds", "9-3"],
        ["--seeds", "x"],
        ["--seeds", "1-99999"],
        ["--seeds", "1-2", "--processes", "0"],
        ["--seeds", "1-2", "--processes", "many"],
        ["--seeds", "1-2", "--minutes", "-1"],
        ["--seeds", "1-2", "--only", "shutdown,rain"],
        ["--seeds", "1-2", "--csv", "/no/such/folder/x.csv"],
        ["--sneeze"],
    ],
    ids=lambda x: " ".join(x) or "nothing",
)
def test_a_bad_command_line_gets_one_sentence(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.main(arguments) == 2
    captured = capsys.readouterr()
    assert captured.err.count("\n") == 1 and not captured.out
