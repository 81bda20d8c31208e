"""The messages that a registry answers, each with its encoding for the wire.

Kinds of calls and the order of fields are fixed: processes of the version before and after stand side by side
in a rolling upgrade. A new field goes to the end, in a release after one whose `decode` accepts lists with and
without it; a flag needs no such release. Each `decode` raises ValueError or TypeError where a body is not of the
message's form.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.permits.messages import PrefetchReply, PrefetchReport
from irisdeal.ratelimit.messages import Usages, decode_usages, encode_usages
from irisdeal.registry.incarnation import IncarnationStatus, ObservedIncarnation

# Flags of a `PlacementRequest` on the wire
IS_REPEAT, IS_COUNTED, IS_LATE = 1, 2, 4

NO_CONTACT_AGE_MS = -1  # age of a registry's state that is not known: it has no contact with a store
OLDER_CHANGE = -1  # change number beside a chunk of a version that is not the newest


# Watching backends and configuration


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A proxy's long poll for whatever is newer than what it has.

    `sync_state`: the configuration that it has; `registry_incarnation`: of the registry process that answered
    last, 0 for none; `table_version`: of that process's backend table as of that answer; `change`: the newest
    change of the store that it has completely.
    """

    sync_state: SyncState
    registry_incarnation: int
    table_version: int
    change: int

    def encode(self) -> list[Any]:
        """Return the wire form."""
        return [self.sync_state.encode(), self.registry_incarnation, self.table_version, self.change]

    @staticmethod
    def decode(fields: Any) -> WatchRequest:
        """Read the wire form."""
        sync_state, registry_incarnation, table_version, change = fields
        return WatchRequest(SyncState.decode(sync_state), registry_incarnation, table_version, change)


@dataclass(frozen=True, slots=True)
class WatchReply:
    """What has changed since a `WatchRequest`.

    `chunk`: of a newer configuration, encoded, as `ChunkAssembler.take` checks it; None for none;
    `registry_incarnation`: of the process that answers; `table_version`: of its backend table; `backends`:
    those that changed; `zones`: the zone of each core machine by IP; `age_ms`: how long ago the registry's
    state was known to be current when the request came, or `NO_CONTACT_AGE_MS`; `change`: the newest change
    that the registry has completely, or `OLDER_CHANGE` where the chunk is of an older version, whose transfer
    was under way.
    """

    chunk: list[object] | None
    registry_incarnation: int
    table_version: int
    backends: Sequence[IncarnationStatus]
    zones: dict[str, str]
    age_ms: int
    change: int

    def encode(self, now: float) -> list[Any]:
        """Return the wire form; `now`: s of the local clock."""
        return [
            self.chunk,
            self.registry_incarnation,
            self.table_version,
            [status.encode(now) for status in self.backends],
            self.zones,
            self.age_ms,
            self.change,
        ]

    @staticmethod
    def decode(fields: Any, now: float) -> WatchReply:
        """Read the wire form; `now`: s of the local clock."""
        chunk, registry_incarnation, table_version, backends, zones, age_ms, change = fields
        return WatchReply(
            chunk,
            registry_incarnation,
            table_version,
            [IncarnationStatus.decode(status, now) for status in backends],
            zones,
            age_ms,
            change,
        )


# Placement of attempts


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A proxy asks for a backend for an attempt, and for the permit and the retry budget that it needs.

    `typical_latency_s`: of the service; `avoid`, `connected`: keys of backends not to use, and of those with an
    idle connection; `rank`: the least goes first; `max_wait_s`: that the request may wait for capacity;
    `time_left_s`: until its deadline; `tenant`: whose permit is wanted, empty for none; `is_repeat`: an attempt
    beyond the request's first; `is_counted`: another registry was asked for the same attempt before; `is_late`:
    the latency target is already missed.
    """

    zone: str
    service: str
    typical_latency_s: float
    avoid: Sequence[int]
    rank: int
    max_wait_s: float
    time_left_s: float
    tenant: str = ""
    is_repeat: bool = False
    is_counted: bool = False
    is_late: bool = False
    connected: Sequence[int] = ()

    def encode(self) -> list[Any]:
        """Return the wire form."""
        flags = IS_REPEAT * self.is_repeat + IS_COUNTED * self.is_counted + IS_LATE * self.is_late
        return [
            self.zone,
            self.service,
            self.typical_latency_s,
            list(self.avoid),
            self.rank,
            self.max_wait_s,
            self.time_left_s,
            self.tenant,
            flags,
            list(self.connected),
        ]

    @staticmethod
    def decode(fields: Any) -> PlacementRequest:
        """Read the wire form."""
        zone, service, latency, avoid, rank, max_wait, time_left, tenant, flags, connected = fields
        return PlacementRequest(
            str(zone),
            str(service),
            float(latency),
            avoid,
            int(rank),
            float(max_wait),
            float(time_left),
            str(tenant),
            bool(flags & IS_REPEAT),
            bool(flags & IS_COUNTED),
            bool(flags & IS_LATE),
            connected,
        )


class PlacementResult(IntEnum):
    """The result of a `PlacementRequest`; all but `PLACED` stand on the wire by their numbers."""

    PLACED = 1
    NO_BACKEND = 0
    OVER_QUOTA = -1
    OVER_BUDGET = -2  # of retries
    WAIT = -3  # no capacity yet: ask again with a `wait` call
    NOT_ISSUING = -4  # this registry issues no permits of this tenant: ask another
    NO_REGISTRY = -5  # none answered; never on the wire


@dataclass(frozen=True, slots=True)
class PlacementReply:
    """The result; where it is `PLACED`, a slot of a backend is reserved.

    `reservation`: its number, above 0; `backend`: the id of the incarnation; `load_factor`: by what factor the
    load there lengthens the attempt.
    """

    result: PlacementResult
    reservation: int = 0
    backend: str = ""
    load_factor: float = 0.0

    def encode(self) -> list[Any]:
        """Return the wire form: the reservation's number, or the result where there is none."""
        return [
            self.reservation if self.result is PlacementResult.PLACED else int(self.result),
            self.backend,
            self.load_factor,
        ]

    @staticmethod
    def decode(fields: Any) -> PlacementReply:
        """Read the wire form."""
        number, backend, load_factor = fields
        if number > 0:
            return PlacementReply(PlacementResult.PLACED, int(number), str(backend), float(load_factor))
        return PlacementReply(PlacementResult(number))


@dataclass(frozen=True, slots=True)
class ReservationEnd:
    """The end of the attempt that had a reservation.

    `result`: the number of an `AttemptResult`; `latency_ratio`: the attempt's time over the service's typical
    latency.
    """

    reservation: int
    result: int
    latency_ratio: float = 0.0

    def encode(self) -> list[Any]:
        """Return the wire form."""
        return [self.reservation, self.result, self.latency_ratio]

    @staticmethod
    def decode(fields: Any) -> ReservationEnd:
        """Read the wire form."""
        reservation, result, latency_ratio = fields
        return ReservationEnd(int(reservation), int(result), float(latency_ratio))


@dataclass(frozen=True, slots=True)
class LoadReport:
    """How many requests one registry's proxies have in flight at each backend, by the backend's key."""

    registry: str
    in_flight: dict[int, int]

    def encode(self) -> list[Any]:
        """Return the wire form."""
        return [self.registry, self.in_flight]

    @staticmethod
    def decode(fields: Any) -> LoadReport:
        """Read the wire form."""
        return LoadReport(fields[0], fields[1])


# Usage per interval


@dataclass(frozen=True, slots=True)
class IntervalReport:
    """A proxy's report of an interval.

    `position`: on the shared interval clock; `number`: of the interval, below 0 where the proxy has none yet;
    `usages`: what it was asked for; `prefetched`: the permits that it holds unused.
    """

    position: float
    number: int
    usages: Usages
    prefetched: PrefetchReport

    def encode(self) -> list[Any]:
        """Return the wire form."""
        return [self.position, self.number, encode_usages(self.usages), self.prefetched.encode()]

    @staticmethod
    def decode(fields: Any) -> IntervalReport:
        """Read the wire form."""
        position, number, usages, held = fields
        return IntervalReport(
            float(position), int(number), decode_usages(usages), PrefetchReport.decode(held)
        )


@dataclass(frozen=True, slots=True)
class IntervalReply:
    """The answer to an `IntervalReport`.

    `position`: of the registry on the shared interval clock; `proxies`: how many there are; `number`: of the
    newest completed interval; `reserve`: changes of the permits that the proxy holds; `totals`: of that
    interval, for the tenants that were reported.
    """

    position: float
    proxies: int
    number: int
    reserve: PrefetchReply
    totals: Usages = field(default_factory=dict)

    def encode(self) -> list[Any]:
        """Return the wire form."""
        return [self.position, self.proxies, self.number, self.reserve.encode(), encode_usages(self.totals)]

    @staticmethod
    def decode(fields: Any) -> IntervalReply:
        """Read the wire form."""
        position, proxies, number, reserve, totals = fields
        return IntervalReply(
            float(position), int(proxies), int(number), PrefetchReply.decode(reserve), decode_usages(totals)
        )


@dataclass(frozen=True, slots=True)
class IntervalSum:
    """A registry's sum over its proxies in one interval, for the other registries; `proxies`: their keys."""

    registry: str
    position: float
    number: int
    usages: Usages
    proxies: Sequence[int]

    def encode(self) -> list[Any]:
        """Return the wire form."""
        return [self.registry, self.position, self.number, encode_usages(self.usages), list(self.proxies)]

    @staticmethod
    def decode(fields: Any) -> IntervalSum:
        """Read the wire form."""
        registry, position, number, usages, proxies = fields
        return IntervalSum(
            str(registry),
            float(position),
            int(number),
            decode_usages(usages),
            [int(proxy) for proxy in proxies],
        )


# Replication of backends


@dataclass(frozen=True, slots=True)
class IncarnationReport:
    """Incarnations with the ages of their heartbeats: a proxy repeats to a registry what it may have forgotten."""

    observed: Sequence[ObservedIncarnation]

    def encode(self, now: float) -> list[Any]:
        """Return the wire form; `now`: s of the local clock."""
        return [each.encode(now) for each in self.observed]

    @staticmethod
    def decode(fields: Any, now: float) -> IncarnationReport:
        """Read the wire form; `now`: s of the local clock."""
        return IncarnationReport([ObservedIncarnation.decode(each, now) for each in fields])


@dataclass(frozen=True, slots=True)
class BackendUpdate:
    """A registry replicates incarnations to another, and says where it is itself.

    `control`: the address at which it takes heartbeats.
    """

    ip: str
    zone: str
    control: str
    observed: Sequence[ObservedIncarnation]

    def encode(self, now: float) -> list[Any]:
        """Return the wire form; `now`: s of the local clock."""
        return [[each.encode(now) for each in self.observed], [self.ip, self.zone, self.control]]

    @staticmethod
    def decode(fields: Any, now: float) -> BackendUpdate:
        """Read the wire form; `now`: s of the local clock."""
        observed, (ip, zone, control) = fields
        return BackendUpdate(
            str(ip), str(zone), str(control), [ObservedIncarnation.decode(each, now) for each in observed]
        )


@dataclass(frozen=True, slots=True)
class BackendSnapshot:
    """All incarnations that a registry knows, for one that synchronizes.

    `is_complete`: whether it has everything that it, or an earlier process of its machine, has acknowledged.
    """

    is_complete: bool
    observed: Sequence[ObservedIncarnation]

    def encode(self, now: float) -> list[Any]:
        """Return the wire form; `now`: s of the local clock."""
        return [self.is_complete, [each.encode(now) for each in self.observed]]

    @staticmethod
    def decode(fields: Any, now: float) -> BackendSnapshot:
        """Read the wire form; `now`: s of the local clock."""
        is_complete, observed = fields
        return BackendSnapshot(
            bool(is_complete), [ObservedIncarnation.decode(each, now) for each in observed]
        )
