"""The configuration that the platform gives a stream router at its start."""

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
    """A router's configuration.  Addresses are host and port; times are in milliseconds."""

    name: str
    listen: tuple[str, int]  # for RTSP clients
    seed: int  # of the random choices
    memory_mb: int  # memory limit of the process
    sockets: int  # most sockets that the process may open
    changelog: tuple[str, int]  # address of the media servers' change log
    seq: int  # number of the last update in `initial_updates`
    initial_updates: tuple[ListUpdate, ...]
    settings: api.Settings
    connect_ms: float  # time-out for opening a connection to a media server
    idle_ms: float  # after which an idle connection to a media server is closed
    operator_address: tuple[str, int] | None = None  # listens for operator commands
    listener_fd: int | None = None  # file descriptor of an inherited listening socket for clients
    log_requests: bool = False  # whether each request and connection is logged


def read(path: str, environment: Mapping[str, str] | None = None) -> Config:
    """Read a JSON configuration file; variables of the environment override it.

    Raises ConfigError if the file can't be read or is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise ConfigError(f"{path} can't be read: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from None
    try:
        return parse(document, environment or {})
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None


def parse(document: dict[str, Any], environment: Mapping[str, str]) -> Config:
    """Build the configuration from its decoded JSON and the environment.

    Raises KeyError for a missing key, and ValueError, TypeError, AttributeError or OverflowError for an
    invalid value.
    """
    process_limits, settings, known = (
        document.get("limits") or {},
        document["settings"],
        document.get("known") or {},  # media servers known at the start
    )
    updates = [parse_update(event) for event in known.get("results") or []]
    setting_limits = settings.get("limits") or {}
    listen = environment.get("LB_LISTEN") or document["listen"]
    operators, fd = environment.get("LB_MGMT") or document.get("mgmt"), environment.get("LB_LISTEN_FD")
    if fd and not fd.isdecimal():
        raise ValueError(f"LB_LISTEN_FD: {fd!r} is not a file descriptor")
    return Config(
        name=str(document.get("name") or ""),
        listen=parse_address(listen, min_port=0),
        seed=int(str(document.get("seed") or "0"), 16),  # hexadecimal
        memory_mb=int(process_limits.get("memory_mb", 192)),
        sockets=int(process_limits.get("sockets", 1024)),
        changelog=parse_address(document["changelog"]),
        seq=int(known.get("seq", 0)),
        initial_updates=tuple(update for update in updates if update is not None),
        settings=parse_settings(settings),
        connect_ms=float(setting_limits.get("connectTimeoutUs") or 250_000) / 1000,
        idle_ms=float(setting_limits.get("connIdleUs") or 30_000_000) / 1000,
        operator_address=parse_address(str(operators), min_port=0) if operators else None,
        listener_fd=int(fd) if fd else None,
        log_requests=environment.get("LB_LOG_REQUESTS") == "1",
    )


def from_environment(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration file that LB_CONFIG names; raises ConfigError like `read`, or if it is unset."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    return read(path, environment)
