"""What two instances that stand in one router's place tell each other while both run, and how they share it.

Nothing is decided here: the one takes over what the other has heard, and each counts as one of twice as many.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import msgspec

from cloverhinge.decision import interface as api
from cloverhinge.decision.logic import Controller

TOKENS_TOLD = 1024  # titles whose token is told, the latest asked for


class Heard(msgspec.Struct, frozen=True, array_like=True):
    """Of one server: loads with the moment that each describes (0: none), how it failed, when it started."""

    link: tuple[float, int]
    places: tuple[float, int]
    uplink: tuple[float, int]
    failures: int
    distrusted_until_us: int
    cold_since_us: int


class Known(msgspec.Struct, frozen=True):
    servers: dict[int, Heard] = {}
    tokens: dict[str, int] = {}  # title to the server that takes its sessions, the latest last
    seats: dict[str, dict[str, int]] = {}  # taken, by class and title, of classes that have seats


def known(module: Controller) -> Known:
    """What an instance has learned that another one could not know so soon.  Loads that it inferred from what
    its own sessions fell short by are left out: they say nothing of now."""
    told = {}
    for number, server in module.fleet.servers.items():
        link, places, uplink = (
            (x.load, x.described_us) if x.load is not None and not x.inferred else (0.0, 0)
            for x in server.limits()
        )
        told[number] = Heard(
            link, places, uplink, server.failures, server.distrusted_until_us, server.cold_since_us or 0
        )
    latest = list(module.tokens.items())[-TOKENS_TOLD:]
    seats: dict[str, dict[str, int]] = {}
    for session in module.sessions.values():
        if session.kind.seats and (session.server or session.playing):
            titles = seats.setdefault(session.kind.name, {})
            titles[session.request.title] = titles.get(session.request.title, 0) + 1
    return Known(told, dict(latest), seats)


def take_over(module: Controller, now_us: int, other: Known) -> None:
    """What the other knows better: later loads and failures, and tokens of titles not asked for here yet.
    Of a server that is not listed here nothing is taken."""
    for number, heard in other.servers.items():
        server = module.fleet.servers.get(number)
        if server is None:
            continue
        for limit, (load, described_us) in zip(
            server.limits(), (heard.link, heard.places, heard.uplink), strict=True
        ):
            if limit.described_us < described_us <= now_us and 0 <= load < 1e3:
                limit.load, limit.described_us, limit.inferred = load, described_us, False
        if heard.distrusted_until_us > server.distrusted_until_us:
            server.distrusted_until_us = heard.distrusted_until_us
            server.failures = max(server.failures, heard.failures)
        if (server.cold_since_us or 0) < heard.cold_since_us <= now_us:
            server.cold_since_us = heard.cold_since_us
    module.averages.clear()
    new = {
        title: number
        for title, number in other.tokens.items()
        if title not in module.tokens and number in module.fleet.servers
    }
    module.tokens = new | module.tokens


def seats_elsewhere(module: Controller, others: Iterable[Known]) -> None:
    """A title's seats are one router's, whoever of those in its place has given them out."""
    taken: dict[str, dict[str, int]] = {}
    for other in others:
        for kind, titles in other.seats.items():
            of_kind = taken.setdefault(kind, {})
            for title, count in titles.items():
                of_kind[title] = of_kind.get(title, 0) + count
    module.sessions.elsewhere = taken


def share(module: Controller, told: api.Settings, parts: int) -> None:
    """From now on so many instances together are the router that the settings tell of, each with its part of
    the traffic: what is derived from the number of routers is then right for all of them together, and so is
    the sum of the further attempts that are free."""
    module.settings = replace(told, fleet_size=told.fleet_size * parts, budget_free=told.budget_free / parts)
