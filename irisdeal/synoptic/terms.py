"""Terms: the register's `change` under which something was given, and the newest one that is known here.

Two processes share what is counted as one only under one term: one that was taken out of the list, or has not
heard of the newest change, acts on an older list. No input or output here.
"""

from __future__ import annotations


class Terms:
    """The term of one process."""

    def __init__(self) -> None:
        self.change = 0
        self.refused: tuple[int, int] | None = None  # the last pair that was told as refused

    def hear(self, change: int) -> bool:
        """A change that is decided; True where it is newer."""
        newer = change > self.change
        self.change = max(self.change, change)
        return newer

    def is_shared(self, change: int) -> bool:
        """Whether whoever acts under this change may share with us: neither is behind."""
        return change == self.change

    def is_news(self, change: int) -> bool:
        """Whether a refusal of this change was not told yet: floods of asks tell it once."""
        pair = (self.change, change)
        news, self.refused = pair != self.refused, pair
        return news
