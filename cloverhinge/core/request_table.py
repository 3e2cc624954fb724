"""The open requests and established sessions of a router, by handle, session id, title and media server."""

from __future__ import annotations

from cloverhinge.core.model import Request, State
from cloverhinge.core.slots import SlotTable


class RequestTable:
    """Holds each request from its registration until its end, under all of its keys."""

    def __init__(self, capacity: int) -> None:
        """`capacity` bounds open requests and established sessions together."""
        self.slots: SlotTable[Request] = SlotTable(capacity)
        self.by_session_id: dict[str, Request] = {}
        self.by_title: dict[str, set[Request]] = {}
        self.established: dict[int, dict[int, Request]] = {}  # by server, then by handle

    def add(self, request: Request) -> None:
        """Register an open request and give it its handle.  Raises OverflowError if the table is full."""
        request.handle = self.slots.put(request)
        self.by_session_id[request.set_up.session_id] = request
        self.by_title.setdefault(request.set_up.title, set()).add(request)

    def establish(self, request: Request, server: int, now_ms: float) -> None:
        """Note that the request has led to a session at a media server."""
        request.state, request.server = State.ESTABLISHED, server
        request.established_ms = now_ms
        self.established.setdefault(server, {})[request.handle] = request

    def remove(self, request: Request) -> None:
        """Remove a request, or the session that it led to."""
        request.state = State.OVER
        self.slots.free(request.handle)
        if self.by_session_id.get(request.set_up.session_id) is request:
            del self.by_session_id[request.set_up.session_id]
        same_title = self.by_title[request.set_up.title]
        same_title.remove(request)
        if not same_title:
            del self.by_title[request.set_up.title]
        self._remove_established(request)

    def _remove_established(self, request: Request) -> None:
        if request.server is None or request.server not in self.established:
            return
        at_server = self.established[request.server]
        at_server.pop(request.handle, None)
        if not at_server:
            del self.established[request.server]

    def established_before(self, server: int, before_ms: float) -> list[Request]:
        """The sessions at a media server that were established before a Unix time."""
        return [x for x in self.established.get(server, {}).values() if x.established_ms < before_ms]

    def has_seat(self, request: Request) -> bool:
        """Whether its class has a seat left for the title, counting sessions and attempts under way."""
        service_class = request.service_class
        if not service_class.seats:
            return True
        taken = sum(
            1
            for other in self.by_title[request.set_up.title]
            if other is not request
            and other.service_class is service_class
            and (other.state is State.ESTABLISHED or other.attempt is not None)
        )
        return taken < service_class.seats
