"""The metrics that operators read, and their text format."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cloverhinge.core.model import Tally


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """Metrics at one moment.  Counters count from the start of the process."""

    tallies: dict[str, Tally]  # by class of service, under its name in the settings
    active: int  # requests accepted and not ended
    pool_size: int  # media servers in the list
    pool_ejected: int  # of these, in maintenance mode or avoided as suspect

    def lines(self) -> Iterator[str]:
        """One `name=value` line for each metric."""
        for name, tally in self.tallies.items():
            yield f"ok.{name}={tally.ok}"
            yield f"shed.{name}={tally.shed}"
            yield f"errors.{name}={tally.errors}"
            yield f"tries.{name}={tally.tries}"
        yield f"active={self.active}"
        yield f"pool_size={self.pool_size}"
        yield f"pool_ejected={self.pool_ejected}"
