"""Safety checks of operations, each disabled by a few lines: see `tests.guards`."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from cloverhinge.core.router import Router
from cloverhinge.core.server_listings import ServerListings
from cloverhinge.decision.state import Limit, Server
from cloverhinge.discovery.watch import DiscoveryWatch
from cloverhinge.net.buffered import BufferedReceiver
from cloverhinge.operations import component
from cloverhinge.operations.command_server import CommandConnection, CommandServer
from cloverhinge.operations.instance_files import InstanceFiles
from cloverhinge.operations.maintenance_file import MaintenanceFile
from cloverhinge.rtsp import server_pool
from cloverhinge.rtsp.front import RtspFrontend


def ignore_maintenance() -> None:
    ServerListings._apply_maintenance = lambda self, kind, listings: iter(listings)  # type: ignore[method-assign]


def block_on_accept() -> None:
    os.set_blocking = lambda handle, blocking: None


def refuse_newcomers() -> None:
    add_pending = CommandServer.add_pending

    def full(self: CommandServer, connection: CommandConnection) -> None:
        if len(self.pending) >= self.max_pending:
            connection.drop()
        else:
            add_pending(self, connection)

    CommandServer.add_pending = full  # type: ignore[method-assign]


def read_no_file() -> None:
    MaintenanceFile.read = lambda self: None  # type: ignore[method-assign]


def skip_catch_up() -> None:
    DiscoveryWatch.when_caught_up = lambda self, call, timeout_ms: call()  # type: ignore[method-assign]


def close_at_once() -> None:
    def at_once(self: RtspFrontend, now: float) -> int:
        for connection in self.connections:
            BufferedReceiver.close(connection)  # also while a set-up is open on it
        return 0

    RtspFrontend.close_idle = at_once  # type: ignore[method-assign]


def no_refusal_grace() -> None:
    server_pool.REFUSED_LOST_MS = 0.0


def book_as_new() -> None:
    Limit.book_existing = Limit.book  # type: ignore[method-assign]


def poll_once() -> None:
    component.POLL_INTERVAL_MS = 1e9


def locks_never_end() -> None:
    InstanceFiles._is_locked = lambda self, path: True  # type: ignore[method-assign]


def keep_learned_state() -> None:
    Server.reset = lambda self, now_us: None  # type: ignore[method-assign]


def count_departures() -> None:
    leave = Router.viewer_left

    def counting(self: Router, request: Any) -> None:
        request.tally.errors += 1
        leave(self, request)

    Router.viewer_left = counting  # type: ignore[method-assign]


PURE, REAL = "tests/test_operations.py", "tests/test_operations_network.py"
UPGRADE = f"{REAL}::test_repeated_upgrades_lose_no_request"
GUARDS: dict[str, tuple[Callable[[], None], list[str]]] = {
    "maintenance mode overrides the list": (
        ignore_maintenance,
        [
            f"{REAL}::test_a_server_in_maintenance_gets_no_sessions_over_lists_and_sighup_until_it_ends",
            f"{PURE}::test_a_server_in_maintenance_drains_whatever_the_list_says_and_returns_cold",
        ],
    ),
    "a server returns from maintenance without its learned state": (
        keep_learned_state,
        [f"{PURE}::test_a_server_in_maintenance_drains_whatever_the_list_says_and_returns_cold"],
    ),
    "the inherited socket never blocks": (block_on_accept, [UPGRADE]),
    "a connection is closed when nothing is open on it": (close_at_once, [UPGRADE]),
    "silent connections are dropped for new ones": (
        refuse_newcomers,
        [f"{REAL}::test_commands_are_answered_despite_silent_connections"],
    ),
    "the maintenance file is read before anything is sent": (
        read_no_file,
        [f"{REAL}::test_maintenance_survives_a_crash_and_a_malformed_file_removes_none_from_memory"],
    ),
    "maintenance started at one process is read by the other": (
        poll_once,
        [f"{REAL}::test_maintenance_started_at_the_new_process_applies_to_the_old_one_too"],
    ),
    "the list is caught up before the process is ready": (
        skip_catch_up,
        [f"{REAL}::test_a_new_process_applies_list_changes_since_its_configuration_before_it_is_ready"],
    ),
    "a process counts as running while it holds its lock": (
        locks_never_end,
        [f"{REAL}::test_the_old_process_serves_alone_after_the_new_one_has_died"],
    ),
    "a refused connection alone ends no session": (
        no_refusal_grace,
        ["tests/test_network.py::test_a_server_that_refuses_new_connections_keeps_its_sessions_for_a_while"],
    ),
    "sessions handed over are part of the reported load": (
        book_as_new,
        [f"{PURE}::test_a_session_handed_over_is_not_added_to_a_load_that_contains_it"],
    ),
    "a client that has left is not counted": (
        count_departures,
        [f"{PURE}::test_each_request_is_counted_under_exactly_one_outcome"],
    ),
}
