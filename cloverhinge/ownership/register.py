"""One register a record: compare-and-set over a majority of its keepers, leases that fence the owner.  Pure.

A record's keepers are acceptors of single-decree Paxos whose value may be replaced, as CASPaxos describes it
(Rystsov 2018); the epoch counts the owners.  A keeper that has granted an owner a lease denies others the
record until the lease is over by its own clock (Gray and Cheriton 1989).  Every step is a function of a
frozen state, so that all orders of events can be explored (`tests/test_ownership_model.py`).
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

# A counter that only grows, who proposes, and how often it has written under the two: these are its *term*.
Ballot = tuple[int, str, int]
NO_BALLOT: Ballot = (0, "", 0)
CLAIM_COUNTER = (
    1  # the counter of claims without a question: below all others, so that one which a keeper took alone
)
# hides nothing that was written after a question
MAX_PAST_OWNERS = 8  # earlier owners that a record names
MAX_BODY_BYTES = 4096  # bytes of the fronts' own: an RTSP answer and what was asked


class Phase(IntEnum):
    """Of a piece of work; FAILED and OVER are answers that stay, the others have an owner who acts."""

    INTENT = 0  # its set-up may be on its way
    STANDS = 1
    FAILED = 2  # it may have run, and is never set up again
    OVER = 3
    DOOMED = 4  # it has failed; what an earlier owner may have left at a box is still to be released


ACTIVE_PHASES = (Phase.INTENT, Phase.STANDS, Phase.DOOMED)


class Work(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A record's value.  `owner` names one run of one router, so that a restarted one owns nothing."""

    owner: Annotated[str, Meta(max_length=96)]
    epoch: Annotated[int, Meta(ge=0)]  # one more with each owner
    phase: Phase
    paid: bool
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)] = (
        b""  # class, title, box, rung, token and the like
    )
    past_owners: Annotated[
        tuple[str, ...], Meta(max_length=MAX_PAST_OWNERS)
    ] = ()  # owners before, the last one last


@dataclass(frozen=True, slots=True)
class Slot:
    """What one keeper remembers of one record."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    work: Work | None = None


EMPTY_SLOT = Slot()


@dataclass(frozen=True, slots=True)
class Promise:
    """No ballot below this one is taken any more; `work` is the newest value that was."""

    ballot: Ballot
    accepted: Ballot
    work: Work | None


@dataclass(frozen=True, slots=True)
class Accepted:
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Denied:
    """A higher ballot was promised, or another's lease runs for `left_ms` more."""

    ballot: Ballot
    promised: Ballot
    owner: str = ""
    lease_left_ms: float = 0.0


Reply = Promise | Accepted | Denied


def active_owner(work: Work | None) -> str:
    """Who acts on the work; "" where nobody does."""
    return work.owner if work is not None and work.phase in ACTIVE_PHASES else ""


def prepare(slot: Slot, ballot: Ballot, proposer: str, lease_left_ms: float) -> tuple[Slot, Reply]:
    """`lease_left_ms`: what is left here of the lease of the slot's owner.

    A ballot is its proposer's alone, so asked again with it the keeper says again what it has promised.
    """
    owner = active_owner(slot.work)
    if owner and owner != proposer and lease_left_ms > 0.0:
        return slot, Denied(ballot, slot.promised, owner, lease_left_ms)
    if ballot < slot.promised or ballot == slot.promised == slot.accepted:
        return slot, Denied(ballot, slot.promised)
    return replace(slot, promised=ballot), Promise(ballot, slot.accepted, slot.work)


def accept(slot: Slot, ballot: Ballot, work: Work, is_claim: bool = False) -> tuple[Slot, Reply]:
    """A ballot that was promised to another is void; one that was never asked about counts as promised.

    Whoever has a term, by the promises of a majority, writes on under it without asking: any other's ballot
    that a majority promised since is of a later term, and so above all of its writes.  `new` writes a record
    that is taken to be new without having asked at all.  Such a term counts only once all keepers have taken
    it: with fewer, two of them may disagree on what a majority held (Lamport 2006, fast quorums).
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
    """Whether the owner must not act on this slot's word: another has been promised it, or has it."""
    return active_owner(slot.work) != owner or slot.promised != slot.accepted


def majority(replicas: int) -> int:
    return replicas // 2 + 1


@dataclass(frozen=True, slots=True)
class Proposal:
    """One router's try at one record: first it asks (a majority's promises), then it writes.

    Where a majority of promises holds no value the record is new; otherwise the value of the highest accepted
    ballot is what it was, and may be replaced by one that follows from it.
    """

    ballot: Ballot
    replicas: int
    promises: tuple[tuple[int, Promise], ...] = ()
    work: Work | None = None  # what it writes, once that is decided
    written: frozenset[int] = frozenset()

    @property
    def prepared(self) -> bool:
        return len(self.promises) >= majority(self.replicas)

    @property
    def chosen(self) -> bool:
        return self.work is not None and len(self.written) >= majority(self.replicas)

    @property
    def found(self) -> Work | None:
        """The newest value among the promises."""
        newest = max((x for _, x in self.promises), key=lambda x: x.accepted, default=None)
        return None if newest is None else newest.work

    def receive(self, replica: int, reply: Reply) -> Proposal:
        """Replies to other ballots, and second ones, change nothing."""
        if reply.ballot != self.ballot:
            return self
        if isinstance(reply, Promise) and replica not in (x for x, _ in self.promises) and self.work is None:
            promises = sorted((*self.promises, (replica, reply)), key=lambda x: x[0])
            return replace(self, promises=tuple(promises))
        if isinstance(reply, Accepted):
            return replace(self, written=self.written | {replica})
        return self

    def with_value(self, work: Work) -> Proposal:
        return replace(self, work=work, promises=())


def with_next_owner(work: Work, owner: str, **changed: object) -> Work:
    """The same work with its next owner."""
    past_owners = (*work.past_owners, work.owner)[-MAX_PAST_OWNERS:]
    return msgspec.structs.replace(
        work, owner=owner, epoch=work.epoch + 1, past_owners=past_owners, **changed
    )


def value_after_takeover(found: Work | None, asker: str, intent: Work) -> Work:
    """What a router that found `found`, with its owner's lease over, may make of the record.

    A paid intent may have left: it is never sent again, and its answer will be a failure.  An answer
    that stays is written as it is, so that a majority holds it; only work that may be repeated begins anew.
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
    """Whether the owner may act now: a majority of keepers hold its value, unfenced, under leases that run.

    Any other's majority meets this one in a keeper that denies it until that lease is over.
    """
    return work.owner == own and len(written & granted) >= majority(replicas)
