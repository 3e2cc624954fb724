"""May an attempt go to a server?  Health, cold servers' pace, and what failures teach."""

from __future__ import annotations

from cloverhinge.decision import interface as api
from cloverhinge.decision.loads import REQUEST_RATE_SPAN_US, LoadEstimator
from cloverhinge.decision.state import Server, Session

BURST_SPAN_US = 2_000_000  # and over this time: a crowd shows in it at once
SUSPECT_US = 1_000_000  # a failing server is left alone so long, doubled with each further failure
MAX_SUSPECT_DOUBLINGS = 4  # and no more often than this


class ServerHealth(LoadEstimator):
    def wins_cold_draw(self, server: Server, session: Session) -> bool:
        """Guards the ramp over the fleet: by chance, the own part of what came due since the last look."""
        if (number := server.listing.server) not in session.cold_draws:
            asked_us = (
                1e6
                * max(1.0, self.settings.cells / session.request.copies)
                / self.requests.peak_rate(
                    self.now_us, self.started_us - BURST_SPAN_US, (REQUEST_RATE_SPAN_US, BURST_SPAN_US)
                )
            )  # between own looks, usually
            due_us = (
                min(server.time_since_considered(self.now_us), asked_us) if self.large_fleet else asked_us
            )  # few: at once
            session.cold_draws[number] = self.random.random() < due_us * self.cold_set_up_rate(server)
        return session.cold_draws[number]

    def usable(self, server: Server, session: Session) -> bool:
        """Health, pace and terms: may an attempt of this session go to the server at all?"""
        ran, kind = session.may_have_run_at, session.service_class
        if not server.ready or server in session.tried or self.now_us < server.suspect_until_us:
            return False
        if server.failures and (server.trial_pending or kind.effect is api.Effect.ONCE):
            return False  # one trial at a time, and never with a session that can't be sent again
        if self.warm_fraction(server) < 1 and (
            server.in_cold_pause(self.now_us) or not self.wins_cold_draw(server, session)
        ):
            return False
        if ran is None or kind.effect is api.Effect.REPEATABLE:
            return True
        alive = kind.effect is api.Effect.BY_KEY and self.now_us - session.may_have_run_us < kind.key_ttl_us
        return alive and (server is ran or kind.group.includes(server.listing, ran.listing))

    def request_probe(self, server: Server) -> list[Session]:
        """Those who wait for the answer; one probe at a time is out to a server."""
        if server.listing.server not in self.awaiting_probe:
            self.actions.append(api.Probe(server.listing.server))
        return self.awaiting_probe.setdefault(server.listing.server, [])

    def record_outcome(self, server: Server, outcome: api.Outcome, concluded: bool, title: str) -> None:
        """Errors, time-outs, resets and failed connects all disqualify a server for a growing time."""
        server.trial_pending = False
        if outcome is api.Outcome.SERVED:
            return self.record_success(server)
        lost = outcome is api.Outcome.TIMEOUT or (outcome is api.Outcome.RESET and not concluded)
        works = self.settings.may_probe and (
            lost or (outcome is api.Outcome.ERROR and self.is_excused(server, title))
        )
        if outcome is api.Outcome.FULL or works:
            # The token has to pass.  Guards against lost answers: only a server that works answers a probe.
            server.suspect_until_us = max(server.suspect_until_us, self.now_us + SUSPECT_US)
            if works:
                self.request_probe(server)
        elif outcome not in (api.Outcome.CANCELLED, api.Outcome.MOOT):
            self.mark_suspect(server, outcome.value)

    def is_excused(self, server: Server, title: str) -> bool:
        """Guards against titles that no server can use: it is at fault once it errs for two, serving none."""
        number = server.listing.server
        at, _ = self.suspect_titles.setdefault(title, (set(), 0))
        at.add(number)
        self.suspect_titles[title] = at, self.now_us
        server.failed_titles.add(title)
        if self.is_title_faulty(title):
            for one in at & self.fleet.servers.keys():
                self.fleet.servers[one].failed_titles.discard(title)
        return len(server.failed_titles) < 2

    def is_title_faulty(self, title: str) -> bool:
        """A title that erred at two servers lately, and was served nowhere since, errs everywhere."""
        at, last_us = self.suspect_titles.get(title, (set[int](), 0))
        return len(at) > 1 and self.now_us - last_us < SUSPECT_US

    def mark_suspect(self, server: Server, reason: str) -> None:
        if reason != api.Outcome.ERROR.value:
            server.cold_since_us = self.now_us  # it may have restarted before the list says so
        if self.now_us >= server.suspect_until_us or not server.failures:
            server.failures += 1
        wait = SUSPECT_US << min(server.failures - 1, MAX_SUSPECT_DOUBLINGS)
        server.suspect_until_us = max(server.suspect_until_us, self.now_us + wait)
        self.log(f"distrusted {server.listing.server}", f"{reason}, for {wait // 1000} ms")

    def record_success(self, server: Server) -> None:
        server.trial_pending, server.failures = False, max(0, server.failures - 1)
        server.failed_titles.clear()
