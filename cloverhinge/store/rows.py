"""The form of what is stored: a check for each row, and one over all that follows each change.  Pure."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

from cloverhinge.store.proof import Mark

FORMAT_VERSION = 1  # of the folder; another one's contents are neither read nor written
MAX_KEY_LENGTH = 256  # characters
MAX_VALUE_BYTES = 256 * 1024  # bytes: a roster of 128 members, its successor and 16 holes
MAX_ROWS = 131_072  # twice the records that a keeper holds
CHECKSUM_MODULUS = 1 << 62  # of checks: msgspec bounds integers within 64 signed bits

Rows = Mapping[str, bytes | None]  # what is put, or (None) taken away


class Head(msgspec.Struct, array_like=True, frozen=True):
    """Of the whole folder, written with each commit.  What a later version adds is passed over, so that its
    format is seen."""

    format: Annotated[int, Meta(ge=1)]
    owner: Annotated[str, Meta(max_length=MAX_KEY_LENGTH)]
    generation: Annotated[int, Meta(ge=1)]
    position: Annotated[int, Meta(ge=0)]
    row_count: Annotated[int, Meta(ge=0, le=MAX_ROWS)]
    checksum: Annotated[int, Meta(ge=0, lt=CHECKSUM_MODULUS)]

    @property
    def mark(self) -> Mark:
        return Mark(self.generation, self.position)


def row_checksum(key: str, value: bytes) -> int:
    """62 bits of a row; a flipped bit in key or value changes half of them."""
    digest = hashlib.blake2b(key.encode() + b"\0" + value, digest_size=8).digest()
    return int.from_bytes(digest, "big") % CHECKSUM_MODULUS


def row_checksums(rows: Iterable[tuple[object, object]]) -> dict[str, int]:
    """Of each row by its key.  Raises ValueError for what is no row."""
    found: dict[str, int] = {}
    for key, value in rows:
        if not isinstance(key, str) or not isinstance(value, bytes):
            raise ValueError("a row is damaged")
        found[key] = row_checksum(key, value)
    return found


def total_checksum(checks: Iterable[int]) -> int:
    """The sum over all rows, whatever their order: one that is missing or there twice changes it."""
    return sum(checks) % CHECKSUM_MODULUS


def apply_changes(head: Head, held: Mapping[str, int], rows: Rows) -> tuple[Head, dict[str, int | None]]:
    """The head after a commit of `rows`, and the checks that change; `held` are those of now.

    Raises ValueError where a row or their number is over its bound.
    """
    count, amount, checks = head.row_count, head.checksum, dict[str, int | None]()
    for key, value in rows.items():
        if len(key) > MAX_KEY_LENGTH or value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"{key[:40]}: a row of more than {MAX_VALUE_BYTES} bytes, or a key over {MAX_KEY_LENGTH}"
            )
        was = held.get(key)
        now = None if value is None else row_checksum(key, value)
        count += (now is not None) - (was is not None)
        amount += (now or 0) - (was or 0)
        checks[key] = now
    if count > MAX_ROWS:
        raise ValueError(f"more than {MAX_ROWS} rows")
    after = msgspec.structs.replace(
        head, position=head.position + 1, row_count=count, checksum=amount % CHECKSUM_MODULUS
    )
    return after, checks


def encode_head(head: Head) -> bytes:
    body = msgspec.msgpack.encode(head)
    return body + row_checksum("", body).to_bytes(8, "big")


def decode_head(told: object) -> Head:
    """Raises ValueError: damaged, or of a form that is not known here."""
    if not isinstance(told, bytes):
        raise ValueError("its head is damaged")
    body, sum = told[:-8], told[-8:]
    if row_checksum("", body).to_bytes(8, "big") != sum:
        raise ValueError("its head is damaged")
    try:
        return msgspec.msgpack.decode(body, type=Head)
    except msgspec.MsgspecError as error:
        raise ValueError(f"its head can't be read: {error}") from None
