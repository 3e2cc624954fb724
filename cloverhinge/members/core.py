"""The membership protocol as a state machine: it takes a time and a message, and returns actions.

Nothing here waits, sends or reads a clock.  The caller calls `tick` every TICK_MS; the first call after a
pause of the process, whichever method it is, detects the pause.  docs/design/members.md describes the
guarantees.
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

TICK_MS = 50.0  # interval of `tick`: an eighth of the default probe interval
SUSPECT_MS = 100.0  # unreachable for so long, a member is suspect; updates in flight have arrived by then
MIN_PAUSE_MS = 300.0  # a tick later than this was delayed by a pause of the process, not by scheduling jitter
MIN_LOGGED_PAUSE_MS = 1000.0  # shorter pauses are only counted
DISCOVER_INTERVAL_MS = 500.0  # between discover requests to addresses that are not members now
JOIN_TIMEOUT_MS = 1000.0  # without an answer for so long, a starting router begins as the only member
CONNECT_AFTER_PROBES = 1.5  # probe intervals without an answer after which a connection is tried
CONNECT_INTERVAL_MS, CONNECT_RETRY_MS = 500.0, 120.0  # between connection attempts; the retry after a refusal
SYNC_INTERVAL_MS = 1000.0  # between comparisons of a slice of names with a randomly drawn member
SYNC_SLICE_NAMES = 32  # names per slice: about 800 bytes with their numbers
MAX_UPDATE_BYTES = 900  # of records in a datagram; the rest is left for its header
GOSSIP_FANOUT = 3  # members that are sent urgent updates at each tick
# Each member passes an update on so often, times log2 of the member count.  With 16 members that is 10 times,
# so that a member misses the update with a probability of about e^-10.
REPEATS_PER_LOG2 = 2
PUBLISH_MS_PER_MEMBER = 25.0  # added to the publish interval per member: 40 publications a second in all
MIN_PUBLISH_INTERVAL_MS = 1000.0  # between two publications of facts
FULL_SYNC_INTERVAL_MS = 1000.0  # between full syncs with one member
MAX_REPLAY_WINDOWS = 4096  # runs whose message numbers are remembered: four runs of each of 1,024 members
MAX_REPLIES_PER_S = 200.0  # to messages for other runs, which may be forged or replayed
PROOF_VALID_MS = 3000.0  # after an answer, how long its sender's reports on other members count
MAX_PROVEN_RUNS = 256  # remembered runs that answered, and remembered discover replies
MAX_PENDING_DISCOVERS = 128  # two rounds to the maximum number of join addresses
MAX_NAME_RECLAIMS = 3  # reclaims of this name by one other run after which that run counts as alive
NAME_CONFLICT_RETRY_MS = 5000.0  # after which a router whose name is taken tries again

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Rules:
    """The membership settings of an installation; times in ms."""

    probe_ms: float = 400.0  # between two pings to one member
    quiet_ms: float = 1200.0  # unanswered for so long, a monitored member is not directly reachable
    out_ms: float = 2800.0  # unreachable for so long after that, a member is declared dead
    watch: int = 6  # how many members each one monitors


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an address, or (None) to where the message being handled came from."""

    address: Address | None
    message: Message


@dataclass(frozen=True, slots=True)
class ConnectProbe:
    """Try a TCP connection and send the ping over it; report its end to `connect_ended`."""

    name: str
    run: int
    address: Address
    message: Message


@dataclass(frozen=True, slots=True)
class ProcessPaused:
    """This process was paused for `ms`: its knowledge of other members and of itself may be outdated."""

    ms: float


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member joined, ended, returned, restarted, or began or ceased to be suspect.

    `view` is the resulting view.
    """

    name: str
    change: str  # joined, returned, restarted, suspect, heard (no longer suspect), dead, left
    reason: str
    incarnation: int
    view: View


@dataclass(frozen=True, slots=True)
class IncarnationVoided:
    """Other members declared this router dead: it continues as a new incarnation and lost all it owned."""

    incarnation: int
    reason: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log, as information or as an error."""

    text: str
    error: bool = False


@dataclass(frozen=True, slots=True)
class ComponentMessageReceived:
    """A run of another member sent this to a component that is built on membership."""

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
    """Counters since the start, shown in the status."""

    sent: int = 0
    received: int = 0
    replayed: int = 0
    stray: int = 0  # messages for another run that were answered with WrongRun
    knocks: int = 0  # connections tried to members that do not answer pings
    pauses: int = 0
    paused_ms: float = 0.0
    accused: int = 0  # death claims on this run that it has refuted
    unanswered_strangers: int = 0  # messages for other runs above the limit of answers
    news: int = 0  # records stored that were newer than the known ones


@dataclass(slots=True)
class MemberInfo:
    """What this router notes about a member in addition to its record."""

    since_ms: float
    unreachable_since_ms: float | None = None  # None while it is reachable from here
    suspect: bool = False
    death_claim: Record | None = None  # a DEAD record from another member, while it is reachable from here
    death_claim_sent_ms: float = 0.0
    full_sync_ms: float = -1e12  # when the last full sync was requested from it
    differs_since_ms: float | None = None  # since when its digest has differed from this router's


def evict_oldest(table: OrderedDict[Any, Any], max_entries: int) -> None:
    """Removes the oldest entries until at most `max_entries` remain."""
    while len(table) > max_entries:
        table.popitem(last=False)


class Membership:
    """The membership of one router.

    `run` distinguishes the starts of the process; `seed` spreads the timers of different routers.
    """

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
        self.had_earlier_run = False  # other members have a record of an earlier run of this name
        self.name_conflict_until_ms = -1e12  # another router has the name; no join before then
        self.resync_until_ms = -1e12  # after a pause: no member is suspected before then
        self.received_since_pause = True
        self._actions: list[Action] = []
        self._number = 0
        self._started_ms = self._last_ms = self._next_discover_ms = self._next_sync_ms = (
            self._published_ms
        ) = 0.0
        self._pending_discovers: OrderedDict[int, Address] = OrderedDict()  # by nonce, the address asked
        self._next_slice = ""
        self._pending_facts: bytes | None = None  # to be published next
        self._reply_budget_used = 0.0
        self._reply_budget_ms = 0.0
        self._reachable: set[str] = {name}
        self._reachability_dirty = True
        self._monitors_dirty = False
        self._gossip_due = False
        self._first_incarnation = 1  # the incarnation that it joins with
        self._duplicate_address: Address | None = None
        self._reclaiming_run, self._reclaims = 0, 0  # another run claiming this name, and how often
        self._logged_duplicate_run = 0  # the run of the same name that was last logged
        self._starting_addresses: set[Address] = set()  # join addresses whose routers have not joined either
        self._unreachable: set[str] = set()  # members that are unreachable or suspect
        self._disputed: set[str] = set()  # members with a death claim
        self._leave_targets: list[str] = []  # members to which the leaving is announced, repeatedly
        self._proven_until_ms: OrderedDict[int, float] = OrderedDict()  # by run that answered
        self._sent_discover_replies: OrderedDict[int, int] = OrderedDict()  # by number, the receiving run
        self._duplicate_until_ms = 0.0

    # Queries

    def view(self) -> View:
        """Returns the current view."""
        return self.table.view()

    @property
    def trusted(self) -> bool:
        """Whether the process has received messages since its last pause, and the time for resync is over.

        A router that monitors no members needs no messages.
        """
        return self.received_since_pause and self._last_ms >= self.resync_until_ms

    def state_name(self, name: str) -> str:
        """Returns alive, suspect, dead or left; raises KeyError for an unknown name."""
        record = self.table.records[name]
        if record.state is not State.ALIVE:
            return record.state.name.lower()
        return "suspect" if self.member_info[name].suspect else "alive"

    def split_observers(self, name: str) -> tuple[list[str], list[str]]:
        """Returns the observers that reach the member directly, and those that do not.

        Observers that are not reachable from here are left out.
        """
        observers = [x for x in sorted(self._watch_relation(name)[1]) if x in self._reachable]
        reaching = [x for x in observers if name in self.table.records[x].reachable]
        return reaching, [x for x in observers if x not in reaching]

    # Events

    def start(self, now: float) -> list[Action]:
        """Begins to join; without join addresses the router is the only member at once."""
        self._started_ms = self._last_ms = self._reply_budget_ms = self._published_ms = now
        self._next_discover_ms = now + self.random.uniform(0.0, TICK_MS)
        self._next_sync_ms = now + self.random.uniform(0.5, 1.5) * SYNC_INTERVAL_MS
        if not self.join_addresses:
            self._become_member(now)
        return self._take_actions()

    def check_pause(self, now: float) -> list[Action]:
        """Detects a pause of the process; to be called before any action that depends on membership."""
        self._detect_pause(now)
        return self._take_actions()

    def publish(self, now: float, facts: bytes) -> list[Action]:
        """Sets the facts of this member: what its components tell other members, encoded as msgpack.

        They are published by `tick`, at a rate that falls with the number of members.  Facts that still wait
        are replaced.  Raises ValueError if they exceed MAX_FACTS_BYTES.
        """
        if len(facts) > wire.MAX_FACTS_BYTES:
            raise ValueError(
                f"facts of {len(facts)} bytes exceed the maximum of {wire.MAX_FACTS_BYTES} bytes"
            )
        self._detect_pause(now)
        self._pending_facts = facts if facts != self.own_record.facts else None
        return self._take_actions()

    def send_component_message(
        self, now: float, name: str, run: int, component: str, body: bytes
    ) -> list[Action]:
        """Sends a component's message to that run of a member; does nothing if the run is not known."""
        self._detect_pause(now)
        record = self.table.records.get(name)
        if record is not None and record.run == run:
            self._send(record, ComponentMessage(component=component, body=body))
        return self._take_actions()

    def leave(self, now: float) -> list[Action]:
        """Announces a planned end to all neighbours now, and to some of them again at each following tick."""
        self._detect_pause(now)
        if self.joined and not self.left:
            self._leave_targets = self._neighbours()
            self._set_own(now, state=State.LEFT, reachable=(), refused=(), state_reason="told to end")
            for name in self._leave_targets:
                self._send(self.table.records[name], Update(records=[self.own_record]))
        self.left = True
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        """Does the periodic work; to be called every TICK_MS."""
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
        """Handles a verified message; `source` is the address that it came from, for the log."""
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
        """Handles the end of a probe's connection; `refused`: no process listens at the address.

        All other ends (timed out, closed, never begun) count the same.  Answers over the connection go
        to `receive`.
        """
        self._detect_pause(now)
        monitor, record = self.monitors.get(name), self.table.records.get(name)
        if monitor is not None and record is not None and record.run == run:
            monitor.connecting = False
            if (
                refused
                and (monitor.last_answered_sent_ms is None or monitor.last_answered_sent_ms < sent_ms)
                and not self._resyncing(now)
            ):
                monitor.record_refusal(now)
                monitor.next_connect_ms = now + CONNECT_RETRY_MS
                self._update_reachable(now)
                if self._gossip_due:
                    self._gossip_due = False
                    self._gossip()
        return self._take_actions()

    # Pauses

    def _detect_pause(self, now: float) -> None:
        pause_ms = now - self._last_ms - TICK_MS
        self._last_ms = max(now, self._last_ms)
        if pause_ms < MIN_PAUSE_MS:
            return
        self.counters.pauses += 1
        self.counters.paused_ms += pause_ms
        for monitor in self.monitors.values():
            monitor.exclude_pause(pause_ms)
        for info in self.member_info.values():
            if info.unreachable_since_ms is not None:
                info.unreachable_since_ms += pause_ms
        self.resync_until_ms = now + 2.0 * self.rules.probe_ms
        self.received_since_pause = not self.monitors
        self._actions.append(ProcessPaused(pause_ms))
        if pause_ms >= MIN_LOGGED_PAUSE_MS:
            self._actions.append(
                LogLine(f"process was paused for {pause_ms:.0f} ms; no member is suspected for that time")
            )
        for name in self._sample_fanout(sorted(self.monitors)):
            self._request_full_sync(now, self.table.records[name])

    def _resyncing(self, now: float) -> bool:
        return now < self.resync_until_ms

    # Joining

    def _try_to_join(self, now: float) -> None:
        if now < self.name_conflict_until_ms:
            return
        if self._duplicate_address is not None:
            if now >= self._duplicate_until_ms:
                self._duplicate_address = None
                self._become_member(now)
        elif now - max(self._started_ms, self.name_conflict_until_ms) >= JOIN_TIMEOUT_MS:
            self._actions.append(
                LogLine("no join address answered; starting as the only member and still trying")
            )
            self._become_member(now)

    def _become_member(self, now: float) -> None:
        self.joined = True
        self._next_discover_ms = now
        self.member_info[self.name] = MemberInfo(now)
        self.own_record = msgspec.structs.replace(
            self.own_record, incarnation=max(self._first_incarnation, self.own_record.incarnation)
        )
        self._store(now, self.own_record, "joined", "self-reported")

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
                    self._become_member(now)  # all routers are starting: there is no member to ask
                return
            previous = message.about_receiver
            if (
                previous is not None
                and previous.state is State.ALIVE
                and previous.address != self.address
                and previous.run != self.run
            ):
                if self._duplicate_address is None:  # first check whether that router is still alive
                    self._duplicate_address, self._duplicate_until_ms = (
                        previous.address,
                        now + JOIN_TIMEOUT_MS,
                    )
                    self._send_discover_request(previous.address)
                return
            if self._duplicate_address is None:
                self._become_member(now)
        if not self.joined:
            return
        self._mark_proven(now, message.run)
        self._apply_all(now, [x for x in (message.own, message.about_receiver) if x is not None])
        current = self.table.records.get(message.sender)
        if message.own is not None and current is not None:
            self._request_full_sync(now, current, message.run, message.number)

    def _name_conflict_ignored(self, message: wire.AnyMessage) -> bool:
        """Whether a message from a router of the same name is no reason to give way.

        This prevents two routers of one name from each giving way to the other: a router that is not a member
        never displaces a member, and of two that are not, the higher run continues.  A WrongRun message says
        nothing about membership.
        """
        if isinstance(message, DiscoverReply) and not message.joined:
            return self.joined or message.run < self.run
        return isinstance(message, WrongRun)

    def _resolve_name_conflict(self, now: float, run: int, source: Address | None) -> None:
        """Another running process has this name: the one that came later, or has the lower run, gives way."""
        if now < self.name_conflict_until_ms:
            return
        where = "" if source is None else f" (at {source[0]}:{source[1]})"
        if self.joined and run < self.run:
            self._actions.append(
                LogLine(f"another router uses the name {self.name} too{where}; it has to give way", True)
            )
            return
        self._actions.append(
            LogLine(
                f"the name {self.name} is already used by another running router{where}; "
                f"staying out of the membership and retrying in {NAME_CONFLICT_RETRY_MS / 1000:.0f} s",
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
        self._actions.append(IncarnationVoided(0, "another router has its name"))

    def _discover(self) -> None:
        """Sends discover requests: while joining to all join addresses, later to a random non-member."""
        if not self.joined:
            targets = list(self.join_addresses)
            if self._duplicate_address is not None:
                targets.append(self._duplicate_address)
        else:
            members = {self.table.records[x].address for x in self.table.names}
            gone = {x.address: x for x in self.table.records.values() if x.state is State.DEAD}
            targets = [x for x in dict.fromkeys([*self.join_addresses, *gone]) if x not in members]
            targets = [self.random.choice(targets)] if targets else []
            if targets and targets[0] in gone:  # a member that only receives learns that it was declared dead
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
        """Handles a message for another run.

        It may be old or replayed, so the rate of answers is limited and nothing else follows from it.
        """
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
                self._actions.append(
                    LogLine(f"another router uses the name {self.name} too, at {where}", True)
                )
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
        """Another run answered at a member's address: the monitored run has ended."""
        monitor, record = self.monitors.get(message.sender), self.table.records.get(message.sender)
        if (
            monitor is None
            or record is None
            or message.message_number not in monitor.pending_pings
            or record.run == message.run
        ):
            return
        self._send_discover_request(record.address)
        while not monitor.refusing:
            monitor.record_refusal(now)
        self._update_reachable(now)

    # Updates

    def _is_fresh(self, message: wire.AnyMessage) -> bool:
        window = self.replay_windows.get(message.run)
        if window is None:
            window = self.replay_windows[message.run] = ReplayWindow()
            evict_oldest(self.replay_windows, MAX_REPLAY_WINDOWS)
        else:
            self.replay_windows.move_to_end(message.run)
        return window.accept(message.number)

    def _mark_proven(self, now: float, run: int) -> None:
        """Both directions to that run work, so its reports count for PROOF_VALID_MS."""
        self._proven_until_ms.pop(run, None)
        self._proven_until_ms[run] = now + PROOF_VALID_MS
        evict_oldest(self._proven_until_ms, MAX_PROVEN_RUNS)

    def _merge(self, now: float, message: Ping | Ack | SyncRequest | Update) -> None:
        """Applies the records of a message.

        A member that receives nothing concludes that all others are dead, so DEAD records are accepted only
        from a sender that is reachable or has answered recently.
        """
        believed = self._proven_until_ms.get(message.run, -1e12) >= now or message.sender in self._reachable
        if not believed and len(self._reachable) > 1:
            self._apply_all(now, [x for x in message.records if x.state is not State.DEAD])
        else:
            self._apply_all(now, message.records)

    def _apply_all(self, now: float, records: list[Record]) -> None:
        """Applies the records that are newer; ignores all before this router has joined and after it left."""
        if not self.joined or self.left:
            return
        for record in records:
            if record.name == self.name:
                self._refute(now, record)
            elif self.table.supersedes(record):
                self._apply(now, record)

    def _refute(self, now: float, claim: Record) -> None:
        """Handles another member's record of this router; only its own run may change its record.

        Unless the record is this run's own or outdated, it is refuted with a higher incarnation.  If
        another run at another address claims the name repeatedly, the name counts as in conflict.
        """
        if (
            claim.run == self.run
            and claim.state is State.ALIVE
            or claim.incarnation < self.own_record.incarnation
        ):
            return
        if claim.run != self.run:
            self.had_earlier_run = True
            if claim.state is State.ALIVE and claim.address != self.address:
                self._reclaims = self._reclaims + 1 if claim.run == self._reclaiming_run else 1
                self._reclaiming_run = claim.run
                if self._reclaims >= MAX_NAME_RECLAIMS:
                    self._reclaims = 0
                    self._resolve_name_conflict(now, claim.run, claim.address)
                    if not self.joined:
                        return
            self._set_own(now, incarnation=claim.incarnation + 1)
            return
        self._set_own(now, incarnation=claim.incarnation + 1)
        self.counters.accused += 1
        self._actions.append(IncarnationVoided(self.own_record.incarnation, claim.state_reason))
        self._actions.append(
            LogLine(
                f"was declared dead by other members ({claim.state_reason}); "
                f"continuing as incarnation {self.own_record.incarnation}"
            )
        )

    def _apply(self, now: float, record: Record) -> None:
        current = self.table.records.get(record.name)
        if current is None:
            self._store(
                now,
                record,
                "joined" if record.state is State.ALIVE else record.state.name.lower(),
                record.state_reason or "self-reported",
            )
            return
        alive = current.state is State.ALIVE
        if record.state is State.ALIVE:
            change = ""
            if current.incarnation != record.incarnation:
                change = "restarted" if current.run != record.run else "returned"
            self._store(now, record, change, "self-reported")
            return
        if (
            alive
            and record.state is State.DEAD
            and record.incarnation == current.incarnation
            and record.name in self._reachable
        ):
            # It is reachable here, so the claim is outdated or comes from across a partition: it is sent to
            # the member, which may refute it.
            info = self.member_info[record.name]
            if info.death_claim is None:
                info.death_claim, info.death_claim_sent_ms = record, -1e12
                self._disputed.add(record.name)
            return
        self._store(now, record, record.state.name.lower(), record.state_reason)

    def _store(self, now: float, record: Record, change: str, reason: str) -> None:
        current = self.table.records.get(record.name)
        if not self.table.put(record):
            return
        self.counters.news += 1
        info = self.member_info.get(record.name)
        if info is None:
            info = self.member_info[record.name] = MemberInfo(now)
        if change:
            info.since_ms = now
            info.death_claim = None
            if record.state is not State.ALIVE or change in ("restarted", "returned", "joined"):
                info.unreachable_since_ms, info.suspect = None, False
            if change == "restarted":
                self.monitors.pop(record.name, None)  # nothing known of the old run applies to the new one
            self._actions.append(
                MemberChanged(record.name, change, reason, record.incarnation, self.table.view())
            )
        if (
            current is None
            or current.reachable != record.reachable
            or current.refused != record.refused
            or change
        ):
            self._gossip_due = self._reachability_dirty = True
        if change:
            self._monitors_dirty = True  # done once per tick, since the rings of 400 names take 3 ms

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
        previous = self.own_record
        self.own_record = msgspec.structs.replace(self.own_record, number=number, **changed)
        change = "" if previous.incarnation == self.own_record.incarnation else "returned"
        if self.own_record.state is State.LEFT:
            change = "left"
        self._store(now, self.own_record, change, self.own_record.state_reason or "self-reported")

    def _publish_facts(self, now: float) -> None:
        interval_ms = max(MIN_PUBLISH_INTERVAL_MS, PUBLISH_MS_PER_MEMBER * len(self.table.names))
        if self._pending_facts is not None and now - self._published_ms >= interval_ms:
            self._published_ms = now
            self._set_own(now, facts=self._pending_facts)
            self._pending_facts = None

    def _next_updates(self) -> list[Record]:
        repeats = REPEATS_PER_LOG2 * max(1, len(self.table.names).bit_length())
        return self.table.take_updates(MAX_UPDATE_BYTES, repeats)

    def _watch_relation(self, name: str) -> tuple[frozenset[str], frozenset[str]]:
        """The members that a member monitors, and those that monitor it."""
        return watch_relations(self.table.names, self.rules.watch).get(name, (frozenset(), frozenset()))

    def _neighbours(self) -> list[str]:
        """All members that it monitors or that monitor it."""
        monitored, observers = self._watch_relation(self.name)
        return sorted(monitored | observers)

    def _sample_fanout(self, names: list[str]) -> list[str]:
        return self.random.sample(names, min(GOSSIP_FANOUT, len(names)))

    def _gossip(self) -> None:
        for name in self._sample_fanout(self._neighbours()):
            records = self._next_updates()
            if records:
                self._send(self.table.records[name], Update(records=records))

    # Comparing records

    def _compare_digest(self, now: float, message: Ping | Ack) -> None:
        """Requests a full sync, at a limited rate, if the views differ for longer than updates take."""
        record, info = self.table.records.get(message.sender), self.member_info.get(message.sender)
        if record is None or info is None or record.run != message.run:
            return
        if message.digest == self.table.digest:
            info.differs_since_ms = None
        elif info.differs_since_ms is None:
            info.differs_since_ms = now
        elif now - info.differs_since_ms >= FULL_SYNC_INTERVAL_MS:
            self._request_full_sync(now, record)

    def _request_full_sync(self, now: float, record: Record, run: int = 0, reply_number: int = 0) -> None:
        """Sends a member the versions of all records, so that it answers with newer ones.

        Does nothing within FULL_SYNC_INTERVAL_MS of the last request to it.  `run`: of the member, 0 for the
        one in the record; `reply_number`: of the discover reply that led to this request, 0 if none did.
        """
        info = self.member_info[record.name]
        if now - info.full_sync_ms < FULL_SYNC_INTERVAL_MS:
            return
        info.full_sync_ms = now
        versions = [(x.name, x.incarnation, x.state, x.number) for x in self.table.records.values()]
        self._enqueue(
            Send(
                record.address,
                SyncRequest(reply_number=reply_number, versions=versions, records=[self.own_record]),
            ),
            run or record.run,
        )

    def _sync_slice(self, now: float) -> None:
        """Compares a slice of the names with a random member: repairs lost updates in bounded time."""
        if now < self._next_sync_ms:
            return
        self._next_sync_ms = now + SYNC_INTERVAL_MS * self.random.uniform(0.8, 1.2)
        others = [x for x in self.table.names if x != self.name]
        if not others:
            return
        first = self._next_slice
        self._next_slice, names = self.table.names_from(first, SYNC_SLICE_NAMES)
        records = self.table.records
        versions = [(x, records[x].incarnation, records[x].state, records[x].number) for x in names]
        self._send(
            records[self.random.choice(others)],
            SyncRequest(first=first, last=self._next_slice, versions=versions),
        )

    def _answer_sync(self, message: SyncRequest) -> None:
        if not self.joined:
            return
        their_versions = {
            name: (incarnation, int(state), number) for name, incarnation, state, number in message.versions
        }

        def version(record: Record) -> tuple[int, int, int]:
            return record.incarnation, int(record.state), record.number

        newer, wanted = [], []
        for name in self.table.sorted_names:
            if name < message.first or message.last and name >= message.last:
                continue
            record = self.table.records[name]
            their_version = their_versions.pop(name, None)
            if their_version is None or version(record) > their_version:
                newer.append(record)
            elif their_version > version(record):
                wanted.append(name)
        wanted += their_versions
        self._reply_with_records(message, newer, tuple(wanted))

    def _reply_with_records(
        self, message: wire.AnyMessage, records: list[Record], wanted: tuple[str, ...] = ()
    ) -> None:
        if records or wanted:
            self._reply(message, Update(records=records, wanted=wanted))

    # Monitoring

    def _probe(self, now: float) -> None:
        for name, monitor in self.monitors.items():
            record = self.table.records[name]
            if now >= monitor.next_ping_ms:
                monitor.next_ping_ms = now + self.rules.probe_ms * self.random.uniform(0.9, 1.1)
                self._send(record, Ping(digest=self.table.digest, records=self._next_updates()))
                monitor.record_ping(self._number, now)
            if (
                not monitor.connecting
                and now >= monitor.next_connect_ms
                and monitor.silent_ms(now) > CONNECT_AFTER_PROBES * self.rules.probe_ms
                and not self._resyncing(now)
            ):
                monitor.connecting = True
                monitor.next_connect_ms = now + CONNECT_INTERVAL_MS
                self.counters.knocks += 1
                ping = Ping(digest=self.table.digest)
                self._fill_header(ping, record.run)
                monitor.record_ping(self._number, now)
                self._actions.append(ConnectProbe(name, record.run, record.address, ping))
        for name in list(self._disputed):
            info = self.member_info[name]
            if info.death_claim is None:
                self._disputed.discard(name)
            elif now - info.death_claim_sent_ms >= DISCOVER_INTERVAL_MS:
                info.death_claim_sent_ms = now
                self._send(self.table.records[name], Update(records=[info.death_claim]))

    def _record_answer(self, name: str, run: int, ping_number: int) -> None:
        monitor, record = self.monitors.get(name), self.table.records.get(name)
        if monitor is None or record is None or record.run != run:
            return
        sent_ms = monitor.pending_pings.pop(ping_number, None)
        if sent_ms is not None:
            first = monitor.last_answered_sent_ms is None
            monitor.record_answer(sent_ms)
            if first or name not in self.own_record.reachable:
                self._update_reachable(self._last_ms)

    def _update_reachable(self, now: float) -> None:
        """Determines which monitored members are directly reachable; a change is published at once."""
        if not self.joined or self._resyncing(now):
            return
        reachable = tuple(
            name for name in sorted(self.monitors) if self._is_reachable(self.monitors[name], now)
        )
        refused = tuple(name for name in sorted(self.monitors) if self.monitors[name].refusing)
        if reachable != self.own_record.reachable or refused != self.own_record.refused:
            self._set_own(now, reachable=reachable, refused=refused)

    def _is_reachable(self, monitor: PeerMonitor, now: float) -> bool:
        silent = monitor.last_answered_sent_ms is None or monitor.silent_ms(now) > self.rules.quiet_ms
        return not silent and not monitor.refusing

    def _evaluate_members(self, now: float) -> None:
        """Determines which members are reachable, suspect or dead."""
        names = self.table.names
        if self._reachability_dirty:
            self._reachability_dirty = False
            self._reachable = reachable_from(self.name, self.own_record.reachable, self.table.records, names)
            self._unreachable.update(set(names) - self._reachable)
        if not self._unreachable:
            return
        for name in sorted(self._unreachable):
            info = self.member_info[name]
            if name in self._reachable or not self.table.alive(name):
                if info.suspect and self.table.alive(name):
                    self._set_suspect(name, info, False, "reachable again")
                info.unreachable_since_ms = None
                self._unreachable.discard(name)
                continue
            if info.unreachable_since_ms is None:
                # A new member is given time to be monitored.
                info.unreachable_since_ms = max(now, info.since_ms + self.rules.quiet_ms)
            if self._resyncing(now):
                continue
            reason = self._death_reason(now, name, info, self._watch_relation(name)[1])
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
                not info.suspect
                and now - info.unreachable_since_ms >= SUSPECT_MS
                and now - info.since_ms >= self.rules.quiet_ms
            ):
                self._set_suspect(name, info, True, "not reached by any reachable observer")

    def _set_suspect(self, name: str, info: MemberInfo, suspect: bool, reason: str) -> None:
        info.suspect = suspect
        info.since_ms = self._last_ms
        self._actions.append(
            MemberChanged(
                name,
                "suspect" if suspect else "heard",
                reason,
                self.table.records[name].incarnation,
                self.table.view(),
            )
        )

    def _death_reason(self, now: float, name: str, info: MemberInfo, observers: frozenset[str]) -> str:
        """Returns why an unreachable member is dead, or "" while it is not."""
        if (
            info.death_claim is not None
            and info.death_claim.incarnation == self.table.records[name].incarnation
        ):
            return f"nobody hears it here either; {info.death_claim.state_reason}"
        voters = [x for x in sorted(observers) if x in self._reachable]
        refused = [x for x in voters if name in self.table.records[x].refused]
        if voters and 2 * len(refused) > len(voters):
            return f"its address refuses connections, say {', '.join(refused)}"
        unreachable_ms = now - (info.unreachable_since_ms if info.unreachable_since_ms is not None else now)
        if unreachable_ms >= self.rules.out_ms:
            voter_names = ", ".join(voters) or "all out of reach"
            return f"heard by none of its observers ({voter_names}) for {unreachable_ms:.0f} ms"
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
