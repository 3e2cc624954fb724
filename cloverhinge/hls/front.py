"""The HLS front: answers players' HTTP fetches with manifests rewritten for their sessions.

GET /play/CLASS/TITLE?play=ID            the session's manifest; sets the session up if none is established
GET /session/TOKEN/N/SIGNATURE.m3u8      the N-th media playlist that the manifest named
GET /.well-known/acme-challenge/TOKEN    the proof for a challenge of the certificate authority
"""

from __future__ import annotations

import hashlib
import hmac
import math
import re
import secrets
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from twisted.internet.defer import ensureDeferred
from twisted.logger import Logger
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from cloverhinge.core.router import Router
from cloverhinge.decision.interface import Effect
from cloverhinge.hls import manifests
from cloverhinge.hls import media_servers as media
from cloverhinge.hls.connections import is_connected
from cloverhinge.hls.media_servers import HlsServers
from cloverhinge.hls.plays import FetchFailed, Play, PlayEnded, Plays
from cloverhinge.site import HlsSettings

PLAY_ID = re.compile(r"[A-Za-z0-9._~-]{8,128}")
SHUTDOWN_RETRY_AFTER_MS = 1000.0  # a restart takes about as long
Answer = tuple[int, str, str, dict[str, str]]  # status, text, content type, further header fields


class HlsFront(Resource):
    """The web resource of all paths that the HLS front serves."""

    isLeaf = True
    log = Logger()

    def __init__(
        self,
        settings: HlsSettings,
        router: Router,
        servers: HlsServers,
        plays: Plays,
        challenge_proof: Callable[[str], str | None] = lambda token: None,
        identify: Callable[[str, str, str, str], int] | None = None,
    ) -> None:
        """`challenge_proof` returns the proof for the token of a challenge, or None.

        `identify` is given where the site has admission: it maps the peer's address, client, proof and play
        id to the client's number, or raises ValueError.
        """
        super().__init__()  # type: ignore[no-untyped-call]
        self.identify = identify
        self.open_fetches: set[Any] = set()  # requests without an answer whose connection is open
        self.closing = False  # during a shutdown: whether each connection ends with its next answer
        self.refusing = False  # during a shutdown: whether every fetch is answered with 503
        self.settings, self.router, self.servers, self.plays, self.challenge_proof = (
            settings,
            router,
            servers,
            plays,
            challenge_proof,
        )

    def render(self, request: Any) -> Any:
        if request.method != b"GET":
            request.setHeader(b"Allow", b"GET")
            self._write(request, 405, "only GET is served here\n", "text/plain")
            return NOT_DONE_YET
        if self.refusing:
            self._refuse(request)
            return NOT_DONE_YET
        self.open_fetches.add(request)
        request.notifyFinish().addBoth(lambda _: self.open_fetches.discard(request))
        answer = ensureDeferred(self._answer(request))

        def write(result: Answer) -> None:
            if request in self.open_fetches:
                self._write(request, *result)

        def write_error(failure: Any) -> None:
            self.log.failure("a fetch failed with an unexpected error", failure=failure)
            if request in self.open_fetches:
                self._write(request, 500, "internal error\n", "text/plain")

        answer.addCallback(write).addErrback(write_error)
        return NOT_DONE_YET

    def refuse_fetches(self) -> None:
        """Answer all open fetches and every later one with 503, as the process ends."""
        self.refusing = True
        for request in list(self.open_fetches):
            self._refuse(request)

    def _refuse(self, request: Any) -> None:
        fields = {"Retry-After": str(math.ceil(SHUTDOWN_RETRY_AFTER_MS / 1000.0))}
        self._write(request, 503, "the router is shutting down\n", "text/plain", fields)

    def _write(
        self,
        request: Any,
        status: int,
        text: str,
        content_type: str,
        fields: dict[str, str] | None = None,
    ) -> None:
        request.setResponseCode(status)
        if self.closing:
            request.setHeader(b"Connection", b"close")
            request.channel.persistent = False
        for name, value in {
            "Content-Type": content_type,
            "Cache-Control": "no-store",
            "Access-Control-Allow-Origin": self.settings.allow_origin,
            **(fields or {}),
        }.items():
            request.setHeader(name.encode(), value.encode())
        data = text.encode()
        request.setHeader(b"Content-Length", str(len(data)).encode())
        request.write(data)
        request.finish()

    async def _answer(self, request: Any) -> Answer:
        try:
            parts = [part.decode("ascii") for part in request.postpath]
            match parts:
                case ["play", class_name, title]:
                    return await self._play(request, class_name, title)
                case ["session", token, number, name]:
                    return 200, await self._playlist(request, token, number, name), manifests.CONTENT_TYPE, {}
                case [".well-known", "acme-challenge", token]:
                    if (proof := self.challenge_proof(token)) is not None:
                        return 200, proof, "application/octet-stream", {}
            raise FetchFailed(404, "nothing is here")
        except UnicodeDecodeError:
            return 400, "the path is not ASCII\n", "text/plain", {}
        except FetchFailed as failure:
            fields = {}
            if failure.status == 503:
                fields["Retry-After"] = str(max(1, math.ceil(failure.retry_after_ms / 1000.0)))
                if self.identify is not None:
                    fields["X-Hold-Off"] = str(math.ceil(failure.retry_after_ms))
                if failure.reservation_token:
                    fields["X-Ticket"] = failure.reservation_token
            return failure.status, failure.reason + "\n", "text/plain", fields

    async def _play(self, request: Any, class_name: str, title_name: str) -> Answer:
        service_class, title = self.router.classes.get(class_name), self.settings.titles.get(title_name)
        if service_class is None or title is None or (title.classes and class_name not in title.classes):
            raise FetchFailed(404, "no such class or title")
        ids, values = request.args.get(b"play", []), self._query_values(request, "client", "proof", "ticket")
        if not ids:
            if values[0] or values[1]:
                raise FetchFailed(400, "a proof is made for a play id: ?play=ID&client=NAME&proof=HEX")
            if service_class.effect is not Effect.REPEATABLE:
                raise FetchFailed(400, "a paid session needs a play id: ?play=ID")
            # Redirect to a URL with a new play id, so that the player's next fetch finds the same session.
            location = f"/play/{quote(class_name)}/{quote(title_name)}?play={secrets.token_hex(16)}"
            return 302, "", "text/plain", {"Location": location}
        play_id = ids[0].decode("ascii", "replace")
        if len(ids) != 1 or not PLAY_ID.fullmatch(play_id):
            raise FetchFailed(400, "a play id is 8 to 128 letters, digits, '.', '_', '~' or '-'")
        peer, client = str(request.getClientAddress().host), -1
        if self.identify is not None:
            try:
                client = self.identify(peer, values[0], values[1], play_id)
            except ValueError as error:
                raise FetchFailed(403, str(error)) from None
        play = self.plays.find_or_add(play_id, class_name, title_name, title)
        play.peer_address, play.client_number, play.reservation_token = peer, client, values[2]
        self.plays.touch(play)
        return 200, await self._session(play, None, request), manifests.CONTENT_TYPE, {}

    @staticmethod
    def _query_values(request: Any, *names: str) -> list[str]:
        """The values of the query's parameters; "?", which no check accepts, where one occurs twice."""
        found = [request.args.get(name.encode(), [b""]) for name in names]
        return ["?" if len(values) != 1 else values[0].decode("ascii", "replace") for values in found]

    def playlist_signature(self, token: str, number: int) -> str:
        """The signature that the URL of a session's media playlist carries, in hex."""
        return hmac.new(self.settings.url_key, f"{token}/{number}".encode(), hashlib.sha256).hexdigest()[:32]

    async def _playlist(self, request: Any, token: str, number: str, name: str) -> str:
        if not re.fullmatch(r"[0-9]{1,3}", number) or not name.endswith(".m3u8"):
            raise FetchFailed(404, "nothing is here")
        if not hmac.compare_digest(name.removesuffix(".m3u8"), self.playlist_signature(token, int(number))):
            raise FetchFailed(403, "this address was not signed here")
        if token not in self.plays.by_token and self.plays.ownership is not None:
            await self.plays.ownership.find(token)
        play = self.plays.by_token.get(token)
        if play is None:
            raise FetchFailed(410, "this session is over")
        self.plays.touch(play)
        return await self._session(play, int(number), request)

    async def _session(self, play: Play, number: int | None, fetch: Any) -> str:
        """The play's manifest, or its media playlist `number`, rewritten.

        No media server is named that may not be sent to at the moment of writing.
        """
        for _ in range(2):
            try:
                request = await self.plays.established_session(play, lambda: is_connected(fetch))
                server, base = request.server or 0, self.servers.base_url(request.server or 0) or ""
                url = f"{base}sessions/{request.set_up.session_id}"
                if play.set_up_answer is not None:
                    play.manifest, play.set_up_answer = (
                        manifests.parse(play.set_up_answer, self.settings.max_manifest_bytes),
                        None,
                    )
                    manifest = play.manifest
                elif play.manifest is None or not (play.manifest.is_multivariant or number is not None):
                    manifest = play.manifest = await self.servers.fetch(url)
                else:
                    manifest = play.manifest  # a multivariant playlist does not change during a session
                max_bandwidth = self._max_bandwidth(play, request.rung)
                if number is not None:
                    url = self._playlist_url(manifest, number, url, max_bandwidth)
                    manifest = await self.servers.fetch(url)
                if not manifest.is_multivariant:
                    play.media_playlist = manifest
                    self.plays.touch(play)
                # During the fetch the media server may have been listed as draining or gone.
                if play.request is request and self.router.sendable(server):
                    return manifests.rewrite(
                        manifest, url, lambda n: self._playlist_path(play, n), max_bandwidth
                    )
            except PlayEnded:
                return manifests.ended_playlist(play.media_playlist)
            except media.SessionGone:
                if play.request is not None:
                    self.router.cut(play.request)
            except (manifests.BadManifest, media.AnswerTooLong) as error:
                raise FetchFailed(502, f"the box's manifest can't be used: {error}") from None
            except media.AnswerTimeout:
                raise FetchFailed(504, "the box gave no manifest in time") from None
            except media.UnusableAnswer as error:
                raise FetchFailed(502, str(error)) from None
        if play.ended:
            return manifests.ended_playlist(play.media_playlist)
        raise FetchFailed(503, "the session was lost", 1000.0)

    def _max_bandwidth(self, play: Play, rung: int | None) -> float:
        """The highest bandwidth in bits a second that may be named: that of the rung in force."""
        service_class, ladder = self.router.classes[play.class_name], self.router.settings.ladder_kb
        return ladder[service_class.floor if rung is None else rung] * service_class.rate_scale * 8000.0 + 1.0

    def _playlist_url(self, master: manifests.Manifest, number: int, url: str, max_bandwidth: float) -> str:
        """The URL of media playlist `number`; a variant over the cap is replaced by the best one under it."""
        if number >= len(master.renditions):
            raise FetchFailed(404, "the manifest names no such playlist")
        wanted, allowed = master.renditions[number], master.allowed_renditions(max_bandwidth)
        if wanted not in allowed:
            wanted = max((x for x in allowed if x.bandwidth is not None), key=lambda x: x.bandwidth or 0)
        return manifests.absolute_uri(wanted.uri, url)

    def _playlist_path(self, play: Play, number: int) -> str:
        return f"/session/{play.token}/{number}/{self.playlist_signature(play.token, number)}.m3u8"
