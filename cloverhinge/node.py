"""One stream router: builds its components from the configuration, starts them and shuts them down."""

from __future__ import annotations

import gc
import os
import random
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, Protocol

from twisted.internet import reactor as _reactor
from twisted.internet.error import CannotListenError
from twisted.logger import Logger, globalLogBeginner, textFileLogObserver

from cloverhinge import __version__
from cloverhinge.config import Config, from_environment
from cloverhinge.core import containment
from cloverhinge.core.clock import Clock, to_ms
from cloverhinge.core.config_values import ConfigError
from cloverhinge.core.containment import contained
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.router import Router
from cloverhinge.decision import interface as api
from cloverhinge.discovery.updates import ListUpdate, ServerAddress
from cloverhinge.discovery.watch import DiscoveryWatch
from cloverhinge.operations.admin import AdminFactory, snapshot
from cloverhinge.rtsp.front import RtspFrontend
from cloverhinge.rtsp.media_servers import MediaServers
from cloverhinge.shutdown import Hooks, Phase, Shutdown
from cloverhinge.site import HlsSettings, Site

CATCH_UP_TIMEOUT_MS = (
    3000.0  # a change log that sends nothing for this long is not waited for; 6 s are allowed
)
BACKLOG = 256
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)  # that the process handles
BYTES_PER_MB = 1 << 20
CLIENT_OUTPUT_SHARE = 1 / 8  # of the memory limit, for answers that clients have not read yet
READ_AHEAD_SHARE = 1 / 32  # of the memory limit, for clients' input that waits to be parsed
SERVER_OUTPUT_SHARE = 1 / 16  # of the memory limit, for what media servers have not read yet
PUBLISH_PERIOD_MS = 1000.0  # interval at which the facts for other routers are updated

reactor: Any = _reactor


class Component(Protocol):
    """A component that the site file turns on; later ones build on earlier ones."""

    key: str  # of its status in the answer of the admin socket

    def start(self) -> None:
        """Start once the router serves clients."""
        ...

    def begin_shutdown(self) -> None:
        """SIGTERM has been received; the listeners are still open."""

    def status(self) -> dict[str, Any]:
        """Its part of the status, as values of JSON."""
        ...


class Node:
    """A router process with all its components."""

    log = Logger()

    def __init__(self, config: Config, site: Site) -> None:
        """Optional components are imported and built only where the configuration or the site file asks for
        them."""
        self.config, self.site = config, site
        self.clock = Clock()
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        self.router = Router(config.settings, config.seed, self.clock, self.deadlines)
        self.router.request_log.enabled = config.log_requests
        self.media_servers = MediaServers(
            reactor,
            self.router,
            self.clock,
            self.deadlines,
            config.connect_ms,
            config.idle_ms,
            config.sockets,
            max_waiting_bytes=int(config.memory_mb * BYTES_PER_MB * SERVER_OUTPUT_SHARE),
        )
        self.front = RtspFrontend(
            self.router,
            self.media_servers,
            self.clock,
            self.deadlines,
            max_connections=config.sockets * 3 // 8,
            max_waiting_bytes=int(config.memory_mb * BYTES_PER_MB * CLIENT_OUTPUT_SHARE),
            max_read_ahead_bytes=int(config.memory_mb * BYTES_PER_MB * READ_AHEAD_SHARE),
        )
        self.servers: dict[int, ServerAddress] = {}
        self.discovery = DiscoveryWatch(
            reactor,
            config.changelog,
            config.seq,
            self.deadlines,
            self.apply_update,
            random.Random(config.seed),
        )
        self.media_servers.list_is_current = lambda: self.discovery.is_current
        self.shutdown = Shutdown(
            config.name,
            self.front,
            self.router,
            self.deadlines,
            self._longest_deadline_ms(),
            Hooks(
                listeners=self._listeners,
                closed=self._listeners_closed,
                close_idle=lambda: 0 if self.hls is None else self.hls.close_idle(),
                answer=self._answer,
                owns=lambda: self.ownership is not None and self.ownership.busy,
                ended=self._ended,
                stop=stop_reactor,
            ),
        )
        self.rtsp_listener: Any = None
        self.hls: Any = None  # if the HLS front is on, once it has been started
        self.admission: Any = None  # if admission control is on
        if site.admission is not None:
            from cloverhinge.admission.gateway import (
                AdmissionGateway,
            )  # loaded only if admission control is on

            self.admission = AdmissionGateway(site.admission, self.router, self.deadlines, config.seed)
            self.front.identify = self.admission.clients.identify
        self.components: list[Component] = []
        self.operations: Any = None  # if operator commands are on, or another process may share the listener
        if config.operator_address is not None or config.listener_fd is not None:
            from cloverhinge.operations.component import OperationsComponent  # loaded only if it is needed

            folder = os.environ.get("TMPDIR")
            self.operations = OperationsComponent(
                reactor,
                config.name,
                config.operator_address,
                Path(folder) if folder else None,
                config.sockets,
                self.router,
                self.deadlines,
            )
            self.operations.on_sharing_changed = self.media_servers.set_process_count
            if config.listener_fd is not None:
                self.operations.share_sessions(self.front, self.media_servers)
        if site.members is not None:
            # Loaded only if there are other routers.
            from cloverhinge.members.transport import MembershipTransport

            self.members = MembershipTransport(
                reactor, site.members, config.name, self.clock, self.deadlines, config.seed
            )
            self.components.append(self.members)
        self.ownership: Any = None  # if sessions are replicated to other routers
        if site.ownership is not None:
            # Loaded only where routers hold replicas of each other's work.
            from cloverhinge.ownership.component import OwnershipComponent
            from cloverhinge.rtsp.replicated_sessions import ReplicatedSessions

            self.ownership = OwnershipComponent(
                site.ownership,
                self.members,
                self.router,
                self.clock,
                self.deadlines,
                config.seed,
                None if site.store is None else site.store.folder,
            )
            ReplicatedSessions(self.ownership, self.router, self.front, self.media_servers)
            if self.admission is not None and site.admission is not None:
                from cloverhinge.admission.replicated_reservations import ReplicatedReservations

                ReplicatedReservations(self.ownership, self.admission, site.admission.max_retry_after_ms)
            self.components.append(self.ownership)
        self.started_ms = self.clock.now()

    def start(self) -> None:
        """Apply the cached list of media servers, start the components and begin to listen.

        On an inherited listener, begin to accept once the list is current, or the change log's time is up.
        """
        for index, update in enumerate(self.config.initial_updates):
            self.apply_update(update, api.ListKind.CACHED if index == 0 else None)
        self.discovery.start()
        self.media_servers.start()
        self.front.start()
        if self.operations is not None:
            self.operations.start()
        if self.config.listener_fd is None:
            host, port = self.config.listen
            self.rtsp_listener = reactor.listenTCP(port, self.front, backlog=BACKLOG, interface=host)
            self._serve()
        else:
            # A blocking `accept` would stop this process where the other one has accepted the connection.
            os.set_blocking(self.config.listener_fd, False)
            self.rtsp_listener = reactor.adoptStreamPort(self.config.listener_fd, socket.AF_INET, self.front)
            self.rtsp_listener.stopReading()  # until the list is current; another process may serve meanwhile
            self.discovery.when_caught_up(self._serve, CATCH_UP_TIMEOUT_MS)

    def _serve(self) -> None:
        if self.stopping:
            return
        self.rtsp_listener.startReading()
        self.log.info(
            "{name}: listening on {host}:{port}, {servers} media servers known",
            name=self.config.name,
            host=self.config.listen[0],
            port=self.rtsp_listener.getHost().port,
            servers=len(self.servers),
        )
        if self.site.admin is not None:
            commands: dict[str, Callable[[str], dict[str, Any]]] = (
                {} if self.ownership is None else {"custody": self.ownership.look_up}
            )
            if self.operations is not None:
                commands |= self.operations.commands()
            admin = reactor.listenTCP(
                self.site.admin[1],
                AdminFactory(self.deadlines, self.status, commands),
                interface=self.site.admin[0],
            )
            self.log.info(
                "{name}: admin on 127.0.0.1:{port}", name=self.config.name, port=admin.getHost().port
            )
        if self.site.hls is not None:
            self._start_hls(self.site.hls)
        for component in self.components:
            component.start()
        if self.operations is not None:
            self.operations.begin_serving()
        if self.site.members is not None:
            self.deadlines.repeat(PUBLISH_PERIOD_MS, self._publish)

    def _publish(self) -> None:
        """Update the facts that other routers know of this one; the members component decides when to send
        them."""
        if self.stopping:
            return
        router, host = self.router, self.config.listen[0]
        capacity = sum(
            router.settings.places_by_kind.get(listing.kind, 0) for listing in router.listings.values()
        )
        hls_hosts = [] if self.hls is None else [listener.getHost() for listener in self.hls.listeners]
        self.members.publish(
            {
                "version": __version__,
                "rtsp": f"{host}:{self.rtsp_listener.getHost().port}",
                "hls": [f"{address.host}:{address.port}" for address in hls_hosts],
                "capacity": capacity,
                "open": router.open_requests,
                "load": sum(len(sessions) for sessions in router.established.values()),
            }
        )

    def _start_hls(self, settings: HlsSettings) -> None:
        from cloverhinge.hls.component import HlsComponent  # loaded only if the HLS front is on

        self.hls = HlsComponent(
            reactor,
            self.config,
            settings,
            self.site.acme,
            self.router,
            self.deadlines,
            self.servers,
            self.admission,
            self.ownership,
        )
        self.hls.start(is_stopping=lambda: self.stopping)

    def status(self) -> dict[str, Any]:
        """The router's status, as values of JSON."""
        return (
            snapshot(
                self.config.name,
                self.router,
                self.media_servers,
                self.servers,
                self.started_ms,
                None if self.hls is None else self.hls.certificate_status(),
                0 if self.hls is None else self.hls.play_count,
                self.admission.status() if self.admission is not None else [],
            )
            | {component.key: component.status() for component in self.components}
            | ({} if self.operations is None else {"operation": self.operations.status()})
        )

    def apply_update(self, update: ListUpdate, kind: api.ListKind | None = None) -> None:
        """Apply a list of media servers, or a change of one: to the router before the connections, as the
        router decides which servers may still be written to.

        `kind` is given for a cached list only.
        """
        if update.full and not update.rows and self.servers:
            update, kind = self._all_draining(update), api.ListKind.DELTA
        if self.operations is not None:
            self.operations.add_known_ids(server.name for server, _ in update.rows)
        kind = kind or (api.ListKind.FULL if update.full else api.ListKind.DELTA)
        if kind is not api.ListKind.DELTA:
            self.servers.clear()  # in place, as the RTSP and HLS sides use the same dictionary
        for server, listing in update.rows:
            self.servers.pop(server.number, None)
            if listing.health is not api.Health.GONE:
                self.servers[server.number] = server
        with contained("the router applies a list"):
            self.router.update_fleet(kind, (listing for _, listing in update.rows))
        with contained("the connections follow a list"):
            self.media_servers.update_list(self.servers)
        self.log.info(
            "list {seq}: {rows} media servers changed, {servers} listed",
            seq=update.seq,
            rows=len(update.rows),
            servers=len(self.servers),
        )

    def _all_draining(self, update: ListUpdate) -> ListUpdate:
        """Replace a full but empty list, which may be a fault of the change log, by one on which all servers
        drain: none gets new sessions until it is listed again, and no session is ended."""
        self.log.warn(
            "list {seq} is empty: no new sessions are sent to the {servers} media servers known",
            seq=update.seq,
            servers=len(self.servers),
        )
        listings = self.router.listings
        return replace(
            update,
            full=False,
            rows=tuple(
                (server, replace(listings[number], health=api.Health.DRAINING))
                for number, server in self.servers.items()
                if number in listings
            ),
        )

    def reload(self) -> None:
        """Read the configuration again, on SIGHUP.  If it is invalid or incomplete, the old one remains.

        The change log's address and the time-outs of connections change at once, and sessions continue.  The
        decision module and the tables were built with the other values, which change at the next start.
        """
        try:
            config = from_environment()
        except ConfigError as error:
            self.log.error(
                "{name}: keeps its configuration: {error}", name=self.config.name, error=str(error)[:500]
            )
            return
        self.media_servers.connect_ms, self.media_servers.idle_ms = config.connect_ms, config.idle_ms
        self.discovery.set_address(config.changelog)
        self.log.info(
            "{name}: configuration read anew, change log at {host}:{port}",
            name=self.config.name,
            host=config.changelog[0],
            port=config.changelog[1],
        )

    def terminate(self, signalled_ms: float) -> None:
        """Shut down, on the SIGTERM of this Unix time: what still arrives is answered before the exit."""
        if self.shutdown.phase is not Phase.SERVING:
            return
        for component in self.components:
            component.begin_shutdown()
        if self.operations is not None:
            self.operations.begin_shutdown()
        self.shutdown.begin(self.config.listener_fd is not None, signalled_ms)

    @property
    def stopping(self) -> bool:
        """Whether the shutdown has begun."""
        return self.shutdown.phase is not Phase.SERVING

    def _longest_deadline_ms(self) -> float:
        """The longest time for which a client waits for an answer."""
        return max(
            (to_ms(service_class.deadline_us) for service_class in self.config.settings.classes), default=0.0
        )

    def _listeners(self) -> list[Any]:
        hls_listeners = [] if self.hls is None else self.hls.listeners
        return [port for port in (self.rtsp_listener, *hls_listeners) if port is not None]

    def _listeners_closed(self) -> None:
        if self.admission is not None:
            self.admission.close()
        if self.hls is not None:
            self.hls.begin_close()

    def _answer(self) -> None:
        if self.ownership is not None:
            self.ownership.send_answers()
        if self.hls is not None:
            self.hls.refuse_fetches()

    def _ended(self) -> None:
        if self.operations is not None:
            self.operations.stop()


def stop_reactor() -> None:
    """Stop the reactor; signals are held back from now on, as the reactor restores their default actions."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    reactor.stop()


def serve(config: Config, site: Site) -> int:
    """Run a router until SIGTERM or SIGINT; returns the exit status, 1 if it could not start."""
    observer: Any = textFileLogObserver(sys.stderr)
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    containment.log_exception = lambda step: Node.log.failure("unexpected exception while {step}", step=step)
    node = Node(config, site)
    failures: list[BaseException] = []

    def guarded(call: Callable[[], None]) -> None:
        try:
            call()
        except CannotListenError as error:
            failures.append(error)
            Node.log.error("could not start: {error}", error=str(error))
            reactor.stop()
        except Exception as error:
            failures.append(error)
            Node.log.failure("could not start")
            reactor.stop()

    def begin() -> None:
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(node.reload))
        signal.pthread_sigmask(
            signal.SIG_UNBLOCK, {signal.SIGHUP}
        )  # one that arrived earlier is delivered now
        for number in (signal.SIGTERM, signal.SIGINT):
            # The time counts from the signal, which may come during a long turn of the reactor.
            signal.signal(number, lambda *_: reactor.callFromThread(node.terminate, node.clock.now()))
        guarded(node.start)
        gc.collect()
        gc.freeze()  # objects built at the start live as long as the process: exclude them from collections

    reactor.callWhenRunning(begin)
    reactor.run()
    # The interpreter's exit restores the default actions of handled signals, not those of ignored ones.
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    return 1 if failures else 0
