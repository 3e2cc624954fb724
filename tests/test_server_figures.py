"""Figures of media servers that no arithmetic can be done with are not taken."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any, cast

import pytest

from cloverhinge.core.model import Request
from cloverhinge.decision import interface as api
from cloverhinge.lab.harness import read_answer, running_program, send_set_up
from cloverhinge.rtsp.messages import MalformedMessage, Message
from cloverhinge.rtsp.server_messages import parse_load_report, parse_session_event

REQUEST = cast(Request, type("FakeRequest", (), {"handle": 1}))
RUNGS = 3


# Guards against a load that stays no number, so that every comparison with it fails.
@pytest.mark.parametrize("figure", ["nan", "inf", "-inf", "1e999", "NaN"])
def test_a_load_that_is_no_finite_number_is_ignored(figure: str) -> None:
    assert parse_load_report(Message(headers={"x-circuits": f"x0:{figure}"})) is None
    report = parse_load_report(Message(headers={"x-circuits": f"x0:{figure};x1:0.5"}))
    assert report == api.LoadReport(None, None, 0.5)


@pytest.mark.parametrize("figure,taken", [("-0.5", 0.0), ("1e308", 1e6), ("0.75", 0.75), ("-0.0", 0.0)])
def test_a_load_is_limited_to_what_a_server_can_have(figure: str, taken: float) -> None:
    assert parse_load_report(Message(headers={"x-circuits": f"x0:{figure}"})) == api.LoadReport(None, taken)


# Guards against a reciprocal of a delivered share that is infinite.
@pytest.mark.parametrize("share", ["5e-324", "1e-300", "0.000001"])
def test_the_reciprocal_of_a_delivered_share_is_bounded(share: str) -> None:
    note: Any = parse_session_event(_note("delivered", share), REQUEST, 7, RUNGS)
    assert math.isfinite(1.0 / note.share) and 1.0 / note.share <= 1000.0


@pytest.mark.parametrize("rung", ["3", "99", "1e14"])
def test_a_rung_above_the_ladder_is_malformed(rung: str) -> None:
    with pytest.raises(MalformedMessage):
        parse_session_event(_note("rung", rung), REQUEST, 7, RUNGS)


# Guards against a note that costs the connection to its media server, with all that is under way on it.
def test_a_note_with_a_rung_above_the_ladder_does_not_cost_the_connection(tmp_path: Path) -> None:
    with running_program(tmp_path, 1) as (program, servers, _):
        client = program.connect()
        name = send_set_up(client, 1)
        assert read_answer(client).status == 200
        wire, _ = servers[0].expect("SETUP")
        wire.send("ANNOUNCE rtsp://media/x RTSP/1.0", name, 7, X_Why="rung", X_Reading="99")
        answered_on, _ = servers[0].expect("RTSP/1.0 400")
        assert answered_on is wire
        wire.send("TEARDOWN rtsp://media/x RTSP/1.0", name, 2, Reason="cause=16")
        assert read_answer(client, "TEARDOWN").session == name


def _note(why: str, reading: str) -> Message:
    return Message(headers={"x-why": why, "x-reading": reading})
