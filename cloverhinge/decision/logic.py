"""Who plays, on which server, at which rung.  Events and actions: interface.py; exceptions are marked below.

DALA token routing: a title's token holder takes its new sessions until the admission test fails; the token
then passes to the least-loaded holder that admits, else the session is refused."""

from __future__ import annotations

import hashlib
import heapq
import math
import operator
import random
from statistics import NormalDist

from cloverhinge.decision import interface as api
from cloverhinge.decision.state import Fleet, Limit, Recent, Server, Session, Sessions, held

MARK = 0.90  # load up to which sessions are admitted; the rest is room for the spread of true rates
RESERVE = 0.2  # load left free by steps that earn nothing, in proportion by others
PLAYING = 0.85  # load that a step down aims at among many instances, where newcomers need the room
EASED = 0.98  # load that other steps down aim at, and up to which no session falls short
SHORT = 1.08  # load told from which own sessions step down; under it notes are too noisy to pay for a change
RAISE_MARK = 0.80  # load up to which playing sessions are raised; under MARK, so that newcomers find room
DELIVERED = 0.98  # share of the rate under which viewers lose
DWELL_US = 6_000_000  # a session is raised so long after its last change of rung at the earliest
TICK_US = 500_000  # pace of raising
REPORT_AGE_US = 400_000  # how old a report in an outcome is taken to be: refreshed a few times a second
PACE_SPAN_US = 20_000_000  # own requests are counted over this time: steady, and about a session's length
BURST_US = 2_000_000  # and over this time: a crowd shows in it at once
PROBE_AGE_US = 4_500_000  # a load older than this is in doubt by the spread of loads over the fleet
SPREAD = 0.25  # standard deviation of loads taken until some have been heard, as seen on large fleets
HARM = 3.0  # sessions' worth lost where one is sent to a link that turns out to be full
PROBES = 2  # servers asked for one session; sampling two is nearly as good as asking all
STALE_US = 10_000_000  # a load older than this counts as unheard
TRUST_GAIN = 0.5  # weight of a load note against the own forecast, as notes are noisy
JUMP = 0.4  # a note so far off the forecast is believed in full: a link was lost or freed
DISTRUST_US = 1_000_000  # a failing server is left alone so long, doubled with each further failure
DISTRUST_DOUBLINGS = 4  # and no more often than this
SETUP_SHARE = 0.7  # of the time to the aim that an attempt may take, so that another fits
SWITCH_LIFE_S = 8.0  # seconds over which a change of rung must earn its price
STEP_GAIN = 1.8  # a newcomer's step must be worth so much more than the steps taken for it
RETRY_AFTER_US = 1_500_000  # a refused viewer finds other room after about this time
MANY = 10  # instances from which on one hears of a server too seldom to follow its load
TOKENS_MOST = 4096  # titles with a token, the latest asked for; another starts at its hashed holder again
TICK, RESUBSCRIBE = 0, 1  # names of the two timers
LOG_EVERY_US = 5_000_000  # at most one line of a kind in this time


class Controller:  # one session manager's decisions: acts on events alone and keeps no clock
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {one.name: one for one in settings.classes}
        self.fleet = Fleet(settings)
        self.tokens: dict[str, int] = {}
        self.sessions = Sessions()
        self.asked: dict[int, list[Session]] = {}  # who waits for the probes that are out
        self.requests = Recent(max(PACE_SPAN_US, settings.budget_span_us))  # for the budget and peers' pace
        self.averages: dict[int, tuple[float, float, float]] = {}  # of this event
        self.odd: dict[str, tuple[set[int], int]] = {}  # titles that erred: the servers, and the last moment
        self.further = Recent(settings.budget_span_us)  # attempts beyond a session's first
        self.logged: dict[str, int] = {}
        self.rates = {x.name: settings.rates(x) for x in settings.classes}
        self.gains = {x.name: settings.step_gains(x) for x in settings.classes}
        self.best = {x.name: x.worth * max(map(operator.truediv, settings.rung_worth[x.floor:], self.rates[
            x.name][x.floor:])) for x in settings.classes}  # the most earned for each kB of a whole rate
        self.many, kb = settings.fleet_size >= MANY, settings.ladder_kb
        asking = max(settings.probe_price + settings.handshake_price, 1e-3) * sum(kb) / len(kb) / HARM
        self.doubts = [NormalDist().inv_cdf(1 - min(asking / x, 0.5)) if self.many else math.inf
                       for x in kb]  # by rung, in spreads: what is less likely costs less than to ask
        self.best_value: float = max(self.best.values(), default=0) or 1
        self.born_us, self.now, self.out = -1, 0, list[api.Action]()

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        self.out, self.now = [], now_us
        if self.born_us < 0:
            self.born_us = now_us
            self.out = [api.SetTimer(TICK_US, TICK), *[api.Subscribe()] * self.settings.must_subscribe]
        self.averages.clear()
        servers, past_us = self.fleet.servers, now_us - self.settings.notes_late_us
        match event:
            case api.FleetUpdate():
                self.fleet.follow(now_us, event)
                if event.kind is api.ListKind.FAILED and self.settings.must_subscribe:
                    self.out.append(api.SetTimer(2 * TICK_US, RESUBSCRIBE))
            case api.SessionRequested():
                self.take(event)
            case api.SessionStarted(number, _, _):
                if (session := self.sessions.get(number)) and session.server:
                    session.playing, session.changed_us = True, now_us
                    self.trust(session.server)
                    self.odd.pop(session.request.title, None)
            case api.AttemptEnded():
                self.attempt_ended(event)
            case api.LinkNote(number, server, load) if server in servers:
                session = self.sessions.get(number)
                if session and not session.noted:  # the note at set-up tells of now
                    session.noted, past_us = True, now_us
                self.learn(servers[server], api.LoadReport(link=load), past_us, act=True)
            case api.UplinkNote(_, server, load) if server in servers:
                self.learn(servers[server], api.LoadReport(uplink=load), past_us, act=True)
            case api.DeliveredShare(_, server, share) if server in servers and share >= DELIVERED:
                for limit in (x for x in servers[server].limits()[::2] if x.inferred):
                    limit.load, limit.inferred = None, False  # over, and how much room there is is unknown
            case api.DeliveredShare(_, server, share) if server in servers and share > 0:
                # Guards against a short link or uplink of untold load: the share delivered implies the load.
                short = max(servers[server].limits()[::2], key=lambda x: x.load or 0.0)
                if past_us >= short.described_us and (short.inferred or (short.load or 0.0) < 1 / share):
                    short.load, short.described_us, short.inferred = 1 / share, past_us, self.many
                    self.step_down(short, 1.0 if self.many else SHORT)
            case api.RungInForce(number, _, rung):
                if (session := self.sessions.get(number)) and session.server and session.rung != rung:
                    session.stands(self.now, session.server, rung)
            case api.ViewerLeft(number):
                if (session := self.sessions.get(number)) and not session.server:
                    self.forget(session)
            case api.ProbeEnded():
                self.probe_ended(event)
            case api.TimerFired(token):
                self.out.append(api.SetTimer(TICK_US, TICK) if token == TICK else api.Subscribe())
                self.odd = {x: y for x, y in self.odd.items() if now_us - y[1] < DISTRUST_US}
                self.logged = {x: y for x, y in self.logged.items() if now_us - y < LOG_EVERY_US}
                self.raise_rungs()
        return self.out

    def log(self, kind: str, text: str) -> None:
        if self.now - self.logged.get(kind, -LOG_EVERY_US) >= LOG_EVERY_US:
            self.logged[kind] = self.now
            self.out.append(api.Log(f"{kind}: {text}"))

    def load_of(self, limit: Limit) -> float:
        """Last report, own bookings since, and what few peers may have added by the own pace; the unheard
        count as average.  Many peers' sessions end as others start, and the own pace tells little of it."""
        if limit.load is not None and (age_us := self.now - limit.described_us) < STALE_US:
            return limit.load + limit.grown() + (not self.many) * self.average(limit.peers)[1] * age_us / 1e6
        return max(limit.booked / limit.capacity, self.average(limit.peers)[0])

    def average(self, peers: list[Limit]) -> tuple[float, float, float]:
        """Of limits of a kind: the mean load heard lately, what others add to each a second, the spread."""
        if id(peers) not in self.averages:
            # Only what is short is inferred: it says nothing of the others.
            loads = [x.load for x in peers if x.load is not None and not x.inferred
                     and self.now - x.described_us < STALE_US]
            mean = sum(x.booked for x in peers) / max(len(self.sessions), 1)
            others = self.requests.count(self.now, PACE_SPAN_US) * (self.settings.fleet_size - 1)
            added = mean * others * 1e6 / PACE_SPAN_US / max(sum(x.capacity for x in peers), 1e-9)
            level, n = sum(loads) / max(len(loads), 1), len(loads)
            spread = math.dist(loads, [level] * n) / n**0.5 if n > 2 else SPREAD if loads else math.inf
            self.averages[id(peers)] = level, added, spread
        return self.averages[id(peers)]

    def learn(self, server: Server, report: api.LoadReport, described_us: int, act: bool = False) -> None:
        """Takes over a load.  Steps down on notes only: all hear those, and the share of a step is for all.
        Any load tells what own sessions may be raised by: their share of the room, as all may find it."""
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
        """Adds the cheapest steps down to `planned` until no limit is `over`; false where none costs under
        `most`.  With `odd`, the last step only with the chance of the part that is needed.  Guards against
        holding all requests up on a full rack: a step taken renews one entry of a heap, not all of them."""
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
        """On a short limit each instance steps down its own share, then waits for notes of after the step.
        Guards against swings: all hear a note at once, so part of a step is taken with the chance of it."""
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
        """Raise playing sessions, dearest step first, while their link and uplink stay under RAISE_MARK.
        Guards against swings: a step is taken with the chance that the own share of the room bears to it."""
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

    def warmth(self, server: Server) -> float:
        cold_us, start, since_us = self.settings.cold_us, self.settings.cold_from, server.cold_since_us
        age = 1.0 if since_us is None or not cold_us else min(1.0, max(0, self.now - since_us) / cold_us)
        return start + (1 - start) * age

    def usable(self, server: Server, session: Session) -> bool:
        """Health, pace and terms: may an attempt of this session go to the server at all?"""
        ran, kind = session.may_have_run, session.kind
        if not server.ready or server in session.tried or self.now < server.distrusted_until_us:
            return False
        if server.failures and (server.trial or kind.effect is api.Effect.ONCE):
            return False  # one trial at a time, and never with a session that can't be sent again
        early = self.now < server.next_setup_us
        if self.warmth(server) < 1 and (early or not self.cold_turn(server, session)):
            return False
        if ran is None or kind.effect is api.Effect.REPEATABLE:
            return True
        alive = kind.effect is api.Effect.BY_KEY and self.now - session.may_have_run_us < kind.key_ttl_us
        return alive and (server is ran or kind.group.joins(server.listing, ran.listing))

    def cold_pace(self, server: Server) -> float:  # set-ups a second, of all instances
        return server.places.capacity * 1e6 / self.settings.cold_us * self.warmth(server)

    def cold_turn(self, server: Server, session: Session) -> bool:
        """Guards against many instances that each send a first session to a cold server: one passes with the
        chance that the pace bears to all instances' requests there, judged by the own ones."""
        if (number := server.listing.server) not in session.cold_turns:
            own = self.requests.pace(self.now, self.born_us - BURST_US, (PACE_SPAN_US, BURST_US))
            wanted = own * self.settings.fleet_size / max(len(self.fleet.servers), 1)
            session.cold_turns[number] = self.random.random() * wanted < self.cold_pace(server)
        return session.cold_turns[number]

    def fresh(self, limit: Limit) -> bool:
        return limit.load is not None and self.now - limit.described_us < PROBE_AGE_US

    def fits(self, server: Server, kb: float, mark: float, places: int = 1, doubt: float = 0) -> bool:
        """The load part of the admission test: link, rack uplink and streams with the new rate; with room for
        so many spreads of `doubt` where a load was not heard lately."""
        link, uplink = server.link, server.uplink
        at_link, at_uplink = (mark - (doubt * self.average(limit.peers)[2] if doubt and not self.fresh(limit)
                                      else 0) for limit in (link, uplink))
        return (self.load_of(link) + kb / (link.capacity * self.warmth(server)) <= at_link
                and self.load_of(uplink) + kb / uplink.capacity <= at_uplink
                and (not places or self.load_of(server.places) + places / server.places.capacity <= 1))

    def admits(self, server: Server, session: Session, rung: int) -> bool:
        mark = self.mark(session, rung)
        return self.usable(server, session) and self.fits(server, session.rates[rung], mark)

    def mark(self, session: Session, rung: int) -> float:
        """Exception to highest-first: steps that earn less for each kB are admitted up to a lower mark, to
        leave room for others; less so with few instances, which can step down what they let in."""
        earned = session.gains[rung] if rung > session.kind.floor else self.best[session.kind.name]
        return MARK - RESERVE * (1 - 1 / self.settings.fleet_size) * max(0.0, 1 - earned / self.best_value)

    def give_way(self, newcomer: Session) -> None:
        """Exception: a newcomer found no room, so own sessions on full servers step down by their share, as
        peers' do.  Guards against overload, where each could make room on other servers than its own.
        Not where no holder may take it for reasons other than room."""
        able = any(self.usable(s, newcomer) for s in self.fleet.holders(newcomer.request))
        if self.random.random() < 1 - 1 / self.settings.fleet_size and able:
            for limit in {x: 0 for y in self.sessions.values() if y.server for x in y.server.limits()[::2]}:
                self.step_down(limit, RAISE_MARK, RAISE_MARK, self.best[newcomer.kind.name] / STEP_GAIN)

    def burden(self, server: Server) -> float:
        return max(self.load_of(server.link), self.load_of(server.uplink), self.load_of(server.places))

    def lot(self, title: str, server: Server) -> float:
        """The greatest takes a title's token.  Exception where many share the traffic: each draws by itself,
        a server with a chance in proportion to its link.  Guards against a title's sessions of all instances,
        and a lost server's tokens, together on one server before any instance hears of it."""
        name = f"{title}/{server.listing.server}" + f"/{self.settings.self_index}" * self.many
        drawn = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")
        return math.log((drawn + 0.5) / 2**64) / server.link.capacity if self.many else drawn

    def least_loaded(self, title: str, servers: list[Server]) -> Server | None:
        """The unheard count alike: among many instances each takes one of them by its own lot."""
        ranked = sorted(servers, key=lambda s: (
            self.burden(s), -self.lot(title, s) if self.many else s.listing.server))
        return ranked[0] if ranked else None

    def token_holder(self, session: Session, holders: list[Server]) -> Server | None:
        """The holder of the title's token: at first the one that a hash picks, alike at every instance.
        Where many share the traffic it is the least-loaded that admits of those with a connection, else of
        those heard: others cost a handshake or a question."""
        title = session.request.title
        number = self.tokens.pop(title, None)
        holder = next((s for s in holders if s.listing.server == number), None)
        if holder is None and holders:
            known = [s for s in holders if self.many and (s.used or s.link.load is not None)
                     and self.admits(s, session, session.ceiling)]
            holder = self.least_loaded(title, [s for s in known if s.used] or known) or max(
                holders, key=lambda s: self.lot(title, s))
        if holder:
            self.tokens[title] = holder.listing.server  # behind all others
        if len(self.tokens) > TOKENS_MOST:
            del self.tokens[next(iter(self.tokens))]
        return holder

    def pass_token(self, session: Session, holders: list[Server], rung: int) -> Server | None:
        """The least-loaded holder that admits the session inherits the token."""
        title = session.request.title
        heirs = [s for s in holders if self.admits(s, session, rung)]
        heard = [s for s in heirs if self.many and s.link.load is not None]
        heir = self.least_loaded(title, heard or heirs)
        if heir:
            self.tokens[title] = heir.listing.server
        return heir

    def choose(self, session: Session) -> tuple[Server, int] | None:
        """The token's path.  A rung of -1 tells that the server has to be asked for its load first."""
        holders = self.fleet.holders(session.request)
        if (holder := self.token_holder(session, holders)) is None:
            return None
        for rung in range(session.ceiling, session.kind.floor - 1, -1):
            taker = holder if self.admits(holder, session, rung) else self.pass_token(session, holders, rung)
            if taker and self.unsure(session, taker, rung):  # passed eagerly where that spares the question
                sure = [s for s in holders if not self.unsure(session, s, rung)]
                if not self.many or (heir := self.pass_token(session, sure, rung)) is None:
                    return taker, -1
                taker = heir
            if taker:
                return self.make_room(session, taker, rung)
        ranked = sorted((s for s in holders if self.usable(s, session)),
                        key=lambda s: (s is not holder, self.burden(s), s.listing.server))
        floor = session.kind.floor
        if asked := next((s for s in ranked if self.unsure(session, s, floor) and (not self.many or self.fits(
                s, session.rates[floor], self.mark(session, floor), doubt=-self.doubts[floor]))), None):
            return asked, -1  # what was heard of it leaves room
        for server in ranked:
            if self.fits(server, 0, math.inf):  # a place is left
                if chosen := self.make_room(session, server, session.kind.floor - 1):
                    self.tokens[session.request.title] = server.listing.server
                    return chosen
        return None

    def unsure(self, session: Session, server: Server, rung: int) -> bool:
        """Exception: a server unheard lately, which may be full for all that is known, is asked for its load
        first.  Never late in a request's time: one that stands still would lose it."""
        early = 2 * (session.request.expires_us - self.now) > session.kind.deadline_us
        if not (self.settings.may_probe and early and session.probes < PROBES) or self.fresh(server.link):
            return False
        return not self.fits(server, session.rates[rung], EASED, doubt=self.doubts[rung])

    def probe(self, server: Server) -> list[Session]:
        """Those who wait for the answer; one probe at a time is out to a server."""
        if server.listing.server not in self.asked:
            self.out.append(api.Probe(server.listing.server))
        return self.asked.setdefault(server.listing.server, [])

    def probe_ended(self, event: api.ProbeEnded) -> None:
        if server := self.fleet.servers.get(event.server):
            self.learn(server, event.report or api.LoadReport(), self.now - REPORT_AGE_US)
            if event.outcome is not api.Outcome.SERVED:
                self.distrust(server, event.outcome.value)
            elif not server.failures:
                server.distrusted_until_us = self.now
        for session in self.asked.pop(event.server, []):
            if self.sessions.get(session.request.session) is session:
                self.place(session)

    def make_room(self, session: Session, server: Server, rung: int) -> tuple[Server, int] | None:
        """Exception to highest-first, where it is full: the newcomer's next step up may earn more for each kB
        than the cheapest steps down of playing sessions lose."""
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

    def take(self, request: api.SessionRequested) -> None:
        kind = self.classes[request.class_name]
        top = max(kind.floor, min(request.ceiling, kind.top, len(self.settings.ladder_kb) - 1))
        session = Session(request, kind, self.now, top, self.rates[kind.name], self.gains[kind.name])
        self.sessions[request.session] = session
        if request.server is not None:
            session.playing, session.noted = True, True
            if server := self.fleet.servers.get(request.server):
                session.stands(self.now, server, kind.floor)
            return
        self.requests.add(self.now)
        self.place(session)

    def place(self, session: Session) -> None:
        request, kind, told = session.request, session.kind, self.settings
        left = request.expires_us - self.now
        budget = told.budget_free + told.budget_ratio * self.requests.count(self.now, told.budget_span_us)
        spent = session.attempts and told.budget_span_us and self.further.count(self.now) + 1 > budget
        seated = not kind.seats or held(self.sessions, session) < kind.seats
        odd = not session.attempts and self.at_fault(request.title)
        may_send = session.attempts < told.max_attempts and left > 0 and not spent and seated and not odd
        if (chosen := self.choose(session) if may_send else None) is None:
            return self.refuse(session, may_send)
        server, rung = chosen
        if rung < 0:
            session.probes += 1
            return self.probe(server).append(session)
        if session.attempts and told.budget_span_us:
            self.further.add(self.now)
        session.attempts += 1
        server.used = True
        session.tried.append(server)
        server.trial = server.failures > 0
        if self.warmth(server) < 1:
            server.next_setup_us = self.now + int(1e6 * told.fleet_size / self.cold_pace(server))
        session.book(self.now, server, rung)
        if rung <= request.ceiling and (rung != kind.floor or session.attempts > 1):  # else the floor
            self.out.append(api.SetRung(request.session, rung))
        to_aim = session.arrived_us + kind.aim_us - self.now
        if kind.effect is not api.Effect.ONCE and to_aim > 0 and session.attempts < told.max_attempts:
            left = min(left, int(max(to_aim, kind.aim_us / 2) * SETUP_SHARE))
        self.out.append(api.SetUp(request.session, server.listing.server, left))

    def refuse(self, session: Session, for_room: bool) -> None:
        """The final answer, at once: a refusal where it is allowed, else a failure."""
        effect = session.kind.effect
        if for_room:
            self.give_way(session)
        self.forget(session)
        if session.may_have_run and effect is not api.Effect.REPEATABLE and not (
                effect is api.Effect.BY_KEY and session.kind.group is api.Group.ALL):
            return self.out.append(api.Fail(session.request.session))
        wait = int(RETRY_AFTER_US * self.random.uniform(0.8, 1.2))  # spread: viewers shan't return as one
        wait = min(wait, self.settings.max_retry_after_us) if self.settings.retry_after else 0
        self.out.append(api.Refuse(session.request.session, wait))

    def forget(self, session: Session) -> None:
        session.unbook(self.now)
        self.sessions.pop(session.request.session, None)

    def attempt_ended(self, event: api.AttemptEnded) -> None:
        session, server = self.sessions.get(event.session), self.fleet.servers.get(event.server)
        if server:
            self.learn(server, event.report or api.LoadReport(), self.now - REPORT_AGE_US)
        if session is None:
            return
        sent_to, session.playing = session.server, False
        if server:
            self.judge(server, event.outcome, event.concluded, session.request.title)
        self.forget(session)
        if not event.concluded:
            self.sessions[event.session] = session
            if not event.outcome.never_ran:  # kept even where the server has left the list since
                session.may_have_run, session.may_have_run_us = sent_to, self.now
            self.place(session)

    def judge(self, server: Server, outcome: api.Outcome, concluded: bool, title: str) -> None:
        """Errors, time-outs, resets and failed connects all disqualify a server for a growing time."""
        server.trial = False
        if outcome is api.Outcome.SERVED:
            self.trust(server)
            return
        lost = outcome is api.Outcome.TIMEOUT or (outcome is api.Outcome.RESET and not concluded)
        works = self.settings.may_probe and (
            lost or (outcome is api.Outcome.ERROR and self.excused(server, title)))
        if outcome is api.Outcome.FULL or works:
            # The token has to pass.  Guards against lost answers: only a server that works answers a probe.
            server.distrusted_until_us = max(server.distrusted_until_us, self.now + DISTRUST_US)
            if works:
                self.probe(server)
        elif outcome not in (api.Outcome.CANCELLED, api.Outcome.MOOT):
            self.distrust(server, outcome.value)

    def excused(self, server: Server, title: str) -> bool:
        """Guards against viewers who ask for what no server can use, which would have all distrusted: a
        server is at fault only once it errs for two titles, neither at fault, and serves none in between."""
        number = server.listing.server
        at, _ = self.odd.setdefault(title, (set(), 0))
        at.add(number)
        self.odd[title] = at, self.now
        server.erred.add(title)
        if self.at_fault(title):
            for one in at & self.fleet.servers.keys():
                self.fleet.servers[one].erred.discard(title)
        return len(server.erred) < 2

    def at_fault(self, title: str) -> bool:
        """A title that erred at two servers lately, and was served nowhere since, errs everywhere."""
        at, last_us = self.odd.get(title, (set[int](), 0))
        return len(at) > 1 and self.now - last_us < DISTRUST_US

    def distrust(self, server: Server, why: str) -> None:
        if why != api.Outcome.ERROR.value:
            server.cold_since_us = self.now  # it may have restarted before the list says so
        if self.now >= server.distrusted_until_us or not server.failures:
            server.failures += 1
        wait = DISTRUST_US << min(server.failures - 1, DISTRUST_DOUBLINGS)
        server.distrusted_until_us = max(server.distrusted_until_us, self.now + wait)
        self.log(f"distrusted {server.listing.server}", f"{why}, for {wait // 1000} ms")

    def trust(self, server: Server) -> None:
        server.trial, server.failures = False, max(0, server.failures - 1)
        server.erred.clear()
