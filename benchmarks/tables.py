"""Results as a table, kept twice: CSV for programs, Markdown for people."""

from __future__ import annotations

import csv
from pathlib import Path

RESULTS = Path(__file__).parent.parent / "docs/results"


def format_value(value: object) -> str:
    return (
        f"{value:.3g}"
        if isinstance(value, float) and abs(value) < 100
        else (f"{value:.0f}" if isinstance(value, float) else str(value))
    )


def markdown_table(rows: list[dict[str, object]]) -> str:
    heads = list(rows[0])
    lines = [heads, ["---"] * len(heads), *([format_value(row[x]) for x in heads] for row in rows)]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def write_results(
    name: str, title: str, sections: list[tuple[str, list[dict[str, object]]]], command: str
) -> None:
    """Writes NAME.md, and NAME-N.csv for the N-th section."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    parts = [f"# {title}\n", f"Made by `{command}`; run it again for figures of another machine.\n"]
    for at, (about, rows) in enumerate(sections, 1):
        parts += [f"{about}\n", markdown_table(rows)]
        with (RESULTS / f"{name}-{at}.csv").open("w", newline="") as file:
            writer = csv.DictWriter(file, list(rows[0]))
            writer.writeheader()
            writer.writerows(rows)
    text = "\n".join(parts)
    (RESULTS / f"{name}.md").write_text(text)
    print(text)
