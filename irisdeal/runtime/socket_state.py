"""Whether a socket is readable, asked of the kernel directly: an event loop reports it a turn later."""

from __future__ import annotations

import select


def is_readable(file_descriptor: int) -> bool:
    """Whether bytes, an end of file or an error wait on this descriptor; on a listening one, a connection."""
    poller = select.poll()
    poller.register(file_descriptor, select.POLLIN)
    return bool(poller.poll(0))
