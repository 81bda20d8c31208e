"""The socket options of a connection between processes, alike at both ends."""

from __future__ import annotations

import asyncio
import socket

USER_TIMEOUT_MS = 2000  # that sent bytes may stay unacknowledged, then the peer counts as dead


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Send small frames at once, and end the connection where the peer's machine stops acknowledging."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
