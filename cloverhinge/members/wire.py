"""Wire format of the membership protocol: msgpack bodies authenticated with HMAC-SHA256.

The tag is truncated to 128 bits (RFC 2104).  A signed message consists of MAGIC, one byte of
protocol version, the tag over version and body, and the body.  This module does no I/O.
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
TAG_BYTES = 16  # RFC 2104 allows half of the digest; a forged tag is accepted with probability 2^-128
HEADER_BYTES = len(MAGIC) + 1 + TAG_BYTES
MAX_DATAGRAM_BYTES = 1200  # signed; fits a packet on any path (the minimum IPv6 MTU of 1280 less headers)
MAX_FRAME_BYTES = 1 << 20  # one message over TCP: 1,024 records of 1 KB each
MAX_FACTS_BYTES = 512  # the encoded facts that a member publishes
MAX_NAME_LENGTH = 64  # characters, as for names in the site file

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Number = Annotated[int, Meta(ge=0)]  # msgpack encodes up to 64 bits
Host = Annotated[str, Meta(max_length=64)]
Names = Annotated[tuple[Name, ...], Meta(max_length=64)]


class State(IntEnum):
    """State of a member, in the order in which one state can follow another within an incarnation."""

    ALIVE, DEAD, LEFT = 0, 1, 2


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The published state of one member.

    `run` is drawn at random at each start of the process; `number` only increases within an incarnation.
    """

    name: Name
    incarnation: Number
    run: Number
    state: State
    number: Number
    host: Host
    port: Annotated[int, Meta(ge=1, lt=65536)]
    site: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""
    facts: Annotated[bytes, Meta(max_length=MAX_FACTS_BYTES)] = b""
    reachable: Names = ()  # monitored members that it currently exchanges messages with in both directions
    refused: Names = ()  # monitored members whose address refuses connections from this member
    state_reason: Annotated[str, Meta(max_length=256)] = ""  # who declared it dead and why, or why it left

    @property
    def address(self) -> tuple[str, int]:
        """Host and port at which the member can be contacted."""
        return self.host, self.port


Records = Annotated[list[Record], Meta(max_length=1024)]


class Message(msgspec.Struct, array_like=True, kw_only=True):
    """Header of every message: from run `run` of `sender` to the run `to_run` (0: any run at that address).

    `number` increases with each message that the run sends.
    """

    sender: Name = ""
    run: Number = 0
    to_run: Number = 0
    number: Number = 0


class Ping(Message, tag=1, kw_only=True):
    """Probes a monitored member; `digest` identifies the sender's view."""

    digest: Number = 0
    records: Records = []


class Ack(Message, tag=2, kw_only=True):
    """Answers the ping with the number `ping_number`."""

    ping_number: Number = 0
    digest: Number = 0
    records: Records = []


class DiscoverRequest(Message, tag=3, kw_only=True):
    """Asks whoever listens at an address for its own record and for the record that it has of the sender.

    Receiving one changes no state.
    """

    nonce: Number = 0
    host: Host = ""
    port: Annotated[int, Meta(ge=0, lt=65536)] = 0


class DiscoverReply(Message, tag=4, kw_only=True):
    """Answers the `DiscoverRequest` with the same nonce; carries no records if the sender has not joined."""

    nonce: Number = 0
    joined: bool = False
    own: Record | None = None
    about_receiver: Record | None = None


class SyncRequest(Message, tag=5, kw_only=True):
    """Asks for all records that are newer than the listed `versions`.

    The list covers the names from `first` up to but excluding `last` ("": no upper bound), each with
    incarnation, state and number.
    """

    reply_number: Number = 0  # the DiscoverReply that led to it, if any: it proves that both directions work
    first: str = ""
    last: str = ""
    versions: Annotated[list[tuple[str, Number, State, Number]], Meta(max_length=1024)] = []
    records: Records = []


class Update(Message, tag=6, kw_only=True):
    """Passes records on, and asks for the records of the names in `wanted`."""

    records: Records = []
    wanted: Annotated[tuple[str, ...], Meta(max_length=1024)] = ()


class WrongRun(Message, tag=7, kw_only=True):
    """Answers the message `message_number`, which was addressed to a run that is not at this address."""

    message_number: Number = 0


class ComponentMessage(Message, tag=8, kw_only=True):
    """Carries the payload of a component built on membership to the same component of another router."""

    component: Name = ""
    body: bytes = b""


AnyMessage = Ping | Ack | DiscoverRequest | DiscoverReply | SyncRequest | Update | WrongRun | ComponentMessage

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


class MessageError(ValueError):
    """A message was rejected; the text says why, and `kind` names the counter of such rejections."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind


def encode(message: Message) -> bytes:
    """Returns the msgpack body, not yet signed."""
    return _encoder.encode(message)


def decode(body: bytes) -> AnyMessage:
    """Decodes a verified body; raises MessageError if it is malformed or violates a bound."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MessageError("malformed", f"it cannot be decoded: {error}") from None


class Authenticator:
    """Signs with the first key and accepts signatures of any key: two while a key is being replaced."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self.keys = keys

    def sign(self, body: bytes) -> bytes:
        """Returns the body with magic, version and tag in front."""
        head = bytes((VERSION,))
        return MAGIC + head + self._tag(self.keys[0], head + body) + body

    def verify(self, signed_message: bytes) -> bytes:
        """Returns the body; raises MessageError if the message was not signed for this installation."""
        if len(signed_message) < HEADER_BYTES or not signed_message.startswith(MAGIC):
            raise MessageError("malformed", "it is not a message of a member")
        version, tag, body = signed_message[2], signed_message[3:HEADER_BYTES], signed_message[HEADER_BYTES:]
        if version != VERSION:
            raise MessageError(
                "version", f"it uses protocol version {version}, this router uses version {VERSION}"
            )
        signed_part = signed_message[2:3] + body
        if not any([hmac.compare_digest(self._tag(key, signed_part), tag) for key in self.keys]):
            raise MessageError("key", "its signature matches no key of this installation")
        return body

    @staticmethod
    def _tag(key: bytes, signed_part: bytes) -> bytes:
        return hmac.digest(key, signed_part, hashlib.sha256)[:TAG_BYTES]


class ReplayWindow:
    """Sliding anti-replay window over the message numbers of one run (as in RFC 4303)."""

    SPAN = 1024  # numbers, about 15 s of a member's messages; anything older is rejected

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest, self.seen = 0, 0

    def accept(self, number: int) -> bool:
        """Marks the number as seen; False if it was seen before or is older than the window."""
        if number > self.highest:
            self.seen = (self.seen << min(number - self.highest, self.SPAN) | 1) & ((1 << self.SPAN) - 1)
            self.highest = number
            return True
        age = self.highest - number
        if age >= self.SPAN or self.seen >> age & 1:
            return False
        self.seen |= 1 << age
        return True
