"""The times at which the phases of a shutdown end, derived from the protocol's earliest SIGKILL."""

from __future__ import annotations

from dataclasses import dataclass

MAX_COUNTED_DEADLINE_MS = 3000.0  # the protocol counts a longer deadline as this one
KILL_DELAY_MS = 700.0  # SIGKILL may come this long after SIGTERM, in addition to the longest deadline
ACCEPT_MS = 700.0  # new connections may arrive for this long after SIGTERM
# Margins before the earliest SIGKILL.  The first leaves time to write an answer for every open request; the
# second and third let what crosses the close of a connection, within 50 ms, reach a socket that is still
# open.
ANSWER_MARGIN_MS = 300.0
CLOSE_MARGIN_MS = 150.0
EXIT_MARGIN_MS = 100.0


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Unix times in milliseconds, in order."""

    accept_until_ms: float  # the listeners are closed
    answer_until_ms: float  # every open request gets its final answer; later ones are refused at once
    close_until_ms: float  # connections that are still open are closed
    exit_ms: float  # the process ends, whatever is open
    kill_ms: float  # the earliest SIGKILL


def schedule_shutdown(signalled_ms: float, longest_deadline_ms: float) -> ShutdownSchedule:
    """The schedule of a shutdown whose SIGTERM came at `signalled_ms`.

    `longest_deadline_ms` is the longest time for which any client waits for an answer.
    """
    kill_ms = signalled_ms + min(longest_deadline_ms, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS
    close_until_ms = kill_ms - CLOSE_MARGIN_MS
    return ShutdownSchedule(
        accept_until_ms=min(signalled_ms + ACCEPT_MS, close_until_ms),
        answer_until_ms=kill_ms - ANSWER_MARGIN_MS,
        close_until_ms=close_until_ms,
        exit_ms=kill_ms - EXIT_MARGIN_MS,
        kill_ms=kill_ms,
    )
