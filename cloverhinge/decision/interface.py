"""What goes into and comes out of the decision module: settings, events and actions.

All times are whole microseconds, all rates kB a second.  A server, a session and a title are known by
opaque ids.  A load is what is asked of a limit over what the limit gives, so it may exceed 1.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What repeating a set-up of a class does."""

    REPEATABLE = "repeatable"
    BY_KEY = "by_key"
    ONCE = "once"


class Group(Enum):
    """Where a keyed set-up may be repeated, seen from the server that may have run it."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def includes(self, first: ServerListing, second: ServerListing) -> bool:
        return (
            self is Group.ALL
            or (self is Group.ZONE and first.zone == second.zone)
            or (self is Group.CELL and first.cell == second.cell)
        )


class Health(Enum):
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
    FULL = "full"
    CACHED = "cached"
    DELTA = "delta"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    name: str
    effect: Effect = Effect.REPEATABLE
    aim_us: int = 1_000_000
    deadline_us: int = 4_000_000
    worth: float = 1.0
    floor: int = 0  # the lowest rung that may be set
    top: int = 255  # the highest rung that the class uses
    rate_scale: float = 1.0  # its rates over those of the ladder
    seats: int = 0  # sessions of one title that an instance may hold; 0 = no cap
    live: bool = False
    group: Group = Group.ALL
    key_ttl_us: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota_per_s: float = 0.0  # requests a second within its share, over all instances
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told when it starts."""

    classes: tuple[ServiceClass, ...]
    ladder_kb: tuple[float, ...]
    rung_worth: tuple[float, ...]
    places_by_kind: dict[str, int]  # streams that a server of a kind runs at most
    weight_kb: float  # link of a server for each unit of its weight
    uplink_kb: float = 0.0  # mean uplink of a rack; 0 = not told
    cells: int = 1
    racks: int = 1
    fleet_size: int = 1
    self_index: int = 0
    zone: str = ""
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    join: float = 1.0  # what a further viewer of a live title adds to a shared stream
    full_from: float = 0.0  # a server answers "full" from this link load on; 0 = never
    notes_late_us: int = 1_000_000
    told_every_us: int = 0  # time between load notes on playing sessions; 0 = none
    stall_cost: float = 0.0  # points of worth lost for each point of the rate that is missing
    switch_s: float = 0.0  # seconds of a class's worth that a change of rung costs
    max_attempts: int = 1
    max_retry_after_us: int = 0
    retry_after: bool = True
    may_probe: bool = False
    must_subscribe: bool = False  # changes to the server list come only after Subscribe
    probe_price: float = 0.0  # worth of sessions that a probe costs
    handshake_price: float = 0.0  # and a connection opened for it
    move_price: float = 0.0  # share of a session's worth that a move costs
    cross_zone_price: float = 0.0  # share of worth lost while a session crosses zones
    cold_us: int = 0
    cold_from: float = 1.0  # share of its capacity that a server starts with
    fall_multiple: float = 0.0
    drain_grace_us: int = 0
    budget_free: float = 0.0
    budget_ratio: float = 0.0
    budget_span_us: int = 0  # 0 = further attempts are not rationed

    def rates(self, service_class: ServiceClass) -> list[float]:
        """kB a second of each rung, as the class uses it."""
        return [kb * service_class.rate_scale for kb in self.ladder_kb]

    def step_gains(self, service_class: ServiceClass) -> list[float]:
        """Worth of the step up to each rung for each kB of it; at the class's floor, of all of its rate."""
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
        for at, one in enumerate(self.classes):
            for name in ("aim_us", "deadline_us", "worth", "floor", "top", "seats", "key_ttl_us"):
                checks.append((f"classes[{at}].{name}", getattr(one, name) < 0))
            checks.append((f"classes[{at}].floor", one.floor > min(last, one.top)))
            checks.append((f"classes[{at}].rate_scale", not one.rate_scale > 0))
        for at, tenant in enumerate(self.tenants):
            checks.append((f"tenants[{at}].quota_per_s", tenant.quota_per_s < 0))
        for name, wrong in checks:
            if wrong:
                raise ValueError(f"settings: {name} makes no sense")


# Events


@dataclass(frozen=True, slots=True)
class ServerListing:
    server: int
    cell: int
    zone: str = ""
    kind: str = ""
    health: Health = Health.READY
    weight: float = 1.0
    started_us: int = 0  # its most recent start; 0 = long ago
    after_maintenance: bool = False  # put back by hand: what was known of it is of an earlier life


@dataclass(frozen=True, slots=True)
class FleetUpdate:
    kind: ListKind
    listings: tuple[ServerListing, ...] = ()


@dataclass(frozen=True, slots=True)
class SessionRequested:
    """A session to be set up, or, with `server` given, one that was playing when the instance started."""

    session: int
    class_name: str
    title: str
    first_cell: int
    copies: int
    ceiling: int  # highest rung that the viewer can use
    expires_us: int
    tenant: str = ""
    viewer: str = ""
    length_us: int = 0  # rough hint of how long it is watched; 0 = none
    returning: bool = False
    moved: bool = False
    server: int | None = None


@dataclass(frozen=True, slots=True)
class SessionStarted:
    session: int
    server: int
    attempt: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    streams: float | None = None
    link: float | None = None
    uplink: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    session: int
    attempt: int
    server: int
    outcome: Outcome
    concluded: bool  # the request is over; otherwise a final answer is still owed
    took_us: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class DeliveredShare:
    session: int
    server: int
    share: float


@dataclass(frozen=True, slots=True)
class RungReported:
    session: int
    server: int
    rung: int


@dataclass(frozen=True, slots=True)
class LinkNote:
    session: int
    server: int
    load: float


@dataclass(frozen=True, slots=True)
class UplinkNote:
    session: int
    server: int
    load: float


@dataclass(frozen=True, slots=True)
class ViewerLeft:
    session: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
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
    session: int
    server: int
    timeout_us: int


@dataclass(frozen=True, slots=True)
class SetRung:
    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class Refuse:
    session: int
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    session: int


@dataclass(frozen=True, slots=True)
class Move:
    """Take a playing session off its server; the viewer comes back to this instance."""

    session: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    pass


@dataclass(frozen=True, slots=True)
class Probe:
    server: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = SetUp | SetRung | Refuse | Fail | Move | Subscribe | Probe | SetTimer | Log
