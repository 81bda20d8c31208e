"""Folders written by an earlier version: the current version reads the same data and writes the same
bytes.
"""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from tests.support import disk_formats


def copy_case(name: str, to: Path) -> Path:
    folder = to / name
    shutil.copytree(disk_formats.DATA / name, folder)
    return folder


def test_each_folder_has_an_expectation_and_each_damage_has_a_folder() -> None:
    damaged = {f"{name}-{suffix}" for name in disk_formats.DAMAGED_FILES for suffix in disk_formats.DAMAGES}
    assert set(disk_formats.cases()) == set(disk_formats.expected()) == {*disk_formats.COMPLETE, *damaged}


@pytest.mark.parametrize("name", disk_formats.cases())
def test_a_start_reads_the_expected_data(name: str, tmp_path: Path) -> None:
    assert disk_formats.read_folder(name, copy_case(name, tmp_path)) == disk_formats.expected()[name]


@pytest.mark.parametrize("name", sorted(disk_formats.COMPLETE))
def test_a_complete_folder_is_rewritten_byte_for_byte(name: str, tmp_path: Path) -> None:
    source, to = copy_case(name, tmp_path), tmp_path / "again"
    disk_formats.copy_state(name, source, to)
    assert disk_formats.files_of(to) == disk_formats.files_of(disk_formats.DATA / name)


def test_the_same_operations_write_the_same_folders(tmp_path: Path) -> None:
    disk_formats.write_folders(tmp_path)
    written = {name: disk_formats.files_of(tmp_path / name) for name in disk_formats.cases()}
    assert written == {name: readings["files"] for name, readings in disk_formats.expected().items()}
    committed = {name: disk_formats.files_of(disk_formats.DATA / name) for name in disk_formats.cases()}
    assert committed == written
