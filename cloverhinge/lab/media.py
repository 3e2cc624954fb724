"""Fake media servers for HLS over HTTP and for RTSP that record each session they hold.

The HTTP side follows `hls/media_servers.py`, the RTSP side `FakeMediaServer`.  A server holds a session from
its set-up until the release.  All requests go into the record of the run, so checks need not rely on what the
routers report.
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
    """`sessions` maps the ids of the sessions held now to their titles.

    While `may_set_up` is cleared a set-up waits before the session is established; while `may_answer` is
    cleared it waits after that, before the answer.  Both waits end after `TIMEOUT_S`.
    """

    def __init__(self, name: str, cell: int, record: Record | None = None) -> None:
        self.record = record or Record()
        self.sessions: dict[str, str] = {}
        self.lock = threading.Lock()
        # Announced again on each new connection, as the owner may be another router by then.
        self.ended_sessions: list[str] = []
        self.may_set_up, self.may_answer = threading.Event(), threading.Event()
        self.may_set_up.set()
        self.may_answer.set()
        self.http_server = _HttpServer(("127.0.0.1", 0), _handler(self))
        self.http_server.daemon_threads = True
        self.origin = "127.0.0.1:%d" % self.http_server.server_port
        threading.Thread(target=self.http_server.serve_forever, args=(0.05,), daemon=True).start()
        super().__init__(name, cell)
        self.on_set_up = self.start_set_up

    def record_event(self, event_kind: str, session: str, title: str = "") -> Event:
        """Records an event of a session."""
        return self.record.add(self.name, event_kind, session=session, title=title)

    def is_full(self) -> bool:
        """Whether the server rejects set-ups now."""
        return False

    def set_up(self, session: str, title: str, service_class: str) -> None:
        """Records the request and establishes the session; a test can delay either step."""
        self.record.add(self.name, "asked", session=session, title=title, kind=service_class)
        self.may_set_up.wait(TIMEOUT_S)
        with self.lock:
            self.sessions[session] = title
        self.record_event("stands", session, title)
        self.may_answer.wait(TIMEOUT_S)

    def release(self, session: str) -> None:
        """Removes a session and records whether it was held."""
        with self.lock:
            title = self.sessions.pop(session, None)
        self.record_event("released" if title is not None else "released in vain", session, title or "")

    def end_session(self, session: str) -> None:
        """Ends a session from the server's side.

        The end is sent on all connections, as the server doesn't know which one belongs to the owner.
        """
        with self.lock:
            self.sessions.pop(session, None)
            self.ended_sessions.append(session)
        self.record_event("ended", session)
        for connection in list(self.connections):
            self._send_end(connection, session)

    @staticmethod
    def _send_end(connection: RtspConnection, session: str) -> None:
        with suppress(OSError):
            connection.send("TEARDOWN rtsp://media/session RTSP/1.0", session, 2, Reason="cause=16")

    # RTSP

    def start_set_up(self, connection: RtspConnection, message: Message) -> None:
        """Handles an RTSP set-up in a thread of its own, as `set_up` may block."""
        threading.Thread(target=self._answer, args=(connection, message), daemon=True).start()

    def _answer(self, connection: RtspConnection, message: Message) -> None:
        if self.is_full():
            connection.send("RTSP/1.0 453 Not Enough Bandwidth", message.session)
            return
        self.set_up(
            message.session,
            message.start.split()[1].removeprefix("rtsp://media/"),
            message.headers.get("x-call-class", ""),
        )
        with suppress(OSError):  # the router may have closed the connection
            connection.send("RTSP/1.0 200 OK", message.session, body=b"made by " + self.name.encode())

    def serve(self, connection: RtspConnection) -> None:
        for session in list(self.ended_sessions):
            self._send_end(connection, session)
        while message := connection.read():
            with suppress(OSError):
                if message.start.startswith("OPTIONS"):
                    self.probes += 1
                    connection.send("RTSP/1.0 200 OK", message.session, 3, X_Circuits=self.load)
                elif message.start.startswith("SETUP"):
                    self.on_set_up(connection, message)
                elif message.start.startswith("TEARDOWN"):
                    self.release(message.session)
                    connection.send("RTSP/1.0 200 OK", message.session, 2)

    def stop(self, reset: bool = False) -> None:
        self.may_set_up.set()
        self.may_answer.set()
        super().stop(reset)
        self.http_server.shutdown()
        self.http_server.server_close()


class LimitedMediaServer(RecordingMediaServer):
    """Holds at most `max_sessions`, ends each after `session_life_s`, and reports its use as load."""

    def __init__(self, name: str, cell: int, max_sessions: int, session_life_s: float) -> None:
        self.max_sessions, self.session_life_s = max_sessions, session_life_s
        super().__init__(name, cell)

    @property
    def load(self) -> str:
        return f"x0:{len(self.sessions) / self.max_sessions:.2f};x1:0.1"

    @load.setter
    def load(self, report: str) -> None:
        """Ignored: the load follows from the number of sessions."""

    def is_full(self) -> bool:
        return len(self.sessions) >= self.max_sessions

    def set_up(self, session: str, title: str, service_class: str) -> None:
        super().set_up(session, title, service_class)
        timer = threading.Timer(self.session_life_s, self._life_over, (session,))
        timer.daemon = True
        timer.start()

    def _life_over(self, session: str) -> None:
        if session in self.sessions:
            self.end_session(session)


class _HttpServer(ThreadingHTTPServer):
    request_queue_size = 64

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores errors of connections, which routers may close before the answer."""


def _handler(media_server: RecordingMediaServer) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def answer(self, status: int, text: str = "") -> None:
            data = text.encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def do_PUT(self) -> None:
            request = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
            name = self.path.split("/")[2]
            if media_server.is_full():
                self.answer(503)
                return
            media_server.set_up(name, request["title"], request["class"])
            self.answer(200, MASTER.format(name))

        def do_GET(self) -> None:
            name = self.path.split("/")[2]
            if name not in media_server.sessions:
                self.answer(404)
            else:
                self.answer(200, MEDIA if self.path.endswith(".m3u8") else MASTER.format(name))

        def do_PATCH(self) -> None:
            self.rfile.read(int(self.headers["Content-Length"]))
            self.answer(200)

        def do_DELETE(self) -> None:
            media_server.release(self.path.split("/")[2])
            self.answer(200)

        def log_message(self, *_: Any) -> None:
            pass

    return Handler


def set_ups_by_title(record: Record, kind: str = "paid") -> Counter[str]:
    """Counts the set-up requests for each title at all servers.

    Where each play has a title of its own, that is the number of set-ups of the play.
    """
    return Counter(x.details["title"] for x in record.events_of("asked") if x.details["kind"] == kind)
