"""The target size of the design, and smaller sizes in proportion. Does no input or output."""

from __future__ import annotations

from dataclasses import dataclass

HEARTBEAT_INTERVAL_S = 1.5  # of a backend, as the deployments set it
DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class Size:
    """Counts of one deployment."""

    doors: int
    backends: int
    registries: int  # core machines, each with one registry and one store
    services: int
    routes: int
    tenants: int
    zones: int
    requests: float  # per second at the peak, over all proxies
    active: int  # tenants with requests at one proxy within half a second

    @property
    def requests_per_proxy(self) -> float:
        """Requests per second at one proxy."""
        return self.requests / self.doors


TARGET_SIZE = Size(
    1_500, 21_000, 23, 650, 19_000, 55_000, 10, 130_000.0, 40
)  # expected by the users in two years
REGION_COUNT = 4
CHANGES_PER_DAY = 760  # of the configuration
MAX_APPLY_S = 8.0  # until a configuration change is in force everywhere
MAX_ADDED_LATENCY_MS = 2.6  # added to a request, 99th percentile
MAX_PROXY_CORES = 0.043  # of one proxy, for control traffic
MAX_PROXY_MB = 256.0
MAX_PROXY_BYTES_PER_S = 2_000.0  # of one proxy, for control traffic
FAILURES_PER_DAY = 28  # machines
RESTARTS_PER_DAY = 3_000  # machines
MIN_REGISTRIES = 3  # two are still a majority after the loss of one
UPDATES_PER_RESTART = 3  # of incarnations: draining, gone, a new incarnation
DEFAULT_ACTIVE_TENANTS = (
    4  # at a simulated proxy: with 40, the sums of 100 proxies use a registry's whole core
)


def scaled_size(doors: int, registries: int | None = None, active: int = DEFAULT_ACTIVE_TENANTS) -> Size:
    """A deployment with this many proxies in proportion to the target size, except for the active tenants."""
    share = doors / TARGET_SIZE.doors
    return Size(
        doors,
        round(TARGET_SIZE.backends * share),
        registries if registries is not None else max(MIN_REGISTRIES, round(TARGET_SIZE.registries * share)),
        max(1, round(TARGET_SIZE.services * share)),
        max(1, round(TARGET_SIZE.routes * share)),
        max(1, round(TARGET_SIZE.tenants * share)),
        min(TARGET_SIZE.zones, max(3, round(doors / 30))),
        TARGET_SIZE.requests * share,
        active,
    )
