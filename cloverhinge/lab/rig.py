"""A rig: router processes behind a hub, with fake media servers and change logs, faults and one record."""

from __future__ import annotations

import itertools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

from cloverhinge.lab.harness import ROOT, TIMEOUT_S, FakeChangeLog, FakeMediaServer, Program
from cloverhinge.lab.hub import Hub
from cloverhinge.lab.media import RecordingMediaServer
from cloverhinge.lab.record import Event, Record

KEY = "lab-key-" * 5
HUB_HOST_OFFSET = 128  # last byte of the address at the hub: 127.a.b.128 for the router at 127.a.b.1
MAX_ROUTERS = 120
START_TIMEOUT_S = 60.0  # for a start on a busy machine; only a failing run waits this long

MEMBER_CHANGED = re.compile(
    r"(\S+): members: (\S+) (joined|returned|restarted|suspect|heard|dead|left), "
    r"incarnation (\d+) \((.*)\); view (\d+):([0-9a-f]+) of (\d+)$"
)
_rigs = itertools.count()


class Router:
    """One router of the rig: its process, over restarts, and its log."""

    def __init__(self, rig: Rig, number: int, site: str) -> None:
        self.rig, self.number, self.site, self.name = rig, number, site, f"r{number}"
        self.host = f"{rig.net}.{number + 1}"
        self.folder = rig.folder / self.name
        self.folder.mkdir()
        self.advertised = rig.hub.add_router(self.name, f"{rig.net}.{number + HUB_HOST_OFFSET}", self.host)
        self.process: subprocess.Popen[str] | None = None
        self.ports: dict[str, tuple[str, int]] = {}
        self.view: tuple[int, str, int] | None = None  # version, digest, number of members
        self.runs = 0
        self.started_ms = 0.0  # start of the present run, ms since the record began
        self.change_log = FakeChangeLog()  # of its own, as it sees other addresses of the media servers
        self.readers: list[threading.Thread] = []

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def start(self, **settings: Any) -> None:
        """Starts a new process under the same name without waiting; `wait_started` waits.

        `settings` override those of the rig.
        """
        rig = self.rig
        self.ports, self.view = {}, None
        self.runs += 1
        known = (
            {"seq": 1, "results": [self.change_log.append_event(rig.server_list(self), full=True)]}
            if rig.servers
            else {}
        )
        config = Program.configuration(self.name, self.change_log, known, **{**rig.settings, **settings})
        config["seed"] = f"{rig.seed * 1000 + self.number * 10 + self.runs:016x}"
        config["listen"] = f"{self.host}:0"
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "site.toml").write_text(rig.site_file(self))
        self.process = subprocess.Popen(
            [sys.executable, *rig.program, "serve", "--site", str(self.folder / "site.toml")],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "LB_CONFIG": str(self.folder / "config.json")},
        )
        self.started_ms = rig.record.add(self.name, "started", life=self.runs).ms
        self.readers = [x for x in self.readers if x.is_alive()]
        self.readers.append(threading.Thread(target=self._read, args=(self.process,), daemon=True))
        self.readers[-1].start()

    def _read(self, process: subprocess.Popen[str]) -> None:
        record = self.rig.record
        assert process.stderr is not None
        for line in process.stderr:
            text = line.rstrip("\n")
            if match := MEMBER_CHANGED.search(text):
                self.view = int(match[6]), match[7], int(match[8])
                record.add(
                    self.name,
                    "changed",
                    name=match[2],
                    to=match[3],
                    incarnation=int(match[4]),
                    reason=match[5],
                    view=f"{match[6]}:{match[7]}",
                    size=int(match[8]),
                )
                continue
            if match := re.search(r": members: listening on (\S+):(\d+), known as", text):
                self.rig.hub.attach(self.name, (match[1], int(match[2])))
                self.ports["members"] = match[1], int(match[2])
            elif match := re.search(r": (listening|admin|HLS) on (\S+?):(\d+)\b", text):
                self.ports[match[1]] = match[2], int(match[3])
            record.add(self.name, "log", line=text)
        code = process.wait()
        if process is self.process:
            self.rig.hub.detach(self.name)
        record.add(self.name, "ended", code=code)

    def wait_started(self) -> None:
        """Waits until the process listens for members and has logged a view."""
        self.rig.record.wait_until(
            lambda: "members" in self.ports and self.view is not None, START_TIMEOUT_S, f"{self.name} listens"
        )

    def signal(self, number: int) -> None:
        """Sends a signal to the process and records it as a fault."""
        assert self.process is not None
        self.rig.record.add(self.name, "fault", signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        self.wait_ended()

    def pause(self) -> None:
        """Sends SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Sends SIGCONT."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> int:
        """Sends SIGTERM and returns the exit code."""
        self.signal(signal.SIGTERM)
        return self.wait_ended()

    def wait_ended(self) -> int:
        """Waits until the process has ended and its whole log is recorded; returns the exit code."""
        assert self.process is not None
        run = self.runs
        code = self.process.wait(TIMEOUT_S)
        self.rig.record.wait_until(
            lambda: len(list(self.rig.record.events_of("ended", self.name))) >= run,
            TIMEOUT_S,
            f"{self.name} ends",
        )
        return code

    def status(self) -> dict[str, Any]:
        """The status that the router reports at its admin address."""
        with socket.create_connection(self.ports["admin"], TIMEOUT_S) as sock, sock.makefile("rb") as lines:
            sock.sendall(b"status\n")
            status: dict[str, Any] = json.loads(lines.readline())
        return status

    def log_events(self, text: str) -> list[Event]:
        """The recorded log lines that contain `text`, of all runs."""
        return [x for x in self.rig.record.events_of("log", self.name) if text in x.details["line"]]


class Rig:
    """`count` routers, spread evenly over `sites` sites, and what they talk to.

    `members` override keys of the [members] table and `site_tables` is further text of the site files, where
    {folder} stands for a router's folder.  `program` are the arguments of Python that start the program.  The
    connections to media servers pass the hub too unless `uses_server_proxies` is false.
    """

    def __init__(
        self,
        folder: Path,
        count: int,
        sites: int = 1,
        servers: Sequence[FakeMediaServer] = (),
        seed: int = 1,
        members: dict[str, Any] | None = None,
        site_tables: str = "",
        program: Sequence[str] = ("-m", "cloverhinge"),
        uses_server_proxies: bool = True,
        **settings: Any,
    ) -> None:
        if count > MAX_ROUTERS:
            raise ValueError(f"{count} routers requested, at most {MAX_ROUTERS} are supported")
        self.folder, self.seed, self.servers, self.program = folder, seed, list(servers), list(program)
        self.settings: dict[str, Any] = {"fleetSize": count, **settings}
        self.members, self.site_tables, self.uses_server_proxies = (
            members or {},
            site_tables,
            uses_server_proxies,
        )
        index = os.getpid() + 1009 * next(_rigs)  # rigs that run at the same time get different subnets
        self.net = f"127.{10 + index // 250 % 200}.{index % 250}"
        self.record = Record()
        self.hub = Hub(self.record, seed)
        self.server_proxies: dict[tuple[str, str], tuple[str, int]] = {}  # address by (router, server)
        for server in self.recording_servers:
            server.record = self.record
        self.busy_loops: list[subprocess.Popen[bytes]] = []
        self.routers = [Router(self, n, f"s{n % sites}") for n in range(count)]

    def __getitem__(self, number: int) -> Router:
        return self.routers[number]

    def server_list(self, router: Router) -> list[dict[str, Any]]:
        """The entries of the media servers for one router, with the addresses of its proxies at the hub."""
        if not self.uses_server_proxies:
            return [server.list_entry() for server in self.servers]
        entries = []
        for server in self.servers:
            pair = router.name, server.name
            if pair not in self.server_proxies:
                host, port = server.address.rsplit(":", 1)
                self.server_proxies[pair] = self.hub.add_server_proxy(
                    *pair, router.advertised[0], (host, int(port))
                )
            entries.append({**server.list_entry(), "hostPort": "%s:%d" % self.server_proxies[pair][:2]})
        return entries

    def site_file(self, router: Router) -> str:
        """The text of a router's site file."""
        join = ", ".join('"%s:%d"' % x.advertised for x in self.routers[:3])
        own = {
            "listen": f"{router.host}:0",
            "advertise": "%s:%d" % router.advertised,
            "site": router.site,
            "key": KEY,
            **self.members,
        }
        lines = [
            "[admin]",
            'listen = "127.0.0.1:0"',
            "[members]",
            f"join = [{join}]",
            *(f"{key} = {json.dumps(value)}" for key, value in own.items()),
            self.site_tables.replace("{folder}", str(router.folder)),
        ]
        return "\n".join(lines) + "\n"

    @property
    def recording_servers(self) -> list[RecordingMediaServer]:
        """The media servers that record what they are asked."""
        return [x for x in self.servers if isinstance(x, RecordingMediaServer)]

    def poll(
        self, description: str, condition: Callable[[], bool], seconds: float, pause_s: float = 0.05
    ) -> None:
        """Polls a condition that no recorded event shows, such as a value in a router's status.

        Raises AssertionError with the end of the record after `seconds`.
        """
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(
                    f"{description}: not reached within {seconds:.0f} s\n{self.record.tail()}"
                )
            self.record.pause(pause_s)

    def publish(self, states: dict[str, str]) -> None:
        """Publishes lifecycle states, by the name of the media server, to all routers."""
        for router in self.routers:
            router.change_log.publish(
                [
                    {**row, "lifecycle": states[row["instanceId"]]}
                    for row in self.server_list(router)
                    if row["instanceId"] in states
                ]
            )

    # Groups of routers

    def names(self, routers: Sequence[Router]) -> list[str]:
        """The names of these routers."""
        return [x.name for x in routers]

    def agreed(self, routers: Sequence[Router]) -> bool:
        """Whether all of these last logged the same view with as many members as they are."""
        views = {x.view for x in routers}
        view = next(iter(views))
        return len(views) == 1 and view is not None and view[2] == len(routers)

    def wait_agreed(self, routers: Sequence[Router] | None = None, seconds: float = TIMEOUT_S) -> float:
        """Waits until `agreed` for these, by default all that run; returns the wait in ms."""
        expected = [x for x in self.routers if x.running] if routers is None else routers
        try:
            return self.record.wait_until(lambda: self.agreed(expected), seconds, "one view")
        except AssertionError as error:
            raise AssertionError(f"{error}\n{[(x.name, x.view) for x in expected]}") from None

    def start(self) -> None:
        """Starts all routers and waits until they agree on one view."""
        for router in self.routers:
            router.start()
        for router in self.routers:
            router.wait_started()
        self.wait_agreed(seconds=START_TIMEOUT_S)

    def start_busy_loops(self, processors: int) -> None:
        """Starts processes that compete with the routers for CPU time until `stop_busy_loops`."""
        for _ in range(processors):
            self.busy_loops.append(subprocess.Popen([sys.executable, "-c", "while True: pass"]))
        self.record.add("rig", "fault", busy=processors)

    def share_core(self, router: Router) -> None:
        """Pins this router and a busy loop to one core until `stop_busy_loops`."""
        assert router.process is not None
        cores = sorted(os.sched_getaffinity(0))
        core = {cores[router.number % len(cores)]}
        self.start_busy_loops(1)
        for process in (router.process.pid, self.busy_loops[-1].pid):
            os.sched_setaffinity(process, core)

    def names_of_site(self, site: str) -> list[str]:
        """The names of a site's routers, as `Hub.cut` takes them."""
        return [x.name for x in self.routers if x.site == site]

    def stop_busy_loops(self) -> None:
        """Ends all busy loops and lets the routers use all cores again."""
        for process in self.busy_loops:
            process.kill()
            process.wait()
        self.busy_loops.clear()
        for router in self.routers:
            if router.process is not None and router.running:
                os.sched_setaffinity(router.process.pid, os.sched_getaffinity(0))
        self.record.add("rig", "relieved")

    def stop(self) -> None:
        """Kills all processes and closes all listeners."""
        self.stop_busy_loops()
        for router in self.routers:
            if router.process is not None:
                with suppress(ProcessLookupError):
                    router.process.kill()
                router.process.wait()
            for reader in router.readers:  # they call the hub when a process ends, so it stops after them
                reader.join(TIMEOUT_S)
        for listener in (*self.servers, *(x.change_log for x in self.routers)):
            listener.stop()
        self.hub.stop()


@contextmanager
def running_rig(folder: Path, count: int, **more: Any) -> Iterator[Rig]:
    """Runs a started rig and stops it at the end; no router may have logged a traceback."""
    made = Rig(folder, count, **more)
    try:
        made.start()
        yield made
        tracebacks = [x for x in made.record.events_of("log") if "Traceback" in x.details["line"]]
        assert not tracebacks, made.record.tail(200)
    finally:
        made.stop()
