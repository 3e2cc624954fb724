"""Safety checks of the store and functions that disable each of them; see `tests.guards`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cloverhinge.ownership import persistence
from cloverhinge.ownership.persistence import ReplicaPersistence
from cloverhinge.ownership.replica import Replica
from cloverhinge.store import proof
from cloverhinge.store import rows as form
from cloverhinge.store.folder import Folder


def answers_before_commit() -> None:
    """Binding answers are sent before the data is on the disk."""
    persistence.BINDING = ()  # type: ignore[assignment]


def trusts_own_folder() -> None:
    """A folder counts as complete without answers from the rest of the replica set."""
    proof.Judge.missing_answers = property(lambda self: 0)  # type: ignore[assignment,method-assign]


def accepts_any_claim() -> None:
    """A claim is allowed even if a later mark has been received."""
    proof.Witness.allows = lambda self, name, claim: True  # type: ignore[method-assign]


def forgets_earlier_runs() -> None:
    """A restarted router does not speak for the earlier runs that wrote its folder."""
    from_folder = ReplicaPersistence.from_folder.__func__  # type: ignore[attr-defined]

    def without_runs(
        cls: type[ReplicaPersistence], own: Any, claim: Any, mark: Any, rows: Any
    ) -> ReplicaPersistence:
        return from_folder(  # type: ignore[no-any-return]
            cls, own, claim, mark, {x: y for x, y in rows.items() if x != persistence.RUNS_KEY}
        )

    ReplicaPersistence.from_folder = classmethod(without_runs)  # type: ignore[assignment,method-assign]


def without_checksums() -> None:
    """Damaged rows are not detected."""
    form.total_checksum = lambda checksums: 0
    form.apply_changes = _with_zero_checksum(form.apply_changes)


def _with_zero_checksum(apply_changes: Callable[..., Any]) -> Callable[..., Any]:
    import msgspec

    def call(head: Any, held: Any, rows: Any) -> Any:
        after, checks = apply_changes(head, held, rows)
        return msgspec.structs.replace(after, checksum=0), checks

    return call


def without_owner_check() -> None:
    """A folder of another owner is accepted."""
    Folder._check_head = lambda self, head: head  # type: ignore[method-assign]


def without_file_identity() -> None:
    """A commit goes to whichever file is at the path, not only to the one that was opened."""
    commit = Folder._commit

    def adopt_file_and_commit(self: Folder, rows: Any, above: Any) -> Any:
        import os

        try:
            found = os.stat(self.path / "store.sqlite")
            self._file_identity = found.st_dev, found.st_ino
        except OSError:
            pass
        return commit(self, rows, above)

    Folder._commit = adopt_file_and_commit  # type: ignore[method-assign]


def without_stored_leases() -> None:
    """Leases that were granted before a restart are forgotten."""
    load = Replica.load

    def load_without_leases(self: Replica, now: float, slots: Any) -> None:
        load(self, now, slots)
        self.lease_ends_ms.clear()

    Replica.load = load_without_leases  # type: ignore[method-assign]


LAB_STORE, STORE, MODEL_OWNERSHIP = (
    "tests/test_lab_store.py",
    "tests/test_store.py",
    "tests/test_ownership.py",
)
GUARDS: dict[str, tuple[Callable[[], None], list[str]]] = {
    "nothing binding is said before it is on the disk": (
        answers_before_commit,
        [f"{MODEL_OWNERSHIP}::test_what_was_not_safe_was_not_said"],
    ),
    "a folder is whole by the word of most of its roster": (
        trusts_own_folder,
        [
            f"{STORE}::test_a_store_is_whole_only_by_most_of_its_roster_and_behind_by_any",
            f"{LAB_STORE}::test_one_empty_one_old_and_one_cloned_folder_are_told_from_whole_ones",
        ],
    ),
    "who has heard a later mark says so": (
        accepts_any_claim,
        [
            f"{STORE}::test_a_witness_allows_a_claim_only_where_nothing_later_was_heard",
            f"{LAB_STORE}::test_one_empty_one_old_and_one_cloned_folder_are_told_from_whole_ones",
        ],
    ),
    "a restarted router speaks for the runs that wrote its folder": (
        forgets_earlier_runs,
        [
            f"{LAB_STORE}::test_all_killed_at_once_and_every_paid_play_goes_on",
            f"{LAB_STORE}::test_killed_again_in_the_middle_of_the_return",
        ],
    ),
    "a damaged row is found": (
        without_checksums,
        [f"{STORE}::test_a_flipped_bit_anywhere_is_never_believed"],
    ),
    "a folder is its owner's": (
        without_owner_check,
        [
            f"{STORE}::test_one_process_one_owner_one_version",
            f"{LAB_STORE}::test_one_empty_one_old_and_one_cloned_folder_are_told_from_whole_ones",
        ],
    ),
    "a commit goes to the file that was opened": (
        without_file_identity,
        [f"{STORE}::test_a_vanished_folder_ends_the_keeping"],
    ),
    "leases granted before a restart may run still": (
        without_stored_leases,
        [f"{MODEL_OWNERSHIP}::test_a_keeper_that_comes_back_at_once_honours_the_lease_it_had_granted"],
    ),
}
