"""The end of a router after SIGTERM, as a sequence of explicit phases.

    SERVING -> ACCEPTING -> CLOSING -> LEAVING -> STOPPED

While ACCEPTING, new connections and requests are still taken, as clients have not heard of the end yet.
While CLOSING, nothing listens any more and each connection is ended at a moment at which nothing is owed on
it and nothing unread lies in it.  While LEAVING, other routers take over what this one owns.

Guards against requests that come between the last look at what is open and the exit: the process ends only
when a look finds no connection and no open request, so what was taken in the meantime is answered first.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from twisted.logger import Logger

from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.router import Router
from cloverhinge.rtsp.front import RtspFrontend

MAX_ACCEPT_MS = 700.0  # requests keep coming for so long after SIGTERM at the most
IDLE_POLL_MS = 10.0  # pace at which connections are looked at for a moment of rest
KILL_MARGIN_MS = 650.0  # beyond the longest wait; the platform ends the process 700 ms after that
MAX_TAKE_OVER_MS = 3000.0  # for other routers to take what this one owned: two leases
TAKE_OVER_POLL_MS = 150.0  # pace at which that is looked at
FLUSH_MS = 50.0  # for what has been written at the end to leave
MAX_ACCEPTED = 256  # connections taken from a listener's queue before it is closed: as many as it holds


class Phase(Enum):
    """Where a router stands between SIGTERM and its exit."""

    SERVING = "serving"
    ACCEPTING = "accepting"
    CLOSING = "closing"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Listener(Protocol):
    """A listening port of the reactor."""

    def doRead(self) -> Any:
        """Accept what waits in its queue."""

    def stopListening(self) -> Any: ...


@dataclass(frozen=True, slots=True)
class Hooks:
    """What others do at the phases of the end."""

    listeners: Callable[[], Iterable[Listener]]  # asked when they are closed, as some come late
    closed: Callable[[], None]  # nothing listens any more
    owns: Callable[[], bool]  # something that another router should take over
    ended: Callable[[], None]  # no request is open
    stop: Callable[[], None]  # ends the process


class Shutdown:
    """Ends a router without leaving a request unanswered.  Times are in milliseconds."""

    log = Logger()

    def __init__(
        self,
        name: str,
        front: RtspFrontend,
        router: Router,
        deadlines: Deadlines,
        max_wait_ms: float,
        hooks: Hooks,
    ) -> None:
        """`longest_ms`: the longest that any client waits for an answer."""
        self.name, self.front, self.router, self.deadlines = name, front, router, deadlines
        self.max_wait_ms, self.hooks = max_wait_ms, hooks
        self.phase = Phase.SERVING
        self.until_ms = 0.0

    def begin(self, shared_listener: bool) -> None:
        """SIGTERM has come.  A listener that another process shares is left to it at once."""
        if self.phase is not Phase.SERVING:
            return
        self.phase, self.front.ready = Phase.ACCEPTING, False
        self.until_ms = self.deadlines.clock.now() + self.max_wait_ms + KILL_MARGIN_MS
        self.log.info(
            "{name}: told to end, {open} requests open", name=self.name, open=self.router.open_requests
        )
        if shared_listener:
            for listener in self.hooks.listeners():
                listener.stopListening()  # what lies in its queue is the other process's
            self._close()
        else:
            self.deadlines.after(MAX_ACCEPT_MS, self._stop_accepting)

    def _stop_accepting(self) -> None:
        for listener in self.hooks.listeners():
            self._accept_all(listener)
            listener.stopListening()
        self._close()

    def _accept_all(self, listener: Listener) -> None:
        """Guards against resets of connections that were made while the process was busy."""
        for _ in range(MAX_ACCEPTED):
            before = self.front.open_connections
            listener.doRead()
            if self.front.open_connections == before:
                return

    def _close(self) -> None:
        self.phase = Phase.CLOSING
        self.hooks.closed()
        self._end_connections()

    def _end_connections(self) -> None:
        now = self.deadlines.clock.now()
        left = self.front.close_idle(now)
        if (left or self.front.open_connections or self.router.open_requests) and now < self.until_ms:
            self.deadlines.after(IDLE_POLL_MS, self._end_connections)
            return
        self.log.info(
            "{name}: ends, {left} connections and {open} requests left",
            name=self.name,
            left=self.front.open_connections,
            open=self.router.open_requests,
        )
        self.phase = Phase.LEAVING
        self.hooks.ended()
        self._leave(now + MAX_TAKE_OVER_MS)

    def _leave(self, until_ms: float) -> None:
        if self.hooks.owns() and self.deadlines.clock.now() < until_ms:
            self.deadlines.after(TAKE_OVER_POLL_MS, lambda: self._leave(until_ms))
        else:
            self.deadlines.after(FLUSH_MS, self._stop)

    def _stop(self) -> None:
        """A front that keeps its connections may have taken a request since."""
        if self.router.open_requests and self.deadlines.clock.now() < self.until_ms:
            self.deadlines.after(IDLE_POLL_MS, self._stop)
            return
        self.phase = Phase.STOPPED
        self.hooks.stop()
