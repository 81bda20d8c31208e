"""The counter of one interval after the other, kept by the registries for all doors. No input or output here.

Each door tells one registry, early in an interval, what it was asked for and held in the interval before. The
registry adds up its doors and tells the others the sum and who its doors are; at the end of that interval the
total is finished: it does not change any more, and whoever reads it reads the same, as long as each sum reached
each registry. What it means when somebody did not speak:

- a door that said nothing counts with its last word for `DOOR_KEPT` s, since a part that it was given may be in
  use;
- a registry that said nothing counts with its last sum, for those of its doors that no other registry has since
  heard; when all have moved it counts nothing;
- a word that comes twice counts once; one for an interval that is finished changes only the next total. A door
  whose word reached a registry that could not answer in time, and that tells another, counts twice in one total:
  the chance of refusal is then too large by its part, for one interval.

Bytes: a door tells 12 + 15 a for a active tenants, and hears 20 + 20 a; a registry tells 16 + 20 t + 5 d to each
of N - 1 others, for t tenants and d doors of its own; all of it 1/`LENGTH` times a second.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from irisdeal.barometer.edge import LENGTH

DOOR_KEPT = 20.0  # s that a silent door counts: the longest cut of the deployments' bounds, and a window
REGISTRY_KEPT = 20.0  # s likewise for a silent registry
SILENT = 2.4  # intervals without a word, then a door is silent: it missed two
MOST_DOORS = 8192

# tenant: [asked in the interval, mean held or sent, tokens left, late ones of those asked, part of doors that are
# alone, demand]
Figures = dict[str, list[float]]
NOUGHT = (0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
DRIFT = 0.15  # of the newest interval in a registry's demand: small tenants ask once in an interval
LEAST_DEMAND = 0.01  # asked in an interval, under which a demand is nought


@dataclass(slots=True)
class Word:
    """A door's last word."""

    number: int
    heard: float
    figures: Figures


@dataclass(slots=True)
class Sum:
    """A registry's last sum."""

    number: int
    heard: float
    figures: Figures
    doors: frozenset[int]
    many: int = 1  # registries there are, as it knows


@dataclass(frozen=True, slots=True)
class Total:
    """A finished total."""

    number: int
    doors: int
    registries: int
    many: int = 1  # registries there are, as whoever knows most of those that spoke says
    figures: Figures = field(default_factory=dict)
    own: Figures = field(default_factory=dict)  # our own doors' part of it


class Counter:
    """One registry's counter."""

    def __init__(self, own: str) -> None:
        self.own = own
        self.words: dict[int, Word] = {}
        self.sums: dict[str, Sum] = {}
        self.demand: dict[str, float] = {}  # what our doors are asked for in an interval, smoothed
        self.total = Total(-1, 1, 1)

    def hear(self, door: int, number: int, figures: Figures, now: float) -> None:
        """A door's word for interval `number`; an older one, or the same again, is passed over."""
        known = self.words.get(door)
        if known is not None and known.number >= number:
            known.heard = now
        elif known is not None or len(self.words) < MOST_DOORS:
            self.words[door] = Word(number, now, figures)

    def leave(self, door: int) -> None:
        """Its connection ended: it moved or is gone, and does not go on with a part of its own."""
        self.words.pop(door, None)

    def hear_sum(
        self, registry: str, number: int, figures: Figures, doors: Iterable[int], now: float, many: int = 1,
    ) -> None:
        """Another registry's sum."""
        known = self.sums.get(registry)
        if known is None or known.number < number:
            self.sums[registry] = Sum(number, now, figures, frozenset(doors), many)

    def close(
        self, number: int, left: dict[str, float], now: float, many: int = 1,
    ) -> tuple[Figures, list[int]]:
        """Our own sum for interval `number`, with our tokens left; and who our doors are.

        `many`: registries that there are.
        """
        elsewhere: set[int] = set()
        for who, told in self.sums.items():
            if who != self.own and told.number >= number - 1:
                elsewhere |= told.doors
        sums: Figures = {}
        for door, word in list(self.words.items()):
            quiet = now - word.heard > SILENT * LENGTH
            if now - word.heard > DOOR_KEPT or (quiet and door in elsewhere):
                del self.words[door]  # it ended, or tells another registry now
                continue
            add(sums, word.figures)
            if not quiet:  # only those that are alone have their parts
                for tenant, figures in word.figures.items():
                    sums[tenant][4] -= figures[4]
        for tenant in sums.keys() | self.demand.keys():
            figures = sums.setdefault(tenant, list(NOUGHT))
            known = self.demand.get(tenant, 0.0)
            figures[2], figures[5] = left.get(tenant, 0.0), known + DRIFT * (figures[0] - known)
            if figures[5] >= LEAST_DEMAND:
                self.demand[tenant] = round(figures[5], 3)
            else:
                self.demand.pop(tenant, None)
        self.sums[self.own] = Sum(number, now, sums, frozenset(self.words), many)
        return sums, sorted(self.words)

    def finish(self, number: int, now: float) -> Total:
        """The total of interval `number`; it is not touched any more."""
        if number <= self.total.number:
            return self.total
        speaking = {who: told for who, told in self.sums.items() if told.number >= number}
        heard: set[int] = set()
        for told in speaking.values():
            heard |= told.doors
        figures: Figures = {}
        doors = set(heard)
        for who, told in list(self.sums.items()):
            if who in speaking:
                add(figures, told.figures)
            elif now - told.heard > REGISTRY_KEPT:
                del self.sums[who]
            else:
                missing = told.doors - heard
                doors |= missing
                if missing:
                    add(figures, told.figures, len(missing) / len(told.doors))
        own = self.sums[self.own].figures if self.own in self.sums else {}
        many = max((told.many for told in speaking.values()), default=1)
        self.total = Total(number, max(1, len(doors)), max(1, len(speaking)), many, figures, own)
        return self.total


def add(sums: Figures, figures: Figures, share: float = 1.0) -> None:
    """Add one's figures to the sums, or a share of them."""
    for tenant, own in figures.items():
        known = sums.get(tenant)
        if known is None:
            sums[tenant] = [share * figure for figure in own]
        else:
            for at, figure in enumerate(own):
                known[at] += share * figure
