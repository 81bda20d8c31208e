"""The search: generations of schedules, some drawn, some with an aimed fault, some mutated from the corpus.

Each generation depends only on the seed and on earlier results, not on the speed of processes: schedules are
created one generation at a time and judged in any order. So a search can be interrupted and resumed, and the same
seed gives the same findings.
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

GENERATION_SIZE = 64  # schedules per generation: enough for all cores, few enough to use results soon
MAX_CORPUS_SIZE = 400  # schedules; beyond it those that added the fewest pairs are dropped
MAX_FINDINGS = 40  # failing schedules that are kept; more of them add no information
MAX_FINDINGS_PER_FAILURE = 3  # of the same failure
DRAWN_RATIO = 0.45  # of a generation
AIMED_RATIO = 0.25  # of a generation; the rest is mutated from the corpus
STATE_FILE = "search.json"


class SearchError(Exception):
    """The state of a search cannot be read."""


@dataclass(slots=True)
class CorpusEntry:
    """A schedule of the corpus: the number of new pairs it reached, and its moments."""

    table: Table
    brought: int
    moments: list[Moment] = field(default_factory=list)


@dataclass(slots=True)
class Finding:
    """A schedule with a failure."""

    broken: list[str]
    texts: list[str]
    table: Table
    day: int  # number of simulated days when it was found


@dataclass(slots=True)
class Search:
    """The state of a search. Without `guided`, every schedule is drawn independently of earlier results."""

    seed: int
    guided: bool = True
    only: tuple[str, ...] = ()
    generation: int = 0
    days: int = 0
    failing_days: int = 0  # days with a failure
    virtual_s: float = 0.0  # s
    real_s: float = 0.0  # real s of all simulations
    corpus: list[CorpusEntry] = field(default_factory=list)
    seen_pairs: set[int] = field(default_factory=set)  # pairs of values
    states: set[int] = field(default_factory=set)
    fault_pairs: set[tuple[str, str]] = field(default_factory=set)  # of faults
    findings: list[Finding] = field(default_factory=list)

    def schedules(self) -> list[Table]:
        """Return the schedules of the next generation."""
        rng = random.Random(f"{self.seed}:{self.generation}")
        made = []
        for n in range(GENERATION_SIZE):
            number = self.generation * GENERATION_SIZE + n
            table, chance = None, rng.random()
            if self.guided and self.corpus and chance >= DRAWN_RATIO:
                entry = rng.choices(self.corpus, [1 + k.brought for k in self.corpus])[0]
                if chance < DRAWN_RATIO + AIMED_RATIO:
                    table = add_aimed_fault(entry.table, entry.moments, rng)
                table = table or mutate(entry.table, rng)
                if self.only:
                    table["at"] = [f for f in table["at"] if f["do"] in self.only]
            made.append(table or draw_schedule(number, rng, pairs=self.guided, only=self.only))
        return made

    def record_results(self, judged: Iterable[Judgement]) -> list[Finding]:
        """Record the results of a generation, in the order of its schedules; return the new findings."""
        new = []
        for one in judged:
            self.days += 1
            self.virtual_s += one.virtual_s
            self.real_s += one.real_s
            self.states |= one.states
            self.fault_pairs |= pairs_of(one.table)
            new_pairs = one.pairs - self.seen_pairs
            self.seen_pairs |= one.pairs
            if one.broken:
                self.failing_days += 1
                similar_count = sum(f.broken[0] == one.broken[0] for f in self.findings)
                if similar_count < MAX_FINDINGS_PER_FAILURE and len(self.findings) < MAX_FINDINGS:
                    self.findings.append(found := Finding(one.broken, one.texts, one.table, self.days))
                    new.append(found)
            elif new_pairs and self.guided:
                self.corpus.append(CorpusEntry(one.table, len(new_pairs), one.moments))
        if len(self.corpus) > MAX_CORPUS_SIZE:
            self.corpus = sorted(self.corpus, key=lambda k: -k.brought)[:MAX_CORPUS_SIZE]
        self.generation += 1
        return new

    # To disk and back

    def save(self, folder: Path) -> None:
        """Write the state atomically to a file in `folder`."""
        state = {
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
        new.write_text(json.dumps(state), "utf-8")
        new.replace(folder / STATE_FILE)

    @classmethod
    def load(cls, folder: Path) -> Search | None:
        """Load the search saved in `folder`; None if there is none. Raises `SearchError`."""
        try:
            state = json.loads((folder / STATE_FILE).read_text("utf-8"))
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            raise SearchError(f"{folder / STATE_FILE}: {error}") from None
        try:
            return cls(
                state["seed"],
                state["guided"],
                tuple(state["only"]),
                state["generation"],
                state["days"],
                state["breaking"],
                state["virtual"],
                state["real"],
                [
                    CorpusEntry(k["table"], k["brought"], [Moment(*m) for m in k["moments"]])
                    for k in state["corpus"]
                ],
                set(state["seen"]),
                set(state["states"]),
                {(one, other) for one, other in state["pairs"]},
                [Finding(f["broken"], f["texts"], f["table"], f["day"]) for f in state["found"]],
            )
        except (KeyError, TypeError, ValueError) as error:
            raise SearchError(f"{folder / STATE_FILE}: not a saved search: {error!r}") from None

    def coverage_summary(self) -> str:
        """Return a description of the pairs of faults that were simulated."""
        return f"{len(self.fault_pairs & set(PAIRS))} of {len(PAIRS)} pairs of faults"


Judge = Callable[[Table], Judgement]


@contextmanager
def judge_pool(
    jobs: int, bug: str = ""
) -> Iterator[Callable[[Sequence[Table]], Iterator[tuple[int, Judgement]]]]:
    """Provide a function that judges schedules in `jobs` processes and yields each result with its number."""
    one = partial(judge, bug=bug)
    if jobs == 1:
        yield lambda tables: ((n, one(table)) for n, table in enumerate(tables))
        return
    with ProcessPoolExecutor(
        jobs, mp_context=get_context("forkserver"), initializer=_ignore_interrupts
    ) as pool:

        def judge_all(tables: Sequence[Table]) -> Iterator[tuple[int, Judgement]]:
            waiting = {pool.submit(one, table): n for n, table in enumerate(tables)}
            for future in as_completed(waiting):
                yield waiting[future], future.result()

        try:
            yield judge_all
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise


def _ignore_interrupts() -> None:
    """Leave Ctrl-C at the terminal to the parent process."""
    import signal

    signal.signal(signal.SIGINT, signal.SIG_IGN)


def run(
    search: Search,
    jobs: int,
    should_continue: Callable[[Search], bool],
    bug: str = "",
    on_progress: Callable[[Search, int], None] = lambda *_: None,
    on_finding: Callable[[Finding], Any] = lambda _: None,
    folder: Path | None = None,
) -> None:
    """Search while `should_continue` returns True, checked before each generation."""
    with judge_pool(jobs, bug) as judge_all:
        while should_continue(search):
            tables = search.schedules()
            done: dict[int, Judgement] = {}
            for number, judged in judge_all(tables):
                done[number] = judged
                on_progress(search, len(done))
            for new in search.record_results(done[n] for n in range(len(tables))):
                on_finding(new)
            if folder is not None:
                search.save(folder)
