"""Parsing a configuration again only where it changed. No input or output here.

What is equal, byte for byte, is taken over from the previous version. The bytes of two versions are walked together
(`delta.align`). An entry of a list (a tenant, a pool, a rule of a host) is an object, and so ends where it ends
whatever stands around it: where its bytes are equal, its value is. New entries are parsed with `dacite`, and
validated as all entries are; what concerns several (names, keys and routes that are there twice, services that were
removed) is checked against the index.

Only a valid configuration comes out of this way. At the least doubt (an error, a key twice, bytes that are no
ASCII, another shape) the whole is parsed and validated in one go by `parse_configuration`, so that errors read the
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

PARSED_PER_PAUSE = 8  # entries parsed with dacite between two pauses, some 0.6 ms
MIN_EQUAL_BYTES = 64  # in a row that are worth a search for entries

ParseEntry = Callable[[int], Generator[None, None, tuple[E, int]]]  # offset of an entry -> its value and end


class EqualBytes(NamedTuple):
    """Bytes from an offset on that are equal in the previous body: where they stand there, and how many."""

    previous_offset: int
    length: int


NO_EQUAL_BYTES = EqualBytes(-1, 0)


class ListRead(NamedTuple):
    """A list that was read: all entries, the values that are new, and the offset of its end."""

    entries: EntryList[Any]
    new_values: list[Any]
    end: int


class _EntryReader:
    """Reads lists of entries of one body, beside the previous version."""

    def __init__(self, body: bytes, previous: ParsedConfiguration | None) -> None:
        self.cursor = JsonCursor(body)
        self.parsed = 0  # entries, with dacite
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
        """Return the bytes from here on that are equal in the previous body."""
        which = bisect_right(self.copy_offsets, offset) - 1
        if which < 0:
            return NO_EQUAL_BYTES
        base_offset, target_offset, length = self.copies[which]
        skipped = offset - target_offset
        return EqualBytes(base_offset + skipped, length - skipped) if skipped < length else NO_EQUAL_BYTES

    def read_list(
        self, offset: int, base: int, previous: PreviousEntries[E] | None, parse: ParseEntry[E]
    ) -> Generator[None, None, ListRead]:
        """Walk a list.

        Args:
            offset: of its begin.
            base: the offset from which the offsets of its entries count.
            previous: the list in the previous version; its entries that are equal are taken over.
            parse: reads the entry that begins at an offset.
        """
        cursor = self.cursor
        entries: EntryList[E] = EntryList()
        new_values: list[E] = []
        offset = cursor.expect(offset, "[")
        if cursor.has(offset, "]"):
            return ListRead(entries, new_values, offset + 1)
        while True:
            end = self._take_over(offset, base, previous, entries) if previous is not None else -1
            if end < 0:
                value, end = yield from parse(offset)
                entries.append(offset - base, end - base, value)
                new_values.append(value)
            offset = cursor.skip_blanks(end)
            if cursor.has(offset, "]"):
                return ListRead(entries, new_values, offset + 1)
            offset = cursor.expect(offset, ",")

    def _take_over(self, offset: int, base: int, previous: PreviousEntries[E], entries: EntryList[E]) -> int:
        """Take over all entries that are equal from here on; return where the last of them ends, or -1 for none."""
        previous_offset, length = self.equal_bytes(offset)
        if length <= 0:
            return -1
        previous_offset -= previous.base
        old = previous.entries
        first = bisect_left(old.starts, previous_offset)
        last = bisect_right(old.ends, previous_offset + length)
        if first >= last or old.starts[first] != previous_offset or 1 in previous.taken[first:last]:
            return -1
        previous.take(first, last)
        entries.extend_from(old, first, last, offset - base - previous_offset)
        return entries.ends[-1] + base

    def entry_parser(self, kind: type[E]) -> ParseEntry[E]:
        """Return what parses an entry of this type."""

        def parse(offset: int) -> Generator[None, None, tuple[E, int]]:
            """Return the entry at this offset, and the offset of its end."""
            self.parsed += 1
            if self.parsed % PARSED_PER_PAUSE == 0:
                yield
            data, end = self.cursor.decode(self.cursor.text, offset)
            if not isinstance(data, dict):
                raise UnsupportedShapeError("an entry that is no object")
            return parse_entry(kind, data), end

        return parse


class _HostParser:
    """Parses entries of `sockets`; what changed in their rules is noted in `changes`."""

    def __init__(
        self, reader: _EntryReader, previous: PreviousEntries[HostEntry], changes: IndexChanges
    ) -> None:
        self.reader = reader
        self.previous = previous
        self.changes = changes

    def parse(self, offset: int) -> Generator[None, None, tuple[HostEntry, int]]:
        """Return the host that begins at this offset, and the offset of its end."""
        reader, hostname = self.reader, ""
        rules: ListRead | None = None
        found = self._take_previous(offset)
        previous_rules = PreviousEntries(found[0].rules, found[1]) if found is not None else None

        def read_value(key: str, at: int) -> Generator[None, None, int]:
            """Read what a key of the host has; return the offset of its end."""
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
            raise UnsupportedShapeError("a socket without hostname or rules")
        self.changes.added_rules += [(hostname, rule) for rule in rules.new_values]
        if found is not None and previous_rules is not None:
            self._record_changes(found[0], previous_rules, hostname)
        return HostEntry(Socket(hostname, tuple(rules.entries.values)), rules.entries), end

    def _take_previous(self, offset: int) -> tuple[HostEntry, int] | None:
        """Return the entry of the previous version that this one follows, and its offset; None where there is none.

        It is taken over here, but for what is not equal.
        """
        previous_offset, length = self.reader.equal_bytes(offset)
        if length <= 0:
            return None
        old = self.previous.entries
        which = bisect_right(old.starts, previous_offset) - 1
        if which < 0 or previous_offset >= old.ends[which] or self.previous.taken[which]:
            return None
        self.previous.take(which, which + 1)
        return old.values[which], old.starts[which]

    def _record_changes(self, previous: HostEntry, rules: PreviousEntries[Rule], hostname: str) -> None:
        """Note the rules that were removed, and those that stand under another hostname now."""
        old_name, old_rules = previous.socket.hostname, previous.socket.rules
        self.changes.removed_rules += [(old_name, old_rules[position]) for position in rules.removed()]
        if old_name.lower() != hostname.lower():
            moved = [rule for position, rule in enumerate(old_rules) if rules.taken[position]]
            self.changes.removed_rules += [(old_name, rule) for rule in moved]
            self.changes.added_rules += [(hostname, rule) for rule in moved]


def _checked_hostname(data: object) -> str:
    if not isinstance(data, str) or validate_hostname(data):
        raise UnsupportedShapeError("hostname")
    return data


class _ConfigurationReader:
    """Reads one body beside the previous version. `changes` says what differs, once all was read."""

    def __init__(self, body: bytes, previous: ParsedConfiguration | None) -> None:
        self.reader = _EntryReader(body, previous)
        self.changes = IndexChanges()
        self.has_outline = self.reader.outline is not None
        outline = self.reader.outline or Outline()
        self.pools = PreviousEntries(outline.pools)
        self.hosts = PreviousEntries(outline.hosts)
        self.tenants = PreviousEntries(outline.tenants)
        self.lists = {name: ListRead(EntryList(), [], 0) for name in ("pools", "sockets", "tenants")}
        self.fields: dict[str, Any] = {}  # by key, as far as they were read

    def read(self) -> Generator[None, None, tuple[Configuration, Outline]]:
        """Return the configuration and where its entries stand; pauses now and then."""
        cursor = self.reader.cursor
        end = yield from cursor.walk_object(0, self._read_value)
        if cursor.skip_blanks(end) != len(cursor.text):
            raise UnsupportedShapeError("more after the end")
        fields = self.fields
        generation_number(fields.get("generation"))
        if "sockets" not in fields or "pools" not in fields:
            raise UnsupportedShapeError("a list is missing")
        limits = parse_entry(Limits, fields["limits"]) if "limits" in fields else Limits()
        self._record_changes()
        pools, hosts, tenants = (self.lists[name].entries for name in ("pools", "sockets", "tenants"))
        sockets = tuple(host.socket for host in hosts.values)
        return (
            Configuration(fields["generation"], sockets, fields["pools"], fields.get("tenants"), limits),
            Outline(pools, hosts, tenants),
        )

    def _read_value(self, key: str, offset: int) -> Generator[None, None, int]:
        """Read what a key of the configuration has; return the offset of its end."""
        cursor = self.reader.cursor
        if key in self.lists and cursor.has(offset, "["):
            self.lists[key] = found = yield from self._read_list(key, offset)
            self.fields[key] = tuple(found.entries.values)
            yield
            return found.end
        data, end = cursor.decode(cursor.text, offset)
        if key in ("pools", "sockets") or (key == "tenants" and data is not None):
            raise UnsupportedShapeError(f"{key}: no list")
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
        """Note what was removed and added; rules of hosts that go on were noted as these were parsed."""
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
    """Check new entries, and that those that stayed name no service that was removed.

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
    """Validate the entries that are new."""
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
    """Return the valid configuration in these bytes, or what makes it invalid; pauses each ms or so.

    What has another shape, or is invalid, is parsed in one go, without pauses.

    Args:
        body: the bytes.
        previous: the last valid configuration, from which equal entries are taken over.
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
        pass  # what is wrong is said below, by the parsing in one go
    yield
    complete = parse_configuration(body)
    if isinstance(complete, Failure):
        return Failure(complete.failure())
    configuration = complete.unwrap()
    index = yield from Index().apply_changes(IndexChanges.all_of(configuration))
    return Success(ParsedConfiguration(body, configuration, index, None))
