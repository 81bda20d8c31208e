"""The run of two versions side by side: what it reads from a checkout, and which results count as
breaches.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from benchmarks.mixed_versions import (
    APPLY_S,
    ON_ITS_WAY_S,
    ROOT,
    Asked,
    Checkout,
    Part,
    Played,
    mixes,
    part_of,
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
        Part.PROXY: ("door", "program.door"),
        Part.REGISTRY: ("desk", "program.desk"),
        Part.STORE: ("vault", "program.vault"),
    }


def test_a_deployment_without_one_of_the_three_roles_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(ValueError, match="not a store, a registry and a proxy"):
        checkout(tmp_path, RENAMED.partition("[roles.vault]")[0])
    with pytest.raises(ValueError, match="a role that serves"):
        part_of({"on": "edge", "serves": []})


def test_this_checkout_names_modules_that_exist() -> None:
    for role in Checkout.read("new", ROOT).roles.values():
        assert (ROOT / role.module.replace(".", "/") / "__main__.py").exists()


def test_every_mix_has_both_versions_and_the_split_of_core_and_proxy_comes_first(tmp_path: Path) -> None:
    old, new = checkout(tmp_path, RENAMED), Checkout.read("new", ROOT)
    played = [[mix[part].name for part in (Part.STORE, Part.REGISTRY, Part.PROXY)] for mix in mixes(old, new)]
    assert played[:2] == [["other", "other", "new"], ["new", "new", "other"]]
    assert len(played) == len({tuple(names) for names in played}) == 6
    assert all(len(set(names)) == 2 for names in played)


def good() -> Played:
    """A change at 10 s, acknowledged at 10.2 s and in force at 10.5 s; a drain acknowledged at 14 s."""
    asked = [Asked("a", 9.0, 9.1, 200), Asked("b", 10.1, 10.3, 200), Asked("c", 10.4, 10.5, 200)]
    asked += [Asked("d", 10.6, 10.7, 200), Asked("e", 14.9, 15.0, 200)]
    ran = {"a": {"i-1"}, "b": {"i-2"}, "c": {"i-3"}, "d": {"i-3"}, "e": {"i-4"}}
    return Played(asked, ran, 10.0, 10.2, 14.0, [10.4, 10.6, 14.0 + ON_ITS_WAY_S / 2], [])


def test_a_good_run_has_no_breaches() -> None:
    assert good().breaches() == []


@pytest.mark.parametrize(
    ("changes", "told"),
    [
        ({"asked": [*good().asked, Asked("x", 12.0, 17.0, 0)]}, "not answered: 1 of 6"),
        ({"asked": [*good().asked, Asked("x", 12.0, 12.1, 503)]}, "not answered: 1 of 6"),
        ({"ran": {**good().ran, "a": {"i-3"}}}, "by another configuration: 1"),  # before the change
        ({"ran": {**good().ran, "e": {"i-1"}}}, "by another configuration: 1"),  # after it was in force
        (
            {"ran": {**good().ran, "d": {"i-1"}}},
            "by another configuration: 1",
        ),  # the second was already in use
        ({"ran": {**good().ran, "b": set()}}, "by another configuration: 1"),  # no backend began it
        ({"confirmed_at": None}, "the change was not acknowledged"),
        ({"drained_at": None}, "the drain was not acknowledged"),
        ({"begun_at_drained": [10.4, 14.2]}, "begun by the drained backend: 1 after its drain"),
        ({"begun_at_drained": []}, "the drained backend ran nothing before its drain"),
        ({"asked": good().asked[:4]}, "no request was sent after the drain"),
        ({"ran": {id_: {"i-1"} for id_ in "abcde"}}, "no request ran at two"),
        ({"faults": ["store: E500 x"]}, "store: E500 x"),
    ],
)
def test_each_breach_is_reported(changes: dict[str, object], told: str) -> None:
    assert told in replace(good(), **changes).breaches()  # type: ignore[arg-type]


def test_a_configuration_must_be_in_force_in_time_even_if_no_request_used_it_before() -> None:
    late = replace(good(), ran={id_: {"i-1"} for id_ in "abcde"})
    assert late.confirmed_at is not None and late.confirmed_at + APPLY_S < 14.9
    assert [asked.attempt_id for asked in late.misrouted()] == ["e"]
