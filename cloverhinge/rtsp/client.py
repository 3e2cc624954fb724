"""The core's view of one client that asked for a session over RTSP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cloverhinge.core.model import Cause, Presence
from cloverhinge.decision.interface import Outcome
from cloverhinge.rtsp import messages

if TYPE_CHECKING:
    from cloverhinge.rtsp.client_connection import ClientConnection
    from cloverhinge.rtsp.front import RtspFrontend


class RtspClient:
    """The core's `Viewer` for one session asked for over RTSP."""

    def __init__(self, front: RtspFrontend, connection_handle: int, peer: str, session_id: str) -> None:
        """`handle` of the connection that it came on; 0: on none of this router's."""
        self.front, self.connection_handle, self.peer, self.session_id = (
            front,
            connection_handle,
            peer,
            session_id,
        )
        self.established = False

    def settle_set_up(self) -> ClientConnection | None:
        """Nothing is owed on its connection any more; the connection, where it is still open."""
        connection = self.front.connections.get(self.connection_handle)
        if connection is not None and connection.unanswered.pop(self.session_id, None) is not None:
            self.front.update_rank(connection)
        return connection

    def presence(self) -> Presence:
        connection = self.front.connections.get(self.connection_handle)
        return Presence.GONE if connection is None else connection.presence()

    def left(self, may_have_run: bool) -> None:
        self.settle_set_up()

    def set_established(self, now: bool) -> None:
        connection = self.front.connections.get(self.connection_handle)
        if connection is not None and now != self.established:
            connection.established_sessions += 1 if now else -1
            self.front.update_rank(connection)
        self.established = now

    def _answer(self, status: int, fields: dict[str, str] | None = None, body: bytes = b"") -> None:
        connection = self.settle_set_up()
        if connection is not None:
            connection.send(messages.encode_response(status, "1", self.session_id, fields, body))

    def served(self, answer: bytes) -> None:
        self.set_established(True)
        self._answer(200, None, answer)

    def refused(self, hold_off_ms: float, ticket: str = "") -> None:
        """The door's quotes may lie behind what the settings let be told: who comes back earlier is told
        more."""
        told = min(hold_off_ms, self.front.router.settings.max_retry_after_us / 1000.0)
        fields = {"X-Hold-Off": str(round(told))} if told > 0 else {}
        if ticket:
            fields["X-Ticket"] = ticket
        self._answer(503, fields)

    def failed(self, why: Outcome | None) -> None:
        self._answer(504 if why is Outcome.TIMEOUT else 500)

    def released(self, cause: Cause) -> None:
        self.set_established(False)
        self.front.deliver(
            self,
            messages.encode_request(
                "TEARDOWN", "rtsp://media/session", 2, self.session_id, {"Reason": f"cause={cause.value}"}
            ),
        )

    def moved(self) -> None:
        self.set_established(False)
        self.front.deliver(
            self, messages.encode_request("REDIRECT", "rtsp://media/session", 5, self.session_id)
        )
