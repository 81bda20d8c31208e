"""Short random runs of requests, disconnects, faults and shutdowns of a proxy, each determined by a seed.

`python -m tests.support.random_request_runs FIRST LAST` plays a range of seeds and prints each one with
violations.
"""

from __future__ import annotations

import asyncio
import logging
import random
import sys
import time
from dataclasses import dataclass, field
from typing import Any

from tests.support.request_world import GRACE_S, Client, Disconnect, RequestWorld, SentRequest

LENGTH_S = 3.0  # in which requests are sent
SETTLE_S = 9.0  # after the last action, in which everything ends: deadlines are 5 s, the grace period 6 s
WORKS_MS = (20, 100, 300, 900, 2000, 3000)
PARTITION_S = 0.7  # of the link to the backend
LARGE_RESPONSE_BYTES = 400_000
KINDS = ("one", "kept", "pipelined", "half read", "large", "slow reader")


@dataclass
class Result:
    """The counts of requests and the violations of one run.

    `answered`: other responses than 429 and 503; `rejected`: responses with 429 or 503; `disconnected`:
    requests whose client disconnected before the response.
    """

    seed: int
    scenario: str = ""
    requests: int = 0
    answered: int = 0
    rejected: int = 0
    disconnected: int = 0
    violations: list[str] = field(default_factory=list)


class RandomRun:
    """One run, determined by its seed."""

    def __init__(self, seed: int) -> None:
        self.seed, self.rng = seed, random.Random(seed)
        rng = self.rng
        self.world = RequestWorld(seed, has_registry=rng.random() < 0.5)
        self.term_at = rng.uniform(0.0, LENGTH_S + 1.0) if rng.random() < 0.7 else None
        self.fault = rng.choice(("none", "none", "none", "lost answers", "cut", "full"))
        if self.fault == "cut":  # a close reaches the backend only after the partition
            self.world.disconnect_grace_s += PARTITION_S
        self.few_slots = rng.random() < 0.3
        self.hold_s = rng.choice((0.0, 0.0, 0.3, 1.0))
        self.changes = self._draw_changes(random.Random(seed + 1))
        self.tasks: set[asyncio.Task[Any]] = set()
        if self.few_slots:
            self.world.prepare = lambda proxy: setattr(proxy.admission.concurrency, "slots", 2)

    @staticmethod
    def _draw_changes(rng: random.Random) -> list[tuple[float, int]]:
        """Draw times of configuration changes and the idle time of each in ms; none in seven of ten runs."""
        if rng.random() >= 0.3:
            return []
        return [
            (rng.uniform(0.0, LENGTH_S + 2.0), rng.choice((300, 2000, 15_000)))
            for _ in range(rng.randint(1, 4))
        ]

    def play(self) -> Result:
        """Play the run and check it."""
        world = self.world
        result = Result(self.seed, f"{self.fault}, terminated at {self.term_at}, hold {self.hold_s}")
        try:
            world.play(self._act, 40.0)
        except Exception as error:
            result.violations.append(f"{type(error).__name__}: {error}"[:300])
        result.requests = len(world.requests)
        result.answered = sum(sent.status not in (0, 429, 503) for sent in world.requests)
        result.rejected = sum(sent.status in (429, 503) for sent in world.requests)
        result.disconnected = sum(sent.disconnected_at is not None for sent in world.requests)
        result.violations += [
            *world.work_after_disconnect(),
            *world.violated_guarantees(),
            *world.responses_without_execution(),
        ]
        if self.fault in ("none", "full"):
            result.violations += [*world.unanswered_requests(), *world.interrupted_executions()]
        result.violations += self._leftovers()
        return result

    async def _act(self) -> None:
        world, rng = self.world, self.rng
        if world.registry is not None:
            world.registry.hold_s = self.hold_s
        for at in sorted(rng.uniform(0.0, LENGTH_S) for _ in range(rng.randint(10, 40))):
            self._start(self._later(at, self._client(rng.choice(KINDS))))
        if self.term_at is not None:
            self._start(self._later(self.term_at, self._terminate()))
        for number, (at, idle_ms) in enumerate(sorted(self.changes), 2):
            self._start(self._later(at, self._reconfigure(number, idle_ms)))
        if self.fault != "none":
            self._start(self._later(rng.uniform(0.0, LENGTH_S), self._play_fault()))
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

    async def _play_fault(self) -> None:
        world = self.world
        match self.fault:
            case "lost answers":
                world.drops_responses = True
                await asyncio.sleep(0.5)
                world.drops_responses = False
            case "cut":
                world.to_backend.is_partitioned = world.to_backend.is_stalled = True
                await asyncio.sleep(PARTITION_S)
                world.to_backend.is_partitioned = world.to_backend.is_stalled = False
                world.net.restore(world.to_backend)
            case "full":
                world.backend_is_full = True
                await asyncio.sleep(0.5)
                world.backend_is_full = False

    # Clients

    def _request(self) -> SentRequest:
        return self.world.request(self.rng.choice(WORKS_MS), self.rng.random() < 0.4)

    async def _client(self, kind: str) -> None:
        client = await self.world.connect()
        if client is None:
            return
        match kind:
            case "kept":
                for _ in range(self.rng.randint(2, 4)):
                    if client.must_close or client.transport is None:
                        break
                    sent = self._request()
                    self._send(client, sent)
                    await self._answered(sent)
                    await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            case "pipelined":
                for _ in range(self.rng.randint(2, 4)):
                    self._send(client, self._request())
            case "half read":
                sent = self._request()
                client.send(sent, slice(0, self.rng.randint(1, 150)))
                if self.rng.random() < 0.6:
                    await asyncio.sleep(self.rng.uniform(0.0, 2.0))
                return
            case "large" | "slow reader":
                self._send(client, self._request(), LARGE_RESPONSE_BYTES)
                if kind == "slow reader" and client.transport is not None:
                    client.transport.pause_reading()
                    await asyncio.sleep(self._reading_pause())
                    if client.transport is not None:
                        client.transport.resume_reading()
            case _:
                self._send(client, self._request())
        if self.rng.random() < 0.3:
            await asyncio.sleep(self.rng.uniform(0.0, 1.5))
            client.disconnect(self.rng.choice(list(Disconnect)))

    def _reading_pause(self) -> float:
        """Return for how many s a slow reader reads nothing; it resumes before the proxy's grace period
        ends.
        """
        until = LENGTH_S + 5.0 if self.term_at is None else self.term_at + GRACE_S - 1.0
        return max(0.1, min(self.rng.uniform(0.1, 6.0), until - self.world.now()))

    @staticmethod
    def _send(client: Client, sent: SentRequest, response_bytes: int = 2) -> None:
        client.send(sent, response_bytes=response_bytes)

    async def _answered(self, sent: SentRequest) -> None:
        while sent.responded_at is None and sent.closed_at is None:
            await asyncio.sleep(0.01)

    # Resources that must be released

    def _leftovers(self) -> list[str]:
        """Return the resources that the proxy and the registry still hold for ended requests."""
        world, found = self.world, []
        proxy = world.proxy
        assert proxy is not None
        if world.registry is not None and (world.registry.waiting or world.registry.reservations):
            reserved = len(world.registry.reservations)
            found.append(
                f"{world.registry.waiting} calls and {reserved} reservations are left at the registry"
            )
        if self.term_at is not None and not world.proxy_machine.dead:
            found.append("the proxy does not terminate")
        if not world.proxy_machine.dead:
            in_flight = sum(backend.in_flight for backend in proxy.directory.backends.values())
            slots = sum(
                tenant.in_flight + len(tenant.waiting)
                for tenant in proxy.admission.concurrency.tenants.values()
            )
            if in_flight or slots or proxy.handler.attempts or proxy.http_server.serving:
                found.append(f"{in_flight} attempts and {slots} slots within concurrency limits are left")
        return found


def main(first: int, last: int) -> int:
    """Play these seeds; return the number of seeds with a violation."""
    logging.disable(logging.CRITICAL)
    started_at, failed, total = time.monotonic(), 0, Result(0)
    for seed in range(first, last):
        result = RandomRun(seed).play()
        total.requests += result.requests
        total.answered += result.answered
        total.rejected += result.rejected
        total.disconnected += result.disconnected
        if result.violations:
            failed += 1
            print(f"seed {seed} ({result.scenario}): {result.violations[:3]}", flush=True)
    print(
        f"{last - first} runs, {failed} with a violation; {total.requests} requests, "
        f"{total.answered} answered, "
        f"{total.rejected} rejected, {total.disconnected} disconnected; {time.monotonic() - started_at:.0f} s"
    )
    return failed


if __name__ == "__main__":
    sys.exit(1 if main(int(sys.argv[1]), int(sys.argv[2])) else 0)
