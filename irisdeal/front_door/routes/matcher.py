"""From a target to its route: a tree of segments, so that the cost grows with the path and not with the
routes.

Order, leftmost segment first (OpenAPI, Path Templating Matching: concrete before templated):

1. a literal segment,
2. a segment of literals and parameters, the one with most literal characters first, then the earlier in text,
3. a segment that is one parameter.

A branch that leads to no route is left for the next one. Two templates of one shape (`/a/{x}`, `/a/{y}`) are
told when the tree is made (`RouteConflictError`): the description may not have both. Where two mixed segments
of one place can match the same text the order above decides, and `Matcher.overlaps` tells of it: no ambiguity is
silent.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from irisdeal.front_door.routes.model import Route
from irisdeal.front_door.routes.path import Segment, Target, read_template

MOST_OVERLAPS = 100  # told of; more say nothing new


class RouteConflictError(ValueError):
    """Two routes that no target can tell apart."""

    def __init__(self, one: Route, other: Route) -> None:
        super().__init__(f"{other.method} {other.template} matches what {one.method} {one.template} matches")
        self.one, self.other = one, other


@dataclass(slots=True)
class _Node:
    literals: dict[str, _Node] = field(default_factory=dict)
    mixed: list[tuple[Segment, _Node]] = field(default_factory=list)
    parameter: _Node | None = None
    # By method, with its parameters in order; GET's stands for HEAD where HEAD has none of its own.
    able: dict[str, tuple[Route, tuple[str, ...]]] = field(default_factory=dict)
    own: dict[str, Route] = field(default_factory=dict)  # by method, as described


class Found:
    """A route and its parameters; or the methods that the path has, for 405."""

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
        """By name, decoded once."""
        return dict(zip(self.names, self.values, strict=True))


NOTHING = Found(None)


class Matcher:
    """All routes of one generation. Built by `add`, then only read."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self.root = _Node()
        self.overlaps: list[tuple[str, str]] = []
        self.count = 0
        for route in routes:
            self.add(route)

    def add(self, route: Route) -> None:
        """One more route. Raises `RouteConflictError`, or `InvalidTemplateError` of `path`."""
        segments = read_template(route.template)
        node = self.root
        for segment in segments:
            node = self._child(node, segment)
        if (other := node.own.get(route.method)) is not None:
            raise RouteConflictError(other, route)
        node.own[route.method] = route
        names = tuple(name for segment in segments for name in segment.names)
        node.able[route.method] = route, names
        if route.method == "GET" and "HEAD" not in node.own:  # RFC 9110 9.3.2
            node.able["HEAD"] = route, names
        self.count += 1

    def _child(self, node: _Node, segment: Segment) -> _Node:
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
            if len(self.overlaps) < MOST_OVERLAPS and _may_overlap(other, segment):
                self.overlaps.append((_text(other), _text(segment)))
        child = _Node()
        node.mixed.append((segment, child))
        node.mixed.sort(key=lambda pair: (-sum(map(len, pair[0].literals)), pair[0].literals))
        return child

    def find(self, method: str, target: Target) -> Found:
        """The route of a request; where only other methods are described, `allowed_methods` names them."""
        values: list[str] = []
        able = _search(self.root, target.segments, 0, method, values)
        if able is not None:
            return Found(able[0], able[1], values)
        methods: set[str] = set()
        for node in _reached(self.root, target.segments, 0):
            methods.update(node.able)
        return Found(None, allowed_methods=tuple(sorted(methods))) if methods else NOTHING


def _search(
    node: _Node,
    segments: Sequence[str],
    at: int,
    method: str,
    values: list[str],
) -> tuple[Route, tuple[str, ...]] | None:
    """The first choice that has the method; its parameters are behind what `values` held.

    A node of the tree is reached by one way only, so each is looked at once at most.
    """
    count = len(segments)
    while at < count:
        segment = segments[at]
        at += 1
        child = node.literals.get(segment)
        if child is not None:
            if node.parameter is None and not node.mixed:
                node = child
                continue
            depth = len(values)
            if (found := _search(child, segments, at, method, values)) is not None:
                return found
            del values[depth:]
        if not segment:
            return None  # parameters are not empty
        for pattern, child in node.mixed:
            if (match := pattern.pattern.fullmatch(segment)) is not None:  # type: ignore[union-attr]
                depth = len(values)
                values += match.groups()
                if (found := _search(child, segments, at, method, values)) is not None:
                    return found
                del values[depth:]
        if node.parameter is None:
            return None
        values.append(segment)
        node = node.parameter
    return node.able.get(method)


def _reached(node: _Node, segments: Sequence[str], at: int) -> Iterator[_Node]:
    """Every node that the segments lead to, whatever its methods."""
    if at == len(segments):
        yield node
        return
    segment = segments[at]
    if (child := node.literals.get(segment)) is not None:
        yield from _reached(child, segments, at + 1)
    if segment:
        for pattern, child in node.mixed:
            if pattern.pattern is not None and pattern.pattern.fullmatch(segment):
                yield from _reached(child, segments, at + 1)
        if node.parameter is not None:
            yield from _reached(node.parameter, segments, at + 1)


def _may_overlap(one: Segment, other: Segment) -> bool:
    """Whether some text may match both: their beginnings and ends agree as far as both go."""
    heads = (one.literals[0], other.literals[0])
    tails = (one.literals[-1], other.literals[-1])
    head, tail = min(map(len, heads)), min(map(len, tails))
    return heads[0][:head] == heads[1][:head] and (not tail or tails[0][-tail:] == tails[1][-tail:])


def _text(segment: Segment) -> str:
    made = segment.literals[0]
    for name, literal in zip(segment.names, segment.literals[1:], strict=True):
        made += f"{{{name}}}{literal}"
    return made
