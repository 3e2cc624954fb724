"""The standing test's days side by side, from two of its runs in the journal.

    python -m benchmarks.fleet_days BEFORE AFTER

The ids are those of full runs of the bench, which play the same days from the same seeds.  What the
journal does not hold (prices by kind, worth by five seconds) is in the report of a single day.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from benchmarks.tables import write_results

JOURNAL = Path(__file__).parent.parent / "journal"


def days(name: str) -> dict[str, dict[str, Any]]:
    found = list(JOURNAL.glob(f"*-{name}.json"))
    if len(found) != 1:
        raise SystemExit(f"fleet_days: the journal holds no run {name}")
    return {day["name"]: day for day in json.loads(found[0].read_text())["days"]}


def change(before: Any, after: Any, digits: int = 3) -> str:
    return f"{before:.{digits}f} -> {after:.{digits}f}"


def signature_change(was: dict[str, Any], now: dict[str, Any], name: str, digits: int = 3) -> str:
    """A figure of what the bench sees from outside, which tells some on some days only."""
    one, two = was["signature"].get(name), now["signature"].get(name)
    return change(one, two, digits) if one is not None and two is not None else "-"


def main(before: str, after: str) -> None:
    old, new = days(before), days(after)
    scores: list[dict[str, object]] = []
    causes: list[dict[str, object]] = []
    for name, was in old.items():
        now = new[name]
        if was["seed"] != now["seed"]:
            raise SystemExit(f"fleet_days: the runs played {name} from two seeds")
        scores.append(
            {
                "day": name,
                "routers": now["nodes"],
                "boxes": now["servers"],
                "G": change(was["G"], now["G"]),
                "floor": f"{now['G_floor']:.3f}",
                "top": f"{now['G_top']:.3f}",
                "served": change(was["served"], now["served"]),
                "gate": f"{now['served_least']:.3f}",
                "seen late": f"{now['served_late']:.3f}",
                "score": change(was["score"], now["score"], 2),
                "MB": now["memory_mb"],
                "troubles": ", ".join(now["troubles"]),
            }
        )
        causes.append(
            {
                "day": name,
                "refused": signature_change(was, now, "refused_share"),
                "of them at once": signature_change(was, now, "refused_early_share"),
                "attempts a try": signature_change(was, now, "attempts_per_try"),
                "questions a try": signature_change(was, now, "probes_per_try"),
                "boxes connected to": signature_change(was, now, "connections_per_instance", 1),
                "boxes short": signature_change(was, now, "servers_short"),
                "raises a minute": signature_change(was, now, "steps_up_a_minute"),
                "steps down a minute": signature_change(was, now, "steps_down_a_minute"),
                "served by class": "; ".join(
                    f"{a[0]} {a[1]:.2f} -> {b[1]:.2f}"
                    for a, b in zip(was["by_class"], now["by_class"], strict=True)
                ),
            }
        )
    write_results(
        "fleet-days",
        "The whole fleet's days",
        [
            (
                "The days as scored, before -> after, one play each from the "
                "same seeds.  `served` is the share of "
                "the day's worth before prices, `gate` what the standing "
                "test wants, `seen late` what a policy "
                "serves that sees the true state late.",
                scores,
            ),
            ("What became of the requests, as the bench counts it from outside.", causes),
        ],
        f"python -m benchmarks.fleet_days {before} {after}",
    )


if __name__ == "__main__":
    if len(sys.argv) != 3:
        raise SystemExit(__doc__)
    main(sys.argv[1], sys.argv[2])
