"""Test rig of a core and proxies in virtual time, with partitions per direction.

The stores are fake; the registries run the real `StoreClient` and `WatchService`, the proxies the real
`RegistryWatcher`. A fake store follows the rule of the real one: it has contact while a majority answered
calls that it sent within the lease, and it merges the state in these answers before it counts them. A test
puts a decided value on a majority of the stores; the others receive it only by polling, which is the slowest
path.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Success

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion
from irisdeal.config_store.consensus.register import Value
from irisdeal.config_store.membership.contact import CONTACT_LEASE_S, QuorumContact
from irisdeal.config_store.membership.members import INITIAL_DISK_ID, Members, format_seat
from irisdeal.config_store.membership.status_rounds import (
    SEARCH_INTERVAL_S,
    STATUS_INTERVAL_S,
    STATUS_TIMEOUT_S,
)
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.proxy.registry_watcher import RegistryWatcher
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.messages import WatchRequest
from irisdeal.registry.store_client import StoreClient
from irisdeal.registry.watch import WatchService
from irisdeal.rpc.client import RpcClient
from irisdeal.rpc.server import RpcServer
from irisdeal.runtime import ports
from irisdeal.runtime.settings import Settings
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.sockets import NetworkLink, Socket
from irisdeal.simulation.world import START_US, World

MAX_POLL_S = 1.0  # as in the real store


def zone_of(ip: str) -> str:
    return "z" + ip.split(".")[1]


def settings_of(ip: str, hosts: list[str]) -> Settings:
    return Settings(
        node_name=ip,
        role="x",
        ip=ip,
        zone=zone_of(ip),
        port_range=(7000, 7010),
        seed_peers=tuple(f"{host}:8000" for host in hosts[:3]),
    )


class CutNetwork(Network):
    """A network with cuts per direction: data in transit is held until a cut ends, and no connection
    opens.
    """

    def __init__(self, world: World, usual: NetworkLink) -> None:
        super().__init__(world, usual)
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self.held: list[tuple[tuple[str, str], Socket, int, str, Callable[..., None], tuple[Any, ...]]] = []

    def _transmit(self, sock: Socket, size: int, what: str, call: Callable[..., None], *args: Any) -> None:
        destination = sock.peer.machine.name if sock.peer is not None else args[1][0] if what == "syn" else ""
        direction = sock.machine.name, destination
        if direction not in self.cuts:
            return super()._transmit(sock, size, what, call, *args)
        if what != "syn":  # a SYN is retransmitted by the simulated system
            self.held.append((direction, sock, size, what, call, args))

    def drop_connections(self, host: str) -> None:
        """Reset all connections of this machine, as after a TCP timeout; data in transit is lost."""
        self.held = [held for held in self.held if host not in held[0]]
        for sock in list(self.default_link.endpoints):
            if sock.peer is not None and host in (sock.machine.name, sock.peer.machine.name):
                sock.inbox.clear()
                self._on_reset(sock)

    def heal(self) -> None:
        self.cuts.clear()
        held, self.held = self.held, []
        for _, sock, size, what, call, args in held:
            self._transmit(sock, size, what, call, *args)


class FakeStore:
    """A fake store. It shares only `QuorumContact`, `Value` and the chunks with the real one."""

    def __init__(self, rig: CoreRig, ip: str) -> None:
        self.rig, self.ip, self.seat = rig, ip, format_seat(ip, INITIAL_DISK_ID)
        self.settings = rig.settings(ip)
        self.value, self.version = rig.first, rig.first_version
        self.learners: list[str] = []
        self.version_store = VersionStore()
        self.contact = QuorumContact()
        self.changed_event = asyncio.Event()
        self.links: dict[str, RpcClient] = {}
        self.server = RpcServer(self.handle)
        self.puts: list[int] = []
        self.outcome = 1
        self.put_s = 0.0  # duration of a put

    async def run(self) -> int:
        await self.server.listen((self.ip, ports.port(self.settings, ports.CONFIG_STORE)))
        loop = asyncio.get_running_loop()
        while True:
            self.contact.tick(loop.time())
            await asyncio.gather(*(self.poll_state(ip) for ip in self.value.members.ips() - {self.ip}))
            await asyncio.sleep(STATUS_INTERVAL_S if self.has_contact() else SEARCH_INTERVAL_S)

    def age(self) -> float:
        return self.contact.age_s(self.value.members, self.seat, asyncio.get_running_loop().time())

    def has_contact(self) -> bool:
        return self.age() <= CONTACT_LEASE_S

    async def poll_state(self, ip: str) -> None:
        if ip not in self.links:
            self.links[ip] = RpcClient((ip, ports.port(self.settings, ports.CONFIG_STORE)), self.ip)
        sent = asyncio.get_running_loop().time()
        answer = await self.links[ip].call("state", None, STATUS_TIMEOUT_S)
        if isinstance(answer, Success):
            encoded_value, body = answer.unwrap()
            value = Value.decode(encoded_value)
            self.merge(value, ConfigVersion(value.version_id, bytes(body)))
            self.contact.record_answer(format_seat(ip, INITIAL_DISK_ID), sent)

    def merge(self, value: Value, version: ConfigVersion) -> None:
        if value.change > self.value.change:
            self.value, self.version = value, version
            self.version_store.add(version)
            self.changed_event.set()
            self.changed_event = asyncio.Event()

    async def handle(self, peer: str, kind: str, body: Any) -> Any:
        match kind:
            case "state":
                return [self.value.encode(), self.version.body]
            case "watch":
                return await self.watch(SyncState.decode(body[0]), body[1])
            case "put":
                self.puts.append(body[0])
                if self.put_s:
                    await asyncio.sleep(self.put_s)
                return self.outcome if self.has_contact() else 0
            case "read":
                return [self.has_contact(), self.version.body]
        raise ValueError(kind)

    async def watch(self, sync_state: SyncState, change: int) -> list[Any]:
        if sync_state.version_id == self.value.version_id and change == self.value.change:
            try:
                async with asyncio.timeout(MAX_POLL_S):
                    await self.changed_event.wait()
            except TimeoutError:
                pass
        version_id = self.value.version_id
        chunk = (
            self.version_store.next_chunk(sync_state, version_id)
            if version_id not in (sync_state.version_id, NO_VERSION)
            else None
        )
        age = int(self.age() * 1000) if self.has_contact() else -1
        return [chunk.encode() if chunk else None, self.value.encode(), self.learners, age]


class WatchedRegistry:
    """A registry reduced to its store client and its answers to the polls of proxies."""

    def __init__(self, rig: CoreRig, ip: str, incarnation: int) -> None:
        self.settings = rig.settings(ip)
        self.ip, self.versions, self.is_synchronized = ip, list[int](), True
        self.backends, self.change_count = BackendTable(1.5), [0]
        self.store_client = StoreClient(self.settings, VersionStore(), self.on_version, self.on_change)
        zones = {host: zone_of(host) for host in rig.hosts}
        self.watch = WatchService(
            self.store_client, self.backends, incarnation, zones, lambda: self.is_synchronized
        )
        self.server = RpcServer(self.handle)
        self.ages: list[tuple[float, int]] = []

    def on_version(self, version: ConfigVersion) -> None:
        self.versions.append(version.version_id.number)

    def on_change(self) -> None:
        self.change_count[0] += 1
        self.watch.notify_proxies()

    async def run(self) -> int:
        await self.server.listen((self.ip, ports.port(self.settings, ports.REGISTRY)))
        self.store_client.start()
        await asyncio.get_running_loop().create_future()
        return 0

    async def handle(self, peer: str, kind: str, body: Any) -> Any:
        if kind == "news":
            reply = await self.watch.poll(WatchRequest.decode(body))
            now = asyncio.get_running_loop().time()
            self.ages.append((now, reply.age_ms))
            return reply.encode(now)
        return None


class WatchingProxy:
    """A proxy reduced to its registry watcher; records when each version arrived."""

    def __init__(self, rig: CoreRig, ip: str) -> None:
        self.rig, self.ip = rig, ip
        self.versions: list[tuple[float, int]] = []
        self.watcher = RegistryWatcher(rig.settings(ip), self.on_version, lambda incarnation, silent: None)

    def on_version(self, version: ConfigVersion) -> None:
        self.versions.append((self.rig.world.seconds(), version.version_id.number))

    async def run(self) -> int:
        self.watcher.start()
        await asyncio.get_running_loop().create_future()
        return 0


class CoreRig:
    """`count` core machines, each with a store and a registry, and some proxies."""

    def __init__(self, count: int, proxies: int, seed: int = 1, delay: int = 700, jitter: int = 300) -> None:
        """`delay`, `jitter`: one-way network delay between machines and its variation, µs."""
        self.world = World(seed)
        self.net = CutNetwork(self.world, NetworkLink(delay, jitter))
        self.hosts = [f"10.{number}.0.1" for number in range(count)]
        self.first = Value(0, NO_VERSION, Members.initial(self.hosts))
        self.first_version = ConfigVersion(NO_VERSION, b"")
        self.machines: dict[str, list[Machine]] = {}
        self.stores: dict[str, FakeStore] = {}
        self.watched_registries: dict[str, WatchedRegistry] = {}
        self.proxies: list[WatchingProxy] = []
        self.decided: list[tuple[float, int]] = []
        self.incarnations = 100
        for host in self.hosts:
            self.start(host)
        for number in range(proxies):
            self.start_watching_proxy(f"10.{number % count}.9.{number + 1}")

    def settings(self, ip: str) -> Settings:
        return settings_of(ip, self.hosts)

    def process(self, host: str, make: Callable[[], Coroutine[Any, Any, int]]) -> Machine:
        """Start a process; `make` is called in its event loop."""
        machine = Machine(self.world, self.net, host, Core(), Costs())

        async def run() -> int:
            return await make()

        machine.start(run())
        self.machines.setdefault(host, []).append(machine)
        return machine

    def start(self, host: str) -> None:
        self.start_store(host)
        self.start_registry_process(host)

    def start_store(self, host: str) -> Machine:
        def store() -> Coroutine[Any, Any, int]:
            self.stores[host] = FakeStore(self, host)
            return self.stores[host].run()

        return self.process(host, store)

    def start_registry_process(self, host: str) -> Machine:
        self.incarnations += 1
        incarnation = self.incarnations

        def watched_registry() -> Coroutine[Any, Any, int]:
            self.watched_registries[host] = WatchedRegistry(self, host, incarnation)
            return self.watched_registries[host].run()

        return self.process(host, watched_registry)

    def start_watching_proxy(self, ip: str) -> None:
        def proxy() -> Coroutine[Any, Any, int]:
            self.proxies.append(WatchingProxy(self, ip))
            return self.proxies[-1].run()

        self.process(ip, proxy)

    # Actions

    def at(self, seconds: float, act: Callable[..., None], *given: Any) -> None:
        self.world.at(START_US + round(seconds * 1e6), "test", act, *given)

    def every(self, seconds: float, until: float, act: Callable[[], None]) -> None:
        at = seconds
        while at < until:
            self.at(at, act)
            at += seconds

    def decide(self, number: int, holders: list[str], members: Members | None = None) -> None:
        """Put this version on `holders`, a majority; the other stores receive it in their rounds."""
        newest = max((store.value for store in self.stores.values()), key=lambda value: value.change)
        version = ConfigVersion.of(f"r{number}", b"r%d" % number)
        value = Value(newest.change + 1, version.version_id, members or newest.members)
        for host in holders:
            self.stores[host].merge(value, version)
        self.decided.append((self.world.seconds(), number))

    def cut(self, host: str, away: bool = True, here: bool = True, from_proxies: bool = False) -> None:
        """Cut this core machine from the others: `away`, what it sends; `here`, what they send."""
        for other in {*self.hosts, *((proxy.ip for proxy in self.proxies) if from_proxies else ())} - {host}:
            if away:
                self.net.cuts.add((host, other))
            if here:
                self.net.cuts.add((other, host))

    def freeze(self, host: str, seconds: float) -> None:
        for machine in self.machines[host]:
            machine.pause(self.world.now + round(seconds * 1e6))

    def kill(self, host: str) -> None:
        for machine in self.machines.pop(host, []):
            machine.kill()

    def play(self, until: float) -> None:
        """Run until this second of virtual time."""
        over = False

        def end() -> None:
            nonlocal over
            over = True

        self.at(until, end)
        self.world.run(lambda: over, START_US + round((until + 1) * 1e6))

    # Results

    def in_force(self, proxy: WatchingProxy, at: float) -> int:
        """Return the version number in force at a proxy at this second."""
        return max((number for when, number in proxy.versions if when <= at), default=-1)

    def late(self, bound: float, since: float = 0.0) -> list[tuple[str, int, float]]:
        """Return the proxies at which a version decided after `since` was not in force `bound` s later."""
        return [
            (proxy.ip, number, at)
            for at, number in self.decided
            if at >= since
            for proxy in self.proxies
            if at + bound <= self.world.seconds() and self.in_force(proxy, at + bound) < number
        ]
