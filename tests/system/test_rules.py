"""The pure parts that keep rules: the ends of lives, validity."""

import json
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as trying
from hypothesis import strategies as st
from returns.result import Failure, Success

from irisdeal.config_store.configuration.cached_reading import parse_cached
from irisdeal.proxy.route_table import RouteTable
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.commands import Deregister, Heartbeat, PutConfiguration, decode
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.rpc.frames import FrameReader, InvalidFrameError, encode
from irisdeal.runtime import settings


def configuration(**changes: Any) -> dict[str, Any]:
    rule = {
        "name": "r",
        "kind": "idempotent",
        "target_ms": 300,
        "pattern": {"path_prefix": "/a/"},
        "effect": {"service": "s", "timeout_ms": 1000, "max_tries": 2},
    }
    made: dict[str, Any] = {
        "generation": "r7",
        "pools": [{"name": "s"}, {"name": "t"}],
        "sockets": [{"hostname": "h.example", "rules": [rule]}],
        "tenants": [{"name": "x", "api_keys": ["k1"]}, {"name": "y", "api_keys": ["k2"]}],
    }
    made.update(changes)
    return json.loads(json.dumps(made))  # type: ignore[no-any-return]


def rule_of(made: dict[str, Any]) -> dict[str, Any]:
    return made["sockets"][0]["rules"][0]  # type: ignore[no-any-return]


FAULTS: dict[str, tuple[str, Any]] = {
    "unknown service": ("in no pool", lambda made: rule_of(made)["effect"].update(service="u")),
    "same place": ("same host and prefix", lambda made: made["sockets"].append(made["sockets"][0])),
    "no weight": (
        "sum to 0",
        lambda made: rule_of(made)["effect"].update(weighted=[{"service": "s", "weight": 0}]),
    ),
    "below zero": (
        "wanted 0 or more",
        lambda made: rule_of(made)["effect"].update(
            weighted=[{"service": "s", "weight": 3}, {"service": "t", "weight": -1}]
        ),
    ),
    "aim over": ("over timeout_ms", lambda made: rule_of(made).update(target_ms=61_000)),
    "no host": ("hostname is empty", lambda made: made["sockets"][0].update(hostname="")),
    "shared key": ("same key", lambda made: made["tenants"][1].update(api_keys=["k1"])),
    "no timeout": ("timeout_ms", lambda made: rule_of(made)["effect"].pop("timeout_ms")),
    "no generation": ("generation", lambda made: made.pop("generation")),
    "odd generation": ("generation", lambda made: made.update(generation="7")),
}


@pytest.mark.parametrize("name", FAULTS)
def test_each_fault_is_told_by_its_place(name: str) -> None:
    text, spoil = FAULTS[name]
    made = configuration()
    assert isinstance(parse_cached(json.dumps(made).encode()), Success)
    spoil(made)
    answer = parse_cached(json.dumps(made).encode())
    assert isinstance(answer, Failure) and text in str(answer.failure())


def test_a_configuration_that_is_cut_short_is_refused_wherever_it_is_cut() -> None:
    body = json.dumps(configuration()).encode()
    for length in range(len(body)):
        assert isinstance(parse_cached(body[:length]), Failure)


def test_the_longest_prefix_has_the_path() -> None:
    made = configuration()
    longer = json.loads(json.dumps(rule_of(made)))
    longer.update(name="longer", pattern={"path_prefix": "/a/b/"})
    made["sockets"][0]["rules"].append(longer)
    table = RouteTable(parse_cached(json.dumps(made).encode()).unwrap())
    found = [table.find(b"h.example", path) for path in (b"/a/x", b"/a/b/x", b"/a/b", b"/b/", b"/a")]
    assert [route and route.name for route in found] == ["r", "longer", "r", None, None]
    assert table.find(b"other", b"/a/x") is None


@trying(deadline=None, max_examples=50)
@given(st.integers(0, 2**32), st.integers(1, 30))
def test_a_life_that_ended_never_comes_back(seed: int, length: int) -> None:
    chance, here, there = random.Random(seed), BackendTable(1.5), BackendTable(1.5)
    versions = []
    for count in range(length):
        state = (
            BackendState.READY
            if count < length // 2
            else chance.choice((BackendState.DRAINING, BackendState.GONE))
        )
        versions.append(BackendIncarnation("i", "s", "10.0.0.1:1", "z", 2, state, count, 0.0))
    for registry in (here, there):
        order = versions * 2
        chance.shuffle(order)
        reached = BackendState.READY
        for number, incarnation in enumerate(order):
            registry.observe(incarnation, float(number))
            reached = max(reached, incarnation.state)
            assert registry.entries["i"].incarnation.state is reached
    assert here.entries["i"].incarnation == there.entries["i"].incarnation


def test_an_end_of_an_unknown_life_is_remembered() -> None:
    registry = BackendTable(1.5)
    assert registry.deregister("i", 1.0) is None
    registry.observe(BackendIncarnation("i", "", "", "", 0, BackendState.GONE, 0, 1.0), 1.0)
    registry.observe(BackendIncarnation("i", "s", "10.0.0.1:1", "z", 2, BackendState.READY, 5, 1.0), 2.0)
    assert registry.entries["i"].incarnation.state is BackendState.GONE


def test_calls_become_commands_or_one_clear_refusal() -> None:
    heartbeat = {
        "service": "s",
        "address": "10.0.0.9:80",
        "zone": "z",
        "generation": "v1",
        "capacity": 2,
        "state": "ready",
        "warmup_left_ms": 0,
        "call_count": 4,
    }
    made = decode(b"POST", b"/backends/i-1/heartbeat", json.dumps(heartbeat).encode()).unwrap()
    assert isinstance(made, Heartbeat) and (made.id, made.call_count) == ("i-1", 4)
    assert isinstance(decode(b"POST", b"/backends/i-1/deregister", b"").unwrap(), Deregister)
    put = decode(b"POST", b"/config/replace", json.dumps(configuration()).encode()).unwrap()
    assert (
        isinstance(put, PutConfiguration) and put.version.version_id.number == 7 and put.version.is_intact()
    )
    for wrong in (
        {**heartbeat, "state": "gone"},
        {**heartbeat, "address": "x"},
        {**heartbeat, "capacity": "2"},
    ):
        refused = decode(b"POST", b"/backends/i-1/heartbeat", json.dumps(wrong).encode())
        assert isinstance(refused, Failure) and refused.failure().status == 400
    assert decode(b"GET", b"/nothing", b"").failure().status == 404


def test_settings_say_which_key_is_wrong() -> None:
    good: dict[str, Any] = {
        "node_name": "n",
        "role": "proxy",
        "ip": "10.1.0.3",
        "zone": "z",
        "port_range": [7340, 7355],
        "seed_peers": ["10.1.0.33:8783"],
        "bounds": "grace_s=6,retry_ratio=0.2",
        "unknown": 1,
    }
    made = settings.parse_settings(good).unwrap()
    assert made.bound("grace_s", 0) == 6 and made.bound("retry_ratio", 0) == 0.2
    for key, value in (("port_range", [7340, 7341]), ("seed_peers", ["x"]), ("ip", 3), ("zone", None)):
        assert isinstance(settings.parse_settings({**good, key: value}), Failure)


@trying(deadline=None, max_examples=50)
@given(st.integers(0, 2**32))
def test_frames_come_whole_however_they_are_cut(seed: int) -> None:
    chance = random.Random(seed)
    items = [[number, "kind", {"a": [1.5, b"x" * chance.randrange(300)]}] for number in range(20)]
    data, reader, found = b"".join(map(encode, items)), FrameReader(), []
    while data:
        length = chance.randint(1, 200)
        found += list(reader.feed(data[:length]))
        data = data[length:]
    assert found == items
    with pytest.raises(InvalidFrameError):
        list(FrameReader().feed(b"\xff\xff\xff\xff"))
