"""Signals that come before a program can act on them are kept."""

from __future__ import annotations

import os
import signal
from collections.abc import Iterator

import pytest

from irisdeal.runtime.signals import RELOAD_SIGNAL, STOP_SIGNALS, ProcessSignals


@pytest.fixture
def signals() -> Iterator[ProcessSignals]:
    former = {number: signal.getsignal(number) for number in (*STOP_SIGNALS, RELOAD_SIGNAL)}
    signals = ProcessSignals()
    signals.install()
    yield signals
    for number, handler in former.items():
        signal.signal(number, handler)


def test_what_came_before_is_told_on_attaching(signals: ProcessSignals) -> None:
    calls: list[signal.Signals | None] = []
    os.kill(os.getpid(), signal.SIGTERM)
    os.kill(os.getpid(), signal.SIGINT)
    signals.attach(lambda: calls.append(signals.stop_signal))
    assert calls == [signal.SIGTERM], "the first one"


def test_several_requests_to_reload_are_one(signals: ProcessSignals) -> None:
    for _ in range(3):
        os.kill(os.getpid(), signal.SIGHUP)
    assert signals.take_reload_request()
    assert not signals.take_reload_request()
    assert signals.stop_signal is None


def test_ignored_signals_do_nothing_any_more(signals: ProcessSignals) -> None:
    signals.ignore()
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        os.kill(os.getpid(), number)
    assert signals.stop_signal is None and not signals.take_reload_request()
