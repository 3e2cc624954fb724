"""Is a store all that its router has promised?  The words of those who heard it decide.  Pure.

A store's mark grows with each commit, and each message that rests on a commit carries it.  Whoever has heard
a later mark than a store shows knows that something is missing there.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

MAX_NAMES = 1024  # whose marks are remembered, the latest heard: eight times the routers that a roster holds


class Mark(NamedTuple):
    """The generation counts a folder's starts, the position its commits over all of them."""

    generation: int
    position: int


NO_MARK = Mark(0, 0)


class Witness:
    """The latest mark that was heard of each name."""

    def __init__(self) -> None:
        self.latest_marks: OrderedDict[str, Mark] = OrderedDict()
        self.changed: set[str] = set()  # since this was last looked at

    def note(self, name: str, mark: Mark) -> None:
        if mark > self.latest_marks.get(name, NO_MARK):
            self.latest_marks[name] = mark
            self.latest_marks.move_to_end(name)
            self.changed.add(name)
            while len(self.latest_marks) > MAX_NAMES:
                gone, _ = self.latest_marks.popitem(last=False)
                self.changed.add(gone)

    def allows(self, name: str, claim: Mark) -> bool:
        """Whether nothing later than the claim was heard.  A new life of an emptied store begins above it."""
        return self.latest_marks.get(name, NO_MARK) <= claim


class StoreVerdict(Enum):
    WAITING = "waiting"
    WHOLE = "whole"
    BEHIND = "behind"


class Judge:
    """Collects the words of those who may have heard this store's router: `names`, itself among them."""

    def __init__(self, own: str, claim: Mark, names: Iterable[str]) -> None:
        self.own_name, self.claim, self.names = own, claim, frozenset(names)
        self.answers: dict[str, bool] = {}

    def add_answer(self, name: str, claim: Mark, allows: bool) -> None:
        """Words on another claim are an earlier run's."""
        if claim == self.claim and name in self.names and name != self.own_name:
            self.answers[name] = self.answers.get(name, True) and allows

    @property
    def missing_answers(self) -> int:
        """Words still needed: with this router itself, more than half of the names."""
        return max(0, len(self.names) // 2 - len(self.answers))

    @property
    def verdict(self) -> StoreVerdict:
        if not all(self.answers.values()):
            return StoreVerdict.BEHIND
        return StoreVerdict.WAITING if self.missing_answers else StoreVerdict.WHOLE
