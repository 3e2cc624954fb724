"""Whether an attempt may go to a server: listed health, warm-up rate of cold servers, and past failures."""

from __future__ import annotations

from cloverhinge.decision import interface as api
from cloverhinge.decision.loads import REQUEST_RATE_SPAN_US, LoadEstimator
from cloverhinge.decision.state import Server, Session

BURST_SPAN_US = 2_000_000  # own requests are counted over this span too: a burst shows in it at once
SUSPECT_US = 1_000_000  # a failing server gets nothing for so long, doubled with each further failure
MAX_SUSPECT_DOUBLINGS = 4


class ServerHealth(LoadEstimator):
    """Decides which servers are usable, and learns from the outcomes of attempts and probes."""

    def wins_cold_draw(self, server: Server, session: Session) -> bool:
        """Draws whether a session may go to a cold server; a session draws once for each server.

        Guards the warm-up ramp that all instances fill together: the probability is this instance's share of
        the set-ups that came due since it last considered the server.
        """
        if (number := server.listing.server) not in session.cold_draws:
            # The usual time between two sessions here that consider the server.
            typical_us = (
                1e6
                * max(1.0, self.settings.cells / session.request.copies)
                / self.requests.peak_rate(
                    self.now_us, self.started_us - BURST_SPAN_US, (REQUEST_RATE_SPAN_US, BURST_SPAN_US)
                )
            )
            # A small fleet need not wait until that time has passed.
            due_us = (
                min(server.time_since_considered(self.now_us), typical_us) if self.large_fleet else typical_us
            )
            session.cold_draws[number] = self.random.random() < due_us * self.cold_set_up_rate(server)
        return session.cold_draws[number]

    def usable(self, server: Server, session: Session) -> bool:
        """Whether an attempt of this session may go to the server, whatever its load.

        Checks the server's health, its warm-up rate, and where a set-up that may have run may be repeated.
        """
        may_have_run_at, service_class = session.may_have_run_at, session.service_class
        if not server.ready or server in session.tried or self.now_us < server.suspect_until_us:
            return False
        if server.failures and (server.trial_pending or service_class.effect is api.Effect.ONCE):
            return False  # one trial at a time, never with a session that can't be repeated
        if self.warm_fraction(server) < 1 and (
            server.in_cold_pause(self.now_us) or not self.wins_cold_draw(server, session)
        ):
            return False
        if may_have_run_at is None or service_class.effect is api.Effect.REPEATABLE:
            return True
        key_valid = (
            service_class.effect is api.Effect.BY_KEY
            and self.now_us - session.may_have_run_us < service_class.key_ttl_us
        )
        return key_valid and (
            server is may_have_run_at or service_class.group.includes(server.listing, may_have_run_at.listing)
        )

    def request_probe(self, server: Server) -> list[Session]:
        """Probes a server unless a probe is pending; returns the sessions that wait for the answer."""
        if server.listing.server not in self.awaiting_probe:
            self.actions.append(api.Probe(server.listing.server))
        return self.awaiting_probe.setdefault(server.listing.server, [])

    def record_outcome(self, server: Server, outcome: api.Outcome, concluded: bool, title: str) -> None:
        """Records how an attempt or session at a server ended.

        Errors, time-outs, resets and failed connections all disqualify the server for a growing time.
        """
        server.trial_pending = False
        if outcome is api.Outcome.SERVED:
            return self.record_success(server)
        answer_lost = outcome is api.Outcome.TIMEOUT or (outcome is api.Outcome.RESET and not concluded)
        test_by_probe = self.settings.may_probe and (
            answer_lost or (outcome is api.Outcome.ERROR and self.is_excused(server, title))
        )
        if outcome is api.Outcome.FULL or test_by_probe:
            # The token has to pass on.  Guards against lost answers: only a working server answers a probe.
            server.suspect_until_us = max(server.suspect_until_us, self.now_us + SUSPECT_US)
            if test_by_probe:
                self.request_probe(server)
        elif outcome not in (api.Outcome.CANCELLED, api.Outcome.MOOT):
            self.mark_suspect(server, outcome.value)

    def is_excused(self, server: Server, title: str) -> bool:
        """Records an error for a title and returns whether the server is not to blame for it.

        Guards against titles that no server can serve: a server is at fault once it fails for two titles
        without serving any in between.
        """
        number = server.listing.server
        failed_at, _ = self.suspect_titles.setdefault(title, (set(), 0))
        failed_at.add(number)
        self.suspect_titles[title] = failed_at, self.now_us
        server.failed_titles.add(title)
        if self.is_title_faulty(title):
            for other in failed_at & self.fleet.servers.keys():
                self.fleet.servers[other].failed_titles.discard(title)
        return len(server.failed_titles) < 2

    def is_title_faulty(self, title: str) -> bool:
        """Whether a title failed at two servers lately and was served nowhere since: it fails everywhere."""
        failed_at, last_us = self.suspect_titles.get(title, (set[int](), 0))
        return len(failed_at) > 1 and self.now_us - last_us < SUSPECT_US

    def mark_suspect(self, server: Server, reason: str) -> None:
        """Records a failure: the server gets nothing for a time that doubles with each further one."""
        if reason != api.Outcome.ERROR.value:
            server.cold_since_us = self.now_us  # it may have restarted before the list says so
        if self.now_us >= server.suspect_until_us or not server.failures:
            server.failures += 1
        wait_us = SUSPECT_US << min(server.failures - 1, MAX_SUSPECT_DOUBLINGS)
        server.suspect_until_us = max(server.suspect_until_us, self.now_us + wait_us)
        self.log(f"distrusted {server.listing.server}", f"{reason}, for {wait_us // 1000} ms")

    def record_success(self, server: Server) -> None:
        """Takes back one failure, ends a trial and clears the titles that failed."""
        server.trial_pending, server.failures = False, max(0, server.failures - 1)
        server.failed_titles.clear()
