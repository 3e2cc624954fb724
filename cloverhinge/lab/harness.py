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
WAIT_S = 10.0  # for what has to come; only a failing test waits so long

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


class Wire:
    """One connection that speaks RTSP."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.file = sock, sock.makefile("rb")

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
            start = self.file.readline().decode().strip()
            if not start:
                return None
            headers: dict[str, str] = {}
            while line := self.file.readline().decode().strip():
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            return Message(start, headers, self.file.read(int(headers.get("content-length", 0))))
        except (OSError, ValueError):
            return None

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR) if not reset else None
        self.file.close()
        self.sock.close()


class Listener:
    """Takes connections on a free port and hands each to `serve`, in a thread of its own."""

    def __init__(self, port: int = 0) -> None:
        self.socket = socket.create_server(("127.0.0.1", port))
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        self.wires: list[Wire] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                wire = Wire(self.socket.accept()[0])
                self.wires.append(wire)
                threading.Thread(target=self.serve, args=(wire,), daemon=True).start()

    def serve(self, wire: Wire) -> None:
        raise NotImplementedError

    def stop(self, reset: bool = False) -> None:
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        for wire in self.wires:
            wire.close(reset)


class Pump(Listener):
    """Answers tests; what else comes is handed out by `expect`, set-ups answered by `script` first."""

    def __init__(self, name: str, cell: int = 0, port: int = 0) -> None:
        self.name, self.cell, self.inbox = name, cell, queue.Queue[tuple[Wire, Message]]()
        self.setups: list[str] = []
        self.tests = 0
        self.load = "x0:0.1;x1:0.1"
        self.script: Callable[[Wire, Message], None] = self.accept
        super().__init__(port)

    def serve(self, wire: Wire) -> None:
        while message := wire.read():
            if message.start.startswith("OPTIONS"):
                self.tests += 1
                wire.send("RTSP/1.0 200 OK", message.session, 3, X_Circuits=self.load)
                continue
            if message.start.startswith("SETUP"):
                self.setups.append(message.session)
                self.script(wire, message)
            self.inbox.put((wire, message))

    def accept(self, wire: Wire, message: Message) -> None:
        wire.send("RTSP/1.0 200 OK", message.session, body=b"made by " + self.name.encode())

    def hold(self, wire: Wire, message: Message) -> None:
        pass

    def expect(self, start: str) -> tuple[Wire, Message]:
        until = time.monotonic() + WAIT_S
        while True:
            wire, message = self.inbox.get(timeout=max(0.01, until - time.monotonic()))
            if message.start.startswith(start):
                return wire, message

    def row(self, state: str = "active") -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "z",
            "machineType": "box",
            "cell": self.cell,
            "lifecycle": state,
            "weight": 1,
            "startedAtMs": 0,
        }


class Quick(Pump):
    """Answers set-ups and questions at once, keeps nothing."""

    def serve(self, wire: Wire) -> None:
        while message := wire.read():
            if message.start.startswith("SETUP"):
                wire.send("RTSP/1.0 200 OK", message.session, body=b"made")
            elif message.start.startswith("OPTIONS"):
                wire.send("RTSP/1.0 200 OK", message.session, 3, X_Circuits=self.load)


class ChangeLog(Listener):
    def __init__(self, port: int = 0) -> None:
        self.events: list[dict[str, Any]] = []
        self.followers: queue.Queue[tuple[int, Wire]] = queue.Queue()
        self.beating = True
        super().__init__(port)

    def event(self, rows: list[dict[str, Any]], full: bool = False) -> dict[str, Any]:
        event = {"seq": len(self.events) + 1, "fleet": {"generation": 1, "reset": full, "instances": rows}}
        self.events.append(event)
        return event

    def tell(self, rows: list[dict[str, Any]]) -> None:
        line = json.dumps(self.event(rows)).encode() + b"\n"
        for wire in self.wires:
            with suppress(OSError):
                wire.sock.sendall(line)

    def serve(self, wire: Wire) -> None:
        words = wire.file.readline().split()
        if not words:
            return  # its follower ended before it asked
        since = int(words[1])
        self.followers.put((since, wire))
        with suppress(OSError):
            wire.sock.sendall(b"".join(json.dumps(event).encode() + b"\n" for event in self.events[since:]))
            while self.beating and not threading.Event().wait(0.5):
                wire.sock.sendall(b"%d\n" % len(self.events))


class Program:
    """The program as a process."""

    def __init__(
        self,
        folder: Path,
        pumps: list[Pump],
        log: ChangeLog,
        deploy: Path | None = None,
        sockets: int = 1024,
        program: Sequence[str] = ("-m", "cloverhinge"),
        operated: bool = False,
        listener: socket.socket | None = None,
        **settings: Any,
    ) -> None:
        """`operated`: the staff may call; `listener`: its clients' listening socket is inherited."""
        known = {"seq": 1, "results": [log.event([pump.row() for pump in pumps], full=True)]}
        told = self.configuration("n0", log, known, sockets, **settings)
        self.config, self.told = folder / "config.json", told
        self.config.write_text(json.dumps(told))
        arguments = [sys.executable, *program, "serve"]
        if deploy is not None:
            arguments += ["--site", str(deploy)]
        self.arguments, self.operated, self.listener = arguments, operated, listener
        self.environment = {**os.environ, "LB_CONFIG": str(self.config)}
        if operated:
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
        self.lines: queue.Queue[str] = queue.Queue()
        threading.Thread(target=self._read, daemon=True).start()
        try:
            if self.operated:
                self.mgmt = int(self.wait_for(r"n0: operators at 127\.0\.0\.1:(\d+)")[1])
            self.port = int(self.wait_for(r"n0: listening on 127\.0\.0\.1:(\d+)")[1])
        except AssertionError:
            self.process.kill()  # nobody else would
            raise

    def successor(self) -> Program:
        """The same once more, beside this one."""
        other = copy.copy(self)
        other._start()
        return other

    def call(self, line: str) -> list[str]:
        """The lines of the answer to a call of the staff."""
        with socket.create_connection(("127.0.0.1", self.mgmt), WAIT_S) as link:
            link.sendall(line.encode() + b"\n")
            return link.makefile("rb").read().decode().splitlines()

    @staticmethod
    def configuration(
        name: str, log: ChangeLog, known: dict[str, Any], sockets: int = 1024, **settings: Any
    ) -> dict[str, Any]:
        return {
            "name": name,
            "listen": "127.0.0.1:0",
            "seed": "8c1f30d27a5be964",
            "changelog": log.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": known,
            "settings": {**SETTINGS, **settings},
        }

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log.append(line)
            self.lines.put(line)

    def wait_for(self, pattern: str) -> re.Match[str]:
        until = time.monotonic() + WAIT_S
        while True:
            try:
                line = self.lines.get(timeout=max(0.01, until - time.monotonic()))
            except queue.Empty:
                raise AssertionError(f"no {pattern!r} in:\n{''.join(self.log)}") from None
            if found := re.search(pattern, line):
                return found

    def connect(self) -> Wire:
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is written is there at once
        return Wire(sock)

    def reload(self, text: str) -> None:
        self.config.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def pause(self) -> None:
        """Returns once the process stands still: what comes now is found all at once by `go_on`."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED)

    def go_on(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    def go_on_after(self, seconds: float, client: Wire) -> None:
        """Lets limits on time pass while it stands still; nothing comes to the client meanwhile."""
        select.select([client.sock], [], [], seconds)
        self.go_on()

    def end(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT_S)


@contextmanager
def site(
    folder: Path,
    count: int = 2,
    pumps: Sequence[Pump] = (),
    log: ChangeLog | None = None,
    **more: Any,
) -> Iterator[tuple[Program, list[Pump], ChangeLog]]:
    """A program with so many pumps, one a cell; it has to end without an escaped exception."""
    pumps, log = list(pumps) or [Pump(f"s-{n:08x}", n) for n in range(count)], log or ChangeLog()
    program = Program(folder, pumps, log, **more)
    try:
        yield program, pumps, log
        if program.process.poll() is None:
            assert program.end() == 0
        assert "Traceback" not in "".join(program.log), "".join(program.log)
    finally:
        program.process.kill()
        program.process.wait()
        for listener in (*pumps, log):
            listener.stop()


def ask(
    wire: Wire,
    number: int,
    class_name: str = "free",
    wait_ms: int = 3000,
    body: bytes = b"v=0\r\n",
    dest: str = "home:0;copies:3;top:1;viewer:00000000b4d65521",
    title: str = "7f3a9c21e0b4d655",
) -> str:
    """Write a set-up; returns its session."""
    name = f"{number:016x}"
    wire.send(
        f"SETUP rtsp://media/{title} RTSP/1.0",
        name,
        body=body,
        X_Call_Class=class_name,
        X_Ring_Limit=str(wait_ms),
        X_Guess="8200.0",
        X_Dest=dest,
    )
    return name


def ping(wire: Wire) -> None:
    """A test that is passed: the program has read what came on this connection before."""
    wire.send("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3)
    assert answer(wire).status == 200


def answer(wire: Wire, start: str = "RTSP/1.0") -> Message:
    message = wire.read()
    assert message is not None and message.start.startswith(start), message and message.start
    return message
