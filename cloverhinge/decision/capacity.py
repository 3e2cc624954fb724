"""Whether the decision module would take a session now, without an event: no random draw, no step, no action.

The tests are those of the module's own path (`usable`, `fits`, `plan_steps_down`), for a session at its
class's floor.  Random draws of the module (cold media servers) count as won, and loads that it would probe
first count as known, so a session for which capacity is stated may still be refused.
"""

from __future__ import annotations

import math

from cloverhinge.decision import interface as api
from cloverhinge.decision.logic import Controller
from cloverhinge.decision.rungs import ADMIT_LOAD, MIN_GAIN_RATIO
from cloverhinge.decision.state import Server, Session, held_seats


def spare_capacity(
    controller: Controller, now_us: int, class_name: str, first_cell: int, copies: int, title: str
) -> int:
    """Returns roughly how many more sessions of a class the holders of a title have capacity for.

    Where the class has seats, it is no more than the title has left.  Raises KeyError for an unknown class.
    """
    service_class = controller.classes[class_name]
    if now_us > controller.now_us:
        controller.now_us = now_us
        controller.load_statistics_cache.clear()  # valid for the last event only
    request = api.SessionRequested(
        -1, class_name, title, first_cell, copies, service_class.floor, now_us + service_class.deadline_us
    )
    session = Session(
        request,
        service_class,
        now_us,
        service_class.floor,
        controller.rates[class_name],
        controller.gains[class_name],
        rung=service_class.floor,
    )
    seats = (
        service_class.seats - held_seats(controller.sessions, session) if service_class.seats else math.inf
    )
    if seats <= 0:
        return 0
    holders = controller.fleet.holders(request)
    session.cold_draws = {server.listing.server: True for server in holders}
    usable_holders = [server for server in holders if controller.usable(server, session)]
    rate_kb, load_limit = (
        session.rates[service_class.floor],
        controller.admission_limit(session, service_class.floor),
    )
    spare = sum(
        fitting_sessions(controller, server, rate_kb, load_limit)
        for server in usable_holders
        if controller.fits(server, rate_kb, load_limit)
    )
    if spare:
        return int(min(spare, seats))
    return int(
        any(
            controller.fits(server, 0, math.inf) and can_free_capacity(controller, server, session)
            for server in usable_holders
        )
    )


def fitting_sessions(controller: Controller, server: Server, rate_kb: float, load_limit: float) -> int:
    """Returns how many sessions of a rate fit on a server up to a load limit.

    At least 1: the caller has checked that one fits.
    """
    link, uplink, places = server.link, server.uplink, server.places
    return max(
        1,
        int(
            min(
                (load_limit - controller.load_of(link))
                * link.capacity
                * controller.warm_fraction(server)
                / rate_kb,
                (load_limit - controller.load_of(uplink)) * uplink.capacity / rate_kb,
                (1 - controller.load_of(places)) * places.capacity,
            )
        ),
    )


def can_free_capacity(controller: Controller, server: Server, session: Session) -> bool:
    """Whether worthwhile steps down of playing sessions would admit the session at its floor."""
    floor, link, uplink = session.service_class.floor, server.link, server.uplink
    rate_kb = session.rates[floor]
    over = {
        link: (controller.load_of(link) - ADMIT_LOAD) * link.capacity * controller.warm_fraction(server)
        + rate_kb,
        uplink: (controller.load_of(uplink) - ADMIT_LOAD) * uplink.capacity + rate_kb,
    }
    return controller.plan_steps_down(over, {}, session.gains[floor] / MIN_GAIN_RATIO, False)
