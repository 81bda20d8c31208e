"""Load YAML and JSON files into plain values, with limits on the memory and time that a file can use.

YAML follows the JSON schema of YAML 1.2 (YAML 1.2.2, 10.2): `no`, `on` and dates are strings, and there are
no merge keys and no tags. libyaml parses events, and this module builds the values, so that nesting, aliases
and duplicate keys are checked during reading. Errors have line and column.
"""

from __future__ import annotations

import json
import re
from typing import Any

import yaml

MAX_INPUT_BYTES = 64 * 1024 * 1024  # of all files of a description; the largest public ones have 15 MB
MAX_DEPTH = 200  # levels of nesting; descriptions have at most 30
MAX_ALIASES = 10_000
MAX_EXPANDED_VALUES = 20_000_000  # an alias counts as all the values that it refers to
INT_PATTERN = re.compile(r"-?(0|[1-9][0-9]{0,400})")
FLOAT_PATTERN = re.compile(r"-?(0|[1-9][0-9]*)(\.[0-9]*)?([eE][-+]?[0-9]+)?")

ALLOWED_TAGS = {
    "!",
    *(f"tag:yaml.org,2002:{name}" for name in ("str", "int", "float", "bool", "null", "seq", "map")),
}

Parser = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class MalformedInputError(ValueError):
    """A text is not valid YAML or JSON, or exceeds a limit; the message has the position."""


def load(text: str, is_json: bool) -> Any:
    """Parse the text of a file. Raises `MalformedInputError`."""
    return load_json(text) if is_json else load_yaml(text)


def load_json(text: str) -> Any:
    """Parse JSON (RFC 8259). A duplicate key in an object is an error, because its meaning is undefined."""
    try:
        value = json.loads(text, object_pairs_hook=_build_object, parse_constant=_reject_constant)
    except json.JSONDecodeError as error:
        raise MalformedInputError(f"line {error.lineno}, column {error.colno}: {error.msg}") from None
    except RecursionError:
        raise MalformedInputError("nested too deeply") from None
    except ValueError as error:  # an integer of thousands of digits, or a duplicate key
        raise MalformedInputError(str(error).partition(";")[0]) from None
    return value


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) < len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise MalformedInputError(f"duplicate key {key[:80]!r} in one object")
            seen.add(key)
    return result


def _reject_constant(text: str) -> Any:
    raise MalformedInputError(f"{text} is not JSON")


def load_yaml(text: str) -> Any:
    """Parse a text with one YAML document. Raises `MalformedInputError`."""
    try:
        return _Builder(text).read_document()
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        where = f"line {mark.line + 1}, column {mark.column + 1}: " if mark else ""
        raise MalformedInputError(where + " ".join(str(error.problem or error.context).split())) from None
    except yaml.YAMLError as error:  # a character that YAML does not allow
        raise MalformedInputError(" ".join(str(error).split())[:200]) from None


class _Builder:
    """Builds values from parser events."""

    def __init__(self, text: str) -> None:
        self.loader = Parser(text)
        self.anchors: dict[str, Any] = {}
        # By `id` of an anchored value: the number of values in it, aliases expanded.
        self.value_counts: dict[int, int] = {}
        self.open_anchors: set[str] = set()  # anchors whose value is still incomplete
        self.alias_count = 0
        self.value_count = 0

    def _next_event(self) -> Any:
        return self.loader.get_event()

    def _error(self, event: Any, text: str) -> MalformedInputError:
        mark = event.start_mark
        return MalformedInputError(f"line {mark.line + 1}, column {mark.column + 1}: {text}")

    def read_document(self) -> Any:
        self._next_event()  # start of the stream
        event = self._next_event()
        if isinstance(event, yaml.StreamEndEvent):
            raise MalformedInputError("empty")
        value = self._read_value(self._next_event(), 0)
        self._next_event()  # end of the document
        if not isinstance(event := self._next_event(), yaml.StreamEndEvent):
            raise self._error(event, "more than one document")
        return value

    def _read_value(self, event: Any, depth: int) -> Any:
        if depth > MAX_DEPTH:
            raise self._error(event, f"nested over {MAX_DEPTH} deep")
        if isinstance(event, yaml.AliasEvent):
            return self._read_alias(event)
        if event.tag is not None and event.tag not in ALLOWED_TAGS:
            raise self._error(event, f"tag {event.tag[:80]}: wanted plain values")
        before, anchor = self.value_count, event.anchor
        self._count_values(1, event)
        if anchor is not None:
            self.open_anchors.add(anchor)
        value: Any
        if isinstance(event, yaml.ScalarEvent):
            value = _scalar_value(event)
        elif isinstance(event, yaml.SequenceStartEvent):
            value = []
            while not isinstance(inner := self._next_event(), yaml.SequenceEndEvent):
                value.append(self._read_value(inner, depth + 1))
        else:
            value = self._read_mapping(depth)
        if anchor is not None:
            self.open_anchors.discard(anchor)
            self.anchors[anchor] = value
            self.value_counts[id(value)] = self.value_count - before
        return value

    def _read_mapping(self, depth: int) -> dict[str, Any]:
        result: dict[str, Any] = {}
        while not isinstance(event := self._next_event(), yaml.MappingEndEvent):
            if not isinstance(event, yaml.ScalarEvent):
                raise self._error(event, "a key that is not a scalar")
            key = event.value  # 200 and "200" are the same key in a description
            if key == "<<" and event.implicit[0]:
                raise self._error(event, "a merge key, which YAML 1.2 does not have")
            if key in result:
                raise self._error(event, f"duplicate key {key[:80]!r} in one mapping")
            result[key] = self._read_value(self._next_event(), depth + 1)
        return result

    def _read_alias(self, event: Any) -> Any:
        self.alias_count += 1
        if self.alias_count > MAX_ALIASES:
            raise self._error(event, f"over {MAX_ALIASES} aliases")
        if event.anchor in self.open_anchors:
            raise self._error(event, f"alias *{event.anchor} refers to a value that contains it")
        if event.anchor not in self.anchors:
            raise self._error(event, f"alias *{event.anchor} has no anchor")
        value = self.anchors[event.anchor]
        self._count_values(self.value_counts.get(id(value), 1), event)
        return value

    def _count_values(self, size: int, event: Any) -> None:
        self.value_count += size
        if self.value_count > MAX_EXPANDED_VALUES:
            raise self._error(event, f"aliases expand to over {MAX_EXPANDED_VALUES} values")


def _scalar_value(event: Any) -> Any:
    text: str = event.value
    if not event.implicit[0]:  # quoted or tagged
        return text
    if text in _PLAIN_SCALARS:
        return _PLAIN_SCALARS[text]
    if text[:1] in "-0123456789":
        if INT_PATTERN.fullmatch(text):
            return int(text)
        if FLOAT_PATTERN.fullmatch(text):
            return float(text)
    return text


_PLAIN_SCALARS: dict[str, Any] = {
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
