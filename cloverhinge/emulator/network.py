"""Simulates processes and messages in virtual time, with delay, loss, cuts, pauses, crashes and restarts.

All events are in one heap and all random draws come from one seed, so the same seed gives the same run.
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
    """The state of one direction between two processes; shares are of messages."""

    delay_ms: float = 0.2
    jitter_ms: float = 0.2
    loss: float = 0.0  # share lost
    twice: float = 0.0  # share delivered twice
    late: float = 0.0  # share delayed by up to `late_ms` more, so that others overtake it
    late_ms: float = 500.0
    cut: bool = False


class Process:
    """The process at an address.  While it is paused, its events are queued, timers included."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.alive, self.paused = True, False
        self.queued: list[Callable[[], None]] = []

    def run(self, call: Callable[[], None]) -> None:
        """Runs an event now, queues it while paused, and drops it once killed."""
        if self.alive:
            if self.paused:
                self.queued.append(call)
            else:
                call()


class Network:
    """Processes by address, the conditions between them, and the heap of events; `now` is in ms."""

    MAX_QUEUED_EVENTS = 4096  # messages to a paused process beyond it are lost, as in a socket's buffer

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

    def conditions_between(self, sender: Address, receiver: Address) -> LinkConditions:
        """The present conditions of one direction."""
        return self.conditions.get((sender, receiver), self.default_conditions)

    def change(self, sender: Address, receiver: Address, **changed: Any) -> None:
        """Sets fields of the conditions of one direction."""
        self.conditions[sender, receiver] = replace(self.conditions_between(sender, receiver), **changed)

    def cut(self, senders: list[Address], receivers: list[Address], both: bool = True) -> None:
        """Cuts each of `senders` off from each of `receivers`, by default in both directions."""
        for sender in senders:
            for receiver in receivers:
                self.change(sender, receiver, cut=True)
                if both:
                    self.change(receiver, sender, cut=True)

    def heal(self) -> None:
        """Removes the conditions of single directions; the default ones stay."""
        self.conditions.clear()

    def schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Schedules a call in `delay_ms` from now."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay_ms, self._count, call))

    def timer(self, process: Process, delay_ms: float, call: Callable[[], None]) -> None:
        """Schedules an event of a process in `delay_ms` from now."""
        self.schedule(delay_ms, lambda: process.run(call))

    def send(
        self,
        sender: Address,
        receiver: Address,
        size: int,
        deliver: Callable[[], None],
        reliable: bool = False,
    ) -> bool:
        """Sends a message; `deliver` is called on its arrival.  Returns False where it is lost.

        With `reliable`, as over a connection, a loss only delays it, but a cut still stops it.
        """
        conditions = self.conditions_between(sender, receiver)
        self.messages += 1
        self.bytes += size
        if conditions.cut or not reliable and self.random.random() < conditions.loss:
            return False
        copies = 2 if not reliable and self.random.random() < conditions.twice else 1
        for _ in range(copies):
            delay = conditions.delay_ms + self.random.random() * conditions.jitter_ms
            if reliable and conditions.loss:  # TCP retransmits after 200 ms, then with backoff (RFC 6298)
                while self.random.random() < conditions.loss and delay < 10_000.0:
                    delay += 200.0 + delay
            elif self.random.random() < conditions.late:
                delay += self.random.random() * conditions.late_ms
            self.schedule(delay, lambda: self._arrive(receiver, deliver))
        return True

    def _arrive(self, receiver: Address, deliver: Callable[[], None]) -> None:
        process = self.processes.get(receiver)
        if process is not None and (not process.paused or len(process.queued) < self.MAX_QUEUED_EVENTS):
            process.run(deliver)

    def pause(self, process: Process) -> None:
        """Pauses a process as by SIGSTOP."""
        process.paused = True

    def resume(self, process: Process) -> None:
        """Resumes a paused process and runs the events queued meanwhile."""
        process.paused = False
        queued, process.queued = process.queued, []
        for call in queued:
            process.run(call)

    def run(self, duration_ms: float) -> None:
        """Advances the time, running all events that are due."""
        until = self.now + duration_ms
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until
