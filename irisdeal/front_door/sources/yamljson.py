"""YAML and JSON files to plain values, with bounds: nothing in a file can take memory or time out of
proportion.

YAML is read as the JSON schema of YAML 1.2 reads it (YAML 1.2.2, 10.2): `no` and `on` are texts, dates are
texts, there are no merge keys and no tags. libyaml's parser gives events; the values are built here, so that
nesting, aliases and duplicate keys are checked while they are read. What is wrong is told with line and
column.
"""

from __future__ import annotations

import json
import re
from typing import Any

import yaml

MOST_BYTES = 64 * 1024 * 1024  # of one file; the largest public descriptions have 15 MB
MOST_DEPTH = 200  # of nesting: descriptions have 30 at most
MOST_ALIASES = 10_000
MOST_EXPANDED = 20_000_000  # values, with each alias counted as what it stands for
INT = re.compile(r"-?(0|[1-9][0-9]{0,400})")
FLOAT = re.compile(r"-?(0|[1-9][0-9]*)(\.[0-9]*)?([eE][-+]?[0-9]+)?")

TAGS = {"!", *(f"tag:yaml.org,2002:{name}" for name in ("str", "int", "float", "bool", "null", "seq", "map"))}

Parser = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class Malformed(ValueError):
    """A text that is neither; says where."""


def load(text: str, is_json: bool) -> Any:
    """The value of a file's text. Raises `Malformed`."""
    return load_json(text) if is_json else load_yaml(text)


def load_json(text: str) -> Any:
    """JSON (RFC 8259); a key that stands twice in an object is an error, since which one counts is open."""
    try:
        value = json.loads(text, object_pairs_hook=_object, parse_constant=_constant)
    except json.JSONDecodeError as error:
        raise Malformed(f"line {error.lineno}, column {error.colno}: {error.msg}") from None
    except RecursionError:
        raise Malformed("nested too deeply") from None
    except ValueError as error:  # a whole number of thousands of digits, a duplicate
        raise Malformed(str(error).partition(";")[0]) from None
    return value


def _object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = dict(pairs)
    if len(made) < len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise Malformed(f"key {key[:80]!r} stands twice in one object")
            seen.add(key)
    return made


def _constant(text: str) -> Any:
    raise Malformed(f"{text} is no JSON")


def load_yaml(text: str) -> Any:
    """One YAML document."""
    try:
        return _Builder(text).document()
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        where = f"line {mark.line + 1}, column {mark.column + 1}: " if mark else ""
        raise Malformed(where + " ".join(str(error.problem or error.context).split())) from None
    except yaml.YAMLError as error:  # a character that YAML does not know
        raise Malformed(" ".join(str(error).split())[:200]) from None


class _Builder:
    """Events to values."""

    def __init__(self, text: str) -> None:
        self.loader = Parser(text)
        self.anchors: dict[str, Any] = {}
        self.sizes: dict[int, int] = {}  # of aliased containers, by identity: values inside, aliases expanded
        self.open: set[str] = set()  # anchors whose value is still being read
        self.aliases = 0
        self.size = 0

    def _next(self) -> Any:
        return self.loader.get_event()

    def _wrong(self, event: Any, text: str) -> Malformed:
        mark = event.start_mark
        return Malformed(f"line {mark.line + 1}, column {mark.column + 1}: {text}")

    def document(self) -> Any:
        self._next()  # the stream's start
        event = self._next()
        if isinstance(event, yaml.StreamEndEvent):
            raise Malformed("empty")
        value = self._value(self._next(), 0)
        self._next()  # the document's end
        if not isinstance(event := self._next(), yaml.StreamEndEvent):
            raise self._wrong(event, "more than one document")
        return value

    def _value(self, event: Any, depth: int) -> Any:
        if depth > MOST_DEPTH:
            raise self._wrong(event, f"nested over {MOST_DEPTH} deep")
        if isinstance(event, yaml.AliasEvent):
            return self._alias(event)
        if event.tag is not None and event.tag not in TAGS:
            raise self._wrong(event, f"tag {event.tag[:80]}: wanted plain values")
        before, anchor = self.size, event.anchor
        self._grow(1, event)
        if anchor is not None:
            self.open.add(anchor)
        value: Any
        if isinstance(event, yaml.ScalarEvent):
            value = _scalar(event)
        elif isinstance(event, yaml.SequenceStartEvent):
            value = []
            while not isinstance(inner := self._next(), yaml.SequenceEndEvent):
                value.append(self._value(inner, depth + 1))
        else:
            value = self._mapping(depth)
        if anchor is not None:
            self.open.discard(anchor)
            self.anchors[anchor] = value
            self.sizes[id(value)] = self.size - before
        return value

    def _mapping(self, depth: int) -> dict[str, Any]:
        made: dict[str, Any] = {}
        while not isinstance(event := self._next(), yaml.MappingEndEvent):
            if not isinstance(event, yaml.ScalarEvent):
                raise self._wrong(event, "a key that is no plain text")
            key = event.value  # 200 and "200" are the same key in a description
            if key == "<<" and event.implicit[0]:
                raise self._wrong(event, "a merge key, which YAML 1.2 does not have")
            if key in made:
                raise self._wrong(event, f"key {key[:80]!r} stands twice in one mapping")
            made[key] = self._value(self._next(), depth + 1)
        return made

    def _alias(self, event: Any) -> Any:
        self.aliases += 1
        if self.aliases > MOST_ALIASES:
            raise self._wrong(event, f"over {MOST_ALIASES} aliases")
        if event.anchor in self.open:
            raise self._wrong(event, f"alias *{event.anchor} stands inside what it names")
        if event.anchor not in self.anchors:
            raise self._wrong(event, f"alias *{event.anchor} names nothing")
        value = self.anchors[event.anchor]
        self._grow(self.sizes.get(id(value), 1), event)
        return value

    def _grow(self, size: int, event: Any) -> None:
        self.size += size
        if self.size > MOST_EXPANDED:
            raise self._wrong(event, f"aliases expand to over {MOST_EXPANDED} values")


def _scalar(event: Any) -> Any:
    text: str = event.value
    if not event.implicit[0]:  # quoted, or tagged
        return text
    if text in _PLAIN:
        return _PLAIN[text]
    if text[:1] in "-0123456789":
        if INT.fullmatch(text):
            return int(text)
        if FLOAT.fullmatch(text):
            return float(text)
    return text


_PLAIN: dict[str, Any] = {
    "": None,
    "null": None,
    "~": None,
    "Null": None,
    "NULL": None,
    "true": True,
    "True": True,
    "TRUE": True,
    "false": False,
    "False": False,
    "FALSE": False,
}
