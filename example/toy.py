"""Toy media boxes and a toy change log, with which to try cloverhinge.

    python example/toy.py [FIRST_PORT]

Opens, from FIRST_PORT on (7100; 0 = any free ports): the change log, then for each of two boxes its RTSP side
and its HTTP side.  Every session that is set up stands until it is released.  The `video` is made of noise.
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
    """A message of RTSP or HTTP: its first line's words, its fields and its body."""
    first = (await reader.readline()).decode().split()
    if not first:
        raise EOFError
    headers: Headers = {}
    while line := (await reader.readline()).decode().strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class MediaServer:
    """Speaks RTSP as a pump does, and HTTP as the HLS front expects it of a media box."""

    def __init__(self, name: str) -> None:
        self.name, self.sessions = name, set[str]()

    def log(self, text: str) -> None:
        print(f"{self.name}: {text}, {len(self.sessions)} sessions", flush=True)

    async def rtsp(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
                    continue  # a new rung wants no answer
                writer.write(
                    f"RTSP/1.0 200 OK\r\nCSeq: {headers.get('cseq', '0')}\r\nSession: {session}\r\n"
                    f"{fields}Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
        writer.close()

    async def http(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(EOFError, ConnectionError, asyncio.IncompleteReadError):
            while True:
                words, _, body = await read_message(reader)
                status, answer = self.respond(words[0], words[1].strip("/").split("/"), body)
                head = f"HTTP/1.1 {status} Toy\r\nContent-Length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)
        writer.close()

    def respond(self, method: str, path: list[str], body: bytes) -> tuple[int, bytes]:
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
    with suppress(ConnectionError, ValueError, IndexError):
        if int((await reader.readline()).split()[1]) < 1:
            writer.write(event + b"\n")
        while not writer.is_closing():
            writer.write(b"1\n")
            await asyncio.sleep(1.0)  # the heartbeat's pace
    writer.close()


async def main(first: int) -> None:
    async def listen(serve: object, offset: int) -> str:
        server = await asyncio.start_server(serve, "127.0.0.1", first and first + offset)  # type: ignore[arg-type]
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    rows, places = [], {}
    for number in range(2):
        box = MediaServer(f"toy-{number + 1}")
        where = await listen(box.rtsp, 1 + 2 * number)
        places[box.name] = {"rtsp": where, "http": await listen(box.http, 2 + 2 * number)}
        rows.append(
            {
                "instanceId": box.name,
                "hostPort": where,
                "zone": "room",
                "machineType": "toy",
                "cell": number,
                "lifecycle": "active",
                "weight": 1,
                "startedAtMs": 0,
            }
        )
    event = {"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": rows}}
    line = json.dumps(event).encode()
    log = await listen(lambda r, w: changelog(r, w, line), 0)
    print(json.dumps({"changelog": log, "boxes": places}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 7100))
