"""The cost of a request in units, from its route's `Units`, its query and its body (pointers: RFC 6901)."""

from __future__ import annotations

import json
import math
import re
from typing import Any
from urllib.parse import unquote_plus

from irisdeal.front_door.routes.model import MAX_UNITS, Units

MAX_BODY_BYTES = 65_536  # the largest body that is parsed for its units; the protocol's limit of a body
MAX_BODY_DEPTH = 64  # levels of nested arrays and objects
MAX_QUERY_CHARS = 16_384
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
ARRAY_INDEX_PATTERN = re.compile(r"0|[1-9][0-9]{0,8}")
JSON_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)


class InvalidUnitsError(ValueError):
    """The units of a request cannot be determined; the client gets status 400 with this text."""


def read_units(units: Units, query: str, body: bytes) -> float:
    """Return the units of a request, over 0 and at most the cap. Raises `InvalidUnitsError`."""
    if not units.place:
        return units.amount
    value = query_value(query, units.name) if units.place == "query" else body_value(body, units.name)
    if value is None:
        return units.default
    if isinstance(value, str):
        if not NUMBER_PATTERN.fullmatch(value):
            raise InvalidUnitsError(f"units in {units.place} {units.name}: no plain number")
        value = float(value)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidUnitsError(f"units in {units.place} {units.name}: no number")
    try:
        amount = float(value)
    except OverflowError:
        amount = math.inf
    if not (math.isfinite(amount) and 0 < amount <= MAX_UNITS):
        raise InvalidUnitsError(
            f"units in {units.place} {units.name}: wanted over 0 and at most {MAX_UNITS:g}"
        )
    return min(amount, units.cap)


def query_value(query: str, name: str) -> str | None:
    """Return the value of a query parameter, or None. A repeated parameter is an ambiguity error."""
    if len(query) > MAX_QUERY_CHARS:
        raise InvalidUnitsError("query too long")
    values = [
        value
        for part in query.split("&")
        for key, _, value in (part.partition("="),)
        if key == name or (("%" in key or "+" in key) and unquote_plus(key) == name)
    ]
    if len(values) > 1:
        raise InvalidUnitsError(f"query parameter {name} more than once")
    return unquote_plus(values[0]) if values else None


def body_value(body: bytes, pointer: str) -> Any:
    """Return the value at a JSON pointer in a body, or None where the body is empty or has no such value."""
    if not body:
        return None
    if len(body) > MAX_BODY_BYTES:
        raise InvalidUnitsError(f"body over {MAX_BODY_BYTES} bytes")
    if _nesting_depth(body) > MAX_BODY_DEPTH:
        raise InvalidUnitsError(f"body nested over {MAX_BODY_DEPTH} deep")
    try:
        value = json.loads(body, parse_constant=_reject_constant, parse_int=_parse_integer)
    except (ValueError, RecursionError):  # not JSON, not UTF-8, or NaN
        raise InvalidUnitsError("body is no JSON") from None
    for token in pointer_tokens(pointer):
        if isinstance(value, dict):
            value = value.get(token)
        elif isinstance(value, list):
            value = (
                value[int(token)]
                if ARRAY_INDEX_PATTERN.fullmatch(token) and int(token) < len(value)
                else None
            )
        else:
            return None
    return value


def pointer_tokens(pointer: str) -> list[str]:
    """Return the reference tokens of a JSON pointer (RFC 6901 4). Raises ValueError if it is invalid."""
    if not pointer:
        return []
    if not pointer.startswith("/"):
        raise ValueError("a JSON pointer begins with /")
    if re.search(r"~(?![01])", pointer):
        raise ValueError("a ~ in a JSON pointer is followed by 0 or 1")
    return [part.replace("~1", "/").replace("~0", "~") for part in pointer.split("/")[1:]]


def _reject_constant(text: str) -> Any:
    raise ValueError(text)


def _parse_integer(text: str) -> float:
    """Parse an integer of any length as a float, in linear time."""
    return float(text)


def _nesting_depth(body: bytes) -> int:
    """Return how deep brackets nest outside strings, or 0 where there are too few to exceed the limit.

    It bounds the depth cheaply before the body is parsed.
    """
    max_depth = depth = 0
    if body.count(b"[") + body.count(b"{") <= MAX_BODY_DEPTH:
        return 0
    for byte in JSON_STRING_PATTERN.sub(b"", body):
        if byte in b"[{":
            depth += 1
            max_depth = max(max_depth, depth)
        elif byte in b"]}":
            depth -= 1
    return max_depth
