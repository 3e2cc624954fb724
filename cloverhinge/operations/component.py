"""Joins the staff's calls to the router: the listener, the file of bans, the source of the figures."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from twisted.logger import Logger

from cloverhinge.core.clock import to_us
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.router import Router
from cloverhinge.decision.upgrade_overlap import divide_traffic, export_learned, import_learned, import_seats
from cloverhinge.discovery.updates import server_number
from cloverhinge.operations import commands as command_lines
from cloverhinge.operations.command_server import CALLERS_MOST, Desk
from cloverhinge.operations.instance_files import Beside
from cloverhinge.operations.maintenance import Bans
from cloverhinge.operations.maintenance_file import Shelf
from cloverhinge.operations.metrics import Figures
from cloverhinge.operations.overlap import Phase, encode, parts

SHELF_MS = 100.0  # a call at the process beside this is obeyed so soon: less than half of the shortest grace
CALLERS_SHARE = 1 / 16  # of the descriptors at the most


class Operation:
    log = Logger()
    key = "operation"

    def __init__(
        self,
        reactor: Any,
        name: str,
        mgmt: tuple[str, int] | None,
        folder: Path | None,
        sockets: int,
        router: Router,
        deadlines: Deadlines,
    ) -> None:
        self.reactor, self.name, self.mgmt = reactor, name, mgmt
        self.router, self.deadlines = router, deadlines
        self.bans = Bans()
        self.phase, self.parts = Phase.STARTING, 1
        self.shared: Callable[[int], None] = lambda parts: None  # told how many share the router's place
        self.shelf: Shelf | None = None
        self.beside: Beside | None = None
        if folder is not None:
            stem = f"cloverhinge-{re.sub(r'[^A-Za-z0-9_-]', '_', name)}"
            self.shelf, self.beside = Shelf(folder / f"{stem}-bans.json"), Beside(folder, stem)
            self._merge()  # before anything is sent
        self.told = False  # of this process, to others
        self.desk = Desk(
            lambda line: command_lines.answer(line, self),
            deadlines,
            max(1, min(CALLERS_MOST, int(sockets * CALLERS_SHARE))),
        )

    def start(self) -> None:
        if self.mgmt is not None:
            port = self.reactor.listenTCP(self.mgmt[1], self.desk, interface=self.mgmt[0])
            self.log.info(
                "{name}: operators at {host}:{port}",
                name=self.name,
                host=self.mgmt[0],
                port=port.getHost().port,
            )
        if self.beside is not None:
            self.beside.start()
            self._look()

    def serving(self) -> None:
        self._enter(Phase.SERVING)

    def begin_shutdown(self) -> None:
        self._enter(Phase.ENDING)

    def ended(self) -> None:
        beside, self.beside = self.beside, None  # nothing more is told
        if beside is not None:
            beside.end()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        if self.beside is not None:
            self._compare(self.beside)

    @property
    def waits_for(self) -> str:
        return {Phase.STARTING: "starting", Phase.SERVING: "", Phase.ENDING: "told to end"}[self.phase]

    def listed(self, names: Iterable[str]) -> None:
        self.bans.names(names)

    def status(self) -> dict[str, Any]:
        return {"left_out": sorted(self.bans.out), "waits_for": self.waits_for, "processes": self.parts}

    def commands(self) -> dict[str, Callable[[str], dict[str, Any]]]:
        """The same calls for those who come to the admin socket."""

        def call(word: str) -> Callable[[str], dict[str, Any]]:
            return lambda about: {"answer": command_lines.answer(f"{word} {about}".encode(), self).strip()}

        return {word: call(word) for word in ("maint-on", "maint-off")}

    # What calls ask and tell

    def figures(self) -> Figures:
        router = self.router
        servers, now_us = router.controller.fleet.servers, to_us(router.clock.now())
        avoided = sum(
            1
            for number in router.listings
            if number in router.maintenance
            or (number in servers and servers[number].suspect_until_us > now_us)
        )
        return Figures(router.counters.tallies, len(router.requests), len(router.listings), avoided)

    def known(self, name: str) -> bool:
        return self.bans.known(name)

    def leave_out(self, name: str, out: bool) -> bool:
        self._merge()
        now_ms, before = self.router.clock.now(), name in self.bans.out
        if not self.bans.tell(name, out, now_ms):
            return False
        if before != out:
            self._obey({name: out})
        if self.shelf is not None:
            self.shelf.write(self.bans.encode())
        return True

    # The file

    def _obey(self, changed: dict[str, bool]) -> None:
        for name, out in changed.items():
            if out:
                self.router.start_maintenance(server_number(name), self.bans.records[name].at_ms)
            else:
                self.router.end_maintenance(server_number(name))
            self.log.info("box {box}: {what}", box=name, what="left out by hand" if out else "put back")

    def _merge(self) -> None:
        records = None if self.shelf is None else self.shelf.read()
        if records is None or self.shelf is None:
            return
        self._obey(self.bans.merge(records, self.router.clock.now()))
        if self.bans.lacking(records):
            self.shelf.write(self.bans.encode())

    def _compare(self, beside: Beside) -> None:
        """What each process says of itself, and what that comes to for this one."""
        others, router = beside.others(), self.router
        if others or not self.told:
            self.told = True
            beside.tell(encode(self.phase, export_learned(router.controller)))
        for other in others:
            if other is not None and other.known.servers:
                import_learned(router.controller, to_us(router.clock.now()), other.known)
        import_seats(router.controller, (x.known for x in others if x is not None))
        shared = parts(self.phase, (x.phase for x in others if x is not None))
        if shared != self.parts:
            self.parts = shared
            divide_traffic(router.controller, router.settings, shared)
            self.shared(shared)
            self.log.info(
                "{name}: {parts} in this router's place",
                name=self.name,
                parts="another process serves" if shared > 1 else "no other process serves",
            )

    def _look(self) -> None:
        self._merge()
        if self.beside is not None:
            self._compare(self.beside)
        self.deadlines.after(SHELF_MS, self._look)
