"""The load generator: the tenants' requests as drawn, sent through the front doors, with their retries.

Between tenants and front doors stands a load balancer, as on the platform: it spreads a tenant's requests over
its set of front doors, removes a front door only some seconds after it has died, and adds it again once it
answers `GET /_health` with 200 (PROTOCOL, Clients to front doors).
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

LATE_WATCH = 0.5  # s that a connection is still read after its attempt was given up: a late answer is seen
CONNECT_TIMEOUT = 1.0  # s
CONNECTS = 3  # for one attempt, where new connections end before a word is written on them
MIN_ATTEMPT = 0.02  # s left below which a client asks no more
STEP = 0.25  # s: how far ahead arrivals are put on the loop's timers
Address = tuple[str, int]


class LoadGenerator:
    """All tenants of a day. `run` plays it; `RequestLog.client_attempts` has each attempt."""

    def __init__(
        self,
        day: Day,
        request_log: RequestLog,
        now: Now,
        front_doors: list[Address],
        shard: int = 0,
        shards: int = 1,
    ) -> None:
        """`shard` of `shards` processes, where the day's first attempts are shared out (`load_processes.py`)."""
        self.day, self.request_log, self.now, self.front_doors = day, request_log, now, front_doors
        self.scenario = day.scenario
        self.alive: set[int] = set(range(len(front_doors)))
        self.leaving: set[int] = set()  # asked to end: no new connections, those there are go on
        self.idle: defaultdict[int, list[ClientConnection]] = defaultdict(list)
        self.open: dict[ClientConnection, None] = {}
        self.readable: Callable[[Any], bool] = readable_now  # whether a socket can be read at once
        self.tasks: set[asyncio.Task[None]] = set()
        self.random: random.Random = stream(day.seed, "terminals", *((shard,) if shards > 1 else ()))
        self.times = [a.at for a in day.arrivals]
        self.start = 0
        self.late_watch = LATE_WATCH
        self.stopped = False
        self.misbehaving_clients = MisbehavingClients(
            day, front_doors, request_log.misbehaving_clients, shard, shards
        )

    async def run(self, start: int) -> None:
        """Ask as drawn from `start` (µs) on, and wait until every attempt has ended."""
        self.start = start
        loop = asyncio.get_running_loop()
        self.misbehaving_clients.play((start - self.now()) / 1e6)
        next_index, count = 0, len(self.day.arrivals)
        while next_index < count and not self.stopped:
            ahead = self.now() - start + round(STEP * 2e6)
            upto = bisect.bisect_right(self.times, ahead)
            for arrival in self.day.arrivals[next_index:upto]:
                loop.call_later(max(0.0, (start + arrival.at - self.now()) / 1e6), self._begin, arrival)
            next_index = upto
            await asyncio.sleep(STEP)
        rest = max(0.0, (start - self.now()) / 1e6 + (0.0 if self.stopped else self.scenario.seconds))
        await asyncio.sleep(rest)
        while self.tasks or self.misbehaving_clients.tasks:
            await asyncio.wait(self.tasks | self.misbehaving_clients.tasks)

    def stop(self) -> None:
        """Ask nothing new."""
        self.stopped = True

    def close(self) -> None:
        """Stop all requests and close all connections."""
        self.misbehaving_clients.close()
        for task in self.tasks:
            task.cancel()
        for connection in list(self.open):
            connection.close()

    def front_door_down(self, front_door: int) -> None:
        """Remove a front door that the load balancer has found dead."""
        self.alive.discard(front_door)

    def front_door_draining(self, front_door: int) -> None:
        """Open no new connections to a front door that restarts (PROTOCOL, Figures: 0.2 to 0.4 s)."""
        self.leaving.add(front_door)

    def front_door_up(self, front_door: int) -> None:
        """Use a front door again."""
        self.alive.add(front_door)
        self.leaving.discard(front_door)

    # One request

    def _begin(self, arrival: Arrival) -> None:
        if self.stopped:
            return
        task = asyncio.get_running_loop().create_task(self._ask(arrival))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _ask(self, arrival: Arrival) -> None:
        """Send a first attempt and its retries, until one is served or the class's time is over."""
        scenario, load = self.scenario, self.scenario.load
        kind, tenant = scenario.classes[arrival.kind], self.day.tenants[arrival.tenant]
        due = self.now()
        until = due + round(kind.deadline_ms * 1000)
        key = claim_key(self.day.seed, arrival.request_number) if kind.repeat == "keyed" else ""
        front_door = -1
        for attempt in itertools.count():
            if attempt and until - self.now() < MIN_ATTEMPT * 1e6:
                return  # the pause took longer than it should
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
            if not self._retries(client_attempt, attempt):
                return
            pause = load.backoff_ms / 1000 * {"none": 0.0, "fixed": 1.0, "exp": 2.0**attempt}[load.backoff]
            pause *= self.random.uniform(0.5, 1.5)
            if client_attempt.answers and client_attempt.answers[0].retry_after and tenant.honours:
                pause = max(pause, client_attempt.answers[0].retry_after)
            if self.now() + (pause + MIN_ATTEMPT) * 1e6 > until:
                return
            await asyncio.sleep(pause)

    def _retries(self, client_attempt: ClientAttempt, attempt: int) -> bool:
        """Whether the client asks again (WIRE, CLIENTS)."""
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
        """Choose the front door of an attempt; `last` had the attempt before it, -1 for a first one."""
        if last in self.alive - self.leaving and self.random.random() >= self.scenario.load.elsewhere:
            return last
        first, spread = self.day.tenants[tenant].first, self.day.tenants[tenant].spread
        front_doors = [(first + n) % len(self.front_doors) for n in range(spread)]
        shares = weights(self.day.seed, self.scenario, tenant, spread, self.now() - self.start)
        able = [pair for pair in zip(front_doors, shares, strict=True) if self._reachable(pair[0])]
        able = able or [(front_door, 1.0) for front_door in (self.alive or set(front_doors))]
        return self.random.choices([d for d, _ in able], [w + 1e-9 for _, w in able])[0]

    def _reachable(self, front_door: int) -> bool:
        """Whether a request can be sent: a front door that drains takes none on new connections."""
        if front_door not in self.alive:
            return False
        return front_door not in self.leaving or any(c.usable() for c in self.idle[front_door])

    # One attempt

    async def _attempt(self, client_attempt: ClientAttempt, first: int, spread: int) -> None:
        for repeated in (False, True):
            connection = None if repeated else self._rested(client_attempt.front_door)
            kept = connection is not None
            for _ in range(CONNECTS):  # a new one may be closed before our loop comes to write on it
                if connection is None or connection.ended():
                    connection = await self._connect(client_attempt.front_door)
            if connection is None or connection.ended():
                return
            await self._send(connection, client_attempt, first, spread)
            if client_attempt.answers or not (
                kept and client_attempt.disconnected_at and not connection.received
            ):
                return
            # It crossed the connection's end: sent once more on a new one (PROTOCOL).
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
            """Record the connection's end."""
            self.open.pop(connection, None)
            if connection.broken:
                client_attempt.stray += 1 if client_attempt.answers else 0
            if not (client_attempt.answers or client_attempt.disconnected_at or client_attempt.gave_up):
                client_attempt.disconnected_at = self.now()
            if not ended.done():
                ended.set_result(None)

        connection.on_answer, connection.on_end = answered, lost
        connection.write(self._text(client_attempt, first, spread))
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

    def _text(self, client_attempt: ClientAttempt, first: int, spread: int) -> bytes:
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

    def _rested(self, front_door: int) -> ClientConnection | None:
        kept = self.idle[front_door]
        while kept:
            if (connection := kept.pop()).usable() and not connection.ended():
                return connection
        return None

    async def _connect(self, front_door: int) -> ClientConnection | None:
        if front_door in self.leaving:
            return None
        connection = ClientConnection(self.readable)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, *self.front_doors[front_door]
                )
        except (OSError, TimeoutError):
            return None
        self.open[connection] = None
        return connection


def _retry_after(headers: dict[str, str]) -> float | None:
    """Return the advice of `Retry-After`, s; None where it is missing or malformed."""
    try:
        return float(headers["retry-after"]) if "retry-after" in headers else None
    except ValueError:
        return None
