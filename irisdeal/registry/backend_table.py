"""The table of backends that a registry keeps, by incarnation. Time is an argument; no input or output.

What is known of an incarnation only moves forward: by its count of heartbeats, and from ready to draining to
gone. So two registries that merge reports in any order know the same, and a late heartbeat revives no
incarnation. One that is gone stays in the table for a while as a tombstone.
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

# Heartbeat intervals without a heartbeat after which a backend is unresponsive: two missed ones and a transit.
MISSED_HEARTBEATS = 2.7
TOMBSTONE_S = 120.0  # that an incarnation that is gone is remembered: far over the transit of any heartbeat
GONE_AFTER_S = 60.0  # without a heartbeat, after which an incarnation is taken to be gone
MAX_INCARNATIONS = 20_000  # remembered; beyond it tombstones are dropped early

EVENT_OF_STATE = {
    BackendState.READY: Event.BACKEND_ADDED,
    BackendState.DRAINING: Event.BACKEND_DRAINING,
    BackendState.GONE: Event.BACKEND_GONE,
}


@dataclass(slots=True)
class BackendEntry:
    """An incarnation in the table.

    `heartbeat_at`: s on the local clock, when the last heartbeat was received; `changed_in`: the table's
    version in which watchers last saw it change.
    """

    incarnation: BackendIncarnation
    heartbeat_at: float
    changed_in: int
    is_unresponsive: bool = False

    def status(self) -> IncarnationStatus:
        """Return what watchers are notified of."""
        return IncarnationStatus(self.incarnation, self.is_unresponsive)


class BackendTable:
    """All incarnations, and which of them changed since a version of the table."""

    def __init__(self, heartbeat_interval_s: float) -> None:
        self.unresponsive_after_s = heartbeat_interval_s * MISSED_HEARTBEATS
        self.entries: dict[str, BackendEntry] = {}
        self.version = 0

    def observe(self, incarnation: BackendIncarnation, now: float, age_s: float = 0.0) -> bool:
        """Merge a heartbeat, or another process's report of one, received `age_s` ago.

        Returns whether anything changed that watchers are notified of.
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
            entry.heartbeat_at = max(entry.heartbeat_at, now - age_s)
        has_changed = merged.state != known.state or merged.address != known.address
        if entry.is_unresponsive and now - entry.heartbeat_at < self.unresponsive_after_s:
            entry.is_unresponsive, has_changed = False, True
        entry.incarnation = merged
        if has_changed:
            self._bump_version(entry)
            if merged.state != known.state:
                log_event(EVENT_OF_STATE[merged.state], id=incarnation.id, service=incarnation.service)
        return has_changed

    def _add(self, incarnation: BackendIncarnation, heartbeat_at: float) -> None:
        self.version += 1
        self.entries[incarnation.id] = BackendEntry(incarnation, heartbeat_at, self.version)
        log_event(
            EVENT_OF_STATE[incarnation.state],
            id=incarnation.id,
            service=incarnation.service,
            address=incarnation.address,
        )

    def _bump_version(self, entry: BackendEntry) -> None:
        self.version += 1
        entry.changed_in = self.version

    def deregister(self, id_: str, now: float) -> BackendIncarnation | None:
        """Mark an incarnation as gone, as its backend said. None where it is not known."""
        entry = self.entries.get(id_)
        if entry is None:
            return None
        gone = replace(entry.incarnation, state=BackendState.GONE, count=entry.incarnation.count + 1)
        self.observe(gone, now)
        return entry.incarnation

    def expire(self, now: float) -> bool:
        """Find backends whose heartbeats are missing, and drop old tombstones.

        Returns whether anything changed that watchers are notified of.
        """
        has_changed = False
        for entry in list(self.entries.values()):
            elapsed_s = now - entry.heartbeat_at
            if entry.incarnation.state is BackendState.GONE:
                if elapsed_s > TOMBSTONE_S or len(self.entries) > MAX_INCARNATIONS:
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

    def forgive_missed_heartbeats(self, now: float) -> None:
        """Give backends time after this process was suspended.

        Heartbeats that it could not receive are not held against them.
        """
        for entry in self.entries.values():
            if entry.incarnation.state is not BackendState.GONE:
                entry.heartbeat_at = max(entry.heartbeat_at, now - self.unresponsive_after_s / 2)

    def changed_since(self, version: int) -> Iterable[BackendEntry]:
        """Entries that changed after this version of the table."""
        return (entry for entry in self.entries.values() if entry.changed_in > version)

    def observed(self, now: float) -> list[ObservedIncarnation]:
        """Every incarnation with the age of its last heartbeat, for another registry."""
        return [
            ObservedIncarnation(entry.incarnation, round((now - entry.heartbeat_at) * 1000))
            for entry in self.entries.values()
        ]
