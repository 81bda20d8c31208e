"""Who decides: the list of members, its number, and which sets of members are a quorum. No input or output here.

Rules that must hold here:
1. A seat is a machine's address and the identity of its disk. A disk that came back empty is another seat,
   which has promised nothing; it is no member until a change of the list says so.
2. The list is part of the register's value. A change is decided by majorities of the list before it and of the
   list after it, and the next change begins only when `former` is empty again: one change at a time.
3. A seat that is not in the list or in `former` is a learner: it may hold all, and never counts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

FIRST = "first"  # the disk's identity of a machine that starts with `bootstrap`


def seat(ip: str, disk: str) -> str:
    """`10.0.0.1/9f3c…`."""
    return f"{ip}/{disk}"


def ip_of(seat_: str) -> str:
    """The machine of a seat."""
    return seat_.partition("/")[0]


def majority(seats: Iterable[str]) -> int:
    """How many of them are enough."""
    return len(set(seats)) // 2 + 1


@dataclass(frozen=True, slots=True)
class Members:
    """The list under its number, and while a change is under way the list before it."""

    number: int
    seats: tuple[str, ...]
    former: tuple[str, ...] = ()

    @staticmethod
    def first(ips: Iterable[str]) -> Members:
        """The list with which the whole system begins: the seeds, each with its first disk."""
        return Members(0, tuple(sorted(seat(ip, FIRST) for ip in set(ips))))

    def voters(self) -> frozenset[str]:
        """All that may count."""
        return frozenset(self.seats) | frozenset(self.former)

    def is_quorum(self, heard: Iterable[str]) -> bool:
        """Whether these are a majority of the list, and of the list before it while a change is under way."""
        heard = set(heard)
        lists = [seats for seats in (self.seats, self.former) if seats]
        return bool(lists) and all(len(heard & set(seats)) >= majority(seats) for seats in lists)

    def ips(self) -> frozenset[str]:
        """The machines of all that may count."""
        return frozenset(map(ip_of, self.voters()))

    def change(self, seats: Iterable[str]) -> Members:
        """The next list, joint with this one. ValueError where a change is under way."""
        if self.former:
            raise ValueError(f"list {self.number} is not settled")
        return Members(self.number + 1, tuple(sorted(set(seats))), self.seats)

    def settled(self) -> Members:
        """The same list alone."""
        return Members(self.number, self.seats)

    def encode(self) -> list[Any]:
        return [self.number, list(self.seats), list(self.former)]

    @staticmethod
    def decode(told: list[Any]) -> Members:
        """ValueError, TypeError where it is none."""
        number, seats, former = told
        return Members(int(number), tuple(map(str, seats)), tuple(map(str, former)))
