"""Settings of a small deployment, and a driver of one controller with a manual clock."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from cloverhinge.decision import interface as api
from cloverhinge.decision.logic import Controller

FILM = api.ServiceClass("film", aim_us=1_000_000, deadline_us=4_000_000)
PAID = api.ServiceClass(
    "paid", effect=api.Effect.ONCE, aim_us=1_000_000, deadline_us=4_000_000, floor=1, key_ttl_us=9_000_000
)
SEATED = api.ServiceClass("seated", seats=2)
GOLD = api.ServiceClass("gold", worth=5.0)
KEYED = api.ServiceClass("keyed", effect=api.Effect.BY_KEY, group=api.Group.ZONE, key_ttl_us=2_000_000)

BASE = api.Settings(
    classes=(FILM, PAID, SEATED, GOLD, KEYED),
    ladder_kb=(100.0, 200.0, 400.0),
    rung_worth=(0.3, 0.6, 1.0),
    places_by_kind={"box": 20},
    weight_kb=1000.0,
    uplink_kb=4000.0,
    cells=6,
    racks=2,
    fleet_size=1,
    notes_late_us=1_000_000,
    told_every_us=3_000_000,
    max_attempts=3,
    max_retry_after_us=800_000,
    cold_us=10_000_000,
    cold_from=0.4,
    fall_multiple=2.5,
    drain_grace_us=1_000_000,
)


def settings(**changes: Any) -> api.Settings:
    return replace(BASE, **changes)


class Driver:
    """One controller with six servers, one in each cell, and a manual clock."""

    def __init__(self, driver_settings: api.Settings = BASE, seed: int = 1, servers: int = 6) -> None:
        self.controller = Controller(driver_settings, seed)
        self.now_us = 100_000_000
        self.last_session = 0
        self.log: list[api.Action] = []
        self.listings = tuple(api.ServerListing(10 + n, n, f"z{n % 3}", "box") for n in range(servers))
        self.handle(api.FleetUpdate(api.ListKind.CACHED, self.listings))

    def handle(self, event: api.Event, after_us: int = 0) -> list[api.Action]:
        self.now_us += after_us
        actions = self.controller.handle(self.now_us, event)
        self.log.extend(actions)
        return actions

    def request(
        self, title: str = "t", class_name: str = "film", ceiling: int = 2, copies: int = 6, **more: Any
    ) -> tuple[int, list[api.Action]]:
        self.last_session += 1
        event = api.SessionRequested(
            self.last_session, class_name, title, 0, copies, ceiling, self.now_us + 4_000_000, **more
        )
        return self.last_session, self.handle(event)

    def play(self, title: str = "t", **more: Any) -> int:
        """Requests a session, lets the set-up succeed and returns the server."""
        session, actions = self.request(title, **more)
        server = only_set_up(actions).server
        self.handle(api.SessionStarted(session, server, 0), 50_000)
        return server

    def end_attempt(
        self,
        session: int,
        server: int,
        outcome: api.Outcome,
        attempt: int = 0,
        concluded: bool = False,
        report: api.LoadReport | None = None,
    ) -> list[api.Action]:
        return self.handle(
            api.AttemptEnded(session, attempt, server, outcome, concluded, 1000, report), 10_000
        )

    def report_load(
        self,
        server: int,
        link: float | None = None,
        uplink: float | None = None,
        streams: float | None = None,
    ) -> list[api.Action]:
        """Reports the present loads of a server by a probe."""
        return self.handle(
            api.ProbeEnded(server, api.Outcome.SERVED, 0, api.LoadReport(streams, link, uplink))
        )


def actions_of(kind: type[Any], actions: list[api.Action]) -> list[Any]:
    return [a for a in actions if isinstance(a, kind)]


def only_set_up(actions: list[api.Action]) -> api.SetUp:
    found = actions_of(api.SetUp, actions)
    assert len(found) == 1, actions
    setup: api.SetUp = found[0]
    return setup
