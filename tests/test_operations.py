"""Operator commands, merging of maintenance records, metrics and upgrade overlap, all without I/O."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverhinge.core.clock import to_us
from cloverhinge.core.model import Cause, Presence, Request, SetUpRequest, State
from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome
from cloverhinge.decision.upgrade_overlap import divide_traffic, export_learned, import_learned, import_seats
from cloverhinge.operations import commands, maintenance, overlap
from cloverhinge.operations.maintenance import MaintenanceRecord, MaintenanceRegister
from cloverhinge.operations.metrics import MetricsSnapshot
from cloverhinge.operations.overlap import Phase
from tests.helpers import BASE, Driver, actions_of
from tests.test_core import Stand


class StubTarget:
    """The router as operator commands see it."""

    not_ready_reason = ""

    def __init__(self) -> None:
        self.maintenance = MaintenanceRegister()
        self.maintenance.add_known_ids(["s-1", "s-2"])

    def metrics(self) -> MetricsSnapshot:
        return MetricsSnapshot({}, 3, 2, len(self.maintenance.active))

    def is_known(self, name: str) -> bool:
        return self.maintenance.is_known(name)

    def set_maintenance(self, name: str, active: bool) -> bool:
        return self.maintenance.set_maintenance(name, active, 1000.0)


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"\xff\xfe",
        b"status now",
        b"maint-on",
        b"maint-on a b",
        b"STATUS",
        b"stats s-1",
        b"maint-off s-9",
        b"maint-on " + b"s" * 200,
        b"help\x00",
    ],
)
def test_an_invalid_command_is_answered_with_one_nak_line(line: bytes) -> None:
    answer = commands.execute(line, StubTarget())
    assert answer.startswith("NAK ") and answer.count("\n") == 1


def test_commands_may_be_repeated_and_one_ends_the_maintenance() -> None:
    router = StubTarget()
    for _ in range(3):
        assert commands.execute(b" maint-on s-1\r", router) == "ACK\n"
    assert commands.execute(b"stats", router).splitlines() == [
        "ACK",
        "active=3",
        "pool_size=2",
        "pool_ejected=1",
        "--",
    ]
    assert commands.execute(b"maint-off s-1", router) == "ACK\n" and not router.maintenance.active
    router.not_ready_reason = "starting"
    assert commands.execute(b"status", router) == "NAK starting\n"


def test_maintenance_records_are_bounded_and_an_id_in_maintenance_stays_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(maintenance, "MAX_IN_MAINTENANCE", 2)
    monkeypatch.setattr(maintenance, "MAX_RECORDS", 4)
    monkeypatch.setattr(maintenance, "MAX_KNOWN_IDS", 3)
    register = MaintenanceRegister()
    assert [register.set_maintenance(f"s-{n}", True, float(n)) for n in range(3)] == [True, True, False]
    for n in range(50):
        register.set_maintenance(f"t-{n}", False, float(n))
    assert len(register.records) <= 4 and register.active == {"s-0", "s-1"}
    register.add_known_ids(f"u-{n}" for n in range(9))
    assert list(register.known_ids) == ["u-6", "u-7", "u-8"] and register.is_known("s-0")


changes = st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.integers(0, 5)), max_size=12)


@given(changes, st.randoms(use_true_random=False))
def test_two_processes_agree_in_whatever_order_they_merge(
    commands_given: list[tuple[str, bool, int]], order: random.Random
) -> None:
    one, other = MaintenanceRegister(), MaintenanceRegister()
    for name, active, at_ms in commands_given:
        (one if order.random() < 0.5 else other).set_maintenance(name, active, float(at_ms))
    mine, theirs = dict(one.records), maintenance.decode(other.encode())
    one.merge(theirs, 10.0)
    for name in order.sample(sorted(mine), len(mine)):
        other.merge({name: mine[name]}, 10.0)
    assert one.records == other.records and one.active == other.active
    assert one.active == {name for name, record in one.records.items() if record.active}
    assert not one.has_changes_for(other.records) and not other.has_changes_for(one.records)


@pytest.mark.parametrize(
    "data,message",
    [
        (b"", "is not a valid maintenance file"),
        (b'{"form":"bans 2","records":{}}', "is not a valid maintenance file"),
        (b'{"form":"bans 1","records":{"":[1,true]}}', "ID or time is out of range"),
        (b'{"form":"bans 1","records":{"a":[-1,true]}}', "ID or time is out of range"),
        (b"x" * 600_000, "bytes long, at most"),
    ],
)
def test_a_malformed_file_raises_a_one_sentence_error(data: bytes, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        maintenance.decode(data)


class RecordingClient:
    """Records what the client is answered, to be compared with the metrics."""

    def __init__(self) -> None:
        self.outcomes: list[str] = []

    def served(self, answer: bytes) -> None:
        self.outcomes.append("ok")

    def refused(self, hold_off_ms: float, ticket: str = "") -> None:
        self.outcomes.append("shed")

    def failed(self, why: Outcome | None) -> None:
        self.outcomes.append("errors")

    def conflict(self) -> None:
        self.outcomes.append("errors")

    def released(self, cause: Cause) -> None: ...
    def presence(self) -> Presence:
        return Presence.PRESENT

    def left(self, may_have_run: bool) -> None: ...

    def moved(self) -> None: ...


events = st.sampled_from(["ask", "serve", "full", "error", "reset", "wait", "leave", "over"])
steps = st.lists(st.tuples(events, st.integers(0, 7)), min_size=5, max_size=60)


@given(steps)
def test_each_request_is_counted_under_exactly_one_outcome(history: list[tuple[str, int]]) -> None:
    """Metrics stay exact over random events: timeouts, late and repeated answers, refusals, departures."""
    stand = Stand(cold_us=0)
    router, out = stand.router, stand.sent
    clients: list[tuple[str, RecordingClient, Request | None]] = []
    written: dict[str, int] = {"film": 0, "paid": 0}
    for number, (event, which) in enumerate(history):
        attempt = out[which % len(out)] if out else None
        if event == "ask":
            kind, client = ("film", "paid")[which % 2], RecordingClient()
            clients.append(
                (
                    kind,
                    client,
                    router.open_request(
                        SetUpRequest(f"{number:016x}", kind, f"t{which}", 0, 6, 2, 3000.0), client, stand
                    ),
                )
            )
        elif event == "wait":
            stand.pass_ms(200.0 * (1 + which))
        elif event == "leave" and clients:
            request = clients[which % len(clients)][2]
            if request is not None:
                router.viewer_left(request)
        elif event == "over" and clients:
            request = clients[which % len(clients)][2]
            if request is not None and request.state is State.ESTABLISHED:
                router.session_ended(request, Outcome.SERVED)
        elif attempt is not None:
            out.remove(attempt)
            before = attempt.written
            if router.may_write(attempt) and not before:
                written[attempt.request.service_class.name] += 1
            if event == "serve":
                router.answered(attempt, b"made")
                router.answered(attempt, b"twice")
            else:
                router.attempt_ended(
                    attempt, {"full": Outcome.FULL, "error": Outcome.ERROR, "reset": Outcome.RESET}[event]
                )
    for kind in written:
        tally, outcomes = (
            router.counters.tallies[kind],
            [x for k, p, _ in clients if k == kind for x in p.outcomes],
        )
        assert (tally.ok, tally.shed, tally.errors, tally.tries) == (
            outcomes.count("ok"),
            outcomes.count("shed"),
            outcomes.count("errors"),
            written[kind],
        )
    assert all(len(client.outcomes) <= 1 for _, client, _ in clients)


def test_a_server_in_maintenance_drains_whatever_the_list_says_and_returns_cold() -> None:
    stand = Stand()
    router, listed = stand.router, stand.listings
    router.start_maintenance(10, stand.clock.now())
    for kind in (api.ListKind.DELTA, api.ListKind.FULL):
        router.update_fleet(kind, listed)  # listed as ready again
        assert not router.sendable(10) and router.sendable(11)
    stand.told_of(10, api.Health.GONE)
    router.end_maintenance(10)
    assert 10 not in router.listings  # no longer listed
    router.start_maintenance(10, stand.clock.now())
    router.update_fleet(api.ListKind.DELTA, listed[:1])
    assert not router.sendable(10)
    server = router.controller.fleet.servers[10]
    server.failures, server.suspect_until_us = 3, 1 << 60
    server.link.load = 0.99
    router.end_maintenance(10)
    server = router.controller.fleet.servers[10]
    assert router.sendable(10) and server.failures == 0 and server.suspect_until_us == 0
    assert router.controller.warm_fraction(server) < 0.5 and router.controller.load_of(server.link) < 0.1
    router.start_maintenance(10, stand.clock.now())
    started_us = to_us(stand.clock.now()) + 2_000_000
    router.update_fleet(api.ListKind.DELTA, (replace(listed[0], started_us=started_us),))
    stand.pass_ms(6000.0)
    router.end_maintenance(10)
    assert router.controller.fleet.servers[10].cold_since_us == started_us  # the listed start is later


def test_an_attempt_that_waits_for_its_connection_is_not_sent_to_a_server_in_maintenance() -> None:
    stand = Stand(cold_us=0)
    router, _ = stand.router, stand.take()
    first = stand.sent.pop()
    router.start_maintenance(first.server, stand.clock.now())
    assert not router.may_write(first) and stand.sent[0].server != first.server
    assert router.counters.tallies["film"].tries == 0


@pytest.mark.parametrize(
    "own,others,count",
    [
        (Phase.SERVING, [], 1),
        (Phase.SERVING, [Phase.STARTING], 1),
        (Phase.SERVING, [Phase.SERVING], 2),
        (Phase.SERVING, [Phase.ENDING], 1),
        (Phase.STARTING, [Phase.SERVING], 1),
        (Phase.ENDING, [], 1),
        (Phase.SERVING, [Phase.SERVING] * 4, 2),
    ],
)
def test_how_many_processes_share_new_sessions(own: Phase, others: list[Phase], count: int) -> None:
    assert overlap.count_sharing_processes(own, others) == count


def test_the_new_process_takes_over_newer_state_of_the_old_one() -> None:
    old, new = Driver(), Driver()
    old.report_load(10, link=0.8, uplink=0.4)
    old.play("t")
    old.controller.fleet.servers[11].suspect_until_us = old.now_us + 5_000_000
    told = overlap.decode(overlap.encode(Phase.ENDING, export_learned(old.controller))).known
    new.now_us = old.now_us + 1
    new.controller.handle(new.now_us, api.TimerFired(0))
    import_learned(new.controller, new.now_us, told)
    mine = new.controller.fleet.servers
    assert mine[10].link.load == pytest.approx(0.8, abs=0.05)
    assert new.controller.tokens == old.controller.tokens
    assert mine[11].suspect_until_us == old.controller.fleet.servers[11].suspect_until_us
    mine[10].link.load, mine[10].link.measured_us = 0.1, new.now_us  # its own newer report
    import_learned(new.controller, new.now_us, told)
    assert mine[10].link.load == 0.1
    divide_traffic(new.controller, replace(BASE, budget_free=4.0), 2)
    assert new.controller.settings.budget_free == 2.0
    assert new.controller.settings.fleet_size == 2 * BASE.fleet_size
    divide_traffic(new.controller, BASE, 1)
    assert new.controller.settings == BASE


def test_seats_given_out_by_the_other_process_count_as_taken() -> None:
    old, new = Driver(), Driver()
    for _ in range(2):
        old.play("live", class_name="seated")
    told = overlap.decode(overlap.encode(Phase.SERVING, export_learned(old.controller))).known
    import_seats(new.controller, [told])
    assert not actions_of(api.SetUp, new.request("live", class_name="seated")[1])
    assert actions_of(api.SetUp, new.request("other", class_name="seated")[1])
    import_seats(new.controller, [])
    assert actions_of(api.SetUp, new.request("live", class_name="seated")[1])


def test_a_session_handed_over_is_not_added_to_a_load_that_contains_it() -> None:
    """Guards against stepping down playing sessions each time that a new version takes them over."""
    drive = Driver()
    drive.report_load(10, link=0.7)
    drive.request(server=10)
    server = drive.controller.fleet.servers[10]
    assert drive.controller.load_of(server.link) == pytest.approx(0.7)
    drive.handle(api.RungReported(drive.last_session, 10, 2))
    assert drive.controller.load_of(server.link) == pytest.approx(0.7) and server.link.booked == 400.0


def test_a_first_report_older_than_the_last_hand_over_update_contains_all_of_it() -> None:
    """Guards the first second after a start: half of the sessions were stepped down at a load of 0.56."""
    drive = Driver()
    drive.request(server=10)
    link = drive.controller.fleet.servers[10].link
    drive.handle(api.RungReported(drive.last_session, 10, 2), 300_000)
    drive.handle(
        api.AttemptEnded(99, 0, 10, api.Outcome.FULL, False, 1000, api.LoadReport(link=0.56)), 200_000
    )
    assert link.measured_us < drive.now_us - 300_000  # assumed to precede the rung report
    assert drive.controller.load_of(link) == pytest.approx(0.56)
    early = Driver()
    early.request(server=10)
    early.handle(api.LinkNote(early.last_session, 10, 0.1), 100_000)
    # Describes a moment one second ago, before this process had any session.
    early.handle(api.LinkNote(early.last_session, 10, 0.1), 100_000)
    assert early.controller.load_of(early.controller.fleet.servers[10].link) == pytest.approx(0.2)


def test_hundreds_of_sessions_handed_over_at_once_scan_no_history() -> None:
    """Guards against a stall in the first second of a new version: scanning a long history took 1.2 s."""
    drive = Driver()
    drive.report_load(10, link=0.2)
    link = drive.controller.fleet.servers[10].link
    for _ in range(300):
        link.book(drive.now_us + 1, 1.0)
        link.book(drive.now_us, -1.0)
    walked, before = link.history, len(link.history)
    for _ in range(50):
        drive.request(server=10)
    assert link.history is walked and len(walked) == before and link.booked == pytest.approx(50 * 100.0)
    assert drive.controller.load_of(link) == pytest.approx(0.2)


def test_a_later_record_wins_and_at_the_same_time_maintenance_does() -> None:
    assert MaintenanceRecord(2.0, False).supersedes(MaintenanceRecord(1.0, True)) and MaintenanceRecord(
        1.0, True
    ).supersedes(MaintenanceRecord(1.0, False))
    assert not MaintenanceRecord(1.0, False).supersedes(MaintenanceRecord(1.0, True))
