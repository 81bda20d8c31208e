"""What a decision module knows, as plain values for the process that takes over, and back.

Rules that this file keeps:

1. A field is taken over only if it is a finite number within its bounds; one that is not leaves what a fresh
   module would have. So a record of another make costs knowledge, never a start.
2. Times are Unix µs of one machine's clock; one that lies in the future counts as now.
3. What must not be had twice is given away: a ceiling's store in halves, what is owed to the counter whole.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace
from itertools import islice
from typing import Any

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import RequestArrived
from irisdeal.front_door.decisions.records import Server
from irisdeal.front_door.decisions.tenant import Tenant

MOST_CUSTOMERS = 4_096
MOST_SENT = 1_000  # entries of the work sent to one cold backend: as many as the module keeps
BOUND = 1e12  # no amount of ours comes near it
MOST_TIME = 1 << 62  # µs, and numbers of turns and names: what eight bytes hold

# Keys of the handover's JSON, which older processes write and read, to attributes.
SERVER = {"others": "others_in_flight", "slow": "relative_duration"}
SERVER_TIMES = {
    "last_good": "last_success_at",
    "told_at": "load_reported_at",
    "last_sent": "last_sent_at",
    "due": "first_use_at",
}
SERVER_WHOLE = {"turn": "open_turn", "turned": "last_turn_used"}
CUSTOMER = {
    "left": "burst_left",
    "mine": "local_demand",
    "owed": "unreported_demand",
    "total": "total_demand",
    "mine_then": "local_demand_at_total",
    "raw": "counter_total",
    "base": "base_demand",
    "credit": "admission_credit",
    "store": "ceiling_tokens",
    "ceiling_rate": "ceiling_rate_per_us",
    "ceiling_most": "ceiling_capacity",
}
CUSTOMER_TIMES = {
    "store_at": "refilled_at",
    "asked_at": "last_request_at",
    "told_at": "total_known_at",
    "since": "base_demand_at",
}
CUSTOMER_WHOLE = {"told_index": "name_index", "bound": "local_max_in_flight"}
ACCOUNT_KEYS = {
    "drawn": "claimed",
    "carried": "carried_over",
    "much": "excess_rate_per_s",
    "mine": "local_demand",
    "alone": "local_allowance",
}
ACCOUNT_TIME_KEYS = {
    "heard_at": "total_known_at",
    "mine_at": "local_demand_at",
    "alone_at": "local_allowance_at",
}
ACCOUNT_INTEGER_KEYS = {"index": "slot_index", "much_in": "excess_slot"}
COUNTER_OVERLOAD_KEYS = {"crowded": "attempts_per_claim", "silent": "unanswered_share"}
GATEWAY = {
    "service": "service_time_us",
    "value": "mean_value_per_us",
    "again": "retry_budget",
    "strain": "counter_backoff_factor",
}
Names = dict[str, str]


def export_state(gateway: Gateway, now: int, share: float) -> dict[str, Any]:
    """What is known, for the new process; `share` of each ceiling's store goes with it.

    The gateway no longer owes the counter what it has told; the caller tells it `Shared`, with the rest.
    """
    for customer in gateway.tenants.values():
        customer.refill(now)
    customers = list(islice(reversed(gateway.tenants.items()), MOST_CUSTOMERS))
    told = {
        "now": now,
        "born": gateway.started_at,
        "usual": gateway.mean_duration_us,
        "quickest": gateway.min_duration_us,
        "window": gateway.window / gateway.usual_window,
        "gateway": _values(gateway, GATEWAY),
        "crowding": _values(gateway.counter_overload, COUNTER_OVERLOAD_KEYS),
        "barred": [[_text(key), since] for key, since in gateway.disabled_servers.items()],
        "servers": [_server(gateway, key, server) for key, server in gateway.servers.items()],
        "customers": [_customer(key, customer, share) for key, customer in reversed(customers)],
    }
    for customer in gateway.tenants.values():
        customer.unreported_demand = 0.0  # told to the counter once, by the new one
    return told


def import_state(told: dict[str, Any], gateway: Gateway, now: int) -> int:
    """Take over what `pack` told, after the list and `Shared` were told; how many customers are known.

    The caller tells `Barred` for each of `gateway.barred` behind it.

    ValueError where it is no such state at all.
    """
    if not isinstance(told.get("servers"), list) or not isinstance(told.get("customers"), list):
        raise ValueError("no state: wanted servers and customers")
    gateway.started_at = min(now, _whole(told.get("born"), gateway.started_at))
    for own, name in ((gateway.mean_duration_us, "usual"), (gateway.min_duration_us, "quickest")):
        if isinstance(values := told.get(name), list) and len(values) == len(own):
            own[:] = [_number(value, old, 0.0) for value, old in zip(values, own, strict=True)]
    gateway.window = gateway.usual_window * _number(told.get("window"), 1.0, 1e-3)
    _take(gateway, told.get("gateway"), GATEWAY)
    _take(gateway.counter_overload, told.get("crowding"), COUNTER_OVERLOAD_KEYS)
    for one in _lists(told.get("barred"), 2):
        gateway.disabled_servers[_bytes(one[0])] = min(now, _whole(one[1], now))
    for one in told["servers"]:
        if isinstance(one, dict) and (server := gateway.servers.get(_bytes(one.get("id")))) is not None:
            _take_server(one, gateway, server, now)
    count = 0
    for one in told["customers"][-MOST_CUSTOMERS:]:
        if isinstance(one, dict):
            count += _take_customer(one, gateway, now)
    return count


def _server(gateway: Gateway, key: bytes, server: Server) -> dict[str, Any]:
    plans = gateway.settings.plans
    bad = [[-1 if plan is None else plans.index(plan), value] for plan, value in server.failure_rates.items()]
    return {
        "id": _text(key),
        "started": server.entry.started_at,
        "bad": bad,
        "sent": list(server.cold_work_sent),
        **_values(server, {**SERVER, **SERVER_TIMES, **SERVER_WHOLE}),
    }


def _take_server(told: dict[str, Any], gateway: Gateway, server: Server, now: int) -> None:
    _take(server, told, SERVER)
    _take_times(server, told, SERVER_TIMES, now)
    _take_whole(server, told, SERVER_WHOLE)
    started = min(now, _whole(told.get("started"), server.listed_started_at))
    if started > server.listed_started_at:  # held to be colder than the list says
        server.entry = replace(server.entry, started_at=started)
    plans = gateway.settings.plans
    for plan, value in _lists(told.get("bad"), 2):
        if isinstance(plan, int) and -1 <= plan < len(plans):
            server.failure_rates[None if plan < 0 else plans[plan]] = min(1.0, _number(value, 0.0, 0.0))
    for at, work in list(_lists(told.get("sent"), 2))[-MOST_SENT:]:
        server.cold_work_sent.append((min(now, _whole(at, now)), _number(work, 0.0, 0.0)))


def _customer(key: tuple[int, int], customer: Tenant, share: float) -> dict[str, Any]:
    told = {
        "customer": key[0],
        "plan": key[1],
        "ways": customer.gateway_count,
        **_values(customer, {**CUSTOMER, **CUSTOMER_TIMES, **CUSTOMER_WHOLE}),
    }
    for name in ("store", "ceiling_rate", "ceiling_most"):
        told[name] *= share
    if (account := customer.quota_account) is not None:
        told["account"] = _values(account, {**ACCOUNT_KEYS, **ACCOUNT_TIME_KEYS, **ACCOUNT_INTEGER_KEYS})
    return told


def _take_customer(told: dict[str, Any], gateway: Gateway, now: int) -> bool:
    settings = gateway.settings
    number, plan, ways = (told.get(name) for name in ("customer", "plan", "ways"))
    if not (
        isinstance(number, int)
        and 0 <= number < 2**33
        and isinstance(plan, int)
        and 0 <= plan < len(settings.plans)
        and isinstance(ways, int)
        and 1 <= ways <= settings.gateway_count
    ):
        return False
    event = RequestArrived(0, number, plan, 0, 0, 0.0, settings.rank, ways)
    customer = Tenant(event, settings, now, gateway.started_at, gateway.ceiling_share)
    most = customer.ceiling_capacity
    _take(customer, told, CUSTOMER)
    customer.ceiling_capacity = max(
        0.0, min(most, customer.ceiling_capacity)
    )  # never more than a part of the plan's
    customer.ceiling_rate_per_us = max(
        0.0, min(settings.plans[plan].ceiling_rate_per_s / 1e6, customer.ceiling_rate_per_us)
    )
    customer.ceiling_tokens = min(customer.ceiling_capacity, customer.ceiling_tokens)
    _take_times(customer, told, CUSTOMER_TIMES, now)
    _take_whole(customer, told, CUSTOMER_WHOLE)
    customer.local_max_in_flight = (
        max(1, customer.local_max_in_flight) if settings.plans[plan].max_in_flight else 0
    )
    if customer.quota_account is not None and isinstance(one := told.get("account"), dict):
        _take(customer.quota_account, one, ACCOUNT_KEYS)
        _take_times(customer.quota_account, one, ACCOUNT_TIME_KEYS, now)
        _take_whole(customer.quota_account, one, ACCOUNT_INTEGER_KEYS)
    gateway.tenants[(number, plan)] = customer
    return True


def _attributes(names: Names) -> Iterable[tuple[str, str]]:
    """Pairs of a key in the JSON and the attribute that it stands for."""
    return names.items()


def _values(owner: object, names: Names) -> dict[str, Any]:
    return {key: getattr(owner, name) for key, name in _attributes(names)}


def _take(owner: object, told: object, names: Names) -> None:
    if isinstance(told, dict):
        for key, name in _attributes(names):
            setattr(owner, name, _number(told.get(key), getattr(owner, name)))


def _take_times(owner: object, told: dict[str, Any], names: Names, now: int) -> None:
    for key, name in _attributes(names):
        setattr(owner, name, max(-1, min(now, _whole(told.get(key), getattr(owner, name)))))


def _take_whole(owner: object, told: dict[str, Any], names: Names) -> None:
    for key, name in _attributes(names):
        setattr(owner, name, _whole(told.get(key), getattr(owner, name)))


def _number(value: object, otherwise: float, least: float = -BOUND) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return otherwise
    return float(value) if math.isfinite(value) and least <= value <= BOUND else otherwise


def _whole(value: object, otherwise: int) -> int:
    whole = isinstance(value, int) and not isinstance(value, bool) and abs(value) < MOST_TIME
    return value if whole and isinstance(value, int) else otherwise


def _lists(value: object, length: int) -> Iterable[list[Any]]:
    for one in value if isinstance(value, list) else ():
        if isinstance(one, list) and len(one) == length:
            yield one


def _text(key: bytes) -> str:
    return key.decode("latin-1")


def _bytes(value: object) -> bytes:
    return value.encode("latin-1", "ignore") if isinstance(value, str) else b""
