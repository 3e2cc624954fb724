"""The RTSP front end: accepts clients' connections and passes their set-ups to the core."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from itertools import islice

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory
from twisted.logger import Logger

from cloverhinge.core.clock import Clock
from cloverhinge.core.containment import contained
from cloverhinge.core.deadlines import Deadlines
from cloverhinge.core.model import ServerPort, SetUpRequest, State
from cloverhinge.core.router import Router, SessionIdInUseError
from cloverhinge.core.slots import SlotTable
from cloverhinge.discovery.updates import server_number
from cloverhinge.net.output import DEFAULT_MAX_WAITING_BYTES, OutputLimits
from cloverhinge.net.read_ahead import DEFAULT_TOTAL_BYTES, ReadAheadBudget
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.client import RtspClient
from cloverhinge.rtsp.client_connection import ClientConnection, Delivery
from cloverhinge.rtsp.intake import ReceivedSetUp, SetUpScheduler
from cloverhinge.rtsp.set_up import parse_set_up

SWEEP_INTERVAL_MS = 250.0
MAX_EVICTION_CANDIDATES = 16  # connections of one rank examined to close one of them
CLOSING_SHARE = 1 / 3  # of the table's size: connections still closing, in addition to a full table
FIRST_SET_UP_GRACE_MS = 200.0  # a new connection's first set-up may still be on its way
CROSSING_MS = 100.0  # a message sent this shortly before a connection's end may not have reached its client
HALF_CLOSED_GRACE_MS = 100.0  # data sent before the client sees the half-close arrives within this time
UNDELIVERED_TTL_MS = 8000.0  # how long a release waits for a connection from a client
MAX_UNDELIVERED = 2048  # releases that wait; beyond it the oldest is discarded
BUSY_RETRY_AFTER_MS = 1000.0  # sent when every slot for requests is taken


class RtspFrontend(ServerFactory):
    """Accepts the RTSP connections of clients, up to a limit, and handles the set-ups received on them."""

    log = Logger()
    noisy = False

    def __init__(
        self,
        router: Router,
        servers: ServerPort,
        clock: Clock,
        deadlines: Deadlines,
        max_connections: int,
        max_waiting_bytes: int = DEFAULT_MAX_WAITING_BYTES,
        max_read_ahead_bytes: int = DEFAULT_TOTAL_BYTES,
    ) -> None:
        """`max_waiting_bytes`: of answers that wait for clients to read, on all connections together;
        `max_read_ahead_bytes`: of input that waits to be parsed."""
        self.output_limits = OutputLimits(deadlines, max_waiting_bytes)
        self.read_ahead_budget = ReadAheadBudget(max_read_ahead_bytes)
        self.router, self.servers, self.clock, self.deadlines = router, servers, clock, deadlines
        self.connections: SlotTable[ClientConnection] = SlotTable(max_connections)
        self.scheduler = SetUpScheduler(deadlines)
        # The ranks, by connection handle, in the order in which they are searched for a connection to close
        # when the table is full.
        self.awaiting_message: dict[int, ClientConnection] = {}  # no message yet; oldest first
        self.idle: dict[int, ClientConnection] = {}  # without sessions; longest silent first
        self.with_sessions: dict[int, ClientConnection] = {}  # with established ones; same order
        self.busy: dict[int, ClientConnection] = {}  # with unanswered set-ups: never closed for this
        self.open_connections = 0  # including those that are closing
        self.undelivered: deque[tuple[float, bytes]] = deque(maxlen=MAX_UNDELIVERED)
        self.ready = True
        # Set by admission: maps peer, client, proof and session id to the client's number.  Raises ValueError
        # if the proof is forged.
        self.identify: Callable[[str, str, str, str], int] | None = None
        # Set by ownership: the media server's answer to the set-up of a session.
        self.replicated_answer: Callable[[str], bytes] | None = None
        # Set by ownership: whether a set-up's id is known to be that of another session, at any router.
        self.conflicts_with_record: Callable[[SetUpRequest], bool] = lambda set_up: False
        # Set where other processes share the listener: passes on that a viewer has left a session that is not
        # held here, and a message for which there is no connection (False if it has to wait here).
        self.viewer_left_elsewhere: Callable[[str], None] | None = None
        self.share_undelivered: Callable[[RtspClient, bytes], bool] | None = None

    def start(self) -> None:
        """Start the periodic sweep."""
        self.deadlines.repeat(SWEEP_INTERVAL_MS, self._sweep)

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:
        """Refuse a connection when too many are open.

        This bounds the file descriptors: a connection that `_evict_one` closes stays open until the next
        iteration of the reactor.
        """
        if self.open_connections >= self.connections.capacity * (1 + CLOSING_SHARE):
            return None
        return ClientConnection(self, str(getattr(addr, "host", "")))

    def connection_opened(self, connection: ClientConnection) -> None:
        """Enter a connection into the table, or abort it if the table is full and none can be closed."""
        self.open_connections += 1
        connection.opened_ms = connection.last_message_ms = self.clock.now()
        if self.connections.full and not self._evict_one():
            connection.log_event("dropped, the table is full")
            connection.drop()
            return
        connection.handle = self.connections.put(connection)
        self.awaiting_message[connection.handle] = connection

    def _evict_one(self) -> bool:
        """Close the longest idle connection of the first rank that has one; return False if there is none.

        Connections that may hold an unread request are passed over.  This bounds the file descriptors, and a
        flood of silent connections does not displace normal clients.
        """
        for rank in (self.awaiting_message, self.idle, self.with_sessions):
            for connection in islice(rank.values(), MAX_EVICTION_CANDIDATES):
                if not connection.unread:
                    connection.log_event("closed to make room")
                    self.remove(connection)
                    connection.close()
                    return True
        return False

    def update_rank(self, connection: ClientConnection) -> None:
        """Move a connection to the end of the rank that fits its present state."""
        if connection.handle and connection.rank.pop(connection.handle, None) is not None:
            connection.rank = (
                self.busy
                if connection.has_open_set_ups
                else self.awaiting_message
                if not connection.has_sent_message
                else self.with_sessions
                if connection.established_sessions
                else self.idle
            )
            connection.rank[connection.handle] = connection

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection from the table and from its rank."""
        self.connections.free(connection.handle)
        connection.rank.pop(connection.handle, None)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection and give up its open set-ups."""
        self.open_connections -= 1
        connection.log_event("ended", unanswered=len(connection.unanswered), queued=len(connection.queue))
        self.remove(connection)
        connection.queue.clear()
        for request in list(connection.unanswered.values()):
            if request.state is State.OPEN:
                with contained("a request of a closed connection is given up"):
                    self.router.viewer_left(request)
        connection.unanswered.clear()
        self._deliver_again(connection)

    def _deliver_again(self, connection: ClientConnection) -> None:
        """Deliver on another connection what may have crossed the close of this one, or was never sent."""
        since_ms = self.clock.now() - CROSSING_MS
        for delivery in connection.deliveries:
            if delivery.sent_ms >= since_ms or delivery.data in connection.unsent:
                self.deliver(delivery.client, delivery.data)

    def set_up(self, connection: ClientConnection, received: ReceivedSetUp) -> None:
        """Pass a set-up to the core, or answer it.  Raises MalformedMessage if it is invalid.

        A session that exists here without its client's connection is attached to this one instead; one that
        the client reports as playing at a media server already is adopted.

        The time that the set-up waited since it was read is subtracted from its time limit.
        """
        message = received.message
        set_up, playing_at = parse_set_up(message)  # the server's id, or "" for a new session
        set_up = replace(set_up, wait_ms=max(0.0, set_up.wait_ms - (self.clock.now() - received.read_ms)))
        if set_up.class_name not in self.router.classes:
            raise messages.MalformedMessage("unknown class", 400)
        if self.identify is not None:
            credentials = [message.headers.get(x, "") for x in ("x-client", "x-client-proof")]
            try:
                client_number = self.identify(
                    connection.peer, credentials[0], credentials[1], set_up.session_id
                )
            except ValueError as error:
                connection.send(messages.encode_response(403, "1", set_up.session_id, {"X-Why": str(error)}))
                return
            set_up = replace(
                set_up,
                peer_address=connection.peer,
                client_number=client_number,
                reservation_token=message.headers.get("x-ticket", ""),
            )
        client = RtspClient(self, connection.handle, connection.peer, set_up.session_id)
        if self.conflicts_with_record(set_up):
            if not playing_at:
                connection.send(messages.encode_response(455, "1", set_up.session_id))
            return
        if self.replicated_answer is not None and self._reattach(
            connection, set_up.session_id, bool(playing_at)
        ):
            return
        if playing_at:
            if self.router.adopt(set_up, server_number(playing_at), client, self.servers) is not None:
                client.set_established(True)
        else:
            self._open_request(connection, set_up, client)

    def _open_request(self, connection: ClientConnection, set_up: SetUpRequest, client: RtspClient) -> None:
        try:
            request = self.router.open_request(set_up, client, self.servers)
        except SessionIdInUseError:
            self.router.request_log.request(set_up.session_id, "refused, its id is in use")
            connection.send(messages.encode_response(455, "1", set_up.session_id))
            return
        if request is None:
            self._refuse_busy(connection, set_up.session_id)
        elif request.state is State.OPEN:
            connection.unanswered[set_up.session_id] = request

    def viewer_left(self, session_id: str) -> None:
        """A viewer ends a session or gives a set-up up; the session may be held by another process."""
        if session_id in self.router.by_session_id:
            self.end_session(session_id)
        elif self.viewer_left_elsewhere is not None:
            self.viewer_left_elsewhere(session_id)

    def end_session(self, session_id: str) -> None:
        """End a session of this front, or an open set-up, that its viewer has left."""
        request = self.router.by_session_id.get(session_id)
        if request is not None and isinstance(request.client, RtspClient):
            request.client.settle_set_up()
            request.client.set_established(False)
            self.router.viewer_left(request)

    def fail_unregistered(self, connection: ClientConnection, received: ReceivedSetUp) -> None:
        """Answer a set-up that has failed before the core had it; the core answers all others."""
        session_id = received.message.session_id
        if session_id not in self.router.by_session_id:
            connection.send(messages.encode_response(500, "1", session_id))

    def refuse_waiting(self, connection: ClientConnection, received: ReceivedSetUp) -> None:
        """Refuse a set-up that no time is left to begin."""
        message = received.message
        tally = self.router.counters.tallies.get(message.headers.get("x-call-class", ""))
        if tally is not None:
            tally.shed += 1
        self.router.request_log.request(message.session_id, "refused, it has waited too long to be begun")
        self._refuse_busy(connection, message.session_id)

    def _refuse_busy(self, connection: ClientConnection, session_id: str) -> None:
        fields = {"X-Hold-Off": str(round(BUSY_RETRY_AFTER_MS))}
        connection.send(messages.encode_response(503, "1", session_id, fields))

    def _reattach(self, connection: ClientConnection, session_id: str, established: bool) -> bool:
        """Attach an established session whose connection is gone to the connection that requests it again.

        This is the case after a takeover from another router, or when the client reconnects.  `established`
        says that the client reports the session as playing already, in which case no answer is due.  Returns
        False if there is no such session.
        """
        request = self.router.by_session_id.get(session_id)
        client = None if request is None else request.client
        if request is None or request.state is not State.ESTABLISHED or not isinstance(client, RtspClient):
            return False
        previous = self.connections.get(client.connection_handle)
        if previous is not None and not previous.gone:
            return False
        client.set_established(False)
        client.connection_handle, client.peer = connection.handle, connection.peer
        client.set_established(True)
        if not established and self.replicated_answer is not None:
            connection.send(
                messages.encode_response(200, "1", session_id, None, self.replicated_answer(session_id))
            )
        return True

    def close_idle(self, now: float) -> int:
        """Close idle connections while another process accepts new ones; return how many are still open.

        A connection is ended only when no set-up is open on it and no data unread, so that the client sends
        what follows on a new connection.  It is half-closed first, and what still arrives is read: closing it
        with data unread would reset it, and the client might lose the answer before.
        """
        left = 0
        for connection in self.connections:
            if connection.half_closed_ms is not None:
                if now - connection.half_closed_ms > HALF_CLOSED_GRACE_MS:
                    connection.close()
                continue
            left += 1
            young = not connection.has_sent_message and now - connection.opened_ms < FIRST_SET_UP_GRACE_MS
            if (
                not connection.has_open_set_ups
                and not young
                and not connection.mid_message
                and not connection.unread
            ):
                connection.log_event("half-closed, idle")
                connection.half_closed_ms = now
                connection.half_close()
        return left

    def close_all(self) -> None:
        """Close the connections that are still open at the end of a shutdown, whatever their clients send.

        Set-ups that have been received are answered first.
        """
        for connection in self.connections:
            if connection.half_closed_ms is None and not connection.gone:
                with contained("unread input is handled at the end"):
                    connection.handle_unread_input()
                connection.log_event("half-closed, the process ends", unanswered=len(connection.unanswered))
                connection.half_closed_ms = self.clock.now()
                connection.half_close()

    def deliver(self, client: RtspClient, data: bytes) -> None:
        """Send a message to the client of a session.

        Without any connection the message is left to another process that shares the listener, or stored for
        a later connection.
        """
        if self.deliver_on_open_connection(client, data):
            return
        if self.share_undelivered is None or not self.share_undelivered(client, data):
            self.store_undelivered(data)

    def store_undelivered(self, data: bytes) -> None:
        """Keep a message for the next connection on which a client sends something."""
        self.undelivered.append((self.clock.now(), data))

    def deliver_on_open_connection(self, client: RtspClient, data: bytes) -> bool:
        """Send a message to the client of a session; False if there is no connection for it.

        It goes to the session's connection, else to the connection of the client's host that sent a message
        last, else to any connection that sent one last; those that take data go first.  Connections without a
        complete message are excluded, as they may not be a client's, and so are those that either side has
        closed, though the client's close may not have been read yet.
        """
        connection = self.connections.get(client.connection_handle)
        if connection is None or not connection.is_writable:
            candidates = [x for x in self.connections if x.has_sent_message]
            candidates.sort(
                key=lambda x: (x.peer == client.peer, not x.output.blocked, x.last_message_ms), reverse=True
            )
            connection = next((x for x in candidates if x.is_writable), None)
        target = "none" if connection is None else f"{connection.handle:x}"
        self.router.request_log.request(client.session_id, "end told", connection=target)
        if connection is None:
            return False
        connection.send(data)
        connection.deliveries.append(Delivery(self.clock.now(), client, data))
        return True

    def first_message_received(self, connection: ClientConnection) -> None:
        """Send the stored messages: the connection's first complete message shows that it is a client's."""
        while self.undelivered:
            connection.send(self.undelivered.popleft()[1])

    def _sweep(self) -> None:
        now = self.clock.now()
        while self.undelivered and now - self.undelivered[0][0] > UNDELIVERED_TTL_MS:
            self.undelivered.popleft()
        for connection in self.connections:
            # After a pause of this process timers run before the sockets are read: an overdue connection may
            # hold a complete request that is still unread.
            if connection.overdue(now) and not connection.unread:
                connection.log_event("closed, bad input or no whole message in time")
                connection.close()
