"""A media server vanishes for 5 s without a sign and returns cold; its session has to be released."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import TROUBLE, CannotRun, ChangeLog, Pump, Record, Router, Viewers, run_case, settings

SESSION = "00000000000000a1"
AWAY_S = 5.0
BOUND_S = 8.0  # a session that is over, and whose release could not be sent, is released by then
SLACK_S = 0.05


async def case(record: Record, folder: Path) -> tuple[bool, str]:
    log = ChangeLog(record)
    await log.start()
    pumps = [Pump(record, 0x10 + n, n) for n in range(10)]
    log.add([pump.row() for pump in pumps], reset=True)
    router = Router(record, folder, "n0", {"settings": settings(1, 0, 10)}, log)
    await router.ready()
    viewers = Viewers(record, "viewers")
    await viewers.connect(router.port)
    await asyncio.sleep(1.0)
    viewers.set_up(SESSION, "check", "exam", 3000, copies=3)
    await asyncio.sleep(0.3)
    if [x.status for _, x in viewers.answers.get(SESSION, [])] != [200]:
        raise CannotRun("the session was not set up")
    pump = next(x for x in pumps if SESSION in x.sessions)
    record.write("case", f"{SESSION} plays at {pump.id}")
    if TROUBLE:
        pump.vanish()
        over = time.monotonic()
        await asyncio.sleep(AWAY_S)
        pump.return_cold()
        await asyncio.sleep(1.0)
        log.add([pump.row(started_ms=int(time.time() * 1000) - 1000)])
    else:
        await asyncio.sleep(AWAY_S + 1.0)
        over = time.monotonic()
        pump.end(SESSION)
    # Counted from the return, the latest moment at which the session can have ended.
    counted_from = over + AWAY_S if TROUBLE else over
    until = counted_from + BOUND_S + 20.0
    while time.monotonic() < until and SESSION not in viewers.ends:
        await asyncio.sleep(0.05)
    if SESSION not in viewers.ends:
        return False, f"{SESSION} ended at its media server, and 20 s after the bound its viewer has no release"
    took = viewers.ends[SESSION][0][0] / 1000.0 - counted_from
    return took <= BOUND_S + SLACK_S, f"its viewer was told {took:.2f} s after the latest moment of its end"


run_case(Path(__file__).resolve().parent, case)
