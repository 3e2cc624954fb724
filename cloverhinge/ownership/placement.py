"""The choice of a record's replicas and of its next owner: rendezvous hashing (Thaler and Ravishankar 1998).

Pure.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from functools import lru_cache

from cloverhinge.ownership.register import majority
from cloverhinge.ownership.wire import Hole, Member


def first_counter(number: int) -> int:
    """The lowest ballot counter of a replica set: above all that earlier ones could reach."""
    return number << 40


@lru_cache(maxsize=65536)
def hash_fraction(record_id: str, member_id: str) -> float:
    """A number in (0, 1) that depends on the pair alone, the same in every process."""
    digest = hashlib.blake2b(f"{record_id}\0{member_id}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / 2.0**64


@lru_cache(maxsize=65536)
def choose_replicas(record_id: str, members: tuple[Member, ...], count: int) -> tuple[str, ...]:
    """The ids of `count` members, or of all where there are fewer.

    The first is the lowest by its hash; each next one is the lowest on one of the sites with the fewest
    replicas so far.
    """
    remaining = sorted(members, key=lambda x: hash_fraction(record_id, x.member_id))
    chosen: list[Member] = []
    while remaining and len(chosen) < count:
        used_sites = [x.site for x in chosen]
        best = min(
            remaining, key=lambda x: used_sites.count(x.site)
        )  # of equals the first, which has the lowest hash
        remaining.remove(best)
        chosen.append(best)
    return tuple(x.member_id for x in chosen)


def may_be_lost(record_id: str, written: int, hole: Hole, count: int) -> bool:
    """Whether so many of the record's replicas are missing that a majority may have held a later value.

    `written` is the counter of the newest ballot that is known.  What was written in a later replica set than
    the hole's is known.
    """
    if written >= first_counter(hole.number + 1):
        return False
    replicas = choose_replicas(record_id, hole.members, count)
    return len(set(replicas) & set(hole.missing)) >= majority(len(replicas))


def choose_successor(record_id: str, candidates: Iterable[str], spare_capacity: Mapping[str, float]) -> str:
    """One of the candidates, drawn in proportion to their spare capacity (weighted rendezvous hashing).

    The spare capacity counts as 1.0 at least, also where it is unknown.
    """
    return min(
        sorted(candidates),
        key=lambda candidate: -math.log(hash_fraction(record_id, candidate))
        / max(1.0, spare_capacity.get(candidate, 1.0)),
    )
