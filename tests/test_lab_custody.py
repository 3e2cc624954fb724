"""Work in hand in several processes, with faults between them, checked on the boxes' own record."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from cloverhinge.lab.media import MediaBox, set_ups
from cloverhinge.lab.rig import Rig, rig
from cloverhinge.lab.viewers import custody_tables, play

SOON_S = 20.0  # for what has to come, also on a busy machine


def status(made: Rig, number: int) -> dict[str, Any]:
    told: dict[str, Any] = made[number].status()["custody"]
    return told


@contextmanager
def keeping(folder: Path, count: int = 5, titles: int = 20, **more: Any) -> Iterator[Rig]:
    boxes = [MediaBox(f"s-{n:08x}", n % 3) for n in range(4)]
    tables = custody_tables([x.name for x in boxes], [x.origin for x in boxes], titles, count)
    with rig(folder, count, pumps=boxes, tables=tables, **more) as made:
        until_rostered(made)
        yield made
        twice = {title: n for title, n in set_ups(made.record).items() if n > 1}
        assert not twice, (twice, made.record.tail())


def until_rostered(made: Rig) -> None:
    """All that run hold one roster of just them, and it has been seen by each."""
    names = sorted(x.name for x in made.routers if x.running)

    def rostered() -> bool:
        told = [x.status()["custody"]["roster"] for x in made.routers if x.running]
        return all(x is not None and x["members"] == names and x["votes"] for x in told) and len(
            {x["number"] for x in told}) == 1

    made.record.until(rostered, SOON_S, f"one roster of {names}")


def test_a_paid_play_goes_on_at_another_router_when_its_own_is_killed(tmp_path: Path) -> None:
    with keeping(tmp_path) as made:
        first = play(made, made[1], 0)
        assert first[0] == 200, (first, made.record.tail())
        assert play(made, made[1], 1, "free")[0] == 200
        made[1].kill()
        for number, kind in ((0, "paid"), (1, "free")):
            code, text = play(made, made[3], number, kind)
            assert code == 200 and "/session/" in text, (code, text, made.record.tail())
        assert status(made, 3)["owned"] >= 2
