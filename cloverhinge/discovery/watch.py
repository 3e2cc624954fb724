"""The watch on the list of media servers: follows discovery for good, over breaks, silence and moves."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.logger import Logger
from twisted.python.failure import Failure

from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.discovery.updates import ListUpdate, parse_update
from cloverhinge.net.buffered import UNREAD_MS, BufferedReceiver

# What a silent log would have told counts as told after 4 s.  A heartbeat comes each second, so silence is
# known 1.6 s after it began; a new connection that is silent too is given up 1.2 s later, and the one after
# that has told its events by 3.0 s.  A second silent one would take until 4.3 s: that is not kept.
SILENT_MS = 1600.0
FIRST_LINE_MS = 1200.0
CONNECT_MS = 700.0
BACKOFF_MS = (50.0, 1000.0)
LINE_MAX = 1 << 20


class WatchConnection(BufferedReceiver):
    MAX_LENGTH = LINE_MAX
    delimiter = b"\n"

    def __init__(self, follower: DiscoveryWatch) -> None:
        super().__init__()
        self.follower = follower

    def connectionMade(self) -> None:
        super().connectionMade()
        self.follower.connected(self)

    def lineReceived(self, line: bytes) -> None:
        if line.strip():
            self.follower.heard(self, line)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
        self.follower.lost(self)


class _Try(ClientFactory):
    """One try to connect.  What comes of it later than the next try is not listened to."""

    noisy = False

    def __init__(self, follower: DiscoveryWatch) -> None:
        self.follower = follower

    def buildProtocol(self, addr: Any) -> WatchConnection | None:
        return WatchConnection(self.follower) if self.follower.current is self else None

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        if self.follower.current is self:
            self.follower.failed()


class DiscoveryWatch:
    """Follows the change log for good: resumes after the last event it has, takes silence for a break."""

    log = Logger()

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        seq: int,
        deadlines: Deadlines,
        tell: Callable[[ListUpdate], None],
        rng: random.Random,
    ) -> None:
        self.reactor, self.address, self.seq = reactor, address, seq
        self.deadlines, self.tell, self.rng = deadlines, tell, rng
        self.connection: WatchConnection | None = None
        self.current: _Try | None = None
        self.connector: Any = None
        self.asked_again: tuple[int, int] | None = None  # a gap that the log has been asked to fill: its ends
        self.watch: DeadlineKey | None = None
        self.pause: DeadlineKey | None = None  # before the next try
        self.backoff_ms = BACKOFF_MS[0]
        self.stopped = False
        self.waiting: tuple[DeadlineKey, Callable[[], None]] | None = None  # for the last event

    def when_caught_up(self, call: Callable[[], None], most_ms: float) -> None:
        """Once a heartbeat has shown that nothing later is known, or after that time without one."""
        self.waiting = self.deadlines.after(most_ms, self._caught_up), call

    def _caught_up(self) -> None:
        if self.waiting is not None:
            (key, call), self.waiting = self.waiting, None
            self.deadlines.cancel(key)
            call()

    def start(self) -> None:
        self.pause = None
        if self.stopped:
            return
        self.watch = self.deadlines.after(CONNECT_MS, self.silent)
        self.current = _Try(self)
        self.connector = self.reactor.connectTCP(*self.address, self.current, timeout=30)

    def follow(self, address: tuple[str, int]) -> None:
        """The log has moved: ask there at once for what comes after the last event.

        Guards against waiting for the old one, which tells nothing any more though it may stay open.
        """
        if address == self.address:
            return
        self.address, self.backoff_ms = address, BACKOFF_MS[0]
        connection, self.connection = self.connection, None
        connector, self.connector, self.current = self.connector, None, None
        for key in (self.watch, self.pause):
            self.deadlines.cancel(key)
        if connection is not None:
            connection.drop()
        elif connector is not None and connector.state == "connecting":
            connector.stopConnecting()
        self.start()

    def connected(self, connection: WatchConnection) -> None:
        self.connection = connection
        connection.send(f"since {self.seq}\n".encode())
        self._watch(FIRST_LINE_MS)

    def _watch(self, limit_ms: float) -> None:
        self.deadlines.cancel(self.watch)
        self.watch = self.deadlines.after(limit_ms, self.silent)

    def silent(self) -> None:
        """Guards against a log that stands still on an open connection, or never takes a new one."""
        self.watch = None
        if self.connection is not None and self.connection.unread:
            self._watch(UNREAD_MS)  # it has spoken while this process stood still
            return
        self.log.info("change log: silent, connecting anew after event {seq}", seq=self.seq)
        if self.connection is not None:
            self.connection.drop()
        elif self.connector is not None:
            self.connector.stopConnecting()

    def failed(self) -> None:
        """The current try has come to nothing."""
        self._again()

    def lost(self, connection: WatchConnection) -> None:
        if self.connection is connection:
            self.connection = None
            self._again()

    def _again(self) -> None:
        self.deadlines.cancel(self.watch)
        if not self.stopped:
            self.pause = self.deadlines.after(self.backoff_ms * self.rng.uniform(0.7, 1.0), self.start)
            self.backoff_ms = min(self.backoff_ms * 2, BACKOFF_MS[1])

    def heard(self, connection: WatchConnection, text: bytes) -> None:
        if connection is not self.connection:
            return
        try:
            value = json.loads(text)
            change = None if isinstance(value, int) else parse_update(value)
        except ValueError as error:
            self.log.error("change log: {error}", error=str(error)[:200])
            connection.drop()
            return
        self._watch(SILENT_MS)
        last = value if isinstance(value, int) else value["seq"]
        if isinstance(value, int) or len(value) == 1:  # the last number alone: the heartbeat
            self._heartbeat(connection, last)
        elif last > self.seq and not self._asks_again(connection, last, change):
            self.seq, self.backoff_ms = last, BACKOFF_MS[0]
            if change is not None:
                self.tell(change)

    def _heartbeat(self, connection: WatchConnection, last: int) -> None:
        """Guards against calls without pause at a log that is ahead of what it tells."""
        if last > self.seq:  # events are missing: ask for them again
            connection.drop()
        else:
            self.backoff_ms = BACKOFF_MS[0]
            self._caught_up()

    def _asks_again(self, connection: WatchConnection, last: int, change: ListUpdate | None) -> bool:
        """Guards against events that got lost: a gap is asked for once more, and taken if it is told again.
        A whole list leaves no gap."""
        gap = self.seq, last
        if last == self.seq + 1 or (change is not None and change.full) or self.asked_again == gap:
            return False
        self.asked_again = gap
        self.log.info("change log: event {last} after {seq}, asks again", last=last, seq=self.seq)
        connection.drop()
        return True
