"""Ways of failure detection weighed on the same seeds in virtual time, from published descriptions alone.

    python -m benchmarks.members_ways

SWIM (Das, Gupta, Motivala 2002) with suspicion and indirect probes; the same with Lifeguard's local health
(Dadgar, Phillips, Currey 2018); phi-accrual over all-to-all heartbeats (Hayashibara and others 2004); a
multi-observer cut as Rapid has it (Suresh and others 2018), with its consensus on the next view; and what
members/ does.  All ask every 400 ms.  The models carry no facts and no bytes: messages are counted.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from benchmarks.tables import keep
from cloverhinge.emulator.network import LinkConditions, Network, Process
from cloverhinge.emulator.routers import World
from cloverhinge.members.watch import watch_relations

PERIOD_MS = 400.0
TICK_MS = 100.0
Rows = list[dict[str, object]]


class Node:
    """One member of a model: all start knowing all."""

    def __init__(self, model: Model, number: int) -> None:
        self.model, self.number = model, number
        self.address = (f"127.2.{number // 250}.{number % 250 + 1}", 7)
        self.process = model.net.processes[self.address] = Process(self.address)
        self.random = random.Random(model.seed * 1000 + number)
        self.incarnation = 0
        self.gone: set[int] = set()  # those that it holds for dead
        self.told: dict[tuple[str, int, int], int] = {}  # news, and how often they were passed on
        self.seen: set[tuple[str, int, int]] = set()
        model.net.timer(self.process, self.random.random() * PERIOD_MS, self.tick)

    @property
    def now(self) -> float:
        return self.model.net.now

    def others(self) -> list[int]:
        return [x for x in self.model.numbers if x != self.number and x not in self.gone]

    def send(self, to: int, call: Callable[..., None], *told: Any) -> None:
        """`call` is a method of the class; news ride along."""
        other, news = self.model.nodes[to], self.take()

        def arrive() -> None:
            for one in news:
                other.hear(one)
            call(other, *told)

        self.model.net.send(self.address, other.address, 60 + 12 * len(news), arrive)

    def take(self) -> list[tuple[str, int, int]]:
        most = 3 * max(1, len(self.model.numbers).bit_length())
        chosen = sorted(self.told, key=lambda x: self.told[x])[:8]
        for one in chosen:
            self.told[one] += 1
            if self.told[one] >= most:
                del self.told[one]
        return chosen

    def tell(self, what: str, about: int, incarnation: int) -> None:
        self.hear((what, about, incarnation))

    def hear(self, news: tuple[str, int, int]) -> None:
        if news not in self.seen:
            self.seen.add(news)
            self.told[news] = 0
            self.learn(*news)

    def learn(self, what: str, about: int, incarnation: int) -> None:
        raise NotImplementedError

    def tick(self) -> None:
        raise NotImplementedError

    def out(self, number: int) -> None:
        if number not in self.gone:
            self.gone.add(number)
            self.model.removals.append((self.now, self.number, number))

    def back(self, number: int) -> None:
        if number in self.gone:
            self.gone.discard(number)
            self.model.returns.append((self.now, self.number, number))


class Swim(Node):
    """Round-robin probes, three helpers, suspicion for 4 log10(n) periods; refuted by an incarnation."""

    def __init__(self, model: Model, number: int) -> None:
        super().__init__(model, number)
        self.order: list[int] = []
        self.waiting: dict[int, float] = {}  # who was asked, and when
        self.suspects: dict[int, tuple[int, float, set[int]]] = {}
        self.lives: dict[int, int] = {}  # the highest incarnation heard of each
        self.health = 0

    @property
    def slow(self) -> float:
        return 1.0

    def tick(self) -> None:
        self.model.net.timer(self.process, PERIOD_MS * self.slow, self.tick)
        for number in [x for x in self.waiting if self.now - self.waiting[x] >= 0.9 * PERIOD_MS * self.slow]:
            del self.waiting[number]
            self.missed(number)
        for number, (incarnation, since, by) in list(self.suspects.items()):
            if self.now - since >= self.patience(len(by)):
                del self.suspects[number]
                self.tell("dead", number, incarnation)
        if not self.order:
            self.order = self.others()
            self.random.shuffle(self.order)
        if self.order:
            number = self.order.pop()
            self.waiting[number] = self.now
            self.send(number, Swim.asked, self.number, self.number)
            wait = 0.4 * PERIOD_MS * self.slow
            self.model.net.timer(self.process, wait, lambda: self.helped(number))

    def helped(self, number: int) -> None:
        if number in self.waiting:
            near = self.others()
            for helper in self.random.sample(near, min(3, len(near))):
                if helper != number:
                    self.send(helper, Swim.relay, number, self.number)

    def relay(self, number: int, asker: int) -> None:
        self.send(number, Swim.asked, asker, self.number)

    def asked(self, asker: int, through: int) -> None:
        if asker == through:
            self.send(asker, Swim.answered, self.number)
        else:
            self.send(through, Swim.passed, self.number, asker)

    def passed(self, number: int, asker: int) -> None:
        self.send(asker, Swim.answered, number)

    def answered(self, number: int) -> None:
        if self.waiting.pop(number, None) is not None:
            self.healthy()

    def healthy(self) -> None:
        pass

    def missed(self, number: int) -> None:
        if number not in self.gone:
            self.tell("suspect", number, self.lives.get(number, 0))

    def patience(self, confirmations: int) -> float:
        return 4.0 * math.log10(max(3, len(self.model.numbers))) * PERIOD_MS

    def learn(self, what: str, about: int, incarnation: int) -> None:
        if about == self.number:
            if what != "alive" and incarnation >= self.incarnation:
                self.incarnation = incarnation + 1
                self.tell("alive", self.number, self.incarnation)
                self.accused()
        elif what != "alive" and incarnation < self.lives.get(about, 0):
            return  # it has been refuted
        elif what == "suspect" and about not in self.gone:
            self.suspects.setdefault(about, (incarnation, self.now, set()))[2].add(incarnation)
        elif what == "dead":
            self.suspects.pop(about, None)
            self.out(about)
        elif what == "alive" and incarnation > self.lives.get(about, 0):
            self.lives[about] = incarnation
            self.suspects.pop(about, None)
            self.back(about)

    def accused(self) -> None:
        pass


class Lifeguard(Swim):
    """Local health stretches its own times up to ninefold; suspicion begins six times as long."""

    @property
    def slow(self) -> float:
        return 1.0 + self.health

    def healthy(self) -> None:
        self.health = max(0, self.health - 1)

    def missed(self, number: int) -> None:
        self.health = min(8, self.health + 1)
        super().missed(number)

    def accused(self) -> None:
        self.health = min(8, self.health + 1)

    def patience(self, confirmations: int) -> float:
        least = super().patience(0)
        most = 6.0 * least
        return max(least, most - (most - least) * math.log(confirmations + 1) / math.log(4))


class Phi(Node):
    """Each hears each: a heartbeat every period, out when phi passes 8; each one decides by itself."""

    def __init__(self, model: Model, number: int) -> None:
        super().__init__(model, number)
        self.last: dict[int, float] = {}
        self.gaps: dict[int, list[float]] = {}

    def tick(self) -> None:
        self.model.net.timer(self.process, PERIOD_MS, self.tick)
        for number in self.model.numbers:
            if number != self.number:
                self.send(number, Phi.beat, self.number)
        for number, last in self.last.items():
            if self.now - last < 560.0:  # phi 8 is 5.6 spreads past the mean, and a spread is 100 ms at least
                continue
            gaps = self.gaps[number]
            mean = sum(gaps) / len(gaps) if gaps else PERIOD_MS
            spread = max(100.0, math.sqrt(sum((x - mean) ** 2 for x in gaps) / len(gaps)) if gaps else 100.0)
            later = 0.5 * math.erfc((self.now - last - mean) / spread / math.sqrt(2.0))
            if later < 1e-8:
                self.out(number)

    def beat(self, number: int) -> None:
        if number in self.last:
            self.gaps.setdefault(number, []).append(min(self.now - self.last[number], 4 * PERIOD_MS))
            del self.gaps[number][:-50]
        else:
            self.gaps[number] = []
        self.last[number] = self.now
        self.back(number)


class Cut(Node):
    """Ten observers; an alert after four of ten questions missed; nine alerts and a 3/4 quorum remove."""

    OBSERVERS, HIGH, QUORUM = 10, 0.9, 0.75

    def __init__(self, model: Model, number: int) -> None:
        super().__init__(model, number)
        self.asked_at: dict[int, float] = {}
        self.results: dict[int, list[bool]] = {}
        self.alerts: dict[int, set[int]] = {}
        self.votes: dict[int, set[int]] = {}

    def pair(self, number: int) -> tuple[frozenset[str], frozenset[str]]:
        names = tuple(f"{x:04d}" for x in self.model.numbers if x not in self.gone)
        return watch_relations(names, self.OBSERVERS).get(f"{number:04d}", (frozenset(), frozenset()))

    def tick(self) -> None:
        self.model.net.timer(self.process, PERIOD_MS, self.tick)
        for name in sorted(self.pair(self.number)[0]):
            number = int(name)
            results = self.results.setdefault(number, [])
            if number in self.asked_at:
                results.append(False)
            del results[:-10]
            if results.count(False) >= 4:
                self.tell("alert", number, self.number)
            self.asked_at[number] = self.now
            self.send(number, Cut.asked, self.number)

    def asked(self, asker: int) -> None:
        self.send(asker, Cut.answered, self.number)

    def answered(self, number: int) -> None:
        if self.asked_at.pop(number, None) is not None:
            self.results[number].append(True)

    def learn(self, what: str, about: int, by: int) -> None:
        if what == "alert":
            self.alerts.setdefault(about, set()).add(by)
            observers = {int(x) for x in self.pair(about)[1]}
            # An observer that is itself under alert counts as alerting (the paper's implicit alerts).
            heard = {x for x in observers if x in self.alerts[about] or self.alerts.get(x)}
            if observers and len(heard & observers) >= self.HIGH * len(observers):
                self.tell("vote", about, self.number)
        elif what == "vote":
            self.votes.setdefault(about, set()).add(by)
            if len(self.votes[about]) >= self.QUORUM * (len(self.model.numbers) - len(self.gone)) - 1:
                self.out(about)


class Model:
    def __init__(self, kind: type[Node], count: int, seed: int) -> None:
        self.net, self.seed = Network(seed), seed
        self.numbers = list(range(count))
        self.removals: list[tuple[float, int, int]] = []
        self.returns: list[tuple[float, int, int]] = []
        self.nodes = [kind(self, x) for x in self.numbers]

    def pause(self, number: int) -> None:
        self.net.pause(self.nodes[number].process)

    def wake(self, number: int) -> None:
        self.net.resume(self.nodes[number].process)

    def kill(self, number: int) -> None:
        self.nodes[number].process.alive = False

    def cut(self, one: int, other: int) -> None:
        self.net.change(self.nodes[one].address, self.nodes[other].address, cut=True)

    def views(self) -> int:
        return len({frozenset(x.gone) for x in self.nodes if x.process.alive})


class Ours:
    """The real core under the same acts."""

    def __init__(self, count: int, seed: int) -> None:
        self.world = World(count, seed)
        self.net = self.world.net
        self.world.start_joined()
        self.world.net.run(3000.0)
        self.world.changes.clear()

    @property
    def removals(self) -> list[tuple[float, int, int]]:
        return [(x.at_ms, int(x.observer[1:]), int(x.change.name[1:])) for x in self.world.changes_of("dead")]

    @property
    def returns(self) -> list[tuple[float, int, int]]:
        return [
            (x.at_ms, int(x.observer[1:]), int(x.change.name[1:])) for x in self.world.changes_of("returned")
        ]

    def pause(self, number: int) -> None:
        self.net.pause(self.world.routers[number].process)

    def wake(self, number: int) -> None:
        self.net.resume(self.world.routers[number].process)

    def kill(self, number: int) -> None:
        self.world.routers[number].kill()

    def cut(self, one: int, other: int) -> None:
        self.net.change(self.world.routers[one].address, self.world.routers[other].address, cut=True)

    def views(self) -> int:
        return len({x.members.view().names for x in self.world.routers if x.process.alive})


WAYS: dict[str, Callable[[int, int], Any]] = {
    "SWIM, suspicion": lambda n, seed: Model(Swim, n, seed),
    "SWIM, local health": lambda n, seed: Model(Lifeguard, n, seed),
    "all-to-all, phi 8": lambda n, seed: Model(Phi, n, seed),
    "observers' cut, quorum": lambda n, seed: Model(Cut, n, seed),
    "members/": Ours,
}


KNOWN_MS = 40_000.0  # given for all to know of a kill; after it the way counts as one that never tells all


def detected(way: str, count: int, seed: int) -> tuple[float, float]:
    """Messages a member a second when nothing happens, and the time until all know of a kill (nan: never)."""
    calm = WAYS[way](count, seed)
    calm.net.run(2000.0)
    before = calm.net.messages
    calm.net.run(4000.0)
    rate = (calm.net.messages - before) / count / 4.0
    begun, victim = calm.net.now, count // 2
    calm.kill(victim)
    while calm.net.now < begun + KNOWN_MS:
        calm.net.run(500.0)
        known = {by: at for at, by, about in calm.removals if about == victim}
        if len(known) >= count - 1:
            return rate, max(known.values()) - begun
    return rate, math.nan


def wrongly_out(way: str, count: int, seed: int, span: float) -> float:
    """Members held for dead a minute that were not, under losses and pauses; once in 5 s for each."""
    rough = WAYS[way](count, seed + 100)
    rough.net.usual = LinkConditions(loss=0.2)
    draw = random.Random(seed)
    until = rough.net.now + span
    while rough.net.now < until:
        rough.net.run(draw.expovariate(1.0 / 1000.0))
        number = draw.randrange(count)
        rough.pause(number)
        rough.net.run(draw.uniform(100.0, 2000.0))
        rough.wake(number)
    return len({(round(at / 5000.0), about) for at, _, about in rough.removals}) * 60_000.0 / span


def one_sided(way: str, count: int, seed: int, span: float) -> tuple[float, float]:
    """Removals and returns, and views at the end, when A's messages to B alone are cut."""
    sided = WAYS[way](count, seed + 200)
    sided.net.run(3000.0)
    sided.cut(0, 1)
    sided.net.run(span)
    return float(len(sided.removals) + len(sided.returns)), float(sided.views())


SPANS = {
    3: (60_000.0, 30_000.0),
    16: (60_000.0, 30_000.0),
    64: (20_000.0, 10_000.0),
    400: (10_000.0, 8_000.0),
}
SEEDS = {3: 5, 16: 5, 64: 2, 400: 1}
Task = tuple[str, str, int, int]


def played(task: Task) -> tuple[float, ...]:
    what, way, count, seed = task
    rough, sided = SPANS[count]
    if what == "detect":
        return detected(way, count, seed)
    if what == "wrong":
        return (wrongly_out(way, count, seed, rough),)
    return one_sided(way, count, seed, sided)


def main() -> None:
    tasks: list[Task] = [
        (what, way, count, seed)
        for count in sorted(SPANS, reverse=True)
        for way in WAYS
        for what in ("detect", "wrong", "sided")
        for seed in range(1, SEEDS[count] + 1)
    ]
    tasks.sort(key=lambda x: (-x[2], x[1] != "all-to-all, phi 8"))  # the longest first
    with ProcessPoolExecutor() as pool:
        seen = dict(zip(tasks, pool.map(played, tasks), strict=True))
    rows: Rows = []
    for count in SPANS:
        for way in WAYS:

            def mean(what: str, at: int = 0, way: str = way, count: int = count) -> str:
                values = [seen[what, way, count, seed][at] for seed in range(1, SEEDS[count] + 1)]
                known = [x for x in values if not math.isnan(x)]
                never = f" ({len(values) - len(known)} of {len(values)} never)" if known else ""
                return (f"{sum(known) / len(known):.4g}" if known else "never") + (
                    never if len(known) < len(values) else ""
                )

            rows.append(
                {
                    "members": count,
                    "way": way,
                    "until all know, ms": mean("detect", 1),
                    "wrongly out, a minute": mean("wrong"),
                    "flaps, one-sided cut": mean("sided"),
                    "views, one-sided cut": mean("sided", 1),
                    "messages a member a second": mean("detect"),
                }
            )
    keep(
        "members_ways",
        "Ways of membership weighed",
        [
            (
                "The same seeds in virtual time: a kill, with up to 40 s for "
                "all to know; a fifth of the messages "
                "lost with random pauses of up to 2 s (10 s of it with 400 "
                "members, 20 s with 64, 60 s below); A's "
                "messages to B cut while all else passes, for 8 s with 400, "
                "10 s with 64, 30 s below (removals and "
                "returns, counted at each member, and how many different views there were at its end).",
                rows,
            )
        ],
        "python -m benchmarks.members_ways",
    )


if __name__ == "__main__":
    main()
