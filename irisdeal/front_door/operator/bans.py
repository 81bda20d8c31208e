"""Which ids an operator's ban may name, and which are banned: what is known of ids, in bounded memory.

Rules that this file keeps:

1. An id that a list has ever named is known, also once it has left the list; one that none has named is owed
   a no. Past the bound the one that left the lists first is forgotten, never one that is listed or banned.
2. A ban holds until one call back, however often it was called out, and whatever lists say meanwhile.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

MOST_KNOWN = 8_192  # ids: forty times the largest fleet there is; some 1.5 MB at 64 bytes an id


class BackendBans:
    """Ids that lists have named, and those of them that are left out by hand."""

    def __init__(self, max_known: int = MOST_KNOWN) -> None:
        self.max_known = max_known
        self.known: dict[bytes, None] = {}  # the one that was named last is last
        self.banned: dict[bytes, None] = {}

    def record_listed(self, servers: Iterable[bytes], listed: Container[bytes] = ()) -> None:
        """A list, or a change of one, has named these; `listed` are all that are in it by now."""
        for server in servers:
            self.known.pop(server, None)
            self.known[server] = None
        if len(self.known) > self.max_known:
            spare = len(self.known) - self.max_known
            for server in [s for s in self.known if not (s in self.banned or s in listed)][:spare]:
                del self.known[server]

    def disable(self, server: bytes) -> bool | None:
        """Whether that is news; None where no list has named the id."""
        if server not in self.known:
            return None
        news = server not in self.banned
        self.banned[server] = None
        return news

    def enable(self, server: bytes) -> bool | None:
        """As above."""
        if server not in self.known:
            return None
        news = server in self.banned
        self.banned.pop(server, None)
        return news
