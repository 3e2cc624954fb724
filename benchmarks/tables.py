"""Writes results as tables, both as CSV for programs and as Markdown for readers."""

from __future__ import annotations

import csv
from pathlib import Path

RESULTS = Path(__file__).parent.parent / "docs/results"


def format_value(value: object) -> str:
    """Formats a cell: a float has three significant digits below 100 and no fraction from there on."""
    return (
        f"{value:.3g}"
        if isinstance(value, float) and abs(value) < 100
        else (f"{value:.0f}" if isinstance(value, float) else str(value))
    )


def markdown_table(rows: list[dict[str, object]]) -> str:
    """Formats rows as a Markdown table; the keys of the first row are its columns."""
    columns = list(rows[0])
    lines = [columns, ["---"] * len(columns), *([format_value(row[x]) for x in columns] for row in rows)]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def write_results(
    name: str, title: str, sections: list[tuple[str, list[dict[str, object]]]], command: str
) -> None:
    """Writes NAME.md with all sections and NAME-N.csv for the N-th one (from 1), and prints the Markdown.

    A section is a line of text and its rows; `command` is the command that reproduces the results.
    """
    RESULTS.mkdir(parents=True, exist_ok=True)
    parts = [f"# {title}\n", f"Made by `{command}`; run it again for figures of another machine.\n"]
    for number, (description, rows) in enumerate(sections, 1):
        parts += [f"{description}\n", markdown_table(rows)]
        with (RESULTS / f"{name}-{number}.csv").open("w", newline="") as file:
            writer = csv.DictWriter(file, list(rows[0]))
            writer.writeheader()
            writer.writerows(rows)
    text = "\n".join(parts)
    (RESULTS / f"{name}.md").write_text(text)
    print(text)
