"""An OpenAPI 3.0 or 3.1 description, JSON or YAML, to routes.

Only what routes and costs need is read; the rest of a description is passed over, but for `check --schema` of
the tool. A description is taken whole or not at all: each problem has the file, a JSON pointer into it and
what was wanted. References lead to places in the same file or to files inside the description's own folder;
nothing is fetched.

As a program it prints the routes in compact lines, for a door that reads them without this module's
libraries:

    python -m irisdeal.front_door.sources.openapi FILE
"""

from __future__ import annotations

import json
import math
import os
import sys
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import unquote, urljoin, urlsplit

from referencing import Registry, Resource, Specification
from referencing.exceptions import Unresolvable

from irisdeal.front_door.routes.costs import tokens
from irisdeal.front_door.routes.matcher import Matcher, RouteConflictError
from irisdeal.front_door.routes.model import (
    DEFAULT_AIM,
    DEFAULT_DEADLINE,
    DEFAULT_WINDOW,
    METHODS,
    MOST_UNITS,
    SAFE_METHODS,
    Repeat,
    Route,
    Rule,
    Source,
    Units,
    check_rule,
)
from irisdeal.front_door.routes.path import InvalidTargetError, InvalidTemplateError, read_path, read_template
from irisdeal.front_door.routes.wire import route_to_wire
from irisdeal.front_door.sources.yamljson import MOST_BYTES, Malformed, load

MOST_FILES = 1_000  # that one description may lead to
MOST_HOPS = 50  # of references, one behind the other
MOST_BASES = 8  # server base paths of one operation
MOST_PROBLEMS = 1_000  # kept
EXTENSION = "x-irisdeal"
KEYS = ("class", "units", "repeat", "aim_ms", "deadline_ms", "worth", "late_worth", "customer", "plan")
TOP_KEYS = (*KEYS, "allow")
NOT_FORWARDED = frozenset(
    ("connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect")
)


@dataclass(frozen=True, slots=True)
class Problem:
    """What is wrong, or odd, at one place."""

    file: str
    pointer: str
    text: str
    error: bool = True

    def line(self) -> str:
        return f"{self.file}: {self.pointer or '#'}: {self.text}"


class DescriptionError(ValueError):
    """A description that cannot be taken; the first problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.line())
        self.problem = problem


@dataclass(slots=True)
class Description:
    """What was read."""

    file: str
    version: str = ""
    routes: list[Route] = field(default_factory=list)
    paths: int = 0
    operations: int = 0
    allow: frozenset[str] = frozenset()
    problems: list[Problem] = field(default_factory=list)
    files: list[str] = field(default_factory=list)  # read, the description's own first

    @property
    def errors(self) -> list[Problem]:
        return [problem for problem in self.problems if problem.error]

    def checked(self) -> Description:
        """Itself, where nothing is wrong; else `DescriptionError`."""
        if errors := self.errors:
            raise DescriptionError(errors[0])
        return self


@dataclass(frozen=True, slots=True)
class _At:
    """A value and where it stands."""

    value: Any
    uri: str
    pointer: str

    def child(self, key: str) -> _At:
        escaped = key.replace("~", "~0").replace("/", "~1")
        return _At(self.value[key], self.uri, f"{self.pointer}/{escaped}")


class _Stop(Exception):
    """This place cannot be read further; the problem is noted."""


def read(path: Path) -> Description:
    """Read a description. Problems are in the result; what cannot be opened or is no YAML is one of them."""
    return _Reader(path).read()


class _Reader:
    def __init__(self, path: Path) -> None:
        self.folder = Path(os.path.realpath(path.parent))
        self.file = str(path)
        self.name = path.name
        self.root = "file:///" + path.name
        self.made = Description(self.file)
        self.documents: dict[str, Any] = {}
        self.registry: Registry[Any] = Registry(retrieve=self._retrieve)  # type: ignore[call-arg]
        self.bytes = 0

    # Files and references

    def _shown(self, uri: str) -> str:
        if uri == self.root:
            return self.file
        return str(Path(self.file).parent / unquote(urlsplit(uri).path[1:]))

    def _note(self, at: _At, text: str, error: bool = True) -> None:
        if len(self.made.problems) < MOST_PROBLEMS:
            pointer = "#" + at.pointer
            self.made.problems.append(Problem(self._shown(at.uri), pointer, text, error))

    def _stop(self, at: _At, text: str) -> _Stop:
        self._note(at, text)
        return _Stop()

    def _retrieve(self, uri: str) -> Resource[Any]:
        return Resource(self._document(uri), Specification.OPAQUE)  # type: ignore[call-arg]

    def _document(self, uri: str) -> Any:
        """The value of a file of this description. Raises `Malformed` or OSError."""
        if uri not in self.documents:
            if len(self.documents) >= MOST_FILES:
                raise Malformed(f"over {MOST_FILES} files")
            path = self.folder / unquote(urlsplit(uri).path.lstrip("/"))
            real = Path(os.path.realpath(path))
            # The description itself may be a link to elsewhere, as a swap by links makes it.
            if uri != self.root and not real.is_relative_to(self.folder):
                raise Malformed("leads out of the description's folder")
            with real.open("rb") as file:
                raw = file.read(MOST_BYTES - self.bytes + 1)
            self.bytes += len(raw)
            if self.bytes > MOST_BYTES:
                raise Malformed(f"over {MOST_BYTES} bytes")
            try:
                text = raw.decode("utf-8-sig")
            except UnicodeDecodeError as error:
                raise Malformed(f"not UTF-8 at byte {error.start}") from None
            is_json = path.suffix.lower() == ".json" or text.lstrip()[:1] == "{"
            self.documents[uri] = load(text, is_json)
            self.made.files.append(self._shown(uri))
        return self.documents[uri]

    def _resolved(self, at: _At) -> _At:
        """Where a value's references lead to, in the end."""
        seen: set[tuple[str, str]] = set()
        first = at
        while isinstance(at.value, dict) and "$ref" in at.value:
            ref = at.value["$ref"]
            where = _At(ref, at.uri, at.pointer + "/$ref")
            if not isinstance(ref, str):
                raise self._stop(where, f"wanted a reference, not {_short(ref)}")
            parts = urlsplit(ref) if len(ref) < 4_096 else None
            if parts is None or parts.scheme or parts.netloc:
                raise self._stop(
                    where,
                    f"{_short(ref)} leads away from the description: wanted a place in "
                    "it or a file beside it",
                )
            whole = urljoin(at.uri, ref)
            uri, _, fragment = whole.partition("#")
            if (uri, fragment) in seen or len(seen) >= MOST_HOPS:
                raise self._stop(first, f"reference {_short(ref)} runs in a circle")
            seen.add((uri, fragment))
            if _climbs(at.uri, parts.path):
                raise self._stop(where, f"{_short(ref)} leads out of the description's folder")
            try:
                if fragment and not fragment.startswith("/"):
                    raise self._stop(where, f"{_short(ref)}: wanted a JSON pointer behind #")
                value = self.registry.resolver(uri).lookup(f"{uri}#{fragment}").contents
            except (Unresolvable, Malformed, OSError, ValueError) as error:
                raise self._stop(where, f"{_short(ref)} leads nowhere: {_reason(error)}") from None
            at = _At(value, uri, unquote(fragment))
        return at

    # The description

    def read(self) -> Description:
        top = _At(None, self.root, "")
        try:
            value = self._document(self.root)
        except OSError as error:
            self._note(top, f"{error.strerror}")
            return self.made
        except Malformed as error:
            self._note(top, str(error))
            return self.made
        with suppress(_Stop):
            self._top(_At(value, self.root, ""))
        return self.made

    def _top(self, top: _At) -> None:
        if not isinstance(top.value, dict):
            raise self._stop(top, f"wanted an OpenAPI description, not {_short(top.value)}")
        version = top.value.get("openapi")
        if not isinstance(version, str) or version.split(".")[:2] not in (["3", "0"], ["3", "1"]):
            where = top.child("openapi") if "openapi" in top.value else top
            raise self._stop(where, f"openapi is {_short(version)}: wanted a text, 3.0.x or 3.1.x")
        self.made.version = version
        extension = self._extension(top, {}, TOP_KEYS)
        self._allow(top, extension.pop("allow", _At([], self.root, "")))
        paths = top.value.get("paths")
        if paths is None and version.startswith("3.1"):
            paths = {}  # OpenAPI 3.1 allows a description of components alone
        if not isinstance(paths, dict):
            where = top.child("paths") if "paths" in top.value else top
            raise self._stop(where, f"paths is {_short(paths)}: wanted a mapping of paths")
        if not paths:
            self._note(top, "no paths: a door would route nothing", error=False)
            return
        bases = self._bases(top, ["/"])
        at = top.child("paths")
        for template in paths:
            if template.startswith("x-"):
                continue
            self.made.paths += 1
            try:
                self._path(at.child(template), template, bases, extension)
            except _Stop:
                continue
        self._ambiguities(top)

    def _allow(self, top: _At, at: _At) -> None:
        if not isinstance(at.value, list) or not all(v in ("weaken", "remove") for v in at.value):
            self._note(at, f"allow is {_short(at.value)}: wanted a list of weaken, remove")
        else:
            self.made.allow = frozenset(at.value)

    def _extension(self, at: _At, above: dict[str, _At], known: tuple[str, ...]) -> dict[str, _At]:
        """`x-irisdeal` of a place laid over what stands above; the nearest word counts, key by key."""
        if EXTENSION not in at.value:
            return dict(above)
        told = at.child(EXTENSION)
        if not isinstance(told.value, dict):
            raise self._stop(told, f"wanted a mapping, not {_short(told.value)}")
        made = dict(above)
        for key in told.value:
            if key not in known:
                self._note(told.child(key), f"no such key: wanted one of {', '.join(known)}")
            else:
                made[key] = told.child(key)
        return made

    def _bases(self, at: _At, above: list[str]) -> list[str]:
        """The base paths of `servers`, without a slash at the end; those above where there are none."""
        if "servers" not in at.value:
            return above
        told = at.child("servers")
        if not isinstance(told.value, list):
            raise self._stop(told, f"servers is {_short(told.value)}: wanted a list")
        if not told.value:
            return ["/"]  # as if it were not there: OpenAPI's default is /
        made: list[str] = []
        for n, server in enumerate(told.value):
            place = _At(server, told.uri, f"{told.pointer}/{n}")
            if not isinstance(server, dict) or not isinstance(server.get("url"), str):
                raise self._stop(place, "wanted a server with a url")
            base = self._base(place, server)
            if base not in made:
                made.append(base)
        if len(made) > MOST_BASES:
            raise self._stop(told, f"{len(made)} base paths: wanted at most {MOST_BASES}")
        return made

    def _base(self, at: _At, server: dict[str, Any]) -> str:
        url = server["url"]
        variables = server.get("variables", {})
        if isinstance(variables, dict):
            for name, variable in variables.items():
                if isinstance(variable, dict) and isinstance(variable.get("default"), str):
                    url = url.replace("{" + name + "}", variable["default"])
        if "{" in url:
            raise self._stop(at, f"url {_short(url)} has a variable without a default")
        try:
            path = urlsplit(url).path
            if path and not path.startswith("/"):
                path = "/" + path.removeprefix("./")
            read_path(path or "/")
        except (InvalidTargetError, ValueError) as error:
            raise self._stop(at, f"url {_short(url)}: {error}") from None
        return path.rstrip("/") or "/"

    def _path(self, at: _At, template: str, bases: list[str], above: dict[str, _At]) -> None:
        try:
            names = [name for segment in read_template(template) for name in segment.names]
        except InvalidTemplateError as error:
            raise self._stop(at, f"path {_short(template)}: {error}") from None
        item = self._resolved(at)
        if not isinstance(item.value, dict):
            raise self._stop(item, f"wanted a path item, not {_short(item.value)}")
        extension = self._extension(item, above, KEYS)
        bases = self._bases(item, bases)
        shared = self._parameters(item)
        for key in item.value:
            if key.upper() in METHODS and key == key.lower():
                self.made.operations += 1
                try:
                    self._operation(item.child(key), key.upper(), template, names, bases, extension, shared)
                except _Stop:
                    continue

    def _parameters(self, at: _At) -> dict[tuple[str, str], bool]:
        """Declared parameters by place and name."""
        if "parameters" not in at.value:
            return {}
        told = at.child("parameters")
        if not isinstance(told.value, list):
            raise self._stop(told, f"parameters is {_short(told.value)}: wanted a list")
        made: dict[tuple[str, str], bool] = {}
        for n, value in enumerate(told.value):
            place = self._resolved(_At(value, told.uri, f"{told.pointer}/{n}"))
            if not isinstance(place.value, dict) or not all(
                isinstance(place.value.get(k), str) for k in ("in", "name")
            ):
                raise self._stop(place, "wanted a parameter with in and name")
            made[place.value["in"], place.value["name"]] = True
        return made

    def _operation(
        self,
        at: _At,
        method: str,
        template: str,
        names: list[str],
        bases: list[str],
        above: dict[str, _At],
        shared: dict[tuple[str, str], bool],
    ) -> None:
        if not isinstance(at.value, dict):
            raise self._stop(at, f"wanted an operation, not {_short(at.value)}")
        extension = self._extension(at, above, KEYS)
        bases = self._bases(at, bases)
        declared = shared | self._parameters(at)
        for name in names:
            if ("path", name) not in declared:
                self._note(at, f"path parameter {{{name}}} is not declared", error=False)
        operation = at.value.get("operationId", "")
        if not isinstance(operation, str):
            raise self._stop(at.child("operationId"), f"operationId is {_short(operation)}: wanted a text")
        rule = self._rule(extension, method, template, operation, at)
        units = self._units(extension.get("units"), at)
        customer = self._source(extension.get("customer"), Source("header", "account"), names)
        plan = self._source(extension.get("plan"), Source("header", "plan"), names)
        for base in bases:
            self.made.routes.append(
                Route(
                    method,
                    base.rstrip("/") + template,
                    rule,
                    units,
                    customer,
                    plan,
                    operation,
                    "#" + at.pointer,
                    at.value.get("deprecated") is True,
                )
            )

    # x-irisdeal

    def _rule(self, told: dict[str, _At], method: str, template: str, operation: str, at: _At) -> Rule:
        repeat, group, window, header = self._repeat(told.get("repeat"), method)
        default = "read" if method in SAFE_METHODS else "write"
        rule = Rule(
            name=self._text(told.get("class"), default),
            repeat=repeat,
            group=group,
            window=window,
            key_header=header,
            aim=self._ms(told.get("aim_ms"), DEFAULT_AIM),
            deadline=self._ms(told.get("deadline_ms"), DEFAULT_DEADLINE),
            worth=self._number(told.get("worth"), 1.0),
            late_worth=self._number(told.get("late_worth"), 0.0),
        )
        if (wrong := check_rule(rule)) is not None:
            key = wrong.split()[0]
            raise self._stop(next((told[k] for k in (key, f"{key}_ms") if k in told), at), wrong)
        return rule

    def _repeat(self, told: _At | None, method: str) -> tuple[Repeat, str, int, str]:
        plain = ("zone", DEFAULT_WINDOW, "idempotency-key")
        if told is None:
            return Repeat.SAFE if method in SAFE_METHODS else Repeat.UNSAFE, *plain
        value = told.value
        if value in ("safe", "unsafe", "keyed"):
            return Repeat[value.upper()], *plain
        if not isinstance(value, dict) or set(value) != {"keyed"} or not isinstance(value["keyed"], dict):
            raise self._stop(
                told,
                f"repeat is {_short(value)}: wanted safe, unsafe, keyed, or "
                "keyed with header, group, window_ms",
            )
        keyed = told.child("keyed")
        for key in keyed.value:
            if key not in ("header", "group", "window_ms"):
                raise self._stop(keyed.child(key), "no such key: wanted one of header, group, window_ms")
        group = keyed.value.get("group", "zone")
        if group not in ("zone", "cell", "all"):
            raise self._stop(keyed.child("group"), f"group is {_short(group)}: wanted zone, cell or all")
        header = "idempotency-key"
        if "header" in keyed.value:
            header = self._header(keyed.child("header"))
        window = self._ms(keyed.child("window_ms") if "window_ms" in keyed.value else None, DEFAULT_WINDOW)
        return Repeat.KEYED, group, window, header

    def _header(self, told: _At) -> str:
        name = told.value
        if (
            not isinstance(name, str)
            or not name
            or not name.replace("-", "").replace("_", "").isalnum()
            or not name.isascii()
            or len(name) > 64
        ):
            raise self._stop(told, f"{_short(name)}: wanted the name of a header")
        if name.lower() in NOT_FORWARDED:
            raise self._stop(told, f"{name}: a header that speaks of one connection")
        return name.lower()

    def _units(self, told: _At | None, at: _At) -> Units:
        if told is None:
            return Units()
        value = told.value
        if _is_number(value):
            return Units(self._amount(told))
        if not isinstance(value, dict) or ("query" in value) == ("body" in value):
            raise self._stop(told, f"units is {_short(value)}: wanted a number, or one of query and body")
        for key in value:
            if key not in ("query", "body", "default", "cap"):
                raise self._stop(told.child(key), "no such key: wanted one of query, body, default, cap")
        place = "query" if "query" in value else "body"
        name = value[place]
        if not isinstance(name, str) or not name:
            raise self._stop(told.child(place), f"{place} is {_short(name)}: wanted a text")
        if place == "body":
            try:
                tokens(name)
            except ValueError as error:
                raise self._stop(told.child(place), f"{_short(name)}: {error}") from None
        default = self._amount(told.child("default")) if "default" in value else 1.0
        cap = self._amount(told.child("cap")) if "cap" in value else MOST_UNITS
        if default > cap:
            raise self._stop(told, f"default is {default:g}: wanted at most the cap, {cap:g}")
        return Units(1.0, place, name, default, cap)

    def _amount(self, told: _At) -> float:
        if not _is_number(told.value) or not 0 < told.value <= MOST_UNITS:
            raise self._stop(told, f"{_short(told.value)}: wanted units over 0 and at most {MOST_UNITS:g}")
        return float(told.value)

    def _source(self, told: _At | None, default: Source, names: list[str]) -> Source:
        if told is None:
            return default
        value = told.value
        if not isinstance(value, dict) or len(value) != 1 or not value.keys() <= {"header", "query", "path"}:
            raise self._stop(told, f"{_short(value)}: wanted one of header, query and path, with a name")
        place, name = next(iter(value.items()))
        if place == "header":
            return Source(place, self._header(told.child(place)))
        if not isinstance(name, str) or not name:
            raise self._stop(told.child(place), f"{_short(name)}: wanted a name")
        if place == "path" and name not in names:
            raise self._stop(told.child(place), f"the path has no parameter {{{name}}}")
        return Source(place, name)

    def _text(self, told: _At | None, default: str) -> str:
        if told is None:
            return default
        if not isinstance(told.value, str) or not 0 < len(told.value) <= 64:
            raise self._stop(told, f"{_short(told.value)}: wanted a text of at most 64 characters")
        return told.value

    def _number(self, told: _At | None, default: float) -> float:
        if told is None:
            return default
        if not _is_number(told.value):
            raise self._stop(told, f"{_short(told.value)}: wanted a number")
        return float(told.value)

    def _ms(self, told: _At | None, default: int) -> int:
        """Milliseconds to µs; out of range where it cannot be one, so that the check of the rule tells it."""
        value = self._number(told, default / 1000)
        return round(value * 1000) if abs(value) < 1e12 else -1

    def _ambiguities(self, top: _At) -> None:
        matcher = Matcher()
        for route in self.made.routes:
            try:
                matcher.add(route)
            except RouteConflictError as clash:
                self._note(
                    _At(None, self.root, route.pointer[1:]),
                    f"{clash}: wanted one of them, which stands at {clash.one.pointer}",
                )
            except InvalidTemplateError as error:  # with its base path: too many segments, a name twice
                self._note(_At(None, self.root, route.pointer[1:]), f"path {_short(route.template)}: {error}")
        for one, other in matcher.overlaps:
            self._note(
                top,
                f"segments {one} and {other} can match the same text: the one with more literal "
                "characters goes first",
                error=False,
            )


def _climbs(uri: str, path: str) -> bool:
    """Whether a relative path leads above the folder, step by step (a URL join would stop at the root)."""
    depth = len([p for p in urlsplit(uri).path.split("/")[1:-1] if p])
    if path.startswith("/"):
        return True  # absolute: not beside the description
    for part in path.split("/")[:-1]:
        depth += -1 if part == ".." else 0 if part in ("", ".") else 1
        if depth < 0:
            return True
    return False


def _is_number(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(float(value))
    except OverflowError:
        return False


def _short(value: Any) -> str:
    """A value as an error shows it."""
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) > 10**20:
        return "a huge number"
    text = repr(value)
    return text if len(text) <= 80 else text[:77] + "..."


def _reason(error: BaseException) -> str:
    """The innermost cause, in one line."""
    while error.__cause__ is not None or (error.__context__ is not None and not error.__suppress_context__):
        error = error.__cause__ or error.__context__  # type: ignore[assignment]
    if isinstance(error, OSError) and error.strerror:
        return error.strerror
    if isinstance(error, Malformed):
        return str(error)
    return "no such place"


def lines(description: Description) -> Iterator[str]:
    """The compact form, a JSON line each: what it holds, then each route (`irisdeal.front_door.routes.wire`)."""
    yield json.dumps(
        {"routes": len(description.routes), "allow": sorted(description.allow), "files": description.files}
    )
    for route in description.routes:
        yield json.dumps(route_to_wire(route))


def main() -> int:
    if len(sys.argv) != 2:
        print("usage: python -m irisdeal.front_door.sources.openapi FILE", file=sys.stderr)
        return 2
    try:
        description = read(Path(sys.argv[1])).checked()
    except DescriptionError as error:
        print(json.dumps({"error": str(error)}))
        return 1
    for line in lines(description):
        sys.stdout.write(line + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
