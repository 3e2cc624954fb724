"""HLS manifests (RFC 8216): reading what a box made, and writing it anew for one session.

m3u8 parses and judges a manifest.  The rewritten one is made from its lines, not from m3u8's objects, which
keep one key a segment and drop tags that they don't know.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urljoin, urlsplit

import m3u8

MAX_BYTES = 256 * 1024
CONTENT_TYPE = "application/vnd.apple.mpegurl"
URI_ATTRIBUTE = re.compile(r'(?<=[:,])([A-Z0-9-]*URI)="([^"]*)"')
BANDWIDTH = re.compile(r"(?<=[:,])BANDWIDTH=(\d+)")
UNCHANGED_SCHEMES = ("skd", "data", "urn")  # names that a player resolves without a server
# Steering would send the player past the router; the others belong to blocking reloads, which it has not.
DROPPED_TAGS = (
    "#EXT-X-CONTENT-STEERING:",
    "#EXT-X-SERVER-CONTROL:",
    "#EXT-X-RENDITION-REPORT:",
    "#EXT-X-SKIP:",
)
PLAYLIST_TAGS = ("#EXT-X-MEDIA:", "#EXT-X-I-FRAME-STREAM-INF:")


class BadManifest(ValueError):
    """A box's manifest can't be used."""


@dataclass(frozen=True, slots=True)
class Rendition:
    """A media playlist that a multivariant playlist names; alternatives in `#EXT-X-MEDIA` have no rate."""

    uri: str
    bandwidth: int | None


@dataclass(frozen=True, slots=True)
class Manifest:
    lines: tuple[str, ...]
    renditions: tuple[Rendition, ...]  # none: this is a media playlist itself
    complete: bool  # it holds all there is
    duration_ms: float
    target_s: int
    next_sequence: int

    @property
    def is_multivariant(self) -> bool:
        return bool(self.renditions)

    def allowed_renditions(self, max_bandwidth: float) -> tuple[Rendition, ...]:
        """What may be named under a cap in bits a second: the lowest variant in any case."""
        rates = [x.bandwidth for x in self.renditions if x.bandwidth is not None]
        top = max(max_bandwidth, min(rates, default=0))
        return tuple(x for x in self.renditions if x.bandwidth is None or x.bandwidth <= top)


def parse(data: bytes, max_bytes: int = MAX_BYTES) -> Manifest:
    if len(data) > max_bytes:
        raise BadManifest(f"over {max_bytes} bytes")
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError:
        raise BadManifest("not UTF-8") from None
    lines = tuple(line.rstrip("\r") for line in text.split("\n"))
    if lines[0].rstrip() != "#EXTM3U":
        raise BadManifest("no #EXTM3U")
    if any(ord(c) < 32 and c != "\t" for line in lines for c in line):
        raise BadManifest("control characters")
    try:
        read = m3u8.loads(text)
    except Exception as error:  # the library raises what its parsers meet, of many types
        raise BadManifest(f"{type(error).__name__}: {error}"[:200]) from None
    renditions = _renditions(lines) if read.is_variant else ()
    if read.is_variant and not any(x.bandwidth is not None for x in renditions):
        raise BadManifest("no variant")
    if not read.is_variant and not isinstance(read.target_duration, int | float):
        raise BadManifest("no #EXT-X-TARGETDURATION")
    return Manifest(
        lines,
        renditions,
        bool(read.is_endlist),
        sum(float(segment.duration or 0.0) for segment in read.segments) * 1000.0,
        int(read.target_duration or 1),
        int(read.media_sequence or 0) + len(read.segments),
    )


def _renditions(lines: tuple[str, ...]) -> tuple[Rendition, ...]:
    found: dict[str, Rendition] = {}
    rate: int | None = None
    for line in lines:
        if line.startswith(("#EXT-X-STREAM-INF:", "#EXT-X-I-FRAME-STREAM-INF:")):
            told = BANDWIDTH.search(line)
            if told is None:
                raise BadManifest("a variant without BANDWIDTH")
            rate = int(told[1])
        uri = URI_ATTRIBUTE.search(line) if line.startswith(PLAYLIST_TAGS) else None
        if uri is not None:
            found.setdefault(uri[2], Rendition(uri[2], None if line.startswith("#EXT-X-MEDIA:") else rate))
        elif line.strip() and not line.startswith("#"):
            if rate is None:
                raise BadManifest("a variant without #EXT-X-STREAM-INF")
            found.setdefault(line.strip(), Rendition(line.strip(), rate))
            rate = None
    return tuple(found.values())


def absolute_uri(uri: str, base: str) -> str:
    """A URI of a box's manifest, which has to lead back to that box; `base` is where the manifest came from.

    Guards the drain rule: a manifest that names another box would keep it in use behind the router's back.
    """
    if "{$" in uri or re.search(r'[\s"<>\\]', uri) or not uri:
        raise BadManifest(f"{uri[:80]!r} is no usable URI")
    try:
        if urlsplit(uri).scheme in UNCHANGED_SCHEMES:
            return uri
        full, home = urlsplit(urljoin(base, uri)), urlsplit(base)
    except ValueError:
        raise BadManifest(f"{uri[:80]!r} is no usable URI") from None
    if (full.scheme, full.netloc) != (home.scheme, home.netloc):
        raise BadManifest(f"{uri[:80]!r} leads away from its box")
    return full.geturl()


def rewrite(manifest: Manifest, base: str, playlist_url: Callable[[int], str], max_bandwidth: float) -> str:
    """The manifest for one session: playlists lead through the router, all else straight to the box."""
    allowed = set(manifest.allowed_renditions(max_bandwidth))
    index = {one.uri: at for at, one in enumerate(manifest.renditions)}
    written: list[str] = []
    held: list[str] = []  # a variant's tag, until its URI tells whether it stays

    def place(uri: str) -> str:
        absolute_uri(uri, base)
        return playlist_url(index[uri])

    for line in manifest.lines:
        if line.startswith(DROPPED_TAGS):
            continue
        if line.startswith("#EXT-X-STREAM-INF:"):
            held.append(line)
        elif line.startswith(PLAYLIST_TAGS):
            uri = URI_ATTRIBUTE.search(line)
            if uri is None:
                written.append(line)
            elif manifest.renditions[index[uri[2]]] in allowed:
                written.append(line[: uri.start(2)] + place(uri[2]) + line[uri.end(2) :])
        elif line.startswith("#") or not line.strip():
            written.append(URI_ATTRIBUTE.sub(lambda m: f'{m[1]}="{absolute_uri(m[2], base)}"', line))
        elif not manifest.is_multivariant:
            written.append(absolute_uri(line.strip(), base))
        else:
            if manifest.renditions[index[line.strip()]] in allowed:
                written += [*held, place(line.strip())]
            held.clear()
    return "\n".join(written).rstrip("\n") + "\n"


def ended_playlist(manifest: Manifest | None) -> str:
    """A playlist that names no box and tells the player that nothing follows."""
    target, sequence = (manifest.target_s, manifest.next_sequence) if manifest else (1, 0)
    return (
        f"#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:{target}\n"
        f"#EXT-X-MEDIA-SEQUENCE:{sequence}\n#EXT-X-ENDLIST\n"
    )
