"""Tables of numbered slots, whose items are referred to by slot number and generation."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1


class SlotTable(Generic[T]):
    """A table of items; an item's handle combines its slot's number and the slot's generation.

    The generation grows each time the slot is freed, so the handle of a removed item, as in a late message,
    never refers to the item that has taken its slot since.  Generations start at 1, so no handle is 0.
    """

    def __init__(self, capacity: int = 1 << INDEX_BITS) -> None:
        """`capacity` is limited to 2^20, the number of slots that a handle can distinguish."""
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
        """Whether all slots are taken."""
        return len(self) >= self.capacity

    def put(self, item: T) -> int:
        """Store an item and return its handle; raises OverflowError if the table is full."""
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
        """The item of a handle; None if it has been removed."""
        index = handle & INDEX_MASK
        if index >= len(self._items) or self._generations[index] != handle >> INDEX_BITS:
            return None
        return self._items[index]

    def free(self, handle: int) -> T | None:
        """Free the slot and return its item; None if the item has been removed already."""
        item = self.get(handle)
        if item is not None:
            index = handle & INDEX_MASK
            self._items[index] = None
            self._generations[index] += 1
            self._free.append(index)
        return item
