"""What a door asks of its machine beside the loop, so that it runs unchanged on a machine in memory.

Whatever a door's files take from the clock, the kernel and the process goes through here or through the loop
that they were given; a test holds that nothing else does.
"""

from __future__ import annotations

import gc
import os
import socket
import time

from irisdeal.front_door.server.config import Config, load
from irisdeal.runtime.socket_state import is_readable


class Host:
    """The real machine. Times are whole µs that never go back and agreed with Unix time at the start."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self._offset) // 1000

    def create_socket(self, family: int) -> socket.socket:
        """A new TCP socket that is to listen. OSError where there is none to be had."""
        return socket.socket(family, socket.SOCK_STREAM)

    def has_bytes(self, file: int) -> bool:
        """Whether this descriptor has something to read, asked of the kernel."""
        return is_readable(file)

    def reload_config(self) -> Config:
        """The configuration as it is by now. ConfigError where it cannot be used."""
        return load(os.environ, again=True)

    def handover_folder(self) -> str:
        """A folder that another process of this door shares; empty where there is none."""
        return os.environ.get("TMPDIR", "")

    def startup_complete(self) -> None:
        """The program has started: what is in memory now stays, and need not be looked at again."""
        gc.collect()
        gc.freeze()
