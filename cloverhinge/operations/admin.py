"""The admin socket: whoever writes the line `status` gets the router's state as one line of JSON.

Parts that the site file turns on may add commands of one word and what it is about, as `custody PLAY`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory

from cloverhinge.core import invariants
from cloverhinge.core.model import State
from cloverhinge.core.router import Router
from cloverhinge.discovery.updates import ServerAddress
from cloverhinge.net.buffered import BufferedReceiver
from cloverhinge.rtsp.media_servers import MediaServers

MAX_SESSIONS_SHOWN = 100  # shown; the count is told in full
MAX_CONNECTIONS = 16  # connections at a time


def snapshot(
    name: str,
    router: Router,
    media_servers: MediaServers,
    boxes: dict[int, ServerAddress],
    started_ms: float,
    certificate: dict[str, Any] | None,
    plays: int,
    clients: list[dict[str, Any]],
) -> dict[str, Any]:
    now = router.clock.now()
    servers = router.controller.fleet.servers

    def load(limit: Any) -> float | None:
        return None if limit.load is None else round(limit.load, 3)

    standing = [request for request in router.requests if request.state is State.ESTABLISHED]
    shown = sorted(standing, key=lambda x: x.received_ms)[:MAX_SESSIONS_SHOWN]
    return {
        "name": name,
        "up_s": round((now - started_ms) / 1000.0, 1),
        "open": router.open_requests,
        "standing": len(standing),
        "plays": plays,
        "counters": router.counters.as_status(),
        "broken": dict(invariants.violations),
        "certificate": certificate,
        "clients": clients,
        "boxes": [
            {
                "name": box.name,
                "address": f"{box.host}:{box.port}",
                "health": router.listings[number].health.value if number in router.listings else "gone",
                "sessions": len(router.established.get(number, {})),
                "link": load(servers[number].link) if number in servers else None,
                "uplink": load(servers[number].uplink) if number in servers else None,
                "connected": number in media_servers.pools and bool(media_servers.pools[number].connections),
            }
            for number, box in sorted(boxes.items(), key=lambda x: x[1].name)
        ],
        "sessions": [
            {
                "id": request.set_up.session_id,
                "class": request.set_up.class_name,
                "title": request.set_up.title,
                "box": boxes[request.server].name if request.server in boxes else "?",
                "rung": request.rung,
                "age_s": round((now - request.received_ms) / 1000.0, 1),
            }
            for request in shown
        ],
    }


class AdminConnection(BufferedReceiver):
    MAX_LENGTH = 256
    delimiter = b"\n"

    def __init__(self, admin: AdminFactory) -> None:
        super().__init__()
        self.admin = admin

    def connectionMade(self) -> None:
        super().connectionMade()
        self.admin.connections += 1

    def connectionLost(self, reason: Any = None) -> None:
        self.gone = True
        self.admin.connections -= 1

    def pauseProducing(self) -> None:
        pass  # one answer may fill the transport's buffer; it is bounded by what it shows

    def lineReceived(self, line: bytes) -> None:
        word, _, about = line.decode("utf-8", "replace").strip().partition(" ")
        if word == "status" and not about:
            told = self.admin.status()
        elif word in self.admin.commands:
            told = self.admin.commands[word](about.strip())
        else:
            told = {"error": f"only {', '.join(['status', *self.admin.commands])} is known here"}
        self.send(json.dumps(told).encode() + b"\n")


class AdminFactory(ServerFactory):
    noisy = False

    def __init__(
        self,
        status: Callable[[], dict[str, Any]],
        commands: dict[str, Callable[[str], dict[str, Any]]] | None = None,
    ) -> None:
        self.status, self.commands, self.connections = status, commands or {}, 0

    def buildProtocol(self, addr: Any) -> AdminConnection | None:
        return AdminConnection(self) if self.connections < MAX_CONNECTIONS else None
