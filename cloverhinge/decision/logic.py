"""Who plays, on which server, at which rung.  Events and actions: interface.py; exceptions are marked below.

DALA token routing: a title's token holder takes its new sessions until the admission test fails; the token
then passes to the least-loaded holder that admits, else the session is refused."""

from __future__ import annotations

import hashlib
import math

from cloverhinge.decision import interface as api
from cloverhinge.decision.health import SUSPECT_US
from cloverhinge.decision.loads import LOG_INTERVAL_US
from cloverhinge.decision.rungs import SHORTFALL_LOAD, STEP_DOWN_TARGET_LOAD, RungControl
from cloverhinge.decision.state import Server, Session, held_seats

MIN_DELIVERED_SHARE = 0.98  # share of the rate under which viewers lose
TICK_US = 500_000  # pace of raising
REPORT_AGE_US = 400_000  # how old a report in an outcome is taken to be: refreshed a few times a second
MAX_PROBES = 2  # servers asked for one session; sampling two is nearly as good as asking all
ATTEMPT_TIME_SHARE = 0.7  # of the time to the aim that an attempt may take, so that another fits
RETRY_AFTER_US = 1_500_000  # a refused viewer finds other room after about this time
MAX_TOKENS = 4096  # titles with a token, the latest asked for; another starts at its hashed holder again
TICK, RESUBSCRIBE = 0, 1  # names of the two timers


class Controller(RungControl):  # acts on events alone and keeps no clock
    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        self.actions, self.now_us = [], now_us
        if self.started_us < 0:
            self.started_us = now_us
            self.actions = [api.SetTimer(TICK_US, TICK), *[api.Subscribe()] * self.settings.must_subscribe]
        self.load_statistics_cache.clear()
        servers, past_us = self.fleet.servers, now_us - self.settings.notes_late_us
        match event:
            case api.FleetUpdate():
                self.fleet.apply_update(now_us, event)
                if event.kind is api.ListKind.FAILED and self.settings.must_subscribe:
                    self.actions.append(api.SetTimer(2 * TICK_US, RESUBSCRIBE))
            case api.SessionRequested():
                self.session_requested(event)
            case api.SessionStarted(number, _, _):
                if (session := self.sessions.get(number)) and session.server:
                    session.playing, session.rung_changed_us = True, now_us
                    self.record_success(session.server)
                    self.suspect_titles.pop(session.request.title, None)
            case api.AttemptEnded():
                self.attempt_ended(event)
            case api.LinkNote(number, server, load) if server in servers:
                session = self.sessions.get(number)
                if session and not session.first_note_seen:  # the note at set-up tells of now
                    session.first_note_seen, past_us = True, now_us
                self.update_load(servers[server], api.LoadReport(link=load), past_us, act=True)
            case api.UplinkNote(_, server, load) if server in servers:
                self.update_load(servers[server], api.LoadReport(uplink=load), past_us, act=True)
            case api.DeliveredShare(_, server, share) if server in servers and share >= MIN_DELIVERED_SHARE:
                for limit in (x for x in servers[server].limits()[::2] if x.inferred):
                    limit.load, limit.inferred = None, False  # over, and how much room there is is unknown
            case api.DeliveredShare(_, server, share) if server in servers and share > 0:
                # Guards against a short link or uplink of untold load: the share delivered implies the load.
                short = max(servers[server].limits()[::2], key=lambda x: x.load or 0.0)
                if past_us >= short.measured_us and (short.inferred or (short.load or 0.0) < 1 / share):
                    short.load, short.measured_us, short.inferred = 1 / share, past_us, self.large_fleet
                    self.step_down(short, 1.0 if self.large_fleet else SHORTFALL_LOAD)
            case api.RungReported(number, _, rung):
                if (session := self.sessions.get(number)) and session.server and session.rung != rung:
                    session.book_existing(self.now_us, session.server, rung)
            case api.ViewerLeft(number):
                if (session := self.sessions.get(number)) and not session.server:
                    self.remove_session(session)
            case api.ProbeEnded():
                self.probe_ended(event)
            case api.TimerFired(token):
                self.actions.append(api.SetTimer(TICK_US, TICK) if token == TICK else api.Subscribe())
                self.suspect_titles = {
                    x: y for x, y in self.suspect_titles.items() if now_us - y[1] < SUSPECT_US
                }
                self.last_logged_us = {
                    x: y for x, y in self.last_logged_us.items() if now_us - y < LOG_INTERVAL_US
                }
                self.raise_rungs()
        return self.actions

    def rendezvous_score(self, title: str, server: Server) -> float:
        """The greatest takes a title's token.  Exception among many: each draws for itself, by links."""
        name = f"{title}/{server.listing.server}" + f"/{self.settings.self_index}" * self.large_fleet
        drawn = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")
        return math.log((drawn + 0.5) / 2**64) / server.link.capacity if self.large_fleet else drawn

    def least_loaded(self, title: str, servers: list[Server]) -> Server | None:
        """The unheard count alike: among many instances each takes one of them by its own lot."""
        return (
            min(
                servers,
                key=lambda s: (
                    self.highest_load(s),
                    -self.rendezvous_score(title, s) if self.large_fleet else s.listing.server,
                ),
            )
            if servers
            else None
        )

    def token_holder(self, session: Session, holders: list[Server]) -> Server | None:
        """At first the one that a hash picks; among many the least-loaded with a connection, else heard."""
        title = session.request.title
        number = self.tokens.pop(title, None)
        holder = next((s for s in holders if s.listing.server == number), None)
        if holder is None and holders:
            known = [
                s
                for s in holders
                if self.large_fleet
                and (s.used or s.link.load is not None)
                and self.admits(s, session, session.ceiling)
            ]
            holder = self.least_loaded(title, [s for s in known if s.used] or known) or max(
                holders, key=lambda s: self.rendezvous_score(title, s)
            )
        if holder:
            self.tokens[title] = holder.listing.server  # behind all others
        if len(self.tokens) > MAX_TOKENS:
            del self.tokens[next(iter(self.tokens))]
        return holder

    def admits(self, server: Server, session: Session, rung: int) -> bool:
        mark = self.admission_limit(session, rung)
        return self.usable(server, session) and self.fits(server, session.rates[rung], mark)

    def pass_token(self, session: Session, holders: list[Server], rung: int) -> Server | None:
        """The least-loaded holder that admits the session inherits the token."""
        title = session.request.title
        heirs = [s for s in holders if self.admits(s, session, rung)]
        heard = [s for s in heirs if self.large_fleet and s.link.load is not None]
        heir = self.least_loaded(title, heard or heirs)
        if heir:
            self.tokens[title] = heir.listing.server
        return heir

    def choose_server(self, session: Session) -> tuple[Server, int] | None:
        """The token's path.  A rung of -1 tells that the server has to be asked for its load first."""
        holders = self.fleet.holders(session.request)
        if (holder := self.token_holder(session, holders)) is None:
            return None
        for rung in range(session.ceiling, session.service_class.floor - 1, -1):
            taker = holder if self.admits(holder, session, rung) else self.pass_token(session, holders, rung)
            if taker and self.needs_probe(
                session, taker, rung
            ):  # passed eagerly where that spares the question
                sure = [s for s in holders if not self.needs_probe(session, s, rung)]
                if not self.large_fleet or (heir := self.pass_token(session, sure, rung)) is None:
                    return taker, -1
                taker = heir
            if taker:
                return self.free_capacity(session, taker, rung)
        ranked = sorted(
            (s for s in holders if self.usable(s, session)),
            key=lambda s: (s is not holder, self.highest_load(s), s.listing.server),
        )
        floor = session.service_class.floor
        if asked := next(
            (
                s
                for s in ranked
                if self.needs_probe(session, s, floor)
                and (
                    not self.large_fleet
                    or self.fits(
                        s,
                        session.rates[floor],
                        self.admission_limit(session, floor),
                        doubt=-self.doubt_spreads[floor],
                    )
                )
            ),
            None,
        ):
            return asked, -1  # what was heard of it leaves room
        for server in ranked:
            if self.fits(server, 0, math.inf):  # a place is left
                if chosen := self.free_capacity(session, server, session.service_class.floor - 1):
                    self.tokens[session.request.title] = server.listing.server
                    return chosen
        return None

    def needs_probe(self, session: Session, server: Server, rung: int) -> bool:
        """Exception: a server unheard lately is asked for its load first, never late in a request's time."""
        early = 2 * (session.request.expires_us - self.now_us) > session.service_class.deadline_us
        if not (self.settings.may_probe and early and session.probes < MAX_PROBES) or self.is_fresh(
            server.link
        ):
            return False
        return not self.fits(
            server, session.rates[rung], STEP_DOWN_TARGET_LOAD, doubt=self.doubt_spreads[rung]
        )

    def probe_ended(self, event: api.ProbeEnded) -> None:
        if server := self.fleet.servers.get(event.server):
            self.update_load(server, event.report or api.LoadReport(), self.now_us - REPORT_AGE_US)
            if event.outcome is not api.Outcome.SERVED:
                self.mark_suspect(server, event.outcome.value)
            elif not server.failures:
                server.suspect_until_us = self.now_us
        for session in self.awaiting_probe.pop(event.server, []):
            if self.sessions.get(session.request.session) is session:
                self.send_attempt(session)

    def session_requested(self, request: api.SessionRequested) -> None:
        kind = self.classes[request.class_name]
        top = max(kind.floor, min(request.ceiling, kind.top, len(self.settings.ladder_kb) - 1))
        session = Session(request, kind, self.now_us, top, self.rates[kind.name], self.gains[kind.name])
        self.sessions[request.session] = session
        if request.server is None:
            self.requests.add(self.now_us)
            return self.send_attempt(session)
        session.playing = session.first_note_seen = True
        if server := self.fleet.servers.get(request.server):
            session.book_existing(self.now_us, server, kind.floor)

    def send_attempt(self, session: Session) -> None:
        request, kind, told = session.request, session.service_class, self.settings
        left = request.expires_us - self.now_us
        budget = told.budget_free + told.budget_ratio * self.requests.count(self.now_us, told.budget_span_us)
        spent = (
            session.attempts and told.budget_span_us and self.further_attempts.count(self.now_us) + 1 > budget
        )
        seated = not kind.seats or held_seats(self.sessions, session) < kind.seats
        odd = not session.attempts and self.is_title_faulty(request.title)
        may_send = session.attempts < told.max_attempts and left > 0 and not spent and seated and not odd
        if (chosen := self.choose_server(session) if may_send else None) is None:
            return self.refuse(session, may_send)
        server, rung = chosen
        if rung < 0:
            session.probes += 1
            return self.request_probe(server).append(session)
        if session.attempts and told.budget_span_us:
            self.further_attempts.add(self.now_us)
        session.attempts += 1
        server.used, server.trial_pending = True, server.failures > 0
        session.tried.append(server)
        if self.warm_fraction(server) < 1:
            server.next_setup_us = self.now_us + int(1 / self.cold_set_up_rate(server))
        session.book(self.now_us, server, rung)
        if rung <= request.ceiling and (rung != kind.floor or session.attempts > 1):  # else the floor
            self.actions.append(api.SetRung(request.session, rung))
        to_aim = session.arrived_us + kind.aim_us - self.now_us
        if kind.effect is not api.Effect.ONCE and to_aim > 0 and session.attempts < told.max_attempts:
            left = min(left, int(max(to_aim, kind.aim_us / 2) * ATTEMPT_TIME_SHARE))
        self.actions.append(api.SetUp(request.session, server.listing.server, left))

    def refuse(self, session: Session, for_capacity: bool) -> None:
        """The final answer, at once: a refusal where it is allowed, else a failure."""
        effect = session.service_class.effect
        if for_capacity:
            self.free_capacity_for_others(session)
        self.remove_session(session)
        if (
            session.may_have_run_at
            and effect is not api.Effect.REPEATABLE
            and not (effect is api.Effect.BY_KEY and session.service_class.group is api.Group.ALL)
        ):
            return self.actions.append(api.Fail(session.request.session))
        wait = int(RETRY_AFTER_US * self.random.uniform(0.8, 1.2))  # spread: viewers shan't return as one
        wait = min(wait, self.settings.max_retry_after_us) if self.settings.retry_after else 0
        self.actions.append(api.Refuse(session.request.session, wait))

    def remove_session(self, session: Session) -> None:
        session.unbook(self.now_us)
        self.sessions.pop(session.request.session, None)

    def attempt_ended(self, event: api.AttemptEnded) -> None:
        session, server = self.sessions.get(event.session), self.fleet.servers.get(event.server)
        if server:
            self.update_load(server, event.report or api.LoadReport(), self.now_us - REPORT_AGE_US)
        if session is None:
            return
        sent_to, session.playing = session.server, False
        if server:
            self.record_outcome(server, event.outcome, event.concluded, session.request.title)
        self.remove_session(session)
        if not event.concluded:
            self.sessions[event.session] = session
            if not event.outcome.never_ran:  # kept even where the server has left the list since
                session.may_have_run_at, session.may_have_run_us = sent_to, self.now_us
            self.send_attempt(session)
