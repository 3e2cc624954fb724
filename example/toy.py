"""Toy media servers and a toy change log, for trying out cloverhinge.

    python example/toy.py [FIRST_PORT]

Listens on consecutive ports from FIRST_PORT (default 7100; 0 picks free ports): first the change log, then
RTSP and HTTP of each of two media servers.  Every session that is set up lasts until it is released.  The
segments hold placeholder bytes, no real video.
"""

from __future__ import annotations

import asyncio
import json
import sys
from contextlib import suppress

Headers = dict[str, str]
MASTER = (
    "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=800000\nlow.m3u8\n"
    "#EXT-X-STREAM-INF:BANDWIDTH=1600000\nhigh.m3u8\n"
)
MEDIA = (
    "#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:4\n#EXT-X-PLAYLIST-TYPE:VOD\n"
    + "".join(f"#EXTINF:4.0,\nsegment{n}.ts\n" for n in range(5))
    + "#EXT-X-ENDLIST\n"
)


async def read_message(reader: asyncio.StreamReader) -> tuple[list[str], Headers, bytes]:
    """Reads an RTSP or HTTP message: words of the first line, headers (lower-case names) and body.

    Raises EOFError if the peer has closed the connection.
    """
    first = (await reader.readline()).decode().split()
    if not first:
        raise EOFError
    headers: Headers = {}
    while line := (await reader.readline()).decode().strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class MediaServer:
    """Speaks RTSP as a media server does, and HTTP as the HLS front expects it of one."""

    def __init__(self, name: str) -> None:
        self.name, self.sessions = name, set[str]()

    def log(self, text: str) -> None:
        """Prints an event with the present number of sessions."""
        print(f"{self.name}: {text}, {len(self.sessions)} sessions", flush=True)

    async def rtsp(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves an RTSP connection of a router until it closes."""
        with suppress(EOFError, ConnectionError, asyncio.IncompleteReadError):
            while True:
                words, headers, _ = await read_message(reader)
                if words[0].startswith("RTSP/"):
                    continue
                session, fields, body = headers.get("session", ""), "", b""
                if words[0] == "SETUP":
                    self.sessions.add(session)
                    self.log(f"set up {session} at rung {headers.get('x-quality', 'lowest')}")
                    body = f"v=0\r\ns={self.name}\r\n".encode()
                elif words[0] == "TEARDOWN":
                    self.sessions.discard(session)
                    self.log(f"released {session}")
                elif words[0] == "OPTIONS":
                    load = len(self.sessions) / 20
                    fields = f"X-Circuits: x0:{load:.3f};x1:{load / 2:.3f}\r\n"
                else:
                    continue  # a change of the rung is not answered
                writer.write(
                    f"RTSP/1.0 200 OK\r\nCSeq: {headers.get('cseq', '0')}\r\nSession: {session}\r\n"
                    f"{fields}Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
        writer.close()

    async def http(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves an HTTP connection of a router or a player until it closes."""
        with suppress(EOFError, ConnectionError, asyncio.IncompleteReadError):
            while True:
                words, _, body = await read_message(reader)
                status, content = self.respond(words[0], words[1].strip("/").split("/"), body)
                head = f"HTTP/1.1 {status} Toy\r\nContent-Length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
        writer.close()

    def respond(self, method: str, path: list[str], body: bytes) -> tuple[int, bytes]:
        """Returns the status and body of the answer to an HTTP request."""
        if len(path) < 2 or path[0] != "sessions":
            return 404, b""
        session = path[1].split("?")[0]
        if method == "PUT":
            self.sessions.add(session)
            self.log(f"set up {session} for HLS: {body.decode()}")
            return 200, MASTER.replace("low", f"{session}/low").replace("high", f"{session}/high").encode()
        if method == "DELETE":
            self.sessions.discard(session)
            self.log(f"released {session}")
            return 200, b""
        if path[-1].endswith(".ts"):
            return 200, b"\x47" + bytes(187)
        if session not in self.sessions:
            return 404, b""
        return 200, MEDIA.encode() if path[-1].endswith(".m3u8") else MASTER.encode()


async def changelog(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, event: bytes) -> None:
    """Serves a subscriber of the change log: the single event if it lacks it, then heartbeats."""
    with suppress(ConnectionError, ValueError, IndexError):
        if int((await reader.readline()).split()[1]) < 1:
            writer.write(event + b"\n")
        while not writer.is_closing():
            writer.write(b"1\n")
            await asyncio.sleep(1.0)  # heartbeat period
    writer.close()


async def main(first: int) -> None:
    """Starts the media servers and the change log, prints their addresses as JSON and serves forever."""

    async def listen(serve: object, offset: int) -> str:
        server = await asyncio.start_server(serve, "127.0.0.1", first and first + offset)  # type: ignore[arg-type]
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    instances, addresses = [], {}
    for number in range(2):
        server = MediaServer(f"toy-{number + 1}")
        rtsp_address = await listen(server.rtsp, 1 + 2 * number)
        addresses[server.name] = {"rtsp": rtsp_address, "http": await listen(server.http, 2 + 2 * number)}
        instances.append(
            {
                "instanceId": server.name,
                "hostPort": rtsp_address,
                "zone": "room",
                "machineType": "toy",
                "cell": number,
                "lifecycle": "active",
                "weight": 1,
                "startedAtMs": 0,
            }
        )
    event = {"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": instances}}
    line = json.dumps(event).encode()
    log_address = await listen(lambda r, w: changelog(r, w, line), 0)
    print(json.dumps({"changelog": log_address, "boxes": addresses}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 7100))
