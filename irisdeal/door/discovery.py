"""The list of backends: one fetch of the whole, then the watch, for as long as the program runs."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any, cast

import httptools

from cresspulley.interface import ListKind, ServerEntry, ServerList, ServerState
from irisdeal.door.config import Address, Config, address

log = logging.getLogger("irisdeal.discovery")

WAIT = 4_000  # ms that a watch may take: one whose peer has silently gone is found that late
PATIENCE = 1.0  # s more for its answer, or for that of a plain call
PAUSE, LONGEST_PAUSE = 0.05, 1.0  # s before a failed call is made again, doubled each time
MOST_LIST = 8_000_000
MOST_NAMES = 64  # of zones, and of kinds
STATES = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}

Found = Callable[[ServerList, dict[bytes, Address]], None]


class Reader:
    """Lists in discovery's form to `ServerList`. Names get the settings' numbers, new ones further ones."""

    def __init__(self, config: Config) -> None:
        self.zones = {name: n for n, name in enumerate(config.zones)}
        self.kinds = {name: n for n, name in enumerate(config.kinds)}

    def read(self, told: object, kind: ListKind | None = None) -> tuple[ServerList, dict[bytes, Address]]:
        """The list and the addresses it tells; ValueError where it is none."""
        if not isinstance(told, dict) or not isinstance(told.get("members"), list):
            raise ValueError("no list of members")
        if kind is None:
            kind = ListKind.COMPLETE if told.get("complete") is True else ListKind.CHANGES
        entries: list[ServerEntry] = []
        places: dict[bytes, Address] = {}
        for member in told["members"]:
            try:
                entry, place = self._entry(member)
            except (ValueError, TypeError, KeyError, OverflowError) as error:
                log.warning("odd entry of the list passed over: %s", error)
                continue
            if entry.state is not ServerState.GONE or kind is ListKind.CHANGES:
                entries.append(entry)
                if place is not None:
                    places[entry.server] = place
        return ServerList(kind, _version(told), tuple(entries)), places

    def _entry(self, member: dict[str, Any]) -> tuple[ServerEntry, Address | None]:
        if not (isinstance(member, dict) and isinstance(member.get("id"), str) and member["id"]):
            raise ValueError("no id")
        state = STATES.get(member.get("phase", ""))
        if state is None:  # safe: nothing new goes there
            log.warning("unknown phase %r", member.get("phase"))
            state = ServerState.DRAINING
        place = None if state is ServerState.GONE else address(member.get("host_port"), "host_port")
        return ServerEntry(
            server=member["id"].encode(),
            state=state,
            started=max(0, int(member.get("up_since_ms") or 0)) * 1000,
            weight=float(member.get("size") or 1.0),
            zone=_number(self.zones, member.get("locality")),
            cell=int(member.get("cell") or 0),
            kind=_number(self.kinds, member.get("flavor")),
        ), place


def _number(names: dict[str, int], name: object) -> int:
    """The number of a name. Once there are many, new ones share one: the table must not grow all day."""
    number = names.get(str(name))
    if number is None:
        number = len(names)
        if number < MOST_NAMES:
            names[str(name)] = number
    return number


def _version(told: dict[str, Any]) -> int:
    revision = told.get("revision")
    if not isinstance(revision, int) or isinstance(revision, bool) or revision < 0:
        raise ValueError(f"revision is {revision!r}")
    return revision


class Call(asyncio.Protocol):
    """A connection to discovery that carries one call at a time."""

    def __init__(self, place: Address) -> None:
        self.host = f"{place[0]}:{place[1]}".encode()
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[bytes] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.size = 0

    def get(self, path: bytes) -> asyncio.Future[bytes]:
        assert self.transport is not None
        self.parts, self.size = [], 0
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(b"GET " + path + b" HTTP/1.1\r\nHost: " + self.host + b"\r\n\r\n")
        return self.answer

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, error: Exception) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(error)
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by its type
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._fail(ConnectionResetError("connection ended"))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(ValueError(f"odd answer: {error.__context__ or error}"))

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > MOST_LIST:
            raise ValueError(f"list over {MOST_LIST} bytes")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            return
        if status != 200:
            return self._fail(ValueError(f"status {status}"))
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(b"".join(self.parts))
        if not self.parser.should_keep_alive():
            self.close()


class Discovery:
    """Keeps the list: `found` hears of each news, in order."""

    def __init__(self, config: Config, found: Found) -> None:
        self.place, self.found, self.reader = config.discovery, found, Reader(config)
        self.version = -1  # of the list held; below 0 the whole is fetched
        self.call: Call | None = None
        self.task: asyncio.Task[None] | None = None
        self.known = config.known

    def remember(self) -> None:
        """Pass on the list that the configuration brought."""
        try:
            self.found(*self.reader.read(self.known, ListKind.REMEMBERED))
        except ValueError as error:
            log.warning("known list passed over: %s", error)
            self.found(ServerList(ListKind.REMEMBERED, 0, ()), {})

    def refetch(self) -> None:
        """Make the next call one for the whole list."""
        self.version = -1
        if self.call is not None:
            self.call.close()

    def start(self) -> None:
        """Watch, until `stop`."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.call is not None:
            self.call.close()
            self.call = None

    def move(self, place: Address) -> None:
        """Ask another discovery, whose versions are its own; the list held stands until it answers."""
        self.stop()
        self.place, self.version = place, -1
        self.start()

    async def _run(self) -> None:
        pause = PAUSE
        while True:
            try:
                await self._next()
                pause = PAUSE
            except (OSError, TimeoutError, ValueError) as error:
                log.warning("discovery: %s", error or "timed out")
                if isinstance(error, ValueError):
                    self.version = -1  # what was told, or whether our version is known: start from the whole
                if self.call is not None:
                    self.call.close()
                self.call = None
                await asyncio.sleep(pause)
                pause = min(LONGEST_PAUSE, 2 * pause)
            except Exception:  # an error of ours must not end the watch
                log.exception("discovery")
                self.version, self.call = -1, None
                await asyncio.sleep(LONGEST_PAUSE)

    async def _next(self) -> None:
        """One call: asked again at once after the last, or what changes between counts as told unheard."""
        whole = self.version < 0
        path = b"/catalog/members" + (b"" if whole else b"?index=%d&wait=%d" % (self.version, WAIT))
        asked = asyncio.get_running_loop().time()
        async with asyncio.timeout(PATIENCE + (0 if whole else WAIT / 1000)):
            if self.call is None or not self.call.usable():
                self.call = call = Call(self.place)
                await asyncio.get_running_loop().create_connection(lambda: call, *self.place)
            text = await self.call.get(path)
        told, places = self.reader.read(json.loads(text))
        if told.kind is ListKind.CHANGES and (whole or told.version < self.version):
            raise ValueError("changes to a list that is not held")
        news = bool(told.entries) or told.kind is ListKind.COMPLETE
        if news:
            self.found(told, places)
        elif asyncio.get_running_loop().time() < asked + PAUSE:
            await asyncio.sleep(PAUSE)  # one that answers each watch at once must not take the core
        self.version = told.version
