"""A store, a registry and a proxy as processes on loopback: clients that disconnect, and a SIGTERM under
load.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from benchmarks.departures import (
    SHUTDOWN_GRACE_S,
    DisconnectMode,
    RequestOutcome,
    count_running_after_disconnect,
    running_gateway,
    terminate_under_load,
)


def test_processes_end_work_for_disconnected_clients_and_cut_no_response_at_shutdown(tmp_path: Path) -> None:
    async def main() -> None:
        async with running_gateway(tmp_path) as processes:
            for how in DisconnectMode:
                assert await count_running_after_disconnect(processes, how, work_ms=1200) == 0, how
            result = await terminate_under_load(processes)
            assert (
                result.interrupted_sent_after_s == []
                and result.outcomes[RequestOutcome.INTERRUPTED] == result.outcomes[RequestOutcome.FAILED] == 0
            )
            assert (
                result.outcomes[RequestOutcome.ANSWERED] >= 20
                and result.outcomes[RequestOutcome.REJECTED] >= 1
            )
            assert result.shutdown_s is not None and result.shutdown_s < SHUTDOWN_GRACE_S
            assert "E105" not in processes.log("proxy")
            assert "E407" not in processes.log("proxy")

    asyncio.run(main())
