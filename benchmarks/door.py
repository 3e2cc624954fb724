"""Measures admission, switched off and on, in one run.

    python -m benchmarks.door [--before FOLDER]

Shares, retry-after estimates, waits, memory and processor time are measured in virtual time
(benchmarks/world.py), and set-ups a second over RTSP with the real program and simulated media servers.
`--before` names a checkout of an earlier version that is measured as well, for comparison.
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

from benchmarks.tables import write_results
from benchmarks.world import Crowd, World, settings
from cloverhinge.admission.gateway import AdmissionGateway
from cloverhinge.core.model import SetUpRequest
from cloverhinge.site import ClientSite, DoorSite

MAPLE, BIRCH = ip_network("10.1.0.0/16"), ip_network("10.2.0.0/16")
ADMISSION = DoorSite(
    b"k" * 32,
    512,
    2048,
    60_000.0,
    (ClientSite("maple", 1.0, (MAPLE,)), ClientSite("birch", 1.0, (BIRCH,)), ClientSite("others")),
)


def percentile(values: list[float], fraction: float) -> float:
    """Returns the value below which a fraction of the values lies; nan without values."""
    return sorted(values)[min(int(len(values) * fraction), len(values) - 1)] if values else math.nan


class TimedAdmission:
    """Measures the time spent in the admission queue, including its capacity checks."""

    def __init__(self, gate: AdmissionGateway | None, world: World) -> None:
        self.admission_s, self.calls, self.depth = 0.0, 0, 0
        for name in ("arrive", "serve", "changed", "poll") if gate is not None else ():
            assert gate is not None
            setattr(gate.queue, name, self._wrap(getattr(gate.queue, name)))

    def _wrap(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*arguments: Any) -> Any:
            self.depth += 1
            started = time.perf_counter()
            try:
                return call(*arguments)
            finally:
                self.depth -= 1
                if not self.depth:
                    self.admission_s += time.perf_counter() - started

        return timed


def shares() -> list[dict[str, object]]:
    """Returns rows on how two clients of unequal demand share the capacity, by protocol."""
    rows: list[dict[str, object]] = []
    protocols: tuple[tuple[str, dict[str, Any]], ...] = (
        ("HLS, whole seconds", {"retry_after_step_ms": 1000.0}),
        ("RTSP, cut at 1 s", {"max_retry_after_ms": 1000.0}),
    )
    for protocol, fields in protocols:
        for on in (False, True):
            crowds = [
                Crowd("maple", "10.1.0.1", 5, check_share=0.2, patience_ms=90_000.0, **fields),
                Crowd("birch", "10.2.0.1", 50, check_share=0.2, patience_ms=90_000.0, **fields),
            ]
            world = World(settings(4, 50), crowds)
            gate = AdmissionGateway(ADMISSION, world.router, world.deadlines, 1) if on else None
            timed, started = TimedAdmission(gate, world), time.process_time()
            world.run(60_000.0)
            used_s = time.process_time() - started
            asked, back = (sum(getattr(x.tally, name) for x in crowds) for name in ("asked", "back"))
            status = gate.status() if gate is not None else []
            kept, broken, near = (sum(x[name] for x in status) for name in ("kept", "broken", "near"))
            waits = [x for crowd in crowds for x in crowd.tally.waits_ms]
            rows.append(
                {
                    "wire": protocol,
                    "door": "on" if on else "off",
                    "small served (ideal 1)": crowds[0].tally.served / crowds[0].tally.arrived,
                    "large served (ideal 0.30)": crowds[1].tally.served / crowds[1].tally.arrived,
                    "came back": back,
                    "of them in": sum(x.tally.served_after_return for x in crowds) / max(1, back),
                    "promises kept": kept,
                    "broken": broken,
                    "within 20%": near / kept if kept else math.nan,
                    "wait p50 ms": percentile(waits, 0.5),
                    "wait p99 ms": percentile(waits, 0.99),
                    "door us a request": timed.admission_s * 1e6 / asked if on else 0.0,
                    "all us a request": used_s * 1e6 / asked,
                }
            )
    return rows


def classes() -> list[dict[str, object]]:
    """Returns rows on the waits of the two classes of service."""
    rows: list[dict[str, object]] = []
    for on in (False, True):
        crowds = [
            Crowd(
                f"{name}-{kind}",
                f"10.{at}.0.1",
                10,
                check_share=kind == "check",
                patience_ms=30_000.0,
                retry_after_step_ms=1000.0,
            )
            for at, name in ((1, "maple"), (2, "birch"))
            for kind in ("check", "coaching")
        ]
        world = World(settings(4, 50), crowds)
        if on:
            AdmissionGateway(ADMISSION, world.router, world.deadlines, 1)
        world.run(60_000.0)
        for kind in ("check", "coaching"):
            tallies = [x.tally for x in crowds if x.name.endswith(kind)]
            waits = [x for tally in tallies for x in tally.waits_ms]
            totals = [x for tally in tallies for x in tally.served_ms]
            rows.append(
                {
                    "door": "on" if on else "off",
                    "class": kind,
                    "served": sum(x.served for x in tallies) / sum(x.arrived for x in tallies),
                    "wait p50 ms": percentile(waits, 0.5),
                    "wait p99 ms": percentile(waits, 0.99),
                    "first ask to served p50 ms": percentile(totals, 0.5),
                    "p99 ms": percentile(totals, 0.99),
                }
            )
    return rows


def rss_mb() -> float:
    """Returns this process's resident memory in MB."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def flood(thousands: int) -> float:
    """Returns the resident MB after requests of fake clients, each with its own address, id and title."""
    world = World(settings(4, 50), [])
    AdmissionGateway(ADMISSION, world.router, world.deadlines, 1)
    world.run(10.0)
    viewer: Any = Crowd("fake", "", 0)
    viewer.served = viewer.refused = viewer.failed = viewer.released = lambda *_: None
    for number in range(thousands * 1000):
        set_up = SetUpRequest(
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
        world.router.open_request(set_up, viewer, world)
        if number % 10 == 0:
            world.run(10.0)
    gc.collect()
    return rss_mb()


def memory() -> list[dict[str, object]]:
    """Returns rows on the memory after floods of fake clients, each in a process of its own."""
    rows: list[dict[str, object]] = []
    for thousands in (1, 10, 100):
        code = f"from benchmarks.door import flood; print(flood({thousands}))"
        result = subprocess.run(
            [sys.executable, "-O", "-c", code], capture_output=True, text=True, check=True
        )
        rows.append({"fake clients": thousands * 1000, "resident MB": round(float(result.stdout), 2)})
    return rows


def cpu_time_s(process: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_set_up_rate(
    folder: Path, door: bool, seconds: float = 4.0, connections: int = 8
) -> tuple[float, float]:
    """Returns set-ups a second, and a second of the router's processor time.

    Each viewer sets up a session, ends it once it is answered, and starts again, on one connection.
    """
    from cloverhinge.lab.harness import SETTINGS, ChangeLog, Quick, Wire, answer

    servers, log = [Quick(f"s-{n:08x}", n) for n in range(2)], ChangeLog()
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
                    "known": {"seq": 1, "results": [log.event([x.row() for x in servers], full=True)]},
                }
            )
        )
        site.write_text(f'[door]\nkey = "{"d" * 32}"\n' if door else "")
        command = [
            sys.executable,
            "-O",
            "-m",
            "cloverhinge",
            "serve",
            *(["--site", str(site)] if door else []),
        ]
        process = subprocess.Popen(
            command,
            cwd=folder,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "LB_CONFIG": str(config)},
        )
        assert process.stderr is not None
        line = next(line for line in process.stderr if "listening on" in line)
        port = int(line.rsplit(":", 1)[1].split(",")[0])
        threading.Thread(target=process.stderr.read, daemon=True).start()
        counts, until = [0] * connections, time.monotonic() + seconds

        def viewer(at: int) -> None:
            wire = Wire(socket.create_connection(("127.0.0.1", port), 10.0))
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
                served = answer(wire).status == 200
                wire.send("TEARDOWN rtsp://media/x RTSP/1.0", session, 2)
                answer(wire)
                counts[at] += served
            wire.close()

        threads = [threading.Thread(target=viewer, args=(at,)) for at in range(connections)]
        before = cpu_time_s(process.pid)
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        used = cpu_time_s(process.pid) - before
        process.terminate()
        process.wait(10.0)
        for component in (*servers, log):
            component.stop()
    return sum(counts) / seconds, sum(counts) / used


def rtsp(before: Path | None) -> list[dict[str, object]]:
    """Returns rows on set-ups over RTSP, also of an earlier version in the folder `before`, if given."""
    root = Path(__file__).parent.parent
    versions = [("door off", root, False), ("door on", root, True)]
    if before is not None:
        versions.insert(0, ("before", before, False))
    results: dict[str, list[tuple[float, float]]] = {}
    for _ in range(3):  # by turns, so that other load on the machine affects all versions
        for version, folder, door in versions:
            results.setdefault(version, []).append(measure_set_up_rate(folder, door))
    return [
        {
            "version": version,
            "set-ups a second, best of 3": max(x for x, _ in rates),
            "a second of the router's processor, median": sorted(x for _, x in rates)[1],
        }
        for version, rates in results.items()
    ]


def main() -> None:
    """Writes all tables."""
    before = Path(sys.argv[sys.argv.index("--before") + 1]) if "--before" in sys.argv else None
    write_results(
        "door",
        "Admission, off and on",
        [
            (
                "Two clients, 5 and 50 sessions a second (a fifth of them "
                "checks), capacity for about 20, 60 s; viewers "
                "return after the time that they were sent until "
                "90 s have passed.  `off` sends at most 1 s, as set.",
                shares(),
            ),
            (
                "Waits by class: two clients, each 10 checks and 10 practice "
                "calls a second, capacity for about 20.",
                classes(),
            ),
            ("Memory after fake clients, each with an address, id and title of its own.", memory()),
            (
                "Set-ups a second over RTSP: eight viewers in a closed loop, capacity for all; "
                "viewers and media servers are Python threads, so the router's own "
                "processor time is more meaningful than the rate.",
                rtsp(before),
            ),
        ],
        "python -m benchmarks.door",
    )


if __name__ == "__main__":
    main()
