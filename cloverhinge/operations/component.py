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
from cloverhinge.operations.command_server import MAX_PENDING_CONNECTIONS, CommandServer
from cloverhinge.operations.instance_files import InstanceFiles
from cloverhinge.operations.maintenance import MaintenanceRegister
from cloverhinge.operations.maintenance_file import MaintenanceFile
from cloverhinge.operations.metrics import MetricsSnapshot
from cloverhinge.operations.overlap import Phase, count_sharing_processes, encode

POLL_INTERVAL_MS = (
    100.0  # a call at the process beside this is obeyed so soon: less than half of the shortest grace
)
MAX_DESCRIPTOR_SHARE = 1 / 16  # of the descriptors at the most


class OperationsComponent:
    log = Logger()
    key = "operation"

    def __init__(
        self,
        reactor: Any,
        name: str,
        command_address: tuple[str, int] | None,
        folder: Path | None,
        sockets: int,
        router: Router,
        deadlines: Deadlines,
    ) -> None:
        self.reactor, self.name, self.command_address = reactor, name, command_address
        self.router, self.deadlines = router, deadlines
        self.maintenance = MaintenanceRegister()
        self.phase, self.sharing_processes = Phase.STARTING, 1
        self.on_sharing_changed: Callable[[int], None] = (
            lambda parts: None
        )  # told how many share the router's place
        self.maintenance_file: MaintenanceFile | None = None
        self.instance_files: InstanceFiles | None = None
        if folder is not None:
            stem = f"cloverhinge-{re.sub(r'[^A-Za-z0-9_-]', '_', name)}"
            self.maintenance_file, self.instance_files = (
                MaintenanceFile(folder / f"{stem}-bans.json"),
                InstanceFiles(folder, stem),
            )
            self._merge_file()  # before anything is sent
        self.published = False  # of this process, to others
        self.command_server = CommandServer(
            lambda line: command_lines.execute(line, self),
            deadlines,
            max(1, min(MAX_PENDING_CONNECTIONS, int(sockets * MAX_DESCRIPTOR_SHARE))),
        )

    def start(self) -> None:
        if self.command_address is not None:
            port = self.reactor.listenTCP(
                self.command_address[1], self.command_server, interface=self.command_address[0]
            )
            self.log.info(
                "{name}: operators at {host}:{port}",
                name=self.name,
                host=self.command_address[0],
                port=port.getHost().port,
            )
        if self.instance_files is not None:
            self.instance_files.start()
            self._poll_files()

    def begin_serving(self) -> None:
        self._set_phase(Phase.SERVING)

    def begin_shutdown(self) -> None:
        self._set_phase(Phase.ENDING)

    def stop(self) -> None:
        beside, self.instance_files = self.instance_files, None  # nothing more is told
        if beside is not None:
            beside.remove_own()

    def _set_phase(self, phase: Phase) -> None:
        self.phase = phase
        if self.instance_files is not None:
            self._exchange_state(self.instance_files)

    @property
    def not_ready_reason(self) -> str:
        return {Phase.STARTING: "starting", Phase.SERVING: "", Phase.ENDING: "told to end"}[self.phase]

    def add_known_ids(self, names: Iterable[str]) -> None:
        self.maintenance.add_known_ids(names)

    def status(self) -> dict[str, Any]:
        return {
            "left_out": sorted(self.maintenance.active),
            "waits_for": self.not_ready_reason,
            "processes": self.sharing_processes,
        }

    def commands(self) -> dict[str, Callable[[str], dict[str, Any]]]:
        """The same calls for those who come to the admin socket."""

        def call(word: str) -> Callable[[str], dict[str, Any]]:
            return lambda about: {"answer": command_lines.execute(f"{word} {about}".encode(), self).strip()}

        return {word: call(word) for word in ("maint-on", "maint-off")}

    # What calls ask and tell

    def metrics(self) -> MetricsSnapshot:
        router = self.router
        servers, now_us = router.controller.fleet.servers, to_us(router.clock.now())
        avoided = sum(
            1
            for number in router.listings
            if number in router.maintenance
            or (number in servers and servers[number].suspect_until_us > now_us)
        )
        return MetricsSnapshot(router.counters.tallies, len(router.requests), len(router.listings), avoided)

    def is_known(self, name: str) -> bool:
        return self.maintenance.is_known(name)

    def set_maintenance(self, name: str, active: bool) -> bool:
        self._merge_file()
        now_ms, before = self.router.clock.now(), name in self.maintenance.active
        if not self.maintenance.set_maintenance(name, active, now_ms):
            return False
        if before != active:
            self._apply_changes({name: active})
        if self.maintenance_file is not None:
            self.maintenance_file.write(self.maintenance.encode())
        return True

    # The file

    def _apply_changes(self, changed: dict[str, bool]) -> None:
        for name, out in changed.items():
            if out:
                self.router.start_maintenance(server_number(name), self.maintenance.records[name].changed_ms)
            else:
                self.router.end_maintenance(server_number(name))
            self.log.info("box {box}: {what}", box=name, what="left out by hand" if out else "put back")

    def _merge_file(self) -> None:
        records = None if self.maintenance_file is None else self.maintenance_file.read()
        if records is None or self.maintenance_file is None:
            return
        self._apply_changes(self.maintenance.merge(records, self.router.clock.now()))
        if self.maintenance.has_changes_for(records):
            self.maintenance_file.write(self.maintenance.encode())

    def _exchange_state(self, beside: InstanceFiles) -> None:
        """What each process says of itself, and what that comes to for this one."""
        others, router = beside.read_others(), self.router
        if others or not self.published:
            self.published = True
            beside.publish(encode(self.phase, export_learned(router.controller)))
        for other in others:
            if other is not None and other.known.servers:
                import_learned(router.controller, to_us(router.clock.now()), other.known)
        import_seats(router.controller, (x.known for x in others if x is not None))
        shared = count_sharing_processes(self.phase, (x.phase for x in others if x is not None))
        if shared != self.sharing_processes:
            self.sharing_processes = shared
            divide_traffic(router.controller, router.settings, shared)
            self.on_sharing_changed(shared)
            self.log.info(
                "{name}: {parts} in this router's place",
                name=self.name,
                parts="another process serves" if shared > 1 else "no other process serves",
            )

    def _poll_files(self) -> None:
        self._merge_file()
        if self.instance_files is not None:
            self._exchange_state(self.instance_files)
        self.deadlines.after(POLL_INTERVAL_MS, self._poll_files)
