"""Replica sets: numbered lists of the routers that hold replicas, each elected by the one before.  Pure.

The next replica set is decided as one decree of Paxos (Lamport 1998) by the members of the current one.  A
member that learns of it stops voting in the old one and transfers the replicas that it holds to the new
members; a new member votes once all `sources` have done so.  Members that cannot transfer theirs leave a
hole: records that may have been lost with them count as unknown for as long as a record could have lasted.

The first replica set is agreed on by a majority of the installation's routers.  A router that others remember
from an earlier run knows that there was one: where such a router is present, a first replica set needs all
routers of the installation, none of them with a replica set, and all earlier records count as unknown.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from cloverhinge.ownership import wire
from cloverhinge.ownership.persistence import VoteState
from cloverhinge.ownership.register import NO_BALLOT, Ballot, majority
from cloverhinge.ownership.replica import next_ballot
from cloverhinge.ownership.wire import Hole, Member, ReplicaSet

SETTLE_MS = 700.0  # a next replica set is proposed once the members have differed from it for so long
STAGGER_MS = 400.0  # added for each member before this one in the list, so that one proposes at a time
# A proposal that is not decided in time is repeated, with twice the time up to the second figure.
PROPOSAL_TIMEOUT_MS, MAX_PROPOSAL_TIMEOUT_MS = 400.0, 6400.0
RESEND_MS = 100.0  # between messages of one proposal
MAX_HOLES = 16  # in one replica set, the latest

Outgoing = list[tuple[str, wire.Items]]
RunsByName = Mapping[str, tuple[int, int]]  # by router name: its present run and that run's incarnation


@dataclass(slots=True)
class ReplicaSetProposal:
    """This router's proposal for the next replica set."""

    ballot: Ballot
    value: ReplicaSet  # written unless a promise reports an accepted one
    begun_ms: float
    sent_ms: float
    promises: dict[str, tuple[Ballot, ReplicaSet | None]] = field(default_factory=dict)
    writing: ReplicaSet | None = None  # the value of the write round; None during the prepare round
    written: set[str] = field(default_factory=set)


class ReplicaSetManager:
    """One router's view of the replica set, its vote and its proposals for the next one."""

    def __init__(self, own: Member, routers: int, hole_ms: float, seed: int) -> None:
        """`routers`: how many the installation has; `hole_ms`: how long a hole's records count as unknown."""
        self.own, self.routers, self.hole_ms = own, routers, hole_ms
        self.random = random.Random(seed)
        self.current: ReplicaSet | None = None
        self.completed_sources: set[str] = set()  # member ids of sources that have transferred all replicas
        self.active_since_ms: float | None = None  # since when this router votes
        self.fresh, self.earlier_run_known = False, False
        self.all_replaced = False  # each member of the current replica set was replaced by a later run
        self.stuck_reason = ""  # why no next replica set can be elected
        self._promised: Ballot = NO_BALLOT
        self._accepted: Ballot = NO_BALLOT
        self._value: ReplicaSet | None = None
        self._proposal: ReplicaSetProposal | None = None
        self._wanted: tuple[Member, ...] = ()  # the next members as last given to `tick`
        self._wanted_since_ms: float | None = None
        self._holes: dict[Hole, float] = {}
        # By the member id of an earlier run: the present run that has that run's complete store.
        self.representatives: dict[str, Member] = {}
        self.forgetful_runs: frozenset[str] = (
            frozenset()
        )  # runs without the state of earlier ones of their name
        self.restored = False  # this run began with a replica set restored from the store
        self.settled = False  # all members of the replica set were once known to vote in it
        self._proposal_timeout_ms = PROPOSAL_TIMEOUT_MS
        self._yields = 0  # times that it backed off for others' proposals
        self._back_off_until_ms = -1e12
        self.vote_suspended = False  # the own store is not checked yet, or failed

    @property
    def vote_state(self) -> VoteState:
        """The state that outlives a restart."""
        return VoteState(self.current, self._promised, self._accepted, self._value, self.settled)

    def restore(self, now: float, vote_state: VoteState) -> None:
        """Takes the state of a complete store: this run votes in place of the run that wrote it."""
        if vote_state.replica_set is not None:
            self.enter(now, vote_state.replica_set)
        self._promised, self._accepted, self._value = (
            vote_state.promised,
            vote_state.accepted,
            vote_state.value,
        )
        self.settled, self.restored = vote_state.settled, True

    def _counted_as(self, member_id: str) -> str:
        """The member id that this run's vote counts for."""
        members = () if self.current is None else self.current.members
        return next((x.member_id for x in members if self._current_run(x).member_id == member_id), member_id)

    def _current_run(self, member: Member) -> Member:
        """The run that represents a member."""
        return self.representatives.get(member.member_id, member)

    @property
    def is_source(self) -> bool:
        """Whether the other members wait for this router's replicas."""
        return self.current is not None and self.own in map(self._current_run, self.current.sources)

    @property
    def number(self) -> int:
        """The number of the current replica set; 0 where there is none."""
        return 0 if self.current is None else self.current.number

    @property
    def lineage(self) -> int:
        """A random number that all successors of one first replica set share; 0 where there is none."""
        return 0 if self.current is None else self.current.lineage

    @property
    def holes(self) -> list[Hole]:
        """The holes that still count."""
        return list(self._holes)

    @property
    def is_member(self) -> bool:
        """Whether this run is a member of the current replica set, or represents one."""
        return self.current is not None and self.own in map(self._current_run, self.current.members)

    @property
    def active(self) -> bool:
        """Whether this router votes on records."""
        return self.active_since_ms is not None

    def is_quorum(self, votes: Collection[str], runs: RunsByName) -> bool:
        """Whether these member ids decide the next replica set.

        Either more than half of the current members; or all of them but those replaced by a later run of
        their name (`runs`), which are gone and can vote for nothing else.  Where all are gone nothing of the
        replica set is remembered, and a majority of the installation's routers founds a new one.
        """
        if self.current is None or self._all_replaced(runs):
            return len(votes) >= majority(self.routers)
        members, voices = self.current.members, {self._counted_as(x) for x in votes}
        if 2 * len(voices) > len(members):
            return True
        replaced = self._replaced(runs)
        return bool(voices) and all(x.member_id in voices or x in replaced for x in members)

    def _replaced(self, runs: RunsByName) -> set[Member]:
        """Members replaced by a later run of their name, which reports that it remembers nothing.

        A report on an earlier run may arrive late; a higher incarnation shows that the run is a later one.  A
        router that restored its replica set can't use incarnations, since all routers may have restarted: it
        relies on the runs' own reports.  Quorums still intersect as long as the members wrongly considered
        gone are fewer than half.
        """
        if self.current is None:
            return set()
        return {
            x
            for x, incarnation in zip(self.current.members, self.current.incarnations, strict=True)
            if (latest := runs.get(x.name)) is not None
            and latest[0] != x.run
            and (latest[1] > incarnation or self.restored)
            and Member(x.name, latest[0]).member_id in self.forgetful_runs
        }

    def _all_replaced(self, runs: RunsByName) -> bool:
        return self.current is not None and len(self._replaced(runs)) == len(self.current.members)

    # Proposing

    def tick(
        self,
        now: float,
        wanted: tuple[Member, ...],
        runs: RunsByName,
        settled: bool,
        fresh: bool,
        earlier_run_known: bool,
    ) -> Outgoing:
        """Proposes the next replica set where one is due; returns the messages to send.

        `wanted`: routers that take part now, in order; `settled`: all members of the replica set are known to
        vote; `earlier_run_known`: some of `wanted` are remembered from an earlier run; `fresh`: none of them
        is, or all routers are present and have no replica set.
        """
        self.fresh, self.earlier_run_known = fresh, earlier_run_known
        for hole in [x for x, since in self._holes.items() if now - since > self.hole_ms]:
            del self._holes[hole]
        members = () if self.current is None else self.current.members
        voting = {self._current_run(x) for x in members}
        self.all_replaced = self._all_replaced(runs)
        may_propose = fresh if self.current is None else self.is_member or self.all_replaced
        if wanted == members or self.own not in wanted or not may_propose or self.vote_suspended:
            self._wanted_since_ms, self._proposal, self.stuck_reason = None, None, ""
            return []
        if wanted != self._wanted:
            self._wanted, self._wanted_since_ms = wanted, now
        elif self._wanted_since_ms is None:
            self._wanted_since_ms = now
        proposal = self._proposal
        if proposal is not None and now - proposal.begun_ms < self._proposal_timeout_ms:
            return self._send(now, proposal) if now - proposal.sent_ms >= RESEND_MS else []
        voters = [x.member_id for x in wanted if self.current is None or self.all_replaced or x in voting]
        if not self.is_quorum(voters, runs):
            if now - self._wanted_since_ms < SETTLE_MS:
                return []
            needed = self.routers if self.current is None or self.all_replaced else len(members)
            self.stuck_reason = f"{len(voters)} of {needed} routers are present, too few to replicate work"
            self._proposal = None
            return []
        self.stuck_reason = ""
        rank = voters.index(self.own.member_id) if self.own.member_id in voters else len(voters)
        if now - (self._wanted_since_ms or now) < SETTLE_MS + rank * STAGGER_MS:
            return []
        ballot = next_ballot(self._promised, 0, self.own.member_id)
        if now < self._back_off_until_ms:
            return []
        if proposal is not None and proposal.begun_ms > 0.0:
            # The members' disks may be slow.
            self._proposal_timeout_ms = min(2.0 * self._proposal_timeout_ms, MAX_PROPOSAL_TIMEOUT_MS)
        self._proposal = ReplicaSetProposal(ballot, self._next_replica_set(wanted, runs, settled), now, now)
        return self._send(now, self._proposal)

    def _next_replica_set(self, wanted: tuple[Member, ...], runs: RunsByName, settled: bool) -> ReplicaSet:
        current = self.current
        incarnations = tuple(runs[x.name][1] if x.name in runs else 1 for x in wanted)
        if current is None:
            # Which records there were before all restarted is not known: any may have been lost.
            lost = (Hole(0, wanted, tuple(x.member_id for x in wanted)),) if self.earlier_run_known else ()
            return ReplicaSet(self.random.getrandbits(62) + 1, 1, wanted, incarnations, (), lost)
        known = sorted({*current.members, *(() if settled else current.sources)})
        sources = tuple(sorted({y for x in known if (y := self._current_run(x)) in wanted}))
        missing = tuple(x.member_id for x in known if self._current_run(x) not in wanted)
        holes = list(self._holes)
        if missing:
            holes.append(Hole(current.number, current.members, missing))
            if not settled:  # the transfer from the replica set before may not have been complete either
                holes = [Hole(x.number, x.members, tuple(sorted({*x.missing, *missing}))) for x in holes]
        return ReplicaSet(
            current.lineage, current.number + 1, wanted, incarnations, sources, tuple(holes[-MAX_HOLES:])
        )

    def _electors(self) -> list[str]:
        return [
            x.member_id
            for x in (
                self._wanted
                if self.current is None or self.all_replaced
                else map(self._current_run, self.current.members)
            )
        ]

    def _send(self, now: float, proposal: ReplicaSetProposal) -> Outgoing:
        proposal.sent_ms = now
        if proposal.writing is None:
            prepare = wire.ReplicaSetPrepare(self.number, proposal.ballot)
            return [(x, prepare) for x in self._electors() if x not in proposal.promises]
        write = wire.ReplicaSetWrite(self.number, proposal.ballot, proposal.writing)
        return [(x, write) for x in self._electors() if x not in proposal.written]

    # Voting

    def _may_vote_after(self, number: int) -> bool:
        """Whether this router votes on the successor of that replica set."""
        return not self.vote_suspended and number == self.number and (self.current is not None or self.fresh)

    def _newer_for(self, number: int) -> wire.Items | None:
        """The answer to a request that concerns an earlier replica set."""
        return (
            None
            if self.current is None or number >= self.number
            else wire.ReplicaSetAnnouncement(self.current)
        )

    def _back_off(self, now: float) -> None:
        """Leaves another's proposal alone, for longer each time, so that two do not void each other's."""
        self._yields += 1
        if self._yields > 1:
            self._back_off_until_ms = now + min(
                SETTLE_MS * 2.0 ** min(self._yields - 2, 8), MAX_PROPOSAL_TIMEOUT_MS
            )

    def on_prepare(self, now: float, prepare: wire.ReplicaSetPrepare) -> wire.Items | None:
        """Answers a prepare request, if this router has a vote or a newer replica set."""
        if not self._may_vote_after(prepare.number):
            return self._newer_for(prepare.number)
        if prepare.ballot <= self._promised:
            return wire.ReplicaSetRefused(prepare.number, prepare.ballot, self._promised)
        if prepare.ballot[1] != self.own.member_id:
            # The own proposal is void: the other's quorum may be counted without dead members.
            self._proposal = None
            self._back_off(now)
        self._promised = prepare.ballot
        return wire.ReplicaSetPromised(prepare.number, prepare.ballot, self._accepted, self._value)

    def on_write(self, write: wire.ReplicaSetWrite) -> wire.Items | None:
        """Answers a write, if this router has a vote or a newer replica set."""
        if not self._may_vote_after(write.number):
            return self._newer_for(write.number)
        if write.ballot < self._promised:
            return wire.ReplicaSetRefused(write.number, write.ballot, self._promised)
        self._promised = self._accepted = write.ballot
        self._value = write.value
        return wire.ReplicaSetWritten(write.number, write.ballot)

    def on_promised(
        self, now: float, member_id: str, promised: wire.ReplicaSetPromised, runs: RunsByName
    ) -> Outgoing:
        """Counts a promise; returns the writes to send once a quorum has promised."""
        proposal = self._proposal
        if (
            proposal is None
            or promised.number != self.number
            or promised.ballot != proposal.ballot
            or proposal.writing is not None
            or member_id not in self._electors()
        ):
            return []
        proposal.promises[member_id] = promised.accepted, promised.value
        if not self.is_quorum(proposal.promises, runs):
            return []
        newest = max(proposal.promises.values(), key=lambda x: x[0])
        proposal.writing = newest[1] or proposal.value
        return self._send(now, proposal)

    def on_written(
        self, member_id: str, written: wire.ReplicaSetWritten, runs: RunsByName
    ) -> ReplicaSet | None:
        """Counts an acceptance; returns the next replica set once it is decided."""
        proposal = self._proposal
        if (
            proposal is None
            or proposal.writing is None
            or written.number != self.number
            or written.ballot != proposal.ballot
            or member_id not in self._electors()
        ):
            return None
        proposal.written.add(member_id)
        return proposal.writing if self.is_quorum(proposal.written, runs) else None

    def on_refused(self, now: float, refused: wire.ReplicaSetRefused) -> None:
        """Handles a refusal: the proposal is repeated later with a higher ballot."""
        if self._proposal is not None and refused.ballot == self._proposal.ballot:
            self._promised = max(self._promised, refused.promised)
            self._proposal.begun_ms = -1e12  # repeated with a higher ballot after the back-off
            self._back_off(now)

    # Following

    def is_newer(self, replica_set: ReplicaSet) -> bool:
        """Whether `replica_set` is a later one of this router's lineage, or this router's first."""
        return self.current is None or (
            replica_set.lineage == self.current.lineage and replica_set.number > self.current.number
        )

    def enter(self, now: float, replica_set: ReplicaSet) -> None:
        """Makes `replica_set` the current one; this router votes once all sources have completed."""
        self.current, self.completed_sources, self.active_since_ms = replica_set, set(), None
        self.settled = False
        self._proposal_timeout_ms, self._yields, self._back_off_until_ms = PROPOSAL_TIMEOUT_MS, 0, -1e12
        self._promised = self._accepted = NO_BALLOT
        self._value = self._proposal = None
        self._wanted_since_ms, self.stuck_reason = None, ""
        for hole in replica_set.holes:
            self._holes.setdefault(hole, now)
        self._activate_if_complete(now)

    def source_completed(self, now: float, member_id: str) -> None:
        """A source has transferred all that it holds for this router."""
        self.completed_sources.add(member_id)
        self._activate_if_complete(now)

    def _activate_if_complete(self, now: float) -> None:
        if (
            self.active_since_ms is None
            and self.current is not None
            and self.own in self.current.members
            and all(
                {x.member_id, self._current_run(x).member_id} & self.completed_sources
                for x in self.current.sources
            )
        ):
            self.active_since_ms = now
