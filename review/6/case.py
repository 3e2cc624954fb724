"""Two routers with custody are restarted by plan, one after the other: are the paid checks that play still served?"""

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins2 as s

PUMPS, PLAYS, TITLES = 8, 90, 30
SETTLE_S = 5.0  # from a router's vote to the next restart
GRACE_S = 10.0  # after the last restart; leases last 1.5 s
AFTER_S = 15.0  # fetches are judged for so long
PATIENCE_S = 10.0  # of a player, three times as long as the class waits
SETTINGS = {**s.SETTINGS, "specifics": {**s.SETTINGS["specifics"], "cells": PUMPS}}


def body(case: s.Case) -> list[str]:
    case.add_pumps(PUMPS)
    media = [s.HlsMedia(case, pump) for pump in case.pumps]
    titles = "\n".join(
        f'[hls.titles.check-{t}]\nhome = {t % PUMPS}\ncopies = 3\ntop = 2\nlength_s = 60\nclasses = ["graded-check"]'
        for t in range(TITLES)
    )
    fleet = s.Fleet(case, 2, media, titles, SETTINGS)
    try:
        return played(case, fleet)
    finally:
        fleet.stop()
        for one in media:
            one.server.shutdown()
            one.server.server_close()


def played(case: s.Case, fleet: s.Fleet) -> list[str]:
    draw, over = random.Random(50), threading.Event()
    paths = {n: f"/play/graded-check/check-{n % TITLES}?play=agent-{n}-attempt-1" for n in range(PLAYS)}
    answers: dict[int, list[tuple[float, int]]] = {n: [] for n in paths}

    def fetch(n: int, at: int) -> int:
        since, name = time.time(), f"player-{n}@n{at + 1}"
        try:
            player = s.Player(case, fleet.hls[at], name)
            status, text = player.fetch(paths[n])
            player.close()
            if "#EXT-X-ENDLIST" in text:
                status = 410  # the play is over
        except ConnectionError:
            status = -1  # the router is being restarted
        except (OSError, ValueError, IndexError) as error:
            status = 0
            case.record.add(name, f"no answer: {error!r}")
        answers[n].append((since, status))
        return status

    def players() -> None:
        """Each player comes again after 0.59 to 2.6 s, at any router."""
        due = {n: time.time() + draw.uniform(0.0, 2.0) for n in paths}
        while not over.is_set():
            for n in paths:
                if due[n] <= time.time():
                    due[n] = time.time() + draw.uniform(0.59, 2.6)
                    threading.Thread(target=fetch, args=(n, draw.randrange(2)), daemon=True).start()
            time.sleep(0.01)

    for n in paths:
        if fetch(n, n % 2) != 200:
            raise s.CannotRun("a check was not set up")
        time.sleep(0.04)  # 25 a second
    threading.Thread(target=players, daemon=True).start()
    try:
        time.sleep(3.0)
        for n in range(2):
            if s.TROUBLE:
                fleet.restart(n)
            time.sleep(SETTLE_S)
        time.sleep(GRACE_S - SETTLE_S)
        judged = time.time()
        case.record.add("case", "from here on fetches are judged")
        time.sleep(AFTER_S)
    finally:
        over.set()
    time.sleep(PATIENCE_S + 0.5)
    breaches = []
    for n, found in answers.items():
        late = [status for since, status in found if since > judged]
        if late and 200 not in late:
            breaches.append(f"agent-{n}: of {len(late)} fetches that began more than {GRACE_S:.0f} s after the last restart none was "
                            f"served, {late.count(0)} had no answer within {PATIENCE_S:.0f} s")
    held = sum(len(pump.sessions) for pump in case.pumps)
    case.record.add("case", f"{held} of {PLAYS} sessions still stand at the media servers")
    if breaches and held < PLAYS:
        raise s.CannotRun("a media server has lost a session")
    return breaches


if __name__ == "__main__":
    sys.exit(s.play(__file__, body))
