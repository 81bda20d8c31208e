"""The configuration as the operator writes it. No input or output here.

Fields have the names of the JSON that operators send. The names of the types stand in the errors that operators get
(`should be "Limits"`), so they stay as they are.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Share:
    """One of the services of a rule, and its weight: requests are split in proportion to the weights."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Effect:
    """Where a rule's requests go.

    Attributes:
        timeout_ms: how long a request may be pending here, all attempts included.
        max_tries: backends to which one request may be sent at most.
        service: the one service, where `weighted` is empty.
        weighted: several services by weight.
    """

    timeout_ms: float
    max_tries: int = 1
    service: str = ""
    weighted: tuple[Share, ...] = ()


@dataclass(frozen=True, slots=True)
class Pattern:
    """Which requests to a host a rule is for: those whose path begins with this prefix; the longest prefix wins."""

    path_prefix: str


@dataclass(frozen=True, slots=True)
class Rule:
    """A route of a host.

    Attributes:
        name: for operators.
        kind: `idempotent`: a request may run more than once; `mutating`: at most once.
        target_ms: the latency target (SLO), within which an answer earns its full value.
        pattern: which requests it is for.
        effect: where they go.
        priority: rank under overload; 0 is served first.
        public: whether requests need no key, though there are tenants.
    """

    name: str
    kind: str
    target_ms: float
    pattern: Pattern
    effect: Effect
    priority: int = 0
    public: bool = False

    def shares(self) -> tuple[Share, ...]:
        """Return the services by weight, also where there is one alone."""
        return self.effect.weighted or (Share(self.effect.service, 1.0),)


@dataclass(frozen=True, slots=True)
class Socket:
    """A virtual host and its rules."""

    hostname: str
    rules: tuple[Rule, ...]


@dataclass(frozen=True, slots=True)
class Pool:
    """A service and how its backends are reached.

    Attributes:
        name: of the service.
        health_path: path of the health check.
        max_conns: connections that a backend takes from all callers together.
    """

    name: str
    health_path: str = "/health"
    max_conns: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer.

    Attributes:
        name: of the tenant.
        api_keys: the keys by which its requests are known.
        priority: rank under overload, before that of the rule; 0 is served first.
        rate_per_s: its rate limit over all proxies together, in requests per s; 0: no limit.
        burst: requests that may come on top of the rate.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of what clients send, in bytes and ms."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration.

    Attributes:
        generation: `r` and a number that rises with each version.
        sockets: the virtual hosts.
        pools: the services.
        tenants: the customers; with None or none requests need no key.
        limits: of what clients send.
    """

    generation: str
    sockets: tuple[Socket, ...]
    pools: tuple[Pool, ...]
    tenants: tuple[Tenant, ...] | None = None
    limits: Limits = field(default_factory=Limits)
