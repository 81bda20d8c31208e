"""The report of a demo as text tables."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table

from irisdeal.demo.report import as_json
from irisdeal.demo.run import Outcome
from irisdeal.testbed.audit import Rule

MIN_REPORTED_LAG_MS = 50  # stalls of the testbed's event loop above this are reported
Report = dict[str, Any]  # as `as_json` gives it


def show(outcome: Outcome, console: Console, tenants: int = 5) -> None:
    """Print the tables, including the `tenants` tenants with the largest overshoot."""
    report = as_json(outcome)
    _show_heading(outcome, report, console)
    _show_service(report, console)
    _show_manners(report, console)
    _show_front_doors(report, console)
    if tenants:
        _show_tenants(outcome, tenants, console)
    _show_faults(report, console)
    _show_rules(report, console)
    _show_remarks(report, console)


def _show_heading(outcome: Outcome, report: Report, console: Console) -> None:
    scenario = outcome.day.scenario
    if outcome.interrupted is not None:
        console.print(f"[bold]Interrupted after {outcome.interrupted:.1f} s.[/] Results up to then:")
    console.print(
        f"[bold]{scenario.name}[/]: {scenario.front_doors} front doors, {scenario.fleet.backends} backends, "
        f"{scenario.seconds:g} s, seed {outcome.day.seed} (schedule {report['schedule']})"
    )


def _show_service(report: Report, console: Console) -> None:
    service = report["service"]
    table = Table(
        title="Value served in time, as a share of the value offered within quotas", title_justify="left"
    )
    for name in ("whole", "worst 10 s", *service["by_class"], *service["by_plan"]):
        table.add_column(name, justify="right")
    table.add_row(
        *(
            f"{value:.3f}"
            for value in (
                service["whole"],
                service["worst_10s"],
                *service["by_class"].values(),
                *service["by_plan"].values(),
            )
        )
    )
    console.print(table)
    console.print(f"The backends' capacity alone would allow a share of {service['by_capacity_alone']:.3f}.")
    console.print(
        f"Served within quotas: {service['inside_per_s']:.1f} requests a second. Forwarded beyond quotas: "
        f"{100 * service['beyond_quota']:.1f}% of the units.\n"
        f"{service['first_tries']} requests, {service['tries']} client attempts, "
        f"{service['attempts']} backend attempts; {service['refused']} rejected, "
        f"{service['failed']} failed; served in {service['p50_ms']:.0f} ms (median), "
        f"{service['p99_ms']:.0f} ms (99th percentile)."
    )


def _show_manners(report: Report, console: Console) -> None:
    table = Table(title="By tenant behavior, over all attempts of a request", title_justify="left")
    for name in (
        "tenants",
        "count",
        "requests",
        "within quota",
        "of them unserved",
        "late",
        "p50 ms",
        "p99 ms",
    ):
        table.add_column(name, justify="left" if name == "tenants" else "right")
    for name, use in report["by_manner"].items():
        table.add_row(
            name,
            *(str(use[key]) for key in ("stores", "asks", "inside", "inside_unserved", "inside_late")),
            f"{use['p50_ms']:.0f}",
            f"{use['p99_ms']:.0f}",
        )
    console.print(table)


def _show_front_doors(report: Report, console: Console) -> None:
    table = Table(title="Front doors", title_justify="left")
    for name in ("door", "requests", "CPU µs a request", "memory MB", "descriptors"):
        table.add_column(name, justify="right")
    for use in report["doors_used"]:
        memory = use["memory_bytes"]
        table.add_row(
            str(use["door"]),
            str(use["requests"]),
            _or_dash(use["cpu_us_per_request"]),
            _or_dash(None if memory is None else f"{memory / 1e6:.0f}"),
            _or_dash(use["descriptors"]),
        )
    console.print(table)


def _show_tenants(outcome: Outcome, tenants: int, console: Console) -> None:
    over = sum(use.overshoot > 0 for use in outcome.tenants)
    title = f"Over their quotas by the backends' logs: {over} of {len(outcome.tenants)} tenants; the largest"
    table = Table(title=title, title_justify="left")
    for name in (
        "tenant",
        "plan",
        "units sent",
        "allowed",
        "largest excess in any span",
        "at s",
        "front doors",
    ):
        table.add_column(name, justify="left" if name in ("tenant", "plan") else "right")
    for use in outcome.tenants[:tenants]:
        at = f"{(use.worst_at - outcome.start) / 1e6:.1f}" if use.worst_at else "-"
        table.add_row(
            f"{use.customer:09x}",
            use.plan,
            f"{use.sent:g}",
            f"{use.allowed:.0f}",
            f"{use.overshoot:.1f}",
            at,
            str(use.front_doors),
        )
    console.print(table)


def _show_faults(report: Report, console: Console) -> None:
    for fault in report["faults"]:
        console.print(f"{fault['at']:7.2f} s  {fault['what']}")
    if report["strangers"]:
        ends = ", ".join(f"{count} {name}" for name, count in sorted(report["strangers"].items()))
        console.print(f"Connections of misbehaving clients: {ends}.")


def _show_rules(report: Report, console: Console) -> None:
    table = Table(title="The five rules, by the test services' request logs", title_justify="left")
    for name, side in (("rule", "left"), ("", "left"), ("breaches", "right"), ("checked", "right")):
        table.add_column(name, justify=side)  # type: ignore[arg-type]
    for rule in Rule:
        judged = report["rules"][rule.name.lower()]
        table.add_row(
            rule.value,
            "[green]kept[/]" if judged["kept"] else "[bold red]BROKEN[/]",
            str(judged["breaches"]),
            str(judged["looked_at"]),
        )
    console.print(table)


def _show_remarks(report: Report, console: Console) -> None:
    if report["excused"]:
        console.print(
            f"{report['excused']} attempts were pending at a front door when it was killed; they are excused."
        )
    for text in (*report["breaches"], *report["crashes"]):
        console.print(f"[red]{text}[/]", highlight=False)
    if report["standins"]["late_ms"] > MIN_REPORTED_LAG_MS:
        late = report["standins"]["late_ms"]
        console.print(
            f"The test services ran up to {late:.0f} ms late, so this machine is busy; time limits of the rules "
            "were extended by the lag within them."
        )


def _or_dash(value: object) -> str:
    return "-" if value is None else str(value)
