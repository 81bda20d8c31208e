"""Cost of a configuration change: bytes on the wire, and CPU time to send it, parse it and put it in force.

    python -m benchmarks.differences [--changes 20] [--shares 0.03 0.1 0.3 1] [--json]

Configurations of several fractions of the target size (10 MB: 19,000 routes, 650 services, 55,000 tenants) are
changed as operators change them, one entry at a time. Each row is one size; times are medians of the CPU time of
one process in ms, and "slice" is the longest uninterrupted time while a proxy applies a change. "Whole" is the cost
without differences: the complete body is parsed with dacite and validated, and the route table is built from it.
"Tell" is the sender's work for a change, done once for all receivers; "take" is a receiver's work until the body is
complete and verified.
"""

from __future__ import annotations

import argparse
import gc
import json
import statistics
import time
from collections.abc import Callable, Generator
from functools import partial
from itertools import pairwise
from random import Random
from typing import Any, TypeVar

import cbor2

from irisdeal.config_store.configuration.incremental_reading import read_incrementally
from irisdeal.config_store.configuration.outline import ParsedConfiguration
from irisdeal.config_store.configuration.parsing import parse_configuration
from irisdeal.config_store.configuration.stepwise import run_to_completion
from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion
from irisdeal.config_store.storage.chunk_assembler import ChunkAssembler
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.proxy.config_applier import BUILD_SLICE_S
from irisdeal.proxy.route_table import RouteTable
from tests.support.configurations import change, configuration

TARGET_ROUTE_COUNT = 19_000  # at a fraction of 1
T = TypeVar("T")


def measure_cpu(function: Callable[[], T], times_ms: list[float]) -> T:
    """Call the function, append its CPU time in ms to the list, and return its result."""
    gc.collect()
    gc.disable()
    started_at = time.process_time()
    result = function()
    times_ms.append((time.process_time() - started_at) * 1000)
    gc.enable()
    return result


def measure_longest_mslice(steps: Generator[None, None, T], times_ms: list[float]) -> T:
    """Run the steps in slices as a proxy does, and append the longest slice in ms to the list."""
    longest_ms = 0.0
    while True:
        started_at = time.process_time()
        try:
            while time.process_time() - started_at < BUILD_SLICE_S:
                next(steps)
        except StopIteration as end:
            times_ms.append(max(longest_ms, (time.process_time() - started_at) * 1000))
            result: T = end.value
            return result
        longest_ms = max(longest_ms, (time.process_time() - started_at) * 1000)


def announce_version(
    version_store: VersionStore, assembler: ChunkAssembler, held: ConfigVersion, version: ConfigVersion
) -> None:
    """Add a new version at the sender and make its first chunk."""
    version_store.add(version)
    version_store.next_chunk(assembler.sync_state(held.version_id), version.version_id)


def transfer_version(
    version_store: VersionStore, assembler: ChunkAssembler, held: ConfigVersion | None, want: ConfigVersion
) -> tuple[int, int]:
    """Transfer a version; returns the bytes and chunks until it was complete."""
    size = chunks = 0
    while True:
        chunk = version_store.next_chunk(
            assembler.sync_state(held.version_id if held else NO_VERSION), want.version_id
        )
        assert chunk is not None
        encoded = chunk.encode()
        size, chunks = size + len(cbor2.dumps(encoded)), chunks + 1
        if assembler.add_chunk(encoded) is not None:
            return size, chunks


def measure(share: float, changes: int) -> dict[str, Any]:
    """Measure the changes at one size."""
    rng, data = Random("differences"), configuration(round(TARGET_ROUTE_COUNT * share))
    versions = [ConfigVersion.of("r1", encode_json(data))]
    times: dict[str, list[float]] = {
        name: []
        for name in ("whole read", "whole table", "tell", "take", "read", "table", "slice", "snapshot")
    }
    for number in range(2, changes + 2):
        data = change(data, rng, f"r{number}")
        versions.append(ConfigVersion.of(f"r{number}", encode_json(data)))
    measure_cpu(
        partial(
            RouteTable,
            measure_cpu(partial(parse_configuration, versions[0].body), times["whole read"]).unwrap(),
        ),
        times["whole table"],
    )
    version_store, assembler = VersionStore(), ChunkAssembler(VersionStore(max_older_versions=0))
    version_store.add(versions[0])
    snapshot, pieces = measure_cpu(
        partial(transfer_version, version_store, assembler, None, versions[0]), times["snapshot"]
    )
    before: ParsedConfiguration = run_to_completion(read_incrementally(versions[0].body, None)).unwrap()
    table, difference_sizes = run_to_completion(RouteTable.build(before, None)), []
    for held, version in pairwise(versions):
        measure_cpu(partial(announce_version, version_store, assembler, held, version), times["tell"])
        size, chunks = measure_cpu(
            partial(transfer_version, version_store, assembler, held, version), times["take"]
        )
        assert chunks == 1
        difference_sizes.append(size)
        after = measure_cpu(
            partial(run_to_completion, read_incrementally(version.body, before)), times["read"]
        ).unwrap()
        table = measure_cpu(partial(run_to_completion, RouteTable.build(after, table)), times["table"])
        measure_longest_mslice(read_incrementally(version.body, before), times["slice"])
        before = after
    ms = {name: round(statistics.median(values), 2) for name, values in times.items()}
    return {
        "share": share,
        "bytes": len(versions[-1].body),
        "snapshot_bytes": snapshot,
        "pieces": pieces,
        "difference_bytes": round(statistics.median(difference_sizes)),
        "most_difference_bytes": max(difference_sizes),
        "longest_mslice_ms": round(max(times["slice"]), 2),
        "ms": ms,
    }


def encode_json(data: dict[str, Any]) -> bytes:
    return json.dumps(data, separators=(",", ":")).encode()


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--shares", type=float, nargs="+", default=[0.03, 0.1, 0.3, 1.0])
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    rows = [measure(share, args.changes) for share in args.shares]
    if args.json:
        print(json.dumps(rows, indent=1))
        return
    print(
        "| share | body | snapshot, pieces | difference (most) | whole read, table | tell | take | read | table "
        "| longest slice |\n" + "| ---: " * 10 + "|"
    )
    for row in rows:
        ms = row["ms"]
        print(
            f"| {row['share']:g} | {row['bytes'] / 1e6:.2f} MB | {row['snapshot_bytes'] / 1e6:.2f} MB, "
            f"{row['pieces']} | {row['difference_bytes']} B ({row['most_difference_bytes']}) | "
            f"{ms['whole read']:.0f}, {ms['whole table']:.0f} ms | {ms['tell']} ms | {ms['take']} ms | "
            f"{ms['read']} ms | {ms['table']} ms | {row['longest_mslice_ms']} ms |"
        )


if __name__ == "__main__":
    main()
