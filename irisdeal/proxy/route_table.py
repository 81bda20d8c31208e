"""The route table of one configuration: routes by host and longest prefix, tenants by key."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass

from immutables import Map

from irisdeal.config_store.configuration.index import Index
from irisdeal.config_store.configuration.model import Configuration, Limits, Rule
from irisdeal.config_store.configuration.outline import ParsedConfiguration
from irisdeal.config_store.configuration.stepwise import ENTRIES_PER_PAUSE, run_to_completion


@dataclass(frozen=True, slots=True)
class Route:
    """One rule of the configuration, prepared for routing.

    `latency_target_s`: time within which clients expect a response; `priority`: lower values are dequeued first;
    `is_public`: needs no tenant; `cumulative_weights`: each service with the sum of weights up to it;
    `total_weight`: the sum of all weights.
    """

    name: str
    prefix: bytes
    is_mutating: bool
    latency_target_s: float
    timeout_s: float
    max_attempts: int
    priority: int
    is_public: bool
    cumulative_weights: tuple[tuple[str, float], ...]
    total_weight: float

    def pick_service(self, draw: float) -> str:
        """Return a service by weight. `draw`: a uniform random number from 0 to 1."""
        target = draw * self.total_weight
        for name, cumulative in self.cumulative_weights:
            if target < cumulative:
                return name
        # Rounding may put the target at the total weight.
        return next(
            name for name, cumulative in reversed(self.cumulative_weights) if cumulative == self.total_weight
        )


def _route_of(rule: Rule) -> Route:
    cumulative_weights, cumulative = [], 0.0
    for share in rule.shares():
        if share.weight > 0:
            cumulative += share.weight
            cumulative_weights.append((share.service, cumulative))
    return Route(
        rule.name,
        rule.pattern.path_prefix.encode(),
        rule.kind != "idempotent",
        rule.target_ms / 1000,
        rule.effect.timeout_ms / 1000,
        max(1, rule.effect.max_tries),
        rule.priority,
        rule.public,
        tuple(cumulative_weights),
        cumulative,
    )


class HostRoutes:
    """The routes of one host by prefix. Immutable after construction."""

    __slots__ = ("longest_prefix", "routes", "rules")

    def __init__(self, rules: dict[str, Rule], previous: HostRoutes | None = None) -> None:
        """`previous`: the host's routes in the previous table, of which those of unchanged rules are reused."""
        self.rules = rules
        self.routes: dict[bytes, Route] = {}
        for prefix, rule in rules.items():
            encoded = prefix.encode()
            if previous is not None and previous.rules.get(prefix) is rule:
                self.routes[encoded] = previous.routes[encoded]
            else:
                self.routes[encoded] = _route_of(rule)
        self.longest_prefix = max(map(len, self.routes), default=0)

    def find(self, path: bytes) -> Route | None:
        """Return the route with the longest prefix of `path`; None if there is none.

        Looks up the prefixes of the path from the longest to the shortest, so the cost is linear in its depth.
        """
        slash = path.rfind(b"/", 0, self.longest_prefix)
        while slash >= 0:
            route = self.routes.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind(b"/", 0, slash)
        return None


class RouteTable:
    """Lookup tables of one version of the configuration; parts that did not change are shared between versions."""

    def __init__(self, configuration: Configuration) -> None:
        self._fill(configuration, Index.of(configuration), Map())
        run_to_completion(self._build_hosts(None))

    def _fill(self, configuration: Configuration, index: Index, hosts: Map[bytes, HostRoutes]) -> None:
        self.generation = configuration.generation
        self.limits: Limits = configuration.limits
        self.has_tenants = bool(configuration.tenants)
        self.index, self.hosts = index, hosts
        self.pools, self.tenants, self.keys = index.pools, index.tenants, index.keys

    @staticmethod
    def build(parsed: ParsedConfiguration, previous: RouteTable | None) -> Generator[None, None, RouteTable]:
        """Build the table of a configuration in steps; unchanged parts of the previous table are reused."""
        table = RouteTable.__new__(RouteTable)
        table._fill(parsed.configuration, parsed.index, previous.hosts if previous is not None else Map())
        yield from table._build_hosts(previous)
        return table

    def _build_hosts(self, previous: RouteTable | None) -> Generator[None, None, None]:
        """Build the hosts whose rules differ from those in the previous table."""
        old_rules = previous.index.hosts if previous is not None else Map()
        hosts, cost = self.hosts.mutate(), 0
        for host, rules in self.index.hosts.items():
            if old_rules.get(host) is rules:
                continue
            encoded = host.encode()
            hosts[encoded] = HostRoutes(rules, hosts.get(encoded))
            cost += len(rules)
            if cost >= ENTRIES_PER_PAUSE:
                cost = 0
                yield
        if len(hosts) > len(self.index.hosts):
            for host in old_rules:
                if host not in self.index.hosts:
                    hosts.pop(host.encode())
        self.hosts = hosts.finish()

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Return the route of this host with the longest prefix of `path`; None if there is none."""
        routes = self.hosts.get(host)
        return routes.find(path) if routes is not None else None
