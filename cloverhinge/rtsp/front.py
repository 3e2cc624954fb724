"""The platform's front: clients' set-ups over RTSP, and the table of their connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from itertools import islice

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory
from twisted.logger import Logger

from cloverhinge.core.clock import Clock
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import ServerPort, State
from cloverhinge.core.router import Router
from cloverhinge.core.slots import SlotTable
from cloverhinge.discovery.updates import server_number
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.client import RtspClient
from cloverhinge.rtsp.client_connection import ClientConnection
from cloverhinge.rtsp.intake import ReceivedSetUp, SetUpScheduler
from cloverhinge.rtsp.set_up import parse_set_up

SWEEP_INTERVAL_MS = 250.0
MAX_EVICTION_CANDIDATES = 16  # connections of a rank that are looked at to make room for one
CLOSING_SHARE = 1 / 3  # of the table's size: connections on their way out, beside a full table
FIRST_SET_UP_GRACE_MS = 200.0  # a connection's first set-up is on its way for so long
HALF_CLOSED_GRACE_MS = 100.0  # what crosses the announced end of a connection is here so soon
UNDELIVERED_TTL_MS = 8000.0  # a release waits so long for a connection of its viewers
MAX_UNDELIVERED = 2048
BUSY_RETRY_AFTER_MS = 1000.0  # told where every slot for requests is taken


class RtspFrontend(ServerFactory):
    log = Logger()
    noisy = False

    def __init__(
        self, router: Router, servers: ServerPort, clock: Clock, deadlines: Deadlines, max_connections: int
    ) -> None:
        self.router, self.servers, self.clock, self.deadlines = router, servers, clock, deadlines
        self.connections: SlotTable[ClientConnection] = SlotTable(max_connections)
        self.scheduler = SetUpScheduler(deadlines)
        # Who makes room when the table is full: the first of the first that is not empty.
        self.awaiting_message: dict[int, ClientConnection] = {}  # by handle, the earliest taken first
        self.idle: dict[int, ClientConnection] = {}  # spoke, no session stands; the longest silent first
        self.with_sessions: dict[
            int, ClientConnection
        ] = {}  # sessions that were set up on it stand; as before
        self.busy: dict[int, ClientConnection] = {}  # owed an answer: they stay
        self.open_connections = 0  # those on their way out included
        self.undelivered: deque[tuple[float, bytes]] = deque(maxlen=MAX_UNDELIVERED)
        self.ready = True
        # Of the door: peer, client, proof and session to the client's number; ValueError where it is forged.
        self.identify: Callable[[str, str, str, str], int] | None = None
        # Of custody: what the box answered to the session's set-up.
        self.replicated_answer: Callable[[str], bytes] | None = None

    def start(self) -> None:
        self._sweep()

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:
        """Guards the descriptors: one that was told to make room is gone only in the reactor's next round."""
        if self.open_connections >= self.connections.capacity * (1 + CLOSING_SHARE):
            return None
        return ClientConnection(self, str(getattr(addr, "host", "")))

    def connection_opened(self, connection: ClientConnection) -> None:
        self.open_connections += 1
        connection.opened_ms = connection.last_message_ms = self.clock.now()
        if self.connections.full and not self._evict_one():
            connection.drop()
            return
        connection.handle = self.connections.put(connection)
        self.awaiting_message[connection.handle] = connection

    def _evict_one(self) -> bool:
        """Close the connection that has rested the longest, unless a request may lie unread on it.

        Guards the descriptors, and usual viewers against floods.
        """
        for rank in (self.awaiting_message, self.idle, self.with_sessions):
            for connection in islice(rank.values(), MAX_EVICTION_CANDIDATES):
                if not connection.unread:
                    self.remove(connection)
                    connection.close()
                    return True
        return False

    def update_rank(self, connection: ClientConnection) -> None:
        """Behind all others of the rank that is its now."""
        if connection.handle and connection.rank.pop(connection.handle, None) is not None:
            connection.rank = (
                self.busy
                if connection.unanswered or len(connection.queue)
                else self.awaiting_message
                if not connection.has_sent_message
                else self.with_sessions
                if connection.established_sessions
                else self.idle
            )
            connection.rank[connection.handle] = connection

    def remove(self, connection: ClientConnection) -> None:
        self.connections.free(connection.handle)
        connection.rank.pop(connection.handle, None)

    def connection_closed(self, connection: ClientConnection) -> None:
        self.open_connections -= 1
        self.remove(connection)
        connection.queue.clear()
        for request in list(connection.unanswered.values()):
            if request.state is State.OPEN:
                self.router.viewer_left(request)
        connection.unanswered.clear()

    def set_up(self, connection: ClientConnection, one: ReceivedSetUp) -> None:
        message = one.message
        ask, at = parse_set_up(message)
        ask = replace(ask, wait_ms=max(0.0, ask.wait_ms - (self.clock.now() - one.read_ms)))
        if ask.class_name not in self.router.classes:
            raise messages.MalformedMessage("unknown class", 400)
        if self.identify is not None:
            words = [message.headers.get(x, "") for x in ("x-client", "x-client-proof")]
            try:
                client = self.identify(connection.peer, words[0], words[1], ask.session_id)
            except ValueError as error:
                connection.send(messages.encode_response(403, "1", ask.session_id, {"X-Why": str(error)}))
                return
            ask = replace(
                ask,
                peer_address=connection.peer,
                client_number=client,
                reservation_token=message.headers.get("x-ticket", ""),
            )
        viewer = RtspClient(self, connection.handle, connection.peer, ask.session_id)
        if self.replicated_answer is not None and self._reattach(connection, ask.session_id, bool(at)):
            return
        if at:
            if self.router.adopt(ask, server_number(at), viewer, self.servers) is not None:
                viewer.set_established(True)
        elif ask.session_id in self.router.by_session_id:
            connection.send(messages.encode_response(455, "1", ask.session_id))
        elif (request := self.router.open_request(ask, viewer, self.servers)) is None:
            connection.send(
                messages.encode_response(
                    503, "1", ask.session_id, {"X-Hold-Off": str(round(BUSY_RETRY_AFTER_MS))}
                )
            )
        elif request.state is State.OPEN:
            connection.unanswered[ask.session_id] = request

    def _reattach(self, connection: ClientConnection, name: str, stood: bool) -> bool:
        """Whether this is the viewer of a session that was taken over, or whose connection is gone."""
        held = self.router.by_session_id.get(name)
        viewer = None if held is None else held.client
        if held is None or held.state is not State.ESTABLISHED or not isinstance(viewer, RtspClient):
            return False
        before = self.connections.get(viewer.connection_handle)
        if before is not None and not before.gone:
            return False
        viewer.set_established(False)
        viewer.connection_handle, viewer.peer = connection.handle, connection.peer
        viewer.set_established(True)
        if not stood and self.replicated_answer is not None:
            connection.send(messages.encode_response(200, "1", name, None, self.replicated_answer(name)))
        return True

    def close_idle(self, now: float) -> int:
        """Another process accepts from here on: each connection is ended at a moment at which nothing is open
        on it and nothing unread, so what is sent to it later comes to a new one.  Returns how many are left.

        Its end is announced first and what still comes is read: closing over something unread would reset the
        connection, and the viewer might lose the answer before it.
        """
        left = 0
        for connection in self.connections:
            if connection.half_closed_ms is not None:
                if now - connection.half_closed_ms > HALF_CLOSED_GRACE_MS:
                    connection.close()
                continue
            left += 1
            young = not connection.has_sent_message and now - connection.opened_ms < FIRST_SET_UP_GRACE_MS
            owed = connection.unanswered or len(connection.queue)
            if not owed and not young and not connection.mid_message and not connection.unread:
                connection.half_closed_ms = now
                connection.half_close()
        return left

    def deliver(self, viewer: RtspClient, data: bytes) -> None:
        """Towards whoever holds the session: on its connection, else on the last of its host to speak, else
        on the last of all.  Guards against releases told to a connection that is no viewer's."""
        connection = self.connections.get(viewer.connection_handle)
        if connection is None or connection.gone:
            spoken = [x for x in self.connections if x.has_sent_message and not x.gone]
            spoken.sort(key=lambda x: (x.peer == viewer.peer, x.last_message_ms))
            connection = spoken[-1] if spoken else None
        if connection is not None:
            connection.send(data)
        else:
            self.undelivered.append((self.clock.now(), data))

    def first_message_received(self, connection: ClientConnection) -> None:
        """The first whole message on a connection: it is a viewer's."""
        while self.undelivered:
            connection.send(self.undelivered.popleft()[1])

    def _sweep(self) -> None:
        now = self.clock.now()
        while self.undelivered and now - self.undelivered[0][0] > UNDELIVERED_TTL_MS:
            self.undelivered.popleft()
        for connection in self.connections:
            # Guards against closing over a whole request after a pause, as timers run ahead of the sockets.
            if connection.overdue(now) and not connection.unread:
                connection.close()
        self.deadlines.after(SWEEP_INTERVAL_MS, self._sweep)
