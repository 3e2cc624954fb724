"""The listed media servers, and those that an operator has put in maintenance mode."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from cloverhinge.decision.interface import Health, ListKind, ServerListing


@dataclass(slots=True)
class MaintenanceEntry:
    """A media server in maintenance mode: since when, and its current listing (None if it is not listed)."""

    since_us: int
    listing: ServerListing | None


class ServerListings:
    """The list in force, by server number.  Servers in maintenance mode drain, whatever the list says."""

    def __init__(self) -> None:
        self.listings: dict[int, ServerListing] = {}
        self.maintenance: dict[int, MaintenanceEntry] = {}

    def is_ready(self, server: int) -> bool:
        """Whether the server is listed and not draining."""
        listing = self.listings.get(server)
        return listing is not None and listing.health is Health.READY

    def update(
        self, kind: ListKind, listings: Iterable[ServerListing]
    ) -> tuple[tuple[ServerListing, ...], set[int]]:
        """Apply a list, or a change of it; return what is in force of it, and the servers that are gone."""
        effective = tuple(self._apply_maintenance(kind, listings))
        lost: set[int] = set()
        if kind is not ListKind.DELTA:
            lost = self.listings.keys() - {listing.server for listing in effective}
        for listing in effective:
            if listing.health is Health.GONE:
                lost.add(listing.server)
            else:
                self.listings[listing.server] = listing
        for server in lost:
            self.listings.pop(server, None)
        return effective, lost

    def _apply_maintenance(
        self, kind: ListKind, listings: Iterable[ServerListing]
    ) -> Iterator[ServerListing]:
        if kind is not ListKind.DELTA:
            for entry in self.maintenance.values():
                entry.listing = None
        for listing in listings:
            if (current := self.maintenance.get(listing.server)) is not None:
                current.listing = None if listing.health is Health.GONE else listing
                if listing.health is Health.READY:
                    listing = replace(listing, health=Health.DRAINING)
            yield listing

    def start_maintenance(self, server: int, since_us: int) -> ServerListing | None:
        """Begin a server's maintenance mode; return its listing to apply again, if it is listed."""
        if server in self.maintenance:
            return None
        listing = self.listings.get(server)
        self.maintenance[server] = MaintenanceEntry(since_us, listing)
        return listing

    def end_maintenance(self, server: int, now_us: int) -> ServerListing | None:
        """End a server's maintenance mode; return the listing to apply, if it is listed.

        Its start time is the listed one if that is later than the start of the maintenance, else now: a
        server that is taken for warm while it is cold would be overloaded and fail.
        """
        entry = self.maintenance.pop(server, None)
        if entry is None or entry.listing is None:
            return None
        listed_us = entry.listing.started_us
        started_us = listed_us if listed_us >= entry.since_us else now_us
        return replace(entry.listing, started_us=started_us, after_maintenance=True)
