"""Reduces a failing schedule to a minimal one by delta debugging. Without side effects.

The list of faults is reduced with ddmin (Zeller and Hildebrandt, "Simplifying and isolating failure-inducing
input", IEEE TSE 2002); then duration, front doors, backends, load and other settings. A step is kept if the same
failure occurs. Runs are deterministic, so one run per candidate is enough.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from irisdeal.simulation.search.schedule import Table, with_faults

MAX_PLAYS = 200  # simulated days per schedule

Breaks = Callable[[Table], bool]


@dataclass
class Shrinker:
    """Reduces schedules; `breaks` returns whether a schedule still has the same failure."""

    breaks: Breaks
    max_plays: int = MAX_PLAYS
    plays: int = 0
    on_progress: Callable[[str], None] = lambda _: None
    _results: dict[str, bool] = field(default_factory=dict)

    def shrink(self, table: Table) -> Table:
        """Return the smallest failing schedule found within `max_plays`; the given one if no smaller one fails."""
        table = self._minimize_faults(table)
        for _ in range(3):  # one reduction may make another possible
            before = table
            for candidates in (
                _shorter_days,
                _fewer_front_doors,
                _fewer_backends,
                _simpler_settings,
                _simpler_faults,
            ):
                table = self._apply_reductions(table, candidates)
            table = self._minimize_faults(table)
            if table == before:
                break
        return table

    def _still_breaks(self, table: Table) -> bool:
        key = repr(table)
        if key not in self._results:
            if self.plays >= self.max_plays:
                return False
            self.plays += 1
            self._results[key] = self.breaks(table)
            if self._results[key]:
                self.on_progress(
                    f"{len(table.get('at', []))} faults, {table.get('seconds')} s, {table.get('doors')} doors"
                )
        return self._results[key]

    def _apply_reductions(self, table: Table, candidates: Callable[[Table], Iterator[Table]]) -> Table:
        """Replace the schedule by a failing candidate until none is left."""
        while True:
            for candidate in candidates(table):
                if candidate != table and self._still_breaks(candidate):
                    table = candidate
                    break
            else:
                return table

    def _minimize_faults(self, table: Table) -> Table:
        """ddmin: remove parts of the list of faults, in ever smaller parts."""
        faults, parts = list(table.get("at", [])), 2
        if faults and self._still_breaks(with_faults(table, [])):
            return with_faults(table, [])
        while len(faults) >= 2:
            size = -(-len(faults) // parts)
            for begin in range(0, len(faults), size):
                rest = faults[:begin] + faults[begin + size :]
                if self._still_breaks(with_faults(table, rest)):
                    faults, parts = rest, max(2, parts - 1)
                    break
            else:
                if parts >= len(faults):
                    break
                parts = min(len(faults), 2 * parts)
        return with_faults(table, faults)


def _shorter_days(table: Table) -> Iterator[Table]:
    seconds = float(table.get("seconds", 6.0))
    last = max([f["at_s"] for f in table.get("at", [])], default=0.0)
    for shorter in (last + 0.6, (last + seconds) / 2, seconds - 0.5):
        shorter = round(max(1.0, last + 0.1, shorter), 2)
        if shorter < seconds:
            yield {**table, "seconds": shorter}


def _fewer_front_doors(table: Table) -> Iterator[Table]:
    doors = int(table.get("doors", 3))
    for fewer in range(1, doors):
        faults = [{**f, "door": min(f["door"], fewer - 1)} if "door" in f else f for f in table.get("at", [])]
        if any(f["do"] == "keeper-split" and f["door"] < 1 for f in faults):
            continue
        yield {**table, "doors": fewer, "at": faults}


def _fewer_backends(table: Table) -> Iterator[Table]:
    boxes = int(table.get("fleet", {}).get("boxes", 6))
    for fewer in (1, 2, 3, boxes // 2, boxes - 1):
        if 0 < fewer < boxes:
            faults = [
                {**f, "boxes": min(f["boxes"], fewer)} if "boxes" in f else f for f in table.get("at", [])
            ]
            yield {**table, "fleet": {**table.get("fleet", {}), "boxes": fewer}, "at": faults}


def _simpler_settings(table: Table) -> Iterator[Table]:
    """Yield schedules with less load, or with a default of the small scenario instead of a setting."""
    load = table.get("load", {})
    use = float(load.get("use", 0.16))
    if use > 0.02:
        yield {**table, "load": {**load, "use": round(use / 2, 4)}}
    for section in ("keeper", "load", "fleet"):
        values = table.get(section, {})
        for key in list(values):
            if key not in ("use", "boxes"):
                yield {**table, section: {k: v for k, v in values.items() if k != key}}


def _simpler_faults(table: Table) -> Iterator[Table]:
    """Yield schedules with shorter or smaller faults, or with rounded start times."""
    faults = table.get("at", [])
    for n, f in enumerate(faults):
        for key, least in (("for_s", 0.1), ("boxes", 1)):
            if key in f and f[key] > least:
                half = max(least, f[key] // 2 if key == "boxes" else round(f[key] / 2, 3))
                yield {**table, "at": [*faults[:n], {**f, key: half}, *faults[n + 1 :]]}
        rounder = round(f["at_s"], 1)
        if rounder != f["at_s"] and rounder > 0:
            yield with_faults(table, [*faults[:n], {**f, "at_s": rounder}, *faults[n + 1 :]])
