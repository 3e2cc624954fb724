"""Compares the days of two runs of the standing test that the journal holds.

    python -m benchmarks.fleet_days BEFORE AFTER

BEFORE and AFTER are ids of full runs of the bench, which play the same days from the same seeds.  Figures
that the journal does not hold (prices by kind, worth in steps of five seconds) are in the report of a single
day.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from benchmarks.tables import write_results

JOURNAL = Path(__file__).parent.parent / "journal"


def days(name: str) -> dict[str, dict[str, Any]]:
    """Returns the days of a run by name; raises SystemExit unless the journal has one run of that id."""
    found = list(JOURNAL.glob(f"*-{name}.json"))
    if len(found) != 1:
        raise SystemExit(f"fleet_days: the journal has no single run {name}")
    return {day["name"]: day for day in json.loads(found[0].read_text())["days"]}


def change(before: Any, after: Any, digits: int = 3) -> str:
    """Formats a figure of both runs."""
    return f"{before:.{digits}f} -> {after:.{digits}f}"


def signature_change(old: dict[str, Any], new: dict[str, Any], name: str, digits: int = 3) -> str:
    """Formats a figure that the bench measures from outside, or `-`: some exist only on some days."""
    before, after = old["signature"].get(name), new["signature"].get(name)
    return change(before, after, digits) if before is not None and after is not None else "-"


def main(before: str, after: str) -> None:
    """Writes the tables; raises SystemExit if the runs used different seeds for a day."""
    old_days, new_days = days(before), days(after)
    scores: list[dict[str, object]] = []
    causes: list[dict[str, object]] = []
    for name, old in old_days.items():
        new = new_days[name]
        if old["seed"] != new["seed"]:
            raise SystemExit(f"fleet_days: the runs played {name} with different seeds")
        scores.append(
            {
                "day": name,
                "routers": new["nodes"],
                "boxes": new["servers"],
                "G": change(old["G"], new["G"]),
                "floor": f"{new['G_floor']:.3f}",
                "top": f"{new['G_top']:.3f}",
                "served": change(old["served"], new["served"]),
                "gate": f"{new['served_least']:.3f}",
                "seen late": f"{new['served_late']:.3f}",
                "score": change(old["score"], new["score"], 2),
                "MB": new["memory_mb"],
                "troubles": ", ".join(new["troubles"]),
            }
        )
        causes.append(
            {
                "day": name,
                "refused": signature_change(old, new, "refused_share"),
                "of them at once": signature_change(old, new, "refused_early_share"),
                "attempts a try": signature_change(old, new, "attempts_per_try"),
                "questions a try": signature_change(old, new, "probes_per_try"),
                "boxes connected to": signature_change(old, new, "connections_per_instance", 1),
                "boxes short": signature_change(old, new, "servers_short"),
                "raises a minute": signature_change(old, new, "steps_up_a_minute"),
                "steps down a minute": signature_change(old, new, "steps_down_a_minute"),
                "served by class": "; ".join(
                    f"{a[0]} {a[1]:.2f} -> {b[1]:.2f}"
                    for a, b in zip(old["by_class"], new["by_class"], strict=True)
                ),
            }
        )
    write_results(
        "fleet-days",
        "The whole fleet's days",
        [
            (
                "Scores of the days, before -> after, one play each with the "
                "same seeds.  `served` is the share of "
                "the day's worth before prices, `gate` the share that the standing "
                "test requires, `seen late` the share of a policy "
                "that sees the true state with a delay.",
                scores,
            ),
            ("Outcomes of the requests, as the bench counts them from outside.", causes),
        ],
        f"python -m benchmarks.fleet_days {before} {after}",
    )


if __name__ == "__main__":
    if len(sys.argv) != 3:
        raise SystemExit(__doc__)
    main(sys.argv[1], sys.argv[2])
