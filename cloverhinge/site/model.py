"""The settings that the site's file gives to the components that it turns on."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import IPv4Network, IPv6Network
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Title:
    """Placement of a title: the values that an RTSP request carries for it."""

    first_cell: int
    copies: int
    ceiling: int
    length_ms: float
    classes: frozenset[str]  # classes of service that may play it; empty: any


@dataclass(frozen=True, slots=True)
class HlsSettings:
    """The HLS front."""

    listen: tuple[str, int]
    url_key: bytes  # signs the URLs of sessions' playlists
    idle_ms: float  # time without a fetch after which a play ends
    max_manifest_bytes: int
    server_port: int
    server_addresses: dict[
        str, tuple[str, int]
    ]  # HTTP addresses, by name, of media servers that don't serve at `server_port` of their address
    titles: dict[str, Title]
    allow_origin: str


@dataclass(frozen=True, slots=True)
class AcmeSettings:
    """Certificates by ACME."""

    directory: str  # URL of the authority's directory
    domains: tuple[str, ...]
    contact: str
    listen: tuple[str, int]
    state: Path | None  # folder for the account, the key and the certificate; none: nothing is stored
    ca_file: str
    renew_before_s: float


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """A client of the site, whose viewers share one queue."""

    name: str
    weight: float = 1.0
    networks: tuple[IPv4Network | IPv6Network, ...] = ()
    key: bytes = b""  # signs the proofs that its pages give to viewers; empty: it has no proofs


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Admission of set-up requests."""

    signing_key: bytes  # signs reservation tokens; empty: a key is made at each start
    max_waiting: int  # requests that may wait at a time
    max_reservations: int  # reservations remembered for each client
    max_retry_after_ms: float  # the longest retry-after estimate
    clients: tuple[ClientSettings, ...]  # the last one is `others`


@dataclass(frozen=True, slots=True)
class MembersSettings:
    """Membership among the routers; times in ms."""

    listen: tuple[str, int]
    advertise: tuple[str, int] | None  # address that other routers are given; none: the one of `listen`
    join: tuple[tuple[str, int], ...]  # addresses of routers to join through
    site: str
    keys: tuple[bytes, ...]  # the first one signs; messages under the others are accepted too
    probe_ms: float
    quiet_ms: float
    out_ms: float
    watch: int


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Ownership of sessions and set-ups that survive the loss of a router; times in ms."""

    routers: int  # routers of the installation
    tolerated_losses: int  # number of routers that may be lost at once
    lease_ms: float
    serve_unreplicated: bool  # serve without replicas where they can't be reached, instead of refusing


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Storage that survives a restart."""

    folder: Path


@dataclass(frozen=True, slots=True)
class Site:
    """The site's settings; a component without a table in the file is None and stays off."""

    hls: HlsSettings | None = None
    acme: AcmeSettings | None = None
    admin: tuple[str, int] | None = None
    admission: AdmissionSettings | None = None
    members: MembersSettings | None = None
    ownership: OwnershipSettings | None = None
    store: StoreSettings | None = None
