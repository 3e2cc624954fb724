"""Log lines about single requests and connections, for the analysis of incidents; off by default.

Each line names the session, the phase of the process and the reason of a retry, refusal, give-up or close.
"""

from __future__ import annotations

from twisted.logger import Logger

SERVING = "serving"


class RequestLog:
    """Writes lines about requests and connections while `enabled`."""

    log = Logger()

    def __init__(self) -> None:
        self.enabled = False
        self.phase = SERVING  # of the process, as the shutdown sets it

    def request(self, session_id: str, event: str, **details: object) -> None:
        """Log an event of a request."""
        if self.enabled:
            self._write(f"request {session_id}: {event}", details)

    def connection(self, peer: str, event: str, **details: object) -> None:
        """Log an event of a client's connection."""
        if self.enabled:
            self._write(f"connection from {peer}: {event}", details)

    def server(self, name: str, event: str, **details: object) -> None:
        """Log an event of the connections to a media server."""
        if self.enabled:
            self._write(f"media server {name}: {event}", details)

    def _write(self, text: str, details: dict[str, object]) -> None:
        pairs = "".join(f", {name} {value}" for name, value in details.items())
        self.log.info("{text}{pairs}, phase {phase}", text=text, pairs=pairs, phase=self.phase)
