"""Five processes of the configuration store over loopback sockets, with a fault proxy between them.

SIGSTOP, SIGKILL, a lost disk, and one-way and two-way partitions follow each other while two operators put
versions under the same numbers. The history must be linearizable. All waits are bounded; processes are ended
by their ids.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import os
import random
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from returns.result import Success

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.rpc.client import RpcClient
from irisdeal.simulation.cluster.linearizability import NO_NUMBER, Kind, Operation, check
from tests.support.fault_proxy import FaultProxy

ROOT = Path(__file__).parents[2]
COUNT = 5
FIRST_PORT = 17_400
PORT_RANGE = 20  # ports of each member
NET = "127.7.0"
STOPPED_S = 4.0
FAULT_INTERVAL_S = 1.6  # between two faults
SYNC_S = 1  # as in the settings; short, so that all faults fit into half a minute
STARTUP_TIMEOUT_S = 8.0
READ_TIMEOUT_S = 6.0


@dataclass
class Store:
    """The processes, and the fault proxies between them."""

    folder: Path
    running: dict[int, subprocess.Popen[bytes]] = field(default_factory=dict)
    gates: dict[tuple[int, int], FaultProxy] = field(default_factory=dict)

    @staticmethod
    def address(member: int) -> tuple[str, int]:
        return f"{NET}.{member + 1}", FIRST_PORT + PORT_RANGE * member

    async def open_gates(self) -> None:
        for caller, called in itertools.permutations(range(COUNT), 2):
            host, port = self.address(called)
            self.gates[caller, called] = gate = FaultProxy((host, self.address(caller)[1]), (host, port))
            await gate.open()

    def start(self, member: int, first: bool = False) -> None:
        host, port = self.address(member)
        seeds = ", ".join(f'"{self.address(seed)[0]}:9000"' for seed in range(3))
        settings = self.folder / f"{member}.toml"
        settings.write_text(f"""
node_name = "m{member}"
role = "config_store"
ip = "{host}"
zone = "z{member}"
port_range = [{port}, {port + PORT_RANGE - 1}]
seed_peers = [{seeds}]
bootstrap = {str(first).lower()}
counted = true
config_source = "compared"
data_path = "{self.folder / f"disk{member}"}"
bounds = ["contact_ms=3000", "sync_s={SYNC_S}", "grace_s=6"]
[tolerance]
machines = 1
""")
        with (self.folder / f"{member}.log").open("ab") as log:
            self.running[member] = subprocess.Popen(
                [sys.executable, "-m", "irisdeal.config_store"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "IRISDEAL_SETTINGS": str(settings)},
            )

    def kill(self, member: int, wipe: bool = False) -> None:
        self.running[member].kill()
        self.running[member].wait(5)
        if wipe:
            shutil.rmtree(self.folder / f"disk{member}", ignore_errors=True)

    def partition(self, member: int, out: bool, into: bool) -> None:
        for (caller, called), gate in self.gates.items():
            if caller == member:
                gate.set_blocked(out, into)
            elif called == member:
                gate.set_blocked(into, out)

    async def end(self) -> None:
        for process in self.running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(5)
        for gate in self.gates.values():
            await gate.close()


@dataclass
class Operators:
    """Two operators that put versions under the same numbers, and the history of their operations."""

    rng: random.Random
    ops: list[Operation] = field(default_factory=list)
    number: int = 0
    is_over: bool = False

    async def put(self, member: int, version: ConfigVersion, operator: str) -> Kind:
        link, started_at = RpcClient(Store.address(member), operator), time.monotonic()
        result = await link.call(
            "put", [version.version_id.number, version.version_id.digest, version.body], 1.0
        )
        link.close()
        outcome = int(result.unwrap()) if isinstance(result, Success) else 0
        kind = (Kind.UNCLEAR, Kind.CONFIRMED, Kind.CONFLICT)[outcome]
        self.ops.append(
            Operation(
                kind,
                version.version_id.number,
                version.version_id.digest.hex(),
                started_at,
                time.monotonic(),
                f"{operator} at {member}",
            )
        )
        return kind

    async def read(self, member: int, operator: str) -> bool:
        link, started_at = RpcClient(Store.address(member), operator), time.monotonic()
        result = await link.call("read", None, 1.0)
        link.close()
        if not isinstance(result, Success) or not result.unwrap()[0]:
            return False
        body = result.unwrap()[1]
        number, digest = (
            (int(body.split()[0][1:]), hashlib.sha256(body).hexdigest()) if body else (NO_NUMBER, "")
        )
        self.ops.append(
            Operation(Kind.READ, number, digest, started_at, time.monotonic(), f"{operator} at {member}")
        )
        return True

    async def operate(self, operator: str) -> None:
        while not self.is_over:
            if self.rng.random() < 0.6:
                self.number += 1
            body = b"r%d %s %d" % (self.number, operator.encode(), self.rng.getrandbits(60))
            version = ConfigVersion.of(f"r{self.number}", body)
            for _ in range(8):
                if await self.put(self.rng.randrange(COUNT), version, operator) is not Kind.UNCLEAR:
                    break
            await self.read(self.rng.randrange(COUNT), operator)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    async def read_all(self, timeout_s: float) -> list[int]:
        """Return the members that did not reply to a read in time."""
        pending, deadline = list(range(COUNT)), time.monotonic() + timeout_s
        while pending and time.monotonic() < deadline:
            pending = [member for member in pending if not await self.read(member, "end")]
            await asyncio.sleep(0.05)
        return pending


async def _faults(store: Store) -> list[tuple[str, float, float]]:
    """Lose one member at a time, then all; return the name, start and end of each loss of one member."""
    spans: list[tuple[str, float, float]] = []

    @contextlib.contextmanager
    def span(name: str) -> Iterator[None]:
        started_at = time.monotonic()
        yield
        spans.append((name, started_at, time.monotonic()))

    with span("stopped"):
        store.running[0].send_signal(signal.SIGSTOP)
        await asyncio.sleep(STOPPED_S)
        store.running[0].send_signal(signal.SIGCONT)
        await asyncio.sleep(FAULT_INTERVAL_S)
    with span("killed"):
        store.kill(1)
        await asyncio.sleep(0.3)
        store.start(1)
        await asyncio.sleep(FAULT_INTERVAL_S)
    with span("disk lost"):
        store.kill(2, wipe=True)
        await asyncio.sleep(0.3)
        store.start(2)
        await asyncio.sleep(FAULT_INTERVAL_S + SYNC_S)
    for name, out, into in (
        ("nothing goes out", True, False),
        ("nothing comes in", False, True),
        ("cut", True, True),
    ):
        with span(name):
            store.partition(3, out, into)
            await asyncio.sleep(2.0)
            store.partition(3, False, False)
            await asyncio.sleep(FAULT_INTERVAL_S)
    for member in range(COUNT):
        store.kill(member)
    for member in range(COUNT):
        store.start(member)
    return spans


async def _run_faults(store: Store) -> tuple[list[Operation], list[int], list[str]]:
    """Return the history, the members that do not reply to a final read, and the losses without a confirmed
    put.
    """
    operators = Operators(random.Random(7))
    await store.open_gates()
    for member in range(COUNT):
        store.start(member, first=True)
    try:
        assert await operators.read_all(STARTUP_TIMEOUT_S) == [], "members did not start in time"
        tasks = [asyncio.ensure_future(operators.operate(f"operator-{number}")) for number in range(2)]
        await asyncio.sleep(0.5)
        spans = await _faults(store)
        await asyncio.sleep(1.0)
        operators.is_over = True
        await asyncio.gather(*tasks)
        unresponsive = await operators.read_all(READ_TIMEOUT_S)
        losses_without_put = [
            name
            for name, started_at, ended_at in spans
            if not any(
                op.kind is Kind.CONFIRMED and started_at <= op.start and op.end <= ended_at
                for op in operators.ops
            )
        ]
        return operators.ops, unresponsive, losses_without_put
    finally:
        await store.end()


def test_five_processes_of_the_store_under_stops_kills_partitions_and_a_lost_disk(tmp_path: Path) -> None:
    ops, unresponsive, losses_without_put = asyncio.run(_run_faults(Store(tmp_path)))
    assert unresponsive == [], f"members that do not reply to a final read: {unresponsive}"
    assert check(ops) == []
    assert losses_without_put == [], f"losses of one member without a confirmed put: {losses_without_put}"
