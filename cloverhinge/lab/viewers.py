"""Viewers of a rig: HLS players and RTSP clients, whose answers go into the record of the run."""

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

BUSY_TIMEOUT_S = 20.0  # for an expected event on a busy machine
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
    """Runs `count` routers that replicate each other's sessions, with four media servers.

    There are `titles` titles, one for each play (`t0`, `t1`, ...), and players time out after `idle_s`.  With
    `stores` each router has a store in its folder; without `ownership` nothing is replicated.
    """
    servers = [RecordingMediaServer(f"s-{n:08x}", n % 3) for n in range(4)]
    lines = [
        *(["[custody]", f"routers = {count}"] if ownership else []),
        "[hls]",
        'listen = "127.0.0.1:0"',
        f'key = "{HLS_KEY}"',
        f"idle_s = {idle_s}",
        "manifest_kb = 64",
        "[hls.boxes]",
        *(f'{x.name} = "{x.origin}"' for x in servers),
        "[hls.titles]",
        *(f"t{n} = {{ copies = 3 }}" for n in range(titles)),
        *(["[store]", 'folder = "{folder}/store"'] if stores else []),
    ]
    with running_rig(folder, count, servers=servers, site_tables="\n".join(lines), **more) as made:
        if ownership:
            wait_replica_set(made)
        yield made


def wait_replica_set(made: Rig, seconds: float = BUSY_TIMEOUT_S) -> None:
    """Waits until all running routers have logged that they vote in one replica set of just them."""
    running = [x for x in made.routers if x.running]
    names = ", ".join(sorted(x.name for x in running))

    def all_vote() -> bool:
        numbers = set()
        for router in running:
            lines = [
                x.details["line"]
                for x in made.record.events_of("log", router.name, router.started_ms)
                if " custody: " in x.details["line"]
            ]
            replica_sets = [x for x in lines if " custody: roster " in x]
            match = re.search(r"custody: roster (\d+): ([^;]*)", replica_sets[-1]) if replica_sets else None
            if (
                match is None
                or match[2] != names
                or not any(x.endswith(f"votes in roster {match[1]}") for x in lines)
            ):
                return False
            numbers.add(match[1])
        return len(numbers) == 1

    made.record.wait_until(all_vote, seconds, f"one replica set of {names}")


def ownership_status(router: Router) -> dict[str, Any]:
    """The part of a router's status about ownership."""
    status: dict[str, Any] = router.status()["custody"]
    return status


def http_get(made: Rig, router: Router, path: str, wait_s: float = TIMEOUT_S) -> tuple[int, str]:
    """Sends a GET to a router and returns status and text; status 0 where the connection broke first."""
    status, text = 0, ""
    with suppress(OSError, http.client.HTTPException):
        connection = http.client.HTTPConnection(*router.ports["HLS"], timeout=wait_s)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            status, text = response.status, response.read().decode()
        finally:
            connection.close()
    made.record.add("viewer", "answer", path=path, at=router.name, status=status, text=text[:100])
    return status, text


def fetch_manifest(made: Rig, router: Router, number: int, service_class: str = "paid") -> tuple[int, str]:
    """Fetches the manifest of the play `number` of the title with that number."""
    return http_get(made, router, f"/play/{service_class}/t{number}?play=play-{number:08d}")


def final_answer(
    made: Rig, router: Router, number: int, service_class: str = "paid", seconds: float = BUSY_TIMEOUT_S
) -> tuple[int, str]:
    """Fetches a manifest again while the answer is 503; 410 stands for a playlist that has ended."""
    deadline = time.monotonic() + seconds
    while True:
        status, text = fetch_manifest(made, router, number, service_class)
        if status != 503 or time.monotonic() > deadline:
            return (410 if "ENDLIST" in text else status), text


def send_titled_set_up(connection: RtspConnection, session: str, title: str, service_class: str) -> None:
    """Sends an RTSP set-up request for a title."""
    connection.send(
        f"SETUP rtsp://media/{title} RTSP/1.0",
        session,
        X_Call_Class=service_class,
        X_Ring_Limit="2500",
        X_Dest="home:0;copies:3;top:1",
    )


def set_up(
    made: Rig, router: Router, session: str, title: str, service_class: str = "paid"
) -> tuple[RtspConnection, Message | None]:
    """Sends an RTSP set-up on a new connection; returns that and the answer."""
    connection = RtspConnection(socket.create_connection(router.ports["listening"], TIMEOUT_S))
    send_titled_set_up(connection, session, title, service_class)
    answer = connection.read()
    made.record.add(
        "viewer", "answer", path=session, at=router.name, status=0 if answer is None else answer.status
    )
    return connection, answer
