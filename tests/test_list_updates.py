"""Parsing the updates of the list of media servers."""

from __future__ import annotations

import random
from typing import Any

import pytest

from cloverhinge.core.clock import ManualClock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.decision.interface import Health
from cloverhinge.discovery.updates import ListUpdate, parse_update, server_number
from cloverhinge.discovery.watch import DiscoveryWatch, WatchConnection

ROW: dict[str, Any] = {
    "instanceId": "s-00c41f7a",
    "hostPort": "10.1.0.9:5060",
    "zone": "east",
    "machineType": "std",
    "cell": 2,
    "lifecycle": "leaving",
    "weight": 4,
    "startedAtMs": 1500.0,
}


def test_a_platform_id_contains_the_number_that_the_simulator_gives() -> None:
    """Otherwise titles start at other servers than in the simulator, which shifted a day's result by 0.08."""
    assert server_number("s-00c41f7a") == 0x00C41F7A
    others = [server_number(name) for name in ("s-00c41f7A", "s-00c41f7a0", "box-1", "box-2")]
    assert len(set(others)) == 4 and min(others) >= 1 << 32


def test_an_event_is_parsed_completely() -> None:
    change = parse_update({"seq": 41, "fleet": {"generation": 7, "reset": True, "instances": [ROW]}})
    assert change is not None and (change.seq, change.full) == (41, True)
    address, listing = change.rows[0]
    assert (address.name, address.host, address.port) == ("s-00c41f7a", "10.1.0.9", 5060)
    assert (listing.server, listing.cell, listing.kind, listing.health) == (
        address.number,
        2,
        "std",
        Health.DRAINING,
    )
    assert (listing.weight, listing.started_us) == (4.0, 1_500_000)
    assert parse_update({"seq": 42, "unheard": {}}) is None


@pytest.mark.parametrize(
    "event",
    [
        [],
        {},
        {"seq": "x"},
        {"seq": 1, "fleet": []},
        {"seq": 1, "fleet": {"instances": [1]}},
        {"seq": 1, "fleet": {"instances": [{**ROW, "lifecycle": "odd"}]}},
        {"seq": 1, "fleet": {"instances": [{**ROW, "hostPort": "nowhere"}]}},
    ],
)
def test_a_malformed_event_is_rejected(event: Any) -> None:
    with pytest.raises(ValueError):
        parse_update(event)


@pytest.mark.parametrize("last", [b"1", b'{"seq":1}'])
def test_a_heartbeat_is_the_last_sequence_number_alone_in_either_form(last: bytes) -> None:
    """A new version waits for the heartbeat; events that a heartbeat runs ahead of are requested again."""
    deadlines, updates, caught_up = Deadlines(ManualClock()), list[ListUpdate](), list[bool]()
    log = DiscoveryWatch(None, ("127.0.0.1", 1), 0, deadlines, updates.append, random.Random(1))
    log.connection = connection = WatchConnection(log)
    log.when_caught_up(lambda: caught_up.append(True), 3000.0)
    log.line_received(connection, last)
    assert connection.gone and not caught_up and log.seq == 0  # an event is missing: it is requested again
    log.connection = connection = WatchConnection(log)
    log.line_received(connection, b'{"seq":1,"fleet":{"reset":true,"instances":[]}}')
    assert not caught_up
    log.line_received(connection, last)
    log.line_received(connection, last)
    assert caught_up == [True] and len(updates) == 1


def test_the_wait_for_a_silent_change_log_is_bounded() -> None:
    clock, caught_up = ManualClock(), list[bool]()
    deadlines = Deadlines(clock)
    log = DiscoveryWatch(None, ("127.0.0.1", 1), 0, deadlines, lambda change: None, random.Random(1))
    log.when_caught_up(lambda: caught_up.append(True), 3000.0)
    clock.advance(2999.0)
    deadlines.run()
    assert not caught_up
    clock.advance(2.0)
    deadlines.run()
    assert caught_up == [True]
