"""Plays as custody keeps them: `h/TOKEN`, the token made from the play id by a key that all routers have."""

from __future__ import annotations

import hashlib
import hmac

from twisted.internet.defer import Deferred

from cloverhinge.core.model import Request, State
from cloverhinge.hls.media_servers import HlsServers
from cloverhinge.hls.plays import BUSY_RETRY_AFTER_MS, FetchFailed, Play, PlayClient, PlayEnded, Plays
from cloverhinge.ownership.component import SOON_MS, Part
from cloverhinge.ownership.model import Verdict
from cloverhinge.ownership.register import Phase, Work
from cloverhinge.ownership.replicated_work import Kept
from cloverhinge.site.model import HlsSettings

LETTER = "h"
SHORT_MS = 100.0  # for keepers to answer a repeatable claim, which is served without them
MARGIN_MS = 600.0  # of a viewer's time that is left for the set-up
FIND_MS = 3000.0  # for a playlist's session to be found: two leases
TOKEN = 32  # characters


class KeptPlays:
    """The plays' `Custody`, and the front's side of it."""

    def __init__(self, part: Part, plays: Plays, boxes: HlsServers, site: HlsSettings) -> None:
        self.part, self.plays, self.boxes, self.titles = part, plays, boxes, site.titles
        self.key = hashlib.sha256(b"cloverhinge play\0" + site.url_key).digest()
        plays.ownership = self
        longest = max((x.length_ms for x in site.titles.values()), default=0.0)
        part.serve(LETTER, self, site.idle_ms + longest)

    # The plays' `Custody`

    def token(self, key: str) -> str:
        return hmac.new(self.key, key.encode(), hashlib.sha256).hexdigest()[:TOKEN]

    async def claim(self, play: Play) -> None:
        part, id = self.part, f"{LETTER}/{play.token}"
        held = part.core.owned.get(id)
        if held is not None and not held.hand_over_to and held.work.phase is Phase.INTENT:
            return
        if part.core.leaving:
            raise FetchFailed(503, "this router ends, another one serves", BUSY_RETRY_AFTER_MS)
        title = play.title
        until = part.clock.now() + part.router.classes[play.class_name].deadline_us / 1000.0 - MARGIN_MS
        kept = Kept(
            play.class_name,
            play.title_name,
            play.play_id,
            first_cell=title.first_cell,
            copies=title.copies,
            ceiling=title.ceiling,
            length_ms=title.length_ms,
            peer=play.peer_address,
        )
        answer: Deferred[tuple[Verdict, Work | None]] = Deferred()
        part.claim(
            id,
            play.paid,
            kept,
            SOON_MS if play.paid else SHORT_MS,
            until,
            lambda verdict, work: answer.callback((verdict, work)),
        )
        verdict, work = await answer
        if verdict is Verdict.FINAL and work is not None:
            if work.phase is Phase.OVER:
                play.ended = play.paid
                raise PlayEnded
            play.final_failure = FetchFailed(502, "the set-up failed")
            raise play.final_failure
        if verdict is Verdict.OWNED_ELSEWHERE:
            raise FetchFailed(503, "another router has this play", BUSY_RETRY_AFTER_MS)
        if verdict is Verdict.UNREPLICATED:
            if play.paid and not part.site.serve_unreplicated:
                raise FetchFailed(503, "it can't be kept by other routers now", BUSY_RETRY_AFTER_MS)
            part.note(part.unkept, id)

    async def find(self, token: str) -> None:
        if self.part.core.leaving or len(token) != TOKEN:
            return
        answer: Deferred[Verdict] = Deferred()
        self.part.find(
            f"{LETTER}/{token}",
            SOON_MS,
            self.part.clock.now() + FIND_MS,
            lambda verdict, work: answer.callback(verdict),
        )
        if await answer in (Verdict.OWNED_ELSEWHERE, Verdict.UNREPLICATED):
            raise FetchFailed(503, "another router has this session", BUSY_RETRY_AFTER_MS)

    def forgot(self, play: Play) -> None:
        self.part.end(f"{LETTER}/{play.token}")

    # Custody's `Wire`

    def own_name(self, text: str) -> str:
        return self.token(text)

    def held(self, id: str) -> Request | None:
        play = self.plays.by_token.get(id[2:])
        return None if play is None else play.request

    def wanted(self, id: str) -> bool:
        return id[2:] in self.plays.by_token

    def adopt(self, id: str, kept: Kept) -> bool:
        title = self.titles.get(kept.title)
        if title is None or kept.class_name not in self.plays.router.classes:
            return False
        try:
            play = self.plays.find_or_add(kept.key, kept.class_name, kept.title, title)
        except FetchFailed:
            return False
        if play.request is not None and play.request.state is not State.OVER:
            return True
        play.peer_address = play.peer_address or kept.peer
        play.request = self.part.carry(kept.ask(id), kept, PlayClient(self.plays, play), self.boxes)
        self.plays.touch(play)
        return play.request is not None

    def lost(self, id: str) -> None:
        play = self.plays.by_token.get(id[2:])
        if play is not None:
            play.request = None
            self.plays.forget(play)
            play.wake_waiters(FetchFailed(503, "another router has this play now", BUSY_RETRY_AFTER_MS))

    def let_go(self, kept: Kept) -> None:
        self.boxes.release_session(kept.server, kept.name)
