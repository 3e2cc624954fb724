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
from cloverhinge.rtsp.intake import Intake, SetUp
from cloverhinge.rtsp.set_up import read_set_up

SWEEP_MS = 250.0
LOOKED_AT_MOST = 16  # connections of a rank that are looked at to make room for one
CLOSING_SHARE = 1 / 3  # of the table's size: connections on their way out, beside a full table
YOUNG_MS = 200.0  # a connection's first set-up is on its way for so long
CROSSING_MS = 100.0  # what crosses the announced end of a connection is here so soon
HELD_MS = 8000.0  # a release waits so long for a connection of its viewers
HELD_MOST = 2048
BUSY_HOLD_OFF_MS = 1000.0  # told where every slot for requests is taken


class Front(ServerFactory):
    log = Logger()
    noisy = False

    def __init__(
        self, router: Router, boxes: ServerPort, clock: Clock, deadlines: Deadlines, most: int
    ) -> None:
        self.router, self.boxes, self.clock, self.deadlines = router, boxes, clock, deadlines
        self.connections: SlotTable[ClientConnection] = SlotTable(most)
        self.intake = Intake(deadlines)
        # Who makes room when the table is full: the first of the first that is not empty.
        self.silent: dict[int, ClientConnection] = {}  # by handle, the earliest taken first
        self.resting: dict[int, ClientConnection] = {}  # spoke, no session stands; the longest silent first
        self.holding: dict[int, ClientConnection] = {}  # sessions that were set up on it stand; as before
        self.busy: dict[int, ClientConnection] = {}  # owed an answer: they stay
        self.open_connections = 0  # those on their way out included
        self.held: deque[tuple[float, bytes]] = deque(maxlen=HELD_MOST)
        self.ready = True
        # Of the door: peer, client, proof and session to the client's number; ValueError where it is forged.
        self.identify: Callable[[str, str, str, str], int] | None = None
        # Of custody: what the box answered to the session's set-up.
        self.kept_answer: Callable[[str], bytes] | None = None

    def start(self) -> None:
        self._sweep()

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:
        """Guards the descriptors: one that was told to make room is gone only in the reactor's next round."""
        if self.open_connections >= self.connections.capacity * (1 + CLOSING_SHARE):
            return None
        return ClientConnection(self, str(getattr(addr, "host", "")))

    def up(self, connection: ClientConnection) -> None:
        self.open_connections += 1
        connection.since_ms = connection.heard_ms = self.clock.now()
        if self.connections.full and not self._make_room():
            connection.drop()
            return
        connection.handle = self.connections.put(connection)
        self.silent[connection.handle] = connection

    def _make_room(self) -> bool:
        """Close the connection that has rested the longest, unless a request may lie unread on it.

        Guards the descriptors, and usual viewers against floods.
        """
        for rank in (self.silent, self.resting, self.holding):
            for connection in islice(rank.values(), LOOKED_AT_MOST):
                if not connection.unread:
                    self.take_out(connection)
                    connection.close()
                    return True
        return False

    def arrange(self, connection: ClientConnection) -> None:
        """Behind all others of the rank that is its now."""
        if connection.handle and connection.rank.pop(connection.handle, None) is not None:
            connection.rank = (
                self.busy
                if connection.open or len(connection.queue)
                else self.silent
                if not connection.spoken
                else self.holding
                if connection.standing
                else self.resting
            )
            connection.rank[connection.handle] = connection

    def take_out(self, connection: ClientConnection) -> None:
        self.connections.free(connection.handle)
        connection.rank.pop(connection.handle, None)

    def down(self, connection: ClientConnection) -> None:
        self.open_connections -= 1
        self.take_out(connection)
        connection.queue.clear()
        for request in list(connection.open.values()):
            if request.state is State.OPEN:
                self.router.viewer_left(request)
        connection.open.clear()

    def set_up(self, connection: ClientConnection, one: SetUp) -> None:
        message = one.message
        ask, at = read_set_up(message)
        ask = replace(ask, wait_ms=max(0.0, ask.wait_ms - (self.clock.now() - one.read_ms)))
        if ask.class_name not in self.router.classes:
            raise messages.Malformed("unknown class", 400)
        if self.identify is not None:
            words = [message.headers.get(x, "") for x in ("x-client", "x-client-proof")]
            try:
                client = self.identify(connection.peer, words[0], words[1], ask.session_id)
            except ValueError as error:
                connection.send(messages.response(403, "1", ask.session_id, {"X-Why": str(error)}))
                return
            ask = replace(
                ask,
                peer_address=connection.peer,
                client_number=client,
                reservation_token=message.headers.get("x-ticket", ""),
            )
        viewer = RtspClient(self, connection.handle, connection.peer, ask.session_id)
        if self.kept_answer is not None and self._come_again(connection, ask.session_id, bool(at)):
            return
        if at:
            if self.router.adopt(ask, server_number(at), viewer, self.boxes) is not None:
                viewer.stands(True)
        elif ask.session_id in self.router.by_session_id:
            connection.send(messages.response(455, "1", ask.session_id))
        elif (request := self.router.open_request(ask, viewer, self.boxes)) is None:
            connection.send(
                messages.response(503, "1", ask.session_id, {"X-Hold-Off": str(round(BUSY_HOLD_OFF_MS))})
            )
        elif request.state is State.OPEN:
            connection.open[ask.session_id] = request

    def _come_again(self, connection: ClientConnection, name: str, stood: bool) -> bool:
        """Whether this is the viewer of a session that was taken over, or whose connection is gone."""
        held = self.router.by_session_id.get(name)
        viewer = None if held is None else held.client
        if held is None or held.state is not State.ESTABLISHED or not isinstance(viewer, RtspClient):
            return False
        before = self.connections.get(viewer.handle)
        if before is not None and not before.gone:
            return False
        viewer.stands(False)
        viewer.handle, viewer.peer = connection.handle, connection.peer
        viewer.stands(True)
        if not stood and self.kept_answer is not None:
            connection.send(messages.response(200, "1", name, None, self.kept_answer(name)))
        return True

    def close_at_rest(self, now: float) -> int:
        """Another process accepts from here on: each connection is ended at a moment at which nothing is open
        on it and nothing unread, so what is sent to it later comes to a new one.  Returns how many are left.

        Its end is announced first and what still comes is read: closing over something unread would reset the
        connection, and the viewer might lose the answer before it.
        """
        left = 0
        for connection in self.connections:
            if connection.ending_ms is not None:
                if now - connection.ending_ms > CROSSING_MS:
                    connection.close()
                continue
            left += 1
            young = not connection.spoken and now - connection.since_ms < YOUNG_MS
            owed = connection.open or len(connection.queue)
            if not owed and not young and not connection.midway and not connection.unread:
                connection.ending_ms = now
                connection.half_close()
        return left

    def tell(self, viewer: RtspClient, data: bytes) -> None:
        """Towards whoever holds the session: on its connection, else on the last of its host to speak, else
        on the last of all.  Guards against releases told to a connection that is no viewer's."""
        connection = self.connections.get(viewer.handle)
        if connection is None or connection.gone:
            spoken = [x for x in self.connections if x.spoken and not x.gone]
            spoken.sort(key=lambda x: (x.peer == viewer.peer, x.heard_ms))
            connection = spoken[-1] if spoken else None
        if connection is not None:
            connection.send(data)
        else:
            self.held.append((self.clock.now(), data))

    def spoke(self, connection: ClientConnection) -> None:
        """The first whole message on a connection: it is a viewer's."""
        while self.held:
            connection.send(self.held.popleft()[1])

    def _sweep(self) -> None:
        now = self.clock.now()
        while self.held and now - self.held[0][0] > HELD_MS:
            self.held.popleft()
        for connection in self.connections:
            # Guards against closing over a whole request after a pause, as timers run ahead of the sockets.
            if connection.overdue(now) and not connection.unread:
                connection.close()
        self.deadlines.after(SWEEP_MS, self._sweep)
