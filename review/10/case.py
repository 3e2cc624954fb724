"""A spoilt answer takes the connection on which a session's release comes: is the viewer told of the end in time?"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins2 as s

LIMIT_S = 1.05  # released towards the client within 1 s, and every time limit is 50 ms longer
TITLE = "7f3a9c21e0b4d655"


def spoil(connection: s.Connection, message: s.Message) -> None:
    """The answer stops short, and the connection stays open; the pump gives up what it cannot answer."""
    connection.send(b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + message.session.encode() + b"\r\nContent-Len")


def body(case: s.Case) -> list[str]:
    case.add_pumps(4)
    router = s.Router(case)
    router.ready()
    viewer = s.Viewer(case.record, router.address)
    first, second, third = ("%016x" % n for n in (0xA1, 0xA2, 0xA3))
    # Two set-ups at once: the router opens a connection for each.
    for pump in case.pumps:
        pump.on_set_up = lambda connection, message, pump=pump: (time.sleep(0.1), pump.accept(connection, message))
    viewer.set_up(first, "live-coaching", TITLE, 5000)
    viewer.set_up(second, "live-coaching", TITLE, 5000)
    if any((x := viewer.answer(y)) is None or x.status != 200 for y in (first, second)):
        raise s.CannotRun("a set-up was not served")
    pump = case.pump_of(first)
    if case.pump_of(second) is not pump:
        raise s.CannotRun("the sessions are at two pumps")
    for other in case.pumps:
        other.on_set_up = other.accept
    time.sleep(1.5)
    # The router sends the third set-up on the connection of the first.
    went_on = []

    def on_third(connection, message):
        went_on.append(connection)
        spoil(connection, message) if s.TROUBLE else pump.accept(connection, message)

    pump.on_set_up = on_third
    viewer.set_up(third, "live-coaching", TITLE, 5000)
    until = time.time() + 3
    while not went_on and time.time() < until:
        time.sleep(0.005)
    if not went_on:
        raise s.CannotRun("the third set-up went to another pump")
    pump.on_set_up = pump.accept
    time.sleep(0.15)
    ending = next((x for x in (first, second) if pump.sessions[x] is went_on[0]), None)
    if ending is None:
        raise s.CannotRun("the third set-up has a connection of its own")
    case.record.add("case", f"{ending} ends on the connection that carried the set-up of {third}")
    told = pump.end(ending)
    heard = None
    # Viewers go on coming, for other recordings too.
    for n in range(24):
        if (heard := viewer.end_of(ending, 0.7)) is not None:
            break
        viewer.set_up("%016x" % (0xB00 + n), "practice-call", "%016x" % (0x7f3a9c21e0b40000 + n % 8), 4000, copies=4)
    if heard is None:
        return [f"{ending}: released by its pump, and the viewer was not told within {case.record.now() - told:.1f} s"]
    if heard - told > LIMIT_S:
        return [f"{ending}: the viewer was told {heard - told:.2f} s after the pump's release, over {LIMIT_S} s"]
    return []


if __name__ == "__main__":
    sys.exit(s.play(__file__, body))
