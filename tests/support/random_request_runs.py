"""Short random runs of requests, departures, troubles and ends of a proxy, each by one seed.

`python -m tests.support.random_request_runs FIRST LAST` plays many and prints each seed with what the judge
found.
"""

from __future__ import annotations

import asyncio
import logging
import random
import sys
import time
from dataclasses import dataclass, field
from typing import Any

from tests.support.request_world import GRACE_S, Client, Leaving, RequestWorld, Sent

LENGTH_S = 3.0  # in which requests are begun
SETTLE_S = 9.0  # after the last act, by when all is over: deadlines are 5 s, a grace 6
WORKS_MS = (20, 100, 300, 900, 2000, 3000)
CUT_S = 0.7  # that the way to the backend is cut
LARGE = 400_000  # bytes of a large answer
KINDS = ("one", "kept", "pipelined", "half read", "large", "slow reader")


@dataclass
class Result:
    """What one run showed."""

    seed: int
    what: str = ""
    requests: int = 0
    answered: int = 0
    promised: int = 0
    left: int = 0
    breaches: list[str] = field(default_factory=list)


class RandomRun:
    """One run."""

    def __init__(self, seed: int) -> None:
        self.seed, self.chance = seed, random.Random(seed)
        chance = self.chance
        self.world = RequestWorld(seed, has_registry=chance.random() < 0.5)
        self.term_at = chance.uniform(0.0, LENGTH_S + 1.0) if chance.random() < 0.7 else None
        self.trouble = chance.choice(("none", "none", "none", "lost answers", "cut", "full"))
        if self.trouble == "cut":  # a close reaches the backend behind it
            self.world.still_s += CUT_S
        self.few_slots = chance.random() < 0.3
        self.hold_s = chance.choice((0.0, 0.0, 0.3, 1.0))
        self.changes = self._drawn_changes(random.Random(seed + 1))
        self.tasks: set[asyncio.Task[Any]] = set()
        if self.few_slots:
            self.world.prepare = lambda proxy: setattr(proxy.admission.concurrency, "slots", 2)

    @staticmethod
    def _drawn_changes(chance: random.Random) -> list[tuple[float, int]]:
        """When the configuration changes, and its idle time in ms: in three of ten runs."""
        if chance.random() >= 0.3:
            return []
        return [
            (chance.uniform(0.0, LENGTH_S + 2.0), chance.choice((300, 2000, 15_000)))
            for _ in range(chance.randint(1, 4))
        ]

    def play(self) -> Result:
        """The whole run, and the judge."""
        world = self.world
        result = Result(self.seed, f"{self.trouble}, terminated at {self.term_at}, hold {self.hold_s}")
        try:
            world.play(self._act, 40.0)
        except Exception as error:
            result.breaches.append(f"{type(error).__name__}: {error}"[:300])
        result.requests = len(world.requests)
        result.answered = sum(sent.status not in (0, 429, 503) for sent in world.requests)
        result.promised = sum(sent.status in (429, 503) for sent in world.requests)
        result.left = sum(sent.left_at is not None for sent in world.requests)
        result.breaches += [*world.work_for_departed(), *world.broken_promises(), *world.wrong_answers()]
        if self.trouble in ("none", "full"):
            result.breaches += [*world.without_end(), *world.given_up()]
        result.breaches += self._leftovers()
        return result

    async def _act(self) -> None:
        world, chance = self.world, self.chance
        if world.registry is not None:
            world.registry.hold_s = self.hold_s
        for at in sorted(chance.uniform(0.0, LENGTH_S) for _ in range(chance.randint(10, 40))):
            self._start(self._later(at, self._client(chance.choice(KINDS))))
        if self.term_at is not None:
            self._start(self._later(self.term_at, self._terminate()))
        for number, (at, idle_ms) in enumerate(sorted(self.changes), 2):
            self._start(self._later(at, self._reconfigure(number, idle_ms)))
        if self.trouble != "none":
            self._start(self._later(chance.uniform(0.0, LENGTH_S), self._troubled()))
        await asyncio.sleep(LENGTH_S)
        while self.tasks:
            await asyncio.wait(self.tasks)
        await asyncio.sleep(SETTLE_S)

    def _start(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    @staticmethod
    async def _later(seconds: float, work: Any) -> None:
        await asyncio.sleep(seconds)
        await work

    async def _terminate(self) -> None:
        self.world.terminate()

    async def _reconfigure(self, number: int, idle_ms: int) -> None:
        self.world.reconfigure(number, idle_ms)

    async def _troubled(self) -> None:
        world = self.world
        match self.trouble:
            case "lost answers":
                world.answers_are_lost = True
                await asyncio.sleep(0.5)
                world.answers_are_lost = False
            case "cut":
                world.to_backend.is_partitioned = world.to_backend.is_stalled = True
                await asyncio.sleep(CUT_S)
                world.to_backend.is_partitioned = world.to_backend.is_stalled = False
                world.net.restore(world.to_backend)
            case "full":
                world.backend_is_full = True
                await asyncio.sleep(0.5)
                world.backend_is_full = False

    # Clients

    def _request(self) -> Sent:
        return self.world.request(self.chance.choice(WORKS_MS), self.chance.random() < 0.4)

    async def _client(self, kind: str) -> None:
        client = await self.world.connect()
        if client is None:
            return
        match kind:
            case "kept":
                for _ in range(self.chance.randint(2, 4)):
                    if client.is_told_to_close or client.transport is None:
                        break
                    sent = self._request()
                    self._send(client, sent)
                    await self._answered(sent)
                    await asyncio.sleep(self.chance.uniform(0.0, 0.5))
            case "pipelined":
                for _ in range(self.chance.randint(2, 4)):
                    self._send(client, self._request())
            case "half read":
                sent = self._request()
                client.send(sent, slice(0, self.chance.randint(1, 150)))
                if self.chance.random() < 0.6:
                    await asyncio.sleep(self.chance.uniform(0.0, 2.0))
                return
            case "large" | "slow reader":
                self._send(client, self._request(), LARGE)
                if kind == "slow reader" and client.transport is not None:
                    client.transport.pause_reading()
                    await asyncio.sleep(self._reading_pause())
                    if client.transport is not None:
                        client.transport.resume_reading()
            case _:
                self._send(client, self._request())
        if self.chance.random() < 0.3:
            await asyncio.sleep(self.chance.uniform(0.0, 1.5))
            client.leave(self.chance.choice(list(Leaving)))

    def _reading_pause(self) -> float:
        """s that a slow reader takes nothing: not beyond what a process that ends can wait for."""
        until = LENGTH_S + 5.0 if self.term_at is None else self.term_at + GRACE_S - 1.0
        return max(0.1, min(self.chance.uniform(0.1, 6.0), until - self.world.now()))

    @staticmethod
    def _send(client: Client, sent: Sent, answer_bytes: int = 2) -> None:
        client.send(sent, answer_bytes=answer_bytes)

    async def _answered(self, sent: Sent) -> None:
        while sent.answered_at is None and sent.closed_at is None:
            await asyncio.sleep(0.01)

    # What must be given back

    def _leftovers(self) -> list[str]:
        """What the proxy and the registry still hold for requests that are over."""
        world, found = self.world, []
        proxy = world.proxy
        assert proxy is not None
        if world.registry is not None and (world.registry.waiting or world.registry.open):
            open_ = len(world.registry.open)
            found.append(f"{world.registry.waiting} asks and {open_} places are left at the registry")
        if self.term_at is not None and not world.proxy_machine.dead:
            found.append("the proxy does not end")
        if not world.proxy_machine.dead:
            out = sum(backend.in_flight for backend in proxy.directory.backends.values())
            held = sum(
                held.in_flight + len(held.waiting) for held in proxy.admission.concurrency.tenants.values()
            )
            if out or held or proxy.handler.attempts or proxy.http_server.serving:
                found.append(f"{out} attempts, {held} places within bounds are left")
        return found


def main(first: int, last: int) -> int:
    """Play these seeds; the number of those with a breach."""
    logging.disable(logging.CRITICAL)
    begun, bad, total = time.monotonic(), 0, Result(0)
    for seed in range(first, last):
        result = RandomRun(seed).play()
        total.requests += result.requests
        total.answered += result.answered
        total.promised += result.promised
        total.left += result.left
        if result.breaches:
            bad += 1
            print(f"seed {seed} ({result.what}): {result.breaches[:3]}", flush=True)
    print(
        f"{last - first} runs, {bad} with a breach; {total.requests} requests, {total.answered} answered, "
        f"{total.promised} promised, {total.left} left by their clients; {time.monotonic() - begun:.0f} s"
    )
    return bad


if __name__ == "__main__":
    sys.exit(1 if main(int(sys.argv[1]), int(sys.argv[2])) else 0)
