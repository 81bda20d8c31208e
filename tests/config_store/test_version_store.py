"""Transfer of versions as deltas and snapshots: complete or not at all, and never blocked by faulty
chunks.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable
from random import Random
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings, strategies

from irisdeal.config_store.configuration.delta import (
    MAX_DELTA_BYTES,
    DeltaError,
    apply_delta,
    decompress,
    encode_delta,
)
from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.storage import chunk_assembler, chunk_cache, chunks
from irisdeal.config_store.storage import version_store as version_store_module
from irisdeal.config_store.storage.chunk_assembler import MAX_REJECTED_CHUNKS, ChunkAssembler
from irisdeal.config_store.storage.chunk_cache import CacheKey
from irisdeal.config_store.storage.chunks import CHUNK_BYTES, MAX_BODY_BYTES, SyncState
from irisdeal.config_store.storage.version_store import (
    MAX_OLDER_VERSIONS,
    MAX_UNPACKED_VERSIONS,
    VersionStore,
)
from tests.support.configurations import change, configuration

COMPACT = {"separators": (",", ":")}


def next_chunk(
    version_store: VersionStore, sync_state: SyncState, wanted: VersionId, by_snapshot: bool = False
) -> list[Any]:
    """Return the next chunk in wire format."""
    chunk = version_store.next_chunk(sync_state, wanted, by_snapshot)
    assert chunk is not None
    return chunk.encode()


def version(data: dict[str, Any], **json_options: Any) -> ConfigVersion:
    return ConfigVersion.of(data["generation"], json.dumps(data, **(json_options or COMPACT)).encode())


def random_version(number: int, length: int) -> ConfigVersion:
    """Return a version with an incompressible body."""
    return ConfigVersion.of(f"r{number}", Random(number).randbytes(length))


def versions(count: int, routes: int = 60) -> list[ConfigVersion]:
    rng, data = Random(5), configuration(routes)
    history = [version(data)]
    for number in range(2, count + 1):
        data = change(data, rng, f"r{number}")
        history.append(version(data))
    return history


def store_with(*history: ConfigVersion) -> VersionStore:
    version_store = VersionStore()
    for current in history:
        version_store.add(current)
    return version_store


def transfer(
    version_store: VersionStore,
    assembler: ChunkAssembler,
    current: ConfigVersion | None,
    wanted: ConfigVersion,
    tamper: Callable[[list[Any]], list[list[Any]]] = lambda chunk: [chunk],
    max_chunks: int = 400,
) -> tuple[ConfigVersion, int]:
    """Return the version and the total size of its chunks; `tamper` returns what arrives for each sent
    chunk.
    """
    size = 0
    for _ in range(max_chunks):
        chunk = next_chunk(
            version_store,
            assembler.sync_state(current.version_id if current else NO_VERSION),
            wanted.version_id,
        )
        assert chunk is not None
        size += len(cbor2.dumps(chunk))
        for arrived in tamper(chunk):
            received = assembler.add_chunk(arrived)
            if received is not None:
                assert received.is_intact()
                if received == wanted:
                    return received, size
                current = received
    raise AssertionError("the transfer did not complete")


# Deltas


@settings(max_examples=60, deadline=None)
@given(strategies.integers(0, 2**32), strategies.integers(1, 12), strategies.booleans())
def test_a_delta_results_in_the_wanted_body(seed: int, changes: int, indented: bool) -> None:
    rng, data = Random(seed), configuration(40)
    json_options: dict[str, Any] = {"indent": 1} if indented else COMPACT
    base = json.dumps(data, **json_options).encode()
    for _ in range(changes):
        data = change(data, rng, f"r{rng.randrange(2, 99)}")
    wanted = json.dumps(data, **json_options).encode()
    packed = encode_delta(base, wanted)
    assert apply_delta(base, packed, len(wanted)) == wanted
    assert len(packed) < 200 + 200 * changes < len(wanted)


@given(strategies.binary(max_size=300), strategies.binary(max_size=300))
def test_any_bytes_have_a_delta(base: bytes, wanted: bytes) -> None:
    assert apply_delta(base, encode_delta(base, wanted), len(wanted)) == wanted


def test_a_delta_that_is_too_long_is_an_error() -> None:
    with pytest.raises(DeltaError, match="new"):
        encode_delta(b"", random_version(1, MAX_DELTA_BYTES // 2 + 1).body)


@pytest.mark.parametrize(
    "steps",
    [
        [[0, 11]],
        [[-1, 3]],
        [[5, 0]],
        [[0, 10]] * 3,
        [[0]],
        7,
        ["ab"],
        [[0, 10], b"x" * 11],
        [[0, 9]],
        [[0.5, 2]],
        None,
    ],
)
def test_a_malformed_delta_is_rejected(steps: Any) -> None:
    with pytest.raises(DeltaError):
        apply_delta(b"0123456789", zlib.compress(cbor2.dumps(steps)), 20)


def test_a_decompression_bomb_is_rejected() -> None:
    bomb = zlib.compress(b"\0" * (MAX_BODY_BYTES * 4), 9)
    with pytest.raises(DeltaError, match="over"):
        decompress(bomb, CHUNK_BYTES)
    with pytest.raises(DeltaError):
        apply_delta(b"", bomb, MAX_BODY_BYTES)
    with pytest.raises(DeltaError, match="truncated"):
        decompress(zlib.compress(b"abc")[:-1], 10)


# Store


def test_older_versions_are_stored_as_deltas_and_unpack_completely() -> None:
    history = versions(MAX_OLDER_VERSIONS + 6)
    version_store = store_with(*history)
    for current in history[-MAX_OLDER_VERSIONS - 1 :]:
        assert version_store.get(current.version_id.digest) == current
    assert version_store.get(history[0].version_id.digest) is None
    assert (
        len(version_store.older) == MAX_OLDER_VERSIONS
        and len(version_store.unpacked) <= MAX_UNPACKED_VERSIONS
    )
    assert sum(len(packed) for _, packed, _ in version_store.older) < len(history[0].body)


def test_dissimilar_versions_are_stored_within_bounds() -> None:
    history = [random_version(number, 3 << 20) for number in range(1, 6)]
    version_store = store_with(*history)
    packed = sum(len(packed) for _, packed, _ in version_store.older)
    unpacked = sum(len(version.body) for version in version_store.unpacked.values())
    assert packed + unpacked <= version_store_module.MAX_OLDER_BYTES + MAX_UNPACKED_VERSIONS * (3 << 20)
    assert version_store.get(history[-1].version_id.digest) == history[-1]


def test_a_version_added_again_is_the_newest() -> None:
    one, two, three = versions(3)
    version_store = store_with(one, two, three, one)
    assert version_store.newest == one
    assert (
        version_store.get(two.version_id.digest) == two
        and version_store.get(three.version_id.digest) == three
    )


def test_a_delta_is_packed_once_for_all_receivers(monkeypatch: pytest.MonkeyPatch) -> None:
    calls = []

    def counting(base: bytes, wanted: bytes) -> bytes:
        calls.append(1)
        return encode_delta(base, wanted)

    one, two = versions(2)
    version_store = store_with(one, two)
    monkeypatch.setattr(version_store_module, "encode_delta", counting)
    for _ in range(85):
        assert next_chunk(version_store, SyncState(one.version_id), two.version_id) is not None
    assert len(calls) == 1


def test_cached_chunks_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(chunk_cache, "MAX_CACHE_BYTES", 1 << 20)
    body = random_version(1, 3 << 20)
    version_store = store_with(body)
    for offset in range(0, len(body.body), CHUNK_BYTES):
        assert (
            next_chunk(version_store, SyncState(NO_VERSION, body.version_id, offset), body.version_id)
            is not None
        )
        assert version_store.cache.total_bytes <= 1 << 20
    assert version_store.cache.total_bytes == sum(
        len(packed) + len(digest) + len(base)
        for (digest, base, _), packed in version_store.cache.entries.items()
    )


# Transfer


def test_a_receiver_with_one_of_the_last_versions_gets_a_delta() -> None:
    history = versions(MAX_OLDER_VERSIONS)
    version_store = store_with(*history)
    for current in history[:-1]:
        assembler = ChunkAssembler(store_with(current))
        _, size = transfer(version_store, assembler, current, history[-1], max_chunks=1)
        assert size < len(history[-1].body) // 6


def test_a_snapshot_has_bounded_chunks_and_continues_from_another_source() -> None:
    body = random_version(4, 5 * CHUNK_BYTES + 7)
    assembler, sources = ChunkAssembler(VersionStore()), [store_with(body), store_with(body)]
    for turn in range(6):
        chunk = next_chunk(sources[turn % 2], assembler.sync_state(NO_VERSION), body.version_id)
        assert chunk is not None and len(cbor2.dumps(chunk)) < CHUNK_BYTES + 400
        assert assembler.sync_state(NO_VERSION).offset == turn * CHUNK_BYTES
        received = assembler.add_chunk(chunk)
    assert received == body


def test_a_long_delta_is_split_into_chunks() -> None:
    one = random_version(1, 800_000)
    two = ConfigVersion.of("r2", one.body[:400_000] + Random(9).randbytes(120_000) + one.body[400_000:])
    assembler = ChunkAssembler(store_with(one))
    _, size = transfer(store_with(one, two), assembler, one, two, max_chunks=3)
    assert size < 125_000


def test_a_transfer_continues_while_versions_change(monkeypatch: pytest.MonkeyPatch) -> None:
    """A receiver without any version gets one chunk at a time; at each request there is a newer version."""
    monkeypatch.setattr(version_store_module, "CHUNK_BYTES", 12 << 10)
    history = versions(60, routes=400)
    started_at_number = len(history[0].body) // (12 << 10) + 1
    assert started_at_number > 6
    version_store, assembler, current, size = VersionStore(), ChunkAssembler(VersionStore()), NO_VERSION, 0
    for number, newest in enumerate(history):
        version_store.add(newest)
        chunk = next_chunk(version_store, assembler.sync_state(current), newest.version_id)
        assert chunk is not None
        size += len(cbor2.dumps(chunk))
        received = assembler.add_chunk(chunk)
        if received is not None:
            current = received.version_id
        if number >= started_at_number + 1:
            assert current == newest.version_id
    assert size < len(history[-1].body)


def test_receivers_that_start_while_versions_change_share_one_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each change adds a receiver; each gets one chunk at a time. All complete soon, from one shared
    snapshot.
    """
    monkeypatch.setattr(version_store_module, "CHUNK_BYTES", 12 << 10)
    history = versions(50, routes=400)
    chunk_count = -(-len(history[0].body) // (12 << 10))
    version_store, receivers = VersionStore(), list[tuple[ChunkAssembler, int]]()
    current: dict[int, ConfigVersion] = {}
    snapshots = set()
    for number, newest in enumerate(history):
        version_store.add(newest)
        if number < 20:
            receivers.append((ChunkAssembler(VersionStore(max_older_versions=0)), number))
        for assembler, started_at_number in receivers:
            version_id = current[started_at_number].version_id if started_at_number in current else NO_VERSION
            if version_id != newest.version_id:
                chunk = next_chunk(
                    version_store, assembler.sync_state(version_id), newest.version_id, by_snapshot=True
                )
                snapshots |= {chunk[1]} if not chunk[3] else set()
                received = assembler.add_chunk(chunk)
                current.update({started_at_number: received} if received else {})
            if number > started_at_number + chunk_count:
                assert current[started_at_number] == newest
    assert snapshots == {history[0].version_id.digest}


def test_an_outdated_shared_snapshot_is_replaced_and_transfers_of_it_complete() -> None:
    one, two = random_version(1, 3 * CHUNK_BYTES), random_version(2, 3 * CHUNK_BYTES)
    version_store, early, late = (
        store_with(one),
        ChunkAssembler(VersionStore()),
        ChunkAssembler(VersionStore()),
    )
    early.add_chunk(next_chunk(version_store, early.sync_state(NO_VERSION), one.version_id, by_snapshot=True))
    version_store.add(two)
    chunk = next_chunk(version_store, late.sync_state(NO_VERSION), two.version_id, by_snapshot=True)
    assert chunk[1] == two.version_id.digest
    chunk = next_chunk(version_store, early.sync_state(NO_VERSION), two.version_id, by_snapshot=True)
    assert chunk[1] == one.version_id.digest and chunk[5] == CHUNK_BYTES
    assert len(version_store.unpacked) <= MAX_UNPACKED_VERSIONS


def test_a_store_without_receivers_keeps_only_the_newest_version() -> None:
    one, two = versions(2)
    assembler, version_store = ChunkAssembler(VersionStore(max_older_versions=0)), store_with(one, two)
    assembler.version_store.add(one)
    assert transfer(version_store, assembler, one, two, max_chunks=1)[0] == two
    assert assembler.version_store.get(one.version_id.digest) is None and not assembler.version_store.unpacked


def test_a_receiver_that_is_behind_gets_only_the_newest_version() -> None:
    history = versions(12)
    version_store, assembler = store_with(*history), ChunkAssembler(store_with(history[0]))
    received = assembler.add_chunk(
        next_chunk(version_store, assembler.sync_state(history[0].version_id), history[-1].version_id)
    )
    assert received == history[-1]


@settings(max_examples=60, deadline=None)
@given(strategies.integers(0, 2**32), strategies.booleans())
def test_torn_duplicate_reordered_and_spliced_chunks_never_result_in_another_version(
    seed: int, known: bool
) -> None:
    """Only the announced version is ever assembled, and it is assembled after the last fault."""
    rng = Random(seed)
    one, two, three = (
        random_version(1, 3 * CHUNK_BYTES + 5),
        random_version(2, 3 * CHUNK_BYTES + 5),
        random_version(3, 2 * CHUNK_BYTES),
    )
    three = ConfigVersion.of(
        "r3", two.body[: 2 * CHUNK_BYTES] + three.body[:9000] + two.body[2 * CHUNK_BYTES :]
    )
    version_store, faults_left = store_with(one, two, three), [20]
    previous_chunk: list[list[Any]] = [[]]

    def tamper(chunk: list[Any]) -> list[list[Any]]:
        before, previous_chunk[0] = previous_chunk[0], chunk
        if faults_left[0] == 0:
            return [chunk]
        faults_left[0] -= 1
        torn = [*chunk[:7], chunk[7][: rng.randrange(len(chunk[7]))]]
        field = rng.randrange(6)
        wrong = list(chunk)
        wrong[field] = (
            two.version_id.digest if field in (1, 3) else wrong[field] + rng.choice([-1, 1, CHUNK_BYTES])
        )
        other = next_chunk(
            version_store,
            SyncState(NO_VERSION, one.version_id, CHUNK_BYTES * rng.randrange(3)),
            one.version_id,
        )
        spliced = [*chunk[:7], other[7]]
        return rng.choice(
            [
                [],
                [chunk],
                [chunk, chunk],
                [torn],
                [wrong],
                [before, chunk],
                [spliced, chunk],
                [other, chunk],
                [[], chunk],
                [chunk, other, before],
            ]
        )

    current = two if known else None
    assembler = ChunkAssembler(store_with(*([two] if known else [])))
    transfer(version_store, assembler, current, three, tamper, max_chunks=60)


@pytest.mark.parametrize(
    "malformed",
    [
        [],
        [1],
        None,
        7,
        [1, b"d", 5, b"", 5, 0, 0, b"x"],
        ["1", "d", "5", "", "5", "0", "0", "x"],
        [1, b"d", 2.0, b"", 2.0, 0, 0, b"x"],
        [1, [1], 5, b"", 5, 0, 0, b"x"],
    ],
)
def test_a_malformed_chunk_changes_nothing(malformed: Any) -> None:
    body = random_version(1, 2 * CHUNK_BYTES)
    version_store, assembler = store_with(body), ChunkAssembler(VersionStore())
    assembler.add_chunk(next_chunk(version_store, assembler.sync_state(NO_VERSION), body.version_id))
    assert assembler.add_chunk(malformed) is None and assembler.sync_state(NO_VERSION).offset == CHUNK_BYTES


def encoded_chunk(
    number: int,
    digest: bytes,
    length: int,
    base: bytes,
    size: int,
    offset: int,
    data: bytes,
) -> list[Any]:
    """Return an encoded chunk with a valid checksum for any fields."""
    check = chunks.checksum(VersionId(number, digest), length, base, size, offset, data)
    return [number, digest, length, base, size, offset, check, data]


@pytest.mark.parametrize(
    "chunk",
    [
        encoded_chunk(9, b"d" * 32, MAX_BODY_BYTES + 1, b"", MAX_BODY_BYTES + 1, 0, b"x"),
        encoded_chunk(
            9,
            b"d" * 32,
            CHUNK_BYTES,
            b"",
            CHUNK_BYTES,
            0,
            zlib.compress(b"\0" * MAX_BODY_BYTES),
        ),
        encoded_chunk(9, b"d" * 32, 10, b"", 10, 0, zlib.compress(b"")),
        encoded_chunk(9, b"d" * 32, 10, b"", 11, 0, zlib.compress(b"0123456789a")),
        encoded_chunk(9, b"d" * 32, 10, b"", 10, -1, zlib.compress(b"0123456789")),
        encoded_chunk(9, b"d" * 32, 10, b"none", 3, 0, b"abc"),
    ],
)
def test_announced_lengths_are_bounded_and_checked(chunk: list[Any]) -> None:
    body = random_version(1, 3 * CHUNK_BYTES)
    version_store, assembler = store_with(body), ChunkAssembler(VersionStore())
    for _ in range(2 * MAX_REJECTED_CHUNKS):
        assert assembler.add_chunk(chunk) is None
        assert len(assembler.transfer.data) <= CHUNK_BYTES
    assert transfer(version_store, assembler, None, body)[0] == body


def test_a_wrong_version_of_the_announced_length_is_transferred_again() -> None:
    """One source sends another body under the same id; the next request gets a snapshot from a correct
    source.
    """
    one, two = versions(2)
    version_store, assembler = store_with(one, two), ChunkAssembler(store_with(one))
    wrong_delta = encode_delta(one.body, one.body + b" " * (len(two.body) - len(one.body)))
    length = max(len(one.body), len(two.body))
    chunk = encoded_chunk(
        2, two.version_id.digest, length, one.version_id.digest, len(wrong_delta), 0, wrong_delta
    )
    assert assembler.add_chunk(chunk) is None
    assert assembler.sync_state(one.version_id) == SyncState()
    assert transfer(version_store, assembler, one, two)[0] == two


def test_a_delta_that_is_always_wrong_is_replaced_by_the_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The delta between two versions is wrong at the source, at each request."""
    one, two, three = versions(3)
    version_store = store_with(one)
    next_chunk(version_store, SyncState(), one.version_id, by_snapshot=True)
    version_store.add(two)
    version_store.add(three)
    wrong = encode_delta(b"", bytes(len(three.body)))
    version_store.cache.add(CacheKey.of_delta(three.version_id.digest, two.version_id.digest), wrong)
    assembler = ChunkAssembler(store_with(two))
    bases = []
    for _ in range(4):
        sync_state = assembler.sync_state(two.version_id)
        bases.append(sync_state.version_id)
        if (
            assembler.add_chunk(next_chunk(version_store, sync_state, three.version_id, by_snapshot=True))
            == three
        ):
            break
    assert bases == [two.version_id, NO_VERSION, one.version_id] and assembler.version_store.newest == three
    assert assembler.sync_state(three.version_id) == SyncState(three.version_id)


def test_a_delta_without_its_base_is_rejected_and_a_snapshot_follows() -> None:
    one, two = versions(2)
    # The receiver reports version one, whose body it no longer has.
    version_store, assembler = store_with(one, two), ChunkAssembler(VersionStore())
    assert transfer(version_store, assembler, one, two, max_chunks=2)[0] == two


def test_a_version_from_two_sources_is_assembled_once(monkeypatch: pytest.MonkeyPatch) -> None:
    one, two = versions(2)
    version_store, assembler = store_with(one, two), ChunkAssembler(store_with(one))
    chunk = next_chunk(version_store, assembler.sync_state(one.version_id), two.version_id)
    assert assembler.add_chunk(chunk) == two
    monkeypatch.setattr(chunk_assembler, "apply_delta", None)
    assert assembler.add_chunk(chunk) == two


def test_a_transfer_switches_to_another_source_only_after_the_first_stops() -> None:
    one, two = random_version(1, 4 * CHUNK_BYTES), random_version(2, 4 * CHUNK_BYTES)
    first, second, assembler = store_with(one), store_with(two), ChunkAssembler(VersionStore())
    assembler.add_chunk(next_chunk(first, assembler.sync_state(NO_VERSION), one.version_id))
    assembler.add_chunk(next_chunk(second, assembler.sync_state(NO_VERSION), two.version_id))
    assert assembler.sync_state(NO_VERSION).arriving == one.version_id
    assert transfer(second, assembler, None, two, max_chunks=4 + MAX_REJECTED_CHUNKS)[0] == two


def test_a_source_that_announced_a_wrong_length_does_not_block_the_version() -> None:
    body = random_version(1, 4 * CHUNK_BYTES)
    source, assembler = store_with(body), ChunkAssembler(VersionStore())
    data = zlib.compress(body.body[:CHUNK_BYTES])
    assembler.add_chunk(
        encoded_chunk(1, body.version_id.digest, 9 * CHUNK_BYTES, b"", 9 * CHUNK_BYTES, 0, data)
    )
    assert assembler.sync_state(NO_VERSION).offset == CHUNK_BYTES
    assert transfer(source, assembler, None, body, max_chunks=5 + MAX_REJECTED_CHUNKS)[0] == body


def test_a_long_delta_without_its_base_is_rejected_at_its_first_chunk() -> None:
    assembler = ChunkAssembler(VersionStore())
    assert assembler.add_chunk(encoded_chunk(9, b"d" * 32, 10, b"none", 3, 0, b"a")) is None
    assert not assembler.transfer.data
    assert assembler.sync_state(NO_VERSION) == SyncState()


def test_the_next_chunk_of_another_version_changes_nothing() -> None:
    one, two = random_version(1, 3 * CHUNK_BYTES), random_version(2, 3 * CHUNK_BYTES)
    version_store, assembler = store_with(one, two), ChunkAssembler(VersionStore())
    assembler.add_chunk(next_chunk(version_store, assembler.sync_state(NO_VERSION), two.version_id))
    assembler.add_chunk(
        next_chunk(version_store, SyncState(NO_VERSION, one.version_id, CHUNK_BYTES), one.version_id)
    )
    assert assembler.sync_state(NO_VERSION) == SyncState(NO_VERSION, two.version_id, CHUNK_BYTES)
    assert transfer(version_store, assembler, None, two, max_chunks=2)[0] == two


# Planted faults, each of which must be detected


def test_a_delta_against_the_wrong_base_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """A source builds the delta against the previous version instead of that of the receiver."""
    history = versions(4)
    version_store = store_with(*history)
    original = VersionStore.get

    def wrong(self: VersionStore, digest: bytes) -> ConfigVersion | None:
        return original(
            self, history[2].version_id.digest if digest == history[0].version_id.digest else digest
        )

    monkeypatch.setattr(VersionStore, "get", wrong)
    chunk = next_chunk(version_store, SyncState(history[0].version_id), history[3].version_id)
    monkeypatch.undo()
    assert chunk[3] == history[0].version_id.digest
    assembler = ChunkAssembler(store_with(history[0]))
    assert assembler.add_chunk(chunk) is None and assembler.sync_state(history[0].version_id) == SyncState()
    assert transfer(version_store, assembler, history[0], history[3], max_chunks=1)[0] == history[3]


def test_a_spliced_chunk_of_another_version_is_detected() -> None:
    """Its header and checksum are valid, so only the digest of the body reveals it."""
    one, two = random_version(1, 2 * CHUNK_BYTES), random_version(2, 2 * CHUNK_BYTES)
    version_store, assembler = store_with(one, two), ChunkAssembler(VersionStore())
    assembler.add_chunk(next_chunk(version_store, assembler.sync_state(NO_VERSION), two.version_id))
    other = next_chunk(version_store, SyncState(NO_VERSION, one.version_id, CHUNK_BYTES), one.version_id)
    assert (
        assembler.add_chunk(
            encoded_chunk(
                2,
                two.version_id.digest,
                2 * CHUNK_BYTES,
                b"",
                2 * CHUNK_BYTES,
                CHUNK_BYTES,
                other[7],
            )
        )
        is None
    )
    assert assembler.sync_state(NO_VERSION) == SyncState()
    assert transfer(version_store, assembler, None, two)[0] == two


def test_a_duplicate_chunk_is_detected() -> None:
    body = random_version(1, 3 * CHUNK_BYTES)
    version_store, assembler = store_with(body), ChunkAssembler(VersionStore())
    chunk = next_chunk(version_store, assembler.sync_state(NO_VERSION), body.version_id)
    for _ in range(3):
        assert assembler.add_chunk(chunk) is None
    assert assembler.sync_state(NO_VERSION).offset == CHUNK_BYTES
    assert transfer(version_store, assembler, None, body, max_chunks=2)[0] == body
