"""Connects operator commands to the router: listener, maintenance file, metrics, processes in an upgrade."""

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
from cloverhinge.operations.session_log import SessionLog
from cloverhinge.operations.shared_sessions import SharedSessions
from cloverhinge.rtsp.front import RtspFrontend
from cloverhinge.rtsp.media_servers import MediaServers

# Bounds how late a maintenance command given to the other process takes effect in this one; must be less than
# half of the shortest grace period.
POLL_INTERVAL_MS = 100.0
MAX_DESCRIPTOR_SHARE = 1 / 16  # of the process's file descriptors, for pending command connections


class OperationsComponent:
    """Executes operator commands and coordinates with other processes that run under the same router name.

    Files in `folder` carry the maintenance records and what each process has learned, so that an old and a
    new process agree while both run.  Without a folder the process acts as if it were the only one.
    """

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
        """`command_address` is the host and port of the command listener, none if there is no such listener.

        `sockets` is the number of file descriptors that the process may open.  The maintenance file is read
        here, so that its entries apply before the router sends anything.
        """
        self.reactor, self.name, self.command_address = reactor, name, command_address
        self.router, self.deadlines = router, deadlines
        self.maintenance = MaintenanceRegister()
        self.phase, self.sharing_processes = Phase.STARTING, 1
        # Called with the number of processes that share the router's new sessions.
        self.on_sharing_changed: Callable[[int], None] = lambda processes: None
        self.maintenance_file: MaintenanceFile | None = None
        self.instance_files: InstanceFiles | None = None
        self.shared_sessions: SharedSessions | None = None
        if folder is not None:
            file_prefix = f"cloverhinge-{re.sub(r'[^A-Za-z0-9_-]', '_', name)}"
            self.maintenance_file, self.instance_files = (
                MaintenanceFile(folder / f"{file_prefix}-bans.json"),
                InstanceFiles(folder, file_prefix),
            )
            self._merge_file()  # before anything is sent
        self.published = False  # whether this process has published its state
        self.command_server = CommandServer(
            lambda line: command_lines.execute(line, self),
            deadlines,
            max(1, min(MAX_PENDING_CONNECTIONS, int(sockets * MAX_DESCRIPTOR_SHARE))),
        )

    def share_sessions(self, front: RtspFrontend, servers: MediaServers) -> None:
        """Exchange events of sessions with processes that share the listener; needs a folder."""
        if self.instance_files is not None:
            files = self.instance_files
            log = SessionLog(files.folder / f"{files.file_prefix}-sessions.log")
            self.shared_sessions = SharedSessions(log, self.router, front, servers, self.router.clock)

    def start(self) -> None:
        """Open the command listener and begin to poll the files."""
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
            if self.shared_sessions is not None:
                self.shared_sessions.start()
            self.deadlines.repeat(POLL_INTERVAL_MS, self._poll_files)

    def begin_serving(self) -> None:
        """The router is ready: `status` answers ACK, and this process takes its share of new sessions."""
        self._set_phase(Phase.SERVING)

    def begin_shutdown(self) -> None:
        """SIGTERM has been received: `status` answers NAK, and the other process takes over new sessions."""
        self._set_phase(Phase.ENDING)
        if self.shared_sessions is not None:
            self.shared_sessions.begin_shutdown()

    def stop(self) -> None:
        """Remove this process's files; nothing is published afterwards."""
        if self.shared_sessions is not None:
            self.shared_sessions.stop()
        instance_files, self.instance_files = self.instance_files, None
        if instance_files is not None:
            instance_files.remove_own()

    def _set_phase(self, phase: Phase) -> None:
        self.phase = phase
        if self.instance_files is not None:
            self._exchange_state(self.instance_files)

    @property
    def not_ready_reason(self) -> str:
        """Why `status` is answered with NAK; empty while the router serves."""
        return {Phase.STARTING: "starting", Phase.SERVING: "", Phase.ENDING: "told to end"}[self.phase]

    def add_known_ids(self, names: Iterable[str]) -> None:
        """Accept commands about these media servers from now on."""
        self.maintenance.add_known_ids(names)

    def status(self) -> dict[str, Any]:
        """The component's part of the admin status, as JSON values."""
        return {
            "left_out": sorted(self.maintenance.active),
            "waits_for": self.not_ready_reason,
            "processes": self.sharing_processes,
        }

    def commands(self) -> dict[str, Callable[[str], dict[str, Any]]]:
        """The maintenance commands for the admin socket, by name; each takes a media server's ID."""

        def command(word: str) -> Callable[[str], dict[str, Any]]:
            return lambda argument: {
                "answer": command_lines.execute(f"{word} {argument}".encode(), self).strip()
            }

        return {word: command(word) for word in ("maint-on", "maint-off")}

    # Interface for operator commands (`commands.CommandTarget`)

    def metrics(self) -> MetricsSnapshot:
        """The router's counters and gauges at this moment."""
        router = self.router
        servers, now_us = router.controller.fleet.servers, to_us(router.clock.now())
        ejected = sum(
            1
            for number in router.listings
            if number in router.maintenance
            or (number in servers and servers[number].suspect_until_us > now_us)
        )
        return MetricsSnapshot(router.counters.tallies, len(router.requests), len(router.listings), ejected)

    def is_known(self, name: str) -> bool:
        """Whether any list has named this media server, or it is in maintenance mode."""
        return self.maintenance.is_known(name)

    def set_maintenance(self, name: str, active: bool) -> bool:
        """Start or end a media server's maintenance mode, and write that to the file.

        False if too many media servers are in maintenance mode already; nothing has changed then.
        """
        self._merge_file()
        now_ms, before = self.router.clock.now(), name in self.maintenance.active
        if not self.maintenance.set_maintenance(name, active, now_ms):
            return False
        if before != active:
            self._apply_changes({name: active})
        if self.maintenance_file is not None:
            self.maintenance_file.write(self.maintenance.encode())
        return True

    # Files shared with the other process

    def _apply_changes(self, changed: dict[str, bool]) -> None:
        for name, active in changed.items():
            if active:
                self.router.start_maintenance(server_number(name), self.maintenance.records[name].changed_ms)
            else:
                self.router.end_maintenance(server_number(name))
            self.log.info(
                "media server {server} {change}",
                server=name,
                change="is in maintenance mode" if active else "has left maintenance mode",
            )

    def _merge_file(self) -> None:
        records = None if self.maintenance_file is None else self.maintenance_file.read()
        if records is None or self.maintenance_file is None:
            return
        self._apply_changes(self.maintenance.merge(records, self.router.clock.now()))
        if self.maintenance.has_changes_for(records):
            self.maintenance_file.write(self.maintenance.encode())

    def _exchange_state(self, instance_files: InstanceFiles) -> None:
        """Publish this process's state, take over what others have learned, and adjust to their number."""
        others, router = instance_files.read_others(), self.router
        if others or not self.published:
            self.published = True
            instance_files.publish(encode(self.phase, export_learned(router.controller)))
        for other in others:
            if other is not None and other.known.servers:
                import_learned(router.controller, to_us(router.clock.now()), other.known)
        import_seats(router.controller, (x.known for x in others if x is not None))
        sharing = count_sharing_processes(self.phase, (x.phase for x in others if x is not None))
        if sharing != self.sharing_processes:
            self.sharing_processes = sharing
            divide_traffic(router.controller, router.settings, sharing)
            self.on_sharing_changed(sharing)
            self.log.info(
                "{name}: {processes} under this router's name",
                name=self.name,
                processes="another process is serving" if sharing > 1 else "no other process is serving",
            )

    def _poll_files(self) -> None:
        self._merge_file()
        if self.instance_files is not None:
            self._exchange_state(self.instance_files)
            if self.shared_sessions is not None:
                self.shared_sessions.poll(self.instance_files.running_pids)
