"""Randomized runs that check that each answer is matched to its own call under faults of peers and networks.

Time is virtual, and each seed is one run. The first part runs the proxy between scripted clients and scripted
backends; the second runs an RPC client and server through partitions, stalls, resets and restarts. The judge
sees only what was sent, what ran and what was answered, and shares no code with the code under test.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from typing import Any, cast

import pytest
from returns.result import Success

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.proxy import backend_connection, connection_pool
from irisdeal.proxy.attempt_outcome import AttemptEnd, AttemptOutcome
from irisdeal.proxy.backend_connection import BackendConnection
from irisdeal.proxy.connection_pool import ConnectionPool
from irisdeal.proxy.process import Proxy
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.rpc import client as rpc_client
from irisdeal.rpc.client import RpcClient
from irisdeal.rpc.server import RpcServer
from irisdeal.runtime.settings import Bind, Settings
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.errors import SimulationStalledError
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.sockets import NetworkLink
from irisdeal.simulation.world import START_US, World

PROXY_ADDRESS = ("10.1.0.3", 80)
RUN_S = 6.0  # s during which clients send requests
CLOSING_S = 4.0  # s after that, until the last deadline has passed
CLIENTS, BACKENDS = 6, 4
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
FAULTS = ("good",) * 12 + (
    "promise",
    "promise twice",
    "500",
    "503",
    "reset",
    "run and reset",
    "cut",
    "silent",
    "slow",
    "twice",
    "twice later",
    "of another",
    "no id",
    "close",
    "torn",
    "garbage",
)
SETTINGS = Settings(
    node_name="d",
    role="proxy",
    ip=PROXY_ADDRESS[0],
    zone="z",
    port_range=(7340, 7355),
    seed_peers=("10.1.0.4:1",),
    zones={"z": "r"},
    region="r",
    bounds=("retry_slack=1000",),
    bind=Bind(front="10.1.0.3:80", readiness="10.1.0.3:81"),
)


def split_messages(data: bytes) -> tuple[list[tuple[bytes, dict[bytes, bytes], bytes]], bytes]:
    """Return the complete messages as (first line, fields, body), and the remaining bytes."""
    found = []
    while b"\r\n\r\n" in data:
        top, rest = data.split(b"\r\n\r\n", 1)
        lines = top.split(b"\r\n")
        named = (line.partition(b":") for line in lines[1:])
        fields = {name.lower(): value.strip() for name, _, value in named}
        length = int(fields.get(b"content-length", b"0"))
        if len(rest) < length:
            break
        found.append((lines[0], fields, rest[:length]))
        data = rest[length:]
    return found, data


class Judge:
    """Records what was sent, what ran and what was answered, and finds breaches."""

    def __init__(self) -> None:
        self.sent: dict[bytes, tuple[bytes, bytes]] = {}  # id -> first line, body
        self.ran: Counter[bytes] = Counter()
        self.answers: Counter[int] = Counter()
        self.rejected_unrun: set[bytes] = set()
        self.breaches: list[str] = []

    def run(self, attempt_id: bytes, line: bytes, body: bytes) -> None:
        self.ran[attempt_id] += 1
        if self.sent.get(attempt_id) != (line, body):
            self.breaches.append(f"UNASKED: {attempt_id!r} ran as {line!r}")

    def answer(self, attempt_id: bytes, status: int, fields: dict[bytes, bytes], body: bytes) -> None:
        """Record an answer on the connection on which `attempt_id` is the next request to be answered."""
        self.answers[status] += 1
        named = fields.get(b"x-irisdeal-attempt-id", attempt_id)
        if named != attempt_id or (status == 200 and body != b"did " + attempt_id):
            self.breaches.append(f"MIXED: {attempt_id!r} was answered with {status} {named!r} {body!r}")
        if status == 200 and not self.ran[attempt_id]:
            self.breaches.append(f"MIXED: {attempt_id!r} succeeded and never ran")
        if status in NOT_EXECUTED_STATUSES:
            self.rejected_unrun.add(attempt_id)

    def close(self) -> list[str]:
        for attempt_id, times in self.ran.items():
            if attempt_id.startswith(b"m") and times > 1:
                self.breaches.append(f"TWICE: {attempt_id!r} ran {times} times")
            if attempt_id.startswith(b"m") and attempt_id in self.rejected_unrun:
                self.breaches.append(f"REFUSED: {attempt_id!r} was promised and ran")
        return self.breaches


class Backend(asyncio.Protocol):
    """One connection of a scripted backend, which handles each request with a random fault or none."""

    def __init__(self, proxy_run: ProxyRun, incarnation: bytes) -> None:
        self.proxy_run, self.incarnation, self.rest, self.last, self.extra = (
            proxy_run,
            incarnation,
            b"",
            b"m0",
            b"",
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        requests, self.rest = split_messages(self.rest + data)
        for line, fields, body in requests:
            self.serve(line, fields, body)

    def text(self, attempt_id: bytes, status: int, more: bytes = b"", named: bool = True) -> bytes:
        body = b"did " + attempt_id
        name = b"X-Irisdeal-Attempt-Id: %s\r\n" % attempt_id if named else b""
        seal = b"X-Irisdeal-Backend-Seal: s\r\n" if status == 200 else b""
        return b"HTTP/1.1 %d X\r\n%s%s%sContent-Length: %d\r\n\r\n%s" % (
            status,
            name,
            seal,
            more,
            len(body),
            body,
        )

    def serve(self, line: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        attempt_id, proxy_run = fields[b"x-irisdeal-attempt-id"], self.proxy_run
        line = line.rpartition(b" ")[0]
        if fields.get(b"x-irisdeal-target-backend") != self.incarnation:
            return self.send(self.text(attempt_id, 421))
        how = proxy_run.rng.choice(FAULTS) if proxy_run.now() < RUN_S else "good"
        last, self.last = self.last, attempt_id
        match how:
            case "promise":
                return self.send(self.text(attempt_id, 503, b"X-Irisdeal-Not-Executed: 1\r\n"))
            case "promise twice":
                return self.send(self.text(attempt_id, 503, b"X-Irisdeal-Not-Executed: 1\r\n") * 2)
            case "reset":
                return self.transport.abort()
        proxy_run.judge.run(attempt_id, line, body)
        good = self.text(attempt_id, 200)
        match how:
            case "500" | "503":
                self.send(self.text(attempt_id, int(how)))
            case "run and reset":
                self.transport.abort()
            case "cut":
                self.send(good[: proxy_run.rng.randrange(len(good))], ends=True)
            case "silent":
                pass
            case "slow":
                self.send(good, after=proxy_run.rng.uniform(0.3, 2.5))
            case "twice":
                self.send(good * 2)
            case "twice later":
                self.extra = good  # sent again in front of the next answer
                self.send(good, unanswered=False)
            case "of another":
                self.send(self.text(last, 200))
            case "no id":
                self.send(self.text(attempt_id, 200, named=False))
            case "close":
                self.send(self.text(attempt_id, 200, b"Connection: close\r\n"), ends=True)
            case "torn":
                at = proxy_run.rng.randrange(len(good))
                self.send(good[:at])
                self.send(good[at:], after=0.02)
            case "garbage":
                self.send(b"\x00garbage\r\n\r\n")
            case _:
                self.send(good)

    def send(self, data: bytes, after: float = 0.0, ends: bool = False, unanswered: bool = True) -> None:
        if unanswered:
            data, self.extra = self.extra + data, b""

        def write() -> None:
            if not self.transport.is_closing():
                self.transport.write(data)
                if ends:
                    self.transport.close()

        self.proxy_run.loop().call_later(after + self.proxy_run.rng.uniform(0.005, 0.08), write)


class Client(asyncio.Protocol):
    """One client connection with pipelined requests, some of them incomplete or abandoned."""

    def __init__(self, proxy_run: ProxyRun, number: int) -> None:
        self.proxy_run, self.number, self.unanswered, self.rest, self.is_open = (
            proxy_run,
            number,
            cast(list[bytes], []),
            b"",
            True,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False

    def data_received(self, data: bytes) -> None:
        answers, self.rest = split_messages(self.rest + data)
        for line, fields, body in answers:
            if not self.unanswered:
                self.proxy_run.judge.breaches.append(f"MIXED: {line!r} and no request waits")
                return
            self.proxy_run.judge.answer(self.unanswered.pop(0), int(line.split()[1]), fields, body)

    def ask(self) -> bytes:
        proxy_run = self.proxy_run
        kind = proxy_run.rng.choice((b"m", b"i"))
        proxy_run.asked += 1
        attempt_id = b"%s%d" % (kind, proxy_run.asked)
        line, body = b"POST /%s/%d" % (kind, proxy_run.asked), b"text %d" % proxy_run.asked
        proxy_run.judge.sent[attempt_id] = (line, body)
        self.unanswered.append(attempt_id)
        given = proxy_run.rng.choice((200, 600, 1500))
        return (
            b"%s HTTP/1.1\r\nHost: h\r\nX-Irisdeal-Attempt-Id: %s\r\nX-Irisdeal-Deadline-Ms: %d\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (line, attempt_id, given, len(body), body)
        )

    async def play(self) -> None:
        """Send some requests at once, split at a random byte; then wait or disconnect."""
        rng = self.proxy_run.rng
        for _ in range(rng.randint(1, 6)):
            text = b"".join(self.ask() for _ in range(rng.randint(1, 4)))
            at = rng.randrange(len(text))
            self.transport.write(text[:at])
            await asyncio.sleep(rng.uniform(0.0, 0.03))
            if not self.is_open:
                return
            if rng.random() < 0.05:
                return self.transport.abort()  # in the middle of a request
            self.transport.write(text[at:])
            await asyncio.sleep(rng.uniform(0.0, 0.4))
            if rng.random() < 0.05:
                return self.transport.abort()
            if rng.random() < 0.05:
                return self.transport.write_eof()
            if not self.is_open:
                return
        await asyncio.sleep(2.0)
        self.transport.close()


class ProxyRun:
    """One run of a proxy with its backends and clients."""

    def __init__(self, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.world = World(seed)
        self.net = Network(self.world)
        self.rng = random.Random(seed)
        self.judge, self.asked, self.over = Judge(), 0, False
        self.proxy = Machine(self.world, self.net, "door", Core(), Costs())
        monkeypatch.setattr(connection_pool, "is_readable", lambda file: self.net.has_bytes(self.proxy, file))

    def now(self) -> float:
        return (self.world.now - START_US) / 1e6

    @staticmethod
    def loop() -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    def backend(self, number: int, incarnation: str) -> Machine:
        machine = Machine(self.world, self.net, incarnation, Core(), Costs())

        async def run() -> int:
            await self.loop().create_server(
                lambda: Backend(self, incarnation.encode()), f"10.9.0.{number}", 80
            )
            await self.loop().create_future()
            return 0

        machine.start(run())
        return machine

    async def _proxy(self) -> int:
        proxy = Proxy(SETTINGS)
        proxy.handler.rng = proxy.choice.rng = self.rng
        proxy.watcher.has_answered.set()
        rules = [
            {
                "name": kind,
                "kind": name,
                "target_ms": 400,
                "pattern": {"path_prefix": f"/{kind}/"},
                "effect": {"service": "s", "timeout_ms": 2000, "max_tries": 3},
            }
            for kind, name in (("m", "mutating"), ("i", "idempotent"))
        ]
        sockets = [{"hostname": "h", "rules": rules}]
        body = {"generation": "r1", "pools": [{"name": "s"}], "sockets": sockets}
        proxy._on_version(ConfigVersion.of("r1", json.dumps(body).encode()))
        for number in range(BACKENDS):
            proxy._on_incarnation(
                BackendIncarnation(
                    f"i-{number}", "s", f"10.9.0.{number}:80", "z", 4, BackendState.READY, 1, 0.0
                ),
                False,
            )
        await proxy.http_server.listen(PROXY_ADDRESS)
        self.running_proxy = proxy
        await self.loop().create_future()
        return 0

    async def _client(self, number: int) -> None:
        while self.now() < RUN_S:
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            try:
                _, client = await self.loop().create_connection(lambda: Client(self, number), *PROXY_ADDRESS)
            except OSError:
                continue
            await client.play()

    async def _clients(self) -> int:
        await asyncio.sleep(0.1)
        await asyncio.gather(*(self._client(number) for number in range(CLIENTS)))
        await asyncio.sleep(CLOSING_S)
        self.over = True
        return 0

    def play(self) -> list[str]:
        machines = [self.backend(number, f"i-{number}") for number in range(BACKENDS)]

        def reuse() -> None:
            """Replace a backend by another incarnation at its address, of which the proxy is not notified."""
            machines[0].kill()
            self.backend(0, "i-9")

        self.world.at(START_US + 3_000_000, "reuse", reuse)
        self.world.at(START_US + 4_000_000, "still", lambda: self.proxy.pause(START_US + 6_000_000))
        self.proxy.start(self._proxy())
        clients = Machine(self.world, self.net, "clients", Core(), Costs())
        clients.start(self._clients())
        self.world.run(lambda: self.over, START_US + 60_000_000)
        errors = [error for machine in (self.proxy, clients, *machines) for error in machine.errors]
        assert not errors, errors
        return self.judge.close()


@pytest.mark.parametrize("seed", range(16))
def test_each_answer_of_the_proxy_goes_to_its_request(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    proxy_run = ProxyRun(seed, monkeypatch)
    assert proxy_run.play() == []
    assert proxy_run.judge.answers[200] > 20 and proxy_run.judge.answers.total() > 40


def test_a_seed_has_the_same_verdict_each_time(monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = ProxyRun(3, monkeypatch), ProxyRun(3, monkeypatch)
    first.play()
    second.play()
    assert first.judge.answers == second.judge.answers and first.judge.ran == second.judge.ran


def _plant_bug(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    match bug:
        case "matched by order alone":
            monkeypatch.setattr(BackendConnection, "_complete", _any_answer)
        case "used again after a silence":
            monkeypatch.setattr(BackendConnection, "give_up", lambda self: setattr(self, "response", None))
            monkeypatch.setattr(BackendConnection, "data_received", _deliver_to_any_waiter)
            monkeypatch.setattr(BackendConnection, "_complete", _any_answer)
        case "a reset is taken for unsent":
            lost = BackendConnection.connection_lost

            def unsent(self: BackendConnection, exc: Exception | None) -> None:
                response, self.response = self.response, None
                if response is not None and not response.done():
                    response.set_result(AttemptOutcome(AttemptEnd.NOT_SENT, "reset"))
                lost(self, exc)

            monkeypatch.setattr(BackendConnection, "connection_lost", unsent)
        case "a silence is taken for unsent":
            send = ConnectionPool.send

            async def again(self: ConnectionPool, *given: Any) -> AttemptOutcome:
                outcome = await send(self, *given)
                return AttemptOutcome(AttemptEnd.NOT_SENT, "silence") if outcome.is_timed_out else outcome

            monkeypatch.setattr(ConnectionPool, "send", again)
        case "its own 503 is passed on":
            monkeypatch.setattr(backend_connection, "NOT_EXECUTED_STATUSES", ())


def _any_answer(self: BackendConnection, has_trailing_bytes: bool) -> None:
    headers = [field for field in self.headers if field[0].lower() != b"content-length"]
    self._finish(AttemptOutcome(AttemptEnd.RESPONSE, "", self.status, headers, self.body.take()), True)


def _deliver_to_any_waiter(self: BackendConnection, data: bytes) -> None:
    self.parser.feed_data(data)
    if self.is_complete:
        self._complete(False)


@pytest.mark.parametrize(
    ("bug", "rule"),
    [
        ("matched by order alone", "MIXED"),
        ("used again after a silence", "MIXED"),
        ("a reset is taken for unsent", "TWICE"),
        ("a silence is taken for unsent", "REFUSED"),
        ("its own 503 is passed on", "REFUSED"),
    ],
)
def test_the_judge_finds_the_bugs_planted_in_the_proxy(
    bug: str,
    rule: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _plant_bug(bug, monkeypatch)
    found: list[str] = []
    for seed in range(6):
        proxy_run = ProxyRun(seed, monkeypatch)
        try:
            found += proxy_run.play()
        except AssertionError:  # the planted bug also causes other errors
            found += proxy_run.judge.close()
    assert any(breach.startswith(rule) for breach in found)


# RPC client and server


class CallRun:
    """One run of an RPC client and server with stalls, resets, partitions and restarts between them."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.net = Network(self.world)
        self.rng = random.Random(seed)
        self.link = NetworkLink(700, 300)
        self.net.set_link("caller", "10.0.0.2", self.link)
        self.caller = Machine(self.world, self.net, "caller", Core(), Costs())
        self.ran: Counter[int] = Counter()
        self.good = self.incarnations = 0
        self.late: list[int] = []
        self.breaches: list[str] = []
        self.over = False
        self.host = self.start()

    def start(self) -> Machine:
        machine = Machine(self.world, self.net, f"host {self.incarnations}", Core(), Costs())
        self.incarnations += 1

        async def handle(peer: str, kind: str, body: Any) -> Any:
            self.ran[body] += 1
            await asyncio.sleep(self.rng.choice((0.0, 0.01, 0.05, 0.1, 0.7)))
            return ["did", body]

        async def run() -> int:
            await RpcServer(handle).listen(("10.0.0.2", 7000))
            await asyncio.get_running_loop().create_future()
            return 0

        machine.start(run())
        return machine

    def fault(self) -> None:
        now = self.world.now
        match self.rng.choice(("pause", "caller pause", "reset", "cut", "restart")):
            case "pause":
                self.host.pause(now + self.rng.choice((100_000, 4_000_000)))
            case "caller pause":
                self.caller.pause(now + self.rng.choice((100_000, 2_000_000)))
            case "reset":
                self.net.reset_connections(self.link)
            case "cut":
                self.link.is_partitioned = self.link.is_stalled = True
                self.world.at(now + 600_000, "join", self.join)
            case "restart":
                self.host.kill()
                self.host = self.start()

    def join(self) -> None:
        self.link.is_partitioned = self.link.is_stalled = False
        self.net.restore(self.link)

    async def one(self, client: RpcClient, number: int) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 10.0))
        answer = await client.call("lend", number, self.rng.choice((0.04, 0.06, 0.4, 1.5)))
        if isinstance(answer, Success):
            self.good += 1
            if answer.unwrap() != ["did", number]:
                self.breaches.append(f"{number} was answered with {answer.unwrap()}")
            if not self.ran[number]:
                self.breaches.append(f"{number} was answered and never ran")
        elif answer.failure().never_sent and self.ran[number]:
            self.breaches.append(f"{number} ran and was reported as never sent")

    async def make_calls(self) -> int:
        client = RpcClient(("10.0.0.2", 7000), "proxy 1", lambda kind, body: self.late.append(body[1]))
        await asyncio.gather(*(self.one(client, number) for number in range(400)))
        await asyncio.sleep(5.0)
        self.over = True
        return 0

    def play(self) -> list[str]:
        for at in range(800, 9_000, 700):
            self.world.at(START_US + at * 1_000, "fault", self.fault)
        self.caller.start(self.make_calls())
        try:
            self.world.run(lambda: self.over, START_US + 60_000_000)
        except SimulationStalledError:
            self.breaches.append("a call never completed")
        assert not self.caller.errors
        self.breaches += [f"{number} ran {times} times" for number, times in self.ran.items() if times > 1]
        self.breaches += [
            f"{number} was reported late {times} times"
            for number, times in Counter(self.late).items()
            if times > 1
        ]
        return self.breaches


@pytest.mark.parametrize("seed", range(16))
def test_each_answer_of_a_client_goes_to_its_call_and_each_call_runs_once(seed: int) -> None:
    call_run = CallRun(seed)
    assert call_run.play() == []
    assert call_run.good > 40


@pytest.mark.parametrize(
    ("bug", "breach"),
    [
        ("ids reused after a restart", "was answered with"),
        ("matched by order alone", "was answered with"),
        ("sent again", "ran 2 times"),
    ],
)
def test_the_judge_finds_the_bugs_planted_in_a_client(
    bug: str,
    breach: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connection = rpc_client._ClientConnection
    match bug:
        case "ids reused after a restart":
            original_init, shared = connection.__init__, cast(dict[int, Any], {})

            def one_for_all(self: Any, *given: Any) -> None:
                original_init(self, *given)
                self.pending = shared  # by all connections, each of which starts its request ids at 1

            def lost(self: Any, exc: Exception | None) -> None:
                self.is_open = False

            monkeypatch.setattr(connection, "__init__", one_for_all)
            monkeypatch.setattr(connection, "connection_lost", lost)
            monkeypatch.setattr(connection, "retire", lambda self: None)
        case "matched by order alone":
            take = connection._receive

            def first(self: Any, item: Any) -> None:
                take(self, [next(iter(self.pending), item[0]), *item[1:]])

            monkeypatch.setattr(connection, "_receive", first)
        case "sent again":
            call = RpcClient.call

            async def again(self: RpcClient, kind: str, body: Any, within: float) -> Any:
                answer = await call(self, kind, body, within)
                return answer if isinstance(answer, Success) else await call(self, kind, body, within)

            monkeypatch.setattr(RpcClient, "call", again)
    assert any(breach in found for seed in range(6) for found in CallRun(seed).play())
