"""When discovery is asked for what: pauses that do not fall in step, and whole lists only at need."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from irisdeal.front_door.membership.asking import (
    BROKEN_PAUSE,
    GROWTH,
    LINE_PATIENCE,
    LONGEST_ASKED,
    LONGEST_BROKEN,
    LONGEST_TURN,
    MOST_GROWN,
    PATIENCE,
    REFUSED_PAUSE,
    SPREAD,
    WAIT,
    WATCH_GAP,
    Asking,
    turn,
)


def test_a_list_that_is_held_is_watched_from_its_version() -> None:
    ask = Asking(lambda: 0.5, 8.0, 41).next()
    assert (ask.is_whole, ask.version, ask.wait) == (False, 41, WAIT)
    assert ask.patience == WAIT / 1000 + LINE_PATIENCE


def test_an_agent_is_asked_at_once_and_a_service_for_all_spread_over_a_turn() -> None:
    assert Asking(lambda: 0.9, 0.0, 41).first() == 0.0
    assert Asking(lambda: 0.9, turn(40), 41).first() == SPREAD * turn(40) * 0.9
    assert Asking(lambda: 0.9, turn(40)).first() == 0.0  # without any list nothing can be served
    assert turn(1000) == LONGEST_TURN


def test_with_nothing_held_the_whole_is_asked_for_then_a_watch_that_goes_on() -> None:
    asking = Asking(lambda: 0.5, 8.0)
    assert asking.next().is_whole
    asking.answered(7, was_watch=False)
    assert asking.next().patience == WAIT / 1000 + LINE_PATIENCE
    asking.answered(9, was_watch=True)
    assert (asking.next().version, asking.next().wait, asking.next().patience) == (
        9,
        WAIT,
        WAIT / 1000 + PATIENCE,
    )


def test_neither_a_refusal_nor_a_broken_call_costs_a_whole_list() -> None:
    asking = Asking(lambda: 0.5, 0.0, 41)
    asking.refused()
    assert asking.next().version == 41
    asking.broken()
    assert asking.next().version == 41
    asking.odd()
    assert asking.next().is_whole


def test_a_watch_that_broke_once_goes_on_within_its_gap() -> None:
    assert BROKEN_PAUSE < WATCH_GAP
    assert Asking(lambda: 0.999, 0.0, 41).broken() <= BROKEN_PAUSE


def test_what_discovery_asks_for_is_the_least_and_is_bounded() -> None:
    asking = Asking(lambda: 0.0, 0.0, 41)
    assert asking.refused(2.0) == 2.0 + REFUSED_PAUSE / 2
    assert asking.refused(1e9) <= LONGEST_ASKED + MOST_GROWN * REFUSED_PAUSE
    asking.answered(41, was_watch=True)
    assert asking.refused(-5.0) == REFUSED_PAUSE / 2


def test_success_ends_the_memory_of_failures() -> None:
    asking = Asking(lambda: 0.999, 0.0, 41)
    for _ in range(9):
        asking.refused()
        asking.broken()
    asking.answered(41, was_watch=True)
    assert asking.refused() <= REFUSED_PAUSE
    assert asking.broken() <= BROKEN_PAUSE


@given(st.lists(st.sampled_from(["refused", "broken", "odd", "answered"]), max_size=60), st.randoms())
def test_pauses_are_bounded_and_never_nought(ends: list[str], chance: random.Random) -> None:
    asking = Asking(chance.random, 8.0)
    for end in ends:
        if end == "answered":
            asking.answered(3, was_watch=not asking.next().is_whole)
        elif end == "refused":
            assert 4.0 <= asking.refused() <= 8.0 * MOST_GROWN
        else:
            pause = asking.broken() if end == "broken" else asking.odd()
            assert BROKEN_PAUSE / 2 <= pause <= LONGEST_BROKEN


LINE = 2.0  # s that a call may wait in line at discovery


def served_after(doors: int, per_s: float, askings: list[Asking]) -> float:
    """When each of `doors` that start at 0 has been served, by a discovery that takes so many calls a second
    in turn, turns away whoever would wait longer than its time-out, and works in vain on calls whose time-out
    passes while they stand in line (BENCH, [discovery], overbook = 1). Infinite if not within 60 s."""
    due = [(asking.first(), door) for door, asking in enumerate(askings)]
    free_at = last = 0.0
    while due:
        due.sort()
        now, door = due.pop(0)
        if now > 60:
            return math.inf
        line = max(0.0, free_at - now)
        if line <= LINE:  # taken; what it sees of its line leaves out its own work
            free_at = now + line + 1 / per_s
        if line + 1 / per_s <= LINE:
            last = max(last, free_at)
        else:
            due.append((now + min(LINE, line if line <= LINE else 0.0) + askings[door].refused(), door))
    return last


def fleet(doors: int, turn_s: float) -> list[Asking]:
    return [Asking(random.Random(door).random, turn_s, 1) for door in range(doors)]


def test_doors_killed_together_are_all_served_in_little_more_than_their_turn() -> None:
    for doors in (20, 40, 100):
        for all_s in (8, 4, 2):  # s for one call of each door
            assert served_after(doors, doors / all_s, fleet(doors, turn(doors))) <= 2.5 * 8 + LINE


def test_what_comes_back_soon_is_never_served_and_that_is_why_pauses_are_long() -> None:
    class Eager(Asking):
        def first(self) -> float:
            return 0.0

        def refused(self, retry_after: float | None = None) -> float:
            return 0.2 + 0.4 * self.draw()

    eager: list[Asking] = [Eager(random.Random(door).random, 0.0, 1) for door in range(40)]
    assert served_after(40, 5.0, eager) > 4 * served_after(40, 5.0, fleet(40, turn(40)))


def test_pauses_grow_while_nothing_gets_through() -> None:
    asking = Asking(lambda: 0.5, 8.0, 1)
    assert asking.refused() * GROWTH == asking.refused()
