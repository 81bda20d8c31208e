"""What losses and restarts cost the core, and where each of today's mechanisms breaks: worked out from the laws."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from benchmarks.capacity.laws import LINK, configured, near
from benchmarks.capacity.size import APPLY, BEAT, DOOR_BYTES, REGIONS, WHOLE, Size, part

# As the program has them whose runs are kept: one that changes them is to be measured anew.
WATCH = 1.0  # s that a watch of the store may be held
DOOR_KEPT = 20.0  # s that a silent door's word stands
LOST, MOST_LIVES, SILENT_BEATS = 60.0, 20_000, 2.7  # s until a silent life is gone; lives; beats
LOOK = 0.25  # s between two looks at who is silent
ASK, LEFT, SOURCES = 1.5, 3.0, 2  # s for news; s that a silent source is left; sources of a door

RACKS = 15  # of a zone: ten doors and 140 backends each
SILENCE = SILENT_BEATS * BEAT + LOOK  # s until a life that is gone is known as silent
MOST_DOORS = 20_000  # beyond which a break is not looked for


def news(size: Size, incarnations: float, one: float, cpu: float) -> tuple[float, float, float]:
    """Bytes at one door, bytes out of one registry, its processor s: so many lives change at once.

    `one`: bytes that one news of a life costs a door; `cpu`: s of a registry for one life told to one door.
    """
    return incarnations * one, incarnations * one * near(size), incarnations * cpu * near(size)


def loss_rows(
    one: float,
    cpu: float,
    start: Callable[[Size], float],
    bytes_: Callable[[Size], float],
) -> list[tuple[str, str, str, str, str, str]]:
    """`start`, `bytes_`: a registry's processor s and bytes when all its doors start."""
    rows = []
    zone = WHOLE.backends / WHOLE.zones
    for name, incarnations, seconds, note in (
        ("one backend fails", 1.0, SILENCE, "silent, then gone after 60 s"),
        ("one rack or switch", zone / RACKS, SILENCE, f"its doors' words stand for {DOOR_KEPT:g} s"),
        ("one zone", zone, SILENCE, "two or three registries go with it: their doors move to others"),
        ("one region", WHOLE.backends / REGIONS, SILENCE, "a quarter of the core goes; a quorum stands"),
    ):
        door, out, busy = news(WHOLE, incarnations, one, cpu)
        rows.append(
            (
                name,
                f"{seconds + busy:,.1f}",
                f"{incarnations * SOURCES:,.0f}",
                f"{door:,.0f}",
                f"{out / 1e6:,.2f}",
                f"{busy:,.2f}; {note}",
            )
        )
    incarnations = WHOLE.backends / REGIONS
    door, out, busy = news(WHOLE, 2 * incarnations, one, cpu)
    rows.append(
        (
            "a region cut off for an hour",
            f"{SILENCE + LOST:,.0f}",
            f"{2 * incarnations * SOURCES:,.0f}",
            f"{door:,.0f}",
            f"{out / 1e6:,.2f}",
            f"{busy:,.2f}; silent, then gone after {LOST:g} s, on both sides; heard anew on return",
        )
    )
    moving = replace(WHOLE, registries=WHOLE.registries - 1, doors=WHOLE.doors // WHOLE.registries)
    rows.append(
        (
            "one registry fails or restarts",
            f"{ASK + 0.1:,.1f}",
            f"{SOURCES * near(WHOLE):,.0f}",
            "-",
            f"{bytes_(moving) / 1e6:,.0f}",
            f"{start(moving):,.1f}; its {near(WHOLE):.0f} doors go elsewhere, left for {LEFT:g} s",
        )
    )
    rows.append(
        (
            "all doors restart",
            f"{start(WHOLE):,.0f}",
            f"{SOURCES * WHOLE.doors:,.0f}",
            f"{bytes_(WHOLE) / near(WHOLE):,.0f}",
            f"{bytes_(WHOLE) / 1e6:,.0f}",
            f"{start(WHOLE):,.0f}; at once it does not end: see below",
        )
    )
    return rows


def breaks_at(breaks: Callable[[Size], bool]) -> int:
    """The fewest doors, in the shape of the whole, at which it breaks; `MOST_DOORS` where it does not."""
    low, high = 1, MOST_DOORS
    while low < high:
        middle = (low + high) // 2
        if breaks(replace(part(middle), active=WHOLE.active)):
            high = middle
        else:
            low = middle + 1
    return low


def breaks_rows(
    place: float,
    version: float,
    sums: Callable[[Size], float],
    cpu: Callable[[Size], float],
    start: Callable[[Size], float],
    read: float,
) -> list[tuple[str, str, str, int]]:
    """Each mechanism, its limit, what carries it on, and at how many doors it breaks, the first first.

    `place`: bytes of an ask; `version`: B/s of a door's word; `sums`, `cpu`: of one registry; `start`: s when all
    doors start; `read`: s of a registry for one MB of configuration.
    """
    whole_word = SOURCES / 86_400 * 1e6
    rows = [
        (
            "a whole word to each door at each change",
            f"{DOOR_BYTES:,.0f} B/s at a door",
            "differences (Control 1)",
            breaks_at(lambda s: 760 * s.doors / WHOLE.doors * configured(s) * whole_word > DOOR_BYTES),
        ),
        (
            "a registry reads a whole configuration in its loop",
            f"{ASK} s: doors leave a silent source",
            "differences, read apart in parts (Control 1)",
            breaks_at(lambda s: read * configured(s) > ASK),
        ),
        (
            "a configuration in force everywhere",
            f"{APPLY:g} s",
            "differences (Control 1)",
            breaks_at(lambda s: 2 * read * configured(s) + WATCH > APPLY),
        ),
        (
            "all doors start at once",
            f"{ASK} s: what is not answered by then is asked again",
            "none yet: admission",
            breaks_at(lambda s: start(s) > ASK),
        ),
        (
            "a place asked for each request",
            f"{DOOR_BYTES:,.0f} B/s at a door",
            "none yet: by pace told, asked where a service is tight",
            breaks_at(lambda s: place * s.each > DOOR_BYTES),
        ),
        (
            "a door's word of all its tenants",
            f"{DOOR_BYTES:,.0f} B/s at a door",
            "none yet: words of what moved",
            breaks_at(lambda s: version > DOOR_BYTES),
        ),
        (
            "each registry's sums to each other",
            f"{LINK / 1e6:g} MB/s",
            "none yet: a home registry for each tenant",
            breaks_at(lambda s: sums(s) > LINK),
        ),
        (
            "one process's core at a registry",
            "1 core",
            "none yet: the same",
            breaks_at(lambda s: cpu(s) > 1.0),
        ),
        (
            "lives that are remembered",
            f"{MOST_LIVES:,}",
            "none yet: by the size of the settings",
            breaks_at(lambda s: s.backends > MOST_LIVES),
        ),
    ]
    return sorted(rows, key=lambda row: row[3])
