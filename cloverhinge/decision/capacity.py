"""Whether the module would take a session now, asked without an event: no draw, no step, no action.

The same tests as the module's own path (`usable`, `fits`, `plan_steps`) for a session at its class's floor.
Chances that the module draws (cold boxes) count as won, and what it would ask first counts as known: what
is told "room" may still be refused.
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
    """How many more of a class the holders of a title have room for, about; 0 where none has.

    Where the class has seats, as many as the title has left.
    """
    kind = controller.classes[class_name]
    if now_us > controller.now_us:
        controller.now_us = now_us
        controller.load_statistics_cache.clear()  # they were of the last event
    request = api.SessionRequested(
        -1, class_name, title, first_cell, copies, kind.floor, now_us + kind.deadline_us
    )
    session = Session(
        request,
        kind,
        now_us,
        kind.floor,
        controller.rates[class_name],
        controller.gains[class_name],
        rung=kind.floor,
    )
    seats = kind.seats - held_seats(controller.sessions, session) if kind.seats else math.inf
    if seats <= 0:
        return 0
    holders = controller.fleet.holders(request)
    session.cold_draws = {server.listing.server: True for server in holders}
    able = [server for server in holders if controller.usable(server, session)]
    kb, mark = session.rates[kind.floor], controller.admission_limit(session, kind.floor)
    fitting = sum(
        fitting_sessions(controller, server, kb, mark) for server in able if controller.fits(server, kb, mark)
    )
    if fitting:
        return int(min(fitting, seats))
    return int(
        any(
            controller.fits(server, 0, math.inf) and can_free_capacity(controller, server, session)
            for server in able
        )
    )


def fitting_sessions(controller: Controller, server: Server, kb: float, load_limit: float) -> int:
    """Sessions of a rate that a server has room for up to a mark; one at least, as it fits."""
    link, uplink, places = server.link, server.uplink, server.places
    return max(
        1,
        int(
            min(
                (load_limit - controller.load_of(link))
                * link.capacity
                * controller.warm_fraction(server)
                / kb,
                (load_limit - controller.load_of(uplink)) * uplink.capacity / kb,
                (1 - controller.load_of(places)) * places.capacity,
            )
        ),
    )


def can_free_capacity(controller: Controller, server: Server, session: Session) -> bool:
    """Whether steps down of playing sessions that pay would let it in at its floor."""
    floor, link, uplink = session.service_class.floor, server.link, server.uplink
    kb = session.rates[floor]
    over = {
        link: (controller.load_of(link) - ADMIT_LOAD) * link.capacity * controller.warm_fraction(server) + kb,
        uplink: (controller.load_of(uplink) - ADMIT_LOAD) * uplink.capacity + kb,
    }
    return controller.plan_steps_down(over, {}, session.gains[floor] / MIN_GAIN_RATIO, False)
