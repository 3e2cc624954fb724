"""The check that a store holds all that its router has announced, by answers of other routers.  Pure.

A store's mark grows with each commit, and each message that depends on a commit carries it.  A router that
has received a later mark than the store shows knows that something is missing there.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

MAX_NAMES = 1024  # whose marks are remembered, the latest changed: eight times the routers of a replica set


class Mark(NamedTuple):
    """The generation counts a folder's starts, the position its commits over all starts."""

    generation: int
    position: int


NO_MARK = Mark(0, 0)


class Witness:
    """The latest mark that was received from each router, by name; the longest unchanged ones are dropped."""

    def __init__(self) -> None:
        self.latest_marks: OrderedDict[str, Mark] = OrderedDict()
        self.changed: set[str] = set()  # names whose mark is new or dropped; cleared by the reader

    def note(self, name: str, mark: Mark) -> None:
        """Notes a mark that was received."""
        if mark > self.latest_marks.get(name, NO_MARK):
            self.latest_marks[name] = mark
            self.latest_marks.move_to_end(name)
            self.changed.add(name)
            while len(self.latest_marks) > MAX_NAMES:
                evicted, _ = self.latest_marks.popitem(last=False)
                self.changed.add(evicted)

    def allows(self, name: str, claim: Mark) -> bool:
        """Whether no mark after the claim was received.

        A store that was discarded begins anew above the latest mark that others have received.
        """
        return self.latest_marks.get(name, NO_MARK) <= claim


class StoreVerdict(Enum):
    """What the answers say of a store: not enough of them, it is complete, or something is missing."""

    WAITING = "waiting"
    WHOLE = "whole"
    BEHIND = "behind"


class Judge:
    """Collects the answers of the routers that may have received this store's marks.

    These are `names`, this router itself among them.
    """

    def __init__(self, own: str, claim: Mark, names: Iterable[str]) -> None:
        self.own_name, self.claim, self.names = own, claim, frozenset(names)
        self.answers: dict[str, bool] = {}

    def add_answer(self, name: str, claim: Mark, allows: bool) -> None:
        """Counts an answer; answers to another claim belong to an earlier run, and are ignored."""
        if claim == self.claim and name in self.names and name != self.own_name:
            self.answers[name] = self.answers.get(name, True) and allows

    @property
    def missing_answers(self) -> int:
        """Answers still needed: with this router itself, those of more than half of the names."""
        return max(0, len(self.names) // 2 - len(self.answers))

    @property
    def verdict(self) -> StoreVerdict:
        """The verdict so far; one answer that does not allow the claim is enough for BEHIND."""
        if not all(self.answers.values()):
            return StoreVerdict.BEHIND
        return StoreVerdict.WAITING if self.missing_answers else StoreVerdict.WHOLE
