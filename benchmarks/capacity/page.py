"""The tables of docs/CAPACITY.md, computed from the results; only the mechanisms are text (`mechanisms.py`)."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from benchmarks.capacity import events, fit, places, sweep
from benchmarks.capacity.events import SOURCES_PER_PROXY
from benchmarks.capacity.laws import COST_MODELS, CostModel, is_settled, proxies_per_registry
from benchmarks.capacity.machines import ROOT
from benchmarks.capacity.mechanisms import MECHANISMS
from benchmarks.capacity.runs import (
    BENCH_RUNS,
    CHECK_RUNS,
    FIT_RUNS,
    MEASURED,
    RUNS,
    SETTLING_RUNS,
    Runs,
    load,
)
from benchmarks.capacity.size import (
    CHANGES_PER_DAY,
    DAY_S,
    FAILURES_PER_DAY,
    MAX_PROXY_BYTES_PER_S,
    MAX_PROXY_CORES,
    RESTARTS_PER_DAY,
    TARGET_SIZE,
    UPDATES_PER_RESTART,
    Size,
)

PAGE = ROOT / "docs" / "CAPACITY.md"
PLACEMENT_RESULTS = MEASURED.with_name("weighed.json")
JOINED_RESULTS = MEASURED.with_name("joined.json")
DIFFERENCE_RESULTS = MEASURED.with_name("differences.json")
MAX_RELATIVE_ERROR = 0.2  # largest accepted relative error of a prediction
FRAME_KINDS = (
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
    """Format with three significant digits, and large numbers with thousands separators."""
    if value is None:
        return "-"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def fit_model(model: CostModel, runs: Runs) -> list[float]:
    """The slopes of a cost model, fitted to the runs of `FIT_RUNS`."""
    rows, values = [], []
    for name in FIT_RUNS:
        if name in runs and (measured := model.measured(runs[name])) is not None:
            rows.append(model.row(size_of(runs[name])))
            values.append(measured)
    return fit.fit_slopes(rows, values)


def formula(model: CostModel, slopes: list[float]) -> str:
    """Format the slopes with their terms; terms with slope 0 are omitted."""
    return (
        " + ".join(
            f"{slope:.3g} {term}" if term != "1" else f"{slope:.3g}"
            for slope, term in zip(slopes, model.terms, strict=True)
            if slope > 0
        )
        or "0"
    )


def slopes_table(runs: Runs) -> str:
    """Every cost model with its slopes, its value at the target size and its limit."""
    lines = [
        "| role | load | formula | at the size | limit | ratio | carried by |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for model in COST_MODELS:
        slopes = fit_model(model, runs)
        if not slopes:
            continue
        predicted, limit = fit.evaluate(slopes, model.row(TARGET_SIZE)), model.limit
        lines.append(
            f"| {model.role} | {model.name} | {formula(model, slopes)} {model.unit} "
            f"| {figure(predicted)} {model.unit} "
            f"| {figure(limit) if limit else '-'} | {f'{predicted / limit:.2g}' if limit else '-'} "
            f"| {MECHANISMS.get((model.role, model.name), '-')} |"
        )
    return "\n".join(lines)


def check_table(runs: Runs) -> str:
    """Predictions and measurements for the runs that the slopes were not fitted to."""
    heads = [f"at {name}: predicted, measured, off" for name in CHECK_RUNS if name in runs]
    lines = ["| role | load | " + " | ".join(heads) + " |", "| --- | --- |" + " --- |" * len(heads)]
    accurate, compared = dict.fromkeys(CHECK_RUNS, 0), dict.fromkeys(CHECK_RUNS, 0)
    for model in COST_MODELS:
        slopes, cells = fit_model(model, runs), []
        for name in CHECK_RUNS:
            if name in runs and slopes:
                measured, predicted = (
                    model.measured(runs[name]),
                    fit.evaluate(slopes, model.row(size_of(runs[name]))),
                )
                if not measured:
                    cells.append("does not settle" if not is_settled(runs[name]) else "not measured")
                    continue
                error = predicted / measured - 1
                verdict = "" if abs(error) <= MAX_RELATIVE_ERROR else " **missed**"
                accurate[name] += abs(error) <= MAX_RELATIVE_ERROR
                compared[name] += 1
                cells.append(f"{figure(predicted)}, {figure(measured)}, {error:+.0%}{verdict}")
        lines.append(f"| {model.role} | {model.name} ({model.unit or 'count'}) | " + " | ".join(cells) + " |")
    within = "; ".join(
        f"{name}: {accurate[name]} of {compared[name]}" for name in CHECK_RUNS if compared[name]
    )
    return "\n".join([*lines, "", f"Within 20%, of those that could be measured: {within}."])


def kinds_table(runs: Runs) -> str:
    """Bytes per second of one registry in the quiet window, by kind of frame."""
    names = [name for name in RUNS if name in runs and is_settled(runs[name])]
    lines = ["| kind | " + " | ".join(names) + " |", "| --- |" + " --- |" * len(names)]
    for kind in FRAME_KINDS:
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
    """Bytes per second of one registry during a release of the backends, at the sizes of the bench's sweep."""
    names = [name for name in BENCH_RUNS if name in runs]
    lines = [
        "| kind | " + " | ".join(f"{name}: quiet, released" for name in names) + " |",
        "| --- |" + " --- |" * len(names),
    ]
    windows = [[runs[name]["phases"][phase]["registry"] for phase in ("quiet", "restarts")] for name in names]
    for kind in (*FRAME_KINDS, "in lives"):
        cells = [
            ", ".join(figure(figures["kinds"].get(kind, (0, 0.0))[1]) for figures in pair) for pair in windows
        ]
        lines.append(f"| `{kind}` | " + " | ".join(cells) + " |")
    cells = [", ".join(figure(figures["cpu"]) for figures in pair) for pair in windows]
    return "\n".join([*lines, "| cores | " + " | ".join(cells) + " |"])


def placement_cost(runs: Runs) -> tuple[float, float]:
    """Bytes of one placement with its answer and its end, and its CPU time in s at the registry."""
    sizes, times = [], []
    for name in FIT_RUNS:
        for phase, figures in runs.get(name, {"phases": {}})["phases"].items():
            kinds = figures.get("registry", {}).get("kinds", {})
            if phase.startswith("places") and kinds.get("in place"):
                asks, ends = kinds["in place"][0], kinds["in ended"]
                sizes.append((kinds["in place"][1] + kinds["answer place"][1]) / asks + ends[1] / ends[0])
                quiet = runs[name]["phases"]["quiet"]["registry"]["cpu"]
                times.append((figures["registry"]["cpu"] - quiet) / asks)
    return (
        sum(sizes) / len(sizes) if sizes else float("nan"),
        max(0.0, sum(times) / len(times)) if times else float("nan"),
    )


def update_cost_bytes(runs: Runs) -> float:
    """Bytes of one incarnation update at one proxy, from both its registries: the median of the runs."""
    costs = []
    for name in FIT_RUNS:
        if name in runs and is_settled(runs[name]):
            run, size = runs[name], size_of(runs[name])
            quiet, busy = run["phases"]["quiet"]["registry"], run["phases"]["restarts"]
            more = update_bytes(busy["registry"]["kinds"]) - update_bytes(quiet["kinds"])
            costs.append(
                max(0.0, more)
                / proxies_per_registry(size)
                / (UPDATES_PER_RESTART * busy["restarts"] / busy["seconds"])
            )
    return sorted(costs)[len(costs) // 2] if costs else float("nan")


def update_bytes(kinds: dict[str, list[float]]) -> float:
    """Bytes of update requests and their answers, without the full reports of proxies that moved."""
    answers = kinds["answer news"][1] - kinds.get("in lives", (0.0, 0.0))[1]
    return max(0.0, answers) + kinds["in news"][1]


def door_table(runs: Runs) -> str:
    """Control traffic of one proxy at the target size, in B/s of the allowed 2,000."""
    by_name = {model.name: model for model in COST_MODELS if model.role == "registry"}
    ask, _ = placement_cost(runs)

    def each(name: str) -> float:
        model = by_name[name]
        slopes = fit_model(model, runs)
        return (
            fit.evaluate(slopes, model.row(TARGET_SIZE)) / proxies_per_registry(TARGET_SIZE)
            if slopes
            else float("nan")
        )

    per_day = UPDATES_PER_RESTART * (RESTARTS_PER_DAY + FAILURES_PER_DAY)
    rows = [
        ("held asks for news, quiet", "(law above) / (D/N)", each("quiet asks for news")),
        ("its word of each interval, and the totals", "(law above) / (D/N)", each("doors' words (count)")),
        (
            f"news of lives: {per_day:,.0f} a day, {update_cost_bytes(runs):,.0f} B each",
            "news x B / 86,400",
            update_cost_bytes(runs) * per_day / DAY_S,
        ),
        (
            "whole words: 760 a day, from two sources",
            "760 x (law above) / (D/N) / 86,400",
            each("a change of configuration") * CHANGES_PER_DAY / DAY_S,
        ),
        (
            f"a place, its answer and its end: {ask:,.0f} B",
            f"{TARGET_SIZE.requests_per_proxy:.1f} x B",
            ask * TARGET_SIZE.requests_per_proxy,
        ),
    ]
    lines = ["| a door's control | formula | B/s at the size | of 2,000 |", "| --- | --- | --- | --- |"]
    lines += [
        f"| {name} | {how} | {figure(value)} | {value / MAX_PROXY_BYTES_PER_S:.2g} |"
        for name, how, value in rows
    ]
    total = sum(value for *_, value in rows)
    lines.append(f"| **all** | | {figure(total)} | {total / MAX_PROXY_BYTES_PER_S:.2g} |")
    return "\n".join(lines)


def phases_table(runs: Runs) -> str:
    """Results of the start of all proxies at once and of a change of configuration."""
    lines = [
        "| run | doors, backends, registries | MB of configuration | acknowledged s | at all doors s | one by "
        "one s, unsettled | at once s, unsettled | registry's processor s at once | beats acknowledged |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name in SETTLING_RUNS | RUNS:
        if name in runs:
            size, phases = runs[name]["size"], runs[name]["phases"]
            in_turn, at_once, change = (
                phases["doors one by one"],
                phases["all doors at once"],
                phases["change"],
            )
            lines.append(
                f"| {name} | {size['doors']}, {size['backends']:,}, {size['registries']} "
                f"| {change['bytes'] / 1e6:.2f} | {figure(change['acknowledged_s'])} "
                f"| {figure(change.get('at_doors_s'))} | {figure(in_turn['seconds'])}, {in_turn['unsettled']} "
                f"| {figure(at_once['seconds'])}, {at_once['unsettled']} | {figure(at_once['registry']['cpu'])} "
                f"| {runs[name]['beats']['good']:.3f} |"
            )
    return "\n".join(lines)


def places_table(runs: Runs) -> str:
    """The compared placement strategies, with bytes by the measured placement."""
    if not PLACEMENT_RESULTS.exists():
        return "not run"
    rows = json.loads(PLACEMENT_RESULTS.read_text("utf-8"))
    ask, _ = placement_cost(runs)
    lines = [
        "| way | "
        + " | ".join(
            f"load {load}{', a tenth slow' if slow else ''}" for slow in (False, True) for load in (0.6, 0.8)
        )
        + " | B/s and door | of 2,000 |",
        "| --- |" + " --- |" * 6,
    ]
    for way, size in places.STRATEGIES.items():
        own = [row for row in rows if row["way"] == way]
        flips = own[0]["flips"]
        bytes_per_s = size(flips, ask)
        lines.append(
            f"| {way} | "
            + " | ".join(f"{row['worth']:.3f}" for row in own)
            + (
                f" | {figure(bytes_per_s)} | {bytes_per_s / MAX_PROXY_BYTES_PER_S:.2g} |"
                if bytes_per_s == bytes_per_s
                else " | - | - |"
            )
        )
    return "\n".join(lines)


def find_cost_model(role: str, name: str) -> CostModel:
    return next(model for model in COST_MODELS if (model.role, model.name) == (role, name))


def as_function(model: CostModel, runs: Runs) -> Callable[[Size], float]:
    """The cost model as a function of the size."""
    slopes = fit_model(model, runs)
    return lambda size: fit.evaluate(slopes, model.row(size)) if slopes else float("nan")


def events_table(runs: Runs) -> str:
    """Losses and restarts at the target size, with the current mechanisms."""
    start = as_function(find_cost_model("registry", "processor, when doors start"), runs)
    size = as_function(find_cost_model("registry", "all that is told when doors start"), runs)
    rows = events.loss_rows(
        update_cost_bytes(runs),
        start(TARGET_SIZE) / proxies_per_registry(TARGET_SIZE) / TARGET_SIZE.backends,
        start,
        size,
    )
    lines = [
        "| what goes | s until doors know | news at a door | B at a door | MB out of a registry "
        "| a registry's processor s |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)])


def read_s_per_mb(runs: Runs) -> float:
    """The s that a registry takes for one MB of configuration: the fastest first put without a retry."""
    times = [
        runs[name]["phases"]["first configuration"]["acknowledged_s"]
        / (runs[name]["phases"]["first configuration"]["bytes"] / 1e6)
        for name in FIT_RUNS
        if name in runs and runs[name]["phases"]["first configuration"]["tries"] == 1
    ]
    return min(times, default=float("nan"))


def breaks_table(runs: Runs) -> str:
    """The number of proxies at which each current mechanism reaches its limit."""
    versions = as_function(find_cost_model("registry", "doors' words (count)"), runs)(
        TARGET_SIZE
    ) / proxies_per_registry(TARGET_SIZE)
    rows = events.breaks_rows(
        placement_cost(runs)[0],
        versions,
        as_function(find_cost_model("registry", "sums of tenants and doors"), runs),
        lambda size: sum(
            as_function(find_cost_model("registry", name), runs)(size)
            for name in ("processor, beats alone", "processor, doors quiet, beyond beats")
        ),
        as_function(find_cost_model("registry", "processor, when doors start"), runs),
        read_s_per_mb(runs),
    )
    lines = ["| doors | mechanism | what it meets | what carries it then |", "| --- | --- | --- | --- |"]
    for name, limit, then, at in rows:
        doors = "any" if at <= 1 else f"{at:,}" if at < events.MAX_PROXY_COUNT else "none"
        lines.append(f"| {doors} | {name} | {limit} | {then} |")
    return "\n".join(lines)


def differences_table(runs: Runs) -> str:
    """The cost of differences and of complete configurations, and their load at a proxy."""
    if not DIFFERENCE_RESULTS.exists():
        return "not run"
    figures = json.loads(DIFFERENCE_RESULTS.read_text("utf-8"))
    lines = [
        f"`{figures['command']}`, {figures['program']}:",
        "",
        "| part of the size | whole B | difference B | whole, packed, to a new door B "
        "| read and tabled whole ms | taken, read and tabled by difference ms | longest slice ms "
        "| B/s at a door | of 2,000 | cores at a door | of 0.043 |",
        "| --- |" + " --- |" * 10,
    ]
    for row in figures["rows"]:
        ms, each = row["ms"], CHANGES_PER_DAY * row["share"] / DAY_S
        short = ms["take"] + ms["read"] + ms["table"]
        size = SOURCES_PER_PROXY * row["difference_bytes"] * each
        cores = short / 1000 * each
        lines.append(
            f"| {row['share']:g} | {row['bytes']:,} | {row['difference_bytes']:,} | {row['snapshot_bytes']:,} "
            f"| {figure(ms['whole read'] + ms['whole table'])} | {figure(short)} "
            f"| {figure(row['longest_slice_ms'])} "
            f"| {figure(size)} | {size / MAX_PROXY_BYTES_PER_S:.2g} "
            f"| {figure(cores)} | {cores / MAX_PROXY_CORES:.2g} |"
        )
    return "\n".join(lines)


def sweep_table(runs: Runs) -> str:
    """Predicted kB/s of a core machine in the bench's sweep by kind, and the measured total."""
    parts = [
        sweep.bytes_by_kind(
            day,
            lambda name: as_function(find_cost_model("registry", name), runs),
            update_cost_bytes(runs),
            placement_cost(runs)[0],
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
    """The current program compared with the joined parts of Control 1 at e5f8d29, at the same sizes."""
    lines = [
        "| run | program | change: B out of a registry | change: registry's processor s | at all doors s "
        "| door's processor s | doors one by one: B out of a registry | at once: s, unsettled |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    joined = load(JOINED_RESULTS)
    for name in joined:
        for program, figures in (("today", runs[name]), ("joined, a trial", joined[name])):
            phases = figures["phases"]
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
    """All tables, each under its name."""
    runs = load()
    return "\n\n".join(f"{name}\n\n{make(runs)}" for name, make in TABLES.items())


def fill_tables(text: str) -> str:
    """The text of the page with its tables replaced."""
    runs = load()
    for name, make in TABLES.items():
        begin, end = f"<!-- table {name} -->\n", "<!-- end -->"
        head, found, rest = text.partition(begin)
        if found:
            text = f"{head}{begin}{make(runs)}\n{end}{rest.partition(end)[2]}"
    return text


def write(path: Path = PAGE) -> None:
    path.write_text(fill_tables(path.read_text("utf-8")), "utf-8")
