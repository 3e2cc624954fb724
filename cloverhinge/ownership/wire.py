"""Messages of the ownership protocol: msgpack by msgspec, as bodies of membership messages.

All structs are encoded by position, and items by their tag: order and tags are the protocol, names are not.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from cloverhinge.members.wire import MessageError, Name, Number
from cloverhinge.ownership.register import MAX_BODY_BYTES, Ballot, Work

T = TypeVar("T")

# Routers in a replica set: one datagram of 1 KB holds a table of their names' digests, TCP the whole set.
MAX_MEMBERS = 128
MAX_ID_LENGTH = 160  # characters of a record's id: a front's prefix and the longest play id
MAX_BATCH_BYTES = 900  # of items in one message, so that with the membership's header it fits one datagram
MAX_LISTED_IDS = 32  # ids in one page: some 5 KB of the longest
MAX_TRANSFER_BYTES = 64 * 1024  # of slots in one part of a transfer, which goes over TCP

RecordId = Annotated[str, Meta(min_length=1, max_length=MAX_ID_LENGTH)]
MemberId = Annotated[str, Meta(max_length=96)]  # of one run of one router: `Member.member_id`


class Member(msgspec.Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """One run of one router."""

    name: Name
    run: Number
    site: Annotated[str, Meta(max_length=64)] = ""

    @property
    def member_id(self) -> str:
        """NAME#RUN, the run in hexadecimal."""
        return f"{self.name}#{self.run:x}"


def name_of(member_id: str) -> str:
    """The router's name in a member id."""
    return member_id.partition("#")[0]


Members = Annotated[tuple[Member, ...], Meta(max_length=MAX_MEMBERS)]


class Hole(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Members of a replica set that never transferred what they held.

    Records with too many replicas among them are unknown, unless they were written in a later replica set.
    """

    number: Number
    members: Members
    missing: Annotated[tuple[MemberId, ...], Meta(max_length=MAX_MEMBERS)]


class ReplicaSet(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The routers among which each record's replicas are chosen, as one version of a lineage.

    `sources` are the members that have to transfer what they hold before this replica set votes.
    """

    lineage: Number
    number: Number
    members: Members
    # Of the members, when the replica set was formed.
    incarnations: Annotated[tuple[Number, ...], Meta(max_length=MAX_MEMBERS)]
    sources: Members = ()
    holes: Annotated[tuple[Hole, ...], Meta(max_length=16)] = ()


class RefusalReason(IntEnum):
    """Why a replica refused a request."""

    BALLOT = 0  # a higher one was promised
    LEASE = 1  # the owner's lease runs
    HOLE = 2  # the record may have been lost: it needs a prepare round, not a claim
    FULL = 3  # no slot is free
    REPLICA_SET = 4  # the replica does not vote in that replica set, or not yet


class Item(msgspec.Struct, array_like=True, frozen=True):
    """One of the items of a message."""

    pass


class Prepare(Item, tag=1, frozen=True):
    """To a replica: the first round for a record, see `register.prepare`."""

    id: RecordId
    ballot: Ballot


class Promised(Item, tag=2, frozen=True):
    """The answer to `Prepare`; `hole`: later values of the record may have been lost."""

    id: RecordId
    ballot: Ballot
    accepted: Ballot
    work: Work | None
    hole: bool = False


class Write(Item, tag=3, frozen=True):
    """To a replica: the value to accept."""

    id: RecordId
    ballot: Ballot
    work: Work
    is_claim: bool = False  # see `register.accept`
    deferrable: bool = False  # nobody waits for it: its answer may be sent together with others


class Written(Item, tag=4, frozen=True):
    """A replica accepted a write.

    It counts while `generation` is that of the proposer's lease at the replica: a later fence voids it.
    """

    id: RecordId
    ballot: Ballot
    generation: Number


class Refused(Item, tag=5, frozen=True):
    """A replica refused a prepare request or a write."""

    id: RecordId
    ballot: Ballot
    reason: RefusalReason
    promised: Ballot = (0, "", 0)
    owner: MemberId = ""
    lease_left_ms: float = 0.0


class LeaseRequest(Item, tag=6, frozen=True):
    """Asks for a lease, and announces the sender's replica set and state; sent to all members regularly."""

    seq: Number
    generation: Number  # of the receiver's leases to the sender, as far as the sender knows it
    votes: bool  # in its replica set
    earlier_run_known: bool  # others remember an earlier run of its name
    leaving: bool = False
    store_state: Annotated[int, Meta(ge=0, le=3)] = 0  # `persistence.StoreState`
    # Runs in its replica set that it represents.
    represented_runs: Annotated[tuple[MemberId, ...], Meta(max_length=16)] = ()


class LeaseGranted(Item, tag=7, frozen=True):
    """The lease that was requested with `seq` is granted."""

    seq: Number
    generation: Number
    record_count: Number  # records of the requesting owner that the granting replica holds


class LeaseLapsed(Item, tag=8, frozen=True):
    """No lease of that generation runs: what the owner counts as written here has to be written again."""

    seq: Number
    generation: Number


class ReplicaSetPrepare(Item, tag=9, frozen=True):
    """The first round of the vote on the next replica set; `number` is that of the present one."""

    number: Number
    ballot: Ballot


class ReplicaSetPromised(Item, tag=10, frozen=True):
    """The answer to `ReplicaSetPrepare`."""

    number: Number
    ballot: Ballot
    accepted: Ballot
    value: ReplicaSet | None


class ReplicaSetWrite(Item, tag=11, frozen=True):
    """The second round of the vote: the replica set to accept."""

    number: Number
    ballot: Ballot
    value: ReplicaSet


class ReplicaSetWritten(Item, tag=12, frozen=True):
    """The answer to `ReplicaSetWrite`."""

    number: Number
    ballot: Ballot


class ReplicaSetRefused(Item, tag=13, frozen=True):
    """A higher ballot was promised."""

    number: Number
    ballot: Ballot
    promised: Ballot


class ReplicaSetAnnouncement(Item, tag=14, frozen=True):
    """A replica set that has been decided."""

    replica_set: ReplicaSet


TransferredSlot = tuple[RecordId, Ballot, Ballot, Work | None]  # id, promised, accepted, work


class TransferPart(Item, tag=15, frozen=True):
    """A part of all that one replica holds for another, when a new replica set follows."""

    number: Number
    part: Number
    parts: Number
    slots: list[TransferredSlot]
    leases: list[tuple[MemberId, float]]  # the owner, and the rest of its lease in ms


class TransferAck(Item, tag=16, frozen=True):
    """The part has been received."""

    number: Number
    part: Number


class HandOverRequest(Item, tag=17, frozen=True):
    """To the record's owner: its viewer came to the sending router, which asks for the record.

    `body` describes the work that the viewer asks for; earlier versions leave it out, and ignore it.
    """

    id: RecordId
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)] = b""


class HandOver(Item, tag=18, frozen=True):
    """To the record's next owner: it may go on writing under this ballot."""

    id: RecordId
    ballot: Ballot
    work: Work


class HandOverRefused(Item, tag=19, frozen=True):
    """The record is not handed over.

    `set_up_pending`: its set-up is under way, ask again later; otherwise the sender does not own it.
    `conflict`: the record is of other work than was asked for; earlier versions leave it out.
    """

    id: RecordId
    set_up_pending: bool
    conflict: bool = False


class HandOverAck(Item, tag=20, frozen=True):
    """The next owner has the record."""

    id: RecordId
    ballot: Ballot


class LeaseNotGranted(Item, tag=23, frozen=True):
    """The lease request was received, but the receiver does not vote now and grants no leases."""

    seq: Number


class Withdraw(Item, tag=24, frozen=True):
    """A claim that not all replicas accepted is given up: the replica removes its value."""

    id: RecordId
    ballot: Ballot


class OwnedRecordsQuery(Item, tag=21, frozen=True):
    """Asks for the ids, above `after`, of the sender's records that the receiver holds."""

    after: Annotated[str, Meta(max_length=MAX_ID_LENGTH)]


class OwnedRecordsPage(Item, tag=22, frozen=True):
    """The answer to `OwnedRecordsQuery`; `last`: there are no more."""

    ids: Annotated[list[RecordId], Meta(max_length=MAX_LISTED_IDS)]
    last: bool


class StoreClaim(Item, tag=25, frozen=True):
    """The mark of the sender's store: asks whether the receiver has received a later one from it."""

    generation: Number
    position: Number


class StoreClaimAnswer(Item, tag=26, frozen=True):
    """The answer to a claim, or to a mark of an earlier generation than one received before.

    `allows`: no mark after `generation` and `position` was received; the other two are the latest received.
    """

    generation: Number
    position: Number
    allows: bool
    latest_generation: Number
    latest_position: Number


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
    """The sender's replica set, its items, and the mark of its store, (0, 0) where it has none."""

    lineage: Number
    number: Number
    items: Annotated[list[Items], Meta(max_length=1024)]
    generation: Number = 0
    position: Number = 0


class EncodedMessage(msgspec.Struct, array_like=True, frozen=True):
    """A `Message` whose items are encoded already."""

    lineage: int
    number: int
    items: list[msgspec.Raw]
    generation: int = 0
    position: int = 0


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def pack(item: object) -> msgspec.Raw:
    """An encoded item, for `encode`."""
    return msgspec.Raw(_encoder.encode(item))


def encode(lineage: int, number: int, items: list[msgspec.Raw], mark: tuple[int, int] = (0, 0)) -> bytes:
    """The encoded message; `mark`: generation and position of the sender's store."""
    return _encoder.encode(EncodedMessage(lineage, number, items, *mark))


def size(item: object) -> int:
    """Bytes of the encoded item."""
    return len(_encoder.encode(item))


def batches(items: Iterable[T], size: Callable[[T], int], max_bytes: int) -> Iterator[list[T]]:
    """The items in order, in batches of at most `max_bytes`; a larger item is a batch of its own."""
    batch: list[T] = []
    bytes_left = max_bytes
    for item in items:
        item_bytes = size(item)
        if batch and item_bytes > bytes_left:
            yield batch
            batch, bytes_left = [], max_bytes
        batch.append(item)
        bytes_left -= item_bytes
    if batch:
        yield batch


def decode(data: bytes) -> Message:
    """Raises MessageError for a body that is not a valid message."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MessageError("malformed", f"body is not a valid message: {error}") from None
