"""Minimal forwarder that a front door is compared with: same event loop, same parser, no decisions.

It sends each request to the next backend, round robin, on a persistent connection, unchanged except for the
framing, and returns the answer. It has no limits, timeouts or retries.

    python -m benchmarks.forwarder LISTEN_PORT BACKEND_PORT [BACKEND_PORT ...]
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections import deque
from typing import cast

import httptools
import uvloop


class Backend(asyncio.Protocol):
    """One persistent connection to a backend."""

    def __init__(self, pool: Pool, port: int) -> None:
        self.pool, self.port = pool, port
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.client: Client | None = None
        self.parts: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.parts = []

    def on_body(self, body: bytes) -> None:
        self.parts.append(body)

    def on_message_complete(self) -> None:
        client, self.client = self.client, None
        self.pool.idle[self.port].append(self)
        if client is not None:
            client.answer(self.parser.get_status_code(), b"".join(self.parts))


class Pool:
    """Idle connections by backend port."""

    def __init__(self, ports: list[int]) -> None:
        self.idle: dict[int, deque[Backend]] = {port: deque() for port in ports}
        self.next_port = itertools.cycle(ports)

    def send(self, client: Client, payload: bytes) -> None:
        port = next(self.next_port)
        idle = self.idle[port]
        while idle:
            backend = idle.pop()
            if backend.transport is not None:
                backend.client = client
                return backend.transport.write(payload)
        asyncio.get_running_loop().create_task(self._connect(client, payload, port))

    async def _connect(self, client: Client, payload: bytes, port: int) -> None:
        backend = Backend(self, port)
        await asyncio.get_running_loop().create_connection(lambda: backend, "127.0.0.1", port)
        assert backend.transport is not None
        backend.client = client
        backend.transport.write(payload)


class Client(asyncio.Protocol):
    """A connection of a client."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.lines: list[bytes] = []
        self.url = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.lines, self.url = [], b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.lines += (name, b": ", value, b"\r\n")

    def on_message_complete(self) -> None:
        head = (self.parser.get_method(), b" ", self.url, b" HTTP/1.1\r\n", *self.lines, b"\r\n")
        self.pool.send(self, b"".join(head))

    def answer(self, status: int, body: bytes) -> None:
        if self.transport is not None:
            head = b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
            self.transport.write(head + body)


async def serve(port: int, backends: list[int]) -> None:
    pool = Pool(backends)
    server = await asyncio.get_running_loop().create_server(lambda: Client(pool), "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), [int(port) for port in sys.argv[2:]]))
