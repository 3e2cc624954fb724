"""Containment of unexpected exceptions: an exception in one step costs this step alone.

Whoever runs steps that do not depend on each other (events, deadlines, messages, requests) reports what one
of them raises, and goes on with the next.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from cloverhinge.core.invariants import violations

MAX_LOGGED = 100  # tracebacks of one step that are logged; further ones are only counted


def _print_traceback(step: str) -> None:
    print(f"unexpected exception while {step}\n{traceback.format_exc()}", file=sys.stderr)


# Logs the exception that is being handled; the program replaces it by its own log.
log_exception: Callable[[str], None] = _print_traceback


def report_exception(step: str) -> None:
    """Log the exception that is being handled, and count it among the broken invariants.

    Debug builds raise it again.
    """
    name = f"no exception while {step}"
    violations[name] += 1
    if violations[name] <= MAX_LOGGED:
        log_exception(step)
    if __debug__:
        raise


@contextmanager
def contained(step: str) -> Iterator[None]:
    """Report an exception of the block, and go on behind it.  Debug builds raise it again."""
    try:
        yield
    except Exception:
        report_exception(step)
