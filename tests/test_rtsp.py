"""The message codec: input in arbitrary chunks and with arbitrary content."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport

from cloverhinge.core.clock import ManualClock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.net.output import OutputLimits
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.set_up import parse_set_up

SETUP = (
    b"SETUP rtsp://media/7f3a RTSP/1.0\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nX-Call-Class: paid\r\n"
    b"X-Ring-Limit: 1500\r\nX-Dest: home:4;copies:3;top:2;viewer:aa;again:1\r\nContent-Length: 9\r\n\r\n"
    b"a\r\nb\r\n\r\nc"
)
ANSWER = b"RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: 0\r\n\r\n"


class Empty:
    """A socket without unread data."""

    def recv(self, size: int, flags: int = 0) -> bytes:
        raise BlockingIOError


class Transport(StringTransport):
    socket = Empty()

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def loseWriteConnection(self) -> None:
        pass


class Reader(messages.RtspProtocol):
    def __init__(self) -> None:
        super().__init__(OutputLimits(Deadlines(ManualClock())))
        self.seen: list[messages.Message] = []
        transport: Any = Transport
        self.connect(transport())

    def connect(self, transport: Any) -> None:
        connect: Any = self.makeConnection
        connect(transport)

    def received(self, message: messages.Message) -> None:
        self.seen.append(message)


@given(st.lists(st.integers(0, len(SETUP + ANSWER) * 2), max_size=12))
def test_messages_are_read_whole_however_they_are_cut(cuts: list[int]) -> None:
    data, reader = (SETUP + ANSWER) * 2, Reader()
    edges = [0, *sorted(cuts), len(data)]
    for start, end in zip(edges, edges[1:], strict=False):
        reader.dataReceived(data[start:end])
    assert [(m.method, m.status, m.body) for m in reader.seen] == [
        ("SETUP", 0, b"a\r\nb\r\n\r\nc"),
        ("", 200, b""),
    ] * 2
    assert (
        not reader.mid_message and len(reader.buffer) == 0
    ), "all input is consumed and the buffer is compacted"


@given(st.binary(max_size=400))
def test_no_input_lets_an_exception_escape(data: bytes) -> None:
    reader = Reader()
    reader.dataReceived(data)
    reader.dataReceived(b"\r\n\r\n" + SETUP)


def test_a_set_up_is_parsed_as_the_protocol_says() -> None:
    reader = Reader()
    reader.dataReceived(SETUP)
    set_up, at = parse_set_up(reader.seen[0])
    assert (
        set_up.session_id,
        set_up.class_name,
        set_up.title,
        set_up.first_cell,
        set_up.copies,
        set_up.ceiling,
        set_up.wait_ms,
    ) == (
        "9b1f03aa5c7e2d41",
        "paid",
        "7f3a",
        4,
        3,
        2,
        1500.0,
    )
    assert (set_up.viewer_id, set_up.returning, at, set_up.body) == ("aa", True, "", b"a\r\nb\r\n\r\nc")


def test_an_encoded_message_can_be_parsed() -> None:
    reader = Reader()
    name = "9b1f03aa5c7e2d41"
    reader.dataReceived(
        messages.encode_request("TEARDOWN", "rtsp://media/x", 2, name, {"Reason": "cause=16"})
    )
    reader.dataReceived(messages.encode_response(503, "1", name, {"X-Hold-Off": "800"}, b"body"))
    assert reader.seen[0].headers["reason"] == "cause=16"
    assert (reader.seen[1].status, reader.seen[1].headers["x-hold-off"], reader.seen[1].body) == (
        503,
        "800",
        b"body",
    )
