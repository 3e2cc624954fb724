"""The door in the real program, on both fronts: proofs, quotes, tickets, a full queue at SIGTERM, the
console."""

from __future__ import annotations

import json
import queue
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from cloverhinge.admission.clients import compute_proof
from cloverhinge.lab.harness import SETTINGS, WAIT_S, Program, Pump, Wire, answer, site
from tests.test_hls import MediaBox, Player

KEY = "m" * 16
SMALL = {**SETTINGS["specifics"], "placesByKind": [2], "cells": 1}


@contextmanager
def door(folder: Path, boxes: list[Any], key: str = f'key = "{"d" * 32}"') -> Iterator[Program]:
    """One box with two places; the client maple vouches for its viewers."""
    told = [
        "[hls]",
        'listen = "127.0.0.1:0"',
        f'key = "{"k" * 32}"',
        "[hls.boxes]",
        *(f'{box.name} = "{box.origin}"' for box in boxes if isinstance(box, MediaBox)),
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
    (folder / "site.toml").write_text("\n".join(told))
    with site(folder, pumps=boxes, deploy=folder / "site.toml", specifics=SMALL) as (program, _, _):
        yield program


def setup(wire: Wire, number: int, wait_ms: int = 1000, guess_ms: float = 60000.0, **fields: Any) -> str:
    name = f"{number:016x}"
    wire.send(
        "SETUP rtsp://media/7f3a RTSP/1.0",
        name,
        X_Call_Class="free",
        X_Ring_Limit=str(wait_ms),
        X_Guess=str(guess_ms),
        X_Dest=f"home:0;copies:1;top:0;viewer:{number % 100:016x}",
        **fields,
    )
    return name


def status(port: int) -> dict[str, Any]:
    with socket.create_connection(("127.0.0.1", port), WAIT_S) as link, link.makefile("rb") as lines:
        link.sendall(b"status\n")
        told: dict[str, Any] = json.loads(lines.readline())
    return told


def test_a_door_without_a_key_signs_with_one_of_the_run_s_own(tmp_path: Path) -> None:
    """Guards newcomers from a refused start for want of a key; the log says once what they do without."""
    tickets: list[str] = []
    for _ in range(2):
        with door(tmp_path, [Pump("s-00000000", 0)], key="") as program:
            assert (
                sum("reservation tokens are valid during this run only" in line for line in program.log) == 1
            )
            viewer = program.connect()
            for number in range(1, 4):  # the third finds both places taken
                setup(viewer, number)
                told = answer(viewer)
                assert told.status == (200 if number < 3 else 503)
            tickets.append(told.headers["x-ticket"])
    assert len(set(tickets)) == 2


def test_rtsp_viewers_wait_are_quoted_and_come_back(tmp_path: Path) -> None:
    with door(tmp_path, [Pump("s-00000000", 0)]) as program:
        admin = int(program.wait_for(r"admin on 127\.0\.0\.1:(\d+)")[1])
        wire = program.connect()
        for number in (1, 2):
            setup(wire, number)
            assert answer(wire).status == 200
        forged = setup(wire, 3, X_Client="maple", X_Client_Proof="0" * 64)
        told = answer(wire)
        assert (told.status, told.session) == (403, forged) and "proof" in told.headers["x-why"]
        proof = compute_proof(KEY.encode(), "maple", f"{4:016x}")
        setup(wire, 4, X_Client="maple", X_Client_Proof=proof)
        told = answer(wire)
        assert told.status == 503 and int(told.headers["x-hold-off"]) == 1000, "cut to the settings' maximum"
        assert told.headers["x-ticket"].startswith("1.")
        rows = {row["name"]: row for row in status(admin)["clients"]}
        assert (rows["maple"]["refused"], rows["maple"]["quoted"], rows["others"]["let_in"]) == (1, 1, 2)
        setup(wire, 5, wait_ms=600_000)  # it is expected in before its limit: it waits
        wire.send("OPTIONS rtsp://media/ping RTSP/1.0", f"{5:016x}", 3)
        assert answer(wire).headers["cseq"] == "3"
        wire.send("TEARDOWN rtsp://media/x RTSP/1.0", f"{1:016x}", 2)  # room comes
        seen = [answer(wire) for _ in range(2)]
        assert sorted(one.headers["cseq"] for one in seen) == ["1", "2"]
        assert all(one.status == 200 for one in seen)
        wire.close()


def test_a_full_queue_at_sigterm_is_answered_once_each_and_in_time(tmp_path: Path) -> None:
    with door(tmp_path, [Pump("s-00000000", 0)]) as program:
        wire = program.connect()
        for number in (1, 2):
            setup(wire, number)
            assert answer(wire).status == 200
        names = [setup(wire, number, 900_000) for number in range(3, 8)]
        wire.send("OPTIONS rtsp://media/ping RTSP/1.0", "f" * 16, 3)
        assert answer(wire).headers["cseq"] == "3", "all have been taken, and wait"
        program.process.send_signal(signal.SIGTERM)
        told = [answer(wire) for _ in range(5)]
        assert [one.status for one in told] == [503] * 5
        assert {one.session for one in told} == set(names)
        assert program.process.wait(WAIT_S) == 0


def test_hls_plays_wait_are_quoted_and_vouched_for(tmp_path: Path) -> None:
    box = MediaBox("s-00000000", 0, queue.Queue())
    with door(tmp_path, [box]) as program:
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
        assert len(box.puts) == 2, "what waits or is refused costs no set-up"


def test_who_left_while_queued_is_not_sent_on_when_a_place_is_free(tmp_path: Path) -> None:
    """The end of a session that makes room lies before the client's in the program's sockets.

    The door admits in a later turn of the reactor, when the client's end has been read.
    """
    server = Pump("s-00000000", 0)
    with door(tmp_path, [server]) as program:
        standing, leaver, later = (program.connect() for _ in range(3))
        for number in (1, 2):
            setup(standing, number, guess_ms=2000.0)  # a place is soon free, so who comes next is queued
            assert answer(standing).status == 200
        left = setup(leaver, 3, wait_ms=5000)
        for _ in range(2):  # the second is read after the set-up has begun
            leaver.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
            assert answer(leaver).headers["cseq"] == "3"
        program.pause()
        server.wires[-1].send("TEARDOWN rtsp://media/x RTSP/1.0", f"{1:016x}", 2, Reason="cause=16")
        leaver.close()
        program.go_on()
        assert answer(standing, "TEARDOWN").session == f"{1:016x}"
        setup(later, 4, wait_ms=5000)
        assert answer(later).status == 200
        assert left not in server.setups
