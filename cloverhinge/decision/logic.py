"""Who plays, on which server, at which rung.  Events and actions: interface.py; exceptions are marked below.

DALA token routing: a title's token holder takes its new sessions until the admission test fails; the token
then passes to the least-loaded holder that admits, else the session is refused."""

from __future__ import annotations

import hashlib
import math

from cloverhinge.decision import interface as api
from cloverhinge.decision.health import DISTRUST_US
from cloverhinge.decision.loads import LOG_EVERY_US
from cloverhinge.decision.rungs import EASED, SHORT, Rungs
from cloverhinge.decision.state import Server, Session, held

DELIVERED = 0.98  # share of the rate under which viewers lose
TICK_US = 500_000  # pace of raising
REPORT_AGE_US = 400_000  # how old a report in an outcome is taken to be: refreshed a few times a second
PROBES = 2  # servers asked for one session; sampling two is nearly as good as asking all
SETUP_SHARE = 0.7  # of the time to the aim that an attempt may take, so that another fits
RETRY_AFTER_US = 1_500_000  # a refused viewer finds other room after about this time
TOKENS_MOST = 4096  # titles with a token, the latest asked for; another starts at its hashed holder again
TICK, RESUBSCRIBE = 0, 1  # names of the two timers


class Controller(Rungs):  # acts on events alone and keeps no clock
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

    def lot(self, title: str, server: Server) -> float:
        """The greatest takes a title's token.  Exception among many: each draws for itself, by links."""
        name = f"{title}/{server.listing.server}" + f"/{self.settings.self_index}" * self.many
        drawn = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")
        return math.log((drawn + 0.5) / 2**64) / server.link.capacity if self.many else drawn

    def least_loaded(self, title: str, servers: list[Server]) -> Server | None:
        """The unheard count alike: among many instances each takes one of them by its own lot."""
        return min(servers, key=lambda s: (
            self.burden(s), -self.lot(title, s) if self.many else s.listing.server)) if servers else None

    def token_holder(self, session: Session, holders: list[Server]) -> Server | None:
        """At first the one that a hash picks; among many the least-loaded with a connection, else heard."""
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

    def admits(self, server: Server, session: Session, rung: int) -> bool:
        mark = self.mark(session, rung)
        return self.usable(server, session) and self.fits(server, session.rates[rung], mark)

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
        """Exception: a server unheard lately is asked for its load first, never late in a request's time."""
        early = 2 * (session.request.expires_us - self.now) > session.kind.deadline_us
        if not (self.settings.may_probe and early and session.probes < PROBES) or self.fresh(server.link):
            return False
        return not self.fits(server, session.rates[rung], EASED, doubt=self.doubts[rung])

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

    def take(self, request: api.SessionRequested) -> None:
        kind = self.classes[request.class_name]
        top = max(kind.floor, min(request.ceiling, kind.top, len(self.settings.ladder_kb) - 1))
        session = Session(request, kind, self.now, top, self.rates[kind.name], self.gains[kind.name])
        self.sessions[request.session] = session
        if request.server is None:
            self.requests.add(self.now)
            return self.place(session)
        session.playing = session.noted = True
        if server := self.fleet.servers.get(request.server):
            session.stands(self.now, server, kind.floor)

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
        server.used, server.trial = True, server.failures > 0
        session.tried.append(server)
        if self.warmth(server) < 1:
            server.next_setup_us = self.now + int(1 / self.cold_pace(server))
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
