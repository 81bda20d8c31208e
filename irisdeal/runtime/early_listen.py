"""Listen at the start of a process, before the modules are imported that it needs to answer.

On a fifth of a core it takes over a second from the start of a process to its first answer, most of it for
importing modules. A client that connects meanwhile waits in the kernel's accept queue, where it would be refused
otherwise. So this module imports next to nothing, and reads only the addresses from the settings; whatever it
cannot read is left to `irisdeal.runtime.settings`, which reports what is wrong.
"""

from __future__ import annotations

import os
import socket

BACKLOG = 1024  # connections in the accept queue: more than the clients of a zone open in a second
ListeningSockets = dict[str, socket.socket]  # by name of the address in the settings


def bind_addresses(text: str, names: tuple[str, ...]) -> dict[str, tuple[str, int]]:
    """Return the addresses of these names in the section `bind`; those that cannot be read are left out."""
    section, found = "", {}
    for line in text.splitlines():
        line = line.strip()
        if line.startswith("["):
            section = line
        elif section == "[bind]":
            name, _, value = line.partition("=")
            host, _, port = value.strip().strip('"').rpartition(":")
            if name.strip() in names and host and port.isdigit():
                found[name.strip()] = (host, int(port))
    return found


def listen(*names: str) -> ListeningSockets:
    """Open listening sockets at the addresses of these names in the file that `IRISDEAL_SETTINGS` names."""
    listening: ListeningSockets = {}
    try:
        with open(
            os.environ.get("IRISDEAL_SETTINGS", "/etc/irisdeal/settings.toml"), encoding="utf-8"
        ) as file:
            wanted = bind_addresses(file.read(), names)
        for name, address in wanted.items():
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
            sock.setblocking(False)
            listening[name] = sock
    except OSError:  # reported when the process listens, or reads its settings, the usual way
        pass
    return listening
