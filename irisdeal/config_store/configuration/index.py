"""What a configuration has under each name, as maps that versions share: a change costs what it touches, and who
holds an older one is not disturbed. No input or output here.

`immutables` (a hash trie, as in CPython's contextvars) was weighed beside a copied dict (110,000 keys anew with
each change) and layers of dicts (each look asks all layers, and now and then one pays for a copy).
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from typing import TypeVar, cast

from immutables import Map

from irisdeal.config_store.configuration.schema import Configuration, Pool, Rule, Tenant

T = TypeVar("T")

STEP = 200  # entries between two pauses, some 0.2 ms


class Clash(ValueError):
    """Two entries under one name."""


@dataclass(slots=True)
class Changes:
    """Entries that are there no more, and those that are new; one that changed is both."""

    gone_pools: list[Pool] = field(default_factory=list)
    new_pools: list[Pool] = field(default_factory=list)
    gone_rules: list[tuple[str, Rule]] = field(default_factory=list)  # with the hostname
    new_rules: list[tuple[str, Rule]] = field(default_factory=list)
    gone_tenants: list[Tenant] = field(default_factory=list)
    new_tenants: list[Tenant] = field(default_factory=list)

    @staticmethod
    def all_of(configuration: Configuration) -> Changes:
        """From nothing to this one."""
        return Changes(
            new_pools=list(configuration.pools),
            new_rules=[(socket.hostname, rule) for socket in configuration.sockets for rule in socket.rules],
            new_tenants=list(configuration.tenants or ()),
        )


@dataclass(frozen=True, slots=True)
class Index:
    """Immutable. `hosts` are lower case; the dict of each, by prefix, is never changed."""

    pools: Map[str, Pool] = field(default_factory=Map)
    hosts: Map[str, dict[str, Rule]] = field(default_factory=Map)
    tenants: Map[str, Tenant] = field(default_factory=Map)
    keys: Map[bytes, Tenant] = field(default_factory=Map)

    def changing(self, changes: Changes) -> Generator[None, None, Index]:
        """The index after these; pauses now and then. Clash where a name is there twice."""
        pools = self.pools.mutate()
        for pool in changes.gone_pools:
            pools.pop(pool.name)
        for pool in changes.new_pools:
            if pool.name in pools:
                raise Clash(f"pool {pool.name!r}")
            pools[pool.name] = pool
        hosts = yield from self._hosts(changes)
        tenants, keys = yield from self._tenants(changes)
        return Index(pools.finish(), hosts, tenants, keys)

    def _hosts(self, changes: Changes) -> Generator[None, None, Map[str, dict[str, Rule]]]:
        touched: dict[str, dict[str, Rule]] = {}

        def routes(hostname: str) -> dict[str, Rule]:
            host = hostname.lower()
            if host not in touched:
                touched[host] = dict(self.hosts.get(host, {}))
            return touched[host]

        for hostname, rule in changes.gone_rules:
            del routes(hostname)[rule.pattern.path_prefix]
        for count, (hostname, rule) in enumerate(changes.new_rules):
            if count % STEP == STEP - 1:
                yield
            if routes(hostname).setdefault(rule.pattern.path_prefix, rule) is not rule:
                raise Clash(f"rule {rule.name!r}")
        hosts = self.hosts.mutate()
        for host, there in touched.items():
            if there:
                hosts[host] = there
            else:
                hosts.pop(host, None)
        return hosts.finish()

    def _tenants(
        self, changes: Changes
    ) -> Generator[None, None, tuple[Map[str, Tenant], Map[bytes, Tenant]]]:
        tenants, keys = self.tenants.mutate(), self.keys.mutate()
        for count, tenant in enumerate(changes.gone_tenants):
            if count % STEP == STEP - 1:
                yield
            tenants.pop(tenant.name)
            for key in tenant.api_keys:
                keys.pop(key.encode(), None)
        for count, tenant in enumerate(changes.new_tenants):
            if count % STEP == STEP - 1:
                yield
            if tenant.name in tenants:
                raise Clash(f"tenant {tenant.name!r}")
            tenants[tenant.name] = tenant
            for key in tenant.api_keys:
                code = key.encode()
                if keys.get(code, tenant) is not tenant:
                    raise Clash(f"key of {tenant.name!r}")
                keys[code] = tenant
        return tenants.finish(), keys.finish()

    @staticmethod
    def of(configuration: Configuration) -> Index:
        """The index of a valid configuration."""
        return run(Index().changing(Changes.all_of(configuration)))


def run(steps: Generator[None, None, T]) -> T:
    """What comes out at the end, without pauses."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return cast(T, end.value)
