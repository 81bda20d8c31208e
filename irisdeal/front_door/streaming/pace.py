"""Whether a slow peer still gets on: progress rules in place of totals. Times are s, sizes bytes."""

from __future__ import annotations

HEAD = 2.5  # a head may take 2 s (operators' page, Size), and some for a busy loop
STAND = 2.5  # a body's client may send nothing for so long
RATE = 16_000.0  # bytes a second that a body comes at, at least: a quarter of what slow clients send
ANSWER_STANDS = 10.0  # an answer that is passed on may bring, or be read, nothing for so long
PIECE = 2.0  # a small answer may stand between two pieces; its attempt's own time-out still holds
LONGEST = (32 << 20) + (64 << 10)  # bytes of a body: 32 MB, counted either way
REPLAY = 256 << 10  # bytes of a body that are collected so that it can be sent again


class Pace:
    """One message that comes in: `came` for each piece, `is_slow` now and then."""

    __slots__ = ("begun", "in_body", "last", "size")

    def __init__(self, now: float) -> None:
        self.begun = self.last = now
        self.in_body, self.size = False, 0

    def head_is_whole(self, now: float) -> None:
        self.in_body, self.begun, self.last, self.size = True, now, now, 0

    def came(self, size: int, now: float) -> None:
        if size:
            self.last = now
            self.size += size

    def read_on(self, now: float) -> None:
        """It was not read for a while: what we did not read was not slow."""
        self.begun = max(self.begun, now - self.size / RATE)
        self.last = now

    def is_slow(self, now: float) -> bool:
        if not self.in_body:
            return now - self.begun > HEAD
        return now - self.last > STAND or now - self.begun > STAND + self.size / RATE
