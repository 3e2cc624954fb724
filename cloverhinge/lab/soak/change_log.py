"""The change log as one router sees it, with faults: refused, silent, stalled in the middle of a line."""

from __future__ import annotations

import asyncio
import json
import socket
from enum import Enum
from typing import Any

from cloverhinge.lab.soak.observations import ListChange, Observations

HEARTBEAT_S = 1.0
SILENCE_TOLD_MS = 4000.0  # what a watch that fell silent would have told counts as told so long after that
FAILED_CALL_TOLD_MS = 6000.0  # after a failed call, a change counts as told so long after it could be reached


class LogFault(Enum):
    """A fault of a router's change log."""

    REFUSED = "refused"  # connections are reset and refused
    SILENT = "silent"  # connections come up and bring nothing
    STALLED = "stalled"  # the open watch stops in the middle of a line
    WATCH_SILENT = "watch silent"  # the open watch is silent, new ones are not


UNREACHABLE = {LogFault.REFUSED, LogFault.SILENT}


class _Watch(asyncio.Protocol):
    def __init__(self, log: ChangeLog) -> None:
        self.log, self.buffer, self.live, self.subscribed = log, b"", False, False
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.log.watches.add(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        line, newline, _ = self.buffer.partition(b"\n")
        if newline and not self.subscribed and self.log.fault not in UNREACHABLE:
            self.subscribed = self.live = True
            self.send_events(int(line.split()[1]))

    def send_events(self, since: int) -> None:
        lines = [json.dumps(x).encode() + b"\n" for x in self.log.events if x["seq"] > since]
        self.transport.write(b"".join(lines) + b"%d\n" % len(self.log.events))

    def connection_lost(self, exc: Exception | None) -> None:
        self.live = False
        self.log.watches.discard(self)


class ChangeLog:
    """The log of one router; a new configuration moves it to another address."""

    def __init__(self, router: str, seen: Observations) -> None:
        self.router, self.seen = router, seen
        self.events: list[dict[str, Any]] = []
        self.watches: set[_Watch] = set()
        self.fault: LogFault | None = None
        self.faults: list[tuple[LogFault, float, float]] = []  # with their times, the present one at the end
        self.planned_end_ms = 0.0  # of the present fault
        self.server: asyncio.Server | None = None
        self.address = ""
        self._port = 0
        self._heartbeat: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        await self._listen()
        self._beat()

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: _Watch(self), "127.0.0.1", self._port)
        host, self._port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{self._port}"

    def _beat(self) -> None:
        for watch in self.watches:
            if watch.live:
                watch.transport.write(b"%d\n" % len(self.events))
        self._heartbeat = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._beat)

    async def move(self) -> None:
        """Listen at a new address; the watches at the old one stay open and bring nothing more."""
        for watch in self.watches:
            watch.live = False
        if self.server is not None:
            self.server.close()
        self._port = 0
        await self._listen()

    async def begin_fault(self, fault: LogFault, length_ms: float) -> None:
        """Begin a fault, which `end_fault` ends after `length_ms`."""
        self.fault, self.planned_end_ms = fault, self.seen.now() + length_ms
        self.faults.append((fault, self.seen.now(), float("inf")))
        for watch in list(self.watches):
            if fault is LogFault.STALLED and watch.live:
                watch.transport.write(b'{"seq":')
            watch.live = False
            if fault is LogFault.REFUSED:
                watch.transport.abort()
        if fault is LogFault.REFUSED and self.server is not None:
            self.server.close()
            self.server = None
            self._reserved = socket.socket()
            self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._reserved.bind(("127.0.0.1", self._port))

    async def end_fault(self) -> None:
        """End the present fault; connections that were silent stay silent."""
        fault, since_ms, _ = self.faults.pop()
        self.faults.append((fault, since_ms, self.seen.now()))
        self.fault = None
        if self.server is None:
            await self._listen()
            self._reserved.close()

    def publish(self, entries: list[dict[str, Any]], full: bool = False) -> None:
        """Enter a change, and send it on the live watches."""
        event = {
            "seq": len(self.events) + 1,
            "fleet": {"generation": 1, "reset": full, "instances": entries},
        }
        self.events.append(event)
        now = self.seen.now()
        live = [x for x in self.watches if x.live]
        for watch in live:
            watch.transport.write(json.dumps(event).encode() + b"\n")
        for entry in entries:
            told_ms = now if live else self._told_at_latest(now)
            change = ListChange(self.router, entry["instanceId"], entry["lifecycle"], now, told_ms)
            self.seen.changes.append(change)

    def _told_at_latest(self, now: float) -> float:
        """When a change of this moment counts as told though no live watch brought it."""
        if not self.faults:
            return now
        fault, since_ms, until_ms = self.faults[-1]
        if fault not in UNREACHABLE:
            return max(now, since_ms + SILENCE_TOLD_MS)
        if self.fault is not None:
            return max(now, self.planned_end_ms) + FAILED_CALL_TOLD_MS
        return now + FAILED_CALL_TOLD_MS if now - until_ms < FAILED_CALL_TOLD_MS else now

    def stop(self) -> None:
        """Close everything."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self.server is not None:
            self.server.close()
        for watch in list(self.watches):
            watch.transport.abort()
