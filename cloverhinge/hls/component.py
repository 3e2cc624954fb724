"""The HLS front with its listeners, its connections and, if they are on, its certificates."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.logger import Logger

from cloverhinge.config import Config
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.router import Router
from cloverhinge.discovery.updates import ServerAddress
from cloverhinge.hls import connections, front, plays
from cloverhinge.hls.media_servers import HlsServers
from cloverhinge.site import AcmeSettings, HlsSettings

if TYPE_CHECKING:
    from cloverhinge.acme.renewal import CertificateRenewal
    from cloverhinge.admission.gateway import AdmissionGateway
    from cloverhinge.ownership.component import OwnershipComponent

BACKLOG = 256
DESCRIPTORS_PER_CONNECTION = 4  # the front's connections take a quarter of the process's descriptors


class HlsComponent:
    """Builds the HLS front, opens its listeners and closes it when the process ends."""

    log = Logger()

    def __init__(
        self,
        reactor: Any,
        config: Config,
        settings: HlsSettings,
        acme: AcmeSettings | None,
        router: Router,
        deadlines: Deadlines,
        addresses: dict[int, ServerAddress],
        admission: AdmissionGateway | None,
        ownership: OwnershipComponent | None,
    ) -> None:
        """`addresses`: of the media servers, as the node keeps them.  `acme`: None where there is no TLS."""
        self.reactor, self.config, self.settings, self.acme = reactor, config, settings, acme
        self.deadlines = deadlines
        self.listeners: list[Any] = []
        self.renewal: CertificateRenewal | None = None
        servers = HlsServers(
            reactor,
            router,
            deadlines,
            config.connect_ms,
            addresses,
            settings.server_port,
            settings.server_addresses,
            settings.max_manifest_bytes,
        )
        self.plays = plays.Plays(router, servers, deadlines, settings.idle_ms)
        identify = None if admission is None else admission.clients.identify
        self.front = front.HlsFront(settings, router, servers, self.plays, self._proof, identify)
        max_connections = config.sockets // DESCRIPTORS_PER_CONNECTION
        self.connections = connections.make_factory(self.front, max_connections, deadlines)
        if ownership is not None:
            from cloverhinge.hls.replicated_plays import ReplicatedPlays

            ReplicatedPlays(ownership, self.plays, servers, settings)

    def start(self, is_stopping: Callable[[], bool]) -> None:
        """Begin to listen, and to obtain a certificate; `is_stopping`: whether the process ends."""
        host, port = self.settings.listen
        listener = self.reactor.listenTCP(port, self.connections, backlog=BACKLOG, interface=host)
        self.listeners.append(listener)
        self.log.info(
            "{name}: HLS on {host}:{port}, {titles} titles",
            name=self.config.name,
            host=host,
            port=listener.getHost().port,
            titles=len(self.settings.titles),
        )
        if self.acme is not None:
            self._start_renewal(self.acme, is_stopping)

    def _start_renewal(self, acme: AcmeSettings, is_stopping: Callable[[], bool]) -> None:
        from cloverhinge.acme.renewal import CertificateRenewal

        self.renewal = renewal = CertificateRenewal(
            acme,
            self.deadlines,
            self.reactor.callFromThread,
            lambda: None if is_stopping() else self._listen_with_tls(acme, renewal),
            random.Random(self.config.seed),
        )
        renewal.start()

    def _listen_with_tls(self, acme: AcmeSettings, renewal: CertificateRenewal) -> None:
        host, port = acme.listen
        listener = self.reactor.listenSSL(
            port, self.connections, renewal.live, backlog=BACKLOG, interface=host
        )
        self.listeners.append(listener)
        self.log.info(
            "{name}: HLS over TLS on {host}:{port}",
            name=self.config.name,
            host=host,
            port=listener.getHost().port,
        )

    def _proof(self, token: str) -> str | None:
        """The answer to an ACME challenge, if one with this token is pending."""
        return None if self.renewal is None else self.renewal.proofs.get(token)

    def certificate_status(self) -> dict[str, Any] | None:
        """The certificate's part of the router's status; None where there is no TLS."""
        if self.renewal is None:
            return None
        return {
            "domains": list(self.renewal.settings.domains),
            "expires_ms": self.renewal.expires_ms,
            "error": self.renewal.error,
        }

    @property
    def play_count(self) -> int:
        """How many plays there are."""
        return len(self.plays.table)

    # Shutdown

    def begin_close(self) -> None:
        """End each connection with its next answer."""
        self.front.closing = True

    def close_idle(self) -> int:
        """Close idle connections; return how many are still open."""
        return self.connections.close_idle()

    def refuse_fetches(self) -> None:
        """Answer all open fetches and every later one with 503."""
        self.front.refuse_fetches()
