"""Custody's place in the router: the core's hooks, the fronts' records, messages by the members.

Decisions: core.py.  A record's id is `h/TOKEN` for a play of the HLS front, `r/SESSION` for one over RTSP.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import asdict
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.logger import Logger

from cloverhinge.core.clock import Clock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import Ask, Attempt, Boxes, Cause, Request, State
from cloverhinge.core.router import Router
from cloverhinge.custody import core, register
from cloverhinge.custody.core import Verdict
from cloverhinge.custody.register import Phase, Work
from cloverhinge.custody.wire import Member
from cloverhinge.decision.interface import Effect
from cloverhinge.hls.plays import BUSY_MS, Final, Over, Play, Plays, PlayViewer
from cloverhinge.members.core import Carried, Changed, Voided
from cloverhinge.members.link import Event, Link
from cloverhinge.members.wire import Bad
from cloverhinge.members.wire import State as MemberState
from cloverhinge.net.front import Front, RtspViewer
from cloverhinge.net.pumps import Pumps
from cloverhinge.site.model import CustodySite, Title

SOON_MS = 500.0  # for keepers to answer a paid claim: ten times what was sent is sent again in that time
SHORT_MS = 100.0  # for a repeatable one, which is served without them
KEPT_MS = 250.0  # that a paid answer waits for the keepers to have it, at the most
MARGIN_MS = 600.0  # of a viewer's time that is left for the set-up
ROOM_MS = 1000.0  # between looks at the members' room
LASTS_MS = 60_000.0  # an answer that stays is kept for so long at least
ANSWER_MOST = 1024  # bytes of an RTSP answer that are kept; longer ones are told empty by a successor
PENDING_MOST = 1024  # releases and answers that wait for certainty
HANDED_MOST = 4096  # names of sessions that went to others


class Kept(msgspec.Struct, array_like=True):
    """What a successor has to know of a piece of work."""

    class_name: str
    title: str
    key: str  # the player's play id, or the viewer
    name: str = ""  # the session's, as its box knows it
    server: int = -1  # its box; -1: none yet
    rung: int | None = None
    first_cell: int = 0
    copies: int = 0
    ceiling: int = 0
    length_ms: float = 0.0
    peer: str = ""
    answer: bytes = b""


_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Kept] = msgspec.msgpack.Decoder(Kept)


def read(work: Work) -> Kept | None:
    try:
        return _decoder.decode(work.body)
    except msgspec.MsgspecError:
        return None  # of a version that keeps other things


class Part:
    """A part of the node, and the core's `Custody`."""

    log = Logger()
    key = "custody"

    def __init__(self, site: CustodySite, members: Link, router: Router, pumps: Pumps, front: Front,
                 clock: Clock, deadlines: Deadlines, seed: int) -> None:
        self.site, self.members, self.router, self.pumps, self.front = site, members, router, pumps, front
        self.clock, self.deadlines, self.seed = clock, deadlines, seed
        self.plays: Plays | None = None
        self.titles: Mapping[str, Title] = {}
        self.hls_boxes: Any = None
        self.lasts_ms = LASTS_MS
        self.core: core.Custody
        self._token_key = b""
        self._count = 0
        self._asked: dict[int, Callable[[Verdict, Work | None], None]] = {}
        self._telling: dict[str, tuple[Request, bytes]] = {}  # paid answers that wait to be kept
        self._answers: dict[str, tuple[Attempt, bytes]] = {}  # that wait for certainty
        self._releases: OrderedDict[str, tuple[Request, Cause]] = OrderedDict()
        self._handed: OrderedDict[str, None] = OrderedDict()
        self._unkept: OrderedDict[str, None] = OrderedDict()  # served without keepers
        self._sure: tuple[Request | None, bool] = (None, False)  # of the last one that ended
        self._adopting = False
        self._changed = True
        self._room_ms = -1e12
        self._room: dict[str, float] = {}

    # The node's side

    def with_hls(self, plays: Plays, boxes: Any, titles: Mapping[str, Title], key: bytes,
                 idle_ms: float) -> None:
        self.plays, self.hls_boxes, self.titles = plays, boxes, titles
        self._token_key = hashlib.sha256(b"cloverhinge play\0" + key).digest()
        self.lasts_ms = max(LASTS_MS, idle_ms + max((x.length_ms for x in titles.values()), default=0.0))
        plays.custody = self

    def start(self) -> None:
        own = Member(self.members.name, self.members.members.run, self.members.site.site)
        rules = core.Rules(self.site.keepers, self.site.lease_ms, self.site.routers, self.lasts_ms,
                           self.lasts_ms)
        self.core = core.Custody(own, rules, self.seed)
        self.router.custody = self
        self.pumps.handed_on = self._handed.__contains__
        self.members.hearers[self.key] = self._heard
        self.members.watchers.append(self._watch)
        self._tick()

    def told_to_end(self) -> None:
        self._act(self.core.leave(self.clock.now()))

    @property
    def busy(self) -> bool:
        return not self.core.idle

    def status(self) -> dict[str, Any]:
        counters, roster = asdict(self.core.counters), self.core.rosters.roster
        return {"owned": len(self.core.held), "kept": len(self.core.keeper.slots), **counters,
                "roster": None if roster is None else {
                    "number": roster.number, "members": [x.name for x in roster.members],
                    "votes": self.core.rosters.active, "holes": len(self.core.rosters.holes)},
                "trying": len(self.core.tries)}

    def look(self, text: str) -> dict[str, Any]:
        """What this router knows of a play, or of a session over RTSP."""
        ids = [f"r/{text}"] if self.plays is None else [f"h/{self.token(text)}", f"r/{text}"]
        for id in ids:
            work = self.core.look(id)
            if work is not None:
                kept = read(work)
                return {"found": True, "phase": work.phase.name.lower(), "owner": work.owner.split("#")[0],
                        "epoch": work.epoch, "past": [x.split("#")[0] for x in work.past],
                        "keepers": [x.split("#")[0] for x in self.core.keepers(id)],
                        "class": kept.class_name if kept else "", "title": kept.title if kept else "",
                        "box": self._box(kept.server) if kept else "", "session": kept.name if kept else "",
                        "mine": id in self.core.held}
        return {"found": False, "keepers": sorted({
            x.split("#")[0] for id in ids for x in self.core.keepers(id)})}

    def _box(self, server: int) -> str:
        pump = self.pumps.pumps.get(server)
        return pump.box.name if pump is not None else f"s-{server:08x}" if server >= 0 else ""

    # Membership's side

    def _watch(self, event: Event) -> None:
        if isinstance(event, Changed | Voided):
            self._changed = True

    def _heard(self, carried: Carried) -> None:
        record = self.members.members.table.records.get(carried.name)
        member = Member(carried.name, carried.run, "" if record is None else record.site)
        try:
            self._act(self.core.heard(self.clock.now(), member, carried.body))
        except Bad as error:
            self.members.bad(error.kind, carried.name, str(error))

    def _tick(self) -> None:
        now, members = self.clock.now(), self.members.members
        if members.joined and (self._changed or now - self._room_ms >= ROOM_MS):
            self._changed, self._room_ms = False, now
            alive = {Member(x.name, x.run, x.site): x for x in members.table.records.values()
                     if x.state is MemberState.ALIVE}
            room = {x.who: self._room_of(record.facts) for x, record in alive.items()}
            self.core.view({x: record.incarnation for x, record in alive.items()}, members.lived_before, room)
        self._act(self.core.due(now))
        for id, (attempt, answer) in list(self._answers.items()):
            request = attempt.request
            if request.attempt is not attempt or request.state is not State.OPEN:
                del self._answers[id]
            elif self.core.may_act(id, now):
                del self._answers[id]
                self.router.answered(attempt, answer)
        self.deadlines.after(core.TICK_MS, self._tick)

    @staticmethod
    def _room_of(facts: bytes) -> float:
        try:
            told = msgspec.msgpack.decode(facts) if facts else {}
            return float(told.get("capacity", 1) - told.get("load", 0) - told.get("open", 0))
        except (msgspec.MsgspecError, AttributeError, TypeError):
            return 1.0

    # Towards the core of custody

    def _act(self, actions: list[core.Action]) -> None:
        for action in actions:
            match action:
                case core.Send(to, body):
                    self.members.carry(to.name, to.run, self.key, body)
                case core.Answer(number, verdict, work):
                    call = self._asked.pop(number, None)
                    if call is not None:
                        call(verdict, work)
                case core.Took(id, work, found):
                    self._took(id, work, found)
                case core.Lost(id, to):
                    self._lost(id, to)
                case core.Kept(id, phase):
                    if phase is Phase.STANDS:
                        self._tell(id)
                    self._released(id)
                case core.Closed(id):
                    self._released(id)
                case core.Say(text):
                    self.log.info("{name}: custody: {text}", name=self.members.name, text=text)

    def _ask(self, call: Callable[[Verdict, Work | None], None]) -> int:
        self._count += 1
        self._asked[self._count] = call
        return self._count

    def _claim(self, id: str, paid: bool, kept: Kept, soon_ms: float, until_ms: float,
               call: Callable[[Verdict, Work | None], None]) -> None:
        now = self.clock.now()
        self._act(self.core.claim(now, self._ask(call), id, paid, _encode(kept), now + soon_ms, until_ms))

    def _update(self, id: str, phase: Phase, kept: Kept) -> None:
        self._act(self.core.update(self.clock.now(), id, phase, _encode(kept)))

    @staticmethod
    def _id(request: Request) -> str:
        return request.ask.record or f"r/{request.ask.name}"

    @staticmethod
    def _paid(request: Request) -> bool:
        return request.kind.effect is not Effect.REPEATABLE

    @staticmethod
    def _kept(request: Request, server: int | None, answer: bytes = b"") -> Kept:
        """`server`: where it stands, or may; None: nowhere."""
        ask, at = request.ask, -1 if server is None else server
        return Kept(ask.class_name, ask.title, ask.viewer, ask.name if at >= 0 else "", at, request.rung,
                    ask.first_cell, ask.copies, ask.ceiling, ask.length_ms, ask.peer,
                    answer if len(answer) <= ANSWER_MOST and not ask.record else b"")

    # The core's `Custody`

    def intend(self, attempt: Attempt) -> None:
        request, id = attempt.request, self._id(attempt.request)
        kept = self._kept(request, attempt.server)
        if request.ask.record or id in self.core.held or attempt.number > 0:
            self._update(id, Phase.INTENT, kept)  # it is this router's; its box is told after the fact
            self.router.send(attempt)
        elif not self._paid(request):
            self._claim(id, False, kept, SOON_MS, self.clock.now() + SOON_MS,
                        lambda verdict, work: self._copied(request, verdict, work))
            self.router.send(attempt)
        else:
            self._claim(id, True, kept, SOON_MS, attempt.until_ms,
                        lambda verdict, work: self._intended(attempt, verdict, work))

    def _intended(self, attempt: Attempt, verdict: Verdict, work: Work | None) -> None:
        request = attempt.request
        if request.attempt is not attempt or request.state is not State.OPEN:
            return
        kept = None if work is None else read(work)
        if verdict is Verdict.NEW:
            self.router.send(attempt)
        elif verdict is Verdict.TAKEN and kept is not None:
            self.router.resume(request, kept.server, kept.answer)
        elif verdict is Verdict.UNKEPT and self.site.serve:
            self._note(self._unkept, self._id(request), HANDED_MOST)
            self.router.send(attempt)
        else:
            self.router.unkept(request, failed=verdict in (Verdict.FINAL, Verdict.TAKEN))

    def _copied(self, request: Request, verdict: Verdict, work: Work | None) -> None:
        """Repeatable work, or a session that came here standing, is this router's by now."""
        id = self._id(request)
        if verdict not in (Verdict.NEW, Verdict.TAKEN) or work is None:
            return
        kept = read(work)
        if kept is not None and kept.server >= 0 and kept.server != request.server and kept.name == \
                request.ask.name and (request.attempt is None or request.attempt.server != kept.server):
            self.pumps.let_go(kept.server, kept.name)  # what an earlier owner had under way
        if request.state is State.STANDS:
            self._update(id, Phase.STANDS, self._kept(request, request.server))
        elif request.state is State.OVER:
            self._update(id, Phase.OVER, self._kept(request, None))

    def may_write(self, attempt: Attempt) -> bool:
        request, id = attempt.request, self._id(attempt.request)
        if not self._paid(request):
            return True
        return self.core.may_act(id, self.clock.now()) or id not in self.core.held and id in self._unkept

    def certain(self, attempt: Attempt, answer: bytes) -> bool:
        request, id = attempt.request, self._id(attempt.request)
        if not self._paid(request) or id not in self.core.held or self.core.may_act(id, self.clock.now()):
            return True
        if len(self._answers) < PENDING_MOST:
            self._answers[id] = attempt, answer
        return False

    def stands(self, request: Request, answer: bytes) -> None:
        id, kept = self._id(request), self._kept(request, request.server, answer)
        if id not in self.core.held:
            request.viewer.served(answer)
            if id not in self.core.tries:
                self._copy(request)
            return
        if not self._paid(request) or len(self._telling) >= PENDING_MOST:
            self._update(id, Phase.STANDS, kept)
            request.viewer.served(answer)
            return
        self._telling[id] = request, answer
        self.deadlines.after(KEPT_MS, lambda: self._tell(id, request))
        self._update(id, Phase.STANDS, kept)

    def _copy(self, request: Request) -> None:
        self._claim(self._id(request), self._paid(request), self._kept(request, request.server), SOON_MS,
                    self.clock.now() + SOON_MS, lambda verdict, work: self._copied(request, verdict, work))

    def _tell(self, id: str, only: Request | None = None) -> None:
        told = self._telling.get(id)
        if told is not None and only in (None, told[0]):
            del self._telling[id]
            told[0].viewer.served(told[1])

    def carried(self, request: Request) -> None:
        if not self._adopting:
            self._copy(request)

    def resized(self, request: Request) -> None:
        id = self._id(request)
        held = self.core.held.get(id)
        kept = None if held is None else read(held.work)
        if kept is not None:
            kept.rung = request.rung
            self._update(id, Phase.STANDS, kept)

    def over(self, request: Request) -> None:
        id = self._id(request)
        self._tell(id, request)
        self._answers.pop(id, None)
        held = self.core.held.get(id)
        self._sure = request, held is None or self.core.may_act(id, self.clock.now())
        if held is None or held.to:
            return
        if request.server is None and self._paid(request) and request.may_have_run:
            phase = Phase.FAILED
        elif request.ask.record and not (request.server is not None and self._paid(request)):
            phase = Phase.INTENT  # the play stays, and may be set up again
        else:
            phase = Phase.OVER
        self._update(id, phase, self._kept(request, request.server if phase is Phase.FAILED else None))

    def release(self, request: Request, cause: Cause) -> None:
        """Guards a successor's session: this router may have slept, or be cut off, and not know of it."""
        about, sure = self._sure
        if about is request and sure:
            request.boxes.release(request, cause)
            return
        self._releases[self._id(request)] = request, cause
        while len(self._releases) > PENDING_MOST:
            self._releases.popitem(last=False)

    def _released(self, id: str) -> None:
        told = self._releases.pop(id, None)
        if told is not None:
            told[0].boxes.release(*told)

    # Taking and giving

    def _took(self, id: str, work: Work, found: Work | None) -> None:
        if found is not None and found.phase is Phase.INTENT and found.owner != work.owner \
                or work.phase is Phase.DOOMED:
            left = read(work if found is None or found.phase is not Phase.INTENT else found)
            if left is not None and left.server >= 0:
                self._let_go(id, left)
        if work.phase is Phase.INTENT and not work.paid and id not in self.core.tries:
            if not self._wanted(id):
                self._act(self.core.update(self.clock.now(), id, Phase.OVER, work.body))
        elif work.phase is Phase.STANDS:
            kept = read(work)
            if kept is None or not self._adopt(id, kept):
                why = ("it is of another version" if kept is None else "its box is not listed"
                       if kept.server not in self.router.listings else "no room, or its title is unknown")
                self.log.warn("{name}: custody: {id} can't go on here: {why}", name=self.members.name, id=id,
                              why=why)
                self._act(self.core.update(self.clock.now(), id, Phase.OVER, work.body))

    def _wanted(self, id: str) -> bool:
        """Whether a viewer of it is here."""
        if id.startswith("h/"):
            return self.plays is not None and id[2:] in self.plays.by_token
        return id[2:] in self.router.by_name

    def _let_go(self, id: str, kept: Kept) -> None:
        if id.startswith("h/"):
            if self.hls_boxes is not None:
                self.hls_boxes.let_go(kept.server, kept.name)
        elif kept.name not in self.router.by_name:
            self.pumps.let_go(kept.server, kept.name)

    def _adopt(self, id: str, kept: Kept) -> bool:
        """A session that stands goes on here; False where it can't."""
        if kept.class_name not in self.router.classes or kept.server < 0:
            return False
        ask = Ask(kept.name, kept.class_name, kept.title, kept.first_cell, kept.copies, kept.ceiling, 0.0,
                  length_ms=kept.length_ms, viewer=kept.key, peer=kept.peer,
                  record=id if id.startswith("h/") else "")
        if id.startswith("h/"):
            return self._adopt_play(id, kept, ask)
        if kept.name in self.router.by_name:
            return True  # it is here, or its viewer is, and is told of it
        viewer = RtspViewer(self.front, 0, kept.peer, kept.name)
        request = self._carry(ask, kept, viewer, self.pumps)
        if request is not None:
            viewer.stands(True)
        return request is not None

    def _carry(self, ask: Ask, kept: Kept, viewer: Any, boxes: Boxes) -> Request | None:
        self._adopting = True
        try:
            request = self.router.carry(ask, kept.server, viewer, boxes)
        finally:
            self._adopting = False
        if request is not None:
            request.rung = kept.rung
        return request

    def _adopt_play(self, id: str, kept: Kept, ask: Ask) -> bool:
        title = self.titles.get(kept.title)
        if self.plays is None or title is None:
            return False
        try:
            play = self.plays.find(kept.key, kept.class_name, kept.title, title)
        except Final:
            return False
        if play.request is not None and play.request.state is not State.OVER:
            return True
        play.peer = play.peer or kept.peer
        play.request = self._carry(ask, kept, PlayViewer(self.plays, play), self.plays.boxes)
        self.plays.touch(play)
        return play.request is not None

    def _lost(self, id: str, to: str) -> None:
        self._releases.pop(id, None)
        self._answers.pop(id, None)
        request: Request | None = None
        if id.startswith("h/"):
            play = None if self.plays is None else self.plays.by_token.get(id[2:])
            if play is not None and self.plays is not None:
                request = play.request
                if request is not None:
                    self._tell(id, request)  # what waits to be told of it is answered from here still
                play.request = None
                self.plays.forget(play)
                play.wake(Final(503, "another router has this play now", BUSY_MS))
        else:
            request = self.router.by_name.get(id[2:])
        if request is not None:
            self._tell(id, request)
            self._note(self._handed, request.ask.name, HANDED_MOST)
            self.router.hand_on(request)

    @staticmethod
    def _note(table: OrderedDict[str, None], name: str, most: int) -> None:
        table[name] = None
        while len(table) > most:
            table.popitem(last=False)

    # The plays' `Custody`

    def token(self, key: str) -> str:
        return hmac.new(self._token_key, key.encode(), hashlib.sha256).hexdigest()[:32]

    async def claim(self, play: Play) -> None:
        id = f"h/{play.token}"
        held = self.core.held.get(id)
        if held is not None and not held.to and held.work.phase is Phase.INTENT:
            return
        if self.core.leaving:
            raise Final(503, "this router ends, another one serves", BUSY_MS)
        title, now = play.title, self.clock.now()
        until = now + self.router.classes[play.class_name].deadline_us / 1000.0 - MARGIN_MS
        kept = Kept(play.class_name, play.title_name, play.key, first_cell=title.first_cell,
                    copies=title.copies, ceiling=title.ceiling, length_ms=title.length_ms, peer=play.peer)
        answer: Deferred[tuple[Verdict, Work | None]] = Deferred()
        self._claim(id, play.paid, kept, SOON_MS if play.paid else SHORT_MS, until,
                    lambda verdict, work: answer.callback((verdict, work)))
        verdict, work = await answer
        if verdict is Verdict.FINAL and work is not None:
            if work.phase is Phase.OVER:
                play.over = play.paid
                raise Over
            play.verdict = Final(502, "the set-up failed")
            raise play.verdict
        if verdict is Verdict.HELD:
            raise Final(503, "another router has this play", BUSY_MS)
        if verdict is Verdict.UNKEPT:
            if play.paid and not self.site.serve:
                raise Final(503, "it can't be kept by other routers now", BUSY_MS)
            self._note(self._unkept, id, HANDED_MOST)

    async def find(self, token: str) -> None:
        if self.core.leaving or len(token) != 32:
            return
        now = self.clock.now()
        answer: Deferred[Verdict] = Deferred()
        number = self._ask(lambda verdict, work: answer.callback(verdict))
        self._act(self.core.find(now, number, f"h/{token}", now + SOON_MS, now + 2.0 * self.site.lease_ms))
        if await answer in (Verdict.HELD, Verdict.UNKEPT):
            raise Final(503, "another router has this session", BUSY_MS)

    def forgot(self, play: Play) -> None:
        id = f"h/{play.token}"
        held = self.core.held.get(id)
        if held is not None and held.work.phase in register.ACTING:
            self._act(self.core.update(self.clock.now(), id, Phase.OVER, held.work.body))
