"""Tests of scenarios: one-line errors with file, key and expected value; and a schedule set by its seed."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from irisdeal.testbed.scenario import FAULTS, Scenario, ScenarioError
from irisdeal.testbed.scenario_files import load, names, parse
from irisdeal.testbed.workload import draw, mean_work, weights, work
from tests.support.front_door_rig import SMALL

TOP, _, REST = SMALL.partition("[fleet]")
REST = "[fleet]" + REST


LINK = SMALL + "[[at]]\nat_s = 1\nfor_s = 1\n"


@pytest.mark.parametrize("name", names())
def test_each_built_in_scenario_can_be_drawn_and_has_a_description(name: str) -> None:
    scenario = load(name)
    assert scenario.about and len(draw(scenario.resized(seconds=2), 1).arrivals) > 40


def test_the_scenarios_of_the_brief_are_built_in() -> None:
    wanted = {
        "calm",
        "keeper-down",
        "keeper-flush",
        "hang",
        "hot-door",
        "keeper-slow",
        "rolling-restart",
        "door-kill",
        "reload",
        "cold-box",
        "hall-cut",
    }
    assert wanted <= set(names())


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (SMALL + "[door]\nmemory = 5\n", "door.memory: no such key: wanted one of"),
        ("sekonds = 5\n" + SMALL, "sekonds: no such key"),
        (SMALL.replace("seconds = 3", 'seconds = "3"'), "seconds is '3': wanted a number"),
        (SMALL.replace("seconds = 3", "seconds = 0"), "seconds is 0.0: wanted 0.5 to 3600"),
        (SMALL.replace("doors = 2", "doors = 2.5"), "doors is 2.5: wanted a whole number"),
        (SMALL.replace("doors = 2", "doors = true"), "doors is True: wanted a whole number"),
        (SMALL.replace("boxes = 6", "boxes = -1"), "fleet.boxes is -1"),
        (SMALL.replace("share = 0.6", "share = 0"), r"class[0].share is 0.0: wanted over 0"),
        (
            SMALL.replace('repeat = "keyed"', 'repeat = "often"'),
            "class[1].repeat is 'often': wanted safe, keyed",
        ),
        (SMALL.replace("work_ms = 12\n", ""), "class[0]: missing 'work_ms'"),
        (SMALL.replace("heavy_x = [3, 5]", "heavy_x = [5, 3]"), "load.heavy_x is [5.0, 3.0]: wanted [least"),
        (
            SMALL.replace("heavy_x = [3, 5]", "heavy_x = [3, 5, 6]"),
            "load.heavy_x is [3, 5, 6]: wanted a number",
        ),
        (SMALL.replace("try_share = 1.0", "try_share = inf"), "load.try_share is inf: wanted from 0 to 1e9"),
        (SMALL.replace("try_share = 1.0", "try_share = nan"), "load.try_share is nan"),
        (SMALL + '[[at]]\nat_s = 1\ndo = "box-hum"\n', "at[0].do is 'box-hum': wanted one of box-hang"),
        (SMALL + '[[at]]\nat_s = 1\ndo = "box-hang"\nboxes = 1\n', "at[0]: box-hang needs for_s"),
        (SMALL + '[[at]]\nat_s = 9\ndo = "box-add"\nboxes = 1\n', "at[0].at_s is 9.0: wanted within the 3 s"),
        (SMALL + '[[at]]\nat_s = 1\ndo = "box-add"\nboxes = 1\ndoor = 1\n', "at[0].door: box-add takes no"),
        (
            SMALL + '[[at]]\nat_s = 1\ndo = "hall-reset"\nhall = "x"\n',
            "at[0].hall is 'x': wanted one of hall-a",
        ),
        (SMALL + '[[at]]\nat_s = 1\ndo = "door-restart"\ndoor = 2\n', "at[0].door is 2: wanted 0 to 1"),
        (SMALL + '[[at]]\nat_s = 1\ndo = "keeper-flush"\nsize = 2\n', "at[0].size is 2.0: wanted a share"),
        (SMALL + '[[at]]\nat_s = 1\ndo = "keeper-split"\ndoor = 0\nfor_s = 1\n', "at[0].door is 0: wanted 1"),
        (LINK + 'do = "link-cut"\ndoor = 0\nto = "keeper"\n', "at[0].door is 0: wanted 1 to 2"),
        (
            LINK + 'do = "link-cut"\ndoor = 1\nto = "moon"\n',
            "at[0].to is 'moon': wanted one of keeper, roster",
        ),
        (
            LINK + 'do = "link-silent"\ndoor = 1\nto = "keeper"\nway = "up"\n',
            "at[0].way is 'up': wanted both",
        ),
        (
            LINK
            + 'do = "link-cut"\ndoor = 1\nto = "roster"\n[[at]]\nat_s = 2\ndo = "door-reload"\ndoor = 0\n',
            "at[0].to is 'roster': wanted a hall",
        ),
        ("seconds = 3\n", "class is []: wanted at least one [[class]]"),
        ("seconds = = 3\n", "no TOML"),
        ("base = 3\n", "base: wanted the name of a scenario"),
        ("base = 'nothing'\n", "nothing: no such scenario: wanted a file, or one of calm"),
        ("class = 3\n", "class is 3: wanted a list of tables"),
        ("fleet = []\n", "fleet is []: wanted a table"),
    ],
)
def test_an_invalid_scenario_is_a_one_line_error(text: str, expected: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(text, "day.toml")
    message = str(caught.value)
    assert expected in message and "\n" not in message
    assert message.startswith("day.toml: ") or message.startswith("nothing: ")


def test_an_unreadable_file_is_named_in_the_error(tmp_path: Path) -> None:
    with pytest.raises(ScenarioError, match=r"none\.toml: No such file"):
        load(str(tmp_path / "none.toml"))
    (tmp_path / "odd.toml").write_bytes(b"a = '\xff'")
    with pytest.raises(ScenarioError, match="not UTF-8 at byte 5"):
        load(str(tmp_path / "odd.toml"))
    (tmp_path / "big.toml").write_bytes(b"#" * 300_000)
    with pytest.raises(ScenarioError, match="over 262144 bytes"):
        load(str(tmp_path / "big.toml"))
    circle = tmp_path / "circle.toml"
    circle.write_text(f"base = '{circle}'\n")
    with pytest.raises(ScenarioError, match="perhaps a circle"):
        load(str(circle))


def test_a_scenario_overrides_its_base_key_by_key() -> None:
    made = parse('base = "calm"\nseconds = 7\n[fleet]\nboxes = 5\n')
    calm = load("calm")
    assert (made.seconds, made.fleet.backends) == (7.0, 5)
    assert made.fleet.kinds == calm.fleet.kinds and made.classes == calm.classes


def test_the_schedule_of_a_seed_is_the_same_under_any_hash_seed() -> None:
    code = (
        "from irisdeal.testbed.workload import draw; from irisdeal.testbed.scenario_files import load;"
        "print(draw(load('hot-door').resized(seconds=2), 7).digest())"
    )
    digests = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": seed},
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert len(digests) == 1 and re.fullmatch(r"[0-9a-f]{16}\n", digests.pop())


def test_another_seed_gives_another_schedule() -> None:
    scenario = load("calm").resized(seconds=2)
    assert draw(scenario, 1).digest() != draw(scenario, 2).digest()


def test_the_load_matches_the_configured_use() -> None:
    """The work of the requests is near `use` of the backends' capacity; few tenants make it vary."""
    scenario = parse('base = "calm"\n[load]\nuse = 0.4\nfull = 0\nheavy = 0\nspiky = 0\n')
    day = draw(scenario, 3)
    units = sum(scenario.classes[a.kind].units for a in day.arrivals) / scenario.seconds
    asked = units * mean_work(scenario) / sum(m.capacity for m in day.machines)
    assert 0.34 < asked < 0.46


def test_drawn_work_has_the_mean_of_its_class() -> None:
    kind = load("calm").classes[0]
    drawn = [work(1, f"{n}", kind) for n in range(20_000)]
    assert 0.96 < sum(drawn) / len(drawn) / (kind.work_ms * 1000) < 1.04


def test_rush_and_hot_door_faults_change_the_drawn_load() -> None:
    rush = '[[at]]\nat_s = 1\ndo = "rush"\nfor_s = 1\nsize = 3\n'
    day = draw(parse(SMALL + rush), 1)
    seconds = [sum(1 for a in day.arrivals if a.at // 1_000_000 == n) for n in range(3)]
    assert seconds[1] > 2 * max(seconds[0], seconds[2])
    hot: Scenario = parse(SMALL + '[[at]]\nat_s = 1\ndo = "hot-door"\nfor_s = 1\nsize = 0.5\n')
    before, during = weights(1, hot, 0, 2, 500_000), weights(1, hot, 0, 2, 1_500_000)
    assert max(during) == pytest.approx(0.5 + max(before) / 2) and sum(during) == pytest.approx(1.0)


def test_a_shorter_day_scales_its_timeline() -> None:
    scenario = load("keeper-down").resized(front_doors=1, seconds=10)
    assert [f.at_s for f in scenario.faults] == [2.0, 6.5]
    assert load("rolling-restart").resized(front_doors=1).faults[2].front_door == 0


def test_the_text_of_a_fault_starts_with_its_name() -> None:
    for name in names():
        for fault in load(name).faults:
            assert fault.text().startswith(fault.do) and fault.do in FAULTS
