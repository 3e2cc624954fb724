"""Ownership of replicated records as a state machine: events with a time go in, actions come out.  Pure.

Each piece of work is a register that is replicated on several routers.  This router holds replicas of other
routers' records, owns the records that it acts on, and tries to acquire those that its viewers ask for or
whose owner is gone.  See docs/design/custody.md for the guarantees.  Times are ms of the caller's clock.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Mapping
from itertools import islice

import msgspec
from sortedcontainers import SortedDict

from cloverhinge.members.core import evict_oldest
from cloverhinge.ownership import placement, register, wire
from cloverhinge.ownership.model import (
    MAX_RESEND_MS,
    RESEND_MS,
    Acquired,
    Acquisition,
    Action,
    Answer,
    Closed,
    Counters,
    LogMessage,
    OwnedRecord,
    OwnershipLost,
    Peer,
    Replicated,
    Rules,
    Send,
    Stage,
    Verdict,
)
from cloverhinge.ownership.persistence import ReplicaPersistence, StoreState
from cloverhinge.ownership.register import NO_BALLOT, Ballot, Phase, Slot, Work
from cloverhinge.ownership.replica import Replica, next_ballot, prepared_record
from cloverhinge.ownership.replica_sets import ReplicaSetManager
from cloverhinge.ownership.wire import Member, RefusalReason, ReplicaSet, name_of
from cloverhinge.store import NO_MARK, Mark, StoreVerdict

TICK_MS = 25.0  # interval between calls of `tick`; lost messages are sent again after two of them
# The share of a granted lease that its owner relies on: safe while clocks drift apart by less than a tenth.
USABLE_LEASE_SHARE = 0.9
RENEWALS_PER_LEASE = 3.0  # renewals sent during one lease, so that two in a row may be lost
SILENT_AFTER_LEASES = 2.0  # a member that sent nothing for so many leases is left out of the replica set
# Upper bound of the random back-off before a higher ballot; doubled with each retry up to the second figure.
BACKOFF_MS, MAX_BACKOFF_MS = 30.0, 960.0
# An owner that sends no answer for so long is not asked again: the record is free when its lease ends.
HAND_OVER_TIMEOUT_MS = 200.0
HAND_OVER_RETRY_MS = 50.0  # between hand-over requests while the owner's set-up of the record is under way
HOLE_WAIT_MS = 400.0  # for records that may have been lost: time for their owners to write them again
BACKUP_TAKEOVER_DELAY_MS = 1200.0  # after which a second replica takes over what the first one should have
OWNERLESS_SCAN_MS = 250.0  # between scans for records whose owner is gone
TAKEOVERS_PER_TICK = 25  # begun in a tick: a thousand a second
# A replica that holds more of an owner's records than the owner knows of, for so long, is asked to list them.
SURPLUS_QUERY_DELAY_MS = 2000.0
TAKEOVER_TIMEOUT_MS = 5000.0  # of one attempt to take over an ownerless or forgotten record
REWRITES_PER_TICK = 100  # records sent again to their replicas in a tick: 4,000 a second
UNKNOWN_EPOCH = 1 << 32  # epoch of a failure for lost records: above that of any owner that comes back
MAX_OWNED = 65_536  # records owned
MAX_ACQUISITIONS = 4096  # attempts under way
# Hand-overs are sent again until they are acknowledged, or dropped after this time.
MAX_PENDING_HAND_OVERS, HAND_OVER_EXPIRY_MS = 4096, 5000.0
MAX_UNUSED = 4096  # unused prepared records that are remembered; a dropped one counts as acted on
MAX_PENDING_REQUESTS = 8  # lease requests to a peer whose answers still count


class OwnershipCore:
    """One router's side of the ownership protocol: replica, owner and proposer in one.

    Every event method takes the time in ms and returns the actions for the caller to carry out, in order.
    """

    def __init__(
        self,
        own: Member,
        rules: Rules,
        seed: int,
        persistence: ReplicaPersistence | None = None,
        is_same_work: Callable[[bytes, bytes], bool] = lambda body, other: True,
    ) -> None:
        """`persistence`: of this router's store, where it has one; `seed`: of all random draws.

        `is_same_work` tells whether two bodies of records describe the same work.
        """
        self.is_same_work = is_same_work
        self.own, self.rules, self.persistence = own, rules, persistence
        self.own_id = own.member_id
        self.random = random.Random(seed)
        self.replica = Replica(rules.lease_ms, rules.retention_ms)
        self.replica_sets = ReplicaSetManager(own, rules.routers, rules.hole_ms, self.random.getrandbits(62))
        self.peers: dict[str, Peer] = {self.own_id: Peer(own)}
        self.alive: dict[str, Member] = {self.own_id: own}  # as the membership reports them, by member id
        self.runs: dict[str, tuple[int, int]] = {}  # by router name: run and incarnation
        self.earlier_run_known = False
        self.spare_capacity: Mapping[str, float] = {}
        self.owned: dict[str, OwnedRecord] = {}
        self.acquisitions: dict[str, Acquisition] = {}
        self.counters = Counters()
        self.leaving = False
        self._actions: list[Action] = []
        self._outbox: dict[str, list[msgspec.Raw]] = {}
        self._send_now = False
        self._local_items: deque[wire.Items] = deque()
        self._under_replicated: dict[str, None] = {}  # ids of records that some replica lacks, in order
        self._ownerless: SortedDict[tuple[float, str], None] = SortedDict()
        self._queued: set[str] = set()
        self._pending_hand_overs: OrderedDict[str, tuple[str, wire.HandOver, float, float]] = OrderedDict()
        self._unacknowledged_parts: dict[tuple[str, int], tuple[wire.TransferPart, float]] = {}
        self._received_parts: dict[str, set[int]] = {}
        # Number of records owned here, by member id of the replica.
        self._replica_counts: Counter[str] = Counter()
        # Records that were prepared here and given up before the set-up was sent.
        self._unused: OrderedDict[str, None] = OrderedDict()
        self._last_ballot: Ballot = NO_BALLOT
        self._seq = 0
        self._scanned_ms = -1e12
        self._purged = True
        self._reported_stuck = ""
        self._votes_in_set = 0, 0
        self._votes_barrier = (
            0  # rows up to this number are durable before others count on this router's votes
        )
        self._restored_unconfirmed = (
            False  # state was restored, and this run has not entered a replica set yet
        )
        if persistence is not None:
            self.replica.changed_ids = persistence.changed_ids
            self.replica_sets.vote_suspended = not persistence.usable
            if persistence.unusable_reason:
                self._actions.append(LogMessage(f"keeps nothing for others: {persistence.unusable_reason}"))

    # Queries

    def may_act(self, id: str, now: float) -> bool:
        """Whether this router owns the record now, under running leases of a majority of its replicas.

        Not while it prepares another ballot for the record: its lease does not protect the value meanwhile.
        """
        record = self.owned.get(id)
        if record is None or record.work.owner != self.own_id or id in self.acquisitions:
            return False
        leased = sum(1 for x in record.holders if self.peers[x].lease_until_ms > now)
        return leased >= register.majority(len(record.replicas))

    def known_work(self, id: str) -> Work | None:
        """The record's value, as its owner or a replica here knows it; None where neither has it."""
        if id in self.owned:
            return self.owned[id].work
        slot = self.replica.slots.get(id)
        return None if slot is None else slot.work

    def replicas_of(self, id: str) -> tuple[str, ...]:
        """Member ids of the record's replicas in the current replica set; empty where there is none."""
        replica_set = self.replica_sets.current
        return (
            ()
            if replica_set is None
            else placement.choose_replicas(id, replica_set.members, self.rules.tolerated_losses + 1)
        )

    @property
    def idle(self) -> bool:
        """Whether no hand-over is pending and no record is being handed over."""
        return not self._pending_hand_overs and not any(x.hand_over_to for x in self.owned.values())

    # Events

    def update_members(
        self, members: Mapping[Member, int], earlier_run_known: bool, spare_capacity: Mapping[str, float]
    ) -> None:
        """Applies a changed membership, or changed spare capacities.

        `members` maps each living member to its incarnation; `earlier_run_known`: others remember an earlier
        run of this router's name; `spare_capacity`: by member id.
        """
        self.alive = {x.member_id: x for x in members}
        self.runs = {x.name: (x.run, incarnation) for x, incarnation in members.items()}
        self.earlier_run_known, self.spare_capacity = earlier_run_known, spare_capacity
        for member_id, member in self.alive.items():
            if member_id not in self.peers:
                self.peers[member_id] = Peer(member)
        replica_set = self.replica_sets.current
        named = (
            set()
            if replica_set is None
            else {x.member_id for x in (*replica_set.members, *replica_set.sources)}
        )
        for member_id in [
            x for x in self.peers if x not in self.alive and x not in named and x != self.own_id
        ]:
            del self.peers[member_id]
            for record in self.owned.values():
                record.written.discard(member_id)
                record.holders.discard(member_id)

    def on_durable(self, now: float, number: int, mark: Mark) -> list[Action]:
        """Releases what waited for the rows up to that number, which are on the disk now."""
        if self.persistence is not None:
            for member_id, item, deferrable in self.persistence.on_durable(number, mark):
                self._queue_item(member_id, item, deferrable)
        return self._take_actions(now)

    def on_store_failure(self, now: float, reason: str) -> list[Action]:
        """Stops holding replicas after a failure of the store; messages that waited for it are never sent."""
        if self.persistence is not None and self.persistence.state is not StoreState.OUT:
            self.persistence.fail(reason)
            self.replica_sets.vote_suspended = True
            self._actions.append(LogMessage(f"keeps nothing for others: {reason}"))
            self._request_leases(now, at_once=True)
        return self._take_actions(now)

    def tick(self, now: float) -> list[Action]:
        """Does what is due: leases, replica sets, retries, take-overs.  To be called every `TICK_MS`."""
        self.replica.expire(now)
        self._check_store(now)
        self._send_now = bool(self._outbox)
        self._request_leases(now)
        self._update_replica_set(now)
        for id in [x.id for x in self.acquisitions.values()]:
            if id in self.acquisitions:
                self._step(now, self.acquisitions[id])
        self._rewrite_records(now)
        self._scan_ownerless(now)
        for id, (to, hand_over, sent, expires_ms) in list(self._pending_hand_overs.items()):
            if now >= expires_ms or to not in self.alive:
                del self._pending_hand_overs[id]
            elif now - sent >= 2 * RESEND_MS:
                self._pending_hand_overs[id] = to, hand_over, now, expires_ms
                self._send_item(to, hand_over)
        for (member_id, part), (transfer, sent) in list(self._unacknowledged_parts.items()):
            if member_id in self.alive and now - sent >= 4 * RESEND_MS:
                self._unacknowledged_parts[member_id, part] = transfer, now
                self._send_item(member_id, transfer)
        return self._take_actions(now)

    def claim(
        self,
        now: float,
        number: int,
        id: str,
        paid: bool,
        body: bytes,
        deadline_ms: float,
        owned_deadline_ms: float,
        deferrable: bool = False,
    ) -> list[Action]:
        """A viewer asks for the record; `deferrable`: the viewer does not wait for its replication.

        An `Answer` to call `number` follows: at once where this router owns the record, by
        `owned_deadline_ms` where another router owns it, otherwise by `deadline_ms`.
        """
        record = self.owned.get(id)
        attempt = self.acquisitions.get(id)
        if (
            record is not None
            and self._conflicts(record.work, body)
            or attempt is not None
            and attempt.callers
            and not self.is_same_work(attempt.proposed.body, body)
        ):
            self._actions.append(Answer(number, Verdict.CONFLICT, None))
            return self._take_actions(now)
        if record is not None and not record.hand_over_to and attempt is None:
            verdict = Verdict.TAKEN_OVER if record.work.phase is Phase.STANDS else Verdict.NEW
            if record.work.phase in (Phase.STANDS, Phase.INTENT):
                self._actions.append(Answer(number, verdict, record.work))
                return self._take_actions(now)
        if attempt is not None:
            attempt.join(number, deadline_ms, owned_deadline_ms)
            if attempt.reason in ("orphan", "mine", "find"):
                attempt.reason, attempt.proposed = "claim", prepared_record(self.own_id, paid, body)
        elif len(self.acquisitions) >= MAX_ACQUISITIONS or len(self.owned) >= MAX_OWNED:
            self.counters.unkept += 1
            self._actions.append(Answer(number, Verdict.UNREPLICATED, None))
        else:
            self._unqueue(id)
            seen = NO_BALLOT if record is None else record.ballot
            self._start(
                now,
                Acquisition(
                    id,
                    "claim",
                    prepared_record(self.own_id, paid, body),
                    deadline_ms,
                    owned_deadline_ms,
                    [number],
                    True,
                    highest_seen=seen,
                    deferrable=deferrable,
                ),
            )
        return self._take_actions(now)

    def _conflicts(self, work: Work | None, body: bytes) -> bool:
        """Whether a claim is for other work than the record that has its id.

        Repeatable work that is over leaves its id free.
        """
        if work is None or not (work.paid or register.active_owner(work)):
            return False
        return not self.is_same_work(work.body, body)

    def claim_conflicts(self, id: str, body: bytes) -> bool:
        """Whether a claim would be for other work than the record, as far as this router knows the record."""
        return self._conflicts(self.known_work(id), body)

    def find(
        self, now: float, number: int, id: str, deadline_ms: float, owned_deadline_ms: float
    ) -> list[Action]:
        """Acquires an established session for a viewer; claims nothing where there is none.

        Answers as `claim` does.
        """
        attempt = self.acquisitions.get(id)
        if attempt is not None:
            attempt.join(number, deadline_ms, owned_deadline_ms)
        elif len(self.acquisitions) >= MAX_ACQUISITIONS:
            self._actions.append(Answer(number, Verdict.UNREPLICATED, None))
        else:
            self._unqueue(id)
            empty = Work(self.own_id, 1, Phase.INTENT, False)
            self._start(now, Acquisition(id, "find", empty, deadline_ms, owned_deadline_ms, [number], False))
        return self._take_actions(now)

    def update(self, now: float, id: str, phase: Phase, body: bytes) -> list[Action]:
        """Writes a changed record that this router owns; does nothing where it does not own it any more."""
        record = self.owned.get(id)
        if record is not None and not record.hand_over_to and register.active_owner(record.work):
            work = msgspec.structs.replace(record.work, phase=phase, body=body)
            if work != record.work:
                self._write_record(now, record, work)
                if self.leaving:
                    self._hand_over_on_leave(now, id)
        return self._take_actions(now)

    def leave(self, now: float) -> list[Action]:
        """Begins a planned shutdown: hands each session to a router drawn in proportion to spare capacity."""
        self.leaving = True
        self._request_leases(now, at_once=True)
        for id in list(self.owned):
            self._hand_over_on_leave(now, id)
        return self._take_actions(now)

    def _hand_over_on_leave(self, now: float, id: str) -> None:
        record, others = (
            self.owned[id],
            [x for x in self.alive if x != self.own_id and self._takes_part(x, now)],
        )
        if others and record.work.phase is Phase.STANDS and not record.hand_over_to:
            self._start_hand_over(now, record, placement.choose_successor(id, others, self.spare_capacity))

    def _start_hand_over(self, now: float, record: OwnedRecord, to: str) -> None:
        self._actions.append(OwnershipLost(record.id, to))
        record.hand_over_to = to
        self._write_record(now, record, register.with_next_owner(record.work, to))

    def receive(self, now: float, member: Member, data: bytes) -> list[Action]:
        """Handles a message from another router.  Raises MessageError where it cannot be decoded.

        The message is ignored where its sender is new and the table of peers is full.
        """
        message = wire.decode(data)
        member_id = member.member_id
        peer = self.peers.get(member_id)
        if peer is None:
            if len(self.peers) >= 2 * wire.MAX_MEMBERS:
                return []
            peer = self.peers[member_id] = Peer(member)
        peer.received_ms, peer.lineage, peer.number = now, message.lineage, message.number
        if (
            self.persistence is not None
            and (
                answer := self.persistence.note_mark(member.name, Mark(message.generation, message.position))
            )
            is not None
        ):
            self._send_item(member_id, answer)
        for item in message.items:
            self._handle(now, member_id, item, (message.lineage, message.number))
        return self._take_actions(now)

    # Messages

    def _send_item(self, member_id: str, item: wire.Items, deferrable: bool = False) -> None:
        """`deferrable`: nobody waits for the message, so that it may be batched with later ones."""
        if self.persistence is None or not self.persistence.hold_back(
            member_id, item, deferrable, self.replica_sets.vote_state
        ):
            self._queue_item(member_id, item, deferrable)

    def _queue_item(self, member_id: str, item: wire.Items, deferrable: bool) -> None:
        if member_id == self.own_id:
            self._local_items.append(item)
        else:
            self._outbox.setdefault(member_id, []).append(wire.pack(item))
            self._send_now = self._send_now or not deferrable

    @property
    def has_outgoing(self) -> bool:
        """Whether messages wait for the next `flush`."""
        return bool(self._outbox)

    def flush(self, now: float) -> list[Action]:
        """Sends all messages that wait."""
        self._send_now = True
        return self._take_actions(now)

    def _take_actions(self, now: float) -> list[Action]:
        while self._local_items:
            self._handle(now, self.own_id, self._local_items.popleft(), self._set_id)
        if self.persistence is not None:
            rows = self.persistence.take_rows(now, self.replica, self.replica_sets.vote_state)
            if rows is not None:
                self._actions.append(rows)
        if self._send_now:
            self._send_now = False
            self._encode_outbox()
        done, self._actions = self._actions, []
        return done

    def _encode_outbox(self) -> None:
        lineage, number = self._set_id
        outbox, self._outbox = self._outbox, {}
        mark = NO_MARK if self.persistence is None else self.persistence.outgoing_mark
        for member_id, items in outbox.items():
            peer = self.peers.get(member_id)
            if peer is None:
                continue
            for batch in wire.batches(items, lambda x: len(bytes(x)), wire.MAX_BATCH_BYTES):
                self._actions.append(Send(peer.member, wire.encode(lineage, number, batch, mark)))

    @property
    def _set_id(self) -> tuple[int, int]:
        return self.replica_sets.lineage, self.replica_sets.number

    def _handle(self, now: float, member_id: str, item: wire.Items, replica_set: tuple[int, int]) -> None:
        match item:
            case wire.Prepare() | wire.Write():
                self._send_item(
                    member_id,
                    self._answer_as_replica(now, member_id, item, replica_set),
                    isinstance(item, wire.Write) and item.deferrable,
                )
            case wire.Promised():
                self._on_promised(now, member_id, item)
            case wire.Written():
                self._on_written(now, member_id, item)
            case wire.Refused():
                self._on_refused(now, member_id, item)
            case wire.LeaseRequest():
                self._on_lease_request(now, member_id, item, replica_set)
            case wire.LeaseGranted():
                self._on_lease_granted(now, member_id, item)
            case wire.LeaseLapsed():
                self._on_lease_lapsed(now, member_id, item)
            case wire.ReplicaSetPrepare():
                self._reply(member_id, self.replica_sets.on_prepare(now, item))
            case wire.ReplicaSetWrite():
                self._reply(member_id, self.replica_sets.on_write(item))
            case wire.ReplicaSetPromised():
                for to, ask in self.replica_sets.on_promised(now, member_id, item, self.runs):
                    self._send_item(to, ask)
            case wire.ReplicaSetWritten():
                decided = self.replica_sets.on_written(member_id, item, self.runs)
                if decided is not None:
                    self._enter_replica_set(now, decided)
            case wire.ReplicaSetRefused():
                self.replica_sets.on_refused(now, item)
            case wire.ReplicaSetAnnouncement():
                self._on_announcement(now, member_id, item.replica_set)
            case wire.TransferPart():
                self._on_transfer_part(now, member_id, item, replica_set)
            case wire.TransferAck():
                if item.number == self.replica_sets.number:
                    self._unacknowledged_parts.pop((member_id, item.part), None)
            case wire.HandOverRequest():
                self._on_hand_over_request(now, member_id, item)
            case wire.HandOver():
                self._on_hand_over(now, member_id, item)
            case wire.HandOverRefused():
                self._on_hand_over_refused(now, item)
            case wire.Withdraw():
                self.replica.withdraw(now, item)
            case wire.StoreClaim():
                self._send_item(
                    member_id,
                    (self.persistence or ReplicaPersistence(self.own)).answer_claim(name_of(member_id), item),
                )
            case wire.StoreClaimAnswer():
                self._on_store_claim_answer(now, name_of(member_id), item)
            case wire.LeaseNotGranted():
                self._confirm_request(member_id, item.seq)
            case wire.OwnedRecordsQuery():
                self._on_owned_records_query(member_id, item.after)
            case wire.OwnedRecordsPage():
                self._on_owned_records_page(now, member_id, item)
            case wire.HandOverAck():
                pending = self._pending_hand_overs.get(item.id)
                if pending is not None and pending[0] == member_id and pending[1].ballot == item.ballot:
                    del self._pending_hand_overs[item.id]

    def _reply(self, member_id: str, item: wire.Items | None) -> None:
        if item is not None:
            self._send_item(member_id, item)

    # State restored from the store

    def _check_store(self, now: float) -> None:
        claim = None if self.persistence is None else self.persistence.due_claim(now)
        if claim is None or self.persistence is None or self.persistence.judge is None:
            return
        judge = self.persistence.judge
        for member_id in self.alive:
            if member_id != self.own_id and name_of(member_id) not in judge.answers:
                self._send_item(member_id, claim)
        if judge.verdict is not StoreVerdict.WAITING:
            self._conclude_store_check(now, judge.verdict)

    def _on_store_claim_answer(self, now: float, name: str, answer: wire.StoreClaimAnswer) -> None:
        if self.persistence is None:
            return
        verdict = self.persistence.on_claim_answer(name, answer)
        if verdict is not StoreVerdict.WAITING:
            self._conclude_store_check(now, verdict, name)

    def _conclude_store_check(self, now: float, verdict: StoreVerdict, by: str = "") -> None:
        """Loads the restored state where the store proved to be whole, or discards it."""
        assert self.persistence is not None
        restored = self.persistence.conclude(verdict is StoreVerdict.WHOLE)
        self.replica_sets.vote_suspended = False
        if restored is not None:
            self.replica.load(now, restored.slots)
            self.persistence.changed_ids.clear()  # they are on the disk already
            self.replica_sets.representatives = dict.fromkeys(self.persistence.runs, self.own)
            self.replica_sets.restore(now, restored.vote_state)
            self._restored_unconfirmed = True
            self._actions.append(
                LogMessage(
                    f"its store is complete: {len(restored.slots)} records, replica set "
                    f"{self.replica_sets.number}"
                )
            )
        else:
            self._actions.append(
                LogMessage(f"its store is older than what {by} has received from it, and is discarded")
            )
        self._request_leases(now, at_once=True)

    # Leases

    def _request_leases(self, now: float, at_once: bool = False) -> None:
        """Requests a lease from each alive member whose last request is old enough, or (`at_once`) from all.

        Members that hold no replica of this router's records learn by it that this router takes part.
        """
        for member_id in self.alive:
            peer = self.peers[member_id]
            if at_once or now - peer.requested_ms >= self.rules.lease_ms / RENEWALS_PER_LEASE:
                self._request_lease(now, peer)

    def _request_lease(self, now: float, peer: Peer) -> None:
        self._seq += 1
        peer.requested_ms = now
        peer.pending_requests[self._seq] = now
        evict_oldest(peer.pending_requests, MAX_PENDING_REQUESTS)
        earlier_run_known, store_state, represented_runs = (
            self.earlier_run_known,
            StoreState.FORGOT,
            tuple[str, ...](),
        )
        if self.persistence is not None:
            store_state, replica_set = self.persistence.announced_state, self.replica_sets.current
            earlier_run_known = earlier_run_known or store_state in (StoreState.JUDGING, StoreState.WHOLE)
            named = (
                ()
                if replica_set is None
                else {x.member_id for x in (*replica_set.members, *replica_set.sources)}
            )
            represented_runs = tuple(x for x in self.persistence.runs if x in named and x != self.own_id)
        self._send_item(
            peer.member.member_id,
            wire.LeaseRequest(
                self._seq,
                peer.generation,
                self._vote_counts,
                earlier_run_known,
                self.leaving,
                int(store_state),
                represented_runs,
            ),
        )

    def _on_lease_request(
        self, now: float, member_id: str, request: wire.LeaseRequest, set_id: tuple[int, int]
    ) -> None:
        peer = self.peers[member_id]
        peer.votes, peer.earlier_run_known, peer.leaving = (
            request.votes,
            request.earlier_run_known,
            request.leaving,
        )
        peer.store_state, peer.represented_runs = StoreState(request.store_state), request.represented_runs
        if member_id == self.own_id:
            peer.received_ms, (peer.lineage, peer.number) = now, set_id
        current = self.replica_sets.current
        if (
            current is not None
            and set_id != self._set_id
            and (set_id[0] != current.lineage or set_id[1] < current.number)
        ):
            self._send_item(member_id, wire.ReplicaSetAnnouncement(current))
        if self.replica_sets.active and self._majority_reachable(now):
            if self.replica.renew_lease(now, member_id, request.generation):
                record_count = len(self.replica.ids_by_owner.get(member_id, ()))
                self._send_item(member_id, wire.LeaseGranted(request.seq, request.generation, record_count))
            else:
                self._send_item(member_id, wire.LeaseLapsed(request.seq, self.replica.generation(member_id)))
        else:
            self._send_item(member_id, wire.LeaseNotGranted(request.seq))

    def _confirm_request(self, member_id: str, seq: int) -> float | None:
        """Returns when the answered request was sent, if it still counts: both directions worked since."""
        peer = self.peers[member_id]
        sent = peer.pending_requests.pop(seq, None)
        if sent is not None:
            peer.confirmed_ms = max(peer.confirmed_ms, sent)
        return sent

    def _on_lease_granted(self, now: float, member_id: str, granted: wire.LeaseGranted) -> None:
        peer, sent = self.peers[member_id], self._confirm_request(member_id, granted.seq)
        if sent is not None and granted.generation == peer.generation:
            peer.lease_until_ms = max(peer.lease_until_ms, sent + USABLE_LEASE_SHARE * self.rules.lease_ms)
        if granted.record_count <= self._replica_counts[member_id]:
            peer.surplus_since_ms = None
        elif peer.surplus_since_ms is None:
            peer.surplus_since_ms = now
        elif now - peer.surplus_since_ms >= SURPLUS_QUERY_DELAY_MS:
            peer.surplus_since_ms = now
            self._send_item(member_id, wire.OwnedRecordsQuery(peer.listed_up_to))

    def _on_owned_records_query(self, member_id: str, after: str) -> None:
        ids = sorted(x for x in self.replica.ids_by_owner.get(member_id, ()) if x > after)
        self._send_item(
            member_id, wire.OwnedRecordsPage(ids[: wire.MAX_LISTED_IDS], len(ids) <= wire.MAX_LISTED_IDS)
        )

    def _on_owned_records_page(self, now: float, member_id: str, page: wire.OwnedRecordsPage) -> None:
        """Acquires the listed records that are not known to be owned here, as where a hand-over was lost."""
        peer = self.peers[member_id]
        peer.listed_up_to = "" if page.last or not page.ids else page.ids[-1]
        if not page.last:
            peer.surplus_since_ms = now - SURPLUS_QUERY_DELAY_MS
        for id in page.ids:
            if (
                id not in self.owned
                and id not in self.acquisitions
                and id not in self._pending_hand_overs
                and len(self.acquisitions) < MAX_ACQUISITIONS // 2
            ):
                empty = Work(self.own_id, 1, Phase.INTENT, False)
                self._start(
                    now,
                    Acquisition(
                        id, "mine", empty, now + TAKEOVER_TIMEOUT_MS, now + TAKEOVER_TIMEOUT_MS, [], False
                    ),
                )

    def _on_lease_lapsed(self, now: float, member_id: str, lapsed: wire.LeaseLapsed) -> None:
        """Writes all records again to a replica that another router may have written to meanwhile."""
        peer = self.peers[member_id]
        if self._confirm_request(member_id, lapsed.seq) is None or lapsed.generation <= peer.generation:
            return
        peer.generation, peer.lease_until_ms = lapsed.generation, -1e12
        for record in self.owned.values():
            if member_id in record.replicas:
                record.written.discard(member_id)
                record.holders.discard(member_id)
                self._under_replicated[record.id] = None
                record.sent_ms, record.resend_after_ms = -1e12, RESEND_MS
        self._request_lease(now, peer)

    # Replica sets

    def _takes_part(self, member_id: str, now: float) -> bool:
        peer = self.peers.get(member_id)
        if (
            peer is None
            or member_id not in self.alive
            or peer.leaving
            or peer.store_state in (StoreState.JUDGING, StoreState.OUT)
        ):
            return False
        return member_id == self.own_id or now - peer.received_ms < SILENT_AFTER_LEASES * self.rules.lease_ms

    def _update_replica_set(self, now: float) -> None:
        wanted = (
            ()
            if self.leaving
            else tuple(sorted(x for member_id, x in self.alive.items() if self._takes_part(member_id, now)))
        )
        earlier_run_known = any(self.peers[x.member_id].earlier_run_known for x in wanted)
        fresh = (
            not earlier_run_known
            and self.persistence is None
            or len(wanted) >= self.rules.routers
            and all(self.peers[x.member_id].lineage == 0 for x in wanted)
        )
        present = [
            (x, self.peers[member_id]) for member_id, x in self.alive.items() if member_id in self.peers
        ]
        own_runs = (
            ()
            if self.persistence is None or self.persistence.state is not StoreState.WHOLE
            else self.persistence.runs
        )
        self.replica_sets.representatives = dict.fromkeys(own_runs, self.own) | {
            run: x
            for x, peer in present
            if peer.store_state is StoreState.WHOLE
            for run in peer.represented_runs
        }
        self.replica_sets.forgetful_runs = frozenset(
            x.member_id for x, peer in present if peer.store_state is StoreState.FORGOT
        )
        for to, item in self.replica_sets.tick(
            now, wanted, self.runs, self._settled, fresh, earlier_run_known
        ):
            self._send_item(to, item)
        if self.replica_sets.active and self._votes_in_set != self._set_id:
            self._votes_in_set = self._set_id
            self._votes_barrier = (
                0 if self.persistence is None else self.persistence.barrier(self.replica_sets.vote_state)
            )
            self._actions.append(LogMessage(f"votes in roster {self.replica_sets.number}"))
        if self.replica_sets.stuck_reason != self._reported_stuck:
            self._reported_stuck = self.replica_sets.stuck_reason
            self._actions.append(
                LogMessage(self._reported_stuck or "enough routers are present to replicate work")
            )
        if self._settled:
            self.replica_sets.settled = True
        if not self._purged and self._settled:
            self._purged = True
            for id in [x for x in self.replica.slots if self.own_id not in self.replicas_of(x)]:
                self.replica.forget(id)

    @property
    def _vote_counts(self) -> bool:
        """Whether others may count on this router's votes: the state that it received for them is durable."""
        return (
            self.replica_sets.active
            and self._votes_in_set == self._set_id
            and (
                self.persistence is None
                or self.persistence.durable_number >= self._votes_barrier
                and self.persistence.usable
            )
        )

    @property
    def _settled(self) -> bool:
        """Whether all members of the replica set are known to vote in it."""
        replica_set = self.replica_sets.current
        return (
            self.replica_sets.settled
            or replica_set is not None
            and all(
                self._vote_counts
                if x.member_id == self.own_id
                else (peer := self.peers.get(x.member_id)) is not None
                and peer.votes
                and (peer.lineage, peer.number) == self._set_id
                for x in replica_set.members
            )
        )

    def _on_announcement(self, now: float, member_id: str, replica_set: ReplicaSet) -> None:
        if self.persistence is not None and self.persistence.state is StoreState.JUDGING:
            return
        if self.replica_sets.is_newer(replica_set):
            self._enter_replica_set(now, replica_set)
        elif (
            (current := self.replica_sets.current) is not None
            and replica_set.lineage != current.lineage
            and (
                self.replica_sets.stuck_reason
                or not self.replica_sets.is_member
                or not self._majority_in_lineage(now)
            )
            and self.peers[member_id].votes
        ):
            # The majority of its own replica set is gone for good, and others founded a new one: joins them.
            self._actions.append(
                LogMessage("joins routers that founded a new replica set: its own replicas are discarded")
            )
            self.replica.forget_all()
            self._enter_replica_set(now, replica_set)
            for record in self.owned.values():
                self._reacquire(now, record)

    def _majority_in_lineage(self, now: float) -> bool:
        """Whether most members of this router's replica set are still of its lineage."""
        replica_set = self.replica_sets.current
        return replica_set is not None and 2 * sum(
            x.member_id == self.own_id
            or self._takes_part(x.member_id, now)
            and self.peers[x.member_id].lineage == replica_set.lineage
            for x in replica_set.members
        ) > len(replica_set.members)

    def _enter_replica_set(self, now: float, replica_set: ReplicaSet) -> None:
        self.replica_sets.enter(now, replica_set)
        self.replica.enter_replica_set(replica_set.number)
        if self._restored_unconfirmed and not self.replica_sets.is_source:
            # The others continued without this router: records that expired there must not be restored.
            self.replica.forget_all()
        self._restored_unconfirmed = False
        self._unacknowledged_parts.clear()
        self._received_parts.clear()
        self._purged = False
        names = ", ".join(x.name for x in replica_set.members)
        missing = f"; {len(replica_set.holes)} holes" if replica_set.holes else ""
        self._actions.append(LogMessage(f"roster {replica_set.number}: {names}{missing}"))
        for member in (*replica_set.members, *replica_set.sources):
            if member.member_id not in self.peers:
                self.peers[member.member_id] = Peer(member)
        if self.replica_sets.is_source:
            self._send_transfer(now, replica_set)
        for record in self.owned.values():
            self._replica_counts.subtract(record.replicas)
            record.replicas, record.written, record.holders = self.replicas_of(record.id), set(), set()
            self._replica_counts.update(record.replicas)
            record.sent_ms, record.resend_after_ms = -1e12, RESEND_MS
            self._under_replicated[record.id] = None
        for attempt in self.acquisitions.values():
            attempt.stage, attempt.next_ms, attempt.may_claim = Stage.WAIT, now, False
        for record in list(self.owned.values()):
            if any(
                placement.may_be_lost(record.id, record.ballot[0], x, self.rules.tolerated_losses + 1)
                for x in replica_set.holes
            ):
                # Newer writes may have been lost: it is owned under a new term, or not at all.
                self._reacquire(now, record)
        # Each router that enters a replica set announces it, first the router that completed the vote.
        for member in replica_set.members:
            if member.member_id != self.own_id:
                self._send_item(member.member_id, wire.ReplicaSetAnnouncement(replica_set))
        for peer in self.peers.values():
            if peer.member.member_id in self.alive:
                self._request_lease(now, peer)

    def _send_transfer(self, now: float, replica_set: ReplicaSet) -> None:
        """Sends the replicas held here to the members that hold them from now on."""
        ids_by_member: dict[str, list[str]] = {x.member_id: [] for x in replica_set.members}
        for id in self.replica.slots:
            for member_id in self.replicas_of(id):
                ids_by_member[member_id].append(id)
        leases = [(owner, self.replica.lease_left_ms(owner, now)) for owner in self.replica.lease_ends_ms]
        leases = [x for x in leases if x[1] > 0.0]
        for member_id, ids in ids_by_member.items():
            if member_id == self.own_id:
                self.replica_sets.source_completed(now, member_id)
                continue
            parts = list(
                wire.batches(self.replica.export_slots(ids), wire.size, wire.MAX_TRANSFER_BYTES)
            ) or [[]]
            for part, slots in enumerate(parts):
                transfer = wire.TransferPart(replica_set.number, part, len(parts), slots, leases)
                self._unacknowledged_parts[member_id, part] = transfer, now
                self._send_item(member_id, transfer)

    def _on_transfer_part(
        self, now: float, member_id: str, transfer: wire.TransferPart, set_id: tuple[int, int]
    ) -> None:
        if set_id[0] != self.replica_sets.lineage or transfer.number > self.replica_sets.number:
            return  # the part is sent again until this router knows that replica set
        self._send_item(member_id, wire.TransferAck(transfer.number, transfer.part))
        if transfer.number < self.replica_sets.number or self.replica_sets.active:
            return
        self.replica.merge_transfer(now, transfer.slots, transfer.leases)
        received = self._received_parts.setdefault(member_id, set())
        received.add(transfer.part)
        if len(received) == transfer.parts:
            self.replica_sets.source_completed(now, member_id)
            if self.replica_sets.active:
                self._request_leases(now, at_once=True)

    # Replicating

    def _majority_reachable(self, now: float) -> bool:
        """Whether most members of the replica set have answered lately.

        Otherwise the others may form the next replica set without this router, and answer for the records
        that it replicates.  After a network partition they do so only later than this turns false.
        """
        replica_set = self.replica_sets.current
        if replica_set is None:
            return False
        reachable = sum(
            x.member_id == self.own_id
            or now - self.peers[x.member_id].confirmed_ms < SILENT_AFTER_LEASES * self.rules.lease_ms
            for x in replica_set.members
        )
        return 2 * reachable > len(replica_set.members)

    def _answer_as_replica(
        self,
        now: float,
        member_id: str,
        item: wire.Prepare | wire.Write,
        set_id: tuple[int, int],
    ) -> wire.Items:
        """Answers a prepare or write request; refuses where this router does not vote on records now."""
        active_since_ms = self.replica_sets.active_since_ms
        if (
            set_id != self._set_id
            or active_since_ms is None
            or not self._majority_reachable(now)
            or self.replica_sets.vote_suspended
        ):
            return wire.Refused(item.id, item.ballot, RefusalReason.REPLICA_SET)
        written_counter = self.replica.slots.get(item.id, register.EMPTY_SLOT).accepted[0]
        hole = any(
            placement.may_be_lost(item.id, written_counter, x, self.rules.tolerated_losses + 1)
            for x in self.replica_sets.holes
        )
        if isinstance(item, wire.Write):
            return self.replica.write(now, member_id, item, hole)
        if hole and now - active_since_ms < HOLE_WAIT_MS:
            # The record may have been lost, and its owner may still write it again: refused as by a replica
            # that does not vote yet, so that the proposer tries again later.
            return wire.Refused(item.id, item.ballot, RefusalReason.REPLICA_SET)
        return self.replica.prepare(now, member_id, item, hole)

    # Owning

    def _take_ownership(self, now: float, attempt: Acquisition) -> None:
        work = attempt.work
        assert work is not None
        record = OwnedRecord(attempt.id, work, attempt.ballot, attempt.ballot, attempt.replicas, sent_ms=now)
        if attempt.reason == "keep" and (previous := self.owned.get(attempt.id)) is not None:
            record.hand_over_to = previous.hand_over_to
        record.written = {
            x
            for x, generation in attempt.written.items()
            if x in self.peers and self.peers[x].generation == generation
        }
        record.holders = set(record.written)
        self._add_owned(record)
        if len(record.written) < len(record.replicas):
            self._under_replicated[attempt.id] = None

    def _write_record(self, now: float, record: OwnedRecord, work: Work) -> None:
        record.work = work
        if record.id not in self.acquisitions:  # else written once a new term confirms the ownership
            record.ballot, record.written = (*record.ballot[:2], record.ballot[2] + 1), set()
            record.resend_after_ms = RESEND_MS
            self._send_to_replicas(now, record)

    def _reacquire(self, now: float, record: OwnedRecord, seen: Ballot = NO_BALLOT) -> None:
        """Acquires a new term for an owned record, or finds that another router owns it."""
        if record.id not in self.acquisitions:
            seen = max(seen, record.ballot)
            self._start(
                now, Acquisition(record.id, "keep", record.work, 1e18, 1e18, [], False, highest_seen=seen)
            )

    def _send_to_replicas(self, now: float, record: OwnedRecord) -> None:
        record.sent_ms = now
        self._under_replicated[record.id] = None
        deferrable = not record.work.paid and not record.hand_over_to
        write = wire.Write(record.id, record.ballot, record.work, deferrable=deferrable)
        for member_id in record.replicas:
            if member_id not in record.written:
                self._send_item(member_id, write, deferrable)

    def _rewrite_records(self, now: float) -> None:
        for id in list(islice(self._under_replicated, REWRITES_PER_TICK)):
            record = self.owned.get(id)
            if record is None or len(record.written) == len(record.replicas) and record.replicas:
                del self._under_replicated[id]
                continue
            del self._under_replicated[id]  # to the end of the queue
            self._under_replicated[id] = None
            reachable = any(x in self.alive for x in record.replicas if x not in record.written)
            if reachable and id not in self.acquisitions and now - record.sent_ms >= record.resend_after_ms:
                record.resend_after_ms = min(2.0 * record.resend_after_ms, MAX_RESEND_MS)
                self._send_to_replicas(now, record)

    def _on_chosen(self, now: float, record: OwnedRecord) -> None:
        """Called once a majority of replicas holds the last write of the record."""
        if record.chosen == record.ballot:
            return
        record.chosen = record.ballot
        if record.hand_over_to:
            hand_over = wire.HandOver(record.id, record.ballot, record.work)
            self.counters.handed_over += 1
            self._remove_owned(record.id)
            self._pending_hand_overs[record.id] = (
                record.hand_over_to,
                hand_over,
                now,
                now + HAND_OVER_EXPIRY_MS,
            )
            evict_oldest(self._pending_hand_overs, MAX_PENDING_HAND_OVERS)
            self._send_item(record.hand_over_to, hand_over)
        elif not register.active_owner(record.work):
            self._remove_owned(record.id)
            self._actions.append(Closed(record.id))
        else:
            self._actions.append(Replicated(record.id, record.work.phase))

    def _add_owned(self, record: OwnedRecord) -> None:
        self._remove_owned(record.id)
        self.owned[record.id] = record
        self._replica_counts.update(record.replicas)

    def _remove_owned(self, id: str) -> None:
        record = self.owned.pop(id, None)
        if record is not None:
            self._replica_counts.subtract(record.replicas)
        self._under_replicated.pop(id, None)

    def _lose_ownership(self, id: str, to: str, final: bool = False) -> None:
        self.counters.fenced += 1
        self._remove_owned(id)
        self._actions.append(OwnershipLost(id, to, final))

    def _on_hand_over_request(self, now: float, member_id: str, request: wire.HandOverRequest) -> None:
        id = request.id
        record, pending = self.owned.get(id), self._pending_hand_overs.get(id)
        if pending is not None and pending[0] == member_id:
            self._send_item(member_id, pending[1])
        elif record is not None and request.body and self._conflicts(record.work, request.body):
            self._send_item(member_id, wire.HandOverRefused(id, False, conflict=True))
        elif record is None or record.hand_over_to:
            # The requester prepares a ballot next: it may complete a hand-over whose write was refused.
            self._send_item(member_id, wire.HandOverRefused(id, False))
        elif record.work.phase is Phase.STANDS:
            self._start_hand_over(now, record, member_id)
        else:
            self._send_item(member_id, wire.HandOverRefused(id, True))

    def _on_hand_over(self, now: float, member_id: str, hand_over: wire.HandOver) -> None:
        self._send_item(member_id, wire.HandOverAck(hand_over.id, hand_over.ballot))
        record = self.owned.get(hand_over.id)
        if hand_over.work.owner != self.own_id or record is not None and record.chosen >= hand_over.ballot:
            return
        if (
            hand_over.id in self._pending_hand_overs
            and self._pending_hand_overs[hand_over.id][1].ballot >= hand_over.ballot
        ):
            return  # it was owned here, and has been handed over since
        self.counters.received += 1
        self._add_owned(
            OwnedRecord(
                hand_over.id,
                hand_over.work,
                hand_over.ballot,
                hand_over.ballot,
                self.replicas_of(hand_over.id),
                sent_ms=-1e12,
            )
        )
        self._under_replicated[hand_over.id] = None
        self._actions.append(Acquired(hand_over.id, hand_over.work, None))
        attempt = self.acquisitions.pop(hand_over.id, None)
        if attempt is not None and self._is_conflict(attempt, hand_over.work):
            self._answer_conflict(attempt)
        elif attempt is not None:
            for number in attempt.callers:
                self._actions.append(Answer(number, Verdict.TAKEN_OVER, hand_over.work))
        if self.leaving:
            self._hand_over_on_leave(now, hand_over.id)

    def _on_hand_over_refused(self, now: float, refused: wire.HandOverRefused) -> None:
        attempt = self.acquisitions.get(refused.id)
        if attempt is not None and attempt.stage is Stage.HAND_OVER:
            if refused.conflict:
                del self.acquisitions[refused.id]
                self._answer_conflict(attempt)
            elif refused.set_up_pending:
                attempt.next_ms, attempt.sent_ms = now + HAND_OVER_RETRY_MS, now
            else:
                attempt.stage, attempt.next_ms = Stage.WAIT, now + HAND_OVER_RETRY_MS

    # Acquiring

    def _start(self, now: float, attempt: Acquisition) -> None:
        self.acquisitions[attempt.id] = attempt
        attempt.next_ms = now
        self._step(now, attempt)

    def _step(self, now: float, attempt: Acquisition) -> None:
        if (
            now >= (attempt.owned_deadline_ms if attempt.owner else attempt.deadline_ms)
            and attempt.reason != "keep"
        ):
            del self.acquisitions[attempt.id]
            if attempt.wrote_prepared:
                self._unused[attempt.id] = None
                evict_oldest(self._unused, MAX_UNUSED)
            verdict = Verdict.OWNED_ELSEWHERE if attempt.owner else Verdict.UNREPLICATED
            self.counters.unkept += bool(attempt.callers)
            for number in attempt.callers:
                self._actions.append(Answer(number, verdict, None))
            return
        if attempt.stage is Stage.WAIT:
            if now >= attempt.next_ms:
                self._begin_round(now, attempt)
        elif attempt.stage is Stage.HAND_OVER:
            if now >= attempt.next_ms:
                attempt.next_ms = now + HAND_OVER_RETRY_MS
                if attempt.owner in self.alive and now - attempt.sent_ms < HAND_OVER_TIMEOUT_MS:
                    body = attempt.proposed.body if attempt.reason == "claim" else b""
                    self._send_item(attempt.owner, wire.HandOverRequest(attempt.id, body))
                else:
                    attempt.stage = Stage.WAIT
        elif attempt.written and self._wins(now, attempt):
            self._on_won(now, attempt)  # a lease was granted since the writes
        elif attempt.stage is Stage.CLAIM and now - attempt.sent_ms >= RESEND_MS:
            # A replica does not answer: with a prepare round first, a majority is enough.
            self._begin_round(now, attempt)
        elif now - attempt.sent_ms >= attempt.resend_after_ms and attempt.refusals:
            self._back_off(now, attempt)  # the others may be unreachable: asks again those that refused
        elif now - attempt.sent_ms >= attempt.resend_after_ms:
            attempt.resend_after_ms = min(2.0 * attempt.resend_after_ms, 4.0 * RESEND_MS)
            attempt.written = {
                member_id: generation
                for member_id, generation in attempt.written.items()
                if member_id in self.peers and self.peers[member_id].generation == generation
            }
            self._send_round(now, attempt)

    def _begin_round(self, now: float, attempt: Acquisition) -> None:
        """Begins a new ballot over the record's present replicas."""
        if attempt.stage is Stage.CLAIM:
            self._withdraw_claim(attempt)
        attempt.replicas = self.replicas_of(attempt.id)
        if not attempt.replicas:
            return  # there is no replica set yet
        # A claim needs all replicas: where one is unreachable, begins with a prepare round at once.
        attempt.may_claim = attempt.may_claim and all(self._takes_part(x, now) for x in attempt.replicas)
        if attempt.may_claim:
            attempt.ballot = register.CLAIM_COUNTER, self.own_id, 0
        else:
            attempt.ballot = next_ballot(
                max(attempt.highest_seen, self._last_ballot), self.replica_sets.number, self.own_id
            )
            # This run never uses a term twice.
            attempt.highest_seen = self._last_ballot = attempt.ballot
        attempt.promises, attempt.refusals, attempt.written = {}, {}, {}
        attempt.stage = Stage.CLAIM if attempt.may_claim else Stage.PREPARE
        attempt.work = attempt.proposed if attempt.may_claim else None
        attempt.wrote_prepared = attempt.wrote_prepared or attempt.may_claim
        attempt.found, attempt.may_claim, attempt.resend_after_ms = None, False, RESEND_MS
        self._send_round(now, attempt)

    def _withdraw_claim(self, attempt: Acquisition) -> None:
        """Withdraws a claim: a replica that alone accepted it would deny others while this router lives."""
        for member_id in attempt.replicas:
            self._send_item(member_id, wire.Withdraw(attempt.id, attempt.ballot))

    def _send_round(self, now: float, attempt: Acquisition) -> None:
        attempt.sent_ms = now
        message: wire.Items
        if attempt.stage is Stage.PREPARE:
            message = wire.Prepare(attempt.id, attempt.ballot)
            answered = attempt.promises.keys() | attempt.refusals.keys()
        else:
            assert attempt.work is not None
            message = wire.Write(
                attempt.id,
                attempt.ballot,
                attempt.work,
                attempt.stage is Stage.CLAIM,
                attempt.deferrable,
            )
            answered = attempt.written.keys() | attempt.refusals.keys()
        for member_id in attempt.replicas:
            if member_id not in answered:
                self._send_item(member_id, message, attempt.deferrable and attempt.stage is not Stage.PREPARE)

    def _on_promised(self, now: float, member_id: str, promised: wire.Promised) -> None:
        attempt = self.acquisitions.get(promised.id)
        if (
            attempt is None
            or attempt.stage is not Stage.PREPARE
            or promised.ballot != attempt.ballot
            or member_id not in attempt.replicas
        ):
            return
        attempt.promises[member_id] = promised
        if len(attempt.promises) < register.majority(len(attempt.replicas)):
            return
        newest = max(attempt.promises.values(), key=lambda x: x.accepted)
        self._decide(now, attempt, newest.work, any(x.hole for x in attempt.promises.values()))

    def _decide(self, now: float, attempt: Acquisition, found: Work | None, hole: bool) -> None:
        work: Work
        if attempt.reason == "keep":
            record = self.owned.get(attempt.id)
            if record is None or not self._still_owned(record, found):
                del self.acquisitions[attempt.id]
                if record is not None and found is not None:
                    self._lose_ownership(attempt.id, found.owner, not register.active_owner(found))
                return
            work = record.work
        elif (
            attempt.reason == "orphan"
            and (found is None or register.active_owner(found) in self.alive)
            or attempt.reason == "mine"
            and register.active_owner(found) != self.own_id
        ):
            del self.acquisitions[attempt.id]
            return
        elif attempt.reason == "find" and (found is None or found.phase is not Phase.STANDS):
            del self.acquisitions[attempt.id]
            for number in attempt.callers:
                self._actions.append(Answer(number, Verdict.FINAL, found))
            return
        elif self._is_conflict(attempt, found):
            del self.acquisitions[attempt.id]
            self._answer_conflict(attempt)
            return
        elif hole and attempt.proposed.paid and (found is None or found.phase is Phase.INTENT):
            self.counters.unknown += 1  # a later value of the record may have been lost
            work = (
                msgspec.structs.replace(attempt.proposed, phase=Phase.FAILED, epoch=UNKNOWN_EPOCH)
                if found is None
                else register.with_next_owner(found, self.own_id, phase=Phase.DOOMED)
            )
        elif attempt.reason == "orphan" and found is not None and not register.active_owner(found):
            work = found
        elif (
            found is not None
            and found.owner == self.own_id
            and found.phase is Phase.INTENT
            and found.paid
            and not attempt.wrote_prepared
            and attempt.id not in self._unused
        ):
            # Lost and found again: the set-up may have been sent before.
            work = msgspec.structs.replace(found, phase=Phase.DOOMED)
        else:
            work = register.value_after_takeover(found, self.own_id, attempt.proposed)
            # Nothing is sent before this write wins: found again by this attempt, the record is no failure.
            attempt.wrote_prepared = (
                attempt.wrote_prepared or work.owner == self.own_id and work.phase is Phase.INTENT
            )
        attempt.found, attempt.work, attempt.stage = found, work, Stage.WRITE
        attempt.refusals = {}
        self._send_round(now, attempt)

    def _is_conflict(self, attempt: Acquisition, found: Work | None) -> bool:
        """Whether a viewer's claim has met a record of other work."""
        return attempt.reason == "claim" and self._conflicts(found, attempt.proposed.body)

    def _answer_conflict(self, attempt: Acquisition) -> None:
        for number in attempt.callers:
            self._actions.append(Answer(number, Verdict.CONFLICT, None))

    def _wins(self, now: float, attempt: Acquisition) -> bool:
        """Whether enough replicas accepted the write, with leases of a majority where it is acted on."""
        count = len(attempt.replicas)
        needed = register.majority(count)
        if len(attempt.written) < (count if attempt.stage is Stage.CLAIM else needed):
            return False
        if attempt.reason != "claim" or attempt.work is None or attempt.work.phase is not Phase.INTENT:
            return True
        leased = [
            member_id
            for member_id, generation in attempt.written.items()
            if self.peers[member_id].generation == generation and self.peers[member_id].lease_until_ms > now
        ]
        return len(leased) >= needed

    def _still_owned(self, record: OwnedRecord, found: Work | None) -> bool:
        """Whether the replicas' value is this owner's, or older; for a hand-over, exactly what it wrote."""
        if found is None or found.epoch < record.work.epoch:
            return True
        return (
            found == record.work
            if record.hand_over_to
            else (found.epoch, found.owner) == (record.work.epoch, self.own_id)
        )

    def _on_written(self, now: float, member_id: str, written: wire.Written) -> None:
        attempt, record = self.acquisitions.get(written.id), self.owned.get(written.id)
        if (
            attempt is not None
            and attempt.stage in (Stage.CLAIM, Stage.WRITE)
            and written.ballot == attempt.ballot
            and member_id in attempt.replicas
        ):
            attempt.written[member_id] = written.generation
            if self._wins(now, attempt):
                self._on_won(now, attempt)
        elif record is not None and member_id in record.replicas:
            if (
                written.generation == self.peers[member_id].generation
                and written.ballot[:2] == record.ballot[:2]
            ):
                record.holders.add(member_id)
            if written.ballot != record.ballot:
                return
            if written.generation == self.peers[member_id].generation:
                record.written.add(member_id)
            if len(record.written) >= register.majority(len(record.replicas)):
                self._on_chosen(now, record)

    def _on_won(self, now: float, attempt: Acquisition) -> None:
        work, found = attempt.work, attempt.found
        assert work is not None
        del self.acquisitions[attempt.id]
        if attempt.reason == "keep":
            previous = self.owned.get(attempt.id)
            if previous is None:
                return  # an earlier write of this router, which ended the record, was chosen meanwhile
            latest = previous.work
            self._take_ownership(now, attempt)
            record = self.owned[attempt.id]
            if latest != work:  # the record changed meanwhile
                self._write_record(now, record, latest)
            else:
                record.chosen = NO_BALLOT  # so that `_on_chosen` reports it
                self._on_chosen(now, record)
            return
        is_owner = register.active_owner(work) == self.own_id
        self._unused.pop(attempt.id, None)
        if is_owner:
            self._take_ownership(now, attempt)
        retaken = found is not None and is_owner and found.owner == self.own_id and bool(found.past_owners)
        if found is not None and (found != work and found.owner != self.own_id or retaken):
            self.counters.taken_over += 1  # `retaken`: taken over before, but the replicas answered too late
        elif found is None:
            self.counters.claimed += 1
        if found is not None and (found != work or is_owner):
            self._actions.append(Acquired(attempt.id, work, found))
        verdict = (
            Verdict.FINAL
            if not is_owner or work.phase is Phase.DOOMED
            else Verdict.TAKEN_OVER
            if work.phase is Phase.STANDS
            else Verdict.NEW
        )
        for number in attempt.callers:
            self._actions.append(Answer(number, verdict, work))
        if is_owner and work.phase is Phase.DOOMED:
            self._write_record(now, self.owned[attempt.id], msgspec.structs.replace(work, phase=Phase.FAILED))

    def _on_refused(self, now: float, member_id: str, refused: wire.Refused) -> None:
        attempt, record = self.acquisitions.get(refused.id), self.owned.get(refused.id)
        if attempt is None:
            if (
                record is not None
                and refused.ballot == record.ballot
                and refused.reason is RefusalReason.BALLOT
            ):
                # Another router's ballot reached that replica: finds out who owns the record.
                self._reacquire(now, record, refused.promised)
            return
        if refused.ballot != attempt.ballot or attempt.stage not in (
            Stage.CLAIM,
            Stage.PREPARE,
            Stage.WRITE,
        ):
            return
        attempt.refusals[member_id] = refused
        attempt.highest_seen = max(attempt.highest_seen, refused.promised)
        if attempt.stage is Stage.CLAIM or self._cannot_win(attempt):
            self._back_off(now, attempt)

    @staticmethod
    def _cannot_win(attempt: Acquisition) -> bool:
        """Whether too many replicas have refused a round.

        An owner hears all of them first: it may have lost the record, which only a majority's refusals show.
        """
        count = len(attempt.replicas)
        if attempt.reason == "keep" and attempt.stage is Stage.PREPARE:
            return len(attempt.refusals) + len(attempt.promises) >= count
        return count - len(attempt.refusals) < register.majority(count)

    def _back_off(self, now: float, attempt: Acquisition) -> None:
        """Gives up this ballot, for a higher one or the owner's lease, and retries after a random delay."""
        refusals, claimed = list(attempt.refusals.values()), attempt.stage is Stage.CLAIM
        if claimed:
            self._withdraw_claim(attempt)
        # Otherwise two routers void each other's ballots for as long as the replicas' disks are slow.
        pause = min(BACKOFF_MS * 2.0 ** min(attempt.yields, 16), MAX_BACKOFF_MS)
        attempt.stage, attempt.next_ms = Stage.WAIT, now + self.random.uniform(0.2, 1.0) * pause
        attempt.yields += 1
        leases = [x for x in refusals if x.reason is RefusalReason.LEASE]
        if leases:
            attempt.owner = leases[0].owner
            if attempt.reason == "keep" and len(leases) >= register.majority(len(attempt.replicas)):
                del self.acquisitions[attempt.id]
                self._lose_ownership(attempt.id, attempt.owner)
            elif attempt.reason in ("claim", "find") and attempt.owner in self.alive:
                attempt.stage, attempt.next_ms, attempt.sent_ms = Stage.HAND_OVER, now, now
                self._step(now, attempt)
            else:
                if attempt.reason == "keep":
                    self._tell_named_owner(attempt.owner, attempt.id)
                attempt.next_ms = now + max(min(x.lease_left_ms for x in leases), 1.0)
        elif claimed and all(x.reason is not RefusalReason.REPLICA_SET for x in refusals):
            self._begin_round(now, attempt)  # the record is not new: a prepare round finds its value

    def _tell_named_owner(self, owner: str, id: str) -> None:
        """Have the router that a replica names find out whether it owns the record; it may not know of it."""
        if owner in self.alive and owner != self.own_id:
            self._send_item(owner, wire.OwnedRecordsPage([id], True))

    # Ownerless records

    def _scan_ownerless(self, now: float) -> None:
        if now - self._scanned_ms >= OWNERLESS_SCAN_MS and self.replica_sets.active and not self.leaving:
            self._scanned_ms = now
            for owner, ids in self.replica.ids_by_owner.items():
                if owner not in self.alive:
                    for id in ids:
                        self._queue_takeover(now, id, owner)
        begun = 0
        while self._ownerless and begun < TAKEOVERS_PER_TICK and self._ownerless.peekitem(0)[0][0] <= now:
            (_, id), _ = self._ownerless.popitem(0)
            self._queued.discard(id)
            work = self.known_work(id)
            if (
                work is None
                or register.active_owner(work) in (*self.alive, "")
                or id in self.acquisitions
                or len(self.acquisitions) >= MAX_ACQUISITIONS // 2
            ):
                continue
            begun += 1
            self._start(
                now,
                Acquisition(
                    id, "orphan", work, now + TAKEOVER_TIMEOUT_MS, now + TAKEOVER_TIMEOUT_MS, [], False
                ),
            )

    def _queue_takeover(self, now: float, id: str, owner: str) -> None:
        slot: Slot = self.replica.slots[id]
        if id in self._queued or id in self.acquisitions or not register.active_owner(slot.work):
            return
        present = [x for x in self.replicas_of(id) if x in self.alive]
        if self.own_id not in present:
            return
        is_first = placement.choose_successor(id, present, self.spare_capacity) == self.own_id
        due_ms = max(now, self.replica.lease_ends_ms.get(owner, now)) + (
            0.0 if is_first else BACKUP_TAKEOVER_DELAY_MS
        )
        self._queued.add(id)
        self._ownerless[due_ms, id] = None

    def _unqueue(self, id: str) -> None:
        """Cancels a take-over, as a viewer requests the record; the entry left in the queue has no effect."""
        self._queued.discard(id)
