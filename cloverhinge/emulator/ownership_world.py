"""Ownership on the simulated network, with simplified viewers and media servers, and checks of guarantees.

Media servers establish set-ups after a delay and record who sent them.  A viewer is one claim at a router; it
retries at another router where it got no answer.  The checks hold for every schedule of kills, pauses, cuts
and losses.
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

SET_UP_MS = 80.0  # from the first byte of a set-up to its answer
CONNECT_MS = 5.0  # between the prepared record and the first byte
CLIENT_WAIT_MS = 3000.0  # how long a viewer waits
MAX_ANSWER_DELAY_MS = 250.0  # bounds how long an answer waits for the replicas


@dataclass
class Session:
    """What the media servers know of one session."""

    sent: list[tuple[float, str]] = field(default_factory=list)  # time, and member id of the sender
    established: bool = False
    released: list[str] = field(default_factory=list)


@dataclass
class Fetch:
    """One request of a viewer at a router; `answer` is empty until it has been answered."""

    id: str
    router: str
    asked_ms: float
    answer: str = ""  # 200, failed, refused
    answered_ms: float = 0.0


class OwnershipRouter(Router):
    """A router with ownership; `sessions` is the state of its front by session id."""

    world: OwnershipWorld
    ownership: OwnershipCore

    def start(self) -> None:
        super().start()
        self.sessions: dict[str, str] = {}  # by id: open or stands
        self.claims: dict[int, Fetch] = {}
        self.last_claim = 0
        self.known_members: tuple[object, ...] = ()
        own = Member(self.name, self.members.run, self.site)
        rules = replace(self.world.ownership_rules, routers=self.world.count)
        persistence = None
        if self.world.stores:
            self.disk = self.world.disks.setdefault(self.name, Disk(self.world.net.random))
            persistence = ReplicaPersistence.from_folder(own, *self.disk.open(), self.disk.rows)
        self.ownership = OwnershipCore(own, rules, self.members.run, persistence)
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

        def durable() -> None:
            # A commit completes even while the process is paused.
            if process.alive and disk.commit() is not None:
                number, mark = rows.number, disk.mark
                process.run(lambda: self.perform_ownership(self.ownership.on_durable(self.now, number, mark)))

        self.world.net.schedule(disk.write(self.now, rows) - self.now, durable)

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
        """Sends the request of a viewer to this router."""
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
                if fetch.id in self.sessions:  # in progress for an earlier fetch; both get the same answer
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
        """Sends the set-up once connected, after the last check of ownership before the first byte."""
        if self.sessions.get(id) != "open" or not self.ownership.may_act(id, self.now):
            if self.sessions.get(id) == "open":
                del self.sessions[id]
            self._answer_all(id, "refused")
            return
        session = self.world.session(id)
        session.sent.append((self.now, self.ownership.own_id))
        # The server establishes it whatever happens to the router, which may read the answer late.
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
    """`count` routers that replicate each other's sessions; with `stores` each has a simulated store."""

    ownership_rules: Rules = field(default_factory=Rules)
    stores: bool = False
    disks: dict[str, Disk] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)
    fetches: list[Fetch] = field(default_factory=list)
    waiting: dict[tuple[str, str], list[Fetch]] = field(default_factory=dict)

    def make_router(self, name: str, site: str, address: Address, join: tuple[Address, ...]) -> Router:
        router = OwnershipRouter(self, name, site, address, join)
        router.process.alive = False  # until `start`
        return router

    @property
    def ownership_routers(self) -> list[OwnershipRouter]:
        """All routers, by their type here."""
        return [x for x in self.routers if isinstance(x, OwnershipRouter)]

    def answer(self, fetch: Fetch, answer: str) -> None:
        """Records the answer to a viewer."""
        fetch.answer, fetch.answered_ms = answer, self.net.now

    def session(self, id: str) -> Session:
        """The session of this id, created where there is none yet."""
        return self.sessions.setdefault(id, Session())

    @property
    def replica_set_agreed(self) -> bool:
        """Whether all running routers hold one replica set of exactly them, and vote in it."""
        running = [x for x in self.ownership_routers if x.running]
        replica_sets = [x.ownership.replica_sets for x in running]
        runs = sorted(x.ownership.own_id for x in running)
        return all(
            x.current is not None
            and x.active
            and [m.member_id for m in x.current.members] == runs
            and x.current == replica_sets[0].current
            for x in replica_sets
        )

    def run_until_replica_set_agreed(self, max_ms: float = 20_000.0) -> float:
        """Runs until `replica_set_agreed` and returns the time in ms; AssertionError after `max_ms`."""
        started_ms = self.net.now
        while not self.replica_set_agreed:
            if self.net.now - started_ms > max_ms:
                raise AssertionError(
                    "\n".join(
                        f"{x.name}: {x.ownership.replica_sets.current} "
                        f"{x.ownership.replica_sets.active} {x.log_lines[-3:]}"
                        for x in self.ownership_routers
                        if x.running
                    )
                )
            self.net.run(25.0)
        return self.net.now - started_ms

    def owners(self, id: str) -> list[str]:
        """Names of the running routers that serve this session."""
        return [x.name for x in self.ownership_routers if x.running and x.sessions.get(id) == "stands"]

    def violations(self) -> list[str]:
        """Violated guarantees of paid sessions so far: set up at most once, and not served once failed."""
        found = []
        for id, session in self.sessions.items():
            if len(session.sent) > 1:
                found.append(f"{id} was set up {len(session.sent)} times: {session.sent}")
        failed: dict[str, float] = {}
        served: set[tuple[str, str]] = set()  # a router that served it may not know of its end yet
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
        """Sessions established at a media server that do not have exactly one running owner."""
        return [
            f"{id}: {self.owners(id)}"
            for id, session in self.sessions.items()
            if session.established and len(self.owners(id)) != 1
        ]


def random_fault_run(seed: int, span_ms: float = 60_000.0, stores: bool = False) -> OwnershipWorld:
    """Runs random kills, pauses, cuts and losses; at the end all routers run and hold one replica set.

    The faults stay within what ownership tolerates.  Without stores fewer than half of the routers are killed
    between two replica sets that all hold.  With stores any number are killed, and fewer than half of the
    stores are lost or replaced by an older copy of themselves.
    """
    rng = random.Random(seed)
    count = rng.choice((3, 5, 5, 7))
    world = OwnershipWorld(count, seed, sites=rng.choice((1, 2, 3)), stores=stores)
    world.start(3000.0)
    world.run_until_replica_set_agreed()
    net, until, max_lost = world.net, world.net.now + span_ms, (count - 1) // 2
    resume_at: dict[int, float] = {}
    restart_at: dict[int, float] = {}
    routers_lost = plays = stores_lost = 0
    copies: dict[int, Disk] = {}
    while net.now < until:
        net.run(rng.expovariate(1 / 150.0))
        for at in [x for x, when in resume_at.items() if net.now >= when]:
            net.resume(world.routers[at].process)
            del resume_at[at]
        for at in [x for x, when in restart_at.items() if net.now >= when]:
            world.routers[at].start()
            del restart_at[at]
        running = [x for x in range(count) if x not in restart_at and x not in resume_at]
        choice = rng.random()
        if choice < 0.60 and running:
            known_play = plays > 0 and rng.random() < 0.5
            play = rng.randrange(max(0, plays - 40), plays) if known_play else plays
            plays = max(plays, play + 1)
            world.ownership_routers[rng.choice(running)].fetch(f"p{play}")
        elif choice < 0.63 and running and stores:
            for at in rng.sample(running, min(len(running), rng.choice((1, 1, 2, count)))):
                world.routers[at].kill()
                restart_at[at] = net.now + rng.choice(
                    (rng.uniform(200.0, 3000.0), rng.uniform(200.0, 15_000.0))
                )
        elif (
            choice < 0.64
            and stores
            and (stores_lost < max_lost or len(running) == count and world.replica_set_agreed)
        ):
            stores_lost = 1 if len(running) == count and world.replica_set_agreed else stores_lost + 1
            at = rng.randrange(count)
            name = world.routers[at].name
            if at in restart_at:
                empty = Disk(net.random)
                world.disks[name] = copies.get(at, empty) if rng.random() < 0.5 else empty
            else:
                copies[at] = world.disks[name].copy()
        elif (
            choice < 0.63
            and running
            and len(restart_at) < max_lost
            and (routers_lost < max_lost or len(running) == count and world.replica_set_agreed)
        ):
            routers_lost = 1 if len(running) == count and world.replica_set_agreed else routers_lost + 1
            at = rng.choice(running)
            world.routers[at].kill()
            restart_at[at] = net.now + rng.uniform(200.0, 15_000.0)
        elif choice < 0.68 and running:
            at = rng.choice(running)
            net.pause(world.routers[at].process)
            resume_at[at] = net.now + rng.choice((rng.uniform(50.0, 2000.0), rng.uniform(2000.0, 10_000.0)))
        elif choice < 0.72:
            some = rng.sample(world.routers, rng.randint(1, count // 2))
            net.cut(
                [x.address for x in some],
                [x.address for x in world.routers if x not in some],
                both=rng.random() < 0.5,
            )
        elif choice < 0.75:
            net.heal()
        elif choice < 0.77:
            net.default_conditions = LinkConditions(loss=rng.choice((0.0, 0.1, 0.3)), twice=0.1, late=0.1)
    net.heal()
    net.default_conditions = LinkConditions()
    for at in resume_at:
        net.resume(world.routers[at].process)
    for at in restart_at:
        world.routers[at].start()
    world.run_until_replica_set_agreed(30_000.0)
    net.run(12_000.0)
    return world
