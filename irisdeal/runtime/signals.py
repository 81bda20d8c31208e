"""The signals of a process, from the first instruction of its program to the last.

Without a handler, each of these signals ends a process at once. An entry point therefore installs the handlers
before it imports anything large; what arrives before the program can act on it is kept. This module imports little
for the same reason.
"""

from __future__ import annotations

import signal
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class ProcessSignals:
    """What signals have asked of this process. `stop_signal`: the first one that requested its stop."""

    def __init__(self) -> None:
        self.stop_signal: signal.Signals | None = None
        self.is_reload_requested = False
        self._on_signal: Callable[[], object] | None = None

    def install(self) -> None:
        """Handle the signals from now on."""
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, self._receive)

    def _receive(self, number: int, frame: object) -> None:
        if number == RELOAD_SIGNAL:
            self.is_reload_requested = True
        elif self.stop_signal is None:
            self.stop_signal = signal.Signals(number)
        if self._on_signal is not None:
            self._on_signal()

    def attach(self, on_signal: Callable[[], object]) -> None:
        """Call `on_signal` now, for signals that have arrived, and after each further one.

        It runs inside a signal handler, so it may do no more than wake an event loop.
        """
        self._on_signal = on_signal
        on_signal()

    def take_reload_request(self) -> bool:
        """Return whether a reload was requested since the last call."""
        is_requested, self.is_reload_requested = self.is_reload_requested, False
        return is_requested

    def ignore(self) -> None:
        """Ignore the signals until the process has ended."""
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, signal.SIG_IGN)


def install_signal_handlers() -> ProcessSignals:
    """Handle the signals of this process from now on."""
    signals = ProcessSignals()
    signals.install()
    return signals
