"""The tables of docs/CAPACITY.md, made from what was measured; only the mechanisms are words (`mechanisms.py`)."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from benchmarks.capacity import events, fit, places, sweep
from benchmarks.capacity.events import SOURCES
from benchmarks.capacity.laws import LAWS, Law, is_calm, near
from benchmarks.capacity.machines import ROOT
from benchmarks.capacity.mechanisms import MECHANISMS
from benchmarks.capacity.runs import BENCH, CHECK, FIRST, FIT, MEASURED, RUNS, Runs, load
from benchmarks.capacity.size import (
    CHANGES,
    DAY,
    DOOR_BYTES,
    DOOR_CORE,
    FAILS,
    NEWS_OF_RESTART,
    RESTARTS,
    WHOLE,
    Size,
)

PAGE = ROOT / "docs" / "CAPACITY.md"
WEIGHED = MEASURED.with_name("weighed.json")
JOINED = MEASURED.with_name("joined.json")
DIFFERENCES = MEASURED.with_name("differences.json")
WITHIN = 0.2  # of what was measured, that a prediction may be off
PLAIN = (
    "in news",
    "answer news",
    "in count",
    "answer count",
    "in told",
    "out told",
    "in sums",
    "out sums",
    "in loads",
    "out loads",
)


def size_of(run: dict[str, Any]) -> Size:
    return Size(**run["size"])


def figure(value: float | None) -> str:
    """Three digits, and thousands with a comma."""
    if value is None:
        return "-"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def fitted(law: Law, runs: Runs) -> list[float]:
    """The law's slopes, from the runs that carry them."""
    rows, values = [], []
    for name in FIT:
        if name in runs and (told := law.measured(runs[name])) is not None:
            rows.append(law.row(size_of(runs[name])))
            values.append(told)
    return fit.slopes(rows, values)


def formula(law: Law, slopes: list[float]) -> str:
    """The slopes beside their terms; terms without weight are left out."""
    return (
        " + ".join(
            f"{slope:.3g} {term}" if term != "1" else f"{slope:.3g}"
            for slope, term in zip(slopes, law.terms, strict=True)
            if slope > 0
        )
        or "0"
    )


def slopes_table(runs: Runs) -> str:
    lines = [
        "| role | load | formula | at the size | limit | ratio | carried by |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for law in LAWS:
        slopes = fitted(law, runs)
        if not slopes:
            continue
        there, limit = fit.value(slopes, law.row(WHOLE)), law.limit
        lines.append(
            f"| {law.role} | {law.name} | {formula(law, slopes)} {law.unit} | {figure(there)} {law.unit} "
            f"| {figure(limit) if limit else '-'} | {f'{there / limit:.2g}' if limit else '-'} "
            f"| {MECHANISMS.get((law.role, law.name), '-')} |"
        )
    return "\n".join(lines)


def check_table(runs: Runs) -> str:
    heads = [f"at {name}: predicted, measured, off" for name in CHECK if name in runs]
    lines = ["| role | load | " + " | ".join(heads) + " |", "| --- | --- |" + " --- |" * len(heads)]
    good, all_ = dict.fromkeys(CHECK, 0), dict.fromkeys(CHECK, 0)
    for law in LAWS:
        slopes, cells = fitted(law, runs), []
        for name in CHECK:
            if name in runs and slopes:
                told, meant = law.measured(runs[name]), fit.value(slopes, law.row(size_of(runs[name])))
                if not told:
                    cells.append("does not settle" if not is_calm(runs[name]) else "not measured")
                    continue
                off = meant / told - 1
                verdict = "" if abs(off) <= WITHIN else " **missed**"
                good[name] += abs(off) <= WITHIN
                all_[name] += 1
                cells.append(f"{figure(meant)}, {figure(told)}, {off:+.0%}{verdict}")
        lines.append(f"| {law.role} | {law.name} ({law.unit or 'count'}) | " + " | ".join(cells) + " |")
    within = "; ".join(f"{name}: {good[name]} of {all_[name]}" for name in CHECK if all_[name])
    return "\n".join([*lines, "", f"Within 20%, of those that could be measured: {within}."])


def kinds_table(runs: Runs) -> str:
    """One registry's bytes a second in the quiet window, by kind."""
    names = [name for name in RUNS if name in runs and is_calm(runs[name])]
    lines = ["| kind | " + " | ".join(names) + " |", "| --- |" + " --- |" * len(names)]
    for kind in PLAIN:
        phases = [
            runs[name]["phases"]["places" if "loads" in kind else "quiet"]
            if "loads" not in kind
            else next((p for at, p in runs[name]["phases"].items() if at.startswith("places")), None)
            for name in names
        ]
        cells = [
            figure(phase["registry"]["kinds"].get(kind, (0, 0.0))[1]) if phase else "-" for phase in phases
        ]
        lines.append(f"| `{kind}` | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def release_table(runs: Runs) -> str:
    """One registry's bytes a second while backends are released, in the shape of the bench's sweep."""
    names = [name for name in BENCH if name in runs]
    lines = [
        "| kind | " + " | ".join(f"{name}: quiet, released" for name in names) + " |",
        "| --- |" + " --- |" * len(names),
    ]
    windows = [[runs[name]["phases"][phase]["registry"] for phase in ("quiet", "restarts")] for name in names]
    for kind in (*PLAIN, "in lives"):
        cells = [", ".join(figure(told["kinds"].get(kind, (0, 0.0))[1]) for told in pair) for pair in windows]
        lines.append(f"| `{kind}` | " + " | ".join(cells) + " |")
    cells = [", ".join(figure(told["cpu"]) for told in pair) for pair in windows]
    return "\n".join([*lines, "| cores | " + " | ".join(cells) + " |"])


def asked(runs: Runs) -> tuple[float, float]:
    """Bytes of one ask for a place with its answer and end, and processor s of it at the registry."""
    sizes, times = [], []
    for name in FIT:
        for phase, told in runs.get(name, {"phases": {}})["phases"].items():
            kinds = told.get("registry", {}).get("kinds", {})
            if phase.startswith("places") and kinds.get("in place"):
                asks, ends = kinds["in place"][0], kinds["in ended"]
                sizes.append((kinds["in place"][1] + kinds["answer place"][1]) / asks + ends[1] / ends[0])
                quiet = runs[name]["phases"]["quiet"]["registry"]["cpu"]
                times.append((told["registry"]["cpu"] - quiet) / asks)
    return (
        sum(sizes) / len(sizes) if sizes else float("nan"),
        max(0.0, sum(times) / len(times)) if times else float("nan"),
    )


def news_of(runs: Runs) -> float:
    """Bytes that one news of a life costs one door, both its sources together: the middle of the runs."""
    costs = []
    for name in FIT:
        if name in runs and is_calm(runs[name]):
            run, size = runs[name], size_of(runs[name])
            quiet, busy = run["phases"]["quiet"]["registry"], run["phases"]["restarts"]
            more = news_alone(busy["registry"]["kinds"]) - news_alone(quiet["kinds"])
            costs.append(max(0.0, more) / near(size) / (NEWS_OF_RESTART * busy["restarts"] / busy["seconds"]))
    return sorted(costs)[len(costs) // 2] if costs else float("nan")


def news_alone(kinds: dict[str, list[float]]) -> float:
    """Bytes of asks for news and their answers, without the whole lives of doors that moved."""
    answers = kinds["answer news"][1] - kinds.get("in lives", (0.0, 0.0))[1]
    return max(0.0, answers) + kinds["in news"][1]


def door_table(runs: Runs) -> str:
    """What a door spends for control at the size: B/s of 2,000."""
    by_name = {law.name: law for law in LAWS if law.role == "registry"}
    ask, _ = asked(runs)

    def each(name: str) -> float:
        law = by_name[name]
        slopes = fitted(law, runs)
        return fit.value(slopes, law.row(WHOLE)) / near(WHOLE) if slopes else float("nan")

    per_day = NEWS_OF_RESTART * (RESTARTS + FAILS)
    rows = [
        ("held asks for news, quiet", "(law above) / (D/N)", each("quiet asks for news")),
        ("its word of each interval, and the totals", "(law above) / (D/N)", each("doors' words (count)")),
        (
            f"news of lives: {per_day:,.0f} a day, {news_of(runs):,.0f} B each",
            "news x B / 86,400",
            news_of(runs) * per_day / DAY,
        ),
        (
            "whole words: 760 a day, from two sources",
            "760 x (law above) / (D/N) / 86,400",
            each("a change of configuration") * CHANGES / DAY,
        ),
        (f"a place, its answer and its end: {ask:,.0f} B", f"{WHOLE.each:.1f} x B", ask * WHOLE.each),
    ]
    lines = ["| a door's control | formula | B/s at the size | of 2,000 |", "| --- | --- | --- | --- |"]
    lines += [f"| {name} | {how} | {figure(value)} | {value / DOOR_BYTES:.2g} |" for name, how, value in rows]
    total = sum(value for *_, value in rows)
    lines.append(f"| **all** | | {figure(total)} | {total / DOOR_BYTES:.2g} |")
    return "\n".join(lines)


def phases_table(runs: Runs) -> str:
    """What was seen when all doors start at once, and at a change of configuration."""
    lines = [
        "| run | doors, backends, registries | MB of configuration | acknowledged s | at all doors s | one by "
        "one s, unsettled | at once s, unsettled | registry's processor s at once | beats acknowledged |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name in FIRST | RUNS:
        if name in runs:
            size, phases = runs[name]["size"], runs[name]["phases"]
            one, all_, change = phases["doors one by one"], phases["all doors at once"], phases["change"]
            lines.append(
                f"| {name} | {size['doors']}, {size['backends']:,}, {size['registries']} "
                f"| {change['bytes'] / 1e6:.2f} | {figure(change['acknowledged_s'])} "
                f"| {figure(change.get('at_doors_s'))} | {figure(one['seconds'])}, {one['unsettled']} "
                f"| {figure(all_['seconds'])}, {all_['unsettled']} | {figure(all_['registry']['cpu'])} "
                f"| {runs[name]['beats']['good']:.3f} |"
            )
    return "\n".join(lines)


def places_table(runs: Runs) -> str:
    """The ways beside each other, as they were weighed, with bytes from the measured ask."""
    if not WEIGHED.exists():
        return "not run"
    rows = json.loads(WEIGHED.read_text("utf-8"))
    ask, _ = asked(runs)
    lines = [
        "| way | "
        + " | ".join(
            f"load {load}{', a tenth slow' if slow else ''}" for slow in (False, True) for load in (0.6, 0.8)
        )
        + " | B/s and door | of 2,000 |",
        "| --- |" + " --- |" * 6,
    ]
    for way, size in places.WAYS.items():
        own = [row for row in rows if row["way"] == way]
        flips = own[0]["flips"]
        told = size(flips, ask)
        lines.append(
            f"| {way} | "
            + " | ".join(f"{row['worth']:.3f}" for row in own)
            + (f" | {figure(told)} | {told / DOOR_BYTES:.2g} |" if told == told else " | - | - |")
        )
    return "\n".join(lines)


def law(role: str, name: str) -> Law:
    return next(one for one in LAWS if (one.role, one.name) == (role, name))


def grows(one: Law, runs: Runs) -> Callable[[Size], float]:
    """The law as a function of the size."""
    slopes = fitted(one, runs)
    return lambda size: fit.value(slopes, one.row(size)) if slopes else float("nan")


def events_table(runs: Runs) -> str:
    """Losses and restarts, today's mechanisms at the size."""
    start = grows(law("registry", "processor, when doors start"), runs)
    size = grows(law("registry", "all that is told when doors start"), runs)
    rows = events.loss_rows(news_of(runs), start(WHOLE) / near(WHOLE) / WHOLE.backends, start, size)
    lines = [
        "| what goes | s until doors know | news at a door | B at a door | MB out of a registry "
        "| a registry's processor s |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)])


def read_each(runs: Runs) -> float:
    """s of a registry for one MB of configuration at a change: by its processor time, once."""
    times = [
        runs[name]["phases"]["first configuration"]["acknowledged_s"]
        / (runs[name]["phases"]["first configuration"]["bytes"] / 1e6)
        for name in FIT
        if name in runs and runs[name]["phases"]["first configuration"]["tries"] == 1
    ]
    return min(times, default=float("nan"))


def breaks_table(runs: Runs) -> str:
    """Today's mechanisms by the number of doors, in the shape of the size, at which they break."""
    versions = grows(law("registry", "doors' words (count)"), runs)(WHOLE) / near(WHOLE)
    rows = events.breaks_rows(
        asked(runs)[0],
        versions,
        grows(law("registry", "sums of tenants and doors"), runs),
        lambda size: sum(
            grows(law("registry", name), runs)(size)
            for name in ("processor, beats alone", "processor, doors quiet, beyond beats")
        ),
        grows(law("registry", "processor, when doors start"), runs),
        read_each(runs),
    )
    lines = ["| doors | mechanism | what it meets | what carries it then |", "| --- | --- | --- | --- |"]
    for name, limit, then, at in rows:
        doors = "any" if at <= 1 else f"{at:,}" if at < events.MOST_DOORS else "none"
        lines.append(f"| {doors} | {name} | {limit} | {then} |")
    return "\n".join(lines)


def differences_table(runs: Runs) -> str:
    """Differences beside whole words, and what they come to at a door."""
    if not DIFFERENCES.exists():
        return "not run"
    told = json.loads(DIFFERENCES.read_text("utf-8"))
    lines = [
        f"`{told['command']}`, {told['program']}:",
        "",
        "| part of the size | whole B | difference B | whole, packed, to a new door B "
        "| read and tabled whole ms | taken, read and tabled by difference ms | longest slice ms "
        "| B/s at a door | of 2,000 | cores at a door | of 0.043 |",
        "| --- |" + " --- |" * 10,
    ]
    for row in told["rows"]:
        ms, each = row["ms"], CHANGES * row["share"] / DAY
        short = ms["take"] + ms["read"] + ms["table"]
        size = SOURCES * row["difference_bytes"] * each
        cores = short / 1000 * each
        lines.append(
            f"| {row['share']:g} | {row['bytes']:,} | {row['difference_bytes']:,} | {row['snapshot_bytes']:,} "
            f"| {figure(ms['whole read'] + ms['whole table'])} | {figure(short)} "
            f"| {figure(row['longest_slice_ms'])} "
            f"| {figure(size)} | {size / DOOR_BYTES:.2g} | {figure(cores)} | {cores / DOOR_CORE:.2g} |"
        )
    return "\n".join(lines)


def sweep_table(runs: Runs) -> str:
    """Each kind's part of a core machine's kB a second in the bench's sweep, by the laws, beside the measured."""
    parts = [
        sweep.kinds(
            day,
            lambda name: grows(law("registry", name), runs),
            news_of(runs),
            asked(runs)[0],
            float(runs["30"]["beats"]["bytes"]),
        )
        for day in sweep.DAYS
    ]
    lines = [
        "| kB a second of a core machine | "
        + " | ".join(f"{day.own} own, {day.size.backends:,} servers" for day in sweep.DAYS)
        + " |",
        "| --- | --- | --- | --- |",
    ]
    lines += [f"| {kind} | " + " | ".join(figure(part[kind]) for part in parts) + " |" for kind in parts[0]]
    lines.append(
        "| **all, by the laws** | " + " | ".join(figure(sum(part.values())) for part in parts) + " |"
    )
    lines.append(
        "| **measured by the bench** | " + " | ".join(figure(day.measured) for day in sweep.DAYS) + " |"
    )
    return "\n".join(lines)


def joined_table(runs: Runs) -> str:
    """Today's program beside the joined parts of Control 1 at e5f8d29, in the same shapes."""
    lines = [
        "| run | program | change: B out of a registry | change: registry's processor s | at all doors s "
        "| door's processor s | doors one by one: B out of a registry | at once: s, unsettled |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    joined = load(JOINED)
    for name in joined:
        for program, told in (("today", runs[name]), ("joined, a trial", joined[name])):
            phases = told["phases"]
            change, start, once = phases["change"], phases["doors one by one"], phases["all doors at once"]
            lines.append(
                f"| {name} | {program} | {figure(change['registry']['kinds']['answer news'][1])} "
                f"| {figure(change['registry']['cpu'])} | {figure(change.get('at_doors_s'))} "
                f"| {figure(change['door_cpu_s'])} | {figure(start['registry']['kinds']['answer news'][1])} "
                f"| {figure(once['seconds'])}, {once['unsettled']} |"
            )
    return "\n".join(lines)


TABLES: dict[str, Callable[[Runs], str]] = {
    "slopes": slopes_table,
    "door": door_table,
    "kinds": kinds_table,
    "release": release_table,
    "phases": phases_table,
    "check": check_table,
    "places": places_table,
    "events": events_table,
    "breaks": breaks_table,
    "differences": differences_table,
    "sweep": sweep_table,
    "joined": joined_table,
}


def tables() -> str:
    """All of them, each under its name."""
    runs = load()
    return "\n\n".join(f"{name}\n\n{make(runs)}" for name, make in TABLES.items())


def filled(text: str) -> str:
    """The page with its tables made anew."""
    runs = load()
    for name, make in TABLES.items():
        begin, end = f"<!-- table {name} -->\n", "<!-- end -->"
        head, found, rest = text.partition(begin)
        if found:
            text = f"{head}{begin}{make(runs)}\n{end}{rest.partition(end)[2]}"
    return text


def write(path: Path = PAGE) -> None:
    path.write_text(filled(path.read_text("utf-8")), "utf-8")
