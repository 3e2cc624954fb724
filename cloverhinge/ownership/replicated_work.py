"""What a successor has to know of a piece of work, as the keepers hold it."""

from __future__ import annotations

import msgspec

from cloverhinge.core.model import SetUpRequest
from cloverhinge.ownership.register import Work


class ReplicatedSession(msgspec.Struct, array_like=True):
    class_name: str
    title: str
    viewer_id: str  # the player's play id, or the viewer
    session_id: str = ""  # the session's, as its box knows it
    server: int = -1  # its box; -1: none yet
    rung: int | None = None
    first_cell: int = 0
    copies: int = 0
    ceiling: int = 0
    length_ms: float = 0.0
    peer_address: str = ""
    answer: bytes = b""

    def set_up_request(self, record_id: str = "") -> SetUpRequest:
        """What its viewer asked for, as a front that goes on with it tells the core."""
        return SetUpRequest(
            self.session_id,
            self.class_name,
            self.title,
            self.first_cell,
            self.copies,
            self.ceiling,
            0.0,
            length_ms=self.length_ms,
            viewer_id=self.viewer_id,
            peer_address=self.peer_address,
            record_id=record_id,
        )


encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[ReplicatedSession] = msgspec.msgpack.Decoder(ReplicatedSession)


def decode(work: Work) -> ReplicatedSession | None:
    """None where another version wrote it, which keeps other things."""
    try:
        return _decoder.decode(work.body)
    except msgspec.MsgspecError:
        return None
