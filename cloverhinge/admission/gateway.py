"""The door's place beside the core: requests in, verdicts carried out, timers.  Decisions: fair_queue.py."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from twisted.logger import Logger

from cloverhinge.admission import fair_queue
from cloverhinge.admission.clients import Clients
from cloverhinge.admission.reservation_tokens import Tickets
from cloverhinge.admission.reservations import Promise, Promises
from cloverhinge.core.clock import to_us
from cloverhinge.core.deadlines import Deadlines, Key
from cloverhinge.core.model import Ask, Request, State
from cloverhinge.core.router import Router
from cloverhinge.decision.capacity import room
from cloverhinge.decision.interface import Outcome
from cloverhinge.site.model import DoorSite

CLOSED_MS = 1000.0  # told by a program that ends: a restart takes about so long
TICK_MS = 50.0  # pace of looking while anybody waits; fine beside the 600 ms kept for a set-up
KEY_BYTES = 32  # of a key made at the start: as long as the digest that it signs with
SERIAL_BITS = 20  # of a run's serials, which start at its start in ms: no later run begins below them


class Claims(Protocol):
    """Sees to it that a promise is claimed once, whichever router its viewer comes to."""

    def claim(self, promise: Promise, call: Callable[[bool], None]) -> None:
        """Call it with whether this router may honour the promise, soon."""

    def settle(self, promise: Promise, claimed: bool) -> None:
        """Its viewer was let in or may wait on it; or came early, and may come to any router again."""


class Gate:
    log = Logger()

    def __init__(self, site: DoorSite, router: Router, deadlines: Deadlines, seed: int) -> None:
        self.router, self.clock, self.deadlines = router, router.clock, deadlines
        self.settings = router.settings
        self.clients = Clients(site.clients)
        if not site.key:
            self.log.info("door: no key is given, so tickets end with this run")
        self.tickets = Tickets(site.key or secrets.token_bytes(KEY_BYTES), site.quote_most_ms)
        self.key = hashlib.blake2b(f"door {seed}".encode(), digest_size=32).digest()
        first, last = int(self.clock.now()) << SERIAL_BITS, len(site.clients) - 1
        clients = [
            fair_queue.Client(
                one.name,
                one.weight,
                at == last,
                Promises(
                    site.promises, site.promises // fair_queue.BUCKETS if at == last else site.promises, first
                ),
            )
            for at, one in enumerate(site.clients)
        ]
        classes = {
            one.name: fair_queue.ClassRule(one.worth, one.deadline_us / 1000.0)
            for one in self.settings.classes
        }
        self.door = fair_queue.Door(
            clients, classes, self.settings.cells, self._room, site.waiting, site.quote_most_ms
        )
        self.links_kb, self.places = 1.0, 1.0
        self.ticking: Key | None = None
        self.changing: Key | None = None
        self.closed = False
        self.claims: Claims | None = None  # of promises, where other routers may have made them
        router.door = self
        self.fleet_changed()

    # From the core

    def arrive(self, request: Request) -> None:
        if self.closed:
            self.router.turn_away(request, CLOSED_MS, "")
            return
        arrival = self._arrival(request)
        promise = None if self.claims is None else self.door.promised(self.clock.now(), arrival)
        if promise is None or self.claims is None:
            self._carry_out(self.door.arrive(self.clock.now(), arrival))
        else:
            self.claims.claim(promise, lambda mine: self._claimed(request, promise, mine))

    def _claimed(self, request: Request, promise: Promise, mine: bool) -> None:
        """Other routers have been asked: a promise that was claimed at one of them is none any more."""
        if request.state is not State.OPEN or self.claims is None:
            return
        arrival = self._arrival(request)
        if not mine:
            self.door.void(arrival.client, promise)
            arrival = replace(arrival, promise=None)
        verdicts = self.door.arrive(self.clock.now(), arrival)
        if mine:
            self.claims.settle(promise, not self.door.clients[arrival.client].promises.open(promise))
        self._carry_out(verdicts)

    def refused(self, request: Request, hold_off_ms: float) -> tuple[float, str]:
        """The module refused one that was let in: never sooner than it says."""
        told = self.door.refused(self.clock.now(), self._arrival(request))
        return max(told.quote_ms, hold_off_ms), self._ticket(told)

    def stands(self, request: Request) -> None:
        listing = self.router.listings.get(request.server or 0)
        cell = listing.cell % self.settings.cells if listing is not None else 0
        if request.handle in self.door.held:
            self.door.stands(self.clock.now(), request.handle, cell, request.ask.length_ms)
        else:
            self.door.carried(self.clock.now(), self._arrival(request), cell, request.ask.length_ms)

    def resized(self, request: Request) -> None:
        self.door.resized(request.handle, self._part(request))

    def over(self, request: Request) -> None:
        frees = request.handle in self.door.held
        self.door.left(self.clock.now(), request.handle, request.last_outcome is not Outcome.RESET)
        if frees and self.door.waiters:
            self._soon()

    def fleet_changed(self) -> None:
        """Parts are of the fleet as it is: all are counted anew."""
        listings, told = self.router.listings.values(), self.settings
        self.links_kb = sum((x.weight if x.weight > 0 else 1.0) * told.weight_kb for x in listings) or 1.0
        self.places = float(sum(told.places_by_kind.get(x.kind, 0) for x in listings)) or 1e12
        for request in self.router.requests:
            self.door.resized(request.handle, self._part(request))
        self.door.fleet_changed()
        if self.door.waiters:
            self._soon()

    def close(self) -> None:
        """The program ends: all who wait are answered now."""
        self.closed = True
        self._carry_out(self.door.close(self.clock.now()))

    # Towards the core

    def _carry_out(self, verdicts: list[fair_queue.Verdict]) -> None:
        while verdicts:
            entered = False
            for verdict in verdicts:
                request = self.router.requests.get(verdict.number)
                if request is None or request.state is not State.OPEN:
                    continue
                if isinstance(verdict, fair_queue.LetIn):
                    self.router.admit(request)
                    entered = True
                else:
                    self.router.turn_away(request, verdict.quote_ms, self._ticket(verdict))
            verdicts = self.door.serve(self.clock.now()) if entered and self.door.waiters else []
        if self.door.waiters and self.ticking is None:
            self.ticking = self.deadlines.after(TICK_MS, self._tick)

    def _tick(self) -> None:
        self.ticking = None
        self._carry_out(self.door.look(self.clock.now()))

    def _soon(self) -> None:
        """Once for all that a round of events frees."""
        if self.changing is None:
            self.changing = self.deadlines.after(0.0, self._changed)

    def _changed(self) -> None:
        self.changing = None
        self._carry_out(self.door.changed(self.clock.now()))

    def _ticket(self, told: fair_queue.TurnAway) -> str:
        return self.tickets.write(told.client, told.promise) if told.promise is not None else ""

    # What the door has to be told

    def _room(self, pool: fair_queue.Pool) -> int:
        return room(
            self.router.controller,
            to_us(self.clock.now()),
            pool.class_name,
            pool.first_cell,
            pool.copies,
            pool.title,
        )

    def _part(self, request: Request) -> float:
        """The larger of its rate over all links and its place over all places."""
        kind, ladder = request.kind, self.settings.ladder_kb
        kb = ladder[kind.floor if request.rung is None else request.rung] * kind.rate_scale
        return max(kb / self.links_kb, 1.0 / self.places)

    def _number(self, text: str) -> int:
        return int.from_bytes(hashlib.blake2b(text.encode(), key=self.key, digest_size=8).digest(), "big")

    def _arrival(self, request: Request) -> fair_queue.Arrival:
        ask, cells = request.ask, self.settings.cells
        client = self.clients.of_peer(ask.peer) if ask.client < 0 else ask.client
        bucket = self._number(ask.peer) % fair_queue.BUCKETS if client == self.clients.others else 0
        pool = fair_queue.Pool(
            ask.class_name,
            ask.first_cell % cells,
            min(ask.copies, cells),
            ask.title if request.kind.seats else "",
        )
        viewer = viewer_number(ask)
        now = self.clock.now()
        promise: Promise | None = None
        if ask.ticket:
            promise = self.tickets.read(ask.ticket, now, self.clients.told[client].name, viewer, bucket, pool)
        return fair_queue.Arrival(
            request.handle,
            client,
            bucket,
            pool,
            viewer,
            request.expires_ms,
            self._part(request),
            promise,
            ask.grain_ms,
        )

    def status(self) -> list[dict[str, Any]]:
        """A row for each client, for the admin's answer."""
        held = sum(x.holding for x in self.door.clients) or 1.0
        due = fair_queue.shares_due(self.door.clients)
        return [
            {
                "name": x.name,
                "weight": x.weight,
                "asked": x.asked,
                "let_in": x.let_in,
                "waiting": x.waiting,
                "refused": x.refused,
                "held": round(x.holding, 4),
                "share": round(x.holding / held, 4),
                "due": round(due[at], 4),
                "quoted": x.quoted,
                "kept": x.kept,
                "broken": x.broken,
                "lost": x.lost,
                "early": x.early,
                "unpromised": x.unpromised,
                "given_up": x.given_up,
                "near": x.near,
                "out": len(x.promises),
            }
            for at, x in enumerate(self.door.clients)
        ]


def viewer_number(ask: Ask) -> int:
    """The same in every run, as tickets outlive one; nobody else's but by a chance of 2^-64."""
    return int.from_bytes(hashlib.blake2b((ask.viewer or ask.name).encode(), digest_size=8).digest(), "big")
