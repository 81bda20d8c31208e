"""Opens the listening sockets of a process before its other modules are imported.

On a fifth of a core, a process needs over a second until its first answer, most of it for importing modules. With
the sockets already open, clients that connect meanwhile wait in the kernel's accept queue instead of being refused.
This module therefore imports very little and reads only the addresses from the settings; values that it cannot read
are reported later by `irisdeal.runtime.settings`.
"""

from __future__ import annotations

import os
import socket

BACKLOG_COUNT = 1024  # connections in the accept queue: more than the clients of a zone open in a second
ListeningSockets = dict[str, socket.socket]  # by name of the address in the settings section `bind`


def bind_addresses(text: str, names: tuple[str, ...]) -> dict[str, tuple[str, int]]:
    """Return the addresses with these names from the section `bind`, except those that cannot be read."""
    section, addresses = "", {}
    for line in text.splitlines():
        line = line.strip()
        if line.startswith("["):
            section = line
        elif section == "[bind]":
            name, _, value = line.partition("=")
            host, _, port = value.strip().strip('"').rpartition(":")
            if name.strip() in names and host and port.isdigit():
                addresses[name.strip()] = (host, int(port))
    return addresses


def listen(*names: str) -> ListeningSockets:
    """Open listening sockets at the addresses with these names in the file that `IRISDEAL_SETTINGS` names."""
    listening: ListeningSockets = {}
    path = os.environ.get("IRISDEAL_SETTINGS", "/etc/irisdeal/settings.toml")
    try:
        with open(path, encoding="utf-8") as file:
            wanted = bind_addresses(file.read(), names)
    except (OSError, ValueError):  # reported later, when the process reads its settings
        return listening
    for name, address in wanted.items():
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(BACKLOG_COUNT)
            sock.setblocking(False)
        except OSError:  # tried again later, when the process listens
            sock.close()
            continue
        listening[name] = sock
    return listening
