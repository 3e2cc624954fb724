"""What the connections to one media server show of the process that has its sessions; free of I/O.

A connection that comes up shows that a machine can be reached, and that some process listens there.  It does
not show that this process has the sessions set up before: the machine may have restarted.  Only a connection
that was open before proves that, by an answer on it, by an orderly close, or by staying open though something
was sent on it, as a restarted machine resets it.  The other proof is the list, which names a process's start;
it may be late, so a reset tells more than a list that names none.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

SILENCE_CHECK_MS = 5500.0  # a server with sessions that is silent this long must accept a new connection
SILENCE_LOST_MS = 7000.0  # after this much silence its sessions count as lost; the rules allow 8 s
RECONNECT_GRACE_MS = (
    1000.0  # a connection that comes up this soon after a sign of life is to the same process
)
LIST_DELAY_MS = (
    1000.0  # a list that is current this long after a connection came up tells of a restart before
)


class Verdict(Enum):
    """What has to be done about a media server that has sessions."""

    NOTHING = "nothing"
    CHECK = "open a connection, to see whether it can be reached"
    PING = "send something on the old connections, to see whether they are reset"
    PROGRESS = "send a progress message on the old connections, which costs nothing, for the same purpose"
    SILENT = "it is silent, and all its sessions are lost"
    RESTARTED = "its process may be a new one, and the sessions from before `successor_since_ms` are lost"


@dataclass(slots=True)
class ServerLiveness:
    """Signs of life of a media server, by their times in ms.

    A *successor* is the process behind connections that came up when nothing had been heard for a while; it
    may be the process that has the sessions or one that was started since.
    """

    last_sign_ms: float  # when a message was received or a connection came up, on any connection
    proven_ms: float  # when the process that has the sessions was proven to be alive
    successor_since_ms: float | None = None
    pinged_ms: float | None = None  # when the old connections were sent something, since there is a successor

    @classmethod
    def starting(cls, now: float) -> ServerLiveness:
        """The state of a server from which nothing has been expected so far."""
        return cls(now, now)

    def nothing_expected(self, now: float) -> None:
        """The server has no sessions, so its silence means nothing."""
        self.last_sign_ms = now
        self._prove(now)

    def connection_opened(self, now: float) -> None:
        """A connection has come up."""
        self.last_sign_ms = now
        if self.successor_since_ms is None and now - self.proven_ms > RECONNECT_GRACE_MS:
            self.successor_since_ms = now

    def heard(self, opened_ms: float, now: float) -> None:
        """A message, or an orderly close, was received on a connection that came up at `opened_ms`."""
        self.last_sign_ms = now
        if self.is_before_successor(opened_ms):
            self._prove(now)

    def stayed_open(self, opened_ms: float, sent_ms: float, now: float) -> None:
        """A connection that came up at `opened_ms` was not reset by what was sent on it at `sent_ms`.

        This shows life only if the server could be reached at that time.
        """
        reachable = self.last_sign_ms > sent_ms - RECONNECT_GRACE_MS
        if reachable and self.is_before_successor(opened_ms):
            self._prove(now)

    def session_heard(self, established_ms: float, now: float) -> None:
        """A message about a session was received that is established since `established_ms`."""
        if self.is_before_successor(established_ms):
            self._prove(now)

    def is_before_successor(self, ms: float) -> bool:
        """Whether a connection or session of this time belongs to the process from before."""
        return self.successor_since_ms is None or ms < self.successor_since_ms

    def judge(self, now: float, has_old_connection: bool, list_is_current: bool) -> Verdict:
        """Decide what is to be done; called regularly while the server has sessions.

        `has_old_connection` says whether a connection from before the successor is open.
        """
        if now - self.last_sign_ms > SILENCE_LOST_MS:
            return Verdict.SILENT
        if self.successor_since_ms is not None:
            verdict = self._judge_successor(self.successor_since_ms, now, has_old_connection, list_is_current)
            if verdict is not Verdict.NOTHING:
                return verdict
        if now - self.last_sign_ms > SILENCE_CHECK_MS:
            return Verdict.CHECK
        return Verdict.NOTHING

    def _judge_successor(
        self, since_ms: float, now: float, has_old_connection: bool, list_is_current: bool
    ) -> Verdict:
        unproven_ms = now - self.proven_ms
        if unproven_ms > SILENCE_CHECK_MS and has_old_connection and self.pinged_ms is None:
            return Verdict.PROGRESS if list_is_current else Verdict.PING
        if self.pinged_ms is not None and not has_old_connection:
            return Verdict.RESTARTED  # they were reset by what was sent on them
        if list_is_current:  # though its events may be late
            if unproven_ms > SILENCE_LOST_MS and now - since_ms > LIST_DELAY_MS:
                self._prove(now)
            return Verdict.NOTHING
        if unproven_ms > SILENCE_LOST_MS and not has_old_connection:
            return Verdict.RESTARTED
        return Verdict.NOTHING

    def pinged(self, now: float) -> None:
        """Note that the old connections have been sent something, as `judge` asked for it."""
        self.pinged_ms = now

    def accept_successor(self, now: float) -> float:
        """Take the successor for the process that has sessions; return since when it may have had them."""
        since_ms = math.inf if self.successor_since_ms is None else self.successor_since_ms
        self._prove(now)
        return since_ms

    def _prove(self, now: float) -> None:
        self.proven_ms = now
        self.successor_since_ms = None
        self.pinged_ms = None
