"""How many requests each backend has out from the doors of other registries, as told a moment ago. No I/O here.

Keys are short, as the words are many: `key` of a life's id.
"""

from __future__ import annotations

import zlib

KEPT = 1.5  # s that a word counts
TELL = 0.1  # s between two words of a registry: about a backend's usual time
Out = dict[int, int]  # key of a life -> requests


def key(id_: str) -> int:
    """24 bits of a life's id: with 200 lives two share one on one day in a thousand, and are counted as one."""
    return zlib.crc32(id_.encode()) & 0xFFFFFF


class LoadReports:
    """The latest sums of the other registries."""

    def __init__(self) -> None:
        self.others: dict[str, tuple[float, Out]] = {}

    def hear(self, registry: str, sums: Out, now: float) -> None:
        self.others[registry] = (now, sums)

    def total(self, now: float) -> Out:
        """What the doors of all other registries have out."""
        total: Out = {}
        for who, (at, out) in list(self.others.items()):
            if now - at > KEPT:
                del self.others[who]
                continue
            for incarnation, count in out.items():
                total[incarnation] = total.get(incarnation, 0) + count
        return total
