"""HTTP client of the media servers: set-ups, releases, rungs and manifests.

    PUT /sessions/ID      {"class", "title", "rung", "wait_ms"}: 200 and a manifest once it is established
    GET /sessions/ID      its current manifest
    PATCH /sessions/ID    {"rung"}
    DELETE /sessions/ID   the set-up is given up, or the session is over

A set-up is refused with 503 if the media server rejected it before anything ran, or with 504 if it was lost
on the way; any other status is an error after which it may have run.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import urlsplit

from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.logger import Logger
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.core.model import Attempt, Cause, Request
from cloverhinge.core.router import Router
from cloverhinge.decision.interface import Outcome
from cloverhinge.discovery.updates import ServerAddress
from cloverhinge.hls import manifests

FETCH_TIMEOUT_MS = 1500.0  # for one exchange other than a set-up
MAX_RELEASE_TRIES = 4
RELEASE_PAUSE_MS = 250.0  # before the second try; doubled before each later one
MAX_RELEASES = 512  # releases open at a time
MAX_BODY_BYTES = 16 * 1024  # of answers without a manifest
REFUSAL_OUTCOMES = {503: Outcome.FULL, 504: Outcome.RESET}


class NotSent(Exception):
    """The attempt ended before the first byte of its request was written."""


class AnswerTooLong(Exception):
    """An answer is longer than the limit."""


class AnswerTimeout(Exception):
    """A media server gave no answer in time."""


class SessionGone(Exception):
    """The media server does not know the session."""


class UnusableAnswer(Exception):
    """The media server gave no usable answer."""


@implementer(IStreamClientEndpoint)
class _CheckedEndpoint:
    """An endpoint that calls `check` once connected; where it is false, the connection is aborted unused."""

    def __init__(self, endpoint: Any, check: Callable[[], bool]) -> None:
        self.endpoint, self.check = endpoint, check

    def connect(self, factory: Any) -> Any:
        return self.endpoint.connect(factory).addCallback(self._connected)

    def _connected(self, protocol: Any) -> Any:
        if not self.check():
            protocol.transport.abortConnection()
            raise NotSent
        return protocol


@implementer(IAgentEndpointFactory)
class _CheckedEndpointFactory:
    def __init__(self, reactor: Any, connect_ms: float, check: Callable[[], bool]) -> None:
        self.reactor, self.connect_ms, self.check = reactor, connect_ms, check

    def endpointForURI(self, uri: Any) -> Any:
        endpoint = TCP4ClientEndpoint(self.reactor, uri.host.decode(), uri.port, self.connect_ms / 1000.0)
        return _CheckedEndpoint(endpoint, self.check)


@implementer(IBodyProducer)
class _JsonBody:
    """A short JSON body, written in one piece."""

    def __init__(self, content: dict[str, Any]) -> None:
        self.data = json.dumps(content).encode()
        self.length = len(self.data)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        consumer.write(self.data)
        return succeed(None)

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass


class _BodyReader(Protocol):
    """Reads a body of at most `max_bytes`; `done` fails with `AnswerTooLong` on a longer one."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.data = max_bytes, bytearray()
        self.done: Deferred[bytes] = Deferred(lambda _: self.abort())

    def abort(self) -> None:
        transport: Any = self.transport
        if transport is not None and getattr(transport, "abortConnection", None):
            transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        if len(self.data) > self.max_bytes and not self.done.called:
            self.done.errback(AnswerTooLong())
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self.done.called:
            if isinstance(reason.value, ResponseDone):
                self.done.callback(bytes(self.data))
            else:
                self.done.errback(reason)  # the connection was cut and the body is incomplete


class HlsServers:
    """The core's `ServerPort` over HTTP, and the source of manifests.

    A media server's HTTP address is the one in `addresses_by_name`, else its host with `default_port`.
    """

    log = Logger()

    def __init__(
        self,
        reactor: Any,
        router: Router,
        deadlines: Deadlines,
        connect_ms: float,
        servers: dict[int, ServerAddress],
        default_port: int,
        addresses_by_name: dict[str, tuple[str, int]],
        max_bytes: int,
    ) -> None:
        self.reactor, self.router, self.deadlines, self.connect_ms = reactor, router, deadlines, connect_ms
        self.servers, self.default_port, self.addresses_by_name, self.max_bytes = (
            servers,
            default_port,
            addresses_by_name,
            max_bytes,
        )
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.maxPersistentPerHost, self.pool.cachedConnectionTimeout = 4, 10
        endpoints = _CheckedEndpointFactory(reactor, connect_ms, lambda: True)
        self.agent = Agent.usingEndpointFactory(reactor, endpoints, self.pool)
        self.open_attempts: dict[Attempt, Deferred[None] | None] = {}
        self.open_releases = 0

    def base_url(self, server: int) -> str | None:
        """The URL of a media server's HTTP root, or None if the server is not listed."""
        address = self.servers.get(server)
        if address is None:
            return None
        host, port = self.addresses_by_name.get(address.name, (address.host, self.default_port))
        return f"http://{host}:{port}/"

    async def _exchange(
        self,
        agent: Any,
        method: str,
        url: str,
        content: dict[str, Any] | None,
        max_bytes: int,
    ) -> tuple[int, bytes]:
        body = None if content is None else _JsonBody(content)
        headers = Headers({b"User-Agent": [b"cloverhinge"]})
        if content is not None:
            headers.addRawHeader(b"Content-Type", b"application/json")
        response = await agent.request(method.encode(), url.encode(), headers, body)
        reader = _BodyReader(max_bytes)
        response.deliverBody(reader)
        return response.code, await reader.done

    def _with_timeout(self, work: Any, ms: float) -> Deferred[Any]:
        """Run a coroutine as a Deferred that is cancelled after `ms` and then fails with `AnswerTimeout`."""
        deferred: Deferred[Any] = ensureDeferred(work)
        timed_out: list[bool] = []

        def expire() -> None:
            timed_out.append(True)
            deferred.cancel()

        key: DeadlineKey = self.deadlines.after(ms, expire)

        def stop(result: Any) -> Any:
            self.deadlines.cancel(key)
            if timed_out and isinstance(result, Failure):
                raise AnswerTimeout
            return result

        return deferred.addBoth(stop)

    # ServerPort

    def set_up(self, attempt: Attempt) -> None:
        """Send a set-up; its result is reported to the router."""
        self.open_attempts[attempt] = None
        work = ensureDeferred(self._set_up(attempt))
        if attempt in self.open_attempts:
            self.open_attempts[attempt] = work

    async def _set_up(self, attempt: Attempt) -> None:
        request, set_up = attempt.request, attempt.request.set_up
        base = self.base_url(attempt.server)
        try:
            if base is None:
                raise NotSent
            url = f"{base}sessions/{set_up.session_id}"
            wait_ms = max(1, round(attempt.until_ms - self.deadlines.clock.now()))
            content = {
                "class": set_up.class_name,
                "title": set_up.title,
                "wait_ms": wait_ms,
                "rung": request.service_class.floor if request.rung is None else request.rung,
            }
            # A new connection, never a pooled one: if the media server had closed a pooled one meanwhile, it
            # would be unknown whether the set-up ran.
            endpoints = _CheckedEndpointFactory(
                self.reactor, self.connect_ms, lambda: self.router.may_write(attempt)
            )
            agent = Agent.usingEndpointFactory(self.reactor, endpoints)
            status, body = await self._exchange(agent, "PUT", url, content, self.max_bytes)
            if status != 200:
                self.router.attempt_ended(attempt, REFUSAL_OUTCOMES.get(status, Outcome.ERROR))
                return
            manifest = manifests.parse(body, self.max_bytes)
            manifests.rewrite(manifest, url, lambda n: "", float("inf"))
            if not self.router.answered(attempt, body):
                self.release_session(attempt.server, set_up.session_id)
        except NotSent:
            self.router.attempt_ended(attempt, Outcome.MOOT)
        except (manifests.BadManifest, AnswerTooLong) as error:
            # The session is established at the media server, but nobody can play it.
            self.log.warn(
                "media server {server}: unusable manifest in the answer to a set-up: {error}",
                server=attempt.server,
                error=str(error) or "manifest too long",
            )
            self.router.attempt_ended(attempt, Outcome.ERROR)
            self.release_session(attempt.server, set_up.session_id)
        except Exception as error:  # any failure of the connection
            if attempt not in self.open_attempts:
                return  # cancelled by `give_up`, which releases the session itself
            self.log.info(
                "media server {server}: set-up failed: {error}",
                server=attempt.server,
                error=repr(error)[:200],
            )
            self.router.attempt_ended(attempt, Outcome.RESET if attempt.written else Outcome.CONNECT_FAILED)
            if attempt.written:
                self.release_session(attempt.server, set_up.session_id)
        finally:
            self.open_attempts.pop(attempt, None)

    def give_up(self, attempt: Attempt) -> None:
        """Cancel a set-up; if it was written, the session that it may have made is released."""
        work = self.open_attempts.pop(attempt, None)
        if work is not None:
            work.cancel()
        if attempt.written:
            self.release_session(attempt.server, attempt.request.set_up.session_id)

    def release(self, request: Request, cause: Cause) -> None:
        """Release an established session; the cause is not sent over HTTP."""
        if request.server is not None:
            self.release_session(request.server, request.set_up.session_id)

    def release_session(self, server: int, session_id: str) -> None:
        """Release a session at a media server, with retries; dropped if too many releases are open."""
        base = self.base_url(server)
        if base is not None and self.open_releases < MAX_RELEASES:
            self.open_releases += 1
            self._with_timeout(self._delete(f"{base}sessions/{session_id}"), 8000.0).addBoth(self._released)

    def _released(self, result: Any) -> None:
        self.open_releases -= 1

    async def _delete(self, url: str) -> None:
        for tries in range(MAX_RELEASE_TRIES):
            try:
                exchange = self._exchange(self.agent, "DELETE", url, None, MAX_BODY_BYTES)
                status, _ = await self._with_timeout(exchange, FETCH_TIMEOUT_MS)
                if status < 500:
                    return
            except Exception as error:
                self.log.info("release of {url} failed: {error}", url=url, error=repr(error)[:200])
            pause: Deferred[None] = Deferred()
            self.deadlines.after(RELEASE_PAUSE_MS * 2**tries, partial(pause.callback, None))
            await pause

    def set_rung(self, request: Request, rung: int) -> None:
        """Tell the media server the session's new rung, once and without waiting for the answer."""
        base = self.base_url(request.server or 0)
        if base is not None:
            url = f"{base}sessions/{request.set_up.session_id}"
            exchange = self._exchange(self.agent, "PATCH", url, {"rung": rung}, MAX_BODY_BYTES)
            self._with_timeout(exchange, FETCH_TIMEOUT_MS).addErrback(
                lambda failure: self.log.info(
                    "change of rung failed: {error}", error=repr(failure.value)[:200]
                )
            )

    # Manifests

    async def fetch(self, url: str) -> manifests.Manifest:
        """The current manifest at a URL.

        Raises `SessionGone`, `UnusableAnswer`, `BadManifest`, `AnswerTooLong` or `AnswerTimeout`.
        """
        try:
            status, body = await self._with_timeout(
                self._exchange(self.agent, "GET", url, None, self.max_bytes), FETCH_TIMEOUT_MS
            )
        except (AnswerTooLong, AnswerTimeout):
            raise
        except Exception as error:
            raise UnusableAnswer(f"{urlsplit(url).netloc}: {error!r}"[:200]) from None
        if status in (404, 410):
            raise SessionGone
        if status != 200:
            raise UnusableAnswer(f"{urlsplit(url).netloc}: status {status}")
        return manifests.parse(body, self.max_bytes)
