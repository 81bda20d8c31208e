"""Parse request targets and path templates (RFC 9112 3.2, RFC 3986 2 and 3.3, OpenAPI Path Templating).

A target is forwarded to the backend unchanged. A target that the backend may parse differently must not be
routed: dot segments, malformed percent-encoding, a decoded NUL. If `/check/../claim` were matched literally,
it would be accounted as one operation and executed as another.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

MAX_TARGET_BYTES = 16_384
MAX_SEGMENTS = 256
MALFORMED_PERCENT_PATTERN = re.compile(r"%(?![0-9A-Fa-f]{2})")
ABSOLUTE_FORM_PATTERN = re.compile(r"https?://[^/?#]*", re.IGNORECASE)
PARAMETER_PATTERN = re.compile(r"\{([^{}/]*)\}")
CONTROL_CHARACTER_PATTERN = re.compile(r"[\x00-\x1f\x7f]")


class InvalidTargetError(ValueError):
    """A target that is not routed; the client gets status 400 with this text."""


class Target(NamedTuple):
    """A parsed target. `segments` are percent-decoded once; `query` and `path_and_query` are as received."""

    segments: list[str]
    query: str
    path_and_query: str


def read_target(target: str) -> Target:
    """Parse a target in origin or absolute form; `*` has the one segment `*`. Raises `InvalidTargetError`."""
    if len(target) > MAX_TARGET_BYTES:
        raise InvalidTargetError(f"target over {MAX_TARGET_BYTES} bytes")
    if (
        target[:1] == "/"
        and "%" not in target
        and "/." not in target
        and "#" not in target
        and target.isprintable()
    ):  # the common case: nothing to decode or to reject
        path, _, query = target.partition("?")
        segments = path[1:].split("/")
        if len(segments) <= MAX_SEGMENTS:
            return Target(segments, query, target)
    if target == "*":
        return Target(["*"], "", target)
    if not target.startswith("/"):
        absolute = ABSOLUTE_FORM_PATTERN.match(target)
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
    """Return a path's segments, each decoded once after the split: an encoded slash separates nothing.

    Raises `InvalidTargetError`.
    """
    raw = path.split("/")[1:]
    if len(raw) > MAX_SEGMENTS:
        raise InvalidTargetError(f"path with over {MAX_SEGMENTS} segments")
    if "%" in path:
        if MALFORMED_PERCENT_PATTERN.search(path):
            raise InvalidTargetError("malformed percent-encoding")
        raw = [unquote_to_bytes(s).decode("utf-8", "surrogateescape") if "%" in s else s for s in raw]
    if "." in raw or ".." in raw:
        raise InvalidTargetError("path with dot segments")
    if CONTROL_CHARACTER_PATTERN.search(path) or (
        "%" in path and any(CONTROL_CHARACTER_PATTERN.search(s) for s in raw)
    ):
        raise InvalidTargetError("path with control characters")
    return raw


@dataclass(frozen=True, slots=True)
class Segment:
    """One segment of a template: alternating literals and parameter names, a literal first and last.

    `pattern` matches the decoded segment; it is None for a segment without parameters. Parameters match at
    least one character.
    """

    literals: tuple[str, ...]
    names: tuple[str, ...]
    pattern: re.Pattern[str] | None

    @property
    def is_parameter(self) -> bool:
        """Return whether the segment consists of one parameter."""
        return len(self.names) == 1 and self.literals == ("", "")

    @property
    def shape(self) -> tuple[str, ...]:
        """Return its identity, which does not depend on the names of the parameters."""
        return self.literals


class InvalidTemplateError(ValueError):
    """A path template is invalid."""


def read_template(template: str) -> tuple[Segment, ...]:
    """Parse a path template into its segments. Raises `InvalidTemplateError`."""
    if not template.startswith("/"):
        raise InvalidTemplateError("wanted a path that begins with /")
    if "?" in template or "#" in template:
        raise InvalidTemplateError("wanted a path without query and fragment")
    segments = [_parse_segment(raw) for raw in template.split("/")[1:]]
    if len(segments) > MAX_SEGMENTS:
        raise InvalidTemplateError(f"wanted at most {MAX_SEGMENTS} segments")
    names = [name for segment in segments for name in segment.names]
    for name in names:
        if names.count(name) > 1:
            raise InvalidTemplateError(f"parameter {{{name}}} is repeated")
    return tuple(segments)


def _parse_segment(raw: str) -> Segment:
    parts = PARAMETER_PATTERN.split(raw)
    literals, names = [_decode_literal(text) for text in parts[::2]], tuple(parts[1::2])
    if any(not name for name in names):
        raise InvalidTemplateError("a parameter without a name")
    if not names and literals[0] in (".", ".."):
        raise InvalidTemplateError("a dot segment, which no request can match")
    for between in literals[1:-1]:
        if not between:
            raise InvalidTemplateError("two parameters with no literal between them")
    if not names:
        return Segment(tuple(literals), (), None)
    # Lazy groups: the leftmost parameter matches the shortest text, as in most routers.
    text = "".join(
        re.escape(literal) + ("(.+?)" if n < len(names) else "") for n, literal in enumerate(literals)
    )
    return Segment(tuple(literals), names, re.compile(text, re.DOTALL))


def _decode_literal(text: str) -> str:
    if "{" in text or "}" in text:
        raise InvalidTemplateError("an unbalanced brace")
    if MALFORMED_PERCENT_PATTERN.search(text):
        raise InvalidTemplateError("malformed percent-encoding")
    decoded = unquote_to_bytes(text).decode("utf-8", "surrogateescape")
    if CONTROL_CHARACTER_PATTERN.search(decoded):
        raise InvalidTemplateError("control characters")
    return decoded
