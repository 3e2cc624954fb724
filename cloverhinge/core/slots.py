"""Tables of numbered slots: what lives in one is named by its number and the slot's generation."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1


class SlotTable(Generic[T]):
    """A handle holds a slot's number and its generation, which grows each time the slot is freed.

    Guards against late messages: the handle of something gone never finds what took its slot since.
    """

    def __init__(self, capacity: int = 1 << INDEX_BITS) -> None:
        self.capacity = min(capacity, 1 << INDEX_BITS)
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        return iter([item for item in self._items if item is not None])

    @property
    def full(self) -> bool:
        return len(self) >= self.capacity

    def put(self, item: T) -> int:
        if self.full:
            raise OverflowError(f"all {self.capacity} slots are taken")
        if self._free:
            index = self._free.pop()
            self._items[index] = item
        else:
            index = len(self._items)
            self._items.append(item)
            self._generations.append(1)
        return self._generations[index] << INDEX_BITS | index

    def get(self, handle: int) -> T | None:
        index = handle & INDEX_MASK
        if index >= len(self._items) or self._generations[index] != handle >> INDEX_BITS:
            return None
        return self._items[index]

    def free(self, handle: int) -> T | None:
        """Empty the slot; None where the handle is out of date."""
        item = self.get(handle)
        if item is not None:
            index = handle & INDEX_MASK
            self._items[index] = None
            self._generations[index] += 1
            self._free.append(index)
        return item
