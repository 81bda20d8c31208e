"""Virtual time: what happens, in exact order, and nothing else.

The rules that everything in this package obeys:

1. There is one clock, `World.now`, in whole µs. It moves only from one entry of the agenda to the next, so an
   hour in which nothing happens costs nothing.
2. The agenda is ordered by time and then by the order in which entries were made. Nothing else orders
   anything: no address of an object, no hash, no real clock, no thread.
3. All chance is drawn from `World.random`, which has one seed. So one seed is one day, to the last byte.
4. Every entry that is played is noted in the `Trail`, so that two runs that should be alike can be laid side
   by side, and the first entry in which they differ can be named.
5. A world in which nothing can happen any more, while somebody waits, is an error that says who waits for
   what (`Stuck`); so is one that goes on without time moving (`Spinning`).

(The same as of FoundationDB's simulator, Zhou et al., SIGMOD 2021, section 4; as of TigerBeetle's VOPR.)
"""

from __future__ import annotations

import heapq
import random
import zlib
from collections.abc import Callable, Iterator
from typing import Any

BLOCK = 256  # entries of the agenda that one mark of the trail covers: a run keeps 4 bytes for so many
MOST_AT_ONCE = 200_000  # entries at one µs; a rush of a whole day is under a tenth of it
START = 1_000_000_000  # µs of the clock when a world begins: a time of 0 means "never" to many


class Stuck(RuntimeError):
    """Nothing is due, or the time given is over, and somebody still waits; the text says for what."""


class Spinning(RuntimeError):
    """The world goes on and on without time moving. The text says who keeps it busy."""


class Entry:
    """One entry of the agenda."""

    __slots__ = ("args", "call", "cancelled", "what", "when")

    def __init__(self, when: int, what: str, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.when, self.what, self.call, self.args = when, what, call, args
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Trail:
    """A running checksum over all entries played, with a mark each `BLOCK` of them.

    With `keep`, the number of a block, the entries of that block are kept in words.
    """

    def __init__(self, keep: int | None = None) -> None:
        self.sum = 0
        self.count = 0
        self.marks: list[int] = []
        self.keep = keep
        self.kept: list[str] = []

    def note(self, when: int, what: str) -> None:
        self.sum = zlib.crc32(b"%d %s" % (when, what.encode()), self.sum)
        if self.keep is not None and self.count // BLOCK == self.keep:
            self.kept.append(f"{when} {what}")
        self.count += 1
        if self.count % BLOCK == 0:
            self.marks.append(self.sum)

    def digest(self) -> str:
        return f"{self.sum:08x}-{self.count}"


def first_difference(one: Trail, other: Trail) -> int | None:
    """The number of the first block in which two trails differ; None where they are alike."""
    for number, (mine, its) in enumerate(zip(one.marks, other.marks, strict=False)):
        if mine != its:
            return number
    if one.digest() == other.digest():
        return None
    return min(len(one.marks), len(other.marks))


class World:
    """The clock, the agenda and the chance of one run."""

    def __init__(self, seed: int, keep: int | None = None) -> None:
        """`keep`: the block of the trail whose entries are to be kept in words."""
        self.now = START
        self.random = random.Random(seed)
        self.trail = Trail(keep)
        self.waiting: list[Callable[[], Iterator[str]]] = []  # who tells what it waits for
        self._agenda: list[tuple[int, int, Entry]] = []
        self._numbers = 0
        self._at_once = 0
        self._last: list[str] = []

    def at(self, when: int, what: str, call: Callable[..., None], *args: Any) -> Entry:
        """Call at a time (µs), or now where that is over. `what` names it in the trail."""
        entry = Entry(max(when, self.now), what, call, args)
        self._numbers += 1
        heapq.heappush(self._agenda, (entry.when, self._numbers, entry))
        return entry

    def run(self, over: Callable[[], bool], until: int) -> None:
        """Play until `over` says so. Raises `Stuck` at `until` (µs) or with nothing left, and `Spinning`."""
        agenda = self._agenda
        while not over():
            if not agenda:
                raise Stuck(self._who("nothing is due any more"))
            when, _, entry = heapq.heappop(agenda)
            if entry.cancelled:
                continue
            if when > until:
                heapq.heappush(agenda, (when, 0, entry))
                raise Stuck(self._who(f"not over after {(until - START) / 1e6:g} s"))
            if when != self.now:
                self.now, self._at_once = when, 0
                self._last.clear()
            self._at_once += 1
            if self._at_once > MOST_AT_ONCE - 16:
                self._last.append(entry.what)
                if self._at_once > MOST_AT_ONCE:
                    raise Spinning(
                        f"{MOST_AT_ONCE} entries at {self.seconds():.6f} s, of late: "
                        f"{', '.join(dict.fromkeys(self._last))}"
                    )
            self.trail.note(when, entry.what)
            entry.call(*entry.args)

    def seconds(self) -> float:
        """How long the world has lasted."""
        return (self.now - START) / 1e6

    def _who(self, why: str) -> str:
        lines = [line for tell in self.waiting for line in tell()]
        return "\n  ".join([f"{why}, at {self.seconds():.6f} s; who waits:", *(lines or ["nobody"])])
