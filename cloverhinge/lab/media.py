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

from cloverhinge.lab.harness import WAIT_S, Message, Pump, Wire
from cloverhinge.lab.record import Event, Record

MASTER = (
    "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=800000\n{0}/low.m3u8\n"
    "#EXT-X-STREAM-INF:BANDWIDTH=1600000\n{0}/high.m3u8\n"
)
MEDIA = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXTINF:4,\nseg1.ts\n"


class MediaBox(Pump):
    """`sessions` stand here now, by name, with their titles.

    `before` closed holds a set-up before the box takes it, `after` holds its answer back.
    """

    def __init__(self, name: str, cell: int, record: Record | None = None) -> None:
        self.record = record or Record()
        self.sessions: dict[str, str] = {}
        self.lock = threading.Lock()
        self.ended: list[str] = []  # told again on each new connection, as whose they are may have changed
        self.before, self.after = threading.Event(), threading.Event()
        self.before.set()
        self.after.set()
        self.web = _Server(("127.0.0.1", 0), _handler(self))
        self.web.daemon_threads = True
        self.origin = "127.0.0.1:%d" % self.web.server_port
        threading.Thread(target=self.web.serve_forever, args=(0.05,), daemon=True).start()
        super().__init__(name, cell)
        self.script = self.take

    def noted(self, what: str, session: str, title: str = "") -> Event:
        return self.record.add(self.name, what, session=session, title=title)

    def full(self) -> bool:
        """Whether it turns set-ups away now."""
        return False

    def set_up(self, session: str, title: str, kind: str) -> None:
        """In two steps, each of which a test may hold up: it is asked, and it stands."""
        self.record.add(self.name, "asked", session=session, title=title, kind=kind)
        self.before.wait(WAIT_S)
        with self.lock:
            self.sessions[session] = title
        self.noted("stands", session, title)
        self.after.wait(WAIT_S)

    def release(self, session: str) -> None:
        with self.lock:
            title = self.sessions.pop(session, None)
        self.noted("released" if title is not None else "released in vain", session, title or "")

    def end(self, session: str) -> None:
        """The box ends it: told on all lines to it, as one of them is its router's."""
        with self.lock:
            self.sessions.pop(session, None)
            self.ended.append(session)
        self.noted("ended", session)
        for wire in list(self.wires):
            self._tell_end(wire, session)

    @staticmethod
    def _tell_end(wire: Wire, session: str) -> None:
        with suppress(OSError):
            wire.send("TEARDOWN rtsp://media/session RTSP/1.0", session, 2, Reason="cause=16")

    # RTSP

    def take(self, wire: Wire, message: Message) -> None:
        threading.Thread(target=self._answer, args=(wire, message), daemon=True).start()

    def _answer(self, wire: Wire, message: Message) -> None:
        if self.full():
            wire.send("RTSP/1.0 453 Not Enough Bandwidth", message.session)
            return
        self.set_up(
            message.session,
            message.start.split()[1].removeprefix("rtsp://media/"),
            message.headers.get("x-call-class", ""),
        )
        with suppress(OSError):  # the router may be gone
            wire.send("RTSP/1.0 200 OK", message.session, body=b"made by " + self.name.encode())

    def serve(self, wire: Wire) -> None:
        for session in list(self.ended):
            self._tell_end(wire, session)
        while message := wire.read():
            with suppress(OSError):
                if message.start.startswith("OPTIONS"):
                    self.tests += 1
                    wire.send("RTSP/1.0 200 OK", message.session, 3, X_Circuits=self.load)
                elif message.start.startswith("SETUP"):
                    self.script(wire, message)
                elif message.start.startswith("TEARDOWN"):
                    self.release(message.session)
                    wire.send("RTSP/1.0 200 OK", message.session, 2)

    def stop(self, reset: bool = False) -> None:
        self.before.set()
        self.after.set()
        super().stop(reset)
        self.web.shutdown()
        self.web.server_close()


class Limited(MediaBox):
    """So many places, sessions of one length, and a load that says so."""

    def __init__(self, name: str, cell: int, places: int, life_s: float) -> None:
        self.places, self.life_s = places, life_s
        super().__init__(name, cell)

    @property
    def load(self) -> str:
        return f"x0:{len(self.sessions) / self.places:.2f};x1:0.1"

    @load.setter
    def load(self, told: str) -> None:
        """Its sessions say it."""

    def full(self) -> bool:
        return len(self.sessions) >= self.places

    def set_up(self, session: str, title: str, kind: str) -> None:
        super().set_up(session, title, kind)
        ends = threading.Timer(self.life_s, self._over, (session,))
        ends.daemon = True
        ends.start()

    def _over(self, session: str) -> None:
        if session in self.sessions:
            self.end(session)


class _Server(ThreadingHTTPServer):
    request_queue_size = 64

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A router that is gone before its answer is no news here."""


def _handler(box: MediaBox) -> type[BaseHTTPRequestHandler]:
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
            if box.full():
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


def set_ups(record: Record, kind: str = "paid") -> Counter[str]:
    """How often each title was asked for at any box: with a title for each play, set-ups of that play."""
    return Counter(x.told["title"] for x in record.of("asked") if x.told["kind"] == kind)
