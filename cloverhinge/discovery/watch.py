"""Follows the discovery service's change log, across lost connections, silence and changes of its address."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.logger import Logger
from twisted.python.failure import Failure

from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.discovery.updates import ListUpdate, parse_update
from cloverhinge.net.buffered import UNREAD_GRACE_MS, BufferedReceiver
from cloverhinge.net.output import OutputLimits

# Events that a silent log withholds count as received 4 s after the silence began.  Heartbeats arrive every
# second, so silence is detected after 1.6 s.  If the next connection is silent as well, it is given up 1.2 s
# later, and the one after that delivers its events by 3.0 s, the sum of both times and two backoffs.  With
# a second silent reconnection it would take until 4.3 s, which misses the limit.
SILENCE_TIMEOUT_MS = 1600.0
FIRST_LINE_TIMEOUT_MS = 1200.0
CONNECT_TIMEOUT_MS = 700.0
BACKOFF_MS = (50.0, 1000.0)
MAX_LINE_BYTES = 1 << 20


class WatchConnection(BufferedReceiver):
    """A connection to the change log, which sends one JSON value per line."""

    MAX_LENGTH = MAX_LINE_BYTES
    delimiter = b"\n"

    def __init__(self, watch: DiscoveryWatch) -> None:
        super().__init__(watch.output_limits)
        self.watch = watch

    def connectionMade(self) -> None:
        super().connectionMade()
        self.watch.connected(self)

    def lineReceived(self, line: bytes) -> None:
        if line.strip():
            self.watch.line_received(self, line)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        self.watch.connection_lost(self)


class _ConnectAttempt(ClientFactory):
    """One attempt to connect.  Its result is ignored once a later attempt has begun."""

    noisy = False

    def __init__(self, watch: DiscoveryWatch) -> None:
        self.watch = watch

    def buildProtocol(self, addr: Any) -> WatchConnection | None:
        return WatchConnection(self.watch) if self.watch.current_attempt is self else None

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        if self.watch.current_attempt is self:
            self.watch.connect_failed()


class DiscoveryWatch:
    """Follows the change log until the process ends.

    Each connection resumes after the last event received.  A silent connection is treated as broken.
    """

    log = Logger()

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        seq: int,
        deadlines: Deadlines,
        on_update: Callable[[ListUpdate], None],
        rng: random.Random,
    ) -> None:
        self.reactor, self.address, self.seq = reactor, address, seq
        self.deadlines, self.on_update, self.rng = deadlines, on_update, rng
        self.output_limits = OutputLimits(deadlines)
        self.connection: WatchConnection | None = None
        self.current_attempt: _ConnectAttempt | None = None
        self.connector: Any = None
        self.refetched_gap: tuple[int, int] | None = None  # ends of the gap that was last requested again
        self.silence_deadline: DeadlineKey | None = None
        self.retry_deadline: DeadlineKey | None = None
        self.backoff_ms = BACKOFF_MS[0]
        self.last_line_ms = -math.inf  # when a line was received last
        self.stopped = False
        self.caught_up_callback: tuple[DeadlineKey, Callable[[], None]] | None = None

    def when_caught_up(self, call: Callable[[], None], timeout_ms: float) -> None:
        """Call `call` once a heartbeat shows that no event is missing, or after `timeout_ms` without one."""
        self.caught_up_callback = self.deadlines.after(timeout_ms, self._caught_up), call

    def _caught_up(self) -> None:
        if self.caught_up_callback is not None:
            (key, call), self.caught_up_callback = self.caught_up_callback, None
            self.deadlines.cancel(key)
            call()

    @property
    def is_current(self) -> bool:
        """Whether the change log is heard, so that what it knows is known here."""
        silent_ms = self.deadlines.clock.now() - self.last_line_ms
        return self.connection is not None and silent_ms <= SILENCE_TIMEOUT_MS

    def start(self) -> None:
        """Begin an attempt to connect, unless the watch is stopped."""
        self.retry_deadline = None
        if self.stopped:
            return
        self.silence_deadline = self.deadlines.after(CONNECT_TIMEOUT_MS, self.silence_timed_out)
        self.current_attempt = _ConnectAttempt(self)
        self.connector = self.reactor.connectTCP(*self.address, self.current_attempt, timeout=30)

    def set_address(self, address: tuple[str, int]) -> None:
        """Connect to the change log's new address at once and resume after the last event received.

        The old connection is aborted: it may stay open, but no further events arrive on it.
        """
        if address == self.address:
            return
        self.address, self.backoff_ms = address, BACKOFF_MS[0]
        connection, self.connection = self.connection, None
        connector, self.connector, self.current_attempt = self.connector, None, None
        for key in (self.silence_deadline, self.retry_deadline):
            self.deadlines.cancel(key)
        if connection is not None:
            connection.drop()
        elif connector is not None and connector.state == "connecting":
            connector.stopConnecting()
        self.start()

    def connected(self, connection: WatchConnection) -> None:
        """Request all events after the last one received."""
        self.connection = connection
        connection.send(f"since {self.seq}\n".encode())
        self._restart_silence_timer(FIRST_LINE_TIMEOUT_MS)

    def _restart_silence_timer(self, limit_ms: float) -> None:
        self.deadlines.cancel(self.silence_deadline)
        self.silence_deadline = self.deadlines.after(limit_ms, self.silence_timed_out)

    def silence_timed_out(self) -> None:
        """Give up a connection on which nothing arrives, or an attempt that is not accepted in time."""
        self.silence_deadline = None
        if self.connection is not None and self.connection.unread:
            self._restart_silence_timer(UNREAD_GRACE_MS)  # it arrived while this process was paused
            return
        self.log.info("change log: no data received; reconnecting after event {seq}", seq=self.seq)
        if self.connection is not None:
            self.connection.drop()
        elif self.connector is not None:
            self.connector.stopConnecting()

    def connect_failed(self) -> None:
        """The current attempt to connect has failed."""
        self._schedule_retry()

    def connection_lost(self, connection: WatchConnection) -> None:
        """Schedule a new attempt if the connection is the current one."""
        if self.connection is connection:
            self.connection = None
            self._schedule_retry()

    def _schedule_retry(self) -> None:
        self.deadlines.cancel(self.silence_deadline)
        if not self.stopped:
            self.retry_deadline = self.deadlines.after(
                self.backoff_ms * self.rng.uniform(0.7, 1.0), self.start
            )
            self.backoff_ms = min(self.backoff_ms * 2, BACKOFF_MS[1])

    def line_received(self, connection: WatchConnection, text: bytes) -> None:
        """Process a heartbeat or an event; a malformed line ends the connection."""
        if connection is not self.connection:
            return
        try:
            value = json.loads(text)
            change = None if isinstance(value, int) else parse_update(value)
        except ValueError as error:
            self.log.error("change log: {error}", error=str(error)[:200])
            connection.drop()
            return
        self._restart_silence_timer(SILENCE_TIMEOUT_MS)
        self.last_line_ms = self.deadlines.clock.now()
        last = value if isinstance(value, int) else value["seq"]
        if isinstance(value, int) or len(value) == 1:  # a heartbeat: the last sequence number alone
            self._heartbeat(connection, last)
        elif last > self.seq and not self._refetch_gap(connection, last, change):
            self.seq, self.backoff_ms = last, BACKOFF_MS[0]
            if change is not None:
                self.on_update(change)

    def _heartbeat(self, connection: WatchConnection, last: int) -> None:
        """Process a heartbeat with the log's last sequence number.

        The backoff is reset only if no event is missing.  Otherwise a log whose heartbeats run ahead of the
        events that it sends would be reconnected to without a pause.
        """
        if last > self.seq:  # events are missing: request them again
            connection.drop()
        else:
            self.backoff_ms = BACKOFF_MS[0]
            self._caught_up()

    def _refetch_gap(self, connection: WatchConnection, last: int, change: ListUpdate | None) -> bool:
        """Return whether events before `last` are missing and requested again, by a new connection.

        Each gap is requested again only once: what is still missing then is accepted.  A full list leaves no
        gap.
        """
        gap = self.seq, last
        if last == self.seq + 1 or (change is not None and change.full) or self.refetched_gap == gap:
            return False
        self.refetched_gap = gap
        self.log.info(
            "change log: event {last} follows {seq}; requesting the missing events", last=last, seq=self.seq
        )
        connection.drop()
        return True
