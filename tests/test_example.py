"""The example folder works as the README says, on ports that are free."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

from cloverhinge.lab.harness import ROOT, TIMEOUT_S


def test_a_newcomer_s_first_steps() -> None:
    done = subprocess.run(
        [sys.executable, "example/demo.py"], cwd=ROOT, capture_output=True, text=True, timeout=6 * TIMEOUT_S
    )
    assert done.returncode == 0, done.stderr
    assert "names 5 segments" in done.stdout and "has 188 bytes" in done.stdout
    assert re.search(r"^toy-1 .* ready +up +1 ", done.stdout, re.M) and "ended with 0" in done.stdout


def test_the_command_line_checks_and_names_itself(tmp_path: Path) -> None:
    def run(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "cloverhinge", *words],
            cwd=ROOT,
            text=True,
            capture_output=True,
            timeout=TIMEOUT_S,
        )

    assert run("version").stdout.startswith("cloverhinge 0.")
    done = run("check", "example/config.json", "--site", "example/site.toml")
    assert done.returncode == 0 and "2 classes" in done.stdout and "HLS front: on" in done.stdout
    (tmp_path / "site.toml").write_text('[hls]\nlisten = "127.0.0.1:1"\nkey = "short"\n')
    done = run("check", "example/config.json", "--site", str(tmp_path / "site.toml"))
    assert done.returncode == 2 and "32 characters" in done.stderr and done.stderr.count("\n") == 1
    assert run("serve", "--site", "nowhere.toml").returncode == 2
