"""Clients of a simulated store: operators that put and read, and watchers. They record all replies in a history.

A put without a clear reply is sent again unchanged, to any member; sometimes the client times out early, as if the
reply were lost. Operators also put two bodies under one number at the same time, and repeat old puts.
"""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass, field
from typing import Any

from returns.result import Success

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion
from irisdeal.config_store.storage.chunk_assembler import ChunkAssembler
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.simulation.cluster.cluster import FIRST_PORT, SimulatedCluster, pause
from irisdeal.simulation.cluster.linearizability import INFINITY, NO_NUMBER, Kind, Operation
from irisdeal.simulation.machine import Machine

CALL_TIMEOUT_S = 1.0  # after which an operator tries another member
LOST_REPLY_TIMEOUTS_S = (0.0005, 0.004, 0.02, 0.08)  # of calls whose reply counts as lost
ORDER_INTERVAL_S = 0.7  # maximum between two puts of one operator, multiplied by their number
MAX_SENDS = 12  # of one put
READ_RATIO = 0.4  # puts followed by a read
REPEATED_ORDER_RATIO = 0.08  # puts that repeat an old one
SHARED_NUMBER_RATIO = 0.25  # puts with the number of another put
LOST_REPLY_RATIO = 0.15  # sends whose reply counts as lost
BODY_HEADER_BYTES = 48  # before the padding of a body
WATCH_TIMEOUT_S = 1.6  # longer than the 1 s for which the store holds a watch


@dataclass
class WatchReply:
    """A reply to a watch: time in s, member, change, version, and age in ms of the member's quorum contact."""

    at: float
    host: str
    change: int
    number: int
    digest: str
    age: float
    members: int


@dataclass
class CallHistory:
    """All operations and replies of the clients."""

    ops: list[Operation] = field(default_factory=list)
    seen: list[WatchReply] = field(default_factory=list)
    orders: int = 0
    sends: int = 0
    acknowledged: int = 0
    # Of each put: start, s until its acknowledgement.
    times: list[tuple[float, float]] = field(default_factory=list)
    answers: list[tuple[float, str]] = field(default_factory=list)  # acknowledgements: time, member

    def newest(self) -> int:
        """Return the highest confirmed number."""
        return max((op.number for op in self.ops if op.kind is Kind.CONFIRMED), default=NO_NUMBER)


def digest(body: bytes) -> str:
    """Return the SHA-256 digest of a body in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def resolve_waiters(waiting: list[asyncio.Future[str]], host: str) -> None:
    """Resolve all waiting futures with the name of a member."""
    for future in waiting:
        if not future.done():
            future.set_result(host)
    waiting.clear()


class Callers:
    """The operators, watchers and readers of one simulated day."""

    def __init__(
        self,
        cluster: SimulatedCluster,
        operators: int,
        watchers: int,
        readers: int = 0,
        pace: float = ORDER_INTERVAL_S,
        size: int = 0,
    ) -> None:
        """`readers`: number of clients that only read. `size`: bytes of padding in each body."""
        self.cluster, self.size = cluster, size
        self.record = CallHistory()
        self.clients: dict[tuple[str, str], RpcClient] = {}
        self.number = 0
        self.pace = pace * operators
        self.is_paused = False  # operators send no new puts
        self.is_reading = True  # readers send reads
        self.paused_operators = 0  # operators that send no puts
        self.sent: list[ConfigVersion] = []
        self.ack_waiters: list[asyncio.Future[str]] = []  # for the member of the next acknowledgement
        self.put_waiters: list[asyncio.Future[str]] = []  # for the member that the next put is sent to
        self.operators = operators
        for name in (f"operator-{index}" for index in range(operators)):
            machine = cluster.new_caller(name)
            machine.start(self._operate(machine))
        for name in (f"watcher-{index}" for index in range(watchers)):
            machine = cluster.new_caller(name)
            machine.start(self._watch(machine))
        for name in (f"reader-{index}" for index in range(readers)):
            machine = cluster.new_caller(name)
            machine.start(self._read(machine))

    def now(self) -> float:
        """Return the virtual s since the start."""
        return self.cluster.world.seconds()

    def _client(self, machine: Machine, host: str) -> RpcClient:
        if (machine.name, host) not in self.clients:
            self.clients[machine.name, host] = RpcClient(
                (host, FIRST_PORT + ports.CONFIG_STORE), machine.name
            )
        return self.clients[machine.name, host]

    # Puts

    def _body(self, number: int, name: str) -> bytes:
        head = b"r%d %s %d " % (number, name.encode(), self.cluster.chance.getrandbits(60))
        return head.ljust(BODY_HEADER_BYTES, b".") + bytes(self.size)

    def _next_version(self, name: str) -> ConfigVersion:
        chance = self.cluster.chance
        if self.sent and chance.random() < REPEATED_ORDER_RATIO:
            return chance.choice(self.sent[-20:])
        if not (self.number and chance.random() < SHARED_NUMBER_RATIO):
            self.number += chance.randint(1, 3)
        return ConfigVersion.of(f"r{self.number}", self._body(self.number, name))

    async def send(
        self, machine: Machine, host: str, version: ConfigVersion, timeout_s: float = CALL_TIMEOUT_S
    ) -> Kind:
        """Send a put once and record it in the history."""
        client, started_at = self._client(machine, host), self.now()
        resolve_waiters(self.put_waiters, host)
        answer = await client.call(
            "put", [version.version_id.number, version.version_id.digest, version.body], timeout_s
        )
        self.record.sends += 1
        outcome = int(answer.unwrap()) if isinstance(answer, Success) else 0
        kind = {0: Kind.UNCLEAR, 1: Kind.CONFIRMED, 2: Kind.CONFLICT}[outcome]
        self.record.ops.append(
            Operation(
                kind,
                version.version_id.number,
                digest(version.body),
                started_at,
                self.now(),
                f"{machine.name} at {host}",
            )
        )
        if kind is Kind.CONFIRMED:
            self.record.answers.append((self.now(), host))
            resolve_waiters(self.ack_waiters, host)
        return kind

    async def put_until_answered(self, machine: Machine, version: ConfigVersion) -> bool:
        """Send a put until it has a clear reply; return whether it got one in `MAX_SENDS` sends."""
        chance, started_at = self.cluster.chance, self.now()
        self.record.orders += 1
        last = ""
        for _ in range(MAX_SENDS):
            host = chance.choice([host for host in self.cluster.hosts if host != last] or self.cluster.hosts)
            last = host
            lost = chance.random() < LOST_REPLY_RATIO
            kind = await self.send(
                machine, host, version, chance.choice(LOST_REPLY_TIMEOUTS_S) if lost else CALL_TIMEOUT_S
            )
            if kind is not Kind.UNCLEAR:
                self.record.times.append((started_at, self.now() - started_at))
                self.record.acknowledged += 1
                return True
            await pause(machine, chance.uniform(0.0, 0.05))
        self.record.times.append((started_at, INFINITY))
        return False

    # Reads

    async def read(self, machine: Machine, host: str) -> bool:
        """Read and record the result in the history; return whether it was answered."""
        client, started_at = self._client(machine, host), self.now()
        answer = await client.call("read", None, CALL_TIMEOUT_S)
        if not isinstance(answer, Success) or not answer.unwrap()[0]:
            return False
        body = answer.unwrap()[1]
        number = int(body.split(b" ")[0][1:]) if body else NO_NUMBER
        self.record.ops.append(
            Operation(
                Kind.READ,
                number,
                digest(body) if body else "",
                started_at,
                self.now(),
                f"{machine.name} at {host}",
            )
        )
        return True

    # Client loops

    async def _operate(self, machine: Machine) -> int:
        chance = self.cluster.chance
        while True:
            if self.is_paused:
                self.paused_operators += 1
                while self.is_paused:
                    await pause(machine, 0.05)
                self.paused_operators -= 1
            version = self._next_version(machine.name)
            self.sent.append(version)
            await self.put_until_answered(machine, version)
            if chance.random() < READ_RATIO:
                await self.read(machine, chance.choice(self.cluster.hosts))
            await pause(machine, chance.uniform(0.0, self.pace))

    async def _read(self, machine: Machine) -> int:
        while True:
            if self.is_reading:
                await self.read(machine, self.cluster.chance.choice(self.cluster.hosts))
            await pause(machine, self.cluster.chance.uniform(0.0, 0.02) if self.is_reading else 0.05)

    async def wait_for_next(
        self, machine: Machine, waiting: list[asyncio.Future[str]], timeout_s: float
    ) -> str | None:
        """Return the member of the next event in `waiting` (acknowledgement or put); None after `timeout_s`."""
        future: asyncio.Future[str] = machine.create_future()
        waiting.append(future)
        timer = machine.call_later(timeout_s, resolve_waiters, [future], "")
        host = await future
        timer.cancel()
        return host or None

    async def pause_operators(self, machine: Machine) -> None:
        """Stop new puts and wait until none is in progress."""
        self.is_paused = True
        while self.paused_operators < self.operators:
            await pause(machine, 0.05)

    # Watchers

    async def watch_once(
        self,
        machine: Machine,
        client: RpcClient,
        host: str,
        assembler: ChunkAssembler,
        sync_state: Any,
        change: int,
    ) -> Any:
        """Send one watch; return the change and the version if now complete; None without a reply."""
        answer = await client.call(
            "watch", [assembler.sync_state(sync_state).encode(), change], WATCH_TIMEOUT_S
        )
        if not isinstance(answer, Success):
            return None
        chunk, (change, number, version_id, members), _, age = answer.unwrap()
        self.record.seen.append(
            WatchReply(self.now(), host, change, number, bytes(version_id).hex(), age, members[0])
        )
        return change, assembler.add_chunk(chunk) if chunk is not None else None

    async def _watch(self, machine: Machine) -> int:
        """Watch one member after the other: change on a missing reply, and sometimes at random."""
        chance = self.cluster.chance
        version_store, sync_state, change = VersionStore(), NO_VERSION, -1
        assembler = ChunkAssembler(version_store)
        while True:
            host = chance.choice(self.cluster.hosts)
            client = self._client(machine, host)
            while chance.random() < 0.95:
                reply = await self.watch_once(machine, client, host, assembler, sync_state, change)
                if reply is None:
                    break
                change = max(change, reply[0])
                if reply[1] is not None and reply[1].version_id > sync_state:
                    sync_state = reply[1].version_id
                    self._record_applied(machine, host, sync_state.number, sync_state.digest.hex())
            await pause(machine, 0.1)

    def _record_applied(self, machine: Machine, host: str, number: int, body: str) -> None:
        """Record that a watcher applied a version, which must have been decided."""
        self.record.ops.append(
            Operation(Kind.READ, number, body, -INFINITY, self.now(), f"{machine.name} by {host}")
        )
