"""The shutdown of a router after SIGTERM, as a sequence of explicit phases.

    SERVING -> ACCEPTING -> CLOSING -> LEAVING -> STOPPED

While ACCEPTING, new connections and requests are still accepted, as clients do not know of the shutdown yet.
While CLOSING, nothing listens any more, and each connection is closed at a moment at which it has no pending
answer and no unread input.  While LEAVING, other routers take over the sessions that this one owns.

A request could arrive between the last check for open requests and the exit.  The process therefore ends only
when a check finds no connection and no open request, so that every accepted request is answered first.
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

MAX_ACCEPT_MS = 700.0  # new requests arrive for this long after SIGTERM at most
IDLE_POLL_MS = 10.0  # interval at which connections are checked for being idle
# The shutdown may take this long beyond a client's longest wait; the platform kills the process
# 700 ms after that wait.
KILL_MARGIN_MS = 650.0
MAX_TAKE_OVER_MS = 3000.0  # for other routers to take over what this one owns: two leases
TAKE_OVER_POLL_MS = 150.0  # interval at which it is checked whether they have done so
FLUSH_MS = 50.0  # for the last writes to be sent
MAX_ACCEPTED = 256  # connections accepted from a listener's backlog before it is closed: all that it holds


class Phase(Enum):
    """The phase of a router's shutdown."""

    SERVING = "serving"
    ACCEPTING = "accepting"
    CLOSING = "closing"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Listener(Protocol):
    """A listening port of the reactor."""

    def doRead(self) -> Any:
        """Accept connections from its backlog."""

    def stopListening(self) -> Any:
        """Close the port."""
        ...


@dataclass(frozen=True, slots=True)
class Hooks:
    """What other components contribute to the phases of the shutdown."""

    listeners: Callable[[], Iterable[Listener]]  # called when they are to be closed, as some are opened late
    closed: Callable[[], None]  # called once nothing listens any more
    owns: Callable[[], bool]  # whether this router owns something that another one should take over
    ended: Callable[[], None]  # called once no request is open, or the time for that is up
    stop: Callable[[], None]  # ends the process


class Shutdown:
    """Shuts a router down without leaving a request unanswered.  Times are in milliseconds."""

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
        """`max_wait_ms`: the longest time for which any client waits for an answer."""
        self.name, self.front, self.router, self.deadlines = name, front, router, deadlines
        self.max_wait_ms, self.hooks = max_wait_ms, hooks
        self.phase = Phase.SERVING
        self.until_ms = 0.0

    def begin(self, shared_listener: bool) -> None:
        """Begin the shutdown, on SIGTERM.  A listener that another process shares is left to it at once."""
        if self.phase is not Phase.SERVING:
            return
        self.phase, self.front.ready = Phase.ACCEPTING, False  # OPTIONS is now answered with 503
        self.until_ms = self.deadlines.clock.now() + self.max_wait_ms + KILL_MARGIN_MS
        self.router.request_log.phase = self.phase.value
        self.log.info(
            "{name}: told to end, {open} requests open; accepts for {accept} ms, ends after {end} ms",
            name=self.name,
            open=self.router.open_requests,
            accept=0 if shared_listener else round(MAX_ACCEPT_MS),
            end=round(self.max_wait_ms + KILL_MARGIN_MS),
        )
        if shared_listener:
            for listener in self.hooks.listeners():
                listener.stopListening()  # the other process accepts what is in the backlog
            self._close()
        else:
            self.deadlines.after(MAX_ACCEPT_MS, self._stop_accepting)

    def _stop_accepting(self) -> None:
        for listener in self.hooks.listeners():
            self._accept_all(listener)
            listener.stopListening()
        self._close()

    def _accept_all(self, listener: Listener) -> None:
        """Accept the backlog; else its connections, made while the process was busy, would be reset."""
        for _ in range(MAX_ACCEPTED):
            count = self.front.open_connections
            listener.doRead()
            if self.front.open_connections == count:
                return

    def _close(self) -> None:
        self._set_phase(Phase.CLOSING)
        self.hooks.closed()
        self._end_connections()

    def _end_connections(self) -> None:
        now = self.deadlines.clock.now()
        remaining = self.front.close_idle(now)
        if (remaining or self.front.open_connections or self.router.open_requests) and now < self.until_ms:
            self.deadlines.after(IDLE_POLL_MS, self._end_connections)
            return
        self.log.info(
            "{name}: ending, {left} connections and {open} requests are still open",
            name=self.name,
            left=self.front.open_connections,
            open=self.router.open_requests,
        )
        self._set_phase(Phase.LEAVING)
        self.hooks.ended()
        self._leave(now + MAX_TAKE_OVER_MS)

    def _leave(self, until_ms: float) -> None:
        if self.hooks.owns() and self.deadlines.clock.now() < until_ms:
            self.deadlines.after(TAKE_OVER_POLL_MS, lambda: self._leave(until_ms))
        else:
            self.deadlines.after(FLUSH_MS, self._stop)

    def _stop(self) -> None:
        """Stop the process; a front whose connections stay open may have accepted a request meanwhile."""
        if self.router.open_requests and self.deadlines.clock.now() < self.until_ms:
            self.deadlines.after(IDLE_POLL_MS, self._stop)
            return
        self._set_phase(Phase.STOPPED)
        self.hooks.stop()

    def _set_phase(self, phase: Phase) -> None:
        self.log.info(
            "{name}: {before} is over, {phase} with {connections} connections and {open} requests open",
            name=self.name,
            before=self.phase.value,
            phase=phase.value,
            connections=self.front.open_connections,
            open=self.router.open_requests,
        )
        self.phase = phase
        self.router.request_log.phase = phase.value
