"""Admission decisions: which set-up requests are admitted, wait, or are rejected with a retry-after estimate.

Free of I/O: events and a time go in, verdicts come out.  Requests are identified by opaque numbers.  Times
are in ms.  A share is a session's dominant share of links and places (Ghodsi et al., "Dominant Resource
Fairness", NSDI 2011), so a client's used share is a share of the fleet.  docs/design/door.md gives the
reasons.
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

BUCKETS = 64  # address buckets of the client for viewers that match no other client
MAX_LANES = 64  # per bucket; a request for a further pool gets an estimate without a reservation
GUARANTEED_WAITING = 8  # requests of a client that may wait even when other clients fill the queue
MAX_BUCKET_FRACTION = 1 / 8  # of the queue, for one bucket of a client that has many
MAX_CLIENT_FRACTION = 1 / 2  # of the queue, for one client
MIN_TIME_LEFT_MS = 50.0  # remaining time counts as at least the polling interval
MIN_CLASS_SHARE = 0.1  # of a bucket's turns, for each class that waits
SET_UP_FRACTION, MAX_SET_UP_MS = 0.3, 600.0  # of a request's time left, reserved for the set-up itself
CAPACITY_CACHE_MS = 20.0  # a full pool is not checked again for this long, unless a session ends
CAPACITY_FRACTION = 0.25  # of the reported spare capacity, admitted before it is checked again
FORECAST_INTERVAL_MS = 500.0  # between updates of a forecast
NEAR_POSITION_RATIO = 0.8  # positions within this ratio of each other share a forecast
CLAIM_RATE_WEIGHT = 1 / 32  # of the latest reservation, claimed or lapsed, in a client's claim rate
FORECAST_SMOOTHING = 0.2  # weight of the newest forecast against the earlier ones
EXPOSURE_INTERVAL_MS = 1000.0  # between updates of the life tables with the sessions that still play
MAX_CACHED_POOLS = 256  # pools whose forecast or capacity is cached at a time
WINDOW_FRACTION = 0.25  # of the estimate: how long after its time a reservation can be claimed,
MIN_WINDOW_MS, MAX_WINDOW_MS = 5000.0, 30_000.0  # at least a player's pause, bounded to limit the queue
# Factor on forecasts: if every forecast departure were reserved, one dip in departures would leave a queue
# that never clears.
ESTIMATE_MARGIN = 1.3
MIN_RETRY_AFTER_MS = 250.0  # a viewer that returns sooner finds the same sessions playing
SEARCH_STEPS = 14  # bisections of the time until a position is reached: to one part in 16,000
RATE_SPAN_MS = 10_000.0  # time constant over which a client's new arrivals are counted


@dataclass(frozen=True, slots=True)
class ClassRule:
    """Properties of a service class that admission uses."""

    worth: float
    limit_ms: float  # how long its viewers usually wait


@dataclass(frozen=True, slots=True)
class Pool:
    """Requests that can use the same capacity: a class on the cells of a title.

    For a class with seats, the pool is limited to one title.
    """

    class_name: str
    first_cell: int
    copies: int
    title: str = ""

    def overlaps(self, other: Pool, cells: int) -> bool:
        """Whether both pools may use the same media server, given the number of cells."""
        if min(self.copies, other.copies) >= cells:
            return True
        ahead = (other.first_cell - self.first_cell) % cells
        return ahead < self.copies or cells - ahead < other.copies


@dataclass(frozen=True, slots=True)
class Arrival:
    """A set-up request as admission sees it."""

    number: int
    client: int
    bucket: int
    pool: Pool
    viewer: int  # number of the viewer, distinct within its client
    expires_ms: float
    share: float  # expected share of the session
    reservation: Reservation | None = None  # from a verified reservation token in the request
    retry_after_step_ms: float = 1.0  # estimates reach the viewer rounded up to a multiple of this


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A set-up request in the queue."""

    arrival: Arrival
    lane: Lane
    since_ms: float
    latest_admission_ms: float  # later, the time left is too short for a set-up
    due_ms: float  # orders the requests of the lane
    reservation: Reservation | None = None  # which it claims


@dataclass(slots=True, eq=False)
class Lane:
    """Requests of one bucket that wait for the same capacity."""

    bucket: Bucket
    pool: Pool
    waiting: list[WaitingRequest] = field(default_factory=list)  # by `due_ms`
    reserved_ms: SortedList[float] = field(default_factory=SortedList)  # due times of open reservations
    gap_ms: float = inf  # forecast time between two positions
    forecast_ms: float = -inf  # time of that forecast
    forecast_position: int = 0  # position that it was made for

    @property
    def positions(self) -> int:
        """Positions taken: waiting requests and open reservations."""
        return len(self.waiting) + len(self.reserved_ms)


@dataclass(slots=True, eq=False)
class Bucket:
    """Viewers of a client that are scheduled together: all of them, or those of a group of addresses."""

    client: Client
    number: int
    used_share: float = 0.0
    lanes: dict[Pool, Lane] = field(default_factory=dict)
    turn_credits: dict[str, float] = field(default_factory=dict)  # by class, while requests wait
    waiting: int = 0


@dataclass(slots=True)
class DecayingRate:
    """An event rate with exponential decay: an event's weight falls by a factor of e every RATE_SPAN_MS."""

    count: float = 0.0
    at_ms: float = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self.count = self.count * math.exp((self.at_ms - now) / RATE_SPAN_MS) + 1.0
        self.at_ms = now

    def per_ms(self, now: float) -> float:
        """Events per ms."""
        return self.count * math.exp((self.at_ms - now) / RATE_SPAN_MS) / RATE_SPAN_MS


@dataclass(slots=True, eq=False)
class Client:
    """Scheduling state and counters of one client of the site."""

    name: str
    weight: float
    split_by_address: bool  # into buckets
    reservations: ReservationTable
    used_share: float = 0.0
    buckets: dict[int, Bucket] = field(default_factory=dict)  # those with a lane or a used share
    waiting: int = 0
    sessions: int = 0  # that make up the used share
    arrival_rate: DecayingRate = field(default_factory=lambda: DecayingRate())  # without a reservation
    asked: int = 0
    admitted: int = 0
    rejected: int = 0
    reserved: int = 0  # rejected with a reservation
    honoured: int = 0  # admitted on a reservation
    broken: int = 0  # returned in time on a reservation and were not admitted
    lapsed: int = 0  # reservations not claimed within their window
    early: int = 0
    unreserved: int = 0  # rejected without a reservation, as no more could be made
    given_up: int = 0  # waited, and were rejected before their limit
    on_time: int = 0  # of those honoured: wait within 20% of the estimate
    claim_rate: float = 1.0  # recent fraction of reservations that are claimed

    @property
    def weighted_share(self) -> float:
        """The used share over the client's weight; the lowest is served first."""
        return self.used_share / self.weight


@dataclass(slots=True, eq=False)
class AdmittedSession:
    """A session that was admitted or adopted, until it ends."""

    client: Client
    bucket: int
    pool: Pool
    share: float
    since_ms: float = 0.0
    hint_ms: float = 0.0
    cell: int = -1  # of its media server, once the session is established


# Verdicts


@dataclass(frozen=True, slots=True)
class Admit:
    """Set up the request now."""

    number: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the request now: retry after `retry_after_ms`.

    There is no reservation where the estimate or one of the tables is at its limit, or the viewer has an open
    reservation for this class already.
    """

    number: int
    retry_after_ms: float
    client: str = ""
    reservation: Reservation | None = None


Verdict = Admit | Reject
SpareCapacity = Callable[[Pool], int]  # approximately how many sessions of a pool fit now


class AdmissionQueue:
    """Admits set-up requests in weighted fair order, and estimates when the others may return."""

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
        self.waiting_by_pool: Counter[Pool] = Counter()
        self.sessions: dict[int, AdmittedSession] = {}  # by request
        self.life_tables = {name: LifeTable() for name in classes}
        self.full_until: dict[Pool, float] = {}  # pools known to have no capacity, until when
        # Pools known to have capacity: until when, and up to which `admitted_count`.
        self.spare_until: dict[Pool, tuple[float, int]] = {}
        self.admitted_count = 0  # over all pools
        self.single_place_pools: set[Pool] = set()  # pools with capacity for one session at the last check
        self.curves: dict[Pool, tuple[float, DepartureCurve]] = {}
        self.exposure_updated_ms = -inf
        self.verdicts: list[Verdict] = []

    # Events

    def arrive(self, now: float, arrival: Arrival) -> list[Verdict]:
        """Handle a new request: it is admitted, waits (no verdict), or is rejected."""
        self.verdicts = []
        client = self.clients[arrival.client]
        client.asked += 1
        lane, reservation = (
            self._lane(client, arrival.bucket, arrival.pool),
            self._valid_reservation(client, arrival, now),
        )
        if reservation is None:
            client.arrival_rate.add(now)
        latest_ms, admit_now = self._latest_admission_ms(now, arrival), self._may_admit_now(now, arrival.pool)
        due_ms = (
            reservation.due_ms
            if reservation is not None
            else now
            if admit_now
            else now + self._estimated_wait_ms(now, lane)
        )
        waits = not admit_now and due_ms <= latest_ms and self._may_wait(lane.bucket)
        early = reservation is not None and reservation.due_ms > now
        client.early += early
        # Claimed, unless the viewer is early and has to return at the time reserved for it.
        if reservation is not None and (admit_now or waits or not early):
            self._free_reserved_position(client, client.reservations.claim(reservation))
            client.claim_rate += (1.0 - client.claim_rate) * CLAIM_RATE_WEIGHT  # towards 1
            lane = self._lane(client, arrival.bucket, arrival.pool)
        if admit_now:
            self._admit(now, arrival, lane, reservation)
        elif waits:
            self._enqueue(now, arrival, lane, latest_ms, due_ms, reservation)
            self._admit_next(now)
        elif reservation is not None and early:
            client.rejected += 1
            self.verdicts.append(Reject(arrival.number, reservation.due_ms - now, client.name, reservation))
        else:
            self._reject(now, arrival, lane, reservation)
        self._remove_if_empty(lane)
        return self.verdicts

    def valid_reservation(self, now: float, arrival: Arrival) -> Reservation | None:
        """The open reservation that this request can claim, now or when it is due; None if it has none."""
        return self._valid_reservation(self.clients[arrival.client], arrival, now)

    def void_reservation(self, client: int, reservation: Reservation) -> None:
        """Drop a reservation that was claimed at another router."""
        owner = self.clients[client]
        self._free_reserved_position(owner, owner.reservations.claim(reservation))

    def changed(self, now: float) -> list[Verdict]:
        """Check for capacity again after a session ended or the fleet changed."""
        self._forget_capacity()
        return self.serve(now)

    def serve(self, now: float) -> list[Verdict]:
        """Admit the next request in fair order, if there is capacity for it.

        Call it again after each admission: the spare capacity reflects only admissions that were carried out.
        """
        self.verdicts = []
        self._admit_next(now)
        return self.verdicts

    def poll(self, now: float) -> list[Verdict]:
        """Admit the next request if there is capacity, and reject those that can't be admitted in time.

        Called often while requests wait.
        """
        self.verdicts = []
        self._admit_next(now)
        for request in list(self.waiting.values()):
            if now >= request.latest_admission_ms:
                self._reject_waiting(now, request)
        for lane in {id(x.lane): x.lane for x in self.waiting.values()}.values():
            gap = self._gap_ms(now, lane, len(lane.waiting))
            for index, request in enumerate(list(lane.waiting)):
                # Forecasts are rough, so each request is allowed one position more.
                if now + max(index - 1, 0) * gap > request.latest_admission_ms:
                    self._reject_waiting(now, request)
        return self.verdicts

    def fleet_changed(self) -> None:
        """Discard cached capacity and departures, which were those of the earlier fleet."""
        self._forget_capacity()
        self.curves.clear()

    def _forget_capacity(self) -> None:
        self.full_until.clear()
        self.spare_until.clear()
        self.single_place_pools.clear()

    def close(self, now: float) -> list[Verdict]:
        """Reject all waiting requests; the caller admits none afterwards."""
        self.verdicts = []
        for request in list(self.waiting.values()):
            self._reject_waiting(now, request)
        return self.verdicts

    def ended(self, now: float, number: int, lived: bool = True) -> None:
        """Forget a request whose viewer left or whose session ended.

        `lived` is False where the session was cut, so that its age says nothing about session lengths.
        """
        if (request := self.waiting.get(number)) is not None:
            self._dequeue(request)
            self._remove_if_empty(request.lane)
        elif (session := self.sessions.pop(number, None)) is not None:
            session.client.sessions -= 1
            self._change_used_share(session, -session.share)
            if session.cell >= 0 and lived:
                self.life_tables[session.pool.class_name].record_end(now - session.since_ms, session.hint_ms)

    def established(self, now: float, number: int, cell: int, hint_ms: float) -> None:
        """Record that an admitted request has been set up at a media server of a cell.

        `hint_ms` is the expected session length; 0 if unknown.
        """
        if (session := self.sessions.get(number)) is not None:
            session.since_ms, session.cell, session.hint_ms = now, cell, hint_ms

    def add_playing(self, now: float, arrival: Arrival, cell: int, hint_ms: float) -> None:
        """Add a session that plays already, such as one adopted from another router."""
        self._add_session(now, arrival)
        self.established(now, arrival.number, cell, hint_ms)

    def rung_changed(self, number: int, share: float) -> None:
        """Update the share of a session whose rung changed."""
        if (session := self.sessions.get(number)) is not None:
            self._change_used_share(session, share - session.share)
            session.share = share

    def refused(self, now: float, arrival: Arrival) -> Reject:
        """Answer an admitted request that the controller refused; its pool counts as full for a while."""
        self.verdicts = []
        lane = self._lane(self.clients[arrival.client], arrival.bucket, arrival.pool)
        self.full_until[arrival.pool] = now + CAPACITY_CACHE_MS
        self._reject(now, arrival, lane)
        self._remove_if_empty(lane)
        verdict = self.verdicts.pop()
        assert isinstance(verdict, Reject)
        return verdict

    # Order of admission

    def _latest_admission_ms(self, now: float, arrival: Arrival) -> float:
        return arrival.expires_ms - min(MAX_SET_UP_MS, max(0.0, arrival.expires_ms - now) * SET_UP_FRACTION)

    def _has_capacity(self, now: float, pool: Pool) -> bool:
        if self.full_until.get(pool, -inf) > now:
            return False
        until_ms, admission_limit = self.spare_until.get(pool, (-inf, 0))
        if now < until_ms and self.admitted_count < admission_limit:
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

    def _may_admit_now(self, now: float, pool: Pool) -> bool:
        """Whether there is capacity that no waiting request could use."""
        return not any(x.overlaps(pool, self.cells) for x in self.waiting_by_pool) and self._has_capacity(
            now, pool
        )

    def _admit_next(self, now: float) -> None:
        """Admit the first request in fair order whose pool has capacity, and charge its class one turn.

        Each waiting class of the bucket earns its fraction of that turn, so that all get their fractions over
        time.
        """
        request = next(
            (x for x in self._admission_order(now) if self._has_capacity(now, x.arrival.pool)), None
        )
        if request is None:
            return
        bucket, class_name = request.lane.bucket, request.arrival.pool.class_name
        for other, share in self._class_shares(now, bucket).items():
            bucket.turn_credits[other] = min(1.0, bucket.turn_credits.get(other, 0.0) + share)
        bucket.turn_credits[class_name] = bucket.turn_credits.get(class_name, 0.0) - 1.0
        self._dequeue(request)
        self._admit(now, request.arrival, request.lane, request.reservation)
        self._remove_if_empty(request.lane)

    def _admission_order(self, now: float) -> Iterator[WaitingRequest]:
        """Candidates in order: by the client's weighted share, the bucket's share, then the class's turn."""
        for client in sorted((x for x in self.clients if x.waiting), key=lambda x: x.weighted_share):
            for bucket in sorted(
                (x for x in client.buckets.values() if x.waiting), key=lambda x: x.used_share
            ):
                shares = self._class_shares(now, bucket)
                for name in sorted(shares, key=lambda x: -(bucket.turn_credits.get(x, 0.0) + shares[x])):
                    lanes = [x for x in bucket.lanes.values() if x.waiting and x.pool.class_name == name]
                    for lane in sorted(lanes, key=lambda x: x.waiting[0].due_ms):
                        yield lane.waiting[0]

    def _class_shares(self, now: float, bucket: Bucket) -> dict[str, float]:
        """Fractions of a bucket's turns, by waiting class: worth over the time left to its first request."""
        urgency: dict[str, float] = {}
        for lane in bucket.lanes.values():
            if lane.waiting:
                lane_urgency = self._urgency(lane.pool.class_name, lane.waiting[0].latest_admission_ms - now)
                urgency[lane.pool.class_name] = max(urgency.get(lane.pool.class_name, 0.0), lane_urgency)
        return self._shares_with_minimum(urgency)

    def _urgency(self, name: str, left_ms: float) -> float:
        return self.classes[name].worth / max(left_ms, MIN_TIME_LEFT_MS)

    def _shares_with_minimum(self, urgency: dict[str, float]) -> dict[str, float]:
        total, count = sum(urgency.values()), len(urgency)
        free = max(0.0, 1.0 - MIN_CLASS_SHARE * count)
        return {
            name: MIN_CLASS_SHARE + free * (x / total if total else 1 / count) for name, x in urgency.items()
        }

    def _admit(self, now: float, arrival: Arrival, lane: Lane, reservation: Reservation | None) -> None:
        client = lane.bucket.client
        client.admitted += 1
        self.admitted_count += 1
        for pool in self.single_place_pools:  # this admission took their only place
            self.full_until[pool] = now + CAPACITY_CACHE_MS
        self.single_place_pools.clear()
        if reservation is not None:
            client.honoured += 1
            error = abs(now - reservation.made_ms - reservation.retry_after_ms) / reservation.retry_after_ms
            client.on_time += error <= 0.2
        self._add_session(now, arrival)
        self.verdicts.append(Admit(arrival.number))

    def _add_session(self, now: float, arrival: Arrival) -> None:
        session = AdmittedSession(
            self.clients[arrival.client], arrival.bucket, arrival.pool, arrival.share, now
        )
        self.sessions[arrival.number] = session
        session.client.sessions += 1
        self._change_used_share(session, arrival.share)

    def _change_used_share(self, session: AdmittedSession, share: float) -> None:
        client = session.client
        bucket = self._bucket(client, session.bucket)
        bucket.used_share, client.used_share = (
            max(0.0, bucket.used_share + share),
            max(0.0, client.used_share + share),
        )
        self._remove_bucket_if_empty(bucket)

    # Queue

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

    def _enqueue(
        self,
        now: float,
        arrival: Arrival,
        lane: Lane,
        latest_ms: float,
        due_ms: float,
        reservation: Reservation | None,
    ) -> None:
        request = WaitingRequest(arrival, lane, now, latest_ms, due_ms, reservation)
        index = len(lane.waiting)
        while index and lane.waiting[index - 1].due_ms > due_ms:
            index -= 1
        lane.waiting.insert(index, request)
        lane.bucket.waiting += 1
        lane.bucket.client.waiting += 1
        self.waiting[arrival.number] = request
        self.waiting_by_pool[arrival.pool] += 1

    def _dequeue(self, request: WaitingRequest) -> None:
        request.lane.waiting.remove(request)
        request.lane.bucket.waiting -= 1
        request.lane.bucket.client.waiting -= 1
        del self.waiting[request.arrival.number]
        self.waiting_by_pool[request.arrival.pool] -= 1
        if not self.waiting_by_pool[request.arrival.pool]:
            del self.waiting_by_pool[request.arrival.pool]
        if not request.lane.bucket.waiting:
            request.lane.bucket.turn_credits.clear()  # an idle bucket has no credit

    def _reject_waiting(self, now: float, request: WaitingRequest) -> None:
        """Reject a request that can't be admitted before its limit, without waiting for the limit."""
        self._dequeue(request)
        client = request.lane.bucket.client
        client.given_up += 1
        self._reject(now, request.arrival, request.lane, request.reservation)
        self._remove_if_empty(request.lane)

    # Reservations and estimates

    def _valid_reservation(self, client: Client, arrival: Arrival, now: float) -> Reservation | None:
        """The open reservation of this request, from the table or from its token."""
        self._expire_reservations(client, now)
        reservation = client.reservations.find(arrival.viewer, arrival.pool.class_name) or arrival.reservation
        if (
            reservation is None
            or now > reservation.expires_ms
            or not client.reservations.is_open(reservation)
        ):
            return None
        return reservation

    def _expire_reservations(self, client: Client, now: float) -> None:
        for reservation in client.reservations.expire(now):
            client.lapsed += 1
            client.claim_rate += (0.0 - client.claim_rate) * CLAIM_RATE_WEIGHT  # towards 0
            self._free_reserved_position(client, reservation)

    def _free_reserved_position(self, client: Client, reservation: Reservation | None) -> None:
        if reservation is not None and (bucket := client.buckets.get(reservation.bucket)) is not None:
            if (lane := bucket.lanes.get(reservation.pool)) is not None:
                lane.reserved_ms.discard(reservation.due_ms)
                self._remove_if_empty(lane)

    def _reject(self, now: float, arrival: Arrival, lane: Lane, claimed: Reservation | None = None) -> None:
        """Reject with an estimate, and with a reservation if one can be made.

        A viewer that returned on a reservation (`claimed`) and is not admitted gets a position ahead of all
        open reservations of its lane.
        """
        client = lane.bucket.client
        client.rejected += 1
        retry_after_ms = max(
            self._estimated_wait_ms(now, lane, ESTIMATE_MARGIN, claimed is not None), MIN_RETRY_AFTER_MS
        )
        client.broken += claimed is not None and claimed.due_ms <= now  # it came back in time
        retry_after_ms = math.ceil(retry_after_ms / arrival.retry_after_step_ms) * arrival.retry_after_step_ms
        if retry_after_ms > self.max_retry_after_ms or len(lane.bucket.lanes) > MAX_LANES:
            retry_after_ms = min(retry_after_ms, self.max_retry_after_ms)
            client.unreserved += 1
            self.verdicts.append(Reject(arrival.number, retry_after_ms, client.name))
            return
        window_ms = min(max(retry_after_ms * WINDOW_FRACTION, MIN_WINDOW_MS), MAX_WINDOW_MS)
        reservation = client.reservations.create(
            arrival.viewer, arrival.bucket, arrival.pool, now, retry_after_ms, window_ms
        )
        if reservation is None:
            client.unreserved += 1
        else:
            client.reserved += 1
            lane.reserved_ms.add(reservation.due_ms)
        self.verdicts.append(Reject(arrival.number, retry_after_ms, client.name, reservation))

    # Forecasts

    def _estimated_wait_ms(
        self, now: float, lane: Lane, margin: float = 1.0, before_reservations: bool = False
    ) -> float:
        """Time until the next free position of a lane is reached.

        It is the earliest position that delays no open reservation: up to any moment, no more positions are
        taken than are reached by then.  Reservations count by the client's claim rate.  With
        `before_reservations`, it is the position right behind the waiting requests.
        """
        ahead = self._positions_ahead(lane) - len(lane.reserved_ms)
        claim_rate = lane.bucket.client.claim_rate
        gap = self._gap_ms(now, lane, max(1, int(ahead + claim_rate * len(lane.reserved_ms) + 1))) * margin
        reserved_ahead = 0 if before_reservations else len(lane.reserved_ms)
        while (
            reserved_ahead
            and lane.reserved_ms[reserved_ahead - 1] - now >= (ahead + claim_rate * reserved_ahead + 1) * gap
        ):
            reserved_ahead -= 1
        return (ahead + claim_rate * reserved_ahead + 1) * gap

    def _positions_ahead(self, lane: Lane) -> int:
        """Positions ahead of a new request: of its bucket and class, in pools that overlap with its own."""
        return sum(
            x.positions
            for x in lane.bucket.lanes.values()
            if x.pool.class_name == lane.pool.class_name and x.pool.overlaps(lane.pool, self.cells)
        )

    def _gap_ms(self, now: float, lane: Lane, position: int) -> float:
        """Time between two positions of a lane, on average up to one position.

        Cached for a while, also for near positions.
        """
        near = (
            NEAR_POSITION_RATIO * lane.forecast_position
            <= position
            <= lane.forecast_position / NEAR_POSITION_RATIO
        )
        if not near or now - lane.forecast_ms >= FORECAST_INTERVAL_MS:
            gap = self._forecast_gap_ms(now, lane, position)
            lane.gap_ms = lane.gap_ms + (gap - lane.gap_ms) * FORECAST_SMOOTHING if near else gap
            lane.forecast_ms, lane.forecast_position = now, position
        return lane.gap_ms

    def _forecast_gap_ms(self, now: float, lane: Lane, position: int) -> float:
        """Time until a position of a lane is reached, divided by the position.

        It is reached when there have been enough departures for all admissions that precede it in fair order:
        those of each client, as far as it has demand, up to the weighted share that the client of this lane
        will have by then.
        """
        departures = self._departures(now, lane.pool)
        required = self._required_admissions(now, lane, position)
        low, high = 1.0, 4 * self.max_retry_after_ms
        if required(high, departures) > departures.within(high):
            return high / position
        for _ in range(SEARCH_STEPS):
            middle = math.sqrt(low * high)
            if required(middle, departures) > departures.within(middle):
                low = middle
            else:
                high = middle
        return high / position

    def _required_admissions(
        self, now: float, lane: Lane, position: int
    ) -> Callable[[float, DepartureCurve], float]:
        """Function that returns how many admissions, of all clients, reach a position of a lane in a time."""
        bucket, client = lane.bucket, lane.bucket.client
        session_count = sum(x.sessions for x in self.clients)
        session_share = max(
            client.used_share / client.sessions
            if client.sessions
            else sum(x.used_share for x in self.clients) / session_count
            if session_count
            else 0.0,
            1e-6,
        )
        needed = position / self._expected_class_share(bucket, lane.pool.class_name)
        siblings = [
            (x.used_share / session_share, self._backlog(x, lane.pool))
            for x in client.buckets.values()
            if x is not bucket and x.lanes
        ]
        others = [
            (
                x.weight,
                x.used_share / session_share,
                sum(self._backlog(y, lane.pool) for y in x.buckets.values()),
                x.arrival_rate.per_ms(now),
            )
            for x in self.clients
            if x is not client
        ]

        def required(within_ms: float, departures: DepartureCurve) -> float:
            remaining = 1.0 - min(1.0, departures.within(within_ms) / max(departures.playing, 1))
            own_used = bucket.used_share / session_share * remaining + needed
            total = needed + sum(
                min(backlog, max(0.0, own_used - used * remaining)) for used, backlog in siblings
            )
            level = (client.used_share / session_share * remaining + total) / client.weight
            for weight, used, backlog, arrivals_per_ms in others:
                below_level = level * weight - used * remaining
                if below_level > 0:
                    total += min(below_level, backlog + arrivals_per_ms * within_ms)
            return total

        return required

    def _expected_class_share(self, bucket: Bucket, name: str) -> float:
        names = {name, *(x.pool.class_name for x in bucket.lanes.values() if x.positions)}
        urgency = {x: self._urgency(x, self.classes[x].limit_ms) for x in sorted(names)}
        return self._shares_with_minimum(urgency)[name]

    def _backlog(self, bucket: Bucket, pool: Pool) -> float:
        return sum(x.positions for x in bucket.lanes.values() if x.pool.overlaps(pool, self.cells))

    def _departures(self, now: float, pool: Pool) -> DepartureCurve:
        """Forecast of the departures from the media servers of a pool."""
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
            playing = [
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
            found = departure_curve(playing)
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

    def _remove_if_empty(self, lane: Lane) -> None:
        """Remove a lane without positions, then its bucket if empty, so that the tables stay bounded."""
        if not lane.positions and lane.bucket.lanes.get(lane.pool) is lane:
            del lane.bucket.lanes[lane.pool]
        self._remove_bucket_if_empty(lane.bucket)

    def _remove_bucket_if_empty(self, bucket: Bucket) -> None:
        if not bucket.lanes and bucket.used_share <= 1e-12:
            bucket.client.buckets.pop(bucket.number, None)


def max_min(capacity: float, demands: list[float], weights: list[float]) -> list[float]:
    """Divide `capacity` by weighted max-min fairness (Bertsekas and Gallager, "Data Networks", 6.5.2)."""
    allocated, left = [0.0] * len(demands), max(0.0, capacity)
    claimants = sorted((x for x, y in enumerate(demands) if y > 0), key=lambda x: demands[x] / weights[x])
    total = sum(weights[x] for x in claimants)
    for index in claimants:
        allocated[index] = min(demands[index], left * weights[index] / total)
        left, total = left - allocated[index], total - weights[index]
    return allocated


def fair_shares(clients: list[Client]) -> list[float]:
    """The fraction of all used shares that each client should have now, in the order of `clients`.

    A client without waiting requests and open reservations has no demand beyond what it uses.
    """
    used = sum(x.used_share for x in clients)
    demands = [math.inf if x.waiting or len(x.reservations) else x.used_share for x in clients]
    return [x / (used or 1.0) for x in max_min(used, demands, [x.weight for x in clients])]
