"""Stand-ins for the cases of the review: the platform, the change log, media servers and viewers.

Only the standard library is used.  Every address is a loopback address, every port is a free one.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, so that nothing can be said of the rule."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the ms since its start."""

    def __init__(self, path: Path) -> None:
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, who: str, what: str) -> None:
        line = f"{(time.monotonic() - self.started) * 1000:9.0f} ms  {who:<12} {what}"
        self.file.write(line + "\n")
        self.file.flush()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


# Messages of the platform's RTSP


class Message:
    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.line, self.headers, self.body = line, headers, body
        words = line.split(" ")
        self.status = int(words[1]) if words[0] == "RTSP/1.0" else 0
        self.method = "" if self.status else words[0]
        self.uri = "" if self.status else words[1]

    @property
    def session(self) -> str:
        return self.headers.get("session", "")


def encode(line: str, cseq: int, session: str, fields: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    lines = [line, f"CSeq: {cseq}", f"Session: {session}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def take_message(buffer: bytearray) -> Message | None:
    """Remove the first whole message from the buffer and return it; None where there is none yet."""
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        return None
    lines = bytes(buffer[:end]).decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    if len(buffer) < end + 4 + length:
        return None
    body = bytes(buffer[end + 4 : end + 4 + length])
    del buffer[: end + 4 + length]
    return Message(lines[0], headers, body)


# The change log


class ChangeLog:
    """Numbered events; each watcher gets those after the number that it names, and a number each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict] = []
        self.watchers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        self.server = server
        self._beat = asyncio.create_task(self._heartbeat())

    def add(self, rows: list[dict], reset: bool = False) -> dict:
        event = {
            "seq": len(self.events) + 1,
            "fleet": {"generation": len(self.events) + 1, "reset": reset, "instances": rows},
        }
        self.events.append(event)
        self.record.write("change log", json.dumps(event))
        for writer in list(self.watchers):
            writer.write(json.dumps(event).encode() + b"\n")
        return event

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            if not line.startswith(b"since "):
                return
            for event in self.events[int(line.split()[1]) :]:
                writer.write(json.dumps(event).encode() + b"\n")
            writer.write(f"{len(self.events)}\n".encode())
            self.watchers.add(writer)
            await reader.read()
        except (OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.close()

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in list(self.watchers):
                writer.write(f"{len(self.events)}\n".encode())


# Media servers (the platform's RTSP)


class PumpConnection:
    def __init__(self, pump: Pump, sock: socket.socket) -> None:
        self.pump, self.sock, self.buffer, self.closed = pump, sock, bytearray(), False
        self.number = pump.connection_count
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pump.loop.add_reader(sock.fileno(), self._readable)

    def _readable(self) -> None:
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data and self.pump.rebooted_since(self):
            self.reset()  # the machine that had this connection is another one by now
            return
        if not data:
            self.close()
            return
        self.buffer += data
        while not self.closed and (message := take_message(self.buffer)) is not None:
            self.pump.received(self, message)

    def send(self, data: bytes) -> None:
        if self.closed:
            return
        self.sock.setblocking(True)
        self.sock.settimeout(2.0)
        try:
            self.sock.sendall(data)
        except OSError:
            self.close()
            return
        self.sock.setblocking(False)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.pump.loop.remove_reader(self.sock.fileno())
            self.sock.close()
            self.pump.connections.discard(self)

    def reset(self) -> None:
        if not self.closed:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()

    def pause(self, paused: bool) -> None:
        if paused:
            self.pump.loop.remove_reader(self.sock.fileno())
        else:
            self.pump.loop.add_reader(self.sock.fileno(), self._readable)


class Pump:
    """A media server: sets each session up after `work_ms` and answers with a description.

    `run` has each set-up that ran here, in order.
    """

    def __init__(self, record: Record, number: int, cell: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.record, self.id, self.cell = record, f"s-{number:08x}", cell
        self.port = 0
        self.connections: set[PumpConnection] = set()
        self.connection_count = 0
        self.run: list[str] = []
        self.sessions: dict[str, PumpConnection] = {}  # those that stand
        self.pending: dict[str, PumpConnection] = {}
        self.unreleased: dict[str, int] = {}  # ended here, and told on the next new connection too
        self.work_ms = 5.0
        self.body_bytes = 200
        self.hold: list[Callable[[], None]] | None = None  # answers held back while the process hangs
        self.old: set[PumpConnection] = set()
        self.dummies: list[socket.socket] = []
        self._listen(0)

    def _listen(self, port: int) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, port))
        self.listener.listen(1)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.loop.add_reader(self.listener.fileno(), self._accept)

    def row(self, state: str = "active", started_ms: int = 0) -> dict:
        return {
            "instanceId": self.id, "hostPort": f"{HOST}:{self.port}", "zone": "room", "machineType": "box",
            "cell": self.cell, "lifecycle": state, "weight": 1, "startedAtMs": started_ms,
        }  # fmt: skip

    def _accept(self) -> None:
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        self.connection_count += 1
        connection = PumpConnection(self, sock)
        self.connections.add(connection)
        for session, cause in self.unreleased.items():
            self._send_release(connection, session, cause)
        self.unreleased.clear()

    def rebooted_since(self, connection: PumpConnection) -> bool:
        return connection in self.old

    def describe(self, session: str) -> bytes:
        head = f"{session}\r\nc=IN IP4 {HOST}\r\nm=video {self.port} RTP/AVP 96\r\n".encode()
        filler = b"a=x-segment:0123456789abcdef\r\n"
        return head + filler * max(0, (self.body_bytes - len(head)) // len(filler))

    def received(self, connection: PumpConnection, message: Message) -> None:
        if self.hold is not None:
            self.hold.append(lambda: self.received(connection, message))
            return
        cseq, session = int(message.headers.get("cseq", "0")), message.session
        if message.method == "OPTIONS":
            connection.send(encode("RTSP/1.0 200 OK", cseq, session, {"X-Circuits": "x0:0.2;x1:0.2"}))
        elif message.method == "SETUP":
            self.record.write(self.id, f"SETUP {session} {message.uri} ({len(message.body)} bytes) arrived")
            self.pending[session] = connection
            self.loop.call_later(self.work_ms / 1000.0, self._answer, connection, session)
        elif message.method == "TEARDOWN":
            known = self.pending.pop(session, None) or self.sessions.pop(session, None)
            self.record.write(self.id, f"TEARDOWN {session} arrived {'' if known else '(unknown here)'}")
            connection.send(encode("RTSP/1.0 200 OK", cseq, session))

    def _answer(self, connection: PumpConnection, session: str) -> None:
        if self.hold is not None:
            self.hold.append(lambda: self._answer(connection, session))
            return
        if self.pending.pop(session, None) is None:
            return
        self.run.append(session)
        self.sessions[session] = connection
        self.record.write(self.id, f"set {session} up and answers 200")
        connection.send(encode("RTSP/1.0 200 OK", 1, session, None, self.describe(session)))

    def _send_release(self, connection: PumpConnection, session: str, cause: int) -> None:
        self.record.write(self.id, f"sends the release of {session}, cause {cause}, on connection {connection.number}")
        connection.send(encode("TEARDOWN rtsp://media/session RTSP/1.0", 2, session, {"Reason": f"cause={cause}"}))

    def end(self, session: str, cause: int = 16) -> None:
        """The session comes to its end: released on its connection, else on any open one, and on the next one."""
        connection = self.sessions.pop(session)
        if connection.closed:
            connection = next(iter(sorted(self.connections, key=lambda x: x.number)), None)
        if connection is not None:
            self._send_release(connection, session, cause)
        else:
            self.record.write(self.id, f"{session} has ended, cause {cause}; no connection is open")
        self.unreleased[session] = cause

    def note(self, session: str, why: str, reading: float) -> None:
        connection = self.sessions[session]
        if connection.closed:
            connection = next(iter(sorted(self.connections, key=lambda x: x.number)), None)
        if connection is not None:
            connection.send(
                encode("ANNOUNCE rtsp://media/session RTSP/1.0", 4, session, {"X-Why": why, "X-Reading": str(reading)})
            )

    # Trouble

    def hang(self) -> None:
        """The process hangs: it reads and answers nothing."""
        self.record.write(self.id, "hangs")
        self.hold = []

    def go_on(self) -> None:
        self.record.write(self.id, "goes on")
        held, self.hold = self.hold or [], None
        for call in held:
            call()

    def vanish(self) -> None:
        """The machine is gone without a sign: open connections stay silent, new ones never come up."""
        self.record.write(self.id, f"vanishes, with {sorted(self.sessions)}")
        for connection in self.connections:
            connection.pause(True)
        self.loop.remove_reader(self.listener.fileno())
        for _ in range(4):  # fills the accept queue, so that the kernel answers no further handshake
            dummy = socket.socket()
            dummy.setblocking(False)
            try:
                dummy.connect((HOST, self.port))
            except BlockingIOError:
                pass
            self.dummies.append(dummy)

    def return_cold(self) -> None:
        """The machine is back, started anew: it knows nothing, and resets what old connections send."""
        for dummy in self.dummies:
            dummy.close()
        self.dummies.clear()
        self.listener.close()
        self.old |= self.connections
        for connection in self.connections:
            connection.pause(False)
        self.connections = set()
        self.sessions, self.pending, self.unreleased = {}, {}, {}
        self._listen(self.port)
        self.record.write(self.id, "is back, started anew, without sessions")


# Viewers


class Viewers:
    """The viewers behind one connection to a router.  `answers` and `ends` are kept by session, with times."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.buffer = bytearray()
        self.answers: dict[str, list[tuple[float, Message]]] = {}
        self.ends: dict[str, list[tuple[float, Message]]] = {}
        self.lost_ms: float | None = None
        self.on_answer: Callable[[str, Message], None] = lambda session, message: None

    async def connect(self, port: int) -> None:
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        try:
            while data := await self.reader.read(1 << 20):
                self.buffer += data
                while (message := take_message(self.buffer)) is not None:
                    self._received(message)
            self.record.write(self.name, "the router has closed the connection")
        except OSError as error:
            self.record.write(self.name, f"the connection is broken: {error!r}")
        self.lost_ms = time.monotonic() * 1000.0

    def _received(self, message: Message) -> None:
        now, session = time.monotonic() * 1000.0, message.session
        cseq = message.headers.get("cseq")
        if message.status and cseq == "1":
            hold = message.headers.get("x-hold-off")
            self.record.write(
                self.name,
                f"{session} answered {message.status}, {len(message.body)} bytes{f', hold off {hold}' if hold else ''}",
            )
            self.answers.setdefault(session, []).append((now, message))
            self.on_answer(session, message)
        elif not message.status:
            self.record.write(self.name, f"{session} {message.method} {message.headers.get('reason', '')}")
            self.ends.setdefault(session, []).append((now, message))
            if message.method == "TEARDOWN":
                self.writer.write(encode("RTSP/1.0 200 OK", 2, session))

    def set_up(
        self, session: str, class_name: str, title: str, wait_ms: int, copies: int, body: bytes = b"", at: str = "",
        home: int = 0, guess: str = "",
    ) -> None:  # fmt: skip
        destination = f"home:{home};copies:{copies};top:1;viewer:{session}" + (f";at:{at}" if at else "")
        fields = {"X-Call-Class": class_name, "X-Ring-Limit": str(wait_ms), "X-Dest": destination}
        if guess:
            fields["X-Guess"] = guess
        self.record.write(self.name, f"{session} SETUP {class_name} {title} {destination} {guess}")
        described = body or f"{session}\r\n".encode()
        self.writer.write(encode(f"SETUP rtsp://media/{title} RTSP/1.0", 1, session, fields, described))

    def tear_down(self, session: str) -> None:
        self.record.write(self.name, f"{session} TEARDOWN")
        self.writer.write(encode("TEARDOWN rtsp://media/session RTSP/1.0", 2, session))

    def close(self) -> None:
        self.task.cancel()
        self.writer.close()


# Routers


def settings(fleet_size: int, index: int, cells: int, seats: int = 0, places: int = 250) -> dict:
    """Settings of a small deployment: one room, a live class, a paid one and one of recordings."""
    return {
        "classes": [
            {"name": "live", "effect": "repeatable", "aimUs": 1500000, "hardLimitUs": 5000000, "worth": 1.0},
            {"name": "check", "effect": "once", "aimUs": 1500000, "hardLimitUs": 3000000, "worth": 2.0},
            {"name": "practice", "effect": "repeatable", "aimUs": 1500000, "hardLimitUs": 4000000, "worth": 1.0},
        ],
        "fleetSize": fleet_size, "selfIndex": index, "machineTypes": ["box"], "zone": "room",
        "limits": {"maxAttempts": 3, "maxRetryAfterUs": 1000000, "mayProbe": True, "retryAfter": True,
                   "connectTimeoutUs": 250000, "connIdleUs": 30000000},
        "rules": {"drainGraceUs": 250000, "coldUs": 12000000, "coldFrom": 0.4, "fallMultiple": 2.0,
                  "answerSlackUs": 40000, "tipAfterUs": 1500000},
        "specifics": {"cells": cells, "cabinets": 1, "ratesKb": [100.0, 200.0], "rungWorth": [0.5, 1.0],
                      "weightKb": 60000.0, "rackLinkKb": 900000.0, "placesByKind": [places],
                      "seats": [0, seats, 0], "classLive": [True, False, False]},
    }  # fmt: skip


class Router:
    """A router process, started with the `run` command of the deploy file."""

    def __init__(
        self, record: Record, folder: Path, name: str, config: dict, log: ChangeLog, site: str = "",
        environment: dict[str, str] | None = None, pass_fds: tuple[int, ...] = (),
    ) -> None:  # fmt: skip
        self.record, self.name, self.folder = record, name, folder / name
        self.folder.mkdir(exist_ok=True)
        self.port = config.get("port") or free_port()
        document = {
            "name": name, "listen": f"{HOST}:{self.port}", "seed": config.get("seed", "1"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": config.get("sockets", 1024)},
            "changelog": f"{HOST}:{log.port}",
            "known": {"seq": len(log.events), "results": log.events},
            "settings": config["settings"],
        }  # fmt: skip
        if "mgmt" in config:
            document["mgmt"] = config["mgmt"]
        path = self.folder / f"config-{time.monotonic_ns()}.json"
        path.write_text(json.dumps(document))
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        if site:
            (self.folder / "site.toml").write_text(site)
            command += f" --site {self.folder / 'site.toml'}"
        tmp = Path(config.get("tmp") or self.folder / "tmp")
        tmp.mkdir(exist_ok=True)
        self.log_path = self.folder / f"log-{time.monotonic_ns()}.txt"
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, stdout=subprocess.DEVNULL, stderr=open(self.log_path, "wb"),
            pass_fds=pass_fds,
            env={"PATH": os.environ["PATH"], "LB_NAME": name, "LB_CONFIG": str(path), "LB_LISTEN": f"{HOST}:{self.port}",
                 "TMPDIR": str(tmp), **(environment or {})},
        )  # fmt: skip
        record.write(name, f"started, process {self.process.pid}, port {self.port}: {command}")
        PROCESSES.append(self.process)

    async def ready(self, seconds: float = 15.0) -> None:
        """Wait until its test is passed."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}: {self.log()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode("OPTIONS rtsp://media/ping RTSP/1.0", 3, ""))
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b" 200 " in line:
                    self.record.write(self.name, "passes its test")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready: {self.log()[-500:]}")

    def log(self) -> str:
        return self.log_path.read_text(errors="replace")

    def signal(self, number: int) -> None:
        self.record.write(self.name, f"is sent {signal.Signals(number).name}")
        self.process.send_signal(number)


PROCESSES: list[subprocess.Popen] = []


def run_case(folder: Path, case: Callable[[Record, Path], Awaitable[tuple[bool, str]]], limit_s: float = 110.0) -> None:
    """Play a case, end its processes, and exit with 0 (the rule held), 1 (it was broken) or 2 (it could not run).

    `case` returns whether the rule held, and a sentence that says why.
    """
    try:
        record = Record(folder / "record.txt")
        temporary = Path(tempfile.mkdtemp(prefix="review-"))
    except OSError as error:
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.write("case", f"TROUBLE={int(TROUBLE)}")
    status = NOT_RUN
    try:
        held, why = asyncio.run(asyncio.wait_for(case(record, temporary), limit_s))
        status = HELD if held else BROKEN
        record.write("case", f"the rule {'held' if held else 'was BROKEN'}: {why}")
        print(f"the rule {'held' if held else 'was BROKEN'}: {why}")
    except Exception as error:  # whatever goes wrong in the case itself says nothing of the rule
        record.write("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        for process in PROCESSES:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for path in sorted(temporary.rglob("log-*.txt")):
            record.file.write(f"\n--- log of {path.parent.name} ---\n")
            record.file.write(re.sub(re.escape(str(temporary)), "TMP", path.read_text(errors="replace")))
        record.file.close()
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(status)
