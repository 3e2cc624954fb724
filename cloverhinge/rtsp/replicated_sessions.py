"""Sessions over RTSP as custody keeps them: `r/SESSION`."""

from __future__ import annotations

from cloverhinge.core.model import Request
from cloverhinge.core.router import Router
from cloverhinge.ownership.component import BY_NAME as LETTER
from cloverhinge.ownership.component import Part
from cloverhinge.ownership.replicated_work import Kept, read
from cloverhinge.rtsp.client import RtspClient
from cloverhinge.rtsp.front import RtspFrontend
from cloverhinge.rtsp.media_servers import MediaServers


class KeptSessions:
    """The front's side of custody."""

    def __init__(self, part: Part, router: Router, front: RtspFrontend, servers: MediaServers) -> None:
        self.part, self.router, self.front, self.servers = part, router, front, servers
        servers.is_handed_over = part.handed.__contains__
        front.replicated_answer = self.answer
        part.serve(LETTER, self)

    def answer(self, name: str) -> bytes:
        work = self.part.core.known_work(f"{LETTER}/{name}")
        kept = None if work is None else read(work)
        return b"" if kept is None else kept.answer

    def own_name(self, text: str) -> str:
        return text

    def held(self, id: str) -> Request | None:
        return self.router.by_session_id.get(id[2:])

    def wanted(self, id: str) -> bool:
        return id[2:] in self.router.by_session_id

    def adopt(self, id: str, kept: Kept) -> bool:
        if kept.name in self.router.by_session_id:
            return True  # it is here, or its viewer is, and is told of it
        viewer = RtspClient(self.front, 0, kept.peer, kept.name)
        request = self.part.carry(kept.ask(), kept, viewer, self.servers)
        if request is not None:
            viewer.set_established(True)
        return request is not None

    def lost(self, id: str) -> None:
        """Its viewer is told nothing: the session goes on."""

    def let_go(self, kept: Kept) -> None:
        """Not while a viewer of that very session is here: its set-up has the same name."""
        if kept.name not in self.router.by_session_id:
            self.servers.release_leftover(kept.server, kept.name)
