"""Test rig with an RPC client and an RPC server on two simulated machines."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from irisdeal.rpc.client import RpcClient
from irisdeal.rpc.server import RpcServer
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.sockets import NetworkLink
from irisdeal.simulation.world import START_US, World

HOST, PORT = "10.0.0.2", 7000
NOT_DONE: Any = object()


class CallRig:
    """A caller machine and a host machine; `play` runs a scenario on the caller and returns its result."""

    def __init__(self) -> None:
        self.world = World(3)
        self.net = Network(self.world)
        self.link = NetworkLink(700, 100)
        self.net.set_link("caller", HOST, self.link)
        self.caller = Machine(self.world, self.net, "caller", Core(), Costs())
        self.host = self.start_host()
        self.late: list[tuple[str, Any]] = []

    def start_host(self) -> Machine:
        return Machine(self.world, self.net, HOST, Core(), Costs())

    def client(self) -> RpcClient:
        return RpcClient((HOST, PORT), "proxy 10.0.0.1", lambda kind, body: self.late.append((kind, body)))

    def serve(self, server: Callable[[], RpcServer], host: Machine | None = None) -> None:
        async def run() -> int:
            await server().listen((HOST, PORT))
            await asyncio.get_running_loop().create_future()
            return 0

        (host or self.host).start(run())

    def answer_with(self, peer: Callable[[], asyncio.Protocol]) -> None:
        """Let a scripted peer answer in place of the RPC server."""

        async def run() -> int:
            loop = asyncio.get_running_loop()
            await loop.create_server(peer, HOST, PORT)
            await loop.create_future()
            return 0

        self.host.start(run())

    def play(self, scenario: Awaitable[Any], seconds: float = 20.0) -> Any:
        result = NOT_DONE

        async def run() -> int:
            nonlocal result
            await asyncio.sleep(0.1)
            result = await scenario
            return 0

        self.caller.start(run())
        self.world.run(lambda: result is not NOT_DONE, START_US + int(seconds * 1e6))
        assert not self.caller.errors and not self.host.errors
        return result


def answering(times: dict[str, float], ran: list[Any] | None = None) -> Callable[[], RpcServer]:
    """Return a factory of servers that answer each call with its body after `times[kind]` s."""

    async def handle(peer: str, kind: str, body: Any) -> Any:
        if ran is not None:
            ran.append(body)
        await asyncio.sleep(times.get(kind, 0.0))
        return body

    return lambda: RpcServer(handle)
