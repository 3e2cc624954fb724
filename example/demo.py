"""Demonstrates the first steps: toy media servers, a router, an HLS session, the console and a shutdown.

    python example/demo.py

All processes listen on free ports of 127.0.0.1; all processes and files are removed at the end.
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
WAIT_S = 10.0  # limit for an answer or for the end of a process; both take milliseconds normally


@contextmanager
def running_process(*arguments: str, **options: object) -> Iterator[subprocess.Popen[str]]:
    """Runs Python with the given arguments; terminates the process and waits for it at the end."""
    process: subprocess.Popen[str] = subprocess.Popen(  # type: ignore[call-overload]
        [sys.executable, *arguments], cwd=ROOT, text=True, **options
    )
    try:
        yield process
    finally:
        process.terminate()
        process.wait(WAIT_S)


def read_until(lines: IO[str] | None, *patterns: str) -> list[str]:
    """Reads lines until each pattern has matched one; returns the first group of each pattern's latest match.

    Raises SystemExit if the lines end before that.
    """
    found: dict[str, str] = {}
    for line in lines or ():
        for pattern in patterns:
            if match := re.search(pattern, line):
                found[pattern] = match[1]
        if len(found) == len(patterns):
            return [found[pattern] for pattern in patterns]
    raise SystemExit("demo: the process ended before it was ready")


def fetch(url: str) -> str:
    """Returns the body of the answer to a GET request as text."""
    with urllib.request.urlopen(url, timeout=WAIT_S) as response:
        text: str = response.read().decode("utf-8", "replace")
    return text


def main() -> None:
    """Runs the demonstration; raises SystemExit if the router does not end with status 0."""
    with (
        tempfile.TemporaryDirectory() as folder_name,
        running_process(str(ROOT / "example/toy.py"), "0", stdout=subprocess.PIPE) as toy,
    ):
        folder = Path(folder_name)
        assert toy.stdout is not None
        addresses = json.loads(toy.stdout.readline())
        config = json.loads((ROOT / "example/config.json").read_text())
        config.update(changelog=addresses["changelog"], listen="127.0.0.1:0")
        (folder / "config.json").write_text(json.dumps(config))
        text = (ROOT / "example/site.toml").read_text()
        for server, address in addresses["boxes"].items():
            text = re.sub(rf'^{server} = "[^"]*"', f'{server} = "{address["http"]}"', text, flags=re.M)
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
            print("A player requests coaching/intro over HLS and gets a manifest for its own session:\n")
            master = fetch(f"http://127.0.0.1:{hls}/play/coaching/intro")
            print(master)
            playlist = re.findall(r"^/session/\S+", master, re.M)[-1]
            segments = re.findall(r"^http://\S+\.ts$", fetch(f"http://127.0.0.1:{hls}{playlist}"), re.M)
            print(
                f"Its playlist names {len(segments)} segments at a media server; the first has "
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
    print("\nThe router was asked to terminate, and ended with 0.")


if __name__ == "__main__":
    main()
