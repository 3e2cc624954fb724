"""Requests, attempts and outcomes, and the two ports through which wires are joined to the core."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any, Protocol

from cloverhinge.core.deadlines import DeadlineKey
from cloverhinge.decision.interface import Outcome, ServerListing, ServiceClass


@dataclass(frozen=True, slots=True)
class SetUpRequest:
    """What a viewer wants, as any front reads it."""

    session_id: str  # the session's id, as the wires carry it
    class_name: str
    title: str
    first_cell: int
    copies: int
    ceiling: int
    wait_ms: float  # how long the viewer waits for the answer
    body: bytes = b""  # its description, for the box alone
    length_ms: float = 0.0
    viewer_id: str = ""
    returning: bool = False
    peer_address: str = ""  # the viewer's address
    client_number: int = -1  # the door's number of the client that vouched for it; -1 = go by the address
    reservation_token: str = ""  # of an earlier quote
    retry_after_step_ms: float = 1.0  # the wire tells holds-off in steps of so much
    record_id: str = ""  # under which custody keeps it; none: under its name


class State(Enum):
    OPEN = "open"  # a final answer is owed
    ESTABLISHED = "stands"
    OVER = "over"


class Presence(Enum):
    """What is known of a client at the moment at which an attempt for it would leave."""

    PRESENT = "there"
    UNREAD = "unread"  # it has sent something that has not been read, which may be a cancellation
    GONE = "gone"  # it has closed its connection


class Cause(Enum):
    """Why a session that stood is over."""

    ENDED = 16
    CANCELLED = 31
    CUT = 41


@dataclass(slots=True)
class Tally:
    """Requests of one class by their end, and attempts of it handed to boxes, since the start of the program.

    A request whose viewer has left before its end stands under none.
    """

    ok: int = 0
    shed: int = 0
    errors: int = 0
    tries: int = 0


@dataclass(slots=True, eq=False)
class Request:
    set_up: SetUpRequest
    service_class: ServiceClass
    client: ClientPort
    servers: ServerPort
    received_ms: float
    expires_ms: float
    tally: Tally  # its end is counted there
    handle: int = 0
    state: State = State.OPEN
    attempts: int = 0
    attempt: Attempt | None = None  # the one that is out
    may_have_run: bool = False
    last_outcome: Outcome | None = None
    server: int | None = None  # where it stands
    rung: int | None = None  # None = the lowest of the class
    deadline: DeadlineKey | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    request: Request
    number: int
    server: int
    started_ms: float
    until_ms: float
    written: bool = False  # its first byte has been handed to the network
    ended_by_sender: bool = False  # its way is asking whether it may be written, and ends it itself
    held_since_ms: float | None = None  # kept from the network since then, until its client has been read
    deadline: DeadlineKey | None = None


@dataclass(slots=True)
class Counters:
    """Since the start of the program."""

    tallies: dict[str, Tally] = field(default_factory=dict)  # by class
    taken: int = 0
    carried: int = 0
    left: int = 0
    attempts: int = 0
    probes: int = 0
    cut: int = 0
    ended: int = 0
    moved: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)

    @property
    def served(self) -> int:
        return sum(one.ok for one in self.tallies.values())

    @property
    def refused(self) -> int:
        return sum(one.shed for one in self.tallies.values())

    @property
    def failed(self) -> int:
        return sum(one.errors for one in self.tallies.values())

    def as_status(self) -> dict[str, Any]:
        """All of it by name, for those who look."""
        return asdict(self) | {"served": self.served, "refused": self.refused, "failed": self.failed}

    def count_outcome(self, outcome: Outcome) -> None:
        self.outcomes[outcome.value] = self.outcomes.get(outcome.value, 0) + 1


@dataclass(slots=True)
class MaintenanceEntry:
    """A box left out by hand: since when, and as the list has it meanwhile, where it does."""

    since_us: int
    listing: ServerListing | None


class ClientPort(Protocol):
    """Towards whoever asked.  Exactly one of the first three is called, unless the viewer has left."""

    def presence(self) -> Presence:
        """Whether the client is still there, as its connection shows at this moment."""

    def left(self, may_have_run: bool) -> None:
        """The core found it gone and has ended its request; whether an attempt for it may have run."""

    def served(self, answer: bytes) -> None: ...
    def refused(self, hold_off_ms: float, ticket: str = "") -> None: ...
    def failed(self, why: Outcome | None) -> None: ...
    def released(self, cause: Cause) -> None: ...
    def moved(self) -> None: ...


class ServerPort(Protocol):
    """Towards the boxes, over one wire."""

    def set_up(self, attempt: Attempt) -> None:
        """Send it once `Router.may_write` says so; report to `answered` or `attempt_ended`."""

    def give_up(self, attempt: Attempt) -> None: ...
    def release(self, request: Request, cause: Cause) -> None: ...
    def set_rung(self, request: Request, rung: int) -> None: ...


class AdmissionPort(Protocol):
    """Stands before the core where the site wants one: who is let in, and what is quoted to others."""

    def arrive(self, request: Request) -> None:
        """Call `Router.admit` or `Router.turn_away` for it, now or later but within its time."""

    def refused(self, request: Request, hold_off_ms: float) -> tuple[float, str]:
        """The module refused it: the hold-off and the ticket to tell."""

    def established(self, request: Request) -> None: ...
    def rung_changed(self, request: Request) -> None: ...
    def ended(self, request: Request) -> None: ...
    def fleet_changed(self) -> None: ...


class OwnershipPort(Protocol):
    """Sees to it that other routers know of the work in hand, where the site wants that."""

    def prepare(self, attempt: Attempt) -> None:
        """Call `Router.send` once its intent is kept as it has to be, or `Router.unkept`."""

    def may_write(self, attempt: Attempt) -> bool:
        """Whether this router still has the work, asked right before the first byte."""

    def may_establish(self, attempt: Attempt, answer: bytes) -> bool:
        """Whether it may stand here; otherwise `Router.answered` is called again once that is known."""

    def established(self, request: Request, answer: bytes) -> None:
        """Call its viewer's `served` once that is kept, or soon."""

    def adopted(self, request: Request) -> None: ...
    def rung_changed(self, request: Request) -> None: ...
    def ended(self, request: Request) -> None: ...

    def release(self, request: Request, cause: Cause) -> None:
        """Tell its box, once it is certain that the session is not another router's by now."""


class Prober(Protocol):
    def probe(self, server: int) -> None:
        """Report to `Router.probed`, in any case."""
