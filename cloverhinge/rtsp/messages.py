"""RTSP messages as the platform uses them: their encoding, and the protocol that parses them."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from cloverhinge.core.containment import report_exception
from cloverhinge.net.buffered import MAX_MESSAGE_BYTES, BufferedReceiver
from cloverhinge.net.output import OutputLimits

VERSION = "RTSP/1.0"
MAX_HEADERS = 64
SESSION_ID = re.compile(r"[0-9a-fA-F]{16}")
METHOD = re.compile(r"[A-Z_]{1,32}")
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
REASON_PHRASES = {
    100: "Continue",
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    413: "Request Entity Too Large",
    455: "Method Not Valid in This State",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "RTSP Version Not Supported",
}


class MalformedMessage(ValueError):
    """Input that is not a valid message; `status` is the status code to answer it with."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request (`method` and `uri` are set) or a response (`status` is set)."""

    method: str = ""  # of a request
    uri: str = ""
    status: int = 0  # of a response
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""

    @property
    def session_id(self) -> str:
        """The value of the Session header, or "" without one."""
        return self.headers.get("session", "")

    def number(self, name: str, default: float | None = None) -> float:
        """Return the value of a header as a number in the range from 0 to below 1e15.

        `name` is in lower case.  Raises MalformedMessage if the value is no such number, or if the header is
        missing and there is no default.
        """
        text = self.headers.get(name)
        if text is None:
            if default is None:
                raise MalformedMessage(f"{name} header is missing")
            return default
        try:
            value = float(text)
        except ValueError:
            raise MalformedMessage(f"{name} header is not a number") from None
        if not 0 <= value < 1e15:
            raise MalformedMessage(f"{name} header is out of range")
        return value


def parse_start_line(line: bytes) -> Message:
    """Parse a request line or a status line into a new message.

    Raises MalformedMessage, or UnicodeDecodeError if the line is not UTF-8.
    """
    words = line.decode("utf-8", "strict").split(" ", 2)
    if words[0] == VERSION:
        if len(words) < 2 or not re.fullmatch(r"[1-5][0-9][0-9]", words[1]):
            raise MalformedMessage("invalid status line")
        return Message(status=int(words[1]))
    if len(words) != 3 or not METHOD.fullmatch(words[0]) or not words[1]:
        raise MalformedMessage("invalid request line")
    if words[2] != VERSION:
        raise MalformedMessage("unsupported RTSP version", 505)
    return Message(method=words[0], uri=words[1])


def parse_header(message: Message, line: bytes) -> None:
    """Parse a header line and add it to the message.

    Raises MalformedMessage, or UnicodeDecodeError if the line is not UTF-8.
    """
    name, colon, value = line.decode("utf-8", "strict").partition(":")
    if not colon or not HEADER_NAME.fullmatch(name):
        raise MalformedMessage("invalid header line")
    if len(message.headers) >= MAX_HEADERS:
        raise MalformedMessage("too many headers")
    key = name.lower()
    if key in message.headers:
        raise MalformedMessage(f"{name} header is duplicated")
    message.headers[key] = value.strip()


def body_length(message: Message) -> int:
    """Return the length of the body in bytes; 0 without Content-Length.

    Raises MalformedMessage if the header is not a number of at most nine digits.
    """
    text = message.headers.get("content-length", "0")
    if not re.fullmatch(r"[0-9]{1,9}", text):
        raise MalformedMessage("Content-Length is not a number")
    return int(text)


def encode_request(
    method: str, uri: str, cseq: int, session: str, fields: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Encode a request; `fields` are its further headers."""
    return _encode(f"{method} {uri} {VERSION}", str(cseq), session, fields, body)


def encode_response(
    status: int, cseq: str, session: str, fields: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Encode a response; `fields` are its further headers."""
    return _encode(f"{VERSION} {status} {REASON_PHRASES.get(status, 'Other')}", cseq, session, fields, body)


def _encode(line: str, cseq: str, session: str, fields: dict[str, str] | None, body: bytes) -> bytes:
    lines = [line, f"CSeq: {cseq}"]
    if session:
        lines.append(f"Session: {session}")
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def parse_pairs(text: str) -> dict[str, str]:
    """Parse a header value of the form `a:1;b:2`; items without a colon are ignored."""
    found = {}
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        if colon:
            found[name.strip()] = value.strip()
    return found


class RtspProtocol(BufferedReceiver):
    """Reads messages and passes each complete one to `received`.

    Invalid input is answered with an error status, and the connection is closed.
    """

    def __init__(self, limits: OutputLimits) -> None:
        super().__init__(limits)
        self.message: Message | None = None
        self.message_bytes = 0

    @property
    def mid_message(self) -> bool:
        """Whether part of a message has been read."""
        return self.message is not None or bool(self.buffer)

    def lineReceived(self, line: bytes) -> None:
        if self.message is None and not line:
            return  # RFC 2326 allows empty lines before a message
        try:
            self.message_bytes += len(line) + 2
            if self.message_bytes > MAX_MESSAGE_BYTES:
                raise MalformedMessage("too long", 413)
            if self.message is None:
                self.message = parse_start_line(line)
            elif line:
                parse_header(self.message, line)
            else:
                length = body_length(self.message)
                if self.message_bytes + length > MAX_MESSAGE_BYTES:
                    raise MalformedMessage("too long", 413)
                if length:
                    self.expected = length
                    self.setRawMode()
                else:
                    self._message_complete()
        except UnicodeDecodeError:
            self.malformed(MalformedMessage("not UTF-8"))
        except MalformedMessage as error:
            self.malformed(error)

    def rawDataReceived(self, data: bytes) -> None:
        assert self.message is not None
        self.message.body = data
        self.setLineMode()
        self._message_complete()

    def _message_complete(self) -> None:
        message, self.message, self.message_bytes = self.message, None, 0
        assert message is not None
        try:
            self.received(message)
        except MalformedMessage as error:
            self.malformed(error, message)
        except Exception:
            report_exception("a message is processed")

    def oversized(self) -> None:
        self.malformed(MalformedMessage("too long", 413))

    def malformed(self, error: MalformedMessage, message: Message | None = None) -> None:
        """Answer with the error's status, unless the input is a response.

        Without a complete message the start of the next one is unknown, so the connection is closed.
        """
        seen = message or self.message
        if seen is None or not seen.status:
            headers = seen.headers if seen else {}
            self.send(encode_response(error.status, headers.get("cseq", "0"), headers.get("session", "")))
        if message is None:
            self.close()

    def received(self, message: Message) -> None:
        """Process a complete message; MalformedMessage makes it answered with an error."""
        raise NotImplementedError
