"""Custody on the modelled network: routers with viewers and boxes in outline, and the promises checked.

Boxes take set-ups after a delay and note who sent them; a viewer is a claim at one router, and comes again at
another where it heard nothing.  What is checked holds for every schedule of kills, pauses, cuts and losses.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from cloverhinge.emulator.disks import Disk
from cloverhinge.emulator.network import Address, LinkConditions
from cloverhinge.emulator.routers import Router, World
from cloverhinge.members import core
from cloverhinge.members.wire import State
from cloverhinge.ownership.core import TICK_MS, OwnershipCore
from cloverhinge.ownership.model import (
    Acquired,
    Action,
    Answer,
    LogMessage,
    OwnershipLost,
    Replicated,
    Rules,
    Verdict,
)
from cloverhinge.ownership.model import Send as SendTo
from cloverhinge.ownership.persistence import Persist, ReplicaPersistence
from cloverhinge.ownership.register import Phase
from cloverhinge.ownership.wire import Member

SET_UP_MS = 80.0  # from a set-up's first byte to its answer
CONNECT_MS = 5.0  # between the intent and the first byte
CLIENT_WAIT_MS = 3000.0  # that a viewer waits
MAX_ANSWER_DELAY_MS = 250.0  # that an answer waits for the keepers at the most


@dataclass
class Session:
    """What the boxes know of one piece of work."""

    sent: list[tuple[float, str]] = field(default_factory=list)  # when, and by which router's run
    established: bool = False
    released: list[str] = field(default_factory=list)


@dataclass
class Fetch:
    id: str
    router: str
    asked_ms: float
    answer: str = ""  # 200, failed, refused
    answered_ms: float = 0.0


class OwnershipRouter(Router):
    """A router with custody; `session` is what its front holds."""

    world: OwnershipWorld
    ownership: OwnershipCore

    def start(self) -> None:
        super().start()
        self.sessions: dict[str, str] = {}  # id to open or stands
        self.claims: dict[int, Fetch] = {}
        self.last_claim = 0
        self.known_members: tuple[object, ...] = ()
        own = Member(self.name, self.members.run, self.site)
        rules = replace(self.world.ownership_rules, routers=self.world.count)
        recall = None
        if self.world.stores:
            self.disk = self.world.disks.setdefault(self.name, Disk(self.world.net.random))
            recall = ReplicaPersistence.from_folder(own, *self.disk.open(), self.disk.rows)
        self.ownership = OwnershipCore(own, rules, self.members.run, recall)
        self.world.net.timer(self.process, self.world.net.random.uniform(0.0, TICK_MS), self._tick_ownership)

    def kill(self) -> None:
        super().kill()
        if self.world.stores:
            self.disk.crash()

    @property
    def now(self) -> float:
        return self.world.net.now

    def _write(self, rows: Persist) -> None:
        process, disk = self.process, self.disk

        def safe() -> None:
            if process.alive and disk.commit() is not None:  # the disk goes on while the process is paused
                number, mark = rows.number, disk.mark
                process.run(lambda: self.perform_ownership(self.ownership.on_durable(self.now, number, mark)))

        self.world.net.schedule(disk.write(self.now, rows) - self.now, safe)

    def _tick_ownership(self) -> None:
        records = self.members.table.records
        alive = {
            Member(x.name, x.run, x.site): x.incarnation for x in records.values() if x.state is State.ALIVE
        }
        if self.members.joined and (alive, self.members.had_earlier_run) != self.known_members:
            self.known_members = alive, self.members.had_earlier_run
            self.ownership.update_members(alive, self.members.had_earlier_run, {})
        self.perform_ownership(self.ownership.tick(self.now))
        self.world.net.timer(self.process, TICK_MS, self._tick_ownership)

    def receive_component_message(self, message: core.ComponentMessageReceived) -> None:
        record = self.members.table.records.get(message.name)
        site = "" if record is None else record.site
        self.perform_ownership(
            self.ownership.receive(self.now, Member(message.name, message.run, site), message.body)
        )

    def fetch(self, id: str, paid: bool = True) -> Fetch:
        """A viewer comes here."""
        fetch = Fetch(id, self.name, self.now)
        self.world.fetches.append(fetch)
        self.process.run(lambda: self._fetch(fetch, paid))
        return fetch

    def _fetch(self, fetch: Fetch, paid: bool) -> None:
        if self.sessions.get(fetch.id) == "stands":
            self.world.answer(fetch, "200")
            return
        self.last_claim += 1
        self.claims[self.last_claim] = fetch
        self.perform_ownership(
            self.ownership.claim(
                self.now,
                self.last_claim,
                fetch.id,
                paid,
                b"",
                self.now + CLIENT_WAIT_MS,
                self.now + CLIENT_WAIT_MS,
            )
        )

    def perform_ownership(self, actions: list[Action]) -> None:
        world = self.world
        for action in actions:
            match action:
                case SendTo(to, body):
                    self.perform(
                        self.members.send_component_message(self.now, to.name, to.run, "custody", body)
                    )
                case Answer(number, verdict, _):
                    self._answer(self.claims.pop(number), verdict)
                case Acquired(id, work, _):
                    if work.phase is Phase.STANDS:
                        self.sessions[id] = "stands"
                    if work.phase is Phase.DOOMED:
                        world.session(id).released.append(self.ownership.own_id)
                        world.session(id).established = False
                case OwnershipLost(id, _, over):
                    if self.sessions.pop(id, None) == "stands" and over:
                        world.session(id).released.append(self.ownership.own_id)
                        world.session(id).established = False
                    self._answer_all(id, "refused")
                case Replicated(id, Phase.STANDS):
                    self._answer_all(id, "200")
                case Persist():
                    self._write(action)
                case LogMessage(text):
                    self.log_lines.append(text)

    def _answer(self, fetch: Fetch, verdict: Verdict) -> None:
        match verdict:
            case Verdict.NEW:
                if fetch.id in self.sessions:  # under way for an earlier fetch: it waits with that one
                    self.world.waiting.setdefault((self.ownership.own_id, fetch.id), []).append(fetch)
                else:
                    self.sessions[fetch.id] = "open"
                    self.world.waiting[self.ownership.own_id, fetch.id] = [fetch]
                    self.world.net.timer(self.process, CONNECT_MS, lambda: self._send(fetch.id))
            case Verdict.TAKEN_OVER:
                self.world.answer(fetch, "200")
            case Verdict.FINAL:
                self.world.answer(fetch, "failed")
            case _:
                self.world.answer(fetch, "refused")

    def _send(self, id: str) -> None:
        """The connection to the box stands: the last look before the first byte."""
        if self.sessions.get(id) != "open" or not self.ownership.may_act(id, self.now):
            if self.sessions.get(id) == "open":
                del self.sessions[id]
            self._answer_all(id, "refused")
            return
        session = self.world.session(id)
        session.sent.append((self.now, self.ownership.own_id))
        # The box takes it whatever becomes of the router, which may hear of it late.
        self.world.net.schedule(SET_UP_MS / 2, lambda: setattr(session, "established", not session.released))
        self.world.net.timer(self.process, SET_UP_MS, lambda: self._established(id))

    def _established(self, id: str) -> None:
        if self.sessions.get(id) != "open":
            return
        if not self.ownership.may_act(id, self.now):
            self.world.net.timer(self.process, TICK_MS, lambda: self._established(id))
            return
        self.sessions[id] = "stands"
        self.perform_ownership(self.ownership.update(self.now, id, Phase.STANDS, b""))
        self.world.net.timer(self.process, MAX_ANSWER_DELAY_MS, lambda: self._answer_all(id, "200"))

    def _answer_all(self, id: str, answer: str) -> None:
        for fetch in self.world.waiting.pop((self.ownership.own_id, id), []):
            self.world.answer(fetch, answer)


@dataclass
class OwnershipWorld(World):
    """`count` routers that keep each other's work."""

    ownership_rules: Rules = field(default_factory=Rules)
    stores: bool = False
    disks: dict[str, Disk] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)
    fetches: list[Fetch] = field(default_factory=list)
    waiting: dict[tuple[str, str], list[Fetch]] = field(default_factory=dict)

    def make_router(self, name: str, site: str, address: Address, join: tuple[Address, ...]) -> Router:
        router = OwnershipRouter(self, name, site, address, join)
        router.process.alive = False  # until it is started
        return router

    @property
    def ownership_routers(self) -> list[OwnershipRouter]:
        return [x for x in self.routers if isinstance(x, OwnershipRouter)]

    def answer(self, fetch: Fetch, answer: str) -> None:
        fetch.answer, fetch.answered_ms = answer, self.net.now

    def session(self, id: str) -> Session:
        return self.sessions.setdefault(id, Session())

    @property
    def replica_set_agreed(self) -> bool:
        """All that run hold one roster of just them, and vote."""
        here = [x for x in self.ownership_routers if x.running]
        rosters = [x.ownership.replica_sets for x in here]
        runs = sorted(x.ownership.own_id for x in here)
        return all(
            x.current is not None
            and x.active
            and [m.member_id for m in x.current.members] == runs
            and x.current == rosters[0].current
            for x in rosters
        )

    def run_until_replica_set_agreed(self, max_ms: float = 20_000.0) -> float:
        begun = self.net.now
        while not self.replica_set_agreed:
            if self.net.now - begun > max_ms:
                raise AssertionError(
                    "\n".join(
                        f"{x.name}: {x.ownership.replica_sets.current} "
                        f"{x.ownership.replica_sets.active} {x.log_lines[-3:]}"
                        for x in self.ownership_routers
                        if x.running
                    )
                )
            self.net.run(25.0)
        return self.net.now - begun

    def owners(self, id: str) -> list[str]:
        return [x.name for x in self.ownership_routers if x.running and x.sessions.get(id) == "stands"]

    def violations(self) -> list[str]:
        """Promises on paid work that do not hold, for the record so far."""
        found = []
        for id, session in self.sessions.items():
            if len(session.sent) > 1:
                found.append(f"{id} was set up {len(session.sent)} times: {session.sent}")
        failed: dict[str, float] = {}
        served: set[tuple[str, str]] = set()  # a router that served it before may not know yet
        for fetch in sorted(self.fetches, key=lambda x: x.answered_ms):
            if fetch.answer == "failed":
                failed.setdefault(fetch.id, fetch.answered_ms)
            elif (
                fetch.answer == "200"
                and fetch.asked_ms > failed.get(fetch.id, 1e18)
                and (fetch.id, fetch.router) not in served
            ):
                found.append(
                    f"{fetch.id} had failed at {failed[fetch.id]:.0f} and was served to a viewer "
                    f"who came at {fetch.asked_ms:.0f}"
                )
            elif fetch.answer == "200" and not self.session(fetch.id).sent:
                found.append(f"{fetch.id} was answered and never set up")
            if fetch.answer == "200":
                served.add((fetch.id, fetch.router))
        return found

    def unowned(self) -> list[str]:
        """Sessions that stand at a box and have no owner, or two, among those that run."""
        return [
            f"{id}: {self.owners(id)}"
            for id, session in self.sessions.items()
            if session.established and len(self.owners(id)) != 1
        ]


def random_fault_run(seed: int, span_ms: float = 60_000.0, stores: bool = False) -> OwnershipWorld:
    """A run under random kills, pauses, cuts and losses, ended whole: all run, and hold one roster.

    Within what is promised: fewer than half of the routers are lost between two rosters that all hold.  With
    stores any number are killed, and fewer than half of the stores are lost, or put back as they once were.
    """
    draw = random.Random(seed)
    count = draw.choice((3, 5, 5, 7))
    world = OwnershipWorld(count, seed, sites=draw.choice((1, 2, 3)), stores=stores)
    world.start(3000.0)
    world.run_until_replica_set_agreed()
    net, until, most = world.net, world.net.now + span_ms, (count - 1) // 2
    paused: dict[int, float] = {}
    dead: dict[int, float] = {}
    lost = plays = voided = 0
    copies: dict[int, Disk] = {}
    while net.now < until:
        net.run(draw.expovariate(1 / 150.0))
        for at in [x for x, when in paused.items() if net.now >= when]:
            net.resume(world.routers[at].process)
            del paused[at]
        for at in [x for x, when in dead.items() if net.now >= when]:
            world.routers[at].start()
            del dead[at]
        here = [x for x in range(count) if x not in dead and x not in paused]
        dice = draw.random()
        if dice < 0.60 and here:
            again = plays > 0 and draw.random() < 0.5
            play = draw.randrange(max(0, plays - 40), plays) if again else plays
            plays = max(plays, play + 1)
            world.ownership_routers[draw.choice(here)].fetch(f"p{play}")
        elif dice < 0.63 and here and stores:
            for at in draw.sample(here, min(len(here), draw.choice((1, 1, 2, count)))):
                world.routers[at].kill()
                dead[at] = net.now + draw.choice((draw.uniform(200.0, 3000.0), draw.uniform(200.0, 15_000.0)))
        elif dice < 0.64 and stores and (voided < most or len(here) == count and world.replica_set_agreed):
            voided = 1 if len(here) == count and world.replica_set_agreed else voided + 1
            at = draw.randrange(count)
            name = world.routers[at].name
            if at in dead:
                empty = Disk(net.random)
                world.disks[name] = copies.get(at, empty) if draw.random() < 0.5 else empty
            else:
                copies[at] = world.disks[name].copy()
        elif (
            dice < 0.63
            and here
            and len(dead) < most
            and (lost < most or len(here) == count and world.replica_set_agreed)
        ):
            lost = 1 if len(here) == count and world.replica_set_agreed else lost + 1
            at = draw.choice(here)
            world.routers[at].kill()
            dead[at] = net.now + draw.uniform(200.0, 15_000.0)
        elif dice < 0.68 and here:
            at = draw.choice(here)
            net.pause(world.routers[at].process)
            paused[at] = net.now + draw.choice((draw.uniform(50.0, 2000.0), draw.uniform(2000.0, 10_000.0)))
        elif dice < 0.72:
            some = draw.sample(world.routers, draw.randint(1, count // 2))
            net.cut(
                [x.address for x in some],
                [x.address for x in world.routers if x not in some],
                both=draw.random() < 0.5,
            )
        elif dice < 0.75:
            net.heal()
        elif dice < 0.77:
            net.default_conditions = LinkConditions(loss=draw.choice((0.0, 0.1, 0.3)), twice=0.1, late=0.1)
    net.heal()
    net.default_conditions = LinkConditions()
    for at in paused:
        net.resume(world.routers[at].process)
    for at in dead:
        world.routers[at].start()
    world.run_until_replica_set_agreed(30_000.0)
    net.run(12_000.0)
    return world
