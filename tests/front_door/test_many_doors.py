"""Quotas over a dozen real doors as processes while the count keeper fails, by the boxes' own books."""

import pytest

from benchmarks.many_doors import FAULTS, calm_refusals, overshoot_bound, play_day

# The program before counts by slots refused quiet stores 0.09, 0.13, 0.13 and 0.16 of their tries.
MOST = {"none": 0.05, "split": 0.05, "cut from half": 0.12, "silent": 0.15}


@pytest.mark.parametrize("fault", MOST)
def test_a_dozen_doors_keep_quotas_within_the_stated_bounds_while_the_keeper_fails(fault: str) -> None:
    assert fault in FAULTS
    outcome = play_day(fault)
    assert outcome.kept, (outcome.crashes, outcome.verdict)
    worst = outcome.tenants[0]
    assert worst.overshoot <= overshoot_bound(fault), worst
    calm = calm_refusals(outcome)
    assert calm.asked >= 150
    most = MOST[fault]  # of all plays; one play's share strays by its standard error, 0.02 with 226 tries
    assert calm.fraction <= most + 2 * (most * (1 - most) / calm.asked) ** 0.5, calm
