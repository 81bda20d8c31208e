"""What proxies and registries tell each other, and how it is written on the wire."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from irisdeal.permits.messages import PrefetchReply, PrefetchReport
from irisdeal.ratelimit.interval_counter import Usages, decode_usages, encode_usages

IS_REPEAT, IS_COUNTED, IS_LATE = 1, 2, 4  # flags of a `PlaceRequest` on the wire


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """A proxy asks for a place at a backend, and for what the request needs besides.

    `usual_s`: the service's usual time; `avoid`, `connected`: short keys of backends; `rank`: least first;
    `hold_s`: that the ask may wait for room; `left_s`: of the request's time; `tenant`: whose permit is wanted,
    empty for none; `is_repeat`: an attempt beyond the request's first; `is_counted`: another registry was asked
    for the same attempt before; `is_late`: the request's aim is past.
    """

    zone: str
    service: str
    usual_s: float
    avoid: Sequence[int]
    rank: int
    hold_s: float
    left_s: float
    tenant: str = ""
    is_repeat: bool = False
    is_counted: bool = False
    is_late: bool = False
    connected: Sequence[int] = ()

    def encode(self) -> list[Any]:
        """For the wire."""
        flags = IS_REPEAT * self.is_repeat + IS_COUNTED * self.is_counted + IS_LATE * self.is_late
        return [
            self.zone,
            self.service,
            self.usual_s,
            list(self.avoid),
            self.rank,
            self.hold_s,
            self.left_s,
            self.tenant,
            flags,
            list(self.connected),
        ]

    @staticmethod
    def decode(told: Any) -> PlaceRequest:
        """ValueError, TypeError where it is none."""
        zone, service, usual, avoid, rank, hold, left, tenant, flags, connected = told
        return PlaceRequest(
            str(zone),
            str(service),
            float(usual),
            avoid,
            int(rank),
            float(hold),
            float(left),
            str(tenant),
            bool(flags & IS_REPEAT),
            bool(flags & IS_COUNTED),
            bool(flags & IS_LATE),
            connected,
        )


class PlaceResult(IntEnum):
    """What came of an ask for a place."""

    PLACED = 1
    NO_PLACE = 0
    OVER_QUOTA = -1
    OVER_BUDGET = -2  # of repeats
    WAIT = -3  # no room yet: ask again with `wait`
    NOT_ISSUING = -4  # this registry gives no permit of this tenant: ask another
    NO_REGISTRY = -5  # none answered; never on the wire


@dataclass(frozen=True, slots=True)
class PlaceReply:
    """`number`: of the place; `backend`: the life's id; `crowd`: times its work that the request will take."""

    result: PlaceResult
    number: int = 0
    backend: str = ""
    crowd: float = 0.0

    def encode(self) -> list[Any]:
        """For the wire: the number of the place, or the result where there is none."""
        return [
            self.number if self.result is PlaceResult.PLACED else int(self.result),
            self.backend,
            self.crowd,
        ]

    @staticmethod
    def decode(told: Any) -> PlaceReply:
        """ValueError, TypeError where it is none."""
        number, backend, crowd = told
        if number > 0:
            return PlaceReply(PlaceResult.PLACED, int(number), str(backend), float(crowd))
        return PlaceReply(PlaceResult(number))


@dataclass(frozen=True, slots=True)
class PlaceEnd:
    """The end of the attempt that had a place. `how`: of `How`; `ratio`: its time over the usual."""

    number: int
    how: int
    ratio: float = 0.0

    def encode(self) -> list[Any]:
        """For the wire."""
        return [self.number, self.how, self.ratio]

    @staticmethod
    def decode(told: Any) -> PlaceEnd:
        """ValueError, TypeError where it is none."""
        number, how, ratio = told
        return PlaceEnd(int(number), int(how), float(ratio))


@dataclass(frozen=True, slots=True)
class IntervalReport:
    """A proxy's report of an interval: its position on the shared clock, the interval's number (below 0 where
    it has none yet), what it was asked for, and the permits that it holds."""

    position: float
    number: int
    usages: Usages
    held: PrefetchReport

    def encode(self) -> list[Any]:
        """For the wire."""
        return [self.position, self.number, encode_usages(self.usages), self.held.encode()]

    @staticmethod
    def decode(told: Any) -> IntervalReport:
        """ValueError, TypeError where it is none."""
        position, number, usages, held = told
        return IntervalReport(
            float(position), int(number), decode_usages(usages), PrefetchReport.decode(held)
        )


@dataclass(frozen=True, slots=True)
class IntervalReply:
    """What a proxy may read: the registry's position, how many proxies there are, the newest finished total of the
    tenants that it told of, and the permits that it may hold."""

    position: float
    proxies: int
    number: int
    reserve: PrefetchReply
    totals: Usages = field(default_factory=dict)

    def encode(self) -> list[Any]:
        """For the wire."""
        return [self.position, self.proxies, self.number, self.reserve.encode(), encode_usages(self.totals)]

    @staticmethod
    def decode(told: Any) -> IntervalReply:
        """ValueError, TypeError where it is none."""
        position, proxies, number, reserve, totals = told
        return IntervalReply(
            float(position), int(proxies), int(number), PrefetchReply.decode(reserve), decode_usages(totals)
        )


@dataclass(frozen=True, slots=True)
class IntervalSum:
    """A registry's sum of an interval, and who its proxies are."""

    registry: str
    position: float
    number: int
    usages: Usages
    proxies: Sequence[int]

    def encode(self) -> list[Any]:
        """For the wire."""
        return [self.registry, self.position, self.number, encode_usages(self.usages), list(self.proxies)]

    @staticmethod
    def decode(told: Any) -> IntervalSum:
        """ValueError, TypeError where it is none."""
        registry, position, number, usages, proxies = told
        return IntervalSum(
            str(registry),
            float(position),
            int(number),
            decode_usages(usages),
            [int(proxy) for proxy in proxies],
        )


@dataclass(frozen=True, slots=True)
class BackendUpdate:
    """A registry tells another which backends it has heard, and where it is itself.

    `control`: the address at which it takes beats; `incarnations`: each with how many ms ago it was heard.
    """

    ip: str
    zone: str
    control: str
    incarnations: Sequence[tuple[list[Any], int]]

    def encode(self) -> list[Any]:
        """For the wire."""
        return [[list(incarnation) for incarnation in self.incarnations], [self.ip, self.zone, self.control]]

    @staticmethod
    def decode(told: Any) -> BackendUpdate:
        """ValueError, TypeError where it is none."""
        incarnations, (ip, zone, control) = told
        return BackendUpdate(
            str(ip), str(zone), str(control), [(incarnation, int(age)) for incarnation, age in incarnations]
        )


@dataclass(frozen=True, slots=True)
class BackendSnapshot:
    """All that a registry knows of backends, for one that learns.

    `remembers`: whether it has all that it, or an earlier process of its machine, has said it had.
    """

    remembers: bool
    incarnations: Sequence[tuple[list[Any], int]]

    def encode(self) -> list[Any]:
        """For the wire."""
        return [self.remembers, [list(incarnation) for incarnation in self.incarnations]]

    @staticmethod
    def decode(told: Any) -> BackendSnapshot:
        """ValueError, TypeError where it is none."""
        remembers, incarnations = told
        return BackendSnapshot(
            bool(remembers), [(incarnation, int(age)) for incarnation, age in incarnations]
        )
