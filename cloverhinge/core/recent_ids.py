"""Ids that are remembered for a fixed time, in a table of fixed size."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

T = TypeVar("T")


class RecentIds(Generic[T]):
    """Maps ids to values for `ttl_ms` after they were added; beyond `capacity` the oldest one leaves."""

    def __init__(self, ttl_ms: float, capacity: int) -> None:
        self.ttl_ms, self.capacity = ttl_ms, capacity
        self._entries: OrderedDict[str, tuple[float, T]] = OrderedDict()  # oldest first

    def add(self, now: float, id: str, value: T) -> None:
        """Remember an id from now on; an earlier value of it is replaced."""
        self._expire(now)
        self._entries.pop(id, None)
        self._entries[id] = now + self.ttl_ms, value
        if len(self._entries) > self.capacity:
            self._entries.popitem(last=False)

    def get(self, now: float, id: str) -> T | None:
        """The value of an id, None if it is not remembered."""
        return self._entries[id][1] if self.knows(now, id) else None

    def knows(self, now: float, id: str) -> bool:
        """Whether an id is remembered."""
        entry = self._entries.get(id)
        return entry is not None and entry[0] > now

    def is_full(self, now: float) -> bool:
        """Whether adding another id would make the oldest one leave before its time."""
        self._expire(now)
        return len(self._entries) >= self.capacity

    def ids(self, now: float) -> list[str]:
        """All ids that are remembered."""
        self._expire(now)
        return list(self._entries)

    def _expire(self, now: float) -> None:
        while self._entries and next(iter(self._entries.values()))[0] <= now:
            self._entries.popitem(last=False)
