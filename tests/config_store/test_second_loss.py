"""A loss right after a replacement: the former member no longer counts, so the loss must be tolerated."""

from __future__ import annotations

import pytest

from irisdeal.simulation.cluster.probes import second_loss

SEEDS = 12


@pytest.mark.parametrize("count", [3, 4, 5])
def test_a_disk_is_lost_soon_after_a_member_was_replaced(count: int) -> None:
    probes = {seed: second_loss(seed, count=count) for seed in range(SEEDS)}
    assert not {seed: probe.breaches for seed, probe in probes.items() if probe.breaches}
    without_reads = [seed for seed, probe in probes.items() if not probe.reads]
    assert not without_reads, f"reads no longer succeed: seeds {without_reads}"
