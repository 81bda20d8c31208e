"""A proxy, a backend and clients in virtual time, and checks based only on what clients and the backend
observe.

The proxy is the real program on the simulated network. The backend executes a request for the time in its
`X-Work-Ms` header, and cancels it when the connection closes. Times are in s since the start of the world.
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
from irisdeal.simulation.world import START_US, World

PROXY, BACKEND, REGISTRY = "10.1.0.3", "10.9.0.1", "10.1.0.4"
FRONT = (PROXY, 80)
GRACE_S = 6.0
SLOTS = 1000  # of all backends; enough that no request waits for its tenant's bound by default
DEADLINE_MS = 5000  # default of the clients' requests
MAX_WORK_S = DEADLINE_MS / 1000 - 0.2  # after sending, up to which no execution ends because of the deadline
LOSS_SLACK_S = 0.2  # after the last byte of a request, in which its connection may close without a response
DISCONNECT_GRACE_S = 0.5  # after a client's disconnect, in which work for it may continue
BOUNDS = ("retry_slack=56", f"grace_s={GRACE_S}")


FULL = b"HTTP/1.1 503 Full\r\nX-Irisdeal-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


class Disconnect(Enum):
    """How a client ends its connection."""

    RESET = "reset"
    CLOSE = "close"
    HALF_CLOSE = "half close"


@dataclass
class Execution:
    """One execution of a request at the backend."""

    attempt_id: str
    started_at: float
    ended_at: float | None = None
    is_complete: bool = False  # its response was written


@dataclass
class SentRequest:
    """One request of a client, and its outcome."""

    attempt_id: str
    is_mutating: bool
    work_ms: int
    sent_at: float = 0.0  # when it was written last
    is_complete: bool = False
    status: int = 0
    responded_at: float | None = None
    disconnected_at: float | None = None
    closed_at: float | None = None


class StandInBackend(asyncio.Protocol):
    """One connection of the stand-in backend: one request at a time."""

    def __init__(self, world: RequestWorld) -> None:
        self.world, self.buffer = world, b""
        self.transport: asyncio.Transport | None = None
        self.execution: Execution | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.execution is not None:
            self.execution.ended_at, self.execution = self.world.now(), None

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, rest = self.buffer.partition(b"\r\n\r\n")
        if not end:
            return
        headers = parse_head(head)
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return
        self.buffer = rest[length:]
        if self.world.backend_is_full:
            if self.transport is not None:
                self.transport.write(FULL)
            return
        self.execution = execution = Execution(headers["x-irisdeal-attempt-id"], self.world.now())
        self.world.executions.append(execution)
        asyncio.get_running_loop().call_later(
            int(headers["x-work-ms"]) / 1000, self._respond, execution, headers
        )

    def _respond(self, execution: Execution, headers: dict[str, str]) -> None:
        if self.transport is None or execution.ended_at is not None:
            return
        body = b"x" * int(headers.get("x-answer-bytes", "2"))
        execution.ended_at, execution.is_complete, self.execution = self.world.now(), True, None
        if self.world.drops_responses:
            self.transport.abort()
            return
        head = (
            f"HTTP/1.1 200 OK\r\nX-Irisdeal-Attempt-Id: {execution.attempt_id}\r\n"
            "X-Irisdeal-Backend-Seal: s\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.transport.write(head.encode() + body)


def parse_head(head: bytes) -> dict[str, str]:
    """Return the headers of a head by their lower-case names, and its first line by the empty name."""
    first, *lines = head.decode().split("\r\n")
    parted = (line.partition(":") for line in lines)
    return {"": first, **{name.strip().lower(): value.strip() for name, _, value in parted}}


class Client(asyncio.Protocol):
    """One connection of a client; responses are matched to its requests in order."""

    def __init__(self, world: RequestWorld) -> None:
        self.world, self.buffer = world, b""
        self.sent: list[SentRequest] = []
        self.transport: asyncio.Transport | None = None
        self.must_close = self.has_disconnected = False
        self.keeps_open = False  # stays half-open after the proxy has closed its end

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
            headers = parse_head(head)
            length = int(headers.get("content-length", "0"))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            oldest = next(sent for sent in self.sent if sent.responded_at is None)
            oldest.status, oldest.responded_at = int(headers[""].split()[1]), self.world.now()
            self.must_close |= headers.get("connection") == "close"

    def send(
        self,
        sent: SentRequest,
        only: slice = slice(None),
        deadline_ms: int = DEADLINE_MS,
        response_bytes: int = 2,
    ) -> None:
        """Write this request, or the slice `only` of its bytes."""
        if sent not in self.sent:
            self.sent.append(sent)
        sent.sent_at, sent.is_complete = self.world.now(), only.stop is None
        path = "/b/x" if sent.is_mutating else "/a/x"
        text = (
            f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Irisdeal-Attempt-Id: {sent.attempt_id}\r\n"
            f"X-Irisdeal-Deadline-Ms: {deadline_ms}\r\nX-Work-Ms: {sent.work_ms}\r\n"
            f"Authorization: Bearer k\r\n"
            f"X-Answer-Bytes: {response_bytes}\r\nContent-Length: 4\r\n\r\nbody"
        )
        if self.transport is not None:
            self.transport.write(text.encode()[only])

    def disconnect(self, how: Disconnect) -> None:
        """Close this connection in the given way."""
        self.has_disconnected = True
        for sent in self.sent:
            if sent.responded_at is None and sent.disconnected_at is None:
                sent.disconnected_at = self.world.now()
        if self.transport is None:
            return
        match how:
            case Disconnect.RESET:
                reset(self.transport)
            case Disconnect.CLOSE:
                self.transport.close()
            case Disconnect.HALF_CLOSE:
                self.transport.write_eof()


def reset(transport: asyncio.Transport) -> None:
    """Close the connection with an RST, as with an SO_LINGER time of 0."""
    sock = transport.get_extra_info("socket")
    sock.net.close_with_reset(sock)
    transport.abort()


class StandInRegistry:
    """A stand-in registry that places attempts immediately, or after `hold_s`; it counts the waiting
    calls.
    """

    def __init__(self, world: RequestWorld) -> None:
        self.world, self.hold_s, self.number = world, 0.0, 0
        self.waiting = 0
        self.reservations: dict[int, str] = {}  # number of each reservation not ended yet -> its connection
        self.server = RpcServer(self.handle, self.handle_at_once, self.disconnect)

    def disconnect(self, peer: str) -> None:
        """Free the reservations of a lost connection."""
        self.reservations = {
            number: connection for number, connection in self.reservations.items() if connection != peer
        }

    def handle_at_once(self, peer: str, kind: str, body: Any) -> Any:
        if kind == "ended":
            self.reservations.pop(int(body[0]), None)
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
            case "count":  # its reply contains no total
                return IntervalReply(0.0, 8, -1, PrefetchReply(1)).encode()
        raise ValueError(kind)

    def _place(self, peer: str) -> Any:
        self.number += 1
        self.reservations[self.number] = peer
        return PlacementReply(PlacementResult.PLACED, self.number, "i-0", 1.0).encode()


class RequestWorld:
    """The proxy, backend, clients and network of one seed."""

    def __init__(self, seed: int = 1, has_registry: bool = False, max_tries: int = 2) -> None:
        """`has_registry`: a stand-in registry places attempts; otherwise the proxy chooses backends
        itself.
        """
        self.world = World(seed)
        self.net = Network(self.world)
        self.rng = random.Random(seed)
        self.max_tries = max_tries
        self.disconnect_grace_s = DISCONNECT_GRACE_S
        self.drops_responses = self.backend_is_full = False
        self.executions: list[Execution] = []
        self.requests: list[SentRequest] = []
        self.clients: list[Client] = []
        self.is_over = False
        self.prepare: Callable[[Proxy], None] = lambda proxy: None
        self.proxy: Proxy | None = None
        self.ending: asyncio.Event | None = None
        self.proxy_machine = self._machine("proxy")
        self.backend = self._machine("backend")
        self.client = self._machine("client")
        self.to_backend, self.to_proxy = NetworkLink(), NetworkLink()
        self.net.set_link("proxy", BACKEND, self.to_backend)
        self.net.set_link("client", PROXY, self.to_proxy)
        self.registry: StandInRegistry | None = None
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
        self.registry = StandInRegistry(self)
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
        """Apply another configuration, and reload the settings as after SIGHUP."""
        proxy = self.proxy
        if proxy is not None and not self.proxy_machine.dead:
            self.proxy_machine.call_soon(proxy._on_version, self.configuration(number, idle_ms))
            self.proxy_machine.call_soon(proxy.reload, proxy.settings)

    def configuration(self, number: int, idle_ms: int = 15_000) -> ConfigVersion:
        """Return a configuration with an idempotent and a mutating route."""

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
            await loop.create_server(lambda: StandInBackend(self), BACKEND, port)
        await loop.create_future()
        return 0

    # Running clients

    def play(self, act: Callable[[], Awaitable[None]], max_s: float = 60.0) -> None:
        """Run the clients' actions to their end, at most `max_s` of virtual time."""

        async def run() -> int:
            await asyncio.sleep(0.05)
            await act()
            self.is_over = True
            return 0

        self.client.start(run())

        def has_bytes(number: int) -> bool:
            return self.net.has_bytes(self.proxy_machine, number)

        with mock.patch.object(connection_pool, "is_readable", has_bytes):
            self.world.run(lambda: self.is_over, START_US + int(max_s * 1e6))
        errors = [*self.proxy_machine.errors, *self.backend.errors, *self.client.errors]
        assert not errors, errors

    def request(self, work_ms: int, is_mutating: bool = False) -> SentRequest:
        """Return a new request, which is not sent yet."""
        sent = SentRequest(f"q{len(self.requests)}", is_mutating, work_ms)
        self.requests.append(sent)
        return sent

    async def connect(self) -> Client | None:
        """Open a connection to the proxy; None if that fails."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(1.0):
                _, client = await loop.create_connection(lambda: Client(self), *FRONT)
        except (OSError, TimeoutError):
            return None
        self.clients.append(client)
        return client

    async def send_request(
        self, work_ms: int, is_mutating: bool = False, deadline_ms: int = DEADLINE_MS, response_bytes: int = 2
    ) -> tuple[Client, SentRequest] | None:
        """Send a request on its own connection; None if the connection fails."""
        client = await self.connect()
        if client is None:
            return None
        sent = self.request(work_ms, is_mutating)
        client.send(sent, deadline_ms=deadline_ms, response_bytes=response_bytes)
        return client, sent

    def terminate(self) -> None:
        """Shut the proxy down as after SIGTERM."""
        assert self.ending is not None
        self.proxy_machine.call_soon(self.ending.set)

    # Checks

    def executions_of(self, sent: SentRequest) -> list[Execution]:
        return [execution for execution in self.executions if execution.attempt_id == sent.attempt_id]

    def work_after_disconnect(self) -> list[str]:
        """Return the work that continued or began too long after a client's disconnect.

        Executions of idempotent requests must end within the grace, and none may start after it.
        """
        found = []
        for sent in self.requests:
            if sent.disconnected_at is None:
                continue
            until = sent.disconnected_at + self.disconnect_grace_s
            for execution in self.executions_of(sent):
                if execution.started_at > until:
                    after = execution.started_at - sent.disconnected_at
                    found.append(f"{sent.attempt_id} reached a backend {after:.3f} s later")
                elif not sent.is_mutating and (ended := execution.ended_at or self.now()) > until:
                    found.append(
                        f"{sent.attempt_id} was being executed {ended - sent.disconnected_at:.3f} s later"
                    )
        return found

    def unanswered_requests(self) -> list[str]:
        """Return the completely sent requests without a response whose client stayed connected.

        Allowed are those that were not executed and whose connection closed within `LOSS_SLACK_S`.
        """
        found = []
        for sent in self.requests:
            if sent.responded_at is not None or sent.disconnected_at is not None or not sent.is_complete:
                continue
            if self.executions_of(sent):
                found.append(f"{sent.attempt_id} of {sent.work_ms} ms, sent at {sent.sent_at:.3f}, was cut")
            elif sent.closed_at is None or sent.closed_at - sent.sent_at > LOSS_SLACK_S:
                found.append(f"{sent.attempt_id} sent at {sent.sent_at:.3f} was cut at {sent.closed_at}")
        return found

    def interrupted_executions(self) -> list[str]:
        """Return the executions of mutating requests that were interrupted before the deadline."""
        return [
            f"{sent.attempt_id} was interrupted after {execution.ended_at - execution.started_at:.3f} s"
            for sent in self.requests
            if sent.is_mutating
            for execution in self.executions_of(sent)
            if execution.ended_at is not None
            and not execution.is_complete
            and execution.ended_at < sent.sent_at + MAX_WORK_S
        ]

    def responses_without_execution(self) -> list[str]:
        """Return the requests with a 200 response but no complete execution."""
        return [
            sent.attempt_id
            for sent in self.requests
            if sent.status == 200 and not any(execution.is_complete for execution in self.executions_of(sent))
        ]

    def violated_guarantees(self) -> list[str]:
        """Return the mutating requests that were executed despite a 429 or 503, or executed twice."""
        executed_despite_rejection = [
            sent.attempt_id
            for sent in self.requests
            if sent.is_mutating and sent.status in (429, 503) and self.executions_of(sent)
        ]
        twice = [
            sent.attempt_id
            for sent in self.requests
            if sent.is_mutating and len(self.executions_of(sent)) > 1
        ]
        return executed_despite_rejection + twice
