"""Clients of the routers: steady ones, impatient ones, crowds, and ones that send bad input."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cloverhinge.lab.harness import Message
from cloverhinge.lab.soak.deployment import Deployment
from cloverhinge.lab.soak.observations import Closer, ConnectionSeen, Observations, RequestSeen
from cloverhinge.lab.soak.wire import MessageProtocol, encode

PIECE_DELAYS_S = (0.001, 0.01, 0.1, 0.4)
RECONNECT_S = 0.02
OTHER_HOST = "127.0.0.2"  # of a client that never reads, as ends are told on any connection of the same host
ODD_FIGURE_SHARE = 0.1
ODD_LENGTHS = ("1e-200", "5e-324", "0", "9e14", "0.000001")
NO_ROUTER_S = 0.1  # until it is tried again whether a router can be reached
BAD_INPUTS = (
    b"garbage\r\n\r\n",
    b"SETUP rtsp://media/x RTSP/1.0\r\nCSeq: 1\r\n\r\n",
    b"SETUP rtsp://media/x RTSP/1.0\r\nContent-Length: 99999999\r\n\r\n",
    b"\x00" * 3000,
    b"DANCE rtsp://media/x RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n",
    b"SETUP rtsp://media/x",
)


@dataclass(frozen=True, slots=True)
class Manner:
    """How a client behaves; the last three are shares of its set-ups."""

    interval_ms: float  # mean time between its set-ups
    pieces: float = 0.2  # sent in pieces
    cancels: float = 0.0  # given up early, by a message
    abandons: float = 0.0  # given up early, by closing the connection
    bad: bool = False
    hurries: bool = False  # comes again at once after a refusal
    odd_figures: bool = False  # names lengths of its sessions that are out of range, in one of ten set-ups
    never_reads: bool = False

    @property
    def behaves(self) -> bool:
        """Whether answers are owed to it."""
        return not (self.bad or self.never_reads)


class ClientConnection(MessageProtocol):
    """A client's connection to a router."""

    def __init__(self, client: Client, seen: ConnectionSeen) -> None:
        super().__init__(client.seen)
        self.client, self.record = client, seen

    def connection_made(self, transport: Any) -> None:
        """The connection is open."""
        super().connection_made(transport)
        if self.client.manner.never_reads:
            transport.pause_reading()

    def received(self, message: Message, first_byte_ms: float, whole_ms: float) -> None:
        """Pass an answer or a release on."""
        self.client.received(self, message, whole_ms)

    def unreadable(self) -> None:
        """Note it for all open set-ups, as it may be the answer to any, and end the connection."""
        for request in self.record.requests:
            request.unreadable = request.unreadable or request.status == 0
        self.reset()

    def eof_received(self) -> bool:
        """The router has closed; everything that was sent before has been read by now."""
        self.ended(Closer.ROUTER)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended, by the router unless its client noted the end before."""
        super().connection_lost(exc)
        self.ended(Closer.ROUTER)

    def ended(self, closer: Closer) -> None:
        """Note the first end of the connection."""
        if self.record.closed_ms is None:
            self.record.closed_ms, self.record.closer = self.client.seen.now(), closer
            self.client.connection_ended(self)


class Client:
    """One client; it uses one connection at a time, and takes a router at random for each."""

    def __init__(
        self,
        number: int,
        manner: Manner,
        deployment: Deployment,
        seen: Observations,
        rng: random.Random,
        routers: Callable[[], list[tuple[str, int, tuple[str, int]]]],
    ) -> None:
        """`routers` returns name, run and address of those that can be connected to."""
        self.number, self.manner, self.deployment = number, manner, deployment
        self.seen, self.rng, self.routers = seen, rng, routers
        self._odd_rng = random.Random(f"odd figures {number}")
        self.connection: ClientConnection | None = None
        self.mid_message = False  # part of a set-up has been written
        self.stopped = False
        self.count = 0
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self) -> None:
        """Begin to connect and to send."""
        self._start_task()
        self._send_later()

    def stop(self) -> None:
        """Send nothing more; what is open is still awaited."""
        self.stopped = True

    # Connections

    def _start_task(self) -> None:
        task = self._loop.create_task(self._connect())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self) -> None:
        while not self.stopped:
            choices = self.routers()
            if choices:
                name, run, address = self.rng.choice(choices)
                record = ConnectionSeen(name, run, self.seen.now(), behaves=self.manner.behaves)
                try:
                    _, connection = await self._loop.create_connection(
                        lambda record=record: ClientConnection(self, record),
                        *address,
                        local_addr=(OTHER_HOST, 0) if self.manner.never_reads else None,
                    )
                except OSError:  # it has closed its listener meanwhile
                    await asyncio.sleep(RECONNECT_S)
                    continue
                record.opened_ms = self.seen.now()
                self.seen.connections.append(record)
                self.connection = connection
                return
            await asyncio.sleep(NO_ROUTER_S)

    def connection_ended(self, connection: ClientConnection) -> None:
        """Connect again at once."""
        if self.connection is connection:
            self.connection, self.mid_message = None, False
            if not self.stopped:
                self._start_task()

    # Set-ups

    def _send_later(self) -> None:
        delay_ms = self.manner.interval_ms * self.rng.uniform(0.5, 1.5)
        self._loop.call_later(delay_ms / 1000.0, self._send_regularly)

    def _send_regularly(self) -> None:
        if not self.stopped:
            self.send()
            self._send_later()

    def send(self) -> None:
        """Send a set-up on the connection, if there is one."""
        connection = self.connection
        if connection is None or not connection.open or self.mid_message:
            return
        if self.manner.bad and self.rng.random() < 0.3:
            connection.write(self.rng.choice(BAD_INPUTS))
            return
        self.count += 1
        session = f"{self.number:06x}{self.count:010x}"
        service_class = self.rng.choice(self.deployment.classes)
        wait_ms = service_class.deadline_ms
        request = RequestSeen(session, service_class.name, service_class.effect, wait_ms, connection.record)
        self.seen.requests[session] = request
        connection.record.requests.append(request)
        data = self._encode(session, service_class.name, wait_ms)
        if self.rng.random() < self.manner.pieces:
            self._send_in_pieces(connection, request, data)
        else:
            self._finish(connection, request, data)
        if self.rng.random() < self.manner.cancels:
            self._loop.call_later(self._early_s(wait_ms), lambda: self._cancel(connection, request))
        elif self.rng.random() < self.manner.abandons:
            self._loop.call_later(self._early_s(wait_ms), lambda: self._abandon(connection))

    def _early_s(self, wait_ms: float) -> float:
        return wait_ms * self.rng.uniform(0.0, 0.6) / 1000.0

    def _encode(self, session: str, class_name: str, wait_ms: float) -> bytes:
        home, copies = self.rng.randrange(self.deployment.cells), 3
        destination = f"home:{home};copies:{copies};top:9;viewer:{self.rng.getrandbits(64):016x}"
        return encode(
            f"SETUP rtsp://media/{self.rng.randrange(40):016x} RTSP/1.0",
            session,
            body=session.encode() + b"\r\n",
            X_Call_Class=class_name,
            X_Ring_Limit=str(round(wait_ms)),
            X_Guess=self._length_ms(),
            X_Dest=destination,
        )

    def _length_ms(self) -> str:
        if self.manner.odd_figures and self._odd_rng.random() < ODD_FIGURE_SHARE:
            return self._odd_rng.choice(ODD_LENGTHS)
        return "4000.0"

    def _send_in_pieces(self, connection: ClientConnection, request: RequestSeen, data: bytes) -> None:
        """Send in two pieces, with nothing between them."""
        middle = self.rng.randrange(1, len(data))
        connection.write(data[:middle])
        self.mid_message = True

        def finish() -> None:
            if self.connection is connection:
                self.mid_message = False
                self._finish(connection, request, data[middle:])

        self._loop.call_later(self.rng.choice(PIECE_DELAYS_S), finish)

    def _finish(self, connection: ClientConnection, request: RequestSeen, data: bytes) -> None:
        if connection.open and connection.record.closed_ms is None:
            connection.write(data)
            request.sent_ms = self.seen.now()

    def _cancel(self, connection: ClientConnection, request: RequestSeen) -> None:
        if self.connection is not connection or self.mid_message or request.status or request.sent_ms < 0.0:
            return
        request.left_ms = self.seen.now()
        connection.write(encode("TEARDOWN rtsp://media/x RTSP/1.0", request.session, 2))

    def _abandon(self, connection: ClientConnection) -> None:
        if connection.record.closed_ms is not None or not connection.open:
            return
        now = self.seen.now()
        for request in connection.record.requests:
            if request.status == 0 and request.left_ms is None:
                request.left_ms = now
        connection.ended(Closer.CLIENT)
        if self.rng.random() < 0.5:
            connection.reset()
        else:
            connection.transport.close()

    # Answers

    def received(self, connection: ClientConnection, message: Message, whole_ms: float) -> None:
        """Record an answer or a release; a refused client that hurries comes again."""
        request = self.seen.requests.get(message.session)
        if message.start.startswith(("TEARDOWN", "REDIRECT")):
            if request is not None and request.release_ms is None:
                request.release_ms = whole_ms
            return
        if request is None or message.headers.get("cseq") != "1" or message.status < 200:
            return
        if request.status:
            request.extra_answers += 1
            return
        request.status, request.answered_ms, request.body = message.status, whole_ms, message.body
        if message.status == 200 and self.rng.random() < 0.3:
            self._loop.call_later(self.rng.uniform(0.2, 2.0), lambda: self._end_session(connection, request))
        elif message.status != 200 and self.manner.hurries and not self.stopped:
            self._loop.call_soon(self.send)

    def _end_session(self, connection: ClientConnection, request: RequestSeen) -> None:
        idle = self.connection is connection and not self.mid_message
        if idle and connection.open and request.release_ms is None:
            request.ended_by_client_ms = self.seen.now()
            connection.write(
                encode("TEARDOWN rtsp://media/x RTSP/1.0", request.session, 2, Reason="cause=31")
            )
