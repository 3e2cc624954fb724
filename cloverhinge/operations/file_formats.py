"""How the files of operation are read."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode_json_file(data: bytes, form: type[T], max_bytes: int, description: str) -> T:
    """The file's content.  ValueError, in one plain sentence, where it is longer than `most` bytes or no
    `what`."""
    if len(data) > max_bytes:
        raise ValueError(f"holds {len(data)} bytes, {max_bytes} at most")
    try:
        return msgspec.json.decode(data, type=form)
    except msgspec.MsgspecError as error:
        raise ValueError(f"is no {description}: {error}") from None
