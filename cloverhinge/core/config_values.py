"""What is told from outside, whoever reads it: addresses, and the one error for what is wrong."""

from __future__ import annotations


class ConfigError(Exception):
    """One plain sentence on what is wrong with the configuration."""


def parse_address(text: str, min_port: int = 1) -> tuple[str, int]:
    """`host:port`, the port from `lowest` to 65535; ValueError where it is none."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not min_port <= int(port) < 65536:
        raise ValueError(f"{text!r} is no host:port")
    return host, int(port)
