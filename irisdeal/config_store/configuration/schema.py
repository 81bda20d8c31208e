"""The configuration as the operator writes it, read with `dacite`, and every fault that makes it invalid."""

from __future__ import annotations

import json
from collections.abc import Container
from dataclasses import dataclass, field
from typing import Any

import dacite
from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration.version import number
from irisdeal.runtime.errors import OperationError

KINDS = ("idempotent", "mutating")
MOST_OVER_MS = 60_000  # a `target_ms` that is over its `timeout_ms` by this much or more is a slip
MOST_FAULTS = 20  # told at once


@dataclass(frozen=True, slots=True)
class Share:
    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Effect:
    """Where a rule's requests go: one service, or several by weight."""

    timeout_ms: float
    max_tries: int = 1
    service: str = ""
    weighted: tuple[Share, ...] = ()


@dataclass(frozen=True, slots=True)
class Pattern:
    path_prefix: str


@dataclass(frozen=True, slots=True)
class Rule:
    name: str
    kind: str
    target_ms: float
    pattern: Pattern
    effect: Effect
    priority: int = 0
    public: bool = False

    def shares(self) -> tuple[Share, ...]:
        return self.effect.weighted or (Share(self.effect.service, 1.0),)


@dataclass(frozen=True, slots=True)
class Socket:
    hostname: str
    rules: tuple[Rule, ...]


@dataclass(frozen=True, slots=True)
class Pool:
    """A service and how its backends are met."""

    name: str
    health_path: str = "/health"
    max_conns: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    api_keys: tuple[str, ...]
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Of what clients send: bytes and ms."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    generation: str
    sockets: tuple[Socket, ...]
    pools: tuple[Pool, ...]
    tenants: tuple[Tenant, ...] | None = None
    limits: Limits = field(default_factory=Limits)


def _list(value: Any) -> Any:
    """dacite makes a tuple of a text's letters, or of the text of a generator, which no two processes agree on."""
    if value is not None and not isinstance(value, list | tuple):
        raise dacite.DaciteError(f"wanted a list, got {type(value).__name__}")
    return value


LISTS: tuple[Any, ...] = (
    tuple[Share, ...],
    tuple[Rule, ...],
    tuple[Socket, ...],
    tuple[Pool, ...],
    tuple[Tenant, ...],
    tuple[Tenant, ...] | None,
)
READING = dacite.Config(
    cast=[tuple],
    type_hooks={
        float: lambda value: _figure(value),
        tuple[str, ...]: lambda value: _texts(value),
        **dict.fromkeys(LISTS, _list),
    },
)


def _figure(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise dacite.DaciteError(f"wanted a number, got {value!r}")
    return float(value)


def _texts(value: Any) -> Any:
    """A text by itself would be taken for a list of its characters, or of those of a name in memory."""
    if not isinstance(value, list | tuple):
        raise dacite.DaciteError(f"wanted a list of texts, got {value!r}")
    return value


def faults(configuration: Configuration) -> list[str]:
    """Each fault by its place and what was wanted; none where it is valid."""
    found: list[str] = []
    try:
        number(configuration.generation)
    except ValueError as error:
        found.append(str(error))
    services = [pool.name for pool in configuration.pools]
    known = set(services)
    places: set[tuple[str, str]] = set()
    if len(known) != len(services):
        found.append("pools: two have the same name")
    for socket in configuration.sockets:
        found += host_faults(socket.hostname)
        for rule in socket.rules:
            place = (socket.hostname.lower(), rule.pattern.path_prefix)
            if place in places:
                found.append(f"rule {rule.name!r}: another has the same host and prefix")
            places.add(place)
            found += rule_faults(rule, known)
    keys: dict[str, str] = {}
    names: set[str] = set()
    for tenant in configuration.tenants or ():
        if tenant.name in names:
            found.append(f"tenants: two are called {tenant.name!r}")
        names.add(tenant.name)
        found += tenant_faults(tenant)
        for key in tenant.api_keys:
            if keys.setdefault(key, tenant.name) != tenant.name:
                found.append(f"tenants {keys[key]!r} and {tenant.name!r} have the same key")
    return found[:MOST_FAULTS]


def _is_text(value: str) -> bool:
    """Whether it can be sent: JSON may name halves of characters."""
    return not any("\ud800" <= character <= "\udfff" for character in value) if not value.isascii() else True


def host_faults(hostname: str) -> list[str]:
    found = [] if hostname.strip() else ["sockets: a hostname is empty"]
    return found if _is_text(hostname) else [*found, f"hostname {hostname!r}: no text"]


def tenant_faults(tenant: Tenant) -> list[str]:
    """Those that one tenant has by itself."""
    found = []
    if tenant.rate_per_s < 0 or tenant.burst < 0:
        found.append(f"tenant {tenant.name!r}: rate_per_s and burst: wanted 0 or more")
    if not all(map(_is_text, (tenant.name, *tenant.api_keys))):
        found.append(f"tenant {tenant.name!r}: the name or a key is no text")
    return found


def rule_faults(rule: Rule, known: Container[str]) -> list[str]:
    """Those that one rule has by itself and by the services there are."""
    found, where = [], f"rule {rule.name!r}"
    prefix = rule.pattern.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        found.append(f"{where}: path_prefix: wanted a slash first and last, got {prefix!r}")
    if not _is_text(prefix):
        found.append(f"{where}: path_prefix: no text")
    if rule.kind not in KINDS:
        found.append(f"{where}: kind: wanted one of {', '.join(KINDS)}, got {rule.kind!r}")
    shares = rule.shares()
    for share in shares:
        if share.service not in known:
            found.append(f"{where}: service {share.service!r} is in no pool")
        if share.weight < 0:
            found.append(f"{where}: weight of {share.service!r}: wanted 0 or more, got {share.weight:g}")
    if sum(share.weight for share in shares) <= 0:
        found.append(f"{where}: the weights sum to 0")
    if rule.effect.timeout_ms <= 0:
        found.append(f"{where}: timeout_ms: wanted over 0, got {rule.effect.timeout_ms:g}")
    if rule.target_ms - rule.effect.timeout_ms >= MOST_OVER_MS:
        found.append(f"{where}: target_ms is over timeout_ms by a minute or more")
    return found


def read_whole(body: bytes) -> Result[Configuration, OperationError]:
    """The valid configuration in these bytes, or what makes it invalid."""
    try:
        data = json.loads(body)
        if not isinstance(data, dict):
            raise ValueError("wanted an object")
        for key in ("generation", "sockets", "pools"):
            if key not in data:
                raise ValueError(f"{key}: missing")
        configuration = dacite.from_dict(Configuration, data, READING)
    except dacite.DaciteError as error:
        return Failure(
            OperationError("read", getattr(error, "field_path", None) or "configuration", str(error))
        )
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        return Failure(OperationError("read", "configuration", str(error)))
    found = faults(configuration)
    return (
        Failure(OperationError("check", configuration.generation, "; ".join(found)))
        if found
        else Success(configuration)
    )
