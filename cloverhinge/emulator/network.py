"""Processes and the messages between them in virtual time: delay, loss, cuts, pauses, crashes, restarts.

One heap of events from one seed: the same seed gives the same run.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """One direction between two processes.  Shares are of messages, times in ms."""

    delay_ms: float = 0.2
    jitter_ms: float = 0.2
    loss: float = 0.0
    twice: float = 0.0  # share that comes twice
    late: float = 0.0  # share that comes up to `late_ms` later, so behind others
    late_ms: float = 500.0
    cut: bool = False


class Process:
    """What runs at an address.  While paused, all that comes to it waits, its timers too."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.alive, self.paused = True, False
        self.queued: list[Callable[[], None]] = []

    def run(self, call: Callable[[], None]) -> None:
        if self.alive:
            if self.paused:
                self.queued.append(call)
            else:
                call()


class Network:
    MAX_QUEUED_EVENTS = 4096  # events kept for a process that is paused: a socket's buffer is no larger

    def __init__(self, seed: int, conditions: LinkConditions | None = None) -> None:
        self.random = random.Random(seed)
        self.now = 1_000_000.0
        self.default_conditions = conditions or LinkConditions()
        self.conditions: dict[tuple[Address, Address], LinkConditions] = {}
        self.processes: dict[Address, Process] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.messages = 0
        self.bytes = 0

    def conditions_between(self, sender: Address, to: Address) -> LinkConditions:
        return self.conditions.get((sender, to), self.default_conditions)

    def change(self, sender: Address, to: Address, **changed: Any) -> None:
        self.conditions[sender, to] = replace(self.conditions_between(sender, to), **changed)

    def cut(self, some: list[Address], others: list[Address], both: bool = True) -> None:
        for one in some:
            for other in others:
                self.change(one, other, cut=True)
                if both:
                    self.change(other, one, cut=True)

    def heal(self) -> None:
        self.conditions.clear()

    def schedule(self, ms: float, call: Callable[[], None]) -> None:
        """In `ms` from now."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + ms, self._count, call))

    def timer(self, process: Process, ms: float, call: Callable[[], None]) -> None:
        self.schedule(ms, lambda: process.run(call))

    def send(
        self, sender: Address, to: Address, size: int, deliver: Callable[[], None], reliable: bool = False
    ) -> bool:
        """Whether anything is on its way.  Over a connection nothing is lost, but a cut stops it."""
        way = self.conditions_between(sender, to)
        self.messages += 1
        self.bytes += size
        if way.cut or not reliable and self.random.random() < way.loss:
            return False
        times = 2 if not reliable and self.random.random() < way.twice else 1
        for _ in range(times):
            delay = way.delay_ms + self.random.random() * way.jitter_ms
            if reliable and way.loss:  # the kernel sends again, after 200 ms at first (RFC 6298)
                while self.random.random() < way.loss and delay < 10_000.0:
                    delay += 200.0 + delay
            elif self.random.random() < way.late:
                delay += self.random.random() * way.late_ms
            self.schedule(delay, lambda: self._arrive(to, deliver))
        return True

    def _arrive(self, to: Address, deliver: Callable[[], None]) -> None:
        process = self.processes.get(to)
        if process is not None and (not process.paused or len(process.queued) < self.MAX_QUEUED_EVENTS):
            process.run(deliver)

    def pause(self, process: Process) -> None:
        process.paused = True

    def resume(self, process: Process) -> None:
        process.paused = False
        waiting, process.queued = process.queued, []
        for call in waiting:
            process.run(call)

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until
