"""Simulated days and the schedule search: reproducible, fully judged, and able to find planted bugs."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from irisdeal.cli.main import main
from irisdeal.front_door.server.program import Program
from irisdeal.simulation.search import search as searching
from irisdeal.simulation.search.front_door_day import DayResult, play
from irisdeal.simulation.search.judge import Judgement, judge
from irisdeal.simulation.search.planted_bugs import BUGS, NAMES, planted
from irisdeal.simulation.search.schedule import (
    DURATION_S,
    FIRST_FAULT_S,
    LAST_FAULT_END_S,
    PAIRS,
    Moment,
    Table,
    add_aimed_fault,
    draw_schedule,
    mutate,
    pairs_of,
    scenario,
    with_faults,
)
from irisdeal.simulation.search.schedule_files import to_toml
from irisdeal.simulation.search.search import Search, SearchError, judge_pool
from irisdeal.simulation.search.shrink import Shrinker
from irisdeal.simulation.search.timeline import timeline
from irisdeal.testbed.scenario_files import parse
from irisdeal.testbed.workload import draw

HERE = Path(__file__).parents[1] / "data"
FOUND = sorted((HERE / "found").glob("*.toml"))
PLANTED = sorted((HERE / "planted").glob("*.toml"))
FIXED_DAY_COUNT = 200  # simulated by CI
QUIET: Table = {"base": "small", "seed": 4, "seconds": 3.0, "at": []}


def days(count: int, seed: int) -> list[Table]:
    rng = random.Random(seed)
    return [draw_schedule(n, rng) for n in range(count)]


def day(table: Table, **how: Any) -> DayResult:
    made = scenario(table)
    return play(draw(made, made.seed), **how)


# Regressions


def test_fixed_days_keep_all_rules() -> None:
    broken = []
    with judge_pool(min(8, os.cpu_count() or 1)) as judge_all:
        for number, judged in judge_all(days(FIXED_DAY_COUNT, 20261201)):
            if judged.broken:
                broken.append((number, judged.broken, judged.texts))
    assert not broken


@pytest.mark.parametrize("file", FOUND, ids=lambda file: file.stem)
def test_schedules_of_fixed_bugs_pass(file: Path) -> None:
    judged = judge(read(file), samples_states=False)
    assert not judged.broken, judged.texts


@pytest.mark.parametrize("file", PLANTED, ids=lambda file: file.stem)
def test_a_planted_bug_breaks_its_schedule_and_nothing_else_does(file: Path) -> None:
    table = read(file)
    assert not judge(table, samples_states=False).broken
    assert judge(table, bug=file.stem, samples_states=False).broken


def read(file: Path) -> Table:
    import tomllib

    return tomllib.loads(file.read_text("utf-8"))


def test_there_is_a_schedule_for_most_planted_bugs() -> None:
    names = {file.stem for file in PLANTED}
    assert names <= set(NAMES)
    assert len(names) >= 15 and len(BUGS) >= 20


# Reproducible


def test_a_day_is_the_same_to_the_byte_in_other_processes() -> None:
    code = (
        "import random\nfrom irisdeal.simulation.search.judge import judge\n"
        "from irisdeal.simulation.search.schedule import draw_schedule\nrng = random.Random(5)\n"
        "print([judge(draw_schedule(n, rng)).digest for n in range(4)])"
    )
    digests = {
        subprocess.run(
            [sys.executable, "-c", code],
            check=True,
            capture_output=True,
            text=True,
            cwd=HERE.parents[1],
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "999")
    }
    rng = random.Random(5)
    assert digests == {f"{[judge(draw_schedule(n, rng)).digest for n in range(4)]}\n"}


def test_another_seed_is_another_day() -> None:
    assert day(QUIET).digest() != day({**QUIET, "seed": 5}).digest()


def test_a_fault_changes_nothing_before_it() -> None:
    """Aiming a fault at a moment relies on this."""
    kill = {"at_s": 1.5, "do": "door-kill", "door": 0, "for_s": 0.5}
    calm, struck = day(QUIET), day(with_faults(QUIET, [kill]))
    at = calm.start + 1_500_000

    def before(played: DayResult) -> list[Any]:
        return [
            (t.trace, t.at, [a for a in t.answers if a.at < at])
            for t in played.request_log.client_attempts
            if t.due < at
        ]

    assert struck.start == calm.start
    assert before(calm) == before(struck)
    assert len(before(calm)) > 30 and calm.digest() != struck.digest()


# Failures


def test_a_day_without_faults_serves_all_and_leaves_nothing() -> None:
    played = day(QUIET)
    assert played.passed and not played.broken()
    assert played.service.total.share > 0.95
    assert all(life.code == 0 for life in played.request_log.front_doors)
    assert played.seconds < 8


def test_a_leak_in_a_front_door_is_reported() -> None:
    def leaky(program: Program) -> None:
        taken = program.decision_loop.handle_request

        def take(client: Any) -> None:
            taken(client)
            program.clients.open_traces.add(b"kept" + client.trace_id)

        program.decision_loop.handle_request = take  # type: ignore[method-assign]

    played = day(QUIET, modify_program=leaky)
    assert played.broken() == ["left"]
    assert "open traces" in played.leftovers[0]


def test_an_uncaught_error_and_an_unexpected_exit_are_reported() -> None:
    def broken(program: Program) -> None:
        def reload() -> None:
            raise ValueError("planted")

        program.reload = reload  # type: ignore[method-assign]

    table = with_faults(QUIET, [{"at_s": 1.0, "do": "door-reload", "door": 1}])
    played = day(table, modify_program=broken)
    assert played.broken() == ["error"] and "planted" in played.errors[0]

    def ends(program: Program) -> None:
        program.loop.call_later(0.8, program.finished.set)

    assert "crash" in day(QUIET, modify_program=ends).broken()


def test_a_kill_during_a_restart_leads_to_one_start() -> None:
    """Guards against two starts, of which the second fails because the address is in use."""
    played = day(
        with_faults(
            {**QUIET, "seconds": 6.0},
            [
                {"at_s": 1.0, "do": "door-restart", "door": 1},
                {"at_s": 1.3, "do": "door-kill", "door": 1, "for_s": 2.0},
            ],
        )
    )
    assert played.passed, played.crashes
    lives = [life for life in played.request_log.front_doors if life.front_door == 1]
    assert len(lives) == 2 and lives[1].started - lives[0].killed >= 2_000_000


def test_front_doors_on_one_core_delay_each_other() -> None:
    busy = {**QUIET, "load": {"use": 0.4}}
    assert day(busy, cores=1).max_timer_delay_us > day(busy).max_timer_delay_us


# Schedules


@settings(max_examples=200, deadline=None)
@given(seed=st.integers(0, 10**9), number=st.integers(0, 10**6), pairs=st.booleans())
def test_every_drawn_mutated_or_aimed_schedule_is_a_valid_scenario(
    seed: int, number: int, pairs: bool
) -> None:
    rng = random.Random(seed)
    table = draw_schedule(number, rng, pairs)
    moment = Moment("here", rng.uniform(FIRST_FAULT_S, LAST_FAULT_END_S - 0.1), rng.randrange(3), "hall-b")
    for made in (
        table,
        mutate(table, rng),
        mutate(mutate(table, rng), rng),
        add_aimed_fault(table, [moment], rng),
    ):
        assert made is not None
        checked = scenario(made)
        assert parse(to_toml(made, ["x"], ["y"]), "schedule") == checked
        assert all(
            f.at_s >= FIRST_FAULT_S and f.at_s + f.for_s <= max(LAST_FAULT_END_S + 0.05, DURATION_S)
            for f in checked.faults
        )
    if pairs:
        assert PAIRS[number % len(PAIRS)] in pairs_of(table)


def test_a_fault_is_aimed_at_a_moment_to_the_microsecond() -> None:
    made = add_aimed_fault(QUIET, [Moment("now", 1.234567, 2, "hall-a")], random.Random(1))
    assert made is not None and made["at"][0]["at_s"] == 1.234567
    assert add_aimed_fault(QUIET, [Moment("too early", 0.1)], random.Random(1)) is None


# Shrinking


def test_a_schedule_is_shrunk_within_a_number_of_runs() -> None:
    rng = random.Random(3)
    table = next(
        t
        for t in (draw_schedule(n, rng, pairs=False) for n in range(5_000))
        if {"box-hang", "door-kill"} <= {f["do"] for f in t["at"]} and len(t["at"]) >= 5
    )

    def breaks(candidate: Table) -> bool:
        scenario(candidate)  # each candidate must be valid
        return {"box-hang", "door-kill"} <= {f["do"] for f in candidate["at"]} and candidate["doors"] >= 2

    shrinker = Shrinker(breaks)
    least = shrinker.shrink(table)
    assert sorted(f["do"] for f in least["at"]) == ["box-hang", "door-kill"]
    assert least["doors"] == 2 and least["fleet"]["boxes"] == 1 and least["seconds"] < table["seconds"]
    assert shrinker.plays <= 200

    few = Shrinker(breaks, max_plays=5)
    few.shrink(table)
    assert few.plays == 5


def test_a_failure_that_no_smaller_schedule_has_leaves_the_schedule_unchanged() -> None:
    table = draw_schedule(1, random.Random(2))
    assert Shrinker(lambda candidate: False).shrink(table) == table


def test_a_schedule_that_fails_without_faults_is_shrunk_to_none() -> None:
    assert Shrinker(lambda candidate: True).shrink(draw_schedule(1, random.Random(2)))["at"] == []


# The search


def fake(table: Table) -> Judgement:
    """A judge whose states depend on the schedule, and that fails it for two certain kinds of faults."""
    kinds = sorted({f["do"] for f in table["at"]})
    pairs = {hash_of(one + other) for one in kinds for other in kinds}
    broken = ["answers"] if {"box-hang", "door-kill"} & set(kinds) and len(kinds) > 2 else []
    return Judgement(
        table,
        broken,
        ["it broke"] if broken else [],
        pairs=pairs,
        states=pairs,
        moments=[Moment("here", 2.0, 1, "hall-a")],
        asks=100,
        virtual_s=7.0,
        real_s=0.1,
    )


def hash_of(text: str) -> int:
    return int.from_bytes(text.encode()[-6:])


def run_search(generations: int, search: Search | None = None) -> Search:
    search = search or Search(9)
    for _ in range(generations):
        search.record_results([fake(table) for table in search.schedules()])
    return search


def test_a_resumed_search_gives_the_same_results(tmp_path: Path) -> None:
    whole = run_search(6)
    half = run_search(3)
    half.save(tmp_path)
    again = Search.load(tmp_path)
    assert again is not None
    rest = run_search(3, again)
    assert rest.schedules() == whole.schedules()
    assert (rest.days, rest.seen_pairs, rest.fault_pairs) == (whole.days, whole.seen_pairs, whole.fault_pairs)
    assert rest.findings == whole.findings
    assert whole.days == 6 * searching.GENERATION_SIZE and whole.findings


def test_the_state_of_a_search_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(searching, "MAX_CORPUS_SIZE", 20)
    search = run_search(12)
    assert len(search.corpus) <= 20
    assert len(search.findings) <= searching.MAX_FINDINGS_PER_FAILURE < search.failing_days


def test_only_a_guided_search_builds_a_corpus() -> None:
    plain = run_search(3, Search(9, guided=False))
    assert not plain.corpus and run_search(3).corpus


def test_an_invalid_file_of_a_search_is_refused(tmp_path: Path) -> None:
    (tmp_path / searching.STATE_FILE).write_text("{}")
    with pytest.raises(SearchError, match="not a saved search"):
        Search.load(tmp_path)
    (tmp_path / searching.STATE_FILE).write_text("{")
    with pytest.raises(SearchError):
        Search.load(tmp_path)
    assert Search.load(tmp_path / "none") is None


def test_a_planted_bug_is_removed_after_its_context() -> None:
    def all_of() -> dict[str, list[object]]:
        return {bug.name: [getattr(owner, key) for owner, key, _ in bug.make()] for bug in BUGS}

    before = all_of()
    for bug in BUGS:
        with planted(bug.name):
            assert all_of()[bug.name] != before[bug.name]
    assert all_of() == before


# Commands


def ask(*words: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, ["chaos", *words])
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


def test_commands_run_replay_show_and_shrink(tmp_path: Path) -> None:
    folder = str(tmp_path / "search")
    code, out = ask("run", "--days", "1", "--jobs", "2", "--seed", "3", "--out", folder, "--json", "-")
    assert code in (0, 1) and '"days": 64' in out
    file = tmp_path / "one.toml"
    file.write_text(
        to_toml(with_faults(QUIET, [{"at_s": 1.0, "do": "box-drain", "boxes": 2, "for_s": 1.0}]), [], [])
    )
    code, out = ask("replay", str(file), "--twice")
    assert code == 0 and "kept" in out
    code, out = ask("replay", str(file), "--bug", "drain-unheard")
    assert code == 1 and "drains" in out
    code, out = ask("show", str(file), "--door", "1")
    assert code == 0 and "Terminating" in out and "fault: box-drain" in out
    least = tmp_path / "least.toml"
    code, out = ask("shrink", str(file), "--bug", "drain-unheard", "--most", "30", "--to", str(least))
    assert code == 0 and least.exists(), out
    assert ask("replay", str(least), "--bug", "drain-unheard")[0] == 1
    code, out = ask("prove", "--list")
    assert code == 0 and all(bug.name in out for bug in BUGS)


@pytest.mark.parametrize(
    ("words", "wanted"),
    [
        (["run", "--only", "nothing"], "--only nothing: no such fault: wanted some of"),
        (["run", "--days", "3", "--minutes", "1"], "wanted one of them"),
        (["replay", "{bad}"], "at[0]: box-hang needs boxes"),
        (["replay", "{noise}"], "not UTF-8"),
        (["replay", "{good}", "--bug", "none"], "--bug none: no such bug"),
        (["show", "{good}", "--json", "x"], "No such option"),
        (["replay", "missing.toml"], "does not exist"),
    ],
)
def test_bad_input_is_one_line_and_exit_code_2(words: list[str], wanted: str, tmp_path: Path) -> None:
    (tmp_path / "bad.toml").write_text('base = "small"\n[[at]]\ndo = "box-hang"\nat_s = 1\n')
    (tmp_path / "noise.toml").write_bytes(b"\xff\xfe")
    (tmp_path / "good.toml").write_text('base = "small"\n')
    code, out = ask(
        *(
            w.format(bad=tmp_path / "bad.toml", noise=tmp_path / "noise.toml", good=tmp_path / "good.toml")
            for w in words
        )
    )
    assert code == 2 and wanted in out and "Traceback" not in out


def test_the_timeline_of_a_request_is_complete() -> None:
    played = day(QUIET)
    served = next(t for t in played.request_log.client_attempts if t.answers and t.answers[0].status == 200)
    lines = timeline(played, trace=served.trace)
    order = [
        n
        for n, line in enumerate(lines)
        for what in ("is due", "is written", "has come", "served, ran", "answered 200")
        if f"{what}" in line
    ]
    assert len(order) >= 5 and order == sorted(order)
    assert timeline(played, trace="nobody") == []
