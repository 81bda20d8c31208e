"""The run of two versions side by side: what it reads from a checkout, and which results count as
breaches.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from benchmarks.mixed_versions import (
    MAX_APPLY_S,
    MAX_ATTEMPT_TRANSIT_S,
    ROOT,
    Checkout,
    ClientRequest,
    Component,
    MixResult,
    component_of,
    mixes,
)

RENAMED = """
[roles.door]
run = "python3 -S -m program.door"
on = "edge"
serves = ["edge"]
[roles.desk]
run = "python3 -S -m program.desk"
on = "core"
serves = ["control_plane"]
[roles.vault]
run = "python3 -S -m program.vault"
on = "core"
serves = []
"""


def checkout(root: Path, text: str) -> Checkout:
    (root / "deploy").mkdir()
    (root / "deploy" / "system.toml").write_text(text)
    return Checkout.read("other", root)


def test_roles_are_identified_by_what_they_serve_and_not_by_name(tmp_path: Path) -> None:
    roles = checkout(tmp_path, RENAMED).roles
    assert {part: (role.name, role.module) for part, role in roles.items()} == {
        Component.PROXY: ("door", "program.door"),
        Component.REGISTRY: ("desk", "program.desk"),
        Component.STORE: ("vault", "program.vault"),
    }


def test_a_deployment_without_one_of_the_three_roles_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(ValueError, match="not a store, a registry and a proxy"):
        checkout(tmp_path, RENAMED.partition("[roles.vault]")[0])
    with pytest.raises(ValueError, match="a role that serves"):
        component_of({"on": "edge", "serves": []})


def test_this_checkout_names_modules_that_exist() -> None:
    for role in Checkout.read("new", ROOT).roles.values():
        assert (ROOT / role.module.replace(".", "/") / "__main__.py").exists()


def test_every_mix_has_both_versions_and_the_split_of_core_and_proxy_comes_first(tmp_path: Path) -> None:
    old, new = checkout(tmp_path, RENAMED), Checkout.read("new", ROOT)
    played = [
        [mix[component].name for component in (Component.STORE, Component.REGISTRY, Component.PROXY)]
        for mix in mixes(old, new)
    ]
    assert played[:2] == [["other", "other", "new"], ["new", "new", "other"]]
    assert len(played) == len({tuple(names) for names in played}) == 6
    assert all(len(set(names)) == 2 for names in played)


def good() -> MixResult:
    """A change at 10 s, acknowledged at 10.2 s and in force at 10.5 s; a drain acknowledged at 14 s."""
    requests = [
        ClientRequest("a", 9.0, 9.1, 200),
        ClientRequest("b", 10.1, 10.3, 200),
        ClientRequest("c", 10.4, 10.5, 200),
    ]
    requests += [ClientRequest("d", 10.6, 10.7, 200), ClientRequest("e", 14.9, 15.0, 200)]
    backends_by_attempt = {"a": {"i-1"}, "b": {"i-2"}, "c": {"i-3"}, "d": {"i-3"}, "e": {"i-4"}}
    return MixResult(
        requests, backends_by_attempt, 10.0, 10.2, 14.0, [10.4, 10.6, 14.0 + MAX_ATTEMPT_TRANSIT_S / 2], []
    )


def test_a_good_run_has_no_breaches() -> None:
    assert good().violations() == []


@pytest.mark.parametrize(
    ("changes", "violation"),
    [
        ({"requests": [*good().requests, ClientRequest("x", 12.0, 17.0, 0)]}, "not answered: 1 of 6"),
        ({"requests": [*good().requests, ClientRequest("x", 12.0, 12.1, 503)]}, "not answered: 1 of 6"),
        (
            {"backends_by_attempt": {**good().backends_by_attempt, "a": {"i-3"}}},
            "by another configuration: 1",
        ),  # before the change
        (
            {"backends_by_attempt": {**good().backends_by_attempt, "e": {"i-1"}}},
            "by another configuration: 1",
        ),  # after it was in force
        (
            {"backends_by_attempt": {**good().backends_by_attempt, "d": {"i-1"}}},
            "by another configuration: 1",
        ),  # the second was already in use
        (
            {"backends_by_attempt": {**good().backends_by_attempt, "b": set()}},
            "by another configuration: 1",
        ),  # no backend began it
        ({"change_acknowledged_at": None}, "the change was not acknowledged"),
        ({"drain_acknowledged_at": None}, "the drain was not acknowledged"),
        ({"drained_backend_starts": [10.4, 14.2]}, "begun by the drained backend: 1 after its drain"),
        ({"drained_backend_starts": []}, "the drained backend ran nothing before its drain"),
        ({"requests": good().requests[:4]}, "no request was sent after the drain"),
        ({"backends_by_attempt": {attempt_id: {"i-1"} for attempt_id in "abcde"}}, "no request ran at two"),
        ({"faults": ["store: E500 x"]}, "store: E500 x"),
    ],
)
def test_each_breach_is_reported(changes: dict[str, object], violation: str) -> None:
    assert violation in replace(good(), **changes).violations()  # type: ignore[arg-type]


def test_a_configuration_must_be_in_force_in_time_even_if_no_request_used_it_before() -> None:
    late = replace(good(), backends_by_attempt={attempt_id: {"i-1"} for attempt_id in "abcde"})
    assert late.change_acknowledged_at is not None and late.change_acknowledged_at + MAX_APPLY_S < 14.9
    assert [request.attempt_id for request in late.misrouted_requests()] == ["e"]
