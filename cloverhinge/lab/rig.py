"""A rig of real processes: routers behind a hub, boxes and a change log as stand-ins, faults, one record."""

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
HUB_HOST_OFFSET = 128  # the hub's hosts follow the routers': 127.a.b.1 and 127.a.b.128 are one router's
MAX_ROUTERS = 120
START_TIMEOUT_S = 60.0  # for a start beside others on a busy machine; only a failing run waits so long

MEMBER_CHANGED = re.compile(
    r"(\S+): members: (\S+) (joined|returned|restarted|suspect|heard|dead|left), "
    r"incarnation (\d+) \((.*)\); view (\d+):([0-9a-f]+) of (\d+)$"
)
_rigs = itertools.count()


class Router:
    """One process of the program, and what its log has said."""

    def __init__(self, rig: Rig, number: int, site: str) -> None:
        self.rig, self.number, self.site, self.name = rig, number, site, f"r{number}"
        self.host = f"{rig.net}.{number + 1}"
        self.folder = rig.folder / self.name
        self.folder.mkdir()
        self.advertised = rig.hub.add_router(self.name, f"{rig.net}.{number + HUB_HOST_OFFSET}", self.host)
        self.process: subprocess.Popen[str] | None = None
        self.ports: dict[str, tuple[str, int]] = {}
        self.view: tuple[int, str, int] | None = None  # number, digest, members in it
        self.runs = 0
        self.started_ms = 0.0  # of this run
        self.change_log = FakeChangeLog()  # its own, as its gates to the boxes are
        self.readers: list[threading.Thread] = []

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def start(self, **settings: Any) -> None:
        """Begins a new run under the same name; `until_started` waits for it."""
        rig = self.rig
        self.ports, self.view = {}, None
        self.runs += 1
        known = (
            {"seq": 1, "results": [self.change_log.append_event(rig.server_list(self), full=True)]}
            if rig.servers
            else {}
        )
        told = Program.configuration(self.name, self.change_log, known, **{**rig.settings, **settings})
        told["seed"] = f"{rig.seed * 1000 + self.number * 10 + self.runs:016x}"
        told["listen"] = f"{self.host}:0"
        (self.folder / "config.json").write_text(json.dumps(told))
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
            if found := MEMBER_CHANGED.search(text):
                self.view = int(found[6]), found[7], int(found[8])
                record.add(
                    self.name,
                    "changed",
                    name=found[2],
                    to=found[3],
                    incarnation=int(found[4]),
                    reason=found[5],
                    view=f"{found[6]}:{found[7]}",
                    size=int(found[8]),
                )
                continue
            if found := re.search(r": members: listening on (\S+):(\d+), known as", text):
                self.rig.hub.attach(self.name, (found[1], int(found[2])))
                self.ports["members"] = found[1], int(found[2])
            elif found := re.search(r": (listening|admin|HLS) on (\S+?):(\d+)\b", text):
                self.ports[found[1]] = found[2], int(found[3])
            record.add(self.name, "log", line=text)
        code = process.wait()
        if process is self.process:
            self.rig.hub.detach(self.name)
        record.add(self.name, "ended", code=code)

    def wait_started(self) -> None:
        self.rig.record.wait_until(
            lambda: "members" in self.ports and self.view is not None, START_TIMEOUT_S, f"{self.name} listens"
        )

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.rig.record.add(self.name, "fault", signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.wait_ended()

    def pause(self) -> None:
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.signal(signal.SIGCONT)

    def terminate(self) -> int:
        """SIGTERM, and its exit code."""
        self.signal(signal.SIGTERM)
        return self.wait_ended()

    def wait_ended(self) -> int:
        assert self.process is not None
        life = self.runs
        code = self.process.wait(TIMEOUT_S)
        self.rig.record.wait_until(
            lambda: len(list(self.rig.record.events_of("ended", self.name))) >= life,
            TIMEOUT_S,
            f"{self.name} ends",
        )
        return code

    def status(self) -> dict[str, Any]:
        with socket.create_connection(self.ports["admin"], TIMEOUT_S) as link, link.makefile("rb") as lines:
            link.sendall(b"status\n")
            told: dict[str, Any] = json.loads(lines.readline())
        return told

    def log_events(self, text: str) -> list[Event]:
        return [x for x in self.rig.record.events_of("log", self.name) if text in x.details["line"]]


class Rig:
    """`count` routers in `sites` sites by turns.

    `tables` are further tables of their site files, `program` is what Python is started with.  Boxes are
    behind the hub too, unless `gated` says no.
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
            raise ValueError(f"{count} routers, {MAX_ROUTERS} at most")
        self.folder, self.seed, self.servers, self.program = folder, seed, list(servers), list(program)
        self.settings: dict[str, Any] = {"fleetSize": count, **settings}
        self.members, self.site_tables, self.uses_server_proxies = (
            members or {},
            site_tables,
            uses_server_proxies,
        )
        place = os.getpid() + 1009 * next(_rigs)  # two rigs of one machine do not meet
        self.net = f"127.{10 + place // 250 % 200}.{place % 250}"
        self.record = Record()
        self.hub = Hub(self.record, seed)
        self.server_proxies: dict[tuple[str, str], tuple[str, int]] = {}  # a router's way to a box
        for box in self.recording_servers:
            box.record = self.record
        self.busy_loops: list[subprocess.Popen[bytes]] = []
        self.routers = [Router(self, n, f"s{n % sites}") for n in range(count)]

    def __getitem__(self, number: int) -> Router:
        return self.routers[number]

    def server_list(self, router: Router) -> list[dict[str, Any]]:
        """The boxes as this router is told of them: at gates of the hub's."""
        if not self.uses_server_proxies:
            return [pump.list_entry() for pump in self.servers]
        rows = []
        for pump in self.servers:
            pair = router.name, pump.name
            if pair not in self.server_proxies:
                host, port = pump.address.rsplit(":", 1)
                self.server_proxies[pair] = self.hub.add_server_proxy(
                    *pair, router.advertised[0], (host, int(port))
                )
            rows.append({**pump.list_entry(), "hostPort": "%s:%d" % self.server_proxies[pair][:2]})
        return rows

    def site_file(self, router: Router) -> str:
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
        return [x for x in self.servers if isinstance(x, RecordingMediaServer)]

    def poll(
        self, description: str, condition: Callable[[], bool], seconds: float, pause_s: float = 0.05
    ) -> None:
        """For what only a router's status tells: asked again and again."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(f"{description}: not within {seconds:.0f} s\n{self.record.tail()}")
            self.record.pause(pause_s)

    def publish(self, states: dict[str, str]) -> None:
        """A change of boxes, by name, to all routers: to each with its own gates."""
        for router in self.routers:
            router.change_log.publish(
                [
                    {**row, "lifecycle": states[row["instanceId"]]}
                    for row in self.server_list(router)
                    if row["instanceId"] in states
                ]
            )

    # Groups

    def names(self, routers: Sequence[Router]) -> list[str]:
        return [x.name for x in routers]

    def agreed(self, routers: Sequence[Router]) -> bool:
        views = {x.view for x in routers}
        view = next(iter(views))
        return len(views) == 1 and view is not None and view[2] == len(routers)

    def wait_agreed(self, routers: Sequence[Router] | None = None, seconds: float = TIMEOUT_S) -> float:
        """How long in ms until these, and no others, are one view at all of them."""
        those = [x for x in self.routers if x.running] if routers is None else routers
        try:
            return self.record.wait_until(lambda: self.agreed(those), seconds, "one view")
        except AssertionError as error:
            raise AssertionError(f"{error}\n{[(x.name, x.view) for x in those]}") from None

    def start(self) -> None:
        for router in self.routers:
            router.start()
        for router in self.routers:
            router.wait_started()
        self.wait_agreed(seconds=START_TIMEOUT_S)

    def start_busy_loops(self, processors: int) -> None:
        """Busy loops that share the cores with the routers, until `relieve`."""
        for _ in range(processors):
            self.busy_loops.append(subprocess.Popen([sys.executable, "-c", "while True: pass"]))
        self.record.add("rig", "fault", busy=processors)

    def share_core(self, router: Router) -> None:
        """One core for this router and a busy loop, until `relieve`."""
        assert router.process is not None
        cores = sorted(os.sched_getaffinity(0))
        core = {cores[router.number % len(cores)]}
        self.start_busy_loops(1)
        for process in (router.process.pid, self.busy_loops[-1].pid):
            os.sched_setaffinity(process, core)

    def names_of_site(self, site: str) -> list[str]:
        """Names, for faults by site: `hub.cut(of_site("s0"), of_site("s1"))`."""
        return [x.name for x in self.routers if x.site == site]

    def stop_busy_loops(self) -> None:
        for process in self.busy_loops:
            process.kill()
            process.wait()
        self.busy_loops.clear()
        for router in self.routers:
            if router.process is not None and router.running:
                os.sched_setaffinity(router.process.pid, os.sched_getaffinity(0))
        self.record.add("rig", "relieved")

    def stop(self) -> None:
        self.stop_busy_loops()
        for router in self.routers:
            if router.process is not None:
                with suppress(ProcessLookupError):
                    router.process.kill()
                router.process.wait()
            for reader in router.readers:  # they tell the hub of the end, so it has to be there still
                reader.join(TIMEOUT_S)
        for listener in (*self.servers, *(x.change_log for x in self.routers)):
            listener.stop()
        self.hub.stop()


@contextmanager
def running_rig(folder: Path, count: int, **more: Any) -> Iterator[Rig]:
    """A started rig, ended in any case; no router may have raised what nobody caught."""
    made = Rig(folder, count, **more)
    try:
        made.start()
        yield made
        broken = [x for x in made.record.events_of("log") if "Traceback" in x.details["line"]]
        assert not broken, made.record.tail(200)
    finally:
        made.stop()
