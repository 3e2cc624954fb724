"""At which rung do sessions play?  Steps down and up, and room for newcomers."""

from __future__ import annotations

import heapq

from cloverhinge.decision import interface as api
from cloverhinge.decision.health import Trust
from cloverhinge.decision.loads import PROBE_AGE_US, STALE_US
from cloverhinge.decision.state import Limit, Server, Session

MARK = 0.90  # load up to which sessions are admitted; the rest is room for the spread of true rates
RESERVE = 0.2  # load left free by steps that earn nothing, in proportion by others
PLAYING = 0.85  # load that a step down aims at among many instances, where newcomers need the room
EASED = 0.98  # load that other steps down aim at, and up to which no session falls short
SHORT = 1.08  # load told from which own sessions step down; under it notes are too noisy to pay for a change
RAISE_MARK = 0.80  # load up to which playing sessions are raised; under MARK, so that newcomers find room
DWELL_US = 6_000_000  # a session is raised so long after its last change of rung at the earliest
TRUST_GAIN = 0.5  # weight of a load note against the own forecast, as notes are noisy
JUMP = 0.4  # a note so far off the forecast is believed in full: a link was lost or freed
SWITCH_LIFE_S = 8.0  # seconds over which a change of rung must earn its price
STEP_GAIN = 1.8  # a newcomer's step must be worth so much more than the steps taken for it


class Rungs(Trust):
    def mark(self, session: Session, rung: int) -> float:
        """Exception to highest-first: steps that earn less for each kB are admitted up to a lower mark."""
        earned = session.gains[rung] if rung > session.kind.floor else self.best[session.kind.name]
        return MARK - RESERVE * (1 - 1 / self.settings.fleet_size) * max(0.0, 1 - earned / self.best_value)

    def learn(self, server: Server, report: api.LoadReport, described_us: int, act: bool = False) -> None:
        """Takes over a load.  Steps down on notes, which all hear; any load tells the own share of room."""
        streams = None if report.streams is None else report.streams / server.places.capacity
        for limit, load in zip(server.limits(), (report.link, streams, report.uplink), strict=True):
            if load is None or (limit.load is not None and described_us < limit.described_us):
                continue
            if limit.load is not None and self.now - limit.described_us < STALE_US:
                forecast = limit.load + limit.grown(described_us)
                load = forecast + min(max(TRUST_GAIN, abs(load - forecast) / JUMP), 1.0) * (load - forecast)
            limit.load, limit.described_us, limit.inferred = load, described_us, False
            if limit is not server.places:
                if act:
                    self.step_down(limit)
                elif self.many:  # each asks by itself, and takes its own share then
                    self.step_down(limit, MARK, PLAYING, min(self.best.values()) / STEP_GAIN)
                room = RAISE_MARK / max(load, limit.booked / limit.capacity, 1e-9) - 1
                limit.raise_kb = limit.booked * max(0.0, room)  # the own share of it, until the next report

    def step_under(self, number: int, x: Session, planned: dict[int, int]) -> tuple[float, int, int, float]:
        """A session's next step down: its cost for each kB, whose it is, the rung, the kB that it frees."""
        rung = planned.get(number, x.rung)
        kb = max(x.rates[rung] - x.rates[rung - 1], 1e-9)
        change = 0 if number in planned else self.settings.switch_s * x.kind.worth / SWITCH_LIFE_S
        return x.gains[rung] + change / kb, number, rung - 1, kb

    def plan_steps(self, over: dict[Limit, float], planned: dict[int, int], most: float, odd: bool) -> bool:
        """Adds the cheapest steps down, false where none costs under `most`; `odd`: the last by chance."""
        heaps: dict[Limit, list[tuple[float, int, int, float]]] = {}
        while (excess := max(over.values())) > 0:
            tight = next(limit for limit in over if over[limit] == excess)
            if (heap := heaps.get(tight)) is None:
                heap = heaps[tight] = [self.step_under(n, x, planned) for n, x in tight.sessions.items()
                                       if x.playing and planned.get(n, x.rung) > x.kind.floor]
                heapq.heapify(heap)
            while heap and heap[0][2] != planned.get(heap[0][1], self.sessions[heap[0][1]].rung) - 1:
                heapq.heappop(heap)  # of a step that has been taken
            if not heap or heap[0][0] > most:
                return False
            _, number, rung, kb = heap[0]
            if odd and self.random.random() * kb > excess:
                break
            planned[number], x = rung, self.sessions[number]
            for limit in over:
                if number in limit.sessions:
                    over[limit] -= kb
                    if limit in heaps and rung > x.kind.floor:
                        heapq.heappush(heaps[limit], self.step_under(number, x, planned))
        return True

    def step_down(self, limit: Limit, above: float = SHORT, aim: float = EASED, most: float = 1e99) -> None:
        """Each instance steps down its own share, part of a step by its chance: all hear a note at once."""
        load, planned = (limit.load or 0.0) + limit.grown(), dict[int, int]()
        if load < above or limit.described_us < limit.stepped_us:
            return
        cheap = self.plan_steps({limit: limit.booked * (1 - aim / load)}, planned, most, odd=True)
        if cheap or planned or not self.many:
            limit.stepped_us = self.now  # else none was cheap enough, and another may try
        self.set_rungs(planned)
        if planned:
            self.log("stepping down", f"load {load:.2f}, {len(planned)} sessions")

    def set_rungs(self, planned: dict[int, int]) -> None:
        for number, rung in planned.items():
            session = self.sessions[number]
            if session.server:
                session.book(self.now, session.server, rung)
                session.changed_us = self.now
                self.out.append(api.SetRung(number, rung))

    def raise_rungs(self) -> None:
        """Dearest step first, with the chance that the own share of the room bears to it: against swings."""
        able = [(-x.gains[x.rung + 1], number, x.server) for number, x in self.sessions.items()
                if x.playing and x.server and x.rung < x.ceiling and self.now - x.changed_us >= DWELL_US]
        for limit in {x for _, _, y in able for x in y.limits()[::2]} if self.many else ():
            mean, _, spread = self.average(limit.peers)
            if mean and not self.fresh(limit) and self.now - limit.granted_us > PROBE_AGE_US:
                limit.granted_us = self.now  # as all may: a share of the room that is likely there
                limit.raise_kb = limit.booked * max(0.0, RAISE_MARK / (mean + spread) - 1)
        for _, number, server in sorted(able, key=lambda x: x[:2]):
            session, room = self.sessions[number], min(server.link.raise_kb, server.uplink.raise_kb)
            for rung in range(session.ceiling, session.rung, -1):
                kb = session.rates[rung] - session.kb
                if room > 0 and self.fits(server, kb, RAISE_MARK, 0, 1.0 if self.many else 0):
                    if self.random.random() * kb < room:
                        self.set_rungs({number: rung})
                    server.link.raise_kb -= kb
                    server.uplink.raise_kb -= kb
                    break

    def make_room(self, session: Session, server: Server, rung: int) -> tuple[Server, int] | None:
        """Exception, where it is full: a newcomer's step up may earn more than others' steps down lose."""
        link, uplink, planned = server.link, server.uplink, dict[int, int]()
        over = {link: (self.load_of(link) - MARK) * link.capacity * self.warmth(server),
                uplink: (self.load_of(uplink) - MARK) * uplink.capacity}
        peers_part = 1 - link.booked / link.capacity / max(self.load_of(link), 1e-9)
        top = rung if rung >= session.kind.floor and self.random.random() < peers_part else session.ceiling
        while rung < top:  # a higher rung only by the own part: the room is else for peers to make
            kb, trial = session.rates[rung + 1], dict(planned)
            left = {limit: kb + excess for limit, excess in over.items()}
            if not self.plan_steps(left, trial, session.gains[rung + 1] / STEP_GAIN, False):
                break
            over = {limit: excess - kb for limit, excess in left.items()}
            planned, rung = trial, rung + 1
        self.set_rungs(planned)
        return (server, rung) if rung >= session.kind.floor else None

    def give_way(self, newcomer: Session) -> None:
        """Exception: a newcomer found no room, so own sessions on full servers step down, as peers' do."""
        able = any(self.usable(s, newcomer) for s in self.fleet.holders(newcomer.request))
        if self.random.random() < 1 - 1 / self.settings.fleet_size and able:
            for limit in {x: 0 for y in self.sessions.values() if y.server for x in y.server.limits()[::2]}:
                self.step_down(limit, RAISE_MARK, RAISE_MARK, self.best[newcomer.kind.name] / STEP_GAIN)
