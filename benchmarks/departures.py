"""Client disconnects and SIGTERM on a complete gateway of processes on loopback: which work goes on, what is cut.

`python -m benchmarks.departures` starts a store, a registry and a proxy, and a stub backend in this process, and
prints one line for each case. Every wait has a limit, all addresses are in 127.0.0.0/8, and each process is stopped
by its id.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parent.parent
CORE_IP = "127.9.0.1"
PROXY_IP = "127.9.0.2"
FIRST_PORT = 18_600  # of the ports between the processes
PORT_COUNT = 16
CONTROL_PORT = 18_700
FRONT_PORT = 18_701
READINESS_PORT = 18_702
BACKEND_PORT = 18_703
METRICS_PORTS = {"proxy": 18_710, "registry": 18_711, "config_store": 18_712}
SHUTDOWN_GRACE_S = 6.0  # from SIGTERM to SIGKILL
STARTUP_TIMEOUT_S = 15.0  # until the gateway answers its first request
CLIENT_TIMEOUT_S = 9.0
WARMUP_REQUEST_COUNT = 40  # before a SIGTERM: a proxy that has answered few requests accepts fewer after it
SLOW_READ_S = 5.0  # in which a slow client reads its answer
HEARTBEAT_INTERVAL_S = 0.4
SETTINGS_TEMPLATE = """
node_name = "{name}"
role = "{name}"
ip = "{ip}"
zone = "z"
metrics = "{metrics}/metrics"
port_range = [{port}, {last}]
seed_peers = ["{core}:{control}"]
bootstrap = true
counted = true
beat_interval_ms = 500
data_path = "{disk}"
bounds = ["contact_ms=3000", "sync_s=1", "grace_s={grace}"]
[zones]
z = "r"
[bind]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
"""


class DisconnectMode(enum.Enum):
    """How a client ends its connection."""

    RESET = "a reset"
    CLOSE = "close() (FIN)"
    HALF_CLOSE = "shutdown(SHUT_WR), still reading"


class RequestOutcome(enum.Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    REJECTED = "rejected (429 or 503)"
    NOT_CONNECTED = "not connected"
    INTERRUPTED = "interrupted"
    FAILED = "failed (5xx)"


@dataclass
class BackendRun:
    """One request at the stub backend. Times are in s of the monotonic clock."""

    attempt_id: str
    started_at: float
    ended_at: float | None = None
    is_complete: bool = False


@dataclass
class StubBackend:
    """Answers each request after the ms in its `X-Work-Ms` field, or aborts it when its connection ends."""

    runs: list[BackendRun] = field(default_factory=list)
    server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    def running_requests(self) -> list[BackendRun]:
        return [run for run in self.runs if run.ended_at is None]

    def has_started(self, attempt_id: str) -> bool:
        return any(run.attempt_id == attempt_id for run in self.runs)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                _, fields = await read_head(reader)
                await reader.readexactly(int(fields.get("content-length", "0")))
                await self._answer(reader, writer, fields)
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, fields: dict[str, str]
    ) -> None:
        run = BackendRun(fields["x-irisdeal-attempt-id"], time.monotonic())
        self.runs.append(run)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(float(fields.get("x-work-ms", "0")) / 1000):
                    if not await reader.read(1):
                        raise ConnectionResetError("the client closed its connection")
            body = b"x" * int(fields.get("x-answer-bytes", "2"))
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Irisdeal-Attempt-Id: %s\r\nX-Irisdeal-Backend-Seal: s\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (run.attempt_id.encode(), len(body), body)
            )
            run.is_complete = True
        finally:
            run.ended_at = time.monotonic()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line, and the header fields by lower-case name."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    named = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in named}


def build_request(
    attempt_id: str,
    work_ms: int,
    path: str = "/a/x",
    deadline_ms: int = 8000,
    answer_bytes: int = 2,
    method: str = "GET",
) -> bytes:
    """Encode a client's request that takes `work_ms` at the backend."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Irisdeal-Attempt-Id: {attempt_id}\r\n"
        f"X-Irisdeal-Deadline-Ms: {deadline_ms}\r\nX-Work-Ms: {work_ms}\r\n"
        f"X-Answer-Bytes: {answer_bytes}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def read_response_status(reader: asyncio.StreamReader) -> int:
    """The status of a complete response. Raises asyncio.IncompleteReadError or OSError if it is cut off."""
    first, fields = await read_head(reader)
    await reader.readexactly(int(fields["content-length"]))
    return int(first.split()[1])


async def request_status(host: str, port: int, line: str, body: bytes = b"") -> int:
    """Send one request on a new connection; returns the status of its response, 0 for none."""
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, port)
            head = f"{line} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            status = await read_response_status(reader)
            writer.close()
            return status
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError):
        return 0


def configuration() -> bytes:
    """One service with an idempotent route and a mutating one."""

    def rule(name: str, kind: str, prefix: str) -> dict[str, object]:
        effect = {"service": "s", "timeout_ms": 8000, "max_tries": 2}
        return {
            "name": name,
            "kind": kind,
            "target_ms": 4000,
            "pattern": {"path_prefix": prefix},
            "effect": effect,
        }

    rules = [rule("repeatable", "idempotent", "/a/"), rule("once", "mutating", "/b/")]
    return json.dumps(
        {"generation": "r1", "pools": [{"name": "s"}], "sockets": [{"hostname": "h", "rules": rules}]}
    ).encode()


@dataclass
class GatewayProcesses:
    """A store, a registry and a proxy, each in its own process, and the stub backend."""

    folder: Path
    backend: StubBackend = field(default_factory=StubBackend)
    running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, role: str) -> None:
        ip = PROXY_IP if role == "proxy" else CORE_IP
        settings = self.folder / f"{role}.toml"
        settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=role,
                metrics=METRICS_PORTS[role],
                ip=ip,
                port=FIRST_PORT,
                last=FIRST_PORT + PORT_COUNT - 1,
                core=CORE_IP,
                control=CONTROL_PORT,
                grace=SHUTDOWN_GRACE_S,
                disk=self.folder / "disk",
                front=FRONT_PORT,
                readiness=READINESS_PORT,
            )
        )
        with (self.folder / f"{role}.log").open("ab") as log:
            self.running[role] = subprocess.Popen(
                [sys.executable, "-m", f"irisdeal.{role}"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "IRISDEAL_SETTINGS": str(settings)},
            )

    def log(self, role: str) -> str:
        return (self.folder / f"{role}.log").read_text()

    def terminate(self, role: str) -> None:
        self.running[role].send_signal(signal.SIGTERM)

    async def wait_until_ended(self, role: str, within_s: float) -> float | None:
        """Return the s until this process ended; None if it still runs after `within_s`."""
        started_at = time.monotonic()
        while time.monotonic() - started_at < within_s:
            if self.running[role].poll() is not None:
                return time.monotonic() - started_at
            await asyncio.sleep(0.01)
        return None

    def stop(self) -> None:
        """Kill each process by its id."""
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
            process.wait(5)

    async def send_heartbeats(self) -> None:
        """Send the backend's heartbeats until cancelled."""
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
            await request_status(
                CORE_IP, CONTROL_PORT, "POST /backends/i-1/heartbeat", json.dumps(heartbeat).encode()
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


@contextlib.asynccontextmanager
async def running_gateway(folder: Path) -> AsyncIterator[GatewayProcesses]:
    """Start a gateway, and stop it at the end. AssertionError if no request is answered in time."""
    processes = GatewayProcesses(folder)
    await processes.backend.listen(CORE_IP, BACKEND_PORT)
    heartbeats = asyncio.ensure_future(processes.send_heartbeats())
    try:
        for role in ("config_store", "registry", "proxy"):
            processes.start(role)
        up_by = time.monotonic() + STARTUP_TIMEOUT_S
        while await request_status(CORE_IP, CONTROL_PORT, "POST /config/replace", configuration()) != 200:
            assert time.monotonic() < up_by, "the store acknowledges no configuration"
            await asyncio.sleep(0.1)
        client = Client("first", 0)
        while await client.ask() is not RequestOutcome.ANSWERED:
            assert time.monotonic() < up_by, "the proxy answers no request"
            await asyncio.sleep(0.1)
        yield processes
    finally:
        heartbeats.cancel()
        processes.backend.close()
        processes.stop()


@dataclass
class Client:
    """One request on a new connection."""

    attempt_id: str
    work_ms: int
    path: str = "/a/x"
    deadline_ms: int = 8000
    outcome: RequestOutcome | None = None
    sent_at: float = 0.0

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(PROXY_IP, FRONT_PORT)
        self.sent_at = time.monotonic()
        writer.write(build_request(self.attempt_id, self.work_ms, self.path, self.deadline_ms))
        return reader, writer

    async def ask(self) -> RequestOutcome:
        """Send the request and wait for its outcome."""
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                reader, writer = await self.connect()
        except (OSError, TimeoutError):
            self.outcome = RequestOutcome.NOT_CONNECTED
            return self.outcome
        self.outcome = await self.read_outcome(reader)
        writer.close()
        return self.outcome

    @staticmethod
    async def read_outcome(reader: asyncio.StreamReader) -> RequestOutcome:
        """Read the response to a request that was sent."""
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                status = await read_response_status(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return RequestOutcome.INTERRUPTED
        if status == 200:
            return RequestOutcome.ANSWERED
        return RequestOutcome.REJECTED if status in (429, 503) else RequestOutcome.FAILED


def disconnect(writer: asyncio.StreamWriter, how: DisconnectMode) -> None:
    """End a client's connection in this way."""
    match how:
        case DisconnectMode.RESET:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        case DisconnectMode.CLOSE:
            writer.close()
        case DisconnectMode.HALF_CLOSE:
            writer.write_eof()


async def count_running_after_disconnect(
    processes: GatewayProcesses, how: DisconnectMode, count: int = 8, work_ms: int = 2000
) -> int:
    """Disconnect `count` clients 0.3 s after their requests; returns the requests still running 0.5 s later."""
    opened = [await Client(f"{how.name}-{number}", work_ms).connect() for number in range(count)]
    await asyncio.sleep(0.3)
    for _, writer in opened:
        disconnect(writer, how)
    await asyncio.sleep(0.5)
    running_count = len(processes.backend.running_requests())
    await asyncio.sleep(work_ms / 1000)
    for _, writer in opened:
        writer.close()
    return running_count


def work_durations_ms() -> Iterator[int]:
    """Yield the ms of work of successive requests."""
    while True:
        yield from (100, 900, 2000)


@dataclass
class TerminationResult:
    """The outcomes of requests sent after a SIGTERM.

    `interrupted_sent_after_s`: when each request that the backend had started and that got no proper answer was
    sent, in s after the signal.
    """

    shutdown_s: float | None
    outcomes: dict[RequestOutcome, int]
    interrupted_sent_after_s: list[float]


async def terminate_under_load(processes: GatewayProcesses, interval_s: float = 0.05) -> TerminationResult:
    """Send SIGTERM to the proxy, and a request on a new connection every `interval_s` until it ends."""
    clients: list[Client] = []
    tasks: list[asyncio.Task[RequestOutcome]] = []
    work = work_durations_ms()
    warmup_clients = [Client(f"warm-{number}", next(work)) for number in range(WARMUP_REQUEST_COUNT)]
    await asyncio.gather(*(client.ask() for client in warmup_clients))
    signalled_at = time.monotonic()
    processes.terminate("proxy")
    ended = asyncio.ensure_future(processes.wait_until_ended("proxy", SHUTDOWN_GRACE_S + 1))
    while not ended.done():
        client = Client(f"term-{len(clients)}", next(work))
        clients.append(client)
        tasks.append(asyncio.ensure_future(client.ask()))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*tasks)
    interrupted = [
        c
        for c in clients
        if c.outcome in (RequestOutcome.INTERRUPTED, RequestOutcome.FAILED)
        and processes.backend.has_started(c.attempt_id)
    ]
    return TerminationResult(
        ended.result(),
        {end: sum(c.outcome is end for c in clients) for end in RequestOutcome},
        [round(c.sent_at - signalled_at, 2) for c in interrupted],
    )


async def count_complete_slow_reads(processes: GatewayProcesses, count: int = 4, size: int = 32 << 20) -> int:
    """Of `count` clients that read their response over 5 s during a SIGTERM: how many got all of it."""

    async def read_slowly(number: int) -> bool:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (PROXY_IP, FRONT_PORT))
        await loop.sock_sendall(sock, build_request(f"slow-{number}", 10, answer_bytes=size))
        received_bytes, started_at = 0, loop.time()
        with contextlib.suppress(OSError):
            while received_bytes < size:
                data = await loop.sock_recv(sock, size // 100)
                if not data:
                    break
                received_bytes += len(data)
                behind = received_bytes / size * SLOW_READ_S - (loop.time() - started_at)
                await asyncio.sleep(max(0.0, behind))
        sock.close()
        return received_bytes >= size

    reading = [asyncio.ensure_future(read_slowly(number)) for number in range(count)]
    await asyncio.sleep(0.5)
    processes.terminate("proxy")
    await processes.wait_until_ended("proxy", SHUTDOWN_GRACE_S + 1)
    return sum(await asyncio.gather(*reading))


async def count_answered_puts(processes: GatewayProcesses, count: int = 5) -> int:
    """Of `count` configurations put at a registry during its SIGTERM, its store stopped: how many were answered."""
    processes.running["config_store"].send_signal(signal.SIGSTOP)
    line = "POST /config/replace"
    tasks = [
        asyncio.ensure_future(request_status(CORE_IP, CONTROL_PORT, line, configuration()))
        for _ in range(count)
    ]
    await asyncio.sleep(0.05)
    processes.terminate("registry")
    answered = sum([await status > 0 for status in tasks])
    processes.running["config_store"].send_signal(signal.SIGCONT)
    return answered


async def main() -> None:
    """Print a line for each case."""
    with tempfile.TemporaryDirectory() as name:
        async with running_gateway(Path(name)) as processes:
            for how in DisconnectMode:
                print(
                    f"{how.value}: {await count_running_after_disconnect(processes, how)} of 8 "
                    "requests still running 0.5 s later"
                )
            result = await terminate_under_load(processes)
            print(
                f"SIGTERM: ended after {result.shutdown_s} s;",
                ", ".join(f"{count} {end.value}" for end, count in result.outcomes.items()),
            )
            print(
                f"started by the backend and interrupted: {len(result.interrupted_sent_after_s)}, "
                f"sent after the signal: {result.interrupted_sent_after_s}"
            )
            print(f"failed tasks in the proxy's log (E105): {processes.log('proxy').count('E105')}")
            print(
                f"puts answered during a SIGTERM of the registry: {await count_answered_puts(processes)} of 5"
            )
    with tempfile.TemporaryDirectory() as name:
        async with running_gateway(Path(name)) as processes:
            print(
                "slow readers of 32 MB that got all of it during a SIGTERM: "
                f"{await count_complete_slow_reads(processes)} of 4"
            )


if __name__ == "__main__":
    asyncio.run(main())
