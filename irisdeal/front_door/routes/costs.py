"""What a request counts, from its route's `Units`, its query and its body (RFC 6901 for pointers)."""

from __future__ import annotations

import json
import math
import re
from typing import Any
from urllib.parse import unquote_plus

from irisdeal.front_door.routes.model import MOST_UNITS, Units

MOST_BODY = 65_536  # bytes of a body that are read for its units; PROTOCOL, top
MOST_DEPTH = 64  # of nesting in such a body
MOST_QUERY = 16_384
NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
ARRAY_INDEX = re.compile(r"0|[1-9][0-9]{0,8}")
STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)


class InvalidUnitsError(ValueError):
    """A request whose units cannot be told: answered 400, with this text."""


def read_units(units: Units, query: str, body: bytes) -> float:
    """The units of one request, over 0 and at most the cap. Raises `InvalidUnitsError`."""
    if not units.place:
        return units.amount
    value = query_value(query, units.name) if units.place == "query" else body_value(body, units.name)
    if value is None:
        return units.default
    if isinstance(value, str):
        if not NUMBER.fullmatch(value):
            raise InvalidUnitsError(f"units in {units.place} {units.name}: no plain number")
        value = float(value)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidUnitsError(f"units in {units.place} {units.name}: no number")
    try:
        amount = float(value)
    except OverflowError:
        amount = math.inf
    if not (math.isfinite(amount) and 0 < amount <= MOST_UNITS):
        raise InvalidUnitsError(
            f"units in {units.place} {units.name}: wanted over 0 and at most {MOST_UNITS:g}"
        )
    return min(amount, units.cap)


def query_value(query: str, name: str) -> str | None:
    """The value of a parameter; None where it is not there. Twice is an error: which one counts?"""
    if len(query) > MOST_QUERY:
        raise InvalidUnitsError("query too long")
    found = [
        value
        for part in query.split("&")
        for key, _, value in (part.partition("="),)
        if key == name or (("%" in key or "+" in key) and unquote_plus(key) == name)
    ]
    if len(found) > 1:
        raise InvalidUnitsError(f"query parameter {name} more than once")
    return unquote_plus(found[0]) if found else None


def body_value(body: bytes, pointer: str) -> Any:
    """What a pointer leads to in a JSON body; None where the body is empty or has no such place."""
    if not body:
        return None
    if len(body) > MOST_BODY:
        raise InvalidUnitsError(f"body over {MOST_BODY} bytes")
    if _depth(body) > MOST_DEPTH:
        raise InvalidUnitsError(f"body nested over {MOST_DEPTH} deep")
    try:
        value = json.loads(body, parse_constant=_refuse, parse_int=_whole)
    except (ValueError, RecursionError):  # no JSON, no UTF-8, NaN
        raise InvalidUnitsError("body is no JSON") from None
    for token in tokens(pointer):
        if isinstance(value, dict):
            value = value.get(token)
        elif isinstance(value, list):
            value = value[int(token)] if ARRAY_INDEX.fullmatch(token) and int(token) < len(value) else None
        else:
            return None
    return value


def tokens(pointer: str) -> list[str]:
    """A JSON pointer's reference tokens (RFC 6901 4). ValueError where it is none."""
    if not pointer:
        return []
    if not pointer.startswith("/"):
        raise ValueError("a JSON pointer begins with /")
    if re.search(r"~(?![01])", pointer):
        raise ValueError("a ~ in a JSON pointer is followed by 0 or 1")
    return [part.replace("~1", "/").replace("~0", "~") for part in pointer.split("/")[1:]]


def _refuse(text: str) -> Any:
    raise ValueError(text)


def _whole(text: str) -> float:
    """A whole number of any length, in time that grows with its length only."""
    return float(text)


def _depth(body: bytes) -> int:
    """How deep brackets nest, outside strings; a cheap bound before anything is built."""
    deepest = depth = 0
    if body.count(b"[") + body.count(b"{") <= MOST_DEPTH:
        return 0
    for byte in STRINGS.sub(b"", body):
        if byte in b"[{":
            depth += 1
            deepest = max(deepest, depth)
        elif byte in b"]}":
            depth -= 1
    return deepest
