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
from irisdeal.front_door.decisions.interface import Arrival
from irisdeal.front_door.decisions.records import Server
from irisdeal.front_door.decisions.tenant import Customer

MOST_CUSTOMERS = 4_096
MOST_SENT = 1_000  # entries of the work sent to one cold backend: as many as the module keeps
BOUND = 1e12  # no amount of ours comes near it
MOST_TIME = 1 << 62  # µs, and numbers of turns and names: what eight bytes hold

SERVER = ("others", "slow")
SERVER_TIMES = ("last_good", "told_at", "last_sent", "due")
SERVER_WHOLE = ("turn", "turned")
CUSTOMER = (
    "left",
    "mine",
    "owed",
    "total",
    "mine_then",
    "raw",
    "base",
    "credit",
    "store",
    "ceiling_rate",
    "ceiling_most",
)
CUSTOMER_TIMES = ("store_at", "asked_at", "told_at", "since")
CUSTOMER_WHOLE = ("told_index", "bound")
# Keys of the handover's JSON, which older processes write and read, to attributes.
ACCOUNT = {
    "drawn": "claimed",
    "carried": "carried_over",
    "much": "excess_rate_per_s",
    "mine": "local_demand",
    "alone": "local_allowance",
}
ACCOUNT_TIMES = {
    "heard_at": "total_known_at",
    "mine_at": "local_demand_at",
    "alone_at": "local_allowance_at",
}
ACCOUNT_WHOLE = {"index": "slot_index", "much_in": "excess_slot"}
CROWDING = {"crowded": "attempts_per_claim", "silent": "unanswered_share"}
GATEWAY = ("service", "value", "again", "strain")
Names = tuple[str, ...] | dict[str, str]


def pack(gateway: Gateway, now: int, share: float) -> dict[str, Any]:
    """What is known, for the new process; `share` of each ceiling's store goes with it.

    The gateway no longer owes the counter what it has told; the caller tells it `Shared`, with the rest.
    """
    for customer in gateway.customers.values():
        customer.refill(now)
    customers = list(islice(reversed(gateway.customers.items()), MOST_CUSTOMERS))
    told = {
        "now": now,
        "born": gateway.born,
        "usual": gateway.usual,
        "quickest": gateway.quickest,
        "window": gateway.window / gateway.usual_window,
        "gateway": _values(gateway, GATEWAY),
        "crowding": _values(gateway.counter_overload, CROWDING),
        "barred": [[_text(key), since] for key, since in gateway.barred.items()],
        "servers": [_server(gateway, key, server) for key, server in gateway.servers.items()],
        "customers": [_customer(key, customer, share) for key, customer in reversed(customers)],
    }
    for customer in gateway.customers.values():
        customer.owed = 0.0  # told to the counter once, by the new one
    return told


def unpack(told: dict[str, Any], gateway: Gateway, now: int) -> int:
    """Take over what `pack` told, after the list and `Shared` were told; how many customers are known.

    The caller tells `Barred` for each of `gateway.barred` behind it.

    ValueError where it is no such state at all.
    """
    if not isinstance(told.get("servers"), list) or not isinstance(told.get("customers"), list):
        raise ValueError("no state: wanted servers and customers")
    gateway.born = min(now, _whole(told.get("born"), gateway.born))
    for own, name in ((gateway.usual, "usual"), (gateway.quickest, "quickest")):
        if isinstance(values := told.get(name), list) and len(values) == len(own):
            own[:] = [_number(value, old, 0.0) for value, old in zip(values, own, strict=True)]
    gateway.window = gateway.usual_window * _number(told.get("window"), 1.0, 1e-3)
    _take(gateway, told.get("gateway"), GATEWAY)
    _take(gateway.counter_overload, told.get("crowding"), CROWDING)
    for one in _lists(told.get("barred"), 2):
        gateway.barred[_bytes(one[0])] = min(now, _whole(one[1], now))
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
    bad = [[-1 if plan is None else plans.index(plan), value] for plan, value in server.bad.items()]
    return {
        "id": _text(key),
        "started": server.entry.started,
        "bad": bad,
        "sent": list(server.sent),
        **_values(server, (*SERVER, *SERVER_TIMES, *SERVER_WHOLE)),
    }


def _take_server(told: dict[str, Any], gateway: Gateway, server: Server, now: int) -> None:
    _take(server, told, SERVER)
    _take_times(server, told, SERVER_TIMES, now)
    _take_whole(server, told, SERVER_WHOLE)
    started = min(now, _whole(told.get("started"), server.told))
    if started > server.told:  # held to be colder than the list says
        server.entry = replace(server.entry, started=started)
    plans = gateway.settings.plans
    for plan, value in _lists(told.get("bad"), 2):
        if isinstance(plan, int) and -1 <= plan < len(plans):
            server.bad[None if plan < 0 else plans[plan]] = min(1.0, _number(value, 0.0, 0.0))
    for at, work in list(_lists(told.get("sent"), 2))[-MOST_SENT:]:
        server.sent.append((min(now, _whole(at, now)), _number(work, 0.0, 0.0)))


def _customer(key: tuple[int, int], customer: Customer, share: float) -> dict[str, Any]:
    told = {
        "customer": key[0],
        "plan": key[1],
        "ways": customer.ways,
        **_values(customer, (*CUSTOMER, *CUSTOMER_TIMES, *CUSTOMER_WHOLE)),
    }
    for name in ("store", "ceiling_rate", "ceiling_most"):
        told[name] *= share
    if (account := customer.account) is not None:
        told["account"] = _values(account, {**ACCOUNT, **ACCOUNT_TIMES, **ACCOUNT_WHOLE})
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
        and 1 <= ways <= settings.gateways
    ):
        return False
    event = Arrival(0, number, plan, 0, 0, 0.0, settings.rank, ways)
    customer = Customer(event, settings, now, gateway.born, gateway.share)
    most = customer.ceiling_most
    _take(customer, told, CUSTOMER)
    customer.ceiling_most = max(0.0, min(most, customer.ceiling_most))  # never more than a part of the plan's
    customer.ceiling_rate = max(0.0, min(settings.plans[plan].ceiling_rate / 1e6, customer.ceiling_rate))
    customer.store = min(customer.ceiling_most, customer.store)
    _take_times(customer, told, CUSTOMER_TIMES, now)
    _take_whole(customer, told, CUSTOMER_WHOLE)
    customer.bound = max(1, customer.bound) if settings.plans[plan].open_limit else 0
    if customer.account is not None and isinstance(one := told.get("account"), dict):
        _take(customer.account, one, ACCOUNT)
        _take_times(customer.account, one, ACCOUNT_TIMES, now)
        _take_whole(customer.account, one, ACCOUNT_WHOLE)
    gateway.customers[(number, plan)] = customer
    return True


def _attributes(names: Names) -> Iterable[tuple[str, str]]:
    """Pairs of a key in the JSON and the attribute that it stands for."""
    return names.items() if isinstance(names, dict) else ((name, name) for name in names)


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
