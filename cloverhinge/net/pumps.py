"""Towards the pumps: lines to those in use, probes, and the watch for silent machines.

A line is opened when there is something to send, or when sessions stand whose release has to be heard: each
handshake costs the pump work and takes one of its few connections, times the number of routers.  A set-up has
its line for itself as long as there are lines enough, so that an answer which is spoilt, late or never comes
costs no other set-up.  After anything unreadable nothing on that line is trusted.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.logger import Logger
from twisted.python.failure import Failure

from cloverhinge.core.clock import Clock
from cloverhinge.core.deadlines import Deadlines, Key
from cloverhinge.core.model import Attempt, Cause, Request, State
from cloverhinge.core.router import Router
from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome
from cloverhinge.net import rtsp
from cloverhinge.net.changelog import Box

PROBE_MS = 300.0
SWEEP_MS = 400.0
SILENT_MS = 5500.0  # a pump with sessions that said nothing for so long has to take a new connection
DEAD_MS = 7000.0  # one that took none for so long has lost its sessions; the rule allows 8 s
SHORT_MS = 1000.0  # a line that lasted so long is opened anew at once
REFUSED_MS = 2500.0  # a pump that refuses connections for so long holds no session any more
RETRY_MS = (200.0, 2000.0)  # pause before a failed connection is tried again
IDLE_SHARE = 0.6  # of the time after which idle connections are closed, a line without traffic is given up
RETIRE_MS = 1500.0  # a replaced line is read for so long after its end was announced
UNREAD_MS = 50.0  # for the reactor to read what lies in a socket
PARTIAL_MS = 400.0  # a message that is not whole so long after its first part never will be
SPARE_MS = 5000.0  # a line beyond the first that carried no set-up for so long is closed
LINES_MOST = 8  # to one pump; as many as there are set-ups under way to it at once on the busiest days
HELD_MOST = 256  # releases kept for a pump that can't be reached
REFUSALS = {453: Outcome.FULL, 454: Outcome.MOOT, 504: Outcome.RESET}
RELEASES = {"16": Outcome.SERVED, "31": Outcome.CANCELLED, "41": Outcome.RESET}


def report_of(message: rtsp.Message) -> api.LoadReport | None:
    told = rtsp.pairs(message.headers.get("x-circuits", ""))
    figures: dict[str, float] = {}
    for name, value in told.items():
        try:
            figures[name] = float(value)
        except ValueError:
            continue
    if not figures:
        return None
    return api.LoadReport(figures.get("outstanding"), figures.get("x0"), figures.get("x1"))


def note_of(message: rtsp.Message, request: Request, server: int) -> api.Event | None:
    value = message.number("x-reading")
    match message.headers.get("x-why"):
        case "delivered":
            return api.DeliveredShare(request.handle, server, value)
        case "rung":
            return api.RungInForce(request.handle, server, int(value))
        case "link":
            return api.LinkNote(request.handle, server, value)
        case "uplink":
            return api.UplinkNote(request.handle, server, value)
    return None


@dataclass(slots=True, eq=False)
class Probe:
    """A test of a server that is out.  Its server may have left the list since, or have moved."""

    pump: Pump
    name: str
    started_ms: float
    deadline: Key | None = None


class PumpLine(rtsp.RtspProtocol):
    """One connection to a pump."""

    def __init__(self, pump: Pump) -> None:
        super().__init__()
        self.pump = pump
        self.since_ms = self.used_ms = self.traffic_ms = 0.0  # opened, last set-up, last message either way
        self.closing_ms: float | None = None  # half-closed since
        self.attempts: dict[str, Attempt] = {}
        self.probes: dict[str, Probe] = {}
        self.whole: list[rtsp.Message] = []  # read, and not handed on yet
        self.partial: Key | None = None

    def connectionMade(self) -> None:
        super().connectionMade()
        self.pump.up(self)

    def dataReceived(self, data: bytes) -> None:
        """Guards against an answer whose length is wrong: what has been read is handed on once what follows
        it is seen to be none of its leavings, and a message that stays unfinished ends the line."""
        deadlines, known = self.pump.pool.deadlines, len(self.whole)
        super().dataReceived(data)
        if not self.midway or self.gone or len(self.whole) > known:
            deadlines.cancel(self.partial)
            self.partial = None
        if self.gone:
            return
        if self.midway:
            self.partial = self.partial or deadlines.after(PARTIAL_MS, self._partial_over)
            return
        whole, self.whole = self.whole, []
        for message in whole:
            try:
                self.pump.read(self, message)
            except rtsp.Malformed as error:
                self.malformed(error, message)

    def _partial_over(self) -> None:
        """Guards against an answer thrown away after a pause of this process: its rest may lie unread."""
        self.partial = None
        if self.unread:
            self.partial = self.pump.pool.deadlines.after(UNREAD_MS, self._partial_over)
        else:
            self.drop()

    def received(self, message: rtsp.Message) -> None:
        self.whole.append(message)

    def send(self, data: bytes) -> None:
        self.traffic_ms = self.pump.pool.clock.now()
        super().send(data)

    def malformed(self, error: rtsp.Malformed, message: rtsp.Message | None = None) -> None:
        if message is not None:
            super().malformed(error, message)
            return
        self.pump.pool.log.info("pump {name}: unreadable: {error}", name=self.pump.box.name, error=str(error))
        self.drop()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
        self.pump.pool.deadlines.cancel(self.partial)
        self.pump.reset = self.pump.reset or reason.check(ConnectionLost) is not None
        self.pump.down(self)


class _Connect(ClientFactory):
    """One try to open a line, with its own time-out."""

    noisy = False

    def __init__(self, pump: Pump) -> None:
        self.pump = pump
        pool = pump.pool
        self.connector: Any = pool.reactor.connectTCP(pump.box.host, pump.box.port, self, timeout=30)
        self.deadline = pool.deadlines.after(pool.connect_ms, self.connector.stopConnecting)

    def buildProtocol(self, addr: Any) -> PumpLine:
        self.pump.pool.deadlines.cancel(self.deadline)
        return PumpLine(self.pump)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.pump.pool.deadlines.cancel(self.deadline)
        self.pump.unreached(isinstance(reason.value, ConnectionRefusedError))


@dataclass(eq=False)
class Pump:
    """A listed pump.  Keyed by its id: another one may have its address later."""

    pool: Pumps
    box: Box
    lines: list[PumpLine] = field(default_factory=list)  # for set-ups, the oldest first
    retiring: list[PumpLine] = field(default_factory=list)
    opening: int = 0  # connections on their way
    replacing: bool = False  # the next one to come up takes the place of all
    checking: bool = False  # the next one to come up only shows that the pump lives
    waiting: list[Attempt | Probe] = field(default_factory=list)
    held: deque[bytes] = field(default_factory=lambda: deque(maxlen=HELD_MOST))
    heard_ms: float = 0.0
    retry_at_ms: float = 0.0
    retry_ms: float = RETRY_MS[0]
    listed: bool = True
    reset: bool = False  # a line to it was, since one last came up
    refused_ms: float | None = None  # it takes no connection since

    def open(self) -> None:
        self.opening += 1
        _Connect(self)

    @property
    def missed(self) -> bool:
        """There is no line, and something waits for one, or sessions stand whose releases come on it."""
        wanted = self.waiting or self.held or self.pool.router.standing.get(self.box.number)
        return self.listed and not self.lines and not self.opening and bool(wanted)

    def replace(self) -> None:
        self.replacing = True
        if not self.opening:
            self.open()

    def up(self, line: PumpLine) -> None:
        self.opening, self.retry_ms = self.opening - 1, RETRY_MS[0]
        self.reset, self.refused_ms = False, None
        line.since_ms = line.used_ms = line.traffic_ms = self.heard_ms = self.pool.clock.now()
        if not self.listed:  # opened for what is still to be told, if anything is
            self.retiring.append(line)
            self._send_held(line)
            return
        if self.checking and self.lines:  # the pump lives; what it says here is read, its old lines go on
            self.retiring.append(line)
        else:
            for old in list(self.lines) if self.replacing else ():
                self.retire(old)
            self.lines.append(line)
            self.replacing = False
        self.checking = False
        self._send_held(line)
        self.flush()

    def _send_held(self, line: PumpLine) -> None:
        while self.held:
            line.send(self.held.popleft())

    def retire(self, line: PumpLine) -> None:
        """A retired line takes no set-up; it is half-closed once none is open on it, and read until the pump
        closes.

        Guards against losing a release that is on its way while the line is closed.
        """
        if line in self.lines:
            self.lines.remove(line)
            self.retiring.append(line)

    def unreached(self, refused: bool) -> None:
        self.opening -= 1
        now = self.pool.clock.now()
        self.retry_at_ms, self.retry_ms = now + self.retry_ms, min(self.retry_ms * 2, RETRY_MS[1])
        if not self.listed:
            self.held.clear()  # one try: it is on its way out
            return
        if self.lines:
            self.flush()
            return
        waiting, self.waiting = self.waiting, []
        for one in waiting:
            if isinstance(one, Attempt):
                self.pool.router.attempt_ended(one, Outcome.CONNECT_FAILED)
            else:
                self.pool.probe_ended(one, Outcome.CONNECT_FAILED)
        if not refused:
            return
        self.refused_ms = self.refused_ms or now
        standing = len(self.pool.router.standing.get(self.box.number, ()))
        # Guards against cutting what plays at a pump that takes no more connections: only where one to it was
        # reset before does a refusal show at once that no process is there.
        if standing and (self.reset or now - self.refused_ms >= REFUSED_MS):
            self.pool.log.warn("pump {name}: refuses connections, its {standing} sessions are taken as lost",
                               name=self.box.name, standing=standing)
            self.pool.router.cut_all(self.box.number)

    def down(self, line: PumpLine) -> None:
        for lines in (self.lines, self.retiring):
            if line in lines:
                lines.remove(line)
        attempts, probes = list(line.attempts.values()), list(line.probes.values())
        line.attempts.clear()
        line.probes.clear()
        now = self.pool.clock.now()
        if now - line.since_ms < SHORT_MS:  # guards against a pump that closes each connection at once
            self.retry_at_ms = now + RETRY_MS[0]
        elif self.missed:
            self.open()
        for attempt in attempts:
            # It may have run, and may stand there for nobody.
            self.tell(release(attempt.request.ask.name, Cause.CANCELLED))
            self.pool.router.attempt_ended(attempt, Outcome.RESET)
        for probe in probes:
            self.pool.probe_ended(probe, Outcome.RESET)

    def write(self, line: PumpLine, one: Attempt | Probe) -> None:
        if isinstance(one, Probe):
            line.probes[one.name] = one
            line.send(rtsp.request("OPTIONS", "rtsp://media/load", 3, one.name))
            return
        if not self.pool.router.may_write(one):
            return
        ask = one.request.ask
        line.attempts[ask.name], line.used_ms = one, self.pool.clock.now()
        fields = {"X-Call-Class": ask.class_name,
                  "X-Ring-Limit": str(max(1, round(one.until_ms - self.pool.clock.now())))}
        if one.request.rung is not None:
            fields["X-Quality"] = str(one.request.rung)
        line.send(rtsp.request("SETUP", f"rtsp://media/{ask.title}", 1, ask.name, fields, ask.body))

    def submit(self, one: Attempt | Probe) -> None:
        self.waiting.append(one)
        self.flush()

    def flush(self) -> None:
        """Write what waits: each set-up on a line for itself, on a shared one where there are no more."""
        while self.waiting:
            line = next((x for x in self.lines if not x.attempts and not x.midway), None)
            if line is None and len(self.lines) + self.opening < self.pool.lines_most():
                if self.opening < len(self.waiting):
                    self.open()
                return
            if line is None and self.opening:
                return
            if line is None:
                line = min(self.lines, key=lambda x: len(x.attempts))
            self.write(line, self.waiting.pop(0))

    def tell(self, data: bytes) -> None:
        """Something on a session that stands, on any line; kept for the next one where there is none.

        Guards against sessions that stand for nobody at a server that has left the list, whose lines drain.
        """
        writable = self.lines or [x for x in self.retiring if x.closing_ms is None and not x.gone]
        if writable:
            writable[0].send(data)
            return
        self.held.append(data)
        if not self.opening and self.pool.clock.now() >= self.retry_at_ms:
            self.open()

    def all_lines(self) -> list[PumpLine]:
        return self.retiring + self.lines

    def read(self, line: PumpLine, message: rtsp.Message) -> None:
        self.heard_ms = line.traffic_ms = self.pool.clock.now()
        if message.status:
            self.answer(line, message)
        else:
            self.told(line, message)
        self.flush()

    def answer(self, line: PumpLine, message: rtsp.Message) -> None:
        name, router = message.session, self.pool.router
        if (probe := line.probes.get(name)) is not None:
            passed = message.status == 200
            if message.status >= 200:
                self.pool.probe_ended(probe, Outcome.SERVED if passed else Outcome.ERROR, report_of(message))
            return
        if message.status < 200 or message.headers.get("cseq") != "1":
            return  # progress, or that a release was heard
        attempt = line.attempts.pop(name, None)
        if message.status != 200:
            if attempt is not None:
                outcome = REFUSALS.get(message.status, Outcome.ERROR)
                router.attempt_ended(attempt, outcome, report_of(message))
        elif attempt is None or not router.answered(attempt, message.body):
            # Guards against a session that stands for nobody: its set-up was given up while this was coming.
            standing = router.by_name.get(name)
            if (standing is None or standing.server != self.box.number) and not self.pool.handed_on(name):
                self.tell(release(name, Cause.CANCELLED))

    def told(self, line: PumpLine, message: rtsp.Message) -> None:
        name, router = message.session, self.pool.router
        request = router.by_name.get(name)
        if message.method == "TEARDOWN":
            line.send(rtsp.response(200, message.headers.get("cseq", "2"), name))
            cause = message.headers.get("reason", "").partition("cause=")[2].strip()
            outcome = RELEASES.get(cause, Outcome.RESET)
            attempt = line.attempts.pop(name, None)
            if attempt is not None:
                router.attempt_ended(attempt, Outcome.RESET, report_of(message))
            elif request is not None and request.server == self.box.number:
                router.session_over(request, outcome, report_of(message))
        elif message.method == "ANNOUNCE":
            if request is not None and request.state is State.STANDS and request.server == self.box.number:
                event = note_of(message, request, self.box.number)
                if event is not None:
                    router.note(request, event)
        elif message.method == "OPTIONS":
            line.send(rtsp.response(200, message.headers.get("cseq", "3"), name))

    def sweep(self, now: float) -> None:
        for line in list(self.retiring):
            if line.closing_ms is not None:
                if now - line.closing_ms > RETIRE_MS:
                    line.drop()
            elif not line.attempts and not line.probes:
                line.closing_ms = now
                transport: Any = line.transport
                transport.loseWriteConnection()
        if not self.listed:
            return
        for line in self.lines[1:]:
            if now - line.used_ms > SPARE_MS:
                self.retire(line)
        if self.missed and now >= self.retry_at_ms:
            self.open()
        if not self.pool.router.standing.get(self.box.number):
            self.heard_ms = now  # there is nothing to hear of
            for line in [x for x in self.lines if now - x.traffic_ms > IDLE_SHARE * self.pool.idle_ms]:
                self.retire(line)
            return
        if self.lines and now - self.lines[0].traffic_ms > IDLE_SHARE * self.pool.idle_ms:
            self.replace()
        if now - self.heard_ms > DEAD_MS and any(line.unread for line in self.all_lines()):
            return  # this process stood still: what has come meanwhile is read first
        if now - self.heard_ms > DEAD_MS:
            self.pool.log.warn("pump {name}: silent, its sessions are taken as lost", name=self.box.name)
            for line in self.all_lines():
                line.drop()
            self.pool.router.cut_all(self.box.number)
        elif now - self.heard_ms > SILENT_MS and now >= self.retry_at_ms and not self.opening:
            self.checking = True
            self.open()

    def unlist(self) -> None:
        self.listed = False
        waiting, self.waiting = self.waiting, []
        for one in waiting:
            if isinstance(one, Attempt):
                self.pool.router.attempt_ended(one, Outcome.MOOT)
            else:
                self.pool.probe_ended(one, Outcome.CONNECT_FAILED)
        for line in list(self.lines):
            self.retire(line)


def release(name: str, cause: Cause) -> bytes:
    return rtsp.request("TEARDOWN", "rtsp://media/session", 2, name, {"Reason": f"cause={cause.value}"})


class Pumps:
    """All pumps.  Implements the core's `Boxes` and `Prober` over RTSP."""

    log = Logger()

    def __init__(self, reactor: Any, router: Router, clock: Clock, deadlines: Deadlines,
                 connect_ms: float, idle_ms: float, sockets: int) -> None:
        self.reactor, self.router, self.clock, self.deadlines = reactor, router, clock, deadlines
        self.connect_ms, self.idle_ms, self.sockets = connect_ms, idle_ms, sockets
        self.pumps: dict[int, Pump] = {}
        self.unlisted: list[Pump] = []
        self.probe_count = 0
        self.parts = 1  # processes that share this router's place, and what a pump grants one router
        router.prober = self
        self.handed_on: Callable[[str], bool] = lambda name: False  # another router has it by now

    def start(self) -> None:
        self._sweep()

    def _sweep(self) -> None:
        now = self.clock.now()
        for pump in [*self.pumps.values(), *self.unlisted]:
            pump.sweep(now)
        self.unlisted = [pump for pump in self.unlisted if pump.all_lines() or pump.opening]
        self.deadlines.after(SWEEP_MS, self._sweep)

    def follow(self, boxes: dict[int, Box]) -> None:
        """The boxes that are listed now, drained ones included."""
        for number in [n for n, pump in self.pumps.items() if boxes.get(n) != pump.box]:
            pump = self.pumps.pop(number)
            self.unlisted.append(pump)
            pump.unlist()
        for number, box in boxes.items():
            if number not in self.pumps:
                self.pumps[number] = Pump(self, box, heard_ms=self.clock.now())

    def share(self, parts: int) -> None:
        """So many processes are one router to the pumps; lines beyond the part stay, but open no more."""
        self.parts = parts

    def lines_most(self) -> int:
        """To one pump; all together take a fifth of the descriptors at most."""
        return max(1, min(LINES_MOST, self.sockets // 5 // max(1, len(self.pumps))) // self.parts)

    # Boxes

    def set_up(self, attempt: Attempt) -> None:
        pump = self.pumps.get(attempt.server)
        if pump is None:
            self.router.attempt_ended(attempt, Outcome.MOOT)
        else:
            pump.submit(attempt)

    def give_up(self, attempt: Attempt) -> None:
        """Guards against looking at the successor alone: its server may have been listed anew since."""
        name = attempt.request.ask.name
        for one in self._known_as(attempt.server):
            if attempt in one.waiting:
                one.waiting.remove(attempt)
            for line in one.all_lines():
                if line.attempts.get(name) is attempt:
                    del line.attempts[name]
                    line.send(rtsp.request("TEARDOWN", "rtsp://media/session", 2, name))
                    if self.clock.now() >= attempt.until_ms:  # a line that left a set-up unanswered is spent
                        one.retire(line)

    def _known_as(self, server: int) -> list[Pump]:
        """The listed one of this number, and those whose connections still drain."""
        listed = self.pumps.get(server)
        drained = [one for one in self.unlisted if one.box.number == server]
        return drained if listed is None else [listed, *drained]

    def release(self, request: Request, cause: Cause) -> None:
        pump = self.pumps.get(request.server or 0)
        if pump is not None:
            pump.tell(release(request.ask.name, cause))

    def let_go(self, server: int, name: str) -> None:
        """What another router may have left there under this name."""
        pump = self.pumps.get(server)
        if pump is not None:
            pump.tell(release(name, Cause.CANCELLED))

    def set_rung(self, request: Request, rung: int) -> None:
        pump = self.pumps.get(request.server or 0)
        if pump is not None:
            pump.tell(rtsp.request("SET_PARAMETER", "rtsp://media/session", 4, request.ask.name,
                                   {"X-Quality": str(rung)}))

    # Prober

    def probe(self, server: int) -> None:
        pump = self.pumps.get(server)
        if pump is None:
            self.router.probed(server, Outcome.CONNECT_FAILED, 0.0, None)
            return
        self.probe_count += 1
        probe = Probe(pump, f"{self.probe_count:016x}", self.clock.now())
        probe.deadline = self.deadlines.after(PROBE_MS, lambda: self.probe_ended(probe, Outcome.TIMEOUT))
        pump.submit(probe)

    def probe_ended(self, probe: Probe, outcome: Outcome, report: api.LoadReport | None = None) -> None:
        self.deadlines.cancel(probe.deadline)
        pump = probe.pump
        if probe in pump.waiting:
            pump.waiting.remove(probe)
        for line in pump.all_lines():
            if line.probes.pop(probe.name, None) is not None and outcome is Outcome.TIMEOUT:
                pump.retire(line)
        self.router.probed(pump.box.number, outcome, self.clock.now() - probe.started_ms, report)
