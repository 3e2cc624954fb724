"""A cold server is filled by the whole fleet: independent decisions must add up to its warm-up ramp.

A server that has just started fails when it is sent more than N + 2 sqrt(N) + 2 set-ups of mean work in a
window, N being what the settings allow it then.  Routers know neither each other's traffic nor each other's
choices, so each admits a session with a probability that keeps the expected sum of all below the ramp itself,
which is N / 2.  If the sum were a Poisson count of that mean, one window in 50,000 would exceed the limit at
N = 2, and fewer for a larger N.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from dataclasses import dataclass, field

import pytest

from cloverhinge.decision import interface as api
from cloverhinge.decision.logic import Controller
from tests.helpers import settings

SECOND_US = 1_000_000
WINDOW_US = 1_500_000  # over which the platform counts the set-ups at a cold server
LENGTH_US = 9 * SECOND_US
COLD_US, COLD_FROM, PLACES, MULTIPLE = 12 * SECOND_US, 0.4, 22, 2.0
COPIES = 4
BORN_US = 100 * SECOND_US


@dataclass
class Fleet:
    """Routers, and servers of which some have just started and are empty while all others are full."""

    routers: int
    servers: int
    seed: int
    rate: float  # mean number of new sessions a second at each router
    history_s: float = 20.0  # traffic of the routers before the start; none after a common restart
    cold_share: float = 0.6
    listed_after_s: float = 0.0  # all routers learn of the start so long after it
    sends: dict[int, list[int]] = field(default_factory=dict)  # times of set-ups by cold server
    refused: int = 0

    def __post_init__(self) -> None:
        fleet_settings = settings(
            fleet_size=self.routers,
            cells=self.servers,
            racks=1,
            weight_kb=1e5,
            uplink_kb=1e7,
            places_by_kind={"box": PLACES},
            cold_us=COLD_US,
            cold_from=COLD_FROM,
            fall_multiple=MULTIPLE,
            may_probe=False,
        )
        self.random = random.Random(self.seed)
        self.cold = set(self.random.sample(range(self.servers), round(self.cold_share * self.servers)))
        self.sends = {server: [] for server in self.cold}
        self.controllers = [self._router(fleet_settings, seed) for seed in range(self.routers)]

    def _router(self, fleet_settings: api.Settings, seed: int) -> Controller:
        controller = Controller(fleet_settings, self.seed * 1000 + seed)
        before_start = [api.ServerListing(n, n, "z", "box") for n in range(self.servers)]
        controller.handle(
            BORN_US - round(self.history_s * SECOND_US),
            api.FleetUpdate(api.ListKind.CACHED, tuple(before_start)),
        )
        rows = tuple(api.ServerListing(n, n, "z", "box", started_us=BORN_US) for n in self.cold)
        listed_us = BORN_US + round(self.listed_after_s * SECOND_US)
        controller.handle(listed_us, api.FleetUpdate(api.ListKind.DELTA, rows))
        for number in range(self.servers):
            load = 0.0 if number in self.cold else 1.2
            report = api.LoadReport(streams=load * PLACES, link=load, uplink=0.1)
            controller.handle(listed_us, api.ProbeEnded(number, api.Outcome.SERVED, 0, report))
        return controller

    def rates(self) -> list[float]:
        """Request rates of the routers: a few get several times the mean."""
        drawn = [self.random.lognormvariate(0.0, 0.8) for _ in range(self.routers)]
        return [self.rate * x * self.routers / sum(drawn) for x in drawn]

    def play(self, burst: float) -> None:
        """Sends sessions, `burst` times as many in the second second.  Refused viewers retry."""
        requests: list[tuple[int, int, int]] = []
        for router, rate in enumerate(self.rates()):
            if self.history_s:
                for _ in range(round(rate * self.history_s)):
                    at_us = BORN_US - round(self.random.uniform(0, self.history_s) * SECOND_US)
                    self.controllers[router].requests.times_us.append(at_us)
                self.controllers[router].requests.times_us.sort()
            for second in range(round(self.listed_after_s), LENGTH_US // SECOND_US):
                rate_now = rate * (burst if second == 1 + self.listed_after_s else 1.0)
                offset_s = self.random.expovariate(rate_now)
                while offset_s < 1.0:
                    at_us = BORN_US + round((second + offset_s) * SECOND_US)
                    requests.append((at_us, router, self.random.randrange(1 << 30)))
                    offset_s += self.random.expovariate(rate_now)
        heapq.heapify(requests)
        number = 0
        while requests:
            at_us, router, title = heapq.heappop(requests)
            if at_us > BORN_US + LENGTH_US:
                continue
            number += 1
            if not self._asked(at_us, router, title, number):
                self.refused += 1
                again = at_us + round(self.random.uniform(0.6, 2.6) * SECOND_US)
                heapq.heappush(requests, (again, self.random.randrange(self.routers), title))

    def _asked(self, at_us: int, router: int, title: int, number: int) -> bool:
        controller = self.controllers[router]
        event = api.SessionRequested(
            number, "film", str(title), title % self.servers, COPIES, 0, at_us + 4 * SECOND_US
        )
        for action in controller.handle(at_us, event):
            if isinstance(action, api.SetUp):
                self.sends[action.server].append(at_us)
                controller.handle(at_us, api.SessionStarted(number, action.server, 0))
                return True
        return False

    def worst_excess(self) -> float:
        """How far the worst window of any cold server exceeds the limit; 0 or less: the limit holds."""
        worst = -math.inf
        for times in self.sends.values():
            for first, at_us in enumerate(times):
                warmth = COLD_FROM + (1 - COLD_FROM) * min(1.0, (at_us - BORN_US) / COLD_US)
                allowed = MULTIPLE * PLACES * SECOND_US / COLD_US * warmth * WINDOW_US / SECOND_US
                count = bisect_left(times, at_us + WINDOW_US) - first
                worst = max(worst, count - (allowed + 2 * math.sqrt(allowed) + 2))
        return worst


CASES = {
    "usual traffic": (20.0, 1.0, 0.6, 0.0),
    "a burst": (20.0, 4.0, 0.6, 0.0),
    "a common restart": (0.0, 4.0, 0.6, 0.0),
    "few cold servers": (20.0, 2.0, 0.1, 0.0),
    "a start that is listed late": (20.0, 4.0, 0.6, 4.0),
}  # history, burst, cold share, listed after


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("routers,servers", [(20, 20), (30, 30), (200, 60)])
def test_the_sum_of_all_routers_stays_within_the_warm_up_ramp(routers: int, servers: int, case: str) -> None:
    history_s, burst, cold_share, listed_after_s = CASES[case]
    for seed in range(3 if routers < 100 else 1):
        fleet = Fleet(routers, servers, seed, 100.0 / routers, history_s, cold_share, listed_after_s)
        fleet.play(burst)
        assert any(fleet.sends.values()), "cold servers are not left unused"
        assert fleet.worst_excess() <= 0, (seed, {n: len(x) for n, x in fleet.sends.items()})
