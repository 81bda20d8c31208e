"""Positions of the entries in a configuration's body, which let the next parse reuse them. No I/O."""

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
        starts: start offset of each entry, relative to a base that the owner of the list defines.
        ends: end offset of each entry, relative to the same base.
        values: the value of each entry.
    """

    starts: list[int] = field(default_factory=list)
    ends: list[int] = field(default_factory=list)
    values: list[E] = field(default_factory=list)

    def append(self, start: int, end: int, value: E) -> None:
        """Append an entry."""
        self.starts.append(start)
        self.ends.append(end)
        self.values.append(value)

    def extend_from(self, other: EntryList[E], first: int, last: int, shift: int) -> None:
        """Append entries `first` to `last` (exclusive) of another list, with `shift` added to their offsets."""
        self.starts += [start + shift for start in other.starts[first:last]]
        self.ends += [end + shift for end in other.ends[first:last]]
        self.values += other.values[first:last]


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One entry of `sockets`; the offsets of its rules are relative to its start."""

    socket: Socket
    rules: EntryList[Rule]


@dataclass(frozen=True, slots=True)
class Outline:
    """Positions of the entries of a body; offsets are relative to the start of the body."""

    pools: EntryList[Pool] = field(default_factory=EntryList)
    hosts: EntryList[HostEntry] = field(default_factory=EntryList)
    tenants: EntryList[Tenant] = field(default_factory=EntryList)


@dataclass(frozen=True, slots=True)
class ParsedConfiguration:
    """A valid configuration, and the data that lets the next parse reuse its entries.

    Attributes:
        body: the parsed bytes.
        configuration: the resulting configuration.
        index: its entries by name.
        outline: the positions of its entries; None if the body was parsed non-incrementally.
    """

    body: bytes
    configuration: Configuration
    index: Index
    outline: Outline | None


class PreviousEntries(Generic[E]):
    """A list of the previous version, with a mark for each entry that the new version reuses.

    Args:
        entries: the list.
        base: the offset in the body to which the offsets of the list are relative.
    """

    def __init__(self, entries: EntryList[E], base: int = 0) -> None:
        self.entries = entries
        self.base = base
        self.reused = bytearray(len(entries.starts))  # 1 for each reused entry

    def mark_reused(self, first: int, last: int) -> None:
        """Mark entries `first` to `last` (exclusive) as reused."""
        self.reused[first:last] = b"\1" * (last - first)

    def removed(self) -> Iterator[int]:
        """Yield the positions of the entries that were not reused."""
        position = self.reused.find(0)
        while position >= 0:
            yield position
            position = self.reused.find(0, position + 1)
