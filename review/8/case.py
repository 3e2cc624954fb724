"""Discovery serves each new connection 1.5 s late: does the router ever learn that a pump drains?"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins2 as s

TITLE = "7f3a9c21e0b4d655"
SLOW_S = 1.5
BOUND_S = 4.0 + 0.25 + 0.05  # counts as told at the latest, the grace of a drain, and the 50 ms of every time limit


def body(case: s.Case) -> list[str]:
    if s.TROUBLE:
        case.changelog.delay_s = SLOW_S  # only the first line of a connection is late, all later ones are not
    case.add_pumps(4)
    router = s.Router(case)
    router.ready()
    time.sleep(8)
    viewer = s.Viewer(case.record, router.address)
    first = "%016x" % 0xA0
    viewer.set_up(first, "practice-call", TITLE, 4000)
    if (answer := viewer.answer(first)) is None or answer.status != 200:
        raise s.CannotRun("the set-up was not served")
    pump = case.pump_of(first)
    case.changelog.event([pump.row("leaving")])
    told = case.record.now()
    classes: dict[str, str] = {}
    while case.record.now() < told + 20:
        n = len(classes)
        session = "%016x" % (0xB00 + n)
        classes[session] = "graded-check" if n % 8 == 0 else "practice-call"
        viewer.set_up(session, classes[session], TITLE, 3000)
        time.sleep(0.7)
    late = [(at, x) for at, x in pump.set_ups if at > told + BOUND_S]
    if late:
        paid = sum(classes[x] == "graded-check" for _, x in late)
        return [f"{len(late)} new set-ups, {paid} of them paid, were sent to {pump.name} {late[0][0] - told:.1f} to "
                f"{late[-1][0] - told:.1f} s after the router was told that it drains"]
    return []


if __name__ == "__main__":
    sys.exit(s.play(__file__, body))
