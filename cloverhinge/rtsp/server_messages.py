"""What a media server says beside its answers: reports of its load, and notes on sessions that stand."""

from __future__ import annotations

from cloverhinge.core.model import Cause, Request
from cloverhinge.decision import interface as api
from cloverhinge.rtsp import messages


def parse_load_report(message: messages.Message) -> api.LoadReport | None:
    told = messages.parse_pairs(message.headers.get("x-circuits", ""))
    figures: dict[str, float] = {}
    for name, value in told.items():
        try:
            figures[name] = float(value)
        except ValueError:
            continue
    if not figures:
        return None
    return api.LoadReport(figures.get("outstanding"), figures.get("x0"), figures.get("x1"))


def parse_session_event(message: messages.Message, request: Request, server: int) -> api.Event | None:
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
    return messages.encode_request(
        "TEARDOWN", "rtsp://media/session", 2, name, {"Reason": f"cause={cause.value}"}
    )
