"""A configuration made ready to be asked: routes by host and longest prefix, tenants by key."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass

from immutables import Map

from irisdeal.config_store.configuration.incremental_reading import Reading
from irisdeal.config_store.configuration.index import STEP, Index, run
from irisdeal.config_store.configuration.schema import Configuration, Limits, Rule


@dataclass(frozen=True, slots=True)
class Route:
    """One rule. Times are s."""

    name: str
    prefix: bytes
    mutating: bool
    target: float
    timeout: float
    max_tries: int
    priority: int
    public: bool
    shares: tuple[tuple[str, float], ...]  # services and the sum of weights up to each
    weight: float

    def service(self, draw: float) -> str:
        """The service for a draw from 0 to 1."""
        wanted = draw * self.weight
        for name, upto in self.shares:
            if wanted < upto:
                return name
        return next(name for name, upto in reversed(self.shares) if upto == self.weight)


def _route(rule: Rule) -> Route:
    shares, upto = [], 0.0
    for share in rule.shares():
        if share.weight > 0:
            upto += share.weight
            shares.append((share.service, upto))
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
        upto,
    )


class Host:
    """The routes of one host by prefix. Never changed."""

    __slots__ = ("longest", "routes", "rules")

    def __init__(self, rules: dict[str, Rule], before: Host | None = None) -> None:
        """`before`: the host as it was; routes of rules that stayed are taken over."""
        self.rules = rules
        self.routes: dict[bytes, Route] = {}
        for prefix, rule in rules.items():
            code = prefix.encode()
            same = before is not None and before.rules.get(prefix) is rule
            self.routes[code] = before.routes[code] if before is not None and same else _route(rule)
        self.longest = max(map(len, self.routes), default=0)

    def find(self, path: bytes) -> Route | None:
        """By the path's own prefixes, the longest first: the cost is by its depth, as far as prefixes reach."""
        at = path.rfind(b"/", 0, self.longest)
        while at >= 0:
            route = self.routes.get(path[: at + 1])
            if route is not None:
                return route
            at = path.rfind(b"/", 0, at)
        return None


class Table:
    """One version of the operator's word, as a door asks it. It shares with others what did not change."""

    def __init__(self, configuration: Configuration) -> None:
        self._fill(configuration, Index.of(configuration), Map())
        run(self._hosts(None))

    def _fill(self, configuration: Configuration, index: Index, hosts: Map[bytes, Host]) -> None:
        self.generation = configuration.generation
        self.limits: Limits = configuration.limits
        self.has_tenants = bool(configuration.tenants)
        self.index, self.hosts = index, hosts
        self.pools, self.tenants, self.keys = index.pools, index.tenants, index.keys

    @staticmethod
    def building(reading: Reading, before: Table | None) -> Generator[None, None, Table]:
        """The table of this reading; what the one before has is taken over. Pauses now and then."""
        table = Table.__new__(Table)
        table._fill(reading.configuration, reading.index, before.hosts if before is not None else Map())
        yield from table._hosts(before)
        return table

    def _hosts(self, before: Table | None) -> Generator[None, None, None]:
        """The hosts whose rules are not those of the table before."""
        was = before.index.hosts if before is not None else Map()
        hosts, cost = self.hosts.mutate(), 0
        for host, rules in self.index.hosts.items():
            if was.get(host) is rules:
                continue
            code = host.encode()
            hosts[code] = Host(rules, hosts.get(code))
            cost += len(rules)
            if cost >= STEP:
                cost = 0
                yield
        if len(hosts) > len(self.index.hosts):
            for host in was:
                if host not in self.index.hosts:
                    hosts.pop(host.encode())
        self.hosts = hosts.finish()

    def find(self, host: bytes, path: bytes) -> Route | None:
        """The route of this host with the longest prefix with which the path begins."""
        found = self.hosts.get(host)
        return found.find(path) if found is not None else None
