"""A store, a registry and a proxy as processes on loopback: clients that disconnect, and a SIGTERM under
load.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from benchmarks.departures import GRACE_S, End, Leaving, departures, gateway, terminated


def test_processes_end_work_for_disconnected_clients_and_cut_no_response_at_shutdown(tmp_path: Path) -> None:
    async def main() -> None:
        async with gateway(tmp_path) as processes:
            for how in Leaving:
                assert await departures(processes, how, work_ms=1200) == 0, how
            result = await terminated(processes)
            assert result.cut_after_s == [] and result.ends[End.CUT] == result.ends[End.FAILED] == 0
            assert result.ends[End.ANSWERED] >= 20 and result.ends[End.PROMISED] >= 1
            assert result.ended_s is not None and result.ended_s < GRACE_S
            assert "E105" not in processes.log("proxy")
            assert "E407" not in processes.log("proxy")

    asyncio.run(main())
