"""A short seeded run of the process soak; longer: `python -m benchmarks.process_soak --seeds 0 50`."""

from __future__ import annotations

import asyncio
from pathlib import Path

from benchmarks.process_soak.__main__ import Plan, play

SEED = 0
MIN_STARTS, MIN_REQUESTS = 15, 300  # below this the run shows nothing


# Guards against Fault: processes that end by themselves, with another code, late, or over their memory.
def test_no_process_ends_that_was_not_told_to(tmp_path: Path) -> None:
    lives = asyncio.run(play(SEED, Plan(cores=3, proxies=2, seconds=20.0, network=43), tmp_path))
    assert not lives.violations, "\n".join(map(str, lives.violations))
    assert lives.counts["starts"] >= MIN_STARTS
    assert lives.counts["sent"] >= MIN_REQUESTS
