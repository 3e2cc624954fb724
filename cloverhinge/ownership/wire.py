"""What routers say to each other about work in hand: msgpack by msgspec, carried by the members' messages."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from cloverhinge.members.wire import MessageError, Name, Number
from cloverhinge.ownership.register import Ballot, Work

T = TypeVar("T")

MAX_MEMBERS = 128  # routers in a roster: one datagram of 1 KB holds a table of their names' digests, TCP all
MAX_ID_LENGTH = 160  # characters of a record's id: a front's letter and the longest play id
MAX_BATCH_BYTES = 900  # of items in one message, so that with the members' head it stays one datagram
MAX_LISTED_IDS = 32  # ids in an answer: with the longest still some 5 KB
MAX_TRANSFER_BYTES = 64 * 1024  # of slots in one part of a transfer: goes over TCP

RecordId = Annotated[str, Meta(min_length=1, max_length=MAX_ID_LENGTH)]
MemberId = Annotated[str, Meta(max_length=96)]  # one run of one router: `Member.who`


class Member(msgspec.Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    name: Name
    run: Number
    site: Annotated[str, Meta(max_length=64)] = ""

    @property
    def member_id(self) -> str:
        return f"{self.name}#{self.run:x}"


def name_of(member_id: str) -> str:
    return member_id.partition("#")[0]


Members = Annotated[tuple[Member, ...], Meta(max_length=MAX_MEMBERS)]


class Hole(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Members of a roster who never told what they held: records with too many keepers among them are
    unknown, unless they were written in a later one."""

    number: Number
    members: Members
    missing: Annotated[tuple[MemberId, ...], Meta(max_length=MAX_MEMBERS)]


class ReplicaSet(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Whose majority keeps records.  `sources` are those who have to tell what they hold before it votes."""

    lineage: Number
    number: Number
    members: Members
    incarnations: Annotated[
        tuple[Number, ...], Meta(max_length=MAX_MEMBERS)
    ]  # incarnations that they had then
    sources: Members = ()
    holes: Annotated[tuple[Hole, ...], Meta(max_length=16)] = ()


class RefusalReason(IntEnum):
    BALLOT = 0  # a higher one was promised
    LEASE = 1  # the owner's lease runs
    HOLE = 2  # the record may have been lost: ask, don't claim
    FULL = 3
    REPLICA_SET = 4  # this keeper does not vote in that roster, or not yet


class Item(msgspec.Struct, array_like=True, frozen=True):
    pass


class Prepare(Item, tag=1, frozen=True):
    id: RecordId
    ballot: Ballot


class Promised(Item, tag=2, frozen=True):
    id: RecordId
    ballot: Ballot
    accepted: Ballot
    work: Work | None
    hole: bool = False


class Write(Item, tag=3, frozen=True):
    id: RecordId
    ballot: Ballot
    work: Work
    is_claim: bool = False  # see `register.accept`
    deferrable: bool = False  # nobody waits for it: its answer may travel with others


class Written(Item, tag=4, frozen=True):
    """Counts while `generation` is that of the asker's lease here: a fence since then voids it."""

    id: RecordId
    ballot: Ballot
    generation: Number


class Refused(Item, tag=5, frozen=True):
    id: RecordId
    ballot: Ballot
    reason: RefusalReason
    promised: Ballot = (0, "", 0)
    owner: MemberId = ""
    lease_left_ms: float = 0.0


class LeaseRequest(Item, tag=6, frozen=True):
    """Asks for a lease, and tells which roster holds here; sent to all at a pace."""

    seq: Number
    generation: Number  # of the asked one's leases for this router, as far as it is known
    votes: bool  # votes in its roster
    earlier_run_known: bool  # others remember an earlier run of its name
    leaving: bool = False
    store_state: Annotated[int, Meta(ge=0, le=3)] = 0  # `recall.Stands`
    represented_runs: Annotated[
        tuple[MemberId, ...], Meta(max_length=16)
    ] = ()  # runs in its roster that it speaks for


class LeaseGranted(Item, tag=7, frozen=True):
    seq: Number
    generation: Number
    record_count: Number  # records of the asker's that are kept here


class LeaseLapsed(Item, tag=8, frozen=True):
    """No lease for that generation: what was counted as written here has to be written again."""

    seq: Number
    generation: Number


class ReplicaSetPrepare(Item, tag=9, frozen=True):
    """`number` is the roster whose members are asked for the next one."""

    number: Number
    ballot: Ballot


class ReplicaSetPromised(Item, tag=10, frozen=True):
    number: Number
    ballot: Ballot
    accepted: Ballot
    value: ReplicaSet | None


class ReplicaSetWrite(Item, tag=11, frozen=True):
    number: Number
    ballot: Ballot
    value: ReplicaSet


class ReplicaSetWritten(Item, tag=12, frozen=True):
    number: Number
    ballot: Ballot


class ReplicaSetRefused(Item, tag=13, frozen=True):
    number: Number
    ballot: Ballot
    promised: Ballot


class ReplicaSetAnnouncement(Item, tag=14, frozen=True):
    replica_set: ReplicaSet


TransferredSlot = tuple[RecordId, Ballot, Ballot, Work | None]  # id, promised, accepted, work


class TransferPart(Item, tag=15, frozen=True):
    """A part of all that one keeper holds for another, when a roster follows another."""

    number: Number
    part: Number
    parts: Number
    slots: list[TransferredSlot]
    leases: list[tuple[MemberId, float]]  # whose, and for how many ms more


class TransferAck(Item, tag=16, frozen=True):
    number: Number
    part: Number


class HandOverRequest(Item, tag=17, frozen=True):
    """A viewer of this record's came here: hand it over."""

    id: RecordId


class HandOver(Item, tag=18, frozen=True):
    id: RecordId
    ballot: Ballot
    work: Work


class HandOverRefused(Item, tag=19, frozen=True):
    """`open`: its set-up is under way, ask again; otherwise it is not here."""

    id: RecordId
    set_up_pending: bool


class HandOverAck(Item, tag=20, frozen=True):
    id: RecordId
    ballot: Ballot


class LeaseNotGranted(Item, tag=23, frozen=True):
    """Heard, and no lease: this one does not vote now."""

    seq: Number


class Withdraw(Item, tag=24, frozen=True):
    """A claim that not all have taken, and that is given up: as if it had not been taken here."""

    id: RecordId
    ballot: Ballot


class OwnedRecordsQuery(Item, tag=21, frozen=True):
    """Which records of mine do you keep, by id after this one?"""

    after: Annotated[str, Meta(max_length=MAX_ID_LENGTH)]


class OwnedRecordsPage(Item, tag=22, frozen=True):
    ids: Annotated[list[RecordId], Meta(max_length=MAX_LISTED_IDS)]
    last: bool


class StoreClaim(Item, tag=25, frozen=True):
    """My store shows this mark: have you heard a later one?"""

    generation: Number
    position: Number


class StoreClaimAnswer(Item, tag=26, frozen=True):
    """To a claim, or to a mark that came with a message though a later generation's was heard before."""

    generation: Number
    position: Number
    allows: bool
    heard_generation: Number
    heard_position: Number


Items = (
    Prepare
    | Promised
    | Write
    | Written
    | Refused
    | LeaseRequest
    | LeaseGranted
    | LeaseLapsed
    | ReplicaSetPrepare
    | ReplicaSetPromised
    | ReplicaSetWrite
    | ReplicaSetWritten
    | ReplicaSetRefused
    | ReplicaSetAnnouncement
    | TransferPart
    | TransferAck
    | HandOverRequest
    | HandOver
    | HandOverRefused
    | HandOverAck
    | OwnedRecordsQuery
    | OwnedRecordsPage
    | LeaseNotGranted
    | Withdraw
    | StoreClaim
    | StoreClaimAnswer
)


class Message(msgspec.Struct, array_like=True, frozen=True):
    """The sender's roster, what it says, and its store's mark, where it has one."""

    lineage: Number
    number: Number
    items: Annotated[list[Items], Meta(max_length=1024)]
    generation: Number = 0
    position: Number = 0


class EncodedMessage(msgspec.Struct, array_like=True, frozen=True):
    """A body whose items are encoded already."""

    lineage: int
    number: int
    items: list[msgspec.Raw]
    generation: int = 0
    position: int = 0


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def pack(item: object) -> msgspec.Raw:
    return msgspec.Raw(_encoder.encode(item))


def encode(lineage: int, number: int, items: list[msgspec.Raw], mark: tuple[int, int] = (0, 0)) -> bytes:
    return _encoder.encode(EncodedMessage(lineage, number, items, *mark))


def size(item: object) -> int:
    return len(_encoder.encode(item))


def batches(items: Iterable[T], size: Callable[[T], int], max_bytes: int) -> Iterator[list[T]]:
    """In order, each of `most` bytes at the most; one that is larger goes alone."""
    batch: list[T] = []
    room = max_bytes
    for item in items:
        taken = size(item)
        if batch and taken > room:
            yield batch
            batch, room = [], max_bytes
        batch.append(item)
        room -= taken
    if batch:
        yield batch


def decode(data: bytes) -> Message:
    """Raises Bad."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MessageError("malformed", f"it can't be read: {error}") from None
