"""Viewers of a rig: HLS players and RTSP set-ups, whose answers go into the run's record."""

from __future__ import annotations

import http.client
import socket
from contextlib import suppress

from cloverhinge.lab.rig import Rig, Router
from cloverhinge.lab.stand import WAIT_S, Message, Wire

SITE_KEY = "0123456789abcdef0123456789abcdef"


def custody_tables(boxes: list[str], origins: list[str], titles: int, routers: int, idle_s: float = 30.0,
                   more: str = "") -> str:
    """Tables of a site file: custody, and an HLS front with a title for each play (`t0`, `t1`, ...)."""
    lines = ["[custody]", f"routers = {routers}", more, "[hls]", 'listen = "127.0.0.1:0"',
             f'key = "{SITE_KEY}"', f"idle_s = {idle_s}", "manifest_kb = 64", "[hls.boxes]",
             *(f'{name} = "{origin}"' for name, origin in zip(boxes, origins, strict=True)), "[hls.titles]",
             *(f"t{n} = {{ copies = 3 }}" for n in range(titles))]
    return "\n".join(lines)


def get(rig: Rig, router: Router, path: str, wait_s: float = WAIT_S) -> tuple[int, str]:
    """Status and text; status 0 where the router was lost before it answered."""
    status, text = 0, ""
    with suppress(OSError, http.client.HTTPException):
        link = http.client.HTTPConnection(*router.ports["HLS"], timeout=wait_s)
        try:
            link.request("GET", path)
            response = link.getresponse()
            status, text = response.status, response.read().decode()
        finally:
            link.close()
    rig.record.add("viewer", "answer", path=path, at=router.name, status=status, text=text[:100])
    return status, text


def play(rig: Rig, router: Router, number: int, kind: str = "paid") -> tuple[int, str]:
    """Fetches the manifest of the play `number`, whose title is its own."""
    return get(rig, router, f"/play/{kind}/t{number}?play=play-{number:08d}")


def set_up(rig: Rig, router: Router, session: str, title: str,
           kind: str = "paid") -> tuple[Wire, Message | None]:
    """An RTSP set-up on a connection of its own, and its answer."""
    wire = Wire(socket.create_connection(router.ports["listening"], WAIT_S))
    wire.send(f"SETUP rtsp://media/{title} RTSP/1.0", session, X_Call_Class=kind, X_Ring_Limit="2500",
              X_Dest="home:0;copies:3;top:1")
    answer = wire.read()
    rig.record.add("viewer", "answer", path=session, at=router.name,
                   status=0 if answer is None else answer.status)
    return wire, answer
