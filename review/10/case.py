"""During an upgrade a pump's release comes on a connection of the other process: is the viewer told?"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins2 as s

LIMIT_S = 1.05  # released towards the client within 1 s, and every time limit is 50 ms longer
TITLE = "7f3a9c21e0b4d655"


def body(case: s.Case) -> list[str]:
    case.add_pumps(4)
    upgrade = s.Upgrade(case)
    upgrade.start()
    viewer = s.Viewer(case.record, upgrade.address)
    # Two set-ups at once go on two connections; the second connection is closed when it has rested for 5 s.
    for pump in case.pumps:
        pump.on_set_up = lambda connection, message, pump=pump: (time.sleep(0.1), pump.accept(connection, message))
    sessions = ["%016x" % 0xA1, "%016x" % 0xA2]
    for session in sessions:
        viewer.set_up(session, "live-coaching", TITLE, 5000)
    if any((x := viewer.answer(y)) is None or x.status != 200 for y in sessions):
        raise s.CannotRun("a set-up was not served")
    for pump in case.pumps:
        pump.on_set_up = pump.accept
    pump = case.pump_of(sessions[0])
    until = time.time() + 12
    while time.time() < until and all(pump.sessions[x].open for x in sessions):
        time.sleep(0.05)
    ending = next((x for x in sessions if not pump.sessions[x].open), None)
    if ending is None:
        raise s.CannotRun("no connection was closed")
    if s.TROUBLE:
        upgrade.start()
        # Viewers come on new connections until the new process has a connection to this pump.
        count, n = len(pump.connections), 0
        while len(pump.connections) == count and n < 40:
            n += 1
            newcomer = s.Viewer(case.record, upgrade.address, "newcomer")
            session = "%016x" % (0xB0 + n)
            newcomer.set_up(session, "live-coaching", TITLE, 5000)
            if newcomer.answer(session) is None:
                raise s.CannotRun("no answer")
            time.sleep(0.1)
        if len(pump.connections) == count:
            raise s.CannotRun("the new process sends this pump nothing")
    told = pump.end(ending)
    if (heard := viewer.end_of(ending, LIMIT_S + 0.5)) is None and s.TROUBLE:
        # The yes has been said: the old process is told to end, and what still stands is handed to the new one.
        upgrade.end_old()
        again = s.Viewer(case.record, upgrade.address, "viewer-again")
        again.set_up(ending, "live-coaching", TITLE, 5000, at=pump.name)
        # Viewers go on coming for other recordings.
        for n in range(16):
            if (heard := again.end_of(ending, 0.7)) is not None:
                break
            again.set_up("%016x" % (0xC00 + n), "practice-call", "%016x" % (0x7f3a9c21e0b40000 + n % 8), 4000, copies=4)
    if heard is None:
        return [f"{ending}: released by its pump, and the viewer was not told within {case.record.now() - told:.1f} s"]
    if heard - told > LIMIT_S:
        return [f"{ending}: the viewer was told {heard - told:.2f} s after the pump's release, over {LIMIT_S} s"]
    return []


if __name__ == "__main__":
    sys.exit(s.play(__file__, body))
