"""What a list of members must withstand, and so how many members it has. No input or output here."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MIN_MEMBERS = 3  # where there are as many machines: the smallest list that stands a loss
DEFAULT_MAX_MEMBERS = 5  # where nothing asks for more: more would only add disks to wait for
MAX_MEMBERS = 9  # whatever is asked for


@dataclass(frozen=True)
class ReconfigurationGoals:
    """Which losses the list must withstand at once.

    Attributes:
        machines: number of machines, of `settings.tolerance`.
        zones: number of zones, of `settings.tolerance`.
        regions: number of regions, of `settings.tolerance`.
        region_of: the region of each zone; a zone that is not named is a region of its own.
        sync_s: s within which a machine that came back has caught up.
    """

    machines: int = 1
    zones: int = 0
    regions: int = 0
    region_of: Mapping[str, str] = field(default_factory=dict)
    sync_s: float = 4.0

    @property
    def min_members(self) -> int:
        """The list is never made shorter than this, where it was as long."""
        return min(MAX_MEMBERS, max(MIN_MEMBERS, 2 * self.machines + 1))

    @property
    def max_members(self) -> int:
        """The list is never made longer than this.

        With one member in each zone (or region) so many members withstand the loss.
        """
        return min(
            MAX_MEMBERS, max(DEFAULT_MAX_MEMBERS, 2 * max(self.machines, self.zones, self.regions) + 1)
        )

    def largest_loss(self, zones: Iterable[str]) -> int:
        """Return how many members the largest loss to withstand takes.

        Args:
            zones: the zone of each member.
        """
        by_zone = Counter(zones)
        by_region: Counter[str] = Counter()
        for zone, count in by_zone.items():
            by_region[self.region_of.get(zone, zone)] += count
        return max(self.machines, _in_largest(by_zone, self.zones), _in_largest(by_region, self.regions))


def _in_largest(counts: Counter[str], how_many: int) -> int:
    """Return how many members the largest so many groups have together."""
    return sum(count for _, count in counts.most_common(how_many))
