"""Estimates the present load of servers and their spare capacity from reports and own bookings since."""

from __future__ import annotations

import math
import operator
import random
from statistics import NormalDist

from cloverhinge.decision import interface as api
from cloverhinge.decision.state import Fleet, Limit, Server, Session, Sessions, SlidingCounter

# Own requests are counted over this span: about the length of a session, long enough for a steady count.
REQUEST_RATE_SPAN_US = 20_000_000
MAX_FRESH_LOAD_AGE_US = 4_500_000  # an older load is uncertain by the spread of loads over the fleet
DEFAULT_LOAD_SPREAD = 0.25  # standard deviation assumed until loads are reported, typical of large fleets
OVERLOAD_HARM = 3.0  # worth, in sessions, lost where one is sent to a link that turns out to be full
STALE_LOAD_AGE_US = 10_000_000  # an older load counts as not reported
MIN_LARGE_FLEET = 10  # with so many instances each receives a server's load too rarely to follow it
LOG_INTERVAL_US = 5_000_000  # at most one log line of a category in this time


class LoadEstimator:
    """Load estimates and the admission test.

    As the base class of the Controller it also has the rest of an instance's state: fleet, sessions, tokens.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {service_class.name: service_class for service_class in settings.classes}
        self.fleet = Fleet(settings)
        # Server number of the token holder by title, least recently used first.
        self.tokens: dict[str, int] = {}
        self.sessions = Sessions()
        self.awaiting_probe: dict[int, list[Session]] = {}  # sessions by probed server
        # Own requests, for the budget of further attempts and as an estimate of each peer's request rate.
        self.requests = SlidingCounter(max(REQUEST_RATE_SPAN_US, settings.budget_span_us))
        self.load_statistics_cache: dict[int, tuple[float, float, float]] = {}  # valid for one event
        # Titles whose set-ups ended in errors: the servers, and the time of the last error.
        self.suspect_titles: dict[str, tuple[set[int], int]] = {}
        self.further_attempts = SlidingCounter(settings.budget_span_us)  # attempts beyond a session's first
        self.last_logged_us: dict[str, int] = {}
        self.rates = {x.name: settings.rates(x) for x in settings.classes}
        self.gains = {x.name: settings.step_gains(x) for x in settings.classes}
        # By class, the most worth earned for each kB of a whole rate.
        self.best_gains = {
            x.name: x.worth
            * max(map(operator.truediv, settings.rung_worth[x.floor :], self.rates[x.name][x.floor :]))
            for x in settings.classes
        }
        self.large_fleet, ladder_kb = settings.fleet_size >= MIN_LARGE_FLEET, settings.ladder_kb
        # Cost of a probe over the harm of an overload.  Divided by a rung's rate it is the probability of an
        # overload from which on a probe pays.
        probe_cost = (
            max(settings.probe_price + settings.handshake_price, 1e-3)
            * sum(ladder_kb)
            / len(ladder_kb)
            / OVERLOAD_HARM
        )
        # By rung: how many standard deviations below the limit an uncertain load has to be, so that an
        # overload is so improbable that a probe costs more.
        self.doubt_spreads = [
            NormalDist().inv_cdf(1 - min(probe_cost / x, 0.5)) if self.large_fleet else math.inf
            for x in ladder_kb
        ]
        self.max_gain: float = max(self.best_gains.values(), default=0) or 1
        # `started_us` is -1 before the first event.
        self.started_us, self.now_us, self.actions = -1, 0, list[api.Action]()

    def log(self, category: str, text: str) -> None:
        """Logs a line, at most one of a category within LOG_INTERVAL_US."""
        if self.now_us - self.last_logged_us.get(category, -LOG_INTERVAL_US) >= LOG_INTERVAL_US:
            self.last_logged_us[category] = self.now_us
            self.actions.append(api.Log(f"{category}: {text}"))

    def load_of(self, limit: Limit) -> float:
        """Returns the estimated load of a limit now.

        It is the last report, own bookings since and, in a small fleet, what the peers may have added.
        Without a recent report it is the mean of the fleet, or what is booked here if that is more.
        """
        if limit.load is not None and (age_us := self.now_us - limit.measured_us) < STALE_LOAD_AGE_US:
            return (
                limit.load
                + limit.growth()
                + (not self.large_fleet) * self.load_statistics(limit.same_kind)[1] * age_us / 1e6
            )
        return max(limit.booked / limit.capacity, self.load_statistics(limit.same_kind)[0])

    def load_statistics(self, limits: list[Limit]) -> tuple[float, float, float]:
        """Returns three values for limits of one kind: the mean of the loads reported lately, the load that
        other instances add to each a second, and the standard deviation of the loads (infinite without any).
        """
        if id(limits) not in self.load_statistics_cache:
            # Loads are inferred of overloaded limits only, so they say nothing of the others.
            loads = [
                x.load
                for x in limits
                if x.load is not None and not x.inferred and self.now_us - x.measured_us < STALE_LOAD_AGE_US
            ]
            mean_booked = sum(x.booked for x in limits) / max(len(self.sessions), 1)
            others_requests = self.requests.count(self.now_us, REQUEST_RATE_SPAN_US) * (
                self.settings.fleet_size - 1
            )
            added = (
                mean_booked
                * others_requests
                * 1e6
                / REQUEST_RATE_SPAN_US
                / max(sum(x.capacity for x in limits), 1e-9)
            )
            mean_load, count = sum(loads) / max(len(loads), 1), len(loads)
            spread = (
                math.dist(loads, [mean_load] * count) / count**0.5
                if count > 2
                else DEFAULT_LOAD_SPREAD
                if loads
                else math.inf
            )
            self.load_statistics_cache[id(limits)] = mean_load, added, spread
        return self.load_statistics_cache[id(limits)]

    def is_fresh(self, limit: Limit) -> bool:
        """Whether the last reported load is recent enough to rely on."""
        return limit.load is not None and self.now_us - limit.measured_us < MAX_FRESH_LOAD_AGE_US

    def fits(self, server: Server, kb: float, load_limit: float, places: int = 1, doubt: float = 0) -> bool:
        """The admission test of link, rack uplink and streams for a further rate of `kb`.

        Link and uplink have to stay at `load_limit` or below, which is lowered by `doubt` standard deviations
        where the load is not fresh; `places` streams have to be free.
        """
        link, uplink = server.link, server.uplink
        link_limit, uplink_limit = (
            load_limit
            - (doubt * self.load_statistics(limit.same_kind)[2] if doubt and not self.is_fresh(limit) else 0)
            for limit in (link, uplink)
        )
        return (
            self.load_of(link) + kb / (link.capacity * self.warm_fraction(server)) <= link_limit
            and self.load_of(uplink) + kb / uplink.capacity <= uplink_limit
            and (not places or self.load_of(server.places) + places / server.places.capacity <= 1)
        )

    def highest_load(self, server: Server) -> float:
        """Returns the highest of the loads of link, uplink and streams."""
        return max(self.load_of(server.link), self.load_of(server.uplink), self.load_of(server.places))

    def warm_fraction(self, server: Server) -> float:
        """Returns the share of its capacity that a server has while it warms up after a start; 1 = warm."""
        cold_us, start, since_us = self.settings.cold_us, self.settings.cold_from, server.cold_since_us
        progress = (
            1.0 if since_us is None or not cold_us else min(1.0, max(0, self.now_us - since_us) / cold_us)
        )
        return start + (1 - start) * progress

    def cold_set_up_rate(self, server: Server) -> float:
        """Returns the set-ups per microsecond that a cold server may get from this instance: its share of the
        rate of all instances.
        """
        return (
            server.places.capacity
            / self.settings.cold_us
            * self.warm_fraction(server)
            / self.settings.fleet_size
        )
