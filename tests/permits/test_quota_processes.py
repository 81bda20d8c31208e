"""Five processes over loopback sockets: a store, a registry and three proxies, our fault proxy in between.

A flood by one tenant goes over all proxies; what runs at the stand-in backend is counted in every window.

Everything is bounded; processes are ended by their ids.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from irisdeal.simulation.quota.judge import QuotaJudge
from tests.support.fault_proxy import FaultProxy

ROOT = Path(__file__).parents[2]
CORE, DOORS = "127.8.0.1", ("127.8.0.2", "127.8.0.3", "127.8.0.4")
CORE_PORT, APART = 17_600, 20  # of the first port range, and between two
CONTROL, FRONT, BACKEND = 17_700, 17_701, 17_702
RATE, FLOOD = 20, 60  # requests a second: the tenant's limit, and what each proxy is asked for
UP_BY_S, FLOOD_S = 12.0, 13.0
SETTINGS = """
node_name = "{name}"
role = "{role}"
ip = "{ip}"
zone = "z"
port_range = [{port}, {last}]
seed_peers = ["{core}:{control}"]
bootstrap = {first}
counted = true
beat_interval_ms = 500
data_path = "{disk}"
bounds = ["contact_ms=3000", "sync_s=1", "grace_s=6"]
[zones]
z = "r"
[bind]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
"""


@dataclass
class Processes:
    """The processes, the gates before the registry, and what ran."""

    folder: Path
    running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    gates: dict[str, FaultProxy] = field(default_factory=dict)
    judge: QuotaJudge = field(default_factory=lambda: QuotaJudge(RATE, RATE))
    asked: int = 0

    def start(self, role: str, ip: str, first: bool = False) -> None:
        number = (CORE, *DOORS).index(ip)
        port = CORE_PORT + APART * number
        settings = self.folder / f"{role}{number}.toml"
        settings.write_text(
            SETTINGS.format(
                name=f"{role}{number}",
                role=role,
                ip=ip,
                port=port,
                last=port + APART - 1,
                core=CORE,
                control=CONTROL,
                first=str(first).lower(),
                disk=self.folder / "disk" if ip == CORE else "",
                front=FRONT,
                readiness=FRONT + 10,
            )
        )
        with (self.folder / f"{role}{number}.log").open("ab") as log:
            self.running[role + ip] = subprocess.Popen(
                [sys.executable, "-m", f"irisdeal.{role}"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "IRISDEAL_SETTINGS": str(settings)},
            )

    def kill(self, role: str, ip: str) -> None:
        process = self.running[role + ip]
        process.kill()
        process.wait(5)

    async def open_gates(self) -> None:
        for number, door in enumerate(DOORS, 1):
            gate = FaultProxy((CORE, CORE_PORT + APART * number + 1), (CORE, CORE_PORT + 1))
            self.gates[door] = gate
            await gate.open()

    async def end(self) -> None:
        for process in self.running.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait(5)
        for gate in self.gates.values():
            await gate.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes]]:
    """The first line and the fields."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
    named = (line.partition(b":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in named}


async def call(
    host: str,
    port: int,
    line: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> int:
    """The status of an answer on a connection of its own; 0 for none."""
    try:
        async with asyncio.timeout(1.5):
            reader, writer = await asyncio.open_connection(host, port)
            fields = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
            head = f"{line} HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            first, _ = await read_head(reader)
            writer.close()
            return int(first.split()[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError):
        return 0


async def backend(judge: QuotaJudge) -> asyncio.Server:
    """A stand-in: it runs what comes and notes when."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                _, fields = await read_head(reader)
                await reader.readexactly(int(fields.get(b"content-length", b"0")))
                judge.record_run(time.monotonic())
                writer.write(
                    b"HTTP/1.1 200 OK\r\nX-Irisdeal-Attempt-Id: "
                    + fields[b"x-irisdeal-attempt-id"]
                    + b"\r\nX-Irisdeal-Backend-Seal: s\r\nContent-Length: 2\r\n\r\nok"
                )
        writer.close()

    return await asyncio.start_server(serve, CORE, BACKEND)


async def beat() -> None:
    """The backend says that it is there."""
    count = 0
    while True:
        count += 1
        word = {
            "service": "s",
            "address": f"{CORE}:{BACKEND}",
            "zone": "z",
            "generation": "v1",
            "capacity": 500,
            "state": "ready",
            "warmup_left_ms": 0,
            "call_count": count,
        }
        await call(CORE, CONTROL, "POST /backends/i-1/heartbeat", json.dumps(word).encode())
        await asyncio.sleep(0.4)


async def flood(processes: Processes, door: str, until: float, chance: random.Random) -> None:
    """Ask one proxy `FLOOD` times a second, whatever it answers."""
    tasks: set[asyncio.Task[int]] = set()
    while time.monotonic() < until:
        processes.asked += 1
        headers = {
            "Authorization": "Bearer k",
            "X-Irisdeal-Attempt-Id": f"{chance.getrandbits(60):x}",
            "X-Irisdeal-Deadline-Ms": "1000",
        }
        task = asyncio.ensure_future(call(door, FRONT, "GET /a/x", headers=headers))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(chance.expovariate(FLOOD))
    await asyncio.gather(*tasks)


async def faults(processes: Processes) -> None:
    """One proxy hears and misses in turns, one is cut off, the registry and a proxy are killed."""
    first, second, third = (processes.gates[door] for door in DOORS)
    for _ in range(15):
        first.set_blocked(True, True)
        await asyncio.sleep(0.1)
        first.set_blocked(False, False)
        await asyncio.sleep(0.1)
    second.set_blocked(True, True)
    await asyncio.sleep(3.0)
    second.set_blocked(False, False)
    processes.kill("registry", CORE)
    await asyncio.sleep(0.3)
    processes.start("registry", CORE)
    await asyncio.sleep(1.5)
    processes.kill("proxy", DOORS[0])
    processes.start("proxy", DOORS[0])
    third.set_blocked(False, True)
    await asyncio.sleep(1.5)
    third.set_blocked(False, False)


async def day(processes: Processes) -> float:
    """When the flood began."""
    chance = random.Random(5)
    await processes.open_gates()
    server = await backend(processes.judge)
    processes.start("config_store", CORE, first=True)
    processes.start("registry", CORE, first=True)
    beating = asyncio.ensure_future(beat())
    try:
        rule = {
            "name": "r",
            "kind": "mutating",
            "target_ms": 400,
            "pattern": {"path_prefix": "/a/"},
            "effect": {"service": "s", "timeout_ms": 1000, "max_tries": 2},
        }
        body = json.dumps(
            {
                "generation": "r1",
                "pools": [{"name": "s"}],
                "sockets": [{"hostname": "h", "rules": [rule]}],
                "tenants": [{"name": "t", "api_keys": ["k"], "rate_per_s": RATE, "burst": RATE}],
            }
        ).encode()
        up_by = time.monotonic() + UP_BY_S
        while await call(CORE, CONTROL, "POST /config/replace", body) != 200:
            assert time.monotonic() < up_by, "the store takes no order"
            await asyncio.sleep(0.1)
        for door in DOORS:
            processes.start("proxy", door)
        headers = {"Authorization": "Bearer k", "X-Irisdeal-Attempt-Id": "1"}
        for door in DOORS:
            while await call(door, FRONT, "GET /a/x", headers=headers) != 200:
                assert time.monotonic() < up_by, "a proxy serves nothing"
                await asyncio.sleep(0.1)
        began = time.monotonic()
        await asyncio.gather(
            faults(processes), *(flood(processes, door, began + FLOOD_S, chance) for door in DOORS)
        )
        return began
    finally:
        beating.cancel()
        server.close()
        await processes.end()


def test_five_processes_and_a_flood_under_cuts_and_kills(tmp_path: Path) -> None:
    processes = Processes(tmp_path)
    began = asyncio.run(day(processes))
    judge = processes.judge
    assert judge.worst() <= 1.0
    assert processes.asked >= 5 * RATE * FLOOD_S, "that was no flood"
    assert judge.served(began, began + FLOOD_S) >= 0.5 * RATE * FLOOD_S
