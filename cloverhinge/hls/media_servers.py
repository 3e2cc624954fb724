"""Towards the media boxes' HTTP side: set-ups, releases, rungs and manifests.

    PUT /sessions/ID      {"class", "title", "rung", "wait_ms"}: 200 and a manifest when the session stands
    GET /sessions/ID      its manifest as it is now
    PATCH /sessions/ID    {"rung"}
    DELETE /sessions/ID   given up, or over

A refusal of a set-up: 503 when the box turned it away before anything ran, 504 when it broke on its way; any
other status is an error after which it may have run.
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

FETCH_TIMEOUT_MS = 1500.0
MAX_RELEASE_TRIES = 4
RELEASE_PAUSE_MS = 250.0
MAX_RELEASES = 512
MAX_BODY_BYTES = 16 * 1024  # of answers that hold no manifest
REFUSAL_OUTCOMES = {503: Outcome.FULL, 504: Outcome.RESET}


class NotSent(Exception):
    """The attempt ended before its first byte was written."""


class AnswerTooLong(Exception):
    """An answer is longer than this router reads."""


class AnswerTimeout(Exception):
    """The box took too long."""


class SessionGone(Exception):
    """The box doesn't hold the session."""


class UnusableAnswer(Exception):
    """The box gave no answer that can be used."""


@implementer(IStreamClientEndpoint)
class _CheckedEndpoint:
    """Asks `check` between the connection and the first byte on it."""

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
        target = TCP4ClientEndpoint(self.reactor, uri.host.decode(), uri.port, self.connect_ms / 1000.0)
        return _CheckedEndpoint(target, self.check)


@implementer(IBodyProducer)
class _JsonBody:
    """A short body, written in one piece."""

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
    """Reads a body of at most so many bytes."""

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
                self.done.errback(reason)  # cut short: what was read is not whole


class HlsServers:
    """The core's `Boxes` over HTTP."""

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
        box = self.servers.get(server)
        if box is None:
            return None
        host, port = self.addresses_by_name.get(box.name, (box.host, self.default_port))
        return f"http://{host}:{port}/"

    async def _exchange(
        self,
        agent: Any,
        method: str,
        url: str,
        told: dict[str, Any] | None,
        most: int,
    ) -> tuple[int, bytes]:
        body = None if told is None else _JsonBody(told)
        headers = Headers({b"User-Agent": [b"cloverhinge"]})
        if told is not None:
            headers.addRawHeader(b"Content-Type", b"application/json")
        response = await agent.request(method.encode(), url.encode(), headers, body)
        reader = _BodyReader(most)
        response.deliverBody(reader)
        return response.code, await reader.done

    def _with_timeout(self, work: Any, ms: float) -> Deferred[Any]:
        """Run it as a Deferred that is cancelled after so long."""
        deferred: Deferred[Any] = ensureDeferred(work)
        late: list[bool] = []

        def expire() -> None:
            late.append(True)
            deferred.cancel()

        key: DeadlineKey = self.deadlines.after(ms, expire)

        def stop(result: Any) -> Any:
            self.deadlines.cancel(key)
            if late and isinstance(result, Failure):
                raise AnswerTimeout
            return result

        return deferred.addBoth(stop)

    # Boxes

    def set_up(self, attempt: Attempt) -> None:
        self.open_attempts[attempt] = None
        work = ensureDeferred(self._set_up(attempt))
        if attempt in self.open_attempts:
            self.open_attempts[attempt] = work

    async def _set_up(self, attempt: Attempt) -> None:
        request, ask = attempt.request, attempt.request.set_up
        base = self.base_url(attempt.server)
        try:
            if base is None:
                raise NotSent
            url = f"{base}sessions/{ask.session_id}"
            wait_ms = max(1, round(attempt.until_ms - self.deadlines.clock.now()))
            told = {
                "class": ask.class_name,
                "title": ask.title,
                "wait_ms": wait_ms,
                "rung": request.service_class.floor if request.rung is None else request.rung,
            }
            # A connection of its own, never one of the pool: one that the box has closed meanwhile would
            # leave open whether the set-up ran.
            endpoints = _CheckedEndpointFactory(
                self.reactor, self.connect_ms, lambda: self.router.may_write(attempt)
            )
            agent = Agent.usingEndpointFactory(self.reactor, endpoints)
            status, body = await self._exchange(agent, "PUT", url, told, self.max_bytes)
            if status != 200:
                self.router.attempt_ended(attempt, REFUSAL_OUTCOMES.get(status, Outcome.ERROR))
                return
            manifest = manifests.parse(body, self.max_bytes)
            manifests.rewrite(manifest, url, lambda n: "", float("inf"))
            if not self.router.answered(attempt, body):
                self.release_session(attempt.server, ask.session_id)
        except NotSent:
            self.router.attempt_ended(attempt, Outcome.MOOT)
        except (manifests.BadManifest, AnswerTooLong) as error:
            # It stands at the box, but nobody can play it.
            self.log.warn("box {box}: {error}", box=attempt.server, error=str(error) or "manifest too long")
            self.router.attempt_ended(attempt, Outcome.ERROR)
            self.release_session(attempt.server, ask.session_id)
        except Exception as error:  # whatever became of the connection
            if attempt not in self.open_attempts:
                return  # given up, which broke it off: `give_up` has told the box
            self.log.info("box {box}: set-up broke: {error}", box=attempt.server, error=repr(error)[:200])
            self.router.attempt_ended(attempt, Outcome.RESET if attempt.written else Outcome.CONNECT_FAILED)
            if attempt.written:
                self.release_session(attempt.server, ask.session_id)
        finally:
            self.open_attempts.pop(attempt, None)

    def give_up(self, attempt: Attempt) -> None:
        work = self.open_attempts.pop(attempt, None)
        if work is not None:
            work.cancel()
        if attempt.written:
            self.release_session(attempt.server, attempt.request.set_up.session_id)

    def release(self, request: Request, cause: Cause) -> None:
        if request.server is not None:
            self.release_session(request.server, request.set_up.session_id)

    def release_session(self, server: int, name: str) -> None:
        base = self.base_url(server)
        if base is not None and self.open_releases < MAX_RELEASES:
            self.open_releases += 1
            self._with_timeout(self._delete(f"{base}sessions/{name}"), 8000.0).addBoth(self._released)

    def _released(self, result: Any) -> None:
        self.open_releases -= 1

    async def _delete(self, url: str) -> None:
        for tried in range(MAX_RELEASE_TRIES):
            try:
                asked = self._exchange(self.agent, "DELETE", url, None, MAX_BODY_BYTES)
                status, _ = await self._with_timeout(asked, FETCH_TIMEOUT_MS)
                if status < 500:
                    return
            except Exception as error:
                self.log.info("release of {url}: {error}", url=url, error=repr(error)[:200])
            pause: Deferred[None] = Deferred()
            self.deadlines.after(RELEASE_PAUSE_MS * 2**tried, partial(pause.callback, None))
            await pause

    def set_rung(self, request: Request, rung: int) -> None:
        base = self.base_url(request.server or 0)
        if base is not None:
            url = f"{base}sessions/{request.set_up.session_id}"
            asked = self._exchange(self.agent, "PATCH", url, {"rung": rung}, MAX_BODY_BYTES)
            self._with_timeout(asked, FETCH_TIMEOUT_MS).addErrback(
                lambda failure: self.log.info("rung: {error}", error=repr(failure.value)[:200])
            )

    # Manifests

    async def fetch(self, url: str) -> manifests.Manifest:
        """A manifest as it is now; raises `Gone`, `Unusable`, `BadManifest`, or `Late`."""
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
