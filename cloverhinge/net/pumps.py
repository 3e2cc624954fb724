"""Towards the pumps: a pool with one line to each listed pump, probes, and the watch for silent machines."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.error import ConnectionRefusedError
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
SILENT_MS = 2400.0  # a pump with sessions that said nothing for so long has to take a new connection
DEAD_MS = 5000.0  # one that took none for so long has lost its sessions; the rule allows 8 s
SHORT_MS = 1000.0  # a line that lasted so long is opened anew at once
RETRY_MS = (200.0, 2000.0)  # pause before a failed connection is tried again
IDLE_SHARE = 0.6  # of the time after which idle connections are closed, a line is replaced
RETIRE_MS = 1500.0  # a replaced line is read for so long after its end was announced
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
    server: int
    name: str
    started_ms: float
    deadline: Key | None = None


class PumpLine(rtsp.RtspProtocol):
    """One connection to a pump."""

    def __init__(self, pump: Pump) -> None:
        super().__init__()
        self.pump = pump
        self.since_ms = 0.0
        self.closing_ms: float | None = None  # half-closed since
        self.attempts: dict[str, Attempt] = {}
        self.probes: dict[str, Probe] = {}

    def connectionMade(self) -> None:
        super().connectionMade()
        self.pump.up(self)

    def received(self, message: rtsp.Message) -> None:
        self.pump.heard_ms = self.pump.pool.clock.now()
        if message.status:
            self.pump.answer(self, message)
        else:
            self.pump.told(self, message)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
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
    line: PumpLine | None = None
    retiring: list[PumpLine] = field(default_factory=list)
    opening: bool = False
    waiting: list[Attempt | Probe] = field(default_factory=list)
    held: deque[bytes] = field(default_factory=lambda: deque(maxlen=HELD_MOST))
    heard_ms: float = 0.0
    retry_at_ms: float = 0.0
    retry_ms: float = RETRY_MS[0]
    listed: bool = True

    def open(self) -> None:
        if not self.opening:
            self.opening = True
            _Connect(self)

    def up(self, line: PumpLine) -> None:
        self.opening, self.retry_ms = False, RETRY_MS[0]
        line.since_ms = self.heard_ms = self.pool.clock.now()
        if not self.listed:
            line.close()
            return
        if self.line is not None:
            self.retire(self.line)
        self.line = line
        while self.held:
            line.send(self.held.popleft())
        waiting, self.waiting = self.waiting, []
        for one in waiting:
            self.write(line, one)

    def retire(self, line: PumpLine) -> None:
        """A replaced line is half-closed only when no set-up is open on it, and read until the pump closes.

        Guards against losing a release that is on its way while the line is closed.
        """
        self.retiring.append(line)
        if self.line is line:
            self.line = None

    def unreached(self, refused: bool) -> None:
        self.opening = False
        now = self.pool.clock.now()
        self.retry_at_ms, self.retry_ms = now + self.retry_ms, min(self.retry_ms * 2, RETRY_MS[1])
        waiting, self.waiting = self.waiting, []
        for one in waiting:
            if isinstance(one, Attempt):
                self.pool.router.attempt_ended(one, Outcome.CONNECT_FAILED)
            else:
                self.pool.probe_ended(one, Outcome.CONNECT_FAILED)
        if refused and self.line is None:
            self.pool.router.cut_all(self.box.number)  # no process is there that could hold a session

    def down(self, line: PumpLine) -> None:
        if line in self.retiring:
            self.retiring.remove(line)
        if self.line is line:
            self.line = None
        for attempt in list(line.attempts.values()):
            self.pool.router.attempt_ended(attempt, Outcome.RESET)
        for probe in list(line.probes.values()):
            self.pool.probe_ended(probe, Outcome.RESET)
        line.attempts.clear()
        line.probes.clear()
        if self.listed and self.line is None:
            now = self.pool.clock.now()
            if now - line.since_ms >= SHORT_MS:
                self.open()
            else:  # guards against a pump that takes connections and closes them at once
                self.retry_at_ms = now + RETRY_MS[0]

    def write(self, line: PumpLine, one: Attempt | Probe) -> None:
        if isinstance(one, Probe):
            line.probes[one.name] = one
            line.send(rtsp.request("OPTIONS", "rtsp://media/load", 3, one.name))
            return
        if not self.pool.router.may_write(one):
            return
        ask = one.request.ask
        line.attempts[ask.name] = one
        fields = {"X-Call-Class": ask.class_name,
                  "X-Ring-Limit": str(max(1, round(one.until_ms - self.pool.clock.now())))}
        if one.request.rung is not None:
            fields["X-Quality"] = str(one.request.rung)
        line.send(rtsp.request("SETUP", f"rtsp://media/{ask.title}", 1, ask.name, fields, ask.body))

    def submit(self, one: Attempt | Probe) -> None:
        if self.line is not None and not self.line.gone:
            self.write(self.line, one)
        else:
            self.waiting.append(one)
            self.open()

    def tell(self, data: bytes) -> None:
        """Something on a session that stands, on any line; kept for the next one where there is none."""
        if self.line is not None:
            self.line.send(data)
        else:
            self.held.append(data)
            self.open()

    def lines(self) -> list[PumpLine]:
        return self.retiring + ([self.line] if self.line is not None else [])

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
            if standing is None or standing.server != self.box.number:
                line.send(release(name, Cause.CANCELLED))

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
        if self.line is None:
            if now >= self.retry_at_ms:
                self.open()
        elif now - self.line.since_ms > IDLE_SHARE * self.pool.idle_ms:
            self.open()
        standing = self.pool.router.standing.get(self.box.number)
        if not standing:
            return
        if now - self.heard_ms > DEAD_MS:
            self.pool.log.warn("pump {name}: silent, its sessions are taken as lost", name=self.box.name)
            for line in self.lines():
                line.drop()
            self.pool.router.cut_all(self.box.number)
        elif now - self.heard_ms > SILENT_MS and now >= self.retry_at_ms:
            self.open()

    def unlist(self) -> None:
        self.listed = False
        waiting, self.waiting = self.waiting, []
        for one in waiting:
            if isinstance(one, Attempt):
                self.pool.router.attempt_ended(one, Outcome.MOOT)
            else:
                self.pool.probe_ended(one, Outcome.CONNECT_FAILED)
        if self.line is not None:
            self.retire(self.line)


def release(name: str, cause: Cause) -> bytes:
    return rtsp.request("TEARDOWN", "rtsp://media/session", 2, name, {"Reason": f"cause={cause.value}"})


class Pumps:
    """All pumps.  Implements the core's `Boxes` and `Prober` over RTSP."""

    log = Logger()

    def __init__(self, reactor: Any, router: Router, clock: Clock, deadlines: Deadlines,
                 connect_ms: float, idle_ms: float) -> None:
        self.reactor, self.router, self.clock, self.deadlines = reactor, router, clock, deadlines
        self.connect_ms, self.idle_ms = connect_ms, idle_ms
        self.pumps: dict[int, Pump] = {}
        self.unlisted: list[Pump] = []
        self.probe_count = 0
        router.prober = self

    def start(self) -> None:
        self._sweep()

    def _sweep(self) -> None:
        now = self.clock.now()
        for pump in [*self.pumps.values(), *self.unlisted]:
            pump.sweep(now)
        self.unlisted = [pump for pump in self.unlisted if pump.lines()]
        self.deadlines.after(SWEEP_MS, self._sweep)

    def list(self, boxes: dict[int, Box]) -> None:
        """The boxes that are listed now, drained ones included."""
        for number in [n for n, pump in self.pumps.items() if boxes.get(n) != pump.box]:
            pump = self.pumps.pop(number)
            self.unlisted.append(pump)
            pump.unlist()
        for number, box in boxes.items():
            if number not in self.pumps:
                pump = self.pumps[number] = Pump(self, box, heard_ms=self.clock.now())
                pump.open()

    # Boxes

    def set_up(self, attempt: Attempt) -> None:
        pump = self.pumps.get(attempt.server)
        if pump is None:
            self.router.attempt_ended(attempt, Outcome.MOOT)
        else:
            pump.submit(attempt)

    def give_up(self, attempt: Attempt) -> None:
        pump, name = self.pumps.get(attempt.server), attempt.request.ask.name
        for one in [pump] if pump else self.unlisted:
            if attempt in one.waiting:
                one.waiting.remove(attempt)
            for line in one.lines():
                if line.attempts.get(name) is attempt:
                    del line.attempts[name]
                    line.send(rtsp.request("TEARDOWN", "rtsp://media/session", 2, name))

    def release(self, request: Request, cause: Cause) -> None:
        pump = self.pumps.get(request.server or 0)
        if pump is not None:
            pump.tell(release(request.ask.name, cause))

    def set_rung(self, request: Request, rung: int) -> None:
        pump = self.pumps.get(request.server or 0)
        if pump is not None:
            pump.tell(rtsp.request("SET_PARAMETER", "rtsp://media/session", 4, request.ask.name,
                                   {"X-Quality": str(rung)}))

    # Prober

    def probe(self, server: int) -> None:
        self.probe_count += 1
        probe = Probe(server, f"{self.probe_count:016x}", self.clock.now())
        pump = self.pumps.get(server)
        if pump is None:
            self.probe_ended(probe, Outcome.CONNECT_FAILED)
            return
        probe.deadline = self.deadlines.after(PROBE_MS, lambda: self.probe_ended(probe, Outcome.TIMEOUT))
        pump.submit(probe)

    def probe_ended(self, probe: Probe, outcome: Outcome, report: api.LoadReport | None = None) -> None:
        self.deadlines.cancel(probe.deadline)
        pump = self.pumps.get(probe.server)
        if pump is not None:
            if probe in pump.waiting:
                pump.waiting.remove(probe)
            for line in pump.lines():
                line.probes.pop(probe.name, None)
        self.router.probed(probe.server, outcome, self.clock.now() - probe.started_ms, report)
