"""Tests that are known to fail because of an unfixed fault, as listed in KNOWN-RED.txt.

    python -m tests.known_red

checks that the listed tests exist and prints the list.  A line has the form `test | cause | issue`.  A listed
test is still run: CI tolerates its failure, and fails once the test passes.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LIST_PATH = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3  # limit set by the operators; a longer list fails CI


class InvalidListError(Exception):
    """The list is malformed; the message is one sentence that says how."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test, by its pytest id, with the cause of its failure and the number of the issue."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Parses a list; empty lines and lines that begin with `#` are skipped.

    Raises InvalidListError if a line is malformed, a test is listed twice or the list is too long.
    """
    found = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise InvalidListError(f"{line!r} does not have the form `test | cause | issue`")
        found.append(KnownRed(*parts))
    if len(found) > MAX_KNOWN_RED:
        raise InvalidListError(f"{len(found)} tests are listed; at most {MAX_KNOWN_RED} are allowed")
    if len({entry.test for entry in found}) < len(found):
        raise InvalidListError("a test is listed twice")
    return found


def read_list(path: Path = LIST_PATH) -> list[KnownRed]:
    """Reads the list from a file; it is empty if the file does not exist."""
    return parse(path.read_text()) if path.exists() else []


def missing_tests(known: Iterable[KnownRed], collected: Iterable[str]) -> list[str]:
    """Returns the listed tests that are not among the collected ones."""
    names = set(collected)
    return [entry.test for entry in known if entry.test not in names]


def mark(items: Iterable[pytest.Item], known: Iterable[KnownRed]) -> None:
    """Marks the listed tests as expected failures; such a test fails the run if it passes."""
    by_test = {entry.test: entry for entry in known}
    for item in items:
        if (entry := by_test.get(item.nodeid)) is not None:
            reason = f"{entry.cause} (issue {entry.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def collect() -> list[str]:
    """Returns the pytest ids of all tests."""
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "--collect-only", "-q", "-n", "0"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return [line for line in result.stdout.splitlines() if "::" in line]


def main() -> int:
    """Prints the list; exit status 1 if it is invalid."""
    try:
        known = read_list()
        if known and (unknown := missing_tests(known, collect())):
            raise InvalidListError(f"these listed tests do not exist: {', '.join(unknown)}")
    except InvalidListError as error:
        print(f"KNOWN-RED.txt: {error}")
        return 1
    print(f"known to fail: {len(known)}")
    for entry in known:
        print(f"  {entry.test}: {entry.cause} (issue {entry.issue})")
    return 0


if __name__ == "__main__":
    sys.exit(main())
