"""Between real processes: passes datagrams and connections on, and treats each direction of a pair by itself.

Each router has a port of the hub's, which it tells the others as its own.  The hub knows a sender by its
loopback address and passes on from the sender's own port here, so both ends see the hub's addresses alone.
Where a process has ended its port refuses connections, as the kernel would.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import threading
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import Future
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from cloverhinge.lab.record import Record

Address = tuple[str, int]
T = TypeVar("T")

MAX_HELD_DATAGRAMS = 10_000  # datagrams of a direction that is held back; more are lost
CAPTURE_REPORT_COUNT = 50  # datagrams after which a tap is told of
CHUNK_BYTES = 65536
RETRANSMIT_MS = 200.0  # what a lost segment costs a connection at least (RFC 6298)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: closing sends a reset


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """One direction of a pair.  Shares are of datagrams (of a connection's chunks: sent again later)."""

    cut: bool = False
    loss: float = 0.0
    twice: float = 0.0
    late: float = 0.0  # share that comes up to `late_ms` later, so behind others
    late_ms: float = 300.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    rate_kb: float = 0.0  # a second; 0: as fast as it goes
    held: bool = False  # kept back until `let_go`


DEFAULT_CONDITIONS = LinkConditions()
MAX_PORT_ATTEMPTS = 20  # numbers for one router


class RouterPort(asyncio.DatagramProtocol):
    """One router's place at the hub."""

    def __init__(self, hub: Hub, name: str, host: str) -> None:
        self.hub, self.name, self.host, self.port = hub, name, host, 0
        self.router_address: Address | None = None
        self.transport: asyncio.DatagramTransport
        self.server: asyncio.Server | None = None
        self.reserved: socket.socket | None = None  # keeps the number for `server`, and refuses until then

    def reserve(self) -> None:
        """Guards against another socket of the machine taking the number before the router stands."""
        self.reserved = socket.socket()
        self.reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reserved.bind((self.host, self.port))

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        sender = self.hub.by_host.get(addr[0])
        if sender is not None:
            self.hub.forward_datagram(sender, self, data)


class Hub:
    """Runs in a thread of its own; the calls without an underscore may come from any thread."""

    def __init__(self, record: Record, seed: int = 1) -> None:
        self.record, self.random = record, random.Random(seed)
        self.ports: dict[str, RouterPort] = {}
        self.by_host: dict[str, RouterPort] = {}  # routers by the address that they really have
        self.conditions: dict[tuple[str, str], LinkConditions] = {}
        self.default_conditions = DEFAULT_CONDITIONS
        self.counts = {"passed": 0, "lost": 0, "bytes": 0}
        self.captured: dict[str, list[bytes]] = {}  # copies of what came for a router, where it is asked for
        self._busy_until: dict[tuple[str, str], float] = {}
        self._held: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self._connections: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._change_event = asyncio.Event()
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def _call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        waiting: Future[T] = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return waiting.result(10.0)

    def stop(self) -> None:
        async def ending() -> None:
            for port in self.ports.values():
                port.transport.close()
                if port.server is not None:
                    port.server.close()
            for server in self._servers:
                server.close()
            for port in self.ports.values():
                if port.reserved is not None:
                    port.reserved.close()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

        self._call(ending())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(10.0)
        self.loop.close()

    # Places

    def add_router(self, name: str, host: str, real_host: str) -> Address:
        """A port at `host` for the router that will be at `real_host`; it refuses until `attach`."""

        async def making() -> Address:
            for _ in range(MAX_PORT_ATTEMPTS):  # a number that is free for datagrams may be taken for streams
                _, port = await self.loop.create_datagram_endpoint(
                    lambda: RouterPort(self, name, host), local_addr=(host, 0)
                )
                port.port = port.transport.get_extra_info("sockname")[1]
                try:
                    port.reserve()
                    break
                except OSError:
                    port.transport.close()
            else:
                raise OSError(f"no port at {host} is free for datagrams and streams")
            self.ports[name] = self.by_host[real_host] = port
            return host, port.port

        return self._call(making())

    def attach(self, name: str, real: Address) -> None:
        async def attaching() -> None:
            port = self.ports[name]
            port.router_address = real
            if port.server is None:
                port.server = await asyncio.start_server(
                    lambda r, w: self._connection_accepted(port, r, w), sock=port.reserved
                )

        self._call(attaching())

    def detach(self, name: str) -> None:
        """Its process has ended: connections to it are refused from now on."""

        async def detaching() -> None:
            port = self.ports[name]
            port.router_address = None
            if port.server is not None:
                port.server.close()
                port.server = None
                port.reserve()
            for (one, other), links in self._connections.items():
                if name in (one, other):
                    for link in links:
                        self._reset(link)

        self._call(detaching())

    def add_server_proxy(self, router: str, box: str, host: str, real: Address) -> Address:
        """A listener that `router` alone is told for `box`, so that its ways there are its own."""

        async def making() -> Address:
            async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await self._relay(router, box, reader, writer, real, None)

            server = await asyncio.start_server(lambda r, w: self._start_task(taken(r, w)), host, 0)
            self._servers.append(server)
            found: Address = server.sockets[0].getsockname()
            return found

        return self._call(making())

    # Faults

    def conditions_between(self, sender: str, to: str) -> LinkConditions:
        return self.conditions.get((sender, to), self.default_conditions)

    def change(self, sender: str, to: str, **changed: Any) -> None:
        self.record.add("hub", "fault", sender=sender, to=to, **changed)
        self.loop.call_soon_threadsafe(self._change, sender, to, changed)

    def _change(self, sender: str, to: str, changed: dict[str, Any]) -> None:
        self.conditions[sender, to] = replace(self.conditions_between(sender, to), **changed)
        self._conditions_changed()

    def change_default(self, **changed: Any) -> None:
        """For all ways that have no setting of their own."""
        self.record.add("hub", "fault", sender="all", to="all", **changed)
        self.loop.call_soon_threadsafe(self._change_default, changed)

    def _change_default(self, changed: dict[str, Any]) -> None:
        self.default_conditions = replace(self.default_conditions, **changed)
        self._conditions_changed()

    def cut(self, some: list[str], others: list[str], both: bool = True) -> None:
        for one in some:
            for other in others:
                self.change(one, other, cut=True)
                if both:
                    self.change(other, one, cut=True)

    def heal(self) -> None:
        self.record.add("hub", "healed")
        self.loop.call_soon_threadsafe(self._heal)

    def _heal(self) -> None:
        self.conditions.clear()
        self.default_conditions = DEFAULT_CONDITIONS
        self._conditions_changed()

    def reset(self, one: str, other: str) -> None:
        """Resets the connections that stand between two."""
        self.record.add("hub", "fault", sender=one, to=other, reset=True)

        def resetting() -> None:
            for pair in ((one, other), (other, one)):
                for link in self._connections.get(pair, ()):
                    self._reset(link)

        self.loop.call_soon_threadsafe(resetting)

    def hold(self, sender: str, to: str) -> None:
        self.change(sender, to, held=True)

    def let_go(self, sender: str, to: str) -> None:
        self.change(sender, to, held=False)

    def _conditions_changed(self) -> None:
        """Wakes whoever waits for a way to open, and sends on what was held and is no more."""
        changed, self._change_event = self._change_event, asyncio.Event()
        changed.set()
        for pair in list(self._held):
            if not self.conditions_between(*pair).held:
                for send in self._held.pop(pair):
                    send()

    # Datagrams

    def forward_datagram(self, sender: RouterPort, to: RouterPort, data: bytes) -> None:
        way, pair = self.conditions_between(sender.name, to.name), (sender.name, to.name)
        tap = self.captured.get(to.name)
        if tap is not None and len(tap) < MAX_HELD_DATAGRAMS:
            tap.append(data)
            if len(tap) == CAPTURE_REPORT_COUNT:
                self.record.add("hub", "tapped", name=to.name)
        if way.cut or self.random.random() < way.loss:
            self.counts["lost"] += 1
            return

        def send() -> None:
            if to.router_address is not None and not sender.transport.is_closing():
                self.counts["passed"] += 1
                self.counts["bytes"] += len(data)
                sender.transport.sendto(data, to.router_address)

        if way.held:
            held = self._held.setdefault(pair, [])
            if len(held) < MAX_HELD_DATAGRAMS:
                held.append(send)
            return
        for _ in range(2 if self.random.random() < way.twice else 1):
            delay = self._delay(pair, way, len(data))
            if self.random.random() < way.late:
                delay += self.random.random() * way.late_ms
            if delay > 0.0:
                self.loop.call_later(delay / 1000.0, send)
            else:
                send()

    def _delay(self, pair: tuple[str, str], way: LinkConditions, size: int) -> float:
        delay = way.delay_ms + self.random.random() * way.jitter_ms
        if way.rate_kb > 0.0:
            now = self.loop.time() * 1000.0
            free = max(now, self._busy_until.get(pair, 0.0)) + size / way.rate_kb
            self._busy_until[pair] = free
            delay += free - now
        return delay

    # Connections

    def _start_task(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _connection_accepted(
        self, to: RouterPort, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sender = self.by_host.get(writer.get_extra_info("peername")[0])
        if sender is None or to.router_address is None:
            self._reset(writer)
            return
        self._start_task(
            self._relay(sender.name, to.name, reader, writer, to.router_address, (sender.host, 0))
        )

    async def _relay(
        self,
        one: str,
        other: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        real: Address,
        bound: Address | None,
    ) -> None:
        await self._until_open(one, other)
        try:
            there, back = await asyncio.open_connection(*real, local_addr=bound)
        except OSError:
            self._reset(writer)
            return
        links = self._connections.setdefault((one, other), set())
        links |= {writer, back}
        try:
            await asyncio.gather(
                self._forward(one, other, reader, back), self._forward(other, one, there, writer)
            )
        finally:
            links -= {writer, back}
            writer.close()
            back.close()

    async def _forward(
        self, sender: str, to: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                way = await self._until_open(sender, to)
                delay = self._delay((sender, to), way, len(data))
                while self.random.random() < way.loss and delay < 10_000.0:
                    delay += RETRANSMIT_MS
                if delay > 0.0:
                    await asyncio.sleep(delay / 1000.0)
                    await self._until_open(sender, to)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()

    async def _until_open(self, sender: str, to: str) -> LinkConditions:
        """Waits while nothing passes there."""
        while (way := self.conditions_between(sender, to)).cut or way.held:
            await self._change_event.wait()
        return way

    @staticmethod
    def _reset(writer: asyncio.StreamWriter) -> None:
        sock: socket.socket | None = writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
