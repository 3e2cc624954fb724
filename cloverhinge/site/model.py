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
class HlsSettings:
    listen: tuple[str, int]
    url_key: bytes  # signs session URLs
    idle_ms: float
    max_manifest_bytes: int
    server_port: int
    server_addresses: dict[
        str, tuple[str, int]
    ]  # boxes whose HTTP side is not at their address with `box_port`
    titles: dict[str, Title]
    allow_origin: str


@dataclass(frozen=True, slots=True)
class AcmeSettings:
    directory: str
    domains: tuple[str, ...]
    contact: str
    listen: tuple[str, int]
    state: Path | None
    ca_file: str
    renew_before_s: float


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """One client of the operators, whose viewers queue together."""

    name: str
    weight: float = 1.0
    networks: tuple[IPv4Network | IPv6Network, ...] = ()
    key: bytes = b""  # its pages vouch for viewers under it; none: they can't


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    signing_key: bytes  # signs tickets; none: one that is made at each start
    max_waiting: int  # requests that may wait at a time
    max_reservations: int  # promises remembered for each client
    max_retry_after_ms: float  # the longest quote
    clients: tuple[ClientSettings, ...]  # the last one is `others`


@dataclass(frozen=True, slots=True)
class MembersSettings:
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
class OwnershipSettings:
    """Work in hand that outlives its router; times in ms."""

    routers: int  # that the installation has
    tolerated_losses: int  # routers that may be lost at once
    lease_ms: float
    serve_unreplicated: bool  # where the keepers can't be reached: serve without them


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """What outlives a restart."""

    folder: Path


@dataclass(frozen=True, slots=True)
class Site:
    hls: HlsSettings | None = None
    acme: AcmeSettings | None = None
    admin: tuple[str, int] | None = None
    admission: AdmissionSettings | None = None
    members: MembersSettings | None = None
    ownership: OwnershipSettings | None = None
    store: StoreSettings | None = None
