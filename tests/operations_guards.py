"""Guards of operation, each taken out by a few lines: see `tests.guards`."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from cloverhinge.core.router import Router
from cloverhinge.decision.state import Limit, Server
from cloverhinge.discovery.watch import DiscoveryWatch
from cloverhinge.operations import component
from cloverhinge.operations.command_server import CommandConnection, CommandServer
from cloverhinge.operations.instance_files import InstanceFiles
from cloverhinge.operations.maintenance_file import MaintenanceFile
from cloverhinge.rtsp import server_pool
from cloverhinge.rtsp.front import Front


def lists_decide() -> None:
    Router._apply_maintenance = lambda self, kind, told: iter(told)  # type: ignore[method-assign]


def blocks() -> None:
    os.set_blocking = lambda handle, blocking: None


def first_come() -> None:
    add_pending = CommandServer.add_pending

    def full(self: CommandServer, connection: CommandConnection) -> None:
        if len(self.pending) >= self.max_pending:
            connection.drop()
        else:
            add_pending(self, connection)

    CommandServer.add_pending = full  # type: ignore[method-assign]


def no_file() -> None:
    MaintenanceFile.read = lambda self: None  # type: ignore[method-assign]


def old_list() -> None:
    DiscoveryWatch.when_caught_up = lambda self, call, most_ms: call()  # type: ignore[method-assign]


def cuts_off() -> None:
    def at_once(self: Front, now: float) -> int:
        for line in self.connections:
            line.close()
        return 0

    Front.close_at_rest = at_once  # type: ignore[method-assign]


def hasty() -> None:
    server_pool.REFUSED_MS = 0.0


def counted_twice() -> None:
    Limit.book_existing = Limit.book  # type: ignore[method-assign]


def looks_once() -> None:
    component.POLL_INTERVAL_MS = 1e9


def lives_for_good() -> None:
    InstanceFiles._is_locked = lambda self, path: True  # type: ignore[method-assign]


def remembers() -> None:
    Server.reset = lambda self, now_us: None  # type: ignore[method-assign]


def counts_leavers() -> None:
    leave = Router.viewer_left

    def counting(self: Router, request: Any) -> None:
        request.tally.errors += 1
        leave(self, request)

    Router.viewer_left = counting  # type: ignore[method-assign]


PURE, REAL = "tests/test_operations.py", "tests/test_operations_network.py"
UPGRADE = f"{REAL}::test_a_new_version_takes_over_and_no_request_is_lost_twice_and_back"
GUARDS: dict[str, tuple[Callable[[], None], list[str]]] = {
    "a ban lies over whatever the list says": (
        lists_decide,
        [
            f"{REAL}::test_a_box_left_out_gets_nothing_new_over_lists_and_sighup_until_it_is_put_back",
            f"{PURE}::test_a_box_left_out_by_hand_drains_whatever_the_list_says_and_comes_back_cold",
        ],
    ),
    "a box put back begins anew": (
        remembers,
        [f"{PURE}::test_a_box_left_out_by_hand_drains_whatever_the_list_says_and_comes_back_cold"],
    ),
    "the inherited socket never blocks": (blocks, [UPGRADE]),
    "a connection ends at a moment of rest": (cuts_off, [UPGRADE]),
    "who says nothing makes room": (
        first_come,
        [f"{REAL}::test_callers_are_answered_beside_those_who_say_nothing"],
    ),
    "bans are read before anything is sent": (
        no_file,
        [f"{REAL}::test_bans_outlive_a_crash_and_a_bad_file_takes_none_from_memory"],
    ),
    "a ban called at the one process is read by the other": (
        looks_once,
        [f"{REAL}::test_a_ban_called_at_the_new_process_binds_the_old_one_too"],
    ),
    "the list is caught up before a yes": (
        old_list,
        [f"{REAL}::test_a_new_process_hears_what_changed_since_its_configuration_before_it_says_yes"],
    ),
    "a process is there while it holds its lock": (
        lives_for_good,
        [f"{REAL}::test_a_new_process_that_dies_leaves_the_old_one_alone_in_its_place"],
    ),
    "a refused connection alone cuts nothing": (
        hasty,
        ["tests/test_network.py::test_a_pump_that_takes_no_more_connections_keeps_its_sessions_for_a_while"],
    ),
    "what is handed over stands in the load that was told": (
        counted_twice,
        [f"{PURE}::test_a_session_handed_over_is_not_counted_on_top_of_the_load_that_held_it"],
    ),
    "who has left stands under no count": (
        counts_leavers,
        [f"{PURE}::test_each_request_stands_in_one_count_exactly_once"],
    ),
}
