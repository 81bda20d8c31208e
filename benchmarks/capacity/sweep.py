"""The bench's sweep taken apart by the laws: what each kind of message is of a core machine's bytes. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.capacity.laws import near
from benchmarks.capacity.size import BEAT, NEWS_OF_RESTART, Size

RELEASED = 0.45  # of all backends, restarted in a day of the bench
WHOLE_DAY = 42.0  # s: 12 before the day and 30 of it


@dataclass(frozen=True, slots=True)
class Played:
    """A day of the sweep: its shape, s that it ran, whether backends were released, kB/s of a core machine."""

    own: int
    size: Size
    seconds: float
    is_released: bool
    measured: float


def shape(own: int, servers: int) -> Size:
    """Four core machines at every size, as their connections tell; tenants and requests as the deployment has."""
    return Size(own - 4, servers, 4, 3, 8, round(84 * own / 89), 4, 5.0 * (own - 4), 3)


DAYS = (  # fleetbench sweep, `sweep.txt`; the day of 300 was given up at 11.5 s, before any release
    Played(30, shape(30, 299), WHOLE_DAY, True, 145.0),
    Played(100, shape(100, 999), WHOLE_DAY, True, 620.0),
    Played(300, shape(301, 2_999), 11.5, False, 5_190.0),
)


def kinds(
    day: Played,
    laws: Callable[[str], Callable[[Size], float]],
    news: float,
    place: float,
    heartbeat: float,
) -> dict[str, float]:
    """kB/s by kind. `news`, `place`, `heartbeat`: B of a news of a life at a door, of a place, of a beat."""
    size = day.size
    released = RELEASED * size.backends * NEWS_OF_RESTART * news * near(size) / day.seconds
    told = {
        "whole lives as doors start": laws("all that is told when doors start")(size) / day.seconds,
        "news of released lives": released if day.is_released else 0.0,
        "sums": laws("sums of tenants and doors")(size),
        "beats told on": laws("lives told on (beats)")(size),
        "beats themselves": size.backends / size.registries / BEAT * heartbeat,
        "words of doors": laws("doors' words (count)")(size),
        "quiet asks for news": laws("quiet asks for news")(size),
        "places": size.each * near(size) * place,
    }
    return {kind: bytes_ / 1000 for kind, bytes_ in told.items()}
