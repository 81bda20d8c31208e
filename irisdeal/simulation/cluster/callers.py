"""Those who call the store in a day: operators that put and read, and watchers, as doors are. All they know of it
is what they were answered, and it goes into a history.

An order that had no clear answer is sent again unchanged, to any member; at times its answer is given up at once,
as one that is lost. Operators send two bodies under one number at the same moment, and old orders again.
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

PATIENCE = 1.0  # s of silence after which an operator goes to another member
LOSE_AFTER = (0.0005, 0.004, 0.02, 0.08)  # s after which an answer counts as lost on its way
PACE = 0.7  # s at most, times the operators, between two orders of one of them
MOST_SENDS = 12  # times that one order is sent
READS = 0.4  # share of orders that a read follows
OLD = 0.08  # share of orders that are old ones, sent again
TWICE = 0.25  # share that have the number of another order
GONE_QUICK = 0.15  # share of sends whose answer is lost
HEAD = 48  # bytes of a body before its padding
HOLD = 1.6  # s that a watcher waits for an answer: the store holds an ask for 1 s


@dataclass
class Seen:
    """What a watcher was told: s, the member, the change, the stamp, the age in ms of the member's contact."""

    at: float
    host: str
    change: int
    number: int
    digest: str
    age: float
    members: int


@dataclass
class CallHistory:
    """What callers saw."""

    ops: list[Operation] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    orders: int = 0
    sends: int = 0
    acknowledged: int = 0
    times: list[tuple[float, float]] = field(
        default_factory=list
    )  # of each order: its begin, s until its ack
    answers: list[tuple[float, str]] = field(default_factory=list)  # acknowledgements: s, who gave it

    def newest(self) -> int:
        return max((op.number for op in self.ops if op.kind is Kind.CONFIRMED), default=NO_NUMBER)


def digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def wake(waiting: list[asyncio.Future[str]], host: str) -> None:
    """Whoever waits hears of it."""
    for future in waiting:
        if not future.done():
            future.set_result(host)
    waiting.clear()


class Callers:
    """The operators and watchers of one day."""

    def __init__(
        self,
        cluster: SimulatedCluster,
        operators: int,
        watchers: int,
        readers: int = 0,
        pace: float = PACE,
        size: int = 0,
    ) -> None:
        """`readers`: callers that do nothing but read. `size`: bytes of padding in each body."""
        self.cluster, self.size = cluster, size
        self.record = CallHistory()
        self.links: dict[tuple[str, str], RpcClient] = {}
        self.number = 0
        self.pace = pace * operators
        self.quiet = False  # no new orders
        self.reading = True  # those that do nothing but read do so
        self.resting = 0  # operators that have stopped
        self.sent: list[ConfigVersion] = []
        self.waiting: list[asyncio.Future[str]] = []  # for the next acknowledgement; the member that gave it
        self.awaiting: list[asyncio.Future[str]] = []  # for the next order that is sent; whom to
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
        return self.cluster.world.seconds()

    def _link(self, machine: Machine, host: str) -> RpcClient:
        if (machine.name, host) not in self.links:
            self.links[machine.name, host] = RpcClient((host, FIRST_PORT + ports.CONFIG_STORE), machine.name)
        return self.links[machine.name, host]

    # Orders

    def _body(self, number: int, name: str) -> bytes:
        head = b"r%d %s %d " % (number, name.encode(), self.cluster.chance.getrandbits(60))
        return head.ljust(HEAD, b".") + bytes(self.size)

    def _next(self, name: str) -> ConfigVersion:
        chance = self.cluster.chance
        if self.sent and chance.random() < OLD:
            return chance.choice(self.sent[-20:])
        if not (self.number and chance.random() < TWICE):
            self.number += chance.randint(1, 3)
        return ConfigVersion.of(f"r{self.number}", self._body(self.number, name))

    async def send(
        self, machine: Machine, host: str, version: ConfigVersion, patience: float = PATIENCE
    ) -> Kind:
        """One call, and its place in the history."""
        link, begun = self._link(machine, host), self.now()
        wake(self.awaiting, host)
        answer = await link.call(
            "put", [version.version_id.number, version.version_id.digest, version.body], patience
        )
        self.record.sends += 1
        told = int(answer.unwrap()) if isinstance(answer, Success) else 0
        kind = {0: Kind.UNCLEAR, 1: Kind.CONFIRMED, 2: Kind.CONFLICT}[told]
        self.record.ops.append(
            Operation(
                kind,
                version.version_id.number,
                digest(version.body),
                begun,
                self.now(),
                f"{machine.name} at {host}",
            )
        )
        if kind is Kind.CONFIRMED:
            self.record.answers.append((self.now(), host))
            wake(self.waiting, host)
        return kind

    async def order(self, machine: Machine, version: ConfigVersion) -> bool:
        """Sent again until it has a clear answer; whether it has."""
        chance, begun = self.cluster.chance, self.now()
        self.record.orders += 1
        last = ""
        for _ in range(MOST_SENDS):
            host = chance.choice([host for host in self.cluster.hosts if host != last] or self.cluster.hosts)
            last = host
            lost = chance.random() < GONE_QUICK
            kind = await self.send(machine, host, version, chance.choice(LOSE_AFTER) if lost else PATIENCE)
            if kind is not Kind.UNCLEAR:
                self.record.times.append((begun, self.now() - begun))
                self.record.acknowledged += 1
                return True
            await pause(machine, chance.uniform(0.0, 0.05))
        self.record.times.append((begun, INFINITY))
        return False

    # Reads

    async def read(self, machine: Machine, host: str) -> bool:
        """Whether it was answered; what, goes into the history."""
        link, begun = self._link(machine, host), self.now()
        answer = await link.call("read", None, PATIENCE)
        if not isinstance(answer, Success) or not answer.unwrap()[0]:
            return False
        body = answer.unwrap()[1]
        number = int(body.split(b" ")[0][1:]) if body else NO_NUMBER
        self.record.ops.append(
            Operation(
                Kind.READ,
                number,
                digest(body) if body else "",
                begun,
                self.now(),
                f"{machine.name} at {host}",
            )
        )
        return True

    # What they do all day

    async def _operate(self, machine: Machine) -> int:
        chance = self.cluster.chance
        while True:
            if self.quiet:
                self.resting += 1
                while self.quiet:
                    await pause(machine, 0.05)
                self.resting -= 1
            version = self._next(machine.name)
            self.sent.append(version)
            await self.order(machine, version)
            if chance.random() < READS:
                await self.read(machine, chance.choice(self.cluster.hosts))
            await pause(machine, chance.uniform(0.0, self.pace))

    async def _read(self, machine: Machine) -> int:
        while True:
            if self.reading:
                await self.read(machine, self.cluster.chance.choice(self.cluster.hosts))
            await pause(machine, self.cluster.chance.uniform(0.0, 0.02) if self.reading else 0.05)

    async def next(self, machine: Machine, waiting: list[asyncio.Future[str]], most: float) -> str | None:
        """The member of the next acknowledgement, or order sent; None after so many s without one."""
        future: asyncio.Future[str] = machine.create_future()
        waiting.append(future)
        timer = machine.call_later(most, wake, [future], "")
        host = await future
        timer.cancel()
        return host or None

    async def rest(self, machine: Machine) -> None:
        """Until no operator has an order under way."""
        self.quiet = True
        while self.resting < self.operators:
            await pause(machine, 0.05)

    # Watchers

    async def ask(
        self,
        machine: Machine,
        link: RpcClient,
        host: str,
        assembler: ChunkAssembler,
        sync_state: Any,
        change: int,
    ) -> Any:
        """One watch: the value told, and the word of it where it is whole now; None where there was no answer."""
        answer = await link.call("watch", [assembler.sync_state(sync_state).encode(), change], HOLD)
        if not isinstance(answer, Success):
            return None
        chunk, (change, number, version_id, members), _, age = answer.unwrap()
        self.record.seen.append(
            Seen(self.now(), host, change, number, bytes(version_id).hex(), age, members[0])
        )
        return change, assembler.add_chunk(chunk) if chunk is not None else None

    async def _watch(self, machine: Machine) -> int:
        """As a door: a source, left when it says nothing, and now and then for no reason."""
        chance = self.cluster.chance
        version_store, sync_state, change = VersionStore(), NO_VERSION, -1
        assembler = ChunkAssembler(version_store)
        while True:
            host = chance.choice(self.cluster.hosts)
            link = self._link(machine, host)
            while chance.random() < 0.95:
                told = await self.ask(machine, link, host, assembler, sync_state, change)
                if told is None:
                    break
                change = max(change, told[0])
                if told[1] is not None and told[1].version_id > sync_state:
                    sync_state = told[1].version_id
                    self._in_force(machine, host, sync_state.number, sync_state.digest.hex())
            await pause(machine, 0.1)

    def _in_force(self, machine: Machine, host: str, number: int, body: str) -> None:
        """A door acts on it: it must have been decided."""
        self.record.ops.append(
            Operation(Kind.READ, number, body, -INFINITY, self.now(), f"{machine.name} by {host}")
        )
