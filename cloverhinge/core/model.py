"""Requests, attempts and counters, and the ports that connect wire protocols and components to the core."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any, Protocol

from cloverhinge.core.deadlines import DeadlineKey
from cloverhinge.decision.interface import Outcome, ServiceClass


@dataclass(frozen=True, slots=True)
class SetUpRequest:
    """What a viewer asks for, independent of the wire protocol.  Times are in milliseconds."""

    session_id: str  # as on the wire
    class_name: str
    title: str
    first_cell: int
    copies: int
    ceiling: int
    wait_ms: float  # how long the client waits for the answer
    body: bytes = b""  # a description that only the media server reads
    length_ms: float = 0.0
    viewer_id: str = ""
    returning: bool = False
    peer_address: str = ""  # of the connection's client
    client_number: int = -1  # admission's number of its client, set by the front end; -1 = use the address
    reservation_token: str = ""  # of an earlier retry-after estimate
    retry_after_step_ms: float = 1.0  # granularity of retry-after times on the wire
    record_id: str = ""  # key of its ownership record; empty = its session id


class State(Enum):
    """State of a request and of the session that results from it."""

    OPEN = "open"  # the final answer is still to be sent
    ESTABLISHED = "stands"
    OVER = "over"


class Presence(Enum):
    """What is known of a client at the moment at which an attempt for it would be sent."""

    PRESENT = "there"
    UNREAD = "unread"  # it has sent input that has not been read yet, which may be a cancellation
    GONE = "gone"  # it has closed its connection


class Cause(Enum):
    """Why an established session has ended, with the number that the wire carries."""

    ENDED = 16
    CANCELLED = 31
    CUT = 41


@dataclass(slots=True)
class Tally:
    """Requests of one class by result, and its attempts sent to media servers, since the process started.

    A request whose viewer left before the answer is counted under no result.
    """

    ok: int = 0
    shed: int = 0
    errors: int = 0
    tries: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A set-up request with its progress, and then the session that it led to.  Times are in milliseconds."""

    set_up: SetUpRequest
    service_class: ServiceClass
    client: ClientPort
    servers: ServerPort
    received_ms: float
    expires_ms: float
    tally: Tally  # counts its result
    handle: int = 0
    state: State = State.OPEN
    attempts: int = 0
    attempt: Attempt | None = None  # the pending one
    may_have_run: bool = False
    last_outcome: Outcome | None = None
    server: int | None = None  # the media server at which the session is established
    established_ms: float = 0.0  # when this router learned that it is
    rung: int | None = None  # None = the lowest of the class
    deadline: DeadlineKey | None = None  # at which it is failed if it is still open
    handed_over: bool = False  # to another router or process, which has the session now

    @property
    def has_run(self) -> bool:
        """Whether a media server may have run one of its attempts, the pending one included."""
        pending = self.attempt is not None and self.attempt.written
        return self.may_have_run or pending or self.server is not None


@dataclass(slots=True, eq=False)
class Attempt:
    """One try to set a session up at one media server.  Times are in milliseconds."""

    request: Request
    number: int
    server: int
    started_ms: float
    until_ms: float
    written: bool = False  # its first byte has been passed to the network
    ended_by_sender: bool = False  # the sender has asked `Router.may_write`, and ends it itself on False
    held_since_ms: float | None = None  # held back since then, until its client's input has been read
    deadline: DeadlineKey | None = None


@dataclass(slots=True)
class Counters:
    """Counts since the start of the process; the field names are keys of the status."""

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
        """Requests whose sessions were established."""
        return sum(tally.ok for tally in self.tallies.values())

    @property
    def refused(self) -> int:
        """Requests that were refused."""
        return sum(tally.shed for tally in self.tallies.values())

    @property
    def failed(self) -> int:
        """Requests that failed."""
        return sum(tally.errors for tally in self.tallies.values())

    def as_status(self) -> dict[str, Any]:
        """All counters by name, as the status shows them."""
        return asdict(self) | {"served": self.served, "refused": self.refused, "failed": self.failed}

    def count_outcome(self, outcome: Outcome) -> None:
        """Count one attempt that ended with this outcome."""
        self.outcomes[outcome.value] = self.outcomes.get(outcome.value, 0) + 1


class ClientPort(Protocol):
    """Towards the client that sent a set-up request.

    Exactly one of `served`, `refused`, `failed` and `conflict` is called, unless the viewer has left.
    """

    def presence(self) -> Presence:
        """Whether the client is still connected, as its connection shows at this moment."""

    def left(self, may_have_run: bool) -> None:
        """The core found the client gone and has ended its request, of which an attempt may have run."""

    def served(self, answer: bytes) -> None:
        """The session is established; `answer` is the media server's."""
        ...

    def refused(self, retry_after_ms: float, reservation_token: str = "") -> None:
        """The request was refused; the client may try again after this time, 0 = no time is given."""
        ...

    def failed(self, outcome: Outcome | None) -> None:
        """The request failed; `outcome` is that of its last attempt, if there was one."""
        ...

    def conflict(self) -> None:
        """The request's id is in use for another session, which is not affected."""
        ...

    def released(self, cause: Cause) -> None:
        """The established session has ended."""
        ...

    def moved(self) -> None:
        """The session was ended so that it can be set up at another media server."""
        ...


class ServerPort(Protocol):
    """Towards the media servers, over one wire protocol."""

    def set_up(self, attempt: Attempt) -> None:
        """Send the attempt once `Router.may_write` allows it; report to `answered` or `attempt_ended`."""

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt that may have been sent; its end need not be reported."""
        ...

    def release(self, request: Request, cause: Cause) -> None:
        """Tell the media server to end the session."""
        ...

    def set_rung(self, request: Request, rung: int) -> None:
        """Tell the media server to send the session at this rung of the ladder."""
        ...


class AdmissionPort(Protocol):
    """Optional admission control: which requests are admitted, and retry-after estimates for the others."""

    def arrive(self, request: Request) -> None:
        """Call `Router.admit` or `Router.reject` for the request, now or later, but before it expires."""

    def refused(self, request: Request, retry_after_ms: float) -> tuple[float, str]:
        """The decision module refused it: return the retry-after estimate and reservation token to send."""

    def established(self, request: Request) -> None:
        """Its session is established, or was handed over by another router."""
        ...

    def rung_changed(self, request: Request) -> None:
        """The decision module has chosen another rung, which may be the same one."""
        ...

    def ended(self, request: Request) -> None:
        """The request was refused, failed or cancelled, or its session has ended."""
        ...

    def fleet_changed(self) -> None:
        """The list of media servers has changed."""
        ...


class OwnershipPort(Protocol):
    """Optional replication: other routers know this one's requests and sessions, and can take them over."""

    def prepare(self, attempt: Attempt) -> None:
        """Call `Router.send` once its prepared record is sufficiently replicated, else `conclude_unsent`."""

    def may_write(self, attempt: Attempt) -> bool:
        """Whether this router still owns the request; called right before the first byte is written."""

    def may_establish(self, attempt: Attempt, answer: bytes) -> bool:
        """Whether the session may be established here.

        If this is not known yet, the result is False, and `Router.answered` is called again once it is.
        """

    def established(self, request: Request, answer: bytes) -> None:
        """Call the client's `served` once the record of the session is replicated, or after a short time."""

    def adopted(self, request: Request) -> None:
        """A session that plays already was taken over."""
        ...

    def rung_changed(self, request: Request) -> None:
        """An established session is sent at another rung."""
        ...

    def ended(self, request: Request) -> None:
        """The request was refused, failed or cancelled, or its session has ended."""
        ...

    def release(self, request: Request, cause: Cause) -> None:
        """Tell its media server, once it is certain that no other router owns the session by now."""


class SharingPort(Protocol):
    """Optional: other processes under this router's name, to which clients and media servers talk as well."""

    def take(self, set_up: SetUpRequest) -> bool:
        """This process takes a request; False if another process holds one with its id."""

    def take_over(self, set_up: SetUpRequest, server: int) -> bool:
        """Its viewer hands a session over to this process; False if another session has its id."""

    def established(self, request: Request, server: int) -> None:
        """The session of a request is established at this media server."""

    def over(self, request: Request) -> None:
        """A request was concluded without a session, or its session has ended."""

    def released(self, session_id: str, server: int, outcome: Outcome) -> None:
        """A media server has released a session, which another process may hold."""


class Prober(Protocol):
    """Sends probes to media servers."""

    def probe(self, server: int) -> None:
        """Probe a media server, and report to `Router.probed` in any case."""
