"""Cost of losses and restarts for the core, and the limits of the current mechanisms, by the cost models."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from benchmarks.capacity.laws import LINK_BYTES_PER_S, configuration_mb, proxies_per_registry
from benchmarks.capacity.size import (
    HEARTBEAT_INTERVAL_S,
    MAX_APPLY_S,
    MAX_PROXY_BYTES_PER_S,
    REGION_COUNT,
    TARGET_SIZE,
    Size,
    scaled_size,
)

# Values of the version that the stored runs measured; measure again when the program changes them.
MAX_WATCH_S = 1.0  # for a watch of the store
PROXY_REPORT_KEPT_S = 20.0  # for the report of a silent proxy
REMOVAL_AFTER_S = 60.0  # of a silent incarnation
MAX_INCARNATIONS = 20_000
SILENT_INTERVALS = 2.7  # heartbeat intervals until an incarnation is silent
CHECK_INTERVAL_S = 0.25  # between two checks for silent incarnations
UPDATE_TIMEOUT_S = 1.5  # for a request for updates
SOURCE_BACKOFF_S = 3.0  # without requests to a silent registry
SOURCES_PER_PROXY = 2  # registries that a proxy watches

RACKS_PER_ZONE = 15  # ten proxies and 140 backends each
# Until a lost incarnation is known to be silent.
SILENCE_DETECTION_S = SILENT_INTERVALS * HEARTBEAT_INTERVAL_S + CHECK_INTERVAL_S
MAX_PROXY_COUNT = 20_000  # upper end of the search for a limit


def update_cost(
    size: Size, incarnations: float, update_bytes: float, update_cpu_s: float
) -> tuple[float, float, float]:
    """Cost when many incarnations change at once: bytes at one proxy, and bytes and CPU time in s of one registry.

    `update_bytes`: of one update at one proxy; `update_cpu_s`: CPU time of a registry for one update to one proxy.
    """
    return (
        incarnations * update_bytes,
        incarnations * update_bytes * proxies_per_registry(size),
        incarnations * update_cpu_s * proxies_per_registry(size),
    )


def loss_rows(
    update_bytes: float,
    update_cpu_s: float,
    start_cpu_s: Callable[[Size], float],
    bytes_: Callable[[Size], float],
) -> list[tuple[str, str, str, str, str, str]]:
    """`start_cpu_s`, `bytes_`: CPU time and bytes of a registry when all its proxies start."""
    rows = []
    zone = TARGET_SIZE.backends / TARGET_SIZE.zones
    for name, incarnations, seconds, note in (
        ("one backend fails", 1.0, SILENCE_DETECTION_S, "silent, then gone after 60 s"),
        (
            "one rack or switch",
            zone / RACKS_PER_ZONE,
            SILENCE_DETECTION_S,
            f"its doors' words stand for {PROXY_REPORT_KEPT_S:g} s",
        ),
        (
            "one zone",
            zone,
            SILENCE_DETECTION_S,
            "two or three registries go with it: their doors move to others",
        ),
        (
            "one region",
            TARGET_SIZE.backends / REGION_COUNT,
            SILENCE_DETECTION_S,
            "a quarter of the core goes; a quorum stands",
        ),
    ):
        door, out, busy = update_cost(TARGET_SIZE, incarnations, update_bytes, update_cpu_s)
        rows.append(
            (
                name,
                f"{seconds + busy:,.1f}",
                f"{incarnations * SOURCES_PER_PROXY:,.0f}",
                f"{door:,.0f}",
                f"{out / 1e6:,.2f}",
                f"{busy:,.2f}; {note}",
            )
        )
    incarnations = TARGET_SIZE.backends / REGION_COUNT
    door, out, busy = update_cost(TARGET_SIZE, 2 * incarnations, update_bytes, update_cpu_s)
    rows.append(
        (
            "a region cut off for an hour",
            f"{SILENCE_DETECTION_S + REMOVAL_AFTER_S:,.0f}",
            f"{2 * incarnations * SOURCES_PER_PROXY:,.0f}",
            f"{door:,.0f}",
            f"{out / 1e6:,.2f}",
            f"{busy:,.2f}; silent, then gone after {REMOVAL_AFTER_S:g} s, on both sides; heard anew on return",
        )
    )
    moving = replace(
        TARGET_SIZE, registries=TARGET_SIZE.registries - 1, doors=TARGET_SIZE.doors // TARGET_SIZE.registries
    )
    rows.append(
        (
            "one registry fails or restarts",
            f"{UPDATE_TIMEOUT_S + 0.1:,.1f}",
            f"{SOURCES_PER_PROXY * proxies_per_registry(TARGET_SIZE):,.0f}",
            "-",
            f"{bytes_(moving) / 1e6:,.0f}",
            f"{start_cpu_s(moving):,.1f}; its {proxies_per_registry(TARGET_SIZE):.0f} doors go elsewhere, "
            f"left for {SOURCE_BACKOFF_S:g} s",
        )
    )
    rows.append(
        (
            "all doors restart",
            f"{start_cpu_s(TARGET_SIZE):,.0f}",
            f"{SOURCES_PER_PROXY * TARGET_SIZE.doors:,.0f}",
            f"{bytes_(TARGET_SIZE) / proxies_per_registry(TARGET_SIZE):,.0f}",
            f"{bytes_(TARGET_SIZE) / 1e6:,.0f}",
            f"{start_cpu_s(TARGET_SIZE):,.0f}; at once it does not end: see below",
        )
    )
    return rows


def first_breaking_count(breaks: Callable[[Size], bool]) -> int:
    """The smallest number of proxies, in proportion, at which it breaks; `MAX_PROXY_COUNT` if it does not."""
    low, high = 1, MAX_PROXY_COUNT
    while low < high:
        middle = (low + high) // 2
        if breaks(replace(scaled_size(middle), active=TARGET_SIZE.active)):
            high = middle
        else:
            low = middle + 1
    return low


def breaks_rows(
    placement_bytes: float,
    report_bytes_per_s: float,
    sums: Callable[[Size], float],
    update_cpu_s: Callable[[Size], float],
    start_cpu_s: Callable[[Size], float],
    read_s_per_mb: float,
) -> list[tuple[str, str, str, int]]:
    """Each mechanism, its limit, its successor and the number of proxies at which it breaks, in ascending order.

    `placement_bytes`: of one placement; `report_bytes_per_s`: of a proxy's reports; `sums`, `update_cpu_s`: traffic
    and CPU time of one registry; `start_cpu_s`: when all proxies start; `read_s_per_mb`: of a registry for a
    configuration.
    """
    bytes_per_s_per_mb = SOURCES_PER_PROXY / 86_400 * 1e6
    rows = [
        (
            "a whole word to each door at each change",
            f"{MAX_PROXY_BYTES_PER_S:,.0f} B/s at a door",
            "differences (Control 1)",
            first_breaking_count(
                lambda s: (
                    760 * s.doors / TARGET_SIZE.doors * configuration_mb(s) * bytes_per_s_per_mb
                    > MAX_PROXY_BYTES_PER_S
                )
            ),
        ),
        (
            "a registry reads a whole configuration in its loop",
            f"{UPDATE_TIMEOUT_S} s: doors leave a silent source",
            "differences, read apart in parts (Control 1)",
            first_breaking_count(lambda s: read_s_per_mb * configuration_mb(s) > UPDATE_TIMEOUT_S),
        ),
        (
            "a configuration in force everywhere",
            f"{MAX_APPLY_S:g} s",
            "differences (Control 1)",
            first_breaking_count(
                lambda s: 2 * read_s_per_mb * configuration_mb(s) + MAX_WATCH_S > MAX_APPLY_S
            ),
        ),
        (
            "all doors start at once",
            f"{UPDATE_TIMEOUT_S} s: what is not answered by then is asked again",
            "none yet: admission",
            first_breaking_count(lambda s: start_cpu_s(s) > UPDATE_TIMEOUT_S),
        ),
        (
            "a place asked for each request",
            f"{MAX_PROXY_BYTES_PER_S:,.0f} B/s at a door",
            "none yet: by pace told, asked where a service is tight",
            first_breaking_count(lambda s: placement_bytes * s.requests_per_proxy > MAX_PROXY_BYTES_PER_S),
        ),
        (
            "a door's word of all its tenants",
            f"{MAX_PROXY_BYTES_PER_S:,.0f} B/s at a door",
            "none yet: words of what moved",
            first_breaking_count(lambda s: report_bytes_per_s > MAX_PROXY_BYTES_PER_S),
        ),
        (
            "each registry's sums to each other",
            f"{LINK_BYTES_PER_S / 1e6:g} MB/s",
            "none yet: a home registry for each tenant",
            first_breaking_count(lambda s: sums(s) > LINK_BYTES_PER_S),
        ),
        (
            "one process's core at a registry",
            "1 core",
            "none yet: the same",
            first_breaking_count(lambda s: update_cpu_s(s) > 1.0),
        ),
        (
            "lives that are remembered",
            f"{MAX_INCARNATIONS:,}",
            "none yet: by the size of the settings",
            first_breaking_count(lambda s: s.backends > MAX_INCARNATIONS),
        ),
    ]
    return sorted(rows, key=lambda row: row[3])
