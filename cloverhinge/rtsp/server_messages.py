"""Messages of media servers: load reports, and events of established sessions; the release sent to them."""

from __future__ import annotations

import math

from cloverhinge.core.model import Cause, Request
from cloverhinge.decision import interface as api
from cloverhinge.rtsp import messages

MAX_REPORTED_FIGURE = 1e6  # of a load report; more is no load of a media server, and its squares overflow
MIN_DELIVERED_SHARE = 0.001  # a smaller one counts as this: the load of a link is taken as its reciprocal


def parse_load_report(message: messages.Message) -> api.LoadReport | None:
    """Read the load report in a message; None if there is none.

    Values that are not finite numbers are ignored; others are limited to 0 and `MAX_REPORTED_FIGURE`.
    """
    # Of the server: `outstanding` streams, `x0` the load of its link, `x1` that of its uplink.
    fields = messages.parse_pairs(message.headers.get("x-circuits", ""))
    figures: dict[str, float] = {}
    for name, value in fields.items():
        try:
            figure = float(value)
        except ValueError:
            continue
        if math.isfinite(figure):
            figures[name] = min(max(figure, 0.0), MAX_REPORTED_FIGURE)
    if not figures:
        return None
    return api.LoadReport(figures.get("outstanding"), figures.get("x0"), figures.get("x1"))


def parse_session_event(
    message: messages.Message, request: Request, server: int, rung_count: int
) -> api.Event | None:
    """Read a media server's note on a session; None if it is of an unknown kind.

    Raises MalformedMessage if its value is missing, not a number, or not one of the ladder's `rung_count`
    rungs in a note on the rung.
    """
    value = message.number("x-reading")
    match message.headers.get("x-why"):
        case "delivered":
            share = max(value, MIN_DELIVERED_SHARE) if value else 0.0
            return api.DeliveredShare(request.handle, server, share)
        case "rung":
            if value >= rung_count:
                raise messages.MalformedMessage("x-reading header names no rung")
            return api.RungReported(request.handle, server, int(value))
        case "link":
            return api.LinkNote(request.handle, server, value)
        case "uplink":
            return api.UplinkNote(request.handle, server, value)
    return None


def encode_release(name: str, cause: Cause) -> bytes:
    """Encode the request that ends a session at its media server."""
    return messages.encode_request(
        "TEARDOWN", "rtsp://media/session", 2, name, {"Reason": f"cause={cause.value}"}
    )
