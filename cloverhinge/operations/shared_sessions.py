"""Sessions of several processes under one router name, as during an upgrade.

A media server or a viewer may tell any of the processes that a session is over.  The process that learns it
records it in the session log before it acknowledges it, and the process that holds the session acts on it.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Collection

from cloverhinge.core.clock import Clock
from cloverhinge.core.containment import contained
from cloverhinge.core.model import Request, SetUpRequest
from cloverhinge.core.recent_ids import RecentIds
from cloverhinge.core.router import Router
from cloverhinge.decision.interface import Effect, Outcome
from cloverhinge.operations.session_directory import SessionDirectory
from cloverhinge.operations.session_log import (
    Ended,
    Entry,
    Established,
    Held,
    Over,
    Paid,
    Released,
    SessionLog,
    Undelivered,
    ViewerLeft,
)
from cloverhinge.rtsp.client import RtspClient
from cloverhinge.rtsp.front import RtspFrontend
from cloverhinge.rtsp.media_servers import MediaServers

# What an ended process still held is handed over by its viewers within this time, or it is forgotten.
HAND_OVER_TIMEOUT_MS = 60_000.0
MAX_VIEWERS_LEFT = 4096  # sessions remembered that viewers have ended


class SharedSessions:
    """Records this process's sessions in the log and acts on what other processes record.

    Implements the core's `SharingPort`.
    """

    def __init__(
        self, log: SessionLog, router: Router, front: RtspFrontend, servers: MediaServers, clock: Clock
    ) -> None:
        self.log, self.router, self.front, self.servers, self.clock = log, router, front, servers, clock
        self.process = f"{os.getpid()}-{secrets.token_hex(4)}"
        self.directory = SessionDirectory()
        self.others_run = False  # whether another process runs under this router's name
        self.ending = False
        self._ended_ms: dict[str, float] = {}  # when other processes were found to have ended
        # Sessions of other processes that viewers have ended here.
        self._left: RecentIds[None] = RecentIds(HAND_OVER_TIMEOUT_MS, MAX_VIEWERS_LEFT)
        router.sharing = self
        front.viewer_left_elsewhere = self.viewer_left
        front.share_undelivered = self.share_undelivered

    def start(self) -> None:
        """Open the log, and read what earlier processes have left there."""
        if self.log.open():
            while entries := self.log.read_new():
                for entry in entries:
                    self.directory.apply(entry)
                    if isinstance(entry, Released | Paid):
                        self._act(entry)
            self.log.compact(self._snapshot())

    def poll(self, running_pids: Collection[int]) -> None:
        """Act on new entries; `running_pids`: of the other processes under this router's name."""
        self.others_run = bool(running_pids)
        self.log.open()
        self._read()
        running = {*map(str, running_pids)}
        for process in self.directory.processes - {self.process}:
            if process.partition("-")[0] not in running:
                self._process_ended(process)
        self._forget_ended_processes()
        if not self.others_run and self.log.is_large:
            self.log.compact(self._snapshot())

    def begin_shutdown(self) -> None:
        """Viewers go to another process from now on, and so do messages that wait for a connection."""
        self.ending = True
        while self.front.undelivered:
            _, data = self.front.undelivered.popleft()
            self._append_undelivered("", "", data)

    def stop(self) -> None:
        """Leave what is still held to the other processes, after acting on all that they have recorded."""
        self._append(Ended(self.process))
        self._read()

    # The core's `SharingPort`

    def take(self, set_up: SetUpRequest) -> bool:
        """Record that this process holds a new request; False if another one was first, or had it before.

        Where the log cannot be written, this process acts as if it were alone.
        """
        if not self._append(self._held(set_up, hand_over=False)):
            return True
        self._read()
        if self.router.paid_ids.knows(self.clock.now(), set_up.session_id):
            self._append(Over(self.process, set_up.session_id))
            return False
        holder = self.directory.holders.get(set_up.session_id)
        return holder is None or holder.process == self.process

    def take_over(self, set_up: SetUpRequest, server: int) -> bool:
        """Record that this process holds a session that its viewer has handed over.

        False if another session has its id; in this case nothing changes.
        """
        self._append(self._held(set_up, hand_over=True), Established(self.process, set_up.session_id, server))
        self._read()
        holder = self.directory.holders.get(set_up.session_id)
        return holder is None or holder.process == self.process

    def established(self, request: Request, server: int) -> None:
        """Record where the session of a request is established."""
        self._append(Established(self.process, request.set_up.session_id, server))

    def over(self, request: Request) -> None:
        """Record the end of a request or session."""
        session = request.set_up.session_id
        entries: list[Entry] = [Over(self.process, session)]
        if self.router.paid_ids.knows(self.clock.now(), session):
            entries.insert(0, Paid(self.process, session))
        self._append(*entries)

    def released(self, session_id: str, server: int, outcome: Outcome) -> None:
        """Record a media server's release, unless this process is alone and holds the session."""
        holder = self.directory.holders.get(session_id)
        if self.others_run or holder is not None and holder.process != self.process:
            self._append(Released(self.process, session_id, server, outcome))

    # For the RTSP front

    def viewer_left(self, session_id: str) -> None:
        """A viewer ends a session, or gives a set-up up, that this process does not hold."""
        self._read()
        holder = self.directory.holders.get(session_id)
        if holder is None or holder.process == self.process:
            return
        self._append(ViewerLeft(self.process, session_id))
        self._read()

    def share_undelivered(self, client: RtspClient, data: bytes) -> bool:
        """Pass on a message for which there is no connection; False if it is to wait for one here as well."""
        if self.others_run or self.ending:
            self._append_undelivered(client.session_id, client.peer, data)
        return self.ending

    # Entries

    def _held(self, set_up: SetUpRequest, hand_over: bool) -> Held:
        paid = self.router.classes[set_up.class_name].effect is not Effect.REPEATABLE
        return Held(self.process, set_up.session_id, set_up.class_name, set_up.title, paid, hand_over)

    def _snapshot(self) -> list[Entry]:
        paid_ids = self.router.paid_ids.ids(self.clock.now())
        return [Paid(self.process, x) for x in paid_ids] + self.directory.snapshot()

    def _append_undelivered(self, session: str, peer: str, data: bytes) -> None:
        text = data.decode("utf-8", "replace")
        self._append(Undelivered(self.process, session, peer, text, final=self.ending))

    def _append(self, *entries: Entry) -> bool:
        return self.log.append(entries)

    def _read(self) -> None:
        while entries := self.log.read_new():
            for entry in entries:
                self.directory.apply(entry)
                if entry.process == self.process and not isinstance(entry, ViewerLeft):
                    continue
                with contained("an entry of the session log is acted on"):
                    self._act(entry)

    def _act(self, entry: Entry) -> None:
        match entry:
            case Held(_, session):
                self._handed_over(session)
            case Paid(_, session):
                self.router.paid_ids.add(self.clock.now(), session, None)
            case Released(_, session, server, outcome):
                self.router.end_released(session, server, outcome)
            case ViewerLeft(process, session):
                self._viewer_left(process, session)
            case Undelivered(_, session, peer, data, final):
                client = RtspClient(self.front, 0, peer, session)
                if not self.front.deliver_on_open_connection(client, data.encode()) and final:
                    self.front.store_undelivered(data.encode())
            case Ended(process):
                self._process_ended(process)

    def _handed_over(self, session: str) -> None:
        """Forget a session that its viewer has handed over to another process."""
        request, holder = self.router.by_session_id.get(session), self.directory.holders.get(session)
        if request is not None and holder is not None and holder.process != self.process:
            self.router.hand_over(request)

    def _viewer_left(self, reporter: str, session: str) -> None:
        holder = self.directory.holders.get(session)
        if holder is None:
            return
        if holder.process == self.process:
            self.front.end_session(session)
        elif reporter == self.process and holder.process in self.directory.ended:
            self._release_abandoned(session)
        elif reporter == self.process:
            self._left.add(self.clock.now(), session, None)  # unless its process ends before it reads this

    def _process_ended(self, process: str) -> None:
        """What the process still holds is handed over by its viewers, unless they have ended it already."""
        if process in self._ended_ms:
            return
        self._ended_ms[process] = now = self.clock.now()
        self.directory.ended.add(process)
        for session in self.directory.held_by(process):
            if self._left.knows(now, session):
                self._release_abandoned(session)

    def _release_abandoned(self, session: str) -> None:
        """Have its media server end a session that its viewer has ended and no process holds any more."""
        holder = self.directory.holders[session]
        self._append(Over(holder.process, session))
        if holder.server is not None:
            self.servers.release_leftover(holder.server, session)

    def _forget_ended_processes(self) -> None:
        for process, ended_ms in list(self._ended_ms.items()):
            if self.clock.now() - ended_ms > HAND_OVER_TIMEOUT_MS:
                del self._ended_ms[process]
                for session in self.directory.held_by(process):
                    if self.directory.holders[session].paid:
                        self.router.paid_ids.add(self.clock.now(), session, None)
                self.directory.forget(process)
