"""Which process of a router holds which session, as the entries of the session log tell.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

from cloverhinge.operations.session_log import Ended, Entry, Established, Held, Over


@dataclass(slots=True)
class Holder:
    """The process that holds a request or session, and what the session is."""

    process: str
    class_name: str
    title: str
    paid: bool
    server: int | None = None  # where the session is established

    def matches(self, held: Held) -> bool:
        """Whether an entry describes the same session, and not another one under its id."""
        return (self.class_name, self.title) == (held.class_name, held.title)


class SessionDirectory:
    """Applies the entries of the log in their order, so that all processes come to the same result.

    The first process that takes an id holds it until the session is over, or is handed over to another one.
    """

    def __init__(self) -> None:
        self.holders: dict[str, Holder] = {}  # by session id
        self.processes: set[str] = set()  # that have held a session
        self.ended: set[str] = set()  # processes that apply no later entries

    def apply(self, entry: Entry) -> None:
        """Apply one entry; those that report events to other processes change nothing here."""
        match entry:
            case Held():
                self._hold(entry)
            case Established(process, session, server):
                holder = self.holders.get(session)
                if holder is not None and holder.process == process:
                    holder.server = server
            case Over(process, session):
                holder = self.holders.get(session)
                if holder is not None and holder.process == process:
                    del self.holders[session]
            case Ended(process):
                self.ended.add(process)

    def _hold(self, held: Held) -> None:
        self.processes.add(held.process)
        holder = self.holders.get(held.session)
        if holder is None or held.hand_over and self._may_hand_over(holder, held):
            self.holders[held.session] = Holder(held.process, held.class_name, held.title, held.paid)

    def _may_hand_over(self, holder: Holder, held: Held) -> bool:
        """Whether a hand-over names a session that is established, or whose process is gone."""
        return holder.matches(held) and (holder.server is not None or holder.process in self.ended)

    def held_by(self, process: str) -> list[str]:
        """The ids of the requests and sessions that a process holds."""
        return [session for session, holder in self.holders.items() if holder.process == process]

    def forget(self, process: str) -> None:
        """Remove an ended process with all that it still holds."""
        for session in self.held_by(process):
            del self.holders[session]
        self.processes.discard(process)
        self.ended.discard(process)

    def snapshot(self) -> list[Entry]:
        """Entries that lead to the present state; those of processes that have ended are told as such."""
        entries: list[Entry] = []
        for session, holder in self.holders.items():
            entries.append(
                Held(holder.process, session, holder.class_name, holder.title, holder.paid, hand_over=True)
            )
            if holder.server is not None:
                entries.append(Established(holder.process, session, holder.server))
        processes = {holder.process for holder in self.holders.values()}
        entries += [Ended(process) for process in sorted(self.ended & processes)]
        return entries
