"""Rules, actions and state of the ownership core: of records, peers and attempts to acquire.  Pure."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from cloverhinge.ownership import wire
from cloverhinge.ownership.persistence import Persist, StoreState
from cloverhinge.ownership.register import NO_BALLOT, Ballot, Phase, Work
from cloverhinge.ownership.wire import Member

RESEND_MS, MAX_RESEND_MS = 50.0, 800.0  # first and longest interval of resending; it doubles each time


@dataclass(frozen=True, slots=True)
class Rules:
    """Settings of an installation; times in ms."""

    tolerated_losses: int = 2  # lost replicas that a record survives: it has one replica more
    lease_ms: float = 1500.0
    routers: int = 1  # of the installation
    retention_ms: float = 60_000.0  # how long a final answer is stored
    hole_ms: float = 60_000.0  # how long lost records count as unknown


class Verdict(Enum):
    """The result of a claim or a look-up."""

    NEW = "new"  # the prepared record is this router's, and replicated: it may be set up
    TAKEN_OVER = "taken"  # the session is established, and this router's from now on
    FINAL = "final"  # the record has its final answer
    OWNED_ELSEWHERE = "held"  # another router owns it, and did not hand it over in time
    CONFLICT = "conflict"  # the record is of other work than the claim; it stays as it is
    UNREPLICATED = "unkept"  # its replicas could not be reached in time


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to one run of one router."""

    to: Member
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to the call with that number."""

    number: int
    verdict: Verdict
    work: Work | None


@dataclass(frozen=True, slots=True)
class Acquired:
    """This router wrote a new owner or phase; what is left of the `previous` value is its to release."""

    id: str
    work: Work
    previous: Work | None  # None: its owner handed it over


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """The record is not this router's any more: `to` took it over, or it is handed over to `to`.

    The media server is told nothing.  `final`: the record has its final answer and no owner, so that its
    session at the media server has to be released.
    """

    id: str
    to: str
    final: bool = False


@dataclass(frozen=True, slots=True)
class Replicated:
    """The last write of a record that this router owns is held by a majority of its replicas."""

    id: str
    phase: Phase


@dataclass(frozen=True, slots=True)
class Closed:
    """The end of a record that this router owned is held by a majority of its replicas."""

    id: str


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write this line to the log."""

    text: str


Action = Send | Answer | Acquired | OwnershipLost | Replicated | Closed | LogMessage | Persist


@dataclass(slots=True)
class Counters:
    """Events since the start, shown in the status under these names."""

    claimed: int = 0
    taken_over: int = 0
    handed_over: int = 0
    received: int = 0  # handed over to this router
    unknown: int = 0
    fenced: int = 0  # records lost to another router
    unkept: int = 0


@dataclass(slots=True)
class Peer:
    """What is known of another router's run, from its messages and its leases."""

    member: Member
    received_ms: float = -1e12  # of its last message
    confirmed_ms: float = -1e12  # when the last lease request was sent that it has answered
    lineage: int = 0
    number: int = 0  # of its replica set
    votes: bool = False
    earlier_run_known: bool = False
    leaving: bool = False
    store_state: StoreState | None = None  # None: not yet received
    represented_runs: tuple[str, ...] = ()
    generation: int = 0
    lease_until_ms: float = -1e12  # end of its lease to this router, by this router's clock
    pending_requests: OrderedDict[int, float] = field(default_factory=OrderedDict)
    requested_ms: float = -1e12
    surplus_since_ms: float | None = None  # since when it holds more of this router's records than known here
    listed_up_to: str = ""  # the last id that it has listed of them


@dataclass(slots=True)
class OwnedRecord:
    """A record that this router owns, under a term of its own or one handed over with the record."""

    id: str
    work: Work
    ballot: Ballot
    chosen: Ballot  # the last ballot that a majority is known to have accepted
    replicas: tuple[str, ...]
    written: set[str] = field(default_factory=set)  # replicas that have the last write
    holders: set[str] = field(
        default_factory=set
    )  # replicas that have this or an earlier write of this owner
    sent_ms: float = 0.0
    resend_after_ms: float = RESEND_MS
    hand_over_to: str = ""  # member id of the router that it is being handed over to


class Stage(Enum):
    """The stage of an attempt to acquire a record."""

    WAIT = 0  # until `next_ms`
    CLAIM = 1  # written as new, without a prepare round
    PREPARE = 2
    WRITE = 3
    HAND_OVER = 4  # its owner is alive, and is asked to hand it over


@dataclass(slots=True)
class Acquisition:
    """An attempt to acquire a record.

    Its reasons: "claim" and "find" for a viewer, "orphan" for a record whose owner is gone, "keep" for a new
    term of a record that is owned here, "mine" for one that replicas name this router as the owner of.
    """

    id: str
    reason: str
    proposed: Work
    deadline_ms: (
        float  # it ends then, or at `owned_deadline_ms` where another router is known to own the record
    )
    owned_deadline_ms: float
    callers: list[int]  # numbers of the calls to be answered
    may_claim: bool  # the record may be new: it is written to all replicas at once
    stage: Stage = Stage.WAIT
    next_ms: float = 0.0
    replicas: tuple[str, ...] = ()
    ballot: Ballot = NO_BALLOT
    highest_seen: Ballot = NO_BALLOT
    promises: dict[str, wire.Promised] = field(default_factory=dict)
    refusals: dict[str, wire.Refused] = field(default_factory=dict)
    written: dict[str, int] = field(default_factory=dict)  # replicas that accepted, each with its generation
    work: Work | None = None  # being written
    found: Work | None = None  # by the prepare round
    owner: str = ""
    sent_ms: float = 0.0
    resend_after_ms: float = RESEND_MS
    wrote_prepared: bool = False  # it has written its prepared record, as that of a new one
    deferrable: bool = False  # nobody waits for it
    yields: int = 0  # times that it backed off for other ballots

    def join(self, caller: int, deadline_ms: float, owned_deadline_ms: float) -> None:
        """Adds a call that waits for the result; extends the deadlines to the latest."""
        self.callers.append(caller)
        self.deadline_ms, self.owned_deadline_ms = (
            max(self.deadline_ms, deadline_ms),
            max(self.owned_deadline_ms, owned_deadline_ms),
        )
