"""The door on the real core and module, in virtual time: floods, a fleet that halves, seats, the end of the
program.

`benchmarks/world.py` has the viewers and boxes; nothing here waits for a real clock.
"""

from __future__ import annotations

import sys
import tracemalloc
from collections import Counter
from dataclasses import replace
from ipaddress import ip_network
from typing import Any

import pytest

from benchmarks.world import CLASSES, Crowd, Viewer, World, settings
from cloverhinge.admission import fair_queue
from cloverhinge.admission.gateway import AdmissionGateway
from cloverhinge.core.model import State
from cloverhinge.decision import interface as api
from cloverhinge.site import ClientSite, DoorSite

MAPLE = ClientSite("maple", 1.0, (ip_network("10.1.0.0/16"),))
BIRCH = ClientSite("birch", 1.0, (ip_network("10.2.0.0/16"),))
ALDER = ClientSite("alder", 1.0, (ip_network("10.3.0.0/16"),))


def world(
    *crowds: Crowd, weights: tuple[float, ...] = (1.0, 1.0, 1.0), boxes: int = 4, each: int = 25, **more: Any
) -> tuple[World, AdmissionGateway]:
    made = World(settings(boxes, each, **more), list(crowds), boxes=boxes)
    named = zip((MAPLE, BIRCH, ALDER), weights, strict=True)
    clients = [replace(one, weight=weight) for one, weight in named]
    site = DoorSite(b"k" * 32, 512, 2048, 60_000.0, (*clients, ClientSite("others")))
    return made, AdmissionGateway(site, made.router, made.deadlines, 1)


def crowd(client: str, per_s: float, **more: Any) -> Crowd:
    peer = {"maple": "10.1.0.1", "birch": "10.2.0.1", "alder": "10.3.0.1", "others": "198.18.0.1"}[client]
    return Crowd(client, peer, per_s, **more)


def rows(gate: AdmissionGateway) -> dict[str, dict[str, Any]]:
    return {row["name"]: row for row in gate.status()}


def test_a_client_at_ten_times_its_share_and_a_small_one() -> None:
    small, large = crowd("maple", 3.0), crowd("birch", 50.0)  # room for 10 a second
    made, gate = world(small, large)
    made.run(60_000.0)
    assert small.tally.served >= 0.97 * small.tally.came
    assert rows(gate)["birch"]["kept"] > 50
    assert rows(gate)["birch"]["broken"] <= 0.05 * rows(gate)["birch"]["kept"]
    assert rows(gate)["birch"]["near"] >= 0.9 * rows(gate)["birch"]["kept"]


def test_weights_one_two_four() -> None:
    crowds = [crowd(name, 20.0) for name in ("maple", "birch", "alder")]
    made, gate = world(*crowds, weights=(1.0, 2.0, 4.0))
    made.run(60_000.0)
    seen = []
    for _ in range(40):
        made.run(1000.0)
        seen.append([rows(gate)[name]["share"] for name in ("maple", "birch", "alder")])
    shares = [sum(column) / len(seen) for column in zip(*seen, strict=True)]
    assert shares == pytest.approx([1 / 7, 2 / 7, 4 / 7], abs=0.04)


def test_a_thousand_fake_clients_get_no_more_than_one_client_s_share() -> None:
    """Names and addresses made up at full speed share the part of `others`; memory stays bounded."""
    real, fakes = crowd("maple", 8.0), crowd("others", 300.0, peers=250, returning=0.0)
    made, gate = world(real, fakes)
    made.run(15_000.0)  # the fakes took all at first; sessions are not cut for those who come then
    served = real.tally.served
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made.run(25_000.0)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert real.tally.served - served >= 0.9 * 5 * 30, "half of the room, which is for 10 a second"
    assert rows(gate)["others"]["share"] <= 0.56 and rows(gate)["others"]["out"] <= 2048
    assert len(gate.queue.clients[-1].buckets) <= fair_queue.BUCKETS and grown < 2_000_000


def test_seats_of_one_title_hold_and_who_waits_gets_them() -> None:
    kind = replace(CLASSES[0], seats=3)
    made, gate = world(
        crowd("maple", 2.0, length_ms=4000.0),
        crowd("birch", 2.0, length_ms=4000.0),
        classes=(kind, CLASSES[1]),
    )
    for _ in range(200):
        made.run(200.0)
        held = sum(1 for x in made.router.requests if x.state is State.ESTABLISHED or x.attempt is not None)
        assert held <= 3
    assert made.router.counters.served > 20 and rows(gate)["maple"]["kept"] + rows(gate)["birch"]["kept"] > 5


def test_a_fleet_that_halves_while_promises_are_out() -> None:
    """Promises are honoured, or the next quote says so: nobody is left without an answer, and both are
    counted."""
    made, gate = world(crowd("maple", 12.0), crowd("birch", 12.0))
    made.run(30_000.0)
    out = sum(row["out"] for row in gate.status())
    assert out > 20
    for listing in made.listings[:2]:
        made.router.update_fleet(api.ListKind.DELTA, [replace(listing, health=api.Health.GONE)])
    made.run(60_000.0)
    told = list(rows(gate).values())
    assert sum(row["broken"] for row in told) > 0 and sum(row["kept"] for row in told) > 100
    for row in told:  # those whom the module refused, after they were let in, count on both sides
        assert 0 <= row["let_in"] + row["waiting"] + row["refused"] - row["asked"] <= row["asked"] / 10
    shares = [row["share"] for row in told[:2]]
    assert shares == pytest.approx([0.5, 0.5], abs=0.1)


def test_checks_do_not_starve_behind_practice_and_a_flood_of_them_starves_nobody() -> None:
    checks, practice = crowd("maple", 25.0, checks=1.0), crowd("maple", 5.0)
    made, _ = world(checks, practice)
    made.run(60_000.0)
    assert checks.tally.served > 2 * practice.tally.served > 40


def test_everybody_is_answered_once_and_in_time_when_the_program_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made, gate = world(crowd("maple", 30.0), crowd("birch", 30.0))
    made.run(5_000.0)
    waiting = [made.router.requests.get(n) for n in gate.queue.waiting]
    assert len(waiting) >= 2
    told: Counter[int] = Counter()
    for request in waiting:
        assert request is not None and isinstance(request.client, Viewer)
        monkeypatch.setattr(request.client, "refused", lambda *_, n=request.handle: told.update([n]))
    gate.close()
    assert not gate.queue.waiting and sorted(told.values()) == [1] * len(waiting)
    made.crowds[0].returning = made.crowds[1].returning = 0.0
    before = made.router.counters.attempts
    made.run(500.0)
    assert made.router.counters.attempts == before, "nobody is let in any more"
    assert "cloverhinge.admission.gateway" in sys.modules


def test_retries_after_an_outage_come_spread() -> None:
    """All boxes go, and come back: those who were refused come over time, as they were told, not as one."""
    made, gate = world(crowd("maple", 10.0, until_ms=30_000.0), crowd("birch", 10.0, until_ms=30_000.0))
    made.run(20_000.0)
    for listing in made.listings:
        made.router.update_fleet(api.ListKind.DELTA, [replace(listing, health=api.Health.GONE)])
    made.run(10_000.0)
    for listing in made.listings:
        made.router.update_fleet(api.ListKind.DELTA, [listing])
    asked = []
    for _ in range(60):
        before = sum(one.tally.asked for one in made.crowds)
        made.run(1_000.0)
        asked.append(sum(one.tally.asked for one in made.crowds) - before)
    assert max(asked) <= 60, asked
