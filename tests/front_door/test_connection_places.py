"""Who has a place, who makes room and who is refused, on a clock of the test's own."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from irisdeal.front_door.overload.backlog import LEAST, MOST, WAIT, Backlog
from irisdeal.front_door.overload.lateness import HALF, USUAL, Lateness
from irisdeal.front_door.overload.places import (
    ENDED_FOR,
    IDLE_FOR,
    LOOK,
    SILENT_FOR,
    SILENT_IN_STORM,
    Places,
    Stage,
)


def test_the_oldest_that_nothing_is_owed_makes_room_and_whoever_has_begun_to_speak_never_does() -> None:
    places: Places[str] = Places(4, 0)
    for n, name in enumerate(("ends", "silent", "idle", "busy")):
        places.enter(name, n / 128)
    places.move("busy", Stage.BUSY, 0.125)
    places.move("idle", Stage.IDLE, 0.125)
    places.move("ends", Stage.ENDING, 0.125)
    assert list(places.candidates(0.125)) == []
    assert list(places.candidates(0.125 + SILENT_FOR)) == ["ends", "silent"]
    assert list(places.candidates(0.125 + IDLE_FOR)) == ["ends", "silent", "idle"]
    assert ENDED_FOR <= IDLE_FOR


def test_in_a_storm_of_silent_connections_each_gets_less_time() -> None:
    places: Places[int] = Places(4, 2)
    for n in range(2):
        places.enter(n, 0.0)
    assert list(places.candidates(SILENT_IN_STORM)) == []
    places.enter(2, 0.0)
    assert list(places.candidates(SILENT_IN_STORM)) == [0, 1, 2]


def test_one_in_the_reserve_is_refused_until_a_usual_place_is_free() -> None:
    places: Places[int] = Places(1, 1)
    places.enter(1, 0.0)
    places.enter(2, 0.0)
    assert not places.room()
    assert places.claim(1, 0.0) and not places.claim(2, 0.0)
    places.leave(1, 0.1)
    assert places.room() and places.claim(2, 0.2)
    places.enter(3, 0.3)
    assert not places.claim(3, 0.3)


def test_advice_grows_with_those_refused_and_shrinks_with_the_places_that_get_free() -> None:
    def told(refused: int, freed: int) -> float:
        places: Places[int] = Places(freed, 1)
        for n in range(freed):
            places.enter(n, 0.0)
        places.enter(-1, 0.0)
        for _ in range(refused):
            places.claim(-1, 0.0)
        for n in range(freed):
            places.leave(n, 0.0)
        return places.advice(0.0)

    assert told(10, 1) == 11.0
    assert told(10, 100) == 0.11
    assert told(100, 100) == 1.01


MOVES = st.lists(
    st.tuples(
        st.sampled_from(["accept", "leave", "busy", "idle", "ending", "claim", "evict"]),
        st.integers(0, 30),
        st.floats(0.0, 1.0),
    ),
    max_size=200,
)


@given(MOVES, st.integers(1, 6), st.integers(0, 3))
def test_places_are_never_more_than_there_are_and_the_books_agree(
    moves: list[tuple[str, int, float]],
    most: int,
    reserve: int,
) -> None:
    places: Places[int] = Places(most, reserve)
    now, number, busy = 0.0, 0, set[int]()
    for what, pick, later in moves:
        now += later
        here = list(places.stages)
        one = here[pick % len(here)] if here else -1
        if what == "accept" and places.room():
            places.enter(number, now)
            number += 1
        elif what == "leave":
            places.leave(one, now)
            busy.discard(one)
        elif what == "claim" and one >= 0:
            before = places.usual
            assert places.claim(one, now) or before == most
        elif what == "evict":
            found = list(places.candidates(now))
            assert len(found) <= 3 * LOOK and not busy & set(found)
            for key in found:
                assert now - places.since[places.stages[key]][key] >= min(SILENT_IN_STORM, ENDED_FOR)
        elif what in ("busy", "idle", "ending"):
            places.move(one, Stage[what.upper()], now)
            (busy.add if what == "busy" else busy.discard)(one)
        assert len(places) <= most + reserve and places.usual <= most
        assert sum(map(len, places.since.values())) == len(places)
        assert set(places.spare) <= set(places.stages)
        for entries in places.since.values():
            assert list(entries.values()) == sorted(entries.values())


def test_the_kernels_queue_is_as_long_as_the_door_takes_from_it_in_its_wait() -> None:
    backlog, now = Backlog(), 0.0
    for _ in range(200):  # 200 in each turn of 0.1 s, and more wait
        backlog.took(200, True, now)
        now += 0.1
    assert 0.8 * 2_000 * WAIT <= backlog.length <= 1.2 * 2_000 * WAIT
    for _ in range(200):
        backlog.took(1, True, now)
        now += 0.1
    assert backlog.length == LEAST
    for _ in range(100):  # it empties each time: it grows again, and not at once
        backlog.took(1, False, now)
        now += 0.1
        if now < 40.5:
            assert backlog.length < MOST
    assert backlog.length == MOST


def test_how_long_one_waited_in_the_queue_is_bounded_by_what_was_seen() -> None:
    backlog = Backlog()
    assert backlog.waited(50.0) == 0.0  # nothing is known of a wait: the queue has never been seen to last
    backlog.took(3, False, 100.0)
    assert backlog.waited(100.5) == 0.0  # it was empty when last looked at
    backlog.took(64, True, 101.0)
    assert backlog.waited(101.03) == pytest.approx(1.03)  # at most since it was last empty
    for n in range(1, 30):
        backlog.took(100, True, 101.0 + n / 10)
    # 1,000 a second, and the queue has shrunk to a twentieth of that: nobody waits for longer.
    assert backlog.waited(104.0) == pytest.approx((backlog.length + 1) / 1_000)
    assert backlog.waited(104.0) < 1.5 * WAIT
    backlog.took(5, False, 104.1)
    assert backlog.waited(104.2) == 0.0


def test_lateness_is_the_latest_of_late_and_fades() -> None:
    late = Lateness()
    late.note(0.003, 10.0)
    assert late.beyond_usual(10.0) == 0.0
    late.note(0.100, 10.0)
    late.note(0.010, 10.1)
    assert late.beyond_usual(10.1) == pytest.approx(0.1 * 0.5 ** (0.1 / HALF) - USUAL)
    assert late.beyond_usual(10.0 + 10 * HALF) == 0.0
    late.note(0.05, 20.0)
    assert late.beyond_usual(20.0) == pytest.approx(0.05 - USUAL)


def test_a_queue_that_empties_tells_nothing_of_the_door() -> None:
    backlog = Backlog()
    assert all(backlog.took(1, False, n / 10) is None for n in range(100))
    assert backlog.length == MOST


@given(st.lists(st.tuples(st.integers(0, 64), st.booleans(), st.floats(0.0, 5.0)), max_size=100))
def test_the_queue_keeps_its_bounds(turns: list[tuple[int, bool, float]]) -> None:
    backlog, now = Backlog(), 0.0
    for count, more, later in turns:
        now += later
        told = backlog.took(count, more, now)
        assert LEAST <= backlog.length <= MOST and told in (None, backlog.length)
