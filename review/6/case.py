"""Two routers with custody are partitioned for 6 s: are the paid checks that play still anybody's afterwards?"""

import os
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins2 as s

sys.path.insert(0, str(s.ROOT))
from cloverhinge.lab.hub import Hub  # the project's relay between routers
from cloverhinge.lab.record import Record as HubRecord

PUMPS, PLAYS, TITLES = 8, 150, 45
CUT_S = 6.0
AFTER_S = 25.0  # refetches go on for so long after the partition
GRACE_S = 10.0  # for the routers to find each other again; leases last 1.5 s
PATIENCE_S = 10.0  # of a player, three times as long as the class waits


def site_file(case: s.Case, media: list[s.HlsMedia], n: int, host: str, ports: list, advertised: list, hls: list) -> Path:
    boxes = "\n".join('%s = "127.0.0.1:%d"' % (p.name, m.server.server_port) for p, m in zip(case.pumps, media))
    titles = "\n".join(
        f'[hls.titles.check-{t}]\nhome = {t % PUMPS}\ncopies = 3\ntop = 2\nlength_s = 60\nclasses = ["graded-check"]'
        for t in range(TITLES)
    )
    path = case.folder / f"site-{n}.toml"
    path.write_text(f"""[hls]
listen = "{hls[n][0]}:{hls[n][1]}"
key = "{case.key}"

[hls.boxes]
{boxes}

{titles}

[members]
listen = "{host}:{ports[n]}"
advertise = "{advertised[n][0]}:{advertised[n][1]}"
join = [{", ".join('"%s:%d"' % x for x in advertised)}]
site = "zone-{n}"
key = "{case.key}"

[custody]
routers = 2
""")
    return path


def body(case: s.Case) -> list[str]:
    case.key = os.urandom(20).hex()
    pumps = case.add_pumps(PUMPS)
    media = [s.HlsMedia(case, pump) for pump in pumps]
    hub = Hub(HubRecord(), 1)
    net = f"127.{10 + os.getpid() // 250 % 200}.{os.getpid() % 250}"
    hosts, hls = [f"{net}.1", f"{net}.2"], [case.free_address(), case.free_address()]
    ports = [case.free_address()[1], case.free_address()[1]]
    try:
        advertised = [hub.add_router(f"n{n + 1}", f"{net}.{129 + n}", hosts[n]) for n in range(2)]
        routers = []
        for n in range(2):
            site = site_file(case, media, n, hosts[n], ports, advertised, hls)
            specifics = {**s.SETTINGS["specifics"], "cells": PUMPS}
            config = {"settings": {**s.SETTINGS, "selfIndex": n, "specifics": specifics}}
            routers.append(s.Router(case, f"n{n + 1}", site=site, config=config))
            hub.attach(f"n{n + 1}", (hosts[n], ports[n]))
        for router in routers:
            router.ready()
        until = time.time() + 15
        while not all("votes in roster" in x.log_path.read_text() for x in routers):
            if time.time() > until:
                raise s.CannotRun("the routers do not vote")
            time.sleep(0.1)
        time.sleep(3)
        return played(case, hub, media, hls)
    finally:
        hub.stop()
        for one in media:
            one.server.shutdown()
            one.server.server_close()


def played(case: s.Case, hub: Hub, media: list[s.HlsMedia], hls: list) -> list[str]:
    draw = random.Random(50)
    paths = {n: f"/play/graded-check/check-{n % TITLES}?play=agent-{n}-attempt-1" for n in range(PLAYS)}

    def fetch(n: int, at: int) -> int:
        try:
            player = s.Player(case, hls[at], f"player-{n}@n{at + 1}")
            status, _ = player.fetch(paths[n])
            player.close()
            return status
        except (OSError, ValueError, IndexError) as error:
            case.record.add(f"player-{n}@n{at + 1}", f"no answer: {error!r}")
            return 0

    due: dict[int, float] = {}
    last: dict[int, list[tuple[float, int, int]]] = {n: [] for n in paths}

    def begun(n: int, at: int) -> None:
        since = time.time() - start
        status = fetch(n, at)
        last[n].append((since, at, status))
        if status != 200:  # refused: it comes back when the router said, a second later
            due[n] = min(due[n], time.time() + 1.0)

    for n in paths:
        if fetch(n, n % 2) != 200:
            raise s.CannotRun("a check was not set up")
        time.sleep(0.04)  # 25 a second
    time.sleep(1)
    start = time.time()
    if s.TROUBLE:
        case.record.add("case", "the zones of the two routers are partitioned")
        hub.cut(["n1"], ["n2"])
    healed = False
    due |= {n: start + draw.uniform(0.0, 2.0) for n in paths}
    while time.time() < start + CUT_S + AFTER_S:
        if not healed and time.time() >= start + CUT_S:
            healed = True
            hub.heal()
            case.record.add("case", "the partition is over")
        for n in paths:
            if due[n] <= time.time():
                due[n] = time.time() + draw.uniform(0.59, 2.6)
                at = draw.randrange(2)
                # In a thread of its own: an answer may take a while.
                threading.Thread(target=begun, args=(n, at), daemon=True).start()
        time.sleep(0.005)
    time.sleep(PATIENCE_S + 0.5)
    breaches = []
    for n, answers in last.items():
        late = [x for x in answers if x[0] > CUT_S + GRACE_S]
        if late and not any(status == 200 for _, _, status in late):
            unanswered = sum(status == 0 for _, _, status in late)
            breaches.append(f"agent-{n}: of {len(late)} fetches that began more than {GRACE_S:.0f} s after the partition none "
                            f"was served, {unanswered} had no answer within {PATIENCE_S:.0f} s")
    held = sum(len(pump.sessions) for pump in case.pumps)
    case.record.add("case", f"{held} of {PLAYS} sessions still stand at the media servers")
    if breaches and held < PLAYS:
        raise s.CannotRun("a media server has lost a session")
    return breaches


if __name__ == "__main__":
    sys.exit(s.play(__file__, body))
