"""Tests of routes: targets, the matcher against a linear search, costs, table comparison and class
numbers.
"""

from __future__ import annotations

import re
from contextlib import suppress
from dataclasses import replace
from urllib.parse import quote, unquote

import pytest
from hypothesis import given
from hypothesis import strategies as st

from irisdeal.front_door.routes.costs import InvalidUnitsError, pointer_tokens, read_units
from irisdeal.front_door.routes.difference import compare_tables, is_weaker, refusal_reason
from irisdeal.front_door.routes.matcher import Matcher, RouteConflictError
from irisdeal.front_door.routes.model import Repeat, Route, Rule, Source, Units, check_rule
from irisdeal.front_door.routes.path import (
    InvalidTargetError,
    InvalidTemplateError,
    read_target,
    read_template,
)
from irisdeal.front_door.routes.table import ClassNumbers, DescriptionLimitError, build, build_in_steps
from irisdeal.front_door.routes.wire import route_from_wire, route_to_wire

SAFE, KEYED, UNSAFE = Rule("r", Repeat.SAFE), Rule("k", Repeat.KEYED), Rule("u", Repeat.UNSAFE)


def route(method: str, template: str, rule: Rule = UNSAFE, **changes: object) -> Route:
    return Route(method, template, rule, **changes)  # type: ignore[arg-type]


def find(matcher: Matcher, method: str, target: str) -> str | None:
    found = matcher.find(method, read_target(target))
    return found.route.template if found.route else None


# Targets


@pytest.mark.parametrize(
    ("target", "segments", "query", "path_and_query"),
    [
        ("/", ("",), "", "/"),
        ("/a/b?x=1?2", ("a", "b"), "x=1?2", "/a/b?x=1?2"),
        ("/a%2Fb/c", ("a/b", "c"), "", "/a%2Fb/c"),
        ("/a%252Fb", ("a%2Fb",), "", "/a%252Fb"),  # decoded once
        ("/a//b/", ("a", "", "b", ""), "", "/a//b/"),
        ("/%C3%A9+", ("é+",), "", "/%C3%A9+"),
        ("http://h:80/a?b", ("a",), "b", "/a?b"),
        ("HTTPS://h", ("",), "", "/"),
        ("http://h?q=1", ("",), "q=1", "/?q=1"),
        ("*", ("*",), "", "*"),
    ],
)
def test_targets_are_parsed(target: str, segments: tuple[str, ...], query: str, path_and_query: str) -> None:
    read = read_target(target)
    assert (tuple(read.segments), read.query, read.path_and_query) == (segments, query, path_and_query)


@pytest.mark.parametrize(
    "target",
    [
        "/a/../b",
        "/a/./b",
        "/%2e%2E/a",
        "/a/.%2e",
        "/a%",
        "/a%g0",
        "/a%00b",
        "/a%0ab",
        "/a\x01",
        "a/b",
        "",
        "/a#b",
        "ftp://h/a",
        "/" + "a" * 20_000,
        "/" * 300,
    ],
)
def test_targets_that_a_backend_may_parse_differently_are_rejected(target: str) -> None:
    with pytest.raises(InvalidTargetError):
        read_target(target)


@pytest.mark.parametrize(
    "template",
    [
        "a",
        "/a?b",
        "/a#b",
        "/{}",
        "/{a}{b}",
        "/{a",
        "/a}",
        "/{a}/{a}",
        "/{a}.{a}",
        "/../a",
        "/a%zz",
        "/a%00",
    ],
)
def test_invalid_templates_are_rejected(template: str) -> None:
    with pytest.raises(InvalidTemplateError):
        read_template(template)


# Matching


def test_concrete_goes_before_mixed_before_parameter() -> None:
    matcher = Matcher(
        route("GET", t)
        for t in ("/r/{id}", "/r/mine", "/r/{id}.pdf", "/r/draft-{id}.pdf", "/r/{a}-{b}", "/{x}/mine")
    )
    for target, template in (
        ("/r/mine", "/r/mine"),
        ("/r/7", "/r/{id}"),
        ("/r/7.pdf", "/r/{id}.pdf"),
        ("/r/draft-7.pdf", "/r/draft-{id}.pdf"),
        ("/r/a-b", "/r/{a}-{b}"),
        ("/q/mine", "/{x}/mine"),
        ("/r/%6dine", "/r/mine"),
        ("/r/mi%2Fne", "/r/{id}"),
    ):
        assert find(matcher, "GET", target) == template
    assert [find(matcher, "GET", t) for t in ("/r/", "/r", "/r/7/", "//mine", "/r//7", "*")] == [None] * 6


def test_a_branch_without_a_route_is_abandoned() -> None:
    matcher = Matcher(route("GET", t) for t in ("/a/b/c", "/a/{x}/d", "/{y}/b/e", "/{y}/{x}/{z}"))
    assert find(matcher, "GET", "/a/b/d") == "/a/{x}/d"
    assert find(matcher, "GET", "/a/b/e") == "/{y}/b/e"
    assert find(matcher, "GET", "/a/b/f") == "/{y}/{x}/{z}"


def test_parameters_are_decoded_once_and_belong_to_the_method_that_names_them() -> None:
    matcher = Matcher([route("GET", "/s/{store}/{n}.{kind}"), route("PUT", "/s/{shop}/{n}.{form}")])
    found = matcher.find("GET", read_target("/s/a%2Fb%2525/7.8.pdf"))
    assert found.parameters == {"store": "a/b%25", "n": "7", "kind": "8.pdf"}
    assert set(matcher.find("PUT", read_target("/s/a/7.x")).parameters) == {"shop", "n", "form"}


def test_a_path_without_the_method_lists_its_methods_and_get_serves_head() -> None:
    matcher = Matcher([route("GET", "/a"), route("POST", "/a"), route("DELETE", "/{x}"), route("POST", "/b")])
    found = matcher.find("PATCH", read_target("/a"))
    assert (found.route, found.allowed_methods) == (None, ("DELETE", "GET", "HEAD", "POST"))
    assert find(matcher, "HEAD", "/a") == "/a" and find(matcher, "HEAD", "/b") is None
    assert find(matcher, "DELETE", "/a") == "/{x}"  # a later candidate has the method
    assert matcher.find("GET", read_target("/x/y")).allowed_methods == ()
    own = Matcher([route("GET", "/a", SAFE), route("HEAD", "/a", KEYED)])
    head = own.find("HEAD", read_target("/a")).route
    assert head is not None and head.rule is KEYED


def test_templates_of_one_shape_conflict_and_overlaps_are_listed() -> None:
    with pytest.raises(RouteConflictError, match=r"GET /a/\{y\} matches what GET /a/\{x\} matches"):
        Matcher([route("GET", "/a/{x}"), route("GET", "/a/{y}")])
    with pytest.raises(RouteConflictError):
        Matcher([route("GET", "/a%2Db"), route("GET", "/a-b")])
    assert Matcher([route("GET", "/a/{x}"), route("PUT", "/a/{y}")]).overlaps == []
    assert Matcher([route("GET", "/{x}.pdf"), route("GET", "/r{x}")]).overlaps == [("{x}.pdf", "r{x}")]
    assert Matcher([route("GET", "/{x}.pdf"), route("GET", "/{x}.txt")]).overlaps == []


LITERALS = st.sampled_from(["a", "b", "ab", "a.b", "-", "x%2Fy", "é"])
SEGMENT = st.one_of(
    LITERALS,
    st.just("{p}"),
    st.tuples(LITERALS, st.just("{p}")).map("".join),
    st.tuples(st.just("{p}"), LITERALS).map("".join),
    st.tuples(LITERALS, st.just("{p}"), LITERALS).map("".join),
)
TEMPLATES = st.lists(SEGMENT, min_size=1, max_size=4).map(
    lambda parts: "/" + "/".join(p.replace("{p}", f"{{p{n}}}") for n, p in enumerate(parts))
)
TEXTS = st.lists(
    st.sampled_from(["a", "b", "ab", "a.b", "-", "x/y", "é", "aab", "a-b", "%2F"]), min_size=1, max_size=2
).map("".join)
PATHS = st.lists(TEXTS, min_size=1, max_size=4)


def shape(template: str) -> tuple[tuple[str, ...], ...]:
    return tuple(tuple(unquote(t) for t in re.split(r"\{[^}]*\}", s)) for s in template.split("/")[1:])


def linear_search(templates: list[str], segments: list[str]) -> str | None:
    """Match each template as a list of patterns and return the first in the documented order."""

    def rank(literals: tuple[str, ...]) -> tuple[int, int, tuple[str, ...]]:
        kind = 0 if len(literals) == 1 else 2 if literals == ("", "") else 1
        return kind, -sum(map(len, literals)) if kind == 1 else 0, literals

    matches = []
    for template in templates:
        parts = shape(template)
        if len(parts) == len(segments) and all(
            re.fullmatch("(?:.+)".join(map(re.escape, literals)), text, re.DOTALL)
            for literals, text in zip(parts, segments, strict=True)
        ):
            matches.append(([rank(literals) for literals in parts], template))
    return min(matches)[1] if matches else None


@given(st.lists(TEMPLATES, max_size=12, unique_by=shape), st.lists(PATHS, min_size=1, max_size=6))
def test_the_matcher_agrees_with_a_list_of_patterns(templates: list[str], paths: list[list[str]]) -> None:
    matcher = Matcher(route("GET", t) for t in templates)
    for segments in paths:
        target = "/" + "/".join(quote(s, safe="") for s in segments)
        assert find(matcher, "GET", target) == linear_search(templates, segments), (templates, target)


@given(st.lists(TEMPLATES, min_size=1, max_size=12, unique_by=shape), st.randoms())
def test_the_order_of_the_description_does_not_matter(templates: list[str], rng: object) -> None:
    shuffled = list(templates)
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    first, second = (Matcher(route("GET", t) for t in order) for order in (templates, shuffled))
    for template in templates:
        target = re.sub(r"\{[^}]*\}", "ab", template)
        assert find(first, "GET", target) == find(second, "GET", target) is not None


@given(st.text(max_size=60))
def test_any_target_is_parsed_or_rejected(text: str) -> None:
    try:
        read = read_target(text)
    except InvalidTargetError:
        return
    assert Matcher([route("GET", "/{a}"), route("GET", "/x{a}y")]).find("GET", read) is not None


def test_thousands_of_branches_are_walked_once() -> None:
    matcher = Matcher(route("GET", f"/a/{{x}}/{n}/{{y}}/end") for n in range(5_000))
    assert find(matcher, "GET", "/a/q/4999/r/end") == "/a/{x}/4999/{y}/end"
    assert find(matcher, "GET", "/a/q/4999/r/no") is None


# Costs


@pytest.mark.parametrize(
    ("units", "query", "body", "amount"),
    [
        (Units(2.0), "", b"", 2.0),
        (Units(place="query", name="n"), "m=3&n=4.5", b"", 4.5),
        (Units(place="query", name="n"), "%6E=4", b"", 4.0),
        (Units(place="query", name="n", default=3.0), "m=3", b"", 3.0),
        (Units(place="query", name="n", cap=4.0), "n=900", b"", 4.0),
        (Units(place="body", name="/items/1/n"), "", b'{"items":[{"n":1},{"n":3}]}', 3.0),
        (Units(place="body", name="/a~1b/~0"), "", b'{"a/b":{"~":2}}', 2.0),
        (Units(place="body", name="/items/9", default=2.0), "", b'{"items":[1]}', 2.0),
        (Units(place="body", name="/items/-", default=2.0), "", b'{"items":[1]}', 2.0),
        (Units(place="body", name="/n", default=2.0), "", b"", 2.0),
        (Units(place="body", name="/n"), "", b'{"n":"7"}', 7.0),
        (Units(place="body", name=""), "", b"5", 5.0),
    ],
)
def test_units_are_read(units: Units, query: str, body: bytes, amount: float) -> None:
    assert read_units(units, query, body) == amount


@pytest.mark.parametrize(
    ("place", "text"),
    [
        ("query", "n=-1"),
        ("query", "n=0"),
        ("query", "n=nan"),
        ("query", "n=1e400"),
        ("query", "n="),
        ("query", "n=1&n=2"),
        ("query", "n=1&%6e=2"),
        ("query", "n=99999999"),
        ("query", "n=1_0"),
        ("query", "n=" + "1" * 20_000),
        ("body", '{"n":-2}'),
        ("body", '{"n":NaN}'),
        ("body", '{"n":1e400}'),
        ("body", '{"n":0}'),
        ("body", '{"n":true}'),
        ("body", '{"n":[1]}'),
        ("body", '{"n":"two"}'),
        ("body", "no json"),
        ("body", '{"n":' + "9" * 30_000 + "}"),
        ("body", '{"n":' + "[" * 30_000),
        ("body", "[" * 65_000),
        ("body", '{"n":1}' + " " * 70_000),
        ("body", "\xff"),
        ("body", '{"n":Infinity}'),
    ],
)
def test_units_that_are_not_a_number_are_an_error_of_the_request(place: str, text: str) -> None:
    units = Units(place=place, name="n" if place == "query" else "/n")
    with pytest.raises(InvalidUnitsError):
        read_units(
            units, text if place == "query" else "", text.encode("latin-1") if place == "body" else b""
        )


@given(st.binary(max_size=200), st.text(max_size=40))
def test_any_body_and_query_cost_units_within_bounds_or_are_rejected(body: bytes, query: str) -> None:
    for units in (Units(place="body", name="/n", cap=9.0), Units(place="query", name="n", cap=9.0)):
        with suppress(InvalidUnitsError):
            assert 0 < read_units(units, query, body) <= 9.0


def test_pointers_follow_rfc_6901() -> None:
    assert pointer_tokens("") == [] and pointer_tokens("/") == [""] and pointer_tokens("/~01") == ["~1"]
    for bad in ("a", "/~", "/~2"):
        with pytest.raises(ValueError):
            pointer_tokens(bad)


# Rules, differences, swaps


def test_a_rule_with_invalid_values_is_rejected_with_the_reason() -> None:
    assert check_rule(SAFE) is None
    assert "aim is 9000 ms: wanted at most the deadline" in (check_rule(replace(SAFE, aim=9_000_000)) or "")
    for changes in (
        {"aim": 0},
        {"deadline": -1},
        {"window": 0},
        {"worth": 0.0},
        {"late_worth": 1.5},
        {"worth": float("nan")},
    ):
        assert check_rule(replace(SAFE, **changes)) is not None


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        (UNSAFE, KEYED, True),
        (UNSAFE, SAFE, True),
        (KEYED, SAFE, True),
        (SAFE, KEYED, False),
        (KEYED, UNSAFE, False),
        (SAFE, SAFE, False),
        (KEYED, replace(KEYED, window=6_000_000), True),
        (KEYED, replace(KEYED, window=4_000_000), False),
        (KEYED, replace(KEYED, group="all"), True),
        (KEYED, replace(KEYED, group="cell"), True),
        (replace(KEYED, group="all"), KEYED, False),
        (KEYED, replace(KEYED, key_header="x-key"), True),
        (KEYED, replace(KEYED, aim=1), False),
    ],
)
def test_a_rule_is_weaker_if_it_allows_a_repeat_that_the_old_one_forbids(
    old: Rule, new: Rule, expected: bool
) -> None:
    assert is_weaker(old, new) is expected


RULES = st.builds(
    Rule,
    st.just("c"),
    st.sampled_from(Repeat),
    st.sampled_from(["zone", "cell", "all"]),
    st.integers(1, 9_000_000),
)


@given(RULES, RULES)
def test_the_stricter_of_two_rules_allows_nothing_that_either_forbids(first: Rule, second: Rule) -> None:
    result = first.restricted_by(second)
    for rule in (first, second):
        assert result.repeat >= rule.repeat
        if result.repeat is Repeat.KEYED and rule.repeat is Repeat.KEYED:
            assert result.window <= rule.window and rule.group in ("all", result.group)
    assert (result.aim, result.name) == (first.aim, first.name)
    assert result.restricted_by(second) == result and first.restricted_by(first) == first


def test_changes_between_tables_and_refused_swaps() -> None:
    old = build([route("GET", "/a", SAFE), route("POST", "/b", UNSAFE), route("PUT", "/c", KEYED)])
    new = build(
        [
            route("GET", "/a", KEYED, units=Units(2.0)),
            route("POST", "/b", KEYED),
            route("PUT", "/d", replace(KEYED, aim=5)),
        ]
    )
    assert [(c.kind, c.template) for c in compare_tables(old, new)] == [
        ("stricter", "/a"),
        ("cost", "/a"),
        ("name", "/a"),
        ("weaker", "/b"),
        ("name", "/b"),
        ("gone", "/c"),
        ("new", "/d"),
    ]
    assert refusal_reason(old, new) == (
        "POST /b: unsafe would become keyed by idempotency-key, zone, 5000 ms: "
        "wanted weaken in x-irisdeal allow"
    )
    new.allow_weaken = True
    assert refusal_reason(old, new) == "PUT /c would be gone: wanted remove in x-irisdeal allow"
    new.allow_remove = True
    assert refusal_reason(old, new) is None and refusal_reason(old, old) is None
    renamed = [build([route("GET", f"/a/{{{name}}}", SAFE)]) for name in "xy"]
    assert compare_tables(*renamed) == [] and refusal_reason(*renamed) is None


def test_a_table_is_built_in_small_steps_and_its_digest_is_its_content() -> None:
    routes = [route("GET", f"/r{n}/{{x}}", SAFE) for n in range(1_000)]
    steps = list(build_in_steps(routes))
    assert len(steps) == 1_000 // 16 + 1 and steps[0] is steps[-1]
    assert build(routes).digest == steps[-1].digest != build(routes[1:]).digest
    assert build(routes, allow_weaken=True).digest != steps[-1].digest
    with pytest.raises(DescriptionLimitError):
        build(route("GET", f"/r{n}", replace(SAFE, name=f"c{n}")) for n in range(1_001))


def test_routes_survive_the_compact_form_unchanged() -> None:
    units = Units(1, "body", "/n", 2.0, 4.0)
    result = route(
        "POST",
        "/a/{x}",
        replace(KEYED, window=7, worth=2.5),
        units=units,
        customer=Source("path", "x"),
        plan=Source("query", "p"),
        operation="op",
        pointer="#/x",
        deprecated=True,
    )
    shared: dict[Rule, Rule] = {}
    read = [route_from_wire(route_to_wire(result), shared) for _ in range(2)]
    assert read == [result, result] and read[0].rule is read[1].rule
    with pytest.raises(ValueError):
        route_from_wire([1, 2], {})


# Class numbers


def rules(*names: str) -> list[Rule]:
    return [Rule(name) for name in names]


def test_numbers_stay_over_generations_and_are_reused_when_unused() -> None:
    classes = ClassNumbers(reserved_count=2)
    a, b, c, d = rules("a", "b", "c", "d")
    assert classes.activate([a, b]) == {a: 2, b: 3}
    classes.acquire(2)
    assert classes.activate([b, c]) == {b: 3, c: 4}  # an open request uses a
    assert classes.rules == [None, None, a, b, c]
    classes.release(2)
    assert classes.activate([b, d]) == {b: 3, d: 2}  # a and c are unused
    assert classes.rules == [None, None, d, b, None]


def test_fifty_swaps_do_not_multiply_the_classes() -> None:
    classes = ClassNumbers()
    for swap in range(50):
        numbers = classes.activate(rules(*(f"{swap}-{n}" for n in range(10))))
        classes.acquire(numbers[Rule(f"{swap}-0")])
        if swap:
            classes.release(classes.numbers_by_rule[Rule(f"{swap - 1}-0")])
    assert len(classes.rules) <= 3 * 10


@given(
    st.lists(
        st.one_of(
            st.lists(st.sampled_from("abcdef"), min_size=1, max_size=4, unique=True).map(
                lambda n: ("swap", n)
            ),
            st.sampled_from("abcdef").map(lambda n: ("use", n)),
            st.just(("release", "")),
        ),
        max_size=40,
    )
)
def test_the_number_of_an_open_request_is_not_reused_for_another_class(
    steps: list[tuple[str, list[str] | str]],
) -> None:
    classes, held = ClassNumbers(reserved_count=1), list[tuple[int, Rule]]()
    classes.activate(rules("a"))
    for action, argument in steps:
        if action == "swap":
            classes.activate(rules(*argument))
        elif action == "use":
            rule = Rule(str(argument))
            if (number := classes.numbers_by_rule.get(rule)) in classes.active_numbers and number is not None:
                classes.acquire(number)
                held.append((number, rule))
        elif held:
            classes.release(held.pop()[0])
        assert all(classes.rules[number] == rule for number, rule in held)
        numbers = [n for n, rule in enumerate(classes.rules) if rule is not None]
        assert len(numbers) == len(set(numbers)) == len(classes.numbers_by_rule)
