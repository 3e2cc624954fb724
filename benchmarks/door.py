"""The door off and on, in one run.

    python -m benchmarks.door [--before FOLDER]

Shares, quotes, waits, memory and cost in virtual time (benchmarks/world.py); set-ups a second over RTSP
with the real program and a stand-in box.  `--before` names a checkout of an earlier version, measured
beside the present one.
"""

from __future__ import annotations

import gc
import json
import math
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from ipaddress import ip_address, ip_network
from pathlib import Path
from typing import Any

from benchmarks.tables import keep
from benchmarks.world import Crowd, World, settings
from cloverhinge.admission.gateway import AdmissionGateway
from cloverhinge.core.model import SetUpRequest
from cloverhinge.site import AdmissionSettings, ClientSettings

MAPLE, BIRCH = ip_network("10.1.0.0/16"), ip_network("10.2.0.0/16")
DOOR = AdmissionSettings(
    b"k" * 32,
    512,
    2048,
    60_000.0,
    (
        ClientSettings("maple", 1.0, (MAPLE,)),
        ClientSettings("birch", 1.0, (BIRCH,)),
        ClientSettings("others"),
    ),
)


def share(values: list[float], part: float) -> float:
    return sorted(values)[min(int(len(values) * part), len(values) - 1)] if values else math.nan


class Timed:
    """The time spent in the door, room checks included, and in all of the core."""

    def __init__(self, gate: AdmissionGateway | None, world: World) -> None:
        self.door_s, self.calls, self.depth = 0.0, 0, 0
        for name in ("arrive", "serve", "changed", "poll") if gate is not None else ():
            assert gate is not None
            setattr(gate.queue, name, self._wrap(getattr(gate.queue, name)))

    def _wrap(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*words: Any) -> Any:
            self.depth += 1
            since = time.perf_counter()
            try:
                return call(*words)
            finally:
                self.depth -= 1
                if not self.depth:
                    self.door_s += time.perf_counter() - since

        return timed


def shares() -> list[dict[str, object]]:
    rows: list[dict[str, object]] = []
    wires: tuple[tuple[str, dict[str, Any]], ...] = (
        ("HLS, whole seconds", {"grain_ms": 1000.0}),
        ("RTSP, cut at 1 s", {"cut_ms": 1000.0}),
    )
    for wire, more in wires:
        for on in (False, True):
            crowds = [
                Crowd("maple", "10.1.0.1", 5, checks=0.2, patience_ms=90_000.0, **more),
                Crowd("birch", "10.2.0.1", 50, checks=0.2, patience_ms=90_000.0, **more),
            ]
            world = World(settings(4, 50), crowds)
            gate = AdmissionGateway(DOOR, world.router, world.deadlines, 1) if on else None
            timed, since = Timed(gate, world), time.process_time()
            world.run(60_000.0)
            took = time.process_time() - since
            asked, back = (sum(getattr(x.tally, name) for x in crowds) for name in ("asked", "back"))
            told = gate.status() if gate is not None else []
            kept, broken, near = (sum(x[name] for x in told) for name in ("kept", "broken", "near"))
            waits = [x for one in crowds for x in one.tally.waits_ms]
            rows.append(
                {
                    "wire": wire,
                    "door": "on" if on else "off",
                    "small served (ideal 1)": crowds[0].tally.served / crowds[0].tally.came,
                    "large served (ideal 0.30)": crowds[1].tally.served / crowds[1].tally.came,
                    "came back": back,
                    "of them in": sum(x.tally.back_in for x in crowds) / max(1, back),
                    "promises kept": kept,
                    "broken": broken,
                    "within 20%": near / kept if kept else math.nan,
                    "wait p50 ms": share(waits, 0.5),
                    "wait p99 ms": share(waits, 0.99),
                    "door us a request": timed.door_s * 1e6 / asked if on else 0.0,
                    "all us a request": took * 1e6 / asked,
                }
            )
    return rows


def classes() -> list[dict[str, object]]:
    rows: list[dict[str, object]] = []
    for on in (False, True):
        crowds = [
            Crowd(
                f"{name}-{kind}",
                f"10.{at}.0.1",
                10,
                checks=kind == "check",
                patience_ms=30_000.0,
                grain_ms=1000.0,
            )
            for at, name in ((1, "maple"), (2, "birch"))
            for kind in ("check", "coaching")
        ]
        world = World(settings(4, 50), crowds)
        if on:
            AdmissionGateway(DOOR, world.router, world.deadlines, 1)
        world.run(60_000.0)
        for kind in ("check", "coaching"):
            tallies = [x.tally for x in crowds if x.name.endswith(kind)]
            waits = [x for one in tallies for x in one.waits_ms]
            whole = [x for one in tallies for x in one.served_ms]
            rows.append(
                {
                    "door": "on" if on else "off",
                    "class": kind,
                    "served": sum(x.served for x in tallies) / sum(x.came for x in tallies),
                    "wait p50 ms": share(waits, 0.5),
                    "wait p99 ms": share(waits, 0.99),
                    "first ask to served p50 ms": share(whole, 0.5),
                    "p99 ms": share(whole, 0.99),
                }
            )
    return rows


def rss_mb() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def flood(thousands: int) -> float:
    """Resident MB after so many thousand fake clients, each of its own address, id and title."""
    world = World(settings(4, 50), [])
    AdmissionGateway(DOOR, world.router, world.deadlines, 1)
    world.run(10.0)
    viewer: Any = Crowd("fake", "", 0)
    viewer.served = viewer.refused = viewer.failed = viewer.released = lambda *_: None
    for number in range(thousands * 1000):
        ask = SetUpRequest(
            f"{number:016x}",
            "coaching",
            f"title-{number}",
            number % 4,
            4,
            1,
            5000.0,
            length_ms=9e6,
            viewer_id=f"fake-{number}",
            peer_address=str(ip_address(0xC6120000 + number)),
        )
        world.router.open_request(ask, viewer, world)
        if number % 10 == 0:
            world.run(10.0)
    gc.collect()
    return rss_mb()


def memory() -> list[dict[str, object]]:
    rows: list[dict[str, object]] = []
    for thousands in (1, 10, 100):
        code = f"from benchmarks.door import flood; print(flood({thousands}))"
        done = subprocess.run([sys.executable, "-O", "-c", code], capture_output=True, text=True, check=True)
        rows.append({"fake clients": thousands * 1000, "resident MB": round(float(done.stdout), 2)})
    return rows


def used_s(process: int) -> float:
    """Processor time of a process, in seconds."""
    words = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def paces(folder: Path, door: bool, seconds: float = 4.0, lines: int = 8) -> tuple[float, float]:
    """Set-ups a second, and a second of the router's processor time; viewers ask, hear, end and ask again."""
    from cloverhinge.lab.harness import (
        SETTINGS,
        FakeChangeLog,
        RtspConnection,
        StatelessMediaServer,
        read_answer,
    )

    pumps, log = [StatelessMediaServer(f"s-{n:08x}", n) for n in range(2)], FakeChangeLog()
    with tempfile.TemporaryDirectory() as name:
        config, site = Path(name) / "config.json", Path(name) / "site.toml"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "seed": "1",
                    "changelog": log.address,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "settings": SETTINGS,
                    "known": {
                        "seq": 1,
                        "results": [log.append_event([x.list_entry() for x in pumps], full=True)],
                    },
                }
            )
        )
        site.write_text(f'[door]\nkey = "{"d" * 32}"\n' if door else "")
        words = [sys.executable, "-O", "-m", "cloverhinge", "serve", *(["--site", str(site)] if door else [])]
        process = subprocess.Popen(
            words, cwd=folder, stderr=subprocess.PIPE, text=True, env={**os.environ, "LB_CONFIG": str(config)}
        )
        assert process.stderr is not None
        line = next(line for line in process.stderr if "listening on" in line)
        port = int(line.rsplit(":", 1)[1].split(",")[0])
        threading.Thread(target=process.stderr.read, daemon=True).start()
        counts, until = [0] * lines, time.monotonic() + seconds

        def viewer(at: int) -> None:
            wire = RtspConnection(socket.create_connection(("127.0.0.1", port), 10.0))
            while time.monotonic() < until:
                session = f"{at << 32 | counts[at]:016x}"
                wire.send(
                    "SETUP rtsp://media/7f3a RTSP/1.0",
                    session,
                    X_Call_Class="free",
                    X_Ring_Limit="3000",
                    X_Guess="8000.0",
                    X_Dest="home:0;copies:3;top:1;viewer:00000000b4d65521",
                )
                served = read_answer(wire).status == 200
                wire.send("TEARDOWN rtsp://media/x RTSP/1.0", session, 2)
                read_answer(wire)
                counts[at] += served
            wire.close()

        threads = [threading.Thread(target=viewer, args=(at,)) for at in range(lines)]
        before = used_s(process.pid)
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        used = used_s(process.pid) - before
        process.terminate()
        process.wait(10.0)
        for stand in (*pumps, log):
            stand.stop()
    return sum(counts) / seconds, sum(counts) / used


def rtsp(before: Path | None) -> list[dict[str, object]]:
    here = Path(__file__).parent.parent
    kinds = [("door off", here, False), ("door on", here, True)]
    if before is not None:
        kinds.insert(0, ("before", before, False))
    seen: dict[str, list[tuple[float, float]]] = {}
    for _ in range(3):  # in turns, so that a busy machine is busy for all
        for kind, folder, door in kinds:
            seen.setdefault(kind, []).append(paces(folder, door))
    return [
        {
            "version": kind,
            "set-ups a second, best of 3": max(x for x, _ in all_),
            "a second of the router's processor, median": sorted(x for _, x in all_)[1],
        }
        for kind, all_ in seen.items()
    ]


def main() -> None:
    before = Path(sys.argv[sys.argv.index("--before") + 1]) if "--before" in sys.argv else None
    keep(
        "door",
        "The door, off and on",
        [
            (
                "Two clients, 5 and 50 sessions a second (a fifth of them "
                "checks), room for about 20, 60 s; viewers "
                "come back as told until 90 s have passed.  `off` tells 1 s at most, as set.",
                shares(),
            ),
            (
                "Waits by class: two clients, each 10 checks and 10 practice "
                "calls a second, room for about 20.",
                classes(),
            ),
            ("Memory after fake clients, each with an address, id and title of its own.", memory()),
            (
                "Set-ups a second over RTSP: eight viewers in a closed loop, room for all; "
                "viewers and boxes are Python threads, so the router's own "
                "processor time tells more than the pace.",
                rtsp(before),
            ),
        ],
        "python -m benchmarks.door",
    )


if __name__ == "__main__":
    main()
