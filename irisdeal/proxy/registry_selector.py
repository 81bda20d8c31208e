"""Which registries a proxy watches: membership of the core, nearness, and a backoff for those of no use."""

from __future__ import annotations

import asyncio
import random
import zlib

from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.settings import Settings

MIN_BACKOFF_S = (
    2.0  # at least that a registry which was left is not preferred; doubled each time that it is no use
)
MAX_BACKOFF_S = 8.0


def stable_hash(*texts: str) -> int:
    """Return the same number for the same texts on every machine."""
    return zlib.crc32("|".join(texts).encode())


class RegistrySelector:
    """The registries as one proxy knows them, and its order of preference. Times are s on the loop's clock."""

    def __init__(self, settings: Settings, loop: asyncio.AbstractEventLoop, rng: random.Random) -> None:
        """`rng`: spreads the ends of backoffs, so that proxies do not come back as one."""
        self.settings, self.loop, self.rng = settings, loop, rng
        self.using: list[str] = []  # registries that are watched now
        self.zones: dict[str, str] = {}  # machines of the core and their zones: all that is reported
        self.reported_zones: dict[str, dict[str, str]] = {}  # the same by the registry that reported it
        self.avoided: dict[str, tuple[float, float]] = {}  # registry -> end and length of its backoff
        self.known_as_of: dict[str, float] = {}  # registry -> as of when its knowledge was at its last answer

    def candidates(self) -> list[str]:
        """Return all registries that may be watched and are not, the best first.

        Members before seeds, then those not avoided, near, fresh, and at last in an order of our own.
        """
        now = self.loop.time()
        has_near = any(map(self.is_near, self.using))

        def preference(registry: str) -> tuple[bool, float, bool, float, int]:
            """Return the sort key: the least is preferred."""
            # bytes between zones are dear: one of those in use is in ours, where there is one
            is_near = self.is_near(registry) and not has_near
            avoided_until = self.avoided[registry][0] if self.is_avoided(registry, now) else 0.0
            return (
                registry not in self.zones and bool(self.zones),
                avoided_until,
                not is_near,
                -round(self.known_as_of.get(registry, now)),
                stable_hash(self.settings.ip, registry),
            )

        known = {*self.zones, *ports.seeds(self.settings)}
        return sorted((registry for registry in known if registry not in self.using), key=preference)

    def is_near(self, registry: str) -> bool:
        """Return whether this machine is in our zone."""
        return self.zones.get(registry) == self.settings.zone

    def is_avoided(self, registry: str, now: float) -> bool:
        """Return whether it is in its backoff."""
        return self.avoided.get(registry, (0.0, 0.0))[0] > now

    def avoid(self, registry: str) -> None:
        """Do not prefer it for a while, of another length at each proxy."""
        _, before_s = self.avoided.get(registry, (0.0, 0.0))
        backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * before_s))
        self.avoided[registry] = self.loop.time() + backoff_s * (1 + self.rng.random()), backoff_s

    def _alternatives(self) -> list[str]:
        now = self.loop.time()
        return [other for other in self.candidates() if not self.is_avoided(other, now)]

    def has_alternative(self) -> bool:
        """Return whether there is another registry that is not avoided."""
        return bool(self._alternatives())

    def is_nearer_available(self, registry: str) -> bool:
        """Return whether to leave it for one in our zone: only the first in use does, where none in use is near."""
        alternatives = self._alternatives()
        if registry != self.using[0] or any(map(self.is_near, self.using)):
            return False
        return any(map(self.is_near, alternatives))

    def update_zones(self, registry: str, zones: dict[str, str], is_good: bool) -> set[str]:
        """Take in a report of the core's machines; return those that have left.

        Reports of registries in contact are joined; without any, what was known stays, and new ones come to it.
        """
        if is_good:
            self.reported_zones = {
                other: reported for other, reported in self.reported_zones.items() if other in self.using
            }
            self.reported_zones[registry] = dict(zones)
        joined: dict[str, str] = {}
        for reported in self.reported_zones.values():
            joined.update(reported)
        if not self.reported_zones:
            joined = {**self.zones, **zones}
        departed = set(self.zones.keys() - joined.keys())
        self.zones = joined
        if departed:
            log_event(Event.SOURCES_CHANGED, left=",".join(sorted(departed)), sources=len(joined))
        for other in departed:
            self.avoided.pop(other, None)
            self.known_as_of.pop(other, None)
            self.reported_zones.pop(other, None)
        return departed
