"""Client of discovery: polls the server list, or watches for changes to the list that it has.

The schedule of the calls is in `irisdeal/front_door/membership/polling_schedule.py`.
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

MIN_POLL_INTERVAL_S = 0.05  # between responses without changes
INTERNAL_ERROR_DELAY_S = 1.0  # after an unexpected exception
OVERLOAD_STATUSES = (429, 503)  # discovery is overloaded (RFC 6585, 4; RFC 9110, 15.6.4)
MAX_LIST_BYTES = 8_000_000
MAX_NAMES = 64  # of zones, and of backend kinds
STATES_BY_PHASE = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}

ListCallback = Callable[[ServerList, dict[bytes, Address]], None]


class MemberListReader:
    """Parses server lists. Zones and kinds are numbered as in the settings; new names get further numbers."""

    def __init__(self, config: Config) -> None:
        self.zones = {name: n for n, name in enumerate(config.zones)}
        self.kinds = {name: n for n, name in enumerate(config.kinds)}

    def read(
        self, document: object, kind: ServerListKind | None = None
    ) -> tuple[ServerList, dict[bytes, Address]]:
        """Parse a list and the addresses of its servers. Raises ValueError if it is invalid."""
        if not isinstance(document, dict) or not isinstance(document.get("members"), list):
            raise ValueError("no list of members")
        if kind is None:
            kind = ServerListKind.COMPLETE if document.get("complete") is True else ServerListKind.CHANGES
        entries: list[ServerEntry] = []
        addresses: dict[bytes, Address] = {}
        for member in document["members"]:
            try:
                entry, server_address = self._read_entry(member)
            except (ValueError, TypeError, KeyError, OverflowError) as error:
                log.warning("skipping an invalid entry of the server list: %s", error)
                continue
            if entry.state is not ServerState.GONE or kind is ServerListKind.CHANGES:
                entries.append(entry)
                if server_address is not None:
                    addresses[entry.server_id] = server_address
        return ServerList(kind, _version(document), tuple(entries)), addresses

    def write(
        self,
        version: int,
        entries: Iterable[ServerEntry],
        addresses: Mapping[bytes, Address],
    ) -> dict[str, Any]:
        """Encode a list in discovery's format, the reverse of `read`."""
        zones, kinds = ({n: name for name, n in names.items()} for names in (self.zones, self.kinds))
        phases = {state: phase for phase, state in STATES_BY_PHASE.items()}
        return {
            "revision": max(0, version),
            "complete": True,
            "members": [
                {
                    "id": entry.server_id.decode(),
                    "host_port": "{}:{}".format(*addresses[entry.server_id]),
                    "locality": zones.get(entry.zone, ""),
                    "flavor": kinds.get(entry.machine_kind, ""),
                    "cell": entry.cell,
                    "phase": phases[entry.state],
                    "size": entry.weight,
                    "up_since_ms": entry.started_at // 1000,
                }
                for entry in entries
                if entry.server_id in addresses
            ],
        }

    def _read_entry(self, member: dict[str, Any]) -> tuple[ServerEntry, Address | None]:
        if not (isinstance(member, dict) and isinstance(member.get("id"), str) and member["id"]):
            raise ValueError("no id")
        state = STATES_BY_PHASE.get(member.get("phase", ""))
        if state is None:  # the safe choice: a draining server gets no new requests
            log.warning("unknown phase %r, treated as draining", member.get("phase"))
            state = ServerState.DRAINING
        server_address = None if state is ServerState.GONE else address(member.get("host_port"), "host_port")
        return ServerEntry(
            server_id=member["id"].encode(),
            state=state,
            started_at=max(0, int(member.get("up_since_ms") or 0)) * 1000,
            weight=float(member.get("size") or 1.0),
            zone=_name_number(self.zones, member.get("locality")),
            cell=int(member.get("cell") or 0),
            machine_kind=_name_number(self.kinds, member.get("flavor")),
        ), server_address


def _name_number(names: dict[str, int], name: object) -> int:
    """The number of a name. Beyond MAX_NAMES, new names share one number, which bounds the table."""
    number = names.get(str(name))
    if number is None:
        number = len(names)
        if number < MAX_NAMES:
            names[str(name)] = number
    return number


def _version(document: dict[str, Any]) -> int:
    revision = document.get("revision")
    if not isinstance(revision, int) or isinstance(revision, bool) or revision < 0:
        raise ValueError(f"revision is {revision!r}")
    return revision


class DiscoveryOverloadedError(Exception):
    """Discovery is overloaded; `retry_after_s` is the delay that it requested, if any."""

    def __init__(self, status: int, retry_after_s: float | None) -> None:
        super().__init__(f"overloaded, status {status}")
        self.retry_after_s = retry_after_s


class DiscoveryConnection(asyncio.Protocol):
    """A connection to discovery, with one call at a time."""

    def __init__(self, server_address: Address) -> None:
        self.host = f"{server_address[0]}:{server_address[1]}".encode()
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[bytes] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.body_bytes = 0
        self.retry_after_s: float | None = None

    def get(self, path: bytes) -> asyncio.Future[bytes]:
        """Request a path; the result is the body of the response."""
        assert self.transport is not None
        self.parts, self.body_bytes, self.retry_after_s = [], 0, None
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(b"GET " + path + b" HTTP/1.1\r\nHost: " + self.host + b"\r\n\r\n")
        return self.response

    def is_usable(self) -> bool:
        """Whether the connection is open."""
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, error: Exception) -> None:
        if self.response is not None and not self.response.done():
            self.response.set_exception(error)
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._fail(ConnectionResetError("connection closed"))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(ValueError(f"invalid response: {error.__context__ or error}"))

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after" and len(value) < 10:
            try:
                self.retry_after_s = float(value)  # dates are not supported; the default delay applies
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
        if status in OVERLOAD_STATUSES:  # the connection stays usable
            if self.response is not None and not self.response.done():
                self.response.set_exception(DiscoveryOverloadedError(status, self.retry_after_s))
        elif status != 200:
            return self._fail(ValueError(f"status {status}"))
        elif self.response is not None and not self.response.done():
            self.response.set_result(b"".join(self.parts))
        if not self.parser.should_keep_alive():
            self.close()


class DiscoveryClient:
    """Polls the server list and passes each list or change to `on_list`, in order."""

    def __init__(self, config: Config, on_list: ListCallback, draw: Callable[[], float]) -> None:
        """`draw` returns random numbers in [0, 1), for jitter."""
        self.address, self.on_list, self.reader = config.discovery, on_list, MemberListReader(config)
        is_pushed = config.settings.server_list_is_pushed
        self.schedule = PollingSchedule(
            draw, 0.0 if is_pushed else polling_period_s(config.settings.gateway_count)
        )
        self.connection: DiscoveryConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.known_list = config.known_list

    def apply_known_list(self) -> None:
        """Use the list from the configuration until discovery responds."""
        try:
            server_list, addresses = self.reader.read(self.known_list, ServerListKind.CACHED)
            self.on_list(server_list, addresses)
            if server_list.entries:  # watch from here; discovery sends a complete list if it is too old
                self.schedule.version = server_list.version
        except ValueError as error:
            log.warning("ignoring an invalid known list: %s", error)
            self.on_list(ServerList(ServerListKind.CACHED, 0, ()), {})

    def refetch(self) -> None:
        """Request the complete list with the next call."""
        self.schedule.reset()
        if self.connection is not None:
            self.connection.close()

    def start(self) -> None:
        """Poll until `stop`."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop polling and close the connection."""
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def move(self, server_address: Address) -> None:
        """Use discovery at another address, with its own versions; the list stays in use until it responds."""
        self.stop()
        self.address = server_address
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
            except Exception:  # polling must continue
                log.exception("error while polling discovery")
                self.schedule.invalid_response()
                self._close()
                pause = INTERNAL_ERROR_DELAY_S
            await asyncio.sleep(pause)

    def _close(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    async def _poll_once(self) -> None:
        """Make one call. The next one must follow at once: discovery counts changes in between as delivered."""
        call = self.schedule.next_call()
        path = b"/catalog/members" + (
            b"" if call.is_full_list else b"?index=%d&wait=%d" % (call.version, call.watch_ms)
        )
        started_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(call.timeout_s):
            if self.connection is None or not self.connection.is_usable():
                self.connection = connection = DiscoveryConnection(self.address)
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
            body = await self.connection.get(path)
        server_list, addresses = self.reader.read(json.loads(body))
        if server_list.kind is ServerListKind.CHANGES and (
            call.is_full_list or server_list.version < call.version
        ):
            raise ValueError("changes to an unknown version of the list")
        has_changed = bool(server_list.entries) or server_list.kind is ServerListKind.COMPLETE
        if has_changed:
            self.on_list(server_list, addresses)
        elif asyncio.get_running_loop().time() < started_at + MIN_POLL_INTERVAL_S:
            # Limits the CPU time if discovery answers each watch at once.
            await asyncio.sleep(MIN_POLL_INTERVAL_S)
        self.schedule.succeeded(server_list.version, not call.is_full_list)
