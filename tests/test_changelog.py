"""Reading the list of boxes."""

from __future__ import annotations

from typing import Any

import pytest

from cloverhinge.decision.interface import Health
from cloverhinge.net.changelog import number_of, parse_event

ROW: dict[str, Any] = {"instanceId": "s-00c41f7a", "hostPort": "10.1.0.9:5060", "zone": "east",
                       "machineType": "std", "cell": 2, "lifecycle": "leaving", "weight": 4,
                       "startedAtMs": 1500.0}


def test_a_platform_id_holds_the_number_that_the_simulator_gives() -> None:
    """Guards against titles that begin at other holders than in the simulator, which moved a day by 0.08."""
    assert number_of("s-00c41f7a") == 0x00c41f7a
    others = [number_of(name) for name in ("s-00c41f7A", "s-00c41f7a0", "box-1", "box-2")]
    assert len(set(others)) == 4 and min(others) >= 1 << 32


def test_an_event_is_read_whole() -> None:
    change = parse_event({"seq": 41, "fleet": {"generation": 7, "reset": True, "instances": [ROW]}})
    assert change is not None and (change.seq, change.full) == (41, True)
    box, listing = change.rows[0]
    assert (box.name, box.host, box.port) == ("s-00c41f7a", "10.1.0.9", 5060)
    assert (listing.server, listing.cell, listing.kind, listing.health) == (
        box.number, 2, "std", Health.DRAINING)
    assert (listing.weight, listing.started_us) == (4.0, 1_500_000)
    assert parse_event({"seq": 42, "unheard": {}}) is None


@pytest.mark.parametrize("event", [
    [], {}, {"seq": "x"}, {"seq": 1, "fleet": []}, {"seq": 1, "fleet": {"instances": [1]}},
    {"seq": 1, "fleet": {"instances": [{**ROW, "lifecycle": "odd"}]}},
    {"seq": 1, "fleet": {"instances": [{**ROW, "hostPort": "nowhere"}]}}])
def test_what_is_no_event_is_refused(event: Any) -> None:
    with pytest.raises(ValueError):
        parse_event(event)
