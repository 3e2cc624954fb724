"""The first steps in one go: toy boxes, a router, a session over HLS, the console's view, and a clean end.

    python example/demo.py

Everything listens on free ports of 127.0.0.1; nothing is left behind.
"""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO

ROOT = Path(__file__).parent.parent
WAIT_S = 10.0  # for an answer or an end; all of them take milliseconds


@contextmanager
def running_process(*words: str, **more: object) -> Iterator[subprocess.Popen[str]]:
    """A process that is told to end, and waited for, whatever happens."""
    process: subprocess.Popen[str] = subprocess.Popen(  # type: ignore[call-overload]
        [sys.executable, *words], cwd=ROOT, text=True, **more
    )
    try:
        yield process
    finally:
        process.terminate()
        process.wait(WAIT_S)


def read_until(lines: IO[str] | None, *patterns: str) -> list[str]:
    """Reads up to the line that brings the last pattern not met yet; what the patterns' groups hold."""
    found: dict[str, str] = {}
    for line in lines or ():
        for pattern in patterns:
            if match := re.search(pattern, line):
                found[pattern] = match[1]
        if len(found) == len(patterns):
            return [found[pattern] for pattern in patterns]
    raise SystemExit("demo: the process ended before it was ready")


def fetch(url: str) -> str:
    with urllib.request.urlopen(url, timeout=WAIT_S) as answer:
        text: str = answer.read().decode("utf-8", "replace")
    return text


def main() -> None:
    with (
        tempfile.TemporaryDirectory() as name,
        running_process(str(ROOT / "example/toy.py"), "0", stdout=subprocess.PIPE) as toy,
    ):
        folder = Path(name)
        assert toy.stdout is not None
        places = json.loads(toy.stdout.readline())
        config = json.loads((ROOT / "example/config.json").read_text())
        config.update(changelog=places["changelog"], listen="127.0.0.1:0")
        (folder / "config.json").write_text(json.dumps(config))
        text = (ROOT / "example/site.toml").read_text()
        for box, where in places["boxes"].items():
            text = re.sub(rf'^{box} = "[^"]*"', f'{box} = "{where["http"]}"', text, flags=re.M)
        text = re.sub(r'^listen = "127\.0\.0\.1:\d+"', 'listen = "127.0.0.1:0"', text, flags=re.M)
        site = folder / "site.toml"
        site.write_text(text)
        with running_process(
            "-m",
            "cloverhinge",
            "serve",
            "--site",
            str(site),
            stderr=subprocess.PIPE,
            env={**os.environ, "LB_CONFIG": str(folder / "config.json")},
        ) as router:
            hls, admin, _ = read_until(
                router.stderr, r"HLS on 127\.0\.0\.1:(\d+)", r"admin on 127\.0\.0\.1:(\d+)", r"(2) listed"
            )
            print("A player asks for coaching/intro over HLS and gets a manifest of its own:\n")
            master = fetch(f"http://127.0.0.1:{hls}/play/coaching/intro")
            print(master)
            playlist = re.findall(r"^/session/\S+", master, re.M)[-1]
            segments = re.findall(r"^http://\S+\.ts$", fetch(f"http://127.0.0.1:{hls}{playlist}"), re.M)
            print(
                f"Its playlist names {len(segments)} segments at a box; the first has "
                f"{len(fetch(segments[0]))} bytes.  The console shows:\n"
            )
            site.write_text(
                text.replace('[admin]\nlisten = "127.0.0.1:0"', f'[admin]\nlisten = "127.0.0.1:{admin}"')
            )
            subprocess.run(
                [sys.executable, "-m", "cloverhinge", "console", "--once", "--site", str(site)],
                cwd=ROOT,
                check=True,
                timeout=WAIT_S,
            )
    if router.returncode != 0:
        raise SystemExit(f"demo: the router ended with {router.returncode}")
    print("\nThe router was told to end, and ended with 0.")


if __name__ == "__main__":
    main()
