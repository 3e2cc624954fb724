"""Viewers of a rig: HLS players and RTSP set-ups, whose answers go into the run's record."""

from __future__ import annotations

import http.client
import re
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

from cloverhinge.lab.harness import TIMEOUT_S, Message, RtspConnection
from cloverhinge.lab.media import RecordingMediaServer
from cloverhinge.lab.rig import Rig, Router, running_rig

BUSY_TIMEOUT_S = 20.0  # for what has to come, also on a busy machine
HLS_KEY = "0123456789abcdef0123456789abcdef"


@contextmanager
def replicating_rig(
    folder: Path,
    count: int,
    titles: int,
    idle_s: float,
    ownership: bool = True,
    stores: bool = False,
    **more: Any,
) -> Iterator[Rig]:
    """Routers that keep each other's work, four media boxes, and a title for each play (`t0`, `t1`, ...).

    `stores`: each has a folder `store` beside its files.
    """
    boxes = [RecordingMediaServer(f"s-{n:08x}", n % 3) for n in range(4)]
    lines = [
        *(["[custody]", f"routers = {count}"] if ownership else []),
        "[hls]",
        'listen = "127.0.0.1:0"',
        f'key = "{HLS_KEY}"',
        f"idle_s = {idle_s}",
        "manifest_kb = 64",
        "[hls.boxes]",
        *(f'{x.name} = "{x.origin}"' for x in boxes),
        "[hls.titles]",
        *(f"t{n} = {{ copies = 3 }}" for n in range(titles)),
        *(["[store]", 'folder = "{folder}/store"'] if stores else []),
    ]
    with running_rig(folder, count, servers=boxes, site_tables="\n".join(lines), **more) as made:
        if ownership:
            wait_replica_set(made)
        yield made


def wait_replica_set(made: Rig, seconds: float = BUSY_TIMEOUT_S) -> None:
    """All that run vote in one roster of just them, as their logs say."""
    here = [x for x in made.routers if x.running]
    names = ", ".join(sorted(x.name for x in here))

    def rostered() -> bool:
        numbers = set()
        for router in here:
            lines = [
                x.details["line"]
                for x in made.record.events_of("log", router.name, router.started_ms)
                if " custody: " in x.details["line"]
            ]
            roster = [x for x in lines if " custody: roster " in x]
            found = re.search(r"custody: roster (\d+): ([^;]*)", roster[-1]) if roster else None
            if (
                found is None
                or found[2] != names
                or not any(x.endswith(f"votes in roster {found[1]}") for x in lines)
            ):
                return False
            numbers.add(found[1])
        return len(numbers) == 1

    made.record.wait_until(rostered, seconds, f"one roster of {names}")


def ownership_status(router: Router) -> dict[str, Any]:
    told: dict[str, Any] = router.status()["custody"]
    return told


def http_get(made: Rig, router: Router, path: str, wait_s: float = TIMEOUT_S) -> tuple[int, str]:
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
    made.record.add("viewer", "answer", path=path, at=router.name, status=status, text=text[:100])
    return status, text


def fetch_manifest(made: Rig, router: Router, number: int, service_class: str = "paid") -> tuple[int, str]:
    """Fetches the manifest of the play `number`, whose title is its own."""
    return http_get(made, router, f"/play/{service_class}/t{number}?play=play-{number:08d}")


def final_answer(
    made: Rig, router: Router, number: int, service_class: str = "paid", seconds: float = BUSY_TIMEOUT_S
) -> tuple[int, str]:
    """Comes back as long as it is told to; 410 for a playlist that ends."""
    deadline = time.monotonic() + seconds
    while True:
        code, text = fetch_manifest(made, router, number, service_class)
        if code != 503 or time.monotonic() > deadline:
            return (410 if "ENDLIST" in text else code), text


def send_titled_set_up(wire: RtspConnection, session: str, title: str, service_class: str) -> None:
    wire.send(
        f"SETUP rtsp://media/{title} RTSP/1.0",
        session,
        X_Call_Class=service_class,
        X_Ring_Limit="2500",
        X_Dest="home:0;copies:3;top:1",
    )


def set_up(
    made: Rig, router: Router, session: str, title: str, service_class: str = "paid"
) -> tuple[RtspConnection, Message | None]:
    """An RTSP set-up on a connection of its own, and its answer."""
    wire = RtspConnection(socket.create_connection(router.ports["listening"], TIMEOUT_S))
    send_titled_set_up(wire, session, title, service_class)
    answer = wire.read()
    made.record.add(
        "viewer", "answer", path=session, at=router.name, status=0 if answer is None else answer.status
    )
    return wire, answer
