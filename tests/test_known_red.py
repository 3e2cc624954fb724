"""The list of known failures: its format, and which test results it tolerates."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import ROOT, InvalidListError, KnownRed, missing_tests, parse

LINE = "test_some.py::test_one | pytest test_some.py, seed 7 | a sight | 33"
SOMETIMES = "test_some.py::test_one | pytest test_some.py, seed 7 | fails in 2 of 5 runs | 33"
ALWAYS = "test_some.py::test_one | pytest test_some.py, seed 7 | fails in 5 of 5 runs | 33"


def test_a_line_is_parsed_into_its_four_fields() -> None:
    entry = KnownRed("test_some.py::test_one", "pytest test_some.py, seed 7", "a sight", "33")
    assert parse(f"# about\n\n{LINE}\n") == [entry]


@pytest.mark.parametrize(
    "text",
    [
        "test_some.py::test_one",
        "a | b | c",
        "a | | c | 33",
        f"{LINE}\n{LINE}",
        "\n".join(f"t{n} | command | sight | 33" for n in range(4)),
    ],
)
def test_a_malformed_or_too_long_list_is_rejected(text: str) -> None:
    with pytest.raises(InvalidListError):
        parse(text)


def test_listed_tests_that_do_not_exist_are_found() -> None:
    assert missing_tests(parse(LINE), ["test_some.py::test_two"]) == ["test_some.py::test_one"]


def test_a_test_listed_without_brackets_stands_for_all_its_cases() -> None:
    assert missing_tests(parse(LINE), ["test_some.py::test_one[1]", "test_some.py::test_one[2]"]) == []


@pytest.mark.parametrize(
    "entry,body,passes",
    [
        (LINE, "assert False", True),
        (LINE, "pass", False),
        (ALWAYS, "assert False", True),
        (ALWAYS, "pass", False),
        (SOMETIMES, "assert False", True),
        (SOMETIMES, "pass", True),
        ("", "assert False", False),
        ("", "pass", True),
    ],
)
def test_only_the_failure_of_a_listed_test_is_tolerated(
    tmp_path: Path, entry: str, body: str, passes: bool
) -> None:
    (tmp_path / "conftest.py").write_text(
        "from tests.known_red import mark, parse\n"
        f"def pytest_collection_modifyitems(items):\n    mark(items, parse({entry!r}))\n"
    )
    (tmp_path / "test_some.py").write_text(f"def test_one():\n    {body}\n")
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", str(tmp_path)]
    result = subprocess.run(
        command, cwd=tmp_path, env={"PYTHONPATH": str(ROOT)}, capture_output=True, text=True, check=False
    )
    assert (result.returncode == 0) is passes, result.stdout
