"""The HLS front, with stand-in media servers that count set-ups and a scripted player."""

from __future__ import annotations

import http.client
import json
import queue
import re
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest

from cloverhinge.lab.harness import TIMEOUT_S, FakeChangeLog, FakeMediaServer, Program, running_program

MASTER = (
    "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=800000\n{0}/low.m3u8\n"
    "#EXT-X-STREAM-INF:BANDWIDTH=1600000\n{0}/high.m3u8\n"
)
MEDIA = '#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXT-X-KEY:METHOD=AES-128,URI="k"\n#EXTINF:4,\nseg1.ts\n'


class MediaBox(FakeMediaServer):
    """A stand-in media server that serves HTTP besides RTSP."""

    def __init__(self, name: str, cell: int, arrived: queue.Queue[MediaBox]) -> None:
        self.arrived = arrived  # gets the media server of each set-up that arrives
        self.puts: list[dict[str, Any]] = []
        self.deleted: queue.Queue[str] = queue.Queue()
        self.may_answer = threading.Event()  # set-ups are answered while it is set
        self.may_answer.set()
        self.status, self.master, self.media = 200, MASTER, MEDIA
        self.drop = False  # close the connection instead of answering a set-up
        media_server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self, status: int, text: str) -> None:
                data = text.encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_PUT(self) -> None:
                content = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                media_server.puts.append({**content, "id": self.path.split("/")[-1]})
                media_server.arrived.put(media_server)
                media_server.may_answer.wait(TIMEOUT_S)
                if media_server.drop:
                    self.close_connection = True
                    return
                self.answer(media_server.status, media_server.master.format(self.path.split("/")[-1]))

            def do_GET(self) -> None:
                name = self.path.split("/")[2]
                self.answer(
                    200,
                    media_server.media if self.path.endswith(".m3u8") else media_server.master.format(name),
                )

            def do_DELETE(self) -> None:
                self.answer(200, "")
                media_server.deleted.put(self.path.split("/")[-1])

            def log_message(self, *_: Any) -> None:
                pass

        class Server(ThreadingHTTPServer):
            request_queue_size = 64

        self.web = Server(("127.0.0.1", 0), Handler)
        self.web.daemon_threads = True
        self.origin = "127.0.0.1:%d" % self.web.server_port
        threading.Thread(target=self.web.serve_forever, args=(0.05,), daemon=True).start()
        super().__init__(name, cell)

    def stop(self, reset: bool = False) -> None:
        super().stop(reset)
        self.web.shutdown()
        self.web.server_close()


class Player:
    """A client of a program's HLS front; each fetch has its own connection."""

    def __init__(self, program: Program) -> None:
        self.port = int(program.wait_for(r"HLS on 127\.0\.0\.1:(\d+)")[1])

    def get(self, path: str, method: str = "GET") -> tuple[int, dict[str, str], str]:
        link = http.client.HTTPConnection("127.0.0.1", self.port, timeout=TIMEOUT_S)
        link.request(method, path)
        response = link.getresponse()
        text = response.read().decode()
        link.close()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, text

    def abandon(self, path: str) -> None:
        """Send a fetch and close the connection without reading the answer."""
        link = http.client.HTTPConnection("127.0.0.1", self.port, timeout=TIMEOUT_S)
        link.request("GET", path)
        link.close()


HlsSite = tuple[Program, Player, list[MediaBox], FakeChangeLog]


@contextmanager
def hls_site(folder: Path, **more: Any) -> Iterator[HlsSite]:
    arrived: queue.Queue[MediaBox] = queue.Queue()
    servers = [MediaBox(f"s-{n:08x}", n, arrived) for n in range(2)]
    lines = [
        "[hls]",
        'listen = "127.0.0.1:0"',
        'key = "0123456789abcdef0123456789abcdef"',
        f'idle_s = {more.pop("idle_s", 30)}',
        "manifest_kb = 64",
        "[hls.boxes]",
        *(f'{server.name} = "{server.origin}"' for server in servers),
        "[hls.titles.intro]",
        "copies = 3",
        "[hls.titles.other]",
        "copies = 3",
    ]
    (folder / "site.toml").write_text("\n".join(lines))
    with running_program(folder, servers=servers, site_file=folder / "site.toml", **more) as (
        program,
        _,
        log,
    ):
        yield program, Player(program), servers, log


def count_set_ups(servers: list[MediaBox]) -> int:
    return sum(len(server.puts) for server in servers)


def test_a_session_s_manifest_is_rewritten_and_its_playlists_lead_through_the_router(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (_, player, servers, _log):
        status, fields, master = player.get("/play/paid/intro?play=attempt-1")
        assert (status, fields["content-type"]) == (200, "application/vnd.apple.mpegurl")
        assert fields["cache-control"] == "no-store"
        found = re.findall(r"^/session/\S+", master, re.M)
        assert len(found) == 2  # the rung in force is the highest: both variants are named
        status, _, media = player.get(found[1])
        used = next(server for server in servers if server.puts)
        session_url = f"http://{used.origin}/sessions/{used.puts[0]['id']}"
        assert status == 200 and f'URI="{session_url}/k"' in media and f"\n{session_url}/seg1.ts\n" in media
        assert used.puts[0]["class"] == "paid" and used.puts[0]["title"] == "intro"
        token, number, signature = found[0].split("/")[2:]
        assert player.get(f"/session/{token}/1/{signature}")[0] == 403
        assert player.get(f"/session/{token}/0/{'0' * 32}.m3u8")[0] == 403
        assert number == "0"


def test_repeated_fetches_of_a_player_cause_one_set_up(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (_, player, servers, _log), ThreadPoolExecutor(12) as pool:
        for server in servers:
            server.may_answer.clear()
        path = "/play/paid/intro?play=attempt-1"
        player.abandon(path)
        joined = [pool.submit(player.get, path) for _ in range(10)]
        servers[0].arrived.get(timeout=TIMEOUT_S)
        for server in servers:
            server.may_answer.set()
        assert {one.result()[0] for one in joined} == {200}
        assert {player.get(path)[0] for _ in range(5)} == {200}
        assert count_set_ups(servers) == 1
        assert player.get("/play/paid/other?play=attempt-1")[0] == 409
        assert player.get("/play/free/intro?play=attempt-1")[0] == 409
        assert count_set_ups(servers) == 1


@pytest.mark.parametrize("broken,status", [("error", 502), ("drop", 502), ("malformed", 502), ("large", 502)])
def test_a_paid_set_up_that_may_have_run_stays_failed(tmp_path: Path, broken: str, status: int) -> None:
    with hls_site(tmp_path) as (_, player, servers, _log):
        for server in servers:
            server.status = 500 if broken == "error" else 200
            server.drop = broken == "drop"
            server.master = {"malformed": "<html>", "large": "#EXTM3U\n" + "#" * 70_000}.get(broken, MASTER)
        assert [player.get("/play/paid/intro?play=attempt-1")[0] for _ in range(3)] == [status] * 3
        assert count_set_ups(servers) == 1
        if broken in ("malformed", "large"):  # the session was established, but is of no use
            used = next(server for server in servers if server.puts)
            assert used.deleted.get(timeout=TIMEOUT_S) == used.puts[0]["id"]


def test_a_set_up_that_is_not_answered_in_time_is_504_and_is_given_up(tmp_path: Path) -> None:
    classes = [{"name": "paid", "effect": "once", "aimUs": 300000, "hardLimitUs": 600000, "worth": 2.0}]
    with hls_site(tmp_path, classes=classes) as (_, player, servers, _log):
        for server in servers:
            server.may_answer.clear()
        assert [player.get("/play/paid/intro?play=attempt-1")[0] for _ in range(2)] == [504, 504]
        used = next(server for server in servers if server.puts)
        assert used.deleted.get(timeout=TIMEOUT_S) == used.puts[0]["id"] and count_set_ups(servers) == 1
        for server in servers:
            server.may_answer.set()


def test_a_refusal_has_a_retry_after_and_the_play_may_be_tried_again(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (_, player, servers, _log):
        for server in servers:
            server.status = 503
        status, fields, _ = player.get("/play/paid/intro?play=attempt-1")
        assert status == 503 and int(fields["retry-after"]) >= 1
        # Rejected before it ran, so it is tried at the other media server that holds the title.
        assert count_set_ups(servers) == 2
        for server in servers:
            server.status = 200


@pytest.mark.parametrize(
    "path,status",
    [
        ("/play/none/intro?play=attempt-1", 404),
        ("/play/free/none?play=attempt-1", 404),
        ("/other", 404),
        ("/play/paid/intro", 400),
        ("/play/paid/intro?play=short", 400),
        ("/play/paid/intro?play=%ff%ff%ff%ff%ff%ff%ff%ff", 400),
        ("/play/paid/intro?play=attempt-1&play=attempt-2", 400),
        ("/play/free/%ff?play=attempt-1", 400),
    ],
)
def test_an_invalid_request_reaches_no_media_server(tmp_path: Path, path: str, status: int) -> None:
    with hls_site(tmp_path) as (_, player, servers, _log):
        assert player.get(path)[0] == status
        assert player.get("/play/free/intro?play=attempt-1", "POST")[0] == 405
        assert count_set_ups(servers) == 0


def test_a_fetch_without_a_play_id_is_redirected_to_a_new_one(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (_, player, servers, _log):
        status, fields, _ = player.get("/play/free/intro")
        assert status == 302
        assert {player.get(fields["location"])[0] for _ in range(2)} == {200} and count_set_ups(servers) == 1


@pytest.mark.parametrize("class_name", ["free", "paid"])
def test_a_draining_media_server_is_in_no_manifest(tmp_path: Path, class_name: str) -> None:
    with hls_site(tmp_path) as (_, player, servers, log):
        path = f"/play/{class_name}/intro?play=attempt-1"
        playlist = re.findall(r"^/session/\S+", player.get(path)[2], re.M)[0]
        used = next(server for server in servers if server.puts)
        other = servers[1 - servers.index(used)]
        assert used.origin in player.get(playlist)[2]
        told_s = time.monotonic()
        log.publish([used.list_entry("leaving")])
        fetch_s = told_s
        while used.origin in player.get(playlist)[2]:
            assert fetch_s - told_s < 0.25, "a manifest fetched so late still names the media server"
            fetch_s = time.monotonic()
        for _ in range(3):
            status, _, text = player.get(playlist)
            assert status == 200 and used.origin not in text
            assert (other.origin in text) is (class_name == "free")
            assert ("#EXT-X-ENDLIST" in text) is (class_name == "paid")
        assert player.get(path)[0] == 200
        assert count_set_ups(servers) == (2 if class_name == "free" else 1)
        assert used.deleted.get(timeout=TIMEOUT_S) == used.puts[0]["id"]


def test_a_media_server_that_drains_during_a_fetch_is_not_in_the_manifest(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (program, player, servers, log), ThreadPoolExecutor(1) as pool:
        for server in servers:
            server.may_answer.clear()
        answer = pool.submit(player.get, "/play/paid/intro?play=attempt-1")
        used = servers[0].arrived.get(timeout=TIMEOUT_S)
        log.publish([used.list_entry("leaving")])
        program.wait_for("changed")
        used.may_answer.set()
        status, _, text = answer.result()
        assert status == 200 and "#EXT-X-ENDLIST" in text and used.origin not in text
        assert count_set_ups(servers) == 1


def test_an_idle_session_is_released_and_its_playlist_is_gone(tmp_path: Path) -> None:
    with hls_site(tmp_path, idle_s=0.3) as (_, player, servers, _log):
        playlist = re.findall(r"^/session/\S+", player.get("/play/free/intro?play=attempt-1")[2], re.M)[0]
        used = next(server for server in servers if server.puts)
        assert used.deleted.get(timeout=TIMEOUT_S) == used.puts[0]["id"]
        assert player.get(playlist)[0] == 410


def test_a_silent_or_trickling_connection_is_cut_and_an_idle_one_is_not(tmp_path: Path) -> None:
    """Players could hold connections for ever if bytes that complete no request renewed the time limit."""
    with hls_site(tmp_path) as (_, player, _servers, _log):
        idle = http.client.HTTPConnection("127.0.0.1", player.port, timeout=TIMEOUT_S)
        idle.request("GET", "/nothing")
        assert idle.getresponse().read()
        silent, slow = (socket.create_connection(("127.0.0.1", player.port), TIMEOUT_S) for _ in range(2))
        stop = threading.Event()

        def trickle() -> None:
            with suppress(OSError):
                while not stop.wait(0.2):
                    slow.sendall(b"G")

        threading.Thread(target=trickle, daemon=True).start()
        for player_side in (silent, slow):
            with suppress(ConnectionResetError):
                assert player_side.recv(1) == b""
        stop.set()
        idle.request("GET", "/nothing")
        assert idle.getresponse().status == 404
        for link in (silent, slow, idle):
            link.close()


@pytest.mark.parametrize("class_name", ["free", "paid"])
def test_no_further_attempt_begins_once_all_players_have_gone(tmp_path: Path, class_name: str) -> None:
    """The media server's refusal and the end of the player's connection arrive together.

    The router must notice the end before it tries the next media server.
    """
    with hls_site(tmp_path) as (program, player, servers, _log):
        for server in servers:
            server.status = 503
            server.may_answer.clear()
        link = http.client.HTTPConnection("127.0.0.1", player.port, timeout=TIMEOUT_S)
        link.request("GET", f"/play/{class_name}/intro?play=attempt-1")
        servers[0].arrived.get(timeout=TIMEOUT_S)
        program.pause()
        for server in servers:
            server.may_answer.set()
        link.close()
        program.resume()
        assert player.get(f"/play/{class_name}/other?play=attempt-2")[0] == 503
        assert [put["title"] for server in servers for put in server.puts].count("intro") == 1
        # No attempt ran, so it may be tried again; it is refused, as its media servers are full.
        assert player.get(f"/play/{class_name}/intro?play=attempt-1")[0] == 503
