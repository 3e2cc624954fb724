"""What a player wants, over all its fetches: one play, kept under the id that the player chose.

The play id is the idempotency key.  A fetch joins the set-up that is under way, or gets what stands; only
where the rules allow a set-up anew does it ask the core again.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred

from cloverhinge.core.deadlines import DeadlineKey, Deadlines
from cloverhinge.core.model import Cause, Presence, Request, ServerPort, SetUpRequest, State
from cloverhinge.core.router import Router
from cloverhinge.core.slots import SlotTable
from cloverhinge.decision.interface import Effect, Outcome
from cloverhinge.hls import manifests
from cloverhinge.site import Title

MAX_PLAYS = 2048
MAX_WAITERS = 64  # fetches that may wait for one set-up
BUSY_RETRY_AFTER_MS = 1000.0


class FetchFailed(Exception):
    """A fetch ends without a manifest: its status, and when to come back."""

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


class PlayEnded(Exception):
    """The play has ended: its playlist ends."""


@dataclass(frozen=True, slots=True)
class Waiter:
    """A fetch that waits for a set-up, and whether its player is still connected."""

    connected: Callable[[], bool]
    done: Deferred[None] = field(default_factory=Deferred)


@dataclass(eq=False)
class Play:
    play_id: str
    class_name: str
    title_name: str
    title: Title
    paid: bool
    peer_address: str = ""  # the address of its last fetch
    client_number: int = -1  # the door's number of the client that vouched for it
    reservation_token: str = ""
    token: str = field(default_factory=lambda: secrets.token_hex(16))
    handle: int = 0
    request: Request | None = None  # the set-up under way, or the session that stands
    set_up_answer: bytes | None = None  # the set-up's manifest, until it is given out
    manifest: manifests.Manifest | None = None  # the last one that the box gave for /play
    media_playlist: manifests.Manifest | None = None  # the last media playlist
    final_failure: FetchFailed | None = None  # of a paid set-up that may have run: it stays
    ended: bool = False
    waiters: list[Waiter] = field(default_factory=list)
    expiry: DeadlineKey | None = None

    def wake_waiters(self, error: Exception | None = None) -> None:
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if error is None:
                waiter.done.callback(None)
            else:
                waiter.done.errback(error)


class PlayClient:
    """The core's `Viewer` for one set-up of a play."""

    def __init__(self, plays: Plays, play: Play) -> None:
        self.plays, self.play = plays, play
        self.failure: Exception | None = None
        self.first_fetch_waits = False  # the fetch that started the set-up waits for it

    def presence(self) -> Presence:
        """There while one of the fetches that wait has its player; later ones join the set-up."""
        waits = not self.first_fetch_waits or any(waiter.connected() for waiter in self.play.waiters)
        return Presence.PRESENT if waits else Presence.GONE

    def left(self, may_have_run: bool) -> None:
        final = FetchFailed(502, "the set-up failed while nobody waited for it")
        if self.play.paid and may_have_run:
            self.play.final_failure = final
        self._fail(final)

    def served(self, answer: bytes) -> None:
        self.play.set_up_answer = answer
        self.play.wake_waiters()

    def refused(self, hold_off_ms: float, ticket: str = "") -> None:
        self._fail(FetchFailed(503, "no room now", max(hold_off_ms, BUSY_RETRY_AFTER_MS), ticket))

    def failed(self, why: Outcome | None) -> None:
        late = why in (Outcome.TIMEOUT, None)
        final = FetchFailed(504, "no answer in time") if late else FetchFailed(502, "the set-up failed")
        if self.play.paid:
            self.play.final_failure = final  # a failed paid set-up may have run: no fetch starts another
        self._fail(final)

    def _fail(self, final: FetchFailed) -> None:
        self.failure = final
        self.play.request = None
        self.play.wake_waiters(final)

    def released(self, cause: Cause) -> None:
        self.play.request = None
        self.play.ended = self.play.paid or cause is Cause.ENDED

    def moved(self) -> None:
        self.play.request, self.play.ended = None, self.play.paid


class PlayOwnership(Protocol):
    """Of plays that other routers may know of."""

    def token(self, key: str) -> str:
        """The same at each router, so that a session's addresses are good at all."""

    async def claim(self, play: Play) -> None:
        """Before it is set up: it is this router's then, stands already, or `Final` or `Over` is raised."""

    async def find(self, token: str) -> None:
        """Takes a session that stands over, where one does; `Final` where that can't be told now."""

    def forgot(self, play: Play) -> None: ...


class Plays:
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

    def find_or_add(self, play_id: str, class_name: str, title_name: str, title: Title) -> Play:
        """The play of this id, new or held."""
        play = self.by_id.get(play_id)
        if play is not None:
            if (play.class_name, play.title_name) != (class_name, title_name):
                raise FetchFailed(409, "this play id is in use for another title")
            return play
        if self.table.full:
            raise FetchFailed(503, "too many plays", BUSY_RETRY_AFTER_MS)
        kind = self.router.classes[class_name]
        play = Play(play_id, class_name, title_name, title, kind.effect is not Effect.REPEATABLE)
        if self.ownership is not None:
            play.token = self.ownership.token(play_id)
        play.handle = self.table.put(play)
        self.by_id[play_id] = self.by_token[play.token] = play
        self.touch(play)
        return play

    def touch(self, play: Play) -> None:
        """A fetch came: the play lasts for the idle time, and while a whole recording is being watched."""
        ahead = (
            play.media_playlist.duration_ms
            if play.media_playlist is not None and play.media_playlist.complete
            else 0.0
        )
        self.deadlines.cancel(play.expiry)
        play.expiry = self.deadlines.after(self.idle_ms + ahead, lambda: self._expired(play))

    def _expired(self, play: Play) -> None:
        play.expiry = None
        if play.request is not None and play.request.state is State.OPEN:
            self.touch(play)  # an answer is still owed
            return
        if play.request is not None:
            self.router.viewer_left(play.request)
        self.forget(play)

    def forget(self, play: Play) -> None:
        self.deadlines.cancel(play.expiry)
        play.expiry = None
        self.table.free(play.handle)
        self.by_id.pop(play.play_id, None)
        self.by_token.pop(play.token, None)
        if self.ownership is not None:
            self.ownership.forgot(play)

    async def established_session(self, play: Play, connected: Callable[[], bool] = lambda: True) -> Request:
        """The session that stands for this play, at a box that may be named; set up where it may be.

        No attempt at a set-up begins once no fetch that waits for it is `connected`.
        """
        for _ in range(3):  # what was set up may have to be set up elsewhere once
            if self.ownership is not None and self.by_id.get(play.play_id) is not play:
                raise FetchFailed(503, "another router has this play now", BUSY_RETRY_AFTER_MS)
            if play.ended:
                raise PlayEnded
            if play.final_failure is not None:
                raise play.final_failure
            request = play.request
            if request is not None and request.state is State.OVER:
                # Ended by its box without a word for the viewer, as a cancelled session is.
                request, play.request, play.ended = None, None, play.paid
                if play.ended:
                    raise PlayEnded
            if request is not None and request.state is State.ESTABLISHED:
                if self.router.sendable(request.server or 0):
                    return request
                # The box drains.  A repeatable session is set up elsewhere; a paid one ends here.
                self.router.viewer_left(request)
                play.request, play.ended = None, play.paid
                continue
            if request is None and self.ownership is not None:
                await self.ownership.claim(play)
                request = play.request
                if request is not None and request.state is State.ESTABLISHED:
                    continue  # taken over
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

    def _start(self, play: Play) -> None:
        title, kind = play.title, self.router.classes[play.class_name]
        viewer = PlayClient(self, play)
        play.set_up_answer = None
        ask = SetUpRequest(
            self.new_session_id(),
            play.class_name,
            play.title_name,
            title.first_cell,
            title.copies,
            title.ceiling,
            kind.deadline_us / 1000.0,
            length_ms=title.length_ms,
            viewer_id=play.play_id,
            peer_address=play.peer_address,
            client_number=play.client_number,
            reservation_token=play.reservation_token,
            retry_after_step_ms=BUSY_RETRY_AFTER_MS,
            record_id=f"h/{play.token}" if self.ownership is not None else "",
        )
        request = self.router.open_request(ask, viewer, self.servers)
        if request is None:
            raise FetchFailed(503, "too many requests", BUSY_RETRY_AFTER_MS)
        if viewer.failure is not None:
            raise viewer.failure
        play.request = request
