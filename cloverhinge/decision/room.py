"""Whether the module would take a session now, asked without an event: no draw, no step, no action.

The same tests as the module's own path (`usable`, `fits`, `plan_steps`) for a session at its class's floor.
Chances that the module draws (cold boxes) count as won, and what it would ask first counts as known: what
is told "room" may still be refused.
"""

from __future__ import annotations

import math

from cloverhinge.decision import interface as api
from cloverhinge.decision.logic import MARK, STEP_GAIN, Controller
from cloverhinge.decision.state import Server, Session, held


def room(module: Controller, now_us: int, class_name: str, first_cell: int, copies: int, title: str) -> bool:
    """A holder of a title has room for one more of a class; where the class has seats, one of the title is
    left."""
    kind, module.now = module.classes[class_name], max(module.now, now_us)
    module.averages.clear()  # they were of the last event
    request = api.SessionRequested(-1, class_name, title, first_cell, copies, kind.floor,
                                   now_us + kind.deadline_us)
    session = Session(request, kind, now_us, kind.floor, module.rates[class_name], rung=kind.floor)
    if kind.seats and held(module.sessions, session) >= kind.seats:
        return False
    holders = module.fleet.holders(request)
    session.cold_turns = {server.listing.server: True for server in holders}
    able = [server for server in holders if module.usable(server, session)]
    kb, mark = session.rates[kind.floor], module.mark(session, kind.floor)
    return any(module.fits(server, kb, mark) for server in able) or any(
        module.fits(server, 0, math.inf) and makes_room(module, server, session) for server in able)


def makes_room(module: Controller, server: Server, session: Session) -> bool:
    """Whether steps down of playing sessions that pay would let it in at its floor."""
    floor, link, uplink = session.kind.floor, server.link, server.uplink
    kb = session.rates[floor]
    over = {link: (module.load_of(link) - MARK) * link.capacity * module.warmth(server) + kb,
            uplink: (module.load_of(uplink) - MARK) * uplink.capacity + kb}
    return module.plan_steps(over, {}, module.step_value(session, floor) / STEP_GAIN, False)
