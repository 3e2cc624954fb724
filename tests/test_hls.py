"""The HLS front: stand-in media boxes that count set-ups, and a scripted player that keeps fetching."""

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
    """A pump with the HTTP side of a media box."""

    def __init__(self, name: str, cell: int, arrived: queue.Queue[MediaBox]) -> None:
        self.arrived = arrived  # set-ups at any box
        self.puts: list[dict[str, Any]] = []
        self.deleted: queue.Queue[str] = queue.Queue()
        self.go = threading.Event()
        self.go.set()
        self.status, self.master, self.media = 200, MASTER, MEDIA
        self.drop = False
        box = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self, status: int, text: str) -> None:
                data = text.encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_PUT(self) -> None:
                told = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                box.puts.append({**told, "id": self.path.split("/")[-1]})
                box.arrived.put(box)
                box.go.wait(TIMEOUT_S)
                if box.drop:
                    self.close_connection = True
                    return
                self.answer(box.status, box.master.format(self.path.split("/")[-1]))

            def do_GET(self) -> None:
                name = self.path.split("/")[2]
                self.answer(200, box.media if self.path.endswith(".m3u8") else box.master.format(name))

            def do_DELETE(self) -> None:
                self.answer(200, "")
                box.deleted.put(self.path.split("/")[-1])

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
    def __init__(self, program: Program) -> None:
        self.port = int(program.wait_for(r"HLS on 127\.0\.0\.1:(\d+)")[1])

    def get(self, path: str, method: str = "GET") -> tuple[int, dict[str, str], str]:
        link = http.client.HTTPConnection("127.0.0.1", self.port, timeout=TIMEOUT_S)
        link.request(method, path)
        response = link.getresponse()
        text = response.read().decode()
        link.close()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, text

    def walk_away(self, path: str) -> None:
        """Ask, and drop the connection without reading."""
        link = http.client.HTTPConnection("127.0.0.1", self.port, timeout=TIMEOUT_S)
        link.request("GET", path)
        link.close()


Stand = tuple[Program, Player, list[MediaBox], FakeChangeLog]


@contextmanager
def hls_site(folder: Path, **more: Any) -> Iterator[Stand]:
    arrived: queue.Queue[MediaBox] = queue.Queue()
    boxes = [MediaBox(f"s-{n:08x}", n, arrived) for n in range(2)]
    told = [
        "[hls]",
        'listen = "127.0.0.1:0"',
        'key = "0123456789abcdef0123456789abcdef"',
        f'idle_s = {more.pop("idle_s", 30)}',
        "manifest_kb = 64",
        "[hls.boxes]",
        *(f'{box.name} = "{box.origin}"' for box in boxes),
        "[hls.titles.intro]",
        "copies = 3",
        "[hls.titles.other]",
        "copies = 3",
    ]
    (folder / "site.toml").write_text("\n".join(told))
    with running_program(folder, servers=boxes, site_file=folder / "site.toml", **more) as (program, _, log):
        yield program, Player(program), boxes, log


def count(boxes: list[MediaBox]) -> int:
    return sum(len(box.puts) for box in boxes)


def test_a_session_s_manifest_is_rewritten_and_its_playlists_lead_through_the_router(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (_, player, boxes, _log):
        status, fields, master = player.get("/play/paid/intro?play=attempt-1")
        assert (status, fields["content-type"]) == (200, "application/vnd.apple.mpegurl")
        assert fields["cache-control"] == "no-store"
        found = re.findall(r"^/session/\S+", master, re.M)
        assert len(found) == 2  # the rung in force is the highest: both variants are named
        status, _, media = player.get(found[1])
        taker = next(box for box in boxes if box.puts)
        home = f"http://{taker.origin}/sessions/{taker.puts[0]['id']}"
        assert status == 200 and f'URI="{home}/k"' in media and f"\n{home}/seg1.ts\n" in media
        assert taker.puts[0]["class"] == "paid" and taker.puts[0]["title"] == "intro"
        token, number, signature = found[0].split("/")[2:]
        assert player.get(f"/session/{token}/1/{signature}")[0] == 403
        assert player.get(f"/session/{token}/0/{'0' * 32}.m3u8")[0] == 403
        assert number == "0"


def test_a_player_that_fetches_again_and_again_is_set_up_once(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (_, player, boxes, _log), ThreadPoolExecutor(12) as pool:
        for box in boxes:
            box.go.clear()
        path = "/play/paid/intro?play=attempt-1"
        player.walk_away(path)
        joined = [pool.submit(player.get, path) for _ in range(10)]
        boxes[0].arrived.get(timeout=TIMEOUT_S)
        for box in boxes:
            box.go.set()
        assert {one.result()[0] for one in joined} == {200}
        assert {player.get(path)[0] for _ in range(5)} == {200}
        assert count(boxes) == 1
        assert player.get("/play/paid/other?play=attempt-1")[0] == 409
        assert player.get("/play/free/intro?play=attempt-1")[0] == 409
        assert count(boxes) == 1


@pytest.mark.parametrize("broken,status", [("error", 502), ("drop", 502), ("malformed", 502), ("large", 502)])
def test_a_paid_set_up_that_may_have_run_stays_failed(tmp_path: Path, broken: str, status: int) -> None:
    with hls_site(tmp_path) as (_, player, boxes, _log):
        for box in boxes:
            box.status = 500 if broken == "error" else 200
            box.drop = broken == "drop"
            box.master = {"malformed": "<html>", "large": "#EXTM3U\n" + "#" * 70_000}.get(broken, MASTER)
        assert [player.get("/play/paid/intro?play=attempt-1")[0] for _ in range(3)] == [status] * 3
        assert count(boxes) == 1
        if broken in ("malformed", "large"):  # it stood at the box, for nobody
            taker = next(box for box in boxes if box.puts)
            assert taker.deleted.get(timeout=TIMEOUT_S) == taker.puts[0]["id"]


def test_a_set_up_that_is_not_answered_in_time_is_504_and_is_given_up(tmp_path: Path) -> None:
    classes = [{"name": "paid", "effect": "once", "aimUs": 300000, "hardLimitUs": 600000, "worth": 2.0}]
    with hls_site(tmp_path, classes=classes) as (_, player, boxes, _log):
        for box in boxes:
            box.go.clear()
        assert [player.get("/play/paid/intro?play=attempt-1")[0] for _ in range(2)] == [504, 504]
        taker = next(box for box in boxes if box.puts)
        assert taker.deleted.get(timeout=TIMEOUT_S) == taker.puts[0]["id"] and count(boxes) == 1
        for box in boxes:
            box.go.set()


def test_a_refusal_says_when_to_come_back_and_leaves_the_play_open(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (_, player, boxes, _log):
        for box in boxes:
            box.status = 503
        status, fields, _ = player.get("/play/paid/intro?play=attempt-1")
        assert status == 503 and int(fields["retry-after"]) >= 1
        assert count(boxes) == 2  # turned away before it ran: tried at the other holder
        for box in boxes:
            box.status = 200


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
def test_what_can_t_be_asked_for_reaches_no_box(tmp_path: Path, path: str, status: int) -> None:
    with hls_site(tmp_path) as (_, player, boxes, _log):
        assert player.get(path)[0] == status
        assert player.get("/play/free/intro?play=attempt-1", "POST")[0] == 405
        assert count(boxes) == 0


def test_a_fetch_without_an_id_is_sent_on_with_one(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (_, player, boxes, _log):
        status, fields, _ = player.get("/play/free/intro")
        assert status == 302
        assert {player.get(fields["location"])[0] for _ in range(2)} == {200} and count(boxes) == 1


@pytest.mark.parametrize("class_name", ["free", "paid"])
def test_a_drained_box_is_in_no_manifest(tmp_path: Path, class_name: str) -> None:
    with hls_site(tmp_path) as (_, player, boxes, log):
        path = f"/play/{class_name}/intro?play=attempt-1"
        playlist = re.findall(r"^/session/\S+", player.get(path)[2], re.M)[0]
        taker = next(box for box in boxes if box.puts)
        other = boxes[1 - boxes.index(taker)]
        assert taker.origin in player.get(playlist)[2]
        told = time.monotonic()
        log.publish([taker.list_entry("leaving")])
        asked = told
        while taker.origin in player.get(playlist)[2]:
            assert asked - told < 0.25, "a manifest asked for so late still names the box"
            asked = time.monotonic()
        for _ in range(3):
            status, _, text = player.get(playlist)
            assert status == 200 and taker.origin not in text
            assert (other.origin in text) is (class_name == "free")
            assert ("#EXT-X-ENDLIST" in text) is (class_name == "paid")
        assert player.get(path)[0] == 200
        assert count(boxes) == (2 if class_name == "free" else 1)
        assert taker.deleted.get(timeout=TIMEOUT_S) == taker.puts[0]["id"]


def test_a_drain_while_a_manifest_is_fetched_keeps_the_box_out_of_it(tmp_path: Path) -> None:
    with hls_site(tmp_path) as (program, player, boxes, log), ThreadPoolExecutor(1) as pool:
        for box in boxes:
            box.go.clear()
        answer = pool.submit(player.get, "/play/paid/intro?play=attempt-1")
        taker = boxes[0].arrived.get(timeout=TIMEOUT_S)
        log.publish([taker.list_entry("leaving")])
        program.wait_for("changed")
        taker.go.set()
        status, _, text = answer.result()
        assert status == 200 and "#EXT-X-ENDLIST" in text and taker.origin not in text
        assert count(boxes) == 1


def test_an_idle_session_is_released_and_its_address_is_over(tmp_path: Path) -> None:
    with hls_site(tmp_path, idle_s=0.3) as (_, player, boxes, _log):
        playlist = re.findall(r"^/session/\S+", player.get("/play/free/intro?play=attempt-1")[2], re.M)[0]
        taker = next(box for box in boxes if box.puts)
        assert taker.deleted.get(timeout=TIMEOUT_S) == taker.puts[0]["id"]
        assert player.get(playlist)[0] == 410


def test_a_player_that_says_nothing_or_trickles_is_cut_and_one_that_rests_is_not(tmp_path: Path) -> None:
    """Guards the connections: bytes that complete no request renew nothing."""
    with hls_site(tmp_path) as (_, player, _boxes, _log):
        resting = http.client.HTTPConnection("127.0.0.1", player.port, timeout=TIMEOUT_S)
        resting.request("GET", "/nothing")
        assert resting.getresponse().read()
        silent, slow = (socket.create_connection(("127.0.0.1", player.port), TIMEOUT_S) for _ in range(2))
        ended = threading.Event()

        def trickle() -> None:
            with suppress(OSError):
                while not ended.wait(0.2):
                    slow.sendall(b"G")

        threading.Thread(target=trickle, daemon=True).start()
        for player_side in (silent, slow):
            with suppress(ConnectionResetError):
                assert player_side.recv(1) == b""
        ended.set()
        resting.request("GET", "/nothing")
        assert resting.getresponse().status == 404
        for link in (silent, slow, resting):
            link.close()


@pytest.mark.parametrize("class_name", ["free", "paid"])
def test_no_further_attempt_begins_once_all_players_have_gone(tmp_path: Path, class_name: str) -> None:
    """The box's refusal and the end of the player's connection are found together."""
    with hls_site(tmp_path) as (program, player, boxes, _log):
        for box in boxes:
            box.status = 503
            box.go.clear()
        link = http.client.HTTPConnection("127.0.0.1", player.port, timeout=TIMEOUT_S)
        link.request("GET", f"/play/{class_name}/intro?play=attempt-1")
        boxes[0].arrived.get(timeout=TIMEOUT_S)
        program.pause()
        for box in boxes:
            box.go.set()
        link.close()
        program.resume()
        assert player.get(f"/play/{class_name}/other?play=attempt-2")[0] == 503
        assert [put["title"] for box in boxes for put in box.puts].count("intro") == 1
        # Nothing of it ran, so it may be tried again; its boxes said that they are full, so it is refused.
        assert player.get(f"/play/{class_name}/intro?play=attempt-1")[0] == 503
