"""A client's set-up as the platform's RTSP carries it."""

from __future__ import annotations

from cloverhinge.core.model import SetUpRequest
from cloverhinge.rtsp import messages


def is_hand_over(message: messages.Message) -> bool:
    """Whether a set-up tells of a session that plays already."""
    return "at" in messages.parse_pairs(message.headers.get("x-dest", ""))


def parse_set_up(message: messages.Message) -> tuple[SetUpRequest, str]:
    """The request, and the id of the pump that it plays at already ('' = none)."""
    if not messages.SESSION_ID.fullmatch(message.session_id):
        raise messages.MalformedMessage("no session")
    if not message.uri.startswith("rtsp://media/") or not message.uri[13:]:
        raise messages.MalformedMessage("no title")
    told = messages.parse_pairs(message.headers.get("x-dest", ""))

    def whole(name: str, default: int) -> int:
        text = told.get(name, str(default))
        if not text.isascii() or not text.isdigit() or len(text) > 9:
            raise messages.MalformedMessage(f"{name} is no number")
        return int(text)

    ask = SetUpRequest(
        session_id=message.session_id,
        class_name=message.headers.get("x-call-class", ""),
        title=message.uri[13:],
        first_cell=whole("home", 0),
        copies=whole("copies", 0),
        ceiling=whole("top", 255),
        wait_ms=message.number("x-ring-limit", 0.0 if "at" in told else None),
        body=message.body,
        length_ms=message.number("x-guess", 0.0),
        viewer_id=told.get("viewer", ""),
        returning=message.headers.get("x-again") == "1" or told.get("again") == "1",
    )
    return ask, told.get("at", "")
