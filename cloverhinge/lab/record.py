"""One record by time of all that is asked, answered and broken in a run; checkers read it afterwards."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

MAX_EVENTS = 1_000_000  # events of a run; one more ends it with an error


@dataclass(frozen=True, slots=True)
class Event:
    ms: float  # since the run began
    source: str  # a router, a box, the hub or the rig
    kind: str  # log, changed, fault, started, ended, ...
    details: dict[str, Any] = field(default_factory=dict)


class Record:
    """Written by many threads; `until` waits for what has to come, never for a time to pass."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.started_s = time.monotonic()
        self._changed = threading.Condition()

    def now(self) -> float:
        return (time.monotonic() - self.started_s) * 1000.0

    def add(self, event_source: str, event_kind: str, **details: Any) -> Event:
        with self._changed:
            if len(self.events) >= MAX_EVENTS:
                raise OverflowError(f"a run holds {MAX_EVENTS} events at the most")
            event = Event(self.now(), event_source, event_kind, details)
            self.events.append(event)
            self._changed.notify_all()
        return event

    def wait_until(self, condition: Callable[[], bool], seconds: float, description: str) -> float:
        """Milliseconds until it holds, asked again at each event; AssertionError where it doesn't come."""
        begun = time.monotonic()
        with self._changed:
            if not self._changed.wait_for(condition, seconds):
                raise AssertionError(f"{description}: not within {seconds:.0f} s\n{self.tail()}")
        return (time.monotonic() - begun) * 1000.0

    def pause(self, seconds: float) -> None:
        """A schedule's time: for as long as faults are to last, not for what has to come."""
        with self._changed:
            self._changed.wait_for(lambda: False, seconds)

    def events_of(self, kind: str, source: str | None = None, since_ms: float = 0.0) -> Iterator[Event]:
        return (
            x for x in list(self.events) if x.kind == kind and x.ms >= since_ms and source in (None, x.source)
        )

    def tail(self, max_events: int = 60) -> str:
        return "\n".join(
            f"{x.ms:9.1f} {x.source:8} {x.kind:8} {x.details}" for x in self.events[-max_events:]
        )

    def write(self, path: Path) -> None:
        """As lines of JSON."""
        with path.open("w", encoding="utf-8") as file:
            for x in self.events:
                file.write(
                    json.dumps({"ms": round(x.ms, 1), "who": x.source, "what": x.kind, **x.details}) + "\n"
                )
