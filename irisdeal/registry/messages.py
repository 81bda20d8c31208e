"""Messages of the calls that a registry answers, with their encoding on the wire.

The kinds of calls and the order of fields are fixed, because processes of adjacent versions run side by side during
a rolling upgrade. A new field is appended, one release after `decode` accepts lists with and without it; a new flag
needs no such release. Each `decode` raises ValueError or TypeError if the body does not have the message's form.
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

# Bits of the flags of a `PlacementRequest` on the wire
IS_REPEAT_FLAG = 1
IS_COUNTED_FLAG = 2
IS_LATE_FLAG = 4

NO_CONTACT_AGE_MS = -1  # sent as the age of a registry's state when it has no contact with a store
OLDER_CHANGE = -1  # sent as the change number with a chunk of a version that is not the newest


# Watching backends and configuration


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """A proxy's long poll for changes of the configuration and the backends.

    `sync_state`: the configuration that the proxy has; `registry_incarnation`: the registry process that answered
    last, 0 for none; `table_version`: version of that process's backend table in that answer; `change`: the newest
    store change that the proxy has completely.
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
        """Parse the wire form."""
        sync_state, registry_incarnation, table_version, change = fields
        return WatchRequest(SyncState.decode(sync_state), registry_incarnation, table_version, change)


@dataclass(frozen=True, slots=True)
class WatchReply:
    """The changes since a `WatchRequest`.

    `chunk`: an encoded chunk of a newer configuration, checked by `ChunkAssembler.take`, or None;
    `registry_incarnation`: the process that answers; `table_version`: version of its backend table; `backends`:
    the changed ones; `zones`: the zone of each core machine by IP; `age_ms`: age of the registry's state when the
    request was received, or `NO_CONTACT_AGE_MS`; `change`: the newest change that the registry has completely, or
    `OLDER_CHANGE` if the chunk belongs to an older version whose transfer had already started.
    """

    chunk: list[object] | None
    registry_incarnation: int
    table_version: int
    backends: Sequence[IncarnationStatus]
    zones: dict[str, str]
    age_ms: int
    change: int

    def encode(self, now: float) -> list[Any]:
        """Return the wire form; `now`: s on the local clock."""
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
        """Parse the wire form; `now`: s on the local clock."""
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
    """A proxy's request for a backend for one attempt, with the permit and the retry that the attempt needs.

    `typical_latency_s`: typical latency of the service; `avoid`: keys of backends not to use; `connected`: keys of
    backends to which the proxy has an idle connection; `rank`: place in the queue, lowest first; `max_wait_s`: how
    long the request may wait for capacity; `time_left_s`: time until its deadline; `tenant`: the tenant to charge a
    permit, empty for none; `is_repeat`: not the request's first attempt; `is_counted`: another registry was called
    for the same attempt before; `is_late`: the latency target is already missed.
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
        flags = (
            IS_REPEAT_FLAG * self.is_repeat + IS_COUNTED_FLAG * self.is_counted + IS_LATE_FLAG * self.is_late
        )
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
        """Parse the wire form."""
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
            bool(flags & IS_REPEAT_FLAG),
            bool(flags & IS_COUNTED_FLAG),
            bool(flags & IS_LATE_FLAG),
            connected,
        )


class PlacementResult(IntEnum):
    """The result of a `PlacementRequest`. The numbers are sent on the wire, except that of `PLACED`."""

    PLACED = 1
    NO_BACKEND = 0
    OVER_QUOTA = -1
    OVER_BUDGET = -2  # the retry budget is exhausted
    WAIT = -3  # no capacity yet: to be repeated as a `wait` call
    NOT_ISSUING = -4  # this registry issues no permits for the tenant: another one is to be called
    NO_REGISTRY = -5  # no registry answered; never sent on the wire


@dataclass(frozen=True, slots=True)
class PlacementReply:
    """The answer to a `PlacementRequest`; if the result is `PLACED`, a slot of a backend is reserved.

    `reservation`: number of the reservation, above 0; `backend`: id of the backend's incarnation; `load_factor`:
    factor by which the load of the backend increases the latency of the attempt.
    """

    result: PlacementResult
    reservation: int = 0
    backend: str = ""
    load_factor: float = 0.0

    def encode(self) -> list[Any]:
        """Return the wire form: the reservation's number, or the result if nothing is reserved."""
        return [
            self.reservation if self.result is PlacementResult.PLACED else int(self.result),
            self.backend,
            self.load_factor,
        ]

    @staticmethod
    def decode(fields: Any) -> PlacementReply:
        """Parse the wire form."""
        number, backend, load_factor = fields
        if number > 0:
            return PlacementReply(PlacementResult.PLACED, int(number), str(backend), float(load_factor))
        return PlacementReply(PlacementResult(number))


@dataclass(frozen=True, slots=True)
class ReservationEnd:
    """The end of an attempt with a reservation.

    `result`: number of an `AttemptResult`; `latency_ratio`: latency of the attempt divided by the service's typical
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
        """Parse the wire form."""
        reservation, result, latency_ratio = fields
        return ReservationEnd(int(reservation), int(result), float(latency_ratio))


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The number of requests that one registry's proxies have in flight at each backend, by the backend's key."""

    registry: str
    in_flight: dict[int, int]

    def encode(self) -> list[Any]:
        """Return the wire form."""
        return [self.registry, self.in_flight]

    @staticmethod
    def decode(fields: Any) -> LoadReport:
        """Parse the wire form."""
        return LoadReport(fields[0], fields[1])


# Usage per interval


@dataclass(frozen=True, slots=True)
class IntervalReport:
    """A proxy's report of an interval.

    `position`: of the proxy on the shared interval clock; `number`: of the interval, negative if the proxy has none
    yet; `usages`: the requests that it received, by tenant; `prefetched`: its unused permits.
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
        """Parse the wire form."""
        position, number, usages, prefetched = fields
        return IntervalReport(
            float(position), int(number), decode_usages(usages), PrefetchReport.decode(prefetched)
        )


@dataclass(frozen=True, slots=True)
class IntervalReply:
    """The answer to an `IntervalReport`.

    `position`: of the registry on the shared interval clock; `proxies`: number of proxies; `number`: of the newest
    completed interval; `reserve`: changes to the proxy's prefetched permits; `totals`: usage in that interval of
    the tenants in the report.
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
        """Parse the wire form."""
        position, proxies, number, reserve, totals = fields
        return IntervalReply(
            float(position), int(proxies), int(number), PrefetchReply.decode(reserve), decode_usages(totals)
        )


@dataclass(frozen=True, slots=True)
class IntervalSum:
    """A registry's sum over its proxies in one interval, for other registries; `proxies`: keys of those proxies."""

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
        """Parse the wire form."""
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
    """Incarnations and the ages of their heartbeats, sent by a proxy to a registry that may have lost them."""

    observed: Sequence[ObservedIncarnation]

    def encode(self, now: float) -> list[Any]:
        """Return the wire form; `now`: s on the local clock."""
        return [each.encode(now) for each in self.observed]

    @staticmethod
    def decode(fields: Any, now: float) -> IncarnationReport:
        """Parse the wire form; `now`: s on the local clock."""
        return IncarnationReport([ObservedIncarnation.decode(each, now) for each in fields])


@dataclass(frozen=True, slots=True)
class BackendUpdate:
    """Incarnations that a registry replicates to another, with its own addresses.

    `control`: the address at which the sender receives heartbeats.
    """

    ip: str
    zone: str
    control: str
    observed: Sequence[ObservedIncarnation]

    def encode(self, now: float) -> list[Any]:
        """Return the wire form; `now`: s on the local clock."""
        return [[each.encode(now) for each in self.observed], [self.ip, self.zone, self.control]]

    @staticmethod
    def decode(fields: Any, now: float) -> BackendUpdate:
        """Parse the wire form; `now`: s on the local clock."""
        observed, (ip, zone, control) = fields
        return BackendUpdate(
            str(ip), str(zone), str(control), [ObservedIncarnation.decode(each, now) for each in observed]
        )


@dataclass(frozen=True, slots=True)
class BackendSnapshot:
    """All incarnations in a registry's table, for a registry that synchronizes.

    `is_complete`: whether the table has everything that this or an earlier process of its machine acknowledged.
    """

    is_complete: bool
    observed: Sequence[ObservedIncarnation]

    def encode(self, now: float) -> list[Any]:
        """Return the wire form; `now`: s on the local clock."""
        return [self.is_complete, [each.encode(now) for each in self.observed]]

    @staticmethod
    def decode(fields: Any, now: float) -> BackendSnapshot:
        """Parse the wire form; `now`: s on the local clock."""
        is_complete, observed = fields
        return BackendSnapshot(
            bool(is_complete), [ObservedIncarnation.decode(each, now) for each in observed]
        )
