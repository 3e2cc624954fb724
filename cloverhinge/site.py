"""The site's own file under deploy/: where the second front listens, and what stands around it."""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cloverhinge.config import ConfigError
from cloverhinge.net.changelog import address

KEY_SHORTEST = 32
NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")


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
class Site:
    hls: HlsSite | None = None
    acme: AcmeSite | None = None
    admin: tuple[str, int] | None = None


def read(path: Path) -> Site:
    try:
        told = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path} can't be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path} is not TOML: {error}") from None
    try:
        return parse(told)
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def parse(told: dict[str, Any]) -> Site:
    known(told, "", "hls acme admin")
    admin = address(told["admin"]["listen"], 0) if "admin" in told else None
    if admin is not None and not admin[0].startswith("127."):
        raise ValueError("admin.listen has to be a loopback address")
    hls = parse_hls(told["hls"]) if "hls" in told else None
    if "acme" in told and hls is None:
        raise ValueError("certificates are for the HLS front, which has no table here")
    return Site(hls, parse_acme(told["acme"]) if "acme" in told else None, admin)


def known(told: dict[str, Any], where: str, names: str) -> None:
    """Guards against a misspelt key, which would leave its default in force unseen."""
    unknown = sorted(told.keys() - set(names.split()))
    if unknown:
        raise ValueError(f"nothing is called {where}{unknown[0]}")


def positive(value: Any, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ValueError(f"{name} has to be a number over 0")
    return float(value)


def parse_hls(told: dict[str, Any]) -> HlsSite:
    known(told, "hls.", "listen key idle_s manifest_kb box_port allow_origin boxes titles")
    key = str(told["key"]).encode()
    if len(key) < KEY_SHORTEST:
        raise ValueError(f"hls.key has to hold {KEY_SHORTEST} characters or more")
    titles = {}
    for name, one in (told.get("titles") or {}).items():
        known(one, f"hls.titles.{name}.", "home copies top length_s classes")
        if not NAME.fullmatch(name):
            raise ValueError(f"hls.titles.{name}: a title is made of letters, digits, '.', '_' and '-'")
        titles[name] = Title(int(one.get("home", 0)), int(one["copies"]), int(one.get("top", 255)),
                             float(one.get("length_s", 0)) * 1000.0, frozenset(one.get("classes") or ()))
    return HlsSite(
        listen=address(told["listen"], 0), key=key,
        idle_ms=positive(told.get("idle_s", 30), "hls.idle_s") * 1000.0,
        manifest_bytes=int(positive(told.get("manifest_kb", 256), "hls.manifest_kb") * 1024),
        box_port=int(positive(told.get("box_port", 8080), "hls.box_port")),
        boxes={str(name): address(where) for name, where in (told.get("boxes") or {}).items()},
        titles=titles, allow_origin=str(told.get("allow_origin", "*")))


def parse_acme(told: dict[str, Any]) -> AcmeSite:
    known(told, "acme.", "directory domains contact listen state ca_file renew_before_days")
    domains = tuple(str(one) for one in told["domains"])
    if not domains:
        raise ValueError("acme.domains names no domain")
    return AcmeSite(
        directory=str(told["directory"]), domains=domains, contact=str(told.get("contact", "")),
        listen=address(told["listen"], 0), state=Path(told["state"]) if told.get("state") else None,
        ca_file=str(told.get("ca_file", "")),
        renew_before_s=positive(told.get("renew_before_days", 30), "acme.renew_before_days") * 86400.0)
