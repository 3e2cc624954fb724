"""The example folder works as the README says, on ports that are free."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import urllib.request
from pathlib import Path

from tests.stand import ROOT, WAIT_S


def test_a_newcomer_s_first_steps(tmp_path: Path) -> None:
    toy = subprocess.Popen([sys.executable, "example/toy.py", "0"], cwd=ROOT, stdout=subprocess.PIPE,
                           text=True)
    program = None
    try:
        assert toy.stdout is not None
        places = json.loads(toy.stdout.readline())
        config = json.loads((ROOT / "example/config.json").read_text())
        config.update(changelog=places["changelog"], listen="127.0.0.1:0")
        (tmp_path / "config.json").write_text(json.dumps(config))
        text = (ROOT / "example/site.toml").read_text()
        for shown, real in (("127.0.0.1:7102", places["boxes"]["toy-1"]["http"]),
                            ("127.0.0.1:7104", places["boxes"]["toy-2"]["http"]),
                            ("127.0.0.1:7080", "127.0.0.1:0"), ("127.0.0.1:7090", "127.0.0.1:0")):
            assert shown in text
            text = text.replace(shown, real)
        (tmp_path / "site.toml").write_text(text)
        program = subprocess.Popen(
            [sys.executable, "-m", "cloverhinge", "serve", "--site", str(tmp_path / "site.toml")], cwd=ROOT,
            env={**os.environ, "LB_CONFIG": str(tmp_path / "config.json")}, stderr=subprocess.PIPE, text=True)
        assert program.stderr is not None
        port = ""
        for line in program.stderr:  # the boxes come by the change log, after the start
            if found := re.search(r"HLS on 127\.0\.0\.1:(\d+)", line):
                port = found[1]
            if "2 listed" in line:
                break
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/play/coaching/intro", timeout=WAIT_S) as answer:
            master = answer.read().decode()
        playlist = re.findall(r"^/session/\S+", master, re.M)[-1]
        with urllib.request.urlopen(f"http://127.0.0.1:{port}{playlist}", timeout=WAIT_S) as answer:
            segments = re.findall(r"^http://\S+\.ts$", answer.read().decode(), re.M)
        with urllib.request.urlopen(segments[0], timeout=WAIT_S) as answer:
            assert len(segments) == 5 and answer.read()[:1] == b"\x47"
        assert "set up" in toy.stdout.readline()
    finally:
        for process in (toy, program):
            if process is not None:
                process.terminate()
                process.wait(WAIT_S)


def test_the_command_line_checks_and_names_itself(tmp_path: Path) -> None:
    def run(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run([sys.executable, "-m", "cloverhinge", *words], cwd=ROOT, text=True,
                              capture_output=True, timeout=WAIT_S)

    assert run("version").stdout.startswith("cloverhinge 0.")
    done = run("check", "example/config.json", "--site", "example/site.toml")
    assert done.returncode == 0 and "2 classes" in done.stdout and "HLS front: on" in done.stdout
    (tmp_path / "site.toml").write_text('[hls]\nlisten = "127.0.0.1:1"\nkey = "short"\n')
    done = run("check", "example/config.json", "--site", str(tmp_path / "site.toml"))
    assert done.returncode == 2 and "32 characters" in done.stderr and done.stderr.count("\n") == 1
    assert run("serve", "--site", "nowhere.toml").returncode == 2
