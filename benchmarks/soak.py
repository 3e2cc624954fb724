"""Runs one router for a million requests in virtual time and samples its memory and table sizes.

    python -m benchmarks.soak [REQUESTS]

Core and decision module are the real ones; media servers, viewers and the server list are models.  Media
servers are continually drained and replaced by new ones with new ids, titles change every ten minutes, one
set-up in a hundred fails, one in a hundred is never answered, and one session in fifty is cut.  A table that
grows with the number of past requests instead of the present sessions shows up in its row.  Each viewer is
new; the row `model` counts the entries of the model itself.
"""

from __future__ import annotations

import gc
import sys
from typing import Any

from benchmarks.tables import write_results
from benchmarks.world import LOAD_REPORT_PERIOD_MS, Crowd, World, settings
from cloverhinge.core.model import Attempt, Request, State
from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome

REQUESTS, SAMPLES = 1_000_000, 10
SERVERS, PLACES = 24, 20
ARRIVALS_PER_S = 40.0  # capacity is 48 a second at the lowest rung, so that some requests are refused
REPLACE_PERIOD_MS = 20_000.0  # between replacements of a media server
DRAIN_MS = 15_000.0  # from the start of a media server's drain to its end
ERROR_SHARE, SILENT_SHARE, CUT_SHARE = 0.01, 0.01, 0.02  # shares of set-ups, and of sessions
PROBE_MS = 5.0


class ChangingWorld(World):
    """The small site with media servers that are added, fail, stop answering and are removed."""

    def __init__(self, fleet_settings: api.Settings, crowds: list[Crowd], seed: int) -> None:
        super().__init__(fleet_settings, crowds, seed, SERVERS)
        self.router.prober = self
        self.next_server = 10 + SERVERS
        self.deadlines.after(REPLACE_PERIOD_MS, self._replace)

    def _replace(self) -> None:
        at = self.random.randrange(len(self.listings))
        old = self.listings[at]
        new = api.ServerListing(
            self.next_server, old.cell, "z", "box", started_us=int(self.clock.now() * 1000)
        )
        self.next_server += 1
        self.listings[at] = new
        self.load[new.server] = {}
        gone = api.ServerListing(old.server, old.cell, "z", "box", health=api.Health.GONE)
        leaving = api.ServerListing(old.server, old.cell, "z", "box", health=api.Health.DRAINING)
        self.router.update_fleet(api.ListKind.DELTA, (leaving, new))
        self.deadlines.after(DRAIN_MS, lambda: self._gone(gone))
        self.deadlines.after(REPLACE_PERIOD_MS, self._replace)

    def _gone(self, listing: api.ServerListing) -> None:
        self.load.pop(listing.server, None)
        self.router.update_fleet(api.ListKind.DELTA, (listing,))

    def set_up(self, attempt: Attempt) -> None:
        """Answers an attempt, answers it with an error or never answers it."""
        draw = self.random.random()
        if draw < SILENT_SHARE:
            if self.router.may_write(attempt):
                return
        elif draw < SILENT_SHARE + ERROR_SHARE:
            self.deadlines.after(PROBE_MS, lambda: self._fail(attempt))
            return
        super().set_up(attempt)

    def _fail(self, attempt: Attempt) -> None:
        if self.router.may_write(attempt):
            self.router.attempt_ended(attempt, Outcome.ERROR)

    def _answer(self, attempt: Attempt) -> None:
        if attempt.server in self.load:
            super()._answer(attempt)
        elif self.router.may_write(attempt):
            self.router.attempt_ended(attempt, Outcome.RESET)

    def _end_session(self, request: Request) -> None:
        if request.state is State.ESTABLISHED and self.random.random() < CUT_SHARE:
            self.router.cut(request)
        super()._end_session(request)

    def probe(self, server: int) -> None:
        """Answers a probe after PROBE_MS; a removed media server refuses the connection."""
        self.deadlines.after(PROBE_MS, lambda: self._probed(server))

    def _probed(self, server: int) -> None:
        sessions = self.load.get(server)
        if sessions is None:
            self.router.probed(server, Outcome.CONNECT_FAILED, PROBE_MS, None)
            return
        report = api.LoadReport(len(sessions), self.link_load(sessions), None)
        self.router.probed(server, Outcome.SERVED, PROBE_MS, report)


def resident_mb() -> float:
    """Returns this process's resident memory in MB, after a garbage collection."""
    gc.collect()
    with open("/proc/self/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS")) / 1024.0


def table_sizes(site: ChangingWorld) -> dict[str, int]:
    """Returns the number of entries of each table that a router holds between two events."""
    router = site.router
    module, fleet = router.controller, router.controller.fleet
    limits = [limit for server in fleet.servers.values() for limit in (server.link, server.places)]
    limits += fleet.racks.values()
    return {
        "core: requests": len(router.requests),
        "core: by_name": len(router.by_session_id),
        "core: by_title": sum(map(len, router.by_title.values())),
        "core: titles": len(router.by_title),
        "core: standing": sum(map(len, router.established.values())),
        "core: listings": len(router.listings),
        "core: deadlines": len(router.deadlines),
        "module: sessions": len(module.sessions),
        "module: tokens": len(module.tokens),
        "module: asked": len(module.awaiting_probe),
        "module: recent requests": len(module.requests.times_us),
        "module: recent attempts": len(module.further_attempts.times_us),
        "module: odd titles": len(module.suspect_titles),
        "module: logged": len(module.last_logged_us),
        "module: servers": len(fleet.servers),
        "module: racks": len(fleet.racks),
        "module: by_cell": sum(map(len, fleet.by_cell.values())),
        "module: bookings kept": sum(len(limit.history) for limit in limits),
        "module: sessions by limit": sum(len(limit.sessions) for limit in limits),
        "module: titles that erred": sum(len(server.failed_titles) for server in fleet.servers.values()),
        "model": sum(map(len, site.load.values())),
    }


def main(requests: int) -> None:
    """Writes the table of samples, taken after each tenth of the requests."""
    fleet_settings = settings(
        SERVERS,
        PLACES,
        racks=4,
        uplink_kb=SERVERS * PLACES * 100.0 / 4,
        may_probe=True,
        cold_us=5_000_000,
        cold_from=0.5,
        fall_multiple=2.0,
    )
    crowd = Crowd(
        "all", "198.18.0.1", ARRIVALS_PER_S, titles=400, title_lifetime_ms=600_000.0, check_share=0.2
    )
    site = ChangingWorld(fleet_settings, [crowd], seed=1)
    samples: list[dict[str, Any]] = []
    while len(samples) < SAMPLES:
        site.run(LOAD_REPORT_PERIOD_MS)
        crowd.tally.waits_ms.clear()  # they grow by an entry for each viewer that the model serves
        crowd.tally.served_ms.clear()
        if site.router.counters.taken * SAMPLES >= requests * (len(samples) + 1):
            counters = site.router.counters
            samples.append(
                {
                    "requests": counters.taken,
                    "served": counters.served,
                    "refused": counters.refused,
                    "failed": counters.failed,
                    "cut": counters.cut,
                    "boxes so far": site.next_server - 10,
                    "hours": (site.clock.now() - site.start_ms) / 3.6e6,
                    "resident MB": round(resident_mb(), 2),
                }
                | table_sizes(site)
            )
            print(f"{counters.taken} requests, {samples[-1]['resident MB']} MB", flush=True)
    rows: list[dict[str, Any]] = [
        {"what": name} | {str(at): sample[name] for at, sample in enumerate(samples, 1)}
        for name in samples[0]
    ]
    half = samples[SAMPLES // 2 - 1]
    grown = [name for name in table_sizes(site) if samples[-1][name] > 1.5 * max(half[name], 50)]
    write_results(
        "soak",
        "A long life of one router",
        [
            (
                f"{requests:,} requests in virtual time, {SAMPLES} samples.  "
                f"Over its second half the resident memory "
                f"changed by "
                f"{samples[-1]['resident MB'] - half['resident MB']:+.2f} MB; tables that grew by more "
                f"than half in that time: {', '.join(grown) or 'none'}.",
                rows,
            )
        ],
        "python -m benchmarks.soak",
    )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else REQUESTS)
