"""Admission in the real program, over RTSP and HLS: proofs, estimates, tokens, SIGTERM and the status."""

from __future__ import annotations

import json
import queue
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from cloverhinge.admission.clients import compute_proof
from cloverhinge.lab.harness import (
    SETTINGS,
    TIMEOUT_S,
    FakeMediaServer,
    Program,
    RtspConnection,
    read_answer,
    running_program,
)
from tests.test_hls import MediaBox, Player

KEY = "m" * 16
SMALL = {**SETTINGS["specifics"], "placesByKind": [2], "cells": 1}


@contextmanager
def admission_program(
    folder: Path, servers: list[Any], key: str = f'key = "{"d" * 32}"'
) -> Iterator[Program]:
    """A router with admission and media servers of two places; the client maple vouches for viewers."""
    lines = [
        "[hls]",
        'listen = "127.0.0.1:0"',
        f'key = "{"k" * 32}"',
        "[hls.boxes]",
        *(f'{server.name} = "{server.origin}"' for server in servers if isinstance(server, MediaBox)),
        "[hls.titles.intro]",
        "copies = 1",
        "[admin]",
        'listen = "127.0.0.1:0"',
        "[door]",
        key,
        "quote_most_s = 600",
        "[clients.maple]",
        f'key = "{KEY}"',
    ]
    (folder / "site.toml").write_text("\n".join(lines))
    with running_program(folder, servers=servers, site_file=folder / "site.toml", specifics=SMALL) as (
        program,
        _,
        _,
    ):
        yield program


def setup(
    connection: RtspConnection, number: int, wait_ms: int = 1000, length_ms: float = 60000.0, **fields: Any
) -> str:
    name = f"{number:016x}"
    connection.send(
        "SETUP rtsp://media/7f3a RTSP/1.0",
        name,
        X_Call_Class="free",
        X_Ring_Limit=str(wait_ms),
        X_Guess=str(length_ms),
        X_Dest=f"home:0;copies:1;top:0;viewer:{number % 100:016x}",
        **fields,
    )
    return name


def status(port: int) -> dict[str, Any]:
    with (
        socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as admin_socket,
        admin_socket.makefile("rb") as lines,
    ):
        admin_socket.sendall(b"status\n")
        reply: dict[str, Any] = json.loads(lines.readline())
    return reply


def test_without_a_key_tokens_are_signed_with_one_generated_for_the_run(tmp_path: Path) -> None:
    """A missing key must not prevent the start; the log says once what it means for tokens."""
    tokens: list[str] = []
    for _ in range(2):
        with admission_program(tmp_path, [FakeMediaServer("s-00000000", 0)], key="") as program:
            assert (
                sum("reservation tokens are valid during this run only" in line for line in program.log) == 1
            )
            viewer = program.connect()
            for number in range(1, 4):  # the third finds both places taken
                setup(viewer, number)
                reply = read_answer(viewer)
                assert reply.status == (200 if number < 3 else 503)
            tokens.append(reply.headers["x-ticket"])
    assert len(set(tokens)) == 2


def test_rtsp_viewers_wait_or_get_a_retry_after_estimate(tmp_path: Path) -> None:
    with admission_program(tmp_path, [FakeMediaServer("s-00000000", 0)]) as program:
        admin = int(program.wait_for(r"admin on 127\.0\.0\.1:(\d+)")[1])
        connection = program.connect()
        for number in (1, 2):
            setup(connection, number)
            assert read_answer(connection).status == 200
        forged = setup(connection, 3, X_Client="maple", X_Client_Proof="0" * 64)
        reply = read_answer(connection)
        assert (reply.status, reply.session) == (403, forged) and "proof" in reply.headers["x-why"]
        proof = compute_proof(KEY.encode(), "maple", f"{4:016x}")
        setup(connection, 4, X_Client="maple", X_Client_Proof=proof)
        reply = read_answer(connection)
        assert (
            reply.status == 503 and int(reply.headers["x-hold-off"]) == 1000
        ), "cut to the settings' maximum"
        assert reply.headers["x-ticket"].startswith("1.")
        rows = {row["name"]: row for row in status(admin)["clients"]}
        assert (rows["maple"]["refused"], rows["maple"]["quoted"], rows["others"]["let_in"]) == (1, 1, 2)
        setup(connection, 5, wait_ms=600_000)  # expected to be admitted before its limit, so it waits
        connection.send("OPTIONS rtsp://media/ping RTSP/1.0", f"{5:016x}", 3)
        assert read_answer(connection).headers["cseq"] == "3"
        connection.send("TEARDOWN rtsp://media/x RTSP/1.0", f"{1:016x}", 2)  # frees a place
        seen = [read_answer(connection) for _ in range(2)]
        assert sorted(one.headers["cseq"] for one in seen) == ["1", "2"]
        assert all(one.status == 200 for one in seen)
        connection.close()


# Guards against one bad client's length of its session that keeps all later requests from being answered.
@pytest.mark.parametrize("length_ms", [5e-324, 1e-200, 1e-9, 9e14])
def test_a_session_of_extreme_length_keeps_no_later_request_from_its_answer(
    tmp_path: Path, length_ms: float
) -> None:
    with admission_program(tmp_path, [FakeMediaServer("s-00000000", 0)]) as program:
        connection = program.connect()
        setup(connection, 1, length_ms=length_ms)
        setup(connection, 2)
        assert [read_answer(connection).status for _ in range(2)] == [200, 200]
        for number in (3, 4):  # the estimate of their retry-after uses the lengths of those that play
            setup(connection, number)
            assert read_answer(connection).status == 503


def test_each_waiting_request_is_answered_once_at_sigterm(tmp_path: Path) -> None:
    with admission_program(tmp_path, [FakeMediaServer("s-00000000", 0)]) as program:
        connection = program.connect()
        for number in (1, 2):
            setup(connection, number)
            assert read_answer(connection).status == 200
        names = [setup(connection, number, 900_000) for number in range(3, 8)]
        connection.send("OPTIONS rtsp://media/ping RTSP/1.0", "f" * 16, 3)
        assert read_answer(connection).headers["cseq"] == "3", "all requests have been received and wait"
        program.process.send_signal(signal.SIGTERM)
        replies = [read_answer(connection) for _ in range(5)]
        assert [one.status for one in replies] == [503] * 5
        assert {one.session for one in replies} == set(names)
        assert program.process.wait(TIMEOUT_S) == 0


def test_hls_plays_wait_get_an_estimate_and_are_identified_by_proof(tmp_path: Path) -> None:
    server = MediaBox("s-00000000", 0, queue.Queue())
    with admission_program(tmp_path, [server]) as program:
        player = Player(program)
        assert [player.get(f"/play/free/intro?play=player-{n:03}")[0] for n in range(2)] == [200, 200]
        status_code, headers, _ = player.get("/play/free/intro?play=player-100")
        assert status_code == 503 and headers["x-ticket"].startswith("1.")
        assert 1000 * int(headers["retry-after"]) == int(headers["x-hold-off"]) >= 1000
        assert player.get("/play/free/intro?play=player-101&client=maple&proof=00")[0] == 403
        assert player.get("/play/free/intro?client=maple&proof=00")[0] == 400
        proof = compute_proof(KEY.encode(), "maple", "player-102")
        assert player.get(f"/play/free/intro?play=player-102&client=maple&proof={proof}")[0] == 503
        early = player.get(f"/play/free/intro?play=player-100&ticket={headers['x-ticket']}")
        assert early[0] == 503 and int(early[1]["retry-after"]) <= int(headers["retry-after"])
        assert len(server.puts) == 2, "waiting and rejected plays cause no set-up"


def test_a_client_that_left_while_queued_is_not_admitted_when_a_place_is_free(tmp_path: Path) -> None:
    """Guards against admitting a client whose disconnection is still unread when a place becomes free.

    The end of the session that frees the place lies before the client's in the program's sockets.  Admission
    runs in a later turn of the reactor, when the client's end has been read.
    """
    server = FakeMediaServer("s-00000000", 0)
    with admission_program(tmp_path, [server]) as program:
        established, leaving, later = (program.connect() for _ in range(3))
        for number in (1, 2):
            setup(
                established, number, length_ms=2000.0
            )  # a place is free soon, so the next request is queued
            assert read_answer(established).status == 200
        left = setup(leaving, 3, wait_ms=5000)
        for _ in range(2):  # the second is read after the set-up has begun
            leaving.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
            assert read_answer(leaving).headers["cseq"] == "3"
        program.pause()
        server.connections[-1].send("TEARDOWN rtsp://media/x RTSP/1.0", f"{1:016x}", 2, Reason="cause=16")
        leaving.close()
        program.resume()
        assert read_answer(established, "TEARDOWN").session == f"{1:016x}"
        setup(later, 4, wait_ms=5000)
        assert read_answer(later).status == 200
        assert left not in server.set_up_sessions
