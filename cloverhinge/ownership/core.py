"""Custody as a machine of events: a time and what was heard go in, messages and verdicts come out.  Pure.

Each piece of work is a register over its keepers.  This router keeps some records for others, owns those that
it acts on, and tries for those that its viewers come for or whose owner is gone.  See docs/design/custody.md
for what is promised.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Mapping
from itertools import islice

import msgspec
from sortedcontainers import SortedDict

from cloverhinge.members.core import trim
from cloverhinge.ownership import placement, register, wire
from cloverhinge.ownership.model import (
    RESEND_MOST_MS,
    RESEND_MS,
    Action,
    Answer,
    Closed,
    Counters,
    Held,
    Kept,
    Lost,
    Peer,
    Rules,
    Say,
    Send,
    Stage,
    Took,
    Try,
    Verdict,
)
from cloverhinge.ownership.persistence import Recall, Stands
from cloverhinge.ownership.register import NONE, Ballot, Phase, Slot, Work
from cloverhinge.ownership.replica import Keeper, above, intent
from cloverhinge.ownership.replica_sets import Rosters
from cloverhinge.ownership.wire import Member, Roster, Why, name_of
from cloverhinge.store import NO_MARK, Mark
from cloverhinge.store import Word as JudgeWord

TICK_MS = 25.0  # pace of looking: what was lost on its way is sent again after two of them
GRANT_SHARE = 0.9  # of a lease that its owner counts on: clocks may differ by a tenth before it errs
RENEWALS = 3.0  # tries in a lease's time, so that two in a row may be lost
HEARD = 2.0  # times a lease: who was not heard for so long takes no part
BACKOFF_MS, BACKOFF_MOST_MS = 30.0, 960.0  # at most, by lot, before a higher ballot; twice as long each time
HAND_MS = 200.0  # an owner that says nothing for so long is asked no more: its lease decides
ASK_AGAIN_MS = 50.0  # while a set-up that a viewer came for is under way at its owner
HOLE_WAIT_MS = 400.0  # a keeper that lost others' memory waits so long for owners to write again
BACKUP_MS = 1200.0  # the next keeper takes over what the first one should have
LOOK_MS = 250.0  # between looks for records whose owner is gone
ORPHANS_TICK = 25  # taken up in a tick: a thousand a second
MORE_MS = 2000.0  # a keeper that knows of more records than their owner for so long is asked for them
ORPHAN_MS = 5000.0  # for one try at such a record
REWRITES_TICK = 100  # records written again in a tick: 4,000 a second
UNKNOWN = 1 << 32  # epoch of a verdict on what is unknown: above that of any owner who comes back
HELD_MOST = 65_536  # records owned
TRIES_MOST = 4096
GIFTS_MOST, GIFT_MS = 4096, 5000.0  # hand-overs told again until the other thanks
IDLE_MOST = 4096  # one that is forgotten is taken for one that was acted on
SENT_KEPT = 8  # questions for a lease whose answers still count


class Custody:
    def __init__(self, own: Member, rules: Rules, seed: int, recall: Recall | None = None) -> None:
        """`recall`: of this router's store, where it has one."""
        self.own, self.rules, self.recall = own, rules, recall
        self.who = own.who
        self.random = random.Random(seed)
        self.keeper = Keeper(rules.lease_ms, rules.lasts_ms)
        self.rosters = Rosters(own, rules.routers, rules.hole_ms, self.random.getrandbits(62))
        self.peers: dict[str, Peer] = {self.who: Peer(own)}
        self.alive: dict[str, Member] = {self.who: own}  # as membership has it
        self.runs: dict[str, tuple[int, int]] = {}  # by name: run and incarnation
        self.lived_before = False
        self.room: Mapping[str, float] = {}
        self.held: dict[str, Held] = {}
        self.tries: dict[str, Try] = {}
        self.counters = Counters()
        self.leaving = False
        self._out: list[Action] = []
        self._outbox: dict[str, list[msgspec.Raw]] = {}
        self._pressing = False
        self._local: deque[wire.Items] = deque()
        self._unwritten: dict[str, None] = {}  # records that some keeper does not hold yet, in order
        self._orphans: SortedDict[tuple[float, str], None] = SortedDict()
        self._queued: set[str] = set()
        self._gifts: OrderedDict[str, tuple[str, wire.Given, float, float]] = OrderedDict()
        self._tells: dict[tuple[str, int], tuple[wire.Tell, float]] = {}
        self._parts: dict[str, set[int]] = {}
        self._kept_by: Counter[str] = Counter()  # records of this router's, by who should keep them
        self._idle: OrderedDict[str, None] = OrderedDict()  # intents written and given up before any act
        self._last: Ballot = NONE
        self._seq = 0
        self._looked_ms = -1e12
        self._purged = True
        self._stuck = ""
        self._votes_in = 0, 0
        self._votes_from = 0  # the rows that have to be safe before others count on this one's votes
        self._unjoined = False  # what was brought has not come into a roster of this run's yet
        if recall is not None:
            self.keeper.changed = recall.changed
            self.rosters.mute = not recall.keeps
            if recall.why:
                self._out.append(Say(f"keeps nothing for others: {recall.why}"))

    # What may be asked at any time

    def may_act(self, id: str, now: float) -> bool:
        """Whether this router owns the record at this moment, as a majority of its keepers has it."""
        held = self.held.get(id)
        if held is None or held.work.owner != self.who:
            return False
        sure = sum(1 for x in held.holds if self.peers[x].until_ms > now)
        return sure >= register.majority(len(held.keepers))

    def look(self, id: str) -> Work | None:
        """What is known of it here."""
        if id in self.held:
            return self.held[id].work
        slot = self.keeper.slots.get(id)
        return None if slot is None else slot.work

    def keepers(self, id: str) -> tuple[str, ...]:
        roster = self.rosters.roster
        return () if roster is None else placement.keepers(id, roster.members, self.rules.keepers + 1)

    @property
    def idle(self) -> bool:
        """Nothing is on its way to another owner, and nothing of this router's has to be."""
        return not self._gifts and not any(x.to for x in self.held.values())

    # Events

    def view(self, members: Mapping[Member, int], lived_before: bool, room: Mapping[str, float]) -> None:
        """Membership has changed, or what is known of the members' room; `members` with incarnations."""
        self.alive = {x.who: x for x in members}
        self.runs = {x.name: (x.run, incarnation) for x, incarnation in members.items()}
        self.lived_before, self.room = lived_before, room
        for who, member in self.alive.items():
            if who not in self.peers:
                self.peers[who] = Peer(member)
        roster = self.rosters.roster
        named = set() if roster is None else {x.who for x in (*roster.members, *roster.sources)}
        for who in [x for x in self.peers if x not in self.alive and x not in named and x != self.who]:
            del self.peers[who]
            for held in self.held.values():
                held.written.discard(who)
                held.holds.discard(who)

    def durable(self, now: float, number: int, mark: Mark) -> list[Action]:
        """The rows up to that number are on the disk."""
        if self.recall is not None:
            for who, item, soon in self.recall.durable(number, mark):
                self._post(who, item, soon)
        return self._done(now)

    def failed(self, now: float, why: str) -> list[Action]:
        """The store has: what was not safe is never said, and nothing is kept here any more."""
        if self.recall is not None and self.recall.stands is not Stands.OUT:
            self.recall.fail(why)
            self.rosters.mute = True
            self._out.append(Say(f"keeps nothing for others: {why}"))
            self._say_hi(now, at_once=True)
        return self._done(now)

    def due(self, now: float) -> list[Action]:
        self.keeper.lapse(now)
        self._judge(now)
        self._pressing = bool(self._outbox)
        self._say_hi(now)
        self._change_rosters(now)
        for id in [x.id for x in self.tries.values()]:
            if id in self.tries:
                self._step(now, self.tries[id])
        self._rewrite(now)
        self._look_for_orphans(now)
        for id, (to, given, sent, until) in list(self._gifts.items()):
            if now >= until or to not in self.alive:
                del self._gifts[id]
            elif now - sent >= 2 * RESEND_MS:
                self._gifts[id] = to, given, now, until
                self._to(to, given)
        for (who, part), (tell, sent) in list(self._tells.items()):
            if who in self.alive and now - sent >= 4 * RESEND_MS:
                self._tells[who, part] = tell, now
                self._to(who, tell)
        return self._done(now)

    def claim(
        self,
        now: float,
        number: int,
        id: str,
        paid: bool,
        body: bytes,
        soon_ms: float,
        until_ms: float,
        soon: bool = False,
    ) -> list[Action]:
        """A viewer came for it; `soon`: he does not wait for it to be kept.

        `Answer` follows by `soon_ms`, by `until_ms` where another has it, at once where it is here already.
        """
        held = self.held.get(id)
        attempt = self.tries.get(id)
        if held is not None and not held.to and attempt is None:
            verdict = Verdict.TAKEN if held.work.phase is Phase.STANDS else Verdict.NEW
            if held.work.phase in (Phase.STANDS, Phase.INTENT):
                self._out.append(Answer(number, verdict, held.work))
                return self._done(now)
        if attempt is not None:
            attempt.join(number, soon_ms, until_ms)
            if attempt.reason in ("orphan", "mine", "find"):
                attempt.reason, attempt.intent = "claim", intent(self.who, paid, body)
        elif len(self.tries) >= TRIES_MOST or len(self.held) >= HELD_MOST:
            self.counters.unkept += 1
            self._out.append(Answer(number, Verdict.UNKEPT, None))
        else:
            self._unqueue(id)
            seen = NONE if held is None else held.ballot
            self._try(
                now,
                Try(
                    id,
                    "claim",
                    intent(self.who, paid, body),
                    soon_ms,
                    until_ms,
                    [number],
                    True,
                    seen=seen,
                    soon=soon,
                ),
            )
        return self._done(now)

    def find(self, now: float, number: int, id: str, soon_ms: float, until_ms: float) -> list[Action]:
        """A viewer came for a session that stands, if it does; nothing is claimed where it does not."""
        attempt = self.tries.get(id)
        if attempt is not None:
            attempt.join(number, soon_ms, until_ms)
        elif len(self.tries) >= TRIES_MOST:
            self._out.append(Answer(number, Verdict.UNKEPT, None))
        else:
            self._unqueue(id)
            empty = Work(self.who, 1, Phase.INTENT, False)
            self._try(now, Try(id, "find", empty, soon_ms, until_ms, [number], False))
        return self._done(now)

    def update(self, now: float, id: str, phase: Phase, body: bytes) -> list[Action]:
        """What this router owns has changed; nothing where it does not own it any more."""
        held = self.held.get(id)
        if held is not None and not held.to and register.owned(held.work):
            work = msgspec.structs.replace(held.work, phase=phase, body=body)
            if work != held.work:
                self._write(now, held, work)
                if self.leaving:
                    self._leave_behind(now, id)
        return self._done(now)

    def leave(self, now: float) -> list[Action]:
        """A planned end: all sessions go to the others, each to one drawn by its room."""
        self.leaving = True
        self._say_hi(now, at_once=True)
        for id in list(self.held):
            self._leave_behind(now, id)
        return self._done(now)

    def _leave_behind(self, now: float, id: str) -> None:
        held, others = self.held[id], [x for x in self.alive if x != self.who and self._takes_part(x, now)]
        if others and held.work.phase is Phase.STANDS and not held.to:
            self._hand(now, held, placement.successor(id, others, self.room))

    def _hand(self, now: float, held: Held, to: str) -> None:
        self._out.append(Lost(held.id, to))
        held.to = to
        self._write(now, held, register.follows(held.work, to))

    def heard(self, now: float, member: Member, told: bytes) -> list[Action]:
        """Raises Bad where it can't be read."""
        body = wire.decode(told)
        who = member.who
        peer = self.peers.get(who)
        if peer is None:
            if len(self.peers) >= 2 * wire.MEMBERS_MOST:
                return []
            peer = self.peers[who] = Peer(member)
        peer.heard_ms, peer.lineage, peer.number = now, body.lineage, body.number
        if (
            self.recall is not None
            and (told_late := self.recall.note(member.name, Mark(body.generation, body.position))) is not None
        ):
            self._to(who, told_late)
        for item in body.items:
            self._take(now, who, item, (body.lineage, body.number))
        return self._done(now)

    # Messages

    def _to(self, who: str, item: wire.Items, soon: bool = False) -> None:
        """`soon`: nobody waits for it, so that it may travel with others."""
        if self.recall is None or not self.recall.holds(who, item, soon, self.rosters.votes):
            self._post(who, item, soon)

    def _post(self, who: str, item: wire.Items, soon: bool) -> None:
        if who == self.who:
            self._local.append(item)
        else:
            self._outbox.setdefault(who, []).append(wire.pack(item))
            self._pressing = self._pressing or not soon

    @property
    def waiting(self) -> bool:
        """Whether something is to be sent by `flush` soon."""
        return bool(self._outbox)

    def flush(self, now: float) -> list[Action]:
        self._pressing = True
        return self._done(now)

    def _done(self, now: float) -> list[Action]:
        while self._local:
            self._take(now, self.who, self._local.popleft(), self._roster)
        if self.recall is not None:
            rows = self.recall.rows(now, self.keeper, self.rosters.votes)
            if rows is not None:
                self._out.append(rows)
        if self._pressing:
            self._pressing = False
            self._send()
        done, self._out = self._out, []
        return done

    def _send(self) -> None:
        lineage, number = self._roster
        outbox, self._outbox = self._outbox, {}
        mark = NO_MARK if self.recall is None else self.recall.said
        for who, items in outbox.items():
            peer = self.peers.get(who)
            if peer is None:
                continue
            for batch in wire.batches(items, lambda x: len(bytes(x)), wire.BATCH_BYTES):
                self._out.append(Send(peer.member, wire.encode(lineage, number, batch, mark)))

    @property
    def _roster(self) -> tuple[int, int]:
        return self.rosters.lineage, self.rosters.number

    def _take(self, now: float, who: str, item: wire.Items, roster: tuple[int, int]) -> None:
        match item:
            case wire.Prepare() | wire.Write():
                self._to(who, self._vote(now, who, item, roster), isinstance(item, wire.Write) and item.soon)
            case wire.Promised():
                self._promised(now, who, item)
            case wire.Written():
                self._written(now, who, item)
            case wire.Refused():
                self._refused(now, who, item)
            case wire.Hi():
                self._hi(now, who, item, roster)
            case wire.Granted():
                self._granted(now, who, item)
            case wire.Lapsed():
                self._lapsed(now, who, item)
            case wire.RosterAsk():
                self._reply(who, self.rosters.asked(now, item))
            case wire.RosterWrite():
                self._reply(who, self.rosters.write(item))
            case wire.RosterPromised():
                for to, ask in self.rosters.promised(now, who, item, self.runs):
                    self._to(to, ask)
            case wire.RosterWritten():
                decided = self.rosters.written(who, item, self.runs)
                if decided is not None:
                    self._enter(now, decided)
            case wire.RosterRefused():
                self.rosters.refused(now, item)
            case wire.Known():
                self._known(now, who, item.roster)
            case wire.Tell():
                self._told(now, who, item, roster)
            case wire.Heard():
                if item.number == self.rosters.number:
                    self._tells.pop((who, item.part), None)
            case wire.GiveMe():
                self._asked_for(now, who, item.id)
            case wire.Given():
                self._given(now, who, item)
            case wire.NotGiven():
                self._not_given(now, item)
            case wire.Withdraw():
                self.keeper.withdraw(now, item)
            case wire.Claim():
                self._to(who, (self.recall or Recall(self.own)).word(name_of(who), item))
            case wire.Word():
                self._word(now, name_of(who), item)
            case wire.Seen():
                self._answered(who, item.of)
            case wire.Mine():
                self._mine(who, item.after)
            case wire.Yours():
                self._yours(now, who, item)
            case wire.Thanks():
                gift = self._gifts.get(item.id)
                if gift is not None and gift[0] == who and gift[1].ballot == item.ballot:
                    del self._gifts[item.id]

    def _reply(self, who: str, item: wire.Items | None) -> None:
        if item is not None:
            self._to(who, item)

    # What was brought from before the start

    def _judge(self, now: float) -> None:
        claim = None if self.recall is None else self.recall.claims(now)
        if claim is None or self.recall is None or self.recall.judge is None:
            return
        judge = self.recall.judge
        for who in self.alive:
            if who != self.who and name_of(who) not in judge.words:
                self._to(who, claim)
        if judge.word is not JudgeWord.WAITING:
            self._judged(now, judge.word)

    def _word(self, now: float, name: str, told: wire.Word) -> None:
        if self.recall is None:
            return
        word = self.recall.heard(name, told)
        if word is not JudgeWord.WAITING:
            self._judged(now, word, name)

    def _judged(self, now: float, word: JudgeWord, by: str = "") -> None:
        """The store is all that was promised from it, or void."""
        assert self.recall is not None
        brought = self.recall.judged(word is JudgeWord.WHOLE)
        self.rosters.mute = False
        if brought is not None:
            self.keeper.load(now, brought.slots)
            self.recall.changed.clear()  # as they are on the disk
            self.rosters.heirs = dict.fromkeys(self.recall.lives, self.own)
            self.rosters.bring(now, brought.votes)
            self._unjoined = True
            self._out.append(
                Say(f"its store is whole: {len(brought.slots)} records, roster " f"{self.rosters.number}")
            )
        else:
            self._out.append(Say(f"its store is behind what {by} has heard of it, and void"))
        self._say_hi(now, at_once=True)

    # Leases

    def _say_hi(self, now: float, at_once: bool = False) -> None:
        """To all who are in: those who keep nothing for this router learn that it takes part."""
        for who in self.alive:
            peer = self.peers[who]
            if at_once or now - peer.asked_ms >= self.rules.lease_ms / RENEWALS:
                self._renew(now, peer)

    def _renew(self, now: float, peer: Peer) -> None:
        self._seq += 1
        peer.asked_ms = now
        peer.asked[self._seq] = now
        trim(peer.asked, SENT_KEPT)
        lived, stands, lives = self.lived_before, Stands.FORGOT, tuple[str, ...]()
        if self.recall is not None:
            stands, roster = self.recall.told, self.rosters.roster
            lived = lived or stands in (Stands.JUDGING, Stands.WHOLE)
            named = () if roster is None else {x.who for x in (*roster.members, *roster.sources)}
            lives = tuple(x for x in self.recall.lives if x in named and x != self.who)
        self._to(
            peer.member.who,
            wire.Hi(self._seq, peer.generation, self._votes, lived, self.leaving, int(stands), lives),
        )

    def _hi(self, now: float, who: str, hi: wire.Hi, roster: tuple[int, int]) -> None:
        peer = self.peers[who]
        peer.active, peer.lived, peer.leaving = hi.active, hi.lived, hi.leaving
        peer.stands, peer.lives = Stands(hi.stands), hi.lives
        if who == self.who:
            peer.heard_ms, (peer.lineage, peer.number) = now, roster
        held = self.rosters.roster
        if (
            held is not None
            and roster != self._roster
            and (roster[0] != held.lineage or roster[1] < held.number)
        ):
            self._to(who, wire.Known(held))
        if self.rosters.active and self._among_most(now):
            if self.keeper.renew(now, who, hi.generation):
                owned = len(self.keeper.of_owner.get(who, ()))
                self._to(who, wire.Granted(hi.seq, hi.generation, owned))
            else:
                self._to(who, wire.Lapsed(hi.seq, self.keeper.generation(who)))
        else:
            self._to(who, wire.Seen(hi.seq))

    def _answered(self, who: str, of: int) -> float | None:
        """When the question was sent; both directions worked since."""
        peer = self.peers[who]
        sent = peer.asked.pop(of, None)
        if sent is not None:
            peer.proven_ms = max(peer.proven_ms, sent)
        return sent

    def _granted(self, now: float, who: str, told: wire.Granted) -> None:
        peer, sent = self.peers[who], self._answered(who, told.of)
        if sent is not None and told.generation == peer.generation:
            peer.until_ms = max(peer.until_ms, sent + GRANT_SHARE * self.rules.lease_ms)
        if told.owned <= self._kept_by[who]:
            peer.more_ms = None
        elif peer.more_ms is None:
            peer.more_ms = now
        elif now - peer.more_ms >= MORE_MS:
            peer.more_ms = now
            self._to(who, wire.Mine(peer.after))

    def _mine(self, who: str, after: str) -> None:
        ids = sorted(x for x in self.keeper.of_owner.get(who, ()) if x > after)
        self._to(who, wire.Yours(ids[: wire.MINE_MOST], len(ids) <= wire.MINE_MOST))

    def _yours(self, now: float, who: str, told: wire.Yours) -> None:
        """Kept as this router's, which may not know of it: a hand-over's word was lost."""
        peer = self.peers[who]
        peer.after = "" if told.last or not told.ids else told.ids[-1]
        if not told.last:
            peer.more_ms = now - MORE_MS
        for id in told.ids:
            if (
                id not in self.held
                and id not in self.tries
                and id not in self._gifts
                and len(self.tries) < TRIES_MOST // 2
            ):
                empty = Work(self.who, 1, Phase.INTENT, False)
                self._try(now, Try(id, "mine", empty, now + ORPHAN_MS, now + ORPHAN_MS, [], False))

    def _lapsed(self, now: float, who: str, told: wire.Lapsed) -> None:
        """Another may have come to that keeper in between: all that it holds is written to it again."""
        peer = self.peers[who]
        if self._answered(who, told.of) is None or told.generation <= peer.generation:
            return
        peer.generation, peer.until_ms = told.generation, -1e12
        for held in self.held.values():
            if who in held.keepers:
                held.written.discard(who)
                held.holds.discard(who)
                self._unwritten[held.id] = None
                held.sent_ms, held.pause_ms = -1e12, RESEND_MS
        self._renew(now, peer)

    # Rosters

    def _takes_part(self, who: str, now: float) -> bool:
        peer = self.peers.get(who)
        if (
            peer is None
            or who not in self.alive
            or peer.leaving
            or peer.stands in (Stands.JUDGING, Stands.OUT)
        ):
            return False
        return who == self.who or now - peer.heard_ms < HEARD * self.rules.lease_ms

    def _change_rosters(self, now: float) -> None:
        wanted = (
            ()
            if self.leaving
            else tuple(sorted(x for who, x in self.alive.items() if self._takes_part(who, now)))
        )
        lived = any(self.peers[x.who].lived for x in wanted)
        fresh = (
            not lived
            and self.recall is None
            or len(wanted) >= self.rules.routers
            and all(self.peers[x.who].lineage == 0 for x in wanted)
        )
        here = [(x, self.peers[who]) for who, x in self.alive.items() if who in self.peers]
        own = () if self.recall is None or self.recall.stands is not Stands.WHOLE else self.recall.lives
        self.rosters.heirs = dict.fromkeys(own, self.own) | {
            life: x for x, peer in here if peer.stands is Stands.WHOLE for life in peer.lives
        }
        self.rosters.forgot = frozenset(x.who for x, peer in here if peer.stands is Stands.FORGOT)
        for to, item in self.rosters.due(now, wanted, self.runs, self._settled, fresh, lived):
            self._to(to, item)
        if self.rosters.active and self._votes_in != self._roster:
            self._votes_in = self._roster
            self._votes_from = 0 if self.recall is None else self.recall.barrier(self.rosters.votes)
            self._out.append(Say(f"votes in roster {self.rosters.number}"))
        if self.rosters.stuck != self._stuck:
            self._stuck = self.rosters.stuck
            self._out.append(Say(self._stuck or "enough routers are here to keep work"))
        if self._settled:
            self.rosters.settled = True
        if not self._purged and self._settled:
            self._purged = True
            for id in [x for x in self.keeper.slots if self.who not in self.keepers(x)]:
                self.keeper.forget(id)

    @property
    def _votes(self) -> bool:
        """Whether others may count on this one's votes: what it was told for them is safe."""
        return (
            self.rosters.active
            and self._votes_in == self._roster
            and (self.recall is None or self.recall.safe >= self._votes_from and self.recall.keeps)
        )

    @property
    def _settled(self) -> bool:
        """All members of the roster are known to vote in it."""
        roster = self.rosters.roster
        return (
            self.rosters.settled
            or roster is not None
            and all(
                self._votes
                if x.who == self.who
                else (peer := self.peers.get(x.who)) is not None
                and peer.active
                and (peer.lineage, peer.number) == self._roster
                for x in roster.members
            )
        )

    def _known(self, now: float, who: str, roster: Roster) -> None:
        if self.recall is not None and self.recall.stands is Stands.JUDGING:
            return
        if self.rosters.follows(roster):
            self._enter(now, roster)
        elif (
            (held := self.rosters.roster) is not None
            and roster.lineage != held.lineage
            and (self.rosters.stuck or not self.rosters.member or not self._followed(now))
            and self.peers[who].active
        ):
            # Its own majority is gone for good, and others have begun anew: it joins them.
            self._out.append(Say("joins routers that began anew: what this one kept is void"))
            self.keeper.forget_all()
            self._enter(now, roster)
            for one in self.held.values():
                self._keep(now, one)

    def _followed(self, now: float) -> bool:
        """Whether most members of this one's roster are of its lineage still."""
        roster = self.rosters.roster
        return roster is not None and 2 * sum(
            x.who == self.who or self._takes_part(x.who, now) and self.peers[x.who].lineage == roster.lineage
            for x in roster.members
        ) > len(roster.members)

    def _enter(self, now: float, roster: Roster) -> None:
        self.rosters.enter(now, roster)
        self.keeper.enter(roster.number)
        if self._unjoined and not self.rosters.tells:
            # The others have gone on without it: what they have let lapse since must not come back.
            self.keeper.forget_all()
        self._unjoined = False
        self._tells.clear()
        self._parts.clear()
        self._purged = False
        names = ", ".join(x.name for x in roster.members)
        missing = f"; {len(roster.holes)} holes" if roster.holes else ""
        self._out.append(Say(f"roster {roster.number}: {names}{missing}"))
        for member in (*roster.members, *roster.sources):
            if member.who not in self.peers:
                self.peers[member.who] = Peer(member)
        if self.rosters.tells:
            self._tell(now, roster)
        for held in self.held.values():
            self._kept_by.subtract(held.keepers)
            held.keepers, held.written, held.holds = self.keepers(held.id), set(), set()
            self._kept_by.update(held.keepers)
            held.sent_ms, held.pause_ms = -1e12, RESEND_MS
            self._unwritten[held.id] = None
        for attempt in self.tries.values():
            attempt.stage, attempt.next_ms, attempt.claims = Stage.WAIT, now, False
        for held in list(self.held.values()):
            if any(placement.lost(held.id, held.ballot[0], x, self.rules.keepers + 1) for x in roster.holes):
                self._keep(now, held)  # more may have been written of it: under a new term, or not at all
        for member in roster.members:  # whoever decided it tells it to all
            if member.who != self.who:
                self._to(member.who, wire.Known(roster))
        for peer in self.peers.values():
            if peer.member.who in self.alive:
                self._renew(now, peer)

    def _tell(self, now: float, roster: Roster) -> None:
        """All that this one holds, to those who keep it from now on."""
        mine: dict[str, list[str]] = {x.who: [] for x in roster.members}
        for id in self.keeper.slots:
            for who in self.keepers(id):
                mine[who].append(id)
        leases = [(owner, self.keeper.lease_left(owner, now)) for owner in self.keeper.leases]
        leases = [x for x in leases if x[1] > 0.0]
        for who, ids in mine.items():
            if who == self.who:
                self.rosters.told(now, who)
                continue
            parts = list(wire.batches(self.keeper.told(ids), wire.size, wire.TELL_BYTES)) or [[]]
            for at, slots in enumerate(parts):
                tell = wire.Tell(roster.number, at, len(parts), slots, leases)
                self._tells[who, at] = tell, now
                self._to(who, tell)

    def _told(self, now: float, who: str, tell: wire.Tell, roster: tuple[int, int]) -> None:
        if roster[0] != self.rosters.lineage or tell.number > self.rosters.number:
            return  # it is told again until this one knows that roster
        self._to(who, wire.Heard(tell.number, tell.part))
        if tell.number < self.rosters.number or self.rosters.active:
            return
        self.keeper.merge(now, tell.slots, tell.leases)
        parts = self._parts.setdefault(who, set())
        parts.add(tell.part)
        if len(parts) == tell.parts:
            self.rosters.told(now, who)
            if self.rosters.active:
                self._say_hi(now, at_once=True)

    # Keeping

    def _among_most(self, now: float) -> bool:
        """Whether most of the roster have answered of late: the others may go on without those to whom they
        have not, and answer for what those keep.  A cut is followed by a roster only later than this.
        """
        roster = self.rosters.roster
        if roster is None:
            return False
        heard = sum(
            x.who == self.who or now - self.peers[x.who].proven_ms < HEARD * self.rules.lease_ms
            for x in roster.members
        )
        return 2 * heard > len(roster.members)

    def _vote(
        self,
        now: float,
        who: str,
        item: wire.Prepare | wire.Write,
        roster: tuple[int, int],
    ) -> wire.Items:
        active = self.rosters.active_ms
        if roster != self._roster or active is None or not self._among_most(now) or self.rosters.mute:
            return wire.Refused(item.id, item.ballot, Why.ROSTER)
        written = self.keeper.slots.get(item.id, register.EMPTY).accepted[0]
        hole = any(placement.lost(item.id, written, x, self.rules.keepers + 1) for x in self.rosters.holes)
        if isinstance(item, wire.Write):
            return self.keeper.write(now, who, item, hole)
        if hole and now - active < HOLE_WAIT_MS:
            return wire.Refused(item.id, item.ballot, Why.ROSTER)
        return self.keeper.prepare(now, who, item, hole)

    # Owning

    def _own(self, now: float, attempt: Try) -> None:
        work = attempt.work
        assert work is not None
        held = Held(attempt.id, work, attempt.ballot, attempt.ballot, attempt.keepers, sent_ms=now)
        if attempt.reason == "keep" and (was := self.held.get(attempt.id)) is not None:
            held.to = was.to
        held.written = {
            x
            for x, generation in attempt.written.items()
            if x in self.peers and self.peers[x].generation == generation
        }
        held.holds = set(held.written)
        self._hold(held)
        if len(held.written) < len(held.keepers):
            self._unwritten[attempt.id] = None

    def _write(self, now: float, held: Held, work: Work) -> None:
        held.work = work
        if held.id not in self.tries:  # otherwise once it is known that this router has the record still
            held.ballot, held.written = (*held.ballot[:2], held.ballot[2] + 1), set()
            held.pause_ms = RESEND_MS
            self._send_to_keepers(now, held)

    def _keep(self, now: float, held: Held, seen: Ballot = NONE) -> None:
        """Asks for a new term, or learns that another has the record."""
        if held.id not in self.tries:
            seen = max(seen, held.ballot)
            self._try(now, Try(held.id, "keep", held.work, 1e18, 1e18, [], False, seen=seen))

    def _send_to_keepers(self, now: float, held: Held) -> None:
        held.sent_ms = now
        self._unwritten[held.id] = None
        soon = not held.work.paid and not held.to
        write = wire.Write(held.id, held.ballot, held.work, soon=soon)
        for who in held.keepers:
            if who not in held.written:
                self._to(who, write, soon)

    def _rewrite(self, now: float) -> None:
        for id in list(islice(self._unwritten, REWRITES_TICK)):
            held = self.held.get(id)
            if held is None or len(held.written) == len(held.keepers) and held.keepers:
                del self._unwritten[id]
                continue
            del self._unwritten[id]  # behind the others
            self._unwritten[id] = None
            here = any(x in self.alive for x in held.keepers if x not in held.written)
            if here and id not in self.tries and now - held.sent_ms >= held.pause_ms:
                held.pause_ms = min(2.0 * held.pause_ms, RESEND_MOST_MS)
                self._send_to_keepers(now, held)

    def _chosen(self, now: float, held: Held) -> None:
        """A majority holds what was written last."""
        if held.chosen == held.ballot:
            return
        held.chosen = held.ballot
        if held.to:
            given = wire.Given(held.id, held.ballot, held.work)
            self.counters.handed_over += 1
            self._forget(held.id)
            self._gifts[held.id] = held.to, given, now, now + GIFT_MS
            trim(self._gifts, GIFTS_MOST)
            self._to(held.to, given)
        elif not register.owned(held.work):
            self._forget(held.id)
            self._out.append(Closed(held.id))
        else:
            self._out.append(Kept(held.id, held.work.phase))

    def _hold(self, held: Held) -> None:
        self._forget(held.id)
        self.held[held.id] = held
        self._kept_by.update(held.keepers)

    def _forget(self, id: str) -> None:
        held = self.held.pop(id, None)
        if held is not None:
            self._kept_by.subtract(held.keepers)
        self._unwritten.pop(id, None)

    def _lose(self, id: str, to: str, over: bool = False) -> None:
        self.counters.fenced += 1
        self._forget(id)
        self._out.append(Lost(id, to, over))

    def _asked_for(self, now: float, who: str, id: str) -> None:
        held, gift = self.held.get(id), self._gifts.get(id)
        if gift is not None and gift[0] == who:
            self._to(who, gift[1])
        elif held is None or held.to:
            self._to(who, wire.NotGiven(id, held is not None))
        elif held.work.phase is Phase.STANDS:
            self._hand(now, held, who)
        else:
            self._to(who, wire.NotGiven(id, True))

    def _given(self, now: float, who: str, given: wire.Given) -> None:
        self._to(who, wire.Thanks(given.id, given.ballot))
        held = self.held.get(given.id)
        if given.work.owner != self.who or held is not None and held.chosen >= given.ballot:
            return
        if given.id in self._gifts and self._gifts[given.id][1].ballot >= given.ballot:
            return  # it has been here, and was handed on
        self.counters.received += 1
        self._hold(
            Held(given.id, given.work, given.ballot, given.ballot, self.keepers(given.id), sent_ms=-1e12)
        )
        self._unwritten[given.id] = None
        self._out.append(Took(given.id, given.work, None))
        attempt = self.tries.pop(given.id, None)
        for number in () if attempt is None else attempt.numbers:
            self._out.append(Answer(number, Verdict.TAKEN, given.work))
        if self.leaving:
            self._leave_behind(now, given.id)

    def _not_given(self, now: float, told: wire.NotGiven) -> None:
        attempt = self.tries.get(told.id)
        if attempt is not None and attempt.stage is Stage.HAND:
            if told.open:
                attempt.next_ms, attempt.sent_ms = now + ASK_AGAIN_MS, now
            else:
                attempt.stage, attempt.next_ms = Stage.WAIT, now + ASK_AGAIN_MS

    # Trying

    def _try(self, now: float, attempt: Try) -> None:
        self.tries[attempt.id] = attempt
        attempt.next_ms = now
        self._step(now, attempt)

    def _step(self, now: float, attempt: Try) -> None:
        if now >= (attempt.until_ms if attempt.owner else attempt.soon_ms) and attempt.reason != "keep":
            del self.tries[attempt.id]
            if attempt.wrote:
                self._idle[attempt.id] = None
                trim(self._idle, IDLE_MOST)
            verdict = Verdict.HELD if attempt.owner else Verdict.UNKEPT
            self.counters.unkept += bool(attempt.numbers)
            for number in attempt.numbers:
                self._out.append(Answer(number, verdict, None))
            return
        if attempt.stage is Stage.WAIT:
            if now >= attempt.next_ms:
                self._begin(now, attempt)
        elif attempt.stage is Stage.HAND:
            if now >= attempt.next_ms:
                attempt.next_ms = now + ASK_AGAIN_MS
                if attempt.owner in self.alive and now - attempt.sent_ms < HAND_MS:
                    self._to(attempt.owner, wire.GiveMe(attempt.id))
                else:
                    attempt.stage = Stage.WAIT
        elif attempt.written and self._wins(now, attempt):
            self._won(now, attempt)  # a lease has come since
        elif attempt.stage is Stage.CLAIM and now - attempt.sent_ms >= RESEND_MS:
            self._begin(now, attempt)  # one of them does not answer: most are enough, with a question first
        elif now - attempt.sent_ms >= attempt.pause_ms and attempt.refusals:
            self._give_way(now, attempt)  # the others may be away: what was refused is asked again
        elif now - attempt.sent_ms >= attempt.pause_ms:
            attempt.pause_ms = min(2.0 * attempt.pause_ms, 4.0 * RESEND_MS)
            attempt.written = {
                who: generation
                for who, generation in attempt.written.items()
                if who in self.peers and self.peers[who].generation == generation
            }
            self._ask(now, attempt)

    def _begin(self, now: float, attempt: Try) -> None:
        """A new ballot, over those who keep it now."""
        if attempt.stage is Stage.CLAIM:
            self._withdraw(attempt)
        attempt.keepers = self.keepers(attempt.id)
        if not attempt.keepers:
            return  # there is no roster yet
        # All keepers have to take a claim: where one is away it is asked for at once.
        attempt.claims = attempt.claims and all(self._takes_part(x, now) for x in attempt.keepers)
        if attempt.claims:
            attempt.ballot = register.CLAIM, self.who, 0
        else:
            attempt.ballot = above(max(attempt.seen, self._last), self.rosters.number, self.who)
            attempt.seen = self._last = attempt.ballot  # no term of this run's is ever used twice
        attempt.promises, attempt.refusals, attempt.written = {}, {}, {}
        attempt.stage = Stage.CLAIM if attempt.claims else Stage.ASK
        attempt.work = attempt.intent if attempt.claims else None
        attempt.wrote = attempt.wrote or attempt.claims
        attempt.found, attempt.claims, attempt.pause_ms = None, False, RESEND_MS
        self._ask(now, attempt)

    def _withdraw(self, attempt: Try) -> None:
        """A keeper that took it alone would deny others for as long as this router lives."""
        for who in attempt.keepers:
            self._to(who, wire.Withdraw(attempt.id, attempt.ballot))

    def _ask(self, now: float, attempt: Try) -> None:
        attempt.sent_ms = now
        ask: wire.Items
        if attempt.stage is Stage.ASK:
            ask = wire.Prepare(attempt.id, attempt.ballot)
            answered = attempt.promises.keys() | attempt.refusals.keys()
        else:
            assert attempt.work is not None
            ask = wire.Write(
                attempt.id, attempt.ballot, attempt.work, attempt.stage is Stage.CLAIM, attempt.soon
            )
            answered = attempt.written.keys() | attempt.refusals.keys()
        for who in attempt.keepers:
            if who not in answered:
                self._to(who, ask, attempt.soon and attempt.stage is not Stage.ASK)

    def _promised(self, now: float, who: str, told: wire.Promised) -> None:
        attempt = self.tries.get(told.id)
        if (
            attempt is None
            or attempt.stage is not Stage.ASK
            or told.ballot != attempt.ballot
            or who not in attempt.keepers
        ):
            return
        attempt.promises[who] = told
        if len(attempt.promises) < register.majority(len(attempt.keepers)):
            return
        newest = max(attempt.promises.values(), key=lambda x: x.accepted)
        self._decide(now, attempt, newest.work, any(x.hole for x in attempt.promises.values()))

    def _decide(self, now: float, attempt: Try, found: Work | None, hole: bool) -> None:
        work: Work
        if attempt.reason == "keep":
            held = self.held.get(attempt.id)
            if held is None or not self._mine_still(held, found):
                del self.tries[attempt.id]
                if held is not None and found is not None:
                    self._lose(attempt.id, found.owner, not register.owned(found))
                return
            work = held.work
        elif (
            attempt.reason == "orphan"
            and (found is None or register.owned(found) in self.alive)
            or attempt.reason == "mine"
            and register.owned(found) != self.who
        ):
            del self.tries[attempt.id]
            return
        elif attempt.reason == "find" and (found is None or found.phase is not Phase.STANDS):
            del self.tries[attempt.id]
            for number in attempt.numbers:
                self._out.append(Answer(number, Verdict.FINAL, found))
            return
        elif hole and attempt.intent.paid and (found is None or found.phase is Phase.INTENT):
            self.counters.unknown += 1  # more may have been known of it than is known now
            work = (
                msgspec.structs.replace(attempt.intent, phase=Phase.FAILED, epoch=UNKNOWN)
                if found is None
                else register.follows(found, self.who, phase=Phase.DOOMED)
            )
        elif attempt.reason == "orphan" and found is not None and not register.owned(found):
            work = found
        elif (
            found is not None
            and found.owner == self.who
            and found.phase is Phase.INTENT
            and found.paid
            and not attempt.wrote
            and attempt.id not in self._idle
        ):
            # Lost and come back: it may have left before.
            work = msgspec.structs.replace(found, phase=Phase.DOOMED)
        else:
            work = register.taken_over(found, self.who, attempt.intent)
            # Not acted on before it is won, whatever comes between: found again it is no failure.
            attempt.wrote = attempt.wrote or work.owner == self.who and work.phase is Phase.INTENT
        attempt.found, attempt.work, attempt.stage = found, work, Stage.WRITE
        attempt.refusals = {}
        self._ask(now, attempt)

    def _wins(self, now: float, attempt: Try) -> bool:
        """Enough keepers have taken it; where it is to be acted on, their leases run as well."""
        count = len(attempt.keepers)
        most = register.majority(count)
        if len(attempt.written) < (count if attempt.stage is Stage.CLAIM else most):
            return False
        if attempt.reason != "claim" or attempt.work is None or attempt.work.phase is not Phase.INTENT:
            return True
        sure = [
            who
            for who, generation in attempt.written.items()
            if self.peers[who].generation == generation and self.peers[who].until_ms > now
        ]
        return len(sure) >= most

    def _mine_still(self, held: Held, found: Work | None) -> bool:
        """Whether what keepers have is this owner's, or what it was before; handed on, just what it wrote."""
        if found is None or found.epoch < held.work.epoch:
            return True
        return found == held.work if held.to else (found.epoch, found.owner) == (held.work.epoch, self.who)

    def _written(self, now: float, who: str, told: wire.Written) -> None:
        attempt, held = self.tries.get(told.id), self.held.get(told.id)
        if (
            attempt is not None
            and attempt.stage in (Stage.CLAIM, Stage.WRITE)
            and told.ballot == attempt.ballot
            and who in attempt.keepers
        ):
            attempt.written[who] = told.generation
            if self._wins(now, attempt):
                self._won(now, attempt)
        elif held is not None and who in held.keepers:
            if told.generation == self.peers[who].generation and told.ballot[:2] == held.ballot[:2]:
                held.holds.add(who)
            if told.ballot != held.ballot:
                return
            if told.generation == self.peers[who].generation:
                held.written.add(who)
            if len(held.written) >= register.majority(len(held.keepers)):
                self._chosen(now, held)

    def _won(self, now: float, attempt: Try) -> None:
        work, found = attempt.work, attempt.found
        assert work is not None
        del self.tries[attempt.id]
        if attempt.reason == "keep":
            was = self.held.get(attempt.id)
            if was is None:
                return  # an earlier write of this router's was chosen meanwhile, and ended it
            latest = was.work
            self._own(now, attempt)
            held = self.held[attempt.id]
            if latest != work:  # it has changed meanwhile
                self._write(now, held, latest)
            else:
                held.chosen = NONE  # so that what waited for this is told now
                self._chosen(now, held)
            return
        mine = register.owned(work) == self.who
        self._idle.pop(attempt.id, None)
        if mine:
            self._own(now, attempt)
        again = found is not None and mine and found.owner == self.who and bool(found.past)
        if found is not None and (found != work and found.owner != self.who or again):
            self.counters.taken_over += 1  # (again: taken before, and its keepers' answers came too late)
        elif found is None:
            self.counters.claimed += 1
        if found is not None and (found != work or mine):
            self._out.append(Took(attempt.id, work, found))
        verdict = (
            Verdict.FINAL
            if not mine or work.phase is Phase.DOOMED
            else Verdict.TAKEN
            if work.phase is Phase.STANDS
            else Verdict.NEW
        )
        for number in attempt.numbers:
            self._out.append(Answer(number, verdict, work))
        if mine and work.phase is Phase.DOOMED:
            self._write(now, self.held[attempt.id], msgspec.structs.replace(work, phase=Phase.FAILED))

    def _refused(self, now: float, who: str, told: wire.Refused) -> None:
        attempt, held = self.tries.get(told.id), self.held.get(told.id)
        if attempt is None:
            if held is not None and told.ballot == held.ballot and told.why is Why.BALLOT:
                # Another has come to that keeper: who has the record now?
                self._keep(now, held, told.promised)
            return
        if told.ballot != attempt.ballot or attempt.stage not in (Stage.CLAIM, Stage.ASK, Stage.WRITE):
            return
        attempt.refusals[who] = told
        attempt.seen = max(attempt.seen, told.promised)
        left = len(attempt.keepers) - len(attempt.refusals)
        if attempt.stage is not Stage.CLAIM and left >= register.majority(len(attempt.keepers)):
            return
        self._give_way(now, attempt)

    def _give_way(self, now: float, attempt: Try) -> None:
        """This ballot comes to nothing: another has a higher one, or its owner a lease."""
        refusals, claimed = list(attempt.refusals.values()), attempt.stage is Stage.CLAIM
        if claimed:
            self._withdraw(attempt)
        # Guards against two who undo each other's ballots for as long as keepers' disks are slow.
        pause = min(BACKOFF_MS * 2.0 ** min(attempt.yields, 16), BACKOFF_MOST_MS)
        attempt.stage, attempt.next_ms = Stage.WAIT, now + self.random.uniform(0.2, 1.0) * pause
        attempt.yields += 1
        leases = [x for x in refusals if x.why is Why.LEASE]
        if leases:
            attempt.owner = leases[0].owner
            if attempt.reason == "keep" and len(leases) >= register.majority(len(attempt.keepers)):
                del self.tries[attempt.id]
                self._lose(attempt.id, attempt.owner)
            elif attempt.reason in ("claim", "find") and attempt.owner in self.alive:
                attempt.stage, attempt.next_ms, attempt.sent_ms = Stage.HAND, now, now
                self._step(now, attempt)
            else:
                attempt.next_ms = now + max(min(x.left_ms for x in leases), 1.0)
        elif claimed and all(x.why is not Why.ROSTER for x in refusals):
            self._begin(now, attempt)  # it is not new: ask what it is

    # Records whose owner is gone

    def _look_for_orphans(self, now: float) -> None:
        if now - self._looked_ms >= LOOK_MS and self.rosters.active and not self.leaving:
            self._looked_ms = now
            for owner, ids in self.keeper.of_owner.items():
                if owner not in self.alive:
                    for id in ids:
                        self._queue(now, id, owner)
        begun = 0
        while self._orphans and begun < ORPHANS_TICK and self._orphans.peekitem(0)[0][0] <= now:
            (_, id), _ = self._orphans.popitem(0)
            self._queued.discard(id)
            work = self.look(id)
            if (
                work is None
                or register.owned(work) in (*self.alive, "")
                or id in self.tries
                or len(self.tries) >= TRIES_MOST // 2
            ):
                continue
            begun += 1
            self._try(now, Try(id, "orphan", work, now + ORPHAN_MS, now + ORPHAN_MS, [], False))

    def _queue(self, now: float, id: str, owner: str) -> None:
        slot: Slot = self.keeper.slots[id]
        if id in self._queued or id in self.tries or not register.owned(slot.work):
            return
        here = [x for x in self.keepers(id) if x in self.alive]
        if self.who not in here:
            return
        first = placement.successor(id, here, self.room) == self.who
        due = max(now, self.keeper.leases.get(owner, now)) + (0.0 if first else BACKUP_MS)
        self._queued.add(id)
        self._orphans[due, id] = None

    def _unqueue(self, id: str) -> None:
        """Whoever comes for it goes first; what is left in the queue finds nothing to do."""
        self._queued.discard(id)
