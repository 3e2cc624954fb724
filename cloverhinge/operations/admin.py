"""The admin socket: answers the line `status` with the router's state as one line of JSON.

Components that the site file turns on may add commands of one word and an argument, such as `custody PLAY`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory

from cloverhinge.core import invariants
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import State
from cloverhinge.core.router import Router
from cloverhinge.discovery.updates import ServerAddress
from cloverhinge.net.buffered import BufferedReceiver
from cloverhinge.net.output import OutputLimits
from cloverhinge.rtsp.media_servers import MediaServers

MAX_SESSIONS_SHOWN = 100  # sessions listed; their number is always exact
MAX_CONNECTIONS = 16  # at a time


def snapshot(
    name: str,
    router: Router,
    media_servers: MediaServers,
    addresses: dict[int, ServerAddress],
    started_ms: float,
    certificate: dict[str, Any] | None,
    plays: int,
    clients: list[dict[str, Any]],
) -> dict[str, Any]:
    """The status of a router, ready for JSON.

    It lists all media servers in `addresses` and the `MAX_SESSIONS_SHOWN` oldest sessions.  `certificate` and
    `clients` are taken as they are.
    """
    now = router.clock.now()
    servers = router.controller.fleet.servers

    def rounded_load(limit: Any) -> float | None:
        return None if limit.load is None else round(limit.load, 3)

    established = [request for request in router.requests if request.state is State.ESTABLISHED]
    shown = sorted(established, key=lambda x: x.received_ms)[:MAX_SESSIONS_SHOWN]
    return {
        "name": name,
        "up_s": round((now - started_ms) / 1000.0, 1),
        "open": router.open_requests,
        "standing": len(established),
        "plays": plays,
        "counters": router.counters.as_status(),
        "broken": dict(invariants.violations),
        "certificate": certificate,
        "clients": clients,
        "boxes": [
            {
                "name": address.name,
                "address": f"{address.host}:{address.port}",
                "health": router.listings[number].health.value if number in router.listings else "gone",
                "sessions": len(router.established.get(number, {})),
                "link": rounded_load(servers[number].link) if number in servers else None,
                "uplink": rounded_load(servers[number].uplink) if number in servers else None,
                "connected": number in media_servers.pools and bool(media_servers.pools[number].connections),
            }
            for number, address in sorted(addresses.items(), key=lambda x: x[1].name)
        ],
        "sessions": [
            {
                "id": request.set_up.session_id,
                "class": request.set_up.class_name,
                "title": request.set_up.title,
                "box": addresses[request.server].name if request.server in addresses else "?",
                "rung": request.rung,
                "age_s": round((now - request.received_ms) / 1000.0, 1),
            }
            for request in shown
        ],
    }


class AdminConnection(BufferedReceiver):
    """A connection to the admin socket: each line is a command, answered by one line of JSON."""

    MAX_LENGTH = 256
    delimiter = b"\n"

    def __init__(self, admin: AdminFactory) -> None:
        super().__init__(admin.output_limits)
        self.admin = admin

    def connectionMade(self) -> None:
        super().connectionMade()
        self.admin.connections += 1

    def connectionLost(self, reason: Any = None) -> None:
        super().connectionLost(reason)
        self.admin.connections -= 1

    def lineReceived(self, line: bytes) -> None:
        command, _, argument = line.decode("utf-8", "replace").strip().partition(" ")
        if command == "status" and not argument:
            answer = self.admin.status()
        elif command in self.admin.commands:
            answer = self.admin.commands[command](argument.strip())
        else:
            answer = {"error": f"only {', '.join(['status', *self.admin.commands])} is known here"}
        self.send(json.dumps(answer).encode() + b"\n")


class AdminFactory(ServerFactory):
    """Serves the admin socket; over `MAX_CONNECTIONS`, a new connection is closed at once."""

    noisy = False

    def __init__(
        self,
        deadlines: Deadlines,
        status: Callable[[], dict[str, Any]],
        commands: dict[str, Callable[[str], dict[str, Any]]] | None = None,
    ) -> None:
        self.output_limits = OutputLimits(deadlines)
        self.status, self.commands, self.connections = status, commands or {}, 0

    def buildProtocol(self, addr: Any) -> AdminConnection | None:
        return AdminConnection(self) if self.connections < MAX_CONNECTIONS else None
