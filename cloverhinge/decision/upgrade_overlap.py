"""State that the instances of one router exchange during an upgrade overlap, while two processes run.

Nothing is decided here: an instance imports what the other has learned, and the fleet size that it
assumes is multiplied by the number of instances.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import msgspec

from cloverhinge.decision import interface as api
from cloverhinge.decision.logic import Controller

MAX_EXPORTED_TOKENS = 1024  # most titles whose token is exported, the latest requested


class LearnedServer(msgspec.Struct, frozen=True, array_like=True):
    """What was learned of one server: its loads, its failures and its last start.

    Each load comes with the moment that it describes, in microseconds (0 = no load).
    """

    link: tuple[float, int]
    places: tuple[float, int]
    uplink: tuple[float, int]
    failures: int
    suspect_until_us: int
    cold_since_us: int


class LearnedState(msgspec.Struct, frozen=True):
    """What an instance has learned, as it is exported to another one."""

    servers: dict[int, LearnedServer] = {}
    tokens: dict[str, int] = {}  # server by title, the latest requested last
    seats: dict[str, dict[str, int]] = {}  # seats taken by class and title, of classes that have seats


def export_learned(controller: Controller) -> LearnedState:
    """Returns what an instance has learned that another one could not learn as soon.

    Loads inferred from own sessions that fell short are excluded, as they do not describe the present.
    """
    servers = {}
    for number, server in controller.fleet.servers.items():
        link, places, uplink = (
            (x.load, x.measured_us) if x.load is not None and not x.inferred else (0.0, 0)
            for x in server.limits()
        )
        servers[number] = LearnedServer(
            link, places, uplink, server.failures, server.suspect_until_us, server.cold_since_us or 0
        )
    latest = list(controller.tokens.items())[-MAX_EXPORTED_TOKENS:]
    seats: dict[str, dict[str, int]] = {}
    for session in controller.sessions.values():
        if session.service_class.seats and (session.server or session.playing):
            titles = seats.setdefault(session.service_class.name, {})
            titles[session.request.title] = titles.get(session.request.title, 0) + 1
    return LearnedState(servers, dict(latest), seats)


def import_learned(controller: Controller, now_us: int, other: LearnedState) -> None:
    """Imports what the other instance knows better: later loads and failures, and tokens of titles that were
    not requested here yet.  Servers that are not listed here are ignored.
    """
    for number, learned in other.servers.items():
        server = controller.fleet.servers.get(number)
        if server is None:
            continue
        for limit, (load, measured_us) in zip(
            server.limits(), (learned.link, learned.places, learned.uplink), strict=True
        ):
            if limit.measured_us < measured_us <= now_us and 0 <= load < 1e3:
                limit.load, limit.measured_us, limit.inferred = load, measured_us, False
        if learned.suspect_until_us > server.suspect_until_us:
            server.suspect_until_us = learned.suspect_until_us
            server.failures = max(server.failures, learned.failures)
        if (server.cold_since_us or 0) < learned.cold_since_us <= now_us:
            server.cold_since_us = learned.cold_since_us
    controller.load_statistics_cache.clear()
    new = {
        title: number
        for title, number in other.tokens.items()
        if title not in controller.tokens and number in controller.fleet.servers
    }
    controller.tokens = new | controller.tokens


def import_seats(controller: Controller, others: Iterable[LearnedState]) -> None:
    """Sets the seats taken by the router's other instances: a title's seats are counted per router."""
    taken: dict[str, dict[str, int]] = {}
    for other in others:
        for class_name, titles in other.seats.items():
            of_class = taken.setdefault(class_name, {})
            for title, count in titles.items():
                of_class[title] = of_class.get(title, 0) + count
    controller.sessions.seats_taken_elsewhere = taken


def divide_traffic(controller: Controller, settings: api.Settings, instances: int) -> None:
    """Makes an instance one of `instances` that together form the router of the settings, each with its share
    of the traffic.

    What is derived from the number of routers is then right for all of them together, and so is the sum of
    the further attempts that are free.
    """
    controller.settings = replace(
        settings, fleet_size=settings.fleet_size * instances, budget_free=settings.budget_free / instances
    )
