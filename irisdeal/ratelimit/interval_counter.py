"""The counter of one interval after the other, kept by the registries for all doors. No input or output here.

Each door tells one registry, early in an interval, what it was asked for and held in the interval before. The
registry adds up its doors and tells the others the sum and who its doors are; at the end of that interval the
total is finished: it does not change any more, and whoever reads it reads the same, as long as each sum reached
each registry. What it means when somebody did not speak:

- a door that said nothing counts with its last word for `DOOR_KEPT` s, since a part that it was given may be in
  use;
- a registry that said nothing counts with its last sum, for those of its doors that no other registry has since
  heard; when all have moved it counts nothing;
- while one is silent, those that hear each other share what the doors that they hear had when all spoke last
  (`room`): a cut may have doors on both sides, whose demand moves unseen;
- a word that comes twice counts once; one for an interval that is finished changes only the next total. A door
  whose word reached a registry that could not answer in time, and that tells another, counts twice in one total:
  the chance of refusal is then too large by its part, for one interval.

Bytes: a door tells 12 + 15 a for a active tenants, and hears 20 + 20 a; a registry tells 16 + 20 t + 5 d to each
of N - 1 others, for t tenants and d doors of its own; all of it 1/`LENGTH` times a second.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from irisdeal.ratelimit.interval_clock import LENGTH
from irisdeal.ratelimit.tokens import share

DOOR_KEPT = 30.0  # s that a silent door counts: a cut of some twenty seconds, a window, and the time to notice
REGISTRY_KEPT = 30.0  # s likewise for a silent registry; then most of them take over what is left of its part
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
    demand: dict[str, float] = field(default_factory=dict)  # of those that spoke


@dataclass(frozen=True, slots=True)
class Common:
    """What stood when all registries spoke last: each one's doors and demand."""

    many: int
    sums: dict[str, tuple[frozenset[int], dict[str, float]]]

    def parts(self, tenant: str, rate: float, heard: frozenset[int], speaking: Iterable[str]) -> float:
        """The parts of the rate that the doors had which are heard now, and of those that speak without a door."""
        total = sum(demand.get(tenant, 0.0) for _, demand in self.sums.values())
        parts = 0.0
        for who, (doors, demand) in self.sums.items():
            part = share(demand.get(tenant, 0.0), total, rate, LENGTH, len(self.sums))
            parts += part * (len(doors & heard) / len(doors) if doors else who in speaking)
        return parts


class Counter:
    """One registry's counter."""

    def __init__(self, own: str) -> None:
        self.own = own
        self.words: dict[int, Word] = {}
        self.sums: dict[str, Sum] = {}
        self.demand: dict[str, float] = {}  # what our doors are asked for in an interval, smoothed
        self.total = Total(-1, 1, 1)
        self.born: float | None = None  # when its first sum was told
        self.common: Common | None = None
        self.speaking: frozenset[str] = frozenset()
        self.heard: frozenset[int] = frozenset()  # doors of those that speak
        self.is_split = False  # whether somebody is silent who may have doors

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

    def part(self, tenant: str, rate: float, many: int) -> float:
        """Our part of a tenant's rate by the newest total, 0 to 1. `many`: registries there are."""
        own, demand = self.total.own.get(tenant, NOUGHT)[5], self.total.demand.get(tenant, 0.0)
        if not self.is_split:
            return share(own, demand, rate, LENGTH, many)
        room = (len(self.speaking) / max(1, many) if self.common is None
                else self.common.parts(tenant, rate, self.heard, self.speaking))
        return room * share(own, demand, rate, LENGTH, len(self.speaking))

    def close(
        self, number: int, left: dict[str, float], now: float, many: int = 1,
    ) -> tuple[Figures, list[int]]:
        """Our own sum for interval `number`, with our tokens left; and who our doors are.

        `many`: registries that there are.
        """
        self.born = now if self.born is None else self.born
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
        many = max((told.many for told in speaking.values()), default=1)
        figures: Figures = {}
        doors = set(heard)
        for who, told in list(self.sums.items()):
            if who in speaking:
                add(figures, told.figures)
            elif now - told.heard > REGISTRY_KEPT and 2 * len(speaking) > many:  # fewer take nothing over
                del self.sums[who]
            else:
                missing = told.doors - heard
                doors |= missing
                if missing:
                    add(figures, told.figures, len(missing) / len(told.doors))
        own = self.sums[self.own].figures if self.own in self.sums else {}
        demand = {tenant: sum(told.figures[tenant][5] for told in speaking.values() if tenant in told.figures)
                  for tenant in figures}
        self.total = Total(number, max(1, len(doors)), max(1, len(speaking)), many, figures, own, demand)
        self.speaking, self.heard = frozenset(speaking), frozenset(heard)
        is_young = self.born is None or now - self.born <= REGISTRY_KEPT
        self.is_split = len(self.sums) > len(speaking) or (
            self.common is None and is_young and len(speaking) < many)
        if not self.is_split:
            self.common = Common(many, {who: (told.doors, {tenant: own[5] for tenant, own in told.figures.items()})
                                        for who, told in speaking.items()})
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
