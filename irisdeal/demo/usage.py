"""CPU time, memory and descriptors of a process, from /proc."""

from __future__ import annotations

import os
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

TICKS = os.sysconf("SC_CLK_TCK")  # of CPU time a second, as /proc counts it


@dataclass(slots=True)
class ProcessUsage:
    """What one process used. CPU in µs since it was ready; memory in bytes and descriptors, the most of each.

    None where this machine does not tell.
    """

    cpu: int | None = None
    start_cpu: int = 0  # µs until it was ready: reading the program, not serving
    memory: int | None = None
    files: int | None = None


def measure_usage(pid: int, use: ProcessUsage) -> None:
    """Measure what a process uses, from /proc; nothing where there is none (not Linux)."""
    with suppress(OSError, ValueError, IndexError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        use.cpu = (int(fields[11]) + int(fields[12])) * 1_000_000 // TICKS - use.start_cpu
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                use.memory = int(line.split()[1]) * 1024
        use.files = max(use.files or 0, len(os.listdir(f"/proc/{pid}/fd")))
