"""What custody's machine takes in and gives out, and what it notes of records, peers and tries.  Pure."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from cloverhinge.ownership import wire
from cloverhinge.ownership.persistence import Persist, StoreState
from cloverhinge.ownership.register import NO_BALLOT, Ballot, Phase, Work
from cloverhinge.ownership.wire import Member

RESEND_MS, MAX_RESEND_MS = 50.0, 800.0  # what was lost is sent again; each time after twice as long


@dataclass(frozen=True, slots=True)
class Rules:
    """What an installation sets; times in ms."""

    tolerated_losses: int = 2  # losses that a record is to bear, and so one more holds a copy
    lease_ms: float = 1500.0
    routers: int = 1  # that the installation has
    retention_ms: float = 60_000.0  # an answer that stays is kept for so long
    hole_ms: float = 60_000.0  # what was lost is unknown for so long


class Verdict(Enum):
    NEW = "new"  # the intent is this router's, and with the keepers: set it up
    TAKEN_OVER = "taken"  # it stands, and is this router's from now on
    FINAL = "final"  # answered for good
    OWNED_ELSEWHERE = "held"  # another has it, and did not hand it over in time
    UNREPLICATED = "unkept"  # its keepers could not be reached in time


@dataclass(frozen=True, slots=True)
class Send:
    """To one run of one router."""

    to: Member
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    number: int
    verdict: Verdict
    work: Work | None


@dataclass(frozen=True, slots=True)
class Acquired:
    """This router changed the owner, or the verdict: what `found` had out is its to clear up."""

    id: str
    work: Work
    previous: Work | None  # None: handed over by its owner's word


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Not this router's any more; `to` took it, or is given it, and the box hears nothing of that.

    `over`: it has been answered for good, and is nobody's, so that what stands at its box is to be released.
    """

    id: str
    to: str
    final: bool = False


@dataclass(frozen=True, slots=True)
class Replicated:
    """What was written last of a record that this router owns is with its keepers."""

    id: str
    phase: Phase


@dataclass(frozen=True, slots=True)
class Closed:
    """The end of a record that this router owned is with its keepers."""

    id: str


@dataclass(frozen=True, slots=True)
class LogMessage:
    text: str


Action = Send | Answer | Acquired | OwnershipLost | Replicated | Closed | LogMessage | Persist


@dataclass(slots=True)
class Counters:
    claimed: int = 0
    taken_over: int = 0
    handed_over: int = 0
    received: int = 0  # of others by hand
    unknown: int = 0
    fenced: int = 0  # records lost to another
    unkept: int = 0


@dataclass(slots=True)
class Peer:
    member: Member
    received_ms: float = -1e12
    confirmed_ms: float = -1e12  # when a question was sent that it has answered
    lineage: int = 0
    number: int = 0
    votes: bool = False
    earlier_run_known: bool = False
    leaving: bool = False
    store_state: StoreState | None = None  # None: it has not said yet
    represented_runs: tuple[str, ...] = ()
    generation: int = 0
    lease_until_ms: float = -1e12  # of its lease for this router, by this router's clock
    pending_requests: OrderedDict[int, float] = field(default_factory=OrderedDict)
    requested_ms: float = -1e12
    surplus_since_ms: float | None = (
        None  # since when it keeps more records as this router's than that knows of
    )
    listed_up_to: str = ""  # which of them it was asked about last


@dataclass(slots=True)
class OwnedRecord:
    """A record that this router owns, under a term of its own or one that it was given."""

    id: str
    work: Work
    ballot: Ballot
    chosen: Ballot  # the last one that a majority is known to have taken
    replicas: tuple[str, ...]
    written: set[str] = field(default_factory=set)  # keepers that have what was written last
    holders: set[str] = field(
        default_factory=set
    )  # keepers that have this or an earlier write of this owner's
    sent_ms: float = 0.0
    resend_after_ms: float = RESEND_MS
    hand_over_to: str = ""  # to whom it is being handed


class Stage(Enum):
    WAIT = 0  # until `next_ms`
    CLAIM = 1  # written as new, without a question
    PREPARE = 2
    WRITE = 3
    HAND_OVER = 4  # its owner lives, and is asked for it


@dataclass(slots=True)
class Acquisition:
    id: str
    reason: str  # claim, find, orphan, keep, mine
    proposed: Work
    deadline_ms: float  # it ends then, or at `until_ms` where the record is known to be another's
    owned_deadline_ms: float
    callers: list[int]
    may_claim: bool  # the record may be new: it is written to all keepers at once
    stage: Stage = Stage.WAIT
    next_ms: float = 0.0
    replicas: tuple[str, ...] = ()
    ballot: Ballot = NO_BALLOT
    highest_seen: Ballot = NO_BALLOT
    promises: dict[str, wire.Promised] = field(default_factory=dict)
    refusals: dict[str, wire.Refused] = field(default_factory=dict)
    written: dict[str, int] = field(default_factory=dict)  # keepers, and the generation of each
    work: Work | None = None
    found: Work | None = None
    owner: str = ""
    sent_ms: float = 0.0
    resend_after_ms: float = RESEND_MS
    wrote_prepared: bool = False  # its intent, as that of a new record
    deferrable: bool = False  # nobody waits for it
    yields: int = 0  # to other ballots

    def join(self, caller: int, deadline_ms: float, owned_deadline_ms: float) -> None:
        """One more waits for what comes of it."""
        self.callers.append(caller)
        self.deadline_ms, self.owned_deadline_ms = (
            max(self.deadline_ms, deadline_ms),
            max(self.owned_deadline_ms, owned_deadline_ms),
        )
