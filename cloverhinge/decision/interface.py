"""The interface of the decision module: settings, events and actions.

All times are whole microseconds, all rates kB a second.  A server, a session and a title are identified by
opaque ids.  A load is the demand on a limit over its capacity, so it may exceed 1.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a set-up of a class may be repeated: always, with its key, or never."""

    REPEATABLE = "repeatable"
    BY_KEY = "by_key"
    ONCE = "once"


class Group(Enum):
    """The servers at which a keyed set-up may be repeated, relative to the server that may have run it."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def includes(self, first: ServerListing, second: ServerListing) -> bool:
        """Whether two servers are in the same group of this kind."""
        return (
            self is Group.ALL
            or (self is Group.ZONE and first.zone == second.zone)
            or (self is Group.CELL and first.cell == second.cell)
        )


class Health(Enum):
    """A server's state in the list; only ready servers get new sessions."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How a set-up attempt, or the session that it began, ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the set-up was not carried out."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class ListKind(Enum):
    """What a fleet update contains: a full list, one from a cache, changes, or the failure to get a list."""

    FULL = "full"
    CACHED = "cached"
    DELTA = "delta"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of service; its rungs are indices of the ladder."""

    name: str
    effect: Effect = Effect.REPEATABLE
    aim_us: int = 1_000_000  # time within which a set-up should succeed
    deadline_us: int = 4_000_000  # time after which a set-up must have its final answer
    worth: float = 1.0  # worth of a session relative to those of other classes
    floor: int = 0  # the lowest rung that a session may play at
    top: int = 255  # the highest rung that the class uses
    rate_scale: float = 1.0  # factor of its rates over those of the ladder
    seats: int = 0  # most sessions of one title at an instance; 0 = unlimited
    live: bool = False
    group: Group = Group.ALL
    key_ttl_us: int = 0  # time within which a keyed set-up may be repeated

    def may_refuse(self, may_have_run: bool) -> bool:
        """Whether a request may be refused, which says that trying again is harmless.

        `may_have_run`: an attempt of it may have run.
        """
        if not may_have_run or self.effect is Effect.REPEATABLE:
            return True
        return self.effect is Effect.BY_KEY and self.group is Group.ALL


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its share of the traffic."""

    name: str
    quota_per_s: float = 0.0  # requests a second within its share, over all instances
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of an instance.  Raises ValueError with the name of a setting that is out of range."""

    classes: tuple[ServiceClass, ...]
    ladder_kb: tuple[float, ...]
    rung_worth: tuple[float, ...]
    places_by_kind: dict[str, int]  # most streams of a server, by its kind
    weight_kb: float  # capacity of a server's link for each unit of its weight
    uplink_kb: float = 0.0  # mean capacity of a rack's uplink; 0 = unknown
    cells: int = 1
    racks: int = 1
    fleet_size: int = 1
    self_index: int = 0
    zone: str = ""
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    join: float = 1.0  # rate that a further viewer of a live title adds to a shared stream, as a share
    full_from: float = 0.0  # link load from which a server answers "full"; 0 = never
    notes_late_us: int = 1_000_000  # delay of load notes
    told_every_us: int = 0  # time between load notes on playing sessions; 0 = none
    stall_cost: float = 0.0  # share of worth lost for each share of the rate that is missing
    switch_s: float = 0.0  # cost of a change of rung, in seconds of the class's worth
    max_attempts: int = 1
    max_retry_after_us: int = 0
    retry_after: bool = True
    may_probe: bool = False
    must_subscribe: bool = False  # changes of the server list are sent only after Subscribe
    probe_price: float = 0.0  # cost of a probe, in worth of sessions
    handshake_price: float = 0.0  # cost of a connection opened for it, likewise
    move_price: float = 0.0  # cost of a move, as a share of the session's worth
    cross_zone_price: float = 0.0  # share of worth lost while viewer and server are in different zones
    cold_us: int = 0  # time that a server takes to warm up; 0 = none
    cold_from: float = 1.0  # share of its capacity that a cold server starts with
    fall_multiple: float = 0.0  # validated only; the decisions do not use it
    drain_grace_us: int = 0  # likewise
    budget_free: float = 0.0  # further attempts within the span that are always allowed
    budget_ratio: float = 0.0  # further attempts allowed for each request within the span, besides
    budget_span_us: int = 0  # span of the budget of further attempts; 0 = no budget

    def rates(self, service_class: ServiceClass) -> list[float]:
        """Returns the rates of the rungs for a class."""
        return [kb * service_class.rate_scale for kb in self.ladder_kb]

    def step_gains(self, service_class: ServiceClass) -> list[float]:
        """Returns, for each rung, the worth of the step up to it per kB/s; for the floor and the rungs below
        it, the worth of the rung per kB/s of its whole rate.
        """
        worth, kb = self.rung_worth, self.rates(service_class)
        return [
            service_class.worth
            * (worth[x] - (x > service_class.floor) * worth[x - 1])
            / max(kb[x] - (x > service_class.floor) * kb[x - 1], 1e-9)
            for x in range(len(kb))
        ]

    def __post_init__(self) -> None:
        last = len(self.ladder_kb) - 1
        checks: list[tuple[str, bool]] = [
            ("classes", not self.classes),
            (
                "ladder_kb",
                last < 0
                or min(self.ladder_kb, default=0) <= 0
                or list(self.ladder_kb) != sorted(self.ladder_kb),
            ),
            (
                "rung_worth",
                len(self.rung_worth) != last + 1
                or min(self.rung_worth, default=0) < 0
                or list(self.rung_worth) != sorted(self.rung_worth),
            ),
            ("places_by_kind", any(n < 1 for n in self.places_by_kind.values())),
            ("weight_kb", not self.weight_kb > 0),
            ("fall_multiple", self.fall_multiple < 0),
            ("cold_from", not 0 < self.cold_from <= 1),
            ("join", not 0 <= self.join <= 1),
            ("self_index", self.self_index < 0),
        ]
        for name in ("cells", "racks", "fleet_size", "max_attempts"):
            checks.append((name, getattr(self, name) < 1))
        for name in (
            "uplink_kb",
            "over_share_worth",
            "full_from",
            "notes_late_us",
            "told_every_us",
            "stall_cost",
            "switch_s",
            "max_retry_after_us",
            "probe_price",
            "handshake_price",
            "move_price",
            "cross_zone_price",
            "cold_us",
            "drain_grace_us",
            "budget_free",
            "budget_ratio",
            "budget_span_us",
        ):
            checks.append((name, getattr(self, name) < 0))
        for index, service_class in enumerate(self.classes):
            for name in ("aim_us", "deadline_us", "worth", "floor", "top", "seats", "key_ttl_us"):
                checks.append((f"classes[{index}].{name}", getattr(service_class, name) < 0))
            checks.append((f"classes[{index}].floor", service_class.floor > min(last, service_class.top)))
            checks.append((f"classes[{index}].rate_scale", not service_class.rate_scale > 0))
        for index, tenant in enumerate(self.tenants):
            checks.append((f"tenants[{index}].quota_per_s", tenant.quota_per_s < 0))
        for name, wrong in checks:
            if wrong:
                raise ValueError(f"settings: {name} makes no sense")


# Events


@dataclass(frozen=True, slots=True)
class ServerListing:
    """A server as the list has it."""

    server: int
    cell: int
    zone: str = ""
    kind: str = ""
    health: Health = Health.READY
    weight: float = 1.0
    started_us: int = 0  # time of its latest start; 0 = long ago
    after_maintenance: bool = False  # its maintenance mode has ended: what was learned of it before is void


@dataclass(frozen=True, slots=True)
class FleetUpdate:
    """A list of servers, or the entries of it that changed."""

    kind: ListKind
    listings: tuple[ServerListing, ...] = ()


@dataclass(frozen=True, slots=True)
class SessionRequested:
    """A session to be set up or, with `server` given, one that plays there already and is taken over."""

    session: int
    class_name: str
    title: str
    first_cell: int  # the first of the cells that hold the title
    copies: int  # number of consecutive cells that hold it
    ceiling: int  # highest rung that the viewer can use
    expires_us: int
    tenant: str = ""
    viewer: str = ""
    length_us: int = 0  # rough estimate of how long it will be watched; 0 = none
    returning: bool = False
    moved: bool = False
    server: int | None = None


@dataclass(frozen=True, slots=True)
class SessionStarted:
    """A set-up succeeded: the session plays."""

    session: int
    server: int
    attempt: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The loads of a server; None where a value is not reported."""

    streams: float | None = None  # number of streams
    link: float | None = None  # load of the link
    uplink: float | None = None  # load of the rack's uplink


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt failed or was cancelled, or the session that it began ended."""

    session: int
    attempt: int
    server: int
    outcome: Outcome
    concluded: bool  # the request is over; otherwise it still needs a final answer
    took_us: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class DeliveredShare:
    """The share of its rate that a playing session gets."""

    session: int
    server: int
    share: float


@dataclass(frozen=True, slots=True)
class RungReported:
    """The rung that a session plays at, as its server reports it."""

    session: int
    server: int
    rung: int


@dataclass(frozen=True, slots=True)
class LinkNote:
    """A load note: the load of a server's link, sent on its playing sessions."""

    session: int
    server: int
    load: float


@dataclass(frozen=True, slots=True)
class UplinkNote:
    """A load note: the load of the uplink of a server's rack, sent on its playing sessions."""

    session: int
    server: int
    load: float


@dataclass(frozen=True, slots=True)
class ViewerLeft:
    """The viewer gave the session up, or its request needs no answer any more."""

    session: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a SetTimer action with this token has come."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe was answered or failed."""

    server: int
    outcome: Outcome
    took_us: int = 0
    report: LoadReport | None = None


Event = (
    FleetUpdate
    | SessionRequested
    | SessionStarted
    | AttemptEnded
    | DeliveredShare
    | RungReported
    | LinkNote
    | UplinkNote
    | ViewerLeft
    | TimerFired
    | ProbeEnded
)


# Actions


@dataclass(frozen=True, slots=True)
class SetUp:
    """Send a set-up of the session to the server, and give up after the timeout."""

    session: int
    server: int
    timeout_us: int


@dataclass(frozen=True, slots=True)
class SetRung:
    """Let the session play at this rung; before SetUp, from its start on."""

    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request; the viewer may retry after this time (0 = not stated)."""

    session: int
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail the request, as a set-up that must not be repeated may have run."""

    session: int


@dataclass(frozen=True, slots=True)
class Move:
    """Take a playing session off its server; the viewer returns to this instance."""

    session: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the server list."""

    pass


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its load, which also shows whether it works."""

    server: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send TimerFired with the token after the delay."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    """Log a line."""

    text: str


Action = SetUp | SetRung | Refuse | Fail | Move | Subscribe | Probe | SetTimer | Log
