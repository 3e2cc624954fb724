"""How the files of operation are read."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")


def read(data: bytes, form: type[T], most: int, what: str) -> T:
    """The file's content.  ValueError, in one plain sentence, where it is longer than `most` bytes or no
    `what`."""
    if len(data) > most:
        raise ValueError(f"holds {len(data)} bytes, {most} at most")
    try:
        return msgspec.json.decode(data, type=form)
    except msgspec.MsgspecError as error:
        raise ValueError(f"is no {what}: {error}") from None
