"""The Python example in the README runs and prints the actions that the README describes."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_example_prints_a_rung_and_a_set_up() -> None:
    found = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert found
    result = subprocess.run(
        [sys.executable, "-c", found[1]], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert [line.split("(")[0] for line in result.stdout.splitlines()] == ["SetRung", "SetUp"]
