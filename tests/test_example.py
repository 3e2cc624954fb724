"""The example folder works as the README describes, on free ports."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

from cloverhinge.lab.harness import ROOT, WAIT_S


def test_the_demo_runs_from_start_to_clean_end() -> None:
    result = subprocess.run(
        [sys.executable, "example/demo.py"], cwd=ROOT, capture_output=True, text=True, timeout=6 * WAIT_S
    )
    assert result.returncode == 0, result.stderr
    assert "names 5 segments" in result.stdout and "has 188 bytes" in result.stdout
    assert re.search(r"^toy-1 .* ready +up +1 ", result.stdout, re.M) and "ended with 0" in result.stdout


def test_the_command_line_prints_its_version_and_checks_site_files(tmp_path: Path) -> None:
    def run(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "cloverhinge", *arguments],
            cwd=ROOT,
            text=True,
            capture_output=True,
            timeout=WAIT_S,
        )

    assert run("version").stdout.startswith("cloverhinge 0.")
    result = run("check", "example/config.json", "--site", "example/site.toml")
    assert result.returncode == 0 and "2 classes" in result.stdout and "HLS front: on" in result.stdout
    (tmp_path / "site.toml").write_text('[hls]\nlisten = "127.0.0.1:1"\nkey = "short"\n')
    result = run("check", "example/config.json", "--site", str(tmp_path / "site.toml"))
    assert result.returncode == 2 and "32 characters" in result.stderr and result.stderr.count("\n") == 1
    assert run("serve", "--site", "nowhere.toml").returncode == 2
