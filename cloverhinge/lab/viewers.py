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

from cloverhinge.lab.harness import WAIT_S, Message, Wire
from cloverhinge.lab.media import MediaBox
from cloverhinge.lab.rig import Rig, Router, rig

SOON_S = 20.0  # for what has to come, also on a busy machine
SITE_KEY = "0123456789abcdef0123456789abcdef"


@contextmanager
def keeping(
    folder: Path,
    count: int,
    titles: int,
    idle_s: float,
    custody: bool = True,
    stores: bool = False,
    **more: Any,
) -> Iterator[Rig]:
    """Routers that keep each other's work, four media boxes, and a title for each play (`t0`, `t1`, ...).

    `stores`: each has a folder `store` beside its files.
    """
    boxes = [MediaBox(f"s-{n:08x}", n % 3) for n in range(4)]
    lines = [
        *(["[custody]", f"routers = {count}"] if custody else []),
        "[hls]",
        'listen = "127.0.0.1:0"',
        f'key = "{SITE_KEY}"',
        f"idle_s = {idle_s}",
        "manifest_kb = 64",
        "[hls.boxes]",
        *(f'{x.name} = "{x.origin}"' for x in boxes),
        "[hls.titles]",
        *(f"t{n} = {{ copies = 3 }}" for n in range(titles)),
        *(["[store]", 'folder = "{folder}/store"'] if stores else []),
    ]
    with rig(folder, count, pumps=boxes, tables="\n".join(lines), **more) as made:
        if custody:
            until_rostered(made)
        yield made


def until_rostered(made: Rig, seconds: float = SOON_S) -> None:
    """All that run vote in one roster of just them, as their logs say."""
    here = [x for x in made.routers if x.running]
    names = ", ".join(sorted(x.name for x in here))

    def rostered() -> bool:
        numbers = set()
        for router in here:
            lines = [
                x.told["line"]
                for x in made.record.of("log", router.name, router.begun_ms)
                if " custody: " in x.told["line"]
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

    made.record.until(rostered, seconds, f"one roster of {names}")


def custody_of(router: Router) -> dict[str, Any]:
    told: dict[str, Any] = router.status()["custody"]
    return told


def get(made: Rig, router: Router, path: str, wait_s: float = WAIT_S) -> tuple[int, str]:
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


def play(made: Rig, router: Router, number: int, kind: str = "paid") -> tuple[int, str]:
    """Fetches the manifest of the play `number`, whose title is its own."""
    return get(made, router, f"/play/{kind}/t{number}?play=play-{number:08d}")


def final(
    made: Rig, router: Router, number: int, kind: str = "paid", seconds: float = SOON_S
) -> tuple[int, str]:
    """Comes back as long as it is told to; 410 for a playlist that ends."""
    deadline = time.monotonic() + seconds
    while True:
        code, text = play(made, router, number, kind)
        if code != 503 or time.monotonic() > deadline:
            return (410 if "ENDLIST" in text else code), text


def ask_for(wire: Wire, session: str, title: str, kind: str) -> None:
    wire.send(
        f"SETUP rtsp://media/{title} RTSP/1.0",
        session,
        X_Call_Class=kind,
        X_Ring_Limit="2500",
        X_Dest="home:0;copies:3;top:1",
    )


def set_up(
    made: Rig, router: Router, session: str, title: str, kind: str = "paid"
) -> tuple[Wire, Message | None]:
    """An RTSP set-up on a connection of its own, and its answer."""
    wire = Wire(socket.create_connection(router.ports["listening"], WAIT_S))
    ask_for(wire, session, title, kind)
    answer = wire.read()
    made.record.add(
        "viewer", "answer", path=session, at=router.name, status=0 if answer is None else answer.status
    )
    return wire, answer
