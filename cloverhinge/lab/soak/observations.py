"""What clients, media servers, the change log and the machine saw during a trial.  Times are in ms."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import Enum

MIN_LAG_MS = 5.0  # a later tick of the observer's own loop is recorded


class Closer(Enum):
    """Who ended a connection."""

    CLIENT = "client"
    ROUTER = "router"
    KILL = "kill"


class AttemptEnd(Enum):
    """How an attempt ended at its media server."""

    ANSWERED = "answered"
    GIVEN_UP = "given up"
    CONNECTION = "connection ended"


@dataclass(slots=True, eq=False)
class ConnectionSeen:
    """A client's connection to a router."""

    router: str
    run: int
    opened_ms: float
    behaves: bool = True  # False: its client sends bad input, and nothing is owed to it
    closed_ms: float | None = None
    closer: Closer | None = None
    requests: list[RequestSeen] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class RequestSeen:
    """A set-up as its client saw it."""

    session: str
    class_name: str
    effect: str
    wait_ms: float
    connection: ConnectionSeen
    sent_ms: float = -1.0  # its last byte was written; -1: it never was
    left_ms: float | None = None  # its client gave it up
    status: int = 0
    answered_ms: float | None = None
    body: bytes = b""
    extra_answers: int = 0
    unreadable: bool = False
    ended_by_client_ms: float | None = None  # the session
    release_ms: float | None = None  # the release of its session came


@dataclass(slots=True, eq=False)
class AttemptSeen:
    """A set-up as a media server saw it."""

    server: str
    session: str
    first_byte_ms: float
    taken_ms: float
    may_have_run: bool = True  # False: its answer proves that it never ran
    end: AttemptEnd | None = None
    ended_ms: float | None = None
    bodies: list[bytes] = field(default_factory=list)  # of all answers that were sent for it
    released_ms: float | None = None  # the server sent the release of its session
    over_ms: float | None = None  # its session ended in any way
    cut_ms: float | None = None  # its session ended with the server's process


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of a media server's state as one router counts as told."""

    router: str
    server: str
    state: str  # active, leaving, left
    published_ms: float
    told_ms: float


@dataclass(slots=True, eq=False)
class RunSeen:
    """One run of a router process."""

    router: str
    number: int
    started_ms: float
    ready_ms: float | None = None
    terminated_ms: float | None = None
    killed_ms: float | None = None
    ended_ms: float | None = None
    code: int | None = None
    planned_kill: bool = False  # killed outright, without SIGTERM
    peak_mb: float = 0.0
    peak_descriptors: int = 0
    log: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class FaultSeen:
    """A fault or signal, for the timeline."""

    ms: float
    text: str


class Observations:
    """All that was seen in one trial."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self.connections: list[ConnectionSeen] = []
        self.requests: dict[str, RequestSeen] = {}
        self.attempts: dict[str, list[AttemptSeen]] = {}
        self.changes: list[ListChange] = []
        self.cold_starts: list[tuple[str, float]] = []  # server and time of a start that the list told
        self.runs: list[RunSeen] = []
        self.faults: list[FaultSeen] = []
        self.lags: list[tuple[float, float]] = []  # time, and by how much the observer's loop was late

    def now(self) -> float:
        """Milliseconds since the trial began."""
        return (time.monotonic() - self._started_s) * 1000.0

    def fault(self, text: str) -> None:
        """Note a fault or signal."""
        self.faults.append(FaultSeen(self.now(), text))

    def tick(self, late_ms: float) -> None:
        """Note by how much the observer's own loop was late."""
        if late_ms >= MIN_LAG_MS:
            self.lags.append((self.now(), late_ms))

    def lag_within(self, from_ms: float, until_ms: float) -> float:
        """The uncertainty of times read between two times: the largest delay of the observer's loop."""
        return max((late for at, late in self.lags if from_ms - 100.0 <= at <= until_ms + late), default=0.0)

    def run_of(self, router: str, number: int) -> RunSeen:
        """A run of a router."""
        return next(x for x in self.runs if x.router == router and x.number == number)
