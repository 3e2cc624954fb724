"""The tables of the site's file: their keys, units, defaults and ranges; unknown keys are refused.

Every message is one plain sentence that names the key by its full path.
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

MIN_KEY_LENGTH = 32  # characters, of keys that sign for the router
MIN_CLIENT_KEY_LENGTH = 16  # of keys under which a client's page vouches
MAX_JOIN_ADDRESSES = 64  # addresses to join: each is asked twice a second while none answers
MAX_CLIENTS = 64  # each may have a bucket and a table of its own in memory
OTHER_CLIENTS = "others"  # the client of all whom nobody vouches for
NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
TABLES = ("hls", "acme", "admin", "door", "clients", "members", "custody", "store")

PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
TableType = TypeVar("TableType", bound=msgspec.Struct)


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file: each field a key."""


class AdminTable(Table):
    listen: str


class TitleTable(Table):
    copies: Annotated[int, Meta(ge=1)]
    home: NonNegativeInt = 0
    top: NonNegativeInt = 255
    length_s: Annotated[float, Meta(ge=0)] = 0.0
    classes: tuple[str, ...] = ()


class HlsTable(Table):
    listen: str
    key: str
    idle_s: PositiveFloat = 30.0
    manifest_kb: PositiveFloat = 256.0
    box_port: Annotated[int, Meta(ge=1, lt=65536)] = 8080
    allow_origin: str = "*"
    boxes: dict[str, str] = {}
    titles: dict[str, Any] = {}


class AcmeTable(Table):
    directory: str
    domains: tuple[str, ...]
    listen: str
    contact: str = ""
    state: str = ""
    ca_file: str = ""
    renew_before_days: PositiveFloat = 30.0


class DoorTable(Table):
    key: str = ""
    waiting: Annotated[int, Meta(ge=1, le=4096)] = 512
    promises: Annotated[int, Meta(ge=64, le=65536)] = 2048
    quote_most_s: Annotated[float, Meta(ge=5, le=3600)] = 60.0


class ClientTable(Table):
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    networks: tuple[str, ...] = ()
    key: str = ""


class MembersTable(Table):
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
    routers: Annotated[int, Meta(ge=1, le=128)]
    keepers: Annotated[int, Meta(ge=1, le=4)] = 2
    lease_ms: Annotated[float, Meta(ge=300, le=60_000)] = 1500.0
    when_unkept: Literal["refuse", "serve"] = "refuse"


class StoreTable(Table):
    folder: Annotated[str, Meta(min_length=1)]


def read(path: Path) -> Site:
    try:
        told = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path} can't be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path} is not TOML: {error}") from None
    try:
        return parse(told)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None


def parse(told: dict[str, Any]) -> Site:
    unknown = sorted(told.keys() - set(TABLES))
    if unknown:
        raise ValueError(f"nothing is called {unknown[0]}")
    admin = None
    if "admin" in told:
        admin = parse_host_port(convert_table(told["admin"], AdminTable, "admin").listen, "admin.listen")
    if admin is not None and not admin[0].startswith("127."):
        raise ValueError("admin.listen has to be a loopback address")
    hls = parse_hls(told["hls"]) if "hls" in told else None
    if "acme" in told and hls is None:
        raise ValueError("acme: certificates are for the HLS front, which has no table here")
    if "clients" in told and "door" not in told:
        raise ValueError("clients: clients queue at the door, which has no table here")
    door = parse_admission(told["door"], told.get("clients", {})) if "door" in told else None
    members = parse_members(told["members"]) if "members" in told else None
    if "custody" in told and members is None:
        raise ValueError("custody: work is kept by the members, which have no table here")
    custody = parse_ownership(told["custody"]) if "custody" in told else None
    if "store" in told and custody is None:
        raise ValueError("store: it keeps what custody keeps, which has no table here")
    store = (
        StoreSettings(Path(convert_table(told["store"], StoreTable, "store").folder))
        if "store" in told
        else None
    )
    return Site(
        hls, parse_acme(told["acme"]) if "acme" in told else None, admin, door, members, custody, store
    )


def convert_table(told: Any, kind: type[TableType], path: str) -> TableType:
    """A table by its schema; ValueError that names the key at fault by its full path."""
    try:
        return msgspec.convert(told, kind)
    except msgspec.ValidationError as error:
        raise ValueError(explain_error(str(error), path)) from None


def explain_error(message: str, path: str) -> str:
    """The library's message, with the key's path ahead of it."""
    what, _, inside = message.partition(" - at `$")
    at = path + inside.removesuffix("`")
    if found := re.fullmatch(r"Object contains unknown field `(.*)`", what):
        return f"nothing is called {at}.{found[1]}"
    if found := re.fullmatch(r"Object missing required field `(.*)`", what):
        return f"{at}.{found[1]} is missing"
    what = what.replace("Expected `object`", "Expected a table").replace("`", "")
    return f"{at}: {what[:1].lower()}{what[1:]}"


def parse_host_port(text: str, path: str, lowest: int = 0) -> tuple[str, int]:
    try:
        return parse_address(text, lowest)
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from None


def parse_key(text: str, path: str, min_length: int) -> bytes:
    if len(text) < min_length:
        raise ValueError(f"{path} has to hold {min_length} characters or more")
    return text.encode()


def check_name(name: str, path: str, what: str) -> None:
    if not NAME.fullmatch(name):
        raise ValueError(f"{path}: a {what} is made of letters, digits, '.', '_' and '-'")


def parse_hls(told: Any) -> HlsSettings:
    own = convert_table(told, HlsTable, "hls")
    titles = {}
    for name, one in own.titles.items():
        path = f"hls.titles.{name}"
        check_name(name, path, "title")
        title = convert_table(one, TitleTable, path)
        titles[name] = Title(
            title.home, title.copies, title.top, title.length_s * 1000.0, frozenset(title.classes)
        )
    return HlsSettings(
        listen=parse_host_port(own.listen, "hls.listen"),
        url_key=parse_key(own.key, "hls.key", MIN_KEY_LENGTH),
        idle_ms=own.idle_s * 1000.0,
        max_manifest_bytes=int(own.manifest_kb * 1024),
        server_port=own.box_port,
        server_addresses={
            name: parse_host_port(text, f"hls.boxes.{name}", 1) for name, text in own.boxes.items()
        },
        titles=titles,
        allow_origin=own.allow_origin,
    )


def parse_acme(told: Any) -> AcmeSettings:
    own = convert_table(told, AcmeTable, "acme")
    if not own.domains:
        raise ValueError("acme.domains names no domain")
    return AcmeSettings(
        directory=own.directory,
        domains=own.domains,
        contact=own.contact,
        listen=parse_host_port(own.listen, "acme.listen"),
        state=Path(own.state) if own.state else None,
        ca_file=own.ca_file,
        renew_before_s=own.renew_before_days * 86400.0,
    )


def parse_admission(told: Any, clients: Any) -> AdmissionSettings:
    own = convert_table(told, DoorTable, "door")
    if not isinstance(clients, dict):
        raise ValueError("clients: expected a table of clients")
    if len(clients) > MAX_CLIENTS:
        raise ValueError(f"clients: {len(clients)} are named, {MAX_CLIENTS} at most")
    parsed = {name: parse_client(name, one) for name, one in clients.items()}
    seen: dict[Any, str] = {}
    for client in parsed.values():
        for network in client.networks:
            if network in seen:
                raise ValueError(f"clients.{client.name}.networks: {network} is {seen[network]}'s already")
            seen[network] = client.name
    others = parsed.pop(OTHER_CLIENTS, ClientSettings(OTHER_CLIENTS))
    if others.networks or others.key:
        raise ValueError(
            f"clients.{OTHER_CLIENTS} are those whom nobody vouches for: it takes a weight alone"
        )
    return AdmissionSettings(
        parse_key(own.key, "door.key", MIN_KEY_LENGTH) if own.key else b"",
        own.waiting,
        own.promises,
        own.quote_most_s * 1000.0,
        (*parsed.values(), others),
    )


def parse_client(name: str, told: Any) -> ClientSettings:
    path = f"clients.{name}"
    check_name(name, path, "client")
    own = convert_table(told, ClientTable, path)
    networks = []
    for text in own.networks:
        try:
            networks.append(ip_network(text))
        except ValueError as error:
            raise ValueError(f"{path}.networks: {error}") from None
    key = parse_key(own.key, f"{path}.key", MIN_CLIENT_KEY_LENGTH) if own.key else b""
    return ClientSettings(name, own.weight, tuple(networks), key)


def parse_members(told: Any) -> MembersSettings:
    own = convert_table(told, MembersTable, "members")
    check_name(own.site, "members.site", "site")
    if len(own.join) > MAX_JOIN_ADDRESSES:
        raise ValueError(f"members.join: {len(own.join)} addresses are named, {MAX_JOIN_ADDRESSES} at most")
    if own.quiet_ms < 2.0 * own.probe_ms:
        raise ValueError("members.quiet_ms has to be twice members.probe_ms or more: an answer may be lost")
    keys = [parse_key(own.key, "members.key", MIN_KEY_LENGTH)]
    if own.old_key:
        keys.append(parse_key(own.old_key, "members.old_key", MIN_KEY_LENGTH))
    return MembersSettings(
        listen=parse_host_port(own.listen, "members.listen"),
        advertise=parse_host_port(own.advertise, "members.advertise") if own.advertise else None,
        join=tuple(parse_host_port(text, f"members.join[{at}]", 1) for at, text in enumerate(own.join)),
        site=own.site,
        keys=tuple(keys),
        probe_ms=own.probe_ms,
        quiet_ms=own.quiet_ms,
        out_ms=own.out_ms,
        watch=own.watch,
    )


def parse_ownership(told: Any) -> OwnershipSettings:
    own = convert_table(told, CustodyTable, "custody")
    return OwnershipSettings(own.routers, own.keepers, own.lease_ms, own.when_unkept == "serve")
