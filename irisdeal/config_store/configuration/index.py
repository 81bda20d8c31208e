"""Index of the entries of a configuration by name, as persistent maps. No I/O.

Versions share the maps: the cost of a change depends only on its size, and older indexes stay valid. `immutables`
(a hash trie, as in CPython's contextvars) was preferred to copied dicts (110,000 keys copied for each change) and
to layered dicts (each lookup searches all layers, and layers must be merged from time to time).
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field

from immutables import Map

from irisdeal.config_store.configuration.model import Configuration, Pool, Rule, Tenant
from irisdeal.config_store.configuration.stepwise import ENTRIES_PER_PAUSE, run_to_completion


class DuplicateNameError(ValueError):
    """Two entries have the same name."""


@dataclass(slots=True)
class IndexChanges:
    """Removed and added entries; a changed entry is in both. Rules are listed with their hostname."""

    removed_pools: list[Pool] = field(default_factory=list)
    added_pools: list[Pool] = field(default_factory=list)
    removed_rules: list[tuple[str, Rule]] = field(default_factory=list)
    added_rules: list[tuple[str, Rule]] = field(default_factory=list)
    removed_tenants: list[Tenant] = field(default_factory=list)
    added_tenants: list[Tenant] = field(default_factory=list)

    @staticmethod
    def all_of(configuration: Configuration) -> IndexChanges:
        """Return the changes from an empty configuration to this one."""
        return IndexChanges(
            added_pools=list(configuration.pools),
            added_rules=[
                (socket.hostname, rule) for socket in configuration.sockets for rule in socket.rules
            ],
            added_tenants=list(configuration.tenants or ()),
        )


class _HostRoutes:
    """Copy-on-write access to the rules of each host, by path prefix."""

    def __init__(self, hosts: Map[str, dict[str, Rule]]) -> None:
        self.hosts = hosts
        self.changed: dict[str, dict[str, Rule]] = {}

    def of(self, hostname: str) -> dict[str, Rule]:
        """Return the modifiable copy of this host's rules."""
        host = hostname.lower()
        if host not in self.changed:
            self.changed[host] = dict(self.hosts.get(host, {}))
        return self.changed[host]

    def finish(self) -> Map[str, dict[str, Rule]]:
        """Return the hosts after the change, without those that have no rules."""
        hosts = self.hosts.mutate()
        for host, rules in self.changed.items():
            if rules:
                hosts[host] = rules
            else:
                hosts.pop(host, None)
        return hosts.finish()


@dataclass(frozen=True, slots=True)
class Index:
    """The entries of a configuration by name. Immutable.

    Attributes:
        pools: pools by name.
        hosts: rules by path prefix, by hostname in lower case; the dict of a host is never modified.
        tenants: tenants by name.
        keys: tenants by API key.
    """

    pools: Map[str, Pool] = field(default_factory=Map)
    hosts: Map[str, dict[str, Rule]] = field(default_factory=Map)
    tenants: Map[str, Tenant] = field(default_factory=Map)
    keys: Map[bytes, Tenant] = field(default_factory=Map)

    def apply_changes(self, changes: IndexChanges) -> Generator[None, None, Index]:
        """Return the index after these changes; yields periodically.

        Raises:
            DuplicateNameError: two entries have the same name.
        """
        pools = self.pools.mutate()
        for pool in changes.removed_pools:
            pools.pop(pool.name)
        for pool in changes.added_pools:
            if pool.name in pools:
                raise DuplicateNameError(f"pool {pool.name!r}")
            pools[pool.name] = pool
        hosts = yield from self._change_hosts(changes)
        tenants, keys = yield from self._change_tenants(changes)
        return Index(pools.finish(), hosts, tenants, keys)

    def _change_hosts(self, changes: IndexChanges) -> Generator[None, None, Map[str, dict[str, Rule]]]:
        routes = _HostRoutes(self.hosts)
        for hostname, rule in changes.removed_rules:
            del routes.of(hostname)[rule.pattern.path_prefix]
        for count, (hostname, rule) in enumerate(changes.added_rules):
            if count % ENTRIES_PER_PAUSE == ENTRIES_PER_PAUSE - 1:
                yield
            if routes.of(hostname).setdefault(rule.pattern.path_prefix, rule) is not rule:
                raise DuplicateNameError(f"rule {rule.name!r}")
        return routes.finish()

    def _change_tenants(
        self, changes: IndexChanges
    ) -> Generator[None, None, tuple[Map[str, Tenant], Map[bytes, Tenant]]]:
        tenants, keys = self.tenants.mutate(), self.keys.mutate()
        for count, tenant in enumerate(changes.removed_tenants):
            if count % ENTRIES_PER_PAUSE == ENTRIES_PER_PAUSE - 1:
                yield
            tenants.pop(tenant.name)
            for key in tenant.api_keys:
                keys.pop(key.encode(), None)
        for count, tenant in enumerate(changes.added_tenants):
            if count % ENTRIES_PER_PAUSE == ENTRIES_PER_PAUSE - 1:
                yield
            if tenant.name in tenants:
                raise DuplicateNameError(f"tenant {tenant.name!r}")
            tenants[tenant.name] = tenant
            for key in tenant.api_keys:
                code = key.encode()
                if keys.get(code, tenant) is not tenant:
                    raise DuplicateNameError(f"key of {tenant.name!r}")
                keys[code] = tenant
        return tenants.finish(), keys.finish()

    @staticmethod
    def of(configuration: Configuration) -> Index:
        """Return the index of a valid configuration."""
        return run_to_completion(Index().apply_changes(IndexChanges.all_of(configuration)))
