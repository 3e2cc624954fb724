"""Membership of several router processes with faults between them, checked against the record of the run."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from cloverhinge.lab import checks
from cloverhinge.lab.harness import ROOT
from cloverhinge.lab.rig import KEY, Rig, Router, running_rig
from cloverhinge.lab.schedule import Step, random_faults, read_schedule, run_schedule
from cloverhinge.members import wire
from tests import guards

BOUND_MS = 3500.0  # a shorter pause removes no member (docs/operators/members.md)
SOON_S = 20.0  # time limit for what has to happen, generous for a busy machine


@contextmanager
def five(folder: Path, count: int = 5, **more: Any) -> Iterator[Rig]:
    with running_rig(folder, count, program=guards.program(), **more) as made:
        yield made
        assert not checks.all_violations(made.record, BOUND_MS), made.record.tail()


def dead(made: Rig) -> set[str]:
    return {x.details["name"] for x in made.record.events_of("changed") if x.details["to"] == "dead"}


def later_kill(made: Rig, number: int, others: list[Router]) -> None:
    """Kills a router and waits for its removal, so that earlier events have time to arrive."""
    made[number].kill()
    made.wait_agreed(others, SOON_S)


def test_a_killed_router_is_out_and_comes_back_as_a_higher_incarnation(tmp_path: Path) -> None:
    with five(tmp_path) as made:
        made[1].kill()
        made.wait_agreed(seconds=SOON_S)
        assert dead(made) == {"r1"}
        made[1].start()
        made[1].wait_started()
        made.wait_agreed(seconds=SOON_S)
        rows = {x["name"]: x for x in made[0].status()["members"]["list"]}
        assert rows["r1"]["incarnation"] == 2 and rows["r1"]["state"] == "alive"
        (tmp_path / "show.toml").write_text('[admin]\nlisten = "%s:%d"\n' % made[0].ports["admin"])
        deadline, table = time.monotonic() + SOON_S, ""
        while len([x for x in table.splitlines() if " 4 of 4 " in x]) < 5:  # all see all, a moment later
            assert time.monotonic() < deadline, table
            table = subprocess.run(
                [sys.executable, "-m", "cloverhinge", "members", "--site", str(tmp_path / "show.toml")],
                cwd=ROOT,
                capture_output=True,
                text=True,
            ).stdout
        assert "5 of 5 in" in table, table


def test_restarted_at_once_under_the_same_name(tmp_path: Path) -> None:
    with five(tmp_path) as made:
        made[2].kill()
        made[2].start()
        made[2].wait_started()
        made.wait_agreed(seconds=SOON_S)
        made.record.wait_until(
            lambda: all(
                any(
                    x.details["name"] == "r2" and x.details["incarnation"] == 2
                    for x in made.record.events_of("changed", y.name)
                )
                for y in made.routers
            ),
            SOON_S,
            "the second incarnation everywhere",
        )
        later_kill(made, 4, made.routers[:4])
        assert all(
            sum(x.details["incarnation"] > 2 for x in made.record.events_of("changed", y.name)) == 0
            for y in made.routers
        )


def test_a_pause_under_the_bound_and_one_over_it(tmp_path: Path) -> None:
    with five(tmp_path) as made:
        run_schedule(made, [Step(0.0, "pause", (0,)), Step(2.0, "wake", (0,))])
        made.record.wait_until(
            lambda: bool(made[0].log_events("away for")), SOON_S, "it knows that it was paused"
        )
        later_kill(made, 4, made.routers[:4])
        assert dead(made) == {"r4"}
        made[0].pause()
        made.wait_agreed(made.routers[1:4], SOON_S)
        made[0].resume()
        made.wait_agreed(made.routers[:4], SOON_S)
        assert made[0].log_events("was declared dead by other members")
        assert (
            len(
                [
                    x
                    for x in made.record.events_of("changed", "r1")
                    if x.details["name"] == "r0" and x.details["to"] == "returned"
                ]
            )
            == 1
        )


def test_all_paused_at_once(tmp_path: Path) -> None:
    with five(tmp_path) as made:  # the first is suspect when the others are paused
        run_schedule(
            made,
            [Step(0.0, "pause", (0,)), Step(2.0, "pause", (1, 2, 3, 4)), Step(7.0, "wake", tuple(range(5)))],
        )
        made.record.wait_until(
            lambda: all(x.log_events("away for") for x in made.routers), SOON_S, "all know it"
        )
        later_kill(made, 4, made.routers[:4])
        assert dead(made) == {"r4"}


def test_a_third_lost_doubled_and_out_of_order(tmp_path: Path) -> None:
    with five(tmp_path) as made:
        made.hub.change_default(loss=0.3, twice=0.2, late=0.3, jitter_ms=20.0)
        made.record.pause(8.0)
        assert not dead(made)
        later_kill(made, 3, [x for x in made.routers if x.number != 3])
        assert dead(made) == {"r3"}
        assert made[0].status()["members"]["counters"]["replayed"] > 0


def test_a_hears_b_but_b_not_a(tmp_path: Path) -> None:
    with five(tmp_path) as made:
        made.hub.change("r0", "r1", cut=True)
        made.record.pause(6.0)
        rows = {x["name"]: x for x in made[3].status()["members"]["list"]}
        assert rows["r1"]["reach"]["not_heard_by"] == ["r0"] and rows["r1"]["state"] == "alive"
        later_kill(made, 4, made.routers[:4])
        assert dead(made) == {"r4"}


def test_two_are_cut_while_both_reach_a_third(tmp_path: Path) -> None:
    with five(tmp_path, 3) as made:
        made.hub.cut(["r0"], ["r1"])
        made.record.pause(6.0)
        assert made.agreed(made.routers) and not dead(made)
        rows = {x["name"]: x for x in made[2].status()["members"]["list"]}
        assert rows["r0"]["reach"] == {"heard_by": ["r2"], "not_heard_by": ["r1"]}


def test_one_site_reaches_half_of_another(tmp_path: Path) -> None:
    with five(tmp_path, 6, sites=2) as made:
        made.hub.cut(["r0", "r2", "r4"], ["r1"])
        made.hub.cut(["r0", "r2", "r4"], ["r3"], both=False)
        made.record.pause(6.0)
        assert made.agreed(made.routers) and not dead(made)


def test_a_router_that_nobody_hears_is_out_learns_it_and_returns_once(tmp_path: Path) -> None:
    with five(tmp_path) as made:
        made.hub.cut(["r0"], ["r1", "r2", "r3", "r4"], both=False)
        made.wait_agreed(made.routers[1:], SOON_S)
        made.record.wait_until(
            lambda: bool(made[0].log_events("was declared dead by other members")),
            SOON_S,
            "it learns that it was removed",
        )
        made.hub.heal()
        made.wait_agreed(seconds=SOON_S)


@pytest.mark.parametrize("count, left", [(5, 3), (4, 2)])
def test_a_split_settles_on_both_sides_and_heals(tmp_path: Path, count: int, left: int) -> None:
    with five(tmp_path, count) as made:
        some, others = made.routers[:left], made.routers[left:]
        made.hub.cut(made.names(some), made.names(others))
        made.wait_agreed(some, SOON_S)
        made.wait_agreed(others, SOON_S)
        told = [x.status()["members"] for x in (some[0], others[0])]
        assert [x["majority"] for x in told] == [count == 5, False] and {x["whole"] for x in told} == {count}
        made.hub.heal()
        made.wait_agreed(seconds=SOON_S)


def test_a_rolling_end_of_all_accuses_nobody(tmp_path: Path) -> None:
    with five(tmp_path) as made:
        for router in made.routers:
            assert router.terminate() == 0
            made.wait_agreed([x for x in made.routers if x is not router], SOON_S)
            router.start()
            router.wait_started()
            made.wait_agreed(seconds=SOON_S)
        assert not dead(made)
        assert {x.details["to"] for x in made.record.events_of("changed")} <= {"joined", "left", "restarted"}


def test_a_joiner_whose_seeds_are_all_down(tmp_path: Path) -> None:
    made = Rig(tmp_path, 5, program=guards.program())
    try:
        made[4].start()
        made[4].wait_started()
        assert made[4].log_events("starting as the only member") and made.agreed([made[4]])
        for router in made.routers[:4]:
            router.start()
        made.wait_agreed(made.routers, SOON_S)
    finally:
        made.stop()


def test_forged_and_replayed_datagrams(tmp_path: Path) -> None:
    """Rejects a foreign key, a newer version, data that is no message, and replays of its own datagrams."""
    with five(tmp_path) as made:
        caught = made.hub.captured.setdefault("r0", [])
        made.record.wait_until(lambda: any(made.record.events_of("tapped")), SOON_S, "datagrams")
        caught = caught[:]
        real = made[0].ports["members"]
        word = wire.encode(wire.Update(sender="r1", run=5, to_run=0, number=1))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as forger:
            forger.bind((made[1].host, 0))
            newer = bytearray(wire.Authenticator((KEY.encode(),)).sign(word))
            newer[2] += 1
            for data in (wire.Authenticator((b"x" * 40,)).sign(word), bytes(newer), b"nothing", b"", *caught):
                forger.sendto(data, real)
            for _ in range(5):
                for data in caught:
                    forger.sendto(data, real)
        lines = (
            "signature matches no key of this installation",
            "uses protocol version 2",
            "not a message of a member",
        )
        made.record.wait_until(lambda: all(made[0].log_events(x) for x in lines), SOON_S, "one line each")
        later_kill(made, 4, made.routers[:4])
        told = made[0].status()["members"]
        assert dead(made) == {"r4"} and told["counters"]["replayed"] >= len(caught)
        assert all(len(made[0].log_events(x)) == 1 for x in lines)
        assert told["refused"]["key"] == 1


def test_two_routers_of_one_name(tmp_path: Path) -> None:
    with five(tmp_path) as made:
        made[4].kill()
        made.wait_agreed(seconds=SOON_S)
        text = (made[4].folder / "config.json").read_text().replace('"name": "r4"', '"name": "r1"')
        (made[4].folder / "config.json").write_text(text)
        duplicate = subprocess.Popen(
            [sys.executable, *guards.program(), "serve", "--site", str(made[4].folder / "site.toml")],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "LB_CONFIG": str(made[4].folder / "config.json")},
        )
        limit = threading.Timer(SOON_S, duplicate.kill)  # ends its log and thereby the test
        limit.start()
        try:
            assert duplicate.stderr is not None
            for line in duplicate.stderr:
                if "members: listening" in line:
                    made.hub.attach(
                        "r4",
                        (
                            made[4].host,
                            int(line.split("members: listening on ")[1].split(",")[0].split(":")[1]),
                        ),
                    )
                if "the name r1 is already used by another running router" in line:
                    break
            else:
                raise AssertionError("the later router did not detect the duplicate name")
            made.record.wait_until(
                lambda: bool(made[1].log_events("another router uses the name r1 too")),
                SOON_S,
                "the other detects it",
            )
            assert made.agreed(made.routers[:4])
        finally:
            limit.cancel()
            duplicate.kill()
            duplicate.wait()
            assert duplicate.stderr is not None
            duplicate.stderr.close()


def test_half_of_the_members_killed_within_100_ms(tmp_path: Path) -> None:
    with five(tmp_path, 8) as made:
        for router in made.routers[::2]:
            router.signal(9)
        made.wait_agreed(made.routers[1::2], SOON_S)
        assert dead(made) == {"r0", "r2", "r4", "r6"}
        reasons = [x.details["reason"] for x in made.record.events_of("changed") if x.details["to"] == "dead"]
        assert any("refuses connections" in x for x in reasons), reasons  # not only by silence


def test_a_schedule_drawn_from_a_seed_breaks_no_promise(tmp_path: Path) -> None:
    with five(tmp_path, 6, seed=2) as made:
        run_schedule(made, random_faults(2, 6, 22.0, 7.0))
        assert any(made.record.events_of("fault"))
        made.hub.heal()
        for router in made.routers:
            if not router.running:
                router.start()
        made.wait_agreed(made.routers, SOON_S)


def test_schedules_come_from_files_and_say_what_is_wrong_with_them(tmp_path: Path) -> None:
    path = tmp_path / "schedule.toml"
    path.write_text(
        '[[step]]\nat_s = 2\nact = "heal"\n' '[[step]]\nat_s = 1\nact = "cut"\nwho = [0]\nothers = [1]\n'
    )
    assert [x.action for x in read_schedule(path)] == ["cut", "heal"]
    path.write_text('[[step]]\nat_s = 2\nact = "burn"\n')
    with pytest.raises(ValueError, match="step 1: nothing is called burn"):
        read_schedule(path)
