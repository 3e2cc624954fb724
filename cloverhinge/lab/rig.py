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

from cloverhinge.lab.harness import ROOT, WAIT_S, ChangeLog, Program, Pump
from cloverhinge.lab.hub import Hub
from cloverhinge.lab.media import MediaBox
from cloverhinge.lab.record import Event, Record

KEY = "lab-key-" * 5
FIRST_PORT_HOST = 128  # the hub's hosts follow the routers': 127.a.b.1 and 127.a.b.128 are one router's
ROUTERS_MOST = 120
STARTS_S = 60.0  # for a start beside others on a busy machine; only a failing run waits so long

CHANGED = re.compile(
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
        self.told = rig.hub.place(self.name, f"{rig.net}.{number + FIRST_PORT_HOST}", self.host)
        self.process: subprocess.Popen[str] | None = None
        self.ports: dict[str, tuple[str, int]] = {}
        self.view: tuple[int, str, int] | None = None  # number, digest, members in it
        self.lives = 0
        self.begun_ms = 0.0  # of this run
        self.log = ChangeLog()  # its own, as its gates to the boxes are
        self.readers: list[threading.Thread] = []

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def start(self, **settings: Any) -> None:
        """Begins a new run under the same name; `until_started` waits for it."""
        rig = self.rig
        self.ports, self.view = {}, None
        self.lives += 1
        known = {"seq": 1, "results": [self.log.event(rig.rows(self), full=True)]} if rig.pumps else {}
        told = Program.configuration(self.name, self.log, known, **{**rig.settings, **settings})
        told["seed"] = f"{rig.seed * 1000 + self.number * 10 + self.lives:016x}"
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
        self.begun_ms = rig.record.add(self.name, "started", life=self.lives).ms
        self.readers = [x for x in self.readers if x.is_alive()]
        self.readers.append(threading.Thread(target=self._read, args=(self.process,), daemon=True))
        self.readers[-1].start()

    def _read(self, process: subprocess.Popen[str]) -> None:
        record = self.rig.record
        assert process.stderr is not None
        for line in process.stderr:
            text = line.rstrip("\n")
            if found := CHANGED.search(text):
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

    def until_started(self) -> None:
        self.rig.record.until(
            lambda: "members" in self.ports and self.view is not None, STARTS_S, f"{self.name} listens"
        )

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.rig.record.add(self.name, "fault", signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.until_ended()

    def pause(self) -> None:
        self.signal(signal.SIGSTOP)

    def wake(self) -> None:
        self.signal(signal.SIGCONT)

    def terminate(self) -> int:
        """SIGTERM, and its exit code."""
        self.signal(signal.SIGTERM)
        return self.until_ended()

    def until_ended(self) -> int:
        assert self.process is not None
        life = self.lives
        code = self.process.wait(WAIT_S)
        self.rig.record.until(
            lambda: len(list(self.rig.record.of("ended", self.name))) >= life, WAIT_S, f"{self.name} ends"
        )
        return code

    def status(self) -> dict[str, Any]:
        with socket.create_connection(self.ports["admin"], WAIT_S) as link, link.makefile("rb") as lines:
            link.sendall(b"status\n")
            told: dict[str, Any] = json.loads(lines.readline())
        return told

    def said(self, text: str) -> list[Event]:
        return [x for x in self.rig.record.of("log", self.name) if text in x.told["line"]]


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
        pumps: Sequence[Pump] = (),
        seed: int = 1,
        members: dict[str, Any] | None = None,
        tables: str = "",
        program: Sequence[str] = ("-m", "cloverhinge"),
        gated: bool = True,
        **settings: Any,
    ) -> None:
        if count > ROUTERS_MOST:
            raise ValueError(f"{count} routers, {ROUTERS_MOST} at most")
        self.folder, self.seed, self.pumps, self.program = folder, seed, list(pumps), list(program)
        self.settings: dict[str, Any] = {"fleetSize": count, **settings}
        self.members, self.tables, self.gated = members or {}, tables, gated
        place = os.getpid() + 1009 * next(_rigs)  # two rigs of one machine do not meet
        self.net = f"127.{10 + place // 250 % 200}.{place % 250}"
        self.record = Record()
        self.hub = Hub(self.record, seed)
        self.gates: dict[tuple[str, str], tuple[str, int]] = {}  # a router's way to a box
        for box in self.boxes:
            box.record = self.record
        self.busy: list[subprocess.Popen[bytes]] = []
        self.routers = [Router(self, n, f"s{n % sites}") for n in range(count)]

    def __getitem__(self, number: int) -> Router:
        return self.routers[number]

    def rows(self, router: Router) -> list[dict[str, Any]]:
        """The boxes as this router is told of them: at gates of the hub's."""
        if not self.gated:
            return [pump.row() for pump in self.pumps]
        rows = []
        for pump in self.pumps:
            pair = router.name, pump.name
            if pair not in self.gates:
                host, port = pump.address.rsplit(":", 1)
                self.gates[pair] = self.hub.gate(*pair, router.told[0], (host, int(port)))
            rows.append({**pump.row(), "hostPort": "%s:%d" % self.gates[pair][:2]})
        return rows

    def site_file(self, router: Router) -> str:
        join = ", ".join('"%s:%d"' % x.told for x in self.routers[:3])
        own = {
            "listen": f"{router.host}:0",
            "advertise": "%s:%d" % router.told,
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
            self.tables.replace("{folder}", str(router.folder)),
        ]
        return "\n".join(lines) + "\n"

    @property
    def boxes(self) -> list[MediaBox]:
        return [x for x in self.pumps if isinstance(x, MediaBox)]

    def poll(self, what: str, holds: Callable[[], bool], seconds: float, pause_s: float = 0.05) -> None:
        """For what only a router's status tells: asked again and again."""
        deadline = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > deadline:
                raise AssertionError(f"{what}: not within {seconds:.0f} s\n{self.record.tail()}")
            self.record.pause(pause_s)

    def tell(self, states: dict[str, str]) -> None:
        """A change of boxes, by name, to all routers: to each with its own gates."""
        for router in self.routers:
            router.log.tell(
                [
                    {**row, "lifecycle": states[row["instanceId"]]}
                    for row in self.rows(router)
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

    def until_agreed(self, routers: Sequence[Router] | None = None, seconds: float = WAIT_S) -> float:
        """How long in ms until these, and no others, are one view at all of them."""
        those = [x for x in self.routers if x.running] if routers is None else routers
        try:
            return self.record.until(lambda: self.agreed(those), seconds, "one view")
        except AssertionError as error:
            raise AssertionError(f"{error}\n{[(x.name, x.view) for x in those]}") from None

    def start(self) -> None:
        for router in self.routers:
            router.start()
        for router in self.routers:
            router.until_started()
        self.until_agreed(seconds=STARTS_S)

    def starve(self, processors: int) -> None:
        """Busy loops that share the cores with the routers, until `relieve`."""
        for _ in range(processors):
            self.busy.append(subprocess.Popen([sys.executable, "-c", "while True: pass"]))
        self.record.add("rig", "fault", busy=processors)

    def share_core(self, router: Router) -> None:
        """One core for this router and a busy loop, until `relieve`."""
        assert router.process is not None
        cores = sorted(os.sched_getaffinity(0))
        core = {cores[router.number % len(cores)]}
        self.starve(1)
        for process in (router.process.pid, self.busy[-1].pid):
            os.sched_setaffinity(process, core)

    def of_site(self, site: str) -> list[str]:
        """Names, for faults by site: `hub.cut(of_site("s0"), of_site("s1"))`."""
        return [x.name for x in self.routers if x.site == site]

    def relieve(self) -> None:
        for process in self.busy:
            process.kill()
            process.wait()
        self.busy.clear()
        for router in self.routers:
            if router.process is not None and router.running:
                os.sched_setaffinity(router.process.pid, os.sched_getaffinity(0))
        self.record.add("rig", "relieved")

    def stop(self) -> None:
        self.relieve()
        for router in self.routers:
            if router.process is not None:
                with suppress(ProcessLookupError):
                    router.process.kill()
                router.process.wait()
            for reader in router.readers:  # they tell the hub of the end, so it has to be there still
                reader.join(WAIT_S)
        for listener in (*self.pumps, *(x.log for x in self.routers)):
            listener.stop()
        self.hub.stop()


@contextmanager
def rig(folder: Path, count: int, **more: Any) -> Iterator[Rig]:
    """A started rig, ended in any case; no router may have raised what nobody caught."""
    made = Rig(folder, count, **more)
    try:
        made.start()
        yield made
        broken = [x for x in made.record.of("log") if "Traceback" in x.told["line"]]
        assert not broken, made.record.tail(200)
    finally:
        made.stop()
