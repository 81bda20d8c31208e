"""Splits the traffic of the bench's sweep by the cost models into kinds of messages. Does no input or output."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.capacity.laws import proxies_per_registry
from benchmarks.capacity.size import HEARTBEAT_INTERVAL_S, UPDATES_PER_RESTART, Size

RELEASED_RATIO = 0.45  # of all backends, restarted in one day of the bench
DAY_DURATION_S = 42.0  # 12 before the day and 30 of it


@dataclass(frozen=True, slots=True)
class SweepDay:
    """A day of the sweep: its size, duration in s, whether backends were released, and kB/s of a core machine."""

    own: int
    size: Size
    seconds: float
    is_released: bool
    measured: float


def deployment_size(own: int, servers: int) -> Size:
    """Four core machines at every size, as their connections show; tenants and requests as in the deployment."""
    return Size(own - 4, servers, 4, 3, 8, round(84 * own / 89), 4, 5.0 * (own - 4), 3)


DAYS = (  # fleetbench sweep, `sweep.txt`; the day of 300 was aborted at 11.5 s, before any release
    SweepDay(30, deployment_size(30, 299), DAY_DURATION_S, True, 145.0),
    SweepDay(100, deployment_size(100, 999), DAY_DURATION_S, True, 620.0),
    SweepDay(300, deployment_size(301, 2_999), 11.5, False, 5_190.0),
)


def bytes_by_kind(
    day: SweepDay,
    models: Callable[[str], Callable[[Size], float]],
    update_bytes: float,
    placement_bytes: float,
    heartbeat_bytes: float,
) -> dict[str, float]:
    """kB/s by kind of message, given the bytes of an incarnation update at a proxy, a placement and a heartbeat."""
    size = day.size
    released = (
        RELEASED_RATIO
        * size.backends
        * UPDATES_PER_RESTART
        * update_bytes
        * proxies_per_registry(size)
        / day.seconds
    )
    by_kind = {
        "whole lives as doors start": models("all that is told when doors start")(size) / day.seconds,
        "news of released lives": released if day.is_released else 0.0,
        "sums": models("sums of tenants and doors")(size),
        "beats told on": models("lives told on (beats)")(size),
        "beats themselves": size.backends / size.registries / HEARTBEAT_INTERVAL_S * heartbeat_bytes,
        "words of doors": models("doors' words (count)")(size),
        "quiet asks for news": models("quiet asks for news")(size),
        "places": size.requests_per_proxy * proxies_per_registry(size) * placement_bytes,
    }
    return {kind: bytes_ / 1000 for kind, bytes_ in by_kind.items()}
