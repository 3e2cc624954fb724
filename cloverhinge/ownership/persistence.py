"""What a keeper writes down before it says it, and what it brings back from before its start.  Pure.

The store knows rows; here is what they mean.  See docs/design/store.md for what is promised.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec

from cloverhinge.ownership import wire
from cloverhinge.ownership.register import NONE, Ballot, Slot, Work
from cloverhinge.ownership.wire import Member, Roster
from cloverhinge.store import NO_MARK, Judge, Mark, Witness, Word

if TYPE_CHECKING:
    from cloverhinge.ownership.replica import Keeper

ROSTER, LIVES, SLOT, HEARD = "roster", "lives", "s/", "h/"  # rows' keys: the one, and with a name behind
CLAIM_MS = 100.0  # between claims to members that have not answered
HEARD_MS = 500.0  # pace at which others' marks are written: the pace at which they are heard
HELD_MOST = 65_536  # words that wait for the disk; more are dropped
LIVES_MOST = 16  # runs that wrote the folder, the latest; an older one is in no roster that still counts

# What may be said only once it is on the disk: each of them rests on rows that changed with it.
BINDING = (wire.Promised, wire.Written, wire.RosterPromised, wire.RosterWritten, wire.Tell, wire.Heard)


class Stands(IntEnum):
    """What a router says of its store, to those who count votes."""

    FORGOT = 0  # it has none, or one that is not believed
    JUDGING = 1  # whether it is whole is not known yet
    WHOLE = 2  # it speaks for the run that its folder was written by
    OUT = 3  # it keeps nothing for others


class Votes(msgspec.Struct, array_like=True, frozen=True):
    """Of the roster, and of its next one's election."""

    roster: Roster | None
    promised: Ballot = NONE
    accepted: Ballot = NONE
    value: Roster | None = None
    settled: bool = False  # all of its members were known to vote


class Row(msgspec.Struct, array_like=True, frozen=True):
    promised: Ballot
    accepted: Ballot
    work: Work | None


_rows: msgspec.msgpack.Decoder[Row] = msgspec.msgpack.Decoder(Row)


@dataclass(slots=True)
class Brought:
    """From a folder, before it is known whether it is whole."""

    votes: Votes
    lives: tuple[str, ...]
    slots: dict[str, Slot]
    heard: dict[str, Mark]


def read(rows: Mapping[str, bytes]) -> Brought:
    """Raises ValueError: rows that this version does not know, though the store holds them whole."""
    try:
        return _read(rows)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


def _read(rows: Mapping[str, bytes]) -> Brought:
    votes, lives, slots, heard = Votes(None), tuple[str, ...](), dict[str, Slot](), dict[str, Mark]()
    for key, value in rows.items():
        if key == ROSTER:
            votes = msgspec.msgpack.decode(value, type=Votes)
        elif key == LIVES:
            lives = msgspec.msgpack.decode(value, type=tuple[str, ...])
        elif key.startswith(SLOT):
            row = _rows.decode(value)
            slots[key.removeprefix(SLOT)] = Slot(row.promised, row.accepted, row.work)
        elif key.startswith(HEARD):
            heard[key.removeprefix(HEARD)] = msgspec.msgpack.decode(value, type=Mark)
        else:
            raise ValueError(f"nothing is called {key[:40]}")
    return Brought(votes, lives, slots, heard)


@dataclass(frozen=True, slots=True)
class Persist:
    """Put these rows; `durable` is to be told once they, and all before them, are on the disk."""

    number: int
    rows: dict[str, bytes | None]
    void: bool = False  # nothing that was there is believed
    above: Mark = NO_MARK  # the store's marks are to be above this one


@dataclass(slots=True)
class Recall:
    """One keeper's side of its store.  `why`: it has none that can be used."""

    own: Member
    mark: Mark = NO_MARK  # of the last commit
    stands: Stands = Stands.FORGOT
    why: str = ""
    lives: tuple[str, ...] = ()  # the runs that it speaks for, itself the last one
    brought: Brought | None = None  # until it is judged
    judge: Judge | None = None
    witness: Witness = field(default_factory=Witness)
    changed: dict[str, None] = field(default_factory=dict)  # records whose slots changed since the last rows
    last: int = 0  # number of the last rows
    safe: int = 0  # and of the last that are on the disk
    votes: Votes = field(default_factory=lambda: Votes(None))  # as written last
    _held: deque[tuple[int, str, wire.Items, bool]] = field(default_factory=deque)
    _void: bool = False
    _above: Mark = NO_MARK
    _lives_told: int = 0  # number of the rows that hold this run among the lives
    _heard_ms: float = -1e12
    _claimed_ms: float = -1e12

    @classmethod
    def of(cls, own: Member, claim: Mark, mark: Mark, rows: Mapping[str, bytes]) -> Recall:
        """Of a folder as it was opened.  One whose roster does not name this router rests on nothing that
        others count on.  Raises ValueError as `read` does."""
        made = cls(own, mark, lives=(own.who,))
        brought = read(rows)
        for name, heard in brought.heard.items():
            made.witness.heard[name] = heard
        roster = brought.votes.roster
        if (
            claim != NO_MARK
            and roster is not None
            and any(x.who in brought.lives for x in (*roster.members, *roster.sources))
        ):
            made.brought, made.stands = brought, Stands.JUDGING
            made.judge = Judge(own.name, claim, (x.name for x in roster.members))
        elif claim != NO_MARK:
            made._begin_anew()  # the records of another life, which nobody counts on
        return made

    def _begin_anew(self) -> None:
        self._void = True
        self.witness.changed.update(self.witness.heard)

    @classmethod
    def out(cls, own: Member, why: str) -> Recall:
        return cls(own, stands=Stands.OUT, why=why)

    @property
    def said(self) -> Mark:
        """With each message; while it is judged others are not to take its new marks for its old ones."""
        return NO_MARK if self.stands in (Stands.JUDGING, Stands.OUT) else self.mark

    @property
    def told(self) -> Stands:
        """To others, who may make a roster of it: not before its folder would know this run again."""
        waits = self.stands is Stands.WHOLE and not 0 < self._lives_told <= self.safe
        return Stands.JUDGING if waits else self.stands

    @property
    def keeps(self) -> bool:
        return self.stands in (Stands.FORGOT, Stands.WHOLE)

    # What waits for the disk

    def barrier(self, votes: Votes) -> int:
        """What is said now rests on rows up to this number."""
        waiting = self.changed or self._void or not self._lives_told or votes != self.votes
        return self.last + 1 if waiting else self.last

    def holds(self, who: str, item: wire.Items, soon: bool, votes: Votes) -> bool:
        """Whether this has to wait; it is given back by `durable`.  What a router that is out should bind
        itself to is dropped."""
        if not isinstance(item, BINDING):
            return False
        if self.stands is Stands.OUT:
            return True
        barrier = self.barrier(votes)
        if barrier <= self.safe:
            return False
        if len(self._held) < HELD_MOST:  # else it is asked for again
            self._held.append((barrier, who, item, soon))
        return True

    def rows(self, now: float, keeper: Keeper, votes: Votes) -> Persist | None:
        """What has changed since the last call."""
        if self.stands in (Stands.OUT, Stands.JUDGING):
            return None
        rows: dict[str, bytes | None] = {}
        for id in self.changed:
            slot = keeper.slots.get(id)
            rows[SLOT + id] = (
                None if slot is None else msgspec.msgpack.encode(Row(slot.promised, slot.accepted, slot.work))
            )
        self.changed.clear()
        if not self._lives_told:
            self._lives_told = self.last + 1
            rows[LIVES] = msgspec.msgpack.encode(self.lives)
        if votes != self.votes:
            self.votes = votes
            rows[ROSTER] = msgspec.msgpack.encode(votes)
        if self.witness.changed and now - self._heard_ms >= HEARD_MS:
            self._heard_ms = now
            for name in self.witness.changed:
                heard = self.witness.heard.get(name)
                rows[HEARD + name] = None if heard is None else msgspec.msgpack.encode(heard)
            self.witness.changed.clear()
        if not rows and not self._void and self._above == NO_MARK:
            return None
        self.last += 1
        void, self._void = self._void, False
        above, self._above = self._above, NO_MARK
        return Persist(self.last, rows, void, above)

    def durable(self, number: int, mark: Mark) -> list[tuple[str, wire.Items, bool]]:
        """What may be said now, in order."""
        self.safe, self.mark = max(self.safe, number), max(self.mark, mark)
        free = []
        while self._held and self._held[0][0] <= self.safe:
            free.append(self._held.popleft()[1:])
        return free

    def fail(self, why: str) -> None:
        """From now on nothing is kept here; what waits is never said."""
        self.stands, self.why = Stands.OUT, why
        self._held.clear()
        self.brought = self.judge = None

    # Judging

    def claims(self, now: float) -> wire.Claim | None:
        """For all members that have not answered yet."""
        if self.judge is None or now - self._claimed_ms < CLAIM_MS:
            return None
        self._claimed_ms = now
        return wire.Claim(*self.judge.claim)

    def word(self, name: str, claim: wire.Claim) -> wire.Word:
        """Of what was heard of another's store."""
        told = Mark(claim.generation, claim.position)
        return wire.Word(*told, self.witness.allows(name, told), *self.witness.heard.get(name, NO_MARK))

    def heard(self, name: str, told: wire.Word) -> Word:
        """Another's word on this store; the verdict so far."""
        if self.judge is None:
            self._above = max(self._above, Mark(told.heard_generation, told.heard_position))
            return Word.WAITING
        self.judge.heard(name, Mark(told.generation, told.position), told.allows)
        if self.judge.word is Word.BEHIND:
            self._above = max(self._above, Mark(told.heard_generation, told.heard_position))
        return self.judge.word

    def judged(self, whole: bool) -> Brought | None:
        """What is to be believed of it, if anything."""
        brought, self.brought, self.judge = self.brought, None, None
        if whole:
            self.stands = Stands.WHOLE
            assert brought is not None
            self.lives = (*brought.lives, self.own.who)[-LIVES_MOST:]
            self.votes = brought.votes
            return brought
        self.stands = Stands.FORGOT
        self._begin_anew()
        return None

    def note(self, name: str, mark: Mark) -> wire.Word | None:
        """A mark that came with a message; an answer where that router has had later ones."""
        if mark == NO_MARK:
            return None
        heard = self.witness.heard.get(name, NO_MARK)
        if mark.generation < heard.generation:
            return wire.Word(*mark, False, *heard)
        self.witness.note(name, mark)
        return None
