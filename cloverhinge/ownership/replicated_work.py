"""The part of a record that fronts define: what a successor needs to continue a session."""

from __future__ import annotations

import hashlib

import msgspec

from cloverhinge.core.model import SetUpRequest
from cloverhinge.ownership.register import Work

DIGEST_BYTES = 16


class ReplicatedSession(msgspec.Struct, array_like=True):
    """The replicated description of a session.  It is encoded by position, so new fields go to the end."""

    class_name: str
    title: str
    viewer_id: str  # the player's play id, or the viewer's id
    session_id: str = ""  # as its media server knows it
    server: int = -1  # its media server; -1: none yet
    rung: int | None = None
    first_cell: int = 0
    copies: int = 0
    ceiling: int = 0
    length_ms: float = 0.0
    peer_address: str = ""
    answer: bytes = b""
    description_digest: bytes = b""  # of the description that the viewer sent; empty where it is not known

    def set_up_request(self, record_id: str = "") -> SetUpRequest:
        """The set-up request of the session, for a front that continues it."""
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
    """The session that the record describes; None where a version with other fields wrote it."""
    return _decode_body(work.body)


def _decode_body(body: bytes) -> ReplicatedSession | None:
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError:
        return None


def digest_of(description: bytes) -> bytes:
    """The digest by which descriptions are compared; empty for an empty one."""
    return hashlib.sha256(description).digest()[:DIGEST_BYTES] if description else b""


def describe(set_up: SetUpRequest) -> ReplicatedSession:
    """The replicated description of a set-up request, without what a media server has made of it."""
    return ReplicatedSession(
        set_up.class_name,
        set_up.title,
        set_up.viewer_id,
        first_cell=set_up.first_cell,
        copies=set_up.copies,
        ceiling=set_up.ceiling,
        length_ms=set_up.length_ms,
        peer_address=set_up.peer_address,
        description_digest=digest_of(set_up.body),
    )


def is_same_work(body: bytes, other: bytes) -> bool:
    """Whether two records' bodies describe the same work, as far as both tell."""
    first, second = _decode_body(body), _decode_body(other)
    if first is None or second is None:
        return True
    same_digest = (
        not first.description_digest
        or not second.description_digest
        or first.description_digest == second.description_digest
    )
    return same_digest and (first.class_name, first.title, first.viewer_id) == (
        second.class_name,
        second.title,
        second.viewer_id,
    )
