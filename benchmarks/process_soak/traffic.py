"""Traffic beside the soak's troubles: clients with open connections, a backend, an operator, and long bodies."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import time
from collections import Counter

from benchmarks.loopback_deployment import (
    BACKEND_PORT,
    FRONT_PORT,
    Deployment,
    call_control,
    heartbeat,
    read_message,
    success,
)

MIB = 1 << 20
CONNECTIONS_PER_PROXY = 3
REQUEST_TIMEOUT_S = 3.0
REQUEST_GAP_S = 0.05  # mean, on each connection
RECONNECT_PAUSE_S = 0.1
HEARTBEAT_INTERVAL_S = 0.3
PUT_TIMEOUT_S = 30.0
SLOW_WORK_SHARE = 0.1
SLOW_WORK_S = 1.0
BACKEND_COUNT = 2
LONG_ANSWER_S = 1.5  # after which a slow backend sends the end of a long response
LONG_BODY_TIMEOUT_S = 20.0
FIRST_CHUNK_BYTES = MIB // 4
UPLOADING_BEFORE_S = 0.3  # for which the long body has been arriving when the others begin
OTHERS_BEFORE_S = 1.5  # for which the others have been under way when the long body goes on


class Traffic:
    """What clients, backends and the operator do in one run."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.deployment, self.rng = deployment, rng
        self.version = 0
        self.counts: Counter[str] = Counter()
        self.long_response = b""
        self.tasks: set[asyncio.Task[None]] = set()
        self.servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Start the backend, its heartbeats and the clients."""
        backend = self.deployment.backend
        for number in range(BACKEND_COUNT):
            port = BACKEND_PORT + number
            self.servers.append(await asyncio.start_server(self._serve_backend, backend, port, limit=MIB))
        self.tasks.add(asyncio.create_task(self._beat()))
        for ip in self.deployment.proxies:
            for _ in range(CONNECTIONS_PER_PROXY):
                self.tasks.add(asyncio.create_task(self._keep_asking(ip)))

    async def stop(self) -> None:
        """End all of it."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in self.servers:
            server.close()

    # The backends: one process with an address for each service, and two for the one with long responses

    async def _beat(self) -> None:
        count = 0
        while True:
            count += 1
            for id_, service, port in (("i-1", "short", 0), ("i-2", "long", 0), ("i-3", "long", 1)):
                body = json.loads(heartbeat(service, self.deployment.backend, count))
                body["address"] = f"{self.deployment.backend}:{BACKEND_PORT + port}"
                ip = self.rng.choice(self.deployment.cores)
                await call_control(ip, f"/backends/{id_}/heartbeat", json.dumps(body).encode())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _serve_backend(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            while True:
                first, headers = await read_message(reader)
                attempt = headers[b"x-irisdeal-attempt-id"]
                if first.startswith(b"PUT"):
                    await self._respond_slowly(writer, attempt)
                    continue
                await asyncio.sleep(self._work_s(first))
                writer.write(success(attempt))
        writer.close()

    def _work_s(self, first: bytes) -> float:
        if first.startswith(b"POST"):
            return float(first.split()[1].rpartition(b"/")[2])
        return SLOW_WORK_S if self.rng.random() < SLOW_WORK_SHARE else 0.0

    async def _respond_slowly(self, writer: asyncio.StreamWriter, attempt: bytes) -> None:
        body = self.long_response
        head = success(attempt).replace(
            b"Content-Length: 2\r\n\r\nok", b"Content-Length: %d\r\n\r\n" % len(body)
        )
        writer.write(head + body[:-1])
        await asyncio.sleep(LONG_ANSWER_S)
        writer.write(body[-1:])
        await writer.drain()

    # Clients

    async def _keep_asking(self, ip: str) -> None:
        """Send requests on one connection after another, each kept open until the proxy closes it or is gone."""
        while True:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                reader, writer = await asyncio.open_connection(ip, FRONT_PORT)
                try:
                    while await self._ask(reader, writer):
                        await asyncio.sleep(self.rng.expovariate(1 / REQUEST_GAP_S))
                finally:
                    writer.close()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request; return whether the connection stays open."""
        writer.write(self._head("GET", "/short/x", 2.0) + b"\r\n")
        self.counts["sent"] += 1
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            first, headers = await read_message(reader)
        self.counts["served" if b" 200 " in first else "refused"] += 1
        return headers.get(b"connection", b"").lower() != b"close"

    def _head(self, method: str, path: str, deadline_s: float) -> bytes:
        return (
            f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Irisdeal-Attempt-Id: {self.rng.getrandbits(60):x}\r\n"
            f"X-Irisdeal-Deadline-Ms: {deadline_s * 1000:.0f}\r\n"
        ).encode()

    async def send_long_bodies(self, ip: str, long_mib: int, others: int, other_mib: int) -> None:
        """Send one long body, whose responses are as long, beside others that are under way at their backends."""
        self.long_response = os.urandom(max(1, long_mib - 1) * MIB)
        go = asyncio.Event()
        long = asyncio.create_task(self._upload(ip, long_mib, go))
        await asyncio.sleep(UPLOADING_BEFORE_S)
        work_s = 6
        post = [asyncio.create_task(self._post(ip, other_mib, work_s)) for _ in range(others)]
        await asyncio.sleep(OTHERS_BEFORE_S)
        go.set()
        await asyncio.gather(long, *post)

    async def _upload(self, ip: str, mib: int, go: asyncio.Event) -> None:
        """Send a body in chunks, with a pause after the first one."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            async with asyncio.timeout(LONG_BODY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, FRONT_PORT, limit=4 * MIB)
                try:
                    writer.write(self._head("PUT", "/long/x", 15.0) + b"Transfer-Encoding: chunked\r\n\r\n")
                    await self._write_chunk(writer, os.urandom(FIRST_CHUNK_BYTES))
                    await go.wait()
                    chunk = os.urandom(MIB)
                    for _ in range(mib):
                        await self._write_chunk(writer, chunk)
                    writer.write(b"0\r\n\r\n")
                    await self._count_long(reader)
                finally:
                    writer.close()

    @staticmethod
    async def _write_chunk(writer: asyncio.StreamWriter, chunk: bytes) -> None:
        writer.write(b"%x\r\n" % len(chunk) + chunk + b"\r\n")
        await writer.drain()

    async def _post(self, ip: str, mib: int, work_s: float) -> None:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            async with asyncio.timeout(LONG_BODY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, FRONT_PORT)
                try:
                    head = self._head("POST", f"/short/{work_s}", 15.0)
                    writer.write(head + b"Content-Length: %d\r\n\r\n" % (mib * MIB))
                    writer.write(os.urandom(mib * MIB))
                    await writer.drain()
                    await self._count_long(reader)
                finally:
                    writer.close()

    async def _count_long(self, reader: asyncio.StreamReader) -> None:
        first, _ = await read_message(reader)
        self.counts["long served" if b" 200 " in first else "long refused"] += 1

    # The operator

    def configuration(self, extra_routes: int = 0) -> bytes:
        """Return the configuration of the current version."""
        rules = [
            _rule("short", "/short/", "mutating"),
            _rule("long", "/long/", "idempotent"),
            *(_rule(f"e{number}", f"/e{number}/", "mutating") for number in range(extra_routes)),
        ]
        return json.dumps(
            {
                "generation": f"r{self.version}",
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 64 * MIB,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
                "pools": [{"name": "short"}, {"name": "long"}],
                "sockets": [{"hostname": "h", "rules": rules}],
            }
        ).encode()

    async def put(self, extra_routes: int = 0) -> bool:
        """Send the next version until it is acknowledged; return whether it was, in time."""
        self.version += 1
        body, until = self.configuration(extra_routes), time.monotonic() + PUT_TIMEOUT_S
        while await call_control(self.rng.choice(self.deployment.cores), "/config/replace", body) != 200:
            if time.monotonic() > until:
                return False
            await asyncio.sleep(RECONNECT_PAUSE_S)
        return True


def _rule(name: str, prefix: str, kind: str) -> dict[str, object]:
    service = name if name in ("short", "long") else "short"
    return {
        "name": name,
        "kind": kind,
        "target_ms": 800,
        "pattern": {"path_prefix": prefix},
        "effect": {"service": service, "timeout_ms": 20000, "max_tries": 2},
    }
