"""The sockets of a member: one port for both UDP and TCP."""

from __future__ import annotations

from typing import Any

from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from cloverhinge.core.clock import Clock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.members.transport import MembershipTransport
from cloverhinge.site.model import MembersSettings


class BusyReactor:
    """The reactor on a machine on which the first port that is asked for by its number is in use."""

    def __init__(self) -> None:
        self.refused = False
        self.ports: list[Any] = []

    def _listen(self, method: str, port: int, *arguments: Any, **options: Any) -> Any:
        if port and not self.refused:
            self.refused = True
            raise CannotListenError(options["interface"], port, OSError("in use"))
        self.ports.append(getattr(reactor, method)(port, *arguments, **options))
        return self.ports[-1]

    def listenUDP(self, port: int, *arguments: Any, **options: Any) -> Any:  # noqa: N802
        return self._listen("listenUDP", port, *arguments, **options)

    def listenTCP(self, port: int, *arguments: Any, **options: Any) -> Any:  # noqa: N802
        return self._listen("listenTCP", port, *arguments, **options)


def test_another_port_is_taken_where_the_first_is_in_use_by_the_other_protocol() -> None:
    """Guards against a router that does not start, as a port is in use by one of the two protocols."""
    busy, clock = BusyReactor(), Clock()
    site = MembersSettings(("127.0.0.1", 0), None, (), "s", (b"k" * 32,), 100.0, 1000.0, 2000.0, 2)
    transport = MembershipTransport(busy, site, "r0", clock, Deadlines(clock), 1)
    try:
        host, port = transport._listen()
        assert busy.refused and host == "127.0.0.1"
        assert [x.getHost().port for x in busy.ports[-2:]] == [port, port]
    finally:
        for listener in busy.ports:
            listener.stopListening()
