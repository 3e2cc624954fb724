"""Values that all configuration files share: addresses, and the error for an invalid configuration."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration is invalid; the message says in one sentence what is wrong with it."""


def parse_address(text: str, min_port: int = 1) -> tuple[str, int]:
    """Parse `host:port`, with a port from `min_port` to 65535; raises ValueError otherwise."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not min_port <= int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)
