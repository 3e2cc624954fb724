"""An unexpected exception in one step costs this step alone, and every request has its one answer."""

from __future__ import annotations

import queue
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from cloverhinge.core.clock import ManualClock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.lab.harness import (
    SETTINGS,
    TIMEOUT_S,
    FakeChangeLog,
    FakeMediaServer,
    Message,
    Program,
    RtspConnection,
    ping,
    read_answer,
    send_set_up,
)
from cloverhinge.rtsp.intake import ReceivedSetUp, SetUpQueue, SetUpScheduler
from cloverhinge.rtsp.messages import Message as RtspMessage
from cloverhinge.store.proof import Mark
from cloverhinge.store.rows import Rows
from cloverhinge.store.writer import Writer
from tests.raising_router import STEPS, TITLE, VARIABLE

DEST = "home:0;copies:1;top:0;viewer:00000000b4d65521"
DOOR = f'[door]\nkey = "{"d" * 32}"\n'
PLACES = 3


@contextmanager
def raising_program(
    folder: Path, step: str, monkeypatch: pytest.MonkeyPatch
) -> Iterator[tuple[Program, FakeMediaServer]]:
    """A release build with admission, one media server of three places, and one step that raises."""
    monkeypatch.setenv(VARIABLE, step)
    (folder / "site.toml").write_text(DOOR)
    server, change_log = FakeMediaServer("s-00000000"), FakeChangeLog()
    specifics = {**SETTINGS["specifics"], "placesByKind": [PLACES], "cells": 1}
    program = Program(
        folder,
        [server],
        change_log,
        folder / "site.toml",
        program=("-O", "-m", "tests.raising_router"),
        specifics=specifics,
    )
    try:
        yield program, server
        assert program.terminate() == 0
    finally:
        program.process.kill()
        program.process.wait()
        server.stop()
        change_log.stop()


def answers(connection: RtspConnection, names: set[str]) -> dict[str, Message]:
    """The answers to set-ups, of which each has exactly one."""
    found: dict[str, Message] = {}
    while names - found.keys():
        message = read_answer(connection)
        assert message.session in names and message.session not in found
        found[message.session] = message
    return found


# Guards against an exception in the set-up of one request that leaves this or later requests unanswered.
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("class_name", ["free", "paid"])
def test_an_exception_in_one_set_up_leaves_no_request_unanswered(
    tmp_path: Path, step: str, class_name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with raising_program(tmp_path, step, monkeypatch) as (program, _):
        first, later = program.connect(), program.connect()
        before = send_set_up(first, 1, class_name, dest=DEST)
        assert answers(first, {before})[before].status == 200
        raising = [
            send_set_up(first, number, class_name, 1500, dest=DEST, title=TITLE) for number in (2, 3, 4, 5)
        ]
        behind = send_set_up(first, 6, class_name, 1500, dest=DEST)
        found = answers(first, {*raising, behind})
        assert all(found[name].status in (200, 500, 503, 504) for name in raising)
        for number in range(7, 10):
            name = send_set_up(later, number, class_name, 1500, dest=DEST)
            assert answers(later, {name})[name].status in (200, 503)
        ping(first)  # its answer comes next, so nothing was answered twice
        assert program.wait_for("InjectedError"), "the step has raised"


class Source:
    """A connection whose first set-up raises."""

    def __init__(self, count: int) -> None:
        self.queue, self.begun = SetUpQueue(), 0
        for _ in range(count):
            self.queue.add(ReceivedSetUp(RtspMessage("SETUP"), 0.0))

    def begin(self, set_up: ReceivedSetUp) -> None:
        self.begun += 1
        if self.begun == 1:
            raise ZeroDivisionError

    def refuse(self, set_up: ReceivedSetUp) -> None:
        raise AssertionError("there is time for it")


# Guards against an intake that begins no set-up any more once one has raised.
def test_set_ups_are_begun_after_one_has_raised() -> None:
    deadlines = Deadlines(ManualClock())
    scheduler = SetUpScheduler(deadlines)
    raising, other = Source(3), Source(0)
    with pytest.raises(ZeroDivisionError):
        scheduler.offer(raising)
    deadlines.run()
    assert raising.begun == 3, "its further set-ups"
    other.begun = 1
    other.queue.add(ReceivedSetUp(RtspMessage("SETUP"), 0.0))
    scheduler.offer(other)
    deadlines.run()
    assert other.begun == 2, "those of another connection"


# Guards against a periodic task, such as the search for lost media servers, that ends with one exception.
def test_a_repeated_call_goes_on_after_an_exception() -> None:
    clock = ManualClock()
    deadlines, calls = Deadlines(clock), list[float]()

    def call() -> None:
        calls.append(clock.now())
        if len(calls) == 2:
            raise ZeroDivisionError

    deadlines.repeat(100.0, call)
    clock.advance(100.0)
    with pytest.raises(ZeroDivisionError):  # in a debug build
        deadlines.run()
    clock.advance(100.0)
    deadlines.run()
    assert len(calls) == 3


class BrokenFolder:
    """A folder whose commit raises an error that it does not announce."""

    path = Path("store")

    def commit(self, rows: Rows, above: Mark) -> Mark:
        raise RuntimeError("not an error of a store")

    def close(self) -> None:
        pass


# Guards against a store whose thread ends without a word, so that what waits for a commit waits for good.
def test_any_exception_of_a_commit_is_reported_as_the_store_s_failure() -> None:
    failures: queue.Queue[str] = queue.Queue()
    folder: Any = BrokenFolder()
    writer = Writer(folder, lambda call, *values: call(*values), lambda *_: None, failures.put)
    writer.put(1, {"key": b"value"})
    assert failures.get(timeout=TIMEOUT_S) == "not an error of a store"
    writer.close()
