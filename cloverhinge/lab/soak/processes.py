"""Router processes of a trial: started, signalled, watched and started again."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
from contextlib import suppress
from pathlib import Path

from cloverhinge.lab.harness import ROOT
from cloverhinge.lab.soak.change_log import ChangeLog
from cloverhinge.lab.soak.deployment import Deployment
from cloverhinge.lab.soak.observations import Observations, RunSeen

LISTENING = re.compile(r": listening on (\S+):(\d+),")
SAMPLE_S = 0.25  # interval at which memory and descriptors are read
MAX_LOG_LINES = 100_000  # kept of a run
RELEASE_BUILD = ("-O", "-B", "-m", "cloverhinge", "serve")
DEBUG_BUILD = ("-B", "-m", "cloverhinge", "serve")  # stops on a broken invariant


class RouterProcess:
    """One router over its runs."""

    def __init__(
        self, name: str, folder: Path, deployment: Deployment, seen: Observations, seed: int
    ) -> None:
        self.name, self.folder, self.deployment, self.seen = name, folder / name, deployment, seen
        self.seed = seed
        self.site = ""  # its site file, for the parts that are off by default
        self.folder.mkdir()
        self.change_log = ChangeLog(name, seen)
        self.process: asyncio.subprocess.Process | None = None
        self.run: RunSeen | None = None
        self.address: tuple[str, int] | None = None  # where it listens, while it does
        self.ended = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._starting: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and not self.ended.is_set()

    def _write_configuration(self) -> None:
        known = {"seq": len(self.change_log.events), "results": self.change_log.events}
        number = 0 if self.run is None else self.run.number
        document = {
            "name": self.name,
            "listen": "127.0.0.1:0",
            "seed": f"{self.seed * 1000 + number:016x}",
            "changelog": self.change_log.address,
            "limits": {
                "cores": 1.0,
                "memory_mb": self.deployment.memory_mb,
                "sockets": self.deployment.sockets,
            },
            "known": known,
            "settings": self.deployment.settings,
        }
        (self.folder / "config.json").write_text(json.dumps(document))

    def _site_options(self) -> list[str]:
        if not self.site:
            return []
        path = self.folder / "site.toml"
        path.write_text(self.site)
        return ["--site", str(path)]

    async def start(self) -> None:
        """Start a new run; a caller that is cancelled meanwhile leaves it to `settled`."""
        self._starting = asyncio.create_task(self._start())
        await asyncio.shield(self._starting)

    async def settled(self) -> None:
        """Wait until no start is under way."""
        if self._starting is not None:
            await self._starting

    async def _start(self) -> None:
        number = 1 if self.run is None else self.run.number + 1
        self.run = RunSeen(self.name, number, self.seen.now())
        self.seen.runs.append(self.run)
        self._write_configuration()
        self.ended = asyncio.Event()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(RELEASE_BUILD if self.seed % 2 else DEBUG_BUILD),
            *self._site_options(),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "LB_CONFIG": str(self.folder / "config.json"), "LB_LOG_REQUESTS": "1"},
        )
        self.seen.fault(f"{self.name} started, run {number}")
        self._tasks += [
            asyncio.create_task(self._read(self.process, self.run, self.ended)),
            asyncio.create_task(self._sample(self.process.pid, self.run, self.ended)),
        ]

    async def _read(self, process: asyncio.subprocess.Process, run: RunSeen, ended: asyncio.Event) -> None:
        assert process.stderr is not None
        async for line in process.stderr:
            text = line.decode(errors="replace").rstrip("\n")
            if len(run.log) < MAX_LOG_LINES or "request" not in text:
                run.log.append(f"{self.seen.now():9.1f} {text}")
            if match := LISTENING.search(text):
                self.address, run.ready_ms = (match[1], int(match[2])), self.seen.now()
        run.code = await process.wait()
        run.ended_ms = self.seen.now()
        self.seen.fault(f"{self.name} ended with {run.code}")
        if self.run is run:
            self.address = None
        ended.set()

    async def _sample(self, pid: int, run: RunSeen, ended: asyncio.Event) -> None:
        with suppress(OSError):
            while not ended.is_set():
                run.peak_descriptors = max(run.peak_descriptors, len(os.listdir(f"/proc/{pid}/fd")))
                status = Path(f"/proc/{pid}/status").read_text()
                if peak := re.search(r"VmHWM:\s+(\d+) kB", status):
                    run.peak_mb = max(run.peak_mb, int(peak[1]) / 1024.0)
                await asyncio.sleep(SAMPLE_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process is None or not self.running or self.run is None:
            return
        now = self.seen.now()
        self._send(number)
        self.seen.fault(f"{self.name} {number.name}")
        if number is signal.SIGTERM and self.run.terminated_ms is None:
            self.run.terminated_ms = now
        elif number is signal.SIGKILL:
            self.run.killed_ms = now
            self.run.planned_kill = self.run.terminated_ms is None

    def _send(self, number: signal.Signals) -> None:
        """Send a signal without asking for the process's state, which would take its exit code."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    def reload(self) -> None:
        """Write the configuration with the present address of the change log, and send SIGHUP."""
        self._write_configuration()
        self.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        await self.settled()
        if self.running:
            self._send(signal.SIGKILL)
        for task in self._tasks:
            await task
        self.change_log.stop()
