"""The router's core: feeds events to the decision module, executes its actions, and enforces the rules.

Each safety check below says what it prevents.  A check that has to act reveals a defect elsewhere, so it goes
through `check_invariant`: an assertion in debug builds, a counter and a safe fallback in release builds.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from twisted.logger import Logger

from cloverhinge.core.clock import Clock, to_ms, to_us
from cloverhinge.core.containment import contained, report_exception
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.invariants import check_invariant
from cloverhinge.core.model import (
    AdmissionPort,
    Attempt,
    Cause,
    ClientPort,
    Counters,
    OwnershipPort,
    Presence,
    Prober,
    Request,
    ServerPort,
    SetUpRequest,
    SharingPort,
    State,
    Tally,
)
from cloverhinge.core.recent_ids import RecentIds
from cloverhinge.core.request_log import RequestLog
from cloverhinge.core.request_table import RequestTable
from cloverhinge.core.server_listings import ServerListings
from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Effect, Outcome
from cloverhinge.decision.logic import Controller

ANSWER_MARGIN_MS = 60.0  # an answer is sent at least this long before the client stops waiting
OVERDUE_MARGIN_MS = 25.0  # a request that is still open is failed this long before the client stops waiting
OVERLOAD_MS = 1000.0  # a late call of the last second shows that the process has too little time
# Retry-after for a request whose prepared record could not be replicated: by then, other routers have taken
# over the share of a lost one.
UNREPLICATED_RETRY_MS = 1000.0
# An attempt waits this long at most for the client's unread input to be read first: a fifth of the time that
# counts.
MAX_UNREAD_WAIT_MS = 20.0
UNREAD_POLL_MS = 1.0  # interval at which an attempt that waits for this input is tried again
# A request that has less time than this left when the process ends is refused, as its attempt would be
# given up.
MIN_SET_UP_MS = 100.0
NO_SERVER = -1  # no media server has this number
UNDECIDED_RETRY_MS = 1000.0  # retry-after of a request whose decision has failed
SHUTDOWN_RETRY_MS = 1000.0  # retry-after of a request that a shutdown ends: a restart takes about as long
# A give-up reaches the media server within this time; only then may the next attempt be sent.
GIVE_UP_DELAY_MS = 8.0
# After its release by the media server, a session may still be handed over, or taken over, within this time.
UNHELD_RELEASE_TTL_MS = 30_000.0
MAX_UNHELD_RELEASES = 4096
PAID_ID_TTL_MS = 600_000.0  # longer than sessions last
MAX_PAID_IDS = 32_768  # 54 paid set-ups a second
CAUSES = {Outcome.SERVED: Cause.ENDED, Outcome.RESET: Cause.CUT, Outcome.CANCELLED: Cause.CANCELLED}


class SessionIdInUseError(Exception):
    """The id of a request is that of another request or session, or of a paid session that is over."""


@dataclass(frozen=True, slots=True)
class UnheldRelease:
    """A media server's release of a session that this process does not hold."""

    server: int
    outcome: Outcome


class Router:
    """Holds all requests and sessions of this process and connects the decision module with the ports.

    Times are in milliseconds; the decision module uses microseconds.
    """

    log = Logger()

    def __init__(
        self, settings: api.Settings, seed: int, clock: Clock, deadlines: Deadlines, max_requests: int = 4096
    ) -> None:
        """`seed` is for the decision module's random choices.  `max_requests` bounds open requests and
        established sessions together."""
        self.settings, self.clock, self.deadlines = settings, clock, deadlines
        self.classes = {service_class.name: service_class for service_class in settings.classes}
        self.controller = Controller(settings, seed)
        self._table = RequestTable(max_requests)
        self.requests = self._table.slots
        self.by_session_id = self._table.by_session_id
        self.by_title = self._table.by_title
        self.established = self._table.established  # by server, then by handle
        self.servers = ServerListings()
        self.listings = self.servers.listings  # servers in maintenance mode are listed as draining
        self.maintenance = self.servers.maintenance  # servers that an operator put in maintenance mode
        self.counters = Counters({class_name: Tally() for class_name in self.classes})
        self.request_log = RequestLog()
        self.prober: Prober | None = None
        self.admission: AdmissionPort | None = None
        self.ownership: OwnershipPort | None = None
        self.sharing: SharingPort | None = None
        self.unheld_releases: RecentIds[UnheldRelease] = RecentIds(UNHELD_RELEASE_TTL_MS, MAX_UNHELD_RELEASES)
        self.on_concluded: Callable[[], None] = lambda: None  # called whenever an open request is concluded
        self.open_requests = 0
        # Ids of paid requests that may have run and are over: none of them is set up again.
        self.paid_ids: RecentIds[None] = RecentIds(PAID_ID_TTL_MS, MAX_PAID_IDS)
        # During a shutdown: Unix time by which every open request has its answer.
        self.answer_until_ms = math.inf
        self._events: deque[api.Event] = deque()
        self._dispatching = False

    # Decision module

    def dispatch(self, event: api.Event) -> None:
        """Pass an event to the decision module and execute the actions that it returns.

        Events are handled one at a time: an event that an action causes is queued until its turn.  An
        exception in the module or in an action is reported, and the request concerned is concluded.
        """
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._dispatching = False

    def _handle(self, event: api.Event) -> None:
        undecided = None
        try:
            actions = self.controller.handle(to_us(self.clock.now()), event)
        except Exception:
            report_exception("an event is decided on")
            actions = self.controller.actions  # the module's state counts on those decided before
            undecided = event.session if isinstance(event, api.SessionRequested | api.AttemptEnded) else None
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                report_exception("an action is executed")
                if isinstance(action, api.SetUp | api.Refuse | api.Fail):
                    self._conclude_undecided(action.session)
        if undecided is not None:
            self._conclude_undecided(undecided)

    def _conclude_undecided(self, handle: int) -> None:
        """Conclude an open request for which nothing is under way, as its decision has failed."""
        request = self.requests.get(handle)
        if request is not None and request.state is State.OPEN and request.attempt is None:
            failure = None if request.service_class.may_refuse(request.may_have_run) else Outcome.ERROR
            self._conclude_by_core(request, failure, UNDECIDED_RETRY_MS, Outcome.MOOT)
            # The module may count on an attempt that it has not asked for.
            self.dispatch(api.AttemptEnded(handle, request.attempts, NO_SERVER, Outcome.MOOT, True, 0))

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.SetUp(handle, server, timeout_us):
                self._set_up(handle, server, timeout_us)
            case api.SetRung(handle, rung):
                self._set_rung(handle, rung)
            case api.Refuse(handle, retry_after_us):
                self._refuse(handle, to_ms(retry_after_us))
            case api.Fail(handle):
                self._fail(handle)
            case api.Move(handle):
                self._move(handle)
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
                pass  # updates of the change log are received in any case

    # Requests

    def open_request(self, set_up: SetUpRequest, client: ClientPort, servers: ServerPort) -> Request | None:
        """Register a new request and pass it on to admission, or to the decision module where there is none.

        Returns None if all slots are taken, or if the process ends too soon to serve it.  Raises
        `SessionIdInUseError` if its id is that of another request or session, or was paid for already.
        """
        now = self.clock.now()
        if set_up.session_id in self.by_session_id or self.paid_ids.knows(now, set_up.session_id):
            raise SessionIdInUseError(set_up.session_id)
        paid = self.classes[set_up.class_name].effect is Effect.ONCE
        full = self.requests.full or paid and self.paid_ids.is_full(now)
        if full or now + MIN_SET_UP_MS > self.answer_until_ms:
            self.counters.tallies[set_up.class_name].shed += 1
            self.request_log.request(set_up.session_id, "not taken", open=self.open_requests)
            return None
        if self.sharing is not None and not self.sharing.take(set_up):
            raise SessionIdInUseError(set_up.session_id)
        request = self._register(set_up, client, servers, now)
        request.deadline = self.deadlines.schedule(
            now + max(0.0, set_up.wait_ms - OVERDUE_MARGIN_MS), lambda: self._overdue(request)
        )
        self.counters.taken += 1
        self.open_requests += 1
        try:
            if self.admission is None:
                self.admit(request)
            else:
                self.admission.arrive(request)
        except Exception:
            report_exception("a request is admitted")
            self._conclude_undecided(request.handle)
        return request

    def admit(self, request: Request) -> None:
        """Pass the request to the decision module, which decides on it from here on."""
        self.dispatch(self._session_requested(request))

    def reject(self, request: Request, retry_after_ms: float, reservation_token: str) -> None:
        """Refuse a request that admission did not admit, so that no attempt of it has run."""
        if check_invariant(
            request.state is State.OPEN and not request.attempts, "turned away before any attempt"
        ):
            request.tally.shed += 1
            self._log(request, "rejected by admission", retry_after_ms=round(retry_after_ms))
            self._conclude(request)
            request.client.refused(retry_after_ms if self.settings.retry_after else 0.0, reservation_token)

    def adopt(
        self, set_up: SetUpRequest, server: int, client: ClientPort, servers: ServerPort
    ) -> Request | None:
        """Take over a session that plays already.  One that this router has already stays as it is.

        Returns None if the session is not taken over.  Its client is notified that it has ended where its
        media server has released it before, or is not listed, as nothing would ever end such a session; also
        where half of the slots are taken, so that sessions handed over leave room for new requests.
        """
        if set_up.session_id in self.by_session_id:
            return None
        release = self.unheld_releases.get(self.clock.now(), set_up.session_id)
        if release is not None and release.server == server:
            if release.outcome is not Outcome.CANCELLED:
                client.released(CAUSES.get(release.outcome, Cause.CUT))
            return None
        if server not in self.listings or 2 * len(self.requests) >= self.requests.capacity:
            client.released(Cause.CUT)
            return None
        if self.sharing is not None and not self.sharing.take_over(set_up, server):
            return None
        request = self._register(set_up, client, servers, self.clock.now())
        request.attempts = 1
        self._establish(request, server)
        self.counters.carried += 1
        if self.ownership is not None:
            self.ownership.adopted(request)
        self.dispatch(self._session_requested(request, server))
        return request

    def _register(
        self, set_up: SetUpRequest, client: ClientPort, servers: ServerPort, now_ms: float
    ) -> Request:
        request = Request(
            set_up,
            self.classes[set_up.class_name],
            client,
            servers,
            now_ms,
            max(now_ms, min(now_ms + set_up.wait_ms - ANSWER_MARGIN_MS, self.answer_until_ms)),
            self.counters.tallies[set_up.class_name],
        )
        self._table.add(request)
        return request

    def _session_requested(self, request: Request, server: int | None = None) -> api.SessionRequested:
        set_up = request.set_up
        return api.SessionRequested(
            request.handle,
            set_up.class_name,
            set_up.title,
            set_up.first_cell,
            set_up.copies,
            set_up.ceiling,
            to_us(request.expires_ms),
            viewer=set_up.viewer_id,
            length_us=to_us(set_up.length_ms),
            returning=set_up.returning,
            server=server,
        )

    def viewer_left(self, request: Request) -> None:
        """The viewer cancels the set-up or ends the session; it gets no further answer."""
        if request.state is State.OPEN:
            self._log(request, "given up by its client")
            self.counters.left += 1
            attempt = request.attempt
            if attempt is not None and not attempt.ended_by_sender:
                self._give_up(attempt)
            self._conclude(request)
            self.dispatch(api.ViewerLeft(request.handle))
            if attempt is not None:
                self._report_ended(attempt, Outcome.CANCELLED, concluded=True)
        elif request.state is State.ESTABLISHED:
            self._end(request, Outcome.CANCELLED, None, tell_server=True, tell_client=False)

    # Attempts

    def _set_up(self, handle: int, server: int, timeout_us: int) -> None:
        request = self.requests.get(handle)
        if request is None or request.state is not State.OPEN:
            return  # concluded by an earlier action of the same event
        now = self.clock.now()
        until_ms = request.expires_ms
        if timeout_us > 0:
            until_ms = min(until_ms, now + to_ms(timeout_us))
        attempt = Attempt(request, request.attempts, server, now, until_ms)
        request.attempts += 1
        if not self._may_attempt(request, server):
            self._report_ended(attempt, Outcome.MOOT, concluded=False)
            return
        self._log(request, "attempt", number=attempt.number, server=server, wait_ms=round(until_ms - now))
        request.attempt = attempt
        attempt.deadline = self.deadlines.schedule(until_ms, lambda: self._timed_out(attempt))
        self.counters.attempts += 1
        if self.ownership is None:
            request.servers.set_up(attempt)
        else:
            self.ownership.prepare(attempt)

    def send(self, attempt: Attempt) -> None:
        """Send an attempt whose prepared record is replicated, or whose client's input has been read.

        Does nothing if the attempt has ended or has been written meanwhile.
        """
        if attempt.request.attempt is attempt and not attempt.written:
            attempt.request.servers.set_up(attempt)

    def conclude_unsent(self, request: Request, failed: bool = False) -> None:
        """Conclude a request of which nothing has been sent to a media server, and nothing will be.

        Its prepared record can't be replicated, so it is refused; or, with `failed`, it has failed at another
        router.
        """
        if request.state is State.OPEN:
            failure = Outcome.ERROR if failed else None
            self._conclude_by_core(request, failure, UNREPLICATED_RETRY_MS, Outcome.MOOT)

    def conclude_conflict(self, request: Request) -> None:
        """Conclude a request, of which nothing has been sent, whose id is in use for another session."""
        if request.state is not State.OPEN:
            return
        self._log(request, "refused, its id is in use for another session")
        request.tally.errors += 1
        self._conclude_and_tell(request, request.client.conflict, Outcome.MOOT)

    def answer_open_requests(self) -> None:
        """Give every open request its final answer, as the process is about to end.

        It is a refusal where none of the attempts may have run or the class allows a repetition, else a
        failure.
        """
        for request in [x for x in self.requests if x.state is State.OPEN]:
            attempt = request.attempt
            if attempt is not None and attempt.written:
                request.may_have_run = True
            may_refuse = request.service_class.may_refuse(request.may_have_run)
            failure = None if may_refuse else Outcome.TIMEOUT
            with contained("an open request is answered at the end"):
                self._conclude_by_core(request, failure, SHUTDOWN_RETRY_MS, Outcome.CANCELLED)

    def _conclude_by_core(
        self, request: Request, failure: Outcome | None, retry_after_ms: float, attempt_outcome: Outcome
    ) -> None:
        """Fail an open request, or refuse it where `failure` is None, without asking the decision module.

        A pending attempt is given up and ends with `attempt_outcome`.
        """
        self._log(request, "concluded", failure=failure and failure.value)
        if failure is not None:
            request.tally.errors += 1
            self._conclude_and_tell(request, lambda: request.client.failed(failure), attempt_outcome)
        else:
            request.tally.shed += 1
            retry_after_ms = retry_after_ms if self.settings.retry_after else 0.0
            self._conclude_and_tell(request, lambda: request.client.refused(retry_after_ms), attempt_outcome)

    def _conclude_and_tell(
        self, request: Request, tell: Callable[[], None], attempt_outcome: Outcome
    ) -> None:
        """Give up what is pending of a request, conclude it and tell its client, then the decision module."""
        attempt = request.attempt
        if attempt is not None and not attempt.ended_by_sender:
            self._give_up(attempt)
        self._conclude(request)
        with contained("a client is told of a conclusion"):
            tell()
        self.dispatch(api.ViewerLeft(request.handle))
        if attempt is not None:
            self._report_ended(attempt, attempt_outcome, concluded=True)

    def resume(self, request: Request, server: int, answer: bytes) -> None:
        """Answer a request whose session is already established, and own this session from now on."""
        if request.state is State.OPEN:
            attempt, set_up, client = request.attempt, request.set_up, request.client
            self._conclude(request)
            self.dispatch(api.ViewerLeft(request.handle))
            if attempt is not None:
                self._report_ended(attempt, Outcome.MOOT, concluded=True)
            if self.adopt(set_up, server, client, request.servers) is not None:
                request.tally.ok += 1
                client.served(answer)

    def hand_over(self, request: Request) -> None:
        """Forget a session that another router owns now: neither its media server nor its viewer is notified.

        An open request is failed.
        """
        request.handed_over = True
        if request.state is State.ESTABLISHED:
            self._end(request, Outcome.CANCELLED, None, tell_server=False, tell_client=False)
        elif request.state is State.OPEN:
            attempt, request.attempt = request.attempt, None
            if attempt is not None:
                self.deadlines.cancel(attempt.deadline)
            self._log(request, "failed, another router owns it")
            request.tally.errors += 1
            self._conclude(request)
            request.client.failed(None)
            self.dispatch(api.ViewerLeft(request.handle))

    def _may_attempt(self, request: Request, server: int) -> bool:
        service_class = request.service_class
        return (
            check_invariant(request.attempt is None, "one attempt out at a time")
            and check_invariant(
                not (request.may_have_run and service_class.effect is Effect.ONCE), "paid set-up sent once"
            )
            and check_invariant(request.attempts <= self.settings.max_attempts, "attempts within the limit")
            and check_invariant(self._table.has_seat(request), "sessions within the seats")
            and self.sendable(server)
        )

    def sendable(self, server: int) -> bool:
        """Whether new set-ups may be sent to this media server: it is listed and ready."""
        return self.servers.is_ready(server)

    def may_write(self, attempt: Attempt) -> bool:
        """Whether an attempt may be sent; called right before its first byte is written.

        Enforces the drain rule: the media server may have been reported as draining or gone since the
        decision module chose it, while its connection was being opened.  If the result is False, the attempt
        ends as one that never ran, or is sent again later, once the client's input has been read.
        """
        if attempt.request.attempt is not attempt:
            return False
        if not self.sendable(attempt.server):
            self.attempt_ended(attempt, Outcome.MOOT)
            return False
        if not self._check_client(attempt):
            return False
        if self.ownership is not None and not self.ownership.may_write(attempt):
            attempt.ended_by_sender = True
            self.conclude_unsent(attempt.request)
            return False
        attempt.written = True
        attempt.request.tally.tries += 1
        return True

    def _check_client(self, attempt: Attempt) -> bool:
        """Return whether the attempt may be written now, as far as its client is concerned.

        Ends the request if the client is gone.  If the client's input is unread, the attempt is tried again
        shortly, until MAX_UNREAD_WAIT_MS have passed; it is then written in spite of it.  Prevents attempts
        for clients that have left: the close or cancellation may still be unread in a socket, behind the
        event that caused the attempt.
        """
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
        """Give the attempt up, and report its time-out only once the give-up has arrived.

        Keeps attempts of a request from overlapping: the give-up and the next set-up travel on two
        connections, and the set-up could arrive first.
        """
        attempt.deadline = None
        if attempt.request.attempt is attempt:
            self._give_up(attempt)
            if attempt.written:
                attempt.deadline = self.deadlines.after(
                    GIVE_UP_DELAY_MS, lambda: self.attempt_ended(attempt, Outcome.TIMEOUT)
                )
            else:  # nothing of it was written, so it can't have run
                self._report_ended(attempt, Outcome.CONNECT_FAILED, False)

    def _give_up(self, attempt: Attempt) -> None:
        with contained("an attempt is given up"):
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
        self._log(request, "attempt ended", server=attempt.server, outcome=outcome.value)
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
        """The media server, or the connection to it, ended an attempt without setting the session up."""
        if attempt.request.attempt is attempt:
            self._report_ended(attempt, outcome, False, report)

    def answered(self, attempt: Attempt, answer: bytes) -> bool:
        """The media server has set the session up: establish it and send the answer to the client.

        Returns False if the attempt is no longer pending: the media server then has to release the session.
        """
        request = attempt.request
        if request.attempt is not attempt or request.state is not State.OPEN:
            return False
        if self.ownership is not None and not self.ownership.may_establish(attempt, answer):
            return True
        self.deadlines.cancel(attempt.deadline)
        request.attempt, request.may_have_run = None, True
        self._conclude(request, keep=True)
        self._establish(request, attempt.server)
        if self.sharing is not None:
            self.sharing.established(request, attempt.server)
        request.tally.ok += 1
        self._log(request, "served", server=attempt.server)
        with contained("a client is told of its session"):
            if self.ownership is None:
                request.client.served(answer)
            else:
                self.ownership.established(request, answer)
        self.dispatch(api.SessionStarted(request.handle, attempt.server, attempt.number))
        return True

    def _log(self, request: Request, event: str, **details: object) -> None:
        if self.request_log.enabled:
            age_ms = round(self.clock.now() - request.received_ms)
            self.request_log.request(request.set_up.session_id, event, age_ms=age_ms, **details)

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
        self._table.remove(request)
        self._remember_paid_id(request)
        if self.sharing is not None:
            self.sharing.over(request)
        if self.admission is not None:
            with contained("admission is told of a request's end"):
                self.admission.ended(request)
        if self.ownership is not None:
            with contained("ownership is told of a request's end"):
                self.ownership.ended(request)

    def _remember_paid_id(self, request: Request) -> None:
        """Remember the id of a paid request that may have run, unless another router has the session now."""
        if request.service_class.effect is Effect.ONCE and request.has_run and not request.handed_over:
            self.paid_ids.add(self.clock.now(), request.set_up.session_id, None)

    def _refuse(self, handle: int, retry_after_ms: float) -> None:
        request = self.requests.get(handle)
        if request is None or request.state is not State.OPEN:
            return
        may_refuse = request.service_class.may_refuse(request.may_have_run)
        if (
            not check_invariant(request.attempt is None, "nothing out at the final answer")
            and request.attempt
        ):
            self._give_up(request.attempt)
            may_refuse = may_refuse and request.service_class.effect is Effect.REPEATABLE
        if not check_invariant(may_refuse, "paid set-up refused only if it never ran"):
            return self._fail(handle)
        request.tally.shed += 1
        reservation_token = ""
        if self.admission is not None:
            with contained("a retry-after is estimated"):
                estimate_ms, reservation_token = self.admission.refused(request, retry_after_ms)
                retry_after_ms = estimate_ms if self.settings.retry_after else 0.0
        self._log(request, "refused", retry_after_ms=round(retry_after_ms))
        self._conclude(request)
        request.client.refused(retry_after_ms, reservation_token)

    def _fail(self, handle: int) -> None:
        request = self.requests.get(handle)
        if request is None or request.state is not State.OPEN:
            return
        if request.attempt is not None:
            request.may_have_run = request.may_have_run or request.attempt.written
            self._give_up(request.attempt)
            self.deadlines.cancel(request.attempt.deadline)
            request.attempt = None
        request.tally.errors += 1
        self._log(request, "failed")
        self._conclude(request)
        request.client.failed(request.last_outcome)

    def _overdue(self, request: Request) -> None:
        """Fail a request that is still open shortly before its client stops waiting, whatever the reason."""
        request.deadline = None
        if request.state is State.OPEN:
            # Where the process had too little time, the end of the last attempt may have come late.
            check_invariant(self.deadlines.late_within(OVERLOAD_MS), "answered before its time is up")
            attempt = request.attempt
            self._fail(request.handle)
            self.dispatch(api.ViewerLeft(request.handle))
            if attempt is not None:
                self._report_ended(attempt, Outcome.TIMEOUT, concluded=True)

    # Established sessions

    def _establish(self, request: Request, server: int) -> None:
        self._table.establish(request, server, self.clock.now())
        if self.admission is not None:
            with contained("admission is told of a session"):
                self.admission.established(request)

    def session_released(
        self, session_id: str, server: int, outcome: Outcome, report: api.LoadReport | None = None
    ) -> None:
        """A media server has released a session, which another process of this router may hold."""
        if self.sharing is not None:
            self.sharing.released(session_id, server, outcome)
        self.end_released(session_id, server, outcome, report)

    def end_released(
        self, session_id: str, server: int, outcome: Outcome, report: api.LoadReport | None = None
    ) -> None:
        """End a session that its media server has released; one that is not held here is remembered, as it
        may be handed over later."""
        request = self.by_session_id.get(session_id)
        if request is None:
            self.unheld_releases.add(self.clock.now(), session_id, UnheldRelease(server, outcome))
        elif request.server == server:
            self.session_ended(request, outcome, report)

    def session_ended(self, request: Request, outcome: Outcome, report: api.LoadReport | None = None) -> None:
        """The media server has released the session.  Repeated releases have no effect."""
        if request.state is State.ESTABLISHED:
            self._end(
                request, outcome, report, tell_server=False, tell_client=outcome is not Outcome.CANCELLED
            )

    def cut(self, request: Request) -> None:
        """End a session whose media server is lost.  A release is sent to it, in case it still runs."""
        if request.state is State.ESTABLISHED:
            self.counters.cut += 1
            self._end(request, Outcome.RESET, None, tell_server=True, tell_client=True)

    def cut_all(self, server: int, established_before_ms: float = math.inf) -> None:
        """End the sessions at a lost media server that were established before a Unix time."""
        for request in self._table.established_before(server, established_before_ms):
            with contained("a session is cut"):
                self.cut(request)

    def _move(self, handle: int) -> None:
        request = self.requests.get(handle)
        if request is not None and request.state is State.ESTABLISHED:
            self.counters.moved += 1
            self._end(request, Outcome.CANCELLED, None, tell_server=True, tell_client=False)
            request.client.moved()

    def _end(
        self,
        request: Request,
        outcome: Outcome,
        report: api.LoadReport | None,
        tell_server: bool,
        tell_client: bool,
    ) -> None:
        server = request.server
        assert server is not None
        request.last_outcome = outcome
        self._log(request, "session ended", server=server, outcome=outcome.value)
        self.counters.ended += 1
        self._drop(request)
        with contained("a media server is told of a session's end"):
            if tell_server and self.ownership is None:
                request.servers.release(request, CAUSES[outcome])
            elif tell_server and self.ownership is not None:
                self.ownership.release(request, CAUSES[outcome])
        with contained("a client is told of its session's end"):
            if tell_client:
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

    def _set_rung(self, handle: int, rung: int) -> None:
        request = self.requests.get(handle)
        if request is None or request.state is State.OVER:
            return
        top = min(request.set_up.ceiling, request.service_class.top, len(self.settings.ladder_kb) - 1)
        request.rung = max(request.service_class.floor, min(rung, top))
        if self.admission is not None:
            with contained("admission is told of a rung"):
                self.admission.rung_changed(request)
        if request.state is State.ESTABLISHED:
            request.servers.set_rung(request, request.rung)
            if self.ownership is not None:
                self.ownership.rung_changed(request)

    def session_event(self, request: Request, event: api.Event) -> None:
        """Dispatch an event of a session, if it is established."""
        if request.state is State.ESTABLISHED:
            self.dispatch(event)

    # Media servers

    def update_fleet(self, kind: api.ListKind, listings: Iterable[api.ServerListing]) -> None:
        """Apply a list of media servers, or a change of it, and cut the sessions at servers that are gone.

        At a server that has been started anew, the sessions from before its start are cut.
        Servers in maintenance mode drain, whatever the list says.
        """
        rows = tuple(listings)
        effective, lost = self.servers.update(kind, rows)
        self.dispatch(api.FleetUpdate(kind, effective))
        for server in lost:
            self.cut_all(server)
        for listing in rows:
            if listing.started_us and not listing.after_maintenance:
                self.cut_all(listing.server, established_before_ms=to_ms(listing.started_us))
        if self.admission is not None:
            with contained("admission is told of the list"):
                self.admission.fleet_changed()

    def start_maintenance(self, server: int, since_ms: float) -> None:
        """Put a media server in maintenance mode: like a draining one, it gets no new sessions until the mode
        ends.  `since_ms` is the Unix time of the operator's call, which another process may have received."""
        listing = self.servers.start_maintenance(server, to_us(since_ms))
        if listing is not None:
            self.update_fleet(api.ListKind.DELTA, (listing,))

    def end_maintenance(self, server: int) -> None:
        """End a media server's maintenance mode: it is as listed, and nothing learned of it remains."""
        listing = self.servers.end_maintenance(server, to_us(self.clock.now()))
        if listing is not None:
            self.update_fleet(api.ListKind.DELTA, (listing,))

    def probed(self, server: int, outcome: Outcome, took_ms: float, report: api.LoadReport | None) -> None:
        """A probe has ended after `took_ms`; `report` is the load that the media server reported, if any."""
        self.dispatch(api.ProbeEnded(server, outcome, to_us(took_ms), report))
