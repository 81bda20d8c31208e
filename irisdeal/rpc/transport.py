"""Socket options of a connection between processes, the same at both ends."""

from __future__ import annotations

import asyncio
import socket

TCP_USER_TIMEOUT_MS = 2000  # sent bytes may stay unacknowledged for this long before the connection is closed


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm, and close the connection when the peer's machine stops acknowledging.

    The local port of an outgoing connection does not keep another program from listening there.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
