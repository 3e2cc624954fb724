"""What an instance remembers: limits with their bookings, servers and sessions.  No decision is made here."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field

from cloverhinge.decision.interface import (
    FleetUpdate,
    Health,
    ListKind,
    ServerListing,
    ServiceClass,
    SessionRequested,
    Settings,
)

BOOKING_HISTORY_US = (
    10_000_000  # bookings are remembered one by one for so long; loads older than that go unheard
)
UNKNOWN_CAPACITY = 1e12  # stands for a limit that the settings do not tell


@dataclass(slots=True, eq=False)
class Limit:
    """A link, a rack uplink or a server's places: what it gives, what was told of it, what is booked here."""

    capacity: float
    same_kind: list[Limit]  # the limits of its kind in the fleet
    load: float | None = None  # last told, asked over given
    measured_us: int = 0  # the moment that `load` describes
    inferred: bool = False  # `load` follows from sessions that fell short, not from a report
    last_step_us: int = 0  # the last step down or up made here
    booked: float = 0.0
    preexisting: float = 0.0  # of it, what counts as booked at any time: told later than a load that held it
    adopted: float = 0.0  # and from `met_us` on: handed over while no load had been told
    adopted_us: int = 1 << 62
    raise_forecast_us: int = 0  # the last time that `raise_kb` came from a forecast
    raise_budget_kb: float = 0.0  # what own sessions may still be raised by until the next report
    history: deque[tuple[int, float]] = field(default_factory=deque)  # (moment, the rest booked from then on)
    sessions: dict[int, Session] = field(default_factory=dict)

    def book(self, now_us: int, amount: float) -> None:
        self.booked += amount
        if self.history and self.history[-1][0] == now_us:
            self.history.pop()
        self.history.append((now_us, self.booked - self.preexisting - self.adopted))
        oldest_us = max(self.measured_us, now_us - BOOKING_HISTORY_US)  # loads may never be told
        while len(self.history) > 1 and self.history[1][0] <= oldest_us:
            self.history.popleft()

    def book_existing(self, now_us: int, amount: float) -> None:
        """Book what has been there all along: a load told before it was booked holds it already, and one that
        is told later and describes a moment since the first of them came.  The history is not walked, as
        hundreds come together."""
        self.booked += amount
        if self.load is None:
            self.adopted_us = min(self.adopted_us, now_us)
            self.adopted += amount
        else:
            self.preexisting += amount

    def booked_at(self, moment_us: int) -> float:
        """Own bookings as they stood at a moment."""
        amount = 0.0
        for since_us, booked in self.history:
            if since_us > moment_us:
                break
            amount = booked
        return amount + self.preexisting + (self.adopted if moment_us >= self.adopted_us else 0.0)

    def growth(self, moment_us: int | None = None) -> float:
        """Own bookings made, less those ended, since the moment that `load` describes, as a load."""
        until = self.booked if moment_us is None else self.booked_at(moment_us)
        return (until - self.booked_at(self.measured_us)) / self.capacity


@dataclass(slots=True, eq=False)
class Server:
    listing: ServerListing
    link: Limit
    places: Limit
    uplink: Limit
    cold_since_us: int | None = None  # when it started, as told or supposed
    next_setup_us: int = 0  # own pace while it is cold
    last_considered_us: int = 0  # when a session last looked at it while it was cold, or it was heard of
    failures: int = 0  # failures not yet made good
    suspect_until_us: int = 0
    failed_titles: set[str] = field(default_factory=set)  # titles that erred here since it served one
    trial_pending: bool = False  # an attempt of this instance is out on trial
    used: bool = False  # a set-up was sent to it, so that a connection is paid for

    @property
    def ready(self) -> bool:
        return self.listing.health is Health.READY

    def time_since_considered(self, now_us: int) -> int:
        """The time since the last look at it while it is cold, or since it was heard of or started, in us."""
        since_us, self.last_considered_us = max(self.last_considered_us, self.cold_since_us or 0), now_us
        return now_us - since_us

    def in_cold_pause(self, now_us: int) -> bool:
        """It is not this instance's turn again while the server is cold."""
        return now_us < self.next_setup_us

    def limits(self) -> tuple[Limit, Limit, Limit]:
        return self.link, self.places, self.uplink

    def reset(self, now_us: int) -> None:
        """It begins a new life: nothing is held against it, and it carries what is booked here."""
        self.failures, self.suspect_until_us, self.trial_pending, self.next_setup_us = 0, 0, False, 0
        self.failed_titles.clear()
        for limit in (self.link, self.places):
            limit.load, limit.measured_us, limit.inferred = limit.booked / limit.capacity, now_us, False


@dataclass(slots=True, eq=False)
class Session:
    request: SessionRequested
    service_class: ServiceClass
    arrived_us: int
    ceiling: int
    rates: list[float]  # kB a second of each rung, as its class uses it
    gains: list[float]  # worth of the step up to each rung for each kB of it
    rung: int = 0
    rate_kb: float = 0.0  # rate that is booked for it
    server: Server | None = None  # where it plays or is being set up
    attempts: int = 0
    probes: int = 0  # servers asked for it
    playing: bool = False
    rung_changed_us: int = 0  # last change of rung while it plays
    first_note_seen: bool = False  # its first load note, told at set-up, has been seen
    may_have_run_at: Server | None = None  # the server where an earlier attempt may have run
    may_have_run_us: int = 0
    tried: list[Server] = field(default_factory=list)
    cold_draws: dict[int, bool] = field(default_factory=dict)  # draws made for it at cold servers

    def book(self, now_us: int, server: Server, rung: int) -> None:
        """Book its rate and its place on a server, in place of what was booked for it."""
        self.unbook(now_us)
        self.server, self.rung, self.rate_kb = server, rung, self.rates[rung]
        for limit, amount in zip(server.limits(), (self.rate_kb, 1.0, self.rate_kb), strict=True):
            limit.book(now_us, amount)
            limit.sessions[self.request.session] = self

    def book_existing(self, now_us: int, server: Server, rung: int) -> None:
        """It plays there since before this instance knew of it, at a rung that is told now.

        Guards against counting handed-over sessions twice: in the load that was told, and as growth since.
        """
        kb, place = self.rates[rung] - self.rate_kb, 0.0 if self.server else 1.0
        self.server, self.rung, self.rate_kb = server, rung, self.rates[rung]
        for limit, amount in zip(server.limits(), (kb, place, kb), strict=True):
            limit.book_existing(now_us, amount)
            limit.sessions[self.request.session] = self

    def unbook(self, now_us: int) -> None:
        if self.server:
            for limit, amount in zip(self.server.limits(), (self.rate_kb, 1.0, self.rate_kb), strict=True):
                limit.book(now_us, -amount)
                limit.sessions.pop(self.request.session, None)
        self.server = None


class Sessions(dict[int, Session]):
    """By number; beside them, how many of a class and title another instance in this one's place holds."""

    def __init__(self) -> None:
        super().__init__()
        self.seats_taken_elsewhere: dict[str, dict[str, int]] = {}


def held_seats(sessions: Sessions, session: Session) -> int:
    """Own sessions of a title and class, set-ups included, and those held elsewhere in this one's place."""
    own = sum(
        1
        for x in sessions.values()
        if x.service_class is session.service_class
        and (x.server or x.playing)
        and x.request.title == session.request.title
    )
    return own + sessions.seats_taken_elsewhere.get(session.service_class.name, {}).get(
        session.request.title, 0
    )


class SlidingCounter:
    """Counts moments within a span that slides."""

    def __init__(self, span_us: int) -> None:
        self.span_us, self.times_us, self.first_index = (
            span_us,
            list[int](),
            0,
        )  # those before `first` have passed

    def add(self, now_us: int) -> None:
        self.times_us.append(now_us)

    def count(self, now_us: int, span_us: int | None = None) -> int:
        """Moments within the span, or within a shorter one."""
        self.first_index = bisect_right(self.times_us, now_us - self.span_us, self.first_index)
        if 2 * self.first_index > len(self.times_us):
            del self.times_us[: self.first_index]
            self.first_index = 0
        span_us = self.span_us if span_us is None else min(span_us, self.span_us)
        return len(self.times_us) - bisect_right(self.times_us, now_us - span_us, self.first_index)

    def peak_rate(self, now_us: int, since_us: int, spans_us: tuple[int, ...]) -> float:
        """So many a second, over the span in which they were most; counted from `since_us` on."""
        return max(self.count(now_us, span) * 1e6 / min(span, now_us - since_us) for span in spans_us)


class Fleet:
    """The servers and racks as the list names them."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.servers: dict[int, Server] = {}
        self.racks: dict[int, Limit] = {}
        self.links: list[Limit] = []
        self.places: list[Limit] = []
        self.uplinks: list[Limit] = []
        self.by_cell: dict[int, list[Server]] = {}

    def apply_update(self, now_us: int, update: FleetUpdate) -> None:
        """Take over a list or a change of it; a server that it drops keeps the bookings of its sessions."""
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            named = {listing.server for listing in update.listings}
            self.servers = {n: server for n, server in self.servers.items() if n in named}
        for listing in update.listings:
            if listing.health is Health.GONE:
                self.servers.pop(listing.server, None)
                continue
            held = self.servers.get(listing.server) or self.add_server(now_us, listing)
            if listing.started_us > (held.cold_since_us or 0):
                held.cold_since_us, held.last_considered_us = listing.started_us, now_us
            if listing.after_maintenance:
                held.reset(now_us)
            held.listing = listing
        self.links[:] = [server.link for server in self.servers.values()]
        self.places[:] = [server.places for server in self.servers.values()]
        self.uplinks[:] = self.racks.values()
        self.by_cell = {}
        for server in self.servers.values():
            self.by_cell.setdefault(server.listing.cell % self.settings.cells, []).append(server)

    def add_server(self, now_us: int, listing: ServerListing) -> Server:
        told = self.settings
        rack = self.racks.setdefault(
            listing.cell % told.racks, Limit(told.uplink_kb or UNKNOWN_CAPACITY, self.uplinks)
        )
        link = Limit((listing.weight if listing.weight > 0 else 1.0) * told.weight_kb, self.links)
        places = Limit(float(told.places_by_kind.get(listing.kind, UNKNOWN_CAPACITY)), self.places)
        self.servers[listing.server] = Server(listing, link, places, rack, last_considered_us=now_us)
        return self.servers[listing.server]

    def holders(self, request: SessionRequested) -> list[Server]:
        """The servers of the title's own cells; looks at no others."""
        cells = self.settings.cells
        return [
            server
            for at in range(min(request.copies, cells))
            for server in self.by_cell.get((request.first_cell + at) % cells, ())
        ]
