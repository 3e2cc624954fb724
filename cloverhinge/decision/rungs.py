"""Which rung each session plays at: steps down under load, steps up, and capacity freed for new sessions."""

from __future__ import annotations

import heapq

from cloverhinge.decision import interface as api
from cloverhinge.decision.health import ServerHealth
from cloverhinge.decision.loads import MAX_FRESH_LOAD_AGE_US, STALE_LOAD_AGE_US
from cloverhinge.decision.state import Limit, Server, Session

# Loads are fractions of a limit's capacity.
ADMIT_LOAD = 0.90  # sessions are admitted up to this load; the rest absorbs the spread of actual rates
LOW_GAIN_RESERVE = 0.2  # load left free by steps that earn nothing; others leave a proportional part of it
LARGE_FLEET_TARGET_LOAD = 0.85  # target of a step down in a large fleet, where new sessions need the capacity
STEP_DOWN_TARGET_LOAD = 0.98  # target of other steps down; up to this load no session falls short
SHORTFALL_LOAD = 1.08  # reported load that makes own sessions step down; below, notes are too noisy to pay
RAISE_LOAD = 0.80  # playing sessions are raised up to this load; below ADMIT_LOAD, to leave new ones capacity
MIN_RUNG_DWELL_US = 6_000_000  # shortest time between a session's last change of rung and a raise
NOTE_WEIGHT = 0.5  # weight of a load note against the own forecast, as notes are noisy
LOAD_JUMP = 0.4  # a note this far off the forecast is taken in full: a link was lost or freed
SWITCH_PAYBACK_S = 8.0  # seconds within which a change of rung must earn its cost
MIN_GAIN_RATIO = 1.8  # least gain of a new session's step, relative to that of the steps down made for it


class RungControl(ServerHealth):
    """Steps sessions down and up along the ladder."""

    def admission_limit(self, session: Session, rung: int) -> float:
        """Returns the load up to which a session is admitted at a rung.

        Exception to the rule of the highest rung first: steps that earn less for each kB are admitted only up
        to a lower load.
        """
        earned = (
            session.gains[rung]
            if rung > session.service_class.floor
            else self.best_gains[session.service_class.name]
        )
        return ADMIT_LOAD - LOW_GAIN_RESERVE * (1 - 1 / self.settings.fleet_size) * max(
            0.0, 1 - earned / self.max_gain
        )

    def update_load(
        self, server: Server, report: api.LoadReport, measured_us: int, is_note: bool = False
    ) -> None:
        """Takes over the loads of a report that describes the moment `measured_us`.

        A note (`is_note`) reaches all instances and makes own sessions step down where the load is too high.
        Any load sets this instance's share of the spare capacity.
        """
        streams = None if report.streams is None else report.streams / server.places.capacity
        for limit, load in zip(server.limits(), (report.link, streams, report.uplink), strict=True):
            if load is None or (limit.load is not None and measured_us < limit.measured_us):
                continue
            if limit.load is not None and self.now_us - limit.measured_us < STALE_LOAD_AGE_US:
                forecast = limit.load + limit.growth(measured_us)
                load = forecast + min(max(NOTE_WEIGHT, abs(load - forecast) / LOAD_JUMP), 1.0) * (
                    load - forecast
                )
            limit.load, limit.measured_us, limit.inferred = load, measured_us, False
            if limit is not server.places:
                if is_note:
                    self.step_down(limit)
                elif self.large_fleet:  # each instance probes by itself and then frees its own share
                    self.step_down(
                        limit,
                        ADMIT_LOAD,
                        LARGE_FLEET_TARGET_LOAD,
                        min(self.best_gains.values()) / MIN_GAIN_RATIO,
                    )
                spare = RAISE_LOAD / max(load, limit.booked / limit.capacity, 1e-9) - 1
                # The own share of the spare capacity, until the next report.
                limit.raise_budget_kb = limit.booked * max(0.0, spare)

    def next_step_down(
        self, number: int, session: Session, planned: dict[int, int]
    ) -> tuple[float, int, int, float]:
        """Returns a session's next step down: cost for each kB, session number, new rung, rate freed."""
        rung = planned.get(number, session.rung)
        freed_kb = max(session.rates[rung] - session.rates[rung - 1], 1e-9)
        switch_cost = (
            0
            if number in planned
            else self.settings.switch_s * session.service_class.worth / SWITCH_PAYBACK_S
        )
        return session.gains[rung] + switch_cost / freed_kb, number, rung - 1, freed_kb

    def plan_steps_down(
        self, over: dict[Limit, float], planned: dict[int, int], max_cost: float, randomize_last: bool
    ) -> bool:
        """Adds the cheapest steps down to `planned` until no limit exceeds its target.

        `over` has the excess of each limit in kB a second and is updated.  With `randomize_last` the last
        step, which frees more than is needed, is taken only with the probability of the part that is needed.
        Returns False where the excess remains because no step is left that costs `max_cost` or less.
        """
        heaps: dict[Limit, list[tuple[float, int, int, float]]] = {}
        while (excess := max(over.values())) > 0:
            tightest = next(limit for limit in over if over[limit] == excess)
            if (heap := heaps.get(tightest)) is None:
                heap = heaps[tightest] = [
                    self.next_step_down(n, session, planned)
                    for n, session in tightest.sessions.items()
                    if session.playing and planned.get(n, session.rung) > session.service_class.floor
                ]
                heapq.heapify(heap)
            while heap and heap[0][2] != planned.get(heap[0][1], self.sessions[heap[0][1]].rung) - 1:
                heapq.heappop(heap)  # obsolete: that step is planned already
            if not heap or heap[0][0] > max_cost:
                return False
            _, number, rung, kb = heap[0]
            if randomize_last and self.random.random() * kb > excess:
                break
            planned[number], session = rung, self.sessions[number]
            for limit in over:
                if number in limit.sessions:
                    over[limit] -= kb
                    if limit in heaps and rung > session.service_class.floor:
                        heapq.heappush(heaps[limit], self.next_step_down(number, session, planned))
        return True

    def step_down(
        self,
        limit: Limit,
        threshold: float = SHORTFALL_LOAD,
        target: float = STEP_DOWN_TARGET_LOAD,
        max_cost: float = 1e99,
    ) -> None:
        """Steps sessions down at a limit whose load is `threshold` or more, towards the load `target`.

        All instances receive a note at the same time, so each frees its own share only, and takes part of a
        step with the corresponding probability.
        """
        load, planned = (limit.load or 0.0) + limit.growth(), dict[int, int]()
        if load < threshold or limit.measured_us < limit.last_step_us:
            return
        complete = self.plan_steps_down(
            {limit: limit.booked * (1 - target / load)}, planned, max_cost, randomize_last=True
        )
        if complete or planned or not self.large_fleet:
            limit.last_step_us = self.now_us  # otherwise no step was cheap enough, and another call may try
        self.set_rungs(planned)
        if planned:
            self.log("stepping down", f"load {load:.2f}, {len(planned)} sessions")

    def set_rungs(self, planned: dict[int, int]) -> None:
        """Books the planned rungs by session number and orders them from the servers."""
        for number, rung in planned.items():
            session = self.sessions[number]
            if session.server:
                session.book(self.now_us, session.server, rung)
                session.rung_changed_us = self.now_us
                self.actions.append(api.SetRung(number, rung))

    def raise_rungs(self) -> None:
        """Raises playing sessions where capacity is spare, the step with the highest gain first.

        A step is taken with the ratio of this instance's share of the spare capacity to the step's rate as
        its probability, so that the instances together do not oscillate.
        """
        candidates = [
            (-x.gains[x.rung + 1], number, x.server)
            for number, x in self.sessions.items()
            if x.playing
            and x.server
            and x.rung < x.ceiling
            and self.now_us - x.rung_changed_us >= MIN_RUNG_DWELL_US
        ]
        for limit in {x for _, _, y in candidates for x in y.limits()[::2]} if self.large_fleet else ():
            mean, _, spread = self.load_statistics(limit.same_kind)
            if (
                mean
                and not self.is_fresh(limit)
                and self.now_us - limit.raise_forecast_us > MAX_FRESH_LOAD_AGE_US
            ):
                # All instances may do so: each takes a share of the capacity that is probably spare.
                limit.raise_forecast_us = self.now_us
                limit.raise_budget_kb = limit.booked * max(0.0, RAISE_LOAD / (mean + spread) - 1)
        for _, number, server in sorted(candidates, key=lambda x: x[:2]):
            session, spare_kb = (
                self.sessions[number],
                min(server.link.raise_budget_kb, server.uplink.raise_budget_kb),
            )
            for rung in range(session.ceiling, session.rung, -1):
                extra_kb = session.rates[rung] - session.rate_kb
                if spare_kb > 0 and self.fits(
                    server, extra_kb, RAISE_LOAD, 0, 1.0 if self.large_fleet else 0
                ):
                    if self.random.random() * extra_kb < spare_kb:
                        self.set_rungs({number: rung})
                    server.link.raise_budget_kb -= extra_kb
                    server.uplink.raise_budget_kb -= extra_kb
                    break

    def free_capacity(self, session: Session, server: Server, rung: int) -> tuple[Server, int] | None:
        """Returns the server with the rung for a new session, None where not even its floor fits.

        `rung` is what fits without a change, the floor - 1 where nothing does.  Exception where the server is
        full: playing sessions step down where the new session's step up earns more than they lose.
        """
        link, uplink, planned = server.link, server.uplink, dict[int, int]()
        over = {
            link: (self.load_of(link) - ADMIT_LOAD) * link.capacity * self.warm_fraction(server),
            uplink: (self.load_of(uplink) - ADMIT_LOAD) * uplink.capacity,
        }
        peers_share = 1 - link.booked / link.capacity / max(self.load_of(link), 1e-9)
        top = (
            rung
            if rung >= session.service_class.floor and self.random.random() < peers_share
            else session.ceiling
        )
        # A higher rung only with the probability of the own share of the load: else peers free capacity.
        while rung < top:
            extra_kb, trial = session.rates[rung + 1], dict(planned)
            trial_over = {limit: extra_kb + excess for limit, excess in over.items()}
            if not self.plan_steps_down(trial_over, trial, session.gains[rung + 1] / MIN_GAIN_RATIO, False):
                break
            over = {limit: excess - extra_kb for limit, excess in trial_over.items()}
            planned, rung = trial, rung + 1
        self.set_rungs(planned)
        return (server, rung) if rung >= session.service_class.floor else None

    def free_capacity_for_others(self, session: Session) -> None:
        """Steps own sessions down on loaded servers after a new session found no capacity.

        Exception to the token's path, as peers do it too: in a large fleet the sessions
        that could free the capacity are mostly those of other instances.
        """
        has_usable_holder = any(self.usable(s, session) for s in self.fleet.holders(session.request))
        if self.random.random() < 1 - 1 / self.settings.fleet_size and has_usable_holder:
            for limit in {x: 0 for y in self.sessions.values() if y.server for x in y.server.limits()[::2]}:
                self.step_down(
                    limit,
                    RAISE_LOAD,
                    RAISE_LOAD,
                    self.best_gains[session.service_class.name] / MIN_GAIN_RATIO,
                )
