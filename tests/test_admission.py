"""The door's decisions without a core: any sequence of events, against oracles simpler than the code."""

from __future__ import annotations

import hmac
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
from cloverhinge.site import ClientSite

POOL = fair_queue.Pool("free", 0, 4)
PAID = fair_queue.Pool("paid", 0, 4)
CLASSES = {"free": fair_queue.ClassRule(1.0, 5000.0), "paid": fair_queue.ClassRule(2.0, 3000.0)}


class Line:
    """A door before so many equal places; what it lets in stands at once."""

    def __init__(
        self, places: int = 4, weights: tuple[float, ...] = (1.0, 1.0), waiting: int = 16, promises: int = 32
    ) -> None:
        self.places, self.now, self.count = places, 1_000_000.0, 0
        clients = [
            fair_queue.Client(f"c{n}", weight, False, ReservationTable(promises, promises))
            for n, weight in enumerate(weights)
        ]
        self.door = fair_queue.AdmissionQueue(
            clients, CLASSES, 4, lambda pool: max(0, self.places - len(self.door.sessions)), waiting
        )
        self.answers: dict[int, list[fair_queue.Verdict]] = {}
        self.clients: dict[int, int] = {}  # of each who asked

    def ask(
        self,
        client: int = 0,
        viewer: int | None = None,
        pool: fair_queue.Pool = POOL,
        wait_ms: float = 3000.0,
        promise: Reservation | None = None,
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
            promise,
        )
        self.answers[self.count], self.clients[self.count] = [], client
        self._carry_out(self.door.arrive(self.now, one))
        return self.count

    def _carry_out(self, verdicts: list[fair_queue.Verdict]) -> None:
        while verdicts:
            entered = False
            for verdict in verdicts:
                self.answers[verdict.number].append(verdict)
                if isinstance(verdict, fair_queue.Admit):
                    entered = True
                    self.door.established(self.now, verdict.number, 0, 0.0)
            verdicts = self.door.serve(self.now) if entered else []

    def end(self, number: int) -> None:
        self.door.ended(self.now, number)
        self._carry_out(self.door.changed(self.now))

    def pass_ms(self, ms: float) -> None:
        until = self.now + ms
        while self.now < until:
            self.now = min(self.now + 50.0, until)
            self._carry_out(self.door.poll(self.now))

    def let_in(self, number: int) -> bool:
        return any(isinstance(one, fair_queue.Admit) for one in self.answers[number])

    def quote(self, number: int) -> fair_queue.Reject:
        (told,) = self.answers[number]
        assert isinstance(told, fair_queue.Reject)
        return told

    def steady(self, length_ms: float = 1000.0) -> None:
        """All places taken by client 1; sessions of a known length have been seen to end."""
        for _ in range(60):
            self.door.life_tables["free"].record_end(length_ms, 0.0)
        for _ in range(self.places - len(self.door.sessions)):
            self.ask(1, wait_ms=100.0)
        assert len(self.door.sessions) == self.places


STEPS = st.lists(
    st.tuples(st.sampled_from("aaaelpcx"), st.integers(0, 2), st.integers(0, 9), st.booleans()), max_size=120
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(STEPS)
def test_any_sequence_keeps_the_promises(steps: list[tuple[str, int, int, bool]]) -> None:
    """Guards one answer each, conservation, no room kept from who waits, fair order, and bounded memory."""
    line = Line(places=3, weights=(1.0, 2.0, 4.0), waiting=4, promises=8)
    gone: set[int] = set()
    for what, client, which, paid in steps:
        waiting = [x for x in line.door.waiting]
        before = {x: line.door.clients[x.arrival.client].weighted_share for x in line.door.waiting.values()}
        entered = {n for n in line.answers if line.let_in(n)}
        if what == "a":
            line.ask(
                client,
                viewer=which if paid else None,
                pool=PAID if paid else POOL,
                wait_ms=500.0 * (1 + which),
            )
        elif what == "e" and line.door.sessions:
            line.end(sorted(line.door.sessions)[which % len(line.door.sessions)])
            new = [n for n in line.answers if line.let_in(n) and n not in entered]
            if new and before:  # the oracle: nobody who waited stood lower than who came in first
                first = next(x for x in before if x.arrival.number == new[0])
                levels = [
                    line.door.clients[x.arrival.client].weighted_share for x in before if x is not first
                ]
                mine = line.door.clients[first.arrival.client]
                assert all(mine.weighted_share - 1 / 3 / mine.weight <= level + 1e-9 for level in levels)
        elif what == "l" and waiting:
            number = waiting[which % len(waiting)]
            line.door.ended(line.now, number)
            gone.add(number)
        elif what == "p":
            line.pass_ms(100.0 * (1 + which))
        elif what == "c":
            line.places = 1 + which % 4
            line._carry_out(line.door.changed(line.now))
        assert all(len(told) <= 1 for told in line.answers.values()), "one answer each"
        for number, told in line.answers.items():
            assert told or number in line.door.waiting or number in gone, "answered, waiting or gone"
        assert len(line.door.sessions) >= line.places or not line.door.waiting, "work-conserving"
        assert len(line.door.waiting) <= 4 + fair_queue.GUARANTEED_WAITING * 3
        for at, one in enumerate(line.door.clients):
            assert len(
                one.reservations
            ) <= 8 and one.asked == one.admitted + one.rejected + one.waiting + sum(
                1 for n in gone if line.clients[n] == at
            )
            lanes = [lane for bucket in one.buckets.values() for lane in bucket.lanes.values()]
            assert sum(len(lane.reserved_ms) for lane in lanes) == len(one.reservations)
            assert all(lane.positions for lane in lanes), "empty lanes go"
    line.pass_ms(700_000.0)  # all promises lapse, nobody waits
    for at in range(3):
        line.ask(at, wait_ms=0.0)
    for number in list(line.door.sessions):
        line.door.ended(line.now, number)
    assert not line.door.waiting and not line.door.sessions and not line.door.waiting_by_pool
    assert all(one.used_share < 1e-9 for one in line.door.clients)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 40), st.sampled_from((1.0, 2.0, 4.0))), min_size=1, max_size=6),
    st.integers(0, 60),
)
def test_max_min_agrees_with_filling_drop_by_drop(told: list[tuple[int, float]], room: int) -> None:
    demands, weights = [float(x) for x, _ in told], [w for _, w in told]
    shares, drop = [0.0] * len(told), 0.01
    for _ in range(int(room / drop)):
        thirsty = [n for n in range(len(told)) if shares[n] + 1e-9 < demands[n]]
        if not thirsty:
            break
        lowest = min(thirsty, key=lambda n: shares[n] / weights[n])
        shares[lowest] += drop
    assert fair_queue.max_min(float(room), demands, weights) == pytest.approx(shares, abs=0.05)


def test_a_client_under_its_share_goes_before_one_over_it() -> None:
    line = Line(places=4)
    line.steady()
    crowd = [line.ask(1) for _ in range(3)]
    late = line.ask(0)
    line.end(1)
    assert line.let_in(late) and not any(line.let_in(n) for n in crowd)


def test_weights_share_out_what_is_held() -> None:
    line = Line(places=14, weights=(1.0, 2.0, 4.0), waiting=200)
    line.steady(1000.0)
    for _ in range(60):
        for client in range(3):
            line.ask(client, wait_ms=60_000.0)
        line.end(min(line.door.sessions))
    held = [sum(1 for x in line.door.sessions.values() if x.client is c) for c in line.door.clients]
    assert held == [2, 4, 8]


def test_idleness_banks_nothing() -> None:
    """A client that comes back is level soon, and then takes turns: no more than its share at any time."""
    line = Line(places=8, waiting=200)
    line.steady()
    line.pass_ms(600_000.0)
    for _ in range(40):
        line.ask(0, wait_ms=1e9)
        line.ask(1, wait_ms=1e9)
        line.end(min(line.door.sessions))
        assert line.door.clients[0].sessions <= 5
    assert line.door.clients[0].sessions in (4, 5)


def test_checks_go_first_and_practice_is_not_starved() -> None:
    line = Line(places=4, waiting=400)
    line.steady()
    came: list[str] = []
    numbers = {
        line.ask(0, pool=pool, wait_ms=limit): name
        for _ in range(60)
        for pool, limit, name in ((PAID, 3e8, "paid"), (POOL, 5e8, "free"))
    }
    seen: set[int] = set()
    for _ in range(60):
        line.end(min(line.door.sessions))
        for number in numbers.keys() - seen:
            if line.let_in(number):
                seen.add(number)
                came.append(numbers[number])
    assert came.count("paid") > 2 * came.count("free") >= 2 * 60 * fair_queue.MIN_CLASS_SHARE


def test_who_waits_is_answered_at_once_when_it_will_not_do() -> None:
    """Guards against requests that wait to be refused: departures stop, and all hear it before their
    limit."""
    line = Line(places=20)
    line.steady(1000.0)
    waiting = [line.ask(0) for _ in range(8)]
    assert all(n in line.door.waiting for n in waiting)
    line.places, asked = 0, line.now  # a box drains: nobody comes in any more
    line.door.sessions.clear()
    line.door.curves.clear()
    line.pass_ms(600.0)
    assert len(line.door.waiting) <= 2, "but for those who may come in next, as forecasts are rough"
    line.pass_ms(1850.0)
    assert not line.door.waiting and all(line.quote(n).retry_after_ms > 0 for n in waiting)
    assert line.now - asked < 3000.0


def test_a_promise_is_kept_once_for_its_viewer_alone() -> None:
    line = Line(places=4, waiting=1)
    line.steady(40_000.0)
    told = line.quote(line.ask(1, viewer=7, wait_ms=1000.0))
    assert told.reservation is not None and told.retry_after_ms > 1000.0
    line.pass_ms(told.retry_after_ms / 2)
    early = line.quote(line.ask(1, viewer=7, wait_ms=1000.0))
    assert early.reservation == told.reservation, "who comes early hears what is left of the same promise"
    assert early.retry_after_ms == pytest.approx(told.retry_after_ms / 2, rel=0.01)
    line.pass_ms(told.retry_after_ms / 2 + 10.0)
    newcomer = line.ask(1, viewer=8, wait_ms=30_000.0)
    back, again = line.ask(1, viewer=7, wait_ms=30_000.0), line.ask(1, viewer=7, wait_ms=30_000.0)
    line.end(min(line.door.sessions))
    assert line.let_in(back) and not line.let_in(newcomer) and not line.let_in(again)
    line.end(min(line.door.sessions))
    assert line.let_in(newcomer) and not line.let_in(again), "claimed once: the second comes as a newcomer"
    client = line.door.clients[1]
    assert (client.honoured, client.early, client.broken) == (1, 1, 0)


def test_a_promise_that_nobody_claims_blocks_nobody() -> None:
    line = Line(places=4)
    line.steady(40_000.0)
    told = line.quote(line.ask(1, viewer=7, wait_ms=1000.0))
    line.pass_ms(told.retry_after_ms + 31_000.0)
    line.end(min(line.door.sessions))
    assert line.let_in(line.ask(1, viewer=8))
    assert line.door.clients[1].lapsed == 1 and not line.door.clients[1].reservations.by_serial


def test_the_table_of_promises_is_bounded_and_says_so() -> None:
    line = Line(places=4, promises=8)
    line.steady(1000.0)
    told = [line.quote(line.ask(1, wait_ms=10.0)) for _ in range(40)]
    assert sum(one.reservation is not None for one in told) == 8
    assert line.door.clients[1].unreserved >= 32 and len(line.door.clients[1].reservations) == 8


def test_tickets_forged_cut_replayed_and_of_before_a_restart() -> None:
    line, tickets = Line(), ReservationTokens(b"k" * 32, 120_000.0)
    line.steady(40_000.0)
    told = line.quote(line.ask(1, viewer=7, wait_ms=1000.0))
    assert told.reservation is not None
    text = tickets.write("c1", told.reservation)
    now = line.now

    def read(words: str, client: str = "c1", viewer: int = 7, at: float = now) -> Reservation | None:
        return tickets.read(words, at, client, viewer, 0, POOL)

    found = read(text)
    assert found is not None and found.serial == told.reservation.serial
    assert abs(found.due_ms - told.reservation.due_ms) < 3.0
    assert not any(read(text[:n]) for n in range(len(text))), "cut"
    swapped = text[:-1] + ("0" if text[-1] != "0" else "1")
    for words in (swapped, text.replace("1.", "2.", 1), "", "1.1.1.1.1." + "0" * 32, "é" * 40):
        assert read(words) is None
    assert read(text, client="c0") is None and read(text, viewer=8) is None, "somebody else's"
    assert read(text, at=found.expires_ms + 1) is None, "over"
    assert read(text, at=now - 200_000.0) is None, "a clock that went back"
    # After a restart nothing is remembered; the ticket is good for one claim.
    fresh = Line(places=4)
    fresh.door.clients[1].reservations = ReservationTable(32, 32, first_serial=1 << 40)
    fresh.now = found.due_ms + 10.0
    fresh.steady(1000.0)
    newcomer = fresh.ask(1, viewer=9, wait_ms=20_000.0)
    back = fresh.ask(1, viewer=7, wait_ms=20_000.0, promise=found)
    replay = fresh.ask(1, viewer=7, wait_ms=20_000.0, promise=replace(found))
    fresh.end(min(fresh.door.sessions))
    assert fresh.let_in(back) and not fresh.let_in(newcomer) and not fresh.let_in(replay)


def test_who_vouches_for_whom() -> None:
    maple = ClientSite("maple", 1.0, (ip_network("10.1.0.0/16"),), b"m" * 16)
    birch = ClientSite("birch", 1.0, (ip_network("10.1.2.0/24"), ip_network("fd00::/8")))
    clients = Clients((maple, birch, ClientSite("others")))
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
def test_departures_of_fixed_lengths_come_when_they_end(ages: list[float], length: float) -> None:
    """The oracle: of 100 sessions of one second, evenly begun, 100 leave each second for ever."""
    table = LifeTable()
    for _ in range(400):
        table.record_end(length, length)
    seen = departure_curve([(age, length, table.cumulative_hazards()) for age in ages])
    for ms in (250.0, 500.0, 1000.0, 4000.0, 30_000.0):
        assert seen.within(ms) == pytest.approx(ms / 10, rel=0.15), ms


def test_a_life_table_counts_those_who_still_play() -> None:
    """Guards against short sessions passing for all: one in ten has ended, the rest plays on."""
    biased, fair_table = LifeTable(), LifeTable()
    for _ in range(20):
        biased.record_end(1000.0, 10_000.0)
        fair_table.record_end(1000.0, 10_000.0)
    playing = [0.1] * 180
    assert fair_table.cumulative_hazards(playing)[1] < 0.2 * biased.cumulative_hazards()[1]
