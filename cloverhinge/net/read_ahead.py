"""Input that has been read from a connection and waits to be parsed, within a limit for all connections."""

from __future__ import annotations

from collections import deque

MAX_CONNECTION_SHARE = 1 / 2  # of the budget, for one connection
DEFAULT_TOTAL_BYTES = 8 * 1024 * 1024


class ReadAheadBudget:
    """Bounds the input that waits on all connections together."""

    def __init__(self, total_bytes: int = DEFAULT_TOTAL_BYTES) -> None:
        self.total_bytes, self.used_bytes = total_bytes, 0

    @property
    def exhausted(self) -> bool:
        """Whether no connection may read ahead now."""
        return self.used_bytes >= self.total_bytes


class ReadAhead:
    """The input of one connection that waits, in chunks with the times at which they were read.

    Reading on shows that a peer has closed its side, which is hidden behind input that nobody reads.
    """

    def __init__(self, budget: ReadAheadBudget) -> None:
        self.budget = budget
        self._chunks: deque[tuple[float, bytes]] = deque()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._chunks)

    @property
    def full(self) -> bool:
        """Whether nothing more may be added."""
        return self._bytes >= self.budget.total_bytes * MAX_CONNECTION_SHARE or self.budget.exhausted

    def add(self, read_ms: float, data: bytes) -> None:
        """Append a chunk; the caller checks `full` before it reads the next one."""
        self._chunks.append((read_ms, data))
        self._count(len(data))

    def take(self) -> tuple[float, bytes]:
        """Remove and return the first chunk, with the time at which it was read."""
        read_ms, data = self._chunks.popleft()
        self._count(-len(data))
        return read_ms, data

    def contains(self, text: bytes) -> bool:
        """Whether this text lies in the input that waits."""
        return text in b"".join(data for _, data in self._chunks)

    def clear(self) -> None:
        """Discard all chunks."""
        while self._chunks:
            self.take()

    def _count(self, size: int) -> None:
        self._bytes += size
        self.budget.used_bytes += size
