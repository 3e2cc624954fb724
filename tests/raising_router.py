"""A router in which single steps raise, started as a program: `python -O -m tests.raising_router serve`.

RAISING_STEP names the step; it raises for every request or session of the title `raises`.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any

from cloverhinge.admission import gateway
from cloverhinge.cli import main
from cloverhinge.core.model import Attempt, Request
from cloverhinge.core.router import Router
from cloverhinge.decision.logic import Controller
from cloverhinge.rtsp import front, server_pool
from cloverhinge.rtsp.server_connection import Probe

VARIABLE = "RAISING_STEP"
TITLE = "raises"


class InjectedError(Exception):
    """Raised by a step."""


def _raise_for(title: str) -> None:
    if title == TITLE:
        raise InjectedError(title)


def _patch(owner: Any, name: str, title_of: Callable[..., str], first: bool = True) -> None:
    """Make a function raise, before its work or, without `first`, behind it."""
    original = getattr(owner, name)

    def raising(*arguments: Any) -> Any:
        if first:
            _raise_for(title_of(*arguments))
        result = original(*arguments)
        if not first:
            _raise_for(title_of(*arguments))
        return result

    setattr(owner, name, raising)


def _title_of_request(_: Any, request: Request, *__: Any) -> str:
    return request.set_up.title


def _title_of_item(item: Attempt | Probe) -> str:
    return item.request.set_up.title if isinstance(item, Attempt) else ""


STEPS: dict[str, Callable[[], None]] = {
    "the decision": lambda: _patch(
        Controller, "session_requested", lambda _, event: event.title, first=False
    ),
    "the choice": lambda: _patch(Controller, "send_attempt", lambda _, session: session.request.title),
    "the booking": lambda: _patch(
        Controller, "send_attempt", lambda _, session: session.request.title, first=False
    ),
    "admission's arrival": lambda: _patch(gateway.AdmissionGateway, "arrive", _title_of_request),
    "admission's refusal": lambda: _patch(Router, "reject", _title_of_request),
    "admission's account": lambda: _patch(gateway.AdmissionGateway, "established", _title_of_request),
    "the parser": lambda: _patch(front, "parse_set_up", lambda message: message.uri.rpartition("/")[2]),
    "the send": lambda: _patch(server_pool.ServerPool, "write", lambda _, __, item: _title_of_item(item)),
}


if __name__ == "__main__":
    STEPS[os.environ[VARIABLE]]()
    sys.exit(main(sys.argv[1:]))
