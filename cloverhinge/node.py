"""One stream router: builds the parts from the configuration, starts them, and ends them in order."""

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
from cloverhinge.core.clock import Clock, to_ms
from cloverhinge.core.config_values import ConfigError
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.router import Router
from cloverhinge.decision import interface as api
from cloverhinge.discovery.updates import ListUpdate, ServerAddress
from cloverhinge.discovery.watch import DiscoveryWatch
from cloverhinge.operations.admin import AdminFactory, snapshot
from cloverhinge.rtsp.front import Front
from cloverhinge.rtsp.media_servers import MediaServers
from cloverhinge.shutdown import Hooks, Phase, Shutdown
from cloverhinge.site import AcmeSettings, HlsSettings, Site

CATCH_UP_TIMEOUT_MS = 3000.0  # a change log that tells nothing for so long is not waited for; 6 s are given
BACKLOG = 256
PUBLISH_PERIOD_MS = 1000.0  # pace at which the facts for other routers are looked at

reactor: Any = _reactor


class Component(Protocol):
    """A part that the site file turns on; later ones build on earlier ones."""

    key: str  # under which the admin's answer shows its status

    def start(self) -> None: ...

    def begin_shutdown(self) -> None:
        """SIGTERM has come; the listener is still open."""

    def status(self) -> dict[str, Any]: ...


class Node:
    log = Logger()

    def __init__(self, config: Config, site: Site) -> None:
        self.config, self.site = config, site
        self.clock = Clock()
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        self.router = Router(config.settings, config.seed, self.clock, self.deadlines)
        self.media_servers = MediaServers(
            reactor,
            self.router,
            self.clock,
            self.deadlines,
            config.connect_ms,
            config.idle_ms,
            config.sockets,
        )
        self.front = Front(
            self.router, self.media_servers, self.clock, self.deadlines, most=config.sockets * 3 // 8
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
        self.shutdown = Shutdown(
            config.name,
            self.front,
            self.router,
            self.deadlines,
            self._max_wait_ms(),
            Hooks(
                listeners=self._listeners,
                closed=self._listeners_closed,
                owns=lambda: self.ownership is not None and self.ownership.busy,
                ended=self._ended,
                stop=reactor.stop,
            ),
        )
        self.rtsp_listener: Any = None
        self.hls_listeners: list[Any] = []
        self.plays: Any = None  # of the HLS front, where there is one
        self.certificate_renewal: Any = None  # of certificates
        self.admission: Any = None  # the door, where there is one
        if site.admission is not None:
            from cloverhinge.admission.gateway import AdmissionGateway  # loaded only where the door is wanted

            self.admission = AdmissionGateway(site.admission, self.router, self.deadlines, config.seed)
            self.front.identify = self.admission.clients.identify
        self.components: list[Component] = []
        self.operations: Any = None  # of the staff, where the platform tells of them
        if config.operator_address is not None or config.listener_fd is not None:
            from cloverhinge.operations.component import Operation  # loaded only where the staff call

            folder = os.environ.get("TMPDIR")
            self.operations = Operation(
                reactor,
                config.name,
                config.operator_address,
                Path(folder) if folder else None,
                config.sockets,
                self.router,
                self.deadlines,
            )
            self.operations.shared = self.media_servers.share
        if site.members is not None:
            from cloverhinge.members.transport import (
                MembershipTransport,  # loaded only where there are other routers
            )

            self.members = MembershipTransport(
                reactor, site.members, config.name, self.clock, self.deadlines, config.seed
            )
            self.components.append(self.members)
        self.ownership: Any = None  # of work in hand, where it is wanted
        if site.ownership is not None:
            from cloverhinge.ownership.component import Part as Custody  # loaded only where routers keep work
            from cloverhinge.rtsp.replicated_sessions import KeptSessions

            self.ownership = Custody(
                site.ownership,
                self.members,
                self.router,
                self.clock,
                self.deadlines,
                config.seed,
                None if site.store is None else site.store.folder,
            )
            KeptSessions(self.ownership, self.router, self.front, self.media_servers)
            if self.admission is not None and site.admission is not None:
                from cloverhinge.admission.replicated_reservations import ReplicatedReservations

                ReplicatedReservations(self.ownership, self.admission, site.admission.max_retry_after_ms)
            self.components.append(self.ownership)
        self.started_ms = self.clock.now()

    def start(self) -> None:
        for at, change in enumerate(self.config.initial_updates):
            self.apply_update(change, api.ListKind.CACHED if at == 0 else None)
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
            # Guards against standing still in `accept` where the other process took what was there.
            os.set_blocking(self.config.listener_fd, False)
            self.rtsp_listener = reactor.adoptStreamPort(self.config.listener_fd, socket.AF_INET, self.front)
            self.rtsp_listener.stopReading()  # until the list is known: another process may serve meanwhile
            self.discovery.when_caught_up(self._serve, CATCH_UP_TIMEOUT_MS)

    def _serve(self) -> None:
        if self.stopping:
            return
        self.rtsp_listener.startReading()
        self.log.info(
            "{name}: listening on {host}:{port}, {boxes} boxes known",
            name=self.config.name,
            host=self.config.listen[0],
            port=self.rtsp_listener.getHost().port,
            boxes=len(self.servers),
        )
        if self.site.admin is not None:
            commands: dict[str, Callable[[str], dict[str, Any]]] = (
                {} if self.ownership is None else {"custody": self.ownership.look}
            )
            if self.operations is not None:
                commands |= self.operations.commands()
            admin = reactor.listenTCP(
                self.site.admin[1], AdminFactory(self.status, commands), interface=self.site.admin[0]
            )
            self.log.info(
                "{name}: admin on 127.0.0.1:{port}", name=self.config.name, port=admin.getHost().port
            )
        if self.site.hls is not None:
            self._start_hls(self.site.hls, self.site.acme)
        for part in self.components:
            part.start()
        if self.operations is not None:
            self.operations.serving()
        if self.site.members is not None:
            self._publish()

    def _publish(self) -> None:
        """What the other routers are told of this one; the members set the pace at which it leaves."""
        if self.stopping:
            return
        router, host = self.router, self.config.listen[0]
        places = sum(router.settings.places_by_kind.get(x.kind, 0) for x in router.listings.values())
        web = [x.getHost() for x in self.hls_listeners]
        self.members.publish(
            {
                "version": __version__,
                "rtsp": f"{host}:{self.rtsp_listener.getHost().port}",
                "hls": [f"{x.host}:{x.port}" for x in web],
                "capacity": places,
                "open": router.open_requests,
                "load": sum(len(x) for x in router.established.values()),
            }
        )
        self.deadlines.after(PUBLISH_PERIOD_MS, self._publish)

    def _start_hls(self, site: HlsSettings, acme: AcmeSettings | None) -> None:
        from cloverhinge.hls import front, plays  # loaded only where the front is wanted
        from cloverhinge.hls.media_servers import HlsServers

        boxes = HlsServers(
            reactor,
            self.router,
            self.deadlines,
            self.config.connect_ms,
            self.servers,
            site.server_port,
            site.server_addresses,
            site.max_manifest_bytes,
        )
        held = self.plays = plays.Plays(self.router, boxes, self.deadlines, site.idle_ms)
        root = front.HlsFront(
            site,
            self.router,
            boxes,
            held,
            self._proof,
            None if self.admission is None else self.admission.clients.identify,
        )
        if self.ownership is not None:
            from cloverhinge.hls.replicated_plays import KeptPlays

            KeptPlays(self.ownership, held, boxes, site)
        host, port = site.listen
        wired = front.make_factory(root, self.config.sockets // 4, self.deadlines)
        web = reactor.listenTCP(port, wired, backlog=BACKLOG, interface=host)
        self.hls_listeners.append(web)
        self.log.info(
            "{name}: HLS on {host}:{port}, {titles} titles",
            name=self.config.name,
            host=host,
            port=web.getHost().port,
            titles=len(site.titles),
        )
        if acme is not None:
            self._start_acme(acme, wired)

    def _start_acme(self, site: AcmeSettings, wired: Any) -> None:
        from cloverhinge.acme.renewal import CertificateRenewal

        def ready() -> None:
            if self.stopping:
                return
            tls = reactor.listenSSL(
                site.listen[1],
                wired,
                self.certificate_renewal.live,
                backlog=BACKLOG,
                interface=site.listen[0],
            )
            self.hls_listeners.append(tls)
            self.log.info(
                "{name}: HLS over TLS on {host}:{port}",
                name=self.config.name,
                host=site.listen[0],
                port=tls.getHost().port,
            )

        self.certificate_renewal = CertificateRenewal(
            site, self.deadlines, reactor.callFromThread, ready, random.Random(self.config.seed)
        )
        self.certificate_renewal.start()

    def _proof(self, token: str) -> str | None:
        return None if self.certificate_renewal is None else self.certificate_renewal.proofs.get(token)

    def status(self) -> dict[str, Any]:
        certificate = None
        if self.certificate_renewal is not None:
            certificate = {
                "domains": list(self.certificate_renewal.settings.domains),
                "expires_ms": self.certificate_renewal.expires_ms,
                "error": self.certificate_renewal.error,
            }
        return (
            snapshot(
                self.config.name,
                self.router,
                self.media_servers,
                self.servers,
                self.started_ms,
                certificate,
                len(self.plays.table) if self.plays is not None else 0,
                self.admission.status() if self.admission is not None else [],
            )
            | {part.key: part.status() for part in self.components}
            | ({} if self.operations is None else {"operation": self.operations.status()})
        )

    def apply_update(self, update: ListUpdate, kind: api.ListKind | None = None) -> None:
        """A list, or a change of one: the router first, as it says what may still be written to."""
        if update.full and not update.rows and self.servers:
            update, kind = self._all_draining(update), api.ListKind.DELTA
        if self.operations is not None:
            self.operations.listed(box.name for box, _ in update.rows)
        kind = kind or (api.ListKind.FULL if update.full else api.ListKind.DELTA)
        if kind is not api.ListKind.DELTA:
            self.servers.clear()  # in place: both sides look boxes up in it
        for box, listing in update.rows:
            self.servers.pop(box.number, None)
            if listing.health is not api.Health.GONE:
                self.servers[box.number] = box
        self.router.update_fleet(kind, (listing for _, listing in update.rows))
        self.media_servers.follow(self.servers)
        self.log.info(
            "list {seq}: {rows} boxes changed, {boxes} listed",
            seq=update.seq,
            rows=len(update.rows),
            boxes=len(self.servers),
        )

    def _all_draining(self, change: ListUpdate) -> ListUpdate:
        """Guards what plays against a whole list that is empty, which may be a fault of the log: nothing new
        is sent to any server until it is told again, and no session is ended."""
        self.log.warn(
            "list {seq} is empty: nothing new is sent to the {boxes} servers known",
            seq=change.seq,
            boxes=len(self.servers),
        )
        listings = self.router.listings
        return replace(
            change,
            full=False,
            rows=tuple(
                (box, replace(listings[number], health=api.Health.DRAINING))
                for number, box in self.servers.items()
                if number in listings
            ),
        )

    def reload(self) -> None:
        """SIGHUP: read the configuration anew.  One that is bad or half written leaves the old one in force.

        The change log's address and the times of connections change at once; sessions go on.  The rest is
        what the module and the tables were built with, and changes at the next start.
        """
        try:
            told = from_environment()
        except ConfigError as error:
            self.log.error(
                "{name}: keeps its configuration: {error}", name=self.config.name, error=str(error)[:500]
            )
            return
        self.media_servers.connect_ms, self.media_servers.idle_ms = told.connect_ms, told.idle_ms
        self.discovery.follow(told.changelog)
        self.log.info(
            "{name}: configuration read anew, change log at {host}:{port}",
            name=self.config.name,
            host=told.changelog[0],
            port=told.changelog[1],
        )

    def terminate(self) -> None:
        """SIGTERM: go on taking what still comes, answer all of it, then end."""
        if self.shutdown.phase is not Phase.SERVING:
            return
        for part in self.components:
            part.begin_shutdown()
        if self.operations is not None:
            self.operations.begin_shutdown()
        self.shutdown.begin(shared_listener=self.config.listener_fd is not None)

    @property
    def stopping(self) -> bool:
        """Whether SIGTERM has come."""
        return self.shutdown.phase is not Phase.SERVING

    def _max_wait_ms(self) -> float:
        """The longest that a client waits for an answer."""
        return max((to_ms(x.deadline_us) for x in self.config.settings.classes), default=0.0)

    def _listeners(self) -> list[Any]:
        return [port for port in (self.rtsp_listener, *self.hls_listeners) if port is not None]

    def _listeners_closed(self) -> None:
        if self.admission is not None:
            self.admission.close()

    def _ended(self) -> None:
        if self.operations is not None:
            self.operations.ended()


def serve(config: Config, site: Site) -> int:
    observer: Any = textFileLogObserver(sys.stderr)
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
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
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # one that came before is heard now
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(node.terminate))
        signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(node.terminate))
        guarded(node.start)
        gc.collect()
        gc.freeze()  # what was built for good need not be walked again

    reactor.callWhenRunning(begin)
    reactor.run()
    return 1 if failures else 0
