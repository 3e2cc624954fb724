"""Ownership cores in virtual time: take-over, hand-over, replica sets, and random schedules."""

from __future__ import annotations

import pytest

from cloverhinge.emulator.disks import Disk
from cloverhinge.emulator.ownership_world import Fetch, OwnershipWorld, random_fault_run
from cloverhinge.ownership import placement, register
from cloverhinge.ownership.model import Rules, Stage, Verdict
from cloverhinge.ownership.register import EMPTY_SLOT, Accepted, Denied, Phase, Slot, Work
from cloverhinge.ownership.wire import Hole, Member

SEEDS = range(10)  # of random schedules; more with `python -m tests.test_ownership FIRST LAST`
SPAN_MS = 30_000.0


def world(count: int = 5, seed: int = 1, sites: int = 1) -> OwnershipWorld:
    made = OwnershipWorld(count, seed, sites=sites)
    made.start(3000.0)
    made.run_until_replica_set_agreed()
    return made


def fetched(made: OwnershipWorld, at: int, id: str, ms: float = 4000.0) -> str:
    fetch: Fetch = made.ownership_routers[at].fetch(id)
    until = made.net.now + ms
    while not fetch.answer and made.net.now < until:
        made.net.run(5.0)
    return fetch.answer


@pytest.mark.parametrize("seed", SEEDS)
def test_random_schedules_violate_no_guarantee(seed: int) -> None:
    made = random_fault_run(seed, SPAN_MS)
    assert not made.violations()
    if not sum(x.ownership.counters.unknown for x in made.ownership_routers):
        assert not made.unowned()


@pytest.mark.parametrize("seed", (*SEEDS, 22, 329))  # the last two once ended without a replica set
def test_random_schedules_with_stores_violate_no_guarantee_even_if_all_are_killed_at_once(seed: int) -> None:
    made = random_fault_run(seed, SPAN_MS, stores=True)
    assert not made.violations()


def test_a_killed_owner_s_sessions_are_spread_and_owned_again_within_three_seconds() -> None:
    made = world(5)
    for number in range(60):
        made.ownership_routers[1].fetch(f"p{number}")
    made.net.run(1000.0)
    made.ownership_routers[1].kill()
    begun = made.net.now
    while made.unowned():
        made.net.run(25.0)
        assert made.net.now - begun < 3000.0
    shares = [len(x.ownership.owned) for x in made.ownership_routers if x.running]
    assert sum(shares) == 60 and max(shares) <= 30, shares


def test_the_first_replica_set_needs_a_majority_of_routers_and_later_ones_of_the_last_set() -> None:
    made = OwnershipWorld(5, 3)
    for router in made.routers[:2]:
        router.start()
    made.net.run(10_000.0)
    assert all(x.ownership.replica_sets.current is None for x in made.ownership_routers[:2])
    assert fetched(made, 0, "p0") == "refused" and not made.sessions
    made.routers[2].start()
    made.run_until_replica_set_agreed()
    made.ownership_routers[1].kill()
    made.ownership_routers[2].kill()
    made.net.run(10_000.0)
    assert made.ownership_routers[0].ownership.replica_sets.stuck_reason
    assert fetched(made, 0, "p1") == "refused" and "p1" not in made.sessions
    made.routers[1].start()
    made.routers[2].start()
    made.run_until_replica_set_agreed()
    assert fetched(made, 1, "p2") == "failed"  # two of three replicas were lost: it may have been set up
    made.net.run(made.ownership_rules.hole_ms)
    assert fetched(made, 1, "p3") == "200"


def test_all_restart_at_once_and_earlier_records_are_unknown() -> None:
    made = world(5)
    assert fetched(made, 0, "p0") == "200"
    for router in made.routers:
        router.kill()
        router.start()
    made.net.run(3000.0)
    made.run_until_replica_set_agreed()
    # No router has any state: it is a new installation, or all records count as unknown.
    assert fetched(made, 2, "p0") in ("failed", "200")


def with_stores(count: int = 5, sync_ms: float = 8.0, lease_ms: float = 1500.0) -> OwnershipWorld:
    made = OwnershipWorld(count, 1, stores=True, ownership_rules=Rules(lease_ms=lease_ms))
    made.disks = {x.name: Disk(made.net.random, sync_ms) for x in made.routers}
    made.start(3000.0)
    made.run_until_replica_set_agreed()
    return made


def test_all_restart_at_once_with_stores_and_all_that_was_paid_goes_on() -> None:
    made = with_stores(7)
    for number in range(20):
        assert fetched(made, number % 7, f"p{number}") == "200"
    for times in (1, 2):
        for router in made.routers:
            router.kill()
            router.start()
        begun = made.net.now
        made.run_until_replica_set_agreed()
        while not fetched(made, 0, "p0") == "200":
            assert made.net.now - begun < 5000.0
        assert {fetched(made, (number + times) % 7, f"p{number}") for number in range(20)} == {"200"}
        assert all(len(x.sent) == 1 for x in made.sessions.values()) and not made.violations()


def test_what_was_not_safe_was_not_said() -> None:
    """A power failure just after a set-up's first byte was sent: no commit under way reaches a disk."""
    made = with_stores(5, sync_ms=200.0)
    made.ownership_routers[1].fetch("p0")
    begun = made.net.now
    while not made.session("p0").sent:
        made.net.run(0.5)
        assert made.net.now - begun < 3000.0
    for router in made.ownership_routers:
        router.disk.pending.clear()
        router.kill()
        router.start()
    made.run_until_replica_set_agreed()
    answers = [fetched(made, 2, "p0") for _ in range(4)]  # with so slow a disk it may be refused at first
    assert answers[-1] in ("failed", "200"), answers
    assert len(made.session("p0").sent) == 1 and not made.violations()


def test_a_keeper_that_comes_back_at_once_honours_the_lease_it_had_granted() -> None:
    """The owner is paused with a set-up about to be sent, and may still send it when it resumes."""
    made = with_stores(5, lease_ms=20_000.0)
    owner = made.ownership_routers[1]
    fetch = owner.fetch("p0")
    begun = made.net.now
    while owner.sessions.get("p0") != "open":
        made.net.run(0.1)
        assert made.net.now - begun < 3000.0
    made.net.pause(owner.process)
    for router in made.routers:
        if router is not owner:
            router.kill()
            router.start()
    begun = made.net.now
    while not all(x.ownership.replica_sets.active for x in made.ownership_routers if x is not owner):
        made.net.run(25.0)
        assert made.net.now - begun < 14_000.0
    assert fetched(made, 2, "p0", 1000.0) == ""  # not answered: the owner may act
    made.net.resume(owner.process)
    made.net.run(50.0)
    assert made.session("p0").sent
    made.net.run(40_000.0)
    assert fetched(made, 3, "p0") in ("200", "failed") and not made.violations() and fetch.answer != ""


def test_all_but_one_restart_and_what_they_kept_is_unknown() -> None:
    made = world(5)
    for number in range(20):
        assert fetched(made, 1, f"p{number}") == "200"
    for router in made.routers[1:]:
        router.kill()
        router.start()
    made.run_until_replica_set_agreed()
    answers = {fetched(made, 2, f"p{number}") for number in range(20)}
    assert answers <= {"failed", "200"} and not made.violations()


def test_a_single_router_replicates_its_own_work() -> None:
    made = world(1)
    assert fetched(made, 0, "p0") == "200" and not made.violations()


def test_a_set_up_about_to_leave_stays_after_a_pause_and_is_known_to_be_lost() -> None:
    made = world(5)
    owner = made.ownership_routers[1]
    fetch = owner.fetch("p0")
    while owner.sessions.get("p0") != "open":
        made.net.run(0.1)
    made.net.pause(owner.process)
    assert fetched(made, 2, "p0") == "failed"
    made.net.resume(owner.process)
    made.net.run(500.0)
    assert not made.session("p0").sent and fetch.answer == "refused"
    assert not owner.ownership.may_act("p0", made.net.now)


def test_an_owner_that_slept_knows_what_was_taken_from_it() -> None:
    made = world(5)
    owner = made.ownership_routers[1]
    assert fetched(made, 1, "p0") == "200"
    made.net.pause(owner.process)
    made.net.cut(
        [made.ownership_routers[2].address], [owner.address], both=False
    )  # only replicas can tell it
    assert fetched(made, 2, "p0") == "200"
    made.net.heal()
    made.net.resume(owner.process)
    made.net.run(1000.0)
    assert not owner.ownership.may_act("p0", made.net.now) and made.owners("p0") == ["r002"]
    assert owner.ownership.counters.fenced == 1


def test_a_handed_over_record_is_not_claimed_as_new_in_the_next_replica_set() -> None:
    made = world(5)
    assert fetched(made, 1, "p0") == "200" and fetched(made, 2, "p0") == "200"
    made.ownership_routers[4].kill()
    made.run_until_replica_set_agreed()
    assert fetched(made, 1, "p0") == "200" and not made.violations()


def test_a_claim_that_one_keeper_took_hides_nothing_that_most_hold() -> None:
    """One replica missed what two others accepted, and alone accepts a later claim; the owner is paused."""
    made = world(3)
    a, b, c = made.ownership_routers
    made.net.cut([a.address], [c.address])
    a.fetch("p0")
    made.net.run(20.0)
    assert "p0" not in a.sessions  # two accepted the claim: the third may have accepted another's
    assert fetched(made, 0, "p0") == "200"
    made.net.pause(a.process)
    made.net.heal()
    assert fetched(made, 2, "p0") == "200"
    assert len(made.session("p0").sent) == 1 and made.owners("p0") == ["r002"]


def test_a_prepared_record_not_acted_on_is_no_failure_after_a_change_of_the_replica_set() -> None:
    """The write follows a prepare round, as a replica is unreachable; the replica set changes when one
    replica has accepted it."""
    made = world(5)
    asker = made.ownership_routers[0]
    keepers = asker.ownership.replicas_of("p0")
    away = next(x for x in made.ownership_routers if x.ownership.own_id in keepers and x is not asker)
    made.net.cut([away.address], [asker.address])
    fetch = asker.fetch("p0")
    begun = made.net.now
    while (attempt := asker.ownership.acquisitions.get("p0")) is None or attempt.stage is not Stage.WRITE:
        made.net.run(0.1)
        assert made.net.now - begun < 1000.0
    attempt.wrote_prepared = False  # as where the attempt began with a prepare round
    asker.ownership._decide(made.net.now, attempt, None, False)
    made.net.run(0.3)
    attempt.stage, attempt.next_ms, attempt.may_claim = Stage.WAIT, made.net.now, False
    made.net.run(1000.0)
    assert fetch.answer == "200" and not made.violations()


def test_replicas_are_on_other_sites_first_and_spread() -> None:
    members = tuple(Member(f"r{n}", n, f"s{n % 3}") for n in range(9))
    sites = {x.member_id: x.site for x in members}
    for number in range(100):
        chosen = placement.choose_replicas(f"h/{number}", members, 3)
        assert {sites[x] for x in chosen} == {"s0", "s1", "s2"}
    counts = [
        sum(x.member_id in placement.choose_replicas(f"h/{n}", members, 3) for n in range(300))
        for x in members
    ]
    assert min(counts) > 50, counts


def test_a_successor_is_drawn_by_spare_capacity() -> None:
    spare_capacity = {"a": 300.0, "b": 100.0, "c": 0.0}
    drawn = [placement.choose_successor(f"h/{n}", ("a", "b", "c"), spare_capacity) for n in range(400)]
    assert drawn.count("a") > 2 * drawn.count("b") > 20 * drawn.count("c")


def test_a_record_is_lost_with_a_majority_of_its_replicas_until_it_is_written_again() -> None:
    members = tuple(Member(f"r{n}", n) for n in range(5))
    chosen = placement.choose_replicas("h/1", members, 3)
    assert placement.may_be_lost("h/1", 0, Hole(4, members, chosen[:2]), 3)
    assert not placement.may_be_lost("h/1", 0, Hole(4, members, chosen[:1]), 3)
    assert not placement.may_be_lost("h/1", placement.first_counter(5) + 1, Hole(4, members, chosen[:2]), 3)


def test_a_claim_is_accepted_only_by_an_empty_slot_and_later_writes_keep_its_term() -> None:
    mine, other = Work("a#1", 1, Phase.INTENT, True), Work("b#1", 1, Phase.INTENT, True)
    slot, reply = register.accept(EMPTY_SLOT, (1, "a#1", 0), mine, is_claim=True)
    assert isinstance(reply, Accepted)
    assert isinstance(register.accept(slot, (1, "b#1", 0), other, is_claim=True)[1], Denied)
    assert isinstance(register.accept(slot, (2, "a#1", 0), mine, is_claim=True)[1], Denied)
    assert isinstance(register.accept(slot, (1, "a#1", 1), mine)[1], Accepted)
    promised = Slot((2, "b#1", 0), slot.accepted, slot.work)
    assert isinstance(register.accept(promised, (1, "a#1", 1), mine)[1], Denied)


def test_claims_are_bounded() -> None:
    made = world(3)
    core, now = made.ownership_routers[0].ownership, made.net.now
    core.acquisitions = {str(n): None for n in range(5000)}  # type: ignore[misc]
    actions = core.claim(now, 1, "h/x", True, b"", now + 10, now + 10)
    assert [x.verdict for x in actions if hasattr(x, "verdict")] == [Verdict.UNREPLICATED]


def main() -> None:
    """Random schedules by the hundred: `python -m tests.test_ownership FIRST LAST [stores]`."""
    import sys
    from concurrent.futures import ProcessPoolExecutor
    from functools import partial

    first, last = int(sys.argv[1]), int(sys.argv[2])
    with ProcessPoolExecutor() as pool:
        result_of = partial(random_schedule_result, stores="stores" in sys.argv)
        for seed, result in zip(range(first, last), pool.map(result_of, range(first, last)), strict=True):
            if result:
                print(seed, result, flush=True)
    print(f"{last - first} schedules")


def random_schedule_result(seed: int, stores: bool) -> str:
    """What a random schedule has violated; empty where nothing was."""
    try:
        made = random_fault_run(seed, stores=stores)
    except AssertionError as error:
        return f"no replica set: {str(error)[:300]}"
    unknown = sum(x.ownership.counters.unknown for x in made.ownership_routers)
    return "; ".join([*made.violations(), *([] if unknown else made.unowned())])


if __name__ == "__main__":
    main()
