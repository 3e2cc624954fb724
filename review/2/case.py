"""One of twenty media servers hangs for a second; what it answers afterwards has to reach the viewers."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import TROUBLE, CannotRun, ChangeLog, Pump, Record, Router, Viewers, run_case, settings

PUMPS = 20  # one of them hangs
HANG_S = 1.0
RATE, SECONDS = 25.0, 3.0  # set-ups a second at this router, and for how long
DESCRIPTION_BYTES = 4000  # of an answer; a message may have 16 KiB
WAIT_MS = 3000
CROSSING_MS = 50.0  # a set-up that crosses the end of its connection by less is not counted


async def case(record: Record, folder: Path) -> tuple[bool, str]:
    log = ChangeLog(record)
    await log.start()
    pumps = [Pump(record, 0x10 + n, n) for n in range(PUMPS)]
    for pump in pumps:
        pump.body_bytes = DESCRIPTION_BYTES
    log.add([pump.row() for pump in pumps], reset=True)
    router = Router(record, folder, "n0", {"settings": settings(1, 0, PUMPS), "sockets": 256}, log)
    await router.ready()
    viewers = Viewers(record, "viewers")
    await viewers.connect(router.port)
    await asyncio.sleep(1.0)
    began, hung = time.monotonic(), False
    asked: dict[str, float] = {}
    for number in range(int(RATE * SECONDS)):
        await asyncio.sleep(max(0.0, began + number / RATE - time.monotonic()))
        if viewers.lost_ms is not None:
            break
        if TROUBLE and not hung and number >= RATE:
            hung = True
            busiest = max(pumps, key=lambda x: len(x.sessions))
            busiest.hang()
            asyncio.get_running_loop().call_later(HANG_S, busiest.go_on)
        session = f"{number + 1:016x}"
        asked[session] = time.monotonic() * 1000.0
        viewers.set_up(session, "check", "exam", WAIT_MS, copies=3)
    await asyncio.sleep(WAIT_MS / 1000.0 + 1.0)
    until = viewers.lost_ms or time.monotonic() * 1000.0
    lost = [x for x, sent in asked.items() if len(viewers.answers.get(x, [])) != 1 and until - sent > CROSSING_MS]
    ran = {x for pump in pumps for x in pump.run}
    paid = [x for x in lost if x in ran]
    served = sum(x[0][1].status == 200 for x in viewers.answers.values())
    if not served:
        raise CannotRun("nobody was served")
    record.write("case", f"without exactly one answer: {lost}; of these set up, and paid: {paid}")
    return not lost, f"{served} of {len(asked)} served, {len(lost)} without an answer, {len(paid)} of these set up and paid"


run_case(Path(__file__).resolve().parent, case)
