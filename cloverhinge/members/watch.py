"""Which members monitor each other, and which of them are reachable.

Each member monitors up to K others: its successors on K rings onto which the names are hashed (as in Rapid).
A monitored member is directly reachable if it answers pings, which shows that both directions work.  Each
member publishes this, and a router follows these reports from member to member to find all that are reachable
from it, directly or through others.  Reports of members that are not reachable are ignored.  A single broken
link thus removes nobody, and all routers that can reach each other come to the same result.

This module does no I/O and rests on published algorithms only.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from functools import lru_cache

from cloverhinge.members.wire import Record

MAX_PENDING_PINGS = 16  # per member; an ack of an older ping is ignored: 6 s at the default interval
MIN_REFUSALS = 2  # consecutive refused connections that show a member is down; one may be a restart


@lru_cache(maxsize=16)
def watch_relations(
    names: tuple[str, ...], ring_count: int
) -> dict[str, tuple[frozenset[str], frozenset[str]]]:
    """Returns for each name those that it monitors and those that monitor it; `names` has to be sorted."""
    if len(names) <= ring_count + 1:
        every = frozenset(names)
        return {name: (every - {name}, every - {name}) for name in names}
    monitored: dict[str, set[str]] = {name: set() for name in names}
    observers: dict[str, set[str]] = {name: set() for name in names}
    for ring in range(ring_count):
        ring_order = sorted(names, key=lambda name: _ring_position(name, ring))
        for name, successor in zip(ring_order, [*ring_order[1:], ring_order[0]], strict=True):
            monitored[name].add(successor)
            observers[successor].add(name)
    return {name: (frozenset(monitored[name]), frozenset(observers[name])) for name in names}


@lru_cache(maxsize=16384)
def _ring_position(name: str, ring: int) -> bytes:
    return hashlib.blake2b(f"{ring} {name}".encode(), digest_size=8).digest()


def reachable_from(
    own: str, reachable: Iterable[str], records: Mapping[str, Record], names: Iterable[str]
) -> set[str]:
    """Returns all names reachable from `own`, which is included, directly or through other reachable members.

    `reachable` are the names that `own` reaches directly; those of the others are in their records.
    """
    unvisited, found = set(names) - {own}, {own}
    queue = [x for x in reachable if x in unvisited]
    while queue:
        name = queue.pop()
        if name in unvisited:
            unvisited.discard(name)
            found.add(name)
            queue += [x for x in records[name].reachable if x in unvisited]
    return found


class PeerMonitor:
    """What this router knows about one member that it monitors: pings, acks and refused connections."""

    __slots__ = (
        "pending_pings",
        "last_answered_sent_ms",
        "connecting",
        "next_connect_ms",
        "next_ping_ms",
        "refusals",
        "first_refusal_ms",
        "since_ms",
    )

    def __init__(self, now: float, first_ping_ms: float) -> None:
        self.since_ms = now
        self.last_answered_sent_ms: float | None = None  # when the last answered ping was sent
        self.next_ping_ms = first_ping_ms
        self.next_connect_ms = now
        self.pending_pings: OrderedDict[int, float] = OrderedDict()  # number: when it was sent
        self.connecting = False
        self.refusals = 0
        self.first_refusal_ms = 0.0  # of the first of the consecutive refusals

    def record_ping(self, number: int, now: float) -> None:
        """Notes that the ping `number` was sent; only the last MAX_PENDING_PINGS are remembered."""
        self.pending_pings[number] = now
        while len(self.pending_pings) > MAX_PENDING_PINGS:
            self.pending_pings.popitem(last=False)

    def record_answer(self, sent_ms: float) -> None:
        """Notes the answer to a ping sent at `sent_ms`.

        It proves only that the member was alive at some time after that.
        """
        if self.last_answered_sent_ms is None or sent_ms > self.last_answered_sent_ms:
            self.last_answered_sent_ms = sent_ms
        if sent_ms >= self.first_refusal_ms:
            self.refusals = 0

    def record_refusal(self, now: float) -> None:
        """Notes that the member's address refused a connection."""
        if self.refusals == 0:
            self.first_refusal_ms = now
        self.refusals += 1

    def silent_ms(self, now: float) -> float:
        """How long ago the last answered ping was sent, or the monitoring began."""
        return now - (self.since_ms if self.last_answered_sent_ms is None else self.last_answered_sent_ms)

    def exclude_pause(self, ms: float) -> None:
        """Shifts the times by a pause of this process, in which it could not have received answers.

        Also clears the refusals.
        """
        self.since_ms += ms
        if self.last_answered_sent_ms is not None:
            self.last_answered_sent_ms += ms
        self.refusals = 0

    @property
    def refusing(self) -> bool:
        """Whether enough consecutive connections were refused to show that no process listens there."""
        return self.refusals >= MIN_REFUSALS
