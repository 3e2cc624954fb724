"""May an attempt go to a server?  Health, cold servers' pace, and what failures teach."""

from __future__ import annotations

from cloverhinge.decision import interface as api
from cloverhinge.decision.loads import PACE_SPAN_US, Loads
from cloverhinge.decision.state import Server, Session

BURST_US = 2_000_000  # and over this time: a crowd shows in it at once
DISTRUST_US = 1_000_000  # a failing server is left alone so long, doubled with each further failure
DISTRUST_DOUBLINGS = 4  # and no more often than this


class Trust(Loads):
    def cold_turn(self, server: Server, session: Session) -> bool:
        """Guards the ramp over the fleet: by chance, the own part of what came due since the last look."""
        if (number := server.listing.server) not in session.cold_turns:
            asked_us = 1e6 * max(1.0, self.settings.cells / session.request.copies) / self.requests.pace(
                self.now, self.born_us - BURST_US, (PACE_SPAN_US, BURST_US))  # between own looks, usually
            due_us = min(server.look(self.now), asked_us) if self.many else asked_us  # few: at once
            session.cold_turns[number] = self.random.random() < due_us * self.cold_pace(server)
        return session.cold_turns[number]

    def usable(self, server: Server, session: Session) -> bool:
        """Health, pace and terms: may an attempt of this session go to the server at all?"""
        ran, kind = session.may_have_run, session.kind
        if not server.ready or server in session.tried or self.now < server.distrusted_until_us:
            return False
        if server.failures and (server.trial or kind.effect is api.Effect.ONCE):
            return False  # one trial at a time, and never with a session that can't be sent again
        if self.warmth(server) < 1 and (server.paused(self.now) or not self.cold_turn(server, session)):
            return False
        if ran is None or kind.effect is api.Effect.REPEATABLE:
            return True
        alive = kind.effect is api.Effect.BY_KEY and self.now - session.may_have_run_us < kind.key_ttl_us
        return alive and (server is ran or kind.group.joins(server.listing, ran.listing))

    def probe(self, server: Server) -> list[Session]:
        """Those who wait for the answer; one probe at a time is out to a server."""
        if server.listing.server not in self.asked:
            self.out.append(api.Probe(server.listing.server))
        return self.asked.setdefault(server.listing.server, [])

    def judge(self, server: Server, outcome: api.Outcome, concluded: bool, title: str) -> None:
        """Errors, time-outs, resets and failed connects all disqualify a server for a growing time."""
        server.trial = False
        if outcome is api.Outcome.SERVED:
            return self.trust(server)
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
        """Guards against titles that no server can use: it is at fault once it errs for two, serving none."""
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
