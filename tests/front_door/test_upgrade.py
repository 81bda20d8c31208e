"""Upgrade of a real process under load: no client on a persistent connection loses a request."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path

from irisdeal.front_door.overload.backlog import Backlog
from tests.support.fake_peers import answer, ask, member, read_message, settings, socket_test, whole_list

CLIENTS = 12
ROOT = Path(__file__).parents[2]


def free_port() -> int:
    with socket.socket() as made:
        made.bind(("127.0.0.1", 0))
        return int(made.getsockname()[1])


class Service:
    """A backend that answers within 5 ms and records the trace ids of its requests."""

    def __init__(self) -> None:
        self.seen: list[str] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, headers, _ = await read_message(reader)
                self.seen.append(headers["x-trace-id"])
                await asyncio.sleep(0.005)
                writer.write(answer(200, headers["x-trace-id"].encode()))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class Load:
    """Clients that send one request after another, and reconnect only after `Connection: close`."""

    def __init__(self, port: int) -> None:
        self.port, self.stopped = port, False
        self.served, self.lost = 0, list[str]()
        self.reconnected = set[int]()  # clients that received `Connection: close`

    async def client(self, number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        count = 0
        while not self.stopped:
            count += 1
            trace = f"c{number}-{count}"
            try:
                writer.write(ask("file" if count % 4 == 0 else "look", trace))
                line, headers, body = await read_message(reader)
                assert line == "HTTP/1.1 200 OK" and body == trace.encode(), (line, body)
                self.served += 1
                if headers.get("connection") == "close":
                    self.reconnected.add(number)
                    writer.close()
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                self.lost.append(f"{trace}: {error!r}")
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            await asyncio.sleep(0.002 * (number % 3))
        writer.close()


async def is_ready(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        line, _, _ = await read_message(reader)
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        return False
    return line == "HTTP/1.1 200 OK"


async def start(folder: Path, listen: int, backend: int) -> tuple[asyncio.subprocess.Process, int]:
    """Start a front door process and wait until it is ready; also returns its operator port."""
    operator = free_port()
    document = {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": "127.0.0.1:1",
        "seed": "5",
        "operator": f"127.0.0.1:{operator}",
        "limits": {"sockets": 384, "memory_mb": 80},
        "known": whole_list(member("s-1", backend)),
        "settings": settings(),
    }
    path = folder / f"{operator}.json"
    path.write_text(json.dumps(document))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "irisdeal",
        cwd=ROOT,
        stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": str(folder)},
    )
    while not await is_ready(operator):
        assert process.returncode is None
        await asyncio.sleep(0.02)
    return process, operator


@socket_test
async def test_two_upgrades_in_a_row_lose_no_request_and_send_none_twice() -> None:
    service = Service()
    backend, listen = await service.start(), free_port()
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        running = [await start(folder, listen, backend)]
        load = Load(listen)
        clients = [asyncio.create_task(load.client(n)) for n in range(CLIENTS)]
        try:
            for _ in range(2):
                await asyncio.sleep(0.3)
                load.reconnected.clear()
                running.append(await start(folder, listen, backend))
                # Each persistent connection closes with its next response. One without a request by then is
                # closed at the end; a request that crosses the close is lost, and clients may send it again.
                # A client that reconnects on its own is connected to the new process already.
                until = asyncio.get_running_loop().time() + 2.0
                while len(load.reconnected) < CLIENTS and asyncio.get_running_loop().time() < until:
                    assert not [client.result() for client in clients if client.done()]
                    await asyncio.sleep(0.01)
                assert len(load.reconnected) > CLIENTS // 2
                old, _ = running[-2]
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
                before = load.served
                while load.served < before + 200:
                    await asyncio.sleep(0.01)
            load.stopped = True
            await asyncio.gather(*clients)
        finally:
            for process, _ in running:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            for client in clients:
                client.cancel()
            assert service.server is not None
            service.server.close()
    assert not load.lost
    assert len(service.seen) == len(set(service.seen)) == load.served


@socket_test
async def test_a_new_process_continues_alone_after_the_old_one_is_killed() -> None:
    service = Service()
    backend, listen = await service.start(), free_port()
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        old, _ = await start(folder, listen, backend)
        new, operator = await start(folder, listen, backend)
        try:
            old.kill()
            await old.wait()
            load = Load(listen)
            client = asyncio.create_task(load.client(1))
            while load.served < 50:
                await asyncio.sleep(0.01)
            load.stopped = True
            await client
            assert not load.lost and await is_ready(operator)
        finally:
            new.kill()
            await new.wait()
            assert service.server is not None
            service.server.close()


def test_a_first_burst_cannot_have_waited_longer_than_the_socket_listens() -> None:
    backlog = Backlog()
    backlog.start_listening(5000.0)  # the clock of the event loop starts before the socket
    backlog.record_accepted(64, True, 5000.02)
    assert backlog.max_wait_s(5000.02) <= 0.021
