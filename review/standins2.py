"""Stand-ins for viewers, media servers (pumps) and the change log, and the start of the program under review.

Everything listens on 127.0.0.1, on free ports, in a temporary folder.  All that is sent, answered and run goes into
one record, which a case writes to record.txt.  Only the standard library is used.
"""

from __future__ import annotations

import contextlib
import http.server
import json
import os
import queue
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any, Callable

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT = 0, 1, 2

SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "live-coaching", "effect": "repeatable", "aimUs": 1500000, "hardLimitUs": 5000000, "worth": 1.0,
         "streaming": True, "group": "all", "keyTtlUs": 5000000, "lateWorth": 0.0},
        {"name": "graded-check", "effect": "once", "aimUs": 1500000, "hardLimitUs": 3000000, "worth": 2.0,
         "streaming": True, "group": "all", "keyTtlUs": 5000000, "lateWorth": 0.0},
        {"name": "practice-call", "effect": "repeatable", "aimUs": 1500000, "hardLimitUs": 4000000, "worth": 1.0,
         "streaming": True, "group": "all", "keyTtlUs": 5000000, "lateWorth": 0.0},
    ],
    "fleetSize": 2, "selfIndex": 0, "family": "streams", "machineTypes": ["small-box", "large-box"],
    "zone": "regina-office", "failureDomains": ["regina-office"], "registryMode": "automatic", "weights": "nominal",
    "feedback": {"columns": ["x0", "x1"], "how": "on_probe"}, "clients": {"marksRetry": True}, "worthBy": "work",
    "limits": {"cancelling": True, "connIdleUs": 30000000, "connectTimeoutUs": 250000, "maxAttempts": 3,
               "maxOpen": 1000000, "maxRetryAfterUs": 1000000, "mayProbe": True, "peers": False, "retryAfter": True,
               "secondCopies": False, "streamsPerConn": 1048576},
    "prices": {"moves": 0.15, "probe": 0.01, "lateFail": 0.05},
    "rules": {"answerSlackUs": 40000, "coldFrom": 0.4, "coldUs": 12000000, "drainGraceUs": 250000,
              "fallMultiple": 2.0, "tipAfterUs": 1500000},
    "specifics": {"cabinets": 2, "cells": 4, "classFloor": [0, 0, 0], "classLive": [True, False, False],
                  "highestRung": [5, 5, 2], "join": 1.0, "placesByKind": [22, 32], "rackLinkKb": 36000.0,
                  "ratesKb": [266.0, 401.0, 605.0, 913.0, 1377.0, 2079.0], "refusesFrom": 1.2,
                  "rungWorth": [0.24, 0.42, 0.57, 0.72, 0.86, 1.0], "scaleByClass": [1.0, 1.0, 1.0],
                  "seats": [0, 4, 0], "seeUs": 500000, "stallCost": 6.0, "switchS": 0.39, "toldEveryUs": 0,
                  "weightKb": 3400.0},
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, by the time since the start of the case."""

    def __init__(self) -> None:
        self.start_s, self.lines, self.lock = time.time(), list[str](), threading.Lock()

    def now(self) -> float:
        return time.time() - self.start_s

    def add(self, who: str, what: str) -> float:
        at = self.now()
        with self.lock:
            self.lines.append(f"{at:8.3f} {who:12} {what}")
        return at

    def write(self, path: Path) -> None:
        with self.lock:
            path.write_text("\n".join(self.lines) + "\n")


class Message:
    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start, self.headers, self.body = start, headers, body
        self.session = headers.get("session", "")
        self.status = int(start.split()[1]) if start.startswith("RTSP/") else 0
        self.method = "" if self.status else start.split()[0]


def encode(start: str, session: str, cseq: int, body: bytes = b"", **fields: str) -> bytes:
    lines = [start, f"CSeq: {cseq}", f"Session: {session}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Connection:
    """A TCP connection that carries RTSP; `read` gives one message, None at its end."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.buffer, self.open, self.lock = sock, b"", True, threading.Lock()

    def send(self, data: bytes) -> bool:
        with self.lock:
            try:
                self.sock.sendall(data)
                return True
            except OSError:
                self.open = False
                return False

    def read(self) -> Message | None:
        try:
            while b"\r\n\r\n" not in self.buffer:
                if not self._more():
                    return None
            head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
            lines = head.decode().split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            while len(self.buffer) < length:
                if not self._more():
                    return None
            body, self.buffer = self.buffer[:length], self.buffer[length:]
            return Message(lines[0], headers, body)
        except (OSError, ValueError, IndexError):
            return None

    def _more(self) -> bool:
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def close(self, reset: bool = False) -> None:
        self.open = False
        with contextlib.suppress(OSError):
            if reset:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            else:
                self.sock.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(OSError):
            self.sock.close()


class Pump:
    """A media server.  It holds a session from its set-up to its end.

    What concerns a session goes on the connection of its set-up, otherwise on any open one; a release goes also on
    the next connection that is opened.
    """

    def __init__(self, record: Record, name: str, cell: int, address: tuple[str, int] | None = None) -> None:
        self.record, self.name, self.cell, self.lock = record, name, cell, threading.RLock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address or ("127.0.0.1", 0))
        self.listener.listen(128)
        self.address = self.listener.getsockname()
        self.connections: list[Connection] = []
        self.sessions: dict[str, Connection] = {}
        self.titles: dict[str, str] = {}
        self.told_again: list[str] = []  # releases for the next connection that is opened
        self.set_ups: list[tuple[float, str]] = []
        self.load = "x0:0.1;x1:0.1"
        self.hangs = False  # set-ups are read and never answered
        self.on_set_up: Callable[[Connection, Message], None] = self.accept
        self.vanished = False
        self.fillers: list[socket.socket] = []
        self.orphans: set[Connection] = set()  # connections of the process before a vanishing
        threading.Thread(target=self._accept, daemon=True).start()

    def row(self, lifecycle: str = "active", started_ms: int = 0) -> dict[str, Any]:
        return {"instanceId": self.name, "hostPort": "%s:%d" % self.address, "zone": "regina-office",
                "machineType": "large-box", "cell": self.cell, "lifecycle": lifecycle, "weight": 4,
                "startedAtMs": started_ms}

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                while self.vanished:
                    time.sleep(0.005)
                sock, peer = self.listener.accept()
                if self.vanished or any(filler.getsockname() == peer for filler in self.fillers):
                    self.fillers.append(sock)
                    continue
                connection = Connection(sock)
                with self.lock:
                    self.connections.append(connection)
                    again, self.told_again = self.told_again, []
                self.record.add(self.name, f"connection opened from port {peer[1]}")
                for session in again:
                    self._tell_end(connection, session)
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: Connection) -> None:
        while (message := connection.read()) is not None:
            if self.vanished:
                continue  # a machine that is gone reads nothing
            if connection in self.orphans:
                self.record.add(self.name, "resets a connection of the process before")
                connection.close(reset=True)
                break
            if message.method != "OPTIONS":
                self.record.add(self.name, f"got {message.start} {message.session} {message.headers.get('reason', '')}")
            if message.method == "OPTIONS":
                fields = {"X_Circuits": self.load} if "load" in message.start else {}
                connection.send(encode("RTSP/1.0 200 OK", message.session, 3, **fields))
            elif message.method == "SETUP":
                with self.lock:
                    self.set_ups.append((self.record.now(), message.session))
                    self.titles[message.session] = message.start.split()[1].removeprefix("rtsp://media/")
                self.on_set_up(connection, message)
            elif message.method == "TEARDOWN":
                with self.lock:
                    held = self.sessions.pop(message.session, None) is not None
                connection.send(encode("RTSP/1.0 200 OK", message.session, 2))
                self.record.add(self.name, f"ends {message.session}, held: {held}")
        self.record.add(self.name, "connection closed")
        with self.lock:
            connection.open = False
            if connection in self.connections:
                self.connections.remove(connection)
        if not self.vanished:
            connection.close()

    def accept(self, connection: Connection, message: Message) -> None:
        if self.hangs:
            return
        with self.lock:
            self.sessions[message.session] = connection
        self.record.add(self.name, f"plays {message.session}, answers 200")
        connection.send(encode("RTSP/1.0 200 OK", message.session, 1, b"made by " + self.name.encode()))

    def end(self, session: str) -> float:
        """The session has come to its end; returns when that was told."""
        with self.lock:
            connection = self.sessions.pop(session)
            if not connection.open:
                connection = next((x for x in reversed(self.connections) if x.open), connection)  # any: the newest
            self.told_again.append(session)
        return self._tell_end(connection, session)

    def _tell_end(self, connection: Connection, session: str) -> float:
        at = self.record.add(self.name, f"release of {session}, cause=16")
        connection.send(encode("TEARDOWN rtsp://media/session RTSP/1.0", session, 2, Reason="cause=16"))
        return at

    def vanish(self) -> None:
        """The machine is gone: connections stay open and silent, new ones never come up, its sessions are over."""
        self.vanished = True
        self.record.add(self.name, f"vanishes with {sorted(self.sessions)}")
        with self.lock:
            self.sessions.clear()
            self.told_again.clear()
            self.orphans |= set(self.connections)
        self.listener.listen(0)
        for _ in range(64):  # a full backlog: the kernel drops what comes
            filler = socket.socket()
            filler.settimeout(0.15)
            try:
                filler.connect(self.address)
            except OSError:
                filler.close()
                return
            self.fillers.append(filler)
        raise CannotRun("the backlog does not fill")

    def come_back(self) -> None:
        """A new process serves at the same address and knows nothing of the sessions before."""
        self.record.add(self.name, "is back as a new process, cold")
        self.listener.listen(128)
        self.vanished = False

    def stop(self) -> None:
        self.vanished = False
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            connection.close()
        for filler in self.fillers:
            filler.close()


class ChangeLog:
    """Numbered events and, every second, the last number.  `delay_s` is how late each new connection is served."""

    def __init__(self, record: Record) -> None:
        self.record, self.lock, self.delay_s = record, threading.Lock(), 0.0
        self.lines: list[bytes] = []
        self.connections: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def event(self, rows: list[dict[str, Any]], reset: bool = False) -> dict[str, Any]:
        """Put an event into the log: from now on it counts as told."""
        with self.lock:
            event = {"seq": len(self.lines) + 1, "fleet": {"generation": 1, "reset": reset, "instances": rows}}
            self.lines.append(json.dumps(event).encode() + b"\n")
            states = [(x["instanceId"], x["lifecycle"], x["startedAtMs"]) for x in rows]
            self.record.add("changelog", f"event {event['seq']}: {states}")
        return event

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.connections.append(sock)
                threading.Thread(target=self._serve, args=(sock, self.delay_s), daemon=True).start()

    def _serve(self, sock: socket.socket, delay_s: float) -> None:
        try:
            words = sock.makefile("rb").readline().split()
            if not words:
                return
            sent = int(words[1])
            self.record.add("changelog", f"got since {sent}" + f", serves it {delay_s} s later" * (delay_s > 0))
            time.sleep(delay_s)
            heartbeat_at, first = time.time(), True
            while True:
                with self.lock:
                    lines = self.lines[sent:]
                if lines or time.time() >= heartbeat_at:
                    sent += len(lines)
                    sock.sendall(b"".join(lines) + (b"" if lines else b"%d\n" % sent))
                    if first or lines:
                        self.record.add("changelog", f"sent up to {sent}")
                    heartbeat_at, first = time.time() + 1.0, False
                time.sleep(0.01)
        except OSError:
            if delay_s:
                self.record.add("changelog", "the router has closed before it was served")
        finally:
            sock.close()

    def break_off(self) -> None:
        """Close every connection."""
        self.record.add("changelog", "breaks off")
        connections, self.connections = self.connections, []
        for sock in connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.break_off()


class Viewer:
    """Viewers on one connection.  `heard` has all that arrives, by session."""

    def __init__(self, record: Record, address: tuple[str, int], name: str = "viewer") -> None:
        self.record, self.name = record, name
        self.connection = Connection(socket.create_connection(address, timeout=5))
        self.connection.sock.settimeout(None)
        self.heard: list[tuple[float, Message]] = []
        self.arrived = threading.Condition()
        self.closed_at: float | None = None
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        while (message := self.connection.read()) is not None:
            at = self.record.add(self.name, f"got {message.start} {message.session} {message.body.decode()}")
            if message.method == "TEARDOWN":
                self.connection.send(encode("RTSP/1.0 200 OK", message.session, 2))
            with self.arrived:
                self.heard.append((at, message))
                self.arrived.notify_all()
        with self.arrived:
            self.closed_at = self.record.add(self.name, "connection ended by the router")
            self.arrived.notify_all()
        self.connection.close()

    def set_up(self, session: str, class_name: str, title: str, wait_ms: int, home: int = 0, copies: int = 3,
               at: str = "") -> float:
        dest = f"home:{home};copies:{copies};top:2;viewer:{session}" + (f";at:{at}" if at else "")
        when = self.record.add(self.name, f"SETUP {session} {class_name} {title} {dest}")
        body = b"v=0\r\nc=IN IP4 127.0.0.1\r\n"
        self.connection.send(encode(f"SETUP rtsp://media/{title} RTSP/1.0", session, 1, body,
                                    X_Call_Class=class_name, X_Ring_Limit=str(wait_ms), X_Guess="45000.0", X_Dest=dest))
        return when

    def ping(self) -> bool:
        self.connection.send(encode("OPTIONS rtsp://media/ping RTSP/1.0", "00000000000000aa", 3))
        found = self.wait(lambda m: m.status in (200, 503) and m.headers.get("cseq") == "3", 3.0)
        return found is not None and found[1].status == 200

    def wait(self, matches: Callable[[Message], bool], seconds: float) -> tuple[float, Message] | None:
        until = time.time() + seconds
        with self.arrived:
            while True:
                for at, message in self.heard:
                    if matches(message):
                        return at, message
                if time.time() >= until:
                    return None
                self.arrived.wait(max(0.0, until - time.time()))

    def answer(self, session: str, seconds: float = 6.0) -> Message | None:
        found = self.wait(lambda m: m.status >= 200 and m.session == session and m.headers.get("cseq") == "1", seconds)
        return None if found is None else found[1]

    def end_of(self, session: str, seconds: float) -> float | None:
        """When a release or a move of the session was heard, None if that took longer than `seconds`."""
        found = self.wait(lambda m: m.session == session and m.method in ("TEARDOWN", "REDIRECT"), seconds)
        return None if found is None else found[0]


class Router:
    """The program, started with the `run` of the deploy file."""

    def __init__(self, case: Case, name: str = "n1", listen: tuple[str, int] | None = None,
                 environment: dict[str, str] | None = None, listener: socket.socket | None = None,
                 site: Path | None = None, config: dict[str, Any] | None = None) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        if site is not None:
            run += f" --site {site}"
        self.case, self.name = case, name
        self.address = listen or case.free_address()
        folder = case.folder / f"{name}-{len(case.routers)}"
        folder.mkdir()
        document = {"name": name, "listen": "%s:%d" % self.address, "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "changelog": "%s:%d" % case.changelog.address, "known": case.known, "settings": SETTINGS,
                    **(config or {})}
        (folder / "config.json").write_text(json.dumps(document))
        variables = {**os.environ, "LB_NAME": name, "LB_LISTEN": document["listen"],
                     "LB_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder), **(environment or {})}
        if os.environ.get("LOG"):
            variables["LB_LOG_REQUESTS"] = "1"
        self.log = open(folder / "log.txt", "w")
        command = ["/bin/sh", "-c", run]
        if listener is not None:  # inherited as descriptor 5, as from the platform
            variables["LB_LISTEN_FD"] = "5"
            lead = f"import os; os.dup2({listener.fileno()}, 5); os.execv({command[0]!r}, {command!r})"
            command = [sys.executable, "-c", lead]
        self.process = subprocess.Popen(command, cwd=ROOT, env=variables, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL, start_new_session=True,
                                        pass_fds=() if listener is None else (listener.fileno(),))
        self.log_path = folder / "log.txt"
        case.routers.append(self)
        case.record.add(name, "started")

    def ready(self, seconds: float = 15.0) -> None:
        until = time.time() + seconds
        while time.time() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the router ended: {self.log_path.read_text()[-2000:]}")
            with contextlib.suppress(OSError):
                viewer = Viewer(self.case.record, self.address, "front")
                if viewer.ping():
                    viewer.connection.close()
                    return
            time.sleep(0.05)
        raise CannotRun("the router was not ready in time")

    def signal(self, number: int) -> float:
        at = self.case.record.add(self.name, f"gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)
        return at

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Case:
    """A temporary folder, the record and all that the case has started."""

    def __init__(self, path: str) -> None:
        self.here = Path(path).resolve().parent
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record, self.routers, self.pumps = Record(), list[Router](), list[Pump]()
        self.held: list[socket.socket] = []
        self.changelog = ChangeLog(self.record)
        self.known: dict[str, Any] = {}

    def free_address(self) -> tuple[str, int]:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return sock.getsockname()

    def add_pumps(self, count: int) -> list[Pump]:
        self.pumps = [Pump(self.record, f"s-{n + 1:08x}", n) for n in range(count)]
        first = self.changelog.event([pump.row() for pump in self.pumps], reset=True)
        self.known = {"seq": 1, "results": [first]}
        return self.pumps

    def pump_of(self, session: str) -> Pump:
        for pump in self.pumps:
            if session in pump.sessions:
                return pump
        raise CannotRun(f"no pump plays {session}")

    def close(self) -> None:
        for thing in (*self.routers, *self.pumps, self.changelog):
            thing.stop()
        for sock in self.held:
            sock.close()
        if os.environ.get("LOG"):
            for router in self.routers:
                print(router.log_path.read_text()[-int(os.environ["LOG"]):])
        shutil.rmtree(self.folder, ignore_errors=True)


class Upgrade:
    """The platform's part of an upgrade: one listening socket, one folder and a second address for each process."""

    def __init__(self, case: Case) -> None:
        self.case, self.listener = case, socket.create_server(("127.0.0.1", 0), backlog=256)
        case.held.append(self.listener)
        self.address, self.folder = self.listener.getsockname(), case.folder / "shared"
        self.folder.mkdir()
        self.routers: list[Router] = []
        self.managed: list[tuple[str, int]] = []

    def call(self, line: str) -> str:
        """Ask the newest process at its second address."""
        try:
            with socket.create_connection(self.managed[-1], 2) as sock:
                sock.sendall(line.encode() + b"\n")
                return sock.makefile("rb").read().decode()
        except OSError:
            return ""

    def start(self) -> None:
        """Start `run`, once more if it runs already, and wait for the yes."""
        self.managed.append(self.case.free_address())
        variables = {"TMPDIR": str(self.folder), "LB_MGMT": "%s:%d" % self.managed[-1]}
        self.routers.append(Router(self.case, "n1", self.address, variables, self.listener))
        until = time.time() + 6
        while not self.call("status").startswith("ACK"):
            if time.time() > until:
                raise CannotRun("no yes within 6 s")
            time.sleep(0.05)
        self.case.record.add("n1", f"process {len(self.routers)} says yes")

    def end_old(self) -> None:
        """Tell the old process to end, and wait until it has."""
        old = self.routers[0]
        old.signal(signal.SIGTERM)
        try:
            old.process.wait(5.7)
        except subprocess.TimeoutExpired:
            old.process.kill()
            old.process.wait()
        self.case.record.add("n1", "process 1 has ended")


MASTER = "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=2128000\n{0}/low.m3u8\n"
MEDIA = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXT-X-PLAYLIST-TYPE:VOD\n" + "#EXTINF:4,\nseg.ts\n" * 15 + "#EXT-X-ENDLIST\n"


class HlsMedia:
    """The HTTP side of a media server: a session stands from its PUT to its DELETE."""

    def __init__(self, case: Case, pump: Pump) -> None:
        self.set_ups: list[tuple[float, str, str]] = []
        self.name = pump.name
        media, record, name = self, case.record, pump.name

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def reply(self, status: int, text: str = "") -> None:
                self.send_response(status)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text.encode())

            def do_PUT(self) -> None:
                wanted = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                session = self.path.split("/")[2]
                at = record.add(name, f"PUT {session} {wanted['class']} {wanted['title']}: plays it, answers 200")
                media.set_ups.append((at, session, wanted["title"]))
                pump.sessions[session] = Connection(socket.socket())
                pump.sessions[session].open = False
                self.reply(200, MASTER.format(session))

            def do_GET(self) -> None:
                session = self.path.split("/")[2]
                known = session in pump.sessions
                record.add(name, f"GET {self.path}: {200 if known else 404}")
                self.reply(200 if known else 404, (MEDIA if self.path.endswith(".m3u8") else MASTER.format(session)))

            def do_PATCH(self) -> None:
                self.rfile.read(int(self.headers["Content-Length"]))
                self.reply(200)

            def do_DELETE(self) -> None:
                session = self.path.split("/")[2]
                record.add(name, f"DELETE {session}, held: {pump.sessions.pop(session, None) is not None}")
                self.reply(200)

            def log_message(self, *_: object) -> None:
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()


class Player:
    """One HTTP connection of a player, kept open between its fetches."""

    def __init__(self, case: Case, address: tuple[str, int], name: str = "player") -> None:
        self.case, self.name, self.sock = case, name, socket.create_connection(address, 10)
        self.reader = self.sock.makefile("rb")

    def fetch(self, path: str) -> tuple[int, str]:
        self.sock.sendall(f"GET {path} HTTP/1.1\r\nHost: router\r\n\r\n".encode())
        status, length = int(self.reader.readline().split()[1]), 0
        while line := self.reader.readline().strip():
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        text = self.reader.read(length).decode()
        self.case.record.add(self.name, f"GET {path}: {status} {text!r}")
        return status, text

    def close(self) -> None:
        self.reader.close()
        self.sock.close()

    def drop(self) -> None:
        """The connection is reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.reader.close()
        self.sock.close()


class Fleet:
    """Routers with custody behind the project's own relay; each has a change log of its own."""

    def __init__(self, case: Case, count: int, media: list[HlsMedia] | None = None, titles: str = "",
                 settings: dict[str, Any] | None = None) -> None:
        sys.path.insert(0, str(ROOT))
        from cloverhinge.lab.hub import Hub
        from cloverhinge.lab.record import Record as HubRecord

        self.case, self.count, self.hub = case, count, Hub(HubRecord(), 1)
        net, key = f"127.{10 + os.getpid() // 250 % 200}.{os.getpid() % 250}", os.urandom(20).hex()
        self.hosts = [f"{net}.{n + 1}" for n in range(count)]
        self.hls = [case.free_address() for _ in range(count)]
        ports = [case.free_address()[1] for _ in range(count)]
        advertised = [self.hub.add_router(f"n{n + 1}", f"{net}.{129 + n}", self.hosts[n]) for n in range(count)]
        self.changelogs = [ChangeLog(case.record) for _ in range(count)]
        self.routers: list[Router] = []
        self.sites: list[tuple[Path, dict[str, Any], tuple[str, int]]] = []
        for n in range(count):
            first = self.changelogs[n].event([pump.row() for pump in case.pumps], reset=True)
            tables = ""
            if media is not None:
                boxes = "\n".join(f'{m.name} = "127.0.0.1:{m.server.server_port}"' for m in media)
                tables = f'[hls]\nlisten = "{self.hls[n][0]}:{self.hls[n][1]}"\nkey = "{key}"\n\n[hls.boxes]\n{boxes}\n\n'
                tables += titles + "\n"
            join = ", ".join('"%s:%d"' % x for x in advertised)
            tables += (f'[members]\nlisten = "{self.hosts[n]}:{ports[n]}"\nadvertise = "{advertised[n][0]}:{advertised[n][1]}"\n'
                       f'join = [{join}]\nkey = "{key}"\n\n[custody]\nrouters = {count}\n')
            site = case.folder / f"site-{n}.toml"
            site.write_text(tables)
            config = {"settings": {**(settings or SETTINGS), "fleetSize": count, "selfIndex": n},
                      "changelog": "%s:%d" % self.changelogs[n].address, "known": {"seq": 1, "results": [first]}}
            self.sites.append((site, config, (self.hosts[n], ports[n])))
            self.routers.append(Router(case, f"n{n + 1}", site=site, config=config))
            self.hub.attach(f"n{n + 1}", self.sites[n][2])
        for router in self.routers:
            self.wait_votes(router)
        time.sleep(3)

    def wait_votes(self, router: Router) -> None:
        """Wait until a router is ready and takes part in custody, as its log says."""
        router.ready()
        until = time.time() + 15
        while "votes in roster" not in router.log_path.read_text():
            if time.time() > until:
                raise CannotRun(f"{router.name} does not vote")
            time.sleep(0.1)

    def restart(self, n: int) -> None:
        """A planned restart: SIGTERM, and `run` again under the same name and at the same addresses."""
        old = self.routers[n]
        old.signal(signal.SIGTERM)
        try:
            old.process.wait(10)
        except subprocess.TimeoutExpired:
            raise CannotRun(f"{old.name} does not end") from None
        self.case.record.add(old.name, "has ended")
        self.hub.detach(old.name)
        site, config, address = self.sites[n]
        self.routers[n] = Router(self.case, old.name, listen=old.address, site=site, config=config)
        self.hub.attach(old.name, address)
        self.wait_votes(self.routers[n])
        self.case.record.add(old.name, "votes again")

    def stop(self) -> None:
        self.hub.stop()
        for log in self.changelogs:
            log.stop()


def play(path: str, body: Callable[[Case], list[str]]) -> int:
    """Run a case: `body` returns the breaches of the rule, none if it held."""
    case, code = Case(path), CANNOT
    try:
        breaches = body(case)
        for text in breaches or ["the rule held"]:
            case.record.add("verdict", text)
            print(text)
        code = BROKEN if breaches else HELD
    except (CannotRun, OSError, queue.Empty) as error:
        case.record.add("verdict", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        case.close()
        case.record.write(case.here / "record.txt")
    return code
