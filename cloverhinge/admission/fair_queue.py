"""The door's decisions: who is let in, who waits, who is answered at once and with which quote.  Free of I/O.

Events and a time go in, verdicts come out.  Requests are known by opaque numbers.  Times are ms; a part is a
session's dominant share of links and places (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011), so a
client's holding is a share of the fleet.  docs/design/door.md says why it is done so.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import inf

from sortedcontainers import SortedList

from cloverhinge.admission.forecast import DepartureCurve, LifeTable, departure_curve
from cloverhinge.admission.reservations import Reservation, ReservationTable

BUCKETS = 64  # of addresses inside a client whom nobody vouches for
MAX_LANES = 64  # of a bucket: who asks for yet another pool is quoted without a promise
GUARANTEED_WAITING = 8  # requests of a client that may wait even where the door is full of others
MAX_BUCKET_FRACTION = 1 / 8  # of the requests that may wait: the most of one bucket where there are many
MAX_CLIENT_FRACTION = 1 / 2  # and of one client
MIN_TIME_LEFT_MS = 50.0  # time left that counts as none: the pace of looking
MIN_CLASS_SHARE = 0.1  # of a bucket's turns, for each class that waits
SET_UP_FRACTION, MAX_SET_UP_MS = 0.3, 600.0  # of a request's time, kept for its set-up after it is let in
CAPACITY_CACHE_MS = 20.0  # what had no room is not asked for again so soon, unless something has left
CAPACITY_FRACTION = 0.25  # of the room that is told, let in at the most before it is asked for again
FORECAST_INTERVAL_MS = 500.0  # pace at which forecasts are made anew
NEAR_POSITION_RATIO = 0.8  # places so near to each other share a forecast
CLAIM_RATE_WEIGHT = 1 / 32  # of the latest promise, claimed or lost, in the share that is claimed
FORECAST_SMOOTHING = 0.2  # weight of the newest forecast beside those before
EXPOSURE_INTERVAL_MS = 1000.0  # and life tables weighed with what plays
MAX_CACHED_POOLS = 256  # pools remembered with a forecast, or as full, at a time
WINDOW_FRACTION = 0.25  # of a quote: for so long from its time on the promise stands open,
MIN_WINDOW_MS, MAX_WINDOW_MS = 5000.0, 30_000.0  # within these: a player's pause; a bound on the line
ESTIMATE_MARGIN = (
    1.3  # of forecasts: with all promised that is forecast, one dip leaves a queue that never ends
)
MIN_RETRY_AFTER_MS = 250.0  # a viewer that comes sooner finds the same sessions standing
SEARCH_STEPS = 14  # halvings of the time in which a place is looked for: to one part in 16,000
RATE_SPAN_MS = 10_000.0  # newcomers of a client are counted over this time


@dataclass(frozen=True, slots=True)
class ClassRule:
    """What the door goes by of a class."""

    worth: float
    limit_ms: float  # how long its viewers wait, as a rule


@dataclass(frozen=True, slots=True)
class Pool:
    """Requests that the same room serves: a class on a title's cells; of one title alone, where it has
    seats."""

    class_name: str
    first_cell: int
    copies: int
    title: str = ""

    def overlaps(self, other: Pool, cells: int) -> bool:
        """Whether a box of one pool may be a box of the other."""
        if min(self.copies, other.copies) >= cells:
            return True
        ahead = (other.first_cell - self.first_cell) % cells
        return ahead < self.copies or cells - ahead < other.copies


@dataclass(frozen=True, slots=True)
class Arrival:
    number: int
    client: int
    bucket: int
    pool: Pool
    viewer: int  # who comes, as a number that is told apart for each client
    expires_ms: float
    share: float  # what it will hold, as far as can be told
    reservation: Reservation | None = None  # of a ticket that it brought, verified
    grain_ms: float = 1.0  # quotes reach its viewer rounded up to so much


@dataclass(slots=True, eq=False)
class WaitingRequest:
    arrival: Arrival
    lane: Lane
    since_ms: float
    latest_admission_ms: float  # after it, no set-up fits into what is left
    due_ms: float  # its place in its lane
    reservation: Reservation | None = None  # that it claims


@dataclass(slots=True, eq=False)
class Lane:
    """Those of one bucket who wait for the same room."""

    bucket: Bucket
    pool: Pool
    waiting: list[WaitingRequest] = field(default_factory=list)  # by `due_ms`
    reserved_ms: SortedList[float] = field(default_factory=SortedList)  # of promises not claimed or lost yet
    gap_ms: float = inf  # between two of its places, as forecast
    forecast_ms: float = -inf
    forecast_position: int = 0  # the place that it was forecast for

    @property
    def positions(self) -> int:
        return len(self.waiting) + len(self.reserved_ms)


@dataclass(slots=True, eq=False)
class Bucket:
    client: Client
    number: int
    used_share: float = 0.0
    lanes: dict[Pool, Lane] = field(default_factory=dict)
    turn_credits: dict[str, float] = field(
        default_factory=dict
    )  # of its classes, while they wait: credit of turns
    waiting: int = 0


@dataclass(slots=True)
class DecayingRate:
    """A rate that forgets: events, each worth less by e after PACE_SPAN_MS."""

    count: float = 0.0
    at_ms: float = 0.0

    def add(self, now: float) -> None:
        self.count = self.count * math.exp((self.at_ms - now) / RATE_SPAN_MS) + 1.0
        self.at_ms = now

    def per_ms(self, now: float) -> float:
        return self.count * math.exp((self.at_ms - now) / RATE_SPAN_MS) / RATE_SPAN_MS


@dataclass(slots=True, eq=False)
class Client:
    name: str
    weight: float
    split_by_address: bool  # into buckets by address
    reservations: ReservationTable
    used_share: float = 0.0
    buckets: dict[int, Bucket] = field(default_factory=dict)  # those with a lane or a holding
    waiting: int = 0
    sessions: int = 0  # that make up its holding
    arrival_rate: DecayingRate = field(default_factory=lambda: DecayingRate())  # of newcomers
    asked: int = 0
    admitted: int = 0
    rejected: int = 0
    reserved: int = 0  # with a promise
    honoured: int = 0
    broken: int = 0  # came back as told, and was not let in
    lapsed: int = 0  # did not come in the window
    early: int = 0
    unreserved: int = 0  # quotes without a promise, as the line was full
    given_up: int = 0  # waited, and was told before its limit that it would not do
    on_time: int = 0  # of those kept: within 20%
    claim_rate: float = 1.0  # share of promises that are claimed, as of late

    @property
    def weighted_share(self) -> float:
        return self.used_share / self.weight


@dataclass(slots=True, eq=False)
class AdmittedSession:
    """A session that was let in."""

    client: Client
    bucket: int
    pool: Pool
    share: float
    since_ms: float = 0.0
    hint_ms: float = 0.0
    cell: int = -1  # of its box, once it stands


# Verdicts


@dataclass(frozen=True, slots=True)
class Admit:
    number: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer at once: come back after `quote_ms`.  No promise: the line was full."""

    number: int
    retry_after_ms: float
    client: str = ""
    reservation: Reservation | None = None


Verdict = Admit | Reject
SpareCapacity = Callable[[Pool], int]  # how many of this pool the module may take now, about


class AdmissionQueue:
    def __init__(
        self,
        clients: list[Client],
        classes: dict[str, ClassRule],
        cells: int,
        spare_capacity: SpareCapacity,
        max_waiting: int = 512,
        max_retry_after_ms: float = 60_000.0,
    ) -> None:
        self.clients, self.classes, self.cells, self.spare_capacity = clients, classes, cells, spare_capacity
        self.max_waiting, self.max_retry_after_ms = max_waiting, max_retry_after_ms
        self.waiting: dict[int, WaitingRequest] = {}  # by request
        self.waiting_by_pool: Counter[Pool] = Counter()  # how many wait for a pool
        self.sessions: dict[int, AdmittedSession] = {}  # by request
        self.life_tables = {name: LifeTable() for name in classes}
        self.full_until: dict[Pool, float] = {}  # pools without room: until when that is taken as known
        self.spare_until: dict[
            Pool, tuple[float, int]
        ] = {}  # ample room: until when, and how many entered by then
        self.admitted_count = 0  # let in, of all pools
        self.single_place_pools: set[Pool] = set()  # pools that had room for one when they were looked at
        self.curves: dict[Pool, tuple[float, DepartureCurve]] = {}
        self.exposure_updated_ms = -inf
        self.verdicts: list[Verdict] = []

    # Events

    def arrive(self, now: float, one: Arrival) -> list[Verdict]:
        """A request: it is let in, waits (no verdict), or is turned away."""
        self.verdicts = []
        client = self.clients[one.client]
        client.asked += 1
        lane, promise = self._lane(client, one.bucket, one.pool), self._promise(client, one, now)
        if promise is None:
            client.arrival_rate.add(now)
        latest, free = self._latest(now, one), self._free(now, one.pool)
        due = promise.due_ms if promise is not None else now if free else now + self._wait_ms(now, lane)
        waits = not free and due <= latest and self._may_wait(lane.bucket)
        early = promise is not None and promise.due_ms > now
        client.early += early
        if promise is not None and (free or waits or not early):
            self._uncount(client, client.reservations.claim(promise))
            client.claim_rate += (1.0 - client.claim_rate) * CLAIM_RATE_WEIGHT
            lane = self._lane(client, one.bucket, one.pool)
        if free:
            self._let_in(now, one, lane, promise)
        elif waits:
            self._wait(now, one, lane, latest, due, promise)
            self._let_next_in(now)
        elif promise is not None and early:
            client.rejected += 1
            self.verdicts.append(Reject(one.number, promise.due_ms - now, client.name, promise))
        else:
            self._quote(now, one, lane, promise)
        self._tidy(lane)
        return self.verdicts

    def valid_reservation(self, now: float, one: Arrival) -> Reservation | None:
        """The promise that this arrival would be let in on, now or at its time."""
        return self._promise(self.clients[one.client], one, now)

    def void_reservation(self, client: int, promise: Reservation) -> None:
        """It was claimed at another router, so it counts for nothing here."""
        of = self.clients[client]
        self._uncount(of, of.reservations.claim(promise))

    def changed(self, now: float) -> list[Verdict]:
        """Something has left, or the fleet is another: room may have come."""
        self._forget_room()
        return self.serve(now)

    def serve(self, now: float) -> list[Verdict]:
        """Let in who is next in fair order, if there is room.

        To be called again after each one let in: only what has been carried out shows in the room that is
        left.
        """
        self.verdicts = []
        self._let_next_in(now)
        return self.verdicts

    def poll(self, now: float) -> list[Verdict]:
        """Called often while anybody waits: lets in, and answers those who can't be let in in time."""
        self.verdicts = []
        self._let_next_in(now)
        for waiter in list(self.waiting.values()):
            if now >= waiter.latest_admission_ms:
                self._turn_away(now, waiter)
        for lane in {id(x.lane): x.lane for x in self.waiting.values()}.values():
            gap = self._gap_ms(now, lane, len(lane.waiting))
            for at, waiter in enumerate(list(lane.waiting)):
                if (
                    now + max(at - 1, 0) * gap > waiter.latest_admission_ms
                ):  # forecasts are rough: one place of grace
                    self._turn_away(now, waiter)
        return self.verdicts

    def fleet_changed(self) -> None:
        """What was learned of room and departures was of another fleet."""
        self._forget_room()
        self.curves.clear()

    def _forget_room(self) -> None:
        self.full_until.clear()
        self.spare_until.clear()
        self.single_place_pools.clear()

    def close(self, now: float) -> list[Verdict]:
        """Nobody is let in any more: all who wait are answered at once."""
        self.verdicts = []
        for waiter in list(self.waiting.values()):
            self._turn_away(now, waiter)
        return self.verdicts

    def ended(self, now: float, number: int, lived: bool = True) -> None:
        """A request is over: its viewer went, or its session ended; if it was cut, it has not `lived`."""
        if (waiter := self.waiting.get(number)) is not None:
            self._unwait(waiter)
            self._tidy(waiter.lane)
        elif (held := self.sessions.pop(number, None)) is not None:
            held.client.sessions -= 1
            self._hold(held, -held.share)
            if held.cell >= 0 and lived:
                self.life_tables[held.pool.class_name].record_end(now - held.since_ms, held.hint_ms)

    def established(self, now: float, number: int, cell: int, hint_ms: float) -> None:
        """A request that was let in has been set up at a box of a cell."""
        if (held := self.sessions.get(number)) is not None:
            held.since_ms, held.cell, held.hint_ms = now, cell, hint_ms

    def add_playing(self, now: float, one: Arrival, cell: int, hint_ms: float) -> None:
        """A session that plays already."""
        self._add_session(now, one)
        self.established(now, one.number, cell, hint_ms)

    def rung_changed(self, number: int, share: float) -> None:
        """Its rung, and so its part, is another."""
        if (held := self.sessions.get(number)) is not None:
            self._hold(held, share - held.share)
            held.share = share

    def refused(self, now: float, one: Arrival) -> Reject:
        """The module refused one that was let in: the quote that goes with the refusal."""
        self.verdicts = []
        lane = self._lane(self.clients[one.client], one.bucket, one.pool)
        self.full_until[one.pool] = now + CAPACITY_CACHE_MS
        self._quote(now, one, lane)
        self._tidy(lane)
        verdict = self.verdicts.pop()
        assert isinstance(verdict, Reject)
        return verdict

    # Who comes in

    def _latest(self, now: float, one: Arrival) -> float:
        return one.expires_ms - min(MAX_SET_UP_MS, max(0.0, one.expires_ms - now) * SET_UP_FRACTION)

    def _has_room(self, now: float, pool: Pool) -> bool:
        if self.full_until.get(pool, -inf) > now:
            return False
        until_ms, entered = self.spare_until.get(pool, (-inf, 0))
        if now < until_ms and self.admitted_count < entered:
            return True
        if count := self.spare_capacity(pool):
            if len(self.spare_until) >= MAX_CACHED_POOLS:
                self.spare_until.clear()
            self.spare_until[pool] = (
                now + CAPACITY_CACHE_MS,
                self.admitted_count + max(1, int(count * CAPACITY_FRACTION)),
            )
            if count == 1:
                self.single_place_pools.add(pool)
            return True
        if len(self.full_until) >= MAX_CACHED_POOLS:
            self.full_until.clear()
        self.full_until[pool] = now + CAPACITY_CACHE_MS
        return False

    def _free(self, now: float, pool: Pool) -> bool:
        """There is room, and nobody waits who could use it."""
        return not any(x.overlaps(pool, self.cells) for x in self.waiting_by_pool) and self._has_room(
            now, pool
        )

    def _let_next_in(self, now: float) -> None:
        waiter = next((x for x in self._order(now) if self._has_room(now, x.arrival.pool)), None)
        if waiter is None:
            return
        bucket, name = waiter.lane.bucket, waiter.arrival.pool.class_name
        for other, share in self._shares(now, bucket).items():
            bucket.turn_credits[other] = min(1.0, bucket.turn_credits.get(other, 0.0) + share)
        bucket.turn_credits[name] = bucket.turn_credits.get(name, 0.0) - 1.0
        self._unwait(waiter)
        self._let_in(now, waiter.arrival, waiter.lane, waiter.reservation)
        self._tidy(waiter.lane)

    def _order(self, now: float) -> Iterator[WaitingRequest]:
        """Who may be next, the first first: by least holding over weight, the bucket's holding, then
        classes."""
        for client in sorted((x for x in self.clients if x.waiting), key=lambda x: x.weighted_share):
            for bucket in sorted(
                (x for x in client.buckets.values() if x.waiting), key=lambda x: x.used_share
            ):
                shares = self._shares(now, bucket)
                for name in sorted(shares, key=lambda x: -(bucket.turn_credits.get(x, 0.0) + shares[x])):
                    lanes = [x for x in bucket.lanes.values() if x.waiting and x.pool.class_name == name]
                    for lane in sorted(lanes, key=lambda x: x.waiting[0].due_ms):
                        yield lane.waiting[0]

    def _shares(self, now: float, bucket: Bucket) -> dict[str, float]:
        """Turns of the classes that wait in a bucket: by worth over the time that their first has left."""
        urgency: dict[str, float] = {}
        for lane in bucket.lanes.values():
            if lane.waiting:
                urgent = self._urgency(lane.pool.class_name, lane.waiting[0].latest_admission_ms - now)
                urgency[lane.pool.class_name] = max(urgency.get(lane.pool.class_name, 0.0), urgent)
        return self._floored(urgency)

    def _urgency(self, name: str, left_ms: float) -> float:
        return self.classes[name].worth / max(left_ms, MIN_TIME_LEFT_MS)

    def _floored(self, urgency: dict[str, float]) -> dict[str, float]:
        total, count = sum(urgency.values()), len(urgency)
        free = max(0.0, 1.0 - MIN_CLASS_SHARE * count)
        return {
            name: MIN_CLASS_SHARE + free * (x / total if total else 1 / count) for name, x in urgency.items()
        }

    def _let_in(self, now: float, one: Arrival, lane: Lane, promise: Reservation | None) -> None:
        client = lane.bucket.client
        client.admitted += 1
        self.admitted_count += 1
        for pool in self.single_place_pools:  # it took the only place that there was
            self.full_until[pool] = now + CAPACITY_CACHE_MS
        self.single_place_pools.clear()
        if promise is not None:
            client.honoured += 1
            error = abs(now - promise.made_ms - promise.retry_after_ms) / promise.retry_after_ms
            client.on_time += error <= 0.2
        self._add_session(now, one)
        self.verdicts.append(Admit(one.number))

    def _add_session(self, now: float, one: Arrival) -> None:
        held = AdmittedSession(self.clients[one.client], one.bucket, one.pool, one.share, now)
        self.sessions[one.number] = held
        held.client.sessions += 1
        self._hold(held, one.share)

    def _hold(self, held: AdmittedSession, part: float) -> None:
        client = held.client
        bucket = self._bucket(client, held.bucket)
        bucket.used_share, client.used_share = (
            max(0.0, bucket.used_share + part),
            max(0.0, client.used_share + part),
        )
        self._tidy_bucket(bucket)

    # Who waits

    def _may_wait(self, bucket: Bucket) -> bool:
        client = bucket.client
        if len(bucket.lanes) > MAX_LANES:
            return False
        if client.waiting < GUARANTEED_WAITING and bucket.waiting < GUARANTEED_WAITING:
            return True
        return (
            len(self.waiting) < self.max_waiting
            and client.waiting < self.max_waiting * MAX_CLIENT_FRACTION
            and (not client.split_by_address or bucket.waiting < self.max_waiting * MAX_BUCKET_FRACTION)
        )

    def _wait(
        self, now: float, one: Arrival, lane: Lane, latest: float, due: float, promise: Reservation | None
    ) -> None:
        waiter = WaitingRequest(one, lane, now, latest, due, promise)
        at = len(lane.waiting)
        while at and lane.waiting[at - 1].due_ms > due:
            at -= 1
        lane.waiting.insert(at, waiter)
        lane.bucket.waiting += 1
        lane.bucket.client.waiting += 1
        self.waiting[one.number] = waiter
        self.waiting_by_pool[one.pool] += 1

    def _unwait(self, waiter: WaitingRequest) -> None:
        waiter.lane.waiting.remove(waiter)
        waiter.lane.bucket.waiting -= 1
        waiter.lane.bucket.client.waiting -= 1
        del self.waiting[waiter.arrival.number]
        self.waiting_by_pool[waiter.arrival.pool] -= 1
        if not self.waiting_by_pool[waiter.arrival.pool]:
            del self.waiting_by_pool[waiter.arrival.pool]
        if not waiter.lane.bucket.waiting:
            waiter.lane.bucket.turn_credits.clear()  # turns that nobody waited for are not kept

    def _turn_away(self, now: float, waiter: WaitingRequest) -> None:
        """It won't do: said at once, with when it will."""
        self._unwait(waiter)
        client = waiter.lane.bucket.client
        client.given_up += 1
        self._quote(now, waiter.arrival, waiter.lane, waiter.reservation)
        self._tidy(waiter.lane)

    # Promises and quotes

    def _promise(self, client: Client, one: Arrival, now: float) -> Reservation | None:
        """The promise that this request makes good, if any, remembered or brought as a ticket."""
        self._lapse(client, now)
        promise = client.reservations.find(one.viewer, one.pool.class_name) or one.reservation
        if promise is None or now > promise.expires_ms or not client.reservations.is_open(promise):
            return None
        return promise

    def _lapse(self, client: Client, now: float) -> None:
        for promise in client.reservations.expire(now):
            client.lapsed += 1
            client.claim_rate += (0.0 - client.claim_rate) * CLAIM_RATE_WEIGHT
            self._uncount(client, promise)

    def _uncount(self, client: Client, promise: Reservation | None) -> None:
        if promise is not None and (bucket := client.buckets.get(promise.bucket)) is not None:
            if (lane := bucket.lanes.get(promise.pool)) is not None:
                lane.reserved_ms.discard(promise.due_ms)
                self._tidy(lane)

    def _quote(self, now: float, one: Arrival, lane: Lane, broken: Reservation | None = None) -> None:
        """Who came as he was told and is not let in stays ahead of all promises of his lane that are out."""
        client = lane.bucket.client
        client.rejected += 1
        quote = max(self._wait_ms(now, lane, ESTIMATE_MARGIN, broken is not None), MIN_RETRY_AFTER_MS)
        client.broken += broken is not None and broken.due_ms <= now
        quote = math.ceil(quote / one.grain_ms) * one.grain_ms
        if quote > self.max_retry_after_ms or len(lane.bucket.lanes) > MAX_LANES:
            quote = min(quote, self.max_retry_after_ms)
            client.unreserved += 1
            self.verdicts.append(Reject(one.number, quote, client.name))
            return
        window = min(max(quote * WINDOW_FRACTION, MIN_WINDOW_MS), MAX_WINDOW_MS)
        promise = client.reservations.create(one.viewer, one.bucket, one.pool, now, quote, window)
        if promise is None:
            client.unreserved += 1
        else:
            client.reserved += 1
            lane.reserved_ms.add(promise.due_ms)
        self.verdicts.append(Reject(one.number, quote, client.name, promise))

    # Forecasts

    def _wait_ms(self, now: float, lane: Lane, spare: float = 1.0, first: bool = False) -> float:
        """Until the next free place of a lane comes up; with `first`, the one behind those who wait.

        The place is the earliest that leaves each promise the time that it was told: up to any moment, no
        more places than come up by then.  Promises count by the share of them that is claimed, as learned.
        """
        ahead = self._places(lane) - len(lane.reserved_ms)
        show = lane.bucket.client.claim_rate
        gap = self._gap_ms(now, lane, max(1, int(ahead + show * len(lane.reserved_ms) + 1))) * spare
        before = 0 if first else len(lane.reserved_ms)
        while before and lane.reserved_ms[before - 1] - now >= (ahead + show * before + 1) * gap:
            before -= 1
        return (ahead + show * before + 1) * gap

    def _places(self, lane: Lane) -> int:
        """Places taken ahead of a newcomer: of his bucket and class, where they want the same room."""
        return sum(
            x.positions
            for x in lane.bucket.lanes.values()
            if x.pool.class_name == lane.pool.class_name and x.pool.overlaps(lane.pool, self.cells)
        )

    def _gap_ms(self, now: float, lane: Lane, place: int) -> float:
        """The time between two places of a lane on the way to one; kept for a while, and for near ones."""
        near = (
            NEAR_POSITION_RATIO * lane.forecast_position
            <= place
            <= lane.forecast_position / NEAR_POSITION_RATIO
        )
        if not near or now - lane.forecast_ms >= FORECAST_INTERVAL_MS:
            gap = self._forecast(now, lane, place)
            lane.gap_ms = lane.gap_ms + (gap - lane.gap_ms) * FORECAST_SMOOTHING if near else gap
            lane.forecast_ms, lane.forecast_position = now, place
        return lane.gap_ms

    def _forecast(self, now: float, lane: Lane, places: int) -> float:
        """The time until a place of a lane comes up, over the places up to it.

        It comes up when departures suffice for all who go before it in fair order: each client, as far as it
        wants room, up to the level that this lane's client will have reached by then.
        """
        leaving = self._curve(now, lane.pool)
        want = self._rivals(now, lane, places)
        low, high = 1.0, 4 * self.max_retry_after_ms
        if want(high, leaving) > leaving.within(high):
            return high / places
        for _ in range(SEARCH_STEPS):
            middle = math.sqrt(low * high)
            if want(middle, leaving) > leaving.within(middle):
                low = middle
            else:
                high = middle
        return high / places

    def _rivals(self, now: float, lane: Lane, places: int) -> Callable[[float, DepartureCurve], float]:
        """How many sessions, of all clients, have to be let in within a time until a lane's places are
        reached."""
        bucket, client = lane.bucket, lane.bucket.client
        held = sum(x.sessions for x in self.clients)
        part = max(
            client.used_share / client.sessions
            if client.sessions
            else sum(x.used_share for x in self.clients) / held
            if held
            else 0.0,
            1e-6,
        )
        need = places / self._class_share(bucket, lane.pool.class_name)
        beside = [
            (x.used_share / part, self._backlog(x, lane.pool))
            for x in client.buckets.values()
            if x is not bucket and x.lanes
        ]
        rivals = [
            (
                x.weight,
                x.used_share / part,
                sum(self._backlog(y, lane.pool) for y in x.buckets.values()),
                x.arrival_rate.per_ms(now),
            )
            for x in self.clients
            if x is not client
        ]

        def want(within_ms: float, leaving: DepartureCurve) -> float:
            stays = 1.0 - min(1.0, leaving.within(within_ms) / max(leaving.playing, 1))
            mine = bucket.used_share / part * stays + need
            total = need + sum(min(backlog, max(0.0, mine - holding * stays)) for holding, backlog in beside)
            level = (client.used_share / part * stays + total) / client.weight
            for weight, holding, backlog, pace in rivals:
                able = level * weight - holding * stays
                if able > 0:
                    total += min(able, backlog + pace * within_ms)
            return total

        return want

    def _class_share(self, bucket: Bucket, name: str) -> float:
        names = {name, *(x.pool.class_name for x in bucket.lanes.values() if x.positions)}
        urgency = {x: self._urgency(x, self.classes[x].limit_ms) for x in sorted(names)}
        return self._floored(urgency)[name]

    def _backlog(self, bucket: Bucket, pool: Pool) -> float:
        return sum(x.positions for x in bucket.lanes.values() if x.pool.overlaps(pool, self.cells))

    def _curve(self, now: float, pool: Pool) -> DepartureCurve:
        """Departures from the boxes of a pool."""
        if now - self.exposure_updated_ms >= EXPOSURE_INTERVAL_MS:
            self.exposure_updated_ms = now
            for name, table in self.life_tables.items():
                ages = [
                    (now - x.since_ms) / table.length_ms(x.hint_ms)
                    for x in self.sessions.values()
                    if x.cell >= 0 and x.pool.class_name == name
                ]
                step = max(1, len(ages) // 128)
                table.invalidate()
                table.cumulative_hazards(ages[::step], float(step))
        made_ms, found = self.curves.get(pool, (-inf, None))
        if found is None or now - made_ms >= FORECAST_INTERVAL_MS:
            if len(self.curves) >= MAX_CACHED_POOLS:
                self.curves.clear()
            standing = [
                (
                    now - x.since_ms,
                    self.life_tables[x.pool.class_name].length_ms(x.hint_ms),
                    self.life_tables[x.pool.class_name].cumulative_hazards(),
                )
                for x in self.sessions.values()
                if x.cell >= 0
                and (x.cell - pool.first_cell) % self.cells < pool.copies
                and (not pool.title or x.pool == pool)
            ]
            found = departure_curve(standing)
            self.curves[pool] = now, found
        return found

    # Tables

    def _bucket(self, client: Client, number: int) -> Bucket:
        if (found := client.buckets.get(number)) is None:
            found = client.buckets[number] = Bucket(client, number)
        return found

    def _lane(self, client: Client, number: int, pool: Pool) -> Lane:
        bucket = self._bucket(client, number)
        if (found := bucket.lanes.get(pool)) is None:
            found = bucket.lanes[pool] = Lane(bucket, pool)
        return found

    def _tidy(self, lane: Lane) -> None:
        """Guards against tables that grow: an empty lane and a bucket of nothing go."""
        if not lane.positions and lane.bucket.lanes.get(lane.pool) is lane:
            del lane.bucket.lanes[lane.pool]
        self._tidy_bucket(lane.bucket)

    def _tidy_bucket(self, bucket: Bucket) -> None:
        if not bucket.lanes and bucket.used_share <= 1e-12:
            bucket.client.buckets.pop(bucket.number, None)


def max_min(room: float, demands: list[float], weights: list[float]) -> list[float]:
    """Shares of `room` by weighted max-min fairness (Bertsekas and Gallager, "Data Networks", 6.5.2)."""
    given, left = [0.0] * len(demands), max(0.0, room)
    wanting = sorted((x for x, y in enumerate(demands) if y > 0), key=lambda x: demands[x] / weights[x])
    total = sum(weights[x] for x in wanting)
    for at in wanting:
        given[at] = min(demands[at], left * weights[at] / total)
        left, total = left - given[at], total - weights[at]
    return given


def fair_shares(clients: list[Client]) -> list[float]:
    """Of what is held in all, the part due to each client now: who has nobody waiting wants no more than he
    has."""
    held = sum(x.used_share for x in clients)
    wants = [math.inf if x.waiting or len(x.reservations) else x.used_share for x in clients]
    return [x / (held or 1.0) for x in max_min(held, wants, [x.weight for x in clients])]
