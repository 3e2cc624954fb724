"""The figures that the staff read, and their form."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cloverhinge.core.model import Tally


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """At one moment.  Counts are since the start of the process."""

    tallies: dict[str, Tally]  # by class, as the settings name them
    active: int  # requests taken and not ended
    pool_size: int  # boxes in the list
    pool_ejected: int  # of these, left out by hand or avoided by choice

    def lines(self) -> Iterator[str]:
        for name, one in self.tallies.items():
            yield f"ok.{name}={one.ok}"
            yield f"shed.{name}={one.shed}"
            yield f"errors.{name}={one.errors}"
            yield f"tries.{name}={one.tries}"
        yield f"active={self.active}"
        yield f"pool_size={self.pool_size}"
        yield f"pool_ejected={self.pool_ejected}"
