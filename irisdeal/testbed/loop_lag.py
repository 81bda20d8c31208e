"""How late the testbed's own event loop runs: the audit allows for it."""

from __future__ import annotations

import asyncio

from irisdeal.testbed.request_log import Now

STEP = 0.01  # s: how often it is looked at
LEAST = 5_000  # µs: what a loop of whole milliseconds shows anyway
MOST = 100_000  # noted; a run that stalls more often is no run


class LoopLagMonitor:
    """Notes in `stalls` when the running loop went on (µs), and how long it had stood still (µs)."""

    def __init__(self, stalls: list[tuple[int, int]], now: Now) -> None:
        self.stalls, self.now = stalls, now
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start sampling."""
        self._check(asyncio.get_running_loop().time())

    def stop(self) -> None:
        """Stop sampling."""
        if self.timer is not None:
            self.timer.cancel()

    def _check(self, due: float) -> None:
        loop = asyncio.get_running_loop()
        late = round((loop.time() - due) * 1e6)
        if late >= LEAST and len(self.stalls) < MOST:
            self.stalls.append((self.now(), late))
        self.timer = loop.call_later(STEP, self._check, loop.time() + STEP)
