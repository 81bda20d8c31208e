"""Whether a socket has something to read, asked of the kernel: the loop comes to it a turn later."""

from __future__ import annotations

import select


def has_bytes(file: int) -> bool:
    """Bytes, an end or an error wait on this descriptor; on a listening one: a connection does."""
    poller = select.poll()
    poller.register(file, select.POLLIN)
    return bool(poller.poll(0))
