"""Parsing and rewriting of manifests."""

from __future__ import annotations

import re

import pytest

from cloverhinge.hls.manifests import BadManifest, ended_playlist, parse, rewrite

BASE = "http://10.0.0.9:8080/sessions/00ff"
MASTER = b"""#EXTM3U
#EXT-X-VERSION:6
#EXT-X-CONTENT-STEERING:SERVER-URI="/steer"
#EXT-X-SESSION-KEY:METHOD=AES-128,URI="key0"
#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID="a",NAME="en",URI="audio/en.m3u8"
#EXT-X-STREAM-INF:AVERAGE-BANDWIDTH=700000,BANDWIDTH=800000,AUDIO="a"
low/index.m3u8
#EXT-X-STREAM-INF:BANDWIDTH=1600000,AUDIO="a"
high/index.m3u8
#EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=1600000,URI="high/iframes.m3u8"
"""
MEDIA = b"""#EXTM3U\r
#EXT-X-TARGETDURATION:4\r
#EXT-X-MEDIA-SEQUENCE:7\r
#EXT-X-KEY:METHOD=AES-128,URI="../key1",IV=0x01\r
#EXT-X-KEY:METHOD=SAMPLE-AES,URI="skd://key",KEYFORMAT="com.example"\r
#EXT-X-MAP:URI="init.mp4",BYTERANGE="600@0"\r
#EXT-X-CUSTOM:kept\r
#EXTINF:4.0,a title\r
/abs/seg7.m4s\r
#EXTINF:3.5,\r
seg8.m4s?x=1\r
#EXT-X-ENDLIST\r
"""


def urls(text: str) -> list[str]:
    return re.findall(r'URI="([^"]*)"', text) + [
        line for line in text.split("\n") if line and not line.startswith("#")
    ]


def test_every_uri_of_a_media_playlist_leads_to_its_media_server() -> None:
    manifest = parse(MEDIA)
    text = rewrite(manifest, BASE + "/low/index.m3u8", lambda n: "never", 0)
    origin = "http://10.0.0.9:8080"
    assert urls(text) == [
        f"{origin}/sessions/00ff/key1",
        "skd://key",
        f"{origin}/sessions/00ff/low/init.mp4",
        f"{origin}/abs/seg7.m4s",
        f"{origin}/sessions/00ff/low/seg8.m4s?x=1",
    ]
    assert "#EXT-X-CUSTOM:kept" in text and manifest.complete
    assert (manifest.duration_ms, manifest.target_s, manifest.next_sequence) == (7500.0, 4, 9)
    assert ended_playlist(manifest).split("\n")[2:] == [
        "#EXT-X-TARGETDURATION:4",
        "#EXT-X-MEDIA-SEQUENCE:9",
        "#EXT-X-ENDLIST",
        "",
    ]


@pytest.mark.parametrize(
    "max_bandwidth,named",
    [(1600000.0, ["p0", "p3", "p1", "p2"]), (900000.0, ["p0", "p1"]), (1.0, ["p0", "p1"])],
)
def test_a_multivariant_playlist_is_capped_and_leads_through_the_router(
    max_bandwidth: float, named: list[str]
) -> None:
    text = rewrite(parse(MASTER), BASE, lambda n: f"p{n}", max_bandwidth)
    assert [url for url in urls(text) if "key0" not in url] == named
    assert "http://10.0.0.9:8080/sessions/key0" in text and "STEERING" not in text
    assert text.count("#EXT-X-STREAM-INF") == len([x for x in named if x in ("p1", "p2")])


@pytest.mark.parametrize(
    "data,message",
    [
        (b"", "no #EXTM3U"),
        (b"<html>", "no #EXTM3U"),
        (b"#EXTM3U\n\xff", "UTF-8"),
        (b"#EXTM3U\n" + b"x" * 300_000, "over"),
        (b"#EXTM3U\n#EXTINF:4,\nseg.ts\n", "TARGETDURATION"),
        (b'#EXTM3U\n#EXT-X-STREAM-INF:AUDIO="a"\nv.m3u8\n', "bandwidth"),
        (b"#EXTM3U\n#EXT-X-TARGETDURATION:oops\n#EXTINF:4,\ns.ts\n", ""),
        (b"#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXTINF:4,\ns\x00.ts\n", "control"),
    ],
)
def test_an_invalid_manifest_is_refused(data: bytes, message: str) -> None:
    with pytest.raises(BadManifest, match=message):
        parse(data)


@pytest.mark.parametrize(
    "uri",
    [
        "http://10.0.0.8:8080/seg.ts",
        "//10.0.0.8/seg.ts",
        "https://10.0.0.9:8080/s",
        "http://[bad/seg.ts",
        "{$var}/seg.ts",
        "a b.ts",
    ],
)
def test_a_uri_that_leads_to_another_server_is_refused(uri: str) -> None:
    manifest = parse(f"#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXTINF:4,\n{uri}\n".encode())
    with pytest.raises(BadManifest):
        rewrite(manifest, BASE, lambda n: "", 0)
