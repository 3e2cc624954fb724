"""Who keeps a record, and who takes it over: rendezvous hashing (Thaler and Ravishankar 1998).  Pure."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from functools import lru_cache

from cloverhinge.ownership.register import majority
from cloverhinge.ownership.wire import Hole, Member


def lowest(number: int) -> int:
    """The least counter of ballots in a roster: above all that earlier rosters' could reach."""
    return number << 40


@lru_cache(maxsize=65536)
def draw(record: str, who: str) -> float:
    """The same in every process: a number in (0, 1) of the pair."""
    digest = hashlib.blake2b(f"{record}\0{who}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / 2.0**64


@lru_cache(maxsize=65536)
def keepers(record: str, members: tuple[Member, ...], count: int) -> tuple[str, ...]:
    """`count` of them: the first by the draw, then each time the first on a site that has fewest of them."""
    left = sorted(members, key=lambda x: draw(record, x.who))
    chosen: list[Member] = []
    while left and len(chosen) < count:
        sites = [x.site for x in chosen]
        best = min(left, key=lambda x: sites.count(x.site))  # the first of equals, as min keeps the order
        left.remove(best)
        chosen.append(best)
    return tuple(x.who for x in chosen)


def lost(record: str, written: int, hole: Hole, count: int) -> bool:
    """Whether so many of its keepers never told what they held that a majority may have known more.

    `written` is the counter of the newest ballot that is known; what was written since is known.
    """
    if written >= lowest(hole.number + 1):
        return False
    those = keepers(record, hole.members, count)
    return len(set(those) & set(hole.missing)) >= majority(len(those))


def successor(record: str, those: Iterable[str], room: Mapping[str, float]) -> str:
    """One of `those` for this record, each drawn in proportion to its room (weighted rendezvous)."""
    return min(sorted(those), key=lambda who: -math.log(draw(record, who)) / max(1.0, room.get(who, 1.0)))
