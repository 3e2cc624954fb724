"""The platform's front: viewers' set-ups over RTSP."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from itertools import islice
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.logger import Logger
from twisted.python.failure import Failure

from cloverhinge.core.clock import Clock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import Ask, Boxes, Cause, Presence, Request, State
from cloverhinge.core.router import Router
from cloverhinge.core.slots import Table
from cloverhinge.decision.interface import Outcome
from cloverhinge.net import rtsp
from cloverhinge.net.changelog import number_of
from cloverhinge.net.intake import Intake, Queue, SetUp

SWEEP_MS = 250.0
SILENT_MS = 2500.0  # a connection that has brought no whole message so long after it was taken is closed
PARTIAL_MS = 2000.0  # so is one whose message is not whole so long after its first byte
LOOKED_AT_MOST = 16  # connections of a rank that are looked at to make room for one
CLOSING_SHARE = 1 / 3  # of the table's size: connections on their way out, beside a full table
YOUNG_MS = 200.0  # a connection's first set-up is on its way for so long
CROSSING_MS = 100.0  # what crosses the announced end of a connection is here so soon
HELD_MS = 8000.0  # a release waits so long for a connection of its viewers
HELD_MOST = 2048
BUSY_HOLD_OFF_MS = 1000.0  # told where every slot for requests is taken


def hands_over(message: rtsp.Message) -> bool:
    """Whether a set-up tells of a session that plays already."""
    return "at" in rtsp.pairs(message.headers.get("x-dest", ""))


def read_ask(message: rtsp.Message) -> tuple[Ask, str]:
    """The request, and the id of the pump that it plays at already ('' = none)."""
    if not rtsp.SESSION.fullmatch(message.session):
        raise rtsp.Malformed("no session")
    if not message.uri.startswith("rtsp://media/") or not message.uri[13:]:
        raise rtsp.Malformed("no title")
    told = rtsp.pairs(message.headers.get("x-dest", ""))

    def whole(name: str, default: int) -> int:
        text = told.get(name, str(default))
        if not text.isascii() or not text.isdigit() or len(text) > 9:
            raise rtsp.Malformed(f"{name} is no number")
        return int(text)

    ask = Ask(
        name=message.session, class_name=message.headers.get("x-call-class", ""), title=message.uri[13:],
        first_cell=whole("home", 0), copies=whole("copies", 0), ceiling=whole("top", 255),
        wait_ms=message.number("x-ring-limit", 0.0 if "at" in told else None), body=message.body,
        length_ms=message.number("x-guess", 0.0), viewer=told.get("viewer", ""),
        returning=message.headers.get("x-again") == "1" or told.get("again") == "1")
    return ask, told.get("at", "")


class ViewerLine(rtsp.RtspProtocol):
    """One connection of viewers."""

    def __init__(self, front: Front, peer: str) -> None:
        super().__init__()
        self.front, self.peer = front, peer
        self.handle = 0
        self.rank: dict[int, ViewerLine] = front.silent
        self.open: dict[str, Request] = {}  # set-ups that are owed an answer here
        self.queue = Queue()  # set-ups that have been read and not begun
        self.paused = False  # nothing is read while the queue is full
        self.standing = 0  # sessions that were set up on it
        self.spoken = False  # a whole message has come
        self.since_ms = 0.0  # the connection's start
        self.heard_ms = 0.0  # its last whole message
        self.ending_ms: float | None = None  # half-closed since
        self.partial_ms: float | None = None  # the first byte of the message that is not whole yet

    def connectionMade(self) -> None:
        super().connectionMade()
        self.front.up(self)

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)
        if not self.midway:
            self.partial_ms = None
        elif self.partial_ms is None:
            self.partial_ms = self.front.clock.now()
        self.front.intake.offer(self)
        if self.queue.full and not self.gone:
            self._pause(True)

    def _pause(self, paused: bool) -> None:
        """Guards memory against a flood on one connection."""
        transport: Any = self.transport
        if paused != self.paused:
            self.paused = paused
            (transport.stopReading if paused else transport.startReading)()

    def begin(self, one: SetUp) -> None:
        """What came behind it in the same input has been read, so it has not been cancelled there."""
        if self.gone:
            self.queue.clear()
            return
        try:
            self.front.set_up(self, one)
        except rtsp.Malformed as error:
            self.malformed(error, one.message)
        self.front.arrange(self)
        if not self.queue.full and not self.gone:
            self._pause(False)

    def presence(self) -> Presence:
        """What the connection shows of its client now, without reading from it."""
        unread = None if self.gone else self.peek()
        if self.gone or unread == b"":
            return Presence.GONE
        return Presence.UNREAD if unread else Presence.THERE

    def half_close(self) -> None:
        """Nothing more is written; what comes is read until the viewer closes too."""
        transport: Any = self.transport
        transport.unregisterProducer()
        transport.loseWriteConnection()

    def overdue(self, now: float) -> bool:
        """Guards against clients that say nothing, or say it byte by byte: no byte renews the time."""
        if not self.spoken:
            return now - self.since_ms > SILENT_MS
        return self.partial_ms is not None and now - self.partial_ms > PARTIAL_MS

    def received(self, message: rtsp.Message) -> None:
        self.heard_ms, self.partial_ms = self.front.clock.now(), None
        if not self.spoken:
            self.spoken = True
            self.front.spoke(self)
        self.front.arrange(self)
        cseq, name = message.headers.get("cseq", "0"), message.session
        if message.status or self.ending_ms is not None:
            return  # a viewer heard a release, or sends anew what crosses the connection's end
        if message.method == "SETUP":
            if hands_over(message):  # it plays already, so its end has to reach the server whatever follows
                self.front.set_up(self, SetUp(message, self.heard_ms))
            else:
                self.queue.add(SetUp(message, self.heard_ms))
                self.front.arrange(self)
        elif message.method == "TEARDOWN":
            self.queue.cancel(name)
            self.front.intake.cancel(name)
            self.send(rtsp.response(200, cseq, name))
            request = self.front.router.by_name.get(name)
            if request is not None and isinstance(request.viewer, RtspViewer):
                request.viewer.line_done()
                request.viewer.stands(False)
                self.front.router.leave(request)
        elif message.method == "OPTIONS":
            self.send(rtsp.response(200 if self.front.ready else 503, cseq, name))
        else:
            raise rtsp.Malformed("unknown method", 501)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.gone = True
        self.front.down(self)


class RtspViewer:
    """The core's `Viewer` for one session asked for over RTSP."""

    def __init__(self, front: Front, handle: int, peer: str, name: str) -> None:
        """`handle` of the connection that it came on; 0: on none of this router's."""
        self.front, self.handle, self.peer, self.name = front, handle, peer, name
        self.standing = False

    def line_done(self) -> ViewerLine | None:
        """Nothing is owed on its connection any more; the connection, where it is still open."""
        line = self.front.lines.get(self.handle)
        if line is not None and line.open.pop(self.name, None) is not None:
            self.front.arrange(line)
        return line

    def presence(self) -> Presence:
        line = self.front.lines.get(self.handle)
        return Presence.GONE if line is None else line.presence()

    def left(self, may_have_run: bool) -> None:
        self.line_done()

    def stands(self, now: bool) -> None:
        line = self.front.lines.get(self.handle)
        if line is not None and now != self.standing:
            line.standing += 1 if now else -1
            self.front.arrange(line)
        self.standing = now

    def _answer(self, status: int, fields: dict[str, str] | None = None, body: bytes = b"") -> None:
        line = self.line_done()
        if line is not None:
            line.send(rtsp.response(status, "1", self.name, fields, body))

    def served(self, answer: bytes) -> None:
        self.stands(True)
        self._answer(200, None, answer)

    def refused(self, hold_off_ms: float, ticket: str = "") -> None:
        """The door's quotes may lie behind what the settings let be told: who comes back earlier is told
        more."""
        told = min(hold_off_ms, self.front.router.settings.max_retry_after_us / 1000.0)
        fields = {"X-Hold-Off": str(round(told))} if told > 0 else {}
        if ticket:
            fields["X-Ticket"] = ticket
        self._answer(503, fields)

    def failed(self, why: Outcome | None) -> None:
        self._answer(504 if why is Outcome.TIMEOUT else 500)

    def released(self, cause: Cause) -> None:
        self.stands(False)
        self.front.tell(self, rtsp.request("TEARDOWN", "rtsp://media/session", 2, self.name,
                                           {"Reason": f"cause={cause.value}"}))

    def moved(self) -> None:
        self.stands(False)
        self.front.tell(self, rtsp.request("REDIRECT", "rtsp://media/session", 5, self.name))


class Front(ServerFactory):
    log = Logger()
    noisy = False

    def __init__(self, router: Router, boxes: Boxes, clock: Clock, deadlines: Deadlines, most: int) -> None:
        self.router, self.boxes, self.clock, self.deadlines = router, boxes, clock, deadlines
        self.lines: Table[ViewerLine] = Table(most)
        self.intake = Intake(deadlines)
        # Who makes room when the table is full: the first of the first that is not empty.
        self.silent: dict[int, ViewerLine] = {}  # by handle, the earliest taken first
        self.resting: dict[int, ViewerLine] = {}  # spoke, no session stands; the longest silent first
        self.holding: dict[int, ViewerLine] = {}  # sessions that were set up on it stand; as before
        self.busy: dict[int, ViewerLine] = {}  # owed an answer: they stay
        self.connections = 0  # those on their way out included
        self.held: deque[tuple[float, bytes]] = deque(maxlen=HELD_MOST)
        self.ready = True
        # Of the door: peer, client, proof and session to the client's number; ValueError where it is forged.
        self.identify: Callable[[str, str, str, str], int] | None = None
        # Of custody: what the box answered to the session's set-up.
        self.kept_answer: Callable[[str], bytes] | None = None

    def start(self) -> None:
        self._sweep()

    def buildProtocol(self, addr: IAddress | None) -> ViewerLine | None:
        """Guards the descriptors: one that was told to make room is gone only in the reactor's next round."""
        if self.connections >= self.lines.most * (1 + CLOSING_SHARE):
            return None
        return ViewerLine(self, str(getattr(addr, "host", "")))

    def up(self, line: ViewerLine) -> None:
        self.connections += 1
        line.since_ms = line.heard_ms = self.clock.now()
        if self.lines.full and not self._make_room():
            line.drop()
            return
        line.handle = self.lines.put(line)
        self.silent[line.handle] = line

    def _make_room(self) -> bool:
        """Close the connection that has rested the longest, unless a request may lie unread on it.

        Guards the descriptors, and usual viewers against floods.
        """
        for rank in (self.silent, self.resting, self.holding):
            for line in islice(rank.values(), LOOKED_AT_MOST):
                if not line.unread:
                    self.take_out(line)
                    line.close()
                    return True
        return False

    def arrange(self, line: ViewerLine) -> None:
        """Behind all others of the rank that is its now."""
        if line.handle and line.rank.pop(line.handle, None) is not None:
            line.rank = (self.busy if line.open or len(line.queue) else self.silent if not line.spoken
                         else self.holding if line.standing else self.resting)
            line.rank[line.handle] = line

    def take_out(self, line: ViewerLine) -> None:
        self.lines.free(line.handle)
        line.rank.pop(line.handle, None)

    def down(self, line: ViewerLine) -> None:
        self.connections -= 1
        self.take_out(line)
        line.queue.clear()
        for request in list(line.open.values()):
            if request.state is State.OPEN:
                self.router.leave(request)
        line.open.clear()

    def set_up(self, line: ViewerLine, one: SetUp) -> None:
        message = one.message
        ask, at = read_ask(message)
        ask = replace(ask, wait_ms=max(0.0, ask.wait_ms - (self.clock.now() - one.read_ms)))
        if ask.class_name not in self.router.classes:
            raise rtsp.Malformed("unknown class", 400)
        if self.identify is not None:
            words = [message.headers.get(x, "") for x in ("x-client", "x-client-proof")]
            try:
                client = self.identify(line.peer, words[0], words[1], ask.name)
            except ValueError as error:
                line.send(rtsp.response(403, "1", ask.name, {"X-Why": str(error)}))
                return
            ask = replace(ask, peer=line.peer, client=client, ticket=message.headers.get("x-ticket", ""))
        viewer = RtspViewer(self, line.handle, line.peer, ask.name)
        if self.kept_answer is not None and self._come_again(line, ask.name, bool(at)):
            return
        if at:
            if self.router.carry(ask, number_of(at), viewer, self.boxes) is not None:
                viewer.stands(True)
        elif ask.name in self.router.by_name:
            line.send(rtsp.response(455, "1", ask.name))
        elif (request := self.router.take(ask, viewer, self.boxes)) is None:
            line.send(rtsp.response(503, "1", ask.name, {"X-Hold-Off": str(round(BUSY_HOLD_OFF_MS))}))
        elif request.state is State.OPEN:
            line.open[ask.name] = request
            self.arrange(line)

    def _come_again(self, line: ViewerLine, name: str, stood: bool) -> bool:
        """Whether this is the viewer of a session that was taken over, or whose connection is gone."""
        held = self.router.by_name.get(name)
        viewer = None if held is None else held.viewer
        if held is None or held.state is not State.STANDS or not isinstance(viewer, RtspViewer):
            return False
        before = self.lines.get(viewer.handle)
        if before is not None and not before.gone:
            return False
        viewer.stands(False)
        viewer.handle, viewer.peer = line.handle, line.peer
        viewer.stands(True)
        if not stood and self.kept_answer is not None:
            line.send(rtsp.response(200, "1", name, None, self.kept_answer(name)))
        return True

    def hand_on(self, now: float) -> int:
        """Another process accepts from here on: each connection is ended at a moment at which nothing is open
        on it and nothing unread, so what is sent to it later comes to a new one.  Returns how many are left.

        Its end is announced first and what still comes is read: closing over something unread would reset the
        connection, and the viewer might lose the answer before it.
        """
        left = 0
        for line in self.lines:
            if line.ending_ms is not None:
                if now - line.ending_ms > CROSSING_MS:
                    line.close()
                continue
            left += 1
            young = not line.spoken and now - line.since_ms < YOUNG_MS
            owed = line.open or len(line.queue)
            if not owed and not young and not line.midway and not line.unread:
                line.ending_ms = now
                line.half_close()
        return left

    def tell(self, viewer: RtspViewer, data: bytes) -> None:
        """Towards whoever holds the session: on its connection, else on the last of its host to speak, else
        on the last of all.  Guards against releases told to a connection that is no viewer's."""
        line = self.lines.get(viewer.handle)
        if line is None or line.gone:
            spoken = [x for x in self.lines if x.spoken and not x.gone]
            spoken.sort(key=lambda x: (x.peer == viewer.peer, x.heard_ms))
            line = spoken[-1] if spoken else None
        if line is not None:
            line.send(data)
        else:
            self.held.append((self.clock.now(), data))

    def spoke(self, line: ViewerLine) -> None:
        """The first whole message on a connection: it is a viewer's."""
        while self.held:
            line.send(self.held.popleft()[1])

    def _sweep(self) -> None:
        now = self.clock.now()
        while self.held and now - self.held[0][0] > HELD_MS:
            self.held.popleft()
        for line in self.lines:
            # Guards against closing over a whole request after a pause, as timers run ahead of the sockets.
            if line.overdue(now) and not line.unread:
                line.close()
        self.deadlines.after(SWEEP_MS, self._sweep)
