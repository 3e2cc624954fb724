"""A bad client uses the id of an open paid request at another router: what is it told, and the viewer?"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins2 as s

TITLE, OTHER = "7f3a9c21e0b4d655", "11aa9c21e0b4d655"
LIMIT_S = 1.05


def body(case: s.Case) -> list[str]:
    case.add_pumps(4)
    fleet = s.Fleet(case, 3)
    try:
        return played(case, fleet)
    finally:
        fleet.stop()


def played(case: s.Case, fleet: s.Fleet) -> list[str]:
    def later(pump: s.Pump, connection: s.Connection, message: s.Message) -> None:
        threading.Timer(0.8, lambda: pump.accept(connection, message)).start()

    for pump in case.pumps:
        pump.on_set_up = lambda connection, message, pump=pump: later(pump, connection, message)
    viewer = s.Viewer(case.record, fleet.routers[0].address, "viewer")
    bad = s.Viewer(case.record, fleet.routers[1].address, "bad-client")
    session = "%016x" % 0x51A1
    viewer.set_up(session, "graded-check", TITLE, 3000)
    time.sleep(0.3)
    if s.TROUBLE:
        bad.set_up(session, "graded-check", OTHER, 3000)
    answer = viewer.answer(session)
    if answer is None or answer.status != 200:
        raise s.CannotRun("the viewer's check was not set up")
    breaches = []
    if s.TROUBLE:
        told = bad.answer(session, 5)
        if told is not None and told.status == 200:
            breaches.append(f"the bad client was told 'served' for {OTHER}, with {told.body.decode()!r}, the description of "
                            f"the viewer's session of {TITLE}")
    time.sleep(1.5)
    pump = case.pump_of(session)
    ended = pump.end(session)
    heard = viewer.end_of(session, 8)
    if heard is None or heard - ended > LIMIT_S:
        breaches.append("the viewer was not told the end of its session within "
                        + ("8 s" if heard is None else f"{heard - ended:.1f} s"))
    return breaches


if __name__ == "__main__":
    sys.exit(s.play(__file__, body))
