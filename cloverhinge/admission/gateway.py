"""Connects admission to the core: passes requests in, applies verdicts, runs timers.

The decisions are made in fair_queue.py.
"""

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
from cloverhinge.core.containment import contained
from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.core.model import Request, SetUpRequest, State
from cloverhinge.core.router import Router
from cloverhinge.decision.capacity import spare_capacity
from cloverhinge.decision.interface import Outcome
from cloverhinge.site.model import AdmissionSettings

SHUTDOWN_RETRY_AFTER_MS = 1000.0  # sent while the process shuts down: a restart takes about as long
POLL_INTERVAL_MS = 50.0  # while requests wait; short against the 600 ms reserved for a set-up
KEY_BYTES = 32  # of a key generated at the start: the length of the signing digest
SERIAL_BITS = 20  # a run's serials start at its start in ms, shifted by this: later runs start above them


class ClaimPort(Protocol):
    """Ensures that a reservation is claimed only once among all routers."""

    def claim(self, reservation: Reservation, callback: Callable[[bool], None]) -> None:
        """Call `callback`, soon, with whether this router may honour the reservation."""

    def settle(self, reservation: Reservation, claimed: bool) -> None:
        """Conclude a granted claim.

        `claimed` is False where the viewer came early: it may claim the reservation again, at any router.
        """


class AdmissionGateway:
    """Implements `AdmissionPort` of the core; registers itself with the router."""

    log = Logger()

    def __init__(self, site: AdmissionSettings, router: Router, deadlines: Deadlines, seed: int) -> None:
        self.router, self.clock, self.deadlines = router, router.clock, deadlines
        self.settings = router.settings
        self.clients = Clients(site.clients)
        if not site.signing_key:
            self.log.info("door: no key is configured; reservation tokens are valid during this run only")
        self.tokens = ReservationTokens(
            site.signing_key or secrets.token_bytes(KEY_BYTES), site.max_retry_after_ms
        )
        self.key = hashlib.blake2b(f"door {seed}".encode(), digest_size=32).digest()
        first_serial, last = int(self.clock.now()) << SERIAL_BITS, len(site.clients) - 1
        clients = [
            fair_queue.Client(
                entry.name,
                entry.weight,
                index == last,
                ReservationTable(
                    site.max_reservations,
                    site.max_reservations // fair_queue.BUCKETS if index == last else site.max_reservations,
                    first_serial,
                ),
            )
            for index, entry in enumerate(site.clients)
        ]
        classes = {
            entry.name: fair_queue.ClassRule(entry.worth, entry.deadline_us / 1000.0)
            for entry in self.settings.classes
        }
        self.queue = fair_queue.AdmissionQueue(
            clients,
            classes,
            self.settings.cells,
            self._spare_capacity,
            site.max_waiting,
            site.max_retry_after_ms,
        )
        self.fleet_links_kb, self.fleet_places = 1.0, 1.0
        self.poll_timer: DeadlineKey | None = None
        self.change_timer: DeadlineKey | None = None
        self.closed = False
        self.claims: ClaimPort | None = None  # of reservations, where other routers may have made them
        router.admission = self
        self.fleet_changed()

    # From the core

    def arrive(self, request: Request) -> None:
        """Admit, queue or reject a new request; after `close`, reject it."""
        if self.closed:
            self.router.reject(request, SHUTDOWN_RETRY_AFTER_MS, "")
            return
        arrival = self._arrival(request)
        reservation = None if self.claims is None else self.queue.valid_reservation(self.clock.now(), arrival)
        if reservation is None or self.claims is None:
            self._apply(self.queue.arrive(self.clock.now(), arrival))
        else:
            self.claims.claim(reservation, lambda may_claim: self._claimed(request, reservation, may_claim))

    def _claimed(self, request: Request, reservation: Reservation, may_claim: bool) -> None:
        """Continue `arrive` after a claim; a reservation that another router has claimed is void."""
        if request.state is not State.OPEN or self.claims is None:
            return
        arrival = self._arrival(request)
        if not may_claim:
            self.queue.void_reservation(arrival.client, reservation)
            arrival = replace(arrival, reservation=None)
        verdicts = self.queue.arrive(self.clock.now(), arrival)
        if may_claim:
            self.claims.settle(
                reservation, not self.queue.clients[arrival.client].reservations.is_open(reservation)
            )
        self._apply(verdicts)

    def refused(self, request: Request, retry_after_ms: float) -> tuple[float, str]:
        """The retry-after estimate and token for an admitted request that the controller refused.

        The estimate is not below the controller's `retry_after_ms`.
        """
        rejection = self.queue.refused(self.clock.now(), self._arrival(request))
        return max(rejection.retry_after_ms, retry_after_ms), self._token(rejection)

    def established(self, request: Request) -> None:
        """Record the cell and start of a session that was admitted here or adopted from another router."""
        listing = self.router.listings.get(request.server or 0)
        cell = listing.cell % self.settings.cells if listing is not None else 0
        if request.handle in self.queue.sessions:
            self.queue.established(self.clock.now(), request.handle, cell, request.set_up.length_ms)
        else:
            self.queue.add_playing(self.clock.now(), self._arrival(request), cell, request.set_up.length_ms)

    def rung_changed(self, request: Request) -> None:
        """Update the share of a session after a change of rung."""
        self.queue.rung_changed(request.handle, self._share(request))

    def ended(self, request: Request) -> None:
        """Forget a request; the capacity that a session frees is offered to waiting requests."""
        frees_capacity = request.handle in self.queue.sessions
        self.queue.ended(self.clock.now(), request.handle, request.last_outcome is not Outcome.RESET)
        if frees_capacity and self.queue.waiting:
            self._schedule_change()

    def fleet_changed(self) -> None:
        """Recompute all shares, which are relative to the fleet as it is now."""
        listings, settings = self.router.listings.values(), self.settings
        self.fleet_links_kb = (
            sum((x.weight if x.weight > 0 else 1.0) * settings.weight_kb for x in listings) or 1.0
        )
        self.fleet_places = float(sum(settings.places_by_kind.get(x.kind, 0) for x in listings)) or 1e12
        for request in self.router.requests:
            self.queue.rung_changed(request.handle, self._share(request))
        self.queue.fleet_changed()
        if self.queue.waiting:
            self._schedule_change()

    def close(self) -> None:
        """Reject all waiting requests and every later one, as the process shuts down."""
        self.closed = True
        self._apply(self.queue.close(self.clock.now()))

    # Towards the core

    def _apply(self, verdicts: list[fair_queue.Verdict]) -> None:
        """Carry verdicts out on the router, and keep the poll timer running while requests wait.

        After admissions the queue is served again: it sees the capacity that they take only once they are
        carried out.
        """
        try:
            while verdicts:
                admitted = False
                for verdict in verdicts:
                    with contained("a verdict of admission is carried out"):
                        admitted = self._carry_out(verdict) or admitted
                verdicts = self.queue.serve(self.clock.now()) if admitted and self.queue.waiting else []
        finally:
            self._poll_while_waiting()

    def _carry_out(self, verdict: fair_queue.Verdict) -> bool:
        """Admit or reject a request that is still open; return whether it was admitted."""
        request = self.router.requests.get(verdict.number)
        if request is None or request.state is not State.OPEN:
            return False
        if isinstance(verdict, fair_queue.Admit):
            self.router.admit(request)
            return True
        self.router.reject(request, verdict.retry_after_ms, self._token(verdict))
        return False

    def _poll_while_waiting(self) -> None:
        if self.queue.waiting and self.poll_timer is None:
            self.poll_timer = self.deadlines.after(POLL_INTERVAL_MS, self._poll)

    def _poll(self) -> None:
        self.poll_timer = None
        try:
            self._apply(self.queue.poll(self.clock.now()))
        finally:
            self._poll_while_waiting()

    def _schedule_change(self) -> None:
        """Check for capacity once after the present round of events, whatever they free."""
        if self.change_timer is None:
            self.change_timer = self.deadlines.after(0.0, self._on_change)

    def _on_change(self) -> None:
        self.change_timer = None
        self._apply(self.queue.changed(self.clock.now()))

    def _token(self, rejection: fair_queue.Reject) -> str:
        return (
            self.tokens.write(rejection.client, rejection.reservation)
            if rejection.reservation is not None
            else ""
        )

    # Input to the queue

    def _spare_capacity(self, pool: fair_queue.Pool) -> int:
        return spare_capacity(
            self.router.controller,
            to_us(self.clock.now()),
            pool.class_name,
            pool.first_cell,
            pool.copies,
            pool.title,
        )

    def _share(self, request: Request) -> float:
        """The dominant share: the larger of its rate over all links and one place over all places."""
        service_class, ladder = request.service_class, self.settings.ladder_kb
        kb = ladder[service_class.floor if request.rung is None else request.rung] * service_class.rate_scale
        return max(kb / self.fleet_links_kb, 1.0 / self.fleet_places)

    def _bucket_hash(self, text: str) -> int:
        return int.from_bytes(hashlib.blake2b(text.encode(), key=self.key, digest_size=8).digest(), "big")

    def _arrival(self, request: Request) -> fair_queue.Arrival:
        """The request as the queue sees it; its client is found by the address if the front end set none."""
        set_up, cells = request.set_up, self.settings.cells
        client = (
            self.clients.find_by_peer(set_up.peer_address)
            if set_up.client_number < 0
            else set_up.client_number
        )
        bucket = (
            self._bucket_hash(set_up.peer_address) % fair_queue.BUCKETS
            if client == self.clients.others
            else 0
        )
        pool = fair_queue.Pool(
            set_up.class_name,
            set_up.first_cell % cells,
            min(set_up.copies, cells),
            set_up.title if request.service_class.seats else "",
        )
        viewer = viewer_number(set_up)
        now = self.clock.now()
        reservation: Reservation | None = None
        if set_up.reservation_token:
            reservation = self.tokens.read(
                set_up.reservation_token, now, self.clients.configs[client].name, viewer, bucket, pool
            )
        return fair_queue.Arrival(
            request.handle,
            client,
            bucket,
            pool,
            viewer,
            request.expires_ms,
            self._share(request),
            reservation,
            set_up.retry_after_step_ms,
        )

    def status(self) -> list[dict[str, Any]]:
        """One row for each client, for the status; the keys are fixed, as other programs read them."""
        total_used = sum(x.used_share for x in self.queue.clients) or 1.0
        fair = fair_queue.fair_shares(self.queue.clients)
        return [
            {
                "name": x.name,
                "weight": x.weight,
                "asked": x.asked,
                "let_in": x.admitted,
                "waiting": x.waiting,
                "refused": x.rejected,
                "held": round(x.used_share, 4),
                "share": round(x.used_share / total_used, 4),
                "due": round(fair[index], 4),
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
            for index, x in enumerate(self.queue.clients)
        ]


def viewer_number(set_up: SetUpRequest) -> int:
    """Number of a viewer: the same in every run, since tokens outlive a run.

    Two viewers collide with a probability of 2^-64.
    """
    return int.from_bytes(
        hashlib.blake2b((set_up.viewer_id or set_up.session_id).encode(), digest_size=8).digest(), "big"
    )
