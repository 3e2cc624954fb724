"""The replicas that one router holds: slots of records, and leases to their owners.  Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sortedcontainers import SortedDict

from cloverhinge.ownership import register, wire
from cloverhinge.ownership.placement import first_counter
from cloverhinge.ownership.register import EMPTY_SLOT, Ballot, Phase, Slot, Work
from cloverhinge.ownership.wire import RefusalReason

MAX_SLOTS = 65_536  # records of 50,000 sessions, and a third as many that are over
# Each replica set has its own range of lease generations, above all that earlier ones could reach.
GENERATIONS_PER_REPLICA_SET = 1 << 20


class Replica:
    """Answers proposers and grants leases to owners.

    `lease_ms`: length of a lease; `retention_ms`: how long a final answer, or a promise without a value, is
    stored.
    """

    def __init__(self, lease_ms: float, retention_ms: float, max_slots: int = MAX_SLOTS) -> None:
        self.lease_ms, self.retention_ms, self.max_slots = lease_ms, retention_ms, max_slots
        self.slots: dict[str, Slot] = {}
        self.ids_by_owner: dict[str, set[str]] = {}
        self.lease_ends_ms: dict[str, float] = {}  # by owner
        self.generations: dict[str, int] = {}
        self.first_generation = 0  # of the replica set
        self._expiry_queue: SortedDict[tuple[float, str], None] = SortedDict()
        self._expires_ms: dict[str, float] = {}
        self.changed_ids: dict[str, None] | None = None  # ids of changed slots, where a store persists them

    def load(self, now: float, slots: Mapping[str, Slot]) -> None:
        """Loads the slots from before a restart.

        The leases that were granted then are not known: each owner's may still run for its whole length.
        """
        for id, slot in slots.items():
            self._put(now, id, slot)
        for owner in self.ids_by_owner:
            self.lease_ends_ms[owner] = now + self.lease_ms

    def lease_left_ms(self, owner: str, now: float) -> float:
        """The rest of the owner's lease, in ms; 0.0 where none runs."""
        return max(0.0, self.lease_ends_ms.get(owner, 0.0) - now)

    def renew_lease(self, now: float, owner: str, generation: int) -> bool:
        """Renews the owner's lease; False where its generation is not the present one."""
        if generation != self.generation(owner):
            return False
        self.lease_ends_ms[owner] = now + self.lease_ms
        return True

    def generation(self, owner: str) -> int:
        """The present generation of the owner's leases; each fence begins a new one."""
        return self.generations.get(owner, self.first_generation)

    def prepare(self, now: float, proposer: str, request: wire.Prepare, hole: bool) -> wire.Items:
        """Answers a prepare request; `hole`: later values of the record may have been lost."""
        slot = self.slots.get(request.id, EMPTY_SLOT)
        if request.id not in self.slots and len(self.slots) >= self.max_slots:
            return wire.Refused(request.id, request.ballot, RefusalReason.FULL)
        owner = register.active_owner(slot.work)
        after, reply = register.prepare(slot, request.ballot, proposer, self.lease_left_ms(owner, now))
        if isinstance(reply, register.Promise):
            self._put(now, request.id, after)
            if owner and owner != proposer:
                self._fence(owner)
            return wire.Promised(request.id, request.ballot, reply.accepted, reply.work, hole)
        assert isinstance(reply, register.Denied)
        reason = RefusalReason.LEASE if reply.owner else RefusalReason.BALLOT
        return wire.Refused(
            request.id, request.ballot, reason, reply.promised, reply.owner, reply.lease_left_ms
        )

    def write(self, now: float, proposer: str, request: wire.Write, hole: bool) -> wire.Items:
        """Answers a write; a claim is refused where `hole`: the record may have been lost."""
        slot = self.slots.get(request.id, EMPTY_SLOT)
        if slot is EMPTY_SLOT and len(self.slots) >= self.max_slots:
            return wire.Refused(request.id, request.ballot, RefusalReason.FULL)
        if hole and request.is_claim:
            return wire.Refused(request.id, request.ballot, RefusalReason.HOLE)
        after, reply = register.accept(slot, request.ballot, request.work, request.is_claim)
        if isinstance(reply, register.Accepted):
            previous_owner = register.active_owner(slot.work)
            self._put(now, request.id, after)
            if previous_owner and previous_owner not in (request.work.owner, proposer):
                self._fence(previous_owner)
            return wire.Written(request.id, request.ballot, self.generation(proposer))
        assert isinstance(reply, register.Denied)
        return wire.Refused(request.id, request.ballot, RefusalReason.BALLOT, reply.promised)

    def withdraw(self, now: float, request: wire.Withdraw) -> None:
        """Removes a claim's value; its promise stays, so that no late copy of the claim is accepted."""
        slot = self.slots.get(request.id, EMPTY_SLOT)
        if (
            slot.accepted == request.ballot
            and request.ballot[0] == register.CLAIM_COUNTER
            and request.ballot[2] == 0
        ):
            self._put(now, request.id, Slot(slot.promised))

    def _fence(self, owner: str) -> None:
        """Voids what the owner counts as written here, until it has written it again."""
        self.generations[owner] = self.generation(owner) + 1

    def _put(self, now: float, id: str, slot: Slot) -> None:
        self.forget(id)
        self.slots[id] = slot
        if self.changed_ids is not None:
            self.changed_ids[id] = None
        if slot.work is not None:
            self.ids_by_owner.setdefault(slot.work.owner, set()).add(id)
        if slot.work is None or slot.work.phase in (Phase.FAILED, Phase.OVER):
            self._expires_ms[id] = now + self.retention_ms
            self._expiry_queue[now + self.retention_ms, id] = None

    def _remove_from_owner(self, owner: str, id: str) -> None:
        ids = self.ids_by_owner.get(owner)
        if ids is not None:
            ids.discard(id)
            if not ids:
                del self.ids_by_owner[owner]

    def forget(self, id: str) -> None:
        """Removes the slot, if there is one."""
        slot = self.slots.pop(id, None)
        if slot is not None and self.changed_ids is not None:
            self.changed_ids[id] = None
        if slot is not None and slot.work is not None:
            self._remove_from_owner(slot.work.owner, id)
        if (expires_ms := self._expires_ms.pop(id, None)) is not None:
            del self._expiry_queue[expires_ms, id]

    def forget_all(self) -> None:
        """Removes all slots; leases and generations stay."""
        for id in list(self.slots):
            self.forget(id)

    def expire(self, now: float) -> None:
        """Removes answers and promises at the end of their retention, and leases long over."""
        while self._expiry_queue and self._expiry_queue.peekitem(0)[0][0] <= now:
            self.forget(self._expiry_queue.peekitem(0)[0][1])
        for owner in [x for x, ends_ms in self.lease_ends_ms.items() if ends_ms + self.retention_ms < now]:
            del self.lease_ends_ms[owner]  # its generation stays: the owner may come back with a voided one

    # From one replica set to the next

    def enter_replica_set(self, number: int) -> None:
        """Voids all lease generations of earlier replica sets."""
        self.first_generation = number * GENERATIONS_PER_REPLICA_SET
        self.generations.clear()

    def export_slots(self, ids: Iterable[str]) -> list[wire.TransferredSlot]:
        """The slots with these ids, for a transfer."""
        return [(x, self.slots[x].promised, self.slots[x].accepted, self.slots[x].work) for x in ids]

    def merge_transfer(
        self, now: float, slots: list[wire.TransferredSlot], leases: list[tuple[str, float]]
    ) -> None:
        """Takes the newest of what earlier replicas held; a lease runs on for the longest of their times."""
        for id, promised, accepted, work in slots:
            own = self.slots.get(id, EMPTY_SLOT)
            newer = Slot(
                max(own.promised, promised),
                *((accepted, work) if accepted > own.accepted else (own.accepted, own.work)),
            )
            if newer != own and (id in self.slots or len(self.slots) < self.max_slots):
                self._put(now, id, newer)
        for owner, left_ms in leases:
            ends_ms = now + min(left_ms, self.lease_ms)
            self.lease_ends_ms[owner] = max(ends_ms, self.lease_ends_ms.get(owner, 0.0))


def prepared_record(owner: str, paid: bool, body: bytes) -> Work:
    """The first value of a new record, written before its set-up is sent."""
    return Work(owner, 1, Phase.INTENT, paid, body)


def next_ballot(ballot: Ballot, number: int, own: str) -> Ballot:
    """A ballot of `own` above `ballot`, and above all of replica sets before that number."""
    return max(ballot[0], first_counter(number)) + 1, own, 0
