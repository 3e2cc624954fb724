"""The shutdown of a router after SIGTERM, as a sequence of explicit phases.

    SERVING -> ACCEPTING -> CLOSING -> REFUSING -> LEAVING -> STOPPED

While ACCEPTING, new connections and requests are still accepted, as clients do not know of the shutdown yet.
While CLOSING, nothing listens any more, and each connection is closed at a moment at which it has no pending
answer and no unread input; set-ups that arrive on the others are served as long as that is possible in time.
REFUSING begins shortly before the process may be killed: every open request gets its final answer, and
later ones are refused at once, so that all connections can be closed.  While LEAVING, other routers take
over the sessions that this one owns.  A phase that has nothing left to wait for ends at once.

A request could arrive between the last check for open requests and the exit.  The process therefore ends only
when a check finds no connection and no open request, or at the end of its time, when all have been answered.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from twisted.logger import Logger

from cloverhinge.core.containment import contained
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.router import Router
from cloverhinge.rtsp.front import RtspFrontend
from cloverhinge.shutdown_schedule import ShutdownSchedule, schedule_shutdown

IDLE_POLL_MS = 10.0  # interval at which connections are checked for being idle
MAX_TAKE_OVER_MS = 3000.0  # for other routers to take over what this one owns: two leases
TAKE_OVER_POLL_MS = 150.0  # interval at which it is checked whether they have done so
FLUSH_MS = 50.0  # for the last writes to be sent
MAX_ACCEPTED = 256  # connections accepted from a listener's backlog before it is closed: all that it holds


class Phase(Enum):
    """The phase of a router's shutdown."""

    SERVING = "serving"
    ACCEPTING = "accepting"
    CLOSING = "closing"
    REFUSING = "refusing"
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
    close_idle: Callable[[], int]  # closes idle connections of other fronts; returns how many are open
    answer: Callable[[], None]  # sends the answers that components hold back
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
        longest_deadline_ms: float,
        hooks: Hooks,
    ) -> None:
        """`longest_deadline_ms`: the longest time for which any client waits for an answer."""
        self.name, self.front, self.router, self.deadlines = name, front, router, deadlines
        self.longest_deadline_ms, self.hooks = longest_deadline_ms, hooks
        self.phase = Phase.SERVING
        self.schedule: ShutdownSchedule

    def begin(self, shared_listener: bool, signalled_ms: float) -> None:
        """Begin the shutdown that SIGTERM has asked for at `signalled_ms`.

        A listener that another process shares is left to it at once.
        """
        if self.phase is not Phase.SERVING:
            return
        self.schedule = schedule_shutdown(signalled_ms, self.longest_deadline_ms)
        self.front.ready = False  # OPTIONS is now answered with 503
        self.router.answer_until_ms = self.schedule.answer_until_ms
        self.log.info(
            "{name}: told to end, {open} requests open; accepts for {accept} ms, answers all within "
            "{answer} ms, ends within {exit} ms",
            name=self.name,
            open=self.router.open_requests,
            accept=0 if shared_listener else round(self.schedule.accept_until_ms - signalled_ms),
            answer=round(self.schedule.answer_until_ms - signalled_ms),
            exit=round(self.schedule.exit_ms - signalled_ms),
        )
        self._set_phase(Phase.ACCEPTING)
        self.deadlines.schedule(self.schedule.answer_until_ms, self._answer_all)
        self.deadlines.schedule(self.schedule.close_until_ms, self._close_all)
        if shared_listener:
            for listener in self.hooks.listeners():
                listener.stopListening()  # the other process accepts what is in the backlog
            self._close()
        else:
            self.deadlines.schedule(self.schedule.accept_until_ms, self._stop_accepting)

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
        if self.phase is Phase.ACCEPTING:
            self._set_phase(Phase.CLOSING)
        self.hooks.closed()
        self._end_connections()

    def _answer_all(self) -> None:
        """Answer every open request, as the process may be killed soon."""
        if self.phase in (Phase.ACCEPTING, Phase.CLOSING):
            self._set_phase(Phase.REFUSING)
            with contained("open requests are answered"):
                self.router.answer_open_requests()
            self.hooks.answer()

    def _close_all(self) -> None:
        if self.phase is Phase.REFUSING:
            self.front.close_all()

    def _end_connections(self) -> None:
        now = self.deadlines.clock.now()
        remaining = 1  # unless it can be counted
        with contained("idle connections are closed"):
            self.front.close_idle(now)
            remaining = self.front.open_connections + self.hooks.close_idle()
        if (remaining or self.router.open_requests) and now < self.schedule.exit_ms:
            self.deadlines.after(IDLE_POLL_MS, self._end_connections)
            return
        self._set_phase(Phase.LEAVING)
        with contained("components are told of the end"):
            self.hooks.ended()
        self._leave(now + MAX_TAKE_OVER_MS)

    def _leave(self, until_ms: float) -> None:
        if self.hooks.owns() and self.deadlines.clock.now() < until_ms:
            self.deadlines.after(TAKE_OVER_POLL_MS, lambda: self._leave(until_ms))
        else:
            self.deadlines.after(FLUSH_MS, self._stop)

    def _stop(self) -> None:
        self._set_phase(Phase.STOPPED)
        self.hooks.stop()

    def _set_phase(self, phase: Phase) -> None:
        if self.phase is not Phase.SERVING:
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
