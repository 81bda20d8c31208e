"""Match a request target to its route in a tree of path segments.

The cost of a match grows with the path and not with the number of routes.
Candidates are tried in this order, leftmost segment first (OpenAPI, Path Templating Matching: concrete before
templated):

1. a literal segment,
2. a segment of literals and parameters, the one with the most literal characters first, then by its text,
3. a segment that is one parameter.

If a branch has no route for the request, the next candidate is tried. Two templates of one shape (`/a/{x}`,
`/a/{y}`) are an error when the tree is built (`RouteConflictError`). Where two mixed segments at one position
can match the same text, the order above decides, and `Matcher.overlaps` lists the pair, so that no ambiguity
stays unreported.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from irisdeal.front_door.routes.model import Route
from irisdeal.front_door.routes.path import Segment, Target, read_template

MAX_OVERLAPS = 100  # reported pairs; further ones add no information


class RouteConflictError(ValueError):
    """Two routes of one method match the same targets."""

    def __init__(self, existing: Route, added: Route) -> None:
        super().__init__(
            f"{added.method} {added.template} matches what {existing.method} {existing.template} matches"
        )
        self.existing, self.added = existing, added


@dataclass(slots=True)
class _Node:
    literals: dict[str, _Node] = field(default_factory=dict)
    mixed: list[tuple[Segment, _Node]] = field(default_factory=list)
    parameter: _Node | None = None
    # By method, with the parameter names in order; GET's route also serves HEAD if HEAD has none of its own.
    routes_by_method: dict[str, tuple[Route, tuple[str, ...]]] = field(default_factory=dict)
    described: dict[str, Route] = field(default_factory=dict)  # by method, without GET's route for HEAD


class RouteMatch:
    """A route with its parameter values, or the methods that the path allows (status 405)."""

    __slots__ = ("allowed_methods", "names", "route", "values")

    def __init__(
        self,
        route: Route | None,
        names: tuple[str, ...] = (),
        values: Sequence[str] = (),
        allowed_methods: tuple[str, ...] = (),
    ) -> None:
        self.route, self.names, self.values, self.allowed_methods = route, names, values, allowed_methods

    @property
    def parameters(self) -> dict[str, str]:
        """Return the values by parameter name, percent-decoded once."""
        return dict(zip(self.names, self.values, strict=True))


NO_MATCH = RouteMatch(None)


class Matcher:
    """The routes of one generation. `add` builds it; afterwards it is only read."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self.root = _Node()
        self.overlaps: list[tuple[str, str]] = []
        self.count = 0
        for route in routes:
            self.add(route)

    def add(self, route: Route) -> None:
        """Add a route. Raises `RouteConflictError` or `InvalidTemplateError`."""
        segments = read_template(route.template)
        node = self.root
        for segment in segments:
            node = self._child_node(node, segment)
        if (other := node.described.get(route.method)) is not None:
            raise RouteConflictError(other, route)
        node.described[route.method] = route
        names = tuple(name for segment in segments for name in segment.names)
        node.routes_by_method[route.method] = route, names
        if route.method == "GET" and "HEAD" not in node.described:  # RFC 9110 9.3.2
            node.routes_by_method["HEAD"] = route, names
        self.count += 1

    def _child_node(self, node: _Node, segment: Segment) -> _Node:
        if not segment.names:
            return node.literals.setdefault(segment.literals[0], _Node())
        if segment.is_parameter:
            if node.parameter is None:
                node.parameter = _Node()
            return node.parameter
        for other, child in node.mixed:
            if other.shape == segment.shape:
                return child
        for other, _ in node.mixed:
            if len(self.overlaps) < MAX_OVERLAPS and _may_overlap(other, segment):
                self.overlaps.append((_segment_text(other), _segment_text(segment)))
        child = _Node()
        node.mixed.append((segment, child))
        node.mixed.sort(key=lambda pair: (-sum(map(len, pair[0].literals)), pair[0].literals))
        return child

    def find(self, method: str, target: Target) -> RouteMatch:
        """Return the route of a request, or in `allowed_methods` the methods that its path has."""
        values: list[str] = []
        found = _find_route(self.root, target.segments, 0, method, values)
        if found is not None:
            return RouteMatch(found[0], found[1], values)
        methods: set[str] = set()
        for node in _reached_nodes(self.root, target.segments, 0):
            methods.update(node.routes_by_method)
        return RouteMatch(None, allowed_methods=tuple(sorted(methods))) if methods else NO_MATCH


def _find_route(
    node: _Node,
    segments: Sequence[str],
    index: int,
    method: str,
    values: list[str],
) -> tuple[Route, tuple[str, ...]] | None:
    """Return the first candidate that has the method, with its parameter names, and append its values.

    Only one path leads to each node of the tree, so each is visited at most once.
    """
    count = len(segments)
    while index < count:
        segment = segments[index]
        index += 1
        child = node.literals.get(segment)
        if child is not None:
            if node.parameter is None and not node.mixed:
                node = child
                continue
            depth = len(values)
            if (found := _find_route(child, segments, index, method, values)) is not None:
                return found
            del values[depth:]
        if not segment:
            return None  # parameters never match an empty segment
        for pattern, child in node.mixed:
            if (match := pattern.pattern.fullmatch(segment)) is not None:  # type: ignore[union-attr]
                depth = len(values)
                values += match.groups()
                if (found := _find_route(child, segments, index, method, values)) is not None:
                    return found
                del values[depth:]
        if node.parameter is None:
            return None
        values.append(segment)
        node = node.parameter
    return node.routes_by_method.get(method)


def _reached_nodes(node: _Node, segments: Sequence[str], index: int) -> Iterator[_Node]:
    """Yield every node that the segments lead to, of any method."""
    if index == len(segments):
        yield node
        return
    segment = segments[index]
    if (child := node.literals.get(segment)) is not None:
        yield from _reached_nodes(child, segments, index + 1)
    if segment:
        for pattern, child in node.mixed:
            if pattern.pattern is not None and pattern.pattern.fullmatch(segment):
                yield from _reached_nodes(child, segments, index + 1)
        if node.parameter is not None:
            yield from _reached_nodes(node.parameter, segments, index + 1)


def _may_overlap(one: Segment, other: Segment) -> bool:
    """Return whether a text may match both: the shorter prefix and suffix agree with the longer ones."""
    heads = (one.literals[0], other.literals[0])
    tails = (one.literals[-1], other.literals[-1])
    head, tail = min(map(len, heads)), min(map(len, tails))
    return heads[0][:head] == heads[1][:head] and (not tail or tails[0][-tail:] == tails[1][-tail:])


def _segment_text(segment: Segment) -> str:
    text = segment.literals[0]
    for name, literal in zip(segment.names, segment.literals[1:], strict=True):
        text += f"{{{name}}}{literal}"
    return text
