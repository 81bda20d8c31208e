"""The search: generations of schedules, some drawn, some aimed, some changed from what reached new ground.

What it does next follows from the seed and from what was found, never from which process was quicker: days
are made a generation at a time, and judged in any order. So a search can be cut off and taken up again, and
the same seed finds the same.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from irisdeal.simulation.search.judge import Judged, judge
from irisdeal.simulation.search.schedule import PAIRS, Moment, Table, aimed, drawn, mutated, pairs_of

GENERATION = 64  # schedules made at once: enough for each core, few enough that what is learnt is used soon
MOST_KEPT = 400  # schedules in the corpus; past it the ones that brought least go
MOST_FOUND = 40  # schedules kept of those that break something; more of the same tell nothing new
SAME = 3  # of them for one name
DRAWN, AIMED = 0.45, 0.25  # shares of a generation; the rest is changed from the corpus
STATE = "search.json"


class SearchError(Exception):
    """The search cannot go on as asked."""


@dataclass(slots=True)
class Kept:
    """A schedule of the corpus: what it brought, and its moments."""

    table: Table
    brought: int
    moments: list[Moment] = field(default_factory=list)


@dataclass(slots=True)
class Found:
    """A schedule that breaks something."""

    broken: list[str]
    texts: list[str]
    table: Table
    day: int  # the number of days played when it was found


@dataclass(slots=True)
class Search:
    """All that a search knows. `guided` False: every day is drawn, none learns of another."""

    seed: int
    guided: bool = True
    only: tuple[str, ...] = ()
    generation: int = 0
    days: int = 0
    breaking: int = 0  # days that broke something
    virtual: float = 0.0  # s
    real: float = 0.0  # s of CPU of the judges
    corpus: list[Kept] = field(default_factory=list)
    seen: set[int] = field(default_factory=set)  # pairs of values
    states: set[int] = field(default_factory=set)
    pairs: set[tuple[str, str]] = field(default_factory=set)  # of faults
    found: list[Found] = field(default_factory=list)

    def schedules(self) -> list[Table]:
        """The next generation."""
        rng = random.Random(f"{self.seed}:{self.generation}")
        made = []
        for n in range(GENERATION):
            number = self.generation * GENERATION + n
            table, chance = None, rng.random()
            if self.guided and self.corpus and chance >= DRAWN:
                kept = rng.choices(self.corpus, [1 + k.brought for k in self.corpus])[0]
                if chance < DRAWN + AIMED:
                    table = aimed(kept.table, kept.moments, rng)
                table = table or mutated(kept.table, rng)
                if self.only:
                    table["at"] = [f for f in table["at"] if f["do"] in self.only]
            made.append(table or drawn(number, rng, pairs=self.guided, only=self.only))
        return made

    def learn(self, judged: Iterable[Judged]) -> list[Found]:
        """Take in a whole generation, in the order of its schedules; what was found anew."""
        new = []
        for one in judged:
            self.days += 1
            self.virtual += one.virtual
            self.real += one.real
            self.states |= one.states
            self.pairs |= pairs_of(one.table)
            fresh = one.pairs - self.seen
            self.seen |= one.pairs
            if one.broken:
                self.breaking += 1
                alike = sum(f.broken[0] == one.broken[0] for f in self.found)
                if alike < SAME and len(self.found) < MOST_FOUND:
                    self.found.append(found := Found(one.broken, one.texts, one.table, self.days))
                    new.append(found)
            elif fresh and self.guided:
                self.corpus.append(Kept(one.table, len(fresh), one.moments))
        if len(self.corpus) > MOST_KEPT:
            self.corpus = sorted(self.corpus, key=lambda k: -k.brought)[:MOST_KEPT]
        self.generation += 1
        return new

    # To disk and back

    def save(self, folder: Path) -> None:
        """Whole or not at all."""
        told = {
            "seed": self.seed,
            "guided": self.guided,
            "only": list(self.only),
            "generation": self.generation,
            "days": self.days,
            "breaking": self.breaking,
            "virtual": self.virtual,
            "real": self.real,
            "corpus": [
                {
                    "table": k.table,
                    "brought": k.brought,
                    "moments": [[m.what, m.at, m.door, m.hall] for m in k.moments],
                }
                for k in self.corpus
            ],
            "seen": sorted(self.seen),
            "states": sorted(self.states),
            "pairs": sorted(self.pairs),
            "found": [
                {"broken": f.broken, "texts": f.texts, "table": f.table, "day": f.day} for f in self.found
            ],
        }
        new = folder / f"{STATE}.new"
        new.write_text(json.dumps(told), "utf-8")
        new.replace(folder / STATE)

    @classmethod
    def load(cls, folder: Path) -> Search | None:
        """The search that was cut off here; None where there is none. Raises `SearchError`."""
        try:
            told = json.loads((folder / STATE).read_text("utf-8"))
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            raise SearchError(f"{folder / STATE}: {error}") from None
        try:
            return cls(
                told["seed"],
                told["guided"],
                tuple(told["only"]),
                told["generation"],
                told["days"],
                told["breaking"],
                told["virtual"],
                told["real"],
                [Kept(k["table"], k["brought"], [Moment(*m) for m in k["moments"]]) for k in told["corpus"]],
                set(told["seen"]),
                set(told["states"]),
                {(one, other) for one, other in told["pairs"]},
                [Found(f["broken"], f["texts"], f["table"], f["day"]) for f in told["found"]],
            )
        except (KeyError, TypeError, ValueError) as error:
            raise SearchError(f"{folder / STATE}: not a search of ours: {error!r}") from None

    def covered(self) -> str:
        return f"{len(self.pairs & set(PAIRS))} of {len(PAIRS)} pairs of faults"


Judge = Callable[[Table], Judged]


@contextmanager
def judges(jobs: int, bug: str = "") -> Iterator[Callable[[Sequence[Table]], Iterator[tuple[int, Judged]]]]:
    """A way to judge many schedules in so many processes: yields each with its number, as it is done."""
    one = partial(judge, bug=bug)
    if jobs == 1:
        yield lambda tables: ((n, one(table)) for n, table in enumerate(tables))
        return
    with ProcessPoolExecutor(jobs, mp_context=get_context("forkserver"), initializer=_quiet) as pool:

        def all_of(tables: Sequence[Table]) -> Iterator[tuple[int, Judged]]:
            waiting = {pool.submit(one, table): n for n, table in enumerate(tables)}
            for future in as_completed(waiting):
                yield waiting[future], future.result()

        try:
            yield all_of
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise


def _quiet() -> None:
    """A Ctrl-C at the terminal is the parent's alone."""
    import signal

    signal.signal(signal.SIGINT, signal.SIG_IGN)


def run(
    search: Search,
    jobs: int,
    more: Callable[[Search], bool],
    bug: str = "",
    told: Callable[[Search, int], None] = lambda *_: None,
    found: Callable[[Found], Any] = lambda _: None,
    folder: Path | None = None,
) -> None:
    """Search on while `more` says so, asked after each generation; `told` hears how far each has come."""
    with judges(jobs, bug) as judge_all:
        while more(search):
            tables = search.schedules()
            done: dict[int, Judged] = {}
            for number, judged in judge_all(tables):
                done[number] = judged
                told(search, len(done))
            for new in search.learn(done[n] for n in range(len(tables))):
                found(new)
            if folder is not None:
                search.save(folder)
