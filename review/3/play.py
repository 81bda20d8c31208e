"""The platform tells processes that have just started that their settings have changed (SIGHUP).

Checks Fault: processes end by themselves three times in the day with no trouble there, on two machines or more.
Without the trouble the same processes are stopped and started in the same way, and get no SIGHUP.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import ZONES, Backend, Client, Deployment, Operator, configuration, main, route

GRACE_S = 6.0  # from SIGTERM to SIGKILL
RESTART_S = 0.3  # "it is started again after a short delay"
HUP_AFTER_S = 0.2  # from the start of a process to its SIGHUP
SETTLE_S = 3.0  # between two machines


async def stop(deployment: Deployment, ip: str, roles: list[str]) -> None:
    """Stop the programs of a machine with SIGTERM, and with SIGKILL after the grace period."""
    for role in roles:
        deployment.signal(ip, role, signal.SIGTERM)
    deadline = deployment.record.now() + GRACE_S
    for role in roles:
        process = deployment.processes[ip, role]
        while process.poll() is None and deployment.record.now() < deadline:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            deployment.kill(ip, role)


async def roll(deployment: Deployment, ip: str, roles: list[str], has_trouble: bool) -> list[str]:
    """Stop and start the programs of a machine; return those that then ended by themselves."""
    await stop(deployment, ip, roles)
    await asyncio.sleep(RESTART_S)
    for role in roles:
        deployment.start(ip, role)
    await asyncio.sleep(HUP_AFTER_S)
    if has_trouble:
        for role in roles:
            deployment.signal(ip, role, signal.SIGHUP)
    await asyncio.sleep(1.0)
    ended = []
    for role in roles:
        code = deployment.processes[ip, role].poll()
        if code is not None:
            deployment.record.note(f"{role} on {ip} has ended by itself with {code}")
            ended.append(f"{role} on {ip}")
            deployment.start(ip, role)
    return ended


async def traffic(client: Client, deployment: Deployment) -> None:
    """Send a few requests a second to each edge machine."""
    async with asyncio.TaskGroup() as group:
        while True:
            for edge in deployment.edges:
                group.create_task(client.request(edge, "/x/1"))
            await asyncio.sleep(0.3)


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Return 1 if processes ended by themselves three times on two machines, 0 if not, 2 without a run."""
    record, client = deployment.record, Client(deployment)
    deployment.start_all()
    backends = [Backend(deployment, "svc-a", index, ZONES[index % 3]) for index in range(6)]
    for backend in backends:
        await backend.start()
    body = configuration(1, [route("first", "/x/", "svc-a")])
    if await Operator(deployment).put(body) is None or not await deployment.until_ready():
        return 2
    running = asyncio.create_task(traffic(client, deployment))
    await asyncio.sleep(2.0)
    ended: dict[str, list[str]] = {}
    for ip in [*deployment.edges, *deployment.cores]:
        roles = ["proxy"] if ip in deployment.edges else ["config_store", "registry"]
        ended[ip] = await roll(deployment, ip, roles, has_trouble)
        await asyncio.sleep(SETTLE_S)
    running.cancel()
    await asyncio.sleep(0.1)
    count, machines = sum(map(len, ended.values())), sum(map(bool, ended.values()))
    record.note(f"processes that ended by themselves: {count} on {machines} machines")
    return 1 if count >= 3 and machines >= 2 else 0


if __name__ == "__main__":
    main(str(Path(__file__).parent), play, cores=3, edges=2)
