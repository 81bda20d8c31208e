"""The log tells how near a process is to its memory limit."""

from __future__ import annotations

import logging
import os
from pathlib import Path

import pytest

from irisdeal.runtime.memory_monitor import BYTES_PER_MB, MemoryMonitor


def test_each_share_of_the_limit_is_logged_once(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    statm = tmp_path / "statm"
    monitor = MemoryMonitor(300.0, statm)
    for resident_mb in (30, 215, 220, 100, 295, 299):
        pages = resident_mb * BYTES_PER_MB // os.sysconf("SC_PAGE_SIZE")
        statm.write_text(f"99999 {pages} 10 0 0 0 0\n")
        monitor.check()
    figures = [record.message.rpartition(" resident_mb=")[2] for record in caplog.records]
    assert figures == ["215 limit_mb=300", "295 limit_mb=300"]


def test_nothing_is_logged_where_the_kernel_does_not_tell(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    MemoryMonitor(300.0, tmp_path / "missing").check()
    assert not caplog.records


def test_the_memory_of_a_real_process_is_read() -> None:
    monitor = MemoryMonitor(1.0)
    monitor.check()
    assert monitor.logged_count > 0
