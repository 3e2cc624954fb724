"""At which rung do sessions play?  Steps down and up, and room for newcomers."""

from __future__ import annotations

import heapq

from cloverhinge.decision import interface as api
from cloverhinge.decision.health import ServerHealth
from cloverhinge.decision.loads import MAX_FRESH_LOAD_AGE_US, STALE_LOAD_AGE_US
from cloverhinge.decision.state import Limit, Server, Session

ADMIT_LOAD = 0.90  # load up to which sessions are admitted; the rest is room for the spread of true rates
LOW_GAIN_RESERVE = 0.2  # load left free by steps that earn nothing, in proportion by others
LARGE_FLEET_TARGET_LOAD = (
    0.85  # load that a step down aims at among many instances, where newcomers need the room
)
STEP_DOWN_TARGET_LOAD = 0.98  # load that other steps down aim at, and up to which no session falls short
SHORTFALL_LOAD = (
    1.08  # load told from which own sessions step down; under it notes are too noisy to pay for a change
)
RAISE_LOAD = 0.80  # load up to which playing sessions are raised; under MARK, so that newcomers find room
MIN_RUNG_DWELL_US = 6_000_000  # a session is raised so long after its last change of rung at the earliest
NOTE_WEIGHT = 0.5  # weight of a load note against the own forecast, as notes are noisy
LOAD_JUMP = 0.4  # a note so far off the forecast is believed in full: a link was lost or freed
SWITCH_PAYBACK_S = 8.0  # seconds over which a change of rung must earn its price
MIN_GAIN_RATIO = 1.8  # a newcomer's step must be worth so much more than the steps taken for it


class RungControl(ServerHealth):
    def admission_limit(self, session: Session, rung: int) -> float:
        """Exception to highest-first: steps that earn less for each kB are admitted up to a lower mark."""
        earned = (
            session.gains[rung]
            if rung > session.service_class.floor
            else self.best_gains[session.service_class.name]
        )
        return ADMIT_LOAD - LOW_GAIN_RESERVE * (1 - 1 / self.settings.fleet_size) * max(
            0.0, 1 - earned / self.max_gain
        )

    def update_load(
        self, server: Server, report: api.LoadReport, described_us: int, act: bool = False
    ) -> None:
        """Takes over a load.  Steps down on notes, which all hear; any load tells the own share of room."""
        streams = None if report.streams is None else report.streams / server.places.capacity
        for limit, load in zip(server.limits(), (report.link, streams, report.uplink), strict=True):
            if load is None or (limit.load is not None and described_us < limit.measured_us):
                continue
            if limit.load is not None and self.now_us - limit.measured_us < STALE_LOAD_AGE_US:
                forecast = limit.load + limit.growth(described_us)
                load = forecast + min(max(NOTE_WEIGHT, abs(load - forecast) / LOAD_JUMP), 1.0) * (
                    load - forecast
                )
            limit.load, limit.measured_us, limit.inferred = load, described_us, False
            if limit is not server.places:
                if act:
                    self.step_down(limit)
                elif self.large_fleet:  # each asks by itself, and takes its own share then
                    self.step_down(
                        limit,
                        ADMIT_LOAD,
                        LARGE_FLEET_TARGET_LOAD,
                        min(self.best_gains.values()) / MIN_GAIN_RATIO,
                    )
                room = RAISE_LOAD / max(load, limit.booked / limit.capacity, 1e-9) - 1
                limit.raise_budget_kb = limit.booked * max(
                    0.0, room
                )  # the own share of it, until the next report

    def next_step_down(
        self, number: int, x: Session, planned: dict[int, int]
    ) -> tuple[float, int, int, float]:
        """A session's next step down: its cost for each kB, whose it is, the rung, the kB that it frees."""
        rung = planned.get(number, x.rung)
        kb = max(x.rates[rung] - x.rates[rung - 1], 1e-9)
        change = 0 if number in planned else self.settings.switch_s * x.service_class.worth / SWITCH_PAYBACK_S
        return x.gains[rung] + change / kb, number, rung - 1, kb

    def plan_steps_down(
        self, over: dict[Limit, float], planned: dict[int, int], max_cost: float, randomize_last: bool
    ) -> bool:
        """Adds the cheapest steps down, false where none costs under `most`; `odd`: the last by chance."""
        heaps: dict[Limit, list[tuple[float, int, int, float]]] = {}
        while (excess := max(over.values())) > 0:
            tight = next(limit for limit in over if over[limit] == excess)
            if (heap := heaps.get(tight)) is None:
                heap = heaps[tight] = [
                    self.next_step_down(n, x, planned)
                    for n, x in tight.sessions.items()
                    if x.playing and planned.get(n, x.rung) > x.service_class.floor
                ]
                heapq.heapify(heap)
            while heap and heap[0][2] != planned.get(heap[0][1], self.sessions[heap[0][1]].rung) - 1:
                heapq.heappop(heap)  # of a step that has been taken
            if not heap or heap[0][0] > max_cost:
                return False
            _, number, rung, kb = heap[0]
            if randomize_last and self.random.random() * kb > excess:
                break
            planned[number], x = rung, self.sessions[number]
            for limit in over:
                if number in limit.sessions:
                    over[limit] -= kb
                    if limit in heaps and rung > x.service_class.floor:
                        heapq.heappush(heaps[limit], self.next_step_down(number, x, planned))
        return True

    def step_down(
        self,
        limit: Limit,
        threshold: float = SHORTFALL_LOAD,
        target: float = STEP_DOWN_TARGET_LOAD,
        max_cost: float = 1e99,
    ) -> None:
        """Each instance steps down its own share, part of a step by its chance: all hear a note at once."""
        load, planned = (limit.load or 0.0) + limit.growth(), dict[int, int]()
        if load < threshold or limit.measured_us < limit.last_step_us:
            return
        cheap = self.plan_steps_down(
            {limit: limit.booked * (1 - target / load)}, planned, max_cost, randomize_last=True
        )
        if cheap or planned or not self.large_fleet:
            limit.last_step_us = self.now_us  # else none was cheap enough, and another may try
        self.set_rungs(planned)
        if planned:
            self.log("stepping down", f"load {load:.2f}, {len(planned)} sessions")

    def set_rungs(self, planned: dict[int, int]) -> None:
        for number, rung in planned.items():
            session = self.sessions[number]
            if session.server:
                session.book(self.now_us, session.server, rung)
                session.rung_changed_us = self.now_us
                self.actions.append(api.SetRung(number, rung))

    def raise_rungs(self) -> None:
        """Dearest step first, with the chance that the own share of the room bears to it: against swings."""
        able = [
            (-x.gains[x.rung + 1], number, x.server)
            for number, x in self.sessions.items()
            if x.playing
            and x.server
            and x.rung < x.ceiling
            and self.now_us - x.rung_changed_us >= MIN_RUNG_DWELL_US
        ]
        for limit in {x for _, _, y in able for x in y.limits()[::2]} if self.large_fleet else ():
            mean, _, spread = self.load_statistics(limit.same_kind)
            if (
                mean
                and not self.is_fresh(limit)
                and self.now_us - limit.raise_forecast_us > MAX_FRESH_LOAD_AGE_US
            ):
                limit.raise_forecast_us = self.now_us  # as all may: a share of the room that is likely there
                limit.raise_budget_kb = limit.booked * max(0.0, RAISE_LOAD / (mean + spread) - 1)
        for _, number, server in sorted(able, key=lambda x: x[:2]):
            session, room = (
                self.sessions[number],
                min(server.link.raise_budget_kb, server.uplink.raise_budget_kb),
            )
            for rung in range(session.ceiling, session.rung, -1):
                kb = session.rates[rung] - session.rate_kb
                if room > 0 and self.fits(server, kb, RAISE_LOAD, 0, 1.0 if self.large_fleet else 0):
                    if self.random.random() * kb < room:
                        self.set_rungs({number: rung})
                    server.link.raise_budget_kb -= kb
                    server.uplink.raise_budget_kb -= kb
                    break

    def free_capacity(self, session: Session, server: Server, rung: int) -> tuple[Server, int] | None:
        """Exception, where it is full: a newcomer's step up may earn more than others' steps down lose."""
        link, uplink, planned = server.link, server.uplink, dict[int, int]()
        over = {
            link: (self.load_of(link) - ADMIT_LOAD) * link.capacity * self.warm_fraction(server),
            uplink: (self.load_of(uplink) - ADMIT_LOAD) * uplink.capacity,
        }
        peers_part = 1 - link.booked / link.capacity / max(self.load_of(link), 1e-9)
        top = (
            rung
            if rung >= session.service_class.floor and self.random.random() < peers_part
            else session.ceiling
        )
        while rung < top:  # a higher rung only by the own part: the room is else for peers to make
            kb, trial = session.rates[rung + 1], dict(planned)
            left = {limit: kb + excess for limit, excess in over.items()}
            if not self.plan_steps_down(left, trial, session.gains[rung + 1] / MIN_GAIN_RATIO, False):
                break
            over = {limit: excess - kb for limit, excess in left.items()}
            planned, rung = trial, rung + 1
        self.set_rungs(planned)
        return (server, rung) if rung >= session.service_class.floor else None

    def free_capacity_for_others(self, session: Session) -> None:
        """Exception: a newcomer found no room, so own sessions on full servers step down, as peers' do."""
        able = any(self.usable(s, session) for s in self.fleet.holders(session.request))
        if self.random.random() < 1 - 1 / self.settings.fleet_size and able:
            for limit in {x: 0 for y in self.sessions.values() if y.server for x in y.server.limits()[::2]}:
                self.step_down(
                    limit,
                    RAISE_LOAD,
                    RAISE_LOAD,
                    self.best_gains[session.service_class.name] / MIN_GAIN_RATIO,
                )
