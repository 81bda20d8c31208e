"""Five processes over loopback sockets: a store, a registry and three proxies, connected by fault proxies.

One tenant overloads all proxies; the requests executed by the stand-in backend are counted in every window.

Everything is bounded; processes are terminated by their ids.
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
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from irisdeal.simulation.quota.judge import QuotaJudge
from tests.support.fault_proxy import FaultProxy

ROOT = Path(__file__).parents[2]
CORE_IP = "127.8.0.1"
PROXY_IPS = ("127.8.0.2", "127.8.0.3", "127.8.0.4")
CORE_PORT = 17_600  # start of the first port range
PORT_RANGE = 20
CONTROL_PORT = 17_700
FRONT_PORT = 17_701
BACKEND_PORT = 17_702
RATE_PER_S = 20  # the tenant's limit
FLOOD_PER_S = 60  # requests sent to each proxy
MAX_STARTUP_S = 12.0
FLOOD_S = 13.0
ABSENCES_FROM_S = 2.0
ABSENCE_COUNT = 12
ABSENCE_GAP_S = 0.25
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
    """The processes, the fault proxies in front of the registry, and the executed requests."""

    folder: Path
    running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    gates: dict[str, FaultProxy] = field(default_factory=dict)
    judge: QuotaJudge = field(default_factory=lambda: QuotaJudge(RATE_PER_S, RATE_PER_S))
    sent_count: int = 0

    def start(self, role: str, ip: str, first: bool = False) -> None:
        number = (CORE_IP, *PROXY_IPS).index(ip)
        port = CORE_PORT + PORT_RANGE * number
        settings = self.folder / f"{role}{number}.toml"
        settings.write_text(
            SETTINGS.format(
                name=f"{role}{number}",
                role=role,
                ip=ip,
                port=port,
                last=port + PORT_RANGE - 1,
                core=CORE_IP,
                control=CONTROL_PORT,
                first=str(first).lower(),
                disk=self.folder / "disk" if ip == CORE_IP else "",
                front=FRONT_PORT,
                readiness=FRONT_PORT + 10,
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
        for number, proxy_ip in enumerate(PROXY_IPS, 1):
            gate = FaultProxy((CORE_IP, CORE_PORT + PORT_RANGE * number + 1), (CORE_IP, CORE_PORT + 1))
            self.gates[proxy_ip] = gate
            await gate.open()

    async def stop(self) -> None:
        for process in self.running.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait(5)
        for gate in self.gates.values():
            await gate.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes]]:
    """Return the first line and the headers."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
    parts = (line.partition(b":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in parts}


async def call(
    host: str,
    port: int,
    line: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> int:
    """Send a request on its own connection; return the status of the response, or 0 if there is none."""
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
    """Start a stand-in backend, which executes all requests and records their times."""

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

    return await asyncio.start_server(serve, CORE_IP, BACKEND_PORT)


async def send_heartbeats() -> None:
    """Send the backend's heartbeats."""
    count = 0
    while True:
        count += 1
        heartbeat = {
            "service": "s",
            "address": f"{CORE_IP}:{BACKEND_PORT}",
            "zone": "z",
            "generation": "v1",
            "capacity": 500,
            "state": "ready",
            "warmup_left_ms": 0,
            "call_count": count,
        }
        await call(CORE_IP, CONTROL_PORT, "POST /backends/i-1/heartbeat", json.dumps(heartbeat).encode())
        await asyncio.sleep(0.4)


async def flood(processes: Processes, proxy_ip: str, until: float, rng: random.Random) -> None:
    """Send `FLOOD_PER_S` requests a second to one proxy, regardless of the responses."""
    tasks: set[asyncio.Task[int]] = set()
    while time.monotonic() < until:
        processes.sent_count += 1
        headers = {
            "Authorization": "Bearer k",
            "X-Irisdeal-Attempt-Id": f"{rng.getrandbits(60):x}",
            "X-Irisdeal-Deadline-Ms": "1000",
        }
        task = asyncio.ensure_future(call(proxy_ip, FRONT_PORT, "GET /a/x", headers=headers))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.expovariate(FLOOD_PER_S))
    await asyncio.gather(*tasks)


async def play_faults(processes: Processes) -> None:
    """Disconnect one proxy repeatedly, partition another one, and kill the registry and a proxy."""
    first, second, third = (processes.gates[proxy_ip] for proxy_ip in PROXY_IPS)
    for _ in range(15):
        first.set_blocked(True, True)
        await asyncio.sleep(0.1)
        first.set_blocked(False, False)
        await asyncio.sleep(0.1)
    second.set_blocked(True, True)
    await asyncio.sleep(3.0)
    second.set_blocked(False, False)
    processes.kill("registry", CORE_IP)
    await asyncio.sleep(0.3)
    processes.start("registry", CORE_IP)
    await asyncio.sleep(1.5)
    processes.kill("proxy", PROXY_IPS[0])
    processes.start("proxy", PROXY_IPS[0])
    third.set_blocked(False, True)
    await asyncio.sleep(1.5)
    third.set_blocked(False, False)


def configuration(number: int, has_tenant: bool = True) -> bytes:
    """Return a configuration with one route, and the tenant or another one in its place."""
    rule = {
        "name": "r",
        "kind": "mutating",
        "target_ms": 400,
        "pattern": {"path_prefix": "/a/"},
        "effect": {"service": "s", "timeout_ms": 1000, "max_tries": 2},
    }
    tenant = {"name": "t", "api_keys": ["k"], "rate_per_s": RATE_PER_S, "burst": RATE_PER_S}
    return json.dumps(
        {
            "generation": f"r{number}",
            "pools": [{"name": "s"}],
            "sockets": [{"hostname": "h", "rules": [rule]}],
            "tenants": [tenant if has_tenant else {"name": "other", "api_keys": ["other"]}],
        }
    ).encode()


async def play_absences(processes: Processes) -> None:
    """Remove the tenant for a moment and add it again, several times in the overload."""
    await asyncio.sleep(ABSENCES_FROM_S)
    for number in range(ABSENCE_COUNT):
        for version, has_tenant in ((2 * number + 2, False), (2 * number + 3, True)):
            body = configuration(version, has_tenant)
            assert await call(CORE_IP, CONTROL_PORT, "POST /config/replace", body) == 200
        await asyncio.sleep(ABSENCE_GAP_S)


async def play(processes: Processes, faults: Callable[[Processes], Awaitable[None]]) -> float:
    """Start all processes and play the overload with faults; return when the overload began."""
    rng = random.Random(5)
    await processes.open_gates()
    server = await backend(processes.judge)
    processes.start("config_store", CORE_IP, first=True)
    processes.start("registry", CORE_IP, first=True)
    heartbeats = asyncio.ensure_future(send_heartbeats())
    try:
        body = configuration(1)
        started_by = time.monotonic() + MAX_STARTUP_S
        while await call(CORE_IP, CONTROL_PORT, "POST /config/replace", body) != 200:
            assert time.monotonic() < started_by, "the store accepts no configuration"
            await asyncio.sleep(0.1)
        for proxy_ip in PROXY_IPS:
            processes.start("proxy", proxy_ip)
        headers = {"Authorization": "Bearer k", "X-Irisdeal-Attempt-Id": "1"}
        for proxy_ip in PROXY_IPS:
            while await call(proxy_ip, FRONT_PORT, "GET /a/x", headers=headers) != 200:
                assert time.monotonic() < started_by, "a proxy serves no request"
                await asyncio.sleep(0.1)
        began = time.monotonic()
        await asyncio.gather(
            faults(processes),
            *(flood(processes, proxy_ip, began + FLOOD_S, rng) for proxy_ip in PROXY_IPS),
        )
        return began
    finally:
        heartbeats.cancel()
        server.close()
        await processes.stop()


def test_processes_keep_a_limit_under_overload_partitions_and_kills(tmp_path: Path) -> None:
    processes = Processes(tmp_path)
    began = asyncio.run(play(processes, play_faults))
    judge = processes.judge
    assert judge.worst() <= 1.0
    assert processes.sent_count >= 5 * RATE_PER_S * FLOOD_S, "not an overload"
    assert judge.served(began, began + FLOOD_S) >= 0.5 * RATE_PER_S * FLOOD_S


# Guards against QUOTA: each time that a tenant was added again, a registry issued a full stock of permits.
def test_processes_keep_the_limit_of_a_tenant_that_comes_and_goes(tmp_path: Path) -> None:
    processes = Processes(tmp_path)
    began = asyncio.run(play(processes, play_absences))
    judge = processes.judge
    assert judge.worst() <= 1.0
    assert processes.sent_count >= 5 * RATE_PER_S * FLOOD_S, "not an overload"
    assert judge.served(began, began + FLOOD_S) >= 0.3 * RATE_PER_S * FLOOD_S
