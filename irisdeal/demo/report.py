"""The report of a demo as JSON values."""

from __future__ import annotations

from typing import Any

from irisdeal.demo.run import Outcome
from irisdeal.testbed.audit import Rule
from irisdeal.testbed.service_report import MannerUse

VERSION = 1  # of the JSON format; incremented when a key is removed or changes its meaning


def as_json(outcome: Outcome) -> dict[str, Any]:
    """Return the outcome as plain values; shares from 0 to 1, times in s unless a key names its unit."""
    day, verdict = outcome.day, outcome.verdict
    return {
        "version": VERSION,
        "scenario": day.scenario.name,
        "seed": day.seed,
        "schedule": day.digest(),
        "doors": day.scenario.front_doors,
        "boxes": day.scenario.fleet.backends,
        "seconds": day.scenario.seconds,
        "interrupted_after": outcome.interrupted,
        "service": _service(outcome),
        "doors_used": _front_doors(outcome),
        "stores": _tenants(outcome),
        "by_manner": {name: _manner(use) for name, use in outcome.manners.items()},
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


def _service(outcome: Outcome) -> dict[str, Any]:
    service = outcome.service
    return {
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
    }


def _front_doors(outcome: Outcome) -> list[dict[str, Any]]:
    requests = _requests(outcome)
    found = []
    for number, use in enumerate(outcome.uses):
        processes = [each for each in outcome.request_log.front_doors if each.front_door == number]
        per_request = round(use.cpu / requests[number]) if use.cpu and requests[number] else None
        found.append(
            {
                "door": number,
                "pids": [process.pid for process in processes],
                "requests": requests[number],
                "cpu_us_per_request": per_request,
                "memory_bytes": use.memory,
                "descriptors": use.files,
            }
        )
    return found


def _tenants(outcome: Outcome) -> list[dict[str, Any]]:
    return [
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
    ]


def _manner(use: MannerUse) -> dict[str, Any]:
    return {
        "stores": use.tenants,
        "asks": use.requests,
        "inside": use.inside,
        "inside_unserved": use.unserved,
        "inside_late": use.late,
        "p50_ms": use.percentile(0.5),
        "p99_ms": use.percentile(0.99),
    }


def _requests(outcome: Outcome) -> list[int]:
    counts = [0] * outcome.day.scenario.front_doors
    for client_attempt in outcome.request_log.client_attempts:
        counts[client_attempt.front_door] += bool(client_attempt.at)
    return counts
