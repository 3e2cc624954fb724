"""Processes what a media server sends: answers to set-ups and probes, releases, and notes on sessions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cloverhinge.core.model import Cause, State
from cloverhinge.decision.interface import Outcome
from cloverhinge.rtsp import messages
from cloverhinge.rtsp.server_messages import encode_release, parse_load_report, parse_session_event

if TYPE_CHECKING:
    from cloverhinge.rtsp.server_connection import ServerConnection

OUTCOME_BY_STATUS = {453: Outcome.FULL, 454: Outcome.MOOT, 504: Outcome.RESET}
OUTCOME_BY_CAUSE = {"16": Outcome.SERVED, "31": Outcome.CANCELLED, "41": Outcome.RESET}


def handle_message(connection: ServerConnection, message: messages.Message) -> None:
    """Process a message of the server.  Raises MalformedMessage if one of its values is invalid."""
    pool = connection.pool
    now = pool.servers.clock.now()
    connection.last_traffic_ms = now
    pool.liveness.heard(connection.opened_ms, now)
    if message.status:
        _handle_response(connection, message)
    else:
        _handle_request(connection, message)
    pool.flush()


def _handle_response(connection: ServerConnection, message: messages.Message) -> None:
    """Process the answer to a probe or a set-up; other answers need no action."""
    if message.session_id in connection.probes:
        _handle_probe_answer(connection, message)
        return
    if message.status < 200 or message.headers.get("cseq") != "1":
        return  # a provisional answer, or one to another request than a set-up
    router = connection.pool.servers.router
    attempt = connection.attempts.pop(message.session_id, None)
    if message.status != 200:
        if attempt is not None:
            outcome = OUTCOME_BY_STATUS.get(message.status, Outcome.ERROR)
            router.attempt_ended(attempt, outcome, parse_load_report(message))
    elif attempt is None or not router.answered(attempt, message.body):
        _release_unowned(connection, message.session_id)


def _handle_probe_answer(connection: ServerConnection, message: messages.Message) -> None:
    if message.status >= 200:
        outcome = Outcome.SERVED if message.status == 200 else Outcome.ERROR
        probe = connection.probes[message.session_id]
        connection.pool.servers.probe_ended(probe, outcome, parse_load_report(message))


def _release_unowned(connection: ServerConnection, session_id: str) -> None:
    """Release a session whose set-up was given up while its answer was in flight, unless a router owns it."""
    pool = connection.pool
    request = pool.servers.router.by_session_id.get(session_id)
    owned_here = request is not None and request.server == pool.address.number
    if not owned_here and not pool.servers.is_handed_over(session_id):
        pool.send_on_any(encode_release(session_id, Cause.CANCELLED))


def _handle_request(connection: ServerConnection, message: messages.Message) -> None:
    """Process a release, an event of a session, or a ping of the server."""
    match message.method:
        case "TEARDOWN":
            _note_session(connection, message)
            _handle_release(connection, message)
        case "ANNOUNCE":
            _note_session(connection, message)
            _handle_note(connection, message)
        case "OPTIONS":
            cseq = message.headers.get("cseq", "3")
            connection.send(messages.encode_response(200, cseq, message.session_id))


def _note_session(connection: ServerConnection, message: messages.Message) -> None:
    """A message about a session shows that the process that has it is alive."""
    pool = connection.pool
    request = pool.servers.router.by_session_id.get(message.session_id)
    if request is not None and request.server == pool.address.number:
        pool.liveness.session_heard(request.established_ms, pool.servers.clock.now())


def _handle_release(connection: ServerConnection, message: messages.Message) -> None:
    """Process a release; it is acknowledged last, as the server does not repeat it on this connection."""
    pool = connection.pool
    router = pool.servers.router
    session_id = message.session_id
    attempt = connection.attempts.pop(session_id, None)
    if attempt is not None:
        router.attempt_ended(attempt, Outcome.RESET, parse_load_report(message))
    else:
        cause = message.headers.get("reason", "").partition("cause=")[2].strip()
        outcome = OUTCOME_BY_CAUSE.get(cause, Outcome.RESET)
        router.session_released(session_id, pool.address.number, outcome, parse_load_report(message))
    connection.send(messages.encode_response(200, message.headers.get("cseq", "2"), session_id))


def _handle_note(connection: ServerConnection, message: messages.Message) -> None:
    number = connection.pool.address.number
    router = connection.pool.servers.router
    request = router.by_session_id.get(message.session_id)
    if request is None or request.state is not State.ESTABLISHED or request.server != number:
        return
    event = parse_session_event(message, request, number, len(router.settings.ladder_kb))
    if event is not None:
        router.session_event(request, event)
