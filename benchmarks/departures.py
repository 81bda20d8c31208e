"""What goes on for clients that have left, and what a SIGTERM cuts: a whole gateway as processes on loopback.

`python -m benchmarks.departures` starts a store, a registry and a proxy, a stand-in backend in this process, and
prints a row a case. Everything is bounded, stays on 127.0.0.0/8, and each process is ended by its id.
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
CORE, PROXY = "127.9.0.1", "127.9.0.2"
FIRST_PORT, PORTS = 18_600, 16
CONTROL, FRONT, READINESS, BACKEND = 18_700, 18_701, 18_702, 18_703
METRICS = {"proxy": 18_710, "registry": 18_711, "config_store": 18_712}
SHUTDOWN_GRACE_S = 6.0  # from SIGTERM to SIGKILL
UP_BY_S = 15.0  # for a gateway to serve its first request
PATIENCE_S = 9.0  # that a client waits for an answer
WARM = 40  # requests before a SIGTERM: a proxy that has answered few takes less after it
READING_S = 5.0  # that a slow reader takes for its answer
HEARTBEAT_S = 0.4  # between two heartbeats of the backend
SETTINGS = """
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
    HALF_CLOSE = "shutdown(SHUT_WR), reading on"


class RequestOutcome(enum.Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    REJECTED = "promised (503)"
    NOT_CONNECTED = "not connected"
    INTERRUPTED = "cut"
    FAILED = "failed (5xx)"


@dataclass
class Run:
    """One request at the stand-in backend. Times are s of the steady clock."""

    attempt_id: str
    began: float
    ended: float | None = None
    is_whole: bool = False


@dataclass
class WorkingBackend:
    """Works on each request for the ms that its `X-Work-Ms` names, and drops it when its connection ends."""

    runs: list[Run] = field(default_factory=list)
    server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    def at_work(self) -> list[Run]:
        return [run for run in self.runs if run.ended is None]

    def began(self, attempt_id: str) -> bool:
        return any(run.attempt_id == attempt_id for run in self.runs)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                _, fields = await read_head(reader)
                await reader.readexactly(int(fields.get("content-length", "0")))
                await self._work(reader, writer, fields)
        writer.close()

    async def _work(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, fields: dict[str, str]
    ) -> None:
        run = Run(fields["x-irisdeal-attempt-id"], time.monotonic())
        self.runs.append(run)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(float(fields.get("x-work-ms", "0")) / 1000):
                    if not await reader.read(1):
                        raise ConnectionResetError("the caller has gone")
            body = b"x" * int(fields.get("x-answer-bytes", "2"))
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Irisdeal-Attempt-Id: %s\r\nX-Irisdeal-Backend-Seal: s\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (run.attempt_id.encode(), len(body), body)
            )
            run.is_whole = True
        finally:
            run.ended = time.monotonic()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line, and the fields by their names in lower case."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    named = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in named}


def request(
    attempt_id: str,
    work_ms: int,
    path: str = "/a/x",
    deadline_ms: int = 8000,
    answer_bytes: int = 2,
    method: str = "GET",
) -> bytes:
    """A client's request for so much work."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Irisdeal-Attempt-Id: {attempt_id}\r\n"
        f"X-Irisdeal-Deadline-Ms: {deadline_ms}\r\nX-Work-Ms: {work_ms}\r\n"
        f"X-Answer-Bytes: {answer_bytes}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def read_answer(reader: asyncio.StreamReader) -> int:
    """The status of a whole answer. asyncio.IncompleteReadError or OSError where it breaks off."""
    first, fields = await read_head(reader)
    await reader.readexactly(int(fields["content-length"]))
    return int(first.split()[1])


async def call(host: str, port: int, line: str, body: bytes = b"") -> int:
    """The status of an answer on a connection of its own; 0 for none."""
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, port)
            head = f"{line} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            status = await read_answer(reader)
            writer.close()
            return status
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError):
        return 0


def configuration() -> bytes:
    """One service, with a route that may be repeated and one that may not."""

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
    """A store, a registry and a proxy, each a process of its own, and the backend that they know."""

    folder: Path
    backend: WorkingBackend = field(default_factory=WorkingBackend)
    running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, role: str) -> None:
        ip = PROXY if role == "proxy" else CORE
        settings = self.folder / f"{role}.toml"
        settings.write_text(
            SETTINGS.format(
                name=role,
                metrics=METRICS[role],
                ip=ip,
                port=FIRST_PORT,
                last=FIRST_PORT + PORTS - 1,
                core=CORE,
                control=CONTROL,
                grace=SHUTDOWN_GRACE_S,
                disk=self.folder / "disk",
                front=FRONT,
                readiness=READINESS,
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

    async def ended(self, role: str, within_s: float) -> float | None:
        """s until this process has ended; None where it has not by then."""
        begun = time.monotonic()
        while time.monotonic() - begun < within_s:
            if self.running[role].poll() is not None:
                return time.monotonic() - begun
            await asyncio.sleep(0.01)
        return None

    def end(self) -> None:
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
            process.wait(5)

    async def send_heartbeats(self) -> None:
        """Send the backend's heartbeats, for ever."""
        count = 0
        while True:
            count += 1
            heartbeat = {
                "service": "s",
                "address": f"{CORE}:{BACKEND}",
                "zone": "z",
                "generation": "v1",
                "capacity": 500,
                "state": "ready",
                "warmup_left_ms": 0,
                "call_count": count,
            }
            await call(CORE, CONTROL, "POST /backends/i-1/heartbeat", json.dumps(heartbeat).encode())
            await asyncio.sleep(HEARTBEAT_S)


@contextlib.asynccontextmanager
async def running_gateway(folder: Path) -> AsyncIterator[GatewayProcesses]:
    """A gateway that serves."""
    processes = GatewayProcesses(folder)
    await processes.backend.listen(CORE, BACKEND)
    heartbeats = asyncio.ensure_future(processes.send_heartbeats())
    try:
        for role in ("config_store", "registry", "proxy"):
            processes.start(role)
        up_by = time.monotonic() + UP_BY_S
        while await call(CORE, CONTROL, "POST /config/replace", configuration()) != 200:
            assert time.monotonic() < up_by, "the store takes no order"
            await asyncio.sleep(0.1)
        client = Client("first", 0)
        while await client.ask() is not RequestOutcome.ANSWERED:
            assert time.monotonic() < up_by, "the proxy serves nothing"
            await asyncio.sleep(0.1)
        yield processes
    finally:
        heartbeats.cancel()
        processes.backend.close()
        processes.end()


@dataclass
class Client:
    """One request on a connection of its own."""

    attempt_id: str
    work_ms: int
    path: str = "/a/x"
    deadline_ms: int = 8000
    end: RequestOutcome | None = None
    sent_at: float = 0.0

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(PROXY, FRONT)
        self.sent_at = time.monotonic()
        writer.write(request(self.attempt_id, self.work_ms, self.path, self.deadline_ms))
        return reader, writer

    async def ask(self) -> RequestOutcome:
        """Its end, once there is one."""
        try:
            async with asyncio.timeout(PATIENCE_S):
                reader, writer = await self.connect()
        except (OSError, TimeoutError):
            self.end = RequestOutcome.NOT_CONNECTED
            return self.end
        self.end = await self.answer(reader)
        writer.close()
        return self.end

    @staticmethod
    async def answer(reader: asyncio.StreamReader) -> RequestOutcome:
        """How the request ends whose answer is read here."""
        try:
            async with asyncio.timeout(PATIENCE_S):
                status = await read_answer(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return RequestOutcome.INTERRUPTED
        if status == 200:
            return RequestOutcome.ANSWERED
        return RequestOutcome.REJECTED if status in (429, 503) else RequestOutcome.FAILED


def leave(writer: asyncio.StreamWriter, how: DisconnectMode) -> None:
    """End a client's connection."""
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
    """Of so many clients that left after 0.3 s: runs that are still at work 0.5 s later."""
    opened = [await Client(f"{how.name}-{number}", work_ms).connect() for number in range(count)]
    await asyncio.sleep(0.3)
    for _, writer in opened:
        leave(writer, how)
    await asyncio.sleep(0.5)
    still = len(processes.backend.at_work())
    await asyncio.sleep(work_ms / 1000)
    for _, writer in opened:
        writer.close()
    return still


def works() -> Iterator[int]:
    """ms of work, in turn."""
    while True:
        yield from (100, 900, 2000)


@dataclass
class TerminationResult:
    """What became of the requests round a SIGTERM. `cut` are those that a backend had begun."""

    shutdown_s: float | None
    outcomes: dict[RequestOutcome, int]
    interrupted_sent_after_s: list[float]


async def terminate_under_load(processes: GatewayProcesses, every_s: float = 0.05) -> TerminationResult:
    """SIGTERM to the proxy, and a new connection with a request each `every_s`."""
    clients: list[Client] = []
    asking: list[asyncio.Task[RequestOutcome]] = []
    work = works()
    warm = [Client(f"warm-{number}", next(work)) for number in range(WARM)]
    await asyncio.gather(*(client.ask() for client in warm))
    signalled = time.monotonic()
    processes.terminate("proxy")
    ended = asyncio.ensure_future(processes.ended("proxy", SHUTDOWN_GRACE_S + 1))
    while not ended.done():
        client = Client(f"term-{len(clients)}", next(work))
        clients.append(client)
        asking.append(asyncio.ensure_future(client.ask()))
        await asyncio.sleep(every_s)
    await asyncio.gather(*asking)
    cut = [
        c
        for c in clients
        if c.end in (RequestOutcome.INTERRUPTED, RequestOutcome.FAILED)
        and processes.backend.began(c.attempt_id)
    ]
    return TerminationResult(
        ended.result(),
        {end: sum(c.end is end for c in clients) for end in RequestOutcome},
        [round(c.sent_at - signalled, 2) for c in cut],
    )


async def slow_readers(processes: GatewayProcesses, count: int = 4, size: int = 32 << 20) -> int:
    """Of so many clients that take 5 s to read their answer, amid a SIGTERM: those that had all of it."""

    async def read_slowly(number: int) -> bool:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (PROXY, FRONT))
        await loop.sock_sendall(sock, request(f"slow-{number}", 10, answer_bytes=size))
        had, begun = 0, loop.time()
        with contextlib.suppress(OSError):
            while had < size:
                data = await loop.sock_recv(sock, size // 100)
                if not data:
                    break
                had += len(data)
                behind = had / size * READING_S - (loop.time() - begun)
                await asyncio.sleep(max(0.0, behind))
        sock.close()
        return had >= size

    reading = [asyncio.ensure_future(read_slowly(number)) for number in range(count)]
    await asyncio.sleep(0.5)
    processes.terminate("proxy")
    await processes.ended("proxy", SHUTDOWN_GRACE_S + 1)
    return sum(await asyncio.gather(*reading))


async def orders(processes: GatewayProcesses, count: int = 5) -> int:
    """Of so many orders at a registry whose store stands still, amid a SIGTERM: those that had an answer."""
    processes.running["config_store"].send_signal(signal.SIGSTOP)
    line = "POST /config/replace"
    asking = [asyncio.ensure_future(call(CORE, CONTROL, line, configuration())) for _ in range(count)]
    await asyncio.sleep(0.05)
    processes.terminate("registry")
    answered = sum([await status > 0 for status in asking])
    processes.running["config_store"].send_signal(signal.SIGCONT)
    return answered


async def main() -> None:
    """Print a row a case."""
    with tempfile.TemporaryDirectory() as name:
        async with running_gateway(Path(name)) as processes:
            for how in DisconnectMode:
                print(
                    f"{how.value}: {await count_running_after_disconnect(processes, how)} of 8 "
                    "runs at work 0.5 s later"
                )
            result = await terminate_under_load(processes)
            print(
                f"SIGTERM: ended after {result.shutdown_s} s;",
                ", ".join(f"{count} {end.value}" for end, count in result.outcomes.items()),
            )
            print(
                f"passed on and cut: {len(result.interrupted_sent_after_s)}, "
                f"sent after the signal: {result.interrupted_sent_after_s}"
            )
            print(f"failed tasks in the proxy's log (E105): {processes.log('proxy').count('E105')}")
            print(f"orders that had an answer amid a SIGTERM of the registry: {await orders(processes)} of 5")
    with tempfile.TemporaryDirectory() as name:
        async with running_gateway(Path(name)) as processes:
            print(
                f"slow readers of 32 MB that had all of it amid a SIGTERM: {await slow_readers(processes)} of 4"
            )


if __name__ == "__main__":
    asyncio.run(main())
