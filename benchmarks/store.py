"""Measures the store: restarts of all routers at once, the delay of a paid set-up, and the disk by itself.

python -m benchmarks.store
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from benchmarks.custody import final_status, sequential_set_ups
from benchmarks.members import OPTIMIZED, Rows, percentile
from benchmarks.tables import write_results
from cloverhinge.lab import viewers
from cloverhinge.lab.harness import Quick
from cloverhinge.lab.media import set_ups
from cloverhinge.lab.rig import Rig, rig
from cloverhinge.lab.viewers import until_rostered
from cloverhinge.store.folder import Folder

ROUTERS, PLAYS, ROUNDS = 5, 40, 3


def restart_all(made: Rig, plays: range) -> dict[str, float]:
    """Kills and starts all routers; returns the ms from the last start until all vote, and until each play is
    answered, and how many plays were answered with 200.
    """
    for router in made.routers:
        router.kill()
    for router in made.routers:
        router.start()
    started_ms = made.record.now()
    for router in made.routers:
        router.until_started()
    until_rostered(made, 30.0)
    voted_ms = made.record.now() - started_ms
    statuses = [final_status(made, made[(number + 1) % ROUTERS], number) for number in plays]
    return {"votes": voted_ms, "answered": made.record.now() - started_ms, "200": statuses.count(200)}


def measure_restarts(stores: bool) -> dict[str, object]:
    """Returns a row on several restarts of all routers, with stores or without."""
    rows = []
    with (
        tempfile.TemporaryDirectory() as name,
        viewers.keeping(Path(name), ROUTERS, ROUNDS * PLAYS, 600.0, stores=stores, program=OPTIMIZED) as made,
    ):
        for at in range(ROUNDS):
            plays = range(at * PLAYS, (at + 1) * PLAYS)
            before = [final_status(made, made[number % ROUTERS], number) for number in plays]
            assert before.count(200) == PLAYS, (before, made.record.tail())
            rows.append(restart_all(made, plays))
            for server in made.boxes:  # frees capacity for the next round
                for session in list(server.sessions):
                    server.end(session)
        twice = sum(x > 1 for x in set_ups(made.record).values())
    return {
        "stores": "on" if stores else "off",
        "restarts of all five": ROUNDS,
        "paid plays": ROUNDS * PLAYS,
        "answered 200 after": int(sum(x["200"] for x in rows)),
        "set up twice": twice,
        "all vote after ms, most": max(x["votes"] for x in rows),
        "all answered after ms, most": max(x["answered"] for x in rows),
    }


def summary(values: list[float]) -> dict[str, object]:
    """Returns the count, percentiles and maximum of times in ms."""
    return {
        "n": len(values),
        "p50 ms": percentile(values, 0.5),
        "p99 ms": percentile(values, 0.99),
        "most ms": max(values),
    }


def measure_waits(stores: bool, count: int = 400) -> dict[str, object]:
    """Returns a row on the delay of paid set-ups, with a store or without."""
    servers = [Quick(f"s-{n:08x}", n) for n in range(2)]
    tables = "[custody]\nrouters = 5\n" + ('[store]\nfolder = "{folder}/store"\n' if stores else "")
    with (
        tempfile.TemporaryDirectory() as name,
        rig(Path(name), ROUTERS, pumps=servers, gated=False, program=OPTIMIZED, tables=tables) as made,
    ):
        until_rostered(made)
        delays_ms = sequential_set_ups(made, made[0], "paid", 1, count)
    return {"stores": "on" if stores else "off", **summary(delays_ms)}


def commits() -> Rows:
    """Returns rows on synchronous commits to the disk that holds the temporary folder, and on opening it."""
    rows: Rows = []
    with tempfile.TemporaryDirectory() as name:
        folder = Folder(Path(name), "r0")
        folder.open()
        for size in (1, 10, 100, 1000):
            durations_ms = []
            for at in range(60):
                started = time.monotonic()
                folder.commit({f"s/{at * size + n}": b"x" * 500 for n in range(size)})
                durations_ms.append(1000.0 * (time.monotonic() - started))
            rows.append({"rows in a commit": size, **summary(durations_ms)})
        for at in range(0, 65_536, 4096):
            folder.commit({f"s/{n}": b"x" * 500 for n in range(at, at + 4096)})
        count = folder.row_count
        folder.close()
        started = time.monotonic()
        folder.open()
        rows.append(
            {"rows in a commit": f"opened with {count}", **summary([1000.0 * (time.monotonic() - started)])}
        )
        folder.close()
    return rows


def main() -> None:
    """Writes all tables."""
    write_results(
        "store",
        "The store",
        [
            (
                f"{ROUTERS} routers with {PLAYS} paid plays that were answered, all killed "
                f"and started together; then each play is "
                "fetched at another router.",
                [measure_restarts(False), measure_restarts(True)],
            ),
            (
                "Sequential paid set-ups over RTSP: ms until the answer.",
                [measure_waits(False), measure_waits(True)],
            ),
            ("The folder by itself: ms for a commit, and for opening a full one.", commits()),
        ],
        "python -m benchmarks.store",
    )


if __name__ == "__main__":
    main()
