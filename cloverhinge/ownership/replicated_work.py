"""What a successor has to know of a piece of work, as the keepers hold it."""

from __future__ import annotations

import msgspec

from cloverhinge.core.model import SetUpRequest
from cloverhinge.ownership.register import Work


class Kept(msgspec.Struct, array_like=True):
    class_name: str
    title: str
    key: str  # the player's play id, or the viewer
    name: str = ""  # the session's, as its box knows it
    server: int = -1  # its box; -1: none yet
    rung: int | None = None
    first_cell: int = 0
    copies: int = 0
    ceiling: int = 0
    length_ms: float = 0.0
    peer: str = ""
    answer: bytes = b""

    def ask(self, record: str = "") -> SetUpRequest:
        """What its viewer asked for, as a front that goes on with it tells the core."""
        return SetUpRequest(
            self.name,
            self.class_name,
            self.title,
            self.first_cell,
            self.copies,
            self.ceiling,
            0.0,
            length_ms=self.length_ms,
            viewer_id=self.key,
            peer_address=self.peer,
            record_id=record,
        )


encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Kept] = msgspec.msgpack.Decoder(Kept)


def read(work: Work) -> Kept | None:
    """None where another version wrote it, which keeps other things."""
    try:
        return _decoder.decode(work.body)
    except msgspec.MsgspecError:
        return None
