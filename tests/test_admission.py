"""Admission decisions without a core: arbitrary sequences of events, checked against simpler oracles."""

from __future__ import annotations

import hmac
import math
from dataclasses import replace
from ipaddress import ip_network

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverhinge.admission import fair_queue
from cloverhinge.admission.clients import Clients, ProofError, compute_proof
from cloverhinge.admission.forecast import LifeTable, departure_curve
from cloverhinge.admission.reservation_tokens import ReservationTokens
from cloverhinge.admission.reservations import Reservation, ReservationTable
from cloverhinge.site import ClientSettings

POOL = fair_queue.Pool("free", 0, 4)
PAID = fair_queue.Pool("paid", 0, 4)
CLASSES = {"free": fair_queue.ClassRule(1.0, 5000.0), "paid": fair_queue.ClassRule(2.0, 3000.0)}


class QueueModel:
    """An admission queue in front of equal places; admitted sessions are established at once."""

    def __init__(
        self,
        places: int = 4,
        weights: tuple[float, ...] = (1.0, 1.0),
        waiting: int = 16,
        max_reservations: int = 32,
    ) -> None:
        self.places, self.now, self.count = places, 1_000_000.0, 0
        clients = [
            fair_queue.Client(f"c{n}", weight, False, ReservationTable(max_reservations, max_reservations))
            for n, weight in enumerate(weights)
        ]
        self.queue = fair_queue.AdmissionQueue(
            clients, CLASSES, 4, lambda pool: max(0, self.places - len(self.queue.sessions)), waiting
        )
        self.answers: dict[int, list[fair_queue.Verdict]] = {}
        self.clients: dict[int, int] = {}  # client index by request

    def arrive(
        self,
        client: int = 0,
        viewer: int | None = None,
        pool: fair_queue.Pool = POOL,
        wait_ms: float = 3000.0,
        reservation: Reservation | None = None,
    ) -> int:
        self.count += 1
        one = fair_queue.Arrival(
            self.count,
            client,
            0,
            pool,
            self.count if viewer is None else viewer,
            self.now + wait_ms,
            1.0 / max(self.places, 1),
            reservation,
        )
        self.answers[self.count], self.clients[self.count] = [], client
        self.apply(self.queue.arrive(self.now, one))
        return self.count

    def apply(self, verdicts: list[fair_queue.Verdict]) -> None:
        while verdicts:
            entered = False
            for verdict in verdicts:
                self.answers[verdict.number].append(verdict)
                if isinstance(verdict, fair_queue.Admit):
                    entered = True
                    self.queue.established(self.now, verdict.number, 0, 0.0)
            verdicts = self.queue.serve(self.now) if entered else []

    def end(self, number: int) -> None:
        self.queue.ended(self.now, number)
        self.apply(self.queue.changed(self.now))

    def advance(self, ms: float) -> None:
        until = self.now + ms
        while self.now < until:
            self.now = min(self.now + 50.0, until)
            self.apply(self.queue.poll(self.now))

    def admitted(self, number: int) -> bool:
        return any(isinstance(one, fair_queue.Admit) for one in self.answers[number])

    def rejection(self, number: int) -> fair_queue.Reject:
        (answer,) = self.answers[number]
        assert isinstance(answer, fair_queue.Reject)
        return answer

    def fill(self, length_ms: float = 1000.0) -> None:
        """Let client 1 take all places, after sessions of a known length have ended."""
        for _ in range(60):
            self.queue.life_tables["free"].record_end(length_ms, 0.0)
        for _ in range(self.places - len(self.queue.sessions)):
            self.arrive(1, wait_ms=100.0)
        assert len(self.queue.sessions) == self.places


STEPS = st.lists(
    st.tuples(st.sampled_from("aaaelpcx"), st.integers(0, 2), st.integers(0, 9), st.booleans()), max_size=120
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(STEPS)
def test_any_sequence_keeps_the_invariants(steps: list[tuple[str, int, int, bool]]) -> None:
    """Checks one answer per request, consistent counters, no idle capacity, fair order, bounded memory."""
    model = QueueModel(places=3, weights=(1.0, 2.0, 4.0), waiting=4, max_reservations=8)
    left: set[int] = set()
    for action, client, which, paid in steps:
        waiting = [x for x in model.queue.waiting]
        shares_before = {
            x: model.queue.clients[x.arrival.client].weighted_share for x in model.queue.waiting.values()
        }
        admitted_before = {n for n in model.answers if model.admitted(n)}
        if action == "a":
            model.arrive(
                client,
                viewer=which if paid else None,
                pool=PAID if paid else POOL,
                wait_ms=500.0 * (1 + which),
            )
        elif action == "e" and model.queue.sessions:
            model.end(sorted(model.queue.sessions)[which % len(model.queue.sessions)])
            new = [n for n in model.answers if model.admitted(n) and n not in admitted_before]
            # Oracle: no waiting client had a lower weighted share than the client of the admitted request.
            if new and shares_before:
                first = next(x for x in shares_before if x.arrival.number == new[0])
                levels = [
                    model.queue.clients[x.arrival.client].weighted_share
                    for x in shares_before
                    if x is not first
                ]
                winner = model.queue.clients[first.arrival.client]
                assert all(winner.weighted_share - 1 / 3 / winner.weight <= level + 1e-9 for level in levels)
        elif action == "l" and waiting:
            number = waiting[which % len(waiting)]
            model.queue.ended(model.now, number)
            left.add(number)
        elif action == "p":
            model.advance(100.0 * (1 + which))
        elif action == "c":
            model.places = 1 + which % 4
            model.apply(model.queue.changed(model.now))
        assert all(len(answer) <= 1 for answer in model.answers.values()), "one answer each"
        for number, answer in model.answers.items():
            assert answer or number in model.queue.waiting or number in left, "answered, waiting or gone"
        assert len(model.queue.sessions) >= model.places or not model.queue.waiting, "work-conserving"
        assert len(model.queue.waiting) <= 4 + fair_queue.GUARANTEED_WAITING * 3
        for index, client_state in enumerate(model.queue.clients):
            assert (
                len(client_state.reservations) <= 8
                and client_state.asked
                == client_state.admitted
                + client_state.rejected
                + client_state.waiting
                + sum(1 for n in left if model.clients[n] == index)
            )
            lanes = [lane for bucket in client_state.buckets.values() for lane in bucket.lanes.values()]
            assert sum(len(lane.reserved_ms) for lane in lanes) == len(client_state.reservations)
            assert all(lane.positions for lane in lanes), "empty lanes are removed"
    model.advance(700_000.0)  # all reservations lapse, no request waits
    for index in range(3):
        model.arrive(index, wait_ms=0.0)
    for number in list(model.queue.sessions):
        model.queue.ended(model.now, number)
    assert not model.queue.waiting and not model.queue.sessions and not model.queue.waiting_by_pool
    assert all(client_state.used_share < 1e-9 for client_state in model.queue.clients)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 40), st.sampled_from((1.0, 2.0, 4.0))), min_size=1, max_size=6),
    st.integers(0, 60),
)
def test_max_min_agrees_with_filling_in_small_increments(
    clients: list[tuple[int, float]], capacity: int
) -> None:
    demands, weights = [float(x) for x, _ in clients], [w for _, w in clients]
    shares, increment = [0.0] * len(clients), 0.01
    for _ in range(int(capacity / increment)):
        unsatisfied = [n for n in range(len(clients)) if shares[n] + 1e-9 < demands[n]]
        if not unsatisfied:
            break
        lowest = min(unsatisfied, key=lambda n: shares[n] / weights[n])
        shares[lowest] += increment
    assert fair_queue.max_min(float(capacity), demands, weights) == pytest.approx(shares, abs=0.05)


def test_a_client_under_its_share_goes_before_one_over_it() -> None:
    model = QueueModel(places=4)
    model.fill()
    crowd = [model.arrive(1) for _ in range(3)]
    late = model.arrive(0)
    model.end(1)
    assert model.admitted(late) and not any(model.admitted(n) for n in crowd)


def test_capacity_is_divided_by_weight() -> None:
    model = QueueModel(places=14, weights=(1.0, 2.0, 4.0), waiting=200)
    model.fill(1000.0)
    for _ in range(60):
        for client in range(3):
            model.arrive(client, wait_ms=60_000.0)
        model.end(min(model.queue.sessions))
    held = [sum(1 for x in model.queue.sessions.values() if x.client is c) for c in model.queue.clients]
    assert held == [2, 4, 8]


def test_an_idle_client_accumulates_no_credit() -> None:
    """A client that returns after an idle time gets its share soon, and never more than that."""
    model = QueueModel(places=8, waiting=200)
    model.fill()
    model.advance(600_000.0)
    for _ in range(40):
        model.arrive(0, wait_ms=1e9)
        model.arrive(1, wait_ms=1e9)
        model.end(min(model.queue.sessions))
        assert model.queue.clients[0].sessions <= 5
    assert model.queue.clients[0].sessions in (4, 5)


def test_the_class_of_higher_worth_goes_first_and_the_other_is_not_starved() -> None:
    model = QueueModel(places=4, waiting=400)
    model.fill()
    order: list[str] = []
    numbers = {
        model.arrive(0, pool=pool, wait_ms=limit): name
        for _ in range(60)
        for pool, limit, name in ((PAID, 3e8, "paid"), (POOL, 5e8, "free"))
    }
    seen: set[int] = set()
    for _ in range(60):
        model.end(min(model.queue.sessions))
        for number in numbers.keys() - seen:
            if model.admitted(number):
                seen.add(number)
                order.append(numbers[number])
    assert order.count("paid") > 2 * order.count("free") >= 2 * 60 * fair_queue.MIN_CLASS_SHARE


def test_waiting_requests_are_rejected_early_when_departures_stop() -> None:
    """Requests that can't be admitted any more are rejected before their limit, not at it."""
    model = QueueModel(places=20)
    model.fill(1000.0)
    waiting = [model.arrive(0) for _ in range(8)]
    assert all(n in model.queue.waiting for n in waiting)
    model.places, asked = 0, model.now  # a media server drains: no request can be admitted
    model.queue.sessions.clear()
    model.queue.curves.clear()
    model.advance(600.0)
    assert len(model.queue.waiting) <= 2, "all but those that may be next, as forecasts are rough"
    model.advance(1850.0)
    assert not model.queue.waiting and all(model.rejection(n).retry_after_ms > 0 for n in waiting)
    assert model.now - asked < 3000.0


def test_a_reservation_is_honoured_once_and_only_for_its_viewer() -> None:
    model = QueueModel(places=4, waiting=1)
    model.fill(40_000.0)
    answer = model.rejection(model.arrive(1, viewer=7, wait_ms=1000.0))
    assert answer.reservation is not None and answer.retry_after_ms > 1000.0
    model.advance(answer.retry_after_ms / 2)
    early = model.rejection(model.arrive(1, viewer=7, wait_ms=1000.0))
    assert early.reservation == answer.reservation, "a viewer that comes early keeps its reservation"
    assert early.retry_after_ms == pytest.approx(answer.retry_after_ms / 2, rel=0.01)
    model.advance(answer.retry_after_ms / 2 + 10.0)
    new_viewer = model.arrive(1, viewer=8, wait_ms=30_000.0)
    returned, repeated = (
        model.arrive(1, viewer=7, wait_ms=30_000.0),
        model.arrive(1, viewer=7, wait_ms=30_000.0),
    )
    model.end(min(model.queue.sessions))
    assert model.admitted(returned) and not model.admitted(new_viewer) and not model.admitted(repeated)
    model.end(min(model.queue.sessions))
    assert model.admitted(new_viewer) and not model.admitted(
        repeated
    ), "claimed once: the repeated request has no reservation"
    client = model.queue.clients[1]
    assert (client.honoured, client.early, client.broken) == (1, 1, 0)


def test_an_unclaimed_reservation_blocks_nobody() -> None:
    model = QueueModel(places=4)
    model.fill(40_000.0)
    answer = model.rejection(model.arrive(1, viewer=7, wait_ms=1000.0))
    model.advance(answer.retry_after_ms + 31_000.0)
    model.end(min(model.queue.sessions))
    assert model.admitted(model.arrive(1, viewer=8))
    assert model.queue.clients[1].lapsed == 1 and not model.queue.clients[1].reservations.by_serial


def test_the_table_of_reservations_is_bounded() -> None:
    model = QueueModel(places=4, max_reservations=8)
    model.fill(1000.0)
    answers = [model.rejection(model.arrive(1, wait_ms=10.0)) for _ in range(40)]
    assert sum(one.reservation is not None for one in answers) == 8
    assert model.queue.clients[1].unreserved >= 32 and len(model.queue.clients[1].reservations) == 8


def test_tokens_forged_truncated_replayed_and_from_before_a_restart() -> None:
    model, tokens = QueueModel(), ReservationTokens(b"k" * 32, 120_000.0)
    model.fill(40_000.0)
    answer = model.rejection(model.arrive(1, viewer=7, wait_ms=1000.0))
    assert answer.reservation is not None
    text = tokens.write("c1", answer.reservation)
    now = model.now

    def read(text_given: str, client: str = "c1", viewer: int = 7, at: float = now) -> Reservation | None:
        return tokens.read(text_given, at, client, viewer, 0, POOL)

    found = read(text)
    assert found is not None and found.serial == answer.reservation.serial
    assert abs(found.due_ms - answer.reservation.due_ms) < 3.0
    assert not any(read(text[:n]) for n in range(len(text))), "truncated"
    altered = text[:-1] + ("0" if text[-1] != "0" else "1")
    for text_given in (altered, text.replace("1.", "2.", 1), "", "1.1.1.1.1." + "0" * 32, "é" * 40):
        assert read(text_given) is None
    assert read(text, client="c0") is None and read(text, viewer=8) is None, "of another client or viewer"
    assert read(text, at=found.expires_ms + 1) is None, "expired"
    assert read(text, at=now - 200_000.0) is None, "the clock went back"
    # After a restart the table is empty; the token is valid for one claim.
    restarted = QueueModel(places=4)
    restarted.queue.clients[1].reservations = ReservationTable(32, 32, first_serial=1 << 40)
    restarted.now = found.due_ms + 10.0
    restarted.fill(1000.0)
    new_viewer = restarted.arrive(1, viewer=9, wait_ms=20_000.0)
    returned = restarted.arrive(1, viewer=7, wait_ms=20_000.0, reservation=found)
    replayed = restarted.arrive(1, viewer=7, wait_ms=20_000.0, reservation=replace(found))
    restarted.end(min(restarted.queue.sessions))
    assert (
        restarted.admitted(returned)
        and not restarted.admitted(new_viewer)
        and not restarted.admitted(replayed)
    )


def test_clients_are_identified_by_network_or_proof() -> None:
    maple = ClientSettings("maple", 1.0, (ip_network("10.1.0.0/16"),), b"m" * 16)
    birch = ClientSettings("birch", 1.0, (ip_network("10.1.2.0/24"), ip_network("fd00::/8")))
    clients = Clients((maple, birch, ClientSettings("others")))
    assert [
        clients.identify(peer, "", "", "p") for peer in ("10.1.9.9", "10.1.2.9", "fd00::1", "9.9.9.9", "?")
    ] == [0, 1, 1, 2, 2]
    good = compute_proof(b"m" * 16, "maple", "play-1")
    assert good == hmac.new(b"m" * 16, b"maple/play-1", "sha256").hexdigest()
    assert clients.identify("9.9.9.9", "maple", good.upper(), "play-1") == 0
    for name, proof, what in (
        ("maple", good, "play-2"),
        ("maple", good[:-1], "play-1"),
        ("maple", "", "play-1"),
        ("birch", compute_proof(b"", "birch", "play-1"), "play-1"),
        ("", good, "play-1"),
        ("nobody", compute_proof(b"", "nobody", "play-1"), "play-1"),
        ("maple", "é", "play-1"),
    ):
        with pytest.raises(ProofError):
            clients.identify("9.9.9.9", name, proof, what)


@pytest.mark.parametrize("ages,length", [([float(n) for n in range(0, 1000, 10)], 1000.0)])
def test_sessions_of_fixed_length_depart_when_they_end(ages: list[float], length: float) -> None:
    """Oracle: of 100 sessions of one second each, started evenly, 100 end in every second."""
    table = LifeTable()
    for _ in range(400):
        table.record_end(length, length)
    seen = departure_curve([(age, length, table.cumulative_hazards()) for age in ages])
    for ms in (250.0, 500.0, 1000.0, 4000.0, 30_000.0):
        assert seen.within(ms) == pytest.approx(ms / 10, rel=0.15), ms


def test_a_life_table_counts_sessions_that_still_play() -> None:
    """Sessions that still play count: otherwise the one in ten that ended early would appear typical."""
    biased, fair_table = LifeTable(), LifeTable()
    for _ in range(20):
        biased.record_end(1000.0, 10_000.0)
        fair_table.record_end(1000.0, 10_000.0)
    playing = [0.1] * 180
    assert fair_table.cumulative_hazards(playing)[1] < 0.2 * biased.cumulative_hazards()[1]


# Guards against an arithmetic error, or no number, where a client names an extreme length of its session.
@given(
    st.lists(
        st.tuples(st.floats(0.0, 1e9), st.floats(0.0, 1e15) | st.sampled_from([5e-324, 1e-200, 1e-9, 9e14])),
        min_size=1,
        max_size=6,
    ),
    st.lists(st.tuples(st.floats(0.0, 1e9), st.floats(0.0, 1e15)), max_size=3),
)
def test_forecasts_are_finite_for_any_length(
    playing: list[tuple[float, float]], ended: list[tuple[float, float]]
) -> None:
    table = LifeTable()
    for age_ms, hint_ms in ended:
        table.record_end(age_ms, hint_ms)
    curve = departure_curve(
        [(age_ms, table.length_ms(hint_ms), table.cumulative_hazards()) for age_ms, hint_ms in playing]
    )
    found = [curve.within(ms) for ms in (0.0, 250.0, 10_000.0, 1e6)]
    assert all(math.isfinite(count) and count >= 0.0 for count in found), found
