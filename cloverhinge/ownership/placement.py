"""Who keeps a record, and who takes it over: rendezvous hashing (Thaler and Ravishankar 1998).  Pure."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from functools import lru_cache

from cloverhinge.ownership.register import majority
from cloverhinge.ownership.wire import Hole, Member


def first_counter(number: int) -> int:
    """The least counter of ballots in a roster: above all that earlier rosters' could reach."""
    return number << 40


@lru_cache(maxsize=65536)
def hash_fraction(record_id: str, member_id: str) -> float:
    """The same in every process: a number in (0, 1) of the pair."""
    digest = hashlib.blake2b(f"{record_id}\0{member_id}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / 2.0**64


@lru_cache(maxsize=65536)
def choose_replicas(record_id: str, members: tuple[Member, ...], count: int) -> tuple[str, ...]:
    """`count` of them: the first by the draw, then each time the first on a site that has fewest of them."""
    left = sorted(members, key=lambda x: hash_fraction(record_id, x.member_id))
    chosen: list[Member] = []
    while left and len(chosen) < count:
        sites = [x.site for x in chosen]
        best = min(left, key=lambda x: sites.count(x.site))  # the first of equals, as min keeps the order
        left.remove(best)
        chosen.append(best)
    return tuple(x.member_id for x in chosen)


def may_be_lost(record_id: str, written: int, hole: Hole, count: int) -> bool:
    """Whether so many of its keepers never told what they held that a majority may have known more.

    `written` is the counter of the newest ballot that is known; what was written since is known.
    """
    if written >= first_counter(hole.number + 1):
        return False
    those = choose_replicas(record_id, hole.members, count)
    return len(set(those) & set(hole.missing)) >= majority(len(those))


def choose_successor(record_id: str, candidates: Iterable[str], spare_capacity: Mapping[str, float]) -> str:
    """One of `those` for this record, each drawn in proportion to its room (weighted rendezvous)."""
    return min(
        sorted(candidates),
        key=lambda who: -math.log(hash_fraction(record_id, who)) / max(1.0, spare_capacity.get(who, 1.0)),
    )
