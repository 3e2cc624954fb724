"""Invariants: asserted in debug builds, counted in release builds (`python -O`)."""

from __future__ import annotations

from collections import Counter

violations: Counter[str] = Counter()  # by invariant; the status shows them


def check_invariant(condition: bool, name: str) -> bool:
    """Return the condition, and count a violation under `name` if it is false.

    Callers then use a safe fallback.  Raises AssertionError in debug builds.
    """
    if not condition:
        violations[name] += 1
    assert condition, name
    return condition
