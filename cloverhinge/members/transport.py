"""Membership's sockets: UDP, and TCP for what exceeds a datagram.  Decisions: core.py."""

from __future__ import annotations

import random
import secrets
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import msgspec
from twisted.internet.error import CannotListenError, ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, DatagramProtocol, ServerFactory
from twisted.logger import Logger
from twisted.protocols.basic import Int32StringReceiver

from cloverhinge.core.clock import Clock
from cloverhinge.core.deadlines import Deadlines, Key
from cloverhinge.members import core, wire
from cloverhinge.site.model import MembersSite

IDLE_MS = 1000.0  # a connection that brings nothing for so long is closed: it carries one question and answer
OUT_MOST, IN_MOST = 16, 16  # connections at a time; with FRAME_MOST this bounds what they hold to 16 MB
PORT_TRIES = 8  # for a port that is free for both UDP and TCP, where any will do
TOLD_AGAIN_MS = 60_000.0  # between two log lines on the same trouble with the same peer
TOLD_MOST = 256  # peers and troubles remembered for that

Event = core.Away | core.Changed | core.Voided


class Frames(Int32StringReceiver):
    """One connection, from either end: sealed messages with their lengths ahead."""

    MAX_LENGTH = wire.FRAME_MOST
    transport: Any

    def __init__(self, link: Link, first: bytes = b"", knock: core.Knock | None = None) -> None:
        self.link, self.first, self.knock = link, first, knock
        self.sent_ms = link.clock.now()
        self.idle: Key | None = None

    def connectionMade(self) -> None:
        if self.knock is None and not self.first:
            self.link.incoming += 1
        if self.first:
            self.sendString(self.first)  # type: ignore[no-untyped-call]
        self.idle = self.link.deadlines.after(IDLE_MS, self.close)

    def stringReceived(self, data: bytes) -> None:
        self.link.deadlines.cancel(self.idle)
        self.idle = self.link.deadlines.after(IDLE_MS, self.close)
        peer = self.transport.getPeer()
        self.link.take(data, (peer.host, peer.port), self)
        if self.knock is not None:
            self.close()

    def lengthLimitExceeded(self, length: int) -> None:
        self.link.bad("long", self.transport.getPeer().host, f"it announces a message of {length} bytes")
        self.transport.abortConnection()

    def close(self) -> None:
        self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.link.deadlines.cancel(self.idle)
        if self.knock is not None or self.first:
            self.link.outgoing -= 1
            self.link.over(self.knock, self.sent_ms, False)
        else:
            self.link.incoming -= 1


class Outgoing(ClientFactory):
    noisy = False

    def __init__(self, link: Link, first: bytes, knock: core.Knock | None) -> None:
        self.link, self.first, self.knock, self.sent_ms = link, first, knock, link.clock.now()

    def buildProtocol(self, addr: Any) -> Frames:
        return Frames(self.link, self.first, self.knock)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.link.outgoing -= 1
        refused = reason.check(ConnectionRefusedError) is not None
        self.link.over(self.knock, self.sent_ms, refused)


class Incoming(ServerFactory):
    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> Frames | None:
        return Frames(self.link) if self.link.incoming < IN_MOST else None


class Link(DatagramProtocol):
    """A part of the node: `start`, `status`, `told_to_end`; parts built on it `watch` and ask `awake`."""

    log = Logger()
    noisy = False
    key = "members"
    transport: Any

    def __init__(
        self, reactor: Any, site: MembersSite, name: str, clock: Clock, deadlines: Deadlines, seed: int
    ) -> None:
        self.reactor, self.site, self.name, self.clock, self.deadlines = reactor, site, name, clock, deadlines
        self.seal = wire.Seal(site.keys)
        self.random = random.Random(f"members {seed}")
        self.troubles: Counter[str] = Counter()
        self.watchers: list[Callable[[Event], None]] = []
        self.hearers: dict[str, Callable[[core.Carried], None]] = {}  # by the part's key
        self.incoming = self.outgoing = 0
        self.members: core.Members
        self.address = site.advertise or site.listen
        self._told: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._udp: Any = None
        self._tcp: Any = None
        self._begun = False

    # The node's side

    def start(self) -> None:
        """Raises CannotListenError where the address is taken."""
        host, port = self._listen()
        if self.site.advertise is None or self.site.advertise[1] == 0:
            self.address = (self.address[0], port)
        rules = core.Rules(self.site.probe_ms, self.site.quiet_ms, self.site.out_ms, self.site.watch)
        self.members = core.Members(
            self.name,
            self.site.site,
            self.address,
            self.site.join,
            secrets.randbits(62),
            self.random.getrandbits(62),
            rules,
        )
        self.log.info(
            "{name}: members: listening on {host}:{port}, known as {told}:{at}, site {site}",
            name=self.name,
            host=host,
            port=port,
            told=self.address[0],
            at=self.address[1],
            site=self.site.site,
        )
        self._begun = True
        self._act(self.members.start(self.clock.now()), None)
        self.deadlines.after(self.random.uniform(0.0, core.TICK_MS), self._tick)

    def _listen(self) -> tuple[str, int]:
        host, port = self.site.listen
        for left in reversed(range(PORT_TRIES)):
            self._udp = self.reactor.listenUDP(port, self, interface=host, maxPacketSize=65536)
            found: int = self._udp.getHost().port
            try:
                self._tcp = self.reactor.listenTCP(found, Incoming(self), interface=host)
                return host, found
            except CannotListenError:
                self._udp.stopListening()
                if port or not left:
                    raise
        raise AssertionError("unreachable")

    def publish(self, facts: dict[str, Any]) -> None:
        """Replaces this member's facts; ValueError where they are over 512 bytes of msgpack."""
        self._act(self.members.publish(self.clock.now(), msgspec.msgpack.encode(facts)), None)

    def awake(self) -> bool:
        """To be asked before a part acts on membership: tells of a pause first, and whether to trust."""
        self._act(self.members.awake(self.clock.now()), None)
        return self.members.trusted

    def carry(self, name: str, run: int, part: str, body: bytes) -> None:
        """What a part says to the same part of that run; it may be lost."""
        self._act(self.members.carry(self.clock.now(), name, run, part, body), None)

    def told_to_end(self) -> None:
        self._act(self.members.leave(self.clock.now()), None)

    def status(self) -> dict[str, Any]:
        members, now = self.members, self.clock.now()
        view = members.view()
        rows = []
        for name in members.table.order:
            record = members.table.records[name]
            heard, unheard = members.reach(name)
            rows.append(
                {
                    "name": name,
                    "site": record.site,
                    "state": members.state(name),
                    "incarnation": record.incarnation,
                    "since_ms": round(now - members.known[name].since_ms),
                    "reach": {"heard_by": heard, "not_heard_by": unheard},
                    "by": record.by,
                    "address": f"{record.host}:{record.port}",
                    "facts": msgspec.msgpack.decode(record.facts) if record.facts else {},
                }
            )
        return {
            "view": view.number,
            "digest": f"{view.digest:016x}",
            "in": len(view.names),
            "whole": view.whole,
            "majority": view.majority,
            "joined": members.joined,
            "trusted": members.trusted,
            "list": rows,
            "counters": asdict(members.counters),
            "turned_away": members.table.turned_away,
            "refused": dict(self.troubles),
        }

    # The core's side

    def _tick(self) -> None:
        self._act(self.members.due(self.clock.now()), None)
        self.deadlines.after(core.TICK_MS, self._tick)

    def take(self, sealed: bytes, peer: core.Address, back: Frames | None) -> None:
        if not self._begun:
            return
        try:
            message = wire.decode(self.seal.open(sealed))
        except wire.Bad as error:
            self.bad(error.kind, peer[0], str(error))
            return
        self._act(self.members.received(self.clock.now(), message, peer), back or peer)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.take(datagram, (addr[0], addr[1]), None)

    def over(self, knock: core.Knock | None, sent_ms: float, refused: bool) -> None:
        if knock is not None:
            self._act(self.members.knocked(self.clock.now(), knock.name, knock.run, sent_ms, refused), None)

    def bad(self, kind: str, host: str, text: str) -> None:
        """Counted; told once a minute for each peer and kind, so that no flood fills the log."""
        self.troubles[kind] += 1
        now, last = self.clock.now(), self._told.get((kind, host))
        if last is not None and now - last < TOLD_AGAIN_MS:
            return
        self._told[kind, host] = now
        while len(self._told) > TOLD_MOST:
            self._told.popitem(last=False)
        self.log.warn(
            "{name}: members: refuses a message from {host}: {text}", name=self.name, host=host, text=text
        )

    def _act(self, actions: list[core.Action], back: Frames | core.Address | None) -> None:
        for action in actions:
            match action:
                case core.Send():
                    self._send(action, back)
                case core.Knock():
                    self._connect(action.to, self.seal.close(wire.encode(action.message)), action)
                case core.Carried():
                    hearer = self.hearers.get(action.part)
                    if hearer is not None:
                        hearer(action)
                case core.Say():
                    tell = self.log.error if action.error else self.log.info
                    tell("{name}: members: {text}", name=self.name, text=action.text)
                case _:
                    self._tell(action)

    def _tell(self, event: Event) -> None:
        match event:
            case core.Changed(name, what, reason, incarnation, view):
                self.log.info(
                    "{own}: members: {name} {what}, incarnation {incarnation} ({reason}); "
                    "view {number}:{digest} of {size}",
                    own=self.name,
                    name=name,
                    what=what,
                    incarnation=incarnation,
                    reason=reason,
                    number=view.number,
                    digest=f"{view.digest:016x}",
                    size=len(view.names),
                )
            case core.Away(ms):
                self.log.info("{name}: members: away for {ms} ms", name=self.name, ms=round(ms))
        for watcher in self.watchers:
            watcher(event)

    def _send(self, send: core.Send, back: Frames | core.Address | None) -> None:
        sealed = self.seal.close(wire.encode(send.message))
        to = send.to or back
        if isinstance(to, Frames):
            to.sendString(sealed)  # type: ignore[no-untyped-call]
        elif to is None:
            return
        elif len(sealed) > wire.DATAGRAM_MOST:
            self._connect(to, sealed, None)
        else:
            try:
                self._udp.write(sealed, to)  # not `transport`: a port that was given up takes that with it
            except OSError as error:  # a full buffer or no route: as good as lost, and others go on
                self.bad("unsent", to[0], f"could not send to it: {error.strerror}")

    def _connect(self, to: core.Address, first: bytes, knock: core.Knock | None) -> None:
        if self.outgoing >= OUT_MOST:
            self.troubles["busy"] += 1
            if knock is not None:  # told from the next round on: the core is in the middle of this one
                self.deadlines.after(0.0, lambda: self.over(knock, self.clock.now(), False))
            return
        self.outgoing += 1
        host = self.site.listen[0]
        bind = None if host in ("0.0.0.0", "") else (host, 0)  # so that the other end sees who it is
        self.reactor.connectTCP(*to, Outgoing(self, first, knock), timeout=IDLE_MS / 1000.0, bindAddress=bind)
