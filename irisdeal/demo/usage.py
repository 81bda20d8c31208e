"""CPU time, memory and descriptors of a process, from /proc."""

from __future__ import annotations

import os
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")  # unit of CPU time in /proc


@dataclass(slots=True)
class ProcessUsage:
    """Resource usage of one process: CPU time in µs since it was ready, peak memory in bytes, peak descriptors.

    Values are None if the system has no /proc.
    """

    cpu: int | None = None
    start_cpu: int = 0  # µs of CPU time until it was ready, which is not for serving
    memory: int | None = None
    files: int | None = None


def measure_usage(pid: int, use: ProcessUsage) -> None:
    """Update `use` for a process from /proc; does nothing without it (not Linux)."""
    with suppress(OSError, ValueError, IndexError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        use.cpu = (int(fields[11]) + int(fields[12])) * 1_000_000 // TICKS_PER_S - use.start_cpu
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                use.memory = int(line.split()[1]) * 1024
        use.files = max(use.files or 0, len(os.listdir(f"/proc/{pid}/fd")))
