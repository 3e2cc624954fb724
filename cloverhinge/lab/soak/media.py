"""A media server that answers, hangs, refuses, vanishes or answers badly, and records what reaches it."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable, Sequence
from contextlib import suppress
from enum import Enum
from typing import Any

from cloverhinge.lab.harness import Message, reserve_port
from cloverhinge.lab.soak.observations import AttemptEnd, AttemptSeen, Observations
from cloverhinge.lab.soak.wire import MessageProtocol, encode

BACKLOG = 64
FULL_BACKLOG = 0  # of a vanished server: the kernel completes one more connection, further ones never come up
FILLERS = 2  # connections of the server's own that fill the backlog of a vanished one
QUICK_MS = (0.0, 20.0)
SLOW_MS = (100.0, 700.0)
LOST_WITH_CONNECTION_MS = 100.0
SESSION_LIFE_MS = (500.0, 6000.0)


class Mode(Enum):
    """How a media server treats set-ups."""

    QUICK = "quick"
    SLOW = "slow"
    HANG = "hang"
    FULL = "full"
    ERROR = "error"
    MOOT = "moot"
    BROKEN = "broken"
    SPOILT = "spoilt"


REFUSALS = {Mode.FULL: 453, Mode.ERROR: 500, Mode.MOOT: 454, Mode.BROKEN: 504}
NEVER_RAN = {453, 454}


class Spoiling(Enum):
    """How an answer is spoilt."""

    HALF = "breaks off"
    DOUBLED = "comes twice"
    DOUBLED_LATE = "comes again some milliseconds later"
    GARBLED = "is garbled"
    OTHER_SESSION = "names another session"
    SHORT_LENGTH = "says a length that is too small"
    AFTER_PROGRESS = "follows two provisional answers"
    RELEASED = "is a release before the answer"
    RESET = "is a reset of the connection"
    PIECES = "comes in pieces"


class ServerAddress:
    """The address of a media server for one router, as each router has addresses of its own."""

    def __init__(self, server: MediaServer, router: str) -> None:
        self.server, self.router = server, router
        self.host, self.port = "127.0.0.1", 0
        self.listener: socket.socket | None = None
        self.reserved: socket.socket | None = None  # keeps the port while nothing listens
        self.fillers: list[socket.socket] = []
        self.filler_ports: set[int] = set()
        self.tasks: set[asyncio.Task[Any]] = set()

    def listen(self) -> None:
        """Open the listener, on the port of the last one."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.host, self.port))
        self.port = self.listener.getsockname()[1]
        self.listener.setblocking(False)
        self._accept_from_now()
        self._free_port()

    def _free_port(self) -> None:
        if self.reserved is not None:
            self.reserved.close()
            self.reserved = None

    def _accept_from_now(self) -> None:
        assert self.listener is not None
        self.listener.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        with suppress(BlockingIOError):
            while self.listener is not None:
                sock, address = self.listener.accept()
                sock.setblocking(False)
                if address[1] in self.filler_ports:
                    self.filler_ports.discard(address[1])
                    sock.close()
                    continue
                connected = loop.connect_accepted_socket(
                    lambda: MediaConnection(self.server, self.router), sock
                )
                task = loop.create_task(connected)
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        """Close the listener, so that connections are refused; the open ones stay."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None
            self.reserved = reserve_port(self.host, self.port)
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def stop(self) -> None:
        """Close the listener for good."""
        self.close()
        self._free_port()

    def block(self) -> None:
        """Let no new connection come up, until `open`."""
        if self.listener is None:
            return
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.listen(FULL_BACKLOG)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect((self.host, self.port))
            self.fillers.append(filler)
            self.filler_ports.add(filler.getsockname()[1])

    def open(self) -> None:
        """Accept connections again."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        if self.listener is None:
            self.listen()
        else:
            self._accept_from_now()


class MediaConnection(MessageProtocol):
    """A connection from a router."""

    def __init__(self, server: MediaServer, router: str) -> None:
        super().__init__(server.seen)
        self.server, self.router = server, router
        self.attempts: dict[str, AttemptSeen] = {}
        self.is_stale = False  # its machine has restarted since, and resets it when something comes on it
        self.received_while_away = False
        self.releases: list[AttemptSeen] = []  # sent on this connection

    def connection_made(self, transport: Any) -> None:
        """The connection is open."""
        super().connection_made(transport)
        self.server.connection_opened(self)

    @property
    def is_alive(self) -> bool:
        """Whether its server's process has it open."""
        return self.open and not self.is_stale

    def data_received(self, data: bytes) -> None:
        """Parse what is complete, unless the machine has restarted since the connection came up."""
        self.received_while_away = self.received_while_away or self.server.held is not None
        if self.is_stale:
            self.reset()
        else:
            super().data_received(data)

    def write(self, data: bytes) -> None:
        """Write, unless the connection or its process has ended."""
        if not self.is_stale:
            super().write(data)

    def received(self, message: Message, first_byte_ms: float, whole_ms: float) -> None:
        """Pass a message of the router on."""
        self.server.received(self, message, first_byte_ms, whole_ms)

    def eof_received(self) -> bool:
        """The router sends nothing more; what is under way on the connection goes on to it."""
        self.server.half_closed(self)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended, with what is under way on it."""
        super().connection_lost(exc)
        self.server.connection_lost(self)


class MediaServer:
    """One media server; over replacements it keeps its name, not its sessions."""

    def __init__(
        self, name: str, cell: int, routers: Sequence[str], seen: Observations, rng: random.Random
    ) -> None:
        self.name, self.cell, self.seen, self.rng = name, cell, seen, rng
        self.mode = Mode.QUICK
        self.hung_answers_tests = rng.random() < 0.5
        self.started_at_unix_ms = 0
        self.lifecycle = "active"
        self.connections: list[MediaConnection] = []
        self.sessions: dict[str, AttemptSeen] = {}
        self.unsent_releases: list[tuple[str, str]] = []  # router and session
        self.held: list[Callable[[], None]] | None = None  # actions of a server that is cut off
        self.description_bytes = 0  # of an answer, at least
        self.odd_load: str | None = None  # reported in place of its load
        self.session_connections: dict[str, MediaConnection] = {}
        self.addresses = {router: ServerAddress(self, router) for router in routers}
        for address in self.addresses.values():
            address.listen()

    # Listening

    def refuse(self) -> None:
        """Refuse new connections; the open ones stay."""
        for address in self.addresses.values():
            address.close()

    def vanish(self) -> None:
        """Answer nothing and let no new connection come up, until `come_back`."""
        if self.held is None:
            self.held = []
        for address in self.addresses.values():
            address.block()

    def hold(self) -> None:
        """Do nothing that is to be done, until `let_go`; connections come up meanwhile."""
        if self.held is None:
            self.held = []

    def let_go(self) -> None:
        """Do what was held back, all at once."""
        held, self.held = self.held or [], None
        for action in held:
            action()

    def come_back(self) -> None:
        """Do what was held back, and accept connections again."""
        for address in self.addresses.values():
            address.open()
        self.let_go()

    def return_anew(self, unix_ms: int, resets: bool) -> None:
        """The machine that vanished is back with a new process, which knows nothing.

        Old connections are reset when something comes on them, or with `resets` at once.
        """
        self.held = None
        self.started_at_unix_ms, self.mode = unix_ms, Mode.QUICK
        self._cut_sessions()
        old, self.connections = self.connections, []
        for connection in old:
            connection.is_stale = True
            if resets or connection.received_while_away:
                connection.reset()
        for address in self.addresses.values():
            address.open()

    def _cut_sessions(self) -> None:
        now = self.seen.now()
        for attempt in self.sessions.values():
            attempt.over_ms = attempt.cut_ms = now
        self.sessions.clear()
        self.unsent_releases.clear()

    def die(self) -> None:
        """The process ends: connections are reset, sessions are cut, new connections are refused."""
        self.refuse()
        self.held = None
        self._cut_sessions()
        self.reset_connections()

    def start_again(self, unix_ms: int) -> None:
        """A new process starts at the same address."""
        self.started_at_unix_ms, self.lifecycle, self.mode = unix_ms, "active", Mode.QUICK
        for address in self.addresses.values():
            address.listen()

    def reset_connections(self) -> None:
        """Reset all connections, under whatever is under way on them."""
        for connection in list(self.connections):
            connection.reset()

    def list_entry(self, router: str) -> dict[str, Any]:
        """Its entry in a router's list of media servers."""
        address = self.addresses[router]
        return {
            "instanceId": self.name,
            "hostPort": f"{address.host}:{address.port}",
            "zone": "z",
            "machineType": "box",
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 4,
            "startedAtMs": self.started_at_unix_ms,
        }

    # Connections

    def connection_opened(self, connection: MediaConnection) -> None:
        """Send the releases that no connection from its router was open for."""
        self.connections.append(connection)
        waiting = [x for x in self.unsent_releases if x[0] == connection.router]
        for release in waiting:
            self.unsent_releases.remove(release)
            self._send_release(connection, release[1])

    def half_closed(self, connection: MediaConnection) -> None:
        """Use a connection for no release that its router has closed for its part."""
        if connection in self.connections:
            self.connections.remove(connection)

    def connection_lost(self, connection: MediaConnection) -> None:
        """The set-ups that are open on a connection end with it."""
        self.half_closed(connection)
        for attempt in connection.attempts.values():
            self._end(attempt, AttemptEnd.CONNECTION)
        connection.attempts.clear()
        now = self.seen.now()
        for attempt in connection.releases:  # a release may be lost with its connection
            if attempt.released_ms is not None and now - attempt.released_ms < LOST_WITH_CONNECTION_MS:
                attempt.released_ms = None

    def _end(self, attempt: AttemptSeen, end: AttemptEnd) -> None:
        if attempt.end is None:
            attempt.end, attempt.ended_ms = end, self.seen.now()

    def _do(self, action: Callable[[], None], delay_ms: float = 0.0) -> None:
        """Act after a delay, or once the server is back."""

        def act() -> None:
            if self.held is not None:
                self.held.append(action)
            else:
                action()

        if delay_ms > 0.0:
            asyncio.get_running_loop().call_later(delay_ms / 1000.0, act)
        else:
            act()

    def received(
        self, connection: MediaConnection, message: Message, first_byte_ms: float, whole_ms: float
    ) -> None:
        """Note at once what a message means for an attempt, and act on it unless cut off."""
        method = message.start.partition(" ")[0]
        session = message.session
        if method == "SETUP":
            attempt = AttemptSeen(self.name, session, first_byte_ms, whole_ms)
            self.seen.attempts.setdefault(session, []).append(attempt)
            connection.attempts[session] = attempt
            self._do(lambda: self._set_up(connection, attempt))
        elif method == "TEARDOWN":
            given_up = connection.attempts.pop(session, None)
            if given_up is not None:
                self._end(given_up, AttemptEnd.GIVEN_UP)
            self._do(lambda: self._tear_down(connection, message))
        elif method == "OPTIONS":
            load = f"x0:{len(self.sessions) / 1000:.2f};x1:0.1"
            if self.odd_load is not None:
                load = f"x0:{self.odd_load};x1:0.1"
            answer = encode("RTSP/1.0 200 OK", session, 3, X_Circuits=load)
            if self.mode is not Mode.HANG or self.hung_answers_tests:
                self._do(lambda: connection.write(answer))

    def send_note(self, session: str, why: str, reading: str) -> None:
        """Send a note on a session that stands, on the connection of its set-up."""
        note = encode("ANNOUNCE rtsp://media/session RTSP/1.0", session, 4, X_Why=why, X_Reading=reading)
        self._do(lambda: self.session_connections[session].write(note))

    def _tear_down(self, connection: MediaConnection, message: Message) -> None:
        attempt = self.sessions.pop(message.session, None)
        if attempt is not None:
            attempt.over_ms = self.seen.now()
        connection.write(encode("RTSP/1.0 200 OK", message.session, 2))

    # Set-ups

    def _set_up(self, connection: MediaConnection, attempt: AttemptSeen) -> None:
        if (status := REFUSALS.get(self.mode)) is not None:
            attempt.may_have_run = status not in NEVER_RAN
            self._do(lambda: self._refuse(connection, attempt, status), self.rng.uniform(*QUICK_MS))
        elif self.mode is Mode.SPOILT:
            kind = self.rng.choice(list(Spoiling))
            self._do(lambda: self._spoil(connection, attempt, kind), self.rng.uniform(*QUICK_MS))
        elif self.mode is not Mode.HANG:
            delay_ms = self.rng.uniform(*(SLOW_MS if self.mode is Mode.SLOW else QUICK_MS))
            self._do(lambda: self._serve(connection, attempt), delay_ms)

    def _refuse(self, connection: MediaConnection, attempt: AttemptSeen, status: int) -> None:
        if connection.attempts.pop(attempt.session, None) is attempt and connection.is_alive:
            self._end(attempt, AttemptEnd.ANSWERED)
            connection.write(encode(f"RTSP/1.0 {status} No", attempt.session))

    def _answer(self, attempt: AttemptSeen) -> bytes:
        """A complete answer; what it holds counts as made by this server."""
        body = f"v=0\r\no={self.name} {attempt.session} {self.rng.getrandbits(32):08x}\r\n".encode()
        body += b"a" * (self.description_bytes - len(body))
        attempt.bodies.append(body)
        return encode("RTSP/1.0 200 OK", attempt.session, body=body)

    def _serve(self, connection: MediaConnection, attempt: AttemptSeen) -> None:
        """Establish the session, also where the router has given up meanwhile, as some servers do."""
        given_up = connection.attempts.pop(attempt.session, None) is None
        if not connection.is_alive or (given_up and self.rng.random() < 0.5):
            return
        self._end(attempt, AttemptEnd.ANSWERED)
        connection.write(self._answer(attempt))
        if not given_up:
            self._establish(connection, attempt)

    def _establish(self, connection: MediaConnection, attempt: AttemptSeen) -> None:
        self.sessions[attempt.session] = attempt
        self.session_connections[attempt.session] = connection
        self._do(lambda: self._release(connection, attempt), self.rng.uniform(*SESSION_LIFE_MS))

    def _release(self, connection: MediaConnection, attempt: AttemptSeen) -> None:
        if self.sessions.pop(attempt.session, None) is None:
            return
        attempt.over_ms = self.seen.now()
        others = [x for x in self.connections if x.router == connection.router]
        if connection in self.connections or others:
            used = connection if connection in self.connections else others[0]
            attempt.released_ms = attempt.over_ms
            used.releases.append(attempt)
            self._send_release(used, attempt.session)
        else:
            self.unsent_releases.append((connection.router, attempt.session))

    @staticmethod
    def _send_release(connection: MediaConnection, session: str) -> None:
        connection.write(encode("TEARDOWN rtsp://media/session RTSP/1.0", session, 2, Reason="cause=16"))

    def _spoil(self, connection: MediaConnection, attempt: AttemptSeen, kind: Spoiling) -> None:
        if connection.attempts.get(attempt.session) is not attempt or not connection.is_alive:
            return
        answer = self._answer(attempt)
        session = attempt.session
        match kind:
            case _ if connection.queued is not None:  # nothing can be spoilt in the middle of a message
                connection.write(answer)
                self._establish(connection, attempt)
            case Spoiling.HALF:
                attempt.bodies.clear()
                connection.write(answer[: self.rng.randrange(1, len(answer))])
                connection.transport.close()
                return
            case Spoiling.RESET:
                attempt.bodies.clear()
                connection.reset()
                return
            case Spoiling.GARBLED:
                attempt.bodies.clear()
                connection.write(b"\xfe" + answer[7:])
            case Spoiling.SHORT_LENGTH:
                attempt.bodies.clear()
                length = answer.rpartition(b"Content-Length: ")[2].partition(b"\r\n")[0]
                connection.write(answer.replace(b"Length: " + length, b"Length: %d" % (int(length) - 5)))
            case Spoiling.OTHER_SESSION:
                attempt.bodies.clear()
                connection.write(answer.replace(session.encode(), b"%016x" % self.rng.getrandbits(64)))
                return
            case Spoiling.RELEASED:
                attempt.bodies.clear()
                release = encode("TEARDOWN rtsp://media/session RTSP/1.0", session, 2, Reason="cause=41")
                connection.write(release)
            case Spoiling.DOUBLED:
                connection.write(answer + answer)
                self._establish(connection, attempt)
            case Spoiling.DOUBLED_LATE:
                connection.write(answer)
                self._establish(connection, attempt)
                self._do(lambda: connection.write(answer), self.rng.uniform(1.0, 30.0))
            case Spoiling.AFTER_PROGRESS:
                connection.write(encode("RTSP/1.0 180 Ringing", session) * 2 + answer)
                self._establish(connection, attempt)
            case Spoiling.PIECES:
                middle = self.rng.randrange(1, len(answer))
                connection.write_first_piece(answer[:middle])
                delay_ms = self.rng.uniform(5.0, 150.0)
                self._do(lambda: connection.write_last_piece(answer[middle:]), delay_ms)
                self._establish(connection, attempt)
        connection.attempts.pop(session, None)
        self._end(attempt, AttemptEnd.ANSWERED)

    def stop(self) -> None:
        """Close everything."""
        for address in self.addresses.values():
            address.stop()
        for connection in list(self.connections):
            connection.transport.abort()
