"""The state of an instance: limits with their bookings, servers and sessions.  No decision is made here."""

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

BOOKING_HISTORY_US = 10_000_000  # bookings are stored one by one for so long; older loads are not used
UNKNOWN_CAPACITY = 1e12  # of a limit that the settings do not state


@dataclass(slots=True, eq=False)
class Limit:
    """A link, a rack uplink or a server's places: its capacity, reported load, and what is booked here.

    Amounts are kB a second for links and uplinks, and streams for places.
    """

    capacity: float
    same_kind: list[Limit]  # all limits of its kind in the fleet
    load: float | None = None  # last reported or inferred, demand over capacity
    measured_us: int = 0  # the moment that `load` describes
    inferred: bool = False  # `load` follows from sessions that fell short, not from a report
    last_step_us: int = 0  # when sessions last stepped down here
    booked: float = 0.0
    preexisting: float = 0.0  # part of `booked` that counts at any time: the load reported before included it
    adopted: float = 0.0  # part of `booked` that counts from `adopted_us` on: taken over before any report
    adopted_us: int = 1 << 62
    raise_forecast_us: int = 0  # the last time that `raise_budget_kb` came from a forecast
    raise_budget_kb: float = 0.0  # what own sessions may still be raised by until the next report
    # Pairs of a moment and the rest of `booked` from then on.
    history: deque[tuple[int, float]] = field(default_factory=deque)
    sessions: dict[int, Session] = field(default_factory=dict)

    def book(self, now_us: int, amount: float) -> None:
        """Books an amount, negative to release it, and retains the history that `measured_us` still needs."""
        self.booked += amount
        if self.history and self.history[-1][0] == now_us:
            self.history.pop()
        self.history.append((now_us, self.booked - self.preexisting - self.adopted))
        oldest_us = max(self.measured_us, now_us - BOOKING_HISTORY_US)  # a load may never be reported
        while len(self.history) > 1 and self.history[1][0] <= oldest_us:
            self.history.popleft()

    def book_existing(self, now_us: int, amount: float) -> None:
        """Books what has been there before this instance knew of it.

        A load reported before the booking includes it already, and so does one that is reported later and
        describes a moment after the first such booking.  The history is not changed, as hundreds may arrive
        together.
        """
        self.booked += amount
        if self.load is None:
            self.adopted_us = min(self.adopted_us, now_us)
            self.adopted += amount
        else:
            self.preexisting += amount

    def booked_at(self, moment_us: int) -> float:
        """Returns what was booked here at a moment."""
        amount = 0.0
        for since_us, booked in self.history:
            if since_us > moment_us:
                break
            amount = booked
        return amount + self.preexisting + (self.adopted if moment_us >= self.adopted_us else 0.0)

    def growth(self, moment_us: int | None = None) -> float:
        """Returns own bookings made less those ended since the moment that `load` describes, as a load; up to
        now, or up to a moment.
        """
        until = self.booked if moment_us is None else self.booked_at(moment_us)
        return (until - self.booked_at(self.measured_us)) / self.capacity


@dataclass(slots=True, eq=False)
class Server:
    """A media server as listed, its limits and what its failures showed."""

    listing: ServerListing
    link: Limit
    places: Limit
    uplink: Limit
    cold_since_us: int | None = None  # when it started, as listed or as inferred from a failure
    next_setup_us: int = 0  # the earliest next set-up from here while it is cold
    last_considered_us: int = 0  # while it is cold: when a session last considered it, or it was listed
    failures: int = 0  # failures not yet made good by successes
    suspect_until_us: int = 0
    failed_titles: set[str] = field(default_factory=set)  # titles that failed here since it last served one
    trial_pending: bool = False  # an attempt that tests it after a failure is pending
    used: bool = False  # a set-up was sent to it, so a connection is open already

    @property
    def ready(self) -> bool:
        """Whether the list allows new sessions there."""
        return self.listing.health is Health.READY

    def time_since_considered(self, now_us: int) -> int:
        """Returns the microseconds since a session last considered it, it was listed or it started, whichever
        is latest, and restarts the count.
        """
        since_us, self.last_considered_us = max(self.last_considered_us, self.cold_since_us or 0), now_us
        return now_us - since_us

    def in_cold_pause(self, now_us: int) -> bool:
        """Whether it is too early for this instance's next set-up while the server is cold."""
        return now_us < self.next_setup_us

    def limits(self) -> tuple[Limit, Limit, Limit]:
        """Returns link, places and rack uplink."""
        return self.link, self.places, self.uplink

    def reset(self, now_us: int) -> None:
        """Forgets its failures and reported loads after maintenance; link and places count as loaded by what
        is booked here.  The rack uplink is shared and stays as it is.
        """
        self.failures, self.suspect_until_us, self.trial_pending, self.next_setup_us = 0, 0, False, 0
        self.failed_titles.clear()
        for limit in (self.link, self.places):
            limit.load, limit.measured_us, limit.inferred = limit.booked / limit.capacity, now_us, False


@dataclass(slots=True, eq=False)
class Session:
    """A session from its request to its end, with its booking and its attempts."""

    request: SessionRequested
    service_class: ServiceClass
    arrived_us: int
    ceiling: int
    rates: list[float]  # kB a second at each rung for its class
    gains: list[float]  # worth of the step up to each rung for each kB of it
    rung: int = 0
    rate_kb: float = 0.0  # the rate that is booked for it, kB a second
    server: Server | None = None  # where it plays or is being set up
    attempts: int = 0
    probes: int = 0  # probes sent for it
    playing: bool = False
    rung_changed_us: int = 0  # last change of rung while it plays
    first_note_seen: bool = False  # the load note sent at set-up has been received
    may_have_run_at: Server | None = None  # the server where an earlier attempt may have run
    may_have_run_us: int = 0
    tried: list[Server] = field(default_factory=list)
    cold_draws: dict[int, bool] = field(default_factory=dict)  # draws made for it, by cold server

    def book(self, now_us: int, server: Server, rung: int) -> None:
        """Books its rate and a place on a server, in place of what was booked for it."""
        self.unbook(now_us)
        self.server, self.rung, self.rate_kb = server, rung, self.rates[rung]
        for limit, amount in zip(server.limits(), (self.rate_kb, 1.0, self.rate_kb), strict=True):
            limit.book(now_us, amount)
            limit.sessions[self.request.session] = self

    def book_existing(self, now_us: int, server: Server, rung: int) -> None:
        """Books a session's rate at this rung as load that was there before this instance knew of it: for a
        session taken over, or one whose server reports another rung.

        Such load may be part of the reported load already, so it must not also count as growth since.
        """
        kb, place = self.rates[rung] - self.rate_kb, 0.0 if self.server else 1.0
        self.server, self.rung, self.rate_kb = server, rung, self.rates[rung]
        for limit, amount in zip(server.limits(), (kb, place, kb), strict=True):
            limit.book_existing(now_us, amount)
            limit.sessions[self.request.session] = self

    def unbook(self, now_us: int) -> None:
        """Releases what is booked for it, if anything."""
        if self.server:
            for limit, amount in zip(self.server.limits(), (self.rate_kb, 1.0, self.rate_kb), strict=True):
                limit.book(now_us, -amount)
                limit.sessions.pop(self.request.session, None)
        self.server = None


class Sessions(dict[int, Session]):
    """Own sessions by number, and the seats of a class and title that other processes of this router hold."""

    def __init__(self) -> None:
        super().__init__()
        self.seats_taken_elsewhere: dict[str, dict[str, int]] = {}  # by class and title


def held_seats(sessions: Sessions, session: Session) -> int:
    """Returns the seats taken of a session's title and class by all processes of a router, with set-ups."""
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
    """Counts events within a sliding span of time."""

    def __init__(self, span_us: int) -> None:
        # Times before `first_index` have left the span.
        self.span_us, self.times_us, self.first_index = span_us, list[int](), 0

    def add(self, now_us: int) -> None:
        """Adds an event; times never decrease."""
        self.times_us.append(now_us)

    def count(self, now_us: int, span_us: int | None = None) -> int:
        """Returns the number of events within the span, or within a shorter one."""
        self.first_index = bisect_right(self.times_us, now_us - self.span_us, self.first_index)
        if 2 * self.first_index > len(self.times_us):
            del self.times_us[: self.first_index]
            self.first_index = 0
        span_us = self.span_us if span_us is None else min(span_us, self.span_us)
        return len(self.times_us) - bisect_right(self.times_us, now_us - span_us, self.first_index)

    def peak_rate(self, now_us: int, since_us: int, spans_us: tuple[int, ...]) -> float:
        """Returns the highest of the rates over several spans, in events a second.

        A span that reaches back beyond `since_us` is cut there.
        """
        return max(self.count(now_us, span) * 1e6 / min(span, now_us - since_us) for span in spans_us)


class Fleet:
    """The servers and racks as listed."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.servers: dict[int, Server] = {}
        self.racks: dict[int, Limit] = {}
        self.links: list[Limit] = []
        self.places: list[Limit] = []
        self.uplinks: list[Limit] = []
        self.by_cell: dict[int, list[Server]] = {}

    def apply_update(self, now_us: int, update: FleetUpdate) -> None:
        """Applies a list or a change of it; a server that is dropped keeps the bookings of its sessions."""
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            listed = {listing.server for listing in update.listings}
            self.servers = {n: server for n, server in self.servers.items() if n in listed}
        for listing in update.listings:
            if listing.health is Health.GONE:
                self.servers.pop(listing.server, None)
                continue
            known_server = self.servers.get(listing.server) or self.add_server(now_us, listing)
            if listing.started_us > (known_server.cold_since_us or 0):
                known_server.cold_since_us, known_server.last_considered_us = listing.started_us, now_us
            if listing.after_maintenance:
                known_server.reset(now_us)
            known_server.listing = listing
        self.links[:] = [server.link for server in self.servers.values()]
        self.places[:] = [server.places for server in self.servers.values()]
        self.uplinks[:] = self.racks.values()
        self.by_cell = {}
        for server in self.servers.values():
            self.by_cell.setdefault(server.listing.cell % self.settings.cells, []).append(server)

    def add_server(self, now_us: int, listing: ServerListing) -> Server:
        """Adds a listed server with limits from the settings; its rack's uplink is shared."""
        settings = self.settings
        rack = self.racks.setdefault(
            listing.cell % settings.racks, Limit(settings.uplink_kb or UNKNOWN_CAPACITY, self.uplinks)
        )
        link = Limit((listing.weight if listing.weight > 0 else 1.0) * settings.weight_kb, self.links)
        places = Limit(float(settings.places_by_kind.get(listing.kind, UNKNOWN_CAPACITY)), self.places)
        self.servers[listing.server] = Server(listing, link, places, rack, last_considered_us=now_us)
        return self.servers[listing.server]

    def holders(self, request: SessionRequested) -> list[Server]:
        """Returns the servers of the cells that hold the title; the work does not grow with the fleet."""
        cells = self.settings.cells
        return [
            server
            for at in range(min(request.copies, cells))
            for server in self.by_cell.get((request.first_cell + at) % cells, ())
        ]
