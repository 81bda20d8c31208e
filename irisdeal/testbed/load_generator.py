"""The load generator: sends the drawn requests of the tenants through the front doors, with retries.

It includes the platform's load balancer, which spreads a tenant's requests over its set of front doors, removes
a front door some seconds after it has died, and adds it again once it answers `GET /_health` with 200
(PROTOCOL, Clients to front doors).
"""

from __future__ import annotations

import asyncio
import bisect
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from irisdeal.testbed.http import ClientConnection, readable_now
from irisdeal.testbed.misbehaving_clients import MisbehavingClients
from irisdeal.testbed.request_log import Answer, ClientAttempt, Now, RequestLog
from irisdeal.testbed.workload import Arrival, Day, claim_key, stream, trace, weights

LATE_ANSWER_WATCH_S = 0.5  # a connection is read this long after a timeout, to record late answers
CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTS = 3  # for one attempt, if new connections end before the request is written
MIN_ATTEMPT_S = 0.02  # a client does not retry with less time left
SCHEDULE_STEP_S = 0.25  # interval at which arrivals are scheduled on the event loop
Address = tuple[str, int]


class LoadGenerator:
    """The clients of all tenants of a day. Attempts are recorded in `RequestLog.client_attempts`."""

    def __init__(
        self,
        day: Day,
        request_log: RequestLog,
        now: Now,
        front_doors: list[Address],
        shard: int = 0,
        shards: int = 1,
    ) -> None:
        """`shard` is the number of this process among `shards` (`load_processes.py`)."""
        self.day, self.request_log, self.now, self.front_doors = day, request_log, now, front_doors
        self.scenario = day.scenario
        self.healthy: set[int] = set(range(len(front_doors)))
        self.draining: set[int] = set()  # no new connections; open ones remain in use
        self.idle: defaultdict[int, list[ClientConnection]] = defaultdict(list)
        self.open_connections: dict[ClientConnection, None] = {}
        self.readable: Callable[[Any], bool] = readable_now  # whether a socket can be read without waiting
        self.tasks: set[asyncio.Task[None]] = set()
        self.random: random.Random = stream(day.seed, "terminals", *((shard,) if shards > 1 else ()))
        self.arrival_times = [a.at for a in day.arrivals]
        self.start = 0
        self.late_watch = LATE_ANSWER_WATCH_S
        self.stopped = False
        self.misbehaving_clients = MisbehavingClients(
            day, front_doors, request_log.misbehaving_clients, shard, shards
        )

    async def run(self, start: int) -> None:
        """Send the drawn requests from `start` (µs) on, and wait until every attempt has ended."""
        self.start = start
        loop = asyncio.get_running_loop()
        self.misbehaving_clients.play((start - self.now()) / 1e6)
        next_index, count = 0, len(self.day.arrivals)
        while next_index < count and not self.stopped:
            ahead = self.now() - start + round(SCHEDULE_STEP_S * 2e6)
            end_index = bisect.bisect_right(self.arrival_times, ahead)
            for arrival in self.day.arrivals[next_index:end_index]:
                loop.call_later(max(0.0, (start + arrival.at - self.now()) / 1e6), self._begin, arrival)
            next_index = end_index
            await asyncio.sleep(SCHEDULE_STEP_S)
        rest = max(0.0, (start - self.now()) / 1e6 + (0.0 if self.stopped else self.scenario.seconds))
        await asyncio.sleep(rest)
        while self.tasks or self.misbehaving_clients.tasks:
            await asyncio.wait(self.tasks | self.misbehaving_clients.tasks)

    def stop(self) -> None:
        """Send no further requests."""
        self.stopped = True

    def close(self) -> None:
        """Stop all requests and close all connections."""
        self.misbehaving_clients.close()
        for task in self.tasks:
            task.cancel()
        for connection in list(self.open_connections):
            connection.close()

    def front_door_down(self, front_door: int) -> None:
        """Remove a front door whose health check fails."""
        self.healthy.discard(front_door)

    def front_door_draining(self, front_door: int) -> None:
        """Open no new connections to a front door that shuts down (PROTOCOL, Figures: 0.2 to 0.4 s)."""
        self.draining.add(front_door)

    def front_door_up(self, front_door: int) -> None:
        """Use a front door again."""
        self.healthy.add(front_door)
        self.draining.discard(front_door)

    # One request

    def _begin(self, arrival: Arrival) -> None:
        if self.stopped:
            return
        task = asyncio.get_running_loop().create_task(self._send_request(arrival))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_request(self, arrival: Arrival) -> None:
        """Send a first attempt and its retries, until one is served or the class's deadline has passed."""
        scenario, load = self.scenario, self.scenario.load
        kind, tenant = scenario.classes[arrival.kind], self.day.tenants[arrival.tenant]
        due = self.now()
        until = due + round(kind.deadline_ms * 1000)
        key = claim_key(self.day.seed, arrival.request_number) if kind.repeat == "keyed" else ""
        front_door = -1
        for attempt in itertools.count():
            if attempt and until - self.now() < MIN_ATTEMPT_S * 1e6:
                return  # the loop resumed late after the pause
            front_door = self._choose_front_door(arrival.tenant, front_door)
            wait = min(round(kind.deadline_ms * 1000 * load.attempt_share), until - self.now())
            client_attempt = ClientAttempt(
                trace(self.day.seed, arrival.request_number, attempt),
                arrival.request_number,
                attempt,
                key,
                kind.name,
                scenario.plans[tenant.plan].name,
                tenant.customer,
                kind.units,
                front_door,
                self.now(),
                wait,
            )
            self.request_log.client_attempts.append(client_attempt)
            await self._attempt(client_attempt, tenant.first, tenant.spread)
            if not self._should_retry(client_attempt, attempt):
                return
            pause = load.backoff_ms / 1000 * {"none": 0.0, "fixed": 1.0, "exp": 2.0**attempt}[load.backoff]
            pause *= self.random.uniform(0.5, 1.5)
            if client_attempt.answers and client_attempt.answers[0].retry_after and tenant.honors_retry_after:
                pause = max(pause, client_attempt.answers[0].retry_after)
            if self.now() + (pause + MIN_ATTEMPT_S) * 1e6 > until:
                return
            await asyncio.sleep(pause)

    def _should_retry(self, client_attempt: ClientAttempt, attempt: int) -> bool:
        """Whether the client sends a retry (WIRE, CLIENTS)."""
        if self.stopped or attempt >= self.scenario.load.retries:
            return False
        answer = client_attempt.answers[0] if client_attempt.answers else None
        if answer is not None and answer.status == 200:
            return False
        kind = next(c for c in self.scenario.classes if c.name == client_attempt.kind)
        if kind.repeat == "safe" or not client_attempt.at:
            return True
        if answer is not None:
            return answer.status in (429, 503)
        return bool(client_attempt.disconnected_at) and kind.repeat == "keyed"

    def _choose_front_door(self, tenant: int, last: int) -> int:
        """Choose the front door of an attempt; `last` is that of the previous attempt, or -1."""
        if last in self.healthy - self.draining and self.random.random() >= self.scenario.load.elsewhere:
            return last
        first, spread = self.day.tenants[tenant].first, self.day.tenants[tenant].spread
        front_doors = [(first + n) % len(self.front_doors) for n in range(spread)]
        shares = weights(self.day.seed, self.scenario, tenant, spread, self.now() - self.start)
        candidates = [pair for pair in zip(front_doors, shares, strict=True) if self._reachable(pair[0])]
        candidates = candidates or [(front_door, 1.0) for front_door in (self.healthy or set(front_doors))]
        return self.random.choices([d for d, _ in candidates], [w + 1e-9 for _, w in candidates])[0]

    def _reachable(self, front_door: int) -> bool:
        """Whether a request can be sent: a draining front door accepts no new connections."""
        if front_door not in self.healthy:
            return False
        return front_door not in self.draining or any(c.usable() for c in self.idle[front_door])

    # One attempt

    async def _attempt(self, client_attempt: ClientAttempt, first: int, spread: int) -> None:
        for repeated in (False, True):
            connection = None if repeated else self._idle_connection(client_attempt.front_door)
            is_reused = connection is not None
            for _ in range(MAX_CONNECTS):  # a new connection can end before the request is written
                if connection is None or connection.ended():
                    connection = await self._connect(client_attempt.front_door)
            if connection is None or connection.ended():
                return
            await self._send(connection, client_attempt, first, spread)
            if client_attempt.answers or not (
                is_reused and client_attempt.disconnected_at and not connection.received
            ):
                return
            # The reused connection was closing: sent once more on a new one (PROTOCOL).
            client_attempt.crossed, client_attempt.disconnected_at = True, 0

    async def _send(
        self, connection: ClientConnection, client_attempt: ClientAttempt, first: int, spread: int
    ) -> None:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[None] = loop.create_future()

        def answered(status: int, headers: dict[str, str], body: bytes) -> None:
            """Record a final answer."""
            client_attempt.answers.append(Answer(self.now(), status, body, _retry_after(headers)))
            if not ended.done():
                ended.set_result(None)

        def lost() -> None:
            """Record the end of the connection."""
            self.open_connections.pop(connection, None)
            if connection.broken:
                client_attempt.stray += 1 if client_attempt.answers else 0
            if not (client_attempt.answers or client_attempt.disconnected_at or client_attempt.gave_up):
                client_attempt.disconnected_at = self.now()
            if not ended.done():
                ended.set_result(None)

        connection.on_answer, connection.on_end = answered, lost
        connection.write(self._request_bytes(client_attempt, first, spread))
        client_attempt.at = self.now()
        try:
            async with asyncio.timeout(client_attempt.wait / 1e6):
                await asyncio.shield(ended)
        except TimeoutError:
            client_attempt.gave_up = self.now()
            loop.call_later(self.late_watch, connection.close)
            return
        if not self.scenario.load.reuse:
            connection.close()
        elif connection.usable():
            self.idle[client_attempt.front_door].append(connection)

    def _request_bytes(self, client_attempt: ClientAttempt, first: int, spread: int) -> bytes:
        kind = next(c for c in self.scenario.classes if c.name == client_attempt.kind)
        method = "GET" if kind.repeat == "safe" else "POST"
        lines = [
            f"{method} /refund/{client_attempt.kind} HTTP/1.1",
            "Host: refund.svc",
            f"X-Trace-Id: {client_attempt.trace}",
            f"X-Qos: {client_attempt.kind}",
            f"Plan: {client_attempt.plan}",
            f"Account: {client_attempt.customer:016x}",
            f"X-Expires-In: {max(1, client_attempt.wait // 1000)}m",
            f"Quota-Info: units={client_attempt.units:g},spread={spread},first={first}",
        ]
        lines += [f"Idempotency-Key: {client_attempt.key}"] if client_attempt.key else []
        lines += ["X-Second-Try: 1"] if client_attempt.attempt else []
        body = b"" if method == "GET" else b'{"receipt":"%s"}' % client_attempt.trace.encode()
        lines += [] if method == "GET" else [f"Content-Length: {len(body)}"]
        return "\r\n".join((*lines, "", "")).encode() + body

    def _idle_connection(self, front_door: int) -> ClientConnection | None:
        kept = self.idle[front_door]
        while kept:
            if (connection := kept.pop()).usable() and not connection.ended():
                return connection
        return None

    async def _connect(self, front_door: int) -> ClientConnection | None:
        if front_door in self.draining:
            return None
        connection = ClientConnection(self.readable)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, *self.front_doors[front_door]
                )
        except (OSError, TimeoutError):
            return None
        self.open_connections[connection] = None
        return connection


def _retry_after(headers: dict[str, str]) -> float | None:
    """Return the value of `Retry-After`, s; None if it is missing or malformed."""
    try:
        return float(headers["retry-after"]) if "retry-after" in headers else None
    except ValueError:
        return None
