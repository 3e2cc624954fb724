"""Router membership on the simulated network, and checks of agreement between the routers."""

from __future__ import annotations

from dataclasses import dataclass, field

from msgspec.structs import replace

from cloverhinge.emulator.network import Address, Network, Process
from cloverhinge.members import core, wire
from cloverhinge.members.watch import watch_relations

CONNECT_TIMEOUT_MS = 1000.0  # after which an unanswered connection attempt has failed


@dataclass
class ObservedChange:
    """A membership change as one router observed it."""

    at_ms: float
    observer: str
    change: core.MemberChanged


class Router:
    """One simulated router process with its membership component."""

    def __init__(
        self, world: World, name: str, site: str, address: Address, join: tuple[Address, ...]
    ) -> None:
        self.world, self.name, self.site, self.address, self.join = world, name, site, address, join
        self.process = Process(address)
        self.members: core.Membership
        self.pauses_ms: list[float] = []
        self.voided: list[core.IncarnationVoided] = []
        self.log_lines: list[str] = []

    @property
    def running(self) -> bool:
        """Whether the process is alive and not paused."""
        return self.process.alive and not self.process.paused

    def start(self) -> None:
        """Starts a new run under the same name."""
        net = self.world.net
        self.process = net.processes[self.address] = Process(self.address)
        run = net.random.getrandbits(62)
        self.members = core.Membership(
            self.name, self.site, self.address, self.join, run, run, self.world.rules
        )
        self.perform(self.members.start(net.now))
        net.timer(self.process, net.random.uniform(0.0, core.TICK_MS), self._tick)

    def _tick(self) -> None:
        self.perform(self.members.tick(self.world.net.now))
        self.world.net.timer(self.process, core.TICK_MS, self._tick)

    def kill(self) -> None:
        """Ends the process without notice to others."""
        self.process.alive = False

    def receive_component_message(self, message: core.ComponentMessageReceived) -> None:
        """Receives a message for a component on top of membership; subclasses override it."""

    def perform(
        self, actions: list[core.Action], reply_address: Address | None = None, reliable: bool = False
    ) -> None:
        """Performs the actions of the membership core.

        `reply_address` receives messages that name no address; `reliable` sends all as over a connection.
        """
        net = self.world.net
        for action in actions:
            match action:
                case core.Send():
                    receiver = action.address or reply_address
                    assert receiver is not None
                    body = wire.encode(action.message)
                    self.send(
                        receiver, body, reliable or wire.HEADER_BYTES + len(body) > wire.MAX_DATAGRAM_BYTES
                    )
                case core.ConnectProbe():
                    self.connect_probe(action)
                case core.ProcessPaused():
                    self.pauses_ms.append(action.ms)
                case core.MemberChanged():
                    self.world.changes.append(ObservedChange(net.now, self.name, action))
                case core.IncarnationVoided():
                    self.voided.append(action)
                case core.LogLine():
                    self.log_lines.append(action.text)
                case core.ComponentMessageReceived():
                    self.receive_component_message(action)

    def send(self, to: Address, body: bytes, reliable: bool = False) -> None:
        """Sends an encoded message to another router."""
        self.world.net.send(
            self.address,
            to,
            wire.HEADER_BYTES + len(body),
            lambda: self.world.deliver(to, body, self.address, reliable),
            reliable,
        )

    def connect_probe(self, probe: core.ConnectProbe) -> None:
        """Probes a member over a connection, which is refused where no process runs.

        The membership core is told how the attempt ended in any case.
        """
        net, sent_ms, process = self.world.net, self.world.net.now, self.process

        def ended(refused: bool) -> None:
            process.run(
                lambda: self.perform(
                    self.members.connect_ended(net.now, probe.name, probe.run, sent_ms, refused)
                )
            )

        cut = (
            net.conditions_between(self.address, probe.address).cut
            or net.conditions_between(probe.address, self.address).cut
        )
        process_there = net.processes.get(probe.address)
        if not cut and (process_there is None or not process_there.alive):
            net.schedule(net.default_conditions.delay_ms * 2, lambda: ended(True))
            return
        if not cut:
            self.send(probe.address, wire.encode(probe.message), reliable=True)
        net.schedule(CONNECT_TIMEOUT_MS, lambda: ended(False))


@dataclass
class World:
    """`count` routers, spread evenly over `sites` sites, on one simulated network."""

    count: int
    seed: int
    sites: int = 1
    rules: core.Rules = field(default_factory=core.Rules)
    net: Network = field(init=False)
    changes: list[ObservedChange] = field(default_factory=list)
    routers: list[Router] = field(init=False)

    def __post_init__(self) -> None:
        self.net = Network(self.seed)
        addresses = [(f"127.1.{n // 250}.{n % 250 + 1}", 7000) for n in range(self.count)]
        join = tuple(addresses[:3])
        self.routers = [
            self.make_router(f"r{n:03d}", f"s{n % self.sites}", address, join)
            for n, address in enumerate(addresses)
        ]

    def make_router(self, name: str, site: str, address: Address, join: tuple[Address, ...]) -> Router:
        """Creates a router; subclasses override it."""
        return Router(self, name, site, address, join)

    def start_joined(self) -> None:
        """Starts all routers as if they had been members for long, each known to all and just reached."""
        pairs = watch_relations(tuple(sorted(x.name for x in self.routers)), self.rules.watch)
        for router in self.routers:
            router.join = ()
            router.start()
            router.members.own_record = replace(
                router.members.own_record, reachable=tuple(sorted(pairs[router.name][0]))
            )
        records = [x.members.own_record for x in self.routers]
        for router in self.routers:
            members = router.members
            router.perform(
                members.receive(
                    self.net.now,
                    wire.Update(sender="rig", run=1, to_run=members.run, number=1, records=records),
                )
            )
            members.table.put(members.own_record)
            members.table.pending_updates.clear()
            members._update_monitors(self.net.now)
            for watch in members.monitors.values():
                watch.record_answer(self.net.now)
            router.perform(members.tick(self.net.now))

    def deliver(self, to: Address, body: bytes, sender: Address, reliable: bool) -> None:
        """Passes a message that has arrived to its router and performs the actions."""
        router = self.by_address[to]
        router.perform(router.members.receive(self.net.now, wire.decode(body), sender), sender, reliable)

    @property
    def by_address(self) -> dict[Address, Router]:
        """The routers by their addresses."""
        if not hasattr(self, "_by_address"):
            self._by_address = {router.address: router for router in self.routers}
        return self._by_address

    def start(self, settle_ms: float = 5000.0) -> None:
        """Starts all routers and runs for `settle_ms`."""
        for router in self.routers:
            router.start()
        self.net.run(settle_ms)

    def agreed(self, routers: list[Router] | None = None) -> bool:
        """Whether these routers, by default all that run, hold one view with exactly them as members."""
        routers = [x for x in self.routers if x.running] if routers is None else routers
        names = tuple(sorted(x.name for x in routers))
        views = [x.members.view() for x in routers]
        return all(view.names == names and view == views[0] for view in views)

    def run_until_agreed(
        self, max_ms: float, routers: list[Router] | None = None, step_ms: float = 50.0
    ) -> float:
        """Runs until `agreed` and returns the time in ms; AssertionError with the views after `max_ms`."""
        started_ms = self.net.now
        while not self.agreed(routers):
            if self.net.now - started_ms > max_ms:
                raise AssertionError(
                    "\n".join(f"{x.name}: {x.members.view()}" for x in routers or self.routers if x.running)
                )
            self.net.run(step_ms)
        return self.net.now - started_ms

    def changes_of(self, change: str, since_ms: float = 0.0) -> list[ObservedChange]:
        """The observed changes of one kind, such as `dead`, at or after `since_ms`."""
        return [x for x in self.changes if x.change.change == change and x.at_ms >= since_ms]
