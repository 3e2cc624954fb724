"""What routers say to each other about work in hand: msgpack by msgspec, carried by the members' messages."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from cloverhinge.members.wire import Bad, Name, Number
from cloverhinge.ownership.register import Ballot, Work

T = TypeVar("T")

MEMBERS_MOST = 128  # routers in a roster: one datagram of 1 KB holds a table of their names' digests, TCP all
ID_MOST = 160  # characters of a record's id: a front's letter and the longest play id
BATCH_BYTES = 900  # of items in one message, so that with the members' head it stays one datagram
MINE_MOST = 32  # ids in an answer: with the longest still some 5 KB
TELL_BYTES = 64 * 1024  # of slots in one part of a transfer: goes over TCP

Id = Annotated[str, Meta(min_length=1, max_length=ID_MOST)]
Who = Annotated[str, Meta(max_length=96)]  # one run of one router: `Member.who`


class Member(msgspec.Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    name: Name
    run: Number
    site: Annotated[str, Meta(max_length=64)] = ""

    @property
    def who(self) -> str:
        return f"{self.name}#{self.run:x}"


def name_of(who: str) -> str:
    return who.partition("#")[0]


Members = Annotated[tuple[Member, ...], Meta(max_length=MEMBERS_MOST)]


class Hole(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Members of a roster who never told what they held: records with too many keepers among them are
    unknown, unless they were written in a later one."""

    number: Number
    members: Members
    missing: Annotated[tuple[Who, ...], Meta(max_length=MEMBERS_MOST)]


class Roster(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Whose majority keeps records.  `sources` are those who have to tell what they hold before it votes."""

    lineage: Number
    number: Number
    members: Members
    born: Annotated[tuple[Number, ...], Meta(max_length=MEMBERS_MOST)]  # incarnations that they had then
    sources: Members = ()
    holes: Annotated[tuple[Hole, ...], Meta(max_length=16)] = ()


class Why(IntEnum):
    BALLOT = 0  # a higher one was promised
    LEASE = 1  # the owner's lease runs
    HOLE = 2  # the record may have been lost: ask, don't claim
    FULL = 3
    ROSTER = 4  # this keeper does not vote in that roster, or not yet


class Item(msgspec.Struct, array_like=True, frozen=True):
    pass


class Prepare(Item, tag=1, frozen=True):
    id: Id
    ballot: Ballot


class Promised(Item, tag=2, frozen=True):
    id: Id
    ballot: Ballot
    accepted: Ballot
    work: Work | None
    hole: bool = False


class Write(Item, tag=3, frozen=True):
    id: Id
    ballot: Ballot
    work: Work
    new: bool = False  # see `register.accept`
    soon: bool = False  # nobody waits for it: its answer may travel with others


class Written(Item, tag=4, frozen=True):
    """Counts while `generation` is that of the asker's lease here: a fence since then voids it."""

    id: Id
    ballot: Ballot
    generation: Number


class Refused(Item, tag=5, frozen=True):
    id: Id
    ballot: Ballot
    why: Why
    promised: Ballot = (0, "", 0)
    owner: Who = ""
    left_ms: float = 0.0


class Hi(Item, tag=6, frozen=True):
    """Asks for a lease, and tells which roster holds here; sent to all at a pace."""

    seq: Number
    generation: Number  # of the asked one's leases for this router, as far as it is known
    active: bool  # votes in its roster
    lived: bool  # others remember an earlier run of its name
    leaving: bool = False
    stands: Annotated[int, Meta(ge=0, le=3)] = 0  # `recall.Stands`
    lives: Annotated[tuple[Who, ...], Meta(max_length=16)] = ()  # runs in its roster that it speaks for


class Granted(Item, tag=7, frozen=True):
    of: Number
    generation: Number
    owned: Number  # records of the asker's that are kept here


class Lapsed(Item, tag=8, frozen=True):
    """No lease for that generation: what was counted as written here has to be written again."""

    of: Number
    generation: Number


class RosterAsk(Item, tag=9, frozen=True):
    """`number` is the roster whose members are asked for the next one."""

    number: Number
    ballot: Ballot


class RosterPromised(Item, tag=10, frozen=True):
    number: Number
    ballot: Ballot
    accepted: Ballot
    value: Roster | None


class RosterWrite(Item, tag=11, frozen=True):
    number: Number
    ballot: Ballot
    value: Roster


class RosterWritten(Item, tag=12, frozen=True):
    number: Number
    ballot: Ballot


class RosterRefused(Item, tag=13, frozen=True):
    number: Number
    ballot: Ballot
    promised: Ballot


class Known(Item, tag=14, frozen=True):
    roster: Roster


Told = tuple[Id, Ballot, Ballot, Work | None]  # id, promised, accepted, work


class Tell(Item, tag=15, frozen=True):
    """A part of all that one keeper holds for another, when a roster follows another."""

    number: Number
    part: Number
    parts: Number
    slots: list[Told]
    leases: list[tuple[Who, float]]  # whose, and for how many ms more


class Heard(Item, tag=16, frozen=True):
    number: Number
    part: Number


class GiveMe(Item, tag=17, frozen=True):
    """A viewer of this record's came here: hand it over."""

    id: Id


class Given(Item, tag=18, frozen=True):
    id: Id
    ballot: Ballot
    work: Work


class NotGiven(Item, tag=19, frozen=True):
    """`open`: its set-up is under way, ask again; otherwise it is not here."""

    id: Id
    open: bool


class Thanks(Item, tag=20, frozen=True):
    id: Id
    ballot: Ballot


class Seen(Item, tag=23, frozen=True):
    """Heard, and no lease: this one does not vote now."""

    of: Number


class Withdraw(Item, tag=24, frozen=True):
    """A claim that not all have taken, and that is given up: as if it had not been taken here."""

    id: Id
    ballot: Ballot


class Mine(Item, tag=21, frozen=True):
    """Which records of mine do you keep, by id after this one?"""

    after: Annotated[str, Meta(max_length=ID_MOST)]


class Yours(Item, tag=22, frozen=True):
    ids: Annotated[list[Id], Meta(max_length=MINE_MOST)]
    last: bool


class Claim(Item, tag=25, frozen=True):
    """My store shows this mark: have you heard a later one?"""

    generation: Number
    position: Number


class Word(Item, tag=26, frozen=True):
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
    | Hi
    | Granted
    | Lapsed
    | RosterAsk
    | RosterPromised
    | RosterWrite
    | RosterWritten
    | RosterRefused
    | Known
    | Tell
    | Heard
    | GiveMe
    | Given
    | NotGiven
    | Thanks
    | Mine
    | Yours
    | Seen
    | Withdraw
    | Claim
    | Word
)


class Body(msgspec.Struct, array_like=True, frozen=True):
    """The sender's roster, what it says, and its store's mark, where it has one."""

    lineage: Number
    number: Number
    items: Annotated[list[Items], Meta(max_length=1024)]
    generation: Number = 0
    position: Number = 0


class Packed(msgspec.Struct, array_like=True, frozen=True):
    """A body whose items are encoded already."""

    lineage: int
    number: int
    items: list[msgspec.Raw]
    generation: int = 0
    position: int = 0


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)


def pack(item: object) -> msgspec.Raw:
    return msgspec.Raw(_encoder.encode(item))


def encode(lineage: int, number: int, items: list[msgspec.Raw], mark: tuple[int, int] = (0, 0)) -> bytes:
    return _encoder.encode(Packed(lineage, number, items, *mark))


def size(item: object) -> int:
    return len(_encoder.encode(item))


def batches(items: Iterable[T], size: Callable[[T], int], most: int) -> Iterator[list[T]]:
    """In order, each of `most` bytes at the most; one that is larger goes alone."""
    batch: list[T] = []
    room = most
    for item in items:
        taken = size(item)
        if batch and taken > room:
            yield batch
            batch, room = [], most
        batch.append(item)
        room -= taken
    if batch:
        yield batch


def decode(told: bytes) -> Body:
    """Raises Bad."""
    try:
        return _decoder.decode(told)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Bad("malformed", f"it can't be read: {error}") from None
