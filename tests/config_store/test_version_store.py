"""Bodies told as differences and pieces: whole or nothing, whatever comes, and nothing wedges."""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable
from random import Random
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings, strategies

from irisdeal.config_store.configuration.difference import MOST_TOLD, NoDifference, apply, difference, unpack
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

SPLIT = {"separators": (",", ":")}


def next_chunk(
    version_store: VersionStore, sync_state: SyncState, wanted: VersionId, by_snapshot: bool = False
) -> list[Any]:
    """The next chunk as it stands on the wire."""
    chunk = version_store.next_chunk(sync_state, wanted, by_snapshot)
    assert chunk is not None
    return chunk.encode()


def version(data: dict[str, Any], **spaced: Any) -> ConfigVersion:
    return ConfigVersion.of(data["generation"], json.dumps(data, **(spaced or SPLIT)).encode())


def noise(number: int, length: int) -> ConfigVersion:
    """A body that cannot be packed."""
    return ConfigVersion.of(f"r{number}", Random(number).randbytes(length))


def versions(count: int, routes: int = 60) -> list[ConfigVersion]:
    chance, data = Random(5), configuration(routes)
    words = [version(data)]
    for number in range(2, count + 1):
        data = change(data, chance, f"r{number}")
        words.append(version(data))
    return words


def holding(*words: ConfigVersion) -> VersionStore:
    version_store = VersionStore()
    for held in words:
        version_store.add(held)
    return version_store


def carry(
    version_store: VersionStore,
    assembler: ChunkAssembler,
    held: ConfigVersion | None,
    want: ConfigVersion,
    twist: Callable[[list[Any]], list[list[Any]]] = lambda chunk: [chunk],
    most: int = 400,
) -> tuple[ConfigVersion, int]:
    """The word, and the bytes of all parcels; `twist` is what the way makes of each."""
    size = 0
    for _ in range(most):
        chunk = next_chunk(
            version_store, assembler.sync_state(held.version_id if held else NO_VERSION), want.version_id
        )
        assert chunk is not None
        size += len(cbor2.dumps(chunk))
        for came in twist(chunk):
            got = assembler.take(came)
            if got is not None:
                assert got.is_whole()
                if got == want:
                    return got, size
                held = got
    raise AssertionError("never whole")


# Differences


@settings(max_examples=60, deadline=None)
@given(strategies.integers(0, 2**32), strategies.integers(1, 12), strategies.booleans())
def test_a_difference_makes_the_wanted_body(seed: int, changes: int, indented: bool) -> None:
    chance, data = Random(seed), configuration(40)
    spaced: dict[str, Any] = {"indent": 1} if indented else SPLIT
    base = json.dumps(data, **spaced).encode()
    for _ in range(changes):
        data = change(data, chance, f"r{chance.randrange(2, 99)}")
    wanted = json.dumps(data, **spaced).encode()
    packed = difference(base, wanted)
    assert apply(base, packed, len(wanted)) == wanted
    assert len(packed) < 200 + 200 * changes < len(wanted)


@given(strategies.binary(max_size=300), strategies.binary(max_size=300))
def test_any_bytes_have_a_difference(base: bytes, wanted: bytes) -> None:
    assert apply(base, difference(base, wanted), len(wanted)) == wanted


def test_a_difference_that_is_too_long_is_none() -> None:
    with pytest.raises(NoDifference, match="new"):
        difference(b"", noise(1, MOST_TOLD // 2 + 1).body)


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
def test_a_strange_difference_is_refused(steps: Any) -> None:
    with pytest.raises(NoDifference):
        apply(b"0123456789", zlib.compress(cbor2.dumps(steps)), 20)


def test_what_unfolds_to_too_much_is_refused_before_it_does() -> None:
    bomb = zlib.compress(b"\0" * (MAX_BODY_BYTES * 4), 9)
    with pytest.raises(NoDifference, match="over"):
        unpack(bomb, CHUNK_BYTES)
    with pytest.raises(NoDifference):
        apply(b"", bomb, MAX_BODY_BYTES)
    with pytest.raises(NoDifference, match="torn"):
        unpack(zlib.compress(b"abc")[:-1], 10)


# Shelf


def test_the_last_words_are_kept_small_and_come_out_whole() -> None:
    words = versions(MAX_OLDER_VERSIONS + 6)
    version_store = holding(*words)
    for held in words[-MAX_OLDER_VERSIONS - 1 :]:
        assert version_store.get(held.version_id.digest) == held
    assert version_store.get(words[0].version_id.digest) is None
    assert (
        len(version_store.older) == MAX_OLDER_VERSIONS
        and len(version_store.unpacked) <= MAX_UNPACKED_VERSIONS
    )
    assert sum(len(packed) for _, packed, _ in version_store.older) < len(words[0].body)


def test_words_without_likeness_are_kept_within_bounds() -> None:
    words = [noise(number, 3 << 20) for number in range(1, 6)]
    version_store = holding(*words)
    packed = sum(len(packed) for _, packed, _ in version_store.older)
    whole = sum(len(version.body) for version in version_store.unpacked.values())
    assert packed + whole <= version_store_module.MAX_OLDER_BYTES + MAX_UNPACKED_VERSIONS * (3 << 20)
    assert version_store.get(words[-1].version_id.digest) == words[-1]


def test_a_word_held_again_is_the_newest() -> None:
    one, two, three = versions(3)
    version_store = holding(one, two, three, one)
    assert version_store.newest == one
    assert (
        version_store.get(two.version_id.digest) == two
        and version_store.get(three.version_id.digest) == three
    )


def test_packed_is_once_for_all_askers(monkeypatch: pytest.MonkeyPatch) -> None:
    counted = []

    def counting(base: bytes, wanted: bytes) -> bytes:
        counted.append(1)
        return difference(base, wanted)

    one, two = versions(2)
    version_store = holding(one, two)
    monkeypatch.setattr(version_store_module, "difference", counting)
    for _ in range(85):
        assert next_chunk(version_store, SyncState(one.version_id), two.version_id) is not None
    assert len(counted) == 1


def test_packed_parcels_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(chunk_cache, "MAX_CACHE_BYTES", 1 << 20)
    body = noise(1, 3 << 20)
    version_store = holding(body)
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


# The way


def test_a_caller_with_one_of_the_last_words_gets_the_difference() -> None:
    words = versions(MAX_OLDER_VERSIONS)
    version_store = holding(*words)
    for held in words[:-1]:
        assembler = ChunkAssembler(holding(held))
        _, size = carry(version_store, assembler, held, words[-1], most=1)
        assert size < len(words[-1].body) // 6


def test_the_whole_comes_in_bounded_pieces_and_goes_on_at_another_holder() -> None:
    body = noise(4, 5 * CHUNK_BYTES + 7)
    assembler, holders = ChunkAssembler(VersionStore()), [holding(body), holding(body)]
    for turn in range(6):
        chunk = next_chunk(holders[turn % 2], assembler.sync_state(NO_VERSION), body.version_id)
        assert chunk is not None and len(cbor2.dumps(chunk)) < CHUNK_BYTES + 400
        assert assembler.sync_state(NO_VERSION).offset == turn * CHUNK_BYTES
        got = assembler.take(chunk)
    assert got == body


def test_a_long_difference_comes_in_pieces() -> None:
    one = noise(1, 800_000)
    two = ConfigVersion.of("r2", one.body[:400_000] + Random(9).randbytes(120_000) + one.body[400_000:])
    assembler = ChunkAssembler(holding(one))
    _, size = carry(holding(one, two), assembler, one, two, most=3)
    assert size < 125_000


def test_what_is_begun_goes_on_while_changes_do(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller with nothing, a piece at a time, while each ask finds a newer word."""
    monkeypatch.setattr(version_store_module, "CHUNK_BYTES", 12 << 10)
    words = versions(60, routes=400)
    begun = len(words[0].body) // (12 << 10) + 1
    assert begun > 6
    version_store, assembler, held, size = VersionStore(), ChunkAssembler(VersionStore()), NO_VERSION, 0
    for number, newest in enumerate(words):
        version_store.add(newest)
        chunk = next_chunk(version_store, assembler.sync_state(held), newest.version_id)
        assert chunk is not None
        size += len(cbor2.dumps(chunk))
        got = assembler.take(chunk)
        if got is not None:
            held = got.version_id
        if number >= begun + 1:
            assert held == newest.version_id
    assert size < len(words[-1].body)


def test_callers_that_begin_while_changes_go_on_share_one_snapshot(monkeypatch: pytest.MonkeyPatch) -> None:
    """One more caller with each change, a piece at a time for each: all are done soon, packed once."""
    monkeypatch.setattr(version_store_module, "CHUNK_BYTES", 12 << 10)
    words = versions(50, routes=400)
    pieces = -(-len(words[0].body) // (12 << 10))
    version_store, callers = VersionStore(), list[tuple[ChunkAssembler, int]]()
    held: dict[int, ConfigVersion] = {}
    packed = set()
    for number, newest in enumerate(words):
        version_store.add(newest)
        if number < 20:
            callers.append((ChunkAssembler(VersionStore(max_older=0)), number))
        for assembler, begun in callers:
            version_id = held[begun].version_id if begun in held else NO_VERSION
            if version_id != newest.version_id:
                chunk = next_chunk(
                    version_store, assembler.sync_state(version_id), newest.version_id, by_snapshot=True
                )
                packed |= {chunk[1]} if not chunk[3] else set()
                got = assembler.take(chunk)
                held.update({begun: got} if got else {})
            if number > begun + pieces:
                assert held[begun] == newest
    assert packed == {words[0].version_id.digest}


def test_a_snapshot_far_from_the_newest_is_renewed_and_who_is_in_its_middle_ends_it() -> None:
    one, two = noise(1, 3 * CHUNK_BYTES), noise(2, 3 * CHUNK_BYTES)
    version_store, early, late = holding(one), ChunkAssembler(VersionStore()), ChunkAssembler(VersionStore())
    early.take(next_chunk(version_store, early.sync_state(NO_VERSION), one.version_id, by_snapshot=True))
    version_store.add(two)
    chunk = next_chunk(version_store, late.sync_state(NO_VERSION), two.version_id, by_snapshot=True)
    assert chunk[1] == two.version_id.digest
    chunk = next_chunk(version_store, early.sync_state(NO_VERSION), two.version_id, by_snapshot=True)
    assert chunk[1] == one.version_id.digest and chunk[5] == CHUNK_BYTES
    assert len(version_store.unpacked) <= MAX_UNPACKED_VERSIONS


def test_who_tells_no_others_keeps_the_newest_alone() -> None:
    one, two = versions(2)
    assembler, version_store = ChunkAssembler(VersionStore(max_older=0)), holding(one, two)
    assembler.version_store.add(one)
    assert carry(version_store, assembler, one, two, most=1)[0] == two
    assert assembler.version_store.get(one.version_id.digest) is None and not assembler.version_store.unpacked


def test_who_is_behind_is_told_the_newest_only() -> None:
    words = versions(12)
    version_store, assembler = holding(*words), ChunkAssembler(holding(words[0]))
    got = assembler.take(
        next_chunk(version_store, assembler.sync_state(words[0].version_id), words[-1].version_id)
    )
    assert got == words[-1]


@settings(max_examples=60, deadline=None)
@given(strategies.integers(0, 2**32), strategies.booleans())
def test_parcels_torn_doubled_swapped_and_spliced_never_make_another_word(seed: int, known: bool) -> None:
    """Two words and two ways; what comes out whole is the word, and after the last fault it comes."""
    chance = Random(seed)
    one, two, three = (
        noise(1, 3 * CHUNK_BYTES + 5),
        noise(2, 3 * CHUNK_BYTES + 5),
        noise(3, 2 * CHUNK_BYTES),
    )
    three = ConfigVersion.of(
        "r3", two.body[: 2 * CHUNK_BYTES] + three.body[:9000] + two.body[2 * CHUNK_BYTES :]
    )
    version_store, faults = holding(one, two, three), [20]
    old: list[list[Any]] = [[]]

    def twist(chunk: list[Any]) -> list[list[Any]]:
        before, old[0] = old[0], chunk
        if faults[0] == 0:
            return [chunk]
        faults[0] -= 1
        torn = [*chunk[:7], chunk[7][: chance.randrange(len(chunk[7]))]]
        field = chance.randrange(6)
        wrong = list(chunk)
        wrong[field] = (
            two.version_id.digest if field in (1, 3) else wrong[field] + chance.choice([-1, 1, CHUNK_BYTES])
        )
        other = next_chunk(
            version_store,
            SyncState(NO_VERSION, one.version_id, CHUNK_BYTES * chance.randrange(3)),
            one.version_id,
        )
        spliced = [*chunk[:7], other[7]]
        return chance.choice(
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

    held = two if known else None
    assembler = ChunkAssembler(holding(*([two] if known else [])))
    carry(version_store, assembler, held, three, twist, most=60)


@pytest.mark.parametrize(
    "strange",
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
def test_what_is_no_parcel_changes_nothing(strange: Any) -> None:
    body = noise(1, 2 * CHUNK_BYTES)
    version_store, assembler = holding(body), ChunkAssembler(VersionStore())
    assembler.take(next_chunk(version_store, assembler.sync_state(NO_VERSION), body.version_id))
    assert assembler.take(strange) is None and assembler.sync_state(NO_VERSION).offset == CHUNK_BYTES


def checked(
    number: int,
    digest: bytes,
    length: int,
    base: bytes,
    size: int,
    offset: int,
    piece: bytes,
) -> list[Any]:
    """A parcel whose check is right, whatever else is not."""
    check = chunks.checksum(VersionId(number, digest), length, base, size, offset, piece)
    return [number, digest, length, base, size, offset, check, piece]


@pytest.mark.parametrize(
    "chunk",
    [
        checked(9, b"d" * 32, MAX_BODY_BYTES + 1, b"", MAX_BODY_BYTES + 1, 0, b"x"),
        checked(
            9,
            b"d" * 32,
            CHUNK_BYTES,
            b"",
            CHUNK_BYTES,
            0,
            zlib.compress(b"\0" * MAX_BODY_BYTES),
        ),
        checked(9, b"d" * 32, 10, b"", 10, 0, zlib.compress(b"")),
        checked(9, b"d" * 32, 10, b"", 11, 0, zlib.compress(b"0123456789a")),
        checked(9, b"d" * 32, 10, b"", 10, -1, zlib.compress(b"0123456789")),
        checked(9, b"d" * 32, 10, b"none", 3, 0, b"abc"),
    ],
)
def test_announced_lengths_are_bounded_and_checked(chunk: list[Any]) -> None:
    body = noise(1, 3 * CHUNK_BYTES)
    version_store, assembler = holding(body), ChunkAssembler(VersionStore())
    for _ in range(2 * MAX_REJECTED_CHUNKS):
        assert assembler.take(chunk) is None
        assert len(assembler.transfer.data) <= CHUNK_BYTES
    assert carry(version_store, assembler, None, body)[0] == body


def test_a_wrong_word_whole_by_its_length_is_begun_anew() -> None:
    """One holder tells another body under the same stamp; the next ask gets the whole from an honest one."""
    one, two = versions(2)
    version_store, assembler = holding(one, two), ChunkAssembler(holding(one))
    lie = difference(one.body, one.body + b" " * (len(two.body) - len(one.body)))
    length = max(len(one.body), len(two.body))
    chunk = checked(2, two.version_id.digest, length, one.version_id.digest, len(lie), 0, lie)
    assert assembler.take(chunk) is None
    assert assembler.sync_state(one.version_id) == SyncState()
    assert carry(version_store, assembler, one, two)[0] == two


def test_a_difference_that_never_comes_out_right_is_gone_round_by_the_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A holder whose difference between two words is wrong each time."""
    one, two, three = versions(3)
    version_store = holding(one)
    next_chunk(version_store, SyncState(), one.version_id, by_snapshot=True)
    version_store.add(two)
    version_store.add(three)
    wrong = difference(b"", bytes(len(three.body)))
    version_store.cache.add(CacheKey.of_difference(three.version_id.digest, two.version_id.digest), wrong)
    assembler = ChunkAssembler(holding(two))
    told = []
    for _ in range(4):
        sync_state = assembler.sync_state(two.version_id)
        told.append(sync_state.version_id)
        if assembler.take(next_chunk(version_store, sync_state, three.version_id, by_snapshot=True)) == three:
            break
    assert told == [two.version_id, NO_VERSION, one.version_id] and assembler.version_store.newest == three
    assert assembler.sync_state(three.version_id) == SyncState(three.version_id)


def test_a_base_that_is_not_here_is_no_use_and_the_whole_comes() -> None:
    one, two = versions(2)
    version_store, assembler = (
        holding(one, two),
        ChunkAssembler(VersionStore()),
    )  # it says that it has one, whose body is gone
    assert carry(version_store, assembler, one, two, most=2)[0] == two


def test_a_word_from_two_sources_is_worked_out_once(monkeypatch: pytest.MonkeyPatch) -> None:
    one, two = versions(2)
    version_store, assembler = holding(one, two), ChunkAssembler(holding(one))
    chunk = next_chunk(version_store, assembler.sync_state(one.version_id), two.version_id)
    assert assembler.take(chunk) == two
    monkeypatch.setattr(chunk_assembler, "apply", None)
    assert assembler.take(chunk) == two


def test_a_source_that_begins_anew_takes_over_only_when_the_first_is_gone() -> None:
    one, two = noise(1, 4 * CHUNK_BYTES), noise(2, 4 * CHUNK_BYTES)
    first, second, assembler = holding(one), holding(two), ChunkAssembler(VersionStore())
    assembler.take(next_chunk(first, assembler.sync_state(NO_VERSION), one.version_id))
    assembler.take(next_chunk(second, assembler.sync_state(NO_VERSION), two.version_id))
    assert assembler.sync_state(NO_VERSION).arriving == one.version_id
    assert carry(second, assembler, None, two, most=4 + MAX_REJECTED_CHUNKS)[0] == two


def test_who_lied_about_the_length_and_is_gone_does_not_keep_the_word_away() -> None:
    body = noise(1, 4 * CHUNK_BYTES)
    honest, assembler = holding(body), ChunkAssembler(VersionStore())
    piece = zlib.compress(body.body[:CHUNK_BYTES])
    assembler.take(checked(1, body.version_id.digest, 9 * CHUNK_BYTES, b"", 9 * CHUNK_BYTES, 0, piece))
    assert assembler.sync_state(NO_VERSION).offset == CHUNK_BYTES
    assert carry(honest, assembler, None, body, most=5 + MAX_REJECTED_CHUNKS)[0] == body


def test_a_long_difference_without_its_base_is_refused_at_its_first_piece() -> None:
    assembler = ChunkAssembler(VersionStore())
    assert assembler.take(checked(9, b"d" * 32, 10, b"none", 3, 0, b"a")) is None
    assert not assembler.transfer.data
    assert assembler.sync_state(NO_VERSION) == SyncState()


def test_the_next_piece_of_another_word_changes_nothing() -> None:
    one, two = noise(1, 3 * CHUNK_BYTES), noise(2, 3 * CHUNK_BYTES)
    version_store, assembler = holding(one, two), ChunkAssembler(VersionStore())
    assembler.take(next_chunk(version_store, assembler.sync_state(NO_VERSION), two.version_id))
    assembler.take(
        next_chunk(version_store, SyncState(NO_VERSION, one.version_id, CHUNK_BYTES), one.version_id)
    )
    assert assembler.sync_state(NO_VERSION) == SyncState(NO_VERSION, two.version_id, CHUNK_BYTES)
    assert carry(version_store, assembler, None, two, most=2)[0] == two


# Planted: each of these must be found by the tests above


def test_a_difference_on_the_wrong_base_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """A holder that takes the difference against the word before, whatever the caller has."""
    words = versions(4)
    version_store = holding(*words)
    real = VersionStore.get

    def wrong(self: VersionStore, digest: bytes) -> ConfigVersion | None:
        return real(self, words[2].version_id.digest if digest == words[0].version_id.digest else digest)

    monkeypatch.setattr(VersionStore, "get", wrong)
    chunk = next_chunk(version_store, SyncState(words[0].version_id), words[3].version_id)
    monkeypatch.undo()
    assert chunk[3] == words[0].version_id.digest
    assembler = ChunkAssembler(holding(words[0]))
    assert assembler.take(chunk) is None and assembler.sync_state(words[0].version_id) == SyncState()
    assert carry(version_store, assembler, words[0], words[3], most=1)[0] == words[3]


def test_a_piece_of_another_word_spliced_in_is_found() -> None:
    """Its head and check are made right, so only the digest can tell."""
    one, two = noise(1, 2 * CHUNK_BYTES), noise(2, 2 * CHUNK_BYTES)
    version_store, assembler = holding(one, two), ChunkAssembler(VersionStore())
    assembler.take(next_chunk(version_store, assembler.sync_state(NO_VERSION), two.version_id))
    other = next_chunk(version_store, SyncState(NO_VERSION, one.version_id, CHUNK_BYTES), one.version_id)
    assert (
        assembler.take(
            checked(
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
    assert carry(version_store, assembler, None, two)[0] == two


def test_a_piece_taken_twice_is_found() -> None:
    body = noise(1, 3 * CHUNK_BYTES)
    version_store, assembler = holding(body), ChunkAssembler(VersionStore())
    chunk = next_chunk(version_store, assembler.sync_state(NO_VERSION), body.version_id)
    for _ in range(3):
        assert assembler.take(chunk) is None
    assert assembler.sync_state(NO_VERSION).offset == CHUNK_BYTES
    assert carry(version_store, assembler, None, body, most=2)[0] == body
