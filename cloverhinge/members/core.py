"""Membership as a machine of events: a time and a message go in, messages and events come out.  Pure.

Nothing here waits, sends or reads a clock.  `due` is called every TICK_MS; whatever is called first after a
pause notices it.  See docs/design/members.md for what is promised.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import msgspec

from cloverhinge.members import wire
from cloverhinge.members.table import Table, View
from cloverhinge.members.watch import Watch, reached, rings
from cloverhinge.members.wire import (
    Ack,
    Ask,
    Carry,
    Hello,
    Message,
    News,
    Ping,
    Record,
    State,
    Stray,
    Welcome,
    Window,
)

TICK_MS = 50.0  # pace of looking: an eighth of the time between questions
SUSPECT_MS = 100.0  # unreached for so long: news that crossed have met by then
AWAY_MS = 300.0  # a tick so late was no jitter of the machine: this process slept
AWAY_TOLD_MS = 1000.0  # pauses that the log tells; shorter ones are counted
HELLO_MS = 500.0  # between questions to addresses that are not members now
JOIN_MS = 1000.0  # a starter that nobody answered for so long begins alone
KNOCK_AFTER = 1.5  # times the pace of questions: then a connection is tried
KNOCK_MS, KNOCK_AGAIN_MS = 500.0, 120.0  # between connections tried; the second after a refusal
ASK_MS = 1000.0  # between comparisons of a slice with a member drawn by lot
SLICE = 32  # names in it: with their numbers some 800 bytes
NEWS_BYTES = 900  # of news in a datagram; the rest is room for its head
FAN = 3  # members that hear of urgent news at each tick
TIMES = 2  # news are told so often, times the logarithm of the members' number: e^-10 of 16 miss one
PER_MEMBER_MS = 25.0  # the pace of publishing is slower by this for each member: 40 facts a second in all
PUBLISH_MS = 1000.0  # at least so long between two publications of facts
WHOLE_MS = 1000.0  # between whole states to one member
WINDOWS = 4096  # runs whose numbers are remembered: four lives of each of 1,024 members
REPLIES_S = 200.0  # answers a second to those who are not known: they may be forged or replayed
PROVEN_MS = 3000.0  # for so long an answer lets its sender's word on others count
PROVEN_MOST = 256  # runs, and welcomes sent, that are remembered for that
HELLOS_MOST = 128  # questions out to strangers: two rounds to the most addresses that may be named
TWINS = 3  # times that one other run takes this name back before it counts as living
SHUT_MS = 5000.0  # a router whose name is taken asks again after so long

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Rules:
    """What an installation sets: times in ms."""

    probe_ms: float = 400.0  # between two questions to one member
    quiet_ms: float = 1200.0  # unheard for so long, a member is not heard any more
    out_ms: float = 2800.0  # reached by nobody for so long after that, it is out
    watch: int = 6  # members that each one watches


@dataclass(frozen=True, slots=True)
class Send:
    """To an address, or (`back`) to where the message that is being handled came from."""

    to: Address | None
    message: Message


@dataclass(frozen=True, slots=True)
class Knock:
    """Try a connection, and ask over it; `knocked` is to be told what came of it."""

    name: str
    run: int
    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Away:
    """This process slept for `ms`: what it believed of others and of itself may be over."""

    ms: float


@dataclass(frozen=True, slots=True)
class Changed:
    """A member came, went, came again or is under suspicion; `view` is what holds now."""

    name: str
    what: str  # joined, returned, restarted, suspect, heard, dead, left
    reason: str
    incarnation: int
    view: View


@dataclass(frozen=True, slots=True)
class Voided:
    """Others held this router for dead: it goes on as a new incarnation, and what it owned is void."""

    incarnation: int
    reason: str


@dataclass(frozen=True, slots=True)
class Say:
    text: str
    error: bool = False


@dataclass(frozen=True, slots=True)
class Carried:
    """One run of a member's said this to a part that is built on membership."""

    name: str
    run: int
    part: str
    body: bytes


Action = Send | Knock | Away | Changed | Voided | Say | Carried


@dataclass(slots=True)
class Counters:
    sent: int = 0
    received: int = 0
    replayed: int = 0
    stray: int = 0
    knocks: int = 0
    pauses: int = 0
    paused_ms: float = 0.0
    accused: int = 0
    unanswered_strangers: int = 0
    news: int = 0


@dataclass(slots=True)
class Known:
    """What is noted of a member beside its record."""

    since_ms: float
    lost_ms: float | None = None  # since when it has been reached by nobody from here
    suspect: bool = False
    accused: Record | None = None  # said to be dead by somebody, while it is reached from here
    accused_ms: float = 0.0
    whole_ms: float = -1e12  # when it was last asked for everything
    differs_ms: float | None = None  # since when its view has been another one


def trim(table: OrderedDict[Any, Any], most: int) -> None:
    """The oldest entries give way."""
    while len(table) > most:
        table.popitem(last=False)


class Members:
    """One router's membership.  `run` tells its starts apart, `seed` spreads its timers."""

    def __init__(
        self,
        name: str,
        site: str,
        address: Address,
        join: tuple[Address, ...],
        run: int,
        seed: int,
        rules: Rules | None = None,
    ) -> None:
        self.name, self.site, self.address, self.run = name, site, address, run
        self.rules = rules or Rules()
        self.join = tuple(x for x in join if x != address)
        self.random = random.Random(seed)
        self.table = Table()
        self.known: dict[str, Known] = {}
        self.watches: dict[str, Watch] = {}
        self.windows: OrderedDict[int, Window] = OrderedDict()
        self.counters = Counters()
        self.own = Record(name, 1, run, State.ALIVE, 0, *address, site)
        self.joined = False
        self.left = False
        self.lived_before = False  # others remember an earlier run of this name
        self.shut_until_ms = -1e12  # its name is taken until then
        self.asking_until_ms = -1e12  # after a pause: nobody is accused before
        self.heard_since_pause = True
        self._out: list[Action] = []
        self._number = 0
        self._started_ms = self._last_ms = self._hello_ms = self._ask_ms = self._published_ms = 0.0
        self._hellos: OrderedDict[int, Address] = OrderedDict()  # by nonce, whom it asked
        self._next_slice = ""
        self._facts: bytes | None = None  # waiting for its turn
        self._strangers = 0.0
        self._strangers_ms = 0.0
        self._reached: set[str] = {name}
        self._dirty = True
        self._rewatch = False
        self._urgent = False
        self._least = 1  # the incarnation to begin with
        self._twin_at: Address | None = None
        self._taken_by, self._taken_back = 0, 0  # a run that claims this name again and again
        self._twin_told = 0  # the run of that name that the log has told of
        self._starting: set[Address] = set()  # of the addresses to join: those who are only starting, too
        self._lost: set[str] = set()  # members that are not reached, or are under suspicion
        self._accused: set[str] = set()
        self._farewell: list[str] = []  # who is told, and told again, that this router leaves
        self._proven: OrderedDict[int, float] = OrderedDict()  # runs that answered, until when it counts
        self._welcomes: OrderedDict[int, int] = OrderedDict()  # numbers of those sent, and to which run
        self._twin_until_ms = 0.0

    # What may be asked at any time

    def view(self) -> View:
        return self.table.view()

    @property
    def trusted(self) -> bool:
        """Whether this process has heard from others since it last slept (alone: that it is awake)."""
        return self.heard_since_pause and self._last_ms >= self.asking_until_ms

    def state(self, name: str) -> str:
        record = self.table.records[name]
        if record.state is not State.ALIVE:
            return record.state.name.lower()
        return "suspect" if self.known[name].suspect else "alive"

    def reach(self, name: str) -> tuple[list[str], list[str]]:
        """Who of those that watch it hear it, and who of them do not (as far as they can be reached)."""
        told = [x for x in sorted(self._pair(name)[1]) if x in self._reached]
        heard = [x for x in told if name in self.table.records[x].hears]
        return heard, [x for x in told if x not in heard]

    # Events

    def start(self, now: float) -> list[Action]:
        self._started_ms = self._last_ms = self._strangers_ms = self._published_ms = now
        self._hello_ms = now + self.random.uniform(0.0, TICK_MS)
        self._ask_ms = now + self.random.uniform(0.5, 1.5) * ASK_MS
        if not self.join:
            self._enter(now)
        return self._done()

    def awake(self, now: float) -> list[Action]:
        """To be asked before anything that rests on membership is done: it tells of a pause at once."""
        self._wake(now)
        return self._done()

    def publish(self, now: float, facts: bytes) -> list[Action]:
        """At most FACTS_MOST bytes, told at the pace that the number of members allows; the newest counts."""
        if len(facts) > wire.FACTS_MOST:
            raise ValueError(f"facts of {len(facts)} bytes, {wire.FACTS_MOST} at most")
        self._wake(now)
        self._facts = facts if facts != self.own.facts else None
        return self._done()

    def carry(self, now: float, name: str, run: int, part: str, body: bytes) -> list[Action]:
        """Sends what a part says to that run of a member's; nothing where it is not known."""
        self._wake(now)
        record = self.table.records.get(name)
        if record is not None and record.run == run:
            self._send(record, Carry(part=part, body=body))
        return self._done()

    def leave(self, now: float) -> list[Action]:
        """A planned end: the others are told now, and once more at each tick while it is called `due`."""
        self._wake(now)
        if self.joined and not self.left:
            self._farewell = self._neighbours()
            self._set_own(now, state=State.LEFT, hears=(), refused=(), by="told to end")
            for name in self._farewell:
                self._send(self.table.records[name], News(news=[self.own]))
        self.left = True
        return self._done()

    def due(self, now: float) -> list[Action]:
        self._wake(now)
        if self.left:
            for name in self._some(self._farewell):
                self._send(self.table.records[name], News(news=[self.own]))
            return self._done()
        if not self.joined:
            self._try_to_join(now)
        else:
            if self._rewatch:
                self._watch(now)
            self._probe(now)
            self._look(now)
            self._judge(now)
            self._compare(now)
            self._publish_facts(now)
        if now >= self._hello_ms:
            self._hello_ms = now + HELLO_MS * self.random.uniform(0.8, 1.2)
            self._say_hello()
        if self._urgent:
            self._urgent = False
            self._spread()
        return self._done()

    def received(self, now: float, message: wire.Told, came: Address | None = None) -> list[Action]:
        """A message that was signed as it has to be; `came` is where it came from, for the log."""
        self._wake(now)
        self.counters.received += 1
        if message.run == self.run or self.left and not isinstance(message, Carry):
            return self._done()
        if message.to != self.run:
            self._stranger(now, message)
            return self._done()
        if not self._fresh(message):
            self.counters.replayed += 1
            return self._done()
        self.heard_since_pause = True
        if message.sender == self.name:
            if not self._outranks(message):
                self._twin(now, message.run, came)
            return self._done()
        match message:
            case Carry():
                self._out.append(Carried(message.sender, message.run, message.part, message.body))
            case Ping():
                if self.joined:
                    self._reply(message, Ack(of=message.number, digest=self.table.digest, news=self._news()))
                    self._merge(now, message)
                    self._same(now, message)
            case Ack():
                self._heard(message.sender, message.run, message.of)
                self._merge(now, message)
                self._same(now, message)
            case Welcome():
                self._welcome(now, message)
            case Ask():
                if self._welcomes.get(message.of) == message.run:
                    self._prove(now, message.run)
                self._merge(now, message)
                self._answer(message)
            case News():
                self._merge(now, message)
                if message.wanted:
                    self._records_to(
                        message, [self.table.records[x] for x in message.wanted if x in self.table.records]
                    )
            case Stray():
                self._stray(now, message)
        return self._done()

    def knocked(self, now: float, name: str, run: int, sent_ms: float, refused: bool) -> list[Action]:
        """What became of a connection: refused (nobody listens), or silence.  Answers are `received`."""
        self._wake(now)
        watch, record = self.watches.get(name), self.table.records.get(name)
        if watch is not None and record is not None and record.run == run:
            watch.knocking = False
            if refused and (watch.heard_ms is None or watch.heard_ms < sent_ms) and not self._asking(now):
                watch.refused(now)
                watch.next_knock_ms = now + KNOCK_AGAIN_MS
                self._look(now)
                if self._urgent:
                    self._urgent = False
                    self._spread()
        return self._done()

    # Pauses

    def _wake(self, now: float) -> None:
        late = now - self._last_ms - TICK_MS
        self._last_ms = max(now, self._last_ms)
        if late < AWAY_MS:
            return
        self.counters.pauses += 1
        self.counters.paused_ms += late
        for watch in self.watches.values():
            watch.away(late)
        for known in self.known.values():
            if known.lost_ms is not None:
                known.lost_ms += late
        self.asking_until_ms = now + 2.0 * self.rules.probe_ms
        self.heard_since_pause = not self.watches
        self._out.append(Away(late))
        if late >= AWAY_TOLD_MS:
            self._out.append(Say(f"this process slept for {late:.0f} ms: nobody is accused of that time"))
        for name in self._some(sorted(self.watches)):
            self._whole(now, self.table.records[name])

    def _asking(self, now: float) -> bool:
        return now < self.asking_until_ms

    # Coming in

    def _try_to_join(self, now: float) -> None:
        if now < self.shut_until_ms:
            return
        if self._twin_at is not None:
            if now >= self._twin_until_ms:
                self._twin_at = None
                self._enter(now)
        elif now - max(self._started_ms, self.shut_until_ms) >= JOIN_MS:
            self._out.append(Say("nobody answered at the addresses to join: begins alone, goes on trying"))
            self._enter(now)

    def _enter(self, now: float) -> None:
        self.joined = True
        self._hello_ms = now
        self.known[self.name] = Known(now)
        self.own = msgspec.structs.replace(self.own, incarnation=max(self._least, self.own.incarnation))
        self._adopt(now, self.own, "joined", "by its own word")

    def _welcome(self, now: float, message: Welcome) -> None:
        asked = self._hellos.pop(message.nonce, None)
        if asked is None:
            return
        if message.yours is not None and message.yours.run != self.run:
            self._least = max(self._least, message.yours.incarnation + 1)
            self.lived_before = True
        if not self.joined:
            if now < self.shut_until_ms:
                return
            if not message.joined or message.own is None:
                self._starting.add(asked)
                if self._starting.issuperset(self.join) and self._twin_at is None:
                    self._enter(now)  # all start at once: nobody is there to be asked
                return
            held = message.yours
            if (
                held is not None
                and held.state is State.ALIVE
                and held.address != self.address
                and held.run != self.run
            ):
                if self._twin_at is None:  # does whoever has this name still live there?
                    self._twin_at, self._twin_until_ms = held.address, now + JOIN_MS
                    self._hello_to(held.address)
                return
            if self._twin_at is None:
                self._enter(now)
        if not self.joined:
            return
        self._prove(now, message.run)
        self._take_all(now, [x for x in (message.own, message.yours) if x is not None])
        held = self.table.records.get(message.sender)
        if message.own is not None and held is not None:
            self._whole(now, held, message.run, message.number)

    def _outranks(self, message: wire.Told) -> bool:
        """Guards against two of one name that each give way to the other: who is no member puts no member
        out, and of two that are none the higher run goes on.  A stray tells of no membership."""
        if isinstance(message, Welcome) and not message.joined:
            return self.joined or message.run < self.run
        return isinstance(message, Stray)

    def _twin(self, now: float, run: int, came: Address | None) -> None:
        """Another living process has this name.  The one that came later, or has the lower run, gives way."""
        if now < self.shut_until_ms:
            return
        where = "" if came is None else f" (at {came[0]}:{came[1]})"
        if self.joined and run < self.run:
            self._out.append(Say(f"another router calls itself {self.name} too{where}: it gives way", True))
            return
        self._out.append(
            Say(
                f"the name {self.name} is another living router's{where}: stays out of the "
                f"members, and asks again in {SHUT_MS / 1000:.0f} s",
                True,
            )
        )
        self.shut_until_ms, self.joined, self._twin_at = now + SHUT_MS, False, None
        self.own = msgspec.structs.replace(self.own, incarnation=1, hears=(), refused=())
        self.table, self.known, self.watches = Table(), {}, {}
        self._dirty, self._reached, self._lost, self._accused = True, {self.name}, set(), set()
        self._out.append(Voided(0, "its name is another's"))

    def _say_hello(self) -> None:
        """To the seeds while joining; then to one address by lot of those that are not members now."""
        if not self.joined:
            targets = list(self.join)
            if self._twin_at is not None:
                targets.append(self._twin_at)
        else:
            members = {self.table.records[x].address for x in self.table.names}
            gone = {x.address: x for x in self.table.records.values() if x.state is State.DEAD}
            targets = [x for x in dict.fromkeys([*self.join, *gone]) if x not in members]
            targets = [self.random.choice(targets)] if targets else []
            if targets and targets[0] in gone:  # it may hear, and not be heard: then it learns of it
                self._send(gone[targets[0]], News(news=[gone[targets[0]]]))
        for address in targets:
            self._hello_to(address)

    def _hello_to(self, address: Address) -> None:
        nonce = self.random.getrandbits(62)
        self._hellos[nonce] = address
        trim(self._hellos, HELLOS_MOST)
        self._put(Send(address, Hello(nonce=nonce, host=self.address[0], port=self.address[1])), 0)

    def _stranger(self, now: float, message: wire.Told) -> None:
        """Not said to this run: it may be old, or replayed.  It is answered within a bound, and no more."""
        self._strangers = max(0.0, self._strangers - (now - self._strangers_ms) * REPLIES_S / 1000.0)
        self._strangers_ms = now
        if self._strangers >= REPLIES_S:
            self.counters.unanswered_strangers += 1
            return
        self._strangers += 1.0
        if isinstance(message, Hello):
            if message.sender == self.name and self.joined and message.run != self._twin_told:
                self._twin_told = message.run
                where = f"{message.host}:{message.port}"
                self._out.append(Say(f"another router calls itself {self.name}, at {where}", True))
            self._reply(
                message,
                Welcome(
                    nonce=message.nonce,
                    joined=self.joined,
                    own=self.own if self.joined else None,
                    yours=self.table.records.get(message.sender) if self.joined else None,
                ),
            )
            self._welcomes[self._number] = message.run
            trim(self._welcomes, PROVEN_MOST)
        elif not isinstance(message, Stray | Welcome):
            self.counters.stray += 1
            self._reply(message, Stray(of=message.number))

    def _stray(self, now: float, message: Stray) -> None:
        """Where a member's run was, another one is: that run is over."""
        watch, record = self.watches.get(message.sender), self.table.records.get(message.sender)
        if watch is None or record is None or message.of not in watch.asked or record.run == message.run:
            return
        self._hello_to(record.address)
        while not watch.refusing:
            watch.refused(now)
        self._look(now)

    # News

    def _fresh(self, message: wire.Told) -> bool:
        window = self.windows.get(message.run)
        if window is None:
            window = self.windows[message.run] = Window()
            trim(self.windows, WINDOWS)
        else:
            self.windows.move_to_end(message.run)
        return window.take(message.number)

    def _prove(self, now: float, run: int) -> None:
        """Both directions to that run work, so its word counts for a while."""
        self._proven.pop(run, None)
        self._proven[run] = now + PROVEN_MS
        trim(self._proven, PROVEN_MOST)

    def _merge(self, now: float, message: Ping | Ack | Ask | News) -> None:
        """Who hears nobody holds all others for dead: his word on that is taken only where he is heard."""
        believed = self._proven.get(message.run, -1e12) >= now or message.sender in self._reached
        if not believed and len(self._reached) > 1:
            self._take_all(now, [x for x in message.news if x.state is not State.DEAD])
        else:
            self._take_all(now, message.news)

    def _take_all(self, now: float, news: list[Record]) -> None:
        if not self.joined or self.left:
            return
        for record in news:
            if record.name == self.name:
                self._defend(now, record)
            elif self.table.newer(record):
                self._take(now, record)

    def _defend(self, now: float, told: Record) -> None:
        """What is said of this router by others: only its own run may speak for it."""
        if told.run == self.run and told.state is State.ALIVE or told.incarnation < self.own.incarnation:
            return
        if told.run != self.run:
            self.lived_before = True
            if told.state is State.ALIVE and told.address != self.address:
                self._taken_back = self._taken_back + 1 if told.run == self._taken_by else 1
                self._taken_by = told.run
                if self._taken_back >= TWINS:
                    self._taken_back = 0
                    self._twin(now, told.run, told.address)
                    if not self.joined:
                        return
            self._set_own(now, incarnation=told.incarnation + 1)
            return
        self._set_own(now, incarnation=told.incarnation + 1)
        self.counters.accused += 1
        self._out.append(Voided(self.own.incarnation, told.by))
        self._out.append(Say(f"was held for dead ({told.by}): goes on as incarnation {self.own.incarnation}"))

    def _take(self, now: float, record: Record) -> None:
        held = self.table.records.get(record.name)
        if held is None:
            self._adopt(
                now,
                record,
                "joined" if record.state is State.ALIVE else record.state.name.lower(),
                record.by or "by its own word",
            )
            return
        alive = held.state is State.ALIVE
        if record.state is State.ALIVE:
            what = ""
            if held.incarnation != record.incarnation:
                what = "restarted" if held.run != record.run else "returned"
            self._adopt(now, record, what, "by its own word")
            return
        if (
            alive
            and record.state is State.DEAD
            and record.incarnation == held.incarnation
            and record.name in self._reached
        ):
            # It is heard here, so the word is old or from the far side of a cut: it is told, and may object.
            known = self.known[record.name]
            if known.accused is None:
                known.accused, known.accused_ms = record, -1e12
                self._accused.add(record.name)
            return
        self._adopt(now, record, record.state.name.lower(), record.by)

    def _adopt(self, now: float, record: Record, what: str, reason: str) -> None:
        held = self.table.records.get(record.name)
        if not self.table.put(record):
            return
        self.counters.news += 1
        known = self.known.get(record.name)
        if known is None:
            known = self.known[record.name] = Known(now)
        if what:
            known.since_ms = now
            known.accused = None
            if record.state is not State.ALIVE or what in ("restarted", "returned", "joined"):
                known.lost_ms, known.suspect = None, False
            if what == "restarted":
                self.watches.pop(record.name, None)  # nothing of the old run counts for the new one
            self._out.append(Changed(record.name, what, reason, record.incarnation, self.table.view()))
        if held is None or held.hears != record.hears or held.refused != record.refused or what:
            self._urgent = self._dirty = True
        if what:
            self._rewatch = True  # at the next tick, once for all that came: rings of 400 names take 3 ms

    def _watch(self, now: float) -> None:
        self._rewatch = False
        wanted = self._pair(self.name)[0]
        for name in self.watches.keys() - wanted:
            del self.watches[name]
        for name in sorted(wanted - self.watches.keys()):
            first = now + self.random.uniform(0.0, min(TICK_MS * 2, self.rules.probe_ms))
            self.watches[name] = Watch(now, first)

    def _set_own(self, now: float, **changed: object) -> None:
        number = self.own.number + 1
        was = self.own
        self.own = msgspec.structs.replace(self.own, number=number, **changed)
        what = "" if was.incarnation == self.own.incarnation else "returned"
        if self.own.state is State.LEFT:
            what = "left"
        self._adopt(now, self.own, what, self.own.by or "by its own word")

    def _publish_facts(self, now: float) -> None:
        pace = max(PUBLISH_MS, PER_MEMBER_MS * len(self.table.names))
        if self._facts is not None and now - self._published_ms >= pace:
            self._published_ms = now
            self._set_own(now, facts=self._facts)
            self._facts = None

    def _news(self) -> list[Record]:
        times = TIMES * max(1, len(self.table.names).bit_length())
        return self.table.take_news(NEWS_BYTES, times)

    def _pair(self, name: str) -> tuple[frozenset[str], frozenset[str]]:
        """Those that a member watches, and those that watch it."""
        return rings(self.table.names, self.rules.watch).get(name, (frozenset(), frozenset()))

    def _neighbours(self) -> list[str]:
        """Those that it watches and those that watch it."""
        watched, watching = self._pair(self.name)
        return sorted(watched | watching)

    def _some(self, names: list[str]) -> list[str]:
        return self.random.sample(names, min(FAN, len(names)))

    def _spread(self) -> None:
        for name in self._some(self._neighbours()):
            news = self._news()
            if news:
                self._send(self.table.records[name], News(news=news))

    # Both hold the same?

    def _same(self, now: float, message: Ping | Ack) -> None:
        """Views that differ for longer than news take: what one has goes to the other, at a pace."""
        record, known = self.table.records.get(message.sender), self.known.get(message.sender)
        if record is None or known is None or record.run != message.run:
            return
        if message.digest == self.table.digest:
            known.differs_ms = None
        elif known.differs_ms is None:
            known.differs_ms = now
        elif now - known.differs_ms >= WHOLE_MS:
            self._whole(now, record)

    def _whole(self, now: float, record: Record, run: int = 0, of: int = 0) -> None:
        known = self.known[record.name]
        if now - known.whole_ms < WHOLE_MS:
            return
        known.whole_ms = now
        have = [(x.name, x.incarnation, x.state, x.number) for x in self.table.records.values()]
        self._put(Send(record.address, Ask(of=of, have=have, news=[self.own])), run or record.run)

    def _compare(self, now: float) -> None:
        """One slice of all names with a member drawn by lot: what was lost is healed in a bounded time."""
        if now < self._ask_ms:
            return
        self._ask_ms = now + ASK_MS * self.random.uniform(0.8, 1.2)
        others = [x for x in self.table.names if x != self.name]
        if not others:
            return
        first = self._next_slice
        self._next_slice, names = self.table.slice(first, SLICE)
        held = self.table.records
        have = [(x, held[x].incarnation, held[x].state, held[x].number) for x in names]
        self._send(held[self.random.choice(others)], Ask(first=first, last=self._next_slice, have=have))

    def _answer(self, message: Ask) -> None:
        if not self.joined:
            return
        told = {name: (incarnation, int(state), number) for name, incarnation, state, number in message.have}

        def order(record: Record) -> tuple[int, int, int]:
            return record.incarnation, int(record.state), record.number

        newer, wanted = [], []
        for name in self.table.order:
            if name < message.first or message.last and name >= message.last:
                continue
            record = self.table.records[name]
            theirs = told.pop(name, None)
            if theirs is None or order(record) > theirs:
                newer.append(record)
            elif theirs > order(record):
                wanted.append(name)
        wanted += told
        self._records_to(message, newer, tuple(wanted))

    def _records_to(self, message: wire.Told, records: list[Record], wanted: tuple[str, ...] = ()) -> None:
        if records or wanted:
            self._reply(message, News(news=records, wanted=wanted))

    # Watching

    def _probe(self, now: float) -> None:
        for name, watch in self.watches.items():
            record = self.table.records[name]
            if now >= watch.next_ping_ms:
                watch.next_ping_ms = now + self.rules.probe_ms * self.random.uniform(0.9, 1.1)
                self._send(record, Ping(digest=self.table.digest, news=self._news()))
                watch.sent(self._number, now)
            if (
                not watch.knocking
                and now >= watch.next_knock_ms
                and watch.silent_ms(now) > KNOCK_AFTER * self.rules.probe_ms
                and not self._asking(now)
            ):
                watch.knocking = True
                watch.next_knock_ms = now + KNOCK_MS
                self.counters.knocks += 1
                ping = Ping(digest=self.table.digest)
                self._address(ping, record.run)
                watch.sent(self._number, now)
                self._out.append(Knock(name, record.run, record.address, ping))
        for name in list(self._accused):
            known = self.known[name]
            if known.accused is None:
                self._accused.discard(name)
            elif now - known.accused_ms >= HELLO_MS:
                known.accused_ms = now
                self._send(self.table.records[name], News(news=[known.accused]))

    def _heard(self, name: str, run: int, of: int) -> None:
        watch, record = self.watches.get(name), self.table.records.get(name)
        if watch is None or record is None or record.run != run:
            return
        sent_ms = watch.asked.pop(of, None)
        if sent_ms is not None:
            first = watch.heard_ms is None
            watch.heard(sent_ms)
            if first or name not in self.own.hears:
                self._look(self._last_ms)

    def _look(self, now: float) -> None:
        """Which of those that it watches are heard: told to all as soon as it changes."""
        if not self.joined or self._asking(now):
            return
        hears = tuple(name for name in sorted(self.watches) if self._hears(self.watches[name], now))
        refused = tuple(name for name in sorted(self.watches) if self.watches[name].refusing)
        if hears != self.own.hears or refused != self.own.refused:
            self._set_own(now, hears=hears, refused=refused)

    def _hears(self, watch: Watch, now: float) -> bool:
        quiet = watch.heard_ms is None or watch.silent_ms(now) > self.rules.quiet_ms
        return not quiet and not watch.refusing

    def _judge(self, now: float) -> None:
        """Who is reached, who is under suspicion, and who is out."""
        names = self.table.names
        if self._dirty:
            self._dirty = False
            self._reached = reached(self.name, self.own.hears, self.table.records, names)
            self._lost.update(set(names) - self._reached)
        if not self._lost:
            return
        for name in sorted(self._lost):
            known = self.known[name]
            if name in self._reached or not self.table.alive(name):
                if known.suspect and self.table.alive(name):
                    self._suspect(name, known, False, "heard again")
                known.lost_ms = None
                self._lost.discard(name)
                continue
            if known.lost_ms is None:
                known.lost_ms = max(now, known.since_ms + self.rules.quiet_ms)  # a newcomer is given time
            if self._asking(now):
                continue
            reason = self._verdict(now, name, known, self._pair(name)[1])
            if reason:
                dead = msgspec.structs.replace(
                    self.table.records[name],
                    state=State.DEAD,
                    hears=(),
                    refused=(),
                    facts=b"",
                    by=f"{self.name}: {reason}"[:256],
                )
                self._adopt(now, dead, "dead", dead.by)
            elif (
                not known.suspect
                and now - known.lost_ms >= SUSPECT_MS
                and now - known.since_ms >= self.rules.quiet_ms
            ):
                self._suspect(name, known, True, "heard by none that can be reached")

    def _suspect(self, name: str, known: Known, so: bool, reason: str) -> None:
        known.suspect = so
        known.since_ms = self._last_ms
        self._out.append(
            Changed(
                name,
                "suspect" if so else "heard",
                reason,
                self.table.records[name].incarnation,
                self.table.view(),
            )
        )

    def _verdict(self, now: float, name: str, known: Known, observers: frozenset[str]) -> str:
        """Why a member that nobody reaches is out, or "" while it is not."""
        if known.accused is not None and known.accused.incarnation == self.table.records[name].incarnation:
            return f"nobody hears it here either; {known.accused.by}"
        voters = [x for x in sorted(observers) if x in self._reached]
        refused = [x for x in voters if name in self.table.records[x].refused]
        if voters and 2 * len(refused) > len(voters):
            return f"its address refuses connections, say {', '.join(refused)}"
        lost = now - (known.lost_ms if known.lost_ms is not None else now)
        if lost >= self.rules.out_ms:
            who = ", ".join(voters) or "all out of reach"
            return f"heard by none of its observers ({who}) for {lost:.0f} ms"
        return ""

    # Sending

    def _send(self, record: Record, message: Message) -> None:
        self._put(Send(record.address, message), record.run)

    def _reply(self, message: wire.Told, answer: Message) -> None:
        self._put(Send(None, answer), message.run)

    def _address(self, message: Message, run: int) -> None:
        self._number += 1
        message.sender, message.run, message.to, message.number = self.name, self.run, run, self._number

    def _put(self, send: Send, run: int) -> None:
        self._address(send.message, run)
        self.counters.sent += 1
        self._out.append(send)

    def _done(self) -> list[Action]:
        done, self._out = self._out, []
        return done
