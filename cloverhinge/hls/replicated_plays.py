"""The HLS front's adapter for ownership; records of its plays are `h/TOKEN`.

The token is made from the play id by a key that all routers share.
"""

from __future__ import annotations

import hashlib
import hmac

from twisted.internet.defer import Deferred

from cloverhinge.core.model import Request, State
from cloverhinge.hls.media_servers import HlsServers
from cloverhinge.hls.plays import (
    BUSY_RETRY_AFTER_MS,
    FetchFailed,
    Play,
    PlayClient,
    PlayEnded,
    Plays,
    play_id_in_use,
)
from cloverhinge.ownership.component import CLAIM_TIMEOUT_MS, OwnershipComponent
from cloverhinge.ownership.model import Verdict
from cloverhinge.ownership.register import Phase, Work
from cloverhinge.ownership.replicated_work import ReplicatedSession, describe
from cloverhinge.site.model import HlsSettings

RECORD_PREFIX = "h"
REPEATABLE_CLAIM_TIMEOUT_MS = 100.0  # for replicas to answer a repeatable claim, which is served without them
SET_UP_RESERVE_MS = 600.0  # of the class's deadline, left for the set-up after the claim
FIND_TIMEOUT_MS = 3000.0  # for finding the session of a playlist's token: two leases
TOKEN_LENGTH = 32  # characters


class ReplicatedPlays:
    """Implements the plays' port to the ownership of their records, and `FrontAdapter` for the HLS front."""

    def __init__(
        self, ownership: OwnershipComponent, plays: Plays, servers: HlsServers, site: HlsSettings
    ) -> None:
        self.ownership, self.plays, self.servers, self.titles = ownership, plays, servers, site.titles
        self.token_key = hashlib.sha256(b"cloverhinge play\0" + site.url_key).digest()
        plays.ownership = self
        longest = max((x.length_ms for x in site.titles.values()), default=0.0)
        ownership.add_front(RECORD_PREFIX, self, site.idle_ms + longest)

    # The plays' port

    def token(self, play_id: str) -> str:
        """The play's token: the same at each router."""
        return hmac.new(self.token_key, play_id.encode(), hashlib.sha256).hexdigest()[:TOKEN_LENGTH]

    async def claim(self, play: Play) -> None:
        """Acquires the play's record before its set-up; raises the answer where it may not be set up here."""
        ownership, id = self.ownership, f"{RECORD_PREFIX}/{play.token}"
        record = ownership.core.owned.get(id)
        if record is not None and not record.hand_over_to and record.work.phase is Phase.INTENT:
            return
        if ownership.core.leaving:
            raise FetchFailed(503, "this router ends, another one serves", BUSY_RETRY_AFTER_MS)
        deadline_ms = (
            ownership.clock.now()
            + ownership.router.classes[play.class_name].deadline_us / 1000.0
            - SET_UP_RESERVE_MS
        )
        session = describe(self.plays.set_up_request(play, session_id=""))
        answer: Deferred[tuple[Verdict, Work | None]] = Deferred()
        ownership.claim(
            id,
            play.paid,
            session,
            CLAIM_TIMEOUT_MS if play.paid else REPEATABLE_CLAIM_TIMEOUT_MS,
            deadline_ms,
            lambda verdict, work: answer.callback((verdict, work)),
        )
        verdict, work = await answer
        if verdict is Verdict.FINAL and work is not None:
            if work.phase is Phase.OVER:
                play.ended = play.paid
                raise PlayEnded
            play.final_failure = FetchFailed(502, "the set-up failed")
            raise play.final_failure
        if verdict is Verdict.CONFLICT:
            self.plays.forget(play)  # else the player whose id it is would be refused here
            raise play_id_in_use()
        if verdict is Verdict.OWNED_ELSEWHERE:
            raise FetchFailed(503, "another router has this play", BUSY_RETRY_AFTER_MS)
        if verdict is Verdict.UNREPLICATED:
            if play.paid and not ownership.site.serve_unreplicated:
                raise FetchFailed(503, "it can't be kept by other routers now", BUSY_RETRY_AFTER_MS)
            ownership.remember(ownership.served_unreplicated, id)

    async def find(self, token: str) -> None:
        """Takes over the token's session, where one is established; raises the answer where it can't now."""
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
            raise FetchFailed(503, "another router has this session", BUSY_RETRY_AFTER_MS)

    def forgot(self, play: Play) -> None:
        """The front has forgotten the play: its record is over."""
        self.ownership.end(f"{RECORD_PREFIX}/{play.token}")

    # The component's `FrontAdapter`

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
        self._forget_conflicting_play(session)
        try:
            play = self.plays.find_or_add(session.viewer_id, session.class_name, session.title, title)
        except FetchFailed:
            return False
        if play.request is not None and play.request.state is not State.OVER:
            return True
        play.peer_address = play.peer_address or session.peer_address
        play.request = self.ownership.adopt_session(
            session.set_up_request(id), session, PlayClient(self.plays, play), self.servers
        )
        self.plays.touch(play)
        return play.request is not None

    def _forget_conflicting_play(self, session: ReplicatedSession) -> None:
        """Drop a play that a player has begun here under the id of the record, for another title."""
        play = self.plays.by_id.get(session.viewer_id)
        if play is not None and not play.is_of(session.class_name, session.title) and play.request is None:
            self.plays.forget(play)
            play.wake_waiters(play_id_in_use())

    def ownership_lost(self, id: str) -> None:
        play = self.plays.by_token.get(id[2:])
        if play is not None:
            play.request = None
            self.plays.forget(play)
            play.wake_waiters(FetchFailed(503, "another router has this play now", BUSY_RETRY_AFTER_MS))

    def release_leftover(self, session: ReplicatedSession) -> None:
        self.servers.release_session(session.server, session.session_id)
