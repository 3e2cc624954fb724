"""Messages of media servers: load reports, and events of established sessions; the release sent to them."""

from __future__ import annotations

from cloverhinge.core.model import Cause, Request
from cloverhinge.decision import interface as api
from cloverhinge.rtsp import messages


def parse_load_report(message: messages.Message) -> api.LoadReport | None:
    """Read the load report in a message; values that are not numbers are ignored.  None if there is none."""
    # Of the server: `outstanding` streams, `x0` the load of its link, `x1` that of its uplink.
    fields = messages.parse_pairs(message.headers.get("x-circuits", ""))
    figures: dict[str, float] = {}
    for name, value in fields.items():
        try:
            figures[name] = float(value)
        except ValueError:
            continue
    if not figures:
        return None
    return api.LoadReport(figures.get("outstanding"), figures.get("x0"), figures.get("x1"))


def parse_session_event(message: messages.Message, request: Request, server: int) -> api.Event | None:
    """Read a media server's note on a session; None if it is of an unknown kind.

    Raises MalformedMessage if its value is missing or not a number.
    """
    value = message.number("x-reading")
    match message.headers.get("x-why"):
        case "delivered":
            return api.DeliveredShare(request.handle, server, value)
        case "rung":
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
