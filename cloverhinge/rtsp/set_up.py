"""A client's set-up as the platform's RTSP carries it."""

from __future__ import annotations

from cloverhinge.core.model import SetUpRequest
from cloverhinge.rtsp import messages


def hands_over(message: messages.Message) -> bool:
    """Whether a set-up tells of a session that plays already."""
    return "at" in messages.pairs(message.headers.get("x-dest", ""))


def read_set_up(message: messages.Message) -> tuple[SetUpRequest, str]:
    """The request, and the id of the pump that it plays at already ('' = none)."""
    if not messages.SESSION.fullmatch(message.session):
        raise messages.Malformed("no session")
    if not message.uri.startswith("rtsp://media/") or not message.uri[13:]:
        raise messages.Malformed("no title")
    told = messages.pairs(message.headers.get("x-dest", ""))

    def whole(name: str, default: int) -> int:
        text = told.get(name, str(default))
        if not text.isascii() or not text.isdigit() or len(text) > 9:
            raise messages.Malformed(f"{name} is no number")
        return int(text)

    ask = SetUpRequest(
        session_id=message.session,
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
