"""Measures membership: with real processes behind the lab's hub, and in virtual time for larger numbers.

    python -m benchmarks.members [kills | heal | cost | setups | soak [MINUTES]] ...

Without arguments all parts run (45 minutes, mostly the soak); otherwise the parts that are not named keep
their last figures, which docs/results/members.json holds.
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

from benchmarks.door import cpu_time_s
from benchmarks.tables import RESULTS, write_results
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
DETECTION_LIMIT_MS = 3500.0


def percentile(values: list[float], fraction: float) -> float:
    """Returns the value below which a fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def summary(values: list[float]) -> dict[str, object]:
    """Returns the count, percentiles and maximum of times in ms."""
    return {
        "n": len(values),
        "p50 ms": round(percentile(values, 0.5)),
        "p99 ms": round(percentile(values, 0.99)),
        "most ms": round(max(values)),
    }


def kills() -> Rows:
    """Measures the time from SIGKILL until the last of the others has reported the router as removed."""
    rng, detection_ms, return_ms, broken = random.Random(7), [], [], 0
    with tempfile.TemporaryDirectory() as name, running_rig(Path(name), MEMBERS, program=OPTIMIZED) as made:
        for _ in range(KILLS):
            victim = made[rng.randrange(MEMBERS)]
            made.record.pause(rng.random())
            start_ms = made.record.now()
            victim.signal(9)
            others = [x for x in made.routers if x is not victim]
            made.wait_agreed(others, 30.0)
            removed_ms = [
                x.ms
                for x in made.record.events_of("changed", since_ms=start_ms)
                if x.details["name"] == victim.name and x.details["to"] == "dead"
            ]
            detection_ms.append(max(removed_ms) - start_ms)
            victim.wait_ended()
            victim.start()
            start_ms = made.record.now()
            victim.wait_started()
            made.wait_agreed(seconds=30.0)
            return_ms.append(made.record.now() - start_ms)
        broken = len(checks.all_violations(made.record, DETECTION_LIMIT_MS))
    return [
        {"what": f"killed, one of {MEMBERS}: until all others know", **summary(detection_ms)},
        {"what": "started again: until all hold one view (with the program's start)", **summary(return_ms)},
        {"what": "broken promises in the record", "n": broken, "p50 ms": "", "p99 ms": "", "most ms": ""},
    ]


def heal() -> Rows:
    """Measures the time from the end of a partition until all have the same, final view.

    A partition lasts until both sides have settled.
    """
    rows: Rows = []
    with tempfile.TemporaryDirectory() as name, running_rig(Path(name), 5, program=OPTIMIZED) as made:
        cuts: dict[str, tuple[list[int], list[int], bool]] = {
            "split 3:2": ([0, 1, 2], [3, 4], True),
            "split 4:1": ([0, 1, 2, 3], [4], True),
            "one is heard by nobody": ([0], [1, 2, 3, 4], False),
            "one hears nobody": ([1, 2, 3, 4], [0], False),
        }
        for cut, (some, others, both) in cuts.items():
            durations_ms = []
            for _ in range(HEALS):
                made.hub.cut([f"r{x}" for x in some], [f"r{x}" for x in others], both)
                larger = max(some, others, key=len)
                made.wait_agreed([made[x] for x in larger], 30.0)
                made.record.pause(2.0)  # until the smaller side has settled too, or learned of its removal
                healed_ms = made.record.now()
                made.hub.heal()
                made.wait_agreed(seconds=30.0)
                made.record.pause(2.0)
                assert made.agreed(made.routers)
                durations_ms.append(
                    max(
                        (x.ms for x in made.record.events_of("changed", since_ms=healed_ms)),
                        default=healed_ms,
                    )
                    - healed_ms
                )
            rows.append({"cut": cut, **summary(durations_ms)})
    return rows


def resident_mb(process: int) -> float:
    """Returns the resident memory of a process in MB; raises ValueError if it has none."""
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024.0
    raise ValueError("the process has no resident memory")


def memory_without_members_mb(folder: Path) -> float:
    """Returns the resident memory of a router without membership, once it follows the change log."""
    log = FakeChangeLog()
    program = Program(folder, [], log)
    try:
        log.subscriptions.get(timeout=10.0)
        return resident_mb(program.process.pid)
    finally:
        program.terminate()
        log.stop()


def cost_without_members(seconds: float = 20.0) -> Rows:
    """Measures the processor time of a router without membership, as the baseline of the other rows."""
    with tempfile.TemporaryDirectory() as name:
        log = FakeChangeLog()
        program = Program(Path(name), [], log)
        log.subscriptions.get(timeout=10.0)
        before = cpu_time_s(program.process.pid)
        threading.Event().wait(seconds)
        used = (cpu_time_s(program.process.pid) - before) / seconds
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
    """Measures the traffic, processor time and memory of idle members, by their number."""
    rows = cost_without_members(seconds)
    for count in (3, 16):
        with tempfile.TemporaryDirectory() as name:
            without = memory_without_members_mb(Path(name))
        with tempfile.TemporaryDirectory() as name, running_rig(Path(name), count) as made:
            made.record.pause(10.0)
            processes = [x.process.pid for x in made.routers if x.process is not None]
            before = sum(map(cpu_time_s, processes)), made.hub.counts["passed"], made.hub.counts["bytes"]
            made.record.pause(seconds)
            after = sum(map(cpu_time_s, processes)), made.hub.counts["passed"], made.hub.counts["bytes"]
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
        messages, size, span, started = world.net.messages, world.net.bytes, 10.0, time.process_time()
        world.net.run(span * 1000.0)
        rows.append(
            {
                "members": f"{count} (virtual)",
                "datagrams a second": (world.net.messages - messages) / count / span,
                "bytes a second": (world.net.bytes - size) / count / span,
                "processor": f"{(time.process_time() - started) / count / span:.2%} (core alone)",
                "memory MB": "",
            }
        )
    return rows


def run_closed_loop(
    address: tuple[str, int], process: int, seconds: float, connections: int = 6
) -> tuple[int, float, list[float]]:
    """Runs viewers in a closed loop, each with a connection of its own.

    Returns the number of set-ups, the router's processor time for them in seconds, and the ms of each.
    """
    durations_ms: list[float] = []
    until, before = time.monotonic() + seconds, cpu_time_s(process)

    def viewer(at: int) -> None:
        wire, count = RtspConnection(socket.create_connection(address, 10.0)), 0
        while time.monotonic() < until:
            count += 1
            started = time.monotonic()
            session = send_set_up(wire, at << 32 | count)
            served = read_answer(wire).status == 200
            durations_ms.append((time.monotonic() - started) * 1000.0)
            assert served
            wire.send("TEARDOWN rtsp://media/x RTSP/1.0", session, 2)
            read_answer(wire)
        wire.close()

    threads = [threading.Thread(target=viewer, args=(at,)) for at in range(connections)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return len(durations_ms), cpu_time_s(process) - before, durations_ms


PAIRS, TURNS, TURN_S, MAX_PARALLEL_PAIRS = 12, 4, 1.0, 2


def measure_pair(kind: str, at: int) -> list[tuple[float, float, float]]:
    """Returns set-ups a second, set-ups a second of processor time and p99 of a router and of a second one.

    The first router has no membership.  The second is one of five members, or another one without membership,
    which shows how much equal processes differ.  They take turns in the order ABBA, so that other load on the
    machine affects both alike.
    """
    server_groups = [
        [StatelessMediaServer(f"{letter}-{at:04x}{n:04x}", n) for n in range(2)] for letter in "st"
    ]
    with (
        tempfile.TemporaryDirectory() as name,
        ExitStack() as stack,
        ProcessPoolExecutor(1, mp_context=get_context("spawn")) as viewers,
    ):
        routers: list[tuple[tuple[str, int], int]] = []
        for which, servers in enumerate(server_groups):
            if which and kind == "with members":
                made = stack.enter_context(
                    running_rig(
                        Path(name),
                        5,
                        servers=servers,
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
            program = Program(folder, list(servers), log, program=OPTIMIZED, fleetSize=1)
            stack.callback(log.stop)
            stack.callback(program.terminate)
            routers.append((("127.0.0.1", program.port), program.process.pid))
        results: list[list[tuple[int, float, list[float]]]] = [[], []]
        for which in (0, 1):
            viewers.submit(run_closed_loop, *routers[which], 0.5).result()  # until both are warm
        for turn in range(TURNS):
            for which in ((0, 1), (1, 0))[turn % 2]:
                results[which].append(viewers.submit(run_closed_loop, *routers[which], TURN_S).result())
        for servers in server_groups:
            for server in servers:
                server.stop()
    return [
        (
            sum(x[0] for x in runs) / TURNS / TURN_S,
            sum(x[0] for x in runs) / sum(x[1] for x in runs),
            percentile([y for x in runs for y in x[2]], 0.99),
        )
        for runs in results
    ]


def setups(pairs: int = PAIRS) -> Rows:
    """Compares pairs of fresh processes: even equal processes differ, by their memory layout."""
    tasks = [(kind, at) for at in range(pairs) for kind in ("with members", "without")]
    with ProcessPoolExecutor(MAX_PARALLEL_PAIRS, mp_context=get_context("spawn")) as pool:
        results = list(pool.map(measure_pair, *zip(*tasks, strict=True)))
    rows: Rows = []
    rng = random.Random(5)
    for kind in ("without", "with members"):
        measured = [result for (which, _), result in zip(tasks, results, strict=True) if which == kind]
        for at, what in enumerate(("set-ups a second", "set-ups a second of its processor", "p99 ms")):
            ratios = [100.0 * (other[at] / alone[at] - 1.0) for alone, other in measured]
            means = sorted(sum(rng.choices(ratios, k=len(ratios))) / len(ratios) for _ in range(2000))
            rows.append(
                {
                    "the rival": kind,
                    "what": what,
                    "pairs": len(ratios),
                    "alone": sum(x[0][at] for x in measured) / len(measured),
                    "difference %": f"{sum(ratios) / len(ratios):+.2f}",
                    "95% of it lies in": f"{means[50]:+.2f} to {means[1949]:+.2f}",
                    "least and most of a pair": f"{min(ratios):+.1f} to {max(ratios):+.1f}",
                }
            )
    return rows


def soak(minutes: float) -> Rows:
    """Counts false removals among 16 processes: 20% loss, random pauses of up to 2 s, all cores busy."""
    with tempfile.TemporaryDirectory() as name, running_rig(Path(name), MEMBERS, program=OPTIMIZED) as made:
        made.hub.change_default(loss=0.2)
        made.start_busy_loops(len(os.sched_getaffinity(0)))
        start_ms = made.record.now()
        schedule.run_schedule(
            made, schedule.random_pauses(11, MEMBERS, minutes * 60.0, every_s=1.0, max_s=2.0)
        )
        made.stop_busy_loops()
        made.wait_agreed(made.routers, 30.0)
        changes: Counter[str] = Counter(
            x.details["to"] for x in made.record.events_of("changed", since_ms=start_ms)
        )
        pauses = sum(x.details.get("signal") == "SIGSTOP" for x in made.record.events_of("fault"))
        counters = [x.status()["members"]["counters"] for x in made.routers]
        return [
            {
                "minutes": round((made.record.now() - start_ms) / 60_000.0, 1),
                "processes": MEMBERS,
                "pauses made": pauses,
                "away seen": sum(x["pauses"] for x in counters),
                "suspected": changes["suspect"],
                "removed": changes["dead"],
                "returned": changes["returned"],
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
    """Runs the parts that the command line names, and writes all tables."""
    path = RESULTS / "members.json"
    results: dict[str, Rows] = json.loads(path.read_text()) if path.exists() else {}
    arguments = sys.argv[1:]
    minutes = next((float(x) for x in arguments if x.replace(".", "").isdigit()), 30.0)
    for part in [x for x in arguments if x in PARTS] or list(PARTS):
        call = PARTS[part][1]
        results[part] = call(minutes) if part == "soak" else call()
        print(part, results[part], flush=True)
        path.write_text(json.dumps(results, indent=1) + "\n")
    write_results(
        "members",
        "Membership",
        [(PARTS[x][0], results[x]) for x in PARTS if x in results],
        "python -m benchmarks.members",
    )


if __name__ == "__main__":
    main()
