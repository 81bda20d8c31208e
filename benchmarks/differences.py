"""What a change costs: bytes on the wire, and processor time to tell it, read it and have it in force.

    python -m benchmarks.differences [--changes 20] [--shares 0.03 0.1 0.3 1] [--json]

Configurations of some shares of the size aimed at (10 MB: 19,000 routes, 650 services, 55,000 tenants) are changed
as operators change them, an entry at a time. Each row is one size; times are medians of one process's own processor
time in ms, "slice" is the longest time in one go while a door takes a change in. Whole is what was done before: the
body as it is, read with dacite, checked, and the table built of it. "Tell" is the holder's work for a change, once
for all who ask; "take" is a door's until the body is whole and proved.
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

ROUTES = 19_000  # of the size aimed at
T = TypeVar("T")


def timed(act: Callable[[], T], into: list[float]) -> T:
    """What it gives; ms of processor time are added to the list."""
    gc.collect()
    gc.disable()
    begun = time.process_time()
    made = act()
    into.append((time.process_time() - begun) * 1000)
    gc.enable()
    return made


def sliced(steps: Generator[None, None, T], into: list[float]) -> T:
    """Run it as a door does; the longest slice in ms is added to the list."""
    most = 0.0
    while True:
        begun = time.process_time()
        try:
            while time.process_time() - begun < BUILD_SLICE_S:
                next(steps)
        except StopIteration as end:
            into.append(max(most, (time.process_time() - begun) * 1000))
            made: T = end.value
            return made
        most = max(most, (time.process_time() - begun) * 1000)


def telling(
    version_store: VersionStore, assembler: ChunkAssembler, held: ConfigVersion, version: ConfigVersion
) -> None:
    """A new word at its holder, and the first who asks for it."""
    version_store.add(version)
    version_store.next_chunk(assembler.sync_state(held.version_id), version.version_id)


def taking(
    version_store: VersionStore, assembler: ChunkAssembler, held: ConfigVersion | None, want: ConfigVersion
) -> tuple[int, int]:
    """Bytes and parcels until the word is whole."""
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
    """One size."""
    chance, data = Random("differences"), configuration(round(ROUTES * share))
    versions = [ConfigVersion.of("r1", encoded(data))]
    times: dict[str, list[float]] = {
        name: []
        for name in ("whole read", "whole table", "tell", "take", "read", "table", "slice", "snapshot")
    }
    for number in range(2, changes + 2):
        data = change(data, chance, f"r{number}")
        versions.append(ConfigVersion.of(f"r{number}", encoded(data)))
    timed(
        partial(
            RouteTable, timed(partial(parse_configuration, versions[0].body), times["whole read"]).unwrap()
        ),
        times["whole table"],
    )
    version_store, assembler = VersionStore(), ChunkAssembler(VersionStore(max_older_versions=0))
    version_store.add(versions[0])
    snapshot, pieces = timed(partial(taking, version_store, assembler, None, versions[0]), times["snapshot"])
    before: ParsedConfiguration = run_to_completion(read_incrementally(versions[0].body, None)).unwrap()
    table, bytes_told = run_to_completion(RouteTable.build(before, None)), []
    for held, version in pairwise(versions):
        timed(partial(telling, version_store, assembler, held, version), times["tell"])
        size, chunks = timed(partial(taking, version_store, assembler, held, version), times["take"])
        assert chunks == 1
        bytes_told.append(size)
        after = timed(
            partial(run_to_completion, read_incrementally(version.body, before)), times["read"]
        ).unwrap()
        table = timed(partial(run_to_completion, RouteTable.build(after, table)), times["table"])
        sliced(read_incrementally(version.body, before), times["slice"])
        before = after
    ms = {name: round(statistics.median(values), 2) for name, values in times.items()}
    return {
        "share": share,
        "bytes": len(versions[-1].body),
        "snapshot_bytes": snapshot,
        "pieces": pieces,
        "difference_bytes": round(statistics.median(bytes_told)),
        "most_difference_bytes": max(bytes_told),
        "longest_slice_ms": round(max(times["slice"]), 2),
        "ms": ms,
    }


def encoded(data: dict[str, Any]) -> bytes:
    return json.dumps(data, separators=(",", ":")).encode()


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--shares", type=float, nargs="+", default=[0.03, 0.1, 0.3, 1.0])
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    rows = [measure(share, given.changes) for share in given.shares]
    if given.json:
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
            f"{ms['read']} ms | {ms['table']} ms | {row['longest_slice_ms']} ms |"
        )


if __name__ == "__main__":
    main()
