"""Many doors' reports as one table: the stores that ask most over all of them. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

VERSION = 1  # of a report; a key that goes or changes its meaning counts up


class BadReport(ValueError):
    """What came is no report of this version; the text says what is wrong."""


@dataclass(slots=True)
class Row:
    """One store over all doors. Shares are of what all the doors were lately asked."""

    customer: str
    plan: str
    share: float = 0.0
    asked: int = 0
    sent: int = 0
    refused: int = 0
    wait: float = 0.0  # ms, over all that were sent
    longest: float = 0.0  # ms
    heeded: int = 0
    ignored: int = 0
    doors: list[str] = field(default_factory=list)

    @property
    def mean_wait(self) -> float | None:
        """ms; None where nothing was sent."""
        return self.wait / self.sent if self.sent else None


@dataclass(frozen=True, slots=True)
class Door:
    """One door's own figures. `queued` counts requests that wait; `given_way` those a bound has cost."""

    name: str
    queued: int
    bytes: int
    queues: int
    given_way: int
    out: int
    window: float
    asked: int
    sent: int
    refused: int
    heeded: int
    ignored: int


def read(told: object) -> tuple[Door, list[Row]]:
    """One report, checked. Raises `BadReport`."""
    if not isinstance(told, Mapping) or told.get("version") != VERSION:
        raise BadReport(f"no report of version {VERSION}")
    try:
        queue, seen, name = told["queue"], told["watch"], str(told["name"])
        door = Door(
            name,
            int(queue["entries"]),
            int(queue["bytes"]),
            int(queue["flows"]),
            int(queue["given_way"]),
            int(told["out"]),
            float(told["window"]),
            int(seen["asked"]),
            int(seen["sent"]),
            int(seen["refused"]),
            int(seen["advice_heeded"]),
            int(seen["advice_ignored"]),
        )
        rows = [
            Row(
                str(s["customer"]),
                str(s["plan_name"]),
                float(s["share"]),
                int(s["asked"]),
                int(s["sent"]),
                int(s["refused"]),
                float(s["mean_wait_ms"] or 0.0) * int(s["sent"]),
                float(s["longest_wait_ms"]),
                int(s["advice_heeded"]),
                int(s["advice_ignored"]),
                [name],
            )
            for s in seen["stores"]
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise BadReport(f"a report that cannot be read: {error!r}") from None
    return door, rows


def merge(reports: Iterable[tuple[Door, list[Row]]], count: int) -> list[Row]:
    """The `count` stores that ask most over these doors, the first first.

    Each door tells its own shares; they are weighed by what the door was asked in all, so that a busy door
    counts for more than an idle one.
    """
    found = list(reports)
    total = sum(door.asked for door, _ in found)
    made: dict[tuple[str, str], Row] = {}
    for door, rows in found:
        for row in rows:
            kept = made.setdefault((row.customer, row.plan), Row(row.customer, row.plan))
            kept.share += row.share * door.asked / total if total else 0.0
            kept.asked += row.asked
            kept.sent += row.sent
            kept.refused += row.refused
            kept.wait += row.wait
            kept.longest = max(kept.longest, row.longest)
            kept.heeded += row.heeded
            kept.ignored += row.ignored
            kept.doors += row.doors
    return sorted(made.values(), key=lambda row: (-row.share, row.customer, row.plan))[:count]
