"""Membership measured: on real processes behind the lab's hub, and in virtual time where there are too many.

    python -m benchmarks.members [kills | heal | cost | setups | soak [MINUTES]] ...

Without a part all are run (45 minutes, most of them the soak); with parts, the others keep their last
figures, which docs/results/members.json holds.
"""

from __future__ import annotations

import json
import os
import random
import socket
import sys
import tempfile
import threading
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from benchmarks.door import used_s
from benchmarks.tables import RESULTS, keep
from cloverhinge.emulator.routers import World
from cloverhinge.lab import checks, schedule
from cloverhinge.lab.harness import (
    FakeChangeLog,
    Program,
    RtspConnection,
    StatelessMediaServer,
    read_answer,
    send_set_up,
)
from cloverhinge.lab.rig import running_rig

Rows = list[dict[str, object]]
OPTIMIZED = ("-O", "-m", "cloverhinge")
KILLS, MEMBERS, HEALS = 100, 16, 5
BOUND_MS = 3500.0


def share(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def figures(values: list[float]) -> dict[str, object]:
    return {
        "n": len(values),
        "p50 ms": round(share(values, 0.5)),
        "p99 ms": round(share(values, 0.99)),
        "most ms": round(max(values)),
    }


def kills() -> Rows:
    """From SIGKILL until the last of the others has told that the router is out."""
    draw, known, back, seen = random.Random(7), [], [], 0
    with tempfile.TemporaryDirectory() as name, running_rig(Path(name), MEMBERS, program=OPTIMIZED) as made:
        for _ in range(KILLS):
            victim = made[draw.randrange(MEMBERS)]
            made.record.pause(draw.random())
            at = made.record.now()
            victim.signal(9)
            others = [x for x in made.routers if x is not victim]
            made.wait_agreed(others, 30.0)
            told = [
                x.ms
                for x in made.record.events_of("changed", since_ms=at)
                if x.details["name"] == victim.name and x.details["to"] == "dead"
            ]
            known.append(max(told) - at)
            victim.wait_ended()
            victim.start()
            at = made.record.now()
            victim.wait_started()
            made.wait_agreed(seconds=30.0)
            back.append(made.record.now() - at)
        seen = len(checks.all_violations(made.record, BOUND_MS))
    return [
        {"what": f"killed, one of {MEMBERS}: until all others know", **figures(known)},
        {"what": "started again: until all hold one view (with the program's start)", **figures(back)},
        {"what": "broken promises in the record", "n": seen, "p50 ms": "", "p99 ms": "", "most ms": ""},
    ]


def heal() -> Rows:
    """From the heal of a cut until all hold one view that stays; the cut lasts until both sides settled."""
    rows: Rows = []
    with tempfile.TemporaryDirectory() as name, running_rig(Path(name), 5, program=OPTIMIZED) as made:
        cuts: dict[str, tuple[list[int], list[int], bool]] = {
            "split 3:2": ([0, 1, 2], [3, 4], True),
            "split 4:1": ([0, 1, 2, 3], [4], True),
            "one is heard by nobody": ([0], [1, 2, 3, 4], False),
            "one hears nobody": ([1, 2, 3, 4], [0], False),
        }
        for what, (some, others, both) in cuts.items():
            took = []
            for _ in range(HEALS):
                made.hub.cut([f"r{x}" for x in some], [f"r{x}" for x in others], both)
                larger = max(some, others, key=len)
                made.wait_agreed([made[x] for x in larger], 30.0)
                made.record.pause(2.0)  # the smaller side settles too, or learns that it is out
                at = made.record.now()
                made.hub.heal()
                made.wait_agreed(seconds=30.0)
                made.record.pause(2.0)
                assert made.agreed(made.routers)
                took.append(
                    max((x.ms for x in made.record.events_of("changed", since_ms=at)), default=at) - at
                )
            rows.append({"cut": what, **figures(took)})
    return rows


def resident_mb(process: int) -> float:
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024.0
    raise ValueError("the process has no resident memory")


def alone_mb(folder: Path) -> float:
    """A router without members, settled."""
    log = FakeChangeLog()
    program = Program(folder, [], log)
    try:
        log.subscriptions.get(timeout=10.0)
        return resident_mb(program.process.pid)
    finally:
        program.terminate()
        log.stop()


def idle(seconds: float = 20.0) -> Rows:
    """The processor that a router takes without members, to be taken off the others' figures."""
    with tempfile.TemporaryDirectory() as name:
        log = FakeChangeLog()
        program = Program(Path(name), [], log)
        log.subscriptions.get(timeout=10.0)
        before = used_s(program.process.pid)
        threading.Event().wait(seconds)
        used = (used_s(program.process.pid) - before) / seconds
        program.terminate()
        log.stop()
    return [
        {
            "members": "none (process)",
            "datagrams a second": 0,
            "bytes a second": 0,
            "processor": f"{used:.2%}",
            "memory MB": 0.0,
        }
    ]


def cost(seconds: float = 20.0) -> Rows:
    rows = idle(seconds)
    for count in (3, 16):
        with tempfile.TemporaryDirectory() as name:
            without = alone_mb(Path(name))
        with tempfile.TemporaryDirectory() as name, running_rig(Path(name), count) as made:
            made.record.pause(10.0)
            processes = [x.process.pid for x in made.routers if x.process is not None]
            before = sum(map(used_s, processes)), made.hub.counts["passed"], made.hub.counts["bytes"]
            made.record.pause(seconds)
            after = sum(map(used_s, processes)), made.hub.counts["passed"], made.hub.counts["bytes"]
            used, passed, size = ((y - x) / seconds / count for x, y in zip(before, after, strict=True))
            mb = sum(map(resident_mb, processes)) / count - without
        rows.append(
            {
                "members": f"{count} (processes)",
                "datagrams a second": passed,
                "bytes a second": size,
                "processor": f"{used:.2%}",
                "memory MB": mb,
            }
        )
    for count in (16, 64, 400):
        world = World(count, 3)
        world.start_joined()
        world.net.run(20_000.0)
        assert world.agreed()
        messages, size, span, begun = world.net.messages, world.net.bytes, 10.0, time.process_time()
        world.net.run(span * 1000.0)
        rows.append(
            {
                "members": f"{count} (virtual)",
                "datagrams a second": (world.net.messages - messages) / count / span,
                "bytes a second": (world.net.bytes - size) / count / span,
                "processor": f"{(time.process_time() - begun) / count / span:.2%} (core alone)",
                "memory MB": "",
            }
        )
    return rows


def load(
    where: tuple[str, int], process: int, seconds: float, lines: int = 6
) -> tuple[int, float, list[float]]:
    """Viewers in a closed loop: set-ups, the processor's time that the router took for them, ms of each."""
    took: list[float] = []
    until, before = time.monotonic() + seconds, used_s(process)

    def viewer(at: int) -> None:
        wire, count = RtspConnection(socket.create_connection(where, 10.0)), 0
        while time.monotonic() < until:
            count += 1
            begun = time.monotonic()
            session = send_set_up(wire, at << 32 | count)
            served = read_answer(wire).status == 200
            took.append((time.monotonic() - begun) * 1000.0)
            assert served
            wire.send("TEARDOWN rtsp://media/x RTSP/1.0", session, 2)
            read_answer(wire)
        wire.close()

    threads = [threading.Thread(target=viewer, args=(at,)) for at in range(lines)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return len(took), used_s(process) - before, took


PAIRS, TURNS, TURN_S, LANES = 12, 4, 1.0, 2


def pair(kind: str, at: int) -> list[tuple[float, float, float]]:
    """Set-ups a second, a second of the processor, and p99, of one router without members and of its rival.

    The two take turns, ABBA, so that what the machine does meanwhile meets both.  The rival is one of five
    with members, or, for the spread of like processes, another without.
    """
    pumps = [[StatelessMediaServer(f"{letter}-{at:04x}{n:04x}", n) for n in range(2)] for letter in "st"]
    with (
        tempfile.TemporaryDirectory() as name,
        ExitStack() as held,
        ProcessPoolExecutor(1, mp_context=get_context("spawn")) as viewers,
    ):
        routers: list[tuple[tuple[str, int], int]] = []
        for which, stands in enumerate(pumps):
            if which and kind == "with members":
                made = held.enter_context(
                    running_rig(
                        Path(name),
                        5,
                        servers=stands,
                        uses_server_proxies=False,
                        fleetSize=1,
                        program=OPTIMIZED,
                    )
                )
                assert made[0].process is not None
                routers.append((made[0].ports["listening"], made[0].process.pid))
                continue
            log, folder = FakeChangeLog(), Path(name) / f"alone{which}"
            folder.mkdir()
            program = Program(folder, list(stands), log, program=OPTIMIZED, fleetSize=1)
            held.callback(log.stop)
            held.callback(program.terminate)
            routers.append((("127.0.0.1", program.port), program.process.pid))
        seen: list[list[tuple[int, float, list[float]]]] = [[], []]
        for which in (0, 1):
            viewers.submit(load, *routers[which], 0.5).result()  # until both are warm
        for turn in range(TURNS):
            for which in ((0, 1), (1, 0))[turn % 2]:
                seen[which].append(viewers.submit(load, *routers[which], TURN_S).result())
        for stands in pumps:
            for stand in stands:
                stand.stop()
    return [
        (
            sum(x[0] for x in all_) / TURNS / TURN_S,
            sum(x[0] for x in all_) / sum(x[1] for x in all_),
            share([y for x in all_ for y in x[2]], 0.99),
        )
        for all_ in seen
    ]


def setups(pairs: int = PAIRS) -> Rows:
    """Pairs of fresh processes, as two like ones differ by what the memory's layout gives each."""
    tasks = [(kind, at) for at in range(pairs) for kind in ("with members", "without")]
    with ProcessPoolExecutor(LANES, mp_context=get_context("spawn")) as lanes:
        told = list(lanes.map(pair, *zip(*tasks, strict=True)))
    rows: Rows = []
    draw = random.Random(5)
    for kind in ("without", "with members"):
        of_kind = [seen for (which, _), seen in zip(tasks, told, strict=True) if which == kind]
        for at, what in enumerate(("set-ups a second", "set-ups a second of its processor", "p99 ms")):
            ratios = [100.0 * (other[at] / alone[at] - 1.0) for alone, other in of_kind]
            means = sorted(sum(draw.choices(ratios, k=len(ratios))) / len(ratios) for _ in range(2000))
            rows.append(
                {
                    "the rival": kind,
                    "what": what,
                    "pairs": len(ratios),
                    "alone": sum(x[0][at] for x in of_kind) / len(of_kind),
                    "difference %": f"{sum(ratios) / len(ratios):+.2f}",
                    "95% of it lies in": f"{means[50]:+.2f} to {means[1949]:+.2f}",
                    "least and most of a pair": f"{min(ratios):+.1f} to {max(ratios):+.1f}",
                }
            )
    return rows


def soak(minutes: float) -> Rows:
    """Sixteen processes, a fifth of datagrams lost, random pauses of up to 2 s, busy loops on all cores."""
    with tempfile.TemporaryDirectory() as name, running_rig(Path(name), MEMBERS, program=OPTIMIZED) as made:
        made.hub.change_default(loss=0.2)
        made.start_busy_loops(len(os.sched_getaffinity(0)))
        at = made.record.now()
        schedule.run_schedule(
            made, schedule.random_pauses(11, MEMBERS, minutes * 60.0, every_s=1.0, max_s=2.0)
        )
        made.stop_busy_loops()
        made.wait_agreed(made.routers, 30.0)
        told: Counter[str] = Counter(x.details["to"] for x in made.record.events_of("changed", since_ms=at))
        pauses = sum(x.details.get("signal") == "SIGSTOP" for x in made.record.events_of("fault"))
        counters = [x.status()["members"]["counters"] for x in made.routers]
        return [
            {
                "minutes": round((made.record.now() - at) / 60_000.0, 1),
                "processes": MEMBERS,
                "pauses made": pauses,
                "away seen": sum(x["pauses"] for x in counters),
                "suspected": told["suspect"],
                "removed": told["dead"],
                "returned": told["returned"],
                "datagrams lost": made.hub.counts["lost"],
                "passed": made.hub.counts["passed"],
            }
        ]


PARTS: dict[str, tuple[str, Any]] = {
    "kills": ("Real processes: 100 kills at random moments, with restarts under the same name.", kills),
    "heal": (f"Five real processes: {HEALS} heals of each cut, until the last change of a view.", heal),
    "cost": ("What it costs a member when nothing happens; memory against a router without it.", cost),
    "setups": (
        "A router's own set-ups, closed loop: one without members against one of five with, and, for "
        "the spread, against another without. Each pair is of fresh processes that take turns.",
        setups,
    ),
    "soak": (
        "False removals: a fifth of the datagrams lost, random pauses of up to 2 s, a busy loop for "
        "each core beside the processes.",
        soak,
    ),
}


def main() -> None:
    path = RESULTS / "members.json"
    held: dict[str, Rows] = json.loads(path.read_text()) if path.exists() else {}
    words = sys.argv[1:]
    minutes = next((float(x) for x in words if x.replace(".", "").isdigit()), 30.0)
    for part in [x for x in words if x in PARTS] or list(PARTS):
        call = PARTS[part][1]
        held[part] = call(minutes) if part == "soak" else call()
        print(part, held[part], flush=True)
        path.write_text(json.dumps(held, indent=1) + "\n")
    keep(
        "members",
        "Membership",
        [(PARTS[x][0], held[x]) for x in PARTS if x in held],
        "python -m benchmarks.members",
    )


if __name__ == "__main__":
    main()
