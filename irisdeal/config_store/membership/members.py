"""The member list, its number, and which sets of seats form a quorum. No I/O.

Terms:

- A *seat* identifies a replica by the address of its machine and the identity of its disk, as in `10.0.0.1/9f3c`.
  A disk that comes back empty gets a new identity, so it is a new seat that has promised nothing; it becomes a
  member only through a membership change.
- A *member*, or *voter*, is a seat that counts towards a quorum.
- A *learner* is a seat outside the list. It may store every version, but never counts towards a quorum.
- A *joint* list has a `former` list: the change from the former list to the new one is in progress, and majorities
  of both must agree (joint consensus, as in the Raft dissertation, section 4.3).

Invariants:

1. The list is part of the replicated value. A change is decided by majorities of the old and the new list.
2. The next change starts only when `former` is empty again: one change at a time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# Disk identity of a machine that starts with `bootstrap`; the text is part of the wire and disk formats.
INITIAL_DISK_ID = "first"


def format_seat(ip: str, disk: str) -> str:
    """Return the seat of this disk at this address, such as `10.0.0.1/9f3c`."""
    return f"{ip}/{disk}"


def ip_of(seat: str) -> str:
    """Return the address of a seat's machine."""
    return seat.partition("/")[0]


def majority(seats: Iterable[str]) -> int:
    """Return how many seats form a majority of these."""
    return len(set(seats)) // 2 + 1


@dataclass(frozen=True, slots=True)
class Members:
    """A numbered list of members.

    Attributes:
        number: increases by one with each membership change.
        seats: the members.
        former: the previous members while a change is in progress, otherwise empty.
    """

    number: int
    seats: tuple[str, ...]
    former: tuple[str, ...] = ()

    @staticmethod
    def initial(ips: Iterable[str]) -> Members:
        """Return the list at the first start of a cluster: the seed machines, each with its initial disk."""
        return Members(0, tuple(sorted(format_seat(ip, INITIAL_DISK_ID) for ip in set(ips))))

    def voters(self) -> frozenset[str]:
        """Return all seats that count towards a quorum."""
        return frozenset(self.seats) | frozenset(self.former)

    def is_quorum(self, seats: Iterable[str]) -> bool:
        """Whether these seats include a majority of the list, and of the former list if there is one."""
        present = set(seats)
        lists = [members for members in (self.seats, self.former) if members]
        return bool(lists) and all(len(present & set(members)) >= majority(members) for members in lists)

    def ips(self) -> frozenset[str]:
        """Return the addresses of all voters."""
        return frozenset(map(ip_of, self.voters()))

    def enter_joint(self, seats: Iterable[str]) -> Members:
        """Return the joint list that begins the change from this list to these seats.

        Raises:
            ValueError: a change is already in progress.
        """
        if self.former:
            raise ValueError(f"member list {self.number} is joint: its change is not complete")
        return Members(self.number + 1, tuple(sorted(set(seats))), self.seats)

    def leave_joint(self) -> Members:
        """Return the same list without the former one, which completes the change."""
        return Members(self.number, self.seats)

    def encode(self) -> list[object]:
        """Return the fields in wire and disk order: number, seats, former seats."""
        return [self.number, list(self.seats), list(self.former)]

    @staticmethod
    def decode(fields: list[Any]) -> Members:
        """Decode the output of `encode`. Raises ValueError or TypeError if malformed."""
        number, seats, former = fields
        return Members(int(number), tuple(map(str, seats)), tuple(map(str, former)))
