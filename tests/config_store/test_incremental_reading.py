"""Incremental parsing of configurations: always the same result as parsing the complete body."""

from __future__ import annotations

import copy
import json
import re
from random import Random
from typing import Any

import dacite
import pytest
from hypothesis import given, settings, strategies
from returns.result import Failure, Success

from irisdeal.config_store.configuration import incremental_reading
from irisdeal.config_store.configuration.cached_reading import parse_cached
from irisdeal.config_store.configuration.incremental_reading import read_incrementally
from irisdeal.config_store.configuration.index import Index
from irisdeal.config_store.configuration.outline import ParsedConfiguration
from irisdeal.config_store.configuration.parsing import parse_configuration
from irisdeal.config_store.configuration.stepwise import run_to_completion
from tests.support.configurations import change, configuration

DUMPS: list[dict[str, Any]] = [{"separators": (",", ":")}, {}, {"indent": 1}, {"ensure_ascii": False}]


def body(data: Any, style: int = 0) -> bytes:
    return json.dumps(data, **DUMPS[style]).encode()


def check_index(parsed: ParsedConfiguration) -> None:
    """Check that the index is that of the configuration."""
    index = Index.of(parsed.configuration)
    assert parsed.index == index
    for host, rules in index.hosts.items():
        assert parsed.index.hosts[host] == rules


def parse_both_ways(text: bytes, before: ParsedConfiguration | None) -> ParsedConfiguration | None:
    """Check that both ways of parsing have the same result or error; return the last valid configuration."""
    complete, incremental = parse_configuration(text), run_to_completion(read_incrementally(text, before))
    if isinstance(complete, Failure):
        assert isinstance(incremental, Failure)
        error, expected = incremental.failure(), complete.failure()
        assert (error.step, error.peer) == (expected.step, expected.peer)
        assert _without_value(error.detail) == _without_value(expected.detail)
        return before
    assert isinstance(incremental, Success), incremental
    assert incremental.unwrap().configuration == complete.unwrap() and incremental.unwrap().body == text
    parsed: ParsedConfiguration = incremental.unwrap()
    check_index(parsed)
    return parsed


def _without_value(detail: str) -> str:
    """Return the detail without the value: dacite shows some values with their memory address."""
    return detail.partition("instead of value")[0]


def corrupt(data: dict[str, Any], rng: Random) -> Any:
    """Return the data with a random error, or with an unusual shape that may be valid."""
    data = copy.deepcopy(data)
    rules, tenants, pools = data["sockets"][0]["rules"], data["tenants"], data["pools"]
    rule, other = rng.choice(rules), rng.choice(data["sockets"])["rules"][0]
    which = rng.randrange(36)
    match which:
        case 0:
            rule["effect"] = {"service": "nowhere", "timeout_ms": 100}
        case 1:
            other["pattern"] = dict(rule["pattern"])
            data["sockets"][0]["rules"].append(dict(rule))
        case 2:
            rule["effect"]["weighted"] = [{"service": pools[0]["name"], "weight": 0}]
        case 3:
            rule["effect"]["weighted"] = [
                {"service": pools[0]["name"], "weight": -1},
                {"service": pools[1]["name"], "weight": 9},
            ]
        case 4:
            rule["target_ms"] = 900_000
        case 5:
            data["sockets"][0]["hostname"] = rng.choice(["", " ", "\ud800.example", 7, None])
        case 6:
            tenants[0]["api_keys"] = [*tenants[-1]["api_keys"], "mine"]
        case 7:
            tenants.append(dict(tenants[0]))
        case 8:
            pools.append(dict(pools[0]))
        case 9:
            pools.pop(rng.randrange(len(pools)))
        case 10:
            rule["pattern"]["path_prefix"] = rng.choice(["a/", "/a", "", "/\ud900/"])
        case 11:
            rule["kind"] = "often"
        case 12:
            rule["effect"]["timeout_ms"] = 0
        case 13:
            tenants[0]["rate_per_s"] = -1
        case 14:
            data["generation"] = rng.choice(["v1", 7, None, "r"])
        case 15:
            del data[rng.choice(["sockets", "pools", "generation"])]
        case 16:
            rule["target_ms"] = rng.choice(["800", None, True, [1]])
        case 17:
            data["tenants"] = rng.choice([None, [], {}, 7, "ab"])
        case 18:
            data["sockets"] = rng.choice([[], {}, None, [[]], [7], [{"hostname": "h"}]])
        case 19:
            data["limits"] = rng.choice([None, {}, {"max_body_bytes": "7"}, {"max_body_bytes": 5}, 3])
        case 20:
            tenants[0]["api_keys"] = rng.choice(["abc", [7], None, [], ["a", "a"]])
        case 21:
            data["sockets"][0]["hostname"] = data["sockets"][-1]["hostname"].upper()
        case 22:
            data["sockets"].reverse()
        case 23:
            data["sockets"].append(data["sockets"][0])
        case 24:
            data["sockets"][0]["hostname"] = "other.example"
        case 25:
            data["extra"] = [1, {"a": "},"}]
        case 26:
            rule["name"] = "né"
        case 27:
            return {"generation": "r7", **{key: data[key] for key in rng.sample(list(data), len(data))}}
        case 28:
            rng.shuffle(tenants)
        case 29:
            tenants[0]["name"] = tenants[-1]["name"]
        case 30:
            tenants[0]["name"] = "\udfff"
        case 31:
            data["sockets"][0]["rules"] = rng.choice([[], None, {}, [None]])
        case 32:
            return rng.choice([[], 7, None, "x", {}])
        case 33:
            pools[0]["max_conns"] = rng.choice([7, 7.5, "x"])
        case 34:
            tenants[0], tenants[-1] = tenants[-1], {**tenants[0], "api_keys": []}
        case 35:
            rules.append(dict(rule, pattern={"path_prefix": "/New/"}))
            rules.reverse()
    return data


def garble(text: bytes, rng: Random) -> bytes:
    """Return the text with some bytes removed, duplicated or inserted."""
    start, end = sorted(rng.randrange(len(text) + 1) for _ in range(2))
    end = min(end, start + rng.choice([1, 40, 400]))
    part = rng.choice(
        [
            b"",
            text[start:end] * 2,
            b",",
            b"}",
            b"{",
            b'"',
            b" ",
            b"\xff",
            b"\xc3\xa9",
            b"},{",
            b'"pools":[],',
            b"NaN",
            b"\\u0061",
        ]
    )
    return text[:start] + part + text[end:]


@settings(max_examples=80, deadline=None)
@given(strategies.integers(0, 2**32))
def test_incremental_parsing_equals_complete_parsing(seed: int) -> None:
    """Successive versions, some invalid or of an unsupported shape, each parsed after the last valid one."""
    rng, data = Random(seed), configuration(3 + seed % 20, seed % 5)
    style, before = rng.randrange(4), parse_both_ways(body(data), None)
    for number in range(2, 8):
        for _ in range(rng.randrange(1, 4)):
            data = change(data, rng, f"r{number}")
        candidate: Any = corrupt(data, rng) if rng.random() < 0.5 else data
        text = body(candidate, style) if not _has_surrogates(candidate) else body(candidate)
        if rng.random() < 0.25:
            text = garble(text, rng)
        before = parse_both_ways(text, before)


def _has_surrogates(data: Any) -> bool:
    """Whether the data can be encoded only with escapes, because of unpaired surrogates."""
    try:
        body(data, 3)
    except UnicodeEncodeError:
        return True
    return False


def test_only_changed_entries_are_parsed_with_dacite(monkeypatch: pytest.MonkeyPatch) -> None:
    rng, data = Random("changes"), configuration(400)
    before = run_to_completion(read_incrementally(body(data), None)).unwrap()
    parsed_types: list[type] = []
    original = dacite.from_dict

    def counting(kind: type, *arguments: Any) -> Any:
        parsed_types.append(kind)
        return original(kind, *arguments)

    monkeypatch.setattr(dacite, "from_dict", counting)
    for number in range(2, 30):
        data = change(data, rng, f"r{number}")
        after = run_to_completion(read_incrementally(body(data), before)).unwrap()
        assert len(parsed_types) <= 4, parsed_types
        parsed_types.clear()
        shared = {id(tenant) for tenant in before.configuration.tenants or ()}
        assert sum(id(tenant) not in shared for tenant in after.configuration.tenants or ()) <= 2
        before = after
    check_index(before)


def test_a_changed_route_does_not_reparse_its_whole_host(monkeypatch: pytest.MonkeyPatch) -> None:
    data = configuration(400)
    data["sockets"] = [
        {"hostname": "one.example", "rules": [rule for socket in data["sockets"] for rule in socket["rules"]]}
    ]
    before = run_to_completion(read_incrementally(body(data), None)).unwrap()
    data["sockets"][0]["rules"][200]["effect"]["timeout_ms"] = 9000
    monkeypatch.setattr(incremental_reading, "PARSED_PER_PAUSE", 1)
    pauses = len(list(read_incrementally(body(data), before)))
    assert pauses <= 6


def test_a_removed_pool_is_an_error_for_unchanged_rules_that_refer_to_it() -> None:
    data = configuration(60)
    before = run_to_completion(read_incrementally(body(data), None)).unwrap()
    removed = data["pools"].pop(0)
    result = run_to_completion(read_incrementally(body(data), before))
    assert isinstance(result, Failure) and removed["name"] in str(result.failure())


def test_parsing_yields_often_and_can_be_abandoned() -> None:
    """A long parse has many steps; abandoning it changes nothing in the previous configuration."""
    data = configuration(800)
    before = run_to_completion(read_incrementally(body(configuration(20)), None)).unwrap()
    copied = copy.copy(before)
    steps = read_incrementally(body(data), before)
    assert sum(1 for _ in zip(range(100), steps, strict=False)) == 100
    steps.close()
    assert before == copied
    check_index(before)


def test_cached_parsing_reuses_the_last_configuration_with_the_same_result() -> None:
    data = configuration(50)
    one = parse_cached(body(data)).unwrap()
    assert parse_cached(body(data)).unwrap() is one
    assert one == parse_configuration(body(data)).unwrap()
    assert isinstance(parse_cached(b"{"), Failure) and parse_cached(body(data)).unwrap() is one


@pytest.mark.parametrize("keys", ["abc", {"a": 1}, 7, None, [7], [None]])
def test_api_keys_that_are_not_a_list_of_strings_are_invalid(keys: Any) -> None:
    data = configuration(20)
    data["tenants"][0]["api_keys"] = keys
    assert isinstance(parse_configuration(body(data)), Failure)
    assert isinstance(run_to_completion(read_incrementally(body(data), None)), Failure)


@pytest.mark.parametrize("value", ["\ud800", "a\udfff"])
def test_unpaired_surrogates_are_invalid_in_strings_that_are_sent(value: str) -> None:
    for place in ("key", "tenant", "prefix", "host"):
        data = configuration(20)
        match place:
            case "key":
                data["tenants"][0]["api_keys"].append(value)
            case "tenant":
                data["tenants"][0]["name"] = value
            case "prefix":
                data["sockets"][0]["rules"][0]["pattern"]["path_prefix"] = f"/{value}/"
            case "host":
                data["sockets"][0]["hostname"] = value
        result = parse_configuration(body(data))
        assert isinstance(result, Failure) and "no text" in str(result.failure())


@pytest.mark.parametrize("field", ["sockets", "pools", "tenants", "api_keys", "rules", "weighted"])
@pytest.mark.parametrize("value", ["abc", {}, {"a": 1}, 7])
def test_values_that_are_not_lists_are_invalid_for_list_fields(field: str, value: Any) -> None:
    """A string was once converted to the characters of a generator's repr, different in each process."""
    data = copy.deepcopy(configuration(40))
    place = {
        "api_keys": data["tenants"][0],
        "rules": data["sockets"][0],
        "weighted": data["sockets"][0]["rules"][0]["effect"],
    }.get(field, data)
    place[field] = value
    assert isinstance(parse_configuration(body(data)), Failure)
    assert isinstance(run_to_completion(read_incrementally(body(data), None)), Failure)


# Guards against CONFIG: a configuration with `NaN` was acknowledged, and requests of its route got 500.
@pytest.mark.parametrize("number", ["NaN", "Infinity", "-Infinity", "1e999", "1" + 400 * "0"])
@pytest.mark.parametrize("field", ["weight", "timeout_ms", "target_ms", "burst", "rate_per_s", "unknown"])
def test_numbers_that_are_not_finite_are_invalid(field: str, number: str) -> None:
    rule = {
        "name": "r",
        "kind": "mutating",
        "target_ms": 800,
        "pattern": {"path_prefix": "/a/"},
        "effect": {"weighted": [{"service": "s", "weight": 1}], "timeout_ms": 1000, "max_tries": 2},
    }
    tenant = {"name": "t", "api_keys": ["k"], "rate_per_s": 5, "burst": 5}
    valid: dict[str, Any] = {
        "generation": "r1",
        "pools": [{"name": "s"}],
        "sockets": [{"hostname": "h", "rules": [rule]}],
        "tenants": [tenant],
        "unknown": 5,
    }
    text = json.dumps(valid)
    changed = re.sub(rf'("{field}"): \d+', rf"\1: {number}", text).encode()
    assert changed != text.encode()
    before = run_to_completion(read_incrementally(text.encode(), None)).unwrap()
    is_ignored = field == "unknown" and number[0] == "1"
    for result in (parse_configuration(changed), run_to_completion(read_incrementally(changed, before))):
        assert isinstance(result, Success if is_ignored else Failure)
