"""The list of backends: a watch from the list held, or the whole, for as long as the program runs.

What is asked when is decided in `irisdeal/front_door/membership/polling_schedule.py`.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any, cast

import httptools

from irisdeal.front_door.decisions.interface import ServerEntry, ServerList, ServerListKind, ServerState
from irisdeal.front_door.membership.polling_schedule import PollingSchedule, polling_period_s
from irisdeal.front_door.server.config import Address, Config, address

log = logging.getLogger("irisdeal.discovery")

MIN_POLL_INTERVAL_S = 0.05  # s at least between answers that bring nothing
INTERNAL_ERROR_DELAY_S = 1.0  # s after an error of ours
OVERLOAD_STATUSES = (429, 503)  # discovery is overloaded (RFC 6585, 4; RFC 9110, 15.6.4)
MAX_LIST_BYTES = 8_000_000
MAX_NAMES = 64  # of zones, and of kinds
STATES_BY_PHASE = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}

ListCallback = Callable[[ServerList, dict[bytes, Address]], None]


class MemberListReader:
    """Lists in discovery's form to `ServerList`. Names get the settings' numbers, new ones further ones."""

    def __init__(self, config: Config) -> None:
        self.zones = {name: n for n, name in enumerate(config.zones)}
        self.kinds = {name: n for n, name in enumerate(config.kinds)}

    def read(
        self, told: object, kind: ServerListKind | None = None
    ) -> tuple[ServerList, dict[bytes, Address]]:
        """The list and the addresses it tells; ValueError where it is none."""
        if not isinstance(told, dict) or not isinstance(told.get("members"), list):
            raise ValueError("no list of members")
        if kind is None:
            kind = ServerListKind.COMPLETE if told.get("complete") is True else ServerListKind.CHANGES
        entries: list[ServerEntry] = []
        places: dict[bytes, Address] = {}
        for member in told["members"]:
            try:
                entry, place = self._read_entry(member)
            except (ValueError, TypeError, KeyError, OverflowError) as error:
                log.warning("odd entry of the list passed over: %s", error)
                continue
            if entry.state is not ServerState.GONE or kind is ServerListKind.CHANGES:
                entries.append(entry)
                if place is not None:
                    places[entry.server_id] = place
        return ServerList(kind, _version(told), tuple(entries)), places

    def write(
        self,
        version: int,
        entries: Iterable[ServerEntry],
        places: Mapping[bytes, Address],
    ) -> dict[str, Any]:
        """Entries as discovery tells them: the reverse of `read`."""
        zones, kinds = ({n: name for name, n in names.items()} for names in (self.zones, self.kinds))
        phases = {state: phase for phase, state in STATES_BY_PHASE.items()}
        return {
            "revision": max(0, version),
            "complete": True,
            "members": [
                {
                    "id": entry.server_id.decode(),
                    "host_port": "{}:{}".format(*places[entry.server_id]),
                    "locality": zones.get(entry.zone, ""),
                    "flavor": kinds.get(entry.machine_kind, ""),
                    "cell": entry.cell,
                    "phase": phases[entry.state],
                    "size": entry.weight,
                    "up_since_ms": entry.started_at // 1000,
                }
                for entry in entries
                if entry.server_id in places
            ],
        }

    def _read_entry(self, member: dict[str, Any]) -> tuple[ServerEntry, Address | None]:
        if not (isinstance(member, dict) and isinstance(member.get("id"), str) and member["id"]):
            raise ValueError("no id")
        state = STATES_BY_PHASE.get(member.get("phase", ""))
        if state is None:  # safe: nothing new goes there
            log.warning("unknown phase %r", member.get("phase"))
            state = ServerState.DRAINING
        place = None if state is ServerState.GONE else address(member.get("host_port"), "host_port")
        return ServerEntry(
            server_id=member["id"].encode(),
            state=state,
            started_at=max(0, int(member.get("up_since_ms") or 0)) * 1000,
            weight=float(member.get("size") or 1.0),
            zone=_name_number(self.zones, member.get("locality")),
            cell=int(member.get("cell") or 0),
            machine_kind=_name_number(self.kinds, member.get("flavor")),
        ), place


def _name_number(names: dict[str, int], name: object) -> int:
    """The number of a name. Once there are many, new ones share one: the table must not grow all day."""
    number = names.get(str(name))
    if number is None:
        number = len(names)
        if number < MAX_NAMES:
            names[str(name)] = number
    return number


def _version(told: dict[str, Any]) -> int:
    revision = told.get("revision")
    if not isinstance(revision, int) or isinstance(revision, bool) or revision < 0:
        raise ValueError(f"revision is {revision!r}")
    return revision


class DiscoveryOverloadedError(Exception):
    """Discovery has too much to do; `retry_after` is what it asks for, in s."""

    def __init__(self, status: int, retry_after: float | None) -> None:
        super().__init__(f"turned away, status {status}")
        self.retry_after_s = retry_after


class DiscoveryConnection(asyncio.Protocol):
    """A connection to discovery that carries one call at a time."""

    def __init__(self, place: Address) -> None:
        self.host = f"{place[0]}:{place[1]}".encode()
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[bytes] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.body_bytes = 0
        self.retry_after_s: float | None = None

    def get(self, path: bytes) -> asyncio.Future[bytes]:
        assert self.transport is not None
        self.parts, self.body_bytes, self.retry_after_s = [], 0, None
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(b"GET " + path + b" HTTP/1.1\r\nHost: " + self.host + b"\r\n\r\n")
        return self.response

    def is_usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, error: Exception) -> None:
        if self.response is not None and not self.response.done():
            self.response.set_exception(error)
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

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after" and len(value) < 10:
            try:
                self.retry_after_s = float(value)  # a date is passed over: our own pause stands
            except ValueError:
                self.retry_after_s = None

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        if self.body_bytes > MAX_LIST_BYTES:
            raise ValueError(f"list over {MAX_LIST_BYTES} bytes")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            return
        if status in OVERLOAD_STATUSES:  # the connection is as good as before
            if self.response is not None and not self.response.done():
                self.response.set_exception(DiscoveryOverloadedError(status, self.retry_after_s))
        elif status != 200:
            return self._fail(ValueError(f"status {status}"))
        elif self.response is not None and not self.response.done():
            self.response.set_result(b"".join(self.parts))
        if not self.parser.should_keep_alive():
            self.close()


class DiscoveryClient:
    """Keeps the list: `found` hears of each news, in order."""

    def __init__(self, config: Config, found: ListCallback, draw: Callable[[], float]) -> None:
        self.address, self.on_list, self.reader = config.discovery, found, MemberListReader(config)
        told_on_its_own = config.settings.server_list_is_pushed
        self.schedule = PollingSchedule(
            draw, 0.0 if told_on_its_own else polling_period_s(config.settings.gateway_count)
        )
        self.connection: DiscoveryConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.known_list = config.known_list

    def apply_known_list(self) -> None:
        """Pass on the list that the configuration brought."""
        try:
            told, places = self.reader.read(self.known_list, ServerListKind.CACHED)
            self.on_list(told, places)
            if told.entries:  # the watch goes on from it; what is too old is answered with the whole
                self.schedule.version = told.version
        except ValueError as error:
            log.warning("known list passed over: %s", error)
            self.on_list(ServerList(ServerListKind.CACHED, 0, ()), {})

    def refetch(self) -> None:
        """Make the next call one for the whole list."""
        self.schedule.reset()
        if self.connection is not None:
            self.connection.close()

    def start(self) -> None:
        """Watch, until `stop`."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def move(self, place: Address) -> None:
        """Ask another discovery, whose versions are its own; the list held stands until it answers."""
        self.stop()
        self.address = place
        self.schedule.reset()
        self.start()

    async def _run(self) -> None:
        if pause := self.schedule.initial_delay_s():
            await asyncio.sleep(pause)
        while True:
            try:
                await self._poll_once()
                continue
            except DiscoveryOverloadedError as error:
                log.warning("discovery: %s", error)
                pause = self.schedule.rejected(error.retry_after_s)
            except (OSError, TimeoutError) as error:
                log.warning("discovery: %s", error or "timed out")
                pause = self.schedule.broken()
                self._close()
            except ValueError as error:
                log.warning("discovery: %s", error)
                pause = self.schedule.invalid_response()
                self._close()
            except Exception:  # an error of ours must not end the watch
                log.exception("discovery")
                self.schedule.invalid_response()
                self._close()
                pause = INTERNAL_ERROR_DELAY_S
            await asyncio.sleep(pause)

    def _close(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    async def _poll_once(self) -> None:
        """One call: asked again at once after the last, or what changes between counts as told unheard."""
        ask = self.schedule.next_call()
        path = b"/catalog/members" + (
            b"" if ask.is_full_list else b"?index=%d&wait=%d" % (ask.version, ask.watch_ms)
        )
        asked = asyncio.get_running_loop().time()
        async with asyncio.timeout(ask.timeout_s):
            if self.connection is None or not self.connection.is_usable():
                self.connection = call = DiscoveryConnection(self.address)
                await asyncio.get_running_loop().create_connection(lambda: call, *self.address)
            text = await self.connection.get(path)
        told, places = self.reader.read(json.loads(text))
        if told.kind is ServerListKind.CHANGES and (ask.is_full_list or told.version < ask.version):
            raise ValueError("changes to a list that is not held")
        news = bool(told.entries) or told.kind is ServerListKind.COMPLETE
        if news:
            self.on_list(told, places)
        elif asyncio.get_running_loop().time() < asked + MIN_POLL_INTERVAL_S:
            await asyncio.sleep(
                MIN_POLL_INTERVAL_S
            )  # one that answers each watch at once must not take the core
        self.schedule.succeeded(told.version, not ask.is_full_list)
