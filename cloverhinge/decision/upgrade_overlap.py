"""What two instances that stand in one router's place tell each other while both run, and how they share it.

Nothing is decided here: the one takes over what the other has heard, and each counts as one of twice as many.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import msgspec

from cloverhinge.decision import interface as api
from cloverhinge.decision.logic import Controller

MAX_EXPORTED_TOKENS = 1024  # titles whose token is told, the latest asked for


class LearnedServer(msgspec.Struct, frozen=True, array_like=True):
    """Of one server: loads with the moment that each describes (0: none), how it failed, when it started."""

    link: tuple[float, int]
    places: tuple[float, int]
    uplink: tuple[float, int]
    failures: int
    suspect_until_us: int
    cold_since_us: int


class LearnedState(msgspec.Struct, frozen=True):
    servers: dict[int, LearnedServer] = {}
    tokens: dict[str, int] = {}  # title to the server that takes its sessions, the latest last
    seats: dict[str, dict[str, int]] = {}  # taken, by class and title, of classes that have seats


def export_learned(controller: Controller) -> LearnedState:
    """What an instance has learned that another one could not know so soon.  Loads that it inferred from what
    its own sessions fell short by are left out: they say nothing of now."""
    told = {}
    for number, server in controller.fleet.servers.items():
        link, places, uplink = (
            (x.load, x.measured_us) if x.load is not None and not x.inferred else (0.0, 0)
            for x in server.limits()
        )
        told[number] = LearnedServer(
            link, places, uplink, server.failures, server.suspect_until_us, server.cold_since_us or 0
        )
    latest = list(controller.tokens.items())[-MAX_EXPORTED_TOKENS:]
    seats: dict[str, dict[str, int]] = {}
    for session in controller.sessions.values():
        if session.service_class.seats and (session.server or session.playing):
            titles = seats.setdefault(session.service_class.name, {})
            titles[session.request.title] = titles.get(session.request.title, 0) + 1
    return LearnedState(told, dict(latest), seats)


def import_learned(controller: Controller, now_us: int, other: LearnedState) -> None:
    """What the other knows better: later loads and failures, and tokens of titles not asked for here yet.
    Of a server that is not listed here nothing is taken."""
    for number, heard in other.servers.items():
        server = controller.fleet.servers.get(number)
        if server is None:
            continue
        for limit, (load, described_us) in zip(
            server.limits(), (heard.link, heard.places, heard.uplink), strict=True
        ):
            if limit.measured_us < described_us <= now_us and 0 <= load < 1e3:
                limit.load, limit.measured_us, limit.inferred = load, described_us, False
        if heard.suspect_until_us > server.suspect_until_us:
            server.suspect_until_us = heard.suspect_until_us
            server.failures = max(server.failures, heard.failures)
        if (server.cold_since_us or 0) < heard.cold_since_us <= now_us:
            server.cold_since_us = heard.cold_since_us
    controller.load_statistics_cache.clear()
    new = {
        title: number
        for title, number in other.tokens.items()
        if title not in controller.tokens and number in controller.fleet.servers
    }
    controller.tokens = new | controller.tokens


def import_seats(controller: Controller, others: Iterable[LearnedState]) -> None:
    """A title's seats are one router's, whoever of those in its place has given them out."""
    taken: dict[str, dict[str, int]] = {}
    for other in others:
        for kind, titles in other.seats.items():
            of_kind = taken.setdefault(kind, {})
            for title, count in titles.items():
                of_kind[title] = of_kind.get(title, 0) + count
    controller.sessions.seats_taken_elsewhere = taken


def divide_traffic(controller: Controller, settings: api.Settings, instances: int) -> None:
    """From now on so many instances together are the router that the settings tell of, each with its part of
    the traffic: what is derived from the number of routers is then right for all of them together, and so is
    the sum of the further attempts that are free."""
    controller.settings = replace(
        settings, fleet_size=settings.fleet_size * instances, budget_free=settings.budget_free / instances
    )
