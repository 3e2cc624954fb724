"""Histories of one kind of fault under steady fetches, on the modelled network, and what is left unserved."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from cloverhinge.emulator.ownership_world import OwnershipRouter, OwnershipWorld

START_MS = 3000.0
PLAYS = 60
FETCH_INTERVAL_MS = 15.0  # mean time between two fetches
CALM_MS = 10_000.0  # after the fault: leases last 1.5 s
QUIET_MS = 1000.0  # without fetches, so that no hand-over is under way
ANSWER_MS = 6000.0  # for the last fetches; viewers wait half as long
PARTITION_MS = 6000.0
DOWN_MS = 7000.0  # of a killed router
PAUSES_MS = (2000.0, 5000.0)
STARTING_MS = 700.0  # between the end of a router's process and the start of the next one
HAND_OVER_MS = 3000.0  # a router that is told to end waits for its hand-overs so long
VOTE_MS = 15_000.0  # for a started router to vote
SETTLE_MS = 5000.0  # between two planned restarts


class Fault(Enum):
    """The fault of a history."""

    PARTITION = "partition"  # the first router is cut off from all others, and back
    KILL = "kill"  # the first router is killed, and started later without its state
    PAUSE = "pause"  # the first router is stopped for a while
    RESTART = "restart"  # each router in turn is told to end, and started anew


@dataclass(frozen=True)
class Scenario:
    """A fault and the routers under it; with `one_down` the last router is killed at the beginning."""

    fault: Fault
    routers: int
    one_down: bool = False


class FaultHistory:
    """One history: fetches of paid plays at random running routers, while the scenario's fault happens."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.random = scenario, random.Random(seed)
        self.world = OwnershipWorld(scenario.routers, seed)
        self.used = self.world.ownership_routers

    def run(self) -> None:
        """Play the history to the end of the calm after the fault."""
        self.world.start(START_MS)
        self.world.run_until_replica_set_agreed()
        if self.scenario.one_down:
            self.used = self.used[:-1]
            self.world.ownership_routers[-1].kill()
            self.world.net.run(SETTLE_MS)
        self._fetch_for(SETTLE_MS / 2, self.used)
        faults: dict[Fault, Callable[[], None]] = {
            Fault.PARTITION: self._partition,
            Fault.KILL: self._kill,
            Fault.PAUSE: self._pause,
            Fault.RESTART: self._restart_all,
        }
        faults[self.scenario.fault]()
        self._fetch_for(CALM_MS, self.used)
        self.world.net.run(QUIET_MS)

    def faults_found(self) -> list[str]:
        """Violated guarantees, established plays without exactly one owner, and plays that nobody serves."""
        found = self.world.violations() + [f"owners of {x}" for x in self.world.unowned()]
        last = {f"p{n}": [x.fetch(f"p{n}") for x in self.used] for n in range(PLAYS)}
        self.world.net.run(ANSWER_MS)
        for id, fetches in last.items():
            answers = [x.answer for x in fetches]
            if self.world.session(id).established and "200" not in answers:
                found.append(f"{id} is established, and was answered {answers}")
        return found

    def _fetch_for(self, ms: float, routers: Sequence[OwnershipRouter]) -> None:
        until = self.world.net.now + ms
        while self.world.net.now < until:
            self.world.net.run(self.random.expovariate(1 / FETCH_INTERVAL_MS))
            router = self.random.choice(routers)
            if router.running:
                router.fetch(f"p{self.random.randrange(PLAYS)}")

    def _partition(self) -> None:
        first, *others = self.world.routers
        self.world.net.cut([first.address], [x.address for x in others], both=True)
        self._fetch_for(PARTITION_MS, self.used)
        self.world.net.heal()

    def _kill(self) -> None:
        self.used[0].kill()
        self._fetch_for(DOWN_MS, self.used)
        self.used[0].start()

    def _pause(self) -> None:
        self.world.net.pause(self.used[0].process)
        self._fetch_for(self.random.choice(PAUSES_MS), self.used[1:])
        self.world.net.resume(self.used[0].process)

    def _restart_all(self) -> None:
        for router in self.used:
            others = [x for x in self.used if x is not router]
            router.perform_ownership(router.ownership.leave(self.world.net.now))
            self._fetch_until(lambda router=router: router.ownership.idle, HAND_OVER_MS, others)  # type: ignore[misc]
            router.kill()
            self._fetch_for(STARTING_MS, others)
            router.start()
            self._fetch_until(
                lambda router=router: router.ownership.replica_sets.active,  # type: ignore[misc]
                VOTE_MS,
                self.used,
            )
            self._fetch_for(SETTLE_MS, self.used)

    def _fetch_until(
        self, condition: Callable[[], bool], max_ms: float, routers: Sequence[OwnershipRouter]
    ) -> None:
        until = self.world.net.now + max_ms
        while not condition() and self.world.net.now < until:
            self._fetch_for(2 * FETCH_INTERVAL_MS, routers)
