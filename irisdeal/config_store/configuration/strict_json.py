"""JSON as RFC 8259 defines it: `NaN` and `Infinity`, which Python's reader takes beside it, are errors."""

from __future__ import annotations

import json
from typing import NoReturn


def _refuse_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is no JSON value")


STRICT_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)


def loads(body: bytes) -> object:
    """Return the value of a document. Raises ValueError if it is no JSON."""
    value: object = json.loads(body, parse_constant=_refuse_constant)
    return value
