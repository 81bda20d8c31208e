"""Reports of many front doors as one table: the accounts with most demand over all of them. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

VERSION = 1  # of a report; incremented when a key is removed or changes its meaning


class InvalidReportError(ValueError):
    """The input is no report of this version; the text names the fault."""


@dataclass(slots=True)
class AccountSummary:
    """One account over all front doors. Shares are of the recent demand at all of them."""

    account_id: str
    plan: str
    share: float = 0.0
    received: int = 0
    sent: int = 0
    rejected: int = 0
    total_wait_ms: float = 0.0  # over all that were sent
    max_wait_ms: float = 0.0
    retries_in_time: int = 0
    retries_early: int = 0
    front_doors: list[str] = field(default_factory=list)

    @property
    def mean_wait_ms(self) -> float | None:
        """The mean wait in ms; None where nothing was sent."""
        return self.total_wait_ms / self.sent if self.sent else None

    def as_json(self) -> dict[str, object]:
        """Return the values under the keys of `irisdeal queues top`, which users read."""
        return {
            "customer": self.account_id,
            "plan": self.plan,
            "share": self.share,
            "asked": self.received,
            "sent": self.sent,
            "refused": self.rejected,
            "wait": self.mean_wait_ms,
            "longest": self.max_wait_ms,
            "heeded": self.retries_in_time,
            "ignored": self.retries_early,
            "doors": list(self.front_doors),
        }


@dataclass(frozen=True, slots=True)
class FrontDoorSummary:
    """One front door's own figures. `dropped` counts the requests that a bound of the queue has dropped."""

    name: str
    waiting: int
    waiting_bytes: int
    flows: int
    dropped: int
    in_flight: int
    window: float
    received: int
    sent: int
    rejected: int
    retries_in_time: int
    retries_early: int

    def as_json(self) -> dict[str, object]:
        """Return the values under the keys of `irisdeal queues top`, which users read."""
        return {
            "name": self.name,
            "queued": self.waiting,
            "bytes": self.waiting_bytes,
            "queues": self.flows,
            "given_way": self.dropped,
            "out": self.in_flight,
            "window": self.window,
            "asked": self.received,
            "sent": self.sent,
            "refused": self.rejected,
            "heeded": self.retries_in_time,
            "ignored": self.retries_early,
        }


def parse_report(value: object) -> tuple[FrontDoorSummary, list[AccountSummary]]:
    """Return a decoded report's figures, checked. Raises `InvalidReportError`."""
    if not isinstance(value, Mapping) or value.get("version") != VERSION:
        raise InvalidReportError(f"no report of version {VERSION}")
    try:
        front_door = _parse_front_door(value)
        accounts = [_parse_account(account, front_door.name) for account in value["watch"]["stores"]]
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidReportError(f"a report that cannot be read: {error!r}") from None
    return front_door, accounts


def _parse_front_door(value: Mapping[str, object]) -> FrontDoorSummary:
    queue, statistics = _mapping(value["queue"]), _mapping(value["watch"])
    return FrontDoorSummary(
        name=str(value["name"]),
        waiting=_int(queue["entries"]),
        waiting_bytes=_int(queue["bytes"]),
        flows=_int(queue["flows"]),
        dropped=_int(queue["given_way"]),
        in_flight=_int(value["out"]),
        window=_float(value["window"]),
        received=_int(statistics["asked"]),
        sent=_int(statistics["sent"]),
        rejected=_int(statistics["refused"]),
        retries_in_time=_int(statistics["advice_heeded"]),
        retries_early=_int(statistics["advice_ignored"]),
    )


def _parse_account(value: object, front_door: str) -> AccountSummary:
    account = _mapping(value)
    sent = _int(account["sent"])
    return AccountSummary(
        account_id=str(account["customer"]),
        plan=str(account["plan_name"]),
        share=_float(account["share"]),
        received=_int(account["asked"]),
        sent=sent,
        rejected=_int(account["refused"]),
        total_wait_ms=_float(account["mean_wait_ms"] or 0.0) * sent,
        max_wait_ms=_float(account["longest_wait_ms"]),
        retries_in_time=_int(account["advice_heeded"]),
        retries_early=_int(account["advice_ignored"]),
        front_doors=[front_door],
    )


def _mapping(value: object) -> Mapping[str, object]:
    if not isinstance(value, Mapping):
        raise TypeError(f"{value!r}: wanted an object")
    return value


def _int(value: object) -> int:
    if not isinstance(value, int | float | str):
        raise TypeError(f"{value!r}: wanted a number")
    return int(value)


def _float(value: object) -> float:
    if not isinstance(value, int | float | str):
        raise TypeError(f"{value!r}: wanted a number")
    return float(value)


def top_accounts(
    reports: Iterable[tuple[FrontDoorSummary, list[AccountSummary]]], count: int
) -> list[AccountSummary]:
    """Return the `count` accounts with most demand over these front doors, in descending order.

    Each front door reports shares of its own demand; they are weighted by that demand, so that a busy front door
    counts for more than an idle one.
    """
    all_reports = list(reports)
    total_received = sum(front_door.received for front_door, _ in all_reports)
    merged: dict[tuple[str, str], AccountSummary] = {}
    for front_door, accounts in all_reports:
        for account in accounts:
            key = (account.account_id, account.plan)
            summary = merged.setdefault(key, AccountSummary(account.account_id, account.plan))
            if total_received:
                summary.share += account.share * front_door.received / total_received
            _add(summary, account)
    return sorted(merged.values(), key=lambda row: (-row.share, row.account_id, row.plan))[:count]


def _add(summary: AccountSummary, account: AccountSummary) -> None:
    """Add an account's counters at one front door, all but the share."""
    summary.received += account.received
    summary.sent += account.sent
    summary.rejected += account.rejected
    summary.total_wait_ms += account.total_wait_ms
    summary.max_wait_ms = max(summary.max_wait_ms, account.max_wait_ms)
    summary.retries_in_time += account.retries_in_time
    summary.retries_early += account.retries_early
    summary.front_doors += account.front_doors
