"""Whose majority keeps records: a numbered list of routers' runs, each agreed on by the one before it.  Pure.

The next roster is decided as one decree of Paxos (Lamport 1998) by the members of the present one.  A member
that learns of it votes no more in the old one, tells the new members what it holds, and a new member votes
once all `sources` have told.  Members who can't tell leave a hole: records that may have been lost with them
are unknown for as long as a record could have lasted.

The first roster is agreed on by a majority of the routers that the installation has.  A router that others
remember from an earlier run knows that there was one: where one is present, a first roster needs all routers
of the installation, none of them with a roster, and what was kept before is unknown.
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

SETTLE_MS = 700.0  # members that differ from the roster for so long are a reason for the next one
STAGGER_MS = 400.0  # and for each member before this one in the list, so that one proposes at a time
PROPOSAL_TIMEOUT_MS, MAX_PROPOSAL_TIMEOUT_MS = (
    400.0,
    6400.0,
)  # a proposal that was not decided in so long begins anew, twice as long
RESEND_MS = 100.0
MAX_HOLES = 16

Outgoing = list[tuple[str, wire.Items]]
RunsByName = Mapping[str, tuple[int, int]]  # by name: the run that is a member now, and its incarnation


@dataclass(slots=True)
class ReplicaSetProposal:
    """This router's try at the next roster."""

    ballot: Ballot
    value: ReplicaSet
    begun_ms: float
    sent_ms: float
    promises: dict[str, tuple[Ballot, ReplicaSet | None]] = field(default_factory=dict)
    writing: ReplicaSet | None = None
    written: set[str] = field(default_factory=set)


class ReplicaSetManager:
    def __init__(self, own: Member, routers: int, hole_ms: float, seed: int) -> None:
        """`routers`: how many the installation has."""
        self.own, self.routers, self.hole_ms = own, routers, hole_ms
        self.random = random.Random(seed)
        self.current: ReplicaSet | None = None
        self.completed_sources: set[str] = set()  # sources that have told all
        self.active_since_ms: float | None = None  # since when this one votes
        self.fresh, self.earlier_run_known = False, False
        self.all_replaced = False  # no member of the roster is left
        self.stuck_reason = ""  # why no next roster can be had
        self._promised: Ballot = NO_BALLOT
        self._accepted: Ballot = NO_BALLOT
        self._value: ReplicaSet | None = None
        self._draft: ReplicaSetProposal | None = None
        self._wanted: tuple[Member, ...] = ()
        self._since_ms: float | None = None
        self._holes: dict[Hole, float] = {}
        self.representatives: dict[
            str, Member
        ] = {}  # by a run that was: whose store, now read by this one, is whole
        self.forgetful_runs: frozenset[str] = (
            frozenset()
        )  # runs that remember nothing of earlier ones of their names
        self.restored = False  # this run began with a roster from before its start
        self.settled = False  # all members of the roster were known to vote in it, once
        self._try_ms = PROPOSAL_TIMEOUT_MS
        self._yields = 0  # to others' tries at the next roster
        self._quiet_until_ms = -1e12
        self.vote_suspended = False  # its own store is not judged yet, or failed: it has no voice

    @property
    def vote_state(self) -> VoteState:
        """What outlives a restart."""
        return VoteState(self.current, self._promised, self._accepted, self._value, self.settled)

    def restore(self, now: float, votes: VoteState) -> None:
        """From a store that is whole: this router has the voice of the run that wrote it."""
        if votes.replica_set is not None:
            self.enter(now, votes.replica_set)
        self._promised, self._accepted, self._value = votes.promised, votes.accepted, votes.value
        self.settled, self.restored = votes.settled, True

    def _voice(self, who: str) -> str:
        """The member as whom this run is counted."""
        members = () if self.current is None else self.current.members
        return next((x.member_id for x in members if self._now(x).member_id == who), who)

    def _now(self, member: Member) -> Member:
        """The run that speaks for a member."""
        return self.representatives.get(member.member_id, member)

    @property
    def is_source(self) -> bool:
        """Whether the others wait for what this router holds."""
        return self.current is not None and self.own in map(self._now, self.current.sources)

    @property
    def number(self) -> int:
        return 0 if self.current is None else self.current.number

    @property
    def lineage(self) -> int:
        return 0 if self.current is None else self.current.lineage

    @property
    def holes(self) -> list[Hole]:
        return list(self._holes)

    @property
    def is_member(self) -> bool:
        return self.current is not None and self.own in map(self._now, self.current.members)

    @property
    def active(self) -> bool:
        return self.active_since_ms is not None

    def is_quorum(self, votes: Collection[str], runs: RunsByName) -> bool:
        """Whether these decide the next roster.

        Either more than half of the present one's members; or all of them but those in whose place a later
        run of their name stands (`runs`): those are gone, and can vote for nothing else.  Where all are gone
        nothing of it is remembered, and a majority of the installation's routers begins anew.
        """
        if self.current is None or self._gone(runs):
            return len(votes) >= majority(self.routers)
        members, voices = self.current.members, {self._voice(x) for x in votes}
        if 2 * len(voices) > len(members):
            return True
        gone = self._replaced(runs)
        return bool(voices) and all(x.member_id in voices or x in gone for x in members)

    def _replaced(self, runs: RunsByName) -> set[Member]:
        """Members in whose place a later run is seen that says that it remembers nothing.

        An earlier run is only what is known too late.  Incarnations tell the two apart, but not for one that
        began with a roster: all may have restarted.  Then it goes by what runs say of themselves; one taken
        for gone by mistake leaves quorums that meet, as long as these are fewer than half.
        """
        if self.current is None:
            return set()
        return {
            x
            for x, born in zip(self.current.members, self.current.incarnations, strict=True)
            if (seen := runs.get(x.name)) is not None
            and seen[0] != x.run
            and (seen[1] > born or self.restored)
            and Member(x.name, seen[0]).member_id in self.forgetful_runs
        }

    def _gone(self, runs: RunsByName) -> bool:
        return self.current is not None and len(self._replaced(runs)) == len(self.current.members)

    # Proposing

    def tick(
        self,
        now: float,
        wanted: tuple[Member, ...],
        runs: RunsByName,
        settled: bool,
        fresh: bool,
        lived: bool,
    ) -> Outgoing:
        """`wanted`: routers that take part now, in order; `settled`: all of the roster are known to vote;
        `lived`: some of them are remembered from an earlier run; `fresh`: none is, or all are here and have
        no roster."""
        self.fresh, self.earlier_run_known = fresh, lived
        for hole in [x for x, since in self._holes.items() if now - since > self.hole_ms]:
            del self._holes[hole]
        held = () if self.current is None else self.current.members
        voting = {self._now(x) for x in held}
        self.all_replaced = self._gone(runs)
        begins = fresh if self.current is None else self.is_member or self.all_replaced
        if wanted == held or self.own not in wanted or not begins or self.vote_suspended:
            self._since_ms, self._draft, self.stuck_reason = None, None, ""
            return []
        if wanted != self._wanted:
            self._wanted, self._since_ms = wanted, now
        elif self._since_ms is None:
            self._since_ms = now
        draft = self._draft
        if draft is not None and now - draft.begun_ms < self._try_ms:
            return self._send(now, draft) if now - draft.sent_ms >= RESEND_MS else []
        voters = [x.member_id for x in wanted if self.current is None or self.all_replaced or x in voting]
        if not self.is_quorum(voters, runs):
            if now - self._since_ms < SETTLE_MS:
                return []
            needed = self.routers if self.current is None or self.all_replaced else len(held)
            self.stuck_reason = f"{len(voters)} of {needed} routers are here, too few to keep work"
            self._draft = None
            return []
        self.stuck_reason = ""
        rank = voters.index(self.own.member_id) if self.own.member_id in voters else len(voters)
        if now - (self._since_ms or now) < SETTLE_MS + rank * STAGGER_MS:
            return []
        ballot = next_ballot(self._promised, 0, self.own.member_id)
        if now < self._quiet_until_ms:
            return []
        if draft is not None and draft.begun_ms > 0.0:
            self._try_ms = min(2.0 * self._try_ms, MAX_PROPOSAL_TIMEOUT_MS)  # disks may be slow
        self._draft = ReplicaSetProposal(ballot, self._next(wanted, runs, settled), now, now)
        return self._send(now, self._draft)

    def _next(self, wanted: tuple[Member, ...], runs: RunsByName, settled: bool) -> ReplicaSet:
        roster = self.current
        born = tuple(runs[x.name][1] if x.name in runs else 1 for x in wanted)
        if roster is None:
            # What was kept before all began anew is not known: everything may have been.
            anew = (Hole(0, wanted, tuple(x.member_id for x in wanted)),) if self.earlier_run_known else ()
            return ReplicaSet(self.random.getrandbits(62) + 1, 1, wanted, born, (), anew)
        known = sorted({*roster.members, *(() if settled else roster.sources)})
        sources = tuple(sorted({y for x in known if (y := self._now(x)) in wanted}))
        missing = tuple(x.member_id for x in known if self._now(x) not in wanted)
        holes = list(self._holes)
        if missing:
            holes.append(Hole(roster.number, roster.members, missing))
            if not settled:  # what the one before held may not have been told whole either
                holes = [Hole(x.number, x.members, tuple(sorted({*x.missing, *missing}))) for x in holes]
        return ReplicaSet(roster.lineage, roster.number + 1, wanted, born, sources, tuple(holes[-MAX_HOLES:]))

    def _electors(self) -> list[str]:
        return [
            x.member_id
            for x in (
                self._wanted
                if self.current is None or self.all_replaced
                else map(self._now, self.current.members)
            )
        ]

    def _send(self, now: float, draft: ReplicaSetProposal) -> Outgoing:
        draft.sent_ms = now
        if draft.writing is None:
            ask = wire.ReplicaSetPrepare(self.number, draft.ballot)
            return [(x, ask) for x in self._electors() if x not in draft.promises]
        write = wire.ReplicaSetWrite(self.number, draft.ballot, draft.writing)
        return [(x, write) for x in self._electors() if x not in draft.written]

    # Voting

    def _votes_after(self, number: int) -> bool:
        """Whether this router has a voice in what follows that roster."""
        return not self.vote_suspended and number == self.number and (self.current is not None or self.fresh)

    def _news_for(self, number: int) -> wire.Items | None:
        """For one who asks about an earlier roster."""
        return (
            None
            if self.current is None or number >= self.number
            else wire.ReplicaSetAnnouncement(self.current)
        )

    def _yield(self, now: float) -> None:
        """Another tries: it is left alone for longer each time, so that two do not undo each other's."""
        self._yields += 1
        if self._yields > 1:
            self._quiet_until_ms = now + min(
                SETTLE_MS * 2.0 ** min(self._yields - 2, 8), MAX_PROPOSAL_TIMEOUT_MS
            )

    def on_prepare(self, now: float, ask: wire.ReplicaSetPrepare) -> wire.Items | None:
        if not self._votes_after(ask.number):
            return self._news_for(ask.number)
        if ask.ballot <= self._promised:
            return wire.ReplicaSetRefused(ask.number, ask.ballot, self._promised)
        if ask.ballot[1] != self.own.member_id:
            self._draft = None  # its own try is void: the other's may be counted without the dead
            self._yield(now)
        self._promised = ask.ballot
        return wire.ReplicaSetPromised(ask.number, ask.ballot, self._accepted, self._value)

    def on_write(self, told: wire.ReplicaSetWrite) -> wire.Items | None:
        if not self._votes_after(told.number):
            return self._news_for(told.number)
        if told.ballot < self._promised:
            return wire.ReplicaSetRefused(told.number, told.ballot, self._promised)
        self._promised = self._accepted = told.ballot
        self._value = told.value
        return wire.ReplicaSetWritten(told.number, told.ballot)

    def on_promised(self, now: float, who: str, told: wire.ReplicaSetPromised, runs: RunsByName) -> Outgoing:
        draft = self._draft
        if (
            draft is None
            or told.number != self.number
            or told.ballot != draft.ballot
            or draft.writing is not None
            or who not in self._electors()
        ):
            return []
        draft.promises[who] = told.accepted, told.value
        if not self.is_quorum(draft.promises, runs):
            return []
        newest = max(draft.promises.values(), key=lambda x: x[0])
        draft.writing = newest[1] or draft.value
        return self._send(now, draft)

    def on_written(self, who: str, told: wire.ReplicaSetWritten, runs: RunsByName) -> ReplicaSet | None:
        """The next roster, once it is decided."""
        draft = self._draft
        if (
            draft is None
            or draft.writing is None
            or told.number != self.number
            or told.ballot != draft.ballot
            or who not in self._electors()
        ):
            return None
        draft.written.add(who)
        return draft.writing if self.is_quorum(draft.written, runs) else None

    def on_refused(self, now: float, told: wire.ReplicaSetRefused) -> None:
        if self._draft is not None and told.ballot == self._draft.ballot:
            self._promised = max(self._promised, told.promised)
            self._draft.begun_ms = -1e12  # begins anew above it, once the other had its time
            self._yield(now)

    # Following

    def is_newer(self, roster: ReplicaSet) -> bool:
        """Whether this is news of this router's own lineage, or its first."""
        return self.current is None or (
            roster.lineage == self.current.lineage and roster.number > self.current.number
        )

    def enter(self, now: float, roster: ReplicaSet) -> None:
        self.current, self.completed_sources, self.active_since_ms = roster, set(), None
        self.settled = False
        self._try_ms, self._yields, self._quiet_until_ms = PROPOSAL_TIMEOUT_MS, 0, -1e12
        self._promised = self._accepted = NO_BALLOT
        self._value = self._draft = None
        self._since_ms, self.stuck_reason = None, ""
        for hole in roster.holes:
            self._holes.setdefault(hole, now)
        self._look(now)

    def source_completed(self, now: float, who: str) -> None:
        """A source has told all that it holds for this one."""
        self.completed_sources.add(who)
        self._look(now)

    def _look(self, now: float) -> None:
        if (
            self.active_since_ms is None
            and self.current is not None
            and self.own in self.current.members
            and all(
                {x.member_id, self._now(x).member_id} & self.completed_sources for x in self.current.sources
            )
        ):
            self.active_since_ms = now
