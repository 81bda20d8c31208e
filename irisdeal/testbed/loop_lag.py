"""Measures the lag of the testbed's event loop, by which the audit extends time limits."""

from __future__ import annotations

import asyncio

from irisdeal.testbed.request_log import Now

SAMPLE_INTERVAL_S = 0.01
MIN_STALL_US = 5_000  # smaller lag is normal with millisecond timers
MAX_STALLS = 100_000  # recorded; a run with more is of no use


class LoopLagMonitor:
    """Records the stalls of the running loop in `stalls`, as end and duration (µs)."""

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
        if late >= MIN_STALL_US and len(self.stalls) < MAX_STALLS:
            self.stalls.append((self.now(), late))
        self.timer = loop.call_later(SAMPLE_INTERVAL_S, self._check, loop.time() + SAMPLE_INTERVAL_S)
