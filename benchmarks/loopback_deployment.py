"""The gateway's programs as real processes on loopback, with stand-ins for a backend and an operator.

Each core machine runs a registry and a store, each edge machine a proxy. The soaks build on this module.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import sysconfig
from pathlib import Path
from typing import IO

ROOT = Path(__file__).parents[1]
PORT_RANGE = (17_300, 17_319)
CONTROL_PORT, FRONT_PORT, READINESS_PORT, BACKEND_PORT = 17_330, 17_331, 17_332, 17_333
DEFAULT_CORE_COUNT = 4
ZONE_COUNT = 4
CALL_TIMEOUT_S = 1.0  # of backends and operators, which then go on to another machine
MEMORY_MB = 300.0  # limit of one process
GRACE_S = 6.0  # from SIGTERM to the platform's SIGKILL
RECOVERY_S = 15.0  # after a loss, until requests must be served again
SERVED_BY = {"proxy": ["edge"], "registry": ["control_plane"]}
SETTINGS = """
node_name = "{role}-{ip}"
role = "{role}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
port_range = [{ports[0]}, {ports[1]}]
seed_peers = {seeds}
bootstrap = {is_first}
counted = true
beat_interval_ms = 500
data_path = "{disk}"
bounds = [
    "contact_ms=5000", "apply_ms=3000", "sync_s=6", "grace_s={grace_s}", "recovery_s={recovery_s}",
    "retry_ratio=0.2", "retry_window_s=2", "retry_slack=56",
]
[limits]
memory_mb = {memory_mb}
[zones]
{zones}
[bind]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
"""


class Deployment:
    """The processes of one run; `network`: second octet of their addresses."""

    def __init__(
        self,
        folder: Path,
        network: int,
        proxies: int,
        cores: int = DEFAULT_CORE_COUNT,
        log_to_pipe: bool = False,
        root: Path = ROOT,
    ) -> None:
        """`log_to_pipe`: standard error is a pipe, which the caller reads, in place of a file; `root`: checkout."""
        self.folder, self.log_to_pipe, self.root = folder, log_to_pipe, root
        self.cores = [f"127.{network}.0.{number + 1}" for number in range(cores)]
        self.proxies = [f"127.{network}.1.{number + 1}" for number in range(proxies)]
        self.backend = f"127.{network}.2.1"
        self.running: dict[tuple[str, str], subprocess.Popen[bytes]] = {}

    def processes(self) -> list[tuple[str, str]]:
        """Return role and address of each process of the deployment."""
        core = [(role, ip) for ip in self.cores for role in ("config_store", "registry")]
        return [*core, *(("proxy", ip) for ip in self.proxies)]

    def settings_text(self, role: str, ip: str, is_first: bool = False) -> str:
        """Return the settings file of a process."""
        number = int(ip.rpartition(".")[2])
        return SETTINGS.format(
            role=role,
            serves=json.dumps(SERVED_BY.get(role, [])),
            ip=ip,
            zone=f"z{number % ZONE_COUNT}",
            ports=PORT_RANGE,
            seeds=json.dumps([f"{core}:{CONTROL_PORT}" for core in self.cores[:3]]),
            is_first=json.dumps(is_first),
            disk=self.folder / f"disk-{ip}" if ip in self.cores else "",
            zones="\n".join(f'z{zone} = "r"' for zone in range(ZONE_COUNT)),
            memory_mb=MEMORY_MB,
            grace_s=GRACE_S,
            recovery_s=RECOVERY_S,
            front=FRONT_PORT,
            readiness=READINESS_PORT,
            control=CONTROL_PORT,
        )

    def settings_path(self, role: str, ip: str) -> Path:
        """Return where the settings file of a process is."""
        return self.folder / f"{role}-{ip}.toml"

    def start(self, role: str, ip: str, is_first: bool = False) -> subprocess.Popen[bytes]:
        """Start a process."""
        path = self.settings_path(role, ip)
        path.write_text(self.settings_text(role, ip, is_first))
        with contextlib.ExitStack() as stack:
            log: int | IO[bytes] = subprocess.PIPE
            if not self.log_to_pipe:
                log = stack.enter_context((self.folder / f"{role}-{ip}.log").open("ab"))
            process = subprocess.Popen(
                [sys.executable, "-S", "-m", f"irisdeal.{role}"],
                cwd=self.root,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
                env={
                    **os.environ,
                    "IRISDEAL_SETTINGS": str(path),
                    "PYTHONPATH": sysconfig.get_path("purelib"),
                },
            )
        self.running[role, ip] = process
        return process

    def signal(self, role: str, ip: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        with contextlib.suppress(ProcessLookupError):
            self.running[role, ip].send_signal(number)

    async def wait(self, role: str, ip: str) -> None:
        """Wait for the end of a process that was told to end."""
        process = self.running[role, ip]
        while process.poll() is None:
            await asyncio.sleep(0.02)

    def stop(self) -> None:
        """End all processes."""
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait(5)


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes]]:
    """Read a message with a length, and discard its body; return its first line and its headers."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
    parts = (line.partition(b":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in parts}
    await reader.readexactly(int(headers.get(b"content-length", b"0")))
    return first, headers


async def call_control(ip: str, path: str, body: bytes) -> int:
    """Make one call of a backend or an operator; return the status, 0 without an answer."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, CONTROL_PORT)
            head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            first, _ = await read_message(reader)
            writer.close()
            return int(first.split()[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0


def heartbeat(service: str, ip: str, call_count: int) -> bytes:
    """Return the heartbeat of the stand-in backend at this address."""
    return json.dumps(
        {
            "service": service,
            "address": f"{ip}:{BACKEND_PORT}",
            "zone": "z0",
            "generation": "v1",
            "capacity": 500,
            "state": "ready",
            "warmup_left_ms": 0,
            "call_count": call_count,
        }
    ).encode()


def success(attempt: bytes) -> bytes:
    """Return a backend's response to the request with this attempt id."""
    return (
        b"HTTP/1.1 200 OK\r\nX-Irisdeal-Attempt-Id: " + attempt + b"\r\n"
        b"X-Irisdeal-Backend-Seal: s\r\nContent-Length: 2\r\n\r\nok"
    )
