"""Two processes in one router's place: who is there, in which phase, and what each takes from the other."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Literal

import msgspec

from cloverhinge.decision.upgrade_overlap import LearnedState
from cloverhinge.operations.file_formats import decode_json_file

MAX_STATE_BYTES = 512 * 1024  # bytes of what a process tells
MAX_SHARING_PROCESSES = 2  # an old process and a new one; further ones wait their turn with the platform


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    ENDING = "ending"


class InstanceState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a process tells of itself while it lives."""

    form: Literal["router 1"]
    phase: Phase
    known: LearnedState


def encode(phase: Phase, known: LearnedState) -> bytes:
    return msgspec.json.encode(InstanceState("router 1", phase, known))


def decode(data: bytes) -> InstanceState:
    """ValueError, in one plain sentence, where it is none of ours."""
    return decode_json_file(data, InstanceState, MAX_STATE_BYTES, "word of a router on itself")


def count_sharing_processes(own: Phase, others: Iterable[Phase]) -> int:
    """How many processes share the router's new sessions now: one that is told to end takes few more, one
    that does not serve yet takes none."""
    serving = sum(1 for one in (own, *others) if one is Phase.SERVING)
    return max(1, min(serving, MAX_SHARING_PROCESSES))
