"""A request whose id is that of another viewer's session, at a router that does not hold the session."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from cloverhinge.lab.harness import TIMEOUT_S, Message, RtspConnection
from cloverhinge.lab.media import set_ups_by_title
from cloverhinge.lab.rig import Rig, Router
from cloverhinge.lab.viewers import BUSY_TIMEOUT_S, fetch_manifest, http_get, replicating_rig
from cloverhinge.ownership.replicated_work import ReplicatedSession, digest_of, encode, is_same_work
from tests import guards

SESSION = f"{1:016x}"


@contextmanager
def rig(folder: Path) -> Iterator[Rig]:
    with replicating_rig(folder, 3, 4, idle_s=120.0, program=guards.router_command()) as made:
        yield made


def set_up(
    router: Router, title: str, service_class: str = "paid", body: bytes = b"v=0\r\n"
) -> tuple[RtspConnection, Message]:
    """Send a set-up with the session id that all tests use; returns its connection and its answer."""
    connection = RtspConnection(socket.create_connection(router.ports["listening"], TIMEOUT_S))
    connection.send(
        f"SETUP rtsp://media/{title} RTSP/1.0",
        SESSION,
        body=body,
        X_Call_Class=service_class,
        X_Ring_Limit="2500",
        X_Dest="home:0;copies:3;top:1;viewer:0000000000000077",
    )
    answer = connection.read()
    assert answer is not None
    return connection, answer


FOREIGN = {
    "title": ("t1", "paid", b"v=0\r\n"),
    "class": ("t0", "free", b"v=0\r\n"),
    "description": ("t0", "paid", b"v=0\r\nc=IN IP4 10.0.0.1\r\n"),
}


@pytest.mark.parametrize("other", FOREIGN)
def test_foreign_request_does_not_get_an_established_session(tmp_path: Path, other: str) -> None:
    """Guards against a bad client that is told 200 with another viewer's session, and takes it over."""
    title, service_class, body = FOREIGN[other]
    with rig(tmp_path) as made:
        viewer, answer = set_up(made[0], "t0")
        assert answer.status == 200
        assert set_up(made[1], title, service_class, body)[1].status == 455
        assert made[0].status()["custody"]["owned"] == 1
        viewer.close()
        assert set_up(made[0], title, service_class, body)[1].status == 455  # it has no connection now
        assert set_up(made[1], "t0")[1].status == 200  # the viewer itself is served anywhere
        assert set_ups_by_title(made.record) == {"t0": 1}


def test_foreign_request_does_not_get_a_session_whose_set_up_is_open(tmp_path: Path) -> None:
    """Guards against a bad client that waits for another viewer's set-up and gets its session."""
    with rig(tmp_path) as made:
        for server in made.recording_servers:
            server.may_answer.clear()
        answers: list[int] = []
        thread = threading.Thread(target=lambda: answers.append(set_up(made[0], "t0")[1].status))
        thread.start()
        made.record.wait_until(lambda: any(made.record.events_of("stands")), BUSY_TIMEOUT_S, "t0 stands")
        assert set_up(made[1], "t1")[1].status == 455
        for server in made.recording_servers:
            server.may_answer.set()
        thread.join(BUSY_TIMEOUT_S)
        assert answers == [200] and set_ups_by_title(made.record) == {"t0": 1}


def test_foreign_request_does_not_get_the_session_of_a_killed_router(tmp_path: Path) -> None:
    """Guards against a bad client that comes before the take-over, and ends or gets the session."""
    with rig(tmp_path) as made:
        assert set_up(made[0], "t0")[1].status == 200
        made[0].kill()
        assert set_up(made[1], "t1")[1].status == 455
        assert set_up(made[2], "t0")[1].status == 200
        assert set_ups_by_title(made.record) == {"t0": 1}


def test_foreign_fetch_gets_409_and_leaves_the_play_id_to_its_player(tmp_path: Path) -> None:
    """Guards against a play id that a bad client takes for another title, at another router."""
    with rig(tmp_path) as made:
        assert fetch_manifest(made, made[0], 0)[0] == 200
        assert http_get(made, made[1], "/play/paid/t1?play=play-00000000")[0] == 409
        assert fetch_manifest(made, made[0], 0)[0] == 200
        assert fetch_manifest(made, made[1], 0)[0] == 200
        assert set_ups_by_title(made.record) == {"t0": 1}


def test_records_of_earlier_versions_are_compared_by_what_they_tell() -> None:
    """Guards against viewers that are refused their own session, as its record has no digest."""
    old = encode(ReplicatedSession("paid", "t0", "viewer"))
    new = encode(ReplicatedSession("paid", "t0", "viewer", description_digest=digest_of(b"v=0")))
    other = encode(ReplicatedSession("paid", "t0", "viewer", description_digest=digest_of(b"v=1")))
    assert is_same_work(old, new) and is_same_work(b"", new) and not is_same_work(new, other)
