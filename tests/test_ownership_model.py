"""All orders of events in a small model of the register: three replicas, an owner and two successors.

Explored: every interleaving of requests, replies, lost and late messages (a message once sent may arrive at
any later time, or never), replicas that crash and lose their state, leases that end, routers that die or are
paused for good.  Time is two events per lease: over for its owner, and only later over for the replica.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec
import pytest

from cloverhinge.ownership import register
from cloverhinge.ownership.register import EMPTY_SLOT, Accepted, Phase, Promise, Proposal, Slot, Work

REPLICAS = 3
ROUTERS = ("A", "P", "Q")


@dataclass(frozen=True)
class Router:
    """`tries` bounds the ballots; `granted` are replicas whose leases run by this router's own clock."""

    proposal: Proposal | None = None
    tries: int = 0
    own: Work | None = None
    granted: frozenset[int] = frozenset()
    sent: bool = False
    gone: bool = False
    claims: bool = False  # its proposal was written as that of a new record, without a prepare round
    stands: bool = False  # it has written again under its term


GONE = Router(gone=True)


@dataclass(frozen=True)
class Replica:
    slot: Slot = EMPTY_SLOT
    lease: str = ""  # the owner that has a lease here
    down: bool = False


Message = tuple[str, str, int, object]  # kind, router, replica, content


@dataclass(frozen=True)
class World:
    routers: tuple[Router, ...] = (Router(),) * 3
    replicas: tuple[Replica, ...] = (Replica(),) * REPLICAS
    wire: frozenset[Message] = frozenset()  # all that was sent and has had no effect yet
    paid_sent: int = 0
    late: bool = False  # a router acted on a record that another owned by then
    crashes: int = 0
    chosen: frozenset[tuple[int, Work]] = frozenset()
    accepted: frozenset[tuple[register.Ballot, Work, int, bool]] = frozenset()  # by any replica, ever


@dataclass(frozen=True)
class Rules:
    """The protocol's safety checks; each may be disabled, to see that the search finds its violation."""

    leases: bool = True
    fences: bool = True
    forgetful: bool = False  # a replica that restarts empty votes again
    resends: bool = False  # a successor sends a paid prepared set-up again
    crashes: int = 1
    tries: int = 1
    claims: bool = False  # routers begin with a claim, which all replicas have to accept, and write under it
    most: bool = False  # a claim counts once a majority of replicas has accepted it


def with_router(items: tuple[Router, ...], number: int, **changed: object) -> tuple[Router, ...]:
    return (*items[:number], replace(items[number], **changed), *items[number + 1 :])  # type: ignore[arg-type]


def with_replica(items: tuple[Replica, ...], number: int, **changed: object) -> tuple[Replica, ...]:
    return (*items[:number], replace(items[number], **changed), *items[number + 1 :])  # type: ignore[arg-type]


def steps(world: World, rules: Rules) -> Iterator[World]:
    for number, name in enumerate(ROUTERS):
        router = world.routers[number]
        if router.gone:
            continue
        if rules.claims and not router.tries and router.proposal is None:
            ballot, intent = (1, name, 0), Work(name, 1, Phase.INTENT, True)
            sent = {("claim", name, k, (ballot, intent)) for k in range(REPLICAS)}
            yield replace(
                world,
                wire=world.wire | sent,
                routers=with_router(
                    world.routers,
                    number,
                    tries=1,
                    claims=True,
                    proposal=Proposal(ballot, REPLICAS).with_value(intent),
                ),
            )
        elif rules.claims and router.claims and router.own is None and router.tries < rules.tries:
            proposal = Proposal((2, name, 0), REPLICAS)
            asked = {("prepare", name, k, proposal.ballot) for k in range(REPLICAS)}
            yield replace(
                world,
                wire=world.wire | asked,
                routers=with_router(world.routers, number, proposal=proposal, tries=2, claims=False),
            )
        elif (
            not rules.claims and router.proposal is None and router.tries < rules.tries and router.own is None
        ):
            proposal = Proposal((router.tries + 1, name, 0), REPLICAS)
            asked = {("prepare", name, k, proposal.ballot) for k in range(REPLICAS)}
            yield replace(
                world,
                wire=world.wire | asked,
                routers=with_router(world.routers, number, proposal=proposal, tries=router.tries + 1),
            )
        if router.proposal is not None and router.proposal.prepared and router.proposal.work is None:
            intent = Work(name, 1, Phase.INTENT, True)
            found = router.proposal.found
            work = register.value_after_takeover(found, name, intent)
            if rules.resends and found is not None and found.phase is Phase.INTENT:
                work = register.with_next_owner(found, name)
            writes = {("accept", name, k, (router.proposal.ballot, work)) for k in range(REPLICAS)}
            yield replace(
                world,
                wire=world.wire | writes,
                routers=with_router(world.routers, number, proposal=router.proposal.with_value(work)),
            )
        whole = (
            not router.claims
            or rules.most
            or (router.proposal is not None and len(router.proposal.written) == REPLICAS)
        )
        if router.proposal is not None and router.proposal.chosen and router.own is None and whole:
            own = router.proposal.work
            assert own is not None
            yield replace(
                world,
                chosen=world.chosen | {(own.epoch, own)},
                routers=with_router(world.routers, number, own=own),
            )
        if (
            router.own is not None
            and register.active_owner(router.own) == name
            and not router.sent
            and router.own.phase is not Phase.DOOMED
        ):
            assert router.proposal is not None
            granted = router.granted if rules.leases else frozenset(range(REPLICAS))
            if register.may_act(router.own, name, router.proposal.written, granted, REPLICAS):
                epochs = [x.slot.work.epoch for x in world.replicas if x.slot.work is not None]
                late = sum(x > router.own.epoch for x in epochs) >= register.majority(REPLICAS)
                yield replace(
                    world,
                    paid_sent=world.paid_sent + 1,
                    late=world.late or late,
                    routers=with_router(world.routers, number, sent=True),
                )
            if rules.claims and router.sent and not router.stands:
                ballot, stood = (*router.proposal.ballot[:2], 1), replace_work(router.own, Phase.STANDS)
                writes = {("accept", name, k, (ballot, stood)) for k in range(REPLICAS)}
                yield replace(
                    world, wire=world.wire | writes, routers=with_router(world.routers, number, stands=True)
                )
            for k in sorted(router.proposal.written - router.granted):
                if rules.leases:
                    yield replace(world, wire=world.wire | {("renew", name, k, None)})
        if router.tries:  # it dies, or its leases end by its clock before they do by the replicas'
            yield replace(world, routers=(*world.routers[:number], GONE, *world.routers[number + 1 :]))
    for message in world.wire:
        yield from delivered(world, message, rules)
    for k, replica in enumerate(world.replicas):
        if world.crashes < rules.crashes and not replica.down:
            lost = Replica() if rules.forgetful else replace(replica, down=True)
            yield replace(
                world,
                crashes=world.crashes + 1,
                replicas=with_replica(
                    world.replicas, k, **{"slot": lost.slot, "lease": lost.lease, "down": lost.down}
                ),
            )
        if replica.lease and not world.routers[ROUTERS.index(replica.lease)].granted:
            yield replace(world, replicas=with_replica(world.replicas, k, lease=""))


def delivered(world: World, message: Message, rules: Rules) -> Iterator[World]:
    kind, name, k, content = message
    number, replica = ROUTERS.index(name), world.replicas[k]
    router = world.routers[number]
    if replica.down:
        return
    wire = world.wire - {message}  # a second copy has no effect: the replica denies it
    if kind in ("prepare", "accept", "claim"):
        if kind == "prepare":
            left = 1.0 if replica.lease and replica.lease == register.active_owner(replica.slot.work) else 0.0
            slot, reply = register.prepare(replica.slot, content, name, left)  # type: ignore[arg-type]
        else:
            slot, reply = register.accept(replica.slot, *content, is_claim=kind == "claim")  # type: ignore[misc]
        if not isinstance(reply, Promise | Accepted):
            return  # it may arrive once more, when a lease is over
        accepted = world.accepted
        if rules.claims and isinstance(reply, Accepted):
            accepted |= {(*content, k, kind == "claim")}  # type: ignore[misc]
        kept = replace(
            world, replicas=with_replica(world.replicas, k, slot=slot), wire=wire, accepted=accepted
        )
        if kind == "prepare" or router.gone:
            yield kept  # the answer is lost
        # A late answer is the same as one that arrives now and is acted on later.
        if not router.gone and router.proposal is not None:
            yield replace(
                kept, routers=with_router(world.routers, number, proposal=router.proposal.receive(k, reply))
            )
    else:
        if rules.fences and register.fenced(replica.slot, name) or replica.lease:
            return
        # Granted and received in one step: the owner counts from its request, so its lease ends first.
        if not router.gone:
            yield replace(
                world,
                replicas=with_replica(world.replicas, k, lease=name),
                wire=wire,
                routers=with_router(world.routers, number, granted=router.granted | {k}),
            )


def replace_work(work: Work, phase: Phase) -> Work:
    return msgspec.structs.replace(work, phase=phase)


def claims() -> list[World]:
    """Two routers try at once to acquire a new record."""
    return [World(routers=(Router(), Router(), Router(gone=True)))]


def losses(successors: int = 1) -> list[World]:
    """A owns the record, has some leases and has still to send its set-up; others try to acquire it."""
    ballot = 1, "A", 0
    work = Work("A", 1, Phase.INTENT, True)
    starts = []
    for holders in ((0, 1), (0, 1, 2)):
        for leased in ((), (0,), (0, 1)):
            proposal = Proposal(
                ballot, REPLICAS, ((0, Promise(ballot, register.NO_BALLOT, None)),), work, frozenset(holders)
            )
            owner = Router(proposal, 1, work, frozenset(leased))
            late = {("accept", "A", k, (ballot, work)) for k in range(REPLICAS) if k not in holders}
            starts.append(
                World(
                    (owner, Router(), Router() if successors > 1 else GONE),
                    tuple(
                        Replica(
                            Slot(ballot, ballot, work) if k in holders else EMPTY_SLOT,
                            "A" if k in leased else "",
                        )
                        for k in range(REPLICAS)
                    ),
                    frozenset(late),
                    chosen=frozenset({(1, work)}),
                )
            )
    return starts


def explored(rules: Rules, starts: list[World], most: int = 1_500_000) -> tuple[int, str]:
    """The number of states, and the first guarantee found violated."""
    check = violation
    seen, pending = set(starts), list(starts)
    while pending:
        world = pending.pop()
        if broken := check(world):
            return len(seen), broken
        for following in steps(world, rules):
            if following not in seen:
                seen.add(following)
                pending.append(following)
        assert len(seen) < most, "the model has too many states to be explored completely"
    return len(seen), ""


def violation(world: World) -> str:
    if world.paid_sent > 1:
        return "a paid set-up was sent twice"
    if world.late:
        return "an owner acted after it had lost the record"
    epochs = [epoch for epoch, work in world.chosen if register.active_owner(work)]
    if len(epochs) != len(set(epochs)):
        return "an epoch had two owners"
    held: dict[tuple[register.Ballot, Work], int] = {}
    fast: set[register.Ballot] = set()
    for ballot, work, _, claimed in world.accepted:
        held[ballot, work] = held.get((ballot, work), 0) + 1
        if claimed:
            fast.add(ballot)
    chosen = sorted(
        (
            x
            for x, count in held.items()
            if count >= (REPLICAS if x[0] in fast else register.majority(REPLICAS))
        ),
        key=lambda x: x[0],
    )
    for (_, one), (_, after) in itertools.pairwise(chosen):
        if after.epoch < one.epoch or after.epoch == one.epoch and after.owner != one.owner:
            return "a value that a majority held was replaced by a router that had not seen it"
    return ""


@pytest.mark.parametrize(
    "rules, starts",
    [(Rules(crashes=0), claims()), (Rules(), losses()), (Rules(crashes=0, claims=True, tries=1), claims())],
)
def test_no_order_of_events_pays_twice_or_gives_two_owners(rules: Rules, starts: list[World]) -> None:
    states, broken = explored(rules, starts)
    assert not broken and states > (500 if rules.claims else 10_000), (states, broken)


@pytest.mark.parametrize(
    "rules, starts",
    [
        (Rules(resends=True), losses(2)),
        (Rules(forgetful=True), claims()),
        (Rules(leases=False), losses()),
        (Rules(fences=False), losses()),
    ],
)
def test_the_search_finds_what_each_guard_is_for(rules: Rules, starts: list[World]) -> None:
    assert explored(rules, starts)[1]


def main() -> None:
    """The larger searches, some minutes: claims with a crash, and two successors."""
    for what, rules, starts in (
        (
            "a claim counts once a majority has accepted it (to be found)",
            Rules(crashes=0, claims=True, most=True, tries=2),
            claims(),
        ),
        ("two claim, a replica crashes", Rules(), claims()),
        ("two claim without a prepare round, then prepare", Rules(crashes=0, claims=True, tries=2), claims()),
        ("two successors", Rules(crashes=0), losses(2)),
    ):
        states, broken = explored(rules, starts)
        print(f"{what}: {states} states, {broken or 'no guarantee violated'}", flush=True)


if __name__ == "__main__":
    main()
