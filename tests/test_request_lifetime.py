"""A request's life ends with its client: nothing that may be repeated is worked on for who has left."""

from __future__ import annotations

import asyncio

import pytest

from tests.request_world import Leaving, RequestWorld


def left_amid_work(how: Leaving, after_s: float) -> RequestWorld:
    """Eight clients ask for 2 s of work and leave."""
    world = RequestWorld()

    async def act() -> None:
        asked = [await world.ask(2000) for _ in range(8)]
        await asyncio.sleep(after_s)
        for one in asked:
            assert one is not None
            one[0].leave(how)
        await asyncio.sleep(4.0)

    world.play(act)
    assert len(world.runs) >= 8
    return world


@pytest.mark.parametrize("how", Leaving)
def test_no_run_that_may_be_repeated_goes_on_for_a_client_that_left(how: Leaving) -> None:
    assert left_amid_work(how, 0.3).work_for_departed() == []
