"""What a request costs a proxy: processor time and bytes, over kept connections, as a process on loopback.

`python -m benchmarks.request_cost` prints µs of the proxy's processor time for each request. To be read beside the
same of another version, in turns on one machine: figures of one run alone say little.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
from pathlib import Path

from benchmarks.departures import FRONT, PROXY, GatewayProcesses, read_answer, request, running_gateway

CLIENTS, EACH, WARM = 16, 400, 50  # kept connections, requests on each, and before that
TICKS = os.sysconf("SC_CLK_TCK")
ROLE = "proxy"


def processor_s(processes: GatewayProcesses) -> float:
    """s of the proxy's processor time so far."""
    fields = Path(f"/proc/{processes.running[ROLE].pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def ask(client: int, count: int) -> None:
    """So many requests on one connection, one after the other."""
    reader, writer = await asyncio.open_connection(PROXY, FRONT)
    for number in range(count):
        writer.write(request(f"{client}-{number}-{count}", 0))
        assert await read_answer(reader) == 200
    writer.close()


async def main() -> None:
    """Print the cost."""
    with tempfile.TemporaryDirectory() as name:
        async with running_gateway(Path(name)) as processes:
            await asyncio.gather(*(ask(client, WARM) for client in range(CLIENTS)))
            before = processor_s(processes)
            await asyncio.gather(*(ask(client, EACH) for client in range(CLIENTS)))
            spent = processor_s(processes) - before
            print(f"{spent / (CLIENTS * EACH) * 1e6:.0f} µs of processor time a request")


if __name__ == "__main__":
    asyncio.run(main())
