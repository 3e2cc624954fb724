"""Faults of a trial's peers that reach the routers through their own messages and connections.

Restarts of machines that give no sign, bursts of large answers after a pause, and figures that no arithmetic
can be done with.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from cloverhinge.lab.soak.media import MediaServer

if TYPE_CHECKING:
    from cloverhinge.lab.soak.trial import Trial

AWAY_S = (0.5, 5.0)  # how long a machine is away before it returns anew
NEWS_DELAY_S = (0.0, 1.5)  # from its return until the list has its new start
PAUSE_S = (0.3, 2.0)  # how long a server holds its answers back
DESCRIPTION_BYTES = (1500, 4000, 12_000)  # of an answer, with the family "bursts"
ODD_LOADS = ("nan", "inf", "-1", "1e308", "5e-324", "x", "")
ODD_NOTES = (
    ("rung", "99"),
    ("rung", "1e14"),
    ("delivered", "5e-324"),
    ("delivered", "1e14"),
    ("link", "1e-300"),
    ("uplink", "nan"),
    ("unknown", "1"),
)


async def restart_servers(trial: Trial, rng: random.Random) -> None:
    """Machines vanish without a sign and return anew, and the list tells it some time later."""
    while True:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        server = trial.take_server(rng)
        if server is None:
            continue
        trial.seen.fault(f"{server.name} vanishes, to return anew")
        server.vanish()
        await asyncio.sleep(rng.uniform(*AWAY_S))
        server.return_anew(int(time.time() * 1000.0), resets=rng.random() < 0.3)
        trial.seen.cold_starts.append((server.name, trial.seen.now()))
        trial.seen.fault(f"{server.name} is back, without its sessions")
        await asyncio.sleep(rng.uniform(*NEWS_DELAY_S))
        trial.publish(server, "active")
        trial.troubled.discard(server.name)


async def hold_answers(trial: Trial, rng: random.Random) -> None:
    """Some servers hold all their answers back for a while, and then give them at once."""
    for server in trial.servers:
        server.description_bytes = rng.choice(DESCRIPTION_BYTES)
    while True:
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        holding = [x for x in (trial.take_server(rng) for _ in range(rng.randint(1, 4))) if x is not None]
        for server in holding:
            trial.seen.fault(f"{server.name} holds its answers back")
            server.hold()
        await asyncio.sleep(rng.uniform(*PAUSE_S))
        for server in holding:
            server.let_go()
            trial.mend(server)


async def send_odd_figures(trial: Trial, rng: random.Random) -> None:
    """Servers report loads, and send notes on their sessions, with figures out of range."""
    while True:
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        server = trial.take_server(rng)
        if server is None:
            continue
        trial.seen.fault(f"{server.name} sends odd figures")
        server.odd_load = rng.choice(ODD_LOADS)
        for _ in range(rng.randint(1, 5)):
            await asyncio.sleep(rng.uniform(0.05, 0.4))
            _send_note(server, rng)
        server.odd_load = None
        trial.mend(server)


def _send_note(server: MediaServer, rng: random.Random) -> None:
    why, reading = rng.choice(ODD_NOTES)
    if server.sessions:
        server.send_note(rng.choice(list(server.sessions)), why, reading)
