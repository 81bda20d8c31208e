"""The list of members, its number, and which sets of members are a quorum. No input or output here.

Terms:

- A *seat* identifies a replica: the address of its machine and the identity of its disk, as `10.0.0.1/9f3c`. A disk
  that came back empty gets a new identity, so it is another seat, which has promised nothing; it is no member until
  a change of the list makes it one.
- A *member*, or *voter*, is a seat that counts towards a quorum.
- A *learner* is a seat outside the list. It may have every version, and never counts.
- A *joint* list is one with `former`: the change from the former list to the new one is under way, and both lists
  must agree (joint consensus, as in the Raft dissertation, section 4.3).

Rules that must hold:

1. The list is part of the value that the replicas agree on. A change is decided by majorities of the list before it
   and of the list after it.
2. The next change begins only when `former` is empty again: one change at a time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

INITIAL_DISK_ID = (
    "first"  # identity of the disk of a machine that starts with `bootstrap`; peers and disks have this text
)


def format_seat(ip: str, disk: str) -> str:
    """Return the seat of this disk at this address, as `10.0.0.1/9f3c`."""
    return f"{ip}/{disk}"


def ip_of(seat_: str) -> str:
    """Return the address of a seat's machine."""
    return seat_.partition("/")[0]


def majority(seats: Iterable[str]) -> int:
    """Return how many of these seats are a majority."""
    return len(set(seats)) // 2 + 1


@dataclass(frozen=True, slots=True)
class Members:
    """A numbered list of members.

    Attributes:
        number: rises by one with each change of the list.
        seats: the members.
        former: the members before, while a change is under way; else empty.
    """

    number: int
    seats: tuple[str, ...]
    former: tuple[str, ...] = ()

    @staticmethod
    def initial(ips: Iterable[str]) -> Members:
        """Return the list with which a system starts: the seed machines, each with its first disk."""
        return Members(0, tuple(sorted(format_seat(ip, INITIAL_DISK_ID) for ip in set(ips))))

    def voters(self) -> frozenset[str]:
        """Return all seats that may count towards a quorum."""
        return frozenset(self.seats) | frozenset(self.former)

    def is_quorum(self, seats: Iterable[str]) -> bool:
        """Whether these seats are a majority of the list, and of the former list while a change is under way."""
        present = set(seats)
        lists = [members for members in (self.seats, self.former) if members]
        return bool(lists) and all(len(present & set(members)) >= majority(members) for members in lists)

    def ips(self) -> frozenset[str]:
        """Return the addresses of the machines of all voters."""
        return frozenset(map(ip_of, self.voters()))

    def enter_joint(self, seats: Iterable[str]) -> Members:
        """Return the next list, joint with this one.

        Raises:
            ValueError: a change is under way already.
        """
        if self.former:
            raise ValueError(f"list {self.number} is not settled")
        return Members(self.number + 1, tuple(sorted(set(seats))), self.seats)

    def leave_joint(self) -> Members:
        """Return the same list without the former one: the change is complete."""
        return Members(self.number, self.seats)

    def encode(self) -> list[object]:
        """Return the form on the wire and on disk: number, seats, former seats."""
        return [self.number, list(self.seats), list(self.former)]

    @staticmethod
    def decode(fields: list[Any]) -> Members:
        """Read what `encode` made. Raises ValueError or TypeError where it is no list of members."""
        number, seats, former = fields
        return Members(int(number), tuple(map(str, seats)), tuple(map(str, former)))
