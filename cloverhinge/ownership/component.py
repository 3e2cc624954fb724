"""Custody's place in the router: the core's hooks, and messages by the members.  Decisions: core.py.

A record's id is the letter of its front, `/`, and the front's own name for the piece of work.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
from twisted.logger import Logger

from cloverhinge.core.clock import Clock
from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.core.model import Attempt, Cause, ClientPort, Request, ServerPort, SetUpRequest, State
from cloverhinge.core.router import Router
from cloverhinge.decision.interface import Effect
from cloverhinge.members.core import ComponentMessageReceived, IncarnationVoided, MemberChanged, evict_oldest
from cloverhinge.members.transport import Event, MembershipTransport
from cloverhinge.members.wire import MessageError
from cloverhinge.members.wire import State as MemberState
from cloverhinge.ownership import core, model
from cloverhinge.ownership.model import Verdict
from cloverhinge.ownership.persistence import Persist
from cloverhinge.ownership.register import Phase, Work
from cloverhinge.ownership.replicated_work import Kept, encode, read
from cloverhinge.ownership.wire import Member, name_of
from cloverhinge.site.model import OwnershipSettings
from cloverhinge.store import Mark

if TYPE_CHECKING:
    from cloverhinge.ownership.replica_store import Shelf

BY_NAME = "r"  # the letter of the front whose work goes by the session's name
SOON_MS = 500.0  # for keepers to answer a paid claim: ten times what was sent is sent again in that time
FLUSH_MS = 5.0  # copies that nobody waits for leave together: so long a killed router may take one with it
KEPT_MS = 250.0  # that a paid answer waits for the keepers to have it, at the most
ROOM_MS = 1000.0  # between looks at the members' room
LASTS_MS = 60_000.0  # an answer that stays is kept for so long at least
ANSWER_MOST = 1024  # bytes of an RTSP answer that are kept; longer ones are told empty by a successor
PENDING_MOST = 1024  # releases and answers that wait for certainty
HANDED_MOST = 4096  # names of sessions that went to others


class Wire(Protocol):
    """One front's side: what it holds under its records' ids."""

    def own_name(self, text: str) -> str:
        """The name within the id, for what people call it."""

    def adopt(self, id: str, kept: Kept) -> bool:
        """A session that stands goes on here, by `Part.carry`; False where it can't."""

    def held(self, id: str) -> Request | None: ...

    def wanted(self, id: str) -> bool:
        """Whether a viewer of it is here."""

    def lost(self, id: str) -> None:
        """Another router has it: forget it, and answer who waits."""

    def let_go(self, kept: Kept) -> None:
        """Tell the box to release what an earlier owner may have left there."""


class Part:
    """A part of the node, and the core's `Custody`."""

    log = Logger()
    key = "custody"

    def __init__(
        self,
        site: OwnershipSettings,
        members: MembershipTransport,
        router: Router,
        clock: Clock,
        deadlines: Deadlines,
        seed: int,
        store: Path | None = None,
    ) -> None:
        """`store`: the folder of what outlives a restart, where there is one."""
        self.site, self.members, self.router, self.store = site, members, router, store
        self.shelf: Shelf | None = None
        self.clock, self.deadlines, self.seed = clock, deadlines, seed
        self.wires: dict[str, Wire] = {}
        self.lasts_ms = LASTS_MS
        self.core: core.OwnershipCore
        self._count = 0
        self._asked: dict[int, Callable[[Verdict, Work | None], None]] = {}
        self._telling: dict[str, tuple[Request, bytes]] = {}  # paid answers that wait to be kept
        self._answers: dict[str, tuple[Attempt, bytes]] = {}  # that wait for certainty
        self._releases: OrderedDict[str, tuple[Request, Cause]] = OrderedDict()
        self.handed: OrderedDict[str, None] = OrderedDict()
        self.unkept: OrderedDict[str, None] = OrderedDict()  # served without keepers
        self._sure: tuple[Request | None, bool] = (None, False)  # of the last one that ended
        self._adopting = False
        self._flushing: DeadlineKey | None = None
        self._fresh: dict[str, Request] = {}  # repeatable ones that no keeper knows yet
        self._changed = True
        self._room_ms = -1e12

    # The node's side

    def serve(self, letter: str, wire: Wire, lasts_ms: float = 0.0) -> None:
        """A front whose work is kept; its answers that stay last for `lasts_ms` at least."""
        self.wires[letter] = wire
        self.lasts_ms = max(self.lasts_ms, lasts_ms)

    def start(self) -> None:
        own = Member(self.members.name, self.members.membership.run, self.members.site.site)
        rules = model.Rules(
            self.site.tolerated_losses, self.site.lease_ms, self.site.routers, self.lasts_ms, self.lasts_ms
        )
        if self.store is not None:
            from cloverhinge.ownership.replica_store import Shelf  # loaded only where there is a folder

            reactor = self.members.reactor
            self.shelf = Shelf(self.store, own, reactor.callFromThread, self._durable, self._failed)
            reactor.addSystemEventTrigger("after", "shutdown", self.shelf.close)
        self.core = core.OwnershipCore(
            own, rules, self.seed, None if self.shelf is None else self.shelf.recall
        )
        self.router.ownership = self
        self.members.receivers[self.key] = self._heard
        self.members.listeners.append(self._watch)
        self._tick()

    def _durable(self, number: int, mark: Mark) -> None:
        self._act(self.core.on_durable(self.clock.now(), number, mark))

    def _failed(self, why: str) -> None:
        self.log.error("{name}: store: {why}", name=self.members.name, why=why)
        self._act(self.core.on_store_failure(self.clock.now(), why))

    def begin_shutdown(self) -> None:
        self._act(self.core.leave(self.clock.now()))

    @property
    def busy(self) -> bool:
        return not self.core.idle

    def status(self) -> dict[str, Any]:
        counters, roster = asdict(self.core.counters), self.core.replica_sets.current
        return {
            "owned": len(self.core.owned),
            "kept": len(self.core.replica.slots),
            **counters,
            "roster": None
            if roster is None
            else {
                "number": roster.number,
                "members": [x.name for x in roster.members],
                "votes": self.core.replica_sets.active,
                "holes": len(self.core.replica_sets.holes),
            },
            "trying": len(self.core.acquisitions),
            "store": None if self.shelf is None else self.shelf.status(),
        }

    def look(self, text: str) -> dict[str, Any]:
        """What this router knows of a piece of work, by the name that its front gives it."""
        ids = [f"{letter}/{wire.own_name(text)}" for letter, wire in self.wires.items()]
        for id in ids:
            work = self.core.known_work(id)
            if work is not None:
                kept = read(work) or Kept("", "", "")
                server = self.router.listings.get(kept.server)
                box = "" if server is None else f"s-{server.server:08x}"
                return {
                    "found": True,
                    "phase": work.phase.name.lower(),
                    "owner": name_of(work.owner),
                    "epoch": work.epoch,
                    "past": list(map(name_of, work.past_owners)),
                    "keepers": list(map(name_of, self.core.replicas_of(id))),
                    "class": kept.class_name,
                    "title": kept.title,
                    "session": kept.name,
                    "box": box,
                    "mine": id in self.core.owned,
                }
        return {
            "found": False,
            "keepers": sorted({name_of(x) for id in ids for x in self.core.replicas_of(id)}),
        }

    # Membership's side

    def _watch(self, event: Event) -> None:
        if isinstance(event, MemberChanged | IncarnationVoided):
            self._changed = True

    def _heard(self, carried: ComponentMessageReceived) -> None:
        record = self.members.membership.table.records.get(carried.name)
        member = Member(carried.name, carried.run, "" if record is None else record.site)
        try:
            self._act(self.core.receive(self.clock.now(), member, carried.body))
        except MessageError as error:
            self.members.report_trouble(error.kind, carried.name, str(error))

    def _tick(self) -> None:
        now, members = self.clock.now(), self.members.membership
        if members.joined and (self._changed or now - self._room_ms >= ROOM_MS):
            self._changed, self._room_ms = False, now
            alive = {
                Member(x.name, x.run, x.site): x
                for x in members.table.records.values()
                if x.state is MemberState.ALIVE
            }
            room = {x.member_id: self._room_of(record.facts) for x, record in alive.items()}
            self.core.update_members(
                {x: record.incarnation for x, record in alive.items()}, members.had_earlier_run, room
            )
        self._act(self.core.tick(now))
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

    def _act(self, actions: list[model.Action]) -> None:
        for action in actions:
            match action:
                case model.Send(to, body):
                    self.members.send_component_message(to.name, to.run, self.key, body)
                case model.Answer(number, verdict, work):
                    call = self._asked.pop(number, None)
                    if call is not None:
                        call(verdict, work)
                case model.Acquired(id, work, found):
                    self._took(id, work, found)
                case model.OwnershipLost(id, _, over):
                    self._lost(id, over)
                case model.Replicated(id, phase):
                    if phase is Phase.STANDS:
                        self._tell(id)
                    self._released(id)
                case model.Closed(id):
                    self._released(id)
                case Persist():
                    if self.shelf is not None:
                        self.shelf.put(action)
                case model.LogMessage(text):
                    self.log.info("{name}: custody: {text}", name=self.members.name, text=text)
        if self.core.has_outgoing:
            self._flush_soon()

    def _flush_soon(self) -> None:
        if self._flushing is None:
            self._flushing = self.deadlines.after(FLUSH_MS, self._flush)

    def _flush(self) -> None:
        self._flushing = None
        fresh, self._fresh = self._fresh, {}
        for request in fresh.values():
            if request.state is not State.OVER:
                self._copy(request)
        self._act(self.core.flush(self.clock.now()))

    def ask(self, call: Callable[[Verdict, Work | None], None]) -> int:
        self._count += 1
        self._asked[self._count] = call
        return self._count

    def claim(
        self,
        id: str,
        paid: bool,
        kept: Kept,
        soon_ms: float,
        until_ms: float,
        call: Callable[[Verdict, Work | None], None],
        soon: bool = False,
    ) -> None:
        """`soon`: its viewer does not wait for it."""
        now = self.clock.now()
        self._act(self.core.claim(now, self.ask(call), id, paid, encode(kept), now + soon_ms, until_ms, soon))

    def find(
        self,
        id: str,
        soon_ms: float,
        until_ms: float,
        call: Callable[[Verdict, Work | None], None],
    ) -> None:
        now = self.clock.now()
        self._act(self.core.find(now, self.ask(call), id, now + soon_ms, until_ms))

    def end(self, id: str) -> None:
        """The front has forgotten it."""
        self.change(id, Phase.OVER)

    def change(self, id: str, phase: Phase) -> None:
        """What the front keeps of it stays as it is."""
        held = self.core.owned.get(id)
        if held is not None:
            self._act(self.core.update(self.clock.now(), id, phase, held.work.body))

    def _update(self, id: str, phase: Phase, kept: Kept) -> None:
        self._act(self.core.update(self.clock.now(), id, phase, encode(kept)))

    @staticmethod
    def _id(request: Request) -> str:
        return request.set_up.record_id or f"{BY_NAME}/{request.set_up.session_id}"

    @staticmethod
    def _paid(request: Request) -> bool:
        return request.service_class.effect is not Effect.REPEATABLE

    @staticmethod
    def _kept(request: Request, server: int | None, answer: bytes = b"") -> Kept:
        """`server`: where it stands, or may; None: nowhere."""
        ask, at = request.set_up, -1 if server is None else server
        return Kept(
            ask.class_name,
            ask.title,
            ask.viewer_id,
            ask.session_id if at >= 0 else "",
            at,
            request.rung,
            ask.first_cell,
            ask.copies,
            ask.ceiling,
            ask.length_ms,
            ask.peer_address,
            answer if len(answer) <= ANSWER_MOST and not ask.record_id else b"",
        )

    # The core's `Custody`

    def prepare(self, attempt: Attempt) -> None:
        request, id = attempt.request, self._id(attempt.request)
        kept = self._kept(request, attempt.server)
        if request.set_up.record_id or id in self.core.owned or attempt.number > 0:
            self._update(id, Phase.INTENT, kept)  # it is this router's; its box is told after the fact
            self.router.send(attempt)
        elif not self._paid(request):
            self._fresh[id] = request  # copied with the next ones: by then it may be over
            self._flush_soon()
            self.router.send(attempt)
        else:
            self.claim(
                id,
                True,
                kept,
                SOON_MS,
                attempt.until_ms,
                lambda verdict, work: self._intended(attempt, verdict, work),
            )

    def _intended(self, attempt: Attempt, verdict: Verdict, work: Work | None) -> None:
        request = attempt.request
        if request.attempt is not attempt or request.state is not State.OPEN:
            return
        kept = None if work is None else read(work)
        if verdict is Verdict.NEW:
            self.router.send(attempt)
        elif verdict is Verdict.TAKEN_OVER and kept is not None:
            self._adopting = True  # the record goes on; only the request that came for it ends
            try:
                self.router.resume(request, kept.server, kept.answer)
            finally:
                self._adopting = False
        elif verdict is Verdict.UNREPLICATED and self.site.serve_unreplicated:
            self.note(self.unkept, self._id(request))
            self.router.send(attempt)
        else:
            self.router.conclude_unsent(request, failed=verdict in (Verdict.FINAL, Verdict.TAKEN_OVER))

    def _copied(self, request: Request, verdict: Verdict, work: Work | None) -> None:
        """Repeatable work, or a session that came here standing, is this router's by now."""
        id = self._id(request)
        if verdict not in (Verdict.NEW, Verdict.TAKEN_OVER) or work is None:
            return
        kept = read(work)
        if (
            kept is not None
            and kept.server >= 0
            and kept.server != request.server
            and kept.name == request.set_up.session_id
            and (request.attempt is None or request.attempt.server != kept.server)
        ):
            self.wires[id[0]].let_go(kept)  # what an earlier owner had under way
        if request.state is State.ESTABLISHED:
            self._update(id, Phase.STANDS, self._kept(request, request.server))
        elif request.state is State.OVER:
            self._update(id, Phase.OVER, self._kept(request, None))

    def may_write(self, attempt: Attempt) -> bool:
        request, id = attempt.request, self._id(attempt.request)
        if not self._paid(request):
            return True
        return self.core.may_act(id, self.clock.now()) or id not in self.core.owned and id in self.unkept

    def may_establish(self, attempt: Attempt, answer: bytes) -> bool:
        request, id = attempt.request, self._id(attempt.request)
        if not self._paid(request) or id not in self.core.owned or self.core.may_act(id, self.clock.now()):
            return True
        if len(self._answers) < PENDING_MOST:
            self._answers[id] = attempt, answer
        return False

    def established(self, request: Request, answer: bytes) -> None:
        id, kept = self._id(request), self._kept(request, request.server, answer)
        if id not in self.core.owned:
            request.client.served(answer)
            if id not in self.core.acquisitions and id not in self._fresh:
                self._copy(request)
            return
        if not self._paid(request) or len(self._telling) >= PENDING_MOST:
            self._update(id, Phase.STANDS, kept)
            request.client.served(answer)
            return
        self._telling[id] = request, answer
        self.deadlines.after(KEPT_MS, lambda: self._tell(id, request))
        self._update(id, Phase.STANDS, kept)

    def _copy(self, request: Request) -> None:
        server = request.server if request.attempt is None else request.attempt.server
        self.claim(
            self._id(request),
            self._paid(request),
            self._kept(request, server),
            SOON_MS,
            self.clock.now() + SOON_MS,
            lambda verdict, work: self._copied(request, verdict, work),
            soon=True,
        )

    def _tell(self, id: str, only: Request | None = None) -> None:
        told = self._telling.get(id)
        if told is not None and only in (None, told[0]):
            del self._telling[id]
            told[0].client.served(told[1])

    def adopted(self, request: Request) -> None:
        if not self._adopting:
            self._copy(request)

    def rung_changed(self, request: Request) -> None:
        id = self._id(request)
        held = self.core.owned.get(id)
        kept = None if held is None else read(held.work)
        if kept is not None:
            kept.rung = request.rung
            self._update(id, Phase.STANDS, kept)

    def ended(self, request: Request) -> None:
        if self._adopting:
            return
        id = self._id(request)
        self._tell(id, request)
        self._answers.pop(id, None)
        self._fresh.pop(id, None)
        held = self.core.owned.get(id)
        self._sure = request, held is None or self.core.may_act(id, self.clock.now())
        if held is None or held.hand_over_to:
            return
        if request.server is None and self._paid(request) and request.may_have_run:
            phase = Phase.FAILED
        elif request.set_up.record_id and not (request.server is not None and self._paid(request)):
            phase = Phase.INTENT  # the play stays, and may be set up again
        else:
            phase = Phase.OVER
        self._update(id, phase, self._kept(request, request.server if phase is Phase.FAILED else None))

    def release(self, request: Request, cause: Cause) -> None:
        """Guards a successor's session: this router may have slept, or be cut off, and not know of it."""
        about, sure = self._sure
        if about is request and sure:
            request.servers.release(request, cause)
            return
        self._releases[self._id(request)] = request, cause
        evict_oldest(self._releases, PENDING_MOST)

    def _released(self, id: str) -> None:
        told = self._releases.pop(id, None)
        if told is not None:
            told[0].servers.release(*told)

    # Taking and giving

    def _took(self, id: str, work: Work, found: Work | None) -> None:
        wire = self.wires.get(id[0])
        if (
            found is not None
            and found.phase is Phase.INTENT
            and found.owner != work.owner
            or work.phase is Phase.DOOMED
        ):
            left = read(work if found is None or found.phase is not Phase.INTENT else found)
            if left is not None and left.server >= 0 and wire is not None:
                wire.let_go(left)
        why = ""
        if work.phase is Phase.STANDS:
            kept = read(work)
            if wire is None:
                why = "this router has no such front"
            elif kept is None:
                why = "it is of another version"
            elif kept.server >= 0 and kept.server not in self.router.listings:
                why = "its box is not listed"
            elif not wire.adopt(id, kept):
                why = "no room, or its title is unknown"
            if why:
                self.log.warn(
                    "{name}: custody: {id} can't go on here: {why}", name=self.members.name, id=id, why=why
                )
        abandoned = (
            work.phase is Phase.INTENT
            and not work.paid
            and id not in self.core.acquisitions
            and (wire is None or not wire.wanted(id))
        )
        if why or abandoned:
            self._act(self.core.update(self.clock.now(), id, Phase.OVER, work.body))

    def carry(self, ask: SetUpRequest, kept: Kept, viewer: ClientPort, boxes: ServerPort) -> Request | None:
        """For fronts that adopt: the session goes into the core, without a claim of its own."""
        if kept.class_name not in self.router.classes:
            return None
        self._adopting = True
        try:
            request = self.router.adopt(ask, kept.server, viewer, boxes)
        finally:
            self._adopting = False
        if request is not None:
            request.rung = kept.rung
        return request

    def _lost(self, id: str, over: bool) -> None:
        self._releases.pop(id, None)
        self._answers.pop(id, None)
        wire = self.wires.get(id[0])
        request = None if wire is None else wire.held(id)
        if request is not None:
            self._tell(id, request)  # what waits to be told of it is answered from here still
            self.note(self.handed, request.set_up.session_id)
        if wire is not None:
            wire.lost(id)
        if request is not None:
            server = request.server
            self.router.hand_over(request)
            if over and server is not None and wire is not None:
                wire.let_go(self._kept(request, server))

    @staticmethod
    def note(table: OrderedDict[str, None], name: str) -> None:
        table[name] = None
        evict_oldest(table, HANDED_MOST)
