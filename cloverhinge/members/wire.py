"""What members say to each other: msgpack by msgspec, sealed with HMAC-SHA256 (RFC 2104, cut to 128 bits).

A sealed message is MARK, one byte of version, the tag over version and body, and the body.  Pure.
"""

from __future__ import annotations

import hashlib
import hmac
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

MAGIC = b"CH"
VERSION = 1
TAG_BYTES = 16  # bytes: RFC 2104 allows half of the digest, and 2^-128 is enough for a forger
HEADER_BYTES = len(MAGIC) + 1 + TAG_BYTES
MAX_DATAGRAM_BYTES = 1200  # bytes, sealed: fits any path's packet (IPv6's least MTU of 1280 less headers)
MAX_FRAME_BYTES = 1 << 20  # bytes over TCP: 1,024 records of 1 KB each
MAX_FACTS_BYTES = 512  # bytes of a member's published facts
MAX_NAME_LENGTH = 64  # characters, as the site file's names

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Number = Annotated[int, Meta(ge=0)]  # msgpack holds 64 bits
Host = Annotated[str, Meta(max_length=64)]
Names = Annotated[tuple[Name, ...], Meta(max_length=64)]


class State(IntEnum):
    """Of a member, in the order in which one follows another within an incarnation."""

    ALIVE, DEAD, LEFT = 0, 1, 2


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What is told of a member.  `run` is drawn at each start; `number` only grows in an incarnation."""

    name: Name
    incarnation: Number
    run: Number
    state: State
    number: Number
    host: Host
    port: Annotated[int, Meta(ge=1, lt=65536)]
    site: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""
    facts: Annotated[bytes, Meta(max_length=MAX_FACTS_BYTES)] = b""
    reachable: Names = ()  # members that it has heard both ways of late
    refused: Names = ()  # members whose address refuses its connections
    state_reason: Annotated[str, Meta(max_length=256)] = ""  # who said that it is dead, and why

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port


Records = Annotated[list[Record], Meta(max_length=1024)]


class Message(msgspec.Struct, array_like=True, kw_only=True):
    """`sender` in its `run` says it to the run `to` (0: to whoever is there); `number` grows with each."""

    sender: Name = ""
    run: Number = 0
    to_run: Number = 0
    number: Number = 0


class Ping(Message, tag=1, kw_only=True):
    digest: Number = 0
    records: Records = []


class Ack(Message, tag=2, kw_only=True):
    ping_number: Number = 0  # the ping's number
    digest: Number = 0
    records: Records = []


class DiscoverRequest(Message, tag=3, kw_only=True):
    """Whoever is there: who are you, and what do you hold of me?  Changes nothing where it comes."""

    nonce: Number = 0
    host: Host = ""
    port: Annotated[int, Meta(ge=0, lt=65536)] = 0


class DiscoverReply(Message, tag=4, kw_only=True):
    nonce: Number = 0
    joined: bool = False
    own: Record | None = None
    about_receiver: Record | None = None


class SyncRequest(Message, tag=5, kw_only=True):
    """What do you have that is newer?  `have` covers the names from `first` to `last` ("": no end)."""

    reply_number: Number = 0  # the welcome that it follows, if it does: then both directions are proven
    first: str = ""
    last: str = ""
    versions: Annotated[list[tuple[str, Number, State, Number]], Meta(max_length=1024)] = []
    records: Records = []


class Update(Message, tag=6, kw_only=True):
    records: Records = []
    wanted: Annotated[tuple[str, ...], Meta(max_length=1024)] = ()


class WrongRun(Message, tag=7, kw_only=True):
    """What you sent with the number `of` was for a run that is not here."""

    message_number: Number = 0


class ComponentMessage(Message, tag=8, kw_only=True):
    """What a part built on membership says to the same part of another."""

    component: Name = ""
    body: bytes = b""


AnyMessage = Ping | Ack | DiscoverRequest | DiscoverReply | SyncRequest | Update | WrongRun | ComponentMessage

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


class MessageError(ValueError):
    """One plain sentence on why a message is refused; `kind` names the sort for the counters."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def decode(body: bytes) -> AnyMessage:
    """Raises Bad."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MessageError("malformed", f"it can't be read: {error}") from None


class Authenticator:
    """Signs with the first key, and takes what any of the keys signed: two while a key is changed."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self.keys = keys

    def sign(self, body: bytes) -> bytes:
        head = bytes((VERSION,))
        return MAGIC + head + self._tag(self.keys[0], head + body) + body

    def verify(self, sealed: bytes) -> bytes:
        """The body; Bad where it is none of this installation's."""
        if len(sealed) < HEADER_BYTES or not sealed.startswith(MAGIC):
            raise MessageError("malformed", "it is no message of a member")
        version, tag, body = sealed[2], sealed[3:HEADER_BYTES], sealed[HEADER_BYTES:]
        if version != VERSION:
            raise MessageError(
                "version", f"it speaks version {version} of the members' wire, this router {VERSION}"
            )
        told = sealed[2:3] + body
        if not any([hmac.compare_digest(self._tag(key, told), tag) for key in self.keys]):
            raise MessageError("key", "it is signed with a key that this installation does not use")
        return body

    @staticmethod
    def _tag(key: bytes, told: bytes) -> bytes:
        return hmac.digest(key, told, hashlib.sha256)[:TAG_BYTES]


class ReplayWindow:
    """Which numbers of one run have been seen, so that none counts twice (as RFC 4303's anti-replay)."""

    SPAN = 1024  # numbers: some 15 s of a member's messages; later ones are refused as old

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest, self.seen = 0, 0

    def accept(self, number: int) -> bool:
        """Whether the number is new; it is not from then on."""
        if number > self.highest:
            self.seen = (self.seen << min(number - self.highest, self.SPAN) | 1) & ((1 << self.SPAN) - 1)
            self.highest = number
            return True
        back = self.highest - number
        if back >= self.SPAN or self.seen >> back & 1:
            return False
        self.seen |= 1 << back
        return True
