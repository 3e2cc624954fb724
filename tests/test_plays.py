"""Plays on a stand-in core, without HTTP: when a fetch sets up, joins, or finds its play ended."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred, ensureDeferred

from cloverhinge.core.model import Request
from cloverhinge.decision import interface as api
from cloverhinge.decision.interface import Outcome
from cloverhinge.hls.plays import FetchFailed, Play, PlayEnded, Plays
from cloverhinge.site import Title
from tests.test_core import Stand

TITLE = Title(0, 6, 2, 0.0, frozenset())


class Fetches:
    """Plays on a stand-in core, and the result of each fetch."""

    def __init__(self) -> None:
        self.stand = Stand()
        self.plays = Plays(self.stand.router, self.stand, self.stand.deadlines, 30_000.0)

    def fetch(self, class_name: str = "paid", key: str = "attempt-1", title: str = "t") -> list[Any]:
        """A list that holds the fetch's result, a request or an exception, once it has one."""
        play, results = self.plays.find_or_add(key, class_name, title, TITLE), list[Any]()
        work: Deferred[Request] = ensureDeferred(self.plays.established_session(play))
        work.addCallbacks(results.append, lambda failure: results.append(failure.value))
        return results

    def play(self, key: str = "attempt-1") -> Play:
        return self.plays.by_id[key]

    def answer(self) -> None:
        attempt = self.stand.sent[-1]
        assert self.stand.router.may_write(attempt) and self.stand.router.answered(attempt, b"made")


def test_fetches_join_one_set_up() -> None:
    fetches = Fetches()
    results = [fetches.fetch() for _ in range(20)]
    assert results == [[]] * 20 and len(fetches.stand.sent) == 1
    fetches.answer()
    assert {result[0] for result in results} == {fetches.play().request}
    assert fetches.fetch() == [fetches.play().request] and len(fetches.stand.sent) == 1


@pytest.mark.parametrize("class_name,again", [("paid", False), ("film", True)])
@pytest.mark.parametrize(
    "how", ["ended by its media server", "cut", "cancelled by its media server", "drained", "moved"]
)
def test_only_a_repeatable_session_is_set_up_again(class_name: str, again: bool, how: str) -> None:
    fetches = Fetches()
    fetches.fetch(class_name)
    fetches.answer()
    request, router = fetches.play().request, fetches.stand.router
    assert request is not None and request.server is not None
    match how:
        case "ended by its media server":
            router.session_ended(request, Outcome.SERVED)
            again = False  # it was played to its end
        case "cut":
            router.cut(request)
        case "cancelled by its media server":
            router.session_ended(request, Outcome.CANCELLED)
        case "drained":
            fetches.stand.told_of(request.server, api.Health.DRAINING)
        case "moved":
            router._move(request.handle)
    results = fetches.fetch(class_name)
    assert len(fetches.stand.sent) == (2 if again else 1)
    if again:
        fetches.answer()
        assert results == [fetches.play().request] and fetches.play().request is not request
    else:
        assert isinstance(results[0], PlayEnded) and isinstance(fetches.fetch(class_name)[0], PlayEnded)


def test_a_failed_paid_play_stays_failed_and_a_refused_one_may_try_again() -> None:
    fetches = Fetches()
    results = fetches.fetch()
    fetches.stand.router.may_write(fetches.stand.sent[0])
    fetches.stand.router.attempt_ended(fetches.stand.sent[0], Outcome.ERROR)
    assert [results[0].status, fetches.fetch()[0].status, len(fetches.stand.sent)] == [502, 502, 1]
    results = fetches.fetch(key="attempt-2")
    while not results:
        fetches.stand.router.attempt_ended(fetches.stand.sent[-1], Outcome.FULL)
    attempts = len(fetches.stand.sent)
    fetches.stand.pass_ms(5000.0)  # the media servers that were full are tried again
    assert results[0].status == 503 and fetches.fetch(key="attempt-2") == []
    assert len(fetches.stand.sent) == attempts + 1


def test_an_idle_play_is_dropped_and_its_session_released() -> None:
    fetches = Fetches()
    fetches.fetch()
    fetches.answer()
    fetches.stand.pass_ms(29_000.0)
    assert fetches.play().request is not None
    fetches.stand.pass_ms(2_000.0)
    assert not fetches.plays.by_id and not fetches.plays.by_token and len(fetches.plays.table) == 0
    assert any(call[0] == "release" for call in fetches.stand.told)


def test_another_title_under_the_same_id_is_a_conflict_and_waiters_are_bounded() -> None:
    fetches = Fetches()
    results = [fetches.fetch() for _ in range(70)]
    assert [result[0].status for result in results if result] == [503] * 6
    with pytest.raises(FetchFailed) as raised:
        fetches.fetch(title="u")
    assert raised.value.status == 409


def test_paid_play_that_was_forgotten_is_not_set_up_again() -> None:
    """Guards against a paid play that is set up twice, as its player was away beyond the idle time."""
    fetches = Fetches()
    fetches.fetch()
    fetches.answer()
    fetches.stand.pass_ms(31_000.0)
    assert "attempt-1" not in fetches.plays.by_id
    assert isinstance(fetches.fetch()[0], PlayEnded) and len(fetches.stand.sent) == 1
    fetches.stand.pass_ms(31_000.0)
    with pytest.raises(FetchFailed, match="another title"):
        fetches.fetch(title="other")
    assert isinstance(fetches.fetch()[0], PlayEnded) and len(fetches.stand.sent) == 1


def test_new_paid_plays_are_refused_rather_than_earlier_ones_forgotten() -> None:
    """Guards against a table of paid plays that is full and loses the oldest one, or grows."""
    fetches = Fetches()
    fetches.plays.paid_plays.capacity = 1
    fetches.fetch()
    fetches.answer()
    fetches.stand.pass_ms(31_000.0)
    with pytest.raises(FetchFailed, match="too many plays"):
        fetches.fetch(key="attempt-2")
    assert isinstance(fetches.fetch()[0], PlayEnded) and len(fetches.stand.sent) == 1
