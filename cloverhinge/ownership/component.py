"""Connects the ownership core to the router and the membership, and carries out its actions.

The decisions are in core.py.  A record's id is the prefix of its front, `/`, and the front's own name for the
session or other work that the record describes.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
from twisted.logger import Logger

from cloverhinge.core.clock import Clock
from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.core.model import Attempt, Cause, ClientPort, Request, ServerPort, SetUpRequest, State
from cloverhinge.core.router import Router
from cloverhinge.decision.interface import Effect
from cloverhinge.members.core import ComponentMessageReceived, IncarnationVoided, MemberChanged, evict_oldest
from cloverhinge.members.transport import Event, MembershipTransport
from cloverhinge.members.wire import MessageError
from cloverhinge.members.wire import State as MemberState
from cloverhinge.ownership import core, model
from cloverhinge.ownership.model import Verdict
from cloverhinge.ownership.persistence import Persist
from cloverhinge.ownership.register import Phase, Work
from cloverhinge.ownership.replicated_work import ReplicatedSession, decode, describe, encode, is_same_work
from cloverhinge.ownership.wire import Member, name_of
from cloverhinge.site.model import OwnershipSettings
from cloverhinge.store import Mark

if TYPE_CHECKING:
    from cloverhinge.ownership.replica_store import ReplicaStore

SESSION_PREFIX = "r"  # of records that are named by the session id: those of the RTSP front
CLAIM_TIMEOUT_MS = 500.0  # for replicas to answer a paid claim: ten times the first interval of resending
# Deferrable messages are sent together after this delay; a router that is killed within it loses them.
FLUSH_DELAY_MS = 5.0
MAX_ANSWER_DELAY_MS = 250.0  # how long a paid answer waits until its record is replicated, at most
MEMBERS_UPDATE_MS = 1000.0  # between updates of the members' spare capacity
MIN_RETENTION_MS = 60_000.0  # a final answer is stored for at least this time
MAX_ANSWER_BYTES = 1024  # of a replicated RTSP answer; for a longer one, a successor's answer has no body
MAX_PENDING = 1024  # releases, and answers, that wait until the ownership is confirmed
MAX_REMEMBERED = 4096  # entries in each of `handed_over` and `served_unreplicated`


class FrontAdapter(Protocol):
    """The port of one front, through which the component reaches the front's sessions by their record ids."""

    def record_name(self, text: str) -> str:
        """The name within the record's id, for the name that an operator uses."""

    def adopt(self, id: str, session: ReplicatedSession) -> bool:
        """Continues an established session, by `OwnershipComponent.adopt_session`; False where it can't."""

    def request_of(self, id: str) -> Request | None: ...  # that is held here for the record, if there is one

    def has_client(self, id: str) -> bool:
        """Whether the viewer of the record is a client of this router."""

    def ownership_lost(self, id: str) -> None:
        """Another router owns the record: forget it, and answer the clients that wait."""

    def release_leftover(self, session: ReplicatedSession) -> None:
        """Tell the media server to release what an earlier owner may have left there."""


class OwnershipComponent:
    """A component of the node; the router reaches it as its `OwnershipPort`."""

    log = Logger()
    key = "custody"  # names the component in messages and in the status

    def __init__(
        self,
        site: OwnershipSettings,
        members: MembershipTransport,
        router: Router,
        clock: Clock,
        deadlines: Deadlines,
        seed: int,
        store_folder: Path | None = None,
    ) -> None:
        """`seed` seeds all random draws.

        Records survive a restart in `store_folder`; without one (None) they do not.
        """
        self.site, self.members, self.router, self.store_folder = site, members, router, store_folder
        self.replica_store: ReplicaStore | None = None
        self.clock, self.deadlines, self.seed = clock, deadlines, seed
        self.adapters: dict[str, FrontAdapter] = {}
        self.retention_ms = MIN_RETENTION_MS
        self.core: core.OwnershipCore
        self._last_call_number = 0
        # Callbacks of claims and look-ups that are under way, by call number.
        self._calls: dict[int, Callable[[Verdict, Work | None], None]] = {}
        # Paid answers that wait until their records are replicated, by record id.
        self._unreplicated_answers: dict[str, tuple[Request, bytes]] = {}
        # Answers of media servers, and releases, that wait until the ownership is confirmed, by record id.
        self._unconfirmed_answers: dict[str, tuple[Attempt, bytes]] = {}
        self._unconfirmed_releases: OrderedDict[str, tuple[Request, Cause]] = OrderedDict()
        self.handed_over: OrderedDict[str, None] = OrderedDict()  # names of sessions that others own now
        self.served_unreplicated: OrderedDict[str, None] = OrderedDict()  # ids of records without replicas
        # The request that ended last, and whether this router was sure to own its record then.
        self._last_ended: tuple[Request | None, bool] = (None, False)
        self._adopting = False  # while set, `adopted` and `ended` leave the record as it is
        self._flush_timer: DeadlineKey | None = None
        self._unclaimed: dict[str, Request] = {}  # repeatable requests, claimed at the next flush
        self._members_changed = True
        self._members_updated_ms = -1e12

    # The node's interface

    def add_front(self, prefix: str, adapter: FrontAdapter, retention_ms: float = 0.0) -> None:
        """Adds a front whose records are replicated; final answers are stored for `retention_ms` at least.

        To be called before `start`, which reads the retention.
        """
        self.adapters[prefix] = adapter
        self.retention_ms = max(self.retention_ms, retention_ms)

    def start(self) -> None:
        """Opens the store, where there is one, and begins to take part in the ownership protocol."""
        own = Member(self.members.name, self.members.membership.run, self.members.site.site)
        rules = model.Rules(
            self.site.tolerated_losses,
            self.site.lease_ms,
            self.site.routers,
            self.retention_ms,
            self.retention_ms,
        )
        if self.store_folder is not None:
            # Loaded only where there is a folder: it needs apsw.
            from cloverhinge.ownership.replica_store import ReplicaStore

            reactor = self.members.reactor
            self.replica_store = ReplicaStore(
                self.store_folder, own, reactor.callFromThread, self._on_durable, self._on_store_failure
            )
            reactor.addSystemEventTrigger("after", "shutdown", self.replica_store.close)
        self.core = core.OwnershipCore(
            own,
            rules,
            self.seed,
            None if self.replica_store is None else self.replica_store.persistence,
            is_same_work,
        )
        self.router.ownership = self
        self.members.receivers[self.key] = self._receive
        self.members.listeners.append(self._on_membership_event)
        self.deadlines.repeat(core.TICK_MS, self._tick)

    def _on_durable(self, number: int, mark: Mark) -> None:
        self._act(self.core.on_durable(self.clock.now(), number, mark))

    def _on_store_failure(self, reason: str) -> None:
        self.log.error("{name}: store: {reason}", name=self.members.name, reason=reason)
        self._act(self.core.on_store_failure(self.clock.now(), reason))

    def begin_shutdown(self) -> None:
        """Begins to hand all sessions over to other routers; `busy` until that is done."""
        self._act(self.core.leave(self.clock.now()))

    @property
    def busy(self) -> bool:
        """Whether a hand-over is under way."""
        return not self.core.idle

    def status(self) -> dict[str, Any]:
        """For the status; its keys are those that operators see."""
        counters, replica_set = asdict(self.core.counters), self.core.replica_sets.current
        return {
            "owned": len(self.core.owned),
            "kept": len(self.core.replica.slots),
            **counters,
            "roster": None
            if replica_set is None
            else {
                "number": replica_set.number,
                "members": [x.name for x in replica_set.members],
                "votes": self.core.replica_sets.active,
                "holes": len(self.core.replica_sets.holes),
            },
            "trying": len(self.core.acquisitions),
            "store": None if self.replica_store is None else self.replica_store.status(),
        }

    def look_up(self, text: str) -> dict[str, Any]:
        """What this router knows of a session or other work, by the name that its front gives it."""
        ids = [f"{prefix}/{adapter.record_name(text)}" for prefix, adapter in self.adapters.items()]
        for id in ids:
            work = self.core.known_work(id)
            if work is not None:
                session = decode(work) or ReplicatedSession("", "", "")
                server = self.router.listings.get(session.server)
                server_name = "" if server is None else f"s-{server.server:08x}"
                return {
                    "found": True,
                    "phase": work.phase.name.lower(),
                    "owner": name_of(work.owner),
                    "epoch": work.epoch,
                    "past": list(map(name_of, work.past_owners)),
                    "keepers": list(map(name_of, self.core.replicas_of(id))),
                    "class": session.class_name,
                    "title": session.title,
                    "session": session.session_id,
                    "box": server_name,
                    "mine": id in self.core.owned,
                }
        return {
            "found": False,
            "keepers": sorted({name_of(x) for id in ids for x in self.core.replicas_of(id)}),
        }

    # Events of the membership

    def _on_membership_event(self, event: Event) -> None:
        if isinstance(event, MemberChanged | IncarnationVoided):
            self._members_changed = True

    def _receive(self, message: ComponentMessageReceived) -> None:
        record = self.members.membership.table.records.get(message.name)
        member = Member(message.name, message.run, "" if record is None else record.site)
        try:
            self._act(self.core.receive(self.clock.now(), member, message.body))
        except MessageError as error:
            self.members.report_trouble(error.kind, message.name, str(error))

    def _tick(self) -> None:
        now, members = self.clock.now(), self.members.membership
        if members.joined and (self._members_changed or now - self._members_updated_ms >= MEMBERS_UPDATE_MS):
            self._members_changed, self._members_updated_ms = False, now
            alive = {
                Member(x.name, x.run, x.site): x
                for x in members.table.records.values()
                if x.state is MemberState.ALIVE
            }
            spare_capacity = {x.member_id: self._spare_capacity(record.facts) for x, record in alive.items()}
            self.core.update_members(
                {x: record.incarnation for x, record in alive.items()},
                members.had_earlier_run,
                spare_capacity,
            )
        self._act(self.core.tick(now))
        for id, (attempt, answer) in list(self._unconfirmed_answers.items()):
            request = attempt.request
            if request.attempt is not attempt or request.state is not State.OPEN:
                del self._unconfirmed_answers[id]
            elif self.core.may_act(id, now):
                del self._unconfirmed_answers[id]
                self.router.answered(attempt, answer)

    @staticmethod
    def _spare_capacity(facts: bytes) -> float:
        try:
            values = msgspec.msgpack.decode(facts) if facts else {}
            return float(values.get("capacity", 1) - values.get("load", 0) - values.get("open", 0))
        except (msgspec.MsgspecError, AttributeError, TypeError):
            return 1.0

    # Calls to the ownership core, and its actions

    def _act(self, actions: list[model.Action]) -> None:
        for action in actions:
            match action:
                case model.Send(to, body):
                    self.members.send_component_message(to.name, to.run, self.key, body)
                case model.Answer(number, verdict, work):
                    call = self._calls.pop(number, None)
                    if call is not None:
                        call(verdict, work)
                case model.Acquired(id, work, previous):
                    self._on_acquired(id, work, previous)
                case model.OwnershipLost(id, _, final):
                    self._on_ownership_lost(id, final)
                case model.Replicated(id, phase):
                    if phase is Phase.STANDS:
                        self._send_answer(id)
                    self._send_release(id)
                case model.Closed(id):
                    self._send_release(id)
                case Persist():
                    if self.replica_store is not None:
                        self.replica_store.put(action)
                case model.LogMessage(text):
                    self.log.info("{name}: custody: {text}", name=self.members.name, text=text)
        if self.core.has_outgoing:
            self._flush_soon()

    def _flush_soon(self) -> None:
        if self._flush_timer is None:
            self._flush_timer = self.deadlines.after(FLUSH_DELAY_MS, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        unclaimed, self._unclaimed = self._unclaimed, {}
        for request in unclaimed.values():
            if request.state is not State.OVER:
                self._claim_deferrable(request)
        self._act(self.core.flush(self.clock.now()))

    def _add_call(self, call: Callable[[Verdict, Work | None], None]) -> int:
        self._last_call_number += 1
        self._calls[self._last_call_number] = call
        return self._last_call_number

    def claim(
        self,
        id: str,
        paid: bool,
        session: ReplicatedSession,
        timeout_ms: float,
        owned_deadline_ms: float,
        call: Callable[[Verdict, Work | None], None],
        deferrable: bool = False,
    ) -> None:
        """Claims a record for this router; `call` gets the verdict and the record's value.

        `timeout_ms`: for the replicas to answer.  Where another router owns the record, it has until
        `owned_deadline_ms`, by the router's clock, to hand it over.  `deferrable`: the viewer does not wait
        for the replication.
        """
        now = self.clock.now()
        self._act(
            self.core.claim(
                now,
                self._add_call(call),
                id,
                paid,
                encode(session),
                now + timeout_ms,
                owned_deadline_ms,
                deferrable,
            )
        )

    def find(
        self,
        id: str,
        timeout_ms: float,
        owned_deadline_ms: float,
        call: Callable[[Verdict, Work | None], None],
    ) -> None:
        """Acquires an established session; claims nothing where there is none; answers as `claim` does."""
        now = self.clock.now()
        self._act(self.core.find(now, self._add_call(call), id, now + timeout_ms, owned_deadline_ms))

    def end(self, id: str) -> None:
        """Marks a record as over, which the front has forgotten."""
        self.update_phase(id, Phase.OVER)

    def update_phase(self, id: str, phase: Phase) -> None:
        """Writes a new phase of a record that this router owns; the front's data in it stays as it is."""
        record = self.core.owned.get(id)
        if record is not None:
            self._act(self.core.update(self.clock.now(), id, phase, record.work.body))

    def _update(self, id: str, phase: Phase, session: ReplicatedSession) -> None:
        self._act(self.core.update(self.clock.now(), id, phase, encode(session)))

    @staticmethod
    def _record_id(request: Request) -> str:
        return request.set_up.record_id or f"{SESSION_PREFIX}/{request.set_up.session_id}"

    @staticmethod
    def _is_paid(request: Request) -> bool:
        return request.service_class.effect is not Effect.REPEATABLE

    @staticmethod
    def _session_of(request: Request, server: int | None, answer: bytes = b"") -> ReplicatedSession:
        """The replicated description of a request; `server`: where it is or may be established, if any."""
        set_up, session = request.set_up, describe(request.set_up)
        session.rung = request.rung
        if server is not None and server >= 0:
            session.session_id, session.server = set_up.session_id, server
        if len(answer) <= MAX_ANSWER_BYTES and not set_up.record_id:
            session.answer = answer
        return session

    # The core's `OwnershipPort`

    def prepare(self, attempt: Attempt) -> None:
        """Has the attempt sent; a new paid record has to be replicated before, as prepared."""
        request, id = attempt.request, self._record_id(attempt.request)
        session = self._session_of(request, attempt.server)
        if self.core.claim_conflicts(id, encode(session)):
            self.router.conclude_conflict(request)
        elif request.set_up.record_id or id in self.core.owned or attempt.number > 0:
            self._update(
                id, Phase.INTENT, session
            )  # this router owns it: its replicas may get the new server later
            self.router.send(attempt)
        elif not self._is_paid(request):
            self._unclaimed[id] = request  # claimed at the next flush, unless it is over by then
            self._flush_soon()
            self.router.send(attempt)
        else:
            self.claim(
                id,
                True,
                session,
                CLAIM_TIMEOUT_MS,
                attempt.until_ms,
                lambda verdict, work: self._on_prepared(attempt, verdict, work),
            )

    def _on_prepared(self, attempt: Attempt, verdict: Verdict, work: Work | None) -> None:
        request = attempt.request
        if request.attempt is not attempt or request.state is not State.OPEN:
            return
        session = None if work is None else decode(work)
        if verdict is Verdict.NEW:
            self.router.send(attempt)
        elif verdict is Verdict.CONFLICT:
            self.router.conclude_conflict(request)
        elif verdict is Verdict.TAKEN_OVER and session is not None:
            self._adopting = True  # the record is continued; only the request that came for it ends
            try:
                self.router.resume(request, session.server, session.answer)
            finally:
                self._adopting = False
        elif verdict is Verdict.UNREPLICATED and self.site.serve_unreplicated:
            self.remember(self.served_unreplicated, self._record_id(request))
            self.router.send(attempt)
        else:
            self.router.conclude_unsent(request, failed=verdict in (Verdict.FINAL, Verdict.TAKEN_OVER))

    def _on_claimed(self, request: Request, verdict: Verdict, work: Work | None) -> None:
        """Writes the present state of a request that was sent, or established, before its claim succeeded."""
        id = self._record_id(request)
        if verdict not in (Verdict.NEW, Verdict.TAKEN_OVER) or work is None:
            return
        session = decode(work)
        if (
            session is not None
            and session.server >= 0
            and session.server != request.server
            and session.session_id == request.set_up.session_id
            and (request.attempt is None or request.attempt.server != session.server)
        ):
            self.adapters[id[0]].release_leftover(session)  # of an earlier owner's set-up
        if request.state is State.ESTABLISHED:
            self._update(id, Phase.STANDS, self._session_of(request, request.server))
        elif request.state is State.OVER:
            self._update(id, Phase.OVER, self._session_of(request, None))

    def may_write(self, attempt: Attempt) -> bool:
        """Whether to send the attempt: a paid one only while its record is owned, or served unreplicated."""
        request, id = attempt.request, self._record_id(attempt.request)
        if not self._is_paid(request):
            return True
        return (
            self.core.may_act(id, self.clock.now())
            or id not in self.core.owned
            and id in self.served_unreplicated
        )

    def may_establish(self, attempt: Attempt, answer: bytes) -> bool:
        """Whether the session may be established now; otherwise its answer waits for a confirmation."""
        request, id = attempt.request, self._record_id(attempt.request)
        if not self._is_paid(request) or id not in self.core.owned or self.core.may_act(id, self.clock.now()):
            return True
        if len(self._unconfirmed_answers) < MAX_PENDING:
            self._unconfirmed_answers[id] = attempt, answer
        return False

    def established(self, request: Request, answer: bytes) -> None:
        """Writes the record and answers the client, for paid work once it is replicated, or after a while."""
        id, session = self._record_id(request), self._session_of(request, request.server, answer)
        if id not in self.core.owned:
            request.client.served(answer)
            if id not in self.core.acquisitions and id not in self._unclaimed:
                self._claim_deferrable(request)
            return
        if not self._is_paid(request) or len(self._unreplicated_answers) >= MAX_PENDING:
            self._update(id, Phase.STANDS, session)
            request.client.served(answer)
            return
        self._unreplicated_answers[id] = request, answer
        self.deadlines.after(MAX_ANSWER_DELAY_MS, lambda: self._send_answer(id, request))
        self._update(id, Phase.STANDS, session)

    def _claim_deferrable(self, request: Request) -> None:
        server = request.server if request.attempt is None else request.attempt.server
        self.claim(
            self._record_id(request),
            self._is_paid(request),
            self._session_of(request, server),
            CLAIM_TIMEOUT_MS,
            self.clock.now() + CLAIM_TIMEOUT_MS,
            lambda verdict, work: self._on_claimed(request, verdict, work),
            deferrable=True,
        )

    def _send_answer(self, id: str, expected: Request | None = None) -> None:
        waiting = self._unreplicated_answers.get(id)
        if waiting is not None and expected in (None, waiting[0]):
            del self._unreplicated_answers[id]
            waiting[0].client.served(waiting[1])

    def send_answers(self) -> None:
        """Send the answers that wait until their records are replicated, as the process ends."""
        for id in list(self._unreplicated_answers):
            self._send_answer(id)

    def adopted(self, request: Request) -> None:
        """Claims the record of a session that was found playing already, not acquired by its record."""
        if not self._adopting:
            self._claim_deferrable(request)

    def rung_changed(self, request: Request) -> None:
        """Writes the new rung into the record."""
        id = self._record_id(request)
        record = self.core.owned.get(id)
        session = None if record is None else decode(record.work)
        if session is not None:
            session.rung = request.rung
            self._update(id, Phase.STANDS, session)

    def ended(self, request: Request) -> None:
        """Writes how the request ended into the record."""
        if self._adopting:
            return
        id = self._record_id(request)
        self._send_answer(id, request)
        self._unconfirmed_answers.pop(id, None)
        self._unclaimed.pop(id, None)
        record = self.core.owned.get(id)
        self._last_ended = request, record is None or self.core.may_act(id, self.clock.now())
        if record is None or record.hand_over_to:
            return
        if request.server is None and self._is_paid(request) and request.may_have_run:
            phase = Phase.FAILED
        elif request.set_up.record_id and not (request.server is not None and self._is_paid(request)):
            phase = Phase.INTENT  # the play stays, and may be set up again
        else:
            phase = Phase.OVER
        self._update(id, phase, self._session_of(request, request.server if phase is Phase.FAILED else None))

    def release(self, request: Request, cause: Cause) -> None:
        """Has the media server release the session, once it is certain that no other router owns it.

        This router may have been paused or cut off, and not know yet that a successor has taken it over.
        """
        ended_request, confirmed = self._last_ended
        if ended_request is request and confirmed:
            request.servers.release(request, cause)
            return
        self._unconfirmed_releases[self._record_id(request)] = request, cause
        evict_oldest(self._unconfirmed_releases, MAX_PENDING)

    def _send_release(self, id: str) -> None:
        waiting = self._unconfirmed_releases.pop(id, None)
        if waiting is not None:
            waiting[0].servers.release(*waiting)

    # Records that are acquired and lost

    def _on_acquired(self, id: str, work: Work, previous: Work | None) -> None:
        adapter = self.adapters.get(id[0])
        if (
            previous is not None
            and previous.phase is Phase.INTENT
            and previous.owner != work.owner
            or work.phase is Phase.DOOMED
        ):
            leftover = decode(work if previous is None or previous.phase is not Phase.INTENT else previous)
            if leftover is not None and leftover.server >= 0 and adapter is not None:
                adapter.release_leftover(leftover)
        reason = ""
        if work.phase is Phase.STANDS:
            session = decode(work)
            if adapter is None:
                reason = "this router has no such front"
            elif session is None:
                reason = "another version wrote its record"
            elif session.server >= 0 and session.server not in self.router.listings:
                reason = "its media server is not listed"
            elif not adapter.adopt(id, session):
                reason = "no capacity is left, or its title is unknown"
            if reason:
                self.log.warn(
                    "{name}: custody: cannot continue {id} on this router: {reason}",
                    name=self.members.name,
                    id=id,
                    reason=reason,
                )
        abandoned = (
            work.phase is Phase.INTENT
            and not work.paid
            and id not in self.core.acquisitions
            and (adapter is None or not adapter.has_client(id))
        )
        if reason or abandoned:
            self._act(self.core.update(self.clock.now(), id, Phase.OVER, work.body))

    def adopt_session(
        self, set_up: SetUpRequest, session: ReplicatedSession, client: ClientPort, servers: ServerPort
    ) -> Request | None:
        """Registers a session whose record was acquired with the router's core, without another claim.

        For `FrontAdapter.adopt`; None where the class is unknown or the core can't take the session.
        """
        if session.class_name not in self.router.classes:
            return None
        self._adopting = True
        try:
            request = self.router.adopt(set_up, session.server, client, servers)
        finally:
            self._adopting = False
        if request is not None:
            request.rung = session.rung
        return request

    def _on_ownership_lost(self, id: str, final: bool) -> None:
        self._unconfirmed_releases.pop(id, None)
        self._unconfirmed_answers.pop(id, None)
        adapter = self.adapters.get(id[0])
        request = None if adapter is None else adapter.request_of(id)
        if request is not None:
            self._send_answer(id, request)  # a waiting client is still answered by this router
            self.remember(self.handed_over, request.set_up.session_id)
        if adapter is not None:
            adapter.ownership_lost(id)
        if request is not None:
            server = request.server
            self.router.hand_over(request)
            if final and server is not None and adapter is not None:
                adapter.release_leftover(self._session_of(request, server))

    @staticmethod
    def remember(names: OrderedDict[str, None], name: str) -> None:
        """Adds a name to a table of `MAX_REMEMBERED`; the oldest one leaves."""
        names[name] = None
        evict_oldest(names, MAX_REMEMBERED)
