"""All deadlines of the process in one ordered structure, driven by a single timer of the reactor."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Protocol

from sortedcontainers import SortedDict

from cloverhinge.core.clock import Clock
from cloverhinge.core.containment import contained

DeadlineKey = tuple[float, int]
LATE_MS = (
    10.0  # a call that comes this much after its time shows that the process is overloaded or was paused
)


class Timer(Protocol):
    """A pending call of the reactor."""

    def cancel(self) -> Any:
        """Cancel the call."""
        ...


class Deadlines:
    """Calls functions at given times; those that are due at the same time, in the order of scheduling."""

    def __init__(
        self,
        clock: Clock,
        call_later: Callable[[float, Callable[[], None]], Timer] | None = None,
    ) -> None:
        """`call_later` takes seconds; without it, the caller (a test) has to call `run`."""
        self.clock = clock
        self._call_later = call_later
        self._due: SortedDict[DeadlineKey, Callable[[], None]] = SortedDict()
        self._count = 0
        self._timer: Timer | None = None
        self._timer_at = 0.0
        self._running = False
        self._late_ms = -math.inf  # when a call was late last

    def __len__(self) -> int:
        return len(self._due)

    def schedule(self, at_ms: float, call: Callable[[], None]) -> DeadlineKey:
        """Schedule a call at a Unix time in milliseconds; returns the key for `cancel`."""
        self._count += 1
        key = (at_ms, self._count)
        self._due[key] = call
        self._update_timer()
        return key

    def after(self, ms: float, call: Callable[[], None]) -> DeadlineKey:
        """Schedule a call after this many milliseconds; returns the key for `cancel`."""
        return self.schedule(self.clock.now() + ms, call)

    def repeat(self, ms: float, call: Callable[[], None]) -> None:
        """Call at once, and again every `ms` milliseconds, whatever a call raises."""

        def repeated() -> None:
            self.after(ms, repeated)
            call()

        repeated()

    def cancel(self, key: DeadlineKey | None) -> None:
        """Cancel a deadline; no effect for one that has passed, or for None."""
        if key is not None and self._due.pop(key, None) is not None:
            self._update_timer()

    def run(self) -> None:
        """Call everything that is due.  Deadlines that these calls schedule wait for the next run."""
        self._timer, self._running = None, True
        try:
            now = self.clock.now()
            if self._due and now - self._due.peekitem(0)[0][0] >= LATE_MS:
                self._late_ms = now
            last = self._count
            for key in list(self._due.irange(maximum=(now, last))):
                call = self._due.pop(key, None)  # an earlier call may have cancelled it
                if call is not None:
                    with contained("a deadline is met"):
                        call()
        finally:
            self._running = False
            self._update_timer()

    def late_within(self, ms: float) -> bool:
        """Whether a call came late in the last `ms` milliseconds, as the process had too little time."""
        return self.clock.now() - self._late_ms <= ms

    def _update_timer(self) -> None:
        if self._call_later is None or self._running:
            return
        if not self._due:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            return
        first = self._due.peekitem(0)[0][0]
        if self._timer is not None:
            if self._timer_at == first:
                return
            self._timer.cancel()
        self._timer_at = first
        self._timer = self._call_later(max(0.0, first - self.clock.now()) / 1000.0, self.run)
