"""A registry's table of backend incarnations. Time is passed as an argument; this module does no I/O.

Updates of an incarnation are monotonic: its heartbeat count only increases, and its state only moves from ready to
draining to gone. Registries therefore converge whatever the order in which they merge reports, and a late heartbeat
does not revive an incarnation. An incarnation that is gone is kept for a while as a tombstone.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from irisdeal.registry.incarnation import (
    BackendIncarnation,
    BackendState,
    IncarnationStatus,
    ObservedIncarnation,
)
from irisdeal.runtime.events import Event, check_invariant, log_event

# Heartbeat intervals without a heartbeat after which a backend is unresponsive: two missed ones plus network delay
UNRESPONSIVE_AFTER_INTERVALS = 2.7
TOMBSTONE_TTL_S = 120.0  # much longer than any heartbeat is delayed in the network
GONE_AFTER_S = 60.0  # time without a heartbeat after which an incarnation is considered gone
MAX_INCARNATIONS = 20_000  # in the table; with more, tombstones are dropped early

EVENT_OF_STATE = {
    BackendState.READY: Event.BACKEND_ADDED,
    BackendState.DRAINING: Event.BACKEND_DRAINING,
    BackendState.GONE: Event.BACKEND_GONE,
}


@dataclass(slots=True)
class BackendEntry:
    """An incarnation in the table.

    `last_heartbeat_at`: when the last heartbeat was received, s on the local clock; `changed_at_version`: the table
    version of its last change that watchers are notified of.
    """

    incarnation: BackendIncarnation
    last_heartbeat_at: float
    changed_at_version: int
    is_unresponsive: bool = False

    def status(self) -> IncarnationStatus:
        """Return the status that is sent to watchers."""
        return IncarnationStatus(self.incarnation, self.is_unresponsive)


class BackendTable:
    """All incarnations, with a version number that increases with each change."""

    def __init__(self, heartbeat_interval_s: float) -> None:
        self.unresponsive_after_s = heartbeat_interval_s * UNRESPONSIVE_AFTER_INTERVALS
        self.entries: dict[str, BackendEntry] = {}
        self.version = 0

    def observe(self, incarnation: BackendIncarnation, now: float, age_s: float = 0.0) -> bool:
        """Merge a heartbeat received `age_s` ago, here or by another process.

        Returns whether watchers must be notified.
        """
        entry = self.entries.get(incarnation.id)
        if entry is None:
            self._add(incarnation, now - age_s)
            return True
        known = entry.incarnation
        is_newer = incarnation.count > known.count
        merged = replace(
            incarnation if is_newer else known,
            state=max(known.state, incarnation.state),
            count=max(known.count, incarnation.count),
        )
        check_invariant(merged.state >= known.state, "an incarnation never goes back", id=incarnation.id)
        if is_newer:
            entry.last_heartbeat_at = max(entry.last_heartbeat_at, now - age_s)
        has_changed = merged.state != known.state or merged.address != known.address
        if entry.is_unresponsive and now - entry.last_heartbeat_at < self.unresponsive_after_s:
            entry.is_unresponsive, has_changed = False, True
        entry.incarnation = merged
        if has_changed:
            self._bump_version(entry)
            if merged.state != known.state:
                log_event(EVENT_OF_STATE[merged.state], id=incarnation.id, service=incarnation.service)
        return has_changed

    def _add(self, incarnation: BackendIncarnation, last_heartbeat_at: float) -> None:
        self.version += 1
        self.entries[incarnation.id] = BackendEntry(incarnation, last_heartbeat_at, self.version)
        log_event(
            EVENT_OF_STATE[incarnation.state],
            id=incarnation.id,
            service=incarnation.service,
            address=incarnation.address,
        )

    def _bump_version(self, entry: BackendEntry) -> None:
        self.version += 1
        entry.changed_at_version = self.version

    def deregister(self, id_: str, now: float) -> BackendIncarnation | None:
        """Mark an incarnation as gone at its backend's request. Returns None if it is not in the table."""
        entry = self.entries.get(id_)
        if entry is None:
            return None
        gone = replace(entry.incarnation, state=BackendState.GONE, count=entry.incarnation.count + 1)
        self.observe(gone, now)
        return entry.incarnation

    def expire(self, now: float) -> bool:
        """Update backends whose heartbeats are overdue, and drop expired tombstones.

        Returns whether watchers must be notified.
        """
        has_changed = False
        for entry in list(self.entries.values()):
            elapsed_s = now - entry.last_heartbeat_at
            if entry.incarnation.state is BackendState.GONE:
                if elapsed_s > TOMBSTONE_TTL_S or len(self.entries) > MAX_INCARNATIONS:
                    del self.entries[entry.incarnation.id]
            elif elapsed_s > GONE_AFTER_S:
                entry.incarnation = replace(entry.incarnation, state=BackendState.GONE)
                self._bump_version(entry)
                has_changed = True
            elif elapsed_s > self.unresponsive_after_s and not entry.is_unresponsive:
                entry.is_unresponsive = has_changed = True
                self._bump_version(entry)
                log_event(
                    Event.BACKEND_UNRESPONSIVE,
                    id=entry.incarnation.id,
                    service=entry.incarnation.service,
                    seconds=round(elapsed_s, 2),
                )
        return has_changed

    def extend_heartbeat_deadlines(self, now: float) -> None:
        """Extend the heartbeat deadlines after this process was suspended and could not receive heartbeats."""
        for entry in self.entries.values():
            if entry.incarnation.state is not BackendState.GONE:
                entry.last_heartbeat_at = max(entry.last_heartbeat_at, now - self.unresponsive_after_s / 2)

    def changed_since(self, version: int) -> Iterable[BackendEntry]:
        """Return the entries that changed after this table version."""
        return (entry for entry in self.entries.values() if entry.changed_at_version > version)

    def observed(self, now: float) -> list[ObservedIncarnation]:
        """Return every incarnation with the age of its last heartbeat, for another registry."""
        return [
            ObservedIncarnation(entry.incarnation, round((now - entry.last_heartbeat_at) * 1000))
            for entry in self.entries.values()
        ]
