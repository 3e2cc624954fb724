"""Bad clients, bad pumps: the program as a process, and what the others are still owed."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any, cast

import pytest

from cloverhinge.core.clock import ManualClock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import ServerPort
from cloverhinge.core.router import Router
from cloverhinge.core.slots import SlotTable
from cloverhinge.lab.harness import (
    FakeMediaServer,
    Message,
    RtspConnection,
    read_answer,
    running_program,
    send_set_up,
)
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.client import RtspClient
from cloverhinge.rtsp.client_connection import ClientConnection
from cloverhinge.rtsp.front import Front
from tests.helpers import settings
from tests.test_rtsp import Transport


def test_who_says_nothing_or_trickles_is_closed_within_3_s_and_an_idle_viewer_is_not(tmp_path: Path) -> None:
    """Guards the descriptors: bytes that complete no message renew nothing."""
    with running_program(tmp_path, 1) as (program, _, _log):
        viewer, silent, slow = (program.connect() for _ in range(3))
        viewer.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
        assert read_answer(viewer).status == 200
        started, ended = time.monotonic(), threading.Event()

        def trickle() -> None:
            with suppress(OSError):
                for byte in b"SETUP rtsp://media/x RTSP/1.0\r\n" * 20:
                    slow.sock.sendall(bytes([byte]))
                    if ended.wait(0.05):
                        return

        threading.Thread(target=trickle, daemon=True).start()
        assert silent.read() is None and slow.read() is None
        ended.set()
        assert 2.0 < time.monotonic() - started < 3.0
        send_set_up(viewer, 1)
        assert read_answer(viewer).status == 200


def test_a_flood_of_silent_connections_displaces_no_viewer_and_hears_no_release(tmp_path: Path) -> None:
    """Guards against releases told to strangers, and against the table emptied of viewers by a flood."""
    with running_program(tmp_path, 1, sockets=64) as (program, pumps, _):
        gone, viewer = program.connect(), program.connect()
        names = [send_set_up(gone, 1), send_set_up(viewer, 2)]
        assert read_answer(gone).status == 200 and read_answer(viewer).status == 200
        gone.close()
        flood = [program.connect() for _ in range(100)]  # the table holds 32
        wire, _ = pumps[0].expect("SETUP")
        for name in names:
            wire.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2, Reason="cause=41")
            assert read_answer(viewer, "TEARDOWN").session == name
        for stranger in flood:
            stranger.close()


def test_a_session_handed_over_at_a_box_that_is_not_listed_is_over(tmp_path: Path) -> None:
    """Guards against sessions that nothing ends."""
    with running_program(tmp_path, 1) as (program, _, _log):
        viewer = program.connect()
        name = send_set_up(viewer, 1, dest="home:0;copies:3;top:1;viewer:aa;at:s-0badbad0")
        gone = read_answer(viewer, "TEARDOWN")
        assert (gone.session, gone.headers["reason"]) == (name, "cause=41")
        send_set_up(viewer, 1)  # its id is free again
        assert read_answer(viewer).status == 200


def test_who_makes_room_is_found_without_a_look_at_all_connections() -> None:
    """Guards the loop: a look at 500 lines for each of 7,000 connections took a fifth of a day's CPU."""

    class Unseen(SlotTable[ClientConnection]):
        def __iter__(self) -> Iterator[ClientConnection]:
            raise AssertionError("all lines are looked at")

    clock, boxes = ManualClock(), cast(ServerPort, None)
    deadlines = Deadlines(clock)
    front = Front(Router(settings(), 1, clock, deadlines), boxes, clock, deadlines, most=4)
    front.connections = Unseen(4)

    def connect(spoken: bool) -> ClientConnection:
        line, made = front.buildProtocol(None), cast(Any, Transport)()
        assert line is not None
        cast(Any, line).makeConnection(made)
        if spoken:
            line.dataReceived(messages.request("OPTIONS", "rtsp://media/ping", 3, "00000000000000aa"))
        return line

    holding, resting, silent, later = (connect(spoken) for spoken in (True, True, False, False))
    RtspClient(front, holding.handle, holding.peer, "s").stands(True)
    for goes in (silent, later, resting):
        assert not goes.gone
        connect(True)
        assert goes.gone
        front.down(goes)
    assert not holding.gone


def raw(wire: RtspConnection, name: str, length: int | str, body: bytes) -> None:
    wire.sock.sendall(
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %b\r\nContent-Length: %b\r\n\r\n%b"
        % (name.encode(), str(length).encode(), body)
    )


SPOILT: list[Any] = [
    lambda wire, name: wire.sock.sendall(b"\x00\xfe\xff noise \r\n\r\n"),
    lambda wire, name: raw(wire, name, 4, b"made by a pump"),  # too short: leavings follow
    lambda wire, name: raw(wire, name, 400, b"made by a pump"),  # too long: it never ends
    lambda wire, name: raw(wire, name, 3_000_000_000, b"made"),
    lambda wire, name: wire.sock.sendall(b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSess"),
    lambda wire, name: wire.sock.shutdown(socket.SHUT_RDWR),
]


@pytest.mark.parametrize("spoil", SPOILT)
def test_a_spoilt_answer_costs_its_own_set_up_alone(tmp_path: Path, spoil: Any) -> None:
    """The paid set-up has run, so it fails; the one beside it is served; what stands for none is released."""
    with running_program(tmp_path, 1) as (program, pumps, _):
        pumps[0].on_set_up = pumps[0].leave_unanswered
        viewer = program.connect()
        paid, free = send_set_up(viewer, 1, "paid"), send_set_up(viewer, 2)
        at = {message.session: wire for wire, message in (pumps[0].expect("SETUP") for _ in range(2))}
        spoil(at[paid], paid)
        failed = read_answer(viewer)
        assert failed.session == paid and failed.status in (500, 504)
        at[free].send("RTSP/1.0 200 OK", free, body=b"made")
        served = read_answer(viewer)
        assert (served.session, served.status, served.body) == (free, 200, b"made")
        assert pumps[0].expect("TEARDOWN")[1].session == paid
        assert sorted(pumps[0].set_up_sessions) == [paid, free]


def test_a_line_that_left_a_set_up_unanswered_takes_no_other(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, pumps, _):
        pumps[0].on_set_up = pumps[0].leave_unanswered
        viewer = program.connect()
        send_set_up(viewer, 1, "paid", wait_ms=400)
        spent, _ = pumps[0].expect("SETUP")
        assert read_answer(viewer).status == 504
        pumps[0].on_set_up = pumps[0].accept
        for number in range(2, 200):  # until a test has shown that the pump works
            send_set_up(viewer, number, "paid")
            if read_answer(viewer).status == 200:
                break
        assert pumps[0].expect("SETUP")[0] is not spent


def test_a_request_that_no_pump_can_use_keeps_no_other_from_them(tmp_path: Path) -> None:
    """Guards against pumps distrusted for what a bad client asks: the usual ones would be refused."""

    def script(pump: FakeMediaServer) -> Any:
        def run(wire: RtspConnection, message: Message) -> None:
            if "unknown" in message.start:
                wire.send("RTSP/1.0 500 No", message.session)
            else:
                pump.accept(wire, message)

        return run

    with running_program(tmp_path, 3) as (program, pumps, _):
        for pump in pumps:
            pump.on_set_up = script(pump)
        viewer = program.connect()
        for number in range(1, 40, 2):
            send_set_up(viewer, number, "paid" if number % 4 == 1 else "free", title="unknown")
            assert read_answer(viewer).status in (500, 503)
            send_set_up(viewer, number + 1, title=f"title-{number}")
            assert read_answer(viewer).status == 200
        assert sum(len(pump.set_up_sessions) for pump in pumps) < 20 + 12, "it is not tried over and over"
