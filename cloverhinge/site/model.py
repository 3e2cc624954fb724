"""What the site's file comes to, for the parts that it turns on."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import IPv4Network, IPv6Network
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Title:
    """Where a title lies, as RTSP requests tell it."""

    first_cell: int
    copies: int
    ceiling: int
    length_ms: float
    classes: frozenset[str]  # none: any class plays it


@dataclass(frozen=True, slots=True)
class HlsSite:
    listen: tuple[str, int]
    key: bytes  # signs session URLs
    idle_ms: float
    manifest_bytes: int
    box_port: int
    boxes: dict[str, tuple[str, int]]  # boxes whose HTTP side is not at their address with `box_port`
    titles: dict[str, Title]
    allow_origin: str


@dataclass(frozen=True, slots=True)
class AcmeSite:
    directory: str
    domains: tuple[str, ...]
    contact: str
    listen: tuple[str, int]
    state: Path | None
    ca_file: str
    renew_before_s: float


@dataclass(frozen=True, slots=True)
class ClientSite:
    """One client of the operators, whose viewers queue together."""

    name: str
    weight: float = 1.0
    networks: tuple[IPv4Network | IPv6Network, ...] = ()
    key: bytes = b""  # its pages vouch for viewers under it; none: they can't


@dataclass(frozen=True, slots=True)
class DoorSite:
    key: bytes  # signs tickets; none: one that is made at each start
    waiting: int  # requests that may wait at a time
    promises: int  # promises remembered for each client
    quote_most_ms: float  # the longest quote
    clients: tuple[ClientSite, ...]  # the last one is `others`


@dataclass(frozen=True, slots=True)
class MembersSite:
    """Membership among the routers; times in ms."""

    listen: tuple[str, int]
    advertise: tuple[str, int] | None  # what the others are told; none: where it listens
    join: tuple[tuple[str, int], ...]
    site: str
    keys: tuple[bytes, ...]  # the first one signs
    probe_ms: float
    quiet_ms: float
    out_ms: float
    watch: int


@dataclass(frozen=True, slots=True)
class CustodySite:
    """Work in hand that outlives its router; times in ms."""

    routers: int  # that the installation has
    keepers: int  # routers that may be lost at once
    lease_ms: float
    serve: bool  # where the keepers can't be reached: serve without them


@dataclass(frozen=True, slots=True)
class StoreSite:
    """What outlives a restart."""

    folder: Path


@dataclass(frozen=True, slots=True)
class Site:
    hls: HlsSite | None = None
    acme: AcmeSite | None = None
    admin: tuple[str, int] | None = None
    door: DoorSite | None = None
    members: MembersSite | None = None
    custody: CustodySite | None = None
    store: StoreSite | None = None
