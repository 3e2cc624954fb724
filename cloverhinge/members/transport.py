"""Sockets of the membership protocol: UDP, and TCP for messages that exceed a datagram.

The protocol logic is in core.py.
"""

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
from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.members import core, wire
from cloverhinge.site.model import MembersSettings

IDLE_TIMEOUT_MS = 1000.0  # a silent connection is closed then; it carries one request and its answer
MAX_OUTGOING, MAX_INCOMING = 16, 16  # connections; with MAX_FRAME_BYTES this bounds their buffers to 16 MB
PORT_TRIES = 8  # to find a port that is free for both UDP and TCP, if any port will do
MIN_LOG_INTERVAL_MS = 60_000.0  # between two log lines on the same kind of trouble with the same peer
MAX_LOGGED_TROUBLES = 256  # pairs of kind and peer remembered for that

Event = core.ProcessPaused | core.MemberChanged | core.IncarnationVoided


class FrameProtocol(Int32StringReceiver):
    """One TCP connection, from either end: signed messages, each preceded by its length."""

    MAX_LENGTH = wire.MAX_FRAME_BYTES
    transport: Any

    def __init__(
        self, owner: MembershipTransport, first_message: bytes = b"", probe: core.ConnectProbe | None = None
    ) -> None:
        self.owner, self.first_message, self.probe = owner, first_message, probe
        self.sent_ms = owner.clock.now()
        self.idle: DeadlineKey | None = None

    def connectionMade(self) -> None:
        if self.probe is None and not self.first_message:
            self.owner.incoming_count += 1
        if self.first_message:
            self.sendString(self.first_message)  # type: ignore[no-untyped-call]
        self.idle = self.owner.deadlines.after(IDLE_TIMEOUT_MS, self.close)

    def stringReceived(self, data: bytes) -> None:
        self.owner.deadlines.cancel(self.idle)
        self.idle = self.owner.deadlines.after(IDLE_TIMEOUT_MS, self.close)
        peer = self.transport.getPeer()
        self.owner.receive(data, (peer.host, peer.port), self)
        if self.probe is not None:
            self.close()

    def lengthLimitExceeded(self, length: int) -> None:
        self.owner.report_trouble(
            "long", self.transport.getPeer().host, f"its announced length of {length} bytes exceeds the limit"
        )
        self.transport.abortConnection()

    def close(self) -> None:
        """Closes the connection after all pending data has been written."""
        self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.owner.deadlines.cancel(self.idle)
        if self.probe is not None or self.first_message:
            self.owner.outgoing_count -= 1
            self.owner.probe_ended(self.probe, self.sent_ms, False)
        else:
            self.owner.incoming_count -= 1


class OutgoingFactory(ClientFactory):
    """Opens one connection, which sends `first_message`; the end of a probe is reported to the core."""

    noisy = False

    def __init__(
        self, owner: MembershipTransport, first_message: bytes, probe: core.ConnectProbe | None
    ) -> None:
        self.owner, self.first_message, self.probe, self.sent_ms = (
            owner,
            first_message,
            probe,
            owner.clock.now(),
        )

    def buildProtocol(self, addr: Any) -> FrameProtocol:
        return FrameProtocol(self.owner, self.first_message, self.probe)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.owner.outgoing_count -= 1
        refused = reason.check(ConnectionRefusedError) is not None
        self.owner.probe_ended(self.probe, self.sent_ms, refused)


class IncomingFactory(ServerFactory):
    """Accepts up to MAX_INCOMING connections at a time."""

    noisy = False

    def __init__(self, owner: MembershipTransport) -> None:
        self.owner = owner

    def buildProtocol(self, addr: Any) -> FrameProtocol | None:
        return FrameProtocol(self.owner) if self.owner.incoming_count < MAX_INCOMING else None


class MembershipTransport(DatagramProtocol):
    """The membership component of the node, with its sockets.

    Components built on it append to `listeners` (for events), register in `receivers` (for messages, by
    component key) and call `check_trusted` before they act on membership.
    """

    log = Logger()
    noisy = False
    key = "members"
    transport: Any

    def __init__(
        self, reactor: Any, site: MembersSettings, name: str, clock: Clock, deadlines: Deadlines, seed: int
    ) -> None:
        self.reactor, self.site, self.name, self.clock, self.deadlines = reactor, site, name, clock, deadlines
        self.authenticator = wire.Authenticator(site.keys)
        self.random = random.Random(f"members {seed}")
        self.trouble_counts: Counter[str] = Counter()
        self.listeners: list[Callable[[Event], None]] = []
        self.receivers: dict[str, Callable[[core.ComponentMessageReceived], None]] = {}  # by component key
        self.incoming_count = self.outgoing_count = 0
        self.membership: core.Membership
        self.address = site.advertise or site.listen
        self._logged_ms: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._udp: Any = None
        self._tcp: Any = None
        self._started = False

    # Called by the node and its components

    def start(self) -> None:
        """Opens the sockets and begins to join; raises CannotListenError if the address is in use."""
        host, port = self._listen()
        if self.site.advertise is None or self.site.advertise[1] == 0:
            self.address = (self.address[0], port)
        rules = core.Rules(self.site.probe_ms, self.site.quiet_ms, self.site.out_ms, self.site.watch)
        self.membership = core.Membership(
            self.name,
            self.site.site,
            self.address,
            self.site.join,
            secrets.randbits(62),
            self.random.getrandbits(62),
            rules,
        )
        self.log.info(
            "{name}: members: listening on {host}:{port}, known as {known_host}:{known_port}, site {site}",
            name=self.name,
            host=host,
            port=port,
            known_host=self.address[0],
            known_port=self.address[1],
            site=self.site.site,
        )
        self._started = True
        self._perform(self.membership.start(self.clock.now()), None)
        self.deadlines.after(
            self.random.uniform(0.0, core.TICK_MS), lambda: self.deadlines.repeat(core.TICK_MS, self._tick)
        )

    def _listen(self) -> tuple[str, int]:
        host, port = self.site.listen
        for tries_left in reversed(range(PORT_TRIES)):
            # TCP first: a factory is made anew for another try, and this protocol can be bound only once.
            self._tcp = self.reactor.listenTCP(port, IncomingFactory(self), interface=host)
            bound_port: int = self._tcp.getHost().port
            try:
                self._udp = self.reactor.listenUDP(bound_port, self, interface=host, maxPacketSize=65536)
                return host, bound_port
            except CannotListenError:
                self._tcp.stopListening()
                if port or not tries_left:
                    raise
        raise AssertionError("unreachable")

    def publish(self, facts: dict[str, Any]) -> None:
        """Replaces this member's facts; raises ValueError if they exceed 512 bytes of msgpack."""
        self._perform(self.membership.publish(self.clock.now(), msgspec.msgpack.encode(facts)), None)

    def check_trusted(self) -> bool:
        """Detects a pause of the process, and returns whether the membership view can be relied on."""
        self._perform(self.membership.check_pause(self.clock.now()), None)
        return self.membership.trusted

    def send_component_message(self, name: str, run: int, component: str, body: bytes) -> None:
        """Sends a message to the same component of a run of another member; it may be lost."""
        self._perform(
            self.membership.send_component_message(self.clock.now(), name, run, component, body), None
        )

    def begin_shutdown(self) -> None:
        """Announces to the other members that this router leaves."""
        self._perform(self.membership.leave(self.clock.now()), None)

    def status(self) -> dict[str, Any]:
        """Returns the view, all member records and the counters for the status JSON."""
        membership, now = self.membership, self.clock.now()
        view = membership.view()
        rows = []
        for name in membership.table.sorted_names:
            record = membership.table.records[name]
            reaching, not_reaching = membership.split_observers(name)
            rows.append(
                {
                    "name": name,
                    "site": record.site,
                    "state": membership.state_name(name),
                    "incarnation": record.incarnation,
                    "since_ms": round(now - membership.member_info[name].since_ms),
                    "reach": {"heard_by": reaching, "not_heard_by": not_reaching},
                    "by": record.state_reason,
                    "address": f"{record.host}:{record.port}",
                    "facts": msgspec.msgpack.decode(record.facts) if record.facts else {},
                }
            )
        return {
            "view": view.number,
            "digest": f"{view.digest:016x}",
            "in": len(view.names),
            "whole": view.expected,
            "majority": view.majority,
            "joined": membership.joined,
            "trusted": membership.trusted,
            "list": rows,
            "counters": asdict(membership.counters),
            "turned_away": membership.table.rejected,
            "refused": dict(self.trouble_counts),
        }

    # Sockets and actions of the core

    def _tick(self) -> None:
        self._perform(self.membership.tick(self.clock.now()), None)

    def receive(self, signed_message: bytes, peer: core.Address, reply_to: FrameProtocol | None) -> None:
        """Handles a signed message; `reply_to` is the connection that it came over, None for a datagram."""
        if not self._started:
            return
        try:
            message = wire.decode(self.authenticator.verify(signed_message))
        except wire.MessageError as error:
            self.report_trouble(error.kind, peer[0], str(error))
            return
        self._perform(self.membership.receive(self.clock.now(), message, peer), reply_to or peer)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.receive(datagram, (addr[0], addr[1]), None)

    def probe_ended(self, probe: core.ConnectProbe | None, sent_ms: float, refused: bool) -> None:
        """Reports the end of a connection to the core if it was a probe."""
        if probe is not None:
            self._perform(
                self.membership.connect_ended(self.clock.now(), probe.name, probe.run, sent_ms, refused), None
            )

    def report_trouble(self, kind: str, host: str, text: str) -> None:
        """Counts a trouble with a peer; logs it at most once a minute per peer and kind to limit the log."""
        self.trouble_counts[kind] += 1
        now, last = self.clock.now(), self._logged_ms.get((kind, host))
        if last is not None and now - last < MIN_LOG_INTERVAL_MS:
            return
        self._logged_ms[kind, host] = now
        while len(self._logged_ms) > MAX_LOGGED_TROUBLES:
            self._logged_ms.popitem(last=False)
        self.log.warn(
            "{name}: members: message from or to {host} dropped: {text}", name=self.name, host=host, text=text
        )

    def _perform(self, actions: list[core.Action], reply_to: FrameProtocol | core.Address | None) -> None:
        for action in actions:
            match action:
                case core.Send():
                    self._send(action, reply_to)
                case core.ConnectProbe():
                    self._connect(
                        action.address, self.authenticator.sign(wire.encode(action.message)), action
                    )
                case core.ComponentMessageReceived():
                    receiver = self.receivers.get(action.component)
                    if receiver is not None:
                        receiver(action)
                case core.LogLine():
                    log = self.log.error if action.error else self.log.info
                    log("{name}: members: {text}", name=self.name, text=action.text)
                case _:
                    self._notify(action)

    def _notify(self, event: Event) -> None:
        match event:
            case core.MemberChanged(name, change, reason, incarnation, view):
                self.log.info(
                    "{own}: members: {name} {change}, incarnation {incarnation} ({reason}); "
                    "view {number}:{digest} of {size}",
                    own=self.name,
                    name=name,
                    change=change,
                    incarnation=incarnation,
                    reason=reason,
                    number=view.number,
                    digest=f"{view.digest:016x}",
                    size=len(view.names),
                )
            case core.ProcessPaused(ms):
                self.log.info("{name}: members: away for {ms} ms", name=self.name, ms=round(ms))
        for listener in self.listeners:
            listener(event)

    def _send(self, send: core.Send, reply_to: FrameProtocol | core.Address | None) -> None:
        signed_message = self.authenticator.sign(wire.encode(send.message))
        to = send.address or reply_to
        if isinstance(to, FrameProtocol):
            to.sendString(signed_message)  # type: ignore[no-untyped-call]
        elif to is None:
            return
        elif len(signed_message) > wire.MAX_DATAGRAM_BYTES:
            self._connect(to, signed_message, None)
        else:
            try:
                self._udp.write(
                    signed_message, to
                )  # not `transport`, which is reset when `_listen` closes a port
            except OSError as error:  # full buffer or no route: the same as a lost datagram
                self.report_trouble("unsent", to[0], f"could not be sent: {error.strerror}")

    def _connect(self, to: core.Address, first_message: bytes, probe: core.ConnectProbe | None) -> None:
        if self.outgoing_count >= MAX_OUTGOING:
            self.trouble_counts["busy"] += 1
            if probe is not None:  # reported later: the core's actions are still being performed
                self.deadlines.after(0.0, lambda: self.probe_ended(probe, self.clock.now(), False))
            return
        self.outgoing_count += 1
        host = self.site.listen[0]
        bind = None if host in ("0.0.0.0", "") else (host, 0)  # so that the peer sees this router's address
        self.reactor.connectTCP(
            *to,
            OutgoingFactory(self, first_message, probe),
            timeout=IDLE_TIMEOUT_MS / 1000.0,
            bindAddress=bind,
        )
