"""Clients send long bodies that stay inside `max_body_bytes`; the platform kills a process over `memory_mb`.

Checks Fault: memory over the limit counts as an end of its own, and three such ends on two machines are a fault.
Without the trouble the same clients send short bodies.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    ZONES,
    Backend,
    Client,
    Deployment,
    HttpAnswer,
    Operator,
    configuration,
    http_call,
    main,
    route,
)

MEMORY_MB = 300  # `memory_mb` in the settings of an edge machine
LONG_BODY_BYTES = 60 << 20  # below `max_body_bytes`, 64 MiB in the configuration
SHORT_BODY_BYTES = 2000
UPLOADS = 3  # at the same time to one edge machine
ROUNDS = 3
RESTART_S = 0.3  # "it is started again after a short delay"
CHECK_INTERVAL_S = 0.01


class Platform:
    """Watches the memory of the proxies as the platform does: one over the limit is killed and started again."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.peak_mb: dict[str, float] = {}
        self.ends: list[tuple[float, str]] = []  # time and machine of each end

    def memory_mb(self, edge: str) -> float:
        """Return the resident memory of the proxy on this machine."""
        process = self.deployment.processes[edge, "proxy"]
        for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def watch(self) -> None:
        """Check all proxies until cancelled."""
        while True:
            for edge in self.deployment.edges:
                memory_mb = self.memory_mb(edge)
                self.peak_mb[edge] = max(self.peak_mb.get(edge, 0.0), memory_mb)
                if memory_mb > MEMORY_MB:
                    self.deployment.record.note(f"proxy on {edge} uses {memory_mb:.0f} MB, over {MEMORY_MB}")
                    self.ends.append((self.deployment.record.now(), edge))
                    self.deployment.kill(edge, "proxy")
                    await asyncio.sleep(RESTART_S)
                    self.deployment.start(edge, "proxy")
            await asyncio.sleep(CHECK_INTERVAL_S)


async def traffic(client: Client, deployment: Deployment) -> None:
    """Send a few requests a second that may run once to each edge machine."""
    async with asyncio.TaskGroup() as group:
        while True:
            for edge in deployment.edges:
                group.create_task(client.request(edge, "/y/1", "POST"))
            await asyncio.sleep(0.1)


async def upload(deployment: Deployment, edge: str, name: str, size: int) -> HttpAnswer:
    """Send one request with a body of this size."""
    record = deployment.record
    record.note(f"client: sends {name} POST /up/1 to {edge} with a body of {size} bytes")
    headers = {"Host": "jepu9.example", "X-Irisdeal-Attempt-Id": name, "X-Irisdeal-Deadline-Ms": "10000"}
    answer = await http_call(deployment.front(edge), "POST", "/up/1", headers, b"x" * size, timeout_s=10.5)
    record.note(f"client: {name} is answered {answer.status or answer.error}")
    return answer


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Return 1 if the proxies were over their memory three times on two machines, 0 if not, 2 without a run."""
    record, client, platform = deployment.record, Client(deployment), Platform(deployment)
    deployment.start_all()
    backends = [Backend(deployment, "svc-a", index, ZONES[index % 3]) for index in range(6)]
    backends += [Backend(deployment, "svc-b", index, ZONES[index % 3]) for index in range(6)]
    for backend in backends:
        backend.work_s = 0.1
        await backend.start()
    routes = [
        route("uploads", "/up/", "svc-a", "mutating", timeout_ms=10_000),
        route("payments", "/y/", "svc-b", "mutating"),
    ]
    if await Operator(deployment).put(configuration(1, routes)) is None or not await deployment.until_ready():
        return 2
    running = [asyncio.create_task(traffic(client, deployment)), asyncio.create_task(platform.watch())]
    await asyncio.sleep(2.0)
    size, answers = LONG_BODY_BYTES if has_trouble else SHORT_BODY_BYTES, []
    for number in range(ROUNDS):
        for edge in deployment.edges:
            names = [f"up-{number}-{edge}-{index}" for index in range(UPLOADS)]
            answers += await asyncio.gather(*(upload(deployment, edge, name, size) for name in names))
            await asyncio.sleep(3.0)
    for task in running:
        task.cancel()
    await asyncio.sleep(0.1)
    record.note(f"peak memory of a proxy in MB: {platform.peak_mb}")
    record.note(f"ends for memory over the limit: {len(platform.ends)}")
    ran = {attempt for backend in backends for _, attempt, _ in backend.runs}
    lost = [attempt for attempt, answer in client.answers.items() if not answer.status and attempt in ran]
    record.note(f"requests of others that had run and got no answer: {len(lost)}")
    record.note(f"uploads answered: {[answer.status for answer in answers]}")
    if not client.answers:
        return 2
    return 1 if len(platform.ends) >= 3 and len({edge for _, edge in platform.ends}) >= 2 else 0


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    main(Path(__file__).resolve().parent / "record.txt", play, has_trouble, cores=3, edges=2)
