"""Who asks: a client by the word of its page, else by the viewer's network, else one of the others.  Free
of I/O."""

from __future__ import annotations

import hashlib
import hmac
from functools import lru_cache
from ipaddress import ip_address

from cloverhinge.site.model import ClientSite

PEERS_MOST = 4096  # addresses whose client is remembered
PROOF_LENGTH = 64  # hex digits of an HMAC-SHA256


class Forged(ValueError):
    """A proof that does not fit, in one plain sentence."""


class Clients:
    """`others` is the last of the clients that the site names."""

    def __init__(self, told: tuple[ClientSite, ...]) -> None:
        self.told = told
        self.by_name = {one.name: at for at, one in enumerate(told)}
        nets = [(net, at) for at, one in enumerate(told) for net in one.networks]
        self.networks = sorted(nets, key=lambda x: -x[0].prefixlen)  # the narrowest first
        self.of_peer = lru_cache(PEERS_MOST)(self._of_peer)

    @property
    def others(self) -> int:
        return len(self.told) - 1

    def _of_peer(self, peer: str) -> int:
        try:
            address = ip_address(peer)
        except ValueError:
            return self.others
        return next((at for net, at in self.networks if address in net), self.others)

    def identify(self, peer: str, name: str, proof: str, what: str) -> int:
        """The client's number.  `what` is the play id or session that the proof was made for."""
        if not name and not proof:
            return self.of_peer(peer)
        at = self.by_name.get(name)
        key = self.told[at].key if at is not None else b""
        fits = hmac.compare_digest(prove(key, name, what).encode(), proof.lower().encode("utf-8", "replace"))
        if at is None or not key or not fits:
            raise Forged("the proof does not fit the client that it names")
        return at


def prove(key: bytes, name: str, what: str) -> str:
    """What a client's page adds for a viewer: hex HMAC-SHA256 (RFC 2104) of `NAME/ID` under the client's
    key."""
    return hmac.new(key, f"{name}/{what}".encode(), hashlib.sha256).hexdigest()
