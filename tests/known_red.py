"""Tests that are known to fail for a real fault which has not been mended yet, as KNOWN-RED.txt lists them.

    python -m tests.known_red

checks the list against the tests that exist and prints it.  A line names the test, the cause and the issue,
with `|` between them.  A listed test is run; CI passes over its failure alone, and fails once it passes.
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
MAX_KNOWN_RED = 3  # the operators' limit; a fourth fails CI


class InvalidListError(Exception):
    """One sentence on what is wrong with the list."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test by its pytest id, and why it fails."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """The lines of a list; empty ones and those that begin with `#` are passed over."""
    found = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise InvalidListError(f"{line!r} is not of the form test | cause | issue")
        found.append(KnownRed(*parts))
    if len(found) > MAX_KNOWN_RED:
        raise InvalidListError(f"{len(found)} tests are listed, and {MAX_KNOWN_RED} are the most")
    if len({one.test for one in found}) < len(found):
        raise InvalidListError("a test is listed twice")
    return found


def read_list(path: Path = LIST_PATH) -> list[KnownRed]:
    """The list at a path; none where there is no file."""
    return parse(path.read_text()) if path.exists() else []


def missing_tests(known: Iterable[KnownRed], collected: Iterable[str]) -> list[str]:
    """Listed tests that do not exist."""
    names = set(collected)
    return [one.test for one in known if one.test not in names]


def mark(items: Iterable[pytest.Item], known: Iterable[KnownRed]) -> None:
    """A listed test may fail, and fails where it passes."""
    by_test = {one.test: one for one in known}
    for item in items:
        if (one := by_test.get(item.nodeid)) is not None:
            reason = f"{one.cause} (issue {one.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def collect() -> list[str]:
    """The ids of all tests that exist."""
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "--collect-only", "-q", "-n", "0"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return [line for line in done.stdout.splitlines() if "::" in line]


def main() -> int:
    """Exit status 1 where the list is wrong."""
    try:
        known = read_list()
        if known and (gone := missing_tests(known, collect())):
            raise InvalidListError(f"these listed tests do not exist: {', '.join(gone)}")
    except InvalidListError as error:
        print(f"KNOWN-RED.txt: {error}")
        return 1
    print(f"known to fail: {len(known)}")
    for one in known:
        print(f"  {one.test}: {one.cause} (issue {one.issue})")
    return 0


if __name__ == "__main__":
    sys.exit(main())
