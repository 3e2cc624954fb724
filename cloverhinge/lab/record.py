"""One record by time of all that is asked, answered and broken in a run; checkers read it afterwards."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

MOST = 1_000_000  # events of a run; one more ends it with an error


@dataclass(frozen=True, slots=True)
class Event:
    ms: float  # since the run began
    who: str  # a router, a box, the hub or the rig
    what: str  # log, changed, fault, started, ended, ...
    told: dict[str, Any] = field(default_factory=dict)


class Record:
    """Written by many threads; `until` waits for what has to come, never for a time to pass."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.begun = time.monotonic()
        self._news = threading.Condition()

    def now(self) -> float:
        return (time.monotonic() - self.begun) * 1000.0

    def add(self, who: str, what: str, **told: Any) -> Event:
        with self._news:
            if len(self.events) >= MOST:
                raise OverflowError(f"a run holds {MOST} events at the most")
            event = Event(self.now(), who, what, told)
            self.events.append(event)
            self._news.notify_all()
        return event

    def until(self, holds: Callable[[], bool], seconds: float, what: str) -> float:
        """Milliseconds until it holds, asked again at each event; AssertionError where it doesn't come."""
        begun = time.monotonic()
        with self._news:
            if not self._news.wait_for(holds, seconds):
                raise AssertionError(f"{what}: not within {seconds:.0f} s\n{self.tail()}")
        return (time.monotonic() - begun) * 1000.0

    def pause(self, seconds: float) -> None:
        """A schedule's time: for as long as faults are to last, not for what has to come."""
        with self._news:
            self._news.wait_for(lambda: False, seconds)

    def of(self, what: str, who: str | None = None, since_ms: float = 0.0) -> Iterator[Event]:
        return (x for x in list(self.events) if x.what == what and x.ms >= since_ms and who in (None, x.who))

    def tail(self, most: int = 60) -> str:
        return "\n".join(f"{x.ms:9.1f} {x.who:8} {x.what:8} {x.told}" for x in self.events[-most:])

    def write(self, path: Path) -> None:
        """As lines of JSON."""
        with path.open("w", encoding="utf-8") as file:
            for x in self.events:
                file.write(json.dumps({"ms": round(x.ms, 1), "who": x.who, "what": x.what, **x.told}) + "\n")
