"""Plays seeded trials of real router processes under faults and checks every rule from the outside.

Run it by `python -m cloverhinge.lab.soak`.

Usage:
  soak --seeds RANGE [--processes N] [--minutes M] [--only FAULTS] [--csv FILE]
  soak (-h | --help)

Options:
  --seeds RANGE     The seeds to play, first and last, as in 1-50.
  --processes N     Trials that are played at the same time.  [default: 2]
  --minutes M       Begin no further trial after this time.  [default: 60]
  --only FAULTS     Play exactly these families of faults, separated by commas: shutdown, kill, servers,
                    answers, network, replace, discovery, clients, crowd, restart, bursts, figures.
  --csv FILE        Write the results as a table.
  -h --help         Show this text.

The exit status is 0 if no rule was broken, 1 if one was, and 2 for an invalid option.
"""

from __future__ import annotations

import asyncio
import re
import sys
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

from docopt import DocoptExit, docopt

from cloverhinge.lab.soak.report import Result, evaluate, line, write_csv
from cloverhinge.lab.soak.trial import ALL_FAULTS, draw_plan, play_trial

MAX_PROCESSES = 16
MAX_SEEDS = 10_000
SECONDS_PER_MINUTE = 60.0


class OptionError(ValueError):
    """An option of the command line is invalid; the text is one sentence."""


@dataclass(frozen=True, slots=True)
class Options:
    """The command line."""

    seeds: tuple[int, ...]
    processes: int
    minutes: float
    only: tuple[str, ...]
    csv: Path | None


def parse_options(arguments: Sequence[str]) -> Options:
    """Parse the command line.  Raises OptionError."""
    try:
        values = docopt(__doc__ or "", argv=list(arguments))
    except DocoptExit:
        given = " ".join(arguments) or "nothing"
        raise OptionError(f"{given!r} is no valid command line, --help shows what is") from None
    match = re.fullmatch(r"(\d{1,9})-(\d{1,9})", values["--seeds"])
    if match is None or int(match[1]) > int(match[2]):
        raise OptionError(f"--seeds: {values['--seeds']!r} is not a range of numbers such as 1-50")
    seeds = tuple(range(int(match[1]), int(match[2]) + 1))
    if len(seeds) > MAX_SEEDS:
        raise OptionError(f"--seeds: {len(seeds)} seeds are more than {MAX_SEEDS}")
    if (
        not re.fullmatch(r"\d{1,3}", values["--processes"])
        or not 1 <= int(values["--processes"]) <= MAX_PROCESSES
    ):
        raise OptionError(f"--processes: {values['--processes']!r} is not a number from 1 to {MAX_PROCESSES}")
    if not re.fullmatch(r"\d{1,4}(\.\d+)?", values["--minutes"]):
        raise OptionError(f"--minutes: {values['--minutes']!r} is not a number of minutes")
    only = tuple((values["--only"] or "").split(",")) if values["--only"] is not None else ()
    for fault in only:
        if fault not in ALL_FAULTS:
            raise OptionError(f"--only: {fault!r} is none of {', '.join(ALL_FAULTS)}")
    path = None if values["--csv"] is None else Path(values["--csv"])
    if path is not None and not path.parent.is_dir():
        raise OptionError(f"--csv: {path.parent} is not a folder")
    return Options(seeds, int(values["--processes"]), float(values["--minutes"]), only, path)


def play(seed: int, only: tuple[str, ...]) -> Result:
    """Play the trial of one seed."""
    plan = draw_plan(seed, only)
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        return evaluate(plan, asyncio.run(play_trial(plan, Path(folder))))


def play_all(options: Options) -> list[Result]:
    """Play all trials and print each result; seeds for which no time is left are not played."""
    results: list[Result] = []
    ends_s = time.monotonic() + options.minutes * SECONDS_PER_MINUTE
    seeds = iter(options.seeds)
    with ProcessPoolExecutor(options.processes) as pool:
        pending: set[Future[Result]] = set()
        for seed in seeds:
            pending.add(pool.submit(play, seed, options.only))
            if len(pending) < options.processes:
                continue
            done = next(as_completed(pending))
            pending.discard(done)
            results.append(_show(done.result()))
            if time.monotonic() > ends_s:
                break
        results += [_show(x.result()) for x in as_completed(pending)]
    return sorted(results, key=lambda x: x.seed)


def _show(result: Result) -> Result:
    print(line(result), flush=True)
    if result.text:
        print(result.text, flush=True)
    return result


def main(arguments: Sequence[str]) -> int:
    """Run the command; returns the exit status."""
    try:
        options = parse_options(arguments)
    except OptionError as error:
        print(error, file=sys.stderr)
        return 2
    results = play_all(options)
    failed = [x.seed for x in results if x.failure]
    print(f"{len(results)} trials, {len(failed)} with a broken rule: {', '.join(map(str, failed)) or 'none'}")
    if options.csv is not None:
        write_csv(results, options.csv)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
