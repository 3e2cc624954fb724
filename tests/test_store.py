"""A folder that outlives restarts: what is believed after cuts, flipped bits, failed writes and syncs."""

from __future__ import annotations

import os
import shutil
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import apsw
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverhinge.ownership.persistence import StoreState
from cloverhinge.ownership.replica_store import ReplicaStore
from cloverhinge.ownership.wire import Member
from cloverhinge.store import NO_MARK, Judge, Mark, StoreVerdict, Witness
from cloverhinge.store import rows as form
from cloverhinge.store.folder import DATABASE_FILE, Folder, UnusableStoreError
from cloverhinge.store.writer import Writer

Row = dict[str, bytes | None]


def filled(path: Path, commits: int = 6) -> list[dict[str, bytes]]:
    """The contents after each commit of a small folder that was ended well."""
    folder, states = Folder(path, "r0"), [dict[str, bytes]()]
    folder.open()
    for number in range(commits):
        rows: Row = {f"s/{number}": b"value" * 9, f"s/{number - 2}": None, "roster": b"%d" % number}
        folder.commit(rows)
        now = {**states[-1], **{x: y for x, y in rows.items() if y is not None}}
        states.append({x: y for x, y in now.items() if rows.get(x, b"") is not None})
    folder.close()
    return states


def test_a_folder_comes_back_as_it_was_and_each_start_has_a_later_mark(tmp_path: Path) -> None:
    states = filled(tmp_path)
    marks = []
    for _ in range(3):
        folder = Folder(tmp_path, "r0")
        told = folder.open()
        assert told.rows == states[-1] and not told.void_reason and told.claim < told.mark
        marks.append(told.mark)
        folder.close()
    assert marks == sorted(set(marks)) and [x.generation for x in marks] == [2, 3, 4]


def test_one_process_one_owner_one_version(tmp_path: Path) -> None:
    filled(tmp_path)
    first = Folder(tmp_path, "r0")
    first.open()
    with pytest.raises(UnusableStoreError, match="in use by another process"):
        Folder(tmp_path, "r0").open()
    first.close()
    with pytest.raises(UnusableStoreError, match="belongs to r0, not to r1"):
        Folder(tmp_path, "r1").open()
    body = msgspec.msgpack.encode((form.FORMAT_VERSION + 1, "r0", 1, 1, 0, 0, "something new"))
    newer = body + form.row_checksum("", body).to_bytes(8, "big")
    base = apsw.Connection(str(tmp_path / DATABASE_FILE))
    base.execute("update head set value = ?", (newer,))
    base.close()
    before = (tmp_path / DATABASE_FILE).read_bytes()
    with pytest.raises(UnusableStoreError, match="version 2"):
        Folder(tmp_path, "r0").open()
    assert (tmp_path / DATABASE_FILE).read_bytes() == before  # nothing in it was touched


class Unsynced(apsw.VFS):
    """Sqlite's own file system without its syncs, for tests that open a folder thousands of times."""

    def xOpen(self, name: Any, flags: Any) -> Any:
        return UnsyncedFile("", name, flags)


class UnsyncedFile(apsw.VFSFile):
    def xSync(self, flags: int) -> None:
        pass


@pytest.fixture(scope="module")
def unsynced() -> Iterator[str]:
    vfs = Unsynced("unsynced", "")
    yield "unsynced"
    vfs.unregister()


@pytest.mark.parametrize("part", range(8))
def test_a_flipped_bit_anywhere_is_never_believed(tmp_path: Path, unsynced: str, part: int) -> None:
    """Either nothing that is believed has changed, or the folder is void."""
    states = filled(tmp_path / "whole", 3)
    told = (tmp_path / "whole" / DATABASE_FILE).read_bytes()
    copy = tmp_path / "copy"
    copy.mkdir()
    void = 0
    for at in range(part, len(told), 8):
        for name in (f"{DATABASE_FILE}-wal", f"{DATABASE_FILE}-shm"):
            (copy / name).unlink(missing_ok=True)
        (copy / DATABASE_FILE).write_bytes(told[:at] + bytes([told[at] ^ 1 << at // 8 % 8]) + told[at + 1 :])
        folder = Folder(copy, "r0", unsynced)
        try:
            found = folder.open()
        except (
            UnusableStoreError
        ) as error:  # the head's check holds, so it can't be of another owner or version
            assert "can't be written" in str(error)
            continue
        finally:
            folder.close()
        void += bool(found.void_reason)
        assert found.rows == ({} if found.void_reason else states[-1]), (at, found)
        assert found.claim == NO_MARK if found.void_reason else found.claim != NO_MARK
    assert void > 30  # the rows' own bytes at least


def test_a_tail_that_is_cut_anywhere_shows_an_earlier_mark_or_void(tmp_path: Path, unsynced: str) -> None:
    """What was cut off shows in the mark, which others have heard."""
    folder = Folder(tmp_path / "whole", "r0")
    folder.open()
    states = {folder.commit({}): dict[str, bytes]()}
    held: dict[str, bytes] = {}
    for number in range(4):
        held = {**held, f"s/{number}": b"v" * 20}
        states[folder.commit({f"s/{number}": b"v" * 20})] = held
    wal = (tmp_path / "whole" / f"{DATABASE_FILE}-wal").read_bytes()
    base = (tmp_path / "whole" / DATABASE_FILE).read_bytes()
    folder.close()
    seen = set()
    for cut in (*range(0, len(wal), 61), len(wal)):
        copy = tmp_path / "copy"
        shutil.rmtree(copy, ignore_errors=True)
        copy.mkdir()
        (copy / DATABASE_FILE).write_bytes(base)
        (copy / f"{DATABASE_FILE}-wal").write_bytes(wal[:cut])
        other = Folder(copy, "r0", unsynced)
        found = other.open()
        other.close()
        if found.claim != NO_MARK and found.claim.position > 1:
            assert found.rows == states[found.claim], cut
        seen.add(found.claim)
    assert max(states) in seen and len(seen) >= 5


class Faulty(apsw.VFS):
    """Sqlite's own file system, in which the write or sync number `fails` does, and all after it."""

    def __init__(self, name: str, fails: int) -> None:
        self.fails, self.count = fails, 0
        super().__init__(name, "")

    def step(self) -> None:
        self.count += 1
        if self.count >= self.fails:
            raise apsw.IOError("injected")

    def xOpen(self, name: Any, flags: Any) -> Any:
        return FaultyFile(self, name, flags)


class FaultyFile(apsw.VFSFile):
    def __init__(self, vfs: Faulty, name: Any, flags: Any) -> None:
        self.vfs = vfs
        super().__init__("", name, flags)

    def xWrite(self, data: Any, offset: int) -> None:
        self.vfs.step()
        super().xWrite(data, offset)

    def xSync(self, flags: int) -> None:
        self.vfs.step()
        super().xSync(flags)


def test_a_fault_at_every_write_and_sync_loses_nothing_that_was_safe(tmp_path: Path) -> None:
    fails = ended = 0
    while not ended:
        fails += 1
        path = tmp_path / str(fails)
        vfs = Faulty(f"faulty-{fails}", fails)
        folder, safe = Folder(path, "r0", f"faulty-{fails}"), -1
        try:
            folder.open()
            for number in range(4):
                folder.commit({f"s/{number}": b"v" * 30})
                safe = number
            ended = 1
        except UnusableStoreError as error:
            assert "can't be written" in str(error), error
            with pytest.raises(UnusableStoreError):
                folder.commit({})
        finally:
            folder.close()
        vfs.unregister()
        again = Folder(path, "r0")
        found = again.open()
        again.close()
        if not found.void_reason:
            assert found.rows.keys() >= {f"s/{x}" for x in range(safe + 1)}, (fails, safe, found)
        else:
            assert safe < 0, (fails, found)
    assert fails > 10


def test_a_vanished_folder_ends_the_keeping(tmp_path: Path) -> None:
    folder = Folder(tmp_path / "here", "r0")
    folder.open()
    os.rename(tmp_path / "here", tmp_path / "gone")
    with pytest.raises(UnusableStoreError, match="can't be written"):
        folder.commit({"a": b"b"})
    (tmp_path / "here").mkdir()
    shutil.copy(tmp_path / "gone" / DATABASE_FILE, tmp_path / "here" / DATABASE_FILE)
    with pytest.raises(UnusableStoreError, match="not the file that was opened"):
        folder.commit({"a": b"b"})
    folder.close()


def test_what_comes_during_a_commit_is_in_the_next_and_a_late_disk_has_failed(tmp_path: Path) -> None:
    folder = Folder(tmp_path, "r0")
    folder.open()
    told: list[tuple[int, Mark]] = []
    done, go, begun = threading.Semaphore(0), threading.Semaphore(0), threading.Semaphore(0)
    commit = folder.commit
    sizes: list[int] = []

    def slow(rows: form.Rows, above: Mark = NO_MARK) -> Mark:
        begun.release()
        assert go.acquire(timeout=10)
        sizes.append(len(rows))
        return commit(rows, above)

    folder.commit = slow  # type: ignore[method-assign]
    failures: list[str] = []

    def call(what: Callable[..., None], *about: Any) -> None:
        what(*about)
        done.release()

    writer = Writer(folder, call, lambda number, mark, ms: told.append((number, mark)), failures.append)
    writer.put(1, {"a": b"1"})
    assert begun.acquire(timeout=10)
    for number in range(2, 50):
        writer.put(number, {f"k{number}": b"2", "a": b"%d" % number})
    go.release()
    go.release()
    assert done.acquire(timeout=10) and done.acquire(timeout=10)
    assert [x for x, _ in told] == [1, 49] and sizes == [1, 49] and told[0][1] < told[1][1]
    writer.put(50, {f"x{n}": b"" for n in range(60_000)})
    assert begun.acquire(timeout=10) and begun.acquire(timeout=10)
    writer.put(51, {f"y{n}": b"" for n in range(60_000)})
    writer.put(52, {f"z{n}": b"" for n in range(60_000)})
    go.release()
    assert done.acquire(timeout=10) and done.acquire(timeout=10)
    assert len(told) == 3 and "too slow" in failures[0]
    writer.close()


def test_rows_that_are_not_known_keep_a_router_out_and_stay_untouched(tmp_path: Path) -> None:
    folder = Folder(tmp_path, "r0")
    folder.open()
    folder.commit({"s/h/1": b"of another form"})
    folder.close()
    shelf = ReplicaStore(
        tmp_path, Member("r0", 1), lambda *about: None, lambda *about: None, lambda why: None
    )
    assert shelf.persistence.state is StoreState.OUT and "does not know" in shelf.persistence.unusable_reason
    assert shelf.writer is None and Folder(tmp_path, "r0").open().rows == {"s/h/1": b"of another form"}


# What others' words prove

marks = st.builds(Mark, st.integers(1, 4), st.integers(1, 6))


@given(st.lists(marks, min_size=1), marks)
def test_a_witness_allows_a_claim_only_where_nothing_later_was_heard(heard: list[Mark], claim: Mark) -> None:
    witness = Witness()
    for mark in heard:
        witness.note("r0", mark)
    assert witness.allows("r0", claim) == (max(heard) <= claim)
    assert witness.allows("r1", claim)


@given(st.integers(1, 9), st.lists(st.tuples(st.integers(0, 9), st.booleans(), st.booleans())))
def test_a_store_is_whole_only_by_most_of_its_roster_and_behind_by_any(
    count: int, words: list[tuple[int, bool, bool]]
) -> None:
    claim, names = Mark(2, 7), [f"r{x}" for x in range(count)]
    judge = Judge("r0", claim, names)
    counted: dict[int, bool] = {}
    for who, allows, late in words:
        judge.add_answer(f"r{who}", Mark(1, 7) if late else claim, allows)
        if not late and 0 < who < count:
            counted[who] = counted.get(who, True) and allows
    if not all(counted.values()):
        assert judge.verdict is StoreVerdict.BEHIND
    else:
        assert (judge.verdict is StoreVerdict.WHOLE) == (2 * (len(counted) + 1) > count)


@given(st.lists(st.dictionaries(st.sampled_from("abcd"), st.none() | st.binary(max_size=3)), max_size=9))
def test_the_sum_follows_each_change(commits: list[Row]) -> None:
    head, held, checks = form.Head(1, "r0", 1, 0, 0, 0), dict[str, bytes](), dict[str, int]()
    for rows in commits:
        head, after = form.apply_changes(head, checks, rows)
        for key, value in rows.items():
            if value is None:
                held.pop(key, None)
            else:
                held[key] = value
        checks = {x: y for x, y in {**checks, **after}.items() if y is not None}
        assert head.checksum == form.total_checksum(
            form.row_checksums(held.items()).values()
        ) and head.row_count == len(held)
    assert form.decode_head(form.encode_head(head)) == head
