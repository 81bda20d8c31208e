"""Logs how near a process is to its memory limit, since the platform ends one that exceeds it without a word."""

from __future__ import annotations

import os
from pathlib import Path

from irisdeal.runtime.events import Event, log_event

CHECK_INTERVAL_S = 0.5
LOGGED_SHARES = (0.7, 0.8, 0.9, 0.95)  # of the limit, each logged when it is reached first
BYTES_PER_MB = 1 << 20
STATM_PATH = Path("/proc/self/statm")
RESIDENT_FIELD = 1  # of /proc/self/statm, in pages


class MemoryMonitor:
    """Compares the resident memory of this process with its limit."""

    def __init__(self, limit_mb: float, statm_path: Path = STATM_PATH) -> None:
        self.limit_mb, self.statm_path = limit_mb, statm_path
        self.page_bytes = os.sysconf("SC_PAGE_SIZE")
        self.logged_count = 0

    def check(self) -> None:
        """Log the memory in use if it has reached the next share of the limit."""
        resident_mb = self._resident_mb()
        share = resident_mb / max(self.limit_mb, 1.0)
        reached = sum(share >= logged for logged in LOGGED_SHARES)
        if reached > self.logged_count:
            self.logged_count = reached
            log_event(Event.MEMORY_HIGH, resident_mb=round(resident_mb), limit_mb=round(self.limit_mb))

    def _resident_mb(self) -> float:
        """Return the resident memory; 0 where the kernel does not tell it."""
        try:
            pages = int(self.statm_path.read_text().split()[RESIDENT_FIELD])
        except (OSError, ValueError, IndexError):
            return 0.0
        return pages * self.page_bytes / BYTES_PER_MB
