"""What must hold: asserted in debug builds, counted in release builds (`python -O`)."""

from __future__ import annotations

from collections import Counter

violations: Counter[str] = Counter()


def check_invariant(condition: bool, name: str) -> bool:
    """Tell whether a condition holds; callers take their safe way out where it does not."""
    if not condition:
        violations[name] += 1
    assert condition, name
    return condition
