"""One player that sends requests at full speed: the answers of others come in time, and memory stays flat."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource

from cloverhinge.core.clock import Clock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.hls.connections import make_factory
from cloverhinge.lab.harness import TIMEOUT_S, Program, running_program

REQUEST = b"GET /nothing HTTP/1.1\r\nHost: router\r\n\r\n"
FETCHES = 9
ANSWER_LIMIT_S = 0.3  # a fifth of the time in which a session is wanted


class SteppingClock(Clock):
    """A clock that advances with each look at it, so that work takes time."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000.0

    def now(self) -> float:
        self.now_ms += 1.0
        return self.now_ms


class Connection:
    """An HLS connection without a socket, whose answers are all 404."""

    def __init__(self) -> None:
        self.deadlines = Deadlines(SteppingClock())
        factory = make_factory(Resource(), 8, self.deadlines)
        address = IPv4Address("TCP", "127.0.0.1", 1)
        self.protocol: Any = factory.buildProtocol(address)
        self.transport: Any = StringTransport(address, address)
        self.protocol.makeConnection(self.transport)

    @property
    def answers(self) -> int:
        return int(self.transport.value().count(b"HTTP/1.1 404"))

    def run_turns(self, count: int) -> None:
        for _ in range(count):
            self.deadlines.run()


# Guards against one read of many small requests that keeps all other connections waiting.
def test_requests_of_one_read_are_answered_over_several_turns() -> None:
    made = Connection()
    made.protocol.dataReceived(REQUEST * 1000)
    assert 0 < made.answers < 200 and made.transport.producerState == "paused"
    made.run_turns(500)
    assert made.answers == 1000 and made.transport.producerState == "producing"


# Guards against answers that pile up for a player that sends requests and reads nothing.
def test_no_request_is_answered_while_the_player_does_not_read() -> None:
    made = Connection()
    made.transport.producer.pauseProducing()
    made.protocol.dataReceived(REQUEST * 1000)
    made.run_turns(500)
    assert made.answers == 0 and made.transport.producerState == "paused"
    made.transport.producer.resumeProducing()
    made.run_turns(500)
    assert made.answers == 1000


def flood(address: tuple[str, int], path: str, over: threading.Event) -> None:
    """Send requests on one connection, and read the answers, until `over` is set."""
    with socket.create_connection(address, TIMEOUT_S) as sock, contextlib.suppress(OSError):
        sock.settimeout(0.0)
        unsent, number = b"", 0
        while not over.is_set():
            if not unsent:
                lines = (f"GET {path}{number + n} HTTP/1.1\r\nHost: x\r\n\r\n" for n in range(500))
                unsent, number = "".join(lines).encode(), number + 500
            with contextlib.suppress(BlockingIOError):
                unsent = unsent[sock.send(unsent) :]
            with contextlib.suppress(BlockingIOError):
                sock.recv(1 << 20)
            over.wait(0.0005)  # leave this process's lock to the thread that measures


def hls_address(program: Program) -> tuple[str, int]:
    match = program.wait_for(r"HLS on ([\d.]+):(\d+)")
    return match[1], int(match[2])


# Guards against fetches that wait for one connection's requests, unsound ones or ones under ever new names.
@pytest.mark.parametrize(
    "path", ["/nothing/", "/play/free/intro?play=some-player-", "/play/free/none?play=x"]
)
def test_others_are_answered_in_time_while_one_connection_sends_at_full_speed(
    tmp_path: Path, path: str
) -> None:
    site = tmp_path / "site.toml"
    site.write_text(
        f'[hls]\nlisten = "127.0.0.1:0"\nkey = "{"ab" * 32}"\n[hls.titles]\nintro = {{ copies = 3 }}\n'
    )
    with running_program(tmp_path, 2, site_file=site) as (program, _, _log):
        address, over = hls_address(program), threading.Event()
        thread = threading.Thread(target=flood, args=(address, path, over))
        thread.start()
        waits = []
        try:
            for _ in range(FETCHES):
                over.wait(0.1)
                begun = time.monotonic()
                with socket.create_connection(address, TIMEOUT_S) as sock:
                    sock.sendall(REQUEST)
                    assert sock.recv(4096).startswith(b"HTTP/1.1 404")
                waits.append(time.monotonic() - begun)
        finally:
            over.set()
            thread.join(TIMEOUT_S)
        assert sorted(waits)[FETCHES // 2] < ANSWER_LIMIT_S, waits
