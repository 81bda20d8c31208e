"""Terminals (clients): the stores' requests as drawn, through the doors, with retries and a book of answers.

Between the stores and the doors stands a front, as the platform has one: it deals a store's requests out over
its set of doors, leaves out a door only some seconds after it has died, and takes it in again once it answers
`GET /_health` with 200 (PROTOCOL, Clients to front doors).
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
from irisdeal.testbed.misbehaving_clients import Strangers
from irisdeal.testbed.request_log import Answer, Books, Now, Taken
from irisdeal.testbed.workload import Arrival, Day, claim_key, stream, trace, weights

LATE_WATCH = 0.5  # s that a connection is still read after its try was given up: a late answer is seen
CONNECT_TIMEOUT = 1.0  # s
CONNECTS = 3  # for one try, where new connections end before a word is written on them
LEAST_TRY = 0.02  # s left below which a client asks no more
STEP = 0.25  # s: how far ahead arrivals are put on the loop's timers
Address = tuple[str, int]


class Terminals:
    """All stores of a day. `run` plays it; `books.taken` holds each try."""

    def __init__(
        self,
        day: Day,
        books: Books,
        now: Now,
        doors: list[Address],
        part: int = 0,
        parts: int = 1,
    ) -> None:
        """`part` of `parts` processes, where the day's first tries are shared out (`crowd.py`)."""
        self.day, self.books, self.now, self.doors = day, books, now, doors
        self.scenario = day.scenario
        self.alive: set[int] = set(range(len(doors)))
        self.leaving: set[int] = set()  # asked to end: no new connections, those there are go on
        self.idle: defaultdict[int, list[ClientConnection]] = defaultdict(list)
        self.open: dict[ClientConnection, None] = {}
        self.readable: Callable[[Any], bool] = readable_now  # whether a socket can be read at once
        self.tasks: set[asyncio.Task[None]] = set()
        self.random: random.Random = stream(day.seed, "terminals", *((part,) if parts > 1 else ()))
        self.times = [a.at for a in day.arrivals]
        self.start = 0
        self.late_watch = LATE_WATCH
        self.stopped = False
        self.strangers = Strangers(day, doors, books.strangers, part, parts)

    async def run(self, start: int) -> None:
        """Ask as drawn from `start` (µs) on, and wait until every try has ended."""
        self.start = start
        loop = asyncio.get_running_loop()
        self.strangers.play((start - self.now()) / 1e6)
        place, count = 0, len(self.day.arrivals)
        while place < count and not self.stopped:
            ahead = self.now() - start + round(STEP * 2e6)
            upto = bisect.bisect_right(self.times, ahead)
            for arrival in self.day.arrivals[place:upto]:
                loop.call_later(max(0.0, (start + arrival.at - self.now()) / 1e6), self._begin, arrival)
            place = upto
            await asyncio.sleep(STEP)
        rest = max(0.0, (start - self.now()) / 1e6 + (0.0 if self.stopped else self.scenario.seconds))
        await asyncio.sleep(rest)
        while self.tasks or self.strangers.tasks:
            await asyncio.wait(self.tasks | self.strangers.tasks)

    def stop(self) -> None:
        """Ask nothing new."""
        self.stopped = True

    def close(self) -> None:
        self.strangers.close()
        for task in self.tasks:
            task.cancel()
        for connection in list(self.open):
            connection.close()

    def door_down(self, door: int) -> None:
        """The front has noticed that a door is dead."""
        self.alive.discard(door)

    def door_leaves(self, door: int) -> None:
        """A planned restart has begun: new connections come no more (PROTOCOL, Figures: for 0.2 to 0.4 s)."""
        self.leaving.add(door)

    def door_up(self, door: int) -> None:
        self.alive.add(door)
        self.leaving.discard(door)

    # One ask

    def _begin(self, arrival: Arrival) -> None:
        if self.stopped:
            return
        task = asyncio.get_running_loop().create_task(self._ask(arrival))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _ask(self, arrival: Arrival) -> None:
        """A first try and its retries, until one is served or the class's time is over."""
        scenario, load = self.scenario, self.scenario.load
        kind, store = scenario.classes[arrival.kind], self.day.stores[arrival.store]
        due = self.now()
        until = due + round(kind.deadline_ms * 1000)
        key = claim_key(self.day.seed, arrival.ask) if kind.repeat == "keyed" else ""
        door = -1
        for attempt in itertools.count():
            if attempt and until - self.now() < LEAST_TRY * 1e6:
                return  # the pause took longer than it should
            door = self._door(arrival.store, door)
            wait = min(round(kind.deadline_ms * 1000 * load.try_share), until - self.now())
            taken = Taken(
                trace(self.day.seed, arrival.ask, attempt),
                arrival.ask,
                attempt,
                key,
                kind.name,
                scenario.plans[store.plan].name,
                store.customer,
                kind.units,
                door,
                self.now(),
                wait,
            )
            self.books.taken.append(taken)
            await self._try(taken, store.first, store.spread)
            if not self._again(taken, attempt):
                return
            pause = load.backoff_ms / 1000 * {"none": 0.0, "fixed": 1.0, "exp": 2.0**attempt}[load.backoff]
            pause *= self.random.uniform(0.5, 1.5)
            if taken.answers and taken.answers[0].retry_after and store.honours:
                pause = max(pause, taken.answers[0].retry_after)
            if self.now() + (pause + LEAST_TRY) * 1e6 > until:
                return
            await asyncio.sleep(pause)

    def _again(self, taken: Taken, attempt: int) -> bool:
        """Whether the client asks again (WIRE, CLIENTS)."""
        if self.stopped or attempt >= self.scenario.load.retries:
            return False
        answer = taken.answers[0] if taken.answers else None
        if answer is not None and answer.status == 200:
            return False
        refused = answer is not None and answer.status in (429, 503)
        unreached = not taken.at or (not taken.answers and bool(taken.cut))  # a dead door's are the client's
        kind = next(c for c in self.scenario.classes if c.name == taken.kind)
        if kind.repeat == "safe":
            return True
        return refused or (unreached and (kind.repeat == "keyed" or not taken.at))

    def _door(self, store: int, last: int) -> int:
        """The door that the front gives this try to; `last` had the try before it, -1 for a first one."""
        if last in self.alive - self.leaving and self.random.random() >= self.scenario.load.elsewhere:
            return last
        told = self.day.stores[store]
        doors = [(told.first + n) % len(self.doors) for n in range(told.spread)]
        shares = weights(self.day.seed, self.scenario, store, told.spread, self.now() - self.start)
        able = [
            (d, w)
            for d, w in zip(doors, shares, strict=True)
            if d in self.alive and (d not in self.leaving or any(c.usable() for c in self.idle[d]))
        ]
        able = able or [(d, 1.0) for d in (self.alive or set(doors))]
        return self.random.choices([d for d, _ in able], [w + 1e-9 for _, w in able])[0]

    # One try

    async def _try(self, taken: Taken, first: int, spread: int) -> None:
        for again in (False, True):
            connection = None if again else self._rested(taken.door)
            kept = connection is not None
            for _ in range(CONNECTS):  # a new one may be closed before our loop comes to write on it
                if connection is None or connection.ended():
                    connection = await self._connect(taken.door)
            if connection is None or connection.ended():
                return
            await self._send(connection, taken, first, spread)
            if taken.answers or not (kept and taken.cut and not connection.heard):
                return
            # It crossed the connection's end: sent once more on a new one (PROTOCOL).
            taken.crossed, taken.cut = True, 0

    async def _send(self, connection: ClientConnection, taken: Taken, first: int, spread: int) -> None:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[None] = loop.create_future()

        def answered(status: int, headers: dict[str, str], body: bytes) -> None:
            try:
                advice = float(headers["retry-after"]) if "retry-after" in headers else None
            except ValueError:
                advice = None
            taken.answers.append(Answer(self.now(), status, body, advice))
            if not ended.done():
                ended.set_result(None)

        def lost() -> None:
            self.open.pop(connection, None)
            if connection.broken:
                taken.stray += 1 if taken.answers else 0
            if not (taken.answers or taken.cut or taken.gave_up):
                taken.cut = self.now()
            if not ended.done():
                ended.set_result(None)

        connection.on_answer, connection.on_end = answered, lost
        connection.write(self._text(taken, first, spread))
        taken.at = self.now()
        try:
            async with asyncio.timeout(taken.wait / 1e6):
                await asyncio.shield(ended)
        except TimeoutError:
            taken.gave_up = self.now()
            loop.call_later(self.late_watch, connection.close)
            return
        if not self.scenario.load.reuse:
            connection.close()
        elif connection.usable():
            self.idle[taken.door].append(connection)

    def _text(self, taken: Taken, first: int, spread: int) -> bytes:
        kind = next(c for c in self.scenario.classes if c.name == taken.kind)
        method = "GET" if kind.repeat == "safe" else "POST"
        lines = [
            f"{method} /refund/{taken.kind} HTTP/1.1",
            "Host: refund.svc",
            f"X-Trace-Id: {taken.trace}",
            f"X-Qos: {taken.kind}",
            f"Plan: {taken.plan}",
            f"Account: {taken.customer:016x}",
            f"X-Expires-In: {max(1, taken.wait // 1000)}m",
            f"Quota-Info: units={taken.units:g},spread={spread},first={first}",
        ]
        lines += [f"Idempotency-Key: {taken.key}"] if taken.key else []
        lines += ["X-Second-Try: 1"] if taken.attempt else []
        body = b"" if method == "GET" else b'{"receipt":"%s"}' % taken.trace.encode()
        lines += [] if method == "GET" else [f"Content-Length: {len(body)}"]
        return "\r\n".join((*lines, "", "")).encode() + body

    def _rested(self, door: int) -> ClientConnection | None:
        kept = self.idle[door]
        while kept:
            if (connection := kept.pop()).usable() and not connection.ended():
                return connection
        return None

    async def _connect(self, door: int) -> ClientConnection | None:
        if door in self.leaving:
            return None
        connection = ClientConnection(self.readable)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.doors[door])
        except (OSError, TimeoutError):
            return None
        self.open[connection] = None
        return connection
