"""Backends that an operator has banned, and the server ids that a ban may name, in bounded memory.

The rules:

1. An id that any server list has contained is known, even after it has left the list. A call that names an
   unknown id is rejected. When the bound is exceeded, the ids that were listed longest ago are forgotten, but never
   one that is listed now or banned.
2. A ban holds until one call ends it, however often it was requested, and whatever lists contain meanwhile.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

MAX_KNOWN_IDS = 8_192  # forty times the largest fleet; about 1.5 MB at 64 bytes per id


class BackendBans:
    """The known server ids, and those of them that are banned."""

    def __init__(self, max_known: int = MAX_KNOWN_IDS) -> None:
        self.max_known = max_known
        self.known: dict[bytes, None] = {}  # the most recently listed is last
        self.banned: dict[bytes, None] = {}

    def record_listed(self, servers: Iterable[bytes], listed: Container[bytes] = ()) -> None:
        """Record the ids of a server list or of a change; `listed` are all ids that are listed now."""
        for server in servers:
            self.known.pop(server, None)
            self.known[server] = None
        if len(self.known) > self.max_known:
            excess = len(self.known) - self.max_known
            for server in [s for s in self.known if not (s in self.banned or s in listed)][:excess]:
                del self.known[server]

    def disable(self, server: bytes) -> bool | None:
        """Ban a server; return whether it was not banned before, or None for an unknown id."""
        if server not in self.known:
            return None
        is_changed = server not in self.banned
        self.banned[server] = None
        return is_changed

    def enable(self, server: bytes) -> bool | None:
        """End a ban; return whether there was one, or None for an unknown id."""
        if server not in self.known:
            return None
        is_changed = server in self.banned
        self.banned.pop(server, None)
        return is_changed
