"""Polls a socket directly, because the event loop reports readiness only in its next iteration."""

from __future__ import annotations

import select


def is_readable(file_descriptor: int) -> bool:
    """Return whether the descriptor has bytes, end of file or an error pending; if listening, a connection."""
    poller = select.poll()
    poller.register(file_descriptor, select.POLLIN)
    return bool(poller.poll(0))
