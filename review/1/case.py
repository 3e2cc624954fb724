"""One bad client's figure out of range; then usual viewers ask for more than there is room for."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import TROUBLE, CannotRun, ChangeLog, Pump, Record, Router, Viewers, run_case, settings

PUMPS, PLACES = 3, 6
OVERLOAD = 1.75  # of the places that are asked for
WAIT_MS = 4000
GUESS = "1e-200"  # the bad client's length of its session, in ms


async def case(record: Record, folder: Path) -> tuple[bool, str]:
    log = ChangeLog(record)
    await log.start()
    pumps = [Pump(record, 0x10 + n, n) for n in range(PUMPS)]
    log.add([pump.row() for pump in pumps], reset=True)
    site = f'[door]\nkey = "{"d" * 40}"\n'
    router = Router(record, folder, "n0", {"settings": settings(1, 0, PUMPS, places=PLACES)}, log, site)
    await router.ready()
    viewers = Viewers(record, "viewers")
    await viewers.connect(router.port)
    await asyncio.sleep(1.0)
    if TROUBLE:
        bad = Viewers(record, "bad client")
        await bad.connect(router.port)
        bad.set_up("00000000000000bd", "practice", "call", WAIT_MS, copies=PUMPS, guess=GUESS)
        await asyncio.sleep(0.5)
    asked: list[str] = []
    total = int(PUMPS * PLACES * OVERLOAD)
    later = total - 6  # from here on, on a new connection
    for number in range(later):
        session = f"{number + 1:016x}"
        asked.append(session)
        viewers.set_up(session, "practice", "call", WAIT_MS, copies=PUMPS, guess="40000.0")
        await asyncio.sleep(0.15)
        if viewers.lost_ms is not None:
            break
    await asyncio.sleep(WAIT_MS / 1000.0 + 1.0)
    late = Viewers(record, "later ones")
    await late.connect(router.port)
    for number in range(later, total):
        session = f"{number + 1:016x}"
        asked.append(session)
        late.set_up(session, "practice", "other", WAIT_MS, copies=PUMPS, guess="40000.0")
        await asyncio.sleep(0.2)
    await asyncio.sleep(WAIT_MS / 1000.0 + 1.0)
    answers = viewers.answers | late.answers
    if not any(x[0][1].status == 200 for x in answers.values()):
        raise CannotRun("nobody was served")
    lost = [x for x in asked if len(answers.get(x, [])) != 1]
    record.write("case", f"without exactly one answer: {lost}")
    alive = "it runs on" if router.process.poll() is None else "it has ended"
    return not lost, f"of {len(asked)} requests of usual viewers {len(lost)} have no answer after their time ({alive})"


run_case(Path(__file__).resolve().parent, case)
