"""Schema of the site's file: tables with their keys, units, defaults and ranges; unknown keys are refused.

Every error message is one sentence that names the key by its full path.
"""

from __future__ import annotations

import re
import tomllib
from ipaddress import ip_network
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta

from cloverhinge.core.config_values import ConfigError, parse_address
from cloverhinge.site.model import (
    AcmeSettings,
    AdmissionSettings,
    ClientSettings,
    HlsSettings,
    MembersSettings,
    OwnershipSettings,
    Site,
    StoreSettings,
    Title,
)

MIN_KEY_LENGTH = 32  # characters; keys that the router itself signs with
MIN_CLIENT_KEY_LENGTH = 16  # characters; keys that sign the proofs of a client's pages
MAX_JOIN_ADDRESSES = 64  # each is sent two join requests a second while none answers
MAX_CLIENTS = 64  # each may have its own bucket and table in memory
OTHER_CLIENTS = "others"  # the client of all viewers that no other client vouches for
NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
TABLES = ("hls", "acme", "admin", "door", "clients", "members", "custody", "store")

PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
TableType = TypeVar("TableType", bound=msgspec.Struct)


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file; each field is a key."""


class AdminTable(Table):
    """Table [admin]: the admin socket."""

    listen: str


class TitleTable(Table):
    """Table [hls.titles.NAME]: one title; a `length_s` of 0 means that its length is unknown."""

    copies: Annotated[int, Meta(ge=1)]
    home: NonNegativeInt = 0
    top: NonNegativeInt = 255
    length_s: Annotated[float, Meta(ge=0)] = 0.0
    classes: tuple[str, ...] = ()


class HlsTable(Table):
    """Table [hls]: the HLS front."""

    listen: str
    key: str
    idle_s: PositiveFloat = 30.0
    manifest_kb: PositiveFloat = 256.0
    box_port: Annotated[int, Meta(ge=1, lt=65536)] = 8080
    allow_origin: str = "*"
    boxes: dict[str, str] = {}
    titles: dict[str, Any] = {}


class AcmeTable(Table):
    """Table [acme]: certificates for the HLS front."""

    directory: str
    domains: tuple[str, ...]
    listen: str
    contact: str = ""
    state: str = ""
    ca_file: str = ""
    renew_before_days: PositiveFloat = 30.0


class DoorTable(Table):
    """Table [door]: admission."""

    key: str = ""
    waiting: Annotated[int, Meta(ge=1, le=4096)] = 512
    promises: Annotated[int, Meta(ge=64, le=65536)] = 2048
    quote_most_s: Annotated[float, Meta(ge=5, le=3600)] = 60.0


class ClientTable(Table):
    """Table [clients.NAME]: one client of admission."""

    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    networks: tuple[str, ...] = ()
    key: str = ""


class MembersTable(Table):
    """Table [members]: membership among the routers."""

    listen: str
    key: str
    advertise: str = ""
    join: tuple[str, ...] = ()
    site: str = "main"
    old_key: str = ""
    probe_ms: Annotated[float, Meta(ge=50, le=10_000)] = 400.0
    quiet_ms: Annotated[float, Meta(ge=100, le=60_000)] = 1200.0
    out_ms: Annotated[float, Meta(ge=100, le=600_000)] = 2800.0
    watch: Annotated[int, Meta(ge=3, le=16)] = 6


class CustodyTable(Table):
    """Table [custody]: ownership of sessions and set-ups."""

    routers: Annotated[int, Meta(ge=1, le=128)]
    keepers: Annotated[int, Meta(ge=1, le=4)] = 2
    lease_ms: Annotated[float, Meta(ge=300, le=60_000)] = 1500.0
    when_unkept: Literal["refuse", "serve"] = "refuse"


class StoreTable(Table):
    """Table [store]: storage that survives a restart."""

    folder: Annotated[str, Meta(min_length=1)]


def read(path: Path) -> Site:
    """Read and check a site's file; raises ConfigError."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path} can't be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path} is not TOML: {error}") from None
    try:
        return parse(document)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None


def parse(document: dict[str, Any]) -> Site:
    """The settings in a parsed file; raises ValueError that names the key at fault."""
    unknown = sorted(document.keys() - set(TABLES))
    if unknown:
        raise ValueError(f"nothing is called {unknown[0]}")
    admin = None
    if "admin" in document:
        admin = parse_host_port(convert_table(document["admin"], AdminTable, "admin").listen, "admin.listen")
    if admin is not None and not admin[0].startswith("127."):
        raise ValueError("admin.listen has to be a loopback address")
    hls = parse_hls(document["hls"]) if "hls" in document else None
    if "acme" in document and hls is None:
        raise ValueError("acme: certificates are for the HLS front, which has no table here")
    if "clients" in document and "door" not in document:
        raise ValueError("clients: clients queue at the door, which has no table here")
    door = parse_admission(document["door"], document.get("clients", {})) if "door" in document else None
    members = parse_members(document["members"]) if "members" in document else None
    if "custody" in document and members is None:
        raise ValueError("custody: work is kept by the members, which have no table here")
    custody = parse_ownership(document["custody"]) if "custody" in document else None
    if "store" in document and custody is None:
        raise ValueError("store: it keeps what custody keeps, which has no table here")
    store = (
        StoreSettings(Path(convert_table(document["store"], StoreTable, "store").folder))
        if "store" in document
        else None
    )
    return Site(
        hls,
        parse_acme(document["acme"]) if "acme" in document else None,
        admin,
        door,
        members,
        custody,
        store,
    )


def convert_table(content: Any, kind: type[TableType], path: str) -> TableType:
    """Check a table against its schema; raises ValueError that names the key at fault by its full path."""
    try:
        return msgspec.convert(content, kind)
    except msgspec.ValidationError as error:
        raise ValueError(explain_error(str(error), path)) from None


def explain_error(message: str, path: str) -> str:
    """Reword msgspec's error message so that it begins with the key's full path."""
    what, _, inside = message.partition(" - at `$")
    at = path + inside.removesuffix("`")
    if found := re.fullmatch(r"Object contains unknown field `(.*)`", what):
        return f"nothing is called {at}.{found[1]}"
    if found := re.fullmatch(r"Object missing required field `(.*)`", what):
        return f"{at}.{found[1]} is missing"
    what = what.replace("Expected `object`", "Expected a table").replace("`", "")
    return f"{at}: {what[:1].lower()}{what[1:]}"


def parse_host_port(text: str, path: str, lowest: int = 0) -> tuple[str, int]:
    """A host and a port of `lowest` or more; raises ValueError that names the key."""
    try:
        return parse_address(text, lowest)
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from None


def parse_key(text: str, path: str, min_length: int) -> bytes:
    """The bytes of a signing key; raises ValueError where it is shorter than `min_length` characters."""
    if len(text) < min_length:
        raise ValueError(f"{path} has to hold {min_length} characters or more")
    return text.encode()


def check_name(name: str, path: str, what: str) -> None:
    """Raise ValueError where the name of a `what` has other characters than those of `NAME`."""
    if not NAME.fullmatch(name):
        raise ValueError(f"{path}: a {what} is made of letters, digits, '.', '_' and '-'")


def parse_hls(content: Any) -> HlsSettings:
    """The HLS front's settings; raises ValueError."""
    table = convert_table(content, HlsTable, "hls")
    titles = {}
    for name, title_content in table.titles.items():
        path = f"hls.titles.{name}"
        check_name(name, path, "title")
        title = convert_table(title_content, TitleTable, path)
        titles[name] = Title(
            title.home, title.copies, title.top, title.length_s * 1000.0, frozenset(title.classes)
        )
    return HlsSettings(
        listen=parse_host_port(table.listen, "hls.listen"),
        url_key=parse_key(table.key, "hls.key", MIN_KEY_LENGTH),
        idle_ms=table.idle_s * 1000.0,
        max_manifest_bytes=int(table.manifest_kb * 1024),
        server_port=table.box_port,
        server_addresses={
            name: parse_host_port(text, f"hls.boxes.{name}", 1) for name, text in table.boxes.items()
        },
        titles=titles,
        allow_origin=table.allow_origin,
    )


def parse_acme(content: Any) -> AcmeSettings:
    """The settings of certificates; raises ValueError."""
    table = convert_table(content, AcmeTable, "acme")
    if not table.domains:
        raise ValueError("acme.domains names no domain")
    return AcmeSettings(
        directory=table.directory,
        domains=table.domains,
        contact=table.contact,
        listen=parse_host_port(table.listen, "acme.listen"),
        state=Path(table.state) if table.state else None,
        ca_file=table.ca_file,
        renew_before_s=table.renew_before_days * 86400.0,
    )


def parse_admission(content: Any, clients: Any) -> AdmissionSettings:
    """The settings of admission from the tables [door] and [clients]; raises ValueError."""
    table = convert_table(content, DoorTable, "door")
    if not isinstance(clients, dict):
        raise ValueError("clients: expected a table of clients")
    if len(clients) > MAX_CLIENTS:
        raise ValueError(f"clients: {len(clients)} are named, {MAX_CLIENTS} at most")
    parsed = {name: parse_client(name, client_content) for name, client_content in clients.items()}
    clients_by_network: dict[Any, str] = {}
    for client in parsed.values():
        for network in client.networks:
            if network in clients_by_network:
                raise ValueError(
                    f"clients.{client.name}.networks: {network} is {clients_by_network[network]}'s already"
                )
            clients_by_network[network] = client.name
    others = parsed.pop(OTHER_CLIENTS, ClientSettings(OTHER_CLIENTS))
    if others.networks or others.key:
        raise ValueError(
            f"clients.{OTHER_CLIENTS} are those whom nobody vouches for: it takes a weight alone"
        )
    return AdmissionSettings(
        parse_key(table.key, "door.key", MIN_KEY_LENGTH) if table.key else b"",
        table.waiting,
        table.promises,
        table.quote_most_s * 1000.0,
        (*parsed.values(), others),
    )


def parse_client(name: str, content: Any) -> ClientSettings:
    """The settings of one client; raises ValueError."""
    path = f"clients.{name}"
    check_name(name, path, "client")
    table = convert_table(content, ClientTable, path)
    networks = []
    for text in table.networks:
        try:
            networks.append(ip_network(text))
        except ValueError as error:
            raise ValueError(f"{path}.networks: {error}") from None
    key = parse_key(table.key, f"{path}.key", MIN_CLIENT_KEY_LENGTH) if table.key else b""
    return ClientSettings(name, table.weight, tuple(networks), key)


def parse_members(content: Any) -> MembersSettings:
    """The settings of membership; raises ValueError."""
    table = convert_table(content, MembersTable, "members")
    check_name(table.site, "members.site", "site")
    if len(table.join) > MAX_JOIN_ADDRESSES:
        raise ValueError(f"members.join: {len(table.join)} addresses are named, {MAX_JOIN_ADDRESSES} at most")
    if table.quiet_ms < 2.0 * table.probe_ms:
        raise ValueError("members.quiet_ms has to be twice members.probe_ms or more: an answer may be lost")
    keys = [parse_key(table.key, "members.key", MIN_KEY_LENGTH)]
    if table.old_key:
        keys.append(parse_key(table.old_key, "members.old_key", MIN_KEY_LENGTH))
    return MembersSettings(
        listen=parse_host_port(table.listen, "members.listen"),
        advertise=parse_host_port(table.advertise, "members.advertise") if table.advertise else None,
        join=tuple(
            parse_host_port(text, f"members.join[{index}]", 1) for index, text in enumerate(table.join)
        ),
        site=table.site,
        keys=tuple(keys),
        probe_ms=table.probe_ms,
        quiet_ms=table.quiet_ms,
        out_ms=table.out_ms,
        watch=table.watch,
    )


def parse_ownership(content: Any) -> OwnershipSettings:
    """The settings of ownership; raises ValueError."""
    table = convert_table(content, CustodyTable, "custody")
    return OwnershipSettings(table.routers, table.keepers, table.lease_ms, table.when_unkept == "serve")
