"""The format of the stored rows: a checksum for each row, and one over all, updated at each change.  Pure."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

from cloverhinge.store.proof import Mark

FORMAT_VERSION = 1  # of the folder; a folder of another version is neither read nor written
MAX_KEY_LENGTH = 256  # characters
MAX_VALUE_BYTES = 256 * 1024  # a replica set of 128 members, its successor and 16 holes
MAX_ROWS = 131_072  # twice the records that a replica holds
CHECKSUM_MODULUS = 1 << 62  # msgspec bounds integers within 64 signed bits

Rows = Mapping[str, bytes | None]  # by key; None: remove the row


class Head(msgspec.Struct, array_like=True, frozen=True):
    """Describes the whole folder, and is written with each commit.  It is encoded by position.

    Fields that a later version adds are ignored, so that its format can be read.
    """

    format: Annotated[int, Meta(ge=1)]
    owner: Annotated[str, Meta(max_length=MAX_KEY_LENGTH)]
    generation: Annotated[int, Meta(ge=1)]
    position: Annotated[int, Meta(ge=0)]
    row_count: Annotated[int, Meta(ge=0, le=MAX_ROWS)]
    checksum: Annotated[int, Meta(ge=0, lt=CHECKSUM_MODULUS)]

    @property
    def mark(self) -> Mark:
        """The mark of the last commit."""
        return Mark(self.generation, self.position)


def row_checksum(key: str, value: bytes) -> int:
    """A checksum of 62 bits; a flipped bit in key or value changes half of them on average."""
    digest = hashlib.blake2b(key.encode() + b"\0" + value, digest_size=8).digest()
    return int.from_bytes(digest, "big") % CHECKSUM_MODULUS


def row_checksums(rows: Iterable[tuple[object, object]]) -> dict[str, int]:
    """The checksum of each row, by its key.  Raises ValueError for a row that is not text and bytes."""
    checksums: dict[str, int] = {}
    for key, value in rows:
        if not isinstance(key, str) or not isinstance(value, bytes):
            raise ValueError("a row is damaged")
        checksums[key] = row_checksum(key, value)
    return checksums


def total_checksum(checksums: Iterable[int]) -> int:
    """The sum over all rows, in any order: a row that is missing or there twice changes it."""
    return sum(checksums) % CHECKSUM_MODULUS


def apply_changes(head: Head, checksums: Mapping[str, int], rows: Rows) -> tuple[Head, dict[str, int | None]]:
    """The head after a commit of `rows`, and the checksums that change; `checksums` are the present ones.

    Raises ValueError where a key, a value or the number of rows is over its limit.
    """
    count, checksum_sum, changed = head.row_count, head.checksum, dict[str, int | None]()
    for key, value in rows.items():
        if len(key) > MAX_KEY_LENGTH or value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"{key[:40]}: a row of more than {MAX_VALUE_BYTES} bytes, or a key over {MAX_KEY_LENGTH}"
            )
        old = checksums.get(key)
        new = None if value is None else row_checksum(key, value)
        count += (new is not None) - (old is not None)
        checksum_sum += (new or 0) - (old or 0)
        changed[key] = new
    if count > MAX_ROWS:
        raise ValueError(f"more than {MAX_ROWS} rows")
    new_head = msgspec.structs.replace(
        head, position=head.position + 1, row_count=count, checksum=checksum_sum % CHECKSUM_MODULUS
    )
    return new_head, changed


def encode_head(head: Head) -> bytes:
    """The head with a checksum of its own."""
    body = msgspec.msgpack.encode(head)
    return body + row_checksum("", body).to_bytes(8, "big")


def decode_head(data: object) -> Head:
    """Raises ValueError for a head that is damaged, or that this version can't read."""
    if not isinstance(data, bytes):
        raise ValueError("its head is damaged")
    body, checksum = data[:-8], data[-8:]
    if row_checksum("", body).to_bytes(8, "big") != checksum:
        raise ValueError("its head is damaged")
    try:
        return msgspec.msgpack.decode(body, type=Head)
    except msgspec.MsgspecError as error:
        raise ValueError(f"its head can't be read: {error}") from None
