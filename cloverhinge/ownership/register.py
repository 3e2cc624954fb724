"""One register per record: compare-and-set over a majority of replicas, leases that fence the owner.  Pure.

A record's replicas are acceptors of single-decree Paxos whose value may be replaced, as in CASPaxos (Rystsov
2018); the epoch counts the owners.  A replica that has granted an owner a lease denies others the record
until the lease is over by its own clock (Gray and Cheriton 1989).  Every step is a function of a frozen
state, so that all orders of events can be explored (`tests/test_ownership_model.py`).
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

# A counter that only grows, the proposer, and the number of its writes under these two, which are its *term*.
Ballot = tuple[int, str, int]
NO_BALLOT: Ballot = (0, "", 0)
# The counter of claims without a prepare round.  It is below all others, so that a claim which only one
# replica accepted hides nothing that was written after a prepare round.
CLAIM_COUNTER = 1
MAX_PAST_OWNERS = 8  # earlier owners that a record names
MAX_BODY_BYTES = 4096  # of the front's own data: an RTSP answer and the set-up request


class Phase(IntEnum):
    """The phase of a piece of work; FAILED and OVER are final answers, the others have an owner that acts."""

    INTENT = 0  # prepared: its set-up may be under way
    STANDS = 1  # the session is established
    FAILED = 2  # it may have run, and is never set up again
    OVER = 3
    DOOMED = 4  # it has failed; what an earlier owner may have left at a media server is still to be released


ACTIVE_PHASES = (Phase.INTENT, Phase.STANDS, Phase.DOOMED)


class Work(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A record's value.  `owner` names one run of one router, so that a restarted one owns nothing."""

    owner: Annotated[str, Meta(max_length=96)]
    epoch: Annotated[int, Meta(ge=0)]  # one more with each owner
    phase: Phase
    paid: bool
    # Class, title, media server, rung, token and the like.
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)] = b""
    # Earlier owners, the latest one last.
    past_owners: Annotated[tuple[str, ...], Meta(max_length=MAX_PAST_OWNERS)] = ()


@dataclass(frozen=True, slots=True)
class Slot:
    """One replica's state of one record."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    work: Work | None = None


EMPTY_SLOT = Slot()


@dataclass(frozen=True, slots=True)
class Promise:
    """The replica accepts no ballot below this one any more; `work` is the newest value that it accepted."""

    ballot: Ballot
    accepted: Ballot
    work: Work | None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The replica accepted the value of that ballot."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Denied:
    """A higher ballot was promised, or the lease of `owner` runs for `lease_left_ms` more."""

    ballot: Ballot
    promised: Ballot
    owner: str = ""
    lease_left_ms: float = 0.0


Reply = Promise | Accepted | Denied


def active_owner(work: Work | None) -> str:
    """The owner that acts on the work; "" where nobody does."""
    return work.owner if work is not None and work.phase in ACTIVE_PHASES else ""


def prepare(slot: Slot, ballot: Ballot, proposer: str, lease_left_ms: float) -> tuple[Slot, Reply]:
    """A replica's answer to a proposer's prepare request; `lease_left_ms`: of the lease of the slot's owner.

    The lease protects a value only while nobody has a promise above it.  An owner that prepares a ballot
    itself does not act until it has won, so its own promise ends the protection as well: two routers that are
    named by one replica each could otherwise refuse each other for as long as both live.

    No two proposers share a ballot, so that a repeated request gets the same promise again.
    """
    owner = active_owner(slot.work)
    protected = slot.promised == slot.accepted and lease_left_ms > 0.0
    if owner and owner != proposer and protected:
        return slot, Denied(ballot, slot.promised, owner, lease_left_ms)
    if ballot < slot.promised or ballot == slot.promised == slot.accepted:
        return slot, Denied(ballot, slot.promised)
    return replace(slot, promised=ballot), Promise(ballot, slot.accepted, slot.work)


def accept(slot: Slot, ballot: Ballot, work: Work, is_claim: bool = False) -> tuple[Slot, Reply]:
    """A replica's answer to a write: accepted unless a higher ballot was promised; implies the promise.

    A proposer that has a term, by the promises of a majority, goes on writing under it without preparing
    again: any other's ballot that a majority promised since is of a later term, and so above all its writes.
    `is_claim` writes a record that is taken to be new, without a prepare round.  Such a term counts only once
    all replicas have accepted it: with fewer, two of them may disagree on what a majority held (Lamport 2006,
    fast quorums).
    """
    if (
        ballot < slot.promised
        or is_claim
        and slot.promised != NO_BALLOT
        and slot.accepted != ballot
        or ballot == slot.accepted
        and work != slot.work
    ):
        return slot, Denied(ballot, slot.promised)
    return Slot(ballot, ballot, work), Accepted(ballot)


def fenced(slot: Slot, owner: str) -> bool:
    """Whether this slot forbids the owner to act: another proposer has its promise, or owns the record."""
    return active_owner(slot.work) != owner or slot.promised != slot.accepted


def majority(replicas: int) -> int:
    """The smallest number of replicas that is more than half of them."""
    return replicas // 2 + 1


@dataclass(frozen=True, slots=True)
class Proposal:
    """One router's proposal for one record: a prepare round (a majority's promises), then a write.

    Where a majority of promises holds no value the record is new; otherwise its value is that of the highest
    accepted ballot, and may be replaced by one that follows from it.
    """

    ballot: Ballot
    replicas: int
    promises: tuple[tuple[int, Promise], ...] = ()
    work: Work | None = None  # the value that it writes, once that is decided
    written: frozenset[int] = frozenset()

    @property
    def prepared(self) -> bool:
        """Whether a majority has promised."""
        return len(self.promises) >= majority(self.replicas)

    @property
    def chosen(self) -> bool:
        """Whether a majority has accepted the value."""
        return self.work is not None and len(self.written) >= majority(self.replicas)

    @property
    def found(self) -> Work | None:
        """The newest value among the promises."""
        newest = max((x for _, x in self.promises), key=lambda x: x.accepted, default=None)
        return None if newest is None else newest.work

    def receive(self, replica: int, reply: Reply) -> Proposal:
        """The proposal after a reply; replies to other ballots, and repeated ones, change nothing."""
        if reply.ballot != self.ballot:
            return self
        if isinstance(reply, Promise) and replica not in (x for x, _ in self.promises) and self.work is None:
            promises = sorted((*self.promises, (replica, reply)), key=lambda x: x[0])
            return replace(self, promises=tuple(promises))
        if isinstance(reply, Accepted):
            return replace(self, written=self.written | {replica})
        return self

    def with_value(self, work: Work) -> Proposal:
        """The proposal in its second round, writing this value."""
        return replace(self, work=work, promises=())


def with_next_owner(work: Work, owner: str, **changed: object) -> Work:
    """The same work in the next epoch, under this owner, with the changed fields."""
    past_owners = (*work.past_owners, work.owner)[-MAX_PAST_OWNERS:]
    return msgspec.structs.replace(
        work, owner=owner, epoch=work.epoch + 1, past_owners=past_owners, **changed
    )


def value_after_takeover(found: Work | None, asker: str, intent: Work) -> Work:
    """The value that router `asker` writes where it found `found` and the owner's lease is over.

    The set-up of a paid prepared record may have been sent: it is never sent again, and ends as a failure.  A
    final answer is written as it is, so that a majority holds it; only repeatable work begins anew, as
    `intent`.
    """
    if found is None:
        return intent
    if found.phase in (Phase.FAILED, Phase.OVER):
        if found.paid:
            return found
        return with_next_owner(found, asker, phase=intent.phase, body=intent.body)
    if found.owner == asker:
        return found
    if found.phase is Phase.INTENT and found.paid:
        return with_next_owner(found, asker, phase=Phase.DOOMED)
    return with_next_owner(found, asker)


def may_act(work: Work, own: str, written: frozenset[int], granted: frozenset[int], replicas: int) -> bool:
    """Whether the owner may act now: a majority of replicas hold its value, unfenced, under running leases.

    Any other router's majority shares a replica with this one, which denies it until that lease is over.
    """
    return work.owner == own and len(written & granted) >= majority(replicas)
