"""Folders as an earlier version left them: today's start reads the same, and writes the same bytes."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from tests.support import disk_formats as forms


def copied(name: str, to: Path) -> Path:
    folder = to / name
    shutil.copytree(forms.DATA / name, folder)
    return folder


def test_each_folder_has_its_expectation_and_each_way_of_spoiling_its_folder() -> None:
    spoilt = {f"{what}-{how}" for what in forms.SPOILT for how in forms.SPOILS}
    assert set(forms.cases()) == set(forms.expected()) == {*forms.WHOLE, *spoilt}


@pytest.mark.parametrize("name", forms.cases())
def test_a_start_reads_what_was_read_before(name: str, tmp_path: Path) -> None:
    assert forms.read_folder(name, copied(name, tmp_path)) == forms.expected()[name]


@pytest.mark.parametrize("name", sorted(forms.WHOLE))
def test_what_is_read_is_written_again_byte_for_byte(name: str, tmp_path: Path) -> None:
    source, to = copied(name, tmp_path), tmp_path / "again"
    forms.copy_state(name, source, to)
    assert forms.files_of(to) == forms.files_of(forms.DATA / name)


def test_the_same_history_leaves_the_same_folders(tmp_path: Path) -> None:
    forms.write_folders(tmp_path)
    written = {name: forms.files_of(tmp_path / name) for name in forms.cases()}
    assert written == {name: told["files"] for name, told in forms.expected().items()}
    committed = {name: forms.files_of(forms.DATA / name) for name in forms.cases()}
    assert committed == written
