"""Routing by an OpenAPI description: finds the route of each request, and replaces the route table on changes.

Imported only where the configuration has `routes`. The matcher, the costs, the rules for replacing a table and
the class numbers are in `irisdeal.front_door.routes`; the decision module still chooses backends, retries and
rejections. A separate process (`irisdeal.front_door.sources.openapi`) reads and checks the description, so that
its libraries and size do not affect the event loop. It sends one route per line, and the table is built in slices
between which the event loop runs.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import os
import re
import secrets
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from irisdeal.front_door.decisions.interface import (
    ClassesChanged,
    DedupScope,
    Event,
    RequestClass,
    RequestClassChanged,
    Settings,
)
from irisdeal.front_door.decisions.interface import Idempotency as Repeats
from irisdeal.front_door.routes.costs import InvalidUnitsError, query_value, read_units
from irisdeal.front_door.routes.difference import refusal_reason
from irisdeal.front_door.routes.matcher import RouteConflictError
from irisdeal.front_door.routes.model import Repeat, Route, Rule, Source
from irisdeal.front_door.routes.path import InvalidTargetError, InvalidTemplateError, Target, read_target
from irisdeal.front_door.routes.table import (
    ROUTES_PER_STEP,
    ClassNumbers,
    DescriptionLimitError,
    Table,
    build_in_steps,
)
from irisdeal.front_door.routes.wire import route_from_wire
from irisdeal.front_door.server.client_request import ClientRequest, RequestError
from irisdeal.front_door.server.clients import (
    ACCOUNT_PATTERN,
    EXPIRES_IN_PATTERN,
    MAX_EXPIRES_IN_US,
    MAX_QUOTA_INFO_BYTES,
    RESPONSE_MARGIN_US,
    TOKEN_PATTERN,
    HttpServer,
)
from irisdeal.front_door.server.config import Config, ConfigError, Routes
from irisdeal.front_door.server.loop import DecisionLoop

log = logging.getLogger("irisdeal.routed")

READ_TIMEOUT_S = 120.0  # a public description of 13 MB takes 1 s
MAX_LINE_BYTES = 1_048_576  # of one route
MAX_IDENTITY_CHARS = 256  # of a customer's name
SPREAD_PATTERN = re.compile(r"spread=([0-9]{1,9})")
FIRST_PATTERN = re.compile(r"first=([0-9]{1,9})")
REPEAT_RULES = {Repeat.SAFE: Repeats.SAFE, Repeat.KEYED: Repeats.KEYED, Repeat.UNSAFE: Repeats.UNSAFE}
GROUPS = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}


class DescriptionError(Exception):
    """A description was rejected; the message contains the file, the position and the reason."""


class RouteContext:
    """The router's data about a request: its method and target, and the rule in effect for it."""

    __slots__ = ("method", "rule", "target")

    def __init__(self, method: str, target: Target, rule: Rule) -> None:
        self.method, self.target, self.rule = method, target, rule


def request_class(rule: Rule) -> RequestClass:
    """Convert a rule to a class of the decision module."""
    return RequestClass(
        latency_target_us=rule.aim,
        deadline_us=rule.deadline,
        idempotency=REPEAT_RULES[rule.repeat],
        dedup_scope=GROUPS[rule.group],
        dedup_window_us=rule.window,
        value=rule.worth,
        late_value=rule.late_worth,
        is_streaming=False,
    )


def _expires_in_us(text: bytes | None) -> int:
    """Parse `X-Expires-In` to µs; the maximum if it is missing."""
    if text is None:
        return MAX_EXPIRES_IN_US
    expires = EXPIRES_IN_PATTERN.fullmatch(text)
    expires_in_us = float(expires[1]) * (1000 if expires[2] == b"m" else 1) if expires else 0.0
    if not 0 < expires_in_us <= MAX_EXPIRES_IN_US:
        raise RequestError(400, "bad X-Expires-In")
    return int(expires_in_us)


class Router:
    """Fills requests by their routes, and replaces the route table with its next generation."""

    def __init__(
        self,
        config: Config,
        routes: Routes,
        decision_loop: DecisionLoop,
        http_server: HttpServer,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.config, self.routes, self.decision_loop, self.http_server, self.loop = (
            config,
            routes,
            decision_loop,
            http_server,
            loop,
        )
        self.settings: Settings = config.settings
        self.table = Table()
        self.classes = ClassNumbers(reserved_count=len(config.settings.classes))
        self.request_classes: list[RequestClass] = list(config.settings.classes)
        self.class_numbers: dict[Rule, int] = {}
        self.plans = {name: n for n, name in enumerate(config.plans)}
        self.description_files: list[str] = []  # of the description
        self.loaded_signature: object = None  # state of the files when they were last read
        self.last_signature: object = None  # state of the files at the last check
        self.task: asyncio.Task[None] | None = None
        self.is_reload_requested = False
        self.rejected_count = 0  # rejected descriptions
        self.on_loaded: Callable[[], None] = lambda: None  # after each attempt to load
        decision_loop.on_request_closed = self.request_closed
        http_server.router = self

    # Requests

    def read(
        self,
        request: ClientRequest,
        method: bytes,
        url: bytes,
        headers: list[bytes],
        body: bytes,
        expires: bytes | None,
    ) -> None:
        """Fill a request by its route. Raises `RequestError`: 400, 404, or 405 with `Allow`."""
        method_name = method.decode("latin-1")
        try:
            target = read_target(url.decode("latin-1"))
        except InvalidTargetError as error:
            raise RequestError(400, str(error)) from None
        found = self.table.find(method_name, target)
        route = found.route
        if route is None:
            if not found.allowed_methods:
                raise RequestError(404, "no such path")
            raise RequestError(
                405,
                "the path has other methods",
                b"Allow: " + ", ".join(found.allowed_methods).encode() + b"\r\n",
            )
        if body and method_name in ("GET", "HEAD"):
            raise RequestError(400, f"{method_name} with a body")
        values: dict[bytes, bytes] = {}
        repeated: set[bytes] = set()
        for n in range(0, len(headers), 4):
            key = headers[n].lower()
            if key in values:
                repeated.add(key)
            values[key] = headers[n + 2].strip()
        rule = route.rule
        if repeated:  # ambiguous: a backend may use another one of two identities or keys
            for source in (route.customer, route.plan, Source("header", rule.key_header)):
                if source.place == "header" and source.name.encode() in repeated:
                    raise RequestError(400, f"header {source.name} more than once")
        if rule.repeat is Repeat.KEYED and not TOKEN_PATTERN.fullmatch(
            values.get(rule.key_header.encode(), b"")
        ):
            raise RequestError(400, f"bad {rule.key_header}")
        plan = self.plans.get(self._value(route.plan, values, target, found.parameters))
        if plan is None:
            raise RequestError(400, "unknown plan")
        request.customer = self._customer(self._value(route.customer, values, target, found.parameters))
        try:
            request.units = read_units(route.units, target.query, body)
        except InvalidUnitsError as error:
            raise RequestError(400, str(error)) from None
        if request.units > self.http_server.max_units[plan]:
            raise RequestError(400, "more units than the plan can pass")
        request.trace_id, extra_headers = self._trace_id(values)
        request.time_left = max(1, min(_expires_in_us(expires), rule.deadline) - RESPONSE_MARGIN_US)
        request.first_gateway, request.gateway_count = self._gateways(values)
        request.plan, request.request_class = plan, self.class_numbers[rule]
        request.is_retry = values.get(b"x-second-try", b"") == b"1"
        request.is_write = method_name not in ("GET", "HEAD")
        request.head = b"".join(
            (method, b" ", target.path_and_query.encode("latin-1"), b" HTTP/1.1\r\n", *headers, extra_headers)
        )
        request.body = body
        request.route_context = RouteContext(method_name, target, rule)
        self.classes.acquire(request.request_class)

    def _value(
        self,
        source: Source,
        headers: dict[bytes, bytes],
        target: Target,
        parameters: dict[str, str],
    ) -> str:
        if source.place == "header":
            return headers.get(source.name.encode(), b"").decode("latin-1")
        if source.place == "path":
            return parameters.get(source.name, "")
        try:
            return query_value(target.query, source.name) or ""
        except InvalidUnitsError as error:
            raise RequestError(400, str(error)) from None

    def _customer(self, text: str) -> int:
        """The number of a customer: 16 hex digits below 2^33 directly, any other name by a digest of 64 bits."""
        if not 0 < len(text) <= MAX_IDENTITY_CHARS:
            raise RequestError(400, "no customer")
        if ACCOUNT_PATTERN.fullmatch(text.encode("latin-1", "replace")) and (number := int(text, 16)) < 2**33:
            return number
        return int.from_bytes(hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=8).digest())

    def _trace_id(self, headers: dict[bytes, bytes]) -> tuple[bytes, bytes]:
        """The trace id of a request, and the header to add where a new one was generated."""
        trace = headers.get(b"x-trace-id")
        if trace is None:
            trace = secrets.token_hex(8).encode()
            return trace, b"X-Trace-Id: " + trace + b"\r\n"
        if not TOKEN_PATTERN.fullmatch(trace):
            raise RequestError(400, "bad X-Trace-Id")
        if trace in self.http_server.open_traces:
            raise RequestError(409, "X-Trace-Id of an open request")
        return trace, b""

    def _gateways(self, headers: dict[bytes, bytes]) -> tuple[int, int]:
        """First and number of the customer's gateways, from `Quota-Info` if present; its units are not used."""
        text = headers.get(b"quota-info")
        gateway_count = self.settings.gateway_count
        if text is None:
            return 0, gateway_count
        decoded = text.decode("latin-1") if len(text) <= MAX_QUOTA_INFO_BYTES else ""
        spread, first = SPREAD_PATTERN.search(decoded), FIRST_PATTERN.search(decoded)
        if not (spread and first and 1 <= int(spread[1]) <= gateway_count and int(first[1]) < gateway_count):
            raise RequestError(400, "bad Quota-Info")
        return int(first[1]), int(spread[1])

    def request_closed(self, request: ClientRequest) -> None:
        """Release the class number of a request that is answered and has no attempt in progress."""
        if request.route_context is not None:
            self.classes.release(request.request_class)

    # Generations

    async def load_first(self) -> None:
        """Load the first table. Raises `ConfigError` if the description is rejected."""
        try:
            await self._load_table()
        except DescriptionError as error:
            raise ConfigError(f"routes: {error}") from None
        self._watch_files()

    def reload(self, routes: Routes) -> None:
        """Load the description again on SIGHUP, possibly from another file."""
        former, self.routes = self.routes, routes
        if routes.watch_interval_us and not former.watch_interval_us:
            self._watch_files()
        self.loaded_signature = None
        self.load()

    def load(self) -> None:
        """Load the description; if it is being loaded, once more afterwards."""
        if self.task is not None and not self.task.done():
            self.is_reload_requested = True
            return
        self.task = self.loop.create_task(self._reload_until_current())

    async def _reload_until_current(self) -> None:
        while True:
            self.is_reload_requested = False
            try:
                await self._load_table()
            except DescriptionError as error:
                self.rejected_count += 1
                log.error("routes rejected, keeping generation %d: %s", self.table.number, error)
            except Exception:  # must not end the front door or the checks for changes
                self.rejected_count += 1
                log.exception("error while loading routes, keeping generation %d", self.table.number)
            self.on_loaded()
            if not self.is_reload_requested:
                return

    def stop(self) -> None:
        """Cancel a load in progress."""
        if self.task is not None:
            self.task.cancel()

    def _watch_files(self) -> None:
        """Reload if the files have changed since they were read, but not since the last check (half-written)."""
        if self.routes.watch_interval_us:
            self.loop.call_later(self.routes.watch_interval_us / 1e6, self._watch_files)
            signature = self._file_signature()
            if signature != self.loaded_signature and signature == self.last_signature:
                self.load()
            self.last_signature = signature

    def _file_signature(self) -> object:
        """A value that changes with the files; symbolic links are followed."""
        entries: list[tuple[object, ...]] = []
        for name in dict.fromkeys((self.routes.file, *self.description_files)):
            try:
                status = os.stat(name)
            except OSError as error:
                entries.append((name, error.errno))
            else:
                entries.append((name, status.st_dev, status.st_ino, status.st_mtime_ns, status.st_size))
        return tuple(entries)

    async def _load_table(self) -> None:
        """Read, build and activate the next generation. Raises `DescriptionError`."""
        self.loaded_signature = self._file_signature()
        root = Path(__file__).resolve().parents[3]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "irisdeal.front_door.sources.openapi",
            os.path.abspath(self.routes.file),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            cwd=root,
            limit=MAX_LINE_BYTES,
        )
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                table = await self._build_table(process)
        except TimeoutError:
            raise DescriptionError(f"{self.routes.file}: not read within {READ_TIMEOUT_S:g} s") from None
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
        if table.digest == self.table.digest:
            return
        if self.table.number and (reason := refusal_reason(self.table, table)) is not None:
            raise DescriptionError(f"{self.routes.file}: {reason}")
        self._activate(table)

    async def _build_table(self, process: asyncio.subprocess.Process) -> Table:
        """Build the table from the lines of the reader process; the event loop runs after each slice."""
        assert process.stdout is not None and process.stderr is not None
        head = await self._read_line(process.stdout)
        if head is None:
            lines = (await process.stderr.read(4_096)).decode("utf-8", "replace").strip().splitlines()
            raise DescriptionError(
                f"{self.routes.file}: the reader process failed: {lines[-1] if lines else 'no output'}"
            )
        if "error" in head:
            raise DescriptionError(str(head["error"]))
        self.description_files = [str(name) for name in head["files"]]
        self.loaded_signature = self._file_signature()
        rules: dict[Rule, Rule] = {}
        routes: list[Route] = []
        allow = head["allow"]
        try:
            while len(routes) < head["routes"]:
                line = await self._read_line(process.stdout)
                if line is None:
                    raise DescriptionError(
                        f"{self.routes.file}: the reader process ended after {len(routes)} routes"
                    )
                routes.append(route_from_wire(line, rules))
                if len(routes) % ROUTES_PER_STEP == 0:
                    await asyncio.sleep(0)
            steps = build_in_steps(routes, self.table.number + 1, "weaken" in allow, "remove" in allow)
            for partial_table in steps:
                table = partial_table
                await asyncio.sleep(0)
        except (RouteConflictError, InvalidTemplateError, DescriptionLimitError, ValueError) as error:
            raise DescriptionError(f"{self.routes.file}: {error}") from None
        return table

    async def _read_line(self, stream: asyncio.StreamReader) -> Any:
        """Read one line of JSON; None at the end."""
        try:
            line = await stream.readline()
        except ValueError:
            raise DescriptionError(
                f"{self.routes.file}: a route is longer than {MAX_LINE_BYTES} bytes"
            ) from None
        return json.loads(line) if line.endswith(b"\n") else None

    def _activate(self, table: Table) -> None:
        """Activate the next generation for all further requests.

        An open request keeps its class and cost. If the new rule of its route is stricter about retries, the new
        rule applies to its further attempts; if its route was removed, its former rule still applies.
        """
        former = self.table
        self.class_numbers = self.classes.activate(table.rules())
        restricted: list[Event] = []
        for number, request in self.decision_loop.requests.items():
            client = request.client
            context = client.route_context
            if request.is_answered or not isinstance(context, RouteContext):
                continue
            route = table.find(context.method, context.target).route
            if route is None or (rule := context.rule.restricted_by(route.rule)) == context.rule:
                continue
            context.rule, former_class = rule, client.request_class
            client.request_class = self.classes.assign(rule)
            self.classes.acquire(client.request_class)
            self.classes.release(former_class)
            restricted.append(RequestClassChanged(number, client.request_class))
        for number, known in enumerate(self.classes.rules):
            updated = request_class(known) if known is not None else self.request_classes[number]
            if number == len(self.request_classes):
                self.request_classes.append(updated)
            self.request_classes[number] = updated
        self.table = table
        self.decision_loop.post(ClassesChanged(tuple(self.request_classes)))
        for event in restricted:
            self.decision_loop.post(event)
        log.info(
            "routes: generation %d replaces %d, %d routes, %d classes, %d open requests restricted, "
            "digest %s",
            table.number,
            former.number,
            len(table.routes),
            len(self.class_numbers),
            len(restricted),
            table.digest,
        )
