"""Media boxes as stand-ins, with both sides of the platform and a record of each session that they hold.

HTTP as `hls/media_servers.py` says it, RTSP as the pumps speak it.  A box holds a session from its set-up
until it is released; what it was asked goes into the run's record, so that checkers need no router's word.
"""

from __future__ import annotations

import json
import threading
from collections import Counter
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from cloverhinge.lab.harness import TIMEOUT_S, FakeMediaServer, Message, RtspConnection
from cloverhinge.lab.record import Event, Record

MASTER = (
    "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=800000\n{0}/low.m3u8\n"
    "#EXT-X-STREAM-INF:BANDWIDTH=1600000\n{0}/high.m3u8\n"
)
MEDIA = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXTINF:4,\nseg1.ts\n"


class RecordingMediaServer(FakeMediaServer):
    """`sessions` stand here now, by name, with their titles.

    `before` closed holds a set-up before the box takes it, `after` holds its answer back.
    """

    def __init__(self, name: str, cell: int, record: Record | None = None) -> None:
        self.record = record or Record()
        self.sessions: dict[str, str] = {}
        self.lock = threading.Lock()
        self.ended_sessions: list[
            str
        ] = []  # told again on each new connection, as whose they are may have changed
        self.may_set_up, self.may_answer = threading.Event(), threading.Event()
        self.may_set_up.set()
        self.may_answer.set()
        self.http_server = _Server(("127.0.0.1", 0), _handler(self))
        self.http_server.daemon_threads = True
        self.origin = "127.0.0.1:%d" % self.http_server.server_port
        threading.Thread(target=self.http_server.serve_forever, args=(0.05,), daemon=True).start()
        super().__init__(name, cell)
        self.on_set_up = self.start_set_up

    def record_event(self, what: str, session: str, title: str = "") -> Event:
        return self.record.add(self.name, what, session=session, title=title)

    def is_full(self) -> bool:
        """Whether it turns set-ups away now."""
        return False

    def set_up(self, session: str, title: str, kind: str) -> None:
        """In two steps, each of which a test may hold up: it is asked, and it stands."""
        self.record.add(self.name, "asked", session=session, title=title, kind=kind)
        self.may_set_up.wait(TIMEOUT_S)
        with self.lock:
            self.sessions[session] = title
        self.record_event("stands", session, title)
        self.may_answer.wait(TIMEOUT_S)

    def release(self, session: str) -> None:
        with self.lock:
            title = self.sessions.pop(session, None)
        self.record_event("released" if title is not None else "released in vain", session, title or "")

    def end_session(self, session: str) -> None:
        """The box ends it: told on all lines to it, as one of them is its router's."""
        with self.lock:
            self.sessions.pop(session, None)
            self.ended_sessions.append(session)
        self.record_event("ended", session)
        for wire in list(self.connections):
            self._send_end(wire, session)

    @staticmethod
    def _send_end(wire: RtspConnection, session: str) -> None:
        with suppress(OSError):
            wire.send("TEARDOWN rtsp://media/session RTSP/1.0", session, 2, Reason="cause=16")

    # RTSP

    def start_set_up(self, wire: RtspConnection, message: Message) -> None:
        threading.Thread(target=self._answer, args=(wire, message), daemon=True).start()

    def _answer(self, wire: RtspConnection, message: Message) -> None:
        if self.is_full():
            wire.send("RTSP/1.0 453 Not Enough Bandwidth", message.session)
            return
        self.set_up(
            message.session,
            message.start.split()[1].removeprefix("rtsp://media/"),
            message.headers.get("x-call-class", ""),
        )
        with suppress(OSError):  # the router may be gone
            wire.send("RTSP/1.0 200 OK", message.session, body=b"made by " + self.name.encode())

    def serve(self, wire: RtspConnection) -> None:
        for session in list(self.ended_sessions):
            self._send_end(wire, session)
        while message := wire.read():
            with suppress(OSError):
                if message.start.startswith("OPTIONS"):
                    self.probes += 1
                    wire.send("RTSP/1.0 200 OK", message.session, 3, X_Circuits=self.load)
                elif message.start.startswith("SETUP"):
                    self.on_set_up(wire, message)
                elif message.start.startswith("TEARDOWN"):
                    self.release(message.session)
                    wire.send("RTSP/1.0 200 OK", message.session, 2)

    def stop(self, reset: bool = False) -> None:
        self.may_set_up.set()
        self.may_answer.set()
        super().stop(reset)
        self.http_server.shutdown()
        self.http_server.server_close()


class LimitedMediaServer(RecordingMediaServer):
    """So many places, sessions of one length, and a load that says so."""

    def __init__(self, name: str, cell: int, max_sessions: int, session_life_s: float) -> None:
        self.max_sessions, self.session_life_s = max_sessions, session_life_s
        super().__init__(name, cell)

    @property
    def load(self) -> str:
        return f"x0:{len(self.sessions) / self.max_sessions:.2f};x1:0.1"

    @load.setter
    def load(self, told: str) -> None:
        """Its sessions say it."""

    def is_full(self) -> bool:
        return len(self.sessions) >= self.max_sessions

    def set_up(self, session: str, title: str, kind: str) -> None:
        super().set_up(session, title, kind)
        ends = threading.Timer(self.session_life_s, self._over, (session,))
        ends.daemon = True
        ends.start()

    def _over(self, session: str) -> None:
        if session in self.sessions:
            self.end_session(session)


class _Server(ThreadingHTTPServer):
    request_queue_size = 64

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A router that is gone before its answer is no news here."""


def _handler(box: RecordingMediaServer) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def answer(self, status: int, text: str = "") -> None:
            data = text.encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def do_PUT(self) -> None:
            told = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
            name = self.path.split("/")[2]
            if box.is_full():
                self.answer(503)
                return
            box.set_up(name, told["title"], told["class"])
            self.answer(200, MASTER.format(name))

        def do_GET(self) -> None:
            name = self.path.split("/")[2]
            if name not in box.sessions:
                self.answer(404)
            else:
                self.answer(200, MEDIA if self.path.endswith(".m3u8") else MASTER.format(name))

        def do_PATCH(self) -> None:
            self.rfile.read(int(self.headers["Content-Length"]))
            self.answer(200)

        def do_DELETE(self) -> None:
            box.release(self.path.split("/")[2])
            self.answer(200)

        def log_message(self, *_: Any) -> None:
            pass

    return Handler


def set_ups_by_title(record: Record, kind: str = "paid") -> Counter[str]:
    """How often each title was asked for at any box: with a title for each play, set-ups of that play."""
    return Counter(x.details["title"] for x in record.events_of("asked") if x.details["kind"] == kind)
