"""Listening before all else: a process listens before it has loaded what it needs to answer.

On a fifth of a core it takes over a second from the start of the process to its first answer, most of it for
reading our code. Who connects meanwhile waits in the kernel's queue and is answered, where it was refused before.
So this file imports next to nothing, and reads of the settings just the addresses; whatever it cannot read is
left to the checked reading that comes later, which says what is wrong.
"""

from __future__ import annotations

import os
import socket

BACKLOG = 1024  # connections that wait: what a zone's clients open in a second, and more
Listening = dict[str, socket.socket]


def addresses(text: str, names: tuple[str, ...]) -> dict[str, tuple[str, int]]:
    """The addresses with these names in the settings' section `bind`; those that cannot be read are left out."""
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


def listen(*names: str) -> Listening:
    """Sockets that listen at these addresses of the settings that `IRISDEAL_SETTINGS` names."""
    listening: Listening = {}
    try:
        with open(
            os.environ.get("IRISDEAL_SETTINGS", "/etc/irisdeal/settings.toml"), encoding="utf-8"
        ) as file:
            wanted = addresses(file.read(), names)
        for name, address in wanted.items():
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
            sock.setblocking(False)
            listening[name] = sock
    except OSError:  # the usual way tells what it is
        pass
    return listening
