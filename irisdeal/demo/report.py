"""What a demo says: one structure for machines, and the same in tables for people."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table

from irisdeal.demo.run import Outcome
from irisdeal.testbed.audit import Rule

VERSION = 1  # of the JSON form; a key that goes or changes its meaning counts up


def as_json(outcome: Outcome) -> dict[str, Any]:
    """Return the outcome as plain values; shares from 0 to 1, times in s unless a key names its unit."""
    service, day, verdict = outcome.service, outcome.day, outcome.verdict
    requests = _requests(outcome)
    return {
        "version": VERSION,
        "scenario": day.scenario.name,
        "seed": day.seed,
        "schedule": day.digest(),
        "doors": day.scenario.front_doors,
        "boxes": day.scenario.fleet.backends,
        "seconds": day.scenario.seconds,
        "interrupted_after": outcome.interrupted,
        "service": {
            "by_capacity_alone": outcome.reference,
            "whole": service.total.share,
            "worst_10s": service.worst,
            "worst_10s_at": service.worst_at,
            "by_class": {name: share.share for name, share in service.kinds.items()},
            "by_plan": {name: share.share for name, share in service.plans.items()},
            "beyond_quota": service.beyond_units,
            "inside_per_s": service.inside_per_s,
            "first_tries": service.first_attempts,
            "tries": service.client_attempts,
            "attempts": service.attempts,
            "refused": service.refused,
            "failed": service.failed,
            "p50_ms": service.percentile(0.5),
            "p99_ms": service.percentile(0.99),
        },
        "doors_used": [
            {
                "door": n,
                "pids": [
                    incarnation.pid
                    for incarnation in outcome.request_log.front_doors
                    if incarnation.front_door == n
                ],
                "requests": requests[n],
                "cpu_us_per_request": round(use.cpu / requests[n]) if use.cpu and requests[n] else None,
                "memory_bytes": use.memory,
                "descriptors": use.files,
            }
            for n, use in enumerate(outcome.uses)
        ],
        "stores": [
            {
                "plan": use.plan,
                "customer": f"{use.customer:016x}",
                "units_sent": use.sent,
                "units_allowed": use.allowed,
                "overshoot_units": use.overshoot,
                "worst_at": (use.worst_at - outcome.start) / 1e6 if use.worst_at else None,
                "doors": use.front_doors,
            }
            for use in outcome.tenants
        ],
        "by_manner": {
            name: {
                "stores": use.tenants,
                "asks": use.asks,
                "inside": use.inside,
                "inside_unserved": use.unserved,
                "inside_late": use.late,
                "p50_ms": use.percentile(0.5),
                "p99_ms": use.percentile(0.99),
            }
            for name, use in outcome.manners.items()
        },
        "keeper_calls": outcome.counter_calls,
        "standins": {
            "cpu_s": outcome.own_cpu / 1e6,
            "late_ms": outcome.lateness / 1000,
            "late_at_start_or_end_ms": outcome.request_log.lateness / 1000,
        },
        "faults": [
            {"at": (at - outcome.start) / 1e6, "what": text} for at, text in outcome.request_log.faults
        ],
        "crashes": outcome.crashes,
        "rules": {
            rule.name.lower(): {
                "kept": not verdict.counts[rule],
                "breaches": verdict.counts[rule],
                "looked_at": verdict.checked[rule],
            }
            for rule in Rule
        },
        "strangers": outcome.request_log.misbehaving_clients,
        "excused": verdict.excused,
        "breaches": [breach.text(outcome.start) for breach in verdict.breaches],
        "kept": outcome.kept,
    }


def _requests(outcome: Outcome) -> list[int]:
    counts = [0] * outcome.day.scenario.front_doors
    for client_attempt in outcome.request_log.client_attempts:
        counts[client_attempt.front_door] += bool(client_attempt.at)
    return counts


def show(outcome: Outcome, console: Console, tenants: int = 5) -> None:
    """Print the tables, with `tenants` of those that exceeded their quotas most."""
    told = as_json(outcome)
    scenario, service = outcome.day.scenario, told["service"]
    if outcome.interrupted is not None:
        console.print(f"[bold]Interrupted after {outcome.interrupted:.1f} s.[/] What was measured till then:")
    console.print(
        f"[bold]{scenario.name}[/]: {scenario.front_doors} doors, {scenario.fleet.backends} boxes, "
        f"{scenario.seconds:g} s, seed {outcome.day.seed} (schedule {told['schedule']})"
    )
    table = Table(title="Worth answered in time, of the worth asked inside the quotas", title_justify="left")
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
    console.print(f"The boxes' capacity alone would allow {service['by_capacity_alone']:.3f} of it.")
    console.print(
        f"Served inside the quotas: {service['inside_per_s']:.1f} requests a second. Sent on beyond quotas: "
        f"{100 * service['beyond_quota']:.1f}% of the units.\n"
        f"{service['first_tries']} first tries, {service['tries']} tries, {service['attempts']} attempts; "
        f"{service['refused']} refused, {service['failed']} failed; served in {service['p50_ms']:.0f} ms "
        f"(median), {service['p99_ms']:.0f} ms (99th percentile)."
    )
    table = Table(title="By how stores ask, over all tries of an ask", title_justify="left")
    for name in (
        "stores that are",
        "count",
        "asks",
        "inside quota",
        "of them unserved",
        "late",
        "p50 ms",
        "p99 ms",
    ):
        table.add_column(name, justify="left" if name == "stores that are" else "right")
    for name, use in told["by_manner"].items():
        table.add_row(
            name,
            *(str(use[key]) for key in ("stores", "asks", "inside", "inside_unserved", "inside_late")),
            f"{use['p50_ms']:.0f}",
            f"{use['p99_ms']:.0f}",
        )
    console.print(table)
    table = Table(title="Doors", title_justify="left")
    for name in ("door", "requests", "CPU µs a request", "memory MB", "descriptors"):
        table.add_column(name, justify="right")
    for use in told["doors_used"]:
        memory = use["memory_bytes"]
        table.add_row(
            str(use["door"]),
            str(use["requests"]),
            _or_dash(use["cpu_us_per_request"]),
            _or_dash(None if memory is None else f"{memory / 1e6:.0f}"),
            _or_dash(use["descriptors"]),
        )
    console.print(table)
    if tenants:
        over = sum(use.overshoot > 0 for use in outcome.tenants)
        title = (
            f"Over their quotas by the boxes' books: {over} of {len(outcome.tenants)} stores; the furthest"
        )
        table = Table(title=title, title_justify="left")
        for name in ("store", "plan", "units sent", "allowed", "most over in any span", "at s", "doors"):
            table.add_column(name, justify="left" if name in ("store", "plan") else "right")
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
    for fault in told["faults"]:
        console.print(f"{fault['at']:7.2f} s  {fault['what']}")
    if told["strangers"]:
        ends = ", ".join(f"{count} {name}" for name, count in sorted(told["strangers"].items()))
        console.print(f"Connections of no store: {ends}.")
    table = Table(title="The five rules, by the stand-ins' books", title_justify="left")
    for name, side in (("rule", "left"), ("", "left"), ("breaches", "right"), ("looked at", "right")):
        table.add_column(name, justify=side)  # type: ignore[arg-type]
    for rule in Rule:
        judged = told["rules"][rule.name.lower()]
        table.add_row(
            rule.value,
            "[green]kept[/]" if judged["kept"] else "[bold red]BROKEN[/]",
            str(judged["breaches"]),
            str(judged["looked_at"]),
        )
    console.print(table)
    if told["excused"]:
        console.print(f"{told['excused']} tries were with a door when it was killed: the client's to retry.")
    for text in (*told["breaches"], *told["crashes"]):
        console.print(f"[red]{text}[/]", highlight=False)
    if told["standins"]["late_ms"] > 50:
        late = told["standins"]["late_ms"]
        console.print(
            f"The stand-ins ran up to {late:.0f} ms late, so this machine is busy; the rules' time "
            "limits were taken longer where that fell into them."
        )


def _or_dash(value: object) -> str:
    return "-" if value is None else str(value)
