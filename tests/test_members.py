"""The membership protocol in virtual time: the real core on a simulated network, for each kind of fault."""

from __future__ import annotations

from contextlib import suppress
from functools import partial

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverhinge.emulator.network import LinkConditions
from cloverhinge.emulator.routers import Router, World
from cloverhinge.members import core, wire
from cloverhinge.members.table import MAX_RECORDS, MemberTable
from cloverhinge.members.wire import Record, State

BOUND_MS = 3500.0  # a shorter pause removes no member (docs/design/members.md)
ALL_KNOW_MS = 2000.0
HEALED_MS = 3000.0
OUT_MS = 7000.0  # after which a silent member has been removed everywhere


def begun(count: int, seed: int = 1, sites: int = 1, way: LinkConditions | None = None) -> World:
    world = World(count, seed, sites)
    if way is not None:
        world.net.default_conditions = way
    for router in world.routers:
        router.start()
    world.run_until_agreed(10_000.0)
    world.net.run(5000.0)
    world.changes.clear()
    return world


def places(routers: list[Router]) -> list[tuple[str, int]]:
    return [x.address for x in routers]


@pytest.mark.parametrize("count", [2, 3, 5, 16])
def test_a_killed_member_is_out_everywhere_within_two_seconds(count: int) -> None:
    world = begun(count)
    world.routers[1].kill()
    assert world.run_until_agreed(ALL_KNOW_MS) <= ALL_KNOW_MS
    assert {x.change.name for x in world.changes_of("dead")} == {"r001"}


@pytest.mark.parametrize("count", [2, 3, 5, 16])
def test_a_pause_under_the_bound_removes_nobody_one_over_it_is_one_removal_and_return(count: int) -> None:
    world = begun(count)
    paused = world.routers[0]
    world.net.pause(paused.process)
    world.net.run(BOUND_MS - 100.0)
    world.net.resume(paused.process)
    world.net.run(5000.0)
    assert not world.changes_of("dead") and world.agreed() and len(paused.pauses_ms) == 1
    world.net.pause(paused.process)
    world.net.run(OUT_MS)
    others = world.routers[1:]
    assert world.agreed(others)
    world.net.resume(paused.process)
    world.run_until_agreed(HEALED_MS)
    world.net.run(5000.0)
    assert world.agreed()
    assert sorted((x.observer, x.change.name) for x in world.changes_of("dead")) == [
        (x.name, paused.name) for x in others
    ]
    assert all(
        len([x for x in world.changes_of("returned") if x.observer == y.name]) == 1 for y in world.routers
    )
    assert len(paused.voided) == 1 and len(paused.pauses_ms) == 2


def test_all_paused_at_once_accuse_nobody() -> None:
    """Paused routers must not remove others because of their own expired timers."""
    world = begun(8)
    world.net.pause(world.routers[0].process)
    world.net.run(2000.0)  # it is suspect when the others are paused
    for router in world.routers[1:]:
        world.net.pause(router.process)
    world.net.run(20_000.0)
    for n, router in enumerate(world.routers):
        world.net.schedule(n * 150.0, partial(world.net.resume, router.process))
    world.net.run(8000.0)
    assert world.agreed() and not world.changes_of("dead")


@pytest.mark.parametrize("seed", range(3))
def test_a_third_of_the_messages_lost_doubled_and_late_removes_nobody(seed: int) -> None:
    world = begun(8, seed)
    world.net.default_conditions = LinkConditions(loss=0.3, twice=0.2, late=0.2, jitter_ms=30.0)
    world.net.run(60_000.0)
    assert not world.changes_of("dead") and not world.changes_of("returned")
    world.routers[3].kill()
    world.run_until_agreed(2 * ALL_KNOW_MS)


def test_a_restart_under_the_same_name_is_a_higher_incarnation_and_old_words_are_void() -> None:
    world = begun(5)
    late: list[bytes] = []
    world.routers[2].send = lambda to, body, reliable=False: late.append(body)  # type: ignore[method-assign]
    world.net.run(500.0)
    del world.routers[2].send
    world.routers[2].kill()
    world.routers[2].start()
    world.net.run(4000.0)
    assert world.agreed()
    assert {x.members.table.records["r002"].incarnation for x in world.routers} == {2}
    before = [x.members.view() for x in world.routers]
    for body in late:  # late datagrams of the previous run
        for other in (world.routers[0], world.routers[2]):
            other.perform(other.members.receive(world.net.now, wire.decode(body)), world.routers[2].address)
    world.net.run(4000.0)
    assert [x.members.view() for x in world.routers] == before


def test_one_sided_cut_of_a_pair_is_shown_as_a_link_and_puts_nobody_out() -> None:
    world = begun(5)
    one, other = world.routers[0], world.routers[1]
    world.net.change(one.address, other.address, cut=True)
    world.net.run(30_000.0)
    assert world.agreed() and not world.changes_of("dead")
    for router in world.routers:
        assert router.members.split_observers("r001")[1] == ["r000"] and router.members.split_observers(
            "r000"
        )[1] == ["r001"]
    world.net.heal()
    world.net.run(3000.0)
    assert all(not router.members.split_observers("r001")[1] for router in world.routers)


def test_two_who_are_cut_but_both_reach_a_third_stay_in() -> None:
    world = begun(3)
    world.net.cut([world.routers[0].address], [world.routers[1].address])
    world.net.run(30_000.0)
    assert world.agreed() and not world.changes_of("dead") and not world.changes_of("suspect")


def test_one_site_that_reaches_half_of_another_removes_nobody() -> None:
    world = begun(8, sites=2)
    here, there = world.routers[::2], world.routers[1::2]
    world.net.cut(places(here), places(there[:2]))
    world.net.run(30_000.0)
    assert world.agreed() and not world.changes_of("dead")


@pytest.mark.parametrize("deaf", [True, False])
def test_a_member_that_hears_nobody_or_that_nobody_hears_is_out_once_and_learns_it(deaf: bool) -> None:
    """The member returns once the links are repaired, and not before, so that it does not flap."""
    world = begun(5)
    one, others = world.routers[0], world.routers[1:]
    for other in others:
        world.net.change(*((other.address, one.address) if deaf else (one.address, other.address)), cut=True)
    world.net.run(30_000.0)
    assert world.agreed(others)
    assert sorted(
        x.observer for x in world.changes_of("dead") if x.change.name == one.name and x.observer != one.name
    ) == [x.name for x in others]
    assert not [x for x in world.changes_of("returned") if x.observer != one.name]
    if not deaf:
        assert one.voided, "it receives the others' record of it"
    world.net.heal()
    world.run_until_agreed(HEALED_MS)
    world.net.run(5000.0)
    assert world.agreed()


@pytest.mark.parametrize("left", [3, 2])
def test_each_side_of_a_split_settles_and_knows_its_size_and_heals_to_one_view(left: int) -> None:
    world = begun(2 * left - left % 2)
    some, others = world.routers[:left], world.routers[left:]
    world.net.cut(places(some), places(others))
    world.net.run(OUT_MS)
    assert world.agreed(some) and world.agreed(others)
    assert [x.members.view().majority for x in world.routers] == [left == 3] * left + [False] * len(others)
    world.net.heal()
    world.run_until_agreed(HEALED_MS)
    world.net.run(5000.0)
    assert world.agreed() and all(x.members.view().majority for x in world.routers)
    assert {x.members.own_record.incarnation for x in world.routers} == {2}


def test_half_of_the_members_killed_at_once() -> None:
    world = begun(16)
    for router in world.routers[::2]:
        router.kill()
    assert world.run_until_agreed(ALL_KNOW_MS) <= ALL_KNOW_MS


def test_a_planned_end_is_told_before_it_happens() -> None:
    world = begun(5)
    leaver = world.routers[1]
    leaver.perform(leaver.members.leave(world.net.now))
    world.net.run(300.0)
    leaver.kill()
    world.net.run(10_000.0)
    assert world.agreed() and not world.changes_of("dead") and not world.changes_of("suspect")
    assert {x.members.state("r001") for x in world.routers if x is not leaver} == {"left"}
    assert world.routers[0].members.view().expected == 4


def test_a_joiner_whose_seeds_are_all_down_begins_alone_and_goes_on_trying() -> None:
    world = World(4, 5)
    world.routers[3].start()
    world.net.run(3000.0)
    assert world.routers[3].members.view().names == ("r003",)
    assert any("starting as the only member" in x for x in world.routers[3].log_lines)
    for router in world.routers[:3]:
        router.start()
    world.run_until_agreed(5000.0)


def test_two_routers_of_one_name_the_later_one_stays_out_and_both_say_it() -> None:
    world = begun(4)
    duplicate = Router(world, "r001", "s0", ("127.9.9.9", 7000), world.routers[1].join)
    world.by_address[duplicate.address] = duplicate
    duplicate.start()
    world.net.run(10_000.0)
    assert not duplicate.members.joined and world.agreed(world.routers)
    assert any("the name r001 is already used by another running router" in x for x in duplicate.log_lines)
    assert any("another router uses the name r001 too" in x for x in world.routers[1].log_lines)
    world.routers[1].kill()
    world.net.run(15_000.0)
    assert duplicate.members.joined and world.agreed([world.routers[0], duplicate, *world.routers[2:]])


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_member_stays_though_a_process_of_its_name_answers_in_another_s_place(seed: int) -> None:
    """Members keep sending to the address of a dead one; an answer of a non-member there removes nobody."""
    world = begun(4, seed)
    world.routers[3].kill()
    world.net.run(5000.0)
    duplicate = Router(world, "r001", "s0", world.routers[3].address, world.routers[1].join)
    world.by_address[duplicate.address] = duplicate
    duplicate.start()
    world.net.run(12_000.0)
    assert world.routers[1].members.joined and not duplicate.members.joined
    assert world.agreed(world.routers[:3])


@pytest.mark.parametrize("seed", range(1, 9))
def test_of_two_that_start_with_one_name_one_comes_in(seed: int) -> None:
    world = World(4, seed)
    duplicate = Router(world, "r001", "s0", ("127.9.9.9", 7000), world.routers[1].join)
    world.by_address[duplicate.address] = duplicate
    for router in (*world.routers, duplicate):
        router.start()
    world.net.run(20_000.0)
    assert world.routers[1].members.joined is not duplicate.members.joined


def test_facts_reach_all_and_what_was_lost_is_healed() -> None:
    world = begun(16, way=LinkConditions(loss=0.3))
    with pytest.raises(ValueError, match="facts of 600 bytes exceed the maximum of 512 bytes"):
        world.routers[0].members.publish(world.net.now, bytes(600))
    for n in range(5):
        world.routers[0].perform(world.routers[0].members.publish(world.net.now, b"fact %d" % n))
        world.net.run(1500.0)
    world.net.run(3000.0)
    assert {x.members.table.records["r000"].facts for x in world.routers} == {b"fact 4"}


def test_bandwidth_does_not_grow_with_the_members() -> None:
    rates = []
    for count in (16, 64):
        world = begun(count)
        world.net.run(20_000.0)
        before = world.net.messages
        world.net.run(5000.0)
        rates.append((world.net.messages - before) / count / 5.0)
    assert rates[1] < 1.15 * rates[0]


def test_a_common_start_makes_no_herd_of_timers() -> None:
    """Members started at the same instant must not send in bursts."""
    world = begun(16)
    slices = []
    for _ in range(80):
        before = world.net.messages
        world.net.run(25.0)
        slices.append(world.net.messages - before)
    assert max(slices) < 3.0 * sum(slices) / len(slices)


def test_who_left_makes_room_in_a_full_table_and_who_is_dead_does_not() -> None:
    table = MemberTable()
    for n in range(MAX_RECORDS):
        state = State.LEFT if n == 7 else State.DEAD if n == 9 else State.ALIVE
        assert table.put(Record(f"m{n}", 1, n, state, 0, "127.0.0.1", 1))
    assert table.view().expected == MAX_RECORDS - 1
    assert table.put(Record("late", 1, 1, State.ALIVE, 0, "127.0.0.1", 1)) and "m7" not in table.records
    assert not table.put(Record("later", 1, 1, State.ALIVE, 0, "127.0.0.1", 1)) and table.rejected == 1


def test_whoever_acts_after_a_pause_is_told_of_it_first() -> None:
    """Components act between two ticks; `check_pause` reports the pause before anything is sent."""
    world = begun(3)
    paused = world.routers[0]
    world.net.pause(paused.process)
    world.net.run(2000.0)
    told = paused.members.check_pause(world.net.now)
    assert isinstance(told[0], core.ProcessPaused) and told[0].ms > 1900.0
    assert not paused.members.trusted, "it has to resync before it acts"
    world.net.resume(paused.process)
    world.net.run(1500.0)
    assert paused.members.trusted and not paused.pauses_ms, "the pause is reported once"


def test_two_keys_are_taken_while_one_is_changed_and_no_other() -> None:
    old, new = b"o" * 32, b"n" * 32
    body = wire.encode(wire.Update(sender="a", run=1, to_run=2, number=3))
    assert wire.Authenticator((new, old)).verify(wire.Authenticator((old,)).sign(body)) == body
    assert wire.Authenticator((old, new)).verify(wire.Authenticator((new, old)).sign(body)) == body
    for sealed, kind in (
        (wire.Authenticator((old,)).sign(body), "key"),
        (wire.Authenticator((new,)).sign(body)[:-1] + b"x", "key"),
        (b"", "malformed"),
        (b"CH\2" + bytes(40), "version"),
    ):
        with pytest.raises(wire.MessageError) as bad:
            wire.Authenticator((new,)).verify(sealed)
        assert bad.value.kind == kind


@given(st.binary(max_size=200))
def test_no_bytes_do_more_than_be_refused(body: bytes) -> None:
    with suppress(wire.MessageError):
        wire.decode(body)


def test_a_record_over_its_bounds_is_refused_when_it_is_read() -> None:
    for record in (
        Record("a", 1, 1, State.ALIVE, 0, "h", 1, facts=bytes(513)),
        Record("a", 1, 1, State.ALIVE, 0, "h", 1, reachable=("b",) * 65),
        Record("", 1, 1, State.ALIVE, 0, "h", 1),
    ):
        with pytest.raises(wire.MessageError):
            wire.decode(wire.encode(wire.Update(records=[record])))


RECORDS = st.lists(
    st.builds(
        Record,
        name=st.sampled_from("abc"),
        incarnation=st.integers(1, 3),
        run=st.integers(1, 2),
        state=st.sampled_from(State),
        number=st.integers(0, 2),
        host=st.just("h"),
        port=st.just(1),
    ),
    max_size=12,
)


@given(RECORDS, st.randoms())
def test_the_order_in_which_news_come_does_not_matter(records: list[Record], random: object) -> None:
    """Routers that have received the same records have the same view, number and digest."""
    tables = []
    for _ in range(2):
        table = MemberTable()
        for record in records + records[:3]:
            if table.supersedes(record):
                before = table.number
                table.put(record)
                assert table.number >= before, "a view's number only increases"
        tables.append(table)
        random.shuffle(records)  # type: ignore[attr-defined]
    assert tables[0].view() == tables[1].view()


ACTS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "restart", "pause", "wake", "mute", "cut", "heal", "loss", "leave"]),
        st.integers(0, 63),
        st.integers(0, 63),
        st.integers(50, 4000),
    ),
    min_size=1,
    max_size=12,
)


@settings(max_examples=25, deadline=None)
@given(st.sampled_from([2, 3, 4, 5, 8, 16, 64]), st.integers(0, 1000), ACTS)
def test_after_any_schedule_and_a_quiet_time_all_agree(
    count: int, seed: int, acts: list[tuple[str, int, int, int]]
) -> None:
    """Agreement once faults end, no removal without a cause, incarnations that only increase."""
    if count == 64:
        acts = acts[:3]
    world, cause = World(count, seed), False
    for router in world.routers:
        router.start()
    world.net.run(5000.0)
    highest: dict[tuple[str, str], int] = {}

    def check() -> None:
        for one in world.changes:
            assert highest.get((one.observer, one.change.name), 0) <= one.change.incarnation
            highest[one.observer, one.change.name] = one.change.incarnation
            assert cause or one.change.change != "dead", one
        world.changes.clear()

    def end(one: Router) -> None:
        one.kill()
        for key in [x for x in highest if x[0] == one.name]:
            del highest[key]  # a killed router forgets the incarnations it knew

    for act, first, second, ms in acts:
        one, other = world.routers[first % count], world.routers[second % count]
        match act:
            case "kill" if one.process.alive:
                end(one)
                cause = True
            case "restart" if not one.process.alive:
                one.start()
            case "pause" if one.process.alive:
                world.net.pause(one.process)
                cause = cause or True
            case "wake" if one.process.alive:
                world.net.resume(one.process)
            case "mute" | "cut":
                world.net.cut([one.address], [other.address], both=act == "cut")
                cause = cause or count < 4
                cause = cause or sum(x.cut for x in world.net.conditions.values()) > 1
            case "heal":
                world.net.heal()
            case "loss":
                world.net.default_conditions = LinkConditions(loss=0.2)
            case "leave" if one.running and not one.members.left:
                one.perform(one.members.leave(world.net.now))
                cause = True
        world.net.run(float(ms))
        check()
    world.net.default_conditions = LinkConditions()
    world.net.heal()
    for router in world.routers:
        if not router.process.alive or router.members.left:
            end(router)
            router.start()
        elif router.process.paused:
            world.net.resume(router.process)
    cause = True
    world.net.run(12_000.0)
    check()
    assert world.agreed(), [(x.name, x.members.view()) for x in world.routers]
