"""Graceful shutdown of a registry: it answers the puts, drains and deregistrations that it has received."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from functools import partial
from typing import Any

import pytest

from irisdeal.registry.server import RegistryServer
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from tests.registry.test_server import ServerRig, heartbeat

CONFIGURATION = b'{"generation": "r9", "sockets": [], "pools": []}'


class Caller(asyncio.Protocol):
    """One HTTP request over its own connection."""

    def __init__(self) -> None:
        self.received, self.is_over = b"", False

    def data_received(self, data: bytes) -> None:
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_over = True

    def status(self) -> int:
        """Return the status of the response; 0 without a complete head."""
        head, end, _ = self.received.partition(b"\r\n\r\n")
        return int(head.split()[1]) if end else 0


class DrainRig(ServerRig):
    """Registries that shut down as their processes do, and HTTP clients over the network."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.stop_requested: dict[str, asyncio.Event] = {}
        self.callers: list[Caller] = []
        self.caller: Machine | None = None
        super().__init__(count, seed)

    def start_registry_process(self, host: str) -> Machine:
        async def run() -> int:
            server = self.servers[host] = RegistryServer(self.settings(host))
            self.stop_requested[host] = asyncio.Event()
            await server.start()
            await self.stop_requested[host].wait()
            await server.stop()
            return 0

        def make() -> Coroutine[Any, Any, int]:
            return run()

        return self.process(host, make)

    def call(self, host: str, method: str, target: str, body: bytes) -> None:
        """Send a request over its own connection now."""
        if self.caller is None:
            self.caller = Machine(self.world, self.net, "caller", Core(), Costs())
        loop, caller = self.caller, Caller()
        self.callers.append(caller)

        async def run() -> None:
            try:
                transport, _ = await loop.create_connection(lambda: caller, host, 8000)
            except OSError:
                caller.is_over = True
                return
            head = f"{method} {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
            transport.write(head.encode() + body)

        loop.call_soon(lambda: loop.create_task(run()))

    def terminate(self, host: str) -> None:
        """Stop the registry as SIGTERM does."""
        self.machines[host][-1].call_soon(self.stop_requested[host].set)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.3, 0.5])
def test_puts_that_a_registry_has_received_are_answered_before_it_exits(after_s: float) -> None:
    rig = DrainRig(3)
    host = rig.hosts[0]

    def slow_down() -> None:
        for store in rig.stores.values():
            store.put_s = 0.7

    rig.at(3.0, slow_down)
    for number in range(3):
        rig.at(4.0 + 0.01 * number, partial(rig.call, host, "POST", "/config/replace", CONFIGURATION))
    rig.at(4.05 + after_s, partial(rig.terminate, host))
    rig.play(12.0)
    assert [caller.status() for caller in rig.callers] == [200, 200, 200]
    assert rig.machines[host][-1].dead, "the process must exit"


@pytest.mark.parametrize("after_s", [0.0, 0.001, 0.002, 0.1])
def test_drains_and_deregistrations_are_answered_during_the_shutdown_of_a_registry(after_s: float) -> None:
    rig = DrainRig(3)
    host, other, _ = rig.hosts
    rig.call(host, "POST", "/backends/i-1/heartbeat", heartbeat())
    rig.call(host, "POST", "/backends/i-2/heartbeat", heartbeat())
    rig.at(3.0, partial(rig.cut, other))  # one registry is unreachable: a majority needs the third one
    rig.at(4.0, partial(rig.call, host, "POST", "/backends/i-1/heartbeat", heartbeat("draining", 2)))
    rig.at(4.0, partial(rig.call, host, "POST", "/backends/i-2/deregister", b""))
    rig.at(4.002 + after_s, partial(rig.terminate, host))
    rig.play(12.0)
    assert [caller.status() for caller in rig.callers[2:]] == [200, 200]
    assert rig.machines[host][-1].dead
