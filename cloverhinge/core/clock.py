"""The program's one clock: Unix time in milliseconds, as a floating-point number."""

from __future__ import annotations

import time


class Clock:
    """Follows the system: the Unix time of the start plus what the monotonic clock has counted since.

    Guards against a stepped system clock, which would move every deadline that is out.
    """

    def __init__(self) -> None:
        self._offset = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        return self._offset + time.monotonic() * 1000.0


class ManualClock(Clock):
    """Stands still until a test sets it."""

    def __init__(self, now: float = 1_000_000.0) -> None:
        self.time = now

    def now(self) -> float:
        return self.time

    def advance(self, ms: float) -> None:
        self.time += ms


def to_us(ms: float) -> int:
    """The module counts whole microseconds; only calls into it and out of it convert."""
    return round(ms * 1000.0)


def to_ms(us: int) -> float:
    return us / 1000.0
