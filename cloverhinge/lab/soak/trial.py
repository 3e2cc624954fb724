"""One trial: routers, media servers, change logs and clients under faults drawn from a seed."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from cloverhinge.lab.soak.change_log import LogFault
from cloverhinge.lab.soak.clients import Client, Manner
from cloverhinge.lab.soak.deployment import Deployment, draw_deployment
from cloverhinge.lab.soak.media import MediaServer, Mode
from cloverhinge.lab.soak.observations import Observations
from cloverhinge.lab.soak.peer_faults import hold_answers, restart_servers, send_odd_figures
from cloverhinge.lab.soak.processes import RouterProcess

FAULTS = ("shutdown", "kill", "servers", "answers", "network", "replace", "discovery", "clients", "crowd")
PEER_FAULTS = (
    "restart",
    "bursts",
    "figures",
)  # drawn by themselves, so that the others' seeds stay as they are
ALL_FAULTS = FAULTS + PEER_FAULTS
FAULT_SHARES = {  # share of the trials in which a family of faults takes part
    "shutdown": 0.9,
    "kill": 0.2,
    "servers": 0.8,
    "answers": 0.5,
    "network": 0.5,
    "replace": 0.5,
    "discovery": 0.5,
    "clients": 0.6,
    "crowd": 0.3,
    "restart": 0.4,
    "bursts": 0.4,
    "figures": 0.3,
}
BUSY_CLIENT, BUSY_INTERVAL_MS = 999, 8.0  # a client whose answers make up bursts
ADMISSION_SITE = f'[door]\nkey = "{"d" * 32}"\n'
NEW_CONNECTIONS_MS = 300.0  # clients connect to a stopping router for this long after SIGTERM
TICK_S = 0.01
START_TIMEOUT_S = 20.0
MAX_OVERTIME_S = 60.0  # of a trial, for its start, its last shutdowns and a slow machine
KILL_WAIT_S = 5.0  # for a killed process to be gone


@dataclass(frozen=True, slots=True)
class Plan:
    """What a seed draws before a trial begins."""

    seed: int
    routers: int
    servers: int
    seconds: float
    clients: int
    faults: tuple[str, ...]
    deployment: Deployment
    admission: bool = False  # whether the routers have admission control


def draw_plan(seed: int, only: Sequence[str] = ()) -> Plan:
    """Draw a plan; with `only`, exactly these families of faults take part."""
    rng = random.Random(seed)
    routers = rng.randint(2, 4)
    deployment = draw_deployment(rng, routers)
    drawn = tuple(x for x in FAULTS if rng.random() < FAULT_SHARES[x]) or ("shutdown",)
    peer_rng = random.Random(f"peer faults {seed}")
    drawn += tuple(x for x in PEER_FAULTS if peer_rng.random() < FAULT_SHARES[x])
    return Plan(
        seed=seed,
        routers=routers,
        servers=rng.randint(max(4, deployment.cells), 8),
        seconds=rng.choice((6.0, 8.0, 10.0, 14.0, 24.0)),
        clients=rng.randint(6, 14),
        faults=tuple(only) or drawn,
        deployment=deployment,
        admission="figures" in (only or drawn) and peer_rng.random() < 0.6,
    )


class Trial:
    """The actors of a trial and the faults between them."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.deployment = plan, plan.deployment
        self.rng = random.Random(f"trial {plan.seed}")
        self.seen = Observations()
        self.servers = [
            MediaServer(
                f"s-{n:08x}",
                n % plan.deployment.cells,
                [f"r{m}" for m in range(plan.routers)],
                self.seen,
                self._fork(f"server {n}"),
            )
            for n in range(plan.servers)
        ]
        self.routers = [
            RouterProcess(f"r{n}", folder, plan.deployment, self.seen, plan.seed) for n in range(plan.routers)
        ]
        if plan.admission:
            for router in self.routers:
                router.site = ADMISSION_SITE
        self.clients: list[Client] = []
        self.troubled: set[str] = set()  # names of media servers with a fault
        self.ending = False

    def _fork(self, name: str) -> random.Random:
        return random.Random(f"{self.plan.seed} {name}")

    async def play(self) -> Observations:
        """Play the trial to its end, with a shutdown of all routers, and return what was seen."""
        ticks = asyncio.create_task(self._tick())
        try:
            for router in self.routers:
                await router.change_log.start()
                router.change_log.publish([x.list_entry(router.name) for x in self.servers], full=True)
                await router.start()
            await asyncio.wait_for(self._all_ready(), START_TIMEOUT_S)
            self._start_clients()
            faults = [asyncio.create_task(x) for x in self._faults()]
            await asyncio.sleep(self.plan.seconds)
            self.ending = True
            for router in self.routers:
                await router.settled()
            await asyncio.gather(*(self._shut_down(x) for x in self.routers if x.running))
            for fault in faults:
                fault.cancel()
            for outcome in await asyncio.gather(*faults, return_exceptions=True):
                if isinstance(outcome, Exception):
                    raise outcome
        finally:
            for client in self.clients:
                client.stop()
            for router in self.routers:
                await router.stop()
            for server in self.servers:
                server.stop()
            ticks.cancel()
        return self.seen

    async def _tick(self) -> None:
        while True:
            due = time.monotonic() + TICK_S
            await asyncio.sleep(TICK_S)
            self.seen.tick((time.monotonic() - due) * 1000.0)

    async def _all_ready(self) -> None:
        while any(x.address is None for x in self.routers):
            await asyncio.sleep(TICK_S)

    # Clients

    def _start_clients(self) -> None:
        difficult = "clients" in self.plan.faults
        odd_figures = "figures" in self.plan.faults
        if "bursts" in self.plan.faults:
            busy = Manner(interval_ms=BUSY_INTERVAL_MS, pieces=0.0)
            self._add_client(BUSY_CLIENT, busy, self._fork("busy client"))
        for number in range(self.plan.clients):
            rng = self._fork(f"client {number}")
            manner = Manner(
                interval_ms=rng.choice((10.0, 30.0, 100.0, 300.0)),
                cancels=rng.choice((0.0, 0.1, 0.3)) if difficult else 0.0,
                abandons=rng.choice((0.0, 0.02)) if difficult else 0.0,
                bad=difficult and rng.random() < 0.15,
                hurries=difficult and rng.random() < 0.3,
                odd_figures=odd_figures,
                never_reads=odd_figures and number == 0,
            )
            self._add_client(number, manner, rng)

    def _add_client(self, number: int, manner: Manner, rng: random.Random) -> Client:
        client = Client(number, manner, self.deployment, self.seen, rng, self._open_routers)
        self.clients.append(client)
        client.start()
        return client

    def _open_routers(self) -> list[tuple[str, int, tuple[str, int]]]:
        """The routers that clients connect to: also ones that were told to end a moment ago."""
        now = self.seen.now()
        return [
            (x.name, x.run.number, x.address)
            for x in self.routers
            if x.address is not None
            and x.run is not None
            and (x.run.terminated_ms is None or now - x.run.terminated_ms < NEW_CONNECTIONS_MS)
        ]

    # Faults

    def _faults(self) -> list[Coroutine[Any, Any, None]]:
        loops: dict[str, list[Callable[[random.Random], Coroutine[Any, Any, None]]]] = {
            "shutdown": [self._shutdowns],
            "kill": [self._kills],
            "servers": [self._server_modes] * max(1, self.plan.servers // 4),
            "answers": [self._spoilt_answers],
            "network": [self._network_faults],
            "replace": [self._replacements],
            "discovery": [self._log_faults, self._new_configurations],
            "clients": [],
            "crowd": [self._crowds],
            "restart": [partial(restart_servers, self)],
            "bursts": [partial(hold_answers, self)],
            "figures": [partial(send_odd_figures, self)],
        }
        return [
            loop(self._fork(f"{name} {index}"))
            for name in self.plan.faults
            for index, loop in enumerate(loops[name])
        ]

    async def _shutdowns(self, rng: random.Random) -> None:
        while not self.ending:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            running = [x for x in self.routers if x.address is not None]
            if self.ending or len(running) < min(2, len(self.routers)):
                continue
            router = rng.choice(running)
            if rng.random() < 0.4:
                if rng.random() < 0.5 and router.change_log.fault is None:
                    await router.change_log.move()
                router.reload()
                await asyncio.sleep(rng.uniform(0.02, 0.4))
            again_s = rng.uniform(0.05, 0.6) if rng.random() < 0.4 else None
            await self._shut_down(router, again_s)
            await asyncio.sleep(rng.uniform(0.2, 0.8))
            if not self.ending:
                await router.start()

    async def _shut_down(self, router: RouterProcess, again_s: float | None = None) -> None:
        """SIGTERM, for some a second time, and SIGKILL at the protocol's earliest."""
        kill_s = self.deployment.kill_ms / 1000.0
        router.send_signal(signal.SIGTERM)
        if again_s is not None:
            asyncio.get_running_loop().call_later(again_s, router.send_signal, signal.SIGTERM)
        with suppress(TimeoutError):
            await asyncio.wait_for(router.ended.wait(), kill_s)
        if router.running:
            router.send_signal(signal.SIGKILL)
            await asyncio.wait_for(router.ended.wait(), KILL_WAIT_S)

    async def _kills(self, rng: random.Random) -> None:
        while not self.ending:
            await asyncio.sleep(rng.uniform(3.0, 8.0))
            running = [x for x in self.routers if x.address is not None and not self._stopping(x)]
            if self.ending or len(running) < 2:
                continue
            router = rng.choice(running)
            router.send_signal(signal.SIGKILL)
            await asyncio.wait_for(router.ended.wait(), KILL_WAIT_S)
            await asyncio.sleep(rng.uniform(0.2, 0.8))
            if not self.ending and not router.running:
                await router.start()

    @staticmethod
    def _stopping(router: RouterProcess) -> bool:
        return router.run is not None and router.run.terminated_ms is not None

    def take_server(self, rng: random.Random) -> MediaServer | None:
        """Choose a media server without a fault, unless half of them have one."""
        well = [x for x in self.servers if x.name not in self.troubled]
        if 2 * len(well) <= len(self.servers):
            return None
        server = rng.choice(well)
        self.troubled.add(server.name)
        return server

    async def _server_modes(self, rng: random.Random) -> None:
        modes = [Mode.SLOW, Mode.HANG, Mode.HANG, Mode.FULL, Mode.ERROR, Mode.MOOT, Mode.BROKEN]
        while True:
            await asyncio.sleep(rng.uniform(0.1, 1.5))
            if (server := self.take_server(rng)) is None:
                continue
            server.mode = rng.choice(modes)
            self.seen.fault(f"{server.name} {server.mode.value}")
            await asyncio.sleep(rng.uniform(0.5, 6.0))
            self.mend(server)

    def mend(self, server: MediaServer) -> None:
        """End the fault of a media server."""
        server.mode = Mode.QUICK
        self.troubled.discard(server.name)
        self.seen.fault(f"{server.name} well")

    async def _spoilt_answers(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            if (server := self.take_server(rng)) is None:
                continue
            server.mode = Mode.SPOILT
            self.seen.fault(f"{server.name} answers badly")
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            self.mend(server)

    async def _network_faults(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            if rng.random() < 0.4:
                server = rng.choice(self.servers)
                self.seen.fault(f"{server.name} connections reset")
                server.reset_connections()
                continue
            if (server_or_none := self.take_server(rng)) is None:
                continue
            server = server_or_none
            refuses = rng.random() < 0.3
            self.seen.fault(f"{server.name} {'refuses connections' if refuses else 'vanishes'}")
            if refuses:
                server.refuse()
            else:
                server.vanish()
            await asyncio.sleep(rng.uniform(0.3, 4.0))
            server.come_back()
            self.mend(server)

    async def _replacements(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            if (server := self.take_server(rng)) is not None:
                await self._replace(server, rng)

    async def _replace(self, server: MediaServer, rng: random.Random) -> None:
        """Drain a media server, end its process and start a new one, which is cold."""
        self.publish(server, "leaving")
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        self.publish(server, "left")
        server.die()
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        server.start_again(int(time.time() * 1000.0))
        self.seen.cold_starts.append((server.name, self.seen.now()))
        self.publish(server, "active")
        self.troubled.discard(server.name)

    def publish(self, server: MediaServer, lifecycle: str) -> None:
        """Enter a media server's state in the change logs of all routers."""
        server.lifecycle = lifecycle
        self.seen.fault(f"{server.name} listed as {lifecycle}")
        for router in self.routers:
            router.change_log.publish([server.list_entry(router.name)])

    async def _log_faults(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            fault = rng.choice(list(LogFault))
            length_s = rng.choice((0.4, 1.0, 2.5, 5.0, 8.0))
            routers = self.routers if rng.random() < 0.5 else [rng.choice(self.routers)]
            self.seen.fault(f"discovery of {', '.join(x.name for x in routers)} {fault.value}")
            for router in routers:
                await router.change_log.begin_fault(fault, length_s * 1000.0)
            drains_after_s = length_s + rng.uniform(-0.3, 0.3)
            server = self.take_server(rng) if rng.random() < 0.6 else None
            await asyncio.sleep(min(length_s, max(0.0, drains_after_s)))
            if server is not None and drains_after_s < length_s:
                self.publish(server, "leaving")
                await asyncio.sleep(length_s - drains_after_s)
            for router in routers:
                await router.change_log.end_fault()
            self.seen.fault(f"discovery of {', '.join(x.name for x in routers)} well")
            if server is not None:
                if drains_after_s >= length_s:
                    await asyncio.sleep(drains_after_s - length_s)
                await self._replace(server, rng)

    async def _new_configurations(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(1.0, 5.0))
            for router in self.routers:
                for _ in range(rng.randint(1, 3)):
                    if router.change_log.fault is None and router.address is not None:
                        await router.change_log.move()
                        router.reload()
                        await asyncio.sleep(rng.uniform(0.0, 0.1))

    async def _crowds(self, rng: random.Random) -> None:
        number = 1000
        while not self.ending:
            await asyncio.sleep(rng.uniform(1.0, 5.0))
            manner = Manner(interval_ms=rng.choice((20.0, 50.0)), pieces=0.1)
            crowd = []
            self.seen.fault("a crowd comes")
            for _ in range(rng.randint(20, 40)):
                number += 1
                crowd.append(self._add_client(number, manner, self._fork(f"client {number}")))
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            for client in crowd:
                client.stop()


async def play_trial(plan: Plan, folder: Path) -> Observations:
    """Play a trial in a folder of its own and return what was seen; TimeoutError if it does not end."""
    async with asyncio.timeout(plan.seconds + MAX_OVERTIME_S):
        return await Trial(plan, folder).play()
