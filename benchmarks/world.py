"""A small site in virtual time: real core, decision module and admission, modelled servers and viewers.

Media servers answer a set-up after a fixed time and report their true load each second.  Viewers arrive at
random, wait, are refused with a retry-after time and return after it, until their patience ends.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from cloverhinge.core.clock import ManualClock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import Attempt, Cause, Presence, Request, SetUpRequest, State
from cloverhinge.core.router import Router
from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome

SET_UP_MS = 30.0  # time that a media server takes for one
LOAD_REPORT_PERIOD_MS = 1000.0  # between the load reports of a media server
CLASSES = (
    api.ServiceClass("coaching", aim_us=1_500_000, deadline_us=5_000_000, worth=1.0),
    api.ServiceClass("check", effect=api.Effect.ONCE, aim_us=1_500_000, deadline_us=3_000_000, worth=2.0),
)
FLOOR_KB, LOAD_LIMIT = 100.0, 0.9


def settings(servers: int, sessions_per_server: int, **changes: Any) -> api.Settings:
    """Returns settings with which `sessions_per_server` sessions at the lowest rung fit on a media server.

    Further keywords replace or add fields.
    """
    fields: dict[str, Any] = dict(
        classes=CLASSES,
        ladder_kb=(FLOOR_KB, 2 * FLOOR_KB),
        rung_worth=(0.8, 1.0),
        places_by_kind={"box": 2 * sessions_per_server},
        weight_kb=FLOOR_KB * (sessions_per_server + 0.5) / LOAD_LIMIT,
        cells=servers,
        max_attempts=3,
        max_retry_after_us=1_000_000,
        notes_late_us=100_000,
        told_every_us=1_000_000,
    )
    return api.Settings(**{**fields, **changes})


@dataclass
class Tally:
    """Outcomes of the viewers of a client."""

    arrived: int = 0
    served: int = 0
    gave_up: int = 0  # their patience ended, or their set-up failed
    asked: int = 0
    back: int = 0  # requests after a refusal
    served_after_return: int = 0  # of them, those that were served
    waits_ms: list[float] = field(default_factory=list)  # from the request that was served to its answer
    served_ms: list[float] = field(default_factory=list)  # from arrival to the answer


@dataclass(eq=False)
class Viewer:
    """A viewer that requests one session; the port through which the core answers it."""

    world: World
    crowd: Crowd
    class_name: str
    name: str
    arrived_ms: float
    length_ms: float
    tries: int = 0
    requested_ms: float = 0.0
    request: Request | None = None
    reservation_token: str = ""
    title: str = ""

    def request_set_up(self) -> None:
        """Sends a set-up request, the first one or one after a refusal."""
        self.tries += 1
        self.requested_ms = self.world.clock.now()
        tally = self.crowd.tally
        tally.asked += 1
        tally.back += self.tries > 1
        limit = 3000.0 if self.class_name == "check" else 5000.0
        self.world.count += 1
        peer_address = (
            self.crowd.address
            if self.crowd.addresses == 1
            else f"198.18.{self.world.count % self.crowd.addresses}.7"
        )
        if not self.title:
            self.title = self.crowd.choose_title(self.world.random, self.requested_ms - self.world.start_ms)
        set_up = SetUpRequest(
            f"{self.world.count:016x}",
            self.class_name,
            self.title,
            0,
            64,
            1,
            limit,
            length_ms=self.length_ms * self.world.random.lognormvariate(0, 0.3),
            viewer_id=self.name,
            peer_address=peer_address,
            reservation_token=self.reservation_token if self.crowd.sends_reservation_token else "",
        )
        if self.world.router.open_request(set_up, self, self.world) is None:
            self.refused(1000.0)

    def served(self, answer: bytes) -> None:
        """Counts the viewer as served."""
        now, tally = self.world.clock.now(), self.crowd.tally
        tally.served += 1
        tally.served_after_return += self.tries > 1
        tally.waits_ms.append(now - self.requested_ms)
        tally.served_ms.append(now - self.arrived_ms)

    def refused(self, retry_after_ms: float, reservation_token: str = "") -> None:
        """Returns after the time that the viewer was sent, or gives up."""
        now = self.world.clock.now()
        delay_ms = max(min(retry_after_ms, self.crowd.max_retry_after_ms), 1.0)
        if self.crowd.retry_after_step_ms > 1:
            delay_ms = math.ceil(delay_ms / self.crowd.retry_after_step_ms) * self.crowd.retry_after_step_ms
        self.reservation_token = reservation_token
        if now + delay_ms - self.arrived_ms > self.crowd.patience_ms:
            self.crowd.tally.gave_up += 1
        elif self.world.random.random() < self.crowd.return_share:
            self.world.deadlines.after(delay_ms, self.request_set_up)

    def conflict(self) -> None:
        """Never called: each request has an id of its own."""

    def failed(self, outcome: Outcome | None) -> None:
        """Gives up."""
        self.crowd.tally.gave_up += 1

    def released(self, cause: Cause) -> None:
        """Does nothing: the media servers are told of the release."""
        pass

    def presence(self) -> Presence:
        """Returns that the viewer is always present."""
        return Presence.PRESENT

    def left(self, may_have_run: bool) -> None: ...

    def moved(self) -> None:
        """Does nothing: the model has no media stream to follow."""
        pass


@dataclass(eq=False)
class Crowd:
    """The viewers of one client: how they arrive, what they request and how they react to refusals."""

    name: str
    address: str
    per_s: float
    until_ms: float = math.inf
    from_ms: float = 0.0
    title: str = "t"
    titles: int = 1  # number of titles; their popularity follows Zipf's law
    title_lifetime_ms: float = math.inf  # after this time all titles are replaced by new ones
    check_share: float = 0.0  # share of requests of class `check`
    length_ms: float = 10_000.0
    spread: float = 0.5  # sigma of the lognormal session lengths
    max_retry_after_ms: float = math.inf  # the longest time that the protocol sends
    retry_after_step_ms: float = 1.0  # the protocol rounds up to multiples of it
    patience_ms: float = 90_000.0
    return_share: float = 1.0  # share of refused viewers that return
    sends_reservation_token: bool = False  # on return
    addresses: int = 1  # number of client addresses; `address` is used if it is 1
    tally: Tally = field(default_factory=Tally)

    def choose_title(self, rng: random.Random, since_ms: float) -> str:
        """Returns the title that a viewer requests at a time since the start."""
        if self.titles == 1:
            return self.title
        return f"{self.title}-{int(since_ms // self.title_lifetime_ms)}-{int(self.titles ** rng.random())}"


class World:
    """The router, its media servers and the viewers, on one virtual clock; the core's port to the servers."""

    def __init__(
        self,
        fleet_settings: api.Settings,
        crowds: list[Crowd],
        seed: int = 1,
        servers: int = 4,
        start_ms: float = 1_700_000_000_000.0,
    ) -> None:
        self.clock = ManualClock(start_ms)
        self.start_ms = start_ms
        self.deadlines = Deadlines(self.clock)
        self.router = Router(fleet_settings, seed, self.clock, self.deadlines, max_requests=65536)
        self.random = random.Random(seed)
        self.crowds, self.count, self.settings = crowds, 0, fleet_settings
        self.load: dict[int, dict[int, Request]] = {}
        self.listings = [api.ServerListing(10 + n, n, "z", "box") for n in range(servers)]
        self.router.update_fleet(api.ListKind.FULL, self.listings)

    def run(self, ms: float) -> None:
        """Advances the clock; arrivals start with the first call."""
        until = self.clock.now() + ms
        for crowd in self.crowds:
            if not crowd.tally.arrived and crowd.per_s > 0:
                self.deadlines.schedule(self.start_ms + crowd.from_ms, partial(self._arrive, crowd))
                crowd.tally.arrived = 1
        if not self.load:
            self.load = {listing.server: {} for listing in self.listings}
            self._report_loads()
        while self.deadlines._due and (at := self.deadlines._due.peekitem(0)[0][0]) <= until:
            self.clock.time = max(self.clock.time, at)
            self.deadlines.run()
        self.clock.time = until

    def _arrive(self, crowd: Crowd) -> None:
        now = self.clock.now()
        if now - self.start_ms < crowd.until_ms:
            self.deadlines.after(self.random.expovariate(crowd.per_s) * 1000.0, lambda: self._arrive(crowd))
            crowd.tally.arrived += 1
            kind = "check" if self.random.random() < crowd.check_share else "coaching"
            length = crowd.length_ms * self.random.lognormvariate(-(crowd.spread**2) / 2, crowd.spread)
            Viewer(self, crowd, kind, f"{crowd.name}-{crowd.tally.arrived}", now, length).request_set_up()

    def link_load(self, sessions: dict[int, Request]) -> float:
        """Returns the load of a media server's link: the sessions' bit rates over its capacity."""
        return sum(self.settings.ladder_kb[x.rung or 0] for x in sessions.values()) / self.settings.weight_kb

    def _report_loads(self) -> None:
        for server, sessions in self.load.items():
            first = next(iter(sessions.values()), None)
            if first is not None:
                self.router.session_event(first, api.LinkNote(first.handle, server, self.link_load(sessions)))
        self.deadlines.after(LOAD_REPORT_PERIOD_MS, self._report_loads)

    # Media servers

    def set_up(self, attempt: Attempt) -> None:
        """Answers an attempt after SET_UP_MS."""
        self.deadlines.after(SET_UP_MS, lambda: self._answer(attempt))

    def _answer(self, attempt: Attempt) -> None:
        request = attempt.request
        if self.router.may_write(attempt) and self.router.answered(attempt, b"made"):
            self.load[attempt.server][request.handle] = request
            viewer: Any = request.client
            self.deadlines.after(viewer.length_ms, lambda: self._end_session(request))

    def _end_session(self, request: Request) -> None:
        if request.state is State.ESTABLISHED:
            self.router.session_ended(request, Outcome.SERVED)
        for sessions in self.load.values():
            sessions.pop(request.handle, None)

    def give_up(self, attempt: Attempt) -> None:
        """Does nothing: `_answer` checks whether the attempt is still wanted."""
        pass

    def release(self, request: Request, cause: Cause) -> None:
        """Ends the session at its media server."""
        for sessions in self.load.values():
            sessions.pop(request.handle, None)

    def set_rung(self, request: Request, rung: int) -> None:
        """Does nothing: the load follows `request.rung`."""
        pass
