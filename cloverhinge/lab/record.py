"""The record of a run: requests, answers, log lines and faults in order of time, for checks afterwards."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

MAX_EVENTS = 1_000_000  # bounds the memory of a run; one more raises OverflowError


@dataclass(frozen=True, slots=True)
class Event:
    """One entry of the record."""

    ms: float  # since the run began
    source: str  # a router, a media server, the hub, the rig or a viewer
    kind: str  # log, changed, fault, started, ended, ...
    details: dict[str, Any] = field(default_factory=dict)


class Record:
    """Events of a run; all methods may be called from any thread."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.started_s = time.monotonic()
        self._changed = threading.Condition()

    def now(self) -> float:
        """Milliseconds since the record began."""
        return (time.monotonic() - self.started_s) * 1000.0

    def add(self, event_source: str, event_kind: str, **details: Any) -> Event:
        """Appends an event at the present time and wakes all `wait_until`."""
        with self._changed:
            if len(self.events) >= MAX_EVENTS:
                raise OverflowError(f"the record is full, it holds at most {MAX_EVENTS} events")
            event = Event(self.now(), event_source, event_kind, details)
            self.events.append(event)
            self._changed.notify_all()
        return event

    def wait_until(self, condition: Callable[[], bool], seconds: float, description: str) -> float:
        """Waits until `condition` holds, which is evaluated at each new event; returns the wait in ms.

        Raises AssertionError with the end of the record after `seconds`.
        """
        started_s = time.monotonic()
        with self._changed:
            if not self._changed.wait_for(condition, seconds):
                raise AssertionError(f"{description}: not reached within {seconds:.0f} s\n{self.tail()}")
        return (time.monotonic() - started_s) * 1000.0

    def pause(self, seconds: float) -> None:
        """Waits a fixed time, for the duration of a fault; to await an event use `wait_until`."""
        with self._changed:
            self._changed.wait_for(lambda: False, seconds)

    def events_of(self, kind: str, source: str | None = None, since_ms: float = 0.0) -> Iterator[Event]:
        """The events of a kind, where given those of one source and at or after `since_ms`."""
        return (
            x for x in list(self.events) if x.kind == kind and x.ms >= since_ms and source in (None, x.source)
        )

    def tail(self, max_events: int = 60) -> str:
        """The last events as lines of text."""
        return "\n".join(
            f"{x.ms:9.1f} {x.source:8} {x.kind:8} {x.details}" for x in self.events[-max_events:]
        )

    def write(self, path: Path) -> None:
        """Writes all events as lines of JSON."""
        with path.open("w", encoding="utf-8") as file:
            for x in self.events:
                file.write(
                    json.dumps({"ms": round(x.ms, 1), "who": x.source, "what": x.kind, **x.details}) + "\n"
                )
