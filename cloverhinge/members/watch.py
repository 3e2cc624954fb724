"""Who watches whom, what is heard, and what follows from it for who is in.  Pure; from published ideas only.

Each member watches up to K others, the next ones on K rings that its name is hashed onto (as in Rapid).
A member *hears* one that it watches when a question to it was answered: both directions work.  From here, a
member is *reached* over who hears whom; the word of one that is not reached counts for nothing.  A cut link
alone thus puts nobody out, and all who reach each other come to the same verdict.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from functools import lru_cache

from cloverhinge.members.wire import Record

MAX_PENDING_PINGS = 16  # questions to one member whose answers still count: 6 s of them at the default pace
MIN_REFUSALS = 2  # refused connections in a row before an address counts as refusing: one may be a restart


@lru_cache(maxsize=16)
def watch_relations(
    names: tuple[str, ...], ring_count: int
) -> dict[str, tuple[frozenset[str], frozenset[str]]]:
    """For each name those that it watches, and those that watch it; `names` sorted, `most` rings."""
    if len(names) <= ring_count + 1:
        every = frozenset(names)
        return {name: (every - {name}, every - {name}) for name in names}
    watched: dict[str, set[str]] = {name: set() for name in names}
    watching: dict[str, set[str]] = {name: set() for name in names}
    for ring in range(ring_count):
        order = sorted(names, key=lambda name: _place(name, ring))
        for name, following in zip(order, [*order[1:], order[0]], strict=True):
            watched[name].add(following)
            watching[following].add(name)
    return {name: (frozenset(watched[name]), frozenset(watching[name])) for name in names}


@lru_cache(maxsize=16384)
def _place(name: str, ring: int) -> bytes:
    return hashlib.blake2b(f"{ring} {name}".encode(), digest_size=8).digest()


def reachable_from(
    own: str, hears: Iterable[str], records: Mapping[str, Record], names: Iterable[str]
) -> set[str]:
    """All that can be reached from here over those that hear them, oneself included."""
    left, found = set(names) - {own}, {own}
    following = [x for x in hears if x in left]
    while following:
        name = following.pop()
        if name in left:
            left.discard(name)
            found.add(name)
            following += [x for x in records[name].reachable if x in left]
    return found


class PeerMonitor:
    """One member that this one watches."""

    __slots__ = (
        "pending_pings",
        "answered_ms",
        "connecting",
        "next_connect_ms",
        "next_ping_ms",
        "refusals",
        "first_refusal_ms",
        "since_ms",
    )

    def __init__(self, now: float, first_ping_ms: float) -> None:
        self.since_ms = now
        self.answered_ms: float | None = None  # when a question was sent that has been answered; never yet
        self.next_ping_ms = first_ping_ms
        self.next_connect_ms = now
        self.pending_pings: OrderedDict[int, float] = OrderedDict()  # pings out: number, when it was sent
        self.connecting = False
        self.refusals = 0
        self.first_refusal_ms = 0.0  # of the first refusal in the row

    def record_ping(self, number: int, now: float) -> None:
        self.pending_pings[number] = now
        while len(self.pending_pings) > MAX_PENDING_PINGS:
            self.pending_pings.popitem(last=False)

    def record_answer(self, sent_ms: float) -> None:
        """An answer proves that it lived after the question was sent, and no more."""
        if self.answered_ms is None or sent_ms > self.answered_ms:
            self.answered_ms = sent_ms
        if sent_ms >= self.first_refusal_ms:
            self.refusals = 0

    def record_refusal(self, now: float) -> None:
        if self.refusals == 0:
            self.first_refusal_ms = now
        self.refusals += 1

    def silent_ms(self, now: float) -> float:
        return now - (self.since_ms if self.answered_ms is None else self.answered_ms)

    def credit_pause(self, ms: float) -> None:
        """This member slept: the silence of that time was its own."""
        self.since_ms += ms
        if self.answered_ms is not None:
            self.answered_ms += ms
        self.refusals = 0

    @property
    def refusing(self) -> bool:
        return self.refusals >= MIN_REFUSALS
