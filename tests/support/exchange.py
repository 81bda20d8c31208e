"""Records every call of a real exchange between stores, registries and a proxy in virtual time.

Each run produces the same bytes, because random numbers, incarnations and identities come from seeds. Puts,
heartbeats and a deregistration come from outside, and a store and a registry fail during the run, so that
each specified call is made, most of them with several forms of bodies.
"""

from __future__ import annotations

import asyncio
import json
import random
import secrets
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any
from unittest import mock

from returns.result import Result, Success

from irisdeal.config_store.membership.survey import request_status as survey_one
from irisdeal.config_store.replica import StoreReplica
from irisdeal.http1.messages import Request
from irisdeal.permits.prefetched import PrefetchedPermits
from irisdeal.placement.attempt_result import AttemptResult
from irisdeal.proxy.registry_client import RegistryClient
from irisdeal.proxy.registry_watcher import RegistryWatcher
from irisdeal.ratelimit.messages import Usage
from irisdeal.registry.messages import IntervalReport, PlacementRequest, ReservationEnd
from irisdeal.registry.server import RegistryServer
from irisdeal.rpc.client import RpcClient
from irisdeal.rpc.frames import NOTIFICATION_REQUEST_ID, encode
from irisdeal.runtime import ports
from irisdeal.runtime.errors import OperationError
from irisdeal.runtime.settings import Bind, Settings, Tolerance
from irisdeal.simulation.cpu import Costs
from irisdeal.simulation.disk import MemoryDisk
from irisdeal.simulation.machine import Machine
from tests.support.core_rig import CoreRig, zone_of

PROXY = "10.0.9.1"
TENANT, SERVICE = "t-1", "s"
STARTED_S = 1.5  # s by which the core has started
END_S = 16.0  # s


@dataclass(frozen=True)
class Call:
    """One call and its successful answer as frames with request id 1; a notification has no `answer`.

    `sender`: the name in the hello of its connection; `shape`: types of the values in its bodies.
    """

    kind: str
    sender: str
    receiver: str
    ask: bytes
    answer: bytes | None
    shape: str


def shape_of(body: Any) -> str:
    """Return the types of the values in order; equal types in a list are given once."""
    if isinstance(body, list | tuple):
        return f"[{','.join(dict.fromkeys(map(shape_of, body)))}]"
    if isinstance(body, dict):
        return "{}" if not body else f"{{{','.join(sorted({shape_of(value) for value in body.values()}))}}}"
    empty = "0" if isinstance(body, bytes | str) and not body else ""
    return f"{type(body).__name__}{empty}"


class Recorder:
    """Records every call of every RPC client."""

    def __init__(self) -> None:
        self.calls: list[Call] = []

    @contextmanager
    def recording(self) -> Iterator[None]:
        call, notify = RpcClient.call, RpcClient.notify

        async def recorded_call(
            link: RpcClient, kind: str, body: Any, within: float
        ) -> Result[Any, OperationError]:
            ask, shape = encode([1, kind, body]), shape_of(body)
            answer = await call(link, kind, body, within)
            if isinstance(answer, Success):
                answer_body = answer.unwrap()
                shape = f"{shape} -> {shape_of(answer_body)}"
                self.calls.append(
                    Call(kind, link.name, link.peer, ask, encode([1, True, answer_body]), shape)
                )
            return answer

        def recorded_notification(link: RpcClient, kind: str, body: Any) -> bool:
            is_sent = notify(link, kind, body)
            if is_sent:
                frame = encode([NOTIFICATION_REQUEST_ID, kind, body])
                self.calls.append(Call(kind, link.name, link.peer, frame, None, shape_of(body)))
            return is_sent

        with (
            mock.patch.object(RpcClient, "call", recorded_call),
            mock.patch.object(RpcClient, "notify", recorded_notification),
        ):
            yield


@contextmanager
def seeded_randomness() -> Iterator[None]:
    """Replace unseeded random numbers by seeded ones."""
    chance = random.Random(11)

    class Seeded(random.Random):
        def __init__(self, seed: Any = None) -> None:
            super().__init__(chance.getrandbits(32) if seed is None else seed)

    with (
        mock.patch.object(secrets, "randbits", chance.getrandbits),
        mock.patch.object(secrets, "token_hex", lambda size: chance.randbytes(size).hex()),
        mock.patch.object(random, "Random", Seeded),
    ):
        yield


def configuration(number: int) -> bytes:
    """Return a configuration with one service and one tenant with a low limit."""
    rule = {
        "name": "r-1",
        "kind": "idempotent",
        "target_ms": 800,
        "pattern": {"path_prefix": "/a/"},
        "effect": {"service": SERVICE, "timeout_ms": 5000, "max_tries": 2},
    }
    tenant = {"name": TENANT, "api_keys": ["k-1"], "priority": 1, "rate_per_s": 60 + number, "burst": 60}
    return json.dumps(
        {
            "generation": f"r{number}",
            "tenants": [tenant],
            "pools": [{"name": SERVICE}],
            "sockets": [{"hostname": "h.example", "rules": [rule]}],
        }
    ).encode()


class ExchangeRig(CoreRig):
    """Three core machines with the real store and registry, and a proxy's registry watcher and client."""

    def __init__(self) -> None:
        self.disks: dict[tuple[str, str], MemoryDisk] = {}
        self.started: set[tuple[str, str]] = set()
        self.members: dict[str, StoreReplica] = {}
        self.servers: dict[str, RegistryServer] = {}
        self.processes: dict[tuple[str, str], Machine] = {}
        self.watcher: RegistryWatcher | None = None
        self.client: RegistryClient | None = None
        self.held = PrefetchedPermits(77)
        self.reservations: list[tuple[str, int]] = []  # reservations held: registry and number
        super().__init__(3, 0)
        self.start_proxy()

    def settings_for(self, ip: str, role: str) -> Settings:
        base, is_first = self.settings(ip), (ip, role) not in self.started
        self.started.add((ip, role))
        return Settings(
            node_name=ip,
            role=role,
            ip=ip,
            zone=zone_of(ip),
            port_range=base.port_range,
            seed_peers=base.seed_peers,
            bootstrap=is_first,
            counted=True,
            config_source="compared",
            bounds=("contact_ms=3000", "sync_s=1", "grace_s=6"),
            tolerance=Tolerance(1),
            zones={zone_of(host): "r" for host in self.hosts},
            bind=Bind(control=f"{ip}:8000"),
        )

    def process(self, host: str, make: Callable[[], Coroutine[Any, Any, int]]) -> Machine:
        """Start a process whose event loop iterations take time, so that waiting on the clock makes
        progress.
        """
        machine = super().process(host, make)
        machine.costs = Costs(turn=1)
        return machine

    def launch(self, ip: str, role: str, program: Callable[[], Awaitable[None]]) -> Machine:
        async def run() -> int:
            await program()
            await asyncio.get_running_loop().create_future()
            return 0

        def make() -> Coroutine[Any, Any, int]:
            return run()

        machine = self.processes[ip, role] = self.process(ip, make)
        return machine

    def start_store(self, host: str) -> Machine:
        async def program() -> None:
            member = self.members[host] = StoreReplica(
                self.settings_for(host, "store"), self.disk(host, "store")
            )
            await member.start()

        return self.launch(host, "store", program)

    def start_registry_process(self, host: str) -> Machine:
        async def program() -> None:
            settings = self.settings_for(host, "registry")
            server = self.servers[host] = RegistryServer(settings, self.disk(host, "registry"))
            await server.start()

        return self.launch(host, "registry", program)

    def start_proxy(self) -> None:
        async def program() -> None:
            settings = self.settings_for(PROXY, "proxy")
            self.watcher = RegistryWatcher(settings, lambda version: None, lambda incarnation, silent: None)
            self.client = RegistryClient(settings, self.watcher)
            self.watcher.start()

        self.launch(PROXY, "proxy", program)

    def disk(self, host: str, role: str) -> MemoryDisk:
        return self.disks.setdefault((host, role), MemoryDisk())

    # Actions

    def on(self, seconds: float, host: str, role: str, act: Callable[[], Awaitable[Any]]) -> None:
        """Run `act` at this second in the process with this role on this host."""

        async def run() -> None:
            await act()

        def begin() -> None:
            machine = self.processes[host, role]
            machine.call_soon(lambda: machine.create_task(run()))

        self.at(seconds, begin)

    def outside(self, seconds: float, host: str, method: bytes, target: bytes, body: bytes = b"") -> None:
        """Send an HTTP request to a registry at this second."""

        async def act() -> None:
            server = self.servers[host]
            await server.control.handle(Request(method, target, [], body, server.loop.time()))

        self.on(seconds, host, "registry", act)

    def heartbeat(
        self, seconds: float, host: str, count: int, state: str = "ready", id_: str = "i-1"
    ) -> None:
        fields = {
            "service": SERVICE,
            "address": "10.9.0.1:80",
            "zone": "z0",
            "generation": "v1",
            "capacity": 1,
            "state": state,
            "warmup_left_ms": 1500,
            "call_count": count,
        }
        self.outside(
            seconds, host, b"POST", f"/backends/{id_}/heartbeat".encode(), json.dumps(fields).encode()
        )

    def restart(self, host: str, role: str) -> None:
        """Restart a process with its disk, without the bootstrap flag."""
        (self.start_store if role == "store" else self.start_registry_process)(host)

    def stop(self, host: str, role: str, wipe: bool = False) -> None:
        self.processes[host, role].kill()
        if wipe:
            del self.disks[host, role]

    # Calls of the proxy

    async def report(self, number: int) -> None:
        assert self.client is not None
        now = asyncio.get_running_loop().time()
        self.held.record_demand(TENANT, 40, 0.5)

        def make(registry: str) -> IntervalReport:
            usages = {TENANT: Usage(7.0 + number, 1.25, 0.0, 1.0)}
            return IntervalReport(0.25, number, usages, self.held.build_report(registry, now))

        reported = await self.client.report(make)
        if reported is not None:
            self.held.receive_reply(reported.registry, reported.reply.reserve, reported.sent_at, now)

    async def place(self, **changes: Any) -> None:
        assert self.client is not None
        fields = {
            "zone": "z0",
            "service": SERVICE,
            "typical_latency_s": 0.05,
            "avoid": (3,),
            "rank": 2,
            "max_wait_s": 0.0,
            "time_left_s": 1.5,
            "connected": (5, 6),
            **changes,
        }
        placement = await self.client.request_placement(PlacementRequest(**fields), 0.5)
        if placement.reply.reservation > 0:
            self.reservations.append((placement.registry, placement.reply.reservation))

    async def end_reservations(self) -> None:
        assert self.client is not None
        for number, (registry, place) in enumerate(self.reservations):
            result = AttemptResult.SUCCESS if number % 2 else AttemptResult.FAILED
            self.client.end_reservation(registry, ReservationEnd(place, int(result), 1.25 + number))
        self.reservations.clear()

    async def call_as_previous_version(self) -> None:
        """Make a specified call that is still answered, but not made by this version."""
        host = self.hosts[1]
        link = RpcClient((host, ports.port(self.settings(host), ports.REGISTRY)), "gauge 10.7.0.1")
        await link.call("all", None, 0.4)
        link.close()

    async def survey(self) -> None:
        host = self.hosts[1]
        await survey_one((host, ports.port(self.settings(host), ports.CONFIG_STORE)))


def script(rig: ExchangeRig) -> None:
    """Schedule the faults and the calls of the exchange."""
    one, two, three = rig.hosts
    rig.outside(STARTED_S + 0.1, one, b"GET", b"/config/read")
    rig.outside(STARTED_S + 0.5, one, b"POST", b"/config/replace", configuration(1))
    rig.outside(STARTED_S + 0.8, two, b"GET", b"/config/read")
    for number in range(1, 28):
        rig.heartbeat(STARTED_S + 0.4 * number, two, number)
    rig.heartbeat(STARTED_S + 1.1, three, 1, id_="i-2")
    rig.outside(STARTED_S + 3.6, one, b"POST", b"/config/replace", configuration(2))
    for number in range(14):
        rig.on(STARTED_S + 1.0 + 0.5 * number, PROXY, "proxy", partial(rig.report, number))
    for number in range(4):
        rig.on(STARTED_S + 2.0 + 0.01 * number, PROXY, "proxy", rig.place)
    rig.on(STARTED_S + 2.2, PROXY, "proxy", partial(rig.place, is_repeat=True, is_late=True))
    rig.on(STARTED_S + 2.3, PROXY, "proxy", partial(rig.place, max_wait_s=0.2))
    rig.on(STARTED_S + 2.4, PROXY, "proxy", partial(rig.place, max_wait_s=0.5))
    rig.on(STARTED_S + 2.6, PROXY, "proxy", rig.end_reservations)
    for number in range(80):  # more than this registry's share of the tenant's permits
        rig.on(STARTED_S + 5.0 + 0.005 * number, PROXY, "proxy", partial(rig.place, tenant=TENANT))
    rig.on(STARTED_S + 5.6, PROXY, "proxy", rig.end_reservations)
    rig.on(STARTED_S + 5.8, PROXY, "proxy", rig.call_as_previous_version)
    rig.on(STARTED_S + 5.9, PROXY, "proxy", rig.survey)
    rig.heartbeat(STARTED_S + 6.1, two, 2, "draining", "i-2")
    rig.at(STARTED_S + 6.5, partial(rig.stop, three, "store", True))
    rig.at(STARTED_S + 7.0, partial(rig.restart, three, "store"))
    rig.at(STARTED_S + 8.0, partial(rig.stop, one, "registry"))
    rig.at(STARTED_S + 8.3, partial(rig.restart, one, "registry"))
    rig.outside(STARTED_S + 11.0, two, b"POST", b"/config/replace", configuration(3))
    rig.outside(STARTED_S + 11.5, two, b"POST", b"/backends/i-1/deregister")


def record_exchange() -> list[Call]:
    """Run the exchange; return its calls in the order of their answers."""
    recorder = Recorder()
    with seeded_randomness(), recorder.recording():
        rig = ExchangeRig()
        script(rig)
        rig.play(END_S)
    return recorder.calls
