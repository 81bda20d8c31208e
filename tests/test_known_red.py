"""The list of tests that are known to fail lets pass over just these."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]
HERE = Path(__file__).parent
TESTS = "def test_bad():\n    assert False\n\ndef test_good():\n    pass\n"


def run(pytester: pytest.Pytester, listed: str | None, tests: str = TESTS) -> pytest.RunResult:
    """A run of a suite of its own with this list."""
    pytester.makefile(".ini", pytest="[pytest]\ntestpaths = tests")
    folder = pytester.mkdir("tests")
    (folder / "conftest.py").write_text((HERE / "conftest.py").read_text("utf-8"))
    (folder / "test_some.py").write_text(tests)
    if listed is not None:
        (pytester.path / "KNOWN-RED.txt").write_text(listed)
    return pytester.runpytest_inprocess("-p", "no:cacheprovider")


def test_without_a_list_a_failure_is_one(pytester: pytest.Pytester) -> None:
    assert run(pytester, None).ret == 1


def test_a_listed_failure_is_passed_over_and_told(pytester: pytest.Pytester) -> None:
    result = run(pytester, "tests/test_some.py::test_bad | pytest, seed 4 | not mended | issue 1\n")
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        ["known red: tests/test_some.py::test_bad: not mended (issue 1); pytest, seed 4"]
    )


def test_a_listed_script_is_printed_and_not_run(pytester: pytest.Pytester) -> None:
    (pytester.path / "soak.py").write_text("raise SystemExit(1)")
    listed = "soak.py | python soak.py --seed 7 | two windows over | issue 2\n"
    result = run(pytester, listed, "def test_good():\n    pass\n")
    assert result.ret == 0
    result.stdout.fnmatch_lines(["known red: soak.py: two windows over (issue 2); python soak.py --seed 7"])


def test_the_list_may_be_long(pytester: pytest.Pytester) -> None:
    tests = "".join(f"def test_bad_{number}():\n    assert False\n\n" for number in range(5))
    listed = "".join(f"tests/test_some.py::test_bad_{number} | a | b | c\n" for number in range(5))
    assert run(pytester, listed, tests).ret == 0


@pytest.mark.parametrize(
    ("listed", "code"),
    [
        ("tests/test_some.py::test_good | a | b | c\ntests/test_some.py::test_bad | a | b | c\n", 1),
        ("tests/test_some.py::test_gone | a | b | c\n", 4),
        ("gone.py | a | b | c\n", 4),
        ("tests/test_some.py::test_bad | a | b\n", 4),
        ("tests/test_some.py::test_bad | a | b | c | d\n", 4),
    ],
    ids=["passes", "does not exist", "no such script", "three fields", "five fields"],
)
def test_what_the_list_may_not_hide_fails_the_run(pytester: pytest.Pytester, listed: str, code: int) -> None:
    assert run(pytester, listed).ret == code
