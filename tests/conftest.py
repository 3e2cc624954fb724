"""For `python -m tests.guards`: the guard that is taken out is so in this process too.

Tests that KNOWN-RED.txt lists may fail (`tests.known_red`).
"""

import pytest

from tests import guards, known_red

guards.remove_named_guard()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red.mark(items, known_red.read_list())
