"""A media server leaves the list or changes its address while set-ups or probes to it are under way."""

from __future__ import annotations

import queue
from pathlib import Path
from typing import Any

from cloverhinge.lab.harness import (
    TIMEOUT_S,
    FakeMediaServer,
    Message,
    RtspConnection,
    read_answer,
    running_program,
    send_set_up,
)


class SilentServer(FakeMediaServer):
    """Answers no probe; records when a connection to it has ended."""

    def __init__(self, name: str, cell: int) -> None:
        self.ended: queue.Queue[RtspConnection] = queue.Queue()
        self.probed: queue.Queue[tuple[RtspConnection, str]] = queue.Queue()
        super().__init__(name, cell)

    def serve(self, wire: RtspConnection) -> None:
        while message := wire.read():
            self._take(wire, message)
        self.ended.put(wire)

    def _take(self, wire: RtspConnection, message: Message) -> None:
        if message.start.startswith("OPTIONS"):
            self.probed.put((wire, message.session))


def moved(server: FakeMediaServer) -> tuple[FakeMediaServer, dict[str, Any]]:
    """A server under the same id at another address, and its row in the list."""
    other = FakeMediaServer(server.name, server.cell)
    return other, other.list_entry()


def test_an_attempt_is_cancelled_on_the_connection_that_carries_it(tmp_path: Path) -> None:
    """Its late answer leaves a session that nobody owns, which has to be released at that server."""
    with running_program(tmp_path, 1) as (program, (server,), log):
        server.on_set_up = server.leave_unanswered
        client = program.connect()
        name = send_set_up(client, 1)
        wire, _ = server.expect("SETUP")
        other, row = moved(server)
        log.publish([row])
        program.wait_for("list 2")
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        assert read_answer(client).status == 200
        cancelled = server.expect("TEARDOWN")[1]
        assert cancelled.session == name and "reason" not in cancelled.headers
        wire.send("RTSP/1.0 200 OK", name, body=b"late")
        released = server.expect("TEARDOWN")[1]
        assert (released.session, released.headers["reason"]) == (name, "cause=31")
        assert not other.set_up_sessions and other.inbox.empty()
        other.stop()


def test_a_late_answer_of_a_delisted_server_is_released_there(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, (server,), log):
        server.on_set_up = server.leave_unanswered
        client = program.connect()
        name = send_set_up(client, 1)
        wire, _ = server.expect("SETUP")
        log.publish([server.list_entry("left")])
        program.wait_for("list 2")
        client.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2)
        assert read_answer(client).status == 200
        wire.send("RTSP/1.0 200 OK", name, body=b"late")
        assert [server.expect("TEARDOWN")[1].headers.get("reason") for _ in range(2)] == [None, "cause=31"]


def test_a_probe_under_way_to_a_moved_server_does_not_keep_its_connection(tmp_path: Path) -> None:
    """The connection to the old address is closed once the probe has timed out."""
    silent = SilentServer("s-00000000", 0)
    with running_program(tmp_path, servers=[silent], fleetSize=10) as (program, _, log):
        client = program.connect()
        send_set_up(client, 1)
        wire, _ = silent.probed.get(timeout=TIMEOUT_S)
        other, row = moved(silent)
        log.publish([row])
        assert silent.ended.get(timeout=TIMEOUT_S) is wire
        other.stop()
