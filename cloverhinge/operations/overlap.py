"""Upgrade overlap: the state that processes under one router name publish, and how many share the load."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Literal

import msgspec

from cloverhinge.decision.upgrade_overlap import LearnedState
from cloverhinge.operations.file_formats import decode_json_file

MAX_STATE_BYTES = 512 * 1024  # of a state file
MAX_SHARING_PROCESSES = 2  # an old process and a new one; the platform holds back further ones


class Phase(Enum):
    """What a process does at the moment; the values are written to the state file."""

    STARTING = "starting"
    SERVING = "serving"
    ENDING = "ending"


class InstanceState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the state file that a process publishes while it runs."""

    form: Literal["router 1"]
    phase: Phase
    known: LearnedState


def encode(phase: Phase, known: LearnedState) -> bytes:
    """The content of a state file, as JSON."""
    return msgspec.json.encode(InstanceState("router 1", phase, known))


def decode(data: bytes) -> InstanceState:
    """The state in a state file.

    Raises ValueError with a one-sentence message if the file is malformed or longer than MAX_STATE_BYTES.
    """
    return decode_json_file(data, InstanceState, MAX_STATE_BYTES, "router state file")


def count_sharing_processes(own: Phase, others: Iterable[Phase]) -> int:
    """How many processes share the router's new sessions now, at least 1.

    Only serving processes count: one that is shutting down takes few more sessions, and one that is starting
    takes none.
    """
    serving = sum(1 for phase in (own, *others) if phase is Phase.SERVING)
    return max(1, min(serving, MAX_SHARING_PROCESSES))
