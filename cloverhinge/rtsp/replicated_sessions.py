"""The RTSP front's adapter for ownership; records of its sessions are `r/SESSION`."""

from __future__ import annotations

from cloverhinge.core.model import Request, SetUpRequest
from cloverhinge.core.router import Router
from cloverhinge.ownership.component import SESSION_PREFIX, OwnershipComponent
from cloverhinge.ownership.replicated_work import ReplicatedSession, decode, describe, encode, is_same_work
from cloverhinge.rtsp.client import RtspClient
from cloverhinge.rtsp.front import RtspFrontend
from cloverhinge.rtsp.media_servers import MediaServers


class ReplicatedSessions:
    """Implements `FrontAdapter` for the RTSP front."""

    def __init__(
        self, ownership: OwnershipComponent, router: Router, front: RtspFrontend, servers: MediaServers
    ) -> None:
        self.ownership, self.router, self.front, self.servers = ownership, router, front, servers
        servers.is_handed_over = ownership.handed_over.__contains__
        front.replicated_answer = self.replicated_answer
        front.conflicts_with_record = self.conflicts_with_record
        ownership.add_front(SESSION_PREFIX, self)

    def replicated_answer(self, session_id: str) -> bytes:
        """The media server's answer to the session's set-up; empty where none is known."""
        work = self.ownership.core.known_work(f"{SESSION_PREFIX}/{session_id}")
        session = None if work is None else decode(work)
        return b"" if session is None else session.answer

    def conflicts_with_record(self, set_up: SetUpRequest) -> bool:
        """Whether this router has a request, or knows a record, of another session under the set-up's id."""
        body, held = encode(describe(set_up)), self.router.by_session_id.get(set_up.session_id)
        if held is not None and not is_same_work(encode(describe(held.set_up)), body):
            return True
        return self.ownership.core.claim_conflicts(f"{SESSION_PREFIX}/{set_up.session_id}", body)

    def record_name(self, text: str) -> str:
        return text

    def request_of(self, id: str) -> Request | None:
        return self.router.by_session_id.get(id[2:])

    def has_client(self, id: str) -> bool:
        return id[2:] in self.router.by_session_id

    def adopt(self, id: str, session: ReplicatedSession) -> bool:
        if session.session_id in self.router.by_session_id:
            return True  # the session is here, or a client that waits for it and is answered
        client = RtspClient(self.front, 0, session.peer_address, session.session_id)
        request = self.ownership.adopt_session(session.set_up_request(), session, client, self.servers)
        if request is not None:
            client.set_established(True)
        return request is not None

    def ownership_lost(self, id: str) -> None:
        """Sends the viewer nothing: the session continues."""

    def release_leftover(self, session: ReplicatedSession) -> None:
        """Releases nothing while a client of the same session is here: its set-up has the same name."""
        if session.session_id not in self.router.by_session_id:
            self.servers.release_leftover(session.server, session.session_id)
