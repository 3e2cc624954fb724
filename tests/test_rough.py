"""Bad clients, bad pumps: the program as a process, and what the others are still owed."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from tests.stand import Message, Pump, Wire, answer, ask, site


def test_a_request_that_no_pump_can_use_keeps_no_other_from_them(tmp_path: Path) -> None:
    """Guards against pumps distrusted for what a bad client asks: the usual ones would be refused."""
    def script(pump: Pump) -> Any:
        def run(wire: Wire, message: Message) -> None:
            if "unknown" in message.start:
                wire.send("RTSP/1.0 500 No", message.session)
            else:
                pump.accept(wire, message)
        return run

    with site(tmp_path, 3) as (program, pumps, _):
        for pump in pumps:
            pump.script = script(pump)
        viewer = program.connect()
        for number in range(1, 40, 2):
            ask(viewer, number, "paid" if number % 4 == 1 else "free", title="unknown")
            assert answer(viewer).status in (500, 503)
            ask(viewer, number + 1, title=f"title-{number}")
            assert answer(viewer).status == 200
        assert sum(len(pump.setups) for pump in pumps) < 20 + 12, "it is not tried over and over"
