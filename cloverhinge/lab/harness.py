"""Runs the program as a process, with fakes of its peers, for the tests and the rig.

Nothing here sleeps for a fixed time to await an event: every wait is for a message, a log line or the exit of
the process.
"""

from __future__ import annotations

import copy
import json
import os
import queue
import re
import select
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

ROOT = Path(__file__).parent.parent.parent
TIMEOUT_S = 10.0  # for an expected event; only a failing test waits this long

SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "free", "effect": "repeatable", "aimUs": 1500000, "hardLimitUs": 5000000, "worth": 1.0},
        {"name": "paid", "effect": "once", "aimUs": 1500000, "hardLimitUs": 3000000, "worth": 2.0},
    ],
    "fleetSize": 1,
    "machineTypes": ["box"],
    "zone": "z",
    "failureDomains": ["z"],
    "limits": {
        "maxAttempts": 3,
        "maxRetryAfterUs": 1000000,
        "mayProbe": True,
        "retryAfter": True,
        "connectTimeoutUs": 250000,
        "connIdleUs": 30000000,
    },
    "rules": {"drainGraceUs": 250000, "coldUs": 10000000, "coldFrom": 0.4, "fallMultiple": 2.0},
    "specifics": {
        "cells": 3,
        "cabinets": 1,
        "ratesKb": [100.0, 200.0],
        "rungWorth": [0.5, 1.0],
        "weightKb": 10000.0,
        "rackLinkKb": 20000.0,
        "placesByKind": [50],
    },
}


class Message:
    """An RTSP request or response; header names are in lower case."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start, self.headers, self.body = start, headers, body

    @property
    def session(self) -> str:
        """The session id, empty where the message has none."""
        return self.headers.get("session", "")

    @property
    def status(self) -> int:
        """The status code of a response, 0 for a request."""
        fields = self.start.split()
        return int(fields[1]) if fields[0].startswith("RTSP/") else 0


class RtspConnection:
    """A blocking RTSP connection over a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.reader = sock, sock.makefile("rb")

    def send(self, start: str, session: str = "", cseq: int = 1, body: bytes = b"", **headers: str) -> None:
        """Sends a message; an underscore in the name of a header stands for a hyphen."""
        lines = [
            start,
            f"CSeq: {cseq}",
            *([f"Session: {session}"] if session else []),
            *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        self.sock.sendall("\r\n".join(lines).encode() + body)

    def read(self) -> Message | None:
        """Returns the next message, or None where the connection has ended or the message is malformed."""
        try:
            start = self.reader.readline().decode().strip()
            if not start:
                return None
            headers: dict[str, str] = {}
            while line := self.reader.readline().decode().strip():
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            return Message(start, headers, self.reader.read(int(headers.get("content-length", 0))))
        except (OSError, ValueError):
            return None

    def close(self, reset: bool = False) -> None:
        """Closes the connection; with `reset` the peer gets a TCP reset."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR) if not reset else None
        self.reader.close()
        self.sock.close()


def reserve_port(host: str, port: int) -> socket.socket:
    """Binds a port without listening: it refuses connections, and no other process gets its number.

    A listener of this process may be opened on it meanwhile.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((host, port))
    return reserved


class Listener:
    """Accepts connections on loopback and runs `serve` for each in a thread of its own.

    Port 0 chooses a free port.
    """

    def __init__(self, port: int = 0) -> None:
        self.socket = socket.create_server(("127.0.0.1", port))
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        self.connections: list[RtspConnection] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection = RtspConnection(self.socket.accept()[0])
                self.connections.append(connection)
                threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: RtspConnection) -> None:
        """Handles one connection until it ends."""
        raise NotImplementedError

    def stop(self, reset: bool = False) -> None:
        """Stops accepting and closes all connections; with `reset` by a TCP reset."""
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        for connection in self.connections:
            connection.close(reset)

    @contextmanager
    def stopped(self, reset: bool = False) -> Iterator[int]:
        """Stops, and keeps the port, whose number it yields, from other processes."""
        host, port = self.socket.getsockname()
        self.stop(reset)
        with reserve_port(host, port):
            yield port


class FakeMediaServer(Listener):
    """An RTSP media server that answers probes itself.

    All other messages are returned by `expect`; a set-up is passed to `on_set_up` first, which may answer it.
    """

    def __init__(self, name: str, cell: int = 0, port: int = 0) -> None:
        self.name, self.cell, self.inbox = name, cell, queue.Queue[tuple[RtspConnection, Message]]()
        self.set_up_sessions: list[str] = []
        self.probes = 0
        self.load = "x0:0.1;x1:0.1"
        self.on_set_up: Callable[[RtspConnection, Message], None] = self.accept
        super().__init__(port)

    def serve(self, connection: RtspConnection) -> None:
        while message := connection.read():
            if message.start.startswith("OPTIONS"):
                self.probes += 1
                connection.send("RTSP/1.0 200 OK", message.session, 3, X_Circuits=self.load)
                continue
            if message.start.startswith("SETUP"):
                self.set_up_sessions.append(message.session)
                self.on_set_up(connection, message)
            self.inbox.put((connection, message))

    def accept(self, connection: RtspConnection, message: Message) -> None:
        """Answers a set-up with 200."""
        connection.send("RTSP/1.0 200 OK", message.session, body=b"made by " + self.name.encode())

    def leave_unanswered(self, connection: RtspConnection, message: Message) -> None:
        """Leaves a set-up pending."""
        pass

    def expect(self, start: str) -> tuple[RtspConnection, Message]:
        """Returns the next message whose first line begins with `start`, skipping others.

        Raises `queue.Empty` after `TIMEOUT_S`.
        """
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            connection, message = self.inbox.get(timeout=max(0.01, deadline - time.monotonic()))
            if message.start.startswith(start):
                return connection, message

    def list_entry(self, lifecycle: str = "active") -> dict[str, Any]:
        """The entry of this server in the list that the change log publishes."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "z",
            "machineType": "box",
            "cell": self.cell,
            "lifecycle": lifecycle,
            "weight": 1,
            "startedAtMs": 0,
        }


class StatelessMediaServer(FakeMediaServer):
    """Answers set-ups and probes at once and keeps no state, for load tests."""

    def serve(self, connection: RtspConnection) -> None:
        while message := connection.read():
            if message.start.startswith("SETUP"):
                connection.send("RTSP/1.0 200 OK", message.session, body=b"made")
            elif message.start.startswith("OPTIONS"):
                connection.send("RTSP/1.0 200 OK", message.session, 3, X_Circuits=self.load)


class FakeChangeLog(Listener):
    """A change log: numbered events as lines of JSON, and the last number as a heartbeat every 0.5 s."""

    def __init__(self, port: int = 0) -> None:
        self.events: list[dict[str, Any]] = []
        self.subscriptions: queue.Queue[tuple[int, RtspConnection]] = queue.Queue()
        self.sends_heartbeats = True
        super().__init__(port)

    def append_event(self, entries: list[dict[str, Any]], full: bool = False) -> dict[str, Any]:
        """Adds an event without sending it; with `full` it replaces the whole list of servers."""
        event = {"seq": len(self.events) + 1, "fleet": {"generation": 1, "reset": full, "instances": entries}}
        self.events.append(event)
        return event

    def publish(self, entries: list[dict[str, Any]]) -> None:
        """Adds an event with changed entries and sends it on all connections."""
        line = json.dumps(self.append_event(entries)).encode() + b"\n"
        for connection in self.connections:
            with suppress(OSError):
                connection.sock.sendall(line)

    def serve(self, connection: RtspConnection) -> None:
        fields = connection.reader.readline().split()
        if not fields:
            return  # the client closed before it sent its request
        since = int(fields[1])
        self.subscriptions.put((since, connection))
        with suppress(OSError):
            connection.sock.sendall(
                b"".join(json.dumps(event).encode() + b"\n" for event in self.events[since:])
            )
            while self.sends_heartbeats and not threading.Event().wait(0.5):
                connection.sock.sendall(b"%d\n" % len(self.events))


class Program:
    """A running process of the program, with its configuration and its log."""

    def __init__(
        self,
        folder: Path,
        servers: list[FakeMediaServer],
        change_log: FakeChangeLog,
        site_file: Path | None = None,
        sockets: int = 1024,
        program: Sequence[str] = ("-m", "cloverhinge"),
        operator_calls: bool = False,
        listener: socket.socket | None = None,
        **settings: Any,
    ) -> None:
        """Starts the process and waits until it listens.

        With `operator_calls` it accepts operator commands; with `listener` it inherits that socket, on which
        its clients connect.  Further keywords override `SETTINGS`.
        """
        known = {
            "seq": 1,
            "results": [change_log.append_event([server.list_entry() for server in servers], full=True)],
        }
        config = self.configuration("n0", change_log, known, sockets, **settings)
        self.config_path, self.initial_config = folder / "config.json", config
        self.config_path.write_text(json.dumps(config))
        arguments = [sys.executable, *program, "serve"]
        if site_file is not None:
            arguments += ["--site", str(site_file)]
        self.arguments, self.operator_calls, self.listener = arguments, operator_calls, listener
        self.environment = {**os.environ, "LB_CONFIG": str(self.config_path)}
        if operator_calls:
            self.environment |= {"LB_MGMT": "127.0.0.1:0", "TMPDIR": str(folder)}
        if listener is not None:
            self.environment["LB_LISTEN_FD"] = str(listener.fileno())
        self._start()

    def _start(self) -> None:
        inherited = () if self.listener is None else (self.listener.fileno(),)
        self.process = subprocess.Popen(
            self.arguments,
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
            env=self.environment,
            pass_fds=inherited,
        )
        self.log: list[str] = []
        self.unread_lines: queue.Queue[str] = queue.Queue()
        threading.Thread(target=self._read, daemon=True).start()
        try:
            if self.operator_calls:
                self.operator_port = int(self.wait_for(r"n0: operators at 127\.0\.0\.1:(\d+)")[1])
            self.port = int(self.wait_for(r"n0: listening on 127\.0\.0\.1:(\d+)")[1])
        except AssertionError:
            self.process.kill()  # the caller has no object to stop it by
            raise

    def successor(self) -> Program:
        """Starts a second process with the same configuration while this one runs."""
        other = copy.copy(self)
        other._start()
        return other

    def operator_call(self, line: str) -> list[str]:
        """Sends an operator command and returns the lines of the answer."""
        with socket.create_connection(("127.0.0.1", self.operator_port), TIMEOUT_S) as sock:
            sock.sendall(line.encode() + b"\n")
            return sock.makefile("rb").read().decode().splitlines()

    @staticmethod
    def configuration(
        name: str, change_log: FakeChangeLog, known: dict[str, Any], sockets: int = 1024, **settings: Any
    ) -> dict[str, Any]:
        """The configuration of a router as JSON values; `settings` override `SETTINGS`."""
        return {
            "name": name,
            "listen": "127.0.0.1:0",
            "seed": "8c1f30d27a5be964",
            "changelog": change_log.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": known,
            "settings": {**SETTINGS, **settings},
        }

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log.append(line)
            self.unread_lines.put(line)

    def wait_for(self, pattern: str) -> re.Match[str]:
        """Reads log lines not read before until one matches; AssertionError after `TIMEOUT_S`."""
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            try:
                line = self.unread_lines.get(timeout=max(0.01, deadline - time.monotonic()))
            except queue.Empty:
                raise AssertionError(f"no log line matches {pattern!r}:\n{''.join(self.log)}") from None
            if found := re.search(pattern, line):
                return found

    def connect(self) -> RtspConnection:
        """Opens a client's connection to the program."""
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # each write is sent without delay
        return RtspConnection(sock)

    def reload(self, text: str) -> None:
        """Writes a new configuration and makes the program read it (SIGHUP)."""
        self.config_path.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def pause(self) -> None:
        """Stops the process (SIGSTOP) and waits until it is stopped.

        Input that arrives meanwhile is read all at once after `resume`.
        """
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED)

    def resume(self) -> None:
        """Continues a paused process (SIGCONT)."""
        self.process.send_signal(signal.SIGCONT)

    def resume_after(self, seconds: float, client: RtspConnection) -> None:
        """Resumes after `seconds`, so that deadlines expire during the pause.

        `client` is only waited on: a paused process sends it nothing.
        """
        select.select([client.sock], [], [], seconds)
        self.resume()

    def terminate(self) -> int:
        """Sends SIGTERM and returns the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(TIMEOUT_S)


@contextmanager
def running_program(
    folder: Path,
    count: int = 2,
    servers: Sequence[FakeMediaServer] = (),
    change_log: FakeChangeLog | None = None,
    **more: Any,
) -> Iterator[tuple[Program, list[FakeMediaServer], FakeChangeLog]]:
    """Runs the program with `count` fake media servers, one in each cell, unless `servers` are given.

    At the end the program has to exit with code 0 and no traceback in its log.  Further keywords go to
    `Program`.
    """
    servers, change_log = (
        list(servers) or [FakeMediaServer(f"s-{n:08x}", n) for n in range(count)],
        change_log or FakeChangeLog(),
    )
    program = Program(folder, servers, change_log, **more)
    try:
        yield program, servers, change_log
        if program.process.poll() is None:
            assert program.terminate() == 0
        assert "Traceback" not in "".join(program.log), "".join(program.log)
    finally:
        program.process.kill()
        program.process.wait()
        for listener in (*servers, change_log):
            listener.stop()


def send_set_up(
    connection: RtspConnection,
    number: int,
    class_name: str = "free",
    wait_ms: int = 3000,
    body: bytes = b"v=0\r\n",
    dest: str = "home:0;copies:3;top:1;viewer:00000000b4d65521",
    title: str = "7f3a9c21e0b4d655",
) -> str:
    """Sends a set-up request and returns its session id."""
    name = f"{number:016x}"
    connection.send(
        f"SETUP rtsp://media/{title} RTSP/1.0",
        name,
        body=body,
        X_Call_Class=class_name,
        X_Ring_Limit=str(wait_ms),
        X_Guess="8200.0",
        X_Dest=dest,
    )
    return name


def ping(connection: RtspConnection) -> None:
    """Sends a probe and awaits its answer, so the program has read all earlier input of this connection."""
    connection.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
    assert read_answer(connection).status == 200


def read_answer(connection: RtspConnection, start: str = "RTSP/1.0") -> Message:
    """Returns the next message, whose first line has to begin with `start`."""
    message = connection.read()
    assert message is not None and message.start.startswith(start), message and message.start
    return message
