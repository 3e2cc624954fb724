"""What is sent reaches a peer that reads, however much comes at once; one that does not read is cut off."""

from __future__ import annotations

import gc
import select
import socket
import time
import weakref
from pathlib import Path
from typing import Any

import pytest

from cloverhinge.core.clock import ManualClock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.lab.harness import (
    SETTINGS,
    TIMEOUT_S,
    FakeMediaServer,
    Message,
    Program,
    RtspConnection,
    ping,
    read_answer,
    running_program,
    send_set_up,
)
from cloverhinge.net.buffered import BufferedReceiver
from cloverhinge.net.output import FLUSH_GRACE_MS, STALL_TIMEOUT_MS, Output, OutputLimits
from tests.test_rtsp import Transport as ConnectionTransport

SETTINGS_WITH_ROOM = {"placesByKind": [2000], "weightKb": 1e6, "rackLinkKb": 1e7}
MAX_DESCRIPTION_BYTES = 16_000  # a message holds 16 KiB


class HangingServer(FakeMediaServer):
    """A media server that holds its answers back, and gives all of them at once."""

    def __init__(self, body_bytes: int) -> None:
        self.held: list[tuple[RtspConnection, str]] = []
        self.body_bytes = body_bytes
        super().__init__("s-00000000")
        self.on_set_up = lambda connection, message: self.held.append((connection, message.session))

    def answer_all(self) -> None:
        for connection, session in self.held:
            connection.send("RTSP/1.0 200 OK", session, body=b"x" * self.body_bytes)


def with_room(program_settings: dict[str, Any]) -> dict[str, Any]:
    return {"specifics": {**program_settings["specifics"], **SETTINGS_WITH_ROOM}}


def hang_and_answer(program: Program, server: HangingServer, client: RtspConnection, count: int) -> set[str]:
    """Sends paid set-ups, whose answers all arrive while the program stands still; returns their sessions."""
    names = {send_set_up(client, number, "paid") for number in range(1, count + 1)}
    for _ in names:
        server.expect("SETUP")
    program.pause()
    server.answer_all()
    program.resume()
    return names


def read_all(client: RtspConnection, names: set[str], start: str = "RTSP/1.0") -> list[Message]:
    found = [read_answer(client, start) for _ in names]
    assert {message.session for message in found} == names, "each exactly once"
    return found


# Guards against a burst of answers in one turn being taken for a client that does not read, and lost with it.
@pytest.mark.parametrize("count,body_bytes", [(24, 4000), (90, 1500), (80, MAX_DESCRIPTION_BYTES)])
def test_a_burst_of_answers_reaches_a_client_that_reads(tmp_path: Path, count: int, body_bytes: int) -> None:
    server = HangingServer(body_bytes)
    with running_program(tmp_path, servers=[server], **with_room(SETTINGS)) as (program, _, _log):
        client = program.connect()
        names = hang_and_answer(program, server, client, count)
        found = read_all(client, names)
        assert {message.status for message in found} == {200}
        assert all(len(message.body) == body_bytes for message in found)
        ping(client)


# Guards against a client that reads late, but in time, being taken for one that does not read.
def test_a_client_that_reads_after_a_while_gets_its_answers(tmp_path: Path) -> None:
    server = HangingServer(MAX_DESCRIPTION_BYTES)
    with running_program(tmp_path, servers=[server], **with_room(SETTINGS)) as (program, _, _log):
        client = slow_client(program)
        names = hang_and_answer(program, server, client, 80)
        watcher = program.connect()
        select.select([watcher.sock], [], [], 1.0)
        assert {message.status for message in read_all(client, names)} == {200}


# Guards against a burst of releases, as a media server is lost, that ends the connection of their client.
def test_a_burst_of_releases_reaches_its_client(tmp_path: Path) -> None:
    with running_program(tmp_path, 1, **with_room(SETTINGS)) as (program, (server,), _):
        client = program.connect()
        names = {send_set_up(client, number, title=f"t{number % 50}") for number in range(1, 901)}
        served = {
            message.session for message in (read_answer(client) for _ in names) if message.status == 200
        }
        assert len(served) > 700, "over 64 KiB of releases"
        with server.stopped(reset=True):
            read_all(client, served, "TEARDOWN")
        ping(client)


def slow_client(program: Program) -> RtspConnection:
    """A client with room for little that it has not read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.settimeout(TIMEOUT_S)
    sock.connect(("127.0.0.1", program.port))
    return RtspConnection(sock)


# Guards against a client that never reads keeping memory and its connection for good.
def test_a_client_that_does_not_read_is_cut_off(tmp_path: Path) -> None:
    server = HangingServer(MAX_DESCRIPTION_BYTES)
    with running_program(tmp_path, servers=[server], **with_room(SETTINGS)) as (program, _, _log):
        client, other = slow_client(program), program.connect()
        hang_and_answer(program, server, client, 400)
        began = time.monotonic()
        for number in range(1000, 1003):
            server.on_set_up = server.accept
            send_set_up(other, number)
            assert read_answer(other).status == 200, "others are served meanwhile"
        poller = select.poll()
        poller.register(client.sock, select.POLLHUP | select.POLLERR)
        assert poller.poll(TIMEOUT_S * 1000.0), "its connection is reset"
        assert time.monotonic() - began > 1.0


class Transport:
    """A transport that pauses its producer over a limit, as Twisted's do, until it is flushed."""

    LIMIT = 100

    def __init__(self) -> None:
        self.buffer, self.taken = b"", b""
        self.producer: Any = None

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        self.producer = producer

    def unregisterProducer(self) -> None:
        self.producer = None

    def write(self, data: bytes) -> None:
        self.buffer += data
        if self.producer is not None and len(self.buffer) > self.LIMIT:
            self.producer.pauseProducing()

    def flush(self) -> None:
        self.taken, self.buffer = self.taken + self.buffer, b""
        if self.producer is not None and self.producer.blocked:
            self.producer.resumeProducing()


class Connections:
    """Outputs that share limits, on a clock that the test sets."""

    def __init__(self, max_waiting_bytes: int) -> None:
        self.clock = ManualClock()
        self.deadlines = Deadlines(self.clock)
        self.limits = OutputLimits(self.deadlines, max_waiting_bytes)
        self.dropped: list[str] = []

    def open(self, name: str) -> tuple[Output, Transport]:
        def drop() -> None:
            self.dropped.append(name)
            output.discard()

        output, transport = Output(self.limits, drop), Transport()
        output.open(transport)
        return output, transport

    def advance(self, ms: float) -> None:
        for _ in range(int(ms / 10.0)):
            self.clock.advance(10.0)
            self.deadlines.run()


def test_all_is_sent_in_order_as_the_peer_takes_it() -> None:
    connections = Connections(10_000)
    output, transport = connections.open("one")
    pieces = [bytes([65 + n]) * 60 for n in range(20)]
    for piece in pieces:
        output.send(piece)
    assert len(transport.buffer) <= Transport.LIMIT + 60 and connections.limits.waiting_bytes > 0
    while len(transport.taken) < 1200:
        transport.flush()
    assert transport.taken == b"".join(pieces)
    assert connections.limits.waiting_bytes == 0 and not len(connections.deadlines)


# Guards against a peer that goes on reading slowly being cut off, and one that has stopped being kept.
def test_a_peer_is_cut_off_only_when_it_has_taken_nothing_for_the_whole_time() -> None:
    connections = Connections(10_000)
    output, transport = connections.open("one")
    for _ in range(20):
        output.send(b"x" * 60)
    for _ in range(4):
        connections.advance(STALL_TIMEOUT_MS * 0.9)
        transport.flush()
    assert not connections.dropped
    connections.advance(STALL_TIMEOUT_MS - 10.0)
    assert not connections.dropped
    connections.advance(FLUSH_GRACE_MS + 20.0)
    assert connections.dropped == ["one"] and connections.limits.waiting_bytes == 0


# Guards against unread answers without bound, and against their limit being taken out on a client that reads.
def test_over_the_limit_the_connection_that_has_stalled_longest_is_dropped() -> None:
    connections = Connections(2_000)
    stalled, _ = connections.open("stalled")
    reading, transport = connections.open("reading")
    for output in (stalled, reading):
        for _ in range(12):
            output.send(b"x" * 60)
    connections.advance(100.0)
    transport.flush()
    for _ in range(20):
        reading.send(b"y" * 60)
    assert connections.dropped == ["stalled"]
    assert connections.limits.waiting_bytes <= connections.limits.max_waiting_bytes


def test_what_was_never_sent_is_returned_when_the_connection_ends() -> None:
    connections = Connections(10_000)
    output, transport = connections.open("one")
    for number in range(5):
        output.send(bytes([65 + number]) * 60)
    assert output.discard() == [b"C" * 60, b"D" * 60, b"E" * 60]
    output.send(b"later")
    assert len(transport.buffer) == 120 and connections.limits.waiting_bytes == 0


# Guards against ended connections that stay in memory until a full garbage collection.
def test_an_ended_connection_is_freed_at_once() -> None:
    connections = Connections(10_000)
    receiver: Any = BufferedReceiver(connections.limits)
    transport: Any = ConnectionTransport
    receiver.makeConnection(transport())
    receiver.connectionLost()
    receiver.transport = None
    reference = weakref.ref(receiver)
    gc.disable()
    try:
        del receiver
        assert reference() is None
    finally:
        gc.enable()
