"""Parses a client's set-up request."""

from __future__ import annotations

from cloverhinge.core.model import SetUpRequest
from cloverhinge.rtsp import messages


def is_hand_over(message: messages.Message) -> bool:
    """Whether a set-up request hands over a session that is already established at a media server."""
    return "at" in messages.parse_pairs(message.headers.get("x-dest", ""))


def parse_set_up(message: messages.Message) -> tuple[SetUpRequest, str]:
    """Return the set-up request, and the id of the media server that already plays the session ("" if none).

    Raises MalformedMessage if a value is missing or invalid.
    """
    if not messages.SESSION_ID.fullmatch(message.session_id):
        raise messages.MalformedMessage("invalid or missing session id")
    if not message.uri.startswith("rtsp://media/") or not message.uri[13:]:
        raise messages.MalformedMessage("URI names no title")
    destination = messages.parse_pairs(message.headers.get("x-dest", ""))

    def parse_integer(name: str, default: int) -> int:
        text = destination.get(name, str(default))
        if not text.isascii() or not text.isdigit() or len(text) > 9:
            raise messages.MalformedMessage(f"{name} in X-Dest is not a number")
        return int(text)

    set_up = SetUpRequest(
        session_id=message.session_id,
        class_name=message.headers.get("x-call-class", ""),
        title=message.uri[13:],
        first_cell=parse_integer("home", 0),
        copies=parse_integer("copies", 0),
        ceiling=parse_integer("top", 255),
        wait_ms=message.number("x-ring-limit", 0.0 if "at" in destination else None),
        body=message.body,
        length_ms=message.number("x-guess", 0.0),
        viewer_id=destination.get("viewer", ""),
        returning=message.headers.get("x-again") == "1" or destination.get("again") == "1",
    )
    return set_up, destination.get("at", "")
