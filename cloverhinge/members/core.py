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
from cloverhinge.members.table import MemberTable, View
from cloverhinge.members.watch import PeerMonitor, reachable_from, watch_relations
from cloverhinge.members.wire import (
    Ack,
    ComponentMessage,
    DiscoverReply,
    DiscoverRequest,
    Message,
    Ping,
    Record,
    ReplayWindow,
    State,
    SyncRequest,
    Update,
    WrongRun,
)

TICK_MS = 50.0  # pace of looking: an eighth of the time between questions
SUSPECT_MS = 100.0  # unreached for so long: news that crossed have met by then
MIN_PAUSE_MS = 300.0  # a tick so late was no jitter of the machine: this process slept
MIN_LOGGED_PAUSE_MS = 1000.0  # pauses that the log tells; shorter ones are counted
DISCOVER_INTERVAL_MS = 500.0  # between questions to addresses that are not members now
JOIN_TIMEOUT_MS = 1000.0  # a starter that nobody answered for so long begins alone
CONNECT_AFTER_PROBES = 1.5  # times the pace of questions: then a connection is tried
CONNECT_INTERVAL_MS, CONNECT_RETRY_MS = 500.0, 120.0  # between connections tried; the second after a refusal
SYNC_INTERVAL_MS = 1000.0  # between comparisons of a slice with a member drawn by lot
SYNC_SLICE_NAMES = 32  # names in it: with their numbers some 800 bytes
MAX_UPDATE_BYTES = 900  # of news in a datagram; the rest is room for its head
GOSSIP_FANOUT = 3  # members that hear of urgent news at each tick
REPEATS_PER_LOG2 = (
    2  # news are told so often, times the logarithm of the members' number: e^-10 of 16 miss one
)
PUBLISH_MS_PER_MEMBER = (
    25.0  # the pace of publishing is slower by this for each member: 40 facts a second in all
)
MIN_PUBLISH_INTERVAL_MS = 1000.0  # at least so long between two publications of facts
FULL_SYNC_INTERVAL_MS = 1000.0  # between whole states to one member
MAX_REPLAY_WINDOWS = 4096  # runs whose numbers are remembered: four lives of each of 1,024 members
MAX_REPLIES_PER_S = 200.0  # answers a second to those who are not known: they may be forged or replayed
PROOF_VALID_MS = 3000.0  # for so long an answer lets its sender's word on others count
MAX_PROVEN_RUNS = 256  # runs, and welcomes sent, that are remembered for that
MAX_PENDING_DISCOVERS = 128  # questions out to strangers: two rounds to the most addresses that may be named
MAX_NAME_RECLAIMS = 3  # times that one other run takes this name back before it counts as living
NAME_CONFLICT_RETRY_MS = 5000.0  # a router whose name is taken asks again after so long

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

    address: Address | None
    message: Message


@dataclass(frozen=True, slots=True)
class ConnectProbe:
    """Try a connection, and ask over it; `knocked` is to be told what came of it."""

    name: str
    run: int
    address: Address
    message: Message


@dataclass(frozen=True, slots=True)
class ProcessPaused:
    """This process slept for `ms`: what it believed of others and of itself may be over."""

    ms: float


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member came, went, came again or is under suspicion; `view` is what holds now."""

    name: str
    change: str  # joined, returned, restarted, suspect, heard, dead, left
    reason: str
    incarnation: int
    view: View


@dataclass(frozen=True, slots=True)
class IncarnationVoided:
    """Others held this router for dead: it goes on as a new incarnation, and what it owned is void."""

    incarnation: int
    reason: str


@dataclass(frozen=True, slots=True)
class LogLine:
    text: str
    error: bool = False


@dataclass(frozen=True, slots=True)
class ComponentMessageReceived:
    """One run of a member's said this to a part that is built on membership."""

    name: str
    run: int
    component: str
    body: bytes


Action = (
    Send
    | ConnectProbe
    | ProcessPaused
    | MemberChanged
    | IncarnationVoided
    | LogLine
    | ComponentMessageReceived
)


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
class MemberInfo:
    """What is noted of a member beside its record."""

    since_ms: float
    unreachable_since_ms: float | None = None  # since when it has been reached by nobody from here
    suspect: bool = False
    death_claim: Record | None = None  # said to be dead by somebody, while it is reached from here
    death_claim_sent_ms: float = 0.0
    full_sync_ms: float = -1e12  # when it was last asked for everything
    differs_since_ms: float | None = None  # since when its view has been another one


def evict_oldest(table: OrderedDict[Any, Any], max_entries: int) -> None:
    """The oldest entries give way."""
    while len(table) > max_entries:
        table.popitem(last=False)


class Membership:
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
        self.join_addresses = tuple(x for x in join if x != address)
        self.random = random.Random(seed)
        self.table = MemberTable()
        self.member_info: dict[str, MemberInfo] = {}
        self.monitors: dict[str, PeerMonitor] = {}
        self.replay_windows: OrderedDict[int, ReplayWindow] = OrderedDict()
        self.counters = Counters()
        self.own_record = Record(name, 1, run, State.ALIVE, 0, *address, site)
        self.joined = False
        self.left = False
        self.had_earlier_run = False  # others remember an earlier run of this name
        self.name_conflict_until_ms = -1e12  # its name is taken until then
        self.resync_until_ms = -1e12  # after a pause: nobody is accused before
        self.received_since_pause = True
        self._actions: list[Action] = []
        self._number = 0
        self._started_ms = self._last_ms = self._next_discover_ms = self._next_sync_ms = (
            self._published_ms
        ) = 0.0
        self._pending_discovers: OrderedDict[int, Address] = OrderedDict()  # by nonce, whom it asked
        self._next_slice = ""
        self._pending_facts: bytes | None = None  # waiting for its turn
        self._reply_budget_used = 0.0
        self._reply_budget_ms = 0.0
        self._reachable: set[str] = {name}
        self._reachability_dirty = True
        self._monitors_dirty = False
        self._gossip_due = False
        self._first_incarnation = 1  # the incarnation to begin with
        self._duplicate_address: Address | None = None
        self._reclaiming_run, self._reclaims = 0, 0  # a run that claims this name again and again
        self._logged_duplicate_run = 0  # the run of that name that the log has told of
        self._starting_addresses: set[Address] = (
            set()
        )  # of the addresses to join: those who are only starting, too
        self._unreachable: set[str] = set()  # members that are not reached, or are under suspicion
        self._disputed: set[str] = set()
        self._leave_targets: list[str] = []  # who is told, and told again, that this router leaves
        self._proven_until_ms: OrderedDict[int, float] = (
            OrderedDict()
        )  # runs that answered, until when it counts
        self._sent_discover_replies: OrderedDict[int, int] = (
            OrderedDict()
        )  # numbers of those sent, and to which run
        self._duplicate_until_ms = 0.0

    # What may be asked at any time

    def view(self) -> View:
        return self.table.view()

    @property
    def trusted(self) -> bool:
        """Whether this process has heard from others since it last slept (alone: that it is awake)."""
        return self.received_since_pause and self._last_ms >= self.resync_until_ms

    def state(self, name: str) -> str:
        record = self.table.records[name]
        if record.state is not State.ALIVE:
            return record.state.name.lower()
        return "suspect" if self.member_info[name].suspect else "alive"

    def split_observers(self, name: str) -> tuple[list[str], list[str]]:
        """Who of those that watch it hear it, and who of them do not (as far as they can be reached)."""
        told = [x for x in sorted(self._watch_relation(name)[1]) if x in self._reachable]
        heard = [x for x in told if name in self.table.records[x].reachable]
        return heard, [x for x in told if x not in heard]

    # Events

    def start(self, now: float) -> list[Action]:
        self._started_ms = self._last_ms = self._reply_budget_ms = self._published_ms = now
        self._next_discover_ms = now + self.random.uniform(0.0, TICK_MS)
        self._next_sync_ms = now + self.random.uniform(0.5, 1.5) * SYNC_INTERVAL_MS
        if not self.join_addresses:
            self._become_member(now)
        return self._take_actions()

    def check_pause(self, now: float) -> list[Action]:
        """To be asked before anything that rests on membership is done: it tells of a pause at once."""
        self._detect_pause(now)
        return self._take_actions()

    def publish(self, now: float, facts: bytes) -> list[Action]:
        """At most FACTS_MOST bytes, told at the pace that the number of members allows; the newest counts."""
        if len(facts) > wire.MAX_FACTS_BYTES:
            raise ValueError(f"facts of {len(facts)} bytes, {wire.MAX_FACTS_BYTES} at most")
        self._detect_pause(now)
        self._pending_facts = facts if facts != self.own_record.facts else None
        return self._take_actions()

    def send_component_message(
        self, now: float, name: str, run: int, component: str, body: bytes
    ) -> list[Action]:
        """Sends what a part says to that run of a member's; nothing where it is not known."""
        self._detect_pause(now)
        record = self.table.records.get(name)
        if record is not None and record.run == run:
            self._send(record, ComponentMessage(component=component, body=body))
        return self._take_actions()

    def leave(self, now: float) -> list[Action]:
        """A planned end: the others are told now, and once more at each tick while it is called `due`."""
        self._detect_pause(now)
        if self.joined and not self.left:
            self._leave_targets = self._neighbours()
            self._set_own(now, state=State.LEFT, reachable=(), refused=(), state_reason="told to end")
            for name in self._leave_targets:
                self._send(self.table.records[name], Update(records=[self.own_record]))
        self.left = True
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        self._detect_pause(now)
        if self.left:
            for name in self._sample_fanout(self._leave_targets):
                self._send(self.table.records[name], Update(records=[self.own_record]))
            return self._take_actions()
        if not self.joined:
            self._try_to_join(now)
        else:
            if self._monitors_dirty:
                self._update_monitors(now)
            self._probe(now)
            self._update_reachable(now)
            self._evaluate_members(now)
            self._sync_slice(now)
            self._publish_facts(now)
        if now >= self._next_discover_ms:
            self._next_discover_ms = now + DISCOVER_INTERVAL_MS * self.random.uniform(0.8, 1.2)
            self._discover()
        if self._gossip_due:
            self._gossip_due = False
            self._gossip()
        return self._take_actions()

    def receive(self, now: float, message: wire.AnyMessage, source: Address | None = None) -> list[Action]:
        """A message that was signed as it has to be; `came` is where it came from, for the log."""
        self._detect_pause(now)
        self.counters.received += 1
        if message.run == self.run or self.left and not isinstance(message, ComponentMessage):
            return self._take_actions()
        if message.to_run != self.run:
            self._handle_other_run(now, message)
            return self._take_actions()
        if not self._is_fresh(message):
            self.counters.replayed += 1
            return self._take_actions()
        self.received_since_pause = True
        if message.sender == self.name:
            if not self._name_conflict_ignored(message):
                self._resolve_name_conflict(now, message.run, source)
            return self._take_actions()
        match message:
            case ComponentMessage():
                self._actions.append(
                    ComponentMessageReceived(message.sender, message.run, message.component, message.body)
                )
            case Ping():
                if self.joined:
                    self._reply(
                        message,
                        Ack(
                            ping_number=message.number, digest=self.table.digest, records=self._next_updates()
                        ),
                    )
                    self._merge(now, message)
                    self._compare_digest(now, message)
            case Ack():
                self._record_answer(message.sender, message.run, message.ping_number)
                self._merge(now, message)
                self._compare_digest(now, message)
            case DiscoverReply():
                self._handle_discover_reply(now, message)
            case SyncRequest():
                if self._sent_discover_replies.get(message.reply_number) == message.run:
                    self._mark_proven(now, message.run)
                self._merge(now, message)
                self._answer_sync(message)
            case Update():
                self._merge(now, message)
                if message.wanted:
                    self._reply_with_records(
                        message, [self.table.records[x] for x in message.wanted if x in self.table.records]
                    )
            case WrongRun():
                self._handle_wrong_run(now, message)
        return self._take_actions()

    def connect_ended(self, now: float, name: str, run: int, sent_ms: float, refused: bool) -> list[Action]:
        """What became of a connection: refused (nobody listens), or silence.  Answers are `received`."""
        self._detect_pause(now)
        watch, record = self.monitors.get(name), self.table.records.get(name)
        if watch is not None and record is not None and record.run == run:
            watch.connecting = False
            if (
                refused
                and (watch.answered_ms is None or watch.answered_ms < sent_ms)
                and not self._resyncing(now)
            ):
                watch.record_refusal(now)
                watch.next_connect_ms = now + CONNECT_RETRY_MS
                self._update_reachable(now)
                if self._gossip_due:
                    self._gossip_due = False
                    self._gossip()
        return self._take_actions()

    # Pauses

    def _detect_pause(self, now: float) -> None:
        late = now - self._last_ms - TICK_MS
        self._last_ms = max(now, self._last_ms)
        if late < MIN_PAUSE_MS:
            return
        self.counters.pauses += 1
        self.counters.paused_ms += late
        for watch in self.monitors.values():
            watch.credit_pause(late)
        for known in self.member_info.values():
            if known.unreachable_since_ms is not None:
                known.unreachable_since_ms += late
        self.resync_until_ms = now + 2.0 * self.rules.probe_ms
        self.received_since_pause = not self.monitors
        self._actions.append(ProcessPaused(late))
        if late >= MIN_LOGGED_PAUSE_MS:
            self._actions.append(
                LogLine(f"this process slept for {late:.0f} ms: nobody is accused of that time")
            )
        for name in self._sample_fanout(sorted(self.monitors)):
            self._request_full_sync(now, self.table.records[name])

    def _resyncing(self, now: float) -> bool:
        return now < self.resync_until_ms

    # Coming in

    def _try_to_join(self, now: float) -> None:
        if now < self.name_conflict_until_ms:
            return
        if self._duplicate_address is not None:
            if now >= self._duplicate_until_ms:
                self._duplicate_address = None
                self._become_member(now)
        elif now - max(self._started_ms, self.name_conflict_until_ms) >= JOIN_TIMEOUT_MS:
            self._actions.append(
                LogLine("nobody answered at the addresses to join: begins alone, goes on trying")
            )
            self._become_member(now)

    def _become_member(self, now: float) -> None:
        self.joined = True
        self._next_discover_ms = now
        self.member_info[self.name] = MemberInfo(now)
        self.own_record = msgspec.structs.replace(
            self.own_record, incarnation=max(self._first_incarnation, self.own_record.incarnation)
        )
        self._store(now, self.own_record, "joined", "by its own word")

    def _handle_discover_reply(self, now: float, message: DiscoverReply) -> None:
        asked = self._pending_discovers.pop(message.nonce, None)
        if asked is None:
            return
        if message.about_receiver is not None and message.about_receiver.run != self.run:
            self._first_incarnation = max(self._first_incarnation, message.about_receiver.incarnation + 1)
            self.had_earlier_run = True
        if not self.joined:
            if now < self.name_conflict_until_ms:
                return
            if not message.joined or message.own is None:
                self._starting_addresses.add(asked)
                if (
                    self._starting_addresses.issuperset(self.join_addresses)
                    and self._duplicate_address is None
                ):
                    self._become_member(now)  # all start at once: nobody is there to be asked
                return
            held = message.about_receiver
            if (
                held is not None
                and held.state is State.ALIVE
                and held.address != self.address
                and held.run != self.run
            ):
                if self._duplicate_address is None:  # does whoever has this name still live there?
                    self._duplicate_address, self._duplicate_until_ms = held.address, now + JOIN_TIMEOUT_MS
                    self._send_discover_request(held.address)
                return
            if self._duplicate_address is None:
                self._become_member(now)
        if not self.joined:
            return
        self._mark_proven(now, message.run)
        self._apply_all(now, [x for x in (message.own, message.about_receiver) if x is not None])
        held = self.table.records.get(message.sender)
        if message.own is not None and held is not None:
            self._request_full_sync(now, held, message.run, message.number)

    def _name_conflict_ignored(self, message: wire.AnyMessage) -> bool:
        """Guards against two of one name that each give way to the other: who is no member puts no member
        out, and of two that are none the higher run goes on.  A stray tells of no membership."""
        if isinstance(message, DiscoverReply) and not message.joined:
            return self.joined or message.run < self.run
        return isinstance(message, WrongRun)

    def _resolve_name_conflict(self, now: float, run: int, came: Address | None) -> None:
        """Another living process has this name.  The one that came later, or has the lower run, gives way."""
        if now < self.name_conflict_until_ms:
            return
        where = "" if came is None else f" (at {came[0]}:{came[1]})"
        if self.joined and run < self.run:
            self._actions.append(
                LogLine(f"another router calls itself {self.name} too{where}: it gives way", True)
            )
            return
        self._actions.append(
            LogLine(
                f"the name {self.name} is another living router's{where}: stays out of the "
                f"members, and asks again in {NAME_CONFLICT_RETRY_MS / 1000:.0f} s",
                True,
            )
        )
        self.name_conflict_until_ms, self.joined, self._duplicate_address = (
            now + NAME_CONFLICT_RETRY_MS,
            False,
            None,
        )
        self.own_record = msgspec.structs.replace(self.own_record, incarnation=1, reachable=(), refused=())
        self.table, self.member_info, self.monitors = MemberTable(), {}, {}
        self._reachability_dirty, self._reachable, self._unreachable, self._disputed = (
            True,
            {self.name},
            set(),
            set(),
        )
        self._actions.append(IncarnationVoided(0, "its name is another's"))

    def _discover(self) -> None:
        """To the seeds while joining; then to one address by lot of those that are not members now."""
        if not self.joined:
            targets = list(self.join_addresses)
            if self._duplicate_address is not None:
                targets.append(self._duplicate_address)
        else:
            members = {self.table.records[x].address for x in self.table.names}
            gone = {x.address: x for x in self.table.records.values() if x.state is State.DEAD}
            targets = [x for x in dict.fromkeys([*self.join_addresses, *gone]) if x not in members]
            targets = [self.random.choice(targets)] if targets else []
            if targets and targets[0] in gone:  # it may hear, and not be heard: then it learns of it
                self._send(gone[targets[0]], Update(records=[gone[targets[0]]]))
        for address in targets:
            self._send_discover_request(address)

    def _send_discover_request(self, address: Address) -> None:
        nonce = self.random.getrandbits(62)
        self._pending_discovers[nonce] = address
        evict_oldest(self._pending_discovers, MAX_PENDING_DISCOVERS)
        self._enqueue(
            Send(address, DiscoverRequest(nonce=nonce, host=self.address[0], port=self.address[1])), 0
        )

    def _handle_other_run(self, now: float, message: wire.AnyMessage) -> None:
        """Not said to this run: it may be old, or replayed.  It is answered within a bound, and no more."""
        self._reply_budget_used = max(
            0.0, self._reply_budget_used - (now - self._reply_budget_ms) * MAX_REPLIES_PER_S / 1000.0
        )
        self._reply_budget_ms = now
        if self._reply_budget_used >= MAX_REPLIES_PER_S:
            self.counters.unanswered_strangers += 1
            return
        self._reply_budget_used += 1.0
        if isinstance(message, DiscoverRequest):
            if message.sender == self.name and self.joined and message.run != self._logged_duplicate_run:
                self._logged_duplicate_run = message.run
                where = f"{message.host}:{message.port}"
                self._actions.append(LogLine(f"another router calls itself {self.name}, at {where}", True))
            self._reply(
                message,
                DiscoverReply(
                    nonce=message.nonce,
                    joined=self.joined,
                    own=self.own_record if self.joined else None,
                    about_receiver=self.table.records.get(message.sender) if self.joined else None,
                ),
            )
            self._sent_discover_replies[self._number] = message.run
            evict_oldest(self._sent_discover_replies, MAX_PROVEN_RUNS)
        elif not isinstance(message, WrongRun | DiscoverReply):
            self.counters.stray += 1
            self._reply(message, WrongRun(message_number=message.number))

    def _handle_wrong_run(self, now: float, message: WrongRun) -> None:
        """Where a member's run was, another one is: that run is over."""
        watch, record = self.monitors.get(message.sender), self.table.records.get(message.sender)
        if (
            watch is None
            or record is None
            or message.message_number not in watch.pending_pings
            or record.run == message.run
        ):
            return
        self._send_discover_request(record.address)
        while not watch.refusing:
            watch.record_refusal(now)
        self._update_reachable(now)

    # News

    def _is_fresh(self, message: wire.AnyMessage) -> bool:
        window = self.replay_windows.get(message.run)
        if window is None:
            window = self.replay_windows[message.run] = ReplayWindow()
            evict_oldest(self.replay_windows, MAX_REPLAY_WINDOWS)
        else:
            self.replay_windows.move_to_end(message.run)
        return window.accept(message.number)

    def _mark_proven(self, now: float, run: int) -> None:
        """Both directions to that run work, so its word counts for a while."""
        self._proven_until_ms.pop(run, None)
        self._proven_until_ms[run] = now + PROOF_VALID_MS
        evict_oldest(self._proven_until_ms, MAX_PROVEN_RUNS)

    def _merge(self, now: float, message: Ping | Ack | SyncRequest | Update) -> None:
        """Who hears nobody holds all others for dead: his word on that is taken only where he is heard."""
        believed = self._proven_until_ms.get(message.run, -1e12) >= now or message.sender in self._reachable
        if not believed and len(self._reachable) > 1:
            self._apply_all(now, [x for x in message.records if x.state is not State.DEAD])
        else:
            self._apply_all(now, message.records)

    def _apply_all(self, now: float, news: list[Record]) -> None:
        if not self.joined or self.left:
            return
        for record in news:
            if record.name == self.name:
                self._refute(now, record)
            elif self.table.supersedes(record):
                self._apply(now, record)

    def _refute(self, now: float, told: Record) -> None:
        """What is said of this router by others: only its own run may speak for it."""
        if (
            told.run == self.run
            and told.state is State.ALIVE
            or told.incarnation < self.own_record.incarnation
        ):
            return
        if told.run != self.run:
            self.had_earlier_run = True
            if told.state is State.ALIVE and told.address != self.address:
                self._reclaims = self._reclaims + 1 if told.run == self._reclaiming_run else 1
                self._reclaiming_run = told.run
                if self._reclaims >= MAX_NAME_RECLAIMS:
                    self._reclaims = 0
                    self._resolve_name_conflict(now, told.run, told.address)
                    if not self.joined:
                        return
            self._set_own(now, incarnation=told.incarnation + 1)
            return
        self._set_own(now, incarnation=told.incarnation + 1)
        self.counters.accused += 1
        self._actions.append(IncarnationVoided(self.own_record.incarnation, told.state_reason))
        self._actions.append(
            LogLine(
                f"was held for dead ({told.state_reason}): "
                f"goes on as incarnation {self.own_record.incarnation}"
            )
        )

    def _apply(self, now: float, record: Record) -> None:
        held = self.table.records.get(record.name)
        if held is None:
            self._store(
                now,
                record,
                "joined" if record.state is State.ALIVE else record.state.name.lower(),
                record.state_reason or "by its own word",
            )
            return
        alive = held.state is State.ALIVE
        if record.state is State.ALIVE:
            what = ""
            if held.incarnation != record.incarnation:
                what = "restarted" if held.run != record.run else "returned"
            self._store(now, record, what, "by its own word")
            return
        if (
            alive
            and record.state is State.DEAD
            and record.incarnation == held.incarnation
            and record.name in self._reachable
        ):
            # It is heard here, so the word is old or from the far side of a cut: it is told, and may object.
            known = self.member_info[record.name]
            if known.death_claim is None:
                known.death_claim, known.death_claim_sent_ms = record, -1e12
                self._disputed.add(record.name)
            return
        self._store(now, record, record.state.name.lower(), record.state_reason)

    def _store(self, now: float, record: Record, what: str, reason: str) -> None:
        held = self.table.records.get(record.name)
        if not self.table.put(record):
            return
        self.counters.news += 1
        known = self.member_info.get(record.name)
        if known is None:
            known = self.member_info[record.name] = MemberInfo(now)
        if what:
            known.since_ms = now
            known.death_claim = None
            if record.state is not State.ALIVE or what in ("restarted", "returned", "joined"):
                known.unreachable_since_ms, known.suspect = None, False
            if what == "restarted":
                self.monitors.pop(record.name, None)  # nothing of the old run counts for the new one
            self._actions.append(
                MemberChanged(record.name, what, reason, record.incarnation, self.table.view())
            )
        if held is None or held.reachable != record.reachable or held.refused != record.refused or what:
            self._gossip_due = self._reachability_dirty = True
        if what:
            self._monitors_dirty = (
                True  # at the next tick, once for all that came: rings of 400 names take 3 ms
            )

    def _update_monitors(self, now: float) -> None:
        self._monitors_dirty = False
        wanted = self._watch_relation(self.name)[0]
        for name in self.monitors.keys() - wanted:
            del self.monitors[name]
        for name in sorted(wanted - self.monitors.keys()):
            first = now + self.random.uniform(0.0, min(TICK_MS * 2, self.rules.probe_ms))
            self.monitors[name] = PeerMonitor(now, first)

    def _set_own(self, now: float, **changed: object) -> None:
        number = self.own_record.number + 1
        was = self.own_record
        self.own_record = msgspec.structs.replace(self.own_record, number=number, **changed)
        what = "" if was.incarnation == self.own_record.incarnation else "returned"
        if self.own_record.state is State.LEFT:
            what = "left"
        self._store(now, self.own_record, what, self.own_record.state_reason or "by its own word")

    def _publish_facts(self, now: float) -> None:
        pace = max(MIN_PUBLISH_INTERVAL_MS, PUBLISH_MS_PER_MEMBER * len(self.table.names))
        if self._pending_facts is not None and now - self._published_ms >= pace:
            self._published_ms = now
            self._set_own(now, facts=self._pending_facts)
            self._pending_facts = None

    def _next_updates(self) -> list[Record]:
        times = REPEATS_PER_LOG2 * max(1, len(self.table.names).bit_length())
        return self.table.take_updates(MAX_UPDATE_BYTES, times)

    def _watch_relation(self, name: str) -> tuple[frozenset[str], frozenset[str]]:
        """Those that a member watches, and those that watch it."""
        return watch_relations(self.table.names, self.rules.watch).get(name, (frozenset(), frozenset()))

    def _neighbours(self) -> list[str]:
        """Those that it watches and those that watch it."""
        watched, watching = self._watch_relation(self.name)
        return sorted(watched | watching)

    def _sample_fanout(self, names: list[str]) -> list[str]:
        return self.random.sample(names, min(GOSSIP_FANOUT, len(names)))

    def _gossip(self) -> None:
        for name in self._sample_fanout(self._neighbours()):
            news = self._next_updates()
            if news:
                self._send(self.table.records[name], Update(records=news))

    # Both hold the same?

    def _compare_digest(self, now: float, message: Ping | Ack) -> None:
        """Views that differ for longer than news take: what one has goes to the other, at a pace."""
        record, known = self.table.records.get(message.sender), self.member_info.get(message.sender)
        if record is None or known is None or record.run != message.run:
            return
        if message.digest == self.table.digest:
            known.differs_since_ms = None
        elif known.differs_since_ms is None:
            known.differs_since_ms = now
        elif now - known.differs_since_ms >= FULL_SYNC_INTERVAL_MS:
            self._request_full_sync(now, record)

    def _request_full_sync(self, now: float, record: Record, run: int = 0, of: int = 0) -> None:
        known = self.member_info[record.name]
        if now - known.full_sync_ms < FULL_SYNC_INTERVAL_MS:
            return
        known.full_sync_ms = now
        have = [(x.name, x.incarnation, x.state, x.number) for x in self.table.records.values()]
        self._enqueue(
            Send(record.address, SyncRequest(reply_number=of, versions=have, records=[self.own_record])),
            run or record.run,
        )

    def _sync_slice(self, now: float) -> None:
        """One slice of all names with a member drawn by lot: what was lost is healed in a bounded time."""
        if now < self._next_sync_ms:
            return
        self._next_sync_ms = now + SYNC_INTERVAL_MS * self.random.uniform(0.8, 1.2)
        others = [x for x in self.table.names if x != self.name]
        if not others:
            return
        first = self._next_slice
        self._next_slice, names = self.table.names_from(first, SYNC_SLICE_NAMES)
        held = self.table.records
        have = [(x, held[x].incarnation, held[x].state, held[x].number) for x in names]
        self._send(
            held[self.random.choice(others)], SyncRequest(first=first, last=self._next_slice, versions=have)
        )

    def _answer_sync(self, message: SyncRequest) -> None:
        if not self.joined:
            return
        told = {
            name: (incarnation, int(state), number) for name, incarnation, state, number in message.versions
        }

        def order(record: Record) -> tuple[int, int, int]:
            return record.incarnation, int(record.state), record.number

        newer, wanted = [], []
        for name in self.table.sorted_names:
            if name < message.first or message.last and name >= message.last:
                continue
            record = self.table.records[name]
            theirs = told.pop(name, None)
            if theirs is None or order(record) > theirs:
                newer.append(record)
            elif theirs > order(record):
                wanted.append(name)
        wanted += told
        self._reply_with_records(message, newer, tuple(wanted))

    def _reply_with_records(
        self, message: wire.AnyMessage, records: list[Record], wanted: tuple[str, ...] = ()
    ) -> None:
        if records or wanted:
            self._reply(message, Update(records=records, wanted=wanted))

    # Watching

    def _probe(self, now: float) -> None:
        for name, watch in self.monitors.items():
            record = self.table.records[name]
            if now >= watch.next_ping_ms:
                watch.next_ping_ms = now + self.rules.probe_ms * self.random.uniform(0.9, 1.1)
                self._send(record, Ping(digest=self.table.digest, records=self._next_updates()))
                watch.record_ping(self._number, now)
            if (
                not watch.connecting
                and now >= watch.next_connect_ms
                and watch.silent_ms(now) > CONNECT_AFTER_PROBES * self.rules.probe_ms
                and not self._resyncing(now)
            ):
                watch.connecting = True
                watch.next_connect_ms = now + CONNECT_INTERVAL_MS
                self.counters.knocks += 1
                ping = Ping(digest=self.table.digest)
                self._fill_header(ping, record.run)
                watch.record_ping(self._number, now)
                self._actions.append(ConnectProbe(name, record.run, record.address, ping))
        for name in list(self._disputed):
            known = self.member_info[name]
            if known.death_claim is None:
                self._disputed.discard(name)
            elif now - known.death_claim_sent_ms >= DISCOVER_INTERVAL_MS:
                known.death_claim_sent_ms = now
                self._send(self.table.records[name], Update(records=[known.death_claim]))

    def _record_answer(self, name: str, run: int, of: int) -> None:
        watch, record = self.monitors.get(name), self.table.records.get(name)
        if watch is None or record is None or record.run != run:
            return
        sent_ms = watch.pending_pings.pop(of, None)
        if sent_ms is not None:
            first = watch.answered_ms is None
            watch.record_answer(sent_ms)
            if first or name not in self.own_record.reachable:
                self._update_reachable(self._last_ms)

    def _update_reachable(self, now: float) -> None:
        """Which of those that it watches are heard: told to all as soon as it changes."""
        if not self.joined or self._resyncing(now):
            return
        hears = tuple(name for name in sorted(self.monitors) if self._is_reachable(self.monitors[name], now))
        refused = tuple(name for name in sorted(self.monitors) if self.monitors[name].refusing)
        if hears != self.own_record.reachable or refused != self.own_record.refused:
            self._set_own(now, reachable=hears, refused=refused)

    def _is_reachable(self, watch: PeerMonitor, now: float) -> bool:
        quiet = watch.answered_ms is None or watch.silent_ms(now) > self.rules.quiet_ms
        return not quiet and not watch.refusing

    def _evaluate_members(self, now: float) -> None:
        """Who is reached, who is under suspicion, and who is out."""
        names = self.table.names
        if self._reachability_dirty:
            self._reachability_dirty = False
            self._reachable = reachable_from(self.name, self.own_record.reachable, self.table.records, names)
            self._unreachable.update(set(names) - self._reachable)
        if not self._unreachable:
            return
        for name in sorted(self._unreachable):
            known = self.member_info[name]
            if name in self._reachable or not self.table.alive(name):
                if known.suspect and self.table.alive(name):
                    self._set_suspect(name, known, False, "heard again")
                known.unreachable_since_ms = None
                self._unreachable.discard(name)
                continue
            if known.unreachable_since_ms is None:
                known.unreachable_since_ms = max(
                    now, known.since_ms + self.rules.quiet_ms
                )  # a newcomer is given time
            if self._resyncing(now):
                continue
            reason = self._death_reason(now, name, known, self._watch_relation(name)[1])
            if reason:
                dead = msgspec.structs.replace(
                    self.table.records[name],
                    state=State.DEAD,
                    reachable=(),
                    refused=(),
                    facts=b"",
                    state_reason=f"{self.name}: {reason}"[:256],
                )
                self._store(now, dead, "dead", dead.state_reason)
            elif (
                not known.suspect
                and now - known.unreachable_since_ms >= SUSPECT_MS
                and now - known.since_ms >= self.rules.quiet_ms
            ):
                self._set_suspect(name, known, True, "heard by none that can be reached")

    def _set_suspect(self, name: str, known: MemberInfo, so: bool, reason: str) -> None:
        known.suspect = so
        known.since_ms = self._last_ms
        self._actions.append(
            MemberChanged(
                name,
                "suspect" if so else "heard",
                reason,
                self.table.records[name].incarnation,
                self.table.view(),
            )
        )

    def _death_reason(self, now: float, name: str, known: MemberInfo, observers: frozenset[str]) -> str:
        """Why a member that nobody reaches is out, or "" while it is not."""
        if (
            known.death_claim is not None
            and known.death_claim.incarnation == self.table.records[name].incarnation
        ):
            return f"nobody hears it here either; {known.death_claim.state_reason}"
        voters = [x for x in sorted(observers) if x in self._reachable]
        refused = [x for x in voters if name in self.table.records[x].refused]
        if voters and 2 * len(refused) > len(voters):
            return f"its address refuses connections, say {', '.join(refused)}"
        lost = now - (known.unreachable_since_ms if known.unreachable_since_ms is not None else now)
        if lost >= self.rules.out_ms:
            who = ", ".join(voters) or "all out of reach"
            return f"heard by none of its observers ({who}) for {lost:.0f} ms"
        return ""

    # Sending

    def _send(self, record: Record, message: Message) -> None:
        self._enqueue(Send(record.address, message), record.run)

    def _reply(self, message: wire.AnyMessage, answer: Message) -> None:
        self._enqueue(Send(None, answer), message.run)

    def _fill_header(self, message: Message, run: int) -> None:
        self._number += 1
        message.sender, message.run, message.to_run, message.number = self.name, self.run, run, self._number

    def _enqueue(self, send: Send, run: int) -> None:
        self._fill_header(send.message, run)
        self.counters.sent += 1
        self._actions.append(send)

    def _take_actions(self) -> list[Action]:
        done, self._actions = self._actions, []
        return done
