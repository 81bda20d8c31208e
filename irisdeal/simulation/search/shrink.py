"""From a schedule that breaks something to the least one that still does: delta debugging. Pure.

Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input", IEEE TSE 2002, on the list of
faults; then what is around them (seconds, doors, boxes, load, plans and classes), each step kept where the
same thing still breaks. The world is exact, so a step that is kept once holds for ever.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from irisdeal.simulation.search.schedule import Table, with_faults

MOST_PLAYS = 200  # days played for one schedule

Breaks = Callable[[Table], bool]


@dataclass
class Shrinker:
    """`breaks` says whether a schedule still breaks the same thing."""

    breaks: Breaks
    max_plays: int = MOST_PLAYS
    plays: int = 0
    on_progress: Callable[[str], None] = lambda _: None
    _seen: dict[str, bool] = field(default_factory=dict)

    def shrink(self, table: Table) -> Table:
        """The least schedule found within the plays allowed; the one given, where nothing less breaks."""
        table = self._faults(table)
        for _ in range(3):  # what one step allows may allow another
            before = table
            for candidates in (_seconds, _doors, _boxes, _settings, _times):
                table = self._first(table, candidates)
            table = self._faults(table)
            if table == before:
                break
        return table

    def _try(self, table: Table) -> bool:
        key = repr(table)
        if key not in self._seen:
            if self.plays >= self.max_plays:
                return False
            self.plays += 1
            self._seen[key] = self.breaks(table)
            if self._seen[key]:
                self.on_progress(
                    f"{len(table.get('at', []))} faults, {table.get('seconds')} s, {table.get('doors')} doors"
                )
        return self._seen[key]

    def _first(self, table: Table, candidates: Callable[[Table], Iterator[Table]]) -> Table:
        """Take candidates as long as one of them still breaks."""
        while True:
            for candidate in candidates(table):
                if candidate != table and self._try(candidate):
                    table = candidate
                    break
            else:
                return table

    def _faults(self, table: Table) -> Table:
        """ddmin: complements of ever finer parts."""
        faults, parts = list(table.get("at", [])), 2
        if faults and self._try(with_faults(table, [])):
            return with_faults(table, [])
        while len(faults) >= 2:
            size = -(-len(faults) // parts)
            for begin in range(0, len(faults), size):
                rest = faults[:begin] + faults[begin + size :]
                if self._try(with_faults(table, rest)):
                    faults, parts = rest, max(2, parts - 1)
                    break
            else:
                if parts >= len(faults):
                    break
                parts = min(len(faults), 2 * parts)
        return with_faults(table, faults)


def _seconds(table: Table) -> Iterator[Table]:
    seconds = float(table.get("seconds", 6.0))
    last = max([f["at_s"] for f in table.get("at", [])], default=0.0)
    for shorter in (last + 0.6, (last + seconds) / 2, seconds - 0.5):
        shorter = round(max(1.0, last + 0.1, shorter), 2)
        if shorter < seconds:
            yield {**table, "seconds": shorter}


def _doors(table: Table) -> Iterator[Table]:
    doors = int(table.get("doors", 3))
    for fewer in range(1, doors):
        faults = [{**f, "door": min(f["door"], fewer - 1)} if "door" in f else f for f in table.get("at", [])]
        if any(f["do"] == "keeper-split" and f["door"] < 1 for f in faults):
            continue
        yield {**table, "doors": fewer, "at": faults}


def _boxes(table: Table) -> Iterator[Table]:
    boxes = int(table.get("fleet", {}).get("boxes", 6))
    for fewer in (1, 2, 3, boxes // 2, boxes - 1):
        if 0 < fewer < boxes:
            faults = [
                {**f, "boxes": min(f["boxes"], fewer)} if "boxes" in f else f for f in table.get("at", [])
            ]
            yield {**table, "fleet": {**table.get("fleet", {}), "boxes": fewer}, "at": faults}


def _settings(table: Table) -> Iterator[Table]:
    """Fewer stores, and settings that the small day has anyway."""
    load = table.get("load", {})
    use = float(load.get("use", 0.16))
    if use > 0.02:
        yield {**table, "load": {**load, "use": round(use / 2, 4)}}
    for section in ("keeper", "load", "fleet"):
        values = table.get(section, {})
        for key in list(values):
            if key not in ("use", "boxes"):
                yield {**table, section: {k: v for k, v in values.items() if k != key}}


def _times(table: Table) -> Iterator[Table]:
    """Faults that are over sooner, smaller, and at rounder moments."""
    faults = table.get("at", [])
    for n, f in enumerate(faults):
        for key, least in (("for_s", 0.1), ("boxes", 1)):
            if key in f and f[key] > least:
                half = max(least, f[key] // 2 if key == "boxes" else round(f[key] / 2, 3))
                yield {**table, "at": [*faults[:n], {**f, key: half}, *faults[n + 1 :]]}
        rounder = round(f["at_s"], 1)
        if rounder != f["at_s"] and rounder > 0:
            yield with_faults(table, [*faults[:n], {**f, "at_s": rounder}, *faults[n + 1 :]])
