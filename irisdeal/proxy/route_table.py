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
    """One rule, ready for requests.

    `latency_target_s`: within which clients want a response; `priority`: the least goes first; `is_public`: needs
    no tenant; `shares`: services and the sum of weights up to each; `total_weight`: of all.
    """

    name: str
    prefix: bytes
    is_mutating: bool
    latency_target_s: float
    timeout_s: float
    max_attempts: int
    priority: int
    is_public: bool
    shares: tuple[tuple[str, float], ...]
    total_weight: float

    def service(self, draw: float) -> str:
        """Return the service for a draw from 0 to 1, by weight."""
        wanted = draw * self.total_weight
        for name, cumulative in self.shares:
            if wanted < cumulative:
                return name
        return next(name for name, cumulative in reversed(self.shares) if cumulative == self.total_weight)


def _route_of(rule: Rule) -> Route:
    shares, cumulative = [], 0.0
    for share in rule.shares():
        if share.weight > 0:
            cumulative += share.weight
            shares.append((share.service, cumulative))
    return Route(
        rule.name,
        rule.pattern.path_prefix.encode(),
        rule.kind != "idempotent",
        rule.target_ms / 1000,
        rule.effect.timeout_ms / 1000,
        max(1, rule.effect.max_tries),
        rule.priority,
        rule.public,
        tuple(shares),
        cumulative,
    )


class HostRoutes:
    """The routes of one host by prefix. Never changed."""

    __slots__ = ("longest_prefix", "routes", "rules")

    def __init__(self, rules: dict[str, Rule], before: HostRoutes | None = None) -> None:
        """`before`: the host as it was; routes of rules that are unchanged are taken over."""
        self.rules = rules
        self.routes: dict[bytes, Route] = {}
        for prefix, rule in rules.items():
            encoded = prefix.encode()
            if before is not None and before.rules.get(prefix) is rule:
                self.routes[encoded] = before.routes[encoded]
            else:
                self.routes[encoded] = _route_of(rule)
        self.longest_prefix = max(map(len, self.routes), default=0)

    def find(self, path: bytes) -> Route | None:
        """Return the route with the longest prefix of `path`.

        Looks up the path's own prefixes, the longest first: the cost is by its depth, as far as prefixes reach.
        """
        slash = path.rfind(b"/", 0, self.longest_prefix)
        while slash >= 0:
            route = self.routes.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind(b"/", 0, slash)
        return None


class RouteTable:
    """One version of the configuration, as requests look it up. It shares with others what did not change."""

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
    def build(reading: ParsedConfiguration, before: RouteTable | None) -> Generator[None, None, RouteTable]:
        """Build the table of this reading in steps; unchanged parts of the table before are taken over."""
        table = RouteTable.__new__(RouteTable)
        table._fill(reading.configuration, reading.index, before.hosts if before is not None else Map())
        yield from table._build_hosts(before)
        return table

    def _build_hosts(self, before: RouteTable | None) -> Generator[None, None, None]:
        """Build the hosts whose rules are not those of the table before."""
        old_rules = before.index.hosts if before is not None else Map()
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
        """Return the route of this host with the longest prefix of `path`."""
        routes = self.hosts.get(host)
        return routes.find(path) if routes is not None else None
