"""Decoding of the JSON files of operations."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode_json_file(data: bytes, form: type[T], max_bytes: int, description: str) -> T:
    """Decode a JSON file into `form`.

    Raises ValueError with a one-sentence message if `data` is longer than `max_bytes` or does not fit `form`;
    `description` says in that message what the file should have been.
    """
    if len(data) > max_bytes:
        raise ValueError(f"is {len(data)} bytes long, at most {max_bytes} are allowed")
    try:
        return msgspec.json.decode(data, type=form)
    except msgspec.MsgspecError as error:
        raise ValueError(f"is not a valid {description}: {error}") from None
