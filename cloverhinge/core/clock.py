"""The only clock of the process: Unix time in milliseconds, as a floating-point number."""

from __future__ import annotations

import time


class Clock:
    """The Unix time of the start plus the monotonic time that has passed since.

    A step of the system clock therefore does not move the pending deadlines.
    """

    def __init__(self) -> None:
        self._offset = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Unix time in milliseconds; never goes back."""
        return self._offset + time.monotonic() * 1000.0


class ManualClock(Clock):
    """A clock for tests, which moves only when `advance` is called."""

    def __init__(self, now: float = 1_000_000.0) -> None:
        self.time = now

    def now(self) -> float:
        """The time to which the clock was last moved."""
        return self.time

    def advance(self, ms: float) -> None:
        """Move the clock forward."""
        self.time += ms


def to_us(ms: float) -> int:
    """Milliseconds to whole microseconds, the unit of the decision module; only calls into it convert."""
    return round(ms * 1000.0)


def to_ms(us: int) -> float:
    """Microseconds of the decision module to milliseconds."""
    return us / 1000.0
