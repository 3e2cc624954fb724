"""The router: feeds events to the decision module, carries out its actions, and keeps the rules.

Each guard below says what it is for.  A guard that has to act shows a defect elsewhere, so it goes through
`holds`: an assertion in debug builds, a counter and the safe way out in release builds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

from twisted.logger import Logger

from cloverhinge.core.clock import Clock, to_ms, to_us
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.invariants import check_invariant
from cloverhinge.core.model import (
    AdmissionPort,
    Attempt,
    Cause,
    ClientPort,
    Counters,
    MaintenanceEntry,
    OwnershipPort,
    Presence,
    Prober,
    Request,
    ServerPort,
    SetUpRequest,
    State,
    Tally,
)
from cloverhinge.core.slots import SlotTable
from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Effect, Health, Outcome
from cloverhinge.decision.logic import Controller

ANSWER_MARGIN_MS = 60.0  # an answer is on its way so long before the viewer stops waiting
OVERDUE_MARGIN_MS = 25.0  # and whatever happens, so long before
UNREPLICATED_RETRY_MS = (
    1000.0  # told to one whose intent could not be kept: a lost router's part is taken over by then
)
MAX_UNREAD_WAIT_MS = (
    20.0  # a client's unread input is read first for so long; a fifth of the time that counts
)
UNREAD_POLL_MS = 1.0  # pace at which it is looked at again
GIVE_UP_DELAY_MS = 8.0  # a box hears so soon that an attempt is given up; only then may another one go out
CAUSES = {Outcome.SERVED: Cause.ENDED, Outcome.RESET: Cause.CUT, Outcome.CANCELLED: Cause.CANCELLED}


class Router:
    log = Logger()

    def __init__(
        self, settings: api.Settings, seed: int, clock: Clock, deadlines: Deadlines, max_requests: int = 4096
    ) -> None:
        self.settings, self.clock, self.deadlines = settings, clock, deadlines
        self.classes = {one.name: one for one in settings.classes}
        self.controller = Controller(settings, seed)
        self.requests: SlotTable[Request] = SlotTable(max_requests)
        self.by_session_id: dict[str, Request] = {}
        self.by_title: dict[str, set[Request]] = {}
        self.established: dict[int, dict[int, Request]] = {}  # by server, then by handle
        self.listings: dict[int, api.ServerListing] = {}  # those left out by hand as draining
        self.maintenance: dict[int, MaintenanceEntry] = {}  # by hand
        self.counters = Counters({one: Tally() for one in self.classes})
        self.prober: Prober | None = None
        self.admission: AdmissionPort | None = None
        self.ownership: OwnershipPort | None = None
        self.on_concluded: Callable[[], None] = lambda: None  # told whenever an open request is concluded
        self.open_requests = 0
        self._events: deque[api.Event] = deque()
        self._dispatching = False

    # Towards the module

    def dispatch(self, event: api.Event) -> None:
        """Events go in one at a time; what an action brings about at once waits its turn."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                for action in self.controller.handle(to_us(self.clock.now()), self._events.popleft()):
                    self._execute(action)
        finally:
            self._dispatching = False

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.SetUp(session, server, timeout_us):
                self._set_up(session, server, timeout_us)
            case api.SetRung(session, rung):
                self._set_rung(session, rung)
            case api.Refuse(session, retry_after_us):
                self._refuse(session, to_ms(retry_after_us))
            case api.Fail(session):
                self._fail(session)
            case api.Move(session):
                self._move(session)
            case api.Probe(server):
                self.counters.probes += 1
                if self.prober is None or server not in self.listings:
                    self.dispatch(api.ProbeEnded(server, Outcome.CONNECT_FAILED))
                else:
                    self.prober.probe(server)
            case api.SetTimer(delay_us, token):
                self.deadlines.after(to_ms(delay_us), lambda: self.dispatch(api.TimerFired(token)))
            case api.Log(text):
                self.log.info("{text}", text=text)
            case api.Subscribe():
                pass  # the change log is followed in any case

    # Requests

    def open_request(self, set_up: SetUpRequest, client: ClientPort, servers: ServerPort) -> Request | None:
        """A new request; None where the table has no slot for it or its id is held already."""
        if self.requests.full or set_up.session_id in self.by_session_id:
            self.counters.tallies[set_up.class_name].shed += set_up.session_id not in self.by_session_id
            return None
        now = self.clock.now()
        request = self._register(set_up, client, servers, now)
        request.deadline = self.deadlines.schedule(
            now + max(0.0, set_up.wait_ms - OVERDUE_MARGIN_MS), lambda: self._overdue(request)
        )
        self.counters.taken += 1
        self.open_requests += 1
        if self.admission is None:
            self.admit(request)
        else:
            self.admission.arrive(request)
        return request

    def admit(self, request: Request) -> None:
        """The module decides on it from here on."""
        self.dispatch(self._session_requested(request))

    def reject(self, request: Request, retry_after_ms: float, reservation_token: str) -> None:
        """The door's answer to one that it did not let in, so nothing of it has run."""
        if check_invariant(
            request.state is State.OPEN and not request.attempts, "turned away before any attempt"
        ):
            request.tally.shed += 1
            self._conclude(request)
            request.client.refused(retry_after_ms if self.settings.retry_after else 0.0, reservation_token)

    def adopt(
        self, set_up: SetUpRequest, server: int, client: ClientPort, servers: ServerPort
    ) -> Request | None:
        """A session that plays already.  One that is held already stays as it is.

        Guards against sessions that nothing would ever end, as their box was never listed, and against new
        requests that find the table full of handed-over ones.
        """
        if set_up.session_id in self.by_session_id:
            return None
        if server not in self.listings or 2 * len(self.requests) >= self.requests.capacity:
            client.released(Cause.CUT)
            return None
        request = self._register(set_up, client, servers, self.clock.now())
        request.attempts = 1
        self._establish(request, server)
        self.counters.carried += 1
        if self.ownership is not None:
            self.ownership.adopted(request)
        self.dispatch(self._session_requested(request, server))
        return request

    def _register(self, ask: SetUpRequest, viewer: ClientPort, boxes: ServerPort, now: float) -> Request:
        request = Request(
            ask,
            self.classes[ask.class_name],
            viewer,
            boxes,
            now,
            now + max(0.0, ask.wait_ms - ANSWER_MARGIN_MS),
            self.counters.tallies[ask.class_name],
        )
        request.handle = self.requests.put(request)
        self.by_session_id[ask.session_id] = request
        self.by_title.setdefault(ask.title, set()).add(request)
        return request

    def _session_requested(self, request: Request, server: int | None = None) -> api.SessionRequested:
        ask = request.set_up
        return api.SessionRequested(
            request.handle,
            ask.class_name,
            ask.title,
            ask.first_cell,
            ask.copies,
            ask.ceiling,
            to_us(request.expires_ms),
            viewer=ask.viewer_id,
            length_us=to_us(ask.length_ms),
            returning=ask.returning,
            server=server,
        )

    def viewer_left(self, request: Request) -> None:
        """The viewer gives the set-up up, or ends the session; it is owed nothing more."""
        if request.state is State.OPEN:
            self.counters.left += 1
            attempt = request.attempt
            if attempt is not None and not attempt.ended_by_sender:
                self._give_up(attempt)
            self._conclude(request)
            self.dispatch(api.ViewerLeft(request.handle))
            if attempt is not None:
                self._report_ended(attempt, Outcome.CANCELLED, concluded=True)
        elif request.state is State.ESTABLISHED:
            self._end(request, Outcome.CANCELLED, None, tell_box=True, tell_viewer=False)

    # Attempts

    def _set_up(self, session: int, server: int, timeout_us: int) -> None:
        request = self.requests.get(session)
        if request is None or request.state is not State.OPEN:
            return  # concluded by an event earlier in this round
        now = self.clock.now()
        until = request.expires_ms
        if timeout_us > 0:
            until = min(until, now + to_ms(timeout_us))
        attempt = Attempt(request, request.attempts, server, now, until)
        request.attempts += 1
        if not self._may_attempt(request, server):
            self._report_ended(attempt, Outcome.MOOT, concluded=False)
            return
        request.attempt = attempt
        attempt.deadline = self.deadlines.schedule(until, lambda: self._timed_out(attempt))
        self.counters.attempts += 1
        if self.ownership is None:
            request.servers.set_up(attempt)
        else:
            self.ownership.prepare(attempt)

    def send(self, attempt: Attempt) -> None:
        """Custody has what it wants, or the client has been read; the request may be concluded by now."""
        if attempt.request.attempt is attempt and not attempt.written:
            attempt.request.servers.set_up(attempt)

    def conclude_unsent(self, request: Request, failed: bool = False) -> None:
        """Nothing of it has left, and nothing will: custody can't keep it, or it has failed elsewhere."""
        if request.state is not State.OPEN:
            return
        attempt = request.attempt
        if attempt is not None and not attempt.ended_by_sender:
            self._give_up(attempt)
        if failed:
            request.tally.errors += 1
        else:
            request.tally.shed += 1
        self._conclude(request)
        if failed:
            request.client.failed(Outcome.ERROR)
        else:
            request.client.refused(UNREPLICATED_RETRY_MS if self.settings.retry_after else 0.0)
        self.dispatch(api.ViewerLeft(request.handle))
        if attempt is not None:
            self._report_ended(attempt, Outcome.MOOT, concluded=True)

    def resume(self, request: Request, server: int, answer: bytes) -> None:
        """What was asked for stands already, and is this router's from now on."""
        if request.state is State.OPEN:
            attempt, ask, viewer = request.attempt, request.set_up, request.client
            self._conclude(request)
            self.dispatch(api.ViewerLeft(request.handle))
            if attempt is not None:
                self._report_ended(attempt, Outcome.MOOT, concluded=True)
            if self.adopt(ask, server, viewer, request.servers) is not None:
                request.tally.ok += 1
                viewer.served(answer)

    def hand_over(self, request: Request) -> None:
        """Another router has it now, so neither its box nor its viewer is told anything of its end here."""
        if request.state is State.ESTABLISHED:
            self._end(request, Outcome.CANCELLED, None, tell_box=False, tell_viewer=False)
        elif request.state is State.OPEN:
            attempt, request.attempt = request.attempt, None
            if attempt is not None:
                self.deadlines.cancel(attempt.deadline)
            request.tally.errors += 1
            self._conclude(request)
            request.client.failed(None)
            self.dispatch(api.ViewerLeft(request.handle))

    def _may_attempt(self, request: Request, server: int) -> bool:
        kind = request.service_class
        seated = (
            not kind.seats
            or 1
            + sum(
                1
                for other in self.by_title[request.set_up.title]
                if other is not request
                and other.service_class is kind
                and (other.state is State.ESTABLISHED or other.attempt is not None)
            )
            <= kind.seats
        )
        return (
            check_invariant(request.attempt is None, "one attempt out at a time")
            and check_invariant(
                not (request.may_have_run and kind.effect is Effect.ONCE), "paid set-up sent once"
            )
            and check_invariant(request.attempts <= self.settings.max_attempts, "attempts within the limit")
            and check_invariant(seated, "sessions within the seats")
            and self.sendable(server)
        )

    def sendable(self, server: int) -> bool:
        listing = self.listings.get(server)
        return listing is not None and listing.health is Health.READY

    def may_write(self, attempt: Attempt) -> bool:
        """Asked right before an attempt's first byte is written.

        Guards the drain rule: a box may have been told draining or gone since the module chose it, while its
        connection was being opened.  Where the answer is no, the attempt ends as one that never ran.
        """
        if attempt.request.attempt is not attempt:
            return False
        if not self.sendable(attempt.server):
            self.attempt_ended(attempt, Outcome.MOOT)
            return False
        if not self._client_present(attempt):
            return False
        if self.ownership is not None and not self.ownership.may_write(attempt):
            attempt.ended_by_sender = True
            self.conclude_unsent(attempt.request)
            return False
        attempt.written = True
        attempt.request.tally.tries += 1
        return True

    def _client_present(self, attempt: Attempt) -> bool:
        """Guards against attempts for clients that have gone: the word of it may lie unread behind what has
        brought the attempt about.  Input that is unread is read first, for a bounded time."""
        request, now = attempt.request, self.clock.now()
        match request.client.presence():
            case Presence.GONE:
                ran, attempt.ended_by_sender = request.may_have_run, True
                self.viewer_left(request)
                request.client.left(ran)
                return False
            case Presence.UNREAD:
                if attempt.held_since_ms is None:
                    attempt.held_since_ms = now
                if now - attempt.held_since_ms < MAX_UNREAD_WAIT_MS:
                    self.deadlines.after(UNREAD_POLL_MS, lambda: self.send(attempt))
                    return False
        return True

    def _timed_out(self, attempt: Attempt) -> None:
        """Guards one attempt out at a time: the give-up and the next set-up travel on two connections, and
        the set-up could arrive first."""
        attempt.deadline = None
        if attempt.request.attempt is attempt:
            self._give_up(attempt)
            if attempt.written:
                attempt.deadline = self.deadlines.after(
                    GIVE_UP_DELAY_MS, lambda: self.attempt_ended(attempt, Outcome.TIMEOUT)
                )
            else:  # it can't have run, whatever became of its connection
                self._report_ended(attempt, Outcome.CONNECT_FAILED, False)

    def _give_up(self, attempt: Attempt) -> None:
        attempt.request.servers.give_up(attempt)

    def _report_ended(
        self, attempt: Attempt, outcome: Outcome, concluded: bool, report: api.LoadReport | None = None
    ) -> None:
        request = attempt.request
        self.deadlines.cancel(attempt.deadline)
        attempt.deadline = None
        if request.attempt is attempt:
            request.attempt = None
        request.last_outcome = outcome
        if not outcome.never_ran:
            request.may_have_run = True
        self.counters.count_outcome(outcome)
        self.dispatch(
            api.AttemptEnded(
                request.handle,
                attempt.number,
                attempt.server,
                outcome,
                concluded,
                to_us(self.clock.now() - attempt.started_ms),
                report,
            )
        )

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, report: api.LoadReport | None = None) -> None:
        """A box, or the way to it, ended an attempt without setting the session up."""
        if attempt.request.attempt is attempt:
            self._report_ended(attempt, outcome, False, report)

    def answered(self, attempt: Attempt, answer: bytes) -> bool:
        """The session stands.  False where the attempt is not out any more: the box has to release it."""
        request = attempt.request
        if request.attempt is not attempt or request.state is not State.OPEN:
            return False
        if self.ownership is not None and not self.ownership.may_establish(attempt, answer):
            return True
        self.deadlines.cancel(attempt.deadline)
        request.attempt, request.may_have_run = None, True
        self._conclude(request, keep=True)
        self._establish(request, attempt.server)
        request.tally.ok += 1
        if self.ownership is None:
            request.client.served(answer)
        else:
            self.ownership.established(request, answer)
        self.dispatch(api.SessionStarted(request.handle, attempt.server, attempt.number))
        return True

    # Final answers

    def _conclude(self, request: Request, keep: bool = False) -> None:
        self.deadlines.cancel(request.deadline)
        request.deadline = None
        if check_invariant(request.state is State.OPEN, "one final answer"):
            self.open_requests -= 1
        if not keep:
            self._drop(request)
        self.on_concluded()

    def _drop(self, request: Request) -> None:
        request.state = State.OVER
        self.requests.free(request.handle)
        if self.by_session_id.get(request.set_up.session_id) is request:
            del self.by_session_id[request.set_up.session_id]
        of_title = self.by_title[request.set_up.title]
        of_title.remove(request)
        if not of_title:
            del self.by_title[request.set_up.title]
        if self.admission is not None:
            self.admission.ended(request)
        if self.ownership is not None:
            self.ownership.ended(request)

    def _refuse(self, session: int, hold_off_ms: float) -> None:
        request = self.requests.get(session)
        if request is None or request.state is not State.OPEN:
            return
        harmless = request.service_class.effect is Effect.REPEATABLE or not request.may_have_run
        if (
            not check_invariant(request.attempt is None, "nothing out at the final answer")
            and request.attempt
        ):
            self._give_up(request.attempt)
            harmless = harmless and request.service_class.effect is Effect.REPEATABLE
        if not check_invariant(harmless, "paid set-up refused only if it never ran"):
            return self._fail(session)
        request.tally.shed += 1
        ticket = ""
        if self.admission is not None:
            quote_ms, ticket = self.admission.refused(request, hold_off_ms)
            hold_off_ms = quote_ms if self.settings.retry_after else 0.0
        self._conclude(request)
        request.client.refused(hold_off_ms, ticket)

    def _fail(self, session: int) -> None:
        request = self.requests.get(session)
        if request is None or request.state is not State.OPEN:
            return
        if request.attempt is not None:
            request.may_have_run = request.may_have_run or request.attempt.written
            self._give_up(request.attempt)
            self.deadlines.cancel(request.attempt.deadline)
            request.attempt = None
        request.tally.errors += 1
        self._conclude(request)
        request.client.failed(request.last_outcome)

    def _overdue(self, request: Request) -> None:
        """Guards against a request held past its time, whatever the reason."""
        request.deadline = None
        if request.state is State.OPEN:
            check_invariant(False, "answered before its time is up")
            self._fail(request.handle)
            self.dispatch(api.ViewerLeft(request.handle))

    # Sessions that stand

    def _establish(self, request: Request, server: int) -> None:
        request.state, request.server = State.ESTABLISHED, server
        self.established.setdefault(server, {})[request.handle] = request
        if self.admission is not None:
            self.admission.established(request)

    def session_ended(self, request: Request, outcome: Outcome, report: api.LoadReport | None = None) -> None:
        """The box has released it.  Repeated releases find nothing that stands."""
        if request.state is State.ESTABLISHED:
            self._end(request, outcome, report, tell_box=False, tell_viewer=outcome is not Outcome.CANCELLED)

    def cut(self, request: Request) -> None:
        """The box that it plays at is lost; should it live, it is told."""
        if request.state is State.ESTABLISHED:
            self.counters.cut += 1
            self._end(request, Outcome.RESET, None, tell_box=True, tell_viewer=True)

    def cut_all(self, server: int) -> None:
        for request in list(self.established.get(server, {}).values()):
            self.cut(request)

    def _move(self, session: int) -> None:
        request = self.requests.get(session)
        if request is not None and request.state is State.ESTABLISHED:
            self.counters.moved += 1
            self._end(request, Outcome.CANCELLED, None, tell_box=True, tell_viewer=False)
            request.client.moved()

    def _end(
        self,
        request: Request,
        outcome: Outcome,
        report: api.LoadReport | None,
        tell_box: bool,
        tell_viewer: bool,
    ) -> None:
        server = request.server
        assert server is not None
        request.last_outcome = outcome
        self.counters.ended += 1
        self._drop(request)
        at_server = self.established.get(server, {})
        at_server.pop(request.handle, None)
        if not at_server:
            self.established.pop(server, None)
        if tell_box and self.ownership is None:
            request.servers.release(request, CAUSES[outcome])
        elif tell_box and self.ownership is not None:
            self.ownership.release(request, CAUSES[outcome])
        if tell_viewer:
            request.client.released(CAUSES.get(outcome, Cause.CUT))
        self.dispatch(
            api.AttemptEnded(
                request.handle,
                request.attempts - 1,
                server,
                outcome,
                True,
                to_us(self.clock.now() - request.received_ms),
                report,
            )
        )

    def _set_rung(self, session: int, rung: int) -> None:
        request = self.requests.get(session)
        if request is None or request.state is State.OVER:
            return
        top = min(request.set_up.ceiling, request.service_class.top, len(self.settings.ladder_kb) - 1)
        request.rung = max(request.service_class.floor, min(rung, top))
        if self.admission is not None:
            self.admission.rung_changed(request)
        if request.state is State.ESTABLISHED:
            request.servers.set_rung(request, request.rung)
            if self.ownership is not None:
                self.ownership.rung_changed(request)

    def session_event(self, request: Request, event: api.Event) -> None:
        if request.state is State.ESTABLISHED:
            self.dispatch(event)

    # Boxes

    def update_fleet(self, kind: api.ListKind, listings: Iterable[api.ServerListing]) -> None:
        """A list of boxes, or a change of it; what is left out by hand drains, whatever the list says."""
        told = tuple(self._apply_maintenance(kind, tuple(listings)))
        lost: set[int] = set()
        if kind is not api.ListKind.DELTA:
            lost = self.listings.keys() - {one.server for one in told}
        for one in told:
            if one.health is Health.GONE:
                lost.add(one.server)
            else:
                self.listings[one.server] = one
        for server in lost:
            self.listings.pop(server, None)
        self.dispatch(api.FleetUpdate(kind, told))
        for server in lost:
            self.cut_all(server)
        if self.admission is not None:
            self.admission.fleet_changed()

    def _apply_maintenance(
        self, kind: api.ListKind, told: tuple[api.ServerListing, ...]
    ) -> Iterator[api.ServerListing]:
        if kind is not api.ListKind.DELTA:
            for held in self.maintenance.values():
                held.listing = None
        for one in told:
            if (kept := self.maintenance.get(one.server)) is not None:
                kept.listing = None if one.health is Health.GONE else one
                if one.health is Health.READY:
                    one = replace(one, health=Health.DRAINING)
            yield one

    def start_maintenance(self, server: int, since_ms: float) -> None:
        """By hand: nothing new goes there from now on, as at a drain, until it is put back.  `since_ms` is
        the Unix time of the call, which another process may have heard."""
        if server not in self.maintenance:
            listing = self.listings.get(server)
            self.maintenance[server] = MaintenanceEntry(to_us(since_ms), listing)
            if listing is not None:
                self.update_fleet(api.ListKind.DELTA, (listing,))

    def end_maintenance(self, server: int) -> None:
        """By hand: as the list has it, with nothing known of it.  It has started since it was left out, when
        the list says so, else now: who would be taken for warm while it is cold would fall."""
        held = self.maintenance.pop(server, None)
        if held is not None and held.listing is not None:
            told_us = held.listing.started_us
            started_us = told_us if told_us >= held.since_us else to_us(self.clock.now())
            self.update_fleet(
                api.ListKind.DELTA, (replace(held.listing, started_us=started_us, after_maintenance=True),)
            )

    def probed(self, server: int, outcome: Outcome, took_ms: float, report: api.LoadReport | None) -> None:
        self.dispatch(api.ProbeEnded(server, outcome, to_us(took_ms), report))
