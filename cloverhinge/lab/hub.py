"""A relay between real processes that applies faults to each direction of a pair separately.

Each router has a port at the hub, which it advertises as its own address.  The hub identifies a sender by its
loopback address and forwards from the sender's port at the hub, so both ends see addresses of the hub only.
The port of a process that has ended refuses connections, as the kernel would.
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

from cloverhinge.lab.harness import reserve_port
from cloverhinge.lab.record import Record

Address = tuple[str, int]
T = TypeVar("T")

MAX_HELD_DATAGRAMS = 10_000  # held in one direction, or captured; further ones held are lost
CAPTURE_REPORT_COUNT = 50  # captured datagrams after which the event `tapped` is recorded
CHUNK_BYTES = 65536
RETRANSMIT_MS = 200.0  # least delay that a lost segment causes on a connection (RFC 6298)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: closing sends a reset


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """The state of one direction of a pair.

    Shares are of datagrams; for a connection they are of its chunks, where a lost one only comes later.
    """

    cut: bool = False
    loss: float = 0.0  # share lost
    twice: float = 0.0  # share delivered twice
    late: float = 0.0  # share delayed by up to `late_ms` more, so that others overtake it
    late_ms: float = 300.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    rate_kb: float = 0.0  # kilobytes a second; 0: no limit
    held: bool = False  # queued until `let_go`


DEFAULT_CONDITIONS = LinkConditions()
MAX_PORT_ATTEMPTS = 20  # port numbers tried for one router


class RouterPort(asyncio.DatagramProtocol):
    """The port of one router at the hub, for datagrams and connections."""

    def __init__(self, hub: Hub, name: str, host: str) -> None:
        self.hub, self.name, self.host, self.port = hub, name, host, 0
        self.router_address: Address | None = None
        self.transport: asyncio.DatagramTransport
        self.server: asyncio.Server | None = None
        self.reserved: socket.socket | None = None  # bound but not listening, so it refuses connections

    def reserve(self) -> None:
        """Binds the port, so that no other process takes the number before `Hub.attach`."""
        self.reserved = reserve_port(self.host, self.port)

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport of the datagram endpoint."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forwards a datagram to the router; drops it where the sender is unknown."""
        sender = self.hub.by_host.get(addr[0])
        if sender is not None:
            self.hub.forward_datagram(sender, self, data)


class Hub:
    """The relay, on an event loop in a thread of its own; public methods may be called from any thread.

    `forward_datagram` and `conditions_between` are meant for the hub's own thread.
    """

    def __init__(self, record: Record, seed: int = 1) -> None:
        self.record, self.random = record, random.Random(seed)
        self.ports: dict[str, RouterPort] = {}
        self.by_host: dict[str, RouterPort] = {}  # by the router's own address, from which it sends
        self.conditions: dict[tuple[str, str], LinkConditions] = {}
        self.default_conditions = DEFAULT_CONDITIONS
        self.counts = {"passed": 0, "lost": 0, "bytes": 0}
        self.captured: dict[str, list[bytes]] = {}  # copies of datagrams, by receiver; tests add the keys
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
        future: Future[T] = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(10.0)

    def stop(self) -> None:
        """Closes all sockets and ends the thread."""

        async def closing() -> None:
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

        self._call(closing())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(10.0)
        self.loop.close()

    # Ports

    def add_router(self, name: str, host: str, router_host: str) -> Address:
        """Reserves a port at `host` for the router that will send from `router_host`; returns its address.

        It refuses connections until `attach`.  OSError where no port is free after `MAX_PORT_ATTEMPTS`.
        """

        async def create() -> Address:
            for _ in range(MAX_PORT_ATTEMPTS):  # a port free for UDP may be taken for TCP
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
            self.ports[name] = self.by_host[router_host] = port
            return host, port.port

        return self._call(create())

    def attach(self, name: str, address: Address) -> None:
        """Forwards to the router from now on, which listens at `address`."""

        async def attach_port() -> None:
            port = self.ports[name]
            port.router_address = address
            if port.server is None:
                port.server = await asyncio.start_server(
                    lambda r, w: self._connection_accepted(port, r, w), sock=port.reserved
                )

        self._call(attach_port())

    def detach(self, name: str) -> None:
        """Resets the connections of a router whose process has ended and refuses new ones."""

        async def detach_port() -> None:
            port = self.ports[name]
            port.router_address = None
            if port.server is not None:
                port.server.close()
                port.server = None
                port.reserve()
            for (one, other), writers in self._connections.items():
                if name in (one, other):
                    for writer in writers:
                        self._reset(writer)

        self._call(detach_port())

    def add_server_proxy(self, router: str, server_name: str, host: str, address: Address) -> Address:
        """Starts a listener that forwards to a media server for one router only; returns its address.

        Faults can so affect the connections of that router alone.
        """

        async def create() -> Address:
            async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await self._relay(router, server_name, reader, writer, address, None)

            server = await asyncio.start_server(lambda r, w: self._start_task(accepted(r, w)), host, 0)
            self._servers.append(server)
            listening: Address = server.sockets[0].getsockname()
            return listening

        return self._call(create())

    # Faults

    def conditions_between(self, sender: str, receiver: str) -> LinkConditions:
        """The present conditions of one direction."""
        return self.conditions.get((sender, receiver), self.default_conditions)

    def change(self, sender: str, receiver: str, **changed: Any) -> None:
        """Sets fields of the conditions of one direction and records it as a fault."""
        self.record.add("hub", "fault", sender=sender, to=receiver, **changed)
        self.loop.call_soon_threadsafe(self._change, sender, receiver, changed)

    def _change(self, sender: str, receiver: str, changed: dict[str, Any]) -> None:
        self.conditions[sender, receiver] = replace(self.conditions_between(sender, receiver), **changed)
        self._conditions_changed()

    def change_default(self, **changed: Any) -> None:
        """Sets fields of the conditions of all directions that have none of their own."""
        self.record.add("hub", "fault", sender="all", to="all", **changed)
        self.loop.call_soon_threadsafe(self._change_default, changed)

    def _change_default(self, changed: dict[str, Any]) -> None:
        self.default_conditions = replace(self.default_conditions, **changed)
        self._conditions_changed()

    def cut(self, senders: list[str], receivers: list[str], both: bool = True) -> None:
        """Cuts each of `senders` off from each of `receivers`, by default in both directions."""
        for sender in senders:
            for receiver in receivers:
                self.change(sender, receiver, cut=True)
                if both:
                    self.change(receiver, sender, cut=True)

    def heal(self) -> None:
        """Removes all faults."""
        self.record.add("hub", "healed")
        self.loop.call_soon_threadsafe(self._heal)

    def _heal(self) -> None:
        self.conditions.clear()
        self.default_conditions = DEFAULT_CONDITIONS
        self._conditions_changed()

    def reset(self, one: str, other: str) -> None:
        """Resets the open connections between two, in both directions."""
        self.record.add("hub", "fault", sender=one, to=other, reset=True)

        def reset_all() -> None:
            for pair in ((one, other), (other, one)):
                for writer in self._connections.get(pair, ()):
                    self._reset(writer)

        self.loop.call_soon_threadsafe(reset_all)

    def hold(self, sender: str, receiver: str) -> None:
        """Queues everything sent in one direction until `let_go`."""
        self.change(sender, receiver, held=True)

    def let_go(self, sender: str, receiver: str) -> None:
        """Delivers what `hold` queued and holds no more."""
        self.change(sender, receiver, held=False)

    def _conditions_changed(self) -> None:
        """Wakes connections that wait for an open direction and sends datagrams that are no longer held."""
        changed, self._change_event = self._change_event, asyncio.Event()
        changed.set()
        for pair in list(self._held):
            if not self.conditions_between(*pair).held:
                for send in self._held.pop(pair):
                    send()

    # Datagrams

    def forward_datagram(self, sender: RouterPort, receiver: RouterPort, data: bytes) -> None:
        """Forwards a datagram under the conditions of its direction."""
        conditions, pair = self.conditions_between(sender.name, receiver.name), (sender.name, receiver.name)
        captured = self.captured.get(receiver.name)
        if captured is not None and len(captured) < MAX_HELD_DATAGRAMS:
            captured.append(data)
            if len(captured) == CAPTURE_REPORT_COUNT:
                self.record.add("hub", "tapped", name=receiver.name)
        if conditions.cut or self.random.random() < conditions.loss:
            self.counts["lost"] += 1
            return

        def send() -> None:
            if receiver.router_address is not None and not sender.transport.is_closing():
                self.counts["passed"] += 1
                self.counts["bytes"] += len(data)
                sender.transport.sendto(data, receiver.router_address)

        if conditions.held:
            held = self._held.setdefault(pair, [])
            if len(held) < MAX_HELD_DATAGRAMS:
                held.append(send)
            return
        for _ in range(2 if self.random.random() < conditions.twice else 1):
            delay = self._delay(pair, conditions, len(data))
            if self.random.random() < conditions.late:
                delay += self.random.random() * conditions.late_ms
            if delay > 0.0:
                self.loop.call_later(delay / 1000.0, send)
            else:
                send()

    def _delay(self, pair: tuple[str, str], conditions: LinkConditions, size: int) -> float:
        delay = conditions.delay_ms + self.random.random() * conditions.jitter_ms
        if conditions.rate_kb > 0.0:
            now = self.loop.time() * 1000.0
            done_ms = max(now, self._busy_until.get(pair, 0.0)) + size / conditions.rate_kb
            self._busy_until[pair] = done_ms
            delay += done_ms - now
        return delay

    # Connections

    def _start_task(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _connection_accepted(
        self, receiver: RouterPort, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sender = self.by_host.get(writer.get_extra_info("peername")[0])
        if sender is None or receiver.router_address is None:
            self._reset(writer)
            return
        self._start_task(
            self._relay(sender.name, receiver.name, reader, writer, receiver.router_address, (sender.host, 0))
        )

    async def _relay(
        self,
        one: str,
        other: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        address: Address,
        source: Address | None,
    ) -> None:
        await self._until_open(one, other)
        try:
            server_reader, server_writer = await asyncio.open_connection(*address, local_addr=source)
        except OSError:
            self._reset(writer)
            return
        writers = self._connections.setdefault((one, other), set())
        writers |= {writer, server_writer}
        try:
            await asyncio.gather(
                self._forward(one, other, reader, server_writer),
                self._forward(other, one, server_reader, writer),
            )
        finally:
            writers -= {writer, server_writer}
            writer.close()
            server_writer.close()

    async def _forward(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                conditions = await self._until_open(sender, receiver)
                delay = self._delay((sender, receiver), conditions, len(data))
                while self.random.random() < conditions.loss and delay < 10_000.0:
                    delay += RETRANSMIT_MS
                if delay > 0.0:
                    await asyncio.sleep(delay / 1000.0)
                    await self._until_open(sender, receiver)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()

    async def _until_open(self, sender: str, receiver: str) -> LinkConditions:
        """Waits while the direction is cut or held; returns its conditions."""
        while (conditions := self.conditions_between(sender, receiver)).cut or conditions.held:
            await self._change_event.wait()
        return conditions

    @staticmethod
    def _reset(writer: asyncio.StreamWriter) -> None:
        sock: socket.socket | None = writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
