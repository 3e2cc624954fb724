"""Plays as custody keeps them: `h/TOKEN`, the token made from the play id by a key that all routers have."""

from __future__ import annotations

import hashlib
import hmac

from twisted.internet.defer import Deferred

from cloverhinge.core.model import Request, State
from cloverhinge.hls.media_servers import HlsBoxes
from cloverhinge.hls.plays import BUSY_MS, Final, Over, Play, Plays, PlayViewer
from cloverhinge.ownership.component import CLAIM_TIMEOUT_MS, OwnershipComponent
from cloverhinge.ownership.model import Verdict
from cloverhinge.ownership.register import Phase, Work
from cloverhinge.ownership.replicated_work import ReplicatedSession
from cloverhinge.site.model import HlsSite

RECORD_PREFIX = "h"
REPEATABLE_CLAIM_TIMEOUT_MS = 100.0  # for keepers to answer a repeatable claim, which is served without them
SET_UP_RESERVE_MS = 600.0  # of a viewer's time that is left for the set-up
FIND_TIMEOUT_MS = 3000.0  # for a playlist's session to be found: two leases
TOKEN_LENGTH = 32  # characters


class ReplicatedPlays:
    """The plays' `Custody`, and the front's side of it."""

    def __init__(self, ownership: OwnershipComponent, plays: Plays, servers: HlsBoxes, site: HlsSite) -> None:
        self.ownership, self.plays, self.servers, self.titles = ownership, plays, servers, site.titles
        self.token_key = hashlib.sha256(b"cloverhinge play\0" + site.key).digest()
        plays.custody = self
        longest = max((x.length_ms for x in site.titles.values()), default=0.0)
        ownership.add_front(RECORD_PREFIX, self, site.idle_ms + longest)

    # The plays' `Custody`

    def token(self, play_id: str) -> str:
        return hmac.new(self.token_key, play_id.encode(), hashlib.sha256).hexdigest()[:TOKEN_LENGTH]

    async def claim(self, play: Play) -> None:
        part, id = self.ownership, f"{RECORD_PREFIX}/{play.token}"
        held = part.core.owned.get(id)
        if held is not None and not held.hand_over_to and held.work.phase is Phase.INTENT:
            return
        if part.core.leaving:
            raise Final(503, "this router ends, another one serves", BUSY_MS)
        title = play.title
        until = (
            part.clock.now() + part.router.classes[play.class_name].deadline_us / 1000.0 - SET_UP_RESERVE_MS
        )
        kept = ReplicatedSession(
            play.class_name,
            play.title_name,
            play.key,
            first_cell=title.first_cell,
            copies=title.copies,
            ceiling=title.ceiling,
            length_ms=title.length_ms,
            peer_address=play.peer,
        )
        answer: Deferred[tuple[Verdict, Work | None]] = Deferred()
        part.claim(
            id,
            play.paid,
            kept,
            CLAIM_TIMEOUT_MS if play.paid else REPEATABLE_CLAIM_TIMEOUT_MS,
            until,
            lambda verdict, work: answer.callback((verdict, work)),
        )
        verdict, work = await answer
        if verdict is Verdict.FINAL and work is not None:
            if work.phase is Phase.OVER:
                play.over = play.paid
                raise Over
            play.verdict = Final(502, "the set-up failed")
            raise play.verdict
        if verdict is Verdict.OWNED_ELSEWHERE:
            raise Final(503, "another router has this play", BUSY_MS)
        if verdict is Verdict.UNREPLICATED:
            if play.paid and not part.site.serve:
                raise Final(503, "it can't be kept by other routers now", BUSY_MS)
            part.remember(part.served_unreplicated, id)

    async def find(self, token: str) -> None:
        if self.ownership.core.leaving or len(token) != TOKEN_LENGTH:
            return
        answer: Deferred[Verdict] = Deferred()
        self.ownership.find(
            f"{RECORD_PREFIX}/{token}",
            CLAIM_TIMEOUT_MS,
            self.ownership.clock.now() + FIND_TIMEOUT_MS,
            lambda verdict, work: answer.callback(verdict),
        )
        if await answer in (Verdict.OWNED_ELSEWHERE, Verdict.UNREPLICATED):
            raise Final(503, "another router has this session", BUSY_MS)

    def forgot(self, play: Play) -> None:
        self.ownership.end(f"{RECORD_PREFIX}/{play.token}")

    # Custody's `Wire`

    def record_name(self, text: str) -> str:
        return self.token(text)

    def request_of(self, id: str) -> Request | None:
        play = self.plays.by_token.get(id[2:])
        return None if play is None else play.request

    def has_client(self, id: str) -> bool:
        return id[2:] in self.plays.by_token

    def adopt(self, id: str, session: ReplicatedSession) -> bool:
        title = self.titles.get(session.title)
        if title is None or session.class_name not in self.plays.router.classes:
            return False
        try:
            play = self.plays.find(session.viewer_id, session.class_name, session.title, title)
        except Final:
            return False
        if play.request is not None and play.request.state is not State.OVER:
            return True
        play.peer = play.peer or session.peer_address
        play.request = self.ownership.adopt_session(
            session.set_up_request(id), session, PlayViewer(self.plays, play), self.servers
        )
        self.plays.touch(play)
        return play.request is not None

    def ownership_lost(self, id: str) -> None:
        play = self.plays.by_token.get(id[2:])
        if play is not None:
            play.request = None
            self.plays.forget(play)
            play.wake(Final(503, "another router has this play now", BUSY_MS))

    def release_leftover(self, session: ReplicatedSession) -> None:
        self.servers.let_go(session.server, session.session_id)
