"""The failures that a member list must tolerate, and the list size that follows from them. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MIN_MEMBERS = 3  # the smallest list that tolerates the loss of a member, if there are enough machines
DEFAULT_MAX_MEMBERS = 5  # unless the tolerance needs more: further members only add disks to wait for
MAX_MEMBERS = 9  # upper limit for any tolerance


@dataclass(frozen=True)
class ReconfigurationGoals:
    """The simultaneous losses that the member list must tolerate.

    Attributes:
        machines: number of lost machines, from `settings.tolerance`.
        zones: number of lost zones, from `settings.tolerance`.
        regions: number of lost regions, from `settings.tolerance`.
        region_of: the region of each zone; a zone that is not listed is a region of its own.
        sync_s: seconds within which a restarted machine catches up.
    """

    machines: int = 1
    zones: int = 0
    regions: int = 0
    region_of: Mapping[str, str] = field(default_factory=dict)
    sync_s: float = 4.0

    @property
    def min_members(self) -> int:
        """Minimum list size; a change never shrinks the list below it."""
        return min(MAX_MEMBERS, max(MIN_MEMBERS, 2 * self.machines + 1))

    @property
    def max_members(self) -> int:
        """Maximum list size: enough members to tolerate the losses with one member in each zone or region."""
        return min(
            MAX_MEMBERS, max(DEFAULT_MAX_MEMBERS, 2 * max(self.machines, self.zones, self.regions) + 1)
        )

    def largest_loss(self, zones: Iterable[str]) -> int:
        """Return the number of members lost in the worst case that must be tolerated.

        Args:
            zones: the zone of each member.
        """
        by_zone = Counter(zones)
        by_region: Counter[str] = Counter()
        for zone, count in by_zone.items():
            by_region[self.region_of.get(zone, zone)] += count
        return max(
            self.machines,
            _members_in_largest(by_zone, self.zones),
            _members_in_largest(by_region, self.regions),
        )


def _members_in_largest(counts: Counter[str], group_count: int) -> int:
    """Return the total number of members in the `group_count` largest groups."""
    return sum(count for _, count in counts.most_common(group_count))
