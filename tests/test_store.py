"""The store's folder over restarts: contents that are cut off or damaged, and failed writes and syncs."""

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
from cloverhinge.store import rows as row_format
from cloverhinge.store.folder import DATABASE_FILE, Folder, UnusableStoreError
from cloverhinge.store.writer import Writer

Row = dict[str, bytes | None]


def filled(path: Path, commits: int = 6) -> list[dict[str, bytes]]:
    """Fills a small folder and closes it properly; the contents after each commit."""
    folder, states = Folder(path, "r0"), [dict[str, bytes]()]
    folder.open()
    for number in range(commits):
        rows: Row = {f"s/{number}": b"value" * 9, f"s/{number - 2}": None, "roster": b"%d" % number}
        folder.commit(rows)
        current = {**states[-1], **{x: y for x, y in rows.items() if y is not None}}
        states.append({x: y for x, y in current.items() if rows.get(x, b"") is not None})
    folder.close()
    return states


def test_a_reopened_folder_has_its_contents_and_a_later_mark(tmp_path: Path) -> None:
    states = filled(tmp_path)
    marks = []
    for _ in range(3):
        folder = Folder(tmp_path, "r0")
        contents = folder.open()
        assert contents.rows == states[-1] and not contents.void_reason and contents.claim < contents.mark
        marks.append(contents.mark)
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
    body = msgspec.msgpack.encode((row_format.FORMAT_VERSION + 1, "r0", 1, 1, 0, 0, "something new"))
    newer = body + row_format.row_checksum("", body).to_bytes(8, "big")
    connection = apsw.Connection(str(tmp_path / DATABASE_FILE))
    connection.execute("update head set value = ?", (newer,))
    connection.close()
    before = (tmp_path / DATABASE_FILE).read_bytes()
    with pytest.raises(UnusableStoreError, match="version 2"):
        Folder(tmp_path, "r0").open()
    assert (tmp_path / DATABASE_FILE).read_bytes() == before  # the file was not changed


class Unsynced(apsw.VFS):
    """Sqlite's default VFS without its syncs, for tests that open a folder thousands of times."""

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
    """Either the contents are unchanged, or the folder is void."""
    states = filled(tmp_path / "whole", 3)
    original = (tmp_path / "whole" / DATABASE_FILE).read_bytes()
    copy = tmp_path / "copy"
    copy.mkdir()
    void_count = 0
    for at in range(part, len(original), 8):
        for name in (f"{DATABASE_FILE}-wal", f"{DATABASE_FILE}-shm"):
            (copy / name).unlink(missing_ok=True)
        (copy / DATABASE_FILE).write_bytes(
            original[:at] + bytes([original[at] ^ 1 << at // 8 % 8]) + original[at + 1 :]
        )
        folder = Folder(copy, "r0", unsynced)
        try:
            contents = folder.open()
        except UnusableStoreError as error:  # the head's checksum detects a changed owner or version
            assert "can't be written" in str(error)
            continue
        finally:
            folder.close()
        void_count += bool(contents.void_reason)
        assert contents.rows == ({} if contents.void_reason else states[-1]), (at, contents)
        assert contents.claim == NO_MARK if contents.void_reason else contents.claim != NO_MARK
    assert void_count > 30  # those in the rows' own bytes at least


def test_a_wal_that_is_cut_anywhere_shows_an_earlier_mark_or_is_void(tmp_path: Path, unsynced: str) -> None:
    """A cut changes the mark, so that others, who have received the later one, can detect it."""
    folder = Folder(tmp_path / "whole", "r0")
    folder.open()
    states = {folder.commit({}): dict[str, bytes]()}
    rows: dict[str, bytes] = {}
    for number in range(4):
        rows = {**rows, f"s/{number}": b"v" * 20}
        states[folder.commit({f"s/{number}": b"v" * 20})] = rows
    wal = (tmp_path / "whole" / f"{DATABASE_FILE}-wal").read_bytes()
    database = (tmp_path / "whole" / DATABASE_FILE).read_bytes()
    folder.close()
    seen_marks = set()
    for cut in (*range(0, len(wal), 61), len(wal)):
        copy = tmp_path / "copy"
        shutil.rmtree(copy, ignore_errors=True)
        copy.mkdir()
        (copy / DATABASE_FILE).write_bytes(database)
        (copy / f"{DATABASE_FILE}-wal").write_bytes(wal[:cut])
        reopened = Folder(copy, "r0", unsynced)
        contents = reopened.open()
        reopened.close()
        if contents.claim != NO_MARK and contents.claim.position > 1:
            assert contents.rows == states[contents.claim], cut
        seen_marks.add(contents.claim)
    assert max(states) in seen_marks and len(seen_marks) >= 5


class Faulty(apsw.VFS):
    """Sqlite's default VFS, in which the write or sync of a given number fails, and all after it."""

    def __init__(self, name: str, first_fault: int) -> None:
        self.first_fault, self.count = first_fault, 0
        super().__init__(name, "")

    def count_call(self) -> None:
        self.count += 1
        if self.count >= self.first_fault:
            raise apsw.IOError("injected")

    def xOpen(self, name: Any, flags: Any) -> Any:
        return FaultyFile(self, name, flags)


class FaultyFile(apsw.VFSFile):
    def __init__(self, vfs: Faulty, name: Any, flags: Any) -> None:
        self.vfs = vfs
        super().__init__("", name, flags)

    def xWrite(self, data: Any, offset: int) -> None:
        self.vfs.count_call()
        super().xWrite(data, offset)

    def xSync(self, flags: int) -> None:
        self.vfs.count_call()
        super().xSync(flags)


def test_a_fault_at_any_write_or_sync_loses_no_committed_rows(tmp_path: Path) -> None:
    fault_number = finished = 0
    while not finished:
        fault_number += 1
        path = tmp_path / str(fault_number)
        vfs = Faulty(f"faulty-{fault_number}", fault_number)
        folder, last_durable = Folder(path, "r0", f"faulty-{fault_number}"), -1
        try:
            folder.open()
            for number in range(4):
                folder.commit({f"s/{number}": b"v" * 30})
                last_durable = number
            finished = 1
        except UnusableStoreError as error:
            assert "can't be written" in str(error), error
            with pytest.raises(UnusableStoreError):
                folder.commit({})
        finally:
            folder.close()
        vfs.unregister()
        reopened = Folder(path, "r0")
        contents = reopened.open()
        reopened.close()
        if not contents.void_reason:
            assert contents.rows.keys() >= {f"s/{x}" for x in range(last_durable + 1)}, (
                fault_number,
                last_durable,
                contents,
            )
        else:
            assert last_durable < 0, (fault_number, contents)
    assert fault_number > 10


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


def test_rows_put_during_a_commit_are_in_the_next_and_a_slow_disk_fails(tmp_path: Path) -> None:
    folder = Folder(tmp_path, "r0")
    folder.open()
    commits: list[tuple[int, Mark]] = []
    called, may_commit, commit_started = (
        threading.Semaphore(0),
        threading.Semaphore(0),
        threading.Semaphore(0),
    )
    commit = folder.commit
    sizes: list[int] = []

    def slow_commit(rows: row_format.Rows, above: Mark = NO_MARK) -> Mark:
        commit_started.release()
        assert may_commit.acquire(timeout=10)
        sizes.append(len(rows))
        return commit(rows, above)

    folder.commit = slow_commit  # type: ignore[method-assign]
    failures: list[str] = []

    def call(callback: Callable[..., None], *arguments: Any) -> None:
        callback(*arguments)
        called.release()

    writer = Writer(folder, call, lambda number, mark, ms: commits.append((number, mark)), failures.append)
    writer.put(1, {"a": b"1"})
    assert commit_started.acquire(timeout=10)
    for number in range(2, 50):
        writer.put(number, {f"k{number}": b"2", "a": b"%d" % number})
    may_commit.release()
    may_commit.release()
    assert called.acquire(timeout=10) and called.acquire(timeout=10)
    assert [x for x, _ in commits] == [1, 49] and sizes == [1, 49] and commits[0][1] < commits[1][1]
    writer.put(50, {f"x{n}": b"" for n in range(60_000)})
    assert commit_started.acquire(timeout=10) and commit_started.acquire(timeout=10)
    writer.put(51, {f"y{n}": b"" for n in range(60_000)})
    writer.put(52, {f"z{n}": b"" for n in range(60_000)})
    may_commit.release()
    assert called.acquire(timeout=10) and called.acquire(timeout=10)
    assert len(commits) == 3 and "too slow" in failures[0]
    writer.close()


def test_unknown_rows_make_the_store_unusable_and_stay_unchanged(tmp_path: Path) -> None:
    folder = Folder(tmp_path, "r0")
    folder.open()
    folder.commit({"s/h/1": b"of another form"})
    folder.close()
    store = ReplicaStore(
        tmp_path, Member("r0", 1), lambda *arguments: None, lambda *arguments: None, lambda why: None
    )
    assert store.persistence.state is StoreState.OUT and "does not know" in store.persistence.unusable_reason
    assert store.writer is None and Folder(tmp_path, "r0").open().rows == {"s/h/1": b"of another form"}


# The check by other routers' answers

marks = st.builds(Mark, st.integers(1, 4), st.integers(1, 6))


@given(st.lists(marks, min_size=1), marks)
def test_a_witness_allows_a_claim_only_where_nothing_later_was_heard(
    received: list[Mark], claim: Mark
) -> None:
    witness = Witness()
    for mark in received:
        witness.note("r0", mark)
    assert witness.allows("r0", claim) == (max(received) <= claim)
    assert witness.allows("r1", claim)


@given(st.integers(1, 9), st.lists(st.tuples(st.integers(0, 9), st.booleans(), st.booleans())))
def test_a_store_is_whole_only_by_most_of_its_roster_and_behind_by_any(
    count: int, answers: list[tuple[int, bool, bool]]
) -> None:
    claim, names = Mark(2, 7), [f"r{x}" for x in range(count)]
    judge = Judge("r0", claim, names)
    counted: dict[int, bool] = {}
    for router, allows, earlier_run in answers:
        judge.add_answer(f"r{router}", Mark(1, 7) if earlier_run else claim, allows)
        if not earlier_run and 0 < router < count:
            counted[router] = counted.get(router, True) and allows
    if not all(counted.values()):
        assert judge.verdict is StoreVerdict.BEHIND
    else:
        assert (judge.verdict is StoreVerdict.WHOLE) == (2 * (len(counted) + 1) > count)


@given(st.lists(st.dictionaries(st.sampled_from("abcd"), st.none() | st.binary(max_size=3)), max_size=9))
def test_the_checksum_follows_each_change(commits: list[Row]) -> None:
    head, rows_now, checks = row_format.Head(1, "r0", 1, 0, 0, 0), dict[str, bytes](), dict[str, int]()
    for rows in commits:
        head, after = row_format.apply_changes(head, checks, rows)
        for key, value in rows.items():
            if value is None:
                rows_now.pop(key, None)
            else:
                rows_now[key] = value
        checks = {x: y for x, y in {**checks, **after}.items() if y is not None}
        assert head.checksum == row_format.total_checksum(
            row_format.row_checksums(rows_now.items()).values()
        ) and head.row_count == len(rows_now)
    assert row_format.decode_head(row_format.encode_head(head)) == head
