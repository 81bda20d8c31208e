"""Access to the operating system besides the event loop, replaced when the front door runs in a simulation.

All uses of the clock, the kernel and the process go through this class or the event loop that is passed in; a
test checks that there is no other use.
"""

from __future__ import annotations

import gc
import os
import socket
import time

from irisdeal.front_door.server.config import Config, load
from irisdeal.runtime.socket_state import is_readable


class Host:
    """The real operating system. Times are integer µs: monotonic, and equal to Unix time at the start."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """The current time in µs."""
        return (time.monotonic_ns() + self._offset) // 1000

    def create_socket(self, family: int) -> socket.socket:
        """Create a TCP socket to listen on. Raises OSError."""
        return socket.socket(family, socket.SOCK_STREAM)

    def has_bytes(self, file: int) -> bool:
        """Whether the kernel has input to read for this descriptor."""
        return is_readable(file)

    def reload_config(self) -> Config:
        """Load the current configuration. Raises ConfigError."""
        return load(os.environ, again=True)

    def handover_folder(self) -> str:
        """Folder shared with other processes of this front door; empty if there is none."""
        return os.environ.get("TMPDIR", "")

    def startup_complete(self) -> None:
        """Exclude the objects created at startup from garbage collection: they are never freed."""
        gc.collect()
        gc.freeze()
