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
from cloverhinge.admission.reservation_tokens import ReservationTokens
from cloverhinge.admission.reservations import Reservation, ReservationTable
from cloverhinge.core.clock import to_us
from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.core.model import Request, SetUpRequest, State
from cloverhinge.core.router import Router
from cloverhinge.decision.capacity import spare_capacity
from cloverhinge.decision.interface import Outcome
from cloverhinge.site.model import DoorSite

SHUTDOWN_RETRY_AFTER_MS = 1000.0  # told by a program that ends: a restart takes about so long
POLL_INTERVAL_MS = 50.0  # pace of looking while anybody waits; fine beside the 600 ms kept for a set-up
KEY_BYTES = 32  # of a key made at the start: as long as the digest that it signs with
SERIAL_BITS = 20  # of a run's serials, which start at its start in ms: no later run begins below them


class ClaimPort(Protocol):
    """Sees to it that a promise is claimed once, whichever router its viewer comes to."""

    def claim(self, promise: Reservation, call: Callable[[bool], None]) -> None:
        """Call it with whether this router may honour the promise, soon."""

    def settle(self, promise: Reservation, claimed: bool) -> None:
        """Its viewer was let in or may wait on it; or came early, and may come to any router again."""


class AdmissionGateway:
    log = Logger()

    def __init__(self, site: DoorSite, router: Router, deadlines: Deadlines, seed: int) -> None:
        self.router, self.clock, self.deadlines = router, router.clock, deadlines
        self.settings = router.settings
        self.clients = Clients(site.clients)
        if not site.key:
            self.log.info("door: no key is given, so tickets end with this run")
        self.tokens = ReservationTokens(site.key or secrets.token_bytes(KEY_BYTES), site.quote_most_ms)
        self.key = hashlib.blake2b(f"door {seed}".encode(), digest_size=32).digest()
        first, last = int(self.clock.now()) << SERIAL_BITS, len(site.clients) - 1
        clients = [
            fair_queue.Client(
                one.name,
                one.weight,
                at == last,
                ReservationTable(
                    site.promises, site.promises // fair_queue.BUCKETS if at == last else site.promises, first
                ),
            )
            for at, one in enumerate(site.clients)
        ]
        classes = {
            one.name: fair_queue.ClassRule(one.worth, one.deadline_us / 1000.0)
            for one in self.settings.classes
        }
        self.queue = fair_queue.AdmissionQueue(
            clients, classes, self.settings.cells, self._room, site.waiting, site.quote_most_ms
        )
        self.fleet_links_kb, self.fleet_places = 1.0, 1.0
        self.poll_timer: DeadlineKey | None = None
        self.change_timer: DeadlineKey | None = None
        self.closed = False
        self.claims: ClaimPort | None = None  # of promises, where other routers may have made them
        router.admission = self
        self.fleet_changed()

    # From the core

    def arrive(self, request: Request) -> None:
        if self.closed:
            self.router.reject(request, SHUTDOWN_RETRY_AFTER_MS, "")
            return
        arrival = self._arrival(request)
        promise = None if self.claims is None else self.queue.valid_reservation(self.clock.now(), arrival)
        if promise is None or self.claims is None:
            self._carry_out(self.queue.arrive(self.clock.now(), arrival))
        else:
            self.claims.claim(promise, lambda mine: self._claimed(request, promise, mine))

    def _claimed(self, request: Request, promise: Reservation, mine: bool) -> None:
        """Other routers have been asked: a promise that was claimed at one of them is none any more."""
        if request.state is not State.OPEN or self.claims is None:
            return
        arrival = self._arrival(request)
        if not mine:
            self.queue.void_reservation(arrival.client, promise)
            arrival = replace(arrival, reservation=None)
        verdicts = self.queue.arrive(self.clock.now(), arrival)
        if mine:
            self.claims.settle(promise, not self.queue.clients[arrival.client].reservations.is_open(promise))
        self._carry_out(verdicts)

    def refused(self, request: Request, hold_off_ms: float) -> tuple[float, str]:
        """The module refused one that was let in: never sooner than it says."""
        told = self.queue.refused(self.clock.now(), self._arrival(request))
        return max(told.retry_after_ms, hold_off_ms), self._ticket(told)

    def established(self, request: Request) -> None:
        listing = self.router.listings.get(request.server or 0)
        cell = listing.cell % self.settings.cells if listing is not None else 0
        if request.handle in self.queue.sessions:
            self.queue.established(self.clock.now(), request.handle, cell, request.set_up.length_ms)
        else:
            self.queue.add_playing(self.clock.now(), self._arrival(request), cell, request.set_up.length_ms)

    def rung_changed(self, request: Request) -> None:
        self.queue.rung_changed(request.handle, self._part(request))

    def ended(self, request: Request) -> None:
        frees = request.handle in self.queue.sessions
        self.queue.ended(self.clock.now(), request.handle, request.last_outcome is not Outcome.RESET)
        if frees and self.queue.waiting:
            self._soon()

    def fleet_changed(self) -> None:
        """Parts are of the fleet as it is: all are counted anew."""
        listings, told = self.router.listings.values(), self.settings
        self.fleet_links_kb = (
            sum((x.weight if x.weight > 0 else 1.0) * told.weight_kb for x in listings) or 1.0
        )
        self.fleet_places = float(sum(told.places_by_kind.get(x.kind, 0) for x in listings)) or 1e12
        for request in self.router.requests:
            self.queue.rung_changed(request.handle, self._part(request))
        self.queue.fleet_changed()
        if self.queue.waiting:
            self._soon()

    def close(self) -> None:
        """The program ends: all who wait are answered now."""
        self.closed = True
        self._carry_out(self.queue.close(self.clock.now()))

    # Towards the core

    def _carry_out(self, verdicts: list[fair_queue.Verdict]) -> None:
        while verdicts:
            entered = False
            for verdict in verdicts:
                request = self.router.requests.get(verdict.number)
                if request is None or request.state is not State.OPEN:
                    continue
                if isinstance(verdict, fair_queue.Admit):
                    self.router.admit(request)
                    entered = True
                else:
                    self.router.reject(request, verdict.retry_after_ms, self._ticket(verdict))
            verdicts = self.queue.serve(self.clock.now()) if entered and self.queue.waiting else []
        if self.queue.waiting and self.poll_timer is None:
            self.poll_timer = self.deadlines.after(POLL_INTERVAL_MS, self._tick)

    def _tick(self) -> None:
        self.poll_timer = None
        self._carry_out(self.queue.poll(self.clock.now()))

    def _soon(self) -> None:
        """Once for all that a round of events frees."""
        if self.change_timer is None:
            self.change_timer = self.deadlines.after(0.0, self._changed)

    def _changed(self) -> None:
        self.change_timer = None
        self._carry_out(self.queue.changed(self.clock.now()))

    def _ticket(self, told: fair_queue.Reject) -> str:
        return self.tokens.write(told.client, told.reservation) if told.reservation is not None else ""

    # What the door has to be told

    def _room(self, pool: fair_queue.Pool) -> int:
        return spare_capacity(
            self.router.controller,
            to_us(self.clock.now()),
            pool.class_name,
            pool.first_cell,
            pool.copies,
            pool.title,
        )

    def _part(self, request: Request) -> float:
        """The larger of its rate over all links and its place over all places."""
        kind, ladder = request.service_class, self.settings.ladder_kb
        kb = ladder[kind.floor if request.rung is None else request.rung] * kind.rate_scale
        return max(kb / self.fleet_links_kb, 1.0 / self.fleet_places)

    def _number(self, text: str) -> int:
        return int.from_bytes(hashlib.blake2b(text.encode(), key=self.key, digest_size=8).digest(), "big")

    def _arrival(self, request: Request) -> fair_queue.Arrival:
        ask, cells = request.set_up, self.settings.cells
        client = self.clients.find_by_peer(ask.peer_address) if ask.client_number < 0 else ask.client_number
        bucket = self._number(ask.peer_address) % fair_queue.BUCKETS if client == self.clients.others else 0
        pool = fair_queue.Pool(
            ask.class_name,
            ask.first_cell % cells,
            min(ask.copies, cells),
            ask.title if request.service_class.seats else "",
        )
        viewer = viewer_number(ask)
        now = self.clock.now()
        promise: Reservation | None = None
        if ask.reservation_token:
            promise = self.tokens.read(
                ask.reservation_token, now, self.clients.sites[client].name, viewer, bucket, pool
            )
        return fair_queue.Arrival(
            request.handle,
            client,
            bucket,
            pool,
            viewer,
            request.expires_ms,
            self._part(request),
            promise,
            ask.retry_after_step_ms,
        )

    def status(self) -> list[dict[str, Any]]:
        """A row for each client, for the admin's answer."""
        held = sum(x.used_share for x in self.queue.clients) or 1.0
        due = fair_queue.fair_shares(self.queue.clients)
        return [
            {
                "name": x.name,
                "weight": x.weight,
                "asked": x.asked,
                "let_in": x.admitted,
                "waiting": x.waiting,
                "refused": x.rejected,
                "held": round(x.used_share, 4),
                "share": round(x.used_share / held, 4),
                "due": round(due[at], 4),
                "quoted": x.reserved,
                "kept": x.honoured,
                "broken": x.broken,
                "lost": x.lapsed,
                "early": x.early,
                "unpromised": x.unreserved,
                "given_up": x.given_up,
                "near": x.on_time,
                "out": len(x.reservations),
            }
            for at, x in enumerate(self.queue.clients)
        ]


def viewer_number(ask: SetUpRequest) -> int:
    """The same in every run, as tickets outlive one; nobody else's but by a chance of 2^-64."""
    return int.from_bytes(
        hashlib.blake2b((ask.viewer_id or ask.session_id).encode(), digest_size=8).digest(), "big"
    )
