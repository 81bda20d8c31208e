"""Every process of the core is killed and comes back, while backends leave that deregister first.

Checks CONFIG: more than `apply_ms` after the acknowledgement of a version, machines in touch handle requests
as only an older version allows.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    APPLY_S,
    CONTACT_S,
    DRAIN_S,
    ZONES,
    Backend,
    Client,
    Deployment,
    Operator,
    configuration,
    main,
    route,
)

BACKENDS = {"svc-a": 20, "svc-b": 7}  # 27 as in the small deployments
ROUNDS = 5
LEAVING = 3  # backends of svc-a in a round: 0.11 of all
DOWN_S = 0.8  # "come back within a second"
LEAVE_GAP_S = 0.25  # between the backends that leave
ROUND_S = 9.0  # from one round to the next
WATCHED_S = 8.0  # for which requests are checked


async def traffic(client: Client, deployment: Deployment) -> None:
    """Send a few requests a second to each edge machine, on both routes."""
    async with asyncio.TaskGroup() as group:
        while True:
            for edge in deployment.edges:
                for path in ("/x/1", "/y/1"):
                    group.create_task(client.request(edge, path))
            await asyncio.sleep(0.4)


async def leave(backend: Backend, wait_s: float) -> None:
    """Let a backend leave after this time, and end `drain_ms` and a little longer after the acknowledgement."""
    await asyncio.sleep(wait_s)
    is_acknowledged = await backend.deregister()
    backend.record.note(
        f"{backend.id}: its leaving is {'acknowledged' if is_acknowledged else 'not acknowledged'}"
    )
    await asyncio.sleep(DRAIN_S + 1.0)
    backend.close()
    backend.record.note(f"{backend.id}: ends")


async def restart_core(deployment: Deployment) -> float:
    """Kill all processes of the core at the same moment, and start them again; return when."""
    killed_at = deployment.record.now()
    for ip in deployment.cores:
        for role in ("registry", "config_store"):
            deployment.kill(ip, role)
    await asyncio.sleep(max(0.0, killed_at + DOWN_S - deployment.record.now()))
    for ip in deployment.cores:
        deployment.start_core(ip)
    deployment.record.note(f"the core was away for {deployment.record.now() - killed_at:.2f} s")
    return deployment.record.now()


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Return 1 if CONFIG was broken, 0 if it held, 2 if the case could not run."""
    record, operator, client = deployment.record, Operator(deployment), Client(deployment)
    deployment.start_all()
    backends = [
        Backend(deployment, service, index, ZONES[index % 3])
        for service, count in BACKENDS.items()
        for index in range(count)
    ]
    for backend in backends:
        await backend.start()
    routes = [route("first", "/x/", "svc-a"), route("second", "/y/", "svc-b")]
    if await operator.put(configuration(1, routes)) is None or not await deployment.until_ready():
        return 2
    running = asyncio.create_task(traffic(client, deployment))
    await asyncio.sleep(5.0)

    settled_from, leaving = record.now(), list(backends)
    for _ in range(ROUNDS):
        next_at = record.now() + ROUND_S
        group, leaving = leaving[:LEAVING], leaving[LEAVING:]
        tasks = [
            asyncio.create_task(leave(backend, LEAVE_GAP_S * index)) for index, backend in enumerate(group)
        ]
        if has_trouble:
            settled_from = await restart_core(deployment)
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(0.0, next_at - record.now()))
    await asyncio.sleep(max(0.0, settled_from + 2 * CONTACT_S - record.now()))

    routes = [route("first", "/x/", "svc-b"), route("second", "/y/", "svc-b")]
    applied_at = await operator.put(configuration(2, routes))
    if applied_at is None:
        return 2
    await asyncio.sleep(APPLY_S + WATCHED_S)
    running.cancel()
    await asyncio.sleep(0.1)
    return judge(deployment, client, backends, applied_at)


def judge(deployment: Deployment, client: Client, backends: list[Backend], applied_at: float) -> int:
    """Return 1 if a request that was sent `apply_ms` after the acknowledgement was run by the old service."""
    record = deployment.record
    checked = {attempt for attempt, at in client.sent_at.items() if at > applied_at + APPLY_S}
    old = [
        (attempt, backend.id)
        for backend in backends
        if backend.service == "svc-a"
        for _, attempt, path in backend.runs
        if path.startswith("/x/") and attempt in checked
    ]
    served = [
        attempt for attempt in checked if attempt in client.answers and client.answers[attempt].status == 200
    ]
    record.note(
        f"sent later than apply_ms after the acknowledgement of r2: {len(checked)}, served {len(served)}"
    )
    for edge in deployment.edges:
        of_edge = [attempt for attempt, _ in old if client.edge_of[attempt] == edge]
        record.note(f"of these, run by the old service svc-a for {edge}: {len(of_edge)}")
        for line in deployment.log_text(edge, "proxy").splitlines():
            if line.startswith("E105"):
                record.note(f"log of the proxy on {edge}: {line}")
    record.note(f"ended by themselves: {deployment.ended()}")
    return 2 if not served else 1 if old else 0


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    main(Path(__file__).resolve().parent / "record.txt", play, has_trouble, cores=3, edges=2)
