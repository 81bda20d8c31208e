"""Validation of configurations beyond their shape. No I/O.

`validate` checks a complete configuration; `validate_hostname`, `validate_tenant` and `validate_rule` check single
entries, so that incremental parsing validates only the changed ones.
"""

from __future__ import annotations

from collections.abc import Container, Sequence
from dataclasses import dataclass
from itertools import chain, islice

from irisdeal.config_store.configuration.model import Configuration, Pool, Rule, Socket, Tenant
from irisdeal.config_store.configuration.version import generation_number

KINDS = ("idempotent", "mutating")
MAX_TARGET_OVER_TIMEOUT_MS = 60_000  # a `target_ms` this far or further above its `timeout_ms` is a mistake
MAX_REPORTED_ERRORS = 20  # reported at once for one configuration
NOT_TEXT = "no text"  # error text for strings that cannot be encoded as UTF-8
SURROGATES = ("\ud800", "\udfff")  # first and last surrogate code point


@dataclass(frozen=True, slots=True)
class ValidationError:
    """A violated rule of a configuration.

    Attributes:
        path: the entry and the field, such as `rules['api'].kind`.
        found: the value found there.
        wanted: the value expected there.
        message: the message for operators; tools match it, so it must not change.
    """

    path: str
    found: str
    wanted: str
    message: str

    def __str__(self) -> str:
        return self.message


def validate(configuration: Configuration) -> list[ValidationError]:
    """Return the first `MAX_REPORTED_ERRORS` violations; empty if the configuration is valid."""
    errors = chain(
        _validate_generation(configuration.generation),
        _validate_pools(configuration.pools),
        _validate_sockets(configuration.sockets, {pool.name for pool in configuration.pools}),
        _validate_tenants(configuration.tenants or ()),
    )
    return list(islice(errors, MAX_REPORTED_ERRORS))


def _validate_generation(generation: str) -> list[ValidationError]:
    try:
        generation_number(generation)
    except ValueError as error:
        return [ValidationError("generation", repr(generation), "r and a number", str(error))]
    return []


def _validate_pools(pools: Sequence[Pool]) -> list[ValidationError]:
    names = [pool.name for pool in pools]
    if len(set(names)) == len(names):
        return []
    return [
        ValidationError("pools", "a name twice", "one pool of each name", "pools: two have the same name")
    ]


def _validate_sockets(sockets: Sequence[Socket], services: Container[str]) -> list[ValidationError]:
    """Validate all hosts and rules, and check that no two rules have the same host and prefix."""
    errors: list[ValidationError] = []
    routes: set[tuple[str, str]] = set()
    for socket in sockets:
        errors += validate_hostname(socket.hostname)
        for rule in socket.rules:
            route = (socket.hostname.lower(), rule.pattern.path_prefix)
            if route in routes:
                message = f"rule {rule.name!r}: another has the same host and prefix"
                path = f"rules[{rule.name!r}].pattern.path_prefix"
                errors.append(ValidationError(path, repr(route), "one rule of each host and prefix", message))
            routes.add(route)
            errors += validate_rule(rule, services)
    return errors


def _validate_tenants(tenants: Sequence[Tenant]) -> list[ValidationError]:
    """Validate all tenants, and check that no two share a name or a key."""
    errors: list[ValidationError] = []
    names: set[str] = set()
    owners: dict[str, str] = {}  # API key -> name of its tenant
    for tenant in tenants:
        if tenant.name in names:
            message = f"tenants: two are called {tenant.name!r}"
            path = f"tenants[{tenant.name!r}]"
            errors.append(ValidationError(path, "a name twice", "one tenant of each name", message))
        names.add(tenant.name)
        errors += validate_tenant(tenant)
        for key in tenant.api_keys:
            owner = owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                message = f"tenants {owner!r} and {tenant.name!r} have the same key"
                path = f"tenants[{tenant.name!r}].api_keys"
                errors.append(ValidationError(path, f"a key of {owner!r}", "keys of its own", message))
    return errors


def _is_encodable(text: str) -> bool:
    """Whether the text can be encoded as UTF-8: JSON strings may contain unpaired surrogates."""
    if text.isascii():
        return True
    first, last = SURROGATES
    return not any(first <= character <= last for character in text)


def validate_hostname(hostname: str) -> list[ValidationError]:
    """Return the violations of a hostname."""
    errors = []
    if not hostname.strip():
        message = "sockets: a hostname is empty"
        errors.append(ValidationError("sockets.hostname", repr(hostname), "a name", message))
    if not _is_encodable(hostname):
        message = f"hostname {hostname!r}: {NOT_TEXT}"
        errors.append(ValidationError("sockets.hostname", repr(hostname), "text", message))
    return errors


def validate_tenant(tenant: Tenant) -> list[ValidationError]:
    """Return the violations within one tenant."""
    errors = []
    if tenant.rate_per_s < 0 or tenant.burst < 0:
        message = f"tenant {tenant.name!r}: rate_per_s and burst: wanted 0 or more"
        found = f"{tenant.rate_per_s:g}, {tenant.burst:g}"
        errors.append(ValidationError(f"tenants[{tenant.name!r}].rate_per_s", found, "0 or more", message))
    if not all(map(_is_encodable, (tenant.name, *tenant.api_keys))):
        message = f"tenant {tenant.name!r}: the name or a key is {NOT_TEXT}"
        errors.append(ValidationError(f"tenants[{tenant.name!r}]", "half a character", "text", message))
    return errors


def validate_rule(rule: Rule, services: Container[str]) -> list[ValidationError]:
    """Return the violations within one rule.

    Args:
        rule: the rule to validate.
        services: names of the existing pools.
    """
    return [*_validate_pattern(rule), *_validate_shares(rule, services), *_validate_times(rule)]


def _rule_error(rule: Rule, field: str, found: str, wanted: str, message: str) -> ValidationError:
    return ValidationError(f"rules[{rule.name!r}].{field}", found, wanted, f"rule {rule.name!r}: {message}")


def _validate_pattern(rule: Rule) -> list[ValidationError]:
    """Validate the path prefix and the kind."""
    errors = []
    prefix, field = rule.pattern.path_prefix, "pattern.path_prefix"
    if not (prefix.startswith("/") and prefix.endswith("/")):
        wanted = "a slash first and last"
        message = f"path_prefix: wanted {wanted}, got {prefix!r}"
        errors.append(_rule_error(rule, field, repr(prefix), wanted, message))
    if not _is_encodable(prefix):
        errors.append(_rule_error(rule, field, repr(prefix), "text", f"path_prefix: {NOT_TEXT}"))
    if rule.kind not in KINDS:
        wanted = f"one of {', '.join(KINDS)}"
        message = f"kind: wanted {wanted}, got {rule.kind!r}"
        errors.append(_rule_error(rule, "kind", repr(rule.kind), wanted, message))
    return errors


def _validate_shares(rule: Rule, services: Container[str]) -> list[ValidationError]:
    """Validate the services and their weights."""
    errors = []
    shares = rule.shares()
    for share in shares:
        if share.service not in services:
            message = f"service {share.service!r} is in no pool"
            errors.append(_rule_error(rule, "effect.service", repr(share.service), "name of a pool", message))
        if share.weight < 0:
            found = f"{share.weight:g}"
            message = f"weight of {share.service!r}: wanted 0 or more, got {found}"
            errors.append(_rule_error(rule, "effect.weighted", found, "0 or more", message))
    if sum(share.weight for share in shares) <= 0:
        errors.append(_rule_error(rule, "effect.weighted", "sum 0", "sum over 0", "the weights sum to 0"))
    return errors


def _validate_times(rule: Rule) -> list[ValidationError]:
    """Validate the timeout and the latency target."""
    errors = []
    timeout_ms, target_ms = rule.effect.timeout_ms, rule.target_ms
    if timeout_ms <= 0:
        message = f"timeout_ms: wanted over 0, got {timeout_ms:g}"
        errors.append(_rule_error(rule, "effect.timeout_ms", f"{timeout_ms:g}", "over 0", message))
    if target_ms - timeout_ms >= MAX_TARGET_OVER_TIMEOUT_MS:
        message = "target_ms is over timeout_ms by a minute or more"
        wanted = f"under {timeout_ms + MAX_TARGET_OVER_TIMEOUT_MS:g}"
        errors.append(_rule_error(rule, "target_ms", f"{target_ms:g}", wanted, message))
    return errors
