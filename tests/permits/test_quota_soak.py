"""A short seeded run of the quota soak with processes; longer: `python -m benchmarks.quota_soak`."""

from __future__ import annotations

import asyncio
from pathlib import Path

from benchmarks.loopback_deployment import Deployment
from benchmarks.quota_soak import Soak

NETWORK = 39  # second octet of the loopback addresses
PROXY_COUNT = 6
DURATION_S = 20.0
MIN_RUNS = 200  # below this the run shows nothing


def test_no_tenant_exceeds_its_limit_amid_faults_and_changes_of_limits(tmp_path: Path) -> None:
    soak = Soak(Deployment(tmp_path, NETWORK, PROXY_COUNT), 3, DURATION_S)
    worst = asyncio.run(soak.play())
    assert max(worst.values()) <= 1.0, (worst, soak.events)
    assert sum(len(judge.ran) for judge in soak.judges.values()) >= MIN_RUNS
