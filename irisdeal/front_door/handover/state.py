"""Export of a decision module's state for the process that takes over, and its import. No I/O.

The rules:

1. A field is imported only if it is a finite number within its bounds; otherwise the fresh module's value stays.
   So a record of another version costs knowledge, but never prevents a start.
2. Times are Unix µs of the clock of one machine; a time in the future counts as now.
3. What must not be used twice is moved, not copied: the tokens of a ceiling are split in halves, and the demand
   that is not yet reported to the counter service goes to the new process as a whole.
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

MAX_TENANTS = 4_096
MAX_COLD_WORK_ENTRIES = 1_000  # per cold backend: as many as the decision module keeps
MAX_NUMBER = 1e12  # far beyond any real amount
MAX_INTEGER = 1 << 62  # times in µs, and numbers of slots, names and turns: they fit in eight bytes
MIN_WINDOW_RATIO = 1e-3  # of the usual window
TENANT_NUMBER_LIMIT = 2**33

# Keys of the handover's JSON, which older processes write and read, to attributes.
SERVER_KEYS = {"others": "others_in_flight", "slow": "relative_duration"}
SERVER_TIME_KEYS = {
    "last_good": "last_success_at",
    "told_at": "load_reported_at",
    "last_sent": "last_sent_at",
    "due": "first_use_at",
}
SERVER_INTEGER_KEYS = {"turn": "open_turn", "turned": "last_turn_used"}
TENANT_KEYS = {
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
TENANT_TIME_KEYS = {
    "store_at": "refilled_at",
    "asked_at": "last_request_at",
    "told_at": "total_known_at",
    "since": "base_demand_at",
}
TENANT_INTEGER_KEYS = {"told_index": "name_index", "bound": "local_max_in_flight"}
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
GATEWAY_KEYS = {
    "service": "service_time_us",
    "value": "mean_value_per_us",
    "again": "retry_budget",
    "strain": "counter_backoff_factor",
}
KeyMap = dict[str, str]


def export_state(gateway: Gateway, now: int, share: float) -> dict[str, Any]:
    """Return the gateway's state for the new process, with `share` of the tokens of each ceiling.

    The demand that is not yet reported is handed over and cleared here. The caller then reduces this gateway's
    own share of the ceilings by `CeilingShareChanged`.
    """
    for tenant in gateway.tenants.values():
        tenant.refill(now)
    tenants = list(islice(reversed(gateway.tenants.items()), MAX_TENANTS))
    state = {
        "now": now,
        "born": gateway.started_at,
        "usual": gateway.mean_duration_us,
        "quickest": gateway.min_duration_us,
        "window": gateway.window / gateway.usual_window,
        "gateway": _export_fields(gateway, GATEWAY_KEYS),
        "crowding": _export_fields(gateway.counter_overload, COUNTER_OVERLOAD_KEYS),
        "barred": [[_bytes_to_text(key), since] for key, since in gateway.disabled_servers.items()],
        "servers": [_export_server(gateway, key, server) for key, server in gateway.servers.items()],
        "customers": [_export_tenant(key, tenant, share) for key, tenant in reversed(tenants)],
    }
    for tenant in gateway.tenants.values():
        tenant.unreported_demand = 0.0  # the new process reports it to the counter service
    return state


def import_state(state: dict[str, Any], gateway: Gateway, now: int) -> int:
    """Import what `export_state` returned; return the number of imported tenants.

    The gateway must have received the server list and `CeilingShareChanged` before. Afterwards the caller sends
    it `ServerAdminStateChanged` for each of `gateway.disabled_servers`.

    Raises ValueError where the state lacks its lists of servers and customers.
    """
    if not isinstance(state.get("servers"), list) or not isinstance(state.get("customers"), list):
        raise ValueError("not a handover state: wanted lists of servers and customers")
    gateway.started_at = min(now, _integer_or(state.get("born"), gateway.started_at))
    for durations_us, key in ((gateway.mean_duration_us, "usual"), (gateway.min_duration_us, "quickest")):
        if isinstance(values := state.get(key), list) and len(values) == len(durations_us):
            durations_us[:] = [
                _number_or(value, known, 0.0) for value, known in zip(values, durations_us, strict=True)
            ]
    gateway.window = gateway.usual_window * _number_or(state.get("window"), 1.0, MIN_WINDOW_RATIO)
    _import_numbers(gateway, state.get("gateway"), GATEWAY_KEYS)
    _import_numbers(gateway.counter_overload, state.get("crowding"), COUNTER_OVERLOAD_KEYS)
    for entry in _lists_of(state.get("barred"), 2):
        gateway.disabled_servers[_text_to_bytes(entry[0])] = min(now, _integer_or(entry[1], now))
    for fields in state["servers"]:
        if (
            isinstance(fields, dict)
            and (server := gateway.servers.get(_text_to_bytes(fields.get("id")))) is not None
        ):
            _import_server(fields, gateway, server, now)
    count = 0
    for fields in state["customers"][-MAX_TENANTS:]:
        if isinstance(fields, dict):
            count += _import_tenant(fields, gateway, now)
    return count


def _export_server(gateway: Gateway, key: bytes, server: Server) -> dict[str, Any]:
    plans = gateway.settings.plans
    failure_rates = [
        [-1 if plan is None else plans.index(plan), value] for plan, value in server.failure_rates.items()
    ]
    return {
        "id": _bytes_to_text(key),
        "started": server.entry.started_at,
        "bad": failure_rates,
        "sent": list(server.cold_work_sent),
        **_export_fields(server, {**SERVER_KEYS, **SERVER_TIME_KEYS, **SERVER_INTEGER_KEYS}),
    }


def _import_server(fields: dict[str, Any], gateway: Gateway, server: Server, now: int) -> None:
    _import_numbers(server, fields, SERVER_KEYS)
    _import_times(server, fields, SERVER_TIME_KEYS, now)
    _import_integers(server, fields, SERVER_INTEGER_KEYS)
    started_at = min(now, _integer_or(fields.get("started"), server.listed_started_at))
    if started_at > server.listed_started_at:  # the old process considered it colder than the list shows
        server.entry = replace(server.entry, started_at=started_at)
    plans = gateway.settings.plans
    for plan, value in _lists_of(fields.get("bad"), 2):
        if isinstance(plan, int) and -1 <= plan < len(plans):
            server.failure_rates[None if plan < 0 else plans[plan]] = min(1.0, _number_or(value, 0.0, 0.0))
    for at, work in list(_lists_of(fields.get("sent"), 2))[-MAX_COLD_WORK_ENTRIES:]:
        server.cold_work_sent.append((min(now, _integer_or(at, now)), _number_or(work, 0.0, 0.0)))


def _export_tenant(key: tuple[int, int], tenant: Tenant, share: float) -> dict[str, Any]:
    fields = {
        "customer": key[0],
        "plan": key[1],
        "ways": tenant.gateway_count,
        **_export_fields(tenant, {**TENANT_KEYS, **TENANT_TIME_KEYS, **TENANT_INTEGER_KEYS}),
    }
    for name in ("store", "ceiling_rate", "ceiling_most"):
        fields[name] *= share
    if (account := tenant.quota_account) is not None:
        fields["account"] = _export_fields(
            account, {**ACCOUNT_KEYS, **ACCOUNT_TIME_KEYS, **ACCOUNT_INTEGER_KEYS}
        )
    return fields


def _import_tenant(fields: dict[str, Any], gateway: Gateway, now: int) -> bool:
    settings = gateway.settings
    number, plan, gateway_count = (fields.get(name) for name in ("customer", "plan", "ways"))
    if not (
        isinstance(number, int)
        and 0 <= number < TENANT_NUMBER_LIMIT
        and isinstance(plan, int)
        and 0 <= plan < len(settings.plans)
        and isinstance(gateway_count, int)
        and 1 <= gateway_count <= settings.gateway_count
    ):
        return False
    event = RequestArrived(0, number, plan, 0, 0, 0.0, settings.rank, gateway_count)
    tenant = Tenant(event, settings, now, gateway.started_at, gateway.ceiling_share)
    max_capacity = tenant.ceiling_capacity
    _import_numbers(tenant, fields, TENANT_KEYS)
    # Never more than this process's share of the plan's capacity.
    tenant.ceiling_capacity = max(0.0, min(max_capacity, tenant.ceiling_capacity))
    tenant.ceiling_rate_per_us = max(
        0.0, min(settings.plans[plan].ceiling_rate_per_s / 1e6, tenant.ceiling_rate_per_us)
    )
    tenant.ceiling_tokens = min(tenant.ceiling_capacity, tenant.ceiling_tokens)
    _import_times(tenant, fields, TENANT_TIME_KEYS, now)
    _import_integers(tenant, fields, TENANT_INTEGER_KEYS)
    tenant.local_max_in_flight = (
        max(1, tenant.local_max_in_flight) if settings.plans[plan].max_in_flight else 0
    )
    if tenant.quota_account is not None and isinstance(account := fields.get("account"), dict):
        _import_numbers(tenant.quota_account, account, ACCOUNT_KEYS)
        _import_times(tenant.quota_account, account, ACCOUNT_TIME_KEYS, now)
        _import_integers(tenant.quota_account, account, ACCOUNT_INTEGER_KEYS)
    gateway.tenants[(number, plan)] = tenant
    return True


def _attributes(key_map: KeyMap) -> Iterable[tuple[str, str]]:
    """Return pairs of a JSON key and the name of its attribute."""
    return key_map.items()


def _export_fields(target: object, key_map: KeyMap) -> dict[str, Any]:
    return {key: getattr(target, name) for key, name in _attributes(key_map)}


def _import_numbers(target: object, fields: object, key_map: KeyMap) -> None:
    if isinstance(fields, dict):
        for key, name in _attributes(key_map):
            setattr(target, name, _number_or(fields.get(key), getattr(target, name)))


def _import_times(target: object, fields: dict[str, Any], key_map: KeyMap, now: int) -> None:
    for key, name in _attributes(key_map):
        setattr(target, name, max(-1, min(now, _integer_or(fields.get(key), getattr(target, name)))))


def _import_integers(target: object, fields: dict[str, Any], key_map: KeyMap) -> None:
    for key, name in _attributes(key_map):
        setattr(target, name, _integer_or(fields.get(key), getattr(target, name)))


def _number_or(value: object, default: float, minimum: float = -MAX_NUMBER) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return default
    return float(value) if math.isfinite(value) and minimum <= value <= MAX_NUMBER else default


def _integer_or(value: object, default: int) -> int:
    is_valid = isinstance(value, int) and not isinstance(value, bool) and abs(value) < MAX_INTEGER
    return value if is_valid and isinstance(value, int) else default


def _lists_of(value: object, length: int) -> Iterable[list[Any]]:
    for item in value if isinstance(value, list) else ():
        if isinstance(item, list) and len(item) == length:
            yield item


def _bytes_to_text(key: bytes) -> str:
    return key.decode("latin-1")


def _text_to_bytes(value: object) -> bytes:
    return value.encode("latin-1", "ignore") if isinstance(value, str) else b""
