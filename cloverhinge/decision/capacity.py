"""Whether the module would take a session now, asked without an event: no draw, no step, no action.

The same tests as the module's own path (`usable`, `fits`, `plan_steps`) for a session at its class's floor.
Chances that the module draws (cold boxes) count as won, and what it would ask first counts as known: what
is told "room" may still be refused.
"""

from __future__ import annotations

import math

from cloverhinge.decision import interface as api
from cloverhinge.decision.logic import Controller
from cloverhinge.decision.rungs import MARK, STEP_GAIN
from cloverhinge.decision.state import Server, Session, held


def room(module: Controller, now_us: int, class_name: str, first_cell: int, copies: int, title: str) -> int:
    """How many more of a class the holders of a title have room for, about; 0 where none has.

    Where the class has seats, as many as the title has left.
    """
    kind = module.classes[class_name]
    if now_us > module.now:
        module.now = now_us
        module.averages.clear()  # they were of the last event
    request = api.SessionRequested(
        -1, class_name, title, first_cell, copies, kind.floor, now_us + kind.deadline_us
    )
    session = Session(
        request, kind, now_us, kind.floor, module.rates[class_name], module.gains[class_name], rung=kind.floor
    )
    seats = kind.seats - held(module.sessions, session) if kind.seats else math.inf
    if seats <= 0:
        return 0
    holders = module.fleet.holders(request)
    session.cold_turns = {server.listing.server: True for server in holders}
    able = [server for server in holders if module.usable(server, session)]
    kb, mark = session.rates[kind.floor], module.mark(session, kind.floor)
    fitting = sum(left(module, server, kb, mark) for server in able if module.fits(server, kb, mark))
    if fitting:
        return int(min(fitting, seats))
    return int(
        any(module.fits(server, 0, math.inf) and makes_room(module, server, session) for server in able)
    )


def left(module: Controller, server: Server, kb: float, mark: float) -> int:
    """Sessions of a rate that a server has room for up to a mark; one at least, as it fits."""
    link, uplink, places = server.link, server.uplink, server.places
    return max(
        1,
        int(
            min(
                (mark - module.load_of(link)) * link.capacity * module.warmth(server) / kb,
                (mark - module.load_of(uplink)) * uplink.capacity / kb,
                (1 - module.load_of(places)) * places.capacity,
            )
        ),
    )


def makes_room(module: Controller, server: Server, session: Session) -> bool:
    """Whether steps down of playing sessions that pay would let it in at its floor."""
    floor, link, uplink = session.kind.floor, server.link, server.uplink
    kb = session.rates[floor]
    over = {
        link: (module.load_of(link) - MARK) * link.capacity * module.warmth(server) + kb,
        uplink: (module.load_of(uplink) - MARK) * uplink.capacity + kb,
    }
    return module.plan_steps(over, {}, session.gains[floor] / STEP_GAIN, False)
