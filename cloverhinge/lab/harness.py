"""The program as a process, and stand-ins for all that it talks to: for the tests, and for the lab's rig.

Nothing here sleeps: whoever waits, waits for a message, a line of the log or the end of the process.
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
TIMEOUT_S = 10.0  # for what has to come; only a failing test waits so long

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
    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start, self.headers, self.body = start, headers, body

    @property
    def session(self) -> str:
        return self.headers.get("session", "")

    @property
    def status(self) -> int:
        words = self.start.split()
        return int(words[1]) if words[0].startswith("RTSP/") else 0


class RtspConnection:
    """One connection that speaks RTSP."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.reader = sock, sock.makefile("rb")

    def send(self, start: str, session: str = "", cseq: int = 1, body: bytes = b"", **fields: str) -> None:
        lines = [
            start,
            f"CSeq: {cseq}",
            *([f"Session: {session}"] if session else []),
            *(f"{name.replace('_', '-')}: {value}" for name, value in fields.items()),
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        self.sock.sendall("\r\n".join(lines).encode() + body)

    def read(self) -> Message | None:
        """The next message; None at the end of the connection."""
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
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR) if not reset else None
        self.reader.close()
        self.sock.close()


class Listener:
    """Takes connections on a free port and hands each to `serve`, in a thread of its own."""

    def __init__(self, port: int = 0) -> None:
        self.socket = socket.create_server(("127.0.0.1", port))
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        self.connections: list[RtspConnection] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                wire = RtspConnection(self.socket.accept()[0])
                self.connections.append(wire)
                threading.Thread(target=self.serve, args=(wire,), daemon=True).start()

    def serve(self, wire: RtspConnection) -> None:
        raise NotImplementedError

    def stop(self, reset: bool = False) -> None:
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        for wire in self.connections:
            wire.close(reset)


class FakeMediaServer(Listener):
    """Answers tests; what else comes is handed out by `expect`, set-ups answered by `script` first."""

    def __init__(self, name: str, cell: int = 0, port: int = 0) -> None:
        self.name, self.cell, self.inbox = name, cell, queue.Queue[tuple[RtspConnection, Message]]()
        self.set_up_sessions: list[str] = []
        self.probes = 0
        self.load = "x0:0.1;x1:0.1"
        self.on_set_up: Callable[[RtspConnection, Message], None] = self.accept
        super().__init__(port)

    def serve(self, wire: RtspConnection) -> None:
        while message := wire.read():
            if message.start.startswith("OPTIONS"):
                self.probes += 1
                wire.send("RTSP/1.0 200 OK", message.session, 3, X_Circuits=self.load)
                continue
            if message.start.startswith("SETUP"):
                self.set_up_sessions.append(message.session)
                self.on_set_up(wire, message)
            self.inbox.put((wire, message))

    def accept(self, wire: RtspConnection, message: Message) -> None:
        wire.send("RTSP/1.0 200 OK", message.session, body=b"made by " + self.name.encode())

    def leave_unanswered(self, wire: RtspConnection, message: Message) -> None:
        pass

    def expect(self, start: str) -> tuple[RtspConnection, Message]:
        until = time.monotonic() + TIMEOUT_S
        while True:
            wire, message = self.inbox.get(timeout=max(0.01, until - time.monotonic()))
            if message.start.startswith(start):
                return wire, message

    def list_entry(self, lifecycle: str = "active") -> dict[str, Any]:
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
    """Answers set-ups and questions at once, keeps nothing."""

    def serve(self, wire: RtspConnection) -> None:
        while message := wire.read():
            if message.start.startswith("SETUP"):
                wire.send("RTSP/1.0 200 OK", message.session, body=b"made")
            elif message.start.startswith("OPTIONS"):
                wire.send("RTSP/1.0 200 OK", message.session, 3, X_Circuits=self.load)


class FakeChangeLog(Listener):
    def __init__(self, port: int = 0) -> None:
        self.events: list[dict[str, Any]] = []
        self.subscriptions: queue.Queue[tuple[int, RtspConnection]] = queue.Queue()
        self.sends_heartbeats = True
        super().__init__(port)

    def append_event(self, rows: list[dict[str, Any]], full: bool = False) -> dict[str, Any]:
        event = {"seq": len(self.events) + 1, "fleet": {"generation": 1, "reset": full, "instances": rows}}
        self.events.append(event)
        return event

    def publish(self, rows: list[dict[str, Any]]) -> None:
        line = json.dumps(self.append_event(rows)).encode() + b"\n"
        for wire in self.connections:
            with suppress(OSError):
                wire.sock.sendall(line)

    def serve(self, wire: RtspConnection) -> None:
        words = wire.reader.readline().split()
        if not words:
            return  # its follower ended before it asked
        since = int(words[1])
        self.subscriptions.put((since, wire))
        with suppress(OSError):
            wire.sock.sendall(b"".join(json.dumps(event).encode() + b"\n" for event in self.events[since:]))
            while self.sends_heartbeats and not threading.Event().wait(0.5):
                wire.sock.sendall(b"%d\n" % len(self.events))


class Program:
    """The program as a process."""

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
        """`operated`: the staff may call; `listener`: its clients' listening socket is inherited."""
        known = {
            "seq": 1,
            "results": [change_log.append_event([pump.list_entry() for pump in servers], full=True)],
        }
        told = self.configuration("n0", change_log, known, sockets, **settings)
        self.config_path, self.initial_config = folder / "config.json", told
        self.config_path.write_text(json.dumps(told))
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
            self.process.kill()  # nobody else would
            raise

    def successor(self) -> Program:
        """The same once more, beside this one."""
        other = copy.copy(self)
        other._start()
        return other

    def operator_call(self, line: str) -> list[str]:
        """The lines of the answer to a call of the staff."""
        with socket.create_connection(("127.0.0.1", self.operator_port), TIMEOUT_S) as link:
            link.sendall(line.encode() + b"\n")
            return link.makefile("rb").read().decode().splitlines()

    @staticmethod
    def configuration(
        name: str, change_log: FakeChangeLog, known: dict[str, Any], sockets: int = 1024, **settings: Any
    ) -> dict[str, Any]:
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
        until = time.monotonic() + TIMEOUT_S
        while True:
            try:
                line = self.unread_lines.get(timeout=max(0.01, until - time.monotonic()))
            except queue.Empty:
                raise AssertionError(f"no {pattern!r} in:\n{''.join(self.log)}") from None
            if found := re.search(pattern, line):
                return found

    def connect(self) -> RtspConnection:
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is written is there at once
        return RtspConnection(sock)

    def reload(self, text: str) -> None:
        self.config_path.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def pause(self) -> None:
        """Returns once the process stands still: what comes now is found all at once by `go_on`."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED)

    def resume(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    def resume_after(self, seconds: float, client: RtspConnection) -> None:
        """Lets limits on time pass while it stands still; nothing comes to the client meanwhile."""
        select.select([client.sock], [], [], seconds)
        self.resume()

    def terminate(self) -> int:
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
    """A program with so many pumps, one a cell; it has to end without an escaped exception."""
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
    """Write a set-up; returns its session."""
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
    """A test that is passed: the program has read what came on this connection before."""
    connection.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
    assert read_answer(connection).status == 200


def read_answer(connection: RtspConnection, start: str = "RTSP/1.0") -> Message:
    message = connection.read()
    assert message is not None and message.start.startswith(start), message and message.start
    return message
