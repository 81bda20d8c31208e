"""The real front door between fake peers on loopback sockets: backends, discovery, counter and clients."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeVar, cast

import uvloop

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import (
    Action,
    AttemptEnded,
    Decider,
    Event,
    FailRequest,
    RequestArrived,
    StartAttempt,
)
from irisdeal.front_door.server.config import Config, parse
from irisdeal.front_door.server.program import Program

E = TypeVar("E")
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
LIMIT = 20.0  # s for a whole test; only a test that hangs reaches it


def settings(**changes: Any) -> dict[str, Any]:
    base: dict[str, Any] = {
        "discovery": "pushed",
        "peers_total": 1,
        "rank": 0,
        "locality": 0,
        "round_us": 1000,
        "zones": ["north", "south"],
        "kinds": ["m1"],
        "profiles": [
            {"name": "look", "slo_us": 5_000_000, "deadline_us": 10_000_000, "repeat": "free", "worth": 1.0},
            {
                "name": "file",
                "slo_us": 5_000_000,
                "deadline_us": 10_000_000,
                "repeat": "guarded",
                "group": "zone",
                "window_us": 5_000_000,
                "worth": 2.0,
            },
        ],
        "packages": [
            {
                "name": "basic",
                "refill": 0.0,
                "burst": 0.0,
                "concurrency": 0,
                "hard_rate": 0.0,
                "never_over_depth": 0.0,
                "cap_slack": 0.0,
                "value_factor": 1.0,
                "beyond_costs": 1.0,
                "extra_worth": 0.0,
            },
            {
                "name": "metered",
                "refill": 100.0,
                "burst": 200.0,
                "concurrency": 0,
                "hard_rate": 0.0,
                "never_over_depth": 0.0,
                "cap_slack": 0.0,
                "value_factor": 1.0,
                "beyond_costs": 1.0,
                "extra_worth": 0.0,
            },
        ],
        "safety": {
            "grace_to_answer_us": 8000,
            "drain_grace_us": 1_000_000,
            "start_capacity": 0.2,
            "warm_up_us": 15_000_000,
            "tip_multiple": 4.0,
            "fall_us": 2_000_000,
        },
        "permissions": {
            "max_attempts": 4,
            "parallel_tries": True,
            "cancel": True,
            "probes": False,
            "retry_after": True,
            "max_retry_after_us": 1_000_000,
            "connect_timeout_us": 250_000,
            "keepalive_us": 30_000_000,
        },
        "family_info": {"shared_counter": False, "count_wait_us": 30_000},
        "report": {"columns": ["mean_ms", "load_share", "depth"], "source": "inline"},
    }
    base.update(changes)
    return base


def config(**changes: Any) -> Config:
    base: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "seed": "5",
        "limits": {"sockets": 256},
        "settings": settings(),
    }
    base.update(changes)
    parsed = parse(base)
    # With port 0, the kernel chooses a free port, which the test reads from the program.
    changed: dict[str, Any] = {"listen": ("127.0.0.1", 0)}
    if parsed.operator is not None:
        changed["operator"] = ("127.0.0.1", 0)
    return Config(**{**{f: getattr(parsed, f) for f in Config.__slots__}, **changed})


def member(name: str, port: int, **changes: Any) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "north",
        "flavor": "m1",
        "cell": 1,
        "phase": "Ready",
        "size": 1.0,
        "up_since_ms": 0,
        **changes,
    }


def whole_list(*members: dict[str, Any], revision: int = 1) -> dict[str, Any]:
    return {"revision": revision, "complete": True, "members": list(members)}


class Peer:
    """A listening peer; each accepted connection is queued for the test to serve."""

    def __init__(self) -> None:
        self.accepted: asyncio.Queue[Streams] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> Peer:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.append(writer)
            await self.accepted.put((reader, writer))

        self.server = await asyncio.start_server(accept, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    @property
    def port(self) -> int:
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    async def connection(self) -> Streams:
        return await self.accepted.get()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message; return its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status: int = 200, body: bytes = b"done", extra: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


def ask(kind: str = "look", trace: str = "ab12", **changes: str | None) -> bytes:
    """Return a client's request; a header set to None is omitted."""
    headers: dict[str, str | None] = {
        "X-Trace-Id": trace,
        "X-Qos": kind,
        "Plan": "basic",
        "Account": "00000000b4d65521",
        "X-Expires-In": "9000m",
        "Quota-Info": "units=2,spread=1,first=0",
    }
    if kind == "file":
        headers |= {"Idempotency-Key": "k1", "Content-Length": "0"}
    headers |= {key.replace("_", "-"): value for key, value in changes.items()}
    lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items() if value is not None)
    return f"{'POST' if kind == 'file' else 'GET'} /api?q=1 HTTP/1.1\r\nHost: svc\r\n{lines}\r\n".encode()


class Running:
    """A front door that runs in the event loop of the test."""

    def __init__(self, program: Program) -> None:
        self.program = program
        self.writers: list[asyncio.StreamWriter] = []

    async def client(self) -> Streams:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.program.clients.port())
        self.writers.append(writer)
        return reader, writer

    async def call(self, request: bytes) -> tuple[str, dict[str, str], bytes]:
        reader, writer = await self.client()
        writer.write(request)
        return await read_message(reader)


@asynccontextmanager
async def running(decider: Decider | None = None, **changes: Any) -> AsyncIterator[Running]:
    """Run the complete program without its signal handlers; no discovery service needs to listen."""
    parsed = config(**changes)
    loop = asyncio.get_running_loop()
    program = Program(parsed, loop, decider or Gateway(parsed.settings, parsed.seed))
    program.start()
    run = Running(program)
    try:
        yield run
    finally:
        program.discovery.stop()
        program.clients.stop_listening()
        if program.operator is not None:
            program.operator.stop()
        for writer in run.writers:
            writer.transport.abort()


def socket_test(test: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    """Run a test on uvloop, as the program does."""

    def run() -> None:
        async def limited() -> None:
            async with asyncio.timeout(LIMIT):
                await test()

        uvloop.run(limited())

    run.__name__ = getattr(test, "__name__", "run")
    return run


def as_json(value: object) -> bytes:
    return json.dumps(value).encode()


class Script:
    """A scripted decider: `reply` returns the actions for each event."""

    def __init__(self, reply: Callable[[Event], list[Action]]) -> None:
        self.reply, self.seen, self.actions = reply, list[Event](), list[Action]()
        self.changed = asyncio.Event()

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        self.actions = []
        for event in events:
            self.actions += self._one(event)
        self.changed.set()
        return self.actions

    def _one(self, event: Event) -> list[Action]:
        self.seen.append(event)
        return self.reply(event)

    async def wait_for(self, kind: type[E], count: int = 1) -> list[E]:
        """Wait until `count` events of this kind have arrived; return all of them."""
        while len(found := list(filter(lambda event: isinstance(event, kind), self.seen))) < count:
            self.changed.clear()
            await self.changed.wait()
        return cast(list[E], found)


def send_all(event: Event, server: bytes = b"s-1") -> list[Action]:
    """Send one attempt for each request, and fail the request if the attempt fails."""
    if isinstance(event, RequestArrived):
        return [StartAttempt(event.request_id, server)]
    if isinstance(event, AttemptEnded) and not event.request_ended:
        return [FailRequest(event.request_id)]
    return []
