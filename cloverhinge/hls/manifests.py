"""HLS manifests (RFC 8216): parses a media server's manifest and rewrites it for one session.

m3u8 parses and validates a manifest.  The rewritten one is made from the original lines, not from m3u8's
objects, which keep only one key for each segment and drop unknown tags.
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
UNCHANGED_SCHEMES = ("skd", "data", "urn")  # URIs that a player resolves without a server
# Content steering would send the player past the router; the other tags belong to blocking playlist reloads,
# which the router does not support.
DROPPED_TAGS = (
    "#EXT-X-CONTENT-STEERING:",
    "#EXT-X-SERVER-CONTROL:",
    "#EXT-X-RENDITION-REPORT:",
    "#EXT-X-SKIP:",
)
PLAYLIST_TAGS = ("#EXT-X-MEDIA:", "#EXT-X-I-FRAME-STREAM-INF:")


class BadManifest(ValueError):
    """A media server's manifest can't be used."""


@dataclass(frozen=True, slots=True)
class Rendition:
    """A media playlist that a multivariant playlist names.

    `bandwidth` is in bits a second; alternatives in `#EXT-X-MEDIA` have none.
    """

    uri: str
    bandwidth: int | None


@dataclass(frozen=True, slots=True)
class Manifest:
    """A parsed manifest: a multivariant playlist, or a media playlist."""

    lines: tuple[str, ...]
    renditions: tuple[Rendition, ...]  # empty: this is a media playlist
    complete: bool  # the playlist has its end tag, so no segment follows
    duration_ms: float
    target_s: int
    next_sequence: int

    @property
    def is_multivariant(self) -> bool:
        """Whether this is a multivariant playlist."""
        return bool(self.renditions)

    def allowed_renditions(self, max_bandwidth: float) -> tuple[Rendition, ...]:
        """Renditions within `max_bandwidth` in bits a second; the lowest variant is always included."""
        bandwidths = [x.bandwidth for x in self.renditions if x.bandwidth is not None]
        limit = max(max_bandwidth, min(bandwidths, default=0))
        return tuple(x for x in self.renditions if x.bandwidth is None or x.bandwidth <= limit)


def parse(data: bytes, max_bytes: int = MAX_BYTES) -> Manifest:
    """Parse a manifest; raises `BadManifest` on an invalid one or one of more than `max_bytes`."""
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
        parsed = m3u8.loads(text)
    except Exception as error:  # the library lets exceptions of many types through
        raise BadManifest(f"{type(error).__name__}: {error}"[:200]) from None
    renditions = _renditions(lines) if parsed.is_variant else ()
    if parsed.is_variant and not any(x.bandwidth is not None for x in renditions):
        raise BadManifest("no variant")
    if not parsed.is_variant and not isinstance(parsed.target_duration, int | float):
        raise BadManifest("no #EXT-X-TARGETDURATION")
    return Manifest(
        lines,
        renditions,
        bool(parsed.is_endlist),
        sum(float(segment.duration or 0.0) for segment in parsed.segments) * 1000.0,
        int(parsed.target_duration or 1),
        int(parsed.media_sequence or 0) + len(parsed.segments),
    )


def _renditions(lines: tuple[str, ...]) -> tuple[Rendition, ...]:
    found: dict[str, Rendition] = {}
    bandwidth: int | None = None
    for line in lines:
        if line.startswith(("#EXT-X-STREAM-INF:", "#EXT-X-I-FRAME-STREAM-INF:")):
            match = BANDWIDTH.search(line)
            if match is None:
                raise BadManifest("a variant without BANDWIDTH")
            bandwidth = int(match[1])
        uri = URI_ATTRIBUTE.search(line) if line.startswith(PLAYLIST_TAGS) else None
        if uri is not None:
            found.setdefault(
                uri[2], Rendition(uri[2], None if line.startswith("#EXT-X-MEDIA:") else bandwidth)
            )
        elif line.strip() and not line.startswith("#"):
            if bandwidth is None:
                raise BadManifest("a variant without #EXT-X-STREAM-INF")
            found.setdefault(line.strip(), Rendition(line.strip(), bandwidth))
            bandwidth = None
    return tuple(found.values())


def absolute_uri(uri: str, base: str) -> str:
    """The absolute form of a URI in a manifest that was fetched from `base`.

    Raises `BadManifest` where the URI leads to another server.  Otherwise the manifest could name a draining
    media server, which would stay in use without the router knowing.
    """
    if "{$" in uri or re.search(r'[\s"<>\\]', uri) or not uri:
        raise BadManifest(f"{uri[:80]!r} is no usable URI")
    try:
        if urlsplit(uri).scheme in UNCHANGED_SCHEMES:
            return uri
        full, origin = urlsplit(urljoin(base, uri)), urlsplit(base)
    except ValueError:
        raise BadManifest(f"{uri[:80]!r} is no usable URI") from None
    if (full.scheme, full.netloc) != (origin.scheme, origin.netloc):
        raise BadManifest(f"{uri[:80]!r} leads away from its box")
    return full.geturl()


def rewrite(manifest: Manifest, base: str, playlist_url: Callable[[int], str], max_bandwidth: float) -> str:
    """The manifest rewritten for one session.

    Media playlists get the URL that `playlist_url` returns for their index and lead through the router; all
    other URIs lead straight to the media server.  Variants over `max_bandwidth` (bits a second) are left out.
    """
    allowed = set(manifest.allowed_renditions(max_bandwidth))
    index = {rendition.uri: number for number, rendition in enumerate(manifest.renditions)}
    written: list[str] = []
    pending: list[str] = []  # a variant's tag, until its URI decides whether it is kept

    def checked_playlist_url(uri: str) -> str:
        absolute_uri(uri, base)
        return playlist_url(index[uri])

    for line in manifest.lines:
        if line.startswith(DROPPED_TAGS):
            continue
        if line.startswith("#EXT-X-STREAM-INF:"):
            pending.append(line)
        elif line.startswith(PLAYLIST_TAGS):
            uri = URI_ATTRIBUTE.search(line)
            if uri is None:
                written.append(line)
            elif manifest.renditions[index[uri[2]]] in allowed:
                written.append(line[: uri.start(2)] + checked_playlist_url(uri[2]) + line[uri.end(2) :])
        elif line.startswith("#") or not line.strip():
            written.append(URI_ATTRIBUTE.sub(lambda m: f'{m[1]}="{absolute_uri(m[2], base)}"', line))
        elif not manifest.is_multivariant:
            written.append(absolute_uri(line.strip(), base))
        else:
            if manifest.renditions[index[line.strip()]] in allowed:
                written += [*pending, checked_playlist_url(line.strip())]
            pending.clear()
    return "\n".join(written).rstrip("\n") + "\n"


def ended_playlist(manifest: Manifest | None) -> str:
    """An ended playlist that names no media server and continues the numbering of `manifest`."""
    target, sequence = (manifest.target_s, manifest.next_sequence) if manifest else (1, 0)
    return (
        f"#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:{target}\n"
        f"#EXT-X-MEDIA-SEQUENCE:{sequence}\n#EXT-X-ENDLIST\n"
    )
