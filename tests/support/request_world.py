"""A proxy, a backend and clients in virtual time, and a judge that has only what clients and the backend saw.

The proxy is the program as it is, on the simulated network. The backend works on a request for as long as its
`X-Work-Ms` says and drops it when its connection ends, as most do. Times are s since the world's start.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any
from unittest import mock

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.permits.messages import PrefetchReply
from irisdeal.proxy import connection_pool
from irisdeal.proxy.process import Proxy
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.registry.messages import IntervalReply, PlacementReply, PlacementRequest, PlacementResult
from irisdeal.rpc.server import DEFERRED, RpcServer
from irisdeal.runtime.settings import Bind, Settings
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.sockets import NetworkLink
from irisdeal.simulation.world import START, World

PROXY, BACKEND, REGISTRY = "10.1.0.3", "10.9.0.1", "10.1.0.4"
FRONT = (PROXY, 80)
GRACE_S = 6.0
SLOTS = 1000  # at all backends: no tenant waits for its bound unless a test says so
DEADLINE_MS = 5000  # of the clients' requests, where a test does not say otherwise
MOST_WORK_S = DEADLINE_MS / 1000 - 0.2  # after a request, until when no run ends by its deadline
LOSS_SLACK_S = 0.2  # after a request's last byte, until when a connection may end without an answer to it
STILL_S = 0.5  # after a client has left, until when work for it may go on
BOUNDS = ("retry_slack=56", f"grace_s={GRACE_S}")


FULL = b"HTTP/1.1 503 Full\r\nX-Irisdeal-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


class Leaving(Enum):
    """How a client ends its connection."""

    RESET = "reset"
    CLOSE = "close"
    HALF_CLOSE = "half close"


@dataclass
class Run:
    """One request at the backend."""

    attempt_id: str
    began: float
    ended: float | None = None
    is_whole: bool = False  # its answer was written


@dataclass
class Sent:
    """One request of a client, and what came of it."""

    attempt_id: str
    is_mutating: bool
    work_ms: int
    at: float = 0.0  # when its last byte was written
    is_whole: bool = False
    status: int = 0
    answered_at: float | None = None
    left_at: float | None = None
    closed_at: float | None = None


class WorkingBackend(asyncio.Protocol):
    """One connection of the stand-in backend: one request at a time."""

    def __init__(self, world: RequestWorld) -> None:
        self.world, self.buffer = world, b""
        self.transport: asyncio.Transport | None = None
        self.run: Run | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.run is not None:
            self.run.ended, self.run = self.world.now(), None

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, rest = self.buffer.partition(b"\r\n\r\n")
        if not end:
            return
        named = fields(head)
        length = int(named.get("content-length", "0"))
        if len(rest) < length:
            return
        self.buffer = rest[length:]
        if self.world.backend_is_full:
            if self.transport is not None:
                self.transport.write(FULL)
            return
        self.run = run = Run(named["x-irisdeal-attempt-id"], self.world.now())
        self.world.runs.append(run)
        asyncio.get_running_loop().call_later(int(named["x-work-ms"]) / 1000, self._answer, run, named)

    def _answer(self, run: Run, named: dict[str, str]) -> None:
        if self.transport is None or run.ended is not None:
            return
        body = b"x" * int(named.get("x-answer-bytes", "2"))
        run.ended, run.is_whole, self.run = self.world.now(), True, None
        if self.world.answers_are_lost:
            self.transport.abort()
            return
        head = (
            f"HTTP/1.1 200 OK\r\nX-Irisdeal-Attempt-Id: {run.attempt_id}\r\nX-Irisdeal-Backend-Seal: s\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.transport.write(head.encode() + body)


def fields(head: bytes) -> dict[str, str]:
    """The fields of a head by their names in lower case; the first line under ``."""
    first, *lines = head.decode().split("\r\n")
    parted = (line.partition(":") for line in lines)
    return {"": first, **{name.strip().lower(): value.strip() for name, _, value in parted}}


class Client(asyncio.Protocol):
    """One connection of a client; answers belong to its requests in their order."""

    def __init__(self, world: RequestWorld) -> None:
        self.world, self.buffer = world, b""
        self.sent: list[Sent] = []
        self.transport: asyncio.Transport | None = None
        self.is_told_to_close = self.has_left = False
        self.keeps_open = False  # our end, once the proxy has closed its own

    def eof_received(self) -> bool:
        return self.keeps_open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        for sent in self.sent:
            if sent.closed_at is None:
                sent.closed_at = self.world.now()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            named = fields(head)
            length = int(named.get("content-length", "0"))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            owed = next(sent for sent in self.sent if sent.answered_at is None)
            owed.status, owed.answered_at = int(named[""].split()[1]), self.world.now()
            self.is_told_to_close |= named.get("connection") == "close"

    def send(
        self, sent: Sent, only: slice = slice(None), deadline_ms: int = DEADLINE_MS, answer_bytes: int = 2
    ) -> None:
        """Write this request, or a part of its bytes."""
        if sent not in self.sent:
            self.sent.append(sent)
        sent.at, sent.is_whole = self.world.now(), only.stop is None
        path = "/b/x" if sent.is_mutating else "/a/x"
        text = (
            f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Irisdeal-Attempt-Id: {sent.attempt_id}\r\n"
            f"X-Irisdeal-Deadline-Ms: {deadline_ms}\r\nX-Work-Ms: {sent.work_ms}\r\n"
            f"Authorization: Bearer k\r\n"
            f"X-Answer-Bytes: {answer_bytes}\r\nContent-Length: 4\r\n\r\nbody"
        )
        if self.transport is not None:
            self.transport.write(text.encode()[only])

    def leave(self, how: Leaving) -> None:
        """End this connection."""
        self.has_left = True
        for sent in self.sent:
            if sent.answered_at is None and sent.left_at is None:
                sent.left_at = self.world.now()
        if self.transport is None:
            return
        match how:
            case Leaving.RESET:
                reset(self.transport)
            case Leaving.CLOSE:
                self.transport.close()
            case Leaving.HALF_CLOSE:
                self.transport.write_eof()


def reset(transport: asyncio.Transport) -> None:
    """An RST, as SO_LINGER of 0 makes it."""
    sock = transport.get_extra_info("socket")
    sock.net.close_with_reset(sock)
    transport.abort()


class Registry:
    """A stand-in registry that gives places, at once or as `hold_s` says; its asks at work are counted."""

    def __init__(self, world: RequestWorld) -> None:
        self.world, self.hold_s, self.number = world, 0.0, 0
        self.waiting = 0
        self.open: dict[int, str] = {}  # places that were given and whose end was not told, and over what
        self.server = RpcServer(self.handle, self.quick, self.lost)

    def lost(self, peer: str) -> None:
        """A connection ended, and what was given over it is free."""
        self.open = {number: over for number, over in self.open.items() if over != peer}

    def quick(self, peer: str, kind: str, body: Any) -> Any:
        if kind == "ended":
            self.open.pop(int(body[0]), None)
            return None
        return DEFERRED

    async def handle(self, peer: str, kind: str, body: Any) -> Any:
        match kind:
            case "place" if self.hold_s > 0 and PlacementRequest.decode(body).max_wait_s > 0:
                return PlacementReply(PlacementResult.WAIT).encode()
            case "place":
                return self._place(peer)
            case "wait":
                self.waiting += 1
                try:
                    await asyncio.sleep(self.hold_s)
                finally:
                    self.waiting -= 1
                return self._place(peer)
            case "count":  # no total is told here
                return IntervalReply(0.0, 8, -1, PrefetchReply(1)).encode()
        raise ValueError(kind)

    def _place(self, peer: str) -> Any:
        self.number += 1
        self.open[self.number] = peer
        return PlacementReply(PlacementResult.PLACED, self.number, "i-0", 1.0).encode()


class RequestWorld:
    """All of it by one seed."""

    def __init__(self, seed: int = 1, has_registry: bool = False, max_tries: int = 2) -> None:
        """`has_registry`: a stand-in registry gives places; else the proxy goes by its own view."""
        self.world = World(seed)
        self.net = Network(self.world)
        self.chance = random.Random(seed)
        self.max_tries = max_tries
        self.still_s = STILL_S
        self.answers_are_lost = self.backend_is_full = False
        self.runs: list[Run] = []
        self.requests: list[Sent] = []
        self.clients: list[Client] = []
        self.over = False
        self.prepare: Callable[[Proxy], None] = lambda proxy: None
        self.proxy: Proxy | None = None
        self.ending: asyncio.Event | None = None
        self.proxy_machine = self._machine("proxy")
        self.backend = self._machine("backend")
        self.client = self._machine("client")
        self.to_backend, self.to_proxy = NetworkLink(), NetworkLink()
        self.net.set_link("proxy", BACKEND, self.to_backend)
        self.net.set_link("client", PROXY, self.to_proxy)
        self.registry: Registry | None = None
        if has_registry:
            self.registry_machine = self._machine("registry")
            self.registry_machine.start(self._serve_registry())
        self.proxy_machine.start(self._serve_proxy())
        self.backend.start(self._serve_backend())

    def _machine(self, name: str) -> Machine:
        return Machine(self.world, self.net, name, Core(), Costs())

    def now(self) -> float:
        return self.world.seconds()

    # Processes

    async def _serve_registry(self) -> int:
        self.registry = Registry(self)
        await self.registry.server.listen((REGISTRY, 7001))
        await asyncio.get_running_loop().create_future()
        return 0

    async def _serve_proxy(self) -> int:
        settings = Settings(
            node_name="d",
            role="proxy",
            ip=PROXY,
            zone="z",
            port_range=(7000, 7010),
            seed_peers=(),
            zones={"z": "r"},
            region="r",
            bounds=BOUNDS,
            bind=Bind(front=f"{PROXY}:80", readiness=f"{PROXY}:81"),
        )
        self.proxy = proxy = Proxy(settings)
        self.ending = asyncio.Event()
        proxy.watcher.has_answered.set()
        proxy.admission.max_reported_proxies, proxy.admission.has_reported, proxy.retry_budgets.slack_from = (
            8,
            True,
            0.0,
        )
        if self.registry is not None:
            proxy.registries._by_nearness = lambda: [REGISTRY]  # type: ignore[method-assign]
        proxy._on_version(self.configuration(1))
        proxy.admission.concurrency.slots = SLOTS
        proxy._on_incarnation(
            BackendIncarnation("i-0", "s", f"{BACKEND}:80", "z", 500, BackendState.READY, 1, 0.0), False
        )
        proxy._on_incarnation(
            BackendIncarnation("i-1", "s", f"{BACKEND}:81", "z", 500, BackendState.READY, 1, 0.0), False
        )
        self.prepare(proxy)
        await proxy.start()
        await self.ending.wait()
        await proxy.stop()
        return 0

    def reconfigure(self, number: int, idle_ms: int) -> None:
        """Another configuration comes into force, and SIGHUP says that the settings have changed."""
        proxy = self.proxy
        if proxy is not None and not self.proxy_machine.dead:
            self.proxy_machine.call_soon(proxy._on_version, self.configuration(number, idle_ms))
            self.proxy_machine.call_soon(proxy.reload, proxy.settings)

    def configuration(self, number: int, idle_ms: int = 15_000) -> ConfigVersion:
        """Two routes, one of which may be repeated."""

        def rule(name: str, kind: str, prefix: str) -> dict[str, Any]:
            return {
                "name": name,
                "kind": kind,
                "target_ms": 4000,
                "pattern": {"path_prefix": prefix},
                "effect": {"service": "s", "timeout_ms": 9000, "max_tries": self.max_tries},
            }

        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": idle_ms,
        }
        body = {
            "generation": f"r{number}",
            "pools": [{"name": "s"}],
            "limits": limits,
            "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1}],
            "sockets": [
                {
                    "hostname": "h",
                    "rules": [rule("repeatable", "idempotent", "/a/"), rule("once", "mutating", "/b/")],
                }
            ],
        }
        return ConfigVersion.of(f"r{number}", json.dumps(body).encode())

    async def _serve_backend(self) -> int:
        loop = asyncio.get_running_loop()
        for port in (80, 81):
            await loop.create_server(lambda: WorkingBackend(self), BACKEND, port)
        await loop.create_future()
        return 0

    # A play

    def play(self, act: Callable[[], Awaitable[None]], most_s: float = 60.0) -> None:
        """Run what the clients do, to its end."""

        async def run() -> int:
            await asyncio.sleep(0.05)
            await act()
            self.over = True
            return 0

        self.client.start(run())

        def has_bytes(number: int) -> bool:
            return self.net.has_bytes(self.proxy_machine, number)

        with mock.patch.object(connection_pool, "is_readable", has_bytes):
            self.world.run(lambda: self.over, START + int(most_s * 1e6))
        errors = [*self.proxy_machine.errors, *self.backend.errors, *self.client.errors]
        assert not errors, errors

    def request(self, work_ms: int, is_mutating: bool = False) -> Sent:
        """A new request, not sent yet."""
        sent = Sent(f"q{len(self.requests)}", is_mutating, work_ms)
        self.requests.append(sent)
        return sent

    async def connect(self) -> Client | None:
        """A new connection to the proxy; None where it is not to be had."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(1.0):
                _, client = await loop.create_connection(lambda: Client(self), *FRONT)
        except (OSError, TimeoutError):
            return None
        self.clients.append(client)
        return client

    async def ask(
        self, work_ms: int, is_mutating: bool = False, deadline_ms: int = DEADLINE_MS, answer_bytes: int = 2
    ) -> tuple[Client, Sent] | None:
        """A request on a connection of its own."""
        client = await self.connect()
        if client is None:
            return None
        sent = self.request(work_ms, is_mutating)
        client.send(sent, deadline_ms=deadline_ms, answer_bytes=answer_bytes)
        return client, sent

    def terminate(self) -> None:
        """SIGTERM to the proxy."""
        assert self.ending is not None
        self.proxy_machine.call_soon(self.ending.set)

    # What the judge sees

    def runs_of(self, sent: Sent) -> list[Run]:
        return [run for run in self.runs if run.attempt_id == sent.attempt_id]

    def work_for_departed(self) -> list[str]:
        """Each run of a request that may be repeated, at work later than `STILL_S` after its client left, and
        each request that reached the backend later than that."""
        found = []
        for sent in self.requests:
            if sent.left_at is None:
                continue
            until = sent.left_at + self.still_s
            for run in self.runs_of(sent):
                if run.began > until:
                    after = run.began - sent.left_at
                    found.append(f"{sent.attempt_id} reached a backend {after:.3f} s later")
                elif not sent.is_mutating and (ended := run.ended or self.now()) > until:
                    found.append(f"{sent.attempt_id} was at work {ended - sent.left_at:.3f} s later")
        return found

    def without_end(self) -> list[str]:
        """Each whole request whose client stayed and that had no answer: passed on, or cut late."""
        found = []
        for sent in self.requests:
            if sent.answered_at is not None or sent.left_at is not None or not sent.is_whole:
                continue
            if self.runs_of(sent):
                found.append(f"{sent.attempt_id} of {sent.work_ms} ms, sent at {sent.at:.3f}, was cut")
            elif sent.closed_at is None or sent.closed_at - sent.at > LOSS_SLACK_S:
                found.append(f"{sent.attempt_id} sent at {sent.at:.3f} was cut at {sent.closed_at}")
        return found

    def given_up(self) -> list[str]:
        """Each run of what may run once that was broken off before its deadline, with nothing in trouble."""
        return [
            f"{sent.attempt_id} was broken off after {run.ended - run.began:.3f} s"
            for sent in self.requests
            if sent.is_mutating
            for run in self.runs_of(sent)
            if run.ended is not None and not run.is_whole and run.ended < sent.at + MOST_WORK_S
        ]

    def wrong_answers(self) -> list[str]:
        """Each request that was answered though its run had not come to its end."""
        return [
            sent.attempt_id
            for sent in self.requests
            if sent.status == 200 and not any(run.is_whole for run in self.runs_of(sent))
        ]

    def broken_promises(self) -> list[str]:
        """Each request that was promised not to run and ran, and each mutating one that ran twice."""
        ran_after_promise = [
            sent.attempt_id
            for sent in self.requests
            if sent.is_mutating and sent.status in (429, 503) and self.runs_of(sent)
        ]
        twice = [
            sent.attempt_id for sent in self.requests if sent.is_mutating and len(self.runs_of(sent)) > 1
        ]
        return ran_after_promise + twice
