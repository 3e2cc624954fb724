"""Durability of a replica: state is stored before messages reveal it, and restored after a restart.  Pure.

The store knows rows; this module knows what they mean.  See docs/design/store.md for the guarantees.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec

from cloverhinge.ownership import wire
from cloverhinge.ownership.register import NO_BALLOT, Ballot, Slot, Work
from cloverhinge.ownership.wire import Member, ReplicaSet
from cloverhinge.store import NO_MARK, Judge, Mark, StoreVerdict, Witness

if TYPE_CHECKING:
    from cloverhinge.ownership.replica import Replica

# Keys of two single rows, and key prefixes of slots (by record id) and of others' marks (by router name).
REPLICA_SET_KEY, RUNS_KEY, SLOT_PREFIX, MARK_PREFIX = "roster", "lives", "s/", "h/"
CLAIM_INTERVAL_MS = 100.0  # between claims to members that have not answered
MARK_INTERVAL_MS = 500.0  # interval of writing others' marks: that at which they are received
MAX_HELD_BACK = 65_536  # messages that wait for the disk; more are dropped
MAX_RUNS = 16  # the latest runs that wrote the folder; older ones are in no replica set that still counts

# Messages that may be sent only once the rows that changed with them are on the disk.
BINDING = (
    wire.Promised,
    wire.Written,
    wire.ReplicaSetPromised,
    wire.ReplicaSetWritten,
    wire.TransferPart,
    wire.TransferAck,
)


class StoreState(IntEnum):
    """What a router announces of its store, to the routers that count votes."""

    FORGOT = 0  # it has none, or one whose contents are not trusted
    JUDGING = 1  # whether it is complete is not known yet
    WHOLE = 2  # it is complete: the router represents the runs that wrote it
    OUT = 3  # it cannot be used: the router holds no replicas


class VoteState(msgspec.Struct, array_like=True, frozen=True):
    """The replica set, and the state of the vote on the next one."""

    replica_set: ReplicaSet | None
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: ReplicaSet | None = None
    settled: bool = False  # all of its members were known to vote


class SlotRow(msgspec.Struct, array_like=True, frozen=True):
    """A slot as it is stored."""

    promised: Ballot
    accepted: Ballot
    work: Work | None


_row_decoder: msgspec.msgpack.Decoder[SlotRow] = msgspec.msgpack.Decoder(SlotRow)


@dataclass(slots=True)
class RestoredState:
    """The contents of a folder, of which it is not known yet whether they are complete."""

    vote_state: VoteState
    runs: tuple[str, ...]
    slots: dict[str, Slot]
    marks: dict[str, Mark]


def decode_rows(rows: Mapping[str, bytes]) -> RestoredState:
    """Raises ValueError for rows that this version does not know, though the store holds them undamaged."""
    try:
        return _decode_rows(rows)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


def _decode_rows(rows: Mapping[str, bytes]) -> RestoredState:
    vote_state, runs, slots, marks = VoteState(None), tuple[str, ...](), dict[str, Slot](), dict[str, Mark]()
    for key, value in rows.items():
        if key == REPLICA_SET_KEY:
            vote_state = msgspec.msgpack.decode(value, type=VoteState)
        elif key == RUNS_KEY:
            runs = msgspec.msgpack.decode(value, type=tuple[str, ...])
        elif key.startswith(SLOT_PREFIX):
            row = _row_decoder.decode(value)
            slots[key.removeprefix(SLOT_PREFIX)] = Slot(row.promised, row.accepted, row.work)
        elif key.startswith(MARK_PREFIX):
            marks[key.removeprefix(MARK_PREFIX)] = msgspec.msgpack.decode(value, type=Mark)
        else:
            raise ValueError(f"unknown row key {key[:40]}")
    return RestoredState(vote_state, runs, slots, marks)


@dataclass(frozen=True, slots=True)
class Persist:
    """Store these rows; `on_durable` is to be called once they, and all before them, are on the disk."""

    number: int
    rows: dict[str, bytes | None]  # None: remove the row
    void: bool = False  # earlier contents are discarded
    above: Mark = NO_MARK  # the store's marks have to be above this one


@dataclass(slots=True)
class ReplicaPersistence:
    """The replica's view of its store, which is opened and written elsewhere."""

    own: Member
    mark: Mark = NO_MARK  # of the last commit
    state: StoreState = StoreState.FORGOT
    unusable_reason: str = ""  # why there is no usable store, if there is none
    runs: tuple[str, ...] = ()  # member ids of the runs that this one represents, itself the last one
    restored: RestoredState | None = None  # until the store has proved complete, or not
    judge: Judge | None = None
    witness: Witness = field(default_factory=Witness)
    changed_ids: dict[str, None] = field(default_factory=dict)  # of slots changed since the last rows
    last_number: int = 0  # of the last rows
    durable_number: int = 0  # of the last rows that are on the disk
    vote_state: VoteState = field(default_factory=lambda: VoteState(None))  # as last written
    _held_back: deque[tuple[int, str, wire.Items, bool]] = field(default_factory=deque)
    _void: bool = False
    _min_mark: Mark = NO_MARK  # the marks of the next rows have to be above this one
    _runs_number: int = 0  # number of the rows with this run in the list of runs
    _marks_written_ms: float = -1e12
    _claim_sent_ms: float = -1e12

    @classmethod
    def from_folder(
        cls, own: Member, claim: Mark, mark: Mark, rows: Mapping[str, bytes]
    ) -> ReplicaPersistence:
        """For a folder as it was opened, with the mark that it claims to have reached.

        Where its replica set names none of the runs that wrote it, nobody counts on its records, and they are
        discarded.  Raises ValueError as `decode_rows` does.
        """
        made = cls(own, mark, runs=(own.member_id,))
        restored = decode_rows(rows)
        for name, latest in restored.marks.items():
            made.witness.latest_marks[name] = latest
        replica_set = restored.vote_state.replica_set
        if (
            claim != NO_MARK
            and replica_set is not None
            and any(x.member_id in restored.runs for x in (*replica_set.members, *replica_set.sources))
        ):
            made.restored, made.state = restored, StoreState.JUDGING
            made.judge = Judge(own.name, claim, (x.name for x in replica_set.members))
        elif claim != NO_MARK:
            made._discard_earlier()  # records of earlier runs, which nobody counts on
        return made

    def _discard_earlier(self) -> None:
        self._void = True
        self.witness.changed.update(self.witness.latest_marks)

    @classmethod
    def unusable(cls, own: Member, reason: str) -> ReplicaPersistence:
        """For a folder that cannot be used: this router holds no replicas."""
        return cls(own, state=StoreState.OUT, unusable_reason=reason)

    @property
    def outgoing_mark(self) -> Mark:
        """Sent with each message; none during the check: others would take new marks for old ones."""
        return NO_MARK if self.state in (StoreState.JUDGING, StoreState.OUT) else self.mark

    @property
    def announced_state(self) -> StoreState:
        """Sent to others, who may form a replica set with this run: not before the folder lists this run."""
        waits = self.state is StoreState.WHOLE and not 0 < self._runs_number <= self.durable_number
        return StoreState.JUDGING if waits else self.state

    @property
    def usable(self) -> bool:
        """Whether this router may hold replicas and vote."""
        return self.state in (StoreState.FORGOT, StoreState.WHOLE)

    # Messages that wait for the disk

    def barrier(self, vote_state: VoteState) -> int:
        """The number of the rows that a message sent now depends on."""
        waiting = self.changed_ids or self._void or not self._runs_number or vote_state != self.vote_state
        return self.last_number + 1 if waiting else self.last_number

    def hold_back(self, member_id: str, item: wire.Items, deferrable: bool, vote_state: VoteState) -> bool:
        """Whether the message has to wait; `on_durable` returns it later.

        Without a working store a binding message is dropped.
        """
        if not isinstance(item, BINDING):
            return False
        if self.state is StoreState.OUT:
            return True
        barrier = self.barrier(vote_state)
        if barrier <= self.durable_number:
            return False
        if len(self._held_back) < MAX_HELD_BACK:  # otherwise the sender repeats its request
            self._held_back.append((barrier, member_id, item, deferrable))
        return True

    def take_rows(self, now: float, replica: Replica, vote_state: VoteState) -> Persist | None:
        """The rows that have changed since the last call; None where nothing is to be stored."""
        if self.state in (StoreState.OUT, StoreState.JUDGING):
            return None
        rows: dict[str, bytes | None] = {}
        for id in self.changed_ids:
            slot = replica.slots.get(id)
            rows[SLOT_PREFIX + id] = (
                None
                if slot is None
                else msgspec.msgpack.encode(SlotRow(slot.promised, slot.accepted, slot.work))
            )
        self.changed_ids.clear()
        if not self._runs_number:
            self._runs_number = self.last_number + 1
            rows[RUNS_KEY] = msgspec.msgpack.encode(self.runs)
        if vote_state != self.vote_state:
            self.vote_state = vote_state
            rows[REPLICA_SET_KEY] = msgspec.msgpack.encode(vote_state)
        if self.witness.changed and now - self._marks_written_ms >= MARK_INTERVAL_MS:
            self._marks_written_ms = now
            for name in self.witness.changed:
                mark = self.witness.latest_marks.get(name)
                rows[MARK_PREFIX + name] = None if mark is None else msgspec.msgpack.encode(mark)
            self.witness.changed.clear()
        if not rows and not self._void and self._min_mark == NO_MARK:
            return None
        self.last_number += 1
        void, self._void = self._void, False
        above, self._min_mark = self._min_mark, NO_MARK
        return Persist(self.last_number, rows, void, above)

    def on_durable(self, number: int, mark: Mark) -> list[tuple[str, wire.Items, bool]]:
        """The messages that may be sent now, in order."""
        self.durable_number, self.mark = max(self.durable_number, number), max(self.mark, mark)
        released = []
        while self._held_back and self._held_back[0][0] <= self.durable_number:
            released.append(self._held_back.popleft()[1:])
        return released

    def fail(self, reason: str) -> None:
        """Takes the store out of use; messages that wait for it are never sent."""
        self.state, self.unusable_reason = StoreState.OUT, reason
        self._held_back.clear()
        self.restored = self.judge = None

    # Checking the store against what others have received from this router

    def due_claim(self, now: float) -> wire.StoreClaim | None:
        """The claim to send to all members that have not answered yet, if one is due."""
        if self.judge is None or now - self._claim_sent_ms < CLAIM_INTERVAL_MS:
            return None
        self._claim_sent_ms = now
        return wire.StoreClaim(*self.judge.claim)

    def answer_claim(self, name: str, claim: wire.StoreClaim) -> wire.StoreClaimAnswer:
        """Compares another router's claim with the latest mark received from it."""
        mark = Mark(claim.generation, claim.position)
        return wire.StoreClaimAnswer(
            *mark, self.witness.allows(name, mark), *self.witness.latest_marks.get(name, NO_MARK)
        )

    def on_claim_answer(self, name: str, answer: wire.StoreClaimAnswer) -> StoreVerdict:
        """Counts another router's answer to this store's claim.

        Returns the verdict so far; WAITING also where no check is under way.
        """
        if self.judge is None:
            self._min_mark = max(self._min_mark, Mark(answer.latest_generation, answer.latest_position))
            return StoreVerdict.WAITING
        self.judge.add_answer(name, Mark(answer.generation, answer.position), answer.allows)
        if self.judge.verdict is StoreVerdict.BEHIND:
            self._min_mark = max(self._min_mark, Mark(answer.latest_generation, answer.latest_position))
        return self.judge.verdict

    def conclude(self, whole: bool) -> RestoredState | None:
        """Ends the check; returns the restored state where the store is whole, else None."""
        restored, self.restored, self.judge = self.restored, None, None
        if whole:
            self.state = StoreState.WHOLE
            assert restored is not None
            self.runs = (*restored.runs, self.own.member_id)[-MAX_RUNS:]
            self.vote_state = restored.vote_state
            return restored
        self.state = StoreState.FORGOT
        self._discard_earlier()
        return None

    def note_mark(self, name: str, mark: Mark) -> wire.StoreClaimAnswer | None:
        """Notes a mark that came with a message; returns an answer where a later generation's is known."""
        if mark == NO_MARK:
            return None
        latest = self.witness.latest_marks.get(name, NO_MARK)
        if mark.generation < latest.generation:
            return wire.StoreClaimAnswer(*mark, False, *latest)
        self.witness.note(name, mark)
        return None
