"""Admission on the real core and controller in virtual time: floods, a halved fleet, seats, shutdown.

`benchmarks/world.py` models the viewers and media servers; no test waits for a real clock.
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
from cloverhinge.site import AdmissionSettings, ClientSettings

MAPLE = ClientSettings("maple", 1.0, (ip_network("10.1.0.0/16"),))
BIRCH = ClientSettings("birch", 1.0, (ip_network("10.2.0.0/16"),))
ALDER = ClientSettings("alder", 1.0, (ip_network("10.3.0.0/16"),))


def world(
    *crowds: Crowd,
    weights: tuple[float, ...] = (1.0, 1.0, 1.0),
    boxes: int = 4,
    sessions_per_server: int = 25,
    **more: Any,
) -> tuple[World, AdmissionGateway]:
    simulation = World(settings(boxes, sessions_per_server, **more), list(crowds), servers=boxes)
    named = zip((MAPLE, BIRCH, ALDER), weights, strict=True)
    clients = [replace(one, weight=weight) for one, weight in named]
    site = AdmissionSettings(b"k" * 32, 512, 2048, 60_000.0, (*clients, ClientSettings("others")))
    return simulation, AdmissionGateway(site, simulation.router, simulation.deadlines, 1)


def crowd(client: str, per_s: float, **more: Any) -> Crowd:
    peer = {"maple": "10.1.0.1", "birch": "10.2.0.1", "alder": "10.3.0.1", "others": "198.18.0.1"}[client]
    return Crowd(client, peer, per_s, **more)


def rows(gateway: AdmissionGateway) -> dict[str, dict[str, Any]]:
    return {row["name"]: row for row in gateway.status()}


def test_a_client_at_ten_times_its_share_does_not_displace_a_small_one() -> None:
    small, large = crowd("maple", 3.0), crowd("birch", 50.0)  # capacity for 10 a second
    simulation, gateway = world(small, large)
    simulation.run(60_000.0)
    assert small.tally.served >= 0.97 * small.tally.arrived
    assert rows(gateway)["birch"]["kept"] > 50
    assert rows(gateway)["birch"]["broken"] <= 0.05 * rows(gateway)["birch"]["kept"]
    assert rows(gateway)["birch"]["near"] >= 0.9 * rows(gateway)["birch"]["kept"]


def test_shares_follow_weights() -> None:
    crowds = [crowd(name, 20.0) for name in ("maple", "birch", "alder")]
    simulation, gateway = world(*crowds, weights=(1.0, 2.0, 4.0))
    simulation.run(60_000.0)
    seen = []
    for _ in range(40):
        simulation.run(1000.0)
        seen.append([rows(gateway)[name]["share"] for name in ("maple", "birch", "alder")])
    shares = [sum(column) / len(seen) for column in zip(*seen, strict=True)]
    assert shares == pytest.approx([1 / 7, 2 / 7, 4 / 7], abs=0.04)


def test_fake_clients_get_no_more_than_one_client_s_share() -> None:
    """A flood with invented names and addresses shares the share of `others`; memory stays bounded."""
    real, fakes = crowd("maple", 8.0), crowd("others", 300.0, addresses=250, return_share=0.0)
    simulation, gateway = world(real, fakes)
    simulation.run(15_000.0)  # the fakes take all places at first; no session is cut for later requests
    served = real.tally.served
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    simulation.run(25_000.0)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert real.tally.served - served >= 0.9 * 5 * 30, "half of the capacity, which is 10 a second"
    assert rows(gateway)["others"]["share"] <= 0.56 and rows(gateway)["others"]["out"] <= 2048
    assert len(gateway.queue.clients[-1].buckets) <= fair_queue.BUCKETS and grown < 2_000_000


def test_seats_of_a_title_are_not_exceeded_and_go_to_waiting_requests() -> None:
    kind = replace(CLASSES[0], seats=3)
    simulation, gateway = world(
        crowd("maple", 2.0, length_ms=4000.0),
        crowd("birch", 2.0, length_ms=4000.0),
        classes=(kind, CLASSES[1]),
    )
    for _ in range(200):
        simulation.run(200.0)
        held = sum(
            1 for x in simulation.router.requests if x.state is State.ESTABLISHED or x.attempt is not None
        )
        assert held <= 3
    assert (
        simulation.router.counters.served > 20
        and rows(gateway)["maple"]["kept"] + rows(gateway)["birch"]["kept"] > 5
    )


def test_a_fleet_that_halves_while_reservations_are_open() -> None:
    """Reservations are honoured, or the viewer is rejected again; each is answered, and both are counted."""
    simulation, gateway = world(crowd("maple", 12.0), crowd("birch", 12.0))
    simulation.run(30_000.0)
    out = sum(row["out"] for row in gateway.status())
    assert out > 20
    for listing in simulation.listings[:2]:
        simulation.router.update_fleet(api.ListKind.DELTA, [replace(listing, health=api.Health.GONE)])
    simulation.run(60_000.0)
    clients = list(rows(gateway).values())
    assert sum(row["broken"] for row in clients) > 0 and sum(row["kept"] for row in clients) > 100
    for row in clients:  # requests that the controller refused after admission count as both
        assert 0 <= row["let_in"] + row["waiting"] + row["refused"] - row["asked"] <= row["asked"] / 10
    shares = [row["share"] for row in clients[:2]]
    assert shares == pytest.approx([0.5, 0.5], abs=0.1)


def test_checks_go_before_practice_without_starving_it() -> None:
    checks, practice = crowd("maple", 25.0, check_share=1.0), crowd("maple", 5.0)
    simulation, _ = world(checks, practice)
    simulation.run(60_000.0)
    assert checks.tally.served > 2 * practice.tally.served > 40


def test_each_waiting_request_is_answered_once_when_the_program_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    simulation, gateway = world(crowd("maple", 30.0), crowd("birch", 30.0))
    simulation.run(5_000.0)
    waiting = [simulation.router.requests.get(n) for n in gateway.queue.waiting]
    assert len(waiting) >= 2
    refusals: Counter[int] = Counter()
    for request in waiting:
        assert request is not None and isinstance(request.client, Viewer)
        monkeypatch.setattr(request.client, "refused", lambda *_, n=request.handle: refusals.update([n]))
    gateway.close()
    assert not gateway.queue.waiting and sorted(refusals.values()) == [1] * len(waiting)
    simulation.crowds[0].return_share = simulation.crowds[1].return_share = 0.0
    before = simulation.router.counters.attempts
    simulation.run(500.0)
    assert simulation.router.counters.attempts == before, "no request is admitted any more"
    assert "cloverhinge.admission.gateway" in sys.modules


def test_retries_after_an_outage_are_spread_over_time() -> None:
    """After all media servers leave and return, rejected viewers retry over time, not all at once."""
    simulation, gateway = world(
        crowd("maple", 10.0, until_ms=30_000.0), crowd("birch", 10.0, until_ms=30_000.0)
    )
    simulation.run(20_000.0)
    for listing in simulation.listings:
        simulation.router.update_fleet(api.ListKind.DELTA, [replace(listing, health=api.Health.GONE)])
    simulation.run(10_000.0)
    for listing in simulation.listings:
        simulation.router.update_fleet(api.ListKind.DELTA, [listing])
    asked = []
    for _ in range(60):
        before = sum(one.tally.asked for one in simulation.crowds)
        simulation.run(1_000.0)
        asked.append(sum(one.tally.asked for one in simulation.crowds) - before)
    assert max(asked) <= 60, asked
