"""A player fetches a paid graded check over HLS, loses its connection, and fetches again: is it set up once?"""

import http.server
import json
import os
import socket
import struct
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins2 as s

AWAY_S = 40.0  # a graded check plays for 32 to 68 s
MASTER = "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=2128000\n{0}/low.m3u8\n"
MEDIA = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXT-X-PLAYLIST-TYPE:VOD\n" + "#EXTINF:4,\nseg.ts\n" * 15 + "#EXT-X-ENDLIST\n"


class Media:
    """The HTTP side of a media server: a session stands from its PUT to its DELETE."""

    def __init__(self, case: s.Case, pump: s.Pump) -> None:
        self.set_ups: list[tuple[float, str, str]] = []
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
                pump.sessions[session] = s.Connection(socket.socket())
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

    def __init__(self, case: s.Case, address: tuple[str, int]) -> None:
        self.case, self.sock = case, socket.create_connection(address, 5)
        self.reader = self.sock.makefile("rb")

    def fetch(self, path: str) -> tuple[int, str]:
        self.sock.sendall(f"GET {path} HTTP/1.1\r\nHost: router\r\n\r\n".encode())
        status, length = int(self.reader.readline().split()[1]), 0
        while line := self.reader.readline().strip():
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        text = self.reader.read(length).decode()
        self.case.record.add("player", f"GET {path}: {status} {text!r}")
        return status, text

    def drop(self) -> None:
        """The connection is reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.reader.close()
        self.sock.close()


def body(case: s.Case) -> list[str]:
    pumps = case.add_pumps(4)
    media = [Media(case, pump) for pump in pumps]
    hls = case.free_address()
    site = case.folder / "site.toml"
    boxes = "\n".join('%s = "127.0.0.1:%d"' % (p.name, m.server.server_port) for p, m in zip(pumps, media))
    site.write_text(f"""[hls]
listen = "{hls[0]}:{hls[1]}"
key = "{os.urandom(20).hex()}"

[hls.boxes]
{boxes}

[hls.titles.check-1]
home = 0
copies = 3
top = 2
length_s = 60
classes = ["graded-check"]
""")
    router = s.Router(case, site=site)
    router.ready()
    path = "/play/graded-check/check-1?play=agent-17-attempt-1"
    try:
        player = Player(case, hls)
        status, text = player.fetch(path)
        if status != 200:
            raise s.CannotRun("the check was not set up")
        if s.TROUBLE:
            case.record.add("player", f"its connection drops for {AWAY_S} s")
            player.drop()
        else:
            playlist = next(line for line in text.splitlines() if line and not line.startswith("#"))
            if player.fetch(playlist)[0] != 200:  # the whole recording: nothing more to fetch while it plays
                raise s.CannotRun("no playlist")
        time.sleep(AWAY_S)
        player = Player(case, hls)
        player.fetch(path)
        time.sleep(0.5)
    finally:
        for one in media:
            one.server.shutdown()
            one.server.server_close()
    paid = sorted(x for one in media for x in one.set_ups)
    if len(paid) > 1:
        return [f"the play was set up {len(paid)} times, at {', '.join(f'{x[0]:.1f} s' for x in paid)}"]
    return []


if __name__ == "__main__":
    sys.exit(s.play(__file__, body))
