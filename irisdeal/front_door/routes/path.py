"""Request targets and path templates, taken apart (RFC 9112 3.2, RFC 3986 2 and 3.3, OpenAPI Path
Templating).

A target goes on to the box as it came. So a target that the box may read in another way than we do must not
be routed at all: dot segments, a malformed percent sign, a decoded NUL. `/check/../claim` matched as it
stands would count as one thing and run as another.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

MOST_TARGET = 16_384  # bytes
MOST_SEGMENTS = 256
BAD_PERCENT = re.compile(r"%(?![0-9A-Fa-f]{2})")
ABSOLUTE = re.compile(r"https?://[^/?#]*", re.IGNORECASE)
PARAMETER = re.compile(r"\{([^{}/]*)\}")
CONTROL = re.compile(r"[\x00-\x1f\x7f]")


class InvalidTargetError(ValueError):
    """A target that is not routed: answered 400, with this text."""


class Target(NamedTuple):
    """A target taken apart. `segments` are decoded once; `query` and `path_and_query` are as they came."""

    segments: list[str]
    query: str
    path_and_query: str


def read_target(target: str) -> Target:
    """Origin form or absolute form to its parts; `*` has the one segment `*`. Raises `InvalidTargetError`."""
    if len(target) > MOST_TARGET:
        raise InvalidTargetError(f"target over {MOST_TARGET} bytes")
    if (
        target[:1] == "/"
        and "%" not in target
        and "/." not in target
        and "#" not in target
        and target.isprintable()
    ):  # nothing to decode and nothing odd: by far the most
        path, _, query = target.partition("?")
        segments = path[1:].split("/")
        if len(segments) <= MOST_SEGMENTS:
            return Target(segments, query, target)
    if target == "*":
        return Target(["*"], "", target)
    if not target.startswith("/"):
        absolute = ABSOLUTE.match(target)
        if absolute is None:
            raise InvalidTargetError("target is neither a path nor a URL")
        target = target[absolute.end() :]
        if not target.startswith("/"):
            target = "/" + target
    if "#" in target:
        raise InvalidTargetError("target with a fragment")
    path, _, query = target.partition("?")
    return Target(read_path(path), query, target)


def read_path(path: str) -> list[str]:
    """A path's segments, each decoded once: an encoded slash divides nothing. Raises `InvalidTargetError`."""
    raw = path.split("/")[1:]
    if len(raw) > MOST_SEGMENTS:
        raise InvalidTargetError(f"path with over {MOST_SEGMENTS} segments")
    if "%" in path:
        if BAD_PERCENT.search(path):
            raise InvalidTargetError("malformed percent-encoding")
        raw = [unquote_to_bytes(s).decode("utf-8", "surrogateescape") if "%" in s else s for s in raw]
    if "." in raw or ".." in raw:
        raise InvalidTargetError("path with dot segments")
    if CONTROL.search(path) or ("%" in path and any(CONTROL.search(s) for s in raw)):
        raise InvalidTargetError("path with control characters")
    return raw


@dataclass(frozen=True, slots=True)
class Segment:
    """One segment of a template: literal texts and parameter names in turn, a literal first and last.

    `pattern` matches the decoded segment; it is None for a plain literal. Parameters are not empty.
    """

    literals: tuple[str, ...]
    names: tuple[str, ...]
    pattern: re.Pattern[str] | None

    @property
    def is_parameter(self) -> bool:
        """The whole segment is one parameter."""
        return len(self.names) == 1 and self.literals == ("", "")

    @property
    def shape(self) -> tuple[str, ...]:
        """What tells it from others whatever its parameters are called."""
        return self.literals


class InvalidTemplateError(ValueError):
    """A path template that cannot be used, with the reason."""


def read_template(template: str) -> tuple[Segment, ...]:
    """A path template's segments. Raises `InvalidTemplateError`."""
    if not template.startswith("/"):
        raise InvalidTemplateError("wanted a path that begins with /")
    if "?" in template or "#" in template:
        raise InvalidTemplateError("wanted a path without query and fragment")
    segments = [_segment(raw) for raw in template.split("/")[1:]]
    if len(segments) > MOST_SEGMENTS:
        raise InvalidTemplateError(f"wanted at most {MOST_SEGMENTS} segments")
    names = [name for segment in segments for name in segment.names]
    for name in names:
        if names.count(name) > 1:
            raise InvalidTemplateError(f"parameter {{{name}}} stands more than once")
    return tuple(segments)


def _segment(raw: str) -> Segment:
    parts = PARAMETER.split(raw)
    literals, names = [_literal(text) for text in parts[::2]], tuple(parts[1::2])
    if any(not name for name in names):
        raise InvalidTemplateError("a parameter without a name")
    if not names and literals[0] in (".", ".."):
        raise InvalidTemplateError("a dot segment, which no request can match")
    for between in literals[1:-1]:
        if not between:
            raise InvalidTemplateError("two parameters with nothing between them")
    if not names:
        return Segment(tuple(literals), (), None)
    # Leftmost parameter shortest, as in most routers; each literal between stands where it first fits.
    text = "".join(
        re.escape(literal) + ("(.+?)" if n < len(names) else "") for n, literal in enumerate(literals)
    )
    return Segment(tuple(literals), names, re.compile(text, re.DOTALL))


def _literal(text: str) -> str:
    if "{" in text or "}" in text:
        raise InvalidTemplateError("a brace that closes nothing")
    if BAD_PERCENT.search(text):
        raise InvalidTemplateError("malformed percent-encoding")
    decoded = unquote_to_bytes(text).decode("utf-8", "surrogateescape")
    if CONTROL.search(decoded):
        raise InvalidTemplateError("control characters")
    return decoded
