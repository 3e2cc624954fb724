"""Custody as a machine of events: a time and what was heard go in, messages and verdicts come out.  Pure.

Each piece of work is a register over its keepers.  This router keeps some records for others, owns those that
it acts on, and tries for those that its viewers come for or whose owner is gone.  See docs/design/custody.md
for what is promised.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Mapping
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
from cloverhinge.store import NO_MARK, Mark
from cloverhinge.store import Word as JudgeWord

TICK_MS = 25.0  # pace of looking: what was lost on its way is sent again after two of them
USABLE_LEASE_SHARE = 0.9  # of a lease that its owner counts on: clocks may differ by a tenth before it errs
RENEWALS_PER_LEASE = 3.0  # tries in a lease's time, so that two in a row may be lost
SILENT_AFTER_LEASES = 2.0  # times a lease: who was not heard for so long takes no part
BACKOFF_MS, MAX_BACKOFF_MS = 30.0, 960.0  # at most, by lot, before a higher ballot; twice as long each time
HAND_OVER_TIMEOUT_MS = 200.0  # an owner that says nothing for so long is asked no more: its lease decides
HAND_OVER_RETRY_MS = 50.0  # while a set-up that a viewer came for is under way at its owner
HOLE_WAIT_MS = 400.0  # a keeper that lost others' memory waits so long for owners to write again
BACKUP_TAKEOVER_DELAY_MS = 1200.0  # the next keeper takes over what the first one should have
OWNERLESS_SCAN_MS = 250.0  # between looks for records whose owner is gone
TAKEOVERS_PER_TICK = 25  # taken up in a tick: a thousand a second
SURPLUS_QUERY_DELAY_MS = (
    2000.0  # a keeper that knows of more records than their owner for so long is asked for them
)
TAKEOVER_TIMEOUT_MS = 5000.0  # for one try at such a record
REWRITES_PER_TICK = 100  # records written again in a tick: 4,000 a second
UNKNOWN_EPOCH = 1 << 32  # epoch of a verdict on what is unknown: above that of any owner who comes back
MAX_OWNED = 65_536  # records owned
MAX_ACQUISITIONS = 4096
MAX_PENDING_HAND_OVERS, HAND_OVER_EXPIRY_MS = 4096, 5000.0  # hand-overs told again until the other thanks
MAX_UNUSED = 4096  # one that is forgotten is taken for one that was acted on
MAX_PENDING_REQUESTS = 8  # questions for a lease whose answers still count


class OwnershipCore:
    def __init__(
        self, own: Member, rules: Rules, seed: int, recall: ReplicaPersistence | None = None
    ) -> None:
        """`recall`: of this router's store, where it has one."""
        self.own, self.rules, self.persistence = own, rules, recall
        self.own_id = own.member_id
        self.random = random.Random(seed)
        self.replica = Replica(rules.lease_ms, rules.retention_ms)
        self.replica_sets = ReplicaSetManager(own, rules.routers, rules.hole_ms, self.random.getrandbits(62))
        self.peers: dict[str, Peer] = {self.own_id: Peer(own)}
        self.alive: dict[str, Member] = {self.own_id: own}  # as membership has it
        self.runs: dict[str, tuple[int, int]] = {}  # by name: run and incarnation
        self.earlier_run_known = False
        self.spare_capacity: Mapping[str, float] = {}
        self.owned: dict[str, OwnedRecord] = {}
        self.acquisitions: dict[str, Acquisition] = {}
        self.counters = Counters()
        self.leaving = False
        self._out: list[Action] = []
        self._outbox: dict[str, list[msgspec.Raw]] = {}
        self._pressing = False
        self._local: deque[wire.Items] = deque()
        self._unwritten: dict[str, None] = {}  # records that some keeper does not hold yet, in order
        self._orphans: SortedDict[tuple[float, str], None] = SortedDict()
        self._queued: set[str] = set()
        self._gifts: OrderedDict[str, tuple[str, wire.HandOver, float, float]] = OrderedDict()
        self._tells: dict[tuple[str, int], tuple[wire.TransferPart, float]] = {}
        self._parts: dict[str, set[int]] = {}
        self._kept_by: Counter[str] = Counter()  # records of this router's, by who should keep them
        self._idle: OrderedDict[str, None] = OrderedDict()  # intents written and given up before any act
        self._last: Ballot = NO_BALLOT
        self._seq = 0
        self._looked_ms = -1e12
        self._purged = True
        self._stuck = ""
        self._votes_in = 0, 0
        self._votes_from = 0  # the rows that have to be safe before others count on this one's votes
        self._unjoined = False  # what was brought has not come into a roster of this run's yet
        if recall is not None:
            self.replica.changed_ids = recall.changed_ids
            self.replica_sets.vote_suspended = not recall.usable
            if recall.unusable_reason:
                self._out.append(LogMessage(f"keeps nothing for others: {recall.unusable_reason}"))

    # What may be asked at any time

    def may_act(self, id: str, now: float) -> bool:
        """Whether this router owns the record at this moment, as a majority of its keepers has it."""
        held = self.owned.get(id)
        if held is None or held.work.owner != self.own_id:
            return False
        sure = sum(1 for x in held.holders if self.peers[x].lease_until_ms > now)
        return sure >= register.majority(len(held.replicas))

    def known_work(self, id: str) -> Work | None:
        """What is known of it here."""
        if id in self.owned:
            return self.owned[id].work
        slot = self.replica.slots.get(id)
        return None if slot is None else slot.work

    def replicas_of(self, id: str) -> tuple[str, ...]:
        roster = self.replica_sets.current
        return (
            ()
            if roster is None
            else placement.choose_replicas(id, roster.members, self.rules.tolerated_losses + 1)
        )

    @property
    def idle(self) -> bool:
        """Nothing is on its way to another owner, and nothing of this router's has to be."""
        return not self._gifts and not any(x.hand_over_to for x in self.owned.values())

    # Events

    def update_members(
        self, members: Mapping[Member, int], lived_before: bool, room: Mapping[str, float]
    ) -> None:
        """Membership has changed, or what is known of the members' room; `members` with incarnations."""
        self.alive = {x.member_id: x for x in members}
        self.runs = {x.name: (x.run, incarnation) for x, incarnation in members.items()}
        self.earlier_run_known, self.spare_capacity = lived_before, room
        for who, member in self.alive.items():
            if who not in self.peers:
                self.peers[who] = Peer(member)
        roster = self.replica_sets.current
        named = set() if roster is None else {x.member_id for x in (*roster.members, *roster.sources)}
        for who in [x for x in self.peers if x not in self.alive and x not in named and x != self.own_id]:
            del self.peers[who]
            for held in self.owned.values():
                held.written.discard(who)
                held.holders.discard(who)

    def on_durable(self, now: float, number: int, mark: Mark) -> list[Action]:
        """The rows up to that number are on the disk."""
        if self.persistence is not None:
            for who, item, soon in self.persistence.on_durable(number, mark):
                self._post(who, item, soon)
        return self._done(now)

    def on_store_failure(self, now: float, why: str) -> list[Action]:
        """The store has: what was not safe is never said, and nothing is kept here any more."""
        if self.persistence is not None and self.persistence.state is not StoreState.OUT:
            self.persistence.fail(why)
            self.replica_sets.vote_suspended = True
            self._out.append(LogMessage(f"keeps nothing for others: {why}"))
            self._say_hi(now, at_once=True)
        return self._done(now)

    def tick(self, now: float) -> list[Action]:
        self.replica.expire(now)
        self._judge(now)
        self._pressing = bool(self._outbox)
        self._say_hi(now)
        self._change_rosters(now)
        for id in [x.id for x in self.acquisitions.values()]:
            if id in self.acquisitions:
                self._step(now, self.acquisitions[id])
        self._rewrite(now)
        self._look_for_orphans(now)
        for id, (to, given, sent, until) in list(self._gifts.items()):
            if now >= until or to not in self.alive:
                del self._gifts[id]
            elif now - sent >= 2 * RESEND_MS:
                self._gifts[id] = to, given, now, until
                self._to(to, given)
        for (who, part), (tell, sent) in list(self._tells.items()):
            if who in self.alive and now - sent >= 4 * RESEND_MS:
                self._tells[who, part] = tell, now
                self._to(who, tell)
        return self._done(now)

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
        """A viewer came for it; `soon`: he does not wait for it to be kept.

        `Answer` follows by `soon_ms`, by `until_ms` where another has it, at once where it is here already.
        """
        held = self.owned.get(id)
        attempt = self.acquisitions.get(id)
        if held is not None and not held.hand_over_to and attempt is None:
            verdict = Verdict.TAKEN_OVER if held.work.phase is Phase.STANDS else Verdict.NEW
            if held.work.phase in (Phase.STANDS, Phase.INTENT):
                self._out.append(Answer(number, verdict, held.work))
                return self._done(now)
        if attempt is not None:
            attempt.join(number, deadline_ms, owned_deadline_ms)
            if attempt.reason in ("orphan", "mine", "find"):
                attempt.reason, attempt.proposed = "claim", prepared_record(self.own_id, paid, body)
        elif len(self.acquisitions) >= MAX_ACQUISITIONS or len(self.owned) >= MAX_OWNED:
            self.counters.unkept += 1
            self._out.append(Answer(number, Verdict.UNREPLICATED, None))
        else:
            self._unqueue(id)
            seen = NO_BALLOT if held is None else held.ballot
            self._try(
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
        return self._done(now)

    def find(
        self, now: float, number: int, id: str, deadline_ms: float, owned_deadline_ms: float
    ) -> list[Action]:
        """A viewer came for a session that stands, if it does; nothing is claimed where it does not."""
        attempt = self.acquisitions.get(id)
        if attempt is not None:
            attempt.join(number, deadline_ms, owned_deadline_ms)
        elif len(self.acquisitions) >= MAX_ACQUISITIONS:
            self._out.append(Answer(number, Verdict.UNREPLICATED, None))
        else:
            self._unqueue(id)
            empty = Work(self.own_id, 1, Phase.INTENT, False)
            self._try(now, Acquisition(id, "find", empty, deadline_ms, owned_deadline_ms, [number], False))
        return self._done(now)

    def update(self, now: float, id: str, phase: Phase, body: bytes) -> list[Action]:
        """What this router owns has changed; nothing where it does not own it any more."""
        held = self.owned.get(id)
        if held is not None and not held.hand_over_to and register.active_owner(held.work):
            work = msgspec.structs.replace(held.work, phase=phase, body=body)
            if work != held.work:
                self._write(now, held, work)
                if self.leaving:
                    self._leave_behind(now, id)
        return self._done(now)

    def leave(self, now: float) -> list[Action]:
        """A planned end: all sessions go to the others, each to one drawn by its room."""
        self.leaving = True
        self._say_hi(now, at_once=True)
        for id in list(self.owned):
            self._leave_behind(now, id)
        return self._done(now)

    def _leave_behind(self, now: float, id: str) -> None:
        held, others = (
            self.owned[id],
            [x for x in self.alive if x != self.own_id and self._takes_part(x, now)],
        )
        if others and held.work.phase is Phase.STANDS and not held.hand_over_to:
            self._hand(now, held, placement.choose_successor(id, others, self.spare_capacity))

    def _hand(self, now: float, held: OwnedRecord, to: str) -> None:
        self._out.append(OwnershipLost(held.id, to))
        held.hand_over_to = to
        self._write(now, held, register.with_next_owner(held.work, to))

    def receive(self, now: float, member: Member, told: bytes) -> list[Action]:
        """Raises Bad where it can't be read."""
        body = wire.decode(told)
        who = member.member_id
        peer = self.peers.get(who)
        if peer is None:
            if len(self.peers) >= 2 * wire.MAX_MEMBERS:
                return []
            peer = self.peers[who] = Peer(member)
        peer.received_ms, peer.lineage, peer.number = now, body.lineage, body.number
        if (
            self.persistence is not None
            and (told_late := self.persistence.note_mark(member.name, Mark(body.generation, body.position)))
            is not None
        ):
            self._to(who, told_late)
        for item in body.items:
            self._take(now, who, item, (body.lineage, body.number))
        return self._done(now)

    # Messages

    def _to(self, who: str, item: wire.Items, soon: bool = False) -> None:
        """`soon`: nobody waits for it, so that it may travel with others."""
        if self.persistence is None or not self.persistence.hold_back(
            who, item, soon, self.replica_sets.vote_state
        ):
            self._post(who, item, soon)

    def _post(self, who: str, item: wire.Items, soon: bool) -> None:
        if who == self.own_id:
            self._local.append(item)
        else:
            self._outbox.setdefault(who, []).append(wire.pack(item))
            self._pressing = self._pressing or not soon

    @property
    def has_outgoing(self) -> bool:
        """Whether something is to be sent by `flush` soon."""
        return bool(self._outbox)

    def flush(self, now: float) -> list[Action]:
        self._pressing = True
        return self._done(now)

    def _done(self, now: float) -> list[Action]:
        while self._local:
            self._take(now, self.own_id, self._local.popleft(), self._roster)
        if self.persistence is not None:
            rows = self.persistence.take_rows(now, self.replica, self.replica_sets.vote_state)
            if rows is not None:
                self._out.append(rows)
        if self._pressing:
            self._pressing = False
            self._send()
        done, self._out = self._out, []
        return done

    def _send(self) -> None:
        lineage, number = self._roster
        outbox, self._outbox = self._outbox, {}
        mark = NO_MARK if self.persistence is None else self.persistence.outgoing_mark
        for who, items in outbox.items():
            peer = self.peers.get(who)
            if peer is None:
                continue
            for batch in wire.batches(items, lambda x: len(bytes(x)), wire.MAX_BATCH_BYTES):
                self._out.append(Send(peer.member, wire.encode(lineage, number, batch, mark)))

    @property
    def _roster(self) -> tuple[int, int]:
        return self.replica_sets.lineage, self.replica_sets.number

    def _take(self, now: float, who: str, item: wire.Items, roster: tuple[int, int]) -> None:
        match item:
            case wire.Prepare() | wire.Write():
                self._to(
                    who, self._vote(now, who, item, roster), isinstance(item, wire.Write) and item.deferrable
                )
            case wire.Promised():
                self._promised(now, who, item)
            case wire.Written():
                self._written(now, who, item)
            case wire.Refused():
                self._refused(now, who, item)
            case wire.LeaseRequest():
                self._hi(now, who, item, roster)
            case wire.LeaseGranted():
                self._granted(now, who, item)
            case wire.LeaseLapsed():
                self._lapsed(now, who, item)
            case wire.ReplicaSetPrepare():
                self._reply(who, self.replica_sets.on_prepare(now, item))
            case wire.ReplicaSetWrite():
                self._reply(who, self.replica_sets.on_write(item))
            case wire.ReplicaSetPromised():
                for to, ask in self.replica_sets.on_promised(now, who, item, self.runs):
                    self._to(to, ask)
            case wire.ReplicaSetWritten():
                decided = self.replica_sets.on_written(who, item, self.runs)
                if decided is not None:
                    self._enter(now, decided)
            case wire.ReplicaSetRefused():
                self.replica_sets.on_refused(now, item)
            case wire.ReplicaSetAnnouncement():
                self._known(now, who, item.replica_set)
            case wire.TransferPart():
                self._told(now, who, item, roster)
            case wire.TransferAck():
                if item.number == self.replica_sets.number:
                    self._tells.pop((who, item.part), None)
            case wire.HandOverRequest():
                self._asked_for(now, who, item.id)
            case wire.HandOver():
                self._given(now, who, item)
            case wire.HandOverRefused():
                self._not_given(now, item)
            case wire.Withdraw():
                self.replica.withdraw(now, item)
            case wire.StoreClaim():
                self._to(
                    who, (self.persistence or ReplicaPersistence(self.own)).answer_claim(name_of(who), item)
                )
            case wire.StoreClaimAnswer():
                self._word(now, name_of(who), item)
            case wire.LeaseNotGranted():
                self._answered(who, item.seq)
            case wire.OwnedRecordsQuery():
                self._mine(who, item.after)
            case wire.OwnedRecordsPage():
                self._yours(now, who, item)
            case wire.HandOverAck():
                gift = self._gifts.get(item.id)
                if gift is not None and gift[0] == who and gift[1].ballot == item.ballot:
                    del self._gifts[item.id]

    def _reply(self, who: str, item: wire.Items | None) -> None:
        if item is not None:
            self._to(who, item)

    # What was brought from before the start

    def _judge(self, now: float) -> None:
        claim = None if self.persistence is None else self.persistence.due_claim(now)
        if claim is None or self.persistence is None or self.persistence.judge is None:
            return
        judge = self.persistence.judge
        for who in self.alive:
            if who != self.own_id and name_of(who) not in judge.words:
                self._to(who, claim)
        if judge.word is not JudgeWord.WAITING:
            self._judged(now, judge.word)

    def _word(self, now: float, name: str, told: wire.StoreClaimAnswer) -> None:
        if self.persistence is None:
            return
        word = self.persistence.on_claim_answer(name, told)
        if word is not JudgeWord.WAITING:
            self._judged(now, word, name)

    def _judged(self, now: float, word: JudgeWord, by: str = "") -> None:
        """The store is all that was promised from it, or void."""
        assert self.persistence is not None
        brought = self.persistence.conclude(word is JudgeWord.WHOLE)
        self.replica_sets.vote_suspended = False
        if brought is not None:
            self.replica.load(now, brought.slots)
            self.persistence.changed_ids.clear()  # as they are on the disk
            self.replica_sets.representatives = dict.fromkeys(self.persistence.runs, self.own)
            self.replica_sets.restore(now, brought.vote_state)
            self._unjoined = True
            self._out.append(
                LogMessage(
                    f"its store is whole: {len(brought.slots)} records, roster " f"{self.replica_sets.number}"
                )
            )
        else:
            self._out.append(LogMessage(f"its store is behind what {by} has heard of it, and void"))
        self._say_hi(now, at_once=True)

    # Leases

    def _say_hi(self, now: float, at_once: bool = False) -> None:
        """To all who are in: those who keep nothing for this router learn that it takes part."""
        for who in self.alive:
            peer = self.peers[who]
            if at_once or now - peer.requested_ms >= self.rules.lease_ms / RENEWALS_PER_LEASE:
                self._renew(now, peer)

    def _renew(self, now: float, peer: Peer) -> None:
        self._seq += 1
        peer.requested_ms = now
        peer.pending_requests[self._seq] = now
        evict_oldest(peer.pending_requests, MAX_PENDING_REQUESTS)
        lived, stands, lives = self.earlier_run_known, StoreState.FORGOT, tuple[str, ...]()
        if self.persistence is not None:
            stands, roster = self.persistence.announced_state, self.replica_sets.current
            lived = lived or stands in (StoreState.JUDGING, StoreState.WHOLE)
            named = () if roster is None else {x.member_id for x in (*roster.members, *roster.sources)}
            lives = tuple(x for x in self.persistence.runs if x in named and x != self.own_id)
        self._to(
            peer.member.member_id,
            wire.LeaseRequest(
                self._seq, peer.generation, self._votes, lived, self.leaving, int(stands), lives
            ),
        )

    def _hi(self, now: float, who: str, hi: wire.LeaseRequest, roster: tuple[int, int]) -> None:
        peer = self.peers[who]
        peer.votes, peer.earlier_run_known, peer.leaving = hi.votes, hi.earlier_run_known, hi.leaving
        peer.store_state, peer.represented_runs = StoreState(hi.store_state), hi.represented_runs
        if who == self.own_id:
            peer.received_ms, (peer.lineage, peer.number) = now, roster
        held = self.replica_sets.current
        if (
            held is not None
            and roster != self._roster
            and (roster[0] != held.lineage or roster[1] < held.number)
        ):
            self._to(who, wire.ReplicaSetAnnouncement(held))
        if self.replica_sets.active and self._among_most(now):
            if self.replica.renew_lease(now, who, hi.generation):
                owned = len(self.replica.ids_by_owner.get(who, ()))
                self._to(who, wire.LeaseGranted(hi.seq, hi.generation, owned))
            else:
                self._to(who, wire.LeaseLapsed(hi.seq, self.replica.generation(who)))
        else:
            self._to(who, wire.LeaseNotGranted(hi.seq))

    def _answered(self, who: str, of: int) -> float | None:
        """When the question was sent; both directions worked since."""
        peer = self.peers[who]
        sent = peer.pending_requests.pop(of, None)
        if sent is not None:
            peer.confirmed_ms = max(peer.confirmed_ms, sent)
        return sent

    def _granted(self, now: float, who: str, told: wire.LeaseGranted) -> None:
        peer, sent = self.peers[who], self._answered(who, told.seq)
        if sent is not None and told.generation == peer.generation:
            peer.lease_until_ms = max(peer.lease_until_ms, sent + USABLE_LEASE_SHARE * self.rules.lease_ms)
        if told.record_count <= self._kept_by[who]:
            peer.surplus_since_ms = None
        elif peer.surplus_since_ms is None:
            peer.surplus_since_ms = now
        elif now - peer.surplus_since_ms >= SURPLUS_QUERY_DELAY_MS:
            peer.surplus_since_ms = now
            self._to(who, wire.OwnedRecordsQuery(peer.listed_up_to))

    def _mine(self, who: str, after: str) -> None:
        ids = sorted(x for x in self.replica.ids_by_owner.get(who, ()) if x > after)
        self._to(who, wire.OwnedRecordsPage(ids[: wire.MAX_LISTED_IDS], len(ids) <= wire.MAX_LISTED_IDS))

    def _yours(self, now: float, who: str, told: wire.OwnedRecordsPage) -> None:
        """Kept as this router's, which may not know of it: a hand-over's word was lost."""
        peer = self.peers[who]
        peer.listed_up_to = "" if told.last or not told.ids else told.ids[-1]
        if not told.last:
            peer.surplus_since_ms = now - SURPLUS_QUERY_DELAY_MS
        for id in told.ids:
            if (
                id not in self.owned
                and id not in self.acquisitions
                and id not in self._gifts
                and len(self.acquisitions) < MAX_ACQUISITIONS // 2
            ):
                empty = Work(self.own_id, 1, Phase.INTENT, False)
                self._try(
                    now,
                    Acquisition(
                        id, "mine", empty, now + TAKEOVER_TIMEOUT_MS, now + TAKEOVER_TIMEOUT_MS, [], False
                    ),
                )

    def _lapsed(self, now: float, who: str, told: wire.LeaseLapsed) -> None:
        """Another may have come to that keeper in between: all that it holds is written to it again."""
        peer = self.peers[who]
        if self._answered(who, told.seq) is None or told.generation <= peer.generation:
            return
        peer.generation, peer.lease_until_ms = told.generation, -1e12
        for held in self.owned.values():
            if who in held.replicas:
                held.written.discard(who)
                held.holders.discard(who)
                self._unwritten[held.id] = None
                held.sent_ms, held.resend_after_ms = -1e12, RESEND_MS
        self._renew(now, peer)

    # Rosters

    def _takes_part(self, who: str, now: float) -> bool:
        peer = self.peers.get(who)
        if (
            peer is None
            or who not in self.alive
            or peer.leaving
            or peer.store_state in (StoreState.JUDGING, StoreState.OUT)
        ):
            return False
        return who == self.own_id or now - peer.received_ms < SILENT_AFTER_LEASES * self.rules.lease_ms

    def _change_rosters(self, now: float) -> None:
        wanted = (
            ()
            if self.leaving
            else tuple(sorted(x for who, x in self.alive.items() if self._takes_part(who, now)))
        )
        lived = any(self.peers[x.member_id].earlier_run_known for x in wanted)
        fresh = (
            not lived
            and self.persistence is None
            or len(wanted) >= self.rules.routers
            and all(self.peers[x.member_id].lineage == 0 for x in wanted)
        )
        here = [(x, self.peers[who]) for who, x in self.alive.items() if who in self.peers]
        own = (
            ()
            if self.persistence is None or self.persistence.state is not StoreState.WHOLE
            else self.persistence.runs
        )
        self.replica_sets.representatives = dict.fromkeys(own, self.own) | {
            life: x
            for x, peer in here
            if peer.store_state is StoreState.WHOLE
            for life in peer.represented_runs
        }
        self.replica_sets.forgetful_runs = frozenset(
            x.member_id for x, peer in here if peer.store_state is StoreState.FORGOT
        )
        for to, item in self.replica_sets.tick(now, wanted, self.runs, self._settled, fresh, lived):
            self._to(to, item)
        if self.replica_sets.active and self._votes_in != self._roster:
            self._votes_in = self._roster
            self._votes_from = (
                0 if self.persistence is None else self.persistence.barrier(self.replica_sets.vote_state)
            )
            self._out.append(LogMessage(f"votes in roster {self.replica_sets.number}"))
        if self.replica_sets.stuck_reason != self._stuck:
            self._stuck = self.replica_sets.stuck_reason
            self._out.append(LogMessage(self._stuck or "enough routers are here to keep work"))
        if self._settled:
            self.replica_sets.settled = True
        if not self._purged and self._settled:
            self._purged = True
            for id in [x for x in self.replica.slots if self.own_id not in self.replicas_of(x)]:
                self.replica.forget(id)

    @property
    def _votes(self) -> bool:
        """Whether others may count on this one's votes: what it was told for them is safe."""
        return (
            self.replica_sets.active
            and self._votes_in == self._roster
            and (
                self.persistence is None
                or self.persistence.durable_number >= self._votes_from
                and self.persistence.usable
            )
        )

    @property
    def _settled(self) -> bool:
        """All members of the roster are known to vote in it."""
        roster = self.replica_sets.current
        return (
            self.replica_sets.settled
            or roster is not None
            and all(
                self._votes
                if x.member_id == self.own_id
                else (peer := self.peers.get(x.member_id)) is not None
                and peer.votes
                and (peer.lineage, peer.number) == self._roster
                for x in roster.members
            )
        )

    def _known(self, now: float, who: str, roster: ReplicaSet) -> None:
        if self.persistence is not None and self.persistence.state is StoreState.JUDGING:
            return
        if self.replica_sets.is_newer(roster):
            self._enter(now, roster)
        elif (
            (held := self.replica_sets.current) is not None
            and roster.lineage != held.lineage
            and (self.replica_sets.stuck_reason or not self.replica_sets.is_member or not self._followed(now))
            and self.peers[who].votes
        ):
            # Its own majority is gone for good, and others have begun anew: it joins them.
            self._out.append(LogMessage("joins routers that began anew: what this one kept is void"))
            self.replica.forget_all()
            self._enter(now, roster)
            for one in self.owned.values():
                self._keep(now, one)

    def _followed(self, now: float) -> bool:
        """Whether most members of this one's roster are of its lineage still."""
        roster = self.replica_sets.current
        return roster is not None and 2 * sum(
            x.member_id == self.own_id
            or self._takes_part(x.member_id, now)
            and self.peers[x.member_id].lineage == roster.lineage
            for x in roster.members
        ) > len(roster.members)

    def _enter(self, now: float, roster: ReplicaSet) -> None:
        self.replica_sets.enter(now, roster)
        self.replica.enter_replica_set(roster.number)
        if self._unjoined and not self.replica_sets.is_source:
            # The others have gone on without it: what they have let lapse since must not come back.
            self.replica.forget_all()
        self._unjoined = False
        self._tells.clear()
        self._parts.clear()
        self._purged = False
        names = ", ".join(x.name for x in roster.members)
        missing = f"; {len(roster.holes)} holes" if roster.holes else ""
        self._out.append(LogMessage(f"roster {roster.number}: {names}{missing}"))
        for member in (*roster.members, *roster.sources):
            if member.member_id not in self.peers:
                self.peers[member.member_id] = Peer(member)
        if self.replica_sets.is_source:
            self._tell(now, roster)
        for held in self.owned.values():
            self._kept_by.subtract(held.replicas)
            held.replicas, held.written, held.holders = self.replicas_of(held.id), set(), set()
            self._kept_by.update(held.replicas)
            held.sent_ms, held.resend_after_ms = -1e12, RESEND_MS
            self._unwritten[held.id] = None
        for attempt in self.acquisitions.values():
            attempt.stage, attempt.next_ms, attempt.may_claim = Stage.WAIT, now, False
        for held in list(self.owned.values()):
            if any(
                placement.may_be_lost(held.id, held.ballot[0], x, self.rules.tolerated_losses + 1)
                for x in roster.holes
            ):
                self._keep(now, held)  # more may have been written of it: under a new term, or not at all
        for member in roster.members:  # whoever decided it tells it to all
            if member.member_id != self.own_id:
                self._to(member.member_id, wire.ReplicaSetAnnouncement(roster))
        for peer in self.peers.values():
            if peer.member.member_id in self.alive:
                self._renew(now, peer)

    def _tell(self, now: float, roster: ReplicaSet) -> None:
        """All that this one holds, to those who keep it from now on."""
        mine: dict[str, list[str]] = {x.member_id: [] for x in roster.members}
        for id in self.replica.slots:
            for who in self.replicas_of(id):
                mine[who].append(id)
        leases = [(owner, self.replica.lease_left_ms(owner, now)) for owner in self.replica.lease_ends_ms]
        leases = [x for x in leases if x[1] > 0.0]
        for who, ids in mine.items():
            if who == self.own_id:
                self.replica_sets.source_completed(now, who)
                continue
            parts = list(
                wire.batches(self.replica.export_slots(ids), wire.size, wire.MAX_TRANSFER_BYTES)
            ) or [[]]
            for at, slots in enumerate(parts):
                tell = wire.TransferPart(roster.number, at, len(parts), slots, leases)
                self._tells[who, at] = tell, now
                self._to(who, tell)

    def _told(self, now: float, who: str, tell: wire.TransferPart, roster: tuple[int, int]) -> None:
        if roster[0] != self.replica_sets.lineage or tell.number > self.replica_sets.number:
            return  # it is told again until this one knows that roster
        self._to(who, wire.TransferAck(tell.number, tell.part))
        if tell.number < self.replica_sets.number or self.replica_sets.active:
            return
        self.replica.merge_transfer(now, tell.slots, tell.leases)
        parts = self._parts.setdefault(who, set())
        parts.add(tell.part)
        if len(parts) == tell.parts:
            self.replica_sets.source_completed(now, who)
            if self.replica_sets.active:
                self._say_hi(now, at_once=True)

    # Keeping

    def _among_most(self, now: float) -> bool:
        """Whether most of the roster have answered of late: the others may go on without those to whom they
        have not, and answer for what those keep.  A cut is followed by a roster only later than this.
        """
        roster = self.replica_sets.current
        if roster is None:
            return False
        heard = sum(
            x.member_id == self.own_id
            or now - self.peers[x.member_id].confirmed_ms < SILENT_AFTER_LEASES * self.rules.lease_ms
            for x in roster.members
        )
        return 2 * heard > len(roster.members)

    def _vote(
        self,
        now: float,
        who: str,
        item: wire.Prepare | wire.Write,
        roster: tuple[int, int],
    ) -> wire.Items:
        active = self.replica_sets.active_since_ms
        if (
            roster != self._roster
            or active is None
            or not self._among_most(now)
            or self.replica_sets.vote_suspended
        ):
            return wire.Refused(item.id, item.ballot, RefusalReason.REPLICA_SET)
        written = self.replica.slots.get(item.id, register.EMPTY_SLOT).accepted[0]
        hole = any(
            placement.may_be_lost(item.id, written, x, self.rules.tolerated_losses + 1)
            for x in self.replica_sets.holes
        )
        if isinstance(item, wire.Write):
            return self.replica.write(now, who, item, hole)
        if hole and now - active < HOLE_WAIT_MS:
            return wire.Refused(item.id, item.ballot, RefusalReason.REPLICA_SET)
        return self.replica.prepare(now, who, item, hole)

    # Owning

    def _own(self, now: float, attempt: Acquisition) -> None:
        work = attempt.work
        assert work is not None
        held = OwnedRecord(attempt.id, work, attempt.ballot, attempt.ballot, attempt.replicas, sent_ms=now)
        if attempt.reason == "keep" and (was := self.owned.get(attempt.id)) is not None:
            held.hand_over_to = was.hand_over_to
        held.written = {
            x
            for x, generation in attempt.written.items()
            if x in self.peers and self.peers[x].generation == generation
        }
        held.holders = set(held.written)
        self._hold(held)
        if len(held.written) < len(held.replicas):
            self._unwritten[attempt.id] = None

    def _write(self, now: float, held: OwnedRecord, work: Work) -> None:
        held.work = work
        if (
            held.id not in self.acquisitions
        ):  # otherwise once it is known that this router has the record still
            held.ballot, held.written = (*held.ballot[:2], held.ballot[2] + 1), set()
            held.resend_after_ms = RESEND_MS
            self._send_to_keepers(now, held)

    def _keep(self, now: float, held: OwnedRecord, seen: Ballot = NO_BALLOT) -> None:
        """Asks for a new term, or learns that another has the record."""
        if held.id not in self.acquisitions:
            seen = max(seen, held.ballot)
            self._try(now, Acquisition(held.id, "keep", held.work, 1e18, 1e18, [], False, highest_seen=seen))

    def _send_to_keepers(self, now: float, held: OwnedRecord) -> None:
        held.sent_ms = now
        self._unwritten[held.id] = None
        soon = not held.work.paid and not held.hand_over_to
        write = wire.Write(held.id, held.ballot, held.work, deferrable=soon)
        for who in held.replicas:
            if who not in held.written:
                self._to(who, write, soon)

    def _rewrite(self, now: float) -> None:
        for id in list(islice(self._unwritten, REWRITES_PER_TICK)):
            held = self.owned.get(id)
            if held is None or len(held.written) == len(held.replicas) and held.replicas:
                del self._unwritten[id]
                continue
            del self._unwritten[id]  # behind the others
            self._unwritten[id] = None
            here = any(x in self.alive for x in held.replicas if x not in held.written)
            if here and id not in self.acquisitions and now - held.sent_ms >= held.resend_after_ms:
                held.resend_after_ms = min(2.0 * held.resend_after_ms, MAX_RESEND_MS)
                self._send_to_keepers(now, held)

    def _chosen(self, now: float, held: OwnedRecord) -> None:
        """A majority holds what was written last."""
        if held.chosen == held.ballot:
            return
        held.chosen = held.ballot
        if held.hand_over_to:
            given = wire.HandOver(held.id, held.ballot, held.work)
            self.counters.handed_over += 1
            self._forget(held.id)
            self._gifts[held.id] = held.hand_over_to, given, now, now + HAND_OVER_EXPIRY_MS
            evict_oldest(self._gifts, MAX_PENDING_HAND_OVERS)
            self._to(held.hand_over_to, given)
        elif not register.active_owner(held.work):
            self._forget(held.id)
            self._out.append(Closed(held.id))
        else:
            self._out.append(Replicated(held.id, held.work.phase))

    def _hold(self, held: OwnedRecord) -> None:
        self._forget(held.id)
        self.owned[held.id] = held
        self._kept_by.update(held.replicas)

    def _forget(self, id: str) -> None:
        held = self.owned.pop(id, None)
        if held is not None:
            self._kept_by.subtract(held.replicas)
        self._unwritten.pop(id, None)

    def _lose(self, id: str, to: str, over: bool = False) -> None:
        self.counters.fenced += 1
        self._forget(id)
        self._out.append(OwnershipLost(id, to, over))

    def _asked_for(self, now: float, who: str, id: str) -> None:
        held, gift = self.owned.get(id), self._gifts.get(id)
        if gift is not None and gift[0] == who:
            self._to(who, gift[1])
        elif held is None or held.hand_over_to:
            self._to(who, wire.HandOverRefused(id, held is not None))
        elif held.work.phase is Phase.STANDS:
            self._hand(now, held, who)
        else:
            self._to(who, wire.HandOverRefused(id, True))

    def _given(self, now: float, who: str, given: wire.HandOver) -> None:
        self._to(who, wire.HandOverAck(given.id, given.ballot))
        held = self.owned.get(given.id)
        if given.work.owner != self.own_id or held is not None and held.chosen >= given.ballot:
            return
        if given.id in self._gifts and self._gifts[given.id][1].ballot >= given.ballot:
            return  # it has been here, and was handed on
        self.counters.received += 1
        self._hold(
            OwnedRecord(
                given.id, given.work, given.ballot, given.ballot, self.replicas_of(given.id), sent_ms=-1e12
            )
        )
        self._unwritten[given.id] = None
        self._out.append(Acquired(given.id, given.work, None))
        attempt = self.acquisitions.pop(given.id, None)
        for number in () if attempt is None else attempt.callers:
            self._out.append(Answer(number, Verdict.TAKEN_OVER, given.work))
        if self.leaving:
            self._leave_behind(now, given.id)

    def _not_given(self, now: float, told: wire.HandOverRefused) -> None:
        attempt = self.acquisitions.get(told.id)
        if attempt is not None and attempt.stage is Stage.HAND_OVER:
            if told.set_up_pending:
                attempt.next_ms, attempt.sent_ms = now + HAND_OVER_RETRY_MS, now
            else:
                attempt.stage, attempt.next_ms = Stage.WAIT, now + HAND_OVER_RETRY_MS

    # Trying

    def _try(self, now: float, attempt: Acquisition) -> None:
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
                self._idle[attempt.id] = None
                evict_oldest(self._idle, MAX_UNUSED)
            verdict = Verdict.OWNED_ELSEWHERE if attempt.owner else Verdict.UNREPLICATED
            self.counters.unkept += bool(attempt.callers)
            for number in attempt.callers:
                self._out.append(Answer(number, verdict, None))
            return
        if attempt.stage is Stage.WAIT:
            if now >= attempt.next_ms:
                self._begin(now, attempt)
        elif attempt.stage is Stage.HAND_OVER:
            if now >= attempt.next_ms:
                attempt.next_ms = now + HAND_OVER_RETRY_MS
                if attempt.owner in self.alive and now - attempt.sent_ms < HAND_OVER_TIMEOUT_MS:
                    self._to(attempt.owner, wire.HandOverRequest(attempt.id))
                else:
                    attempt.stage = Stage.WAIT
        elif attempt.written and self._wins(now, attempt):
            self._won(now, attempt)  # a lease has come since
        elif attempt.stage is Stage.CLAIM and now - attempt.sent_ms >= RESEND_MS:
            self._begin(now, attempt)  # one of them does not answer: most are enough, with a question first
        elif now - attempt.sent_ms >= attempt.resend_after_ms and attempt.refusals:
            self._give_way(now, attempt)  # the others may be away: what was refused is asked again
        elif now - attempt.sent_ms >= attempt.resend_after_ms:
            attempt.resend_after_ms = min(2.0 * attempt.resend_after_ms, 4.0 * RESEND_MS)
            attempt.written = {
                who: generation
                for who, generation in attempt.written.items()
                if who in self.peers and self.peers[who].generation == generation
            }
            self._ask(now, attempt)

    def _begin(self, now: float, attempt: Acquisition) -> None:
        """A new ballot, over those who keep it now."""
        if attempt.stage is Stage.CLAIM:
            self._withdraw(attempt)
        attempt.replicas = self.replicas_of(attempt.id)
        if not attempt.replicas:
            return  # there is no roster yet
        # All keepers have to take a claim: where one is away it is asked for at once.
        attempt.may_claim = attempt.may_claim and all(self._takes_part(x, now) for x in attempt.replicas)
        if attempt.may_claim:
            attempt.ballot = register.CLAIM_COUNTER, self.own_id, 0
        else:
            attempt.ballot = next_ballot(
                max(attempt.highest_seen, self._last), self.replica_sets.number, self.own_id
            )
            attempt.highest_seen = self._last = attempt.ballot  # no term of this run's is ever used twice
        attempt.promises, attempt.refusals, attempt.written = {}, {}, {}
        attempt.stage = Stage.CLAIM if attempt.may_claim else Stage.PREPARE
        attempt.work = attempt.proposed if attempt.may_claim else None
        attempt.wrote_prepared = attempt.wrote_prepared or attempt.may_claim
        attempt.found, attempt.may_claim, attempt.resend_after_ms = None, False, RESEND_MS
        self._ask(now, attempt)

    def _withdraw(self, attempt: Acquisition) -> None:
        """A keeper that took it alone would deny others for as long as this router lives."""
        for who in attempt.replicas:
            self._to(who, wire.Withdraw(attempt.id, attempt.ballot))

    def _ask(self, now: float, attempt: Acquisition) -> None:
        attempt.sent_ms = now
        ask: wire.Items
        if attempt.stage is Stage.PREPARE:
            ask = wire.Prepare(attempt.id, attempt.ballot)
            answered = attempt.promises.keys() | attempt.refusals.keys()
        else:
            assert attempt.work is not None
            ask = wire.Write(
                attempt.id, attempt.ballot, attempt.work, attempt.stage is Stage.CLAIM, attempt.deferrable
            )
            answered = attempt.written.keys() | attempt.refusals.keys()
        for who in attempt.replicas:
            if who not in answered:
                self._to(who, ask, attempt.deferrable and attempt.stage is not Stage.PREPARE)

    def _promised(self, now: float, who: str, told: wire.Promised) -> None:
        attempt = self.acquisitions.get(told.id)
        if (
            attempt is None
            or attempt.stage is not Stage.PREPARE
            or told.ballot != attempt.ballot
            or who not in attempt.replicas
        ):
            return
        attempt.promises[who] = told
        if len(attempt.promises) < register.majority(len(attempt.replicas)):
            return
        newest = max(attempt.promises.values(), key=lambda x: x.accepted)
        self._decide(now, attempt, newest.work, any(x.hole for x in attempt.promises.values()))

    def _decide(self, now: float, attempt: Acquisition, found: Work | None, hole: bool) -> None:
        work: Work
        if attempt.reason == "keep":
            held = self.owned.get(attempt.id)
            if held is None or not self._mine_still(held, found):
                del self.acquisitions[attempt.id]
                if held is not None and found is not None:
                    self._lose(attempt.id, found.owner, not register.active_owner(found))
                return
            work = held.work
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
                self._out.append(Answer(number, Verdict.FINAL, found))
            return
        elif hole and attempt.proposed.paid and (found is None or found.phase is Phase.INTENT):
            self.counters.unknown += 1  # more may have been known of it than is known now
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
            and attempt.id not in self._idle
        ):
            # Lost and come back: it may have left before.
            work = msgspec.structs.replace(found, phase=Phase.DOOMED)
        else:
            work = register.value_after_takeover(found, self.own_id, attempt.proposed)
            # Not acted on before it is won, whatever comes between: found again it is no failure.
            attempt.wrote_prepared = (
                attempt.wrote_prepared or work.owner == self.own_id and work.phase is Phase.INTENT
            )
        attempt.found, attempt.work, attempt.stage = found, work, Stage.WRITE
        attempt.refusals = {}
        self._ask(now, attempt)

    def _wins(self, now: float, attempt: Acquisition) -> bool:
        """Enough keepers have taken it; where it is to be acted on, their leases run as well."""
        count = len(attempt.replicas)
        most = register.majority(count)
        if len(attempt.written) < (count if attempt.stage is Stage.CLAIM else most):
            return False
        if attempt.reason != "claim" or attempt.work is None or attempt.work.phase is not Phase.INTENT:
            return True
        sure = [
            who
            for who, generation in attempt.written.items()
            if self.peers[who].generation == generation and self.peers[who].lease_until_ms > now
        ]
        return len(sure) >= most

    def _mine_still(self, held: OwnedRecord, found: Work | None) -> bool:
        """Whether what keepers have is this owner's, or what it was before; handed on, just what it wrote."""
        if found is None or found.epoch < held.work.epoch:
            return True
        return (
            found == held.work
            if held.hand_over_to
            else (found.epoch, found.owner) == (held.work.epoch, self.own_id)
        )

    def _written(self, now: float, who: str, told: wire.Written) -> None:
        attempt, held = self.acquisitions.get(told.id), self.owned.get(told.id)
        if (
            attempt is not None
            and attempt.stage in (Stage.CLAIM, Stage.WRITE)
            and told.ballot == attempt.ballot
            and who in attempt.replicas
        ):
            attempt.written[who] = told.generation
            if self._wins(now, attempt):
                self._won(now, attempt)
        elif held is not None and who in held.replicas:
            if told.generation == self.peers[who].generation and told.ballot[:2] == held.ballot[:2]:
                held.holders.add(who)
            if told.ballot != held.ballot:
                return
            if told.generation == self.peers[who].generation:
                held.written.add(who)
            if len(held.written) >= register.majority(len(held.replicas)):
                self._chosen(now, held)

    def _won(self, now: float, attempt: Acquisition) -> None:
        work, found = attempt.work, attempt.found
        assert work is not None
        del self.acquisitions[attempt.id]
        if attempt.reason == "keep":
            was = self.owned.get(attempt.id)
            if was is None:
                return  # an earlier write of this router's was chosen meanwhile, and ended it
            latest = was.work
            self._own(now, attempt)
            held = self.owned[attempt.id]
            if latest != work:  # it has changed meanwhile
                self._write(now, held, latest)
            else:
                held.chosen = NO_BALLOT  # so that what waited for this is told now
                self._chosen(now, held)
            return
        mine = register.active_owner(work) == self.own_id
        self._idle.pop(attempt.id, None)
        if mine:
            self._own(now, attempt)
        again = found is not None and mine and found.owner == self.own_id and bool(found.past_owners)
        if found is not None and (found != work and found.owner != self.own_id or again):
            self.counters.taken_over += 1  # (again: taken before, and its keepers' answers came too late)
        elif found is None:
            self.counters.claimed += 1
        if found is not None and (found != work or mine):
            self._out.append(Acquired(attempt.id, work, found))
        verdict = (
            Verdict.FINAL
            if not mine or work.phase is Phase.DOOMED
            else Verdict.TAKEN_OVER
            if work.phase is Phase.STANDS
            else Verdict.NEW
        )
        for number in attempt.callers:
            self._out.append(Answer(number, verdict, work))
        if mine and work.phase is Phase.DOOMED:
            self._write(now, self.owned[attempt.id], msgspec.structs.replace(work, phase=Phase.FAILED))

    def _refused(self, now: float, who: str, told: wire.Refused) -> None:
        attempt, held = self.acquisitions.get(told.id), self.owned.get(told.id)
        if attempt is None:
            if held is not None and told.ballot == held.ballot and told.reason is RefusalReason.BALLOT:
                # Another has come to that keeper: who has the record now?
                self._keep(now, held, told.promised)
            return
        if told.ballot != attempt.ballot or attempt.stage not in (Stage.CLAIM, Stage.PREPARE, Stage.WRITE):
            return
        attempt.refusals[who] = told
        attempt.highest_seen = max(attempt.highest_seen, told.promised)
        left = len(attempt.replicas) - len(attempt.refusals)
        if attempt.stage is not Stage.CLAIM and left >= register.majority(len(attempt.replicas)):
            return
        self._give_way(now, attempt)

    def _give_way(self, now: float, attempt: Acquisition) -> None:
        """This ballot comes to nothing: another has a higher one, or its owner a lease."""
        refusals, claimed = list(attempt.refusals.values()), attempt.stage is Stage.CLAIM
        if claimed:
            self._withdraw(attempt)
        # Guards against two who undo each other's ballots for as long as keepers' disks are slow.
        pause = min(BACKOFF_MS * 2.0 ** min(attempt.yields, 16), MAX_BACKOFF_MS)
        attempt.stage, attempt.next_ms = Stage.WAIT, now + self.random.uniform(0.2, 1.0) * pause
        attempt.yields += 1
        leases = [x for x in refusals if x.reason is RefusalReason.LEASE]
        if leases:
            attempt.owner = leases[0].owner
            if attempt.reason == "keep" and len(leases) >= register.majority(len(attempt.replicas)):
                del self.acquisitions[attempt.id]
                self._lose(attempt.id, attempt.owner)
            elif attempt.reason in ("claim", "find") and attempt.owner in self.alive:
                attempt.stage, attempt.next_ms, attempt.sent_ms = Stage.HAND_OVER, now, now
                self._step(now, attempt)
            else:
                attempt.next_ms = now + max(min(x.lease_left_ms for x in leases), 1.0)
        elif claimed and all(x.reason is not RefusalReason.REPLICA_SET for x in refusals):
            self._begin(now, attempt)  # it is not new: ask what it is

    # Records whose owner is gone

    def _look_for_orphans(self, now: float) -> None:
        if now - self._looked_ms >= OWNERLESS_SCAN_MS and self.replica_sets.active and not self.leaving:
            self._looked_ms = now
            for owner, ids in self.replica.ids_by_owner.items():
                if owner not in self.alive:
                    for id in ids:
                        self._queue(now, id, owner)
        begun = 0
        while self._orphans and begun < TAKEOVERS_PER_TICK and self._orphans.peekitem(0)[0][0] <= now:
            (_, id), _ = self._orphans.popitem(0)
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
            self._try(
                now,
                Acquisition(
                    id, "orphan", work, now + TAKEOVER_TIMEOUT_MS, now + TAKEOVER_TIMEOUT_MS, [], False
                ),
            )

    def _queue(self, now: float, id: str, owner: str) -> None:
        slot: Slot = self.replica.slots[id]
        if id in self._queued or id in self.acquisitions or not register.active_owner(slot.work):
            return
        here = [x for x in self.replicas_of(id) if x in self.alive]
        if self.own_id not in here:
            return
        first = placement.choose_successor(id, here, self.spare_capacity) == self.own_id
        due = max(now, self.replica.lease_ends_ms.get(owner, now)) + (
            0.0 if first else BACKUP_TAKEOVER_DELAY_MS
        )
        self._queued.add(id)
        self._orphans[due, id] = None

    def _unqueue(self, id: str) -> None:
        """Whoever comes for it goes first; what is left in the queue finds nothing to do."""
        self._queued.discard(id)
