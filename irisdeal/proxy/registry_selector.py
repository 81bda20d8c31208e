"""Selects the registries that a proxy watches, by membership of the core, zone, age of their state, and backoff."""

from __future__ import annotations

import asyncio
import random
import zlib

from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.settings import Settings

MIN_BACKOFF_S = 2.0  # of a registry that failed or has no contact; doubled with each further failure
MAX_BACKOFF_S = 8.0


def stable_hash(*texts: str) -> int:
    """Return a hash of the texts that is the same on every machine."""
    return zlib.crc32("|".join(texts).encode())


class RegistrySelector:
    """One proxy's view of the registries, and its order of preference. Times are in s on the loop's clock."""

    def __init__(self, settings: Settings, loop: asyncio.AbstractEventLoop, rng: random.Random) -> None:
        """`rng`: randomizes the backoffs, so that proxies do not all return to a registry at once."""
        self.settings, self.loop, self.rng = settings, loop, rng
        self.watched: list[str] = []  # registries that are watched now
        self.zones: dict[str, str] = {}  # machine of the core -> zone, merged from all reports
        self.reported_zones: dict[str, dict[str, str]] = {}  # the same by reporting registry
        self.avoided: dict[str, tuple[float, float]] = {}  # registry -> end and length of its backoff
        self.known_as_of: dict[str, float] = {}  # registry -> time as of which its last reply was current

    def candidates(self) -> list[str]:
        """Return the registries that are not watched yet, in order of preference.

        Members before seeds, then by end of backoff, same zone, age of their state, and an order specific to
        the proxy.
        """
        now = self.loop.time()
        has_near = any(map(self.is_near, self.watched))

        def preference(registry: str) -> tuple[bool, float, bool, float, int]:
            """Return the sort key: the lowest is preferred."""
            # One watched registry in the same zone is preferred, as cross-zone traffic is expensive.
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
        return sorted((registry for registry in known if registry not in self.watched), key=preference)

    def is_near(self, registry: str) -> bool:
        """Return whether this machine is in the proxy's zone."""
        return self.zones.get(registry) == self.settings.zone

    def is_avoided(self, registry: str, now: float) -> bool:
        """Return whether the registry is in its backoff."""
        return self.avoided.get(registry, (0.0, 0.0))[0] > now

    def avoid(self, registry: str) -> None:
        """Start a backoff of the registry, with exponentially increasing and randomized length."""
        _, previous_s = self.avoided.get(registry, (0.0, 0.0))
        backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * previous_s))
        self.avoided[registry] = self.loop.time() + backoff_s * (1 + self.rng.random()), backoff_s

    def _alternatives(self) -> list[str]:
        now = self.loop.time()
        return [other for other in self.candidates() if not self.is_avoided(other, now)]

    def has_alternative(self) -> bool:
        """Return whether there is another registry that is not in its backoff."""
        return bool(self._alternatives())

    def is_nearer_available(self, registry: str) -> bool:
        """Return whether to replace it by one in the proxy's zone.

        Only the first watched registry is replaced, and only if no watched one is in the zone.
        """
        alternatives = self._alternatives()
        if registry != self.watched[0] or any(map(self.is_near, self.watched)):
            return False
        return any(map(self.is_near, alternatives))

    def update_zones(self, registry: str, zones: dict[str, str], has_contact: bool) -> set[str]:
        """Apply a report of the core's machines; return those that have left.

        The reports of registries with contact are merged; without any, reported machines are only added.
        """
        if has_contact:
            self.reported_zones = {
                other: reported for other, reported in self.reported_zones.items() if other in self.watched
            }
            self.reported_zones[registry] = dict(zones)
        merged: dict[str, str] = {}
        for reported in self.reported_zones.values():
            merged.update(reported)
        if not self.reported_zones:
            merged = {**self.zones, **zones}
        departed = set(self.zones.keys() - merged.keys())
        self.zones = merged
        if departed:
            log_event(Event.SOURCES_CHANGED, left=",".join(sorted(departed)), sources=len(merged))
        for other in departed:
            self.avoided.pop(other, None)
            self.known_as_of.pop(other, None)
            self.reported_zones.pop(other, None)
        return departed
