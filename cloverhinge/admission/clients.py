"""Identifies the client of a request: by a proof from its page, else by the viewer's network, else `others`.

Free of I/O.
"""

from __future__ import annotations

import hashlib
import hmac
from functools import lru_cache
from ipaddress import ip_address

from cloverhinge.site.model import ClientSettings

MAX_CACHED_PEERS = 4096  # peer addresses whose client is cached
PROOF_LENGTH = 64  # hex digits of an HMAC-SHA256


class ProofError(ValueError):
    """An invalid proof; the message is one plain sentence."""


class Clients:
    """The configured clients, numbered in their order; the last one is `others`."""

    def __init__(self, configs: tuple[ClientSettings, ...]) -> None:
        self.configs = configs
        self.by_name = {config.name: index for index, config in enumerate(configs)}
        networks = [(net, index) for index, config in enumerate(configs) for net in config.networks]
        self.networks = sorted(networks, key=lambda x: -x[0].prefixlen)  # longest prefix first
        self.find_by_peer = lru_cache(MAX_CACHED_PEERS)(self._find_by_peer)

    @property
    def others(self) -> int:
        """Number of the client for viewers that match no other client."""
        return len(self.configs) - 1

    def _find_by_peer(self, peer_address: str) -> int:
        """The client whose networks contain an IP address; `others` if there is none or it is not valid."""
        try:
            address = ip_address(peer_address)
        except ValueError:
            return self.others
        return next((index for net, index in self.networks if address in net), self.others)

    def identify(self, peer_address: str, name: str, proof: str, subject: str) -> int:
        """The number of a request's client.

        `subject` is the play id or session id that the proof was made for.  Raises ProofError where a name or
        proof is given and they don't match.
        """
        if not name and not proof:
            return self.find_by_peer(peer_address)
        index = self.by_name.get(name)
        key = self.configs[index].key if index is not None else b""
        matches = hmac.compare_digest(
            compute_proof(key, name, subject).encode(), proof.lower().encode("utf-8", "replace")
        )
        if index is None or not key or not matches:
            raise ProofError("the proof does not fit the client that it names")
        return index


def compute_proof(key: bytes, name: str, subject: str) -> str:
    """The proof that a client's page adds for a viewer.

    It is the HMAC-SHA256 (RFC 2104) of `NAME/ID` under the client's key, in hex.
    """
    return hmac.new(key, f"{name}/{subject}".encode(), hashlib.sha256).hexdigest()
