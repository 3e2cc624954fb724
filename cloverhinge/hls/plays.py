"""Plays: the state that all fetches of one player share, stored under the play id that the player chose.

The play id is the idempotency key.  A fetch joins the set-up in progress or gets the established session.  It
requests another set-up from the core only where the class of service allows one.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred

from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.core.model import Cause, Presence, Request, ServerPort, SetUpRequest, State
from cloverhinge.core.recent_ids import RecentIds
from cloverhinge.core.router import Router
from cloverhinge.core.slots import SlotTable
from cloverhinge.decision.interface import Effect, Outcome
from cloverhinge.hls import manifests
from cloverhinge.site import Title

MAX_PLAYS = 2048
# A paid play is remembered this long after it was forgotten, so that its id is not set up again.
PAID_PLAY_TTL_MS = 600_000.0
MAX_PAID_PLAYS = 16_384  # remembered; when there are more, new paid plays are refused
MAX_WAITERS = 64  # fetches that may wait for one set-up
BUSY_RETRY_AFTER_MS = 1000.0  # the shortest retry-after of a refusal


class FetchFailed(Exception):
    """A fetch ends without a manifest.

    `status` is the HTTP status and `reason` the text of the answer; `retry_after_ms` and `reservation_token`
    go into the fields of a 503.
    """

    def __init__(
        self, status: int, reason: str, retry_after_ms: float = 0.0, reservation_token: str = ""
    ) -> None:
        super().__init__(reason)
        self.status, self.reason, self.retry_after_ms, self.reservation_token = (
            status,
            reason,
            retry_after_ms,
            reservation_token,
        )


def play_id_in_use() -> FetchFailed:
    """The failure of a fetch whose play id belongs to another title or class."""
    return FetchFailed(409, "this play id is in use for another title")


class PlayEnded(Exception):
    """The play has ended; the fetch is answered with an ended playlist."""


@dataclass(frozen=True, slots=True)
class Waiter:
    """A fetch that waits for a set-up; `connected` tells whether its player still has the connection open."""

    connected: Callable[[], bool]
    done: Deferred[None] = field(default_factory=Deferred)


@dataclass(frozen=True, slots=True)
class PaidPlay:
    """What is remembered of a paid play that was set up, or may have been, and is over."""

    class_name: str
    title_name: str
    failure: FetchFailed | None


@dataclass(eq=False)
class Play:
    """One viewing of a title by one player."""

    play_id: str
    class_name: str
    title_name: str
    title: Title
    paid: bool
    peer_address: str = ""  # address of the last fetch
    client_number: int = -1  # admission's number of the client that vouched for the last fetch; -1: none
    reservation_token: str = ""
    token: str = field(default_factory=lambda: secrets.token_hex(16))
    handle: int = 0
    request: Request | None = None  # the set-up in progress, or the established session
    set_up_answer: bytes | None = None  # the manifest that answered the set-up, until a fetch has used it
    manifest: manifests.Manifest | None = None  # the media server's last manifest for /play
    media_playlist: manifests.Manifest | None = None  # the last media playlist
    final_failure: FetchFailed | None = None  # of a paid set-up that may have run: every later fetch gets it
    ended: bool = False
    waiters: list[Waiter] = field(default_factory=list)
    expiry: DeadlineKey | None = None

    def is_of(self, class_name: str, title_name: str) -> bool:
        """Whether it is a viewing of this title in this class."""
        return (self.class_name, self.title_name) == (class_name, title_name)

    def wake_waiters(self, error: Exception | None = None) -> None:
        """Resume all waiting fetches, or fail them with `error`."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if error is None:
                waiter.done.callback(None)
            else:
                waiter.done.errback(error)


class PlayClient:
    """The core's `ClientPort` for one set-up of a play."""

    def __init__(self, plays: Plays, play: Play) -> None:
        self.plays, self.play = plays, play
        self.failure: Exception | None = None
        self.first_fetch_waits = False  # the fetch that started the set-up is among the waiters

    def presence(self) -> Presence:
        """Present while the player of any waiting fetch is connected, since later fetches join the set-up."""
        present = not self.first_fetch_waits or any(waiter.connected() for waiter in self.play.waiters)
        return Presence.PRESENT if present else Presence.GONE

    def left(self, may_have_run: bool) -> None:
        """All players have disconnected; a paid set-up that may have run is not repeated."""
        failure = FetchFailed(502, "the set-up failed while nobody waited for it")
        if self.play.paid and may_have_run:
            self.play.final_failure = failure
        self._fail(failure)

    def served(self, answer: bytes) -> None:
        """The session is established; `answer` is its manifest."""
        self.play.set_up_answer = answer
        self.play.wake_waiters()

    def refused(self, retry_after_ms: float, reservation_token: str = "") -> None:
        """The set-up was refused; a later fetch may start another."""
        self._fail(
            FetchFailed(503, "no room now", max(retry_after_ms, BUSY_RETRY_AFTER_MS), reservation_token)
        )

    def failed(self, outcome: Outcome | None) -> None:
        """The set-up failed with `outcome`; a timeout, or None, is reported as no answer in time."""
        timed_out = outcome in (Outcome.TIMEOUT, None)
        failure = (
            FetchFailed(504, "no answer in time") if timed_out else FetchFailed(502, "the set-up failed")
        )
        if self.play.paid:
            self.play.final_failure = failure  # a failed paid set-up may have run: no fetch starts another
        self._fail(failure)

    def conflict(self) -> None:
        """The play id is in use for another title, at another router."""
        self._fail(play_id_in_use())

    def _fail(self, failure: FetchFailed) -> None:
        self.failure = failure
        self.play.request = None
        self.play.wake_waiters(failure)

    def released(self, cause: Cause) -> None:
        """The session is over; a repeatable one may be set up again unless it was played to its end."""
        self.play.request = None
        self.play.ended = self.play.paid or cause is Cause.ENDED

    def moved(self) -> None:
        """The session was moved away; a repeatable one is set up again at the next fetch."""
        self.play.request, self.play.ended = None, self.play.paid


class PlayOwnership(Protocol):
    """Ownership of plays whose records are replicated at other routers."""

    def token(self, key: str) -> str:
        """The play's token, equal at every router, so that a session's URLs are valid at all of them."""

    async def claim(self, play: Play) -> None:
        """Claim the play for this router before it is set up.

        On return the play is owned here, and its session may have been taken over with it.  Raises
        `FetchFailed` or `PlayEnded` where it can't be set up here.
        """

    async def find(self, token: str) -> None:
        """Take over the established session of a token, if there is one.

        Raises `FetchFailed` where that can't be determined now.
        """

    def forgot(self, play: Play) -> None: ...


class Plays:
    """All plays of this router's HLS front, by play id and by token.

    A play expires `idle_ms` after its last fetch, later while a complete recording is being watched.
    """

    def __init__(
        self,
        router: Router,
        servers: ServerPort,
        deadlines: Deadlines,
        idle_ms: float,
        new_session_id: Callable[[], str] = lambda: secrets.token_hex(8),
    ) -> None:
        self.router, self.servers, self.deadlines, self.idle_ms = router, servers, deadlines, idle_ms
        self.new_session_id = new_session_id
        self.table: SlotTable[Play] = SlotTable(MAX_PLAYS)
        self.ownership: PlayOwnership | None = None
        self.by_id: dict[str, Play] = {}
        self.by_token: dict[str, Play] = {}
        self.paid_plays: RecentIds[PaidPlay] = RecentIds(PAID_PLAY_TTL_MS, MAX_PAID_PLAYS)

    def find_or_add(self, play_id: str, class_name: str, title_name: str, title: Title) -> Play:
        """The play of this id, created if there is none.

        Raises `FetchFailed` if the id is in use for another class or title, or if there are too many plays.
        """
        play = self.by_id.get(play_id)
        if play is not None:
            if not play.is_of(class_name, title_name):
                raise play_id_in_use()
            return play
        now, service_class = self.router.clock.now(), self.router.classes[class_name]
        paid = service_class.effect is not Effect.REPEATABLE
        earlier = self.paid_plays.get(now, play_id)
        if earlier is not None and (earlier.class_name, earlier.title_name) != (class_name, title_name):
            raise FetchFailed(409, "this play id was in use for another title")
        if self.table.full or earlier is None and paid and self.paid_plays.is_full(now):
            raise FetchFailed(503, "too many plays", BUSY_RETRY_AFTER_MS)
        play = Play(play_id, class_name, title_name, title, paid)
        if earlier is not None:
            play.ended, play.final_failure = earlier.failure is None, earlier.failure
        if self.ownership is not None:
            play.token = self.ownership.token(play_id)
        play.handle = self.table.put(play)
        self.by_id[play_id] = self.by_token[play.token] = play
        self.touch(play)
        return play

    def touch(self, play: Play) -> None:
        """Restart the play's idle time; the duration of a complete recording is added, as its player may not
        fetch a playlist again while it is being watched."""
        remaining_ms = (
            play.media_playlist.duration_ms
            if play.media_playlist is not None and play.media_playlist.complete
            else 0.0
        )
        self.deadlines.cancel(play.expiry)
        play.expiry = self.deadlines.after(self.idle_ms + remaining_ms, lambda: self._expired(play))

    def _expired(self, play: Play) -> None:
        play.expiry = None
        if play.request is not None and play.request.state is State.OPEN:
            self.touch(play)  # the set-up has not been answered yet
            return
        if play.request is not None:
            self.router.viewer_left(play.request)
        if play.paid and (play.request is not None or play.ended or play.final_failure is not None):
            over = PaidPlay(play.class_name, play.title_name, play.final_failure)
            self.paid_plays.add(self.router.clock.now(), play.play_id, over)
        self.forget(play)

    def forget(self, play: Play) -> None:
        """Drop a play and its ownership; the session, if any, is not released here."""
        self.deadlines.cancel(play.expiry)
        play.expiry = None
        self.table.free(play.handle)
        self.by_id.pop(play.play_id, None)
        self.by_token.pop(play.token, None)
        if self.ownership is not None:
            self.ownership.forgot(play)

    async def established_session(self, play: Play, connected: Callable[[], bool] = lambda: True) -> Request:
        """The play's established session, at a media server that may be sent to; set up if that is allowed.

        No attempt at a set-up begins once no fetch that waits for it is `connected`.  Raises `FetchFailed` or
        `PlayEnded` where there is no session to return.
        """
        for _ in range(3):  # a session may have to be set up once more, at another media server
            if self.ownership is not None and self.by_id.get(play.play_id) is not play:
                raise FetchFailed(503, "another router has this play now", BUSY_RETRY_AFTER_MS)
            if play.ended:
                raise PlayEnded
            if play.final_failure is not None:
                raise play.final_failure
            request = play.request
            if request is not None and request.state is State.OVER:
                # Ended by its media server without a call to `released`, as a cancelled session is.
                request, play.request, play.ended = None, None, play.paid
                if play.ended:
                    raise PlayEnded
            if request is not None and request.state is State.ESTABLISHED:
                if self.router.sendable(request.server or 0):
                    return request
                # The media server is draining: a repeatable session is set up elsewhere, a paid one ends.
                self.router.viewer_left(request)
                play.request, play.ended = None, play.paid
                continue
            if request is None and self.ownership is not None:
                await self.ownership.claim(play)
                request = play.request
                if request is not None and request.state is State.ESTABLISHED:
                    continue  # taken over from another router
            if request is None:
                self._start(play)
            if play.request is not None and play.request.state is State.OPEN:
                if len(play.waiters) >= MAX_WAITERS:
                    raise FetchFailed(503, "too many fetches wait for this set-up", BUSY_RETRY_AFTER_MS)
                waiter = Waiter(connected)
                play.waiters.append(waiter)
                if isinstance(play.request.client, PlayClient):
                    play.request.client.first_fetch_waits = True
                await waiter.done
        if play.request is not None and play.request.state is State.ESTABLISHED and not play.ended:
            return play.request
        raise FetchFailed(503, "the session was lost while it was set up", BUSY_RETRY_AFTER_MS)

    def set_up_request(self, play: Play, session_id: str) -> SetUpRequest:
        """The set-up request for a play, under this session id."""
        title, service_class = play.title, self.router.classes[play.class_name]
        return SetUpRequest(
            session_id,
            play.class_name,
            play.title_name,
            title.first_cell,
            title.copies,
            title.ceiling,
            service_class.deadline_us / 1000.0,
            length_ms=title.length_ms,
            viewer_id=play.play_id,
            peer_address=play.peer_address,
            client_number=play.client_number,
            reservation_token=play.reservation_token,
            retry_after_step_ms=BUSY_RETRY_AFTER_MS,
            record_id=f"h/{play.token}" if self.ownership is not None else "",
        )

    def _start(self, play: Play) -> None:
        client = PlayClient(self, play)
        play.set_up_answer = None
        set_up = self.set_up_request(play, self.new_session_id())
        request = self.router.open_request(set_up, client, self.servers)
        if request is None:
            raise FetchFailed(503, "too many requests", BUSY_RETRY_AFTER_MS)
        if client.failure is not None:
            raise client.failure
        play.request = request
