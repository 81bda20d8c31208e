"""What both ends of a connection between processes set on their socket."""

from __future__ import annotations

import asyncio
import socket

USER_TIMEOUT = 2000  # ms that written bytes may stay unacknowledged


def tune(transport: asyncio.BaseTransport) -> None:
    """No delay for small frames, and an end for what a dead machine does not acknowledge."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT)
