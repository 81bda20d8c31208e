"""Seeded simulated runs behave as recorded: see `tests/support/run_digests.py`."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import pytest

from tests.support.run_digests import RUNS, SEEDS, digests_of, read_file, workers


@pytest.fixture(scope="module")
def pool() -> Iterator[ProcessPoolExecutor]:
    with workers() as made:
        yield made


def test_every_kind_of_run_has_a_digest_for_each_seed() -> None:
    assert {kind: list(digests) for kind, digests in read_file().items()} == {
        kind: [str(seed) for seed in range(SEEDS)] for kind in RUNS
    }


@pytest.mark.parametrize("kind", RUNS)
def test_digests_of_runs_are_unchanged(kind: str, pool: ProcessPoolExecutor) -> None:
    expected, found = read_file()[kind], digests_of(pool, kind)
    changed = [seed for seed in expected if found[seed] != expected[seed]]
    assert not changed, (
        f"{kind}: {len(changed)} of {len(expected)} digests differ, of seeds {', '.join(changed)}"
    )
