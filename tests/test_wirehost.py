"""The simulator's adapter, run as a subprocess with hand-written batches."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
BOOT: dict[str, Any] = {
    "classes": [
        {"name": "film", "effect": "repeatable", "aimUs": 1000000, "hardLimitUs": 4000000, "worth": 1.0}
    ],
    "fleetSize": 1,
    "limits": {"maxAttempts": 3, "maxRetryAfterUs": 500000},
    "machineTypes": ["box"],
    "specifics": {
        "cells": 3,
        "cabinets": 1,
        "ratesKb": [100.0, 200.0],
        "rungWorth": [0.5, 1.0],
        "weightKb": 1000.0,
        "placesByKind": [10],
        "unheardOf": 7,
    },
    "zone": "a",
    "unknownKey": {},
}
LIST = ["roster", 0, [[1, "a", "box", 0, 1, 1, None], [2, "a", "box", 1, 1, 1]]]
BORN: list[Any] = [["born", "manager-0", 7, BOOT], LIST, ["fleet", "manager-0", 1, 5, 0]]
KNOCK = ["knock", "manager-0", 42, "film", None, "aa", "bb", 9000000, None, 0, 3, 1, 0]


def run(*batches: Any) -> subprocess.CompletedProcess[str]:
    lines = [
        b if isinstance(b, str) else json.dumps({"tsUs": 1000000 + n, "msgs": b})
        for n, b in enumerate(batches)
    ]
    return subprocess.run(
        [sys.executable, "-m", "cloverhinge.wirehost"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        input="\n".join(lines) + "\n",
        timeout=30,
    )


def decisions(done: subprocess.CompletedProcess[str]) -> list[list[Any]]:
    return [json.loads(line)["decisions"] for line in done.stdout.splitlines()]


def test_an_empty_batch_gets_an_empty_reply_and_the_end_of_input_ends_it() -> None:
    done = run([])
    assert done.returncode == 0 and decisions(done) == [[]]


def test_a_request_is_set_up_at_its_rung() -> None:
    done = run(BORN, [KNOCK])
    reply = decisions(done)[1]
    assert [r[0] for r in reply] == ["rate", "assign"]
    assert reply[1][2] == 42 and reply[1][4] in (1, 2)


def test_a_failed_attempt_is_repeated_elsewhere_and_notes_are_read() -> None:
    first = decisions(run(BORN, [KNOCK]))[1][1][4]
    done = run(
        BORN,
        [KNOCK],
        [["settled", "manager-0", 42, 0, first, 4, 10, False, None]],
        [
            ["first", "manager-0", 42, 3 - first, 10, 1],
            ["interim", "manager-0", 42, 1, 3 - first, 3, 0.4],
            ["interim", "manager-0", 42, 1, 3 - first, 9, 0.4],
            ["settled", "manager-0", 42, 1, 3 - first, 1, 10, True, {"x0": 0.2, "other": 1}],
            ["gone", "manager-0", 42],
            ["timer", "manager-0", 99],
        ],
    )
    assert done.returncode == 0
    assert [r for r in decisions(done)[2] if r[0] == "assign"][0][4] == 3 - first


def test_a_restarted_instance_starts_without_state() -> None:
    done = run([*BORN, KNOCK, ["down", "manager-0"], *BORN], [["gone", "manager-0", 42], [*KNOCK]])
    assert done.returncode == 0
    assert "assign" in [r[0] for r in decisions(done)[1]]


def test_a_list_is_taken_as_it_stood_when_it_was_referred_to() -> None:
    empty = ["roster", 0, []]
    done = run([*BORN, empty], [KNOCK])
    assert "assign" in [r[0] for r in decisions(done)[1]]


def test_a_carried_session_is_accepted() -> None:
    carried = ["carried", "manager-0", 9, 0, None, "cc", 1, "film", 1, None, 0, 3, 9000000, "bb"]
    assert run(BORN, [carried]).returncode == 0


@pytest.mark.parametrize(
    "batch,words",
    [
        ("{oops", "not JSON"),
        ("[]", "tsUs"),
        ('{"tsUs":1,"msgs":[["mystery",1]]}', "mystery"),
        ('{"tsUs":1,"msgs":[["knock","manager-0",1]]}', "too short"),
        ('{"tsUs":1,"msgs":[7]}', "array"),
    ],
)
def test_malformed_input_ends_the_adapter_with_one_line(batch: str, words: str) -> None:
    done = run([], batch)
    assert done.returncode != 0 and decisions(done) == [[]]
    assert done.stderr.count("\n") == 1 and "line 2" in done.stderr and words in done.stderr


def test_an_exception_of_the_module_becomes_a_crash_of_that_instance() -> None:
    unknown = [*KNOCK]
    unknown[3] = "no-such-class"
    done = run(BORN, [unknown])
    assert done.returncode == 0
    assert decisions(done)[1][0][:2] == ["crash", "manager-0"] and "Traceback" in done.stderr
