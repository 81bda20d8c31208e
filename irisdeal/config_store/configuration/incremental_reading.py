"""Reading a configuration anew only where it changed: what is alike, byte for byte, is taken over from the reading
before. No input or output here.

The bytes of two versions are walked together (`difference.walk`). An entry of a list (a tenant, a pool, a rule of
a host) is an object, and so ends where it ends whatever stands around it: where its bytes are alike, its value is.
New entries are read with `dacite`, and checked as all entries are; what concerns several (names, keys and places
that are there twice, services that are gone) is checked against the index.

Only a valid configuration comes out of this way. At the least oddness (a fault, a key twice, bytes that are no
ASCII, another shape) the whole is read and checked at once, so that faults are told as ever; `read_whole` is the
measure.
"""

from __future__ import annotations

import json
import re
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field
from typing import Any

import dacite
from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration.difference import walk
from irisdeal.config_store.configuration.index import STEP, Changes, Index
from irisdeal.config_store.configuration.schema import (
    READING,
    Configuration,
    Limits,
    Pool,
    Rule,
    Socket,
    Tenant,
    host_faults,
    read_whole,
    rule_faults,
    tenant_faults,
)
from irisdeal.config_store.configuration.version import number
from irisdeal.runtime.errors import OperationError

BLANK = re.compile(r"[ \t\n\r]*")
EACH = 8  # entries read with dacite between two pauses, some 0.6 ms
LEAST_ALIKE = 64  # bytes alike in a row that are worth a look


class Odd(ValueError):
    """Not the usual shape: the whole is read at once."""


@dataclass(slots=True)
class Entries:
    """The entries of one list: where each begins and ends, counted from `base` of who asks, and its value."""

    starts: list[int] = field(default_factory=list)
    ends: list[int] = field(default_factory=list)
    values: list[Any] = field(default_factory=list)

    def add(self, start: int, end: int, value: Any) -> None:
        self.starts.append(start)
        self.ends.append(end)
        self.values.append(value)


@dataclass(frozen=True, slots=True)
class Host:
    """One entry of `sockets`: places of its rules count from its begin."""

    socket: Socket
    rules: Entries


@dataclass(frozen=True, slots=True)
class Outline:
    """Where the entries of a body are."""

    pools: Entries = field(default_factory=Entries)
    hosts: Entries = field(default_factory=Entries)
    tenants: Entries = field(default_factory=Entries)


@dataclass(frozen=True, slots=True)
class Reading:
    """A valid configuration, and what the next reading takes over. `outline`: None where the body was odd."""

    body: bytes
    configuration: Configuration
    index: Index
    outline: Outline | None


class _Old:
    """The list of the version before, and which of its entries were taken over."""

    def __init__(self, entries: Entries, base: int = 0) -> None:
        self.entries, self.base = entries, base
        self.taken = bytearray(len(entries.starts))

    def left(self) -> Iterator[int]:
        """Those that were not taken over."""
        at = self.taken.find(0)
        while at >= 0:
            yield at
            at = self.taken.find(0, at + 1)


class _Scan:
    """One pass over a body beside the reading before."""

    def __init__(self, body: bytes, before: Reading | None) -> None:
        if not body.isascii():
            raise Odd("bytes beyond ASCII: places of bytes and of characters differ")
        self.text = body.decode("ascii")
        self.decode = json.JSONDecoder().raw_decode
        self.read = 0
        self.outline = before.outline if before is not None else None
        runs = (
            [run for run in walk(before.body, body) if run[0] >= 0 and run[2] >= LEAST_ALIKE]
            if (before is not None and self.outline is not None)
            else []
        )
        self.places = [to for _, to, _ in runs]
        self.runs = runs
        self.changes = Changes()

    # The text

    def skip(self, at: int) -> int:
        found = BLANK.match(self.text, at)
        assert found is not None
        return found.end()

    def expect(self, at: int, wanted: str) -> int:
        """The place after it and blanks."""
        at = self.skip(at)
        if self.text[at : at + 1] != wanted:
            raise Odd(f"at {at}: wanted {wanted}")
        return self.skip(at + 1)

    def members(
        self,
        at: int,
        value: Callable[[str, int], Generator[None, None, int]],
    ) -> Generator[None, None, int]:
        """Walk an object: `value` reads what a key has from a place on and says where it ends; where all ends."""
        at, seen = self.expect(at, "{"), set()
        if self.text[at : at + 1] == "}":
            return at + 1
        while True:
            key, at = self.decode(self.text, at)
            if not isinstance(key, str) or key in seen:
                raise Odd("a key twice, or none")
            seen.add(key)
            at = self.skip((yield from value(key, self.expect(at, ":"))))
            if self.text[at : at + 1] == "}":
                return at + 1
            at = self.expect(at, ",")

    def alike(self, at: int) -> tuple[int, int]:
        """The place in the body before where the bytes from here on are alike, and how many; (-1, 0) for none."""
        which = bisect_right(self.places, at) - 1
        if which < 0:
            return -1, 0
        old, to, count = self.runs[which]
        return (old + at - to, to + count - at) if at < to + count else (-1, 0)

    def items(
        self,
        at: int,
        base: int,
        old: _Old | None,
        make: Callable[[int], Generator[None, None, tuple[Any, int]]],
    ) -> Generator[None, None, tuple[Entries, list[Any], int]]:
        """Walk a list: its entries, the values of those that are new, and where it ends. Places count from `base`.

        `make` reads the entry that begins at a place, and says where it ends.
        """
        entries, new = Entries(), list[Any]()
        at = self.expect(at, "[")
        if self.text[at : at + 1] == "]":
            return entries, new, at + 1
        while True:
            end = self._take(at, base, old, entries) if old is not None else -1
            if end < 0:
                value, end = yield from make(at)
                entries.add(at - base, end - base, value)
                new.append(value)
            at = self.skip(end)
            if self.text[at : at + 1] == "]":
                return entries, new, at + 1
            at = self.expect(at, ",")

    def _take(self, at: int, base: int, old: _Old, entries: Entries) -> int:
        """Take over all entries that are alike from here on: where the last of them ends, or -1."""
        place, room = self.alike(at)
        if room <= 0:
            return -1
        place -= old.base
        first = bisect_left(old.entries.starts, place)
        last = bisect_right(old.entries.ends, place + room)
        if first >= last or old.entries.starts[first] != place or 1 in old.taken[first:last]:
            return -1
        old.taken[first:last] = b"\1" * (last - first)
        shift = at - base - place
        entries.starts += [start + shift for start in old.entries.starts[first:last]]
        entries.ends += [end + shift for end in old.entries.ends[first:last]]
        entries.values += old.entries.values[first:last]
        return entries.ends[-1] + base

    # The entries

    def entry(self, kind: type) -> Callable[[int], Generator[None, None, tuple[Any, int]]]:
        def make(at: int) -> Generator[None, None, tuple[Any, int]]:
            self.read += 1
            if self.read % EACH == 0:
                yield
            data, end = self.decode(self.text, at)
            if not isinstance(data, dict):
                raise Odd("an entry that is no object")
            return dacite.from_dict(kind, data, READING), end

        return make

    def host(self, old: _Old | None) -> Callable[[int], Generator[None, None, tuple[Any, int]]]:
        def make(at: int) -> Generator[None, None, tuple[Any, int]]:
            begun, name = at, ""
            before = self._host_before(at, old)
            rules: tuple[Entries, list[Rule]] | None = None
            old_rules = _Old(before[0].rules, before[1]) if before is not None else None

            def value(key: str, at: int) -> Generator[None, None, int]:
                nonlocal name, rules
                if key == "rules":
                    entries, new, end = yield from self.items(at, begun, old_rules, self.entry(Rule))
                    rules = entries, new
                    return end
                data, end = self.decode(self.text, at)
                if key == "hostname":
                    if not isinstance(data, str) or host_faults(data):
                        raise Odd("hostname")
                    name = data
                return end

            end = yield from self.members(at, value)
            if not name or rules is None:
                raise Odd("a socket without hostname or rules")
            entries, new = rules
            self.changes.new_rules += [(name, rule) for rule in new]
            if before is not None and old_rules is not None:
                self._host_after(before[0], old_rules, name)
            return Host(Socket(name, tuple(entries.values)), entries), end

        return make

    def _host_before(self, at: int, old: _Old | None) -> tuple[Host, int] | None:
        """The entry that this one follows, and where it began; taken over here, but for what is not alike."""
        place, room = self.alike(at)
        if old is None or room <= 0:
            return None
        which = bisect_right(old.entries.starts, place) - 1
        if which < 0 or place >= old.entries.ends[which] or old.taken[which]:
            return None
        old.taken[which] = 1
        return old.entries.values[which], old.entries.starts[which]

    def _host_after(self, before: Host, old_rules: _Old, name: str) -> None:
        was, rules = before.socket.hostname, before.socket.rules
        self.changes.gone_rules += [(was, rules[index]) for index in old_rules.left()]
        if was.lower() != name.lower():
            moved = [rule for index, rule in enumerate(rules) if old_rules.taken[index]]
            self.changes.gone_rules += [(was, rule) for rule in moved]
            self.changes.new_rules += [(name, rule) for rule in moved]

    # The whole

    def configuration(self) -> Generator[None, None, tuple[Configuration, Outline]]:
        parts: dict[str, Any] = {}
        lists = {"pools": Entries(), "sockets": Entries(), "tenants": Entries()}
        outline = self.outline
        pools = _Old(outline.pools if outline else Entries())
        hosts = _Old(outline.hosts if outline else Entries())
        tenants = _Old(outline.tenants if outline else Entries())
        new: dict[str, list[Any]] = {"pools": [], "sockets": [], "tenants": []}
        makes = {
            "pools": (pools, self.entry(Pool)),
            "sockets": (hosts, self.host(hosts)),
            "tenants": (tenants, self.entry(Tenant)),
        }

        def value(key: str, at: int) -> Generator[None, None, int]:
            if key in makes and self.text[at : at + 1] == "[":
                old, make = makes[key]
                lists[key], new[key], end = yield from self.items(at, 0, old, make)
                parts[key] = tuple(lists[key].values)
                yield
                return end
            data, end = self.decode(self.text, at)
            if key in ("pools", "sockets") or (key == "tenants" and data is not None):
                raise Odd(f"{key}: no list")
            parts[key] = data
            return end

        end = yield from self.members(0, value)
        if self.skip(end) != len(self.text):
            raise Odd("more after the end")
        number(parts.get("generation"))
        if "sockets" not in parts or "pools" not in parts:
            raise Odd("not all there")
        limits = dacite.from_dict(Limits, parts["limits"], READING) if "limits" in parts else Limits()
        changes = self.changes
        for which in hosts.left():
            socket = hosts.entries.values[which].socket
            changes.gone_rules += [(socket.hostname, rule) for rule in socket.rules]
        changes.gone_pools = [pools.entries.values[which] for which in pools.left()]
        changes.gone_tenants = [tenants.entries.values[which] for which in tenants.left()]
        changes.new_pools, changes.new_tenants = new["pools"], new["tenants"]
        sockets = tuple(host.socket for host in lists["sockets"].values)
        return (
            Configuration(parts["generation"], sockets, parts["pools"], parts.get("tenants"), limits),
            Outline(lists["pools"], lists["sockets"], lists["tenants"]),
        )


def _check(configuration: Configuration, index: Index, changes: Changes) -> Generator[None, None, None]:
    """Odd where a new entry has a fault, or one that stayed names a service that is gone."""
    for count, (_, rule) in enumerate(changes.new_rules):
        if count % STEP == STEP - 1:
            yield
        if rule_faults(rule, index.pools):
            raise Odd(f"rule {rule.name!r}")
    for count, tenant in enumerate(changes.new_tenants):
        if count % STEP == STEP - 1:
            yield
        if tenant_faults(tenant):
            raise Odd(f"tenant {tenant.name!r}")
    gone = {pool.name for pool in changes.gone_pools if pool.name not in index.pools}
    for socket in configuration.sockets if gone else ():
        yield
        for rule in socket.rules:
            if any(share.service in gone for share in rule.shares()):
                raise Odd(f"rule {rule.name!r}")


def reading(body: bytes, before: Reading | None) -> Generator[None, None, Result[Reading, OperationError]]:
    """The reading of a valid configuration, or what makes it invalid; pauses each ms or so.

    Only what is odd, or invalid, is read in one go.
    """
    if before is not None and before.body == body:
        return Success(before)
    try:
        scan = _Scan(body, before)
        yield
        configuration, outline = yield from scan.configuration()
        based = before.index if before is not None and scan.outline is not None else Index()
        yield
        index = yield from based.changing(scan.changes)
        yield from _check(configuration, index, scan.changes)
        return Success(Reading(body, configuration, index, outline))
    except (dacite.DaciteError, ValueError, TypeError, KeyError, AttributeError, RecursionError):
        pass  # Odd, Clash, or no JSON: told by the whole reading
    yield
    whole = read_whole(body)
    if isinstance(whole, Failure):
        return Failure(whole.failure())
    configuration = whole.unwrap()
    index = yield from Index().changing(Changes.all_of(configuration))
    return Success(Reading(body, configuration, index, None))
