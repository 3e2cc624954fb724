"""Disables one safety check at a time and verifies that its tests then fail.

    python -m tests.guards [custody|operation|store]

This is not part of CI.  LAB_GUARD_OUT names the disabled check, both in the process of the tests and in the
routers that they start.  Each function here disables one check by patching the program in memory.
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from typing import Any

from cloverhinge.members import core, watch, wire
from cloverhinge.ownership import component, placement, register, replica
from cloverhinge.ownership import core as ownership_core
from cloverhinge.ownership import wire as ownership_wire
from tests import operations_guards, store_guards

GUARD_VARIABLE = "LAB_GUARD_OUT"


def without_pause_detection() -> None:
    """A process that was paused does not notice it."""

    def only_record_time(self: core.Membership, now: float) -> None:
        self._last_ms = now

    core.Membership._detect_pause = only_record_time  # type: ignore[method-assign]


def direct_reach_only() -> None:
    """Members that are reached only through other members count as unreachable."""

    def direct(own: str, reachable: Any, records: Any, names: Any) -> set[str]:
        return {own, *reachable} & {own, *names}

    core.reachable_from = direct  # type: ignore[attr-defined]


def counts_unreachable_members() -> None:
    """Reports of members that are themselves unreachable count as well."""

    def reported_by_any(own: str, reachable: Any, records: Any, names: Any) -> set[str]:
        known = set(names)
        return {own, *reachable, *(x for name in known for x in records[name].reachable)} & {own, *known}

    core.reachable_from = reported_by_any  # type: ignore[attr-defined]


def without_refutation() -> None:
    """A member that is wrongly reported dead does not return under a new incarnation."""
    core.Membership._refute = lambda self, now, claim: None  # type: ignore[method-assign]


def without_replay_window() -> None:
    """Repeated message numbers of a run are accepted."""
    wire.ReplayWindow.accept = lambda self, number: True  # type: ignore[method-assign]


def without_signature_check() -> None:
    """Messages are accepted without a valid signature."""
    wire.Authenticator.verify = lambda self, signed_message: signed_message[wire.HEADER_BYTES :]  # type: ignore[method-assign]


def accepts_isolated_senders() -> None:
    """Records are accepted from a member that reaches nobody."""
    core.Membership._merge = (  # type: ignore[method-assign]
        lambda self, now, message: self._apply_all(now, message.records)
    )


def without_leave_message() -> None:
    """A planned shutdown is not announced."""
    core.Membership.leave = lambda self, now: []  # type: ignore[method-assign]


def without_rediscovery() -> None:
    """Removed members and seeds are contacted only until the router has joined."""
    discover = core.Membership._discover

    def only_while_joining(self: core.Membership) -> None:
        if not self.joined:
            discover(self)

    core.Membership._discover = only_while_joining  # type: ignore[method-assign]


def without_name_conflicts() -> None:
    """Two routers of the same name are not told apart."""
    core.Membership._resolve_name_conflict = lambda self, now, run, source: None  # type: ignore[method-assign]


def ignores_refused_connections() -> None:
    """A refused connection does not count as evidence of a failure."""
    watch.PeerMonitor.refusing = property(lambda self: False)  # type: ignore[assignment, method-assign]


def removes_on_own_observation() -> None:
    """A router removes a member that it does not reach itself, whatever others report."""
    death_reason = core.Membership._death_reason

    def from_own_observation(
        self: core.Membership, now: float, name: str, info: Any, observers: frozenset[str]
    ) -> str:
        if name in self.monitors and name not in self.own_record.reachable:
            return "not reached from here"
        return death_reason(self, now, name, info, observers)

    core.Membership._death_reason = from_own_observation  # type: ignore[method-assign]
    direct_reach_only()


def forgets_own_incarnations() -> None:
    """A router that starts does not learn which incarnations of its name existed before."""
    core.Membership._handle_discover_reply = _without_own_incarnations(core.Membership._handle_discover_reply)  # type: ignore[method-assign]
    without_refutation()


def _without_own_incarnations(handle_reply: Any) -> Any:
    def handle_stripped(self: core.Membership, now: float, message: wire.DiscoverReply) -> None:
        message.about_receiver = None
        handle_reply(self, now, message)

    return handle_stripped


def resends_paid_requests() -> None:
    """A successor sends a paid request again that its former owner may have sent already."""
    value_after_takeover = register.value_after_takeover

    def resent(found: Any, asker: str, intent: Any) -> Any:
        if found is not None and found.paid and found.phase is register.Phase.INTENT:
            return register.with_next_owner(found, asker)
        return value_after_takeover(found, asker, intent)

    register.value_after_takeover = resent


def without_leases() -> None:
    """Replicas grant a record to others while the owner's lease still runs."""
    replica.Replica.lease_left_ms = lambda self, owner, now: 0.0  # type: ignore[method-assign]


def sends_without_lease() -> None:
    """An owner sends without holding a lease."""
    ownership_core.OwnershipCore.may_act = lambda self, id, now: id in self.owned  # type: ignore[method-assign]


def without_fencing() -> None:
    """A replica does not tell the former owner that a record has a new one."""
    replica.Replica._fence = lambda self, owner: None  # type: ignore[method-assign]


def releases_at_once() -> None:
    """A session is released before it is certain that this router still owns it."""
    component.OwnershipComponent.release = (  # type: ignore[method-assign]
        lambda self, request, cause: request.servers.release(request, cause)
    )


def identifies_members_by_name() -> None:
    """A restarted router counts as the same run as before."""
    member: Any = ownership_wire.Member
    member.member_id = property(lambda self: self.name)
    member.__eq__ = lambda self, other: self.name == other.name
    member.__hash__ = lambda self: hash(self.name)


def without_loss_detection() -> None:
    """Records whose replicas were mostly lost count as never written."""
    placement.may_be_lost = lambda *_: False


def accepts_majority_claims() -> None:
    """A claim succeeds once a majority of replicas has accepted it, as a write after a read does."""
    ownership_core.OwnershipCore._wins = (  # type: ignore[method-assign]
        lambda self, now, attempt: len(attempt.written) >= register.majority(len(attempt.replicas))
    )


LAB_MEMBERS, VIRTUAL_MEMBERS = "tests/test_lab_members.py", "tests/test_members.py"
LAB_OWNERSHIP, MODEL_OWNERSHIP = "tests/test_lab_ownership.py", "tests/test_ownership.py"
GUARDS: dict[str, tuple[Callable[[], None], list[str]]] = {
    "a process that slept credits the others with that time": (
        without_pause_detection,
        [
            f"{LAB_MEMBERS}::test_all_paused_at_once",
            f"{VIRTUAL_MEMBERS}::test_all_paused_at_once_accuse_nobody",
        ],
    ),
    "who is reached over others is in": (
        direct_reach_only,
        [
            f"{LAB_MEMBERS}::test_two_are_cut_while_both_reach_a_third",
            f"{LAB_MEMBERS}::test_a_hears_b_but_b_not_a",
            f"{LAB_MEMBERS}::test_one_site_reaches_half_of_another",
        ],
    ),
    "a member is out by its observers' word, not by one's": (
        removes_on_own_observation,
        [
            f"{LAB_MEMBERS}::test_a_third_lost_doubled_and_out_of_order",
            f"{LAB_MEMBERS}::test_a_hears_b_but_b_not_a",
        ],
    ),
    "who is held for dead and is not comes back by a new incarnation": (
        without_refutation,
        [
            f"{LAB_MEMBERS}::test_a_pause_under_the_bound_and_one_over_it",
            f"{LAB_MEMBERS}::test_a_split_settles_on_both_sides_and_heals",
            f"{LAB_MEMBERS}::test_a_router_that_nobody_hears_is_out_learns_it_and_returns_once",
        ],
    ),
    "a starter asks which incarnations of its name were there": (
        forgets_own_incarnations,
        [
            f"{LAB_MEMBERS}::test_restarted_at_once_under_the_same_name",
            f"{LAB_MEMBERS}::test_a_killed_router_is_out_and_comes_back_as_a_higher_incarnation",
        ],
    ),
    "no number of a run counts twice": (
        without_replay_window,
        [f"{LAB_MEMBERS}::test_forged_and_replayed_datagrams"],
    ),
    "what is not signed with the key is refused": (
        without_signature_check,
        [f"{LAB_MEMBERS}::test_forged_and_replayed_datagrams"],
    ),
    "the word of one that hears nobody is not taken": (
        accepts_isolated_senders,
        [
            f"{VIRTUAL_MEMBERS}::test_a_member_that_hears_nobody_or_that_nobody_hears_is_out_once_and_learns_it"
        ],
    ),
    "a planned end is told": (
        without_leave_message,
        [f"{LAB_MEMBERS}::test_a_rolling_end_of_all_accuses_nobody"],
    ),
    "those who are out, and the seeds, are asked again and again": (
        without_rediscovery,
        [
            f"{LAB_MEMBERS}::test_a_split_settles_on_both_sides_and_heals",
            f"{LAB_MEMBERS}::test_a_joiner_whose_seeds_are_all_down",
        ],
    ),
    "two routers of one name tell each other apart": (
        without_name_conflicts,
        [f"{LAB_MEMBERS}::test_two_routers_of_one_name"],
    ),
    "the word of one that is not reached counts for nothing": (
        counts_unreachable_members,
        [f"{LAB_MEMBERS}::test_half_of_the_members_killed_within_100_ms"],
    ),
    "an address that refuses is evidence": (
        ignores_refused_connections,
        [
            f"{LAB_MEMBERS}::test_half_of_the_members_killed_within_100_ms",
            f"{VIRTUAL_MEMBERS}::test_half_of_the_members_killed_at_once",
            f"{VIRTUAL_MEMBERS}::test_a_killed_member_is_out_everywhere_within_two_seconds",
        ],
    ),
}
OWNERSHIP: dict[str, tuple[Callable[[], None], list[str]]] = {
    "a paid intent is never sent by a successor": (
        resends_paid_requests,
        [f"{LAB_OWNERSHIP}::test_killed_between_the_send_and_the_answer_a_paid_play_has_failed_for_good"],
    ),
    "a keeper denies others while the owner's lease runs": (
        without_leases,
        [f"{LAB_OWNERSHIP}::test_two_fetches_at_two_routers_at_once_are_one_set_up"],
    ),
    "an owner without a lease sends nothing": (
        sends_without_lease,
        [f"{MODEL_OWNERSHIP}::test_a_set_up_about_to_leave_stays_after_a_pause_and_is_known_to_be_lost"],
    ),
    "a keeper tells an owner that another has come": (
        without_fencing,
        [f"{MODEL_OWNERSHIP}::test_an_owner_that_slept_knows_what_was_taken_from_it"],
    ),
    "no release before it is certain": (
        releases_at_once,
        [f"{LAB_OWNERSHIP}::test_a_viewer_s_end_that_waited_in_a_paused_router_ends_no_successor_s_session"],
    ),
    "a restarted router is another run": (
        identifies_members_by_name,
        [f"{MODEL_OWNERSHIP}::test_all_but_one_restart_and_what_they_kept_is_unknown"],
    ),
    "what most keepers of a record took with them is unknown": (
        without_loss_detection,
        [f"{MODEL_OWNERSHIP}::test_all_but_one_restart_and_what_they_kept_is_unknown"],
    ),
    "a claim counts once all keepers have taken it": (
        accepts_majority_claims,
        [f"{MODEL_OWNERSHIP}::test_a_claim_that_one_keeper_took_hides_nothing_that_most_hold"],
    ),
}
GROUPS = {
    "members": dict(GUARDS),
    "custody": OWNERSHIP,
    "operation": operations_guards.GUARDS,
    "store": store_guards.GUARDS,
}
GUARDS |= OWNERSHIP | operations_guards.GUARDS | store_guards.GUARDS


def remove_named_guard() -> None:
    """Disables the check that LAB_GUARD_OUT names, if it is set; raises KeyError for an unknown name."""
    if name := os.environ.get(GUARD_VARIABLE):
        GUARDS[name][0]()


def router_command() -> list[str]:
    """Arguments that start a router in Python, with the check disabled that LAB_GUARD_OUT names, if set."""
    if GUARD_VARIABLE not in os.environ:
        return ["-m", "cloverhinge"]
    return [
        "-c",
        "import sys; from tests.guards import remove_named_guard; remove_named_guard(); "
        "from cloverhinge.cli import main; sys.exit(main(sys.argv[1:]))",
    ]


TEST_TIMEOUT_S = 120.0  # for one test with its check disabled; most tests have a limit of 20 s themselves


def main() -> int:
    """Runs the tests of a group of checks, each with its check disabled; exit status 1 if one passes."""
    from benchmarks.tables import write_results

    rows: list[dict[str, object]] = []
    group = next((x for x in sys.argv[1:] if x in GROUPS), "members")
    for name, (_, tests) in GROUPS[group].items():
        for test in tests:
            result = subprocess.run(
                [sys.executable, "-m", "pytest", "-n", "0", test],
                capture_output=True,
                text=True,
                env={**os.environ, GUARD_VARIABLE: name},
                timeout=TEST_TIMEOUT_S,
            )
            outcome = "fails" if result.returncode == 1 else f"PASSES ({result.returncode})"
            rows.append({"taken out": name, "test": test.partition("::")[2], "without it": outcome})
            print(rows[-1], flush=True)
    write_results(
        f"{group}_guards",
        f"{'Membership' if group == 'members' else group.capitalize()}: " "each test without its guard",
        [("`fails` is what is wanted: the same test passes with the guard in.", rows)],
        "python -m tests.guards" + ("" if group == "members" else f" {group}"),
    )
    return int(any(row["without it"] != "fails" for row in rows))


if __name__ == "__main__":
    sys.exit(main())
