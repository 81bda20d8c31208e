"""Backends by life, as told by their beats and by the other registries. Time is an argument; no input or output.

A life is an `id`. What is known of it only moves forward: by `call_count`, and from ready to draining to gone.
So two registries that merge in any order know the same, and a late beat brings no life back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Any

from irisdeal.runtime.events import Event, invariant, log_event

MISSED_HEARTBEATS = 2.7  # beats that may be missed before a life is taken for silent: two, and the way of one
FORGET = 120.0  # s that a life that is gone is remembered: far over any beat that is still on its way
LOST = 60.0  # s of silence after which a life is taken for gone
MAX_INCARNATIONS = 20_000  # remembered; the oldest that are gone go first


class BackendState(IntEnum):
    """How far a life has come; it never goes back."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class BackendIncarnation:
    """One start of a backend. `warm_at`: s on our clock, when it is no longer slow."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: BackendState
    count: int
    warm_at: float


@dataclass(slots=True)
class BackendEntry:
    """A life, when it was last heard, and under which number it last changed for those who watch."""

    incarnation: BackendIncarnation
    heard: float
    changed: int
    silent: bool = False


def encode_incarnation(incarnation: BackendIncarnation, now: float) -> list[Any]:
    """A life for another process: clocks differ, so times go as what is left."""
    return [
        incarnation.id,
        incarnation.service,
        incarnation.address,
        incarnation.zone,
        incarnation.capacity,
        int(incarnation.state),
        incarnation.count,
        max(0, round((incarnation.warm_at - now) * 1000)),
    ]


def decode_incarnation(told: list[Any], now: float) -> BackendIncarnation:
    """ValueError where it is none."""
    id_, service, address, zone, capacity, state, count, warm = told
    return BackendIncarnation(
        str(id_),
        str(service),
        str(address),
        str(zone),
        int(capacity),
        BackendState(state),
        int(count),
        now + int(warm) / 1000,
    )


class BackendTable:
    """All lives, and what has changed since a number."""

    def __init__(self, heartbeat: float) -> None:
        self.silence = heartbeat * MISSED_HEARTBEATS
        self.entries: dict[str, BackendEntry] = {}
        self.number = 0

    def hear(self, incarnation: BackendIncarnation, now: float, age: float = 0.0) -> bool:
        """A beat, or another's word of one, `age` s old. True where it is news to those who watch."""
        entry = self.entries.get(incarnation.id)
        if entry is None:
            self.number += 1
            self.entries[incarnation.id] = BackendEntry(incarnation, now - age, self.number)
            log_event(
                {
                    BackendState.READY: Event.BACKEND_ADDED,
                    BackendState.DRAINING: Event.BACKEND_DRAINING,
                    BackendState.GONE: Event.BACKEND_GONE,
                }[incarnation.state],
                id=incarnation.id,
                service=incarnation.service,
                address=incarnation.address,
            )
            return True
        known = entry.incarnation
        newer = incarnation.count > known.count
        merged = replace(
            incarnation if newer else known,
            state=max(known.state, incarnation.state),
            count=max(known.count, incarnation.count),
        )
        invariant(merged.state >= known.state, "a life never goes back", id=incarnation.id)
        if newer:
            entry.heard = max(entry.heard, now - age)
        news = merged.state != known.state or merged.address != known.address
        if entry.silent and now - entry.heard < self.silence:
            entry.silent, news = False, True
        entry.incarnation = merged
        if news:
            self.number += 1
            entry.changed = self.number
            if merged.state != known.state:
                log_event(
                    Event.BACKEND_DRAINING if merged.state is BackendState.DRAINING else Event.BACKEND_GONE,
                    id=incarnation.id,
                    service=incarnation.service,
                )
        return news

    def leave(self, id_: str, now: float) -> BackendIncarnation | None:
        """It says that it is gone. None where it is not known."""
        entry = self.entries.get(id_)
        if entry is None:
            return None
        gone = replace(entry.incarnation, state=BackendState.GONE, count=entry.incarnation.count + 1)
        self.hear(gone, now)
        return entry.incarnation

    def look(self, now: float) -> bool:
        """Who is silent, who is forgotten. True where that is news."""
        news = False
        for entry in list(self.entries.values()):
            quiet = now - entry.heard
            if entry.incarnation.state is BackendState.GONE:
                if quiet > FORGET or len(self.entries) > MAX_INCARNATIONS:
                    del self.entries[entry.incarnation.id]
            elif quiet > LOST:
                entry.incarnation = replace(entry.incarnation, state=BackendState.GONE)
                self.number += 1
                entry.changed, news = self.number, True
            elif quiet > self.silence and not entry.silent:
                self.number += 1
                entry.silent, entry.changed, news = True, self.number, True
                log_event(
                    Event.BACKEND_SILENT,
                    id=entry.incarnation.id,
                    service=entry.incarnation.service,
                    seconds=round(quiet, 2),
                )
        return news

    def void_silence(self, now: float) -> None:
        """We did not hear because of ourselves: nobody was silent."""
        for entry in self.entries.values():
            if entry.incarnation.state is not BackendState.GONE:
                entry.heard = max(entry.heard, now - self.silence / 2)

    def since(self, number: int) -> Iterable[BackendEntry]:
        """What has changed after this number of ours."""
        return (entry for entry in self.entries.values() if entry.changed > number)

    def all(self, now: float) -> list[tuple[list[Any], int]]:
        """Every life and how many ms ago it was heard, for another registry."""
        return [
            (encode_incarnation(entry.incarnation, now), round((now - entry.heard) * 1000))
            for entry in self.entries.values()
        ]
