"""Compares four scheduling orders of the admission queue on the same traces, with one pool of equal places.

    python -m benchmarks.door_orders

Requests wait up to 4 s.  `got` is the place-time that a client held, relative to its max-min fair share for
its demand; `passed over` counts requests that gave up while their client was below its share and another
client was above its own.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from benchmarks.tables import write_results
from cloverhinge.admission.fair_queue import max_min

PLACES, SPAN_S, WAIT_S = 100, 600.0, 4.0


@dataclass
class Queue:
    """Waiting requests and the active sessions of one client, with the state of all four orders."""

    name: str
    weight: float
    per_s: float
    mean_s: float
    active_s: float = SPAN_S  # requests arrive for this time, then none for as long
    waiting: deque[tuple[float, float]] = field(default_factory=deque)  # (arrival, length), both in seconds
    active: int = 0
    deficit: float = 0.0
    tag: float = 0.0
    used: float = 0.0
    gave_up: int = 0


def choose_queue(order: str, queues: list[Queue], turn: list[int], virtual: float) -> Queue:
    """Returns the queue whose first request is admitted next; at least one queue has a request."""
    candidates = [x for x in queues if x.waiting]
    match order:
        case "least holding":
            return min(candidates, key=lambda x: (x.active / x.weight, x.waiting[0][0]))
        case "virtual time":  # start-time fair queueing, charged by session length
            return min(candidates, key=lambda x: (max(x.tag, virtual), x.waiting[0][0]))
        case "stride":  # one pass per admission, strides by weight, lengths unknown
            return min(candidates, key=lambda x: (x.tag, x.waiting[0][0]))
        case _:  # deficit round robin on admissions
            while True:
                queue = queues[turn[0] % len(queues)]
                if queue.waiting and queue.deficit >= 1:
                    return queue
                if not queue.waiting:
                    queue.deficit = 0.0
                turn[0] += 1
                queues[turn[0] % len(queues)].deficit += queues[turn[0] % len(queues)].weight


def simulate(order: str, queues: list[Queue], seed: int) -> int:
    """Plays a trace, leaves its results in the queues and returns how many requests were passed over."""
    events: list[tuple[float, int, int, float]] = []
    rng, turn, virtual, free, passed = random.Random(seed), [0], 0.0, PLACES, 0
    for at, queue in enumerate(queues):
        now = 0.0
        while now < SPAN_S:
            now += rng.expovariate(queue.per_s)
            if now % (2 * queue.active_s) < queue.active_s:
                length = rng.lognormvariate(0, 0.5) * queue.mean_s / 1.133
                heapq.heappush(events, (now, 0, at, length))
    while events:
        now, kind, at, length = heapq.heappop(events)
        if now > SPAN_S:
            break
        if kind == 0:
            if not queues[at].waiting and order == "stride":
                queues[at].tag = max([queues[at].tag, *(x.tag for x in queues if x.waiting)][:2])
            queues[at].waiting.append((now, length))
        else:
            queues[at].active -= 1
            free += 1
        total_weight = sum(x.weight for x in queues if x.waiting or x.active)
        for queue in queues:
            while queue.waiting and now - queue.waiting[0][0] > WAIT_S:
                queue.waiting.popleft()
                queue.gave_up += 1
                fair_share = PLACES * queue.weight / total_weight
                over = any(x.active > PLACES * x.weight / total_weight + 1 for x in queues if x is not queue)
                passed += queue.active < fair_share - 1 and over
        while free and any(x.waiting for x in queues):
            queue = choose_queue(order, queues, turn, virtual)
            _, length = queue.waiting.popleft()
            queue.deficit -= 1
            virtual = max(virtual, queue.tag) if order == "virtual time" else virtual
            queue.tag = max(queue.tag, virtual) + (length if order == "virtual time" else 1.0) / queue.weight
            queue.active += 1
            queue.used += min(length, SPAN_S - now)
            free -= 1
            heapq.heappush(events, (now + length, 1, queues.index(queue), 0.0))
    return passed


TRACES: dict[str, list[tuple[str, int, float, float, float]]] = {
    "5 and 50 a second, alike": [("small", 1, 2.5, 10, SPAN_S), ("large", 1, 25, 10, SPAN_S)],
    "one with sessions ten times as long": [("long", 1, 5, 40, SPAN_S), ("short", 1, 50, 4, SPAN_S)],
    "weights 1:2:4": [("one", 1, 10, 10, SPAN_S), ("two", 2, 10, 10, SPAN_S), ("four", 4, 10, 10, SPAN_S)],
    "one that comes and goes each 60 s": [("guest", 1, 10, 10, 60), ("host", 1, 30, 10, SPAN_S)],
}


def main() -> None:
    """Writes the table of all orders on all traces."""
    rows: list[dict[str, object]] = []
    for trace, clients in TRACES.items():
        for order in ("deficit round robin", "virtual time", "stride", "least holding"):
            queues = [
                Queue(name, float(w), float(rate), float(mean), float(on))
                for name, w, rate, mean, on in clients
            ]
            passed = simulate(order, queues, 1)
            due = max_min(PLACES, [x.per_s * x.mean_s for x in queues], [x.weight for x in queues])
            used = [x.used / SPAN_S / (0.5 if x.active_s < SPAN_S else 1) for x in queues]
            rows.append(
                {
                    "trace": trace,
                    "order": order,
                    "got": ", ".join(
                        f"{x.name} {u / d:.2f}" for x, u, d in zip(queues, used, due, strict=True)
                    ),
                    "gave up": sum(x.gave_up for x in queues),
                    "passed over": passed,
                }
            )
    write_results(
        "door_orders",
        "Four orders on the same traces",
        [("100 places, 600 s, requests that wait up to 4 s.", rows)],
        "python -m benchmarks.door_orders",
    )


if __name__ == "__main__":
    main()
