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

from irisdeal.simulation.search.judge import Judgement, judge
from irisdeal.simulation.search.schedule import (
    PAIRS,
    Moment,
    Table,
    add_aimed_fault,
    draw_schedule,
    mutate,
    pairs_of,
)

GENERATION_SIZE = (
    64  # schedules made at once: enough for each core, few enough that what is learnt is used soon
)
MAX_CORPUS_SIZE = 400  # schedules in the corpus; past it the ones that brought least go
MAX_FINDINGS = 40  # schedules kept of those that break something; more of the same tell nothing new
MAX_FINDINGS_PER_FAILURE = 3  # of them for one name
DRAWN, AIMED = 0.45, 0.25  # shares of a generation; the rest is changed from the corpus
STATE_FILE = "search.json"


class SearchError(Exception):
    """The search cannot go on as asked."""


@dataclass(slots=True)
class CorpusEntry:
    """A schedule of the corpus: what it brought, and its moments."""

    table: Table
    brought: int
    moments: list[Moment] = field(default_factory=list)


@dataclass(slots=True)
class Finding:
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
    failing_days: int = 0  # days that broke something
    virtual_s: float = 0.0  # s
    real_s: float = 0.0  # s of CPU of the judges
    corpus: list[CorpusEntry] = field(default_factory=list)
    seen_pairs: set[int] = field(default_factory=set)  # pairs of values
    states: set[int] = field(default_factory=set)
    fault_pairs: set[tuple[str, str]] = field(default_factory=set)  # of faults
    findings: list[Finding] = field(default_factory=list)

    def schedules(self) -> list[Table]:
        """The next generation."""
        rng = random.Random(f"{self.seed}:{self.generation}")
        made = []
        for n in range(GENERATION_SIZE):
            number = self.generation * GENERATION_SIZE + n
            table, chance = None, rng.random()
            if self.guided and self.corpus and chance >= DRAWN:
                kept = rng.choices(self.corpus, [1 + k.brought for k in self.corpus])[0]
                if chance < DRAWN + AIMED:
                    table = add_aimed_fault(kept.table, kept.moments, rng)
                table = table or mutate(kept.table, rng)
                if self.only:
                    table["at"] = [f for f in table["at"] if f["do"] in self.only]
            made.append(table or draw_schedule(number, rng, pairs=self.guided, only=self.only))
        return made

    def record_results(self, judged: Iterable[Judgement]) -> list[Finding]:
        """Take in a whole generation, in the order of its schedules; what was found anew."""
        new = []
        for one in judged:
            self.days += 1
            self.virtual_s += one.virtual_s
            self.real_s += one.real_s
            self.states |= one.states
            self.fault_pairs |= pairs_of(one.table)
            fresh = one.pairs - self.seen_pairs
            self.seen_pairs |= one.pairs
            if one.broken:
                self.failing_days += 1
                alike = sum(f.broken[0] == one.broken[0] for f in self.findings)
                if alike < MAX_FINDINGS_PER_FAILURE and len(self.findings) < MAX_FINDINGS:
                    self.findings.append(found := Finding(one.broken, one.texts, one.table, self.days))
                    new.append(found)
            elif fresh and self.guided:
                self.corpus.append(CorpusEntry(one.table, len(fresh), one.moments))
        if len(self.corpus) > MAX_CORPUS_SIZE:
            self.corpus = sorted(self.corpus, key=lambda k: -k.brought)[:MAX_CORPUS_SIZE]
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
            "breaking": self.failing_days,
            "virtual": self.virtual_s,
            "real": self.real_s,
            "corpus": [
                {
                    "table": k.table,
                    "brought": k.brought,
                    "moments": [[m.what, m.at, m.door, m.hall] for m in k.moments],
                }
                for k in self.corpus
            ],
            "seen": sorted(self.seen_pairs),
            "states": sorted(self.states),
            "pairs": sorted(self.fault_pairs),
            "found": [
                {"broken": f.broken, "texts": f.texts, "table": f.table, "day": f.day} for f in self.findings
            ],
        }
        new = folder / f"{STATE_FILE}.new"
        new.write_text(json.dumps(told), "utf-8")
        new.replace(folder / STATE_FILE)

    @classmethod
    def load(cls, folder: Path) -> Search | None:
        """The search that was cut off here; None where there is none. Raises `SearchError`."""
        try:
            told = json.loads((folder / STATE_FILE).read_text("utf-8"))
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            raise SearchError(f"{folder / STATE_FILE}: {error}") from None
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
                [
                    CorpusEntry(k["table"], k["brought"], [Moment(*m) for m in k["moments"]])
                    for k in told["corpus"]
                ],
                set(told["seen"]),
                set(told["states"]),
                {(one, other) for one, other in told["pairs"]},
                [Finding(f["broken"], f["texts"], f["table"], f["day"]) for f in told["found"]],
            )
        except (KeyError, TypeError, ValueError) as error:
            raise SearchError(f"{folder / STATE_FILE}: not a search of ours: {error!r}") from None

    def coverage_summary(self) -> str:
        return f"{len(self.fault_pairs & set(PAIRS))} of {len(PAIRS)} pairs of faults"


Judge = Callable[[Table], Judgement]


@contextmanager
def judge_pool(
    jobs: int, bug: str = ""
) -> Iterator[Callable[[Sequence[Table]], Iterator[tuple[int, Judgement]]]]:
    """A way to judge many schedules in so many processes: yields each with its number, as it is done."""
    one = partial(judge, bug=bug)
    if jobs == 1:
        yield lambda tables: ((n, one(table)) for n, table in enumerate(tables))
        return
    with ProcessPoolExecutor(jobs, mp_context=get_context("forkserver"), initializer=_quiet) as pool:

        def all_of(tables: Sequence[Table]) -> Iterator[tuple[int, Judgement]]:
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
    found: Callable[[Finding], Any] = lambda _: None,
    folder: Path | None = None,
) -> None:
    """Search on while `more` says so, asked after each generation; `told` hears how far each has come."""
    with judge_pool(jobs, bug) as judge_all:
        while more(search):
            tables = search.schedules()
            done: dict[int, Judgement] = {}
            for number, judged in judge_all(tables):
                done[number] = judged
                told(search, len(done))
            for new in search.record_results(done[n] for n in range(len(tables))):
                found(new)
            if folder is not None:
                search.save(folder)
