"""Disables the check that LAB_GUARD_OUT names in the process of the tests too (`tests.guards`).

Tests that KNOWN-RED.txt lists are expected to fail (`tests.known_red`).
"""

import pytest

from tests import guards, known_red

guards.remove_named_guard()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red.mark(items, known_red.read_list())
