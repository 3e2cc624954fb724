"""Plays days of the operators' bench with many seeds and writes a table of the verdicts.

    python -m benchmarks.acceptance BENCH SITE [--days LIST] [--seeds LIST] [--side DIR]

BENCH is the operators' program and SITE the deployment to play.  A play that fails or ends without a verdict
gets a row like any other and does not stop the sweep.  Rows are written as plays end, so that an interrupted
sweep leaves what it has measured.  The repository has to be built first, as all plays share one build.
"""

from __future__ import annotations

import csv
import json
import os
import re
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import astuple, dataclass, fields
from pathlib import Path
from typing import Any

from docopt import docopt

DAYS = "roll+mass,split+mass,join+mass"
SEEDS = "1-10"
NODES = "30"
PLAY_LIMIT_S = 900.0  # a longer play is ended and recorded without a verdict
SIDE_FILES = ("real.json", "wire.json", "unlock.txt")
CORES_PER_PLAY = 2  # a play's processes run one at a time, next to the bench itself
RESTARTS = re.compile(r"restarts took \[([^]]*)\]")
CLASS_FLOOR = 2  # index of the floor in a row of `by_class`: name, served, floor


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of one play: `rules` lists the broken rules; shares are of the day's worth, times in s."""

    day: str
    seed: int
    nodes: int
    verdict: str
    rules: str
    fault: str
    score: float | None = None
    served: float | None = None
    floor: float | None = None
    lowest_class: str = ""
    slowest_ready_s: float | None = None
    snapshot: str = ""


def numbers(text: str) -> list[int]:
    """Parses a list of seeds such as `1-10` or `1,4,9`."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def lowest_class(day: dict[str, Any]) -> str:
    """Returns the class with the smallest margin above its floor, and the margin; "" without floors."""
    margins = [
        (row[1] - row[CLASS_FLOOR], row[0])
        for row in day.get("by_class") or ()
        if row[CLASS_FLOOR] is not None
    ]
    if not margins:
        return ""
    margin, name = min(margins)
    return f"{name} {margin:+.3f}"


def judge(day: dict[str, Any]) -> str:
    """Returns `passed`, or what failed: a fault, a rule, or a share below its floor."""
    if day.get("fault"):
        return "fault"
    if any((day.get("rules") or {}).values()):
        return "rule"
    served, floor = day.get("served"), day.get("served_least")
    if served is not None and floor is not None and served < floor:
        return "floor"
    if any(row[CLASS_FLOOR] is not None and row[1] < row[CLASS_FLOOR] for row in day.get("by_class") or ()):
        return "class floor"
    return "passed"


def read(kind: str, seed: int, nodes: int, report: Path, output: str) -> Verdict:
    """Reads the verdict of a play that has ended; without a report it is `no verdict`."""
    snapshot = output.rpartition("snapshot ")[2].strip()[:8]
    if not report.exists():
        last = output.strip().splitlines()[-1:] or [""]
        return Verdict(kind, seed, nodes, "no verdict", "", last[0][:200], snapshot=snapshot)
    day = json.loads(report.read_text())["row"]
    restarts = RESTARTS.search(output)
    times = [float(x) for x in restarts[1].split(",") if x.strip()] if restarts else []
    broken = " ".join(f"{name}:{count}" for name, count in (day.get("rules") or {}).items() if count)
    return Verdict(
        kind,
        seed,
        nodes,
        judge(day),
        broken,
        str(day.get("fault") or ""),
        day.get("score"),
        day.get("served"),
        day.get("served_least"),
        lowest_class(day),
        max(times, default=None),
        snapshot,
    )


def play(bench: str, site: str, kind: str, seed: int, nodes: int, logs: Path | None) -> Verdict:
    """Plays one day with the existing build; `logs` is the folder for its output, if wanted."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [
            bench,
            site,
            "--rough",
            kind,
            "--seed",
            str(seed),
            "--nodes",
            str(nodes),
            "--no-build",
            "--json",
            str(report),
        ]
        if logs is not None:
            command += ["--logs", str(logs / f"{kind}-{seed}")]
        try:
            result = subprocess.run(
                command, capture_output=True, text=True, timeout=PLAY_LIMIT_S, check=False
            )
        except subprocess.TimeoutExpired:
            return Verdict(kind, seed, nodes, "no verdict", "", f"over {PLAY_LIMIT_S:.0f} s")
        if logs is not None:
            (logs / f"{kind}-{seed}.txt").write_text(result.stdout + result.stderr)
        return read(kind, seed, nodes, report, result.stdout + result.stderr)


def copy_side_files(site: Path, side: Path) -> None:
    """Copies the files with the bench's names on the wire next to a site file, where they are missing."""
    for name in SIDE_FILES:
        if not (site.parent / name).exists():
            (site.parent / name).write_bytes((side / name).read_bytes())


def sweep(
    bench: str, site: str, plays: list[tuple[str, int]], nodes: int, jobs: int, logs: Path | None
) -> Iterator[Verdict]:
    """Runs the plays, `jobs` at a time, and yields each verdict as its play ends."""
    with ThreadPoolExecutor(jobs) as pool:
        running = [pool.submit(play, bench, site, kind, seed, nodes, logs) for kind, seed in plays]
        for future in as_completed(running):
            yield future.result()


USAGE = f"""Usage: acceptance BENCH SITE [options]

Options:
  --days LIST    kinds of days, with commas between them [default: {DAYS}]
  --seeds LIST   as in 1-10 or 1,4,9 [default: {SEEDS}]
  --nodes N      routers in each play [default: {NODES}]
  --jobs N       plays at once; by default half as many as there are cores
  --side DIR     put the files there that the bench wants beside SITE, where they are missing
  --logs DIR     keep each play's output and logs there
  --out FILE     the table, as CSV [default: docs/results/acceptance-plays.csv]
"""


def main() -> int:
    """Runs the sweep; exit status 1 if a play failed or had no verdict."""
    options = docopt(USAGE)
    plays = [(kind, seed) for kind in options["--days"].split(",") for seed in numbers(options["--seeds"])]
    if options["--side"]:
        copy_side_files(Path(options["SITE"]), Path(options["--side"]))
    jobs = int(options["--jobs"] or max(1, (os.cpu_count() or 1) // CORES_PER_PLAY))
    logs = Path(options["--logs"]) if options["--logs"] else None
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
    failed = 0
    with Path(options["--out"]).open("w", newline="") as file:
        table = csv.writer(file)
        table.writerow(field.name for field in fields(Verdict))
        for verdict in sweep(options["BENCH"], options["SITE"], plays, int(options["--nodes"]), jobs, logs):
            failed += verdict.verdict != "passed"
            table.writerow(astuple(verdict))
            file.flush()
            print(*astuple(verdict), sep="  ", flush=True)
    print(f"{len(plays)} plays, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
