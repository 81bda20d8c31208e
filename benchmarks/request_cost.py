"""The CPU time of one request at a proxy, over persistent connections, with the gateway as processes on loopback.

`python -m benchmarks.request_cost` prints the µs of the proxy's CPU time for each request. Compare it with another
version measured alternately on the same machine: the figure of a single run says little.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
from pathlib import Path

from benchmarks.departures import (
    FRONT_PORT,
    PROXY_IP,
    GatewayProcesses,
    build_request,
    read_response_status,
    running_gateway,
)

CLIENT_COUNT = 16  # each with one persistent connection
REQUESTS_PER_CLIENT = 400
WARMUP_REQUESTS_PER_CLIENT = 50  # not measured
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ROLE = "proxy"


def cpu_time_s(processes: GatewayProcesses) -> float:
    """The proxy's CPU time so far, in s."""
    fields = Path(f"/proc/{processes.running[ROLE].pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def send_requests(client: int, count: int) -> None:
    """Send `count` requests one after the other on one connection."""
    reader, writer = await asyncio.open_connection(PROXY_IP, FRONT_PORT)
    for number in range(count):
        writer.write(build_request(f"{client}-{number}-{count}", 0))
        assert await read_response_status(reader) == 200
    writer.close()


async def main() -> None:
    """Measure and print the CPU time of a request."""
    with tempfile.TemporaryDirectory() as name:
        async with running_gateway(Path(name)) as processes:
            await asyncio.gather(
                *(send_requests(client, WARMUP_REQUESTS_PER_CLIENT) for client in range(CLIENT_COUNT))
            )
            cpu_before_s = cpu_time_s(processes)
            await asyncio.gather(
                *(send_requests(client, REQUESTS_PER_CLIENT) for client in range(CLIENT_COUNT))
            )
            cpu_spent_s = cpu_time_s(processes) - cpu_before_s
            print(
                f"{cpu_spent_s / (CLIENT_COUNT * REQUESTS_PER_CLIENT) * 1e6:.0f} µs of CPU time per request"
            )


if __name__ == "__main__":
    asyncio.run(main())
