"""Configurations that are parsed again only where they changed: always what parsing in one go says."""

from __future__ import annotations

import copy
import json
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


def has_own_index(made: ParsedConfiguration) -> None:
    """The index is that of the configuration."""
    index = Index.of(made.configuration)
    assert made.index == index
    for host, rules in index.hosts.items():
        assert made.index.hosts[host] == rules


def agree(text: bytes, before: ParsedConfiguration | None) -> ParsedConfiguration | None:
    """Both ways say the same of these bytes, also in the text of their error."""
    complete, made = parse_configuration(text), run_to_completion(read_incrementally(text, before))
    if isinstance(complete, Failure):
        assert isinstance(made, Failure)
        error, expected = made.failure(), complete.failure()
        assert (error.step, error.peer) == (expected.step, expected.peer)
        assert _without_value(error.detail) == _without_value(expected.detail)
        return before
    assert isinstance(made, Success), made
    assert made.unwrap().configuration == complete.unwrap() and made.unwrap().body == text
    parsed: ParsedConfiguration = made.unwrap()
    has_own_index(parsed)
    return parsed


def _without_value(detail: str) -> str:
    """dacite tells some wrong values with their place in memory."""
    return detail.partition("instead of value")[0]


def spoil(data: dict[str, Any], chance: Random) -> Any:
    """One of the errors that there are, or an unusual shape that may be valid."""
    data = copy.deepcopy(data)
    rules, tenants, pools = data["sockets"][0]["rules"], data["tenants"], data["pools"]
    rule, other = chance.choice(rules), chance.choice(data["sockets"])["rules"][0]
    which = chance.randrange(36)
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
            data["sockets"][0]["hostname"] = chance.choice(["", " ", "\ud800.example", 7, None])
        case 6:
            tenants[0]["api_keys"] = [*tenants[-1]["api_keys"], "mine"]
        case 7:
            tenants.append(dict(tenants[0]))
        case 8:
            pools.append(dict(pools[0]))
        case 9:
            pools.pop(chance.randrange(len(pools)))
        case 10:
            rule["pattern"]["path_prefix"] = chance.choice(["a/", "/a", "", "/\ud900/"])
        case 11:
            rule["kind"] = "often"
        case 12:
            rule["effect"]["timeout_ms"] = 0
        case 13:
            tenants[0]["rate_per_s"] = -1
        case 14:
            data["generation"] = chance.choice(["v1", 7, None, "r"])
        case 15:
            del data[chance.choice(["sockets", "pools", "generation"])]
        case 16:
            rule["target_ms"] = chance.choice(["800", None, True, [1]])
        case 17:
            data["tenants"] = chance.choice([None, [], {}, 7, "ab"])
        case 18:
            data["sockets"] = chance.choice([[], {}, None, [[]], [7], [{"hostname": "h"}]])
        case 19:
            data["limits"] = chance.choice([None, {}, {"max_body_bytes": "7"}, {"max_body_bytes": 5}, 3])
        case 20:
            tenants[0]["api_keys"] = chance.choice(["abc", [7], None, [], ["a", "a"]])
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
            return {"generation": "r7", **{key: data[key] for key in chance.sample(list(data), len(data))}}
        case 28:
            chance.shuffle(tenants)
        case 29:
            tenants[0]["name"] = tenants[-1]["name"]
        case 30:
            tenants[0]["name"] = "\udfff"
        case 31:
            data["sockets"][0]["rules"] = chance.choice([[], None, {}, [None]])
        case 32:
            return chance.choice([[], 7, None, "x", {}])
        case 33:
            pools[0]["max_conns"] = chance.choice([7, 7.5, "x"])
        case 34:
            tenants[0], tenants[-1] = tenants[-1], {**tenants[0], "api_keys": []}
        case 35:
            rules.append(dict(rule, pattern={"path_prefix": "/New/"}))
            rules.reverse()
    return data


def garble(text: bytes, chance: Random) -> bytes:
    """Bytes cut, doubled or put in."""
    at, upto = sorted(chance.randrange(len(text) + 1) for _ in range(2))
    upto = min(upto, at + chance.choice([1, 40, 400]))
    part = chance.choice(
        [
            b"",
            text[at:upto] * 2,
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
    return text[:at] + part + text[upto:]


@settings(max_examples=80, deadline=None)
@given(strategies.integers(0, 2**32))
def test_an_incremental_reading_is_what_parsing_in_one_go_gives(seed: int) -> None:
    """Versions one after the other, some invalid or of another shape: each read after the last valid one."""
    chance, data = Random(seed), configuration(3 + seed % 20, seed % 5)
    style, before = chance.randrange(4), agree(body(data), None)
    for number in range(2, 8):
        for _ in range(chance.randrange(1, 4)):
            data = change(data, chance, f"r{number}")
        made: Any = spoil(data, chance) if chance.random() < 0.5 else data
        text = body(made, style) if not _halves(made) else body(made)
        if chance.random() < 0.25:
            text = garble(text, chance)
        before = agree(text, before)


def _halves(data: Any) -> bool:
    """Whether it cannot be encoded but by escapes."""
    try:
        body(data, 3)
    except UnicodeEncodeError:
        return True
    return False


def test_only_what_changed_is_read_with_dacite(monkeypatch: pytest.MonkeyPatch) -> None:
    chance, data = Random("changes"), configuration(400)
    before = run_to_completion(read_incrementally(body(data), None)).unwrap()
    counted: list[type] = []
    real = dacite.from_dict

    def counting(kind: type, *given: Any) -> Any:
        counted.append(kind)
        return real(kind, *given)

    monkeypatch.setattr(dacite, "from_dict", counting)
    for number in range(2, 30):
        data = change(data, chance, f"r{number}")
        after = run_to_completion(read_incrementally(body(data), before)).unwrap()
        assert len(counted) <= 4, counted
        counted.clear()
        shared = {id(tenant) for tenant in before.configuration.tenants or ()}
        assert sum(id(tenant) not in shared for tenant in after.configuration.tenants or ()) <= 2
        before = after
    has_own_index(before)


def test_all_of_one_host_is_not_read_again_for_one_route(monkeypatch: pytest.MonkeyPatch) -> None:
    data = configuration(400)
    data["sockets"] = [
        {"hostname": "one.example", "rules": [rule for socket in data["sockets"] for rule in socket["rules"]]}
    ]
    before = run_to_completion(read_incrementally(body(data), None)).unwrap()
    data["sockets"][0]["rules"][200]["effect"]["timeout_ms"] = 9000
    monkeypatch.setattr(incremental_reading, "PARSED_PER_PAUSE", 1)
    pauses = len(list(read_incrementally(body(data), before)))
    assert pauses <= 6


def test_a_pool_that_is_gone_is_missed_by_rules_that_did_not_change() -> None:
    data = configuration(60)
    before = run_to_completion(read_incrementally(body(data), None)).unwrap()
    gone = data["pools"].pop(0)
    made = run_to_completion(read_incrementally(body(data), before))
    assert isinstance(made, Failure) and gone["name"] in str(made.failure())


def test_reading_pauses_often_and_only_the_newest_goes_on() -> None:
    """A long one is many steps; who drops it midway has changed nothing."""
    data = configuration(800)
    before = run_to_completion(read_incrementally(body(configuration(20)), None)).unwrap()
    kept = copy.copy(before)
    steps = read_incrementally(body(data), before)
    assert sum(1 for _ in zip(range(100), steps, strict=False)) == 100
    steps.close()
    assert before == kept
    has_own_index(before)


def test_read_shares_work_and_gives_the_same() -> None:
    data = configuration(50)
    one = parse_cached(body(data)).unwrap()
    assert parse_cached(body(data)).unwrap() is one
    assert one == parse_configuration(body(data)).unwrap()
    assert isinstance(parse_cached(b"{"), Failure) and parse_cached(body(data)).unwrap() is one


@pytest.mark.parametrize("keys", ["abc", {"a": 1}, 7, None, [7], [None]])
def test_keys_that_are_no_list_of_texts_are_a_fault(keys: Any) -> None:
    data = configuration(20)
    data["tenants"][0]["api_keys"] = keys
    assert isinstance(parse_configuration(body(data)), Failure)
    assert isinstance(run_to_completion(read_incrementally(body(data), None)), Failure)


@pytest.mark.parametrize("value", ["\ud800", "a\udfff"])
def test_halves_of_characters_are_a_fault_where_they_would_be_sent(value: str) -> None:
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
        found = parse_configuration(body(data))
        assert isinstance(found, Failure) and "no text" in str(found.failure())


@pytest.mark.parametrize("field", ["sockets", "pools", "tenants", "api_keys", "rules", "weighted"])
@pytest.mark.parametrize("value", ["abc", {}, {"a": 1}, 7])
def test_what_is_no_list_is_invalid_where_a_list_is_wanted(field: str, value: Any) -> None:
    """A text was taken as the letters of a generator's name: other keys in each process under one version."""
    data = copy.deepcopy(configuration(40))
    place = {
        "api_keys": data["tenants"][0],
        "rules": data["sockets"][0],
        "weighted": data["sockets"][0]["rules"][0]["effect"],
    }.get(field, data)
    place[field] = value
    assert isinstance(parse_configuration(body(data)), Failure)
    assert isinstance(run_to_completion(read_incrementally(body(data), None)), Failure)
