"""The core's port towards a client of one RTSP session."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cloverhinge.core.model import Cause, Presence
from cloverhinge.decision.interface import Outcome
from cloverhinge.rtsp import messages

if TYPE_CHECKING:
    from cloverhinge.rtsp.client_connection import ClientConnection
    from cloverhinge.rtsp.front import RtspFrontend


class RtspClient:
    """Implements the core's `ClientPort` for one session that was requested over RTSP."""

    def __init__(self, front: RtspFrontend, connection_handle: int, peer: str, session_id: str) -> None:
        """`connection_handle`: of the request's connection, 0 if the client has none to this router."""
        self.front, self.connection_handle, self.peer, self.session_id = (
            front,
            connection_handle,
            peer,
            session_id,
        )
        self.established = False

    def settle_set_up(self) -> ClientConnection | None:
        """Note that the set-up needs no further answer; return its connection if that is still open."""
        connection = self.front.connections.get(self.connection_handle)
        if connection is not None and connection.unanswered.pop(self.session_id, None) is not None:
            self.front.update_rank(connection)
        return connection

    def presence(self) -> Presence:
        """Whether the client is still there, as its connection shows at this moment."""
        connection = self.front.connections.get(self.connection_handle)
        return Presence.GONE if connection is None else connection.presence()

    def left(self, may_have_run: bool) -> None:
        """The core has ended the request because the client is gone; no answer is due."""
        self.settle_set_up()

    def set_established(self, established: bool) -> None:
        """Set whether the session is established, and update the session count of its connection."""
        connection = self.front.connections.get(self.connection_handle)
        if connection is not None and established != self.established:
            connection.established_sessions += 1 if established else -1
            self.front.update_rank(connection)
        self.established = established

    def _answer(self, status: int, fields: dict[str, str] | None = None, body: bytes = b"") -> None:
        connection = self.settle_set_up()
        if connection is not None:
            connection.send(messages.encode_response(status, "1", self.session_id, fields, body))

    def served(self, answer: bytes) -> None:
        """Send the media server's answer; the session is established."""
        self.set_established(True)
        self._answer(200, None, answer)

    def refused(self, retry_after_ms: float, reservation_token: str = "") -> None:
        """Answer that the request was refused, with the time after which to retry and the reservation token.

        The admission queue's estimate may exceed the maximum of the settings, which is then sent instead; a
        client that comes back before its estimate gets a new time.
        """
        sent_ms = min(retry_after_ms, self.front.router.settings.max_retry_after_us / 1000.0)
        fields = {"X-Hold-Off": str(round(sent_ms))} if sent_ms > 0 else {}
        if reservation_token:
            fields["X-Ticket"] = reservation_token
        self._answer(503, fields)

    def failed(self, outcome: Outcome | None) -> None:
        """Answer that the set-up failed or timed out."""
        self._answer(504 if outcome is Outcome.TIMEOUT else 500)

    def conflict(self) -> None:
        """Answer that the session id is in use."""
        self._answer(455)

    def released(self, cause: Cause) -> None:
        """Tell the client that its session has ended."""
        self.set_established(False)
        self.front.deliver(
            self,
            messages.encode_request(
                "TEARDOWN", "rtsp://media/session", 2, self.session_id, {"Reason": f"cause={cause.value}"}
            ),
        )

    def moved(self) -> None:
        """Redirect the client: its session has been ended here in order to be moved."""
        self.set_established(False)
        self.front.deliver(
            self, messages.encode_request("REDIRECT", "rtsp://media/session", 5, self.session_id)
        )
