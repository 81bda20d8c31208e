"""Incremental parsing: only the changed entries of a configuration are parsed. No I/O.

Entries that are byte-identical in the previous version are reused. `delta.align` finds the equal bytes of the two
versions. An entry of a list (a tenant, a pool, a rule of a host) is a JSON object, whose end does not depend on the
surrounding text: equal bytes mean an equal value. New entries are parsed with `dacite` and validated like all
entries; conditions across entries (duplicate names, keys and routes, references to removed services) are checked
against the index.

Only valid configurations result from this path. In all other cases (an error, a duplicate key, non-ASCII bytes, an
unsupported shape) `parse_configuration` parses and validates the complete body, so that error messages are the
same.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Generator
from typing import Any, NamedTuple, TypeVar

import dacite
from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration.delta import DeltaStep, align
from irisdeal.config_store.configuration.index import Index, IndexChanges
from irisdeal.config_store.configuration.json_cursor import JsonCursor, UnsupportedShapeError
from irisdeal.config_store.configuration.model import Configuration, Limits, Pool, Rule, Socket, Tenant
from irisdeal.config_store.configuration.outline import (
    EntryList,
    HostEntry,
    Outline,
    ParsedConfiguration,
    PreviousEntries,
)
from irisdeal.config_store.configuration.parsing import parse_configuration, parse_entry
from irisdeal.config_store.configuration.stepwise import ENTRIES_PER_PAUSE
from irisdeal.config_store.configuration.validation import validate_hostname, validate_rule, validate_tenant
from irisdeal.config_store.configuration.version import generation_number
from irisdeal.runtime.errors import OperationError

E = TypeVar("E")

PARSED_PER_PAUSE = 8  # entries parsed with dacite between two yields, about 0.6 ms
MIN_EQUAL_BYTES = 64  # shorter equal runs are not searched for reusable entries

ParseEntry = Callable[[int], Generator[None, None, tuple[E, int]]]  # start of an entry -> its value and end


class EqualBytes(NamedTuple):
    """A run of bytes that is equal in the previous body: its offset there and its length."""

    previous_offset: int
    length: int


NO_EQUAL_BYTES = EqualBytes(-1, 0)


class ListRead(NamedTuple):
    """A parsed list: all entries, the values of new entries, and the end offset."""

    entries: EntryList[Any]
    new_values: list[Any]
    end: int


class _EntryReader:
    """Reads lists of entries of one body, reusing entries of the previous version."""

    def __init__(self, body: bytes, previous: ParsedConfiguration | None) -> None:
        self.cursor = JsonCursor(body)
        self.parsed_count = 0  # entries parsed with dacite
        self.outline = previous.outline if previous is not None else None
        self.copies: list[DeltaStep] = []
        if previous is not None and self.outline is not None:
            self.copies = [
                step
                for step in align(previous.body, body)
                if step.base_offset >= 0 and step.length >= MIN_EQUAL_BYTES
            ]
        self.copy_offsets = [step.target_offset for step in self.copies]

    def equal_bytes(self, offset: int) -> EqualBytes:
        """Return the equal bytes of the previous body that start at this offset."""
        index = bisect_right(self.copy_offsets, offset) - 1
        if index < 0:
            return NO_EQUAL_BYTES
        base_offset, target_offset, length = self.copies[index]
        skipped = offset - target_offset
        return EqualBytes(base_offset + skipped, length - skipped) if skipped < length else NO_EQUAL_BYTES

    def read_list(
        self, offset: int, base: int, previous: PreviousEntries[E] | None, parse: ParseEntry[E]
    ) -> Generator[None, None, ListRead]:
        """Walk a list.

        Args:
            offset: start of the list.
            base: the offset to which the offsets of its entries are relative.
            previous: the list in the previous version, whose equal entries are reused.
            parse: parses the entry that starts at an offset.
        """
        cursor = self.cursor
        entries: EntryList[E] = EntryList()
        new_values: list[E] = []
        offset = cursor.expect(offset, "[")
        if cursor.has(offset, "]"):
            return ListRead(entries, new_values, offset + 1)
        while True:
            end = self._reuse_entries(offset, base, previous, entries) if previous is not None else -1
            if end < 0:
                value, end = yield from parse(offset)
                entries.append(offset - base, end - base, value)
                new_values.append(value)
            offset = cursor.skip_blanks(end)
            if cursor.has(offset, "]"):
                return ListRead(entries, new_values, offset + 1)
            offset = cursor.expect(offset, ",")

    def _reuse_entries(
        self, offset: int, base: int, previous: PreviousEntries[E], entries: EntryList[E]
    ) -> int:
        """Reuse all equal entries from this offset on; return the end offset of the last one, or -1."""
        previous_offset, length = self.equal_bytes(offset)
        if length <= 0:
            return -1
        previous_offset -= previous.base
        old = previous.entries
        first = bisect_left(old.starts, previous_offset)
        last = bisect_right(old.ends, previous_offset + length)
        if first >= last or old.starts[first] != previous_offset or 1 in previous.reused[first:last]:
            return -1
        previous.mark_reused(first, last)
        entries.extend_from(old, first, last, offset - base - previous_offset)
        return entries.ends[-1] + base

    def entry_parser(self, kind: type[E]) -> ParseEntry[E]:
        """Return a parser for entries of this type."""

        def parse(offset: int) -> Generator[None, None, tuple[E, int]]:
            """Return the entry at this offset, and its end offset."""
            self.parsed_count += 1
            if self.parsed_count % PARSED_PER_PAUSE == 0:
                yield
            data, end = self.cursor.decode(self.cursor.text, offset)
            if not isinstance(data, dict):
                raise UnsupportedShapeError("entry is not an object")
            return parse_entry(kind, data), end

        return parse


class _HostParser:
    """Parses entries of `sockets`, and records changes of their rules in `changes`."""

    def __init__(
        self, reader: _EntryReader, previous: PreviousEntries[HostEntry], changes: IndexChanges
    ) -> None:
        self.reader = reader
        self.previous = previous
        self.changes = changes

    def parse(self, offset: int) -> Generator[None, None, tuple[HostEntry, int]]:
        """Return the host that starts at this offset, and its end offset."""
        reader, hostname = self.reader, ""
        rules: ListRead | None = None
        previous_host = self._reuse_previous(offset)
        previous_rules = (
            PreviousEntries(previous_host[0].rules, previous_host[1]) if previous_host is not None else None
        )

        def read_value(key: str, at: int) -> Generator[None, None, int]:
            """Read the value of a key of the host; return its end offset."""
            nonlocal hostname, rules
            if key == "rules":
                rules = yield from reader.read_list(at, offset, previous_rules, reader.entry_parser(Rule))
                return rules.end
            data, end = reader.cursor.decode(reader.cursor.text, at)
            if key == "hostname":
                hostname = _checked_hostname(data)
            return end

        end = yield from reader.cursor.walk_object(offset, read_value)
        if not hostname or rules is None:
            raise UnsupportedShapeError("socket has no hostname or no rules")
        self.changes.added_rules += [(hostname, rule) for rule in rules.new_values]
        if previous_host is not None and previous_rules is not None:
            self._record_changes(previous_host[0], previous_rules, hostname)
        return HostEntry(Socket(hostname, tuple(rules.entries.values)), rules.entries), end

    def _reuse_previous(self, offset: int) -> tuple[HostEntry, int] | None:
        """Return the entry of the previous version at the equal bytes, and its offset; None if there is none.

        It is marked as reused; `_record_changes` records the rules that differ.
        """
        previous_offset, length = self.reader.equal_bytes(offset)
        if length <= 0:
            return None
        old = self.previous.entries
        index = bisect_right(old.starts, previous_offset) - 1
        if index < 0 or previous_offset >= old.ends[index] or self.previous.reused[index]:
            return None
        self.previous.mark_reused(index, index + 1)
        return old.values[index], old.starts[index]

    def _record_changes(self, previous: HostEntry, rules: PreviousEntries[Rule], hostname: str) -> None:
        """Record the rules that were removed, and those that moved to another hostname."""
        old_name, old_rules = previous.socket.hostname, previous.socket.rules
        self.changes.removed_rules += [(old_name, old_rules[position]) for position in rules.removed()]
        if old_name.lower() != hostname.lower():
            moved = [rule for position, rule in enumerate(old_rules) if rules.reused[position]]
            self.changes.removed_rules += [(old_name, rule) for rule in moved]
            self.changes.added_rules += [(hostname, rule) for rule in moved]


def _checked_hostname(data: object) -> str:
    if not isinstance(data, str) or validate_hostname(data):
        raise UnsupportedShapeError("invalid hostname")
    return data


class _ConfigurationReader:
    """Reads one body, reusing the previous version. `changes` has the differences once `read` is complete."""

    def __init__(self, body: bytes, previous: ParsedConfiguration | None) -> None:
        self.reader = _EntryReader(body, previous)
        self.changes = IndexChanges()
        self.has_outline = self.reader.outline is not None
        outline = self.reader.outline or Outline()
        self.pools = PreviousEntries(outline.pools)
        self.hosts = PreviousEntries(outline.hosts)
        self.tenants = PreviousEntries(outline.tenants)
        self.lists = {name: ListRead(EntryList(), [], 0) for name in ("pools", "sockets", "tenants")}
        self.fields: dict[str, Any] = {}  # values by key, as far as read

    def read(self) -> Generator[None, None, tuple[Configuration, Outline]]:
        """Return the configuration and the positions of its entries; yields periodically."""
        cursor = self.reader.cursor
        end = yield from cursor.walk_object(0, self._read_value)
        if cursor.skip_blanks(end) != len(cursor.text):
            raise UnsupportedShapeError("text after the end of the object")
        fields = self.fields
        generation_number(fields.get("generation"))
        if "sockets" not in fields or "pools" not in fields:
            raise UnsupportedShapeError("pools or sockets are missing")
        limits = parse_entry(Limits, fields["limits"]) if "limits" in fields else Limits()
        self._record_changes()
        pools, hosts, tenants = (self.lists[name].entries for name in ("pools", "sockets", "tenants"))
        sockets = tuple(host.socket for host in hosts.values)
        return (
            Configuration(fields["generation"], sockets, fields["pools"], fields.get("tenants"), limits),
            Outline(pools, hosts, tenants),
        )

    def _read_value(self, key: str, offset: int) -> Generator[None, None, int]:
        """Read the value of a key of the configuration; return its end offset."""
        cursor = self.reader.cursor
        if key in self.lists and cursor.has(offset, "["):
            self.lists[key] = found = yield from self._read_list(key, offset)
            self.fields[key] = tuple(found.entries.values)
            yield
            return found.end
        data, end = cursor.decode(cursor.text, offset)
        if key in ("pools", "sockets") or (key == "tenants" and data is not None):
            raise UnsupportedShapeError(f"{key}: not a list")
        self.fields[key] = data
        return end

    def _read_list(self, key: str, offset: int) -> Generator[None, None, ListRead]:
        reader = self.reader
        if key == "pools":
            return (yield from reader.read_list(offset, 0, self.pools, reader.entry_parser(Pool)))
        if key == "tenants":
            return (yield from reader.read_list(offset, 0, self.tenants, reader.entry_parser(Tenant)))
        hosts = _HostParser(reader, self.hosts, self.changes)
        return (yield from reader.read_list(offset, 0, self.hosts, hosts.parse))

    def _record_changes(self) -> None:
        """Record removed and added entries; rules of retained hosts were recorded when their hosts were parsed."""
        changes = self.changes
        for position in self.hosts.removed():
            socket = self.hosts.entries.values[position].socket
            changes.removed_rules += [(socket.hostname, rule) for rule in socket.rules]
        changes.removed_pools = [self.pools.entries.values[position] for position in self.pools.removed()]
        changes.removed_tenants = [
            self.tenants.entries.values[position] for position in self.tenants.removed()
        ]
        changes.added_pools = self.lists["pools"].new_values
        changes.added_tenants = self.lists["tenants"].new_values


def _check(configuration: Configuration, index: Index, changes: IndexChanges) -> Generator[None, None, None]:
    """Validate new entries, and check that reused rules do not refer to removed services.

    Raises:
        UnsupportedShapeError: an entry is invalid.
    """
    yield from _check_added(index, changes)
    removed = {pool.name for pool in changes.removed_pools if pool.name not in index.pools}
    for socket in configuration.sockets if removed else ():
        yield
        for rule in socket.rules:
            if any(share.service in removed for share in rule.shares()):
                raise UnsupportedShapeError(f"rule {rule.name!r}")


def _check_added(index: Index, changes: IndexChanges) -> Generator[None, None, None]:
    """Validate the new entries."""
    for count, (_, rule) in enumerate(changes.added_rules):
        if count % ENTRIES_PER_PAUSE == ENTRIES_PER_PAUSE - 1:
            yield
        if validate_rule(rule, index.pools):
            raise UnsupportedShapeError(f"rule {rule.name!r}")
    for count, tenant in enumerate(changes.added_tenants):
        if count % ENTRIES_PER_PAUSE == ENTRIES_PER_PAUSE - 1:
            yield
        if validate_tenant(tenant):
            raise UnsupportedShapeError(f"tenant {tenant.name!r}")


def read_incrementally(
    body: bytes, previous: ParsedConfiguration | None
) -> Generator[None, None, Result[ParsedConfiguration, OperationError]]:
    """Return the valid configuration in these bytes, or the error that lists its faults; yields about every ms.

    A body that is invalid or has an unsupported shape is parsed non-incrementally, without yielding.

    Args:
        body: the bytes.
        previous: the last valid configuration, whose equal entries are reused.
    """
    if previous is not None and previous.body == body:
        return Success(previous)
    try:
        reader = _ConfigurationReader(body, previous)
        yield
        configuration, outline = yield from reader.read()
        base = previous.index if previous is not None and reader.has_outline else Index()
        yield
        index = yield from base.apply_changes(reader.changes)
        yield from _check(configuration, index, reader.changes)
        return Success(ParsedConfiguration(body, configuration, index, outline))
    except (dacite.DaciteError, ValueError, TypeError, KeyError, AttributeError, RecursionError):
        pass  # the complete parse below reports the error
    yield
    complete = parse_configuration(body)
    if isinstance(complete, Failure):
        return Failure(complete.failure())
    configuration = complete.unwrap()
    index = yield from Index().apply_changes(IndexChanges.all_of(configuration))
    return Success(ParsedConfiguration(body, configuration, index, None))
