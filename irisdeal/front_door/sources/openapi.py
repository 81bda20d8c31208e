"""Read the routes of an OpenAPI 3.0 or 3.1 description in JSON or YAML.

Only what routes and costs need is checked; `irisdeal routes check --schema` validates the rest. A description
is accepted as a whole or rejected: each problem has the file, a JSON pointer into it and the expected value.
References may lead to the same file or to files inside the folder of the description; nothing is fetched over
the network.

As a program it prints the routes in their compact form, so that the gateway does not load the libraries of
this module:

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

from irisdeal.front_door.routes.costs import pointer_tokens
from irisdeal.front_door.routes.matcher import Matcher, RouteConflictError
from irisdeal.front_door.routes.model import (
    DEFAULT_AIM_US,
    DEFAULT_DEADLINE_US,
    DEFAULT_WINDOW_US,
    MAX_UNITS,
    METHODS,
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
from irisdeal.front_door.sources.yamljson import MAX_INPUT_BYTES, MalformedInputError, load

MAX_FILES = 1_000  # of one description, with the files that it references
MAX_REFERENCE_HOPS = 50  # references followed from one value
MAX_BASE_PATHS = 8  # of the servers of one operation
MAX_PROBLEMS = 1_000  # further ones are not recorded
EXTENSION = "x-irisdeal"
EXTENSION_KEYS = (
    "class",
    "units",
    "repeat",
    "aim_ms",
    "deadline_ms",
    "worth",
    "late_worth",
    "customer",
    "plan",
)
TOP_LEVEL_KEYS = (*EXTENSION_KEYS, "allow")
HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect")
)


@dataclass(frozen=True, slots=True)
class Problem:
    """An error, or a warning, at one place of a file."""

    file: str
    pointer: str
    text: str
    error: bool = True

    def line(self) -> str:
        """Return the problem as one line."""
        return f"{self.file}: {self.pointer or '#'}: {self.text}"


class DescriptionError(ValueError):
    """A description is rejected; the text is its first problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.line())
        self.problem = problem


@dataclass(slots=True)
class Description:
    """The routes and the problems of a description."""

    file: str
    version: str = ""
    routes: list[Route] = field(default_factory=list)
    paths: int = 0
    operations: int = 0
    allow: frozenset[str] = frozenset()
    problems: list[Problem] = field(default_factory=list)
    files: list[str] = field(default_factory=list)  # all files read, the description itself first

    @property
    def errors(self) -> list[Problem]:
        """Return the problems that reject the description."""
        return [problem for problem in self.problems if problem.error]

    def checked(self) -> Description:
        """Return the description. Raises `DescriptionError` if it has errors."""
        if errors := self.errors:
            raise DescriptionError(errors[0])
        return self


@dataclass(frozen=True, slots=True)
class _Node:
    """A value of a description, with its file and JSON pointer."""

    value: Any
    uri: str
    pointer: str

    def child(self, key: str) -> _Node:
        escaped = key.replace("~", "~0").replace("/", "~1")
        return _Node(self.value[key], self.uri, f"{self.pointer}/{escaped}")


class _InvalidNodeError(Exception):
    """A node is not read further; its problem is already recorded."""


def read(path: Path) -> Description:
    """Read a description. An unreadable or malformed file is a problem in the result, not an exception."""
    return _Reader(path).read()


class _Reader:
    def __init__(self, path: Path) -> None:
        self.folder = Path(os.path.realpath(path.parent))
        self.file = str(path)
        self.name = path.name
        self.root_uri = "file:///" + path.name
        self.description = Description(self.file)
        self.documents: dict[str, Any] = {}
        self.registry: Registry[Any] = Registry(retrieve=self._retrieve)  # type: ignore[call-arg]
        self.bytes_read = 0

    # Files and references

    def _display_path(self, uri: str) -> str:
        if uri == self.root_uri:
            return self.file
        return str(Path(self.file).parent / unquote(urlsplit(uri).path[1:]))

    def _add_problem(self, node: _Node, text: str, error: bool = True) -> None:
        if len(self.description.problems) < MAX_PROBLEMS:
            pointer = "#" + node.pointer
            self.description.problems.append(Problem(self._display_path(node.uri), pointer, text, error))

    def _invalid(self, node: _Node, text: str) -> _InvalidNodeError:
        self._add_problem(node, text)
        return _InvalidNodeError()

    def _retrieve(self, uri: str) -> Resource[Any]:
        return Resource(self._load_document(uri), Specification.OPAQUE)  # type: ignore[call-arg]

    def _load_document(self, uri: str) -> Any:
        """Return the parsed content of a file of the description. Raises `MalformedInputError` or OSError."""
        if uri not in self.documents:
            if len(self.documents) >= MAX_FILES:
                raise MalformedInputError(f"over {MAX_FILES} files")
            path = self.folder / unquote(urlsplit(uri).path.lstrip("/"))
            real = Path(os.path.realpath(path))
            # The description itself may be a symbolic link out of the folder, which is replaced for a swap.
            if uri != self.root_uri and not real.is_relative_to(self.folder):
                raise MalformedInputError("leads out of the description's folder")
            with real.open("rb") as file:
                raw = file.read(MAX_INPUT_BYTES - self.bytes_read + 1)
            self.bytes_read += len(raw)
            if self.bytes_read > MAX_INPUT_BYTES:
                raise MalformedInputError(f"over {MAX_INPUT_BYTES} bytes")
            try:
                text = raw.decode("utf-8-sig")
            except UnicodeDecodeError as error:
                raise MalformedInputError(f"not UTF-8 at byte {error.start}") from None
            is_json = path.suffix.lower() == ".json" or text.lstrip()[:1] == "{"
            self.documents[uri] = load(text, is_json)
            self.description.files.append(self._display_path(uri))
        return self.documents[uri]

    def _resolve(self, node: _Node) -> _Node:
        """Follow the references of a node to the node that they lead to."""
        seen: set[tuple[str, str]] = set()
        first = node
        while isinstance(node.value, dict) and "$ref" in node.value:
            ref = node.value["$ref"]
            where = _Node(ref, node.uri, node.pointer + "/$ref")
            if not isinstance(ref, str):
                raise self._invalid(where, f"wanted a reference, not {_abbreviate(ref)}")
            parts = urlsplit(ref) if len(ref) < 4_096 else None
            if parts is None or parts.scheme or parts.netloc:
                raise self._invalid(
                    where,
                    f"{_abbreviate(ref)} leads away from the description: wanted a place in "
                    "it or a file in its folder",
                )
            target_uri = urljoin(node.uri, ref)
            uri, _, fragment = target_uri.partition("#")
            if (uri, fragment) in seen or len(seen) >= MAX_REFERENCE_HOPS:
                raise self._invalid(first, f"reference {_abbreviate(ref)} is circular")
            seen.add((uri, fragment))
            if _leaves_folder(node.uri, parts.path):
                raise self._invalid(where, f"{_abbreviate(ref)} leads out of the description's folder")
            try:
                if fragment and not fragment.startswith("/"):
                    raise self._invalid(where, f"{_abbreviate(ref)}: wanted a JSON pointer behind #")
                value = self.registry.resolver(uri).lookup(f"{uri}#{fragment}").contents
            except (Unresolvable, MalformedInputError, OSError, ValueError) as error:
                raise self._invalid(
                    where, f"{_abbreviate(ref)} cannot be resolved: {_root_cause(error)}"
                ) from None
            node = _Node(value, uri, unquote(fragment))
        return node

    # The description

    def read(self) -> Description:
        top = _Node(None, self.root_uri, "")
        try:
            value = self._load_document(self.root_uri)
        except OSError as error:
            self._add_problem(top, f"{error.strerror}")
            return self.description
        except MalformedInputError as error:
            self._add_problem(top, str(error))
            return self.description
        with suppress(_InvalidNodeError):
            self._read_top(_Node(value, self.root_uri, ""))
        return self.description

    def _read_top(self, top: _Node) -> None:
        if not isinstance(top.value, dict):
            raise self._invalid(top, f"wanted an OpenAPI description, not {_abbreviate(top.value)}")
        version = top.value.get("openapi")
        if not isinstance(version, str) or version.split(".")[:2] not in (["3", "0"], ["3", "1"]):
            where = top.child("openapi") if "openapi" in top.value else top
            raise self._invalid(where, f"openapi is {_abbreviate(version)}: wanted a text, 3.0.x or 3.1.x")
        self.description.version = version
        extension = self._extension(top, {}, TOP_LEVEL_KEYS)
        self._read_allow(top, extension.pop("allow", _Node([], self.root_uri, "")))
        paths = top.value.get("paths")
        if paths is None and version.startswith("3.1"):
            paths = {}  # OpenAPI 3.1 allows a description with components only
        if not isinstance(paths, dict):
            where = top.child("paths") if "paths" in top.value else top
            raise self._invalid(where, f"paths is {_abbreviate(paths)}: wanted a mapping of paths")
        if not paths:
            self._add_problem(top, "no paths: a gateway would route nothing", error=False)
            return
        base_paths = self._base_paths(top, ["/"])
        paths_node = top.child("paths")
        for template in paths:
            if template.startswith("x-"):
                continue
            self.description.paths += 1
            try:
                self._read_path_item(paths_node.child(template), template, base_paths, extension)
            except _InvalidNodeError:
                continue
        self._report_ambiguities(top)

    def _read_allow(self, top: _Node, node: _Node) -> None:
        if not isinstance(node.value, list) or not all(v in ("weaken", "remove") for v in node.value):
            self._add_problem(node, f"allow is {_abbreviate(node.value)}: wanted a list of weaken, remove")
        else:
            self.description.allow = frozenset(node.value)

    def _extension(
        self, node: _Node, inherited: dict[str, _Node], known: tuple[str, ...]
    ) -> dict[str, _Node]:
        """Return the inherited `x-irisdeal` values, overridden key by key with those of a node."""
        if EXTENSION not in node.value:
            return dict(inherited)
        extension = node.child(EXTENSION)
        if not isinstance(extension.value, dict):
            raise self._invalid(extension, f"wanted a mapping, not {_abbreviate(extension.value)}")
        merged = dict(inherited)
        for key in extension.value:
            if key not in known:
                self._add_problem(extension.child(key), f"no such key: wanted one of {', '.join(known)}")
            else:
                merged[key] = extension.child(key)
        return merged

    def _base_paths(self, node: _Node, inherited: list[str]) -> list[str]:
        """Return the base paths of `servers` without a trailing slash, else the inherited ones."""
        if "servers" not in node.value:
            return inherited
        servers = node.child("servers")
        if not isinstance(servers.value, list):
            raise self._invalid(servers, f"servers is {_abbreviate(servers.value)}: wanted a list")
        if not servers.value:
            return ["/"]  # the same as no servers: the default of OpenAPI is /
        base_paths: list[str] = []
        for n, server in enumerate(servers.value):
            server_node = _Node(server, servers.uri, f"{servers.pointer}/{n}")
            if not isinstance(server, dict) or not isinstance(server.get("url"), str):
                raise self._invalid(server_node, "wanted a server with a url")
            base_path = self._base_path(server_node, server)
            if base_path not in base_paths:
                base_paths.append(base_path)
        if len(base_paths) > MAX_BASE_PATHS:
            raise self._invalid(servers, f"{len(base_paths)} base paths: wanted at most {MAX_BASE_PATHS}")
        return base_paths

    def _base_path(self, node: _Node, server: dict[str, Any]) -> str:
        url = server["url"]
        variables = server.get("variables", {})
        if isinstance(variables, dict):
            for name, variable in variables.items():
                if isinstance(variable, dict) and isinstance(variable.get("default"), str):
                    url = url.replace("{" + name + "}", variable["default"])
        if "{" in url:
            raise self._invalid(node, f"url {_abbreviate(url)} has a variable without a default")
        try:
            path = urlsplit(url).path
            if path and not path.startswith("/"):
                path = "/" + path.removeprefix("./")
            read_path(path or "/")
        except (InvalidTargetError, ValueError) as error:
            raise self._invalid(node, f"url {_abbreviate(url)}: {error}") from None
        return path.rstrip("/") or "/"

    def _read_path_item(
        self, node: _Node, template: str, base_paths: list[str], inherited: dict[str, _Node]
    ) -> None:
        try:
            names = [name for segment in read_template(template) for name in segment.names]
        except InvalidTemplateError as error:
            raise self._invalid(node, f"path {_abbreviate(template)}: {error}") from None
        item = self._resolve(node)
        if not isinstance(item.value, dict):
            raise self._invalid(item, f"wanted a path item, not {_abbreviate(item.value)}")
        extension = self._extension(item, inherited, EXTENSION_KEYS)
        base_paths = self._base_paths(item, base_paths)
        shared = self._parameters(item)
        for key in item.value:
            if key.upper() in METHODS and key == key.lower():
                self.description.operations += 1
                try:
                    self._read_operation(
                        item.child(key), key.upper(), template, names, base_paths, extension, shared
                    )
                except _InvalidNodeError:
                    continue

    def _parameters(self, node: _Node) -> dict[tuple[str, str], bool]:
        """Return the declared parameters by location and name."""
        if "parameters" not in node.value:
            return {}
        parameters = node.child("parameters")
        if not isinstance(parameters.value, list):
            raise self._invalid(parameters, f"parameters is {_abbreviate(parameters.value)}: wanted a list")
        declared: dict[tuple[str, str], bool] = {}
        for n, value in enumerate(parameters.value):
            parameter = self._resolve(_Node(value, parameters.uri, f"{parameters.pointer}/{n}"))
            if not isinstance(parameter.value, dict) or not all(
                isinstance(parameter.value.get(k), str) for k in ("in", "name")
            ):
                raise self._invalid(parameter, "wanted a parameter with in and name")
            declared[parameter.value["in"], parameter.value["name"]] = True
        return declared

    def _read_operation(
        self,
        node: _Node,
        method: str,
        template: str,
        names: list[str],
        base_paths: list[str],
        inherited: dict[str, _Node],
        shared: dict[tuple[str, str], bool],
    ) -> None:
        if not isinstance(node.value, dict):
            raise self._invalid(node, f"wanted an operation, not {_abbreviate(node.value)}")
        extension = self._extension(node, inherited, EXTENSION_KEYS)
        base_paths = self._base_paths(node, base_paths)
        declared = shared | self._parameters(node)
        for name in names:
            if ("path", name) not in declared:
                self._add_problem(node, f"path parameter {{{name}}} is not declared", error=False)
        operation = node.value.get("operationId", "")
        if not isinstance(operation, str):
            raise self._invalid(
                node.child("operationId"), f"operationId is {_abbreviate(operation)}: wanted a text"
            )
        rule = self._rule(extension, method, template, operation, node)
        units = self._units(extension.get("units"), node)
        customer = self._source(extension.get("customer"), Source("header", "account"), names)
        plan = self._source(extension.get("plan"), Source("header", "plan"), names)
        for base_path in base_paths:
            self.description.routes.append(
                Route(
                    method,
                    base_path.rstrip("/") + template,
                    rule,
                    units,
                    customer,
                    plan,
                    operation,
                    "#" + node.pointer,
                    node.value.get("deprecated") is True,
                )
            )

    # x-irisdeal

    def _rule(
        self, extension: dict[str, _Node], method: str, template: str, operation: str, node: _Node
    ) -> Rule:
        repeat, group, window, header = self._repeat(extension.get("repeat"), method)
        default = "read" if method in SAFE_METHODS else "write"
        rule = Rule(
            name=self._text(extension.get("class"), default),
            repeat=repeat,
            group=group,
            window=window,
            key_header=header,
            aim=self._microseconds(extension.get("aim_ms"), DEFAULT_AIM_US),
            deadline=self._microseconds(extension.get("deadline_ms"), DEFAULT_DEADLINE_US),
            worth=self._number(extension.get("worth"), 1.0),
            late_worth=self._number(extension.get("late_worth"), 0.0),
        )
        if (error_text := check_rule(rule)) is not None:
            key = error_text.split()[0]
            raise self._invalid(
                next((extension[k] for k in (key, f"{key}_ms") if k in extension), node), error_text
            )
        return rule

    def _repeat(self, node: _Node | None, method: str) -> tuple[Repeat, str, int, str]:
        defaults = ("zone", DEFAULT_WINDOW_US, "idempotency-key")
        if node is None:
            return Repeat.SAFE if method in SAFE_METHODS else Repeat.UNSAFE, *defaults
        value = node.value
        if value in ("safe", "unsafe", "keyed"):
            return Repeat[value.upper()], *defaults
        if not isinstance(value, dict) or set(value) != {"keyed"} or not isinstance(value["keyed"], dict):
            raise self._invalid(
                node,
                f"repeat is {_abbreviate(value)}: wanted safe, unsafe, keyed, or "
                "keyed with header, group, window_ms",
            )
        keyed = node.child("keyed")
        for key in keyed.value:
            if key not in ("header", "group", "window_ms"):
                raise self._invalid(keyed.child(key), "no such key: wanted one of header, group, window_ms")
        group = keyed.value.get("group", "zone")
        if group not in ("zone", "cell", "all"):
            raise self._invalid(
                keyed.child("group"), f"group is {_abbreviate(group)}: wanted zone, cell or all"
            )
        header = "idempotency-key"
        if "header" in keyed.value:
            header = self._header_name(keyed.child("header"))
        window = self._microseconds(
            keyed.child("window_ms") if "window_ms" in keyed.value else None, DEFAULT_WINDOW_US
        )
        return Repeat.KEYED, group, window, header

    def _header_name(self, node: _Node) -> str:
        name = node.value
        if (
            not isinstance(name, str)
            or not name
            or not name.replace("-", "").replace("_", "").isalnum()
            or not name.isascii()
            or len(name) > 64
        ):
            raise self._invalid(node, f"{_abbreviate(name)}: wanted the name of a header")
        if name.lower() in HOP_BY_HOP_HEADERS:
            raise self._invalid(node, f"{name}: a hop-by-hop header, which is not forwarded")
        return name.lower()

    def _units(self, node: _Node | None, operation_node: _Node) -> Units:
        if node is None:
            return Units()
        value = node.value
        if _is_number(value):
            return Units(self._units_amount(node))
        if not isinstance(value, dict) or ("query" in value) == ("body" in value):
            raise self._invalid(
                node, f"units is {_abbreviate(value)}: wanted a number, or one of query and body"
            )
        for key in value:
            if key not in ("query", "body", "default", "cap"):
                raise self._invalid(node.child(key), "no such key: wanted one of query, body, default, cap")
        place = "query" if "query" in value else "body"
        name = value[place]
        if not isinstance(name, str) or not name:
            raise self._invalid(node.child(place), f"{place} is {_abbreviate(name)}: wanted a text")
        if place == "body":
            try:
                pointer_tokens(name)
            except ValueError as error:
                raise self._invalid(node.child(place), f"{_abbreviate(name)}: {error}") from None
        default = self._units_amount(node.child("default")) if "default" in value else 1.0
        cap = self._units_amount(node.child("cap")) if "cap" in value else MAX_UNITS
        if default > cap:
            raise self._invalid(node, f"default is {default:g}: wanted at most the cap, {cap:g}")
        return Units(1.0, place, name, default, cap)

    def _units_amount(self, node: _Node) -> float:
        if not _is_number(node.value) or not 0 < node.value <= MAX_UNITS:
            raise self._invalid(
                node, f"{_abbreviate(node.value)}: wanted units over 0 and at most {MAX_UNITS:g}"
            )
        return float(node.value)

    def _source(self, node: _Node | None, default: Source, names: list[str]) -> Source:
        if node is None:
            return default
        value = node.value
        if not isinstance(value, dict) or len(value) != 1 or not value.keys() <= {"header", "query", "path"}:
            raise self._invalid(
                node, f"{_abbreviate(value)}: wanted one of header, query and path, with a name"
            )
        place, name = next(iter(value.items()))
        if place == "header":
            return Source(place, self._header_name(node.child(place)))
        if not isinstance(name, str) or not name:
            raise self._invalid(node.child(place), f"{_abbreviate(name)}: wanted a name")
        if place == "path" and name not in names:
            raise self._invalid(node.child(place), f"the path has no parameter {{{name}}}")
        return Source(place, name)

    def _text(self, node: _Node | None, default: str) -> str:
        if node is None:
            return default
        if not isinstance(node.value, str) or not 0 < len(node.value) <= 64:
            raise self._invalid(node, f"{_abbreviate(node.value)}: wanted a text of at most 64 characters")
        return node.value

    def _number(self, node: _Node | None, default: float) -> float:
        if node is None:
            return default
        if not _is_number(node.value):
            raise self._invalid(node, f"{_abbreviate(node.value)}: wanted a number")
        return float(node.value)

    def _microseconds(self, node: _Node | None, default: int) -> int:
        """Convert milliseconds to µs. A huge value becomes -1, which `check_rule` rejects as out of range."""
        value = self._number(node, default / 1000)
        return round(value * 1000) if abs(value) < 1e12 else -1

    def _report_ambiguities(self, top: _Node) -> None:
        matcher = Matcher()
        for route in self.description.routes:
            try:
                matcher.add(route)
            except RouteConflictError as conflict:
                self._add_problem(
                    _Node(None, self.root_uri, route.pointer[1:]),
                    f"{conflict}: wanted one of them, which stands at {conflict.existing.pointer}",
                )
            except (
                InvalidTemplateError
            ) as error:  # with the base path: too many segments, a repeated parameter
                self._add_problem(
                    _Node(None, self.root_uri, route.pointer[1:]),
                    f"path {_abbreviate(route.template)}: {error}",
                )
        for one, other in matcher.overlaps:
            self._add_problem(
                top,
                f"segments {one} and {other} can match the same text: the one with more literal "
                "characters goes first",
                error=False,
            )


def _leaves_folder(uri: str, path: str) -> bool:
    """Return whether a relative path leaves the folder at any step (a URL join would stop at the root)."""
    depth = len([p for p in urlsplit(uri).path.split("/")[1:-1] if p])
    if path.startswith("/"):
        return True  # an absolute path is not relative to the description
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


def _abbreviate(value: Any) -> str:
    """Return a value as error messages show it."""
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) > 10**20:
        return "a huge number"
    text = repr(value)
    return text if len(text) <= 80 else text[:77] + "..."


def _root_cause(error: BaseException) -> str:
    """Return the innermost cause in one line."""
    while error.__cause__ is not None or (error.__context__ is not None and not error.__suppress_context__):
        error = error.__cause__ or error.__context__  # type: ignore[assignment]
    if isinstance(error, OSError) and error.strerror:
        return error.strerror
    if isinstance(error, MalformedInputError):
        return str(error)
    return "no such value"


def compact_lines(description: Description) -> Iterator[str]:
    """Yield the compact form as JSON lines: a header, then each route (`irisdeal.front_door.routes.wire`)."""
    yield json.dumps(
        {"routes": len(description.routes), "allow": sorted(description.allow), "files": description.files}
    )
    for route in description.routes:
        yield json.dumps(route_to_wire(route))


def main() -> int:
    """Print the compact form of the file named on the command line."""
    if len(sys.argv) != 2:
        print("usage: python -m irisdeal.front_door.sources.openapi FILE", file=sys.stderr)
        return 2
    try:
        description = read(Path(sys.argv[1])).checked()
    except DescriptionError as error:
        print(json.dumps({"error": str(error)}))
        return 1
    for line in compact_lines(description):
        sys.stdout.write(line + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
