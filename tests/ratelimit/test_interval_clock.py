"""The shared interval clock, with messages between any processes in any order."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from irisdeal.ratelimit.interval_clock import SharedIntervalClock


@hypothesis_settings(max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 4), st.floats(0.0, 0.05)), min_size=1, max_size=60)
)
def test_a_position_never_decreases_nor_passes_the_first_clock(
    messages: list[tuple[int, int, float]],
) -> None:
    clocks = [SharedIntervalClock(0.3 * number) for number in range(5)]
    now, last = 2.0, [0.0] * 5
    for sender, receiver, delay in messages:
        sent = clocks[sender].position(now)
        now += delay
        clocks[receiver].observe_position(sent, now)
        for number, clock in enumerate(clocks):
            assert clock.position(now) >= last[number]
            last[number] = clock.position(now)
            # The first to start is the furthest ahead.
            assert clock.position(now) <= clocks[0].position(now) + 1e-9
