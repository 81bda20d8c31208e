"""SIGTERM: what is taken is finished, what cannot be is promised at once, and nothing is cut."""

from __future__ import annotations

import asyncio
import itertools

from tests.request_world import RequestWorld


def test_nothing_that_was_passed_on_after_a_sigterm_is_cut() -> None:
    world = RequestWorld()

    async def act() -> None:
        works = itertools.cycle((100, 900, 2000))
        for _ in range(12):
            await world.ask(next(works))
        await asyncio.sleep(3.0)
        world.terminate()
        while not world.proxy.dead:
            await world.ask(next(works))
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    world.play(act)
    assert world.without_end() == []
    assert world.proxy.died_at is not None
