"""Parses the updates of the list of media servers that the discovery service sends as JSON."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from typing import Any

from cloverhinge.core.config_values import parse_address
from cloverhinge.decision import interface as api

HEALTH_BY_LIFECYCLE = {"active": api.Health.READY, "leaving": api.Health.DRAINING, "left": api.Health.GONE}
PLATFORM_ID = re.compile(r"s-[0-9a-f]{8}")


@dataclass(frozen=True, slots=True)
class ServerAddress:
    """Number, name and network address of a listed media server."""

    number: int
    name: str
    host: str
    port: int


def server_number(name: str) -> int:
    """Return the number by which the decision module knows the media server of this id.

    The number is the same at every router, because the module picks the first server of a title by it.  An id
    of the platform's form (`s-` and 8 hexadecimal digits) contains the number that the simulator gives the
    same server, so both programs start a title at the same server.  Any other id is hashed to a number that
    is outside the range of the platform's ids.
    """
    if PLATFORM_ID.fullmatch(name):
        return int(name[2:], 16)
    return 1 << 32 | int.from_bytes(hashlib.blake2b(name.encode(), digest_size=7).digest(), "big")


def parse_instance(row: dict[str, Any]) -> tuple[ServerAddress, api.ServerListing]:
    """Parse one row of the list.

    Raises KeyError, TypeError, AttributeError or ValueError for a malformed row.
    """
    name = str(row["instanceId"])
    host, port = parse_address(str(row["hostPort"]))
    number = server_number(name)
    weight = row.get("weight")
    listing = api.ServerListing(
        server=number,
        cell=int(row.get("cell") or 0),
        zone=str(row.get("zone") or ""),
        kind=str(row.get("machineType") or ""),
        health=HEALTH_BY_LIFECYCLE[str(row["lifecycle"])],
        weight=1.0 if weight is None else float(weight),
        started_us=round(float(row.get("startedAtMs") or 0) * 1000.0),
    )
    return ServerAddress(number, name, host, port), listing


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One update of the list: the whole list if `full`, otherwise only the rows that changed."""

    seq: int
    full: bool
    rows: tuple[tuple[ServerAddress, api.ServerListing], ...]


def parse_update(event: Any) -> ListUpdate | None:
    """Parse an event of the change log; return None for a kind of event that this version does not know.

    Raises ValueError if the event is malformed.
    """
    if not isinstance(event, dict) or not isinstance(event.get("seq"), int):
        raise ValueError("event has no integer sequence number")
    fleet = event.get("fleet")
    if fleet is None:
        return None
    if not isinstance(fleet, dict) or not isinstance(fleet.get("instances"), list):
        raise ValueError("fleet update has no list of instances")
    try:
        rows = tuple(parse_instance(row) for row in fleet["instances"])
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed instance: {error!r}") from error
    return ListUpdate(event["seq"], bool(fleet.get("reset")), rows)
