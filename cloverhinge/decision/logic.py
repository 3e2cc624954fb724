"""Decides which sessions play, on which server and at which rung.  Events and actions are in interface.py.

DALA token routing: a title's token holder takes its new sessions until the admission test fails; the token
then passes to the least-loaded holder that admits, else the session is refused.  Deviations from it are
marked "Exception" where they are made.
"""

from __future__ import annotations

import hashlib
import math

from cloverhinge.decision import interface as api
from cloverhinge.decision.health import SUSPECT_US
from cloverhinge.decision.loads import LOG_INTERVAL_US
from cloverhinge.decision.rungs import SHORTFALL_LOAD, STEP_DOWN_TARGET_LOAD, RungControl
from cloverhinge.decision.state import Server, Session, held_seats

MIN_DELIVERED_SHARE = 0.98  # share of a session's rate below which its viewer loses quality
TICK_US = 500_000  # interval at which rungs are raised
REPORT_AGE_US = 400_000  # assumed age of a report in an outcome: servers refresh it a few times a second
MAX_PROBES = 2  # servers probed for one session; sampling two is nearly as good as probing all
ATTEMPT_TIME_SHARE = 0.7  # share of the time to the aim that an attempt may take, so that another one fits
RETRY_AFTER_US = 1_500_000  # after about this time a refused viewer finds capacity that others left
MAX_TOKENS = 4096  # titles that have a token, the latest requested; others start at their hashed holder again
TICK, RESUBSCRIBE = 0, 1  # tokens of the two timers


class Controller(RungControl):
    """The decision module of one instance.  It acts on events alone and keeps no clock."""

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Handles an event and returns the actions that follow.  Events have to come in order of time."""
        self.actions, self.now_us = [], now_us
        if self.started_us < 0:
            self.started_us = now_us
            self.actions = [api.SetTimer(TICK_US, TICK), *[api.Subscribe()] * self.settings.must_subscribe]
        self.load_statistics_cache.clear()
        servers, measured_us = self.fleet.servers, now_us - self.settings.notes_late_us
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
                if session and not session.first_note_seen:  # the note at set-up is not delayed
                    session.first_note_seen, measured_us = True, now_us
                self.update_load(servers[server], api.LoadReport(link=load), measured_us, is_note=True)
            case api.UplinkNote(_, server, load) if server in servers:
                self.update_load(servers[server], api.LoadReport(uplink=load), measured_us, is_note=True)
            case api.DeliveredShare(_, server, share) if server in servers and share >= MIN_DELIVERED_SHARE:
                for limit in (x for x in servers[server].limits()[::2] if x.inferred):
                    limit.load, limit.inferred = None, False  # no longer short; the spare capacity is unknown
            case api.DeliveredShare(_, server, share) if server in servers and share > 0:
                # Guards against an overloaded link or uplink without a report: the share implies its load.
                fullest = max(servers[server].limits()[::2], key=lambda x: x.load or 0.0)
                if measured_us >= fullest.measured_us and (
                    fullest.inferred or (fullest.load or 0.0) < 1 / share
                ):
                    fullest.load, fullest.measured_us, fullest.inferred = (
                        1 / share,
                        measured_us,
                        self.large_fleet,
                    )
                    self.step_down(fullest, 1.0 if self.large_fleet else SHORTFALL_LOAD)
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
                    title: suspicion
                    for title, suspicion in self.suspect_titles.items()
                    if now_us - suspicion[1] < SUSPECT_US
                }
                self.last_logged_us = {
                    category: logged_us
                    for category, logged_us in self.last_logged_us.items()
                    if now_us - logged_us < LOG_INTERVAL_US
                }
                self.raise_rungs()
        return self.actions

    def rendezvous_score(self, title: str, server: Server) -> float:
        """Rendezvous hash of a title and a server: the server with the highest score gets the title's token.

        Exception in a large fleet: each instance hashes by itself, and servers are weighted by their links.
        """
        key = f"{title}/{server.listing.server}" + f"/{self.settings.self_index}" * self.large_fleet
        digest = int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "big")
        return math.log((digest + 0.5) / 2**64) / server.link.capacity if self.large_fleet else digest

    def least_loaded(self, title: str, servers: list[Server]) -> Server | None:
        """Returns the least-loaded server.

        Servers without a report have equal loads: in a large fleet each instance picks one of them by its own
        weighted hash.
        """
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
        """Returns the title's token holder, None where there are no holders.

        A title without a token starts at the server that a hash picks.  In a large fleet it starts at the
        least-loaded server that admits the session at its ceiling and has a connection or, where none has, a
        reported load; the hash picks only where there is no such server.
        """
        title = session.request.title
        server_number = self.tokens.pop(title, None)
        holder = next((s for s in holders if s.listing.server == server_number), None)
        if holder is None and holders:
            candidates = [
                s
                for s in holders
                if self.large_fleet
                and (s.used or s.link.load is not None)
                and self.admits(s, session, session.ceiling)
            ]
            holder = self.least_loaded(title, [s for s in candidates if s.used] or candidates) or max(
                holders, key=lambda s: self.rendezvous_score(title, s)
            )
        if holder:
            # Re-inserted at the end: the dict is ordered by use, and its first entry is dropped below.
            self.tokens[title] = holder.listing.server
        if len(self.tokens) > MAX_TOKENS:
            del self.tokens[next(iter(self.tokens))]
        return holder

    def admits(self, server: Server, session: Session, rung: int) -> bool:
        """Whether a server is usable for a session and has the capacity for it at a rung."""
        load_limit = self.admission_limit(session, rung)
        return self.usable(server, session) and self.fits(server, session.rates[rung], load_limit)

    def pass_token(self, session: Session, holders: list[Server], rung: int) -> Server | None:
        """Passes the title's token to the least-loaded holder that admits the session, and returns it."""
        title = session.request.title
        heirs = [s for s in holders if self.admits(s, session, rung)]
        reported = [s for s in heirs if self.large_fleet and s.link.load is not None]
        heir = self.least_loaded(title, reported or heirs)
        if heir:
            self.tokens[title] = heir.listing.server
        return heir

    def choose_server(self, session: Session) -> tuple[Server, int] | None:
        """Returns the server and rung for a session by the token's path, None where no holder takes it.

        A rung of -1 means that the server has to be probed for its load first.
        """
        holders = self.fleet.holders(session.request)
        if (holder := self.token_holder(session, holders)) is None:
            return None
        for rung in range(session.ceiling, session.service_class.floor - 1, -1):
            admitting = (
                holder if self.admits(holder, session, rung) else self.pass_token(session, holders, rung)
            )
            # The token is passed on early where that saves a probe.
            if admitting and self.needs_probe(session, admitting, rung):
                no_probe_needed = [s for s in holders if not self.needs_probe(session, s, rung)]
                if not self.large_fleet or (heir := self.pass_token(session, no_probe_needed, rung)) is None:
                    return admitting, -1
                admitting = heir
            if admitting:
                return self.free_capacity(session, admitting, rung)
        candidates = sorted(
            (s for s in holders if self.usable(s, session)),
            key=lambda s: (s is not holder, self.highest_load(s), s.listing.server),
        )
        floor = session.service_class.floor
        if probed := next(
            (
                s
                for s in candidates
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
            return probed, -1  # as far as its load is known, it has the capacity
        for server in candidates:
            if self.fits(server, 0, math.inf):  # a stream is free
                if chosen := self.free_capacity(session, server, session.service_class.floor - 1):
                    self.tokens[session.request.title] = server.listing.server
                    return chosen
        return None

    def needs_probe(self, session: Session, server: Server, rung: int) -> bool:
        """Exception: a server without a recent report is probed for its load first, except in the second half
        of a request's time.
        """
        early = 2 * (session.request.expires_us - self.now_us) > session.service_class.deadline_us
        if not (self.settings.may_probe and early and session.probes < MAX_PROBES) or self.is_fresh(
            server.link
        ):
            return False
        return not self.fits(
            server, session.rates[rung], STEP_DOWN_TARGET_LOAD, doubt=self.doubt_spreads[rung]
        )

    def probe_ended(self, event: api.ProbeEnded) -> None:
        """Applies the result of a probe, and continues the sessions that waited for it."""
        if server := self.fleet.servers.get(event.server):
            self.update_load(server, event.report or api.LoadReport(), self.now_us - REPORT_AGE_US)
            if event.outcome is not api.Outcome.SERVED:
                self.mark_suspect(server, event.outcome.value)
            elif not server.failures:
                server.suspect_until_us = self.now_us  # it works: no longer suspect
        for session in self.awaiting_probe.pop(event.server, []):
            if self.sessions.get(session.request.session) is session:
                self.send_attempt(session)

    def session_requested(self, request: api.SessionRequested) -> None:
        """Begins a session, or books one that plays already."""
        service_class = self.classes[request.class_name]
        top = max(
            service_class.floor, min(request.ceiling, service_class.top, len(self.settings.ladder_kb) - 1)
        )
        session = Session(
            request,
            service_class,
            self.now_us,
            top,
            self.rates[service_class.name],
            self.gains[service_class.name],
        )
        self.sessions[request.session] = session
        if request.server is None:
            self.requests.add(self.now_us)
            return self.send_attempt(session)
        session.playing = session.first_note_seen = True
        if server := self.fleet.servers.get(request.server):
            session.book_existing(self.now_us, server, service_class.floor)

    def send_attempt(self, session: Session) -> None:
        """Sends a session's next attempt, probes a server for it, or refuses it."""
        request, service_class, settings = session.request, session.service_class, self.settings
        time_left_us = request.expires_us - self.now_us
        budget = settings.budget_free + settings.budget_ratio * self.requests.count(
            self.now_us, settings.budget_span_us
        )
        budget_spent = (
            session.attempts
            and settings.budget_span_us
            and self.further_attempts.count(self.now_us) + 1 > budget
        )
        seat_free = not service_class.seats or held_seats(self.sessions, session) < service_class.seats
        title_faulty = not session.attempts and self.is_title_faulty(request.title)
        may_send = (
            session.attempts < settings.max_attempts
            and time_left_us > 0
            and not budget_spent
            and seat_free
            and not title_faulty
        )
        if (chosen := self.choose_server(session) if may_send else None) is None:
            return self.refuse(session, may_send)
        server, rung = chosen
        if rung < 0:
            session.probes += 1
            return self.request_probe(server).append(session)
        if session.attempts and settings.budget_span_us:
            self.further_attempts.add(self.now_us)
        session.attempts += 1
        server.used, server.trial_pending = True, server.failures > 0
        session.tried.append(server)
        if self.warm_fraction(server) < 1:
            server.next_setup_us = self.now_us + int(1 / self.cold_set_up_rate(server))
        session.book(self.now_us, server, rung)
        # Without an order it plays at the floor.
        if rung <= request.ceiling and (rung != service_class.floor or session.attempts > 1):
            self.actions.append(api.SetRung(request.session, rung))
        to_aim_us = session.arrived_us + service_class.aim_us - self.now_us
        if (
            service_class.effect is not api.Effect.ONCE
            and to_aim_us > 0
            and session.attempts < settings.max_attempts
        ):
            time_left_us = min(
                time_left_us, int(max(to_aim_us, service_class.aim_us / 2) * ATTEMPT_TIME_SHARE)
            )
        self.actions.append(api.SetUp(request.session, server.listing.server, time_left_us))

    def refuse(self, session: Session, for_capacity: bool) -> None:
        """Gives the final answer at once: a refusal where that is allowed, otherwise a failure.

        `for_capacity`: the request could be sent but no server took it, so own sessions may step down.
        """
        if for_capacity:
            self.free_capacity_for_others(session)
        self.remove_session(session)
        if not session.service_class.may_refuse(session.may_have_run_at is not None):
            return self.actions.append(api.Fail(session.request.session))
        # Jitter, so that refused viewers do not return together.
        wait_us = int(RETRY_AFTER_US * self.random.uniform(0.8, 1.2))
        wait_us = min(wait_us, self.settings.max_retry_after_us) if self.settings.retry_after else 0
        self.actions.append(api.Refuse(session.request.session, wait_us))

    def remove_session(self, session: Session) -> None:
        """Drops a session with its bookings."""
        session.unbook(self.now_us)
        self.sessions.pop(session.request.session, None)

    def attempt_ended(self, event: api.AttemptEnded) -> None:
        """Handles the end of an attempt or session; a request that is still open gets its next attempt."""
        session, server = self.sessions.get(event.session), self.fleet.servers.get(event.server)
        if server:
            self.update_load(server, event.report or api.LoadReport(), self.now_us - REPORT_AGE_US)
        if session is None:
            return
        attempted_server, session.playing = session.server, False
        if server:
            self.record_outcome(server, event.outcome, event.concluded, session.request.title)
        self.remove_session(session)
        if not event.concluded:
            self.sessions[event.session] = session
            if not event.outcome.never_ran:  # recorded even where the server has left the list
                session.may_have_run_at, session.may_have_run_us = attempted_server, self.now_us
            self.send_attempt(session)
