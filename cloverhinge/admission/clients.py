"""Who asks: a client by the word of its page, else by the viewer's network, else one of the others.  Free
of I/O."""

from __future__ import annotations

import hashlib
import hmac
from functools import lru_cache
from ipaddress import ip_address

from cloverhinge.site.model import ClientSite

MAX_CACHED_PEERS = 4096  # addresses whose client is remembered
PROOF_LENGTH = 64  # hex digits of an HMAC-SHA256


class ProofError(ValueError):
    """A proof that does not fit, in one plain sentence."""


class Clients:
    """`others` is the last of the clients that the site names."""

    def __init__(self, sites: tuple[ClientSite, ...]) -> None:
        self.sites = sites
        self.by_name = {one.name: at for at, one in enumerate(sites)}
        nets = [(net, at) for at, one in enumerate(sites) for net in one.networks]
        self.networks = sorted(nets, key=lambda x: -x[0].prefixlen)  # the narrowest first
        self.find_by_peer = lru_cache(MAX_CACHED_PEERS)(self._find_by_peer)

    @property
    def others(self) -> int:
        return len(self.sites) - 1

    def _find_by_peer(self, peer: str) -> int:
        try:
            address = ip_address(peer)
        except ValueError:
            return self.others
        return next((at for net, at in self.networks if address in net), self.others)

    def identify(self, peer: str, name: str, proof: str, subject: str) -> int:
        """The client's number.  `what` is the play id or session that the proof was made for."""
        if not name and not proof:
            return self.find_by_peer(peer)
        at = self.by_name.get(name)
        key = self.sites[at].key if at is not None else b""
        fits = hmac.compare_digest(
            compute_proof(key, name, subject).encode(), proof.lower().encode("utf-8", "replace")
        )
        if at is None or not key or not fits:
            raise ProofError("the proof does not fit the client that it names")
        return at


def compute_proof(key: bytes, name: str, subject: str) -> str:
    """What a client's page adds for a viewer: hex HMAC-SHA256 (RFC 2104) of `NAME/ID` under the client's
    key."""
    return hmac.new(key, f"{name}/{subject}".encode(), hashlib.sha256).hexdigest()
