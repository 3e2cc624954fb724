"""What the platform tells a stream router at its start."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cloverhinge.core.config_values import ConfigError, parse_address
from cloverhinge.decision import interface as api
from cloverhinge.discovery.updates import ListUpdate, parse_update
from cloverhinge.settings import parse_settings


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    seed: int
    memory_mb: int
    sockets: int
    changelog: tuple[str, int]
    seq: int
    initial_updates: tuple[ListUpdate, ...]
    settings: api.Settings
    connect_ms: float
    idle_ms: float
    operator_address: tuple[str, int] | None = None  # where the staff call
    listener_fd: int | None = None  # descriptor of the clients' listening socket, where it is inherited


def read(path: str, environment: Mapping[str, str] | None = None) -> Config:
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as error:
        raise ConfigError(f"{path} can't be read: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from None
    try:
        return parse(told, environment or {})
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None


def parse(told: dict[str, Any], environment: Mapping[str, str]) -> Config:
    limits, settings, known = told.get("limits") or {}, told["settings"], told.get("known") or {}
    changes = [parse_update(event) for event in known.get("results") or []]
    rules = settings.get("limits") or {}
    listen = environment.get("LB_LISTEN") or told["listen"]
    mgmt, inherited = environment.get("LB_MGMT") or told.get("mgmt"), environment.get("LB_LISTEN_FD")
    if inherited and not inherited.isdecimal():
        raise ValueError(f"LB_LISTEN_FD: {inherited!r} is no descriptor")
    return Config(
        name=str(told.get("name") or ""),
        listen=parse_address(listen, min_port=0),
        seed=int(str(told.get("seed") or "0"), 16),
        memory_mb=int(limits.get("memory_mb", 192)),
        sockets=int(limits.get("sockets", 1024)),
        changelog=parse_address(told["changelog"]),
        seq=int(known.get("seq", 0)),
        initial_updates=tuple(change for change in changes if change is not None),
        settings=parse_settings(settings),
        connect_ms=float(rules.get("connectTimeoutUs") or 250_000) / 1000,
        idle_ms=float(rules.get("connIdleUs") or 30_000_000) / 1000,
        operator_address=parse_address(str(mgmt), min_port=0) if mgmt else None,
        listener_fd=int(inherited) if inherited else None,
    )


def from_environment(environment: Mapping[str, str] = os.environ) -> Config:
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG names no configuration")
    return read(path, environment)
