"""Where the entries of a configuration's body stand, so that the next reading can take them over. No I/O here."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from irisdeal.config_store.configuration.index import Index
from irisdeal.config_store.configuration.model import Configuration, Pool, Rule, Socket, Tenant

E = TypeVar("E")


@dataclass(slots=True)
class EntryList(Generic[E]):
    """The entries of one JSON list.

    Attributes:
        starts: the offset at which each begins, counted from a base that the owner of the list knows.
        ends: the offset at which each ends.
        values: each entry's value.
    """

    starts: list[int] = field(default_factory=list)
    ends: list[int] = field(default_factory=list)
    values: list[E] = field(default_factory=list)

    def append(self, start: int, end: int, value: E) -> None:
        """Add an entry behind the others."""
        self.starts.append(start)
        self.ends.append(end)
        self.values.append(value)

    def extend_from(self, other: EntryList[E], first: int, last: int, shift: int) -> None:
        """Add entries `first` to `last` (exclusive) of another list, whose offsets differ by `shift`."""
        self.starts += [start + shift for start in other.starts[first:last]]
        self.ends += [end + shift for end in other.ends[first:last]]
        self.values += other.values[first:last]


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One entry of `sockets`; the offsets of its rules count from its begin."""

    socket: Socket
    rules: EntryList[Rule]


@dataclass(frozen=True, slots=True)
class Outline:
    """Where the entries of a body stand; offsets count from the body's begin."""

    pools: EntryList[Pool] = field(default_factory=EntryList)
    hosts: EntryList[HostEntry] = field(default_factory=EntryList)
    tenants: EntryList[Tenant] = field(default_factory=EntryList)


@dataclass(frozen=True, slots=True)
class ParsedConfiguration:
    """A valid configuration, and what the next reading takes over.

    Attributes:
        body: the bytes that were parsed.
        configuration: what they say.
        index: its entries by name.
        outline: where its entries stand; None where the body was parsed in one go.
    """

    body: bytes
    configuration: Configuration
    index: Index
    outline: Outline | None


class PreviousEntries(Generic[E]):
    """A list of the previous version, and which of its entries were taken over.

    Args:
        entries: the list.
        base: the offset in the body from which the list's offsets count.
    """

    def __init__(self, entries: EntryList[E], base: int = 0) -> None:
        self.entries = entries
        self.base = base
        self.taken = bytearray(len(entries.starts))  # 1 for each entry that was taken over

    def take(self, first: int, last: int) -> None:
        """Note that entries `first` to `last` (exclusive) were taken over."""
        self.taken[first:last] = b"\1" * (last - first)

    def removed(self) -> Iterator[int]:
        """Yield the positions of the entries that were not taken over."""
        position = self.taken.find(0)
        while position >= 0:
            yield position
            position = self.taken.find(0, position + 1)
