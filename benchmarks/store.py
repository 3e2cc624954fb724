"""The store measured: all routers killed and started together, what a paid set-up waits, and the disk alone.

python -m benchmarks.store
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from benchmarks.custody import final, paced
from benchmarks.members import OPTIMIZED, Rows, share
from benchmarks.tables import keep
from cloverhinge.lab import viewers
from cloverhinge.lab.harness import StatelessMediaServer
from cloverhinge.lab.media import set_ups_by_title
from cloverhinge.lab.rig import Rig, running_rig
from cloverhinge.lab.viewers import wait_replica_set
from cloverhinge.store.folder import Folder

ROUTERS, PLAYS, ROUNDS = 5, 40, 3


def restarted(made: Rig, plays: range) -> dict[str, float]:
    """All are killed and started; ms from the last start until all vote, and until each play is answered."""
    for router in made.routers:
        router.kill()
    for router in made.routers:
        router.start()
    begun = made.record.now()
    for router in made.routers:
        router.wait_started()
    wait_replica_set(made, 30.0)
    voted = made.record.now() - begun
    told = [final(made, made[(number + 1) % ROUTERS], number) for number in plays]
    return {"votes": voted, "answered": made.record.now() - begun, "200": told.count(200)}


def returns(stores: bool) -> dict[str, object]:
    rows = []
    with (
        tempfile.TemporaryDirectory() as name,
        viewers.replicating_rig(
            Path(name), ROUTERS, ROUNDS * PLAYS, 600.0, stores=stores, program=OPTIMIZED
        ) as made,
    ):
        for at in range(ROUNDS):
            plays = range(at * PLAYS, (at + 1) * PLAYS)
            before = [final(made, made[number % ROUTERS], number) for number in plays]
            assert before.count(200) == PLAYS, (before, made.record.tail())
            rows.append(restarted(made, plays))
            for box in made.recording_servers:  # room for the next round's
                for session in list(box.sessions):
                    box.end_session(session)
        twice = sum(x > 1 for x in set_ups_by_title(made.record).values())
    return {
        "stores": "on" if stores else "off",
        "restarts of all five": ROUNDS,
        "paid plays": ROUNDS * PLAYS,
        "answered 200 after": int(sum(x["200"] for x in rows)),
        "set up twice": twice,
        "all vote after ms, most": max(x["votes"] for x in rows),
        "all answered after ms, most": max(x["answered"] for x in rows),
    }


def spread(values: list[float]) -> dict[str, object]:
    return {
        "n": len(values),
        "p50 ms": share(values, 0.5),
        "p99 ms": share(values, 0.99),
        "most ms": max(values),
    }


def waits(stores: bool, count: int = 400) -> dict[str, object]:
    boxes = [StatelessMediaServer(f"s-{n:08x}", n) for n in range(2)]
    tables = "[custody]\nrouters = 5\n" + ('[store]\nfolder = "{folder}/store"\n' if stores else "")
    with (
        tempfile.TemporaryDirectory() as name,
        running_rig(
            Path(name),
            ROUTERS,
            servers=boxes,
            uses_server_proxies=False,
            program=OPTIMIZED,
            site_tables=tables,
        ) as made,
    ):
        wait_replica_set(made)
        took = paced(made, made[0], "paid", 1, count)
    return {"stores": "on" if stores else "off", **spread(took)}


def commits() -> Rows:
    """Of the disk under the temporary folder, synced."""
    rows: Rows = []
    with tempfile.TemporaryDirectory() as name:
        folder = Folder(Path(name), "r0")
        folder.open()
        for size in (1, 10, 100, 1000):
            took = []
            for at in range(60):
                begun = time.monotonic()
                folder.commit({f"s/{at * size + n}": b"x" * 500 for n in range(size)})
                took.append(1000.0 * (time.monotonic() - begun))
            rows.append({"rows in a commit": size, **spread(took)})
        for at in range(0, 65_536, 4096):
            folder.commit({f"s/{n}": b"x" * 500 for n in range(at, at + 4096)})
        count = folder.row_count
        folder.close()
        begun = time.monotonic()
        folder.open()
        rows.append(
            {"rows in a commit": f"opened with {count}", **spread([1000.0 * (time.monotonic() - begun)])}
        )
        folder.close()
    return rows


def main() -> None:
    keep(
        "store",
        "The store",
        [
            (
                f"{ROUTERS} routers with {PLAYS} paid plays told, all killed "
                f"and started together, then each play "
                "fetched at another router.",
                [returns(False), returns(True)],
            ),
            ("Paid set-ups over RTSP one after the other: ms until the answer.", [waits(False), waits(True)]),
            ("The folder alone: ms for a commit, and for opening a full one.", commits()),
        ],
        "python -m benchmarks.store",
    )


if __name__ == "__main__":
    main()
