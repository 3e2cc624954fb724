"""How loaded is a server now, and is there room?  What was told, and what follows from it since."""

from __future__ import annotations

import math
import operator
import random
from statistics import NormalDist

from cloverhinge.decision import interface as api
from cloverhinge.decision.state import Fleet, Limit, Server, Session, Sessions, SlidingCounter

REQUEST_RATE_SPAN_US = (
    20_000_000  # own requests are counted over this time: steady, and about a session's length
)
MAX_FRESH_LOAD_AGE_US = 4_500_000  # a load older than this is in doubt by the spread of loads over the fleet
DEFAULT_LOAD_SPREAD = (
    0.25  # standard deviation of loads taken until some have been heard, as seen on large fleets
)
OVERLOAD_HARM = 3.0  # sessions' worth lost where one is sent to a link that turns out to be full
STALE_LOAD_AGE_US = 10_000_000  # a load older than this counts as unheard
MIN_LARGE_FLEET = 10  # instances from which on one hears of a server too seldom to follow its load
LOG_INTERVAL_US = 5_000_000  # at most one line of a kind in this time


class LoadEstimator:  # and all that an instance holds
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {one.name: one for one in settings.classes}
        self.fleet = Fleet(settings)
        self.tokens: dict[str, int] = {}
        self.sessions = Sessions()
        self.awaiting_probe: dict[int, list[Session]] = {}  # who waits for the probes that are out
        self.requests = SlidingCounter(
            max(REQUEST_RATE_SPAN_US, settings.budget_span_us)
        )  # for the budget and peers' pace
        self.load_statistics_cache: dict[int, tuple[float, float, float]] = {}  # of this event
        self.suspect_titles: dict[
            str, tuple[set[int], int]
        ] = {}  # titles that erred: the servers, and the last moment
        self.further_attempts = SlidingCounter(settings.budget_span_us)  # attempts beyond a session's first
        self.last_logged_us: dict[str, int] = {}
        self.rates = {x.name: settings.rates(x) for x in settings.classes}
        self.gains = {x.name: settings.step_gains(x) for x in settings.classes}
        self.best_gains = {
            x.name: x.worth
            * max(map(operator.truediv, settings.rung_worth[x.floor :], self.rates[x.name][x.floor :]))
            for x in settings.classes
        }  # the most earned for each kB of a whole rate
        self.large_fleet, kb = settings.fleet_size >= MIN_LARGE_FLEET, settings.ladder_kb
        asking = (
            max(settings.probe_price + settings.handshake_price, 1e-3) * sum(kb) / len(kb) / OVERLOAD_HARM
        )
        self.doubt_spreads = [
            NormalDist().inv_cdf(1 - min(asking / x, 0.5)) if self.large_fleet else math.inf for x in kb
        ]  # by rung, in spreads: what is less likely costs less than to ask
        self.max_gain: float = max(self.best_gains.values(), default=0) or 1
        self.started_us, self.now_us, self.actions = -1, 0, list[api.Action]()

    def log(self, category: str, text: str) -> None:
        if self.now_us - self.last_logged_us.get(category, -LOG_INTERVAL_US) >= LOG_INTERVAL_US:
            self.last_logged_us[category] = self.now_us
            self.actions.append(api.Log(f"{category}: {text}"))

    def load_of(self, limit: Limit) -> float:
        """Last report, own bookings since, what few peers may have added; the unheard count as average."""
        if limit.load is not None and (age_us := self.now_us - limit.measured_us) < STALE_LOAD_AGE_US:
            return (
                limit.load
                + limit.growth()
                + (not self.large_fleet) * self.load_statistics(limit.same_kind)[1] * age_us / 1e6
            )
        return max(limit.booked / limit.capacity, self.load_statistics(limit.same_kind)[0])

    def load_statistics(self, limits: list[Limit]) -> tuple[float, float, float]:
        """Of limits of a kind: the mean load heard lately, what others add to each a second, the spread."""
        if id(limits) not in self.load_statistics_cache:
            # Only what is short is inferred: it says nothing of the others.
            loads = [
                x.load
                for x in limits
                if x.load is not None and not x.inferred and self.now_us - x.measured_us < STALE_LOAD_AGE_US
            ]
            mean = sum(x.booked for x in limits) / max(len(self.sessions), 1)
            others = self.requests.count(self.now_us, REQUEST_RATE_SPAN_US) * (self.settings.fleet_size - 1)
            added = mean * others * 1e6 / REQUEST_RATE_SPAN_US / max(sum(x.capacity for x in limits), 1e-9)
            level, n = sum(loads) / max(len(loads), 1), len(loads)
            spread = (
                math.dist(loads, [level] * n) / n**0.5
                if n > 2
                else DEFAULT_LOAD_SPREAD
                if loads
                else math.inf
            )
            self.load_statistics_cache[id(limits)] = level, added, spread
        return self.load_statistics_cache[id(limits)]

    def is_fresh(self, limit: Limit) -> bool:
        return limit.load is not None and self.now_us - limit.measured_us < MAX_FRESH_LOAD_AGE_US

    def fits(self, server: Server, kb: float, mark: float, places: int = 1, doubt: float = 0) -> bool:
        """The admission test of link, rack uplink and streams; so many spreads of `doubt` where unheard."""
        link, uplink = server.link, server.uplink
        at_link, at_uplink = (
            mark
            - (doubt * self.load_statistics(limit.same_kind)[2] if doubt and not self.is_fresh(limit) else 0)
            for limit in (link, uplink)
        )
        return (
            self.load_of(link) + kb / (link.capacity * self.warm_fraction(server)) <= at_link
            and self.load_of(uplink) + kb / uplink.capacity <= at_uplink
            and (not places or self.load_of(server.places) + places / server.places.capacity <= 1)
        )

    def highest_load(self, server: Server) -> float:
        return max(self.load_of(server.link), self.load_of(server.uplink), self.load_of(server.places))

    def warm_fraction(self, server: Server) -> float:
        cold_us, start, since_us = self.settings.cold_us, self.settings.cold_from, server.cold_since_us
        age = 1.0 if since_us is None or not cold_us else min(1.0, max(0, self.now_us - since_us) / cold_us)
        return start + (1 - start) * age

    def cold_set_up_rate(
        self, server: Server
    ) -> float:  # set-ups a microsecond, of all instances the own part
        return (
            server.places.capacity
            / self.settings.cold_us
            * self.warm_fraction(server)
            / self.settings.fleet_size
        )
