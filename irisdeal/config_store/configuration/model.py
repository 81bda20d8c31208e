"""The configuration model. No I/O.

The field names are the keys of the JSON that operators send. The type names appear in error messages for operators
(`should be "Limits"`), so both must not change.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Share:
    """A service of a rule with its weight: requests are split in proportion to the weights."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Effect:
    """Where a rule's requests go.

    Attributes:
        timeout_ms: time limit of a request, including all attempts.
        max_tries: maximum number of backends to which one request is sent.
        service: the only service, if `weighted` is empty.
        weighted: several services with weights.
    """

    timeout_ms: float
    max_tries: int = 1
    service: str = ""
    weighted: tuple[Share, ...] = ()


@dataclass(frozen=True, slots=True)
class Pattern:
    """Matches requests to a host whose path starts with this prefix; the longest matching prefix wins."""

    path_prefix: str


@dataclass(frozen=True, slots=True)
class Rule:
    """A route of a host.

    Attributes:
        name: name for operators.
        kind: `idempotent`: a request may run more than once; `mutating`: at most once.
        target_ms: the latency target (SLO); a response within it has its full value.
        pattern: the requests that match.
        effect: where they are sent.
        priority: rank under overload; 0 is served first.
        public: whether requests need no API key even if there are tenants.
    """

    name: str
    kind: str
    target_ms: float
    pattern: Pattern
    effect: Effect
    priority: int = 0
    public: bool = False

    def shares(self) -> tuple[Share, ...]:
        """Return the services with their weights; a single service has weight 1."""
        return self.effect.weighted or (Share(self.effect.service, 1.0),)


@dataclass(frozen=True, slots=True)
class Socket:
    """A virtual host and its rules."""

    hostname: str
    rules: tuple[Rule, ...]


@dataclass(frozen=True, slots=True)
class Pool:
    """A service and the settings of its backends.

    Attributes:
        name: name of the service.
        health_path: path of the health check.
        max_conns: connections that a backend accepts from all callers together.
    """

    name: str
    health_path: str = "/health"
    max_conns: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer.

    Attributes:
        name: name of the tenant.
        api_keys: the keys that identify its requests.
        priority: rank under overload, compared before that of the rule; 0 is served first.
        rate_per_s: rate limit over all proxies together, in requests per second; 0: no limit.
        burst: requests allowed on top of the rate.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits for client requests, in bytes and ms."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration.

    Attributes:
        generation: `r` and a number that increases with each version.
        sockets: the virtual hosts.
        pools: the services.
        tenants: the customers; if None or empty, requests need no API key.
        limits: limits for client requests.
    """

    generation: str
    sockets: tuple[Socket, ...]
    pools: tuple[Pool, ...]
    tenants: tuple[Tenant, ...] | None = None
    limits: Limits = field(default_factory=Limits)
